#ifndef WAXWINGHOLLOW_PRIVATE_PLAN_POOL_H
#define WAXWINGHOLLOW_PRIVATE_PLAN_POOL_H

/*
 * NAME
 *	plan_pool - the turns of one pool's workers, played out in advance
 */

#include "waxwinghollow/planner.h"

/* What so many workers out at once would come to. */
typedef struct {
	int32_t asked; /* out at once, at most */
	int32_t peak; /* out at once, reached */
	int64_t duration_ms;
	wwh_constraint_t binding; /* what stood against one more */
	int32_t left; /* workers that could not be taken out */
} wwh_plan_speed_t;

typedef struct {
	const wwh_fleet_view_t *view;
	const wwh_plan_options_t *options;
	int32_t pool;
	int32_t *order;
	int32_t order_count;
	int64_t *turn_ms; /* a worker of order */
	GArray *speeds; /* of wwh_plan_speed_t, slowest first */
} wwh_plan_pool_work_t;

void wwh_plan_pool_init(wwh_plan_pool_work_t *work,
			const wwh_fleet_view_t *view, int32_t pool,
			const wwh_plan_options_t *options);
void wwh_plan_pool_finish(wwh_plan_pool_work_t *work);

/*
 * Plays the turns with at most asked out at once; appends wwh_plan_step_t to
 * steps unless it is NULL.
 */
wwh_plan_speed_t wwh_plan_pool_play(const wwh_plan_pool_work_t *work,
				    int32_t asked, GArray *steps);

/* Finds targets for the jobs of the steps, which are in order of start. */
void wwh_plan_pool_move_jobs(const wwh_plan_pool_work_t *work,
			     wwh_plan_step_t *steps, int32_t count);

#endif
