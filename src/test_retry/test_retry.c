#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "waxwinghollow/retry.h"

static GRand *rand_state;
static wwh_retry_budget_t budget;

static wwh_retry_attempt_t attempt_of(wwh_outcome_t outcome)
{
	return (wwh_retry_attempt_t){ .outcome = outcome,
				      .idempotent = true,
				      .other_minion = true,
				      .attempts = 1,
				      .attempts_max = 3,
				      .remaining_ms = 1000,
				      .usual_run_ms = 20 };
}

static wwh_retry_decision_t decide(const wwh_retry_attempt_t *attempt)
{
	return wwh_retry_decide(&budget, attempt, rand_state);
}

static int set_up(void **unused)
{
	(void)unused;
	rand_state = g_rand_new_with_seed(5);
	wwh_retry_budget_init(&budget);
	return 0;
}

static int tear_down(void **unused)
{
	(void)unused;
	g_rand_free(rand_state);
	return 0;
}

/*
 * A numbering job fails after it was sent. Run twice, it would give two
 * houses one address: only outcomes that surely did not run are tried should_retry.
 */
static void work_that_may_have_run_is_not_repeated(void **unused)
{
	(void)unused;
	for (int32_t i = 0; i < WWH_OUTCOME_COUNT; i++) {
		wwh_retry_attempt_t attempt = attempt_of((wwh_outcome_t)i);
		bool not_run = i == WWH_OUTCOME_REFUSED ||
			       i == WWH_OUTCOME_CONNECT_FAILED;

		attempt.idempotent = false;
		assert_int_equal(decide(&attempt).should_retry, not_run);
		assert_int_equal(decide(&attempt).may_have_run, !not_run);
	}
}

static void nothing_is_repeated_once_the_answer_has_begun(void **unused)
{
	wwh_retry_attempt_t attempt = attempt_of(WWH_OUTCOME_TRUNCATED);

	(void)unused;
	attempt.answer_begun = true;
	assert_false(decide(&attempt).should_retry);
	assert_int_equal(decide(&attempt).kind, WWH_ERROR_ANSWER_TRUNCATED);
}

/*
 * The first attempt was lost after it was sent, the second could not connect.
 * "Not run" would be untrue: the first may have run.
 */
static void an_earlier_attempt_is_not_forgotten(void **unused)
{
	(void)unused;
	for (int32_t i = 0; i < WWH_OUTCOME_COUNT; i++) {
		wwh_retry_attempt_t attempt = attempt_of((wwh_outcome_t)i);
		wwh_retry_decision_t decision;

		attempt.attempts = 3;
		attempt.may_have_run = true;
		decision = decide(&attempt);
		assert_true(decision.may_have_run);
		assert_int_not_equal(wwh_answer_for(decision.kind)->run,
				     WWH_RUN_NOT_RUN);
	}
	for (int32_t i = 0; i < WWH_ERROR_COUNT; i++)
		assert_int_not_equal(
			wwh_answer_for(wwh_retry_reported_kind(
					       (wwh_error_kind_t)i, true))
				->run,
			WWH_RUN_NOT_RUN);
}

/* 1000 requests in a full outage: at most 1.1 attempts each. */
static void an_outage_does_not_multiply_the_load(void **unused)
{
	wwh_retry_attempt_t attempt = attempt_of(WWH_OUTCOME_CONNECT_FAILED);
	int32_t attempts = 0;

	(void)unused;
	for (int32_t i = 0; i < 1000; i++) {
		wwh_retry_credit_first_attempt(&budget);
		attempt.attempts = 1;
		while (decide(&attempt).should_retry)
			attempt.attempts++;
		attempts += attempt.attempts;
	}
	assert_in_range(attempts, 1010, 1100);
}

static void there_is_no_retry_that_cannot_end_in_time(void **unused)
{
	wwh_retry_attempt_t attempt = attempt_of(WWH_OUTCOME_CONNECT_FAILED);

	(void)unused;
	attempt.remaining_ms = 20;
	assert_false(decide(&attempt).should_retry);
	attempt.remaining_ms = 1000;
	attempt.other_minion = false;
	attempt.retry_after_ms = 990;
	assert_false(decide(&attempt).should_retry);
}

static void the_only_minion_is_given_the_time_it_asks_for(void **unused)
{
	wwh_retry_attempt_t attempt = attempt_of(WWH_OUTCOME_REFUSED);

	(void)unused;
	attempt.retry_after_ms = 400;
	assert_int_equal(decide(&attempt).delay_ms, 0);
	attempt.other_minion = false;
	assert_int_equal(decide(&attempt).delay_ms, 400);
	attempt.retry_after_ms = 0;
	for (int32_t i = 0; i < 5; i++)
		assert_in_range(decide(&attempt).delay_ms, 1, 50);
}

int main(void)
{
#define RETRY_TEST(name)                                                       \
	cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		RETRY_TEST(work_that_may_have_run_is_not_repeated),
		RETRY_TEST(nothing_is_repeated_once_the_answer_has_begun),
		RETRY_TEST(an_earlier_attempt_is_not_forgotten),
		RETRY_TEST(an_outage_does_not_multiply_the_load),
		RETRY_TEST(there_is_no_retry_that_cannot_end_in_time),
		RETRY_TEST(the_only_minion_is_given_the_time_it_asks_for),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
