#include "fixture.h"

static void a_request_starts_and_ends_once(void **unused)
{
	fixture_t *fixture = fixture_new(2, 8);

	(void)unused;
	fixture_arrive(fixture, 0, 1, 1);
	assert_int_equal(fixture->starts->len, 1);
	fixture_finish(fixture, 20, 0, WWH_OUTCOME_ANSWERED, 20);
	assert_int_equal(fixture->ends->len, 1);
	assert_int_equal(fixture_end(fixture, 0).kind, WWH_ERROR_NONE);
	assert_int_equal(wwh_dispatch_running(fixture->dispatch), 0);
	fixture_delete(fixture);
}

/*
 * A burst of 400 requests arrives at 2 minions of 8 slots that need 100 ms a
 * request. 16 run at once, those that can end before their deadline of 1 s
 * wait, and the rest are rejected immediately with a Retry-After. No request
 * is answered after its deadline.
 */
static void a_burst_is_served_or_rejected_immediately(void **unused)
{
	fixture_t *fixture = fixture_new(2, 8);
	guint rejected, started;

	(void)unused;
	for (uint64_t i = 0; i < 16; i++) {
		fixture_arrive(fixture, 0, 1000 + i, i);
		fixture_finish(fixture, 100, (guint)i, WWH_OUTCOME_ANSWERED,
			       100);
	}
	g_array_set_size(fixture->starts, 0);
	g_array_set_size(fixture->ends, 0);
	for (uint64_t i = 0; i < 400; i++)
		fixture_arrive(fixture, 1000, i, i);
	assert_int_equal(fixture->starts->len, 16);
	rejected = fixture->ends->len;
	assert_in_range(rejected, 200, 383);
	for (guint i = 0; i < rejected; i++) {
		assert_int_equal(fixture_end(fixture, i).kind,
				 WWH_ERROR_WAIT_TOO_LONG);
		assert_true(fixture_end(fixture, i).retry_after_ms >= 1000);
	}
	for (started = 0; started < fixture->starts->len; started++) {
		int64_t now_ms = 1100 + 100 * (started / 16);

		assert_true(now_ms <= 2000);
		fixture_finish(fixture, now_ms, started, WWH_OUTCOME_ANSWERED,
			       100);
	}
	assert_int_equal(fixture->ends->len, 400);
	fixture_delete(fixture);
}

/*
 * The only minion never finishes its request, so the waiting one can't be
 * started. It ends before its deadline, with an error that says "not run".
 */
static void waiting_ends_before_the_deadline(void **unused)
{
	fixture_t *fixture = fixture_new(1, 1);
	int64_t due_ms;

	(void)unused;
	fixture_arrive(fixture, 0, 1, 1);
	fixture_arrive(fixture, 0, 2, 2);
	assert_int_equal(fixture->starts->len, 1);
	due_ms = wwh_dispatch_next_deadline_ms(fixture->dispatch);
	assert_true(due_ms <= 1000);
	wwh_dispatch_tick(fixture->dispatch, due_ms);
	fixture_drain(fixture);
	assert_int_equal(fixture->ends->len, 1);
	assert_int_equal(fixture_end(fixture, 0).request, 2);
	assert_int_equal(wwh_answer_for(fixture_end(fixture, 0).kind)->run,
			 WWH_RUN_NOT_RUN);
	fixture_delete(fixture);
}

/* All callers of waiting and running requests disconnect at the same time. */
static void cancelled_requests_end_immediately(void **unused)
{
	fixture_t *fixture = fixture_new(2, 8);

	(void)unused;
	for (uint64_t i = 0; i < 60; i++)
		fixture_arrive(fixture, 0, i, i);
	assert_int_equal(fixture->starts->len, 16);
	for (uint64_t i = 0; i < 60; i++)
		wwh_dispatch_cancel(fixture->dispatch, 1, i);
	fixture_drain(fixture);
	assert_int_equal(fixture->ends->len, 60);
	assert_int_equal(wwh_dispatch_waiting(fixture->dispatch), 0);
	for (guint i = 0; i < 60; i++) {
		wwh_decision_t end = fixture_end(fixture, i);

		assert_int_equal(end.kind,
				 end.request < 16
					 ? WWH_ERROR_CALLER_GONE_UNKNOWN
					 : WWH_ERROR_CALLER_GONE_NOT_RUN);
	}
	/* The slots stay in use until the attempts have ended. */
	assert_int_equal(wwh_dispatch_running(fixture->dispatch), 16);
	for (guint i = 0; i < 16; i++)
		fixture_finish(fixture, 5, i, WWH_OUTCOME_ABORTED, 5);
	assert_int_equal(wwh_dispatch_running(fixture->dispatch), 0);
	assert_int_equal(fixture->ends->len, 60);
	fixture_delete(fixture);
}

