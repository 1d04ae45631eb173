#ifndef WAXWINGHOLLOW_PRIVATE_PLACE_BOARD_H
#define WAXWINGHOLLOW_PRIVATE_PLACE_BOARD_H

/*
 * NAME
 *	place_board - the room of every worker and the use of every team while
 *	a placement is worked out
 */

#include "waxwinghollow/placement.h"

typedef struct {
	int32_t job;
	int32_t pool;
	int64_t order; /* by wwh_policy_order */
} wwh_place_waiting_t;

struct wwh_placement {
	const wwh_fleet_view_t *view;
	wwh_placement_options_t options;
	int64_t now_ms;
	wwh_load_t *room; /* a worker */
	wwh_load_t *team_use; /* a team; of declared sizes */
	int32_t *placed; /* a job: worker given in this placement */
	GArray *placed_jobs; /* of int32_t */
	GArray *waiting; /* of wwh_place_waiting_t, by pool */
	int64_t *throttled; /* a job: millicores it was throttled to; -1: not */
};

/* Whether the worker takes new jobs at all. */
bool wwh_board_takes_jobs(const wwh_placement_t *board, int32_t worker);

/*
 * For each zone how many of the job's group run there in its pool, those just
 * placed included. The caller frees it with g_free.
 */
int32_t *wwh_board_group_by_zone(const wwh_placement_t *board, int32_t job);

/* Counts the job as running on the worker. */
void wwh_board_place(wwh_placement_t *board, int32_t job, int32_t worker);

/*
 * Room for an urgent job on a worker where bulk gives way: appends the
 * THROTTLE and CHECKPOINT decisions and returns the worker, or NONE.
 */
int32_t wwh_board_make_room(wwh_placement_t *board, int32_t job,
			    GArray *decisions);

/* Relieves workers of the pool that use more than they have. */
void wwh_board_relieve(wwh_placement_t *board, int32_t pool, GArray *decisions);

#endif
