#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>

#include "waxwinghollow/ejection.h"

#define COUNT 8

typedef struct {
	wwh_ejection_t states[COUNT];
	wwh_ejection_t *minions[COUNT];
	wwh_shift_bucket_t bucket;
} rig_t;

/* Eight minions with 20 good answers of 20 ms each. */
static void set_up(rig_t *rig)
{
	wwh_shift_bucket_init(&rig->bucket, 0, COUNT * 0.5, 1);
	for (int32_t i = 0; i < COUNT; i++) {
		rig->minions[i] = &rig->states[i];
		wwh_ejection_init(&rig->states[i], WWH_SHIFT_NO_RAMP);
	}
	for (int32_t i = 0; i < 20 * COUNT; i++) {
		wwh_ejection_observe(rig->minions[i % COUNT], 0,
				     WWH_HEALTH_SIGNAL_GOOD, 20);
		wwh_ejection_evaluate(rig->minions, COUNT, i % COUNT, 0,
				      &rig->bucket);
	}
}

static bool see(rig_t *rig, int64_t now_ms, int32_t minion,
		wwh_health_signal_t sign, int32_t run_ms)
{
	wwh_ejection_observe(rig->minions[minion], now_ms, sign, run_ms);
	return wwh_ejection_evaluate(rig->minions, COUNT, minion, now_ms,
				     &rig->bucket);
}

/* It fails in 1 ms and is free again: without ejection it gets most work. */
static void a_failing_minion_is_out_after_three_failures(void **unused)
{
	rig_t rig;

	(void)unused;
	set_up(&rig);
	assert_false(see(&rig, 10, 0, WWH_HEALTH_SIGNAL_FAILED, 1));
	assert_false(see(&rig, 11, 0, WWH_HEALTH_SIGNAL_FAILED, 1));
	assert_true(see(&rig, 12, 0, WWH_HEALTH_SIGNAL_FAILED, 1));
	assert_false(wwh_ejection_is_usable(rig.minions[0], 0));
}

static void a_silent_minion_is_out_after_two(void **unused)
{
	rig_t rig;

	(void)unused;
	set_up(&rig);
	assert_false(see(&rig, 500, 0, WWH_HEALTH_SIGNAL_SILENT, 500));
	assert_true(see(&rig, 900, 0, WWH_HEALTH_SIGNAL_SILENT, 500));
}

/*
 * A tenth of the requests fail wherever they run. Three failures in a row on
 * one minion happen by chance and are no reason.
 */
static void failures_that_all_have_eject_nobody(void **unused)
{
	GRand *random = g_rand_new_with_seed(11);
	int32_t ejections = 0;
	rig_t rig;

	(void)unused;
	set_up(&rig);
	for (int64_t i = 0; i < 20000; i++) {
		wwh_health_signal_t sign = g_rand_double(random) < 0.1
						   ? WWH_HEALTH_SIGNAL_FAILED
						   : WWH_HEALTH_SIGNAL_GOOD;

		ejections += see(&rig, i, (int32_t)(i % COUNT), sign, 20);
	}
	assert_in_range(ejections, 0, 2);
	g_rand_free(random);
}

/* Whatever fails, at least half of the minions stay in use. */
static void half_of_the_minions_always_stay(void **unused)
{
	rig_t rig;
	int32_t in = 0;

	(void)unused;
	set_up(&rig);
	for (int64_t now_ms = 0; now_ms < 20000; now_ms += 10) {
		for (int32_t i = 0; i < COUNT; i++) {
			wwh_ejection_advance(rig.minions[i], now_ms);
			if (wwh_ejection_is_usable(rig.minions[i], 0))
				see(&rig, now_ms, i, WWH_HEALTH_SIGNAL_FAILED,
				    1);
		}
	}
	for (int32_t i = 0; i < COUNT; i++)
		in += rig.states[i].state == WWH_EJECTION_IN;
	assert_true(in >= COUNT / 2);
	/* One after another becomes slow, each an outlier to the rest. */
	set_up(&rig);
	for (int32_t i = 0; i < COUNT; i++) {
		for (int32_t k = 0; k < 20; k++)
			see(&rig, 10000 * i, i, WWH_HEALTH_SIGNAL_GOOD, 400);
	}
	in = 0;
	for (int32_t i = 0; i < COUNT; i++)
		in += rig.states[i].state == WWH_EJECTION_IN;
	assert_int_equal(in, COUNT / 2);
}

/*
 * The minion is still bad when its time is over. The cooldown would send it a
 * full share; here one probe at a time finds out, and the next time is longer.
 */
static void return_is_by_probes(void **unused)
{
	rig_t rig;
	int64_t until_ms;

	(void)unused;
	set_up(&rig);
	for (int32_t i = 0; i < 3; i++)
		see(&rig, 10, 0, WWH_HEALTH_SIGNAL_FAILED, 1);
	until_ms = rig.states[0].until_ms;
	assert_in_range(until_ms, 1010, 1010);
	wwh_ejection_advance(rig.minions[0], until_ms);
	assert_true(wwh_ejection_is_usable(rig.minions[0], 0));
	assert_false(wwh_ejection_is_usable(rig.minions[0], 1));
	assert_true(see(&rig, until_ms, 0, WWH_HEALTH_SIGNAL_FAILED, 1));
	assert_int_equal(rig.states[0].until_ms, until_ms + 2000);
	until_ms = rig.states[0].until_ms;
	wwh_ejection_advance(rig.minions[0], until_ms);
	see(&rig, until_ms, 0, WWH_HEALTH_SIGNAL_GOOD, 20);
	assert_int_equal(rig.states[0].state, WWH_EJECTION_TRIAL);
	see(&rig, until_ms, 0, WWH_HEALTH_SIGNAL_GOOD, 20);
	assert_int_equal(rig.states[0].state, WWH_EJECTION_IN);
	assert_true(wwh_shift_ramp(rig.states[0].returned_ms, until_ms) < 1);
}

static void a_slow_minion_is_out_and_long_work_is_no_sign(void **unused)
{
	GRand *random = g_rand_new_with_seed(11);
	int32_t ejections = 0;
	rig_t rig;
	int32_t answers = 0;

	(void)unused;
	set_up(&rig);
	for (int64_t i = 0; i < 20000; i++) {
		int32_t run_ms = g_rand_double(random) < 0.1 ? 500 : 20;

		ejections += see(&rig, i, (int32_t)(i % COUNT),
				 WWH_HEALTH_SIGNAL_GOOD, run_ms);
	}
	assert_in_range(ejections, 0, 1);
	set_up(&rig);
	while (!see(&rig, 100, 0, WWH_HEALTH_SIGNAL_GOOD, 200))
		answers++;
	assert_in_range(answers, 2, 9);
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_failing_minion_is_out_after_three_failures),
		cmocka_unit_test(a_silent_minion_is_out_after_two),
		cmocka_unit_test(failures_that_all_have_eject_nobody),
		cmocka_unit_test(half_of_the_minions_always_stay),
		cmocka_unit_test(return_is_by_probes),
		cmocka_unit_test(a_slow_minion_is_out_and_long_work_is_no_sign),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
