#include "waxwinghollow/router.h"

#define OTHER_ZONE_FACTOR 3.0
#define OTHER_ZONE_EXTRA_MS 5.0
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
	int32_t own = pick_in_group(minions, count, OWN_ZONE, random);
	int32_t other = pick_in_group(minions, count, OTHER_ZONES, random);
	double own_ms, other_ms;

	if (own < 0 && other < 0)
		return pick_in_group(minions, count, AVOIDED, random);
	if (own < 0)
		return other;
	if (other < 0)
		return own;
	own_ms = expected_ms(&minions[own]);
	other_ms = expected_ms(&minions[other]);
	if (other_ms > 0 && own_ms > OTHER_ZONE_FACTOR * other_ms &&
	    own_ms > other_ms + OTHER_ZONE_EXTRA_MS)
		return other;
	return own;
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

/*
 * Selects two random minions of the group in one pass (reservoir sampling) and
 * returns the one with the smaller expected time, or -1 if there is none.
 */
static int32_t pick_in_group(const wwh_router_minion_t *minions, int32_t count,
			     group_t group, GRand *random)
{
	int32_t chosen[2] = { -1, -1 };
	int32_t candidates = 0;

	for (int32_t i = 0; i < count; i++) {
		if (!minions[i].has_room || group_of(&minions[i]) != group)
			continue;
		candidates++;
		if (candidates <= 2) {
			chosen[candidates - 1] = i;
		} else {
			int32_t index = g_rand_int_range(random, 0, candidates);

			if (index < 2)
				chosen[index] = i;
		}
	}
	if (candidates == 0)
		return -1;
	if (candidates == 1)
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

/* An unknown run time counts as 1 ms, so that a new minion gets requests. */
static double expected_ms(const wwh_router_minion_t *minion)
{
	double run_ms = minion->run_ms > 0 ? minion->run_ms : 1;

	return (minion->running + 1) * run_ms;
}
