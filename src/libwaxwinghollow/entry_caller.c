#include "private/entry_internal.h"
#include "private/entry_peers.h"
#include "private/intent_writer.h"
#include "private/request_table.h"

#include <string.h>
#include <xxhash.h>

#define HEADER_KEY "Idempotency-Key"
#define HEADER_DEADLINE "Waxwinghollow-Deadline-Ms"
#define HEADER_CALLER "Waxwinghollow-Caller"
#define HEADER_REPLAYED "Idempotency-Replayed"

typedef enum {
	EVENT_QUEUE = 0,
	EVENT_RECORD,
	EVENT_RECORDED,
	EVENT_REPLAY,
	EVENT_CONNECT,
	EVENT_SENT,
	EVENT_ANSWERED,
	EVENT_MINION_REFUSED,
	EVENT_CONNECT_FAILED,
	EVENT_LOST,
	EVENT_RETRY,
	EVENT_REFUSE,
	EVENT_DEADLINE,
	EVENT_CALLER_GONE,
	EVENT_COUNT
} event_t;

static const char *const event_names[EVENT_COUNT] = {
	"queue", "record",   "recorded",       "replay",	 "connect",
	"sent",	 "answered", "minion-refused", "connect-failed", "lost",
	"retry", "refuse",   "deadline",       "caller-gone",
};

/* One caller's request in progress. */
typedef struct {
	wwh_entry_t *entry;
	const wwh_http_request_t *http;
	wwh_http_response_t *response;
	wwh_config_t *config;
	const wwh_service_t *service;
	int64_t deadline_ms;
	bool idempotent;
	const char *key; /* NULL if no intent is recorded for the request */
	uint8_t fingerprint[WWH_FINGERPRINT_BYTES];
	wwh_request_t *request;
	uint64_t id; /* of request; also the sequence of its intent */
	wwh_chart_machine_t machine;
	bool answered; /* response holds the minion's answer */
	bool replayed; /* response holds the answer recorded for the key */
	int64_t retry_after_ms;
	int64_t held_bytes; /* of the body and of the stored answers */
} call_t;

static wwh_error_kind_t admit_request(call_t *call);
static wwh_error_kind_t run_request(call_t *call);
static wwh_error_kind_t begin_request(call_t *call);
static wwh_error_kind_t execute_decisions(call_t *call);
static wwh_error_kind_t run_attempt(call_t *call, const wwh_decision_t *start);
static wwh_error_kind_t confirm_intent(call_t *call);
static bool may_send(call_t *call);
static void send_to_minion(call_t *call, const wwh_decision_t *start,
			   wwh_upstream_answer_t *answer);
static wwh_outcome_t dispatch_outcome(const wwh_upstream_answer_t *answer);
static void step_chart_by_outcome(call_t *call,
				  const wwh_upstream_answer_t *answer);
static void add_held_bytes(call_t *call, int64_t bytes);
static void store_answer(call_t *call, wwh_upstream_answer_t *answer);
static void record_result(call_t *call, wwh_error_kind_t kind);
static wwh_error_kind_t answer_known_key(call_t *call);
static wwh_error_kind_t replay_answer(call_t *call, const wwh_key_view_t *view);
static void answer_caller(call_t *call, wwh_error_kind_t kind);
static void step_chart(call_t *call, event_t event);
static bool method_is_idempotent(const char *method);
static int64_t request_deadline_ms(const wwh_http_request_t *http,
				   const wwh_service_t *service);
static uint64_t caller_hash(const wwh_http_request_t *http);
static wwh_error_kind_t final_error_kind(call_t *call, wwh_error_kind_t kind);

