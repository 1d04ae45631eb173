#include <string.h>

#include "private/host_duties_state.h"

static void clear_pool(duty_pool_t *pool);
static void survey_host(wwh_host_duties_t *duties, duty_host_t *host);
static duty_pool_t *resolve_pool(const wwh_host_duties_t *duties,
				 duty_pool_t *known, const char *name);
static bool is_in_transit(const wwh_host_duties_t *duties,
			  const duty_host_t *host);

void duties_survey(wwh_host_duties_t *duties)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		clear_pool(value);
	g_ptr_array_set_size(duties->in_transit, 0);
	duties->available_hosts = 0;
	duties->moves_in_flight = 0;
	g_hash_table_iter_init(&iterator, duties->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		survey_host(duties, value);
}

static void clear_pool(duty_pool_t *pool)
{
	pool->host_count = 0;
	g_ptr_array_set_size(pool->hosts, 0);
}

/*
 * A host drained for a wave accepts no tasks for seconds. It isn't counted for its
 * pool, so that its replacement is requested when draining begins.
 */
static void survey_host(wwh_host_duties_t *duties, duty_host_t *host)
{
	duty_pool_t *pool;

	host->load = (wwh_upstream_load_t){ 0 };
	if (host->upstream != NULL)
		host->load = wwh_scheduler_upstream_load(
			duties->options.scheduler, host->upstream);
	host->home = resolve_pool(duties, host->home, host->pool);
	duties->moves_in_flight += host->move_target != NULL;
	host->in_transit = is_in_transit(duties, host);
	if (host->in_transit)
		g_ptr_array_add(duties->in_transit, host);
	if (host->home != NULL)
		g_ptr_array_add(host->home->hosts, host);
	if (!duties_is_available_soon(duties, host))
		return;
	duties->available_hosts++;
	pool = duties_destination(duties, host);
	if (pool != NULL && !host->is_surplus && host->draining_since_ms == 0)
		pool->host_count++;
}

/* Compares names first, which costs less than hashing them for each host. */
static duty_pool_t *resolve_pool(const wwh_host_duties_t *duties,
				 duty_pool_t *known, const char *name)
{
	if (known != NULL && name != NULL && strcmp(known->name, name) == 0)
		return known;
	return duties_find_pool(duties, name);
}

duty_pool_t *duties_destination(const wwh_host_duties_t *duties,
				const duty_host_t *host)
{
	return host->move_target != NULL
		       ? duties_find_pool(duties, host->move_target)
		       : host->home;
}

bool duties_is_available_soon(const wwh_host_duties_t *duties,
			      const duty_host_t *host)
{
	return host->in_list && !host->upkeep_in_flight && !host->in_upkeep &&
	       !host->load.leaving &&
	       (host->state == WWH_HOST_UP || host->state == WWH_HOST_MOVING ||
		host->moving_until_ms > duties->now_ms);
}

static bool is_in_transit(const wwh_host_duties_t *duties,
			  const duty_host_t *host)
{
	return host->move_target != NULL || host->upkeep_in_flight ||
	       host->in_upkeep || host->down_until_ms > duties->now_ms ||
	       host->moving_until_ms + DUTIES_ANNOUNCE_LIMIT_MS >
		       duties->now_ms;
}
