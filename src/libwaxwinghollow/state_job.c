#include <inttypes.h>
#include <string.h>

#include "private/state_internal.h"

const char *const wwh_job_phase_names[WWH_JOB_PHASE_COUNT] = {
	"pending", "placed", "done", "cancelled", "failed",
};

static wwh_verdict_t submit_job(wwh_state_t *state, int64_t offset,
				const wwh_record_t *record,
				wwh_verdict_detail_t *detail)
{
	const wwh_record_job_submit_t *body = &record->body.job_submit;
	wwh_state_job_t *job = wwh_state_table_find(&state->jobs, body->job);

	if (job != NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_ALREADY, job->submitted,
			"job %s was submitted and is %s", job->id,
			wwh_job_phase_names[job->phase]);
	if (wwh_state_find_pool(state, body->pool) == NULL)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_UNKNOWN_POOL, WWH_NO_OFFSET,
			"no pool %s", body->pool);
	if (wwh_state_table_running_count(&state->jobs) >= WWH_STATE_JOBS_MAX)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_LIMIT, WWH_NO_OFFSET,
			"limit of %d pending or placed jobs reached",
			WWH_STATE_JOBS_MAX);
	job = wwh_state_item_new(&wwh_state_job_fields);
	wwh_record_set(&job->id, body->job);
	wwh_record_set(&job->pool, body->pool);
	wwh_record_set(&job->team, body->team);
	job->cores = body->cores;
	job->memory_mb = body->memory_mb;
	job->accelerators = body->accelerators;
	job->urgent = body->urgent;
	job->idempotent = body->idempotent;
	job->submitted = offset;
	job->changed = offset;
	job->phase = WWH_JOB_PHASE_PENDING;
	wwh_state_table_add(&state->jobs, job);
	return WWH_VERDICT_ACCEPTED;
}

static wwh_verdict_t check_placement(const wwh_state_t *state,
				     const wwh_record_t *record,
				     const wwh_state_job_t *job,
				     wwh_verdict_detail_t *detail)
{
	const wwh_record_job_t *body = &record->body.job;
	const wwh_state_worker_t *worker =
		wwh_state_find_worker(state, body->worker);
	wwh_verdict_t verdict =
		wwh_state_check_fence(state, wwh_shard_of_pool(job->pool),
				      record, body->fence, detail);

	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	if (job->phase != WWH_JOB_PHASE_PENDING)
		return wwh_state_verdict(state, detail, WWH_VERDICT_BUSY,
					 job->changed, "job %s is %s", job->id,
					 wwh_job_phase_names[job->phase]);
	if (worker == NULL)
		return wwh_state_unknown_worker(state, body->worker, detail);
	if (worker->pool == NULL ||
	    strcmp(worker->pool->declared->id, job->pool) != 0)
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_INVALID, WWH_NO_OFFSET,
			"worker %s is not in pool %s", body->worker, job->pool);
	if (wwh_state_worker_is_lost(worker))
		return wwh_state_verdict(
			state, detail, WWH_VERDICT_BUSY, WWH_NO_OFFSET,
			"worker %s is granted, failed or quarantined",
			body->worker);
	return WWH_VERDICT_ACCEPTED;
}

static wwh_verdict_t place_job(wwh_state_t *state, int64_t offset,
			       const wwh_record_t *record, wwh_state_job_t *job,
			       wwh_verdict_detail_t *detail)
{
	wwh_verdict_t verdict = check_placement(state, record, job, detail);

	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	wwh_record_set(&job->worker, record->body.job.worker);
	job->fence = offset;
	job->changed = offset;
	job->phase = WWH_JOB_PHASE_PLACED;
	return WWH_VERDICT_ACCEPTED;
}

static void end_job(wwh_state_t *state, wwh_state_job_t *job, int64_t offset,
		    wwh_job_phase_t phase)
{
	job->phase = (int32_t)phase;
	job->changed = offset;
	wwh_state_table_end(&state->jobs, job);
}

static wwh_verdict_t cancel_job(wwh_state_t *state, int64_t offset,
				wwh_state_job_t *job,
				wwh_verdict_detail_t *detail)
{
	if (job->phase >= WWH_JOB_PHASE_DONE)
		return wwh_state_verdict(state, detail, WWH_VERDICT_ALREADY,
					 job->changed, "job %s is %s already",
					 job->id,
					 wwh_job_phase_names[job->phase]);
	end_job(state, job, offset, WWH_JOB_PHASE_CANCELLED);
	return WWH_VERDICT_ACCEPTED;
}

/*
 * Accepts only reports with the last placement's fence: a report of an earlier
 * placement would end or repeat a task that now runs elsewhere.
 */
static wwh_verdict_t check_report(const wwh_state_t *state,
				  const wwh_record_t *record,
				  const wwh_state_job_t *job,
				  wwh_verdict_detail_t *detail)
{
	if (job->fence != record->body.job.fence)
		return wwh_state_verdict(state, detail, WWH_VERDICT_STALE,
					 job->fence,
					 "job %s was placed last at %" PRId64,
					 job->id, job->fence);
	if (job->phase == WWH_JOB_PHASE_PLACED)
		return WWH_VERDICT_ACCEPTED;
	return wwh_state_verdict(state, detail, WWH_VERDICT_ALREADY,
				 job->changed, "job %s is %s already", job->id,
				 wwh_job_phase_names[job->phase]);
}

static void fail_job(wwh_state_t *state, int64_t offset, wwh_state_job_t *job,
		     wwh_run_class_t run)
{
	job->failures++;
	if (job->idempotent || run == WWH_RUN_NOT_RUN) {
		job->phase = WWH_JOB_PHASE_PENDING;
		job->changed = offset;
		return;
	}
	end_job(state, job, offset, WWH_JOB_PHASE_FAILED);
}

wwh_verdict_t wwh_apply_job(wwh_state_t *state, int64_t offset,
			    const wwh_record_t *record,
			    wwh_verdict_detail_t *detail)
{
	const wwh_record_job_t *body = &record->body.job;
	wwh_state_job_t *job;
	wwh_verdict_t verdict;

	if (record->kind == WWH_RECORD_JOB_SUBMIT)
		return submit_job(state, offset, record, detail);
	job = wwh_state_table_find(&state->jobs, body->job);
	if (job == NULL)
		return wwh_state_verdict(state, detail,
					 WWH_VERDICT_UNKNOWN_ITEM,
					 WWH_NO_OFFSET, "no job %s", body->job);
	if (record->kind == WWH_RECORD_JOB_CANCEL)
		return cancel_job(state, offset, job, detail);
	if (record->kind == WWH_RECORD_JOB_PLACE)
		return place_job(state, offset, record, job, detail);
	verdict = check_report(state, record, job, detail);
	if (verdict != WWH_VERDICT_ACCEPTED)
		return verdict;
	if (record->kind == WWH_RECORD_JOB_DONE) {
		end_job(state, job, offset, WWH_JOB_PHASE_DONE);
	} else if (record->kind == WWH_RECORD_JOB_FAILED) {
		fail_job(state, offset, job, body->run);
	} else {
		job->phase = WWH_JOB_PHASE_PENDING;
		job->checkpoint = offset;
		job->changed = offset;
	}
	return WWH_VERDICT_ACCEPTED;
}
