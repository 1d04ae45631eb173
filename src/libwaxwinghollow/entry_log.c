#include "private/entry_log.h"

#include <string.h>

#include "private/entry_snapshot.h"
#include "private/intent_writer.h"
#include "private/request_table.h"
#include "waxwinghollow/log_client.h"

/* Newest verdicts that are kept for the threads that submitted the records. */
#define RECENT_VERDICTS_MAX 4096

/* An acknowledged record not replayed within this limit counts as unknown. */
#define READ_BACK_LIMIT_MS 2000
#define FINISH_LIMIT_MS 1000

/* The replay of one stream. */
typedef struct {
	wwh_entry_log_t *log;
	wwh_stream_t stream;
	wwh_log_client_t *client;
	wwh_entry_snapshot_t *snapshot;
	bool caught_up; /* at least once; under the entry's state_lock */
	int64_t last_read_ended_ms; /* under state_lock */
	int64_t full_read_sent_ms; /* under state_lock */
} replay_t;

typedef struct {
	int64_t offset;
	wwh_verdict_t verdict;
	wwh_verdict_detail_t detail;
} recent_verdict_t;

struct wwh_entry_log {
	wwh_entry_t *entry;
	wwh_log_budget_t *budget;
	replay_t replays[WWH_STREAM_COUNT];
	recent_verdict_t *verdicts; /* by offset modulo RECENT_VERDICTS_MAX */
	wwh_counter_t *appends;
	wwh_counter_t *append_bytes;
	wwh_counter_t *records;
	wwh_counter_t *record_bytes;
};

static void create_replay(wwh_entry_log_t *log, wwh_stream_t stream);
static replay_t *find_replay(wwh_entry_log_t *log, const char *stream);
static void on_record(const char *stream, const wwh_log_entry_t *log_entry,
		      void *client_data);
static void on_scan(const char *stream, const wwh_log_entry_t *log_entry,
		    void *client_data);
static void on_trimmed(const char *stream, int64_t first, void *client_data);
static void on_read(const char *stream, int64_t cursor, bool caught_up,
		    void *client_data);
static void apply_control(wwh_entry_log_t *log,
			  const wwh_log_entry_t *log_entry);
static void apply_intents(wwh_entry_log_t *log,
			  const wwh_log_entry_t *log_entry);
static void on_intent(const char *author, const char *service, const char *key,
		      int64_t sequence, wwh_intent_verdict_t verdict,
		      void *client_data);
static wwh_status_t append_bytes(wwh_entry_log_t *log, wwh_stream_t stream,
				 GBytes *bytes, int32_t timeout_ms,
				 int64_t *offset);

wwh_entry_log_t *wwh_entry_log_new(wwh_entry_t *entry)
{
	wwh_entry_log_t *log = g_new0(wwh_entry_log_t, 1);
	wwh_counters_t *counters = entry->counters;

	log->entry = entry;
	log->budget = wwh_log_budget_new(wwh_log_client_now_ms());
	log->verdicts = g_new0(recent_verdict_t, RECENT_VERDICTS_MAX);
	for (int32_t i = 0; i < RECENT_VERDICTS_MAX; i++)
		log->verdicts[i].offset = WWH_NO_OFFSET;
	log->appends = wwh_counters_get(counters, "log.appends");
	log->append_bytes = wwh_counters_get(counters, "log.append_bytes");
	log->records = wwh_counters_get(counters, "log.records");
	log->record_bytes = wwh_counters_get(counters, "log.record_bytes");
	for (int32_t i = 0; i < WWH_STREAM_COUNT; i++)
		create_replay(log, (wwh_stream_t)i);
	return log;
}

void wwh_entry_log_start(wwh_entry_log_t *log)
{
	for (int32_t i = 0; i < WWH_STREAM_COUNT; i++)
		(void)wwh_log_client_init(log->replays[i].client);
}

void wwh_entry_log_finish(wwh_entry_log_t *log)
{
	for (int32_t i = 0; i < WWH_STREAM_COUNT; i++)
		wwh_log_client_finish(log->replays[i].client,
				      wwh_log_client_now_ms() +
					      FINISH_LIMIT_MS);
}

void wwh_entry_log_delete(wwh_entry_log_t *log)
{
	if (log == NULL)
		return;
	for (int32_t i = 0; i < WWH_STREAM_COUNT; i++) {
		wwh_log_client_delete(log->replays[i].client);
		wwh_entry_snapshot_delete(log->replays[i].snapshot);
	}
	wwh_log_budget_delete(log->budget);
	g_free(log->verdicts);
	g_free(log);
}

