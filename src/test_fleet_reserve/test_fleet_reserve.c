/* The reserve on a simulated clock. The loads are in replay/. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#include "replay.h"

/* Guards against hosts that go to standby in a trough and return at a peak. */
static void alternating_peaks_release_the_surplus_once(void **state)
{
	(void)state;
	replay_run("alternating-peaks.txt");
}

/* Guards against releasing in a low peak what the highest one needs. */
static void the_highest_peak_of_a_cycle_is_reserved(void **state)
{
	(void)state;
	replay_run("uneven-peaks.txt");
}

/* Guards against releasing before the window ends where there is no cycle. */
static void a_steady_queue_releases_after_the_window(void **state)
{
	(void)state;
	replay_run("steady-queue.txt");
}

/* Guards against a cycle that is detected in pools of about the same load. */
static void pools_of_similar_load_have_no_cycle(void **state)
{
	(void)state;
	replay_run("similar-pools.txt");
}

/* Guards against standby hosts that aren't called at once, or go back early. */
static void a_jump_calls_all_hosts_at_once(void **state)
{
	(void)state;
	replay_run("jump-from-zero.txt");
}

/* Guards against releasing the hosts that replace those of a rack. */
static void a_lost_rack_at_a_peak_is_covered_by_the_reserve(void **state)
{
	(void)state;
	replay_run("rack-lost.txt");
}

/* Guards against counting hosts that are down for a wave as surplus. */
static void a_wave_is_covered_by_the_reserve(void **state)
{
	(void)state;
	replay_run("wave.txt");
}

/* Guards against a reserve that stays raised after a wave. */
static void a_wave_that_ended_reserves_nothing(void **state)
{
	(void)state;
	replay_run("wave-ends.txt");
}

/* Guards against a new holder that releases by what it saw of half a cycle. */
static void a_new_holder_observes_a_whole_cycle_first(void **state)
{
	(void)state;
	replay_run("new-holder.txt");
}

/* Guards against counting hosts as gone, or called, whose moves failed. */
static void moves_that_fail_are_ordered_again(void **state)
{
	(void)state;
	replay_run("moves-fail.txt");
}

/* Guards against taking an outage of the store for a time without demand. */
static void unobserved_time_does_not_count(void **state)
{
	(void)state;
	replay_run("unobserved.txt");
}

/* Guards against paying for thousands of hosts until a window has passed. */
static void a_large_fleet_releases_after_its_first_peak(void **state)
{
	(void)state;
	replay_run("whole-fleet.txt");
}

/* Guards against an estimate that callers of the second peak wait for. */
static void a_higher_second_peak_ends_the_estimate(void **state)
{
	(void)state;
	replay_run("second-peak-higher.txt");
}

/* Guards against a release that begins anew with each holder. */
static void a_release_goes_on_under_the_next_holder(void **state)
{
	(void)state;
	replay_run("hand-over-in-release.txt");
}

/* Guards against lasting tasks that the next holder takes for a whole peak. */
static void a_hand_over_before_the_peak_hands_on_no_peak(void **state)
{
	(void)state;
	replay_run("hand-over-before-the-peak.txt");
}

/* Guards against an estimate that releases what the next peak needs. */
static void a_peak_of_half_the_fleet_releases_nothing(void **state)
{
	(void)state;
	replay_run("estimate-needs-all.txt");
}

/* Guards against paying for thousands of hosts until a first peak comes. */
static void
lasting_tasks_alone_release_what_three_times_as_many_leave(void **state)
{
	(void)state;
	replay_run("lasting-tasks-only.txt");
}

/* Guards against hosts that are missing when the first peak comes. */
static void
lasting_tasks_on_a_quarter_of_the_fleet_release_nothing(void **state)
{
	(void)state;
	replay_run("lasting-tasks-on-a-quarter.txt");
}

/* Guards against releasing what can't be called back in time. */
static void a_slow_platform_limits_what_an_estimate_releases(void **state)
{
	(void)state;
	replay_run("slow-platform.txt");
}

