#ifndef STANDIN_LOG_H
#define STANDIN_LOG_H

/*
 * The log streams of the platform stand-in: offsets from 1, retention by
 * count, long-poll. Append ids are kept as a part of the record only: the
 * same append sent twice makes two records.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#define STANDIN_ID_BYTES 16

typedef struct {
	uint8_t append_id[STANDIN_ID_BYTES];
	GBytes *data;
} standin_record_t;

typedef struct {
	GPtrArray *records; /* standin_record_t *; those before head are gone */
	guint head;
	int64_t first; /* offset of the record at head */
} standin_stream_t;

typedef struct {
	GMutex lock;
	GCond grown;
	GHashTable *streams; /* char * to standin_stream_t * */
	int64_t retain;
	int64_t appends;
	int64_t append_bytes;
	int64_t reads;
} standin_log_t;

static void standin_record_free(gpointer data)
{
	standin_record_t *record = data;

	if (record == NULL)
		return;
	g_bytes_unref(record->data);
	g_free(record);
}

static void standin_stream_free(gpointer data)
{
	standin_stream_t *stream = data;

	g_ptr_array_unref(stream->records);
	g_free(stream);
}

static void standin_log_init(standin_log_t *log, int64_t retain)
{
	g_mutex_init(&log->lock);
	g_cond_init(&log->grown);
	log->streams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     standin_stream_free);
	log->retain = retain;
}

static void standin_log_clear(standin_log_t *log)
{
	g_hash_table_destroy(log->streams);
	g_cond_clear(&log->grown);
	g_mutex_clear(&log->lock);
}

/* The lock must be held. */
static standin_stream_t *standin_log_stream(standin_log_t *log,
					    const char *name)
{
	standin_stream_t *stream = g_hash_table_lookup(log->streams, name);

	if (stream != NULL)
		return stream;
	stream = g_new0(standin_stream_t, 1);
	stream->records = g_ptr_array_new_with_free_func(standin_record_free);
	stream->first = 1;
	g_hash_table_insert(log->streams, g_strdup(name), stream);
	return stream;
}

static int64_t standin_stream_next(const standin_stream_t *stream)
{
	return stream->first + (int64_t)(stream->records->len - stream->head);
}

static void standin_stream_trim(standin_stream_t *stream, int64_t first)
{
	while (stream->first < first &&
	       stream->first < standin_stream_next(stream)) {
		standin_record_free(stream->records->pdata[stream->head]);
		stream->records->pdata[stream->head] = NULL;
		stream->head++;
		stream->first++;
	}
	if (stream->head > 1024 && stream->head > stream->records->len / 2) {
		g_ptr_array_remove_range(stream->records, 0, stream->head);
		stream->head = 0;
	}
}

static int64_t standin_log_append(standin_log_t *log, const char *name,
				  const uint8_t *append_id, const void *data,
				  size_t size)
{
	standin_record_t *record = g_new0(standin_record_t, 1);
	standin_stream_t *stream;
	int64_t offset;

	memcpy(record->append_id, append_id, STANDIN_ID_BYTES);
	record->data = g_bytes_new(data, size);
	g_mutex_lock(&log->lock);
	stream = standin_log_stream(log, name);
	offset = standin_stream_next(stream);
	g_ptr_array_add(stream->records, record);
	if (log->retain > 0)
		standin_stream_trim(stream, offset + 1 - log->retain);
	log->appends++;
	log->append_bytes += (int64_t)size;
	g_cond_broadcast(&log->grown);
	g_mutex_unlock(&log->lock);
	return offset;
}

/* name NULL: every stream. */
static void standin_log_trim(standin_log_t *log, const char *name,
			     int64_t first)
{
	GHashTableIter iterator;
	gpointer key;
	gpointer value;

	g_mutex_lock(&log->lock);
	g_hash_table_iter_init(&iterator, log->streams);
	while (g_hash_table_iter_next(&iterator, &key, &value))
		if (name == NULL || strcmp(key, name) == 0)
			standin_stream_trim(value, first);
	g_mutex_unlock(&log->lock);
}

/*
 * Waits until the stream has a record at from or wait_ms are over. Returns
 * with the lock held.
 */
static standin_stream_t *standin_log_wait(standin_log_t *log, const char *name,
					  int64_t from, int64_t wait_ms)
{
	int64_t end = g_get_monotonic_time() + wait_ms * 1000;
	standin_stream_t *stream;

	g_mutex_lock(&log->lock);
	log->reads++;
	stream = standin_log_stream(log, name);
	while (standin_stream_next(stream) <= from)
		if (!g_cond_wait_until(&log->grown, &log->lock, end))
			break;
	return stream;
}

#endif
