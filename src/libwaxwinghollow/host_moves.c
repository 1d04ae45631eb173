#include <string.h>

#include "private/host_duties_state.h"

/* Orders that got no answer are repeated after this. */
#define REPEAT_MS 400

/* A move that was refused, or isn't possible, is left alone for this long. */
#define REFUSED_MS 10000

/* Orders on their way at once; the platform's bound is 64 a second. */
#define MOVES_AT_ONCE 12

/*
 * A host that has come to a pool stays this long: what it was brought for
 * is just beginning, and each move costs what a second of work is worth. One
 * that rests may be called back at any moment.
 */
#define STAY_MS 1500

static void count_pools(wwh_host_duties_t *duties);
static int32_t count_hosts(wwh_host_duties_t *duties);
static bool is_here(const wwh_host_duties_t *duties, const duty_host_t *host);
static bool is_leaving(const wwh_host_duties_t *duties,
		       const duty_host_t *host);
static bool may_move(const wwh_host_duties_t *duties, const duty_host_t *host);
static duty_pool_t *neediest(const wwh_host_duties_t *duties);
static bool is_standby(const wwh_host_duties_t *duties, const char *name);
static const char *standby_pool(const wwh_host_duties_t *duties);
static void take_back_leaving(wwh_host_duties_t *duties);
static void choose_leaving(wwh_host_duties_t *duties);
static duty_host_t *least_loaded(wwh_host_duties_t *duties,
				 const duty_pool_t *pool);
static void send_empty(wwh_host_duties_t *duties);
static bool may_leave(wwh_host_duties_t *duties, duty_host_t *host,
		      duty_pool_t *from, const duty_pool_t *to);
static bool is_empty(wwh_host_duties_t *duties, const duty_host_t *host);
static void send_move(wwh_host_duties_t *duties, duty_host_t *host,
		      const char *pool);
static void repeat_unanswered(wwh_host_duties_t *duties);
static int32_t in_flight(const wwh_host_duties_t *duties);

void wwh_host_duties_set_pool(wwh_host_duties_t *duties, const char *name,
			      bool standby)
{
	duty_pool_t *pool = duties_pool(duties, name);

	if (pool == NULL) {
		pool = g_new0(duty_pool_t, 1);
		pool->name = g_strdup(name);
		g_hash_table_insert(duties->pools, pool->name, pool);
	}
	pool->standby = standby;
}

void wwh_host_duties_handle_move_result(wwh_host_duties_t *duties,
					const char *name,
					wwh_duty_result_t result,
					int64_t now_ms)
{
	duty_host_t *host = g_hash_table_lookup(duties->hosts, name);

	duties->now_ms = MAX(duties->now_ms, now_ms);
	if (host == NULL || host->move_to == NULL)
		return;
	host->move_in_flight = false;
	host->ordered_last_ms = duties->now_ms;
	host->move_retry_ms = duties->now_ms + REPEAT_MS;
	if (result != WWH_DUTY_DONE)
		duties_explain(duties, "move-not-done", name,
			       "from=%s to=%s result=%s", host->pool,
			       host->move_to, wwh_duty_result_names[result]);
	if (result == WWH_DUTY_UNKNOWN)
		return; /* may be carried out; sent again until it is known */
	if (result == WWH_DUTY_DONE) {
		duties_explain(duties, "moved", name, "from=%s to=%s",
			       host->pool, host->move_to);
		duties_list_soon(duties);
		g_free(host->pool);
		host->pool = g_strdup(host->move_to);
		host->state = WWH_HOST_MOVING;
		host->moving_until_ms =
			duties->now_ms + duties->options.move_ms;
		host->no_move_until_ms =
			host->moving_until_ms +
			(is_standby(duties, host->pool) ? 0 : STAY_MS);
	} else {
		host->no_move_until_ms =
			duties->now_ms +
			(result == WWH_DUTY_REFUSED ? REFUSED_MS : REPEAT_MS);
		if (host->upstream != NULL)
			wwh_scheduler_uncordon(duties->options.scheduler,
					       host->upstream);
	}
	host->leaving_pool = false;
	g_clear_pointer(&host->move_to, g_free);
}

void duties_run_moves(wwh_host_duties_t *duties)
{
	if (standby_pool(duties) == NULL &&
	    g_hash_table_size(duties->pools) < 2)
		return;
	repeat_unanswered(duties);
	count_pools(duties);
	take_back_leaving(duties);
	choose_leaving(duties);
	send_empty(duties);
}

