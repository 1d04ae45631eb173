#include "private/config_items.h"

#include <string.h>

#include "waxwinghollow/budget.h"

/* One pass over a configuration. */
typedef struct {
	const wwh_config_t *config;
	GHashTable *places;
	bool rules_given;
	wwh_report_t *report;
} check_t;

typedef struct {
	int64_t cores;
	int64_t memory_mb;
	int64_t accelerators;
} fleet_t;

static void check_duplicate_ids(check_t *check);
static void check_workers(check_t *check);
static void check_parent(check_t *check, GHashTable *parents,
			 const wwh_worker_t *worker, const char *kind,
			 const char *name, const char *parent_kind,
			 const char *parent);
static void check_worker_address(check_t *check, GHashTable *addresses,
				 const wwh_worker_t *worker);
static void check_minions(check_t *check);
static void check_minion_place(check_t *check, const wwh_minion_t *minion);
static void check_services(check_t *check);
static void check_windows(check_t *check);
static void check_pools(check_t *check);
static void check_pool_budget(check_t *check, const wwh_pool_t *pool,
			      const wwh_worker_t *const *workers, int32_t size);
static int32_t reserve_beside_one(const wwh_pool_t *pool,
				  const wwh_worker_t *const *workers,
				  int32_t size);
static const char *domain_of(const wwh_pool_t *pool,
			     const wwh_worker_t *worker);
static void check_pool_reserve(check_t *check, const wwh_pool_t *pool,
			       const wwh_worker_t *const *workers,
			       int32_t size);
static GPtrArray *workers_by_pool(const wwh_config_t *config);
static gint compare_pools(gconstpointer a, gconstpointer b);
static const char *pool_of(const GPtrArray *workers, guint index);
static const wwh_window_t *window_of(const wwh_config_t *config,
				     const wwh_pool_t *pool);
static void check_quotas(check_t *check);
static void check_quota(check_t *check, const wwh_team_t *team,
			const char *what, int64_t quota, int64_t fleet);
static void check_known(check_t *check, const void *item, const char *what,
			const char *id, wwh_item_kind_t kind);
static void refuse(check_t *check, const void *item, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
static int32_t line_of(check_t *check, const void *item);
static char *at_line(check_t *check, const void *item);

void wwh_config_check(const wwh_config_t *config, GHashTable *places,
		      bool rules_given, wwh_report_t *report)
{
	check_t check = { config, places, rules_given, report };

	check_duplicate_ids(&check);
	check_workers(&check);
	check_minions(&check);
	check_services(&check);
	check_windows(&check);
	if (report->count > 0)
		return;
	check_pools(&check);
	check_quotas(&check);
}

static void check_duplicate_ids(check_t *check)
{
	for (int32_t kind = 0; kind < WWH_ITEM_COUNT; kind++) {
		const GPtrArray *items = check->config->items[kind];

		for (guint i = 1; i < items->len; i++) {
			void *before = g_ptr_array_index(items, i - 1);
			void *item = g_ptr_array_index(items, i);
			const char *id =
				wwh_item_id((wwh_item_kind_t)kind, item);
			char *first;

			if (strcmp(wwh_item_id((wwh_item_kind_t)kind, before),
				   id) != 0)
				continue;
			first = at_line(check, before);
			refuse(check, item,
			       "%s id '%s' stands twice%s, expected once",
			       wwh_item_kind_names[kind], id, first);
			g_free(first);
		}
	}
}

static void check_workers(check_t *check)
{
	GHashTable *addresses = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);

	for (int32_t i = 0; i < wwh_config_worker_count(check->config); i++) {
		const wwh_worker_t *worker =
			wwh_config_worker_at(check->config, i);

		check_known(check, worker, "pool", worker->pool, WWH_ITEM_POOL);
		check_worker_address(check, addresses, worker);
		check_parent(check, racks, worker, "rack", worker->rack, "zone",
			     worker->zone);
		check_parent(check, zones, worker, "zone", worker->zone,
			     "region", worker->region);
	}
	g_hash_table_destroy(addresses);
	g_hash_table_destroy(racks);
	g_hash_table_destroy(zones);
}

