#include <string.h>

#include "private/job_service_state.h"
#include "private/request_table.h"
#include "waxwinghollow/metrics.h"
#include "wire_caller.h"

/* For callers that give no deadline, in queues without a time limit. */
#define DEFAULT_TIMEOUT_MS 3000

/* For requests of peers, which enforce their callers' deadlines themselves. */
#define PEER_TIMEOUT_MS 5000

#define DUMP_PATH "/v1/dump"
#define METRICS_PATH "/metrics"
#define METRICS_TYPE "text/plain; version=0.0.4"
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_UNAVAILABLE 503
#define SECOND_MS 1000

/* Which process requests the state of the shard. */
typedef enum {
	SHARD_REQUESTER_ANY = 0,
	SHARD_REQUESTER_ASSIGNED, /* assigned the shard by the group */
	SHARD_REQUESTER_SUCCESSOR, /* and the journal accepts its records */
} shard_requester_t;

static void answer_caller(const job_call_t *call,
			  wwh_http_response_t *response);
static bool refuse_for_nobody(wwh_job_service_t *service,
			      const job_request_t *request,
			      const wwh_http_request_t *http,
			      wwh_http_response_t *response);
static bool parse_shard_target(const char *target,
			       shard_requester_t *requester);
static void answer_shard(wwh_job_service_t *service,
			 shard_requester_t requester,
			 wwh_http_response_t *response);
static bool may_request_handover(const wwh_job_service_t *service,
				 shard_requester_t requester);
static wwh_shard_answer_t
current_shard_answer(const wwh_job_service_t *service);
static void answer_text(wwh_http_response_t *response, int32_t status,
			const char *type, const char *text);
static void answer_job(wwh_job_service_t *service, const job_request_t *request,
		       const wwh_job_answer_t *answer,
		       wwh_http_response_t *response);
static void answer_error(const job_request_t *request,
			 const wwh_job_answer_t *answer,
			 wwh_http_response_t *response);
static job_request_t *read_request(const job_call_t *call,
				   wwh_message_t *message);
static wwh_job_config_t *ref_config(wwh_job_service_t *service);

void job_service_on_caller(const wwh_http_request_t *http,
			   wwh_http_response_t *response, void *client_data)
{
	wwh_job_service_t *service = client_data;
	const char *host = wwh_headers_get(http->headers, "Host");
	wwh_job_config_t *config = ref_config(service);
	job_call_t call = { .service = service, .http = http };
	char *path;

	if (config == NULL) {
		wwh_listener_set_observed_error(
			response, WWH_ERROR_NO_CONFIGURATION,
			job_service_config_wait_ms(service));
		return;
	}
	if ((int64_t)http->body_size > config->max_body_bytes) {
		wwh_listener_set_error(response, WWH_ERROR_BODY_TOO_LARGE, 0);
		wwh_job_config_unref(config);
		return;
	}
	path = wwh_http_target_path(http->target);
	call.config = config;
	call.path = path;
	call.queue = wwh_job_config_find_queue(config, host == NULL ? "" : host,
					       path, &call.subpath);
	if (call.queue == NULL) {
		wwh_event_log_printf(service->log, "no-queue", path,
				     "host=%s config=%" G_GINT64_FORMAT,
				     host == NULL ? "-" : host,
				     config->version);
		wwh_listener_set_error(response, WWH_ERROR_NO_SUCH_SERVICE, 0);
	} else if (job_service_authenticate(&call, response)) {
		answer_caller(&call, response);
	}
	g_free(path);
	wwh_job_config_unref(config);
}

static void answer_caller(const job_call_t *call, wwh_http_response_t *response)
{
	wwh_job_service_t *service = call->service;
	int64_t timeout_ms = call->queue->timeout_ms;
	int64_t received_ms = job_service_now_ms();
	wwh_message_t message = { "" };
	wwh_job_answer_t answer;
	job_request_t *request = read_request(call, &message);

	if (request == NULL) {
		wwh_event_log_printf(service->log, "bad-request", call->path,
				     "method=%s why=%s", call->http->method,
				     message.text);
		wwh_listener_set_error(response, WWH_ERROR_BAD_REQUEST, 0);
		return;
	}
	if (refuse_for_nobody(service, request, call->http, response)) {
		job_request_unref(request);
		return;
	}
	request->timeout_ms = wire_caller_timeout_ms(
		call->http->headers,
		timeout_ms > 0 ? timeout_ms : DEFAULT_TIMEOUT_MS);
	answer = job_service_execute(service, request);
	wwh_histogram_add(service->answer_ms[request->kind],
			  job_service_now_ms() - received_ms);
	answer_job(service, request, &answer, response);
	job_request_unref(request);
}

/*
 * A process that stood still finds submissions in its sockets whose age it can't
 * know. Its caller's end of the connection tells whether anybody still waits.
 */
