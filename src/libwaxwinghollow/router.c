#include "waxwinghollow/router.h"

#define FAR_FACTOR 3.0
#define FAR_MS 5.0
#define STALLED_FACTOR 8
#define STALLED_MIN_MS 500

typedef enum {
	OWN_ZONE = 0,
	OTHER_ZONES,
	AVOIDED,
	GROUP_COUNT
} group_t;

static group_t group_of(const wwh_router_minion_t *minion);
static int32_t pick_in_group(const wwh_router_minion_t *minions, int32_t count,
			     group_t group, GRand *random);
static double expected_ms(const wwh_router_minion_t *minion);

int32_t wwh_router_pick(const wwh_router_minion_t *minions, int32_t count,
			GRand *random)
{
	int32_t near = pick_in_group(minions, count, OWN_ZONE, random);
	int32_t far = pick_in_group(minions, count, OTHER_ZONES, random);
	double near_ms, far_ms;

	if (near < 0 && far < 0)
		return pick_in_group(minions, count, AVOIDED, random);
	if (near < 0)
		return far;
	if (far < 0)
		return near;
	near_ms = expected_ms(&minions[near]);
	far_ms = expected_ms(&minions[far]);
	if (far_ms > 0 && near_ms > FAR_FACTOR * far_ms &&
	    near_ms > far_ms + FAR_MS)
		return far;
	return near;
}

bool wwh_router_is_stalled(int64_t now_ms, int32_t running,
			   int64_t quiet_since_ms, int32_t p90_ms)
{
	int64_t bound_ms = (int64_t)STALLED_FACTOR * p90_ms;

	if (bound_ms < STALLED_MIN_MS)
		bound_ms = STALLED_MIN_MS;
	return running > 0 && now_ms - quiet_since_ms > bound_ms;
}

static group_t group_of(const wwh_router_minion_t *minion)
{
	if (minion->avoid)
		return AVOIDED;
	return minion->own_zone ? OWN_ZONE : OTHER_ZONES;
}

/* Two at random out of the group without a list: one pass, two reservoirs. */
static int32_t pick_in_group(const wwh_router_minion_t *minions, int32_t count,
			     group_t group, GRand *random)
{
	int32_t chosen[2] = { -1, -1 };
	int32_t seen = 0;

	for (int32_t i = 0; i < count; i++) {
		if (!minions[i].has_room || group_of(&minions[i]) != group)
			continue;
		seen++;
		if (seen <= 2) {
			chosen[seen - 1] = i;
		} else {
			int32_t place = g_rand_int_range(random, 0, seen);

			if (place < 2)
				chosen[place] = i;
		}
	}
	if (seen == 0)
		return -1;
	if (seen == 1)
		return chosen[0];
	if (g_rand_boolean(random)) {
		int32_t swap = chosen[0];

		chosen[0] = chosen[1];
		chosen[1] = swap;
	}
	if (expected_ms(&minions[chosen[1]]) < expected_ms(&minions[chosen[0]]))
		return chosen[1];
	return chosen[0];
}

/* An unknown run time counts as 1 ms: a new minion gets its first work. */
static double expected_ms(const wwh_router_minion_t *minion)
{
	double run_ms = minion->run_ms > 0 ? minion->run_ms : 1;

	return (minion->running + 1) * run_ms;
}
