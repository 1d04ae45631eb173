/*
 * What the sender of a call may conclude from its outcome. The other ends are
 * sockets that answer by a script, refuse, keep silent or go away.
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
#define LAST "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
#define HALF "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello" RAW_CLOSE
#define BUSY                                                                   \
	"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 7\r\n"               \
	"Content-Length: 0\r\n\r\n"

/* Several reads of the library, and fits into the sockets' buffers. */
#define LARGE_BYTES (80 << 10)

/* An answer of many reads, and how many are waited for at once. */
#define HUGE_BYTES (1 << 20)
#define ENDPOINTS 6

#define LIMIT_MS 3000
#define SHORT_LIMIT_MS 300
/* Then a failed check says what is missing. */
#define WAIT_MAX_MS 10000
#define CONNECTIONS_AN_ENDPOINT 6
#define MORE_THAN_AN_ENDPOINT_MAY_HAVE 9

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

static void send_to(fixture_t *fixture, const char *endpoint, int64_t limit_ms)
{
	wwh_http_call_t *call = wwh_http_call_new("POST", endpoint, limit_ms);

	call->path = g_strdup("/order?x=1");
	call->content_type = "application/json";
	call->body = g_byte_array_new();
	g_byte_array_append(call->body, (const guint8 *)"{}", 2);
	wwh_http_call_add_header(call, "X-Life", "u1");
	wwh_http_calls_send(fixture->calls, call, on_done, fixture);
}

static void send_to_port(fixture_t *fixture, int32_t port, int64_t limit_ms)
{
	char *endpoint = g_strdup_printf("127.0.0.1:%d", (int)port);

	send_to(fixture, endpoint, limit_ms);
	g_free(endpoint);
}

static void wait_for(fixture_t *fixture, int32_t count)
{
	int64_t end_us = g_get_monotonic_time() + WAIT_MAX_MS * 1000;

	while (fixture->ended < count && g_get_monotonic_time() < end_us)
		wwh_http_calls_poll(fixture->calls, 20);
	assert_int_equal(fixture->ended, count);
}

static int64_t connections(const fixture_t *fixture)
{
	return wwh_counter_value(
		wwh_counters_get(fixture->counters, "calls.connections"));
}

static void answers_come_over_one_connection(void **state)
{
	static const char *const script[] = { OK, BUSY, OK };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 3);

	for (int32_t i = 0; i < 3; i++) {
		send_to_port(fixture, raw_server_port(server), LIMIT_MS);
		wait_for(fixture, i + 1);
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

static void after_a_last_answer_a_new_connection_is_made(void **state)
{
	static const char *const script[] = { LAST RAW_CLOSE, OK };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 2);

	send_to_port(fixture, raw_server_port(server), LIMIT_MS);
	wait_for(fixture, 1);
	send_to_port(fixture, raw_server_port(server), LIMIT_MS);
	wait_for(fixture, 2);
	assert_int_equal(fixture->outcomes[WWH_CALL_ANSWERED], 2);
	assert_int_equal(connections(fixture), 2);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	assert_int_equal(raw_server_delete(server), 2);
}

/* Taken for silence, an upstream whose process has ended would be waited for. */
static void nobody_listens(void **state)
{
	fixture_t *fixture = *state;

	send_to_port(fixture, standin_free_port(), LIMIT_MS);
	wait_for(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_REFUSED], 1);
}

/* Looking a name up would hold back all other calls for seconds. */
static void a_name_is_no_endpoint(void **state)
{
	fixture_t *fixture = *state;

	send_to(fixture, "localhost:1", LIMIT_MS);
	send_to(fixture, "e", LIMIT_MS);
	assert_int_equal(fixture->ended, 0);
	wait_for(fixture, 2);
	assert_int_equal(fixture->outcomes[WWH_CALL_NOT_SENT], 2);
}

/*
 * A kept connection ends as the next request is on its way: the other end may
 * have carried it out. Sent again by the library, an order would be carried out
 * twice; told as not sent, its task would be started elsewhere as well.
 */
