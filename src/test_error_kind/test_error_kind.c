#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "waxwinghollow/error_kind.h"

static void every_kind_has_its_own_row(void **unused)
{
	(void)unused;
	for (int32_t i = 0; i < WWH_ERROR_COUNT; i++) {
		const wwh_answer_t *row = wwh_answer_for((wwh_error_kind_t)i);

		assert_int_equal(row->kind, i);
		assert_non_null(row->text);
		assert_non_null(wwh_error_kind_names[i]);
	}
}

static void overload_errors_have_a_retry_time_and_did_not_run(void **unused)
{
	(void)unused;
	for (int32_t i = 0; i < WWH_ERROR_COUNT; i++) {
		const wwh_answer_t *row = wwh_answer_for((wwh_error_kind_t)i);

		if (row->http_status != 503 && row->http_status != 429)
			continue;
		assert_int_not_equal(row->retry_rule, WWH_RETRY_NEVER);
		assert_true(row->retry_after_s >= 1);
		assert_int_equal(row->run, WWH_RUN_NOT_RUN);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_kind_has_its_own_row),
		cmocka_unit_test(
			overload_errors_have_a_retry_time_and_did_not_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
