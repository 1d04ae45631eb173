#include "private/plan_pool.h"

#include <assert.h>

/*
 * The number of workers that are tried when the first is blocked by the limit
 * of its own rack or zone. It exceeds the workers of one pool in a rack, so
 * that a worker of the next rack is always among them.
 */
#define MAX_LOOKAHEAD_WORKERS 64
#define EXHAUSTIVE_MAX_OUT 16 /* every number up to this one is simulated */

typedef struct {
	int32_t worker;
	int64_t end_ms;
} maintenance_t;

typedef struct {
	const wwh_pool_planner_t *planner;
	wwh_pool_budget_t *budget;
	int32_t *waiting; /* positions in planner->order */
	int32_t waiting_count;
	GArray *out; /* of maintenance_t */
	int64_t now_ms;
	wwh_plan_simulation_t result;
} simulation_t;

static void simulate_concurrency_levels(wwh_pool_planner_t *planner);
static bool start_next(simulation_t *simulation, GArray *steps);
static int32_t find_allowed(simulation_t *simulation);
static void end_earliest(simulation_t *simulation);
static void add_step(const simulation_t *simulation, int32_t position,
		     GArray *steps);

void wwh_plan_pool_init(wwh_pool_planner_t *planner,
			const wwh_fleet_view_t *view, int32_t pool,
			const wwh_plan_options_t *options)
{
	int32_t size = wwh_fleet_pool(view, pool)->size;

	planner->view = view;
	planner->options = options;
	planner->pool = pool;
	planner->order = g_new0(int32_t, size + 1);
	planner->order_count =
		wwh_plan_order(view, pool, options, planner->order);
	planner->maintenance_ms = g_new0(int64_t, size + 1);
	for (int32_t i = 0; i < planner->order_count; i++) {
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, planner->order[i]);

		assert(!wwh_fleet_is_lost(worker));
		planner->maintenance_ms[i] =
			options->service_ms +
			wwh_plan_wait_ms(view, planner->order[i], options);
		if (worker->job_count > 0)
			planner->maintenance_ms[i] += options->checkpoint_ms;
	}
	planner->simulations =
		g_array_new(FALSE, FALSE, sizeof(wwh_plan_simulation_t));
	simulate_concurrency_levels(planner);
}

void wwh_plan_pool_finish(wwh_pool_planner_t *planner)
{
	g_free(planner->order);
	g_free(planner->maintenance_ms);
	g_array_free(planner->simulations, TRUE);
}

wwh_plan_simulation_t wwh_plan_pool_simulate(const wwh_pool_planner_t *planner,
					     int32_t max_out, GArray *steps)
{
	simulation_t simulation = {
		.planner = planner,
		.budget = wwh_pool_budget_new(planner->view, planner->pool),
		.waiting = g_new0(int32_t, planner->order_count + 1),
		.waiting_count = planner->order_count,
		.out = g_array_new(FALSE, FALSE, sizeof(maintenance_t)),
		.result = { .max_out = max_out,
			    .limited_by = WWH_CONSTRAINT_NO_WORKERS },
	};

	for (int32_t i = 0; i < planner->order_count; i++)
		simulation.waiting[i] = i;
	for (;;) {
		while ((int32_t)simulation.out->len < max_out &&
		       start_next(&simulation, steps))
			continue;
		if (simulation.out->len == 0)
			break;
		end_earliest(&simulation);
	}
	simulation.result.duration_ms = simulation.now_ms;
	simulation.result.blocked_workers = simulation.waiting_count;
	wwh_pool_budget_delete(simulation.budget);
	g_array_free(simulation.out, TRUE);
	g_free(simulation.waiting);
	return simulation.result;
}

/*
 * Simulates rising numbers of workers out at once until the limits allow no
 * more, and keeps the result of each number that can be reached.
 */
static void simulate_concurrency_levels(wwh_pool_planner_t *planner)
{
	int32_t max_out = 1;

	while (max_out <= planner->order_count) {
		wwh_plan_simulation_t result =
			wwh_plan_pool_simulate(planner, max_out, NULL);

		if (result.peak_out < max_out &&
		    planner->simulations->len > 0) {
			wwh_plan_simulation_t *last = &g_array_index(
				planner->simulations, wwh_plan_simulation_t,
				planner->simulations->len - 1);

			last->limited_by = result.limited_by;
			if (result.peak_out <= last->peak_out)
				break;
		}
		g_array_append_val(planner->simulations, result);
		if (result.peak_out < max_out)
			break;
		max_out += max_out < EXHAUSTIVE_MAX_OUT ? 1 : max_out / 4;
	}
}

static bool start_next(simulation_t *simulation, GArray *steps)
{
	const wwh_pool_planner_t *planner = simulation->planner;
	int32_t waiting_index = find_allowed(simulation);
	int32_t position;
	maintenance_t maintenance;

	if (waiting_index < 0)
		return false;
	position = simulation->waiting[waiting_index];
	maintenance.worker = planner->order[position];
	maintenance.end_ms =
		simulation->now_ms + planner->maintenance_ms[position];
	wwh_pool_budget_mark_out(simulation->budget, maintenance.worker);
	g_array_append_val(simulation->out, maintenance);
	simulation->result.peak_out =
		MAX(simulation->result.peak_out, (int32_t)simulation->out->len);
	if (steps)
		add_step(simulation, position, steps);
	simulation->waiting_count--;
	for (int32_t i = waiting_index; i < simulation->waiting_count; i++)
		simulation->waiting[i] = simulation->waiting[i + 1];
	return true;
}

/*
 * Returns the index in waiting of the first worker that may be taken out, or -1
 * if there is none.
 */
static int32_t find_allowed(simulation_t *simulation)
{
	int32_t lookahead =
		MIN(simulation->waiting_count, MAX_LOOKAHEAD_WORKERS);

	for (int32_t i = 0; i < lookahead; i++) {
		int32_t worker =
			simulation->planner->order[simulation->waiting[i]];
		wwh_constraint_t constraint =
			wwh_pool_budget_allows(simulation->budget, worker);

		if (constraint == WWH_CONSTRAINT_NONE)
			return i;
		simulation->result.limited_by = constraint;
		if (constraint != WWH_CONSTRAINT_LOSE_PER_RACK &&
		    constraint != WWH_CONSTRAINT_LOSE_PER_ZONE)
			return -1;
	}
	return -1;
}

static void end_earliest(simulation_t *simulation)
{
	guint first = 0;
	maintenance_t maintenance;

	for (guint i = 1; i < simulation->out->len; i++) {
		if (g_array_index(simulation->out, maintenance_t, i).end_ms <
		    g_array_index(simulation->out, maintenance_t, first).end_ms)
			first = i;
	}
	maintenance = g_array_index(simulation->out, maintenance_t, first);
	g_array_remove_index(simulation->out, first);
	wwh_pool_budget_mark_serving(simulation->budget, maintenance.worker);
	simulation->now_ms = maintenance.end_ms;
}

static void add_step(const simulation_t *simulation, int32_t position,
		     GArray *steps)
{
	const wwh_pool_planner_t *planner = simulation->planner;
	int32_t done = planner->order_count - simulation->waiting_count;
	wwh_plan_step_t step = {
		.worker = planner->order[position],
		.batch = done / simulation->result.max_out,
		.start_ms = simulation->now_ms,
		.end_ms =
			simulation->now_ms + planner->maintenance_ms[position],
		.wait_ms = wwh_plan_wait_ms(planner->view,
					    planner->order[position],
					    planner->options),
	};

	g_array_append_val(steps, step);
}
