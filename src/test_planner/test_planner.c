#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "../test_standins/include/fleet_fixture.h"
#include "waxwinghollow/capacity.h"
#include "waxwinghollow/planner.h"
#include "waxwinghollow/window.h"

#define MINUTE_MS INT64_C(60000)

/* Replays the plan's turns against a recount of each pool from scratch. */
static void check_plan(wwh_fleet_view_t *view, const wwh_plan_t *plan)
{
	for (int32_t i = 0; i < wwh_plan_step_count(plan); i++) {
		int64_t now_ms = wwh_plan_step(plan, i)->start_ms;
		int32_t pool =
			wwh_fleet_worker(view, wwh_plan_step(plan, i)->worker)
				->pool;
		wwh_pool_budget_t *tally = wwh_pool_budget_new(view, pool);

		for (int32_t j = 0; j < wwh_plan_step_count(plan); j++) {
			const wwh_plan_step_t *step = wwh_plan_step(plan, j);

			if (wwh_fleet_worker(view, step->worker)->pool ==
				    pool &&
			    step->start_ms <= now_ms && step->end_ms > now_ms)
				wwh_pool_budget_mark_out(tally, step->worker);
		}
		assert_true(wwh_pool_budget_is_met(tally));
		assert_true(wwh_pool_budget_lost(tally) +
				    wwh_pool_budget_largest_domain(
					    tally, WWH_DOMAIN_RACK) <=
			    wwh_pool_budget_limit(tally));
		wwh_pool_budget_delete(tally);
	}
}

static void every_worker_has_one_turn_within_the_budget(void **unused)
{
	fleet_fixture_t fixtures[] = { fleet_fixture_bounce(),
				       fleet_fixture_peachtree() };

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(fixtures); i++) {
		wwh_fleet_view_t *view = fleet_fixture_view(&fixtures[i]);
		wwh_plan_options_t options;
		wwh_plan_t *plan;
		bool seen[50] = { false };

		fleet_fixture_jobs(view, 3, 0);
		wwh_fleet_view_seal(view);
		wwh_plan_options_defaults(&options);
		plan = wwh_plan_new(view, &options);
		assert_int_equal(wwh_plan_step_count(plan), 50);
		for (int32_t s = 0; s < 50; s++) {
			int32_t worker = wwh_plan_step(plan, s)->worker;

			assert_false(seen[worker]);
			seen[worker] = true;
		}
		check_plan(view, plan);
		wwh_plan_delete(plan);
		wwh_fleet_view_delete(view);
	}
}

static void jobs_move_once_onto_maintained_workers(void **unused)
{
	fleet_fixture_t fixture = fleet_fixture_bounce();
	wwh_fleet_view_t *view = fleet_fixture_view(&fixture);
	const wwh_plan_totals_t *totals;
	wwh_plan_options_t options;
	wwh_plan_t *plan;

	(void)unused;
	fleet_fixture_jobs(view, 3, 0);
	wwh_fleet_view_seal(view);
	wwh_plan_options_defaults(&options);
	plan = wwh_plan_new(view, &options);
	totals = wwh_plan_totals(plan);
	assert_int_equal(totals->moves, wwh_fleet_job_count(view));
	assert_int_equal(totals->again, 0);
	assert_int_equal(totals->stranded, 0);
	wwh_plan_delete(plan);
	wwh_fleet_view_delete(view);
}

/* Peachtree would wait for its jobs, Bounce Meitheal would rather not. */
static void the_weights_choose_between_waiting_and_moving(void **unused)
{
	fleet_fixture_t fixture = fleet_fixture_peachtree();
	wwh_fleet_view_t *view = fleet_fixture_view(&fixture);
	wwh_plan_options_t options;
	wwh_plan_t *plan;

	(void)unused;
	fleet_fixture_jobs(view, 3, 20 * MINUTE_MS);
	wwh_fleet_view_seal(view);
	wwh_plan_options_defaults(&options);
	options.move_weight = 10;
	plan = wwh_plan_new(view, &options);
	assert_int_equal(wwh_plan_totals(plan)->moves, 0);
	wwh_plan_delete(plan);
	options.move_weight = 1;
	options.buffer_weight = 30;
	assert_int_equal(wwh_plan_wait_ms(view, 1, &options), 0);
	options.drain_limit_ms = 19 * MINUTE_MS;
	options.move_weight = 1000;
	assert_int_equal(wwh_plan_wait_ms(view, 1, &options), 0);
	wwh_fleet_view_delete(view);
}

