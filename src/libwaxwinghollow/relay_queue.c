#include "waxwinghollow/relay_queue.h"

/* Memory of an order besides its body. */
#define ORDER_OVERHEAD_BYTES 1024

typedef struct {
	wwh_relay_queue_order_t order;
	int64_t id;
	int64_t batch;
	int64_t bytes;
	int64_t added_ms;
	int64_t expires_ms; /* by the holder's clock, as the next three */
	int64_t send_until_ms; /* by whomever */
	int64_t ends_ms;
	int64_t deadline_ms;
} entry_t;

struct wwh_relay_queue {
	wwh_relay_queue_options_t options;
	GQueue waiting; /* of entry_t */
	GQueue returned; /* of entry_t */
	GHashTable *in_flight; /* id to entry_t */
	int64_t bytes;
	int64_t last_id;
	int64_t last_batch;
	int64_t incarnation; /* 0: not known */
	int64_t clock_ms; /* reading of the relay's clock */
	int64_t clock_read_ms; /* when it was received */
	int64_t next_deadline_ms; /* no order in flight ends before */
};

static void end_entry(wwh_relay_queue_t *queue, entry_t *entry,
		      const wwh_http_answer_t *answer);
static void end_unsent(wwh_relay_queue_t *queue, entry_t *entry);
static void end_unanswered(wwh_relay_queue_t *queue, entry_t *entry);
static void return_expired(wwh_relay_queue_t *queue, int64_t now_ms);
static uint32_t count_batch(const wwh_relay_queue_t *queue);
static GPtrArray *find_in_flight(const wwh_relay_queue_t *queue, int64_t batch,
				 int64_t deadline_ms);

wwh_relay_queue_options_t wwh_relay_queue_options_defaults(void)
{
	/*
	 * A relay has 160 MB and 4,100 descriptors; an order needs a
	 * connection while it is in flight. A poll that a frozen relay sends
	 * late would extend the lease of a holder that has been replaced; an
	 * order that it has for half a second is better sent anew. A result takes the gathering time
	 * and two turns of a loop. Clocks of hosts differ by less than 1 ms in
	 * the age of a reading.
	 */
	wwh_relay_queue_options_t options = {
		.max_orders = 512,
		.max_bytes = 2097152,
		.max_batch_bytes = 262144,
		.max_send_ms = 500,
		.answer_margin_ms = 250,
		.clock_max_age_ms = 10000,
	};

	return options;
}

wwh_relay_queue_t *wwh_relay_queue_new(const wwh_relay_queue_options_t *options)
{
	wwh_relay_queue_t *queue = g_new0(wwh_relay_queue_t, 1);

	queue->options = *options;
	g_queue_init(&queue->waiting);
	g_queue_init(&queue->returned);
	queue->in_flight = g_hash_table_new(g_int64_hash, g_int64_equal);
	queue->next_deadline_ms = INT64_MAX;
	return queue;
}

void wwh_relay_queue_delete(wwh_relay_queue_t *queue)
{
	if (queue == NULL)
		return;
	wwh_relay_queue_lose(queue);
	wwh_relay_queue_return_waiting(queue);
	while (!g_queue_is_empty(&queue->returned))
		end_unsent(queue, g_queue_pop_head(&queue->returned));
	g_hash_table_destroy(queue->in_flight);
	g_free(queue);
}

void wwh_relay_queue_set_clock(wwh_relay_queue_t *queue, int64_t incarnation,
			       int64_t clock_ms, int64_t now_ms)
{
	bool restarted =
		queue->incarnation != 0 && queue->incarnation != incarnation;

	queue->incarnation = incarnation;
	queue->clock_ms = clock_ms;
	queue->clock_read_ms = now_ms;
	if (restarted)
		wwh_relay_queue_lose(queue);
}