void wwh_entry_handle_caller(const wwh_http_request_t *request,
			     wwh_http_response_t *response, void *client_data)
{
	wwh_entry_t *entry = client_data;
	call_t call = {
		.entry = entry,
		.http = request,
		.response = response,
		.config = wwh_entry_config(entry),
		.machine = wwh_chart_start(entry->request_chart),
	};
	wwh_error_kind_t kind;

	add_held_bytes(&call, (int64_t)request->body_size);
	kind = admit_request(&call);
	if (kind == WWH_ERROR_NONE)
		kind = run_request(&call);
	answer_caller(&call, kind);
	wwh_counter_add(entry->buffered_bytes, -call.held_bytes);
	if (call.config != NULL)
		wwh_config_unref(call.config);
}

const char *const *wwh_request_event_names(int32_t *count)
{
	*count = EVENT_COUNT;
	return event_names;
}

static wwh_error_kind_t admit_request(call_t *call)
{
	wwh_phase_t phase = wwh_entry_phase(call->entry);
	const char *key;
	char *path;

	if (phase >= WWH_PHASE_DRAINING)
		return WWH_ERROR_SHUTTING_DOWN;
	if (call->config == NULL)
		return WWH_ERROR_NO_CONFIGURATION;
	path = wwh_http_target_path(call->http->target);
	call->service = wwh_config_route(call->config, path);
	g_free(path);
	if (call->service == NULL)
		return WWH_ERROR_NO_SUCH_SERVICE;
	if ((int64_t)call->http->body_size > call->service->max_body_bytes)
		return WWH_ERROR_BODY_TOO_LARGE;
	if (wwh_counter_value(call->entry->buffered_bytes) >
	    call->entry->settings->max_buffered_bytes)
		return WWH_ERROR_TOO_MANY_REQUESTS;
	key = wwh_headers_get(call->http->headers, HEADER_KEY);
	if (key != NULL && (*key == '\0' || strlen(key) > WWH_KEY_BYTES_MAX))
		return WWH_ERROR_BAD_REQUEST;
	call->idempotent = method_is_idempotent(call->http->method);
	call->deadline_ms = request_deadline_ms(call->http, call->service);
	if (key != NULL && !call->idempotent) {
		call->key = key;
		wwh_intent_fingerprint(call->http->method, call->http->target,
				       call->http->body, call->http->body_size,
				       call->fingerprint);
		return answer_known_key(call);
	}
	return WWH_ERROR_NONE;
}

static wwh_error_kind_t run_request(call_t *call)
{
	wwh_error_kind_t kind;

	if (call->replayed)
		return WWH_ERROR_NONE;
	kind = begin_request(call);
	if (kind == WWH_ERROR_NONE)
		kind = execute_decisions(call);
	kind = final_error_kind(call, kind);
	if (wwh_request_end(call->request) && call->key != NULL)
		record_result(call, kind);
	return kind;
}

static wwh_error_kind_t begin_request(call_t *call)
{
	wwh_dispatch_request_t arrival = {
		.service = call->service->id,
		.caller = caller_hash(call->http),
		.team = call->service->team,
		.urgent = call->service->urgent,
		.idempotent = call->idempotent,
		.bytes = (int64_t)call->http->body_size,
		.deadline_ms = call->deadline_ms,
	};
	wwh_intent_item_t *item;

	call->request = wwh_request_begin(call->entry->requests, &arrival);
	call->id = wwh_request_id(call->request);
	step_chart(call, call->key != NULL ? EVENT_RECORD : EVENT_QUEUE);
	/*
	 * The intent is recorded while the request waits for its slot, so
	 * neither delays the other. A request that was refused at once costs
	 * no append.
	 */
	if (call->key == NULL || wwh_request_refused(call->request))
		return WWH_ERROR_NONE;
	item = wwh_intent_item_new(call->service->id, call->key);
	memcpy(item->fingerprint, call->fingerprint, WWH_FINGERPRINT_BYTES);
	item->sequence = (int64_t)call->id;
	if (!wwh_intent_writer_add_intent(call->entry->intent_writer, item))
		return WWH_ERROR_LOG_UNAVAILABLE;
	return WWH_ERROR_NONE;
}