/* Guards against releasing the hosts that the first tasks are about to need. */
static void a_fleet_without_a_task_releases_nothing(void **state)
{
	(void)state;
	replay_run("no-task-yet.txt");
}

static void update(wwh_fleet_reserve_t *reserve, int32_t desired,
		   const wwh_fleet_hosts_t *hosts, int64_t now_ms)
{
	wwh_fleet_reserve_add_pool(reserve, "a", desired, 1);
	wwh_fleet_reserve_update(reserve, hosts, now_ms);
}

/* Guards against components that are missing from the sum, or from the gauges. */
static void the_reserve_is_the_sum_of_its_components(void **state)
{
	wwh_fleet_reserve_t *reserve = replay_make_reserve();
	wwh_fleet_hosts_t hosts = { .usable = 95,
				    .largest_rack = 12,
				    .wave_held = 5,
				    .wave_limit = 7,
				    .busy_millihosts = 40000 };
	wwh_fleet_reserve_state_t gauges;

	(void)state;
	update(reserve, 60, &hosts, 1000);
	update(reserve, 50, &hosts, 11000);
	gauges = wwh_fleet_reserve_state(reserve);
	assert_int_equal(gauges.desired, 50);
	assert_int_equal(gauges.available, 100);
	assert_int_equal(gauges.reserve_peak, 60);
	assert_int_equal(gauges.reserve_rack, 12);
	assert_int_equal(gauges.reserve_waves, 7);
	assert_int_equal(gauges.reserve, 79);
	assert_int_equal(gauges.paid_over_needed_permille, 2500);
	assert_false(gauges.whole_cycle);
	wwh_fleet_reserve_delete(reserve);
}

/* Guards against a demand that counts after it has left the window. */
static void an_old_peak_leaves_the_window(void **state)
{
	wwh_fleet_reserve_t *reserve = replay_make_reserve();
	wwh_fleet_hosts_t hosts = { .usable = 100 };

	(void)state;
	update(reserve, 90, &hosts, 0);
	update(reserve, 10, &hosts, 1000);
	update(reserve, 10, &hosts, 30000);
	assert_int_equal(wwh_fleet_reserve_releasable(reserve), 4);
	assert_int_equal(wwh_fleet_reserve_state(reserve).reserve, 90);
	update(reserve, 10, &hosts, 32000);
	assert_int_equal(wwh_fleet_reserve_state(reserve).reserve, 10);
	wwh_fleet_reserve_delete(reserve);
}

/* Guards against a release of many hosts at once. */
static void releases_are_paced(void **state)
{
	wwh_fleet_reserve_t *reserve = replay_make_reserve();
	wwh_fleet_hosts_t hosts = { .usable = 100 };

	(void)state;
	update(reserve, 10, &hosts, 0);
	update(reserve, 10, &hosts, 30000);
	for (int32_t left = 4; left > 0; left--) {
		assert_int_equal(wwh_fleet_reserve_releasable(reserve), left);
		wwh_fleet_reserve_handle_release(reserve);
	}
	assert_int_equal(wwh_fleet_reserve_releasable(reserve), 0);
	update(reserve, 10, &hosts, 30900);
	assert_int_equal(wwh_fleet_reserve_releasable(reserve), 0);
	update(reserve, 10, &hosts, 31000);
	assert_int_equal(wwh_fleet_reserve_releasable(reserve), 4);
	wwh_fleet_reserve_delete(reserve);
}

/*
 * Guards against hosts that go back and forth while the reserve is too small by
 * what the window doesn't show, for example surplus hosts that can't leave.
 */
