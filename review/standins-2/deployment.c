#define _GNU_SOURCE
#include "deployment.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define LOOPBACK "127.0.0.1"
#define PROGRAM "target/waxwinghollow"
#define PARTS 16
#define PAGE_RECORDS 500
#define ENDS_PER_ANSWER 500
#define APPEND_MS 3
#define STARTUP_MS 400
#define TICK_MS 20
#define EARLIER_RESULTS 5
#define MINION_CLOCK_AHEAD_MS 400000

extern char **environ;

typedef struct {
	char *key; /* NULL: the topic has no keys */
	GBytes *bytes; /* as they are read */
} record_t;

typedef struct {
	int64_t epoch;
	int64_t sequence;
	int64_t offsets[EARLIER_RESULTS];
	int64_t sequences[EARLIER_RESULTS];
	int32_t next;
} producer_t;

typedef struct {
	char *name;
	GPtrArray *records; /* of record_t */
	GHashTable *newest; /* key to index + 1; keyed topics */
	GHashTable *producers;
} part_t;

/* A request whose answer waits. */
typedef struct {
	struct evhttp_request *request;
	struct event *timer;
	part_t *part; /* of a read; NULL: not one */
	int64_t from;
	int32_t minion; /* of a poll; -1: not one */
	int32_t status;
	char *text;
	bool over;
} held_t;

typedef struct {
	char *name;
	int64_t ttl_ms;
	int64_t seen_ms;
} member_t;

typedef struct {
	char node[32];
	char peer[32];
	int ports[4];
	pid_t pid;
	bool killed;
	char *settings;
	char *log;
} proc_t;

typedef struct {
	int32_t index;
	int32_t lives;
	char id[32];
	char machine[16];
	char rack[16];
	int port;
	bool up;
	bool sheds;
	int32_t shed; /* starts that were answered so */
	bool keeps_id; /* as it starts again */
	int64_t born_ms; /* Unix time */
	int64_t clock_ahead_ms;
	int64_t token;
	int64_t lease_ms; /* on its clock */
	int64_t sequence;
	int64_t next_beat_ms;
	int64_t ends;
	GPtrArray *runs; /* of dep_run_t that run */
	GPtrArray *ended; /* of dep_run_t that are listed */
	GHashTable *highest; /* task to the highest run that is over */
	int64_t duty_token;
	int64_t back_ms; /* after a crash; 0: none */
	int64_t upkeep_until_ms; /* 0: none */
	int64_t upkeep_done; /* the wave for which it was done */
} minion_t;

typedef struct {
	dep_answered_t done;
	void *data;
	struct evhttp_connection *connection;
	char *what;
} client_call_t;

static struct event_base *base;
static FILE *record_file;
static char *directory;
static int64_t start_us;
static int32_t exit_code;
static int32_t own_ends;
static int32_t oversized;
static dep_options_t options;
static proc_t procs[DEP_MAX_PROCS];
static minion_t minions[DEP_MAX_MINIONS];
static GHashTable *parts;
static GList *held;
static GPtrArray *runs;
static GHashTable *jobs; /* id to JsonNode, as clients have sent them */
static GPtrArray *members;
static int64_t generation = 1;
static int64_t operator_offset;
static int store_port;
static int cloud_port;
static int64_t wave_number;
static char *wave_machines;
static dep_delay_start_t delay_start;
static dep_delay_upkeep_t delay_upkeep;
static void (*observe_upkeep)(int32_t, int64_t, int32_t);

static void answer_polls(minion_t *minion);

int64_t dep_now_ms(void)
{
	return (g_get_monotonic_time() - start_us) / 1000;
}

int64_t dep_wall_ms(void)
{
	return g_get_real_time() / 1000;
}

void dep_record(const char *format, ...)
{
	va_list arguments;

	fprintf(record_file, "%8.3f s  ", (double)dep_now_ms() / 1000);
	va_start(arguments, format);
	vfprintf(record_file, format, arguments);
	va_end(arguments);
	fputc('\n', record_file);
	fflush(record_file);
}

bool dep_has_trouble(void)
{
	return g_strcmp0(getenv("TROUBLE"), "0") != 0;
}

typedef struct {
	dep_step_t step;
	void *data;
	struct event *timer;
} later_t;

static void on_later(evutil_socket_t fd, short what, void *data)
{
	later_t *later = data;

	(void)fd;
	(void)what;
	event_free(later->timer);
	later->step(later->data);
	g_free(later);
}

void dep_after(int64_t ms, dep_step_t step, void *data)
{
	struct timeval wait = { .tv_sec = ms / 1000,
				.tv_usec = ms % 1000 * 1000 };
	later_t *later = g_new0(later_t, 1);

	later->step = step;
	later->data = data;
	later->timer = evtimer_new(base, on_later, later);
	evtimer_add(later->timer, &wait);
}

/* HTTP */

static int free_port(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int port;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &size) != 0)
		exit(2);
	port = ntohs(address.sin_port);
	close(fd);
	return port;
}

static int serve(void (*handler)(struct evhttp_request *, void *), void *data)
{
	struct evhttp *http = evhttp_new(base);
	struct evhttp_bound_socket *bound;
	struct sockaddr_in address;
	socklen_t size = sizeof(address);

	evhttp_set_max_body_size(http, 16 * 1024 * 1024);
	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
	evhttp_set_gencb(http, handler, data);
	bound = evhttp_bind_socket_with_handle(http, LOOPBACK, 0);
	if (bound == NULL)
		exit(2);
	getsockname(evhttp_bound_socket_get_fd(bound),
		    (struct sockaddr *)&address, &size);
	return ntohs(address.sin_port);
}

static void reply_bytes(struct evhttp_request *request, int32_t status,
			const void *bytes, size_t size)
{
	struct evbuffer *body = evbuffer_new();

	evbuffer_add(body, bytes, size);
	evhttp_send_reply(request, status, NULL, body);
	evbuffer_free(body);
}

static void reply(struct evhttp_request *request, int32_t status,
		  const char *text)
{
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	reply_bytes(request, status, text, strlen(text));
}

static void held_free(held_t *item)
{
	held = g_list_remove(held, item);
	if (item->timer != NULL)
		event_free(item->timer);
	g_free(item->text);
	g_free(item);
}

static void on_held_closed(struct evhttp_connection *connection, void *data)
{
	(void)connection;
	held_free(data);
}

static struct evhttp_request *held_take(held_t *item)
{
	struct evhttp_request *request = item->request;

	evhttp_connection_set_closecb(evhttp_request_get_connection(request),
				      NULL, NULL);
	return request;
}

static void on_held_due(evutil_socket_t fd, short what, void *data);

static held_t *hold(struct evhttp_request *request, int64_t ms)
{
	struct timeval wait = { .tv_sec = ms / 1000,
				.tv_usec = ms % 1000 * 1000 };
	held_t *item = g_new0(held_t, 1);

	item->request = request;
	item->minion = -1;
	item->timer = evtimer_new(base, on_held_due, item);
	evtimer_add(item->timer, &wait);
	evhttp_connection_set_closecb(evhttp_request_get_connection(request),
				      on_held_closed, item);
	held = g_list_prepend(held, item);
	return item;
}

static void reply_after(struct evhttp_request *request, int32_t status,
			const char *text, int64_t ms)
{
	held_t *item = hold(request, ms);

	item->status = status;
	item->text = g_strdup(text);
}