static bool refuse_for_nobody(wwh_job_service_t *service,
			      const job_request_t *request,
			      const wwh_http_request_t *http,
			      wwh_http_response_t *response)
{
	if (request->kind != JOB_REQUEST_SUBMIT ||
	    !wwh_caller_gone(http->caller_fd))
		return false;
	wwh_event_log_printf(service->log, "not-served", request->id,
			     "kind=%s why=caller-gone from_peer=%d",
			     job_request_kind_names[request->kind],
			     request->from_peer);
	wwh_listener_set_error(response, WWH_ERROR_CALLER_GONE_NOT_RUN, 0);
	return true;
}

bool wwh_job_service_ready(wwh_job_service_t *service)
{
	bool ready;

	g_mutex_lock(&service->lock);
	ready = service->config != NULL && !service->stopping;
	g_mutex_unlock(&service->lock);
	return ready;
}

void job_service_on_readiness(const wwh_http_request_t *http,
			      wwh_http_response_t *response, void *client_data)
{
	bool ready = wwh_job_service_ready(client_data);

	(void)http;
	answer_text(response, ready ? STATUS_OK : STATUS_UNAVAILABLE,
		    "text/plain", ready ? "ready\n" : "not ready\n");
}

void job_service_on_peer(const wwh_http_request_t *http,
			 wwh_http_response_t *response, void *client_data)
{
	wwh_job_service_t *service = client_data;
	job_request_t *request;
	wwh_job_answer_t answer;
	shard_requester_t requester;

	if (service->relay != NULL &&
	    wwh_relay_service_handle(service->relay, http, response))
		return;
	if (parse_shard_target(http->target, &requester)) {
		answer_shard(service, requester, response);
		return;
	}
	if (strcmp(http->target, METRICS_PATH) == 0) {
		GString *text = g_string_new(NULL);

		wwh_metrics_text(service->counters, text);
		answer_text(response, STATUS_OK, METRICS_TYPE, text->str);
		g_string_free(text, TRUE);
		return;
	}
	if (!job_service_parse_peer_request(http, &request)) {
		wwh_event_log_printf(service->log, "bad-peer-request",
				     http->target,
				     "method=%s bytes=%" G_GSIZE_FORMAT,
				     http->method, http->body_size);
		wwh_listener_set_error(response, WWH_ERROR_BAD_REQUEST, 0);
		return;
	}
	if (refuse_for_nobody(service, request, http, response)) {
		job_request_unref(request);
		return;
	}
	request->timeout_ms = PEER_TIMEOUT_MS;
	answer = job_service_execute(service, request);
	job_service_write_peer_answer(&answer, response);
	job_request_unref(request);
}

static bool parse_shard_target(const char *target, shard_requester_t *requester)
{
	static const char *const targets[] = {
		[SHARD_REQUESTER_ANY] = WWH_SHARD_PATH,
		[SHARD_REQUESTER_ASSIGNED] = WWH_SHARD_ASSIGNED_PATH,
		[SHARD_REQUESTER_SUCCESSOR] = WWH_SHARD_SUCCESSOR_PATH,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		if (strcmp(target, targets[i]) != 0)
			continue;
		*requester = (shard_requester_t)i;
		return true;
	}
	return false;
}

/*
 * A process that takes over must distinguish a holder that is cut off from a
 * process without the shard, because the former may still give orders. A
 * stopping holder reports that it doesn't hold the shard, so that it is
 * replaced soon, but not while its orders to hosts are unanswered: the next
 * holder's orders would overtake them and take down one host too many.
 */
static void answer_shard(wwh_job_service_t *service,
			 shard_requester_t requester,
			 wwh_http_response_t *response)
{
	wwh_shard_answer_t answer;

	g_mutex_lock(&service->lock);
	answer = current_shard_answer(service);
	/* the loop hands the shard over; a later request reports that */
	if (answer == WWH_SHARD_YIELDS &&
	    may_request_handover(service, requester))
		service->handover_requested = true;
	g_mutex_unlock(&service->lock);
	answer_text(response, answer, "text/plain", "");
}

/*
 * Call with the lock held. A holder that the store rejects can't tell whether
 * the store rejects all processes. If it does, a hand-over would leave running
 * jobs without a holder; so only a successor whose records the journal accepts
 * may then request one.
 */
static bool may_request_handover(const wwh_job_service_t *service,
				 shard_requester_t requester)
{
	return requester == SHARD_REQUESTER_SUCCESSOR ||
	       (requester == SHARD_REQUESTER_ASSIGNED &&
		!service->rejected_by_store);
}

/* Call with the lock held. */
static wwh_shard_answer_t current_shard_answer(const wwh_job_service_t *service)
{
	if (service->claims_shard && !service->stopping)
		return WWH_SHARD_UNCONFIRMED;
	if (!service->holds_shard && service->handed_over)
		return service->handed_over_early
			       ? WWH_SHARD_HANDED_OVER_ORDERS_PENDING
			       : WWH_SHARD_HANDED_OVER;
	if (!service->holds_shard ||
	    (service->stopping && !service->host_orders_pending))
		return WWH_SHARD_NOT_HELD;
	if (service->yields_shard)
		return WWH_SHARD_YIELDS;
	return service->reaches_store ? WWH_SHARD_HELD : WWH_SHARD_UNCONFIRMED;
}

