#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "../test_standins/include/fleet_sim.h"

static void start_fleet(sim_t *sim, int32_t processes, int64_t job_ms)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());

	options.processes = processes;
	options.job_ms = job_ms;
	options.check_state = true;
	sim_init(sim, &options);
}

static void run_steps(sim_t *sim, int32_t steps)
{
	for (int32_t i = 0; i < steps; i++)
		sim_step(sim);
}

static void submit_many(sim_t *sim, const char *prefix, int32_t count,
			bool idempotent)
{
	for (int32_t i = 0; i < count; i++) {
		char id[24];

		g_snprintf(id, sizeof(id), "%s%03d", prefix, i);
		sim_submit(sim, id, i % 5, false, idempotent);
	}
}

static wwh_job_phase_t phase_of(const sim_t *sim, const char *id)
{
	wwh_job_view_t job;

	assert_true(wwh_state_job(sim->state, id, &job));
	return job.phase;
}

static int32_t count_phase(const sim_t *sim, const char *prefix, int32_t count,
			   wwh_job_phase_t phase)
{
	int32_t found = 0;

	for (int32_t i = 0; i < count; i++) {
		char id[24];

		g_snprintf(id, sizeof(id), "%s%03d", prefix, i);
		found += phase_of(sim, id) == phase;
	}
	return found;
}

static int32_t count_running_tasks(const sim_t *sim)
{
	int32_t count = 0;

	for (guint i = 0; i < sim->tasks->len; i++)
		count += ((sim_task_t *)sim->tasks->pdata[i])->state ==
			 WWH_TASK_RUNNING;
	return count;
}

static void all_submitted_jobs_complete(void **unused)
{
	sim_t sim;

	(void)unused;
	start_fleet(&sim, 2, 60000);
	submit_many(&sim, "job", 100, false);
	run_steps(&sim, 90);
	assert_int_equal(count_phase(&sim, "job", 100, WWH_JOB_PHASE_DONE),
			 100);
	assert_int_equal(sim.runs_started, 100);
	sim_finish(&sim);
}

/*
 * The workers of a numbering job and of a report job fail. The report job is
 * idempotent and runs again elsewhere; the numbering job isn't, so it is never
 * started again and ends as failed, as its outcome is unknown.
 */
static void a_lost_worker_never_leads_to_two_runs(void **unused)
{
	wwh_job_view_t job;
	int32_t worker;
	sim_t sim;

	(void)unused;
	start_fleet(&sim, 1, 3600000);
	sim_submit(&sim, "numbering", 0, false, false);
	run_steps(&sim, 5);
	assert_true(wwh_state_job(sim.state, "numbering", &job));
	worker = (int32_t)g_ascii_strtoll(job.worker + 1, NULL, 10);
	sim_submit(&sim, "report", 0, false, true);
	run_steps(&sim, 5);
	assert_true(wwh_state_job(sim.state, "report", &job));
	assert_int_equal(count_running_tasks(&sim), 2);
	sim_fail_worker(&sim, worker, 7200000);
	sim_fail_worker(&sim,
			(int32_t)g_ascii_strtoll(job.worker + 1, NULL, 10),
			7200000);
	run_steps(&sim, 120);
	assert_int_equal(phase_of(&sim, "numbering"), WWH_JOB_PHASE_FAILED);
	assert_int_equal(phase_of(&sim, "report"), WWH_JOB_PHASE_PLACED);
	assert_int_equal(sim.runs_started, 3);
	assert_int_equal(sim.double_runs, 0);
	sim_finish(&sim);
}

/*
 * The process that renews the tasks' leases freezes. The leases expire and the
 * workers stop the tasks. Another process takes over. Then the first process
 * resumes with its outdated placements and orders: none takes effect.
 */
static void a_paused_holder_starts_nothing_twice(void **unused)
{
	sim_t sim;

	(void)unused;
	start_fleet(&sim, 1, 600000);
	submit_many(&sim, "once", 20, false);
	submit_many(&sim, "again", 20, true);
	run_steps(&sim, 5);
	assert_int_equal(count_running_tasks(&sim), 40);
	submit_many(&sim, "late", 20, false);
	sim.processes[0].hold = true;
	run_steps(&sim, 3);
	sim.processes[0].frozen = true;
	run_steps(&sim, 60);
	assert_int_equal(count_running_tasks(&sim), 0);
	sim_new_process(&sim, 1);
	sim_take_over(&sim, 0, 1);
	run_steps(&sim, 30);
	assert_int_equal(count_phase(&sim, "again", 20, WWH_JOB_PHASE_PLACED),
			 20);
	assert_int_equal(count_phase(&sim, "once", 20, WWH_JOB_PHASE_FAILED),
			 20);
	sim.refused = 0;
	sim_release_held(&sim, 0);
	assert_true(sim.refused > 0);
	run_steps(&sim, 700);
	assert_int_equal(count_phase(&sim, "once", 20, WWH_JOB_PHASE_FAILED),
			 20);
	assert_int_equal(count_phase(&sim, "late", 20, WWH_JOB_PHASE_DONE), 20);
	assert_int_equal(sim.runs_started, 20 + 20 + 20 + 20);
	assert_int_equal(sim.double_runs, 0);
	sim_finish(&sim);
}