static JsonNode *parse(const char *text, size_t size)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;

	if (json_parser_load_from_data(parser, text, (gssize)size, NULL))
		root = json_node_copy(json_parser_get_root(parser));
	g_object_unref(parser);
	return root;
}

static JsonNode *parse_body(struct evhttp_request *request)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(request);
	size_t size = evbuffer_get_length(body);

	return size == 0 ? NULL
			 : parse((char *)evbuffer_pullup(body, -1), size);
}

static int64_t number_of(JsonObject *object, const char *name, int64_t fallback)
{
	return json_object_has_member(object, name)
		       ? json_object_get_int_member(object, name)
		       : fallback;
}

/* The platform's store */

static part_t *get_part(const char *topic, int64_t number)
{
	char *name = g_strdup_printf("%s/%" PRId64, topic, number);
	part_t *part = g_hash_table_lookup(parts, name);

	if (part != NULL) {
		g_free(name);
		return part;
	}
	part = g_new0(part_t, 1);
	part->name = name;
	part->records = g_ptr_array_new();
	if (g_str_has_prefix(topic, "keyed."))
		part->newest = g_hash_table_new(g_str_hash, g_str_equal);
	part->producers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(parts, name, part);
	return part;
}

static void add_record(part_t *part, const uint8_t *bytes, uint32_t size)
{
	record_t *record = g_new0(record_t, 1);

	record->bytes = g_bytes_new(bytes, size);
	if (part->newest != NULL) {
		record->key = g_strndup((const char *)bytes + 1, bytes[0]);
		g_hash_table_replace(part->newest, record->key,
				     GUINT_TO_POINTER(part->records->len + 1));
	}
	g_ptr_array_add(part->records, record);
}

static void put_number(GByteArray *out, uint64_t number, int32_t bytes)
{
	for (int32_t i = bytes - 1; i >= 0; i--) {
		uint8_t byte = (uint8_t)(number >> (8 * i));

		g_byte_array_append(out, &byte, 1);
	}
}

static void reply_read(struct evhttp_request *request, const part_t *part,
		       int64_t from)
{
	const size_t most = 1024 * 1024;
	GByteArray *out = g_byte_array_new();

	put_number(out, part->records->len, 8);
	put_number(out, 0, 8);
	for (guint i = (guint)from; i < part->records->len && out->len < most;
	     i++) {
		const record_t *record = g_ptr_array_index(part->records, i);
		gsize size;
		const uint8_t *bytes = g_bytes_get_data(record->bytes, &size);

		put_number(out, size, 4);
		g_byte_array_append(out, bytes, (guint)size);
	}
	reply_bytes(request, 200, out->data, out->len);
	g_byte_array_unref(out);
}

static void answer_reads(const part_t *part)
{
	GList *at = held;

	while (at != NULL) {
		held_t *item = at->data;

		at = at->next;
		if (item->part != part || item->from >= part->records->len)
			continue;
		reply_read(held_take(item), part, item->from);
		held_free(item);
	}
}

static void keyed_put(const char *topic, const char *key, const char *value)
{
	part_t *part = get_part(topic, 0);
	GByteArray *bytes = g_byte_array_new();
	uint8_t size = (uint8_t)strlen(key);

	g_byte_array_append(bytes, &size, 1);
	g_byte_array_append(bytes, (const guint8 *)key, size);
	if (value != NULL)
		g_byte_array_append(bytes, (const guint8 *)value,
				    (guint)strlen(value));
	add_record(part, bytes->data, bytes->len);
	g_byte_array_unref(bytes);
	answer_reads(part);
}

void dep_operator_put(const char *key, const char *value)
{
	JsonNode *root;
	JsonObject *object;

	dep_record("the operator writes op/%s: %.200s", key, value);
	if (g_str_has_prefix(key, "wave/")) {
		root = parse(value, strlen(value));
		object = json_node_get_object(root);
		wave_number = number_of(object, "wave", 0);
		wave_machines = g_strdup(value);
		json_node_unref(root);
	}
	keyed_put("keyed.op", key, value);
	operator_offset++;
}

int32_t dep_oversized_appends(void)
{
	return oversized;
}

/* Returns false if the body isn't a list of records that are small enough. */
static bool check_records(const uint8_t *bytes, size_t size, bool keyed,
			  int32_t *count, uint32_t *largest)
{
	*count = 0;
	*largest = 0;
	while (size > 0) {
		uint32_t length;

		if (size < 4)
			return false;
		memcpy(&length, bytes, 4);
		length = ntohl(length);
		if (length > size - 4 ||
		    (keyed && (length < 1 || bytes[4] > length - 1)))
			return false;
		*largest = MAX(*largest, length);
		bytes += 4 + length;
		size -= 4 + length;
		(*count)++;
	}
	return true;
}

static void append(struct evhttp_request *request, struct evkeyvalq *query)
{
	const char *topic = evhttp_find_header(query, "topic");
	const char *number = evhttp_find_header(query, "part");
	const char *name = evhttp_find_header(query, "producer");
	const char *at = evhttp_find_header(query, "at");
	struct evbuffer *body = evhttp_request_get_input_buffer(request);
	size_t size = evbuffer_get_length(body);
	const uint8_t *bytes = evbuffer_pullup(body, -1);
	producer_t *producer = NULL;
	int64_t epoch = 0;
	int64_t sequence = 0;
	char text[128];
	int32_t count;
	uint32_t largest;
	int64_t offset;
	part_t *part;

	if (topic == NULL || number == NULL) {
		reply(request, 400, "{}");
		return;
	}
	if (strcmp(topic, "keyed.op") == 0 ||
	    strcmp(topic, "keyed.servers") == 0) {
		reply(request, 403, "{}");
		return;
	}
	part = get_part(topic, g_ascii_strtoll(number, NULL, 10));
	if (!check_records(bytes, size, part->newest != NULL, &count,
			   &largest)) {
		reply(request, 400, "{\"reason\":\"records\"}");
		return;
	}
	/* at most recordBytes a record, and callBytes a call */
	if (largest > DEP_RECORD_BYTES || size > DEP_CALL_BYTES) {
		if (oversized++ < 10)
			dep_record("the store rejects an append to %s: a "
				   "record of %u bytes",
				   part->name, largest);
		reply(request, 413, "{\"reason\":\"size\"}");
		return;
	}
	offset = part->records->len;
	if (at != NULL && g_ascii_strtoll(at, NULL, 10) != offset) {
		g_snprintf(text, sizeof(text), "{\"end\":%" PRId64 "}", offset);
		reply(request, 412, text);
		return;
	}
	if (name != NULL) {
		const char *epoch_text = evhttp_find_header(query, "epoch");
		const char *seq_text = evhttp_find_header(query, "sequence");

		epoch = epoch_text == NULL
				? 0
				: g_ascii_strtoll(epoch_text, NULL, 10);
		sequence = seq_text == NULL
				   ? 0
				   : g_ascii_strtoll(seq_text, NULL, 10);
		producer = g_hash_table_lookup(part->producers, name);
		if (producer == NULL) {
			producer = g_new0(producer_t, 1);
			producer->epoch = -1;
			g_hash_table_insert(part->producers, g_strdup(name),
					    producer);
		}
		if (epoch < producer->epoch) {
			reply(request, 409, "{\"reason\":\"fenced\"}");
			return;
		}
		if (epoch == producer->epoch) {
			for (int32_t i = 0; i < EARLIER_RESULTS; i++) {
				if (producer->sequences[i] != sequence)
					continue;
				g_snprintf(text, sizeof(text),
					   "{\"offset\":%" PRId64
					   ",\"end\":%" PRId64 "}",
					   producer->offsets[i], offset);
				reply_after(request, 200, text, APPEND_MS);
				return;
			}
			if (size > 0 && sequence != producer->sequence + 1) {
				g_snprintf(text, sizeof(text),
					   "{\"reason\":\"seq\",\"sequence\":"
					   "%" PRId64 "}",
					   producer->sequence + 1);
				reply(request, 409, text);
				return;
			}
		} else {
			producer->epoch = epoch;
			for (int32_t i = 0; i < EARLIER_RESULTS; i++)
				producer->sequences[i] = -1;
		}
		if (size > 0) {
			producer->sequence = sequence;
			producer->sequences[producer->next] = sequence;
			producer->offsets[producer->next] = offset;
			producer->next = (producer->next + 1) % EARLIER_RESULTS;
		}
	}
	while (size > 0) {
		uint32_t length;

		memcpy(&length, bytes, 4);
		length = ntohl(length);
		add_record(part, bytes + 4, length);
		bytes += 4 + length;
		size -= 4 + length;
	}
	g_snprintf(text, sizeof(text), "{\"offset\":%" PRId64 ",\"end\":%u}",
		   offset, part->records->len);
	reply_after(request, 200, text, APPEND_MS);
	answer_reads(part);
}

