/*
 * Whether a loop keeps up, by turns as they were recorded of holders: of sound
 * hosts, one that begins, and hosts that turn six times slower.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "waxwinghollow/loop_lag.h"

#define WAIT_MS 20

/* Turns of that length until the loop is late; -1: it isn't within so many. */
static int32_t turns_until_overloaded(wwh_loop_lag_t *lag, int64_t turn_ms,
				      int32_t most)
{
	for (int32_t i = 0; i < most; i++) {
		if (wwh_loop_lag_is_overloaded(lag))
			return i;
		wwh_loop_lag_add_turn(lag, turn_ms,
				      turn_ms > WAIT_MS ? turn_ms - WAIT_MS
							: 0);
	}
	return -1;
}

static void a_loop_that_waits_most_of_the_time_is_never_late(void **state)
{
	wwh_loop_lag_t *lag = wwh_loop_lag_new();

	(void)state;
	assert_int_equal(turns_until_overloaded(lag, 5, 2000), -1);
	assert_int_equal(turns_until_overloaded(lag, WAIT_MS + 1, 2000), -1);
	wwh_loop_lag_delete(lag);
}

/*
 * A host turns slow at the top of a peak. The turns of its loop grow from 5 to
 * some 90 ms, callers wait for seconds, and each question to it is answered in
 * time all the while. The loop itself shows it within half a second.
 */
static void a_slow_host_shows_within_half_a_second(void **state)
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

/* A new holder: 30 ms turns for what it inherited, then 5 ms ones. */
static void a_loop_that_makes_up_for_it_is_not_late(void **state)
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

/* Frozen for seconds and awake again, it is as fast as before. */
static void one_pause_is_no_lateness(void **state)
{
	wwh_loop_lag_t *lag = wwh_loop_lag_new();

	(void)state;
	wwh_loop_lag_add_turn(lag, 3000, 2980);
	assert_false(wwh_loop_lag_is_overloaded(lag));
	wwh_loop_lag_delete(lag);
}

/* It takes as long to be believed in time again as it was behind. */
static void a_late_loop_is_in_time_once_it_has_caught_up(void **state)
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

/* Guards against a load that is passed on by each process that can't bear it. */
static void lag_of_an_inherited_load_is_not_blamed_on_the_host(void **state)
{
	wwh_loop_lag_t *lag = wwh_loop_lag_new();

	(void)state;
	wwh_loop_lag_inherit_load(lag);
	assert_true(turns_until_overloaded(lag, 90, 100) > 0);
	assert_true(wwh_loop_lag_is_overloaded(lag));
	assert_false(wwh_loop_lag_blames_host(lag));
	wwh_loop_lag_delete(lag);
}

/* Guards against a slow host that is never blamed after a change of holder. */
static void a_loop_that_kept_up_blames_its_host_again(void **state)
{
	wwh_loop_lag_t *lag = wwh_loop_lag_new();

	(void)state;
	wwh_loop_lag_inherit_load(lag);
	assert_int_equal(turns_until_overloaded(lag, 5, 1200), -1);
	assert_true(turns_until_overloaded(lag, 90, 100) > 0);
	assert_true(wwh_loop_lag_blames_host(lag));
	wwh_loop_lag_delete(lag);
}

static void work_for(wwh_loop_lag_t *lag, int64_t units_a_turn, int64_t turn_ms,
		     int64_t overrun_ms)
{
	for (int32_t i = 0; i < 20; i++) {
		wwh_loop_lag_add_work(lag, units_a_turn);
		wwh_loop_lag_add_turn(lag, turn_ms, overrun_ms);
	}
}

#define HARD_WORK 40 /* of a loop that is overloaded by its load */
#define LITTLE_WORK 10

/*
 * An overloaded loop, whose owner may want proof of a slow host: units a turn while
 * it kept up (0: it never did), and then.
 */
static wwh_loop_lag_t *overloaded_lag(bool wants_proof, int64_t units_in_time,
				      int64_t units_overloaded)
{
	wwh_loop_lag_t *lag = wwh_loop_lag_new();

	wwh_loop_lag_want_proof(lag, wants_proof);
	if (units_in_time > 0)
		work_for(lag, units_in_time, 50, 0);
	work_for(lag, units_overloaded, 100, 80);
	assert_true(wwh_loop_lag_is_overloaded(lag));
	return lag;
}

/*
 * Guards against a load that is passed on by the first process that can't bear it,
 * to one that has to recover it besides.
 */
static void a_loop_that_does_as_much_as_ever_is_on_no_slow_host(void **state)
{
	wwh_loop_lag_t *lag = overloaded_lag(true, LITTLE_WORK, HARD_WORK);

	(void)state;
	assert_false(wwh_loop_lag_blames_host(lag));
	wwh_loop_lag_delete(lag);
}

/* Guards against a slow host that keeps the shard as its work goes on somehow. */
static void a_loop_that_does_much_less_is_on_a_slow_host(void **state)
{
	wwh_loop_lag_t *lag =
		overloaded_lag(true, 2 * LITTLE_WORK, LITTLE_WORK);

	(void)state;
	assert_true(wwh_loop_lag_blames_host(lag));
	wwh_loop_lag_delete(lag);
}

/* Guards against a hand-over for nothing at the end of an overload. */
static void a_loop_that_catches_up_is_on_no_slow_host(void **state)
{
	wwh_loop_lag_t *lag = overloaded_lag(true, LITTLE_WORK, HARD_WORK);

	(void)state;
	for (int32_t i = 0; wwh_loop_lag_is_overloaded(lag); i++) {
		wwh_loop_lag_add_turn(lag, 20, 0);
		assert_false(wwh_loop_lag_blames_host(lag));
		assert_true(i < 100);
	}
	wwh_loop_lag_delete(lag);
}

/*
 * Guards against a load that is passed on by a process which has only just begun
 * with it, and knows nothing of what its host can do.
 */
static void a_loop_that_never_kept_up_shows_no_slow_host(void **state)
{
	wwh_loop_lag_t *lag = overloaded_lag(true, 0, HARD_WORK);

	(void)state;
	assert_false(wwh_loop_lag_blames_host(lag));
	wwh_loop_lag_delete(lag);
}

/* Guards against a slow host that had little to do before, and keeps the shard. */
static void without_proof_wanted_the_host_is_blamed(void **state)
{
	wwh_loop_lag_t *lag = overloaded_lag(false, LITTLE_WORK, HARD_WORK);

	(void)state;
	assert_true(wwh_loop_lag_blames_host(lag));
	wwh_loop_lag_delete(lag);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			a_loop_that_waits_most_of_the_time_is_never_late),
		cmocka_unit_test(a_slow_host_shows_within_half_a_second),
		cmocka_unit_test(a_loop_that_makes_up_for_it_is_not_late),
		cmocka_unit_test(one_pause_is_no_lateness),
		cmocka_unit_test(a_late_loop_is_in_time_once_it_has_caught_up),
		cmocka_unit_test(
			lag_of_an_inherited_load_is_not_blamed_on_the_host),
		cmocka_unit_test(a_loop_that_kept_up_blames_its_host_again),
		cmocka_unit_test(
			a_loop_that_does_as_much_as_ever_is_on_no_slow_host),
		cmocka_unit_test(a_loop_that_does_much_less_is_on_a_slow_host),
		cmocka_unit_test(a_loop_that_never_kept_up_shows_no_slow_host),
		cmocka_unit_test(without_proof_wanted_the_host_is_blamed),
		cmocka_unit_test(a_loop_that_catches_up_is_on_no_slow_host),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