static void a_call_postpones_the_next_release(void **state)
{
	wwh_fleet_reserve_t *reserve = replay_make_reserve();
	wwh_fleet_hosts_t hosts = { .usable = 100 };

	(void)state;
	update(reserve, 10, &hosts, 0);
	update(reserve, 10, &hosts, 30000);
	assert_int_equal(wwh_fleet_reserve_releasable(reserve), 4);
	hosts.lacking = 3;
	hosts.coming = 1;
	update(reserve, 10, &hosts, 40000);
	assert_int_equal(wwh_fleet_reserve_callable(reserve), 2);
	wwh_fleet_reserve_handle_call(reserve);
	assert_int_equal(wwh_fleet_reserve_callable(reserve), 1);
	update(reserve, 10, &hosts, 69999);
	assert_int_equal(wwh_fleet_reserve_releasable(reserve), 0);
	update(reserve, 10, &hosts, 70000);
	assert_int_equal(wwh_fleet_reserve_releasable(reserve), 4);
	wwh_fleet_reserve_delete(reserve);
}

/* Guards against a new holder that leaves standby hosts where pools lack some. */
static void calls_are_unlimited_before_a_whole_cycle(void **state)
{
	wwh_fleet_reserve_t *reserve = replay_make_reserve();
	wwh_fleet_hosts_t hosts = { .usable = 10, .lacking = 3, .coming = 5 };

	(void)state;
	update(reserve, 10, &hosts, 0);
	assert_true(wwh_fleet_reserve_callable(reserve) > 1000);
	update(reserve, 10, &hosts, 30000);
	assert_int_equal(wwh_fleet_reserve_callable(reserve), 0);
	wwh_fleet_reserve_delete(reserve);
}

/* Guards against releasing hosts that a peak slightly above the last ones needs. */
static void headroom_is_kept_above_the_peak(void **state)
{
	wwh_fleet_reserve_options_t options = { .window_ms = 30000,
						.headroom_percent = 20 };
	wwh_fleet_reserve_t *reserve = wwh_fleet_reserve_new(&options);
	wwh_fleet_hosts_t hosts = { .usable = 100 };

	(void)state;
	wwh_fleet_reserve_add_pool(reserve, "a", 50, 1);
	wwh_fleet_reserve_update(reserve, &hosts, 0);
	assert_int_equal(wwh_fleet_reserve_state(reserve).reserve, 60);
	wwh_fleet_reserve_delete(reserve);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(alternating_peaks_release_the_surplus_once),
		cmocka_unit_test(the_highest_peak_of_a_cycle_is_reserved),
		cmocka_unit_test(a_steady_queue_releases_after_the_window),
		cmocka_unit_test(pools_of_similar_load_have_no_cycle),
		cmocka_unit_test(a_jump_calls_all_hosts_at_once),
		cmocka_unit_test(
			a_lost_rack_at_a_peak_is_covered_by_the_reserve),
		cmocka_unit_test(a_wave_is_covered_by_the_reserve),
		cmocka_unit_test(a_wave_that_ended_reserves_nothing),
		cmocka_unit_test(a_new_holder_observes_a_whole_cycle_first),
		cmocka_unit_test(a_large_fleet_releases_after_its_first_peak),
		cmocka_unit_test(a_higher_second_peak_ends_the_estimate),
		cmocka_unit_test(a_release_goes_on_under_the_next_holder),
		cmocka_unit_test(a_hand_over_before_the_peak_hands_on_no_peak),
		cmocka_unit_test(a_peak_of_half_the_fleet_releases_nothing),
		cmocka_unit_test(a_fleet_without_a_task_releases_nothing),
		cmocka_unit_test(
			a_slow_platform_limits_what_an_estimate_releases),
		cmocka_unit_test(
			lasting_tasks_alone_release_what_three_times_as_many_leave),
		cmocka_unit_test(
			lasting_tasks_on_a_quarter_of_the_fleet_release_nothing),
		cmocka_unit_test(moves_that_fail_are_ordered_again),
		cmocka_unit_test(unobserved_time_does_not_count),
		cmocka_unit_test(the_reserve_is_the_sum_of_its_components),
		cmocka_unit_test(headroom_is_kept_above_the_peak),
		cmocka_unit_test(an_old_peak_leaves_the_window),
		cmocka_unit_test(releases_are_paced),
		cmocka_unit_test(a_call_postpones_the_next_release),
		cmocka_unit_test(calls_are_unlimited_before_a_whole_cycle),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
