/*
 * Tests the outcomes of HTTP calls. The remote ends are sockets that answer by
 * a script, refuse connections, never answer or close the connection.
 */

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "../test_standins/include/free_port.h"
#include "../test_standins/include/raw_server.h"
#include "waxwinghollow/http_calls.h"

#define OK "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
#define OK_AND_CLOSE                                                           \
	"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
#define TRUNCATED_ANSWER                                                       \
	"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello" RAW_CLOSE
#define UNAVAILABLE                                                            \
	"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 7\r\n"               \
	"Content-Length: 0\r\n\r\n"

/* Takes libevent several reads and fits into the buffers of the sockets. */
#define LARGE_BYTES (80 << 10)

/* Size of an answer that takes many reads, and the number of such calls. */
#define HUGE_BYTES (1 << 20)
#define ENDPOINTS 6

#define TIMEOUT_MS 3000
#define SHORT_TIMEOUT_MS 300
/* Ends a wait, so that a failed check reports what is missing. */
#define TEST_TIMEOUT_MS 10000
#define MAX_CONNECTIONS_PER_ENDPOINT 6
#define MORE_CALLS_THAN_CONNECTIONS 9

/* libevent reads at most 32 ready sockets before it runs expired timers. */
#define CALLS_OVER_EPOLL_BATCH 64
#define LOOP_STALL_MS 40

typedef struct {
	wwh_counters_t *counters;
	wwh_http_calls_t *calls;
	int32_t ended;
	int32_t outcomes[WWH_CALL_OUTCOME_COUNT];
	int32_t status;
	int64_t retry_after_s;
	GString *body;
} fixture_t;

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->counters = wwh_counters_new();
	fixture->calls = wwh_http_calls_new(fixture->counters);
	fixture->body = g_string_new(NULL);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	wwh_http_calls_delete(fixture->calls);
	wwh_counters_delete(fixture->counters);
	g_string_free(fixture->body, TRUE);
	g_free(fixture);
	return 0;
}

static void on_done(const wwh_http_answer_t *answer, void *data)
{
	fixture_t *fixture = data;

	fixture->ended++;
	fixture->outcomes[answer->outcome]++;
	fixture->status = answer->status;
	fixture->retry_after_s = answer->retry_after_s;
	g_string_append_len(fixture->body, (const char *)answer->body,
			    (gssize)answer->body_size);
}

static void send_to(fixture_t *fixture, const char *endpoint,
		    int64_t timeout_ms)
{
	wwh_http_call_t *call = wwh_http_call_new("POST", endpoint, timeout_ms);

	call->path = g_strdup("/order?x=1");
	call->content_type = "application/json";
	call->body = g_byte_array_new();
	g_byte_array_append(call->body, (const guint8 *)"{}", 2);
	wwh_http_call_add_header(call, "X-Life", "u1");
	wwh_http_calls_send(fixture->calls, call, on_done, fixture);
}

static void send_to_port(fixture_t *fixture, int32_t port, int64_t timeout_ms)
{
	char *endpoint = g_strdup_printf("127.0.0.1:%d", (int)port);

	send_to(fixture, endpoint, timeout_ms);
	g_free(endpoint);
}

static void wait_for_callbacks(fixture_t *fixture, int32_t count)
{
	int64_t end_us = g_get_monotonic_time() + TEST_TIMEOUT_MS * 1000;

	while (fixture->ended < count && g_get_monotonic_time() < end_us)
		wwh_http_calls_poll(fixture->calls, 20);
	assert_int_equal(fixture->ended, count);
}

static int64_t connections(const fixture_t *fixture)
{
	return wwh_counter_value(
		wwh_counters_get(fixture->counters, "calls.connections"));
}

static void sequential_calls_reuse_one_connection(void **state)
{
	static const char *const script[] = { OK, UNAVAILABLE, OK };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 3);

	for (int32_t i = 0; i < 3; i++) {
		send_to_port(fixture, raw_server_port(server), TIMEOUT_MS);
		wait_for_callbacks(fixture, i + 1);
		assert_int_equal(fixture->status, i == 1 ? 503 : 200);
		assert_int_equal(fixture->retry_after_s, i == 1 ? 7 : -1);
	}
	assert_string_equal(fixture->body->str, "hellohello");
	assert_int_equal(fixture->outcomes[WWH_CALL_ANSWERED], 3);
	assert_int_equal(connections(fixture), 1);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	assert_int_equal(raw_server_delete(server), 3);
}

