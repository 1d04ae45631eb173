/* Rate of polls at few and at many upstreams that run no tasks. */

#include "test_scheduler.h"

#define MANY_UPSTREAMS 1500
#define FEW_UPSTREAMS 20
#define TICK_MS 20
#define DURATION_S 6
#define SECOND_MS 1000
#define MAX_POLLS_PER_S_MANY 600 /* 500 and a margin for the spread */
#define MIN_POLLS_PER_S_FEW 19 /* about one per second and upstream */

static void add_upstreams(rig_t *rig, int32_t count)
{
	for (int32_t i = 0; i < count; i++) {
		char id[16];
		char endpoint[32];

		snprintf(id, sizeof(id), "m%d", i);
		snprintf(endpoint, sizeof(endpoint), "10.1.%d.%d:1", i / 200,
			 i % 200);
		rig_announce(rig, id, endpoint, false);
		rig_run(rig, 0);
		rig_answer_poll(rig, id, NULL, 0, NULL, 0);
	}
	rig_durable(rig);
}

/* Answers the polls whose wait is over; returns their number. */
static int32_t answer_expired_polls(rig_t *rig)
{
	int32_t count = 0;

	for (guint i = rig->polls->len; i-- > 0;) {
		rig_poll_t poll = g_array_index(rig->polls, rig_poll_t, i);
		wwh_poll_answer_t answer = { .remote_ms = rig->now_ms + 5000,
					     .ended_in_full = false };

		if (rig->now_ms - poll.sent_ms < poll.wait_ms)
			continue;
		g_array_remove_index_fast(rig->polls, i);
		wwh_scheduler_handle_poll_answer(rig->scheduler, poll.upstream,
						 &answer, poll.sent_ms,
						 rig->now_ms);
		count++;
	}
	return count;
}

static int32_t count_answered_polls(rig_t *rig, int32_t seconds)
{
	int32_t count = 0;

	for (int32_t i = 0; i < seconds * SECOND_MS / TICK_MS; i++) {
		rig->now_ms += TICK_MS;
		wwh_scheduler_run(rig->scheduler, rig->now_ms,
				  RIG_WALL_MS + rig->now_ms - 100000);
		count += answer_expired_polls(rig);
	}
	wwh_scheduler_check(rig->scheduler);
	return count;
}

/*
 * Guards against a holder that spends its processor time on polls at upstreams
 * that run no tasks.
 */
void polls_of_many_idle_upstreams_are_rate_limited(void **state)
{
	rig_t *rig = *state;

	add_upstreams(rig, MANY_UPSTREAMS);
	(void)count_answered_polls(rig, DURATION_S);
	assert_true(count_answered_polls(rig, DURATION_S) <=
		    DURATION_S * MAX_POLLS_PER_S_MANY);
}

/* Guards against late detection of a termination where polls cost little. */
void few_idle_upstreams_are_polled_continuously(void **state)
{
	rig_t *rig = *state;

	add_upstreams(rig, FEW_UPSTREAMS);
	(void)count_answered_polls(rig, 1);
	assert_true(count_answered_polls(rig, DURATION_S) >=
		    DURATION_S * MIN_POLLS_PER_S_FEW);
}

/*
 * Guards against idle upstreams that get no tasks because their last answer is
 * old, and against ends that are received late because the gap between polls of
 * an idle upstream still applies.
 */
void an_idle_upstream_is_used_and_polled_at_once(void **state)
{
	rig_t *rig = *state;

	add_upstreams(rig, MANY_UPSTREAMS);
	for (int32_t i = 0; i < 20; i++) {
		char id[WWH_JOB_ID_CHARS + 1];
		rig_poll_t poll;

		(void)count_answered_polls(rig, 1);
		snprintf(id, sizeof(id), "%016x", i + 1);
		rig_submit(rig, rig_job(id, 1, 6000));
		assert_int_equal(rig->starts->len, (guint)i + 1);
		rig_run(rig, 1);
		poll = rig_poll_of(rig,
				   rig_order(rig->starts, (guint)i)->upstream);
		assert_true(rig->now_ms - poll.sent_ms <= SECOND_MS);
		rig_start_ended(rig, rig_order(rig->starts, (guint)i),
				WWH_ORDER_DONE);
	}
}
