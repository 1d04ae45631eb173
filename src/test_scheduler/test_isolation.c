#include "test_scheduler.h"

#define STEP_MS 50

/* Suspect tasks are held back for at most 2 s, and a start takes some passes. */
#define START_LIMIT_MS 3000

/* Lists all runs that were started at the upstreams of this test as running. */
static void answer_polls(sched_fixture_t *fixture)
{
	static const char *const ids[] = { "u1", "u2", "u3", "u4" };

	for (size_t n = 0; n < G_N_ELEMENTS(ids); n++) {
		wwh_running_task_t rows[64];
		int32_t count = 0;
		bool polled = false;

		for (guint i = 0; i < fixture->polls->len; i++)
			polled |= strcmp(g_array_index(fixture->polls,
						       sched_fixture_poll_t, i)
						 .upstream,
					 ids[n]) == 0;
		for (guint i = 0; i < fixture->starts->len; i++) {
			const sched_fixture_order_t *order =
				sched_fixture_order(fixture->starts, i);

			if (strcmp(order->upstream, ids[n]) == 0)
				rows[count++] =
					sched_fixture_running_row(order, 100);
		}
		if (polled)
			sched_fixture_answer_poll(fixture, ids[n], rows, count,
						  NULL, 0);
	}
}

static void run_for(sched_fixture_t *fixture, int64_t run_ms)
{
	guint answered = 0;

	for (int64_t i = 0; i < run_ms / STEP_MS; i++) {
		sched_fixture_run(fixture, STEP_MS);
		for (; answered < fixture->starts->len; answered++)
			sched_fixture_handle_start_result(
				fixture,
				sched_fixture_order(fixture->starts, answered),
				WWH_ORDER_DONE);
		answer_polls(fixture);
		sched_fixture_make_durable(fixture);
	}
}

/* The upstream crashes and is gone; its runs aren't listed any more. */
static void crash(sched_fixture_t *fixture, const char *id)
{
	for (guint i = fixture->starts->len; i-- > 0;) {
		if (strcmp(sched_fixture_order(fixture->starts, i)->upstream,
			   id) == 0)
			g_array_remove_index(fixture->starts, i);
	}
	wwh_scheduler_upstream_terminated(fixture->scheduler, id,
					  WWH_TERMINATION_CRASH, "test",
					  fixture->now_ms);
}

static void submit_lasting(sched_fixture_t *fixture, const char *id,
			   int32_t tasks, int64_t cpu, int32_t max_per_upstream)
{
	wwh_job_t *job = sched_fixture_job(id, tasks, cpu);

	job->steps[0].lasting = true;
	job->steps[0].max_per_upstream = max_per_upstream;
	sched_fixture_submit(fixture, job);
}

/* Starts a task of job JOB_B that is lost young in the crash of its upstream. */
static void lose_young_run(sched_fixture_t *fixture)
{
	char upstream[32];

	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 1, 100));
	sched_fixture_run(fixture, 1);
	g_strlcpy(upstream,
		  sched_fixture_order(fixture->starts, fixture->starts->len - 1)
			  ->upstream,
		  sizeof(upstream));
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 1);
	crash(fixture, upstream);
}

/*
 * Guards against tasks that are never started again after one crash, as a task that
 * needs a whole upstream waits for room: in a pool with plenty of room, and in one
 * that is mostly used.
 */
void a_large_task_that_waits_holds_up_no_suspect(void **state)
{
	static const int64_t small_cpu[] = { 100, 6000 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(small_cpu); i++) {
		void *fixture = NULL;

		fixture_with_3(&fixture);
		submit_lasting(fixture, JOB_A, 3, small_cpu[i], 1);
		run_for(fixture, 2000);
		submit_lasting(fixture, "00000000000000cc", 1, 8000, 0);
		lose_young_run(fixture);
		run_for(fixture, START_LIMIT_MS);
		assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 1);
		fixture_tear_down(&fixture);
	}
}

/* Announces an upstream that has a label which no other one has. */
static void announce_labelled(sched_fixture_t *fixture, const char *id)
{
	char *labels[] = { "rare", NULL };
	wwh_upstream_info_t info = {
		.id = (char *)id,
		.endpoint = "10.0.0.4:1",
		.pool = SCHED_FIXTURE_POOL,
		.labels = labels,
		.size = { 8000, 16000, 2 },
	};

	wwh_scheduler_upstream_announced(fixture->scheduler, &info,
					 fixture->now_ms);
}

/*
 * Guards against suspect tasks that are never started again behind others that fit
 * on no upstream, as a pass tries only so many; and against sound ones for which
 * those others reserve the upstreams.
 */
void suspects_that_find_no_upstream_hold_up_no_other(void **state)
{
	(void)state;
	for (int32_t jobs = 1; jobs <= 30; jobs += 29) {
		void *place = NULL;
		sched_fixture_t *fixture;

		fixture_with_3(&place);
		fixture = place;
		announce_labelled(fixture, "u4");
		for (int32_t i = 0; i < jobs; i++) {
			char id[WWH_JOB_ID_CHARS + 1];
			wwh_job_t *job;

			g_snprintf(id, sizeof(id), "%016x", 0xc00 + i);
			job = sched_fixture_job(id, 30 / jobs, 200);
			job->steps[0].lasting = true;
			job->steps[0].label = g_strdup("rare");
			sched_fixture_submit(fixture, job);
		}
		for (int32_t i = 0; i < 20 && fixture->starts->len == 0; i++) {
			sched_fixture_run(fixture, STEP_MS);
			if (fixture->starts->len == 0)
				run_for(fixture, STEP_MS);
		}
		assert_int_equal(fixture->starts->len, 30);
		/* all of them are suspect from now on, and have no upstream */
		crash(fixture, "u4");
		run_for(fixture, 1000);
		lose_young_run(fixture);
		run_for(fixture, START_LIMIT_MS);
		assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 1);
		fixture_tear_down(&place);
	}
}
