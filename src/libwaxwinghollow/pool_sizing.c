#include "waxwinghollow/pool_sizing.h"

#include <glib.h>

/*
 * Time in which the remaining work should be done. It is about as long as the
 * chain of steps of a usual job, so that steady arrivals get as many hosts as
 * they keep busy, and a backlog gets more.
 */
#define BACKLOG_DRAIN_MS 1200

/*
 * A host takes 1.5 s to arrive. Work is assumed to go on arriving at the rate
 * of the last 0.5 s until then, so that the first jobs of a burst request the
 * hosts that the next ones need.
 */
#define FORECAST_FACTOR 3

/*
 * Share of a host's cores that tasks can fill, as tasks differ in size. With
 * 85%, pools of 8 to 12 hosts requested a tenth more hosts than they used,
 * which were then missing in the pool that became busy next.
 */
#define FILL_PERCENT 95

/*
 * An idle pool keeps one host. The size of hosts is known only from those that
 * are up; if all of them were on standby, no work would ever request one.
 */
#define MIN_HOSTS 1

/*
 * A pool shrinks to the maximum that it desired within this time. Jobs arrive
 * in clusters, and the pauses between those are shorter than this. With a
 * longer window, hosts would be missing in the pool that becomes busy next.
 */
#define PEAK_WINDOW_MS 450
#define PEAK_SLOTS 9

typedef struct {
	int64_t newest_slot;
	int32_t peaks[PEAK_SLOTS]; /* index: slot number modulo PEAK_SLOTS */
} peak_history_t;

struct wwh_pool_sizing {
	GHashTable *pools; /* name to peak_history_t, owned */
};

static int32_t capped_at(int32_t desired, int32_t minimum, int32_t level);
static int32_t hosts_for_demand(const wwh_pool_demand_t *demand);
static int32_t peak_in_window(peak_history_t *history, int32_t desired,
			      int64_t now_ms);

wwh_pool_sizing_t *wwh_pool_sizing_new(void)
{
	wwh_pool_sizing_t *sizing = g_new0(wwh_pool_sizing_t, 1);

	sizing->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return sizing;
}

void wwh_pool_sizing_delete(wwh_pool_sizing_t *sizing)
{
	if (sizing == NULL)
		return;
	g_hash_table_destroy(sizing->pools);
	g_free(sizing);
}

int32_t wwh_pool_sizing_desired_hosts(wwh_pool_sizing_t *sizing,
				      const char *pool,
				      const wwh_pool_demand_t *demand,
				      int64_t now_ms)
{
	peak_history_t *history = g_hash_table_lookup(sizing->pools, pool);

	if (history == NULL) {
		history = g_new0(peak_history_t, 1);
		g_hash_table_insert(sizing->pools, g_strdup(pool), history);
	}
	return peak_in_window(history, hosts_for_demand(demand), now_ms);
}

void wwh_pool_sizing_share(int32_t *desired, const int32_t *minimum,
			   int32_t count, int32_t hosts)
{
	int32_t level = 0;
	int32_t max_desired = 0;
	int32_t sum;

	for (int32_t i = 0; i < count; i++)
		max_desired = MAX(max_desired, desired[i]);
	do {
		level++;
		sum = 0;
		for (int32_t i = 0; i < count; i++)
			sum += capped_at(desired[i], minimum[i], level);
	} while (sum < hosts && level < max_desired);
	/* the last increment may exceed hosts: some pools then get one less */
	for (int32_t i = count; i-- > 0;) {
		int32_t share = capped_at(desired[i], minimum[i], level);

		if (sum > hosts && share == level && level > minimum[i]) {
			share--;
			sum--;
		}
		desired[i] = share;
	}
}

static int32_t capped_at(int32_t desired, int32_t minimum, int32_t level)
{
	return MIN(desired, MAX(minimum, level));
}

/*
 * Cores are limited to those that ready tasks can use now, as more would be
 * idle. Hosts of lasting tasks are kept; the first jobs of a burst run beside
 * these tasks until other hosts have arrived.
 */
static int32_t hosts_for_demand(const wwh_pool_demand_t *demand)
{
	int64_t work =
		demand->remaining_work + FORECAST_FACTOR * demand->recent_work;
	int64_t usable = demand->usable_millicores +
			 FORECAST_FACTOR * demand->recent_millicores;
	int64_t cores = MIN(work / BACKLOG_DRAIN_MS, usable);
	int64_t host = demand->host_millicores * FILL_PERCENT / 100;
	int64_t hosts;

	if (host <= 0)
		return MAX(demand->min_hosts, MIN_HOSTS);
	hosts = (cores + demand->lasting + host - 1) / host;
	return (int32_t)MAX(hosts, MAX(demand->min_hosts, MIN_HOSTS));
}

static int32_t peak_in_window(peak_history_t *history, int32_t desired,
			      int64_t now_ms)
{
	int64_t slot = now_ms / (PEAK_WINDOW_MS / PEAK_SLOTS);
	int32_t peak = desired;

	if (slot - history->newest_slot > PEAK_SLOTS)
		history->newest_slot = slot - PEAK_SLOTS;
	while (history->newest_slot < slot) {
		history->newest_slot++;
		history->peaks[history->newest_slot % PEAK_SLOTS] = 0;
	}
	history->peaks[slot % PEAK_SLOTS] =
		MAX(history->peaks[slot % PEAK_SLOTS], desired);
	for (int32_t i = 0; i < PEAK_SLOTS; i++)
		peak = MAX(peak, history->peaks[i]);
	return peak;
}