/* A rack stands in one zone, a zone in one region: the first worker says. */
static void check_parent(check_t *check, GHashTable *parents,
			 const wwh_worker_t *worker, const char *kind,
			 const char *name, const char *parent_kind,
			 const char *parent)
{
	const wwh_worker_t *first = g_hash_table_lookup(parents, name);
	const char *first_parent;
	char *where;

	if (*name == '\0' || *parent == '\0')
		return;
	if (first == NULL) {
		g_hash_table_insert(parents, (char *)name, (void *)worker);
		return;
	}
	first_parent = strcmp(kind, "rack") == 0 ? first->zone : first->region;
	if (strcmp(first_parent, parent) == 0)
		return;
	where = at_line(check, first);
	refuse(check, worker,
	       "%s '%s' is in %s '%s' here and in '%s' by worker '%s'%s, "
	       "expected one %s",
	       kind, name, parent_kind, parent, first_parent, first->id, where,
	       parent_kind);
	g_free(where);
}

static void check_worker_address(check_t *check, GHashTable *addresses,
				 const wwh_worker_t *worker)
{
	const wwh_worker_t *first =
		g_hash_table_lookup(addresses, worker->address);
	char *where;

	if (*worker->address == '\0')
		return;
	if (first == NULL) {
		g_hash_table_insert(addresses, worker->address, (void *)worker);
		return;
	}
	where = at_line(check, first);
	refuse(check, worker,
	       "address %s is also worker '%s'%s, expected one worker an "
	       "address",
	       worker->address, first->id, where);
	g_free(where);
}

static void check_minions(check_t *check)
{
	GHashTable *endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (int32_t i = 0; i < wwh_config_minion_count(check->config); i++) {
		const wwh_minion_t *minion =
			wwh_config_minion_at(check->config, i);
		char *endpoint = g_strdup_printf("%s port %d", minion->address,
						 minion->port);
		const wwh_minion_t *first =
			g_hash_table_lookup(endpoints, endpoint);

		check_known(check, minion, "service", minion->service,
			    WWH_ITEM_SERVICE);
		check_known(check, minion, "worker", minion->worker,
			    WWH_ITEM_WORKER);
		check_minion_place(check, minion);
		if (first == NULL || *minion->address == '\0') {
			g_hash_table_insert(endpoints, endpoint,
					    (void *)minion);
			continue;
		}
		char *where = at_line(check, first);

		refuse(check, minion,
		       "address %s is also minion '%s'%s, expected one minion "
		       "an address and port",
		       endpoint, first->id, where);
		g_free(where);
		g_free(endpoint);
	}
	g_hash_table_destroy(endpoints);
}

static void check_minion_place(check_t *check, const wwh_minion_t *minion)
{
	const wwh_worker_t *worker =
		wwh_config_worker(check->config, minion->worker);

	if (worker != NULL && strcmp(worker->zone, minion->zone) != 0)
		refuse(check, minion,
		       "minion '%s' is in zone '%s', expected '%s', the zone "
		       "of "
		       "its worker '%s'",
		       minion->id, minion->zone, worker->zone, worker->id);
	if (worker == NULL && *minion->worker == '\0' && *minion->zone == '\0')
		refuse(check, minion,
		       "minion '%s' has neither worker nor zone, expected one",
		       minion->id);
}

static void check_services(check_t *check)
{
	GHashTable *paths = g_hash_table_new(g_str_hash, g_str_equal);

	for (int32_t i = 0; i < wwh_config_service_count(check->config); i++) {
		const wwh_service_t *service =
			wwh_config_service_at(check->config, i);
		const wwh_service_t *first =
			g_hash_table_lookup(paths, service->path_prefix);
		char *where;

		check_known(check, service, "pool", service->pool,
			    WWH_ITEM_POOL);
		check_known(check, service, "team", service->team,
			    WWH_ITEM_TEAM);
		if (first == NULL || *service->path_prefix == '\0') {
			g_hash_table_insert(paths, service->path_prefix,
					    (void *)service);
			continue;
		}
		where = at_line(check, first);
		refuse(check, service,
		       "path_prefix %s is also service '%s'%s, expected one "
		       "service a prefix",
		       service->path_prefix, first->id, where);
		g_free(where);
	}
	g_hash_table_destroy(paths);
}

