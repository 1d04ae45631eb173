#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "private/state_internal.h"

static wwh_verdict_t not_active(const wwh_state_t *state, int64_t offset,
				const char *what, const char *id,
				wwh_verdict_detail_t *detail)
{
	return wwh_state_verdict(state, detail, WWH_VERDICT_NOT_ACTIVE, offset,
				 "%s %s is not running", what, id);
}

static wwh_verdict_t check_wave(const wwh_state_t *state,
				const wwh_state_worker_t *worker,
				const char *owner, wwh_verdict_detail_t *detail)
{
	const wwh_state_wave_t *wave =
		wwh_state_table_find(&state->waves, owner);
	const char *id = worker->declared->id;

	if (wave == NULL)
		return wwh_state_verdict(state, detail,
					 WWH_VERDICT_UNKNOWN_ITEM,
					 WWH_NO_OFFSET, "no wave %s", owner);
	if (wave->phase != WWH_WAVE_PHASE_RUNNING)
		return not_active(state, wave->changed, "wave", owner, detail);
	if (strcmp(wave->pool, worker->pool->declared->id) != 0 ||
	    (wave->workers->len > 0 && !wwh_ids_contain(wave->workers, id)))
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_INVALID, wave->offset,
			"worker %s is not in wave %s", id, owner);
	if (wwh_ids_contain(wave->done, id))
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_ALREADY, wave->offset,
			"wave %s is done with worker %s", owner, id);
	return WWH_VERDICT_ACCEPTED;
}

static bool is_in_domain(const wwh_worker_t *worker, int32_t domain,
			 const char *id)
{
	if (domain == WWH_DOMAIN_ZONE)
		return strcmp(worker->zone, id) == 0;
	if (domain == WWH_DOMAIN_RACK)
		return strcmp(worker->rack, id) == 0;
	return strcmp(worker->id, id) == 0;
}

static wwh_verdict_t check_rehearsal(const wwh_state_t *state,
				     const wwh_state_worker_t *worker,
				     const char *owner,
				     wwh_verdict_detail_t *detail)
{
	const wwh_state_rehearsal_t *rehearsal =
		wwh_state_table_find(&state->rehearsals, owner);

	if (rehearsal == NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_UNKNOWN_ITEM, WWH_NO_OFFSET,
			"no rehearsal %s", owner);
	if (!rehearsal->running)
		return not_active(state, rehearsal->changed, "rehearsal", owner,
				  detail);
	if (!is_in_domain(worker->declared, rehearsal->domain,
			  rehearsal->domain_id))
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_INVALID, rehearsal->offset,
			"worker %s is not in %s %s", worker->declared->id,
			wwh_domain_names[rehearsal->domain],
			rehearsal->domain_id);
	return WWH_VERDICT_ACCEPTED;
}

static wwh_verdict_t check_owner(const wwh_state_t *state,
				 const wwh_state_worker_t *worker,
				 wwh_grant_reason_t reason, const char *owner,
				 wwh_verdict_detail_t *detail)
{
	if (reason == WWH_GRANT_WAVE)
		return check_wave(state, worker, owner, detail);
	if (reason == WWH_GRANT_REHEARSAL)
		return check_rehearsal(state, worker, owner, detail);
	return WWH_VERDICT_ACCEPTED;
}

static wwh_verdict_t check_grant(const wwh_state_t *state,
				 const wwh_state_worker_t *worker,
				 wwh_grant_reason_t reason, const char *owner,
				 wwh_verdict_detail_t *detail)
{
	wwh_verdict_t verdict;

	if (worker->move != NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_BUSY, worker->move->offset,
			"worker %s moves from %s to %s", worker->declared->id,
			worker->move->from, worker->move->to);
	if (worker->grant != NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_BUSY, worker->grant->offset,
			"worker %s is granted for %s %s to %s",
			worker->declared->id,
			wwh_grant_reason_names[worker->grant->reason],
			worker->grant->owner, worker->grant->author);
	verdict = check_owner(state, worker, reason, owner, detail);
	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	return wwh_state_check_budget(state, worker, reason, detail);
}

