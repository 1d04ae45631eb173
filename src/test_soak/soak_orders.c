#include "soak_upstream.h"

#include <string.h>

#define POLL_WAIT_MAX_MS 2000
#define ENDS_PER_ANSWER 500

/* Of an upstream that rejects calls or is slow. */
#define REJECTED_SHARE 0.5
#define SLOWNESS 3
#define LATE_ANSWER_MAX_MS 1500

const char *const soak_disorder_names[SOAK_UPSTREAM_DISORDER_COUNT] = {
	"sound",
	"hangs",
	"rejects",
	"slow",
};

/* An order that is carried out late, without an answer. */
typedef struct {
	soak_upstream_t *upstream;
	int32_t incarnation;
	JsonNode *root;
	bool stops;
} late_order_t;

typedef struct {
	soak_upstream_t *upstream;
	int32_t incarnation;
	struct evhttp_request *request;
	int32_t status;
	char *text;
} late_answer_t;

typedef struct {
	soak_upstream_t *upstream;
	int32_t incarnation;
	struct evhttp_request *request;
} halted_call_t;

/* After a crash the connection is gone. */
static void answer_late(void *data)
{
	late_answer_t *late = data;

	if (late->upstream->up &&
	    late->upstream->incarnations == late->incarnation)
		soak_answer(late->request, late->status, late->text, 0);
	g_free(late->text);
	g_free(late);
}

static void answer(soak_upstream_t *upstream, struct evhttp_request *request,
		   int32_t status, const char *text)
{
	late_answer_t *late;

	if (upstream->disorder != SOAK_UPSTREAM_SLOW) {
		soak_answer(request, status, text, 0);
		return;
	}
	late = g_new0(late_answer_t, 1);
	late->upstream = upstream;
	late->incarnation = upstream->incarnations;
	late->request = request;
	late->status = status;
	late->text = g_strdup(text);
	soak_after(g_rand_int_range(soak.rand, 1, LATE_ANSWER_MAX_MS),
		   answer_late, late);
}

static int64_t percent_of(const soak_run_t *run)
{
	int64_t now_ms = soak_now_ms();

	if (now_ms <= run->works_ms)
		return 0;
	if (run->lasts)
		return 100;
	return MIN((now_ms - run->works_ms) * 100 /
			   MAX(run->due_ms - run->works_ms, 1),
		   99);
}

static void answer_poll(soak_upstream_t *upstream,
			struct evhttp_request *request)
{
	GString *text = g_string_new(NULL);
	char born[SOAK_BORN_CHARS];

	g_string_append(text, "{\"clockMs\":");
	soak_odd_append_clock(upstream, text, soak_upstream_clock_ms(upstream));
	g_string_append_printf(text, "%s,\"running\":[",
			       soak_upstream_born_field(upstream, born));
	for (guint i = 0; i < upstream->active->len; i++) {
		const soak_active_t *active =
			g_ptr_array_index(upstream->active, i);
		int64_t percent = percent_of(active->entry);

		g_string_append_printf(
			text, "%s[\"%s\",%" G_GINT64_FORMAT ",\"\",%d,1000]",
			i > 0 ? "," : "", active->task, active->run,
			(int)percent);
	}
	soak_odd_append_running(upstream, text);
	g_string_append(text, "],\"ended\":[");
	for (guint i = 0; i < MIN(upstream->ended->len, ENDS_PER_ANSWER); i++) {
		const soak_run_t *run = g_ptr_array_index(upstream->ended, i);

		g_string_append_printf(text,
				       "%s[%" G_GINT64_FORMAT
				       ",\"%s\",%" G_GINT64_FORMAT
				       ",\"%s\",\"\"]",
				       i > 0 ? "," : "", run->end_number,
				       run->task, run->run, run->listed_how);
	}
	soak_odd_append_end(upstream, text);
	g_string_append(text, "]}");
	answer(upstream, request, 200, text->str);
	g_string_free(text, TRUE);
}