static void connection_close_leads_to_a_new_connection(void **state)
{
	static const char *const script[] = { OK_AND_CLOSE RAW_CLOSE, OK };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 2);

	send_to_port(fixture, raw_server_port(server), TIMEOUT_MS);
	wait_for_callbacks(fixture, 1);
	send_to_port(fixture, raw_server_port(server), TIMEOUT_MS);
	wait_for_callbacks(fixture, 2);
	assert_int_equal(fixture->outcomes[WWH_CALL_ANSWERED], 2);
	assert_int_equal(connections(fixture), 2);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	assert_int_equal(raw_server_delete(server), 2);
}

/*
 * Guards against waiting for an upstream whose process has ended, as for one
 * that doesn't answer.
 */
static void refused_connection_is_reported_as_refused(void **state)
{
	fixture_t *fixture = *state;

	send_to_port(fixture, standin_free_port(), TIMEOUT_MS);
	wait_for_callbacks(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_REFUSED], 1);
}

/* Accepts connections and resets them, until its listener is shut down. */
static gpointer reset_connections(gpointer data)
{
	int listener = GPOINTER_TO_INT(data);
	const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };
	int connection;

	while ((connection = accept(listener, NULL, NULL)) >= 0) {
		(void)setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once,
				 sizeof(at_once));
		close(connection);
	}
	return NULL;
}

static int listen_at_any_port(int32_t *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	assert_int_equal(
		bind(listener, (struct sockaddr *)&address, sizeof(address)),
		0);
	assert_int_equal(listen(listener, SOMAXCONN), 0);
	assert_int_equal(
		getsockname(listener, (struct sockaddr *)&address, &size), 0);
	*port = ntohs(address.sin_port);
	return listener;
}

/*
 * Guards against an upstream that is taken for terminated, while it runs on, as its
 * connections are reset: its tasks would run twice.
 */
static void reset_connection_is_not_reported_as_refused(void **state)
{
	const int32_t calls = 300;
	fixture_t *fixture = *state;
	int32_t port;
	int listener = listen_at_any_port(&port);
	GThread *thread = g_thread_new("reset", reset_connections,
				       GINT_TO_POINTER(listener));

	for (int32_t i = 0; i < calls; i++) {
		send_to_port(fixture, port, TIMEOUT_MS);
		send_to_port(fixture, port, TIMEOUT_MS);
		wait_for_callbacks(fixture, 2 * i + 2);
	}
	assert_int_equal(fixture->outcomes[WWH_CALL_REFUSED], 0);
	(void)shutdown(listener, SHUT_RDWR);
	(void)g_thread_join(thread);
	close(listener);
}

/* A DNS lookup would block all other calls for seconds. */
static void host_name_is_rejected_as_endpoint(void **state)
{
	fixture_t *fixture = *state;

	send_to(fixture, "localhost:1", TIMEOUT_MS);
	send_to(fixture, "e", TIMEOUT_MS);
	assert_int_equal(fixture->ended, 0);
	wait_for_callbacks(fixture, 2);
	assert_int_equal(fixture->outcomes[WWH_CALL_NOT_SENT], 2);
}

/* Guards against a process that runs out of memory by one answer. */
static void an_oversized_answer_is_not_waited_for(void **state)
{
	static const char *const script[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nhello",
	};
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 1);
	int64_t sent_us = g_get_monotonic_time();

	send_to_port(fixture, raw_server_port(server), TIMEOUT_MS);
	wait_for_callbacks(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_NO_ANSWER], 1);
	assert_true(g_get_monotonic_time() - sent_us < TIMEOUT_MS * 1000 / 2);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	assert_int_equal(raw_server_delete(server), 1);
}

/*
 * A persistent connection closes while the next request is on its way, so the
 * remote end may have carried it out. If the library sent it again, an order
 * would be carried out twice; if it was reported as not sent, the task would be
 * started elsewhere as well.
 */
static void connection_closed_after_request_is_no_answer(void **state)
{
	static const char *const script[] = { OK, RAW_CLOSE, OK };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 3);

	send_to_port(fixture, raw_server_port(server), TIMEOUT_MS);
	wait_for_callbacks(fixture, 1);
	send_to_port(fixture, raw_server_port(server), TIMEOUT_MS);
	wait_for_callbacks(fixture, 2);
	assert_int_equal(fixture->outcomes[WWH_CALL_NO_ANSWER], 1);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	assert_int_equal(raw_server_delete(server), 2);
}

