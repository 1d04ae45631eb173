#include "waxwinghollow/store_follower.h"

#include <string.h>

#include "wire_store.h"

/* Beyond the store's wait: its own time and two network trips. */
#define ANSWER_LIMIT_MS 700

/* All keys may take some time to be put together. */
#define NEWEST_LIMIT_MS 1500

#define RETRY_FIRST_MS 60
#define RETRY_MAX_MS 400

/*
 * What one read asks for. A read that outlasts its limit is lost as a whole: with
 * a size that stayed the same, a reader that has fallen behind would get nothing
 * more. It grows again with reads that take a small part of the limit.
 */
#define READ_FIRST_KB 128
#define READ_LEAST_KB 32
#define READ_MOST_KB 1024
#define READ_QUICK_US (ANSWER_LIMIT_MS * 1000 / 4)
#define KB 1024

/*
 * Behind by more records than this, and than twice the number of keys, the
 * newest record of each key is read sooner than all changes.
 */
#define FAR_BEHIND_RECORDS 2000

struct wwh_store_follower {
	wwh_store_follower_options_t options;
	char *endpoint;
	char *topic;
	int32_t references; /* the owner's and that of a call in progress */
	bool deleted;
	bool in_flight;
	bool reading_all;
	bool caught_up;
	bool unreachable;
	char *after; /* page to go on with; NULL: the first */
	int64_t all_end; /* of the first page */
	int64_t all_sent_ms; /* of the first page */
	int64_t complete_ms; /* all before it has been reported; 0: nothing */
	GHashTable *keys; /* all known keys */
	GHashTable *seen; /* keys of this reading of all */
	bool seen_nameless; /* in this reading of all */
	int64_t next;
	int32_t read_kb; /* of the next read, at most */
	int64_t sent_ms;
	int64_t sent_us; /* the same on the monotonic clock */
	int64_t retry_ms;
	int32_t failures;
};

static void unref(wwh_store_follower_t *follower);
static void on_all(const wwh_http_answer_t *answer, void *data);
static void on_read(const wwh_http_answer_t *answer, void *data);
static void size_reads(wwh_store_follower_t *follower,
		       const wwh_http_answer_t *answer);
static bool is_far_behind(const wwh_store_follower_t *follower, int64_t end);
static int64_t answered_as_of(const wwh_store_follower_t *follower,
			      bool has_records);
static void take_key(const wire_record_t *record, void *data);
static void take_change(const wire_record_t *record, void *data);
static void report(wwh_store_follower_t *follower, const wire_record_t *record);
static void drop_unseen(wwh_store_follower_t *follower);
static void begin_all(wwh_store_follower_t *follower);
static void answered(wwh_store_follower_t *follower);
static void failed(wwh_store_follower_t *follower, wire_store_result_t result);

wwh_store_follower_t *
wwh_store_follower_new(const wwh_store_follower_options_t *options)
{
	wwh_store_follower_t *follower = g_new0(wwh_store_follower_t, 1);

	follower->options = *options;
	follower->endpoint = g_strdup(options->endpoint);
	follower->topic = g_strdup(options->topic);
	follower->references = 1;
	follower->read_kb = READ_FIRST_KB;
	follower->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	begin_all(follower);
	return follower;
}

void wwh_store_follower_delete(wwh_store_follower_t *follower)
{
	if (follower == NULL)
		return;
	follower->deleted = true;
	unref(follower);
}

