/*
 * The event log with more lines than its budget, with a reader that stops
 * reading, and with ids that aren't valid text.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <fcntl.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <unistd.h>

#include "waxwinghollow/event_log.h"

#define LINES_PER_S 20
#define BYTES_PER_S 4000
#define READ_BYTES 65536
#define SECOND_MS 1000

typedef struct {
	int read_fd;
	int write_fd;
	wwh_event_log_options_t options;
	wwh_counters_t *counters;
	wwh_event_log_t *log;
} event_log_fixture_t;

static int64_t now_ms = SECOND_MS;

static int64_t fake_now_ms(void)
{
	return now_ms;
}

static event_log_fixture_t *fixture_new(int32_t lines_per_s,
					int32_t bytes_per_s)
{
	event_log_fixture_t *fixture = g_new0(event_log_fixture_t, 1);
	wwh_event_log_options_t options = {
		.node = "a-1",
		.lines_per_s = lines_per_s,
		.bytes_per_s = bytes_per_s,
		.now_ms = fake_now_ms,
		.wall_ms = fake_now_ms,
	};
	int fds[2];

	assert_int_equal(pipe(fds), 0);
	fixture->read_fd = fds[0];
	fixture->write_fd = fds[1];
	assert_int_equal(fcntl(fds[0], F_SETFL, O_NONBLOCK), 0);
	options.fd = fds[1];
	fixture->options = options;
	fixture->counters = wwh_counters_new();
	fixture->log = wwh_event_log_new(&options, fixture->counters);
	return fixture;
}

static int set_up(void **state)
{
	*state = fixture_new(LINES_PER_S, BYTES_PER_S);
	return 0;
}

/* The budget is never reached: only the pipe limits what is written. */
static int set_up_unbounded(void **state)
{
	*state = fixture_new(INT32_MAX, INT32_MAX);
	return 0;
}

static int tear_down(void **state)
{
	event_log_fixture_t *fixture = *state;

	wwh_event_log_delete(fixture->log);
	wwh_counters_delete(fixture->counters);
	(void)close(fixture->read_fd);
	(void)close(fixture->write_fd);
	g_free(fixture);
	return 0;
}

static int64_t counter_value(event_log_fixture_t *fixture, const char *name)
{
	return wwh_counter_value(wwh_counters_get(fixture->counters, name));
}

/*
 * Returns the lines written since the last call; each must be one JSON object.
 */
static GPtrArray *read_lines(event_log_fixture_t *fixture)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(
		(GDestroyNotify)json_object_unref);
	GString *text = g_string_new(NULL);
	char *buffer = g_malloc(READ_BYTES);
	ssize_t size;
	char **parts;

	while ((size = read(fixture->read_fd, buffer, READ_BYTES)) > 0)
		g_string_append_len(text, buffer, size);
	assert_true(text->len == 0 || text->str[text->len - 1] == '\n');
	parts = g_strsplit(text->str, "\n", -1);
	for (char **at = parts; *at != NULL && at[1] != NULL; at++) {
		JsonNode *node;

		assert_true(g_utf8_validate(*at, -1, NULL));
		node = json_from_string(*at, NULL);
		if (node == NULL)
			fail_msg("not JSON: %.200s", *at);
		g_ptr_array_add(lines, json_node_dup_object(node));
		json_node_unref(node);
	}
	g_strfreev(parts);
	g_free(buffer);
	g_string_free(text, TRUE);
	return lines;
}

static JsonObject *last_line(const GPtrArray *lines)
{
	assert_true(lines->len > 0);
	return g_ptr_array_index(lines, lines->len - 1);
}

/*
 * During an outage each request writes a line. Lines beyond the budget of a
 * second are dropped and counted, and the first line of the next second has
 * their number.
 */
static void lines_beyond_the_budget_are_dropped_and_counted(void **state)
{
	event_log_fixture_t *fixture = *state;
	GPtrArray *lines;

	for (int32_t i = 0; i < 10 * LINES_PER_S; i++)
		wwh_event_log_write(fixture->log, "not-served", "job",
				    "why=test");
	lines = read_lines(fixture);
	assert_int_equal(lines->len, LINES_PER_S);
	assert_int_equal(counter_value(fixture, "log.lines"), LINES_PER_S);
	assert_int_equal(counter_value(fixture, "log.lines_dropped"),
			 9 * LINES_PER_S);
	g_ptr_array_unref(lines);
	now_ms += SECOND_MS;
	wwh_event_log_write(fixture->log, "not-served", "job", "why=test");
	lines = read_lines(fixture);
	assert_int_equal(
		json_object_get_int_member(last_line(lines), "dropped_before"),
		9 * LINES_PER_S);
	g_ptr_array_unref(lines);
	now_ms += SECOND_MS;
}

