#include "waxwinghollow/counters.h"

#include <glib.h>

struct wwh_counters {
	GMutex lock;
	GTree *by_name; /* char * to wwh_counter_t *, owns both */
	GTree *histograms; /* char * to wwh_histogram_t *, owns both */
};

typedef struct {
	wwh_counter_visit_t visit;
	void *client_data;
} counter_visitor_t;

typedef struct {
	wwh_histogram_visit_t visit;
	void *client_data;
} histogram_visitor_t;

static int compare_names(gconstpointer a, gconstpointer b, gpointer unused);
static gboolean visit_counter(gpointer key, gpointer value,
			      gpointer client_data);
static gboolean visit_histogram(gpointer key, gpointer value,
				gpointer client_data);

wwh_counters_t *wwh_counters_new(void)
{
	wwh_counters_t *counters = g_new0(wwh_counters_t, 1);

	g_mutex_init(&counters->lock);
	counters->by_name =
		g_tree_new_full(compare_names, NULL, g_free, g_free);
	counters->histograms =
		g_tree_new_full(compare_names, NULL, g_free, g_free);
	return counters;
}

void wwh_counters_delete(wwh_counters_t *counters)
{
	if (counters == NULL)
		return;
	g_tree_destroy(counters->by_name);
	g_tree_destroy(counters->histograms);
	g_mutex_clear(&counters->lock);
	g_free(counters);
}

wwh_counter_t *wwh_counters_get(wwh_counters_t *counters, const char *name)
{
	wwh_counter_t *counter;

	g_mutex_lock(&counters->lock);
	counter = g_tree_lookup(counters->by_name, name);
	if (counter == NULL) {
		counter = g_new0(wwh_counter_t, 1);
		g_tree_insert(counters->by_name, g_strdup(name), counter);
	}
	g_mutex_unlock(&counters->lock);
	return counter;
}

void wwh_counters_each(wwh_counters_t *counters, wwh_counter_visit_t visit,
		       void *client_data)
{
	counter_visitor_t visitor = { visit, client_data };

	g_mutex_lock(&counters->lock);
	g_tree_foreach(counters->by_name, visit_counter, &visitor);
	g_mutex_unlock(&counters->lock);
}

wwh_histogram_t *wwh_counters_histogram(wwh_counters_t *counters,
					const char *name)
{
	wwh_histogram_t *histogram;

	g_mutex_lock(&counters->lock);
	histogram = g_tree_lookup(counters->histograms, name);
	if (histogram == NULL) {
		histogram = g_new0(wwh_histogram_t, 1);
		g_tree_insert(counters->histograms, g_strdup(name), histogram);
	}
	g_mutex_unlock(&counters->lock);
	return histogram;
}

void wwh_counters_each_histogram(wwh_counters_t *counters,
				 wwh_histogram_visit_t visit, void *client_data)
{
	histogram_visitor_t visitor = { visit, client_data };

	g_mutex_lock(&counters->lock);
	g_tree_foreach(counters->histograms, visit_histogram, &visitor);
	g_mutex_unlock(&counters->lock);
}

void wwh_counter_add(wwh_counter_t *counter, int64_t amount)
{
	atomic_fetch_add_explicit(&counter->value, amount,
				  memory_order_relaxed);
}

void wwh_counter_set(wwh_counter_t *counter, int64_t value)
{
	atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

int64_t wwh_counter_value(wwh_counter_t *counter)
{
	return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

static int compare_names(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return g_strcmp0(a, b);
}

static gboolean visit_counter(gpointer key, gpointer value,
			      gpointer client_data)
{
	counter_visitor_t *visitor = client_data;

	visitor->visit(key, wwh_counter_value(value), visitor->client_data);
	return FALSE;
}

static gboolean visit_histogram(gpointer key, gpointer value,
				gpointer client_data)
{
	histogram_visitor_t *visitor = client_data;

	visitor->visit(key, value, visitor->client_data);
	return FALSE;
}
