#include "waxwinghollow/placement.h"

#include <stdlib.h>
#include <string.h>

#include "private/placement_state.h"
#include "private/scheduler_policy.h"

/* Urgent jobs go before bulk jobs: the lower value goes first. */
#define URGENT_PRIORITY 0
#define BULK_PRIORITY 1

const char *const wwh_placement_kind_names[WWH_PLACEMENT_KIND_COUNT] = {
	"start", "throttle", "checkpoint", "impossible", "wait",
};

const char *const wwh_reason_names[WWH_REASON_COUNT] = {
	"none",
	"no-pool",
	"cores",
	"memory",
	"accelerators",
	"team-limit",
	"quota",
	"no-room",
	"earlier-lease",
	"pass-limit",
	"overloaded",
	"urgent-work",
	"fails-everywhere",
};

static void count_placed_jobs(wwh_placement_t *placement);
static int32_t team_index(const wwh_placement_t *placement, const char *team);
static void collect_pending(wwh_placement_t *placement);
static int64_t order_of(const wwh_placement_t *placement,
			const wwh_fleet_job_t *job);
static guint first_pending(const wwh_placement_t *placement, int32_t pool);
static void place_job(wwh_placement_t *placement, int32_t job,
		      int32_t *reserved_worker, int32_t *starts,
		      GArray *decisions);
static int compare_pending(gconstpointer a, gconstpointer b);
static wwh_reason_t impossible_reason(const wwh_placement_t *placement,
				      int32_t job);
static wwh_reason_t wait_reason(const wwh_placement_t *placement, int32_t job,
				int32_t starts);
static int32_t choose_worker(const wwh_placement_t *placement, int32_t job,
			     int32_t reserved_worker);
static bool is_avoided(const wwh_placement_t *placement,
		       const wwh_fleet_job_t *job, int32_t worker);
static int64_t cost_of(const wwh_placement_t *placement,
		       const wwh_load_t *required, int32_t worker,
		       const int32_t *group_by_zone);
static int32_t choose_reserved_worker(const wwh_placement_t *placement,
				      int32_t job);
static void start_job(wwh_placement_t *placement, int32_t job, int32_t worker,
		      GArray *decisions);
static void append_decision(wwh_placement_kind_t kind, wwh_reason_t reason,
			    int32_t job, GArray *decisions);

void wwh_placement_options_defaults(wwh_placement_options_t *options)
{
	*options = (wwh_placement_options_t){
		.margin_percent = 25,
		.observe_ms = 30 * 1000,
		.reserve_after_ms = 5 * 60 * 1000,
		.starts_per_pass = 64,
		.lease_ms = 30 * 1000,
		.lapse_margin_ms = 5 * 1000,
	};
}

wwh_placement_t *wwh_placement_new(const wwh_fleet_view_t *view,
				   const wwh_placement_options_t *options,
				   int64_t now_ms)
{
	wwh_placement_t *placement = g_new0(wwh_placement_t, 1);
	int32_t worker_count = wwh_fleet_worker_count(view);
	int32_t job_count = wwh_fleet_job_count(view);

	placement->view = view;
	placement->options = *options;
	placement->now_ms = now_ms;
	placement->available = g_new0(wwh_load_t, worker_count + 1);
	placement->team_use = g_new0(wwh_load_t, options->team_count + 1);
	placement->assigned_worker = g_new0(int32_t, job_count + 1);
	placement->throttled_millicores = g_new0(int64_t, job_count + 1);
	for (int32_t i = 0; i < worker_count; i++)
		placement->available[i] = wwh_fleet_worker(view, i)->size;
	for (int32_t i = 0; i < job_count; i++) {
		placement->assigned_worker[i] = WWH_FLEET_NONE;
		placement->throttled_millicores[i] = -1;
	}
	placement->assigned_jobs = g_array_new(FALSE, FALSE, sizeof(int32_t));
	placement->pending =
		g_array_new(FALSE, FALSE, sizeof(wwh_placement_pending_t));
	count_placed_jobs(placement);
	collect_pending(placement);
	return placement;
}

void wwh_placement_delete(wwh_placement_t *placement)
{
	if (!placement)
		return;
	g_free(placement->available);
	g_free(placement->team_use);
	g_free(placement->assigned_worker);
	g_free(placement->throttled_millicores);
	g_array_free(placement->assigned_jobs, TRUE);
	g_array_free(placement->pending, TRUE);
	g_free(placement);
}

