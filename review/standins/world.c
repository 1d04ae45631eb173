#define _GNU_SOURCE
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PARTS 16
#define NEWEST_MAX 500
#define REPEATS 5
#define LOOPBACK "127.0.0.1"
#define TICK_MS 20
#define PROC_PORTS 4

typedef struct {
	char *key;
	GBytes *value; /* NULL: the key is dropped */
} record_t;

typedef struct {
	char *name;
	GPtrArray *records;
	GHashTable *producers; /* name to producer_t */
} part_t;

typedef struct {
	int64_t epoch;
	int64_t sequence;
	char *answers[REPEATS];
	int64_t sequences[REPEATS];
	int32_t next;
} producer_t;

/* An answer that is sent later. */
typedef struct {
	struct evhttp_request *request;
	struct evbuffer *body;
	int32_t status;
	const char *type;
	struct event *timer;
} later_t;

typedef struct {
	struct evhttp_request *request;
	part_t *part;
	int64_t from;
	int64_t until_ms;
	int64_t max_bytes;
} reader_t;

typedef struct {
	char *name;
	int64_t ttl_ms;
	int64_t seen_ms;
} member_t;

typedef struct {
	char *task;
	int64_t run;
	world_run_t *entry;
	int64_t due_ms;
	int64_t stop_ms; /* 0: not stopped */
	char *spec;
} active_t;

typedef struct {
	struct evhttp_request *request;
	int64_t until_ms;
	int64_t seen;
} holder_t;

typedef struct {
	int32_t index;
	int32_t lives;
	char id[32];
	char machine[16];
	int port;
	bool up;
	int64_t born_wall_ms;
	int64_t born_ms;
	int64_t token;
	int64_t lease_ms; /* by its own clock; 0: none */
	int64_t sequence;
	int64_t next_beat_ms;
	int64_t down_since_ms;
	struct evhttp *http;
	GPtrArray *active; /* active_t */
	GPtrArray *ended; /* world_run_t that are listed */
	int64_t ends;
	GHashTable *highest; /* task to the highest run stopped or ended */
	GPtrArray *holders; /* holder_t */
} minion_t;

typedef struct {
	pid_t pid; /* 0: down */
	int32_t starts;
	int ports[PROC_PORTS];
	char node[32];
	char peer[32];
} proc_t;

typedef struct {
	world_step_t step;
	void *data;
	struct event *timer;
} step_t;

typedef struct {
	world_answered_t done;
	void *data;
	char *what;
	int32_t proc;
	struct evhttp_connection *connection;
} client_t;

static struct {
	world_options_t options;
	struct event_base *base;
	struct event *tick;
	FILE *record;
	char *folder;
	struct timespec start;
	int32_t exit_code;
	int store_port;
	int cloud_port;
	struct evhttp *store;
	struct evhttp *cloud;
	GHashTable *parts;
	GPtrArray *readers;
	int64_t store_delay_ms;
	GHashTable *members;
	int64_t generation;
	char *owners[PARTS];
	char *targets[PARTS];
	int64_t moved_at[PARTS]; /* the generation since which it moves */
	minion_t minions[WORLD_MAX_MINIONS];
	proc_t procs[WORLD_MAX_PROCS];
	GPtrArray *runs;
	void (*on_start)(const world_run_t *run);
	void (*on_end)(const world_run_t *run);
} world;

int64_t world_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (now.tv_sec - world.start.tv_sec) * 1000 +
	       (now.tv_nsec - world.start.tv_nsec) / 1000000;
}

int64_t world_wall_ms(void)
{
	return g_get_real_time() / 1000;
}

void world_record(const char *format, ...)
{
	va_list arguments;
	int64_t now = world_now_ms();

	fprintf(world.record, "%3" G_GINT64_FORMAT ".%03" G_GINT64_FORMAT " ",
		now / 1000, now % 1000);
	va_start(arguments, format);
	vfprintf(world.record, format, arguments);
	va_end(arguments);
	fputc('\n', world.record);
	fflush(world.record);
}

static void on_step(evutil_socket_t fd, short what, void *data)
{
	step_t *step = data;

	(void)fd;
	(void)what;
	event_free(step->timer);
	step->step(step->data);
	g_free(step);
}

void world_after(int64_t ms, world_step_t step, void *data)
{
	step_t *timed = g_new0(step_t, 1);
	struct timeval wait = { ms / 1000, ms % 1000 * 1000 };

	timed->step = step;
	timed->data = data;
	timed->timer = evtimer_new(world.base, on_step, timed);
	event_add(timed->timer, &wait);
}

/* ---- answers ---- */

static void send_answer(struct evhttp_request *request, int32_t status,
			const char *type, struct evbuffer *body)
{
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", type);
	evhttp_send_reply(request, status, "-", body);
	evbuffer_free(body);
}

static void on_later(evutil_socket_t fd, short what, void *data)
{
	later_t *later = data;

	(void)fd;
	(void)what;
	event_free(later->timer);
	send_answer(later->request, later->status, later->type, later->body);
	g_free(later);
}

static void answer_after(struct evhttp_request *request, int32_t status,
			 const char *type, struct evbuffer *body, int64_t ms)
{
	later_t *later;
	struct timeval wait = { ms / 1000, ms % 1000 * 1000 };

	if (ms <= 0) {
		send_answer(request, status, type, body);
		return;
	}
	later = g_new0(later_t, 1);
	later->request = request;
	later->status = status;
	later->type = type;
	later->body = body;
	later->timer = evtimer_new(world.base, on_later, later);
	event_add(later->timer, &wait);
}

static void answer_text(struct evhttp_request *request, int32_t status,
			const char *text, int64_t delay_ms)
{
	struct evbuffer *body = evbuffer_new();

	evbuffer_add(body, text, strlen(text));
	answer_after(request, status, "application/json", body, delay_ms);
}

static JsonParser *parse_body(struct evhttp_request *request,
			      JsonObject **object)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	size_t size = evbuffer_get_length(input);
	JsonParser *parser = json_parser_new();

	*object = NULL;
	if (json_parser_load_from_data(parser,
				       (const char *)evbuffer_pullup(input, -1),
				       (gssize)size, NULL) &&
	    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		*object = json_node_get_object(json_parser_get_root(parser));
	return parser;
}

