/*
 * caller --entries A:P,A:P --requests N --threads N --paths /a,/b
 *	--runs FILE,FILE [--seconds N] [--posts PERCENT] [--seed N]
 * Callers that repeat a request with the same key, through another entry host,
 * until they are told how it ended. Then what they were told is compared with
 * what the minions ran. The last line is the outcome; exit 1 when a request
 * was lost (no answer, or an untrue one) or ran twice.
 */

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define TRIES_MAX 12
#define PAUSE_MS 150
#define PAUSE_MAX_MS 1000
#define TIMEOUT_MS 12000

typedef enum {
	TOLD_NOTHING = 0,
	TOLD_ANSWERED,
	TOLD_NOT_RUN,
	TOLD_UNKNOWN,
	TOLD_IN_PROGRESS,
} told_t;

typedef struct {
	char *id;
	bool post;
	told_t told;
	bool wrong_answer; /* an answer that is not to this request */
	int32_t tries;
	int64_t first_ms; /* of the first try, on the monotonic clock */
	int64_t took_ms;
} request_t;

typedef struct {
	gchar **entries;
	gchar **paths;
	request_t *requests;
	gint count;
	gint seconds;
	gint next;
	int64_t start_us;
} run_t;

/* What came back of one try. */
typedef struct {
	GString *body;
	char run[32];
	long status; /* 0: no whole answer */
	bool refused; /* no connection could be made */
	int64_t retry_after_ms;
} answer_t;

static size_t on_body(char *bytes, size_t size, size_t count, void *data)
{
	answer_t *answer = data;

	g_string_append_len(answer->body, bytes, (gssize)(size * count));
	return size * count;
}

static size_t on_header(char *line, size_t size, size_t count, void *data)
{
	answer_t *answer = data;
	char *text = g_strndup(line, size * count);

	g_strchomp(text);
	if (g_ascii_strncasecmp(text, "Waxwinghollow-Run: ", 19) == 0)
		g_strlcpy(answer->run, text + 19, sizeof(answer->run));
	if (g_ascii_strncasecmp(text, "Retry-After: ", 13) == 0)
		answer->retry_after_ms =
			g_ascii_strtoll(text + 13, NULL, 10) * 1000;
	g_free(text);
	return size * count;
}

static told_t told_by(const request_t *request, const answer_t *answer,
		      bool *wrong)
{
	if (answer->status >= 200 && answer->status < 300) {
		*wrong = strstr(answer->body->str, request->id) == NULL;
		return TOLD_ANSWERED;
	}
	if (strcmp(answer->run, "not-run") == 0)
		return TOLD_NOT_RUN;
	if (strstr(answer->body->str, "key-in-progress") != NULL)
		return TOLD_IN_PROGRESS;
	if (strcmp(answer->run, "unknown") == 0)
		return TOLD_UNKNOWN;
	return TOLD_ANSWERED;
}

static bool try_once(run_t *run, CURL *easy, request_t *request, int32_t entry,
		     answer_t *answer)
{
	const char *host = run->entries[entry];
	/* a repeat goes to the same path: it is the same request */
	const char *path =
		run->paths[g_str_hash(request->id) % g_strv_length(run->paths)];
	char *url = g_strdup_printf("http://%s%s/%s", host, path, request->id);
	char *id = g_strconcat("X-Request-Id: ", request->id, NULL);
	char *key = g_strconcat("Idempotency-Key: ", request->id, NULL);
	struct curl_slist *headers = curl_slist_append(NULL, id);
	CURLcode code;

	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, answer);
	if (request->post) {
		headers = curl_slist_append(headers, key);
		/* libcurl's own repeat of a POST must not happen here either */
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "charge=1");
	}
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer->status);
	curl_slist_free_all(headers);
	g_free(url);
	g_free(id);
	g_free(key);
	answer->refused = code == CURLE_COULDNT_CONNECT;
	if (code != CURLE_OK)
		answer->status = 0;
	return code == CURLE_OK;
}

static void settle(run_t *run, CURL *easy, request_t *request, GRand *random)
{
	int32_t count = (int32_t)g_strv_length(run->entries);
	int32_t entry = g_rand_int_range(random, 0, count);

	request->first_ms = g_get_monotonic_time() / 1000;
	while (request->tries < TRIES_MAX) {
		answer_t answer = { .body = g_string_new(NULL) };
		int64_t pause_ms = PAUSE_MS;

		/* the balancer would not have sent it to a host that is down */
		if (!try_once(run, easy, request, entry, &answer) &&
		    answer.refused)
			pause_ms = 0;
		else if (answer.status > 0)
			request->told = told_by(request, &answer,
						&request->wrong_answer);
		pause_ms = MAX(pause_ms, answer.retry_after_ms);
		g_string_free(answer.body, TRUE);
		request->tries++;
		if (request->told == TOLD_ANSWERED ||
		    (request->told == TOLD_UNKNOWN && request->post))
			break;
		entry = (entry + 1) % count;
		g_usleep((gulong)MIN(pause_ms, PAUSE_MAX_MS) * 1000);
	}
	request->took_ms = g_get_monotonic_time() / 1000 - request->first_ms;
}

