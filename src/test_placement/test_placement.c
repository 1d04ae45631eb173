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
} bench_t;

/* One pool of four workers with 32 cores, in two zones. */
static void bench_init(bench_t *bench)
{
	fleet_fixture_t fixture = fleet_fixture_bounce();

	*bench = (bench_t){ 0 };
	fixture.workers = 4;
	fixture.per_rack = 1;
	fixture.zones = 2;
	fixture.pools = 1;
	bench->view = fleet_fixture_view(&fixture);
	wwh_placement_options_defaults(&bench->options);
	bench->decisions =
		g_array_new(FALSE, FALSE, sizeof(wwh_placement_decision_t));
}

static void bench_finish(bench_t *bench)
{
	wwh_placement_delete(bench->placement);
	wwh_fleet_view_delete(bench->view);
	g_array_free(bench->decisions, TRUE);
}

static wwh_fleet_job_t *add_job(bench_t *bench, int32_t cores, int32_t worker)
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

	g_snprintf(id, sizeof(id), "job%04d", bench->next_id++);
	return wwh_fleet_job(bench->view,
			     wwh_fleet_view_add_job(bench->view, &job));
}

static void run_pass(bench_t *bench)
{
	wwh_fleet_view_seal(bench->view);
	bench->placement =
		wwh_placement_new(bench->view, &bench->options, NOW_MS);
	wwh_placement_pass(bench->placement, 0, bench->decisions);
}

static const wwh_placement_decision_t *decision(const bench_t *bench,
						guint index)
{
	assert_true(index < bench->decisions->len);
	return &g_array_index(bench->decisions, wwh_placement_decision_t,
			      index);
}

/*
 * A team submits a job for 64 cores to workers of 32. It is told that no
 * worker has the cores; the job behind it starts in the same pass.
 */
static void an_impossible_job_is_told_and_blocks_nobody(void **unused)
{
	bench_t bench;

	(void)unused;
	bench_init(&bench);
	add_job(&bench, 64, WWH_FLEET_NONE);
	add_job(&bench, 4, WWH_FLEET_NONE);
	run_pass(&bench);
	assert_int_equal(decision(&bench, 0)->kind, WWH_PLACEMENT_IMPOSSIBLE);
	assert_int_equal(decision(&bench, 0)->reason, WWH_REASON_CORES);
	assert_int_equal(decision(&bench, 1)->kind, WWH_PLACEMENT_START);
	assert_int_equal(decision(&bench, 1)->job, 1);
	bench_finish(&bench);
}

/*
 * Four workers are full by what their jobs declared. The jobs use an eighth
 * of it, so a fifth job starts at once; declared sizes alone would have made
 * it wait. A job that started a moment ago still counts as declared.
 */
static void observed_use_stands_in_for_declared_sizes(void **unused)
{
	bench_t bench;

	(void)unused;
	bench_init(&bench);
	for (int32_t i = 0; i < 4; i++) {
		wwh_fleet_job_t *job = add_job(&bench, 32, i);

		job->used = (wwh_load_t){ 4000, 512, 0 };
		job->started_ms = i == 0 ? NOW_MS - 60000 : NOW_MS - 1000;
	}
	add_job(&bench, 27, WWH_FLEET_NONE);
	add_job(&bench, 27, WWH_FLEET_NONE);
	run_pass(&bench);
	assert_int_equal(decision(&bench, 0)->kind, WWH_PLACEMENT_START);
	assert_int_equal(decision(&bench, 0)->worker, 0);
	assert_int_equal(decision(&bench, 1)->kind, WWH_PLACEMENT_WAIT);
	assert_int_equal(decision(&bench, 1)->reason, WWH_REASON_NO_ROOM);
	bench_finish(&bench);
}

/*
 * Bulk fills the pool. An urgent job comes: bulk of one worker is throttled
 * and the urgent job starts in the same pass; nothing is stopped.
 */
