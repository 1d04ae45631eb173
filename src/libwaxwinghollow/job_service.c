#include "waxwinghollow/job_service.h"

#include <string.h>
#include <time.h>

#include "private/job_service_state.h"
#include "wire_operator.h"
#include "wire_store.h"

#define GROUP "waxwinghollow"
#define PRODUCER "waxwinghollow"
#define JOURNAL_PART 0
#define NOTICE_PART 1

/* Silence after which the group replaces a process. */
#define MEMBER_TTL_MS 1000

/*
 * Of a core, below which a process leaves the shard to others: a holder of
 * some 350 upstreams and 100 jobs a second was measured to need a third of a
 * core at most and a tenth on average.
 */
#define HOLDER_PERMILLE 200

/* Of a read of the operator's records; a silent connection costs so much. */
#define OPERATOR_WAIT_MS 1200

/* The loop of a process that holds nothing. */
#define IDLE_WAIT_MS 100

/*
 * The loop runs several times a second. After a gap like this, or a time
 * that the host was suspended, this process may have been replaced.
 */
#define STOOD_STILL_MS 900

/* The balancer asks for readiness each second and needs two refusals. */
#define BALANCER_NOTICES_MS 2200

/* Of the grace period: left for the loop to settle and the process to end. */
#define END_RESERVE_MS 1500

/* From the last answer's making until it is written. */
#define LAST_ANSWERS_MS 300

/* Bounds of the log: a day's lines are read by people. */
#define LOG_LINES_PER_S 400
#define LOG_BYTES_PER_S 80000

#define MILLISECOND_NS 1000000
#define SECOND_MS 1000
#define MAX_BODY_BYTES 1048576

static gpointer run_loop(gpointer data);
static void run_once(wwh_job_service_t *service);
static bool stood_still(wwh_job_service_t *service, int64_t now_ms);
static void take_settings(wwh_job_service_t *service);
static void make_calls(wwh_job_service_t *service);
static wwh_listener_t *make_listener(wwh_job_service_t *service,
				     const char *name, const wwh_endpoint_t *at,
				     wwh_listener_handler_t handler);
static void on_operator_record(const char *key, const uint8_t *value,
			       size_t size, void *data);
static void on_nameless_record(int64_t offset, const char *why, void *data);
static void take_wave(wwh_job_service_t *service, const char *key,
		      const uint8_t *value, size_t size);
static void take_config(wwh_job_service_t *service, const char *key,
			const uint8_t *value, size_t size);
static wwh_bad_records_t *make_bad_records(wwh_job_service_t *service,
					   const char *list);
static void on_reach(bool reached, const char *why, void *data);
static void on_held(const wwh_held_t *held, void *data);
static void on_lost(const char *why, void *data);
static void on_holder(const char *address, int64_t epoch, void *data);
static void explain_claim(const char *event, const char *detail, void *data);
static void give_waves(wwh_job_service_t *service);
static bool is_settled(const wwh_job_service_t *service);

int64_t job_service_now_ms(void)
{
	struct timespec time;

	/* goes on while the host is suspended, as leases do */
	clock_gettime(CLOCK_BOOTTIME, &time);
	return (int64_t)time.tv_sec * SECOND_MS + time.tv_nsec / MILLISECOND_NS;
}

int64_t job_service_wall_ms(void)
{
	return g_get_real_time() / G_TIME_SPAN_MILLISECOND;
}

static void make_histograms(wwh_job_service_t *service)
{
	for (int32_t i = 0; i < JOB_REQUEST_KIND_COUNT; i++) {
		char *name = g_strdup_printf("caller.%s_ms",
					     job_request_kind_names[i]);

		service->answer_ms[i] =
			wwh_counters_histogram(service->counters, name);
		g_free(name);
	}
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
		.now_ms = job_service_now_ms,
		.wall_ms = job_service_wall_ms,
	};

	service->settings = *settings;
	g_mutex_init(&service->lock);
	service->counters = wwh_counters_new();
	make_histograms(service);
	service->log = wwh_event_log_new(&log, service->counters);
	service->bad_orders = make_bad_records(service, "operator");
	service->bad_claims = make_bad_records(service, "shard");
	service->requests = g_async_queue_new();
	service->forwards = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	service->waves = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       (GDestroyNotify)g_bytes_unref);
	service->self = g_strdup_printf("%s:%d", settings->peers.address,
					settings->peers.port);
	service->calls = wwh_http_calls_new(service->counters);
	return service;
}

