#include "rig.h"

static void a_request_is_started_and_ends_once(void **unused)
{
	rig_t *rig = rig_new(2, 8);

	(void)unused;
	rig_arrive(rig, 0, 1, 1);
	assert_int_equal(rig->starts->len, 1);
	rig_finish(rig, 20, 0, WWH_OUTCOME_ANSWERED, 20);
	assert_int_equal(rig->ends->len, 1);
	assert_int_equal(rig_end(rig, 0).kind, WWH_ERROR_NONE);
	assert_int_equal(wwh_dispatch_running(rig->dispatch), 0);
	rig_delete(rig);
}

/*
 * A burst of 100 requests meets 2 minions of 8 slots that need 100 ms each.
 * Callers see: 16 run at once, those that fit before their deadline of 1 s
 * wait, the rest are refused in the same instant and told when to return.
 * Nobody is answered late.
 */
static void a_burst_is_served_or_refused_at_once(void **unused)
{
	rig_t *rig = rig_new(2, 8);
	guint refused, started;

	(void)unused;
	for (uint64_t i = 0; i < 16; i++) {
		rig_arrive(rig, 0, 1000 + i, i);
		rig_finish(rig, 100, (guint)i, WWH_OUTCOME_ANSWERED, 100);
	}
	g_array_set_size(rig->starts, 0);
	g_array_set_size(rig->ends, 0);
	for (uint64_t i = 0; i < 400; i++)
		rig_arrive(rig, 1000, i, i);
	assert_int_equal(rig->starts->len, 16);
	refused = rig->ends->len;
	assert_in_range(refused, 200, 383);
	for (guint i = 0; i < refused; i++) {
		assert_int_equal(rig_end(rig, i).kind, WWH_ERROR_WAIT_TOO_LONG);
		assert_true(rig_end(rig, i).retry_after_ms >= 1000);
	}
	for (started = 0; started < rig->starts->len; started++) {
		int64_t now_ms = 1100 + 100 * (started / 16);

		assert_true(now_ms <= 2000);
		rig_finish(rig, now_ms, started, WWH_OUTCOME_ANSWERED, 100);
	}
	assert_int_equal(rig->ends->len, 400);
	rig_delete(rig);
}

/*
 * Nothing ends at the only minion, so a waiting request can't be started. It
 * is given up on before its deadline, with an error that says "not run".
 */
static void a_wait_never_outlasts_the_deadline(void **unused)
{
	rig_t *rig = rig_new(1, 1);
	int64_t due_ms;

	(void)unused;
	rig_arrive(rig, 0, 1, 1);
	rig_arrive(rig, 0, 2, 2);
	assert_int_equal(rig->starts->len, 1);
	due_ms = wwh_dispatch_next_deadline_ms(rig->dispatch);
	assert_true(due_ms <= 1000);
	wwh_dispatch_tick(rig->dispatch, due_ms);
	rig_drain(rig);
	assert_int_equal(rig->ends->len, 1);
	assert_int_equal(rig_end(rig, 0).request, 2);
	assert_int_equal(wwh_answer_for(rig_end(rig, 0).kind)->run,
			 WWH_RUN_NOT_RUN);
	rig_delete(rig);
}

/* Thousands of callers go away in the same instant, waiting and running. */
static void cancelled_requests_end_at_once(void **unused)
{
	rig_t *rig = rig_new(2, 8);

	(void)unused;
	for (uint64_t i = 0; i < 60; i++)
		rig_arrive(rig, 0, i, i);
	assert_int_equal(rig->starts->len, 16);
	for (uint64_t i = 0; i < 60; i++)
		wwh_dispatch_cancel(rig->dispatch, 1, i);
	rig_drain(rig);
	assert_int_equal(rig->ends->len, 60);
	assert_int_equal(wwh_dispatch_waiting(rig->dispatch), 0);
	for (guint i = 0; i < 60; i++) {
		wwh_decision_t end = rig_end(rig, i);

		assert_int_equal(end.kind,
				 end.request < 16
					 ? WWH_ERROR_CALLER_GONE_UNKNOWN
					 : WWH_ERROR_CALLER_GONE_NOT_RUN);
	}
	/* The slots stay taken until the attempts have ended. */
	assert_int_equal(wwh_dispatch_running(rig->dispatch), 16);
	for (guint i = 0; i < 16; i++)
		rig_finish(rig, 5, i, WWH_OUTCOME_ABORTED, 5);
	assert_int_equal(wwh_dispatch_running(rig->dispatch), 0);
	assert_int_equal(rig->ends->len, 60);
	rig_delete(rig);
}

