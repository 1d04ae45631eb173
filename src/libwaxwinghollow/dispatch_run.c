#include <assert.h>
#include <stdio.h>

#include "private/dispatch_state.h"

#define ROUTED_MAX 256 /* minions of a service that one choice looks at */
#define TIMEOUT_RUNS 8 /* usual p90 run times an attempt may take */
#define TIMEOUT_CALLER_RUNS 4 /* mean run times of that caller */
#define RAMP_STEP_MS 100
#define PROBE_ANY_MS 2000
#define REFUSAL_MAX_MS 1000
#define HAD_TIME_RUNS 3 /* p90 run times: 0.1% of exponential ones */

static wwh_minion_record_t *choose(wwh_dispatch_t *dispatch, int64_t now_ms,
				   const wwh_service_state_t *service,
				   const wwh_request_record_t *request);
static bool has_room(wwh_minion_record_t *minion, int64_t now_ms);
static bool may_probe(const wwh_request_record_t *request,
		      const wwh_minion_record_t *minion, int64_t now_ms);
static double ramp_of(const wwh_minion_record_t *minion, int64_t now_ms);
static bool was_tried(const wwh_request_record_t *request,
		      const wwh_minion_record_t *minion);
static void start(wwh_dispatch_t *dispatch, int64_t now_ms,
		  wwh_request_record_t *request, wwh_minion_record_t *minion);
static int32_t attempt_timeout_ms(const wwh_dispatch_t *dispatch,
				  int64_t now_ms,
				  const wwh_request_record_t *request);
static void arm_wake(wwh_dispatch_t *dispatch, int64_t now_ms,
		     wwh_service_state_t *service);
static int64_t wake_of(const wwh_minion_record_t *minion, int64_t now_ms);
static void account(wwh_dispatch_t *dispatch, int64_t now_ms,
		    wwh_request_record_t *request,
		    const wwh_dispatch_result_t *result);
static void judge(wwh_minion_record_t *minion, int64_t now_ms);
static wwh_health_signal_t sign_of(wwh_outcome_t outcome, bool had_time);
static int32_t refusal_pause_ms(const wwh_minion_record_t *minion,
				const wwh_dispatch_result_t *result);
static bool learn_bearing(wwh_minion_record_t *minion, int64_t now_ms,
			  wwh_outcome_t outcome);
static bool other_usable(const wwh_request_record_t *request,
			 const wwh_minion_record_t *failed, int64_t now_ms);
static void back_off(wwh_dispatch_t *dispatch, int64_t now_ms,
		     wwh_request_record_t *request, int32_t delay_ms);
static void stop_waiting(wwh_dispatch_t *dispatch, int64_t now_ms,
			 wwh_request_record_t *request, bool starts);

void wwh_dispatch_start_waiting(wwh_dispatch_t *dispatch, int64_t now_ms,
				wwh_service_state_t *service)
{
	wwh_waiting_t *waiting = wwh_admission_peek(service->admission);

	while (waiting != NULL) {
		wwh_request_record_t *request = waiting->owner;
		wwh_minion_record_t *minion =
			choose(dispatch, now_ms, service, request);

		if (minion == NULL)
			break;
		stop_waiting(dispatch, now_ms, request, true);
		start(dispatch, now_ms, request, minion);
		waiting = wwh_admission_peek(service->admission);
	}
	arm_wake(dispatch, now_ms, service);
}

void wwh_dispatch_start_all_waiting(wwh_dispatch_t *dispatch, int64_t now_ms)
{
	for (guint i = 0; i < dispatch->service_list->len; i++)
		wwh_dispatch_start_waiting(
			dispatch, now_ms,
			g_ptr_array_index(dispatch->service_list, i));
}

bool wwh_dispatch_can_start(wwh_dispatch_t *dispatch, int64_t now_ms,
			    const wwh_service_state_t *service)
{
	if (!dispatch->has_share || now_ms >= dispatch->share.lease_until_ms)
		return false;
	for (guint i = 0; i < service->minions->len; i++) {
		if (has_room(g_ptr_array_index(service->minions, i), now_ms))
			return true;
	}
	return false;
}

void wwh_dispatch_enqueue(wwh_dispatch_t *dispatch, int64_t now_ms,
			  wwh_request_record_t *request)
{
	wwh_admission_t *admission = request->service->admission;
	int64_t remaining_ms = request->waiting.deadline_ms - now_ms;
	int64_t need_ms = wwh_admission_median_ms(admission);

	request->state = WWH_REQUEST_WAITING;
	request->waiting.latest_start_ms =
		request->waiting.deadline_ms - MIN(need_ms, remaining_ms / 2);
	wwh_admission_requeue(admission, now_ms, &request->waiting);
	dispatch->waiting++;
	dispatch->waiting_bytes += request->waiting.bytes;
	wwh_dispatch_set_timer(dispatch, &dispatch->timers, &request->timer,
			       request->waiting.latest_start_ms);
}