/*
 * Starts of tasks use up the budget of a second, and in that second a pool is
 * settled after a change of holder. Its line was dropped with the others, so
 * the log didn't show how long the pool had waited. Rare events have a separate
 * budget, which many lines of one event can't use up.
 */
static void a_rare_event_is_written_beyond_the_budget(void **state)
{
	wwh_event_log_options_t options;
	event_log_fixture_t *fixture = *state;
	GPtrArray *lines;

	options = fixture->options;
	options.rare_lines_per_s = 2;
	options.rare_bytes_per_s = BYTES_PER_S;
	wwh_event_log_delete(fixture->log);
	fixture->log = wwh_event_log_new(&options, fixture->counters);
	for (int32_t i = 0; i < 10 * LINES_PER_S; i++)
		wwh_event_log_write(fixture->log, "tasks-started", "job", "");
	wwh_event_log_write(fixture->log, "pool-settled", "desk", "after_ms=3");
	lines = read_lines(fixture);
	assert_int_equal(lines->len, LINES_PER_S + 1);
	assert_string_equal(
		json_object_get_string_member(last_line(lines), "event"),
		"pool-settled");
	g_ptr_array_unref(lines);
	/* The budget of all rare events together is limited too. */
	for (int32_t i = 0; i < LINES_PER_S; i++)
		wwh_event_log_write(fixture->log, "pool-settled", "desk", "");
	lines = read_lines(fixture);
	assert_int_equal(lines->len, 1);
	g_ptr_array_unref(lines);
	now_ms += SECOND_MS;
}

static void long_lines_are_limited_by_the_budget_of_bytes(void **state)
{
	event_log_fixture_t *fixture = *state;
	char *detail = g_strnfill(BYTES_PER_S / 8, 'x');
	GPtrArray *lines;

	for (int32_t i = 0; i < LINES_PER_S; i++)
		wwh_event_log_write(fixture->log, "config", "config", detail);
	lines = read_lines(fixture);
	assert_true(lines->len <= 8);
	assert_int_equal(counter_value(fixture, "log.lines_dropped"),
			 LINES_PER_S - lines->len);
	g_ptr_array_unref(lines);
	g_free(detail);
	now_ms += SECOND_MS;
}

/*
 * The reader of the log stops reading and the pipe fills up. Writing a line
 * must not block the process, and the lines read later must be complete.
 */
static void a_stopped_reader_does_not_block_the_process(void **state)
{
	event_log_fixture_t *fixture = *state;
	int64_t started_us = g_get_monotonic_time();
	GPtrArray *lines;
	int64_t written;

	for (int32_t i = 0; i < 5000; i++)
		wwh_event_log_printf(fixture->log, "tasks-started", "job",
				     "number=%d", i);
	assert_true(g_get_monotonic_time() - started_us < 5 * G_USEC_PER_SEC);
	written = counter_value(fixture, "log.lines");
	assert_true(written < 5000);
	assert_int_equal(written + counter_value(fixture, "log.lines_dropped"),
			 5000);
	lines = read_lines(fixture);
	assert_int_equal(lines->len, written);
	g_ptr_array_unref(lines);
	wwh_event_log_write(fixture->log, "tasks-started", "job", "after");
	lines = read_lines(fixture);
	assert_int_equal(
		json_object_get_int_member(last_line(lines), "dropped_before"),
		5000 - written);
	g_ptr_array_unref(lines);
}

/*
 * A caller requests a path of several kilobytes, which is the id of the line. A
 * nearly full pipe accepted only a part of such a long line; the rest was lost,
 * and the next line continued the truncated one.
 */
static void a_long_id_truncates_no_line(void **state)
{
	event_log_fixture_t *fixture = *state;
	char *path = g_strnfill(6000, 'p');
	GPtrArray *lines;

	for (int32_t i = 0; i < 40; i++)
		wwh_event_log_write(fixture->log, "no-queue", path,
				    "method=GET");
	/* Escaping makes each of these bytes six times as long. */
	memset(path, '\x01', 6000);
	for (int32_t i = 0; i < 40; i++)
		wwh_event_log_write(fixture->log, "no-queue", path, path);
	lines = read_lines(fixture);
	assert_int_equal(lines->len, counter_value(fixture, "log.lines"));
	g_ptr_array_unref(lines);
	wwh_event_log_write(fixture->log, "no-queue", "short", "method=GET");
	lines = read_lines(fixture);
	assert_int_equal(lines->len, 1);
	g_ptr_array_unref(lines);
	g_free(path);
}

/*
 * A key of the store that another program wrote may not be valid UTF-8. The
 * line that reports it must still be readable: JSON parsers stop at invalid
 * UTF-8.
 */
