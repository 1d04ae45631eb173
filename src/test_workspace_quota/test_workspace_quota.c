/*
 * The sum of a workspace's running tasks is checked against limits that
 * configurations set, lower and remove.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "waxwinghollow/workspace_quota.h"

static const wwh_load_t no_load = { 0, 0, 0 };
static const wwh_load_t task_load = { 1000, 500, 1 };

static wwh_workspace_quota_t *quota_with_limit(int64_t cpu, int64_t memory,
					       int64_t gpus)
{
	wwh_workspace_quota_t *quota = wwh_workspace_quota_new();
	wwh_load_t limit = { cpu, memory, gpus };

	wwh_workspace_quota_set_limit(quota, "w", &limit);
	return quota;
}

static int32_t add_tasks_that_fit(wwh_workspace_quota_t *quota)
{
	int32_t count = 0;

	while (count < 100 &&
	       wwh_workspace_quota_allows(quota, "w", &task_load, &no_load)) {
		wwh_workspace_quota_add(quota, "w", &task_load);
		count++;
	}
	return count;
}

/* Guards against a workspace that exceeds its limit of any resource. */
static void each_resource_has_its_own_limit(void **state)
{
	static const wwh_load_t limits[] = {
		{ 3500, 0, 0 }, { 0, 1500, 0 }, { 0, 0, 3 }, { 9000, 9000, 3 }
	};

	(void)state;
	for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		wwh_workspace_quota_t *quota =
			quota_with_limit(limits[i].cpu_millicores,
					 limits[i].memory_mb, limits[i].gpus);

		assert_int_equal(add_tasks_that_fit(quota), 3);
		wwh_workspace_quota_subtract(quota, "w", &task_load);
		assert_int_equal(add_tasks_that_fit(quota), 1);
		wwh_workspace_quota_delete(quota);
	}
}

static void work_without_a_limit_is_not_limited(void **state)
{
	wwh_workspace_quota_t *quota = quota_with_limit(0, 0, 0);

	(void)state;
	assert_false(wwh_workspace_quota_is_limited(quota, "w"));
	assert_false(wwh_workspace_quota_is_limited(quota, "other"));
	assert_false(wwh_workspace_quota_is_limited(quota, NULL));
	assert_int_equal(add_tasks_that_fit(quota), 100);
	assert_true(
		wwh_workspace_quota_allows(quota, NULL, &task_load, &no_load));
	wwh_workspace_quota_delete(quota);
}

/* Guards against running tasks that a change of limits leaves uncounted. */
static void running_tasks_count_for_the_next_limit(void **state)
{
	static const wwh_load_t lower = { 2000, 0, 0 };
	wwh_workspace_quota_t *quota = quota_with_limit(4000, 0, 0);

	(void)state;
	assert_int_equal(add_tasks_that_fit(quota), 4);
	wwh_workspace_quota_clear_limits(quota);
	assert_false(wwh_workspace_quota_is_limited(quota, "w"));
	wwh_workspace_quota_set_limit(quota, "w", &lower);
	assert_int_equal(add_tasks_that_fit(quota), 0);
	for (int32_t i = 0; i < 3; i++)
		wwh_workspace_quota_subtract(quota, "w", &task_load);
	assert_int_equal(add_tasks_that_fit(quota), 1);
	wwh_workspace_quota_delete(quota);
}

/*
 * Guards against running tasks that are unknown here and left out of the sum.
 */
static void tasks_that_may_be_running_count(void **state)
{
	wwh_workspace_quota_t *quota = quota_with_limit(2000, 0, 0);

	(void)state;
	assert_true(
		wwh_workspace_quota_allows(quota, "w", &task_load, &task_load));
	wwh_workspace_quota_add(quota, "w", &task_load);
	assert_false(
		wwh_workspace_quota_allows(quota, "w", &task_load, &task_load));
	assert_true(
		wwh_workspace_quota_allows(quota, "w", &task_load, &no_load));
	wwh_workspace_quota_delete(quota);
}

/* Guards against a task that never starts because it exceeds the limit. */
static void a_task_larger_than_the_limit_runs_alone(void **state)
{
	wwh_workspace_quota_t *quota = quota_with_limit(500, 0, 0);

	(void)state;
	assert_int_equal(add_tasks_that_fit(quota), 1);
	wwh_workspace_quota_delete(quota);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_resource_has_its_own_limit),
		cmocka_unit_test(work_without_a_limit_is_not_limited),
		cmocka_unit_test(running_tasks_count_for_the_next_limit),
		cmocka_unit_test(tasks_that_may_be_running_count),
		cmocka_unit_test(a_task_larger_than_the_limit_runs_alone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
