#include "test_scheduler.h"

#define BACKLOG_STEPS 20
#define MORE_FAILURES_EACH 9

/* Between two polls at an upstream with tasks, and more. */
#define POLL_GAP_MS 300

/* As many times as a schedule of two days with one each minute. */
#define BACKLOG_DUE 2880
#define MINUTE_MS 60000

/* A schedule of three days, two of which are over, with a chain of short steps. */
static wwh_job_t *overdue_job(int32_t steps)
{
	wwh_job_t *job = wwh_job_new(steps);

	g_strlcpy(job->id, JOB_A, sizeof(job->id));
	job->queue.name = g_strdup(SCHED_FIXTURE_QUEUE);
	job->queue.pool = g_strdup(SCHED_FIXTURE_POOL);
	job->queue.max_attempts = 3;
	job->queue.stretch_permille = 1600;
	job->queue.latency_ms = 600;
	job->payload = g_strdup("text");
	job->repeat_count = BACKLOG_DUE * 3 / 2;
	job->interval_ms = MINUTE_MS;
	job->first_wall_ms =
		SCHED_FIXTURE_WALL_MS + 500 - (int64_t)BACKLOG_DUE * MINUTE_MS;
	for (int32_t i = 0; i < steps; i++) {
		job->steps[i].task_count = 1;
		job->steps[i].need.cpu_millicores = 10;
		job->steps[i].estimate_ms = 200;
		if (i == 0)
			continue;
		job->steps[i].after = g_new0(int32_t, 1);
		job->steps[i].after[0] = i - 1;
		job->steps[i].after_count = 1;
	}
	return job;
}

/* Runs that were ordered, and how often each task ended as done. */
typedef struct {
	sched_fixture_t *fixture;
	GHashTable *done; /* names of tasks */
	GHashTable *failed; /* name of a task to its number of failed runs */
	int32_t failures; /* of each task; one in some has one more */
	guint next; /* the first start that has no end yet */
	int64_t ends; /* numbers at u1 */
	gsize largest; /* record of the progress */
} backlog_t;

static void check_record(backlog_t *backlog)
{
	GBytes *record =
		g_hash_table_lookup(backlog->fixture->records, "P" JOB_A);

	if (record != NULL)
		backlog->largest =
			MAX(backlog->largest, g_bytes_get_size(record));
}

/* Whether this run of its task fails: as often as its name says, and no more. */
static bool next_run_fails(backlog_t *backlog, const char *task)
{
	int32_t failed =
		GPOINTER_TO_INT(g_hash_table_lookup(backlog->failed, task));
	int32_t wanted = backlog->failures +
			 (g_str_hash(task) % MORE_FAILURES_EACH == 0);

	if (failed >= wanted)
		return false;
	g_hash_table_insert(backlog->failed, g_strdup(task),
			    GINT_TO_POINTER(failed + 1));
	return true;
}

/* Ends all runs that were ordered. */
static void end_runs(backlog_t *backlog)
{
	sched_fixture_t *fixture = backlog->fixture;
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(wwh_ended_task_t));

	for (; backlog->next < fixture->starts->len; backlog->next++) {
		const sched_fixture_order_t *order =
			sched_fixture_order(fixture->starts, backlog->next);
		bool fails = next_run_fails(backlog, order->task);
		wwh_ended_task_t row = sched_fixture_ended_row(
			order, ++backlog->ends,
			fails ? WWH_END_FAILED : WWH_END_DONE);

		wwh_scheduler_handle_start_result(
			fixture->scheduler, order->upstream, order->task,
			order->run, WWH_ORDER_DONE, fixture->now_ms);
		if (!fails)
			assert_true(g_hash_table_add(backlog->done,
						     g_strdup(row.task)));
		g_array_append_val(rows, row);
	}
	if (fixture->polls->len > 0)
		sched_fixture_answer_poll(
			fixture, "u1", NULL, 0,
			(const wwh_ended_task_t *)(const void *)rows->data,
			(int32_t)rows->len);
	g_array_free(rows, TRUE);
	check_record(backlog);
	sched_fixture_make_durable(fixture);
	check_record(backlog);
	g_string_truncate(fixture->events, 0);
}