/* A wave stops a minion while it works: requests that run there continue. */
static void a_leaving_minion_gets_no_new_work(void **unused)
{
	fixture_t *fixture = fixture_new(2, 8);
	guint started;

	(void)unused;
	for (uint64_t i = 0; i < 16; i++)
		fixture_arrive(fixture, 0, i, i);
	wwh_dispatch_set_minion_state(fixture->dispatch, 1, "m0",
				      WWH_MINION_LEAVING);
	for (guint i = 0; i < 16; i++)
		fixture_finish(fixture, 10, i, WWH_OUTCOME_ANSWERED, 10);
	started = fixture->starts->len;
	for (uint64_t i = 100; i < 108; i++)
		fixture_arrive(fixture, 20, i, i);
	assert_int_equal(fixture->starts->len, started + 8);
	for (guint i = started; i < fixture->starts->len; i++)
		assert_string_equal(fixture_start(fixture, i).minion, "m1");
	wwh_dispatch_set_minion_state(fixture->dispatch, 30, "m1",
				      WWH_MINION_GONE);
	fixture_arrive(fixture, 30, 200, 1);
	assert_int_equal(fixture_end(fixture, fixture->ends->len - 1).kind,
			 WWH_ERROR_NO_MINION);
	assert_true(
		fixture_end(fixture, fixture->ends->len - 1).retry_after_ms >
		0);
	fixture_delete(fixture);
}

/*
 * The first minion fails after the request was sent, the second can't be
 * reached. The request is idempotent, so it is retried elsewhere; the final
 * error does not say "not run", since the first attempt may have run.
 */
static void
a_retry_goes_to_another_minion_and_reports_a_possible_run(void **unused)
{
	fixture_t *fixture = fixture_new(3, 8);

	(void)unused;
	fixture_arrive(fixture, 0, 1, 1);
	fixture_finish(fixture, 10, 0, WWH_OUTCOME_LOST, 10);
	fixture_finish(fixture, 20, 1, WWH_OUTCOME_CONNECT_FAILED, 1);
	assert_int_equal(fixture->ends->len, 0);
	fixture_finish(fixture, 30, 2, WWH_OUTCOME_CONNECT_FAILED, 1);
	assert_string_not_equal(fixture_start(fixture, 0).minion,
				fixture_start(fixture, 1).minion);
	assert_string_not_equal(fixture_start(fixture, 1).minion,
				fixture_start(fixture, 2).minion);
	assert_string_not_equal(fixture_start(fixture, 0).minion,
				fixture_start(fixture, 2).minion);
	assert_int_equal(fixture->ends->len, 1);
	assert_int_equal(fixture_end(fixture, 0).kind, WWH_ERROR_ANSWER_LOST);
	fixture_delete(fixture);
}

/* The only minion refuses with Retry-After 300 ms; the request waits for it. */
static void a_minions_retry_after_delays_requests(void **unused)
{
	fixture_t *fixture = fixture_new(1, 8);
	wwh_dispatch_result_t result = { .request = 1,
					 .minion = "m0",
					 .outcome = WWH_OUTCOME_REFUSED,
					 .retry_after_ms = 300,
					 .latency_ms = 1 };

	(void)unused;
	fixture_arrive(fixture, 0, 1, 1);
	wwh_dispatch_finish_attempt(fixture->dispatch, 10, &result);
	fixture_arrive(fixture, 20, 2, 2);
	assert_int_equal(fixture->starts->len, 1);
	while (fixture->starts->len < 2) {
		int64_t due_ms =
			wwh_dispatch_next_deadline_ms(fixture->dispatch);

		assert_true(due_ms >= 310 && due_ms < 1000);
		wwh_dispatch_tick(fixture->dispatch, due_ms);
		fixture_drain(fixture);
	}
	fixture_delete(fixture);
}

/* Retry-After 5 s is longer than any deadline: callers get it immediately. */
static void a_minions_long_retry_after_is_returned_to_callers(void **unused)
{
	fixture_t *fixture = fixture_new(1, 8);
	wwh_dispatch_result_t result = { .request = 1,
					 .minion = "m0",
					 .outcome = WWH_OUTCOME_REFUSED,
					 .retry_after_ms = 5000,
					 .latency_ms = 1 };

	(void)unused;
	fixture_arrive(fixture, 0, 1, 1);
	wwh_dispatch_finish_attempt(fixture->dispatch, 10, &result);
	fixture_drain(fixture);
	fixture_arrive(fixture, 20, 2, 2);
	assert_int_equal(fixture->ends->len, 2);
	assert_int_equal(fixture_end(fixture, 0).kind,
			 WWH_ERROR_MINION_REFUSED);
	assert_true(fixture_end(fixture, 0).retry_after_ms >= 5000);
	assert_int_equal(fixture_end(fixture, 1).kind, WWH_ERROR_WAIT_TOO_LONG);
	assert_true(fixture_end(fixture, 1).retry_after_ms >= 4990);
	fixture_delete(fixture);
}

