#include "waxwinghollow/listener.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <ulfius.h>

#define DRAIN_POLL_US (5 * 1000)
#define MILLISECOND_US 1000
#define LISTEN_BACKLOG 1024

/* Phase of a connection. A request is in progress in all phases except IDLE. */
typedef enum {
	PHASE_IDLE = 0,
	PHASE_READING,
	PHASE_HANDLING,
	PHASE_WRITING,
} phase_t;

typedef struct {
	int fd;
	phase_t phase;
	bool read_shut_down; /* by wwh_listener_drain */
} connection_t;

struct wwh_listener {
	wwh_listener_options_t options;
	char *address;
	struct _u_instance instance;
	bool started;
	GMutex lock;
	GHashTable *connections; /* set of connection_t *, owned */
	int32_t in_progress;
	bool draining;
	wwh_counter_t *requests;
	wwh_counter_t *refused;
	wwh_counter_t *open_connections;
};

/*
 * The connection whose request this thread is reading. libmicrohttpd runs
 * the URI callback and the handler of a request on the connection's thread.
 */
static __thread struct MHD_Connection *current_connection;

static void on_connection(void *data, struct MHD_Connection *mhd,
			  void **socket_context,
			  enum MHD_ConnectionNotificationCode code);
static void *on_uri(void *data, const char *uri, struct MHD_Connection *mhd);
static void on_completed(void *data, struct MHD_Connection *mhd, void **context,
			 enum MHD_RequestTerminationCode code);
static int on_request(const struct _u_request *request,
		      struct _u_response *response, void *data);
static connection_t *connection_of(struct MHD_Connection *mhd);
static void set_phase(wwh_listener_t *listener, connection_t *connection,
		      phase_t phase);
static enum MHD_Result add_header(void *data, enum MHD_ValueKind kind,
				  const char *name, const char *value);
static void handle_request(wwh_listener_t *listener,
			   const struct _u_request *request,
			   const wwh_headers_t *headers, int fd,
			   wwh_http_response_t *answer);
static void fill_response(wwh_listener_t *listener, const char *method,
			  wwh_http_response_t *answer,
			  struct _u_response *response);
static void add_response_header(struct _u_map *map, const char *name,
				const char *value);
static ssize_t stream_no_bytes(void *data, uint64_t offset, char *out,
			       size_t max);
static int32_t shut_down_idle_connections(wwh_listener_t *listener);

wwh_listener_options_t wwh_listener_options_defaults(void)
{
	wwh_listener_options_t options = {
		.name = "listener",
		.address = "127.0.0.1",
		.max_requests = 1024,
		.max_connections = 2048,
		.thread_stack_kb = 256,
		.idle_timeout_s = 60,
		.max_header_bytes = 32 * 1024,
		.max_body_bytes = 4 * 1024 * 1024,
	};

	return options;
}

wwh_listener_t *wwh_listener_new(const wwh_listener_options_t *options,
				 wwh_counters_t *counters)
{
	wwh_listener_t *listener = g_new0(wwh_listener_t, 1);
	char *name;

	listener->options = *options;
	listener->address = g_strdup(options->address);
	g_mutex_init(&listener->lock);
	listener->connections = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	name = g_strconcat(options->name, ".requests", NULL);
	listener->requests = wwh_counters_get(counters, name);
	g_free(name);
	name = g_strconcat(options->name, ".refused", NULL);
	listener->refused = wwh_counters_get(counters, name);
	g_free(name);
	name = g_strconcat(options->name, ".connections", NULL);
	listener->open_connections = wwh_counters_get(counters, name);
	g_free(name);
	return listener;
}