bool wwh_entry_log_caught_up(wwh_entry_log_t *log)
{
	bool caught_up = true;

	g_mutex_lock(&log->entry->state_lock);
	for (int32_t i = 0; i < WWH_STREAM_COUNT; i++)
		caught_up = caught_up && log->replays[i].caught_up;
	g_mutex_unlock(&log->entry->state_lock);
	return caught_up;
}

int64_t wwh_entry_log_read_sent_ms(wwh_entry_log_t *log)
{
	int64_t full_read_sent_ms;

	g_mutex_lock(&log->entry->state_lock);
	full_read_sent_ms = log->replays[WWH_STREAM_CONTROL].full_read_sent_ms;
	g_mutex_unlock(&log->entry->state_lock);
	return full_read_sent_ms;
}

int64_t wwh_entry_log_offset(wwh_entry_log_t *log, wwh_stream_t stream)
{
	return wwh_log_client_cursor(log->replays[stream].client) - 1;
}

wwh_status_t wwh_entry_log_append(wwh_entry_log_t *log, wwh_stream_t stream,
				  const wwh_record_t *record,
				  int32_t timeout_ms, int64_t *offset)
{
	wwh_message_t message;
	GBytes *bytes = wwh_record_encode(record, &message);
	wwh_status_t status;

	if (bytes == NULL) {
		g_warning("record cannot be encoded: %s", message.text);
		return WWH_STATUS_BAD_INPUT;
	}
	status = append_bytes(log, stream, bytes, timeout_ms, offset);
	g_bytes_unref(bytes);
	return status;
}

void wwh_entry_log_submit(wwh_entry_log_t *log, const wwh_record_t *record,
			  int32_t timeout_ms, wwh_submit_result_t *result)
{
	wwh_entry_t *entry = log->entry;
	wwh_log_client_t *client = log->replays[WWH_STREAM_CONTROL].client;
	recent_verdict_t *recent;

	memset(result, 0, sizeof(*result));
	result->status = wwh_entry_log_append(log, WWH_STREAM_CONTROL, record,
					      timeout_ms, &result->offset);
	if (result->status != WWH_STATUS_OK)
		return;
	result->status = WWH_STATUS_UNKNOWN;
	if (!wwh_log_client_wait(client, result->offset,
				 wwh_log_client_now_ms() + READ_BACK_LIMIT_MS))
		return;
	recent = &log->verdicts[result->offset % RECENT_VERDICTS_MAX];
	g_mutex_lock(&entry->state_lock);
	if (recent->offset == result->offset) {
		result->status = WWH_STATUS_OK;
		result->verdict = recent->verdict;
		result->detail = recent->detail;
	}
	g_mutex_unlock(&entry->state_lock);
}

void wwh_entry_log_publish_snapshots(wwh_entry_log_t *log)
{
	for (int32_t i = 0; i < WWH_STREAM_COUNT; i++) {
		wwh_stream_t stream = (wwh_stream_t)i;
		GPtrArray *records = wwh_entry_snapshot_due_records(
			log->replays[i].snapshot, wwh_now_ms());
		int64_t offset;

		if (records == NULL)
			continue;
		for (guint j = 0; j < records->len; j++)
			(void)append_bytes(
				log, stream, g_ptr_array_index(records, j),
				log->entry->settings->log_append_timeout_ms,
				&offset);
		g_ptr_array_unref(records);
	}
}

static void create_replay(wwh_entry_log_t *log, wwh_stream_t stream)
{
	const wwh_settings_t *settings = log->entry->settings;
	replay_t *replay = &log->replays[stream];
	wwh_log_client_options_t options;

	replay->log = log;
	replay->stream = stream;
	replay->snapshot = wwh_entry_snapshot_new(log->entry, stream);
	wwh_log_client_options_defaults(&options);
	options.stream = wwh_stream_names[stream];
	options.platform = log->entry->platform;
	options.budget = log->budget;
	options.counters = log->entry->counters;
	options.core.attempt_timeout_ms = settings->log_append_timeout_ms;
	options.core.read_wait_ms = settings->log_wait_ms;
	options.core.read_timeout_ms = settings->log_read_timeout_ms;
	options.callbacks.on_record = on_record;
	options.callbacks.on_scan = on_scan;
	options.callbacks.on_trimmed = on_trimmed;
	options.callbacks.on_read = on_read;
	options.callbacks.client_data = log;
	replay->client = wwh_log_client_new(&options);
}

static replay_t *find_replay(wwh_entry_log_t *log, const char *stream)
{
	int32_t index = 0;

	while (strcmp(wwh_stream_names[index], stream) != 0)
		index++;
	return &log->replays[index];
}

static void on_record(const char *stream, const wwh_log_entry_t *log_entry,
		      void *client_data)
{
	wwh_entry_log_t *log = client_data;

	wwh_counter_add(log->records, 1);
	wwh_counter_add(log->record_bytes, (int64_t)log_entry->size);
	if (find_replay(log, stream)->stream == WWH_STREAM_CONTROL)
		apply_control(log, log_entry);
	else
		apply_intents(log, log_entry);
}

