#include "waxwinghollow/pool_sizing.h"

#include <glib.h>

/*
 * No work is sized for a shorter time, as a host takes 1.5 s to arrive. Work
 * whose latest start is unknown is sized for this time.
 */
#define MIN_DRAIN_MS 1200

/*
 * Time in which late work should be done. It is of little value to its caller,
 * and takes hosts from pools whose work can still be in time.
 */
#define LATE_DRAIN_MS 3000

/*
 * A host takes 1.5 s to arrive. Work is assumed to go on arriving at the rate
 * of the last 0.5 s until then, so that the first jobs of a burst request the
 * hosts that the next ones need.
 */
#define FORECAST_FACTOR 3

/*
 * Share of the cores that work may use at the rate at which it arrives. Tasks
 * wait for each other at a higher share, and differ in size.
 */
#define RATE_PERCENT 80

/* Time in which recent_work and newest_work were submitted. */
#define RECENT_MS 500
#define NEWEST_MS 250

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
static int64_t cores_for_work(const wwh_pool_demand_t *demand);
static int64_t cores_for_slots(const int64_t *slots);
static int32_t slot_of(int64_t time_ms);
static int32_t peak_in_window(peak_history_t *history, int32_t desired,
			      int64_t now_ms);

void wwh_pool_demand_add(wwh_pool_demand_t *demand, int64_t work,
			 int64_t ready_work, int64_t latest_end_ms,
			 int64_t estimate_ms)
{
	if (latest_end_ms < estimate_ms) {
		demand->late_work += work;
		return;
	}
	demand->due_work[slot_of(latest_end_ms)] += work;
	demand->ready_work[slot_of(latest_end_ms - estimate_ms)] += ready_work;
}

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
	int64_t usable = demand->usable_millicores +
			 FORECAST_FACTOR * demand->recent_millicores;
	int64_t cores = MIN(cores_for_work(demand), usable);
	int64_t host = demand->host_millicores * FILL_PERCENT / 100;
	int64_t hosts;

	if (host <= 0)
		return MAX(demand->min_hosts, MIN_HOSTS);
	hosts = (cores + demand->lasting + host - 1) / host;
	return (int32_t)MAX(hosts, MAX(demand->min_hosts, MIN_HOSTS));
}

/*
 * Returns the cores that keep up with the work that arrives and start waiting
 * work in time, or those that end all of it in time if that is more, as after
 * the last arrivals of a peak.
 */
static int64_t cores_for_work(const wwh_pool_demand_t *demand)
{
	int64_t rate = MAX(demand->recent_work / RECENT_MS,
			   demand->newest_work / NEWEST_MS);
	int64_t at_once = demand->remaining_work - demand->late_work;

	for (int32_t i = 0; i < WWH_DEMAND_SLOTS; i++)
		at_once -= demand->due_work[i];
	return MAX(rate * 100 / RATE_PERCENT +
			   cores_for_slots(demand->ready_work),
		   cores_for_slots(demand->due_work) + at_once / MIN_DRAIN_MS) +
	       demand->late_work / LATE_DRAIN_MS;
}

/* Returns the cores that do the work of each slot, and of those before, in time. */
static int64_t cores_for_slots(const int64_t *slots)
{
	int64_t work = 0;
	int64_t cores = 0;

	for (int32_t i = 0; i < WWH_DEMAND_SLOTS; i++) {
		work += slots[i];
		cores = MAX(cores,
			    work / MAX(MIN_DRAIN_MS, i * WWH_DEMAND_SLOT_MS));
	}
	return cores;
}

static int32_t slot_of(int64_t time_ms)
{
	return (int32_t)CLAMP(time_ms / WWH_DEMAND_SLOT_MS, 0,
			      WWH_DEMAND_SLOTS - 1);
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
