#include "world.h"

#include <arpa/inet.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PROGRAM "target/waxwinghollow"
#define HEARTBEAT_MS 1500
#define HOLD_MAX_MS 10000
#define STOP_MS 300
#define CLOCK_START_MS 1000
#define ENDS_PER_ANSWER 500
#define NEWEST_MAX 500
#define PARTS 16
#define REPETITIONS 5
#define TICK_MS 10
#define FIRST_PORT 20000
#define LAST_PORT 30000
#define CALL_TIMEOUT_S 3
#define RETRY_MS 600
#define PROCESS_PORTS 4
#define GRACE_MS 6000

world_t world;

typedef struct {
	world_step_t step;
	void *data;
	struct event *timer;
	bool repeats;
} timed_t;

typedef struct {
	char *key;
	GBytes *value; /* NULL: the key is dropped */
	int64_t offset;
} record_t;

typedef struct {
	int64_t epoch;
	int64_t sequence;
	char *answers[REPETITIONS];
	int64_t sequences[REPETITIONS];
	int32_t next;
} producer_t;

typedef struct {
	GPtrArray *records;
	GTree *newest;
	GHashTable *producers;
} part_t;

typedef struct {
	struct evhttp_request *request;
	part_t *part;
	int64_t from;
	int64_t until_ms;
	int64_t max_bytes;
} reader_t;

typedef struct {
	struct evhttp_request *request;
	int64_t until_ms;
} poll_t;

typedef struct {
	world_minion_t *minion;
	int32_t life;
	JsonNode *root;
	char *path;
} late_order_t;

typedef struct {
	struct evhttp_connection *connection;
	world_answered_t done;
	void *data;
} call_t;

static FILE *record_file;
static int64_t start_us;
static GHashTable *parts;
static GPtrArray *readers;
static GHashTable *members; /* name to the time when it expires */
static int64_t generation = 1;
static int store_port;
static int machines_port;
static pid_t pids[WORLD_PROCESSES];
static bool is_ending[WORLD_PROCESSES];
static int ports[WORLD_PROCESSES][PROCESS_PORTS];
static char *directory;
static int32_t submitted;

static void serve_minion(struct evhttp_request *request, void *data);

int64_t world_now_ms(void)
{
	return (g_get_monotonic_time() - start_us) / 1000;
}

static void write_line(const char *format, va_list arguments)
{
	int64_t now_ms = world_now_ms();

	fprintf(record_file, "%3d.%03d ", (int)(now_ms / 1000),
		(int)(now_ms % 1000));
	vfprintf(record_file, format, arguments);
	fputc('\n', record_file);
}

void world_record(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	write_line(format, arguments);
	va_end(arguments);
}

void world_break(const char *format, ...)
{
	char *text = g_strconcat("BROKEN ", format, NULL);
	va_list arguments;

	world.broken++;
	va_start(arguments, format);
	write_line(text, arguments);
	va_end(arguments);
	g_free(text);
}

static void on_step(evutil_socket_t fd, short what, void *data)
{
	timed_t *timed = data;

	(void)fd;
	(void)what;
	timed->step(timed->data);
	if (timed->repeats)
		return;
	event_free(timed->timer);
	g_free(timed);
}

static void add_step(int64_t ms, world_step_t step, void *data, bool repeats)
{
	struct timeval wait = { ms / 1000, ms % 1000 * 1000 };
	timed_t *timed = g_new0(timed_t, 1);

	timed->step = step;
	timed->data = data;
	timed->repeats = repeats;
	timed->timer = event_new(world.base, -1, repeats ? EV_PERSIST : 0,
				 on_step, timed);
	event_add(timed->timer, &wait);
}

void world_after(int64_t ms, world_step_t step, void *data)
{
	add_step(ms, step, data, false);
}

void world_every(int64_t ms, world_step_t step, void *data)
{
	add_step(ms, step, data, true);
}

static bool is_free(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok;

	inet_pton(AF_INET, WORLD_LOOPBACK, &address.sin_addr);
	ok = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return ok;
}

static int free_port(void)
{
	static int last;

	if (last == 0)
		last = FIRST_PORT +
		       (int)(getpid() * 37 % (LAST_PORT - FIRST_PORT));
	for (int i = 0; i < LAST_PORT - FIRST_PORT; i++) {
		last = last >= LAST_PORT ? FIRST_PORT : last + 1;
		if (is_free(last))
			return last;
	}
	fprintf(stderr, "no free port\n");
	exit(2);
}

static struct evhttp *
listen_at(int *port, void (*serve)(struct evhttp_request *, void *), void *data)
{
	struct evhttp *http = evhttp_new(world.base);

	if (*port == 0)
		*port = free_port();
	evhttp_set_max_body_size(http, 8 << 20);
	evhttp_set_gencb(http, serve, data);
	if (evhttp_bind_socket(http, WORLD_LOOPBACK, (uint16_t)*port) != 0) {
		fprintf(stderr, "can't listen at port %d\n", *port);
		exit(2);
	}
	return http;
}

static void answer(struct evhttp_request *request, int32_t status,
		   const char *text)
{
	struct evbuffer *body = evbuffer_new();

	evbuffer_add(body, text, strlen(text));
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	evhttp_send_reply(request, status, "-", body);
	evbuffer_free(body);
}

static JsonNode *parse_body(struct evhttp_request *request)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	gssize size = (gssize)evbuffer_get_length(input);
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;

	if (size > 0 &&
	    json_parser_load_from_data(parser,
				       (const char *)evbuffer_pullup(input, -1),
				       size, NULL))
		root = json_parser_steal_root(parser);
	g_object_unref(parser);
	return root;
}

static int64_t number_of(JsonObject *object, const char *name)
{
	return json_object_has_member(object, name)
		       ? json_object_get_int_member(object, name)
		       : 0;
}

/* The store */