/*
 * A rack of the pool has failed. What may still be taken out shrinks by as
 * many, so that the loss of a second rack would stay within the budget.
 */
static void failures_leave_less_room(void **unused)
{
	fleet_fixture_t fixture = fleet_fixture_bounce();
	wwh_fleet_view_t *view = fleet_fixture_view(&fixture);
	wwh_capacity_t capacity;

	(void)unused;
	wwh_fleet_view_seal(view);
	capacity = wwh_capacity_of(view, 0);
	assert_int_equal(capacity.limit, 4);
	assert_int_equal(capacity.reserve_workers, 1);
	assert_int_equal(capacity.room, 3);
	assert_int_equal(capacity.binding, WWH_CONSTRAINT_RESERVE);
	assert_true(capacity.survives);
	for (int32_t i = 0; i < 3; i++)
		wwh_fleet_worker(view, wwh_fleet_member(view, 0, i))->state =
			WWH_FLEET_FAILED;
	capacity = wwh_capacity_of(view, 0);
	assert_int_equal(capacity.failed, 3);
	assert_int_equal(capacity.room, 0);
	assert_true(capacity.survives);
	wwh_fleet_worker(view, wwh_fleet_member(view, 0, 3))->state =
		WWH_FLEET_OUT;
	capacity = wwh_capacity_of(view, 0);
	assert_true(capacity.holds);
	assert_false(capacity.survives);
	assert_int_equal(capacity.held_back, 2);
	wwh_fleet_view_delete(view);
}

static void a_smaller_reserve_is_shown_with_its_risk(void **unused)
{
	fleet_fixture_t fixture = fleet_fixture_bounce();
	wwh_capacity_option_t options[WWH_DOMAIN_COUNT];
	wwh_fleet_view_t *view;
	char *json;
	char *text;

	(void)unused;
	fixture.racks_by_pool = true;
	fixture.workers = 80; /* four racks a pool */
	fixture.rule.lose_count = 6;
	view = fleet_fixture_view(&fixture);
	wwh_fleet_view_seal(view);
	wwh_capacity_options(view, 0, options);
	assert_int_equal(options[WWH_DOMAIN_RACK].held_back, 5);
	assert_int_equal(options[WWH_DOMAIN_RACK].out_at_once, 2);
	assert_int_equal(
		options[WWH_DOMAIN_RACK].breach_workers[WWH_DOMAIN_RACK], 0);
	assert_int_equal(options[WWH_DOMAIN_WORKER].held_back, 2);
	assert_int_equal(options[WWH_DOMAIN_WORKER].out_at_once, 5);
	assert_int_equal(
		options[WWH_DOMAIN_WORKER].breach_workers[WWH_DOMAIN_RACK], 3);
	text = wwh_capacity_text(view);
	assert_non_null(strstr(text, "reserve worker: 3 fewer held back; then "
				     "a rack's failure in a full wave breaks "
				     "the budget by 3"));
	json = wwh_capacity_json(view);
	assert_non_null(strstr(json, "\"held_back_for\" : \"rack\""));
	g_free(text);
	g_free(json);
	wwh_fleet_view_delete(view);
}