static int64_t number_of(JsonObject *object, const char *name, int64_t fallback)
{
	return json_object_has_member(object, name)
		       ? json_object_get_int_member(object, name)
		       : fallback;
}

/* ---- the store ---- */

static part_t *get_part(const char *topic, const char *number)
{
	char *name = g_strconcat(topic, "/", number, NULL);
	part_t *part = g_hash_table_lookup(world.parts, name);

	if (part != NULL) {
		g_free(name);
		return part;
	}
	part = g_new0(part_t, 1);
	part->name = name;
	part->records = g_ptr_array_new();
	part->producers = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(world.parts, part->name, part);
	return part;
}

/* The answer holds what is there when it leaves. */
static void answer_read(void *data)
{
	reader_t *reader = data;
	struct evbuffer *body = evbuffer_new();
	uint64_t head[2] = { GUINT64_TO_BE(reader->part->records->len), 0 };
	int64_t bytes = 0;

	evbuffer_add(body, head, sizeof(head));
	for (guint i = (guint)reader->from;
	     i < reader->part->records->len && bytes < reader->max_bytes; i++) {
		record_t *record = g_ptr_array_index(reader->part->records, i);
		gsize size = 0;
		const void *data =
			record->value == NULL
				? NULL
				: g_bytes_get_data(record->value, &size);
		uint8_t key_size = (uint8_t)strlen(record->key);
		uint32_t total = GUINT32_TO_BE((uint32_t)(1 + key_size + size));

		evbuffer_add(body, &total, 4);
		evbuffer_add(body, &key_size, 1);
		evbuffer_add(body, record->key, key_size);
		if (size > 0)
			evbuffer_add(body, data, size);
		bytes += 5 + key_size + (int64_t)size;
	}
	send_answer(reader->request, 200, "application/octet-stream", body);
	g_free(reader);
}

static void serve_readers(void)
{
	for (guint i = 0; i < world.readers->len;) {
		reader_t *reader = g_ptr_array_index(world.readers, i);

		if (reader->part->records->len <= reader->from &&
		    world_now_ms() < reader->until_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(world.readers, i);
		if (world.store_delay_ms > 0)
			world_after(world.store_delay_ms, answer_read, reader);
		else
			answer_read(reader);
	}
}

static void put_record(part_t *part, const char *key, const void *value,
		       size_t size)
{
	record_t *record = g_new0(record_t, 1);

	record->key = g_strdup(key);
	record->value = size == 0 ? NULL : g_bytes_new(value, size);
	g_ptr_array_add(part->records, record);
}

static void put_text(const char *topic, const char *key, const char *text)
{
	put_record(get_part(topic, "0"), key, text,
		   text == NULL ? 0 : strlen(text));
	serve_readers();
}

/* The newest records of all keys, by key. */
static GPtrArray *newest_of(part_t *part, GHashTable **offsets)
{
	GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *list = g_ptr_array_new();
	GList *keys;

	*offsets = g_hash_table_new(NULL, NULL);
	for (guint i = 0; i < part->records->len; i++) {
		record_t *record = g_ptr_array_index(part->records, i);

		g_hash_table_insert(newest, record->key, record);
		g_hash_table_insert(*offsets, record, GUINT_TO_POINTER(i));
	}
	keys = g_list_sort(g_hash_table_get_keys(newest), (GCompareFunc)strcmp);
	for (GList *at = keys; at != NULL; at = at->next) {
		record_t *record = g_hash_table_lookup(newest, at->data);

		if (record->value != NULL)
			g_ptr_array_add(list, record);
	}
	g_list_free(keys);
	g_hash_table_destroy(newest);
	return list;
}

static void serve_newest(struct evhttp_request *request, part_t *part,
			 const char *after)
{
	GHashTable *offsets;
	GPtrArray *list = newest_of(part, &offsets);
	GString *text = g_string_new("{\"items\":[");
	int32_t rows = 0;
	bool truncated = false;

	for (guint i = 0; i < list->len; i++) {
		record_t *record = g_ptr_array_index(list, i);
		gsize size;
		const guchar *data = g_bytes_get_data(record->value, &size);
		char *value;

		if (after != NULL && strcmp(record->key, after) <= 0)
			continue;
		if (rows == NEWEST_MAX) {
			truncated = true;
			break;
		}
		value = g_base64_encode(data, size);
		g_string_append_printf(
			text,
			"%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%u}",
			rows++ > 0 ? "," : "", record->key, value,
			GPOINTER_TO_UINT(g_hash_table_lookup(offsets, record)));
		g_free(value);
	}
	g_string_append_printf(text, "],\"truncated\":%s,\"end\":%u}",
			       truncated ? "true" : "false",
			       part->records->len);
	answer_text(request, 200, text->str, 0);
	g_string_free(text, TRUE);
	g_ptr_array_free(list, TRUE);
	g_hash_table_destroy(offsets);
}

static void serve_append(struct evhttp_request *request, part_t *part,
			 struct evkeyvalq *query)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	size_t size = evbuffer_get_length(input);
	const uint8_t *data = evbuffer_pullup(input, -1);
	const char *name = evhttp_find_header(query, "producer");
	guint first = part->records->len;
	producer_t *producer = NULL;
	int64_t epoch = 0;
	int64_t sequence = 0;
	char *answer;

	if (name != NULL) {
		epoch = g_ascii_strtoll(evhttp_find_header(query, "epoch"),
					NULL, 10);
		sequence = g_ascii_strtoll(
			evhttp_find_header(query, "sequence"), NULL, 10);
		producer = g_hash_table_lookup(part->producers, name);
		if (producer == NULL) {
			producer = g_new0(producer_t, 1);
			producer->epoch = -1;
			g_hash_table_insert(part->producers, g_strdup(name),
					    producer);
		}
		if (epoch < producer->epoch) {
			answer_text(request, 409, "{\"reason\":\"fenced\"}", 0);
			return;
		}
		for (int32_t i = 0; i < REPEATS && epoch == producer->epoch;
		     i++) {
			if (producer->answers[i] != NULL &&
			    producer->sequences[i] == sequence) {
				answer_text(request, 200, producer->answers[i],
					    0);
				return;
			}
		}
		if (epoch == producer->epoch &&
		    sequence != producer->sequence + 1) {
			char *text = g_strdup_printf(
				"{\"reason\":\"seq\",\"expected\":"
				"%" G_GINT64_FORMAT "}",
				producer->sequence + 1);

			answer_text(request, 409, text, 0);
			g_free(text);
			return;
		}
		if (epoch > producer->epoch) {
			for (int32_t i = 0; i < REPEATS; i++)
				g_clear_pointer(&producer->answers[i], g_free);
		}
		producer->epoch = epoch;
		producer->sequence = sequence;
	}
	for (size_t at = 0; at + 5 <= size;) {
		uint32_t length;
		uint8_t key_size = data[at + 4];
		char *key;

		memcpy(&length, data + at, 4);
		length = GUINT32_FROM_BE(length);
		key = g_strndup((const char *)data + at + 5, key_size);
		put_record(part, key, data + at + 5 + key_size,
			   length - 1 - key_size);
		g_free(key);
		at += 4 + length;
	}
	answer = g_strdup_printf("{\"offset\":%u,\"end\":%u}", first,
				 part->records->len);
	if (producer != NULL) {
		g_free(producer->answers[producer->next]);
		producer->answers[producer->next] = g_strdup(answer);
		producer->sequences[producer->next] = sequence;
		producer->next = (producer->next + 1) % REPEATS;
	}
	answer_text(request, 200, answer, 0);
	g_free(answer);
	serve_readers();
}

