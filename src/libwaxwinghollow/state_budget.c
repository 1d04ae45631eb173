#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "private/state_internal.h"
#include "waxwinghollow/budget.h"

/* A pool's losses as they would be after the requested change. */
typedef struct {
	int32_t members;
	int32_t lost;
	int32_t reserve;
} losses_t;

static const wwh_domain_count_t *find_count(const wwh_domain_counts_t *counts,
					    const char *name)
{
	guint position =
		GPOINTER_TO_UINT(g_hash_table_lookup(counts->index, name));

	assert(position > 0);
	return &g_array_index(counts->counts, wwh_domain_count_t, position - 1);
}

/*
 * The largest number of available members in one domain. One more member of
 * candidate_domain counts as lost, unless that is NULL.
 */
static int32_t largest_domain(const wwh_domain_counts_t *counts,
			      const char *candidate_domain)
{
	int32_t largest = 0;

	for (guint i = 0; i < counts->counts->len; i++) {
		const wwh_domain_count_t *count =
			&g_array_index(counts->counts, wwh_domain_count_t, i);
		int32_t available = count->members - count->lost;

		if (candidate_domain != NULL &&
		    strcmp(count->name, candidate_domain) == 0)
			available--;
		largest = MAX(largest, available);
	}
	return largest;
}

int32_t wwh_state_pool_reserve(const wwh_state_pool_t *pool,
			       wwh_domain_t reserve,
			       const wwh_state_worker_t *candidate)
{
	int32_t available =
		pool->members - pool->lost - (candidate != NULL ? 1 : 0);

	if (reserve == WWH_DOMAIN_RACK)
		return largest_domain(&pool->racks,
				      candidate ? candidate->declared->rack
						: NULL);
	if (reserve == WWH_DOMAIN_ZONE)
		return largest_domain(&pool->zones,
				      candidate ? candidate->declared->zone
						: NULL);
	return MIN(available, 1);
}

static wwh_verdict_t check_total(const wwh_state_t *state,
				 const wwh_state_pool_t *pool,
				 const losses_t *losses,
				 wwh_verdict_detail_t *detail)
{
	int32_t limit = wwh_budget_limit(pool->declared, losses->members);

	if (losses->lost + losses->reserve <= limit)
		return WWH_VERDICT_ACCEPTED;
	return wwh_state_verdict(
		state, detail, WWH_VERDICT_BUDGET, WWH_NO_OFFSET,
		"pool %s: %d lost and %d in reserve (%s) exceed %d of %d "
		"(lose_count %d, lose_percent %d)",
		pool->declared->id, losses->lost, losses->reserve,
		wwh_domain_names[pool->declared->reserve], limit,
		losses->members, pool->declared->lose_count,
		pool->declared->lose_percent);
}

static wwh_verdict_t check_domain(const wwh_state_t *state,
				  const wwh_state_pool_t *pool,
				  const char *setting, int32_t limit,
				  const wwh_domain_count_t *count,
				  wwh_verdict_detail_t *detail)
{
	if (limit == 0 || count->lost + 1 <= limit)
		return WWH_VERDICT_ACCEPTED;
	return wwh_state_verdict(
		state, detail, WWH_VERDICT_BUDGET, WWH_NO_OFFSET,
		"pool %s: %d lost in %s exceed %s %d", pool->declared->id,
		count->lost + 1, count->name, setting, limit);
}

wwh_verdict_t wwh_state_check_budget(const wwh_state_t *state,
				     const wwh_state_worker_t *worker,
				     wwh_grant_reason_t reason,
				     wwh_verdict_detail_t *detail)
{
	const wwh_state_pool_t *pool = worker->pool;
	const wwh_pool_t *declared = pool->declared;
	wwh_domain_t reserve = reason == WWH_GRANT_REHEARSAL
				       ? WWH_DOMAIN_WORKER
				       : declared->reserve;
	losses_t losses = { pool->members, pool->lost + 1, 0 };
	wwh_verdict_t verdict;

	if (wwh_state_worker_is_lost(worker))
		return WWH_VERDICT_ACCEPTED;
	losses.reserve = wwh_state_pool_reserve(pool, reserve, worker);
	verdict = check_total(state, pool, &losses, detail);
	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	verdict = check_domain(
		state, pool, "lose_per_rack", declared->lose_per_rack,
		find_count(&pool->racks, worker->declared->rack), detail);
	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	return check_domain(
		state, pool, "lose_per_zone", declared->lose_per_zone,
		find_count(&pool->zones, worker->declared->zone), detail);
}

/* Checks the pool without worker, which must count as lost in it. */
wwh_verdict_t wwh_state_check_budget_without(const wwh_state_t *state,
					     const wwh_state_worker_t *worker,
					     wwh_verdict_detail_t *detail)
{
	const wwh_state_pool_t *pool = worker->pool;
	losses_t losses = { pool->members - 1, pool->lost - 1, 0 };

	assert(wwh_state_worker_is_lost(worker));
	losses.reserve =
		wwh_state_pool_reserve(pool, pool->declared->reserve, NULL);
	return check_total(state, pool, &losses, detail);
}
