#include "private/scheduler_policy.h"

#include <glib.h>

/* The steps are so large that no waiting time lifts a job into a higher rank. */
#define RANK_STEP (INT64_C(1) << 48)
#define PRIORITY_STEP (INT64_C(1) << 40)

/*
 * A result is still useful up to this many times the objective; after that it is
 * of no use to most callers.
 */
#define LATE_FACTOR 3

/* Weights of wwh_policy_fit_cost, in thousandths of a host's processor. */
#define FIT_SCALE 1000
/* A step with its data on another rack takes up to twice as long. */
#define DATA_ON_OTHER_RACK 1500
#define STEP_ON_OTHER_RACK 1500
/* More than each other weight but WAVE_PENDING; several together exceed it. */
#define FAILED_ON_HOST 4000
#define CONSECUTIVE_FAILURE 300
#define INTERFERING_TASK 2500
#define SAME_STEP_LASTING 2000
#define FIRST_LASTING_TASK 1000
/* More than the costs of any two hosts differ by their free share alone. */
#define GROUP_TASK_IN_ZONE (2 * FIT_SCALE)
/* A task that takes twice as long; as DATA_ON_OTHER_RACK. */
#define TWICE_AS_LONG 1500
#define NORMAL_SPEED_PERMILLE 1000
#define WAVE_PENDING (INT64_C(1) << 40) /* more than all other costs together */

/*
 * Tail latency of a serving task, in percent of its target, from which fillers
 * are paused, their pace is halved, or it is kept. Below, it rises by
 * PACE_STEP_PERCENT.
 */
#define PACE_STOP_PERCENT 97
#define PACE_SLOW_PERCENT 85
#define PACE_KEEP_PERCENT 70
#define PACE_STEP_PERCENT 25

typedef enum {
	RANK_LASTING = 0,
	RANK_IN_TIME,
	RANK_LATE,
	RANK_TOO_LATE,
} rank_t;

static rank_t rank_of(const wwh_policy_order_input_t *input);

int64_t wwh_policy_order_key(const wwh_policy_order_input_t *input)
{
	int64_t slack_ms =
		input->objective_ms - input->waited_ms - input->remaining_ms;

	return (int64_t)rank_of(input) * RANK_STEP +
	       (int64_t)CLAMP(input->priority, 0, 100) * PRIORITY_STEP +
	       CLAMP(slack_ms, -PRIORITY_STEP / 4, PRIORITY_STEP / 4);
}

bool wwh_policy_is_useful(int64_t waited_ms, int64_t objective_ms)
{
	return waited_ms <= LATE_FACTOR * objective_ms;
}

int32_t wwh_policy_pace(int32_t pace, int32_t tail_percent)
{
	if (tail_percent >= PACE_STOP_PERCENT)
		return 0;
	if (tail_percent >= PACE_SLOW_PERCENT)
		return pace / 2;
	if (tail_percent >= PACE_KEEP_PERCENT)
		return pace;
	return MIN(pace + PACE_STEP_PERCENT, 100);
}

int64_t wwh_policy_fit_cost(const wwh_policy_fit_input_t *input)
{
	int64_t left = input->free_millicores - input->need_millicores;
	int64_t cost = left * FIT_SCALE / MAX(input->capacity_millicores, 1);

	if (input->lasting)
		cost += SAME_STEP_LASTING * (int64_t)input->same_step_on_host;
	if (input->lasting && input->lasting_on_host == 0)
		cost += FIRST_LASTING_TASK;
	if (input->data_on_other_rack)
		cost += DATA_ON_OTHER_RACK;
	if (input->step_on_other_rack)
		cost += STEP_ON_OTHER_RACK;
	if (input->failed_on_host)
		cost += FAILED_ON_HOST;
	cost += (int64_t)input->fail_streak * CONSECUTIVE_FAILURE;
	cost += (int64_t)input->interfering_tasks * INTERFERING_TASK;
	cost += (int64_t)input->group_tasks_in_zone * GROUP_TASK_IN_ZONE;
	if (input->slowdown_permille > NORMAL_SPEED_PERMILLE)
		cost += (input->slowdown_permille - NORMAL_SPEED_PERMILLE) *
			TWICE_AS_LONG / NORMAL_SPEED_PERMILLE;
	if (input->wave_pending)
		cost += WAVE_PENDING;
	return cost;
}

bool wwh_policy_holds_back(const wwh_policy_hold_input_t *input)
{
	int64_t end_ms =
		input->waited_ms + input->remaining_ms + input->extra_ms;

	return end_ms > input->objective_ms &&
	       input->wait_ms < input->extra_ms &&
	       input->held_ms < input->extra_ms;
}

static rank_t rank_of(const wwh_policy_order_input_t *input)
{
	int64_t end_ms = input->waited_ms + input->remaining_ms;

	if (input->lasting)
		return RANK_LASTING;
	if (end_ms <= input->objective_ms)
		return RANK_IN_TIME;
	if (end_ms <= LATE_FACTOR * input->objective_ms)
		return RANK_LATE;
	return RANK_TOO_LATE;
}