static backlog_t backlog_new(sched_fixture_t *fixture, wwh_job_t *job)
{
	backlog_t backlog = {
		.fixture = fixture,
		.done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      NULL),
		.failed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL),
	};

	sched_fixture_submit(fixture, job);
	return backlog;
}

static void backlog_clear(backlog_t *backlog)
{
	g_hash_table_destroy(backlog->done);
	g_hash_table_destroy(backlog->failed);
}

/*
 * Guards against a record of a schedule's progress that the store rejects, as
 * thousands of its times are due: nothing after it in the journal becomes durable.
 */
void the_record_of_a_backlog_stays_small(void **state)
{
	sched_fixture_t *fixture = *state;
	backlog_t backlog = backlog_new(fixture, overdue_job(BACKLOG_STEPS));

	for (int32_t i = 0; i < 400; i++) {
		sched_fixture_run(fixture, POLL_GAP_MS);
		end_runs(&backlog);
	}
	assert_true(g_hash_table_size(backlog.done) > 1000);
	assert_in_range(backlog.largest, 1,
			fixture->options.record_max_bytes / 2);
	backlog_clear(&backlog);
}

/*
 * Guards against times of a schedule that are forgotten or run twice, as they were
 * passed over: each one runs once, also if the holder changes again and again.
 */
void each_time_of_a_backlog_runs_once(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = overdue_job(2);
	backlog_t backlog;

	job->repeat_count = BACKLOG_DUE + 1;
	backlog = backlog_new(fixture, job);
	for (int32_t i = 0;
	     i < 4000 && wwh_scheduler_job_state(fixture->scheduler, JOB_A) !=
				 WWH_PROGRESS_COMPLETED;
	     i++) {
		if (i % 100 == 50) {
			sched_fixture_take_over(fixture);
			sched_fixture_announce(fixture, "u1", ENDPOINT_1,
					       false);
			sched_fixture_run(fixture, 1);
			sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL,
						  0);
		}
		sched_fixture_run(fixture, POLL_GAP_MS);
		end_runs(&backlog);
	}
	assert_int_equal(g_hash_table_size(backlog.done),
			 2 * (BACKLOG_DUE + 1));
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
	backlog_clear(&backlog);
}

/*
 * Guards against a time of a schedule that waits behind all those that are overdue
 * since long, and against those that are never run for it.
 */
void a_time_that_is_due_now_goes_before_a_backlog(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = overdue_job(1);
	char newest[WWH_TASK_NAME_BYTES];
	bool started = false;

	/* the pool has room for one run at a time */
	job->steps[0].need.cpu_millicores = 8000;
	sched_fixture_submit(fixture, job);
	g_snprintf(newest, sizeof(newest), JOB_A ".%d.0.0", BACKLOG_DUE);
	for (int32_t i = 0; i < 80; i++) {
		sched_fixture_order_t order;
		wwh_ended_task_t ended;

		sched_fixture_run(fixture, POLL_GAP_MS);
		if (fixture->starts->len == 0)
			continue;
		order = *sched_fixture_order(fixture->starts, 0);
		g_array_set_size(fixture->starts, 0);
		started = started || strcmp(order.task, newest) == 0;
		ended = sched_fixture_ended_row(&order, i + 1, WWH_END_DONE);
		sched_fixture_handle_start_result(fixture, &order,
						  WWH_ORDER_DONE);
		sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
		sched_fixture_make_durable(fixture);
	}
	assert_true(started);
}

/*
 * Guards against occurrences that stand behind those of which a task waits for a
 * retry, as only so many are opened at a time.
 */
void tasks_that_wait_for_a_retry_hold_up_no_occurrence(void **state)
{
	const int32_t rounds = 40;
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = overdue_job(1);

	job->first_wall_ms = SCHED_FIXTURE_WALL_MS;
	job->interval_ms = 0;
	job->steps[0].task_count = 50;
	job->steps[0].need.cpu_millicores = 1;
	sched_fixture_submit(fixture, job);
	for (int32_t i = 0; i < rounds; i++) {
		sched_fixture_run(fixture, 1);
		for (guint k = 0; k < fixture->starts->len; k++)
			sched_fixture_handle_start_result(
				fixture,
				sched_fixture_order(fixture->starts, k),
				WWH_ORDER_BAD);
		/* none is refused again before its retry is due */
		if (i < rounds - 1)
			g_array_set_size(fixture->starts, 0);
	}
	assert_true(fixture->starts->len > 0);
}

