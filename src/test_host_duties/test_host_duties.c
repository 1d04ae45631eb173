/*
 * Waves of upkeep and moves between pools, on a scheduler of its own whose
 * upstreams are as each test says. Here: what lists of hosts say, and main.
 */

#include "duties_fixture.h"

static void a_host_listed_as_away_has_ended_its_tasks(void **state)
{
	crew_t *crew = *state;

	sched_fixture_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	sched_fixture_submit(crew->rig, sched_fixture_job(JOB_A, 1, 1000));
	crew_run(crew, 1);
	crew_hosts(crew, 1, true, WWH_HOST_UP);
	crew_run(crew, 600);
	crew_hosts(crew, 1, true, WWH_HOST_UPKEEP);
	assert_int_equal(
		wwh_scheduler_counts(crew->rig->scheduler).tasks_outstanding,
		0);
}

/*
 * A list that was asked for before an order shows the host as it was. Taken
 * for new, it undid the move in the books, and the host was moved twice.
 */
static void a_list_from_before_an_order_is_not_believed(void **state)
{
	crew_t *crew = *state;

	wwh_host_duties_set_pool(crew->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(crew->duties, "rest", true);
	sched_fixture_add_upstream(crew->rig, "u9", "10.0.0.9:1");
	sched_fixture_submit(crew->rig, sched_fixture_job(JOB_A, 60, 1000));
	crew_run(crew, 1);
	crew_host(crew, "h1", "rest", NULL, WWH_HOST_UP);
	crew_listed(crew);
	crew_run(crew, 600);
	assert_int_equal(crew->moves->len, 1);
	assert_string_equal(g_ptr_array_index(crew->moves, 0),
			    "h1 " SCHED_FIXTURE_POOL);
	crew->rig->now_ms += 10;
	wwh_host_duties_handle_move_result(crew->duties, "h1", WWH_DUTY_DONE,
					   crew->rig->now_ms);
	crew_host(crew, "h1", "rest", NULL, WWH_HOST_UP);
	crew_listed(crew);
	crew_run(crew, 5000);
	assert_int_equal(crew->moves->len, 1);
}

/*
 * A holder is cut off in a turn and another takes over. It waited three
 * seconds before it gave the turn's pool its first host, though hosts refuse
 * what the one before may still send.
 */
static void a_new_holder_waits_less_where_hosts_fence(void **state)
{
	(void)state;
	assert_int_equal(wwh_host_duties_takeover_delay_ms(false, 3000), 3000);
	assert_int_equal(wwh_host_duties_takeover_delay_ms(true, 3000),
			 WWH_OVERTAKEN_HOLDER_MS);
	assert_int_equal(wwh_host_duties_takeover_delay_ms(true, 400), 400);
}

/*
 * A host's row can't be read, list after list, while it waits for its upkeep.
 * It was as good as not listed: after three lists it was taken as removed and
 * its wave reported as completed. Mended, it has its upkeep.
 */
static void a_host_whose_row_cant_be_read_is_not_removed(void **state)
{
	crew_t *crew = *state;

	crew_wave(crew, 1, 1);
	crew_run(crew, 1);
	for (int32_t i = 0; i < 6; i++) {
		wwh_host_duties_list_begin(crew->duties);
		crew_bad_host(crew, "h1");
		crew_listed(crew);
		crew_run(crew, 600);
	}
	wwh_host_duties_set_durable(crew->duties, crew->record);
	crew_run(crew, 1);
	crew_run(crew, 1);
	assert_int_equal(crew->upkeeps->len, 0);
	assert_int_equal(crew->completed, 0);
	wwh_host_duties_list_begin(crew->duties);
	crew_host(crew, "h1", SCHED_FIXTURE_POOL, NULL, WWH_HOST_UP);
	crew_listed(crew);
	crew_run(crew, 1);
	assert_int_equal(crew->upkeeps->len, 1);
}

/*
 * A row of the list names no host. Any host that the list doesn't show may be
 * that one, so none is taken as removed on such lists' word.
 */
static void a_row_without_a_name_may_be_any_host(void **state)
{
	crew_t *crew = *state;

	crew_wave(crew, 1, 1);
	crew_run(crew, 1);
	for (int32_t i = 0; i < 6; i++) {
		wwh_host_duties_list_begin(crew->duties);
		crew_bad_host(crew, NULL);
		crew_listed(crew);
		crew_run(crew, 600);
	}
	wwh_host_duties_set_durable(crew->duties, crew->record);
	crew_run(crew, 1);
	crew_run(crew, 1);
	assert_int_equal(crew->completed, 0);
}

/* The row of a host at work turns bad: what runs there isn't taken as ended. */
static void a_bad_row_of_a_host_ends_no_task(void **state)
{
	crew_t *crew = *state;

	sched_fixture_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	sched_fixture_submit(crew->rig, sched_fixture_job(JOB_A, 1, 1000));
	crew_run(crew, 1);
	crew_hosts(crew, 1, true, WWH_HOST_UP);
	crew_run(crew, 600);
	wwh_host_duties_list_begin(crew->duties);
	crew_bad_host(crew, "h1");
	crew_listed(crew);
	crew_run(crew, 600);
	assert_int_equal(
		wwh_scheduler_counts(crew->rig->scheduler).tasks_outstanding,
		1);
	crew_hosts(crew, 1, true, WWH_HOST_UP);
	assert_int_equal(
		wwh_scheduler_counts(crew->rig->scheduler).tasks_outstanding,
		1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		WAVE_TESTS,
		MOVE_TESTS,
		LIFE_TESTS,
		cmocka_unit_test_setup_teardown(
			a_host_listed_as_away_has_ended_its_tasks, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_list_from_before_an_order_is_not_believed, set_up,
			tear_down),
		cmocka_unit_test(a_new_holder_waits_less_where_hosts_fence),
		cmocka_unit_test_setup_teardown(
			a_host_whose_row_cant_be_read_is_not_removed, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_row_without_a_name_may_be_any_host, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_bad_row_of_a_host_ends_no_task, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
