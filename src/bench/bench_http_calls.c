#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "waxwinghollow/http_calls.h"

/*
 * Processor time that a short call costs the thread that sends it, while a long
 * poll is held at every endpoint, as a holder has it. The endpoints are sockets
 * of a thread of this program, whose own time isn't counted. Prints a table; no
 * argument.
 */

#define CALLS 20000
#define IN_FLIGHT 16
#define EVENTS 256
#define REQUEST_BYTES 4096
#define HELD_PATH "/held"
#define CALL_LIMIT_MS 20000
#define US_PER_S 1000000.0
#define NS_PER_US 1000.0

static const int32_t endpoint_counts[] = { 50, 350, 2000 };

typedef struct {
	int epoll_fd;
	int *listening;
	int32_t count;
	GThread *thread;
	gint ending;
} server_t;

typedef struct {
	wwh_http_calls_t *calls;
	server_t *server;
	char **endpoints;
	int32_t sent;
	int32_t ended;
	int32_t failed;
} load_t;

/* Connections and listening sockets are told apart by the sign. */
static void watch(server_t *server, int fd, int32_t tag)
{
	struct epoll_event event = { .events = EPOLLIN, .data.fd = tag };

	(void)epoll_ctl(server->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

/* Requests of this program arrive whole; one that waits gets no answer. */
static void answer(int fd)
{
	static const char text[] = "HTTP/1.1 200 OK\r\n"
				   "Content-Type: application/json\r\n"
				   "Content-Length: 16\r\n\r\n"
				   "{\"clock\":482113}";
	char request[REQUEST_BYTES + 1];
	ssize_t size = recv(fd, request, REQUEST_BYTES, 0);

	if (size <= 0) {
		close(fd);
		return;
	}
	request[size] = '\0';
	if (strstr(request, HELD_PATH) == NULL &&
	    send(fd, text, sizeof(text) - 1, MSG_NOSIGNAL) < 0)
		close(fd);
}

static gpointer serve(gpointer data)
{
	server_t *server = data;
	struct epoll_event events[EVENTS];

	while (!g_atomic_int_get(&server->ending)) {
		int count = epoll_wait(server->epoll_fd, events, EVENTS, 50);

		for (int i = 0; i < count; i++) {
			int fd = events[i].data.fd;

			if (fd < 0) {
				fd = accept(-fd, NULL, NULL);
				watch(server, fd, fd);
			} else {
				answer(fd);
			}
		}
	}
	return NULL;
}

static char *listen_at(server_t *server, int32_t index)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t size = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(fd, 16) != 0 ||
	    getsockname(fd, (struct sockaddr *)&at, &size) != 0)
		g_error("no port to listen at");
	server->listening[index] = fd;
	watch(server, fd, -fd);
	return g_strdup_printf("127.0.0.1:%d", ntohs(at.sin_port));
}

static void on_done(const wwh_http_answer_t *answer, void *data);

static void send_one(load_t *load, const char *endpoint, const char *path)
{
	/* as large as a usual order */
	static const char body[] =
		"{\"what\":\"5c0e7a21d94b36f8.0.1.17\",\"number\":2,"
		"\"token\":7,\"until\":486000,\"text\":\"a text\"}";
	wwh_http_call_t *call =
		wwh_http_call_new("POST", endpoint, CALL_LIMIT_MS);

	call->path = g_strdup(path);
	call->content_type = "application/json";
	call->body = g_byte_array_new();
	g_byte_array_append(call->body, (const guint8 *)body, sizeof(body) - 1);
	wwh_http_call_add_header(call, "X-Addressee", "upstream");
	wwh_http_calls_send(load->calls, call, on_done, load);
}

static void send_next(load_t *load)
{
	int32_t number = load->sent++;

	send_one(load, load->endpoints[number % load->server->count], "/order");
}

static void on_done(const wwh_http_answer_t *answer, void *data)
{
	load_t *load = data;

	if (load->server == NULL) /* a held call at the end */
		return;
	load->ended++;
	load->failed += answer->outcome != WWH_CALL_ANSWERED;
	if (load->sent < CALLS)
		send_next(load);
}

static double thread_us(void)
{
	struct timespec time;

	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (double)time.tv_sec * US_PER_S +
	       (double)time.tv_nsec / NS_PER_US;
}

static void run_row(int32_t count)
{
	wwh_counters_t *counters = wwh_counters_new();
	server_t server = { .epoll_fd = epoll_create1(0), .count = count };
	load_t load = { .calls = wwh_http_calls_new(counters),
			.server = &server,
			.endpoints = g_new0(char *, (guint)count) };
	double began_us;

	server.listening = g_new0(int, (guint)count);
	for (int32_t i = 0; i < count; i++)
		load.endpoints[i] = listen_at(&server, i);
	server.thread = g_thread_new("server", serve, &server);
	for (int32_t i = 0; i < count; i++)
		send_one(&load, load.endpoints[i], HELD_PATH);
	for (int32_t i = 0; i < 20; i++)
		wwh_http_calls_poll(load.calls, 10);
	for (int32_t i = 0; i < IN_FLIGHT; i++)
		send_next(&load);
	began_us = thread_us();
	while (load.ended < CALLS)
		wwh_http_calls_poll(load.calls, 10);
	printf("%9d %9.1f %6d %11" G_GINT64_FORMAT "\n", count,
	       (thread_us() - began_us) / CALLS, load.failed,
	       wwh_counter_value(
		       wwh_counters_get(counters, "calls.connections")));
	load.server = NULL;
	wwh_http_calls_delete(load.calls);
	g_atomic_int_set(&server.ending, 1);
	g_thread_join(server.thread);
	for (int32_t i = 0; i < count; i++) {
		close(server.listening[i]);
		g_free(load.endpoints[i]);
	}
	close(server.epoll_fd);
	g_free(server.listening);
	g_free(load.endpoints);
	wwh_counters_delete(counters);
}

int main(void)
{
	struct rlimit files;

	if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
		files.rlim_cur = files.rlim_max;
		(void)setrlimit(RLIMIT_NOFILE, &files);
	}
	printf("endpoints us_a_call failed connections\n");
	for (size_t i = 0; i < G_N_ELEMENTS(endpoint_counts); i++)
		run_row(endpoint_counts[i]);
	return 0;
}
