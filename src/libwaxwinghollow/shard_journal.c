#include "waxwinghollow/shard_journal.h"

#include <string.h>

#include "wire_store.h"

/*
 * An append takes some ms. One that exceeds the first timeout was sent on a
 * silent connection, where waiting is useless, or to a store that is slow for
 * all processes. Each repetition costs a slow store as much as the first call,
 * so with a fixed timeout no append might ever be answered in time.
 */
#define APPEND_TIMEOUT_MS 700
#define APPEND_TIMEOUT_MAX_MS 2000

/*
 * Factor of the last append's duration in the timeout, as the next append may
 * take longer.
 */
#define TIMEOUT_PER_LAST_APPEND 2

/*
 * Delays between retries when the store refuses or doesn't answer. Callers are
 * rejected until an append succeeds, and the jobs of those that make their last
 * try are lost: 3.5% of all with at most 0.4 s between two tries, 2.8% with 0.1 s
 * (means of 27 simulations each of nine days with an outage of the store).
 */
#define RETRY_FIRST_MS 40
#define RETRY_MAX_MS 100

/* Delay between retries when the store is full or rejects the call as invalid. */
#define RETRY_REJECTED_MS 1000

typedef struct {
	char *key;
	GBytes *value; /* NULL: the key is deleted */
	int64_t number;
	int64_t queued_ms;
	bool urgent;
} entry_t;

struct wwh_shard_journal {
	wwh_shard_journal_options_t options;
	char *endpoint;
	char *topic;
	char *producer;
	int32_t references;
	bool deleted;
	bool lost;
	bool urgent;
	bool in_flight;
	bool refused; /* see wwh_shard_journal_refused */
	GQueue *waiting; /* entry_t, not in the call in progress */
	GByteArray *batch; /* of the call in progress; NULL: no call */
	GQueue *batch_entries; /* entry_t, of batch */
	entry_t *doubtful; /* rejected alone; batch shows if others are, too */
	int64_t batch_queued_ms;
	int64_t sequence;
	int64_t next_number;
	int64_t sent_ms;
	/* Of the batch's first call that may have been carried out; 0: none. */
	int64_t first_sent_ms;
	int64_t sent_us; /* the same on the monotonic clock */
	int64_t retry_ms;
	int32_t failures;
	int64_t last_failure_ms;
	/* While a record that the store rejects is searched for; 0: no limit. */
	guint max_batch_entries;
	int32_t unanswered; /* consecutive calls */
	int64_t last_append_duration_ms; /* of the last success */
	int64_t confirmed_ms;
};

static void unref(wwh_shard_journal_t *journal);
static void entry_delete(gpointer data);
static void build_batch(wwh_shard_journal_t *journal);
static void end_batch(wwh_shard_journal_t *journal);
static void handle_rejected_batch(wwh_shard_journal_t *journal);
static void drop_doubtful(wwh_shard_journal_t *journal);
static void return_batch(wwh_shard_journal_t *journal);
static int64_t append_timeout_ms(const wwh_shard_journal_t *journal);
static bool is_due(const wwh_shard_journal_t *journal, int64_t now_ms);
static void send(wwh_shard_journal_t *journal, int64_t now_ms);
static void on_appended(const wwh_http_answer_t *answer, void *data);
static void schedule_retry(wwh_shard_journal_t *journal, int64_t wait_ms);

wwh_shard_journal_t *
wwh_shard_journal_new(const wwh_shard_journal_options_t *options)
{
	wwh_shard_journal_t *journal = g_new0(wwh_shard_journal_t, 1);

	journal->options = *options;
	journal->endpoint = g_strdup(options->endpoint);
	journal->topic = g_strdup(options->topic);
	journal->producer = g_strdup(options->producer);
	journal->references = 1;
	journal->waiting = g_queue_new();
	journal->batch_entries = g_queue_new();
	journal->sequence = options->next_sequence;
	journal->next_number = 1;
	return journal;
}

void wwh_shard_journal_delete(wwh_shard_journal_t *journal)
{
	if (journal == NULL)
		return;
	journal->deleted = true;
	unref(journal);
}

int64_t wwh_shard_journal_append(wwh_shard_journal_t *journal, const char *key,
				 GBytes *value, bool urgent, int64_t now_ms)
{
	entry_t *entry = g_new0(entry_t, 1);

	entry->key = g_strdup(key);
	entry->value = value == NULL ? NULL : g_bytes_ref(value);
	entry->number = journal->next_number++;
	entry->queued_ms = now_ms;
	entry->urgent = urgent;
	g_queue_push_tail(journal->waiting, entry);
	journal->urgent = journal->urgent || urgent;
	return entry->number;
}

