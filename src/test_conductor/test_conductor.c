#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "../test_standins/include/fleet_sim.h"

static void run(sim_t *sim, int32_t steps)
{
	for (int32_t i = 0; i < steps; i++)
		sim_step(sim);
}

/* Until every wave has finished, at most limit steps. */
static void run_waves(sim_t *sim, int32_t limit)
{
	int32_t done;

	for (int32_t i = 0; i < limit; i++) {
		sim_step(sim);
		if (sim_waves_finished(sim, &done) ==
		    sim->options.fixture.pools)
			return;
	}
}

static void assert_clean(const sim_t *sim)
{
	assert_int_equal(sim->cut_off, 0);
	assert_int_equal(sim->out_without_grant, 0);
	assert_int_equal(sim->over_budget, 0);
	assert_int_equal(sim->double_runs, 0);
}

static void assert_waves_done(const sim_t *sim, int32_t workers)
{
	int32_t done;

	assert_int_equal(sim_waves_finished(sim, &done),
			 sim->options.fixture.pools);
	assert_int_equal(done, workers);
}

static void a_wave_maintains_each_worker_once(void **unused)
{
	fleet_fixture_t fixtures[] = { fleet_fixture_bounce(),
				       fleet_fixture_peachtree() };

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(fixtures); i++) {
		sim_options_t options = sim_options_defaults(fixtures[i]);
		sim_t sim;

		options.check_state = true;
		sim_init(&sim, &options);
		for (int32_t j = 0; j < 60; j++) {
			char id[24];

			g_snprintf(id, sizeof(id), "job%03d", j);
			sim_submit(&sim, id, j % 5, false, true);
		}
		run(&sim, 20);
		assert_int_equal(sim.runs_started, 60);
		sim_start_waves(&sim);
		run_waves(&sim, 4000);
		assert_waves_done(&sim, 50);
		assert_int_equal(sim.reboots, 50);
		assert_clean(&sim);
		run(&sim, 60);
		/* Every job runs again, and moved once at most. */
		assert_true(sim.checkpoints <= 60);
		assert_int_equal(sim.runs_started, 60 + sim.checkpoints);
		sim_finish(&sim);
	}
}

/*
 * Answers are lost after the effect, the platform refuses every fifth call,
 * and the list lags by 10 s. Operators see the same wave, only slower.
 */
static void lost_answers_repeat_nothing(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	sim_t sim;

	(void)unused;
	options.lost_answer_percent = 30;
	options.unavailable_percent = 20;
	options.check_state = true;
	sim_init(&sim, &options);
	sim_start_waves(&sim);
	run_waves(&sim, 8000);
	assert_waves_done(&sim, 50);
	assert_int_equal(sim.reboots, 50);
	assert_clean(&sim);
	sim_finish(&sim);
}

static bool has_drained(const sim_t *sim)
{
	for (int32_t w = 0; w < 50; w++) {
		if (sim->workers[w].state == WWH_WORKER_DRAINED)
			return true;
	}
	return false;
}

static bool holds_reboot(const sim_t *sim)
{
	for (int32_t p = 0; p < 2; p++) {
		const GList *item = sim->processes[p].held.head;

		for (; item; item = item->next) {
			const wwh_action_t *action = item->data;

			if (action->kind == WWH_ACTION_COMMAND &&
			    action->command == WWH_COMMAND_REBOOT)
				return true;
		}
	}
	return false;
}

/*
 * The process that conducts the wave freezes after it has decided and before
 * it sends. Another takes its leases, the operator aborts, and the workers
 * serve again. Then the first wakes up and sends what it had decided, a
 * reboot among it. The platform must refuse all of it: the worker serves.
 */
static void a_frozen_conductor_wakes_up_harmless(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	int64_t reboots;
	sim_t sim;

	(void)unused;
	options.processes = 2;
	options.check_state = true;
	sim_init(&sim, &options);
	sim_start_waves(&sim);
	for (int32_t i = 0; i < 200 && !has_drained(&sim); i++)
		sim_step(&sim);
	reboots = sim.reboots;
	sim.processes[0].hold = true;
	sim.processes[1].hold = true;
	run(&sim, 5);
	assert_true(holds_reboot(&sim));
	sim.processes[0].frozen = true;
	sim.processes[1].frozen = true;
	sim_new_process(&sim, 2);
	sim_take_over(&sim, 0, 2);
	sim_take_over(&sim, 1, 2);
	for (int32_t i = 0; i < 5; i++) {
		char id[24];

		g_snprintf(id, sizeof(id), "wave-%03d", i);
		sim_wave_verb(&sim, WWH_RECORD_WAVE_ABORT, id);
	}
	run(&sim, 200);
	for (int32_t w = 0; w < 50; w++)
		assert_int_equal(sim.workers[w].state, WWH_WORKER_UP);
	assert_int_equal(sim.reboots, reboots);
	sim.refused = 0;
	sim_release_held(&sim, 0);
	sim_release_held(&sim, 1);
	run(&sim, 30);
	assert_int_equal(sim.reboots, reboots);
	for (int32_t w = 0; w < 50; w++)
		assert_int_equal(sim.workers[w].state, WWH_WORKER_UP);
	assert_true(sim.fenced_off > 0);
	assert_clean(&sim);
	sim_finish(&sim);
}

