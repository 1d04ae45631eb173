#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "private/msgpack_bounds.h"
#include "private/platform_http_decode.h"
#include "../test_standins/include/raw_server.h"
#include "../test_standins/include/standin_process.h"
#include "waxwinghollow/platform_http.h"

#define TIMEOUT_MS 5000
#define COMPLETE_ANSWER                                                        \
	"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"offset\": 7}"
#define EMPTY_200 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

static const wwh_append_id_t append_id = { { 1, 2, 3 } };

static wwh_platform_http_t *connect_to(int32_t port, wwh_platform_t *platform)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d", (int)port);
	wwh_platform_http_options_t options;
	wwh_platform_http_t *http;

	wwh_platform_http_options_defaults(&options);
	options.base_url = url;
	http = wwh_platform_http_new(&options);
	assert_int_equal(wwh_platform_http_init(http, NULL), WWH_STATUS_OK);
	wwh_platform_http_interface(http, platform);
	g_free(url);
	return http;
}

static wwh_status_t append_text(wwh_platform_t *platform, const char *text,
				int32_t timeout_ms, int64_t *offset)
{
	return platform->append(platform->context, "control", &append_id,
				(const uint8_t *)text, strlen(text), timeout_ms,
				offset);
}

/* Sends an append for each answer of the script and checks the results. */
static void check_appends(const char *const *script,
			  const wwh_status_t *expected, int32_t length,
			  int32_t timeout_ms)
{
	raw_server_t *server = raw_server_new(script, length);
	wwh_platform_t platform;
	wwh_platform_http_t *http =
		connect_to(raw_server_port(server), &platform);
	int64_t offset = 0;

	for (int32_t i = 0; i < length; i++)
		assert_int_equal(
			append_text(&platform, "hello", timeout_ms, &offset),
			expected[i]);
	wwh_platform_http_delete(http);
	assert_int_equal(raw_server_delete(server), length);
}

/*
 * Guards against an operator's publication that is in the log twice: the
 * persistent connection closes after the platform has read the request, before
 * the first byte of the answer, and libcurl sends the POST again on a new
 * connection. The server must receive the second request once.
 */
static void post_is_never_sent_twice(void **unused)
{
	const char *const script[] = { COMPLETE_ANSWER, RAW_CLOSE,
				       COMPLETE_ANSWER };
	const wwh_status_t expected[] = { WWH_STATUS_OK, WWH_STATUS_UNKNOWN,
					  WWH_STATUS_OK };

	(void)unused;
	check_appends(script, expected, 3, TIMEOUT_MS);
}

/*
 * Guards against an append that is reported at an offset that it may not have:
 * the connection closes within the headers or the body, after a status line
 * with 200. Only a complete answer counts.
 */