static void invalid_utf8_leaves_the_line_readable(void **state)
{
	event_log_fixture_t *fixture = *state;
	GPtrArray *lines;

	wwh_event_log_write(fixture->log, "entry-unreadable",
			    "i-\xff\xc3(\x01\"\\", "why=\x80\xe2\x82");
	lines = read_lines(fixture);
	assert_int_equal(lines->len, 1);
	assert_true(g_str_has_prefix(
		json_object_get_string_member(last_line(lines), "id"), "i-"));
	g_ptr_array_unref(lines);
}

/*
 * Lines are dropped before they are formatted. Guards against one that isn't
 * counted then, or is counted twice.
 */
static void formatted_lines_are_dropped_and_counted_once(void **state)
{
	event_log_fixture_t *fixture = *state;
	GPtrArray *lines;

	for (int32_t i = 0; i < 10 * LINES_PER_S; i++)
		wwh_event_log_printf(fixture->log, "not-served", "job",
				     "number=%d", i);
	lines = read_lines(fixture);
	assert_int_equal(lines->len, LINES_PER_S);
	assert_string_equal(
		json_object_get_string_member(last_line(lines), "detail"),
		"number=19");
	assert_int_equal(counter_value(fixture, "log.lines"), LINES_PER_S);
	assert_int_equal(counter_value(fixture, "log.lines_dropped"),
			 9 * LINES_PER_S);
	g_ptr_array_unref(lines);
	now_ms += SECOND_MS;
	wwh_event_log_printf(fixture->log, "not-served", "job", "last");
	lines = read_lines(fixture);
	assert_int_equal(
		json_object_get_int_member(last_line(lines), "dropped_before"),
		9 * LINES_PER_S);
	g_ptr_array_unref(lines);
	now_ms += SECOND_MS;
}

/* Plain texts are copied, others escaped; both must read back as written. */
static void texts_read_back_as_written(void **state)
{
	static const char *const texts[] = {
		"",	   "plain ~",  "a\"b",	       "a\\b", "tab\t",
		"del\x7f", "\xc3\xa9", "ends with \"", "/",
	};
	event_log_fixture_t *fixture = *state;
	char *longest = g_strnfill(96, 'x');

	for (size_t i = 0; i <= G_N_ELEMENTS(texts); i++) {
		const char *text = i < G_N_ELEMENTS(texts) ? texts[i] : longest;
		char *longer = g_strconcat(text, "\x01", NULL);
		GPtrArray *lines;

		wwh_event_log_write(fixture->log, "event",
				    text == longest ? longer : text, text);
		lines = read_lines(fixture);
		assert_int_equal(lines->len, 1);
		assert_string_equal(
			json_object_get_string_member(last_line(lines), "id"),
			text);
		assert_string_equal(json_object_get_string_member(
					    last_line(lines), "detail"),
				    text);
		g_ptr_array_unref(lines);
		g_free(longer);
	}
	g_free(longest);
}

/*
 * Guards against the lines of a thousand hosts that move, which leave none for the
 * jobs of that second.
 */
static void bulk_events_leave_room_for_others(void **state)
{
	static const char *const bulk[] = { "moved", "upstream-gone", NULL };
	event_log_fixture_t *fixture = *state;
	wwh_event_log_options_t options = fixture->options;
	GPtrArray *lines;

	options.bulk_events = bulk;
	options.bulk_percent = 50;
	wwh_event_log_delete(fixture->log);
	fixture->log = wwh_event_log_new(&options, fixture->counters);
	now_ms += SECOND_MS;
	for (int32_t i = 0; i < 10 * LINES_PER_S; i++)
		wwh_event_log_write(fixture->log, bulk[i % 2], "host", "-");
	for (int32_t i = 0; i < LINES_PER_S; i++)
		wwh_event_log_write(fixture->log, "job-taken", "job", "-");
	lines = read_lines(fixture);
	assert_int_equal(lines->len, LINES_PER_S);
	for (guint i = LINES_PER_S / 2; i < lines->len; i++)
		assert_string_equal(
			json_object_get_string_member(
				g_ptr_array_index(lines, i), "event"),
			"job-taken");
	assert_int_equal(counter_value(fixture, "log.bulk_dropped"),
			 10 * LINES_PER_S - LINES_PER_S / 2);
	assert_int_equal(counter_value(fixture, "log.lines_dropped"),
			 10 * LINES_PER_S);
	g_ptr_array_unref(lines);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			lines_beyond_the_budget_are_dropped_and_counted, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_rare_event_is_written_beyond_the_budget, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			bulk_events_leave_room_for_others, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			long_lines_are_limited_by_the_budget_of_bytes, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_stopped_reader_does_not_block_the_process,
			set_up_unbounded, tear_down),
		cmocka_unit_test_setup_teardown(a_long_id_truncates_no_line,
						set_up_unbounded, tear_down),
		cmocka_unit_test_setup_teardown(
			invalid_utf8_leaves_the_line_readable, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			formatted_lines_are_dropped_and_counted_once, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(texts_read_back_as_written,
						set_up_unbounded, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