static void truncated_answer_is_no_answer(void **state)
{
	static const char *const script[] = { TRUNCATED_ANSWER };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 1);

	send_to_port(fixture, raw_server_port(server), TIMEOUT_MS);
	wait_for_callbacks(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_NO_ANSWER], 1);
	assert_int_equal(raw_server_delete(server), 1);
}

/*
 * A connection stops delivering data for good while new ones work. If it was
 * reused, each later call on it would time out.
 */
static void silent_connection_is_not_reused(void **state)
{
	static const char *const script[] = { RAW_SILENT, OK };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 2);

	send_to_port(fixture, raw_server_port(server), SHORT_TIMEOUT_MS);
	wait_for_callbacks(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_NO_ANSWER], 1);
	send_to_port(fixture, raw_server_port(server), TIMEOUT_MS);
	wait_for_callbacks(fixture, 2);
	assert_int_equal(fixture->outcomes[WWH_CALL_ANSWERED], 1);
	assert_int_equal(connections(fixture), 2);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	assert_int_equal(raw_server_delete(server), 2);
}

/*
 * Guards against an abort of the process when an answer is read in the pass of
 * a busy event loop in which its call has timed out.
 */
static void answer_read_after_timeout_counts(void **state)
{
	fixture_t *fixture = *state;
	char *body = g_strnfill(LARGE_BYTES, 'x');
	char *answer = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", LARGE_BYTES,
		body);
	const char *const script[] = { answer };
	raw_server_t *server = raw_server_new(script, 1);

	send_to_port(fixture, raw_server_port(server), SHORT_TIMEOUT_MS);
	wwh_http_calls_poll(fixture->calls, 20);
	wwh_http_calls_poll(fixture->calls, 20);
	/* by then the whole answer has arrived; it takes several reads */
	g_usleep(2 * SHORT_TIMEOUT_MS * 1000);
	wwh_http_calls_poll(fixture->calls, 0);
	wait_for_callbacks(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_ANSWERED], 1);
	assert_int_equal(fixture->body->len, LARGE_BYTES);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	assert_int_equal(raw_server_delete(server), 1);
	g_free(answer);
	g_free(body);
}

/* Returns a listening socket whose backlog is full. */
static int listen_with_full_backlog(int backlog_fds[2], int32_t *port)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t size = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&at, size), 0);
	assert_int_equal(listen(fd, 0), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
	for (int32_t i = 0; i < 2; i++) {
		backlog_fds[i] =
			socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(backlog_fds[i], (struct sockaddr *)&at, size);
	}
	*port = ntohs(at.sin_port);
	return fd;
}

/* A call to an unreachable host ends soon, as not sent. */
static void call_without_connection_is_not_sent(void **state)
{
	fixture_t *fixture = *state;
	int64_t began_us = g_get_monotonic_time();
	int backlog_fds[2];
	int32_t port;
	int listener = listen_with_full_backlog(backlog_fds, &port);

	send_to_port(fixture, port, TIMEOUT_MS);
	wait_for_callbacks(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_NOT_SENT], 1);
	assert_true(g_get_monotonic_time() - began_us < TIMEOUT_MS * 1000);
	close(backlog_fds[0]);
	close(backlog_fds[1]);
	close(listener);
}

/* Calls above the endpoint's limit of connections wait for a free one. */
static void calls_wait_for_a_free_connection(void **state)
{
	static const char *const script[] = {
		OK, OK, OK, OK, OK, OK, OK, OK, OK
	};
	fixture_t *fixture = *state;
	raw_server_t *server =
		raw_server_new(script, MORE_CALLS_THAN_CONNECTIONS);

	/* the server serves one connection at a time, until it is closed */
	for (int32_t i = 0; i < MORE_CALLS_THAN_CONNECTIONS; i++)
		send_to_port(fixture, raw_server_port(server),
			     SHORT_TIMEOUT_MS);
	wait_for_callbacks(fixture, MORE_CALLS_THAN_CONNECTIONS);
	assert_true(fixture->outcomes[WWH_CALL_ANSWERED] >= 4);
	assert_true(connections(fixture) <= 6);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	(void)raw_server_delete(server);
}

/*
 * Guards against an order that waits for a connection and is sent when the
 * state that it was decided on is too old.
 */
