#include "private/scheduler_state.h"

/*
 * Of some hundred bytes each, in memory and in the store. Further ones aren't added, and
 * their callers are told to try again, until the oldest have expired.
 */
#define MAX_TOMBSTONES 20000

bool wwh_scheduler_add_tombstone(wwh_scheduler_t *scheduler, const char *id,
				 const char *workspace, int64_t now_ms,
				 int64_t *record)
{
	sched_job_t *job = sched_job_find(scheduler, id);

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (job == NULL) {
		if (scheduler->tombstones >= MAX_TOMBSTONES)
			return false;
		job = sched_job_add_ended(scheduler, id);
		job->state = WWH_PROGRESS_CANCELLED;
		job->workspace = g_strdup(workspace);
		job->ended_ms = scheduler->now_ms;
		job->tombstone = true;
		job->end_record_number = G_MAXINT64;
		sched_tombstone_count(scheduler, job, 1);
		sched_progress_write_job(scheduler, job);
		sched_explain(scheduler, "job-barred", id,
			      "record=%" G_GINT64_FORMAT " tombstones=%d",
			      job->end_record_number, scheduler->tombstones);
	}
	g_assert(job->tombstone);
	*record = job->end_record_number;
	return true;
}

bool wwh_scheduler_has_tombstone(const wwh_scheduler_t *scheduler,
				 const char *id)
{
	const sched_job_t *job = sched_job_find(scheduler, id);

	return job != NULL && job->tombstone;
}

int64_t sched_tombstone_show(wwh_scheduler_t *scheduler, sched_job_t *job)
{
	sched_tombstone_count(scheduler, job, -1);
	job->tombstone = false;
	job->ended_ms = scheduler->now_ms;
	sched_progress_write_job(scheduler, job);
	sched_explain(scheduler, "barred-job-submitted", job->id,
		      "record=%" G_GINT64_FORMAT, job->progress_number);
	return job->progress_number;
}

void sched_tombstone_count(wwh_scheduler_t *scheduler, const sched_job_t *job,
			   int32_t amount)
{
	if (job->tombstone)
		scheduler->tombstones += amount;
}