static wwh_error_kind_t execute_decisions(call_t *call)
{
	wwh_error_kind_t kind = WWH_ERROR_NONE;
	wwh_decision_t decision;

	while (wwh_request_wait_decision(call->request, call->http->caller_fd,
					 &decision)) {
		if (decision.type == WWH_DECISION_END) {
			call->retry_after_ms = decision.retry_after_ms;
			/*
			 * The attempt's error or a complete answer takes
			 * precedence over the dispatcher's error.
			 */
			if (kind != WWH_ERROR_NONE || call->replayed ||
			    call->answered)
				return kind;
			return decision.kind;
		}
		kind = run_attempt(call, &decision);
	}
	step_chart(call, EVENT_CALLER_GONE);
	return WWH_ERROR_CALLER_GONE_NOT_RUN;
}

/*
 * Returns the error that ends the request, or WWH_ERROR_NONE to leave that to
 * the dispatcher.
 */
static wwh_error_kind_t run_attempt(call_t *call, const wwh_decision_t *start)
{
	wwh_dispatch_result_t result = {
		.request = call->id,
		.minion = start->minion,
		.outcome = WWH_OUTCOME_ABORTED,
	};
	wwh_upstream_answer_t answer;
	wwh_error_kind_t kind;
	int64_t sent_ms;

	/* the chart ignores this event before the first attempt */
	step_chart(call, EVENT_RETRY);
	kind = confirm_intent(call);
	sent_ms = wwh_now_ms();
	/* an answer of an earlier attempt is discarded */
	call->answered = false;
	if (kind == WWH_ERROR_NONE && !call->replayed &&
	    sent_ms >= call->deadline_ms)
		kind = WWH_ERROR_DEADLINE_NOT_RUN;
	if (kind != WWH_ERROR_NONE || call->replayed) {
		wwh_request_finished(call->request, &result);
		return kind;
	}
	send_to_minion(call, start, &answer);
	step_chart_by_outcome(call, &answer);
	result.outcome = dispatch_outcome(&answer);
	result.latency_ms = (int32_t)answer.elapsed_ms;
	result.retry_after_ms = (int32_t)MAX(answer.retry_after_ms, 0);
	if (answer.outcome == WWH_UPSTREAM_ANSWERED)
		wwh_entry_peers_minion_answered(call->entry->peers,
						start->minion, sent_ms,
						answer.minion_leaving);
	if (answer.outcome == WWH_UPSTREAM_ANSWERED)
		store_answer(call, &answer);
	if (answer.outcome == WWH_UPSTREAM_TOO_LARGE)
		kind = WWH_ERROR_ANSWER_TOO_LARGE;
	if (answer.outcome == WWH_UPSTREAM_CALLER_GONE)
		kind = answer.sent ? WWH_ERROR_CALLER_GONE_UNKNOWN
				   : WWH_ERROR_CALLER_GONE_NOT_RUN;
	wwh_http_response_clear(&answer.response);
	wwh_request_finished(call->request, &result);
	return kind;
}

/*
 * No byte of a keyed request is sent before its intent was read back from the
 * log and accepted.
 */
static wwh_error_kind_t confirm_intent(call_t *call)
{
	wwh_intent_verdict_t verdict;
	wwh_error_kind_t kind;

	if (call->key == NULL)
		return WWH_ERROR_NONE;
	if (!wwh_request_wait_intent(call->request, call->http->caller_fd,
				     call->deadline_ms, &verdict))
		return WWH_ERROR_LOG_UNAVAILABLE;
	if (verdict == WWH_INTENT_ACCEPTED && may_send(call)) {
		step_chart(call, EVENT_RECORDED);
		return WWH_ERROR_NONE;
	}
	if (verdict == WWH_INTENT_ABANDONED || verdict == WWH_INTENT_FULL)
		return WWH_ERROR_LOG_UNAVAILABLE;
	if (verdict == WWH_INTENT_ACCEPTED)
		return WWH_ERROR_KEY_OUTCOME_UNKNOWN;
	kind = answer_known_key(call);
	if (kind == WWH_ERROR_NONE && !call->replayed)
		return WWH_ERROR_KEY_IN_PROGRESS;
	return kind;
}

