#ifndef WAXWINGHOLLOW_PLACEMENT_H
#define WAXWINGHOLLOW_PLACEMENT_H

/*
 * NAME
 *	placement - which job runs on which worker
 *
 * USE
 *	A wwh_placement_t is made from a view, answers for each pool with an
 *	ordered list of decisions, and is thrown away. The conductor turns a
 *	START into a lease record and, once that was read back as accepted,
 *	into an order to the worker.
 *
 *	Answers:
 *
 *	- Declared sizes that are far from the truth. A job that has run for
 *	  observe_ms counts with what it was seen to use and margin_percent on
 *	  top; before that with what was declared. Believed at once, a report
 *	  that lags would show a starting job as small and the worker would be
 *	  overfilled; never believed, workers stand half empty. observe_ms has
 *	  to be longer than the lag of the reports.
 *	- Jobs that can never run. They are told so with the reason at the
 *	  first pass and leave the queue; without it they sit at its head and
 *	  everything behind them waits.
 *	- Large jobs among small ones. A job that found no room is passed over,
 *	  so that it blocks nobody; after reserve_after_ms one worker takes no
 *	  other bulk until the job fits, so that nobody starves it.
 *	- Urgent work at a full fleet. It goes first. Where no worker has room,
 *	  bulk jobs of one worker are throttled to THROTTLE_FLOOR of their
 *	  cores; where memory is short, the fewest bulk jobs are checkpointed.
 *	  Both are orders that act when the worker has them: an urgent job
 *	  never waits for another one's end or for a usage report. It starts
 *	  one append and two orders after it was seen.
 *	- Workers that use more than they have. Bulk jobs that use more than
 *	  they declared are throttled first; only memory, which can't be
 *	  throttled, leads to a checkpoint. Nothing is stopped but a cancelled
 *	  job.
 *	- Two runs of a non-idempotent job. A job whose lease lapsed while its
 *	  holder was paused is placed again only after wwh_placement_earliest_rerun_ms:
 *	  its worker stops it by itself when the lease lapses, and lapse_margin
 *	  is for clocks that run apart. The platform refuses orders with an
 *	  older fence than the newest that it saw for the task.
 *
 * ORDER OF CALLS
 *	wwh_placement_options_defaults, wwh_placement_new, then
 *	wwh_placement_pass for each pool, wwh_placement_delete. The view must
 *	live as long.
 */

#include "waxwinghollow/config.h"
#include "waxwinghollow/fleet_view.h"

/* Whether the job should not run on the worker, where it failed before. */
typedef bool (*wwh_placement_avoid_t)(const char *job, const char *worker,
				      void *client_data);

typedef struct {
	wwh_placement_avoid_t avoid; /* may be NULL */
	void *client_data; /* of avoid */
	int32_t margin_percent;
	int64_t observe_ms;
	int64_t reserve_after_ms;
	int32_t starts_per_pass; /* bounds the orders of one pass */
	int32_t lease_ms;
	int32_t lapse_margin_ms;
	const wwh_team_t *teams;
	int32_t team_count;
} wwh_placement_options_t;

typedef enum {
	WWH_PLACEMENT_START = 0,
	WWH_PLACEMENT_THROTTLE, /* to cores of the decision */
	WWH_PLACEMENT_CHECKPOINT, /* room is needed; it goes on elsewhere */
	WWH_PLACEMENT_IMPOSSIBLE,
	WWH_PLACEMENT_WAIT, /* told with the reason */
	WWH_PLACEMENT_KIND_COUNT
} wwh_placement_kind_t;

/* Names of wwh_placement_kind_t, in the same order. */
extern const char *const wwh_placement_kind_names[WWH_PLACEMENT_KIND_COUNT];

typedef enum {
	WWH_REASON_NONE = 0,
	WWH_REASON_NO_POOL,
	WWH_REASON_CORES, /* more than any worker of the pool has */
	WWH_REASON_MEMORY,
	WWH_REASON_ACCELERATORS,
	WWH_REASON_TEAM_TOO_SMALL, /* more than the team may ever hold */
	WWH_REASON_QUOTA, /* the team holds too much now */
	WWH_REASON_NO_ROOM, /* no worker has room now */
	WWH_REASON_LEASE, /* an earlier run may still go on */
	WWH_REASON_PASS_LIMIT, /* in a later pass */
	WWH_REASON_OVERLOAD, /* the worker uses more than it has */
	WWH_REASON_URGENT, /* room for urgent work */
	WWH_REASON_FAILS, /* it failed on every worker that it ran on */
	WWH_REASON_COUNT
} wwh_reason_t;

/* Names of wwh_reason_t, in the same order. */
extern const char *const wwh_reason_names[WWH_REASON_COUNT];

typedef struct {
	wwh_placement_kind_t kind;
	wwh_reason_t reason;
	int32_t job;
	int32_t worker; /* WWH_FLEET_NONE where none is meant */
	int64_t cpu_millicores; /* THROTTLE */
} wwh_placement_decision_t;

typedef struct wwh_placement wwh_placement_t;

void wwh_placement_options_defaults(wwh_placement_options_t *options);

wwh_placement_t *wwh_placement_new(const wwh_fleet_view_t *view,
				   const wwh_placement_options_t *options,
				   int64_t now_ms);
void wwh_placement_delete(wwh_placement_t *placement);

/*
 * Appends the pool's decisions to decisions (of wwh_placement_decision_t), in the order in
 * which they have to be carried out. Each decision is counted in the
 * placement, so that later ones don't give the same room twice.
 */
void wwh_placement_pass(wwh_placement_t *placement, int32_t pool,
			GArray *decisions);

/* What the job counts for; see NAME. */
wwh_load_t wwh_placement_need(const wwh_fleet_job_t *job,
			      const wwh_placement_options_t *options,
			      int64_t now_ms);

/* What is left of the worker; negative where it is overfilled. */
wwh_load_t wwh_placement_room(const wwh_placement_t *placement, int32_t worker);

/* From when on another run of a job whose run is unknown can't overlap. */
int64_t wwh_placement_earliest_rerun_ms(const wwh_fleet_job_t *job,
					const wwh_placement_options_t *options);

#endif