static void limits_of_racks_and_zones_bind(void **unused)
{
	fleet_fixture_t fixture = fleet_fixture_bounce();
	wwh_fleet_view_t *view;
	wwh_pool_budget_t *tally;

	(void)unused;
	fixture.racks_by_pool = true;
	fixture.workers = 80;
	fixture.rule.lose_count = 8;
	fixture.rule.lose_percent = 50;
	fixture.rule.lose_per_rack = 2;
	view = fleet_fixture_view(&fixture);
	wwh_fleet_view_seal(view);
	tally = wwh_pool_budget_new(view, 0);
	wwh_pool_budget_mark_out(tally, wwh_fleet_member(view, 0, 0));
	wwh_pool_budget_mark_out(tally, wwh_fleet_member(view, 0, 1));
	assert_int_equal(
		wwh_pool_budget_allows(tally, wwh_fleet_member(view, 0, 2)),
		WWH_CONSTRAINT_LOSE_PER_RACK);
	assert_int_equal(
		wwh_pool_budget_allows(tally, wwh_fleet_member(view, 0, 4)),
		WWH_CONSTRAINT_NONE);
	wwh_pool_budget_mark_out(tally, wwh_fleet_member(view, 0, 2));
	assert_false(wwh_pool_budget_is_met(tally));
	wwh_pool_budget_delete(tally);
	wwh_fleet_view_delete(view);
}

static void windows_open_by_weekday_and_past_midnight(void **unused)
{
	/* 1970-01-05 is a Monday: minute 4 * 1440 of the epoch. */
	const int64_t monday_ms = 4 * 1440 * MINUTE_MS;
	const wwh_window_t windows[] = {
		{ .pool = (char *)"*",
		  .days = 1,
		  .start_minute = 23 * 60,
		  .duration_minutes = 120 },
	};

	(void)unused;
	assert_true(wwh_window_is_open(NULL, 0, "p", 0));
	assert_false(wwh_window_is_open(windows, 1, "p", monday_ms));
	assert_true(wwh_window_is_open(windows, 1, "p",
				       monday_ms + 23 * 60 * MINUTE_MS));
	assert_true(wwh_window_is_open(windows, 1, "p",
				       monday_ms + 25 * 60 * MINUTE_MS - 1));
	assert_false(wwh_window_is_open(windows, 1, "p",
					monday_ms + 25 * 60 * MINUTE_MS));
	/* 150 minutes of work: the rest is done a week later. */
	assert_int_equal(wwh_window_end_of_work(windows, 1, "p", monday_ms,
						150 * MINUTE_MS),
			 monday_ms + (7 * 1440 + 23 * 60 + 30) * MINUTE_MS);
}

static void the_target_is_planned_whole(void **unused)
{
	fleet_fixture_t fixture = fleet_fixture_target();
	wwh_fleet_view_t *view = fleet_fixture_view(&fixture);
	wwh_plan_options_t options;
	int64_t start_us;
	wwh_plan_t *plan;
	char *json;
	char *text;

	(void)unused;
	fleet_fixture_jobs(view, 4, 0);
	wwh_fleet_view_seal(view);
	wwh_plan_options_defaults(&options);
	start_us = g_get_monotonic_time();
	plan = wwh_plan_new(view, &options);
	print_message("planned 5,100 workers in %d us\n",
		      (int)(g_get_monotonic_time() - start_us));
	assert_int_equal(wwh_plan_totals(plan)->workers, 5100);
	assert_int_equal(wwh_plan_totals(plan)->blocked_pools, 0);
	text = wwh_plan_text(plan, view);
	assert_non_null(strstr(text, "workers 5100, skipped 0"));
	json = wwh_plan_json(plan, view);
	assert_non_null(strstr(json, "\"out_at_once\""));
	g_free(text);
	g_free(json);
	wwh_plan_delete(plan);
	wwh_fleet_view_delete(view);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_worker_has_one_turn_within_the_budget),
		cmocka_unit_test(jobs_move_once_onto_maintained_workers),
		cmocka_unit_test(the_weights_choose_between_waiting_and_moving),
		cmocka_unit_test(failures_leave_less_room),
		cmocka_unit_test(a_smaller_reserve_is_shown_with_its_risk),
		cmocka_unit_test(limits_of_racks_and_zones_bind),
		cmocka_unit_test(windows_open_by_weekday_and_past_midnight),
		cmocka_unit_test(the_target_is_planned_whole),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
