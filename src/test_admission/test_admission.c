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
	GPtrArray *waiting; /* every wwh_waiting_t that was made */
	int64_t now_ms;
	int32_t refused;
} rig_t;

/* A service with 8 slots and a known run time: 200 requests a second. */
static int set_up(void **state)
{
	wwh_admission_options_t options;
	rig_t *rig = g_new0(rig_t, 1);

	wwh_admission_options_defaults(&options);
	options.count_max = 400;
	rig->admission = wwh_admission_new(&options);
	rig->waiting = g_ptr_array_new_with_free_func(g_free);
	wwh_admission_set_capacity(rig->admission, SLOTS);
	for (int32_t i = 0; i < 50; i++)
		wwh_admission_record_run(rig->admission, (uint64_t)i, RUN_MS);
	*state = rig;
	return 0;
}

static int tear_down(void **state)
{
	rig_t *rig = *state;
	wwh_waiting_t *waiting = wwh_admission_peek(rig->admission);

	while (waiting != NULL) {
		wwh_admission_remove(rig->admission, rig->now_ms, waiting);
		waiting = wwh_admission_peek(rig->admission);
	}
	wwh_admission_delete(rig->admission);
	g_ptr_array_free(rig->waiting, TRUE);
	g_free(rig);
	return 0;
}

/* NULL: refused. */
static wwh_waiting_t *offer(rig_t *rig, uint64_t team, uint64_t caller,
			    bool urgent)
{
	wwh_waiting_t *waiting = g_new0(wwh_waiting_t, 1);

	waiting->team = team;
	waiting->caller = caller;
	waiting->urgent = urgent;
	waiting->bytes = 100;
	waiting->deadline_ms = rig->now_ms + DEADLINE_MS;
	g_ptr_array_add(rig->waiting, waiting);
	if (wwh_admission_offer(rig->admission, rig->now_ms, waiting, false) ==
	    WWH_ADMISSION_ADMITTED)
		return waiting;
	rig->refused++;
	return NULL;
}

static wwh_waiting_t *take(rig_t *rig)
{
	wwh_waiting_t *waiting = wwh_admission_peek(rig->admission);

	if (waiting != NULL)
		wwh_admission_start(rig->admission, rig->now_ms, waiting);
	return waiting;
}

/*
 * Three times what the service bears arrives for 20 s. Callers see: two
 * thirds are refused on arrival, those let in start in time, and a slot is
 * never idle for want of a request.
 */
static void saturation_refuses_on_arrival(void **state)
{
	rig_t *rig = *state;
	int32_t idle = 0, late = 0;

	for (int32_t tick = 0; tick < 4000; tick++) {
		wwh_waiting_t *waiting;

		rig->now_ms += 5; /* a slot gets free each 5 ms */
		for (int32_t i = 0; i < 3; i++)
			offer(rig, 0, (uint64_t)(tick * 3 + i) % 64, false);
		waiting = take(rig);
		idle += waiting == NULL;
		late += waiting != NULL &&
			rig->now_ms >= waiting->latest_start_ms;
	}
	assert_int_equal(idle, 0);
	assert_int_equal(late, 0);
	assert_in_range(rig->refused, 7800, 8000);
}

/* One caller sends nine tenths of the load; nine others share the rest. */
static void a_busy_caller_does_not_starve_the_others(void **state)
{
	rig_t *rig = *state;
	int32_t served[10] = { 0 };
	int32_t offered[10] = { 0 };

	for (int32_t tick = 0; tick < 4000; tick++) {
		wwh_waiting_t *waiting;

		rig->now_ms += 5;
		for (int32_t i = 0; i < 3; i++) {
			uint64_t caller = 0;

			if ((tick * 3 + i) % 10 == 0)
				caller = 1 + (uint64_t)(tick % 9);
			offered[caller]++;
			offer(rig, 0, caller, false);
		}
		waiting = take(rig);
		if (waiting != NULL)
			served[waiting->caller]++;
	}
	for (int32_t i = 1; i < 10; i++)
		assert_true(served[i] * 100 >= offered[i] * 95);
}

/* A team with many callers gets no more than a team with one. */
static void teams_share_before_their_callers(void **state)
{
	rig_t *rig = *state;
	int32_t served[2] = { 0 };

	for (int32_t i = 0; i < 60; i++) {
		offer(rig, 1, (uint64_t)i, false);
		offer(rig, 0, 1000, false);
	}
	for (int32_t i = 0; i < 40; i++)
		served[take(rig)->team]++;
	assert_in_range(served[0], 18, 22);
}

static void urgent_goes_first_but_bulk_moves(void **state)
{
	rig_t *rig = *state;
	int32_t urgent = 0;

	for (int32_t i = 0; i < 40; i++) {
		offer(rig, 0, 1, false);
		offer(rig, 0, 2, true);
	}
	for (int32_t i = 0; i < 32; i++)
		urgent += take(rig)->urgent;
	assert_int_equal(urgent, 28);
}

