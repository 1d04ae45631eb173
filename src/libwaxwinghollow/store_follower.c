#include "waxwinghollow/store_follower.h"

#include <string.h>

#include "wire_store.h"

/* Beyond wait_ms: the store's processing time and a network round trip. */
#define ANSWER_TIMEOUT_MS 700

/* The store may need some time to collect all keys. */
#define FULL_READ_TIMEOUT_MS 1500

/*
 * A page of a full read can't be made smaller, and a read that exceeds its timeout is
 * lost as a whole, so the timeout includes the time that a page takes on the link.
 */
#define PAGE_BITS (12 * 1024 * 1024) /* 1 MiB of records in base64, with keys */

#define RETRY_FIRST_MS 60
#define RETRY_MAX_MS 400

/*
 * Size of one read. A read that exceeds its timeout is lost as a whole: with a
 * fixed size, a follower that has fallen behind would make no progress any more.
 * The size grows again when a read of at least half the size takes less than
 * READ_FAST_US.
 */
#define READ_FIRST_KB 128
#define READ_MIN_KB 32
#define READ_MAX_KB 1024
#define READ_FAST_US (ANSWER_TIMEOUT_MS * 1000 / 4)
#define KB 1024

/*
 * For a follower behind by more records than this, and than twice the number of
 * keys, a full read is faster than reading all changes.
 */
#define FAR_BEHIND_RECORDS 2000

/* A read that was sent more recently isn't repeated by a refresh. */
#define REFRESH_AFTER_MS 1000

/*
 * Reads in flight, those that a refresh has replaced included. Each occupies one of the
 * few connections to the store.
 */
#define MAX_READS_IN_FLIGHT 2

struct wwh_store_follower {
	wwh_store_follower_options_t options;
	char *endpoint;
	char *topic;
	int32_t references; /* of the owner and of a call in progress */
	bool deleted;
	bool in_flight;
	bool in_full_read;
	bool caught_up;
	bool unreachable;
	char *next_page_key; /* NULL: the first page */
	int64_t full_read_end; /* end of the log at the first page */
	int64_t full_read_sent_ms; /* when the first page was requested */
	int64_t complete_ms; /* all records before it were reported; 0: none */
	GHashTable *keys;
	GHashTable *listed_keys; /* in this full read */
	bool has_unreadable_key; /* in this full read */
	int64_t next_offset;
	int32_t read_kb; /* maximum size of the next read */
	int64_t reads; /* of changes, sent so far */
	int32_t reads_in_flight;
	int64_t sent_ms;
	int64_t sent_us; /* the same on the monotonic clock */
	int64_t retry_ms;
	int32_t failures;
};

/* One read of changes. */
typedef struct {
	wwh_store_follower_t *follower;
	int64_t number; /* another one was sent since if it isn't the last */
} read_call_t;

static int64_t full_read_timeout_ms(const wwh_store_follower_t *follower);
static void send_read(wwh_store_follower_t *follower);
static void unref(wwh_store_follower_t *follower);
static void on_page(const wwh_http_answer_t *answer, void *data);
static void on_changes_read(const wwh_http_answer_t *answer, void *data);
static void adjust_read_size(wwh_store_follower_t *follower,
			     const wwh_http_answer_t *answer);
static bool is_far_behind(const wwh_store_follower_t *follower, int64_t end);
static int64_t complete_as_of_ms(const wwh_store_follower_t *follower,
				 bool has_records);
static void on_listed_record(const wire_record_t *record, void *data);
static void on_changed_record(const wire_record_t *record, void *data);
static void report_record(wwh_store_follower_t *follower,
			  const wire_record_t *record);
static void delete_unlisted_keys(wwh_store_follower_t *follower);
static void begin_full_read(wwh_store_follower_t *follower);
static void handle_answer(wwh_store_follower_t *follower);
static void handle_failure(wwh_store_follower_t *follower,
			   wire_store_result_t result);

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
	begin_full_read(follower);
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
	if (follower->in_full_read) {
		call = wire_store_newest(follower->endpoint, follower->topic,
					 follower->options.part,
					 follower->next_page_key,
					 full_read_timeout_ms(follower));
		call->has_priority = true;
		wwh_http_calls_send(follower->options.calls, call, on_page,
				    follower);
		return;
	}
	send_read(follower);
}

