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
 * A minion declares 8 slots and refuses everything above 2. The limit sinks
 * to about what it bears, and comes back when it bears all again.
 */
static void the_limit_finds_what_the_minion_bears(void **unused)
{
	wwh_limiter_t limiter = { 0 };
	int64_t now_ms = 0;
	double sum = 0;

	(void)unused;
	wwh_limiter_set_share(&limiter, 8);
	for (int32_t i = 0; i < 2000; i++) {
		now_ms += 10;
		while (wwh_limiter_has_room(&limiter, now_ms, 1))
			wwh_limiter_start(&limiter);
		while (limiter.running > 0)
			wwh_limiter_finish(&limiter, now_ms, 1,
					   limiter.running > 2 ? WWH_BEARS_LESS
							       : WWH_BEARS_OK,
					   10);
		sum += i >= 1000 ? limiter.limit : 0;
	}
	assert_true(sum / 1000 > 1.5 && sum / 1000 < 3.5);
	for (int32_t i = 0; i < 200; i++) {
		now_ms += 10;
		wwh_limiter_start(&limiter);
		wwh_limiter_finish(&limiter, now_ms, 1, WWH_BEARS_OK, 10);
	}
	assert_true(limiter.limit >= 7.99);
}

/* With one slot, a limit below one is a pause: half the limit, half the use. */
static void a_limit_below_one_is_a_pause(void **unused)
{
	wwh_limiter_t limiter = { 0 };

	(void)unused;
	wwh_limiter_set_share(&limiter, 1);
	wwh_limiter_start(&limiter);
	wwh_limiter_finish(&limiter, 100, 1, WWH_BEARS_OK, 100);
	limiter.limit = 0.49;
	wwh_limiter_start(&limiter);
	wwh_limiter_finish(&limiter, 200, 1, WWH_BEARS_OK, 100);
	assert_false(wwh_limiter_has_room(&limiter, 290, 1));
	assert_true(wwh_limiter_has_room(&limiter, 310, 1));
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
	wwh_limiter_finish(&limiter, 10, 1, WWH_BEARS_OK, 10);
	assert_false(wwh_limiter_has_room(&limiter, 20, 1));
	wwh_limiter_finish(&limiter, 20, 1, WWH_BEARS_OK, 10);
	assert_true(wwh_limiter_has_room(&limiter, 30, 1));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(parts_sum_up_to_the_slots),
		cmocka_unit_test(three_slots_fall_to_different_seats),
		cmocka_unit_test(the_limit_finds_what_the_minion_bears),
		cmocka_unit_test(a_limit_below_one_is_a_pause),
		cmocka_unit_test(a_smaller_share_starts_nothing_new),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
