#include "private/scheduler_state.h"

#include "private/scheduler_policy.h"

static sched_upstream_t *cheapest_upstream(wwh_scheduler_t *scheduler,
					   sched_task_t *task,
					   const char **ticket);
static bool fits_on(const wwh_scheduler_t *scheduler,
		    const sched_upstream_t *upstream, const sched_task_t *task);
static int64_t placement_cost(const sched_upstream_t *upstream,
			      const sched_task_t *task);
static int32_t count_step_tasks(const sched_upstream_t *upstream,
				const sched_step_t *step);
static int32_t count_lasting_tasks(const sched_upstream_t *upstream);
static int32_t count_interfering(const sched_upstream_t *upstream,
				 const wwh_job_step_t *spec);

sched_upstream_t *sched_choose_upstream(wwh_scheduler_t *scheduler,
					sched_task_t *task, const char **ticket)
{
	sched_upstream_t *best = cheapest_upstream(scheduler, task, ticket);

	if (best != NULL && sched_upstream_is_slow(best) &&
	    sched_speed_holds_back(scheduler, task, best))
		return NULL;
	return best;
}

bool sched_task_fits_elsewhere(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	const char *ticket = NULL;

	return cheapest_upstream(scheduler, task, &ticket) != NULL;
}

static sched_upstream_t *cheapest_upstream(wwh_scheduler_t *scheduler,
					   sched_task_t *task,
					   const char **ticket)
{
	sched_step_t *step = task->step;
	GPtrArray *upstreams = step->occurrence->job->pool->upstreams;
	sched_upstream_t *best = NULL;
	int64_t best_cost = 0;

	for (guint i = 0; i < upstreams->len; i++) {
		sched_upstream_t *upstream = g_ptr_array_index(upstreams, i);
		int64_t cost;

		if (!fits_on(scheduler, upstream, task))
			continue;
		if (sched_step_needs_advice(step) &&
		    sched_ticket_find(scheduler, step, upstream->info.id) ==
			    NULL)
			continue;
		cost = placement_cost(upstream, task);
		if (sched_task_is_suspect(task))
			cost += sched_isolation_cost(upstream);
		if (best == NULL || cost < best_cost) {
			best = upstream;
			best_cost = cost;
		}
	}
	if (best != NULL && sched_step_needs_advice(step))
		*ticket = sched_ticket_find(scheduler, step, best->info.id);
	return best;
}

bool sched_upstream_accepts_step(const sched_upstream_t *upstream,
				 const sched_step_t *step)
{
	const wwh_job_step_t *spec = step->spec;
	const char *const *labels = (const char *const *)upstream->info.labels;

	if (spec->label != NULL && !g_strv_contains(labels, spec->label))
		return false;
	return spec->max_per_upstream == 0 ||
	       count_step_tasks(upstream, step) < spec->max_per_upstream;
}

wwh_load_t sched_upstream_free_load(const sched_upstream_t *upstream)
{
	wwh_load_t room = upstream->info.size;

	wwh_load_subtract(&room, &upstream->used);
	return room;
}

static bool fits_on(const wwh_scheduler_t *scheduler,
		    const sched_upstream_t *upstream, const sched_task_t *task)
{
	const sched_step_t *step = task->step;
	wwh_load_t need = sched_step_reserved_load(step->spec);
	wwh_load_t free = sched_upstream_free_load(upstream);

	if (!sched_upstream_usable(scheduler, upstream) ||
	    !wwh_load_fits(&need, &free) ||
	    !sched_isolation_allows(scheduler, upstream, task))
		return false;
	return sched_upstream_accepts_step(upstream, step);
}

static int64_t placement_cost(const sched_upstream_t *upstream,
			      const sched_task_t *task)
{
	const sched_step_t *step = task->step;
	const wwh_job_step_t *spec = step->spec;
	const char *rack = upstream->info.rack;
	wwh_policy_fit_input_t input = {
		.free_millicores =
			sched_upstream_free_load(upstream).cpu_millicores,
		.need_millicores =
			sched_step_reserved_load(spec).cpu_millicores,
		.capacity_millicores = upstream->info.size.cpu_millicores,
		.failed_on_host = task->avoided_upstream == upstream,
		.fail_streak = upstream->failures.count,
		.lasting = spec->lasting,
		.slowdown_permille = sched_upstream_slowdown_permille(upstream),
	};

	if (spec->data_rack != NULL)
		input.data_on_other_rack =
			g_strcmp0(rack, spec->data_rack) != 0;
	for (int32_t i = 0; spec->same_rack && i < spec->task_count; i++) {
		const sched_upstream_t *other = step->tasks[i].upstream;

		if (other != NULL)
			input.step_on_other_rack =
				g_strcmp0(rack, other->info.rack) != 0;
	}
	if (spec->lasting) {
		input.same_step_on_host = count_step_tasks(upstream, step);
		input.lasting_on_host = count_lasting_tasks(upstream);
	}
	input.interfering_tasks = count_interfering(upstream, spec);
	return wwh_policy_fit_cost(&input);
}

static int32_t count_step_tasks(const sched_upstream_t *upstream,
				const sched_step_t *step)
{
	int32_t count = 0;

	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);

		count += task->step == step;
	}
	return count;
}

static int32_t count_lasting_tasks(const sched_upstream_t *upstream)
{
	int32_t count = 0;

	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);

		count += task->step->spec->lasting;
	}
	return count;
}

/*
 * Counts the tasks on upstream that would slow a task of spec or be slowed by it:
 * fillers use the processor that serving tasks on the same host may need at any
 * moment.
 */
static int32_t count_interfering(const sched_upstream_t *upstream,
				 const wwh_job_step_t *spec)
{
	bool serves = spec->latency_target_ms > 0;
	int32_t count = 0;

	if (!spec->filler && !serves)
		return 0;
	for (guint i = 0; i < upstream->tasks->len; i++) {
		const sched_task_t *task =
			g_ptr_array_index(upstream->tasks, i);
		const wwh_job_step_t *other = task->step->spec;

		count += spec->filler ? other->latency_target_ms > 0
				      : other->filler;
	}
	return count;
}
