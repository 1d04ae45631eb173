#ifndef MINION_SERVER_H
#define MINION_SERVER_H

/*
 * A minion for tests: an HTTP/1.1 server on plain sockets, because a library
 * would not let it break its answers. It counts what it ran by the header
 * X-Request-Id, and the most requests and connections it ever had at once.
 */

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef enum {
	MINION_OK = 0,
	MINION_FAIL, /* 500 at once; the request ran */
	MINION_REFUSE, /* 503 and "not-run"; it did not run */
	MINION_SILENT, /* runs it, never answers */
	MINION_CLOSE, /* runs it, closes without an answer */
	MINION_CLOSE_KEPT, /* the same, but on kept connections only */
	MINION_TRUNCATE, /* announces more bytes than it sends */
	MINION_TRUNCATE_CHUNKED, /* leaves out the last chunk */
	MINION_NO_LENGTH, /* the answer ends with the connection */
	MINION_SILENT_OLD, /* connections made before the mode go silent */
	MINION_LATE, /* answers after 300 ms more than told */
	MINION_LEAVING, /* answers, and says that it is leaving */
	MINION_DENIES, /* answers, and says that it did not run */
	MINION_MODE_COUNT
} minion_mode_t;

static const char *const minion_mode_names[MINION_MODE_COUNT] = {
	"ok",	      "fail",	  "refuse",	      "silent",	   "close",
	"close-kept", "truncate", "truncate-chunked", "no-length", "silent-old",
	"late",	      "leaving",  "denies",
};

#define MINION_SLOTS 8

typedef struct {
	const char *id;
	int32_t service_ms;
	int32_t jitter_ms;
	GMutex lock;
	GCond stopped;
	GHashTable *runs; /* request id to count */
	minion_mode_t mode;
	int64_t mode_since_us;
	int32_t listen_fd;
	int32_t port;
	int32_t connections;
	int32_t max_connections;
	int32_t in_progress;
	int32_t max_in_progress;
	int64_t total_runs;
	bool stopping;
	GThread *acceptor;
	GHashTable *open_fds; /* fd to minion_connection_t * */
	int run_log_fd; /* a line a run, for whoever kills it; 0: none */
} minion_server_t;

typedef struct {
	minion_server_t *server;
	int fd;
	int64_t made_us;
	int64_t requests;
	bool working; /* counted in in_progress */
	int64_t work_since_us;
	char *work_id;
	GString *input;
} minion_connection_t;

/* One request as it came. */
typedef struct {
	char *head; /* request line and headers, ending in an empty line */
	char *method;
	char *target;
	char *id;
	GString *body;
} minion_request_t;

static inline char *minion_head_value(const char *head, const char *name)
{
	char **lines = g_strsplit(head, "\r\n", -1);
	char *value = NULL;
	size_t length = strlen(name);

	for (char **line = lines; *line != NULL && value == NULL; line++) {
		if (g_ascii_strncasecmp(*line, name, length) == 0 &&
		    (*line)[length] == ':')
			value = g_strdup(g_strstrip(*line + length + 1));
	}
	g_strfreev(lines);
	return value;
}

static inline bool minion_fill(minion_connection_t *connection)
{
	char bytes[65536];
	ssize_t count = recv(connection->fd, bytes, sizeof(bytes), 0);

	if (count <= 0)
		return false;
	g_string_append_len(connection->input, bytes, count);
	return true;
}

static inline bool minion_read(minion_connection_t *connection,
			       minion_request_t *request)
{
	char *end;
	char *length_text;
	size_t head_size;
	size_t body_size;
	char **parts;

	while ((end = strstr(connection->input->str, "\r\n\r\n")) == NULL) {
		if (!minion_fill(connection))
			return false;
	}
	head_size = (size_t)(end - connection->input->str) + 4;
	request->head = g_strndup(connection->input->str, head_size);
	length_text = minion_head_value(request->head, "Content-Length");
	body_size = length_text != NULL ? strtoul(length_text, NULL, 10) : 0;
	g_free(length_text);
	while (connection->input->len < head_size + body_size) {
		if (!minion_fill(connection)) {
			g_free(request->head);
			return false;
		}
	}
	request->body = g_string_new_len(connection->input->str + head_size,
					 (gssize)body_size);
	g_string_erase(connection->input, 0, (gssize)(head_size + body_size));
	parts = g_strsplit(request->head, " ", 3);
	request->method = g_strdup(parts[0]);
	request->target = g_strdup(parts[0] != NULL ? parts[1] : "");
	g_strfreev(parts);
	request->id = minion_head_value(request->head, "X-Request-Id");
	return true;
}

