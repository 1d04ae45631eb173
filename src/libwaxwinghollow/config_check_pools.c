#include "private/config_check.h"

#include <string.h>

#include "waxwinghollow/budget.h"

typedef struct {
	int64_t cores;
	int64_t memory_mb;
	int64_t accelerators;
} fleet_t;

static void check_pool_budget(wwh_check_t *check, const wwh_pool_t *pool,
			      const wwh_worker_t *const *workers, int32_t size);
static int32_t reserve_beside_one(const wwh_pool_t *pool,
				  const wwh_worker_t *const *workers,
				  int32_t size);
static const char *domain_of(const wwh_pool_t *pool,
			     const wwh_worker_t *worker);
static void check_pool_reserve(wwh_check_t *check, const wwh_pool_t *pool,
			       const wwh_worker_t *const *workers,
			       int32_t size);
static GPtrArray *workers_by_pool(const wwh_config_t *config);
static gint compare_pools(gconstpointer a, gconstpointer b);
static const char *pool_of(const GPtrArray *workers, guint index);
static const wwh_window_t *window_of(const wwh_config_t *config,
				     const wwh_pool_t *pool);
static void check_quotas(wwh_check_t *check);
static void check_quota(wwh_check_t *check, const wwh_team_t *team,
			const char *what, int64_t quota, int64_t fleet);

void wwh_check_pools(wwh_check_t *check)
{
	GPtrArray *workers = workers_by_pool(check->config);
	guint at = 0;

	for (int32_t i = 0; i < wwh_config_pool_count(check->config); i++) {
		const wwh_pool_t *pool = wwh_config_pool_at(check->config, i);
		const wwh_worker_t *const *members;
		guint start = at;
		int32_t size;

		while (at < workers->len &&
		       strcmp(pool_of(workers, at), pool->id) == 0)
			at++;
		size = (int32_t)(at - start);
		/* A pool may be listed before its workers come. */
		if (size == 0)
			continue;
		members = (const wwh_worker_t *const *)workers->pdata + start;
		check_pool_budget(check, pool, members, size);
		check_pool_reserve(check, pool, members, size);
	}
	g_ptr_array_free(workers, TRUE);
	check_quotas(check);
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
static void check_pool_budget(wwh_check_t *check, const wwh_pool_t *pool,
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
	wwh_check_report_error(
		check, pool,
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
static void check_pool_reserve(wwh_check_t *check, const wwh_pool_t *pool,
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
	wwh_check_report_error(
		check, pool,
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

static void check_quotas(wwh_check_t *check)
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

static void check_quota(wwh_check_t *check, const wwh_team_t *team,
			const char *what, int64_t quota, int64_t fleet)
{
	if (quota <= fleet)
		return;
	wwh_check_report_error(check, team,
			       "team '%s' has a quota of %" G_GINT64_FORMAT
			       " %s but the fleet has %" G_GINT64_FORMAT
			       ", expected at most "
			       "that",
			       team->id, quota, what, fleet);
}
