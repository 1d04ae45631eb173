/* Upstreams that start again under their id, and know nothing of before. */

#include "test_scheduler.h"

#define FIRST_BORN_MS (SCHED_FIXTURE_WALL_MS - 5000)
/* The clock was set back in between. */
#define SECOND_BORN_MS (SCHED_FIXTURE_WALL_MS - 9000)

/* Starts a job of one task on u1, and returns its order. */
static sched_fixture_order_t start_job(sched_fixture_t *fixture, const char *id)
{
	sched_fixture_submit(fixture, sched_fixture_job(id, 1, 1000));
	return *sched_fixture_order(fixture->starts, fixture->starts->len - 1);
}

/* Ends the run as number 1 of its upstream, and has that acknowledged. */
static void run_to_its_end(sched_fixture_t *fixture,
			   const sched_fixture_order_t *order)
{
	wwh_ended_task_t ended =
		sched_fixture_ended_row(order, 1, WWH_END_DONE);

	sched_fixture_handle_start_result(fixture, order, WWH_ORDER_DONE);
	sched_fixture_run(fixture, 500);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 300);
	assert_int_equal(sched_fixture_newest_poll(fixture, "u1").acked_upto,
			 1);
}

static void run_first_job(sched_fixture_t *fixture)
{
	sched_fixture_order_t order;

	fixture->born_ms = FIRST_BORN_MS;
	sched_fixture_run(fixture, 100);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	order = start_job(fixture, JOB_A);
	run_to_its_end(fixture, &order);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

/* The start of a task that was lost in a crash follows its record. */
static void answer_empty_polls(sched_fixture_t *fixture)
{
	for (int32_t i = 0; i < 4; i++) {
		sched_fixture_run(fixture, 300);
		sched_fixture_make_durable(fixture);
		sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	}
	sched_fixture_run(fixture, 1);
}

/* All calls that sent this start end without an answer. */
static void end_starts(sched_fixture_t *fixture,
		       const sched_fixture_order_t *order)
{
	for (guint i = 0; i < fixture->starts->len; i++) {
		sched_fixture_order_t sent =
			*sched_fixture_order(fixture->starts, i);

		if (strcmp(sent.task, order->task) == 0 &&
		    sent.run == order->run)
			sched_fixture_handle_start_result(fixture, &sent,
							  WWH_ORDER_UNKNOWN);
	}
}

/*
 * Guards against tasks that run again after they ended: an upstream that starts
 * again numbers its ends from 1, and they were taken for ends of before.
 */
void ends_after_a_restart_count(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;

	run_first_job(fixture);
	fixture->born_ms = SECOND_BORN_MS;
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 100);
	order = start_job(fixture, JOB_B);
	run_to_its_end(fixture, &order);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 300);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_B),
			 WWH_PROGRESS_COMPLETED);
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 1);
}

/*
 * Guards against ends that a restarted upstream forgets unreported: a poll with the
 * number that was acknowledged to its earlier incarnation covers them.
 */
void a_poll_after_a_failed_one_acknowledges_nothing(void **state)
{
	sched_fixture_t *fixture = *state;

	run_first_job(fixture);
	(void)sched_fixture_pop_poll(fixture, "u1");
	wwh_scheduler_handle_poll_failure(fixture->scheduler, "u1",
					  WWH_REACH_SILENT, fixture->now_ms);
	sched_fixture_run(fixture, 300);
	assert_int_equal(sched_fixture_newest_poll(fixture, "u1").acked_upto,
			 0);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 100);
	assert_int_equal(sched_fixture_newest_poll(fixture, "u1").acked_upto,
			 1);
}

/*
 * Guards against the same after a restart between two polls that both get an answer: a
 * run that no answer lists may have begun after the restart, and ended.
 */
void a_poll_acknowledges_nothing_while_a_run_may_end_unlisted(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	wwh_running_task_t row;

	run_first_job(fixture);
	order = start_job(fixture, JOB_B);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_run(fixture, 500);
	/* to the poll that was sent before the start */
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 100);
	assert_int_equal(sched_fixture_newest_poll(fixture, "u1").acked_upto,
			 0);
	row = sched_fixture_running_row(&order, 50);
	sched_fixture_answer_poll(fixture, "u1", &row, 1, NULL, 0);
	sched_fixture_run(fixture, 100);
	assert_int_equal(sched_fixture_newest_poll(fixture, "u1").acked_upto,
			 1);
}

