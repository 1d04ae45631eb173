#include "soak.h"

#include <event2/keyvalq_struct.h>
#include <string.h>

#define LATE_MIN_MS 1000
#define LATE_MAX_MS 6000
#define REPETITIONS_KEPT 5
#define KB 1024

typedef struct {
	char *key;
	GBytes *value; /* NULL: the key is dropped */
	int64_t offset;
} record_t;

/* A writer of one partition. */
typedef struct {
	int64_t epoch;
	int64_t sequence;
	char *answers[REPETITIONS_KEPT];
	int64_t sequences[REPETITIONS_KEPT];
	int32_t next;
} producer_t;

typedef struct {
	char *name; /* TOPIC/PART */
	GPtrArray *records; /* record_t */
	int64_t first; /* records before it are forgotten */
	GTree *newest; /* key to record_t; dropped keys are absent */
	GHashTable *producers; /* name to producer_t */
} part_t;

/* A read that waits for a record. */
typedef struct {
	struct evhttp_request *request;
	part_t *part;
	int64_t from;
	int64_t until_ms;
	int64_t max_bytes;
} reader_t;

static GHashTable *parts;
static GPtrArray *readers;
static bool deferring = true;

static part_t *get_part(const char *topic, const char *number)
{
	char *name = g_strconcat(topic, "/", number, NULL);
	part_t *part = g_hash_table_lookup(parts, name);

	if (part != NULL) {
		g_free(name);
		return part;
	}
	part = g_new0(part_t, 1);
	part->name = name;
	part->records = g_ptr_array_new();
	part->newest = g_tree_new((GCompareFunc)(void *)strcmp);
	part->producers = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(parts, part->name, part);
	return part;
}

static void put_record(part_t *part, const char *key, const void *value,
		       size_t size)
{
	record_t *record = g_new0(record_t, 1);

	record->key = g_strdup(key);
	record->value = size == 0 ? NULL : g_bytes_new(value, size);
	record->offset = part->records->len;
	g_ptr_array_add(part->records, record);
	if (record->value == NULL)
		g_tree_remove(part->newest, key);
	else
		g_tree_replace(part->newest, record->key, record);
}

bool soak_store_is_down(void)
{
	return soak.store_refuses || soak.store_away;
}

static void answer_read(const reader_t *reader)
{
	const part_t *part = reader->part;
	struct evbuffer *body;
	uint64_t head[2] = { GUINT64_TO_BE(part->records->len),
			     GUINT64_TO_BE(part->first) };
	int64_t bytes = 0;

	if (reader->from < part->first) {
		soak_answer(reader->request, 410, "{\"first\":0}", 0);
		return;
	}
	body = evbuffer_new();
	evbuffer_add(body, head, sizeof(head));
	for (guint i = (guint)reader->from;
	     i < part->records->len && bytes < reader->max_bytes; i++) {
		const record_t *record = g_ptr_array_index(part->records, i);
		GBytes *value = soak_peer_view(reader->request, record->key,
					       record->value);
		gsize size = 0;
		const void *data =
			value == NULL ? NULL : g_bytes_get_data(value, &size);
		uint8_t key_size = (uint8_t)strlen(record->key);
		uint32_t total = GUINT32_TO_BE((uint32_t)(1 + key_size + size));

		evbuffer_add(body, &total, sizeof(total));
		evbuffer_add(body, &key_size, 1);
		evbuffer_add(body, record->key, key_size);
		if (size > 0)
			evbuffer_add(body, data, size);
		if (value != NULL)
			g_bytes_unref(value);
		bytes += (int64_t)(sizeof(total) + 1 + key_size + size);
	}
	soak_answer_bytes(reader->request, body);
}