static void read_log(struct evhttp_request *request, struct evkeyvalq *query)
{
	const char *topic = evhttp_find_header(query, "topic");
	const char *number = evhttp_find_header(query, "part");
	const char *from_text = evhttp_find_header(query, "from");
	const char *wait_text = evhttp_find_header(query, "waitMs");
	int64_t from =
		from_text == NULL ? 0 : g_ascii_strtoll(from_text, NULL, 10);
	int64_t wait =
		wait_text == NULL ? 0 : g_ascii_strtoll(wait_text, NULL, 10);
	held_t *item;
	part_t *part;

	if (topic == NULL || number == NULL || from < 0) {
		reply(request, 400, "{}");
		return;
	}
	part = get_part(topic, g_ascii_strtoll(number, NULL, 10));
	if (from < part->records->len || wait <= 0) {
		reply_read(request, part, MIN(from, part->records->len));
		return;
	}
	item = hold(request, MIN(wait, 30000));
	item->part = part;
	item->from = from;
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static void read_newest(struct evhttp_request *request, struct evkeyvalq *query)
{
	const char *topic = evhttp_find_header(query, "topic");
	const char *number = evhttp_find_header(query, "part");
	const char *after = evhttp_find_header(query, "dependsOn");
	GString *out = g_string_new("{\"items\":[");
	bool truncated = false;
	int32_t count = 0;
	GList *keys;
	part_t *part;

	if (topic == NULL || number == NULL) {
		g_string_free(out, TRUE);
		reply(request, 400, "{}");
		return;
	}
	part = get_part(topic, g_ascii_strtoll(number, NULL, 10));
	keys = part->newest == NULL ? NULL
				    : g_hash_table_get_keys(part->newest);
	keys = g_list_sort(keys, compare_keys);
	for (GList *at = keys; at != NULL; at = at->next) {
		guint index = GPOINTER_TO_UINT(g_hash_table_lookup(part->newest,
								   at->data)) -
			      1;
		const record_t *record =
			g_ptr_array_index(part->records, index);
		gsize size;
		const uint8_t *bytes = g_bytes_get_data(record->bytes, &size);
		size_t head = 1 + (size_t)bytes[0];
		char *value;

		if (size == head ||
		    (after != NULL && strcmp(at->data, after) <= 0))
			continue;
		if (count == PAGE_RECORDS || out->len > 1024 * 1024) {
			truncated = true;
			break;
		}
		value = g_base64_encode(bytes + head, size - head);
		g_string_append_printf(
			out,
			"%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%u}",
			count == 0 ? "" : ",", (const char *)at->data, value,
			index);
		g_free(value);
		count++;
	}
	g_list_free(keys);
	g_string_append_printf(out, "],\"truncated\":%s,\"end\":%u}",
			       truncated ? "true" : "false",
			       part->records->len);
	reply(request, 200, out->str);
	g_string_free(out, TRUE);
}

/* Partition i belongs to the member i modulo their number. */
static void drop_silent_members(void)
{
	for (guint i = members->len; i > 0; i--) {
		member_t *member = g_ptr_array_index(members, i - 1);

		if (dep_now_ms() - member->seen_ms <= member->ttl_ms)
			continue;
		g_free(member->name);
		g_free(member);
		g_ptr_array_remove_index(members, i - 1);
		generation++;
	}
}

static member_t *find_member(const char *name)
{
	for (guint i = 0; i < members->len; i++) {
		member_t *member = g_ptr_array_index(members, i);

		if (strcmp(member->name, name) == 0)
			return member;
	}
	return NULL;
}

static void join_group(struct evhttp_request *request)
{
	JsonNode *root = parse_body(request);
	JsonObject *object = json_node_get_object(root);
	const char *name = json_object_get_string_member(object, "member");
	const char *topic = json_array_get_string_element(
		json_object_get_array_member(object, "topics"), 0);
	member_t *member;
	GString *out;
	bool first = true;

	drop_silent_members();
	member = find_member(name);
	if (member == NULL) {
		member = g_new0(member_t, 1);
		member->name = g_strdup(name);
		g_ptr_array_add(members, member);
		generation++;
	}
	member->ttl_ms = number_of(object, "ttlMs", 1000);
	member->seen_ms = dep_now_ms();
	out = g_string_new(NULL);
	g_string_printf(out,
			"{\"generation\":%" PRId64 ",\"ttlMs\":%" PRId64
			",\"parts\":[",
			generation, member->ttl_ms);
	for (guint i = 0; i < PARTS; i++) {
		if (g_ptr_array_index(members, i % members->len) != member)
			continue;
		g_string_append_printf(out, "%s[\"%s\",%u,0]", first ? "" : ",",
				       topic, i);
		first = false;
	}
	g_string_append(out, "]}");
	reply(request, 200, out->str);
	g_string_free(out, TRUE);
	json_node_unref(root);
}

static void leave_group(struct evhttp_request *request)
{
	JsonNode *root = parse_body(request);
	member_t *member = find_member(json_object_get_string_member(
		json_node_get_object(root), "member"));

	if (member != NULL) {
		g_ptr_array_remove(members, member);
		g_free(member->name);
		g_free(member);
		generation++;
	}
	json_node_unref(root);
	reply(request, 200, "{}");
}

static void serve_store(struct evhttp_request *request, void *data)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	const char *path = evhttp_uri_get_path(uri);
	const char *text = evhttp_uri_get_query(uri);
	struct evkeyvalq query = { 0 };

	(void)data;
	evhttp_parse_query_str(text == NULL ? "" : text, &query);
	if (strcmp(path, "/waxwinghollow/log-append") == 0)
		append(request, &query);
	else if (strcmp(path, "/waxwinghollow/log-read") == 0)
		read_log(request, &query);
	else if (strcmp(path, "/waxwinghollow/log-newest") == 0)
		read_newest(request, &query);
	else if (strcmp(path, "/waxwinghollow/log-join") == 0)
		join_group(request);
	else if (strcmp(path, "/waxwinghollow/log-leave") == 0)
		leave_group(request);
	else if (strcmp(path, "/waxwinghollow/log-trim") == 0)
		reply(request, 200, "{}");
	else
		reply(request, 404, "{}");
	evhttp_clear_headers(&query);
}

