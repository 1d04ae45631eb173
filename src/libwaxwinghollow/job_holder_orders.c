#include <string.h>

#include "private/job_holder_state.h"
#include "wire_upstream.h"

/*
 * Upstreams answer within milliseconds. One that hasn't answered within this
 * time is polled for its running tasks: a longer timeout would delay the task,
 * a shorter one would poll often.
 */
#define ORDER_TIMEOUT_MS 1000

/*
 * A request for advice takes time for each upstream in it, and may have to wait
 * for earlier requests.
 */
#define ADVICE_TIMEOUT_MS 4000

/* Validity of tickets where the answer doesn't state it. */
#define ADVICE_VALID_MS 2000

typedef struct {
	wwh_job_holder_t *holder;
	char *upstream;
	char task[WWH_TASK_NAME_BYTES]; /* for advice: the step */
	int64_t run;
	int64_t sent_ms;
	wwh_http_call_t *call; /* for advice, until it is sent */
} order_t;

static order_t *order_new(wwh_job_holder_t *holder, const char *upstream,
			  const char *task, int64_t run);
static void order_delete(order_t *order);
static bool holder_has_ended(const order_t *order);
static void on_started(const wwh_http_answer_t *answer, void *data);
static void on_stopped(const wwh_http_answer_t *answer, void *data);
static void on_paced(const wwh_http_answer_t *answer, void *data);
static void report_poll(const order_t *order, const wwh_http_answer_t *answer,
			wwh_order_result_t result, const wire_poll_t *poll);
static void on_polled(const wwh_http_answer_t *answer, void *data);
static void on_advised(const wwh_http_answer_t *answer, void *data);
static void send_advice(wwh_job_holder_t *holder);

void job_holder_start_task(const wwh_start_order_t *order, void *client_data)
{
	wwh_job_holder_t *holder = client_data;
	wwh_http_call_t *call = wire_upstream_start(
		order, holder->options.epoch, ORDER_TIMEOUT_MS);

	/* don't send it after a wait in which the upstream may have left */
	call->send_timeout_ms =
		MAX(holder->starts_allowed_until_ms - holder->now_ms, 1);
	wwh_counter_add(holder->starts, 1);
	holder->started_ms = holder->now_ms;
	job_holder_send(
		holder, call, on_started,
		order_new(holder, order->upstream, order->task, order->run));
}

void job_holder_stop_task(const wwh_stop_order_t *order, void *client_data)
{
	wwh_job_holder_t *holder = client_data;
	wwh_http_call_t *call = wire_upstream_stop(order, holder->options.epoch,
						   ORDER_TIMEOUT_MS);

	wwh_counter_add(holder->stops, 1);
	job_holder_send(
		holder, call, on_stopped,
		order_new(holder, order->upstream, order->task, order->run));
}

void job_holder_poll_upstream(const wwh_poll_order_t *order, void *client_data)
{
	wwh_job_holder_t *holder = client_data;
	wwh_http_call_t *call =
		wire_upstream_poll(order, holder->options.epoch);

	wwh_counter_add(holder->polls, 1);
	job_holder_send(holder, call, on_polled,
			order_new(holder, order->upstream, "", 0));
}

void job_holder_pace_task(const wwh_pace_order_t *order, void *client_data)
{
	wwh_job_holder_t *holder = client_data;
	wwh_http_call_t *call = wire_upstream_pace(order, holder->options.epoch,
						   ORDER_TIMEOUT_MS);

	job_holder_send(
		holder, call, on_paced,
		order_new(holder, order->upstream, order->task, order->run));
}

/* The service takes one call per process and drops concurrent ones. */
void job_holder_request_advice(const wwh_advice_order_t *order,
			       void *client_data)
{
	wwh_job_holder_t *holder = client_data;
	order_t *waiting;

	if (holder->options.settings->advice == NULL) {
		wwh_scheduler_handle_advice(holder->scheduler, order->step,
					    NULL, -1, 0, holder->now_ms);
		return;
	}
	waiting = order_new(holder, "", order->step, 0);
	waiting->call = wire_upstream_advise(
		order, holder->options.settings->advice, ADVICE_TIMEOUT_MS);
	g_queue_push_tail(holder->advice, waiting);
	send_advice(holder);
}

void job_holder_clear_advice(wwh_job_holder_t *holder)
{
	while (!g_queue_is_empty(holder->advice)) {
		order_t *order = g_queue_pop_head(holder->advice);

		wwh_http_call_delete(order->call);
		g_free(order->upstream);
		g_free(order);
	}
}

static order_t *order_new(wwh_job_holder_t *holder, const char *upstream,
			  const char *task, int64_t run)
{
	order_t *order = g_new0(order_t, 1);

	order->holder = holder;
	order->upstream = g_strdup(upstream);
	g_strlcpy(order->task, task, sizeof(order->task));
	order->run = run;
	order->sent_ms = holder->now_ms;
	/* a queued advice request is deleted with the holder: no reference */
	if (upstream[0] != '\0')
		job_holder_ref(holder);
	return order;
}

static void order_delete(order_t *order)
{
	wwh_job_holder_t *holder = order->holder;

	g_free(order->upstream);
	g_free(order);
	job_holder_unref(holder);
}

