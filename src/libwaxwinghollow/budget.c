#include "waxwinghollow/budget.h"

#include <assert.h>

/* Members of one rack or zone that belong to the pool. */
typedef struct {
	int32_t lost;
	int32_t serving;
} domain_count_t;

struct wwh_pool_budget {
	const wwh_fleet_view_t *view;
	const wwh_fleet_pool_t *pool;
	int32_t limit;
	int32_t lost;
	int32_t serving;
	GHashTable *rack_places; /* rack + 1 to place + 1; looked up only */
	GArray *racks; /* of domain_count_t */
	domain_count_t *zones; /* by zone index */
};

const char *const wwh_constraint_names[WWH_CONSTRAINT_KIND_COUNT] = {
	"none",		 "lose_count",	  "lose_percent",
	"lose_per_rack", "lose_per_zone", "reserve",
	"window",	 "state",	  "workers",
};

static domain_count_t *rack_of(const wwh_pool_budget_t *tally, int32_t worker);
static domain_count_t *zone_of(const wwh_pool_budget_t *tally, int32_t worker);
static void add_rack(wwh_pool_budget_t *tally, int32_t rack);
static void count(wwh_pool_budget_t *tally, int32_t worker, int32_t lost,
		  int32_t serving);
static wwh_constraint_t total_binding(const wwh_pool_budget_t *tally);

int32_t wwh_budget_limit(const wwh_pool_t *rule, int32_t size)
{
	int32_t share = (int32_t)((int64_t)size * rule->lose_percent / 100);

	return MIN(rule->lose_count, share);
}

wwh_pool_budget_t *wwh_pool_budget_new(const wwh_fleet_view_t *view,
				       int32_t pool)
{
	wwh_pool_budget_t *tally = g_new0(wwh_pool_budget_t, 1);

	tally->view = view;
	tally->pool = wwh_fleet_pool(view, pool);
	tally->limit = wwh_budget_limit(&tally->pool->rule, tally->pool->size);
	tally->rack_places = g_hash_table_new(NULL, NULL);
	tally->racks = g_array_new(FALSE, TRUE, sizeof(domain_count_t));
	tally->zones = g_new0(domain_count_t, wwh_fleet_zone_count(view) + 1);
	for (int32_t i = 0; i < tally->pool->size; i++) {
		int32_t member = wwh_fleet_member(view, pool, i);
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, member);
		bool lost = wwh_fleet_is_lost(worker);

		add_rack(tally, worker->rack);
		count(tally, member, lost ? 1 : 0, lost ? 0 : 1);
	}
	return tally;
}

void wwh_pool_budget_delete(wwh_pool_budget_t *tally)
{
	if (!tally)
		return;
	g_hash_table_destroy(tally->rack_places);
	g_array_free(tally->racks, TRUE);
	g_free(tally->zones);
	g_free(tally);
}

wwh_constraint_t wwh_pool_budget_allows(const wwh_pool_budget_t *tally,
					int32_t worker)
{
	return wwh_pool_budget_allows_with_reserve(tally, worker,
						   tally->pool->rule.reserve);
}

wwh_constraint_t
wwh_pool_budget_allows_with_reserve(const wwh_pool_budget_t *tally,
				    int32_t worker, wwh_domain_t reserve)
{
	const wwh_pool_t *rule = &tally->pool->rule;
	domain_count_t *rack = rack_of(tally, worker);
	domain_count_t *zone = zone_of(tally, worker);
	int32_t worst;

	if (tally->lost >= tally->limit)
		return total_binding(tally);
	if (rule->lose_per_rack > 0 && rack->lost >= rule->lose_per_rack)
		return WWH_CONSTRAINT_LOSE_PER_RACK;
	if (rule->lose_per_zone > 0 && zone->lost >= rule->lose_per_zone)
		return WWH_CONSTRAINT_LOSE_PER_ZONE;
	/* The worker itself is out by then, and can't be lost again. */
	rack->serving--;
	zone->serving--;
	worst = wwh_pool_budget_largest_domain(tally, reserve);
	rack->serving++;
	zone->serving++;
	if (reserve == WWH_DOMAIN_WORKER && tally->serving <= 1)
		worst = 0;
	if (tally->lost + 1 + worst > tally->limit)
		return WWH_CONSTRAINT_RESERVE;
	return WWH_CONSTRAINT_NONE;
}

