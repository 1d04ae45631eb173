#include "private/config_items.h"

#include <assert.h>
#include <stddef.h>
#include <string.h>

#define COUNT(table) ((int32_t)(sizeof(table) / sizeof((table)[0])))

/* Members of numbers: type, bounds and default. */
#define NUMBER(type_, struct_, member, min, max, default_)                     \
	{                                                                      \
		.name = #member, .type = (type_),                              \
		.offset = offsetof(struct_, member), .minimum = (min),         \
		.maximum = (max), .default_number = (default_)                 \
	}
#define INT32(struct_, member, min, max, default_)                             \
	NUMBER(WWH_FIELD_INT32, struct_, member, min, max, default_)
#define INT64(struct_, member, min, max, default_)                             \
	NUMBER(WWH_FIELD_INT64, struct_, member, min, max, default_)
#define TEXT(type_, struct_, member, required_)                                \
	{                                                                      \
		.name = #member, .type = (type_),                              \
		.offset = offsetof(struct_, member), .required = (required_)   \
	}
#define ID(struct_, member) TEXT(WWH_FIELD_ID, struct_, member, true)
#define OPTIONAL_ID(struct_, member) TEXT(WWH_FIELD_ID, struct_, member, false)

#define MAX_CORES 100000
#define MAX_MEMORY_MB ((int64_t)1 << 40)
#define MAX_ACCELERATORS 100000
#define MAX_WORKERS WWH_MAX_ITEMS_PER_KIND
#define MAX_SLOTS 100000
#define MAX_BODY_BYTES ((int64_t)1 << 32)
#define MAX_DEADLINE_MS 3600000
#define MAX_SECONDS (7 * 24 * 3600)
#define MAX_WEIGHT 1000000
#define ALL_DAYS 0x7f

const char *const wwh_domain_names[WWH_DOMAIN_COUNT] = {
	"worker",
	"rack",
	"zone",
};

const char *const wwh_item_kind_names[WWH_ITEM_COUNT] = {
	"worker", "minion", "pool", "service", "team", "window", "rules",
};

static const wwh_field_t worker_fields[] = {
	ID(wwh_worker_t, id),
	TEXT(WWH_FIELD_ADDRESS, wwh_worker_t, address, true),
	ID(wwh_worker_t, rack),
	ID(wwh_worker_t, zone),
	ID(wwh_worker_t, region),
	ID(wwh_worker_t, pool),
	INT32(wwh_worker_t, cores, 1, MAX_CORES, 1),
	INT64(wwh_worker_t, memory_mb, 1, MAX_MEMORY_MB, 1024),
	INT32(wwh_worker_t, accelerators, 0, MAX_ACCELERATORS, 0),
};

static const wwh_field_t minion_fields[] = {
	ID(wwh_minion_t, id),
	ID(wwh_minion_t, service),
	OPTIONAL_ID(wwh_minion_t, worker),
	TEXT(WWH_FIELD_ADDRESS, wwh_minion_t, address, true),
	INT32(wwh_minion_t, port, 1, 65535, 80),
	OPTIONAL_ID(wwh_minion_t, zone),
	INT32(wwh_minion_t, slots, 1, MAX_SLOTS, 8),
	INT32(wwh_minion_t, connections, 1, MAX_SLOTS, 64),
};

static const wwh_field_t pool_fields[] = {
	ID(wwh_pool_t, id),
	INT32(wwh_pool_t, lose_count, 0, MAX_WORKERS, 0),
	INT32(wwh_pool_t, lose_percent, 0, 100, 100),
	INT32(wwh_pool_t, lose_per_rack, 0, MAX_WORKERS, 0),
	INT32(wwh_pool_t, lose_per_zone, 0, MAX_WORKERS, 0),
	{ .name = "reserve",
	  .type = WWH_FIELD_NAME,
	  .offset = offsetof(wwh_pool_t, reserve),
	  .maximum = WWH_DOMAIN_COUNT - 1,
	  .default_number = WWH_DOMAIN_WORKER,
	  .names = wwh_domain_names },
};

static const wwh_field_t service_fields[] = {
	ID(wwh_service_t, id),
	TEXT(WWH_FIELD_PATH, wwh_service_t, path_prefix, true),
	ID(wwh_service_t, pool),
	OPTIONAL_ID(wwh_service_t, team),
	NUMBER(WWH_FIELD_BOOL, wwh_service_t, urgent, 0, 1, 0),
	INT32(wwh_service_t, deadline_ms, 1, MAX_DEADLINE_MS, 10000),
	INT64(wwh_service_t, max_body_bytes, 0, MAX_BODY_BYTES, 1 << 20),
	INT64(wwh_service_t, max_answer_bytes, 0, MAX_BODY_BYTES, 8 << 20),
};