static void urgent_work_starts_by_throttling_bulk(void **unused)
{
	bench_t bench;

	(void)unused;
	bench_init(&bench);
	for (int32_t i = 0; i < 8; i++)
		add_job(&bench, 16, i / 2);
	add_job(&bench, 8, WWH_FLEET_NONE)->urgent = true;
	run_pass(&bench);
	assert_int_equal(bench.decisions->len, 2);
	assert_int_equal(decision(&bench, 0)->kind, WWH_PLACEMENT_THROTTLE);
	assert_int_equal(decision(&bench, 0)->cpu_millicores, 4000);
	assert_int_equal(decision(&bench, 1)->kind, WWH_PLACEMENT_START);
	assert_int_equal(decision(&bench, 1)->worker,
			 decision(&bench, 0)->worker);
	bench_finish(&bench);
}

static void memory_for_urgent_work_comes_from_a_checkpoint(void **unused)
{
	bench_t bench;
	wwh_fleet_job_t *urgent;

	(void)unused;
	bench_init(&bench);
	for (int32_t i = 0; i < 8; i++) {
		wwh_fleet_job_t *job = add_job(&bench, 1, i / 2);

		job->declared.memory_mb = 64 * 1024;
		job->idempotent = i == 5;
	}
	urgent = add_job(&bench, 1, WWH_FLEET_NONE);
	urgent->urgent = true;
	urgent->declared.memory_mb = 8 * 1024;
	run_pass(&bench);
	assert_int_equal(bench.decisions->len, 2);
	assert_int_equal(decision(&bench, 0)->kind, WWH_PLACEMENT_CHECKPOINT);
	assert_int_equal(decision(&bench, 1)->kind, WWH_PLACEMENT_START);
	bench_finish(&bench);
}

static void an_overloaded_worker_is_throttled_before_all(void **unused)
{
	bench_t bench;
	wwh_fleet_job_t *job;

	(void)unused;
	bench_init(&bench);
	job = add_job(&bench, 8, 0);
	job->used = (wwh_load_t){ 30000, 1024, 0 };
	job = add_job(&bench, 8, 0);
	job->used = (wwh_load_t){ 8000, 1024, 0 };
	run_pass(&bench);
	assert_int_equal(bench.decisions->len, 1);
	assert_int_equal(decision(&bench, 0)->kind, WWH_PLACEMENT_THROTTLE);
	assert_int_equal(decision(&bench, 0)->job, 0);
	assert_int_equal(decision(&bench, 0)->cpu_millicores, 8000);
	bench_finish(&bench);
}

static void a_group_is_spread_over_zones_and_workers_leave_alone(void **unused)
{
	bench_t bench;

	(void)unused;
	bench_init(&bench);
	for (int32_t i = 0; i < 4; i++) {
		wwh_fleet_job_t *job = add_job(&bench, 20, WWH_FLEET_NONE);

		job->group = "replicas";
	}
	wwh_fleet_worker(bench.view, 0)->state = WWH_FLEET_OUT;
	wwh_fleet_worker(bench.view, 0)->grant = 7;
	run_pass(&bench);
	for (guint i = 0; i < 2; i++) {
		assert_int_equal(decision(&bench, i)->kind,
				 WWH_PLACEMENT_START);
		assert_int_not_equal(decision(&bench, i)->worker, 0);
	}
	assert_int_not_equal(
		wwh_fleet_worker(bench.view, decision(&bench, 0)->worker)->zone,
		wwh_fleet_worker(bench.view, decision(&bench, 1)->worker)
			->zone);
	assert_int_equal(decision(&bench, 3)->kind, WWH_PLACEMENT_WAIT);
	bench_finish(&bench);
}

/*
 * Bulk fills one zone's workers nearly, those of the other are empty. The
 * first of a group goes where it is fullest, the next one to the other zone,
 * though it was placed a moment ago only and nothing reports it yet.
 */
static void a_group_that_is_just_placed_is_spread(void **unused)
{
	bench_t bench;
	int32_t zones[2];

	(void)unused;
	bench_init(&bench);
	for (int32_t i = 0; i < 4; i++) {
		if (wwh_fleet_worker(bench.view, i)->zone == 0)
			add_job(&bench, 24, i);
	}
	for (int32_t i = 0; i < 2; i++)
		add_job(&bench, 4, WWH_FLEET_NONE)->group = "replicas";
	run_pass(&bench);
	for (guint i = 0; i < 2; i++) {
		assert_int_equal(decision(&bench, i)->kind,
				 WWH_PLACEMENT_START);
		zones[i] = wwh_fleet_worker(bench.view,
					    decision(&bench, i)->worker)
				   ->zone;
	}
	assert_int_equal(zones[0], 0);
	assert_int_equal(zones[1], 1);
	bench_finish(&bench);
}

