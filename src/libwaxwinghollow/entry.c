#include "private/entry_internal.h"

#include <curl/curl.h>
#include <string.h>

#include "private/entry_control.h"
#include "private/entry_fleet.h"
#include "private/entry_log.h"
#include "private/entry_peers.h"
#include "private/entry_seats.h"
#include "private/intent_writer.h"
#include "private/request_table.h"

#define MILLISECOND_US 1000
#define OPERATOR_REQUESTS_MAX 32
#define OPERATOR_BODY_MAX (64 * 1024 * 1024)
#define INTENTS_WAITING_MAX 4096
#define LEASES_RETURN_LIMIT_MS 2000

const char *const wwh_phase_names[WWH_PHASE_COUNT] = {
	"starting", "catching-up", "ready",   "not-ready",
	"draining", "giving-back", "stopped",
};

const char *const wwh_phase_event_names[WWH_PHASE_EVENT_COUNT] = {
	"listening",	 "caught-up", "start-failed",	 "stop",
	"balancer-left", "idle",      "leases-returned", "return-limit",
};

static wwh_status_t load_charts(wwh_entry_t *entry, wwh_message_t *message);
static wwh_status_t open_platform(wwh_entry_t *entry, wwh_message_t *message);
static wwh_status_t listen_on(wwh_entry_t *entry, const char *name,
			      const char *endpoint,
			      wwh_listener_handler_t handler,
			      wwh_listener_t **listener,
			      wwh_message_t *message);
static bool put_in_force(wwh_entry_t *entry, const wwh_config_t *config,
			 const char *author);
static void make_counters(wwh_entry_t *entry);
static wwh_status_t append_intents(const wwh_record_t *record,
				   void *client_data);
static void intent_failed(int64_t sequence, void *client_data);

wwh_entry_t *wwh_entry_new(const wwh_settings_t *settings)
{
	wwh_entry_t *entry = g_new0(wwh_entry_t, 1);

	entry->settings = settings;
	entry->incarnation = (uint64_t)g_get_real_time();
	entry->author =
		wwh_entry_author_name(settings->process_id, entry->incarnation);
	entry->counters = wwh_counters_new();
	g_mutex_init(&entry->state_lock);
	entry->state = wwh_state_new();
	entry->intents = wwh_intents_new(NULL);
	make_counters(entry);
	return entry;
}

wwh_status_t wwh_entry_init(wwh_entry_t *entry, wwh_message_t *message)
{
	const wwh_settings_t *settings = entry->settings;
	wwh_upstream_options_t upstream = wwh_upstream_options_defaults();
	wwh_intent_writer_options_t writer = {
		.author = entry->author,
		.batch_ms = settings->intent_batch_ms,
		.waiting_max = INTENTS_WAITING_MAX,
		.append = append_intents,
		.failed = intent_failed,
		.client_data = entry,
	};
	wwh_status_t status;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	status = load_charts(entry, message);
	if (status == WWH_STATUS_OK)
		status = open_platform(entry, message);
	if (status != WWH_STATUS_OK)
		return status;
	upstream.connect_timeout_ms = settings->connect_timeout_ms;
	upstream.idle_limit_ms = settings->minion_idle_ms;
	entry->upstream = wwh_upstream_new(&upstream, entry->counters);
	entry->requests = wwh_request_table_new(settings->zone);
	entry->intent_writer = wwh_intent_writer_new(&writer, entry->counters);
	entry->log = wwh_entry_log_new(entry);
	entry->peers = wwh_entry_peers_new(entry);
	entry->seats = wwh_seats_new(entry);
	entry->fleet = wwh_entry_fleet_new(entry);
	entry->control = wwh_entry_control_new(entry);
	status = listen_on(entry, "callers", settings->caller_listen,
			   wwh_entry_handle_caller, &entry->caller_listener,
			   message);
	if (status == WWH_STATUS_OK)
		status =
			listen_on(entry, "operators", settings->operator_listen,
				  wwh_entry_handle_operator,
				  &entry->operator_listener, message);
	if (status == WWH_STATUS_OK)
		status = wwh_entry_peers_init(entry->peers, message);
	if (status != WWH_STATUS_OK) {
		wwh_entry_phase_event(entry, WWH_PHASE_EVENT_START_FAILED);
		return status;
	}
	wwh_entry_phase_event(entry, WWH_PHASE_EVENT_LISTENING);
	wwh_entry_log_start(entry->log);
	wwh_entry_control_start(entry->control);
	wwh_entry_fleet_start(entry->fleet);
	return WWH_STATUS_OK;
}

