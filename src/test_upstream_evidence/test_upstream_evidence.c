/* What each observation says about the runs on an upstream. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "waxwinghollow/upstream_evidence.h"

#define LONG_MS 1200
#define SHORT_MS 1199

typedef struct {
	wwh_missing_upstream_t missing;
	bool is_over;
} missing_case_t;

typedef struct {
	wwh_host_row_t row;
	bool ends;
} row_case_t;

/* Guards against runs that are taken for ended by one list that lacks them. */
static void absence_counts_with_a_second_sign(void **state)
{
	static const missing_case_t cases[] = {
		{ { WWH_REACH_SILENT, true, false, SHORT_MS }, false },
		{ { WWH_REACH_SILENT, true, false, LONG_MS }, true },
		{ { WWH_REACH_SILENT, false, false, 0 }, true },
		{ { WWH_REACH_SILENT, true, true, LONG_MS }, false },
		{ { WWH_REACH_SILENT, false, true, LONG_MS }, false },
		{ { WWH_REACH_REFUSED, true, false, 0 }, false },
		{ { WWH_REACH_REFUSED, true, false, 1 }, true },
		{ { WWH_REACH_REFUSED, true, true, 1 }, true },
		{ { WWH_REACH_REFUSED, false, true, 0 }, true },
		{ { WWH_REACH_OTHER_ANSWERS, true, true, 0 }, false },
		{ { WWH_REACH_OTHER_ANSWERS, true, true, 1 }, true },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(
			wwh_missing_upstream_is_over(&cases[i].missing),
			cases[i].is_over);
}

/* Guards against a host's row that is read as the end of what runs there. */
static void a_row_ends_only_the_incarnation_that_it_lacks(void **state)
{
	static const row_case_t cases[] = {
		{ { false, false, true, "u1" }, false },
		{ { false, true, true, "u1" }, false },
		{ { false, false, false, "u2" }, true },
		{ { false, true, false, "u2" }, true },
		{ { false, false, true, "" }, false },
		{ { false, false, true, NULL }, false },
		{ { false, true, false, "" }, true },
		{ { false, true, false, NULL }, false },
		{ { false, true, true, NULL }, true },
		{ { true, false, false, "u1" }, true },
		{ { true, false, false, NULL }, true },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(
			wwh_host_row_ends_upstream(&cases[i].row, "u1"),
			cases[i].ends);
}

static void only_an_address_without_it_is_worth_a_list(void **state)
{
	(void)state;
	assert_false(wwh_reach_doubts_upstream(WWH_REACH_ANSWERS));
	assert_false(wwh_reach_doubts_upstream(WWH_REACH_SILENT));
	assert_true(wwh_reach_doubts_upstream(WWH_REACH_REFUSED));
	assert_true(wwh_reach_doubts_upstream(WWH_REACH_OTHER_ANSWERS));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(absence_counts_with_a_second_sign),
		cmocka_unit_test(a_row_ends_only_the_incarnation_that_it_lacks),
		cmocka_unit_test(only_an_address_without_it_is_worth_a_list),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