static void call_is_not_sent_after_send_timeout(void **state)
{
	static const char *const script[] = { RAW_SILENT };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 1);
	char *endpoint =
		g_strdup_printf("127.0.0.1:%d", (int)raw_server_port(server));
	wwh_http_call_t *call = wwh_http_call_new("POST", endpoint, TIMEOUT_MS);
	int64_t began_us = g_get_monotonic_time();

	for (int32_t i = 0; i < MAX_CONNECTIONS_PER_ENDPOINT; i++)
		send_to(fixture, endpoint, TIMEOUT_MS);
	call->path = g_strdup("/order");
	call->send_timeout_ms = SHORT_TIMEOUT_MS;
	wwh_http_calls_send(fixture->calls, call, on_done, fixture);
	wait_for_callbacks(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_NOT_SENT], 1);
	assert_true(g_get_monotonic_time() - began_us < TIMEOUT_MS * 1000 / 2);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	(void)raw_server_delete(server);
	g_free(endpoint);
}

/* Returns a listening socket that has room for one connection or two. */
static int listen_on_free_port(int32_t *port)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t size = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&at, size), 0);
	assert_int_equal(listen(fd, 1), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
	*port = ntohs(at.sin_port);
	return fd;
}

/* Returns whether any byte has arrived at a listening socket, and closes it. */
static bool close_and_check_received(int listener)
{
	int fd = accept(listener, NULL, NULL);
	char byte;
	bool received = fd >= 0 && recv(fd, &byte, 1, 0) > 0;

	if (fd >= 0)
		close(fd);
	close(listener);
	return received;
}

/*
 * Guards against an order that times out before its connection is ready and is
 * then written in the same pass of a busy event loop: reported as not sent, its
 * task would be started a second time.
 */
static void call_that_times_out_unsent_is_never_sent(void **state)
{
	fixture_t *fixture = *state;
	int listeners[CALLS_OVER_EPOLL_BATCH];
	int32_t received = 0;
	int32_t ports[CALLS_OVER_EPOLL_BATCH];

	for (int32_t i = 0; i < CALLS_OVER_EPOLL_BATCH; i++) {
		listeners[i] = listen_on_free_port(&ports[i]);
		send_to_port(fixture, ports[i], LOOP_STALL_MS / 2);
	}
	g_usleep(LOOP_STALL_MS * 1000);
	wwh_http_calls_poll(fixture->calls, 0);
	wait_for_callbacks(fixture, CALLS_OVER_EPOLL_BATCH);
	/* without calls that end both ways the test shows nothing */
	assert_true(fixture->outcomes[WWH_CALL_NOT_SENT] > 0);
	assert_true(fixture->outcomes[WWH_CALL_NO_ANSWER] > 0);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	for (int32_t i = 0; i < CALLS_OVER_EPOLL_BATCH; i++)
		received += close_and_check_received(listeners[i]);
	assert_true(received <= fixture->outcomes[WWH_CALL_NO_ANSWER]);
}

/*
 * Guards against an order that is reported as not sent although its first bytes have
 * left: the receiver's buffers are full before the whole request is written.
 */
static void request_written_in_part_is_no_answer(void **state)
{
	fixture_t *fixture = *state;
	int size = REQUEST_BYTES;
	int32_t port;
	int listener = listen_on_free_port(&port);
	char *endpoint = g_strdup_printf("127.0.0.1:%d", (int)port);
	wwh_http_call_t *call =
		wwh_http_call_new("POST", endpoint, SHORT_TIMEOUT_MS);

	assert_int_equal(setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &size,
				    sizeof(size)),
			 0);
	call->path = g_strdup("/order");
	call->body = g_byte_array_new();
	g_byte_array_set_size(call->body, 8 * HUGE_BYTES);
	memset(call->body->data, 'x', 8 * HUGE_BYTES);
	wwh_http_calls_send(fixture->calls, call, on_done, fixture);
	wait_for_callbacks(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_NO_ANSWER], 1);
	assert_true(close_and_check_received(listener));
	g_free(endpoint);
}

/*
 * Guards against a call on a reused connection that the remote end has closed, which
 * isn't known yet: its bytes may have been read before.
 */
static void
call_on_a_connection_that_closes_is_no_answer_or_answered(void **state)
{
	static const char *const script[] = { OK, RAW_CLOSE, OK };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 3);
	int32_t requests;

	send_to_port(fixture, raw_server_port(server), TIMEOUT_MS);
	wait_for_callbacks(fixture, 1);
	for (int32_t i = 0; i < 3; i++) {
		/* the loop doesn't run between the server's close and the call */
		send_to_port(fixture, raw_server_port(server),
			     SHORT_TIMEOUT_MS);
		g_usleep(LOOP_STALL_MS * 1000);
		wwh_http_calls_poll(fixture->calls, 0);
	}
	wait_for_callbacks(fixture, 4);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	requests = raw_server_delete(server);
	assert_true(requests <= fixture->outcomes[WWH_CALL_ANSWERED] +
					fixture->outcomes[WWH_CALL_NO_ANSWER]);
}

