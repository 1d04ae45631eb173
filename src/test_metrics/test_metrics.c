/*
 * The metrics page, read as strictly as monitoring systems read it: one line
 * that can't be read makes them drop the whole page.
 */
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "waxwinghollow/metrics.h"

typedef struct {
	char *metric; /* of the last "# TYPE" line */
	bool is_histogram;
	int64_t last_bound; /* of its buckets so far; -1: none */
	int64_t last_count;
	bool infinite_seen;
	GHashTable *metrics; /* each is typed once */
} reader_t;

static void read_type(reader_t *reader, const char *line)
{
	char **words = g_strsplit(line, " ", -1);

	assert_int_equal(g_strv_length(words), 4);
	assert_string_equal(words[1], "TYPE");
	assert_true(g_regex_match_simple("^[a-zA-Z_][a-zA-Z0-9_]*$", words[2],
					 0, 0));
	reader->is_histogram = strcmp(words[3], "histogram") == 0;
	if (!reader->is_histogram)
		assert_string_equal(words[3], "untyped");
	assert_true(g_hash_table_add(reader->metrics, g_strdup(words[2])));
	g_free(reader->metric);
	reader->metric = g_strdup(words[2]);
	reader->last_bound = -1;
	reader->last_count = 0;
	reader->infinite_seen = false;
	g_strfreev(words);
}

static void read_bucket(reader_t *reader, const char *label, int64_t count)
{
	assert_false(reader->infinite_seen);
	assert_true(count >= reader->last_count);
	reader->last_count = count;
	reader->infinite_seen = strcmp(label, "{le=\"+Inf\"}") == 0;
	if (!reader->infinite_seen) {
		int64_t bound =
			g_ascii_strtoll(label + strlen("{le=\""), NULL, 10);

		assert_true(g_regex_match_simple("^\\{le=\"[0-9]+\"\\}$", label,
						 0, 0));
		assert_true(bound > reader->last_bound);
		reader->last_bound = bound;
	}
}

static void read_sample(reader_t *reader, const char *line)
{
	const char *space = strchr(line, ' ');
	const char *suffix;
	char *end;
	int64_t value;

	assert_non_null(space);
	value = g_ascii_strtoll(space + 1, &end, 10);
	assert_true(end > space + 1);
	assert_int_equal(*end, '\0');
	if (reader->metric == NULL) {
		fail_msg("a sample before its type: %s", line);
		return;
	}
	assert_true(g_str_has_prefix(line, reader->metric));
	suffix = line + strlen(reader->metric);
	if (!reader->is_histogram) {
		assert_int_equal(*suffix, ' ');
	} else if (g_str_has_prefix(suffix, "_bucket")) {
		char *label =
			g_strndup(suffix + strlen("_bucket"),
				  (gsize)(space - suffix) - strlen("_bucket"));

		read_bucket(reader, label, value);
		g_free(label);
	} else if (g_str_has_prefix(suffix, "_count ")) {
		assert_true(reader->infinite_seen);
		assert_int_equal(value, reader->last_count);
	} else {
		assert_true(g_str_has_prefix(suffix, "_sum "));
	}
}

/* Fails at the first line that isn't of the format; returns the metrics. */
static guint read_strictly(const char *text)
{
	reader_t reader = { .metrics = g_hash_table_new_full(
				    g_str_hash, g_str_equal, g_free, NULL) };
	char **lines = g_strsplit(text, "\n", -1);
	guint count = g_strv_length(lines);
	guint metrics;

	assert_true(count > 1);
	assert_string_equal(lines[count - 1], "");
	for (guint i = 0; i + 1 < count; i++) {
		if (lines[i][0] == '#')
			read_type(&reader, lines[i]);
		else
			read_sample(&reader, lines[i]);
	}
	metrics = g_hash_table_size(reader.metrics);
	g_hash_table_destroy(reader.metrics);
	g_free(reader.metric);
	g_strfreev(lines);
	return metrics;
}

static void the_page_is_read_by_a_strict_reader(void **unused)
{
	wwh_counters_t *counters = wwh_counters_new();
	GString *text = g_string_new(NULL);

	(void)unused;
	wwh_counter_add(wwh_counters_get(counters, "log.lines-dropped"), 3);
	wwh_counter_set(wwh_counters_get(counters, "a b\"c{d}\n"), -1);
	wwh_histogram_add(wwh_counters_histogram(counters, "caller.submit_ms"),
			  7);
	(void)wwh_counters_histogram(counters, "holder.append_ms");
	wwh_metrics_text(counters, text);
	assert_int_equal(read_strictly(text->str), 4);
	assert_non_null(strstr(text->str, "\nwaxwinghollow_log_lines_dropped 3"
					  "\n"));
	g_string_free(text, TRUE);
	wwh_counters_delete(counters);
}

/* What is on a bound belongs to it, and what is above all bounds is counted. */
static void times_are_counted_by_their_bounds(void **unused)
{
	wwh_counters_t *counters = wwh_counters_new();
	wwh_histogram_t *histogram =
		wwh_counters_histogram(counters, "caller.state_ms");
	GString *text = g_string_new(NULL);

	(void)unused;
	wwh_histogram_add(histogram, -5);
	wwh_histogram_add(histogram, 1);
	wwh_histogram_add(histogram, 2);
	wwh_histogram_add(histogram, 3);
	wwh_histogram_add(histogram, 10001);
	wwh_metrics_text(counters, text);
	assert_int_equal(read_strictly(text->str), 1);
	assert_non_null(strstr(text->str, "_bucket{le=\"1\"} 2\n"));
	assert_non_null(strstr(text->str, "_bucket{le=\"2\"} 3\n"));
	assert_non_null(strstr(text->str, "_bucket{le=\"5\"} 4\n"));
	assert_non_null(strstr(text->str, "_bucket{le=\"10000\"} 4\n"));
	assert_non_null(strstr(text->str, "_bucket{le=\"+Inf\"} 5\n"));
	assert_non_null(strstr(text->str, "_sum 10007\n"));
	g_string_free(text, TRUE);
	wwh_counters_delete(counters);
}

#define ADDERS 4
#define ADDS 20000

static gpointer add_many(gpointer data)
{
	for (int32_t i = 0; i < ADDS; i++)
		wwh_histogram_add(data, i % 3000);
	return NULL;
}

/* A page that is made while others add has a count that fits its buckets. */
static void a_page_made_while_others_add_fits_itself(void **unused)
{
	wwh_counters_t *counters = wwh_counters_new();
	wwh_histogram_t *histogram = wwh_counters_histogram(counters, "a_ms");
	GThread *threads[ADDERS];
	GString *text = g_string_new(NULL);

	(void)unused;
	for (int32_t i = 0; i < ADDERS; i++)
		threads[i] = g_thread_new("adder", add_many, histogram);
	for (int32_t i = 0; i < 50; i++) {
		g_string_truncate(text, 0);
		wwh_metrics_text(counters, text);
		(void)read_strictly(text->str);
	}
	for (int32_t i = 0; i < ADDERS; i++)
		g_thread_join(threads[i]);
	g_string_truncate(text, 0);
	wwh_metrics_text(counters, text);
	assert_non_null(strstr(text->str, "a_ms_count 80000\n"));
	g_string_free(text, TRUE);
	wwh_counters_delete(counters);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(the_page_is_read_by_a_strict_reader),
		cmocka_unit_test(times_are_counted_by_their_bounds),
		cmocka_unit_test(a_page_made_while_others_add_fits_itself),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