static void a_connection_that_ends_after_the_request(void **state)
{
	static const char *const script[] = { OK, RAW_CLOSE, OK };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 3);

	send_to_port(fixture, raw_server_port(server), LIMIT_MS);
	wait_for(fixture, 1);
	send_to_port(fixture, raw_server_port(server), LIMIT_MS);
	wait_for(fixture, 2);
	assert_int_equal(fixture->outcomes[WWH_CALL_NO_ANSWER], 1);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	assert_int_equal(raw_server_delete(server), 2);
}

static void an_answer_that_breaks_off(void **state)
{
	static const char *const script[] = { HALF };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 1);

	send_to_port(fixture, raw_server_port(server), LIMIT_MS);
	wait_for(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_NO_ANSWER], 1);
	assert_int_equal(raw_server_delete(server), 1);
}

/*
 * A connection goes silent for good while new ones work. Used again, it would
 * cost each later call its whole time.
 */
static void a_silent_connection_is_not_used_again(void **state)
{
	static const char *const script[] = { RAW_SILENT, OK };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 2);

	send_to_port(fixture, raw_server_port(server), SHORT_LIMIT_MS);
	wait_for(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_NO_ANSWER], 1);
	send_to_port(fixture, raw_server_port(server), LIMIT_MS);
	wait_for(fixture, 2);
	assert_int_equal(fixture->outcomes[WWH_CALL_ANSWERED], 1);
	assert_int_equal(connections(fixture), 2);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	assert_int_equal(raw_server_delete(server), 2);
}

/*
 * Guards against a process that aborts when an answer is read right after its
 * call has run out of time, in one turn of a busy loop.
 */
static void an_answer_is_read_right_after_its_limit(void **state)
{
	fixture_t *fixture = *state;
	char *body = g_strnfill(LARGE_BYTES, 'x');
	char *answer = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", LARGE_BYTES,
		body);
	const char *const script[] = { answer };
	raw_server_t *server = raw_server_new(script, 1);

	send_to_port(fixture, raw_server_port(server), SHORT_LIMIT_MS);
	wwh_http_calls_poll(fixture->calls, 20);
	wwh_http_calls_poll(fixture->calls, 20);
	/* all of the answer is there by then, and takes several reads */
	g_usleep(2 * SHORT_LIMIT_MS * 1000);
	wwh_http_calls_poll(fixture->calls, 0);
	wait_for(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_ANSWERED], 1);
	assert_int_equal(fixture->body->len, LARGE_BYTES);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	assert_int_equal(raw_server_delete(server), 1);
	g_free(answer);
	g_free(body);
}

/* A socket that listens and whose queue of new connections is full. */
static int full_listener(int fillers[2], int32_t *port)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t size = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&at, size), 0);
	assert_int_equal(listen(fd, 0), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&at, &size), 0);
	for (int32_t i = 0; i < 2; i++) {
		fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fillers[i], (struct sockaddr *)&at, size);
	}
	*port = ntohs(at.sin_port);
	return fd;
}

/* Nothing was sent to a host that is cut off, and that shows soon. */
static void a_connection_that_is_never_made(void **state)
{
	fixture_t *fixture = *state;
	int64_t began_us = g_get_monotonic_time();
	int fillers[2];
	int32_t port;
	int listener = full_listener(fillers, &port);

	send_to_port(fixture, port, LIMIT_MS);
	wait_for(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_NOT_SENT], 1);
	assert_true(g_get_monotonic_time() - began_us < LIMIT_MS * 1000);
	close(fillers[0]);
	close(fillers[1]);
	close(listener);
}

/* More calls than an endpoint may have connections wait for the next free one. */
static void calls_wait_for_a_connection(void **state)
{
	static const char *const script[] = {
		OK, OK, OK, OK, OK, OK, OK, OK, OK
	};
	fixture_t *fixture = *state;
	raw_server_t *server =
		raw_server_new(script, MORE_THAN_AN_ENDPOINT_MAY_HAVE);

	/* it serves one connection at a time, until that one is closed */
	for (int32_t i = 0; i < MORE_THAN_AN_ENDPOINT_MAY_HAVE; i++)
		send_to_port(fixture, raw_server_port(server), SHORT_LIMIT_MS);
	wait_for(fixture, MORE_THAN_AN_ENDPOINT_MAY_HAVE);
	assert_true(fixture->outcomes[WWH_CALL_ANSWERED] >= 4);
	assert_true(connections(fixture) <= 6);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	(void)raw_server_delete(server);
}

