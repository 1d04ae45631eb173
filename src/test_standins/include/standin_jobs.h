#ifndef STANDIN_JOBS_H
#define STANDIN_JOBS_H

/*
 * A small platform for tests of whole processes: its store, and upstreams
 * that run tasks for a set time. It speaks the platform's protocol over
 * loopback and checks what must never happen: two runs of one task at once,
 * a start after the task was done.
 */

#include "standin_store.h"

static inline void standin_end_run(standin_upstream_t *upstream, guint index,
				   const char *how)
{
	const standin_run_t *run =
		&g_array_index(upstream->runs, standin_run_t, index);

	g_ptr_array_add(upstream->ended,
			g_strdup_printf("[%" G_GINT64_FORMAT
					",\"%s\",%" G_GINT64_FORMAT
					",\"%s\",\"\"]",
					++upstream->ended_count, run->task,
					run->run, how));
	g_array_remove_index(upstream->runs, index);
}

static inline void standin_finish_runs(standin_upstream_t *upstream)
{
	standin_t *standin = upstream->standin;

	for (guint i = 0; i < upstream->runs->len;) {
		standin_run_t *run =
			&g_array_index(upstream->runs, standin_run_t, i);

		if (run->end_us > g_get_monotonic_time()) {
			i++;
			continue;
		}
		g_hash_table_add(standin->done, g_strdup(run->task));
		standin_end_run(upstream, i, "done");
	}
}

static inline char *standin_ballast_rows(int32_t rows)
{
	GString *text = g_string_new(",\"ballast\":[[]");

	for (int32_t i = 0; i < rows; i++)
		g_string_append(text, ",[]");
	g_string_append_c(text, ']');
	return g_string_free(text, FALSE);
}

/* Processor time, so that a busy machine doesn't shorten the ballast. */
static inline int64_t standin_thread_cpu_us(void)
{
	struct timespec now;

	assert_int_equal(clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now), 0);
	return (int64_t)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

static inline int64_t standin_parse_us(const char *ballast)
{
	JsonParser *parser = json_parser_new_immutable();
	char *text = g_strconcat("{\"clockMs\":0", ballast, "}", NULL);
	int64_t begun_us = standin_thread_cpu_us();
	int64_t parse_us;

	assert_true(json_parser_load_from_data(parser, text, -1, NULL));
	parse_us = standin_thread_cpu_us() - begun_us;
	g_free(text);
	g_object_unref(parser);
	return parse_us;
}

/*
 * Takes a reader 100 ms of processor time or more: the number of rows depends on
 * the machine. To be called without the lock, as it takes a few times as long.
 */
static inline char *standin_ballast(void)
{
	const int64_t target_us = 100 * 1000;
	int32_t rows = 200000;
	char *text = standin_ballast_rows(rows);

	while (standin_parse_us(text) < target_us) {
		rows += rows / 2;
		g_free(text);
		text = standin_ballast_rows(rows);
	}
	return text;
}

/* With the lock held, which is let go meanwhile. */
static inline void standin_lose_poll(standin_t *standin)
{
	standin->loses_poll = false;
	standin->poll_lost_ms = standin_now_ms();
	g_mutex_unlock(&standin->lock);
	g_usleep(1500 * 1000);
	g_mutex_lock(&standin->lock);
}

static inline void standin_announce(standin_upstream_t *upstream)
{
	char *value = g_strdup_printf(
		"{\"service\":\"" STANDIN_POOL
		"\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\","
		"\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"ready\",\"capacity\":{\"cpu\":8000,"
		"\"memMb\":16000,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
		"\"sequence\":1}",
		wwh_listener_port(upstream->listener));

	standin_put(upstream->standin, "keyed.servers", "0", upstream->id,
		    value, strlen(value));
	g_free(value);
}

/* The upstream is back at once, under another id. */
static inline void standin_crash(standin_upstream_t *upstream)
{
	standin_t *standin = upstream->standin;

	standin_put(standin, "keyed.servers", "0", upstream->id, NULL, 0);
	upstream->crashes++;
	snprintf(upstream->id, sizeof(upstream->id), "u%d-%d",
		 (int)(upstream - standin->upstreams), upstream->crashes);
	upstream->token = 0;
	upstream->ended_count = 0;
	g_array_set_size(upstream->runs, 0);
	g_ptr_array_set_size(upstream->ended, 0);
	standin_announce(upstream);
}

static inline bool standin_runs(const standin_upstream_t *upstream,
				const char *task, int64_t run)
{
	for (guint i = 0; i < upstream->runs->len; i++) {
		const standin_run_t *row =
			&g_array_index(upstream->runs, standin_run_t, i);

		if (row->run == run && strcmp(row->task, task) == 0)
			return true;
	}
	return false;
}