void soak_orders_answer_polls(soak_upstream_t *upstream)
{
	if (upstream->disorder == SOAK_UPSTREAM_HANGS)
		return;
	for (guint i = 0; i < upstream->polls->len;) {
		soak_poll_t *poll = g_ptr_array_index(upstream->polls, i);

		if (upstream->ended->len == 0 &&
		    soak_now_ms() < poll->until_ms) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(upstream->polls, i);
		answer_poll(upstream, poll->request);
		g_free(poll);
	}
}

void soak_orders_note_highest(soak_upstream_t *upstream, const char *task,
			      int64_t run)
{
	int64_t *highest = g_hash_table_lookup(upstream->highest, task);

	if (highest == NULL) {
		highest = g_new0(int64_t, 1);
		g_hash_table_insert(upstream->highest, g_strdup(task), highest);
	}
	*highest = MAX(*highest, run);
}

static void extend_lease(soak_upstream_t *upstream, JsonObject *object)
{
	int64_t until_ms = soak_number(object, "untilMs", 0);

	until_ms = MIN(until_ms,
		       soak_upstream_clock_ms(upstream) + SOAK_LEASE_MAX_MS);
	if (until_ms > upstream->lease_ms &&
	    soak_number(object, "fencingToken", 0) < soak_store_holder_token())
		soak_record("upstream %s: an overtaken holder extends the "
			    "lease by %" G_GINT64_FORMAT " ms",
			    upstream->id,
			    until_ms - soak_upstream_clock_ms(upstream));
	upstream->lease_ms = MAX(upstream->lease_ms, until_ms);
}

/* request NULL: the order is answered by nobody. */
static void answer_order(soak_upstream_t *upstream,
			 struct evhttp_request *request, int32_t status,
			 const char *reason)
{
	char born[SOAK_BORN_CHARS];
	char *text;

	if (request == NULL)
		return;
	text = g_strdup_printf("{\"clockMs\":%" G_GINT64_FORMAT "%s%s%s%s}",
			       soak_upstream_clock_ms(upstream),
			       soak_upstream_born_field(upstream, born),
			       reason == NULL ? "" : ",\"reason\":\"",
			       reason == NULL ? "" : reason,
			       reason == NULL ? "" : "\"");
	answer(upstream, request, status, text);
	g_free(text);
}

static soak_active_t *find_active(const soak_upstream_t *upstream,
				  const char *task)
{
	for (guint i = 0; i < upstream->active->len; i++) {
		soak_active_t *active = g_ptr_array_index(upstream->active, i);

		if (strcmp(active->task, task) == 0)
			return active;
	}
	return NULL;
}

/* Planted: the end is listed as done, and the run goes on. */
static void list_end_early(soak_upstream_t *upstream, const soak_run_t *entry)
{
	soak_run_t *end = g_new0(soak_run_t, 1);

	*end = *entry;
	end->how = "done";
	end->listed_how = "done";
	end->end_number = ++upstream->ends;
	end->is_planted = true;
	g_ptr_array_add(upstream->ended, end);
}

static void begin_run(soak_upstream_t *upstream, const char *task, int64_t run,
		      bool is_late)
{
	soak_run_t *entry = g_new0(soak_run_t, 1);
	soak_active_t *active = g_new0(soak_active_t, 1);
	int32_t slowness =
		upstream->disorder == SOAK_UPSTREAM_SLOW ? SLOWNESS : 1;

	entry->task = g_strdup(task);
	entry->run = run;
	entry->incarnation =
		g_strdup_printf("%s/%d", upstream->id, upstream->incarnations);
	entry->begun_ms = soak_now_ms();
	entry->is_late = is_late;
	active->task = g_strdup(task);
	active->run = run;
	active->entry = entry;
	soak_job_draw_end(entry, slowness);
	g_ptr_array_add(upstream->active, active);
	soak_record("upstream %s: run %" G_GINT64_FORMAT
		    " of %s begins (token %" G_GINT64_FORMAT ")",
		    entry->incarnation, run, task, upstream->token);
	soak_check_start(entry);
	if (soak.options.plant == SOAK_PLANT_EARLY_END)
		list_end_early(upstream, entry);
	if (soak.options.plant == SOAK_PLANT_FOREIGN_RUN &&
	    upstream->index == 0 && run > 0)
		begin_run(upstream, "00000000000dead0.0.0.0", 0, false);
}

