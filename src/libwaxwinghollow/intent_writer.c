#include "private/intent_writer.h"

#include <glib.h>

#define MILLISECOND_US 1000
#define RETRY_DELAY_MS 200

struct wwh_intent_writer {
	wwh_intent_writer_options_t options;
	char *author;
	GMutex lock;
	GCond changed;
	GQueue intents; /* of wwh_intent_item_t *, oldest first */
	GQueue results; /* of wwh_result_item_t * */
	bool stopping;
	int64_t stop_deadline_us;
	GThread *thread;
	wwh_counter_t *batches;
	wwh_counter_t *items;
	wwh_counter_t *refused;
	wwh_counter_t *dropped;
	wwh_counter_t *results_waiting;
};

static gpointer writer_main(gpointer data);
static void write_intents(wwh_intent_writer_t *writer, GQueue *batch);
static bool write_results(wwh_intent_writer_t *writer, GQueue *batch);
static void move_items(GQueue *from, GQueue *to, guint limit);
static void requeue_items(GQueue *to, GQueue *from);
static bool wait_for_work(wwh_intent_writer_t *writer, int64_t not_before_us);
static void free_intent(gpointer data);
static void free_result(gpointer data);

wwh_intent_writer_t *
wwh_intent_writer_new(const wwh_intent_writer_options_t *options,
		      wwh_counters_t *counters)
{
	wwh_intent_writer_t *writer = g_new0(wwh_intent_writer_t, 1);

	writer->options = *options;
	writer->author = g_strdup(options->author);
	g_mutex_init(&writer->lock);
	g_cond_init(&writer->changed);
	g_queue_init(&writer->intents);
	g_queue_init(&writer->results);
	writer->batches = wwh_counters_get(counters, "intents.batches");
	writer->items = wwh_counters_get(counters, "intents.items");
	writer->refused = wwh_counters_get(counters, "intents.refused");
	writer->dropped = wwh_counters_get(counters, "intents.dropped");
	writer->results_waiting =
		wwh_counters_get(counters, "intents.results_waiting");
	writer->thread = g_thread_new("intents", writer_main, writer);
	return writer;
}

void wwh_intent_writer_finish(wwh_intent_writer_t *writer, int64_t timeout_ms)
{
	if (writer->thread == NULL)
		return;
	g_mutex_lock(&writer->lock);
	writer->stopping = true;
	writer->stop_deadline_us =
		g_get_monotonic_time() + timeout_ms * MILLISECOND_US;
	g_cond_signal(&writer->changed);
	g_mutex_unlock(&writer->lock);
	g_thread_join(writer->thread);
	writer->thread = NULL;
}

void wwh_intent_writer_delete(wwh_intent_writer_t *writer)
{
	if (writer == NULL)
		return;
	wwh_intent_writer_finish(writer, 0);
	g_queue_clear_full(&writer->intents, free_intent);
	g_queue_clear_full(&writer->results, free_result);
	g_cond_clear(&writer->changed);
	g_mutex_clear(&writer->lock);
	g_free(writer->author);
	g_free(writer);
}

bool wwh_intent_writer_add_intent(wwh_intent_writer_t *writer,
				  wwh_intent_item_t *item)
{
	bool accepted;

	g_mutex_lock(&writer->lock);
	accepted = !writer->stopping &&
		   (int32_t)(writer->intents.length + writer->results.length) <
			   writer->options.waiting_max;
	if (accepted) {
		g_queue_push_tail(&writer->intents, item);
		g_cond_signal(&writer->changed);
	}
	g_mutex_unlock(&writer->lock);
	if (!accepted) {
		wwh_counter_add(writer->refused, 1);
		free_intent(item);
	}
	return accepted;
}

/*
 * Results are never rejected: each belongs to an intent that was accepted, so
 * their number is bounded by the requests in progress and, in an outage of the
 * log, by the intents that were accepted before it.
 */
void wwh_intent_writer_add_result(wwh_intent_writer_t *writer,
				  wwh_result_item_t *item)
{
	g_mutex_lock(&writer->lock);
	g_queue_push_tail(&writer->results, item);
	wwh_counter_set(writer->results_waiting, writer->results.length);
	g_cond_signal(&writer->changed);
	g_mutex_unlock(&writer->lock);
}

static gpointer writer_main(gpointer data)
{
	wwh_intent_writer_t *writer = data;
	int64_t not_before_us = 0;

	while (wait_for_work(writer, not_before_us)) {
		GQueue intents = G_QUEUE_INIT;
		GQueue results = G_QUEUE_INIT;

		not_before_us =
			g_get_monotonic_time() +
			(int64_t)writer->options.batch_ms * MILLISECOND_US;
		g_mutex_lock(&writer->lock);
		move_items(&writer->intents, &intents, WWH_BATCH_ITEMS_MAX);
		move_items(&writer->results, &results, WWH_BATCH_ITEMS_MAX);
		g_mutex_unlock(&writer->lock);
		/* Intents are first: callers wait for them, not for results. */
		write_intents(writer, &intents);
		if (!write_results(writer, &results))
			not_before_us = g_get_monotonic_time() +
					RETRY_DELAY_MS * MILLISECOND_US;
		g_mutex_lock(&writer->lock);
		requeue_items(&writer->results, &results);
		wwh_counter_set(writer->results_waiting,
				writer->results.length);
		g_mutex_unlock(&writer->lock);
	}
	return NULL;
}