static void check_windows(check_t *check)
{
	for (int32_t i = 0; i < wwh_config_window_count(check->config); i++) {
		const wwh_window_t *window =
			wwh_config_window_at(check->config, i);

		if (strcmp(window->pool, "*") != 0)
			check_known(check, window, "pool", window->pool,
				    WWH_ITEM_POOL);
		if (window->days == 0)
			refuse(check, window,
			       "window '%s' has no day and never opens, "
			       "expected at least one of mon ... sun",
			       window->id);
		if (window->duration_minutes == 0)
			refuse(check, window,
			       "window '%s' lasts 0 minutes and never opens, "
			       "expected duration_minutes from 1 to 1440",
			       window->id);
	}
}

static void check_pools(check_t *check)
{
	GPtrArray *workers = workers_by_pool(check->config);
	guint at = 0;

	for (int32_t i = 0; i < wwh_config_pool_count(check->config); i++) {
		const wwh_pool_t *pool = wwh_config_pool_at(check->config, i);
		const wwh_worker_t *const *members =
			(const wwh_worker_t *const *)workers->pdata + at;
		guint start = at;
		int32_t size;

		while (at < workers->len &&
		       strcmp(pool_of(workers, at), pool->id) == 0)
			at++;
		size = (int32_t)(at - start);
		/* A pool may be listed before its workers come. */
		if (size == 0)
			continue;
		check_pool_budget(check, pool, members, size);
		check_pool_reserve(check, pool, members, size);
	}
	g_ptr_array_free(workers, TRUE);
}

/* Pools and these workers are in the order of the pools' ids. */
static GPtrArray *workers_by_pool(const wwh_config_t *config)
{
	GPtrArray *workers = g_ptr_array_new();

	for (int32_t i = 0; i < wwh_config_worker_count(config); i++)
		g_ptr_array_add(workers,
				(gpointer)wwh_config_worker_at(config, i));
	g_ptr_array_sort(workers, compare_pools);
	return workers;
}

static gint compare_pools(gconstpointer a, gconstpointer b)
{
	const wwh_worker_t *const *first = a;
	const wwh_worker_t *const *second = b;

	return strcmp((*first)->pool, (*second)->pool);
}

static const char *pool_of(const GPtrArray *workers, guint index)
{
	const wwh_worker_t *worker = g_ptr_array_index(workers, index);

	return worker->pool;
}

/*
 * A wave takes out at least one worker while the worst domain of the reserve
 * could still fail within the budget (budget.h). A smaller budget would leave
 * every wave planned and none begun.
 */
static void check_pool_budget(check_t *check, const wwh_pool_t *pool,
			      const wwh_worker_t *const *workers, int32_t size)
{
	const wwh_window_t *window = window_of(check->config, pool);
	int32_t budget = wwh_budget_limit(pool, size);
	int32_t reserve;

	if (window == NULL)
		return;
	reserve = reserve_beside_one(pool, workers, size);
	if (budget > reserve)
		return;
	refuse(check, pool,
	       "pool '%s' of %d workers may lose %d (lose_count %d, "
	       "lose_percent %d) but waves are due in window '%s', expected "
	       "at least %d: one worker and a reserve of %d for the loss of a "
	       "%s",
	       pool->id, size, budget, pool->lose_count, pool->lose_percent,
	       window->id, reserve + 1, reserve,
	       wwh_domain_names[pool->reserve]);
}

/*
 * Workers of the worst domain while one worker is out that was chosen to make
 * it small: from the worst domain itself, unless another is as large.
 */
static int32_t reserve_beside_one(const wwh_pool_t *pool,
				  const wwh_worker_t *const *workers,
				  int32_t size)
{
	GHashTable *counts;
	int32_t worst = 0;
	int32_t worst_domains = 0;

	if (pool->reserve == WWH_DOMAIN_WORKER)
		return MIN(size - 1, 1);
	counts = g_hash_table_new(g_str_hash, g_str_equal);
	for (int32_t i = 0; i < size; i++) {
		const char *domain = domain_of(pool, workers[i]);
		int32_t count =
			GPOINTER_TO_INT(g_hash_table_lookup(counts, domain));

		count++;
		g_hash_table_insert(counts, (gpointer)domain,
				    GINT_TO_POINTER(count));
		if (count > worst)
			worst_domains = 0;
		worst = MAX(worst, count);
		worst_domains += count == worst ? 1 : 0;
	}
	g_hash_table_destroy(counts);
	return worst_domains == 1 ? worst - 1 : worst;
}

