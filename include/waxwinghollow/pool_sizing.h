#ifndef WAXWINGHOLLOW_POOL_SIZING_H
#define WAXWINGHOLLOW_POOL_SIZING_H

/*
 * NAME
 *	pool_sizing - computes how many hosts each pool should have
 *
 * USE
 *	Computes the desired number of hosts of each pool from its waiting and
 *	running work, without input or output: enough for the rate at which
 *	work arrives, and for waiting work to start while its jobs can still
 *	end in time.
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

/* Resolution and range of the times by which work must be done. */
#define WWH_DEMAND_SLOT_MS 250
#define WWH_DEMAND_SLOTS 24

typedef struct {
	int64_t remaining_work; /* millicore-ms of unfinished tasks */
	/*
	 * Parts of remaining_work, by wwh_pool_demand_add. The rest is due at
	 * once.
	 */
	int64_t due_work[WWH_DEMAND_SLOTS]; /* by the latest end in time */
	int64_t late_work; /* its job can't be in time any more */
	/* waiting work of ready steps, by the latest start in time */
	int64_t ready_work[WWH_DEMAND_SLOTS];
	int64_t usable_millicores; /* that ready tasks can use now */
	int64_t recent_work; /* millicore-ms submitted in the last 0.5 s */
	int64_t newest_work; /* part of recent_work: of the last 0.25 s */
	int64_t recent_millicores; /* that ready tasks of recent_work can use */
	int64_t lasting; /* millicores of lasting tasks without fillers */
	int32_t min_hosts; /* hosts that lasting tasks run on or need */
	int64_t host_millicores; /* size of one host; 0: unknown */
} wwh_pool_demand_t;

typedef struct wwh_pool_sizing wwh_pool_sizing_t;

/*
 * Adds the work of a step whose job is in time if the step ends within
 * latest_end_ms from now. ready_work is the part of work whose tasks could start
 * now. The caller adds work to remaining_work itself.
 */
void wwh_pool_demand_add(wwh_pool_demand_t *demand, int64_t work,
			 int64_t ready_work, int64_t latest_end_ms,
			 int64_t estimate_ms);

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
