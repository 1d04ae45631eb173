#include <string.h>

#include "private/job_service_state.h"

/*
 * A holder that the store rejects is replaced within this time. A submission that
 * comes in the meantime is tried again by its process: told to come back, its caller
 * would do so after a second at the least.
 */
#define HOLDER_CHANGE_MS 1000
#define RETRY_INTERVAL_MS 100

/* A caller with less patience is answered at once. */
#define MIN_TIMEOUT_MS 1200

typedef struct {
	job_request_t *request;
	int64_t retry_ms;
} delayed_t;

static void answer_refused(wwh_job_service_t *service, job_request_t *request);

/*
 * Only at the beginning of an outage a change of holder is likely; later the wait
 * would only delay the refusal.
 */
bool job_service_retry_soon(wwh_job_service_t *service, job_request_t *request)
{
	int64_t now_ms = job_service_now_ms();
	delayed_t *delayed;

	wwh_outage_update(&service->holder_outage, true, now_ms);
	if (request->kind != JOB_REQUEST_SUBMIT || request->from_peer ||
	    request->timeout_ms < MIN_TIMEOUT_MS || service->requests_closed ||
	    now_ms - service->holder_outage.since_ms >= HOLDER_CHANGE_MS)
		return false;
	delayed = g_new0(delayed_t, 1);
	delayed->request = request;
	delayed->retry_ms = now_ms + RETRY_INTERVAL_MS;
	g_queue_push_tail(&service->delayed, delayed);
	return true;
}

void job_service_run_retries(wwh_job_service_t *service, int64_t now_ms)
{
	/* those that fail again are queued behind the present ones */
	for (guint left = g_queue_get_length(&service->delayed); left > 0;
	     left--) {
		delayed_t *delayed = g_queue_peek_head(&service->delayed);
		job_request_t *request = delayed->request;

		if (delayed->retry_ms > now_ms)
			return;
		g_queue_pop_head(&service->delayed);
		g_free(delayed);
		job_service_handle_request(service, request);
	}
}

void job_service_abort_retries(wwh_job_service_t *service)
{
	while (!g_queue_is_empty(&service->delayed)) {
		delayed_t *delayed = g_queue_pop_head(&service->delayed);

		answer_refused(service, delayed->request);
		g_free(delayed);
	}
}

static void answer_refused(wwh_job_service_t *service, job_request_t *request)
{
	wwh_job_answer_t answer = {
		.kind = WWH_JOB_ANSWER_NOT_DONE,
		.why = "shutting-down",
		.retry_after_s = wwh_admission_retry_after_s(
			service->holder_outage.usual_ms, request->id),
	};

	job_request_answer(&answer, request);
}
