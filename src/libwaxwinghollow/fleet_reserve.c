#include "waxwinghollow/fleet_reserve.h"

#include <glib.h>

/* Resolution of the observed window. */
#define SLOT_MS 250

/*
 * The busiest pool changes only to one whose desired hosts above its minimum
 * exceed those of the busiest by half for this long. Jobs arrive in clusters,
 * so that pools of about the same load exceed each other for moments.
 */
#define PHASE_CONFIRM_MS 1000
#define PHASE_EXCESS_PERCENT 150

/* A pool that desires fewer hosts above its minimum has no peak. */
#define MIN_PEAK_HOSTS 2

/*
 * A peak has reached its height when the sum hasn't grown by more than an eighth for
 * this long: a host that is called at its beginning takes tasks by then. Less growth
 * is within the variation of demand, and far within the headroom of the estimate.
 */
#define PEAK_SETTLED_MS 2000
#define PEAK_GROWTH_DIVISOR 8

/*
 * Hosts that an estimate may release, by the time in which all of them can be called
 * back: before a peak was seen no longer than callers can wait, after it longer, as
 * then few of them are expected to be needed.
 */
#define IDLE_RECALL_MS 2000
#define ESTIMATE_RECALL_MS 8000
#define SECOND_MS 1000

/* A shorter one is variation of the demand within one peak. */
#define MIN_CYCLE_MS 10000

/*
 * Hosts released in one interval: a thirty-second of the usable hosts, at least
 * four. Moves between pools share the limit of moves in flight, and a demand
 * that rises meanwhile stops the release early.
 */
#define RELEASE_INTERVAL_MS 1000
#define RELEASE_DIVISOR 32
#define MIN_RELEASE 4

typedef struct {
	int32_t excess; /* desired hosts above the minimum */
	int64_t phase_start_ms; /* became the busiest; -1: not seen */
} reserve_pool_t;

struct wwh_fleet_reserve {
	wwh_fleet_reserve_options_t options;
	GHashTable *pools; /* name to reserve_pool_t, owned */
	int32_t *peaks; /* highest sum of a slot; index: number modulo count */
	int64_t slot_count;
	int64_t newest_slot;
	wwh_fleet_hosts_t hosts;
	int32_t desired; /* sum of the last update */
	int32_t next_desired; /* sum of the pools added since */
	int32_t minimum; /* the same two for lasting tasks */
	int32_t next_minimum;
	int32_t peak;
	bool updated;
	bool interrupted;
	int64_t updated_ms;
	int64_t observed_ms; /* the module's clock: time that was observed */
	reserve_pool_t *busiest;
	reserve_pool_t *challenger;
	int64_t challenger_since_ms;
	int64_t cycle_ms;
	int64_t hold_until_ms;
	int32_t settled_peak; /* the peak, less its last small increases */
	int64_t settled_since_ms;
	bool estimate_failed; /* hosts were called while it was in force */
	bool restored_whole_cycle;
	bool has_estimate; /* the first peak has reached its height */
	bool has_idle_estimate; /* the same of lasting tasks, before a peak */
	int64_t interval_start_ms;
	int32_t released; /* in the present interval */
	int32_t released_by_estimate;
	int64_t paid_host_ms;
	int64_t needed_millihost_ms;
};

static void advance(wwh_fleet_reserve_t *reserve, int64_t now_ms);
static void record_sum(wwh_fleet_reserve_t *reserve);
static void track_growth(wwh_fleet_reserve_t *reserve);
static void track_busiest(wwh_fleet_reserve_t *reserve);
static reserve_pool_t *pool_with_largest_excess(wwh_fleet_reserve_t *reserve);
static void begin_phase(wwh_fleet_reserve_t *reserve, reserve_pool_t *pool);
static bool whole_cycle(const wwh_fleet_reserve_t *reserve);
static int32_t estimate_limit(const wwh_fleet_reserve_t *reserve);
static bool is_estimated(const wwh_fleet_reserve_t *reserve);
static int32_t estimate_headroom_percent(const wwh_fleet_reserve_t *reserve);
static int32_t wave_hosts(const wwh_fleet_reserve_t *reserve);
static int32_t peak_with_headroom(const wwh_fleet_reserve_t *reserve);
static int32_t reserved_hosts(const wwh_fleet_reserve_t *reserve);

