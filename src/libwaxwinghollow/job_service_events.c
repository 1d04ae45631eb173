#include <string.h>

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
 * Share of a core below which a process leaves the shard to others. A holder
 * with some 350 upstreams and 100 jobs a second needs up to a third of a core,
 * and a tenth on average.
 */
#define HOLDER_MIN_CPU_PERMILLE 200

/*
 * How long the store may wait in a read of the operator's records. A silent
 * connection delays the next read by about this time, so that a configuration is
 * still in force in time. Each process makes a call after each wait.
 */
#define OPERATOR_READ_WAIT_MIN_MS 1200
#define OPERATOR_READ_WAIT_PERCENT 45 /* of the time to put it in force */

/* Longest time from the end of that wait until a silent store is detected. */
#define OPERATOR_SILENCE_MARGIN_MS 1200

static int64_t operator_read_wait_ms(const wwh_job_service_t *service);
static void on_operator_record(const char *key, const uint8_t *value,
			       size_t size, void *data);
static void on_unkeyed_record(int64_t offset, const char *why, void *data);
static void apply_wave(wwh_job_service_t *service, const char *key,
		       const uint8_t *value, size_t size);
static void apply_config(wwh_job_service_t *service, const char *key,
			 const uint8_t *value, size_t size);
static void on_store_reachability(bool reached, const char *why, void *data);
static void on_shard_held(const wwh_shard_holding_t *held, void *data);
static void on_shard_lost(const char *why, void *data);
static void on_holder_changed(const char *address, int64_t epoch, void *data);
static void log_claim_event(const char *event, const char *detail, void *data);
static void pass_waves_to_holder(wwh_job_service_t *service);

void job_service_create_store_clients(wwh_job_service_t *service)
{
	wwh_shard_claim_options_t claim = {
		.calls = service->calls,
		.store = service->settings.store,
		.topic = WIRE_TOPIC_JOBS,
		.journal_part = JOURNAL_PART,
		.notice_part = NOTICE_PART,
		.group = GROUP,
		.self = service->own_address,
		.producer = PRODUCER,
		.link_kbps = service->settings.link_kbps,
		.is_standby = service->settings.cpu_permille <
			      HOLDER_MIN_CPU_PERMILLE,
		.member_ttl_ms =
			MAX(MEMBER_TTL_MS, service->settings.member_ttl_min_ms),
		.bad_records = service->bad_claims,
		.on_held = on_shard_held,
		.on_holder = on_holder_changed,
		.explain = log_claim_event,
		.client_data = service,
	};
	wwh_store_follower_options_t records = {
		.calls = service->calls,
		.endpoint = service->settings.store,
		.topic = WIRE_TOPIC_OPERATOR,
		.wait_ms = operator_read_wait_ms(service),
		.link_kbps = service->settings.link_kbps,
		.on_record = on_operator_record,
		.on_unreadable_key = on_unkeyed_record,
		.on_reach = on_store_reachability,
		.client_data = service,
	};

	service->claim = wwh_shard_claim_new(&claim);
	service->operator_records = wwh_store_follower_new(&records);
}

static int64_t operator_read_wait_ms(const wwh_job_service_t *service)
{
	return MAX(OPERATOR_READ_WAIT_MIN_MS,
		   service->settings.config_apply_ms *
			   OPERATOR_READ_WAIT_PERCENT / 100);
}

static void on_operator_record(const char *key, const uint8_t *value,
			       size_t size, void *data)
{
	wwh_job_service_t *service = data;

	if (value == NULL)
		wwh_bad_records_mark_removed(service->bad_operator_records,
					     key);
	else if (wire_operator_is_config_key(key))
		apply_config(service, key, value, size);
	else if (wire_operator_is_wave_key(key))
		apply_wave(service, key, value, size);
}

static void on_unkeyed_record(int64_t offset, const char *why, void *data)
{
	wwh_job_service_t *service = data;
	char *key = g_strdup_printf("(offset %" G_GINT64_FORMAT ")", offset);

	wwh_bad_records_mark_unreadable(service->bad_operator_records, key,
					why);
	g_free(key);
}

/* If the order can't be read, the previous one stays in force. */
static void apply_wave(wwh_job_service_t *service, const char *key,
		       const uint8_t *value, size_t size)
{
	wwh_message_t why;
	wwh_wave_order_t *order =
		wire_operator_parse_wave(key, value, size, &why);

	if (order == NULL) {
		wwh_bad_records_mark_unreadable(service->bad_operator_records,
						key, why.text);
		return;
	}
	wwh_wave_order_delete(order);
	wwh_bad_records_mark_readable(service->bad_operator_records, key);
	g_hash_table_replace(service->waves, g_strdup(key),
			     g_bytes_new(value, size));
	if (service->holder != NULL)
		wwh_job_holder_apply_wave(service->holder, key, value, size);
}

/*
 * If any row of a configuration can't be read, the previous configuration stays
 * in force: without that row, callers would be told that their queue doesn't
 * exist.
 */
