#include "private/placement_state.h"

#include <assert.h>
#include <string.h>

/* Share of its cores that a throttled bulk job keeps, so that it progresses. */
#define THROTTLE_FLOOR_PERCENT 25

typedef struct {
	int32_t throttles;
	int32_t checkpoints;
	bool sufficient;
} preemption_t;

static bool is_preemptible(const wwh_placement_t *placement, int32_t job);
static int64_t current_millicores(const wwh_placement_t *placement,
				  int32_t job);
static preemption_t preempt_on_worker(wwh_placement_t *placement,
				      int32_t worker,
				      const wwh_load_t *required,
				      GArray *decisions);
static bool throttle_bulk(wwh_placement_t *placement, int32_t worker,
			  const wwh_load_t *required, GArray *decisions,
			  preemption_t *result);
static bool checkpoint_bulk(wwh_placement_t *placement, int32_t worker,
			    const wwh_load_t *required, GArray *decisions,
			    preemption_t *result);
static void relieve_worker_overload(wwh_placement_t *placement, int32_t worker,
				    GArray *decisions);
static int32_t largest_excess(const wwh_placement_t *placement, int32_t worker,
			      bool memory);
static wwh_load_t total_usage(const wwh_fleet_view_t *view, int32_t worker);

bool wwh_placement_accepts_jobs(const wwh_placement_t *placement,
				int32_t worker)
{
	const wwh_fleet_worker_t *item =
		wwh_fleet_worker(placement->view, worker);

	return item->state == WWH_FLEET_SERVING && !item->quarantined &&
	       item->grant == WWH_NO_OFFSET;
}

int32_t *wwh_placement_group_by_zone(const wwh_placement_t *placement,
				     int32_t job)
{
	const wwh_fleet_view_t *view = placement->view;
	const wwh_fleet_job_t *item = wwh_fleet_job(view, job);
	int32_t *counts = g_new0(int32_t, wwh_fleet_zone_count(view) + 1);
	int32_t size = wwh_fleet_pool(view, item->pool)->size;

	if (item->group[0] == '\0')
		return counts;
	for (int32_t i = 0; i < size; i++) {
		int32_t member = wwh_fleet_member(view, item->pool, i);
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, member);

		for (int32_t j = 0; j < worker->job_count; j++) {
			const wwh_fleet_job_t *other = wwh_fleet_job(
				view, wwh_fleet_worker_job(view, member, j));

			counts[worker->zone] +=
				other->phase == WWH_JOB_PHASE_PLACED &&
				strcmp(other->group, item->group) == 0;
		}
	}
	for (guint i = 0; i < placement->assigned_jobs->len; i++) {
		int32_t assigned_job =
			g_array_index(placement->assigned_jobs, int32_t, i);
		const wwh_fleet_job_t *other =
			wwh_fleet_job(view, assigned_job);
		const wwh_fleet_worker_t *worker = wwh_fleet_worker(
			view, placement->assigned_worker[assigned_job]);

		counts[worker->zone] += worker->pool == item->pool &&
					strcmp(other->group, item->group) == 0;
	}
	return counts;
}

void wwh_placement_assign(wwh_placement_t *placement, int32_t job,
			  int32_t worker)
{
	const wwh_fleet_job_t *item = wwh_fleet_job(placement->view, job);
	wwh_load_t required = wwh_placement_required(item, &placement->options,
						     placement->now_ms);

	/* A worker that leaves its pool gets no new jobs. */
	assert(wwh_placement_accepts_jobs(placement, worker));
	assert(placement->assigned_worker[job] == WWH_FLEET_NONE);
	wwh_load_subtract(&placement->available[worker], &required);
	placement->assigned_worker[job] = worker;
	g_array_append_val(placement->assigned_jobs, job);
}