int32_t dep_holder(void)
{
	part_t *part = get_part("keyed.wwh", 1);
	const record_t *record;
	guint index;
	gsize size;
	const char *bytes;
	char *text;
	int32_t holder = -1;

	index = GPOINTER_TO_UINT(g_hash_table_lookup(part->newest, "holder"));
	if (index == 0)
		return -1;
	record = g_ptr_array_index(part->records, index - 1);
	bytes = g_bytes_get_data(record->bytes, &size);
	text = g_strndup(bytes + 1 + bytes[0], size - 1 - (gsize)bytes[0]);
	for (int32_t i = 0; i < options.procs; i++) {
		if (g_str_has_suffix(text, procs[i].peer))
			holder = i;
	}
	g_free(text);
	return holder;
}

/* Minions */

/* Its own steady clock, which starts anew with each life under the same id. */
static int64_t clock_ms(const minion_t *minion)
{
	return dep_now_ms() + minion->clock_ahead_ms;
}

const char *dep_rack(int32_t minion)
{
	return minions[minion].rack;
}

const char *dep_machine(int32_t minion)
{
	return minions[minion].machine;
}

void dep_set_shedding(int32_t number, bool sheds)
{
	minion_t *minion = &minions[number];

	minion->sheds = sheds;
	if (sheds)
		dep_record("minion %s answers starts with 503 from now on",
			   minion->id);
	else
		dep_record("minion %s is sound again; it has answered %d "
			   "starts with 503",
			   minion->id, minion->shed);
}

GPtrArray *dep_runs(void)
{
	return runs;
}

int32_t dep_running(void)
{
	int32_t count = 0;

	for (int32_t i = 0; i < options.minions; i++)
		count += (int32_t)minions[i].runs->len;
	return count;
}