/* A wave takes a minion out while it works: what runs there goes on. */
static void a_leaving_minion_gets_no_new_work(void **unused)
{
	rig_t *rig = rig_new(2, 8);
	guint started;

	(void)unused;
	for (uint64_t i = 0; i < 16; i++)
		rig_arrive(rig, 0, i, i);
	wwh_dispatch_set_minion_state(rig->dispatch, 1, "m0",
				      WWH_MINION_LEAVING);
	for (guint i = 0; i < 16; i++)
		rig_finish(rig, 10, i, WWH_OUTCOME_ANSWERED, 10);
	started = rig->starts->len;
	for (uint64_t i = 100; i < 108; i++)
		rig_arrive(rig, 20, i, i);
	assert_int_equal(rig->starts->len, started + 8);
	for (guint i = started; i < rig->starts->len; i++)
		assert_string_equal(rig_start(rig, i).minion, "m1");
	wwh_dispatch_set_minion_state(rig->dispatch, 30, "m1", WWH_MINION_GONE);
	rig_arrive(rig, 30, 200, 1);
	assert_int_equal(rig_end(rig, rig->ends->len - 1).kind,
			 WWH_ERROR_NO_MINION);
	assert_true(rig_end(rig, rig->ends->len - 1).retry_after_ms > 0);
	rig_delete(rig);
}

/*
 * The first minion fails after the request was sent, the second can't be
 * reached. The request is idempotent, so it is tried again elsewhere; at the
 * end the caller is not told "not run".
 */
static void
a_retry_goes_to_another_minion_and_the_end_is_truthful(void **unused)
{
	rig_t *rig = rig_new(3, 8);

	(void)unused;
	rig_arrive(rig, 0, 1, 1);
	rig_finish(rig, 10, 0, WWH_OUTCOME_LOST, 10);
	rig_finish(rig, 20, 1, WWH_OUTCOME_CONNECT_FAILED, 1);
	assert_int_equal(rig->ends->len, 0);
	rig_finish(rig, 30, 2, WWH_OUTCOME_CONNECT_FAILED, 1);
	assert_string_not_equal(rig_start(rig, 0).minion,
				rig_start(rig, 1).minion);
	assert_string_not_equal(rig_start(rig, 1).minion,
				rig_start(rig, 2).minion);
	assert_string_not_equal(rig_start(rig, 0).minion,
				rig_start(rig, 2).minion);
	assert_int_equal(rig->ends->len, 1);
	assert_int_equal(rig_end(rig, 0).kind, WWH_ERROR_ANSWER_LOST);
	rig_delete(rig);
}

/* The only minion says "in 300 ms"; the request waits for just that time. */
static void the_retry_after_of_a_minion_is_heeded(void **unused)
{
	rig_t *rig = rig_new(1, 8);
	wwh_dispatch_result_t result = { .request = 1,
					 .minion = "m0",
					 .outcome = WWH_OUTCOME_REFUSED,
					 .retry_after_ms = 300,
					 .latency_ms = 1 };

	(void)unused;
	rig_arrive(rig, 0, 1, 1);
	wwh_dispatch_finish_attempt(rig->dispatch, 10, &result);
	rig_arrive(rig, 20, 2, 2);
	assert_int_equal(rig->starts->len, 1);
	while (rig->starts->len < 2) {
		int64_t due_ms = wwh_dispatch_next_deadline_ms(rig->dispatch);

		assert_true(due_ms >= 310 && due_ms < 1000);
		wwh_dispatch_tick(rig->dispatch, due_ms);
		rig_drain(rig);
	}
	rig_delete(rig);
}

/* It says "in 5 s", longer than any deadline: callers are told at once. */
static void a_long_retry_after_of_a_minion_is_passed_on(void **unused)
{
	rig_t *rig = rig_new(1, 8);
	wwh_dispatch_result_t result = { .request = 1,
					 .minion = "m0",
					 .outcome = WWH_OUTCOME_REFUSED,
					 .retry_after_ms = 5000,
					 .latency_ms = 1 };

	(void)unused;
	rig_arrive(rig, 0, 1, 1);
	wwh_dispatch_finish_attempt(rig->dispatch, 10, &result);
	rig_drain(rig);
	rig_arrive(rig, 20, 2, 2);
	assert_int_equal(rig->ends->len, 2);
	assert_int_equal(rig_end(rig, 0).kind, WWH_ERROR_MINION_REFUSED);
	assert_true(rig_end(rig, 0).retry_after_ms >= 5000);
	assert_int_equal(rig_end(rig, 1).kind, WWH_ERROR_WAIT_TOO_LONG);
	assert_true(rig_end(rig, 1).retry_after_ms >= 4990);
	rig_delete(rig);
}

