/*
 * Parses the metrics page as strictly as monitoring systems do: they discard
 * the whole page if one line is malformed.
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
	char *metric; /* name in the last "# TYPE" line */
	bool is_histogram;
	int64_t last_bound; /* of the buckets read so far; -1: none read */
	int64_t last_count;
	bool infinite_seen;
	GHashTable *metrics; /* names; each must have one "# TYPE" line */
} page_parser_t;

static void parse_type(page_parser_t *parser, const char *line)
{
	char **words = g_strsplit(line, " ", -1);

	assert_int_equal(g_strv_length(words), 4);
	assert_string_equal(words[1], "TYPE");
	assert_true(g_regex_match_simple("^[a-zA-Z_][a-zA-Z0-9_]*$", words[2],
					 0, 0));
	parser->is_histogram = strcmp(words[3], "histogram") == 0;
	if (!parser->is_histogram)
		assert_string_equal(words[3], "untyped");
	assert_true(g_hash_table_add(parser->metrics, g_strdup(words[2])));
	g_free(parser->metric);
	parser->metric = g_strdup(words[2]);
	parser->last_bound = -1;
	parser->last_count = 0;
	parser->infinite_seen = false;
	g_strfreev(words);
}

static void parse_bucket(page_parser_t *parser, const char *label,
			 int64_t count)
{
	assert_false(parser->infinite_seen);
	assert_true(count >= parser->last_count);
	parser->last_count = count;
	parser->infinite_seen = strcmp(label, "{le=\"+Inf\"}") == 0;
	if (!parser->infinite_seen) {
		int64_t bound =
			g_ascii_strtoll(label + strlen("{le=\""), NULL, 10);

		assert_true(g_regex_match_simple("^\\{le=\"[0-9]+\"\\}$", label,
						 0, 0));
		assert_true(bound > parser->last_bound);
		parser->last_bound = bound;
	}
}

static void parse_sample(page_parser_t *parser, const char *line)
{
	const char *space = strchr(line, ' ');
	const char *suffix;
	char *end;
	int64_t value;

	assert_non_null(space);
	value = g_ascii_strtoll(space + 1, &end, 10);
	assert_true(end > space + 1);
	assert_int_equal(*end, '\0');
	if (parser->metric == NULL) {
		fail_msg("a sample before its type: %s", line);
		return;
	}
	assert_true(g_str_has_prefix(line, parser->metric));
	suffix = line + strlen(parser->metric);
	if (!parser->is_histogram) {
		assert_int_equal(*suffix, ' ');
	} else if (g_str_has_prefix(suffix, "_bucket")) {
		char *label =
			g_strndup(suffix + strlen("_bucket"),
				  (gsize)(space - suffix) - strlen("_bucket"));

		parse_bucket(parser, label, value);
		g_free(label);
	} else if (g_str_has_prefix(suffix, "_count ")) {
		assert_true(parser->infinite_seen);
		assert_int_equal(value, parser->last_count);
	} else {
		assert_true(g_str_has_prefix(suffix, "_sum "));
	}
}

/* Fails at the first malformed line; returns the number of metrics. */
static guint parse_strictly(const char *text)
{
	page_parser_t parser = { .metrics = g_hash_table_new_full(
					 g_str_hash, g_str_equal, g_free,
					 NULL) };
	char **lines = g_strsplit(text, "\n", -1);
	guint count = g_strv_length(lines);
	guint metrics;

	assert_true(count > 1);
	assert_string_equal(lines[count - 1], "");
	for (guint i = 0; i + 1 < count; i++) {
		if (lines[i][0] == '#')
			parse_type(&parser, lines[i]);
		else
			parse_sample(&parser, lines[i]);
	}
	metrics = g_hash_table_size(parser.metrics);
	g_hash_table_destroy(parser.metrics);
	g_free(parser.metric);
	g_strfreev(lines);
	return metrics;
}

static void the_page_is_accepted_by_a_strict_parser(void **unused)
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
	assert_int_equal(parse_strictly(text->str), 4);
	assert_non_null(strstr(text->str, "\nwaxwinghollow_log_lines_dropped 3"
					  "\n"));
	g_string_free(text, TRUE);
	wwh_counters_delete(counters);
}

/*
 * A duration equal to a bound is counted in the bucket of that bound; durations
 * above all bounds are counted too.
 */
static void durations_are_counted_in_their_buckets(void **unused)
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
	assert_int_equal(parse_strictly(text->str), 1);
	assert_non_null(strstr(text->str, "_bucket{le=\"1\"} 2\n"));
	assert_non_null(strstr(text->str, "_bucket{le=\"2\"} 3\n"));
	assert_non_null(strstr(text->str, "_bucket{le=\"5\"} 4\n"));
	assert_non_null(strstr(text->str, "_bucket{le=\"10000\"} 4\n"));
	assert_non_null(strstr(text->str, "_bucket{le=\"+Inf\"} 5\n"));
	assert_non_null(strstr(text->str, "_sum 10007\n"));
	g_string_free(text, TRUE);
	wwh_counters_delete(counters);
}

#define ADDING_THREADS 4
#define ADDS_PER_THREAD 20000

static gpointer add_many(gpointer data)
{
	for (int32_t i = 0; i < ADDS_PER_THREAD; i++)
		wwh_histogram_add(data, i % 3000);
	return NULL;
}

/* The count in a page must match its buckets while other threads add. */
static void a_page_written_during_additions_is_consistent(void **unused)
{
	wwh_counters_t *counters = wwh_counters_new();
	wwh_histogram_t *histogram = wwh_counters_histogram(counters, "a_ms");
	GThread *threads[ADDING_THREADS];
	GString *text = g_string_new(NULL);

	(void)unused;
	for (int32_t i = 0; i < ADDING_THREADS; i++)
		threads[i] = g_thread_new("adder", add_many, histogram);
	for (int32_t i = 0; i < 50; i++) {
		g_string_truncate(text, 0);
		wwh_metrics_text(counters, text);
		(void)parse_strictly(text->str);
	}
	for (int32_t i = 0; i < ADDING_THREADS; i++)
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
		cmocka_unit_test(the_page_is_accepted_by_a_strict_parser),
		cmocka_unit_test(durations_are_counted_in_their_buckets),
		cmocka_unit_test(a_page_written_during_additions_is_consistent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