/* Lists all runs that were ordered and haven't ended as running. */
static void list_runs(backlog_t *backlog)
{
	sched_fixture_t *fixture = backlog->fixture;
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(wwh_running_task_t));

	for (guint i = backlog->next; i < fixture->starts->len; i++) {
		wwh_running_task_t row = sched_fixture_running_row(
			sched_fixture_order(fixture->starts, i), 1);

		g_array_append_val(rows, row);
	}
	if (fixture->polls->len > 0)
		sched_fixture_answer_poll(
			fixture, "u1",
			(const wwh_running_task_t *)(const void *)rows->data,
			(int32_t)rows->len, NULL, 0);
	g_array_free(rows, TRUE);
}

/*
 * Guards against a record that outgrows the store's bound as thousands of tasks of a
 * job fail as often as they may.
 */
void the_record_of_a_wide_job_with_failures_fits(void **state)
{
	const int32_t tasks = 1000;
	const int32_t failures = 2;
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, tasks, 1);
	backlog_t backlog;

	job->steps[0].need.memory_mb = 1;
	/* as many bytes a task as 10,000 tasks have in a record of full size */
	fixture->options.record_max_bytes = tasks * 26;
	sched_fixture_take_over(fixture);
	sched_fixture_add_upstream(fixture, "u1", ENDPOINT_1);
	assert_true(wwh_scheduler_job_fits(fixture->scheduler, job));
	backlog = backlog_new(fixture, job);
	backlog.failures = failures;
	for (int32_t i = 0; i < failures; i++) {
		guint first = backlog.next;

		for (int32_t k = 0;
		     k < 400 && fixture->starts->len < first + (guint)tasks;
		     k++) {
			sched_fixture_run(fixture, POLL_GAP_MS);
			list_runs(&backlog);
		}
		assert_int_equal(fixture->starts->len, first + (guint)tasks);
		sched_fixture_run(fixture, POLL_GAP_MS);
		end_runs(&backlog);
	}
	assert_in_range(backlog.largest, tasks * 10,
			fixture->options.record_max_bytes);
	backlog_clear(&backlog);
}

/*
 * Guards against a job that is accepted although its record or that of its progress
 * can be larger than the store takes.
 */
void a_job_whose_records_may_not_fit_is_known(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, WWH_JOB_MAX_TASKS, 1);

	assert_true(wwh_scheduler_job_fits(fixture->scheduler, job));
	job->queue.max_attempts = 50;
	assert_false(wwh_scheduler_job_fits(fixture->scheduler, job));
	job->queue.max_attempts = 3;
	g_free(job->payload);
	job->payload =
		g_strnfill((gsize)fixture->options.record_max_bytes, 'x');
	assert_false(wwh_scheduler_job_fits(fixture->scheduler, job));
	wwh_job_delete(job);
}

/*
 * Guards against a job whose progress the store rejects for good, and whose ends are
 * acknowledged all the same: the next holder would run its tasks again.
 */
void a_job_whose_progress_is_rejected_ends(void **state)
{
	sched_fixture_t *fixture = *state;
	backlog_t backlog =
		backlog_new(fixture, sched_fixture_job(JOB_A, 2, 1000));
	wwh_ended_task_t ended;
	int64_t rejected;

	sched_fixture_run(fixture, 10);
	ended = sched_fixture_ended_row(sched_fixture_order(fixture->starts, 0),
					1, WWH_END_DONE);
	sched_fixture_run(fixture, 300);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	rejected = wwh_scheduler_flush(fixture->scheduler, fixture->now_ms);
	wwh_scheduler_record_rejected(fixture->scheduler,
				      WWH_SCHEDULER_RECORD_PROGRESS, JOB_A,
				      fixture->now_ms);
	/* a later record of something else is durable, the job's end isn't yet */
	wwh_scheduler_set_durable(fixture->scheduler, rejected);
	sched_fixture_run(fixture, 1100);
	assert_int_equal(sched_fixture_newest_poll(fixture, "u1").acked_upto,
			 0);
	assert_int_not_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			     WWH_PROGRESS_FAILED);
	sched_fixture_make_durable(fixture);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_FAILED);
	backlog_clear(&backlog);
}
