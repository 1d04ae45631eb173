#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <stdio.h>

#include "waxwinghollow/limiter.h"

/* The parts of any division of the seats sum up to exactly the slots. */
static void parts_sum_up_to_the_slots(void **unused)
{
	char minion[16];

	(void)unused;
	for (int32_t seats = 1; seats <= 9; seats++) {
		for (int32_t total = 0; total <= 65; total++) {
			int32_t sum = 0;

			snprintf(minion, sizeof(minion), "m%d", total);
			for (int32_t seat = 0; seat < seats; seat++)
				sum += wwh_limiter_part(minion, total, seats,
							1ULL << seat);
			assert_int_equal(sum, total);
			assert_int_equal(wwh_limiter_part(minion, total, seats,
							  (1ULL << seats) - 1),
					 total);
		}
	}
}

/* What is learned may only shrink a part, or the sum would not be safe. */
static void fewer_slots_never_make_a_larger_part(void **unused)
{
	(void)unused;
	for (int32_t total = 1; total <= 64; total++) {
		for (int32_t seat = 0; seat < 8; seat++)
			assert_true(
				wwh_limiter_part("m", total - 1, 8,
						 1ULL << seat) <=
				wwh_limiter_part("m", total, 8, 1ULL << seat));
	}
}

static void three_slots_fall_to_different_seats(void **unused)
{
	int32_t by_seat[8] = { 0 };
	char minion[16];

	(void)unused;
	for (int32_t i = 0; i < 400; i++) {
		snprintf(minion, sizeof(minion), "minion-%d", i);
		for (int32_t seat = 0; seat < 8; seat++)
			by_seat[seat] +=
				wwh_limiter_part(minion, 3, 8, 1ULL << seat);
	}
	for (int32_t seat = 0; seat < 8; seat++)
		assert_in_range(by_seat[seat], 100, 200);
}

/*
 * A minion declares 8 slots and refuses everything above 2. The number finds
 * 2, and tries 3 ever more rarely; it comes back when the minion bears all.
 */
static void the_number_finds_what_the_minion_bears(void **unused)
{
	wwh_slot_limit_t bearing;
	int32_t tries = 0;
	int64_t now_ms = 0;

	(void)unused;
	wwh_slot_limit_init(&bearing, 8);
	for (; now_ms < 200000; now_ms += 10) {
		wwh_slot_limit_advance(&bearing, now_ms);
		if (bearing.bears <= 2)
			continue;
		if (wwh_slot_limit_record_refusal(&bearing, now_ms, 40))
			tries += now_ms > 100000;
	}
	assert_int_equal(bearing.bears, 2);
	assert_in_range(tries, 3, 10);
	for (; now_ms < 300000; now_ms += 10)
		wwh_slot_limit_advance(&bearing, now_ms);
	assert_int_equal(bearing.bears, 8);
}

static void one_burst_of_refusals_counts_once(void **unused)
{
	wwh_slot_limit_t bearing;

	(void)unused;
	wwh_slot_limit_init(&bearing, 8);
	for (int32_t i = 0; i < 8; i++)
		wwh_slot_limit_record_refusal(&bearing, 1000 + i, 40);
	assert_int_equal(bearing.bears, 7);
}

/* One in twenty is refused, as when a request was given up elsewhere. */
static void single_refusals_change_nothing(void **unused)
{
	wwh_slot_limit_t bearing;

	(void)unused;
	wwh_slot_limit_init(&bearing, 8);
	for (int32_t i = 1; i < 2000; i++) {
		if (i % 20 == 0)
			wwh_slot_limit_record_refusal(&bearing, 100 * i, 40);
		else
			wwh_slot_limit_record_answer(&bearing);
	}
	assert_int_equal(bearing.bears, 8);
}

static void refuse_twice(wwh_slot_limit_t *bearing, int64_t now_ms)
{
	wwh_slot_limit_record_refusal(bearing, now_ms, 0);
	wwh_slot_limit_record_refusal(bearing, now_ms, 0);
}

/* Two processes tell each other; late and repeated messages do no harm. */
static void processes_agree_on_the_number(void **unused)
{
	wwh_slot_limit_t a, b;

	(void)unused;
	wwh_slot_limit_init(&a, 8);
	wwh_slot_limit_init(&b, 8);
	refuse_twice(&a, 1000);
	refuse_twice(&a, 1200);
	assert_true(wwh_slot_limit_handle_update(&b, 2001, a.version, a.bears));
	assert_int_equal(b.bears, 6);
	assert_false(wwh_slot_limit_handle_update(&a, 2002, 0, 8));
	assert_false(wwh_slot_limit_handle_update(&b, 2003, 1, 7));
	refuse_twice(&b, 3000);
	assert_true(wwh_slot_limit_handle_update(&a, 3001, b.version, b.bears));
	assert_int_equal(a.bears, 5);
	assert_false(wwh_slot_limit_handle_update(&a, 3002, 100, 9));
}

/* With one slot, the slow start is a pause: half the limit, half the use. */
static void a_limit_below_one_is_a_pause(void **unused)
{
	wwh_limiter_t limiter = { 0 };

	(void)unused;
	wwh_limiter_set_share(&limiter, 1);
	wwh_limiter_start(&limiter);
	wwh_limiter_finish(&limiter, 200, 0.5, 100);
	assert_false(wwh_limiter_has_room(&limiter, 290, 0.5));
	assert_true(wwh_limiter_has_room(&limiter, 310, 0.5));
}

/* A seat is taken away while its slots are in use: nothing new starts. */
static void a_smaller_share_starts_nothing_new(void **unused)
{
	wwh_limiter_t limiter = { 0 };

	(void)unused;
	wwh_limiter_set_share(&limiter, 2);
	wwh_limiter_start(&limiter);
	wwh_limiter_start(&limiter);
	wwh_limiter_set_share(&limiter, 1);
	wwh_limiter_finish(&limiter, 10, 1, 10);
	assert_false(wwh_limiter_has_room(&limiter, 20, 1));
	wwh_limiter_finish(&limiter, 20, 1, 10);
	assert_true(wwh_limiter_has_room(&limiter, 30, 1));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(parts_sum_up_to_the_slots),
		cmocka_unit_test(fewer_slots_never_make_a_larger_part),
		cmocka_unit_test(three_slots_fall_to_different_seats),
		cmocka_unit_test(the_number_finds_what_the_minion_bears),
		cmocka_unit_test(one_burst_of_refusals_counts_once),
		cmocka_unit_test(single_refusals_change_nothing),
		cmocka_unit_test(processes_agree_on_the_number),
		cmocka_unit_test(a_limit_below_one_is_a_pause),
		cmocka_unit_test(a_smaller_share_starts_nothing_new),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