static const char *domain_of(const wwh_pool_t *pool, const wwh_worker_t *worker)
{
	return pool->reserve == WWH_DOMAIN_RACK ? worker->rack : worker->zone;
}

/*
 * A pool that is to survive the loss of a rack or zone has workers left then
 * only when it is not all in one.
 */
static void check_pool_reserve(check_t *check, const wwh_pool_t *pool,
			       const wwh_worker_t *const *workers, int32_t size)
{
	const char *name = wwh_domain_names[pool->reserve];
	const char *first = domain_of(pool, workers[0]);

	if (pool->reserve == WWH_DOMAIN_WORKER)
		return;
	for (int32_t i = 1; i < size; i++) {
		if (strcmp(domain_of(pool, workers[i]), first) != 0)
			return;
	}
	refuse(check, pool,
	       "pool '%s' is to survive the loss of a %s but all its %d "
	       "workers are in %s '%s', expected two at least",
	       pool->id, name, size, name, first);
}

static const wwh_window_t *window_of(const wwh_config_t *config,
				     const wwh_pool_t *pool)
{
	for (int32_t i = 0; i < wwh_config_window_count(config); i++) {
		const wwh_window_t *window = wwh_config_window_at(config, i);

		if (strcmp(window->pool, "*") == 0 ||
		    strcmp(window->pool, pool->id) == 0)
			return window;
	}
	return NULL;
}

static void check_quotas(check_t *check)
{
	fleet_t fleet = { 0 };

	/* Rules may be checked before there is an inventory. */
	if (wwh_config_worker_count(check->config) == 0)
		return;
	for (int32_t i = 0; i < wwh_config_worker_count(check->config); i++) {
		const wwh_worker_t *worker =
			wwh_config_worker_at(check->config, i);

		fleet.cores += worker->cores;
		fleet.memory_mb += worker->memory_mb;
		fleet.accelerators += worker->accelerators;
	}
	for (int32_t i = 0; i < wwh_config_team_count(check->config); i++) {
		const wwh_team_t *team = wwh_config_team_at(check->config, i);

		check_quota(check, team, "cores", team->cores, fleet.cores);
		check_quota(check, team, "memory_mb", team->memory_mb,
			    fleet.memory_mb);
		check_quota(check, team, "accelerators", team->accelerators,
			    fleet.accelerators);
	}
}

static void check_quota(check_t *check, const wwh_team_t *team,
			const char *what, int64_t quota, int64_t fleet)
{
	if (quota <= fleet)
		return;
	refuse(check, team,
	       "team '%s' has a quota of %" G_GINT64_FORMAT
	       " %s but the fleet has %" G_GINT64_FORMAT ", expected at most "
	       "that",
	       team->id, quota, what, fleet);
}

static void check_known(check_t *check, const void *item, const char *what,
			const char *id, wwh_item_kind_t kind)
{
	if (kind != WWH_ITEM_WORKER && !check->rules_given)
		return;
	if (*id != '\0' && wwh_config_find(check->config, kind, id) == NULL)
		refuse(check, item, "unknown %s '%s', expected one of '%s'",
		       what, id, wwh_item_tables[kind].section);
}

static void refuse(check_t *check, const void *item, const char *format, ...)
{
	const wwh_item_place_t *place =
		check->places == NULL
			? NULL
			: g_hash_table_lookup(check->places, item);
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	wwh_report_error(check->report, place == NULL ? "" : place->file,
			 line_of(check, item), "%s", text);
	g_free(text);
}

static int32_t line_of(check_t *check, const void *item)
{
	const wwh_item_place_t *place =
		check->places == NULL
			? NULL
			: g_hash_table_lookup(check->places, item);

	return place == NULL ? 0 : place->line;
}

/* " (line N)" of an item, or nothing when it isn't known. */
static char *at_line(check_t *check, const void *item)
{
	int32_t line = line_of(check, item);

	return line == 0 ? g_strdup("") : g_strdup_printf(" (line %d)", line);
}