static part_t *get_part(const char *topic, const char *number)
{
	char *name = g_strconcat(topic, "/", number, NULL);
	part_t *part = g_hash_table_lookup(parts, name);

	if (part == NULL) {
		part = g_new0(part_t, 1);
		part->records = g_ptr_array_new();
		part->newest = g_tree_new((GCompareFunc)(void *)strcmp);
		part->producers = g_hash_table_new(g_str_hash, g_str_equal);
		g_hash_table_insert(parts, g_strdup(name), part);
	}
	g_free(name);
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

static void answer_read(const reader_t *reader)
{
	const part_t *part = reader->part;
	uint64_t head[2] = { GUINT64_TO_BE(part->records->len), 0 };
	struct evbuffer *body = evbuffer_new();
	int64_t bytes = 0;

	evbuffer_add(body, head, sizeof(head));
	for (guint i = (guint)reader->from;
	     i < part->records->len && bytes < reader->max_bytes; i++) {
		const record_t *record = g_ptr_array_index(part->records, i);
		uint8_t key_size = (uint8_t)strlen(record->key);
		gsize size = 0;
		const void *value =
			record->value == NULL
				? NULL
				: g_bytes_get_data(record->value, &size);
		uint32_t total = GUINT32_TO_BE((uint32_t)(1 + key_size + size));

		evbuffer_add(body, &total, sizeof(total));
		evbuffer_add(body, &key_size, 1);
		evbuffer_add(body, record->key, key_size);
		if (size > 0)
			evbuffer_add(body, value, size);
		bytes += (int64_t)(sizeof(total) + 1 + key_size + size);
	}
	evhttp_send_reply(reader->request, 200, "-", body);
	evbuffer_free(body);
}

static void serve_readers(void *data)
{
	(void)data;
	for (guint i = 0; i < readers->len;) {
		reader_t *reader = g_ptr_array_index(readers, i);

		if ((int64_t)reader->part->records->len <= reader->from &&
		    world_now_ms() < reader->until_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(readers, i);
		answer_read(reader);
		g_free(reader);
	}
}

static void store_put(const char *topic, const char *key, const char *value)
{
	put_record(get_part(topic, "0"), key, value,
		   value == NULL ? 0 : strlen(value));
	serve_readers(NULL);
}

static void serve_newest(struct evhttp_request *request, const part_t *part,
			 const char *after)
{
	GString *text = g_string_new("{\"items\":[");
	GTreeNode *node = after == NULL
				  ? g_tree_node_first(part->newest)
				  : g_tree_upper_bound(part->newest, after);

	for (int32_t i = 0; node != NULL && i < NEWEST_MAX;
	     node = g_tree_node_next(node), i++) {
		const record_t *record = g_tree_node_value(node);
		gsize size;
		const guchar *data = g_bytes_get_data(record->value, &size);
		char *value = g_base64_encode(data, size);

		g_string_append_printf(text,
				       "%s{\"key\":\"%s\",\"value\":\"%s\","
				       "\"offset\":%" G_GINT64_FORMAT "}",
				       i > 0 ? "," : "", record->key, value,
				       record->offset);
		g_free(value);
	}
	g_string_append_printf(text, "],\"truncated\":%s,\"end\":%u}",
			       node != NULL ? "true" : "false",
			       part->records->len);
	answer(request, 200, text->str);
	g_string_free(text, TRUE);
}

/* Of a fenced writer, a repetition or one that is out of order. */
static bool answer_without_append(struct evhttp_request *request,
				  const producer_t *producer, int64_t epoch,
				  int64_t sequence)
{
	char *text;

	if (epoch < producer->epoch) {
		answer(request, 409, "{\"reason\":\"fenced\"}");
		return true;
	}
	if (epoch > producer->epoch)
		return false;
	for (int32_t i = 0; i < REPETITIONS; i++) {
		if (producer->answers[i] == NULL ||
		    producer->sequences[i] != sequence)
			continue;
		answer(request, 200, producer->answers[i]);
		return true;
	}
	if (sequence == producer->sequence + 1)
		return false;
	text = g_strdup_printf(
		"{\"reason\":\"seq\",\"expected\":%" G_GINT64_FORMAT "}",
		producer->sequence + 1);
	answer(request, 409, text);
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
			const char *text)
{
	if (epoch > producer->epoch) {
		for (int32_t i = 0; i < REPETITIONS; i++)
			g_clear_pointer(&producer->answers[i], g_free);
	}
	producer->epoch = epoch;
	producer->sequence = sequence;
	g_free(producer->answers[producer->next]);
	producer->answers[producer->next] = g_strdup(text);
	producer->sequences[producer->next] = sequence;
	producer->next = (producer->next + 1) % REPETITIONS;
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
		put_record(part, key, rest + key_size, length - 1 - key_size);
		if (part == get_part("keyed.status", "0") &&
		    world.hooks.on_wave_state != NULL) {
			char *value = g_strndup(rest + key_size,
						length - 1 - key_size);

			world_record("store: status/%s is %s", key, value);
			world.hooks.on_wave_state(
				g_ascii_strtoll(key + strlen("wave/"), NULL,
						10),
				strstr(value, "completed") != NULL);
			g_free(value);
		}
		g_free(key);
		at += sizeof(length) + length;
	}
}

static void serve_append(struct evhttp_request *request, part_t *part,
			 struct evkeyvalq *query)
{
	const char *name = evhttp_find_header(query, "producer");
	guint first = part->records->len;
	producer_t *producer = NULL;
	int64_t epoch = 0;
	int64_t sequence = 0;
	char *text;

	if (name != NULL) {
		epoch = g_ascii_strtoll(evhttp_find_header(query, "epoch"),
					NULL, 10);
		sequence = g_ascii_strtoll(
			evhttp_find_header(query, "sequence"), NULL, 10);
		producer = get_producer(part, name);
		if (answer_without_append(request, producer, epoch, sequence))
			return;
	}
	append_body(request, part);
	text = g_strdup_printf("{\"offset\":%u,\"end\":%u}", first,
			       part->records->len);
	if (producer != NULL)
		note_append(producer, epoch, sequence, text);
	answer(request, 200, text);
	g_free(text);
	serve_readers(NULL);
}

static void begin_read(struct evhttp_request *request, part_t *part,
		       struct evkeyvalq *query)
{
	const char *wait = evhttp_find_header(query, "waitMs");
	const char *most = evhttp_find_header(query, "maxKb");
	reader_t *reader = g_new0(reader_t, 1);

	reader->request = request;
	reader->part = part;
	reader->from =
		g_ascii_strtoll(evhttp_find_header(query, "from"), NULL, 10);
	reader->until_ms = world_now_ms() +
			   (wait == NULL ? 0 : g_ascii_strtoll(wait, NULL, 10));
	reader->max_bytes =
		1024 * (most == NULL ? 1024 : g_ascii_strtoll(most, NULL, 10));
	g_ptr_array_add(readers, reader);
	serve_readers(NULL);
}

static gboolean is_expired(gpointer name, gpointer until, gpointer data)
{
	(void)name;
	(void)data;
	return world_now_ms() >= *(int64_t *)until;
}

static void serve_join(struct evhttp_request *request)
{
	JsonNode *root = parse_body(request);
	JsonObject *object = json_node_get_object(root);
	const char *name = json_object_get_string_member(object, "member");
	const char *topic = json_array_get_string_element(
		json_object_get_array_member(object, "topics"), 0);
	int64_t *until = g_new(int64_t, 1);
	GString *text = g_string_new(NULL);
	const char *separator = "";
	GList *names;
	guint count;

	generation +=
		g_hash_table_foreach_remove(members, is_expired, NULL) > 0;
	generation += !g_hash_table_contains(members, name);
	*until = world_now_ms() + number_of(object, "ttlMs");
	g_hash_table_replace(members, g_strdup(name), until);
	names = g_list_sort(g_hash_table_get_keys(members),
			    (GCompareFunc)strcmp);
	count = g_list_length(names);
	g_string_printf(text,
			"{\"generation\":%" G_GINT64_FORMAT
			",\"ttlMs\":%" G_GINT64_FORMAT ",\"parts\":[",
			generation, number_of(object, "ttlMs"));
	for (guint i = 0; i < PARTS; i++) {
		if (strcmp(g_list_nth_data(names, i % count), name) != 0)
			continue;
		g_string_append_printf(text, "%s[\"%s\",%u,0]", separator,
				       topic, i);
		separator = ",";
	}
	g_string_append(text, "]}");
	answer(request, 200, text->str);
	g_string_free(text, TRUE);
	g_list_free(names);
	json_node_unref(root);
}

static void serve_leave(struct evhttp_request *request)
{
	JsonNode *root = parse_body(request);

	generation += g_hash_table_remove(
		members, json_object_get_string_member(
				 json_node_get_object(root), "member"));
	answer(request, 200, "{}");
	json_node_unref(root);
}

static void serve_store(struct evhttp_request *request, void *data)
{
	const char *uri = evhttp_request_get_uri(request);
	const char *question = strchr(uri, '?');
	char *path = g_strndup(uri, strcspn(uri, "?"));
	struct evkeyvalq query;
	const char *topic;
	const char *number;

	(void)data;
	evhttp_parse_query_str(question == NULL ? "" : question + 1, &query);
	topic = evhttp_find_header(&query, "topic");
	number = evhttp_find_header(&query, "part");
	if (strcmp(path, "/waxwinghollow/log-join") == 0)
		serve_join(request);
	else if (strcmp(path, "/waxwinghollow/log-leave") == 0)
		serve_leave(request);
	else if (topic == NULL || number == NULL)
		answer(request, 400, "{}");
	else if (strcmp(path, "/waxwinghollow/log-append") == 0)
		serve_append(request, get_part(topic, number), &query);
	else if (strcmp(path, "/waxwinghollow/log-newest") == 0)
		serve_newest(request, get_part(topic, number),
			     evhttp_find_header(&query, "dependsOn"));
	else if (strcmp(path, "/waxwinghollow/log-read") == 0)
		begin_read(request, get_part(topic, number), &query);
	else
		answer(request, 404, "{}");
	evhttp_clear_headers(&query);
	g_free(path);
}

/* The machines: one service, so that none is moved. */

static void start_minion(void *data);
static void stop_minion(world_minion_t *minion);

typedef struct {
	struct evhttp_request *request; /* NULL: nobody is answered */
	world_minion_t *minion;
	int64_t wave;
	int64_t token;
	char *holder;
} upkeep_t;

int32_t world_wave_count_down(int64_t wave)
{
	int32_t count = 0;

	for (int32_t i = 0; i < WORLD_MINIONS; i++)
		count += world.minions[i].in_upkeep &&
			 world.minions[i].wave == wave;
	return count;
}

void world_wave_request(int64_t wave, int32_t max_down, int64_t duration_s)
{
	char *key = g_strdup_printf("wave/%" G_GINT64_FORMAT, wave);
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"wave\":%" G_GINT64_FORMAT ",\"machines\":[",
			wave);
	for (int32_t i = 0; i < WORLD_MINIONS; i++)
		g_string_append_printf(text, "%s\"%s\"", i > 0 ? "," : "",
				       world.minions[i].machine);
	g_string_append_printf(text, "],\"durationS\":%d,\"maxCount\":%d}",
			       (int)duration_s, max_down);
	world_record("operator: %s", text->str);
	store_put("keyed.op", key, text->str);
	g_string_free(text, TRUE);
	g_free(key);
}

