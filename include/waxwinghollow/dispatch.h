#ifndef WAXWINGHOLLOW_DISPATCH_H
#define WAXWINGHOLLOW_DISPATCH_H

/*
 * NAME
 *	dispatch - what is let in, waits, is refused, and where work goes
 *
 * USE
 *	One wwh_dispatch_t decides for one entry process. Events go in with
 *	the time they happen at; decisions come out of
 *	wwh_dispatch_next_decision. There is no clock, thread or network in
 *	it. The process calls it under one mutex: first the event, then
 *	wwh_dispatch_next_decision until it returns false, handing each
 *	decision to the thread of its request.
 *
 *	Each request that arrives gets any number of START decisions and then
 *	exactly one END decision:
 *
 *	- START: send the request to the minion, then call
 *	  wwh_dispatch_finish_attempt, always and once for each START. Give the
 *	  attempt timeout_ms; after that it counts as silent.
 *	- END: answer the caller with the error kind (WWH_ERROR_NONE: with the
 *	  minion's answer) and, where it is above 0, Retry-After.
 *
 *	An END for a running request (a cancelled one) comes before its
 *	wwh_dispatch_finish_attempt; the slot stays taken until that call.
 *
 * WHAT A PROCESS KNOWS
 *	Its own requests exactly and at once; the other entry processes only
 *	through its share of each minion's slots (see limiter.h). No decision
 *	rests on another process's load, so no stale view of it can do harm.
 *
 * ORDER OF CALLS
 *	wwh_dispatch_new, wwh_dispatch_init, wwh_dispatch_configure,
 *	wwh_dispatch_set_share; then events in the order of their times;
 *	wwh_dispatch_tick at the latest at wwh_dispatch_next_deadline_ms;
 *	wwh_dispatch_delete.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/counters.h"
#include "waxwinghollow/error_kind.h"
#include "waxwinghollow/status.h"

#define WWH_DISPATCH_ID_BYTES 128 /* of a minion's id, with the final 0 */
#define WWH_DISPATCH_SEATS_MAX 64

typedef struct wwh_dispatch wwh_dispatch_t;

typedef struct {
	const char *zone; /* own availability zone */
	int32_t waiting_max; /* requests that wait, for each service */
	int64_t waiting_bytes_max; /* bytes of all requests that wait */
	int32_t attempts_max; /* for each request */
	GRand *random; /* borrowed; must outlive the dispatcher */
} wwh_dispatch_options_t;

typedef struct {
	const char *id;
	bool urgent;
	int32_t deadline_ms; /* for requests that name none */
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
	int32_t requests; /* at once, over all entry processes; 0: any */
} wwh_dispatch_team_t;

typedef struct {
	const wwh_dispatch_service_t *services;
	int32_t service_count;
	const wwh_dispatch_minion_t *minions;
	int32_t minion_count;
	const wwh_dispatch_team_t *teams;
	int32_t team_count;
} wwh_dispatch_setup_t;

/* The part of every minion's slots that is this process's own. */
typedef struct {
	int32_t seat_count; /* over all entry processes, the same in each */
	uint64_t seats; /* bit n: this process holds seat n */
	int64_t lease_until_ms; /* no work is started from then on */
} wwh_dispatch_share_t;

typedef struct {
	uint64_t id; /* unique in this process */
	const char *service;
	uint64_t caller; /* hash of the caller's key */
	const char *team; /* NULL: none */
	bool urgent;
	bool idempotent; /* may be run twice */
	int64_t bytes;
	int64_t deadline_ms; /* a time; 0: the service's deadline from now */
} wwh_dispatch_request_t;

typedef enum {
	WWH_OUTCOME_ANSWERED = 0, /* whole answer, not an error of the minion */
	WWH_OUTCOME_ERROR_ANSWERED, /* whole answer that reports a failure */
	WWH_OUTCOME_REFUSED, /* by the minion, surely not run */
	WWH_OUTCOME_CONNECT_FAILED, /* nothing was sent */
	WWH_OUTCOME_SILENT, /* no answer within the time given */
	WWH_OUTCOME_LOST, /* connection ended before an answer */
	WWH_OUTCOME_TRUNCATED, /* the answer is not whole */
	WWH_OUTCOME_ABORTED, /* given up here, e.g. the caller went away */
	WWH_OUTCOME_COUNT
} wwh_outcome_t;

/* Names of wwh_outcome_t, in the same order. */
extern const char *const wwh_outcome_names[WWH_OUTCOME_COUNT];

typedef struct {
	uint64_t request;
	const char *minion;
	wwh_outcome_t outcome;
	int32_t retry_after_ms; /* the minion's; 0: none */
	bool answer_begun; /* a byte of the answer went to the caller */
	int32_t latency_ms;
} wwh_dispatch_result_t;

typedef enum {
	WWH_MINION_LIVE = 0,
	WWH_MINION_LEAVING, /* gets no new work */
	WWH_MINION_GONE, /* likewise */
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
	int32_t timeout_ms; /* for this attempt */
	int32_t connections; /* that this process may hold to the minion */
	bool probe; /* the minion is on trial */
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
 * Replaces services, minions and teams; what waits and runs goes on where
 * its service is still there. Minions that are left out count as gone.
 */
wwh_status_t wwh_dispatch_configure(wwh_dispatch_t *dispatch, int64_t now_ms,
				    const wwh_dispatch_setup_t *setup);

/* Before the first call, no work is started. */
void wwh_dispatch_set_share(wwh_dispatch_t *dispatch, int64_t now_ms,
			    const wwh_dispatch_share_t *share);

/*
 * True when no minion runs more for this process than its share allows: only
 * then may a seat that was taken out by wwh_dispatch_set_share be given up on
 * the log for another process to take.
 */
bool wwh_dispatch_is_within_share(const wwh_dispatch_t *dispatch);

void wwh_dispatch_arrive(wwh_dispatch_t *dispatch, int64_t now_ms,
			 const wwh_dispatch_request_t *request);

/* The caller went away. No effect on a request that has ended. */
void wwh_dispatch_cancel(wwh_dispatch_t *dispatch, int64_t now_ms, uint64_t id);
void wwh_dispatch_finish_attempt(wwh_dispatch_t *dispatch, int64_t now_ms,
				 const wwh_dispatch_result_t *result);
void wwh_dispatch_set_minion_state(wwh_dispatch_t *dispatch, int64_t now_ms,
				   const char *minion,
				   wwh_minion_state_t state);
void wwh_dispatch_tick(wwh_dispatch_t *dispatch, int64_t now_ms);

/* The time at which the next tick is due; INT64_MAX: none. */
int64_t wwh_dispatch_next_deadline_ms(const wwh_dispatch_t *dispatch);

/* The oldest decision not yet taken; false when there is none. */
bool wwh_dispatch_next_decision(wwh_dispatch_t *dispatch,
				wwh_decision_t *decision);

/* Ends every waiting request with WWH_ERROR_SHUTTING_DOWN, lets none in. */
void wwh_dispatch_close(wwh_dispatch_t *dispatch, int64_t now_ms);

/* Requests that wait or run, all services. */
int32_t wwh_dispatch_waiting(const wwh_dispatch_t *dispatch);
int32_t wwh_dispatch_running(const wwh_dispatch_t *dispatch);

/*
 * Visits every figure of the state: "service.ID.waiting",
 * "minion.ID.running", "minion.ID.share", ... (docs/operating/load.md).
 */
void wwh_dispatch_dump(const wwh_dispatch_t *dispatch,
		       wwh_counter_visit_t visit, void *client_data);

#endif
