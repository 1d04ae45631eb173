#ifndef WAXWINGHOLLOW_CONDUCTOR_H
#define WAXWINGHOLLOW_CONDUCTOR_H

/*
 * NAME
 *	conductor - carries out waves, moves, rehearsals, repairs and jobs of
 *	the pools whose leases this process holds
 *
 * USE
 *	The conductor does no I/O: each tick compares the view with the desired
 *	state and queues typed actions. The process carries them out and passes
 *	the results back. The conductor's memory only avoids repeated work:
 *	another process that acquires the lease finds every grant in the view,
 *	queries the platform, and continues from the worker's current state.
 *
 *	How it handles faults:
 *
 *	- A process that dies, freezes or races another. No command is sent to
 *	  a worker before its grant was read back as accepted, and every
 *	  command carries the grant's offset as its fence. A worker is released
 *	  under a newer offset, so that the platform rejects a command which
 *	  was decided under the grant and sent late. Without this a process
 *	  that resumes could reboot a worker that serves again.
 *	- Lost answers. A command is repeated with the same fence, which has no
 *	  second effect, and the worker's status is queried before the next
 *	  step: the step depends on the status that the platform reports, never
 *	  on the answer to a command.
 *	- Failures within a wave. They count against the disruption budget, so
 *	  fewer workers or none may be taken out. In addition the pool's wave
 *	  pauses for settle_failure_ms, which is longer than the list of hosts
 *	  lags, because failures tend to come in groups.
 *	- Interrupted work. A worker is rebooted only when the platform reports
 *	  it as drained, no task runs on it and no entry process counts a
 *	  request on it. When that takes longer than the rules' drain limit the
 *	  worker is released without a reboot and reported.
 *	- A slow or unavailable platform. Repeats wait from retry_min_ms to
 *	  retry_max_ms with jitter, and repeats_per_tick limits their total
 *	  number. First attempts aren't limited by it: renewals of tasks'
 *	  leases would starve behind the repeats, and tasks would be stopped.
 *
 * ORDER OF CALLS
 *	wwh_conductor_new; then repeatedly wwh_conductor_tick,
 *	wwh_conductor_next_action until it returns false, and
 *	wwh_conductor_handle_result for each action that isn't TELL, at any later
 *	time; wwh_conductor_delete. Actions that are left in the queue are
 *	discarded by the next tick. All calls come from one thread;
 *	wwh_action_perform may run in any other.
 */

#include "waxwinghollow/counters.h"
#include "waxwinghollow/fleet_view.h"
#include "waxwinghollow/placement.h"
#include "waxwinghollow/platform.h"
#include "waxwinghollow/state.h"

typedef struct {
	const char *author; /* id of this incarnation in records */
	uint32_t seed; /* of the retry jitter */
	wwh_counters_t *counters; /* may be NULL */
	int64_t cordon_delay_ms; /* until every entry process applies a cordon */
	int64_t status_interval_ms; /* between status queries of a worker */
	int64_t retry_min_ms;
	int64_t retry_max_ms;
	int64_t answer_timeout_ms; /* later the result counts as unknown */
	int32_t repeats_per_tick; /* of actions that failed before */
	int64_t checkpoint_ms; /* expected duration, for the plan */
	int64_t reboot_ms; /* expected duration, for the plan */
	int64_t check_ms; /* minimum uptime of a rebooted worker */
	int64_t slow_start_ms; /* until a worker that is up counts as serving */
	int64_t settle_ms; /* after a drain that was accepted without effect */
	int64_t settle_failure_ms;
	int64_t replan_interval_ms;
	int64_t rehearsal_duration_ms; /* for which the whole domain is out */
	int64_t rehearsal_timeout_ms; /* maximum, with the time to drain */
	int32_t rehearsal_unknown_max; /* more unknown answers stop it */
	int64_t placement_interval_ms; /* between placement passes */
	wwh_placement_options_t placement; /* teams come from the view */
} wwh_conductor_options_t;

