#include <string.h>

#include "private/job_service_state.h"

/* Wait of the loop in a process that doesn't hold the shard. */
#define IDLE_WAIT_MS 100

/*
 * A holder makes scheduling decisions at most this often and reads answers in
 * between. At peak load some thousand answers arrive per second. Each decision
 * run examines all upstreams, hosts and waiting jobs, and a run after each
 * answer left no time for the answers themselves. The interval is a hundredth
 * of the time that callers wait for a job.
 */
#define MIN_RUN_INTERVAL_MS 5

/*
 * Shortest gap between two turns of the loop, or time that the host was
 * suspended, that counts as a pause. The loop runs several times a second;
 * after a pause this process may have been replaced.
 */
#define PAUSE_MIN_MS 900

/*
 * How long a hand-over waits for answers to orders to hosts. An order without
 * an answer by then may take effect at any time. Where hosts check fencing
 * tokens, jobs needn't wait for all answers: most arrive within a few
 * milliseconds.
 */
#define HOST_ORDERS_WAIT_MS 1500
#define HOST_ORDERS_FENCED_WAIT_MS 150

/* Cost of a task start in polls, with its payload, answer and log line. */
#define START_COST_POLLS 3

/* Cost of a request in polls, with its thread and record. */
#define REQUEST_COST_POLLS 3

/* Time limit for calls to the store after the last requests were answered. */
#define QUIESCENT_TIMEOUT_MS 750

static void wait_for_answers(wwh_job_service_t *service);
static void record_turn(wwh_job_service_t *service, int64_t wait_ms);
static void report_load(wwh_job_service_t *service, int64_t turn_ms);
static int64_t work_since_last_turn(wwh_job_service_t *service);
static void run_once(wwh_job_service_t *service);
static bool should_yield(const wwh_job_service_t *service, int64_t now_ms);
static bool is_rejected_by_store(const wwh_job_service_t *service,
				 int64_t now_ms);
static void hand_over_if_requested(wwh_job_service_t *service, int64_t now_ms);
static void publish_state(wwh_job_service_t *service, int64_t now_ms);
static bool was_paused(wwh_job_service_t *service, int64_t now_ms);
static bool has_new_addresses(const wwh_job_service_t *service);
static void apply_settings(wwh_job_service_t *service);
static bool is_quiescent(const wwh_job_service_t *service);

gpointer job_service_run_loop(gpointer data)
{
	wwh_job_service_t *service = data;
	int64_t quiescent_deadline_ms = 0;
	bool ending = false;

	while (!ending || (!is_quiescent(service) &&
			   job_service_now_ms() < quiescent_deadline_ms)) {
		wait_for_answers(service);
		run_once(service);
		g_mutex_lock(&service->lock);
		if (service->loop_ending && !ending) {
			ending = true;
			quiescent_deadline_ms =
				job_service_now_ms() + QUIESCENT_TIMEOUT_MS;
		}
		g_mutex_unlock(&service->lock);
	}
	return NULL;
}

/* Any of the answers may cause the holder to lose the shard. */
static void wait_for_answers(wwh_job_service_t *service)
{
	int64_t wait_ms = IDLE_WAIT_MS;

	if (service->holder != NULL)
		wait_ms = wwh_job_holder_wait_ms(service->holder);
	record_turn(service, wait_ms);
	while (wait_ms > 0) {
		wwh_http_calls_poll(service->calls, (int32_t)wait_ms);
		if (service->holder == NULL)
			return;
		wait_ms = service->last_run_ms + MIN_RUN_INTERVAL_MS -
			  job_service_now_ms();
	}
}

/*
 * Records the turn that ends and begins the next one, which is to wait for
 * wait_ms. A turn is one iteration of the loop.
 */
static void record_turn(wwh_job_service_t *service, int64_t wait_ms)
{
	int64_t now_ms = job_service_now_ms();
	int64_t turn_ms = now_ms - service->turn_started_ms;
	int64_t overrun_ms = MAX(turn_ms - service->turn_planned_wait_ms, 0);
	bool was_overloaded = wwh_loop_lag_is_overloaded(service->lag);
	bool is_overloaded;

	if (service->holder == NULL || service->turn_started_ms == 0) {
		service->turn_started_ms = service->holder == NULL ? 0 : now_ms;
		service->turn_cpu_us = job_service_cpu_us();
		service->turn_planned_wait_ms = wait_ms;
		return;
	}
	service->turn_started_ms = now_ms;
	service->turn_planned_wait_ms = wait_ms;
	report_load(service, turn_ms);
	wwh_histogram_add(service->overrun_ms, overrun_ms);
	wwh_loop_lag_add_work(service->lag, work_since_last_turn(service));
	wwh_loop_lag_require_proof(service->lag,
				   wwh_job_holder_is_large(service->holder));
	wwh_loop_lag_add_turn(service->lag, turn_ms, overrun_ms);
	is_overloaded = wwh_loop_lag_is_overloaded(service->lag);
	if (is_overloaded != was_overloaded)
		wwh_event_log_printf(
			service->log,
			is_overloaded ? "loop-late" : "loop-in-time",
			service->settings.name,
			"turn_ms=%" G_GINT64_FORMAT
			" behind_ms=%" G_GINT64_FORMAT
			" work_per_s=%" G_GINT64_FORMAT
			" most_per_s=%" G_GINT64_FORMAT " blames=%s",
			turn_ms, wwh_loop_lag_ms(service->lag),
			wwh_loop_lag_work_per_s(service->lag),
			wwh_loop_lag_max_work_per_s(service->lag),
			wwh_loop_lag_is_host_slow(service->lag) ? "host"
								: "load");
}

