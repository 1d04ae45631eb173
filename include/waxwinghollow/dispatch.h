#ifndef WAXWINGHOLLOW_DISPATCH_H
#define WAXWINGHOLLOW_DISPATCH_H

/*
 * NAME
 *	dispatch - admits, queues, rejects and routes the requests of one
 *	entry process
 *
 * USE
 *	One wwh_dispatch_t decides for one entry process. The caller reports
 *	events with the time at which they happen and reads decisions from
 *	wwh_dispatch_next_decision. The dispatcher has no clock, thread or
 *	network of its own. The process calls it under one mutex: it reports
 *	the event, then calls wwh_dispatch_next_decision until that returns
 *	false, and passes each decision to the thread of its request.
 *
 *	Each request that arrives gets any number of START decisions and then
 *	exactly one END decision:
 *
 *	- START: send the request to the minion, then call
 *	  wwh_dispatch_finish_attempt exactly once for each START. An attempt
 *	  without an answer after timeout_ms ends as WWH_OUTCOME_SILENT.
 *	- END: answer the caller with the error kind, or with the minion's
 *	  answer if the kind is WWH_ERROR_NONE, and with Retry-After if
 *	  retry_after_ms is above 0.
 *
 *	The END of a request that is cancelled while it runs precedes its
 *	wwh_dispatch_finish_attempt; the slot stays in use until that call.
 *
 * WHAT A PROCESS KNOWS
 *	A process knows its own requests exactly. It accounts for the other
 *	entry processes only through its share of each minion's slots (see
 *	limiter.h). No decision depends on another process's load, so a stale
 *	view of that load can't do harm.
 *
 * ORDER OF CALLS
 *	wwh_dispatch_new, wwh_dispatch_init, wwh_dispatch_configure,
 *	wwh_dispatch_set_share; then events in the order of their times, and
 *	wwh_dispatch_tick no later than wwh_dispatch_next_deadline_ms;
 *	wwh_dispatch_delete.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/counters.h"
#include "waxwinghollow/error_kind.h"
#include "waxwinghollow/status.h"

#define WWH_DISPATCH_ID_BYTES 128 /* of a minion's id, with the final NUL */
#define WWH_DISPATCH_SEATS_MAX 64

typedef struct wwh_dispatch wwh_dispatch_t;

typedef struct {
	const char *zone; /* own availability zone */
	int32_t waiting_max; /* waiting requests of each service */
	int64_t waiting_bytes_max; /* of all waiting requests together */
	int32_t attempts_max; /* of each request */
	GRand *random; /* borrowed; must outlive the dispatcher */
} wwh_dispatch_options_t;

typedef struct {
	const char *id;
	bool urgent;
	int32_t deadline_ms; /* default, from the arrival of a request */
} wwh_dispatch_service_t;

typedef struct {
	const char *id;
	const char *zone;
	int32_t service; /* index in the services of the same call */
	int32_t slots; /* over all entry processes */
	int32_t connections; /* over all entry processes */
	bool leaving;
} wwh_dispatch_minion_t;

typedef struct {
	const char *id;
	int32_t requests; /* limit over all entry processes; 0: unlimited */
} wwh_dispatch_team_t;

typedef struct {
	const wwh_dispatch_service_t *services;
	int32_t service_count;
	const wwh_dispatch_minion_t *minions;
	int32_t minion_count;
	const wwh_dispatch_team_t *teams;
	int32_t team_count;
} wwh_dispatch_setup_t;

/* The seats that decide this process's part of each minion's slots. */
typedef struct {
	int32_t seat_count; /* of the deployment, equal in all processes */
	uint64_t seats; /* bit n: this process holds seat n */
	int64_t lease_until_ms; /* no attempt is started from then on */
} wwh_dispatch_share_t;

typedef struct {
	uint64_t id; /* unique in this process */
	const char *service;
	uint64_t caller; /* hash of the caller's key */
	const char *team; /* NULL if the request belongs to no team */
	bool urgent;
	bool idempotent; /* may be run twice */
	int64_t bytes;
	int64_t deadline_ms; /* absolute; 0: the service's default applies */
} wwh_dispatch_request_t;

typedef enum {
	WWH_OUTCOME_ANSWERED = 0, /* complete answer that reports no failure */
	WWH_OUTCOME_ERROR_ANSWERED, /* complete answer that reports a failure */
	WWH_OUTCOME_REFUSED, /* by the minion, which did not run it */
	WWH_OUTCOME_CONNECT_FAILED, /* nothing was sent */
	WWH_OUTCOME_SILENT, /* no answer within timeout_ms */
	WWH_OUTCOME_LOST, /* connection ended before the answer */
	WWH_OUTCOME_TRUNCATED, /* answer incomplete */
	WWH_OUTCOME_ABORTED, /* by this process, e.g. the caller disconnected */
	WWH_OUTCOME_COUNT
} wwh_outcome_t;

