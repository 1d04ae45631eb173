/* Tests of upkeep waves. */

#include "duties_fixture.h"

void no_more_hosts_are_down_than_the_wave_allows(void **state)
{
	duties_fixture_t *fixture = *state;

	duties_fixture_add_wave(fixture, 3, 2);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->lists_requested, 1);
	duties_fixture_list_hosts(fixture, 3, false, WWH_HOST_UP);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->upkeeps->len, 2);
	/* an order without an answer may take effect */
	wwh_host_duties_handle_upkeep_result(fixture->duties, "h1", WAVE,
					     WWH_DUTY_UNKNOWN,
					     fixture->sched->now_ms);
	duties_fixture_run(fixture, 100);
	assert_int_equal(fixture->upkeeps->len, 2);
}

/* A wave is complete when all its hosts are done and the record is durable. */
void a_wave_is_reported_complete_once_its_record_is_durable(void **state)
{
	duties_fixture_t *fixture = *state;

	duties_fixture_add_wave(fixture, 2, 2);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->active_reports, 0);
	duties_fixture_list_hosts(fixture, 2, false, WWH_HOST_UP);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->active_reports, 1);
	wwh_host_duties_handle_upkeep_result(fixture->duties, "h1", WAVE,
					     WWH_DUTY_DONE,
					     fixture->sched->now_ms);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->completed_reports, 0);
	wwh_host_duties_handle_upkeep_result(fixture->duties, "h2", WAVE,
					     WWH_DUTY_DONE,
					     fixture->sched->now_ms);
	duties_fixture_run(fixture, 1);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->completed_reports, 0);
	wwh_host_duties_set_durable(fixture->duties, fixture->last_record);
	duties_fixture_run(fixture, 1);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->completed_reports, 1);
}

void a_removed_host_is_not_waited_for(void **state)
{
	duties_fixture_t *fixture = *state;

	duties_fixture_add_wave(fixture, 2, 2);
	duties_fixture_run(fixture, 1);
	duties_fixture_list_host(fixture, "h1", SCHED_FIXTURE_POOL, NULL,
				 WWH_HOST_UP);
	duties_fixture_end_list(fixture);
	duties_fixture_run(fixture, 1);
	wwh_host_duties_handle_upkeep_result(fixture->duties, "h1", WAVE,
					     WWH_DUTY_DONE,
					     fixture->sched->now_ms);
	for (int32_t i = 0; i < 4; i++) {
		wwh_host_duties_set_durable(fixture->duties,
					    fixture->last_record);
		assert_int_equal(fixture->completed_reports, 0);
		duties_fixture_run(fixture, 600);
		duties_fixture_list_host(fixture, "h1", SCHED_FIXTURE_POOL,
					 NULL, WWH_HOST_UP);
		duties_fixture_end_list(fixture);
	}
	duties_fixture_run(fixture, 1);
	wwh_host_duties_set_durable(fixture->duties, fixture->last_record);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->completed_reports, 1);
}

/*
 * The previous holder had the upkeep done and ended before the record was
 * durable. The next holder orders it again and gets status 200, as it is
 * already done. It took all tasks there as ended and started them a second
 * time while they ran.
 */
void a_repeated_upkeep_order_ends_no_task(void **state)
{
	duties_fixture_t *fixture = *state;
	wwh_running_task_t running;

	sched_fixture_add_upstream(fixture->sched, "u1", "10.0.0.1:1");
	sched_fixture_submit(fixture->sched, sched_fixture_job(JOB_A, 1, 1000));
	running = sched_fixture_running_row(
		sched_fixture_order(fixture->sched->starts, 0), 10);
	sched_fixture_run(fixture->sched, 100);
	sched_fixture_answer_poll(fixture->sched, "u1", &running, 1, NULL, 0);
	duties_fixture_add_wave(fixture, 1, 1);
	duties_fixture_run(fixture, 1);
	duties_fixture_list_hosts(fixture, 1, true, WWH_HOST_UP);
	duties_fixture_run(fixture, 1);
	duties_fixture_run(fixture, 3000);
	duties_fixture_list_hosts(fixture, 1, true, WWH_HOST_UP);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->upkeeps->len, 1);
	wwh_host_duties_handle_upkeep_result(fixture->duties, "h1", WAVE,
					     WWH_DUTY_DONE,
					     fixture->sched->now_ms);
	assert_int_equal(wwh_scheduler_counts(fixture->sched->scheduler)
				 .tasks_outstanding,
			 1);
	sched_fixture_run(fixture->sched, 100);
	assert_int_equal(fixture->sched->starts->len, 1);
	/* listed as up with the same incarnation: it gets tasks again */
	duties_fixture_run(fixture, 2500);
	duties_fixture_list_hosts(fixture, 1, true, WWH_HOST_UP);
	assert_false(
		wwh_scheduler_upstream_load(fixture->sched->scheduler, "u1")
			.cordoned);
}

