#ifndef WAXWINGHOLLOW_CONDUCTOR_H
#define WAXWINGHOLLOW_CONDUCTOR_H

/*
 * NAME
 *	conductor - carries out waves, moves, rehearsals, repairs and jobs of
 *	the pools whose leases this process holds
 *
 * USE
 *	Pure: each tick compares the view with what is to be and leaves typed
 *	actions in a queue. The process carries them out and feeds the results
 *	back. What the conductor remembers only spares work: another process
 *	that takes over the lease finds every grant in the view, looks at the
 *	platform, and goes on from where the worker is.
 *
 *	Answers:
 *
 *	- A process that dies, freezes or races another. Nothing is done to a
 *	  worker before its grant was read back as accepted, and every command
 *	  carries the grant's offset as its fence. A worker is given back
 *	  under a newer offset, so that a command which was decided under the
 *	  grant and sent late is refused: without it a process that wakes up
 *	  could reboot a worker that serves again.
 *	- Answers that are lost. A command is repeated with the same fence,
 *	  which has no second effect, and the worker is looked at before the
 *	  next step: the step depends on what the platform says it is, never
 *	  on an answer.
 *	- Failures within a wave. They count against the budget, so fewer may
 *	  be taken out, or none; besides, the pool's wave holds for
 *	  settle_failure_ms, which is longer than the list lags, because
 *	  failures come together.
 *	- Work that is cut off. A worker is rebooted only when the platform
 *	  calls it drained, no task runs on it and no entry process counts a
 *	  request on it; when that takes longer than the rules' drain limit it
 *	  is given back untouched and reported.
 *	- A platform that is slow or down. Repeats wait from retry_min_ms to
 *	  retry_max_ms with jitter, and repeats_per_tick bounds them all.
 *	  First tries aren't bounded by it: renewals of tasks' leases would
 *	  starve behind the repeats, and tasks would be stopped.
 *
 * ORDER OF CALLS
 *	wwh_conductor_new; then again and again: wwh_conductor_tick,
 *	wwh_conductor_next_action until it returns false, and
 *	wwh_conductor_handle_result for each action that isn't TELL, at any later
 *	time; wwh_conductor_delete. Actions that weren't taken from the queue
 *	are dropped by the next tick. One thread. wwh_action_perform may run in
 *	any other.
 */

#include "waxwinghollow/counters.h"
#include "waxwinghollow/fleet_view.h"
#include "waxwinghollow/placement.h"
#include "waxwinghollow/platform.h"
#include "waxwinghollow/state.h"

typedef struct {
	const char *author; /* this incarnation, as in records */
	uint32_t seed; /* of the jitter */
	wwh_counters_t *counters; /* may be NULL */
	int64_t cordon_delay_ms; /* until every entry process knows of a cordon */
	int64_t status_interval_ms; /* between two looks at one worker */
	int64_t retry_min_ms;
	int64_t retry_max_ms;
	int64_t answer_timeout_ms; /* a result later than this is "unknown" */
	int32_t repeats_per_tick; /* of all that went wrong before */
	int64_t checkpoint_ms; /* expected, for the plan */
	int64_t reboot_ms; /* expected, for the plan */
	int64_t check_ms; /* a rebooted worker must stay up so long */
	int64_t slow_start_ms; /* until it counts as serving again */
	int64_t settle_ms; /* after a repeated drain without effect */
	int64_t settle_failure_ms;
	int64_t replan_interval_ms;
	int64_t rehearsal_duration_ms; /* a domain is kept out so long */
	int64_t rehearsal_timeout_ms; /* a rehearsal ends then at the latest */
	int32_t rehearsal_unknown_max; /* unknown answers that stop it */
	int64_t placement_interval_ms; /* between two passes of placement */
	wwh_placement_options_t placement; /* teams come from the view */
} wwh_conductor_options_t;

typedef enum {
	WWH_ACTION_APPEND = 0, /* a record to stream control */
	WWH_ACTION_COMMAND,
	WWH_ACTION_GET_STATUS, /* ask for a worker's status */
	WWH_ACTION_TASK,
	WWH_ACTION_LOG, /* a change of state, for the log; no result */
	WWH_ACTION_KIND_COUNT
} wwh_action_kind_t;

/* Names of wwh_action_kind_t, in the same order. */
extern const char *const wwh_action_kind_names[WWH_ACTION_KIND_COUNT];

typedef struct {
	wwh_action_kind_t kind;
	int64_t id;
	wwh_record_t record; /* APPEND */
	char *worker; /* COMMAND, LOOK, TASK */
	wwh_command_t command; /* COMMAND */
	char *task; /* TASK */
	wwh_task_verb_t verb; /* TASK */
	int64_t fence; /* COMMAND, TASK */
	wwh_load_t load; /* TASK */
	int32_t lease_ms; /* TASK */
	char *text; /* TELL */
} wwh_action_t;

typedef struct {
	int64_t id; /* of the action */
	wwh_status_t status; /* APPEND: UNKNOWN until the verdict is known */
	wwh_verdict_t verdict; /* APPEND with status OK */
	wwh_worker_status_t worker; /* LOOK with status OK */
} wwh_action_result_t;

/* What callers got so far, over all entry processes that are known. */
typedef struct {
	int64_t answered;
	int64_t not_run;
	int64_t unknown;
} wwh_caller_counts_t;

typedef struct wwh_conductor wwh_conductor_t;

void wwh_conductor_options_defaults(wwh_conductor_options_t *options);

/* Asserts that the linked charts are sound; a test covers that. */
wwh_conductor_t *wwh_conductor_new(const wwh_conductor_options_t *options);
void wwh_conductor_delete(wwh_conductor_t *conductor);

/* view is read during the call only. */
void wwh_conductor_tick(wwh_conductor_t *conductor, int64_t now_ms,
			const wwh_fleet_view_t *view);

/* False when there is none; else the caller clears the action. */
bool wwh_conductor_next_action(wwh_conductor_t *conductor,
			       wwh_action_t *action);

void wwh_conductor_handle_result(wwh_conductor_t *conductor,
				 const wwh_action_result_t *result,
				 int64_t now_ms);

/*
 * What to add to now_ms for the time since 1970 in UTC, which the windows are
 * given in; 0 at first. Before a tick, whenever it may have changed.
 */
void wwh_conductor_set_utc(wwh_conductor_t *conductor, int64_t utc_offset_ms);

/* For rehearsals: they stop when callers suffer, and report what they saw. */
void wwh_conductor_set_caller_counts(wwh_conductor_t *conductor,
				     const wwh_caller_counts_t *counts);

/* Why a waiting job waits; NONE when nothing is known of it. */
wwh_reason_t wwh_conductor_job_reason(const wwh_conductor_t *conductor,
				      const char *job);

/* The report of a rehearsal led here; NULL: none such. g_free. */
char *wwh_conductor_rehearsal_text(const wwh_conductor_t *conductor,
				   const char *rehearsal);
char *wwh_conductor_rehearsal_json(const wwh_conductor_t *conductor,
				   const char *rehearsal);

/* Charts' states, what is in flight, plans; JSON, g_free. */
char *wwh_conductor_dump(const wwh_conductor_t *conductor);

/* Carries out COMMAND, LOOK or TASK; blocks for timeout_ms at most. */
void wwh_action_perform(const wwh_action_t *action,
			const wwh_platform_t *platform, int32_t timeout_ms,
			wwh_action_result_t *result);
void wwh_action_clear(wwh_action_t *action);

#endif