static int64_t full_read_timeout_ms(const wwh_store_follower_t *follower)
{
	int64_t link_kbps = follower->options.link_kbps;

	return FULL_READ_TIMEOUT_MS +
	       (link_kbps > 0 ? PAGE_BITS / link_kbps : 0);
}

static void send_read(wwh_store_follower_t *follower)
{
	read_call_t *read = g_new0(read_call_t, 1);
	wwh_http_call_t *call =
		wire_store_read(follower->endpoint, follower->topic,
				follower->options.part, follower->next_offset,
				follower->read_kb, follower->options.wait_ms,
				follower->options.wait_ms + ANSWER_TIMEOUT_MS);

	read->follower = follower;
	read->number = ++follower->reads;
	follower->reads_in_flight++;
	call->has_priority = true;
	wwh_http_calls_send(follower->options.calls, call, on_changes_read,
			    read);
}

void wwh_store_follower_refresh(wwh_store_follower_t *follower, int64_t now_ms)
{
	if (!follower->in_flight || follower->in_full_read ||
	    follower->reads_in_flight >= MAX_READS_IN_FLIGHT ||
	    now_ms - follower->sent_ms < REFRESH_AFTER_MS)
		return;
	follower->references++;
	follower->sent_ms = now_ms;
	follower->sent_us = g_get_monotonic_time();
	send_read(follower);
}

bool wwh_store_follower_caught_up(const wwh_store_follower_t *follower)
{
	return follower->caught_up;
}

bool wwh_store_follower_in_full_read(const wwh_store_follower_t *follower)
{
	return follower->in_full_read;
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
	if (follower->listed_keys != NULL)
		g_hash_table_destroy(follower->listed_keys);
	g_free(follower->next_page_key);
	g_free(follower->endpoint);
	g_free(follower->topic);
	g_free(follower);
}

