#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "waxwinghollow/listener.h"

#define BODY_LIMIT 1000

typedef struct {
	wwh_counters_t *counters;
	wwh_listener_t *listener;
	int32_t handler_ms;
	_Atomic int32_t handled;
} fixture_t;

/* Answers with what it saw: target, headers and body as they came. */
static void echo(const wwh_http_request_t *request,
		 wwh_http_response_t *response, void *client_data)
{
	fixture_t *fixture = client_data;
	GString *text = g_string_new(NULL);

	g_usleep((gulong)fixture->handler_ms * 1000);
	g_string_append_printf(text, "%s %s\n", request->method,
			       request->target);
	for (int32_t i = 0; i < wwh_headers_count(request->headers); i++) {
		const wwh_header_t *header =
			wwh_headers_at(request->headers, i);

		g_string_append_printf(text, "%s=%s\n", header->name,
				       header->value);
	}
	g_string_append_len(text, (const char *)request->body,
			    (gssize)request->body_size);
	wwh_headers_add(response->headers, "Set-Cookie", "a=1");
	wwh_headers_add(response->headers, "Set-Cookie", "b=2");
	wwh_headers_add(response->headers, "Set-Cookie", "c=3");
	response->head_content_length = 12345;
	g_byte_array_append(response->body, (const guint8 *)text->str,
			    (guint)text->len);
	g_string_free(text, TRUE);
	atomic_fetch_add(&fixture->handled, 1);
}

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_listener_options_t options = wwh_listener_options_defaults();

	fixture->counters = wwh_counters_new();
	options.max_body_bytes = BODY_LIMIT;
	options.max_requests = 2;
	options.handler = echo;
	options.client_data = fixture;
	fixture->listener = wwh_listener_new(&options, fixture->counters);
	assert_int_equal(wwh_listener_init(fixture->listener, NULL),
			 WWH_STATUS_OK);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	wwh_listener_delete(fixture->listener);
	wwh_counters_delete(fixture->counters);
	g_free(fixture);
	return 0;
}