void wwh_placement_pass(wwh_placement_t *placement, int32_t pool,
			GArray *decisions)
{
	int32_t reserved_worker = WWH_FLEET_NONE;
	int32_t starts = 0;

	wwh_placement_relieve_overload(placement, pool, decisions);
	for (guint i = first_pending(placement, pool);
	     i < placement->pending->len; i++) {
		const wwh_placement_pending_t *item = &g_array_index(
			placement->pending, wwh_placement_pending_t, i);

		if (item->pool != pool)
			break;
		place_job(placement, item->job, &reserved_worker, &starts,
			  decisions);
	}
}

wwh_load_t wwh_placement_required(const wwh_fleet_job_t *job,
				  const wwh_placement_options_t *options,
				  int64_t now_ms)
{
	wwh_load_t required = job->declared;
	int32_t percent = 100 + options->margin_percent;

	if (job->phase != WWH_JOB_PHASE_PLACED ||
	    now_ms - job->started_ms < options->observe_ms)
		return required;
	if (job->used.cpu_millicores > 0)
		required.cpu_millicores =
			job->used.cpu_millicores * percent / 100;
	if (job->used.memory_mb > 0)
		required.memory_mb = job->used.memory_mb * percent / 100;
	return required;
}

wwh_load_t wwh_placement_available(const wwh_placement_t *placement,
				   int32_t worker)
{
	wwh_fleet_worker(placement->view, worker);
	return placement->available[worker];
}

int64_t wwh_placement_earliest_rerun_ms(const wwh_fleet_job_t *job,
					const wwh_placement_options_t *options)
{
	if (job->idempotent || job->renewed_ms == 0)
		return 0;
	/* The worker itself reported the checkpoint, so its run has ended. */
	if (job->checkpointed)
		return 0;
	return job->renewed_ms + options->lease_ms + options->lapse_margin_ms;
}

static void count_placed_jobs(wwh_placement_t *placement)
{
	int32_t job_count = wwh_fleet_job_count(placement->view);

	for (int32_t i = 0; i < job_count; i++) {
		const wwh_fleet_job_t *job = wwh_fleet_job(placement->view, i);
		wwh_load_t required = wwh_placement_required(
			job, &placement->options, placement->now_ms);
		int32_t team = team_index(placement, job->team);

		if (job->phase != WWH_JOB_PHASE_PLACED ||
		    job->worker == WWH_FLEET_NONE)
			continue;
		wwh_load_subtract(&placement->available[job->worker],
				  &required);
		if (team != WWH_FLEET_NONE)
			wwh_load_add(&placement->team_use[team],
				     &job->declared);
	}
}

static int32_t team_index(const wwh_placement_t *placement, const char *team)
{
	for (int32_t i = 0; i < placement->options.team_count; i++) {
		if (strcmp(placement->options.teams[i].id, team) == 0)
			return i;
	}
	return WWH_FLEET_NONE;
}

static void collect_pending(wwh_placement_t *placement)
{
	int32_t job_count = wwh_fleet_job_count(placement->view);

	for (int32_t i = 0; i < job_count; i++) {
		const wwh_fleet_job_t *job = wwh_fleet_job(placement->view, i);
		wwh_placement_pending_t item = { .job = i, .pool = job->pool };

		if (job->phase == WWH_JOB_PHASE_PENDING) {
			item.order = order_of(placement, job);
			g_array_append_val(placement->pending, item);
		}
	}
	g_array_sort(placement->pending, compare_pending);
}

static int64_t order_of(const wwh_placement_t *placement,
			const wwh_fleet_job_t *job)
{
	wwh_policy_order_input_t input = {
		.priority = job->urgent ? URGENT_PRIORITY : BULK_PRIORITY,
		.waited_ms = placement->now_ms - job->queued_ms,
		.objective_ms = WWH_POLICY_NO_OBJECTIVE_MS,
	};

	return wwh_policy_order_key(&input);
}

static int compare_pending(gconstpointer a, gconstpointer b)
{
	const wwh_placement_pending_t *left = a;
	const wwh_placement_pending_t *right = b;

	if (left->pool != right->pool)
		return left->pool < right->pool ? -1 : 1;
	if (left->order != right->order)
		return left->order < right->order ? -1 : 1;
	return (left->job > right->job) - (left->job < right->job);
}

