#include "waxwinghollow/job_service.h"

#include <string.h>

#include "private/job_service_state.h"

/*
 * Time until the balancer stops sending requests: it checks readiness each
 * second and removes a process after two failed checks.
 */
#define BALANCER_REMOVAL_MS 2200

/*
 * End of the grace period, for the loop to become quiescent and the process to
 * exit.
 */
#define EXIT_RESERVE_MS 1500

/* Time limit for writing the last answers after requests were aborted. */
#define LAST_ANSWER_WRITE_MS 300

/* Limits that keep a day's log short enough for people to read. */
#define LOG_LINES_PER_S 360
#define LOG_BYTES_PER_S 72000
#define LOG_RARE_LINES_PER_S 40
#define LOG_RARE_BYTES_PER_S 8000

/* Share of the budget for lines of hosts and upstreams; the rest is for jobs. */
#define LOG_BULK_PERCENT 40

#define MAX_BODY_BYTES 1048576

static wwh_listener_t *make_listener(wwh_job_service_t *service,
				     const char *name, const wwh_endpoint_t *at,
				     wwh_listener_handler_t handler);
static wwh_bad_records_t *make_bad_records(wwh_job_service_t *service,
					   const char *list);

/* Those of which each upstream or host writes some when many hosts change. */
static const char *const bulk_events[] = {
	"upstream-new",	     "upstream-settled",
	"upstream-gone",     "upstream-silent",
	"upstream-unlisted", "upstream-leaving",
	"upstream-cordoned", "moved",
	"move-not-done",     NULL,
};

static void make_histograms(wwh_job_service_t *service)
{
	for (int32_t i = 0; i < JOB_REQUEST_KIND_COUNT; i++) {
		char *name = g_strdup_printf("caller.%s_ms",
					     job_request_kind_names[i]);

		service->answer_ms[i] =
			wwh_counters_histogram(service->counters, name);
		g_free(name);
	}
	service->overrun_ms =
		wwh_counters_histogram(service->counters, "holder.overrun_ms");
}

wwh_job_service_t *wwh_job_service_new(const wwh_host_settings_t *settings,
				       int log_fd)
{
	wwh_job_service_t *service = g_new0(wwh_job_service_t, 1);
	wwh_event_log_options_t log = {
		.node = settings->name,
		.fd = log_fd,
		.lines_per_s = LOG_LINES_PER_S,
		.bytes_per_s = LOG_BYTES_PER_S,
		.rare_lines_per_s = LOG_RARE_LINES_PER_S,
		.rare_bytes_per_s = LOG_RARE_BYTES_PER_S,
		.bulk_events = bulk_events,
		.bulk_percent = LOG_BULK_PERCENT,
		.now_ms = job_service_now_ms,
		.wall_ms = job_service_wall_ms,
	};

	service->settings = *settings;
	g_mutex_init(&service->lock);
	job_service_set_key_limit(service);
	service->counters = wwh_counters_new();
	service->unauthorized =
		wwh_counters_get(service->counters, "caller.unauthorized");
	make_histograms(service);
	service->lag = wwh_loop_lag_new();
	service->log = wwh_event_log_new(&log, service->counters);
	service->bad_operator_records = make_bad_records(service, "operator");
	service->bad_claims = make_bad_records(service, "shard");
	service->requests = g_async_queue_new();
	g_queue_init(&service->delayed);
	service->forwards = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	service->waves = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       (GDestroyNotify)g_bytes_unref);
	service->own_address = g_strdup_printf("%s:%d", settings->peers.address,
					       settings->peers.port);
	service->calls = wwh_http_calls_new(service->counters);
	job_service_make_relay(service);
	service->calls_sent = wwh_counters_get(service->counters, "calls.sent");
	service->relayed =
		wwh_counters_get(service->counters, "holder.relayed");
	service->starts = wwh_counters_get(service->counters, "holder.starts");
	return service;
}

void job_service_set_key_limit(wwh_job_service_t *service)
{
	const wwh_host_settings_t *settings = &service->settings;

	g_mutex_lock(&service->lock);
	service->keys_fail_after_ms =
		settings->revoke_fails_closed ? settings->revoke_ms : 0;
	g_mutex_unlock(&service->lock);
}

wwh_status_t wwh_job_service_init(wwh_job_service_t *service,
				  wwh_message_t *message)
{
	wwh_host_settings_t *settings = &service->settings;

	job_service_create_store_clients(service);
	service->caller_listener = make_listener(
		service, "callers", &settings->callers, job_service_on_caller);
	service->readiness_listener =
		make_listener(service, "readiness", &settings->readiness,
			      job_service_on_readiness);
	service->peer_listener = make_listener(
		service, "peers", &settings->peers, job_service_on_peer);
	if (wwh_listener_init(service->peer_listener, message) !=
		    WWH_STATUS_OK ||
	    wwh_listener_init(service->readiness_listener, message) !=
		    WWH_STATUS_OK ||
	    wwh_listener_init(service->caller_listener, message) !=
		    WWH_STATUS_OK)
		return WWH_STATUS_IO;
	service->last_run_ms = job_service_now_ms();
	wwh_outage_update(&service->config_outage, true, service->last_run_ms);
	service->thread = g_thread_new("loop", job_service_run_loop, service);
	wwh_event_log_printf(service->log, "started", settings->name,
			     "callers=%s:%d peers=%s store=%s zone=%s",
			     settings->callers.address, settings->callers.port,
			     service->own_address, settings->store,
			     settings->zone == NULL ? "-" : settings->zone);
	return WWH_STATUS_OK;
}

