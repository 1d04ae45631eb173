#include "private/scheduler_policy.h"

#include <glib.h>

/* Ranks don't mix: no waiting time lifts a job into the rank above. */
#define RANK_STEP (INT64_C(1) << 48)
#define PRIORITY_STEP (INT64_C(1) << 40)

/*
 * Callers take an answer up to this many times as late as they are content
 * with; after that it is of no use to most of them.
 */
#define LATE_FACTOR 3

/* Weights of wwh_policy_fit_cost, in thousandths of a host's processor. */
#define FIT_SCALE 1000
#define DATA_ELSEWHERE 1500 /* takes up to twice as long: two hosts' worth */
#define STEP_ELSEWHERE 1500
#define FAILED_HERE 4000 /* any other host goes before it */
#define FAILURE_IN_A_ROW 300
#define DISTURBED 2500
#define SAME_STEP_LASTING 2000
#define FIRST_LASTING 1000
#define GROUP_IN_ZONE (2 * FIT_SCALE) /* more than any two hosts differ by */
#define BEFORE_UPKEEP (INT64_C(1) << 40) /* more than all the others */

/* Of a serving task's target: fillers stand still, are halved, are kept. */
#define PACE_STOP_PERCENT 97
#define PACE_SLOW_PERCENT 85
#define PACE_HOLD_PERCENT 70
#define PACE_STEP 25

typedef enum {
	RANK_LASTING = 0,
	RANK_IN_TIME,
	RANK_LATE,
	RANK_TOO_LATE,
} rank_t;

static rank_t rank_of(const wwh_policy_order_input_t *figures);

int64_t wwh_policy_order_key(const wwh_policy_order_input_t *figures)
{
	int64_t slack_ms = figures->objective_ms - figures->waited_ms -
			   figures->remaining_ms;

	return (int64_t)rank_of(figures) * RANK_STEP +
	       (int64_t)CLAMP(figures->priority, 0, 100) * PRIORITY_STEP +
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
	if (tail_percent >= PACE_HOLD_PERCENT)
		return pace;
	return MIN(pace + PACE_STEP, 100);
}

int64_t wwh_policy_fit_cost(const wwh_policy_fit_input_t *figures)
{
	int64_t left = figures->free_millicores - figures->need_millicores;
	int64_t cost = left * FIT_SCALE / MAX(figures->capacity_millicores, 1);

	if (figures->lasting)
		cost += SAME_STEP_LASTING * (int64_t)figures->same_step;
	if (figures->lasting && figures->lasting_here == 0)
		cost += FIRST_LASTING;
	if (figures->data_elsewhere)
		cost += DATA_ELSEWHERE;
	if (figures->step_elsewhere)
		cost += STEP_ELSEWHERE;
	if (figures->failed_here)
		cost += FAILED_HERE;
	cost += (int64_t)figures->fail_streak * FAILURE_IN_A_ROW;
	cost += (int64_t)figures->disturbed * DISTURBED;
	cost += (int64_t)figures->group_tasks_in_zone * GROUP_IN_ZONE;
	if (figures->wave_pending)
		cost += BEFORE_UPKEEP;
	return cost;
}

static rank_t rank_of(const wwh_policy_order_input_t *figures)
{
	int64_t end_ms = figures->waited_ms + figures->remaining_ms;

	if (figures->lasting)
		return RANK_LASTING;
	if (end_ms <= figures->objective_ms)
		return RANK_IN_TIME;
	if (end_ms <= LATE_FACTOR * figures->objective_ms)
		return RANK_LATE;
	return RANK_TOO_LATE;
}