void wwh_dispatch_attempt_ended(wwh_dispatch_t *dispatch, int64_t now_ms,
				wwh_request_record_t *request,
				const wwh_dispatch_result_t *result)
{
	wwh_service_state_t *service = request->service;
	wwh_minion_record_t *minion = request->minion;
	wwh_retry_attempt_t attempt = { 0 };
	wwh_retry_decision_t decision;

	account(dispatch, now_ms, request, result);
	if (request->state == WWH_REQUEST_ENDED_RUNNING) {
		wwh_dispatch_remove_request(dispatch, request);
		return;
	}
	attempt.outcome = result->outcome;
	attempt.idempotent = request->idempotent;
	attempt.answer_begun = result->answer_begun;
	attempt.may_have_run = request->may_have_run;
	attempt.other_minion = other_usable(request, minion, now_ms);
	attempt.attempts = request->attempts;
	attempt.attempts_max = dispatch->options.attempts_max;
	attempt.remaining_ms = request->waiting.deadline_ms - now_ms;
	attempt.usual_run_ms = wwh_admission_median_ms(service->admission);
	attempt.retry_after_ms = result->retry_after_ms;
	decision = wwh_retry_decide(&service->budget, &attempt,
				    dispatch->options.random);
	request->may_have_run = decision.may_have_run;
	request->retry_after_ms = result->retry_after_ms;
	if (decision.should_retry && !dispatch->closed && service->configured) {
		service->retries++;
		back_off(dispatch, now_ms, request, decision.delay_ms);
		return;
	}
	wwh_dispatch_end(dispatch, now_ms, request, decision.kind,
			 wwh_dispatch_retry_after(dispatch, now_ms, service,
						  request->waiting.urgent,
						  decision.kind));
}

void wwh_dispatch_end(wwh_dispatch_t *dispatch, int64_t now_ms,
		      wwh_request_record_t *request, wwh_error_kind_t kind,
		      int32_t retry_after_ms)
{
	if (retry_after_ms > 0)
		retry_after_ms = MAX(retry_after_ms, request->retry_after_ms);
	request->service->ended[kind]++;
	if (request->team != NULL)
		request->team->active--;
	wwh_dispatch_emit_end(dispatch, request->id, kind, retry_after_ms);
	if (request->state == WWH_REQUEST_WAITING)
		stop_waiting(dispatch, now_ms, request, false);
	if (request->minion != NULL) {
		request->state = WWH_REQUEST_ENDED_RUNNING;
		return;
	}
	wwh_dispatch_remove_request(dispatch, request);
}

void wwh_dispatch_emit_end(wwh_dispatch_t *dispatch, uint64_t request,
			   wwh_error_kind_t kind, int32_t retry_after_ms)
{
	wwh_decision_t decision = { .type = WWH_DECISION_END };

	decision.request = request;
	decision.kind = kind;
	decision.retry_after_ms = retry_after_ms;
	g_array_append_val(dispatch->decisions, decision);
}

void wwh_dispatch_remove_request(wwh_dispatch_t *dispatch,
				 wwh_request_record_t *request)
{
	wwh_dispatch_clear_timer(&dispatch->timers, &request->timer);
	request->service->active--;
	g_hash_table_remove(dispatch->requests, &request->id);
}

void wwh_dispatch_free_request(gpointer data)
{
	g_free(data);
}

int32_t wwh_dispatch_retry_after(wwh_dispatch_t *dispatch, int64_t now_ms,
				 wwh_service_state_t *service, bool urgent,
				 wwh_error_kind_t kind)
{
	const wwh_answer_t *answer = wwh_answer_for(kind);

	(void)dispatch;
	if (answer->retry_rule == WWH_RETRY_MEASURED)
		return wwh_admission_retry_after_ms(
			service->admission, now_ms, urgent,
			1000 * answer->retry_after_s);
	return 1000 * answer->retry_after_s;
}

void wwh_dispatch_set_timer(wwh_dispatch_t *dispatch, wwh_heap_t *timers,
			    wwh_heap_node_t *node, int64_t at_ms)
{
	wwh_dispatch_clear_timer(timers, node);
	node->key = (double)at_ms;
	node->tie_breaker = ++dispatch->last_number;
	wwh_heap_insert(timers, node);
}

