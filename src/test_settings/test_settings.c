#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "private/config_items.h"
#include "private/json_text.h"
#include "private/settings_fields.h"
#include "waxwinghollow/settings.h"

#define REQUIRED                                                               \
	"\"process_id\": \"e1\", \"availability_zone\": \"a\", "               \
	"\"region\": \"ie\",\n"                                                \
	"\"caller_listen\": \"10.0.0.1:80\",\n"                                \
	"\"operator_listen\": \"10.0.0.1:81\",\n"                              \
	"\"peer_listen\": \"[fd00::1]:82\",\n"                                 \
	"\"platform_url\": \"http://10.0.0.9:83\""

static void append_error(const char *file, int32_t line, const char *text,
			 void *client_data)
{
	g_string_append_printf(client_data, "%s:%d: %s\n", file, line, text);
}

static wwh_status_t parse(const char *text, wwh_settings_t *settings,
			  GString *errors)
{
	const wwh_config_text_t file = { "set", text, strlen(text) };

	return wwh_settings_parse(&file, settings, append_error, errors);
}

static void keys_and_defaults_are_read(void **unused)
{
	GString *errors = g_string_new(NULL);
	wwh_settings_t settings;

	(void)unused;
	assert_int_equal(parse("{ // comment \" [\n" REQUIRED
			       ", // comment\n/* { */\"peers\": "
			       "[\"10.0.0.2:82\", // one\n\"10.0.0.3:82\"],\n"
			       "\"log_level\": \"debug\",\n"
			       "\"max_requests\": 7}\n// end",
			       &settings, errors),
			 WWH_STATUS_OK);
	assert_string_equal(errors->str, "");
	assert_string_equal(settings.process_id, "e1");
	assert_string_equal(settings.zone, "a");
	assert_string_equal(settings.peer_listen, "[fd00::1]:82");
	assert_string_equal(settings.platform_url, "http://10.0.0.9:83");
	assert_int_equal(g_strv_length(settings.peers), 2);
	assert_string_equal(settings.peers[1], "10.0.0.3:82");
	assert_int_equal(settings.log_level, WWH_LOG_DEBUG);
	assert_int_equal(settings.max_requests, 7);
	assert_int_equal(settings.max_connections, 1000);
	assert_int_equal(settings.max_body_bytes, 16777216);
	wwh_settings_clear(&settings);
	assert_null(settings.process_id);
	assert_null(settings.peers);
	g_string_free(errors, TRUE);
}

typedef struct {
	const char *what;
	const char *text;
	const char *errors;
} bad_settings_t;

