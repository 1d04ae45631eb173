#ifndef PATH_CALLERS_H
#define PATH_CALLERS_H

/*
 * Callers in threads, each with one kept connection, each sending its next
 * request when it has the answer to the last; and what they saw.
 */

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define CALLER_TIMEOUT_MS 20000L

typedef struct {
	const int32_t *ports; /* caller i uses port i modulo port_count */
	int32_t port_count;
	const char *path; /* with what follows it */
	int32_t callers;
	int32_t body_bytes;
	int64_t run_ms;
	int32_t pause_ms; /* between an answer and the next request */
	bool keyed; /* a new Idempotency-Key a request */
} load_t;

typedef struct {
	GArray *us; /* int64_t: how long each answer of 200 took; sorted */
	int64_t others; /* other answers, or none */
	int64_t elapsed_us;
} seen_t;

typedef struct {
	const load_t *load;
	int32_t index;
	int64_t start_us;
	int64_t end_us;
	char *body;
	GArray *us;
	int64_t others;
} bench_caller_t;

static size_t discard_bytes(char *bytes, size_t size, size_t count, void *data)
{
	(void)bytes;
	(void)data;
	return size * count;
}

static void caller_set_up(const bench_caller_t *caller, CURL *easy)
{
	const load_t *load = caller->load;
	char *url = g_strdup_printf(
		"http://127.0.0.1:%d%s",
		load->ports[caller->index % load->port_count], load->path);

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALLER_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_bytes);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)load->body_bytes);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, caller->body);
	g_free(url);
}

static struct curl_slist *caller_headers(const bench_caller_t *caller,
					 int64_t sequence)
{
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	char *key;

	if (!caller->load->keyed)
		return headers;
	key = g_strdup_printf("Idempotency-Key: %" G_GINT64_FORMAT
			      "-%d-%" G_GINT64_FORMAT,
			      caller->start_us, caller->index, sequence);
	headers = curl_slist_append(headers, key);
	g_free(key);
	return headers;
}

static gpointer bench_caller_main(gpointer data)
{
	bench_caller_t *caller = data;
	CURL *easy = curl_easy_init();
	int64_t now_us = g_get_monotonic_time();

	caller_set_up(caller, easy);
	for (int64_t i = 0; now_us < caller->end_us; i++) {
		struct curl_slist *headers = caller_headers(caller, i);
		int64_t sent_us = now_us;
		int64_t took_us;
		long status = 0;

		curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
		(void)curl_easy_perform(easy);
		now_us = g_get_monotonic_time();
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
		took_us = now_us - sent_us;
		if (status == 200)
			g_array_append_val(caller->us, took_us);
		else
			caller->others++;
		curl_slist_free_all(headers);
		if (caller->load->pause_ms > 0) {
			g_usleep((gulong)caller->load->pause_ms * 1000);
			now_us = g_get_monotonic_time();
		}
	}
	curl_easy_cleanup(easy);
	return NULL;
}

static gint compare_us(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	return (*x > *y) - (*x < *y);
}

/* on_middle, if any, is called when half of the time is over. */
static void run_callers(const load_t *load, seen_t *seen,
			void (*on_middle)(void *client_data), void *client_data)
{
	bench_caller_t *callers = g_new0(bench_caller_t, load->callers);
	GThread **threads = g_new0(GThread *, load->callers);
	char *body = g_strnfill((gsize)load->body_bytes, 'b');
	int64_t start_us = g_get_monotonic_time();

	*seen = (seen_t){ .us = g_array_new(FALSE, FALSE, sizeof(int64_t)) };
	for (int32_t i = 0; i < load->callers; i++) {
		callers[i] = (bench_caller_t){
			.load = load,
			.index = i,
			.start_us = start_us,
			.end_us = start_us + load->run_ms * 1000,
			.body = body,
			.us = g_array_new(FALSE, FALSE, sizeof(int64_t)),
		};
		threads[i] =
			g_thread_new("caller", bench_caller_main, &callers[i]);
	}
	g_usleep((gulong)load->run_ms * 500);
	if (on_middle != NULL)
		on_middle(client_data);
	for (int32_t i = 0; i < load->callers; i++) {
		g_thread_join(threads[i]);
		g_array_append_vals(seen->us, callers[i].us->data,
				    callers[i].us->len);
		seen->others += callers[i].others;
		g_array_free(callers[i].us, TRUE);
	}
	seen->elapsed_us = g_get_monotonic_time() - start_us;
	g_array_sort(seen->us, compare_us);
	g_free(body);
	g_free(callers);
	g_free(threads);
}

static int64_t seen_us(const seen_t *seen, int32_t percent)
{
	guint index = seen->us->len * (guint)percent / 100;

	if (seen->us->len == 0)
		return 0;
	return g_array_index(seen->us, int64_t, index);
}

static double seen_rate(const seen_t *seen)
{
	return seen->us->len * 1e6 / (double)seen->elapsed_us;
}

static void seen_clear(seen_t *seen)
{
	g_array_free(seen->us, TRUE);
}

#endif
