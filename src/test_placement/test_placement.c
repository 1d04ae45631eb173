#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "../test_standins/include/fleet_fixture.h"
#include "waxwinghollow/outcomes.h"
#include "waxwinghollow/placement.h"

#define NOW_MS INT64_C(1000000)

typedef struct {
	wwh_fleet_view_t *view;
	wwh_placement_options_t options;
	wwh_placement_t *placement;
	GArray *decisions;
	int32_t next_id;
} fixture_t;

/* One pool of four workers with 32 cores each, in two zones. */
static void fixture_init(fixture_t *fixture)
{
	fleet_fixture_t fleet = fleet_fixture_bounce();

	*fixture = (fixture_t){ 0 };
	fleet.workers = 4;
	fleet.per_rack = 1;
	fleet.zones = 2;
	fleet.pools = 1;
	fixture->view = fleet_fixture_view(&fleet);
	wwh_placement_options_defaults(&fixture->options);
	fixture->decisions =
		g_array_new(FALSE, FALSE, sizeof(wwh_placement_decision_t));
}

static void fixture_finish(fixture_t *fixture)
{
	wwh_placement_delete(fixture->placement);
	wwh_fleet_view_delete(fixture->view);
	g_array_free(fixture->decisions, TRUE);
}

static wwh_fleet_job_t *add_job(fixture_t *fixture, int32_t cores,
				int32_t worker)
{
	char id[24];
	wwh_fleet_job_t job = { .id = id,
				.team = "team",
				.group = "",
				.worker = worker,
				.phase = worker < 0 ? WWH_JOB_PHASE_PENDING
						    : WWH_JOB_PHASE_PLACED,
				.declared = { cores * 1000, 1024, 0 },
				.lease = WWH_NO_OFFSET,
				.report = WWH_FLEET_UNKNOWN,
				.queued_ms = NOW_MS };

	g_snprintf(id, sizeof(id), "job%04d", fixture->next_id++);
	return wwh_fleet_job(fixture->view,
			     wwh_fleet_view_add_job(fixture->view, &job));
}

static void run_pass(fixture_t *fixture)
{
	wwh_fleet_view_seal(fixture->view);
	fixture->placement =
		wwh_placement_new(fixture->view, &fixture->options, NOW_MS);
	wwh_placement_pass(fixture->placement, 0, fixture->decisions);
}

static const wwh_placement_decision_t *decision(const fixture_t *fixture,
						guint index)
{
	assert_true(index < fixture->decisions->len);
	return &g_array_index(fixture->decisions, wwh_placement_decision_t,
			      index);
}

/*
 * A job for 64 cores can never run on workers with 32. It is reported as
 * impossible because of its cores, and the job behind it starts in the same
 * pass.
 */
static void impossible_job_is_reported_and_blocks_no_other(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture);
	add_job(&fixture, 64, WWH_FLEET_NONE);
	add_job(&fixture, 4, WWH_FLEET_NONE);
	run_pass(&fixture);
	assert_int_equal(decision(&fixture, 0)->kind, WWH_PLACEMENT_IMPOSSIBLE);
	assert_int_equal(decision(&fixture, 0)->reason, WWH_REASON_CORES);
	assert_int_equal(decision(&fixture, 1)->kind, WWH_PLACEMENT_START);
	assert_int_equal(decision(&fixture, 1)->job, 1);
	fixture_finish(&fixture);
}

/*
 * Four workers are full by the declared sizes of their jobs, which use an
 * eighth of them. A fifth job starts at once where a job has run long enough
 * for its observed use to count; declared sizes alone would make it wait. Jobs
 * that started one second ago still count with their declared size, so a sixth
 * job waits.
 */
static void observed_use_replaces_declared_size(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture);
	for (int32_t i = 0; i < 4; i++) {
		wwh_fleet_job_t *job = add_job(&fixture, 32, i);

		job->used = (wwh_load_t){ 4000, 512, 0 };
		job->started_ms = i == 0 ? NOW_MS - 60000 : NOW_MS - 1000;
	}
	add_job(&fixture, 27, WWH_FLEET_NONE);
	add_job(&fixture, 27, WWH_FLEET_NONE);
	run_pass(&fixture);
	assert_int_equal(decision(&fixture, 0)->kind, WWH_PLACEMENT_START);
	assert_int_equal(decision(&fixture, 0)->worker, 0);
	assert_int_equal(decision(&fixture, 1)->kind, WWH_PLACEMENT_WAIT);
	assert_int_equal(decision(&fixture, 1)->reason, WWH_REASON_NO_ROOM);
	fixture_finish(&fixture);
}

/*
 * Bulk jobs fill the pool when an urgent job arrives. A bulk job of one worker
 * is throttled and the urgent job starts in the same pass; no job is stopped.
 */
