/*
 * NAME
 *	platform - stand-in for the platform, with faults
 *
 * USE
 *	platform --listen 127.0.0.1:PORT [--retain N] [--list-lag-ms N]
 *	[--seed N]; serves docs/PLATFORM.md from memory until SIGTERM.
 */

#include <arpa/inet.h>
#include <glib-unix.h>
#include <msgpack.h>
#include <stdio.h>

#include "include/standin_fleet_http.h"

#define MAX_RECORD_BYTES (4 * 1024 * 1024)
#define DEFAULT_READ_BYTES (1024 * 1024)
#define MAX_WAIT_MS 60000

static char *option_listen;
static int option_retain = 1000000;
static int option_list_lag_ms;
static int option_seed = 1;

static const GOptionEntry options[] = {
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &option_listen,
	  "IPv4 number and port", "A:P" },
	{ "retain", 0, 0, G_OPTION_ARG_INT, &option_retain,
	  "records kept a stream", "N" },
	{ "list-lag-ms", 0, 0, G_OPTION_ARG_INT, &option_list_lag_ms,
	  "lag of the list of hosts", "N" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &option_seed, "of random faults",
	  "N" },
	{ NULL },
};

static bool parse_append_id(const char *text, uint8_t *id)
{
	if (text == NULL || strlen(text) != 2 * STANDIN_ID_BYTES)
		return false;
	for (int i = 0; i < STANDIN_ID_BYTES; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		id[i] = (uint8_t)(high * 16 + low);
	}
	return true;
}

static int handle_append(const request_t *request, response_t *response,
			 void *client_data)
{
	platform_t *platform = client_data;
	uint8_t id[STANDIN_ID_BYTES];
	int64_t offset;
	char *text;

	if (fault(platform, FAULT_LOG_DOWN) != 0)
		return answer(response, 503, "log is down");
	if (!parse_append_id(u_map_get_case(request->map_header, "Append-Id"),
			     id))
		return answer(response, 400, "Append-Id: 32 hex digits");
	if (request->binary_body_length > MAX_RECORD_BYTES)
		return answer(response, 413, "record too large");
	g_usleep((gulong)fault(platform, FAULT_LOG_LATE_MS) * 1000);
	offset = standin_log_append(&platform->log, text_of(request, "stream"),
				    id, request->binary_body,
				    request->binary_body_length);
	g_usleep((gulong)fault(platform, FAULT_LOG_SLOW_MS) * 1000);
	if (by_chance(platform, fault(platform, FAULT_LOSE_APPEND_ANSWERS)))
		return lose_answer(response);
	text = g_strdup_printf("{\"offset\": %" G_GINT64_FORMAT "}", offset);
	answer(response, 200, text);
	g_free(text);
	return U_CALLBACK_COMPLETE;
}

static void pack_records(msgpack_packer *packer, const standin_stream_t *stream,
			 int64_t from, int64_t max_bytes)
{
	guint begin = stream->head + (guint)(from - stream->first);
	guint end = begin;
	int64_t bytes = 0;

	while (end < stream->records->len) {
		standin_record_t *record = stream->records->pdata[end];

		bytes += (int64_t)g_bytes_get_size(record->data) + 32;
		if (end > begin && bytes > max_bytes)
			break;
		end++;
	}
	msgpack_pack_array(packer, end - begin);
	for (guint i = begin; i < end; i++) {
		standin_record_t *record = stream->records->pdata[i];
		gsize size;
		const void *data = g_bytes_get_data(record->data, &size);

		msgpack_pack_array(packer, 3);
		msgpack_pack_int64(packer,
				   stream->first + (int64_t)(i - stream->head));
		msgpack_pack_bin(packer, STANDIN_ID_BYTES);
		msgpack_pack_bin_body(packer, record->append_id,
				      STANDIN_ID_BYTES);
		msgpack_pack_bin(packer, size);
		msgpack_pack_bin_body(packer, data, size);
	}
}

