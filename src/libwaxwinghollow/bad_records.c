#include "waxwinghollow/bad_records.h"

#include <stdbool.h>
#include <string.h>

/* Of a key in a line. */
#define SHOWN_KEY_CHARS 80

struct wwh_bad_records {
	char *list;
	wwh_event_log_t *log;
	GHashTable *reasons; /* key to why, both owned */
	bool more_told;
	wwh_counter_t *found;
	wwh_counter_t *now;
};

static void tell(wwh_bad_records_t *records, const char *event, const char *key,
		 const char *why);
static void forget(wwh_bad_records_t *records, const char *event,
		   const char *key);

wwh_bad_records_t *wwh_bad_records_new(const wwh_bad_records_options_t *options)
{
	wwh_bad_records_t *records = g_new0(wwh_bad_records_t, 1);

	records->list = g_strdup(options->list);
	records->log = options->log;
	records->reasons =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	records->found =
		wwh_counters_get(options->counters, "records.unreadable");
	records->now =
		wwh_counters_get(options->counters, "records.unreadable_now");
	return records;
}

void wwh_bad_records_delete(wwh_bad_records_t *records)
{
	if (records == NULL)
		return;
	wwh_counter_add(records->now,
			-(int64_t)g_hash_table_size(records->reasons));
	g_hash_table_destroy(records->reasons);
	g_free(records->list);
	g_free(records);
}

void wwh_bad_records_mark_unreadable(wwh_bad_records_t *records,
				     const char *key, const char *why)
{
	const char *before = g_hash_table_lookup(records->reasons, key);

	if (before != NULL && strcmp(before, why) == 0)
		return;
	wwh_counter_add(records->found, 1);
	if (before == NULL &&
	    g_hash_table_size(records->reasons) >= WWH_BAD_RECORDS_MAX) {
		if (!records->more_told)
			tell(records, "records-unreadable-more", key, why);
		records->more_told = true;
		return;
	}
	if (before == NULL)
		wwh_counter_add(records->now, 1);
	g_hash_table_replace(records->reasons, g_strdup(key), g_strdup(why));
	tell(records, "record-unreadable", key, why);
}

void wwh_bad_records_mark_readable(wwh_bad_records_t *records, const char *key)
{
	forget(records, "record-mended", key);
}

void wwh_bad_records_mark_removed(wwh_bad_records_t *records, const char *key)
{
	forget(records, "record-gone", key);
}

void wwh_bad_records_retain(wwh_bad_records_t *records, GHashTable *keys)
{
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iterator;
	gpointer key;

	g_hash_table_iter_init(&iterator, records->reasons);
	while (g_hash_table_iter_next(&iterator, &key, NULL)) {
		if (!g_hash_table_contains(keys, key))
			g_ptr_array_add(gone, g_strdup(key));
	}
	for (guint i = 0; i < gone->len; i++)
		wwh_bad_records_mark_removed(records,
					     g_ptr_array_index(gone, i));
	g_ptr_array_unref(gone);
}

static void forget(wwh_bad_records_t *records, const char *event,
		   const char *key)
{
	const char *why = g_hash_table_lookup(records->reasons, key);

	if (why == NULL)
		return;
	tell(records, event, key, why);
	g_hash_table_remove(records->reasons, key);
	records->more_told = false;
	wwh_counter_add(records->now, -1);
}

static void tell(wwh_bad_records_t *records, const char *event, const char *key,
		 const char *why)
{
	char *shown = g_strescape(key, NULL);

	if (strlen(shown) > SHOWN_KEY_CHARS)
		shown[SHOWN_KEY_CHARS] = '\0';
	wwh_event_log_printf(records->log, event, shown, "list=%s why=%s",
			     records->list, why);
	g_free(shown);
}