static void a_group_is_spread_from_where_it_runs(void **unused)
{
	bench_t bench;

	(void)unused;
	bench_init(&bench);
	for (int32_t i = 0; i < 4; i++) {
		if (wwh_fleet_worker(bench.view, i)->zone == 0)
			add_job(&bench, 24, i)->group = "replicas";
	}
	add_job(&bench, 4, WWH_FLEET_NONE)->group = "replicas";
	run_pass(&bench);
	assert_int_equal(decision(&bench, 0)->kind, WWH_PLACEMENT_START);
	assert_int_equal(
		wwh_fleet_worker(bench.view, decision(&bench, 0)->worker)->zone,
		1);
	bench_finish(&bench);
}

/*
 * A wave has been at one worker, which is empty and in the zone where the
 * group runs. The job goes there all the same: on any other it would move
 * again when the wave comes.
 */
static void a_job_goes_where_the_wave_has_been(void **unused)
{
	bench_t bench;

	(void)unused;
	bench_init(&bench);
	for (int32_t i = 0; i < 4; i++) {
		if (i != 2)
			add_job(&bench, 24, i);
	}
	add_job(&bench, 1, 2)->group = "replicas";
	add_job(&bench, 4, WWH_FLEET_NONE)->group = "replicas";
	wwh_fleet_worker(bench.view, 2)->maintained = true;
	run_pass(&bench);
	assert_int_equal(decision(&bench, 0)->kind, WWH_PLACEMENT_START);
	assert_int_equal(decision(&bench, 0)->worker, 2);
	bench_finish(&bench);
}

/* The pool has room for two: the urgent job, and the one that waits longest. */
static void urgent_work_then_the_longest_wait(void **unused)
{
	bench_t bench;

	(void)unused;
	bench_init(&bench);
	for (int32_t i = 0; i < 4; i++)
		add_job(&bench, i < 2 ? 32 : 16, i);
	add_job(&bench, 16, WWH_FLEET_NONE);
	add_job(&bench, 16, WWH_FLEET_NONE)->queued_ms = NOW_MS - 2000;
	add_job(&bench, 16, WWH_FLEET_NONE)->urgent = true;
	run_pass(&bench);
	assert_int_equal(decision(&bench, 0)->kind, WWH_PLACEMENT_START);
	assert_int_equal(decision(&bench, 0)->job, 6);
	assert_int_equal(decision(&bench, 1)->kind, WWH_PLACEMENT_START);
	assert_int_equal(decision(&bench, 1)->job, 5);
	assert_int_equal(decision(&bench, 2)->kind, WWH_PLACEMENT_WAIT);
	assert_int_equal(decision(&bench, 2)->job, 4);
	bench_finish(&bench);
}

/*
 * One team sends forty jobs, another one. The first gets its quota and no
 * more; the second starts although it came last.
 */
static void one_team_does_not_take_the_pool(void **unused)
{
	wwh_team_t teams[] = {
		{ .id = (char *)"many", .cores = 16, .memory_mb = 65536 },
		{ .id = (char *)"few", .cores = 16, .memory_mb = 65536 },
	};
	bench_t bench;
	int32_t starts = 0;

	(void)unused;
	bench_init(&bench);
	bench.options.teams = teams;
	bench.options.team_count = 2;
	for (int32_t i = 0; i < 40; i++)
		add_job(&bench, 4, WWH_FLEET_NONE)->team = "many";
	add_job(&bench, 4, WWH_FLEET_NONE)->team = "few";
	run_pass(&bench);
	for (guint i = 0; i < 40; i++)
		starts += decision(&bench, i)->kind == WWH_PLACEMENT_START;
	assert_int_equal(starts, 4);
	assert_int_equal(decision(&bench, 39)->reason, WWH_REASON_QUOTA);
	assert_int_equal(decision(&bench, 40)->kind, WWH_PLACEMENT_START);
	bench_finish(&bench);
}

