#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "waxwinghollow/workspace_share.h"

static const wwh_load_t pool = { 100000, 100000, 0 };
static const wwh_load_t task = { 1000, 100, 0 };

static wwh_load_t tasks(int64_t count)
{
	return (wwh_load_t){ task.cpu_millicores * count,
			     task.memory_mb * count, 0 };
}

static int set_up(void **state)
{
	*state = wwh_workspace_share_new();
	return 0;
}

static int tear_down(void **state)
{
	wwh_workspace_share_delete(*state);
	return 0;
}

static void wait_for(wwh_workspace_share_t *share, const char *workspace,
		     int64_t weight, int64_t count)
{
	wwh_load_t load = tasks(count);

	wwh_workspace_share_wait(share, workspace, weight, &load);
}

/* Runs as many tasks of workspace as its share allows. Returns their number. */
static int64_t run_all_allowed(wwh_workspace_share_t *share,
			       const char *workspace)
{
	int64_t count = 0;

	while (count < 1000 &&
	       !wwh_workspace_share_exceeds(share, workspace, &task)) {
		wwh_workspace_share_add(share, workspace, &task);
		count++;
	}
	return count;
}

static void a_pool_with_room_for_all_limits_nobody(void **state)
{
	wwh_workspace_share_t *share = *state;

	wwh_workspace_share_begin(share, &pool);
	wait_for(share, "a", 1, 60);
	wait_for(share, "b", 1, 30);
	wwh_workspace_share_divide(share);
	assert_int_equal(run_all_allowed(share, "a"), 1000);
}

static void a_full_pool_is_divided_by_weight(void **state)
{
	wwh_workspace_share_t *share = *state;

	wwh_workspace_share_begin(share, &pool);
	wait_for(share, "a", 3, 200);
	wait_for(share, "b", 1, 200);
	wwh_workspace_share_divide(share);
	assert_in_range(run_all_allowed(share, "a"), 74, 76);
	assert_in_range(run_all_allowed(share, "b"), 24, 26);
}

/* Guards against room that is kept for a workspace which doesn't ask for it. */
static void what_one_leaves_goes_to_the_others(void **state)
{
	wwh_workspace_share_t *share = *state;

	wwh_workspace_share_begin(share, &pool);
	wait_for(share, "quiet", 10, 5);
	wait_for(share, "busy", 1, 500);
	wwh_workspace_share_divide(share);
	assert_in_range(run_all_allowed(share, "busy"), 94, 96);
}

static void what_runs_counts(void **state)
{
	wwh_workspace_share_t *share = *state;
	wwh_load_t running = tasks(40);
	wwh_load_t free = tasks(60);

	free.memory_mb = pool.memory_mb;
	wwh_workspace_share_add(share, "a", &running);
	wwh_workspace_share_begin(share, &free);
	wait_for(share, "a", 1, 200);
	wait_for(share, "b", 1, 200);
	wwh_workspace_share_divide(share);
	assert_in_range(run_all_allowed(share, "a"), 9, 11);
	wwh_workspace_share_subtract(share, "a", &running);
	assert_in_range(run_all_allowed(share, "a"), 39, 41);
}

/* The resource of which a workspace takes the largest part decides. */
static void the_dominant_resource_counts(void **state)
{
	wwh_workspace_share_t *share = *state;
	wwh_load_t large = { 100, 10000, 0 };
	wwh_load_t waiting = { 2000, 200000, 0 };
	int64_t count = 0;

	wwh_workspace_share_begin(share, &pool);
	wwh_workspace_share_wait(share, "memory", 1, &waiting);
	wait_for(share, "processor", 1, 200);
	wwh_workspace_share_divide(share);
	while (!wwh_workspace_share_exceeds(share, "memory", &large)) {
		wwh_workspace_share_add(share, "memory", &large);
		count++;
	}
	assert_int_equal(count, 5);
}

/* Guards against a task that never starts, as it is larger than its share. */
static void a_workspace_that_runs_nothing_may_start_a_task(void **state)
{
	wwh_workspace_share_t *share = *state;
	wwh_load_t huge = tasks(90);

	wwh_workspace_share_begin(share, &pool);
	wwh_workspace_share_wait(share, "a", 1, &huge);
	wait_for(share, "b", 100, 500);
	wwh_workspace_share_divide(share);
	assert_false(wwh_workspace_share_exceeds(share, "a", &huge));
	wwh_workspace_share_add(share, "a", &huge);
	assert_true(wwh_workspace_share_exceeds(share, "a", &task));
}

static void work_of_no_workspace_is_never_limited(void **state)
{
	wwh_workspace_share_t *share = *state;

	wwh_workspace_share_begin(share, &pool);
	wait_for(share, "a", 1, 500);
	wwh_workspace_share_divide(share);
	wwh_workspace_share_add(share, NULL, &task);
	assert_false(wwh_workspace_share_exceeds(share, NULL, &task));
	assert_int_equal(wwh_workspace_share_tasks_ahead(share, NULL, 500),
			 500);
}

/* Guards against callers that are rejected for another workspace's backlog. */
static void a_workspace_waits_for_its_own_backlog(void **state)
{
	wwh_workspace_share_t *share = *state;

	wwh_workspace_share_begin(share, &pool);
	wait_for(share, "busy", 1, 900);
	wait_for(share, "usual", 1, 100);
	wwh_workspace_share_divide(share);
	assert_int_equal(wwh_workspace_share_tasks_ahead(share, "busy", 1000),
			 1000);
	assert_in_range(wwh_workspace_share_tasks_ahead(share, "usual", 1000),
			190, 210);
	assert_int_equal(wwh_workspace_share_tasks_ahead(share, "new", 1000),
			 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			a_pool_with_room_for_all_limits_nobody, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_full_pool_is_divided_by_weight, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			what_one_leaves_goes_to_the_others, set_up, tear_down),
		cmocka_unit_test_setup_teardown(what_runs_counts, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(the_dominant_resource_counts,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_workspace_that_runs_nothing_may_start_a_task, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			work_of_no_workspace_is_never_limited, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_workspace_waits_for_its_own_backlog, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