wwh_status_t wwh_listener_init(wwh_listener_t *listener, wwh_message_t *message)
{
	const wwh_listener_options_t *options = &listener->options;
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)options->port),
	};
	struct MHD_OptionItem items[] = {
		{ MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)on_completed,
		  listener },
		{ MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)on_uri, listener },
		{ MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)on_connection,
		  listener },
		{ MHD_OPTION_SOCK_ADDR, 0, &address },
		{ MHD_OPTION_CONNECTION_LIMIT, options->max_connections, NULL },
		{ MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_s,
		  NULL },
		{ MHD_OPTION_THREAD_STACK_SIZE,
		  (intptr_t)options->thread_stack_kb * 1024, NULL },
		{ MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		  (intptr_t)options->max_header_bytes, NULL },
		{ MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, NULL },
		{ MHD_OPTION_LISTEN_BACKLOG_SIZE, LISTEN_BACKLOG, NULL },
		{ MHD_OPTION_END, 0, NULL },
	};
	unsigned int flags = MHD_USE_THREAD_PER_CONNECTION |
			     MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
			     MHD_USE_ITC;

	if (inet_pton(AF_INET, listener->address, &address.sin_addr) != 1) {
		wwh_message_set(message, "%s: expected an IPv4 address",
				listener->address);
		return WWH_STATUS_BAD_ARGUMENT;
	}
	/* ulfius rejects port 0; address has the port to listen on */
	if (ulfius_init_instance(&listener->instance,
				 options->port > 0 ? options->port : 1,
				 &address, NULL) != U_OK) {
		wwh_message_set(message, "can't initialize the HTTP listener");
		return WWH_STATUS_IO;
	}
	listener->instance.check_utf8 = 0;
	listener->instance.allowed_post_processor = U_POST_PROCESS_NONE;
	listener->instance.max_post_body_size = options->max_body_bytes + 1;
	ulfius_set_default_endpoint(&listener->instance, on_request, listener);
	if (ulfius_start_framework_with_mhd_options(&listener->instance, flags,
						    items) != U_OK) {
		wwh_message_set(message, "can't listen on %s:%d",
				listener->address, options->port);
		ulfius_clean_instance(&listener->instance);
		return WWH_STATUS_IO;
	}
	listener->started = true;
	return WWH_STATUS_OK;
}

int32_t wwh_listener_port(const wwh_listener_t *listener)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(
		listener->instance.mhd_daemon, MHD_DAEMON_INFO_LISTEN_FD);
	struct sockaddr_in address = { 0 };
	socklen_t size = sizeof(address);

	if (info == NULL ||
	    getsockname(info->listen_fd, (struct sockaddr *)&address, &size) !=
		    0)
		return listener->options.port;
	return ntohs(address.sin_port);
}

int32_t wwh_listener_requests_in_progress(wwh_listener_t *listener)
{
	int32_t in_progress;

	g_mutex_lock(&listener->lock);
	in_progress = listener->in_progress;
	g_mutex_unlock(&listener->lock);
	return in_progress;
}

/*
 * ulfius_stop_framework resets every open connection, so that a caller whose
 * request is in progress would get an empty response although the request ran.
 * It is therefore called only after all connections have ended or the timeout
 * has passed. Before that, new connections are refused, responses ask their
 * callers to close the connection, and idle connections are shut down for
 * reading; a request that has already arrived is still read.
 */
int32_t wwh_listener_drain(wwh_listener_t *listener, int64_t timeout_ms)
{
	int64_t deadline_us =
		g_get_monotonic_time() + timeout_ms * MILLISECOND_US;
	MHD_socket fd;
	int32_t in_progress;

	if (!listener->started)
		return 0;
	g_mutex_lock(&listener->lock);
	listener->draining = true;
	g_mutex_unlock(&listener->lock);
	fd = MHD_quiesce_daemon(listener->instance.mhd_daemon);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
	while (shut_down_idle_connections(listener) > 0 &&
	       g_get_monotonic_time() < deadline_us)
		g_usleep(DRAIN_POLL_US);
	in_progress = wwh_listener_requests_in_progress(listener);
	ulfius_stop_framework(&listener->instance);
	listener->started = false;
	return in_progress;
}