int32_t wwh_placement_preempt(wwh_placement_t *placement, int32_t job,
			      GArray *decisions)
{
	const wwh_fleet_view_t *view = placement->view;
	const wwh_fleet_job_t *item = wwh_fleet_job(view, job);
	wwh_load_t required = wwh_placement_required(item, &placement->options,
						     placement->now_ms);
	int32_t size = wwh_fleet_pool(view, item->pool)->size;
	int32_t best = WWH_FLEET_NONE;
	preemption_t best_cost = { 0 };

	for (int32_t i = 0; i < size; i++) {
		int32_t member = wwh_fleet_member(view, item->pool, i);
		preemption_t cost;

		if (!wwh_placement_accepts_jobs(placement, member))
			continue;
		cost = preempt_on_worker(placement, member, &required, NULL);
		if (!cost.sufficient)
			continue;
		if (best != WWH_FLEET_NONE &&
		    (cost.checkpoints > best_cost.checkpoints ||
		     (cost.checkpoints == best_cost.checkpoints &&
		      cost.throttles >= best_cost.throttles)))
			continue;
		best = member;
		best_cost = cost;
	}
	if (best != WWH_FLEET_NONE)
		preempt_on_worker(placement, best, &required, decisions);
	return best;
}

void wwh_placement_relieve_overload(wwh_placement_t *placement, int32_t pool,
				    GArray *decisions)
{
	int32_t size = wwh_fleet_pool(placement->view, pool)->size;

	for (int32_t i = 0; i < size; i++)
		relieve_worker_overload(
			placement, wwh_fleet_member(placement->view, pool, i),
			decisions);
}

static bool is_preemptible(const wwh_placement_t *placement, int32_t job)
{
	const wwh_fleet_job_t *item = wwh_fleet_job(placement->view, job);

	return item->phase == WWH_JOB_PHASE_PLACED && !item->urgent;
}

/* The cores that the running job counts for, throttling included. */
static int64_t current_millicores(const wwh_placement_t *placement, int32_t job)
{
	wwh_load_t required =
		wwh_placement_required(wwh_fleet_job(placement->view, job),
				       &placement->options, placement->now_ms);

	if (placement->throttled_millicores[job] >= 0)
		return placement->throttled_millicores[job];
	return required.cpu_millicores;
}

/*
 * Preempts bulk jobs of the worker until the required resources are available,
 * and returns how many it preempted. If decisions is NULL, nothing is changed
 * and only the number is computed.
 */
static preemption_t preempt_on_worker(wwh_placement_t *placement,
				      int32_t worker,
				      const wwh_load_t *required,
				      GArray *decisions)
{
	wwh_load_t before = placement->available[worker];
	preemption_t result = { 0 };

	result.sufficient =
		checkpoint_bulk(placement, worker, required, decisions,
				&result) &&
		throttle_bulk(placement, worker, required, decisions, &result);
	if (!decisions)
		placement->available[worker] = before;
	return result;
}

static bool throttle_bulk(wwh_placement_t *placement, int32_t worker,
			  const wwh_load_t *required, GArray *decisions,
			  preemption_t *result)
{
	const wwh_fleet_view_t *view = placement->view;
	int32_t job_count = wwh_fleet_worker(view, worker)->job_count;
	wwh_load_t *available = &placement->available[worker];

	for (int32_t i = 0; i < job_count; i++) {
		int32_t job = wwh_fleet_worker_job(view, worker, i);
		int64_t millicores = current_millicores(placement, job);
		wwh_placement_decision_t decision = {
			.kind = WWH_PLACEMENT_THROTTLE,
			.reason = WWH_REASON_URGENT,
			.job = job,
			.worker = worker,
			.cpu_millicores =
				millicores * THROTTLE_FLOOR_PERCENT / 100,
		};

		if (required->cpu_millicores <= available->cpu_millicores)
			break;
		if (!is_preemptible(placement, job) ||
		    placement->throttled_millicores[job] >= 0)
			continue;
		available->cpu_millicores +=
			millicores - decision.cpu_millicores;
		result->throttles++;
		if (!decisions)
			continue;
		placement->throttled_millicores[job] = decision.cpu_millicores;
		g_array_append_val(decisions, decision);
	}
	return required->cpu_millicores <= available->cpu_millicores;
}