/*
 * A wave is ordered while a busy pool needs all its hosts. Guards against
 * draining hosts for it at once, so that callers wait although the wave has 50
 * s left. The wave must wait for the busy phase to end, but not beyond its own
 * time limit.
 */
void a_wave_with_slack_skips_a_pool_that_lacks_hosts(void **state)
{
	duties_fixture_t *fixture = *state;

	wwh_host_duties_set_pool(fixture->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(fixture->duties, "standby", true);
	sched_fixture_add_upstream(fixture->sched, "u1", "10.0.0.1:1");
	sched_fixture_submit(fixture->sched,
			     sched_fixture_job(JOB_A, 60, 1000));
	duties_fixture_add_wave(fixture, 1, 1);
	duties_fixture_run(fixture, 1);
	duties_fixture_list_hosts(fixture, 1, true, WWH_HOST_UP);
	for (int32_t i = 0; i < 5; i++)
		duties_fixture_run(fixture, 1000);
	assert_int_equal(fixture->upkeeps->len, 0);
	assert_false(
		wwh_scheduler_upstream_load(fixture->sched->scheduler, "u1")
			.cordoned);
	for (int32_t i = 0; i < 45; i++)
		duties_fixture_run(fixture, 1000);
	assert_int_equal(fixture->upkeeps->len, 1);
}

/*
 * Guards against an order for a second wave while no list shows the upkeep for the
 * first one yet: the answer "busy" made the host count as up, and one host too
 * many was taken down.
 */
void a_host_in_two_waves_is_ordered_for_one_at_a_time(void **state)
{
	duties_fixture_t *fixture = *state;

	duties_fixture_add_wave(fixture, 1, 2);
	duties_fixture_add_numbered_wave(fixture, WAVE + 1, 1, 2);
	duties_fixture_run(fixture, 1);
	duties_fixture_list_hosts(fixture, 1, false, WWH_HOST_UP);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->upkeeps->len, 1);
	wwh_host_duties_handle_upkeep_result(fixture->duties, "h1", WAVE,
					     WWH_DUTY_DONE,
					     fixture->sched->now_ms);
	duties_fixture_run(fixture, 1000);
	assert_int_equal(fixture->upkeeps->len, 1);
	/* back, as a list that was requested after the upkeep shows */
	fixture->expected_wave = WAVE + 1;
	duties_fixture_list_hosts(fixture, 1, false, WWH_HOST_UP);
	duties_fixture_run(fixture, 3000);
	duties_fixture_list_hosts(fixture, 1, false, WWH_HOST_UP);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->upkeeps->len, 2);
}

/* Answers the newest order of an upkeep. */
static void answer_upkeep(duties_fixture_t *fixture, wwh_duty_result_t result)
{
	const char *host =
		g_ptr_array_index(fixture->upkeeps, fixture->upkeeps->len - 1);

	wwh_host_duties_handle_upkeep_result(fixture->duties, host, WAVE,
					     result, fixture->sched->now_ms);
}

static void expect_newest_upkeep(const duties_fixture_t *fixture, guint count,
				 const char *host)
{
	assert_int_equal(fixture->upkeeps->len, count);
	assert_string_equal(g_ptr_array_index(fixture->upkeeps, count - 1),
			    host);
}

/* A list that is requested after the earliest end of an upkeep. */
static void list_hosts_later(duties_fixture_t *fixture)
{
	duties_fixture_run(fixture, 3000);
	duties_fixture_list_hosts(fixture, 2, false, WWH_HOST_UP);
	duties_fixture_run(fixture, 1);
}

/*
 * Guards against a slot that is given to another host while an order without an
 * answer may still be carried out: one host too many was taken down.
 */
void a_host_with_an_unanswered_upkeep_keeps_its_slot(void **state)
{
	static const wwh_duty_result_t results[] = {
		WWH_DUTY_UNKNOWN,  WWH_DUTY_UNKNOWN, WWH_DUTY_BUSY,
		WWH_DUTY_NOT_DONE, WWH_DUTY_DONE,
	};
	duties_fixture_t *fixture = *state;

	duties_fixture_add_wave(fixture, 2, 1);
	duties_fixture_run(fixture, 1);
	duties_fixture_list_hosts(fixture, 2, false, WWH_HOST_UP);
	duties_fixture_run(fixture, 1);
	for (guint i = 0; i < G_N_ELEMENTS(results); i++) {
		expect_newest_upkeep(fixture, i + 1, "h1");
		list_hosts_later(fixture);
		answer_upkeep(fixture, results[i]);
		duties_fixture_run(fixture, 1);
		assert_int_equal(fixture->upkeeps->len, i + 1);
		list_hosts_later(fixture);
	}
	expect_newest_upkeep(fixture, G_N_ELEMENTS(results) + 1, "h2");
}

