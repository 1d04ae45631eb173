/* Waves of upkeep. */

#include "duties_fixture.h"

void no_more_hosts_are_down_than_the_wave_allows(void **state)
{
	crew_t *crew = *state;

	crew_wave(crew, 3, 2);
	crew_run(crew, 1);
	assert_int_equal(crew->lists, 1);
	crew_hosts(crew, 3, false, WWH_HOST_UP);
	crew_run(crew, 1);
	assert_int_equal(crew->upkeeps->len, 2);
	/* an order without an answer may have been carried out */
	wwh_host_duties_handle_upkeep_result(
		crew->duties, "h1", WAVE, WWH_DUTY_UNKNOWN, crew->rig->now_ms);
	crew_run(crew, 100);
	assert_int_equal(crew->upkeeps->len, 2);
}

/* A wave is complete when all its hosts are done and that is durable. */
void a_wave_is_said_to_be_complete_once_it_is_durable(void **state)
{
	crew_t *crew = *state;

	crew_wave(crew, 2, 2);
	crew_run(crew, 1);
	assert_int_equal(crew->active, 0);
	crew_hosts(crew, 2, false, WWH_HOST_UP);
	crew_run(crew, 1);
	assert_int_equal(crew->active, 1);
	wwh_host_duties_handle_upkeep_result(crew->duties, "h1", WAVE,
					     WWH_DUTY_DONE, crew->rig->now_ms);
	crew_run(crew, 1);
	assert_int_equal(crew->completed, 0);
	wwh_host_duties_handle_upkeep_result(crew->duties, "h2", WAVE,
					     WWH_DUTY_DONE, crew->rig->now_ms);
	crew_run(crew, 1);
	crew_run(crew, 1);
	assert_int_equal(crew->completed, 0);
	wwh_host_duties_set_durable(crew->duties, crew->record);
	crew_run(crew, 1);
	crew_run(crew, 1);
	assert_int_equal(crew->completed, 1);
}

void a_host_that_was_removed_is_not_waited_for(void **state)
{
	crew_t *crew = *state;

	crew_wave(crew, 2, 2);
	crew_run(crew, 1);
	crew_host(crew, "h1", SCHED_FIXTURE_POOL, NULL, WWH_HOST_UP);
	crew_listed(crew);
	crew_run(crew, 1);
	wwh_host_duties_handle_upkeep_result(crew->duties, "h1", WAVE,
					     WWH_DUTY_DONE, crew->rig->now_ms);
	for (int32_t i = 0; i < 4; i++) {
		wwh_host_duties_set_durable(crew->duties, crew->record);
		assert_int_equal(crew->completed, 0);
		crew_run(crew, 600);
		crew_host(crew, "h1", SCHED_FIXTURE_POOL, NULL, WWH_HOST_UP);
		crew_listed(crew);
	}
	crew_run(crew, 1);
	wwh_host_duties_set_durable(crew->duties, crew->record);
	crew_run(crew, 1);
	assert_int_equal(crew->completed, 1);
}

/*
 * The holder before had the host maintained, and ended before that was
 * durable. The next one orders it again and is told 200, as it is done. It
 * took all that ran there for ended, and started the tasks a second time
 * beside themselves.
 */
void an_upkeep_that_was_done_before_ends_no_task(void **state)
{
	crew_t *crew = *state;
	wwh_running_task_t running;

	sched_fixture_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	sched_fixture_submit(crew->rig, sched_fixture_job(JOB_A, 1, 1000));
	running = sched_fixture_running_row(
		sched_fixture_order(crew->rig->starts, 0), 10);
	sched_fixture_run(crew->rig, 100);
	sched_fixture_answer_poll(crew->rig, "u1", &running, 1, NULL, 0);
	crew_wave(crew, 1, 1);
	crew_run(crew, 1);
	crew_hosts(crew, 1, true, WWH_HOST_UP);
	crew_run(crew, 1);
	crew_run(crew, 3000);
	crew_hosts(crew, 1, true, WWH_HOST_UP);
	crew_run(crew, 1);
	assert_int_equal(crew->upkeeps->len, 1);
	wwh_host_duties_handle_upkeep_result(crew->duties, "h1", WAVE,
					     WWH_DUTY_DONE, crew->rig->now_ms);
	assert_int_equal(
		wwh_scheduler_counts(crew->rig->scheduler).tasks_outstanding,
		1);
	sched_fixture_run(crew->rig, 100);
	assert_int_equal(crew->rig->starts->len, 1);
	/* listed as up with the same life: it gets work again */
	crew_run(crew, 2500);
	crew_hosts(crew, 1, true, WWH_HOST_UP);
	assert_false(wwh_scheduler_upstream_load(crew->rig->scheduler, "u1")
			     .cordoned);
}

/*
 * A wave comes while a turn needs each host of the pool. Hosts were emptied
 * for it at once, callers waited, and the wave had 50 s left. It waits for
 * the turn to end now, but not for ever.
 */