/* Called first in each callback, as it also updates the clock. */
static bool holder_has_ended(const order_t *order)
{
	job_holder_update_clock(order->holder);
	return order->holder->deleted || order->holder->lost;
}

static void on_started(const wwh_http_answer_t *answer, void *data)
{
	order_t *order = data;
	wwh_order_result_t result = wire_upstream_order_answer(answer);

	if (!holder_has_ended(order)) {
		wwh_histogram_add(order->holder->start_ms,
				  order->holder->now_ms - order->sent_ms);
		wwh_scheduler_handle_start_result(
			order->holder->scheduler, order->upstream, order->task,
			order->run, result, order->holder->now_ms);
		if (result == WWH_ORDER_FENCED)
			job_holder_mark_lost(order->holder, "fenced-at-start");
	}
	order_delete(order);
}

static void on_stopped(const wwh_http_answer_t *answer, void *data)
{
	order_t *order = data;
	wwh_order_result_t result = wire_upstream_order_answer(answer);

	if (!holder_has_ended(order)) {
		wwh_scheduler_handle_stop_result(
			order->holder->scheduler, order->upstream, order->task,
			order->run, result, order->holder->now_ms);
		if (result == WWH_ORDER_FENCED)
			job_holder_mark_lost(order->holder, "fenced-at-stop");
	}
	order_delete(order);
}

static void on_paced(const wwh_http_answer_t *answer, void *data)
{
	order_t *order = data;

	if (!holder_has_ended(order))
		wwh_scheduler_handle_pace_result(
			order->holder->scheduler, order->upstream, order->task,
			order->run, wire_upstream_order_answer(answer),
			order->holder->now_ms);
	order_delete(order);
}

static wwh_reach_t reach_of(const wwh_http_answer_t *answer,
			    wwh_order_result_t result)
{
	if (result == WWH_ORDER_OTHER_INCARNATION)
		return WWH_REACH_OTHER_ANSWERS;
	return answer->outcome == WWH_CALL_REFUSED ? WWH_REACH_REFUSED
						   : WWH_REACH_SILENT;
}

static void report_poll(const order_t *order, const wwh_http_answer_t *answer,
			wwh_order_result_t result, const wire_poll_t *poll)
{
	wwh_bad_records_t *bad = order->holder->bad_polls;

	if (result == WWH_ORDER_DONE && !poll->has_bad_rows)
		wwh_bad_records_mark_readable(bad, order->upstream);
	else if (result == WWH_ORDER_DONE)
		wwh_bad_records_mark_unreadable(bad, order->upstream,
						"a row of its answer");
	else if (answer->outcome == WWH_CALL_ANSWERED && answer->status == 200)
		wwh_bad_records_mark_unreadable(bad, order->upstream,
						"its answer as a whole");
}

static void on_polled(const wwh_http_answer_t *answer, void *data)
{
	order_t *order = data;
	wwh_job_holder_t *holder = order->holder;
	wire_poll_t poll;
	wwh_order_result_t result;

	if (holder_has_ended(order)) {
		order_delete(order);
		return;
	}
	result = wire_upstream_poll_answer(answer, &poll);
	report_poll(order, answer, result, &poll);
	switch (result) {
	case WWH_ORDER_DONE:
		wwh_scheduler_handle_poll_answer(
			holder->scheduler, order->upstream, &poll.rows,
			order->sent_ms, holder->now_ms);
		break;
	case WWH_ORDER_FENCED:
		job_holder_mark_lost(holder, "fenced-at-poll");
		break;
	default:
		wwh_scheduler_handle_poll_failure(
			holder->scheduler, order->upstream,
			reach_of(answer, result), holder->now_ms);
		break;
	}
	wire_upstream_poll_clear(&poll);
	order_delete(order);
}

static void on_advised(const wwh_http_answer_t *answer, void *data)
{
	order_t *order = data;
	wwh_job_holder_t *holder = order->holder;
	wire_advice_t advice;

	holder->advice_in_flight = false;
	if (holder_has_ended(order)) {
		order_delete(order);
		return;
	}
	if (wire_upstream_advise_answer(answer, &advice)) {
		wwh_scheduler_handle_advice(
			holder->scheduler, order->task,
			(wwh_advice_ticket_t *)(void *)advice.admitted->data,
			(int32_t)advice.admitted->len,
			advice.valid_ms > 0 ? advice.valid_ms : ADVICE_VALID_MS,
			holder->now_ms);
		wire_upstream_advice_clear(&advice);
	} else {
		wwh_scheduler_handle_advice(holder->scheduler, order->task,
					    NULL, -1, 0, holder->now_ms);
	}
	send_advice(holder);
	order_delete(order);
}

static void send_advice(wwh_job_holder_t *holder)
{
	wwh_http_call_t *call;
	order_t *order;

	if (holder->advice_in_flight || g_queue_is_empty(holder->advice))
		return;
	order = g_queue_pop_head(holder->advice);
	call = order->call;
	order->call = NULL;
	job_holder_ref(holder);
	holder->advice_in_flight = true;
	wwh_http_calls_send(holder->options.calls, call, on_advised, order);
}