static void serve_start(soak_upstream_t *upstream,
			struct evhttp_request *request, JsonObject *object)
{
	const char *task = json_object_get_string_member(object, "task");
	int64_t run = soak_number(object, "run", 0);
	const soak_active_t *active = find_active(upstream, task);
	const int64_t *highest = g_hash_table_lookup(upstream->highest, task);
	bool is_old = active != NULL || (highest != NULL && run <= *highest);

	if (active != NULL && active->run == run) {
		extend_lease(upstream, object);
		answer_order(upstream, request, 200, NULL);
	} else if (is_old) {
		extend_lease(upstream, object);
		answer_order(upstream, request, 409, "old");
	} else if (soak_number(object, "untilMs", 0) <=
		   soak_upstream_clock_ms(upstream)) {
		answer_order(upstream, request, 409, "late");
	} else {
		extend_lease(upstream, object);
		begin_run(upstream, task, run, request == NULL);
		answer_order(upstream, request, 200, NULL);
	}
}

static void serve_stop(soak_upstream_t *upstream,
		       struct evhttp_request *request, JsonObject *object)
{
	const char *task = json_object_get_string_member(object, "task");
	int64_t run = soak_number(object, "run", 0);
	soak_active_t *active = find_active(upstream, task);

	soak_record("upstream %s: stop of run %" G_GINT64_FORMAT " of %s",
		    upstream->id, run, task);
	if (active == NULL)
		soak_orders_note_highest(upstream, task, run);
	else if (active->run == run && active->stop_ms == 0)
		active->stop_ms = soak_now_ms() + SOAK_STOP_MS / 2;
	answer_order(upstream, request, 200, NULL);
}

void soak_orders_forget_end(soak_upstream_t *upstream, guint index)
{
	soak_run_t *run = g_ptr_array_remove_index(upstream->ended, index);

	if (run->is_planted)
		g_free(run);
}

static void serve_poll(soak_upstream_t *upstream,
		       struct evhttp_request *request, JsonObject *object)
{
	int64_t acked = soak_number(object, "seenUpto", 0);
	soak_poll_t *poll = g_new0(soak_poll_t, 1);

	extend_lease(upstream, object);
	for (guint i = 0; i < upstream->ended->len;) {
		soak_run_t *run = g_ptr_array_index(upstream->ended, i);

		if (run->end_number > acked) {
			i++;
			continue;
		}
		run->acked_ms = soak_now_ms();
		soak_record("upstream %s: end %" G_GINT64_FORMAT
			    " of %s is acknowledged (%" G_GINT64_FORMAT ")",
			    run->incarnation, run->end_number, run->task,
			    acked);
		soak_orders_forget_end(upstream, i);
	}
	poll->request = request;
	poll->until_ms = soak_now_ms() + MIN(soak_number(object, "waitMs", 0),
					     POLL_WAIT_MAX_MS);
	g_ptr_array_add(upstream->polls, poll);
	soak_orders_answer_polls(upstream);
}

static void serve_order(soak_upstream_t *upstream,
			struct evhttp_request *request, JsonObject *object,
			bool stops)
{
	if (stops)
		serve_stop(upstream, request, object);
	else
		serve_start(upstream, request, object);
}

static void carry_out_late(void *data)
{
	late_order_t *late = data;
	soak_upstream_t *upstream = late->upstream;
	JsonObject *object = json_node_get_object(late->root);

	if (upstream->up && upstream->incarnations == late->incarnation &&
	    soak_number(object, "fencingToken", 0) >= upstream->token)
		serve_order(upstream, NULL, object, late->stops);
	json_node_unref(late->root);
	g_free(late);
}