static bool may_send(call_t *call)
{
	wwh_entry_t *entry = call->entry;
	bool allowed;

	g_mutex_lock(&entry->state_lock);
	allowed = wwh_intents_may_send(entry->intents, call->service->id,
				       call->key, entry->author,
				       (int64_t)call->id);
	g_mutex_unlock(&entry->state_lock);
	return allowed;
}

static void send_to_minion(call_t *call, const wwh_decision_t *start,
			   wwh_upstream_answer_t *answer)
{
	const wwh_minion_t *minion =
		wwh_config_minion(call->config, start->minion);
	wwh_config_t *newest = NULL;
	wwh_upstream_request_t request = {
		.http = call->http,
		.timeout_ms = MIN(start->timeout_ms,
				  call->deadline_ms - wwh_now_ms()),
		.max_answer_bytes = call->service->max_answer_bytes,
	};

	/* the minion may be newer than the request's configuration */
	if (minion == NULL) {
		newest = wwh_entry_config(call->entry);
		minion = wwh_config_minion(newest, start->minion);
	}
	step_chart(call, EVENT_CONNECT);
	if (minion == NULL) {
		memset(answer, 0, sizeof(*answer));
		wwh_http_response_init(&answer->response);
		answer->outcome = WWH_UPSTREAM_NO_CONNECTION;
	} else {
		request.address = minion->address;
		request.port = minion->port;
		request.max_connections = start->connections;
		wwh_upstream_send(call->entry->upstream, &request, answer);
	}
	if (newest != NULL)
		wwh_config_unref(newest);
}

static wwh_outcome_t dispatch_outcome(const wwh_upstream_answer_t *answer)
{
	static const wwh_outcome_t outcomes[WWH_UPSTREAM_OUTCOME_COUNT] = {
		[WWH_UPSTREAM_ANSWERED] = WWH_OUTCOME_ANSWERED,
		[WWH_UPSTREAM_REFUSED] = WWH_OUTCOME_REFUSED,
		[WWH_UPSTREAM_NO_CONNECTION] = WWH_OUTCOME_CONNECT_FAILED,
		[WWH_UPSTREAM_NO_ROOM] = WWH_OUTCOME_CONNECT_FAILED,
		[WWH_UPSTREAM_DEADLINE] = WWH_OUTCOME_SILENT,
		[WWH_UPSTREAM_LOST] = WWH_OUTCOME_LOST,
		[WWH_UPSTREAM_TRUNCATED] = WWH_OUTCOME_TRUNCATED,
		[WWH_UPSTREAM_TOO_LARGE] = WWH_OUTCOME_ABORTED,
		[WWH_UPSTREAM_CALLER_GONE] = WWH_OUTCOME_ABORTED,
	};

	if (answer->outcome == WWH_UPSTREAM_ANSWERED &&
	    answer->response.status >= 500)
		return WWH_OUTCOME_ERROR_ANSWERED;
	return outcomes[answer->outcome];
}

static void step_chart_by_outcome(call_t *call,
				  const wwh_upstream_answer_t *answer)
{
	static const event_t events[WWH_UPSTREAM_OUTCOME_COUNT] = {
		[WWH_UPSTREAM_ANSWERED] = EVENT_ANSWERED,
		[WWH_UPSTREAM_REFUSED] = EVENT_MINION_REFUSED,
		[WWH_UPSTREAM_NO_CONNECTION] = EVENT_CONNECT_FAILED,
		[WWH_UPSTREAM_NO_ROOM] = EVENT_CONNECT_FAILED,
		[WWH_UPSTREAM_DEADLINE] = EVENT_LOST,
		[WWH_UPSTREAM_LOST] = EVENT_LOST,
		[WWH_UPSTREAM_TRUNCATED] = EVENT_LOST,
		[WWH_UPSTREAM_TOO_LARGE] = EVENT_ANSWERED,
		[WWH_UPSTREAM_CALLER_GONE] = EVENT_CALLER_GONE,
	};

	if (answer->sent)
		step_chart(call, EVENT_SENT);
	step_chart(call, events[answer->outcome]);
}

