/*
 * One run of a task at a time: lost and late answers, silent upstreams, changes
 * of holder, runs that nobody wants or that stand still.
 */

#include "test_scheduler.h"

/*
 * A start gets no answer. The task may have started, or may start seconds
 * later. It isn't started elsewhere before the upstream has confirmed a stop,
 * after which it refuses the late start.
 */
void an_unanswered_start_is_settled_before_the_next(void **state)
{
	rig_t *rig = *state;
	rig_order_t order;

	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	order = *rig_order(rig->starts, 0);
	rig_run(rig, 1000);
	rig_start_ended(rig, &order, WWH_ORDER_UNKNOWN);
	/* a poll that was sent before says nothing */
	rig_answer_poll(rig, order.upstream, NULL, 0, NULL, 0);
	rig_run(rig, 500);
	assert_int_equal(rig->stops->len, 0);
	rig_answer_poll(rig, order.upstream, NULL, 0, NULL, 0);
	assert_int_equal(rig->stops->len, 1);
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 1);
	wwh_scheduler_stop_ended(rig->scheduler, order.upstream, order.task,
				 order.run, WWH_ORDER_DONE, rig->now_ms);
	/* this poll was sent before the stop was confirmed */
	rig_answer_poll(rig, order.upstream, NULL, 0, NULL, 0);
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 1);
	rig_answer_poll(rig, order.upstream, NULL, 0, NULL, 0);
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 2);
	assert_true(rig_order(rig->starts, 1)->run > order.run);
}

void an_unanswered_start_that_is_listed_goes_on(void **state)
{
	rig_t *rig = *state;
	wwh_running_t running;

	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	rig_start_ended(rig, rig_order(rig->starts, 0), WWH_ORDER_UNKNOWN);
	rig_run(rig, 500);
	running = rig_running(rig_order(rig->starts, 0), 10);
	rig_answer_poll(rig, "u1", &running, 1, NULL, 0);
	rig_run(rig, 5000);
	assert_int_equal(rig->stops->len, 0);
	assert_int_equal(rig->starts->len, 1);
}

/*
 * An upstream is cut off and runs on. Its tasks are started elsewhere only
 * when its lease must have lapsed by its own, slower clock; and then they
 * are, though it is asked all the while whether it is back.
 */
void a_silent_upstream_keeps_its_tasks_until_its_lease_is_over(void **state)
{
	rig_t *rig = *state;
	rig_order_t order;
	int64_t lease_ms;
	int64_t passed_ms = 0;

	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	order = *rig_order(rig->starts, 0);
	rig_start_ended(rig, &order, WWH_ORDER_DONE);
	rig_add_upstream(rig, "u2", AT_2);
	lease_ms = order.lease_until_remote_ms - (rig->now_ms + 5000);
	while (rig->starts->len < 2) {
		rig_run(rig, 50);
		passed_ms += 50;
		answer_all_but(rig, "u1");
		assert_true(passed_ms < 2 * lease_ms);
	}
	assert_true(passed_ms >= lease_ms * 100 / 98);
	assert_string_equal(rig_order(rig->starts, 1)->upstream, "u2");
}

/*
 * A new holder finds a job in the journal whose task may run at an upstream
 * that doesn't answer it. Started at once elsewhere, it would run twice.
 */
void a_new_holder_asks_each_upstream_before_it_starts(void **state)
{
	rig_t *rig = *state;
	wwh_running_t running;
	rig_order_t order;

	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	order = *rig_order(rig->starts, 0);
	rig_take_over(rig);
	rig_add_upstream(rig, "u2", AT_2);
	rig_run(rig, 100);
	assert_int_equal(rig->starts->len, 1);
	running = rig_running(&order, 40);
	rig_answer_poll(rig, "u1", &running, 1, NULL, 0);
	rig_run(rig, 1000);
	assert_int_equal(rig->starts->len, 1);
	assert_int_equal(rig->stops->len, 0);
	assert_int_equal(wwh_scheduler_counts(rig->scheduler).tasks_out, 1);
}

/* How long a new holder waits for an upstream that never answers it. */
static int64_t silence_ms(rig_t *rig, int64_t lease_max_ms)
{
	int64_t passed_ms = 0;

	rig->options.lease_max_ms = lease_max_ms;
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	rig_take_over(rig);
	rig_add_upstream(rig, "u2", AT_2);
	while (rig->starts->len < 2 && passed_ms < 4 * lease_max_ms) {
		rig_run(rig, 50);
		passed_ms += 50;
		answer_all_but(rig, "u1");
	}
	return passed_ms;
}

