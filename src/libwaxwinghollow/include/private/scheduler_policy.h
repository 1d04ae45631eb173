#ifndef WAXWINGHOLLOW_PRIVATE_SCHEDULER_POLICY_H
#define WAXWINGHOLLOW_PRIVATE_SCHEDULER_POLICY_H

/*
 * NAME
 *	scheduler_policy - which task goes first and where, as arithmetic
 *
 * USE
 *	Pure functions of figures; the scheduler and the placement of the
 *	product's own interface fill the figures in. Lower results go first.
 *
 * LOAD
 *	Queues ask for several times their mean for some seconds, more than
 *	their pool holds, and for next to nothing in between. At the peak most
 *	waiting jobs can't all be in time.
 */

#include <stdbool.h>
#include <stdint.h>

/*
 * For work that nobody has given an objective. Work past its objective ranks
 * as late and gives way to newer work; with a bound that is ever reached, what
 * has waited longest would go last.
 */
#define WWH_POLICY_NO_OBJECTIVE_MS (INT64_C(1) << 37) /* four years */

typedef struct {
	bool lasting;
	int32_t priority; /* of its queue, 0 to 100; 0 goes first */
	int64_t waited_ms; /* since it was due */
	int64_t objective_ms; /* how long callers are content to wait */
	int64_t remaining_ms; /* the longest chain of estimates left */
} wwh_policy_order_input_t;

/*
 * Lasting tasks go first: they serve callers all the time, take a known and
 * small share of a pool, and each second away is lost to their users.
 *
 * Then jobs that can still be in time, by how soon they must end. Served in
 * order of arrival instead, a peak makes every job wait about as long, and
 * with more work than room nearly all end late; this way those that would
 * be late in any case give way to those that need not be.
 */
int64_t wwh_policy_order_key(const wwh_policy_order_input_t *figures);

/* Whether a job that has waited so long is still of use to its caller. */
bool wwh_policy_is_useful(int64_t waited_ms, int64_t objective_ms);

/*
 * The pace of fillers, in percent, where the slowest serving task beside them
 * is at tail_percent of its target. Over the target they stand still: what
 * is over for some seconds is harm done to its users. Near it they are
 * halved, well below it they are let go by steps, as what they do to a
 * serving task differs by image and shows only after a while.
 */
int32_t wwh_policy_pace(int32_t pace, int32_t tail_percent);

typedef struct {
	int64_t free_millicores; /* before the task is placed */
	int64_t need_millicores;
	int64_t capacity_millicores;
	bool data_elsewhere; /* the step's data is on another rack */
	bool step_elsewhere; /* the step runs on another rack */
	bool failed_here; /* this task's last run failed there */
	int32_t fail_streak; /* failures in a row, of any task */
	int32_t disturbed; /* tasks that it would disturb or that disturb it */
	int32_t same_step; /* tasks of the step that are there */
	int32_t lasting_here; /* lasting tasks of any step */
	bool lasting;
	bool wave_pending; /* a wave that runs has not been at the host */
	int32_t group_tasks_in_zone; /* tasks of its group in the host's zone */
} wwh_policy_fit_input_t;

/*
 * Best fit: the fullest host that still has room, so that hosts become
 * empty and large tasks find one. Lasting tasks of one step are spread: the
 * loss of one host takes few of them away. Those of different steps share
 * hosts, so that the others can be moved without ending any of them.
 *
 * Hosts that a wave has been at go before all others: elsewhere a job moves
 * again when the wave comes. Then a group is spread over zones, before hosts
 * are filled: otherwise the loss of one zone takes all of it.
 */
int64_t wwh_policy_fit_cost(const wwh_policy_fit_input_t *figures);

#endif