/*
 * The listeners' threads use the same share of a core as the loop. A loop that
 * is overloaded counts as busy even if its host gives it less than its share.
 */
static void report_load(wwh_job_service_t *service, int64_t turn_ms)
{
	int64_t turn_us = turn_ms * G_TIME_SPAN_MILLISECOND;
	int64_t cpu_us = job_service_cpu_us();
	int64_t busy_us = cpu_us - service->turn_cpu_us;

	service->turn_cpu_us = cpu_us;
	if (wwh_loop_lag_is_overloaded(service->lag))
		busy_us = MAX(busy_us, turn_us);
	wwh_job_holder_add_load(service->holder, turn_us, busy_us);
}

/* In units of one poll, weighted by processor time. */
static int64_t work_since_last_turn(wwh_job_service_t *service)
{
	int64_t work =
		wwh_counter_value(service->calls_sent) +
		wwh_counter_value(service->relayed) +
		(START_COST_POLLS - 1) * wwh_counter_value(service->starts) +
		REQUEST_COST_POLLS * service->requests_handled;
	int64_t since = work - service->work_reported;

	service->work_reported = work;
	return since;
}

static void run_once(wwh_job_service_t *service)
{
	int64_t now_ms = job_service_now_ms();
	bool suspended = was_paused(service, now_ms);
	bool stopping;
	bool deadline_passed;
	bool handing_over;

	apply_settings(service);
	wwh_store_follower_run(service->operator_records, now_ms);
	g_mutex_lock(&service->lock);
	stopping = service->stopping;
	handing_over = service->handover_requested ||
		       (service->rejected_by_store &&
			!wwh_shard_claim_is_assigned(service->claim));
	deadline_passed = stopping && !service->requests_closed &&
			  now_ms >= service->stop_deadline_ms;
	g_mutex_unlock(&service->lock);
	if (service->holder != NULL) {
		wwh_job_holder_pause_duties(
			service->holder,
			stopping || service->handover_requested_ms != 0);
		wwh_job_holder_set_overloaded(
			service->holder,
			wwh_loop_lag_is_overloaded(service->lag));
		wwh_job_holder_set_handing_over(service->holder, handing_over);
		wwh_job_holder_run(service->holder, now_ms,
				   job_service_wall_ms(), suspended);
	}
	job_service_run_relay(service, now_ms, stopping);
	job_service_handle_requests(service);
	job_service_run_retries(service, now_ms);
	if (deadline_passed)
		job_service_abort_requests(service);
	if (stopping && service->holder != NULL &&
	    wwh_job_holder_is_quiescent(service->holder)) {
		/* the next holder can continue at once: no call is pending */
		service->detached_holder = g_steal_pointer(&service->holder);
	}
	if (stopping && service->holder == NULL)
		wwh_shard_claim_release(service->claim, now_ms);
	wwh_shard_claim_set_withdrawn(service->claim,
				      wwh_loop_lag_is_host_slow(service->lag),
				      now_ms);
	hand_over_if_requested(service, now_ms);
	wwh_shard_claim_run(service->claim, now_ms);
	if (service->detached_holder != NULL) {
		wwh_job_holder_delete(service->detached_holder);
		service->detached_holder = NULL;
	}
	publish_state(service, now_ms);
}

/*
 * Whether the holder should hand the shard over on request. A holder that the
 * store rejects can't accept jobs. One whose loop is overloaded by a slow host
 * delays all jobs for seconds, while it still answers peers in time that it
 * holds the shard.
 */
static bool should_yield(const wwh_job_service_t *service, int64_t now_ms)
{
	return is_rejected_by_store(service, now_ms) ||
	       (service->holder != NULL &&
		wwh_loop_lag_is_host_slow(service->lag));
}

static bool is_rejected_by_store(const wwh_job_service_t *service,
				 int64_t now_ms)
{
	return service->holder != NULL &&
	       wwh_job_holder_rejected_by_store(
		       service->holder, now_ms,
		       wwh_loop_lag_is_overloaded(service->lag));
}