static void urgent_job_throttles_bulk_and_starts(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture);
	for (int32_t i = 0; i < 8; i++)
		add_job(&fixture, 16, i / 2);
	add_job(&fixture, 8, WWH_FLEET_NONE)->urgent = true;
	run_pass(&fixture);
	assert_int_equal(fixture.decisions->len, 2);
	assert_int_equal(decision(&fixture, 0)->kind, WWH_PLACEMENT_THROTTLE);
	assert_int_equal(decision(&fixture, 0)->cpu_millicores, 4000);
	assert_int_equal(decision(&fixture, 1)->kind, WWH_PLACEMENT_START);
	assert_int_equal(decision(&fixture, 1)->worker,
			 decision(&fixture, 0)->worker);
	fixture_finish(&fixture);
}

static void urgent_job_gets_memory_by_checkpointing_bulk(void **unused)
{
	fixture_t fixture;
	wwh_fleet_job_t *urgent;

	(void)unused;
	fixture_init(&fixture);
	for (int32_t i = 0; i < 8; i++) {
		wwh_fleet_job_t *job = add_job(&fixture, 1, i / 2);

		job->declared.memory_mb = 64 * 1024;
		job->idempotent = i == 5;
	}
	urgent = add_job(&fixture, 1, WWH_FLEET_NONE);
	urgent->urgent = true;
	urgent->declared.memory_mb = 8 * 1024;
	run_pass(&fixture);
	assert_int_equal(fixture.decisions->len, 2);
	assert_int_equal(decision(&fixture, 0)->kind, WWH_PLACEMENT_CHECKPOINT);
	assert_int_equal(decision(&fixture, 1)->kind, WWH_PLACEMENT_START);
	fixture_finish(&fixture);
}

static void largest_excess_on_overloaded_worker_is_throttled(void **unused)
{
	fixture_t fixture;
	wwh_fleet_job_t *job;

	(void)unused;
	fixture_init(&fixture);
	job = add_job(&fixture, 8, 0);
	job->used = (wwh_load_t){ 30000, 1024, 0 };
	job = add_job(&fixture, 8, 0);
	job->used = (wwh_load_t){ 8000, 1024, 0 };
	run_pass(&fixture);
	assert_int_equal(fixture.decisions->len, 1);
	assert_int_equal(decision(&fixture, 0)->kind, WWH_PLACEMENT_THROTTLE);
	assert_int_equal(decision(&fixture, 0)->job, 0);
	assert_int_equal(decision(&fixture, 0)->cpu_millicores, 8000);
	fixture_finish(&fixture);
}

static void group_is_spread_over_zones_and_skips_leaving_worker(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture);
	for (int32_t i = 0; i < 4; i++) {
		wwh_fleet_job_t *job = add_job(&fixture, 20, WWH_FLEET_NONE);

		job->group = "replicas";
	}
	wwh_fleet_worker(fixture.view, 0)->state = WWH_FLEET_OUT;
	wwh_fleet_worker(fixture.view, 0)->grant = 7;
	run_pass(&fixture);
	for (guint i = 0; i < 2; i++) {
		assert_int_equal(decision(&fixture, i)->kind,
				 WWH_PLACEMENT_START);
		assert_int_not_equal(decision(&fixture, i)->worker, 0);
	}
	assert_int_not_equal(
		wwh_fleet_worker(fixture.view, decision(&fixture, 0)->worker)
			->zone,
		wwh_fleet_worker(fixture.view, decision(&fixture, 1)->worker)
			->zone);
	assert_int_equal(decision(&fixture, 3)->kind, WWH_PLACEMENT_WAIT);
	fixture_finish(&fixture);
}

/*
 * Bulk jobs nearly fill the workers of one zone; those of the other are empty.
 * The first job of a group goes to the fullest worker. The second goes to the
 * other zone, although the first was placed in the same pass and the view does
 * not contain it yet.
 */
static void group_is_spread_within_one_pass(void **unused)
{
	fixture_t fixture;
	int32_t zones[2];

	(void)unused;
	fixture_init(&fixture);
	for (int32_t i = 0; i < 4; i++) {
		if (wwh_fleet_worker(fixture.view, i)->zone == 0)
			add_job(&fixture, 24, i);
	}
	for (int32_t i = 0; i < 2; i++)
		add_job(&fixture, 4, WWH_FLEET_NONE)->group = "replicas";
	run_pass(&fixture);
	for (guint i = 0; i < 2; i++) {
		assert_int_equal(decision(&fixture, i)->kind,
				 WWH_PLACEMENT_START);
		zones[i] = wwh_fleet_worker(fixture.view,
					    decision(&fixture, i)->worker)
				   ->zone;
	}
	assert_int_equal(zones[0], 0);
	assert_int_equal(zones[1], 1);
	fixture_finish(&fixture);
}

