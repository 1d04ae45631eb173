/*
 * Tasks and the crashes of their upstreams.
 */

#include "test_scheduler.h"

/* Longer than a scheduler waits for the last answer of a crashed upstream. */
#define FINAL_REPORT_MS 200

/* Guards against a crash that the log doesn't attribute to the runs it ended. */
void a_lost_run_is_logged_with_its_age_and_cause(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	wwh_running_task_t running;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	running = sched_fixture_running_row(&order, 10);
	sched_fixture_run(fixture, 100);
	sched_fixture_answer_poll(fixture, "u1", &running, 1, NULL, 0);
	sched_fixture_run(fixture, 250);
	sched_fixture_answer_poll(fixture, "u1", &running, 1, NULL, 0);
	sched_fixture_run(fixture, 10);
	wwh_scheduler_upstream_terminated(fixture->scheduler, "u1",
					  WWH_TERMINATION_CRASH, "down",
					  fixture->now_ms);
	sched_fixture_run(fixture, FINAL_REPORT_MS);
	assert_non_null(strstr(fixture->events->str,
			       "run-lost " JOB_A ".0.0.0 run=1 upstream=u1 "
			       "why=down termination=crash accepted=1 "
			       "since_start_ms=360 min_age_ms=350"));
	assert_int_equal(
		wwh_scheduler_counts(fixture->scheduler).crashed_upstreams, 1);
}

/* Guards against a host's shutdown that is counted as a crash. */
void an_upstream_that_leaves_does_not_crash(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, true);
	wwh_scheduler_upstream_terminated(fixture->scheduler, "u1",
					  WWH_TERMINATION_CRASH, "down",
					  fixture->now_ms);
	assert_non_null(strstr(fixture->events->str, "termination=ordered"));
	assert_int_equal(
		wwh_scheduler_counts(fixture->scheduler).crashed_upstreams, 0);
}