/*
 * If the append certainly had no effect, its requests fail at once. If its
 * outcome is unknown they wait, because the batch may still be read back.
 */
static void write_intents(wwh_intent_writer_t *writer, GQueue *batch)
{
	wwh_record_t record;
	wwh_intent_item_t *item;
	GArray *sequences = g_array_new(FALSE, FALSE, sizeof(int64_t));
	wwh_status_t status = WWH_STATUS_OK;

	wwh_record_init(&record, WWH_RECORD_INTENTS, writer->author);
	while ((item = g_queue_pop_head(batch)) != NULL) {
		g_array_append_val(sequences, item->sequence);
		g_ptr_array_add(record.body.intents.items, item);
	}
	if (sequences->len > 0) {
		wwh_counter_add(writer->batches, 1);
		wwh_counter_add(writer->items, sequences->len);
		status = writer->options.append(&record,
						writer->options.client_data);
	}
	if (status != WWH_STATUS_OK && status != WWH_STATUS_UNKNOWN) {
		for (guint i = 0; i < sequences->len; i++)
			writer->options.failed(
				g_array_index(sequences, int64_t, i),
				writer->options.client_data);
	}
	g_array_free(sequences, TRUE);
	wwh_record_clear(&record);
}

/*
 * Returns false if the results are not certainly in the log; batch then holds
 * them again. A result that is read back twice has no effect the second time,
 * but a missing result leaves its key in progress forever.
 */
static bool write_results(wwh_intent_writer_t *writer, GQueue *batch)
{
	wwh_record_t record;
	wwh_result_item_t *item;
	wwh_status_t status;

	if (g_queue_is_empty(batch))
		return true;
	wwh_record_init(&record, WWH_RECORD_RESULTS, writer->author);
	while ((item = g_queue_pop_head(batch)) != NULL)
		g_ptr_array_add(record.body.results.items, item);
	wwh_counter_add(writer->batches, 1);
	status = writer->options.append(&record, writer->options.client_data);
	/* A record that can't be encoded is dropped: a retry would fail too. */
	if (status == WWH_STATUS_BAD_INPUT)
		wwh_counter_add(writer->dropped,
				record.body.results.items->len);
	else if (status != WWH_STATUS_OK) {
		g_ptr_array_set_free_func(record.body.results.items, NULL);
		for (guint i = 0; i < record.body.results.items->len; i++)
			g_queue_push_tail(
				batch, g_ptr_array_index(
					       record.body.results.items, i));
		g_ptr_array_set_size(record.body.results.items, 0);
	}
	wwh_record_clear(&record);
	return g_queue_is_empty(batch);
}

static void move_items(GQueue *from, GQueue *to, guint limit)
{
	while (to->length < limit && from->length > 0)
		g_queue_push_tail(to, g_queue_pop_head(from));
}

static void requeue_items(GQueue *to, GQueue *from)
{
	gpointer item;

	while ((item = g_queue_pop_tail(from)) != NULL)
		g_queue_push_head(to, item);
}

/*
 * Returns false if the writer is stopping and its queues are empty or its
 * deadline has passed.
 */
static bool wait_for_work(wwh_intent_writer_t *writer, int64_t not_before_us)
{
	bool has_items = false;

	g_mutex_lock(&writer->lock);
	for (;;) {
		int64_t now_us = g_get_monotonic_time();

		has_items = writer->intents.length > 0 ||
			    writer->results.length > 0;
		if (writer->stopping &&
		    (!has_items || now_us >= writer->stop_deadline_us)) {
			has_items = false;
			break;
		}
		if (has_items && now_us >= not_before_us)
			break;
		if (has_items)
			g_cond_wait_until(&writer->changed, &writer->lock,
					  not_before_us);
		else
			g_cond_wait(&writer->changed, &writer->lock);
	}
	g_mutex_unlock(&writer->lock);
	return has_items;
}

static void free_intent(gpointer data)
{
	wwh_intent_item_t *item = data;

	g_free(item->service);
	g_free(item->key);
	g_free(item);
}

static void free_result(gpointer data)
{
	wwh_result_item_t *item = data;

	g_free(item->service);
	g_free(item->key);
	g_free(item->content_type);
	if (item->body != NULL)
		g_bytes_unref(item->body);
	g_free(item);
}