/* ---- the group ---- */

static int32_t count_targets(const char *member)
{
	int32_t count = 0;

	for (int32_t i = 0; i < PARTS; i++)
		count += g_strcmp0(world.targets[i], member) == 0;
	return count;
}

/*
 * Deals the partitions evenly: those of nobody go to the member with the fewest,
 * then members with too many give their first ones away.
 */
static void deal_parts(void)
{
	GList *names = g_list_sort(g_hash_table_get_keys(world.members),
				   (GCompareFunc)strcmp);
	int32_t count = (int32_t)g_list_length(names);
	bool changed = true;

	for (int32_t i = 0; i < PARTS; i++) {
		if (world.targets[i] != NULL &&
		    !g_hash_table_contains(world.members, world.targets[i]))
			g_clear_pointer(&world.targets[i], g_free);
		if (world.owners[i] != NULL &&
		    !g_hash_table_contains(world.members, world.owners[i]))
			g_clear_pointer(&world.owners[i], g_free);
	}
	while (changed && count > 0) {
		const char *least = names->data;
		const char *most = names->data;

		changed = false;
		for (GList *at = names; at != NULL; at = at->next) {
			if (count_targets(at->data) < count_targets(least))
				least = at->data;
			if (count_targets(at->data) > count_targets(most))
				most = at->data;
		}
		for (int32_t i = 0; i < PARTS && !changed; i++) {
			bool gives = world.targets[i] == NULL ||
				     (strcmp(world.targets[i], most) == 0 &&
				      count_targets(most) >
					      count_targets(least) + 1);

			if (!gives)
				continue;
			g_free(world.targets[i]);
			world.targets[i] = g_strdup(least);
			world.moved_at[i] = world.generation;
			changed = true;
		}
	}
	for (int32_t i = 0; i < PARTS; i++) {
		if (world.owners[i] == NULL && world.targets[i] != NULL)
			world.owners[i] = g_strdup(world.targets[i]);
	}
	g_list_free(names);
}

static gboolean drop_silent(gpointer key, gpointer value, gpointer data)
{
	member_t *member = value;

	(void)data;
	if (world_now_ms() - member->seen_ms < member->ttl_ms)
		return false;
	world_record("store: %s has left the group (silent)", (char *)key);
	return true;
}

static void expire_members(void)
{
	if (g_hash_table_foreach_remove(world.members, drop_silent, NULL) == 0)
		return;
	world.generation++;
	deal_parts();
}

static void serve_join(struct evhttp_request *request)
{
	JsonObject *object;
	JsonParser *parser = parse_body(request, &object);
	const char *name = json_object_get_string_member(object, "member");
	const char *topic = json_array_get_string_element(
		json_object_get_array_member(object, "topics"), 0);
	int64_t generation = number_of(object, "generation", 0);
	member_t *member = g_hash_table_lookup(world.members, name);
	GString *text = g_string_new(NULL);
	bool first = true;

	if (member == NULL) {
		member = g_new0(member_t, 1);
		member->name = g_strdup(name);
		g_hash_table_insert(world.members, g_strdup(name), member);
		world.generation++;
		deal_parts();
	}
	member->ttl_ms = number_of(object, "ttlMs", 1000);
	member->seen_ms = world_now_ms();
	for (int32_t i = 0; i < PARTS; i++) {
		bool moves = g_strcmp0(world.owners[i], world.targets[i]) != 0;

		if (moves && g_strcmp0(world.owners[i], name) == 0 &&
		    generation >= world.moved_at[i]) {
			g_free(world.owners[i]);
			world.owners[i] = g_strdup(world.targets[i]);
			world.generation++;
		}
	}
	g_string_printf(text,
			"{\"generation\":%" G_GINT64_FORMAT
			",\"ttlMs\":%" G_GINT64_FORMAT ",\"parts\":[",
			world.generation, member->ttl_ms);
	for (int32_t i = 0; i < PARTS; i++) {
		if (g_strcmp0(world.owners[i], name) != 0 ||
		    g_strcmp0(world.targets[i], name) != 0)
			continue;
		g_string_append_printf(text, "%s[\"%s\",%d,0]",
				       first ? "" : ",", topic, i);
		first = false;
	}
	g_string_append(text, "]}");
	answer_text(request, 200, text->str, 0);
	g_string_free(text, TRUE);
	g_object_unref(parser);
}

static void serve_leave(struct evhttp_request *request)
{
	JsonObject *object;
	JsonParser *parser = parse_body(request, &object);
	const char *name = json_object_get_string_member(object, "member");

	if (g_hash_table_remove(world.members, name)) {
		world_record("store: %s has left the group (asked)", name);
		world.generation++;
		deal_parts();
	}
	answer_text(request, 200, "{}", 0);
	g_object_unref(parser);
}

static int32_t proc_of_peer(const char *peer)
{
	for (int32_t i = 0; peer != NULL && i < world.options.procs; i++) {
		if (strcmp(world.procs[i].peer, peer) == 0)
			return i;
	}
	return -1;
}

int32_t world_assigned(void)
{
	return proc_of_peer(world.owners[0]);
}

