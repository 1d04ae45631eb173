#include "private/scheduler_policy.h"
#include "private/scheduler_state.h"

/* Lower estimates are raised to this, as they are unreliable. */
#define MIN_ESTIMATE_MS 100

/* Longer estimates request all hosts anyway, and their sums could overflow. */
#define MAX_ESTIMATE_MS 60000

/* Upper bound of a host, 10,000 cores. Bounds sums while no host is known. */
#define MAX_HOST_MILLICORES 10000000

/* Work submitted within this time is used to forecast the next work. */
#define ARRIVAL_WINDOW_MS 500

/* The same for an increase of its rate. */
#define NEWEST_WINDOW_MS 250

static int64_t largest_host(wwh_scheduler_t *scheduler);
static void add_occurrence_demand(const wwh_scheduler_t *scheduler,
				  const sched_occurrence_t *occurrence,
				  wwh_pool_demand_t *demand);
static int32_t hosts_for_unplaceable(wwh_scheduler_t *scheduler,
				     const sched_pool_t *pool,
				     int64_t host_millicores);
static int32_t hosts_for_step(wwh_scheduler_t *scheduler, sched_step_t *step,
			      int64_t host_millicores);
static void add_lasting_demand(const sched_step_t *step,
			       wwh_pool_demand_t *demand);
static void add_step_demand(const wwh_scheduler_t *scheduler,
			    const sched_step_t *step, int64_t latest_end_ms,
			    wwh_pool_demand_t *demand);
static void add_path_after(const sched_step_t *step, int64_t after_step_ms,
			   int64_t *after_ms);
static int64_t demand_estimate_ms(const sched_step_t *step);

wwh_pool_demand_t wwh_scheduler_pool_demand(wwh_scheduler_t *scheduler,
					    const char *name)
{
	sched_pool_t *pool = sched_pool_get(scheduler, name);
	wwh_pool_demand_t demand = { .host_millicores =
					     largest_host(scheduler) };
	int32_t hosts_with_lasting = 0;

	for (guint i = 0; i < pool->live->len; i++) {
		const sched_job_t *job = g_ptr_array_index(pool->live, i);

		if (!sched_job_is_live(job))
			continue;
		for (guint k = 0; k < job->occurrences->len; k++)
			add_occurrence_demand(
				scheduler,
				g_ptr_array_index(job->occurrences, k),
				&demand);
	}
	for (guint i = 0; i < pool->upstreams->len; i++) {
		const sched_upstream_t *upstream =
			g_ptr_array_index(pool->upstreams, i);

		for (guint k = 0; k < upstream->tasks->len; k++) {
			const sched_task_t *task =
				g_ptr_array_index(upstream->tasks, k);

			if (task->step->spec->lasting) {
				hosts_with_lasting++;
				break;
			}
		}
	}
	sched_room_add_demand(scheduler, pool, &demand);
	demand.min_hosts =
		MAX(demand.min_hosts,
		    hosts_with_lasting +
			    hosts_for_unplaceable(scheduler, pool,
						  demand.host_millicores));
	return demand;
}

/*
 * Hosts are similar in size; those of all pools are considered because a pool may
 * have none.
 */
static int64_t largest_host(wwh_scheduler_t *scheduler)
{
	if (scheduler->largest_host_known)
		return scheduler->largest_host;
	scheduler->largest_host_known = true;
	scheduler->largest_host = 0;
	for (guint i = 0; i < scheduler->run_order->len; i++) {
		const sched_upstream_t *upstream =
			g_ptr_array_index(scheduler->run_order, i);

		scheduler->largest_host =
			MAX(scheduler->largest_host,
			    upstream->info.size.cpu_millicores);
	}
	return scheduler->largest_host;
}

/*
 * Returns how many hosts are needed for waiting lasting tasks that fit on no
 * usable host: the hosts with lasting tasks may be full, or may have the
 * maximum number of tasks of the step. If these tasks weren't counted, the pool
 * would seem to have enough hosts, and a task whose host was lost would wait
 * although an idle host is about to leave the pool.
 */
static int32_t hosts_for_unplaceable(wwh_scheduler_t *scheduler,
				     const sched_pool_t *pool,
				     int64_t host_millicores)
{
	int32_t hosts = 0;

	for (guint i = 0; i < pool->live->len; i++) {
		const sched_job_t *job = g_ptr_array_index(pool->live, i);

		if (!sched_job_is_live(job))
			continue;
		for (guint k = 0; k < job->occurrences->len; k++) {
			const sched_occurrence_t *occurrence =
				g_ptr_array_index(job->occurrences, k);

			for (int32_t n = 0; n < job->spec->step_count; n++)
				hosts += hosts_for_step(scheduler,
							&occurrence->steps[n],
							host_millicores);
		}
	}
	return hosts;
}