static void serve_readers(void *data)
{
	int64_t now_ms = soak_now_ms();

	(void)data;
	if (soak_store_is_down())
		return;
	for (guint i = 0; i < readers->len;) {
		reader_t *reader = g_ptr_array_index(readers, i);

		if ((int64_t)reader->part->records->len <= reader->from &&
		    now_ms < reader->until_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(readers, i);
		answer_read(reader);
		g_free(reader);
	}
}

void soak_store_put(const char *topic, const char *key, const char *value)
{
	put_record(get_part(topic, "0"), key, value,
		   value == NULL ? 0 : strlen(value));
	serve_readers(NULL);
}

void soak_store_compact(void)
{
	GHashTableIter iterator;
	gpointer value;

	soak_record("store: forgets its history");
	g_hash_table_iter_init(&iterator, parts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		part_t *part = value;

		part->first = part->records->len;
	}
}

/* "TOKEN ADDRESS"; NULL: none */
static char *newest_notice(void)
{
	record_t *record =
		g_tree_lookup(get_part("keyed.wwh", "1")->newest, "holder");
	gsize size;
	const char *data;

	if (record == NULL)
		return NULL;
	data = g_bytes_get_data(record->value, &size);
	return g_strndup(data, size);
}

char *soak_store_holder(void)
{
	char *text = newest_notice();
	char *address = NULL;

	if (text != NULL && strchr(text, ' ') != NULL)
		address = g_strdup(strchr(text, ' ') + 1);
	g_free(text);
	return address;
}

int64_t soak_store_holder_token(void)
{
	char *text = newest_notice();
	int64_t token = text == NULL ? 0 : g_ascii_strtoll(text, NULL, 10);

	g_free(text);
	return token;
}

static void serve_newest(struct evhttp_request *request, const part_t *part,
			 const char *after)
{
	GString *text = g_string_new("{\"items\":[");
	GTreeNode *node = after == NULL
				  ? g_tree_node_first(part->newest)
				  : g_tree_upper_bound(part->newest, after);

	for (int32_t i = 0; node != NULL && i < soak.store_page;
	     node = g_tree_node_next(node), i++) {
		const record_t *record = g_tree_node_value(node);
		GBytes *seen =
			soak_peer_view(request, record->key, record->value);
		gsize size;
		const guchar *data = g_bytes_get_data(seen, &size);
		char *value = g_base64_encode(data, size);

		g_string_append_printf(text,
				       "%s{\"key\":\"%s\",\"value\":\"%s\","
				       "\"offset\":%" G_GINT64_FORMAT "}",
				       i > 0 ? "," : "", record->key, value,
				       record->offset);
		g_free(value);
		g_bytes_unref(seen);
	}
	g_string_append_printf(text, "],\"truncated\":%s,\"end\":%u}",
			       node != NULL ? "true" : "false",
			       part->records->len);
	soak_answer(request, 200, text->str, 0);
	g_string_free(text, TRUE);
}

/*
 * Answers a call of a fenced writer, a repetition or one that is out of order.
 * Returns false if the records are to be appended.
 */
static bool answer_without_append(struct evhttp_request *request,
				  const producer_t *producer, int64_t epoch,
				  int64_t sequence)
{
	char *text;

	if (epoch < producer->epoch) {
		soak_answer(request, 409, "{\"reason\":\"fenced\"}", 0);
		return true;
	}
	if (epoch > producer->epoch)
		return false;
	for (int32_t i = 0; i < REPETITIONS_KEPT; i++) {
		if (producer->answers[i] == NULL ||
		    producer->sequences[i] != sequence)
			continue;
		soak_answer(request, 200, producer->answers[i], 0);
		return true;
	}
	if (sequence == producer->sequence + 1)
		return false;
	text = g_strdup_printf(
		"{\"reason\":\"seq\",\"expected\":%" G_GINT64_FORMAT "}",
		producer->sequence + 1);
	soak_answer(request, 409, text, 0);
	g_free(text);
	return true;
}

static producer_t *get_producer(part_t *part, const char *name)
{
	producer_t *producer = g_hash_table_lookup(part->producers, name);

	if (producer == NULL) {
		producer = g_new0(producer_t, 1);
		producer->epoch = -1;
		g_hash_table_insert(part->producers, g_strdup(name), producer);
	}
	return producer;
}

static void note_append(producer_t *producer, int64_t epoch, int64_t sequence,
			const char *answer)
{
	if (epoch > producer->epoch) {
		for (int32_t i = 0; i < REPETITIONS_KEPT; i++)
			g_clear_pointer(&producer->answers[i], g_free);
	}
	producer->epoch = epoch;
	producer->sequence = sequence;
	g_free(producer->answers[producer->next]);
	producer->answers[producer->next] = g_strdup(answer);
	producer->sequences[producer->next] = sequence;
	producer->next = (producer->next + 1) % REPETITIONS_KEPT;
}

/* Planted: records of every fourth job are acknowledged and not kept. */
static bool is_dropped(const char *key)
{
	const char kinds_of_jobs[] = "JP";

	return soak.options.plant == SOAK_PLANT_LOST_JOB &&
	       strchr(kinds_of_jobs, key[0]) != NULL &&
	       strchr("048c", key[strlen(key) - 1]) != NULL;
}

static void append_body(struct evhttp_request *request, part_t *part)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	size_t size = evbuffer_get_length(input);
	const uint8_t *data = evbuffer_pullup(input, -1);

	for (size_t at = 0; at + sizeof(uint32_t) < size;) {
		uint32_t length;
		uint8_t key_size = data[at + sizeof(length)];
		const char *rest = (const char *)data + at + sizeof(length) + 1;
		char *key = g_strndup(rest, key_size);

		memcpy(&length, data + at, sizeof(length));
		length = GUINT32_FROM_BE(length);
		if (strcmp(part->name, "keyed.status/0") == 0)
			soak_duties_check_status(key, rest + key_size,
						 length - 1 - key_size);
		if (!is_dropped(key))
			put_record(part, key, rest + key_size,
				   length - 1 - key_size);
		g_free(key);
		at += sizeof(length) + length;
	}
}

static void carry_out_append(void *data)
{
	struct evhttp_request *request = data;

	soak_record("store: a late append");
	deferring = false;
	soak_store_serve(request);
	deferring = true;
}