int32_t world_holder(void)
{
	part_t *part = get_part("keyed.wwh", "1");

	for (guint i = part->records->len; i > 0; i--) {
		record_t *record = g_ptr_array_index(part->records, i - 1);
		gsize size;
		const char *data;
		char *text;
		int32_t proc;

		if (strcmp(record->key, "holder") != 0 || record->value == NULL)
			continue;
		data = g_bytes_get_data(record->value, &size);
		text = g_strndup(data, size);
		proc = strchr(text, ' ') == NULL
			       ? -1
			       : proc_of_peer(strchr(text, ' ') + 1);
		g_free(text);
		return proc;
	}
	return -1;
}

static void serve_store(void *data)
{
	struct evhttp_request *request = data;
	const char *uri = evhttp_request_get_uri(request);
	char *path = g_strndup(uri, strcspn(uri, "?"));
	const char *question = strchr(uri, '?');
	struct evkeyvalq query;
	const char *topic;
	const char *number;

	evhttp_parse_query_str(question == NULL ? "" : question + 1, &query);
	topic = evhttp_find_header(&query, "topic");
	number = evhttp_find_header(&query, "part");
	if (strcmp(path, "/waxwinghollow/log-join") == 0) {
		serve_join(request);
	} else if (strcmp(path, "/waxwinghollow/log-leave") == 0) {
		serve_leave(request);
	} else if (topic == NULL) {
		answer_text(request, 400, "{}", 0);
	} else if (strcmp(path, "/waxwinghollow/log-append") == 0) {
		serve_append(request, get_part(topic, number), &query);
	} else if (strcmp(path, "/waxwinghollow/log-newest") == 0) {
		serve_newest(request, get_part(topic, number),
			     evhttp_find_header(&query, "dependsOn"));
	} else if (strcmp(path, "/waxwinghollow/log-read") == 0) {
		const char *from = evhttp_find_header(&query, "from");
		const char *wait = evhttp_find_header(&query, "waitMs");
		const char *most = evhttp_find_header(&query, "maxKb");
		reader_t *reader = g_new0(reader_t, 1);

		reader->request = request;
		reader->part = get_part(topic, number);
		reader->from = g_ascii_strtoll(from, NULL, 10);
		reader->until_ms =
			world_now_ms() +
			(wait == NULL ? 0 : g_ascii_strtoll(wait, NULL, 10));
		reader->max_bytes =
			1024 *
			(most == NULL ? 1024 : g_ascii_strtoll(most, NULL, 10));
		g_ptr_array_add(world.readers, reader);
		serve_readers();
	} else {
		answer_text(request, 404, "{}", 0);
	}
	evhttp_clear_headers(&query);
	g_free(path);
}

/* A call waits first and is then served and answered at once, but for reads. */
static void on_store(struct evhttp_request *request, void *data)
{
	bool waits = !g_str_has_prefix(evhttp_request_get_uri(request),
				       "/waxwinghollow/log-read") &&
		     world.store_delay_ms > 0;

	(void)data;
	if (waits)
		world_after(world.store_delay_ms, serve_store, request);
	else
		serve_store(request);
}

void world_set_store_delay(int64_t ms)
{
	world.store_delay_ms = ms;
	world_record("store: answers take %" G_GINT64_FORMAT " ms longer", ms);
}

/* ---- the list of machines ---- */

static void on_cloud(struct evhttp_request *request, void *data)
{
	const char *uri = evhttp_request_get_uri(request);
	GString *text;

	(void)data;
	if (!g_str_has_prefix(uri, "/waxwinghollow/machines")) {
		world_record("machines: %s refused, busy", uri);
		answer_text(request, 409, "{\"reason\":\"busy\"}", 0);
		return;
	}
	text = g_string_new("{\"machines\":[");
	for (int32_t i = 0; i < world.options.minions; i++) {
		minion_t *minion = &world.minions[i];

		g_string_append_printf(
			text,
			"%s{\"machine\":\"%s\",\"pool\":\"" WORLD_SERVICE
			"\",\"state\":\"%s\",\"zone\":\"hall-a\",\"labels\":"
			"[\"a\",\"r1-%d\"],\"capacity\":{\"cpu\":32000,"
			"\"memMb\":65536,\"gpu\":0}%s%s%s}",
			i > 0 ? "," : "", minion->machine,
			minion->up ? "up" : "down", i / 4,
			minion->up ? ",\"id\":\"" : "",
			minion->up ? minion->id : "", minion->up ? "\"" : "");
	}
	g_string_append(text, "],\"nextToken\":null}");
	answer_text(request, 200, text->str, 0);
	g_string_free(text, TRUE);
}

/* ---- minions ---- */

static int64_t minion_clock(const minion_t *minion)
{
	return world_now_ms() - minion->born_ms + 1000;
}

static void write_beat(minion_t *minion)
{
	char *text = g_strdup_printf(
		"{\"service\":\"" WORLD_SERVICE "\",\"address\":\"" LOOPBACK
		":%d\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":"
		"32000,\"memMb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1-%d\"],"
		"\"clockMs\":%" G_GINT64_FORMAT
		",\"sequence\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT
		"}",
		minion->port, minion->index / 4, minion_clock(minion),
		++minion->sequence, minion->born_wall_ms);

	put_text("keyed.servers", minion->id, text);
	minion->next_beat_ms = world_now_ms() + world.options.heartbeat_ms;
	g_free(text);
}

static bool lasts(const char *task)
{
	const char *id = world.options.lasting_id;

	return id != NULL && strncmp(task, id, strlen(id)) == 0;
}

static void answer_hold(minion_t *minion, struct evhttp_request *request)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text,
			"{\"clockMs\":%" G_GINT64_FORMAT
			",\"born\":%" G_GINT64_FORMAT ",\"running\":[",
			minion_clock(minion), minion->born_wall_ms);
	for (guint i = 0; i < minion->active->len; i++) {
		active_t *active = g_ptr_array_index(minion->active, i);
		int64_t done = world_now_ms() - active->entry->begun_ms;
		int64_t percent = MIN(99, done * 100 / world.options.task_ms);

		if (lasts(active->task))
			percent = MIN(100, done * 100 / WORLD_STARTUP_MS);
		g_string_append_printf(
			text, "%s[\"%s\",%" G_GINT64_FORMAT ",\"\",%d,1000]",
			i > 0 ? "," : "", active->task, active->run,
			(int32_t)percent);
	}
	g_string_append(text, "],\"ended\":[");
	for (guint i = 0; i < minion->ended->len && i < 500; i++) {
		world_run_t *run = g_ptr_array_index(minion->ended, i);

		g_string_append_printf(text,
				       "%s[%" G_GINT64_FORMAT
				       ",\"%s\",%" G_GINT64_FORMAT
				       ",\"%s\",\"\"]",
				       i > 0 ? "," : "", run->end_number,
				       run->task, run->run, run->how);
	}
	g_string_append(text, "]}");
	answer_text(request, 200, text->str, 0);
	g_string_free(text, TRUE);
}