static gpointer caller_main(gpointer data)
{
	run_t *run = data;
	CURL *easy = curl_easy_init();
	GRand *random = g_rand_new();

	for (;;) {
		gint index = g_atomic_int_add(&run->next, 1);
		int64_t due_us;
		int64_t wait_us;

		if (index >= run->count)
			break;
		due_us = run->start_us + (int64_t)index * run->seconds *
						 G_USEC_PER_SEC / run->count;
		wait_us = due_us - g_get_monotonic_time();
		if (wait_us > 0)
			g_usleep((gulong)wait_us);
		settle(run, easy, &run->requests[index], random);
	}
	g_rand_free(random);
	curl_easy_cleanup(easy);
	return NULL;
}

static GHashTable *read_runs(gchar **files)
{
	GHashTable *runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (gchar **file = files; *file != NULL; file++) {
		gchar *text = NULL;
		gchar **lines;

		if (!g_file_get_contents(*file, &text, NULL, NULL))
			continue;
		lines = g_strsplit(text, "\n", -1);
		for (gchar **line = lines; *line != NULL; line++) {
			gpointer count = g_hash_table_lookup(runs, *line);

			g_hash_table_insert(
				runs, g_strdup(*line),
				GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
		}
		g_strfreev(lines);
		g_free(text);
	}
	return runs;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	return (*x > *y) - (*x < *y);
}

/* Prints the outcome; true when nothing was lost and nothing ran twice. */
static bool report(const run_t *run, GHashTable *runs)
{
	gint answered = 0;
	gint not_run = 0;
	gint unknown = 0;
	gint lost = 0;
	gint twice = 0;
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));

	for (gint i = 0; i < run->count; i++) {
		const request_t *request = &run->requests[i];
		gint ran =
			GPOINTER_TO_INT(g_hash_table_lookup(runs, request->id));
		bool untrue = request->wrong_answer ||
			      (request->told == TOLD_ANSWERED && ran == 0) ||
			      (request->told == TOLD_NOT_RUN && ran > 0 &&
			       request->post) ||
			      request->told == TOLD_NOTHING;

		g_array_append_val(times, request->took_ms);
		if (untrue)
			printf("caller: %s was told %d after %d tries, ran "
			       "%d\n",
			       request->id, request->told, request->tries, ran);
		if (request->post && ran > 1)
			printf("caller: %s ran %d times\n", request->id, ran);
		lost += untrue;
		twice += request->post && ran > 1;
		answered += !untrue && request->told == TOLD_ANSWERED;
		not_run += !untrue && request->told == TOLD_NOT_RUN;
		unknown += !untrue && (request->told == TOLD_UNKNOWN ||
				       request->told == TOLD_IN_PROGRESS);
	}
	g_array_sort(times, compare_times);
	if (run->count > 0)
		printf("caller: until the final answer p50 %" G_GINT64_FORMAT
		       " ms, p99 %" G_GINT64_FORMAT
		       " ms, longest %" G_GINT64_FORMAT " ms\n",
		       g_array_index(times, int64_t, run->count / 2),
		       g_array_index(times, int64_t, run->count * 99 / 100),
		       g_array_index(times, int64_t, run->count - 1));
	g_array_free(times, TRUE);
	printf("demo: %d requests, %d answered once, %d not run, %d unknown, "
	       "%d lost, %d twice\n",
	       run->count, answered, not_run, unknown, lost, twice);
	return lost == 0 && twice == 0;
}

int main(int argc, char **argv)
{
	gchar *entries = NULL;
	gchar *paths = NULL;
	gchar *files = NULL;
	gint threads = 16;
	gint posts = 50;
	gint seed = 1;
	run_t run = { .count = 1000, .seconds = 10 };
	GOptionEntry options[] = {
		{ "entries", 0, 0, G_OPTION_ARG_STRING, &entries,
		  "caller listeners", "A:P,..." },
		{ "paths", 0, 0, G_OPTION_ARG_STRING, &paths, "of services",
		  "/A,/B" },
		{ "runs", 0, 0, G_OPTION_ARG_STRING, &files,
		  "what the minions ran", "FILE,..." },
		{ "requests", 0, 0, G_OPTION_ARG_INT, &run.count, "in all",
		  "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &run.seconds,
		  "they are spread over", "N" },
		{ "threads", 0, 0, G_OPTION_ARG_INT, &threads, "at once", "N" },
		{ "posts", 0, 0, G_OPTION_ARG_INT, &posts, "of the requests",
		  "PERCENT" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "of the mix", "N" },
		{ NULL },
	};
	GOptionContext *context = g_option_context_new("- callers");
	GThread **started;
	GRand *random;
	GHashTable *runs;
	bool good;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    entries == NULL || paths == NULL || files == NULL)
		return 2;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	random = g_rand_new_with_seed((guint32)seed);
	run.entries = g_strsplit(entries, ",", -1);
	run.paths = g_strsplit(paths, ",", -1);
	run.requests = g_new0(request_t, run.count);
	for (gint i = 0; i < run.count; i++) {
		run.requests[i].id =
			g_strdup_printf("q%08x-%d", g_rand_int(random), i);
		run.requests[i].post = g_rand_int_range(random, 0, 100) < posts;
	}
	run.start_us = g_get_monotonic_time();
	started = g_new0(GThread *, threads);
	for (gint i = 0; i < threads; i++)
		started[i] = g_thread_new("caller", caller_main, &run);
	for (gint i = 0; i < threads; i++)
		g_thread_join(started[i]);
	runs = read_runs(g_strsplit(files, ",", -1));
	good = report(&run, runs);
	g_hash_table_destroy(runs);
	for (gint i = 0; i < run.count; i++)
		g_free(run.requests[i].id);
	g_free(run.requests);
	g_free(started);
	return good ? 0 : 1;
}
