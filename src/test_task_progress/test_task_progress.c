/* How long a run may show no progress, by what is known of its pace. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "waxwinghollow/task_progress.h"

#define LIMIT_MIN_MS 1600

/* Guards against hung short tasks that are found later than before. */
static void short_tasks_have_the_least_limit(void **state)
{
	static const wwh_task_progress_t cases[] = {
		{ .estimate_ms = 800, .class_permille = 1000 },
		{ .estimate_ms = 3300, .class_permille = 2000 },
		/* it stood still at one percent when it was listed first */
		{ .estimate_ms = 1700,
		  .one_percent_ms = 1000,
		  .class_permille = 1000 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_int_equal(wwh_task_progress_limit_ms(&cases[i]),
				 LIMIT_MIN_MS);
}

/* Guards against sound tasks that are stopped on an upstream five times slower. */
static void the_limit_holds_on_slow_upstreams(void **state)
{
	const int64_t estimate_ms = 400 * 1000;
	const int64_t slow_percent_ms = 5 * estimate_ms / 100;
	wwh_task_progress_t progress = { .estimate_ms = estimate_ms,
					 .class_permille = 1000 };

	(void)state;
	assert_true(wwh_task_progress_limit_ms(&progress) > slow_percent_ms);
	progress.one_percent_ms = slow_percent_ms;
	assert_true(wwh_task_progress_limit_ms(&progress) >
		    2 * slow_percent_ms);
	progress = (wwh_task_progress_t){ .estimate_ms = estimate_ms };
	assert_true(wwh_task_progress_limit_ms(&progress) > 5 * estimate_ms);
}

/* Guards against a limit that overflows, or stays where it proved too short. */
static void the_limit_doubles_with_hangs(void **state)
{
	wwh_task_progress_t progress = { .estimate_ms = INT64_C(604800000),
					 .class_permille = 100000000 };
	int64_t before_ms = 0;

	(void)state;
	for (progress.hangs = 1; progress.hangs <= 20; progress.hangs++) {
		int64_t limit_ms = wwh_task_progress_limit_ms(&progress);

		assert_true(limit_ms >= 2 * before_ms);
		before_ms = limit_ms;
	}
	progress.hangs = 1000;
	assert_true(wwh_task_progress_limit_ms(&progress) >= before_ms);
}

/* Guards against a class whose pace is taken from a run that stood still. */
static void one_run_changes_its_class_little(void **state)
{
	int32_t permille = wwh_task_progress_add(0, 1000, 10);

	(void)state;
	assert_int_equal(permille, 1000);
	permille = wwh_task_progress_add(permille, 1000, 100000);
	assert_true(permille <= 1125);
	for (int32_t i = 0; i < 100; i++)
		permille = wwh_task_progress_add(permille, 1000, 20);
	assert_in_range(permille, 1990, 2010);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(short_tasks_have_the_least_limit),
		cmocka_unit_test(the_limit_holds_on_slow_upstreams),
		cmocka_unit_test(the_limit_doubles_with_hangs),
		cmocka_unit_test(one_run_changes_its_class_little),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