/* Long work is charged: its caller gets slots for the same time, not more. */
static void long_work_is_charged_by_its_run_time(void **state)
{
	rig_t *rig = *state;
	int32_t served[2] = { 0 };

	wwh_admission_set_capacity(rig->admission, 10000);
	for (int32_t i = 0; i < 50; i++)
		wwh_admission_record_run(rig->admission, 1, 10 * RUN_MS);
	for (int32_t i = 0; i < 30; i++) {
		offer(rig, 0, 0, false);
		offer(rig, 0, 1, false);
	}
	for (int32_t i = 0; i < 22; i++)
		served[take(rig)->caller]++;
	assert_in_range(served[1], 1, 3);
}

/* The queue is full of one caller's requests; another still gets in. */
static void one_caller_can_not_fill_the_queue(void **state)
{
	rig_t *rig = *state;

	wwh_admission_set_capacity(rig->admission, 10000);
	for (int32_t i = 0; i < 1000; i++)
		offer(rig, 0, 7, false);
	assert_in_range(wwh_admission_waiting(rig->admission), 190, 210);
	assert_non_null(offer(rig, 0, 8, false));
}

static void bytes_are_bounded(void **state)
{
	rig_t *rig = *state;
	wwh_waiting_t big = { .bytes = 17 * 1024 * 1024, .deadline_ms = 1000 };

	assert_int_equal(wwh_admission_offer(rig->admission, 0, &big, true),
			 WWH_ADMISSION_QUEUE_FULL);
}

/*
 * 200 callers are refused in the same instant. Told the same time, they would
 * return as one burst; each is told the time at which its turn can come.
 */
static void retry_after_spreads_those_refused(void **state)
{
	rig_t *rig = *state;
	int32_t first, last = 0;

	for (int32_t i = 0; i < 600; i++)
		offer(rig, 0, (uint64_t)i, false);
	first = wwh_admission_retry_after_ms(rig->admission, 0, false, 1);
	for (int32_t i = 0; i < 199; i++)
		last = wwh_admission_retry_after_ms(rig->admission, 0, false,
						    1);
	assert_in_range(last - first, 700, 1300);
	for (int32_t i = 0; i < 100000; i++)
		last = wwh_admission_retry_after_ms(rig->admission, 0, false,
						    1);
	assert_int_equal(last, 60000);
}

/* Thousands go away together; the place of each is free at once. */
static void cancellation_frees_the_place_at_once(void **state)
{
	rig_t *rig = *state;

	wwh_admission_set_capacity(rig->admission, 10000);
	for (int32_t round = 0; round < 20; round++) {
		guint from = rig->waiting->len;

		for (int32_t i = 0; i < 400; i++)
			assert_non_null(offer(rig, (uint64_t)i % 3, (uint64_t)i,
					      i % 2 == 0));
		assert_null(offer(rig, 0, 9999, false));
		for (guint i = from; i < from + 400; i++)
			wwh_admission_remove(
				rig->admission, rig->now_ms,
				g_ptr_array_index(rig->waiting, i));
		assert_int_equal(wwh_admission_waiting(rig->admission), 0);
		assert_int_equal(wwh_admission_waiting_bytes(rig->admission),
				 0);
	}
}

/* Run times are ten times what they were; the estimates follow. */
static void estimates_follow_a_factor_of_ten(void **state)
{
	rig_t *rig = *state;

	for (int32_t i = 0; i < 200; i++)
		wwh_admission_record_run(rig->admission, 0, 10 * RUN_MS);
	assert_in_range(wwh_admission_median_ms(rig->admission), 350, 450);
	for (int32_t i = 0; i < 200; i++)
		wwh_admission_record_run(rig->admission, 0, RUN_MS);
	assert_in_range(wwh_admission_median_ms(rig->admission), 35, 45);
}

int main(void)
{
#define ADMISSION_TEST(name)                                                   \
	cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		ADMISSION_TEST(saturation_refuses_on_arrival),
		ADMISSION_TEST(a_busy_caller_does_not_starve_the_others),
		ADMISSION_TEST(teams_share_before_their_callers),
		ADMISSION_TEST(urgent_goes_first_but_bulk_moves),
		ADMISSION_TEST(long_work_is_charged_by_its_run_time),
		ADMISSION_TEST(one_caller_can_not_fill_the_queue),
		ADMISSION_TEST(bytes_are_bounded),
		ADMISSION_TEST(retry_after_spreads_those_refused),
		ADMISSION_TEST(cancellation_frees_the_place_at_once),
		ADMISSION_TEST(estimates_follow_a_factor_of_ten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
