#ifndef WAXWINGHOLLOW_SETTINGS_H
#define WAXWINGHOLLOW_SETTINGS_H

/*
 * NAME
 *	settings - configuration of one entry process at its start
 *
 * USE
 *	A JSON file with comments sets the id, the location, the addresses and
 *	the limits of the process; docs/SETTINGS.md lists every key. Settings
 *	of the whole deployment are part of the rules in config.h instead, so
 *	that processes can't differ in them.
 *
 * ORDER OF CALLS
 *	wwh_settings_load or wwh_settings_parse into a struct that is all
 *	zero; reading the members; wwh_settings_clear.
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
	char **peers; /* "IP:port" each, NULL-terminated */
	wwh_log_level_t log_level;

	/* Callers */
	int32_t max_requests; /* in progress or waiting */
	int32_t max_connections; /* from callers */
	int32_t thread_stack_kb; /* of the thread of a connection */
	int32_t max_header_bytes; /* of one request */
	int64_t max_body_bytes; /* of one request to any service */
	int64_t max_buffered_bytes; /* of all bodies and answers held */
	int32_t idle_timeout_ms; /* of a connection from a caller */

	/* Minions */
	int32_t connect_timeout_ms;
	int32_t minion_idle_ms; /* idle pooled connections are then closed */

	/* Start and stop */
	int32_t ready_off_ms; /* between "not ready" and the drain */
	int32_t drain_limit_ms; /* until requests in progress are aborted */

	/* The platform's log */
	int32_t intent_batch_ms; /* how long an intent waits for others */
	int32_t log_append_timeout_ms;
	int32_t log_read_timeout_ms;
	int32_t log_wait_ms; /* long-poll duration of a read */
	int32_t host_list_period_ms;
	int32_t platform_timeout_ms; /* of all other calls to the platform */

	/* Peers */
	int32_t heartbeat_ms;
	int32_t suspect_after_ms; /* peer is suspect after this silence */

	/* Workers taken out of service and returned */
	int32_t worker_leave_ms; /* from the cordon to the drain */
	int32_t worker_look_ms; /* between two status checks of one worker */
	int32_t worker_check_ms; /* required uptime of a rebooted worker */
	int32_t worker_slow_start_ms; /* until it counts as serving again */
	int32_t rehearsal_hold_ms; /* a domain is out of service this long */
} wwh_settings_t;

/*
 * Reports every error. Returns WWH_STATUS_BAD_INPUT if there was one; all bytes
 * of settings are zero then.
 */
wwh_status_t wwh_settings_load(const char *path, wwh_settings_t *settings,
			       wwh_config_error_t error, void *client_data);

/* Same as wwh_settings_load for text that was read already. */
wwh_status_t wwh_settings_parse(const wwh_config_text_t *text,
				wwh_settings_t *settings,
				wwh_config_error_t error, void *client_data);

void wwh_settings_clear(wwh_settings_t *settings);

/*
 * Splits "IP:port" or "[IPv6]:port" into *address (to be freed) and *port.
 * Returns false and sets *address to NULL if text has neither form.
 */
bool wwh_endpoint_split(const char *text, char **address, int32_t *port);

#endif
