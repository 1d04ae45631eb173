#include <string.h>

#include "private/job_service_state.h"

/* The loop of a process that holds nothing. */
#define IDLE_WAIT_MS 100

/*
 * A holder decides at most this often, and takes in answers meanwhile. At the
 * top of a turn some thousand answers come in a second; a pass looks at all
 * upstreams, hosts and waiting jobs, and one after each answer left no time for
 * the answers themselves. It is a hundredth of what callers wait for a job.
 */
#define DECIDE_EVERY_MS 5

/*
 * The loop runs several times a second. After a gap like this, or a time
 * that the host was suspended, this process may have been replaced.
 */
#define STOOD_STILL_MS 900

/*
 * Orders to hosts are answered by then, or take effect at any time. Where hosts
 * check tokens, all jobs needn't wait for them: most are answered in some ms.
 */
#define HOST_ORDERS_MS 1500
#define HOST_ORDERS_FENCED_MS 150

/* What a start costs, in polls: with its payload, its answer and its log line. */
#define START_POLLS 3

/* The same of a request, with its thread and its record. */
#define REQUEST_POLLS 3

/* After the last answers, for what is on its way to the store. */
#define SETTLE_MS 750

static void take_answers(wwh_job_service_t *service);
static void judge_turn(wwh_job_service_t *service, int64_t wait_ms);
static int64_t work_since_last_turn(wwh_job_service_t *service);
static void run_once(wwh_job_service_t *service);
static bool yields(const wwh_job_service_t *service, int64_t now_ms);
static bool is_turned_away(const wwh_job_service_t *service, int64_t now_ms);
static void hand_over(wwh_job_service_t *service, int64_t now_ms);
static void tell_state(wwh_job_service_t *service, int64_t now_ms);
static bool stood_still(wwh_job_service_t *service, int64_t now_ms);
static void take_settings(wwh_job_service_t *service);
static bool is_settled(const wwh_job_service_t *service);

gpointer job_service_run_loop(gpointer data)
{
	wwh_job_service_t *service = data;
	int64_t end_ms = 0;
	bool ending = false;

	while (!ending ||
	       (!is_settled(service) && job_service_now_ms() < end_ms)) {
		take_answers(service);
		run_once(service);
		g_mutex_lock(&service->lock);
		if (service->ending && !ending) {
			ending = true;
			end_ms = job_service_now_ms() + SETTLE_MS;
		}
		g_mutex_unlock(&service->lock);
	}
	return NULL;
}

/* A holder may lose the shard by any of the answers. */
static void take_answers(wwh_job_service_t *service)
{
	int64_t wait_ms = IDLE_WAIT_MS;

	if (service->holder != NULL)
		wait_ms = wwh_job_holder_wait_ms(service->holder);
	judge_turn(service, wait_ms);
	while (wait_ms > 0) {
		wwh_http_calls_poll(service->calls, (int32_t)wait_ms);
		if (service->holder == NULL)
			return;
		wait_ms = service->last_run_ms + DECIDE_EVERY_MS -
			  job_service_now_ms();
	}
}

