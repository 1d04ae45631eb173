#include "private/host_duties_state.h"

/*
 * A surplus host that is drained for longer than this isn't expected to leave
 * its pool soon, and a standby host is called in its place. It is as long as a
 * drain before an upkeep; most tasks take 0.8 to 1.4 s.
 */
#define MAX_DRAIN_FOR_MOVE_MS 2000

/*
 * Hosts are counted again after this time, after each list and after orders to
 * move, as the duties run far more often than the counts change.
 */
#define COUNT_INTERVAL_MS 250

static void count_hosts(wwh_host_duties_t *duties);
static int32_t coming_hosts(const wwh_host_duties_t *duties);
static void add_pool(wwh_host_duties_t *duties, const duty_pool_t *pool,
		     wwh_fleet_hosts_t *hosts);
static void add_host(wwh_host_duties_t *duties, const duty_host_t *host,
		     wwh_fleet_hosts_t *hosts, GHashTable *racks);
static bool is_held_by_wave(const duty_host_t *host);
static bool is_coming(const wwh_host_duties_t *duties, const duty_host_t *host);
static int32_t largest_rack(GHashTable *racks);
static int32_t wave_limit(const wwh_host_duties_t *duties);

void duties_update_reserve(wwh_host_duties_t *duties)
{
	wwh_fleet_hosts_t hosts;
	wwh_fleet_reserve_state_t state;
	GHashTableIter iterator;
	gpointer value;

	if (duties->counted_ms == 0 ||
	    duties->now_ms - duties->counted_ms >= COUNT_INTERVAL_MS)
		count_hosts(duties);
	hosts = duties->counted;
	hosts.wave_limit = wave_limit(duties);
	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		add_pool(duties, value, &hosts);
	if (hosts.lacking > 0)
		hosts.coming = coming_hosts(duties);
	wwh_fleet_reserve_update(duties->reserve, &hosts, duties->now_ms);
	state = wwh_fleet_reserve_state(duties->reserve);
	if ((state.whole_cycle && !duties->reserve_known) ||
	    (state.estimated && !duties->reserve_estimated))
		duties_log_event(duties,
				 state.whole_cycle ? "reserve-known"
						   : "reserve-estimated",
				 "hosts",
				 "cycle_ms=%" G_GINT64_FORMAT
				 " reserve=%d peak=%d rack=%d waves=%d "
				 "available=%d",
				 state.cycle_ms, state.reserve,
				 state.reserve_peak, state.reserve_rack,
				 state.reserve_waves, state.available);
	duties->reserve_known = state.whole_cycle;
	duties->reserve_estimated = state.estimated;
	duties_write_reserve(duties);
}

void duties_recount_hosts(wwh_host_duties_t *duties)
{
	duties->counted_ms = 0;
}

wwh_fleet_reserve_state_t
wwh_host_duties_reserve(const wwh_host_duties_t *duties)
{
	return wwh_fleet_reserve_state(duties->reserve);
}

static void count_hosts(wwh_host_duties_t *duties)
{
	/* names are the scheduler's, which isn't changed meanwhile */
	GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
	wwh_fleet_hosts_t hosts = { 0 };
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->hosts);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		add_host(duties, value, &hosts, racks);
	hosts.largest_rack = largest_rack(racks);
	g_hash_table_destroy(racks);
	duties->counted = hosts;
	duties->counted_ms = duties->now_ms;
}

static int32_t coming_hosts(const wwh_host_duties_t *duties)
{
	int32_t coming = 0;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, duties->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const duty_pool_t *pool = value;

		for (guint i = 0; i < pool->leaving->len && !pool->standby; i++)
			coming += is_coming(
				duties, g_ptr_array_index(pool->leaving, i));
	}
	return coming;
}

static void add_pool(wwh_host_duties_t *duties, const duty_pool_t *pool,
		     wwh_fleet_hosts_t *hosts)
{
	if (pool->standby)
		return;
	wwh_fleet_reserve_add_pool(duties->reserve, pool->name, pool->desired,
				   pool->min_hosts);
	hosts->lacking += MAX(0, pool->wanted - pool->host_count);
}

/*
 * A host that is up counts as usable once its upstream is known to the
 * scheduler.
 */
static void add_host(wwh_host_duties_t *duties, const duty_host_t *host,
		     wwh_fleet_hosts_t *hosts, GHashTable *racks)
{
	const duty_pool_t *pool = duties_destination(duties, host);
	const wwh_upstream_load_t *load = &host->load;

	if (pool == NULL || pool->standby)
		return;
	if (is_held_by_wave(host)) {
		hosts->wave_held += host->in_list;
		return;
	}
	if (!duties_is_available_soon(duties, host))
		return;
	if (!load->known && host->state == WWH_HOST_UP &&
	    host->moving_until_ms <= duties->now_ms)
		return;
	hosts->usable++;
	if (load->cpu_millicores > 0)
		hosts->busy_millihosts +=
			load->busy_millicores * 1000 / load->cpu_millicores;
	if (load->rack != NULL)
		g_hash_table_replace(
			racks, (gpointer)load->rack,
			GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(
						racks, load->rack)) +
					1));
}

static bool is_held_by_wave(const duty_host_t *host)
{
	return host->draining_since_ms != 0 || host->upkeep_in_flight ||
	       host->in_upkeep || host->state == WWH_HOST_UPKEEP;
}

static bool is_coming(const wwh_host_duties_t *duties, const duty_host_t *host)
{
	return host->drain_for_move_ms == 0 ||
	       duties->now_ms - host->drain_for_move_ms <=
		       MAX_DRAIN_FOR_MOVE_MS;
}

/*
 * In a fleet of a single rack, hosts that are kept for its loss would be lost
 * with it, so none are.
 */
static int32_t largest_rack(GHashTable *racks)
{
	int32_t largest = 0;
	GHashTableIter iterator;
	gpointer value;

	if (g_hash_table_size(racks) < 2)
		return 0;
	g_hash_table_iter_init(&iterator, racks);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		largest = MAX(largest, GPOINTER_TO_INT(value));
	return largest;
}

/* The number of hosts that the waves in progress may hold at once. */
static int32_t wave_limit(const wwh_host_duties_t *duties)
{
	int32_t limit = 0;

	for (guint i = 0; i < duties->waves->len; i++) {
		const duty_wave_t *wave = g_ptr_array_index(duties->waves, i);
		int32_t pending = (int32_t)wave->order->hosts->len -
				  (int32_t)g_hash_table_size(wave->done_hosts);

		if (!wave->completed)
			limit += CLAMP(pending, 0,
				       MAX(1, wave->order->max_down));
	}
	return limit;
}
