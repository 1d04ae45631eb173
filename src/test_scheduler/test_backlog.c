/*
 * A backlog that the holder starts pass by pass: more tasks are ready, and fit on
 * upstreams, than one pass may start.
 */

#include "test_scheduler.h"

#define BACKLOG_JOBS 60
#define TASKS_PER_JOB 4
#define BACKLOG_TASKS (BACKLOG_JOBS * TASKS_PER_JOB)
#define SMALL_MILLICORES 10
#define SMALL_MEMORY_MB 10
#define STARTS_PER_PASS 64
#define OTHER_POOL "lounge"

/* Submits jobs that become durable together, as after a slow append. */
static void submit_backlog(sched_fixture_t *fixture)
{
	for (int32_t i = 0; i < BACKLOG_JOBS; i++) {
		char id[WWH_JOB_ID_CHARS + 1];
		wwh_job_t *job;
		int64_t record;

		snprintf(id, sizeof(id), "%016x", i + 1);
		job = sched_fixture_job(id, TASKS_PER_JOB, SMALL_MILLICORES);
		job->steps[0].need.memory_mb = SMALL_MEMORY_MB;
		(void)wwh_scheduler_submit(fixture->scheduler, job,
					   fixture->now_ms, &record);
	}
	sched_fixture_make_durable(fixture);
}

static guint count_starts(const sched_fixture_t *fixture, const char *id)
{
	guint count = 0;

	for (guint i = 0; i < fixture->starts->len; i++)
		count += g_str_has_prefix(
			g_array_index(fixture->starts, sched_fixture_order_t, i)
				.task,
			id);
	return count;
}

/*
 * Guards against a pass over a long backlog that takes seconds, in which leases run
 * out and a healthy holder is replaced as silent.
 */
void a_pass_starts_a_limited_number_of_tasks(void **state)
{
	sched_fixture_t *fixture = *state;
	guint before = 0;

	submit_backlog(fixture);
	while (before < BACKLOG_TASKS) {
		sched_fixture_run(fixture, 5);
		assert_true(fixture->starts->len > before);
		assert_true(fixture->starts->len - before <= STARTS_PER_PASS);
		assert_int_equal(wwh_scheduler_backlog(fixture->scheduler,
						       SCHED_FIXTURE_POOL,
						       NULL),
				 BACKLOG_TASKS - fixture->starts->len);
		before = fixture->starts->len;
	}
}

/* Guards against lasting tasks that wait behind a backlog of other tasks. */
void lasting_tasks_go_before_a_backlog(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, SMALL_MILLICORES);
	int64_t record;

	submit_backlog(fixture);
	job->steps[0].lasting = true;
	(void)wwh_scheduler_submit(fixture->scheduler, job, fixture->now_ms,
				   &record);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 5);
	assert_int_equal(count_starts(fixture, JOB_A), 1);
}

/* Guards against a pool whose backlog takes all starts of a pass. */
void pools_share_the_starts_of_a_pass(void **state)
{
	sched_fixture_t *fixture = *state;
	char *labels[] = { NULL };
	wwh_upstream_info_t info = {
		.id = (char *)"l1",
		.endpoint = (char *)"10.0.1.1:1",
		.pool = (char *)OTHER_POOL,
		.zone = (char *)"hall-a",
		.rack = (char *)"r1-1",
		.labels = labels,
		.size = { 8000, 16000, 2 },
	};
	wwh_job_t *job = sched_fixture_job(JOB_B, 1, SMALL_MILLICORES);
	int64_t record;

	wwh_scheduler_upstream_announced(fixture->scheduler, &info,
					 fixture->now_ms);
	sched_fixture_run(fixture, 1);
	sched_fixture_answer_poll(fixture, "l1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 1);
	sched_fixture_make_durable(fixture);
	submit_backlog(fixture);
	g_free(job->queue.pool);
	job->queue.pool = g_strdup(OTHER_POOL);
	(void)wwh_scheduler_submit(fixture->scheduler, job, fixture->now_ms,
				   &record);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 5);
	assert_int_equal(count_starts(fixture, JOB_B), 1);
	assert_true(wwh_scheduler_backlog(fixture->scheduler,
					  SCHED_FIXTURE_POOL, NULL) > 0);
	assert_int_equal(
		wwh_scheduler_backlog(fixture->scheduler, OTHER_POOL, NULL), 0);
}

/*
 * Guards against jobs that are accepted by a holder whose recovery takes long: the
 * remaining time is estimated from the upstreams that have answered.
 */
void recovery_time_is_estimated_from_the_answered_upstreams(void **state)
{
	sched_fixture_t *fixture = *state;

	assert_int_equal(
		wwh_scheduler_recovery_ms(fixture->scheduler, fixture->now_ms),
		0);
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_announce(fixture, "u2", ENDPOINT_2, false);
	sched_fixture_announce(fixture, "u3", ENDPOINT_3, false);
	sched_fixture_run(fixture, 100);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	assert_int_equal(
		wwh_scheduler_recovery_ms(fixture->scheduler, fixture->now_ms),
		200);
	sched_fixture_answer_poll(fixture, "u2", NULL, 0, NULL, 0);
	assert_int_equal(
		wwh_scheduler_recovery_ms(fixture->scheduler, fixture->now_ms),
		50);
	sched_fixture_answer_poll(fixture, "u3", NULL, 0, NULL, 0);
	assert_int_equal(
		wwh_scheduler_recovery_ms(fixture->scheduler, fixture->now_ms),
		0);
}

/*
 * Guards against a thin link that is filled with starts, which reach their upstreams
 * when their jobs are late.
 */
void unanswered_starts_are_limited(void **state)
{
	sched_fixture_t *fixture = *state;

	fixture->options.max_unanswered_starts = 5;
	sched_fixture_take_over(fixture);
	sched_fixture_add_upstream(fixture, "u1", "10.0.0.1:1");
	sched_fixture_submit(fixture,
			     sched_fixture_job("00000000000000a1", 20, 100));
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 5);
	assert_true(wwh_scheduler_is_behind(fixture->scheduler));
	for (guint i = 0; i < 3; i++)
		sched_fixture_handle_start_result(
			fixture, sched_fixture_order(fixture->starts, i),
			WWH_ORDER_DONE);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 8);
	for (guint i = 3; i < 8; i++)
		sched_fixture_handle_start_result(
			fixture, sched_fixture_order(fixture->starts, i),
			WWH_ORDER_DONE);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 13);
}
