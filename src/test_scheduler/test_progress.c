/* Long, slow and silent tasks are told apart from tasks that stand still. */

#include "test_scheduler.h"

#define SECOND_MS INT64_C(1000)
#define HOUR_MS (3600 * SECOND_MS)
#define DAY_MS (24 * HOUR_MS)
#define POLL_MS 1000
#define LIMIT_MIN_MS 1600
/* "A few times": of what one percent takes, on an upstream five times slower. */
#define HANG_FOUND_FACTOR 12

typedef struct {
	int64_t estimate_ms;
	int64_t duration_ms;
	bool reports; /* percent; else 0 until its end */
	bool has_checkpoint; /* the run continues from half of the work */
	bool changes_holder; /* in its middle */
} progress_case_t;

static sched_fixture_order_t start_task(sched_fixture_t *fixture,
					const progress_case_t *row)
{
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, 1000);
	sched_fixture_order_t order;

	job->steps[0].estimate_ms = row->estimate_ms;
	sched_fixture_submit(fixture, job);
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	return order;
}

/* Stops the first run with a checkpoint, and returns the order of the second. */
static sched_fixture_order_t
restart_from_checkpoint(sched_fixture_t *fixture, sched_fixture_order_t order)
{
	wwh_ended_task_t ended =
		sched_fixture_ended_row(&order, 1, WWH_END_LAPSED);

	ended.checkpoint = "half";
	sched_fixture_run(fixture, 300);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 300);
	order = *sched_fixture_order(fixture->starts, fixture->starts->len - 1);
	assert_string_equal(order.checkpoint, "half");
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	return order;
}

static void answer_at_percent(sched_fixture_t *fixture,
			      const sched_fixture_order_t *order,
			      int32_t percent)
{
	wwh_running_task_t row = sched_fixture_running_row(order, percent);

	sched_fixture_run(fixture, POLL_MS);
	sched_fixture_answer_poll(fixture, "u1", &row, 1, NULL, 0);
}

static void take_over(sched_fixture_t *fixture)
{
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
}

static void run_to_its_end(sched_fixture_t *fixture, const progress_case_t *row)
{
	sched_fixture_order_t order = start_task(fixture, row);
	int32_t base = row->has_checkpoint ? 50 : 0;
	bool changes_holder = row->changes_holder;

	if (row->has_checkpoint)
		order = restart_from_checkpoint(fixture, order);
	for (int64_t done_ms = 0; done_ms < row->duration_ms;
	     done_ms += POLL_MS) {
		int64_t percent =
			base + done_ms * (100 - base) / row->duration_ms;

		if (changes_holder && done_ms > row->duration_ms / 2) {
			take_over(fixture);
			changes_holder = false;
		}
		answer_at_percent(fixture, &order,
				  row->reports ? (int32_t)percent : 0);
		if (fixture->stops->len > 0)
			fail_msg("a sound task of %" G_GINT64_FORMAT
				 " ms is stopped after %" G_GINT64_FORMAT,
				 row->duration_ms, done_ms);
	}
}

/*
 * Guards against tasks that are never done: whole percents of a long task stay the
 * same for seconds, and it was stopped as hung and started again for good.
 */
void long_tasks_are_not_taken_for_hung(void **state)
{
	static const progress_case_t cases[] = {
		{ SECOND_MS, SECOND_MS, true, false, false },
		{ SECOND_MS, 5 * SECOND_MS, true, false, false },
		{ 400 * SECOND_MS, 400 * SECOND_MS, true, false, false },
		{ 400 * SECOND_MS, 2000 * SECOND_MS, true, false, false },
		{ 400 * SECOND_MS, 400 * SECOND_MS, false, false, false },
		{ 400 * SECOND_MS, 2000 * SECOND_MS, false, false, false },
		{ 400 * SECOND_MS, 400 * SECOND_MS, true, true, false },
		{ 400 * SECOND_MS, 400 * SECOND_MS, true, false, true },
		{ 400 * SECOND_MS, 400 * SECOND_MS, false, false, true },
		{ HOUR_MS, HOUR_MS, true, false, false },
		{ HOUR_MS, 5 * HOUR_MS, true, false, true },
		{ HOUR_MS, HOUR_MS, false, true, false },
		{ DAY_MS, DAY_MS, true, false, true },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sched_fixture_t *fixture = sched_fixture_new();

		sched_fixture_add_upstream(fixture, "u1", ENDPOINT_1);
		run_to_its_end(fixture, &cases[i]);
		sched_fixture_delete(fixture);
	}
}