wwh_fleet_reserve_t *
wwh_fleet_reserve_new(const wwh_fleet_reserve_options_t *options)
{
	wwh_fleet_reserve_t *reserve = g_new0(wwh_fleet_reserve_t, 1);

	reserve->options = *options;
	reserve->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	/* one more, as the newest slot is incomplete */
	reserve->slot_count = MAX(options->window_ms, SLOT_MS) / SLOT_MS + 1;
	reserve->peaks = g_new0(int32_t, reserve->slot_count);
	return reserve;
}

void wwh_fleet_reserve_delete(wwh_fleet_reserve_t *reserve)
{
	if (reserve == NULL)
		return;
	g_hash_table_destroy(reserve->pools);
	g_free(reserve->peaks);
	g_free(reserve);
}

void wwh_fleet_reserve_add_pool(wwh_fleet_reserve_t *reserve, const char *name,
				int32_t desired, int32_t minimum)
{
	reserve_pool_t *pool = g_hash_table_lookup(reserve->pools, name);

	if (pool == NULL) {
		pool = g_new0(reserve_pool_t, 1);
		pool->phase_start_ms = -1;
		g_hash_table_insert(reserve->pools, g_strdup(name), pool);
	}
	pool->excess = MAX(0, desired - minimum);
	reserve->next_desired += desired;
	reserve->next_minimum += minimum;
}

void wwh_fleet_reserve_update(wwh_fleet_reserve_t *reserve,
			      const wwh_fleet_hosts_t *hosts, int64_t now_ms)
{
	advance(reserve, now_ms);
	reserve->hosts = *hosts;
	reserve->desired = reserve->next_desired;
	reserve->next_desired = 0;
	reserve->minimum = reserve->next_minimum;
	reserve->next_minimum = 0;
	record_sum(reserve);
	track_growth(reserve);
	track_busiest(reserve);
	if (reserve->observed_ms - reserve->interval_start_ms >=
	    RELEASE_INTERVAL_MS) {
		reserve->interval_start_ms = reserve->observed_ms;
		reserve->released = 0;
	}
}

void wwh_fleet_reserve_interrupt(wwh_fleet_reserve_t *reserve)
{
	reserve->interrupted = true;
}

int32_t wwh_fleet_reserve_releasable(const wwh_fleet_reserve_t *reserve)
{
	const wwh_fleet_hosts_t *hosts = &reserve->hosts;
	int32_t above =
		hosts->usable + hosts->wave_held - reserved_hosts(reserve);
	int32_t batch =
		reserve->options.releases_per_s > 0
			? reserve->options.releases_per_s
			: MAX(MIN_RELEASE, hosts->usable / RELEASE_DIVISOR);

	if (!(whole_cycle(reserve) || is_estimated(reserve)) ||
	    reserve->observed_ms < reserve->hold_until_ms)
		return 0;
	if (!whole_cycle(reserve))
		above = MIN(above, estimate_limit(reserve) -
					   reserve->released_by_estimate);
	return MAX(0, MIN(above, batch - reserve->released));
}

int32_t wwh_fleet_reserve_callable(const wwh_fleet_reserve_t *reserve)
{
	if (!whole_cycle(reserve))
		return INT32_MAX;
	return MAX(0, reserve->hosts.lacking - reserve->hosts.coming);
}

void wwh_fleet_reserve_handle_release(wwh_fleet_reserve_t *reserve)
{
	reserve->released++;
	reserve->released_by_estimate += !whole_cycle(reserve);
	reserve->hosts.usable--;
}

/*
 * A jump in demand that the reserve didn't cover shows that less is known of the
 * load than a cycle, so nothing is released for another one.
 */
void wwh_fleet_reserve_handle_call(wwh_fleet_reserve_t *reserve)
{
	reserve->hosts.usable++;
	reserve->hosts.lacking--;
	if (is_estimated(reserve))
		reserve->estimate_failed = true;
	if (whole_cycle(reserve))
		reserve->hold_until_ms =
			reserve->observed_ms +
			(reserve->cycle_ms > 0 ? reserve->cycle_ms
					       : reserve->options.window_ms);
}

