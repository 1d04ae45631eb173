#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "waxwinghollow/shift.h"

static void a_new_minion_is_loaded_step_by_step(void **unused)
{
	(void)unused;
	assert_true(wwh_shift_ramp(1000, 1000) <= 0.101);
	assert_true(wwh_shift_ramp(1000, 6000) > 0.5);
	assert_true(wwh_shift_ramp(1000, 6000) < 0.6);
	assert_true(wwh_shift_ramp(1000, 11000) >= 1);
	assert_true(wwh_shift_ramp(WWH_SHIFT_NO_RAMP, 0) >= 1);
}

static void permits_run_out_and_come_back_slowly(void **unused)
{
	wwh_shift_bucket_t bucket;

	(void)unused;
	wwh_shift_bucket_init(&bucket, 0, 3, 1);
	for (int32_t i = 0; i < 3; i++)
		assert_true(wwh_shift_bucket_try_acquire(&bucket, 0));
	assert_false(wwh_shift_bucket_try_acquire(&bucket, 900));
	assert_true(wwh_shift_bucket_try_acquire(&bucket, 1100));
	assert_false(wwh_shift_bucket_try_acquire(&bucket, 1200));
	assert_true(wwh_shift_bucket_try_acquire(&bucket, 100000));
}

static void a_larger_bucket_has_its_permits_at_once(void **unused)
{
	wwh_shift_bucket_t bucket;

	(void)unused;
	wwh_shift_bucket_init(&bucket, 0, 1, 1);
	wwh_shift_bucket_resize(&bucket, 3);
	for (int32_t i = 0; i < 3; i++)
		assert_true(wwh_shift_bucket_try_acquire(&bucket, 0));
	assert_false(wwh_shift_bucket_try_acquire(&bucket, 0));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_new_minion_is_loaded_step_by_step),
		cmocka_unit_test(permits_run_out_and_come_back_slowly),
		cmocka_unit_test(a_larger_bucket_has_its_permits_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
