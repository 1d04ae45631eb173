#ifndef WAXWINGHOLLOW_HOST_SETTINGS_H
#define WAXWINGHOLLOW_HOST_SETTINGS_H

/*
 * NAME
 *	host_settings - where a process of the job service listens and whom it
 *	calls
 *
 * USE
 *	The platform's settings file is read by platform/node_file.h into this;
 *	the stand-in's tests fill it in themselves. Optional figures have the
 *	defaults of wwh_host_settings_init.
 *
 * ORDER OF CALLS
 *	wwh_host_settings_init, fields filled in, wwh_host_settings_clear.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	char *address; /* IP number; NULL: not listened on */
	int32_t port;
} wwh_endpoint_t;

typedef struct {
	char *name; /* of this process, for logs and orders */
	char *zone;
	wwh_endpoint_t callers;
	wwh_endpoint_t readiness;
	wwh_endpoint_t peers; /* other processes of the job service */
	char *store; /* IP number and port, as the next ones */
	char *hosts; /* where hosts are listed, moved and taken down */
	char *advice; /* NULL: no queue asks for it */
	int64_t cpu_permille; /* of a core that this process may use */
	int64_t lease_max_ms;
	int64_t stop_limit_ms;
	int64_t unavailable_after_ms;
	int64_t job_retention_ms; /* ended jobs are answered for */
	int64_t grace_ms; /* between SIGTERM and SIGKILL */
	int64_t member_ttl_min_ms; /* shortest time after which one is given up */
	bool checks_keys; /* callers need an API key of a workspace */
	bool revoke_fails_closed; /* unread configuration: all keys fail */
	int64_t revoke_ms; /* after which it does */
	int64_t store_call_max_bytes; /* of one call to the store, at most */
	int64_t duty_lease_ms; /* hosts take one holder at a time, so long */
	bool hosts_fence; /* hosts refuse orders of a holder before */
	int64_t drain_ms; /* no start on an upstream that has left for longer */
	int64_t move_ms; /* a host is away for, as the next one */
	int64_t upkeep_ms;
} wwh_host_settings_t;

void wwh_host_settings_init(wwh_host_settings_t *settings);
void wwh_host_settings_clear(wwh_host_settings_t *settings);

#endif