/* A killed conductor's wave is finished by another from the log alone. */
static void another_process_finishes_the_wave(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_peachtree());
	sim_t sim;

	(void)unused;
	options.processes = 2;
	options.check_state = true;
	sim_init(&sim, &options);
	sim_start_waves(&sim);
	for (int32_t i = 0; i < 12; i++) {
		int32_t killed = i % 2;

		run(&sim, 17 + 5 * i);
		sim_drop_process(&sim, killed);
		sim_take_over(&sim, killed, 1 - killed);
		run(&sim, 3);
		sim_new_process(&sim, killed);
	}
	run_waves(&sim, 8000);
	assert_waves_done(&sim, 50);
	assert_clean(&sim);
	sim_finish(&sim);
}

/*
 * A worker doesn't come back from its reboot. The wave waits for it as long
 * as the rule says, reports it, counts it as failed, and ends without it.
 */
static void a_worker_that_never_returns_ends_as_failed(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	wwh_worker_view_t worker;
	sim_t sim;

	(void)unused;
	options.check_state = true;
	sim_init(&sim, &options);
	sim.workers[7].never_returns = true;
	sim_start_waves(&sim);
	run_waves(&sim, 8000);
	assert_waves_done(&sim, 49);
	assert_true(wwh_state_worker(sim.state, "w00007", &worker));
	assert_true(worker.failed != WWH_NO_OFFSET);
	assert_true(worker.grant == WWH_NO_OFFSET);
	assert_clean(&sim);
	sim_finish(&sim);
}

/*
 * A request hangs on a worker. It isn't rebooted: after the drain limit it is
 * given back and the wave goes on; when the request has ended meanwhile the
 * caller got its answer.
 */
static void a_request_in_progress_is_never_cut_off(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	sim_t sim;

	(void)unused;
	options.drain_limit_s = 60;
	options.check_state = true;
	sim_init(&sim, &options);
	sim.workers[3].requests = 1;
	sim_start_waves(&sim);
	run_waves(&sim, 8000);
	assert_int_equal(sim.cut_off, 0);
	assert_waves_done(&sim, 49);
	assert_int_equal(sim.workers[3].boots, 0);
	assert_int_equal(sim.workers[3].state, WWH_WORKER_UP);
	assert_clean(&sim);
	sim_finish(&sim);
}

/*
 * A rack fails in the middle of the wave, for ten minutes. The list shows it
 * 10 s later. No pool goes over its budget meanwhile: what was out and the
 * rack together fit, because the reserve was kept. The wave then ends.
 */
static void a_rack_lost_in_mid_wave_stays_in_the_budget(void **unused)
{
	(void)unused;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		sim_options_t options =
			sim_options_defaults(fleet_fixture_bounce());
		sim_t sim;

		options.seed = seed;
		options.check_state = true;
		sim_init(&sim, &options);
		sim_start_waves(&sim);
		run(&sim, 60 + 20 * (int32_t)seed);
		for (int32_t w = 0; w < 4; w++)
			sim_fail_worker(&sim, 16 + w, 600000);
		run_waves(&sim, 8000);
		run(&sim, 900);
		assert_int_equal(sim.over_budget, 0);
		assert_clean(&sim);
		for (int32_t w = 0; w < 50; w++)
			assert_int_equal(sim.workers[w].state, WWH_WORKER_UP);
		sim_finish(&sim);
	}
}

/*
 * A zone fails, which is more than the rule's reserve. The budget is broken
 * by the failure itself; the wave takes nobody out until the zone is back,
 * and then ends.
 */