int32_t wwh_entry_finish(wwh_entry_t *entry)
{
	const wwh_settings_t *settings = entry->settings;
	int32_t cut_off;

	wwh_entry_phase_event(entry, WWH_PHASE_EVENT_STOP);
	if (wwh_entry_phase(entry) == WWH_PHASE_NOT_READY) {
		g_usleep((gulong)settings->ready_off_ms * MILLISECOND_US);
		wwh_entry_phase_event(entry, WWH_PHASE_EVENT_BALANCER_LEFT);
	}
	cut_off = wwh_listener_drain(entry->caller_listener,
				     settings->drain_limit_ms);
	wwh_entry_phase_event(entry, WWH_PHASE_EVENT_IDLE);
	wwh_entry_fleet_finish(entry->fleet);
	wwh_entry_control_finish(entry->control);
	wwh_intent_writer_finish(entry->intent_writer, LEASES_RETURN_LIMIT_MS);
	wwh_entry_phase_event(entry, WWH_PHASE_EVENT_LEASES_RETURNED);
	wwh_entry_peers_finish(entry->peers);
	wwh_entry_log_finish(entry->log);
	wwh_listener_drain(entry->operator_listener, LEASES_RETURN_LIMIT_MS);
	return cut_off;
}

void wwh_entry_delete(wwh_entry_t *entry)
{
	if (entry == NULL)
		return;
	wwh_listener_delete(entry->caller_listener);
	wwh_listener_delete(entry->operator_listener);
	wwh_entry_control_delete(entry->control);
	wwh_entry_fleet_delete(entry->fleet);
	wwh_entry_peers_delete(entry->peers);
	wwh_seats_delete(entry->seats);
	wwh_intent_writer_delete(entry->intent_writer);
	wwh_entry_log_delete(entry->log);
	wwh_request_table_delete(entry->requests);
	wwh_upstream_delete(entry->upstream);
	wwh_platform_http_delete(entry->platform_http);
	if (entry->config != NULL)
		wwh_config_unref(entry->config);
	wwh_intents_delete(entry->intents);
	wwh_state_delete(entry->state);
	wwh_chart_delete(entry->phase_chart);
	wwh_chart_delete(entry->request_chart);
	wwh_counters_delete(entry->counters);
	g_mutex_clear(&entry->state_lock);
	g_free(entry->author);
	g_free(entry);
}

int32_t wwh_entry_caller_port(const wwh_entry_t *entry)
{
	return wwh_listener_port(entry->caller_listener);
}

int32_t wwh_entry_operator_port(const wwh_entry_t *entry)
{
	return wwh_listener_port(entry->operator_listener);
}

int64_t wwh_now_ms(void)
{
	return g_get_monotonic_time() / MILLISECOND_US;
}

void wwh_entry_phase_event(wwh_entry_t *entry, wwh_phase_event_t event)
{
	wwh_chart_result_t result;
	int32_t before;
	int32_t after;

	g_mutex_lock(&entry->state_lock);
	before = entry->phase.state;
	result = wwh_chart_step(&entry->phase, event, wwh_now_ms(), entry);
	after = entry->phase.state;
	g_mutex_unlock(&entry->state_lock);
	if (result == WWH_CHART_STEPPED && before != after)
		g_message("%s: %s, was %s", entry->author,
			  wwh_phase_names[after], wwh_phase_names[before]);
}

wwh_phase_t wwh_entry_phase(wwh_entry_t *entry)
{
	wwh_phase_t phase;

	g_mutex_lock(&entry->state_lock);
	phase = (wwh_phase_t)entry->phase.state;
	g_mutex_unlock(&entry->state_lock);
	return phase;
}

wwh_config_t *wwh_entry_config(wwh_entry_t *entry)
{
	wwh_config_t *config = NULL;

	g_mutex_lock(&entry->state_lock);
	if (entry->config != NULL)
		config = wwh_config_ref(entry->config);
	g_mutex_unlock(&entry->state_lock);
	return config;
}

void wwh_entry_apply_replayed_config(wwh_entry_t *entry)
{
	put_in_force(entry, wwh_state_config(entry->state),
		     wwh_state_config_author(entry->state));
}

bool wwh_entry_apply_peer_config(wwh_entry_t *entry, const wwh_config_t *config,
				 const char *from)
{
	bool taken;

	g_mutex_lock(&entry->state_lock);
	taken = put_in_force(entry, config, from);
	g_mutex_unlock(&entry->state_lock);
	return taken;
}

int64_t wwh_entry_config_version(wwh_entry_t *entry)
{
	int64_t version = 0;

	g_mutex_lock(&entry->state_lock);
	if (entry->config != NULL)
		version = wwh_config_version(entry->config);
	g_mutex_unlock(&entry->state_lock);
	return version;
}

char *wwh_entry_author_name(const char *process_id, uint64_t incarnation)
{
	return g_strdup_printf("%s/%" G_GUINT64_FORMAT, process_id,
			       incarnation);
}