wwh_status_t wwh_job_service_init(wwh_job_service_t *service,
				  wwh_message_t *message)
{
	wwh_host_settings_t *settings = &service->settings;

	make_calls(service);
	service->callers = make_listener(service, "callers", &settings->callers,
					 job_service_on_caller);
	service->readiness =
		make_listener(service, "readiness", &settings->readiness,
			      job_service_on_readiness);
	service->peers = make_listener(service, "peers", &settings->peers,
				       job_service_on_peer);
	if (wwh_listener_init(service->peers, message) != WWH_STATUS_OK ||
	    wwh_listener_init(service->readiness, message) != WWH_STATUS_OK ||
	    wwh_listener_init(service->callers, message) != WWH_STATUS_OK)
		return WWH_STATUS_IO;
	service->last_run_ms = job_service_now_ms();
	service->thread = g_thread_new("loop", run_loop, service);
	wwh_event_log_printf(service->log, "started", settings->name,
			     "callers=%s:%d peers=%s store=%s zone=%s",
			     settings->callers.address, settings->callers.port,
			     service->self, settings->store,
			     settings->zone == NULL ? "-" : settings->zone);
	return WWH_STATUS_OK;
}

void wwh_job_service_reload(wwh_job_service_t *service,
			    const wwh_host_settings_t *settings)
{
	wwh_host_settings_t *next = g_new(wwh_host_settings_t, 1);

	*next = *settings;
	g_mutex_lock(&service->lock);
	if (service->settings_next != NULL) {
		wwh_host_settings_clear(service->settings_next);
		g_free(service->settings_next);
	}
	service->settings_next = next;
	g_mutex_unlock(&service->lock);
	wwh_http_calls_wake(service->calls);
}

/*
 * Readiness goes off first; requests are still taken while the balancer
 * notices. Then the listeners drain, and the loop, which they need for their
 * answers, ends last.
 */
int32_t wwh_job_service_finish(wwh_job_service_t *service)
{
	int64_t give_up_ms = job_service_now_ms() + service->settings.grace_ms -
			     END_RESERVE_MS;
	int32_t cut_off;

	wwh_event_log_write(service->log, "stopping", service->settings.name,
			    "why=signal");
	g_mutex_lock(&service->lock);
	service->stopping = true;
	service->give_up_ms = give_up_ms;
	g_mutex_unlock(&service->lock);
	wwh_http_calls_wake(service->calls);
	g_usleep(MIN(BALANCER_NOTICES_MS, service->settings.grace_ms / 3) *
		 G_TIME_SPAN_MILLISECOND);
	cut_off = wwh_listener_drain(
		service->callers,
		MAX(give_up_ms + LAST_ANSWERS_MS - job_service_now_ms(), 0));
	g_mutex_lock(&service->lock);
	service->ending = true;
	g_mutex_unlock(&service->lock);
	wwh_http_calls_wake(service->calls);
	g_thread_join(service->thread);
	service->thread = NULL;
	/* what peers have sent since then */
	job_service_end_requests(service);
	(void)wwh_listener_drain(service->peers, 0);
	(void)wwh_listener_drain(service->readiness, 0);
	wwh_event_log_printf(service->log, "stopped", service->settings.name,
			     "cut_off=%d", cut_off);
	return cut_off;
}

void wwh_job_service_delete(wwh_job_service_t *service)
{
	if (service == NULL)
		return;
	wwh_listener_delete(service->callers);
	wwh_listener_delete(service->readiness);
	wwh_listener_delete(service->peers);
	wwh_job_holder_delete(service->holder);
	wwh_job_holder_delete(service->lost_holder);
	wwh_shard_claim_delete(service->claim);
	wwh_store_follower_delete(service->operator_records);
	wwh_http_calls_delete(service->calls);
	g_async_queue_unref(service->requests);
	g_hash_table_destroy(service->forwards);
	g_hash_table_destroy(service->waves);
	wwh_job_config_unref(service->config);
	wwh_bad_records_delete(service->bad_orders);
	wwh_bad_records_delete(service->bad_claims);
	wwh_event_log_delete(service->log);
	wwh_counters_delete(service->counters);
	wwh_host_settings_clear(&service->settings);
	g_free(service->holder_address);
	g_free(service->self);
	g_mutex_clear(&service->lock);
	g_free(service);
}

bool wwh_job_service_ready(wwh_job_service_t *service)
{
	bool ready;

	g_mutex_lock(&service->lock);
	ready = service->config != NULL && !service->stopping;
	g_mutex_unlock(&service->lock);
	return ready;
}