static void a_zone_lost_in_mid_wave_pauses_it(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	int64_t reboots;
	int32_t done;
	sim_t sim;

	(void)unused;
	options.check_state = true;
	sim_init(&sim, &options);
	sim_start_waves(&sim);
	run(&sim, 150);
	for (int32_t w = 0; w < 50; w++) {
		if (w / 4 % 3 == 1)
			sim_fail_worker(&sim, w, 1800000);
	}
	run(&sim, 200);
	reboots = sim.reboots;
	run(&sim, 600);
	assert_int_equal(sim.reboots, reboots);
	run_waves(&sim, 12000);
	assert_int_equal(sim_waves_finished(&sim, &done), 5);
	assert_int_equal(sim.cut_off, 0);
	sim_finish(&sim);
}

/* Workers that are out under a grant of that offset or a later one. */
static int32_t granted_since(const sim_t *sim, int64_t offset)
{
	int32_t count = 0;

	for (int32_t w = 0; w < sim->options.fixture.workers; w++) {
		wwh_worker_view_t worker;

		wwh_state_worker(sim->state, sim->workers[w].id, &worker);
		count += worker.grant >= offset;
	}
	return count;
}

/*
 * The rule names the zone as the failure to survive. A zone fails whenever in
 * the wave: no pool goes over its budget, before the list shows it or after.
 */
static void a_zone_in_reserve_may_fail_at_any_time(void **unused)
{
	(void)unused;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		sim_options_t options =
			sim_options_defaults(fleet_fixture_bounce());
		sim_t sim;

		options.seed = seed;
		options.fixture.rule.lose_count = 7;
		options.fixture.rule.lose_percent = 70;
		options.fixture.rule.reserve = WWH_DOMAIN_ZONE;
		options.buffer_weight = 0;
		options.check_state = true;
		sim_init(&sim, &options);
		sim_start_waves(&sim);
		run(&sim, 31 * (int32_t)seed);
		assert_true(granted_since(&sim, 0) > 0);
		for (int32_t w = 0; w < 50; w++) {
			if (w / 4 % 3 == (int32_t)seed % 3)
				sim_fail_worker(&sim, w, 900000);
		}
		run_waves(&sim, 8000);
		assert_clean(&sim);
		sim_finish(&sim);
	}
}

/*
 * Workers of a pool fail one after another, a second apart, as when a switch
 * dies by degrees. From the first that the list shows on nobody else is taken
 * out until no further one has come for a while.
 */
static void a_wave_holds_while_failures_come(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	int64_t mark;
	sim_t sim;

	(void)unused;
	options.fixture.rule.lose_count = 10;
	options.fixture.rule.lose_percent = 100;
	options.fixture.workers = 50;
	options.fixture.pools = 1;
	options.buffer_weight = 0;
	options.check_state = true;
	sim_init(&sim, &options);
	sim_start_wave(&sim, "wave-000", 0);
	run(&sim, 75);
	for (int32_t w = 40; w < 43; w++) {
		sim_fail_worker(&sim, w, 600000);
		run(&sim, 1);
	}
	run(&sim, 8);
	assert_true(granted_since(&sim, 0) > 0);
	mark = sim.offset;
	run(&sim, 20);
	/* Some came back meanwhile, and there is room for others. */
	assert_true(granted_since(&sim, 0) < 3);
	assert_int_equal(granted_since(&sim, mark), 0);
	run(&sim, 5);
	assert_true(granted_since(&sim, mark) > 0);
	run_waves(&sim, 4000);
	assert_clean(&sim);
	sim_finish(&sim);
}

/*
 * The target: 5,100 workers in 232 pools, all waves at once, 35 failures of
 * ten minutes each while they run, the list 10 s behind.
 */
static void the_target_with_35_failures(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_target());
	int32_t done;
	sim_t sim;

	(void)unused;
	options.tick_ms = 5000;
	options.buffer_weight = 0;
	options.processes = 4;
	sim_init(&sim, &options);
	sim_start_waves(&sim);
	for (int32_t i = 0; i < 35; i++) {
		run(&sim, 3);
		sim_fail_worker(&sim, g_rand_int_range(sim.rand, 0, 5100),
				600000);
	}
	run_waves(&sim, 600);
	assert_int_equal(sim_waves_finished(&sim, &done), 232);
	/* Those that were down when their pool's wave ended are reported. */
	assert_true(done >= 5100 - 35);
	assert_clean(&sim);
	sim_finish(&sim);
}

