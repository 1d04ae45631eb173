#ifndef WWH_PRIVATE_DISPATCH_STATE_H
#define WWH_PRIVATE_DISPATCH_STATE_H

/*
 * NAME
 *	dispatch_state - what the files of the dispatcher share
 *
 * USE
 *	dispatch.c takes the events, dispatch_setup.c the configuration and
 *	the shares, dispatch_run.c starts, ends and retries, dispatch_loan.c
 *	lends slots, dispatch_dump.c shows the state.
 *
 * ORDER OF CALLS
 *	See dispatch.h.
 */

#include "waxwinghollow/admission.h"
#include "waxwinghollow/dispatch.h"
#include "waxwinghollow/ejection.h"
#include "waxwinghollow/limiter.h"
#include "waxwinghollow/loan.h"
#include "waxwinghollow/retry.h"
#include "waxwinghollow/router.h"
#include "waxwinghollow/shift.h"
#include "private/heap.h"

#define WWH_TRIED_MAX 4

typedef struct wwh_service_state wwh_service_state_t;
typedef struct wwh_minion_record wwh_minion_record_t;

typedef struct {
	char *id;
	int32_t limit; /* over all entry processes; 0: any */
	int32_t active; /* here, waiting or running */
	bool configured;
} wwh_team_state_t;

typedef enum {
	WWH_REQUEST_WAITING = 0,
	WWH_REQUEST_BACKING_OFF, /* until a retry */
	WWH_REQUEST_RUNNING,
	WWH_REQUEST_ENDED_RUNNING /* END was given, the attempt goes on */
} wwh_request_state_t;

typedef struct {
	uint64_t id;
	wwh_service_state_t *service;
	wwh_team_state_t *team; /* NULL: none */
	bool idempotent;
	bool may_have_run;
	wwh_request_state_t state;
	wwh_waiting_t waiting;
	wwh_heap_node_t timer; /* give up, or retry */
	wwh_minion_record_t *minion; /* while it runs */
	int32_t attempts;
	wwh_minion_record_t *tried[WWH_TRIED_MAX]; /* for comparison only */
	int32_t tried_count;
	int32_t retry_after_ms; /* the last that a minion told */
} wwh_request_record_t;

struct wwh_minion_record {
	char *id;
	wwh_service_state_t *service; /* NULL: not configured any more */
	bool own_zone;
	int32_t slots;
	int32_t connections;
	wwh_minion_state_t state; /* by event */
	bool configured_leaving;
	bool has_part; /* has had a share above 0 */
	int32_t seat_slots; /* of the own seats */
	int32_t seat_connections;
	wwh_loan_book_t *loans;
	wwh_limiter_t limiter;
	wwh_slot_limit_t bearing;
	wwh_ejection_t ejection;
	int64_t blocked_until_ms; /* its Retry-After */
	int64_t quiet_since_ms; /* last end, or start of the first */
	int64_t started; /* counters */
	int64_t failed;
	int64_t refused;
	int64_t ejected;
};

struct wwh_service_state {
	char *id;
	bool configured;
	bool urgent;
	int32_t deadline_ms;
	wwh_admission_t *admission;
	GPtrArray *minions; /* wwh_minion_record_t *, in the order of setup */
	wwh_retry_budget_t budget;
	wwh_shift_bucket_t ejections;
	wwh_heap_node_t wake; /* when a minion may have room by time alone */
	int32_t running;
	int32_t active; /* requests that hold a pointer to this */
	int64_t arrived; /* counters */
	int64_t answered;
	int64_t attempts;
	int64_t retries;
	int64_t cancelled;
	int64_t ended[WWH_ERROR_COUNT];
};

struct wwh_dispatch {
	wwh_dispatch_options_t options;
	char *zone;
	wwh_dispatch_share_t share;
	bool has_share;
	bool closed;
	bool set_up; /* configured before */
	GHashTable *requests; /* &id to wwh_request_record_t; for lookup only */
	GHashTable *services; /* id to state; for lookup only */
	GHashTable *minions;
	GHashTable *teams;
	GPtrArray *service_list; /* in the order of their first setup; owns */
	GPtrArray *minion_list;
	GPtrArray *team_list;
	wwh_heap_t timers; /* of requests: give up, retry */
	wwh_heap_t wakes; /* of services */
	GArray *decisions; /* wwh_decision_t */
	guint taken; /* of decisions */
	int32_t waiting;
	int32_t running;
	int64_t waiting_bytes;
	uint64_t last_number;
};

/* dispatch_run.c: starts what can be started. */
void wwh_dispatch_start_waiting(wwh_dispatch_t *dispatch, int64_t now_ms,
				wwh_service_state_t *service);
void wwh_dispatch_start_all_waiting(wwh_dispatch_t *dispatch, int64_t now_ms);
bool wwh_dispatch_can_start(wwh_dispatch_t *dispatch, int64_t now_ms,
			    const wwh_service_state_t *service);
void wwh_dispatch_enqueue(wwh_dispatch_t *dispatch, int64_t now_ms,
			  wwh_request_record_t *request);
void wwh_dispatch_attempt_ended(wwh_dispatch_t *dispatch, int64_t now_ms,
				wwh_request_record_t *request,
				const wwh_dispatch_result_t *result);

/* Gives the END decision; frees the request unless an attempt goes on. */
void wwh_dispatch_end(wwh_dispatch_t *dispatch, int64_t now_ms,
		      wwh_request_record_t *request, wwh_error_kind_t kind,
		      int32_t retry_after_ms);
void wwh_dispatch_emit_end(wwh_dispatch_t *dispatch, uint64_t request,
			   wwh_error_kind_t kind, int32_t retry_after_ms);
void wwh_dispatch_remove_request(wwh_dispatch_t *dispatch,
				 wwh_request_record_t *request);
void wwh_dispatch_free_request(gpointer data);

/* Retry-After for a refusal of that kind, as its row of error_kind wants. */
int32_t wwh_dispatch_retry_after(wwh_dispatch_t *dispatch, int64_t now_ms,
				 wwh_service_state_t *service, bool urgent,
				 wwh_error_kind_t kind);
void wwh_dispatch_set_timer(wwh_dispatch_t *dispatch, wwh_heap_t *timers,
			    wwh_heap_node_t *node, int64_t at_ms);
void wwh_dispatch_clear_timer(wwh_heap_t *timers, wwh_heap_node_t *node);

/* dispatch_loan.c: gives back what is recalled and unused. */
void wwh_dispatch_return_recalled_slots(wwh_minion_record_t *minion);

/* dispatch_setup.c: after seats, what it bears, or loans changed. */
void wwh_dispatch_set_seats(const wwh_dispatch_t *dispatch,
			    wwh_minion_record_t *minion);
void wwh_dispatch_apply_share(wwh_minion_record_t *minion);
void wwh_dispatch_update_capacity(wwh_service_state_t *service);
bool wwh_minion_takes_work(const wwh_minion_record_t *minion);

#endif