static gpointer run_loop(gpointer data)
{
	wwh_job_service_t *service = data;
	int64_t end_ms = 0;
	bool ending = false;

	while (!ending ||
	       (!is_settled(service) && job_service_now_ms() < end_ms)) {
		int32_t wait_ms = IDLE_WAIT_MS;

		if (service->holder != NULL)
			wait_ms = wwh_job_holder_wait_ms(service->holder);
		wwh_http_calls_poll(service->calls, wait_ms);
		run_once(service);
		g_mutex_lock(&service->lock);
		if (service->ending && !ending) {
			ending = true;
			end_ms = job_service_now_ms() + END_RESERVE_MS / 2;
		}
		g_mutex_unlock(&service->lock);
	}
	return NULL;
}

static void run_once(wwh_job_service_t *service)
{
	int64_t now_ms = job_service_now_ms();
	bool suspended = stood_still(service, now_ms);
	bool stopping;
	bool reaches_store;
	bool orders_hosts;
	bool gives_up;

	take_settings(service);
	wwh_store_follower_run(service->operator_records, now_ms);
	g_mutex_lock(&service->lock);
	stopping = service->stopping;
	gives_up = stopping && !service->ended && now_ms >= service->give_up_ms;
	g_mutex_unlock(&service->lock);
	if (service->holder != NULL) {
		if (stopping)
			wwh_job_holder_stop_duties(service->holder);
		wwh_job_holder_run(service->holder, now_ms,
				   job_service_wall_ms(), suspended);
	}
	job_service_take_requests(service);
	if (gives_up)
		job_service_end_requests(service);
	if (stopping && service->holder != NULL &&
	    wwh_job_holder_settled(service->holder)) {
		/* the next holder goes on at once, as nothing is on its way */
		service->lost_holder = g_steal_pointer(&service->holder);
	}
	if (stopping && service->holder == NULL)
		wwh_shard_claim_give_up(service->claim, now_ms);
	wwh_shard_claim_run(service->claim, now_ms);
	if (service->lost_holder != NULL) {
		wwh_job_holder_delete(service->lost_holder);
		service->lost_holder = NULL;
	}
	reaches_store = service->holder != NULL &&
			wwh_job_holder_reaches_store(service->holder, now_ms);
	orders_hosts = service->holder != NULL &&
		       wwh_job_holder_orders_hosts(service->holder);
	g_mutex_lock(&service->lock);
	service->holds = service->holder != NULL;
	service->claims = wwh_shard_claim_in_progress(service->claim);
	service->orders_hosts = orders_hosts;
	service->reaches_store = reaches_store;
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
		make_calls(service);
	} else if (service->holder == NULL) {
		wwh_host_settings_clear(&service->settings);
		service->settings = *next;
	} else {
		/* a holder keeps the settings that it began with */
		wwh_host_settings_clear(next);
	}
	g_free(next);
}

