#ifndef WAXWINGHOLLOW_PLANNER_H
#define WAXWINGHOLLOW_PLANNER_H

/*
 * NAME
 *	planner - the order and speed of a maintenance wave
 *
 * USE
 *	wwh_plan_new computes in which order the workers are maintained, how
 *	many of each pool are out at once, which jobs have to move and where
 *	to, and what that costs. The conductor uses the same order, recomputed
 *	from the current view, so a plan is a forecast and not a binding
 *	schedule.
 *
 *	Addresses three costs that conflict with each other:
 *
 *	- Buffer. Each worker that a pool has out at once is one that the
 *	  operator must own beyond the need. A pool goes no faster than the
 *	  end of the whole wave requires: if the slowest pool ends at time T,
 *	  each other pool has only as many workers out as it needs to end by T
 *	  too. T itself is the time with the least
 *	      buffer_weight * (share of the fleet held back, in percent)
 *	      + hours of T.
 *	- Moves. A job that moves to a worker that is still to be maintained
 *	  moves again. So workers that run no job go first, and jobs move to
 *	  workers that are already maintained; each job moves once wherever
 *	  such a worker has room. Without this order the jobs of a pool move
 *	  about twice. A job that ends soon is not moved but waited for, as
 *	  long as
 *	      move_weight * (moves saved)
 *	  is worth more than (1 + buffer_weight) for each hour of waiting.
 *	- Time. Workers of one zone and one rack are maintained before those of
 *	  the next. The workers that are out are then in the domain whose
 *	  failure would take them anyway, so the reserve allows more workers
 *	  out at once, and jobs that are spread over zones lose one zone at a
 *	  time.
 *
 *	The weights are in points; one point is an hour of the wave. Operators
 *	set them, because their costs differ.
 *
 * ORDER OF CALLS
 *	wwh_plan_options_defaults, wwh_plan_new, the accessors, wwh_plan_delete.
 */

#include "waxwinghollow/budget.h"

typedef struct {
	int32_t buffer_weight;
	int32_t move_weight;
	int32_t pool; /* index; WWH_FLEET_NONE: all pools */
	bool only_in_wave; /* omit workers that are not part of a wave */
	int64_t checkpoint_ms; /* expected, for jobs that have to move */
	int64_t drain_limit_ms; /* the longest wait for a job to end */
	int64_t service_ms; /* expected, from reboot to full share of work */
	int64_t now_ms; /* on the clock of the view's times */
	int64_t utc_ms; /* since 1970-01-01, for the windows */
	const wwh_window_t *windows;
	int32_t window_count;
} wwh_plan_options_t;

/*
 * The maintenance of one worker. Times count from the start of the wave and
 * include only the time in which the pool's windows are open.
 */
typedef struct {
	int32_t worker;
	int32_t batch; /* steps of a pool that belong to one batch overlap */
	int64_t start_ms;
	int64_t wait_ms; /* time in which jobs may end by themselves */
	int64_t end_ms;
	int32_t moves; /* jobs that must leave the worker */
	int32_t moves_again; /* of these, to a worker still to be maintained */
	int32_t moves_without_room; /* of these, to the queue: none has room */
} wwh_plan_step_t;

typedef struct {
	int32_t pool;
	int32_t workers; /* to be maintained */
	int32_t skipped; /* lost and not yet maintained */
	int32_t out_at_once; /* chosen by the plan */
	int32_t most_at_once; /* allowed by the limits */
	wwh_constraint_t limited_by; /* the constraint on most_at_once */
	int32_t held_back; /* out_at_once plus the reserve */
	int32_t moves;
	int32_t moves_again;
	int32_t moves_without_room;
	int64_t duration_ms; /* time with open windows only */
	int64_t end_ms; /* UTC, closed windows included; -1: never */
	bool blocked; /* some workers can never be taken out */
} wwh_plan_pool_t;

typedef struct {
	int32_t workers;
	int32_t skipped;
	int32_t held_back;
	int32_t moves;
	int32_t moves_again;
	int32_t moves_without_room;
	int32_t blocked_pools;
	int32_t batches;
	int64_t duration_ms;
	int64_t end_ms; /* UTC; -1: never */
	int32_t slowest_pool; /* index; WWH_FLEET_NONE: no worker to maintain */
	wwh_constraint_t limited_by; /* of the slowest pool */
	double cost; /* in points */
} wwh_plan_totals_t;

typedef struct wwh_plan wwh_plan_t;

void wwh_plan_options_defaults(wwh_plan_options_t *options);

/* Workers that are already maintained in the view are left out. */
wwh_plan_t *wwh_plan_new(const wwh_fleet_view_t *view,
			 const wwh_plan_options_t *options);
void wwh_plan_delete(wwh_plan_t *plan);

const wwh_plan_totals_t *wwh_plan_totals(const wwh_plan_t *plan);
int32_t wwh_plan_pool_count(const wwh_plan_t *plan);
const wwh_plan_pool_t *wwh_plan_pool(const wwh_plan_t *plan, int32_t index);
int32_t wwh_plan_step_count(const wwh_plan_t *plan);

/* Steps are sorted by batch, then start, then worker. */
const wwh_plan_step_t *wwh_plan_step(const wwh_plan_t *plan, int32_t index);

/*
 * Writes the pool's serving workers that are not yet maintained to order, the
 * first to be taken out first, and returns their count. order must have room
 * for all members of the pool.
 */
int32_t wwh_plan_order(const wwh_fleet_view_t *view, int32_t pool,
		       const wwh_plan_options_t *options, int32_t *order);

/*
 * The time to wait for the worker's jobs to end by themselves before the rest
 * are moved.
 */
int64_t wwh_plan_wait_ms(const wwh_fleet_view_t *view, int32_t worker,
			 const wwh_plan_options_t *options);

/*
 * The plan as text for people and as JSON for scripts. The caller frees the
 * result with g_free.
 */
char *wwh_plan_text(const wwh_plan_t *plan, const wwh_fleet_view_t *view);
char *wwh_plan_json(const wwh_plan_t *plan, const wwh_fleet_view_t *view);

#endif