static void on_page(const wwh_http_answer_t *answer, void *data)
{
	wwh_store_follower_t *follower = data;
	bool first = follower->next_page_key == NULL;
	wire_store_result_t result;
	int64_t end = 0;
	char *last = NULL;

	follower->in_flight = false;
	if (follower->deleted) {
		unref(follower);
		return;
	}
	result = wire_store_newest_answer(answer, &end, &last, on_listed_record,
					  follower);
	if (result != WIRE_STORE_OK) {
		handle_failure(follower, result);
		unref(follower);
		return;
	}
	handle_answer(follower);
	/* changes made during the full read are read from this offset */
	if (first) {
		follower->full_read_end = end;
		follower->full_read_sent_ms = follower->sent_ms;
	}
	if (!follower->caught_up || last == NULL)
		follower->complete_ms = follower->full_read_sent_ms;
	g_free(follower->next_page_key);
	follower->next_page_key = last;
	if (last == NULL) {
		delete_unlisted_keys(follower);
		follower->in_full_read = false;
		follower->next_offset = follower->full_read_end;
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

static void on_changes_read(const wwh_http_answer_t *answer, void *data)
{
	read_call_t *read = data;
	wwh_store_follower_t *follower = read->follower;
	bool is_last = read->number == follower->reads;
	wire_store_result_t result;
	int64_t next_offset = follower->next_offset;
	int64_t end = 0;

	g_free(read);
	follower->reads_in_flight--;
	if (is_last)
		follower->in_flight = false;
	if (follower->deleted || !is_last) {
		unref(follower);
		return;
	}
	adjust_read_size(follower, answer);
	result = wire_store_read_answer(answer, follower->next_offset,
					&next_offset, &end, on_changed_record,
					follower);
	if (result == WIRE_STORE_OK) {
		bool has_records = next_offset > follower->next_offset;

		handle_answer(follower);
		follower->next_offset = next_offset;
		/* no delay while there is more to read */
		if (next_offset >= end) {
			follower->complete_ms =
				complete_as_of_ms(follower, has_records);
			follower->retry_ms = follower->sent_ms +
					     follower->options.read_interval_ms;
		}
		if (!follower->deleted && is_far_behind(follower, end))
			begin_full_read(follower);
	} else if (result == WIRE_STORE_TRIMMED) {
		handle_answer(follower);
		begin_full_read(follower);
	} else {
		handle_failure(follower, result);
	}
	unref(follower);
}

static void adjust_read_size(wwh_store_follower_t *follower,
			     const wwh_http_answer_t *answer)
{
	int64_t took_us = g_get_monotonic_time() - follower->sent_us;
	bool full = answer->body_size >= (size_t)follower->read_kb * KB / 2;

	if (answer->outcome == WWH_CALL_NO_ANSWER)
		follower->read_kb = MAX(follower->read_kb / 2, READ_MIN_KB);
	else if (full && took_us < READ_FAST_US)
		follower->read_kb = MIN(follower->read_kb * 2, READ_MAX_KB);
}

static bool is_far_behind(const wwh_store_follower_t *follower, int64_t end)
{
	int64_t behind = end - follower->next_offset;
	int64_t keys = g_hash_table_size(follower->keys);

	return behind > MAX(2 * keys, FAR_BEHIND_RECORDS);
}

/*
 * Returns the time as of which all records were read. A store that answers without
 * a record has waited for one, and none was written meanwhile.
 */
static int64_t complete_as_of_ms(const wwh_store_follower_t *follower,
				 bool has_records)
{
	int64_t took_ms = (g_get_monotonic_time() - follower->sent_us) /
			  G_TIME_SPAN_MILLISECOND;

	return follower->sent_ms +
	       (has_records ? 0 : MIN(follower->options.wait_ms, took_ms));
}

static void on_listed_record(const wire_record_t *record, void *data)
{
	wwh_store_follower_t *follower = data;

	if (follower->deleted)
		return;
	if (record->key == NULL)
		follower->has_unreadable_key = true;
	else
		g_hash_table_add(follower->listed_keys, g_strdup(record->key));
	report_record(follower, record);
}

static void on_changed_record(const wire_record_t *record, void *data)
{
	report_record(data, record);
}

static void report_record(wwh_store_follower_t *follower,
			  const wire_record_t *record)
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
 * Reports keys as deleted that the full read didn't list: their deletions were
 * trimmed from the log. None is reported if a listed key was unreadable: that
 * key would look deleted as well.
 */
static void delete_unlisted_keys(wwh_store_follower_t *follower)
{
	GPtrArray *gone;
	GHashTableIter iterator;
	gpointer key;

	if (follower->has_unreadable_key)
		return;
	gone = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_iter_init(&iterator, follower->keys);
	while (g_hash_table_iter_next(&iterator, &key, NULL)) {
		if (!g_hash_table_contains(follower->listed_keys, key))
			g_ptr_array_add(gone, g_strdup(key));
	}
	for (guint i = 0; i < gone->len; i++) {
		wire_record_t record = { .key = g_ptr_array_index(gone, i) };

		report_record(follower, &record);
	}
	g_ptr_array_unref(gone);
}

static void begin_full_read(wwh_store_follower_t *follower)
{
	follower->in_full_read = true;
	follower->has_unreadable_key = false;
	g_clear_pointer(&follower->next_page_key, g_free);
	if (follower->listed_keys != NULL)
		g_hash_table_destroy(follower->listed_keys);
	follower->listed_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void handle_answer(wwh_store_follower_t *follower)
{
	follower->failures = 0;
	if (!follower->unreachable)
		return;
	follower->unreachable = false;
	if (follower->options.on_reach != NULL)
		follower->options.on_reach(true, "answered",
					   follower->options.client_data);
}

static void handle_failure(wwh_store_follower_t *follower,
			   wire_store_result_t result)
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