/* Guards against a removed host that keeps the slot of its unanswered order. */
void a_removed_host_frees_its_slot(void **state)
{
	duties_fixture_t *fixture = *state;

	duties_fixture_add_wave(fixture, 2, 1);
	duties_fixture_run(fixture, 1);
	duties_fixture_list_hosts(fixture, 2, false, WWH_HOST_UP);
	duties_fixture_run(fixture, 1);
	expect_newest_upkeep(fixture, 1, "h1");
	answer_upkeep(fixture, WWH_DUTY_UNKNOWN);
	for (int32_t i = 0; i < 3; i++) {
		expect_newest_upkeep(fixture, fixture->upkeeps->len, "h1");
		duties_fixture_run(fixture, 600);
		if (i == 0)
			answer_upkeep(fixture, WWH_DUTY_UNKNOWN);
		duties_fixture_list_host(fixture, "h2", SCHED_FIXTURE_POOL,
					 NULL, WWH_HOST_UP);
		duties_fixture_end_list(fixture);
		duties_fixture_run(fixture, 1);
	}
	expect_newest_upkeep(fixture, fixture->upkeeps->len, "h2");
}

static void list_standby_host(duties_fixture_t *fixture)
{
	duties_fixture_list_host(fixture, "h1", "standby", NULL, WWH_HOST_UP);
	duties_fixture_list_host(fixture, "h9", SCHED_FIXTURE_POOL, "u9",
				 WWH_HOST_UP);
	duties_fixture_end_list(fixture);
	duties_fixture_run(fixture, 1);
}

