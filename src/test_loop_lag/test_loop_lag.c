/*
 * Detection of overloaded loops, with turns as they were recorded in holders:
 * on healthy hosts, in a new holder, and on hosts that become six times slower.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "waxwinghollow/loop_lag.h"

#define WAIT_MS 20

/*
 * Number of turns of this duration until the loop is overloaded; -1: it isn't
 * within max_turns.
 */
static int32_t turns_until_overloaded(wwh_loop_lag_t *lag, int64_t turn_ms,
				      int32_t max_turns)
{
	for (int32_t i = 0; i < max_turns; i++) {
		if (wwh_loop_lag_is_overloaded(lag))
			return i;
		wwh_loop_lag_add_turn(lag, turn_ms,
				      turn_ms > WAIT_MS ? turn_ms - WAIT_MS
							: 0);
	}
	return -1;
}

static void a_mostly_idle_loop_is_never_overloaded(void **state)
{
	wwh_loop_lag_t *lag = wwh_loop_lag_new();

	(void)state;
	assert_int_equal(turns_until_overloaded(lag, 5, 2000), -1);
	assert_int_equal(turns_until_overloaded(lag, WAIT_MS + 1, 2000), -1);
	wwh_loop_lag_delete(lag);
}

/*
 * Guards against a slow host that isn't detected at peak load. The turns of its
 * loop grow from 5 to some 90 ms and callers wait for seconds, while it answers
 * each status request in time. The lag reveals it within half a second.
 */
static void a_slow_host_is_detected_within_half_a_second(void **state)
{
	wwh_loop_lag_t *lag = wwh_loop_lag_new();
	int32_t turns;

	(void)state;
	turns = turns_until_overloaded(lag, 90, 100);
	assert_in_range(turns * 90, 1, 600);
	wwh_loop_lag_reset(lag);
	turns = turns_until_overloaded(lag, 500, 100);
	assert_in_range(turns * 500, 1, 1000);
	wwh_loop_lag_delete(lag);
}

/*
 * A new holder: 65 ms turns for inherited work, each followed by six 5 ms
 * turns.
 */
static void a_loop_that_recovers_from_long_turns_is_in_time(void **state)
{
	wwh_loop_lag_t *lag = wwh_loop_lag_new();

	(void)state;
	for (int32_t i = 0; i < 100; i++) {
		wwh_loop_lag_add_turn(lag, 65, 45);
		for (int32_t k = 0; k < 6; k++)
			wwh_loop_lag_add_turn(lag, 5, 0);
	}
	assert_false(wwh_loop_lag_is_overloaded(lag));
	wwh_loop_lag_delete(lag);
}

/* A process that was paused for seconds is then as fast as before. */
static void a_single_pause_is_not_an_overload(void **state)
{
	wwh_loop_lag_t *lag = wwh_loop_lag_new();

	(void)state;
	wwh_loop_lag_add_turn(lag, 3000, 2980);
	assert_false(wwh_loop_lag_is_overloaded(lag));
	wwh_loop_lag_delete(lag);
}

/* The overload ends only after idle time that equals the lag. */
static void an_overload_ends_once_the_loop_has_caught_up(void **state)
{
	wwh_loop_lag_t *lag = wwh_loop_lag_new();

	(void)state;
	assert_true(turns_until_overloaded(lag, 90, 100) > 0);
	wwh_loop_lag_add_turn(lag, 5, 0);
	assert_true(wwh_loop_lag_is_overloaded(lag));
	assert_true(wwh_loop_lag_ms(lag) > 0);
	for (int32_t i = 0; i < 60; i++)
		wwh_loop_lag_add_turn(lag, 5, 0);
	assert_false(wwh_loop_lag_is_overloaded(lag));
	wwh_loop_lag_delete(lag);
}

/* Guards against a load that each overloaded process hands over to the next. */
static void lag_of_an_inherited_load_is_not_attributed_to_the_host(void **state)
{
	wwh_loop_lag_t *lag = wwh_loop_lag_new();

	(void)state;
	wwh_loop_lag_inherit_load(lag);
	assert_true(turns_until_overloaded(lag, 90, 100) > 0);
	assert_true(wwh_loop_lag_is_overloaded(lag));
	assert_false(wwh_loop_lag_is_host_slow(lag));
	wwh_loop_lag_delete(lag);
}

/*
 * Guards against a slow host that is never detected after a change of holder.
 */
static void a_loop_that_kept_up_attributes_lag_to_its_host_again(void **state)
{
	wwh_loop_lag_t *lag = wwh_loop_lag_new();

	(void)state;
	wwh_loop_lag_inherit_load(lag);
	assert_int_equal(turns_until_overloaded(lag, 5, 1200), -1);
	assert_true(turns_until_overloaded(lag, 90, 100) > 0);
	assert_true(wwh_loop_lag_is_host_slow(lag));
	wwh_loop_lag_delete(lag);
}

