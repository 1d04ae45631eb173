#ifndef TEST_SCHEDULER_AUTHORITY_FIXTURE_H
#define TEST_SCHEDULER_AUTHORITY_FIXTURE_H

/*
 * A holder that is told when its claim was confirmed, and upstreams of which it
 * reaches some.
 */

#include "test_scheduler.h"

#define STEP_MS 50
#define UNCONFIRMED_MAX_MS 15000

/* Set in the fixture before the scheduler is made anew. */
static inline void take_over(sched_fixture_t *fixture)
{
	fixture->options.unconfirmed_max_ms = UNCONFIRMED_MAX_MS;
	sched_fixture_take_over(fixture);
	wwh_scheduler_set_confirmed(fixture->scheduler, fixture->now_ms);
}

/* A first holder that goes on without the store. */
static inline void begin_anew(sched_fixture_t *fixture)
{
	fixture->options.unconfirmed_max_ms = UNCONFIRMED_MAX_MS;
	wwh_scheduler_delete(fixture->scheduler);
	fixture->scheduler = sched_fixture_new_scheduler(fixture);
	wwh_scheduler_finish_restore(fixture->scheduler, fixture->now_ms,
				     SCHED_FIXTURE_WALL_MS);
	wwh_scheduler_set_confirmed(fixture->scheduler, fixture->now_ms);
}

static inline void announce(sched_fixture_t *fixture, int32_t count)
{
	static const char *const ids[] = { "u1", "u2", "u3" };
	static const char *const endpoints[] = { ENDPOINT_1, ENDPOINT_2,
						 ENDPOINT_3 };

	for (int32_t i = 0; i < count; i++)
		sched_fixture_announce(fixture, ids[i], endpoints[i], false);
}

/* Answers the polls at the upstreams that names contains, and fails the others. */
static inline void answer_only(sched_fixture_t *fixture, const char *names)
{
	guint count = fixture->polls->len;

	for (guint i = 0; i < count; i++) {
		sched_fixture_poll_t poll =
			g_array_index(fixture->polls, sched_fixture_poll_t, 0);

		if (strstr(names, poll.upstream) != NULL) {
			sched_fixture_answer_poll(fixture, poll.upstream, NULL,
						  0, NULL, 0);
			continue;
		}
		g_array_remove_index(fixture->polls, 0);
		wwh_scheduler_handle_poll_failure(
			fixture->scheduler, poll.upstream, WWH_REACH_SILENT,
			fixture->now_ms);
	}
}

static inline void run_for(sched_fixture_t *fixture, int64_t ms,
			   const char *names)
{
	for (int64_t passed_ms = 0; passed_ms < ms; passed_ms += STEP_MS) {
		sched_fixture_run(fixture, STEP_MS);
		answer_only(fixture, names);
	}
}

/* A holder that has reached all of its upstreams, and has a job at work on u1. */
static inline sched_fixture_order_t begin(sched_fixture_t *fixture,
					  int32_t upstreams)
{
	sched_fixture_order_t order;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_make_durable(fixture);
	take_over(fixture);
	announce(fixture, upstreams);
	return order;
}

#endif
