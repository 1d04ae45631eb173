#ifndef WAXWINGHOLLOW_PRIVATE_PLAN_POOL_H
#define WAXWINGHOLLOW_PRIVATE_PLAN_POOL_H

/*
 * NAME
 *	plan_pool - simulation of the maintenance of one pool's workers
 */

#include "waxwinghollow/planner.h"

/* The result of a simulation with at most max_out workers out at once. */
typedef struct {
	int32_t max_out;
	int32_t peak_out; /* workers out at once that were reached */
	int64_t duration_ms;
	wwh_constraint_t limited_by; /* the constraint on one more worker */
	int32_t blocked_workers; /* workers that could not be taken out */
} wwh_plan_simulation_t;

typedef struct {
	const wwh_fleet_view_t *view;
	const wwh_plan_options_t *options;
	int32_t pool;
	int32_t *order;
	int32_t order_count;
	int64_t *maintenance_ms; /* by position in order; with waiting */
	GArray *simulations; /* of wwh_plan_simulation_t, slowest first */
} wwh_pool_planner_t;

void wwh_plan_pool_init(wwh_pool_planner_t *planner,
			const wwh_fleet_view_t *view, int32_t pool,
			const wwh_plan_options_t *options);
void wwh_plan_pool_finish(wwh_pool_planner_t *planner);

/*
 * Simulates the maintenance of the workers in order with at most max_out of
 * them out at once. Appends a wwh_plan_step_t for each to steps unless steps
 * is NULL.
 */
wwh_plan_simulation_t wwh_plan_pool_simulate(const wwh_pool_planner_t *planner,
					     int32_t max_out, GArray *steps);

/*
 * Finds target workers for the jobs of the steps and counts the moves in each
 * step. The steps must be sorted by start.
 */
void wwh_plan_pool_move_jobs(const wwh_pool_planner_t *planner,
			     wwh_plan_step_t *steps, int32_t count);

#endif
