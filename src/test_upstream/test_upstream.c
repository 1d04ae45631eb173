#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "waxwinghollow/upstream.h"

#include "../test_standins/include/minion_server.h"

typedef struct {
	minion_server_t *minion;
	wwh_counters_t *counters;
	wwh_upstream_t *upstream;
	wwh_headers_t *headers;
} fixture_t;

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_upstream_options_t options = wwh_upstream_options_defaults();

	fixture->minion = minion_server_start("m1", 0, 0);
	fixture->counters = wwh_counters_new();
	fixture->upstream = wwh_upstream_new(&options, fixture->counters);
	fixture->headers = wwh_headers_new();
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	wwh_upstream_delete(fixture->upstream);
	wwh_counters_delete(fixture->counters);
	wwh_headers_delete(fixture->headers);
	minion_server_stop(fixture->minion);
	g_free(fixture);
	return 0;
}

static void send_request(fixture_t *fixture, const char *method,
			 const char *target, const char *body,
			 int64_t timeout_ms, wwh_upstream_answer_t *answer)
{
	wwh_http_request_t http = {
		.method = method,
		.target = target,
		.headers = fixture->headers,
		.body = (const uint8_t *)body,
		.body_size = strlen(body),
		.caller_fd = -1,
	};
	wwh_upstream_request_t request = {
		.address = "127.0.0.1",
		.port = fixture->minion->port,
		.http = &http,
		.timeout_ms = timeout_ms,
		.max_answer_bytes = 1 << 20,
		.max_connections = 4,
	};

	wwh_upstream_send(fixture->upstream, &request, answer);
}

static wwh_upstream_outcome_t send_and_get_outcome(fixture_t *fixture,
						   const char *method,
						   int64_t timeout_ms,
						   bool *sent)
{
	wwh_upstream_answer_t answer;

	send_request(fixture, method, "/x", "", timeout_ms, &answer);
	wwh_http_response_clear(&answer.response);
	if (sent != NULL)
		*sent = answer.sent;
	return answer.outcome;
}

/*
 * A POST is sent on a reused connection, and the minion runs it and closes the
 * connection without an answer. libcurl would resend it on a new connection,
 * and the caller would be charged twice.
 */
static void a_post_is_never_resent_by_libcurl(void **state)
{
	fixture_t *fixture = *state;
	bool sent;

	wwh_headers_add(fixture->headers, "X-Request-Id", "charge-1");
	assert_int_equal(send_and_get_outcome(fixture, "POST", 2000, &sent),
			 WWH_UPSTREAM_ANSWERED);
	assert_int_equal(minion_runs_of(fixture->minion, "charge-1"), 1);
	minion_set_mode(fixture->minion, MINION_CLOSE_KEPT);
	assert_int_equal(send_and_get_outcome(fixture, "POST", 2000, &sent),
			 WWH_UPSTREAM_LOST);
	assert_true(sent);
	assert_int_equal(minion_runs_of(fixture->minion, "charge-1"), 2);
}

/*
 * A truncated answer must not be returned as a complete one: the minion
 * announces 99 bytes and sends 4, omits the last chunk, or gives no length at
 * all.
 */
static void an_answer_without_a_verified_end_is_truncated(void **state)
{
	fixture_t *fixture = *state;

	minion_set_mode(fixture->minion, MINION_TRUNCATE);
	assert_int_equal(send_and_get_outcome(fixture, "GET", 2000, NULL),
			 WWH_UPSTREAM_TRUNCATED);
	minion_set_mode(fixture->minion, MINION_TRUNCATE_CHUNKED);
	assert_int_equal(send_and_get_outcome(fixture, "GET", 2000, NULL),
			 WWH_UPSTREAM_TRUNCATED);
	minion_set_mode(fixture->minion, MINION_NO_LENGTH);
	assert_int_equal(send_and_get_outcome(fixture, "GET", 2000, NULL),
			 WWH_UPSTREAM_TRUNCATED);
}

/*
 * The minion answers a request after its deadline. The next request to the same
 * address must get its own answer, not that one.
 */
static void a_late_answer_reaches_no_other_request(void **state)
{
	fixture_t *fixture = *state;
	wwh_upstream_answer_t answer;

	minion_set_mode(fixture->minion, MINION_LATE);
	send_request(fixture, "GET", "/first", "", 100, &answer);
	assert_int_equal(answer.outcome, WWH_UPSTREAM_DEADLINE);
	assert_true(answer.sent);
	wwh_http_response_clear(&answer.response);
	minion_set_mode(fixture->minion, MINION_OK);
	g_usleep(350 * 1000);
	send_request(fixture, "GET", "/echo/second", "", 2000, &answer);
	assert_int_equal(answer.outcome, WWH_UPSTREAM_ANSWERED);
	g_byte_array_append(answer.response.body, (const guint8 *)"", 1);
	assert_non_null(
		strstr((char *)answer.response.body->data, "GET /echo/second"));
	wwh_http_response_clear(&answer.response);
}

