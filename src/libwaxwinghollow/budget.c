#include "waxwinghollow/budget.h"

#include <assert.h>

/* Counts of the pool's members in one rack or zone. */
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
	GHashTable
		*rack_positions; /* rack + 1 to position + 1; never iterated */
	GArray *racks; /* of domain_count_t */
	domain_count_t *zones; /* by zone index */
};

const char *const wwh_constraint_names[WWH_CONSTRAINT_KIND_COUNT] = {
	"none",		 "lose_count",	  "lose_percent",
	"lose_per_rack", "lose_per_zone", "reserve",
	"window",	 "state",	  "workers",
};

static domain_count_t *rack_of(const wwh_pool_budget_t *budget, int32_t worker);
static domain_count_t *zone_of(const wwh_pool_budget_t *budget, int32_t worker);
static void add_rack(wwh_pool_budget_t *budget, int32_t rack);
static void add_to_counts(wwh_pool_budget_t *budget, int32_t worker,
			  int32_t lost, int32_t serving);
static wwh_constraint_t total_constraint(const wwh_pool_budget_t *budget);

int32_t wwh_budget_limit(const wwh_pool_t *rule, int32_t size)
{
	int32_t share = (int32_t)((int64_t)size * rule->lose_percent / 100);

	return MIN(rule->lose_count, share);
}

wwh_pool_budget_t *wwh_pool_budget_new(const wwh_fleet_view_t *view,
				       int32_t pool)
{
	wwh_pool_budget_t *budget = g_new0(wwh_pool_budget_t, 1);

	budget->view = view;
	budget->pool = wwh_fleet_pool(view, pool);
	budget->limit =
		wwh_budget_limit(&budget->pool->rule, budget->pool->size);
	budget->rack_positions = g_hash_table_new(NULL, NULL);
	budget->racks = g_array_new(FALSE, TRUE, sizeof(domain_count_t));
	budget->zones = g_new0(domain_count_t, wwh_fleet_zone_count(view) + 1);
	for (int32_t i = 0; i < budget->pool->size; i++) {
		int32_t member = wwh_fleet_member(view, pool, i);
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, member);
		bool lost = wwh_fleet_is_lost(worker);

		add_rack(budget, worker->rack);
		add_to_counts(budget, member, lost ? 1 : 0, lost ? 0 : 1);
	}
	return budget;
}

void wwh_pool_budget_delete(wwh_pool_budget_t *budget)
{
	if (!budget)
		return;
	g_hash_table_destroy(budget->rack_positions);
	g_array_free(budget->racks, TRUE);
	g_free(budget->zones);
	g_free(budget);
}

wwh_constraint_t wwh_pool_budget_allows(const wwh_pool_budget_t *budget,
					int32_t worker)
{
	return wwh_pool_budget_allows_with_reserve(budget, worker,
						   budget->pool->rule.reserve);
}

wwh_constraint_t
wwh_pool_budget_allows_with_reserve(const wwh_pool_budget_t *budget,
				    int32_t worker, wwh_domain_t reserve)
{
	const wwh_pool_t *rule = &budget->pool->rule;
	domain_count_t *rack = rack_of(budget, worker);
	domain_count_t *zone = zone_of(budget, worker);
	int32_t largest;

	if (budget->lost >= budget->limit)
		return total_constraint(budget);
	if (rule->lose_per_rack > 0 && rack->lost >= rule->lose_per_rack)
		return WWH_CONSTRAINT_LOSE_PER_RACK;
	if (rule->lose_per_zone > 0 && zone->lost >= rule->lose_per_zone)
		return WWH_CONSTRAINT_LOSE_PER_ZONE;
	/* The worker is already out when the domain fails; count it once. */
	rack->serving--;
	zone->serving--;
	largest = wwh_pool_budget_largest_domain(budget, reserve);
	rack->serving++;
	zone->serving++;
	if (reserve == WWH_DOMAIN_WORKER && budget->serving <= 1)
		largest = 0;
	if (budget->lost + 1 + largest > budget->limit)
		return WWH_CONSTRAINT_RESERVE;
	return WWH_CONSTRAINT_NONE;
}

