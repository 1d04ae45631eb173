#include "waxwinghollow/planner.h"

#include <assert.h>
#include <stdlib.h>

#include "private/plan_pool.h"
#include "waxwinghollow/window.h"

#define HOUR_MS 3600000.0

struct wwh_plan {
	const wwh_fleet_view_t *view;
	wwh_plan_options_t options;
	GArray *pools; /* of wwh_plan_pool_t */
	GArray *steps; /* of wwh_plan_step_t */
	wwh_plan_totals_t totals;
};

static int compare_times(gconstpointer a, gconstpointer b);
static int compare_steps(gconstpointer a, gconstpointer b);
static GArray *candidate_times(const wwh_plan_pool_work_t *works,
			       int32_t count);
static const wwh_plan_speed_t *speed_for(const wwh_plan_pool_work_t *work,
					 int64_t time_ms);
static int32_t reserve_of(const wwh_plan_pool_work_t *work);
static double cost_of(const wwh_plan_pool_work_t *works, int32_t count,
		      const int32_t *reserves, int64_t time_ms);
static int64_t best_time(const wwh_plan_pool_work_t *works, int32_t count,
			 double *cost);
static void add_pool(wwh_plan_t *plan, const wwh_plan_pool_work_t *work,
		     int64_t time_ms);
static void sum_up(wwh_plan_t *plan);

void wwh_plan_options_defaults(wwh_plan_options_t *options)
{
	*options = (wwh_plan_options_t){
		.buffer_weight = 1,
		.move_weight = 1,
		.pool = WWH_FLEET_NONE,
		.checkpoint_ms = 30 * 1000,
		.drain_limit_ms = 30 * 60 * 1000,
		.service_ms = 10 * 60 * 1000,
	};
}

wwh_plan_t *wwh_plan_new(const wwh_fleet_view_t *view,
			 const wwh_plan_options_t *options)
{
	wwh_plan_t *plan = g_new0(wwh_plan_t, 1);
	int32_t pool_count = wwh_fleet_pool_count(view);
	wwh_plan_pool_work_t *works =
		g_new0(wwh_plan_pool_work_t, pool_count + 1);
	int32_t count = 0;
	int64_t time_ms;

	plan->view = view;
	plan->options = *options;
	plan->pools = g_array_new(FALSE, TRUE, sizeof(wwh_plan_pool_t));
	plan->steps = g_array_new(FALSE, TRUE, sizeof(wwh_plan_step_t));
	for (int32_t i = 0; i < pool_count; i++) {
		if (options->pool != WWH_FLEET_NONE && options->pool != i)
			continue;
		wwh_plan_pool_init(&works[count++], view, i, &plan->options);
	}
	time_ms = best_time(works, count, &plan->totals.cost);
	for (int32_t i = 0; i < count; i++)
		add_pool(plan, &works[i], time_ms);
	g_array_sort(plan->steps, compare_steps);
	sum_up(plan);
	for (int32_t i = 0; i < count; i++)
		wwh_plan_pool_finish(&works[i]);
	g_free(works);
	return plan;
}

void wwh_plan_delete(wwh_plan_t *plan)
{
	if (!plan)
		return;
	g_array_free(plan->pools, TRUE);
	g_array_free(plan->steps, TRUE);
	g_free(plan);
}

const wwh_plan_totals_t *wwh_plan_totals(const wwh_plan_t *plan)
{
	return &plan->totals;
}

int32_t wwh_plan_pool_count(const wwh_plan_t *plan)
{
	return (int32_t)plan->pools->len;
}

const wwh_plan_pool_t *wwh_plan_pool(const wwh_plan_t *plan, int32_t index)
{
	assert(index >= 0 && index < (int32_t)plan->pools->len);
	return &g_array_index(plan->pools, wwh_plan_pool_t, index);
}

int32_t wwh_plan_step_count(const wwh_plan_t *plan)
{
	return (int32_t)plan->steps->len;
}