/* Guards against a host whose upkeep was refused and that is never moved again. */
void a_host_with_a_refused_upkeep_is_moved_again(void **state)
{
	duties_fixture_t *fixture = *state;

	wwh_host_duties_set_pool(fixture->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(fixture->duties, "standby", true);
	sched_fixture_add_upstream(fixture->sched, "u9", "10.0.0.9:1");
	sched_fixture_submit(fixture->sched, sched_fixture_job(JOB_A, 1, 1000));
	duties_fixture_add_wave(fixture, 1, 1);
	duties_fixture_run(fixture, 1);
	list_standby_host(fixture);
	expect_newest_upkeep(fixture, 1, "h1");
	answer_upkeep(fixture, WWH_DUTY_REFUSED);
	sched_fixture_submit(fixture->sched,
			     sched_fixture_job("00000000000000bb", 60, 1000));
	duties_fixture_run(fixture, 600);
	list_standby_host(fixture);
	assert_int_equal(fixture->moves->len, 1);
}

/*
 * A wave names a host that was removed, so no list shows its pool. The holder
 * crashed on the lookup of that pool, and so did each holder after it.
 */
void an_unlisted_host_has_no_pool(void **state)
{
	duties_fixture_t *fixture = *state;

	wwh_host_duties_set_pool(fixture->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(fixture->duties, "standby", true);
	duties_fixture_add_wave(fixture, 2, 1);
	duties_fixture_run(fixture, 1);
	duties_fixture_list_host(fixture, "h1", SCHED_FIXTURE_POOL, NULL,
				 WWH_HOST_UP);
	duties_fixture_end_list(fixture);
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->upkeeps->len, 1);
	/* h2 is known from the wave now, and each run checks it */
	duties_fixture_run(fixture, 1);
	assert_int_equal(fixture->upkeeps->len, 1);
}

/*
 * Hosts accept orders of one holder at a time: a new holder waits as long as
 * orders of the previous one may still be in flight.
 */
void a_new_holder_waits_before_its_first_order(void **state)
{
	duties_fixture_t *fixture = *state;

	duties_fixture_add_wave(fixture, 1, 1);
	duties_fixture_run(fixture, 1);
	duties_fixture_list_hosts(fixture, 1, false, WWH_HOST_UP);
	duties_fixture_run(fixture, 2000);
	assert_int_equal(fixture->upkeeps->len, 0);
	duties_fixture_run(fixture, 1100);
	assert_int_equal(fixture->upkeeps->len, 1);
}

/*
 * A wave drains a host for 7 s, as a lasting task there must stay available.
 * Another lasting task fails there meanwhile and fits on no other host,
 * because its step has one on each. While the drained host counted for its
 * pool, no standby host was requested, and the task stayed unavailable.
 */
void a_host_drained_for_a_wave_is_replaced(void **state)
{
	duties_fixture_t *fixture = *state;
	sched_fixture_t *sched = fixture->sched;
	wwh_job_t *single_job = sched_fixture_job(JOB_A, 1, 1000);
	wwh_job_t *spread_job = sched_fixture_job("00000000000000bb", 2, 1000);
	wwh_running_task_t rows[2][2];
	int32_t counts[2] = { 0, 0 };
	wwh_ended_task_t ended;

	wwh_host_duties_set_pool(fixture->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(fixture->duties, "standby", true);
	sched_fixture_add_upstream(sched, "u1", "10.0.0.1:1");
	sched_fixture_add_upstream(sched, "u2", "10.0.0.2:1");
	single_job->steps[0].lasting = true;
	spread_job->steps[0].lasting = true;
	spread_job->steps[0].max_per_upstream = 1;
	spread_job->steps[0].max_unavailable = 1;
	sched_fixture_submit(sched, single_job);
	sched_fixture_submit(sched, spread_job);
	for (guint i = 0; i < 3; i++) {
		const sched_fixture_order_t *order =
			sched_fixture_order(sched->starts, i);
		int32_t at = order->upstream[1] - '1';

		rows[at][counts[at]++] = sched_fixture_running_row(order, 100);
		sched_fixture_handle_start_result(sched, order, WWH_ORDER_DONE);
	}
	/* u1 has the job that must stay available and one task of the other */
	assert_int_equal(counts[0], 2);
	sched_fixture_run(sched, 500);
	sched_fixture_answer_poll(sched, "u1", rows[0], 2, NULL, 0);
	sched_fixture_answer_poll(sched, "u2", rows[1], 1, NULL, 0);
	duties_fixture_add_wave(fixture, 1, 1);
	duties_fixture_run(fixture, 1);
	duties_fixture_list_host(fixture, "h3", "standby", NULL, WWH_HOST_UP);
	duties_fixture_list_hosts(fixture, 2, true, WWH_HOST_UP);
	duties_fixture_run(fixture, 1);
	assert_true(
		wwh_scheduler_upstream_load(sched->scheduler, "u1").cordoned);
	sched_fixture_run(sched, 500);
	ended = sched_fixture_ended_row(sched_fixture_order(sched->starts, 1),
					1, WWH_END_FAILED);
	if (strcmp(rows[0][1].task, ended.task) != 0)
		ended = sched_fixture_ended_row(
			sched_fixture_order(sched->starts, 2), 1,
			WWH_END_FAILED);
	sched_fixture_answer_poll(sched, "u1", rows[0], 1, &ended, 1);
	for (int32_t i = 0; i < 10; i++) {
		wwh_host_duties_list_begin(fixture->duties);
		duties_fixture_list_host(fixture, "h3", "standby", NULL,
					 WWH_HOST_UP);
		duties_fixture_list_hosts(fixture, 2, true, WWH_HOST_UP);
		sched_fixture_run(sched, 500);
		sched_fixture_answer_poll(sched, "u1", rows[0], 1, NULL, 0);
		sched_fixture_answer_poll(sched, "u2", rows[1], 1, NULL, 0);
		duties_fixture_run(fixture, 1);
	}
	assert_true(sched->starts->len > 3 || fixture->moves->len > 0);
}

/*
 * Guards against one host too many in upkeep: the list from which a new holder
 * counts them was requested while the previous holder might still give orders.
 */
void upkeeps_begin_with_a_list_requested_after_they_were_held(void **state)
{
	duties_fixture_t *fixture = *state;

	wwh_host_duties_hold_upkeeps(fixture->duties, true);
	duties_fixture_add_wave(fixture, 2, 1);
	duties_fixture_run(fixture, 1);
	duties_fixture_list_hosts(fixture, 2, false, WWH_HOST_UP);
	duties_fixture_run(fixture, 400);
	wwh_host_duties_hold_upkeeps(fixture->duties, false);
	duties_fixture_run(fixture, 20);
	assert_int_equal(fixture->upkeeps->len, 0);
	duties_fixture_run(fixture, 500);
	assert_int_equal(fixture->lists_requested, 2);
	/* the previous holder's last order */
	duties_fixture_list_hosts(fixture, 2, false, WWH_HOST_UPKEEP);
	duties_fixture_run(fixture, 20);
	assert_int_equal(fixture->upkeeps->len, 0);
}
