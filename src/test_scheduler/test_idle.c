/* Rate of polls at few and at many upstreams that run no tasks. */

#include "test_scheduler.h"

#define MANY_UPSTREAMS 1500
#define FEW_UPSTREAMS 20
#define TICK_MS 20
#define DURATION_S 6
#define SECOND_MS 1000
#define MAX_POLLS_PER_S_MANY 600 /* 500 and a margin for the spread */
#define MIN_POLLS_PER_S_FEW 19 /* about one per second and upstream */

static void add_upstreams(sched_fixture_t *fixture, int32_t count)
{
	for (int32_t i = 0; i < count; i++) {
		char id[16];
		char endpoint[32];

		snprintf(id, sizeof(id), "m%d", i);
		snprintf(endpoint, sizeof(endpoint), "10.1.%d.%d:1", i / 200,
			 i % 200);
		sched_fixture_announce(fixture, id, endpoint, false);
		sched_fixture_run(fixture, 0);
		sched_fixture_answer_poll(fixture, id, NULL, 0, NULL, 0);
	}
	sched_fixture_make_durable(fixture);
}

/* Answers the polls whose wait is over; returns their number. */
static int32_t answer_expired_polls(sched_fixture_t *fixture)
{
	int32_t count = 0;

	for (guint i = fixture->polls->len; i-- > 0;) {
		sched_fixture_poll_t poll =
			g_array_index(fixture->polls, sched_fixture_poll_t, i);
		wwh_poll_answer_t answer = { .remote_ms =
						     fixture->now_ms + 5000,
					     .ended_complete = false };

		if (fixture->now_ms - poll.sent_ms < poll.wait_ms)
			continue;
		g_array_remove_index_fast(fixture->polls, i);
		wwh_scheduler_handle_poll_answer(fixture->scheduler,
						 poll.upstream, &answer,
						 poll.sent_ms, fixture->now_ms);
		count++;
	}
	return count;
}

static int32_t count_answered_polls(sched_fixture_t *fixture, int32_t seconds)
{
	int32_t count = 0;

	for (int32_t i = 0; i < seconds * SECOND_MS / TICK_MS; i++) {
		fixture->now_ms += TICK_MS;
		wwh_scheduler_run(fixture->scheduler, fixture->now_ms,
				  SCHED_FIXTURE_WALL_MS + fixture->now_ms -
					  100000);
		count += answer_expired_polls(fixture);
	}
	wwh_scheduler_check(fixture->scheduler);
	return count;
}

/*
 * Guards against a holder that spends its processor time on polls at upstreams
 * that run no tasks.
 */
void polls_of_many_idle_upstreams_are_rate_limited(void **state)
{
	sched_fixture_t *fixture = *state;

	add_upstreams(fixture, MANY_UPSTREAMS);
	(void)count_answered_polls(fixture, DURATION_S);
	assert_true(count_answered_polls(fixture, DURATION_S) <=
		    DURATION_S * MAX_POLLS_PER_S_MANY);
}

/* Guards against late detection of a termination where polls cost little. */
void few_idle_upstreams_are_polled_continuously(void **state)
{
	sched_fixture_t *fixture = *state;

	add_upstreams(fixture, FEW_UPSTREAMS);
	(void)count_answered_polls(fixture, 1);
	assert_true(count_answered_polls(fixture, DURATION_S) >=
		    DURATION_S * MIN_POLLS_PER_S_FEW);
}

/*
 * Guards against idle upstreams that get no tasks because their last answer is
 * old, and against ends that are received late because the gap between polls of
 * an idle upstream still applies.
 */
void an_idle_upstream_is_used_and_polled_at_once(void **state)
{
	sched_fixture_t *fixture = *state;

	add_upstreams(fixture, MANY_UPSTREAMS);
	for (int32_t i = 0; i < 20; i++) {
		char id[WWH_JOB_ID_CHARS + 1];
		sched_fixture_poll_t poll;

		(void)count_answered_polls(fixture, 1);
		snprintf(id, sizeof(id), "%016x", i + 1);
		sched_fixture_submit(fixture, sched_fixture_job(id, 1, 6000));
		assert_int_equal(fixture->starts->len, (guint)i + 1);
		sched_fixture_run(fixture, 1);
		poll = sched_fixture_newest_poll(
			fixture, sched_fixture_order(fixture->starts, (guint)i)
					 ->upstream);
		assert_true(fixture->now_ms - poll.sent_ms <= SECOND_MS);
		sched_fixture_handle_start_result(
			fixture, sched_fixture_order(fixture->starts, (guint)i),
			WWH_ORDER_DONE);
	}
}