/* The order is carried out up to some seconds later, and answered by nobody. */
static void defer_order(soak_upstream_t *upstream, JsonNode *root, bool stops)
{
	late_order_t *late = g_new0(late_order_t, 1);

	late->upstream = upstream;
	late->incarnation = upstream->incarnations;
	late->root = json_node_ref(root);
	late->stops = stops;
	soak_after(g_rand_int_range(soak.rand, 100, 4000), carry_out_late,
		   late);
}

static void serve_call(soak_upstream_t *upstream,
		       struct evhttp_request *request, JsonNode *root)
{
	JsonObject *object = json_node_get_object(root);
	const char *uri = evhttp_request_get_uri(request);
	int64_t token = soak_number(object, "fencingToken", 0);
	bool starts = strcmp(uri, "/waxwinghollow/run-start") == 0;
	bool stops = strcmp(uri, "/waxwinghollow/run-stop") == 0;

	if (token < upstream->token) {
		answer_order(upstream, request, 409, "fence");
		return;
	}
	upstream->token = token;
	if ((starts || stops) && soak_now_ms() < upstream->late_until_ms &&
	    g_rand_int_range(soak.rand, 0, 4) == 0)
		defer_order(upstream, root, stops);
	else if (starts || stops)
		serve_order(upstream, request, object, stops);
	else if (strcmp(uri, "/waxwinghollow/hold") == 0)
		serve_poll(upstream, request, object);
	else
		answer_order(upstream, request, 200, NULL);
}

/* A process that goes on carries out what has arrived while it was halted. */
static void serve_after_halt(void *data)
{
	halted_call_t *call = data;

	if (call->upstream->up &&
	    call->upstream->incarnations == call->incarnation)
		soak_orders_serve(call->request, call->upstream);
	g_free(call);
}

static void wait_for_end_of_halt(soak_upstream_t *upstream,
				 struct evhttp_request *request)
{
	halted_call_t *call = g_new0(halted_call_t, 1);

	call->upstream = upstream;
	call->incarnation = upstream->incarnations;
	call->request = request;
	soak_after(upstream->halted_until_ms - soak_now_ms(), serve_after_halt,
		   call);
}

static void reject(soak_upstream_t *upstream, struct evhttp_request *request)
{
	const int32_t statuses[] = { 429, 503 };

	answer_order(upstream, request,
		     statuses[g_rand_int_range(soak.rand, 0,
					       G_N_ELEMENTS(statuses))],
		     NULL);
}

void soak_orders_serve(struct evhttp_request *request, void *data)
{
	soak_upstream_t *upstream = data;
	const char *expected =
		evhttp_find_header(evhttp_request_get_input_headers(request),
				   "Waxwinghollow-Expect-Instance");
	JsonNode *root;

	if (!upstream->up || upstream->disorder == SOAK_UPSTREAM_HANGS)
		return; /* silent: the request waits until its socket closes */
	if (soak_now_ms() < upstream->halted_until_ms) {
		wait_for_end_of_halt(upstream, request);
		return;
	}
	if (strcmp(evhttp_request_get_uri(request), "/healthz") == 0) {
		answer(upstream, request, 200, "{}");
		return;
	}
	if (expected != NULL && strcmp(expected, upstream->id) != 0) {
		answer_order(upstream, request, 421, NULL);
		return;
	}
	if (upstream->disorder == SOAK_UPSTREAM_REJECTS &&
	    g_rand_double(soak.rand) < REJECTED_SHARE) {
		reject(upstream, request);
		return;
	}
	root = soak_parse_body(request);
	if (root == NULL) {
		answer_order(upstream, request, 400, NULL);
		return;
	}
	serve_call(upstream, request, root);
	json_node_unref(root);
}