bool wwh_shard_journal_discard(wwh_shard_journal_t *journal, int64_t number)
{
	for (GList *at = journal->waiting->tail; at != NULL; at = at->prev) {
		entry_t *entry = at->data;

		if (entry->number != number)
			continue;
		entry_delete(entry);
		g_queue_delete_link(journal->waiting, at);
		return true;
	}
	return false;
}

void wwh_shard_journal_run(wwh_shard_journal_t *journal, int64_t now_ms)
{
	if (journal->lost || journal->in_flight || now_ms < journal->retry_ms)
		return;
	if (journal->batch == NULL) {
		if (!is_due(journal, now_ms))
			return;
		build_batch(journal);
	}
	send(journal, now_ms);
}

int64_t wwh_shard_journal_confirmed_ms(const wwh_shard_journal_t *journal)
{
	return journal->lost ? 0 : journal->confirmed_ms;
}

int64_t wwh_shard_journal_lag_ms(const wwh_shard_journal_t *journal,
				 int64_t now_ms)
{
	const entry_t *first;

	if (journal->batch != NULL)
		return now_ms - journal->batch_queued_ms;
	first = g_queue_peek_head(journal->waiting);
	return first == NULL ? 0 : now_ms - first->queued_ms;
}

int64_t wwh_shard_journal_last_failure_ms(const wwh_shard_journal_t *journal)
{
	return journal->last_failure_ms;
}

bool wwh_shard_journal_failing(const wwh_shard_journal_t *journal)
{
	return journal->failures > 0;
}

int64_t
wwh_shard_journal_last_append_duration_ms(const wwh_shard_journal_t *journal)
{
	return journal->last_append_duration_ms;
}

bool wwh_shard_journal_refused(const wwh_shard_journal_t *journal)
{
	return journal->refused;
}

static void unref(wwh_shard_journal_t *journal)
{
	if (--journal->references > 0)
		return;
	g_queue_free_full(journal->waiting, entry_delete);
	g_queue_free_full(journal->batch_entries, entry_delete);
	g_clear_pointer(&journal->doubtful, entry_delete);
	if (journal->batch != NULL)
		g_byte_array_unref(journal->batch);
	g_free(journal->endpoint);
	g_free(journal->topic);
	g_free(journal->producer);
	g_free(journal);
}

static void entry_delete(gpointer data)
{
	entry_t *entry = data;

	if (entry->value != NULL)
		g_bytes_unref(entry->value);
	g_free(entry->key);
	g_free(entry);
}

static bool is_due(const wwh_shard_journal_t *journal, int64_t now_ms)
{
	const entry_t *first = g_queue_peek_head(journal->waiting);

	return first != NULL &&
	       (journal->urgent ||
		now_ms - first->queued_ms >= journal->options.batch_delay_ms);
}

static void build_batch(wwh_shard_journal_t *journal)
{
	const entry_t *first = g_queue_peek_head(journal->waiting);

	journal->batch = g_byte_array_new();
	journal->batch_queued_ms = first->queued_ms;
	journal->first_sent_ms = 0;
	journal->urgent = false;
	while (!g_queue_is_empty(journal->waiting)) {
		entry_t *entry = g_queue_peek_head(journal->waiting);
		bool is_full = journal->max_batch_entries != 0 &&
			       g_queue_get_length(journal->batch_entries) >=
				       journal->max_batch_entries;
		gsize size = 0;
		const uint8_t *value = NULL;

		if (entry->value != NULL)
			value = g_bytes_get_data(entry->value, &size);
		if (is_full ||
		    (journal->batch->len > 0 &&
		     (int64_t)(journal->batch->len + size) +
				     (int64_t)strlen(entry->key) + 8 >
			     journal->options.max_call_bytes)) {
			journal->urgent = true;
			return;
		}
		wire_store_pack_record(journal->batch, entry->key, value, size);
		g_queue_push_tail(journal->batch_entries,
				  g_queue_pop_head(journal->waiting));
	}
}

static void end_batch(wwh_shard_journal_t *journal)
{
	entry_t *entry;

	g_byte_array_unref(journal->batch);
	journal->batch = NULL;
	journal->failures = 0;
	while ((entry = g_queue_pop_head(journal->batch_entries)) != NULL)
		entry_delete(entry);
}

/*
 * A repetition would be rejected as well, with all records behind it waiting. The
 * store appends a batch as a whole or not at all, so that one record fails it.
 */
static void handle_rejected_batch(wwh_shard_journal_t *journal)
{
	guint count = g_queue_get_length(journal->batch_entries);
	entry_t *entry;

	if (count > 1) {
		journal->max_batch_entries = count / 2;
		return_batch(journal);
		return;
	}
	journal->max_batch_entries = 0;
	if (journal->doubtful != NULL) {
		/* not the record: the store rejects everything for now */
		entry = g_steal_pointer(&journal->doubtful);
		g_queue_push_head(journal->waiting, entry);
		end_batch(journal);
		schedule_retry(journal, RETRY_REJECTED_MS);
		return;
	}
	journal->doubtful = g_queue_pop_head(journal->batch_entries);
	g_byte_array_unref(journal->batch);
	journal->batch = g_byte_array_new();
	wire_store_pack_record(journal->batch, WWH_JOURNAL_CONFIRM_KEY, NULL,
			       0);
	journal->first_sent_ms = 0;
}

