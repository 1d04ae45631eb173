/*
 * Tasks and the crashes of their upstreams.
 */

#include "test_scheduler.h"

/* Longer than a scheduler waits for the last answer of a crashed upstream. */
#define FINAL_REPORT_MS 200

/* Time from a start to the crash that it causes. */
#define CRASH_DELAY_MS 10

/* Upstreams that may crash under one task: three, and two more starts. */
#define MAX_CRASHES 5

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

/*
 * The upstream of the newest start confirms it, crashes, and is back under
 * another id.
 */
static void crash_newest_start(sched_fixture_t *fixture)
{
	sched_fixture_order_t order =
		*sched_fixture_order(fixture->starts, fixture->starts->len - 1);
	char *next = g_strdup_printf("%s-", order.upstream);
	char *endpoint = g_strdup_printf("10.0.1.%u:1", fixture->starts->len);

	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_run(fixture, CRASH_DELAY_MS);
	wwh_scheduler_upstream_terminated(fixture->scheduler, order.upstream,
					  WWH_TERMINATION_CRASH, "down",
					  fixture->now_ms);
	sched_fixture_run(fixture, FINAL_REPORT_MS);
	sched_fixture_announce(fixture, next, endpoint, false);
	sched_fixture_run(fixture, 1);
	sched_fixture_answer_poll(fixture, next, NULL, 0, NULL, 0);
	sched_fixture_make_durable(fixture);
	g_free(endpoint);
	g_free(next);
}

/* Lets time pass until the next start or for 5 s. Returns whether one came. */
static bool await_start(sched_fixture_t *fixture, guint before)
{
	for (int32_t i = 0; i < 100 && fixture->starts->len == before; i++) {
		sched_fixture_run(fixture, 50);
		answer_all_but(fixture, "");
		sched_fixture_make_durable(fixture);
	}
	return fixture->starts->len > before;
}

/* Guards against a task that is started without limit while it crashes hosts. */
void a_task_that_crashes_its_upstreams_is_given_up(void **state)
{
	sched_fixture_t *fixture = *state;
	guint crashes = 0;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	while (crashes < 2 * MAX_CRASHES && await_start(fixture, crashes)) {
		crash_newest_start(fixture);
		crashes++;
	}
	assert_in_range(crashes, 2, MAX_CRASHES);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_FAILED);
}

/* Guards against crashes that are forgotten when the holder changes. */
void crashes_are_counted_across_changes_of_holder(void **state)
{
	sched_fixture_t *fixture = *state;
	guint crashes = 0;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	while (crashes < 2 * MAX_CRASHES && await_start(fixture, crashes)) {
		crash_newest_start(fixture);
		crashes++;
		sched_fixture_take_over(fixture);
		sched_fixture_announce(fixture, "u2", ENDPOINT_2, false);
		sched_fixture_announce(fixture, "u3", ENDPOINT_3, false);
	}
	assert_in_range(crashes, 2, MAX_CRASHES);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_FAILED);
}