/* Guards against the same if a repeated start of a listed run is on its way. */
void a_poll_acknowledges_nothing_while_a_start_is_repeated(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	wwh_running_task_t row;

	run_first_job(fixture);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	order = start_job(fixture, JOB_B);
	row = sched_fixture_running_row(&order, 0);
	sched_fixture_run(fixture, 200);
	sched_fixture_answer_poll(fixture, "u1", &row, 1, NULL, 0);
	sched_fixture_run(fixture, 100);
	assert_int_equal(sched_fixture_newest_poll(fixture, "u1").acked_upto,
			 0);
	end_starts(fixture, &order);
	sched_fixture_answer_poll(fixture, "u1", &row, 1, NULL, 0);
	sched_fixture_run(fixture, 100);
	assert_int_equal(sched_fixture_newest_poll(fixture, "u1").acked_upto,
			 1);
}

/* Guards against ends that stay unacknowledged at an upstream with many starts. */
void a_start_that_was_just_ordered_delays_no_acknowledgement(void **state)
{
	sched_fixture_t *fixture = *state;

	run_first_job(fixture);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	(void)start_job(fixture, JOB_B);
	sched_fixture_run(fixture, 60);
	assert_int_equal(sched_fixture_newest_poll(fixture, "u1").acked_upto,
			 1);
}

/* Guards against tasks that hang: their upstream lost them as it started again. */
void runs_before_a_restart_are_started_again(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	wwh_running_task_t row;

	run_first_job(fixture);
	order = start_job(fixture, JOB_B);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	row = sched_fixture_running_row(&order, 30);
	sched_fixture_run(fixture, 100);
	sched_fixture_answer_poll(fixture, "u1", &row, 1, NULL, 0);
	sched_fixture_run(fixture, 100);
	fixture->born_ms = SECOND_BORN_MS;
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	answer_empty_polls(fixture);
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 2);
}

/*
 * Guards against two runs at once: a start without an answer may reach the upstream
 * after it has started again, so it has to be refused there before the task runs
 * elsewhere.
 */
void an_unanswered_start_is_stopped_after_a_restart(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	sched_fixture_order_t *stop;

	run_first_job(fixture);
	order = start_job(fixture, JOB_B);
	sched_fixture_run(fixture, 100);
	fixture->born_ms = SECOND_BORN_MS;
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 100);
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 1);
	assert_true(fixture->stops->len > 0);
	stop = sched_fixture_order(fixture->stops, 0);
	assert_string_equal(stop->task, order.task);
	wwh_scheduler_handle_stop_result(fixture->scheduler, "u1", stop->task,
					 stop->run, WWH_ORDER_DONE,
					 fixture->now_ms);
	/* another restart forgets the stop while the start is on its way */
	answer_empty_polls(fixture);
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 1);
	end_starts(fixture, &order);
	answer_empty_polls(fixture);
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 2);
}

/*
 * Guards against two runs at once: a repeated start was accepted by the upstream
 * only after it had started again, so that run was not lost.
 */
void a_run_that_the_new_incarnation_lists_is_kept(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	wwh_running_task_t row;

	run_first_job(fixture);
	order = start_job(fixture, JOB_B);
	sched_fixture_run(fixture, 100);
	fixture->born_ms = SECOND_BORN_MS;
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	row = sched_fixture_running_row(&order, 0);
	sched_fixture_answer_poll(fixture, "u1", &row, 1, NULL, 0);
	sched_fixture_run(fixture, 300);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 300);
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 1);
	assert_int_equal(fixture->stops->len, 0);
}

/*
 * Guards against runs that are taken for lost: an answer of the earlier incarnation
 * that is read late tells nothing of the one that is up.
 */
void a_late_answer_of_an_earlier_incarnation_is_not_applied(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	wwh_running_task_t row;
	int64_t late_sent_ms;
	wwh_poll_answer_t late = { .remote_ms = 105000,
				   .born_ms = FIRST_BORN_MS,
				   .ended_complete = true };

	run_first_job(fixture);
	late_sent_ms = fixture->now_ms;
	fixture->born_ms = SECOND_BORN_MS;
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 100);
	order = start_job(fixture, JOB_B);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	row = sched_fixture_running_row(&order, 30);
	sched_fixture_run(fixture, 100);
	sched_fixture_answer_poll(fixture, "u1", &row, 1, NULL, 0);
	sched_fixture_run(fixture, 100);
	wwh_scheduler_handle_poll_answer(fixture->scheduler, "u1", &late,
					 late_sent_ms, fixture->now_ms);
	sched_fixture_run(fixture, 100);
	sched_fixture_answer_poll(fixture, "u1", &row, 1, NULL, 0);
	sched_fixture_run(fixture, 300);
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 1);
	assert_int_equal(fixture->stops->len, 0);
}
