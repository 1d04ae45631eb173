#include <inttypes.h>

#include "private/state_internal.h"

static void set_flag(wwh_state_worker_t *worker, int64_t *flag, int64_t offset)
{
	wwh_state_uncount_worker(worker);
	*flag = offset;
	wwh_state_count_worker(worker);
}

/*
 * A return names the failure that ended. Otherwise a return from an older
 * failure would count a failed worker as available, and a grant could then
 * exceed the budget.
 */
static wwh_verdict_t apply_return(wwh_state_t *state,
				  const wwh_record_t *record,
				  wwh_state_worker_t *worker,
				  wwh_verdict_detail_t *detail)
{
	const wwh_record_worker_t *body = &record->body.worker;
	int32_t shard = wwh_shard_of_pool(wwh_state_worker_home_pool(worker));
	wwh_verdict_t verdict = wwh_state_check_fence(state, shard, record,
						      body->fence, detail);

	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	if (worker->failed == WWH_NO_OFFSET)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_ALREADY, WWH_NO_OFFSET,
			"worker %s is not failed", body->worker);
	if (worker->failed != body->seen)
		return wwh_state_verdict(state, detail, WWH_VERDICT_STALE,
					 worker->failed,
					 "worker %s failed again at %" PRId64,
					 body->worker, worker->failed);
	set_flag(worker, &worker->failed, WWH_NO_OFFSET);
	return WWH_VERDICT_ACCEPTED;
}

static wwh_verdict_t set_quarantine(wwh_state_t *state,
				    wwh_state_worker_t *worker, int64_t offset,
				    wwh_verdict_detail_t *detail)
{
	bool is_set = worker->quarantined != WWH_NO_OFFSET;

	if (is_set == (offset != WWH_NO_OFFSET))
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_ALREADY, worker->quarantined,
			"worker %s is %s quarantined", worker->declared->id,
			is_set ? "already" : "not");
	set_flag(worker, &worker->quarantined, offset);
	return WWH_VERDICT_ACCEPTED;
}

wwh_verdict_t wwh_apply_worker(wwh_state_t *state, int64_t offset,
			       const wwh_record_t *record,
			       wwh_verdict_detail_t *detail)
{
	const wwh_record_worker_t *body = &record->body.worker;
	wwh_state_worker_t *worker = wwh_state_find_worker(state, body->worker);

	if (worker == NULL)
		return wwh_state_unknown_worker(state, body->worker, detail);
	switch (record->kind) {
	case WWH_RECORD_WORKER_FAILED:
		set_flag(worker, &worker->failed, offset);
		return WWH_VERDICT_ACCEPTED;
	case WWH_RECORD_WORKER_RETURNED:
		return apply_return(state, record, worker, detail);
	case WWH_RECORD_WORKER_QUARANTINE:
		return set_quarantine(state, worker, offset, detail);
	default:
		return set_quarantine(state, worker, WWH_NO_OFFSET, detail);
	}
}