static wwh_status_t load_charts(wwh_entry_t *entry, wwh_message_t *message)
{
	wwh_chart_table_t phases = {
		.events = wwh_phase_event_names,
		.event_count = WWH_PHASE_EVENT_COUNT,
		.states = wwh_phase_names,
		.state_count = WWH_PHASE_COUNT,
	};
	wwh_chart_table_t requests = { 0 };
	wwh_status_t status;

	requests.events = wwh_request_event_names(&requests.event_count);
	status = wwh_chart_load("entry", &phases, &entry->phase_chart, message);
	if (status != WWH_STATUS_OK)
		return status;
	entry->phase = wwh_chart_start(entry->phase_chart);
	return wwh_chart_load("request", &requests, &entry->request_chart,
			      message);
}

static wwh_status_t open_platform(wwh_entry_t *entry, wwh_message_t *message)
{
	wwh_platform_http_options_t options;
	wwh_status_t status;

	wwh_platform_http_options_defaults(&options);
	options.base_url = entry->settings->platform_url;
	entry->platform_http = wwh_platform_http_new(&options);
	status = wwh_platform_http_init(entry->platform_http, message);
	if (status == WWH_STATUS_OK)
		wwh_platform_http_interface(entry->platform_http,
					    &entry->platform);
	return status;
}

static wwh_status_t listen_on(wwh_entry_t *entry, const char *name,
			      const char *endpoint,
			      wwh_listener_handler_t handler,
			      wwh_listener_t **listener, wwh_message_t *message)
{
	const wwh_settings_t *settings = entry->settings;
	wwh_listener_options_t options = wwh_listener_options_defaults();
	char *address = NULL;
	wwh_status_t status;

	if (!wwh_endpoint_split(endpoint, &address, &options.port)) {
		wwh_message_set(message, "%s: not an address and port",
				endpoint);
		return WWH_STATUS_BAD_ARGUMENT;
	}
	options.name = name;
	options.address = address;
	options.handler = handler;
	options.client_data = entry;
	options.thread_stack_kb = settings->thread_stack_kb;
	options.max_header_bytes = settings->max_header_bytes;
	options.idle_timeout_s = MAX(settings->idle_timeout_ms / 1000, 1);
	if (handler == wwh_entry_handle_caller) {
		options.max_requests = settings->max_requests;
		options.max_connections = settings->max_connections;
		options.max_body_bytes = settings->max_body_bytes;
	} else {
		options.max_requests = OPERATOR_REQUESTS_MAX;
		options.max_connections = 2 * OPERATOR_REQUESTS_MAX;
		options.max_body_bytes = OPERATOR_BODY_MAX;
	}
	*listener = wwh_listener_new(&options, entry->counters);
	status = wwh_listener_init(*listener, message);
	g_free(address);
	return status;
}

/*
 * Versions only grow, wherever they come from: what a peer told is not undone
 * by an older version that the log is replayed to later.
 */
static bool put_in_force(wwh_entry_t *entry, const wwh_config_t *config,
			 const char *author)
{
	int64_t version = wwh_config_version(config);

	if (version == 0 || (entry->config != NULL &&
			     wwh_config_version(entry->config) >= version))
		return false;
	if (entry->config != NULL)
		wwh_config_unref(entry->config);
	entry->config = wwh_config_ref(config);
	wwh_request_table_configure(entry->requests, entry->config);
	g_message("configuration %" G_GINT64_FORMAT " by %s is in force",
		  version, author);
	return true;
}

static void make_counters(wwh_entry_t *entry)
{
	char *name;

	for (int32_t i = 0; i < WWH_ERROR_COUNT; i++) {
		name = g_strdup_printf("answers.%s",
				       i == WWH_ERROR_NONE
					       ? "answered"
					       : wwh_error_kind_names[i]);
		entry->answers[i] = wwh_counters_get(entry->counters, name);
		g_free(name);
	}
	for (int32_t i = 0; i < WWH_VERDICT_COUNT; i++) {
		name = g_strdup_printf("verdicts.%s", wwh_verdict_names[i]);
		entry->verdicts[i] = wwh_counters_get(entry->counters, name);
		g_free(name);
	}
	entry->buffered_bytes =
		wwh_counters_get(entry->counters, "callers.buffered_bytes");
	entry->not_run_denied =
		wwh_counters_get(entry->counters, "answers.not_run_denied");
}

static wwh_status_t append_intents(const wwh_record_t *record,
				   void *client_data)
{
	wwh_entry_t *entry = client_data;
	int64_t offset;

	return wwh_entry_log_append(entry->log, WWH_STREAM_INTENTS, record,
				    entry->settings->log_append_timeout_ms,
				    &offset);
}

static void intent_failed(int64_t sequence, void *client_data)
{
	wwh_entry_t *entry = client_data;

	wwh_request_table_intent_failed(entry->requests, (uint64_t)sequence);
}