typedef enum {
	WWH_ACTION_APPEND = 0, /* a record to stream control */
	WWH_ACTION_COMMAND,
	WWH_ACTION_GET_STATUS, /* query a worker's status */
	WWH_ACTION_TASK,
	WWH_ACTION_LOG, /* a message for the log; has no result */
	WWH_ACTION_KIND_COUNT
} wwh_action_kind_t;

/*
 * Names of wwh_action_kind_t, in the same order. GET_STATUS is named "look"
 * and LOG is named "tell".
 */
extern const char *const wwh_action_kind_names[WWH_ACTION_KIND_COUNT];

typedef struct {
	wwh_action_kind_t kind;
	int64_t id;
	wwh_record_t record; /* APPEND */
	char *worker; /* COMMAND, GET_STATUS, TASK */
	wwh_command_t command; /* COMMAND */
	char *task; /* TASK */
	wwh_task_verb_t verb; /* TASK */
	int64_t fence; /* COMMAND, TASK */
	wwh_load_t load; /* TASK */
	int32_t lease_ms; /* TASK */
	char *text; /* LOG */
} wwh_action_t;

typedef struct {
	int64_t id; /* of the action */
	wwh_status_t status; /* APPEND: UNKNOWN until the verdict is known */
	wwh_verdict_t verdict; /* APPEND with status OK */
	wwh_worker_status_t worker; /* GET_STATUS with status OK */
} wwh_action_result_t;

/* Total answers to callers, over all known entry processes. */
typedef struct {
	int64_t answered;
	int64_t not_run;
	int64_t unknown;
} wwh_caller_counts_t;

typedef struct wwh_conductor wwh_conductor_t;

void wwh_conductor_options_defaults(wwh_conductor_options_t *options);

/* Aborts the process if a linked state chart is invalid. */
wwh_conductor_t *wwh_conductor_new(const wwh_conductor_options_t *options);
void wwh_conductor_delete(wwh_conductor_t *conductor);

/* The view is read only during the call. */
void wwh_conductor_tick(wwh_conductor_t *conductor, int64_t now_ms,
			const wwh_fleet_view_t *view);

/* Returns false if the queue is empty; else the caller clears the action. */
bool wwh_conductor_next_action(wwh_conductor_t *conductor,
			       wwh_action_t *action);

void wwh_conductor_handle_result(wwh_conductor_t *conductor,
				 const wwh_action_result_t *result,
				 int64_t now_ms);

/*
 * Sets the difference between UTC since 1970, in which windows are configured,
 * and now_ms. It is 0 at first. Call it before a tick whenever it may have
 * changed.
 */
void wwh_conductor_set_utc(wwh_conductor_t *conductor, int64_t utc_offset_ms);

/*
 * Passes on the callers' totals. Rehearsals stop when too many answers are
 * unknown, and report the changes.
 */
void wwh_conductor_set_caller_counts(wwh_conductor_t *conductor,
				     const wwh_caller_counts_t *counts);

/* Returns why a job waits, or NONE if no reason is known. */
wwh_reason_t wwh_conductor_job_reason(const wwh_conductor_t *conductor,
				      const char *job);

/*
 * Return the report of a rehearsal that this conductor leads or led, to be freed
 * with g_free, or NULL if there is none.
 */
char *wwh_conductor_rehearsal_text(const wwh_conductor_t *conductor,
				   const char *rehearsal);
char *wwh_conductor_rehearsal_json(const wwh_conductor_t *conductor,
				   const char *rehearsal);

/*
 * Returns the states of waves and workers and the number of jobs and of actions
 * in flight as JSON, to be freed with g_free.
 */
char *wwh_conductor_dump(const wwh_conductor_t *conductor);

/* Carries out COMMAND, GET_STATUS or TASK; blocks for at most timeout_ms. */
void wwh_action_perform(const wwh_action_t *action,
			const wwh_platform_t *platform, int32_t timeout_ms,
			wwh_action_result_t *result);
void wwh_action_clear(wwh_action_t *action);

#endif
