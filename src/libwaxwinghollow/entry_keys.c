#include "private/entry_keys.h"

#include <string.h>

#include "private/entry_log.h"
#include "private/entry_peers.h"
#include "private/entry_seats.h"

/* Period at which the end of stream intents is sampled. */
#define SAMPLE_PERIOD_MS 10000

/*
 * An expired key is still refused for this many windows, so that a repeat that
 * arrives much too late is not run a second time.
 */
#define TOMBSTONE_WINDOWS 8
#define SECOND_MS 1000

/* The end of stream intents at one time. */
typedef struct {
	int64_t at_ms;
	int64_t offset;
} sample_t;

struct wwh_entry_keys {
	wwh_entry_t *entry;
	GQueue samples; /* of sample_t, oldest first */
	int64_t next_sample_ms;
	wwh_counter_t *abandoned;
	wwh_counter_t *expiries;
};

/* Search for an author that is gone and not marked as abandoned yet. */
typedef struct {
	wwh_entry_t *entry;
	char *author;
} author_search_t;

static void abandon_gone_author(wwh_entry_keys_t *keys);
static bool find_gone_author(const char *author, int64_t offset,
			     void *client_data);
static void sample_end(wwh_entry_keys_t *keys, int64_t now_ms);
static void expire_keys(wwh_entry_keys_t *keys, int64_t now_ms);
static int64_t end_offset_before(wwh_entry_keys_t *keys, int64_t at_ms);
static void drop_samples_before(wwh_entry_keys_t *keys, int64_t at_ms);
static void append_record(wwh_entry_keys_t *keys, wwh_record_t *record);

wwh_entry_keys_t *wwh_entry_keys_new(wwh_entry_t *entry)
{
	wwh_entry_keys_t *keys = g_new0(wwh_entry_keys_t, 1);

	keys->entry = entry;
	g_queue_init(&keys->samples);
	keys->abandoned = wwh_counters_get(entry->counters, "keys.abandoned");
	keys->expiries = wwh_counters_get(entry->counters, "keys.expiries");
	return keys;
}

void wwh_entry_keys_delete(wwh_entry_keys_t *keys)
{
	if (keys == NULL)
		return;
	g_queue_clear_full(&keys->samples, g_free);
	g_free(keys);
}

void wwh_entry_keys_round(wwh_entry_keys_t *keys)
{
	int64_t now_ms = wwh_now_ms();

	sample_end(keys, now_ms);
	abandon_gone_author(keys);
	expire_keys(keys, now_ms);
}

/*
 * Replay compares author names, which differ for each incarnation. So a process
 * that was wrongly abandoned can run nothing more under its name; it reports
 * itself as not ready until it is restarted.
 */
static void abandon_gone_author(wwh_entry_keys_t *keys)
{
	wwh_entry_t *entry = keys->entry;
	author_search_t search = { .entry = entry };
	wwh_record_t record;

	g_mutex_lock(&entry->state_lock);
	if (wwh_intents_totals(entry->intents).in_progress > 0)
		wwh_state_each_author(entry->state, find_gone_author, &search);
	g_mutex_unlock(&entry->state_lock);
	if (search.author == NULL)
		return;
	g_message("keys of %s are abandoned: it is gone", search.author);
	wwh_counter_add(keys->abandoned, 1);
	wwh_record_init(&record, WWH_RECORD_ABANDON, entry->author);
	wwh_record_set(&record.body.abandon.process, search.author);
	append_record(keys, &record);
	g_free(search.author);
}

static bool find_gone_author(const char *author, int64_t offset,
			     void *client_data)
{
	author_search_t *search = client_data;

	(void)offset;
	if (wwh_intents_is_abandoned(search->entry->intents, author) ||
	    !wwh_seats_is_author_gone(search->entry->seats, author))
		return true;
	search->author = g_strdup(author);
	return false;
}

static void sample_end(wwh_entry_keys_t *keys, int64_t now_ms)
{
	wwh_entry_t *entry = keys->entry;
	sample_t *sample;

	if (now_ms < keys->next_sample_ms)
		return;
	keys->next_sample_ms = now_ms + SAMPLE_PERIOD_MS;
	sample = g_new0(sample_t, 1);
	sample->at_ms = now_ms;
	g_mutex_lock(&entry->state_lock);
	sample->offset = wwh_intents_last_offset(entry->intents);
	g_mutex_unlock(&entry->state_lock);
	g_queue_push_tail(&keys->samples, sample);
}

/*
 * Only the process of rank 0 expires keys. It does no harm if two processes
 * have that rank for a while: replay never moves the record's limits back.
 */
static void expire_keys(wwh_entry_keys_t *keys, int64_t now_ms)
{
	wwh_entry_t *entry = keys->entry;
	wwh_config_t *config = wwh_entry_config(entry);
	wwh_intents_totals_t totals;
	wwh_record_t record;
	int64_t window_ms;
	int64_t keys_upto;
	int64_t tombstones_upto;
	int32_t members;

	if (config == NULL)
		return;
	window_ms = (int64_t)wwh_config_rules(config)->key_window_s * SECOND_MS;
	wwh_config_unref(config);
	drop_samples_before(keys, now_ms - (TOMBSTONE_WINDOWS + 1) * window_ms);
	if (wwh_entry_peers_rank(entry->peers, &members) != 0)
		return;
	tombstones_upto =
		end_offset_before(keys, now_ms - TOMBSTONE_WINDOWS * window_ms);
	keys_upto = end_offset_before(keys, now_ms - window_ms);
	g_mutex_lock(&entry->state_lock);
	totals = wwh_intents_totals(entry->intents);
	g_mutex_unlock(&entry->state_lock);
	/* tombstones are dropped only below an earlier record's keys_upto */
	tombstones_upto = MIN(tombstones_upto, totals.keys_upto);
	if (keys_upto <= totals.keys_upto &&
	    tombstones_upto <= totals.tombstones_upto)
		return;
	wwh_counter_add(keys->expiries, 1);
	wwh_record_init(&record, WWH_RECORD_EXPIRE_KEYS, entry->author);
	record.body.expire_keys.keys_upto = MAX(keys_upto, totals.keys_upto);
	record.body.expire_keys.tombstones_upto =
		MAX(tombstones_upto, totals.tombstones_upto);
	append_record(keys, &record);
}

/*
 * The offset after the newest sample that was taken at at_ms or before; 0 if
 * there is none.
 */
static int64_t end_offset_before(wwh_entry_keys_t *keys, int64_t at_ms)
{
	int64_t offset = 0;

	for (GList *link = keys->samples.head; link != NULL;
	     link = link->next) {
		const sample_t *sample = link->data;

		if (sample->at_ms > at_ms)
			break;
		offset = sample->offset + 1;
	}
	return MAX(offset, 0);
}

static void drop_samples_before(wwh_entry_keys_t *keys, int64_t at_ms)
{
	const sample_t *oldest;

	while ((oldest = g_queue_peek_head(&keys->samples)) != NULL &&
	       oldest->at_ms < at_ms)
		g_free(g_queue_pop_head(&keys->samples));
}

/* Appends record to stream intents and clears it. */
static void append_record(wwh_entry_keys_t *keys, wwh_record_t *record)
{
	int64_t offset;

	(void)wwh_entry_log_append(keys->entry->log, WWH_STREAM_INTENTS, record,
				   keys->entry->settings->log_append_timeout_ms,
				   &offset);
	wwh_record_clear(record);
}