const wwh_plan_step_t *wwh_plan_step(const wwh_plan_t *plan, int32_t index)
{
	assert(index >= 0 && index < (int32_t)plan->steps->len);
	return &g_array_index(plan->steps, wwh_plan_step_t, index);
}

static int compare_times(gconstpointer a, gconstpointer b)
{
	const int64_t *left = a;
	const int64_t *right = b;

	return (*left > *right) - (*left < *right);
}

static int compare_steps(gconstpointer a, gconstpointer b)
{
	const wwh_plan_step_t *left = a;
	const wwh_plan_step_t *right = b;

	if (left->batch != right->batch)
		return left->batch < right->batch ? -1 : 1;
	if (left->start_ms != right->start_ms)
		return left->start_ms < right->start_ms ? -1 : 1;
	return (left->worker > right->worker) - (left->worker < right->worker);
}

/* Every time at which some pool can end, each once, rising. */
static GArray *candidate_times(const wwh_plan_pool_work_t *works, int32_t count)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	guint kept = 0;

	for (int32_t i = 0; i < count; i++) {
		for (guint s = 0; s < works[i].speeds->len; s++)
			g_array_append_val(times,
					   g_array_index(works[i].speeds,
							 wwh_plan_speed_t, s)
						   .duration_ms);
	}
	g_array_sort(times, compare_times);
	for (guint i = 0; i < times->len; i++) {
		int64_t time_ms = g_array_index(times, int64_t, i);

		if (kept == 0 ||
		    g_array_index(times, int64_t, kept - 1) != time_ms)
			g_array_index(times, int64_t, kept++) = time_ms;
	}
	g_array_set_size(times, kept);
	return times;
}

/* The slowest speed that ends by time_ms, else the fastest; NULL: no turns. */
static const wwh_plan_speed_t *speed_for(const wwh_plan_pool_work_t *work,
					 int64_t time_ms)
{
	const wwh_plan_speed_t *speed = NULL;

	for (guint i = 0; i < work->speeds->len; i++) {
		speed = &g_array_index(work->speeds, wwh_plan_speed_t, i);
		if (speed->duration_ms <= time_ms)
			return speed;
	}
	return speed;
}

static int32_t reserve_of(const wwh_plan_pool_work_t *work)
{
	wwh_pool_budget_t *tally = wwh_pool_budget_new(work->view, work->pool);
	int32_t reserve = wwh_pool_budget_largest_domain(
		tally, wwh_fleet_pool(work->view, work->pool)->rule.reserve);

	wwh_pool_budget_delete(tally);
	return reserve;
}

/* In points; see the head of planner.h. */
static double cost_of(const wwh_plan_pool_work_t *works, int32_t count,
		      const int32_t *reserves, int64_t time_ms)
{
	int64_t held_back = 0;
	int64_t workers = 0;
	int64_t end_ms = 0;

	for (int32_t i = 0; i < count; i++) {
		const wwh_plan_speed_t *speed = speed_for(&works[i], time_ms);

		workers += wwh_fleet_pool(works[i].view, works[i].pool)->size;
		if (!speed)
			continue;
		held_back += speed->peak + reserves[i];
		end_ms = MAX(end_ms, speed->duration_ms);
	}
	if (workers == 0)
		return 0.0;
	return works[0].options->buffer_weight * 100.0 * (double)held_back /
		       (double)workers +
	       (double)end_ms / HOUR_MS;
}

static int64_t best_time(const wwh_plan_pool_work_t *works, int32_t count,
			 double *cost)
{
	int32_t *reserves = g_new0(int32_t, count + 1);
	GArray *times = candidate_times(works, count);
	int64_t best_ms = 0;

	*cost = 0.0;
	for (int32_t i = 0; i < count; i++)
		reserves[i] = reserve_of(&works[i]);
	for (guint i = 0; i < times->len; i++) {
		int64_t time_ms = g_array_index(times, int64_t, i);
		double found = cost_of(works, count, reserves, time_ms);

		if (i == 0 || found < *cost) {
			*cost = found;
			best_ms = time_ms;
		}
	}
	g_array_free(times, TRUE);
	g_free(reserves);
	return best_ms;
}