static inline bool standin_has_ended(const standin_upstream_t *upstream,
				     const char *task, int64_t run)
{
	char *row = g_strdup_printf("\"%s\",%" G_GINT64_FORMAT ",", task, run);
	bool found = false;

	for (guint i = 0; i < upstream->ended->len && !found; i++)
		found = strstr(g_ptr_array_index(upstream->ended, i), row) !=
			NULL;
	g_free(row);
	return found;
}

static inline void standin_begin_run(standin_upstream_t *upstream,
				     JsonObject *object)
{
	standin_t *standin = upstream->standin;
	standin_run_t run = { 0 };
	const char *task = json_object_get_string_member(object, "task");
	int32_t starts =
		GPOINTER_TO_INT(g_hash_table_lookup(standin->starts, task));

	g_strlcpy(run.task, task, sizeof(run.task));
	run.run = json_object_get_int_member(object, "run");
	run.end_us = g_get_monotonic_time() + standin->task_ms * 1000;
	g_hash_table_replace(standin->starts, g_strdup(task),
			     GINT_TO_POINTER(starts + 1));
	standin->twice += g_hash_table_contains(standin->done, task);
	if (standin->poll_lost_ms != 0 && standin->start_after_ms == 0)
		standin->start_after_ms = standin_now_ms();
	for (int32_t i = 0; i < STANDIN_UPSTREAMS; i++) {
		GArray *runs = standin->upstreams[i].runs;

		for (guint k = 0; k < runs->len; k++)
			standin->twice +=
				strcmp(g_array_index(runs, standin_run_t, k)
					       .task,
				       task) == 0;
	}
	g_array_append_val(upstream->runs, run);
	if (g_strcmp0(standin->crashing_task, task) == 0)
		standin_crash(upstream);
}

/* A start may be sent twice: the run is there then, or has ended. */
static inline void standin_start(standin_upstream_t *upstream,
				 JsonObject *object,
				 wwh_http_response_t *response, GString *text)
{
	const char *task = json_object_get_string_member(object, "task");
	int64_t run = json_object_get_int_member(object, "run");

	if (standin_runs(upstream, task, run))
		return;
	if (standin_has_ended(upstream, task, run)) {
		response->status = 409;
		g_string_append(text, ",\"reason\":\"old\"");
		return;
	}
	standin_begin_run(upstream, object);
}

static inline void standin_stop(standin_upstream_t *upstream,
				JsonObject *object)
{
	const char *task = json_object_get_string_member(object, "task");
	int64_t run = json_object_get_int_member(object, "run");

	for (guint i = 0; i < upstream->runs->len; i++) {
		const standin_run_t *row =
			&g_array_index(upstream->runs, standin_run_t, i);

		if (row->run != run || strcmp(row->task, task) != 0)
			continue;
		standin_end_run(upstream, i, "stopped");
		return;
	}
}

static inline void standin_poll(standin_upstream_t *upstream,
				JsonObject *object, GString *text)
{
	int64_t seen =
		json_object_get_int_member_with_default(object, "seenUpto", 0);
	bool first = true;

	g_string_append(text, ",\"running\":[");
	for (guint i = 0; i < upstream->runs->len; i++) {
		standin_run_t *run =
			&g_array_index(upstream->runs, standin_run_t, i);

		g_string_append_printf(
			text, "%s[\"%s\",%" G_GINT64_FORMAT ",\"\",%d]",
			i > 0 ? "," : "", run->task, run->run,
			(int32_t)(standin_now_ms() % 100));
	}
	if (upstream->standin->odd_row != NULL)
		g_string_append_printf(text, "%s%s",
				       upstream->runs->len > 0 ? "," : "",
				       upstream->standin->odd_row);
	g_string_append(text, "],\"ended\":[");
	for (int64_t i = seen; i < upstream->ended_count; i++) {
		g_string_append_printf(
			text, "%s%s", first ? "" : ",",
			(char *)g_ptr_array_index(upstream->ended, (guint)i));
		first = false;
	}
	g_string_append(text, "]");
}

