/* Polls at upstreams that run nothing, where there are few of them and many. */

#include "test_scheduler.h"

#define MANY 1500
#define FEW 20
#define STEP_MS 20
#define SECONDS 6
#define SECOND_MS 1000
#define POLLS_PER_S_MANY 600 /* of 500, with some slack for their spread */
#define POLLS_PER_S_FEW 19 /* each about once a second */

static void add_upstreams(rig_t *rig, int32_t count)
{
	for (int32_t i = 0; i < count; i++) {
		char id[16];
		char at[32];

		snprintf(id, sizeof(id), "m%d", i);
		snprintf(at, sizeof(at), "10.1.%d.%d:1", i / 200, i % 200);
		rig_announce(rig, id, at, false);
		rig_run(rig, 0);
		rig_answer_poll(rig, id, NULL, 0, NULL, 0);
	}
	rig_durable(rig);
}

/* Answers polls that have waited in full; how many were. */
static int32_t answer_waited(rig_t *rig)
{
	int32_t count = 0;

	for (guint i = rig->polls->len; i-- > 0;) {
		rig_poll_t poll = g_array_index(rig->polls, rig_poll_t, i);
		wwh_poll_answer_t answer = { .remote_ms = rig->now_ms + 5000,
					     .ended_complete = false };

		if (rig->now_ms - poll.sent_ms < poll.wait_ms)
			continue;
		g_array_remove_index_fast(rig->polls, i);
		wwh_scheduler_polled(rig->scheduler, poll.upstream, &answer,
				     poll.sent_ms, rig->now_ms);
		count++;
	}
	return count;
}

static int32_t polls_answered(rig_t *rig, int32_t seconds)
{
	int32_t count = 0;

	for (int32_t i = 0; i < seconds * SECOND_MS / STEP_MS; i++) {
		rig->now_ms += STEP_MS;
		wwh_scheduler_run(rig->scheduler, rig->now_ms,
				  RIG_WALL_MS + rig->now_ms - 100000);
		count += answer_waited(rig);
	}
	wwh_scheduler_check(rig->scheduler);
	return count;
}

/*
 * Guards against a holder whose processor goes into polls at upstreams that run
 * nothing.
 */
void many_idle_upstreams_share_a_rate_of_polls(void **state)
{
	rig_t *rig = *state;

	add_upstreams(rig, MANY);
	(void)polls_answered(rig, SECONDS);
	assert_true(polls_answered(rig, SECONDS) <= SECONDS * POLLS_PER_S_MANY);
}

/* Guards against an ended upstream that is noticed late where polls cost little. */
void few_idle_upstreams_are_polled_all_the_time(void **state)
{
	rig_t *rig = *state;

	add_upstreams(rig, FEW);
	(void)polls_answered(rig, 1);
	assert_true(polls_answered(rig, SECONDS) >= SECONDS * POLLS_PER_S_FEW);
}

/*
 * Guards against idle upstreams that get no tasks as their last answer is old, and
 * against ends that are learned of as late as such an upstream is polled.
 */
void an_idle_upstream_is_used_and_polled_at_once(void **state)
{
	rig_t *rig = *state;

	add_upstreams(rig, MANY);
	for (int32_t i = 0; i < 20; i++) {
		char id[WWH_JOB_ID_CHARS + 1];
		rig_poll_t poll;

		(void)polls_answered(rig, 1);
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
