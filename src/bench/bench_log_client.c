/*
 * Appends through one log client to the platform stand-in: payloads and
 * appends a second and the wait of a caller, against the time that a batch
 * waits for more. bench_log_client [SECONDS_A_ROW]; the stand-in is the
 * program "platform" beside this one.
 */

#include <stdio.h>
#include <stdlib.h>

#include "../test_standins/include/standin_process.h"
#include "waxwinghollow/log_client.h"
#include "waxwinghollow/platform_http.h"

#define PAYLOAD_BYTES 120

typedef struct {
	wwh_log_client_t *client;
	volatile gint *stop;
	GArray *waits_us; /* int64_t */
} caller_t;

static void on_record(const char *stream, const wwh_log_entry_t *entry,
		      void *client_data)
{
	(void)stream;
	(void)entry;
	(void)client_data;
}

static GBytes *join(GBytes *const *payloads, int32_t count, void *unused)
{
	GByteArray *joined = g_byte_array_new();

	(void)unused;
	for (int32_t i = 0; i < count; i++) {
		gsize size;
		const void *data = g_bytes_get_data(payloads[i], &size);

		g_byte_array_append(joined, data, (guint)size);
	}
	return g_byte_array_free_to_bytes(joined);
}

static gpointer run_caller(gpointer data)
{
	caller_t *caller = data;
	uint8_t payload[PAYLOAD_BYTES] = { 0 };

	while (!g_atomic_int_get(caller->stop)) {
		int64_t start_us = g_get_monotonic_time();
		int64_t wait_us;
		int64_t offset;

		if (wwh_log_client_append(caller->client, payload,
					  sizeof(payload),
					  wwh_log_client_now_ms() + 10000,
					  &offset) != WWH_STATUS_OK)
			continue;
		wait_us = g_get_monotonic_time() - start_us;
		g_array_append_val(caller->waits_us, wait_us);
	}
	return NULL;
}

static gint compare(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* waits must be in order. */
static double part_ms(const GArray *waits, guint percent)
{
	guint index = waits->len * percent / 100;

	return (double)g_array_index(waits, int64_t, index) / 1000;
}

static void measure(wwh_log_client_t *client, wwh_counters_t *counters,
		    int32_t callers, int32_t batch_ms, int32_t seconds)
{
	caller_t *rows = g_new0(caller_t, (gsize)callers);
	GThread **threads = g_new0(GThread *, (gsize)callers);
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(int64_t));
	wwh_counter_t *attempts =
		wwh_counters_get(counters, "log.intents.attempts");
	volatile gint stop = 0;
	int64_t appends;

	g_usleep(200000);
	appends = wwh_counter_value(attempts);
	for (int32_t i = 0; i < callers; i++) {
		rows[i].client = client;
		rows[i].stop = &stop;
		rows[i].waits_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
		threads[i] = g_thread_new("caller", run_caller, &rows[i]);
	}
	g_usleep((gulong)seconds * G_USEC_PER_SEC);
	g_atomic_int_set(&stop, 1);
	for (int32_t i = 0; i < callers; i++) {
		g_thread_join(threads[i]);
		g_array_append_vals(waits, rows[i].waits_us->data,
				    rows[i].waits_us->len);
		g_array_unref(rows[i].waits_us);
	}
	appends = wwh_counter_value(attempts) - appends;
	g_array_sort(waits, compare);
	if (waits->len > 0)
		printf("%7d %8d %10.0f %9.0f %8.2f %8.2f\n", (int)callers,
		       (int)batch_ms, (double)waits->len / seconds,
		       (double)appends / seconds, part_ms(waits, 50),
		       part_ms(waits, 99));
	g_array_unref(waits);
	g_free(threads);
	g_free(rows);
}

static void run_row(const wwh_platform_t *platform, int32_t callers,
		    int32_t batch_ms, int32_t seconds)
{
	wwh_log_budget_t *budget = wwh_log_budget_new(wwh_log_client_now_ms());
	wwh_counters_t *counters = wwh_counters_new();
	wwh_log_client_options_t options;
	wwh_log_client_t *client;

	wwh_log_client_options_defaults(&options);
	options.stream = "intents";
	options.platform = *platform;
	options.budget = budget;
	options.counters = counters;
	options.core.batch_ms = batch_ms;
	options.core.batch_items = 1024;
	options.core.join = join;
	options.callbacks.on_record = on_record;
	client = wwh_log_client_new(&options);
	if (wwh_log_client_init(client) == WWH_STATUS_OK)
		measure(client, counters, callers, batch_ms, seconds);
	wwh_log_client_finish(client, wwh_log_client_now_ms() + 1000);
	wwh_log_client_delete(client);
	wwh_counters_delete(counters);
	wwh_log_budget_delete(budget);
}

int main(int argc, char **argv)
{
	static const int32_t callers[] = { 1, 64, 400 };
	static const int32_t batches_ms[] = { 0, 2, 5, 10 };
	int32_t seconds = argc > 1 ? atoi(argv[1]) : 2;
	wwh_platform_http_options_t options;
	standin_process_t standin;
	wwh_platform_http_t *http;
	wwh_platform_t platform;
	char *directory;
	char *program;
	char *url;

	if (seconds < 1) {
		fprintf(stderr, "usage: bench_log_client [SECONDS_A_ROW]\n");
		return 2;
	}
	directory = g_path_get_dirname(argv[0]);
	program = g_build_filename(directory, "platform", NULL);
	standin_process_start(&standin, program);
	g_free(program);
	g_free(directory);
	url = g_strdup_printf("http://127.0.0.1:%d", (int)standin.port);
	wwh_platform_http_options_defaults(&options);
	options.base_url = url;
	http = wwh_platform_http_new(&options);
	if (wwh_platform_http_init(http, NULL) != WWH_STATUS_OK)
		return 1;
	wwh_platform_http_interface(http, &platform);
	printf("callers batch_ms payloads/s appends/s  p50_ms   p99_ms\n");
	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(batches_ms); k++)
			run_row(&platform, callers[i], batches_ms[k], seconds);
	wwh_platform_http_delete(http);
	g_free(url);
	return standin_process_stop(&standin) ? 0 : 1;
}