/*
 * An append may take effect seconds after its caller has given it up. A caller
 * that waits gets its answer.
 */
static bool defer_append(struct evhttp_request *request)
{
	if (!deferring || g_rand_double(soak.rand) >= soak.store_defers)
		return false;
	soak_after(g_rand_int_range(soak.rand, LATE_MIN_MS, LATE_MAX_MS),
		   carry_out_append, request);
	return true;
}

static void serve_append(struct evhttp_request *request, part_t *part,
			 struct evkeyvalq *query)
{
	const char *name = evhttp_find_header(query, "producer");
	guint first = part->records->len;
	producer_t *producer = NULL;
	int64_t epoch = 0;
	int64_t sequence = 0;
	char *answer;

	if (defer_append(request))
		return;
	if (name != NULL) {
		const char *epoch_text = evhttp_find_header(query, "epoch");
		const char *sequence_text =
			evhttp_find_header(query, "sequence");

		epoch = g_ascii_strtoll(epoch_text, NULL, 10);
		sequence = g_ascii_strtoll(sequence_text, NULL, 10);
		producer = get_producer(part, name);
		if (answer_without_append(request, producer, epoch, sequence))
			return;
	}
	append_body(request, part);
	answer = g_strdup_printf("{\"offset\":%u,\"end\":%u}", first,
				 part->records->len);
	if (producer != NULL)
		note_append(producer, epoch, sequence, answer);
	if (g_rand_double(soak.rand) >= soak.store_loses)
		soak_answer(request, 200, answer, 0);
	g_free(answer);
	serve_readers(NULL);
}

static void begin_read(struct evhttp_request *request, part_t *part,
		       struct evkeyvalq *query)
{
	const char *from = evhttp_find_header(query, "from");
	const char *wait = evhttp_find_header(query, "waitMs");
	const char *most = evhttp_find_header(query, "maxKb");
	reader_t *reader = g_new0(reader_t, 1);

	reader->request = request;
	reader->part = part;
	reader->from = g_ascii_strtoll(from, NULL, 10);
	reader->until_ms = soak_now_ms() +
			   (wait == NULL ? 0 : g_ascii_strtoll(wait, NULL, 10));
	reader->max_bytes =
		KB * (most == NULL ? KB : g_ascii_strtoll(most, NULL, 10));
	g_ptr_array_add(readers, reader);
	serve_readers(NULL);
}

static bool is_part_down(const char *number)
{
	return (soak.store_parts_down >>
			(g_ascii_strtoull(number, NULL, 10) % SOAK_PARTS) &
		1U) != 0;
}

void soak_store_serve(void *data)
{
	struct evhttp_request *request = data;
	const char *uri = evhttp_request_get_uri(request);
	const char *question = strchr(uri, '?');
	char *path = g_strndup(uri, strcspn(uri, "?"));
	struct evkeyvalq query;
	const char *topic;
	const char *number;

	evhttp_parse_query_str(question == NULL ? "" : question + 1, &query);
	topic = evhttp_find_header(&query, "topic");
	number = evhttp_find_header(&query, "part");
	if (soak_store_is_down() || (number != NULL && is_part_down(number)))
		soak_answer(request, 503, "{}", 0);
	else if (strcmp(path, "/waxwinghollow/log-join") == 0)
		soak_group_join(request);
	else if (strcmp(path, "/waxwinghollow/log-leave") == 0)
		soak_group_leave(request);
	else if (topic == NULL || number == NULL)
		soak_answer(request, 400, "{}", 0);
	else if (strcmp(path, "/waxwinghollow/log-append") == 0)
		serve_append(request, get_part(topic, number), &query);
	else if (strcmp(path, "/waxwinghollow/log-newest") == 0)
		serve_newest(request, get_part(topic, number),
			     evhttp_find_header(&query, "dependsOn"));
	else if (strcmp(path, "/waxwinghollow/log-read") == 0)
		begin_read(request, get_part(topic, number), &query);
	else
		soak_answer(request, 404, "{}", 0);
	evhttp_clear_headers(&query);
	g_free(path);
}

static void on_call(struct evhttp_request *request, void *data)
{
	const soak_process_t *process = data;

	if (process != NULL && process->store_status != 0)
		soak_answer(request, process->store_status, "{}", 0);
	else if (soak.store_delay_ms > 0)
		soak_after(soak.store_delay_ms, soak_store_serve, request);
	else
		soak_store_serve(request);
}

void soak_store_listen_for(soak_process_t *process)
{
	(void)soak_listen(&process->store_port, on_call, process);
}

void soak_store_start(void)
{
	const int64_t tick_ms = 10;

	parts = g_hash_table_new(g_str_hash, g_str_equal);
	readers = g_ptr_array_new();
	soak.store_page = SOAK_NEWEST_MAX;
	soak_group_start();
	soak_every(tick_ms, serve_readers, NULL);
}