bool wwh_relay_queue_add(wwh_relay_queue_t *queue, wwh_http_call_t *call,
			 wwh_http_done_t done, void *client_data,
			 int64_t now_ms)
{
	int64_t bytes = ORDER_OVERHEAD_BYTES +
			(call->body == NULL ? 0 : (int64_t)call->body->len);
	int64_t send_ms = call->timeout_ms;
	entry_t *entry;

	if (call->send_timeout_ms > 0)
		send_ms = MIN(send_ms, call->send_timeout_ms);
	if (wwh_relay_queue_waiting(queue) + wwh_relay_queue_in_flight(queue) >=
		    queue->options.max_orders ||
	    queue->bytes + bytes > queue->options.max_bytes)
		return false;
	entry = g_new0(entry_t, 1);
	entry->order.call = call;
	entry->order.done = done;
	entry->order.client_data = client_data;
	entry->id = ++queue->last_id;
	entry->bytes = bytes;
	entry->added_ms = now_ms;
	entry->send_until_ms = now_ms + send_ms;
	entry->expires_ms = now_ms + MIN(send_ms, queue->options.max_send_ms);
	entry->ends_ms = now_ms + call->timeout_ms;
	entry->deadline_ms = entry->ends_ms + queue->options.answer_margin_ms;
	queue->bytes += bytes;
	g_queue_push_tail(&queue->waiting, entry);
	return true;
}

int32_t wwh_relay_queue_waiting(const wwh_relay_queue_t *queue)
{
	return (int32_t)(queue->waiting.length + queue->returned.length);
}

int32_t wwh_relay_queue_in_flight(const wwh_relay_queue_t *queue)
{
	return (int32_t)g_hash_table_size(queue->in_flight);
}

int64_t wwh_relay_queue_waiting_since_ms(const wwh_relay_queue_t *queue)
{
	const entry_t *oldest = g_queue_peek_head((GQueue *)&queue->waiting);

	return oldest == NULL ? 0 : oldest->added_ms;
}

GByteArray *wwh_relay_queue_take_batch(wwh_relay_queue_t *queue, int64_t epoch,
				       int64_t now_ms, int64_t *number)
{
	wwh_relay_batch_header_t header = { .epoch = epoch,
					    .incarnation = queue->incarnation };
	int64_t ahead_ms = queue->clock_ms - queue->clock_read_ms;
	GByteArray *out;
	uint32_t count;

	if (queue->incarnation == 0 ||
	    now_ms - queue->clock_read_ms > queue->options.clock_max_age_ms)
		return NULL;
	return_expired(queue, now_ms);
	count = count_batch(queue);
	if (count == 0)
		return NULL;
	header.number = ++queue->last_batch;
	*number = header.number;
	out = g_byte_array_new();
	wwh_relay_batch_begin(out, &header, count);
	for (uint32_t i = 0; i < count; i++) {
		entry_t *entry = g_queue_pop_head(&queue->waiting);

		wwh_relay_batch_add(out, entry->order.call, entry->id,
				    MAX(entry->expires_ms + ahead_ms, 0),
				    MAX(entry->ends_ms + ahead_ms, 0));
		entry->batch = header.number;
		queue->next_deadline_ms =
			MIN(queue->next_deadline_ms, entry->deadline_ms);
		g_hash_table_insert(queue->in_flight, &entry->id, entry);
	}
	return out;
}

void wwh_relay_queue_batch_refused(wwh_relay_queue_t *queue, int64_t number)
{
	GPtrArray *entries = find_in_flight(queue, number, INT64_MAX);

	for (guint i = 0; i < entries->len; i++) {
		entry_t *entry = entries->pdata[i];

		g_hash_table_remove(queue->in_flight, &entry->id);
		g_queue_push_tail(&queue->returned, entry);
	}
	g_ptr_array_unref(entries);
}

bool wwh_relay_queue_handle_result(wwh_relay_queue_t *queue,
				   const wwh_relay_result_t *result)
{
	entry_t *entry = g_hash_table_lookup(queue->in_flight, &result->id);
	const wwh_http_answer_t answer = {
		.outcome = result->outcome,
		.status = result->status,
		.body = result->body,
		.body_size = result->body_size,
		.retry_after_s = result->retry_after_s,
	};

	if (entry == NULL)
		return false;
	g_hash_table_remove(queue->in_flight, &entry->id);
	if (result->outcome == WWH_CALL_NOT_SENT &&
	    result->status == WWH_RELAY_STATUS_NOT_TRIED)
		g_queue_push_tail(&queue->returned, entry);
	else
		end_entry(queue, entry, &answer);
	return true;
}

void wwh_relay_queue_lose(wwh_relay_queue_t *queue)
{
	GPtrArray *entries = find_in_flight(queue, 0, INT64_MAX);

	g_hash_table_remove_all(queue->in_flight);
	queue->next_deadline_ms = INT64_MAX;
	for (guint i = 0; i < entries->len; i++)
		end_unanswered(queue, entries->pdata[i]);
	g_ptr_array_unref(entries);
}

