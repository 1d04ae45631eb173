/*
 * Orders that upstreams leave without an answer, and carry out late or never.
 */

#include "test_scheduler.h"

#define ANSWER_MS 3
#define OVERDUE_MS 70 /* after orders that were answered in ANSWER_MS */
#define WARM_UP_JOBS 40
#define MORE_JOBS 200
#define MORE_JOBS_ID 0x1000

/* One order in this many gets no answer. */
#define ORDERS_PER_LOSS 20

/* Lists the run of a start as done. */
static void end_run(sched_fixture_t *fixture, guint start)
{
	const sched_fixture_order_t *order =
		sched_fixture_order(fixture->starts, start);
	wwh_ended_task_t end = sched_fixture_ended_row(
		order, (int64_t)start + 1, WWH_END_DONE);

	sched_fixture_answer_poll(fixture, order->upstream, NULL, 0, &end, 1);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 100);
}

static void await_repetition(sched_fixture_t *fixture, guint sent)
{
	for (int32_t i = 0; i < 50 && fixture->starts->len == sent; i++)
		sched_fixture_run(fixture, 10);
}

/*
 * Runs jobs of one task; one start in lose_each gets no answer, 0: none. Returns
 * the starts that were sent, with repetitions.
 */
static guint run_jobs(sched_fixture_t *fixture, guint first_id, guint count,
		      guint lose_each)
{
	guint before = fixture->starts->len;

	/* until the upstream is polled */
	sched_fixture_run(fixture, 100);
	for (guint i = 0; i < count; i++) {
		guint sent = fixture->starts->len;
		sched_fixture_order_t order;
		char id[WWH_JOB_ID_CHARS + 1];

		snprintf(id, sizeof(id), "%016x", first_id + i);
		sched_fixture_submit(fixture, sched_fixture_job(id, 1, 1000));
		sched_fixture_run(fixture, ANSWER_MS);
		if (lose_each != 0 && i % lose_each == 0)
			await_repetition(fixture, sent + 1);
		order = *sched_fixture_order(fixture->starts,
					     fixture->starts->len - 1);
		sched_fixture_handle_start_result(fixture, &order,
						  WWH_ORDER_DONE);
		end_run(fixture, sent);
	}
	return fixture->starts->len - before;
}

static void start_job_a(sched_fixture_t *fixture, sched_fixture_order_t *order)
{
	(void)run_jobs(fixture, 1, WARM_UP_JOBS, 0);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	*order =
		*sched_fixture_order(fixture->starts, fixture->starts->len - 1);
	assert_true(g_str_has_prefix(order->task, JOB_A));
}

/* Guards against a job that waits for a second as one start gets no answer. */
void a_start_without_an_answer_is_sent_again(void **state)
{
	sched_fixture_t *fixture = *state;
	const sched_fixture_order_t *again;
	sched_fixture_order_t order;
	guint sent;

	start_job_a(fixture, &order);
	sent = fixture->starts->len;
	sched_fixture_run(fixture, OVERDUE_MS);
	assert_int_equal(fixture->starts->len, sent + 1);
	again = sched_fixture_order(fixture->starts, sent);
	assert_string_equal(again->upstream, order.upstream);
	assert_string_equal(again->task, order.task);
	assert_int_equal(again->run, order.run);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_UNKNOWN);
	sched_fixture_run(fixture, OVERDUE_MS);
	assert_int_equal(fixture->starts->len, sent + 1);
	assert_int_equal(fixture->stops->len, 0);
	assert_int_equal(
		wwh_scheduler_counts(fixture->scheduler).repeated_orders, 1);
}

/*
 * Guards against a second run of a task whose first start was carried out, and
 * whose repetition is refused as the run is over.
 */
void a_refused_repetition_does_not_mean_that_nothing_ran(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	wwh_ended_task_t done;
	guint sent;

	start_job_a(fixture, &order);
	sched_fixture_run(fixture, OVERDUE_MS);
	sent = fixture->starts->len;
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_OLD_RUN);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_UNKNOWN);
	sched_fixture_run(fixture, 300);
	assert_int_equal(fixture->starts->len, sent);
	done = sched_fixture_ended_row(&order, WARM_UP_JOBS + 1, WWH_END_DONE);
	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, &done, 1);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 300);
	assert_int_equal(fixture->starts->len, sent);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

/* Guards against a start on an upstream that has announced that it leaves. */
void a_start_is_not_repeated_on_an_upstream_that_leaves(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	guint sent;

	start_job_a(fixture, &order);
	sent = fixture->starts->len;
	sched_fixture_announce(fixture, order.upstream, ENDPOINT_1, true);
	sched_fixture_run(fixture, OVERDUE_MS);
	assert_int_equal(fixture->starts->len, sent);
}

/* Guards against a start of a job that its caller has cancelled. */
void a_start_of_a_cancelled_job_is_not_repeated(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	int64_t record;
	guint sent;

	start_job_a(fixture, &order);
	sent = fixture->starts->len;
	assert_true(wwh_scheduler_cancel(fixture->scheduler, JOB_A,
					 fixture->now_ms, &record));
	sched_fixture_run(fixture, OVERDUE_MS);
	assert_int_equal(fixture->starts->len, sent);
}

void a_stop_without_an_answer_is_sent_again(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	int64_t record;

	start_job_a(fixture, &order);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	assert_true(wwh_scheduler_cancel(fixture->scheduler, JOB_A,
					 fixture->now_ms, &record));
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->stops->len, 1);
	sched_fixture_run(fixture, OVERDUE_MS);
	assert_int_equal(fixture->stops->len, 2);
	assert_int_equal(sched_fixture_order(fixture->stops, 1)->run,
			 order.run);
	wwh_scheduler_handle_stop_result(fixture->scheduler, order.upstream,
					 order.task, order.run, WWH_ORDER_DONE,
					 fixture->now_ms);
	sched_fixture_run(fixture, OVERDUE_MS);
	assert_int_equal(fixture->stops->len, 2);
}

/* Guards against twice the load on a holder that is late to read answers. */
void repetitions_are_a_limited_share_of_the_orders(void **state)
{
	sched_fixture_t *fixture = *state;
	guint sent;

	(void)run_jobs(fixture, 1, WARM_UP_JOBS, 0);
	sent = run_jobs(fixture, MORE_JOBS_ID, MORE_JOBS, 1);
	assert_in_range(sent, MORE_JOBS, MORE_JOBS + MORE_JOBS / 4);
}

/*
 * Guards against ends that are learned seconds late: while orders get no answer,
 * neither do polls, and a lost poll hides all ends at its upstream.
 */
void polls_are_short_while_orders_get_no_answer(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	int64_t usual_ms;

	start_job_a(fixture, &order);
	sched_fixture_run(fixture, 1);
	usual_ms = sched_fixture_newest_poll(fixture, order.upstream).wait_ms;
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	end_run(fixture, fixture->starts->len - 1);
	(void)run_jobs(fixture, MORE_JOBS_ID, MORE_JOBS, ORDERS_PER_LOSS);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 1, 1000));
	order = *sched_fixture_order(fixture->starts, fixture->starts->len - 1);
	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 100);
	assert_in_range(
		sched_fixture_newest_poll(fixture, order.upstream).wait_ms, 1,
		usual_ms / 4);
}
