#include "waxwinghollow/planner.h"

#include <stdlib.h>

#define HOUR_MS 3600000.0

typedef struct {
	int32_t worker;
	bool busy;
	bool zone_untouched;
	int32_t zone;
	bool rack_untouched;
	int32_t rack;
	int32_t jobs;
	int64_t wait_ms;
} candidate_t;

static void mark_touched(const wwh_fleet_view_t *view, int32_t pool,
			 bool *zones, bool *racks);
static int compare(gconstpointer a, gconstpointer b);
static int32_t running_jobs(const wwh_fleet_view_t *view, int32_t worker,
			    int64_t after_ms);
static double wait_points(const wwh_fleet_view_t *view, int32_t worker,
			  const wwh_plan_options_t *options, int64_t wait_ms);

int32_t wwh_plan_order(const wwh_fleet_view_t *view, int32_t pool,
		       const wwh_plan_options_t *options, int32_t *order)
{
	int32_t size = wwh_fleet_pool(view, pool)->size;
	candidate_t *candidates = g_new0(candidate_t, size + 1);
	bool *zones = g_new0(bool, wwh_fleet_zone_count(view) + 1);
	bool *racks = g_new0(bool, wwh_fleet_rack_count(view) + 1);
	int32_t count = 0;

	mark_touched(view, pool, zones, racks);
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
		candidate->zone_untouched = !zones[worker->zone];
		candidate->rack = worker->rack;
		candidate->rack_untouched = !racks[worker->rack];
		candidate->wait_ms = wwh_plan_wait_ms(view, member, options);
		count++;
	}
	qsort(candidates, (size_t)count, sizeof(*candidates), compare);
	for (int32_t i = 0; i < count; i++)
		order[i] = candidates[i].worker;
	g_free(candidates);
	g_free(zones);
	g_free(racks);
	return count;
}

int64_t wwh_plan_wait_ms(const wwh_fleet_view_t *view, int32_t worker,
			 const wwh_plan_options_t *options)
{
	int32_t job_count = wwh_fleet_worker(view, worker)->job_count;
	double best = wait_points(view, worker, options, 0);
	int64_t best_ms = 0;

	for (int32_t i = 0; i < job_count; i++) {
		const wwh_fleet_job_t *job = wwh_fleet_job(
			view, wwh_fleet_worker_job(view, worker, i));
		int64_t wait_ms = job->expected_end_ms - options->now_ms;
		double points;

		if (job->phase != WWH_JOB_PHASE_PLACED || wait_ms <= 0 ||
		    wait_ms > options->drain_limit_ms)
			continue;
		points = wait_points(view, worker, options, wait_ms);
		if (points < best) {
			best = points;
			best_ms = wait_ms;
		}
	}
	return best_ms;
}

/* Zones and racks in which the wave has begun. */
static void mark_touched(const wwh_fleet_view_t *view, int32_t pool,
			 bool *zones, bool *racks)
{
	int32_t size = wwh_fleet_pool(view, pool)->size;

	for (int32_t i = 0; i < size; i++) {
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, wwh_fleet_member(view, pool, i));

		if (!worker->maintained && worker->state != WWH_FLEET_OUT)
			continue;
		zones[worker->zone] = true;
		racks[worker->rack] = true;
	}
}

static int compare(gconstpointer a, gconstpointer b)
{
	const candidate_t *left = a;
	const candidate_t *right = b;

	if (left->busy != right->busy)
		return left->busy ? 1 : -1;
	if (left->zone_untouched != right->zone_untouched)
		return left->zone_untouched ? 1 : -1;
	if (left->zone != right->zone)
		return left->zone < right->zone ? -1 : 1;
	if (left->rack_untouched != right->rack_untouched)
		return left->rack_untouched ? 1 : -1;
	if (left->rack != right->rack)
		return left->rack < right->rack ? -1 : 1;
	if (left->jobs != right->jobs)
		return left->jobs < right->jobs ? -1 : 1;
	if (left->wait_ms != right->wait_ms)
		return left->wait_ms < right->wait_ms ? -1 : 1;
	return left->worker < right->worker ? -1 : 1;
}

/* Jobs of the worker that run and aren't expected to end by after_ms. */
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

static double wait_points(const wwh_fleet_view_t *view, int32_t worker,
			  const wwh_plan_options_t *options, int64_t wait_ms)
{
	int32_t moves = running_jobs(view, worker, options->now_ms + wait_ms);
	double hours = (double)wait_ms / HOUR_MS;

	return (double)options->move_weight * moves +
	       (1.0 + options->buffer_weight) * hours;
}
