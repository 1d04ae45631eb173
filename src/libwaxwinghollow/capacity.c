#include "waxwinghollow/capacity.h"

static void count_members(const wwh_fleet_view_t *view, int32_t pool,
			  wwh_capacity_t *capacity);
static int32_t count_room(const wwh_fleet_view_t *view, int32_t pool,
			  wwh_pool_budget_t *tally, wwh_constraint_t *binding);

wwh_capacity_t wwh_capacity_of(const wwh_fleet_view_t *view, int32_t pool)
{
	const wwh_fleet_pool_t *item = wwh_fleet_pool(view, pool);
	wwh_pool_budget_t *tally = wwh_pool_budget_new(view, pool);
	wwh_capacity_t capacity = {
		.size = item->size,
		.limit = wwh_pool_budget_limit(tally),
		.reserve = item->rule.reserve,
		.reserve_workers = wwh_pool_budget_largest_domain(
			tally, item->rule.reserve),
		.holds = wwh_pool_budget_is_met(tally),
	};

	count_members(view, pool, &capacity);
	capacity.held_back = capacity.reserve_workers + capacity.out;
	capacity.survives =
		capacity.holds &&
		wwh_pool_budget_lost(tally) + capacity.reserve_workers <=
			capacity.limit;
	capacity.room = count_room(view, pool, tally, &capacity.binding);
	wwh_pool_budget_delete(tally);
	return capacity;
}

void wwh_capacity_options(const wwh_fleet_view_t *view, int32_t pool,
			  wwh_capacity_option_t options[WWH_DOMAIN_COUNT])
{
	wwh_pool_budget_t *tally = wwh_pool_budget_new(view, pool);
	int32_t limit = wwh_pool_budget_limit(tally);

	for (int32_t i = 0; i < WWH_DOMAIN_COUNT; i++) {
		wwh_capacity_option_t *option = &options[i];
		int32_t reserve =
			wwh_pool_budget_largest_domain(tally, (wwh_domain_t)i);

		option->reserve = (wwh_domain_t)i;
		option->held_back = reserve + 1;
		option->out_at_once =
			MAX(limit - wwh_pool_budget_lost(tally) - reserve, 0);
		for (int32_t d = 0; d < WWH_DOMAIN_COUNT; d++) {
			int32_t lost = wwh_pool_budget_lost(tally) +
				       option->out_at_once +
				       wwh_pool_budget_largest_domain(
					       tally, (wwh_domain_t)d);

			option->breach_workers[d] = MAX(lost - limit, 0);
		}
	}
	wwh_pool_budget_delete(tally);
}

static void count_members(const wwh_fleet_view_t *view, int32_t pool,
			  wwh_capacity_t *capacity)
{
	for (int32_t i = 0; i < capacity->size; i++) {
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, wwh_fleet_member(view, pool, i));

		switch (worker->state) {
		case WWH_FLEET_SERVING:
			capacity->serving++;
			capacity->serving_cores_milli +=
				worker->size.cpu_millicores;
			capacity->used_cores_milli +=
				worker->used.cpu_millicores;
			break;
		case WWH_FLEET_FAILED:
			capacity->failed++;
			break;
		default:
			capacity->out++;
			break;
		}
	}
}

/* Takes serving members in their order until a limit binds. */
static int32_t count_room(const wwh_fleet_view_t *view, int32_t pool,
			  wwh_pool_budget_t *tally, wwh_constraint_t *binding)
{
	int32_t size = wwh_fleet_pool(view, pool)->size;
	int32_t room = 0;

	*binding = WWH_CONSTRAINT_NO_WORKERS;
	for (int32_t i = 0; i < size; i++) {
		int32_t member = wwh_fleet_member(view, pool, i);
		wwh_constraint_t found;

		if (wwh_fleet_worker(view, member)->state != WWH_FLEET_SERVING)
			continue;
		found = wwh_pool_budget_allows(tally, member);
		if (found == WWH_CONSTRAINT_NONE) {
			wwh_pool_budget_mark_out(tally, member);
			room++;
			continue;
		}
		*binding = found;
		if (found != WWH_CONSTRAINT_LOSE_PER_RACK &&
		    found != WWH_CONSTRAINT_LOSE_PER_ZONE)
			break;
	}
	return room;
}
