/*
 * Records that can't be read, as another writer might leave them: the scheduler
 * starts and ends nothing because of them.
 */

#include "test_scheduler.h"

/* Submits a job of one task of 4 cores and starts it at some upstream. */
static sched_fixture_order_t start_one_task(sched_fixture_t *fixture)
{
	sched_fixture_order_t order;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 4000));
	assert_int_equal(fixture->starts->len, 1);
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_make_durable(fixture);
	return order;
}

static const char *other_upstream(const sched_fixture_order_t *order)
{
	return strcmp(order->upstream, "u1") == 0 ? "u2" : "u1";
}

static const char *endpoint_of_order(const sched_fixture_order_t *order)
{
	return strcmp(order->upstream, "u1") == 0 ? ENDPOINT_1 : ENDPOINT_2;
}

/* Takes over and lets only the other upstream answer: it runs no tasks. */
static void take_over_with_other_upstream(sched_fixture_t *fixture,
					  const sched_fixture_order_t *order)
{
	const char *other = other_upstream(order);

	sched_fixture_take_over(fixture);
	sched_fixture_announce(
		fixture, other,
		strcmp(other, "u1") == 0 ? ENDPOINT_1 : ENDPOINT_2, false);
	sched_fixture_run(fixture, 1);
	sched_fixture_answer_poll(fixture, other, NULL, 0, NULL, 0);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 1);
	sched_fixture_run(fixture, 1000);
}

/*
 * Guards against a task that runs twice. A new holder that can't read the record
 * of the upstream at which the task runs assumed that no such upstream was used,
 * and started the task again. It must wait for the upstream's announcement, which
 * has the endpoint, and poll it.
 */
void an_upstream_whose_record_is_unreadable_is_polled_first(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = start_one_task(fixture);
	char *key = g_strconcat("U", order.upstream, NULL);
	wwh_running_task_t row = sched_fixture_running_row(&order, 50);

	sched_fixture_corrupt_record(fixture, key);
	take_over_with_other_upstream(fixture, &order);
	assert_int_equal(fixture->starts->len, 1);
	sched_fixture_announce(fixture, order.upstream,
			       endpoint_of_order(&order), false);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 1);
	sched_fixture_answer_poll(fixture, order.upstream, &row, 1, NULL, 0);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 1);
	assert_int_equal(fixture->stops->len, 0);
	assert_int_equal(
		wwh_scheduler_counts(fixture->scheduler).tasks_outstanding, 1);
	assert_int_equal(wwh_scheduler_counts(fixture->scheduler).unsettled, 0);
	g_free(key);
}

/*
 * As above, but the upstream isn't announced. Its tasks have certainly ended once
 * the longest lease has lapsed; the task is started elsewhere then, not before.
 */
void an_upstream_whose_record_is_unreadable_is_waited_for(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = start_one_task(fixture);
	char *key = g_strconcat("U", order.upstream, NULL);
	const char *other = other_upstream(&order);

	sched_fixture_corrupt_record(fixture, key);
	take_over_with_other_upstream(fixture, &order);
	assert_int_equal(fixture->starts->len, 1);
	for (int32_t i = 0; i < 14; i++) {
		sched_fixture_run(fixture, 1000);
		if (fixture->polls->len > 0)
			sched_fixture_answer_poll(fixture, other, NULL, 0, NULL,
						  0);
		if (i < 8)
			assert_int_equal(fixture->starts->len, 1);
	}
	assert_int_equal(fixture->starts->len, 2);
	sched_fixture_make_durable(fixture);
	assert_false(g_hash_table_contains(fixture->records, key));
	g_free(key);
}

/*
 * Guards against a new holder that can't read the record of a job, stops the
 * job's running task as an orphan, and reports the job as unknown to its caller.
 * It must leave the task running and start none.
 */
void a_job_whose_record_is_unreadable_is_left_running(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = start_one_task(fixture);
	wwh_running_task_t row = sched_fixture_running_row(&order, 50);

	sched_fixture_corrupt_record(fixture, "J" JOB_A);
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_run(fixture, 1);
	sched_fixture_answer_poll(fixture, "u1", &row, 1, NULL, 0);
	sched_fixture_run(fixture, 2000);
	sched_fixture_answer_poll(fixture, "u1", &row, 1, NULL, 0);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 1);
	assert_int_equal(fixture->stops->len, 0);
}

/*
 * Guards against a new holder that can't read the progress of a job, assumes that
 * none of its tasks is done, and runs a finished one again.
 */
void a_job_whose_progress_is_unreadable_starts_nothing(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	wwh_ended_task_t end;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 2, 5000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_run(fixture, 100);
	end = sched_fixture_ended_row(&order, 1, WWH_END_DONE);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &end, 1);
	sched_fixture_make_durable(fixture);
	sched_fixture_corrupt_record(fixture, "P" JOB_A);
	sched_fixture_take_over(fixture);
	g_array_set_size(fixture->starts, 0);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_run(fixture, 1);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 1);
	sched_fixture_run(fixture, 1000);
	assert_int_equal(fixture->starts->len, 0);
	assert_true(g_hash_table_contains(fixture->records, "J" JOB_A));
}
