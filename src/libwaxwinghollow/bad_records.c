#include "waxwinghollow/bad_records.h"

#include <stdbool.h>
#include <string.h>

#define LOGGED_KEY_MAX_CHARS 80

struct wwh_bad_records {
	char *list;
	wwh_event_log_t *log;
	GHashTable *reasons; /* keys to reasons, both owned */
	bool overflow_logged;
	wwh_counter_t *unreadable;
	wwh_counter_t *unreadable_now;
};

static void log_event(wwh_bad_records_t *records, const char *event,
		      const char *key, const char *reason);
static void remove_record(wwh_bad_records_t *records, const char *event,
			  const char *key);

wwh_bad_records_t *wwh_bad_records_new(const wwh_bad_records_options_t *options)
{
	wwh_bad_records_t *records = g_new0(wwh_bad_records_t, 1);

	records->list = g_strdup(options->list);
	records->log = options->log;
	records->reasons =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	records->unreadable =
		wwh_counters_get(options->counters, "records.unreadable");
	records->unreadable_now =
		wwh_counters_get(options->counters, "records.unreadable_now");
	return records;
}

void wwh_bad_records_delete(wwh_bad_records_t *records)
{
	if (records == NULL)
		return;
	wwh_counter_add(records->unreadable_now,
			-(int64_t)g_hash_table_size(records->reasons));
	g_hash_table_destroy(records->reasons);
	g_free(records->list);
	g_free(records);
}

void wwh_bad_records_mark_unreadable(wwh_bad_records_t *records,
				     const char *key, const char *reason)
{
	const char *previous = g_hash_table_lookup(records->reasons, key);

	if (previous != NULL && strcmp(previous, reason) == 0)
		return;
	wwh_counter_add(records->unreadable, 1);
	if (previous == NULL &&
	    g_hash_table_size(records->reasons) >= WWH_BAD_RECORDS_MAX) {
		if (!records->overflow_logged)
			log_event(records, "records-unreadable-more", key,
				  reason);
		records->overflow_logged = true;
		return;
	}
	if (previous == NULL)
		wwh_counter_add(records->unreadable_now, 1);
	g_hash_table_replace(records->reasons, g_strdup(key), g_strdup(reason));
	log_event(records, "record-unreadable", key, reason);
}

void wwh_bad_records_mark_readable(wwh_bad_records_t *records, const char *key)
{
	remove_record(records, "record-mended", key);
}

void wwh_bad_records_mark_removed(wwh_bad_records_t *records, const char *key)
{
	remove_record(records, "record-gone", key);
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

static void remove_record(wwh_bad_records_t *records, const char *event,
			  const char *key)
{
	const char *reason = g_hash_table_lookup(records->reasons, key);

	if (reason == NULL)
		return;
	log_event(records, event, key, reason);
	g_hash_table_remove(records->reasons, key);
	records->overflow_logged = false;
	wwh_counter_add(records->unreadable_now, -1);
}

static void log_event(wwh_bad_records_t *records, const char *event,
		      const char *key, const char *reason)
{
	char *logged_key = g_strescape(key, NULL);

	if (strlen(logged_key) > LOGGED_KEY_MAX_CHARS)
		logged_key[LOGGED_KEY_MAX_CHARS] = '\0';
	wwh_event_log_printf(records->log, event, logged_key, "list=%s why=%s",
			     records->list, reason);
	g_free(logged_key);
}
