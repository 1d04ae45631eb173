#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>

#include "waxwinghollow/leaving.h"

#define START_MS 1000000

static void each_source_marks_a_minion(void **unused)
{
	wwh_leaving_t *leaving = wwh_leaving_new();

	(void)unused;
	assert_false(wwh_leaving_contains(leaving, "m", START_MS));
	wwh_leaving_set_listed(leaving, "list", true, START_MS);
	wwh_leaving_record_answer(leaving, "own", START_MS);
	wwh_leaving_record_report(leaving, "word", "p", 0, START_MS);
	assert_true(wwh_leaving_contains(leaving, "list", START_MS));
	assert_true(wwh_leaving_contains(leaving, "own", START_MS));
	assert_true(wwh_leaving_contains(leaving, "word", START_MS));
	wwh_leaving_set_listed(leaving, "list", false, START_MS);
	assert_false(wwh_leaving_contains(leaving, "list", START_MS));
	assert_false(wwh_leaving_contains(
		leaving, "own", START_MS + WWH_LEAVING_ANSWER_TTL_MS));
	wwh_leaving_delete(leaving);
}

/*
 * One peer repeats a wrong report about a minion for ten minutes. The minion
 * must still be usable for most of that time.
 */
static void one_mistaken_peer_excludes_a_minion_only_briefly(void **unused)
{
	wwh_leaving_t *leaving = wwh_leaving_new();
	int32_t excluded_s = 0;

	(void)unused;
	for (int32_t second = 0; second < 600; second++) {
		int64_t now_ms = START_MS + second * 1000;

		wwh_leaving_record_report(leaving, "m", "mistaken", 0, now_ms);
		if (wwh_leaving_contains(leaving, "m", now_ms))
			excluded_s++;
	}
	print_message("minion excluded for %d of 600 s\n", (int)excluded_s);
	assert_in_range(excluded_s, 1, 600 / 7 + 10);
	wwh_leaving_delete(leaving);
}

static void two_peers_confirm_each_other(void **unused)
{
	wwh_leaving_t *leaving = wwh_leaving_new();
	int64_t later_ms = START_MS + WWH_LEAVING_REPORT_TTL_MS + 1;

	(void)unused;
	wwh_leaving_record_report(leaving, "m", "a", 0, START_MS);
	assert_false(wwh_leaving_contains(leaving, "m", later_ms));
	wwh_leaving_record_report(leaving, "m", "b", 0, START_MS + 2000);
	assert_true(wwh_leaving_contains(leaving, "m", later_ms + 2000));
	wwh_leaving_delete(leaving);
}

/* The minion answers without the mark, so the report about it was wrong. */
static void a_minion_answer_invalidates_a_report(void **unused)
{
	wwh_leaving_t *leaving = wwh_leaving_new();

	(void)unused;
	wwh_leaving_record_report(leaving, "m", "a", 0, START_MS);
	wwh_leaving_record_served(leaving, "m", START_MS - 1);
	assert_true(wwh_leaving_contains(leaving, "m", START_MS + 2));
	wwh_leaving_record_served(leaving, "m", START_MS + 1);
	assert_false(wwh_leaving_contains(leaving, "m", START_MS + 2));
	wwh_leaving_record_report(leaving, "m", "a", 0, START_MS + 3);
	assert_false(wwh_leaving_contains(leaving, "m", START_MS + 4));
	wwh_leaving_delete(leaving);
}

static void append_minion(const char *minion, int64_t age_ms, void *client_data)
{
	g_string_append_printf(client_data, "%s:%d;", minion, (int)age_ms);
}

/* A peer's report must not be reported again as this process's own answer. */
static void only_own_answers_are_visited(void **unused)
{
	wwh_leaving_t *leaving = wwh_leaving_new();
	GString *text = g_string_new(NULL);

	(void)unused;
	wwh_leaving_record_report(leaving, "word", "a", 0, START_MS);
	wwh_leaving_record_answer(leaving, "own", START_MS);
	wwh_leaving_foreach_answer(leaving, START_MS + 5, append_minion, text);
	assert_string_equal(text->str, "own:5;");
	g_string_free(text, TRUE);
	wwh_leaving_delete(leaving);
}

static void reports_are_bounded_and_first_hand_evidence_stays(void **unused)
{
	wwh_leaving_t *leaving = wwh_leaving_new();
	char id[16];

	(void)unused;
	wwh_leaving_record_answer(leaving, "own", START_MS);
	for (int i = 0; i < 2 * WWH_LEAVING_MAX; i++) {
		g_snprintf(id, sizeof(id), "w%d", i);
		wwh_leaving_record_report(leaving, id, "a", 0, START_MS + i);
	}
	assert_true(wwh_leaving_contains(leaving, "own", START_MS + 600));
	assert_false(wwh_leaving_contains(leaving, "w0", START_MS + 600));
	assert_true(wwh_leaving_contains(leaving, id, START_MS + 600));
	wwh_leaving_delete(leaving);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_source_marks_a_minion),
		cmocka_unit_test(
			one_mistaken_peer_excludes_a_minion_only_briefly),
		cmocka_unit_test(two_peers_confirm_each_other),
		cmocka_unit_test(a_minion_answer_invalidates_a_report),
		cmocka_unit_test(only_own_answers_are_visited),
		cmocka_unit_test(
			reports_are_bounded_and_first_hand_evidence_stays),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
