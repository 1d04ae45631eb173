#include "private/placement_state.h"

#include <assert.h>
#include <string.h>

/* A throttled bulk job keeps this share of its cores, so that it goes on. */
#define THROTTLE_FLOOR_PERCENT 25

typedef struct {
	int32_t throttles;
	int32_t checkpoints;
	bool enough;
} give_way_t;

static bool gives_way(const wwh_placement_t *board, int32_t job);
static int64_t counted_cores(const wwh_placement_t *board, int32_t job);
static give_way_t try_worker(wwh_placement_t *board, int32_t worker,
			     const wwh_load_t *need, GArray *decisions);
static bool throttle_bulk(wwh_placement_t *board, int32_t worker,
			  const wwh_load_t *need, GArray *decisions,
			  give_way_t *result);
static bool checkpoint_bulk(wwh_placement_t *board, int32_t worker,
			    const wwh_load_t *need, GArray *decisions,
			    give_way_t *result);
static void relieve_worker(wwh_placement_t *board, int32_t worker,
			   GArray *decisions);
static int32_t largest_excess(const wwh_placement_t *board, int32_t worker,
			      bool memory);
static wwh_load_t used_on(const wwh_fleet_view_t *view, int32_t worker);

bool wwh_board_takes_jobs(const wwh_placement_t *board, int32_t worker)
{
	const wwh_fleet_worker_t *item = wwh_fleet_worker(board->view, worker);

	return item->state == WWH_FLEET_SERVING && !item->quarantined &&
	       item->grant == WWH_NO_OFFSET;
}

int32_t *wwh_board_group_by_zone(const wwh_placement_t *board, int32_t job)
{
	const wwh_fleet_view_t *view = board->view;
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
	for (guint i = 0; i < board->placed_jobs->len; i++) {
		int32_t placed = g_array_index(board->placed_jobs, int32_t, i);
		const wwh_fleet_job_t *other = wwh_fleet_job(view, placed);
		const wwh_fleet_worker_t *worker =
			wwh_fleet_worker(view, board->placed[placed]);

		counts[worker->zone] += worker->pool == item->pool &&
					strcmp(other->group, item->group) == 0;
	}
	return counts;
}

void wwh_board_place(wwh_placement_t *board, int32_t job, int32_t worker)
{
	const wwh_fleet_job_t *item = wwh_fleet_job(board->view, job);
	wwh_load_t need =
		wwh_placement_need(item, &board->options, board->now_ms);

	/* No new work to a leaving worker. */
	assert(wwh_board_takes_jobs(board, worker));
	assert(board->placed[job] == WWH_FLEET_NONE);
	wwh_load_subtract(&board->room[worker], &need);
	board->placed[job] = worker;
	g_array_append_val(board->placed_jobs, job);
}

