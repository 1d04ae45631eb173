/* The start rate of a holder with a backlog, and the wait derived from it. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "waxwinghollow/start_rate.h"

#define ITERATION_MS 50
#define SECOND_MS 1000

static int64_t clock_ms;

static void run_for(wwh_start_rate_t *rate, int64_t duration_ms,
		    int64_t starts_per_iteration, bool behind)
{
	for (int64_t i = 0; i < duration_ms / ITERATION_MS; i++) {
		clock_ms += ITERATION_MS;
		wwh_start_rate_add(rate, clock_ms, starts_per_iteration,
				   behind);
	}
}

/* Guards against a holder that keeps up and yet refuses jobs. */
static void a_holder_that_keeps_up_has_no_wait(void **state)
{
	wwh_start_rate_t *rate = wwh_start_rate_new();

	(void)state;
	run_for(rate, 5 * SECOND_MS, 1, false);
	assert_int_equal(wwh_start_rate_wait_ms(rate, 100000), 0);
	wwh_start_rate_delete(rate);
}

static void a_backlog_takes_as_long_as_its_starts(void **state)
{
	wwh_start_rate_t *rate = wwh_start_rate_new();

	(void)state;
	run_for(rate, 3 * SECOND_MS, 20, true);
	assert_int_equal(wwh_start_rate_per_s(rate), 400);
	assert_int_equal(wwh_start_rate_wait_ms(rate, 800), 2 * SECOND_MS);
	wwh_start_rate_delete(rate);
}

/* Guards against refusals that are based on the rate under an earlier load. */
static void the_newest_rate_counts_most(void **state)
{
	wwh_start_rate_t *rate = wwh_start_rate_new();

	(void)state;
	run_for(rate, 3 * SECOND_MS, 20, true);
	run_for(rate, 3 * SECOND_MS, 5, true);
	assert_in_range(wwh_start_rate_per_s(rate), 100, 110);
	wwh_start_rate_delete(rate);
}

/* Guards against refusals that continue after the backlog is gone. */
static void the_wait_ends_with_the_backlog(void **state)
{
	wwh_start_rate_t *rate = wwh_start_rate_new();

	(void)state;
	run_for(rate, 3 * SECOND_MS, 1, true);
	assert_true(wwh_start_rate_wait_ms(rate, 1000) > 0);
	run_for(rate, ITERATION_MS, 1, false);
	assert_int_equal(wwh_start_rate_wait_ms(rate, 1000), 0);
	wwh_start_rate_delete(rate);
}

/* A window without any start must not count as an unknown rate. */
static void a_backlog_without_starts_makes_all_wait(void **state)
{
	wwh_start_rate_t *rate = wwh_start_rate_new();

	(void)state;
	run_for(rate, 3 * SECOND_MS, 0, true);
	assert_true(wwh_start_rate_wait_ms(rate, 10) >= 10 * SECOND_MS);
	wwh_start_rate_delete(rate);
}

/* Guards against needless refusals because a pause has lowered the rate. */
static void a_pause_leaves_the_rate_as_it_was(void **state)
{
	wwh_start_rate_t *rate = wwh_start_rate_new();

	(void)state;
	run_for(rate, 3 * SECOND_MS, 20, true);
	for (int32_t i = 0; i < 40; i++) {
		clock_ms += ITERATION_MS;
		wwh_start_rate_pause(rate, clock_ms);
	}
	assert_int_equal(wwh_start_rate_per_s(rate), 400);
	run_for(rate, SECOND_MS, 20, true);
	assert_int_equal(wwh_start_rate_per_s(rate), 400);
	wwh_start_rate_delete(rate);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_holder_that_keeps_up_has_no_wait),
		cmocka_unit_test(a_backlog_takes_as_long_as_its_starts),
		cmocka_unit_test(the_newest_rate_counts_most),
		cmocka_unit_test(the_wait_ends_with_the_backlog),
		cmocka_unit_test(a_pause_leaves_the_rate_as_it_was),
		cmocka_unit_test(a_backlog_without_starts_makes_all_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