static inline void standin_on_upstream(const wwh_http_request_t *http,
				       wwh_http_response_t *response,
				       void *data)
{
	standin_upstream_t *upstream = data;
	standin_t *standin = upstream->standin;
	JsonParser *parser = json_parser_new();
	GString *text = g_string_new(NULL);
	JsonObject *object;
	int64_t token;

	assert_true(json_parser_load_from_data(parser, (char *)http->body,
					       (gssize)http->body_size, NULL));
	object = json_node_get_object(json_parser_get_root(parser));
	token = json_object_get_int_member(object, "fencingToken");
	g_mutex_lock(&standin->lock);
	if (standin->loses_poll && upstream == &standin->upstreams[0] &&
	    token > upstream->token && g_str_has_suffix(http->target, "/hold"))
		standin_lose_poll(standin);
	standin_finish_runs(upstream);
	g_string_printf(text, "{\"clockMs\":%" G_GINT64_FORMAT,
			standin_now_ms());
	response->status = 200;
	if (g_strcmp0(wwh_headers_get(http->headers,
				      "Waxwinghollow-Expect-Instance"),
		      upstream->id) != 0) {
		response->status = 421;
	} else if (token < upstream->token) {
		response->status = 409;
		g_string_append(text, ",\"reason\":\"fence\"");
	} else {
		upstream->token = token;
		if (g_str_has_suffix(http->target, "/run-start"))
			standin_start(upstream, object, response, text);
		else if (g_str_has_suffix(http->target, "/run-stop"))
			standin_stop(upstream, object);
		else if (g_str_has_suffix(http->target, "/hold"))
			standin_poll(upstream, object, text);
		if (token == standin->heavy_token || standin->heavy_for_all)
			g_string_append(text, standin->ballast);
	}
	g_mutex_unlock(&standin->lock);
	g_string_append_c(text, '}');
	standin_answer(response, response->status, text->str);
	g_string_free(text, TRUE);
	g_object_unref(parser);
}

static inline wwh_listener_t *
standin_listen(standin_t *standin, wwh_listener_handler_t handler, void *data)
{
	wwh_listener_options_t options = wwh_listener_options_defaults();
	wwh_listener_t *listener;
	wwh_message_t message;

	options.name = "standin";
	options.handler = handler;
	options.client_data = data;
	listener = wwh_listener_new(&options, standin->counters);
	assert_int_equal(wwh_listener_init(listener, &message), WWH_STATUS_OK);
	return listener;
}

static inline standin_t *standin_new(void)
{
	static const char config[] =
		"{\"version\":3,\"routes\":[{\"name\":\"r1\",\"host\":\"h\","
		"\"pathPrefix\":\"/q/\",\"timeoutMs\":3000,\"service\":"
		"\"" STANDIN_POOL "\",\"maxAttempts\":3,\"stretch\":1.6,"
		"\"targetLatencyMs\":600,\"priority\":0}],\"services\":["
		"{\"name\":\"" STANDIN_POOL "\",\"enforcesCapacity\":true}],"
		"\"limits\":{\"maxBodyBytes\":262144}}";
	standin_t *standin = g_new0(standin_t, 1);

	g_mutex_init(&standin->lock);
	g_cond_init(&standin->grown);
	standin->counters = wwh_counters_new();
	standin->parts = g_hash_table_new(g_str_hash, g_str_equal);
	standin->done =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	standin->starts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	standin->task_ms = 300;
	standin->store = standin_listen(standin, standin_on_store, standin);
	standin_put(standin, "keyed.op", "0", "config", config, strlen(config));
	for (int32_t i = 0; i < STANDIN_UPSTREAMS; i++) {
		standin_upstream_t *upstream = &standin->upstreams[i];

		upstream->standin = standin;
		snprintf(upstream->id, sizeof(upstream->id), "u%d", i);
		upstream->runs =
			g_array_new(FALSE, FALSE, sizeof(standin_run_t));
		upstream->ended = g_ptr_array_new_with_free_func(g_free);
		upstream->listener =
			standin_listen(standin, standin_on_upstream, upstream);
		standin_announce(upstream);
	}
	return standin;
}

static inline void standin_free_part(standin_part_t *part)
{
	for (guint i = 0; i < part->records->len; i++) {
		standin_record_t *record = g_ptr_array_index(part->records, i);

		if (record->value != NULL)
			g_bytes_unref(record->value);
		g_free(record->key);
		g_free(record);
	}
	g_ptr_array_unref(part->records);
	g_free(part->last_answer);
	g_free(part->name);
	g_free(part);
}

static inline void standin_delete(standin_t *standin)
{
	GHashTableIter iterator;
	gpointer part;

	g_mutex_lock(&standin->lock);
	standin->ending = true;
	g_cond_broadcast(&standin->grown);
	g_mutex_unlock(&standin->lock);
	for (int32_t i = 0; i < STANDIN_UPSTREAMS; i++) {
		(void)wwh_listener_drain(standin->upstreams[i].listener, 0);
		wwh_listener_delete(standin->upstreams[i].listener);
		g_array_free(standin->upstreams[i].runs, TRUE);
		g_ptr_array_unref(standin->upstreams[i].ended);
	}
	(void)wwh_listener_drain(standin->store, 0);
	wwh_listener_delete(standin->store);
	g_hash_table_iter_init(&iterator, standin->parts);
	while (g_hash_table_iter_next(&iterator, NULL, &part))
		standin_free_part(part);
	g_hash_table_destroy(standin->parts);
	g_hash_table_destroy(standin->done);
	g_hash_table_destroy(standin->starts);
	g_free(standin->member);
	g_free(standin->ballast);
	wwh_counters_delete(standin->counters);
	g_mutex_clear(&standin->lock);
	g_cond_clear(&standin->grown);
	g_free(standin);
}

#endif