static void serve_holders(minion_t *minion)
{
	for (guint i = 0; i < minion->holders->len;) {
		holder_t *holder = g_ptr_array_index(minion->holders, i);

		if (minion->ended->len == 0 &&
		    world_now_ms() < holder->until_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(minion->holders, i);
		answer_hold(minion, holder->request);
		g_free(holder);
	}
}

static void note_highest(minion_t *minion, const char *task, int64_t run)
{
	int64_t *highest = g_hash_table_lookup(minion->highest, task);

	if (highest == NULL) {
		highest = g_new0(int64_t, 1);
		g_hash_table_insert(minion->highest, g_strdup(task), highest);
	}
	*highest = MAX(*highest, run);
}

static void end_run(minion_t *minion, guint index, const char *how,
		    bool is_listed)
{
	active_t *active = g_ptr_array_index(minion->active, index);

	active->entry->ended_ms = world_now_ms();
	active->entry->how = how;
	world_record("minion %s: run %" G_GINT64_FORMAT " of %s ends: %s",
		     active->entry->life, active->run, active->task, how);
	if (is_listed) {
		active->entry->end_number = ++minion->ends;
		g_ptr_array_add(minion->ended, active->entry);
		note_highest(minion, active->task, active->run);
	}
	if (world.on_end != NULL)
		world.on_end(active->entry);
	g_ptr_array_remove_index(minion->active, index);
	g_free(active->task);
	g_free(active->spec);
	g_free(active);
}

static void run_minion(minion_t *minion)
{
	int64_t now = world_now_ms();
	bool lapsed;

	if (!minion->up) {
		if (minion->down_since_ms != 0 &&
		    now - minion->down_since_ms >=
			    3 * world.options.heartbeat_ms) {
			put_text("keyed.servers", minion->id, NULL);
			minion->down_since_ms = 0;
			world_record("store: entry of minion %s is removed",
				     minion->id);
		}
		return;
	}
	if (now >= minion->next_beat_ms)
		write_beat(minion);
	lapsed = minion->lease_ms != 0 &&
		 minion_clock(minion) >= minion->lease_ms;
	for (guint i = 0; i < minion->active->len;) {
		active_t *active = g_ptr_array_index(minion->active, i);

		if (active->stop_ms != 0 && now >= active->stop_ms)
			end_run(minion, i, "stopped", true);
		else if (now >= active->due_ms)
			end_run(minion, i, "done", true);
		else if (lapsed)
			end_run(minion, i, "lapsed", true);
		else
			i++;
	}
	serve_holders(minion);
}

static void extend_lease(minion_t *minion, JsonObject *object)
{
	int64_t until = number_of(object, "untilMs", 0);

	until = MIN(until, minion_clock(minion) + world.options.hold_max_ms);
	minion->lease_ms = MAX(minion->lease_ms, until);
}

static void answer_order(minion_t *minion, struct evhttp_request *request,
			 int32_t status, const char *reason)
{
	char *text = g_strdup_printf("{\"clockMs\":%" G_GINT64_FORMAT
				     ",\"born\":%" G_GINT64_FORMAT "%s%s%s}",
				     minion_clock(minion), minion->born_wall_ms,
				     reason == NULL ? "" : ",\"reason\":\"",
				     reason == NULL ? "" : reason,
				     reason == NULL ? "" : "\"");

	answer_text(request, status, text, 0);
	g_free(text);
}

static active_t *find_active(minion_t *minion, const char *task)
{
	for (guint i = 0; i < minion->active->len; i++) {
		active_t *active = g_ptr_array_index(minion->active, i);

		if (strcmp(active->task, task) == 0)
			return active;
	}
	return NULL;
}

static void serve_start(minion_t *minion, struct evhttp_request *request,
			JsonObject *object)
{
	const char *task = json_object_get_string_member(object, "task");
	int64_t run = number_of(object, "run", 0);
	int64_t until = number_of(object, "untilMs", 0);
	active_t *active = find_active(minion, task);
	const int64_t *highest = g_hash_table_lookup(minion->highest, task);
	world_run_t *entry;

	if (active != NULL && active->run == run) {
		extend_lease(minion, object);
		answer_order(minion, request, 200, NULL);
		return;
	}
	if (active != NULL || (highest != NULL && run <= *highest)) {
		extend_lease(minion, object);
		world_record("minion %s: run %" G_GINT64_FORMAT
			     " of %s refused: old",
			     minion->id, run, task);
		answer_order(minion, request, 409, "old");
		return;
	}
	if (until <= minion_clock(minion)) {
		answer_order(minion, request, 409, "late");
		return;
	}
	extend_lease(minion, object);
	entry = g_new0(world_run_t, 1);
	entry->task = g_strdup(task);
	entry->run = run;
	entry->minion = minion->index;
	entry->life = g_strdup_printf("%s/%d", minion->id, minion->lives);
	entry->begun_ms = world_now_ms();
	g_ptr_array_add(world.runs, entry);
	active = g_new0(active_t, 1);
	active->task = g_strdup(task);
	active->run = run;
	active->entry = entry;
	active->due_ms = lasts(task) ? G_MAXINT64
				     : entry->begun_ms + world.options.task_ms;
	g_ptr_array_add(minion->active, active);
	world_record("minion %s: run %" G_GINT64_FORMAT
		     " of %s begins (token %" G_GINT64_FORMAT ")",
		     entry->life, run, task, minion->token);
	answer_order(minion, request, 200, NULL);
	if (world.on_start != NULL)
		world.on_start(entry);
}

static void serve_stop(minion_t *minion, struct evhttp_request *request,
		       JsonObject *object)
{
	const char *task = json_object_get_string_member(object, "task");
	int64_t run = number_of(object, "run", 0);
	active_t *active = find_active(minion, task);

	world_record("minion %s: stop of run %" G_GINT64_FORMAT " of %s",
		     minion->id, run, task);
	if (active != NULL && active->run == run && active->stop_ms == 0)
		active->stop_ms = world_now_ms() + 100;
	else if (active == NULL)
		note_highest(minion, task, run);
	answer_order(minion, request, 200, NULL);
}

static void serve_hold(minion_t *minion, struct evhttp_request *request,
		       JsonObject *object)
{
	int64_t seen = number_of(object, "seenUpto", 0);
	int64_t wait = number_of(object, "waitMs", 0);
	holder_t *holder;

	extend_lease(minion, object);
	for (guint i = 0; i < minion->ended->len;) {
		world_run_t *run = g_ptr_array_index(minion->ended, i);

		if (run->end_number > seen) {
			i++;
			continue;
		}
		run->seen_ms = world_now_ms();
		world_record("minion %s: end %" G_GINT64_FORMAT
			     " of %s is taken "
			     "note of (seenUpto %" G_GINT64_FORMAT ")",
			     minion->id, run->end_number, run->task, seen);
		g_ptr_array_remove_index(minion->ended, i);
	}
	holder = g_new0(holder_t, 1);
	holder->request = request;
	holder->until_ms = world_now_ms() + MIN(wait, 2000);
	g_ptr_array_add(minion->holders, holder);
	serve_holders(minion);
}

static void on_minion(struct evhttp_request *request, void *data)
{
	minion_t *minion = data;
	const char *uri = evhttp_request_get_uri(request);
	const char *expected =
		evhttp_find_header(evhttp_request_get_input_headers(request),
				   "Waxwinghollow-Expect-Instance");
	JsonObject *object;
	JsonParser *parser;
	int64_t token;

	if (!minion->up)
		return; /* it is silent: the request waits until its socket closes */
	if (strcmp(uri, "/healthz") == 0) {
		answer_text(request, 200, "{}", 0);
		return;
	}
	if (expected != NULL && strcmp(expected, minion->id) != 0) {
		answer_order(minion, request, 421, NULL);
		return;
	}
	parser = parse_body(request, &object);
	if (object == NULL) {
		answer_order(minion, request, 400, NULL);
		g_object_unref(parser);
		return;
	}
	token = number_of(object, "fencingToken", 0);
	if (token < minion->token) {
		answer_order(minion, request, 409, "fence");
		g_object_unref(parser);
		return;
	}
	minion->token = token;
	if (strcmp(uri, "/waxwinghollow/run-start") == 0)
		serve_start(minion, request, object);
	else if (strcmp(uri, "/waxwinghollow/run-stop") == 0)
		serve_stop(minion, request, object);
	else if (strcmp(uri, "/waxwinghollow/hold") == 0)
		serve_hold(minion, request, object);
	else
		answer_order(minion, request, 200, NULL);
	g_object_unref(parser);
}

static struct evhttp *
listen_at(int *port, void (*serve)(struct evhttp_request *, void *), void *data)
{
	struct evhttp *http = evhttp_new(world.base);
	struct evhttp_bound_socket *bound;
	struct sockaddr_in address;
	socklen_t size = sizeof(address);

	evhttp_set_max_body_size(http, 8 << 20);
	evhttp_set_gencb(http, serve, data);
	bound = evhttp_bind_socket_with_handle(http, LOOPBACK, (uint16_t)*port);
	if (bound == NULL) {
		fprintf(stderr, "can't listen: %s\n", strerror(errno));
		exit(2);
	}
	getsockname(evhttp_bound_socket_get_fd(bound),
		    (struct sockaddr *)&address, &size);
	*port = ntohs(address.sin_port);
	return http;
}

void world_crash_minion(int32_t index, bool silent)
{
	minion_t *minion = &world.minions[index];

	world_record("minion %s/%d crashes", minion->id, minion->lives);
	while (minion->active->len > 0)
		end_run(minion, 0, "crashed", false);
	for (guint i = 0; i < minion->holders->len; i++)
		g_free(g_ptr_array_index(minion->holders, i));
	g_ptr_array_set_size(minion->holders, 0);
	g_ptr_array_set_size(minion->ended, 0);
	if (!silent) {
		evhttp_free(minion->http);
		minion->http = NULL;
	}
	minion->up = false;
	minion->down_since_ms = world_now_ms();
}

void world_start_minion(int32_t index, bool same_id)
{
	minion_t *minion = &world.minions[index];

	if (minion->http != NULL)
		evhttp_free(minion->http);
	minion->lives++;
	if (!same_id) {
		if (minion->down_since_ms != 0)
			put_text("keyed.servers", minion->id, NULL);
		g_snprintf(minion->id, sizeof(minion->id), "i-%04x%02x%02d",
			   (unsigned)getpid() & 0xffff, (unsigned)index,
			   minion->lives);
	}
	minion->down_since_ms = 0;
	minion->born_wall_ms = world_wall_ms();
	minion->born_ms = world_now_ms();
	minion->token = 0;
	minion->lease_ms = 0;
	minion->sequence = 0;
	minion->ends = 0;
	g_hash_table_remove_all(minion->highest);
	minion->http = listen_at(&minion->port, on_minion, minion);
	minion->up = true;
	world_record("minion %s/%d starts at port %d", minion->id,
		     minion->lives, minion->port);
	write_beat(minion);
}

/* ---- processes of the system ---- */

static int free_port(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int port;

	inet_pton(AF_INET, LOOPBACK, &address.sin_addr);
	if (bind(fd, (struct sockaddr *)&address, size) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &size) != 0)
		exit(2);
	port = ntohs(address.sin_port);
	close(fd);
	return port;
}

