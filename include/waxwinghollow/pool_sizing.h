#ifndef WAXWINGHOLLOW_POOL_SIZING_H
#define WAXWINGHOLLOW_POOL_SIZING_H

/*
 * NAME
 *	pool_sizing - computes how many hosts each pool should have
 *
 * USE
 *	Computes the desired number of hosts of each pool from its waiting and
 *	running work, without input or output.
 *
 * LOAD
 *	Pools are busy in turn: one gets more work for some seconds than all
 *	its hosts can do, while the others have almost none. If hosts weren't
 *	moved between pools, most of that work would end late while paid hosts
 *	of the other pools are idle.
 *
 * ORDER OF CALLS
 *	wwh_pool_sizing_new; wwh_pool_sizing_desired_hosts repeatedly with the
 *	current demand of each pool, of which it keeps a short history;
 *	wwh_pool_sizing_delete.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	int64_t remaining_work; /* millicore-ms of unfinished tasks */
	int64_t usable_millicores; /* that ready tasks can use now */
	int64_t recent_work; /* millicore-ms submitted in the last 0.5 s */
	int64_t recent_millicores; /* that ready tasks of recent_work can use */
	int64_t lasting; /* millicores of lasting tasks without fillers */
	int32_t min_hosts; /* hosts that lasting tasks run on or need */
	int64_t host_millicores; /* size of one host; 0: unknown */
} wwh_pool_demand_t;

typedef struct wwh_pool_sizing wwh_pool_sizing_t;

wwh_pool_sizing_t *wwh_pool_sizing_new(void);
void wwh_pool_sizing_delete(wwh_pool_sizing_t *sizing);

/*
 * Returns how many hosts the pool should have now. The number grows at once,
 * and shrinks only to the maximum of the last 450 ms.
 */
int32_t wwh_pool_sizing_desired_hosts(wwh_pool_sizing_t *sizing,
				      const char *pool,
				      const wwh_pool_demand_t *demand,
				      int64_t now_ms);

/*
 * Reduces the desired hosts of count pools, in place, until their sum is at
 * most hosts. Pools that desire few hosts get them all, the others share the
 * rest evenly: otherwise a pool with a long backlog would keep all hosts while
 * callers of the next pool, who could still be served in time, wait. No pool
 * gets less than the lower of its desired hosts and its minimum, even if the
 * sum is then larger than hosts.
 */
void wwh_pool_sizing_share(int32_t *desired, const int32_t *minimum,
			   int32_t count, int32_t hosts);

#endif
