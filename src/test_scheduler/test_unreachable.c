/* Upstreams that can't be reached at their addresses and run on. */

#include "test_scheduler.h"

/* Returns the time until the task of u1, whose lease is lease_ms, runs at u2. */
static int64_t start_and_lose_sight(sched_fixture_t *fixture, wwh_reach_t reach,
				    int64_t *lease_ms)
{
	sched_fixture_order_t order;
	int64_t passed_ms = 0;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	*lease_ms = order.lease_until_remote_ms - (fixture->now_ms + 5000);
	while (fixture->starts->len < 2) {
		sched_fixture_run(fixture, 50);
		passed_ms += 50;
		answer_all_but_failing(fixture, "u1", reach);
		assert_true(passed_ms < 2 * *lease_ms);
	}
	assert_string_equal(sched_fixture_order(fixture->starts, 1)->upstream,
			    "u2");
	return passed_ms;
}

/* Guards against tasks that run twice while a link rejects connections. */
void runs_of_an_upstream_that_refuses_connections_are_kept(void **state)
{
	int64_t lease_ms;
	int64_t passed_ms =
		start_and_lose_sight(*state, WWH_REACH_REFUSED, &lease_ms);

	assert_true(passed_ms >= lease_ms * 100 / 98);
}

/* Guards against the same where its address was given to another upstream. */
void runs_of_an_upstream_without_its_address_are_kept(void **state)
{
	int64_t lease_ms;
	int64_t passed_ms = start_and_lose_sight(
		*state, WWH_REACH_OTHER_ANSWERS, &lease_ms);

	assert_true(passed_ms >= lease_ms * 100 / 98);
}

/*
 * Guards against a task that crashes upstreams without end while no list of hosts
 * is to be had: their addresses answer for others, and only leases end its runs.
 */
void a_crash_without_a_list_counts_once_the_lease_has_lapsed(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t lease_ms;

	(void)start_and_lose_sight(fixture, WWH_REACH_OTHER_ANSWERS, &lease_ms);
	assert_non_null(strstr(fixture->events->str, "termination=crash"));
}

/* Guards against a sound job that fails as a link refuses connections twice. */
void a_refused_upstream_is_no_crash_once_its_lease_has_lapsed(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t lease_ms;

	(void)start_and_lose_sight(fixture, WWH_REACH_REFUSED, &lease_ms);
	assert_null(strstr(fixture->events->str, "termination=crash"));
}

/* Guards against tasks that wait for a lease although the list shows the end. */
void a_list_is_awaited_only_while_runs_are_in_doubt(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t listed_ms = fixture->now_ms + 1;
	sched_fixture_order_t order;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_run(fixture, 50);
	assert_false(
		wwh_scheduler_awaits_host_list(fixture->scheduler, listed_ms));
	(void)sched_fixture_pop_poll(fixture, "u1");
	wwh_scheduler_handle_poll_failure(fixture->scheduler, "u1",
					  WWH_REACH_SILENT, fixture->now_ms);
	sched_fixture_run(fixture, 50);
	assert_false(
		wwh_scheduler_awaits_host_list(fixture->scheduler, listed_ms));
	(void)sched_fixture_pop_poll(fixture, "u1");
	wwh_scheduler_handle_poll_failure(fixture->scheduler, "u1",
					  WWH_REACH_REFUSED, fixture->now_ms);
	sched_fixture_run(fixture, 1);
	assert_true(
		wwh_scheduler_awaits_host_list(fixture->scheduler, listed_ms));
	listed_ms = fixture->now_ms;
	sched_fixture_run(fixture, 200);
	assert_false(
		wwh_scheduler_awaits_host_list(fixture->scheduler, listed_ms));
}

/* Guards against upstreams that are polled for good after they have ended. */
void an_upstream_that_never_answered_is_removed_with_its_entry(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_announce(fixture, "u2", ENDPOINT_2, false);
	sched_fixture_run(fixture, 50);
	(void)sched_fixture_pop_poll(fixture, "u2");
	wwh_scheduler_handle_poll_failure(fixture->scheduler, "u2",
					  WWH_REACH_REFUSED, fixture->now_ms);
	sched_fixture_run(fixture, 50);
	assert_int_equal(wwh_scheduler_upstream_count(fixture->scheduler), 2);
	wwh_scheduler_upstream_withdrawn(fixture->scheduler, "u2",
					 fixture->now_ms);
	sched_fixture_run(fixture, 50);
	assert_int_equal(wwh_scheduler_upstream_count(fixture->scheduler), 1);
}

/* Guards against records that are deleted and written again at each takeover. */
void an_upstream_is_kept_until_the_registry_is_read(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_make_durable(fixture);
	sched_fixture_take_over(fixture);
	wwh_scheduler_hold_starts(fixture->scheduler, true);
	sched_fixture_run(fixture, 50);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 50);
	assert_int_equal(wwh_scheduler_upstream_count(fixture->scheduler), 1);
	wwh_scheduler_hold_starts(fixture->scheduler, false);
	sched_fixture_run(fixture, 50);
	assert_int_equal(wwh_scheduler_upstream_count(fixture->scheduler), 0);
}

/* Guards against an end that counts for nothing once its upstream is back. */
void an_end_counts_after_connections_were_refused(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	wwh_ended_task_t ended;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	for (int32_t i = 0; i < 20; i++) {
		sched_fixture_run(fixture, 50);
		answer_all_but_failing(fixture, "u1", WWH_REACH_REFUSED);
	}
	sched_fixture_run(fixture, 800);
	ended = sched_fixture_ended_row(&order, 1, WWH_END_DONE);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	sched_fixture_run(fixture, 50);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 50);
	assert_int_equal(fixture->starts->len, 1);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

/* Guards against starts that are sent to an address of another upstream. */
void an_upstream_without_its_address_gets_no_starts(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order,
					  WWH_ORDER_OTHER_INCARNATION);
	sched_fixture_run(fixture, 1000);
	assert_int_equal(fixture->starts->len, 1);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 50);
	assert_int_equal(fixture->starts->len, 2);
}

/*
 * Guards against a sound job that is shown as failed after one crash: its next upstream
 * runs on, and its address was given to another one.
 */
void a_crash_that_no_list_shows_convicts_no_task_by_itself(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	wwh_scheduler_upstream_terminated(fixture->scheduler, order.upstream,
					  WWH_TERMINATION_CRASH, "down",
					  fixture->now_ms);
	for (int32_t i = 0; i < 60 && fixture->starts->len == 1; i++) {
		sched_fixture_run(fixture, 50);
		answer_all_but(fixture, "");
		sched_fixture_make_durable(fixture);
	}
	order = *sched_fixture_order(fixture->starts, 1);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	for (int32_t i = 0; i < 200 && fixture->starts->len == 2; i++) {
		sched_fixture_run(fixture, 50);
		answer_all_but_failing(fixture, order.upstream,
				       WWH_REACH_OTHER_ANSWERS);
		sched_fixture_make_durable(fixture);
	}
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
	assert_int_equal(fixture->starts->len, 3);
}
