#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "waxwinghollow/answer_time.h"

#define LEAST_LIMIT_MS 60
#define GREATEST_LIMIT_MS 1000

static wwh_answer_time_t with_answers(int32_t count, int64_t answer_ms)
{
	wwh_answer_time_t time;

	wwh_answer_time_init(&time);
	for (int32_t i = 0; i < count; i++)
		wwh_answer_time_add(&time, answer_ms);
	return time;
}

static void the_limit_is_long_before_the_first_answer(void **state)
{
	wwh_answer_time_t time = with_answers(0, 0);

	(void)state;
	assert_int_equal(wwh_answer_time_limit_ms(&time), GREATEST_LIMIT_MS);
	assert_false(wwh_answer_time_is_lossy(&time));
}

static void the_limit_follows_the_answers(void **state)
{
	wwh_answer_time_t quick = with_answers(100, 4);
	wwh_answer_time_t slow = with_answers(100, 200);

	(void)state;
	assert_int_equal(wwh_answer_time_limit_ms(&quick), LEAST_LIMIT_MS);
	assert_in_range(wwh_answer_time_limit_ms(&slow), 200, 300);
}

/* Guards against orders that are all repeated once a host turns slow. */
static void the_limit_rises_with_the_first_slow_answers(void **state)
{
	wwh_answer_time_t time = with_answers(100, 4);

	(void)state;
	for (int32_t i = 0; i < 3; i++)
		wwh_answer_time_add(&time, 300);
	assert_in_range(wwh_answer_time_limit_ms(&time), 300,
			GREATEST_LIMIT_MS);
}

static void a_share_of_overdue_answers_is_a_loss(void **state)
{
	wwh_answer_time_t time = with_answers(200, 4);

	(void)state;
	wwh_answer_time_add_overdue(&time);
	assert_false(wwh_answer_time_is_lossy(&time));
	for (int32_t i = 0; i < 200; i++) {
		if (i % 20 == 0)
			wwh_answer_time_add_overdue(&time);
		else
			wwh_answer_time_add(&time, 4);
	}
	assert_true(wwh_answer_time_is_lossy(&time));
	for (int32_t i = 0; i < 300; i++)
		wwh_answer_time_add(&time, 4);
	assert_false(wwh_answer_time_is_lossy(&time));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_limit_is_long_before_the_first_answer),
		cmocka_unit_test(the_limit_follows_the_answers),
		cmocka_unit_test(the_limit_rises_with_the_first_slow_answers),
		cmocka_unit_test(a_share_of_overdue_answers_is_a_loss),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