int32_t dep_running_of(const char *job)
{
	int32_t count = 0;

	for (int32_t i = 0; i < options.minions; i++) {
		for (guint k = 0; k < minions[i].runs->len; k++) {
			const dep_run_t *run =
				g_ptr_array_index(minions[i].runs, k);

			count += strcmp(run->job, job) == 0;
		}
	}
	return count;
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

static void end_run(minion_t *minion, dep_run_t *run, const char *how,
		    bool listed)
{
	run->ended_ms = dep_now_ms();
	run->how = how;
	note_highest(minion, run->task, run->run);
	g_ptr_array_remove(minion->runs, run);
	if (!listed)
		return;
	run->end_number = ++minion->ends;
	g_ptr_array_add(minion->ended, run);
}

/* Only some deployments have minions that start again under their id. */
static char *born_field(const minion_t *minion)
{
	return options.tells_born
		       ? g_strdup_printf(",\"born\":%" PRId64, minion->born_ms)
		       : g_strdup("");
}

static void beat(minion_t *minion)
{
	char *born = born_field(minion);
	char *text = g_strdup_printf(
		"{\"service\":\"" DEP_SERVICE "\",\"address\":\"" LOOPBACK
		":%d\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":%d,"
		"\"memMb\":%d,\"gpu\":0},\"labels\":[\"a\",\"%s\"],"
		"\"clockMs\":%" PRId64 ",\"sequence\":%" PRId64 "%s}",
		minion->port, DEP_MINION_CPU, DEP_MINION_MB, minion->rack,
		clock_ms(minion), ++minion->sequence, born);

	keyed_put("keyed.servers", minion->id, text);
	minion->next_beat_ms = dep_now_ms() + DEP_HEARTBEAT_MS;
	g_free(born);
	g_free(text);
}

static void begin_life(minion_t *minion)
{
	minion->lives++;
	minion->clock_ahead_ms = MINION_CLOCK_AHEAD_MS;
	if (minion->keeps_id)
		minion->clock_ahead_ms = -dep_now_ms();
	else
		g_snprintf(minion->id, sizeof(minion->id), "i-%04x%04x",
			   0x7f30 + minion->index, 0x1000 + minion->lives);
	minion->keeps_id = false;
	minion->born_ms = dep_wall_ms();
	minion->up = true;
	minion->token = 0;
	minion->lease_ms = 0;
	minion->sequence = 0;
	minion->ends = 0;
	g_ptr_array_set_size(minion->runs, 0);
	g_ptr_array_set_size(minion->ended, 0);
	g_hash_table_remove_all(minion->highest);
	beat(minion);
}

/* A minion that has ended answers nothing any more. */
static void drop_polls(const minion_t *minion)
{
	GList *at = held;

	while (at != NULL) {
		held_t *item = at->data;
		struct evhttp_connection *connection;

		at = at->next;
		if (item->minion != minion->index)
			continue;
		connection = evhttp_request_get_connection(held_take(item));
		held_free(item);
		evhttp_connection_free(connection);
	}
}

/* All that runs there ends at once. */
static void end_life(minion_t *minion)
{
	drop_polls(minion);
	while (minion->runs->len > 0)
		end_run(minion, g_ptr_array_index(minion->runs, 0), "gone",
			false);
	minion->up = false;
}

void dep_fail_run(dep_run_t *run)
{
	minion_t *minion = &minions[run->minion];

	end_run(minion, run, "failed", true);
	answer_polls(minion);
}

static void remove_entry(void *data)
{
	char *id = data;

	keyed_put("keyed.servers", id, NULL);
	g_free(id);
}

void dep_crash_minion(int32_t number, int64_t down_ms, bool keeps_id)
{
	minion_t *minion = &minions[number];

	dep_record("minion %s crashes with %u runs", minion->id,
		   minion->runs->len);
	end_life(minion);
	/* unless it is announced again before that */
	if (!keeps_id)
		dep_after(3 * DEP_HEARTBEAT_MS, remove_entry,
			  g_strdup(minion->id));
	minion->keeps_id = keeps_id;
	minion->back_ms = dep_now_ms() + down_ms;
}

static void find_step(const char *task, JsonObject **step)
{
	char **fields = g_strsplit(task, ".", -1);
	JsonNode *job;
	JsonArray *phases;
	int64_t number;

	*step = NULL;
	job = g_strv_length(fields) < 4 ? NULL
					: g_hash_table_lookup(jobs, fields[0]);
	if (job != NULL) {
		phases = json_object_get_array_member(json_node_get_object(job),
						      "phases");
		number = g_ascii_strtoll(fields[2], NULL, 10);
		if (number < json_array_get_length(phases))
			*step = json_array_get_object_element(phases,
							      (guint)number);
	}
	g_strfreev(fields);
}

static void reply_clock(const minion_t *minion, struct evhttp_request *request,
			int32_t status, const char *reason)
{
	char text[96];

	if (reason == NULL)
		g_snprintf(text, sizeof(text), "{\"clockMs\":%" PRId64 "}",
			   clock_ms(minion));
	else
		g_snprintf(text, sizeof(text),
			   "{\"clockMs\":%" PRId64 ",\"reason\":\"%s\"}",
			   clock_ms(minion), reason);
	reply(request, status, text);
}

static void extend_lease(minion_t *minion, JsonObject *object)
{
	int64_t until = number_of(object, "untilMs", 0);

	until = MIN(until, clock_ms(minion) + DEP_HOLD_MAX_MS);
	minion->lease_ms = MAX(minion->lease_ms, until);
}

static dep_run_t *find_run(const minion_t *minion, const char *task)
{
	for (guint i = 0; i < minion->runs->len; i++) {
		dep_run_t *run = g_ptr_array_index(minion->runs, i);

		if (strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

/* Returns why it doesn't begin; NULL: it has begun. */
static const char *begin_run(minion_t *minion, JsonObject *object,
			     const char *order)
{
	const char *task = json_object_get_string_member(object, "task");
	int64_t number = number_of(object, "run", 0);
	const int64_t *highest = g_hash_table_lookup(minion->highest, task);
	dep_run_t *run = find_run(minion, task);
	int64_t cpu = 0;
	int64_t memory = 0;
	JsonObject *step;

	if (number_of(object, "untilMs", 0) <= clock_ms(minion)) {
		return "late";
	}
	if (run != NULL && run->run == number) {
		extend_lease(minion, object);
		return NULL;
	}
	extend_lease(minion, object);
	if (run != NULL || (highest != NULL && number <= *highest)) {
		return "old";
	}
	for (guint i = 0; i < minion->runs->len; i++) {
		const dep_run_t *other = g_ptr_array_index(minion->runs, i);

		cpu += other->cpu;
		memory += other->memory_mb;
	}
	find_step(task, &step);
	run = g_new0(dep_run_t, 1);
	run->task = g_strdup(task);
	g_strlcpy(run->job, task, sizeof(run->job));
	run->run = number;
	run->minion = minion->index;
	run->begun_ms = dep_now_ms();
	run->order = g_strdup(order);
	if (step == NULL) {
		dep_record("minion %s is told to start %s run %" PRId64
			   ", which no client has sent",
			   minion->id, task, number);
		run->due_ms = run->begun_ms + 1000;
	} else {
		run->cpu = number_of(step, "cpu", 0);
		run->memory_mb = number_of(step, "memMb", 0);
		run->due_ms =
			number_of(step, "longRunning", 0) != 0
				? INT64_MAX
				: run->begun_ms +
					  number_of(step, "estimateMs", 1000);
	}
	if (cpu + run->cpu > DEP_MINION_CPU ||
	    memory + run->memory_mb > DEP_MINION_MB) {
		g_free(run->task);
		g_free(run);
		return "room";
	}
	g_ptr_array_add(minion->runs, run);
	g_ptr_array_add(runs, run);
	if (runs->len < 400)
		dep_record("minion %s starts %s run %" PRId64
			   " by token %" PRId64,
			   minion->id, task, number, minion->token);
	return NULL;
}

static void start(minion_t *minion, struct evhttp_request *request,
		  JsonObject *object)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(request);
	const char *reason;
	char *order;

	if (minion->sheds) {
		minion->shed++;
		reply(request, 503, "{}");
		return;
	}
	order = g_strndup((char *)evbuffer_pullup(body, -1),
			  evbuffer_get_length(body));
	reason = begin_run(minion, object, order);
	g_free(order);
	reply_clock(minion, request, reason == NULL ? 200 : 409, reason);
}

typedef struct {
	minion_t *minion;
	char *id;
	int64_t token;
	JsonNode *body;
} late_start_t;

static void carry_out_late_start(void *data)
{
	late_start_t *late = data;
	minion_t *minion = late->minion;
	const char *reason = "down";

	if (minion->up && strcmp(minion->id, late->id) != 0)
		reason = "421";
	else if (minion->up && late->token < minion->token)
		reason = "fence";
	else if (minion->up)
		reason =
			begin_run(minion, json_node_get_object(late->body), "");
	dep_record("the late start at minion %s is carried out: %s", late->id,
		   reason == NULL ? "done" : reason);
	g_free(late->id);
	json_node_unref(late->body);
	g_free(late);
}

/* Returns whether the start gets no answer and is carried out later. */
static bool is_delayed(minion_t *minion, struct evhttp_request *request,
		       JsonNode *body, int64_t token)
{
	JsonObject *object = json_node_get_object(body);
	late_start_t *late;
	int64_t delay = 0;

	if (delay_start != NULL)
		delay = delay_start(
			minion->index,
			json_object_get_string_member(object, "task"),
			number_of(object, "run", 0));
	if (delay <= 0)
		return false;
	late = g_new0(late_start_t, 1);
	late->minion = minion;
	late->id = g_strdup(minion->id);
	late->token = token;
	late->body = json_node_copy(body);
	dep_record("the start of %s run %" PRId64
		   " at minion %s gets no answer "
		   "and is carried out %" PRId64 " ms later",
		   json_object_get_string_member(object, "task"),
		   number_of(object, "run", 0), minion->id, delay);
	dep_after(delay, carry_out_late_start, late);
	(void)hold(request, 600000);
	return true;
}

typedef struct {
	minion_t *minion;
	dep_run_t *run;
	int32_t life;
} stop_t;

static void carry_out_stop(void *data)
{
	stop_t *stop = data;

	if (stop->minion->lives == stop->life && stop->run->how == NULL) {
		end_run(stop->minion, stop->run, "stopped", true);
		answer_polls(stop->minion);
	}
	g_free(stop);
}

static void stop(minion_t *minion, struct evhttp_request *request,
		 JsonObject *object)
{
	const char *task = json_object_get_string_member(object, "task");
	int64_t number = number_of(object, "run", 0);
	dep_run_t *run = find_run(minion, task);

	if (run != NULL && run->run == number) {
		stop_t *stop = g_new0(stop_t, 1);

		stop->minion = minion;
		stop->run = run;
		stop->life = minion->lives;
		dep_record("minion %s is told to stop %s run %" PRId64,
			   minion->id, task, number);
		dep_after(DEP_STOP_MS / 2, carry_out_stop, stop);
	} else {
		note_highest(minion, task, number);
	}
	reply_clock(minion, request, 200, NULL);
}

static void reply_lists(minion_t *minion, struct evhttp_request *request)
{
	char *born = born_field(minion);
	GString *out = g_string_new(NULL);

	g_string_printf(out, "{\"clockMs\":%" PRId64 ",\"running\":[",
			clock_ms(minion));
	for (guint i = 0; i < minion->runs->len; i++) {
		const dep_run_t *run = g_ptr_array_index(minion->runs, i);
		int64_t age = dep_now_ms() - run->begun_ms;
		int64_t percent = 100;

		if (run->due_ms != INT64_MAX)
			percent =
				MIN(99, age * 100 /
						MAX(1, run->due_ms -
							       run->begun_ms));
		else if (age < STARTUP_MS)
			percent = age * 100 / STARTUP_MS;
		g_string_append_printf(out,
				       "%s[\"%s\",%" PRId64 ",\"\",%" PRId64
				       ",%" PRId64 "]",
				       i == 0 ? "" : ",", run->task, run->run,
				       percent, run->cpu);
	}
	g_string_append(out, "],\"ended\":[");
	for (guint i = 0; i < minion->ended->len && i < ENDS_PER_ANSWER; i++) {
		const dep_run_t *run = g_ptr_array_index(minion->ended, i);

		g_string_append_printf(
			out, "%s[%" PRId64 ",\"%s\",%" PRId64 ",\"%s\",\"\"]",
			i == 0 ? "" : ",", run->end_number, run->task, run->run,
			run->how);
	}
	g_string_append_printf(out, "]%s}", born);
	g_free(born);
	reply(request, 200, out->str);
	g_string_free(out, TRUE);
}

static void answer_polls(minion_t *minion)
{
	GList *at = held;

	if (minion->ended->len == 0)
		return;
	while (at != NULL) {
		held_t *item = at->data;

		at = at->next;
		if (item->minion != minion->index)
			continue;
		reply_lists(minion, held_take(item));
		held_free(item);
	}
}

static void hold_runs(minion_t *minion, struct evhttp_request *request,
		      JsonObject *object)
{
	int64_t seen = number_of(object, "seenUpto", 0);
	int64_t wait = number_of(object, "waitMs", 0);
	held_t *item;

	if (json_object_has_member(object, "untilMs"))
		extend_lease(minion, object);
	while (minion->ended->len > 0 &&
	       ((dep_run_t *)g_ptr_array_index(minion->ended, 0))->end_number <=
		       seen) {
		((dep_run_t *)g_ptr_array_index(minion->ended, 0))->is_noted =
			true;
		g_ptr_array_remove_index(minion->ended, 0);
	}
	if (minion->ended->len > 0 || wait <= 0) {
		reply_lists(minion, request);
		return;
	}
	item = hold(request, MIN(wait, 2000));
	item->minion = minion->index;
}

static void serve_minion(struct evhttp_request *request, void *data)
{
	minion_t *minion = data;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
	const char *expected =
		evhttp_find_header(evhttp_request_get_input_headers(request),
				   "Waxwinghollow-Expect-Instance");
	JsonNode *root = parse_body(request);
	JsonObject *object;
	int64_t token;

	if (!minion->up) {
		/* its machine is down: the connection ends */
		evhttp_connection_free(evhttp_request_get_connection(request));
		if (root != NULL)
			json_node_unref(root);
		return;
	}
	if (expected != NULL && strcmp(expected, minion->id) != 0) {
		reply(request, 421, "{}");
	} else if (root == NULL) {
		reply(request, strcmp(path, "/healthz") == 0 ? 200 : 400, "{}");
	} else {
		object = json_node_get_object(root);
		token = number_of(object, "fencingToken", 0);
		if (token < minion->token) {
			reply_clock(minion, request, 409, "fence");
		} else {
			minion->token = token;
			if (g_str_has_suffix(path, "/run-start") &&
			    is_delayed(minion, request, root, token))
				dep_record("no answer is sent");
			else if (g_str_has_suffix(path, "/run-start"))
				start(minion, request, object);
			else if (g_str_has_suffix(path, "/run-stop"))
				stop(minion, request, object);
			else if (g_str_has_suffix(path, "/hold"))
				hold_runs(minion, request, object);
			else
				reply_clock(minion, request, 200, NULL);
		}
	}
	if (root != NULL)
		json_node_unref(root);
}

static void on_held_due(evutil_socket_t fd, short what, void *data)
{
	held_t *item = data;
	struct evhttp_request *request = held_take(item);

	(void)fd;
	(void)what;
	if (item->part != NULL)
		reply_read(request, item->part,
			   MIN(item->from, item->part->records->len));
	else if (item->minion >= 0)
		reply_lists(&minions[item->minion], request);
	else
		reply(request, item->status, item->text);
	held_free(item);
}

/* The platform's machines */

void dep_on_start_order(dep_delay_start_t delay)
{
	delay_start = delay;
}

void dep_on_upkeep_order(dep_delay_upkeep_t delay)
{
	delay_upkeep = delay;
}

void dep_on_upkeep_begin(void (*observe)(int32_t, int64_t, int32_t))
{
	observe_upkeep = observe;
}

int32_t dep_in_upkeep(void)
{
	int32_t count = 0;

	for (int32_t i = 0; i < options.minions; i++)
		count += minions[i].upkeep_until_ms != 0;
	return count;
}

typedef struct {
	minion_t *minion;
	int64_t token;
	int64_t wave;
} upkeep_t;

static const char *begin_upkeep(minion_t *minion, int64_t token, int64_t wave)
{
	int32_t others = dep_in_upkeep();

	if (token < minion->duty_token)
		return "fence";
	minion->duty_token = token;
	if (minion->upkeep_done == wave)
		return NULL;
	if (!minion->up)
		return "busy";
	dep_record("the upkeep of %s begins by token %" PRId64
		   ", as %d others are going on",
		   minion->machine, token, others);
	minion->upkeep_done = wave;
	minion->upkeep_until_ms = dep_now_ms() + DEP_UPKEEP_MS;
	end_life(minion);
	keyed_put("keyed.servers", minion->id, NULL);
	if (observe_upkeep != NULL)
		observe_upkeep(minion->index, token, others);
	return NULL;
}

static void carry_out_late(void *data)
{
	upkeep_t *upkeep = data;
	const char *reason =
		begin_upkeep(upkeep->minion, upkeep->token, upkeep->wave);

	dep_record("the late order for %s by token %" PRId64
		   " is carried out: %s",
		   upkeep->minion->machine, upkeep->token,
		   reason == NULL ? "done" : reason);
	g_free(upkeep);
}

static void order_upkeep(struct evhttp_request *request)
{
	JsonNode *root = parse_body(request);
	JsonObject *object = json_node_get_object(root);
	const char *name = json_object_get_string_member(object, "machine");
	int64_t wave = number_of(object, "wave", 0);
	const char *token_text =
		evhttp_find_header(evhttp_request_get_input_headers(request),
				   "Waxwinghollow-Fencing-Token");
	const char *holder =
		evhttp_find_header(evhttp_request_get_input_headers(request),
				   "Waxwinghollow-Duty-Holder");
	int64_t token =
		token_text == NULL ? 0 : g_ascii_strtoll(token_text, NULL, 10);
	minion_t *minion = NULL;
	const char *reason;
	int64_t delay = 0;
	char text[64];

	for (int32_t i = 0; i < options.minions; i++) {
		if (strcmp(minions[i].machine, name) == 0)
			minion = &minions[i];
	}
	dep_record("%s orders the upkeep of %s, wave %" PRId64
		   ", token %" PRId64,
		   holder, name, wave, token);
	if (minion == NULL || wave != wave_number ||
	    strstr(wave_machines, name) == NULL) {
		reply(request, minion == NULL ? 400 : 409,
		      "{\"reason\":\"wave\"}");
		json_node_unref(root);
		return;
	}
	if (delay_upkeep != NULL)
		delay = delay_upkeep(minion->index, token);
	if (delay > 0) {
		upkeep_t *upkeep = g_new0(upkeep_t, 1);
		held_t *item = hold(request, 600000);

		(void)item; /* no answer */
		upkeep->minion = minion;
		upkeep->token = token;
		upkeep->wave = wave;
		dep_record("that order gets no answer and is carried out "
			   "%" PRId64 " ms later",
			   delay);
		dep_after(delay, carry_out_late, upkeep);
		json_node_unref(root);
		return;
	}
	reason = begin_upkeep(minion, token, wave);
	if (reason == NULL) {
		reply(request, 200, "{}");
	} else {
		g_snprintf(text, sizeof(text), "{\"reason\":\"%s\"}", reason);
		reply(request, 409, text);
	}
	json_node_unref(root);
}

static void list_machines(struct evhttp_request *request)
{
	GString *out = g_string_new("{\"machines\":[");

	for (int32_t i = 0; i < options.minions; i++) {
		const minion_t *minion = &minions[i];

		g_string_append_printf(
			out,
			"%s{\"machine\":\"%s\",\"pool\":\"" DEP_SERVICE
			"\",\"state\":\"%s\",\"zone\":\"zone-a\",\"labels\":["
			"\"a\",\"%s\"],\"capacity\":{\"cpu\":%d,\"memMb\":%d,"
			"\"gpu\":0},\"id\":\"%s\"}",
			i == 0 ? "" : ",", minion->machine,
			minion->up	       ? "up"
			: minion->back_ms != 0 ? "down"
					       : "upkeep",
			minion->rack, DEP_MINION_CPU, DEP_MINION_MB,
			minion->up ? minion->id : "");
	}
	g_string_append(out, "],\"nextToken\":null}");
	reply(request, 200, out->str);
	g_string_free(out, TRUE);
}

static void serve_cloud(struct evhttp_request *request, void *data)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));

	(void)data;
	if (strcmp(path, "/waxwinghollow/machines") == 0)
		list_machines(request);
	else if (strcmp(path, "/waxwinghollow/machine-upkeep") == 0)
		order_upkeep(request);
	else
		reply(request, 400, "{}");
}

