#include "waxwinghollow/planner.h"

#include <stdlib.h>

#define HOUR_MS 3600000.0

typedef struct {
	int32_t worker;
	bool busy;
	bool zone_not_begun;
	int32_t zone;
	bool rack_not_begun;
	int32_t rack;
	int32_t jobs;
	int64_t wait_ms;
} candidate_t;

static void mark_begun_domains(const wwh_fleet_view_t *view, int32_t pool,
			       bool *zones_begun, bool *racks_begun);
static int compare_candidates(gconstpointer a, gconstpointer b);
static int32_t running_jobs(const wwh_fleet_view_t *view, int32_t worker,
			    int64_t after_ms);
static double wait_cost(const wwh_fleet_view_t *view, int32_t worker,
			const wwh_plan_options_t *options, int64_t wait_ms);

int32_t wwh_plan_order(const wwh_fleet_view_t *view, int32_t pool,
		       const wwh_plan_options_t *options, int32_t *order)
{
	int32_t size = wwh_fleet_pool(view, pool)->size;
	candidate_t *candidates = g_new0(candidate_t, size + 1);
	bool *zones_begun = g_new0(bool, wwh_fleet_zone_count(view) + 1);
	bool *racks_begun = g_new0(bool, wwh_fleet_rack_count(view) + 1);
	int32_t count = 0;

	mark_begun_domains(view, pool, zones_begun, racks_begun);
	for (int32_t i = 0; i < size; i++) {
		int32_t member = wwh_fleet_member(view, pool, i);
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, member);
		candidate_t *candidate = &candidates[count];

		if (worker->maintained || wwh_fleet_is_lost(worker) ||
		    (options->only_in_wave && !worker->in_wave))
			continue;
		candidate->worker = member;
		candidate->jobs = running_jobs(view, member, INT64_MIN);
		candidate->busy = candidate->jobs > 0;
		candidate->zone = worker->zone;
		candidate->zone_not_begun = !zones_begun[worker->zone];
		candidate->rack = worker->rack;
		candidate->rack_not_begun = !racks_begun[worker->rack];
		candidate->wait_ms = wwh_plan_wait_ms(view, member, options);
		count++;
	}
	qsort(candidates, (size_t)count, sizeof(*candidates),
	      compare_candidates);
	for (int32_t i = 0; i < count; i++)
		order[i] = candidates[i].worker;
	g_free(candidates);
	g_free(zones_begun);
	g_free(racks_begun);
	return count;
}

int64_t wwh_plan_wait_ms(const wwh_fleet_view_t *view, int32_t worker,
			 const wwh_plan_options_t *options)
{
	int32_t job_count = wwh_fleet_worker(view, worker)->job_count;
	double best_cost = wait_cost(view, worker, options, 0);
	int64_t best_ms = 0;

	for (int32_t i = 0; i < job_count; i++) {
		const wwh_fleet_job_t *job = wwh_fleet_job(
			view, wwh_fleet_worker_job(view, worker, i));
		int64_t wait_ms = job->expected_end_ms - options->now_ms;
		double cost;

		if (job->phase != WWH_JOB_PHASE_PLACED || wait_ms <= 0 ||
		    wait_ms > options->drain_limit_ms)
			continue;
		cost = wait_cost(view, worker, options, wait_ms);
		if (cost < best_cost) {
			best_cost = cost;
			best_ms = wait_ms;
		}
	}
	return best_ms;
}

/* Marks the zones and racks in which the wave has begun. */
static void mark_begun_domains(const wwh_fleet_view_t *view, int32_t pool,
			       bool *zones_begun, bool *racks_begun)
{
	int32_t size = wwh_fleet_pool(view, pool)->size;

	for (int32_t i = 0; i < size; i++) {
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, wwh_fleet_member(view, pool, i));

		if (!worker->maintained && worker->state != WWH_FLEET_OUT)
			continue;
		zones_begun[worker->zone] = true;
		racks_begun[worker->rack] = true;
	}
}

static int compare_candidates(gconstpointer a, gconstpointer b)
{
	const candidate_t *left = a;
	const candidate_t *right = b;

	if (left->busy != right->busy)
		return left->busy ? 1 : -1;
	if (left->zone_not_begun != right->zone_not_begun)
		return left->zone_not_begun ? 1 : -1;
	if (left->zone != right->zone)
		return left->zone < right->zone ? -1 : 1;
	if (left->rack_not_begun != right->rack_not_begun)
		return left->rack_not_begun ? 1 : -1;
	if (left->rack != right->rack)
		return left->rack < right->rack ? -1 : 1;
	if (left->jobs != right->jobs)
		return left->jobs < right->jobs ? -1 : 1;
	if (left->wait_ms != right->wait_ms)
		return left->wait_ms < right->wait_ms ? -1 : 1;
	return left->worker < right->worker ? -1 : 1;
}

/* Counts the worker's running jobs that are not expected to end by after_ms. */
static int32_t running_jobs(const wwh_fleet_view_t *view, int32_t worker,
			    int64_t after_ms)
{
	int32_t job_count = wwh_fleet_worker(view, worker)->job_count;
	int32_t count = 0;

	for (int32_t i = 0; i < job_count; i++) {
		const wwh_fleet_job_t *job = wwh_fleet_job(
			view, wwh_fleet_worker_job(view, worker, i));

		if (job->phase != WWH_JOB_PHASE_PLACED)
			continue;
		if (job->expected_end_ms == 0 ||
		    job->expected_end_ms > after_ms)
			count++;
	}
	return count;
}

static double wait_cost(const wwh_fleet_view_t *view, int32_t worker,
			const wwh_plan_options_t *options, int64_t wait_ms)
{
	int32_t moves = running_jobs(view, worker, options->now_ms + wait_ms);
	double hours = (double)wait_ms / HOUR_MS;

	return (double)options->move_weight * moves +
	       (1.0 + options->buffer_weight) * hours;
}