/* What lasting tasks need is no peak, so an estimate by it isn't handed on. */
wwh_fleet_reserve_knowledge_t
wwh_fleet_reserve_knowledge(const wwh_fleet_reserve_t *reserve)
{
	wwh_fleet_reserve_knowledge_t knowledge = {
		.whole_cycle = whole_cycle(reserve),
		.estimated = reserve->has_estimate && is_estimated(reserve),
		.cycle_ms = reserve->cycle_ms,
		.peak = reserve->peak,
	};

	return knowledge;
}

void wwh_fleet_reserve_restore(wwh_fleet_reserve_t *reserve,
			       const wwh_fleet_reserve_knowledge_t *knowledge)
{
	g_assert(!reserve->updated);
	reserve->peaks[0] = knowledge->peak;
	reserve->peak = knowledge->peak;
	reserve->settled_peak = knowledge->peak;
	reserve->cycle_ms = knowledge->cycle_ms;
	reserve->restored_whole_cycle = knowledge->whole_cycle;
	reserve->has_estimate = knowledge->estimated;
}

wwh_fleet_reserve_state_t
wwh_fleet_reserve_state(const wwh_fleet_reserve_t *reserve)
{
	wwh_fleet_reserve_state_t state = {
		.whole_cycle = whole_cycle(reserve),
		.estimated = is_estimated(reserve),
		.cycle_ms = reserve->cycle_ms,
		.desired = reserve->desired,
		.available = reserve->hosts.usable + reserve->hosts.wave_held,
		.reserve = reserved_hosts(reserve),
		.reserve_peak = peak_with_headroom(reserve),
		.reserve_rack = reserve->hosts.largest_rack,
		.reserve_waves = wave_hosts(reserve),
	};

	if (reserve->needed_millihost_ms > 0)
		state.paid_over_needed_permille =
			(int64_t)((double)reserve->paid_host_ms * 1e6 /
				  (double)reserve->needed_millihost_ms);
	return state;
}

/* Adds the time since the last update, in which its numbers were in force. */
static void advance(wwh_fleet_reserve_t *reserve, int64_t now_ms)
{
	int64_t elapsed_ms = MAX(0, now_ms - reserve->updated_ms);

	if (reserve->updated && !reserve->interrupted) {
		reserve->observed_ms += elapsed_ms;
		reserve->paid_host_ms +=
			elapsed_ms *
			(reserve->hosts.usable + reserve->hosts.wave_held);
		reserve->needed_millihost_ms +=
			elapsed_ms * reserve->hosts.busy_millihosts;
		record_sum(reserve);
	}
	reserve->updated = true;
	reserve->interrupted = false;
	reserve->updated_ms = MAX(reserve->updated_ms, now_ms);
}

/* Records the sum for all slots since the last call, and the present one. */
static void record_sum(wwh_fleet_reserve_t *reserve)
{
	int64_t slot = reserve->observed_ms / SLOT_MS;
	int32_t *newest;

	if (slot - reserve->newest_slot > reserve->slot_count)
		reserve->newest_slot = slot - reserve->slot_count;
	while (reserve->newest_slot < slot) {
		reserve->newest_slot++;
		reserve->peaks[reserve->newest_slot % reserve->slot_count] =
			reserve->desired;
	}
	newest = &reserve->peaks[slot % reserve->slot_count];
	*newest = MAX(*newest, reserve->desired);
	reserve->peak = 0;
	for (int64_t i = 0; i < reserve->slot_count; i++)
		reserve->peak = MAX(reserve->peak, reserve->peaks[i]);
}

/*
 * Without a busiest pool no peak was seen, only lasting tasks; a fleet that has no task
 * yet tells nothing, although each pool desires a host. An estimate stays: a higher
 * peak raises it.
 */
static void track_growth(wwh_fleet_reserve_t *reserve)
{
	int32_t allowed = reserve->settled_peak / PEAK_GROWTH_DIVISOR;

	if (reserve->peak > reserve->settled_peak + allowed) {
		reserve->settled_peak = reserve->peak;
		reserve->settled_since_ms = reserve->observed_ms;
	} else if ((reserve->minimum > 0 || reserve->busiest != NULL) &&
		   reserve->observed_ms - reserve->settled_since_ms >=
			   PEAK_SETTLED_MS) {
		reserve->has_idle_estimate = true;
		reserve->has_estimate =
			reserve->has_estimate || reserve->busiest != NULL;
	}
}

