/*
 * A workspace that sends many times its usual, more than its pool can run.
 */

#include "test_scheduler.h"

#define BUSY "busy"
#define USUAL "usual"
#define USUAL_WEIGHT 1
#define BUSY_WEIGHT 1

/* Tasks that fill the pool of three upstreams, of 8 cores each. */
#define POOL_TASKS 24

static void set_weights(sched_fixture_t *fixture)
{
	wwh_load_t unlimited = { 0 };

	wwh_scheduler_limit_workspace(fixture->scheduler, BUSY, &unlimited,
				      BUSY_WEIGHT);
	wwh_scheduler_limit_workspace(fixture->scheduler, USUAL, &unlimited,
				      USUAL_WEIGHT);
}

static void submit(sched_fixture_t *fixture, const char *id,
		   const char *workspace, int32_t tasks)
{
	wwh_job_t *job = sched_fixture_job(id, tasks, 1000);
	int64_t record;

	job->workspace = g_strdup(workspace);
	(void)wwh_scheduler_submit(fixture->scheduler, job, fixture->now_ms,
				   &record);
}

/*
 * Guards against one busy workspace whose jobs, due earlier, take a pool that is
 * full: the other's start first up to its share.
 */
void a_busy_workspace_leaves_the_others_their_share(void **state)
{
	sched_fixture_t *fixture = *state;

	set_weights(fixture);
	submit(fixture, JOB_A, BUSY, 4 * POOL_TASKS);
	fixture->now_ms += 500;
	submit(fixture, JOB_B, USUAL, POOL_TASKS / 4);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 1);
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B),
			 POOL_TASKS / 4);
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_A),
			 POOL_TASKS - POOL_TASKS / 4);
}

/* Guards against room that stays empty as its workspace has no work. */
void idle_room_goes_to_a_busy_workspace(void **state)
{
	sched_fixture_t *fixture = *state;

	set_weights(fixture);
	submit(fixture, JOB_A, BUSY, 4 * POOL_TASKS);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 1);
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_A), POOL_TASKS);
}

/* Guards against shares that a new holder doesn't know. */
void shares_hold_after_a_change_of_holder(void **state)
{
	sched_fixture_t *fixture = *state;

	submit(fixture, JOB_A, BUSY, 4 * POOL_TASKS);
	submit(fixture, JOB_B, USUAL, POOL_TASKS / 4);
	sched_fixture_make_durable(fixture);
	sched_fixture_take_over(fixture);
	set_weights(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_announce(fixture, "u2", ENDPOINT_2, false);
	sched_fixture_announce(fixture, "u3", ENDPOINT_3, false);
	sched_fixture_run(fixture, 1);
	answer_all_but(fixture, "");
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 1);
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B),
			 POOL_TASKS / 4);
}

/* Guards against callers that are rejected for another workspace's backlog. */
void a_backlog_counts_for_the_workspace_that_sent_it(void **state)
{
	sched_fixture_t *fixture = *state;

	set_weights(fixture);
	for (int32_t i = 0; i < 40; i++) {
		char id[WWH_JOB_ID_CHARS + 1];
		wwh_job_t *job;
		int64_t record;

		snprintf(id, sizeof(id), "%016x", i + 1);
		job = sched_fixture_job(id, 10, 10);
		job->workspace = g_strdup(i % 20 == 0 ? USUAL : BUSY);
		(void)wwh_scheduler_submit(fixture->scheduler, job,
					   fixture->now_ms, &record);
	}
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 1);
	assert_in_range(wwh_scheduler_backlog(fixture->scheduler,
					      SCHED_FIXTURE_POOL, BUSY),
			200, 400);
	assert_in_range(wwh_scheduler_backlog(fixture->scheduler,
					      SCHED_FIXTURE_POOL, USUAL),
			0, 50);
}