/* The tasks of a step have equal needs, so one waiting task represents all. */
static int32_t hosts_for_step(wwh_scheduler_t *scheduler, sched_step_t *step,
			      int64_t host_millicores)
{
	const wwh_job_step_t *spec = step->spec;
	sched_task_t *waiting = NULL;
	int32_t count = 0;

	if (!spec->lasting || !sched_step_is_ready(step) ||
	    spec->need.cpu_millicores > host_millicores)
		return 0;
	for (int32_t i = 0; i < spec->task_count; i++) {
		sched_task_t *task = &step->tasks[i];

		if (sched_task_state(task) != TASK_WAITING || task->inherited)
			continue;
		waiting = task;
		count++;
	}
	if (waiting == NULL || sched_task_fits_elsewhere(scheduler, waiting))
		return 0;
	return spec->max_per_upstream > 0 ? (count + spec->max_per_upstream -
					     1) / spec->max_per_upstream
					  : 1;
}

/*
 * Work that has become useless to its caller and work that fits on no host
 * don't add to the demand: hosts requested for such work would be missing where
 * callers wait.
 */
static void add_occurrence_demand(const wwh_scheduler_t *scheduler,
				  const sched_occurrence_t *occurrence,
				  wwh_pool_demand_t *demand)
{
	const sched_job_t *job = occurrence->job;
	bool useful = wwh_policy_is_useful(
		scheduler->now_ms - occurrence->due_ms, job->objective_ms);
	int64_t max_millicores = demand->host_millicores > 0
					 ? demand->host_millicores
					 : MAX_HOST_MILLICORES;
	int64_t time_left_ms =
		occurrence->due_ms + job->objective_ms - scheduler->now_ms;
	int64_t after_ms[WWH_JOB_MAX_STEPS] = { 0 };

	/* from the last step, as each one must leave time for those after it */
	for (int32_t i = job->spec->step_count; i-- > 0;) {
		const sched_step_t *step = &occurrence->steps[i];

		add_path_after(step, after_ms[i], after_ms);
		if (step->spec->need.cpu_millicores > max_millicores)
			continue;
		if (step->spec->lasting)
			add_lasting_demand(step, demand);
		else if (useful)
			add_step_demand(scheduler, step,
					time_left_ms - after_ms[i], demand);
	}
}

/*
 * Raises, for each step that step waits for, the length of the longest path
 * after it. after_step_ms is the length of that after step itself.
 */
static void add_path_after(const sched_step_t *step, int64_t after_step_ms,
			   int64_t *after_ms)
{
	int64_t path_ms = after_step_ms + demand_estimate_ms(step);

	for (int32_t i = 0; i < step->spec->after_count; i++)
		after_ms[step->spec->after[i]] =
			MAX(after_ms[step->spec->after[i]], path_ms);
}

static void add_lasting_demand(const sched_step_t *step,
			       wwh_pool_demand_t *demand)
{
	const wwh_job_step_t *spec = step->spec;
	int32_t left = spec->task_count - step->done;
	int32_t per_host = MAX(spec->max_per_upstream, 1);

	if (!spec->filler)
		demand->lasting += left * MIN(spec->need.cpu_millicores,
					      MAX_HOST_MILLICORES);
	if (spec->max_per_upstream > 0)
		demand->min_hosts = MAX(demand->min_hosts,
					(left + per_host - 1) / per_host);
}

static void add_step_demand(const wwh_scheduler_t *scheduler,
			    const sched_step_t *step, int64_t latest_end_ms,
			    wwh_pool_demand_t *demand)
{
	const wwh_job_step_t *spec = step->spec;
	int32_t left = spec->task_count - step->done;
	int64_t cpu = spec->need.cpu_millicores;
	int64_t estimate_ms = demand_estimate_ms(step);
	int64_t age_ms = scheduler->now_ms - step->occurrence->due_ms;
	/* running tasks are on average half done */
	int64_t work = (2 * left - step->outstanding) * cpu * estimate_ms / 2;
	bool ready = sched_step_is_ready(step);

	if (age_ms < NEWEST_WINDOW_MS)
		demand->newest_work += spec->task_count * cpu * estimate_ms;
	if (age_ms < ARRIVAL_WINDOW_MS) {
		demand->recent_work += spec->task_count * cpu * estimate_ms;
		if (ready)
			demand->recent_millicores += spec->task_count * cpu;
	}
	demand->remaining_work += work;
	if (ready)
		demand->usable_millicores += left * cpu;
	wwh_pool_demand_add(
		demand, work,
		ready ? (left - step->outstanding) * cpu * estimate_ms : 0,
		latest_end_ms, estimate_ms);
}

static int64_t demand_estimate_ms(const sched_step_t *step)
{
	return CLAMP(step->spec->estimate_ms, MIN_ESTIMATE_MS, MAX_ESTIMATE_MS);
}
