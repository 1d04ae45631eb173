#include "waxwinghollow/metrics.h"

#define PREFIX "waxwinghollow_"

static void append_counter(const char *name, int64_t value, void *client_data);
static void append_histogram(const char *name, wwh_histogram_t *histogram,
			     void *client_data);
static char *metric_name(const char *name);

void wwh_metrics_text(wwh_counters_t *counters, GString *text)
{
	wwh_counters_each(counters, append_counter, text);
	wwh_counters_each_histogram(counters, append_histogram, text);
}

static void append_counter(const char *name, int64_t value, void *client_data)
{
	GString *text = client_data;
	char *metric = metric_name(name);

	g_string_append_printf(text,
			       "# TYPE %s untyped\n%s %" G_GINT64_FORMAT "\n",
			       metric, metric, value);
	g_free(metric);
}

static void append_histogram(const char *name, wwh_histogram_t *histogram,
			     void *client_data)
{
	GString *text = client_data;
	char *metric = metric_name(name);
	int64_t count = 0;

	g_string_append_printf(text, "# TYPE %s histogram\n", metric);
	for (int32_t i = 0; i < WWH_HISTOGRAM_BOUND_COUNT; i++) {
		count += atomic_load_explicit(&histogram->buckets[i],
					      memory_order_relaxed);
		g_string_append_printf(text,
				       "%s_bucket{le=\"%" G_GINT64_FORMAT
				       "\"} %" G_GINT64_FORMAT "\n",
				       metric, wwh_histogram_bounds_ms[i],
				       count);
	}
	count += atomic_load_explicit(
		&histogram->buckets[WWH_HISTOGRAM_BOUND_COUNT],
		memory_order_relaxed);
	g_string_append_printf(text,
			       "%s_bucket{le=\"+Inf\"} %" G_GINT64_FORMAT "\n",
			       metric, count);
	g_string_append_printf(
		text,
		"%s_sum %" G_GINT64_FORMAT "\n%s_count %" G_GINT64_FORMAT "\n",
		metric,
		atomic_load_explicit(&histogram->sum_ms, memory_order_relaxed),
		metric, count);
	g_free(metric);
}

/* The format allows only letters, digits and '_' in names. */
static char *metric_name(const char *name)
{
	char *metric = g_strconcat(PREFIX, name, NULL);

	for (char *at = metric; *at != '\0'; at++) {
		if (!g_ascii_isalnum(*at))
			*at = '_';
	}
	return metric;
}