/* The store takes another record, so it was this one that it rejected. */
static void drop_doubtful(wwh_shard_journal_t *journal)
{
	entry_t *entry = g_steal_pointer(&journal->doubtful);

	journal->options.on_rejected(entry->number, entry->key,
				     journal->options.client_data);
	entry_delete(entry);
}

static void return_batch(wwh_shard_journal_t *journal)
{
	entry_t *entry;

	while ((entry = g_queue_pop_tail(journal->batch_entries)) != NULL)
		g_queue_push_head(journal->waiting, entry);
	end_batch(journal);
	journal->urgent = true;
}

static void send(wwh_shard_journal_t *journal, int64_t now_ms)
{
	wire_writer_t writer = {
		.producer = journal->producer,
		.epoch = journal->options.epoch,
		.sequence = journal->sequence,
	};
	wwh_http_call_t *call = wire_store_append(
		journal->endpoint, journal->topic, journal->options.part,
		&writer, g_byte_array_ref(journal->batch),
		append_timeout_ms(journal));

	call->has_priority = true;
	journal->in_flight = true;
	journal->sent_us = g_get_monotonic_time();
	journal->sent_ms = now_ms;
	if (journal->first_sent_ms == 0)
		journal->first_sent_ms = now_ms;
	journal->references++;
	wwh_http_calls_send(journal->options.calls, call, on_appended, journal);
}

static int64_t append_timeout_ms(const wwh_shard_journal_t *journal)
{
	int64_t limit =
		MAX((int64_t)APPEND_TIMEOUT_MS << MIN(journal->unanswered, 2),
		    TIMEOUT_PER_LAST_APPEND * journal->last_append_duration_ms);

	return MIN(limit, APPEND_TIMEOUT_MAX_MS);
}

static void on_appended(const wwh_http_answer_t *answer, void *data)
{
	wwh_shard_journal_t *journal = data;
	wire_store_result_t result = wire_store_append_answer(answer);
	const entry_t *last = g_queue_peek_tail(journal->batch_entries);
	int64_t last_number = last == NULL ? 0 : last->number;

	journal->in_flight = false;
	journal->refused = result == WIRE_STORE_NOT_DONE;
	journal->unanswered = answer->outcome == WWH_CALL_NO_ANSWER
				      ? journal->unanswered + 1
				      : 0;
	if (journal->deleted) {
		unref(journal);
		return;
	}
	switch (result) {
	case WIRE_STORE_OK:
		end_batch(journal);
		if (g_queue_is_empty(journal->waiting))
			journal->max_batch_entries = 0;
		journal->last_append_duration_ms =
			(g_get_monotonic_time() - journal->sent_us) /
			G_TIME_SPAN_MILLISECOND;
		journal->sequence++;
		journal->confirmed_ms = journal->first_sent_ms;
		if (journal->doubtful != NULL)
			drop_doubtful(journal);
		else
			journal->options.on_durable(
				last_number, journal->options.client_data);
		break;
	case WIRE_STORE_REJECTED:
		if (journal->failures == 0 && journal->max_batch_entries == 0)
			g_warning("store rejected a batch of %u records: "
				  "status %d",
				  g_queue_get_length(journal->batch_entries),
				  answer->status);
		handle_rejected_batch(journal);
		break;
	case WIRE_STORE_FENCED:
	case WIRE_STORE_SEQUENCE:
		journal->lost = true;
		journal->options.on_lost(wire_store_result_names[result],
					 journal->options.client_data);
		break;
	case WIRE_STORE_FULL:
	case WIRE_STORE_BAD:
		g_warning("store rejected a batch of records: %s, status %d",
			  wire_store_result_names[result], answer->status);
		schedule_retry(journal, RETRY_REJECTED_MS);
		break;
	default:
		if (journal->refused &&
		    journal->first_sent_ms == journal->sent_ms)
			journal->first_sent_ms = 0;
		schedule_retry(journal, (int64_t)RETRY_FIRST_MS
						<< MIN(journal->failures, 4));
		break;
	}
	unref(journal);
}

static void schedule_retry(wwh_shard_journal_t *journal, int64_t wait_ms)
{
	journal->failures++;
	journal->last_failure_ms = journal->sent_ms;
	journal->retry_ms = journal->sent_ms + MIN(wait_ms, RETRY_REJECTED_MS);
	if (wait_ms < RETRY_REJECTED_MS)
		journal->retry_ms =
			journal->sent_ms + MIN(wait_ms, RETRY_MAX_MS);
}