static void end_upkeep(void *data)
{
	world_minion_t *minion = data;

	minion->in_upkeep = false;
	minion->wave = 0;
	start_minion(minion);
}

static void answer_upkeep(const upkeep_t *upkeep, int32_t status,
			  const char *reason)
{
	char *text = g_strdup_printf("{\"reason\":\"%s\"}", reason);

	world_record("machines: upkeep of %s for wave %d by %s (token %d) -> "
		     "%d %s%s",
		     upkeep->minion->machine, (int)upkeep->wave, upkeep->holder,
		     (int)upkeep->token, status, reason,
		     upkeep->request == NULL ? ", carried out late" : "");
	if (upkeep->request != NULL)
		answer(upkeep->request, status, status == 200 ? "{}" : text);
	g_free(text);
}

static void carry_out_upkeep(void *data)
{
	upkeep_t *upkeep = data;
	world_minion_t *minion = upkeep->minion;

	if (upkeep->token < minion->duty_token) {
		answer_upkeep(upkeep, 409, "fence");
	} else if (upkeep->wave < 1 || upkeep->wave > WORLD_WAVES) {
		answer_upkeep(upkeep, 409, "wave");
	} else if (minion->begun[upkeep->wave]) {
		minion->duty_token = upkeep->token;
		answer_upkeep(upkeep, 200, "done before");
	} else if (!minion->up) {
		minion->duty_token = upkeep->token;
		answer_upkeep(upkeep, 409, "busy");
	} else {
		minion->duty_token = upkeep->token;
		answer_upkeep(upkeep, 200, "begins");
		world.hooks.on_upkeep(minion, upkeep->wave);
		minion->begun[upkeep->wave] = true;
		minion->in_upkeep = true;
		minion->wave = upkeep->wave;
		stop_minion(minion);
		world_after(WORLD_UPKEEP_MS, end_upkeep, minion);
	}
	g_free(upkeep->holder);
	g_free(upkeep);
}