static void write_settings(int32_t index)
{
	proc_t *proc = &world.procs[index];
	char *path = g_strdup_printf("%s/node-%d.conf", world.folder, index);
	FILE *file = fopen(path, "w");

	fprintf(file, "node=%s\nrole=entry\nmachineClass=edge\nserves=edge\n",
		proc->node);
	fprintf(file, "ip=" LOOPBACK "\nzone=hall-a\nregion=ga-north\n");
	fprintf(file, "zones.hall-a=ga-north\n");
	fprintf(file, "listen.frontend=" LOOPBACK ":%d\n", proc->ports[0]);
	fprintf(file, "listen.readiness=" LOOPBACK ":%d\n", proc->ports[1]);
	fprintf(file, "listen.control=" LOOPBACK ":%d\n", proc->ports[2]);
	fprintf(file, "internalPorts=%d,%d\n", proc->ports[3],
		proc->ports[3] + 1);
	fprintf(file, "seeds=\nbootstrap=true\nlimits.cpuShare=0.25\n");
	fprintf(file, "limits.cores=1\nlimits.memoryMb=260\n");
	fprintf(file, "limits.maxFds=4100\nlimits.linkMbps=1000.0\n");
	fprintf(file, "discovery=platform\nentry=vip\nheartbeatMs=%d\n",
		(int)world.options.heartbeat_ms);
	fprintf(file, "contracts=base,drain,config,cost,recover,sched,"
		      "platform,advice,upkeep,sharing\n");
	fprintf(file, "bounds.contactMs=3000\nbounds.ackMs=4000\n");
	fprintf(file, "bounds.drainMs=2000\nbounds.graceS=6\n");
	fprintf(file, "bounds.configApplyMs=2000\nbounds.recoverS=12\n");
	fprintf(file, "bounds.holdMaxMs=%d\nbounds.stopMs=200\n",
		(int)world.options.hold_max_ms);
	fprintf(file, "bounds.gangMs=3000\nbounds.cancel_ms=3000\n");
	fprintf(file, "bounds.visible_ms=3000\nbounds.early_ms=250\n");
	fprintf(file, "bounds.finish_s=14\nbounds.status_s=120\n");
	fprintf(file, "bounds.saveS=1\nbounds.restoreMs=100\n");
	fprintf(file, "bounds.noticeMs=4500\nbounds.moveS=1.5\n");
	fprintf(file, "bounds.upkeepS=2\nbounds.fencingRequired=true\n");
	fprintf(file, "bounds.leaseMs=3000\nbounds.thawMs=300\n");
	fprintf(file, "orders=invocation\n");
	fprintf(file, "platform.address=" LOOPBACK ":%d\nplatform.form=log\n",
		world.store_port);
	fprintf(file, "platform.writesPerS=800\nplatform.readsPerS=2000\n");
	fprintf(file, "platform.parts=%d\nplatform.appendMs=3.0\n", PARTS);
	fprintf(file, "platform.recordBytes=262144\n");
	fprintf(file, "platform.callBytes=2097152\nplatform.keep_s=300\n");
	fprintf(file, "platform.ttlMinMs=1000\n");
	fprintf(file, "cloud.address=" LOOPBACK ":%d\ncloud.ratePerS=64.0\n",
		world.cloud_port);
	fprintf(file, "cloud.dutyPerS=64.0\n");
	fclose(file);
	g_setenv("WAXWINGHOLLOW_NODE_FILE", path, TRUE);
	g_free(path);
}