void wwh_store_follower_run(wwh_store_follower_t *follower, int64_t now_ms)
{
	wwh_http_call_t *call;

	if (follower->in_flight || now_ms < follower->retry_ms)
		return;
	follower->in_flight = true;
	follower->references++;
	follower->sent_ms = now_ms;
	follower->sent_us = g_get_monotonic_time();
	if (follower->reading_all) {
		call = wire_store_newest(follower->endpoint, follower->topic,
					 follower->options.part,
					 follower->after, NEWEST_LIMIT_MS);
		call->has_priority = true;
		wwh_http_calls_send(follower->options.calls, call, on_all,
				    follower);
		return;
	}
	call = wire_store_read(follower->endpoint, follower->topic,
			       follower->options.part, follower->next,
			       follower->read_kb, follower->options.wait_ms,
			       follower->options.wait_ms + ANSWER_LIMIT_MS);
	call->has_priority = true;
	wwh_http_calls_send(follower->options.calls, call, on_read, follower);
}

bool wwh_store_follower_caught_up(const wwh_store_follower_t *follower)
{
	return follower->caught_up;
}

bool wwh_store_follower_in_full_read(const wwh_store_follower_t *follower)
{
	return follower->reading_all;
}

int64_t wwh_store_follower_complete_ms(const wwh_store_follower_t *follower)
{
	return follower->complete_ms;
}

bool wwh_store_follower_failing(const wwh_store_follower_t *follower)
{
	return follower->failures > 0;
}

static void unref(wwh_store_follower_t *follower)
{
	if (--follower->references > 0)
		return;
	g_hash_table_destroy(follower->keys);
	if (follower->seen != NULL)
		g_hash_table_destroy(follower->seen);
	g_free(follower->after);
	g_free(follower->endpoint);
	g_free(follower->topic);
	g_free(follower);
}

static void on_all(const wwh_http_answer_t *answer, void *data)
{
	wwh_store_follower_t *follower = data;
	bool first = follower->after == NULL;
	wire_store_result_t result;
	int64_t end = 0;
	char *last = NULL;

	follower->in_flight = false;
	if (follower->deleted) {
		unref(follower);
		return;
	}
	result = wire_store_newest_answer(answer, &end, &last, take_key,
					  follower);
	if (result != WIRE_STORE_OK) {
		failed(follower, result);
		unref(follower);
		return;
	}
	answered(follower);
	/* what changes while pages are read is read again from here */
	if (first) {
		follower->all_end = end;
		follower->all_sent_ms = follower->sent_ms;
	}
	if (!follower->caught_up || last == NULL)
		follower->complete_ms = follower->all_sent_ms;
	g_free(follower->after);
	follower->after = last;
	if (last == NULL) {
		drop_unseen(follower);
		follower->reading_all = false;
		follower->next = follower->all_end;
		if (!follower->caught_up) {
			follower->caught_up = true;
			if (!follower->deleted &&
			    follower->options.on_caught_up != NULL)
				follower->options.on_caught_up(
					follower->options.client_data);
		}
	}
	unref(follower);
}

static void on_read(const wwh_http_answer_t *answer, void *data)
{
	wwh_store_follower_t *follower = data;
	wire_store_result_t result;
	int64_t next = follower->next;
	int64_t end = 0;

	follower->in_flight = false;
	if (follower->deleted) {
		unref(follower);
		return;
	}
	size_reads(follower, answer);
	result = wire_store_read_answer(answer, follower->next, &next, &end,
					take_change, follower);
	if (result == WIRE_STORE_OK) {
		bool has_records = next > follower->next;

		answered(follower);
		follower->next = next;
		/* without a gap while there is more to read */
		if (next >= end) {
			follower->complete_ms =
				answered_as_of(follower, has_records);
			follower->retry_ms = follower->sent_ms +
					     follower->options.read_interval_ms;
		}
		if (!follower->deleted && is_far_behind(follower, end))
			begin_all(follower);
	} else if (result == WIRE_STORE_TRIMMED) {
		answered(follower);
		begin_all(follower);
	} else {
		failed(follower, result);
	}
	unref(follower);
}