/*
 * Guards against an order that waits for a connection and is sent when what it was
 * decided by is too old.
 */
static void a_call_is_sent_in_time_or_not_at_all(void **state)
{
	static const char *const script[] = { RAW_SILENT };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 1);
	char *endpoint =
		g_strdup_printf("127.0.0.1:%d", (int)raw_server_port(server));
	wwh_http_call_t *call = wwh_http_call_new("POST", endpoint, LIMIT_MS);
	int64_t began_us = g_get_monotonic_time();

	for (int32_t i = 0; i < CONNECTIONS_AN_ENDPOINT; i++)
		send_to(fixture, endpoint, LIMIT_MS);
	call->path = g_strdup("/order");
	call->send_timeout_ms = SHORT_LIMIT_MS;
	wwh_http_calls_send(fixture->calls, call, on_done, fixture);
	wait_for(fixture, 1);
	assert_int_equal(fixture->outcomes[WWH_CALL_NOT_SENT], 1);
	assert_true(g_get_monotonic_time() - began_us < LIMIT_MS * 1000 / 2);
	wwh_http_calls_delete(fixture->calls);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	(void)raw_server_delete(server);
	g_free(endpoint);
}

static void what_is_left_is_told_at_the_end(void **state)
{
	static const char *const script[] = { RAW_SILENT };
	fixture_t *fixture = *state;
	raw_server_t *server = raw_server_new(script, 1);

	for (int32_t i = 0; i < MORE_THAN_AN_ENDPOINT_MAY_HAVE; i++)
		send_to_port(fixture, raw_server_port(server), LIMIT_MS);
	wwh_http_calls_poll(fixture->calls, 20);
	assert_int_equal(wwh_http_calls_in_progress(fixture->calls),
			 MORE_THAN_AN_ENDPOINT_MAY_HAVE);
	wwh_http_calls_delete(fixture->calls);
	assert_int_equal(fixture->outcomes[WWH_CALL_NO_ANSWER],
			 MORE_THAN_AN_ENDPOINT_MAY_HAVE);
	fixture->calls = wwh_http_calls_new(fixture->counters);
	(void)raw_server_delete(server);
}

static gpointer wake_later(gpointer data)
{
	g_usleep(50 * 1000);
	wwh_http_calls_wake(data);
	return NULL;
}

static void a_wake_ends_a_wait(void **state)
{
	fixture_t *fixture = *state;
	int64_t began_us = g_get_monotonic_time();
	GThread *thread = g_thread_new("wake", wake_later, fixture->calls);

	wwh_http_calls_poll(fixture->calls, WAIT_MAX_MS);
	assert_true(g_get_monotonic_time() - began_us < WAIT_MAX_MS * 500);
	g_thread_join(thread);
}

static void on_counted(const wwh_http_answer_t *answer, void *data)
{
	(void)answer;
	++*(int32_t *)data;
}

/*
 * Guards against a large answer of the store that comes too late, as it is read in
 * small parts between those of all other calls.
 */
static void an_answer_is_taken_in_before_others(void **state)
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
		call = wwh_http_call_new("GET", endpoint, WAIT_MAX_MS);
		call->path = g_strdup("/");
		call->has_priority = last;
		wwh_http_calls_send(fixture->calls, call,
				    last ? on_done : on_counted,
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
		TEST(answers_come_over_one_connection),
		TEST(after_a_last_answer_a_new_connection_is_made),
		TEST(nobody_listens),
		TEST(an_answer_is_taken_in_before_others),
		TEST(a_name_is_no_endpoint),
		TEST(a_connection_that_ends_after_the_request),
		TEST(an_answer_that_breaks_off),
		TEST(a_silent_connection_is_not_used_again),
		TEST(an_answer_is_read_right_after_its_limit),
		TEST(a_connection_that_is_never_made),
		TEST(calls_wait_for_a_connection),
		TEST(a_call_is_sent_in_time_or_not_at_all),
		TEST(what_is_left_is_told_at_the_end),
		TEST(a_wake_ends_a_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