/* Called between two turns: of the one that ends, and the next one's wait. */
static void judge_turn(wwh_job_service_t *service, int64_t wait_ms)
{
	int64_t now_ms = job_service_now_ms();
	int64_t turn_ms = now_ms - service->turn_begun_ms;
	int64_t overrun_ms = MAX(turn_ms - service->turn_wait_ms, 0);
	bool was_late = wwh_loop_lag_is_overloaded(service->lag);
	bool is_late;

	if (service->holder == NULL || service->turn_begun_ms == 0) {
		service->turn_begun_ms = service->holder == NULL ? 0 : now_ms;
		service->turn_wait_ms = wait_ms;
		return;
	}
	service->turn_begun_ms = now_ms;
	service->turn_wait_ms = wait_ms;
	wwh_histogram_add(service->overrun_ms, overrun_ms);
	wwh_loop_lag_add_work(service->lag, work_since_last_turn(service));
	wwh_loop_lag_want_proof(service->lag,
				wwh_job_holder_is_large(service->holder));
	wwh_loop_lag_add_turn(service->lag, turn_ms, overrun_ms);
	is_late = wwh_loop_lag_is_overloaded(service->lag);
	if (is_late != was_late)
		wwh_event_log_printf(
			service->log, is_late ? "loop-late" : "loop-in-time",
			service->settings.name,
			"turn_ms=%" G_GINT64_FORMAT
			" behind_ms=%" G_GINT64_FORMAT
			" work_per_s=%" G_GINT64_FORMAT
			" most_per_s=%" G_GINT64_FORMAT " blames=%s",
			turn_ms, wwh_loop_lag_ms(service->lag),
			wwh_loop_lag_work_per_s(service->lag),
			wwh_loop_lag_most_per_s(service->lag),
			wwh_loop_lag_blames_host(service->lag) ? "host"
							       : "load");
}

/* In the cost of a poll, by the processor time that each takes. */
static int64_t work_since_last_turn(wwh_job_service_t *service)
{
	int64_t work = wwh_counter_value(service->calls_sent) +
		       (START_POLLS - 1) * wwh_counter_value(service->starts) +
		       REQUEST_POLLS * service->requests_taken;
	int64_t since = work - service->work_counted;

	service->work_counted = work;
	return since;
}

static void run_once(wwh_job_service_t *service)
{
	int64_t now_ms = job_service_now_ms();
	bool suspended = stood_still(service, now_ms);
	bool stopping;
	bool gives_up;

	take_settings(service);
	wwh_store_follower_run(service->operator_records, now_ms);
	g_mutex_lock(&service->lock);
	stopping = service->stopping;
	gives_up = stopping && !service->ended && now_ms >= service->give_up_ms;
	g_mutex_unlock(&service->lock);
	if (service->holder != NULL) {
		wwh_job_holder_pause_duties(service->holder,
					    stopping ||
						    service->asked_for_ms != 0);
		wwh_job_holder_set_overloaded(
			service->holder,
			wwh_loop_lag_is_overloaded(service->lag));
		wwh_job_holder_run(service->holder, now_ms,
				   job_service_wall_ms(), suspended);
	}
	job_service_take_requests(service);
	if (gives_up)
		job_service_end_requests(service);
	if (stopping && service->holder != NULL &&
	    wwh_job_holder_is_quiescent(service->holder)) {
		/* the next holder goes on at once, as nothing is on its way */
		service->lost_holder = g_steal_pointer(&service->holder);
	}
	if (stopping && service->holder == NULL)
		wwh_shard_claim_release(service->claim, now_ms);
	wwh_shard_claim_set_withdrawn(
		service->claim, wwh_loop_lag_blames_host(service->lag), now_ms);
	hand_over(service, now_ms);
	wwh_shard_claim_run(service->claim, now_ms);
	if (service->lost_holder != NULL) {
		wwh_job_holder_delete(service->lost_holder);
		service->lost_holder = NULL;
	}
	tell_state(service, now_ms);
}

/*
 * A holder that the store turns away can accept no job, and one whose loop can't
 * keep up lets all jobs wait, for as long as its host is slow: seconds in which
 * it answers others in time that it holds the shard.
 */
static bool yields(const wwh_job_service_t *service, int64_t now_ms)
{
	return is_turned_away(service, now_ms) ||
	       (service->holder != NULL &&
		wwh_loop_lag_blames_host(service->lag));
}

static bool is_turned_away(const wwh_job_service_t *service, int64_t now_ms)
{
	return service->holder != NULL &&
	       wwh_job_holder_rejected_by_store(
		       service->holder, now_ms,
		       wwh_loop_lag_is_overloaded(service->lag));
}

/*
 * It leaves the shard to the process that asked for it, once its orders to hosts
 * are answered: that one then needn't wait for them. Where hosts check tokens
 * that one waits with its own, and goes on with all else meanwhile. A holder that
 * is served again, and in time, goes on.
 */