void wwh_listener_delete(wwh_listener_t *listener)
{
	if (listener == NULL)
		return;
	if (listener->started)
		ulfius_stop_framework(&listener->instance);
	ulfius_clean_instance(&listener->instance);
	g_hash_table_destroy(listener->connections);
	g_mutex_clear(&listener->lock);
	g_free(listener->address);
	g_free(listener);
}

static void on_connection(void *data, struct MHD_Connection *mhd,
			  void **socket_context,
			  enum MHD_ConnectionNotificationCode code)
{
	wwh_listener_t *listener = data;
	const union MHD_ConnectionInfo *info;
	connection_t *connection;

	g_mutex_lock(&listener->lock);
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		info = MHD_get_connection_info(
			mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
		connection = g_new0(connection_t, 1);
		connection->fd = info != NULL ? info->connect_fd : -1;
		*socket_context = connection;
		g_hash_table_add(listener->connections, connection);
		wwh_counter_add(listener->open_connections, 1);
	} else {
		connection = *socket_context;
		if (connection->phase != PHASE_IDLE)
			listener->in_progress--;
		g_hash_table_remove(listener->connections, connection);
		*socket_context = NULL;
		wwh_counter_add(listener->open_connections, -1);
	}
	g_mutex_unlock(&listener->lock);
}

static void *on_uri(void *data, const char *uri, struct MHD_Connection *mhd)
{
	wwh_listener_t *listener = data;

	current_connection = mhd;
	set_phase(listener, connection_of(mhd), PHASE_READING);
	return ulfius_uri_logger(NULL, uri);
}

/* libmicrohttpd calls this when the whole response has been written. */
static void on_completed(void *data, struct MHD_Connection *mhd, void **context,
			 enum MHD_RequestTerminationCode code)
{
	wwh_listener_t *listener = data;

	mhd_request_completed(&listener->instance, mhd, context, code);
	set_phase(listener, connection_of(mhd), PHASE_IDLE);
}

static int on_request(const struct _u_request *request,
		      struct _u_response *response, void *data)
{
	wwh_listener_t *listener = data;
	struct MHD_Connection *mhd = current_connection;
	connection_t *connection = connection_of(mhd);
	wwh_headers_t *headers = wwh_headers_new();
	wwh_http_response_t answer;

	set_phase(listener, connection, PHASE_HANDLING);
	wwh_counter_add(listener->requests, 1);
	MHD_get_connection_values(mhd, MHD_HEADER_KIND, add_header, headers);
	wwh_http_response_init(&answer);
	handle_request(listener, request, headers, connection->fd, &answer);
	fill_response(listener, request->http_verb, &answer, response);
	wwh_http_response_clear(&answer);
	wwh_headers_delete(headers);
	set_phase(listener, connection, PHASE_WRITING);
	return U_CALLBACK_COMPLETE;
}

static connection_t *connection_of(struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info != NULL ? info->socket_context : NULL;
}

static void set_phase(wwh_listener_t *listener, connection_t *connection,
		      phase_t phase)
{
	if (connection == NULL)
		return;
	g_mutex_lock(&listener->lock);
	listener->in_progress +=
		(phase != PHASE_IDLE) - (connection->phase != PHASE_IDLE);
	connection->phase = phase;
	g_mutex_unlock(&listener->lock);
}

static enum MHD_Result add_header(void *data, enum MHD_ValueKind kind,
				  const char *name, const char *value)
{
	(void)kind;
	wwh_headers_add(data, name, value);
	return MHD_YES;
}

