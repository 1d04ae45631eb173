/*
 * What a process writes about its decisions, when there are too many lines,
 * when nobody reads them, and when what they are about isn't text.
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
} log_rig_t;

static int64_t now_ms = SECOND_MS;

static int64_t test_now_ms(void)
{
	return now_ms;
}

static log_rig_t *rig_with(int32_t lines_per_s, int32_t bytes_per_s)
{
	log_rig_t *rig = g_new0(log_rig_t, 1);
	wwh_event_log_options_t options = {
		.node = "a-1",
		.lines_per_s = lines_per_s,
		.bytes_per_s = bytes_per_s,
		.now_ms = test_now_ms,
		.wall_ms = test_now_ms,
	};
	int fds[2];

	assert_int_equal(pipe(fds), 0);
	rig->read_fd = fds[0];
	rig->write_fd = fds[1];
	assert_int_equal(fcntl(fds[0], F_SETFL, O_NONBLOCK), 0);
	options.fd = fds[1];
	rig->options = options;
	rig->counters = wwh_counters_new();
	rig->log = wwh_event_log_new(&options, rig->counters);
	return rig;
}

static int set_up(void **state)
{
	*state = rig_with(LINES_PER_S, BYTES_PER_S);
	return 0;
}

/* No budget that a test reaches: only the pipe bounds what gets out. */
static int set_up_unbounded(void **state)
{
	*state = rig_with(INT32_MAX, INT32_MAX);
	return 0;
}

static int tear_down(void **state)
{
	log_rig_t *rig = *state;

	wwh_event_log_delete(rig->log);
	wwh_counters_delete(rig->counters);
	(void)close(rig->read_fd);
	(void)close(rig->write_fd);
	g_free(rig);
	return 0;
}

static int64_t counter(log_rig_t *rig, const char *name)
{
	return wwh_counter_value(wwh_counters_get(rig->counters, name));
}

/* All that was written so far; each line has to be one JSON object. */
static GPtrArray *read_lines(log_rig_t *rig)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(
		(GDestroyNotify)json_object_unref);
	GString *text = g_string_new(NULL);
	char *buffer = g_malloc(READ_BYTES);
	ssize_t size;
	char **parts;

	while ((size = read(rig->read_fd, buffer, READ_BYTES)) > 0)
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

static JsonObject *last_of(const GPtrArray *lines)
{
	assert_true(lines->len > 0);
	return g_ptr_array_index(lines, lines->len - 1);
}

/*
 * An outage makes each request a line. Beyond the budget of a second lines are
 * dropped and counted, and the first line of the next second says how many.
 */
static void a_flood_is_cut_at_the_budget_and_counted(void **state)
{
	log_rig_t *rig = *state;
	GPtrArray *lines;

	for (int32_t i = 0; i < 10 * LINES_PER_S; i++)
		wwh_event_log_write(rig->log, "not-served", "job", "why=test");
	lines = read_lines(rig);
	assert_int_equal(lines->len, LINES_PER_S);
	assert_int_equal(counter(rig, "log.lines"), LINES_PER_S);
	assert_int_equal(counter(rig, "log.lines_dropped"), 9 * LINES_PER_S);
	g_ptr_array_unref(lines);
	now_ms += SECOND_MS;
	wwh_event_log_write(rig->log, "not-served", "job", "why=test");
	lines = read_lines(rig);
	assert_int_equal(
		json_object_get_int_member(last_of(lines), "dropped_before"),
		9 * LINES_PER_S);
	g_ptr_array_unref(lines);
	now_ms += SECOND_MS;
}

/*
 * Starts of tasks spend a second's budget, and in that second a pool is settled
 * after a change of holder: its line was dropped with the others, so that nobody
 * could tell how long the pool had waited. Rare events have a budget of their
 * own, which a flood of one event can't spend.
 */
static void a_rare_event_gets_out_beside_a_flood(void **state)
{
	wwh_event_log_options_t options;
	log_rig_t *rig = *state;
	GPtrArray *lines;

	options = rig->options;
	options.rare_lines_per_s = 2;
	options.rare_bytes_per_s = BYTES_PER_S;
	wwh_event_log_delete(rig->log);
	rig->log = wwh_event_log_new(&options, rig->counters);
	for (int32_t i = 0; i < 10 * LINES_PER_S; i++)
		wwh_event_log_write(rig->log, "tasks-started", "job", "");
	wwh_event_log_write(rig->log, "pool-settled", "desk", "after_ms=3");
	lines = read_lines(rig);
	assert_int_equal(lines->len, LINES_PER_S + 1);
	assert_string_equal(
		json_object_get_string_member(last_of(lines), "event"),
		"pool-settled");
	g_ptr_array_unref(lines);
	/* all rare events together have a bound too */
	for (int32_t i = 0; i < LINES_PER_S; i++)
		wwh_event_log_write(rig->log, "pool-settled", "desk", "");
	lines = read_lines(rig);
	assert_int_equal(lines->len, 1);
	g_ptr_array_unref(lines);
	now_ms += SECOND_MS;
}

