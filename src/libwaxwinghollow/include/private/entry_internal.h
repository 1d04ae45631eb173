#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_INTERNAL_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_INTERNAL_H

/*
 * What the parts of an entry process share. Locks are taken in this order:
 * state_lock, then request_lock; neither is held over network calls.
 */

#include <glib.h>

#include "waxwinghollow/chart.h"
#include "waxwinghollow/config.h"
#include "waxwinghollow/counters.h"
#include "waxwinghollow/dispatch.h"
#include "waxwinghollow/entry.h"
#include "waxwinghollow/intent.h"
#include "waxwinghollow/listener.h"
#include "waxwinghollow/platform.h"
#include "waxwinghollow/platform_http.h"
#include "waxwinghollow/record.h"
#include "waxwinghollow/settings.h"
#include "waxwinghollow/state.h"
#include "waxwinghollow/upstream.h"

typedef enum {
	WWH_PHASE_STARTING = 0,
	WWH_PHASE_CATCHING_UP,
	WWH_PHASE_READY,
	WWH_PHASE_NOT_READY,
	WWH_PHASE_DRAINING,
	WWH_PHASE_GIVING_BACK,
	WWH_PHASE_STOPPED,
	WWH_PHASE_COUNT
} wwh_phase_t;

typedef enum {
	WWH_PHASE_EVENT_LISTENING = 0,
	WWH_PHASE_EVENT_CAUGHT_UP,
	WWH_PHASE_EVENT_START_FAILED,
	WWH_PHASE_EVENT_STOP,
	WWH_PHASE_EVENT_BALANCER_LEFT,
	WWH_PHASE_EVENT_IDLE,
	WWH_PHASE_EVENT_LEASES_RETURNED,
	WWH_PHASE_EVENT_RETURN_LIMIT,
	WWH_PHASE_EVENT_COUNT
} wwh_phase_event_t;

/* Names of both, in the same order; they are those of charts/entry.json. */
extern const char *const wwh_phase_names[WWH_PHASE_COUNT];
extern const char *const wwh_phase_event_names[WWH_PHASE_EVENT_COUNT];

typedef struct wwh_request_table wwh_request_table_t;
typedef struct wwh_intent_writer wwh_intent_writer_t;
typedef struct wwh_entry_log wwh_entry_log_t;
typedef struct wwh_entry_control wwh_entry_control_t;
typedef struct wwh_entry_peers wwh_entry_peers_t;
typedef struct wwh_seats wwh_seats_t;
typedef struct wwh_entry_fleet wwh_entry_fleet_t;

struct wwh_entry {
	const wwh_settings_t *settings;
	uint64_t incarnation; /* higher at each start */
	char *author; /* this incarnation's name on the log */
	wwh_counters_t *counters;
	wwh_platform_http_t *platform_http;
	wwh_platform_t platform;
	wwh_upstream_t *upstream;
	wwh_listener_t *caller_listener;
	wwh_listener_t *operator_listener;
	wwh_chart_t *phase_chart;
	wwh_chart_t *request_chart;
	wwh_counter_t *answers[WWH_ERROR_COUNT];
	wwh_counter_t *verdicts[WWH_VERDICT_COUNT];
	wwh_counter_t *not_run_denied;
	wwh_counter_t *buffered_bytes; /* of bodies and answers held now */

	GMutex state_lock;
	wwh_chart_machine_t phase;
	wwh_state_t *state;
	wwh_intents_t *intents;
	wwh_config_t *config; /* in force; from the log or from a peer */

	wwh_request_table_t *requests;
	wwh_intent_writer_t *intent_writer;
	wwh_entry_log_t *log;
	wwh_entry_peers_t *peers;
	wwh_seats_t *seats;
	wwh_entry_fleet_t *fleet;
	wwh_entry_control_t *control;
};

int64_t wwh_now_ms(void); /* monotonic */

/* Steps the phase chart; logs a change. Takes state_lock. */
void wwh_entry_phase_event(wwh_entry_t *entry, wwh_phase_event_t event);
wwh_phase_t wwh_entry_phase(wwh_entry_t *entry);

/* Puts the state's configuration in force; state_lock is held. */
void wwh_entry_apply_replayed_config(wwh_entry_t *entry);

/* A peer's configuration is put in force when it is newer. Takes state_lock. */
bool wwh_entry_apply_peer_config(wwh_entry_t *entry, const wwh_config_t *config,
				 const char *from);
int64_t wwh_entry_config_version(wwh_entry_t *entry);

/* The name on the log of one incarnation of a process. g_free. */
char *wwh_entry_author_name(const char *process_id, uint64_t incarnation);

/* A reference to the configuration in force, or NULL before the first. */
wwh_config_t *wwh_entry_config(wwh_entry_t *entry);

/* entry_operator.c: the operator listener's handler. */
void wwh_entry_handle_operator(const wwh_http_request_t *request,
			       wwh_http_response_t *response,
			       void *client_data);

/* entry_caller.c: events of charts/request.json, the listener's handler. */
const char *const *wwh_request_event_names(int32_t *count);
void wwh_entry_handle_caller(const wwh_http_request_t *request,
			     wwh_http_response_t *response, void *client_data);

#endif
