#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>

#include "waxwinghollow/leaving.h"

#define START_MS 1000000

static void first_source_counts(void **unused)
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
 * One peer is wrong about a minion and says so again and again, for ten
 * minutes. The minion must go on getting work for most of the time.
 */
static void one_mistaken_peer_does_not_lose_a_minion(void **unused)
{
	wwh_leaving_t *leaving = wwh_leaving_new();
	int32_t out = 0;

	(void)unused;
	for (int32_t s = 0; s < 600; s++) {
		int64_t now_ms = START_MS + s * 1000;

		wwh_leaving_record_report(leaving, "m", "mistaken", 0, now_ms);
		if (wwh_leaving_contains(leaving, "m", now_ms))
			out++;
	}
	print_message("out for %d of 600 s\n", (int)out);
	assert_in_range(out, 1, 600 / 7 + 10);
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

/* The minion answers as usual: whoever said that it leaves was wrong. */
static void answer_of_the_minion_ends_a_word(void **unused)
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

static void visit(const char *minion, int64_t age_ms, void *client_data)
{
	g_string_append_printf(client_data, "%s:%d;", minion, (int)age_ms);
}

/* A word is never passed on as if it were this process's own. */
static void only_own_answers_are_passed_on(void **unused)
{
	wwh_leaving_t *leaving = wwh_leaving_new();
	GString *text = g_string_new(NULL);

	(void)unused;
	wwh_leaving_record_report(leaving, "word", "a", 0, START_MS);
	wwh_leaving_record_answer(leaving, "own", START_MS);
	wwh_leaving_foreach_answer(leaving, START_MS + 5, visit, text);
	assert_string_equal(text->str, "own:5;");
	g_string_free(text, TRUE);
	wwh_leaving_delete(leaving);
}

static void words_are_bounded_and_first_hand_stays(void **unused)
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
		cmocka_unit_test(first_source_counts),
		cmocka_unit_test(one_mistaken_peer_does_not_lose_a_minion),
		cmocka_unit_test(two_peers_confirm_each_other),
		cmocka_unit_test(answer_of_the_minion_ends_a_word),
		cmocka_unit_test(only_own_answers_are_passed_on),
		cmocka_unit_test(words_are_bounded_and_first_hand_stays),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
