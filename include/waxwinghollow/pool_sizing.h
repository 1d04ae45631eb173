#ifndef WAXWINGHOLLOW_POOL_SIZING_H
#define WAXWINGHOLLOW_POOL_SIZING_H

/*
 * NAME
 *	pool_sizing - how many hosts each pool should have, from its backlog
 *
 * USE
 *	Pure arithmetic: what waits and runs in each pool goes in, the number
 *	of hosts each should have comes out.
 *
 * LOAD
 *	Pools are busy by turns: one gets more work for some seconds than all
 *	its hosts can do, while the others have next to none. Without moves
 *	most of that work ends late, beside hosts that stand idle and are paid
 *	for.
 *
 * ORDER OF CALLS
 *	wwh_pool_sizing_new; wwh_pool_sizing_desired_hosts each time with the figures
 *	of the moment, whose history it keeps by pool; wwh_pool_sizing_delete.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	int64_t remaining_work; /* millicore-ms of tasks that aren't done */
	int64_t usable_millicores; /* millicores that could be used at this moment */
	int64_t recent_work; /* of remaining_work: handed in within half a second */
	int64_t recent_millicores; /* of usable_millicores: the same */
	int64_t lasting; /* millicores of lasting tasks */
	int32_t min_hosts; /* hosts that lasting tasks run on or need */
	int64_t host_millicores; /* of one host; 0: unknown */
} wwh_pool_demand_t;

typedef struct wwh_pool_sizing wwh_pool_sizing_t;

wwh_pool_sizing_t *wwh_pool_sizing_new(void);
void wwh_pool_sizing_delete(wwh_pool_sizing_t *sizing);

/*
 * Hosts that pool should have now. It grows at once; it shrinks only to the
 * most that was wanted within the last moments.
 */
int32_t wwh_pool_sizing_desired_hosts(wwh_pool_sizing_t *sizing,
				      const char *pool,
				      const wwh_pool_demand_t *figures,
				      int64_t now_ms);

/*
 * Cuts what count pools want, in place, down to hosts in all. Those that want little get
 * it whole, the others share the rest evenly: a pool with a long backlog would
 * otherwise keep all hosts while the next one's callers, who could still be
 * served in time, wait. No pool gets less than its least.
 */
void wwh_pool_sizing_share(int32_t *wanted, const int32_t *least, int32_t count,
			   int32_t hosts);

#endif