/*
 * m0 is leaving. A copy of the list that lags says "live" again in between;
 * m0 must not get new work by that. It does when it stays live.
 */
static void a_list_that_flaps_brings_no_work_to_a_leaving_minion(void **unused)
{
	rig_t *rig = rig_new(2, 8);

	(void)unused;
	for (uint64_t i = 0; i < 40; i++) {
		int64_t now_ms = (int64_t)i * 1000;

		wwh_dispatch_set_minion_state(rig->dispatch, now_ms, "m0",
					      i % 2 == 0 ? WWH_MINION_LEAVING
							 : WWH_MINION_LIVE);
		rig_arrive(rig, now_ms + 900, i, i);
		rig_finish(rig, now_ms + 920, (guint)i, WWH_OUTCOME_ANSWERED,
			   20);
		assert_string_equal(rig_start(rig, (guint)i).minion, "m1");
	}
	wwh_dispatch_set_minion_state(rig->dispatch, 42000, "m1",
				      WWH_MINION_LEAVING);
	rig_arrive(rig, 43000, 100, 1);
	assert_string_equal(rig_start(rig, 40).minion, "m0");
	rig_delete(rig);
}

/* A team may have 4 requests at once; its fifth is refused, others' not. */
static void a_quota_holds_for_its_team_only(void **unused)
{
	rig_t *rig = rig_new(2, 8);

	(void)unused;
	for (uint64_t i = 0; i < 6; i++) {
		wwh_dispatch_request_t request = { .id = i,
						   .service = "session",
						   .team = "parks" };

		wwh_dispatch_arrive(rig->dispatch, 0, &request);
	}
	rig_arrive(rig, 0, 10, 1);
	assert_int_equal(rig->starts->len, 5);
	assert_int_equal(rig->ends->len, 2);
	assert_int_equal(rig_end(rig, 0).kind, WWH_ERROR_QUOTA_EXCEEDED);
	assert_true(rig_end(rig, 0).retry_after_ms >= 1000);
	rig_finish(rig, 10, 0, WWH_OUTCOME_ANSWERED, 10);
	rig_delete(rig);
}

/*
 * A seat is moved to another process. Until the running requests have ended,
 * the share is not settled and may not be given up; nothing new is started.
 */
static void a_share_is_given_up_only_when_settled(void **unused)
{
	rig_t *rig = rig_new(1, 8);
	wwh_dispatch_share_t share = { 8, 0x0f, INT64_MAX };

	(void)unused;
	for (uint64_t i = 0; i < 8; i++)
		rig_arrive(rig, 0, i, i);
	wwh_dispatch_set_share(rig->dispatch, 1, &share);
	rig_arrive(rig, 2, 100, 1);
	for (guint i = 0; i < 4; i++) {
		assert_false(wwh_dispatch_is_within_share(rig->dispatch));
		rig_finish(rig, 10, i, WWH_OUTCOME_ANSWERED, 10);
		assert_int_equal(rig->starts->len, 8);
	}
	assert_true(wwh_dispatch_is_within_share(rig->dispatch));
	rig_finish(rig, 10, 4, WWH_OUTCOME_ANSWERED, 10);
	assert_int_equal(rig->starts->len, 9);
	rig_delete(rig);
}

/* A process that was paused past its lease starts nothing when it wakes. */
static void nothing_starts_without_a_lease(void **unused)
{
	rig_t *rig = rig_new(1, 1);
	wwh_dispatch_share_t share = { 8, 0xff, 100 };

	(void)unused;
	wwh_dispatch_set_share(rig->dispatch, 0, &share);
	rig_arrive(rig, 0, 1, 1);
	rig_arrive(rig, 0, 2, 2);
	rig_finish(rig, 200, 0, WWH_OUTCOME_ANSWERED, 20);
	assert_int_equal(rig->starts->len, 1);
	rig_arrive(rig, 210, 3, 3);
	assert_int_equal(rig_end(rig, 1).kind, WWH_ERROR_NO_MINION);
	share.lease_until_ms = 1000;
	wwh_dispatch_set_share(rig->dispatch, 220, &share);
	rig_drain(rig);
	assert_int_equal(rig->starts->len, 2);
	rig_delete(rig);
}

