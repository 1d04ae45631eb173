/*
 * Records and entries that can't be read, as another writer has left them:
 * nothing is started or ended on their word.
 */

#include "test_scheduler.h"

/* A job of one task of 4 s, which runs at some upstream. */
static rig_order_t start_one(rig_t *rig)
{
	rig_order_t order;

	rig_submit(rig, rig_job(JOB_A, 1, 4000));
	assert_int_equal(rig->starts->len, 1);
	order = *rig_order(rig->starts, 0);
	rig_start_ended(rig, &order, WWH_ORDER_DONE);
	rig_durable(rig);
	return order;
}

static const char *other_of(const rig_order_t *order)
{
	return strcmp(order->upstream, "u1") == 0 ? "u2" : "u1";
}

static const char *endpoint_of(const rig_order_t *order)
{
	return strcmp(order->upstream, "u1") == 0 ? AT_1 : AT_2;
}

/* The other upstream answers, and says that nothing runs there. */
static void take_over_with_the_other(rig_t *rig, const rig_order_t *order)
{
	const char *other = other_of(order);

	rig_take_over(rig);
	rig_announce(rig, other, strcmp(other, "u1") == 0 ? AT_1 : AT_2, false);
	rig_run(rig, 1);
	rig_answer_poll(rig, other, NULL, 0, NULL, 0);
	rig_durable(rig);
	rig_run(rig, 1);
	rig_run(rig, 1000);
}

/*
 * A new holder can't read the record that names the upstream at which a task
 * runs. It took it that no such upstream was used, and started the task a
 * second time. The upstream's own announcement says where it is.
 */
void an_upstream_whose_record_is_lost_is_asked_first(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = start_one(rig);
	char *key = g_strconcat("U", order.upstream, NULL);
	wwh_running_task_t row = rig_running(&order, 50);

	rig_damage(rig, key);
	take_over_with_the_other(rig, &order);
	assert_int_equal(rig->starts->len, 1);
	rig_announce(rig, order.upstream, endpoint_of(&order), false);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 1);
	rig_answer_poll(rig, order.upstream, &row, 1, NULL, 0);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 1);
	assert_int_equal(rig->stops->len, 0);
	assert_int_equal(wwh_scheduler_counts(rig->scheduler).tasks_outstanding,
			 1);
	assert_int_equal(wwh_scheduler_counts(rig->scheduler).unsettled, 0);
	g_free(key);
}

/*
 * The same, and the upstream doesn't announce itself: what it runs is over
 * when the longest lease is, and the task goes elsewhere then, not before.
 */
void an_upstream_whose_record_is_lost_is_waited_for(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = start_one(rig);
	char *key = g_strconcat("U", order.upstream, NULL);
	const char *other = other_of(&order);

	rig_damage(rig, key);
	take_over_with_the_other(rig, &order);
	assert_int_equal(rig->starts->len, 1);
	for (int32_t i = 0; i < 14; i++) {
		rig_run(rig, 1000);
		if (rig->polls->len > 0)
			rig_answer_poll(rig, other, NULL, 0, NULL, 0);
		if (i < 8)
			assert_int_equal(rig->starts->len, 1);
	}
	assert_int_equal(rig->starts->len, 2);
	rig_durable(rig);
	assert_false(g_hash_table_contains(rig->records, key));
	g_free(key);
}

/*
 * A new holder can't read the record of a job whose task runs. It took the
 * task for one that nobody wants and stopped it, and told the job's caller
 * that there is no such job. What runs is left alone, and nothing is started.
 */
void a_job_whose_record_is_lost_is_left_as_it_is(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = start_one(rig);
	wwh_running_task_t row = rig_running(&order, 50);

	rig_damage(rig, "J" JOB_A);
	rig_take_over(rig);
	rig_announce(rig, "u1", AT_1, false);
	rig_run(rig, 1);
	rig_answer_poll(rig, "u1", &row, 1, NULL, 0);
	rig_run(rig, 2000);
	rig_answer_poll(rig, "u1", &row, 1, NULL, 0);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 1);
	assert_int_equal(rig->stops->len, 0);
}

/*
 * A new holder can't read which tasks of a job are done. It took it that none
 * are, and ran the one that was done a second time.
 */
void a_job_whose_progress_is_lost_starts_nothing(void **state)
{
	rig_t *rig = *state;
	rig_order_t order;
	wwh_ended_task_t end;

	rig_submit(rig, rig_job(JOB_A, 2, 5000));
	order = *rig_order(rig->starts, 0);
	rig_start_ended(rig, &order, WWH_ORDER_DONE);
	rig_run(rig, 100);
	end = rig_ended(&order, 1, WWH_END_DONE);
	rig_answer_poll(rig, "u1", NULL, 0, &end, 1);
	rig_durable(rig);
	rig_damage(rig, "P" JOB_A);
	rig_take_over(rig);
	g_array_set_size(rig->starts, 0);
	rig_announce(rig, "u1", AT_1, false);
	rig_run(rig, 1);
	rig_answer_poll(rig, "u1", NULL, 0, NULL, 0);
	rig_durable(rig);
	rig_run(rig, 1);
	rig_run(rig, 1000);
	assert_int_equal(rig->starts->len, 0);
	assert_true(g_hash_table_contains(rig->records, "J" JOB_A));
}
