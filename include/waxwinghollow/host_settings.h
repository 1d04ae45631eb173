#ifndef WAXWINGHOLLOW_HOST_SETTINGS_H
#define WAXWINGHOLLOW_HOST_SETTINGS_H

/*
 * NAME
 *	host_settings - addresses, limits and times of a process of the job
 *	service
 *
 * USE
 *	platform/node_file.h reads the platform's settings file into this
 *	struct; tests on the stand-in platform fill it in themselves.
 *	wwh_host_settings_init sets the defaults of optional values.
 *
 * ORDER OF CALLS
 *	wwh_host_settings_init, fields filled in, wwh_host_settings_clear.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	char *address; /* IP address; NULL: the process doesn't listen */
	int32_t port;
} wwh_endpoint_t;

typedef struct {
	char *name; /* of this process, used in logs and orders */
	char *zone;
	wwh_endpoint_t callers;
	wwh_endpoint_t readiness;
	wwh_endpoint_t peers; /* other processes of the job service */
	char *store; /* IP:port, as for hosts and advice */
	char *hosts; /* service that lists, moves and takes down hosts */
	char *advice; /* advice service; NULL if none is configured */
	int64_t cpu_permille; /* share of a core that this process may use */
	int64_t link_kbps; /* of the host's link, in kbit a second */
	int64_t lease_max_ms;
	int64_t stop_limit_ms;
	int64_t unavailable_after_ms;
	int64_t job_retention_ms; /* how long ended jobs can be queried */
	int64_t grace_ms; /* between SIGTERM and SIGKILL */
	int64_t member_ttl_min_ms; /* lower bound of the TTL of group members */
	bool checks_keys; /* callers need an API key of a workspace */
	/* all keys are rejected if no configuration was read for revoke_ms */
	bool revoke_fails_closed;
	int64_t revoke_ms;
	int64_t store_call_max_bytes; /* maximum size of one call to the store */
	int64_t store_record_max_bytes; /* of one record, with its key */
	int64_t duty_lease_ms; /* how long hosts obey one holder only */
	bool hosts_fence; /* hosts reject orders of previous holders */
	int64_t config_apply_ms; /* a configuration is in force after this */
	int64_t drain_ms; /* a leaving upstream gets no starts after this */
	/*
	 * Processes make calls to upstreams for the holder while it needs
	 * relay_on_permille or more of its share of a core. 0: at all times.
	 */
	bool relay_orders;
	int32_t relay_on_permille;
	int64_t move_ms; /* time that a host is unavailable for a move */
	int64_t upkeep_ms; /* the same for an upkeep */
	/* Orders to hosts and pages of lists that all processes may send. */
	int64_t host_orders_per_s;
	int64_t host_lists_per_s;
} wwh_host_settings_t;

void wwh_host_settings_init(wwh_host_settings_t *settings);
void wwh_host_settings_clear(wwh_host_settings_t *settings);

#endif