static void serve_upkeep(struct evhttp_request *request)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
	JsonNode *root = parse_body(request);
	JsonObject *object = json_node_get_object(root);
	const char *machine = json_object_get_string_member(object, "machine");
	upkeep_t *upkeep = g_new0(upkeep_t, 1);
	int64_t delay_ms = 0;

	upkeep->request = request;
	upkeep->wave = number_of(object, "wave");
	upkeep->token = g_ascii_strtoll(
		evhttp_find_header(headers, "Waxwinghollow-Fencing-Token"),
		NULL, 10);
	upkeep->holder = g_strdup(
		evhttp_find_header(headers, "Waxwinghollow-Duty-Holder"));
	for (int32_t i = 0; i < WORLD_MINIONS; i++) {
		if (strcmp(world.minions[i].machine, machine) == 0)
			upkeep->minion = &world.minions[i];
	}
	json_node_unref(root);
	if (world.hooks.delay_upkeep != NULL)
		delay_ms = world.hooks.delay_upkeep(upkeep->minion);
	if (delay_ms == 0) {
		carry_out_upkeep(upkeep);
		return;
	}
	world_record("machines: the upkeep of %s by %s is left unanswered, to "
		     "be carried out in %d ms",
		     upkeep->minion->machine, upkeep->holder, (int)delay_ms);
	upkeep->request = NULL;
	world_after(delay_ms, carry_out_upkeep, upkeep);
}

static void serve_machines(struct evhttp_request *request, void *data)
{
	GString *text;

	(void)data;
	if (strcmp(evhttp_request_get_uri(request),
		   "/waxwinghollow/machine-upkeep") == 0) {
		serve_upkeep(request);
		return;
	}
	text = g_string_new("{\"machines\":[");
	for (int32_t i = 0; i < WORLD_MINIONS; i++) {
		const world_minion_t *minion = &world.minions[i];

		g_string_append_printf(
			text,
			"%s{\"machine\":\"%s\",\"pool\":\"" WORLD_SERVICE
			"\",\"state\":\"%s\",\"zone\":\"hall-a\","
			"\"labels\":[\"a\",\"r1-%d\"],\"capacity\":{"
			"\"cpu\":%d,\"memMb\":131072,\"gpu\":0}",
			i > 0 ? "," : "", minion->machine,
			minion->in_upkeep ? "upkeep"
			: minion->up	  ? "up"
					  : "down",
			i / 4, WORLD_CPU);
		if (minion->up)
			g_string_append_printf(text, ",\"id\":\"%s\"",
					       minion->id);
		g_string_append(text, "}");
	}
	g_string_append(text, "],\"nextToken\":null}");
	answer(request, 200, text->str);
	g_string_free(text, TRUE);
}

/* The minions */

static int64_t clock_of(const world_minion_t *minion)
{
	return world_now_ms() - minion->born_ms + CLOCK_START_MS;
}

static void announce(world_minion_t *minion)
{
	char *text = g_strdup_printf(
		"{\"service\":\"" WORLD_SERVICE
		"\",\"address\":\"" WORLD_LOOPBACK
		":%d\",\"zone\":\"hall-a\",\"version\":\"v1\","
		"\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,"
		"\"capacity\":{\"cpu\":%d,\"memMb\":131072,\"gpu\":0},"
		"\"labels\":[\"a\",\"r1-%d\"],\"clockMs\":%" G_GINT64_FORMAT
		",\"sequence\":%" G_GINT64_FORMAT "}",
		minion->port, WORLD_CPU, minion->index / 4, clock_of(minion),
		++minion->sequence);

	store_put("keyed.servers", minion->id, text);
	minion->next_beat_ms = world_now_ms() + HEARTBEAT_MS;
	minion->entry_until_ms = world_now_ms() + 3 * HEARTBEAT_MS;
	g_free(text);
}

world_job_t *world_job_of(const char *task)
{
	char *id = g_strndup(task, WORLD_ID_CHARS);
	world_job_t *job = g_hash_table_lookup(world.jobs, id);

	g_free(id);
	return job;
}

static void note_highest(world_minion_t *minion, const char *task, int64_t run)
{
	int64_t *highest = g_hash_table_lookup(minion->highest, task);

	if (highest == NULL) {
		highest = g_new0(int64_t, 1);
		g_hash_table_insert(minion->highest, g_strdup(task), highest);
	}
	*highest = MAX(*highest, run);
}

static void end_run(world_minion_t *minion, guint index, const char *how)
{
	world_run_t *run = g_ptr_array_remove_index(minion->active, index);
	world_job_t *job = world_job_of(run->task);

	world_record("minion %s: run %d of %s ends: %s", minion->id,
		     (int)run->run, run->task, how);
	run->how = how;
	run->end_number = ++minion->ends;
	g_ptr_array_add(minion->ended, run);
	note_highest(minion, run->task, run->run);
	if (job != NULL) {
		job->done_ends += strcmp(how, "done") == 0;
		job->failed_ends += strcmp(how, "failed") == 0;
		if (world.hooks.on_ended != NULL)
			world.hooks.on_ended(minion, job, run);
	}
}