static void count_pools(wwh_host_duties_t *duties)
{
	GArray *wanted = g_array_new(FALSE, FALSE, sizeof(int32_t));
	GArray *least = g_array_new(FALSE, FALSE, sizeof(int32_t));
	int32_t hosts = count_hosts(duties);
	guint next = 0;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_pool_t *pool = value;
		wwh_pool_demand_t figures;
		int32_t hosts_wanted;

		if (pool->standby)
			continue;
		figures = wwh_scheduler_pool_demand(duties->options.scheduler,
						    pool->name);
		hosts_wanted = wwh_pool_sizing_desired_hosts(
			duties->sizing, pool->name, &figures, duties->now_ms);
		pool->is_short = hosts_wanted > pool->have;
		g_array_append_val(wanted, hosts_wanted);
		g_array_append_val(least, figures.min_hosts);
	}
	wwh_pool_sizing_share((int32_t *)(void *)wanted->data,
			      (const int32_t *)(const void *)least->data,
			      (int32_t)wanted->len, hosts);
	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_pool_t *pool = value;

		pool->wanted = pool->standby
				       ? 0
				       : g_array_index(wanted, int32_t, next++);
	}
	g_array_free(wanted, TRUE);
	g_array_free(least, TRUE);
}

/*
 * All that are there, and by pool those that take work: one that a wave empties
 * takes none for seconds. Called when it is emptied, its replacement is there
 * sooner: mean worth 0.598 to 0.612 and 0.525 to 0.555 (standard days of two
 * sites, one play each).
 */
static int32_t count_hosts(wwh_host_duties_t *duties)
{
	int32_t hosts = 0;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		((duty_pool_t *)value)->have = 0;
	g_hash_table_iter_init(&iterator, duties->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const duty_host_t *host = value;
		duty_pool_t *pool = duties_pool(duties, host->move_to != NULL
								? host->move_to
								: host->pool);

		if (!is_here(duties, host))
			continue;
		hosts++;
		if (pool != NULL && !host->leaving_pool &&
		    host->cordoned_ms == 0)
			pool->have++;
	}
	return hosts;
}

/*
 * Up, or on its way and soon up. One that leaves is listed as up for many
 * seconds at times and takes nothing new: as long as it counted for its pool, no
 * other host was called, and its lasting tasks stayed away.
 */
static bool is_here(const wwh_host_duties_t *duties, const duty_host_t *host)
{
	return host->in_list && !host->in_flight && !host->away &&
	       !is_leaving(duties, host) &&
	       (host->state == WWH_HOST_UP || host->state == WWH_HOST_MOVING ||
		host->moving_until_ms > duties->now_ms);
}

static bool is_leaving(const wwh_host_duties_t *duties, const duty_host_t *host)
{
	return host->upstream != NULL &&
	       wwh_scheduler_upstream_load(duties->options.scheduler,
					   host->upstream)
		       .leaving;
}

static bool may_move(const wwh_host_duties_t *duties, const duty_host_t *host)
{
	return host->in_list && host->pool != NULL &&
	       host->state == WWH_HOST_UP && !host->in_flight && !host->away &&
	       host->cordoned_ms == 0 && host->ordered_ms == 0 &&
	       host->move_to == NULL &&
	       duties->now_ms >= host->no_move_until_ms;
}

static duty_pool_t *neediest(const wwh_host_duties_t *duties)
{
	duty_pool_t *found = NULL;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_pool_t *pool = value;

		if (pool->standby || pool->wanted <= pool->have)
			continue;
		if (found == NULL ||
		    pool->wanted - pool->have > found->wanted - found->have)
			found = pool;
	}
	return found;
}

static bool is_standby(const wwh_host_duties_t *duties, const char *name)
{
	const duty_pool_t *pool = duties_pool(duties, name);

	return pool != NULL && pool->standby;
}

static const char *standby_pool(const wwh_host_duties_t *duties)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		if (((duty_pool_t *)value)->standby)
			return ((duty_pool_t *)value)->name;
	}
	return NULL;
}

/* Their pool needs them again: staying costs nothing. */
static void take_back_leaving(wwh_host_duties_t *duties)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_host_t *host = value;
		duty_pool_t *pool;

		if (!host->leaving_pool || host->move_to != NULL)
			continue;
		pool = duties_pool(duties, host->pool);
		if (pool != NULL && pool->wanted > pool->have) {
			host->leaving_pool = false;
			pool->have++;
			if (host->upstream != NULL)
				wwh_scheduler_uncordon(
					duties->options.scheduler,
					host->upstream);
		}
	}
}

