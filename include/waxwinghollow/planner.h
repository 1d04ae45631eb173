#ifndef WAXWINGHOLLOW_PLANNER_H
#define WAXWINGHOLLOW_PLANNER_H

/*
 * NAME
 *	planner - the order and speed of a maintenance wave
 *
 * USE
 *	wwh_plan_new works out which worker goes when, how many of each pool
 *	are out at once, which jobs have to move and where to, and what that
 *	costs. The conductor uses the same order, worked out again from the
 *	view of the moment, so a plan is a forecast and never a schedule that
 *	has to be kept.
 *
 *	Answers three costs that pull against each other:
 *
 *	- Buffer. Each worker that a pool has out at once is one that the
 *	  operator must own beyond the need. A pool goes no faster than the
 *	  whole wave's end requires: with the time T in which the slowest pool
 *	  ends, each other pool has just so many out that it ends by T too. T
 *	  itself is the one with the least
 *	      buffer_weight * (share of the fleet held back, in percent)
 *	      + hours of T.
 *	- Moves. A job that is moved to a worker that is still to be
 *	  maintained moves again. So workers with nothing running go first,
 *	  and jobs move onto those that are done; each moves once wherever a
 *	  maintained worker has room. Without it the jobs of a pool move about
 *	  twice. A job that ends soon isn't moved at all but waited for, as
 *	  long as
 *	      move_weight * (moves saved)
 *	  is worth more than (1 + buffer_weight) for each hour of waiting.
 *	- Time. Workers go one after another within one zone and one rack
 *	  before the next: what is out then stands in the domain of which a
 *	  failure would take it anyway, so the reserve leaves room for more at
 *	  once, and jobs that are spread over zones lose one zone at a time.
 *
 *	The weights are points; 1 is an hour of the wave. They are rules of
 *	the operators, because their own costs differ.
 *
 * ORDER OF CALLS
 *	wwh_plan_options_defaults, wwh_plan_new, reads, wwh_plan_delete.
 */

#include "waxwinghollow/budget.h"

typedef struct {
	int32_t buffer_weight;
	int32_t move_weight;
	int32_t pool; /* index; WWH_FLEET_NONE: all pools */
	bool only_in_wave; /* leaves out workers that no wave is to maintain */
	int64_t checkpoint_ms; /* expected, for a job that has to move */
	int64_t drain_limit_ms; /* no job is waited for longer */
	int64_t service_ms; /* expected, reboot until back at full share */
	int64_t now_ms; /* of the clock that the view's times are of */
	int64_t utc_ms; /* since 1970, for the windows */
	const wwh_window_t *windows;
	int32_t window_count;
} wwh_plan_options_t;

/* One worker's turn. Times count open time from the wave's start. */
typedef struct {
	int32_t worker;
	int32_t batch; /* turns of a pool with one batch overlap */
	int64_t start_ms;
	int64_t wait_ms; /* jobs are let end by themselves for so long */
	int64_t end_ms;
	int32_t moves; /* jobs that move off it */
	int32_t again; /* of these, onto a worker still to be maintained */
	int32_t stranded; /* of these, without room anywhere: they queue */
} wwh_plan_step_t;

typedef struct {
	int32_t pool;
	int32_t workers; /* that have a turn */
	int32_t skipped; /* that aren't serving */
	int32_t out_at_once; /* chosen */
	int32_t most_at_once; /* that the limits allow */
	wwh_constraint_t binding; /* what keeps most_at_once from being more */
	int32_t held_back; /* out_at_once and the reserve */
	int32_t moves;
	int32_t again;
	int32_t stranded;
	int64_t duration_ms; /* open time */
	int64_t end_ms; /* time of day with windows; -1: never */
	bool blocked; /* some workers can't be taken out at all */
} wwh_plan_pool_t;

typedef struct {
	int32_t workers;
	int32_t skipped;
	int32_t held_back;
	int32_t moves;
	int32_t again;
	int32_t stranded;
	int32_t blocked_pools;
	int32_t batches;
	int64_t duration_ms;
	int64_t end_ms; /* time of day; -1: never */
	int32_t slowest_pool; /* index; WWH_FLEET_NONE: nothing to do */
	wwh_constraint_t binding; /* of the slowest pool */
	double cost; /* in points */
} wwh_plan_totals_t;

typedef struct wwh_plan wwh_plan_t;

void wwh_plan_options_defaults(wwh_plan_options_t *options);

/* Workers of the view that are maintained already have no turn. */
wwh_plan_t *wwh_plan_new(const wwh_fleet_view_t *view,
			 const wwh_plan_options_t *options);
void wwh_plan_delete(wwh_plan_t *plan);

const wwh_plan_totals_t *wwh_plan_totals(const wwh_plan_t *plan);
int32_t wwh_plan_pool_count(const wwh_plan_t *plan);
const wwh_plan_pool_t *wwh_plan_pool(const wwh_plan_t *plan, int32_t index);
int32_t wwh_plan_step_count(const wwh_plan_t *plan);
/* In the order of batches, then of start, then of worker. */
const wwh_plan_step_t *wwh_plan_step(const wwh_plan_t *plan, int32_t index);

/*
 * The pool's serving workers that aren't maintained, best first, into order,
 * which has room for the pool's size. Returns their count.
 */
int32_t wwh_plan_order(const wwh_fleet_view_t *view, int32_t pool,
		       const wwh_plan_options_t *options, int32_t *order);

/* How long to let the worker's jobs end by themselves. */
int64_t wwh_plan_wait_ms(const wwh_fleet_view_t *view, int32_t worker,
			 const wwh_plan_options_t *options);

/* The plan for people and for scripts; g_free. */
char *wwh_plan_text(const wwh_plan_t *plan, const wwh_fleet_view_t *view);
char *wwh_plan_json(const wwh_plan_t *plan, const wwh_fleet_view_t *view);

#endif