static void run_turns(wwh_loop_lag_t *lag, int64_t units_per_turn,
		      int64_t turn_ms, int64_t overrun_ms)
{
	for (int32_t i = 0; i < 20; i++) {
		wwh_loop_lag_add_work(lag, units_per_turn);
		wwh_loop_lag_add_turn(lag, turn_ms, overrun_ms);
	}
}

#define HIGH_WORK 40 /* per turn, of a loop that is overloaded by its load */
#define LOW_WORK 10

/*
 * An overloaded loop whose owner may require proof of a slow host.
 * units_in_time: units per turn while it kept up (0: it never did);
 * units_overloaded: after that.
 */
static wwh_loop_lag_t *overloaded_lag(bool requires_proof,
				      int64_t units_in_time,
				      int64_t units_overloaded)
{
	wwh_loop_lag_t *lag = wwh_loop_lag_new();

	wwh_loop_lag_require_proof(lag, requires_proof);
	if (units_in_time > 0)
		run_turns(lag, units_in_time, 50, 0);
	run_turns(lag, units_overloaded, 100, 80);
	assert_true(wwh_loop_lag_is_overloaded(lag));
	return lag;
}

/*
 * Guards against a load that the first overloaded process hands over to one
 * that must also restore its state.
 */
static void full_rate_under_overload_is_not_attributed_to_the_host(void **state)
{
	wwh_loop_lag_t *lag = overloaded_lag(true, LOW_WORK, HIGH_WORK);

	(void)state;
	assert_false(wwh_loop_lag_is_host_slow(lag));
	wwh_loop_lag_delete(lag);
}

/* Guards against a slow host that keeps the shard because some work is done. */
static void a_much_lower_rate_is_attributed_to_the_host(void **state)
{
	wwh_loop_lag_t *lag = overloaded_lag(true, 2 * LOW_WORK, LOW_WORK);

	(void)state;
	assert_true(wwh_loop_lag_is_host_slow(lag));
	wwh_loop_lag_delete(lag);
}

/* Guards against a needless hand-over at the end of an overload. */
static void lag_while_catching_up_is_not_attributed_to_the_host(void **state)
{
	wwh_loop_lag_t *lag = overloaded_lag(true, LOW_WORK, HIGH_WORK);

	(void)state;
	for (int32_t i = 0; wwh_loop_lag_is_overloaded(lag); i++) {
		wwh_loop_lag_add_turn(lag, 20, 0);
		assert_false(wwh_loop_lag_is_host_slow(lag));
		assert_true(i < 100);
	}
	wwh_loop_lag_delete(lag);
}

/*
 * Guards against a load that is handed over by a process that has just begun
 * with it and doesn't know yet which rate its host can sustain.
 */
static void overload_without_a_known_rate_is_attributed_to_load(void **state)
{
	wwh_loop_lag_t *lag = overloaded_lag(true, 0, HIGH_WORK);

	(void)state;
	assert_false(wwh_loop_lag_is_host_slow(lag));
	wwh_loop_lag_delete(lag);
}

/*
 * Guards against a slow host that keeps the shard because it had little work.
 */
static void overload_without_required_proof_means_a_slow_host(void **state)
{
	wwh_loop_lag_t *lag = overloaded_lag(false, LOW_WORK, HIGH_WORK);

	(void)state;
	assert_true(wwh_loop_lag_is_host_slow(lag));
	wwh_loop_lag_delete(lag);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_mostly_idle_loop_is_never_overloaded),
		cmocka_unit_test(a_slow_host_is_detected_within_half_a_second),
		cmocka_unit_test(
			a_loop_that_recovers_from_long_turns_is_in_time),
		cmocka_unit_test(a_single_pause_is_not_an_overload),
		cmocka_unit_test(an_overload_ends_once_the_loop_has_caught_up),
		cmocka_unit_test(
			lag_of_an_inherited_load_is_not_attributed_to_the_host),
		cmocka_unit_test(
			a_loop_that_kept_up_attributes_lag_to_its_host_again),
		cmocka_unit_test(
			full_rate_under_overload_is_not_attributed_to_the_host),
		cmocka_unit_test(a_much_lower_rate_is_attributed_to_the_host),
		cmocka_unit_test(
			overload_without_a_known_rate_is_attributed_to_load),
		cmocka_unit_test(
			overload_without_required_proof_means_a_slow_host),
		cmocka_unit_test(
			lag_while_catching_up_is_not_attributed_to_the_host),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