void a_wave_with_time_left_spares_a_pool_that_is_short(void **state)
{
	crew_t *crew = *state;

	wwh_host_duties_set_pool(crew->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(crew->duties, "rest", true);
	sched_fixture_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	sched_fixture_submit(crew->rig, sched_fixture_job(JOB_A, 60, 1000));
	crew_wave(crew, 1, 1);
	crew_run(crew, 1);
	crew_hosts(crew, 1, true, WWH_HOST_UP);
	for (int32_t i = 0; i < 5; i++)
		crew_run(crew, 1000);
	assert_int_equal(crew->upkeeps->len, 0);
	assert_false(wwh_scheduler_upstream_load(crew->rig->scheduler, "u1")
			     .cordoned);
	for (int32_t i = 0; i < 45; i++)
		crew_run(crew, 1000);
	assert_int_equal(crew->upkeeps->len, 1);
}

/*
 * A wave names a host that has been removed. No list shows its pool; the
 * holder crashed when it looked for one, and so did each after it.
 */
void a_host_that_no_list_shows_has_no_pool(void **state)
{
	crew_t *crew = *state;

	wwh_host_duties_set_pool(crew->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(crew->duties, "rest", true);
	crew_wave(crew, 2, 1);
	crew_run(crew, 1);
	crew_host(crew, "h1", SCHED_FIXTURE_POOL, NULL, WWH_HOST_UP);
	crew_listed(crew);
	crew_run(crew, 1);
	assert_int_equal(crew->upkeeps->len, 1);
	/* the wave has named it now, and each run looks at it */
	crew_run(crew, 1);
	assert_int_equal(crew->upkeeps->len, 1);
}

/*
 * Hosts take orders of one holder at a time: a new holder waits as long as
 * orders of the one before may still be on their way.
 */
void a_new_holder_waits_before_its_first_order(void **state)
{
	crew_t *crew = *state;

	crew_wave(crew, 1, 1);
	crew_run(crew, 1);
	crew_hosts(crew, 1, false, WWH_HOST_UP);
	crew_run(crew, 2000);
	assert_int_equal(crew->upkeeps->len, 0);
	crew_run(crew, 1100);
	assert_int_equal(crew->upkeeps->len, 1);
}

/*
 * A wave empties a host for 7 s, as a lasting task there can't be missed. Another
 * one fails there meanwhile and fits on no other host: its step has one on each.
 * The host counts for its pool all the while, so none of those at rest is called,
 * and the caller's task stays away beside room that is kept from it.
 */
void a_host_that_a_wave_empties_is_replaced(void **state)
{
	crew_t *crew = *state;
	sched_fixture_t *rig = crew->rig;
	wwh_job_t *kept = sched_fixture_job(JOB_A, 1, 1000);
	wwh_job_t *spread = sched_fixture_job("00000000000000bb", 2, 1000);
	wwh_running_task_t rows[2][2];
	int32_t counts[2] = { 0, 0 };
	wwh_ended_task_t ended;

	wwh_host_duties_set_pool(crew->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(crew->duties, "rest", true);
	sched_fixture_add_upstream(rig, "u1", "10.0.0.1:1");
	sched_fixture_add_upstream(rig, "u2", "10.0.0.2:1");
	kept->steps[0].lasting = true;
	spread->steps[0].lasting = true;
	spread->steps[0].max_per_upstream = 1;
	spread->steps[0].max_unavailable = 1;
	sched_fixture_submit(rig, kept);
	sched_fixture_submit(rig, spread);
	for (guint i = 0; i < 3; i++) {
		const sched_fixture_order_t *order =
			sched_fixture_order(rig->starts, i);
		int32_t at = order->upstream[1] - '1';

		rows[at][counts[at]++] = sched_fixture_running_row(order, 100);
		sched_fixture_handle_start_result(rig, order, WWH_ORDER_DONE);
	}
	/* the kept one and one of the others */
	assert_int_equal(counts[0], 2);
	sched_fixture_run(rig, 500);
	sched_fixture_answer_poll(rig, "u1", rows[0], 2, NULL, 0);
	sched_fixture_answer_poll(rig, "u2", rows[1], 1, NULL, 0);
	crew_wave(crew, 1, 1);
	crew_run(crew, 1);
	crew_host(crew, "h3", "rest", NULL, WWH_HOST_UP);
	crew_hosts(crew, 2, true, WWH_HOST_UP);
	crew_run(crew, 1);
	assert_true(wwh_scheduler_upstream_load(rig->scheduler, "u1").cordoned);
	sched_fixture_run(rig, 500);
	ended = sched_fixture_ended_row(sched_fixture_order(rig->starts, 1), 1,
					WWH_END_FAILED);
	if (strcmp(rows[0][1].task, ended.task) != 0)
		ended = sched_fixture_ended_row(
			sched_fixture_order(rig->starts, 2), 1, WWH_END_FAILED);
	sched_fixture_answer_poll(rig, "u1", rows[0], 1, &ended, 1);
	for (int32_t i = 0; i < 10; i++) {
		wwh_host_duties_list_begin(crew->duties);
		crew_host(crew, "h3", "rest", NULL, WWH_HOST_UP);
		crew_hosts(crew, 2, true, WWH_HOST_UP);
		sched_fixture_run(rig, 500);
		sched_fixture_answer_poll(rig, "u1", rows[0], 1, NULL, 0);
		sched_fixture_answer_poll(rig, "u2", rows[1], 1, NULL, 0);
		crew_run(crew, 1);
	}
	assert_true(rig->starts->len > 3 || crew->moves->len > 0);
}