void wwh_job_service_reload(wwh_job_service_t *service,
			    const wwh_host_settings_t *settings)
{
	wwh_host_settings_t *next = g_new(wwh_host_settings_t, 1);

	*next = *settings;
	g_mutex_lock(&service->lock);
	if (service->pending_settings != NULL) {
		wwh_host_settings_clear(service->pending_settings);
		g_free(service->pending_settings);
	}
	service->pending_settings = next;
	g_mutex_unlock(&service->lock);
	wwh_http_calls_wake(service->calls);
}

/*
 * First reports not ready, and accepts requests until the balancer has noticed.
 * Then drains the callers' listener. The loop ends after that, because requests
 * in progress need it for their answers.
 */
int32_t wwh_job_service_finish(wwh_job_service_t *service)
{
	int64_t stop_deadline_ms = job_service_now_ms() +
				   service->settings.grace_ms - EXIT_RESERVE_MS;
	int32_t cut_off;

	wwh_event_log_write(service->log, "stopping", service->settings.name,
			    "why=signal");
	g_mutex_lock(&service->lock);
	service->stopping = true;
	service->stop_deadline_ms = stop_deadline_ms;
	g_mutex_unlock(&service->lock);
	wwh_http_calls_wake(service->calls);
	g_usleep(MIN(BALANCER_REMOVAL_MS, service->settings.grace_ms / 3) *
		 G_TIME_SPAN_MILLISECOND);
	cut_off =
		wwh_listener_drain(service->caller_listener,
				   MAX(stop_deadline_ms + LAST_ANSWER_WRITE_MS -
					       job_service_now_ms(),
				       0));
	g_mutex_lock(&service->lock);
	service->loop_ending = true;
	g_mutex_unlock(&service->lock);
	wwh_http_calls_wake(service->calls);
	g_thread_join(service->thread);
	service->thread = NULL;
	/* requests that peers have sent since the loop ended */
	job_service_abort_requests(service);
	if (service->relay != NULL)
		wwh_relay_service_close(service->relay);
	(void)wwh_listener_drain(service->peer_listener, 0);
	(void)wwh_listener_drain(service->readiness_listener, 0);
	wwh_event_log_printf(service->log, "stopped", service->settings.name,
			     "cut_off=%d", cut_off);
	return cut_off;
}

void wwh_job_service_delete(wwh_job_service_t *service)
{
	if (service == NULL)
		return;
	wwh_listener_delete(service->caller_listener);
	wwh_listener_delete(service->readiness_listener);
	wwh_listener_delete(service->peer_listener);
	wwh_job_holder_delete(service->holder);
	wwh_job_holder_delete(service->detached_holder);
	g_clear_pointer(&service->claim, wwh_shard_claim_delete);
	wwh_store_follower_delete(service->operator_records);
	wwh_http_calls_delete(service->calls);
	wwh_relay_service_delete(service->relay);
	g_async_queue_unref(service->requests);
	g_hash_table_destroy(service->forwards);
	g_hash_table_destroy(service->waves);
	wwh_job_config_unref(service->config);
	wwh_bad_records_delete(service->bad_operator_records);
	wwh_bad_records_delete(service->bad_claims);
	wwh_loop_lag_delete(service->lag);
	wwh_event_log_delete(service->log);
	wwh_counters_delete(service->counters);
	wwh_host_settings_clear(&service->settings);
	g_free(service->holder_address);
	g_free(service->hello_sent_to);
	g_free(service->own_address);
	g_mutex_clear(&service->lock);
	g_free(service);
}

static wwh_listener_t *make_listener(wwh_job_service_t *service,
				     const char *name, const wwh_endpoint_t *at,
				     wwh_listener_handler_t handler)
{
	wwh_listener_options_t options = wwh_listener_options_defaults();

	options.name = name;
	options.address = at->address;
	options.port = at->port;
	options.max_body_bytes = MAX_BODY_BYTES;
	options.handler = handler;
	options.client_data = service;
	return wwh_listener_new(&options, service->counters);
}

static wwh_bad_records_t *make_bad_records(wwh_job_service_t *service,
					   const char *list)
{
	wwh_bad_records_options_t options = {
		.list = list,
		.log = service->log,
		.counters = service->counters,
	};

	return wwh_bad_records_new(&options);
}