/* As on the platform: the command of the deploy file, in the repository's root. */
void world_start_proc(int32_t index)
{
	proc_t *proc = &world.procs[index];
	char *log = g_strdup_printf("%s/log-%d.txt", world.folder, index);

	write_settings(index);
	proc->starts++;
	proc->pid = fork();
	if (proc->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		dup2(fd, 1);
		dup2(fd, 2);
		for (int other = 3; other < 1024; other++)
			close(other);
		execl("target/waxwinghollow", "target/waxwinghollow", "serve",
		      "--platform", (char *)NULL);
		_exit(127);
	}
	world_record("process %s starts (pid %d)", proc->node, (int)proc->pid);
	g_free(log);
}

void world_signal_proc(int32_t index, int signal)
{
	proc_t *proc = &world.procs[index];

	if (proc->pid == 0)
		return;
	world_record("process %s gets %s", proc->node, strsignal(signal));
	kill(proc->pid, signal);
	if (signal == SIGKILL) {
		waitpid(proc->pid, NULL, 0);
		proc->pid = 0;
	}
}

bool world_proc_is_up(int32_t index)
{
	return world.procs[index].pid != 0;
}

static void reap_procs(void)
{
	for (int32_t i = 0; i < world.options.procs; i++) {
		proc_t *proc = &world.procs[i];
		int status;

		if (proc->pid == 0 || waitpid(proc->pid, &status, WNOHANG) <= 0)
			continue;
		if (WIFSIGNALED(status))
			world_record("process %s ends by signal %d", proc->node,
				     WTERMSIG(status));
		else
			world_record("process %s ends with %d", proc->node,
				     WEXITSTATUS(status));
		proc->pid = 0;
	}
}

/* ---- clients ---- */

static void on_call_answered(struct evhttp_request *request, void *data)
{
	client_t *client = data;
	int32_t status = 0;
	char *body = NULL;

	if (request != NULL) {
		struct evbuffer *input =
			evhttp_request_get_input_buffer(request);

		status = evhttp_request_get_response_code(request);
		body = g_strndup((const char *)evbuffer_pullup(input, -1),
				 evbuffer_get_length(input));
	}
	if (client->what != NULL)
		world_record("client: %s at %s -> %d %s", client->what,
			     world.procs[client->proc].node, status,
			     body == NULL ? "(no answer)" : body);
	if (client->done != NULL)
		client->done(status, body == NULL ? "" : body, client->data);
	g_free(body);
	g_free(client->what);
	g_free(client);
}

void world_call(int32_t index, const char *method, const char *path,
		const char *body, world_answered_t done, void *data)
{
	bool readiness = strcmp(path, "/waxwinghollow/readyz") == 0;
	client_t *client = g_new0(client_t, 1);
	struct evhttp_request *request =
		evhttp_request_new(on_call_answered, client);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
	enum evhttp_cmd_type type = EVHTTP_REQ_GET;
	struct timeval limit = { 4, 0 };

	client->done = done;
	client->data = data;
	client->proc = index;
	if (!readiness)
		client->what = g_strdup_printf("%s %s", method, path);
	client->connection = evhttp_connection_base_new(
		world.base, NULL, LOOPBACK,
		(uint16_t)world.procs[index].ports[readiness ? 1 : 0]);
	evhttp_connection_set_timeout_tv(client->connection, &limit);
	evhttp_connection_free_on_completion(client->connection);
	evhttp_add_header(headers, "Host", WORLD_HOST);
	evhttp_add_header(headers, "Connection", "close");
	evhttp_add_header(headers, "Waxwinghollow-Deadline-Ms", "3000");
	if (body != NULL) {
		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(request), body,
			     strlen(body));
	}
	if (strcmp(method, "POST") == 0)
		type = EVHTTP_REQ_POST;
	else if (strcmp(method, "DELETE") == 0)
		type = EVHTTP_REQ_DELETE;
	evhttp_make_request(client->connection, request, type, path);
}

