/*
 * Upstreams that have terminated: their final report counts, though it is read
 * after the sign of their termination.
 */

#include "test_scheduler.h"

/* A task runs, a poll waits at its upstream, and u2 has room as well. */
static sched_fixture_order_t run_one_task(sched_fixture_t *fixture)
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
 * A task ends, its upstream says so, and at once its host is taken down for
 * upkeep. A busy holder reads the list of hosts first, which shows that the
 * upstream is gone, and the answer with the end a moment later. It had started
 * the task again by then: it ran a second time after it was done.
 */
void an_end_read_after_the_host_list_counts(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = run_one_task(fixture);
	wwh_ended_task_t ended =
		sched_fixture_ended_row(&order, 1, WWH_END_DONE);

	wwh_scheduler_upstream_terminated(fixture->scheduler, order.upstream,
					  "upkeep", fixture->now_ms);
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
 * A holder has taken over and asked all upstreams. One of them answers with the
 * end of a task and goes; a list of hosts without it is read before that answer.
 * The task ran a second time.
 */
void an_inherited_end_read_after_the_host_list_counts(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = run_one_task(fixture);
	wwh_ended_task_t ended =
		sched_fixture_ended_row(&order, 1, WWH_END_DONE);
	const char *other = strcmp(order.upstream, "u1") == 0 ? "u2" : "u1";
	GHashTable *lives = g_hash_table_new(g_str_hash, g_str_equal);

	sched_fixture_take_over(fixture);
	sched_fixture_run(fixture, 20);
	sched_fixture_announce(fixture, other, ENDPOINT_2, false);
	sched_fixture_answer_poll(fixture, other, NULL, 0, NULL, 0);
	g_hash_table_add(lives, (gpointer)other);
	wwh_scheduler_incarnations_requested(fixture->scheduler);
	wwh_scheduler_incarnations_listed(fixture->scheduler, lives,
					  fixture->now_ms);
	g_hash_table_destroy(lives);
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

/* The connection may be silent for good, and the task waits meanwhile. */
void a_final_report_is_awaited_for_a_limited_time(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = run_one_task(fixture);

	wwh_scheduler_upstream_terminated(fixture->scheduler, order.upstream,
					  "upkeep", fixture->now_ms);
	sched_fixture_run(fixture, 200);
	assert_int_equal(fixture->starts->len, 2);
	assert_string_not_equal(
		sched_fixture_order(fixture->starts, 1)->upstream,
		order.upstream);
}

/*
 * A holder hears that a task is done, and finds its upstream gone. It drops the
 * upstream's record, and another process takes over before the job's progress
 * is written: nothing tells of the end, nor of an upstream to ask. The task ran
 * again, 32 of them on one day.
 */
void an_upstream_record_is_deleted_after_its_ends_are_written(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = run_one_task(fixture);
	wwh_ended_task_t ended =
		sched_fixture_ended_row(&order, 1, WWH_END_DONE);
	const char *other = strcmp(order.upstream, "u1") == 0 ? "u2" : "u1";

	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, &ended, 1);
	wwh_scheduler_upstream_terminated(fixture->scheduler, order.upstream,
					  "upkeep", fixture->now_ms);
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
	sched_fixture_order_t order = run_one_task(fixture);

	wwh_scheduler_upstream_terminated(fixture->scheduler, order.upstream,
					  "upkeep", fixture->now_ms);
	sched_fixture_run(fixture, 1);
	(void)sched_fixture_pop_poll(fixture, order.upstream);
	wwh_scheduler_handle_poll_failure(fixture->scheduler, order.upstream,
					  false, fixture->now_ms);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 2);
}

/*
 * After a change of holder a pool waits for the first answer of each inherited
 * upstream. A lost one is asked for again soon, and an upstream that is silent
 * for good isn't asked ever more often; once it has answered, it has its usual
 * time again.
 */
void a_lost_first_answer_is_polled_for_again_soon(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = run_one_task(fixture);
	int64_t waited_ms = 0;
	sched_fixture_poll_t poll;

	sched_fixture_take_over(fixture);
	sched_fixture_run(fixture, 1);
	for (int32_t i = 0; i < 5; i++) {
		poll = sched_fixture_pop_poll(fixture, order.upstream);
		waited_ms += poll.limit_ms;
		if (i == 0)
			assert_in_range(poll.limit_ms, 100, 200);
		fixture->now_ms += poll.limit_ms;
		wwh_scheduler_handle_poll_failure(fixture->scheduler,
						  order.upstream, false,
						  fixture->now_ms);
		sched_fixture_run(fixture, 20);
	}
	assert_in_range(waited_ms, 2000, 3000);
	sched_fixture_announce(fixture, order.upstream, ENDPOINT_1, false);
	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 100);
	assert_int_equal(
		sched_fixture_newest_poll(fixture, order.upstream).limit_ms,
		700);
}