/* Time */

static void tick(void *data)
{
	int64_t now = dep_now_ms();
	int status;
	pid_t pid;

	(void)data;
	for (int32_t i = 0; i < options.minions; i++) {
		minion_t *minion = &minions[i];
		bool any = false;

		if (!minion->up) {
			int64_t back =
				MAX(minion->upkeep_until_ms, minion->back_ms);

			if (back != 0 && now >= back) {
				minion->upkeep_until_ms = 0;
				minion->back_ms = 0;
				begin_life(minion);
				dep_record("%s is back as %s", minion->machine,
					   minion->id);
			}
			continue;
		}
		if (now >= minion->next_beat_ms)
			beat(minion);
		for (guint k = minion->runs->len; k > 0; k--) {
			dep_run_t *run = g_ptr_array_index(minion->runs, k - 1);

			if (clock_ms(minion) >= minion->lease_ms) {
				dep_record("the lease of %s %s lapses",
					   minion->id, run->task);
				end_run(minion, run, "lapsed", true);
				any = true;
			} else if (now >= run->due_ms) {
				end_run(minion, run, "done", true);
				any = true;
			}
		}
		if (any)
			answer_polls(minion);
	}
	while ((pid = waitpid(-1, &status, WNOHANG)) > 0) {
		for (int32_t i = 0; i < options.procs; i++) {
			if (procs[i].pid != pid)
				continue;
			procs[i].pid = 0;
			if (procs[i].killed)
				continue;
			own_ends++;
			dep_record("process %s ended by itself, status %d",
				   procs[i].node, status);
		}
	}
	dep_after(TICK_MS, tick, NULL);
}