void wwh_pool_budget_mark_out(wwh_pool_budget_t *tally, int32_t worker)
{
	count(tally, worker, 1, -1);
	assert(tally->serving >= 0);
}

void wwh_pool_budget_mark_serving(wwh_pool_budget_t *tally, int32_t worker)
{
	count(tally, worker, -1, 1);
	assert(tally->lost >= 0);
}

int32_t wwh_pool_budget_lost(const wwh_pool_budget_t *tally)
{
	return tally->lost;
}

int32_t wwh_pool_budget_limit(const wwh_pool_budget_t *tally)
{
	return tally->limit;
}

int32_t wwh_pool_budget_largest_domain(const wwh_pool_budget_t *tally,
				       wwh_domain_t domain)
{
	int32_t zone_count = wwh_fleet_zone_count(tally->view);
	int32_t worst = 0;

	if (domain == WWH_DOMAIN_WORKER)
		return MIN(tally->serving, 1);
	if (domain == WWH_DOMAIN_RACK) {
		for (guint i = 0; i < tally->racks->len; i++) {
			worst = MAX(worst, g_array_index(tally->racks,
							 domain_count_t, i)
						   .serving);
		}
		return worst;
	}
	for (int32_t i = 0; i < zone_count; i++)
		worst = MAX(worst, tally->zones[i].serving);
	return worst;
}

bool wwh_pool_budget_is_met(const wwh_pool_budget_t *tally)
{
	const wwh_pool_t *rule = &tally->pool->rule;
	int32_t zone_count = wwh_fleet_zone_count(tally->view);

	if (tally->lost > tally->limit)
		return false;
	for (guint i = 0; rule->lose_per_rack > 0 && i < tally->racks->len;
	     i++) {
		if (g_array_index(tally->racks, domain_count_t, i).lost >
		    rule->lose_per_rack)
			return false;
	}
	for (int32_t i = 0; rule->lose_per_zone > 0 && i < zone_count; i++) {
		if (tally->zones[i].lost > rule->lose_per_zone)
			return false;
	}
	return true;
}

static domain_count_t *rack_of(const wwh_pool_budget_t *tally, int32_t worker)
{
	int32_t rack = wwh_fleet_worker(tally->view, worker)->rack;
	int32_t place = GPOINTER_TO_INT(g_hash_table_lookup(
		tally->rack_places, GINT_TO_POINTER(rack + 1)));

	assert(place > 0);
	return &g_array_index(tally->racks, domain_count_t, place - 1);
}

static domain_count_t *zone_of(const wwh_pool_budget_t *tally, int32_t worker)
{
	return &tally->zones[wwh_fleet_worker(tally->view, worker)->zone];
}

static void add_rack(wwh_pool_budget_t *tally, int32_t rack)
{
	gpointer key = GINT_TO_POINTER(rack + 1);

	if (g_hash_table_contains(tally->rack_places, key))
		return;
	g_array_set_size(tally->racks, tally->racks->len + 1);
	g_hash_table_insert(tally->rack_places, key,
			    GINT_TO_POINTER((gint)tally->racks->len));
}

static void count(wwh_pool_budget_t *tally, int32_t worker, int32_t lost,
		  int32_t serving)
{
	domain_count_t *rack = rack_of(tally, worker);
	domain_count_t *zone = zone_of(tally, worker);

	rack->lost += lost;
	zone->lost += lost;
	tally->lost += lost;
	rack->serving += serving;
	zone->serving += serving;
	tally->serving += serving;
}

static wwh_constraint_t total_binding(const wwh_pool_budget_t *tally)
{
	return tally->limit == tally->pool->rule.lose_count
		       ? WWH_CONSTRAINT_LOSE_COUNT
		       : WWH_CONSTRAINT_LOSE_PERCENT;
}
