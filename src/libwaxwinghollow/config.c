#include "waxwinghollow/config.h"

#include <assert.h>
#include <string.h>

#include "private/config_items.h"

static void unref_items(GPtrArray *items, wwh_item_kind_t kind);
static const void *item_at(const wwh_config_t *config, wwh_item_kind_t kind,
			   int32_t index);
static bool is_path_prefix(const char *prefix, const char *path);

wwh_config_t *wwh_config_new(void)
{
	wwh_config_t *config = g_new0(wwh_config_t, 1);

	g_atomic_ref_count_init(&config->references);
	for (int32_t kind = 0; kind < WWH_ITEM_COUNT; kind++)
		config->items[kind] = g_ptr_array_new();
	return config;
}

wwh_config_t *wwh_config_ref(const wwh_config_t *config)
{
	wwh_config_t *shared = (wwh_config_t *)config;

	g_atomic_ref_count_inc(&shared->references);
	return shared;
}

void wwh_config_unref(wwh_config_t *config)
{
	if (config == NULL || !g_atomic_ref_count_dec(&config->references))
		return;
	for (int32_t kind = 0; kind < WWH_ITEM_COUNT; kind++)
		unref_items(config->items[kind], (wwh_item_kind_t)kind);
	g_free(config);
}

int64_t wwh_config_version(const wwh_config_t *config)
{
	return config->version;
}

int32_t wwh_config_worker_count(const wwh_config_t *config)
{
	return (int32_t)config->items[WWH_ITEM_WORKER]->len;
}

int32_t wwh_config_minion_count(const wwh_config_t *config)
{
	return (int32_t)config->items[WWH_ITEM_MINION]->len;
}

int32_t wwh_config_pool_count(const wwh_config_t *config)
{
	return (int32_t)config->items[WWH_ITEM_POOL]->len;
}

int32_t wwh_config_service_count(const wwh_config_t *config)
{
	return (int32_t)config->items[WWH_ITEM_SERVICE]->len;
}

int32_t wwh_config_team_count(const wwh_config_t *config)
{
	return (int32_t)config->items[WWH_ITEM_TEAM]->len;
}

int32_t wwh_config_window_count(const wwh_config_t *config)
{
	return (int32_t)config->items[WWH_ITEM_WINDOW]->len;
}

const wwh_worker_t *wwh_config_worker_at(const wwh_config_t *config,
					 int32_t index)
{
	return item_at(config, WWH_ITEM_WORKER, index);
}

const wwh_minion_t *wwh_config_minion_at(const wwh_config_t *config,
					 int32_t index)
{
	return item_at(config, WWH_ITEM_MINION, index);
}

const wwh_pool_t *wwh_config_pool_at(const wwh_config_t *config, int32_t index)
{
	return item_at(config, WWH_ITEM_POOL, index);
}

const wwh_service_t *wwh_config_service_at(const wwh_config_t *config,
					   int32_t index)
{
	return item_at(config, WWH_ITEM_SERVICE, index);
}

const wwh_team_t *wwh_config_team_at(const wwh_config_t *config, int32_t index)
{
	return item_at(config, WWH_ITEM_TEAM, index);
}

const wwh_window_t *wwh_config_window_at(const wwh_config_t *config,
					 int32_t index)
{
	return item_at(config, WWH_ITEM_WINDOW, index);
}

const wwh_rules_t *wwh_config_rules(const wwh_config_t *config)
{
	static const wwh_rules_t defaults = {
		.buffer_weight = 1,
		.move_weight = 1,
		.key_window_s = 3600,
		.drain_limit_s = 900,
		.return_limit_s = 1200,
	};
	const GPtrArray *items = config->items[WWH_ITEM_RULES];

	return items->len == 0 ? &defaults : g_ptr_array_index(items, 0);
}

const wwh_worker_t *wwh_config_worker(const wwh_config_t *config,
				      const char *id)
{
	return wwh_config_find(config, WWH_ITEM_WORKER, id);
}

const wwh_minion_t *wwh_config_minion(const wwh_config_t *config,
				      const char *id)
{
	return wwh_config_find(config, WWH_ITEM_MINION, id);
}

const wwh_pool_t *wwh_config_pool(const wwh_config_t *config, const char *id)
{
	return wwh_config_find(config, WWH_ITEM_POOL, id);
}

const wwh_service_t *wwh_config_service(const wwh_config_t *config,
					const char *id)
{
	return wwh_config_find(config, WWH_ITEM_SERVICE, id);
}

const wwh_team_t *wwh_config_team(const wwh_config_t *config, const char *id)
{
	return wwh_config_find(config, WWH_ITEM_TEAM, id);
}

const wwh_service_t *wwh_config_route(const wwh_config_t *config,
				      const char *path)
{
	const wwh_service_t *best = NULL;
	size_t best_length = 0;

	for (int32_t i = 0; i < wwh_config_service_count(config); i++) {
		const wwh_service_t *service = wwh_config_service_at(config, i);
		size_t length = strlen(service->path_prefix);

		if (length > best_length &&
		    is_path_prefix(service->path_prefix, path)) {
			best = service;
			best_length = length;
		}
	}
	return best;
}

void *wwh_config_find(const wwh_config_t *config, wwh_item_kind_t kind,
		      const char *id)
{
	const GPtrArray *items = config->items[kind];
	guint low = 0;
	guint high = items->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		void *item = g_ptr_array_index(items, middle);
		int order = strcmp(wwh_item_id(kind, item), id);

		if (order == 0)
			return item;
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

static void unref_items(GPtrArray *items, wwh_item_kind_t kind)
{
	for (guint i = 0; i < items->len; i++)
		wwh_item_unref(kind, g_ptr_array_index(items, i));
	g_ptr_array_free(items, TRUE);
}

static const void *item_at(const wwh_config_t *config, wwh_item_kind_t kind,
			   int32_t index)
{
	assert(index >= 0 && index < (int32_t)config->items[kind]->len);
	return g_ptr_array_index(config->items[kind], (guint)index);
}

/*
 * Matches whole path segments: "/book" is a prefix of "/book", "/book/1" and
 * "/book?a=b", but not of "/booking".
 */
static bool is_path_prefix(const char *prefix, const char *path)
{
	size_t length = strlen(prefix);

	if (strncmp(path, prefix, length) != 0)
		return false;
	return length == 1 || strchr("/?", path[length]) != NULL;
}
