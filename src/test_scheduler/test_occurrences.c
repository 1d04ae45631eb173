#include "test_scheduler.h"

/* A job of two tasks that runs three times, 2 s, 12 s and 22 s from now. */
static wwh_job_t *timed_job(void)
{
	wwh_job_t *job = sched_fixture_job(JOB_A, 2, 1000);

	job->repeat_count = 3;
	job->first_wall_ms = SCHED_FIXTURE_WALL_MS + 2000;
	job->interval_ms = 10000;
	return job;
}

/* Starts both tasks of the first occurrence on u1, and returns their rows. */
static void start_first_occurrence(sched_fixture_t *fixture,
				   wwh_running_task_t rows[2])
{
	sched_fixture_submit(fixture, timed_job());
	sched_fixture_run(fixture, 2100);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 2);
	for (guint i = 0; i < 2; i++) {
		const sched_fixture_order_t *order =
			sched_fixture_order(fixture->starts, i);

		sched_fixture_handle_start_result(fixture, order,
						  WWH_ORDER_DONE);
		rows[i] = sched_fixture_running_row(order, 30);
	}
}

/*
 * Guards against tasks of a job at set times that are started again while they run,
 * after a change of holder: no record says that their occurrence was opened.
 */
void a_new_holder_adopts_tasks_of_an_open_occurrence(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_running_task_t rows[2];

	start_first_occurrence(fixture, rows);
	sched_fixture_take_over(fixture);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	sched_fixture_run(fixture, 300);
	assert_int_equal(fixture->starts->len, 2);
	sched_fixture_answer_poll(fixture, "u1", rows, 2, NULL, 0);
	sched_fixture_run(fixture, 300);
	assert_int_equal(fixture->starts->len, 2);
	assert_int_equal(fixture->stops->len, 0);
	assert_int_equal(
		wwh_scheduler_counts(fixture->scheduler).tasks_outstanding, 2);
}

/*
 * Guards against an end that is acknowledged without effect, since the occurrence
 * of its task isn't due yet by the new holder's clock: the task would run again.
 */
void an_end_of_an_occurrence_that_is_not_due_counts(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_running_task_t rows[2];
	wwh_ended_task_t ended;

	start_first_occurrence(fixture, rows);
	ended = sched_fixture_ended_row(sched_fixture_order(fixture->starts, 0),
					1, WWH_END_DONE);
	fixture->now_ms -= 500;
	sched_fixture_take_over(fixture);
	sched_fixture_run(fixture, 1);
	sched_fixture_answer_poll(fixture, "u1", &rows[1], 1, &ended, 1);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 1000);
	sched_fixture_answer_poll(fixture, "u1", &rows[1], 1, NULL, 0);
	sched_fixture_run(fixture, 300);
	assert_int_equal(fixture->starts->len, 2);
	assert_int_equal(fixture->stops->len, 0);
	/* the next holder reads the end in the record of the job's progress */
	sched_fixture_take_over(fixture);
	sched_fixture_run(fixture, 1);
	sched_fixture_answer_poll(fixture, "u1", &rows[1], 1, NULL, 0);
	sched_fixture_run(fixture, 300);
	assert_int_equal(fixture->starts->len, 2);
}

/* Runs the next occurrence of one task to its end, which is acknowledged. */
static void run_next_occurrence(sched_fixture_t *fixture, int64_t number)
{
	sched_fixture_order_t order;
	wwh_ended_task_t ended;

	for (int32_t i = 0; fixture->starts->len == 0 && i < 100; i++)
		sched_fixture_run(fixture, 10);
	order = *sched_fixture_order(fixture->starts, 0);
	g_array_remove_index(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	ended = sched_fixture_ended_row(&order, number, WWH_END_DONE);
	sched_fixture_run(fixture, 300);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	sched_fixture_make_durable(fixture);
	g_string_truncate(fixture->events, 0);
}

/*
 * Guards against a record that grows with each occurrence until the store rejects
 * it, after which nothing of the shard becomes durable.
 */
void the_record_of_many_occurrences_stays_small(void **state)
{
	const int64_t occurrences = 100000;
	const int64_t per_holder = 20000;
	const gsize size_max = 200;
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, 1000);
	int64_t ends = 0;

	job->repeat_count = occurrences;
	job->first_wall_ms = SCHED_FIXTURE_WALL_MS;
	job->interval_ms = 500;
	sched_fixture_submit(fixture, job);
	for (int64_t i = 0; i < occurrences; i++) {
		GBytes *record;

		if (i > 0 && i % per_holder == 0) {
			sched_fixture_take_over(fixture);
			sched_fixture_announce(fixture, "u1", ENDPOINT_1,
					       false);
			sched_fixture_run(fixture, 1);
			sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL,
						  0);
		}
		run_next_occurrence(fixture, ++ends);
		record = g_hash_table_lookup(fixture->records, "P" JOB_A);
		assert_non_null(record);
		assert_true(g_bytes_get_size(record) < size_max);
	}
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

/*
 * Guards against starts before an occurrence's time: a run that an upstream lists
 * shows that the previous holder has opened it, not that it is due.
 */
void a_listed_occurrence_waits_for_its_time(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_running_task_t rows[2];

	start_first_occurrence(fixture, rows);
	fixture->now_ms -= 500;
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_run(fixture, 1);
	sched_fixture_answer_poll(fixture, "u1", rows, 1, NULL, 0);
	sched_fixture_run(fixture, 300);
	assert_int_equal(fixture->starts->len, 2);
	sched_fixture_run(fixture, 300);
	sched_fixture_answer_poll(fixture, "u1", rows, 1, NULL, 0);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 3);
	assert_string_equal(sched_fixture_order(fixture->starts, 2)->task,
			    rows[1].task);
}