/* Idempotent jobs first: if their checkpoint is lost, that costs only time. */
static bool checkpoint_bulk(wwh_placement_t *placement, int32_t worker,
			    const wwh_load_t *required, GArray *decisions,
			    preemption_t *result)
{
	const wwh_fleet_view_t *view = placement->view;
	int32_t job_count = wwh_fleet_worker(view, worker)->job_count;
	wwh_load_t *available = &placement->available[worker];

	for (int32_t i = 0; i < 2 * job_count; i++) {
		int32_t job = wwh_fleet_worker_job(view, worker, i % job_count);
		const wwh_fleet_job_t *item = wwh_fleet_job(view, job);
		wwh_load_t freed = wwh_placement_required(
			item, &placement->options, placement->now_ms);
		wwh_placement_decision_t decision = {
			.kind = WWH_PLACEMENT_CHECKPOINT,
			.reason = WWH_REASON_URGENT,
			.job = job,
			.worker = worker
		};
		bool helps =
			(required->memory_mb > available->memory_mb &&
			 freed.memory_mb > 0) ||
			(required->gpus > available->gpus && freed.gpus > 0);

		if (!helps || !is_preemptible(placement, job) ||
		    item->idempotent != (i < job_count))
			continue;
		freed.cpu_millicores = current_millicores(placement, job);
		wwh_load_add(available, &freed);
		result->checkpoints++;
		if (!decisions)
			continue;
		placement->throttled_millicores[job] = 0;
		g_array_append_val(decisions, decision);
	}
	return required->memory_mb <= available->memory_mb &&
	       required->gpus <= available->gpus;
}

static void relieve_worker_overload(wwh_placement_t *placement, int32_t worker,
				    GArray *decisions)
{
	const wwh_fleet_view_t *view = placement->view;
	const wwh_fleet_worker_t *item = wwh_fleet_worker(view, worker);
	wwh_load_t used = total_usage(view, worker);
	wwh_placement_decision_t decision = { .reason = WWH_REASON_OVERLOAD,
					      .worker = worker };

	if (used.memory_mb > item->size.memory_mb) {
		decision.job = largest_excess(placement, worker, true);
		decision.kind = WWH_PLACEMENT_CHECKPOINT;
	} else if (used.cpu_millicores > item->size.cpu_millicores) {
		decision.job = largest_excess(placement, worker, false);
		decision.kind = WWH_PLACEMENT_THROTTLE;
	} else {
		return;
	}
	if (decision.job == WWH_FLEET_NONE)
		return;
	decision.cpu_millicores =
		wwh_fleet_job(view, decision.job)->declared.cpu_millicores;
	placement->throttled_millicores[decision.job] =
		decision.kind == WWH_PLACEMENT_CHECKPOINT
			? 0
			: decision.cpu_millicores;
	g_array_append_val(decisions, decision);
}

/*
 * The bulk job whose use exceeds its declared size the most, or
 * WWH_FLEET_NONE. For memory a job within its declared size is returned if no
 * job exceeds it.
 */
static int32_t largest_excess(const wwh_placement_t *placement, int32_t worker,
			      bool memory)
{
	const wwh_fleet_view_t *view = placement->view;
	int32_t job_count = wwh_fleet_worker(view, worker)->job_count;
	int32_t best = WWH_FLEET_NONE;
	int64_t best_excess = INT64_MIN;

	for (int32_t i = 0; i < job_count; i++) {
		int32_t job = wwh_fleet_worker_job(view, worker, i);
		const wwh_fleet_job_t *item = wwh_fleet_job(view, job);
		int64_t excess =
			memory ? item->used.memory_mb - item->declared.memory_mb
			       : item->used.cpu_millicores -
					 item->declared.cpu_millicores;

		if (!is_preemptible(placement, job) ||
		    placement->throttled_millicores[job] >= 0)
			continue;
		/* Throttling to the declared cores must reduce the use. */
		if (!memory && excess <= 0)
			continue;
		if (excess > best_excess) {
			best = job;
			best_excess = excess;
		}
	}
	return best;
}

static wwh_load_t total_usage(const wwh_fleet_view_t *view, int32_t worker)
{
	int32_t job_count = wwh_fleet_worker(view, worker)->job_count;
	wwh_load_t used = { 0 };

	for (int32_t i = 0; i < job_count; i++) {
		const wwh_fleet_job_t *job = wwh_fleet_job(
			view, wwh_fleet_worker_job(view, worker, i));

		if (job->phase == WWH_JOB_PHASE_PLACED)
			wwh_load_add(&used, &job->used);
	}
	return used;
}