static const bad_settings_t bad_settings[] = {
	{ "empty file", "", "set:1: not a JSON object, expected {...}\n" },
	{ "all that is required is missing", "\n{}",
	  "set:2: 'process_id' is missing, expected letters, digits and . _ - "
	  ": (at most 128)\n"
	  "set:2: 'availability_zone' is missing, expected letters, digits and "
	  ". _ - : (at most 128)\n"
	  "set:2: 'region' is missing, expected letters, digits and . _ - : "
	  "(at most 128)\n"
	  "set:2: 'caller_listen' is missing, expected \"IP:port\"\n"
	  "set:2: 'operator_listen' is missing, expected \"IP:port\"\n"
	  "set:2: 'peer_listen' is missing, expected \"IP:port\"\n"
	  "set:2: 'platform_url' is missing, expected \"http://IP:port\"\n" },
	{ "unknown keys", "{" REQUIRED ",\n\"max_request\": 1,\n\"colour\": 2}",
	  "set:6: unknown key 'max_request', expected 'max_requests'\n"
	  "set:7: unknown key 'colour', expected one of: process_id, "
	  "availability_zone, region, caller_listen, operator_listen, "
	  "peer_listen, platform_url, peers, log_level, max_requests, "
	  "max_connections, thread_stack_kb, max_header_bytes, max_body_bytes, "
	  "max_buffered_bytes, idle_timeout_ms, connect_timeout_ms, "
	  "minion_idle_ms, ready_off_ms, drain_limit_ms, intent_batch_ms, "
	  "log_append_timeout_ms, log_read_timeout_ms, log_wait_ms, "
	  "host_list_period_ms, platform_timeout_ms, heartbeat_ms, "
	  "suspect_after_ms, worker_leave_ms, worker_look_ms, "
	  "worker_check_ms, worker_slow_start_ms, rehearsal_hold_ms\n" },
	{ "wrong types",
	  "{" REQUIRED ",\n\"max_requests\": \"7\",\n\"peers\": \"10.0.0.2:1\","
	  "\n\"log_level\": \"loud\",\n\"drain_limit_ms\": true}",
	  "set:6: 'max_requests' is \"7\", expected a whole number from 1 to "
	  "100000\n"
	  "set:7: 'peers' is \"10.0.0.2:1\", expected a list of at most 256 "
	  "\"IP:port\"\n"
	  "set:8: 'log_level' is \"loud\", expected one of: error, warning, "
	  "info, debug\n"
	  "set:9: 'drain_limit_ms' is true, expected a whole number from 0 to "
	  "3600000\n" },
	{ "endpoints",
	  "{" REQUIRED ",\n\"peers\": [\"10.0.0.2\"],\n"
	  "\"peers \": []}",
	  "set:6: 'peers' is [\"10.0.0.2\"], expected a list of at most 256 "
	  "\"IP:port\"\n"
	  "set:7: unknown key 'peers ', expected 'peers'\n" },
	{ "bad endpoints",
	  "{\"process_id\": \"e\", \"availability_zone\": \"a\",\n"
	  "\"region\": \"\",\n"
	  "\"caller_listen\": \"localhost:80\",\n"
	  "\"operator_listen\": \"10.0.0.1:0\",\n"
	  "\"peer_listen\": \"fd00::1:80\",\n"
	  "\"platform_url\": \"https://10.0.0.1:1\"}",
	  "set:2: 'region' is \"\", expected letters, digits and . _ - : (at "
	  "most 128)\n"
	  "set:3: 'caller_listen' is \"localhost:80\", expected \"IP:port\"\n"
	  "set:4: 'operator_listen' is \"10.0.0.1:0\", expected \"IP:port\"\n"
	  "set:5: 'peer_listen' is \"fd00::1:80\", expected \"IP:port\"\n"
	  "set:6: 'platform_url' is \"https://10.0.0.1:1\", expected "
	  "\"http://IP:port\"\n" },
	{ "listeners that are alike",
	  "{\"process_id\": \"e\", \"availability_zone\": \"a\",\n"
	  "\"region\": \"r\",\n"
	  "\"caller_listen\": \"10.0.0.1:80\",\n"
	  "\"operator_listen\": \"10.0.0.1:80\",\n"
	  "\"peer_listen\": \"10.0.0.1:80\",\n"
	  "\"platform_url\": \"http://10.0.0.1:1\"}",
	  "set:4: 'operator_listen' is 10.0.0.1:80 as is 'caller_listen', "
	  "expected an address and port of its own\n"
	  "set:5: 'peer_listen' is 10.0.0.1:80 as is 'caller_listen', expected "
	  "an address and port of its own\n"
	  "set:5: 'peer_listen' is 10.0.0.1:80 as is 'operator_listen', "
	  "expected an address and port of its own\n" },
	{ "keys that don't go together",
	  "{" REQUIRED ",\n\"max_connections\": 10,\n"
	  "\"log_wait_ms\": 3000,\n\"heartbeat_ms\": 3000,\n"
	  "\"max_body_bytes\": 300000000}",
	  "set:1: 'max_requests' is 400, expected at most 'max_connections', "
	  "which is 10\n"
	  "set:7: 'log_wait_ms' is 3000, expected less than "
	  "'log_read_timeout_ms', which is 3000: every quiet read would count "
	  "as failed\n"
	  "set:1: 'suspect_after_ms' is 4000, expected at least twice "
	  "'heartbeat_ms', which is 3000: one lost heartbeat would make a peer "
	  "suspect\n"
	  "set:1: 'max_buffered_bytes' is 268435456, expected at least "
	  "'max_body_bytes', which is 300000000\n" },
	{ "out of range",
	  "{" REQUIRED ",\n\"max_header_bytes\": 1,\n"
	  "\"max_requests\": 100001}",
	  "set:6: 'max_header_bytes' is 1, expected a whole number from 1024 "
	  "to 1048576\n"
	  "set:7: 'max_requests' is 100001, expected a whole number from 1 to "
	  "100000\n" },
	{ "comment without an end", "{" REQUIRED ",\n/* }",
	  "set:5: not JSON with comments: unexpected character `,', expected "
	  "string constant\n" },
};