static void a_new_setup_keeps_what_runs_and_waits(void **unused)
{
	rig_t *rig = rig_new(2, 1);

	(void)unused;
	for (uint64_t i = 0; i < 4; i++)
		rig_arrive(rig, 0, i, i);
	assert_int_equal(rig->starts->len, 2);
	rig->setup.minion_count = 1;
	assert_int_equal(wwh_dispatch_configure(rig->dispatch, 5, &rig->setup),
			 WWH_STATUS_OK);
	assert_int_equal(wwh_dispatch_running(rig->dispatch), 2);
	assert_int_equal(wwh_dispatch_waiting(rig->dispatch), 2);
	for (guint i = 0; i < 4; i++)
		rig_finish(rig, 20, i, WWH_OUTCOME_ANSWERED, 15);
	assert_int_equal(rig->ends->len, 4);
	for (guint i = 2; i < 4; i++)
		assert_string_equal(rig_start(rig, i).minion, "m0");
	rig_delete(rig);
}

static void a_shutdown_ends_what_waits_and_lets_the_rest_finish(void **unused)
{
	rig_t *rig = rig_new(1, 1);

	(void)unused;
	rig_arrive(rig, 0, 1, 1);
	rig_arrive(rig, 0, 2, 2);
	wwh_dispatch_close(rig->dispatch, 10);
	rig_drain(rig);
	rig_arrive(rig, 11, 3, 3);
	assert_int_equal(rig->ends->len, 2);
	assert_int_equal(rig_end(rig, 0).kind, WWH_ERROR_SHUTTING_DOWN);
	assert_int_equal(rig_end(rig, 1).kind, WWH_ERROR_SHUTTING_DOWN);
	rig_finish(rig, 20, 0, WWH_OUTCOME_ANSWERED, 20);
	assert_int_equal(rig_end(rig, 2).kind, WWH_ERROR_NONE);
	rig_delete(rig);
}

/*
 * A silent minion holds every request until its time-out. An idempotent one
 * gets half of its time there, so it can still be answered elsewhere.
 */
static void a_silent_attempt_leaves_time_for_another(void **unused)
{
	rig_t *rig = rig_new(2, 8);
	wwh_decision_t first;

	(void)unused;
	for (uint64_t i = 0; i < 20; i++) {
		rig_arrive(rig, 0, 100 + i, 1);
		rig_finish(rig, 20, (guint)i, WWH_OUTCOME_ANSWERED, 20);
	}
	rig_arrive(rig, 1000, 1, 1);
	first = rig_start(rig, 20);
	assert_in_range(first.timeout_ms, 400, 600);
	rig_finish(rig, 1000 + first.timeout_ms, 20, WWH_OUTCOME_SILENT,
		   first.timeout_ms);
	assert_string_not_equal(rig_start(rig, 21).minion, first.minion);
	rig_finish(rig, 1600, 21, WWH_OUTCOME_ANSWERED, 20);
	assert_int_equal(rig_end(rig, rig->ends->len - 1).kind, WWH_ERROR_NONE);
	rig_delete(rig);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_request_is_started_and_ends_once),
		cmocka_unit_test(a_burst_is_served_or_refused_at_once),
		cmocka_unit_test(a_wait_never_outlasts_the_deadline),
		cmocka_unit_test(cancelled_requests_end_at_once),
		cmocka_unit_test(a_leaving_minion_gets_no_new_work),
		cmocka_unit_test(
			a_retry_goes_to_another_minion_and_the_end_is_truthful),
		cmocka_unit_test(the_retry_after_of_a_minion_is_heeded),
		cmocka_unit_test(a_long_retry_after_of_a_minion_is_passed_on),
		cmocka_unit_test(
			a_list_that_flaps_brings_no_work_to_a_leaving_minion),
		cmocka_unit_test(a_quota_holds_for_its_team_only),
		cmocka_unit_test(a_share_is_given_up_only_when_settled),
		cmocka_unit_test(nothing_starts_without_a_lease),
		cmocka_unit_test(a_new_setup_keeps_what_runs_and_waits),
		cmocka_unit_test(
			a_shutdown_ends_what_waits_and_lets_the_rest_finish),
		cmocka_unit_test(a_silent_attempt_leaves_time_for_another),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
