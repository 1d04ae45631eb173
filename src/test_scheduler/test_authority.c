/* Holders that may have been overtaken, and the holders after them. */

#include "authority_fixture.h"

/*
 * Guards against tasks that run twice: a holder that only a part of the upstreams
 * and nobody else reaches starts tasks and extends leases after its successor has
 * waited for them.
 */
void an_unconfirmed_holder_that_reaches_few_upstreams_stops(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t confirmed_ms;
	int64_t extended_ms;

	(void)begin(fixture, 3);
	run_for(fixture, 1000, "u1 u2 u3");
	confirmed_ms = fixture->now_ms;
	wwh_scheduler_set_confirmed(fixture->scheduler, confirmed_ms);
	run_for(fixture, 3000, "u2");
	extended_ms = wwh_scheduler_extended_ms(fixture->scheduler);
	assert_true(extended_ms <= confirmed_ms + WWH_OVERTAKEN_HOLDER_MS);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 1, 1000));
	run_for(fixture, 3000, "u2");
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 0);
	assert_int_equal(wwh_scheduler_extended_ms(fixture->scheduler),
			 extended_ms);
	wwh_scheduler_set_confirmed(fixture->scheduler, fixture->now_ms);
	run_for(fixture, 500, "u2");
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 1);
}

/* Guards against work that stops while the store is away for all processes. */
void an_unconfirmed_holder_that_reaches_most_upstreams_goes_on(void **state)
{
	sched_fixture_t *fixture = *state;

	(void)begin(fixture, 3);
	run_for(fixture, 1000, "u1 u2 u3");
	wwh_scheduler_set_confirmed(fixture->scheduler, fixture->now_ms);
	run_for(fixture, 10000, "u2 u3");
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 1, 1000));
	run_for(fixture, 500, "u2 u3");
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 1);
	assert_true(wwh_scheduler_extended_ms(fixture->scheduler) >=
		    fixture->now_ms - 1000);
}

/* Guards against a successor that waits for good as it can't reach most. */
void an_unconfirmed_holder_goes_on_for_a_limited_time(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t confirmed_ms;

	(void)begin(fixture, 3);
	run_for(fixture, 1000, "u1 u2 u3");
	confirmed_ms = fixture->now_ms;
	wwh_scheduler_set_confirmed(fixture->scheduler, confirmed_ms);
	run_for(fixture, UNCONFIRMED_MAX_MS + 5000, "u1 u2 u3");
	assert_true(wwh_scheduler_extended_ms(fixture->scheduler) <=
		    confirmed_ms + UNCONFIRMED_MAX_MS +
			    WWH_OVERTAKEN_HOLDER_MS);
}

/*
 * Guards against an overtaken holder for which an upstream speaks that has started
 * again and doesn't know the successor any more.
 */
void an_upstream_that_has_started_again_is_no_witness(void **state)
{
	sched_fixture_t *fixture = *state;

	fixture->born_ms = 1000;
	(void)begin(fixture, 3);
	run_for(fixture, 1000, "u1 u2 u3");
	wwh_scheduler_set_confirmed(fixture->scheduler, fixture->now_ms);
	fixture->born_ms = 2000;
	run_for(fixture, 3000, "u1 u2 u3");
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 1, 1000));
	run_for(fixture, 500, "u1 u2 u3");
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 0);
}

/* Guards against an overtaken holder that counts only what it has not removed. */
void a_removed_upstream_counts_until_its_removal_is_durable(void **state)
{
	sched_fixture_t *fixture = *state;

	(void)begin(fixture, 3);
	run_for(fixture, 1000, "u1 u2 u3");
	wwh_scheduler_set_confirmed(fixture->scheduler, fixture->now_ms);
	wwh_scheduler_upstream_terminated(fixture->scheduler, "u2",
					  WWH_TERMINATION_ORDERED, "moving",
					  fixture->now_ms);
	wwh_scheduler_upstream_terminated(fixture->scheduler, "u3",
					  WWH_TERMINATION_ORDERED, "moving",
					  fixture->now_ms);
	run_for(fixture, 3000, "u1");
	assert_true(wwh_scheduler_extended_ms(fixture->scheduler) <
		    fixture->now_ms - 1000);
	sched_fixture_make_durable(fixture);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 1, 1000));
	run_for(fixture, 500, "u1");
	assert_int_equal(sched_fixture_count_runs(fixture, JOB_B), 1);
}