static void answer_text(wwh_http_response_t *response, int32_t status,
			const char *type, const char *text)
{
	response->status = status;
	wwh_headers_add(response->headers, "Content-Type", type);
	g_byte_array_append(response->body, (const guint8 *)text,
			    (guint)strlen(text));
}

static job_request_t *read_request(const job_call_t *call,
				   wwh_message_t *message)
{
	const wwh_http_request_t *http = call->http;
	const wwh_job_queue_t *rules = &call->queue->rules;
	const char *subpath = call->subpath;
	job_request_t *request = NULL;
	bool has_job_id = wwh_job_id_valid(subpath);

	if (strcmp(http->method, "GET") == 0 && subpath[0] == '\0') {
		request = job_request_new(JOB_REQUEST_PENDING);
	} else if (!has_job_id) {
		wwh_message_set(message, "expected an id of %d hex digits",
				WWH_JOB_ID_CHARS);
		return NULL;
	} else if (strcmp(http->method, "GET") == 0) {
		request = job_request_new(JOB_REQUEST_STATE);
	} else if (strcmp(http->method, "DELETE") == 0) {
		request = job_request_new(JOB_REQUEST_CANCEL);
	} else if (strcmp(http->method, "POST") == 0) {
		wwh_job_t *job = wire_caller_parse_job(
			subpath, rules, http->body, http->body_size, message);

		if (job == NULL)
			return NULL;
		job->accepted_wall_ms = job_service_wall_ms();
		job->workspace = g_strdup(call->workspace);
		request = job_request_new(JOB_REQUEST_SUBMIT);
		request->job = job;
	} else {
		wwh_message_set(message, "unknown method");
		return NULL;
	}
	g_strlcpy(request->id, subpath, sizeof(request->id));
	request->queue = g_strdup(rules->name);
	request->workspace = g_strdup(call->workspace);
	return request;
}

static void answer_job(wwh_job_service_t *service, const job_request_t *request,
		       const wwh_job_answer_t *answer,
		       wwh_http_response_t *response)
{
	char *text;

	if (answer->kind != WWH_JOB_ANSWER_OK) {
		wwh_event_log_printf(service->log, "not-served",
				     request->id[0] == '\0' ? request->queue
							    : request->id,
				     "kind=%s answer=%s why=%s",
				     job_request_kind_names[request->kind],
				     wwh_job_answer_names[answer->kind],
				     answer->why == NULL ? "" : answer->why);
		answer_error(request, answer, response);
		return;
	}
	if (request->kind == JOB_REQUEST_STATE)
		text = wire_caller_state_body(answer->state);
	else if (request->kind == JOB_REQUEST_PENDING)
		text = wire_caller_pending_body(answer->pending);
	else
		text = g_strdup("{}");
	answer_text(response, STATUS_OK, "application/json", text);
	g_free(text);
}

/*
 * A query without an answer has no effect that could be unknown. A submission
 * or cancellation may have been stored, so it must not be reported as refused.
 */
static void answer_error(const job_request_t *request,
			 const wwh_job_answer_t *answer,
			 wwh_http_response_t *response)
{
	wwh_error_kind_t kind = WWH_ERROR_NO_HOLDER;
	bool changes = request->kind == JOB_REQUEST_SUBMIT ||
		       request->kind == JOB_REQUEST_CANCEL;

	if (answer->kind == WWH_JOB_ANSWER_NO_JOB)
		kind = WWH_ERROR_NO_SUCH_JOB;
	else if (answer->kind == WWH_JOB_ANSWER_TOO_LARGE)
		kind = WWH_ERROR_JOB_TOO_LARGE;
	else if (answer->kind == WWH_JOB_ANSWER_UNKNOWN && changes)
		kind = WWH_ERROR_DEADLINE_UNKNOWN;
	wwh_listener_set_error(response, kind,
			       MAX(answer->retry_after_s, 1) * SECOND_MS);
}

/* There is no job yet to spread the retries by, so a random number does. */
int64_t job_service_config_wait_ms(wwh_job_service_t *service)
{
	int64_t wait_ms;
	char id[WWH_JOB_ID_CHARS + 1];

	g_mutex_lock(&service->lock);
	wait_ms = wwh_outage_wait_ms(&service->config_outage,
				     job_service_now_ms());
	g_mutex_unlock(&service->lock);
	g_snprintf(id, sizeof(id), "%x", g_random_int());
	return SECOND_MS * wwh_admission_retry_after_s(wait_ms, id);
}

static wwh_job_config_t *ref_config(wwh_job_service_t *service)
{
	wwh_job_config_t *config = NULL;

	g_mutex_lock(&service->lock);
	if (service->config != NULL)
		config = wwh_job_config_ref(service->config);
	g_mutex_unlock(&service->lock);
	return config;
}
