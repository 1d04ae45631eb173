#include <string.h>

#include "private/job_service_state.h"

/*
 * Protocol between processes: jobs are sent as MessagePack, and answers as a
 * line of text "KIND STATE PENDING RETRY_AFTER_S WHY". KIND and STATE are the
 * numeric values of their enums.
 */
#define JOBS_PATH "/v1/shard/jobs"
#define PENDING_PATH "/v1/shard/pending/"
#define WORKSPACE "workspace"

#define ANSWER_FIELDS 5
#define STATUS_OK 200

static wwh_http_call_t *make_call(const wwh_job_service_t *service,
				  const job_request_t *request);
static char *job_path(const job_request_t *request);
static void on_forwarded(const wwh_http_answer_t *answer, void *data);
static bool is_handed_over(const wwh_job_answer_t *answer);
static int64_t refused_retry_s(wwh_job_service_t *service,
			       const job_request_t *request);
static bool read_answer(const wwh_http_answer_t *http,
			wwh_job_answer_t *answer);

void job_service_forward(wwh_job_service_t *service, job_request_t *request)
{
	wwh_job_answer_t answer = {
		.kind = WWH_JOB_ANSWER_NOT_DONE,
		.why = "no-holder",
	};
	job_forward_t *forward;

	if (request->from_peer || service->holder_address == NULL ||
	    strcmp(service->holder_address, service->own_address) == 0) {
		if (service->claim != NULL)
			wwh_shard_claim_refresh(service->claim);
		if (job_service_retry_soon(service, request))
			return;
		answer.retry_after_s = refused_retry_s(service, request);
		job_request_answer(&answer, request);
		return;
	}
	forward = g_new0(job_forward_t, 1);
	forward->service = service;
	forward->request = request;
	g_hash_table_add(service->forwards, forward);
	wwh_http_calls_send(service->calls, make_call(service, request),
			    on_forwarded, forward);
}

bool job_service_parse_peer_request(const wwh_http_request_t *http,
				    job_request_t **request)
{
	char *path = wwh_http_target_path(http->target);
	wwh_message_t message;

	*request = NULL;
	if (strcmp(http->method, "POST") == 0 && strcmp(path, JOBS_PATH) == 0) {
		wwh_job_t *job =
			wwh_job_decode(http->body, http->body_size, &message);

		if (job != NULL) {
			*request = job_request_new(JOB_REQUEST_SUBMIT);
			(*request)->job = job;
			(*request)->workspace = g_strdup(job->workspace);
			g_strlcpy((*request)->id, job->id,
				  sizeof((*request)->id));
		}
	} else if (g_str_has_prefix(path, JOBS_PATH "/") &&
		   wwh_job_id_valid(path + strlen(JOBS_PATH) + 1)) {
		*request = job_request_new(strcmp(http->method, "DELETE") == 0
						   ? JOB_REQUEST_CANCEL
						   : JOB_REQUEST_STATE);
		g_strlcpy((*request)->id, path + strlen(JOBS_PATH) + 1,
			  sizeof((*request)->id));
		(*request)->workspace =
			wwh_http_query_value(http->target, WORKSPACE);
	} else if (g_str_has_prefix(path, PENDING_PATH)) {
		*request = job_request_new(JOB_REQUEST_PENDING);
		(*request)->queue = g_uri_unescape_string(
			path + strlen(PENDING_PATH), NULL);
	}
	g_free(path);
	if (*request != NULL)
		(*request)->from_peer = true;
	return *request != NULL;
}

void job_service_write_peer_answer(const wwh_job_answer_t *answer,
				   wwh_http_response_t *response)
{
	char *text = g_strdup_printf("%d %d %d %" G_GINT64_FORMAT " %s",
				     answer->kind, answer->state,
				     answer->pending, answer->retry_after_s,
				     answer->why == NULL ? "" : answer->why);

	response->status = STATUS_OK;
	g_byte_array_append(response->body, (guint8 *)text,
			    (guint)strlen(text));
	g_free(text);
}

static wwh_http_call_t *make_call(const wwh_job_service_t *service,
				  const job_request_t *request)
{
	static const char *const methods[JOB_REQUEST_KIND_COUNT] = {
		"POST",
		"GET",
		"DELETE",
		"GET",
	};
	wwh_http_call_t *call =
		wwh_http_call_new(methods[request->kind],
				  service->holder_address, request->timeout_ms);
	GBytes *job;
	gsize size;

	switch (request->kind) {
	case JOB_REQUEST_SUBMIT:
		job = wwh_job_encode(request->job);
		size = g_bytes_get_size(job);
		call->path = g_strdup(JOBS_PATH);
		call->content_type = "application/msgpack";
		call->body = g_byte_array_append(g_byte_array_new(),
						 g_bytes_get_data(job, NULL),
						 (guint)size);
		g_bytes_unref(job);
		break;
	case JOB_REQUEST_PENDING:
		call->path = g_strconcat(PENDING_PATH, request->queue, NULL);
		break;
	default:
		call->path = job_path(request);
		break;
	}
	return call;
}

