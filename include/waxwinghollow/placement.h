#ifndef WAXWINGHOLLOW_PLACEMENT_H
#define WAXWINGHOLLOW_PLACEMENT_H

/*
 * NAME
 *	placement - which job runs on which worker
 *
 * USE
 *	A wwh_placement_t is created from a view, returns an ordered list of
 *	decisions for each pool, and is then deleted. The conductor turns a
 *	START into a lease record and, once that record was read back as
 *	accepted, sends the order to the worker.
 *
 *	Addresses:
 *
 *	- Declared sizes that are far from the actual use. A job that has run
 *	  for observe_ms counts with its observed use plus margin_percent;
 *	  before that it counts with its declared size. If observed use counted
 *	  at once, a lagging report would show a starting job as small and the
 *	  worker would be overcommitted; if it never counted, workers would
 *	  be half empty. observe_ms must be longer than the lag of the
 *	  reports.
 *	- Jobs that can never run. They are reported as impossible, with the
 *	  reason, in the first pass and leave the queue. Otherwise they would
 *	  stay at its head and block every job behind them.
 *	- Large jobs among small ones. A job that does not fit is skipped, so
 *	  that it blocks no other job. After reserve_after_ms one worker is
 *	  reserved: it accepts no other bulk job until the job fits, so that
 *	  small jobs cannot starve it.
 *	- Urgent jobs in a full fleet. Urgent jobs go first. Where no worker
 *	  has room, bulk jobs of one worker are preempted: throttled to
 *	  THROTTLE_FLOOR_PERCENT of their cores, and checkpointed where
 *	  memory or accelerators are short. The worker with the fewest
 *	  checkpoints is chosen. Both orders take effect when the worker
 *	  receives them, so an urgent job never waits for another job's end or
 *	  for a usage report. It starts one append and two orders after it was
 *	  seen.
 *	- Workers that use more than they have. Bulk jobs that use more than
 *	  they declared are throttled first; only a shortage of memory, which
 *	  can't be throttled, leads to a checkpoint. Only a cancelled job is
 *	  stopped.
 *	- Two concurrent runs of a non-idempotent job. A job whose lease expired
 *	  while its holder was paused is placed again only after
 *	  wwh_placement_earliest_rerun_ms: its worker stops the job by itself
 *	  when the lease expires, and lapse_margin_ms allows for clocks that
 *	  drift apart. The platform refuses orders with a fence older than the
 *	  newest that it has seen for the task.
 *
 * ORDER OF CALLS
 *	wwh_placement_options_defaults, wwh_placement_new, then
 *	wwh_placement_pass for each pool, wwh_placement_delete. The view must
 *	outlive the placement.
 */

#include "waxwinghollow/config.h"
#include "waxwinghollow/fleet_view.h"

/* Whether the job must not be placed on the worker because it failed there. */
typedef bool (*wwh_placement_avoid_t)(const char *job, const char *worker,
				      void *client_data);

typedef struct {
	wwh_placement_avoid_t avoid; /* may be NULL */
	void *client_data; /* passed to avoid */
	int32_t margin_percent;
	int64_t observe_ms;
	int64_t reserve_after_ms;
	int32_t starts_per_pass; /* limits the orders of one pass */
	int32_t lease_ms;
	int32_t lapse_margin_ms;
	const wwh_team_t *teams;
	int32_t team_count;
} wwh_placement_options_t;

typedef enum {
	WWH_PLACEMENT_START = 0,
	WWH_PLACEMENT_THROTTLE, /* to cpu_millicores of the decision */
	WWH_PLACEMENT_CHECKPOINT, /* to free resources; resumed elsewhere */
	WWH_PLACEMENT_IMPOSSIBLE,
	WWH_PLACEMENT_WAIT,
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
	WWH_REASON_TEAM_TOO_SMALL, /* more than the team's quota */
	WWH_REASON_QUOTA, /* the team has too little of its quota left */
	WWH_REASON_NO_ROOM, /* no worker has room now */
	WWH_REASON_LEASE, /* an earlier run may still be running */
	WWH_REASON_PASS_LIMIT, /* starts_per_pass is reached */
	WWH_REASON_OVERLOAD, /* the worker uses more than it has */
	WWH_REASON_URGENT, /* frees resources for an urgent job */
	WWH_REASON_FAILS, /* failed on every worker that it ran on */
	WWH_REASON_COUNT
} wwh_reason_t;

/* Names of wwh_reason_t, in the same order. */
extern const char *const wwh_reason_names[WWH_REASON_COUNT];

typedef struct {
	wwh_placement_kind_t kind;
	wwh_reason_t reason;
	int32_t job;
	int32_t worker; /* WWH_FLEET_NONE: the decision concerns no worker */
	int64_t cpu_millicores; /* of WWH_PLACEMENT_THROTTLE */
} wwh_placement_decision_t;

typedef struct wwh_placement wwh_placement_t;

void wwh_placement_options_defaults(wwh_placement_options_t *options);

wwh_placement_t *wwh_placement_new(const wwh_fleet_view_t *view,
				   const wwh_placement_options_t *options,
				   int64_t now_ms);
void wwh_placement_delete(wwh_placement_t *placement);

/*
 * Appends the pool's decisions to decisions (of wwh_placement_decision_t), in
 * the order in which they must be executed. The placement accounts for each
 * decision, so that later ones do not assign the same resources twice.
 */
void wwh_placement_pass(wwh_placement_t *placement, int32_t pool,
			GArray *decisions);

/* The resources that the job counts for: observed or declared, see USE. */
wwh_load_t wwh_placement_required(const wwh_fleet_job_t *job,
				  const wwh_placement_options_t *options,
				  int64_t now_ms);

/* The free resources of the worker; negative where it is overcommitted. */
wwh_load_t wwh_placement_available(const wwh_placement_t *placement,
				   int32_t worker);

/*
 * The time from which on a new run of the job cannot overlap with an earlier
 * run whose state is unknown; 0 if there is no need to wait.
 */
int64_t wwh_placement_earliest_rerun_ms(const wwh_fleet_job_t *job,
					const wwh_placement_options_t *options);

#endif
