#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "waxwinghollow/router.h"

#define COUNT 6

/* Minions 0 to 2 in the own zone, 3 to 5 elsewhere, all alike. */
static void set_up(wwh_router_minion_t *minions)
{
	for (int32_t i = 0; i < COUNT; i++)
		minions[i] = (wwh_router_minion_t){ .has_room = true,
						    .own_zone = i < 3,
						    .run_ms = 20 };
}

static void pick_many(const wwh_router_minion_t *minions, int32_t *picked)
{
	GRand *random = g_rand_new_with_seed(3);

	for (int32_t i = 0; i < 3000; i++)
		picked[wwh_router_pick(minions, COUNT, random)]++;
	g_rand_free(random);
}

static void the_own_zone_is_used_evenly_while_it_has_room(void **unused)
{
	wwh_router_minion_t minions[COUNT];
	int32_t picked[COUNT] = { 0 };

	(void)unused;
	set_up(minions);
	pick_many(minions, picked);
	for (int32_t i = 0; i < 3; i++)
		assert_in_range(picked[i], 900, 1100);
	assert_int_equal(picked[3] + picked[4] + picked[5], 0);
}

static void another_zone_is_used_when_the_own_is_full(void **unused)
{
	wwh_router_minion_t minions[COUNT];
	int32_t picked[COUNT] = { 0 };

	(void)unused;
	set_up(minions);
	minions[0].has_room = minions[1].has_room = minions[2].has_room = false;
	pick_many(minions, picked);
	assert_int_equal(picked[0] + picked[1] + picked[2], 0);
	for (int32_t i = 3; i < COUNT; i++)
		assert_in_range(picked[i], 900, 1100);
}

/*
 * Eight processes have the same stale view: minion 0 is idle, the others have
 * two requests each. All take the idle one if they take the least loaded; by
 * two random choices about two thirds do.
 */
static void an_idle_minion_does_not_draw_all_processes(void **unused)
{
	wwh_router_minion_t minions[COUNT];
	int32_t picked[COUNT] = { 0 };

	(void)unused;
	set_up(minions);
	minions[1].running = minions[2].running = 2;
	pick_many(minions, picked);
	assert_in_range(picked[0], 1800, 2200);
}

static void a_much_slower_own_zone_is_passed_over(void **unused)
{
	wwh_router_minion_t minions[COUNT];
	int32_t picked[COUNT] = { 0 };

	(void)unused;
	set_up(minions);
	for (int32_t i = 0; i < 3; i++)
		minions[i].run_ms = 200;
	pick_many(minions, picked);
	assert_int_equal(picked[0] + picked[1] + picked[2], 0);
}

static void an_avoided_minion_is_the_last_choice(void **unused)
{
	wwh_router_minion_t minions[COUNT];
	int32_t picked[COUNT] = { 0 };
	GRand *random = g_rand_new_with_seed(3);

	(void)unused;
	set_up(minions);
	minions[0].avoid = true;
	pick_many(minions, picked);
	assert_int_equal(picked[0], 0);
	for (int32_t i = 1; i < COUNT; i++)
		minions[i].has_room = false;
	assert_int_equal(wwh_router_pick(minions, COUNT, random), 0);
	minions[0].has_room = false;
	assert_int_equal(wwh_router_pick(minions, COUNT, random), -1);
	g_rand_free(random);
}

static void a_minion_without_ends_counts_as_stalled(void **unused)
{
	(void)unused;
	assert_false(wwh_router_is_stalled(2000, 1, 1600, 20));
	assert_true(wwh_router_is_stalled(2000, 1, 1400, 20));
	assert_false(wwh_router_is_stalled(2000, 1, 1400, 200));
	assert_false(wwh_router_is_stalled(2000, 0, 0, 20));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_own_zone_is_used_evenly_while_it_has_room),
		cmocka_unit_test(another_zone_is_used_when_the_own_is_full),
		cmocka_unit_test(an_idle_minion_does_not_draw_all_processes),
		cmocka_unit_test(a_much_slower_own_zone_is_passed_over),
		cmocka_unit_test(an_avoided_minion_is_the_last_choice),
		cmocka_unit_test(a_minion_without_ends_counts_as_stalled),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