/*
 * A team may hold three million cores of a large fleet. Counted in millicores
 * that is more than 32 bits hold: the quota turned negative, and each of the
 * team's jobs was told that it can never run.
 */
static void a_quota_of_millions_of_cores_holds(void **unused)
{
	wwh_team_t team = { .id = (char *)"team",
			    .cores = 3000000,
			    .memory_mb = 65536 };
	bench_t bench;

	(void)unused;
	bench_init(&bench);
	bench.options.teams = &team;
	bench.options.team_count = 1;
	add_job(&bench, 4, WWH_FLEET_NONE);
	run_pass(&bench);
	assert_int_equal(decision(&bench, 0)->kind, WWH_PLACEMENT_START);
	bench_finish(&bench);
}

/* Small jobs keep coming; the large one that waits gets a worker kept. */
static void a_large_job_is_not_starved(void **unused)
{
	bench_t bench;
	wwh_fleet_job_t *large;
	int32_t starts = 0;

	(void)unused;
	bench_init(&bench);
	for (int32_t i = 0; i < 4; i++)
		add_job(&bench, 16, i);
	large = add_job(&bench, 32, WWH_FLEET_NONE);
	large->queued_ms = NOW_MS - 600000;
	for (int32_t i = 0; i < 10; i++)
		add_job(&bench, 8, WWH_FLEET_NONE);
	run_pass(&bench);
	for (guint i = 0; i < bench.decisions->len; i++)
		starts += decision(&bench, i)->kind == WWH_PLACEMENT_START;
	assert_int_equal(starts, 6); /* on three of the four workers */
	bench_finish(&bench);
}

static void an_unknown_run_is_waited_for(void **unused)
{
	bench_t bench;
	wwh_fleet_job_t *job;

	(void)unused;
	bench_init(&bench);
	job = add_job(&bench, 4, WWH_FLEET_NONE);
	job->renewed_ms = NOW_MS - 10000;
	assert_int_equal(wwh_placement_earliest_rerun_ms(job, &bench.options),
			 NOW_MS - 10000 + 35000);
	run_pass(&bench);
	assert_int_equal(decision(&bench, 0)->reason, WWH_REASON_LEASE);
	job->idempotent = true;
	assert_int_equal(wwh_placement_earliest_rerun_ms(job, &bench.options),
			 0);
	bench_finish(&bench);
}

/*
 * Worker "bad" fails each task, which then ends well elsewhere: it is found.
 * Task "poison" fails on every worker: it is found, and no worker is blamed.
 */
static void failures_are_blamed_by_comparison(void **unused)
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

/* A service that all tasks need is down: every worker fails everything. */
static void a_fault_that_is_everywhere_empties_no_pool(void **unused)
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
		cmocka_unit_test(an_impossible_job_is_told_and_blocks_nobody),
		cmocka_unit_test(observed_use_stands_in_for_declared_sizes),
		cmocka_unit_test(urgent_work_starts_by_throttling_bulk),
		cmocka_unit_test(
			memory_for_urgent_work_comes_from_a_checkpoint),
		cmocka_unit_test(an_overloaded_worker_is_throttled_before_all),
		cmocka_unit_test(
			a_group_is_spread_over_zones_and_workers_leave_alone),
		cmocka_unit_test(a_group_that_is_just_placed_is_spread),
		cmocka_unit_test(a_group_is_spread_from_where_it_runs),
		cmocka_unit_test(a_job_goes_where_the_wave_has_been),
		cmocka_unit_test(urgent_work_then_the_longest_wait),
		cmocka_unit_test(one_team_does_not_take_the_pool),
		cmocka_unit_test(a_quota_of_millions_of_cores_holds),
		cmocka_unit_test(a_large_job_is_not_starved),
		cmocka_unit_test(an_unknown_run_is_waited_for),
		cmocka_unit_test(failures_are_blamed_by_comparison),
		cmocka_unit_test(a_fault_that_is_everywhere_empties_no_pool),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