/* Names of wwh_outcome_t, in the same order. */
extern const char *const wwh_outcome_names[WWH_OUTCOME_COUNT];

typedef struct {
	uint64_t request;
	const char *minion;
	wwh_outcome_t outcome;
	int32_t retry_after_ms; /* sent by the minion; 0: none */
	bool answer_begun; /* part of the answer was sent to the caller */
	int32_t latency_ms;
} wwh_dispatch_result_t;

typedef enum {
	WWH_MINION_LIVE = 0,
	WWH_MINION_LEAVING, /* gets no new work */
	WWH_MINION_GONE, /* gets no new work either */
	WWH_MINION_STATE_COUNT
} wwh_minion_state_t;

/* Names of wwh_minion_state_t, in the same order. */
extern const char *const wwh_minion_state_names[WWH_MINION_STATE_COUNT];

typedef enum {
	WWH_DECISION_START = 0,
	WWH_DECISION_END,
	WWH_DECISION_COUNT
} wwh_decision_type_t;

/* Names of wwh_decision_type_t, in the same order. */
extern const char *const wwh_decision_type_names[WWH_DECISION_COUNT];

typedef struct {
	wwh_decision_type_t type;
	uint64_t request;
	/* START */
	char minion[WWH_DISPATCH_ID_BYTES];
	int32_t timeout_ms; /* of this attempt */
	int32_t connections; /* limit for this process and minion */
	bool probe; /* the minion is in WWH_EJECTION_TRIAL */
	/* END */
	wwh_error_kind_t kind;
	int32_t retry_after_ms; /* 0: none */
} wwh_decision_t;

void wwh_dispatch_options_defaults(wwh_dispatch_options_t *options);

wwh_dispatch_t *wwh_dispatch_new(void);
wwh_status_t wwh_dispatch_init(wwh_dispatch_t *dispatch,
			       const wwh_dispatch_options_t *options);
void wwh_dispatch_delete(wwh_dispatch_t *dispatch);

/*
 * Replaces services, minions and teams. Waiting and running requests continue
 * if their service is still configured. Minions that setup omits get no new
 * work.
 */
wwh_status_t wwh_dispatch_configure(wwh_dispatch_t *dispatch, int64_t now_ms,
				    const wwh_dispatch_setup_t *setup);

/* No attempt is started before the first call. */
void wwh_dispatch_set_share(wwh_dispatch_t *dispatch, int64_t now_ms,
			    const wwh_dispatch_share_t *share);

/*
 * Whether each minion runs no more requests for this process than the share
 * allows. A seat that wwh_dispatch_set_share removed may be released in the
 * log, where another process can acquire it, only if this is true.
 */
bool wwh_dispatch_is_within_share(const wwh_dispatch_t *dispatch);

void wwh_dispatch_arrive(wwh_dispatch_t *dispatch, int64_t now_ms,
			 const wwh_dispatch_request_t *request);

/* The caller disconnected. Has no effect on a request that has ended. */
void wwh_dispatch_cancel(wwh_dispatch_t *dispatch, int64_t now_ms, uint64_t id);
void wwh_dispatch_finish_attempt(wwh_dispatch_t *dispatch, int64_t now_ms,
				 const wwh_dispatch_result_t *result);
void wwh_dispatch_set_minion_state(wwh_dispatch_t *dispatch, int64_t now_ms,
				   const char *minion,
				   wwh_minion_state_t state);
void wwh_dispatch_tick(wwh_dispatch_t *dispatch, int64_t now_ms);

/* Returns when the next tick is due, or INT64_MAX if none is. */
int64_t wwh_dispatch_next_deadline_ms(const wwh_dispatch_t *dispatch);

/* Reads the oldest unread decision. Returns false if there is none. */
bool wwh_dispatch_next_decision(wwh_dispatch_t *dispatch,
				wwh_decision_t *decision);

/*
 * Ends all waiting requests with WWH_ERROR_SHUTTING_DOWN and rejects new ones.
 * Those of which an earlier attempt may have run end with another kind.
 */
void wwh_dispatch_close(wwh_dispatch_t *dispatch, int64_t now_ms);

/* Number of waiting or running requests of all services. */
int32_t wwh_dispatch_waiting(const wwh_dispatch_t *dispatch);
int32_t wwh_dispatch_running(const wwh_dispatch_t *dispatch);

/*
 * Visits each value of the state: "service.ID.waiting",
 * "minion.ID.running", "minion.ID.share", ... (docs/operating/load.md).
 */
void wwh_dispatch_dump(const wwh_dispatch_t *dispatch,
		       wwh_counter_visit_t visit, void *client_data);

#endif
