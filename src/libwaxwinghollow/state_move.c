#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "private/state_internal.h"

static wwh_verdict_t start_move(wwh_state_t *state, int64_t offset,
				wwh_state_worker_t *worker,
				const wwh_record_move_t *body,
				wwh_verdict_detail_t *detail)
{
	const char *from = wwh_state_worker_home_pool(worker);
	wwh_verdict_t verdict;

	if (worker->move != NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_ALREADY,
			worker->move->offset, "worker %s moves from %s to %s",
			body->worker, worker->move->from, worker->move->to);
	if (wwh_state_find_pool(state, body->to_pool) == NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_UNKNOWN_POOL, WWH_NO_OFFSET,
			"no pool %s", body->to_pool);
	if (strcmp(from, body->to_pool) == 0)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_INVALID, WWH_NO_OFFSET,
			"worker %s is in pool %s", body->worker, from);
	verdict = wwh_state_check_budget_without(state, worker, detail);
	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	wwh_state_uncount_worker(worker);
	worker->move = g_new0(wwh_state_move_t, 1);
	worker->move->offset = offset;
	worker->move->from = g_strdup(from);
	worker->move->to = g_strdup(body->to_pool);
	worker->pool = NULL;
	return WWH_VERDICT_ACCEPTED;
}

/* Adds the worker to pool and ends its move and its grant. */
static void join_pool(wwh_state_t *state, wwh_state_worker_t *worker,
		      const char *pool)
{
	worker->pool = wwh_state_find_pool(state, pool);
	assert(worker->pool != NULL);
	wwh_state_end_move(worker);
	wwh_state_end_grant(worker);
	wwh_state_count_worker(worker);
}

static wwh_verdict_t no_move(const wwh_state_t *state,
			     const wwh_record_move_t *body,
			     wwh_verdict_detail_t *detail)
{
	return wwh_state_verdict(state, detail, WWH_VERDICT_UNKNOWN_ITEM,
				 WWH_NO_OFFSET, "worker %s is not moving",
				 body->worker);
}

static wwh_verdict_t finish_move(wwh_state_t *state, wwh_state_worker_t *worker,
				 const wwh_record_move_t *body,
				 wwh_verdict_detail_t *detail)
{
	const char *to;
	bool was_wanted_here;

	if (worker->move == NULL)
		return no_move(state, body, detail);
	to = worker->move->to;
	was_wanted_here = strcmp(wwh_state_worker_wanted_pool(worker),
				 worker->move->from) == 0;
	/*
	 * A move that the inventory did not request must not be undone
	 * because of the inventory's pool. A pool that the operator set
	 * during the move stays wanted.
	 */
	worker->placed_by_move =
		was_wanted_here && strcmp(worker->declared->pool, to) != 0;
	join_pool(state, worker, to);
	return WWH_VERDICT_ACCEPTED;
}

static wwh_verdict_t cancel_move(wwh_state_t *state, wwh_state_worker_t *worker,
				 const wwh_record_move_t *body,
				 wwh_verdict_detail_t *detail)
{
	if (worker->move == NULL)
		return no_move(state, body, detail);
	join_pool(state, worker, worker->move->from);
	return WWH_VERDICT_ACCEPTED;
}

wwh_verdict_t wwh_apply_move(wwh_state_t *state, int64_t offset,
			     const wwh_record_t *record,
			     wwh_verdict_detail_t *detail)
{
	const wwh_record_move_t *body = &record->body.move;
	wwh_state_worker_t *worker = wwh_state_find_worker(state, body->worker);
	wwh_verdict_t verdict;

	if (worker == NULL)
		return wwh_state_unknown_worker(state, body->worker, detail);
	verdict = wwh_state_check_fence(
		state, wwh_shard_of_pool(wwh_state_worker_home_pool(worker)),
		record, body->fence, detail);
	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	if (worker->grant == NULL || worker->grant->offset != body->grant ||
	    worker->grant->reason != WWH_GRANT_MOVE)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_UNKNOWN_ITEM, WWH_NO_OFFSET,
			"worker %s has no grant %" PRId64 " for a move",
			body->worker, body->grant);
	if (record->kind == WWH_RECORD_MOVE_START)
		return start_move(state, offset, worker, body, detail);
	if (record->kind == WWH_RECORD_MOVE_FINISH)
		return finish_move(state, worker, body, detail);
	return cancel_move(state, worker, body, detail);
}