static const wwh_field_t team_fields[] = {
	ID(wwh_team_t, id),
	INT32(wwh_team_t, cores, 0, INT32_MAX, 0),
	INT64(wwh_team_t, memory_mb, 0, INT64_MAX, 0),
	INT32(wwh_team_t, accelerators, 0, INT32_MAX, 0),
	INT32(wwh_team_t, requests, 0, INT32_MAX, 0),
};

static const wwh_field_t window_fields[] = {
	ID(wwh_window_t, id),
	TEXT(WWH_FIELD_ANY_ID, wwh_window_t, pool, true),
	NUMBER(WWH_FIELD_DAYS, wwh_window_t, days, 0, ALL_DAYS, ALL_DAYS),
	NUMBER(WWH_FIELD_MINUTE, wwh_window_t, start_minute, 0, 24 * 60 - 1, 0),
	INT32(wwh_window_t, duration_minutes, 0, 24 * 60, 24 * 60),
};

static const wwh_field_t rules_fields[] = {
	INT32(wwh_rules_t, buffer_weight, 0, MAX_WEIGHT, 1),
	INT32(wwh_rules_t, move_weight, 0, MAX_WEIGHT, 1),
	INT32(wwh_rules_t, key_window_s, 1, MAX_SECONDS, 3600),
	INT32(wwh_rules_t, drain_limit_s, 1, MAX_SECONDS, 900),
	INT32(wwh_rules_t, return_limit_s, 1, MAX_SECONDS, 1200),
};

const wwh_item_table_t wwh_item_tables[WWH_ITEM_COUNT] = {
	{ "workers", sizeof(wwh_worker_t), worker_fields,
	  COUNT(worker_fields) },
	{ "minions", sizeof(wwh_minion_t), minion_fields,
	  COUNT(minion_fields) },
	{ "pools", sizeof(wwh_pool_t), pool_fields, COUNT(pool_fields) },
	{ "services", sizeof(wwh_service_t), service_fields,
	  COUNT(service_fields) },
	{ "teams", sizeof(wwh_team_t), team_fields, COUNT(team_fields) },
	{ "windows", sizeof(wwh_window_t), window_fields,
	  COUNT(window_fields) },
	{ "rules", sizeof(wwh_rules_t), rules_fields, COUNT(rules_fields) },
};

static_assert(sizeof(wwh_domain_t) == sizeof(int32_t),
	      "fields read and write enums as int32_t");

void *wwh_item_new(wwh_item_kind_t kind)
{
	const wwh_item_table_t *table = &wwh_item_tables[kind];
	void *item = g_atomic_rc_box_alloc0(table->size);

	wwh_fields_set_defaults(table->fields, table->field_count, item);
	return item;
}

void *wwh_item_ref(void *item)
{
	return g_atomic_rc_box_acquire(item);
}

static void clear_worker(gpointer item)
{
	wwh_fields_clear(worker_fields, COUNT(worker_fields), item);
}

static void clear_minion(gpointer item)
{
	wwh_fields_clear(minion_fields, COUNT(minion_fields), item);
}

static void clear_pool(gpointer item)
{
	wwh_fields_clear(pool_fields, COUNT(pool_fields), item);
}

static void clear_service(gpointer item)
{
	wwh_fields_clear(service_fields, COUNT(service_fields), item);
}

static void clear_team(gpointer item)
{
	wwh_fields_clear(team_fields, COUNT(team_fields), item);
}

static void clear_window(gpointer item)
{
	wwh_fields_clear(window_fields, COUNT(window_fields), item);
}

void wwh_item_unref(wwh_item_kind_t kind, void *item)
{
	static const GDestroyNotify clear[WWH_ITEM_COUNT] = {
		clear_worker, clear_minion, clear_pool, clear_service,
		clear_team,   clear_window, NULL,
	};

	if (item != NULL)
		g_atomic_rc_box_release_full(item, clear[kind]);
}

const char *wwh_item_id(wwh_item_kind_t kind, const void *item)
{
	if (kind == WWH_ITEM_RULES)
		return WWH_RULES_ID;
	return wwh_field_text(&wwh_item_tables[kind].fields[0], item);
}

bool wwh_item_equal(wwh_item_kind_t kind, const void *a, const void *b)
{
	const wwh_item_table_t *table = &wwh_item_tables[kind];

	return a == b ||
	       wwh_fields_equal(table->fields, table->field_count, a, b);
}