/* Guards against long tasks that stand still for as long as they should take. */
void a_long_task_that_stands_still_is_found(void **state)
{
	static const int64_t durations_ms[] = { 10 * SECOND_MS, 400 * SECOND_MS,
						HOUR_MS, DAY_MS };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(durations_ms); i++) {
		const progress_case_t row = { .estimate_ms = durations_ms[i],
					      .duration_ms = durations_ms[i],
					      .reports = true };
		int64_t found_max_ms = LIMIT_MIN_MS + durations_ms[i] / 100 *
							      HANG_FOUND_FACTOR;
		sched_fixture_t *fixture = sched_fixture_new();
		sched_fixture_order_t order;
		int64_t stood_ms = 0;

		sched_fixture_add_upstream(fixture, "u1", ENDPOINT_1);
		order = start_task(fixture, &row);
		for (int64_t done_ms = 0; done_ms < durations_ms[i] / 10;
		     done_ms += POLL_MS)
			answer_at_percent(
				fixture, &order,
				(int32_t)(done_ms * 100 / durations_ms[i]));
		assert_int_equal(fixture->stops->len, 0);
		while (fixture->stops->len == 0 &&
		       stood_ms <= found_max_ms + POLL_MS) {
			answer_at_percent(fixture, &order, 10);
			stood_ms += POLL_MS;
		}
		assert_true(fixture->stops->len > 0);
		assert_true(stood_ms >= LIMIT_MIN_MS);
		sched_fixture_delete(fixture);
	}
}

/*
 * Guards against a task without progress that blocks its step for six times its
 * estimate: its siblings have shown that runs of its queue report progress.
 */
void a_task_without_progress_is_found_by_its_siblings(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 2, 1000);
	wwh_running_task_t rows[2];
	int64_t stood_ms = 0;

	job->steps[0].estimate_ms = 400 * SECOND_MS;
	sched_fixture_submit(fixture, job);
	for (guint i = 0; i < 2; i++) {
		const sched_fixture_order_t *order =
			sched_fixture_order(fixture->starts, i);

		sched_fixture_handle_start_result(fixture, order,
						  WWH_ORDER_DONE);
		rows[i] = sched_fixture_running_row(order, 0);
	}
	while (fixture->stops->len == 0 && stood_ms < 400 * SECOND_MS) {
		rows[0].percent = (int32_t)(stood_ms / (4 * SECOND_MS));
		sched_fixture_run(fixture, POLL_MS);
		sched_fixture_answer_poll(fixture, "u1", rows, 2, NULL, 0);
		stood_ms += POLL_MS;
	}
	assert_int_equal(fixture->stops->len, 1);
	assert_string_equal(sched_fixture_order(fixture->stops, 0)->task,
			    rows[1].task);
	assert_true(stood_ms <= 4 * SECOND_MS * HANG_FOUND_FACTOR);
}

/*
 * Guards against a task that is stopped for good where the estimate is far too low:
 * each time that it seems to stand still, it gets twice as long.
 */
void a_task_with_a_wrong_estimate_ends(void **state)
{
	const int64_t duration_ms = 400 * SECOND_MS;
	sched_fixture_t *fixture = *state;
	const progress_case_t row = { .estimate_ms = 10 };
	sched_fixture_order_t order = start_task(fixture, &row);
	int64_t done_ms = 0;
	int64_t ends = 0;

	for (int32_t i = 0; i < 1000 && done_ms < duration_ms; i++) {
		wwh_ended_task_t ended;

		answer_at_percent(fixture, &order, 0);
		done_ms += POLL_MS;
		if (fixture->stops->len == 0)
			continue;
		ended = sched_fixture_ended_row(&order, ++ends,
						WWH_END_STOPPED);
		g_array_set_size(fixture->stops, 0);
		g_array_set_size(fixture->starts, 0);
		sched_fixture_run(fixture, 500);
		sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
		sched_fixture_make_durable(fixture);
		for (int32_t k = 0; k < 20 && fixture->starts->len == 0; k++) {
			sched_fixture_run(fixture, 400);
			sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL,
						  0);
		}
		order = *sched_fixture_order(fixture->starts, 0);
		sched_fixture_handle_start_result(fixture, &order,
						  WWH_ORDER_DONE);
		done_ms = 0;
	}
	assert_true(done_ms >= duration_ms);
}
