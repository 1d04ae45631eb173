/* What a holder does while its claim is not confirmed. */

#include "authority_fixture.h"

#define HOLDER_UNCONFIRMED_MAX_MS 10000 /* as job_holder sets it */
#define TICK_MS 20
#define CONFIRM_PERIOD_MS 500
#define MAX_POLLS_PER_S 4 /* of one upstream; those with tasks get as many */

static void add_many(sched_fixture_t *fixture, int32_t count)
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

/*
 * Runs for a time in which upstreams answer when a poll's wait is over. Returns for
 * how long the holder might not act.
 */
static int64_t run_held(sched_fixture_t *fixture, int64_t ms, bool confirms,
			int32_t *polls)
{
	int64_t without_ms = 0;

	*polls = 0;
	for (int64_t passed_ms = 0; passed_ms < ms; passed_ms += TICK_MS) {
		fixture->now_ms += TICK_MS;
		if (confirms && passed_ms % CONFIRM_PERIOD_MS == 0)
			wwh_scheduler_set_confirmed(fixture->scheduler,
						    fixture->now_ms);
		wwh_scheduler_run(fixture->scheduler, fixture->now_ms,
				  SCHED_FIXTURE_WALL_MS);
		for (guint i = fixture->polls->len; i-- > 0;) {
			sched_fixture_poll_t poll = g_array_index(
				fixture->polls, sched_fixture_poll_t, i);
			wwh_poll_answer_t answer = {
				.remote_ms = fixture->now_ms + 5000,
				.ended_complete = true,
			};

			if (fixture->now_ms - poll.sent_ms < poll.wait_ms)
				continue;
			g_array_remove_index_fast(fixture->polls, i);
			wwh_scheduler_handle_poll_answer(
				fixture->scheduler, poll.upstream, &answer,
				poll.sent_ms, fixture->now_ms);
			(*polls)++;
		}
		if (fixture->now_ms -
			    wwh_scheduler_authority_ms(fixture->scheduler) >
		    WWH_OVERTAKEN_HOLDER_MS)
			without_ms += TICK_MS;
	}
	return without_ms;
}

/*
 * Guards against a lapse that counts without a confirmed claim as the address
 * answers for another upstream.
 */
void a_lapse_at_a_reused_address_counts_once_the_claim_was_confirmed(
	void **state)
{
	sched_fixture_t *fixture = *state;

	(void)begin(fixture, 3);
	for (int32_t i = 0; i < 10; i++) {
		wwh_scheduler_set_confirmed(fixture->scheduler,
					    fixture->now_ms);
		run_for(fixture, STEP_MS, "u2 u3");
	}
	for (int32_t i = 0; i < 200; i++) {
		sched_fixture_run(fixture, STEP_MS);
		answer_only(fixture, "u2 u3");
		wwh_scheduler_handle_poll_failure(fixture->scheduler, "u1",
						  WWH_REACH_OTHER_ANSWERS,
						  fixture->now_ms);
	}
	assert_true(strstr(fixture->events->str, "upstream-gone u1") == NULL);
	assert_int_equal(fixture->starts->len, 1);
}

/*
 * Guards against a holder that spends its processor time on polls at idle upstreams
 * while the store is away.
 */
void polls_of_idle_upstreams_are_limited_while_the_store_is_away(void **state)
{
	static const int32_t counts[] = { 520, 550, 600, 800 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		sched_fixture_t *own = sched_fixture_new();
		int32_t before;
		int32_t polls;

		begin_anew(own);
		add_many(own, counts[i]);
		(void)run_held(own, 6000, true, &before);
		(void)run_held(own, 10000, true, &before);
		(void)run_held(own, 10000, false, &polls);
		assert_true(polls / 10 <= MAX_POLLS_PER_S * counts[i]);
		sched_fixture_delete(own);
	}
}

/*
 * Guards against a host that an overtaken holder moves or takes down as idle: only
 * its successor reaches it, and has started tasks there.
 */
void an_unreached_upstream_is_not_idle_while_the_claim_is_unconfirmed(
	void **state)
{
	sched_fixture_t *fixture = *state;

	begin_anew(fixture);
	sched_fixture_add_upstream(fixture, "u1", ENDPOINT_1);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	sched_fixture_add_upstream(fixture, "u3", ENDPOINT_3);
	wwh_scheduler_set_confirmed(fixture->scheduler, fixture->now_ms);
	run_for(fixture, 5000, "u1 u2");
	assert_true(fixture->now_ms -
			    wwh_scheduler_authority_ms(fixture->scheduler) <=
		    WWH_OVERTAKEN_HOLDER_MS);
	assert_false(wwh_scheduler_cordon(fixture->scheduler, "u3", false,
					  fixture->now_ms));
}

/*
 * Guards against a start after an acknowledged end: an upstream that only a
 * successor reached starts again under its id, forgets the successor, and gets
 * starts of the holder that most of the other upstreams still obey.
 */
void an_upstream_that_has_started_again_gets_starts_once_confirmed(void **state)
{
	sched_fixture_t *fixture = *state;

	fixture->born_ms = 1000;
	begin_anew(fixture);
	sched_fixture_add_upstream(fixture, "u1", ENDPOINT_1);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	sched_fixture_add_upstream(fixture, "u3", ENDPOINT_3);
	wwh_scheduler_set_confirmed(fixture->scheduler, fixture->now_ms);
	run_for(fixture, 2000, "u1 u2");
	for (int32_t i = 0; i < 40; i++) {
		sched_fixture_run(fixture, STEP_MS);
		fixture->born_ms = 2000;
		for (guint k = 0; k < fixture->polls->len; k++) {
			if (strcmp(g_array_index(fixture->polls,
						 sched_fixture_poll_t, k)
					   .upstream,
				   "u3") != 0)
				continue;
			sched_fixture_answer_poll(fixture, "u3", NULL, 0, NULL,
						  0);
			break;
		}
		fixture->born_ms = 1000;
		answer_only(fixture, "u1 u2");
	}
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 20, 1000));
	assert_true(fixture->starts->len > 0);
	for (guint i = 0; i < fixture->starts->len; i++)
		assert_string_not_equal(
			sched_fixture_order(fixture->starts, i)->upstream,
			"u3");
}

/*
 * Guards against a pool without work after all upstreams were replaced: no upstream
 * that the records name can ever answer.
 */
void new_jobs_start_soon_after_all_upstreams_were_replaced(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t begun_ms;

	fixture->options.unconfirmed_max_ms = HOLDER_UNCONFIRMED_MAX_MS;
	sched_fixture_take_over(fixture);
	begun_ms = fixture->now_ms;
	sched_fixture_announce(fixture, "n1", ENDPOINT_1, false);
	sched_fixture_announce(fixture, "n2", ENDPOINT_2, false);
	sched_fixture_announce(fixture, "n3", ENDPOINT_3, false);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 1, 1000));
	while (fixture->starts->len == 0 &&
	       fixture->now_ms - begun_ms < 30000) {
		wwh_scheduler_set_confirmed(fixture->scheduler,
					    fixture->now_ms);
		sched_fixture_run(fixture, STEP_MS);
		answer_only(fixture, "n1 n2 n3");
		for (int32_t i = 1; i <= 3; i++) {
			char id[8];

			snprintf(id, sizeof(id), "u%d", i);
			wwh_scheduler_handle_poll_failure(
				fixture->scheduler, id, WWH_REACH_OTHER_ANSWERS,
				fixture->now_ms);
		}
		sched_fixture_make_durable(fixture);
	}
	assert_true(fixture->now_ms - begun_ms <= 12000);
}
