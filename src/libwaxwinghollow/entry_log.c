#include "private/entry_log.h"

#include <string.h>

#include "private/intent_writer.h"
#include "private/request_table.h"

/* Verdicts that are kept until the appender has asked for them. */
#define VERDICTS_KEPT 4096
#define MILLISECOND_US 1000
#define READ_RETRY_MS 100

/* The replay of one stream. */
typedef struct {
	wwh_entry_log_t *log;
	wwh_stream_t stream;
	int64_t next; /* the offset to read from */
	bool caught_up;
	int64_t read_ms; /* when it was last read to its end */
	GThread *thread;
} replay_t;

typedef struct {
	int64_t offset;
	wwh_verdict_t verdict;
	wwh_verdict_detail_t detail;
} kept_verdict_t;

struct wwh_entry_log {
	wwh_entry_t *entry;
	replay_t replays[WWH_STREAM_COUNT];
	kept_verdict_t *verdicts; /* by offset modulo VERDICTS_KEPT */
	GRand *random;
	bool stopping; /* under the entry's state_lock, as all above */
	wwh_counter_t *appends;
	wwh_counter_t *append_bytes;
	wwh_counter_t *append_failures;
	wwh_counter_t *records;
	wwh_counter_t *record_bytes;
	wwh_counter_t *read_failures;
};

static gpointer replay_main(gpointer data);
static bool on_entry(const wwh_log_entry_t *log_entry, void *client_data);
static void apply_control(wwh_entry_log_t *log,
			  const wwh_log_entry_t *log_entry);
static void apply_intents(wwh_entry_log_t *log,
			  const wwh_log_entry_t *log_entry);
static void on_intent(const char *author, const char *service, const char *key,
		      int64_t sequence, wwh_intent_verdict_t verdict,
		      void *client_data);
static void take_config(wwh_entry_t *entry);
static bool stopping(wwh_entry_log_t *log);

wwh_entry_log_t *wwh_entry_log_new(wwh_entry_t *entry)
{
	wwh_entry_log_t *log = g_new0(wwh_entry_log_t, 1);
	wwh_counters_t *counters = entry->counters;

	log->entry = entry;
	log->random = g_rand_new();
	log->verdicts = g_new0(kept_verdict_t, VERDICTS_KEPT);
	for (int32_t i = 0; i < VERDICTS_KEPT; i++)
		log->verdicts[i].offset = WWH_NO_OFFSET;
	for (int32_t i = 0; i < WWH_STREAM_COUNT; i++) {
		log->replays[i].log = log;
		log->replays[i].stream = (wwh_stream_t)i;
		log->replays[i].next = 1;
	}
	log->appends = wwh_counters_get(counters, "log.appends");
	log->append_bytes = wwh_counters_get(counters, "log.append_bytes");
	log->append_failures =
		wwh_counters_get(counters, "log.append_failures");
	log->records = wwh_counters_get(counters, "log.records");
	log->record_bytes = wwh_counters_get(counters, "log.record_bytes");
	log->read_failures = wwh_counters_get(counters, "log.read_failures");
	return log;
}

void wwh_entry_log_start(wwh_entry_log_t *log)
{
	for (int32_t i = 0; i < WWH_STREAM_COUNT; i++)
		log->replays[i].thread = g_thread_new(
			wwh_stream_names[i], replay_main, &log->replays[i]);
}

void wwh_entry_log_finish(wwh_entry_log_t *log)
{
	g_mutex_lock(&log->entry->state_lock);
	log->stopping = true;
	g_mutex_unlock(&log->entry->state_lock);
	for (int32_t i = 0; i < WWH_STREAM_COUNT; i++) {
		if (log->replays[i].thread != NULL)
			g_thread_join(log->replays[i].thread);
		log->replays[i].thread = NULL;
	}
}

