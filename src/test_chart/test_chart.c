#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "waxwinghollow/chart.h"

typedef struct {
	bool open;
	int32_t opened;
	int64_t opened_ms;
} door_t;

enum {
	EVENT_PUSH = 0,
	EVENT_LOCK,
	EVENT_COUNT
};
enum {
	STATE_SHUT = 0,
	STATE_AJAR,
	STATE_LOCKED,
	STATE_COUNT
};

static const char *const event_names[EVENT_COUNT] = { "push", "lock" };
static const char *const state_names[STATE_COUNT] = { "shut", "ajar",
						      "locked" };

static const char door_text[] =
	"// the order of states differs from the program's\n"
	"{ \"name\": \"door\", \"initial\": \"shut\",\n"
	"  \"final\": [\"locked\"], \"events\": [\"lock\", \"push\"],\n"
	"  \"states\": {\n"
	"    \"locked\": {},\n"
	"    \"ajar\": { \"on\": { \"push\": { \"target\": \"shut\" } },\n"
	"      \"ignore\": [\"lock\"], \"tags\": [\"draughty\"] },\n"
	"    \"shut\": { \"on\": {\n"
	"      \"push\": [{ \"guard\": \"may-open\",\n"
	"                   \"action\": \"count\", \"target\": \"ajar\" }],\n"
	"      \"lock\": { \"target\": \"locked\" } } } } }\n";

static bool may_open(int64_t now_ms, void *client_data)
{
	const door_t *door = client_data;

	(void)now_ms;
	return door->open;
}

static void count(int64_t now_ms, void *client_data)
{
	door_t *door = client_data;

	door->opened++;
	door->opened_ms = now_ms;
}

static const wwh_chart_guard_entry_t guards[] = { { "may-open", may_open } };
static const wwh_chart_action_entry_t actions[] = { { "count", count } };
static const wwh_chart_table_t table = { .guards = guards,
					 .guard_count = 1,
					 .actions = actions,
					 .action_count = 1,
					 .events = event_names,
					 .event_count = EVENT_COUNT,
					 .states = state_names,
					 .state_count = STATE_COUNT };

static void a_chart_runs_its_guards_and_actions(void **unused)
{
	wwh_chart_t *chart;
	wwh_message_t message;
	door_t door = { .open = false };
	wwh_chart_machine_t machine;

	(void)unused;
	assert_int_equal(wwh_chart_parse(door_text, strlen(door_text), &table,
					 &chart, &message),
			 WWH_STATUS_OK);
	machine = wwh_chart_start(chart);
	assert_int_equal(wwh_chart_step(&machine, EVENT_PUSH, 1, &door),
			 WWH_CHART_REFUSED);
	assert_int_equal(machine.state, STATE_SHUT);
	door.open = true;
	assert_int_equal(wwh_chart_step(&machine, EVENT_PUSH, 2, &door),
			 WWH_CHART_STEPPED);
	assert_int_equal(machine.state, STATE_AJAR);
	assert_int_equal(door.opened, 1);
	assert_int_equal(door.opened_ms, 2);
	assert_true(wwh_chart_has_tag(&machine,
				      wwh_chart_tag_mask(chart, "draughty")));
	assert_int_equal(wwh_chart_tag_mask(chart, "no-such-tag"), 0);
	assert_int_equal(wwh_chart_step(&machine, EVENT_LOCK, 3, &door),
			 WWH_CHART_IGNORED);
	wwh_chart_step(&machine, EVENT_PUSH, 4, &door);
	wwh_chart_step(&machine, EVENT_LOCK, 5, &door);
	assert_true(wwh_chart_is_final(&machine));
	assert_int_equal(wwh_chart_step(&machine, EVENT_PUSH, 6, &door),
			 WWH_CHART_IGNORED);
	assert_string_equal(wwh_chart_state_name(chart, machine.state),
			    "locked");
	wwh_chart_delete(chart);
}

/* Replaces the first occurrence of from; the result is the caller's. */
static char *changed(const char *from, const char *to)
{
	const char *found = strstr(door_text, from);

	assert_non_null(found);
	return g_strdup_printf("%.*s%s%s", (int)(found - door_text), door_text,
			       to, found + strlen(from));
}