static void truncated_answers_are_unknown(void **unused)
{
	const char *const script[] = {
		"HTTP/1.1 200 OK\r\nContent-Le" RAW_CLOSE,
		"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n" RAW_CLOSE,
		"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"off" RAW_CLOSE,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"d\r\n{\"offset\": 7}\r\n" RAW_CLOSE,
		"HTTP/1.1 503 Service Unavailable\r\n" RAW_CLOSE,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\n" RAW_CLOSE,
	};
	const wwh_status_t expected[] = {
		WWH_STATUS_UNKNOWN, WWH_STATUS_UNKNOWN, WWH_STATUS_UNKNOWN,
		WWH_STATUS_UNKNOWN, WWH_STATUS_UNKNOWN, WWH_STATUS_UNKNOWN,
	};

	(void)unused;
	check_appends(script, expected, G_N_ELEMENTS(script), TIMEOUT_MS);
}

static void invalid_answers_are_unknown(void **unused)
{
	const char *const script[] = {
		EMPTY_200,
		"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"offset\": -7}",
		"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 413 No\r\nContent-Length: 0\r\n\r\n",
	};
	const wwh_status_t expected[] = {
		WWH_STATUS_UNKNOWN,   WWH_STATUS_UNKNOWN,
		WWH_STATUS_UNKNOWN,   WWH_STATUS_UNAVAILABLE,
		WWH_STATUS_BAD_INPUT,
	};

	(void)unused;
	check_appends(script, expected, G_N_ELEMENTS(script), TIMEOUT_MS);
}

/* The outcome is unknown if the platform never answers the request. */
static void call_without_answer_ends_at_the_deadline(void **unused)
{
	const char *const script[] = { RAW_SILENT };
	const wwh_status_t expected[] = { WWH_STATUS_UNKNOWN };

	(void)unused;
	check_appends(script, expected, 1, 100);
}

static void refused_connection_is_unavailable(void **unused)
{
	wwh_platform_t platform;
	wwh_platform_http_t *http = connect_to(standin_free_port(), &platform);
	int64_t offset = 0;

	(void)unused;
	assert_int_equal(append_text(&platform, "a", TIMEOUT_MS, &offset),
			 WWH_STATUS_UNAVAILABLE);
	wwh_platform_http_delete(http);
}

typedef struct {
	standin_process_t process;
	wwh_platform_t platform;
	wwh_platform_http_t *http;
} standin_t;

static int32_t start_standin(standin_t *standin)
{
	standin_process_start(&standin->process, WWH_BINARY_DIR "/platform");
	standin->http = connect_to(standin->process.port, &standin->platform);
	return standin->process.port;
}

static void stop_standin(standin_t *standin)
{
	wwh_platform_http_delete(standin->http);
	assert_true(standin_process_stop(&standin->process));
}

static bool append_entry(const wwh_log_entry_t *entry, void *client_data)
{
	assert_memory_equal(&entry->append_id, &append_id, sizeof(append_id));
	g_string_append_printf(client_data, "%d:%.*s;", (int)entry->offset,
			       (int)entry->size, (const char *)entry->data);
	return true;
}

static void log_calls_against_the_standin(void **unused)
{
	standin_t standin;
	int32_t port = start_standin(&standin);
	wwh_platform_t *platform = &standin.platform;
	GString *records = g_string_new(NULL);
	int64_t offset = 0;
	int64_t first = 0;
	int64_t next = 0;

	(void)unused;
	assert_int_equal(append_text(platform, "a", TIMEOUT_MS, &offset),
			 WWH_STATUS_OK);
	assert_int_equal(offset, 1);
	standin_call(port, "/fault?lose_append_answers=100");
	assert_int_equal(append_text(platform, "b", TIMEOUT_MS, &offset),
			 WWH_STATUS_UNKNOWN);
	standin_call(port, "/fault?log_down=1&lose_append_answers=0");
	assert_int_equal(append_text(platform, "c", TIMEOUT_MS, &offset),
			 WWH_STATUS_UNAVAILABLE);
	standin_call(port, "/fault?log_down=0");
	assert_int_equal(platform->read(platform->context, "control", 1, 0,
					TIMEOUT_MS, append_entry, records,
					&first, &next),
			 WWH_STATUS_OK);
	assert_string_equal(records->str, "1:a;2:b;");
	assert_int_equal(next, 3);
	standin_call(port, "/fault?trim_to=2");
	assert_int_equal(platform->read(platform->context, "control", 1, 0,
					TIMEOUT_MS, append_entry, records,
					&first, &next),
			 WWH_STATUS_NOT_FOUND);
	assert_int_equal(first, 2);
	g_string_free(records, TRUE);
	stop_standin(&standin);
}

static void append_host(const wwh_host_t *host, void *client_data)
{
	g_string_append_printf(client_data, "%s/%s/%s/%s/%s;", host->id,
			       wwh_host_kind_names[host->kind],
			       wwh_host_state_names[host->state], host->address,
			       host->zone);
}

static void append_report(const wwh_task_report_t *report, void *client_data)
{
	g_string_append_printf(
		client_data, "%s/%s/%s/%d;", report->task_id, report->worker_id,
		wwh_task_state_names[report->state], (int)report->fence);
}

static void fleet_calls_against_the_standin(void **unused)
{
	standin_t standin;
	int32_t port = start_standin(&standin);
	wwh_platform_t *p = &standin.platform;
	GString *text = g_string_new(NULL);
	wwh_worker_status_t status;
	wwh_task_order_t order = { .task_id = "t",
				   .worker_id = "w",
				   .verb = WWH_TASK_START,
				   .fence = 7,
				   .cores = 2,
				   .memory_mb = 64,
				   .lease_ms = 60000 };

	(void)unused;
	standin_call(port,
		     "/hosts/m?kind=minion&state=leaving&address=1:2&zone=z");
	standin_call(port, "/workers/w");
	assert_int_equal(p->hosts(p->context, TIMEOUT_MS, append_host, text),
			 WWH_STATUS_OK);
	assert_int_equal(p->task(p->context, &order, TIMEOUT_MS),
			 WWH_STATUS_OK);
	order.fence = 6;
	assert_int_equal(p->task(p->context, &order, TIMEOUT_MS),
			 WWH_STATUS_CONFLICT);
	assert_int_equal(
		p->task_reports(p->context, TIMEOUT_MS, append_report, text),
		WWH_STATUS_OK);
	assert_string_equal(text->str, "m/minion/leaving/1:2/z;t/w/running/7;");
	assert_int_equal(
		p->command(p->context, "w", WWH_COMMAND_CORDON, 9, TIMEOUT_MS),
		WWH_STATUS_OK);
	assert_int_equal(p->command(p->context, "w", WWH_COMMAND_UNCORDON, 8,
				    TIMEOUT_MS),
			 WWH_STATUS_CONFLICT);
	assert_int_equal(
		p->command(p->context, "no", WWH_COMMAND_CORDON, 9, TIMEOUT_MS),
		WWH_STATUS_NOT_FOUND);
	assert_int_equal(p->worker_status(p->context, "w", TIMEOUT_MS, &status),
			 WWH_STATUS_OK);
	assert_int_equal(status.state, WWH_WORKER_CORDONED);
	assert_int_equal(status.fence, 9);
	assert_int_equal(status.running_tasks, 1);
	g_string_free(text, TRUE);
	stop_standin(&standin);
}

/*
 * Guards against a report of a task whose memory use overflows when a margin is
 * added: 10^17 MB and a quarter became negative, and the worker seemed to have
 * unlimited memory. Such a row is rejected like any other invalid row.
 */
static void out_of_range_usage_is_rejected(void **unused)
{
	static const struct {
		const char *cores;
		const char *memory_mb;
		wwh_status_t status;
	} rows[] = {
		{ "2147483647", "2147483647", WWH_STATUS_OK },
		{ "2147483648", "1", WWH_STATUS_BAD_INPUT },
		{ "1", "2147483648", WWH_STATUS_BAD_INPUT },
		{ "1", "100000000000000000", WWH_STATUS_BAD_INPUT },
		{ "1", "-1", WWH_STATUS_BAD_INPUT },
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		GString *records = g_string_new(NULL);
		char *body = g_strdup_printf(
			"{\"tasks\": [{\"task_id\": \"t\", "
			"\"worker_id\": \"w\", \"state\": \"running\", "
			"\"fence\": 7, \"used_cores_milli\": %s, "
			"\"used_memory_mb\": %s}]}",
			rows[i].cores, rows[i].memory_mb);

		assert_int_equal(
			wwh_decode_task_reports((uint8_t *)body, strlen(body),
						append_report, records),
			rows[i].status);
		assert_string_equal(records->str,
				    rows[i].status == WWH_STATUS_OK
					    ? "t/w/running/7;"
					    : "");
		g_free(body);
		g_string_free(records, TRUE);
	}
}

/*
 * Guards against one invalid row that hides the whole list of hosts: an unknown
 * state, or something that isn't a row, made the decoder reject the list, and
 * no change of any host was noticed until the row was corrected. The other rows
 * are visited, and the status reports that some are invalid.
 */
static void invalid_host_row_does_not_hide_others(void **unused)
{
	static const char *const rows[] = {
		"{\"id\":\"b\",\"kind\":\"minion\",\"state\":\"asleep\","
		"\"address\":\"1:2\",\"zone\":\"z\"}",
		"{\"id\":\"b\",\"kind\":\"minion\",\"state\":\"live\"}",
		"{\"id\":7,\"kind\":\"minion\",\"state\":\"live\","
		"\"address\":\"1:2\",\"zone\":\"z\"}",
		"7",
		"null",
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *body = g_strdup_printf(
			"{\"hosts\":[{\"id\":\"a\",\"kind\":\"entry\","
			"\"state\":\"live\",\"address\":\"1:2\","
			"\"zone\":\"z\"},%s,{\"id\":\"c\","
			"\"kind\":\"minion\",\"state\":\"gone\","
			"\"address\":\"1:3\",\"zone\":\"z\"}]}",
			rows[i]);
		GString *text = g_string_new(NULL);

		assert_int_equal(wwh_decode_hosts((uint8_t *)body, strlen(body),
						  append_host, text),
				 WWH_STATUS_BAD_INPUT);
		assert_string_equal(text->str,
				    "a/entry/live/1:2/z;c/minion/gone/1:3/z;");
		g_string_free(text, TRUE);
		g_free(body);
	}
}

/* The same for the list of tasks. */
static void invalid_task_row_does_not_hide_others(void **unused)
{
	static const char body[] =
		"{\"tasks\":[7,{\"task_id\":\"s\",\"worker_id\":\"w\","
		"\"state\":\"resting\"},{\"task_id\":\"t\","
		"\"worker_id\":\"w\",\"state\":\"running\",\"fence\":7,"
		"\"used_cores_milli\":1,\"used_memory_mb\":1}]}";
	GString *text = g_string_new(NULL);

	(void)unused;
	assert_int_equal(wwh_decode_task_reports((const uint8_t *)body,
						 strlen(body), append_report,
						 text),
			 WWH_STATUS_BAD_INPUT);
	assert_string_equal(text->str, "t/w/running/7;");
	g_string_free(text, TRUE);
}

/* Guards against an answer of nested values that overflows the stack. */
static void deeply_nested_answers_are_rejected(void **unused)
{
	char *brackets = g_strnfill(200000, '[');
	char *body = g_strconcat("{\"tasks\":", brackets, NULL);
	const uint8_t *data = (const uint8_t *)body;
	size_t size = strlen(body);
	GString *text = g_string_new(NULL);
	int64_t offset;

	(void)unused;
	assert_int_equal(wwh_decode_offset(data, size, &offset),
			 WWH_STATUS_BAD_INPUT);
	assert_int_equal(wwh_decode_hosts(data, size, append_host, text),
			 WWH_STATUS_BAD_INPUT);
	assert_int_equal(
		wwh_decode_task_reports(data, size, append_report, text),
		WWH_STATUS_BAD_INPUT);
	assert_string_equal(text->str, "");
	g_string_free(text, TRUE);
	g_free(body);
	g_free(brackets);
}

/*
 * Bytes from outside must not make the unpacker allocate the lengths that they
 * declare.
 */
static void declared_lengths_are_checked_before_unpacking(void **unused)
{
	static const struct {
		uint8_t bytes[8];
		size_t size;
		bool bounded;
	} rows[] = {
		{ { 0xdd, 0xff, 0xff, 0xff, 0xff }, 5, false },
		{ { 0xc6, 0xff, 0xff, 0xff, 0xff }, 5, false },
		{ { 0x93, 1, 2 }, 3, false },
		{ { 0x93, 1, 2, 3 }, 4, true },
		{ { 0x93, 1, 2, 3, 4 }, 5, false }, /* more than one object */
		{ { 0x91, 0x91, 0x91, 0x91, 1 }, 5, false }, /* too deep */
		{ { 0x81, 0xa1, 'a', 0xcd, 1, 2 }, 6, true },
		{ { 0xc1 }, 1, false },
		{ { 0xd4, 1, 2 }, 3, true },
		{ { 0xcb, 1, 2, 3 }, 4, false },
		{ { 0 }, 0, false },
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		assert_int_equal(
			wwh_msgpack_bounded(rows[i].bytes, rows[i].size, 3),
			rows[i].bounded);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(post_is_never_sent_twice),
		cmocka_unit_test(truncated_answers_are_unknown),
		cmocka_unit_test(invalid_answers_are_unknown),
		cmocka_unit_test(call_without_answer_ends_at_the_deadline),
		cmocka_unit_test(refused_connection_is_unavailable),
		cmocka_unit_test(log_calls_against_the_standin),
		cmocka_unit_test(fleet_calls_against_the_standin),
		cmocka_unit_test(out_of_range_usage_is_rejected),
		cmocka_unit_test(invalid_host_row_does_not_hide_others),
		cmocka_unit_test(invalid_task_row_does_not_hide_others),
		cmocka_unit_test(deeply_nested_answers_are_rejected),
		cmocka_unit_test(declared_lengths_are_checked_before_unpacking),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