/*
 * What runs at an upstream that doesn't answer a new holder may run for as
 * long as the platform grants leases. The wait goes by that setting: shorter,
 * tasks run twice; longer, they are missed for nothing.
 */
void a_new_holder_waits_for_the_longest_lease(void **state)
{
	int64_t passed_ms = silence_ms(*state, 6000);

	assert_true(passed_ms >= 6000 * 100 / 98);
	assert_true(passed_ms < 10000);
}

void a_new_holder_waits_longer_where_leases_are(void **state)
{
	assert_true(silence_ms(*state, 10000) >= 10000 * 100 / 98);
}

/* A longer one would be cut short, and the holder would count on it. */
void no_lease_is_asked_for_beyond_the_longest(void **state)
{
	rig_t *rig = *state;
	const rig_order_t *order;

	rig->options.lease_max_ms = 3000;
	rig_take_over(rig);
	rig_announce(rig, "u1", AT_1, false);
	rig_run(rig, 100);
	rig_answer_poll(rig, "u1", NULL, 0, NULL, 0);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	assert_int_equal(rig->starts->len, 1);
	order = rig_order(rig->starts, 0);
	assert_true(order->lease_until_remote_ms - (rig->now_ms + 5000) <=
		    3000);
	assert_true(order->lease_until_remote_ms - (rig->now_ms + 5000) > 0);
}

void a_new_holder_goes_on_when_all_upstreams_have_answered(void **state)
{
	rig_t *rig = *state;

	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	rig_take_over(rig);
	rig_announce(rig, "u1", AT_1, false);
	rig_run(rig, 100);
	assert_int_equal(rig->starts->len, 1);
	rig_answer_poll(rig, "u1", NULL, 0, NULL, 0);
	rig_run(rig, 100);
	assert_int_equal(rig->starts->len, 2);
	assert_true(rig_order(rig->starts, 1)->run >
		    rig_order(rig->starts, 0)->run);
}

/* What runs without being wanted is stopped, and stopped again. */
void an_orphan_run_is_stopped_until_it_is_gone(void **state)
{
	rig_t *rig = *state;
	wwh_running_t orphan = {
		.task = JOB_B ".0.0.0", .run = 3, .checkpoint = "", .percent = 5
	};

	for (int32_t i = 0; i < 3; i++) {
		rig_run(rig, 1500);
		rig_answer_poll(rig, "u1", &orphan, 1, NULL, 0);
		assert_int_equal(rig->stops->len, i + 1);
	}
	assert_int_equal(rig_order(rig->stops, 0)->run, 3);
	/* and nothing new is put where its room isn't known */
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	assert_int_equal(rig->starts->len, 0);
}

/*
 * An upstream answers its polls and does no work. The task goes elsewhere
 * after it was confirmed to be stopped.
 */
void a_task_that_stands_still_is_started_elsewhere(void **state)
{
	rig_t *rig = *state;
	wwh_running_t running;
	rig_order_t order;

	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	order = *rig_order(rig->starts, 0);
	rig_start_ended(rig, &order, WWH_ORDER_DONE);
	for (int32_t i = 0; i < 4 && rig->stops->len == 0; i++) {
		rig_run(rig, 700);
		running = rig_running(&order, 12);
		rig_answer_poll(rig, "u1", &running, 1, NULL, 0);
	}
	assert_int_equal(rig->stops->len, 1);
	rig_add_upstream(rig, "u2", AT_2);
	assert_int_equal(rig->starts->len, 1);
	{
		wwh_ended_t ended = rig_ended(&order, 1, WWH_END_STOPPED);

		rig_run(rig, 500);
		rig_answer_poll(rig, "u1", NULL, 0, &ended, 1);
	}
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 2);
	assert_string_equal(rig_order(rig->starts, 1)->upstream, "u2");
}

void a_task_that_goes_on_slowly_is_left_alone(void **state)
{
	rig_t *rig = *state;
	wwh_running_t running;

	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	rig_start_ended(rig, rig_order(rig->starts, 0), WWH_ORDER_DONE);
	for (int32_t i = 1; i < 20; i++) {
		rig_run(rig, 1000);
		running = rig_running(rig_order(rig->starts, 0), i);
		rig_answer_poll(rig, "u1", &running, 1, NULL, 0);
	}
	assert_int_equal(rig->stops->len, 0);
}