/*
 * Guards against tasks that run twice: an overtaken holder takes the lease of an
 * upstream that only its successor reaches for lapsed.
 */
void a_lapse_counts_once_the_claim_was_confirmed_after_it(void **state)
{
	sched_fixture_t *fixture = *state;

	begin_anew(fixture);
	sched_fixture_add_upstream(fixture, "u1", ENDPOINT_1);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	sched_fixture_handle_start_result(
		fixture, sched_fixture_order(fixture->starts, 0),
		WWH_ORDER_DONE);
	sched_fixture_add_upstream(fixture, "u2", ENDPOINT_2);
	sched_fixture_add_upstream(fixture, "u3", ENDPOINT_3);
	wwh_scheduler_set_confirmed(fixture->scheduler, fixture->now_ms);
	run_for(fixture, 10000, "u2 u3");
	assert_int_equal(fixture->starts->len, 1);
	assert_true(wwh_scheduler_awaits_confirmation(fixture->scheduler));
	wwh_scheduler_set_confirmed(fixture->scheduler, fixture->now_ms);
	run_for(fixture, 500, "u2 u3");
	assert_string_not_equal(
		sched_fixture_order(fixture->starts, 1)->upstream, "u1");
	assert_false(wwh_scheduler_awaits_confirmation(fixture->scheduler));
}

/* Returns when the task of u1, which isn't reached, has a second run. */
static int64_t await_second_run(sched_fixture_t *fixture, const char *names)
{
	while (fixture->starts->len < 2) {
		wwh_scheduler_set_confirmed(fixture->scheduler,
					    fixture->now_ms);
		run_for(fixture, STEP_MS, names);
		sched_fixture_make_durable(fixture);
		assert_true(fixture->now_ms < 200000);
	}
	return fixture->now_ms;
}

/*
 * Guards against tasks that run twice: a successor waits for the leases of a holder
 * that most upstreams still obey.
 */
void inherited_leases_count_from_when_most_upstreams_have_answered(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t lease_ms = fixture->options.lease_ms;
	int64_t fenced_ms;
	int64_t passed_ms;

	(void)begin(fixture, 3);
	for (int32_t i = 0; i < 80; i++) {
		wwh_scheduler_set_confirmed(fixture->scheduler,
					    fixture->now_ms);
		run_for(fixture, STEP_MS, "u2");
	}
	fenced_ms = fixture->now_ms;
	passed_ms = await_second_run(fixture, "u2 u3") - fenced_ms;
	assert_true(passed_ms >= lease_ms * 100 / 98 + WWH_OVERTAKEN_HOLDER_MS);
	assert_true(passed_ms <= lease_ms * 100 / 98 + 2000);
}

/* Guards against tasks that wait for good where most upstreams are gone. */
void inherited_leases_end_without_most_upstreams(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t lease_ms = fixture->options.lease_ms;
	int64_t taken_over_ms;
	int64_t passed_ms;

	(void)begin(fixture, 3);
	taken_over_ms = fixture->now_ms;
	passed_ms = await_second_run(fixture, "u2") - taken_over_ms;
	assert_true(passed_ms >= UNCONFIRMED_MAX_MS + lease_ms * 100 / 98);
	assert_true(passed_ms <=
		    UNCONFIRMED_MAX_MS + lease_ms * 100 / 98 + 2000);
}

/*
 * Guards against a successor's successor for which new upstreams make up those that
 * still obey the first holder.
 */
