#include "private/entry_snapshot.h"

#include "waxwinghollow/snapshot.h"

/*
 * A full table of keys is 7.9 MB, the control state 0.2 MB at the target's
 * size: the first goes to the log at each 16th agreed offset only, some five
 * KB a second at 40 batches a second in place of 80. The log has to keep the
 * records of two such intervals.
 */
#define INTENTS_INTERVALS 16

/* Processes put off their snapshot by up to this, so that one is enough. */
#define SPREAD_MS 5000

struct wwh_entry_snapshot {
	wwh_entry_t *entry;
	wwh_stream_t stream;
	wwh_snapshot_generator_t *keeper;
	wwh_snapshot_parts_t *parts;
	int64_t first; /* of the log, when it was last found trimmed */
	int64_t waiting_upto; /* a snapshot to be put on the log, or -1 */
	int64_t due_ms;
	/* what install takes up */
	wwh_state_t *new_state;
	wwh_intents_t *new_intents;
	wwh_counter_t *published;
	wwh_counter_t *restored;
	wwh_counter_t *mismatches;
	wwh_counter_t *refused;
	wwh_counter_t *too_old;
};

static bool decode(wwh_entry_snapshot_t *snapshot, GBytes *whole);
static void install(void *data);

wwh_entry_snapshot_t *wwh_entry_snapshot_new(wwh_entry_t *entry,
					     wwh_stream_t stream)
{
	wwh_entry_snapshot_t *snapshot = g_new0(wwh_entry_snapshot_t, 1);
	wwh_counters_t *counters = entry->counters;

	snapshot->entry = entry;
	snapshot->stream = stream;
	snapshot->keeper =
		wwh_snapshot_generator_new(WWH_SNAPSHOT_INTERVAL_OFFSETS);
	snapshot->parts = wwh_snapshot_parts_new();
	snapshot->waiting_upto = WWH_NO_OFFSET;
	snapshot->published = wwh_counters_get(counters, "snapshots.published");
	snapshot->restored = wwh_counters_get(counters, "snapshots.restored");
	snapshot->mismatches =
		wwh_counters_get(counters, "snapshots.mismatches");
	snapshot->too_old = wwh_counters_get(counters, "snapshots.too_old");
	snapshot->refused = wwh_counters_get(counters, "snapshots.refused");
	return snapshot;
}

void wwh_entry_snapshot_delete(wwh_entry_snapshot_t *snapshot)
{
	if (snapshot == NULL)
		return;
	wwh_snapshot_generator_delete(snapshot->keeper);
	wwh_snapshot_parts_delete(snapshot->parts);
	g_free(snapshot);
}

void wwh_entry_snapshot_before_apply(wwh_entry_snapshot_t *snapshot,
				     int64_t offset)
{
	wwh_entry_t *entry = snapshot->entry;
	int64_t before = WWH_NO_OFFSET;
	int64_t after = WWH_NO_OFFSET;

	(void)wwh_snapshot_generator_latest(snapshot->keeper, &before);
	if (snapshot->stream == WWH_STREAM_CONTROL)
		wwh_snapshot_generator_update_state(snapshot->keeper,
						    entry->state, offset);
	else
		wwh_snapshot_generator_update_intents(snapshot->keeper,
						      entry->intents, offset);
	if (wwh_snapshot_generator_latest(snapshot->keeper, &after) == NULL ||
	    after == before)
		return;
	if (snapshot->stream == WWH_STREAM_INTENTS &&
	    after / WWH_SNAPSHOT_INTERVAL_OFFSETS % INTENTS_INTERVALS != 0)
		return;
	snapshot->waiting_upto = after;
	snapshot->due_ms = wwh_now_ms() + g_random_int_range(0, SPREAD_MS);
}

void wwh_entry_snapshot_after_apply(wwh_entry_snapshot_t *snapshot,
				    const wwh_record_t *record)
{
	if (record->author == NULL || record->kind != WWH_RECORD_SNAPSHOT)
		return;
	if (record->body.snapshot.upto >= snapshot->waiting_upto &&
	    record->body.snapshot.part == record->body.snapshot.parts - 1)
		snapshot->waiting_upto = WWH_NO_OFFSET;
	if (wwh_snapshot_generator_compare(snapshot->keeper, record) !=
	    WWH_SNAPSHOT_MISMATCH)
		return;
	wwh_counter_add(snapshot->mismatches, 1);
	g_warning("snapshot of %s up to %" G_GINT64_FORMAT
		  " by %s differs from the state here",
		  wwh_stream_names[snapshot->stream],
		  record->body.snapshot.upto, record->author);
}