/*
 * m0 is leaving. A stale copy of the list reports it live again in between,
 * which must not send it new work. It gets work once it stays live.
 */
static void a_flapping_list_sends_no_work_to_a_leaving_minion(void **unused)
{
	fixture_t *fixture = fixture_new(2, 8);

	(void)unused;
	for (uint64_t i = 0; i < 40; i++) {
		int64_t now_ms = (int64_t)i * 1000;

		wwh_dispatch_set_minion_state(fixture->dispatch, now_ms, "m0",
					      i % 2 == 0 ? WWH_MINION_LEAVING
							 : WWH_MINION_LIVE);
		fixture_arrive(fixture, now_ms + 900, i, i);
		fixture_finish(fixture, now_ms + 920, (guint)i,
			       WWH_OUTCOME_ANSWERED, 20);
		assert_string_equal(fixture_start(fixture, (guint)i).minion,
				    "m1");
	}
	wwh_dispatch_set_minion_state(fixture->dispatch, 42000, "m1",
				      WWH_MINION_LEAVING);
	fixture_arrive(fixture, 43000, 100, 1);
	assert_string_equal(fixture_start(fixture, 40).minion, "m0");
	fixture_delete(fixture);
}

/* A team may have 4 requests at once. Others are not limited by its quota. */
static void a_quota_limits_only_its_team(void **unused)
{
	fixture_t *fixture = fixture_new(2, 8);

	(void)unused;
	for (uint64_t i = 0; i < 6; i++) {
		wwh_dispatch_request_t request = { .id = i,
						   .service = "session",
						   .team = "parks" };

		wwh_dispatch_arrive(fixture->dispatch, 0, &request);
	}
	fixture_arrive(fixture, 0, 10, 1);
	assert_int_equal(fixture->starts->len, 5);
	assert_int_equal(fixture->ends->len, 2);
	assert_int_equal(fixture_end(fixture, 0).kind,
			 WWH_ERROR_QUOTA_EXCEEDED);
	assert_true(fixture_end(fixture, 0).retry_after_ms >= 1000);
	fixture_finish(fixture, 10, 0, WWH_OUTCOME_ANSWERED, 10);
	fixture_delete(fixture);
}

/*
 * Seats move to another process. Until enough running requests have ended, the
 * process exceeds its new share, may not release the seats and starts nothing.
 */
static void a_share_is_released_only_within_the_new_share(void **unused)
{
	fixture_t *fixture = fixture_new(1, 8);
	wwh_dispatch_share_t share = { 8, 0x0f, INT64_MAX };

	(void)unused;
	for (uint64_t i = 0; i < 8; i++)
		fixture_arrive(fixture, 0, i, i);
	wwh_dispatch_set_share(fixture->dispatch, 1, &share);
	fixture_arrive(fixture, 2, 100, 1);
	for (guint i = 0; i < 4; i++) {
		assert_false(wwh_dispatch_is_within_share(fixture->dispatch));
		fixture_finish(fixture, 10, i, WWH_OUTCOME_ANSWERED, 10);
		assert_int_equal(fixture->starts->len, 8);
	}
	assert_true(wwh_dispatch_is_within_share(fixture->dispatch));
	fixture_finish(fixture, 10, 4, WWH_OUTCOME_ANSWERED, 10);
	assert_int_equal(fixture->starts->len, 9);
	fixture_delete(fixture);
}

/* A process that was paused past its lease starts nothing when it resumes. */
static void nothing_starts_without_a_lease(void **unused)
{
	fixture_t *fixture = fixture_new(1, 1);
	wwh_dispatch_share_t share = { 8, 0xff, 100 };

	(void)unused;
	wwh_dispatch_set_share(fixture->dispatch, 0, &share);
	fixture_arrive(fixture, 0, 1, 1);
	fixture_arrive(fixture, 0, 2, 2);
	fixture_finish(fixture, 200, 0, WWH_OUTCOME_ANSWERED, 20);
	assert_int_equal(fixture->starts->len, 1);
	fixture_arrive(fixture, 210, 3, 3);
	assert_int_equal(fixture_end(fixture, 1).kind, WWH_ERROR_NO_MINION);
	share.lease_until_ms = 1000;
	wwh_dispatch_set_share(fixture->dispatch, 220, &share);
	fixture_drain(fixture);
	assert_int_equal(fixture->starts->len, 2);
	fixture_delete(fixture);
}