/* The clock of the ticks is not UTC: the window opens by UTC alone. */
static void a_wave_waits_for_its_window(void **unused)
{
	const int64_t utc_offset_ms = INT64_C(86400000);
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	sim_t sim;

	(void)unused;
	options.windows = "{\"id\": \"friday\", \"pool\": \"*\", "
			  "\"days\": [\"fri\"], \"start_minute\": "
			  "\"00:30\", \"duration_minutes\": 180}";
	options.check_state = true;
	sim_init(&sim, &options);
	/* The sim begins at second 1,000 of a Thursday, or of a Friday. */
	sim_start_waves(&sim);
	run(&sim, 1000);
	assert_int_equal(sim.reboots, 0);
	wwh_conductor_set_utc(sim.processes[0].conductor, utc_offset_ms);
	run_waves(&sim, 8000);
	assert_waves_done(&sim, 50);
	assert_clean(&sim);
	sim_finish(&sim);
}

/* Two operators start waves of one pool: the second is told of the first. */
static void overlapping_waves_of_two_operators(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	sim_t sim;

	(void)unused;
	options.check_state = true;
	sim_init(&sim, &options);
	sim_start_waves(&sim);
	assert_int_equal(sim_start_wave(&sim, "other", 2), WWH_VERDICT_BUSY);
	run(&sim, 30);
	sim_wave_verb(&sim, WWH_RECORD_WAVE_PAUSE, "wave-002");
	run_waves(&sim, 4000);
	assert_int_equal(sim_start_wave(&sim, "other", 2), WWH_VERDICT_BUSY);
	sim_wave_verb(&sim, WWH_RECORD_WAVE_RESUME, "wave-002");
	run_waves(&sim, 4000);
	assert_waves_done(&sim, 50);
	assert_int_equal(sim_start_wave(&sim, "other", 2),
			 WWH_VERDICT_ACCEPTED);
	assert_clean(&sim);
	sim_finish(&sim);
}

/*
 * The log is down for an hour in mid-wave. Workers that are out are brought
 * up to where a record would be needed; nobody new is taken out. When the
 * log is back the wave ends.
 */
static void the_store_down_for_an_hour_only_delays(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	int32_t out = 0;
	sim_t sim;

	(void)unused;
	options.check_state = true;
	sim_init(&sim, &options);
	sim_start_waves(&sim);
	run(&sim, 100);
	sim.log_down = true;
	run(&sim, 3600);
	for (int32_t w = 0; w < 50; w++)
		out += sim.workers[w].state != WWH_WORKER_UP;
	assert_int_equal(out, 0);
	sim.log_down = false;
	run_waves(&sim, 8000);
	assert_waves_done(&sim, 50);
	assert_int_equal(sim.reboots, 50);
	assert_clean(&sim);
	sim_finish(&sim);
}

/*
 * The platform answers nothing for an hour in mid-wave. Nobody knows how the
 * workers are that are out; none is counted as failed for it, and none is
 * given up when it answers again.
 */
static void the_platform_silent_for_an_hour_only_delays(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	sim_t sim;

	(void)unused;
	options.check_state = true;
	sim_init(&sim, &options);
	sim_start_waves(&sim);
	for (int32_t i = 0; i < 8; i++) {
		run(&sim, 45);
		sim.platform_down = true;
		run(&sim, 450);
		sim.platform_down = false;
	}
	run_waves(&sim, 8000);
	assert_waves_done(&sim, 50);
	assert_int_equal(sim.reboots, 50);
	assert_clean(&sim);
	sim_finish(&sim);
}

/* The inventory puts a worker into another pool; one pool at any moment. */
static void a_move_takes_a_worker_from_pool_to_pool(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	wwh_worker_view_t worker;
	sim_t sim;

	(void)unused;
	options.processes = 2;
	options.check_state = true;
	sim_init(&sim, &options);
	sim_publish(&sim, 5, 3);
	run(&sim, 120);
	assert_true(wwh_state_worker(sim.state, "w00005", &worker));
	assert_string_equal(worker.pool, "pool003");
	assert_true(worker.grant == WWH_NO_OFFSET);
	assert_int_equal(sim.workers[5].state, WWH_WORKER_UP);
	assert_int_equal(sim.reboots, 0);
	assert_clean(&sim);
	sim_finish(&sim);
}

static void start_rehearsal(sim_t *sim, wwh_domain_t domain, const char *id)
{
	wwh_record_t record;

	wwh_record_init(&record, WWH_RECORD_REHEARSAL_START, "operator:sim");
	wwh_record_set(&record.body.rehearsal.rehearsal, "practice");
	record.body.rehearsal.domain = (int32_t)domain;
	wwh_record_set(&record.body.rehearsal.domain_id, id);
	assert_int_equal(sim_append(sim, &record), WWH_VERDICT_ACCEPTED);
}

