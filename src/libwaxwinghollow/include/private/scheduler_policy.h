#ifndef WAXWINGHOLLOW_PRIVATE_SCHEDULER_POLICY_H
#define WAXWINGHOLLOW_PRIVATE_SCHEDULER_POLICY_H

/*
 * NAME
 *	scheduler_policy - order and placement of tasks, as pure functions
 *
 * USE
 *	The functions depend on their input alone. The scheduler and the
 *	placement module (placement.h) fill in the input. Of two results the
 *	lower one goes first.
 *
 * LOAD
 *	A queue requests several times its mean load for some seconds, more
 *	than its pool can hold, and almost nothing in between. At such a peak
 *	not all waiting jobs can meet their objective.
 */

#include <stdbool.h>
#include <stdint.h>

/*
 * The objective of work that was given none. Work past its objective ranks as
 * late, after newer work. With a value that can be reached, the work that has
 * waited longest would go last.
 */
#define WWH_POLICY_NO_OBJECTIVE_MS (INT64_C(1) << 37) /* four years */

typedef struct {
	bool lasting;
	int32_t priority; /* of its queue, 0 to 100; 0 goes first */
	int64_t waited_ms; /* since it was due */
	int64_t objective_ms; /* from due to the end, as callers expect */
	int64_t remaining_ms; /* critical path of the remaining estimates */
} wwh_policy_order_input_t;

/*
 * Returns the key by which waiting tasks are sorted.
 *
 * Lasting tasks go first: they serve callers all the time, use a known and
 * small share of a pool, and each second of unavailability affects their users.
 *
 * Next come the jobs that can still meet their objective, then those that would
 * end late; jobs that would end after LATE_FACTOR times their objective come
 * last. Within a rank, the lower priority number goes first, then the least
 * slack. In order of arrival, all jobs of a peak would wait about equally long,
 * and with more work than capacity nearly all would end late. With these ranks,
 * jobs that are late in any case go after those that can still be in time.
 */
int64_t wwh_policy_order_key(const wwh_policy_order_input_t *input);

/* Whether the result of a job that has waited so long is still of use. */
bool wwh_policy_is_useful(int64_t waited_ms, int64_t objective_ms);

/*
 * Returns the next pace of filler tasks in percent. tail_percent is the tail
 * latency of the slowest serving task on the same host, in percent of its target.
 * Near and above the target, fillers are paused, because some seconds above it
 * already harm users. With growing distance below it, the pace is halved, kept
 * and then raised in steps, because the effect of fillers on a serving task
 * differs by image and shows only after a while.
 */
int32_t wwh_policy_pace(int32_t pace, int32_t tail_percent);

typedef struct {
	int64_t free_millicores; /* before the task is placed */
	int64_t need_millicores;
	int64_t capacity_millicores;
	bool data_on_other_rack; /* the step's input data */
	bool step_on_other_rack; /* other tasks of the step */
	bool failed_on_host; /* its last failed or refused run was there */
	int32_t fail_streak; /* consecutive failures of any tasks there */
	int32_t interfering_tasks; /* there, fillers beside serving tasks */
	int32_t same_step_on_host;
	int32_t lasting_on_host; /* lasting tasks of any step */
	bool lasting;
	bool wave_pending; /* the running wave has yet to reach the host */
	int32_t group_tasks_in_zone; /* the task's group, the host's zone */
	/* How many times as long tasks take there; up to 1000: no longer. */
	int64_t slowdown_permille;
} wwh_policy_fit_input_t;

/*
 * Returns the cost of placing the task on the host.
 *
 * Placement is best fit: the fullest host with enough free capacity is preferred,
 * so that other hosts become empty and large tasks fit there. Lasting tasks of
 * one step are spread, so that the loss of one host ends few of them. Lasting
 * tasks of different steps share hosts, so that the other hosts can be moved
 * without ending any of them.
 *
 * Hosts that a wave has finished are preferred to all others: a job on any
 * other host would have to move again when the wave reaches that host. Next, a
 * group is spread over zones before hosts are filled, because otherwise the
 * loss of one zone would end all of it.
 *
 * The expected extra time on a slow host costs as much as the same extra time for
 * data on another rack.
 */
int64_t wwh_policy_fit_cost(const wwh_policy_fit_input_t *input);

typedef struct {
	int64_t waited_ms; /* since the job was due */
	int64_t objective_ms;
	int64_t remaining_ms; /* critical path of the remaining estimates */
	int64_t extra_ms; /* that the task takes longer on the slow host */
	int64_t wait_ms; /* expected, until another host has room */
	int64_t held_ms; /* for which the task was already held back */
} wwh_policy_hold_input_t;

/*
 * Whether a task waits for another host although a slow one has room. On the slow
 * host the job must be late, and elsewhere the task must be expected to end
 * sooner. Expectations may be wrong, so it doesn't wait for longer than the time
 * that the slow host would have cost.
 */
bool wwh_policy_holds_back(const wwh_policy_hold_input_t *input);

#endif
