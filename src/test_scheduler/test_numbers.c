/* Numbers of jobs and announcements that no arithmetic overflows on. */

#include "test_scheduler.h"

#define JOB_MAX_NUMBER INT64_C(999999999999999999)
#define RECORD_MAX_NUMBER INT64_MAX
#define ANNOUNCED_MAX INT64_C(1000000000000000)
#define UPSTREAMS 12

/* Of announcements that are readable. */
#define MAX_MILLICORES 10000000
#define MAX_MEMORY_MB 1000000000
#define MAX_GPUS 100000

static void announce_largest(sched_fixture_t *fixture, const char *id)
{
	char *labels[] = { "a", "r1-1", NULL };
	wwh_upstream_info_t info = {
		.id = (char *)id,
		.endpoint = ENDPOINT_2,
		.pool = SCHED_FIXTURE_POOL,
		.zone = "hall-a",
		.rack = "r1-1",
		.labels = labels,
		.size = { MAX_MILLICORES, MAX_MEMORY_MB, MAX_GPUS },
		.sequence = ANNOUNCED_MAX,
	};

	wwh_scheduler_upstream_announced(fixture->scheduler, &info,
					 fixture->now_ms);
	sched_fixture_run(fixture, 1);
	sched_fixture_answer_poll(fixture, id, NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 1);
}

static wwh_job_t *largest_job(const char *id, int64_t number, bool repeats)
{
	wwh_job_t *job = sched_fixture_job(id, 2000, number);
	wwh_job_step_t *step = &job->steps[0];

	job->queue.latency_ms = ANNOUNCED_MAX;
	job->queue.stretch_permille = INT32_MAX;
	job->queue.max_attempts = INT32_MAX;
	step->need.memory_mb = number;
	step->need.gpus = number;
	step->estimate_ms = number;
	step->latency_target_ms = number;
	step->max_unavailable = INT32_MAX;
	step->max_per_upstream = INT32_MAX;
	if (repeats) {
		job->repeat_count = WWH_JOB_MAX_REPEATS;
		job->first_wall_ms = number;
		job->interval_ms = number;
	}
	return job;
}

/*
 * Guards against a process that ends, or times and loads that change their sign,
 * by numbers of one job or one announcement: the other jobs run.
 */
void absurd_numbers_hold_up_no_other_job(void **state)
{
	static const int64_t numbers[] = { JOB_MAX_NUMBER, RECORD_MAX_NUMBER };

	(void)state;
	for (size_t i = 0; i < 4 * G_N_ELEMENTS(numbers); i++) {
		sched_fixture_t *fixture = sched_fixture_new();
		wwh_job_t *job = largest_job(JOB_B, numbers[i / 4], i % 2 == 1);
		wwh_running_task_t row = { .task = JOB_B ".99999.0.7",
					   .run = ANNOUNCED_MAX,
					   .checkpoint = "" };

		job->steps[0].lasting = i / 2 % 2 == 1;
		sched_fixture_submit(fixture, job);
		for (int32_t n = 0; n < UPSTREAMS; n++) {
			char id[8];

			g_snprintf(id, sizeof(id), "u%d", n);
			announce_largest(fixture, id);
		}
		sched_fixture_run(fixture, 100);
		sched_fixture_answer_poll(fixture, "u0", &row, 1, NULL, 0);
		sched_fixture_submit(fixture,
				     sched_fixture_job(JOB_A, 1, 1000));
		sched_fixture_run(fixture, 1000);
		assert_int_equal(sched_fixture_count_runs(fixture, JOB_A), 1);
		sched_fixture_make_durable(fixture);
		sched_fixture_take_over(fixture);
		announce_largest(fixture, "u1");
		sched_fixture_run(fixture, 100);
		sched_fixture_answer_poll(fixture, "u0", &row, 1, NULL, 0);
		sched_fixture_run(fixture, 1000);
		assert_true(wwh_scheduler_pool_demand(fixture->scheduler,
						      SCHED_FIXTURE_POOL)
				    .lasting >= 0);
		sched_fixture_delete(fixture);
	}
}

/* Submits a job of 10,000 tasks an occurrence; returns how many were opened. */
static int64_t open_occurrences(sched_fixture_t *fixture, int64_t interval_ms,
				bool take_over)
{
	wwh_job_t *job = sched_fixture_job(JOB_A, WWH_JOB_MAX_TASKS, 1000);
	wwh_running_task_t row = { .task = JOB_A ".99999.0.7",
				   .run = 1,
				   .checkpoint = "" };
	GString *dump = g_string_new(NULL);
	int64_t count;

	job->repeat_count = WWH_JOB_MAX_REPEATS;
	job->first_wall_ms = SCHED_FIXTURE_WALL_MS;
	job->interval_ms = interval_ms;
	sched_fixture_submit(fixture, job);
	if (take_over) {
		sched_fixture_make_durable(fixture);
		sched_fixture_take_over(fixture);
	}
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_run(fixture, 1);
	sched_fixture_answer_poll(fixture, "u1", &row, 1, NULL, 0);
	sched_fixture_run(fixture, 100);
	wwh_scheduler_dump(fixture->scheduler, dump, fixture->now_ms);
	count = g_ascii_strtoll(strstr(dump->str, "occurrences=") +
					strlen("occurrences="),
				NULL, 10);
	g_string_free(dump, TRUE);
	return count;
}

/*
 * Guards against a holder that runs out of memory, as one job or one listed run
 * opens 100,000 occurrences at once.
 */
void the_open_tasks_of_a_job_are_bounded(void **state)
{
	static const int64_t intervals_ms[] = { 0, 1, 60000 };

	(void)state;
	for (size_t i = 0; i < 2 * G_N_ELEMENTS(intervals_ms); i++) {
		sched_fixture_t *fixture = sched_fixture_new();

		assert_in_range(open_occurrences(fixture, intervals_ms[i / 2],
						 i % 2 == 1),
				1, 10);
		sched_fixture_delete(fixture);
	}
}
