#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "../test_standins/include/standin_process.h"
#include "waxwinghollow/log_client.h"
#include "waxwinghollow/platform_http.h"

#define PROCESSES 2
#define CALLERS 6
#define FAULT_ROUNDS 12
#define FAULT_MS 300
#define LONG_TIMEOUT_MS 3000
#define SHORT_TIMEOUT_MS 150

/* The outcomes reported to one caller, by the number of the append. */
typedef struct {
	wwh_log_client_t *client;
	int32_t number;
	GArray *statuses; /* wwh_status_t */
	volatile gint *stop;
} caller_t;

/* The log client of one entry process. */
typedef struct {
	wwh_platform_http_t *http;
	wwh_log_budget_t *budget;
	wwh_counters_t *counters;
	wwh_log_client_t *client;
	GMutex lock;
	GString *delivered;
} process_t;

static void on_record(const char *stream, const wwh_log_entry_t *entry,
		      void *client_data)
{
	process_t *process = client_data;

	(void)stream;
	g_mutex_lock(&process->lock);
	g_string_append_len(process->delivered, (const char *)entry->data,
			    (gssize)entry->size);
	g_mutex_unlock(&process->lock);
}

static void process_start(process_t *process, int32_t port)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d", (int)port);
	wwh_platform_http_options_t http;
	wwh_log_client_options_t options;

	*process = (process_t){ .delivered = g_string_new(NULL) };
	g_mutex_init(&process->lock);
	wwh_platform_http_options_defaults(&http);
	http.base_url = url;
	process->http = wwh_platform_http_new(&http);
	assert_int_equal(wwh_platform_http_init(process->http, NULL),
			 WWH_STATUS_OK);
	process->budget = wwh_log_budget_new(wwh_log_client_now_ms());
	process->counters = wwh_counters_new();
	wwh_log_client_options_defaults(&options);
	options.stream = "control";
	wwh_platform_http_interface(process->http, &options.platform);
	options.budget = process->budget;
	options.counters = process->counters;
	options.core.attempt_timeout_ms = 100;
	options.core.read_wait_ms = 100;
	options.core.read_timeout_ms = 500;
	options.core.backoff_cap_ms = 200;
	options.core.read_backoff_cap_ms = 100;
	options.callbacks.on_record = on_record;
	options.callbacks.client_data = process;
	process->client = wwh_log_client_new(&options);
	assert_int_equal(wwh_log_client_init(process->client), WWH_STATUS_OK);
	g_free(url);
}

static void process_stop(process_t *process)
{
	wwh_log_client_finish(process->client, wwh_log_client_now_ms() + 1000);
	wwh_log_client_delete(process->client);
	wwh_counters_delete(process->counters);
	wwh_log_budget_delete(process->budget);
	wwh_platform_http_delete(process->http);
	g_string_free(process->delivered, TRUE);
	g_mutex_clear(&process->lock);
}

static char *text_of(int32_t caller, guint append)
{
	return g_strdup_printf("<%d.%u>", (int)caller, append);
}

static gpointer run_caller(gpointer data)
{
	caller_t *caller = data;
	int64_t timeout_ms =
		caller->number < 2 ? LONG_TIMEOUT_MS : SHORT_TIMEOUT_MS;

	while (!g_atomic_int_get(caller->stop)) {
		char *text = text_of(caller->number, caller->statuses->len);
		int64_t offset;
		wwh_status_t status = wwh_log_client_append(
			caller->client, (const uint8_t *)text, strlen(text),
			wwh_log_client_now_ms() + timeout_ms, &offset);

		g_array_append_val(caller->statuses, status);
		g_free(text);
		g_usleep(2000);
	}
	return NULL;
}

