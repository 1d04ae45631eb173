#ifndef RAW_SERVER_H
#define RAW_SERVER_H

/*
 * A server on a raw socket that answers the Nth request with the Nth string
 * of a script, whole or cut, and counts the requests that reached it. A
 * string that ends in RAW_CLOSE ends the connection after it; RAW_SILENT
 * leaves the request without an answer until the client goes.
 */

#include <assert.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RAW_CLOSE "\x01"
#define RAW_SILENT "\x02"

#define REQUEST_BYTES 4096

typedef struct {
	int listener;
	int32_t port;
	GThread *thread;
	const char *const *script;
	int32_t length;
	int32_t requests;
} raw_server_t;

/* Reads headers and the body that Content-Length declares. */
static inline bool read_request(int fd)
{
	char buffer[REQUEST_BYTES] = { 0 };
	size_t have = 0;
	size_t want = sizeof(buffer) - 1;

	while (have < want) {
		ssize_t got = recv(fd, buffer + have, want - have, 0);
		const char *end;
		const char *length;

		if (got <= 0)
			return false;
		have += (size_t)got;
		end = strstr(buffer, "\r\n\r\n");
		if (end == NULL)
			continue;
		length = strstr(buffer, "Content-Length: ");
		want = (size_t)(end + 4 - buffer);
		if (length != NULL)
			want += g_ascii_strtoull(length + 16, NULL, 10);
	}
	return true;
}

/* Returns whether the connection goes on. */
static inline bool write_answer(int fd, const char *answer)
{
	size_t size = strlen(answer);
	bool ends = g_str_has_suffix(answer, RAW_CLOSE);
	char byte;

	if (strcmp(answer, RAW_SILENT) == 0)
		return recv(fd, &byte, 1, 0) > 0;
	if (ends)
		size--;
	if (size > 0)
		assert(send(fd, answer, size, MSG_NOSIGNAL) == (ssize_t)size);
	return !ends;
}

static inline void serve_connection(raw_server_t *server, int fd)
{
	while (read_request(fd)) {
		int32_t index = server->requests++;

		if (index >= server->length ||
		    !write_answer(fd, server->script[index]))
			return;
	}
}

static inline gpointer raw_server_run(gpointer data)
{
	raw_server_t *server = data;

	for (;;) {
		int fd = accept(server->listener, NULL, NULL);

		if (fd < 0)
			return NULL;
		serve_connection(server, fd);
		close(fd);
	}
}

static inline raw_server_t *raw_server_new(const char *const *script,
					   int32_t length)
{
	raw_server_t *server = g_new0(raw_server_t, 1);
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->listener = socket(AF_INET, SOCK_STREAM, 0);
	assert(bind(server->listener, (struct sockaddr *)&address, size) == 0);
	assert(listen(server->listener, 8) == 0);
	assert(getsockname(server->listener, (struct sockaddr *)&address,
			   &size) == 0);
	server->port = ntohs(address.sin_port);
	server->script = script;
	server->length = length;
	server->thread = g_thread_new("raw", raw_server_run, server);
	return server;
}

static inline int32_t raw_server_port(const raw_server_t *server)
{
	return server->port;
}

static inline int32_t raw_server_delete(raw_server_t *server)
{
	int32_t requests;

	shutdown(server->listener, SHUT_RDWR);
	g_thread_join(server->thread);
	close(server->listener);
	requests = server->requests;
	g_free(server);
	return requests;
}

#endif