static void running_and_waiting_requests_survive_a_new_setup(void **unused)
{
	fixture_t *fixture = fixture_new(2, 1);

	(void)unused;
	for (uint64_t i = 0; i < 4; i++)
		fixture_arrive(fixture, 0, i, i);
	assert_int_equal(fixture->starts->len, 2);
	fixture->setup.minion_count = 1;
	assert_int_equal(
		wwh_dispatch_configure(fixture->dispatch, 5, &fixture->setup),
		WWH_STATUS_OK);
	assert_int_equal(wwh_dispatch_running(fixture->dispatch), 2);
	assert_int_equal(wwh_dispatch_waiting(fixture->dispatch), 2);
	for (guint i = 0; i < 4; i++)
		fixture_finish(fixture, 20, i, WWH_OUTCOME_ANSWERED, 15);
	assert_int_equal(fixture->ends->len, 4);
	for (guint i = 2; i < 4; i++)
		assert_string_equal(fixture_start(fixture, i).minion, "m0");
	fixture_delete(fixture);
}

static void
a_shutdown_ends_waiting_requests_and_lets_running_ones_finish(void **unused)
{
	fixture_t *fixture = fixture_new(1, 1);

	(void)unused;
	fixture_arrive(fixture, 0, 1, 1);
	fixture_arrive(fixture, 0, 2, 2);
	wwh_dispatch_close(fixture->dispatch, 10);
	fixture_drain(fixture);
	fixture_arrive(fixture, 11, 3, 3);
	assert_int_equal(fixture->ends->len, 2);
	assert_int_equal(fixture_end(fixture, 0).kind, WWH_ERROR_SHUTTING_DOWN);
	assert_int_equal(fixture_end(fixture, 1).kind, WWH_ERROR_SHUTTING_DOWN);
	fixture_finish(fixture, 20, 0, WWH_OUTCOME_ANSWERED, 20);
	assert_int_equal(fixture_end(fixture, 2).kind, WWH_ERROR_NONE);
	fixture_delete(fixture);
}

/*
 * A silent minion holds each request until its time-out. An idempotent request
 * spends half of its time there, so that another minion can still answer it.
 */
static void a_silent_attempt_leaves_time_for_another(void **unused)
{
	fixture_t *fixture = fixture_new(2, 8);
	wwh_decision_t first;

	(void)unused;
	for (uint64_t i = 0; i < 20; i++) {
		fixture_arrive(fixture, 0, 100 + i, 1);
		fixture_finish(fixture, 20, (guint)i, WWH_OUTCOME_ANSWERED, 20);
	}
	fixture_arrive(fixture, 1000, 1, 1);
	first = fixture_start(fixture, 20);
	assert_in_range(first.timeout_ms, 400, 600);
	fixture_finish(fixture, 1000 + first.timeout_ms, 20, WWH_OUTCOME_SILENT,
		       first.timeout_ms);
	assert_string_not_equal(fixture_start(fixture, 21).minion,
				first.minion);
	fixture_finish(fixture, 1600, 21, WWH_OUTCOME_ANSWERED, 20);
	assert_int_equal(fixture_end(fixture, fixture->ends->len - 1).kind,
			 WWH_ERROR_NONE);
	fixture_delete(fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_request_starts_and_ends_once),
		cmocka_unit_test(a_burst_is_served_or_rejected_immediately),
		cmocka_unit_test(waiting_ends_before_the_deadline),
		cmocka_unit_test(cancelled_requests_end_immediately),
		cmocka_unit_test(a_leaving_minion_gets_no_new_work),
		cmocka_unit_test(
			a_retry_goes_to_another_minion_and_reports_a_possible_run),
		cmocka_unit_test(a_minions_retry_after_delays_requests),
		cmocka_unit_test(
			a_minions_long_retry_after_is_returned_to_callers),
		cmocka_unit_test(
			a_flapping_list_sends_no_work_to_a_leaving_minion),
		cmocka_unit_test(a_quota_limits_only_its_team),
		cmocka_unit_test(a_share_is_released_only_within_the_new_share),
		cmocka_unit_test(nothing_starts_without_a_lease),
		cmocka_unit_test(
			running_and_waiting_requests_survive_a_new_setup),
		cmocka_unit_test(
			a_shutdown_ends_waiting_requests_and_lets_running_ones_finish),
		cmocka_unit_test(a_silent_attempt_leaves_time_for_another),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