static void inject_faults(int32_t port)
{
	static const char *const faults[] = {
		"/fault?lose_append_answers=40",
		"/fault?lose_append_answers=0&log_late_ms=150",
		"/fault?log_late_ms=0&log_down=1",
		"/fault?log_down=0&log_slow_ms=120",
		"/fault?log_slow_ms=0",
	};

	for (int i = 0; i < FAULT_ROUNDS; i++) {
		standin_call(port, faults[i % (int)G_N_ELEMENTS(faults)]);
		g_usleep(FAULT_MS * 1000);
	}
	standin_call(port, "/fault?lose_append_answers=0&log_late_ms=0"
			   "&log_down=0&log_slow_ms=0");
}

/*
 * Each text was delivered at most once: once after OK, never after a status
 * other than OK and UNKNOWN.
 */
static void check_caller(const caller_t *caller, const char *delivered,
			 int32_t *counts)
{
	for (guint i = 0; i < caller->statuses->len; i++) {
		wwh_status_t status =
			g_array_index(caller->statuses, wwh_status_t, i);
		char *text = text_of(caller->number, i);
		const char *found = strstr(delivered, text);

		counts[status]++;
		if (found != NULL)
			assert_null(strstr(found + 1, text));
		if (status == WWH_STATUS_OK)
			assert_non_null(found);
		else if (status != WWH_STATUS_UNKNOWN)
			assert_null(found);
		g_free(text);
	}
}

/*
 * Two processes append over HTTP for some seconds, while the log loses
 * answers, applies appends after the attempt's deadline, answers late and is
 * unavailable. Both deliver the same texts, each at most once, and the outcomes
 * reported to the callers are true.
 */
static void reported_outcomes_are_true_under_faults(void **unused)
{
	standin_process_t standin;
	process_t processes[PROCESSES];
	caller_t callers[CALLERS];
	GThread *threads[CALLERS];
	int32_t counts[WWH_STATUS_COUNT] = { 0 };
	volatile gint stop = 0;
	int64_t next;

	(void)unused;
	standin_process_start(&standin, WWH_BINARY_DIR "/platform");
	for (int i = 0; i < PROCESSES; i++)
		process_start(&processes[i], standin.port);
	for (int i = 0; i < CALLERS; i++) {
		callers[i] =
			(caller_t){ .client = processes[i % PROCESSES].client,
				    .number = i,
				    .statuses = g_array_new(
					    FALSE, FALSE, sizeof(wwh_status_t)),
				    .stop = &stop };
		threads[i] = g_thread_new("caller", run_caller, &callers[i]);
	}
	inject_faults(standin.port);
	g_atomic_int_set(&stop, 1);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(threads[i]);
	/* Delayed appends are in the log before this one. */
	g_usleep(200 * 1000);
	assert_int_equal(wwh_log_client_append(
				 processes[0].client, (const uint8_t *)"end", 3,
				 wwh_log_client_now_ms() + 10000, &next),
			 WWH_STATUS_OK);
	for (int i = 0; i < PROCESSES; i++)
		assert_true(
			wwh_log_client_wait(processes[i].client, next,
					    wwh_log_client_now_ms() + 10000));
	assert_string_equal(processes[0].delivered->str,
			    processes[1].delivered->str);
	for (int i = 0; i < CALLERS; i++)
		check_caller(&callers[i], processes[0].delivered->str, counts);
	print_message(
		"reported: %d ok, %d without effect, %d unknown; "
		"%d copies dropped\n",
		(int)counts[WWH_STATUS_OK], (int)counts[WWH_STATUS_UNAVAILABLE],
		(int)counts[WWH_STATUS_UNKNOWN],
		(int)wwh_counter_value(wwh_counters_get(
			processes[0].counters, "log.control.duplicates")));
	assert_true(counts[WWH_STATUS_OK] > 0);
	assert_true(counts[WWH_STATUS_UNAVAILABLE] > 0);
	for (int i = 0; i < CALLERS; i++)
		g_array_unref(callers[i].statuses);
	for (int i = 0; i < PROCESSES; i++)
		process_stop(&processes[i]);
	assert_true(standin_process_stop(&standin));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(reported_outcomes_are_true_under_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
