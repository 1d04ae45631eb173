#include <inttypes.h>
#include <string.h>

#include "private/state_internal.h"

const char *const wwh_wave_phase_names[WWH_WAVE_PHASE_COUNT] = {
	"running",
	"paused",
	"aborted",
	"finished",
};

static wwh_verdict_t check_workers(const wwh_state_t *state,
				   const wwh_record_wave_t *body,
				   wwh_verdict_detail_t *detail)
{
	for (guint i = 0; i < body->workers->len; i++) {
		const char *id = body->workers->pdata[i];
		const wwh_state_worker_t *worker =
			wwh_state_find_worker(state, id);

		if (worker == NULL)
			return wwh_state_unknown_worker(state, id, detail);
		if (worker->pool == NULL ||
		    strcmp(worker->pool->declared->id, body->pool) != 0)
			return wwh_state_verdict(
				state, detail, WWH_VERDICT_INVALID,
				WWH_NO_OFFSET, "worker %s is not in pool %s",
				id, body->pool);
	}
	return WWH_VERDICT_ACCEPTED;
}

static wwh_verdict_t check_start(const wwh_state_t *state,
				 const wwh_record_wave_t *body,
				 wwh_verdict_detail_t *detail)
{
	const wwh_state_wave_t *known =
		wwh_state_table_find(&state->waves, body->wave);
	const wwh_state_wave_t *running;

	if (known != NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_ALREADY, known->offset,
			"wave %s was started by %s and is %s", known->id,
			known->author, wwh_wave_phase_names[known->phase]);
	if (wwh_state_find_pool(state, body->pool) == NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_UNKNOWN_POOL, WWH_NO_OFFSET,
			"no pool %s", body->pool);
	running = g_hash_table_lookup(state->wave_by_pool, body->pool);
	if (running != NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_BUSY, running->offset,
			"pool %s has wave %s, started by %s", body->pool,
			running->id, running->author);
	if (wwh_state_table_running_count(&state->waves) >= WWH_STATE_WAVES_MAX)
		return wwh_state_verdict(state, detail, WWH_VERDICT_LIMIT,
					 WWH_NO_OFFSET,
					 "limit of %d running waves reached",
					 WWH_STATE_WAVES_MAX);
	return check_workers(state, body, detail);
}

static wwh_verdict_t start_wave(wwh_state_t *state, int64_t offset,
				const wwh_record_t *record,
				wwh_verdict_detail_t *detail)
{
	const wwh_record_wave_t *body = &record->body.wave;
	wwh_verdict_t verdict = check_start(state, body, detail);
	wwh_state_wave_t *wave;

	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	wave = wwh_state_item_new(&wwh_state_wave_fields);
	wwh_record_set(&wave->id, body->wave);
	wwh_record_set(&wave->pool, body->pool);
	wwh_record_set(&wave->author, record->author);
	wwh_record_set(&wave->reason, body->reason);
	wave->offset = offset;
	wave->changed = offset;
	wave->phase = WWH_WAVE_PHASE_RUNNING;
	for (guint i = 0; i < body->workers->len; i++)
		wwh_ids_insert(wave->workers, body->workers->pdata[i]);
	wwh_state_table_add(&state->waves, wave);
	g_hash_table_insert(state->wave_by_pool, wave->pool, wave);
	return WWH_VERDICT_ACCEPTED;
}

/* Returns a worker that is still granted to the wave, or NULL. */
static const wwh_state_worker_t *find_granted_worker(const wwh_state_t *state,
						     const char *wave)
{
	for (int32_t i = 0; i < state->worker_count; i++) {
		const wwh_state_grant_t *grant = state->workers[i].grant;

		if (grant != NULL && grant->reason == WWH_GRANT_WAVE &&
		    strcmp(grant->owner, wave) == 0)
			return &state->workers[i];
	}
	return NULL;
}

static wwh_verdict_t check_finish(const wwh_state_t *state,
				  const wwh_record_t *record,
				  const wwh_state_wave_t *wave,
				  wwh_verdict_detail_t *detail)
{
	const wwh_state_worker_t *granted =
		find_granted_worker(state, wave->id);
	wwh_verdict_t verdict =
		wwh_state_check_fence(state, wwh_shard_of_pool(wave->pool),
				      record, record->body.wave.fence, detail);

	if (verdict != WWH_VERDICT_ACCEPTED || granted == NULL)
		return verdict;
	return wwh_state_verdict(state, detail, WWH_VERDICT_BUSY,
				 granted->grant->offset,
				 "worker %s is granted to wave %s",
				 granted->declared->id, wave->id);
}

/* The phase that a record of kind leads to. */
static wwh_wave_phase_t target_phase(wwh_record_kind_t kind)
{
	switch (kind) {
	case WWH_RECORD_WAVE_PAUSE:
		return WWH_WAVE_PHASE_PAUSED;
	case WWH_RECORD_WAVE_RESUME:
		return WWH_WAVE_PHASE_RUNNING;
	case WWH_RECORD_WAVE_ABORT:
		return WWH_WAVE_PHASE_ABORTED;
	default:
		return WWH_WAVE_PHASE_FINISHED;
	}
}

static bool has_ended(const wwh_state_wave_t *wave)
{
	return wave->phase == WWH_WAVE_PHASE_ABORTED ||
	       wave->phase == WWH_WAVE_PHASE_FINISHED;
}

static wwh_verdict_t check_change(const wwh_state_t *state,
				  const wwh_record_t *record,
				  const wwh_state_wave_t *wave,
				  wwh_verdict_detail_t *detail)
{
	if (wave->phase == (int32_t)target_phase(record->kind))
		return wwh_state_verdict(state, detail, WWH_VERDICT_ALREADY,
					 wave->changed, "wave %s is %s already",
					 wave->id,
					 wwh_wave_phase_names[wave->phase]);
	if (has_ended(wave))
		return wwh_state_verdict(state, detail, WWH_VERDICT_NOT_ACTIVE,
					 wave->changed, "wave %s is %s",
					 wave->id,
					 wwh_wave_phase_names[wave->phase]);
	if (record->kind == WWH_RECORD_WAVE_FINISH)
		return check_finish(state, record, wave, detail);
	return WWH_VERDICT_ACCEPTED;
}

wwh_verdict_t wwh_apply_wave(wwh_state_t *state, int64_t offset,
			     const wwh_record_t *record,
			     wwh_verdict_detail_t *detail)
{
	const wwh_record_wave_t *body = &record->body.wave;
	wwh_state_wave_t *wave;
	wwh_verdict_t verdict;

	if (record->kind == WWH_RECORD_WAVE_START)
		return start_wave(state, offset, record, detail);
	wave = wwh_state_table_find(&state->waves, body->wave);
	if (wave == NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_UNKNOWN_ITEM, WWH_NO_OFFSET,
			"no wave %s", body->wave);
	verdict = check_change(state, record, wave, detail);
	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	wave->phase = target_phase(record->kind);
	wave->changed = offset;
	wwh_record_set(&wave->reason, body->reason);
	if (!has_ended(wave))
		return WWH_VERDICT_ACCEPTED;
	g_hash_table_remove(state->wave_by_pool, wave->pool);
	wwh_state_table_end(&state->waves, wave);
	return WWH_VERDICT_ACCEPTED;
}