static inline void minion_request_clear(minion_request_t *request)
{
	g_free(request->head);
	g_free(request->method);
	g_free(request->target);
	g_free(request->id);
	g_string_free(request->body, TRUE);
}

static inline bool minion_send(int fd, const char *bytes, size_t size)
{
	while (size > 0) {
		ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		bytes += sent;
		size -= (size_t)sent;
	}
	return true;
}

static inline bool minion_answer(minion_connection_t *connection, int status,
				 const char *headers, const char *body,
				 size_t size, bool with_body)
{
	GString *out = g_string_new(NULL);
	bool good;

	g_string_printf(out,
			"HTTP/1.1 %d X\r\nContent-Type: text/plain\r\n%s"
			"Content-Length: %zu\r\n\r\n",
			status, headers, size);
	if (with_body)
		g_string_append_len(out, body, (gssize)size);
	good = minion_send(connection->fd, out->str, out->len);
	g_string_free(out, TRUE);
	return good;
}

/* Sleeps in steps, so that a stop need not wait for it. */
static inline void minion_sleep(minion_server_t *server, int64_t wait_ms)
{
	int64_t end_us = g_get_monotonic_time() + wait_ms * 1000;

	g_mutex_lock(&server->lock);
	while (!server->stopping &&
	       g_cond_wait_until(&server->stopped, &server->lock, end_us))
		;
	g_mutex_unlock(&server->lock);
}

static inline void minion_note_run(minion_server_t *server, const char *id)
{
	gpointer count;

	g_mutex_lock(&server->lock);
	server->total_runs++;
	if (id != NULL && server->run_log_fd > 0)
		(void)!dprintf(server->run_log_fd, "%s\n", id);
	if (id != NULL) {
		count = g_hash_table_lookup(server->runs, id);
		g_hash_table_insert(
			server->runs, g_strdup(id),
			GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
	}
	g_mutex_unlock(&server->lock);
}

static inline void minion_set_mode(minion_server_t *server, minion_mode_t mode)
{
	g_mutex_lock(&server->lock);
	server->mode = mode;
	server->mode_since_us = g_get_monotonic_time();
	g_mutex_unlock(&server->lock);
}

static inline int32_t minion_runs_of(minion_server_t *server, const char *id)
{
	gpointer count;

	g_mutex_lock(&server->lock);
	count = g_hash_table_lookup(server->runs, id);
	g_mutex_unlock(&server->lock);
	return GPOINTER_TO_INT(count);
}

/* The minion's own paths: /minion/runs, /minion/stats, /minion/mode/NAME. */
static inline bool minion_admin(minion_connection_t *connection,
				const minion_request_t *request)
{
	minion_server_t *server = connection->server;
	GString *text;
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	bool good;

	if (!g_str_has_prefix(request->target, "/minion/"))
		return false;
	text = g_string_new(NULL);
	if (g_str_has_prefix(request->target, "/minion/mode/")) {
		for (int i = 0; i < MINION_MODE_COUNT; i++) {
			if (strcmp(request->target + 13,
				   minion_mode_names[i]) == 0)
				minion_set_mode(server, (minion_mode_t)i);
		}
	}
	if (g_str_has_prefix(request->target, "/minion/service_ms/"))
		server->service_ms = atoi(request->target + 19);
	g_mutex_lock(&server->lock);
	if (strcmp(request->target, "/minion/runs") == 0) {
		g_hash_table_iter_init(&iter, server->runs);
		while (g_hash_table_iter_next(&iter, &key, &value))
			g_string_append_printf(text, "%s %d\n",
					       (const char *)key,
					       GPOINTER_TO_INT(value));
	} else {
		g_string_append_printf(
			text,
			"{\"id\": \"%s\", \"runs\": %" G_GINT64_FORMAT
			", \"max_in_progress\": %d, \"max_connections\": %d}\n",
			server->id, server->total_runs, server->max_in_progress,
			server->max_connections);
	}
	g_mutex_unlock(&server->lock);
	good = minion_answer(connection, 200, "", text->str, text->len, true);
	g_string_free(text, TRUE);
	if (!good)
		shutdown(connection->fd, SHUT_RDWR);
	return true;
}

static inline char *minion_body(minion_server_t *server,
				const minion_request_t *request, size_t *size)
{
	GString *text = g_string_new(NULL);
	const char *bytes = strstr(request->target, "bytes=");

	if (g_str_has_prefix(request->target, "/echo")) {
		g_string_append(text, request->head);
		g_string_append_len(text, request->body->str,
				    (gssize)request->body->len);
	} else if (bytes != NULL) {
		size_t count = strtoul(bytes + 6, NULL, 10);

		g_string_set_size(text, count);
		memset(text->str, 'x', count);
	} else {
		g_string_printf(text, "minion %s ran %s\n", server->id,
				request->id != NULL ? request->id : "-");
	}
	*size = text->len;
	return g_string_free(text, FALSE);
}

/*
 * One more at once than ever before, and more than the slots: says who sent
 * them, and which of them their sender has given up. The lock is held.
 */
static inline void minion_show_work(minion_server_t *server)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, server->open_fds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		minion_connection_t *one = value;
		struct pollfd entry = { .fd = one->fd, .events = POLLRDHUP };
		struct sockaddr_in from = { 0 };
		socklen_t size = sizeof(from);

		if (!one->working)
			continue;
		getpeername(one->fd, (struct sockaddr *)&from, &size);
		g_message("%d at once: %s from port %d for %" G_GINT64_FORMAT
			  " ms%s",
			  server->in_progress, one->work_id,
			  ntohs(from.sin_port),
			  (g_get_monotonic_time() - one->work_since_us) / 1000,
			  poll(&entry, 1, 0) > 0 ? ", given up" : "");
	}
}

