#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>

#include "waxwinghollow/admission.h"

#define SLOTS 8
#define RUN_MS 40
#define DEADLINE_MS 1000

typedef struct {
	wwh_admission_t *admission;
	GPtrArray *waiting; /* all wwh_waiting_t that were allocated */
	int64_t now_ms;
	int32_t refused;
} fixture_t;

/* A service with 8 slots and a known run time: 200 requests a second. */
static int set_up(void **state)
{
	wwh_admission_options_t options;
	fixture_t *fixture = g_new0(fixture_t, 1);

	wwh_admission_options_defaults(&options);
	options.count_max = 400;
	fixture->admission = wwh_admission_new(&options);
	fixture->waiting = g_ptr_array_new_with_free_func(g_free);
	wwh_admission_set_capacity(fixture->admission, SLOTS);
	for (int32_t i = 0; i < 50; i++)
		wwh_admission_record_run(fixture->admission, (uint64_t)i,
					 RUN_MS);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;
	wwh_waiting_t *waiting = wwh_admission_peek(fixture->admission);

	while (waiting != NULL) {
		wwh_admission_remove(fixture->admission, fixture->now_ms,
				     waiting);
		waiting = wwh_admission_peek(fixture->admission);
	}
	wwh_admission_delete(fixture->admission);
	g_ptr_array_free(fixture->waiting, TRUE);
	g_free(fixture);
	return 0;
}

/* Returns NULL if the request is refused. */
static wwh_waiting_t *offer(fixture_t *fixture, uint64_t team, uint64_t caller,
			    bool urgent)
{
	wwh_waiting_t *waiting = g_new0(wwh_waiting_t, 1);

	waiting->team = team;
	waiting->caller = caller;
	waiting->urgent = urgent;
	waiting->bytes = 100;
	waiting->deadline_ms = fixture->now_ms + DEADLINE_MS;
	g_ptr_array_add(fixture->waiting, waiting);
	if (wwh_admission_offer(fixture->admission, fixture->now_ms, waiting,
				false) == WWH_ADMISSION_ADMITTED)
		return waiting;
	fixture->refused++;
	return NULL;
}

static wwh_waiting_t *start_next(fixture_t *fixture)
{
	wwh_waiting_t *waiting = wwh_admission_peek(fixture->admission);

	if (waiting != NULL)
		wwh_admission_start(fixture->admission, fixture->now_ms,
				    waiting);
	return waiting;
}

/*
 * Three times the capacity of the service arrives for 20 s. Two thirds are
 * refused on arrival, admitted requests start in time, and no slot is idle for
 * lack of a request.
 */
static void saturation_refuses_on_arrival(void **state)
{
	fixture_t *fixture = *state;
	int32_t idle = 0, late = 0;

	for (int32_t tick = 0; tick < 4000; tick++) {
		wwh_waiting_t *waiting;

		fixture->now_ms += 5; /* a slot becomes free every 5 ms */
		for (int32_t i = 0; i < 3; i++)
			offer(fixture, 0, (uint64_t)(tick * 3 + i) % 64, false);
		waiting = start_next(fixture);
		idle += waiting == NULL;
		late += waiting != NULL &&
			fixture->now_ms >= waiting->latest_start_ms;
	}
	assert_int_equal(idle, 0);
	assert_int_equal(late, 0);
	assert_in_range(fixture->refused, 7800, 8000);
}

/* One caller sends nine tenths of the load; nine others share the rest. */
static void a_busy_caller_does_not_starve_the_others(void **state)
{
	fixture_t *fixture = *state;
	int32_t served[10] = { 0 };
	int32_t offered[10] = { 0 };

	for (int32_t tick = 0; tick < 4000; tick++) {
		wwh_waiting_t *waiting;

		fixture->now_ms += 5;
		for (int32_t i = 0; i < 3; i++) {
			uint64_t caller = 0;

			if ((tick * 3 + i) % 10 == 0)
				caller = 1 + (uint64_t)(tick % 9);
			offered[caller]++;
			offer(fixture, 0, caller, false);
		}
		waiting = start_next(fixture);
		if (waiting != NULL)
			served[waiting->caller]++;
	}
	for (int32_t i = 1; i < 10; i++)
		assert_true(served[i] * 100 >= offered[i] * 95);
}

/* A team with many callers gets no more than a team with one. */
static void teams_share_before_their_callers(void **state)
{
	fixture_t *fixture = *state;
	int32_t served[2] = { 0 };

	for (int32_t i = 0; i < 60; i++) {
		offer(fixture, 1, (uint64_t)i, false);
		offer(fixture, 0, 1000, false);
	}
	for (int32_t i = 0; i < 40; i++)
		served[start_next(fixture)->team]++;
	assert_in_range(served[0], 18, 22);
}