static int handle_read(const request_t *request, response_t *response,
		       void *client_data)
{
	platform_t *platform = client_data;
	int64_t from = MAX(1, number_of(request, "from", 1));
	int64_t wait_ms =
		CLAMP(number_of(request, "wait_ms", 0), 0, MAX_WAIT_MS);
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	standin_stream_t *stream;
	unsigned int status = 200;

	if (fault(platform, FAULT_LOG_DOWN) != 0)
		return answer(response, 503, "log is down");
	g_usleep((gulong)fault(platform, FAULT_LOG_SLOW_MS) * 1000);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	stream = standin_log_wait(&platform->log, text_of(request, "stream"),
				  from, wait_ms);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_int64(&packer, stream->first);
	msgpack_pack_int64(&packer, standin_stream_next(stream));
	if (from < stream->first)
		status = 404;
	if (status == 404 || from >= standin_stream_next(stream))
		msgpack_pack_array(&packer, 0);
	else
		pack_records(
			&packer, stream, from,
			number_of(request, "max_bytes", DEFAULT_READ_BYTES));
	g_mutex_unlock(&platform->log.lock);
	ulfius_set_binary_body_response(response, status, buffer.data,
					buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return U_CALLBACK_COMPLETE;
}

/* trim_to=N for every stream, trim_to=STREAM:N for one. */
static void set_trim(platform_t *platform, const char *value)
{
	const char *colon = strchr(value, ':');
	char *stream;

	if (colon == NULL) {
		standin_log_trim(&platform->log, NULL,
				 g_ascii_strtoll(value, NULL, 10));
		return;
	}
	stream = g_strndup(value, (gsize)(colon - value));
	standin_log_trim(&platform->log, stream,
			 g_ascii_strtoll(colon + 1, NULL, 10));
	g_free(stream);
}

/* Faults whose value is the id of a worker; false: no such fault or worker. */
static bool set_worker_fault(platform_t *platform, const char *name,
			     const char *id)
{
	standin_worker_t *worker = g_tree_lookup(platform->fleet.workers, id);

	if (worker == NULL)
		return false;
	if (strcmp(name, "worker_never_returns") == 0) {
		worker->never_returns = true;
	} else if (strcmp(name, "worker_fails_tasks") == 0) {
		worker->fails_tasks = true;
	} else if (strcmp(name, "worker_down") == 0) {
		standin_tasks_sweep(&platform->fleet, id, WWH_TASK_FAILED,
				    wall_ms());
		worker->state = WWH_WORKER_DOWN;
	} else if (strcmp(name, "worker_repaired") == 0) {
		worker->never_returns = false;
		worker->fails_tasks = false;
		worker->state = WWH_WORKER_UP;
	} else {
		return false;
	}
	return true;
}

static bool set_fault(platform_t *platform, const char *name, const char *value)
{
	int number = index_of(name, fault_names, FAULT_COUNT);
	int time = index_of(name, standin_time_names, STANDIN_TIME_COUNT);
	bool known = true;

	if (number >= 0) {
		atomic_store(&platform->faults[number],
			     MAX(0, g_ascii_strtoll(value, NULL, 10)));
		return true;
	}
	if (strcmp(name, "trim_to") == 0) {
		set_trim(platform, value);
		return true;
	}
	g_mutex_lock(&platform->fleet.lock);
	if (time >= 0)
		platform->fleet.times[time] =
			MAX(0, g_ascii_strtoll(value, NULL, 10));
	else
		known = set_worker_fault(platform, name, value);
	g_mutex_unlock(&platform->fleet.lock);
	return known;
}

static int handle_fault(const request_t *request, response_t *response,
			void *client_data)
{
	const struct _u_map *map = request->map_url;

	for (int i = 0; i < map->nb_values; i++)
		if (!set_fault(client_data, map->keys[i], map->values[i]))
			return answer(response, 400, map->keys[i]);
	return answer(response, 200, "");
}

static int handle_stats(const request_t *request, response_t *response,
			void *client_data)
{
	platform_t *platform = client_data;
	JsonBuilder *builder = json_builder_new();

	(void)request;
	json_builder_begin_object(builder);
	g_mutex_lock(&platform->log.lock);
	add_number(builder, "appends", platform->log.appends);
	add_number(builder, "append_bytes", platform->log.append_bytes);
	add_number(builder, "reads", platform->log.reads);
	g_mutex_unlock(&platform->log.lock);
	json_builder_end_object(builder);
	return answer_json(response, builder);
}

static void add_endpoints(struct _u_instance *instance, platform_t *platform)
{
	static const struct {
		const char *verb;
		const char *format;
		int (*handler)(const request_t *request, response_t *response,
			       void *client_data);
	} rows[] = {
		{ "POST", "/log/:stream", handle_append },
		{ "GET", "/log/:stream", handle_read },
		{ "GET", "/hosts", handle_hosts },
		{ "POST", "/hosts/:id", handle_register },
		{ "POST", "/workers/:id", handle_worker_make },
		{ "GET", "/workers/:id", handle_worker_status },
		{ "POST", "/workers/:id/:command", handle_command },
		{ "POST", "/workers/:id/tasks/:task/:verb", handle_task },
		{ "GET", "/tasks", handle_tasks },
		{ "POST", "/fault", handle_fault },
		{ "GET", "/stats", handle_stats },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		ulfius_add_endpoint_by_val(instance, rows[i].verb, NULL,
					   rows[i].format, 0, rows[i].handler,
					   platform);
}

static bool parse_listen(const char *text, struct sockaddr_in *address,
			 unsigned int *port)
{
	char **parts = g_strsplit(text == NULL ? "" : text, ":", 2);
	bool valid = g_strv_length(parts) == 2 &&
		     inet_pton(AF_INET, parts[0], &address->sin_addr) == 1;

	if (valid) {
		*port = (unsigned int)g_ascii_strtoull(parts[1], NULL, 10);
		valid = *port > 0 && *port < 65536;
	}
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)*port);
	g_strfreev(parts);
	return valid;
}