static void each_fault_of_a_file_is_named(void **unused)
{
	static const char *const rows[][3] = {
		{ "\"target\": \"ajar\"", "\"target\": \"jar\"",
		  "unknown state \"jar\"" },
		{ "\"target\": \"ajar\"", "\"target\": \"shut\"",
		  "state \"ajar\" can't be reached" },
		{ "\"ignore\": [\"lock\"],", "", "no answer to \"lock\"" },
		{ "may-open", "must-open", "unknown guard \"must-open\"" },
		{ "\"count\"", "\"sum\"", "unknown action \"sum\"" },
		{ "\"tags\"", "\"tag\"", "unknown key \"tag\"" },
		{ "\"initial\": \"shut\"", "\"initial\": \"open\"",
		  "unknown initial state" },
		{ "[\"locked\"]", "[\"walled\"]", "unknown final state" },
		{ "[\"lock\", \"push\"]", "[\"lock\", \"push\", \"pull\"]",
		  "event \"pull\" is unknown to the program" },
		{ "[\"lock\"]", "[\"lock\", \"push\"]",
		  "both answers and ignores" },
		{ "\"locked\": {}",
		  "\"locked\": {\"on\": {\"push\": {\"target\": \"shut\"}}}",
		  "final, but answers" },
		{ "\"name\": \"door\",", "", "has no name" },
		{ "{ \"name\"", "[ \"name\"", "<data>" },
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *text = changed(rows[i][0], rows[i][1]);
		wwh_message_t message;
		wwh_chart_t *chart;

		assert_int_equal(wwh_chart_parse(text, strlen(text), &table,
						 &chart, &message),
				 WWH_STATUS_BAD_INPUT);
		assert_null(chart);
		if (!strstr(message.text, rows[i][2]))
			fail_msg("%s lacks %s", message.text, rows[i][2]);
		g_free(text);
	}
}

static void every_linked_chart_is_sound(void **unused)
{
	(void)unused;
	assert_true(wwh_chart_builtin_count() >= 3);
	for (int32_t i = 0; i < wwh_chart_builtin_count(); i++) {
		const char *name = wwh_chart_builtin_name(i);
		wwh_message_t message;
		wwh_chart_t *chart;

		if (wwh_chart_load(name, NULL, &chart, &message))
			fail_msg("%s", message.text);
		assert_string_equal(wwh_chart_name(chart), name);
		wwh_chart_delete(chart);
	}
}

/*
 * A caller may be told "not run" only while no byte has left. Whatever
 * events come after "sent", in whatever order, the tag comes back only
 * through the minion's own refusal, and never once an attempt was lost.
 */
static void not_run_never_follows_a_lost_attempt(void **unused)
{
	const wwh_chart_table_t none = { 0 };
	wwh_message_t message;
	wwh_chart_t *chart;
	GRand *rand = g_rand_new_with_seed(7);
	int32_t count;
	uint32_t not_run;

	(void)unused;
	assert_int_equal(wwh_chart_load("request", &none, &chart, &message),
			 WWH_STATUS_OK);
	count = wwh_chart_event_count(chart);
	not_run = wwh_chart_tag_mask(chart, "not-run");
	for (int32_t run = 0; run < 5000; run++) {
		wwh_chart_machine_t machine = wwh_chart_start(chart);
		int32_t lost = wwh_chart_event_index(chart, "lost");
		int32_t sent = wwh_chart_state_index(chart, "sent");
		bool was_lost = false;

		for (int32_t i = 0; i < 40; i++) {
			int32_t event = g_rand_int_range(rand, 0, count);

			if (machine.state == sent && event == lost)
				was_lost = true;
			wwh_chart_step(&machine, event, i, NULL);
			if (was_lost)
				assert_false(
					wwh_chart_has_tag(&machine, not_run));
		}
	}
	g_rand_free(rand);
	wwh_chart_delete(chart);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_chart_runs_its_guards_and_actions),
		cmocka_unit_test(each_fault_of_a_file_is_named),
		cmocka_unit_test(every_linked_chart_is_sound),
		cmocka_unit_test(not_run_never_follows_a_lost_attempt),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