void wwh_relay_queue_return_waiting(wwh_relay_queue_t *queue)
{
	while (!g_queue_is_empty(&queue->waiting))
		g_queue_push_tail(&queue->returned,
				  g_queue_pop_head(&queue->waiting));
}

bool wwh_relay_queue_take_returned(wwh_relay_queue_t *queue, int64_t now_ms,
				   wwh_relay_queue_order_t *order)
{
	entry_t *entry;

	while ((entry = g_queue_pop_head(&queue->returned)) != NULL) {
		if (now_ms < entry->send_until_ms && now_ms < entry->ends_ms)
			break;
		end_unsent(queue, entry);
	}
	if (entry == NULL)
		return false;
	*order = entry->order;
	order->call->timeout_ms = entry->ends_ms - now_ms;
	order->call->send_timeout_ms = entry->send_until_ms - now_ms;
	queue->bytes -= entry->bytes;
	g_free(entry);
	return true;
}

int32_t wwh_relay_queue_run(wwh_relay_queue_t *queue, int64_t now_ms)
{
	GHashTableIter iterator;
	gpointer value;
	GPtrArray *entries;
	int32_t ended;

	return_expired(queue, now_ms);
	if (now_ms < queue->next_deadline_ms)
		return 0;
	entries = find_in_flight(queue, 0, now_ms);
	ended = (int32_t)entries->len;
	for (guint i = 0; i < entries->len; i++)
		g_hash_table_remove(queue->in_flight,
				    &((entry_t *)entries->pdata[i])->id);
	queue->next_deadline_ms = INT64_MAX;
	g_hash_table_iter_init(&iterator, queue->in_flight);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		queue->next_deadline_ms = MIN(queue->next_deadline_ms,
					      ((entry_t *)value)->deadline_ms);
	for (guint i = 0; i < entries->len; i++)
		end_unanswered(queue, entries->pdata[i]);
	g_ptr_array_unref(entries);
	return ended;
}

static void end_entry(wwh_relay_queue_t *queue, entry_t *entry,
		      const wwh_http_answer_t *answer)
{
	wwh_relay_queue_order_t order = entry->order;

	queue->bytes -= entry->bytes;
	g_free(entry);
	wwh_http_call_delete(order.call);
	order.done(answer, order.client_data);
}

static void end_unsent(wwh_relay_queue_t *queue, entry_t *entry)
{
	const wwh_http_answer_t answer = { .outcome = WWH_CALL_NOT_SENT,
					   .retry_after_s = -1 };

	end_entry(queue, entry, &answer);
}

static void end_unanswered(wwh_relay_queue_t *queue, entry_t *entry)
{
	const wwh_http_answer_t answer = { .outcome = WWH_CALL_NO_ANSWER,
					   .retry_after_s = -1 };

	end_entry(queue, entry, &answer);
}

/* Returns waiting orders that the relay may no longer send. */
static void return_expired(wwh_relay_queue_t *queue, int64_t now_ms)
{
	GList *next;

	for (GList *at = queue->waiting.head; at != NULL; at = next) {
		next = at->next;
		if (((entry_t *)at->data)->expires_ms > now_ms)
			continue;
		g_queue_push_tail(&queue->returned, at->data);
		g_queue_delete_link(&queue->waiting, at);
	}
}

static uint32_t count_batch(const wwh_relay_queue_t *queue)
{
	uint32_t count = 0;
	int64_t bytes = 0;

	for (GList *at = queue->waiting.head;
	     at != NULL && count < WWH_RELAY_ORDERS_MAX; at = at->next) {
		bytes += ((entry_t *)at->data)->bytes;
		if (count > 0 && bytes > queue->options.max_batch_bytes)
			break;
		count++;
	}
	return count;
}

/* batch: 0 for any. */
static GPtrArray *find_in_flight(const wwh_relay_queue_t *queue, int64_t batch,
				 int64_t deadline_ms)
{
	GPtrArray *entries = g_ptr_array_new();
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, queue->in_flight);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		entry_t *entry = value;

		if ((batch == 0 || entry->batch == batch) &&
		    entry->deadline_ms <= deadline_ms)
			g_ptr_array_add(entries, entry);
	}
	return entries;
}
