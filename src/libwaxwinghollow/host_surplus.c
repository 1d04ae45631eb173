#include "private/host_duties_state.h"

static void retain_needed_hosts(wwh_host_duties_t *duties, duty_pool_t *pool);
static void select_from_pool(wwh_host_duties_t *duties, duty_pool_t *pool);
static bool is_selectable(const wwh_host_duties_t *duties,
			  const duty_host_t *host);
static gint compare_load(gconstpointer a, gconstpointer b);
static int64_t selection_key(const duty_host_t *host);
static void find_leaving_hosts(wwh_host_duties_t *duties, duty_pool_t *pool);
static gint compare_leaving(gconstpointer a, gconstpointer b);

void duties_select_surplus(wwh_host_duties_t *duties)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_pool_t *pool = value;

		if (pool->wanted > pool->host_count)
			retain_needed_hosts(duties, pool);
		else if (!pool->standby && pool->host_count > pool->wanted)
			select_from_pool(duties, pool);
	}
}

/* This costs nothing, as no order was given. */
static void retain_needed_hosts(wwh_host_duties_t *duties, duty_pool_t *pool)
{
	for (guint i = 0;
	     i < pool->hosts->len && pool->wanted > pool->host_count; i++) {
		duty_host_t *host = g_ptr_array_index(pool->hosts, i);

		if (!host->is_surplus || host->move_target != NULL)
			continue;
		host->is_surplus = false;
		pool->host_count++;
		if (host->upstream != NULL)
			wwh_scheduler_uncordon(duties->options.scheduler,
					       host->upstream);
	}
}

/*
 * Selects the movable hosts with the least busy cores and no lasting task, slow
 * ones without tasks first.
 */
static void select_from_pool(wwh_host_duties_t *duties, duty_pool_t *pool)
{
	GPtrArray *hosts = g_ptr_array_new();

	for (guint i = 0; i < pool->hosts->len; i++) {
		duty_host_t *host = g_ptr_array_index(pool->hosts, i);

		if (is_selectable(duties, host))
			g_ptr_array_add(hosts, host);
	}
	g_ptr_array_sort(hosts, compare_load);
	for (guint i = 0; i < hosts->len && pool->host_count > pool->wanted;
	     i++) {
		duty_host_t *host = g_ptr_array_index(hosts, i);

		host->is_surplus = true;
		host->drain_for_move_ms = 0;
		pool->host_count--;
	}
	g_ptr_array_unref(hosts);
}

static bool is_selectable(const wwh_host_duties_t *duties,
			  const duty_host_t *host)
{
	return !host->is_surplus && host->load.known &&
	       host->load.lasting == 0 && duties_may_move(duties, host);
}

static gint compare_load(gconstpointer a, gconstpointer b)
{
	int64_t left = selection_key(*(duty_host_t *const *)a);
	int64_t right = selection_key(*(duty_host_t *const *)b);

	return left < right ? -1 : left > right;
}

static int64_t selection_key(const duty_host_t *host)
{
	if (host->load.slow && host->load.tasks == 0)
		return -1;
	return host->load.busy_millicores;
}

GPtrArray *duties_pools_by_surplus(wwh_host_duties_t *duties)
{
	GPtrArray *pools = g_ptr_array_new();
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_pool_t *pool = value;

		find_leaving_hosts(duties, pool);
		if (pool->leaving->len > 0)
			g_ptr_array_add(pools, pool);
	}
	g_ptr_array_sort(pools, compare_leaving);
	return pools;
}

static void find_leaving_hosts(wwh_host_duties_t *duties, duty_pool_t *pool)
{
	g_ptr_array_set_size(pool->leaving, 0);
	pool->empty_leaving = 0;
	for (guint i = 0; i < pool->hosts->len; i++) {
		duty_host_t *host = g_ptr_array_index(pool->hosts, i);

		if (!(pool->standby || host->is_surplus) ||
		    !duties_may_move(duties, host))
			continue;
		g_ptr_array_add(pool->leaving, host);
		pool->empty_leaving +=
			pool->standby ||
			(host->upstream != NULL && host->load.tasks == 0);
	}
}

/* Most surplus hosts first, the standby pool last. */
static gint compare_leaving(gconstpointer a, gconstpointer b)
{
	const duty_pool_t *left = *(duty_pool_t *const *)a;
	const duty_pool_t *right = *(duty_pool_t *const *)b;

	if (left->standby != right->standby)
		return left->standby ? 1 : -1;
	return (gint)right->leaving->len - (gint)left->leaving->len;
}
