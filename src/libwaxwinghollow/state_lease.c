#include <inttypes.h>

#include "private/state_internal.h"

#include <assert.h>
#include <string.h>

bool wwh_state_is_lease_holder(const wwh_state_t *state, int32_t shard,
			       const char *author, int64_t fence)
{
	const wwh_state_lease_t *lease;

	assert(shard >= 0 && shard < WWH_SHARD_COUNT);
	lease = state->leases[shard];
	return lease->latest != WWH_NO_OFFSET && lease->fence == fence &&
	       strcmp(lease->holder, author) == 0;
}

wwh_verdict_t wwh_state_check_fence(const wwh_state_t *state, int32_t shard,
				    const wwh_record_t *record, int64_t fence,
				    wwh_verdict_detail_t *detail)
{
	const wwh_state_lease_t *lease = state->leases[shard];

	if (wwh_state_is_lease_holder(state, shard, record->author, fence))
		return WWH_VERDICT_ACCEPTED;
	return wwh_state_verdict(
		state, detail, WWH_VERDICT_NOT_HOLDER, lease->fence,
		"shard %d is held by '%s' since %" PRId64
		", not by %s since %" PRId64,
		shard, lease->holder, lease->fence, record->author, fence);
}

static wwh_verdict_t acquire_lease(wwh_state_t *state, int64_t offset,
				   const wwh_record_t *record,
				   wwh_verdict_detail_t *detail)
{
	const wwh_record_lease_t *body = &record->body.lease;
	wwh_state_lease_t *lease = state->leases[body->shard];

	if (body->offset != lease->latest)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_STALE, lease->latest,
			"shard %d was taken or renewed by '%s' at %" PRId64
			", the challenger saw %" PRId64,
			body->shard, lease->holder, lease->latest,
			body->offset);
	wwh_record_set(&lease->holder, record->author);
	lease->fence = offset;
	lease->latest = offset;
	lease->duration_ms = body->duration_ms;
	return WWH_VERDICT_ACCEPTED;
}

wwh_verdict_t wwh_apply_lease(wwh_state_t *state, int64_t offset,
			      const wwh_record_t *record,
			      wwh_verdict_detail_t *detail)
{
	const wwh_record_lease_t *body = &record->body.lease;
	wwh_state_lease_t *lease;
	wwh_verdict_t verdict;

	if (body->shard >= WWH_SHARD_COUNT)
		return wwh_state_verdict(state, detail, WWH_VERDICT_INVALID,
					 WWH_NO_OFFSET, "no shard %d",
					 body->shard);
	if (record->kind == WWH_RECORD_LEASE_TAKE)
		return acquire_lease(state, offset, record, detail);
	verdict = wwh_state_check_fence(state, body->shard, record,
					body->offset, detail);
	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	lease = state->leases[body->shard];
	if (record->kind == WWH_RECORD_LEASE_RENEW) {
		lease->latest = offset;
		lease->duration_ms = body->duration_ms;
		return WWH_VERDICT_ACCEPTED;
	}
	wwh_record_set(&lease->holder, "");
	lease->fence = WWH_NO_OFFSET;
	lease->latest = WWH_NO_OFFSET;
	lease->duration_ms = 0;
	return WWH_VERDICT_ACCEPTED;
}
