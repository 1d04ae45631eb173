#include <assert.h>
#include <string.h>

#include "private/state_internal.h"

wwh_state_worker_t *wwh_state_find_worker(const wwh_state_t *state,
					  const char *id)
{
	return g_hash_table_lookup(state->worker_by_id, id);
}

wwh_state_pool_t *wwh_state_find_pool(const wwh_state_t *state, const char *id)
{
	return g_hash_table_lookup(state->pool_by_id, id);
}

bool wwh_state_worker_is_lost(const wwh_state_worker_t *worker)
{
	return worker->grant != NULL || worker->failed != WWH_NO_OFFSET ||
	       worker->quarantined != WWH_NO_OFFSET;
}

const char *wwh_state_worker_home_pool(const wwh_state_worker_t *worker)
{
	if (worker->pool != NULL)
		return worker->pool->declared->id;
	return worker->move->from;
}

const char *wwh_state_worker_wanted_pool(const wwh_state_worker_t *worker)
{
	if (worker->placed_by_move)
		return wwh_state_worker_home_pool(worker);
	return worker->declared->pool;
}

static wwh_domain_count_t *domain_count(wwh_domain_counts_t *counts,
					const char *name)
{
	wwh_domain_count_t new_count = { name, 0, 0 };
	guint position =
		GPOINTER_TO_UINT(g_hash_table_lookup(counts->index, name));

	if (position == 0) {
		g_array_append_val(counts->counts, new_count);
		position = counts->counts->len;
		g_hash_table_insert(counts->index, (char *)name,
				    GUINT_TO_POINTER(position));
	}
	return &g_array_index(counts->counts, wwh_domain_count_t, position - 1);
}

static void add_to_domain(wwh_domain_counts_t *counts, const char *name,
			  int32_t members, int32_t lost)
{
	wwh_domain_count_t *count = domain_count(counts, name);

	count->members += members;
	count->lost += lost;
	assert(count->lost >= 0 && count->lost <= count->members);
}

static void add_to_pool(wwh_state_worker_t *worker, int32_t sign)
{
	wwh_state_pool_t *pool = worker->pool;
	int32_t lost = wwh_state_worker_is_lost(worker) ? sign : 0;

	if (pool == NULL)
		return;
	pool->members += sign;
	pool->lost += lost;
	pool->granted += worker->grant != NULL ? sign : 0;
	pool->failed += worker->failed != WWH_NO_OFFSET ? sign : 0;
	add_to_domain(&pool->racks, worker->declared->rack, sign, lost);
	add_to_domain(&pool->zones, worker->declared->zone, sign, lost);
}

void wwh_state_count_worker(wwh_state_worker_t *worker)
{
	add_to_pool(worker, 1);
}

void wwh_state_uncount_worker(wwh_state_worker_t *worker)
{
	add_to_pool(worker, -1);
}

void wwh_state_end_grant(wwh_state_worker_t *worker)
{
	if (worker->grant == NULL)
		return;
	g_free(worker->grant->owner);
	g_free(worker->grant->author);
	g_clear_pointer(&worker->grant, g_free);
}

void wwh_state_end_move(wwh_state_worker_t *worker)
{
	if (worker->move == NULL)
		return;
	g_free(worker->move->from);
	g_free(worker->move->to);
	g_clear_pointer(&worker->move, g_free);
}

static void domains_init(wwh_domain_counts_t *counts)
{
	counts->counts = g_array_new(FALSE, FALSE, sizeof(wwh_domain_count_t));
	counts->index = g_hash_table_new(g_str_hash, g_str_equal);
}

static void domains_clear(wwh_domain_counts_t *counts)
{
	g_array_unref(counts->counts);
	g_hash_table_unref(counts->index);
}

void wwh_state_pools_init(wwh_state_pool_t *pools, int32_t count,
			  const wwh_config_t *config)
{
	for (int32_t i = 0; i < count; i++) {
		memset(&pools[i], 0, sizeof(pools[i]));
		pools[i].declared = wwh_config_pool_at(config, i);
		domains_init(&pools[i].racks);
		domains_init(&pools[i].zones);
	}
}

void wwh_state_pools_clear(wwh_state_pool_t *pools, int32_t count)
{
	for (int32_t i = 0; i < count; i++) {
		domains_clear(&pools[i].racks);
		domains_clear(&pools[i].zones);
	}
}

/*
 * Copies the known state of a worker. A new worker is not lost and is in its
 * wanted pool.
 */
static void init_worker(wwh_state_worker_t *worker,
			const wwh_worker_t *declared,
			const wwh_state_worker_t *known, GHashTable *pools)
{
	const char *pool = declared->pool;

	memset(worker, 0, sizeof(*worker));
	worker->failed = WWH_NO_OFFSET;
	worker->quarantined = WWH_NO_OFFSET;
	if (known != NULL) {
		*worker = *known;
		pool = known->pool != NULL ? known->pool->declared->id : NULL;
		if (strcmp(known->declared->pool, declared->pool) != 0)
			worker->placed_by_move = false;
	}
	worker->declared = declared;
	worker->pool = pool != NULL ? g_hash_table_lookup(pools, pool) : NULL;
	assert(worker->pool != NULL || worker->move != NULL);
}

static GHashTable *init_pools(wwh_state_pool_t *pools, int32_t count,
			      const wwh_config_t *config)
{
	GHashTable *by_id = g_hash_table_new(g_str_hash, g_str_equal);

	wwh_state_pools_init(pools, count, config);
	for (int32_t i = 0; i < count; i++)
		g_hash_table_insert(by_id, pools[i].declared->id, &pools[i]);
	return by_id;
}

static GHashTable *init_workers(const wwh_state_t *state,
				wwh_state_worker_t *workers, int32_t count,
				const wwh_config_t *config, GHashTable *pools)
{
	GHashTable *by_id = g_hash_table_new(g_str_hash, g_str_equal);

	for (int32_t i = 0; i < count; i++) {
		const wwh_worker_t *declared = wwh_config_worker_at(config, i);

		init_worker(&workers[i], declared,
			    wwh_state_find_worker(state, declared->id), pools);
		g_hash_table_insert(by_id, declared->id, &workers[i]);
		wwh_state_count_worker(&workers[i]);
	}
	return by_id;
}

void wwh_state_replace_config(wwh_state_t *state, wwh_config_t *config)
{
	int32_t pool_count = wwh_config_pool_count(config);
	int32_t worker_count = wwh_config_worker_count(config);
	wwh_state_pool_t *pools = g_new0(wwh_state_pool_t, pool_count);
	wwh_state_worker_t *workers = g_new0(wwh_state_worker_t, worker_count);
	GHashTable *pool_by_id = init_pools(pools, pool_count, config);
	GHashTable *worker_by_id =
		init_workers(state, workers, worker_count, config, pool_by_id);

	wwh_state_pools_clear(state->pools, state->pool_count);
	g_hash_table_unref(state->pool_by_id);
	g_hash_table_unref(state->worker_by_id);
	g_free(state->pools);
	g_free(state->workers);
	wwh_config_unref(state->config);
	state->config = config;
	state->pools = pools;
	state->pool_count = pool_count;
	state->pool_by_id = pool_by_id;
	state->workers = workers;
	state->worker_count = worker_count;
	state->worker_by_id = worker_by_id;
}
