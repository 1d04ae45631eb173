#include "waxwinghollow/pool_sizing.h"

#include <glib.h>

/*
 * Work is to be done within this time: about the chain of a usual job, so
 * that what arrives steadily is met by as many hosts as it keeps busy, and
 * a backlog by more.
 */
#define DRAIN_MS 1200

/*
 * A host takes one and a half seconds to come. What has arrived in the last
 * half second is taken to go on until then: a turn's first jobs draw the hosts
 * that its next ones need.
 */
#define FORECAST 3

/*
 * Hosts are never filled to the last core: tasks are of uneven sizes. With 85,
 * pools of 8 to 12 hosts asked for a tenth more than they came to use, and the
 * next turn's pool went without them.
 */
#define FILL_PERCENT 95

/*
 * An idle pool keeps one host: how large hosts are is known from those that
 * are up, and with all of them at rest no work would ever draw one back.
 */
#define LEAST_HOSTS 1

/*
 * A pool shrinks to the most that it wanted within this time: jobs arrive in
 * clusters, and the pauses between them are shorter. Kept longer, hosts are
 * missing where the next turn begins.
 */
#define HOLD_MS 450
#define HOLD_SLOTS 9

typedef struct {
	int64_t slot; /* number of the newest slot */
	int32_t most[HOLD_SLOTS]; /* by slot number modulo HOLD_SLOTS */
} history_t;

struct wwh_pool_sizing {
	GHashTable *pools; /* name to history_t, owned */
};

static int32_t at_level(int32_t wanted, int32_t least, int32_t level);
static int32_t hosts_for(const wwh_pool_demand_t *figures);
static int32_t hold(history_t *history, int32_t wanted, int64_t now_ms);

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
				      const wwh_pool_demand_t *figures,
				      int64_t now_ms)
{
	history_t *history = g_hash_table_lookup(sizing->pools, pool);

	if (history == NULL) {
		history = g_new0(history_t, 1);
		g_hash_table_insert(sizing->pools, g_strdup(pool), history);
	}
	return hold(history, hosts_for(figures), now_ms);
}

void wwh_pool_sizing_share(int32_t *wanted, const int32_t *least, int32_t count,
			   int32_t hosts)
{
	int32_t level = 0;
	int32_t most = 0;
	int32_t sum;

	for (int32_t i = 0; i < count; i++)
		most = MAX(most, wanted[i]);
	do {
		level++;
		sum = 0;
		for (int32_t i = 0; i < count; i++)
			sum += at_level(wanted[i], least[i], level);
	} while (sum < hosts && level < most);
	/* the last step up may be too much: some go without their last host */
	for (int32_t i = count; i-- > 0;) {
		int32_t share = at_level(wanted[i], least[i], level);

		if (sum > hosts && share == level && level > least[i]) {
			share--;
			sum--;
		}
		wanted[i] = share;
	}
}

static int32_t at_level(int32_t wanted, int32_t least, int32_t level)
{
	return MIN(wanted, MAX(least, level));
}

/*
 * More cores than there are tasks to run at this moment are of no use. Hosts
 * with lasting tasks are kept; the first jobs of a turn run beside those
 * while other hosts are on their way.
 */
static int32_t hosts_for(const wwh_pool_demand_t *figures)
{
	int64_t work =
		figures->remaining_work + FORECAST * figures->recent_work;
	int64_t usable = figures->usable_millicores +
			 FORECAST * figures->recent_millicores;
	int64_t cores = MIN(work / DRAIN_MS, usable);
	int64_t host = figures->host_millicores * FILL_PERCENT / 100;
	int64_t hosts;

	if (host <= 0)
		return MAX(figures->min_hosts, LEAST_HOSTS);
	hosts = (cores + figures->lasting + host - 1) / host;
	return (int32_t)MAX(hosts, MAX(figures->min_hosts, LEAST_HOSTS));
}

static int32_t hold(history_t *history, int32_t wanted, int64_t now_ms)
{
	int64_t slot = now_ms / (HOLD_MS / HOLD_SLOTS);
	int32_t most = wanted;

	if (slot - history->slot > HOLD_SLOTS)
		history->slot = slot - HOLD_SLOTS;
	while (history->slot < slot) {
		history->slot++;
		history->most[history->slot % HOLD_SLOTS] = 0;
	}
	history->most[slot % HOLD_SLOTS] =
		MAX(history->most[slot % HOLD_SLOTS], wanted);
	for (int32_t i = 0; i < HOLD_SLOTS; i++)
		most = MAX(most, history->most[i]);
	return most;
}