static char *job_path(const job_request_t *request)
{
	char *workspace;
	char *path;

	if (request->workspace == NULL)
		return g_strconcat(JOBS_PATH "/", request->id, NULL);
	workspace = g_uri_escape_string(request->workspace, NULL, FALSE);
	path = g_strconcat(JOBS_PATH "/", request->id, "?" WORKSPACE "=",
			   workspace, NULL);
	g_free(workspace);
	return path;
}

static void on_forwarded(const wwh_http_answer_t *http, void *data)
{
	job_forward_t *forward = data;
	wwh_job_answer_t answer = { .why = "holder-unreachable" };

	if (http->outcome == WWH_CALL_ANSWERED) {
		if (!read_answer(http, &answer)) {
			answer.kind = WWH_JOB_ANSWER_UNKNOWN;
			answer.why = "holder-answer-malformed";
		}
		if (!is_handed_over(&answer))
			wwh_outage_update(&forward->service->holder_outage,
					  false, job_service_now_ms());
	} else if (http->outcome == WWH_CALL_NO_ANSWER) {
		answer.kind = WWH_JOB_ANSWER_UNKNOWN;
	} else {
		answer.kind = WWH_JOB_ANSWER_NOT_DONE;
	}
	if (forward->service->claim != NULL &&
	    (http->outcome != WWH_CALL_ANSWERED ||
	     answer.kind == WWH_JOB_ANSWER_NOT_DONE))
		wwh_shard_claim_refresh(forward->service->claim);
	if (forward->request != NULL && is_handed_over(&answer) &&
	    job_service_retry_soon(forward->service, forward->request)) {
		g_hash_table_remove(forward->service->forwards, forward);
		return;
	}
	if (forward->request != NULL && http->outcome != WWH_CALL_ANSWERED)
		answer.retry_after_s =
			refused_retry_s(forward->service, forward->request);
	if (forward->request != NULL)
		job_request_answer(&answer, forward->request);
	g_hash_table_remove(forward->service->forwards, forward);
}

/*
 * Whether the request certainly had no effect because the shard is handed over. A
 * holder that can't be reached is replaced only after a second and more.
 */
static bool is_handed_over(const wwh_job_answer_t *answer)
{
	static const char *const reasons[] = { "no-holder",
					       WWH_JOB_WHY_HANDING_OVER, NULL };

	return answer->kind == WWH_JOB_ANSWER_NOT_DONE &&
	       g_strv_contains(reasons, answer->why);
}

/*
 * The Retry-After while no holder can be reached: how long that has lasted, or
 * usually lasts.
 */
static int64_t refused_retry_s(wwh_job_service_t *service,
			       const job_request_t *request)
{
	int64_t now_ms = job_service_now_ms();

	wwh_outage_update(&service->holder_outage, true, now_ms);
	return wwh_admission_retry_after_s(
		wwh_outage_wait_ms(&service->holder_outage, now_ms),
		request->id);
}

static bool read_answer(const wwh_http_answer_t *http, wwh_job_answer_t *answer)
{
	char *text;
	char **fields;
	bool ok;

	if (http->status != STATUS_OK || http->body_size == 0)
		return false;
	text = g_strndup((const char *)http->body, http->body_size);
	fields = g_strsplit(text, " ", -1);
	ok = g_strv_length(fields) >= ANSWER_FIELDS;
	if (ok) {
		int64_t kind = g_ascii_strtoll(fields[0], NULL, 10);
		int64_t state = g_ascii_strtoll(fields[1], NULL, 10);

		ok = kind >= 0 && kind < WWH_JOB_ANSWER_COUNT && state >= 0 &&
		     state < WWH_PROGRESS_COUNT;
		answer->kind = (wwh_job_answer_kind_t)kind;
		answer->state = (wwh_job_progress_t)state;
		answer->pending = (int32_t)g_ascii_strtoll(fields[2], NULL, 10);
		answer->retry_after_s = g_ascii_strtoll(fields[3], NULL, 10);
		/* interned texts are never freed, but there are only a few */
		answer->why = g_intern_string(fields[4]);
	}
	g_strfreev(fields);
	g_free(text);
	return ok;
}