/* The lock is held. */
static inline void minion_begin_work(minion_connection_t *connection,
				     const minion_request_t *request)
{
	minion_server_t *server = connection->server;

	connection->working = true;
	connection->work_since_us = g_get_monotonic_time();
	connection->work_id = g_strdup(request->id);
	server->in_progress++;
	if (server->in_progress <= server->max_in_progress)
		return;
	server->max_in_progress = server->in_progress;
	if (server->in_progress > MINION_SLOTS)
		minion_show_work(server);
}

/* A request that ran and is never answered takes no slot any more. */
static inline void minion_end_work(minion_connection_t *connection)
{
	minion_server_t *server = connection->server;

	g_mutex_lock(&server->lock);
	if (connection->working)
		server->in_progress--;
	connection->working = false;
	g_free(connection->work_id);
	connection->work_id = NULL;
	g_mutex_unlock(&server->lock);
}

/* Runs the request and answers as the mode says; false: close. */
static inline bool minion_run(minion_connection_t *connection,
			      const minion_request_t *request,
			      minion_mode_t mode, int64_t mode_since_us)
{
	minion_server_t *server = connection->server;
	bool head = strcmp(request->method, "HEAD") == 0;
	const char *headers =
		mode == MINION_LEAVING
			? "Waxwinghollow-Minion-State: leaving\r\n"
		: mode == MINION_DENIES ? "Waxwinghollow-Run: not-run\r\n"
					: "";
	char *body;
	size_t size;
	bool keep = true;

	if (mode == MINION_REFUSE)
		return minion_answer(connection, 503,
				     "Waxwinghollow-Run: not-run\r\n"
				     "Retry-After: 1\r\n",
				     "", 0, true);
	minion_note_run(server, request->id);
	if (mode == MINION_FAIL)
		return minion_answer(connection, 500, "", "failed\n", 7, true);
	minion_sleep(server,
		     server->service_ms +
			     (server->jitter_ms > 0
				      ? g_random_int_range(0, server->jitter_ms)
				      : 0) +
			     (mode == MINION_LATE ? 300 : 0));
	if (mode == MINION_CLOSE ||
	    (mode == MINION_CLOSE_KEPT && connection->requests > 1))
		return false;
	if (mode == MINION_SILENT || (mode == MINION_SILENT_OLD &&
				      connection->made_us < mode_since_us)) {
		minion_end_work(connection);
		minion_sleep(server, 60 * 1000);
		return false;
	}
	if (mode == MINION_NO_LENGTH) {
		minion_send(connection->fd, "HTTP/1.1 200 X\r\n\r\nhalf", 22);
		return false;
	}
	if (mode == MINION_TRUNCATE) {
		minion_send(connection->fd,
			    "HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\nhalf",
			    42);
		return false;
	}
	if (mode == MINION_TRUNCATE_CHUNKED) {
		minion_send(connection->fd,
			    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n"
			    "\r\n4\r\nhalf\r\n",
			    55);
		return false;
	}
	body = minion_body(server, request, &size);
	keep = minion_answer(connection, 200, headers, body, size, !head);
	g_free(body);
	return keep;
}