static void hand_over(wwh_job_service_t *service, int64_t now_ms)
{
	int64_t limit_ms = service->settings.hosts_fence ? HOST_ORDERS_FENCED_MS
							 : HOST_ORDERS_MS;
	bool asked_for;
	bool orders_hosts;

	g_mutex_lock(&service->lock);
	if (!yields(service, now_ms))
		service->asked_for = false;
	asked_for = service->asked_for;
	g_mutex_unlock(&service->lock);
	if (!asked_for) {
		service->asked_for_ms = 0;
		return;
	}
	if (service->asked_for_ms == 0)
		service->asked_for_ms = now_ms;
	orders_hosts = wwh_job_holder_host_orders_pending(service->holder);
	if (orders_hosts && now_ms - service->asked_for_ms < limit_ms)
		return;
	(void)job_service_drop_holder(service, "handed-over");
	wwh_shard_claim_handle_handover(service->claim, now_ms);
	service->asked_for_ms = 0;
	g_mutex_lock(&service->lock);
	service->asked_for = false;
	service->handed_over = !orders_hosts || service->settings.hosts_fence;
	service->handed_over_early = orders_hosts;
	g_mutex_unlock(&service->lock);
}

/* What other processes are told of the shard. */
static void tell_state(wwh_job_service_t *service, int64_t now_ms)
{
	const wwh_job_holder_t *holder = service->holder;
	bool holds = holder != NULL;
	bool claims = wwh_shard_claim_in_progress(service->claim);

	g_mutex_lock(&service->lock);
	service->holds = holds;
	service->claims = claims;
	service->orders_hosts =
		holds && wwh_job_holder_host_orders_pending(holder);
	service->reaches_store =
		holds && wwh_job_holder_reaches_store(holder, now_ms);
	service->yields = yields(service, now_ms);
	service->turned_away = is_turned_away(service, now_ms);
	service->handed_over = service->handed_over && !holds && !claims;
	g_mutex_unlock(&service->lock);
}

static bool stood_still(wwh_job_service_t *service, int64_t now_ms)
{
	int64_t slept_ms =
		now_ms - g_get_monotonic_time() / G_TIME_SPAN_MILLISECOND;
	bool still = now_ms - service->last_run_ms > STOOD_STILL_MS ||
		     (service->slept_ms != 0 &&
		      slept_ms - service->slept_ms > STOOD_STILL_MS);

	if (still)
		wwh_event_log_printf(service->log, "stood-still",
				     service->settings.name,
				     "gap_ms=%" G_GINT64_FORMAT,
				     now_ms - service->last_run_ms);
	service->last_run_ms = now_ms;
	service->slept_ms = slept_ms;
	return still;
}

static void take_settings(wwh_job_service_t *service)
{
	wwh_host_settings_t *next;

	g_mutex_lock(&service->lock);
	next = g_steal_pointer(&service->settings_next);
	g_mutex_unlock(&service->lock);
	if (next == NULL)
		return;
	wwh_event_log_printf(service->log, "settings-reloaded", next->name,
			     "store=%s hosts=%s", next->store,
			     next->hosts == NULL ? "-" : next->hosts);
	if (g_strcmp0(next->store, service->settings.store) != 0 &&
	    service->holder == NULL) {
		wwh_shard_claim_delete(service->claim);
		wwh_store_follower_delete(service->operator_records);
		wwh_host_settings_clear(&service->settings);
		service->settings = *next;
		job_service_make_calls(service);
	} else if (service->holder == NULL) {
		wwh_host_settings_clear(&service->settings);
		service->settings = *next;
	} else {
		/* a holder keeps the settings that it began with */
		wwh_host_settings_clear(next);
	}
	g_free(next);
	job_service_set_key_limit(service);
}

static bool is_settled(const wwh_job_service_t *service)
{
	return service->holder == NULL &&
	       g_hash_table_size(service->forwards) == 0 &&
	       wwh_shard_claim_is_released(service->claim);
}
