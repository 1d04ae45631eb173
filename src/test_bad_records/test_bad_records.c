/* Which lines are logged of records that can't be read, and what is counted. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "waxwinghollow/bad_records.h"

typedef struct {
	wwh_counters_t *counters;
	wwh_event_log_t *log;
	wwh_bad_records_t *records;
	int pipe[2];
} fixture_t;

static int64_t fixed_ms(void)
{
	return 1000;
}

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_event_log_options_t log = { .node = "n",
					.lines_per_s = 100000,
					.bytes_per_s = 100000000,
					.now_ms = fixed_ms,
					.wall_ms = fixed_ms };
	wwh_bad_records_options_t options = { .list = "upstreams" };

	assert_int_equal(pipe(fixture->pipe), 0);
	assert_int_equal(fcntl(fixture->pipe[0], F_SETFL, O_NONBLOCK), 0);
	log.fd = fixture->pipe[1];
	fixture->counters = wwh_counters_new();
	fixture->log = wwh_event_log_new(&log, fixture->counters);
	options.log = fixture->log;
	options.counters = fixture->counters;
	fixture->records = wwh_bad_records_new(&options);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	wwh_bad_records_delete(fixture->records);
	assert_int_equal(wwh_counter_value(wwh_counters_get(
				 fixture->counters, "records.unreadable_now")),
			 0);
	wwh_event_log_delete(fixture->log);
	wwh_counters_delete(fixture->counters);
	close(fixture->pipe[0]);
	close(fixture->pipe[1]);
	g_free(fixture);
	return 0;
}

/* How many lines of that event were written; text holds the last one. */
static int32_t lines_of(fixture_t *fixture, const char *event, char *text,
			size_t size)
{
	static char all[1 << 17];
	ssize_t length = read(fixture->pipe[0], all, sizeof(all) - 1);
	int32_t count = 0;
	char **lines;

	all[MAX(length, 0)] = '\0';
	lines = g_strsplit(all, "\n", -1);
	text[0] = '\0';
	for (char **line = lines; *line != NULL; line++) {
		if (strstr(*line, event) == NULL)
			continue;
		g_strlcpy(text, *line, size);
		count++;
	}
	g_strfreev(lines);
	return count;
}

static int64_t counted(fixture_t *fixture, const char *name)
{
	return wwh_counter_value(wwh_counters_get(fixture->counters, name));
}

/*
 * An upstream's entry can't be read, and its writer rewrites it each second.
 * A line for each time would fill the log; there is one, and one more when the
 * reason is another, and one when it is mended.
 */
static void a_bad_record_has_a_line_for_each_change(void **state)
{
	fixture_t *fixture = *state;
	char line[512];

	for (int32_t i = 0; i < 100; i++)
		wwh_bad_records_mark_unreadable(fixture->records, "u1",
						"no address");
	assert_int_equal(
		lines_of(fixture, "\"record-unreadable\"", line, sizeof(line)),
		1);
	assert_non_null(strstr(line, "\"id\":\"u1\""));
	assert_non_null(strstr(line, "list=upstreams why=no address"));
	wwh_bad_records_mark_unreadable(fixture->records, "u1", "no state");
	assert_int_equal(
		lines_of(fixture, "\"record-unreadable\"", line, sizeof(line)),
		1);
	assert_int_equal(counted(fixture, "records.unreadable"), 2);
	assert_int_equal(counted(fixture, "records.unreadable_now"), 1);
	wwh_bad_records_mark_readable(fixture->records, "u1");
	wwh_bad_records_mark_readable(fixture->records, "u1");
	wwh_bad_records_mark_readable(fixture->records, "u2");
	assert_int_equal(
		lines_of(fixture, "\"record-mended\"", line, sizeof(line)), 1);
	assert_int_equal(counted(fixture, "records.unreadable_now"), 0);
}

static void a_bad_record_that_is_dropped_is_gone(void **state)
{
	fixture_t *fixture = *state;
	GHashTable *listed =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	char line[512];

	wwh_bad_records_mark_unreadable(fixture->records, "h1", "x");
	wwh_bad_records_mark_unreadable(fixture->records, "h2", "x");
	wwh_bad_records_mark_unreadable(fixture->records, "h3", "x");
	wwh_bad_records_mark_removed(fixture->records, "h1");
	g_hash_table_add(listed, "h3");
	wwh_bad_records_retain(fixture->records, listed);
	assert_int_equal(
		lines_of(fixture, "\"record-gone\"", line, sizeof(line)), 2);
	assert_int_equal(counted(fixture, "records.unreadable_now"), 1);
	g_hash_table_destroy(listed);
}

/* Another writer may leave any number of them, under any keys. */
static void lines_and_memory_are_bounded(void **state)
{
	fixture_t *fixture = *state;
	char *key = g_strnfill(3000, '\xff');
	char line[512];

	for (int32_t i = 0; i < 3 * WWH_BAD_RECORDS_MAX; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "u%d", i);
		wwh_bad_records_mark_unreadable(fixture->records, name, "x");
	}
	assert_int_equal(
		lines_of(fixture, "\"record-unreadable\"", line, sizeof(line)),
		WWH_BAD_RECORDS_MAX);
	wwh_bad_records_mark_unreadable(fixture->records, "u9999", "x");
	assert_int_equal(lines_of(fixture, "\"records-unreadable-more\"", line,
				  sizeof(line)),
			 0);
	assert_int_equal(counted(fixture, "records.unreadable_now"),
			 WWH_BAD_RECORDS_MAX);
	wwh_bad_records_mark_removed(fixture->records, "u0");
	wwh_bad_records_mark_unreadable(fixture->records, key, "x");
	assert_int_equal(
		lines_of(fixture, "\"record-unreadable\"", line, sizeof(line)),
		1);
	assert_true(strlen(line) < 400);
	assert_true(g_utf8_validate(line, -1, NULL));
	g_free(key);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			a_bad_record_has_a_line_for_each_change, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_bad_record_that_is_dropped_is_gone, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(lines_and_memory_are_bounded,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