static char *rehearsal_report(const sim_t *sim)
{
	char *text = NULL;

	for (int32_t i = 0; i < sim->options.processes && !text; i++)
		text = wwh_conductor_rehearsal_text(sim->processes[i].conductor,
						    "practice");
	assert_non_null(text);
	return text;
}

static void a_rack_is_rehearsed_and_given_back(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	wwh_rehearsal_view_t view;
	char *text;
	char *json;
	sim_t sim;

	(void)unused;
	options.processes = 2;
	options.check_state = true;
	sim_init(&sim, &options);
	start_rehearsal(&sim, WWH_DOMAIN_RACK, "rack0003");
	run(&sim, 40);
	for (int32_t w = 12; w < 16; w++)
		assert_int_equal(sim.workers[w].state, WWH_WORKER_DRAINED);
	run(&sim, 200);
	for (int32_t w = 0; w < 50; w++)
		assert_int_equal(sim.workers[w].state, WWH_WORKER_UP);
	assert_true(wwh_state_rehearsal(sim.state, "practice", &view));
	assert_false(view.running);
	text = rehearsal_report(&sim);
	assert_non_null(strstr(text, "of rack rack0003: passed"));
	assert_non_null(strstr(text, "lost: 4 workers of 4 pools"));
	json = wwh_conductor_rehearsal_json(sim.processes[0].conductor,
					    "practice");
	if (!json)
		json = wwh_conductor_rehearsal_json(sim.processes[1].conductor,
						    "practice");
	assert_non_null(strstr(json, "\"outcome\" : \"passed\""));
	assert_int_equal(sim.reboots, 0);
	assert_clean(&sim);
	g_free(text);
	g_free(json);
	sim_finish(&sim);
}

/* A real failure comes while the rack is out: all is given back at once. */
static void a_failure_stops_the_rehearsal(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	char *text;
	sim_t sim;

	(void)unused;
	options.check_state = true;
	sim_init(&sim, &options);
	start_rehearsal(&sim, WWH_DOMAIN_RACK, "rack0003");
	run(&sim, 40);
	sim_fail_worker(&sim, 20, 3600000);
	run(&sim, 40);
	for (int32_t w = 12; w < 16; w++)
		assert_int_equal(sim.workers[w].state, WWH_WORKER_UP);
	text = rehearsal_report(&sim);
	assert_non_null(strstr(text, "a worker failed meanwhile"));
	assert_clean(&sim);
	g_free(text);
	sim_finish(&sim);
}

/* A zone is more than the pools may lose: refused before a worker is out. */
static void a_rehearsal_beyond_the_budget_takes_nobody_out(void **unused)
{
	sim_options_t options = sim_options_defaults(fleet_fixture_bounce());
	char *text;
	sim_t sim;

	(void)unused;
	options.fixture.rule.lose_count = 3;
	sim_init(&sim, &options);
	start_rehearsal(&sim, WWH_DOMAIN_ZONE, "zone01");
	run(&sim, 30);
	for (int32_t w = 0; w < 50; w++)
		assert_int_equal(sim.workers[w].state, WWH_WORKER_UP);
	text = rehearsal_report(&sim);
	assert_non_null(strstr(text, "budget does not allow it"));
	assert_clean(&sim);
	g_free(text);
	sim_finish(&sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_wave_maintains_each_worker_once),
		cmocka_unit_test(lost_answers_repeat_nothing),
		cmocka_unit_test(a_frozen_conductor_wakes_up_harmless),
		cmocka_unit_test(another_process_finishes_the_wave),
		cmocka_unit_test(a_worker_that_never_returns_ends_as_failed),
		cmocka_unit_test(a_request_in_progress_is_never_cut_off),
		cmocka_unit_test(a_rack_lost_in_mid_wave_stays_in_the_budget),
		cmocka_unit_test(a_zone_lost_in_mid_wave_pauses_it),
		cmocka_unit_test(a_zone_in_reserve_may_fail_at_any_time),
		cmocka_unit_test(a_wave_holds_while_failures_come),
		cmocka_unit_test(the_target_with_35_failures),
		cmocka_unit_test(a_wave_waits_for_its_window),
		cmocka_unit_test(overlapping_waves_of_two_operators),
		cmocka_unit_test(the_store_down_for_an_hour_only_delays),
		cmocka_unit_test(the_platform_silent_for_an_hour_only_delays),
		cmocka_unit_test(a_move_takes_a_worker_from_pool_to_pool),
		cmocka_unit_test(a_rack_is_rehearsed_and_given_back),
		cmocka_unit_test(a_failure_stops_the_rehearsal),
		cmocka_unit_test(
			a_rehearsal_beyond_the_budget_takes_nobody_out),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