/*
 * Bodies and answers are held in memory in full, so their sum is bounded for
 * the process: without a bound, 400 large requests at once exhaust the host's
 * memory and all of them fail, instead of the last ones being refused.
 */
static void add_held_bytes(call_t *call, int64_t bytes)
{
	call->held_bytes += bytes;
	wwh_counter_add(call->entry->buffered_bytes, bytes);
}

/*
 * Only this program sets the headers that report what it did: passed on from a
 * minion, they would reach the caller a second time, possibly with a false
 * value.
 */
static void store_answer(call_t *call, wwh_upstream_answer_t *answer)
{
	wwh_headers_t *headers = answer->response.headers;
	wwh_headers_t *passed_headers = wwh_headers_new();

	for (int32_t i = 0; i < wwh_headers_count(headers); i++) {
		const wwh_header_t *header = wwh_headers_at(headers, i);

		if (g_ascii_strcasecmp(header->name, WWH_HEADER_RUN) != 0 &&
		    g_ascii_strcasecmp(header->name, HEADER_REPLAYED) != 0)
			wwh_headers_add(passed_headers, header->name,
					header->value);
	}
	wwh_headers_delete(headers);
	answer->response.headers = passed_headers;
	wwh_http_response_clear(call->response);
	*call->response = answer->response;
	wwh_http_response_init(&answer->response);
	add_held_bytes(call, (int64_t)call->response->body->len);
	call->answered = true;
}

/*
 * The chart tracks whether a byte may have been sent. An error that reports
 * "not run" is kept only if the chart agrees, whichever module chose it.
 */
static wwh_error_kind_t final_error_kind(call_t *call, wwh_error_kind_t kind)
{
	uint32_t not_run =
		wwh_chart_tag_mask(call->entry->request_chart, "not-run");

	if (kind == WWH_ERROR_NONE && !call->answered && !call->replayed)
		kind = WWH_ERROR_ANSWER_LOST;
	if (kind == WWH_ERROR_NONE)
		return kind;
	if (wwh_answer_for(kind)->run != WWH_RUN_NOT_RUN ||
	    wwh_chart_has_tag(&call->machine, not_run))
		return kind;
	wwh_counter_add(call->entry->not_run_denied, 1);
	if (kind == WWH_ERROR_DEADLINE_NOT_RUN ||
	    kind == WWH_ERROR_WAIT_TOO_LONG)
		return WWH_ERROR_DEADLINE_UNKNOWN;
	if (kind == WWH_ERROR_CALLER_GONE_NOT_RUN)
		return WWH_ERROR_CALLER_GONE_UNKNOWN;
	return WWH_ERROR_ANSWER_LOST;
}

static void record_result(call_t *call, wwh_error_kind_t kind)
{
	wwh_result_item_t *item =
		wwh_result_item_new(call->service->id, call->key);
	const wwh_http_response_t *response = call->response;
	wwh_run_class_t run = wwh_answer_for(kind)->run;
	const char *content_type;

	item->sequence = (int64_t)call->id;
	if (run == WWH_RUN_UNKNOWN)
		item->result = WWH_RESULT_UNKNOWN;
	else if (run == WWH_RUN_NOT_RUN)
		item->result = WWH_RESULT_NOT_RUN;
	else
		item->result = WWH_RESULT_ANSWERED;
	if (item->result == WWH_RESULT_ANSWERED && call->answered) {
		item->http_status = response->status;
		item->body_kept =
			response->body->len <= WWH_KEPT_BODY_BYTES_MAX;
		content_type =
			wwh_headers_get(response->headers, "Content-Type");
		if (item->body_kept) {
			if (content_type != NULL &&
			    strlen(content_type) <= WWH_CONTENT_TYPE_BYTES_MAX)
				wwh_record_set(&item->content_type,
					       content_type);
			g_bytes_unref(item->body);
			item->body = g_bytes_new(response->body->data,
						 response->body->len);
		}
	}
	wwh_intent_writer_add_result(call->entry->intent_writer, item);
}