static void delete_reports_calls_in_progress(void **state)
{
	static const char *const script[] = { RAW_SILENT };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 1);

	for (int32_t i = 0; i < MORE_CALLS_THAN_CONNECTIONS; i++)
		send_to_port(fixture, raw_server_port(server), TIMEOUT_MS);
	wwh_http_calls_poll(fixture->calls, 20);
	assert_int_equal(wwh_http_calls_in_progress(fixture->calls),
			 MORE_CALLS_THAN_CONNECTIONS);
	wwh_http_calls_delete(fixture->calls);
	assert_int_equal(fixture->outcomes[WWH_CALL_NO_ANSWER],
			 MORE_CALLS_THAN_CONNECTIONS);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	(void)raw_server_delete(server);
}

static gpointer wake_later(gpointer data)
{
	g_usleep(50 * 1000);
	wwh_http_calls_wake(data);
	return NULL;
}

static void wake_ends_poll(void **state)
{
	fixture_t *fixture = *state;
	int64_t began_us = g_get_monotonic_time();
	GThread *thread = g_thread_new("wake", wake_later, fixture->calls);

	wwh_http_calls_poll(fixture->calls, TEST_TIMEOUT_MS);
	assert_true(g_get_monotonic_time() - began_us < TEST_TIMEOUT_MS * 500);
	g_thread_join(thread);
}

static void count_callback(const wwh_http_answer_t *answer, void *data)
{
	(void)answer;
	++*(int32_t *)data;
}

/*
 * Guards against a large answer of the store that arrives too late because it
 * is read in small parts between the answers of all other calls.
 */
static void priority_answer_is_read_before_others(void **state)
{
	fixture_t *fixture = *state;
	char *body = g_strnfill(HUGE_BYTES, 'x');
	char *answer = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", HUGE_BYTES,
		body);
	const char *script[] = { answer };
	raw_server_t *servers[ENDPOINTS];
	int32_t others = 0;

	for (int32_t i = 0; i < ENDPOINTS; i++) {
		bool last = i == ENDPOINTS - 1;
		char *endpoint;
		wwh_http_call_t *call;

		servers[i] = raw_server_new(script, 1);
		endpoint = g_strdup_printf("127.0.0.1:%d",
					   (int)raw_server_port(servers[i]));
		call = wwh_http_call_new("GET", endpoint, TEST_TIMEOUT_MS);
		call->path = g_strdup("/");
		call->has_priority = last;
		wwh_http_calls_send(fixture->calls, call,
				    last ? on_done : count_callback,
				    last ? (void *)fixture : &others);
		g_free(endpoint);
	}
	while (fixture->ended == 0) {
		g_usleep(20 * 1000);
		wwh_http_calls_poll(fixture->calls, 5);
	}
	assert_int_equal(fixture->body->len, HUGE_BYTES);
	assert_int_equal(others, 0);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	for (int32_t i = 0; i < ENDPOINTS; i++)
		(void)raw_server_delete(servers[i]);
	g_free(answer);
	g_free(body);
}

int main(void)
{
#define TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		TEST(sequential_calls_reuse_one_connection),
		TEST(connection_close_leads_to_a_new_connection),
		TEST(refused_connection_is_reported_as_refused),
		TEST(reset_connection_is_not_reported_as_refused),
		TEST(priority_answer_is_read_before_others),
		TEST(host_name_is_rejected_as_endpoint),
		TEST(connection_closed_after_request_is_no_answer),
		TEST(an_oversized_answer_is_not_waited_for),
		TEST(truncated_answer_is_no_answer),
		TEST(silent_connection_is_not_reused),
		TEST(answer_read_after_timeout_counts),
		TEST(call_without_connection_is_not_sent),
		TEST(calls_wait_for_a_free_connection),
		TEST(call_is_not_sent_after_send_timeout),
		TEST(call_that_times_out_unsent_is_never_sent),
		TEST(request_written_in_part_is_no_answer),
		TEST(call_on_a_connection_that_closes_is_no_answer_or_answered),
		TEST(delete_reports_calls_in_progress),
		TEST(wake_ends_poll),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