wwh_verdict_t wwh_state_would_grant(const wwh_state_t *state,
				    const char *worker,
				    wwh_grant_reason_t reason,
				    const char *owner,
				    wwh_verdict_detail_t *detail)
{
	const wwh_state_worker_t *found = wwh_state_find_worker(state, worker);

	wwh_state_verdict(state, detail, WWH_VERDICT_ACCEPTED, WWH_NO_OFFSET,
			  "%s", "");
	if (found == NULL)
		return wwh_state_unknown_worker(state, worker, detail);
	return check_grant(state, found, reason, owner, detail);
}

static wwh_verdict_t request_grant(wwh_state_t *state, int64_t offset,
				   const wwh_record_t *record,
				   wwh_verdict_detail_t *detail)
{
	const wwh_record_grant_request_t *body = &record->body.grant_request;
	wwh_state_worker_t *worker = wwh_state_find_worker(state, body->worker);
	wwh_verdict_t verdict;

	if (worker == NULL)
		return wwh_state_unknown_worker(state, body->worker, detail);
	verdict = wwh_state_check_fence(
		state, wwh_shard_of_pool(wwh_state_worker_home_pool(worker)),
		record, body->fence, detail);
	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	verdict = check_grant(state, worker, body->reason, body->owner, detail);
	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	wwh_state_uncount_worker(worker);
	worker->grant = g_new0(wwh_state_grant_t, 1);
	worker->grant->offset = offset;
	worker->grant->reason = body->reason;
	worker->grant->owner = g_strdup(body->owner);
	worker->grant->author = g_strdup(record->author);
	wwh_state_count_worker(worker);
	return WWH_VERDICT_ACCEPTED;
}

/*
 * Records that the wave is done with the worker, so that a new holder of the
 * lease does not repeat the maintenance.
 */
static void record_done(wwh_state_t *state, const wwh_state_worker_t *worker)
{
	wwh_state_wave_t *wave;

	if (worker->grant->reason != WWH_GRANT_WAVE)
		return;
	wave = wwh_state_table_find(&state->waves, worker->grant->owner);
	if (wave != NULL)
		wwh_ids_insert(wave->done, worker->declared->id);
}

static wwh_verdict_t end_grant(wwh_state_t *state, int64_t offset,
			       const wwh_record_t *record,
			       wwh_verdict_detail_t *detail)
{
	const wwh_record_grant_end_t *body = &record->body.grant_end;
	wwh_state_worker_t *worker = wwh_state_find_worker(state, body->worker);
	wwh_verdict_t verdict;

	if (worker == NULL)
		return wwh_state_unknown_worker(state, body->worker, detail);
	verdict = wwh_state_check_fence(
		state, wwh_shard_of_pool(wwh_state_worker_home_pool(worker)),
		record, body->fence, detail);
	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	if (worker->grant == NULL || worker->grant->offset != body->grant)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_UNKNOWN_ITEM, WWH_NO_OFFSET,
			"worker %s has no grant %" PRId64, body->worker,
			body->grant);
	if (worker->move != NULL || body->outcome == WWH_GRANT_MOVED)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_INVALID,
			worker->grant->offset,
			"a move ends only with its finish or cancel record");
	if (body->outcome == WWH_GRANT_RETURNED)
		record_done(state, worker);
	wwh_state_uncount_worker(worker);
	if (body->outcome == WWH_GRANT_FAILED)
		worker->failed = offset;
	wwh_state_end_grant(worker);
	wwh_state_count_worker(worker);
	return WWH_VERDICT_ACCEPTED;
}

wwh_verdict_t wwh_apply_grant(wwh_state_t *state, int64_t offset,
			      const wwh_record_t *record,
			      wwh_verdict_detail_t *detail)
{
	if (record->kind == WWH_RECORD_GRANT_REQUEST)
		return request_grant(state, offset, record, detail);
	return end_grant(state, offset, record, detail);
}
