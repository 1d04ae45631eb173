#include <string.h>

#include "private/host_duties_state.h"

/* From the end of a move until the upstream is announced and has answered. */
#define ANNOUNCE_MS 400

static bool is_for_pool(const duty_host_t *host, const char *pool);
static int64_t arrival_ms(const wwh_host_duties_t *duties,
			  const duty_host_t *host, int64_t now_ms);
static int32_t add_lacking(const wwh_host_duties_t *duties,
			   const duty_pool_t *pool,
			   wwh_host_arrival_t *arrivals, int32_t count,
			   int32_t max);
static int32_t count_empty_hosts(const wwh_host_duties_t *duties,
				 const duty_pool_t *pool);
static int32_t add_arrival(wwh_host_arrival_t *arrivals, int32_t count,
			   int32_t max, int64_t due_ms, int32_t hosts);

int32_t wwh_host_duties_arrivals(const wwh_host_duties_t *duties,
				 const char *name, int64_t now_ms,
				 wwh_host_arrival_t *arrivals, int32_t max)
{
	const duty_pool_t *pool = duties_find_pool(duties, name);
	int32_t count = 0;

	if (pool == NULL || pool->standby)
		return 0;
	for (guint i = 0; i < duties->in_transit->len; i++) {
		const duty_host_t *host =
			g_ptr_array_index(duties->in_transit, i);
		int64_t due_ms;

		if (!host->in_list || !is_for_pool(host, name))
			continue;
		due_ms = arrival_ms(duties, host, now_ms);
		if (due_ms >= 0)
			count = add_arrival(arrivals, count, max, due_ms, 1);
	}
	if (pool->wanted > pool->host_count && !duties->paused)
		count = add_lacking(duties, pool, arrivals, count, max);
	return count;
}

/*
 * Hosts for which no move is ordered yet. Those that run tasks aren't counted: at
 * a peak of all pools they are never free to leave, and jobs that were accepted
 * for them end late.
 */
static int32_t add_lacking(const wwh_host_duties_t *duties,
			   const duty_pool_t *pool,
			   wwh_host_arrival_t *arrivals, int32_t count,
			   int32_t max)
{
	int32_t empty = MIN(count_empty_hosts(duties, pool),
			    pool->wanted - pool->host_count);

	if (empty <= 0)
		return count;
	return add_arrival(arrivals, count, max,
			   duties->options.move_ms + ANNOUNCE_MS, empty);
}

/* Hosts that can be moved to the pool as soon as the order is sent. */
static int32_t count_empty_hosts(const wwh_host_duties_t *duties,
				 const duty_pool_t *pool)
{
	int32_t count = 0;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const duty_pool_t *from = value;

		if (from != pool)
			count += from->empty_leaving;
	}
	return count;
}

static bool is_for_pool(const duty_host_t *host, const char *pool)
{
	return g_strcmp0(host->move_target != NULL ? host->move_target
						   : host->pool,
			 pool) == 0;
}

/* Returns in how many ms the host's upstream gets tasks; -1: it does already. */
static int64_t arrival_ms(const wwh_host_duties_t *duties,
			  const duty_host_t *host, int64_t now_ms)
{
	int64_t since_move_ms = now_ms - host->moving_until_ms;

	if (host->move_target != NULL)
		return duties->options.move_ms + ANNOUNCE_MS;
	if (host->upkeep_in_flight)
		return duties->options.upkeep_ms + ANNOUNCE_MS;
	if (host->in_upkeep || host->down_until_ms > now_ms)
		return MAX(host->down_until_ms - now_ms, 0) + ANNOUNCE_MS;
	if (since_move_ms < 0)
		return -since_move_ms + ANNOUNCE_MS;
	if (host->moving_until_ms == 0 ||
	    since_move_ms > DUTIES_ANNOUNCE_LIMIT_MS ||
	    (host->upstream != NULL &&
	     wwh_scheduler_upstream_load(duties->options.scheduler,
					 host->upstream)
		     .known))
		return -1;
	return MAX(ANNOUNCE_MS - since_move_ms, 0);
}

/* Arrivals that don't fit are counted with the last one, at the later time. */
static int32_t add_arrival(wwh_host_arrival_t *arrivals, int32_t count,
			   int32_t max, int64_t due_ms, int32_t hosts)
{
	for (int32_t i = 0; i < count; i++) {
		if (arrivals[i].due_ms == due_ms) {
			arrivals[i].hosts += hosts;
			return count;
		}
	}
	if (count < max) {
		arrivals[count] = (wwh_host_arrival_t){ due_ms, hosts };
		return count + 1;
	}
	arrivals[max - 1].due_ms = MAX(arrivals[max - 1].due_ms, due_ms);
	arrivals[max - 1].hosts += hosts;
	return count;
}
