#include "private/entry_report.h"

#include "private/entry_fleet.h"
#include "private/entry_peers.h"
#include "private/request_table.h"

static void report_pools(wwh_entry_t *entry, JsonBuilder *builder);
static void report_pool(const wwh_pool_view_t *pool, JsonBuilder *builder);
static void report_waves(wwh_entry_t *entry, JsonBuilder *builder);
static bool report_wave(const wwh_wave_view_t *wave, void *client_data);
static void report_leases(wwh_entry_t *entry, JsonBuilder *builder);
static bool report_worker(const wwh_worker_view_t *worker, void *client_data);
static void report_counter(const char *name, int64_t value, void *client_data);
static void report_members(wwh_entry_t *entry, JsonBuilder *builder);
static void report_fleet(wwh_entry_t *entry, JsonBuilder *builder);

void wwh_json_string(JsonBuilder *builder, const char *name, const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

void wwh_json_int(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

void wwh_json_bool(JsonBuilder *builder, const char *name, bool value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_boolean_value(builder, value);
}

void wwh_entry_report_status(wwh_entry_t *entry, JsonBuilder *builder)
{
	wwh_phase_t phase = wwh_entry_phase(entry);

	wwh_json_string(builder, "process", entry->settings->process_id);
	wwh_json_string(builder, "incarnation", entry->author);
	wwh_json_string(builder, "zone", entry->settings->zone);
	wwh_json_string(builder, "region", entry->settings->region);
	wwh_json_bool(builder, "ready", phase == WWH_PHASE_READY);
	wwh_json_string(builder, "phase", wwh_phase_names[phase]);
	wwh_json_int(builder, "control_offset",
		     wwh_entry_log_offset(entry->log, WWH_STREAM_CONTROL));
	wwh_json_int(builder, "intents_offset",
		     wwh_entry_log_offset(entry->log, WWH_STREAM_INTENTS));
	report_members(entry, builder);
	g_mutex_lock(&entry->state_lock);
	wwh_json_int(builder, "config_version",
		     entry->config != NULL ? wwh_config_version(entry->config)
					   : 0);
	wwh_json_int(builder, "config_offset",
		     wwh_state_config_offset(entry->state));
	wwh_json_string(builder, "config_author",
			wwh_state_config_author(entry->state));
	report_pools(entry, builder);
	report_waves(entry, builder);
	g_mutex_unlock(&entry->state_lock);
}

void wwh_entry_report_dump(wwh_entry_t *entry, JsonBuilder *builder)
{
	wwh_json_int(builder, "requests_waiting",
		     wwh_request_table_waiting(entry->requests));
	wwh_json_int(builder, "requests_running",
		     wwh_request_table_running(entry->requests));
	g_mutex_lock(&entry->state_lock);
	report_leases(entry, builder);
	json_builder_set_member_name(builder, "workers_out");
	json_builder_begin_array(builder);
	wwh_state_each_worker(entry->state, report_worker, builder);
	json_builder_end_array(builder);
	g_mutex_unlock(&entry->state_lock);
	report_fleet(entry, builder);
	json_builder_set_member_name(builder, "dispatch");
	json_builder_begin_object(builder);
	wwh_request_table_dump(entry->requests, report_counter, builder);
	json_builder_end_object(builder);
	json_builder_set_member_name(builder, "counters");
	json_builder_begin_object(builder);
	wwh_counters_each(entry->counters, report_counter, builder);
	json_builder_end_object(builder);
}

static void report_fleet(wwh_entry_t *entry, JsonBuilder *builder)
{
	char *text = wwh_entry_fleet_dump(entry->fleet);
	JsonNode *node = json_from_string(text, NULL);

	json_builder_set_member_name(builder, "fleet");
	if (node != NULL)
		json_builder_add_value(builder, node);
	else
		json_builder_add_null_value(builder);
	g_free(text);
}

static void report_members(wwh_entry_t *entry, JsonBuilder *builder)
{
	json_builder_set_member_name(builder, "members");
	json_builder_begin_array(builder);
	wwh_entry_peers_report(entry->peers, builder);
	json_builder_end_array(builder);
}

static void report_pools(wwh_entry_t *entry, JsonBuilder *builder)
{
	const wwh_config_t *config = wwh_state_config(entry->state);

	json_builder_set_member_name(builder, "pools");
	json_builder_begin_array(builder);
	for (int32_t i = 0; i < wwh_config_pool_count(config); i++) {
		wwh_pool_view_t pool;

		if (wwh_state_pool(entry->state,
				   wwh_config_pool_at(config, i)->id, &pool))
			report_pool(&pool, builder);
	}
	json_builder_end_array(builder);
}

static void report_pool(const wwh_pool_view_t *pool, JsonBuilder *builder)
{
	json_builder_begin_object(builder);
	wwh_json_string(builder, "id", pool->declared->id);
	wwh_json_int(builder, "workers", pool->members);
	wwh_json_int(builder, "out", pool->granted);
	wwh_json_int(builder, "failed", pool->failed);
	wwh_json_int(builder, "budget", pool->limit);
	wwh_json_int(builder, "held_back", pool->reserve);
	wwh_json_string(builder, "reserve_for",
			wwh_domain_names[pool->declared->reserve]);
	json_builder_end_object(builder);
}

static void report_waves(wwh_entry_t *entry, JsonBuilder *builder)
{
	json_builder_set_member_name(builder, "waves");
	json_builder_begin_array(builder);
	wwh_state_each_wave(entry->state, report_wave, builder);
	json_builder_end_array(builder);
}

static bool report_wave(const wwh_wave_view_t *wave, void *client_data)
{
	JsonBuilder *builder = client_data;

	json_builder_begin_object(builder);
	wwh_json_string(builder, "id", wave->id);
	wwh_json_string(builder, "pool", wave->pool);
	wwh_json_string(builder, "state", wwh_wave_phase_names[wave->phase]);
	wwh_json_string(builder, "reason", wave->reason);
	wwh_json_int(builder, "workers", wave->worker_count);
	wwh_json_int(builder, "done", wave->done_count);
	json_builder_end_object(builder);
	return true;
}

static void report_leases(wwh_entry_t *entry, JsonBuilder *builder)
{
	json_builder_set_member_name(builder, "leases");
	json_builder_begin_array(builder);
	for (int32_t i = 0; i < WWH_SHARD_COUNT; i++) {
		wwh_lease_view_t lease = wwh_state_lease(entry->state, i);

		if (!lease.held)
			continue;
		json_builder_begin_object(builder);
		wwh_json_int(builder, "shard", i);
		wwh_json_string(builder, "holder", lease.holder);
		wwh_json_int(builder, "fence", lease.fence);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static bool report_worker(const wwh_worker_view_t *worker, void *client_data)
{
	JsonBuilder *builder = client_data;

	if (!worker->lost && worker->move < 0)
		return true;
	json_builder_begin_object(builder);
	wwh_json_string(builder, "id", worker->id);
	wwh_json_string(builder, "pool", worker->pool);
	wwh_json_int(builder, "grant", worker->grant);
	wwh_json_string(builder, "owner", worker->grant_owner);
	wwh_json_int(builder, "failed", worker->failed);
	wwh_json_string(builder, "move_to", worker->move_to);
	json_builder_end_object(builder);
	return true;
}

static void report_counter(const char *name, int64_t value, void *client_data)
{
	wwh_json_int(client_data, name, value);
}