void wwh_dispatch_clear_timer(wwh_heap_t *timers, wwh_heap_node_t *node)
{
	if (node->position != 0)
		wwh_heap_remove(timers, node);
}

static wwh_minion_record_t *choose(wwh_dispatch_t *dispatch, int64_t now_ms,
				   const wwh_service_state_t *service,
				   const wwh_request_record_t *request)
{
	wwh_router_minion_t routed[ROUTED_MAX];
	int32_t count = MIN((int32_t)service->minions->len, ROUTED_MAX);
	int32_t p90_ms = wwh_admission_p90_ms(service->admission);
	int32_t index;

	if (!dispatch->has_share || now_ms >= dispatch->share.lease_until_ms)
		return NULL;
	for (int32_t i = 0; i < count; i++) {
		wwh_minion_record_t *minion =
			g_ptr_array_index(service->minions, i);

		routed[i].has_room = has_room(minion, now_ms) &&
				     may_probe(request, minion, now_ms);
		routed[i].own_zone = minion->own_zone;
		routed[i].running = minion->limiter.running;
		routed[i].run_ms = minion->ejection.run_ms.value;
		routed[i].avoid =
			was_tried(request, minion) ||
			wwh_router_is_stalled(now_ms, minion->limiter.running,
					      minion->quiet_since_ms, p90_ms);
	}
	index = wwh_router_pick(routed, count, dispatch->options.random);
	return index < 0 ? NULL : g_ptr_array_index(service->minions, index);
}

static bool has_room(wwh_minion_record_t *minion, int64_t now_ms)
{
	double ramp;

	if (!wwh_minion_takes_work(minion) || now_ms < minion->blocked_until_ms)
		return false;
	wwh_ejection_advance(&minion->ejection, now_ms);
	if (!wwh_ejection_is_usable(&minion->ejection, minion->limiter.running))
		return false;
	ramp = ramp_of(minion, now_ms);
	return wwh_limiter_has_room(&minion->limiter, now_ms, ramp);
}

/*
 * A request that can't be tried should_retry is the last choice for a probe: only
 * when no idempotent one has come for a while.
 */
static bool may_probe(const wwh_request_record_t *request,
		      const wwh_minion_record_t *minion, int64_t now_ms)
{
	const wwh_ejection_t *ejection = &minion->ejection;

	return ejection->state != WWH_EJECTION_TRIAL || request->idempotent ||
	       now_ms - ejection->until_ms > PROBE_ANY_MS;
}

/*
 * Relative to the most settled minion of the service: when all are new, as
 * after an outage, there is no settled one to spare them for.
 */
static double ramp_of(const wwh_minion_record_t *minion, int64_t now_ms)
{
	double own = wwh_shift_ramp(minion->ejection.returned_ms, now_ms);
	double most = own;

	if (own >= 1 || minion->service == NULL)
		return own;
	for (guint i = 0; i < minion->service->minions->len; i++) {
		const wwh_minion_record_t *peer =
			g_ptr_array_index(minion->service->minions, i);

		if (wwh_minion_takes_work(peer))
			most = MAX(most,
				   wwh_shift_ramp(peer->ejection.returned_ms,
						  now_ms));
	}
	return own / most;
}

static bool was_tried(const wwh_request_record_t *request,
		      const wwh_minion_record_t *minion)
{
	for (int32_t i = 0; i < request->tried_count; i++) {
		if (request->tried[i] == minion)
			return true;
	}
	return false;
}

static void start(wwh_dispatch_t *dispatch, int64_t now_ms,
		  wwh_request_record_t *request, wwh_minion_record_t *minion)
{
	wwh_service_state_t *service = request->service;
	wwh_decision_t decision = { .type = WWH_DECISION_START };

	if (request->attempts == 0)
		wwh_retry_credit_first_attempt(&service->budget);
	request->attempts++;
	request->minion = minion;
	request->state = WWH_REQUEST_RUNNING;
	if (minion->limiter.running == 0)
		minion->quiet_since_ms = now_ms;
	wwh_limiter_start(&minion->limiter);
	minion->started++;
	service->attempts++;
	service->running++;
	dispatch->running++;
	decision.request = request->id;
	decision.probe = minion->ejection.state == WWH_EJECTION_TRIAL;
	decision.connections = MAX(minion->seat_connections +
					   wwh_loan_borrowed(minion->loans) -
					   wwh_loan_lent(minion->loans),
				   1);
	decision.timeout_ms = attempt_timeout_ms(dispatch, now_ms, request);
	g_strlcpy(decision.minion, minion->id, sizeof(decision.minion));
	g_array_append_val(dispatch->decisions, decision);
}