GPtrArray *wwh_entry_snapshot_due_records(wwh_entry_snapshot_t *snapshot,
					  int64_t now_ms)
{
	wwh_entry_t *entry = snapshot->entry;
	GPtrArray *records = NULL;
	GBytes *whole;
	int64_t upto;

	g_mutex_lock(&entry->state_lock);
	if (snapshot->waiting_upto != WWH_NO_OFFSET &&
	    now_ms >= snapshot->due_ms) {
		whole = wwh_snapshot_generator_latest(snapshot->keeper, &upto);
		if (whole != NULL)
			records = wwh_snapshot_records(whole, upto,
						       entry->author);
		snapshot->waiting_upto = WWH_NO_OFFSET;
	}
	g_mutex_unlock(&entry->state_lock);
	if (records != NULL)
		wwh_counter_add(snapshot->published, 1);
	return records;
}

void wwh_entry_snapshot_set_first_offset(wwh_entry_snapshot_t *snapshot,
					 int64_t first)
{
	snapshot->first = first;
}

void wwh_entry_snapshot_scan(wwh_entry_snapshot_t *snapshot,
			     const wwh_log_entry_t *log_entry,
			     wwh_log_client_t *client)
{
	wwh_record_t record = { 0 };
	GBytes *whole = NULL;
	int64_t upto = 0;

	if (wwh_record_decode(log_entry->data, log_entry->size, &record,
			      NULL) == WWH_STATUS_OK &&
	    record.kind == WWH_RECORD_SNAPSHOT) {
		upto = record.body.snapshot.upto;
		whole = wwh_snapshot_parts_add(snapshot->parts, &record);
	}
	wwh_record_clear(&record);
	if (whole == NULL)
		return;
	/*
	 * Records between the snapshot and what is left of the log are gone
	 * too: the state would miss them. A newer snapshot will come.
	 */
	if (upto < snapshot->first)
		wwh_counter_add(snapshot->too_old, 1);
	else if (decode(snapshot, whole)) {
		if (wwh_log_client_restore(client, upto, install, snapshot) ==
		    WWH_STATUS_OK)
			g_message("log %s: goes on from a snapshot up to "
				  "%" G_GINT64_FORMAT,
				  wwh_stream_names[snapshot->stream], upto);
		/* install takes them; what it did not take is dropped */
		wwh_state_delete(snapshot->new_state);
		wwh_intents_delete(snapshot->new_intents);
		snapshot->new_state = NULL;
		snapshot->new_intents = NULL;
	}
	g_bytes_unref(whole);
}

static bool decode(wwh_entry_snapshot_t *snapshot, GBytes *whole)
{
	wwh_message_t message;
	gsize size;
	const uint8_t *data = g_bytes_get_data(whole, &size);
	wwh_status_t status;

	if (snapshot->stream == WWH_STREAM_CONTROL)
		status = wwh_snapshot_decode_state(
			data, size, &snapshot->new_state, &message);
	else
		status = wwh_snapshot_decode_intents(
			data, size, &snapshot->new_intents, &message);
	if (status == WWH_STATUS_OK)
		return true;
	wwh_counter_add(snapshot->refused, 1);
	g_warning("a snapshot is refused: %s", message.text);
	return false;
}

static void install(void *data)
{
	wwh_entry_snapshot_t *snapshot = data;
	wwh_entry_t *entry = snapshot->entry;

	g_mutex_lock(&entry->state_lock);
	if (snapshot->new_state != NULL) {
		wwh_state_delete(entry->state);
		entry->state = snapshot->new_state;
		wwh_entry_apply_replayed_config(entry);
	}
	if (snapshot->new_intents != NULL) {
		wwh_intents_delete(entry->intents);
		entry->intents = snapshot->new_intents;
	}
	snapshot->new_state = NULL;
	snapshot->new_intents = NULL;
	g_mutex_unlock(&entry->state_lock);
	wwh_counter_add(snapshot->restored, 1);
}