static void handle_request(wwh_listener_t *listener,
			   const struct _u_request *request,
			   const wwh_headers_t *headers, int fd,
			   wwh_http_response_t *answer)
{
	wwh_http_request_t http = {
		.method = request->http_verb,
		.target = request->http_url,
		.headers = headers,
		.body = request->binary_body,
		.body_size = request->binary_body_length,
		.caller_fd = fd,
	};
	const char *declared = wwh_headers_get(headers, "Content-Length");

	if (wwh_listener_requests_in_progress(listener) >
	    listener->options.max_requests) {
		wwh_counter_add(listener->refused, 1);
		wwh_listener_set_error(answer, WWH_ERROR_TOO_MANY_REQUESTS, 0);
		return;
	}
	if ((int64_t)http.body_size > listener->options.max_body_bytes) {
		wwh_counter_add(listener->refused, 1);
		wwh_listener_set_error(answer, WWH_ERROR_BODY_TOO_LARGE, 0);
		return;
	}
	if (declared != NULL &&
	    g_ascii_strtoull(declared, NULL, 10) != http.body_size) {
		wwh_counter_add(listener->refused, 1);
		wwh_listener_set_error(answer, WWH_ERROR_BAD_REQUEST, 0);
		return;
	}
	listener->options.handler(&http, answer, listener->options.client_data);
}

static void fill_response(wwh_listener_t *listener, const char *method,
			  wwh_http_response_t *answer,
			  struct _u_response *response)
{
	bool closing;

	g_mutex_lock(&listener->lock);
	closing = listener->draining;
	g_mutex_unlock(&listener->lock);
	for (int32_t i = 0; i < wwh_headers_count(answer->headers); i++) {
		const wwh_header_t *header = wwh_headers_at(answer->headers, i);

		if (wwh_headers_is_hop_by_hop(answer->headers, header->name) ||
		    g_ascii_strcasecmp(header->name, "Content-Length") == 0)
			continue;
		add_response_header(response->map_header, header->name,
				    header->value);
	}
	if (closing)
		u_map_put(response->map_header, "Connection", "close");
	response->status = answer->status;
	if (strcmp(method, "HEAD") == 0 && answer->head_content_length >= 0) {
		/* libmicrohttpd writes Content-Length and requests no bytes */
		ulfius_set_stream_response(
			response, (uint)answer->status, stream_no_bytes, NULL,
			(uint64_t)answer->head_content_length, 1, NULL);
		return;
	}
	response->binary_body_length = answer->body->len;
	if (answer->body->len > 0) {
		response->binary_body = g_byte_array_free(answer->body, FALSE);
		answer->body = NULL;
	}
}

/*
 * ulfius stores one value for each name, so that the second Set-Cookie of a
 * response would replace the first. It compares names with regard to case,
 * while HTTP ignores case, so each repeated header gets a different mix of
 * upper and lower case.
 */
static void add_response_header(struct _u_map *map, const char *name,
				const char *value)
{
	char *spelling = g_strdup(name);

	for (uint32_t attempt = 1; u_map_has_key(map, spelling); attempt++) {
		uint32_t bits = attempt;

		for (char *c = spelling; *c != '\0'; c++) {
			if (!g_ascii_isalpha(*c))
				continue;
			*c = (bits & 1) != 0 ? g_ascii_toupper(*c)
					     : g_ascii_tolower(*c);
			bits >>= 1;
		}
		if (bits != 0)
			break;
	}
	u_map_put(map, spelling, value);
	g_free(spelling);
}

static ssize_t stream_no_bytes(void *data, uint64_t offset, char *out,
			       size_t max)
{
	(void)data;
	(void)offset;
	(void)out;
	(void)max;
	return U_STREAM_END;
}

/*
 * Shuts down idle connections for reading. Returns the number of connections
 * that are still open.
 */
static int32_t shut_down_idle_connections(wwh_listener_t *listener)
{
	GHashTableIter iter;
	gpointer key;
	int32_t open_connections;

	g_mutex_lock(&listener->lock);
	open_connections = (int32_t)g_hash_table_size(listener->connections);
	g_hash_table_iter_init(&iter, listener->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		connection_t *connection = key;
		int unread = 0;

		if (connection->phase != PHASE_IDLE ||
		    connection->read_shut_down)
			continue;
		if (ioctl(connection->fd, FIONREAD, &unread) == 0 && unread > 0)
			continue;
		connection->read_shut_down = true;
		(void)shutdown(connection->fd, SHUT_RD);
	}
	g_mutex_unlock(&listener->lock);
	return open_connections;
}
