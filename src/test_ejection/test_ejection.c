#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>

#include "waxwinghollow/ejection.h"

#define MINION_COUNT 8

typedef struct {
	wwh_ejection_t states[MINION_COUNT];
	wwh_ejection_t *minions[MINION_COUNT];
	wwh_shift_bucket_t bucket;
} fixture_t;

/* Eight minions with 20 good answers of 20 ms each. */
static void fixture_init(fixture_t *fixture)
{
	wwh_shift_bucket_init(&fixture->bucket, 0, MINION_COUNT * 0.5, 1);
	for (int32_t i = 0; i < MINION_COUNT; i++) {
		fixture->minions[i] = &fixture->states[i];
		wwh_ejection_init(&fixture->states[i], WWH_SHIFT_NO_RAMP);
	}
	for (int32_t i = 0; i < 20 * MINION_COUNT; i++) {
		wwh_ejection_observe(fixture->minions[i % MINION_COUNT], 0,
				     WWH_HEALTH_SIGNAL_GOOD, 20);
		wwh_ejection_evaluate(fixture->minions, MINION_COUNT,
				      i % MINION_COUNT, 0, &fixture->bucket);
	}
}

static bool observe(fixture_t *fixture, int64_t now_ms, int32_t minion,
		    wwh_health_signal_t signal, int32_t run_ms)
{
	wwh_ejection_observe(fixture->minions[minion], now_ms, signal, run_ms);
	return wwh_ejection_evaluate(fixture->minions, MINION_COUNT, minion,
				     now_ms, &fixture->bucket);
}

/* A minion that fails in 1 ms would get most requests without ejection. */
static void a_minion_is_ejected_after_three_failures(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture);
	assert_false(observe(&fixture, 10, 0, WWH_HEALTH_SIGNAL_FAILED, 1));
	assert_false(observe(&fixture, 11, 0, WWH_HEALTH_SIGNAL_FAILED, 1));
	assert_true(observe(&fixture, 12, 0, WWH_HEALTH_SIGNAL_FAILED, 1));
	assert_false(wwh_ejection_is_usable(fixture.minions[0], 0));
}

static void a_minion_is_ejected_after_two_silent_attempts(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture);
	assert_false(observe(&fixture, 500, 0, WWH_HEALTH_SIGNAL_SILENT, 500));
	assert_true(observe(&fixture, 900, 0, WWH_HEALTH_SIGNAL_SILENT, 500));
}

/*
 * A tenth of the requests fail wherever they run. Three consecutive
 * failures on one minion occur by chance and must not eject it.
 */
static void failures_common_to_all_minions_eject_none(void **unused)
{
	GRand *random = g_rand_new_with_seed(11);
	int32_t ejections = 0;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture);
	for (int64_t i = 0; i < 20000; i++) {
		wwh_health_signal_t signal = g_rand_double(random) < 0.1
						     ? WWH_HEALTH_SIGNAL_FAILED
						     : WWH_HEALTH_SIGNAL_GOOD;

		ejections += observe(&fixture, i, (int32_t)(i % MINION_COUNT),
				     signal, 20);
	}
	assert_in_range(ejections, 0, 2);
	g_rand_free(random);
}

/* At least half of the minions stay in use even if all fail or slow down. */
static void at_most_half_of_the_minions_are_ejected(void **unused)
{
	fixture_t fixture;
	int32_t in = 0;

	(void)unused;
	fixture_init(&fixture);
	for (int64_t now_ms = 0; now_ms < 20000; now_ms += 10) {
		for (int32_t i = 0; i < MINION_COUNT; i++) {
			wwh_ejection_advance(fixture.minions[i], now_ms);
			if (wwh_ejection_is_usable(fixture.minions[i], 0))
				observe(&fixture, now_ms, i,
					WWH_HEALTH_SIGNAL_FAILED, 1);
		}
	}
	for (int32_t i = 0; i < MINION_COUNT; i++)
		in += fixture.states[i].state == WWH_EJECTION_IN;
	assert_true(in >= MINION_COUNT / 2);
	/* One minion after another becomes slow compared with the rest. */
	fixture_init(&fixture);
	for (int32_t i = 0; i < MINION_COUNT; i++) {
		for (int32_t k = 0; k < 20; k++)
			observe(&fixture, 10000 * i, i, WWH_HEALTH_SIGNAL_GOOD,
				400);
	}
	in = 0;
	for (int32_t i = 0; i < MINION_COUNT; i++)
		in += fixture.states[i].state == WWH_EJECTION_IN;
	assert_int_equal(in, MINION_COUNT / 2);
}

/*
 * The minion still fails when its ejection ends. A cooldown would send it a
 * full share; here one probe at a time detects it, and the next ejection is
 * longer.
 */
static void probes_decide_the_return(void **unused)
{
	fixture_t fixture;
	int64_t until_ms;

	(void)unused;
	fixture_init(&fixture);
	for (int32_t i = 0; i < 3; i++)
		observe(&fixture, 10, 0, WWH_HEALTH_SIGNAL_FAILED, 1);
	until_ms = fixture.states[0].until_ms;
	assert_in_range(until_ms, 1010, 1010);
	wwh_ejection_advance(fixture.minions[0], until_ms);
	assert_true(wwh_ejection_is_usable(fixture.minions[0], 0));
	assert_false(wwh_ejection_is_usable(fixture.minions[0], 1));
	assert_true(
		observe(&fixture, until_ms, 0, WWH_HEALTH_SIGNAL_FAILED, 1));
	assert_int_equal(fixture.states[0].until_ms, until_ms + 2000);
	until_ms = fixture.states[0].until_ms;
	wwh_ejection_advance(fixture.minions[0], until_ms);
	observe(&fixture, until_ms, 0, WWH_HEALTH_SIGNAL_GOOD, 20);
	assert_int_equal(fixture.states[0].state, WWH_EJECTION_TRIAL);
	observe(&fixture, until_ms, 0, WWH_HEALTH_SIGNAL_GOOD, 20);
	assert_int_equal(fixture.states[0].state, WWH_EJECTION_IN);
	assert_true(wwh_shift_ramp(fixture.states[0].returned_ms, until_ms) <
		    1);
}

static void a_slow_minion_is_ejected_but_long_work_ejects_none(void **unused)
{
	GRand *random = g_rand_new_with_seed(11);
	int32_t ejections = 0;
	fixture_t fixture;
	int32_t answers = 0;

	(void)unused;
	fixture_init(&fixture);
	for (int64_t i = 0; i < 20000; i++) {
		int32_t run_ms = g_rand_double(random) < 0.1 ? 500 : 20;

		ejections += observe(&fixture, i, (int32_t)(i % MINION_COUNT),
				     WWH_HEALTH_SIGNAL_GOOD, run_ms);
	}
	assert_in_range(ejections, 0, 1);
	fixture_init(&fixture);
	while (!observe(&fixture, 100, 0, WWH_HEALTH_SIGNAL_GOOD, 200))
		answers++;
	assert_in_range(answers, 2, 9);
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_minion_is_ejected_after_three_failures),
		cmocka_unit_test(a_minion_is_ejected_after_two_silent_attempts),
		cmocka_unit_test(failures_common_to_all_minions_eject_none),
		cmocka_unit_test(at_most_half_of_the_minions_are_ejected),
		cmocka_unit_test(probes_decide_the_return),
		cmocka_unit_test(
			a_slow_minion_is_ejected_but_long_work_ejects_none),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