/* The processes of the system */

static const char *const common_settings =
	"role=entry\nmachineClass=edge\nserves=edge\nip=" LOOPBACK "\n"
	"zone=zone-a\nregion=east\nzones.zone-a=east\nseeds=\n"
	"bootstrap=true\nfaultCounted=false\nlimits.cpuShare=0.25\n"
	"limits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n"
	"limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n"
	"entry=vip\nheartbeatMs=1500\ncontracts=base,drain,config,cost,recover,"
	"sched,platform,advice,upkeep,sharing\nfaultTolerance.machines=2\n"
	"faultTolerance.zones=0\nfaultTolerance.regions=0\nbounds.seedLagS=3\n"
	"bounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n"
	"bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=6\n"
	"bounds.lossSlackMs=200\nbounds.configApplyMs=2000\n"
	"bounds.rollbackSlackMs=250\nbounds.maxSkewMs=5000\n"
	"bounds.recoverS=12\nbounds.holdMaxMs=6000\nbounds.stopMs=200\n"
	"bounds.gangMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
	"bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n"
	"bounds.remoteFactor=1.5\nbounds.saveS=1\nbounds.restoreMs=100\n"
	"bounds.noticeMs=4500\nbounds.moveS=1.5\nbounds.upkeepS=2\n"
	"bounds.fencingRequired=true\nbounds.leaseMs=3000\nbounds.thawMs=300\n"
	"bounds.paceMs=100\nbounds.harmMs=4000\norders=invocation\n"
	"platform.form=log\nplatform.writesPerS=800\n"
	"platform.readsPerS=2000\nplatform.parts=16\nplatform.appendMs=3.0\n"
	"platform.partMbS=20.0\nplatform.readMbS=80.0\n"
	"platform.recordBytes=262144\nplatform.callBytes=2097152\n"
	"platform.keep_s=300\nplatform.partMb=200\nplatform.ttlMinMs=1000\n"
	"cloud.ratePerS=64.0\ncloud.duties=\ncloud.dutyPerS=64.0\n";

static void spawn_proc(proc_t *proc)
{
	char *const arguments[] = { (char *)PROGRAM, (char *)"serve",
				    (char *)"--platform", NULL };
	posix_spawn_file_actions_t files;
	int error;

	setenv("WAXWINGHOLLOW_NODE_FILE", proc->settings, 1);
	posix_spawn_file_actions_init(&files);
	posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, proc->log,
					 O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
	posix_spawn_file_actions_addclosefrom_np(&files, 3);
	error = posix_spawn(&proc->pid, PROGRAM, &files, NULL, arguments,
			    environ);
	posix_spawn_file_actions_destroy(&files);
	if (error != 0) {
		fprintf(stderr, PROGRAM ": %s\n", strerror(error));
		exit(2);
	}
	proc->killed = false;
	dep_record("process %s starts", proc->node);
}

static void make_proc(int32_t number)
{
	proc_t *proc = &procs[number];
	FILE *file;

	g_snprintf(proc->node, sizeof(proc->node), "edge-zone-a-%d",
		   number + 1);
	for (int32_t i = 0; i < 4; i++)
		proc->ports[i] = free_port();
	/* the system's processes speak to each other at the first internal port */
	g_snprintf(proc->peer, sizeof(proc->peer), LOOPBACK ":%d",
		   proc->ports[3]);
	proc->settings = g_strdup_printf("%s/%s.conf", directory, proc->node);
	proc->log = g_strdup_printf("%s/%s.log", directory, proc->node);
	file = fopen(proc->settings, "w");
	if (file == NULL)
		exit(2);
	fprintf(file,
		"node=%s\n%slisten.frontend=" LOOPBACK
		":%d\nlisten.readiness=" LOOPBACK
		":%d\nlisten.control=" LOOPBACK
		":%d\ninternalPorts=%d,%d\nplatform.address=" LOOPBACK
		":%d\ncloud.address=" LOOPBACK ":%d\n",
		proc->node, common_settings, proc->ports[0], proc->ports[1],
		proc->ports[2], proc->ports[3], proc->ports[3] + 1, store_port,
		cloud_port);
	fclose(file);
	spawn_proc(proc);
}