/*
 * Called while the replay waits for a snapshot; the record may be a part of
 * one.
 */
static void on_scan(const char *stream, const wwh_log_entry_t *log_entry,
		    void *client_data)
{
	replay_t *replay = find_replay(client_data, stream);

	wwh_entry_snapshot_scan(replay->snapshot, log_entry, replay->client);
}

static void on_trimmed(const char *stream, int64_t first, void *client_data)
{
	wwh_entry_snapshot_set_first_offset(
		find_replay(client_data, stream)->snapshot, first);
	g_message("log %s: records before %" G_GINT64_FORMAT
		  " are trimmed, waiting for a snapshot",
		  stream, first);
}

static void on_read(const char *stream, int64_t cursor, bool caught_up,
		    void *client_data)
{
	wwh_entry_log_t *log = client_data;
	replay_t *replay = find_replay(log, stream);

	(void)cursor;
	g_mutex_lock(&log->entry->state_lock);
	/* a read is never sent before the previous one ended */
	if (caught_up) {
		replay->caught_up = true;
		replay->full_read_sent_ms = replay->last_read_ended_ms;
	}
	replay->last_read_ended_ms = wwh_now_ms();
	g_mutex_unlock(&log->entry->state_lock);
}

static void apply_control(wwh_entry_log_t *log,
			  const wwh_log_entry_t *log_entry)
{
	wwh_entry_t *entry = log->entry;
	replay_t *replay = &log->replays[WWH_STREAM_CONTROL];
	recent_verdict_t *recent =
		&log->verdicts[log_entry->offset % RECENT_VERDICTS_MAX];
	wwh_record_t record = { 0 };
	int64_t version;

	g_mutex_lock(&entry->state_lock);
	wwh_entry_snapshot_before_apply(replay->snapshot, log_entry->offset);
	version = wwh_state_config_version(entry->state);
	memset(&recent->detail, 0, sizeof(recent->detail));
	recent->verdict = wwh_state_apply_entry(
		entry->state, log_entry->offset, log_entry->data,
		log_entry->size, &record, &recent->detail);
	recent->offset = log_entry->offset;
	wwh_entry_snapshot_after_apply(replay->snapshot, &record);
	if (wwh_state_config_version(entry->state) != version)
		wwh_entry_apply_replayed_config(entry);
	g_mutex_unlock(&entry->state_lock);
	wwh_counter_add(entry->verdicts[recent->verdict], 1);
	wwh_record_clear(&record);
}

static void apply_intents(wwh_entry_log_t *log,
			  const wwh_log_entry_t *log_entry)
{
	wwh_entry_t *entry = log->entry;
	replay_t *replay = &log->replays[WWH_STREAM_INTENTS];
	wwh_record_t record = { 0 };

	g_mutex_lock(&entry->state_lock);
	wwh_entry_snapshot_before_apply(replay->snapshot, log_entry->offset);
	(void)wwh_intents_apply_entry(entry->intents, log_entry->offset,
				      log_entry->data, log_entry->size, &record,
				      on_intent, entry, NULL);
	wwh_entry_snapshot_after_apply(replay->snapshot, &record);
	g_mutex_unlock(&entry->state_lock);
	wwh_record_clear(&record);
}

/*
 * If an intent is read back after its request ended, the request was never
 * sent. It is recorded as "not run"; otherwise its key would stay "in progress"
 * for ever.
 */
static void on_intent(const char *author, const char *service, const char *key,
		      int64_t sequence, wwh_intent_verdict_t verdict,
		      void *client_data)
{
	wwh_entry_t *entry = client_data;
	wwh_result_item_t *item;

	if (verdict >= WWH_INTENT_RESULT_ACCEPTED ||
	    strcmp(author, entry->author) != 0)
		return;
	if (wwh_request_table_intent_settled(entry->requests,
					     (uint64_t)sequence, verdict) ||
	    verdict != WWH_INTENT_ACCEPTED)
		return;
	item = wwh_result_item_new(service, key);
	item->sequence = sequence;
	item->result = WWH_RESULT_NOT_RUN;
	wwh_intent_writer_add_result(entry->intent_writer, item);
}

static wwh_status_t append_bytes(wwh_entry_log_t *log, wwh_stream_t stream,
				 GBytes *bytes, int32_t timeout_ms,
				 int64_t *offset)
{
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	wwh_counter_add(log->appends, 1);
	wwh_counter_add(log->append_bytes, (int64_t)size);
	return wwh_log_client_append(log->replays[stream].client, data, size,
				     wwh_log_client_now_ms() + timeout_ms,
				     offset);
}