static void answer_poll(world_minion_t *minion, struct evhttp_request *request)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"clockMs\":%" G_GINT64_FORMAT ",\"running\":[",
			clock_of(minion));
	for (guint i = 0; i < minion->active->len; i++) {
		const world_run_t *run = g_ptr_array_index(minion->active, i);
		int64_t age_ms = world_now_ms() - run->begun_ms;
		bool lasts = run->due_ms == INT64_MAX;
		int64_t whole_ms =
			lasts ? WORLD_STARTUP_MS : run->due_ms - run->begun_ms;
		int64_t percent =
			MIN(age_ms * 100 / MAX(whole_ms, 1), lasts ? 100 : 99);

		g_string_append_printf(
			text, "%s[\"%s\",%d,\"\",%d,%d]", i > 0 ? "," : "",
			run->task, (int)run->run, (int)percent, (int)run->cpu);
	}
	g_string_append(text, "],\"ended\":[");
	for (guint i = 0; i < MIN(minion->ended->len, ENDS_PER_ANSWER); i++) {
		const world_run_t *run = g_ptr_array_index(minion->ended, i);

		g_string_append_printf(text, "%s[%d,\"%s\",%d,\"%s\",\"\"]",
				       i > 0 ? "," : "", (int)run->end_number,
				       run->task, (int)run->run, run->how);
	}
	g_string_append(text, "]}");
	answer(request, 200, text->str);
	g_string_free(text, TRUE);
}