static void apply_config(wwh_job_service_t *service, const char *key,
			 const uint8_t *value, size_t size)
{
	wwh_message_t why = { "version isn't a number above 0" };
	wwh_job_config_t *config = wire_operator_parse_config(
		value, size, service->settings.checks_keys, &why);
	bool newer;

	if (config == NULL) {
		wwh_bad_records_mark_unreadable(service->bad_operator_records,
						key, why.text);
		return;
	}
	wwh_bad_records_mark_readable(service->bad_operator_records, key);
	g_mutex_lock(&service->lock);
	newer = service->config == NULL ||
		config->version > service->config->version;
	if (newer) {
		wwh_job_config_unref(service->config);
		service->config = wwh_job_config_ref(config);
	}
	wwh_outage_update(&service->config_outage,
			  service->config_unread_since_ms != 0,
			  job_service_now_ms());
	g_mutex_unlock(&service->lock);
	wwh_event_log_printf(service->log, "config", "config",
			     "version=%" G_GINT64_FORMAT " queues=%u taken=%d",
			     config->version, config->queues->len, newer);
	if (newer && service->holder != NULL)
		wwh_job_holder_set_config(service->holder, config);
	wwh_job_config_unref(config);
}

static void on_store_reachability(bool reached, const char *why, void *data)
{
	wwh_job_service_t *service = data;
	int64_t silence_ms =
		operator_read_wait_ms(service) + OPERATOR_SILENCE_MARGIN_MS;

	g_mutex_lock(&service->lock);
	/* the last answer arrived before the failed read was sent */
	service->config_unread_since_ms =
		reached ? 0 : job_service_now_ms() - silence_ms;
	wwh_outage_update(&service->config_outage,
			  !reached || service->config == NULL,
			  job_service_now_ms());
	g_mutex_unlock(&service->lock);
	wwh_event_log_printf(service->log,
			     reached ? "store-regained" : "store-lost",
			     "operator", "result=%s", why);
}

static void on_shard_held(const wwh_shard_holding_t *held, void *data)
{
	wwh_job_service_t *service = data;
	wwh_job_holder_options_t options = {
		.settings = &service->settings,
		.calls = service->calls,
		.counters = service->counters,
		.log = service->log,
		.own_address = service->own_address,
		.topic = WIRE_TOPIC_JOBS,
		.journal_part = JOURNAL_PART,
		.producer = PRODUCER,
		.epoch = held->epoch,
		.claimed_ms = held->claimed_ms,
		.claim_count = held->claim_count,
		.next_sequence = held->next_sequence,
		.records = held->records,
		.previous_holder_may_act = held->previous_holder_may_act,
		.previous_holder_ended = held->previous_holder_ended,
		.clock_ms = job_service_now_ms,
		.wall_ms = job_service_wall_ms(),
		.on_lost = on_shard_lost,
		.client_data = service,
	};

	g_assert(service->holder == NULL);
	if (service->relay != NULL)
		wwh_relay_service_raise_epoch(service->relay, held->epoch);
	service->holder = wwh_job_holder_new(&options);
	wwh_loop_lag_reset(service->lag);
	if (held->inherits_load)
		wwh_loop_lag_inherit_load(service->lag);
	g_mutex_lock(&service->lock);
	if (service->config != NULL)
		wwh_job_holder_set_config(service->holder, service->config);
	g_mutex_unlock(&service->lock);
	pass_waves_to_holder(service);
}

/*
 * Also called from within the holder, so the holder isn't deleted here; the
 * loop does so later.
 */
static void on_shard_lost(const char *why, void *data)
{
	wwh_job_service_t *service = data;

	if (job_service_detach_holder(service, why))
		wwh_shard_claim_handle_loss(service->claim,
					    job_service_now_ms());
}

bool job_service_detach_holder(wwh_job_service_t *service, const char *why)
{
	if (service->holder == NULL)
		return false;
	wwh_job_holder_log_loss(service->holder, why, job_service_now_ms());
	service->detached_holder = g_steal_pointer(&service->holder);
	return true;
}

static void on_holder_changed(const char *address, int64_t epoch, void *data)
{
	wwh_job_service_t *service = data;

	wwh_event_log_printf(service->log, "holder", "shard",
			     "address=%s epoch=%" G_GINT64_FORMAT,
			     address == NULL ? "-" : address, epoch);
	g_free(service->holder_address);
	service->holder_address = g_strdup(address);
	wwh_outage_update(&service->holder_outage, address == NULL,
			  job_service_now_ms());
	if (service->holder != NULL && address != NULL &&
	    strcmp(address, service->own_address) != 0)
		on_shard_lost("another-holder-is-known", service);
}

static void log_claim_event(const char *event, const char *detail, void *data)
{
	wwh_job_service_t *service = data;

	wwh_event_log_write(service->log, event, "shard", detail);
}

static void pass_waves_to_holder(wwh_job_service_t *service)
{
	GHashTableIter iterator;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iterator, service->waves);
	while (g_hash_table_iter_next(&iterator, &key, &value)) {
		gsize size;
		const uint8_t *data = g_bytes_get_data(value, &size);

		wwh_job_holder_apply_wave(service->holder, key, data, size);
	}
}