static int connect_to(fixture_t *fixture)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port =
			htons((uint16_t)wwh_listener_port(fixture->listener)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static char *read_all(int fd)
{
	GString *text = g_string_new(NULL);
	char bytes[4096];
	ssize_t count;

	while ((count = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		g_string_append_len(text, bytes, count);
	close(fd);
	return g_string_free(text, FALSE);
}

static char *exchange(fixture_t *fixture, const char *request)
{
	int fd = connect_to(fixture);

	assert_int_equal(send(fd, request, strlen(request), MSG_NOSIGNAL),
			 (ssize_t)strlen(request));
	return read_all(fd);
}

/*
 * The minion gets what the caller sent. ulfius's own maps would decode the
 * path, fold repeated headers and drop the value that isn't UTF-8.
 */
static void the_handler_sees_the_request_as_it_was_sent(void **state)
{
	char *text = exchange(*state, "POST /a%26b?x=%20 HTTP/1.1\r\n"
				      "Host: h\r\nX-Twice: 1\r\nX-Twice: 2\r\n"
				      "X-Bytes: caf\xe9\r\n"
				      "Connection: close\r\n"
				      "Content-Type: application/x-www-form-"
				      "urlencoded\r\n"
				      "Content-Length: 7\r\n\r\na=%26&b");

	assert_non_null(strstr(text, "POST /a%26b?x=%20\n"));
	assert_non_null(strstr(text, "X-Twice=1\nX-Twice=2\n"));
	assert_non_null(strstr(text, "X-Bytes=caf\xe9\n"));
	assert_non_null(strstr(text, "Content-Length=7\na=%26&b"));
	g_free(text);
}

static void repeated_answer_headers_stay_repeated(void **state)
{
	char *text = exchange(*state, "GET / HTTP/1.1\r\nHost: h\r\n"
				      "Connection: close\r\n\r\n");
	char *lower = g_ascii_strdown(text, -1);

	assert_non_null(strstr(lower, "set-cookie: a=1"));
	assert_non_null(strstr(lower, "set-cookie: b=2"));
	assert_non_null(strstr(lower, "set-cookie: c=3"));
	g_free(lower);
	g_free(text);
}

static void an_answer_to_head_keeps_its_length(void **state)
{
	char *text = exchange(*state, "HEAD / HTTP/1.1\r\nHost: h\r\n"
				      "Connection: close\r\n\r\n");

	assert_non_null(strstr(text, "Content-Length: 12345"));
	assert_true(g_str_has_suffix(text, "\r\n\r\n"));
	g_free(text);
}

/*
 * The caller sends more than the limit and is told 413 and "not-run". ulfius
 * alone would cut the body at its limit and hand the rest on as a whole one.
 */
static void a_body_above_the_limit_is_refused_whole(void **state)
{
	fixture_t *fixture = *state;
	GString *request = g_string_new(NULL);
	char *text;

	g_string_printf(request,
			"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
			"Content-Length: %d\r\n\r\n",
			BODY_LIMIT + 500);
	for (int i = 0; i < BODY_LIMIT + 500; i++)
		g_string_append_c(request, 'x');
	text = exchange(fixture, request->str);
	assert_true(g_str_has_prefix(text, "HTTP/1.1 413"));
	assert_non_null(strstr(text, "Waxwinghollow-Run: not-run"));
	assert_int_equal(fixture->handled, 0);
	g_free(text);
	g_string_free(request, TRUE);
}

static gpointer exchange_in_thread(gpointer data)
{
	return exchange(data, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
}

static void wait_until_busy(fixture_t *fixture, int32_t count)
{
	while (wwh_listener_busy(fixture->listener) < count)
		g_usleep(1000);
}

/*
 * A host is shut down while a request is in progress. Its caller gets the
 * whole answer: ulfius_stop_framework alone would reset the connection and
 * the caller would see an empty answer to a request that ran.
 */
static void a_drain_cuts_off_no_request_in_progress(void **state)
{
	fixture_t *fixture = *state;
	GThread *thread;
	char *text;
	int idle = connect_to(fixture);

	fixture->handler_ms = 300;
	thread = g_thread_new("caller", exchange_in_thread, fixture);
	wait_until_busy(fixture, 1);
	assert_int_equal(wwh_listener_drain(fixture->listener, 5000), 0);
	text = g_thread_join(thread);
	assert_true(g_str_has_prefix(text, "HTTP/1.1 200"));
	assert_non_null(strstr(text, "GET /slow"));
	g_free(text);
	close(idle);
}

/* Above the bound a caller is told at once, and nothing waits unseen. */
static void requests_above_the_bound_are_refused_at_once(void **state)
{
	fixture_t *fixture = *state;
	GThread *threads[2];
	char *text;

	fixture->handler_ms = 500;
	for (int i = 0; i < 2; i++)
		threads[i] =
			g_thread_new("caller", exchange_in_thread, fixture);
	wait_until_busy(fixture, 2);
	text = exchange(fixture, "GET / HTTP/1.1\r\nHost: h\r\n"
				 "Connection: close\r\n\r\n");
	assert_true(g_str_has_prefix(text, "HTTP/1.1 503"));
	assert_non_null(strstr(text, "Retry-After: 1"));
	g_free(text);
	wwh_listener_drain(fixture->listener, 5000);
	for (int i = 0; i < 2; i++) {
		text = g_thread_join(threads[i]);
		assert_true(g_str_has_prefix(text, "HTTP/1.1 200"));
		g_free(text);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			the_handler_sees_the_request_as_it_was_sent, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			repeated_answer_headers_stay_repeated, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			an_answer_to_head_keeps_its_length, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_body_above_the_limit_is_refused_whole, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_drain_cuts_off_no_request_in_progress, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			requests_above_the_bound_are_refused_at_once, set_up,
			tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