int32_t wwh_board_make_room(wwh_placement_t *board, int32_t job,
			    GArray *decisions)
{
	const wwh_fleet_view_t *view = board->view;
	const wwh_fleet_job_t *item = wwh_fleet_job(view, job);
	wwh_load_t need =
		wwh_placement_need(item, &board->options, board->now_ms);
	int32_t size = wwh_fleet_pool(view, item->pool)->size;
	int32_t best = WWH_FLEET_NONE;
	give_way_t best_cost = { 0 };

	for (int32_t i = 0; i < size; i++) {
		int32_t member = wwh_fleet_member(view, item->pool, i);
		give_way_t cost;

		if (!wwh_board_takes_jobs(board, member))
			continue;
		cost = try_worker(board, member, &need, NULL);
		if (!cost.enough)
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
		try_worker(board, best, &need, decisions);
	return best;
}

void wwh_board_relieve(wwh_placement_t *board, int32_t pool, GArray *decisions)
{
	int32_t size = wwh_fleet_pool(board->view, pool)->size;

	for (int32_t i = 0; i < size; i++)
		relieve_worker(board, wwh_fleet_member(board->view, pool, i),
			       decisions);
}

static bool gives_way(const wwh_placement_t *board, int32_t job)
{
	const wwh_fleet_job_t *item = wwh_fleet_job(board->view, job);

	return item->phase == WWH_JOB_PHASE_PLACED && !item->urgent;
}

/* What the running job counts for on its worker now. */
static int64_t counted_cores(const wwh_placement_t *board, int32_t job)
{
	wwh_load_t need = wwh_placement_need(wwh_fleet_job(board->view, job),
					     &board->options, board->now_ms);

	if (board->throttled[job] >= 0)
		return board->throttled[job];
	return need.cpu_millicores;
}

/* With decisions NULL nothing is changed, only the cost is found. */
static give_way_t try_worker(wwh_placement_t *board, int32_t worker,
			     const wwh_load_t *need, GArray *decisions)
{
	wwh_load_t before = board->room[worker];
	give_way_t result = { 0 };

	result.enough =
		checkpoint_bulk(board, worker, need, decisions, &result) &&
		throttle_bulk(board, worker, need, decisions, &result);
	if (!decisions)
		board->room[worker] = before;
	return result;
}

static bool throttle_bulk(wwh_placement_t *board, int32_t worker,
			  const wwh_load_t *need, GArray *decisions,
			  give_way_t *result)
{
	const wwh_fleet_view_t *view = board->view;
	int32_t job_count = wwh_fleet_worker(view, worker)->job_count;
	wwh_load_t *room = &board->room[worker];

	for (int32_t i = 0; i < job_count; i++) {
		int32_t job = wwh_fleet_worker_job(view, worker, i);
		int64_t cores = counted_cores(board, job);
		wwh_placement_decision_t decision = {
			.kind = WWH_PLACEMENT_THROTTLE,
			.reason = WWH_REASON_URGENT,
			.job = job,
			.worker = worker,
			.cpu_millicores = cores * THROTTLE_FLOOR_PERCENT / 100,
		};

		if (need->cpu_millicores <= room->cpu_millicores)
			break;
		if (!gives_way(board, job) || board->throttled[job] >= 0)
			continue;
		room->cpu_millicores += cores - decision.cpu_millicores;
		result->throttles++;
		if (!decisions)
			continue;
		board->throttled[job] = decision.cpu_millicores;
		g_array_append_val(decisions, decision);
	}
	return need->cpu_millicores <= room->cpu_millicores;
}

/* Idempotent jobs first: losing a checkpoint of theirs costs only time. */
static bool checkpoint_bulk(wwh_placement_t *board, int32_t worker,
			    const wwh_load_t *need, GArray *decisions,
			    give_way_t *result)
{
	const wwh_fleet_view_t *view = board->view;
	int32_t job_count = wwh_fleet_worker(view, worker)->job_count;
	wwh_load_t *room = &board->room[worker];

	for (int32_t i = 0; i < 2 * job_count; i++) {
		int32_t job = wwh_fleet_worker_job(view, worker, i % job_count);
		const wwh_fleet_job_t *item = wwh_fleet_job(view, job);
		wwh_load_t freed = wwh_placement_need(item, &board->options,
						      board->now_ms);
		wwh_placement_decision_t decision = {
			.kind = WWH_PLACEMENT_CHECKPOINT,
			.reason = WWH_REASON_URGENT,
			.job = job,
			.worker = worker
		};
		bool helps = (need->memory_mb > room->memory_mb &&
			      freed.memory_mb > 0) ||
			     (need->gpus > room->gpus && freed.gpus > 0);

		if (!helps || !gives_way(board, job) ||
		    item->idempotent != (i < job_count))
			continue;
		freed.cpu_millicores = counted_cores(board, job);
		wwh_load_add(room, &freed);
		result->checkpoints++;
		if (!decisions)
			continue;
		board->throttled[job] = 0;
		g_array_append_val(decisions, decision);
	}
	return need->memory_mb <= room->memory_mb && need->gpus <= room->gpus;
}

static void relieve_worker(wwh_placement_t *board, int32_t worker,
			   GArray *decisions)
{
	const wwh_fleet_view_t *view = board->view;
	const wwh_fleet_worker_t *item = wwh_fleet_worker(view, worker);
	wwh_load_t used = used_on(view, worker);
	wwh_placement_decision_t decision = { .reason = WWH_REASON_OVERLOAD,
					      .worker = worker };

	if (used.memory_mb > item->size.memory_mb) {
		decision.job = largest_excess(board, worker, true);
		decision.kind = WWH_PLACEMENT_CHECKPOINT;
	} else if (used.cpu_millicores > item->size.cpu_millicores) {
		decision.job = largest_excess(board, worker, false);
		decision.kind = WWH_PLACEMENT_THROTTLE;
	} else {
		return;
	}
	if (decision.job == WWH_FLEET_NONE)
		return;
	decision.cpu_millicores =
		wwh_fleet_job(view, decision.job)->declared.cpu_millicores;
	board->throttled[decision.job] =
		decision.kind == WWH_PLACEMENT_CHECKPOINT
			? 0
			: decision.cpu_millicores;
	g_array_append_val(decisions, decision);
}

/* The bulk job that uses most beyond what it declared; else the largest. */
static int32_t largest_excess(const wwh_placement_t *board, int32_t worker,
			      bool memory)
{
	const wwh_fleet_view_t *view = board->view;
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

		if (!gives_way(board, job) || board->throttled[job] >= 0)
			continue;
		/* Throttling to what it declared must take something away. */
		if (!memory && excess <= 0)
			continue;
		if (excess > best_excess) {
			best = job;
			best_excess = excess;
		}
	}
	return best;
}

static wwh_load_t used_on(const wwh_fleet_view_t *view, int32_t worker)
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
