/* First answers to a new holder that lack a part of what the upstream lists. */

#include "test_scheduler.h"

static void answer_incompletely(sched_fixture_t *fixture, const char *id)
{
	sched_fixture_poll_t poll = sched_fixture_pop_poll(fixture, id);
	wwh_poll_answer_t answer = { .remote_ms = fixture->now_ms + 5000 };

	wwh_scheduler_handle_poll_answer(fixture->scheduler, id, &answer,
					 poll.sent_ms, fixture->now_ms);
	wwh_scheduler_check(fixture->scheduler);
}

static sched_fixture_order_t start_and_take_over(sched_fixture_t *fixture)
{
	sched_fixture_order_t order;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_make_durable(fixture);
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_run(fixture, 50);
	return order;
}

/* Guards against tasks that run again while their ends are beyond the first 500. */
void a_truncated_first_answer_settles_no_upstream(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = start_and_take_over(fixture);
	wwh_ended_task_t ended =
		sched_fixture_ended_row(&order, 501, WWH_END_DONE);

	answer_incompletely(fixture, "u1");
	sched_fixture_run(fixture, 100);
	assert_int_equal(fixture->starts->len, 1);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	sched_fixture_run(fixture, 100);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 100);
	assert_int_equal(fixture->starts->len, 1);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

/* Guards against a pool that waits for good for an answer that can't be read. */
void an_upstream_without_a_complete_answer_is_awaited_for_its_lease(
	void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t lease_ms = fixture->options.lease_ms;
	int64_t passed_ms = 0;

	(void)start_and_take_over(fixture);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	while (fixture->starts->len < 2) {
		for (guint i = fixture->polls->len; i > 0; i--) {
			const char *id =
				g_array_index(fixture->polls,
					      sched_fixture_poll_t, i - 1)
					.upstream;

			if (strcmp(id, "u1") == 0)
				answer_incompletely(fixture, "u1");
			else
				sched_fixture_answer_poll(fixture, "u2", NULL,
							  0, NULL, 0);
		}
		sched_fixture_run(fixture, 50);
		passed_ms += 50;
		assert_true(passed_ms < 3 * lease_ms);
	}
	assert_true(passed_ms >= lease_ms);
}

/*
 * Guards against more runs than a queue allows: the failure of an earlier run is at
 * an upstream that hasn't answered the new holder, and a later run fails meanwhile.
 */
void an_adopted_task_that_fails_waits_for_its_pool(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	wwh_running_task_t row;
	wwh_ended_task_t ended;
	guint before;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_make_durable(fixture);
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_announce(fixture, "u2", ENDPOINT_2, false);
	sched_fixture_run(fixture, 50);
	row = sched_fixture_running_row(&order, 10);
	sched_fixture_answer_poll(fixture, order.upstream, &row, 1, NULL, 0);
	sched_fixture_run(fixture, 50);
	before = fixture->starts->len;
	ended = sched_fixture_ended_row(&order, 1, WWH_END_FAILED);
	sched_fixture_answer_poll(fixture, order.upstream, NULL, 0, &ended, 1);
	sched_fixture_run(fixture, 300);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 300);
	assert_int_equal(fixture->starts->len, before);
	sched_fixture_answer_poll(
		fixture, strcmp(order.upstream, "u1") == 0 ? "u2" : "u1", NULL,
		0, NULL, 0);
	sched_fixture_run(fixture, 300);
	assert_int_equal(fixture->starts->len, before + 1);
}
