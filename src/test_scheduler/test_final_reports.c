/*
 * The final report of a terminated upstream counts although it is read after
 * the evidence of the termination.
 */

#include "test_scheduler.h"

/*
 * Starts one task. A poll is in flight at its upstream, and the other upstream
 * has room for the task as well.
 */
static sched_fixture_order_t start_one_task(sched_fixture_t *fixture)
{
	sched_fixture_order_t order;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_run(fixture, 100);
	(void)sched_fixture_newest_poll(fixture, order.upstream);
	return order;
}

/*
 * An upstream reports the end of a task, and its host is taken down for upkeep
 * at once. A busy holder reads the host list, which shows the termination,
 * before the answer with the end. It had started the task again by then, so the
 * task ran a second time after it was done.
 */
void an_end_read_after_the_host_list_counts(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = start_one_task(fixture);
	wwh_ended_task_t ended =
		sched_fixture_ended_row(&order, 1, WWH_END_DONE);

	wwh_scheduler_upstream_terminated(fixture->scheduler, order.upstream,
					  WWH_TERMINATION_ORDERED, "upkeep",
					  fixture->now_ms);
	sched_fixture_run(fixture, 20);
	assert_int_equal(fixture->starts->len, 1);
	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, &ended, 1);
	sched_fixture_run(fixture, 1000);
	assert_int_equal(fixture->starts->len, 1);
	sched_fixture_make_durable(fixture);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

/*
 * A new holder has polled all upstreams. One of them reports the end of a task
 * and terminates; a host list without it is read before that answer, and the
 * task ran a second time.
 */
void an_inherited_end_read_after_the_host_list_counts(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = start_one_task(fixture);
	wwh_ended_task_t ended =
		sched_fixture_ended_row(&order, 1, WWH_END_DONE);
	const char *other = strcmp(order.upstream, "u1") == 0 ? "u2" : "u1";
	GHashTable *incarnations = g_hash_table_new(g_str_hash, g_str_equal);

	sched_fixture_take_over(fixture);
	sched_fixture_run(fixture, 20);
	sched_fixture_announce(fixture, other, ENDPOINT_2, false);
	sched_fixture_answer_poll(fixture, other, NULL, 0, NULL, 0);
	g_hash_table_add(incarnations, (gpointer)other);
	wwh_scheduler_incarnations_requested(fixture->scheduler);
	wwh_scheduler_incarnations_listed(fixture->scheduler, incarnations,
					  false, fixture->now_ms);
	g_hash_table_destroy(incarnations);
	sched_fixture_run(fixture, 20);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 20);
	assert_int_equal(fixture->starts->len, 1);
	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, &ended, 1);
	sched_fixture_run(fixture, 1000);
	sched_fixture_make_durable(fixture);
	assert_int_equal(fixture->starts->len, 1);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

/* The poll may never be answered, and the task waits meanwhile. */
void a_final_report_is_awaited_for_a_limited_time(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = start_one_task(fixture);

	wwh_scheduler_upstream_terminated(fixture->scheduler, order.upstream,
					  WWH_TERMINATION_ORDERED, "upkeep",
					  fixture->now_ms);
	sched_fixture_run(fixture, 200);
	assert_int_equal(fixture->starts->len, 2);
	assert_string_not_equal(
		sched_fixture_order(fixture->starts, 1)->upstream,
		order.upstream);
}

/*
 * Guards against a task that runs again: a holder receives its end, learns that
 * its upstream has terminated and deletes the upstream's record, and another
 * process takes over before the job's progress is written. That process finds
 * neither the end nor an upstream to poll. 32 tasks ran again on one day for
 * this reason.
 */
void an_upstream_record_is_deleted_after_its_ends_are_written(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = start_one_task(fixture);
	wwh_ended_task_t ended =
		sched_fixture_ended_row(&order, 1, WWH_END_DONE);
	const char *other = strcmp(order.upstream, "u1") == 0 ? "u2" : "u1";

	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, &ended, 1);
	wwh_scheduler_upstream_terminated(fixture->scheduler, order.upstream,
					  WWH_TERMINATION_ORDERED, "upkeep",
					  fixture->now_ms);
	sched_fixture_run(fixture, 20);
	sched_fixture_take_over(fixture);
	sched_fixture_run(fixture, 20);
	sched_fixture_answer_poll(fixture, other, NULL, 0, NULL, 0);
	sched_fixture_announce(fixture, other, ENDPOINT_2, false);
	sched_fixture_run(fixture, 20);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 20);
	assert_int_equal(fixture->starts->len, 1);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

void a_terminated_upstream_is_removed_when_its_poll_fails(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = start_one_task(fixture);

	wwh_scheduler_upstream_terminated(fixture->scheduler, order.upstream,
					  WWH_TERMINATION_ORDERED, "upkeep",
					  fixture->now_ms);
	sched_fixture_run(fixture, 1);
	(void)sched_fixture_pop_poll(fixture, order.upstream);
	wwh_scheduler_handle_poll_failure(fixture->scheduler, order.upstream,
					  WWH_REACH_SILENT, fixture->now_ms);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 2);
}

/*
 * After a change of holder a pool waits for the first answer of each inherited
 * upstream. A first poll without an answer is resent soon, the time limits of
 * the repeated polls grow, and after an answer the usual limit applies again.
 */
void a_lost_first_answer_is_polled_for_again_soon(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = start_one_task(fixture);
	int64_t total_timeout_ms = 0;
	sched_fixture_poll_t poll;

	sched_fixture_take_over(fixture);
	sched_fixture_run(fixture, 1);
	for (int32_t i = 0; i < 5; i++) {
		poll = sched_fixture_pop_poll(fixture, order.upstream);
		total_timeout_ms += poll.timeout_ms;
		if (i == 0)
			assert_in_range(poll.timeout_ms, 100, 200);
		fixture->now_ms += poll.timeout_ms;
		wwh_scheduler_handle_poll_failure(
			fixture->scheduler, order.upstream, WWH_REACH_SILENT,
			fixture->now_ms);
		sched_fixture_run(fixture, 20);
	}
	assert_in_range(total_timeout_ms, 2000, 3000);
	sched_fixture_announce(fixture, order.upstream, ENDPOINT_1, false);
	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 100);
	assert_int_equal(
		sched_fixture_newest_poll(fixture, order.upstream).timeout_ms,
		700);
}