/*
 * An idempotent request on a silent minion still has time for another when
 * the first attempt gets half of it. Less than some usual run times would cut
 * off work that is only longer than most.
 */
static int32_t attempt_timeout_ms(const wwh_dispatch_t *dispatch,
				  int64_t now_ms,
				  const wwh_request_record_t *request)
{
	const wwh_admission_t *admission = request->service->admission;
	int64_t remaining_ms = request->waiting.deadline_ms - now_ms;
	int64_t runs_ms =
		(int64_t)TIMEOUT_RUNS * wwh_admission_p90_ms(admission);
	int64_t caller_ms =
		(int64_t)TIMEOUT_CALLER_RUNS *
		wwh_admission_caller_run_ms(admission, request->waiting.caller);
	int64_t least_ms = MAX(MAX(runs_ms, caller_ms), remaining_ms / 2);

	if (request->idempotent &&
	    request->attempts < dispatch->options.attempts_max &&
	    least_ms < remaining_ms)
		return (int32_t)MAX(least_ms, 1);
	return (int32_t)CLAMP(remaining_ms, 1, INT32_MAX);
}

/* Without it, a minion that has room should_retry by time alone would stay idle. */
static void arm_wake(wwh_dispatch_t *dispatch, int64_t now_ms,
		     wwh_service_state_t *service)
{
	int64_t wake_ms = INT64_MAX;

	wwh_dispatch_clear_timer(&dispatch->wakes, &service->wake);
	if (wwh_admission_waiting(service->admission) == 0)
		return;
	for (guint i = 0; i < service->minions->len; i++) {
		int64_t at_ms =
			wake_of(g_ptr_array_index(service->minions, i), now_ms);

		wake_ms = MIN(wake_ms, at_ms);
	}
	if (wake_ms != INT64_MAX)
		wwh_dispatch_set_timer(dispatch, &dispatch->wakes,
				       &service->wake,
				       MAX(wake_ms, now_ms + 1));
}

static int64_t wake_of(const wwh_minion_record_t *minion, int64_t now_ms)
{
	const wwh_limiter_t *limiter = &minion->limiter;
	int64_t wake_ms;

	if (!wwh_minion_takes_work(minion) || limiter->share == 0)
		return INT64_MAX;
	if (limiter->running > 0) {
		/* The slow start opens more slots while some are taken. */
		if (limiter->running < limiter->share &&
		    minion->ejection.returned_ms + WWH_SHIFT_RAMP_MS > now_ms)
			return now_ms + RAMP_STEP_MS;
		if (limiter->running < limiter->share &&
		    minion->blocked_until_ms > now_ms)
			return minion->blocked_until_ms;
		return INT64_MAX;
	}
	wake_ms = MAX(minion->blocked_until_ms, limiter->next_start_ms);
	if (minion->ejection.state == WWH_EJECTION_OUT)
		wake_ms = MAX(wake_ms, minion->ejection.until_ms);
	return wake_ms;
}

static void account(wwh_dispatch_t *dispatch, int64_t now_ms,
		    wwh_request_record_t *request,
		    const wwh_dispatch_result_t *result)
{
	wwh_service_state_t *service = request->service;
	wwh_minion_record_t *minion = request->minion;
	double ramp = ramp_of(minion, now_ms);
	bool had_time =
		result->latency_ms >=
		HAD_TIME_RUNS * wwh_admission_p90_ms(service->admission);
	wwh_health_signal_t sign = sign_of(result->outcome, had_time);

	request->minion = NULL;
	if (request->tried_count < WWH_TRIED_MAX) {
		request->tried[request->tried_count] = minion;
		request->tried_count++;
	}
	service->running--;
	dispatch->running--;
	minion->quiet_since_ms = now_ms;
	wwh_limiter_finish(&minion->limiter, now_ms, ramp,
			   sign == WWH_HEALTH_SIGNAL_GOOD ? result->latency_ms
							  : 0);
	wwh_ejection_observe(&minion->ejection, now_ms, sign,
			     result->latency_ms);
	if (result->outcome == WWH_OUTCOME_ANSWERED) {
		service->answered++;
		wwh_admission_record_run(service->admission,
					 request->waiting.caller,
					 result->latency_ms);
	}
	minion->failed += sign == WWH_HEALTH_SIGNAL_FAILED ||
			  sign == WWH_HEALTH_SIGNAL_SILENT;
	minion->refused += result->outcome == WWH_OUTCOME_REFUSED;
	if (result->outcome == WWH_OUTCOME_REFUSED)
		minion->blocked_until_ms =
			now_ms + refusal_pause_ms(minion, result);
	if (learn_bearing(minion, now_ms, result->outcome))
		wwh_dispatch_set_seats(dispatch, minion);
	judge(minion, now_ms);
	wwh_dispatch_return_recalled_slots(minion);
	wwh_dispatch_update_capacity(service);
}