static void group_is_spread_away_from_running_members(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture);
	for (int32_t i = 0; i < 4; i++) {
		if (wwh_fleet_worker(fixture.view, i)->zone == 0)
			add_job(&fixture, 24, i)->group = "replicas";
	}
	add_job(&fixture, 4, WWH_FLEET_NONE)->group = "replicas";
	run_pass(&fixture);
	assert_int_equal(decision(&fixture, 0)->kind, WWH_PLACEMENT_START);
	assert_int_equal(
		wwh_fleet_worker(fixture.view, decision(&fixture, 0)->worker)
			->zone,
		1);
	fixture_finish(&fixture);
}

/*
 * One worker is already maintained; it is nearly empty and in the zone where
 * the group runs. The job still goes there: on any other worker it would move
 * again when the wave reaches that worker.
 */
static void maintained_worker_is_preferred(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture);
	for (int32_t i = 0; i < 4; i++) {
		if (i != 2)
			add_job(&fixture, 24, i);
	}
	add_job(&fixture, 1, 2)->group = "replicas";
	add_job(&fixture, 4, WWH_FLEET_NONE)->group = "replicas";
	wwh_fleet_worker(fixture.view, 2)->maintained = true;
	run_pass(&fixture);
	assert_int_equal(decision(&fixture, 0)->kind, WWH_PLACEMENT_START);
	assert_int_equal(decision(&fixture, 0)->worker, 2);
	fixture_finish(&fixture);
}

/* The pool has room for two jobs: the urgent and the longest waiting one. */
static void urgent_jobs_go_first_then_longest_wait(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture);
	for (int32_t i = 0; i < 4; i++)
		add_job(&fixture, i < 2 ? 32 : 16, i);
	add_job(&fixture, 16, WWH_FLEET_NONE);
	add_job(&fixture, 16, WWH_FLEET_NONE)->queued_ms = NOW_MS - 2000;
	add_job(&fixture, 16, WWH_FLEET_NONE)->urgent = true;
	run_pass(&fixture);
	assert_int_equal(decision(&fixture, 0)->kind, WWH_PLACEMENT_START);
	assert_int_equal(decision(&fixture, 0)->job, 6);
	assert_int_equal(decision(&fixture, 1)->kind, WWH_PLACEMENT_START);
	assert_int_equal(decision(&fixture, 1)->job, 5);
	assert_int_equal(decision(&fixture, 2)->kind, WWH_PLACEMENT_WAIT);
	assert_int_equal(decision(&fixture, 2)->job, 4);
	fixture_finish(&fixture);
}

/*
 * One team submits forty jobs, another team one. The first team gets no more
 * than its quota; the job of the second starts although it was submitted last.
 */
static void team_quota_limits_starts(void **unused)
{
	wwh_team_t teams[] = {
		{ .id = (char *)"many", .cores = 16, .memory_mb = 65536 },
		{ .id = (char *)"few", .cores = 16, .memory_mb = 65536 },
	};
	fixture_t fixture;
	int32_t starts = 0;

	(void)unused;
	fixture_init(&fixture);
	fixture.options.teams = teams;
	fixture.options.team_count = 2;
	for (int32_t i = 0; i < 40; i++)
		add_job(&fixture, 4, WWH_FLEET_NONE)->team = "many";
	add_job(&fixture, 4, WWH_FLEET_NONE)->team = "few";
	run_pass(&fixture);
	for (guint i = 0; i < 40; i++)
		starts += decision(&fixture, i)->kind == WWH_PLACEMENT_START;
	assert_int_equal(starts, 4);
	assert_int_equal(decision(&fixture, 39)->reason, WWH_REASON_QUOTA);
	assert_int_equal(decision(&fixture, 40)->kind, WWH_PLACEMENT_START);
	fixture_finish(&fixture);
}

/*
 * A quota of three million cores exceeds 32 bits when counted in millicores. It
 * once overflowed to a negative quota, and each job of the team was reported as
 * impossible.
 */
static void quota_of_millions_of_cores_does_not_overflow(void **unused)
{
	wwh_team_t team = { .id = (char *)"team",
			    .cores = 3000000,
			    .memory_mb = 65536 };
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture);
	fixture.options.teams = &team;
	fixture.options.team_count = 1;
	add_job(&fixture, 4, WWH_FLEET_NONE);
	run_pass(&fixture);
	assert_int_equal(decision(&fixture, 0)->kind, WWH_PLACEMENT_START);
	fixture_finish(&fixture);
}