static void urgent_starts_first_but_bulk_makes_progress(void **state)
{
	fixture_t *fixture = *state;
	int32_t urgent = 0;

	for (int32_t i = 0; i < 40; i++) {
		offer(fixture, 0, 1, false);
		offer(fixture, 0, 2, true);
	}
	for (int32_t i = 0; i < 32; i++)
		urgent += start_next(fixture)->urgent;
	assert_int_equal(urgent, 28);
}

/* Starts are charged by run time: long requests get no more slot time. */
static void long_work_is_charged_by_its_run_time(void **state)
{
	fixture_t *fixture = *state;
	int32_t served[2] = { 0 };

	wwh_admission_set_capacity(fixture->admission, 10000);
	for (int32_t i = 0; i < 50; i++)
		wwh_admission_record_run(fixture->admission, 1, 10 * RUN_MS);
	for (int32_t i = 0; i < 30; i++) {
		offer(fixture, 0, 0, false);
		offer(fixture, 0, 1, false);
	}
	for (int32_t i = 0; i < 22; i++)
		served[start_next(fixture)->caller]++;
	assert_in_range(served[1], 1, 3);
}

/* One caller sends more than the queue holds; another is still admitted. */
static void one_caller_can_not_fill_the_queue(void **state)
{
	fixture_t *fixture = *state;

	wwh_admission_set_capacity(fixture->admission, 10000);
	for (int32_t i = 0; i < 1000; i++)
		offer(fixture, 0, 7, false);
	assert_in_range(wwh_admission_waiting(fixture->admission), 190, 210);
	assert_non_null(offer(fixture, 0, 8, false));
}

static void bytes_are_bounded(void **state)
{
	fixture_t *fixture = *state;
	wwh_waiting_t big = { .bytes = 17 * 1024 * 1024, .deadline_ms = 1000 };

	assert_int_equal(wwh_admission_offer(fixture->admission, 0, &big, true),
			 WWH_ADMISSION_QUEUE_FULL);
}

/*
 * 200 callers are refused at the same instant. With the same Retry-After they
 * would return as one burst; each gets the time at which it can be served.
 */
static void retry_after_spreads_those_refused(void **state)
{
	fixture_t *fixture = *state;
	int32_t first, last = 0;

	for (int32_t i = 0; i < 600; i++)
		offer(fixture, 0, (uint64_t)i, false);
	first = wwh_admission_retry_after_ms(fixture->admission, 0, false, 1);
	for (int32_t i = 0; i < 199; i++)
		last = wwh_admission_retry_after_ms(fixture->admission, 0,
						    false, 1);
	assert_in_range(last - first, 700, 1300);
	for (int32_t i = 0; i < 100000; i++)
		last = wwh_admission_retry_after_ms(fixture->admission, 0,
						    false, 1);
	assert_int_equal(last, 60000);
}

/* Thousands of requests are cancelled together; their space is free at once. */
static void cancellation_frees_queue_space_at_once(void **state)
{
	fixture_t *fixture = *state;

	wwh_admission_set_capacity(fixture->admission, 10000);
	for (int32_t round = 0; round < 20; round++) {
		guint from = fixture->waiting->len;

		for (int32_t i = 0; i < 400; i++)
			assert_non_null(offer(fixture, (uint64_t)i % 3,
					      (uint64_t)i, i % 2 == 0));
		assert_null(offer(fixture, 0, 9999, false));
		for (guint i = from; i < from + 400; i++)
			wwh_admission_remove(
				fixture->admission, fixture->now_ms,
				g_ptr_array_index(fixture->waiting, i));
		assert_int_equal(wwh_admission_waiting(fixture->admission), 0);
		assert_int_equal(
			wwh_admission_waiting_bytes(fixture->admission), 0);
	}
}

/* Run times grow tenfold and shrink again; the estimates follow. */
static void estimates_follow_a_factor_of_ten(void **state)
{
	fixture_t *fixture = *state;

	for (int32_t i = 0; i < 200; i++)
		wwh_admission_record_run(fixture->admission, 0, 10 * RUN_MS);
	assert_in_range(wwh_admission_median_ms(fixture->admission), 350, 450);
	for (int32_t i = 0; i < 200; i++)
		wwh_admission_record_run(fixture->admission, 0, RUN_MS);
	assert_in_range(wwh_admission_median_ms(fixture->admission), 35, 45);
}

int main(void)
{
#define ADMISSION_TEST(name)                                                   \
	cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		ADMISSION_TEST(saturation_refuses_on_arrival),
		ADMISSION_TEST(a_busy_caller_does_not_starve_the_others),
		ADMISSION_TEST(teams_share_before_their_callers),
		ADMISSION_TEST(urgent_starts_first_but_bulk_makes_progress),
		ADMISSION_TEST(long_work_is_charged_by_its_run_time),
		ADMISSION_TEST(one_caller_can_not_fill_the_queue),
		ADMISSION_TEST(bytes_are_bounded),
		ADMISSION_TEST(retry_after_spreads_those_refused),
		ADMISSION_TEST(cancellation_frees_queue_space_at_once),
		ADMISSION_TEST(estimates_follow_a_factor_of_ten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