static void track_busiest(wwh_fleet_reserve_t *reserve)
{
	reserve_pool_t *largest = pool_with_largest_excess(reserve);
	int32_t threshold = MIN_PEAK_HOSTS * 100;

	if (reserve->busiest != NULL)
		threshold = MAX(threshold, reserve->busiest->excess *
						   PHASE_EXCESS_PERCENT);
	if (largest == NULL || largest == reserve->busiest ||
	    largest->excess * 100 < threshold) {
		reserve->challenger = NULL;
		return;
	}
	if (reserve->challenger != largest) {
		reserve->challenger = largest;
		reserve->challenger_since_ms = reserve->observed_ms;
	}
	if (reserve->observed_ms - reserve->challenger_since_ms >=
	    PHASE_CONFIRM_MS)
		begin_phase(reserve, largest);
}

static reserve_pool_t *pool_with_largest_excess(wwh_fleet_reserve_t *reserve)
{
	reserve_pool_t *largest = NULL;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, reserve->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		reserve_pool_t *pool = value;

		if (largest == NULL || pool->excess > largest->excess)
			largest = pool;
	}
	return largest;
}

/*
 * From one beginning of a pool's peak to the next one lies a whole cycle. The
 * beginning of a peak that was present at the first update wasn't seen.
 */
static void begin_phase(wwh_fleet_reserve_t *reserve, reserve_pool_t *pool)
{
	int64_t start_ms = reserve->challenger_since_ms;
	int64_t cycle_ms = start_ms - pool->phase_start_ms;

	if (pool->phase_start_ms >= 0 && cycle_ms >= MIN_CYCLE_MS &&
	    cycle_ms <= reserve->options.window_ms)
		reserve->cycle_ms = cycle_ms;
	pool->phase_start_ms = start_ms > 0 ? start_ms : -1;
	reserve->busiest = pool;
	reserve->challenger = NULL;
}

static bool whole_cycle(const wwh_fleet_reserve_t *reserve)
{
	return reserve->cycle_ms > 0 || reserve->restored_whole_cycle ||
	       reserve->observed_ms >= reserve->options.window_ms;
}

static int32_t estimate_limit(const wwh_fleet_reserve_t *reserve)
{
	int64_t recall_ms =
		reserve->has_estimate ? ESTIMATE_RECALL_MS : IDLE_RECALL_MS;
	int64_t per_s = reserve->options.releases_per_s;

	return per_s > 0
		       ? (int32_t)MIN(per_s * recall_ms / SECOND_MS, INT32_MAX)
		       : INT32_MAX;
}

static bool is_estimated(const wwh_fleet_reserve_t *reserve)
{
	return estimate_headroom_percent(reserve) > 0 &&
	       !reserve->estimate_failed && !whole_cycle(reserve);
}

/* Returns 0 if there is no estimate. */
static int32_t estimate_headroom_percent(const wwh_fleet_reserve_t *reserve)
{
	if (reserve->has_estimate)
		return reserve->options.estimate_headroom_percent;
	return reserve->has_idle_estimate
		       ? reserve->options.idle_headroom_percent
		       : 0;
}

/* The most that waves hold now or may hold at once. */
static int32_t wave_hosts(const wwh_fleet_reserve_t *reserve)
{
	return MAX(reserve->hosts.wave_held, reserve->hosts.wave_limit);
}

static int32_t peak_with_headroom(const wwh_fleet_reserve_t *reserve)
{
	int32_t percent = is_estimated(reserve)
				  ? estimate_headroom_percent(reserve)
				  : reserve->options.headroom_percent;

	return (int32_t)((int64_t)reserve->peak * (100 + percent) / 100);
}

static int32_t reserved_hosts(const wwh_fleet_reserve_t *reserve)
{
	return peak_with_headroom(reserve) + reserve->hosts.largest_rack +
	       wave_hosts(reserve);
}