void wwh_entry_log_delete(wwh_entry_log_t *log)
{
	if (log == NULL)
		return;
	wwh_entry_log_finish(log);
	g_rand_free(log->random);
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

int64_t wwh_entry_log_read_ms(wwh_entry_log_t *log)
{
	int64_t read_ms;

	g_mutex_lock(&log->entry->state_lock);
	read_ms = log->replays[WWH_STREAM_CONTROL].read_ms;
	g_mutex_unlock(&log->entry->state_lock);
	return read_ms;
}

int64_t wwh_entry_log_offset(wwh_entry_log_t *log, wwh_stream_t stream)
{
	int64_t next;

	g_mutex_lock(&log->entry->state_lock);
	next = log->replays[stream].next;
	g_mutex_unlock(&log->entry->state_lock);
	return next - 1;
}

wwh_status_t wwh_entry_log_append(wwh_entry_log_t *log, wwh_stream_t stream,
				  const wwh_record_t *record,
				  int32_t timeout_ms, int64_t *offset)
{
	wwh_platform_t *platform = &log->entry->platform;
	wwh_message_t message;
	wwh_append_id_t id;
	GBytes *bytes = wwh_record_encode(record, &message);
	const uint8_t *data;
	gsize size;
	wwh_status_t status;

	if (bytes == NULL) {
		g_warning("a record can't be written: %s", message.text);
		return WWH_STATUS_BAD_INPUT;
	}
	g_mutex_lock(&log->entry->state_lock);
	for (size_t i = 0; i < sizeof(id.bytes); i++)
		id.bytes[i] = (uint8_t)g_rand_int(log->random);
	g_mutex_unlock(&log->entry->state_lock);
	data = g_bytes_get_data(bytes, &size);
	status = platform->append(platform->context, wwh_stream_names[stream],
				  &id, data, size, timeout_ms, offset);
	wwh_counter_add(log->appends, 1);
	wwh_counter_add(log->append_bytes, (int64_t)size);
	if (status != WWH_STATUS_OK)
		wwh_counter_add(log->append_failures, 1);
	g_bytes_unref(bytes);
	return status;
}

void wwh_entry_log_submit(wwh_entry_log_t *log, const wwh_record_t *record,
			  int32_t timeout_ms, wwh_submitted_t *submitted)
{
	wwh_entry_t *entry = log->entry;
	int64_t end_us =
		g_get_monotonic_time() + (int64_t)timeout_ms * MILLISECOND_US;
	kept_verdict_t *kept;

	memset(submitted, 0, sizeof(*submitted));
	submitted->status =
		wwh_entry_log_append(log, WWH_STREAM_CONTROL, record,
				     timeout_ms, &submitted->offset);
	if (submitted->status != WWH_STATUS_OK)
		return;
	kept = &log->verdicts[submitted->offset % VERDICTS_KEPT];
	submitted->status = WWH_STATUS_UNKNOWN;
	g_mutex_lock(&entry->state_lock);
	while (kept->offset < submitted->offset && !log->stopping) {
		if (!g_cond_wait_until(&entry->state_changed,
				       &entry->state_lock, end_us))
			break;
	}
	if (kept->offset == submitted->offset) {
		submitted->status = WWH_STATUS_OK;
		submitted->verdict = kept->verdict;
		submitted->detail = kept->detail;
	}
	g_mutex_unlock(&entry->state_lock);
}

static gpointer replay_main(gpointer data)
{
	replay_t *replay = data;
	wwh_entry_log_t *log = replay->log;
	wwh_platform_t *platform = &log->entry->platform;
	const wwh_settings_t *settings = log->entry->settings;

	while (!stopping(log)) {
		int64_t first = 0;
		int64_t next = 0;
		wwh_status_t status = platform->read(
			platform->context, wwh_stream_names[replay->stream],
			replay->next, settings->log_wait_ms,
			settings->log_wait_ms + settings->log_read_timeout_ms,
			on_entry, replay, &first, &next);

		if (status != WWH_STATUS_OK) {
			wwh_counter_add(log->read_failures, 1);
			g_usleep(READ_RETRY_MS * MILLISECOND_US);
			continue;
		}
		g_mutex_lock(&log->entry->state_lock);
		if (replay->next >= next) {
			replay->caught_up = true;
			replay->read_ms = wwh_now_ms();
		}
		g_cond_broadcast(&log->entry->state_changed);
		g_mutex_unlock(&log->entry->state_lock);
	}
	return NULL;
}

static bool on_entry(const wwh_log_entry_t *log_entry, void *client_data)
{
	replay_t *replay = client_data;
	wwh_entry_log_t *log = replay->log;

	wwh_counter_add(log->records, 1);
	wwh_counter_add(log->record_bytes, (int64_t)log_entry->size);
	if (replay->stream == WWH_STREAM_CONTROL)
		apply_control(log, log_entry);
	else
		apply_intents(log, log_entry);
	g_mutex_lock(&log->entry->state_lock);
	replay->next = log_entry->offset + 1;
	g_mutex_unlock(&log->entry->state_lock);
	return true;
}

static void apply_control(wwh_entry_log_t *log,
			  const wwh_log_entry_t *log_entry)
{
	wwh_entry_t *entry = log->entry;
	kept_verdict_t *kept =
		&log->verdicts[log_entry->offset % VERDICTS_KEPT];
	wwh_record_t record = { 0 };
	int64_t version;
	bool config_changed;

	g_mutex_lock(&entry->state_lock);
	version = wwh_state_config_version(entry->state);
	memset(&kept->detail, 0, sizeof(kept->detail));
	kept->verdict = wwh_state_apply_entry(entry->state, log_entry->offset,
					      log_entry->data, log_entry->size,
					      &record, &kept->detail);
	kept->offset = log_entry->offset;
	config_changed = wwh_state_config_version(entry->state) != version;
	if (config_changed)
		take_config(entry);
	g_cond_broadcast(&entry->state_changed);
	g_mutex_unlock(&entry->state_lock);
	wwh_counter_add(entry->verdicts[kept->verdict], 1);
	wwh_record_clear(&record);
}

static void apply_intents(wwh_entry_log_t *log,
			  const wwh_log_entry_t *log_entry)
{
	wwh_entry_t *entry = log->entry;
	wwh_record_t record = { 0 };

	g_mutex_lock(&entry->state_lock);
	(void)wwh_intents_apply_entry(entry->intents, log_entry->offset,
				      log_entry->data, log_entry->size, &record,
				      on_intent, entry, NULL);
	g_mutex_unlock(&entry->state_lock);
	wwh_record_clear(&record);
}

/*
 * An intent that is read back after its request was given up was never sent:
 * it is recorded as not run, or its key would stay "in progress" for good.
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

/* Holds the lock order: state_lock first, the table's lock inside. */
static void take_config(wwh_entry_t *entry)
{
	if (entry->config != NULL)
		wwh_config_unref(entry->config);
	entry->config = wwh_config_ref(wwh_state_config(entry->state));
	wwh_request_table_configure(entry->requests, entry->config);
	g_message("configuration %" G_GINT64_FORMAT " by %s is in force",
		  wwh_state_config_version(entry->state),
		  wwh_state_config_author(entry->state));
}

static bool stopping(wwh_entry_log_t *log)
{
	bool result;

	g_mutex_lock(&log->entry->state_lock);
	result = log->stopping;
	g_mutex_unlock(&log->entry->state_lock);
	return result;
}