void no_upstream_is_recorded_before_most_have_answered(void **state)
{
	sched_fixture_t *fixture = *state;

	(void)begin(fixture, 2);
	sched_fixture_announce(fixture, "u3", ENDPOINT_3, false);
	run_for(fixture, 1000, "u1 u3");
	assert_false(g_hash_table_contains(fixture->records, "Uu3"));
	run_for(fixture, 1000, "u1 u2 u3");
	assert_true(g_hash_table_contains(fixture->records, "Uu3"));
}

/*
 * Guards against a second run of a task that was done: its upstream crashes after the
 * end was acknowledged, and an overtaken holder takes the run for lost.
 */
void ends_are_acknowledged_once_the_previous_holder_cannot_act(void **state)
{
	sched_fixture_t *fixture = *state;
	sched_fixture_order_t order = begin(fixture, 2);
	wwh_ended_task_t ended =
		sched_fixture_ended_row(&order, 1, WWH_END_DONE);
	int64_t fenced_ms;

	sched_fixture_run(fixture, STEP_MS);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
	answer_only(fixture, "u2");
	fenced_ms = fixture->now_ms;
	sched_fixture_make_durable(fixture);
	while (fixture->now_ms <= fenced_ms + WWH_OVERTAKEN_HOLDER_MS) {
		sched_fixture_run(fixture, STEP_MS);
		for (guint i = 0; i < fixture->polls->len; i++)
			assert_int_equal(g_array_index(fixture->polls,
						       sched_fixture_poll_t, i)
						 .acked_upto,
					 0);
		answer_only(fixture, "u1 u2");
		wwh_scheduler_set_confirmed(fixture->scheduler,
					    fixture->now_ms);
	}
	sched_fixture_run(fixture, 2 * STEP_MS);
	assert_int_equal(sched_fixture_newest_poll(fixture, "u1").acked_upto,
			 1);
}

/* Guards against two runs of a task that both holders know of. */
void no_inherited_task_starts_before_most_have_answered(void **state)
{
	sched_fixture_t *fixture = *state;
	static const char record[] = "\x92\xab"
				     "10.0.0.9:91\xa5"
				     "other";
	GBytes *value = g_bytes_new_static(record, sizeof(record) - 1);

	g_hash_table_replace(fixture->records, g_strdup("Uo1"),
			     g_bytes_ref(value));
	g_hash_table_replace(fixture->records, g_strdup("Uo2"), value);
	(void)begin(fixture, 1);
	run_for(fixture, 1000, "u1");
	assert_int_equal(fixture->starts->len, 1);
	run_for(fixture, 500, "u1 o1");
	assert_true(fixture->starts->len > 1);
}

/*
 * Guards against two runs of a task that lasts: its upstream crashes right after a
 * change of holder, and both holders take its run for lost.
 */
void an_adopted_lasting_task_that_is_lost_waits_for_its_pool(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, 1000);
	sched_fixture_order_t order;
	wwh_running_task_t row;

	job->steps[0].lasting = true;
	sched_fixture_submit(fixture, job);
	order = *sched_fixture_order(fixture->starts, 0);
	sched_fixture_handle_start_result(fixture, &order, WWH_ORDER_DONE);
	sched_fixture_make_durable(fixture);
	take_over(fixture);
	announce(fixture, 3);
	sched_fixture_run(fixture, STEP_MS);
	row = sched_fixture_running_row(&order, 100);
	sched_fixture_answer_poll(fixture, order.upstream, &row, 1, NULL, 0);
	answer_only(fixture, "u3");
	wwh_scheduler_upstream_terminated(fixture->scheduler, order.upstream,
					  WWH_TERMINATION_CRASH, "down",
					  fixture->now_ms);
	run_for(fixture, 1000, "u3");
	assert_int_equal(fixture->starts->len, 1);
	run_for(fixture, 1000, "u2 u3");
	assert_true(fixture->starts->len > 1);
}
