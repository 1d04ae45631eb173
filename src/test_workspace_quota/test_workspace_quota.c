/*
 * What a workspace may have at work: sums over all its tasks against limits that
 * configurations set, lower and take away.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "waxwinghollow/workspace_quota.h"

static const wwh_load_t none = { 0, 0, 0 };
static const wwh_load_t task = { 1000, 500, 1 };

static wwh_workspace_quota_t *quota_of(int64_t cpu, int64_t memory,
				       int64_t gpus)
{
	wwh_workspace_quota_t *quota = wwh_workspace_quota_new();
	wwh_load_t limit = { cpu, memory, gpus };

	wwh_workspace_quota_set_limit(quota, "w", &limit);
	return quota;
}

static int32_t tasks_that_fit(wwh_workspace_quota_t *quota)
{
	int32_t count = 0;

	while (count < 100 &&
	       wwh_workspace_quota_allows(quota, "w", &task, &none)) {
		wwh_workspace_quota_add(quota, "w", &task);
		count++;
	}
	return count;
}

/* Guards against a workspace that takes more than it may of any part. */
static void each_part_has_its_own_limit(void **state)
{
	static const wwh_load_t limits[] = {
		{ 3500, 0, 0 }, { 0, 1500, 0 }, { 0, 0, 3 }, { 9000, 9000, 3 }
	};

	(void)state;
	for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		wwh_workspace_quota_t *quota =
			quota_of(limits[i].cpu_millicores, limits[i].memory_mb,
				 limits[i].gpus);

		assert_int_equal(tasks_that_fit(quota), 3);
		wwh_workspace_quota_subtract(quota, "w", &task);
		assert_int_equal(tasks_that_fit(quota), 1);
		wwh_workspace_quota_delete(quota);
	}
}

static void work_without_a_limit_is_not_limited(void **state)
{
	wwh_workspace_quota_t *quota = quota_of(0, 0, 0);

	(void)state;
	assert_false(wwh_workspace_quota_is_limited(quota, "w"));
	assert_false(wwh_workspace_quota_is_limited(quota, "other"));
	assert_false(wwh_workspace_quota_is_limited(quota, NULL));
	assert_int_equal(tasks_that_fit(quota), 100);
	assert_true(wwh_workspace_quota_allows(quota, NULL, &task, &none));
	wwh_workspace_quota_delete(quota);
}

/* Guards against tasks that are counted anew after a change of limits. */
static void what_is_at_work_counts_for_the_next_limit(void **state)
{
	static const wwh_load_t lower = { 2000, 0, 0 };
	wwh_workspace_quota_t *quota = quota_of(4000, 0, 0);

	(void)state;
	assert_int_equal(tasks_that_fit(quota), 4);
	wwh_workspace_quota_clear_limits(quota);
	assert_false(wwh_workspace_quota_is_limited(quota, "w"));
	wwh_workspace_quota_set_limit(quota, "w", &lower);
	assert_int_equal(tasks_that_fit(quota), 0);
	for (int32_t i = 0; i < 3; i++)
		wwh_workspace_quota_subtract(quota, "w", &task);
	assert_int_equal(tasks_that_fit(quota), 1);
	wwh_workspace_quota_delete(quota);
}

/* Guards against tasks that run unseen and are left out of the sum. */
static void what_may_be_at_work_counts(void **state)
{
	wwh_workspace_quota_t *quota = quota_of(2000, 0, 0);

	(void)state;
	assert_true(wwh_workspace_quota_allows(quota, "w", &task, &task));
	wwh_workspace_quota_add(quota, "w", &task);
	assert_false(wwh_workspace_quota_allows(quota, "w", &task, &task));
	assert_true(wwh_workspace_quota_allows(quota, "w", &task, &none));
	wwh_workspace_quota_delete(quota);
}

/* Guards against a task that waits for ever, as it is larger than the limit. */
static void a_task_larger_than_the_limit_runs_alone(void **state)
{
	wwh_workspace_quota_t *quota = quota_of(500, 0, 0);

	(void)state;
	assert_int_equal(tasks_that_fit(quota), 1);
	wwh_workspace_quota_delete(quota);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_part_has_its_own_limit),
		cmocka_unit_test(work_without_a_limit_is_not_limited),
		cmocka_unit_test(what_is_at_work_counts_for_the_next_limit),
		cmocka_unit_test(what_may_be_at_work_counts),
		cmocka_unit_test(a_task_larger_than_the_limit_runs_alone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