/*
 * Hands the shard over to the process that requested it, after the answers to
 * its orders to hosts, so that the successor needn't wait for them. Where hosts
 * check fencing tokens, it hands over earlier: the successor delays only its
 * own orders to hosts. A holder that the store accepts again and whose loop
 * keeps up drops the request and keeps the shard.
 */
static void hand_over_if_requested(wwh_job_service_t *service, int64_t now_ms)
{
	int64_t limit_ms = service->settings.hosts_fence
				   ? HOST_ORDERS_FENCED_WAIT_MS
				   : HOST_ORDERS_WAIT_MS;
	bool requested;
	bool orders_pending;

	g_mutex_lock(&service->lock);
	if (!should_yield(service, now_ms))
		service->handover_requested = false;
	requested = service->handover_requested || has_new_addresses(service);
	g_mutex_unlock(&service->lock);
	if (!requested) {
		service->handover_requested_ms = 0;
		return;
	}
	if (service->handover_requested_ms == 0)
		service->handover_requested_ms = now_ms;
	orders_pending = wwh_job_holder_host_orders_pending(service->holder);
	if (orders_pending &&
	    now_ms - service->handover_requested_ms < limit_ms)
		return;
	(void)job_service_detach_holder(service, "handed-over");
	wwh_shard_claim_handle_handover(service->claim, now_ms);
	service->handover_requested_ms = 0;
	g_mutex_lock(&service->lock);
	service->handover_requested = false;
	service->handed_over = !orders_pending || service->settings.hosts_fence;
	service->handed_over_early = orders_pending;
	g_mutex_unlock(&service->lock);
}

/*
 * Whether this process holds the shard by way of addresses that its settings have
 * replaced: it hands the shard over, and takes the settings then.
 */
static bool has_new_addresses(const wwh_job_service_t *service)
{
	const wwh_host_settings_t *next = service->pending_settings;

	return service->holder != NULL && next != NULL &&
	       (g_strcmp0(next->store, service->settings.store) != 0 ||
		g_strcmp0(next->hosts, service->settings.hosts) != 0);
}

/* Publishes the state of the shard that is reported to other processes. */
static void publish_state(wwh_job_service_t *service, int64_t now_ms)
{
	const wwh_job_holder_t *holder = service->holder;
	bool holds = holder != NULL;
	bool claims = wwh_shard_claim_in_progress(service->claim);

	g_mutex_lock(&service->lock);
	service->holds_shard = holds;
	service->claims_shard = claims;
	service->host_orders_pending =
		holds && wwh_job_holder_host_orders_pending(holder);
	service->reaches_store =
		holds && wwh_job_holder_reaches_store(holder, now_ms);
	service->yields_shard = should_yield(service, now_ms);
	service->rejected_by_store = is_rejected_by_store(service, now_ms);
	service->handed_over = service->handed_over && !holds && !claims;
	g_mutex_unlock(&service->lock);
}

static bool was_paused(wwh_job_service_t *service, int64_t now_ms)
{
	int64_t suspended_ms =
		now_ms - g_get_monotonic_time() / G_TIME_SPAN_MILLISECOND;
	bool paused = now_ms - service->last_run_ms > PAUSE_MIN_MS ||
		      (service->suspended_ms != 0 &&
		       suspended_ms - service->suspended_ms > PAUSE_MIN_MS);

	if (paused)
		wwh_event_log_printf(service->log, "stood-still",
				     service->settings.name,
				     "gap_ms=%" G_GINT64_FORMAT,
				     now_ms - service->last_run_ms);
	service->last_run_ms = now_ms;
	service->suspended_ms = suspended_ms;
	return paused;
}

static void apply_settings(wwh_job_service_t *service)
{
	wwh_host_settings_t *next;
	bool moves_store;

	/* a holder keeps the settings with which it was created */
	if (service->holder != NULL)
		return;
	g_mutex_lock(&service->lock);
	next = g_steal_pointer(&service->pending_settings);
	g_mutex_unlock(&service->lock);
	if (next == NULL)
		return;
	wwh_event_log_printf(service->log, "settings-reloaded", next->name,
			     "store=%s hosts=%s", next->store,
			     next->hosts == NULL ? "-" : next->hosts);
	moves_store = g_strcmp0(next->store, service->settings.store) != 0;
	if (moves_store) {
		wwh_shard_claim_delete(service->claim);
		wwh_store_follower_delete(service->operator_records);
	}
	wwh_host_settings_clear(&service->settings);
	service->settings = *next;
	if (moves_store)
		job_service_create_store_clients(service);
	g_free(next);
	job_service_set_key_limit(service);
}

static bool is_quiescent(const wwh_job_service_t *service)
{
	return service->holder == NULL &&
	       g_hash_table_size(service->forwards) == 0 &&
	       service->delayed.length == 0 &&
	       job_service_relay_is_idle(service) &&
	       wwh_shard_claim_is_released(service->claim);
}