void wwh_pool_budget_mark_out(wwh_pool_budget_t *budget, int32_t worker)
{
	add_to_counts(budget, worker, 1, -1);
	assert(budget->serving >= 0);
}

void wwh_pool_budget_mark_serving(wwh_pool_budget_t *budget, int32_t worker)
{
	add_to_counts(budget, worker, -1, 1);
	assert(budget->lost >= 0);
}

int32_t wwh_pool_budget_lost(const wwh_pool_budget_t *budget)
{
	return budget->lost;
}

int32_t wwh_pool_budget_limit(const wwh_pool_budget_t *budget)
{
	return budget->limit;
}

int32_t wwh_pool_budget_largest_domain(const wwh_pool_budget_t *budget,
				       wwh_domain_t domain)
{
	int32_t zone_count = wwh_fleet_zone_count(budget->view);
	int32_t largest = 0;

	if (domain == WWH_DOMAIN_WORKER)
		return MIN(budget->serving, 1);
	if (domain == WWH_DOMAIN_RACK) {
		for (guint i = 0; i < budget->racks->len; i++) {
			largest = MAX(largest, g_array_index(budget->racks,
							     domain_count_t, i)
						       .serving);
		}
		return largest;
	}
	for (int32_t i = 0; i < zone_count; i++)
		largest = MAX(largest, budget->zones[i].serving);
	return largest;
}

bool wwh_pool_budget_is_met(const wwh_pool_budget_t *budget)
{
	const wwh_pool_t *rule = &budget->pool->rule;
	int32_t zone_count = wwh_fleet_zone_count(budget->view);

	if (budget->lost > budget->limit)
		return false;
	for (guint i = 0; rule->lose_per_rack > 0 && i < budget->racks->len;
	     i++) {
		if (g_array_index(budget->racks, domain_count_t, i).lost >
		    rule->lose_per_rack)
			return false;
	}
	for (int32_t i = 0; rule->lose_per_zone > 0 && i < zone_count; i++) {
		if (budget->zones[i].lost > rule->lose_per_zone)
			return false;
	}
	return true;
}

static domain_count_t *rack_of(const wwh_pool_budget_t *budget, int32_t worker)
{
	int32_t rack = wwh_fleet_worker(budget->view, worker)->rack;
	int32_t position = GPOINTER_TO_INT(g_hash_table_lookup(
		budget->rack_positions, GINT_TO_POINTER(rack + 1)));

	assert(position > 0);
	return &g_array_index(budget->racks, domain_count_t, position - 1);
}

static domain_count_t *zone_of(const wwh_pool_budget_t *budget, int32_t worker)
{
	return &budget->zones[wwh_fleet_worker(budget->view, worker)->zone];
}

static void add_rack(wwh_pool_budget_t *budget, int32_t rack)
{
	gpointer key = GINT_TO_POINTER(rack + 1);

	if (g_hash_table_contains(budget->rack_positions, key))
		return;
	g_array_set_size(budget->racks, budget->racks->len + 1);
	g_hash_table_insert(budget->rack_positions, key,
			    GINT_TO_POINTER((gint)budget->racks->len));
}

static void add_to_counts(wwh_pool_budget_t *budget, int32_t worker,
			  int32_t lost, int32_t serving)
{
	domain_count_t *rack = rack_of(budget, worker);
	domain_count_t *zone = zone_of(budget, worker);

	rack->lost += lost;
	zone->lost += lost;
	budget->lost += lost;
	rack->serving += serving;
	zone->serving += serving;
	budget->serving += serving;
}

static wwh_constraint_t total_constraint(const wwh_pool_budget_t *budget)
{
	return budget->limit == budget->pool->rule.lose_count
		       ? WWH_CONSTRAINT_LOSE_COUNT
		       : WWH_CONSTRAINT_LOSE_PERCENT;
}
