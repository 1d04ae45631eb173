/*
 * Records and entries that can't be read, as another writer has left them:
 * nothing is started or ended on their word.
 */

#include "test_scheduler.h"

/* A job of one task of 4 s, which runs at some upstream. */
static sched_fixture_order_t start_one(sched_fixture_t *fixture)
{
	sched_fixture_order_t order;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 4000));
	assert_int_equal(fixture->starts->len, 1);
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_make_durable(fixture);
	return order;
}

static const char *other_of(const sched_fixture_order_t *order)
{
	return strcmp(order->upstream, "u1") == 0 ? "u2" : "u1";
}

static const char *endpoint_of(const sched_fixture_order_t *order)
{
	return strcmp(order->upstream, "u1") == 0 ? ENDPOINT_1 : ENDPOINT_2;
}

/* The other upstream answers, and says that nothing runs there. */
static void take_over_with_the_other(sched_fixture_t *fixture,
				     const sched_fixture_order_t *order)
{
	const char *other = other_of(order);

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
 * A new holder can't read the record that names the upstream at which a task
 * runs. It took it that no such upstream was used, and started the task a
 * second time. The upstream's own announcement says where it is.
 */
void an_upstream_whose_record_is_lost_is_asked_first(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = start_one(fixture);
	char *key = g_strconcat("U", order.upstream, NULL);
	wwh_running_task_t row = sched_fixture_running_row(&order, 50);

	rig_damage(fixture, key);
	take_over_with_the_other(fixture, &order);
	assert_int_equal(fixture->starts->len, 1);
	sched_fixture_announce(fixture, order.upstream, endpoint_of(&order),
			       false);
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
 * The same, and the upstream doesn't announce itself: what it runs is over
 * when the longest lease is, and the task goes elsewhere then, not before.
 */
void an_upstream_whose_record_is_lost_is_waited_for(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = start_one(fixture);
	char *key = g_strconcat("U", order.upstream, NULL);
	const char *other = other_of(&order);

	rig_damage(fixture, key);
	take_over_with_the_other(fixture, &order);
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
 * A new holder can't read the record of a job whose task runs. It took the
 * task for one that nobody wants and stopped it, and told the job's caller
 * that there is no such job. What runs is left alone, and nothing is started.
 */
void a_job_whose_record_is_lost_is_left_as_it_is(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = start_one(fixture);
	wwh_running_task_t row = sched_fixture_running_row(&order, 50);

	rig_damage(fixture, "J" JOB_A);
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
 * A new holder can't read which tasks of a job are done. It took it that none
 * are, and ran the one that was done a second time.
 */
void a_job_whose_progress_is_lost_starts_nothing(void **state)
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
	rig_damage(fixture, "P" JOB_A);
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