/* ---- the whole ---- */

static void on_tick(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	(void)data;
	for (int32_t i = 0; i < world.options.minions; i++)
		run_minion(&world.minions[i]);
	serve_readers();
	expire_members();
	reap_procs();
}

void world_init(const world_options_t *options, const char *record_path)
{
	struct timeval tick = { 0, TICK_MS * 1000 };
	const char *temporary = g_get_tmp_dir();

	signal(SIGPIPE, SIG_IGN);
	clock_gettime(CLOCK_MONOTONIC, &world.start);
	world.options = *options;
	world.exit_code = 2;
	world.record = fopen(record_path, "w");
	world.folder = g_strconcat(temporary, "/review-XXXXXX", NULL);
	if (world.record == NULL || g_mkdtemp(world.folder) == NULL)
		exit(2);
	world.base = event_base_new();
	world.parts = g_hash_table_new(g_str_hash, g_str_equal);
	world.members =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world.readers = g_ptr_array_new();
	world.runs = g_ptr_array_new();
	world.generation = 1;
	world.store = listen_at(&world.store_port, on_store, NULL);
	world.cloud = listen_at(&world.cloud_port, on_cloud, NULL);
	put_text("keyed.op", "config",
		 "{\"version\":1,\"routes\":[{\"name\":\"r-desk\",\"host\":"
		 "\"" WORLD_HOST "\",\"pathPrefix\":\"" WORLD_PREFIX
		 "\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
		 "\"targetLatencyMs\":600,\"priority\":0,\"service\":"
		 "\"" WORLD_SERVICE "\",\"maxAttempts\":3,\"stretch\":1.6}],"
		 "\"services\":[{\"name\":\"" WORLD_SERVICE
		 "\",\"enforcesCapacity\":true,\"healthPath\":\"/healthz\"}],"
		 "\"limits\":{\"maxBodyBytes\":262144}}");
	for (int32_t i = 0; i < options->minions; i++) {
		minion_t *minion = &world.minions[i];

		minion->index = i;
		g_snprintf(minion->machine, sizeof(minion->machine), "m-%02d",
			   i);
		minion->active = g_ptr_array_new();
		minion->ended = g_ptr_array_new();
		minion->holders = g_ptr_array_new();
		minion->highest = g_hash_table_new_full(g_str_hash, g_str_equal,
							g_free, g_free);
		world_start_minion(i, false);
	}
	for (int32_t i = 0; i < options->procs; i++) {
		proc_t *proc = &world.procs[i];

		for (int32_t k = 0; k < PROC_PORTS; k++)
			proc->ports[k] = free_port();
		g_snprintf(proc->node, sizeof(proc->node), "edge-hall-a-%d",
			   i + 1);
		g_snprintf(proc->peer, sizeof(proc->peer), LOOPBACK ":%d",
			   proc->ports[3]);
	}
	world.tick = event_new(world.base, -1, EV_PERSIST, on_tick, NULL);
	event_add(world.tick, &tick);
}

void world_run(void)
{
	event_base_dispatch(world.base);
	for (int32_t i = 0; i < world.options.procs; i++) {
		proc_t *proc = &world.procs[i];

		if (proc->pid == 0)
			continue;
		kill(proc->pid, SIGCONT);
		kill(proc->pid, SIGKILL);
		waitpid(proc->pid, NULL, 0);
	}
	if (g_getenv("KEEP_LOGS") != NULL) {
		fprintf(stderr, "logs: %s\n", world.folder);
		return;
	}
	for (int32_t i = 0; i < world.options.procs; i++) {
		char *log = g_strdup_printf("%s/log-%d.txt", world.folder, i);
		char *conf =
			g_strdup_printf("%s/node-%d.conf", world.folder, i);

		(void)unlink(log);
		(void)unlink(conf);
		g_free(log);
		g_free(conf);
	}
	(void)rmdir(world.folder);
}

void world_finish(int32_t exit_code)
{
	world.exit_code = exit_code;
	world_record("exit code %d: %s", exit_code,
		     exit_code == 0   ? "the rule held"
		     : exit_code == 1 ? "the rule was broken"
				      : "the case couldn't run");
	fflush(world.record);
	event_base_loopbreak(world.base);
}

int32_t world_exit_code(void)
{
	return world.exit_code;
}

GPtrArray *world_runs(void)
{
	return world.runs;
}

void world_on_start(void (*observe)(const world_run_t *run))
{
	world.on_start = observe;
}

void world_on_end(void (*observe)(const world_run_t *run))
{
	world.on_end = observe;
}

int32_t world_check_twice(void)
{
	int32_t count = 0;

	for (guint i = 0; i < world.runs->len; i++) {
		const world_run_t *a = g_ptr_array_index(world.runs, i);

		for (guint k = i + 1; k < world.runs->len; k++) {
			const world_run_t *b = g_ptr_array_index(world.runs, k);
			bool overlaps =
				a->how == NULL || b->begun_ms < a->ended_ms;
			bool after_done =
				a->how != NULL && strcmp(a->how, "done") == 0 &&
				b->begun_ms >= a->ended_ms && a->seen_ms != 0;

			if (strcmp(a->task, b->task) != 0 ||
			    (!overlaps && !after_done))
				continue;
			count++;
			world_record(
				"TWICE: %s: run %" G_GINT64_FORMAT
				" on %s (%" G_GINT64_FORMAT
				" to %" G_GINT64_FORMAT
				" ms, %s, taken note of at %" G_GINT64_FORMAT
				"), run %" G_GINT64_FORMAT
				" on %s begins at %" G_GINT64_FORMAT " ms: %s",
				a->task, a->run, a->life, a->begun_ms,
				a->ended_ms, a->how == NULL ? "runs" : a->how,
				a->seen_ms, b->run, b->life, b->begun_ms,
				overlaps ? "both at once"
					 : "after it has ended done");
		}
	}
	return count;
}