/*
 * Outcomes that mean "not run" must be true: if nothing listens on the port,
 * no byte was sent; if the minion answers that it refused the request, it
 * didn't run it.
 */
static void not_run_is_reported_only_if_the_request_did_not_run(void **state)
{
	fixture_t *fixture = *state;
	bool sent = true;
	int32_t port = fixture->minion->port;

	minion_set_mode(fixture->minion, MINION_REFUSE);
	assert_int_equal(send_and_get_outcome(fixture, "POST", 2000, &sent),
			 WWH_UPSTREAM_REFUSED);
	assert_int_equal(fixture->minion->total_runs, 0);
	fixture->minion->port = 1;
	assert_int_equal(send_and_get_outcome(fixture, "POST", 2000, &sent),
			 WWH_UPSTREAM_NO_CONNECTION);
	assert_false(sent);
	fixture->minion->port = port;
}

static gpointer send_in_thread(gpointer data)
{
	fixture_t *fixture = data;

	assert_int_equal(send_and_get_outcome(fixture, "GET", 2000, NULL),
			 WWH_UPSTREAM_ANSWERED);
	return NULL;
}

/*
 * All pooled connections become silent for good, while new ones work. The first
 * request on one of them misses its deadline; the others of the same age are
 * closed with it, so that the next request is answered at once.
 */
static void silent_connections_are_closed_together(void **state)
{
	fixture_t *fixture = *state;
	wwh_upstream_answer_t answer;
	GThread *threads[3];

	fixture->minion->service_ms = 200;
	for (int i = 0; i < 3; i++)
		threads[i] = g_thread_new("send", send_in_thread, fixture);
	for (int i = 0; i < 3; i++)
		g_thread_join(threads[i]);
	fixture->minion->service_ms = 0;
	assert_int_equal(wwh_upstream_connections(fixture->upstream,
						  "127.0.0.1",
						  fixture->minion->port),
			 3);
	minion_set_mode(fixture->minion, MINION_SILENT_OLD);
	send_request(fixture, "GET", "/x", "", 200, &answer);
	assert_int_equal(answer.outcome, WWH_UPSTREAM_DEADLINE);
	assert_true(answer.connection_silent);
	wwh_http_response_clear(&answer.response);
	assert_int_equal(wwh_upstream_connections(fixture->upstream,
						  "127.0.0.1",
						  fixture->minion->port),
			 0);
	assert_int_equal(send_and_get_outcome(fixture, "GET", 2000, NULL),
			 WWH_UPSTREAM_ANSWERED);
}

/* Path, query, repeated and unusual headers and the body arrive unchanged. */
static void a_request_arrives_unchanged(void **state)
{
	fixture_t *fixture = *state;
	wwh_upstream_answer_t answer;
	char *text;

	wwh_headers_add(fixture->headers, "Host", "parks.example");
	wwh_headers_add(fixture->headers, "X-Twice", "one");
	wwh_headers_add(fixture->headers, "X-Twice", "two");
	wwh_headers_add(fixture->headers, "X-Bytes", "caf\xe9");
	wwh_headers_add(fixture->headers, "X-Empty", "");
	wwh_headers_add(fixture->headers, "Connection", "keep-alive, X-Hop");
	wwh_headers_add(fixture->headers, "X-Hop", "dropped");
	send_request(fixture, "PATCH", "/echo/a%26b/../c?q=%20&q=2", "body",
		     2000, &answer);
	assert_int_equal(answer.outcome, WWH_UPSTREAM_ANSWERED);
	text = g_strndup((char *)answer.response.body->data,
			 answer.response.body->len);
	assert_string_equal(text,
			    "PATCH /echo/a%26b/../c?q=%20&q=2 HTTP/1.1\r\n"
			    "Host: parks.example\r\n"
			    "X-Twice: one\r\nX-Twice: two\r\n"
			    "X-Bytes: caf\xe9\r\nX-Empty:\r\n"
			    "Content-Length: 4\r\n\r\nbody");
	g_free(text);
	wwh_http_response_clear(&answer.response);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			a_post_is_never_resent_by_libcurl, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			an_answer_without_a_verified_end_is_truncated, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_late_answer_reaches_no_other_request, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			not_run_is_reported_only_if_the_request_did_not_run,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			silent_connections_are_closed_together, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(a_request_arrives_unchanged,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