static void choose_leaving(wwh_host_duties_t *duties)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_pool_t *pool = value;

		while (!pool->standby && pool->have > pool->wanted) {
			duty_host_t *host = least_loaded(duties, pool);

			if (host == NULL)
				break;
			host->leaving_pool = true;
			host->leaving_ms = duties->now_ms;
			pool->have--;
		}
	}
}

/* Without lasting tasks; NULL: there is none. */
static duty_host_t *least_loaded(wwh_host_duties_t *duties,
				 const duty_pool_t *pool)
{
	duty_host_t *best = NULL;
	int64_t best_busy = 0;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_host_t *host = value;
		wwh_upstream_load_t load;

		if (!may_move(duties, host) || host->leaving_pool ||
		    strcmp(host->pool, pool->name) != 0 ||
		    host->upstream == NULL)
			continue;
		load = wwh_scheduler_upstream_load(duties->options.scheduler,
						   host->upstream);
		if (!load.known || load.lasting > 0)
			continue;
		if (best == NULL || load.busy_millicores < best_busy) {
			best = host;
			best_busy = load.busy_millicores;
		}
	}
	return best;
}

/*
 * What is empty goes where it is needed most; hosts of the standby pool go
 * only there, others also to rest.
 */
static void send_empty(wwh_host_duties_t *duties)
{
	const char *rest = standby_pool(duties);
	int32_t free_orders = MOVES_AT_ONCE - in_flight(duties);
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->hosts);
	while (free_orders > 0 &&
	       g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_host_t *host = value;
		duty_pool_t *from = duties_pool(duties, host->pool);
		duty_pool_t *to = neediest(duties);
		bool resting = from != NULL && from->standby;

		if (from == NULL || !may_move(duties, host) ||
		    (to == NULL && rest == NULL))
			continue;
		if (resting ? to == NULL : !may_leave(duties, host, from, to))
			continue;
		send_move(duties, host, to != NULL ? to->name : rest);
		if (to != NULL)
			to->have++;
		free_orders--;
	}
}

/*
 * A host that is only at hand isn't emptied: it is paid for, and late work of its
 * own pool, for which no host is called, waited beside it. It stays where a
 * lasting task has come to it meanwhile.
 */
static bool may_leave(wwh_host_duties_t *duties, duty_host_t *host,
		      duty_pool_t *from, const duty_pool_t *to)
{
	wwh_scheduler_t *scheduler = duties->options.scheduler;

	if (!host->leaving_pool || host->upstream == NULL)
		return false;
	if (wwh_scheduler_upstream_load(scheduler, host->upstream).lasting >
	    0) {
		host->leaving_pool = false;
		from->have++;
		wwh_scheduler_uncordon(scheduler, host->upstream);
		return false;
	}
	if (to == NULL &&
	    duties->now_ms - host->leaving_ms < WWH_STANDBY_DELAY_MS) {
		wwh_scheduler_uncordon(scheduler, host->upstream);
		return false;
	}
	return is_empty(duties, host);
}

static bool is_empty(wwh_host_duties_t *duties, const duty_host_t *host)
{
	wwh_upstream_load_t load;

	if (!wwh_scheduler_cordon(duties->options.scheduler, host->upstream,
				  false, duties->now_ms))
		return false;
	load = wwh_scheduler_upstream_load(duties->options.scheduler,
					   host->upstream);
	return load.known && load.tasks == 0;
}

static void send_move(wwh_host_duties_t *duties, duty_host_t *host,
		      const char *pool)
{
	if (host->move_to == NULL)
		host->move_to = g_strdup(pool);
	host->move_in_flight = true;
	host->ordered_last_ms = duties->now_ms;
	duties->calls.move(host->name, host->move_to,
			   duties->calls.client_data);
}

static void repeat_unanswered(wwh_host_duties_t *duties)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		duty_host_t *host = value;

		if (host->move_to != NULL && !host->move_in_flight &&
		    duties->now_ms >= host->move_retry_ms)
			send_move(duties, host, host->move_to);
	}
}

static int32_t in_flight(const wwh_host_duties_t *duties)
{
	int32_t count = 0;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		count += ((duty_host_t *)value)->move_to != NULL;
	return count;
}
