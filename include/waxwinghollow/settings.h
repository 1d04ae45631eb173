#ifndef WAXWINGHOLLOW_SETTINGS_H
#define WAXWINGHOLLOW_SETTINGS_H

/*
 * NAME
 *	settings - what one entry process is told when it starts
 *
 * USE
 *	A JSON file with comments gives the process its id, its place, its
 *	addresses and its own limits; docs/SETTINGS.md lists every key. What
 *	holds for the whole deployment is not here but in the rules of
 *	config.h, so that processes can't differ in it.
 *
 * ORDER OF CALLS
 *	wwh_settings_load or wwh_settings_parse into a struct that is all
 *	zero; reads of the members; wwh_settings_clear.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "waxwinghollow/config.h"
#include "waxwinghollow/status.h"

typedef enum {
	WWH_LOG_ERROR = 0,
	WWH_LOG_WARNING,
	WWH_LOG_INFO,
	WWH_LOG_DEBUG,
	WWH_LOG_LEVEL_COUNT
} wwh_log_level_t;

/* Names of wwh_log_level_t, in the same order. */
extern const char *const wwh_log_level_names[WWH_LOG_LEVEL_COUNT];

typedef struct {
	char *process_id;
	char *zone; /* key "availability_zone" */
	char *region;
	char *caller_listen; /* "IP:port" */
	char *operator_listen; /* "IP:port" */
	char *peer_listen; /* "IP:port" */
	char *platform_url; /* "http://IP:port" */
	char **peers; /* "IP:port" each, ends with NULL */
	wwh_log_level_t log_level;

	/* Callers */
	int32_t max_requests; /* in progress or waiting */
	int32_t max_connections; /* from callers */
	int32_t thread_stack_kb; /* of a connection's thread */
	int32_t max_header_bytes; /* of one request */
	int64_t max_body_bytes; /* of one request, above any service's */
	int64_t max_buffered_bytes; /* bodies and answers held at once */
	int32_t idle_timeout_ms; /* of a connection from a caller */

	/* Minions */
	int32_t connect_timeout_ms;
	int32_t minion_idle_ms; /* pooled connections are closed after it */

	/* Start and stop */
	int32_t ready_off_ms; /* between "not ready" and the drain */
	int32_t drain_limit_ms; /* requests in progress may take as long */

	/* The platform's log */
	int32_t intent_batch_ms; /* an intent waits this long for others */
	int32_t log_append_timeout_ms;
	int32_t log_read_timeout_ms;
	int32_t log_wait_ms; /* long poll of a read */
	int32_t host_list_period_ms;
	int32_t platform_timeout_ms; /* of all other calls */

	/* Peers */
	int32_t heartbeat_ms;
	int32_t suspect_after_ms; /* silence that makes a peer suspect */

	/* Workers that are taken out and come back */
	int32_t worker_leave_ms; /* from the cordon to the drain */
	int32_t worker_look_ms; /* between two looks at one worker */
	int32_t worker_check_ms; /* a rebooted worker has to stay up so long */
	int32_t worker_slow_start_ms; /* until it counts as serving again */
	int32_t rehearsal_hold_ms; /* a domain is kept out so long */
} wwh_settings_t;

/*
 * Reports every error and returns WWH_STATUS_BAD_INPUT when there was one;
 * settings is all zero again then.
 */
wwh_status_t wwh_settings_load(const char *path, wwh_settings_t *settings,
			       wwh_config_error_t error, void *client_data);

/* wwh_settings_load for a file that was read already. */
wwh_status_t wwh_settings_parse(const wwh_config_text_t *text,
				wwh_settings_t *settings,
				wwh_config_error_t error, void *client_data);

void wwh_settings_clear(wwh_settings_t *settings);

/*
 * Splits "IP:port" or "[IPv6]:port". *address is to be freed; false when text
 * is neither.
 */
bool wwh_endpoint_split(const char *text, char **address, int32_t *port);

#endif
