#include "soak.h"

#include <event2/keyvalq_struct.h>
#include <string.h>

#define CONNECTIONS_PER_PROCESS 4
#define CALL_TIMEOUT_S 4
#define ATTEMPTS_MAX 5
#define RETRY_MS 700
#define STATE_INTERVAL_MS 1500
/* Of a GET for a job after its acceptance. */
#define VISIBLE_MS 3000

typedef struct {
	soak_job_t *job;
	enum evhttp_cmd_type method;
} call_t;

static bool submitting = true;

static void submit(void *data);
static void request_state(void *data);
static void cancel(void *data);

/* Connections stay open until the process is gone. */
static struct evhttp_connection *connection_to(soak_process_t *process)
{
	guint at = g_rand_int(soak.rand) % CONNECTIONS_PER_PROCESS;
	struct timeval limit = { CALL_TIMEOUT_S, 0 };

	while (process->connections->len < CONNECTIONS_PER_PROCESS) {
		struct evhttp_connection *connection =
			evhttp_connection_base_new(soak.base, NULL,
						   SOAK_LOOPBACK,
						   (uint16_t)process->ports[0]);

		evhttp_connection_set_timeout_tv(connection, &limit);
		g_ptr_array_add(process->connections, connection);
	}
	return g_ptr_array_index(process->connections, at);
}

static void handle_submitted(soak_job_t *job, int32_t status)
{
	soak_record("client: job %s -> %d", job->id, status);
	/* planted: the client counts an accepted job as rejected */
	if (soak.options.plant == SOAK_PLANT_REJECTION && status == 200) {
		job->given_up = true;
		return;
	}
	if (status >= 200 && status < 300) {
		job->accepted = true;
		job->accepted_ms = soak_now_ms();
		soak_after(STATE_INTERVAL_MS, request_state, job);
		if (job->cancels_after_ms > 0)
			soak_after(job->cancels_after_ms, cancel, job);
		return;
	}
	if (status != 429 && status != 503)
		job->unanswered = true;
	if (job->attempts < ATTEMPTS_MAX)
		soak_after(RETRY_MS, submit, job);
	else
		job->given_up = true;
}

static void handle_cancelled(soak_job_t *job, int32_t status)
{
	soak_record("client: cancel of job %s -> %d", job->id, status);
	if ((status >= 200 && status < 300) || status == 410)
		job->cancel_acked_ms = soak_now_ms();
	else
		soak_after(RETRY_MS, cancel, job);
}

static void handle_state(soak_job_t *job, int32_t status, const char *body)
{
	if (status == 200 && strstr(body, "\"completed\"") != NULL) {
		soak_record("client: job %s is completed", job->id);
		job->completed = true;
		soak_check_completed(job->id);
		return;
	}
	if (job->cancel_sent)
		return;
	if (status == 200 && (strstr(body, "\"failed\"") != NULL ||
			      strstr(body, "\"canceled\"") != NULL)) {
		job->failed = true;
		soak_check_failed(job->id);
		return;
	}
	if (status == 410 && soak_now_ms() - job->accepted_ms > VISIBLE_MS)
		soak_break("LOST", "job %s is answered 410", job->id);
	soak_after(STATE_INTERVAL_MS, request_state, job);
}

static void on_answered(struct evhttp_request *request, void *data)
{
	call_t *call = data;
	struct evbuffer *input;
	int32_t status = 0;
	char *body = NULL;

	if (request != NULL) {
		input = evhttp_request_get_input_buffer(request);
		status = evhttp_request_get_response_code(request);
		body = g_strndup((const char *)evbuffer_pullup(input, -1),
				 evbuffer_get_length(input));
	}
	if (call->method == EVHTTP_REQ_POST)
		handle_submitted(call->job, status);
	else if (call->method == EVHTTP_REQ_DELETE)
		handle_cancelled(call->job, status);
	else
		handle_state(call->job, status, body == NULL ? "" : body);
	g_free(body);
	g_free(call);
}

/* Chosen like a balancer's back end: any process that was started. */
static soak_process_t *choose_process(void)
{
	gint32 first = g_rand_int_range(soak.rand, 0, soak.options.processes);

	for (int32_t i = 0; i < soak.options.processes; i++) {
		soak_process_t *process =
			&soak.processes[(first + i) % soak.options.processes];

		if (process->pid != 0)
			return process;
	}
	return &soak.processes[first];
}

static void call_process(soak_job_t *job, enum evhttp_cmd_type method)
{
	call_t *call = g_new0(call_t, 1);
	struct evhttp_request *request;
	struct evkeyvalq *headers;
	char *path =
		g_strdup_printf("/%s/%s", soak_pool_names[job->pool], job->id);

	call->job = job;
	call->method = method;
	request = evhttp_request_new(on_answered, call);
	headers = evhttp_request_get_output_headers(request);
	evhttp_add_header(headers, "Host", SOAK_HOST);
	evhttp_add_header(headers, "Waxwinghollow-Deadline-Ms", "3000");
	if (method == EVHTTP_REQ_POST) {
		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(request),
			     job->body, strlen(job->body));
	}
	evhttp_make_request(connection_to(choose_process()), request, method,
			    path);
	g_free(path);
}

static void submit(void *data)
{
	soak_job_t *job = data;

	job->attempts++;
	call_process(job, EVHTTP_REQ_POST);
}

static void request_state(void *data)
{
	call_process(data, EVHTTP_REQ_GET);
}

static void cancel(void *data)
{
	soak_job_t *job = data;

	/* planted: it counts as acknowledged, and was never sent */
	if (soak.options.plant == SOAK_PLANT_LOST_CANCEL) {
		job->cancel_acked_ms = job->accepted_ms - SOAK_CANCEL_MS;
		return;
	}
	job->cancel_sent = true;
	call_process(job, EVHTTP_REQ_DELETE);
}

static void submit_new(void *data)
{
	(void)data;
	if (submitting)
		submit(soak_job_new());
}

void soak_clients_start(void)
{
	soak_every(MAX(1000 / soak.options.jobs_per_s, 1), submit_new, NULL);
}

void soak_clients_stop_submitting(void)
{
	submitting = false;
}