void dep_signal(int32_t number, int signal_number)
{
	proc_t *proc = &procs[number];

	if (proc->pid == 0)
		return;
	dep_record("process %s gets %s", proc->node, strsignal(signal_number));
	proc->killed = proc->killed || signal_number == SIGKILL ||
		       signal_number == SIGTERM;
	kill(proc->pid, signal_number);
}

void dep_restart(int32_t number)
{
	if (procs[number].pid == 0)
		spawn_proc(&procs[number]);
}

int32_t dep_own_ends(void)
{
	return own_ends;
}

int64_t dep_memory_mb(int32_t number)
{
	char path[64];
	long long pages = 0;
	long long size;
	FILE *file;

	g_snprintf(path, sizeof(path), "/proc/%d/statm",
		   (int)procs[number].pid);
	file = fopen(path, "r");
	if (file == NULL)
		return 0;
	if (fscanf(file, "%lld %lld", &size, &pages) != 2)
		pages = 0;
	fclose(file);
	return pages * sysconf(_SC_PAGESIZE) / 1024 / 1024;
}

/* Clients */

static void on_called(struct evhttp_request *request, void *data)
{
	client_call_t *call = data;
	int32_t status = 0;
	char *body = NULL;

	if (request != NULL)
		status = evhttp_request_get_response_code(request);
	if (status != 0) {
		struct evbuffer *buffer =
			evhttp_request_get_input_buffer(request);
		size_t size = evbuffer_get_length(buffer);

		body = g_strndup((char *)evbuffer_pullup(buffer, -1), size);
	}
	call->done(status, body == NULL ? "" : body, call->data);
	g_free(body);
	g_free(call->what);
	g_free(call);
}

void dep_call(int32_t proc, const char *method, const char *path,
	      const char *body, int64_t timeout_ms, dep_answered_t done,
	      void *data)
{
	struct timeval timeout = { .tv_sec = timeout_ms / 1000,
				   .tv_usec = timeout_ms % 1000 * 1000 };
	client_call_t *call = g_new0(client_call_t, 1);
	enum evhttp_cmd_type type = EVHTTP_REQ_GET;
	struct evhttp_request *request;
	struct evkeyvalq *headers;
	char deadline[32];

	if (strcmp(method, "POST") == 0)
		type = EVHTTP_REQ_POST;
	else if (strcmp(method, "DELETE") == 0)
		type = EVHTTP_REQ_DELETE;
	if (type == EVHTTP_REQ_POST && body != NULL) {
		const char *id = path + strlen(DEP_PREFIX);
		JsonNode *job = parse(body, strlen(body));

		if (job != NULL)
			g_hash_table_replace(jobs, g_strdup(id), job);
	}
	call->done = done;
	call->data = data;
	call->connection = evhttp_connection_base_new(
		base, NULL, LOOPBACK, (uint16_t)procs[proc].ports[0]);
	evhttp_connection_free_on_completion(call->connection);
	evhttp_connection_set_timeout_tv(call->connection, &timeout);
	evhttp_connection_set_retries(call->connection, 0);
	request = evhttp_request_new(on_called, call);
	headers = evhttp_request_get_output_headers(request);
	g_snprintf(deadline, sizeof(deadline), "%" PRId64, timeout_ms);
	evhttp_add_header(headers, "Host", DEP_HOST);
	evhttp_add_header(headers, "Connection", "close");
	evhttp_add_header(headers, "Content-Type", "application/json");
	evhttp_add_header(headers, "Waxwinghollow-Deadline-Ms", deadline);
	if (body != NULL)
		evbuffer_add(evhttp_request_get_output_buffer(request), body,
			     strlen(body));
	evhttp_make_request(call->connection, request, type, path);
}

/* All of it */

static void on_signal(evutil_socket_t number, short what, void *data)
{
	(void)what;
	(void)data;
	dep_record("the script gets %s", strsignal((int)number));
	dep_finish(2);
}

void dep_init(const dep_options_t *wanted)
{
	static const char *const config =
		"{\"version\":7,\"routes\":[{\"name\":\"r-desk\",\"host\":"
		"\"" DEP_HOST "\",\"pathPrefix\":\"" DEP_PREFIX
		"\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
		"\"targetLatencyMs\":600,\"priority\":0,\"service\":"
		"\"" DEP_SERVICE
		"\",\"maxAttempts\":3,\"stretch\":2.2}],\"services\":[{"
		"\"name\":\"" DEP_SERVICE
		"\",\"healthPath\":\"/healthz\",\"maxConns\":64,\"protocol\":"
		"\"h1\",\"tls\":false,\"enforcesCapacity\":true,\"standby\":"
		"false}],\"limits\":{\"maxHeaderBytes\":16384,"
		"\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
		"\"idleTimeoutMs\":15000}}";

	options = *wanted;
	signal(SIGPIPE, SIG_IGN);
	start_us = g_get_monotonic_time();
	record_file = fopen(options.record, "w");
	directory = g_dir_make_tmp("review-XXXXXX", NULL);
	if (record_file == NULL || directory == NULL)
		exit(2);
	base = event_base_new();
	event_add(evsignal_new(base, SIGTERM, on_signal, NULL), NULL);
	event_add(evsignal_new(base, SIGINT, on_signal, NULL), NULL);
	parts = g_hash_table_new(g_str_hash, g_str_equal);
	runs = g_ptr_array_new();
	members = g_ptr_array_new();
	jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)json_node_unref);
	store_port = serve(serve_store, NULL);
	cloud_port = serve(serve_cloud, NULL);
	dep_operator_put("config", config);
	for (int32_t i = 0; i < options.minions; i++) {
		minion_t *minion = &minions[i];

		minion->index = i;
		g_snprintf(minion->machine, sizeof(minion->machine), "m-%04x",
			   0xa3f0 + i);
		g_snprintf(minion->rack, sizeof(minion->rack), "r1-%d", i + 1);
		minion->port = serve(serve_minion, minion);
		minion->runs = g_ptr_array_new();
		minion->ended = g_ptr_array_new();
		minion->highest = g_hash_table_new_full(g_str_hash, g_str_equal,
							g_free, g_free);
		begin_life(minion);
	}
	for (int32_t i = 0; i < options.procs; i++)
		make_proc(i);
	dep_after(TICK_MS, tick, NULL);
}

void dep_loop(void)
{
	event_base_dispatch(base);
}

int32_t dep_exit_code(void)
{
	return exit_code;
}

void dep_finish(int32_t code)
{
	exit_code = code;
	dep_record("the result is %d", code);
	for (int32_t i = 0; i < options.procs; i++) {
		if (procs[i].pid == 0)
			continue;
		procs[i].killed = true;
		kill(procs[i].pid, SIGCONT);
		kill(procs[i].pid, SIGKILL);
		waitpid(procs[i].pid, NULL, 0);
		procs[i].pid = 0;
	}
	if (getenv("KEEP") != NULL) {
		fprintf(stderr, "logs: %s\n", directory);
	} else {
		for (int32_t i = 0; i < options.procs; i++) {
			unlink(procs[i].settings);
			unlink(procs[i].log);
		}
		rmdir(directory);
	}
	fclose(record_file);
	event_base_loopbreak(base);
}