static inline bool minion_serve(minion_connection_t *connection,
				const minion_request_t *request)
{
	minion_server_t *server = connection->server;
	minion_mode_t mode;
	int64_t since_us;
	bool keep;

	if (minion_admin(connection, request))
		return true;
	g_mutex_lock(&server->lock);
	mode = server->mode;
	since_us = server->mode_since_us;
	minion_begin_work(connection, request);
	g_mutex_unlock(&server->lock);
	connection->requests++;
	keep = minion_run(connection, request, mode, since_us);
	minion_end_work(connection);
	return keep;
}

static inline gpointer minion_connection_main(gpointer data)
{
	minion_connection_t *connection = data;
	minion_server_t *server = connection->server;
	bool keep = true;

	while (keep) {
		minion_request_t request;

		if (!minion_read(connection, &request))
			break;
		keep = minion_serve(connection, &request);
		minion_request_clear(&request);
	}
	g_mutex_lock(&server->lock);
	server->connections--;
	g_hash_table_remove(server->open_fds, GINT_TO_POINTER(connection->fd));
	g_mutex_unlock(&server->lock);
	close(connection->fd);
	g_string_free(connection->input, TRUE);
	g_free(connection);
	return NULL;
}

static inline gpointer minion_accept_main(gpointer data)
{
	minion_server_t *server = data;

	for (;;) {
		int fd = accept(server->listen_fd, NULL, NULL);
		minion_connection_t *connection;
		int on = 1;

		if (fd < 0)
			break;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		connection = g_new0(minion_connection_t, 1);
		connection->server = server;
		connection->fd = fd;
		connection->made_us = g_get_monotonic_time();
		connection->input = g_string_new(NULL);
		g_mutex_lock(&server->lock);
		server->connections++;
		server->max_connections =
			MAX(server->max_connections, server->connections);
		g_hash_table_insert(server->open_fds, GINT_TO_POINTER(fd),
				    connection);
		g_mutex_unlock(&server->lock);
		g_thread_unref(g_thread_new("minion", minion_connection_main,
					    connection));
	}
	return NULL;
}

static inline minion_server_t *minion_server_start(const char *id, int port,
						   int32_t service_ms)
{
	minion_server_t *server = g_new0(minion_server_t, 1);
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);
	int on = 1;

	server->id = id;
	server->service_ms = service_ms;
	server->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	server->open_fds = g_hash_table_new(NULL, NULL);
	server->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(server->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on,
		   sizeof(on));
	if (bind(server->listen_fd, (struct sockaddr *)&address, size) != 0 ||
	    listen(server->listen_fd, 512) != 0)
		g_error("minion: can't listen on port %d", port);
	getsockname(server->listen_fd, (struct sockaddr *)&address, &size);
	server->port = ntohs(address.sin_port);
	server->acceptor = g_thread_new("acceptor", minion_accept_main, server);
	return server;
}

static inline void minion_server_stop(minion_server_t *server)
{
	GHashTableIter iter;
	gpointer key;

	g_mutex_lock(&server->lock);
	server->stopping = true;
	g_cond_broadcast(&server->stopped);
	g_hash_table_iter_init(&iter, server->open_fds);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		shutdown(GPOINTER_TO_INT(key), SHUT_RDWR);
	g_mutex_unlock(&server->lock);
	shutdown(server->listen_fd, SHUT_RDWR);
	g_thread_join(server->acceptor);
	close(server->listen_fd);
	for (;;) {
		int32_t left;

		g_mutex_lock(&server->lock);
		left = server->connections;
		g_mutex_unlock(&server->lock);
		if (left == 0)
			break;
		g_usleep(1000);
	}
	g_hash_table_destroy(server->runs);
	g_hash_table_destroy(server->open_fds);
	g_free(server);
}

#endif