static void long_lines_are_cut_at_the_budget_of_bytes(void **state)
{
	log_rig_t *rig = *state;
	char *detail = g_strnfill(BYTES_PER_S / 8, 'x');
	GPtrArray *lines;

	for (int32_t i = 0; i < LINES_PER_S; i++)
		wwh_event_log_write(rig->log, "config", "config", detail);
	lines = read_lines(rig);
	assert_true(lines->len <= 8);
	assert_int_equal(counter(rig, "log.lines_dropped"),
			 LINES_PER_S - lines->len);
	g_ptr_array_unref(lines);
	g_free(detail);
	now_ms += SECOND_MS;
}

/*
 * Whoever reads the log stops reading, and the pipe fills up. The process goes
 * on at once, line by line, and what is read later has no torn line.
 */
static void a_reader_that_stops_costs_lines_only(void **state)
{
	log_rig_t *rig = *state;
	int64_t begun_us = g_get_monotonic_time();
	GPtrArray *lines;
	int64_t written;

	for (int32_t i = 0; i < 5000; i++)
		wwh_event_log_printf(rig->log, "tasks-started", "job",
				     "number=%d", i);
	assert_true(g_get_monotonic_time() - begun_us < 5 * G_USEC_PER_SEC);
	written = counter(rig, "log.lines");
	assert_true(written < 5000);
	assert_int_equal(written + counter(rig, "log.lines_dropped"), 5000);
	lines = read_lines(rig);
	assert_int_equal(lines->len, written);
	g_ptr_array_unref(lines);
	wwh_event_log_write(rig->log, "tasks-started", "job", "after");
	lines = read_lines(rig);
	assert_int_equal(
		json_object_get_int_member(last_of(lines), "dropped_before"),
		5000 - written);
	g_ptr_array_unref(lines);
}

/*
 * A caller asks for a path of many kilobytes, which is named in the line. A
 * pipe takes longer lines in parts when it is nearly full; the rest was lost,
 * and the next line went on in the middle of the torn one.
 */
static void a_long_id_tears_no_line(void **state)
{
	log_rig_t *rig = *state;
	char *path = g_strnfill(6000, 'p');
	GPtrArray *lines;

	for (int32_t i = 0; i < 40; i++)
		wwh_event_log_write(rig->log, "no-queue", path, "method=GET");
	/* each byte of these is written as six */
	memset(path, '\x01', 6000);
	for (int32_t i = 0; i < 40; i++)
		wwh_event_log_write(rig->log, "no-queue", path, path);
	lines = read_lines(rig);
	assert_int_equal(lines->len, counter(rig, "log.lines"));
	g_ptr_array_unref(lines);
	wwh_event_log_write(rig->log, "no-queue", "short", "method=GET");
	lines = read_lines(rig);
	assert_int_equal(lines->len, 1);
	g_ptr_array_unref(lines);
	g_free(path);
}

/*
 * A key of the store that another writer wrote isn't text, and the line that
 * reports it has to be read all the same: a reader of JSON stops at bytes that
 * are no UTF-8.
 */
static void bytes_that_are_no_text_stay_readable(void **state)
{
	log_rig_t *rig = *state;
	GPtrArray *lines;

	wwh_event_log_write(rig->log, "entry-unreadable", "i-\xff\xc3(\x01\"\\",
			    "why=\x80\xe2\x82");
	lines = read_lines(rig);
	assert_int_equal(lines->len, 1);
	assert_true(g_str_has_prefix(
		json_object_get_string_member(last_of(lines), "id"), "i-"));
	g_ptr_array_unref(lines);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			a_flood_is_cut_at_the_budget_and_counted, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_rare_event_gets_out_beside_a_flood, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			long_lines_are_cut_at_the_budget_of_bytes, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_reader_that_stops_costs_lines_only, set_up_unbounded,
			tear_down),
		cmocka_unit_test_setup_teardown(a_long_id_tears_no_line,
						set_up_unbounded, tear_down),
		cmocka_unit_test_setup_teardown(
			bytes_that_are_no_text_stay_readable, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