static void answer_polls(world_minion_t *minion)
{
	for (guint i = 0; i < minion->polls->len;) {
		poll_t *poll = g_ptr_array_index(minion->polls, i);

		if (minion->ended->len == 0 &&
		    world_now_ms() < poll->until_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(minion->polls, i);
		answer_poll(minion, poll->request);
		g_free(poll);
	}
}

static void run_minion(world_minion_t *minion)
{
	int64_t now_ms = world_now_ms();

	if (!minion->up) {
		if (minion->entry_until_ms != 0 &&
		    now_ms >= minion->entry_until_ms) {
			store_put("keyed.servers", minion->id, NULL);
			minion->entry_until_ms = 0;
		}
		return;
	}
	if (now_ms >= minion->next_beat_ms)
		announce(minion);
	for (guint i = 0; i < minion->active->len;) {
		const world_run_t *run = g_ptr_array_index(minion->active, i);

		if (minion->lease_ms != 0 &&
		    clock_of(minion) >= minion->lease_ms)
			end_run(minion, i, "lapsed");
		else if (run->stop_ms != 0 && now_ms >= run->stop_ms)
			end_run(minion, i, "stopped");
		else if (now_ms >= run->due_ms)
			end_run(minion, i, "done");
		else
			i++;
	}
	answer_polls(minion);
}

static void run_minions(void *data)
{
	(void)data;
	for (int32_t i = 0; i < WORLD_MINIONS; i++)
		run_minion(&world.minions[i]);
}

static void start_minion(void *data)
{
	world_minion_t *minion = data;

	if (minion->entry_until_ms != 0)
		store_put("keyed.servers", minion->id, NULL);
	minion->life++;
	g_snprintf(minion->id, sizeof(minion->id), "i-%02x%08x", minion->index,
		   g_rand_int(world.rand));
	g_snprintf(minion->machine, sizeof(minion->machine), "m-%04d",
		   minion->index);
	minion->born_ms = world_now_ms();
	minion->token = 0;
	minion->lease_ms = 0;
	minion->sequence = 0;
	minion->ends = 0;
	minion->active = g_ptr_array_new();
	minion->ended = g_ptr_array_new();
	minion->polls = g_ptr_array_new();
	minion->highest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	minion->http = listen_at(&minion->port, serve_minion, minion);
	minion->up = true;
	world_record("minion %s starts", minion->id);
	announce(minion);
}

/* All that runs on it ends at once. */
static void stop_minion(world_minion_t *minion)
{
	minion->up = false;
	g_ptr_array_set_size(minion->active, 0);
	g_ptr_array_set_size(minion->ended, 0);
	g_ptr_array_set_size(minion->polls, 0);
	g_clear_pointer(&minion->http, evhttp_free);
}

void world_minion_crash(world_minion_t *minion, int64_t down_ms)
{
	world_record("minion %s crashes with %u runs", minion->id,
		     minion->active->len);
	stop_minion(minion);
	world_after(down_ms, start_minion, minion);
}

static world_run_t *find_active(const world_minion_t *minion, const char *task)
{
	for (guint i = 0; i < minion->active->len; i++) {
		world_run_t *run = g_ptr_array_index(minion->active, i);

		if (strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

static int64_t used_cpu(const world_minion_t *minion)
{
	int64_t sum = 0;

	for (guint i = 0; i < minion->active->len; i++)
		sum += ((world_run_t *)g_ptr_array_index(minion->active, i))
			       ->cpu;
	return sum;
}

/* request NULL: nobody is answered */
static void answer_order(const world_minion_t *minion,
			 struct evhttp_request *request, int32_t status,
			 const char *reason)
{
	char *text;

	if (request == NULL)
		return;
	text = g_strdup_printf(
		"{\"clockMs\":%" G_GINT64_FORMAT "%s%s%s}", clock_of(minion),
		reason == NULL ? "" : ",\"reason\":\"",
		reason == NULL ? "" : reason, reason == NULL ? "" : "\"");
	answer(request, status, text);
	g_free(text);
}

static void extend_lease(world_minion_t *minion, JsonObject *object)
{
	int64_t until_ms = MIN(number_of(object, "untilMs"),
			       clock_of(minion) + HOLD_MAX_MS);

	minion->lease_ms = MAX(minion->lease_ms, until_ms);
}

static void begin_run(world_minion_t *minion, const char *task, int64_t number)
{
	world_job_t *job = world_job_of(task);
	world_run_t *run = g_new0(world_run_t, 1);

	run->task = g_strdup(task);
	run->run = number;
	run->cpu = job == NULL ? 0 : job->cpu;
	run->begun_ms = world_now_ms();
	run->due_ms = job == NULL || job->work_ms == 0
			      ? INT64_MAX
			      : run->begun_ms + job->work_ms;
	g_ptr_array_add(minion->active, run);
	world_record("minion %s: run %d of %s begins", minion->id, (int)number,
		     task);
	if (job == NULL)
		return;
	job->starts++;
	if (job->begun_ms == 0)
		job->begun_ms = world_now_ms();
	if (world.hooks.on_begun != NULL)
		world.hooks.on_begun(minion, job, run);
}

static void serve_start(world_minion_t *minion, struct evhttp_request *request,
			JsonObject *object)
{
	const char *task = json_object_get_string_member(object, "task");
	int64_t run = number_of(object, "run");
	const world_run_t *active = find_active(minion, task);
	const int64_t *highest = g_hash_table_lookup(minion->highest, task);
	const world_job_t *job = world_job_of(task);

	if (active != NULL && active->run == run) {
		extend_lease(minion, object);
		answer_order(minion, request, 200, NULL);
	} else if (active != NULL || (highest != NULL && run <= *highest)) {
		extend_lease(minion, object);
		answer_order(minion, request, 409, "old");
	} else if (number_of(object, "untilMs") <= clock_of(minion)) {
		answer_order(minion, request, 409, "late");
	} else if (job != NULL && used_cpu(minion) + job->cpu > WORLD_CPU) {
		extend_lease(minion, object);
		answer_order(minion, request, 409, "room");
	} else {
		extend_lease(minion, object);
		begin_run(minion, task, run);
		answer_order(minion, request, 200, NULL);
	}
}

static void serve_stop(world_minion_t *minion, struct evhttp_request *request,
		       JsonObject *object)
{
	const char *task = json_object_get_string_member(object, "task");
	int64_t run = number_of(object, "run");
	world_run_t *active = find_active(minion, task);

	if (active == NULL) {
		note_highest(minion, task, run);
	} else if (active->run == run && active->stop_ms == 0) {
		active->stop_ms = world_now_ms() + STOP_MS;
		active->stop_was_late = request == NULL;
	}
	answer_order(minion, request, 200, NULL);
}

static void serve_hold(world_minion_t *minion, struct evhttp_request *request,
		       JsonObject *object)
{
	poll_t *poll;

	extend_lease(minion, object);
	for (guint i = 0; i < minion->ended->len;) {
		const world_run_t *run = g_ptr_array_index(minion->ended, i);

		if (run->end_number > number_of(object, "seenUpto"))
			i++;
		else
			g_ptr_array_remove_index(minion->ended, i);
	}
	if (request == NULL)
		return;
	poll = g_new0(poll_t, 1);
	poll->request = request;
	poll->until_ms =
		world_now_ms() + MIN(number_of(object, "waitMs"), 2000);
	g_ptr_array_add(minion->polls, poll);
	answer_polls(minion);
}

/* request NULL: nobody is answered */
static void serve_order(world_minion_t *minion, struct evhttp_request *request,
			const char *path, JsonObject *object)
{
	if (number_of(object, "fencingToken") < minion->token) {
		answer_order(minion, request, 409, "fence");
		return;
	}
	minion->token = number_of(object, "fencingToken");
	if (strcmp(path, "/waxwinghollow/run-start") == 0)
		serve_start(minion, request, object);
	else if (strcmp(path, "/waxwinghollow/run-stop") == 0)
		serve_stop(minion, request, object);
	else if (strcmp(path, "/waxwinghollow/hold") == 0)
		serve_hold(minion, request, object);
	else
		answer_order(minion, request, 200, NULL);
}

static void carry_out_late(void *data)
{
	late_order_t *late = data;

	if (late->minion->up && late->minion->life == late->life)
		serve_order(late->minion, NULL, late->path,
			    json_node_get_object(late->root));
	json_node_unref(late->root);
	g_free(late->path);
	g_free(late);
}

static void defer_order(world_minion_t *minion, const char *path,
			JsonNode *root, int64_t delay_ms)
{
	JsonObject *object = json_node_get_object(root);
	late_order_t *late = g_new0(late_order_t, 1);

	world_record("minion %s leaves %s of %s, run %d, unanswered for %d ms",
		     minion->id, path + strlen("/waxwinghollow/"),
		     json_object_get_string_member(object, "task"),
		     (int)number_of(object, "run"), (int)delay_ms);
	late->minion = minion;
	late->life = minion->life;
	late->root = json_node_ref(root);
	late->path = g_strdup(path);
	world_after(delay_ms, carry_out_late, late);
}

static void serve_minion(struct evhttp_request *request, void *data)
{
	world_minion_t *minion = data;
	const char *path = evhttp_request_get_uri(request);
	const char *expected =
		evhttp_find_header(evhttp_request_get_input_headers(request),
				   "Waxwinghollow-Expect-Instance");
	bool is_hold = strcmp(path, "/waxwinghollow/hold") == 0;
	JsonNode *root = parse_body(request);
	int64_t delay_ms = 0;

	if (root == NULL) {
		answer_order(minion, request, 400, NULL);
		return;
	}
	if (world.hooks.delay_order != NULL && !is_hold)
		delay_ms = world.hooks.delay_order(
			minion,
			json_object_get_string_member(
				json_node_get_object(root), "task"),
			strcmp(path, "/waxwinghollow/run-start") == 0);
	world.orders += world.is_late_time;
	world.late_orders += delay_ms > 0;
	if (expected != NULL && strcmp(expected, minion->id) != 0)
		answer_order(minion, request, 421, NULL);
	else if (delay_ms > 0)
		defer_order(minion, path, root, delay_ms);
	else
		serve_order(minion, request, path, json_node_get_object(root));
	json_node_unref(root);
}

/* The processes of the system */

static char *write_settings(int32_t number)
{
	char *path = g_strdup_printf("%s/edge-%d.conf", directory, number);
	FILE *file = fopen(path, "w");

	if (file == NULL) {
		fprintf(stderr, "can't write %s\n", path);
		exit(2);
	}
	fprintf(file,
		"node=edge-%d\nrole=entry\nmachineClass=edge\nserves=edge\n"
		"ip=" WORLD_LOOPBACK "\nzone=hall-a\nregion=leinster\n"
		"zones.hall-a=leinster\n"
		"listen.frontend=" WORLD_LOOPBACK ":%d\n"
		"listen.readiness=" WORLD_LOOPBACK ":%d\n"
		"listen.control=" WORLD_LOOPBACK ":%d\n"
		"internalPorts=%d,%d\nseeds=\nbootstrap=true\n",
		number, ports[number][0], ports[number][1], ports[number][2],
		ports[number][3], ports[number][3]);
	fprintf(file,
		"limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
		"limits.maxFds=4100\nlimits.linkMbps=1000.0\n"
		"discovery=platform\nentry=vip\nheartbeatMs=%d\n"
		"contracts=base,drain,config,cost,recover,sched,platform,"
		"advice,upkeep,sharing\n"
		"bounds.contactMs=3000\nbounds.ackMs=4000\n"
		"bounds.drainMs=2000\nbounds.graceS=6\n"
		"bounds.configApplyMs=2000\nbounds.recoverS=12\n"
		"bounds.holdMaxMs=%d\nbounds.stopMs=400\nbounds.gangMs=3000\n",
		HEARTBEAT_MS, HOLD_MAX_MS);
	fprintf(file,
		"bounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
		"bounds.early_ms=250\nbounds.finish_s=14\n"
		"bounds.status_s=120\nbounds.saveS=1\nbounds.restoreMs=600\n"
		"bounds.noticeMs=4500\nbounds.moveS=1.5\nbounds.upkeepS=2\n"
		"bounds.fencingRequired=true\nbounds.leaseMs=3000\n"
		"bounds.thawMs=300\nbounds.paceMs=100\nbounds.harmMs=4000\n"
		"orders=invocation\nplatform.form=log\n"
		"platform.address=" WORLD_LOOPBACK ":%d\n"
		"platform.writesPerS=600\nplatform.readsPerS=2000\n"
		"platform.parts=16\nplatform.appendMs=3.0\n"
		"platform.recordBytes=262144\nplatform.callBytes=2097152\n"
		"platform.keep_s=300\nplatform.ttlMinMs=1000\n"
		"cloud.address=" WORLD_LOOPBACK ":%d\ncloud.ratePerS=64.0\n"
		"cloud.dutyPerS=64.0\n",
		store_port, machines_port);
	fclose(file);
	return path;
}

void world_process_start(int32_t number)
{
	char *const arguments[] = { (char *)PROGRAM, (char *)"serve",
				    (char *)"--platform", NULL };
	char *settings = write_settings(number);
	char *log = g_strdup_printf("%s/edge-%d.log", directory, number);
	posix_spawn_file_actions_t files;

	setenv("WAXWINGHOLLOW_NODE_FILE", settings, 1);
	posix_spawn_file_actions_init(&files);
	posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log,
					 O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
	posix_spawn_file_actions_addclosefrom_np(&files, 3);
	if (posix_spawn(&pids[number], PROGRAM, &files, NULL, arguments,
			environ) != 0) {
		fprintf(stderr, "can't start " PROGRAM "\n");
		exit(2);
	}
	posix_spawn_file_actions_destroy(&files);
	is_ending[number] = false;
	world_record("process edge-%d starts", number);
	g_free(settings);
	g_free(log);
}

int32_t world_holder(void)
{
	record_t *record =
		g_tree_lookup(get_part("keyed.wwh", "1")->newest, "holder");
	gsize size = 0;
	char *text = record == NULL
			     ? g_strdup("")
			     : g_strndup(g_bytes_get_data(record->value, &size),
					 g_bytes_get_size(record->value));
	const char *colon = strrchr(text, ':');
	int port = colon == NULL ? 0 : atoi(colon + 1);
	int32_t found = -1;

	for (int32_t i = 0; i < WORLD_PROCESSES; i++) {
		if (ports[i][3] == port)
			found = i;
	}
	g_free(text);
	return found;
}

static void kill_after_grace(void *data)
{
	int32_t number = GPOINTER_TO_INT(data);

	if (pids[number] != 0 && is_ending[number])
		kill(pids[number], SIGKILL);
}

void world_process_signal(int32_t number, int signal)
{
	if (pids[number] == 0)
		return;
	world_record("process edge-%d gets %s", number, strsignal(signal));
	is_ending[number] =
		is_ending[number] || signal == SIGTERM || signal == SIGKILL;
	kill(pids[number], signal);
	if (signal == SIGTERM)
		world_after(GRACE_MS, kill_after_grace,
			    GINT_TO_POINTER(number));
}

static void reap(void *data)
{
	(void)data;
	for (int32_t i = 0; i < WORLD_PROCESSES; i++) {
		int status;

		if (pids[i] == 0 || waitpid(pids[i], &status, WNOHANG) <= 0)
			continue;
		world_record("process edge-%d ended%s", i,
			     is_ending[i] ? "" : " by itself");
		world.unexpected += !is_ending[i];
		pids[i] = 0;
	}
}

/* The client */

static void on_answered(struct evhttp_request *request, void *data)
{
	call_t *call = data;
	int32_t status = 0;
	char *body = NULL;

	if (request != NULL) {
		struct evbuffer *input =
			evhttp_request_get_input_buffer(request);

		status = evhttp_request_get_response_code(request);
		body = g_strndup((const char *)evbuffer_pullup(input, -1),
				 evbuffer_get_length(input));
	}
	call->done(status, body == NULL ? "" : body, call->data);
	g_free(body);
	g_free(call);
}

void world_call(int32_t process, enum evhttp_cmd_type method, const char *path,
		const char *body, world_answered_t done, void *data)
{
	struct timeval limit = { CALL_TIMEOUT_S, 0 };
	struct evhttp_connection *connection = evhttp_connection_base_new(
		world.base, NULL, WORLD_LOOPBACK, (uint16_t)ports[process][0]);
	call_t *call = g_new0(call_t, 1);
	struct evhttp_request *request = evhttp_request_new(on_answered, call);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);

	call->done = done;
	call->data = data;
	evhttp_connection_set_timeout_tv(connection, &limit);
	evhttp_connection_free_on_completion(connection);
	evhttp_add_header(headers, "Host", WORLD_HOST);
	evhttp_add_header(headers, "Connection", "close");
	evhttp_add_header(headers, "Waxwinghollow-Deadline-Ms", "3000");
	if (body != NULL) {
		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(request), body,
			     strlen(body));
	}
	evhttp_make_request(connection, request, method, path);
}

world_job_t *world_job_new(int32_t tasks, int64_t cpu, int64_t work_ms)
{
	world_job_t *job = g_new0(world_job_t, 1);

	g_snprintf(job->id, sizeof(job->id), "%016x", 0xa0000 + submitted++);
	job->cpu = cpu;
	job->work_ms = work_ms;
	job->tasks = tasks;
	job->body = g_strdup_printf(
		"{\"spec\":\"work\",\"phases\":[{\"count\":%d,\"cpu\":%d,"
		"\"memMb\":256,\"estimateMs\":%d}]}",
		tasks, (int)cpu, (int)work_ms);
	g_hash_table_insert(world.jobs, job->id, job);
	return job;
}

world_job_t *world_job_new_lasting(int32_t tasks, int64_t cpu, int32_t may_miss)
{
	world_job_t *job = world_job_new(tasks, cpu, 0);

	g_free(job->body);
	job->body = g_strdup_printf(
		"{\"spec\":\"work\",\"phases\":[{\"count\":%d,\"cpu\":%d,"
		"\"memMb\":256,\"estimateMs\":500,\"longRunning\":true,"
		"\"antiAffinity\":1,\"mayMiss\":%d}]}",
		tasks, (int)cpu, may_miss);
	return job;
}

static void on_cancelled(int32_t status, const char *body, void *data)
{
	world_job_t *job = data;

	(void)body;
	world_record("client: job %s cancelled -> %d", job->id, status);
	if ((status < 200 || status >= 300) && status != 410)
		world_after(RETRY_MS, world_job_cancel, job);
}

void world_job_cancel(void *data)
{
	world_job_t *job = data;
	char *path = g_strconcat(WORLD_PREFIX, job->id, NULL);

	if (job->cancel_sent_ms == 0)
		job->cancel_sent_ms = world_now_ms();
	world_call(job->attempts++ % WORLD_PROCESSES, EVHTTP_REQ_DELETE, path,
		   NULL, on_cancelled, job);
	g_free(path);
}

static void on_submitted(int32_t status, const char *body, void *data)
{
	world_job_t *job = data;

	(void)body;
	world_record("client: job %s handed in -> %d", job->id, status);
	if (status >= 200 && status < 300)
		job->accepted_ms = world_now_ms();
	else
		world_after(RETRY_MS, world_job_submit, job);
}

void world_job_submit(void *data)
{
	world_job_t *job = data;
	char *path = g_strconcat(WORLD_PREFIX, job->id, NULL);

	world_call(job->attempts++ % WORLD_PROCESSES, EVHTTP_REQ_POST, path,
		   job->body, on_submitted, job);
	g_free(path);
}

void world_begin(const char *record_path, const world_hooks_t *hooks)
{
	const char *trouble = getenv("TROUBLE");

	signal(SIGPIPE, SIG_IGN);
	start_us = g_get_monotonic_time();
	record_file = fopen(record_path, "w");
	directory = g_dir_make_tmp("review-XXXXXX", NULL);
	if (record_file == NULL || directory == NULL) {
		fprintf(stderr, "can't write the record\n");
		exit(2);
	}
	world.base = event_base_new();
	world.rand = g_rand_new();
	world.hooks = *hooks;
	world.trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	world.jobs = g_hash_table_new(g_str_hash, g_str_equal);
	parts = g_hash_table_new(g_str_hash, g_str_equal);
	readers = g_ptr_array_new();
	members =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	(void)listen_at(&store_port, serve_store, NULL);
	(void)listen_at(&machines_port, serve_machines, NULL);
	store_put("keyed.op", "config",
		  "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":"
		  "\"" WORLD_HOST "\",\"pathPrefix\":\"" WORLD_PREFIX
		  "\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
		  "\"targetLatencyMs\":600,\"priority\":0,\"service\":"
		  "\"" WORLD_SERVICE "\",\"maxAttempts\":4,\"stretch\":1.6}],"
		  "\"services\":[{\"name\":\"" WORLD_SERVICE "\","
		  "\"enforcesCapacity\":true,\"standby\":false}],"
		  "\"limits\":{\"maxBodyBytes\":262144}}");
	for (int32_t i = 0; i < WORLD_MINIONS; i++) {
		world.minions[i].index = i;
		start_minion(&world.minions[i]);
	}
	world_every(TICK_MS, serve_readers, NULL);
	world_every(TICK_MS, run_minions, NULL);
	for (int32_t i = 0; i < WORLD_PROCESSES; i++) {
		for (int32_t k = 0; k < PROCESS_PORTS; k++)
			ports[i][k] = free_port();
	}
	for (int32_t i = 0; i < WORLD_PROCESSES; i++)
		world_process_start(i);
	world_every(TICK_MS, reap, NULL);
}

void world_run(int64_t ms)
{
	struct timeval limit = { ms / 1000, ms % 1000 * 1000 };

	event_base_loopexit(world.base, &limit);
	event_base_dispatch(world.base);
}

void world_end(void)
{
	for (int32_t i = 0; i < WORLD_PROCESSES; i++) {
		char *settings =
			g_strdup_printf("%s/edge-%d.conf", directory, i);
		char *log = g_strdup_printf("%s/edge-%d.log", directory, i);

		if (pids[i] != 0) {
			kill(pids[i], SIGKILL);
			waitpid(pids[i], NULL, 0);
		}
		unlink(settings);
		if (getenv("KEEP_LOGS") == NULL)
			unlink(log);
		g_free(settings);
		g_free(log);
	}
	if (getenv("KEEP_LOGS") == NULL)
		rmdir(directory);
	else
		fprintf(stderr, "logs: %s\n", directory);
	fclose(record_file);
}