static void size_reads(wwh_store_follower_t *follower,
		       const wwh_http_answer_t *answer)
{
	int64_t took_us = g_get_monotonic_time() - follower->sent_us;
	bool full = answer->body_size >= (size_t)follower->read_kb * KB / 2;

	if (answer->outcome == WWH_CALL_NO_ANSWER)
		follower->read_kb = MAX(follower->read_kb / 2, READ_LEAST_KB);
	else if (full && took_us < READ_QUICK_US)
		follower->read_kb = MIN(follower->read_kb * 2, READ_MOST_KB);
}

static bool is_far_behind(const wwh_store_follower_t *follower, int64_t end)
{
	int64_t behind = end - follower->next;
	int64_t keys = g_hash_table_size(follower->keys);

	return behind > MAX(2 * keys, FAR_BEHIND_RECORDS);
}

/* Without a record, the store has waited in full before it answered. */
static int64_t answered_as_of(const wwh_store_follower_t *follower,
			      bool has_records)
{
	int64_t took_ms = (g_get_monotonic_time() - follower->sent_us) /
			  G_TIME_SPAN_MILLISECOND;

	return follower->sent_ms +
	       (has_records ? 0 : MIN(follower->options.wait_ms, took_ms));
}

static void take_key(const wire_record_t *record, void *data)
{
	wwh_store_follower_t *follower = data;

	if (follower->deleted)
		return;
	if (record->key == NULL)
		follower->seen_nameless = true;
	else
		g_hash_table_add(follower->seen, g_strdup(record->key));
	report(follower, record);
}

static void take_change(const wire_record_t *record, void *data)
{
	report(data, record);
}

static void report(wwh_store_follower_t *follower, const wire_record_t *record)
{
	if (follower->deleted)
		return;
	if (record->key == NULL) {
		if (follower->options.on_unreadable_key != NULL)
			follower->options.on_unreadable_key(
				record->offset, record->why,
				follower->options.client_data);
		return;
	}
	if (record->value != NULL)
		g_hash_table_add(follower->keys, g_strdup(record->key));
	else
		g_hash_table_remove(follower->keys, record->key);
	follower->options.on_record(record->key, record->value, record->size,
				    follower->options.client_data);
}

/*
 * Keys that were dropped while the log was out of reach. One that stands there
 * under a key that can't be read would look dropped as well.
 */
static void drop_unseen(wwh_store_follower_t *follower)
{
	GPtrArray *gone;
	GHashTableIter iterator;
	gpointer key;

	if (follower->seen_nameless)
		return;
	gone = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_iter_init(&iterator, follower->keys);
	while (g_hash_table_iter_next(&iterator, &key, NULL)) {
		if (!g_hash_table_contains(follower->seen, key))
			g_ptr_array_add(gone, g_strdup(key));
	}
	for (guint i = 0; i < gone->len; i++) {
		wire_record_t record = { .key = g_ptr_array_index(gone, i) };

		report(follower, &record);
	}
	g_ptr_array_unref(gone);
}

static void begin_all(wwh_store_follower_t *follower)
{
	follower->reading_all = true;
	follower->seen_nameless = false;
	g_clear_pointer(&follower->after, g_free);
	if (follower->seen != NULL)
		g_hash_table_destroy(follower->seen);
	follower->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void answered(wwh_store_follower_t *follower)
{
	follower->failures = 0;
	if (!follower->unreachable)
		return;
	follower->unreachable = false;
	if (follower->options.on_reach != NULL)
		follower->options.on_reach(true, "answered",
					   follower->options.client_data);
}

static void failed(wwh_store_follower_t *follower, wire_store_result_t result)
{
	int64_t wait_ms = (int64_t)RETRY_FIRST_MS << MIN(follower->failures, 3);

	follower->failures++;
	follower->retry_ms = follower->sent_ms + MIN(wait_ms, RETRY_MAX_MS);
	if (follower->unreachable)
		return;
	follower->unreachable = true;
	if (follower->options.on_reach != NULL)
		follower->options.on_reach(false,
					   wire_store_result_names[result],
					   follower->options.client_data);
}
