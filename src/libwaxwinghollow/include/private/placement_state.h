#ifndef WAXWINGHOLLOW_PRIVATE_PLACEMENT_STATE_H
#define WAXWINGHOLLOW_PRIVATE_PLACEMENT_STATE_H

/*
 * NAME
 *	placement_state - the available resources of each worker and the
 *	resource use of each team while a placement is computed
 */

#include "waxwinghollow/placement.h"

typedef struct {
	int32_t job;
	int32_t pool;
	int64_t order; /* by wwh_policy_order_key */
} wwh_placement_pending_t;

struct wwh_placement {
	const wwh_fleet_view_t *view;
	wwh_placement_options_t options;
	int64_t now_ms;
	wwh_load_t *available; /* by worker */
	wwh_load_t *team_use; /* by team; sums of declared sizes */
	int32_t *assigned_worker; /* by job; assigned by this placement */
	GArray *assigned_jobs; /* of int32_t */
	GArray *pending; /* of wwh_placement_pending_t, sorted by pool */
	int64_t *throttled_millicores; /* by job; -1: not throttled */
};

/* Whether the worker accepts new jobs. */
bool wwh_placement_accepts_jobs(const wwh_placement_t *placement,
				int32_t worker);

/*
 * Returns, for each zone, the number of jobs of the job's group that run there
 * in its pool, including jobs that this placement assigned. The caller frees
 * the array with g_free.
 */
int32_t *wwh_placement_group_by_zone(const wwh_placement_t *placement,
				     int32_t job);

/* Counts the job as running on the worker. */
void wwh_placement_assign(wwh_placement_t *placement, int32_t job,
			  int32_t worker);

/*
 * Frees resources for an urgent job by preempting bulk jobs of one worker.
 * Appends the THROTTLE and CHECKPOINT decisions and returns the worker, or
 * WWH_FLEET_NONE if no worker has enough bulk jobs.
 */
int32_t wwh_placement_preempt(wwh_placement_t *placement, int32_t job,
			      GArray *decisions);

/*
 * Appends a THROTTLE or CHECKPOINT decision for each worker of the pool that
 * uses more than it has.
 */
void wwh_placement_relieve_overload(wwh_placement_t *placement, int32_t pool,
				    GArray *decisions);

#endif