static void make_calls(wwh_job_service_t *service)
{
	wwh_shard_claim_options_t claim = {
		.calls = service->calls,
		.store = service->settings.store,
		.topic = WIRE_TOPIC_JOBS,
		.journal_part = JOURNAL_PART,
		.notice_part = NOTICE_PART,
		.group = GROUP,
		.self = service->self,
		.producer = PRODUCER,
		.reluctant = service->settings.cpu_permille < HOLDER_PERMILLE,
		.member_ttl_ms =
			MAX(MEMBER_TTL_MS, service->settings.member_min_ms),
		.bad_records = service->bad_claims,
		.on_held = on_held,
		.on_holder = on_holder,
		.explain = explain_claim,
		.client_data = service,
	};
	wwh_store_follower_options_t records = {
		.calls = service->calls,
		.endpoint = service->settings.store,
		.topic = WIRE_TOPIC_OPERATOR,
		.wait_ms = OPERATOR_WAIT_MS,
		.on_record = on_operator_record,
		.on_nameless = on_nameless_record,
		.on_reach = on_reach,
		.client_data = service,
	};

	service->claim = wwh_shard_claim_new(&claim);
	service->operator_records = wwh_store_follower_new(&records);
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

static void on_operator_record(const char *key, const uint8_t *value,
			       size_t size, void *data)
{
	wwh_job_service_t *service = data;

	if (value == NULL)
		wwh_bad_records_gone(service->bad_orders, key);
	else if (wire_operator_is_config(key))
		take_config(service, key, value, size);
	else if (wire_operator_is_wave(key))
		take_wave(service, key, value, size);
}

static void on_nameless_record(int64_t offset, const char *why, void *data)
{
	wwh_job_service_t *service = data;
	char *key = g_strdup_printf("(offset %" G_GINT64_FORMAT ")", offset);

	wwh_bad_records_found(service->bad_orders, key, why);
	g_free(key);
}

/* An order that can't be read leaves the one before as it is. */
static void take_wave(wwh_job_service_t *service, const char *key,
		      const uint8_t *value, size_t size)
{
	wwh_message_t why;
	wwh_wave_order_t *order = wire_operator_wave(key, value, size, &why);

	if (order == NULL) {
		wwh_bad_records_found(service->bad_orders, key, why.text);
		return;
	}
	wwh_wave_order_delete(order);
	wwh_bad_records_whole(service->bad_orders, key);
	g_hash_table_replace(service->waves, g_strdup(key),
			     g_bytes_new(value, size));
	if (service->holder != NULL)
		wwh_job_holder_wave(service->holder, key, value, size);
}

/*
 * Put in force without the rows that can't be read, a configuration would have
 * callers told that their queue doesn't exist; the one before goes on.
 */
static void take_config(wwh_job_service_t *service, const char *key,
			const uint8_t *value, size_t size)
{
	wwh_message_t why = { "version isn't a number above 0" };
	wwh_job_config_t *config = wire_operator_config(value, size, &why);
	bool newer;

	if (config == NULL) {
		wwh_bad_records_found(service->bad_orders, key, why.text);
		return;
	}
	wwh_bad_records_whole(service->bad_orders, key);
	g_mutex_lock(&service->lock);
	newer = service->config == NULL ||
		config->version > service->config->version;
	if (newer) {
		wwh_job_config_unref(service->config);
		service->config = wwh_job_config_ref(config);
	}
	g_mutex_unlock(&service->lock);
	wwh_event_log_printf(service->log, "config", "config",
			     "version=%" G_GINT64_FORMAT " queues=%u taken=%d",
			     config->version, config->queues->len, newer);
	if (newer && service->holder != NULL)
		wwh_job_holder_set_config(service->holder, config);
	wwh_job_config_unref(config);
}

static void on_reach(bool reached, const char *why, void *data)
{
	wwh_job_service_t *service = data;

	wwh_event_log_printf(service->log,
			     reached ? "store-regained" : "store-lost",
			     "operator", "result=%s", why);
}

static void on_held(const wwh_held_t *held, void *data)
{
	wwh_job_service_t *service = data;
	wwh_job_holder_options_t options = {
		.settings = &service->settings,
		.calls = service->calls,
		.counters = service->counters,
		.log = service->log,
		.topic = WIRE_TOPIC_JOBS,
		.journal_part = JOURNAL_PART,
		.producer = PRODUCER,
		.epoch = held->epoch,
		.holder_count = held->holder_count,
		.next_sequence = held->next_sequence,
		.records = held->records,
		.others_at_work = held->others_at_work,
		.others_ended = held->others_ended,
		.clock_ms = job_service_now_ms,
		.wall_ms = job_service_wall_ms(),
		.on_lost = on_lost,
		.client_data = service,
	};

	g_assert(service->holder == NULL);
	service->holder = wwh_job_holder_new(&options);
	g_mutex_lock(&service->lock);
	if (service->config != NULL)
		wwh_job_holder_set_config(service->holder, service->config);
	g_mutex_unlock(&service->lock);
	give_waves(service);
}

/* Called by the holder itself, which the loop then deletes. */
static void on_lost(const char *why, void *data)
{
	wwh_job_service_t *service = data;

	if (service->holder == NULL)
		return;
	wwh_event_log_printf(service->log, "shard-lost", "shard", "why=%s",
			     why);
	service->lost_holder = g_steal_pointer(&service->holder);
	wwh_shard_claim_lost(service->claim, job_service_now_ms());
}

static void on_holder(const char *address, int64_t epoch, void *data)
{
	wwh_job_service_t *service = data;

	wwh_event_log_printf(service->log, "holder", "shard",
			     "address=%s epoch=%" G_GINT64_FORMAT,
			     address == NULL ? "-" : address, epoch);
	g_free(service->holder_address);
	service->holder_address = g_strdup(address);
	if (service->holder != NULL && address != NULL &&
	    strcmp(address, service->self) != 0)
		on_lost("another-holder-is-known", service);
}

static void explain_claim(const char *event, const char *detail, void *data)
{
	wwh_job_service_t *service = data;

	wwh_event_log_write(service->log, event, "shard", detail);
}

static void give_waves(wwh_job_service_t *service)
{
	GHashTableIter iterator;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iterator, service->waves);
	while (g_hash_table_iter_next(&iterator, &key, &value)) {
		gsize size;
		const uint8_t *data = g_bytes_get_data(value, &size);

		wwh_job_holder_wave(service->holder, key, data, size);
	}
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

static bool is_settled(const wwh_job_service_t *service)
{
	return service->holder == NULL &&
	       g_hash_table_size(service->forwards) == 0 &&
	       wwh_shard_claim_given_up(service->claim);
}