/* Two thirds of the jobs are cancelled at once and stop; the others go on. */
static void mass_cancellation_stops_only_the_cancelled_jobs(void **unused)
{
	sim_t sim;

	(void)unused;
	start_fleet(&sim, 2, 3600000);
	submit_many(&sim, "job", 90, true);
	run_steps(&sim, 5);
	assert_int_equal(count_running_tasks(&sim), 90);
	for (int32_t i = 0; i < 60; i++) {
		char id[24];
		wwh_record_t record;

		g_snprintf(id, sizeof(id), "job%03d", i);
		wwh_record_init(&record, WWH_RECORD_JOB_CANCEL, "operator:sim");
		wwh_record_set(&record.body.job.job, id);
		sim_append(&sim, &record);
	}
	run_steps(&sim, 5);
	assert_int_equal(count_running_tasks(&sim), 30);
	assert_int_equal(sim.runs_started, 90);
	sim_finish(&sim);
}

/*
 * One worker fails every task it starts, and one job fails on every worker. The
 * worker is quarantined, and no other one is; the job isn't started again, and
 * its reason is reported.
 */
static void a_bad_worker_and_a_bad_job_are_distinguished(void **unused)
{
	wwh_worker_view_t worker;
	int32_t quarantined = 0;
	sim_t sim;

	(void)unused;
	start_fleet(&sim, 1, 20000);
	sim.workers[5].fails_tasks = true;
	sim_submit(&sim, "poison", 0, false, true);
	for (int32_t i = 0; i < 30; i++) {
		char prefix[8];

		g_snprintf(prefix, sizeof(prefix), "%02d-", i);
		submit_many(&sim, prefix, 60, true);
		run_steps(&sim, 25);
	}
	run_steps(&sim, 60);
	for (int32_t w = 0; w < 50; w++) {
		wwh_state_worker(sim.state, sim.workers[w].id, &worker);
		quarantined += worker.quarantined != WWH_NO_OFFSET;
	}
	assert_true(wwh_state_worker(sim.state, "w00005", &worker));
	assert_true(worker.quarantined != WWH_NO_OFFSET);
	assert_int_equal(quarantined, 1);
	assert_int_equal(
		wwh_conductor_job_reason(sim.processes[0].conductor, "poison"),
		WWH_REASON_FAILS);
	assert_int_equal(phase_of(&sim, "poison"), WWH_JOB_PHASE_PENDING);
	for (int32_t i = 0; i < 30; i++) {
		char prefix[8];

		g_snprintf(prefix, sizeof(prefix), "%02d-", i);
		assert_int_equal(
			count_phase(&sim, prefix, 60, WWH_JOB_PHASE_DONE), 60);
	}
	sim_finish(&sim);
}

static void an_unplaceable_job_reports_its_reason(void **unused)
{
	wwh_record_t record;
	sim_t sim;

	(void)unused;
	start_fleet(&sim, 1, 60000);
	wwh_record_init(&record, WWH_RECORD_JOB_SUBMIT, "operator:sim");
	wwh_record_set(&record.body.job_submit.job, "huge");
	wwh_record_set(&record.body.job_submit.pool, "pool000");
	record.body.job_submit.cores = 4;
	record.body.job_submit.memory_mb = 4096;
	record.body.job_submit.accelerators = 1;
	assert_int_equal(sim_append(&sim, &record), WWH_VERDICT_ACCEPTED);
	sim_submit(&sim, "small", 0, false, true);
	run_steps(&sim, 5);
	assert_int_equal(
		wwh_conductor_job_reason(sim.processes[0].conductor, "huge"),
		WWH_REASON_ACCELERATORS);
	assert_int_equal(phase_of(&sim, "small"), WWH_JOB_PHASE_PLACED);
	sim_finish(&sim);
}

/*
 * Bulk jobs fill the pool. The task of an urgent job runs within 7.2 s: bulk
 * tasks are throttled, and none is stopped.
 */
static void urgent_work_runs_within_its_limit(void **unused)
{
	sim_task_t *task = NULL;
	int64_t submitted_ms;
	sim_t sim;

	(void)unused;
	start_fleet(&sim, 1, 3600000);
	submit_many(&sim, "bulk", 5 * 8 * 10, true);
	run_steps(&sim, 10);
	assert_int_equal(count_running_tasks(&sim), 400);
	submitted_ms = sim.now_ms;
	sim_submit(&sim, "urgent", 0, true, true);
	while (!task && sim.now_ms - submitted_ms < 60000) {
		run_steps(&sim, 1);
		task = g_hash_table_lookup(sim.task_by_id, "urgent");
	}
	assert_true(sim.now_ms - submitted_ms <= 7200);
	assert_int_equal(count_running_tasks(&sim), 401);
	sim_finish(&sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(all_submitted_jobs_complete),
		cmocka_unit_test(a_lost_worker_never_leads_to_two_runs),
		cmocka_unit_test(a_paused_holder_starts_nothing_twice),
		cmocka_unit_test(
			mass_cancellation_stops_only_the_cancelled_jobs),
		cmocka_unit_test(a_bad_worker_and_a_bad_job_are_distinguished),
		cmocka_unit_test(an_unplaceable_job_reports_its_reason),
		cmocka_unit_test(urgent_work_runs_within_its_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