/*
 * Answers from what is recorded for the key. WWH_ERROR_NONE without a replayed
 * answer means that the request may run.
 */
static wwh_error_kind_t answer_known_key(call_t *call)
{
	wwh_entry_t *entry = call->entry;
	wwh_error_kind_t kind = WWH_ERROR_NONE;
	wwh_key_view_t view;

	g_mutex_lock(&entry->state_lock);
	switch (wwh_intents_lookup_key(entry->intents, call->service->id,
				       call->key, call->fingerprint, &view)) {
	case WWH_KEY_NONE:
	case WWH_KEY_NOT_RUN:
		break;
	case WWH_KEY_IN_PROGRESS:
		kind = WWH_ERROR_KEY_IN_PROGRESS;
		break;
	case WWH_KEY_ANSWERED:
		kind = replay_answer(call, &view);
		break;
	case WWH_KEY_OTHER_REQUEST:
		kind = WWH_ERROR_KEY_REUSED;
		break;
	case WWH_KEY_EXPIRED:
		kind = WWH_ERROR_KEY_EXPIRED;
		break;
	default:
		kind = WWH_ERROR_KEY_OUTCOME_UNKNOWN;
		break;
	}
	g_mutex_unlock(&entry->state_lock);
	return kind;
}

static wwh_error_kind_t replay_answer(call_t *call, const wwh_key_view_t *view)
{
	gsize size = 0;
	const guint8 *data;

	if (!view->body_kept)
		return WWH_ERROR_KEY_ANSWER_NOT_KEPT;
	step_chart(call, EVENT_REPLAY);
	call->response->status = view->http_status;
	if (view->content_type != NULL && *view->content_type != '\0')
		wwh_headers_add(call->response->headers, "Content-Type",
				view->content_type);
	wwh_headers_add(call->response->headers, HEADER_REPLAYED, "true");
	if (view->body != NULL) {
		data = g_bytes_get_data(view->body, &size);
		g_byte_array_append(call->response->body, data, (guint)size);
	}
	call->replayed = true;
	return WWH_ERROR_NONE;
}

static void answer_caller(call_t *call, wwh_error_kind_t kind)
{
	wwh_entry_t *entry = call->entry;

	wwh_counter_add(entry->answers[kind], 1);
	if (kind == WWH_ERROR_NONE) {
		wwh_headers_add(call->response->headers, WWH_HEADER_RUN,
				wwh_run_class_names[WWH_RUN_RAN]);
		return;
	}
	wwh_http_response_clear(call->response);
	wwh_http_response_init(call->response);
	wwh_listener_set_error(call->response, kind, call->retry_after_ms);
}

static void step_chart(call_t *call, event_t event)
{
	(void)wwh_chart_step(&call->machine, event, wwh_now_ms(), call);
}

static bool method_is_idempotent(const char *method)
{
	static const char *const names[] = { "GET", "HEAD",   "OPTIONS",
					     "PUT", "DELETE", "TRACE" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(names[i], method) == 0)
			return true;
	}
	return false;
}

/* A caller may request a shorter deadline than the service's, not a longer. */
static int64_t request_deadline_ms(const wwh_http_request_t *http,
				   const wwh_service_t *service)
{
	const char *text = wwh_headers_get(http->headers, HEADER_DEADLINE);
	int64_t limit_ms = service->deadline_ms;
	int64_t requested_ms;

	if (text != NULL) {
		requested_ms = g_ascii_strtoll(text, NULL, 10);
		if (requested_ms > 0)
			limit_ms = MIN(limit_ms, requested_ms);
	}
	return wwh_now_ms() + limit_ms;
}

static uint64_t caller_hash(const wwh_http_request_t *http)
{
	const char *text = wwh_headers_get(http->headers, HEADER_CALLER);

	if (text == NULL)
		text = "";
	return XXH3_64bits(text, strlen(text));
}
