/* Clocks of upstreams that an answer gives wrongly, or not at all. */

#include "test_scheduler.h"

#define SINCE_START_MS 1000000

static void answer_with_clock(sched_fixture_t *fixture,
			      const wwh_running_task_t *row, int64_t remote_ms)
{
	sched_fixture_poll_t poll = sched_fixture_pop_poll(fixture, "u1");
	wwh_poll_answer_t answer = { .remote_ms = remote_ms,
				     .running = row,
				     .running_count = 1,
				     .ended_complete = true };

	wwh_scheduler_handle_poll_answer(fixture->scheduler, "u1", &answer,
					 poll.sent_ms, fixture->now_ms);
	wwh_scheduler_check(fixture->scheduler);
	sched_fixture_run(fixture, 100);
}

/* Returns after how long the task is started again; -1: never. */
static int64_t silence_until_next_start(sched_fixture_t *fixture)
{
	guint before = fixture->starts->len;
	int64_t limit_ms = 4 * fixture->options.lease_max_ms;

	for (int64_t ms = 0; ms < limit_ms; ms += 10) {
		sched_fixture_run(fixture, 10);
		for (guint i = fixture->polls->len; i > 0; i--) {
			const sched_fixture_poll_t *poll = &g_array_index(
				fixture->polls, sched_fixture_poll_t, i - 1);

			if (strcmp(poll->upstream, "u2") == 0) {
				sched_fixture_answer_poll(fixture, "u2", NULL,
							  0, NULL, 0);
				continue;
			}
			(void)sched_fixture_pop_poll(fixture, "u1");
			wwh_scheduler_handle_poll_failure(
				fixture->scheduler, "u1", WWH_REACH_SILENT,
				fixture->now_ms);
		}
		if (fixture->starts->len > before)
			return ms;
	}
	return -1;
}

/*
 * The upstream answers with the odd clock once, rightly once, and falls silent. A
 * negative clock is ahead of the right one.
 */
static int64_t start_again_ms(int64_t odd_clock_ms, bool inherited)
{
	sched_fixture_t *fixture = sched_fixture_new();
	sched_fixture_order_t order;
	wwh_running_task_t row;
	int64_t took_ms;

	fixture->now_ms += SINCE_START_MS;
	sched_fixture_add_upstream(fixture, "u1", ENDPOINT_1);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	if (inherited) {
		sched_fixture_make_durable(fixture);
		sched_fixture_take_over(fixture);
		sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	}
	sched_fixture_run(fixture, 100);
	row = sched_fixture_running_row(&order, 10);
	answer_with_clock(fixture, &row,
			  odd_clock_ms >= 0
				  ? odd_clock_ms
				  : fixture->now_ms + 5000 - odd_clock_ms);
	answer_with_clock(fixture, &row, fixture->now_ms + 5000);
	assert_int_equal(fixture->starts->len, 1);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	took_ms = silence_until_next_start(fixture);
	sched_fixture_delete(fixture);
	return took_ms;
}

/*
 * Guards against tasks that are never started again, or while they still run:
 * their lease was reckoned by a clock that one answer gave wrongly.
 */
void an_odd_clock_moves_no_lease(void **state)
{
	static const int64_t clocks[] = {
		0,     1,    INT64_C(500000000), INT64_C(1000000000000000),
		-4000, -8000
	};
	const wwh_scheduler_options_t options =
		wwh_scheduler_options_defaults();

	(void)state;
	for (size_t i = 0; i < 2 * G_N_ELEMENTS(clocks); i++) {
		int64_t clock_ms = clocks[i / 2];
		int64_t took_ms = start_again_ms(clock_ms, i % 2 == 1);

		if (took_ms < options.lease_ms ||
		    took_ms > 2 * options.lease_max_ms)
			fail_msg(
				"clock %" G_GINT64_FORMAT
				", inherited %zu: again after %" G_GINT64_FORMAT
				" ms",
				clock_ms, i % 2, took_ms);
	}
}

/*
 * Guards against the longest lease being assumed, and recorded, of all upstreams
 * whose answers a frozen process reads late.
 */
void an_answer_that_is_read_late_is_no_odd_clock(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order;
	wwh_running_task_t row;
	int64_t remote_ms;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_run(fixture, 100);
	row = sched_fixture_running_row(&order, 10);
	answer_with_clock(fixture, &row, fixture->now_ms + 5000);
	remote_ms = fixture->now_ms + 5000;
	fixture->now_ms += 4000;
	answer_with_clock(fixture, &row, remote_ms);
	answer_with_clock(fixture, &row, fixture->now_ms + 5000);
	assert_null(strstr(fixture->events->str, "upstream-clock"));
}
