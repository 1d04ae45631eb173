/* Whether an upstream that fails tasks is avoided, and for how long. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "waxwinghollow/failure_streak.h"

#define NOW_MS 1000000

static void three_failures_in_a_row_avoid_an_upstream(void **state)
{
	wwh_failure_streak_t streak = { 0 };

	(void)state;
	assert_int_equal(wwh_failure_streak_add(&streak, false, NOW_MS), 0);
	assert_int_equal(wwh_failure_streak_add(&streak, false, NOW_MS + 1), 0);
	assert_int_equal(wwh_failure_streak_add(&streak, false, NOW_MS + 2),
			 1500);
	assert_true(wwh_failure_streak_avoids(&streak, false, NOW_MS + 1501));
	assert_false(wwh_failure_streak_avoids(&streak, false, NOW_MS + 1502));
	assert_int_equal(wwh_failure_streak_add(&streak, false, NOW_MS + 3),
			 3000);
	assert_int_equal(wwh_failure_streak_add(&streak, false, NOW_MS + 3),
			 6000);
	assert_int_equal(wwh_failure_streak_add(&streak, false, NOW_MS + 3),
			 12000);
	assert_int_equal(wwh_failure_streak_add(&streak, false, NOW_MS + 3),
			 12000);
	wwh_failure_streak_end(&streak);
	assert_int_equal(wwh_failure_streak_add(&streak, false, NOW_MS + 4), 0);
}

/* Guards against failures over minutes that add up to a streak. */
static void failures_that_are_far_apart_are_no_streak(void **state)
{
	wwh_failure_streak_t streak = { 0 };

	(void)state;
	for (int32_t i = 0; i < 20; i++)
		assert_int_equal(wwh_failure_streak_add(&streak, false,
							NOW_MS + i * 31000),
				 0);
}

/* Guards against tasks that last, which never end as done, and fail now and then. */
static void work_since_the_first_failure_ends_a_streak(void **state)
{
	wwh_failure_streak_t streak = { 0 };

	(void)state;
	(void)wwh_failure_streak_add(&streak, false, NOW_MS);
	(void)wwh_failure_streak_add(&streak, false, NOW_MS + 100);
	/* what began before the failures says nothing about the upstream now */
	wwh_failure_streak_note_work(&streak, NOW_MS - 1);
	assert_int_equal(streak.count, 2);
	wwh_failure_streak_note_work(&streak, NOW_MS + 50);
	assert_int_equal(streak.count, 0);
}

/* Guards against an upstream that is avoided for what fails by its own fault. */
static void failures_after_long_work_count_at_one_moment_only(void **state)
{
	wwh_failure_streak_t streak = { 0 };

	(void)state;
	for (int32_t i = 0; i < 100; i++)
		assert_int_equal(wwh_failure_streak_add(&streak, true,
							NOW_MS + i * 2500),
				 0);
	/* an upstream that turns sick fails all that it runs */
	(void)wwh_failure_streak_add(&streak, true, NOW_MS + 500000);
	(void)wwh_failure_streak_add(&streak, true, NOW_MS + 500100);
	assert_int_equal(wwh_failure_streak_add(&streak, true, NOW_MS + 500200),
			 1500);
}

/*
 * Guards against tasks that wait for 12 s and more, as all upstreams are avoided and
 * each new failure prolongs that.
 */
static void no_upstream_is_avoided_for_long_where_most_are(void **state)
{
	wwh_failure_streak_t streak = { 0 };

	(void)state;
	for (int32_t i = 0; i < 100; i++)
		(void)wwh_failure_streak_add(&streak, false, NOW_MS + i * 100);
	assert_true(wwh_failure_streak_avoids(&streak, false, NOW_MS + 10000));
	assert_true(wwh_failure_streak_avoids(&streak, true, NOW_MS + 1600));
	assert_false(wwh_failure_streak_avoids(&streak, true, NOW_MS + 1700));
	assert_false(wwh_failure_streak_avoids(&streak, true, NOW_MS + 10000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(three_failures_in_a_row_avoid_an_upstream),
		cmocka_unit_test(failures_that_are_far_apart_are_no_streak),
		cmocka_unit_test(work_since_the_first_failure_ends_a_streak),
		cmocka_unit_test(
			failures_after_long_work_count_at_one_moment_only),
		cmocka_unit_test(
			no_upstream_is_avoided_for_long_where_most_are),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