static gboolean quit(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_CONTINUE;
}

static int serve(platform_t *platform, struct sockaddr_in *address,
		 unsigned int port)
{
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	struct _u_instance instance;
	int result = 1;

	if (ulfius_init_instance(&instance, port, address, NULL) != U_OK)
		return result;
	instance.allowed_post_processor = U_POST_PROCESS_NONE;
	add_endpoints(&instance, platform);
	if (ulfius_start_framework(&instance) == U_OK) {
		printf("platform: listening on %s\n", option_listen);
		fflush(stdout);
		g_unix_signal_add(SIGTERM, quit, loop);
		g_unix_signal_add(SIGINT, quit, loop);
		g_main_loop_run(loop);
		ulfius_stop_framework(&instance);
		result = 0;
	} else {
		fprintf(stderr, "platform: can't listen on %s\n",
			option_listen);
	}
	ulfius_clean_instance(&instance);
	g_main_loop_unref(loop);
	return result;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	platform_t platform = { 0 };
	struct sockaddr_in address = { 0 };
	unsigned int port = 0;
	int result;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    !parse_listen(option_listen, &address, &port)) {
		fprintf(stderr, "usage: platform --listen 127.0.0.1:PORT "
				"[--retain N] [--list-lag-ms N] [--seed N]\n");
		return 2;
	}
	g_option_context_free(context);
	standin_log_init(&platform.log, option_retain);
	standin_fleet_init(&platform.fleet, (uint32_t)option_seed);
	platform.fleet.times[STANDIN_LIST_LAG_MS] = option_list_lag_ms;
	g_mutex_init(&platform.rand_lock);
	platform.rand = g_rand_new_with_seed((uint32_t)option_seed);
	result = serve(&platform, &address, port);
	g_rand_free(platform.rand);
	g_mutex_clear(&platform.rand_lock);
	standin_fleet_clear(&platform.fleet);
	standin_log_clear(&platform.log);
	g_free(option_listen);
	return result;
}