static void bad_settings_are_reported_with_their_lines(void **unused)
{
	bool same = true;

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(bad_settings); i++) {
		const bad_settings_t *row = &bad_settings[i];
		GString *errors = g_string_new(NULL);
		wwh_settings_t settings;

		assert_int_equal(parse(row->text, &settings, errors),
				 WWH_STATUS_BAD_INPUT);
		assert_null(settings.process_id);
		if (strcmp(errors->str, row->errors) != 0) {
			print_error("%s: got\n%sexpected\n%s", row->what,
				    errors->str, row->errors);
			same = false;
		}
		g_string_free(errors, TRUE);
	}
	assert_true(same);
}

static void a_file_that_is_not_there_is_reported(void **unused)
{
	GString *errors = g_string_new(NULL);
	wwh_settings_t settings;

	(void)unused;
	assert_int_equal(wwh_settings_load("/nonexistent/s.json", &settings,
					   append_error, errors),
			 WWH_STATUS_BAD_INPUT);
	assert_true(g_str_has_prefix(errors->str,
				     "/nonexistent/s.json:0: cannot be read"));
	g_string_free(errors, TRUE);
}

static void comments_are_blanked_and_strings_are_not(void **unused)
{
	const char text[] =
		"{\"a//b\": \"\\\"/*\", // x\n\"c\": /* \n */ 1} // y";
	char *plain = wwh_json_blank_comments(text, strlen(text));

	(void)unused;
	assert_string_equal(plain, "{\"a//b\": \"\\\"/*\",     \n"
				   "\"c\":    \n    1}     ");
	g_free(plain);
}

static char *documented_row(const wwh_field_t *field)
{
	char *row;
	char *value;

	if (field->required)
		return g_strdup("| required | |");
	if (wwh_field_is_text(field) || field->type == WWH_FIELD_ENDPOINTS)
		return g_strdup("| empty |");
	if (field->type != WWH_FIELD_NAME)
		return g_strdup_printf(
			"| %" G_GINT64_FORMAT " | %" G_GINT64_FORMAT
			" to %" G_GINT64_FORMAT " |",
			field->default_number, field->minimum, field->maximum);
	value = wwh_field_expected(field);
	row = g_strdup_printf("| %s | %s |",
			      field->names[field->default_number],
			      value + strlen("one of: "));
	g_free(value);
	return row;
}

/* The rows of one section stand between its heading and the next. */
static void expect_documented(const char *page, const char *section,
			      const wwh_field_t *fields, int32_t count)
{
	char *heading = g_strdup_printf("\n## `%s`\n", section);
	const char *start = strstr(page, heading);
	const char *end;

	assert_non_null(start);
	end = strstr(start + strlen(heading), "\n## ");
	for (int32_t i = 0; i < count; i++) {
		char *key = g_strdup_printf("\n| `%s` |", fields[i].name);
		char *row = documented_row(&fields[i]);
		const char *at = strstr(start, key);
		char *line;

		if (at == NULL || (end != NULL && at > end)) {
			fail_msg("no %s in %s", fields[i].name, section);
			return;
		}
		line = g_strndup(at + 1, strcspn(at + 1, "\n"));
		if (strstr(line, row) == NULL)
			fail_msg("%s: expected %s", line, row);
		g_free(line);
		g_free(row);
		g_free(key);
	}
	g_free(heading);
}

static void every_key_is_documented(void **unused)
{
	char *page;

	(void)unused;
	assert_true(g_file_get_contents(WWH_SOURCE_DIR "/docs/SETTINGS.md",
					&page, NULL, NULL));
	expect_documented(page, "settings", wwh_settings_fields,
			  wwh_settings_field_count);
	for (int32_t i = 0; i < WWH_ITEM_COUNT; i++)
		expect_documented(page, wwh_item_tables[i].section,
				  wwh_item_tables[i].fields,
				  wwh_item_tables[i].field_count);
	g_free(page);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(keys_and_defaults_are_read),
		cmocka_unit_test(bad_settings_are_reported_with_their_lines),
		cmocka_unit_test(a_file_that_is_not_there_is_reported),
		cmocka_unit_test(comments_are_blanked_and_strings_are_not),
		cmocka_unit_test(every_key_is_documented),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