static guint first_pending(const wwh_placement_t *placement, int32_t pool)
{
	guint low = 0;
	guint high = placement->pending->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (g_array_index(placement->pending, wwh_placement_pending_t,
				  middle)
			    .pool < pool)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void place_job(wwh_placement_t *placement, int32_t job,
		      int32_t *reserved_worker, int32_t *starts,
		      GArray *decisions)
{
	const wwh_fleet_job_t *item = wwh_fleet_job(placement->view, job);
	wwh_reason_t reason = impossible_reason(placement, job);
	int32_t worker;

	if (reason != WWH_REASON_NONE) {
		append_decision(WWH_PLACEMENT_IMPOSSIBLE, reason, job,
				decisions);
		return;
	}
	reason = wait_reason(placement, job, *starts);
	if (reason != WWH_REASON_NONE) {
		append_decision(WWH_PLACEMENT_WAIT, reason, job, decisions);
		return;
	}
	worker = choose_worker(placement, job, *reserved_worker);
	if (worker == WWH_FLEET_NONE && item->urgent)
		worker = wwh_placement_preempt(placement, job, decisions);
	if (worker != WWH_FLEET_NONE) {
		start_job(placement, job, worker, decisions);
		(*starts)++;
		return;
	}
	append_decision(WWH_PLACEMENT_WAIT, WWH_REASON_NO_ROOM, job, decisions);
	if (*reserved_worker == WWH_FLEET_NONE &&
	    placement->now_ms - item->queued_ms >=
		    placement->options.reserve_after_ms)
		*reserved_worker = choose_reserved_worker(placement, job);
}

/* WWH_REASON_NONE, or why no worker of the pool can ever run the job. */
static wwh_reason_t impossible_reason(const wwh_placement_t *placement,
				      int32_t job)
{
	const wwh_fleet_view_t *view = placement->view;
	const wwh_fleet_job_t *item = wwh_fleet_job(view, job);
	int32_t team = team_index(placement, item->team);
	int32_t size = wwh_fleet_pool(view, item->pool)->size;
	wwh_reason_t reason = WWH_REASON_NO_POOL;

	for (int32_t i = 0; i < size; i++) {
		const wwh_load_t *capacity =
			&wwh_fleet_worker(view,
					  wwh_fleet_member(view, item->pool, i))
				 ->size;

		if (wwh_load_fits(&item->declared, capacity)) {
			reason = WWH_REASON_NONE;
			break;
		}
		if (item->declared.cpu_millicores > capacity->cpu_millicores)
			reason = WWH_REASON_CORES;
		else if (item->declared.memory_mb > capacity->memory_mb)
			reason = WWH_REASON_MEMORY;
		else
			reason = WWH_REASON_ACCELERATORS;
	}
	if (reason == WWH_REASON_NONE && team != WWH_FLEET_NONE) {
		const wwh_team_t *quota = &placement->options.teams[team];
		wwh_load_t limit = { (int64_t)quota->cores * 1000,
				     quota->memory_mb, quota->accelerators };

		if (!wwh_load_fits(&item->declared, &limit))
			reason = WWH_REASON_TEAM_TOO_SMALL;
	}
	return reason;
}

/*
 * WWH_REASON_NONE, or why the job must not start now even if a worker has room
 * for it.
 */
static wwh_reason_t wait_reason(const wwh_placement_t *placement, int32_t job,
				int32_t starts)
{
	const wwh_fleet_job_t *item = wwh_fleet_job(placement->view, job);
	int32_t team = team_index(placement, item->team);

	if (starts >= placement->options.starts_per_pass)
		return WWH_REASON_PASS_LIMIT;
	if (placement->now_ms <
	    wwh_placement_earliest_rerun_ms(item, &placement->options))
		return WWH_REASON_LEASE;
	if (team != WWH_FLEET_NONE) {
		const wwh_team_t *quota = &placement->options.teams[team];
		wwh_load_t left = { (int64_t)quota->cores * 1000,
				    quota->memory_mb, quota->accelerators };

		wwh_load_subtract(&left, &placement->team_use[team]);
		if (!wwh_load_fits(&item->declared, &left))
			return WWH_REASON_QUOTA;
	}
	return WWH_REASON_NONE;
}

/* reserved_worker accepts no bulk job; WWH_FLEET_NONE: none is reserved. */
static int32_t choose_worker(const wwh_placement_t *placement, int32_t job,
			     int32_t reserved_worker)
{
	const wwh_fleet_view_t *view = placement->view;
	const wwh_fleet_job_t *item = wwh_fleet_job(view, job);
	wwh_load_t required = wwh_placement_required(item, &placement->options,
						     placement->now_ms);
	int32_t size = wwh_fleet_pool(view, item->pool)->size;
	int32_t best = WWH_FLEET_NONE;
	int64_t best_cost = 0;
	int32_t *group_by_zone = NULL;

	for (int32_t i = 0; i < size; i++) {
		int32_t member = wwh_fleet_member(view, item->pool, i);
		int64_t cost;

		if (!wwh_placement_accepts_jobs(placement, member) ||
		    (member == reserved_worker && !item->urgent) ||
		    is_avoided(placement, item, member) ||
		    !wwh_load_fits(&required, &placement->available[member]))
			continue;
		/* Computed only for a job that fits some worker. */
		if (group_by_zone == NULL)
			group_by_zone =
				wwh_placement_group_by_zone(placement, job);
		cost = cost_of(placement, &required, member, group_by_zone);
		if (best == WWH_FLEET_NONE || cost < best_cost) {
			best = member;
			best_cost = cost;
		}
	}
	g_free(group_by_zone);
	return best;
}

static bool is_avoided(const wwh_placement_t *placement,
		       const wwh_fleet_job_t *job, int32_t worker)
{
	const wwh_placement_options_t *options = &placement->options;

	return options->avoid &&
	       options->avoid(job->id,
			      wwh_fleet_worker(placement->view, worker)->id,
			      options->client_data);
}

static int64_t cost_of(const wwh_placement_t *placement,
		       const wwh_load_t *required, int32_t worker,
		       const int32_t *group_by_zone)
{
	const wwh_fleet_worker_t *item =
		wwh_fleet_worker(placement->view, worker);
	wwh_policy_fit_input_t input = {
		.free_millicores = placement->available[worker].cpu_millicores,
		.need_millicores = required->cpu_millicores,
		.capacity_millicores = item->size.cpu_millicores,
		.wave_pending = !item->maintained,
		.group_tasks_in_zone = group_by_zone[item->zone],
	};

	return wwh_policy_fit_cost(&input);
}

/*
 * Of the workers large enough for the job, the one with the most cores
 * available.
 */
static int32_t choose_reserved_worker(const wwh_placement_t *placement,
				      int32_t job)
{
	const wwh_fleet_view_t *view = placement->view;
	const wwh_fleet_job_t *item = wwh_fleet_job(view, job);
	int32_t size = wwh_fleet_pool(view, item->pool)->size;
	int32_t best = WWH_FLEET_NONE;

	for (int32_t i = 0; i < size; i++) {
		int32_t member = wwh_fleet_member(view, item->pool, i);

		if (!wwh_placement_accepts_jobs(placement, member) ||
		    !wwh_load_fits(&item->declared,
				   &wwh_fleet_worker(view, member)->size))
			continue;
		if (best == WWH_FLEET_NONE ||
		    placement->available[member].cpu_millicores >
			    placement->available[best].cpu_millicores)
			best = member;
	}
	return best;
}

static void start_job(wwh_placement_t *placement, int32_t job, int32_t worker,
		      GArray *decisions)
{
	const wwh_fleet_job_t *item = wwh_fleet_job(placement->view, job);
	int32_t team = team_index(placement, item->team);
	wwh_placement_decision_t decision = { .kind = WWH_PLACEMENT_START,
					      .job = job,
					      .worker = worker };

	wwh_placement_assign(placement, job, worker);
	if (team != WWH_FLEET_NONE)
		wwh_load_add(&placement->team_use[team], &item->declared);
	g_array_append_val(decisions, decision);
}

static void append_decision(wwh_placement_kind_t kind, wwh_reason_t reason,
			    int32_t job, GArray *decisions)
{
	wwh_placement_decision_t decision = { .kind = kind,
					      .reason = reason,
					      .job = job,
					      .worker = WWH_FLEET_NONE };

	g_array_append_val(decisions, decision);
}
