#include <string.h>

#include "private/job_service_state.h"

/* Part of a caller's timeout reserved for sending the answer. */
#define ANSWER_TRANSIT_MS 60

/*
 * The least time in which a submission can be forwarded, stored and answered. One
 * whose caller waits no longer would be accepted, perhaps, for a caller that has left.
 */
#define MIN_SUBMIT_MS 30

const char *const job_request_kind_names[JOB_REQUEST_KIND_COUNT] = {
	"submit",
	"state",
	"cancel",
	"pending",
};

job_request_t *job_request_new(job_request_kind_t kind)
{
	job_request_t *request = g_new0(job_request_t, 1);

	request->references = 1;
	request->kind = kind;
	g_mutex_init(&request->lock);
	g_cond_init(&request->changed);
	return request;
}

void job_request_unref(job_request_t *request)
{
	if (!g_atomic_int_dec_and_test(&request->references))
		return;
	wwh_job_delete(request->job);
	g_free(request->queue);
	g_free(request->workspace);
	g_mutex_clear(&request->lock);
	g_cond_clear(&request->changed);
	g_free(request);
}

wwh_job_answer_t job_service_execute(wwh_job_service_t *service,
				     job_request_t *request)
{
	int64_t wait_ms = MAX(request->timeout_ms - ANSWER_TRANSIT_MS, 1);
	int64_t end_us =
		g_get_monotonic_time() + wait_ms * G_TIME_SPAN_MILLISECOND;
	wwh_job_answer_t answer = {
		.kind = WWH_JOB_ANSWER_UNKNOWN,
		.why = "deadline",
	};
	wwh_job_answer_t shutting_down = {
		.kind = WWH_JOB_ANSWER_NOT_DONE,
		.why = "shutting-down",
	};
	wwh_job_answer_t too_short = {
		.kind = WWH_JOB_ANSWER_NOT_DONE,
		.why = "deadline-too-short",
		.retry_after_s = wwh_admission_retry_after_s(0, request->id),
	};

	if (request->kind == JOB_REQUEST_SUBMIT && !request->from_peer &&
	    request->timeout_ms < ANSWER_TRANSIT_MS + MIN_SUBMIT_MS)
		return too_short;
	g_atomic_int_inc(&request->references);
	g_mutex_lock(&service->lock);
	if (service->requests_closed) {
		shutting_down.retry_after_s = wwh_admission_retry_after_s(
			service->takeover_ms, request->id);
		g_mutex_unlock(&service->lock);
		job_request_unref(request);
		return shutting_down;
	}
	g_async_queue_push(service->requests, request);
	g_mutex_unlock(&service->lock);
	wwh_http_calls_wake(service->calls);
	g_mutex_lock(&request->lock);
	while (!request->answered) {
		if (!g_cond_wait_until(&request->changed, &request->lock,
				       end_us))
			break;
	}
	if (request->answered)
		answer = request->answer;
	g_mutex_unlock(&request->lock);
	return answer;
}

void job_service_handle_requests(wwh_job_service_t *service)
{
	job_request_t *request;

	while ((request = g_async_queue_try_pop(service->requests)) != NULL) {
		service->requests_handled++;
		job_service_handle_request(service, request);
	}
}

/*
 * Requests that were never begun are refused, and their callers told to retry
 * when the next holder has usually taken over.
 *
 * The listeners' threads wait for answers until the callers' deadlines. Without
 * this, a stopping process that waits for those threads would exceed its grace
 * period and be killed with answers half written.
 */
void job_service_abort_requests(wwh_job_service_t *service)
{
	wwh_job_answer_t not_done = {
		.kind = WWH_JOB_ANSWER_NOT_DONE,
		.why = "shutting-down",
	};
	wwh_job_answer_t unknown = {
		.kind = WWH_JOB_ANSWER_UNKNOWN,
		.why = "shutting-down",
	};
	GHashTableIter iterator;
	job_request_t *request;
	gpointer forward;

	g_mutex_lock(&service->lock);
	service->requests_closed = true;
	service->takeover_ms = service->holder_outage.usual_ms;
	g_mutex_unlock(&service->lock);
	while ((request = g_async_queue_try_pop(service->requests)) != NULL) {
		not_done.retry_after_s = wwh_admission_retry_after_s(
			service->holder_outage.usual_ms, request->id);
		job_request_answer(&not_done, request);
	}
	job_service_abort_retries(service);
	g_hash_table_iter_init(&iterator, service->forwards);
	while (g_hash_table_iter_next(&iterator, &forward, NULL)) {
		/* the holder's answer may still arrive and is then ignored */
		request = g_steal_pointer(&((job_forward_t *)forward)->request);
		if (request != NULL)
			job_request_answer(&unknown, request);
	}
	/* answers requests that wait for a record as unknown */
	wwh_job_holder_delete(service->holder);
	service->holder = NULL;
}

/* Also releases the loop's reference. */
void job_request_answer(const wwh_job_answer_t *answer, void *data)
{
	job_request_t *request = data;

	g_mutex_lock(&request->lock);
	request->answer = *answer;
	request->answered = true;
	g_cond_signal(&request->changed);
	g_mutex_unlock(&request->lock);
	job_request_unref(request);
}

void job_service_handle_request(wwh_job_service_t *service,
				job_request_t *request)
{
	wwh_job_holder_t *holder = service->holder;
	static const wwh_job_answer_t hidden = {
		.kind = WWH_JOB_ANSWER_NO_JOB,
		.why = "another-workspace",
	};

	if (holder == NULL) {
		job_service_forward(service, request);
		return;
	}
	if (wwh_job_holder_owned_by_other(holder, request->id,
					  request->workspace)) {
		job_request_answer(&hidden, request);
		return;
	}
	switch (request->kind) {
	case JOB_REQUEST_SUBMIT:
		wwh_job_holder_submit(holder, g_steal_pointer(&request->job),
				      job_request_answer, request);
		break;
	case JOB_REQUEST_STATE:
		wwh_job_holder_query_state(holder, request->id,
					   job_request_answer, request);
		break;
	case JOB_REQUEST_CANCEL:
		wwh_job_holder_cancel(holder, request->id, request->workspace,
				      job_request_answer, request);
		break;
	default:
		wwh_job_holder_query_pending(holder, request->queue,
					     job_request_answer, request);
		break;
	}
}