/* One worker is reserved for a large job that waits while small jobs start. */
static void worker_is_reserved_for_large_waiting_job(void **unused)
{
	fixture_t fixture;
	wwh_fleet_job_t *large;
	int32_t starts = 0;

	(void)unused;
	fixture_init(&fixture);
	for (int32_t i = 0; i < 4; i++)
		add_job(&fixture, 16, i);
	large = add_job(&fixture, 32, WWH_FLEET_NONE);
	large->queued_ms = NOW_MS - 600000;
	for (int32_t i = 0; i < 10; i++)
		add_job(&fixture, 8, WWH_FLEET_NONE);
	run_pass(&fixture);
	for (guint i = 0; i < fixture.decisions->len; i++)
		starts += decision(&fixture, i)->kind == WWH_PLACEMENT_START;
	assert_int_equal(starts,
			 6); /* two on each of the three workers not reserved */
	fixture_finish(&fixture);
}

static void job_with_unknown_run_waits_for_lease_expiry(void **unused)
{
	fixture_t fixture;
	wwh_fleet_job_t *job;

	(void)unused;
	fixture_init(&fixture);
	job = add_job(&fixture, 4, WWH_FLEET_NONE);
	job->renewed_ms = NOW_MS - 10000;
	assert_int_equal(wwh_placement_earliest_rerun_ms(job, &fixture.options),
			 NOW_MS - 10000 + 35000);
	run_pass(&fixture);
	assert_int_equal(decision(&fixture, 0)->reason, WWH_REASON_LEASE);
	job->idempotent = true;
	assert_int_equal(wwh_placement_earliest_rerun_ms(job, &fixture.options),
			 0);
	fixture_finish(&fixture);
}

/*
 * Worker "bad" fails tasks that succeed on other workers, so the worker is bad.
 * Task "poison" fails on every worker, so the task is bad and those workers are
 * not.
 */
static void failures_are_attributed_by_comparison(void **unused)
{
	wwh_outcomes_t *outcomes = wwh_outcomes_new();

	(void)unused;
	for (int32_t i = 0; i < 4; i++) {
		char task[16];
		char worker[16];

		g_snprintf(task, sizeof(task), "task%d", i);
		g_snprintf(worker, sizeof(worker), "good%d", i);
		wwh_outcomes_record(outcomes, task, "bad", false);
		wwh_outcomes_record(outcomes, task, worker, true);
		wwh_outcomes_record(outcomes, "poison", worker, false);
	}
	assert_true(wwh_outcomes_worker_is_bad(outcomes, "bad"));
	assert_false(wwh_outcomes_worker_is_bad(outcomes, "good0"));
	assert_true(wwh_outcomes_task_is_bad(outcomes, "poison"));
	assert_false(wwh_outcomes_task_is_bad(outcomes, "task0"));
	wwh_outcomes_forget_worker(outcomes, "bad");
	assert_false(wwh_outcomes_worker_is_bad(outcomes, "bad"));
	wwh_outcomes_delete(outcomes);
}

/* A service that all tasks need is down, so every worker fails each task. */
static void common_failure_marks_no_worker_bad(void **unused)
{
	wwh_outcomes_t *outcomes = wwh_outcomes_new();

	(void)unused;
	for (int32_t i = 0; i < 64; i++) {
		char task[16];
		char worker[16];

		g_snprintf(task, sizeof(task), "task%d", i);
		g_snprintf(worker, sizeof(worker), "w%d", i % 8);
		wwh_outcomes_record(outcomes, task, worker, false);
	}
	for (int32_t i = 0; i < 8; i++) {
		char worker[16];

		g_snprintf(worker, sizeof(worker), "w%d", i);
		assert_false(wwh_outcomes_worker_is_bad(outcomes, worker));
	}
	wwh_outcomes_delete(outcomes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			impossible_job_is_reported_and_blocks_no_other),
		cmocka_unit_test(observed_use_replaces_declared_size),
		cmocka_unit_test(urgent_job_throttles_bulk_and_starts),
		cmocka_unit_test(urgent_job_gets_memory_by_checkpointing_bulk),
		cmocka_unit_test(
			largest_excess_on_overloaded_worker_is_throttled),
		cmocka_unit_test(
			group_is_spread_over_zones_and_skips_leaving_worker),
		cmocka_unit_test(group_is_spread_within_one_pass),
		cmocka_unit_test(group_is_spread_away_from_running_members),
		cmocka_unit_test(maintained_worker_is_preferred),
		cmocka_unit_test(urgent_jobs_go_first_then_longest_wait),
		cmocka_unit_test(team_quota_limits_starts),
		cmocka_unit_test(quota_of_millions_of_cores_does_not_overflow),
		cmocka_unit_test(worker_is_reserved_for_large_waiting_job),
		cmocka_unit_test(job_with_unknown_run_waits_for_lease_expiry),
		cmocka_unit_test(failures_are_attributed_by_comparison),
		cmocka_unit_test(common_failure_marks_no_worker_bad),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