static void add_pool(wwh_plan_t *plan, const wwh_plan_pool_work_t *work,
		     int64_t time_ms)
{
	const wwh_plan_options_t *options = &plan->options;
	const wwh_fleet_pool_t *item = wwh_fleet_pool(plan->view, work->pool);
	const wwh_plan_speed_t *speed = speed_for(work, time_ms);
	guint first = plan->steps->len;
	wwh_plan_pool_t pool = { .pool = work->pool, .skipped = item->size };

	for (int32_t i = 0; i < item->size; i++) {
		const wwh_fleet_worker_t *worker = wwh_fleet_worker(
			plan->view,
			wwh_fleet_member(plan->view, work->pool, i));

		if (!wwh_fleet_is_lost(worker) || worker->maintained)
			pool.skipped--;
	}
	pool.held_back = reserve_of(work);
	if (speed) {
		const wwh_plan_speed_t *last = &g_array_index(
			work->speeds, wwh_plan_speed_t, work->speeds->len - 1);

		wwh_plan_pool_play(work, speed->asked, plan->steps);
		pool.out_at_once = speed->peak;
		pool.most_at_once = last->peak;
		pool.binding = last->binding;
		pool.held_back += speed->peak;
		pool.duration_ms = speed->duration_ms;
		pool.blocked = speed->left > 0;
	}
	pool.workers = (int32_t)(plan->steps->len - first);
	if (pool.workers > 0)
		wwh_plan_pool_move_jobs(
			work,
			&g_array_index(plan->steps, wwh_plan_step_t, first),
			pool.workers);
	for (guint i = first; i < plan->steps->len; i++) {
		const wwh_plan_step_t *step =
			&g_array_index(plan->steps, wwh_plan_step_t, i);

		pool.moves += step->moves;
		pool.again += step->again;
		pool.stranded += step->stranded;
	}
	pool.end_ms = wwh_window_end_of_work(options->windows,
					     options->window_count, item->id,
					     options->utc_ms, pool.duration_ms);
	g_array_append_val(plan->pools, pool);
}

static void sum_up(wwh_plan_t *plan)
{
	wwh_plan_totals_t *totals = &plan->totals;

	totals->slowest_pool = WWH_FLEET_NONE;
	totals->end_ms = plan->options.utc_ms;
	for (guint i = 0; i < plan->pools->len; i++) {
		const wwh_plan_pool_t *pool =
			&g_array_index(plan->pools, wwh_plan_pool_t, i);

		totals->workers += pool->workers;
		totals->skipped += pool->skipped;
		totals->held_back += pool->held_back;
		totals->moves += pool->moves;
		totals->again += pool->again;
		totals->stranded += pool->stranded;
		totals->blocked_pools += pool->blocked ? 1 : 0;
		totals->duration_ms =
			MAX(totals->duration_ms, pool->duration_ms);
		if (pool->end_ms < 0 || totals->end_ms < 0)
			totals->end_ms = -1;
		else
			totals->end_ms = MAX(totals->end_ms, pool->end_ms);
		if (pool->workers > 0 &&
		    (totals->slowest_pool == WWH_FLEET_NONE ||
		     pool->duration_ms >= totals->duration_ms)) {
			totals->slowest_pool = pool->pool;
			totals->binding = pool->binding;
		}
	}
	for (guint i = 0; i < plan->steps->len; i++) {
		const wwh_plan_step_t *step =
			&g_array_index(plan->steps, wwh_plan_step_t, i);

		totals->batches = MAX(totals->batches, step->batch + 1);
	}
}