static void judge(wwh_minion_record_t *minion, int64_t now_ms)
{
	wwh_ejection_t *peers[ROUTED_MAX];
	wwh_service_state_t *service = minion->service;
	int32_t count = 0;
	int32_t index = -1;

	if (service == NULL)
		return;
	for (guint i = 0; i < service->minions->len && count < ROUTED_MAX;
	     i++) {
		wwh_minion_record_t *peer =
			g_ptr_array_index(service->minions, i);

		if (!wwh_minion_takes_work(peer))
			continue;
		if (peer == minion)
			index = count;
		peers[count] = &peer->ejection;
		count++;
	}
	if (index < 0)
		return;
	if (wwh_ejection_evaluate(peers, count, index, now_ms,
				  &service->ejections))
		minion->ejected++;
}

/*
 * An attempt that began shortly before the deadline is silent for want of
 * time; to blame the minion would take slots away just under saturation.
 */
static wwh_health_signal_t sign_of(wwh_outcome_t outcome, bool had_time)
{
	switch (outcome) {
	case WWH_OUTCOME_ANSWERED:
		return WWH_HEALTH_SIGNAL_GOOD;
	case WWH_OUTCOME_SILENT:
		return had_time ? WWH_HEALTH_SIGNAL_SILENT
				: WWH_HEALTH_SIGNAL_NONE;
	case WWH_OUTCOME_REFUSED:
	case WWH_OUTCOME_ABORTED:
		return WWH_HEALTH_SIGNAL_NONE;
	default:
		return WWH_HEALTH_SIGNAL_FAILED;
	}
}

/*
 * Without a Retry-After, half a run time: what fills the minion has to end
 * first, and a refusal takes so little time that the next would follow at
 * once.
 */
static int32_t refusal_pause_ms(const wwh_minion_record_t *minion,
				const wwh_dispatch_result_t *result)
{
	if (result->retry_after_ms > 0)
		return result->retry_after_ms;
	return CLAMP((int32_t)minion->limiter.run_ms / 2, 1, REFUSAL_MAX_MS);
}

/* True when its part of the minion changed. */
static bool learn_bearing(wwh_minion_record_t *minion, int64_t now_ms,
			  wwh_outcome_t outcome)
{
	if (outcome == WWH_OUTCOME_REFUSED)
		return wwh_slot_limit_record_refusal(&minion->bearing, now_ms,
						     minion->limiter.run_ms);
	if (outcome == WWH_OUTCOME_ANSWERED)
		wwh_slot_limit_record_answer(&minion->bearing);
	return wwh_slot_limit_advance(&minion->bearing, now_ms);
}

static bool other_usable(const wwh_request_record_t *request,
			 const wwh_minion_record_t *failed, int64_t now_ms)
{
	const wwh_service_state_t *service = request->service;

	for (guint i = 0; i < service->minions->len; i++) {
		const wwh_minion_record_t *minion =
			g_ptr_array_index(service->minions, i);

		if (minion != failed && !was_tried(request, minion) &&
		    wwh_minion_takes_work(minion) &&
		    minion->limiter.share > 0 &&
		    minion->ejection.state == WWH_EJECTION_IN &&
		    now_ms >= minion->blocked_until_ms)
			return true;
	}
	return false;
}

static void back_off(wwh_dispatch_t *dispatch, int64_t now_ms,
		     wwh_request_record_t *request, int32_t delay_ms)
{
	if (delay_ms == 0) {
		wwh_dispatch_enqueue(dispatch, now_ms, request);
		return;
	}
	request->state = WWH_REQUEST_BACKING_OFF;
	wwh_dispatch_set_timer(dispatch, &dispatch->timers, &request->timer,
			       now_ms + delay_ms);
}

static void stop_waiting(wwh_dispatch_t *dispatch, int64_t now_ms,
			 wwh_request_record_t *request, bool starts)
{
	wwh_admission_t *admission = request->service->admission;

	wwh_dispatch_clear_timer(&dispatch->timers, &request->timer);
	dispatch->waiting--;
	dispatch->waiting_bytes -= request->waiting.bytes;
	if (starts)
		wwh_admission_start(admission, now_ms, &request->waiting);
	else
		wwh_admission_remove(admission, now_ms, &request->waiting);
}
