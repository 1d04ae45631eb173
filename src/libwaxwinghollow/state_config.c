#include <inttypes.h>

#include "private/state_internal.h"

static wwh_verdict_t check_removed_worker(const wwh_state_t *state,
					  const wwh_state_worker_t *worker,
					  wwh_verdict_detail_t *detail)
{
	if (worker->grant != NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_BUSY, worker->grant->offset,
			"worker %s can't be removed: it is granted for %s %s",
			worker->declared->id,
			wwh_grant_reason_names[worker->grant->reason],
			worker->grant->owner);
	if (worker->move != NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_BUSY, worker->move->offset,
			"worker %s can't be removed: it moves from %s to %s",
			worker->declared->id, worker->move->from,
			worker->move->to);
	return WWH_VERDICT_ACCEPTED;
}

static wwh_verdict_t pool_in_use(const wwh_state_t *state, const char *pool,
				 const wwh_state_worker_t *worker,
				 wwh_verdict_detail_t *detail)
{
	return wwh_state_verdict(state, detail, WWH_VERDICT_BUSY,
				 worker->move ? worker->move->offset
					      : WWH_NO_OFFSET,
				 "pool %s can't be removed: worker %s is in it "
				 "or moves from or to it",
				 pool, worker->declared->id);
}

/*
 * A worker may be removed only if it is neither granted nor moving. For a
 * worker that stays, its pool or the pools it moves between must stay too.
 */
static wwh_verdict_t check_worker(const wwh_state_t *state,
				  const wwh_state_worker_t *worker,
				  const wwh_config_t *next,
				  wwh_verdict_detail_t *detail)
{
	const char *home = wwh_state_worker_home_pool(worker);

	if (wwh_config_worker(next, worker->declared->id) == NULL)
		return check_removed_worker(state, worker, detail);
	if (wwh_config_pool(next, home) == NULL)
		return pool_in_use(state, home, worker, detail);
	if (worker->move != NULL &&
	    wwh_config_pool(next, worker->move->to) == NULL)
		return pool_in_use(state, worker->move->to, worker, detail);
	return WWH_VERDICT_ACCEPTED;
}

static wwh_verdict_t check_waves(const wwh_state_t *state,
				 const wwh_config_t *next,
				 wwh_verdict_detail_t *detail)
{
	for (int32_t i = 0; i < state->pool_count; i++) {
		const char *pool = state->pools[i].declared->id;
		const wwh_state_wave_t *wave =
			g_hash_table_lookup(state->wave_by_pool, pool);

		if (wave != NULL && wwh_config_pool(next, pool) == NULL)
			return wwh_state_verdict(
				state, detail, WWH_VERDICT_BUSY, wave->offset,
				"pool %s can't be removed: wave %s is running",
				pool, wave->id);
	}
	return WWH_VERDICT_ACCEPTED;
}

static wwh_verdict_t check_next_config(const wwh_state_t *state,
				       const wwh_config_t *next,
				       wwh_verdict_detail_t *detail)
{
	wwh_verdict_t verdict = WWH_VERDICT_ACCEPTED;

	for (int32_t i = 0;
	     i < state->worker_count && verdict == WWH_VERDICT_ACCEPTED; i++)
		verdict = check_worker(state, &state->workers[i], next, detail);
	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	return check_waves(state, next, detail);
}

static wwh_verdict_t build_next_config(const wwh_state_t *state,
				       const wwh_record_config_t *body,
				       wwh_config_t **next,
				       wwh_verdict_detail_t *detail)
{
	wwh_config_change_t *change = NULL;
	wwh_message_t message = { "" };
	wwh_status_t status;
	gsize size;
	const uint8_t *data = g_bytes_get_data(body->change, &size);

	if (wwh_config_change_decode(data, size, &change, &message) !=
	    WWH_STATUS_OK)
		return wwh_state_verdict(state, detail, WWH_VERDICT_MALFORMED,
					 WWH_NO_OFFSET, "%s", message.text);
	status = wwh_config_apply(state->config, change, body->base_version + 1,
				  next, &message);
	wwh_config_change_delete(change);
	if (status != WWH_STATUS_OK)
		return wwh_state_verdict(state, detail, WWH_VERDICT_INVALID,
					 WWH_NO_OFFSET, "%s", message.text);
	return WWH_VERDICT_ACCEPTED;
}

wwh_verdict_t wwh_apply_config(wwh_state_t *state, int64_t offset,
			       const wwh_record_t *record,
			       wwh_verdict_detail_t *detail)
{
	const wwh_record_config_t *body = &record->body.config;
	int64_t version = wwh_config_version(state->config);
	wwh_config_t *next = NULL;
	wwh_verdict_t verdict;

	if (body->base_version != version)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_STALE_BASE,
			state->config_offset,
			"someone else changed it: version %" PRId64 " by %s",
			version, state->config_author);
	verdict = build_next_config(state, body, &next, detail);
	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	verdict = check_next_config(state, next, detail);
	if (verdict != WWH_VERDICT_ACCEPTED) {
		wwh_config_unref(next);
		return verdict;
	}
	wwh_state_replace_config(state, next);
	state->config_offset = offset;
	wwh_record_set(&state->config_author, record->author);
	return WWH_VERDICT_ACCEPTED;
}
