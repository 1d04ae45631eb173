#include "private/job_holder_state.h"

static int64_t start_wait_ms(const wwh_job_holder_t *holder,
			     const wwh_job_t *job);
static void add_arriving_hosts(wwh_job_holder_t *holder, const char *pool,
			       wwh_pool_room_t *room);
static wwh_job_answer_t refuse_overloaded(wwh_job_holder_t *holder,
					  const wwh_job_t *job,
					  int64_t late_ms);
static wwh_job_answer_t
refuse_without_room(wwh_job_holder_t *holder, const wwh_job_t *job,
		    const wwh_admission_input_t *input,
		    const wwh_admission_verdict_t *verdict);

void job_holder_admission_init(wwh_job_holder_t *holder)
{
	wwh_counters_t *counters = holder->options.counters;

	holder->admission = wwh_pool_admission_new();
	holder->overload_refusals =
		wwh_counters_get(counters, "holder.overload_refusals");
	holder->rejected_too_late = wwh_counters_get(
		counters, "holder.admission_rejected_too_late");
	holder->rejected_late =
		wwh_counters_get(counters, "holder.admission_rejected_late");
	holder->rejected_displaces = wwh_counters_get(
		counters, "holder.admission_rejected_displaces");
	holder->start_early_ms = wwh_counters_histogram(
		counters, "holder.admission_start_early_ms");
	holder->start_late_ms = wwh_counters_histogram(
		counters, "holder.admission_start_late_ms");
	holder->end_early_ms = wwh_counters_histogram(
		counters, "holder.admission_end_early_ms");
	holder->end_late_ms = wwh_counters_histogram(
		counters, "holder.admission_end_late_ms");
}

/*
 * A holder that accepts more than it can start makes all jobs late, and so does
 * a pool that accepts more than it can run: a job that is bound to be of no use
 * is refused while its caller can still retry. Jobs with lasting tasks and timed
 * jobs are exempt: they are few, and their tasks are started first.
 */
bool job_holder_admit(wwh_job_holder_t *holder, const wwh_job_t *job,
		      wwh_admission_verdict_t *verdict,
		      wwh_job_answer_t *answer)
{
	int64_t slack_ms = wwh_scheduler_slack_ms(job);
	int64_t wait_ms = slack_ms < 0 ? 0 : start_wait_ms(holder, job);
	wwh_admission_input_t input;

	if (slack_ms >= 0 && wait_ms > slack_ms) {
		*answer = refuse_overloaded(holder, job, wait_ms - slack_ms);
		return false;
	}
	wwh_scheduler_admission_input(holder->scheduler, job, holder->now_ms,
				      &input);
	input.room.start_wait_ms = wait_ms;
	if (input.room.has_queue)
		add_arriving_hosts(holder, job->queue.pool, &input.room);
	*verdict = wwh_pool_admission_decide(holder->admission, &input.room,
					     &input.job, holder->now_ms);
	if (!verdict->accepted)
		*answer = refuse_without_room(holder, job, &input, verdict);
	return verdict->accepted;
}

void job_holder_observe(bool end, int64_t expected_ms, int64_t actual_ms,
			void *client_data)
{
	wwh_job_holder_t *holder = client_data;
	int64_t late_ms = actual_ms - expected_ms;

	if (late_ms > 0)
		wwh_histogram_add(end ? holder->end_late_ms
				      : holder->start_late_ms,
				  late_ms);
	else
		wwh_histogram_add(end ? holder->end_early_ms
				      : holder->start_early_ms,
				  -late_ms);
}

/* How long the holder's own backlog of starts delays those of the job. */
static int64_t start_wait_ms(const wwh_job_holder_t *holder,
			     const wwh_job_t *job)
{
	int32_t tasks = wwh_scheduler_backlog(holder->scheduler,
					      job->queue.pool, job->workspace);
	int64_t wait_ms = wwh_start_rate_wait_ms(holder->start_rate, tasks);

	/* almost nothing is started before the holder has recovered */
	if (holder->overloaded || wwh_job_holder_is_large(holder))
		wait_ms = MAX(wait_ms,
			      wwh_scheduler_recovery_ms(holder->scheduler,
							holder->now_ms));
	return wait_ms;
}

static void add_arriving_hosts(wwh_job_holder_t *holder, const char *pool,
			       wwh_pool_room_t *room)
{
	wwh_host_arrival_t arrivals[WWH_POOL_CHANGES_MAX];
	int32_t count =
		wwh_host_duties_arrivals(holder->duties, pool, holder->now_ms,
					 arrivals, WWH_POOL_CHANGES_MAX);

	for (int32_t i = 0; i < count; i++)
		wwh_pool_room_add_change(room, arrivals[i].due_ms,
					 arrivals[i].hosts *
						 room->largest_host_millicores);
}

static wwh_job_answer_t refuse_overloaded(wwh_job_holder_t *holder,
					  const wwh_job_t *job, int64_t late_ms)
{
	wwh_job_answer_t answer = {
		.kind = WWH_JOB_ANSWER_NOT_DONE,
		.why = "overloaded",
		.retry_after_s = wwh_admission_retry_after_s(late_ms, job->id),
	};

	wwh_counter_add(holder->overload_refusals, 1);
	wwh_event_log_printf(
		holder->options.log, "job-refused", job->id,
		"why=overloaded queue=%s late_by_ms=%" G_GINT64_FORMAT
		" starts_per_s=%" G_GINT64_FORMAT,
		job->queue.name, late_ms,
		wwh_start_rate_per_s(holder->start_rate));
	return answer;
}

static wwh_job_answer_t
refuse_without_room(wwh_job_holder_t *holder, const wwh_job_t *job,
		    const wwh_admission_input_t *input,
		    const wwh_admission_verdict_t *verdict)
{
	wwh_job_answer_t answer = {
		.kind = WWH_JOB_ANSWER_NOT_DONE,
		.why = "no-capacity",
		.retry_after_s = verdict->retry_after_s,
	};
	wwh_counter_t *counter = holder->rejected_displaces;

	if (verdict->reason == WWH_ADMISSION_TOO_LATE)
		counter = holder->rejected_too_late;
	else if (verdict->reason == WWH_ADMISSION_LATE)
		counter = holder->rejected_late;
	wwh_counter_add(counter, 1);
	wwh_scheduler_note_rejected(holder->scheduler, &input->job,
				    job->queue.pool, holder->now_ms);
	wwh_event_log_printf(holder->options.log, "job-refused", job->id,
			     "why=no-capacity reason=%s queue=%s"
			     " expected_start_ms=%" G_GINT64_FORMAT
			     " expected_end_ms=%" G_GINT64_FORMAT
			     " objective_ms=%" G_GINT64_FORMAT
			     " retry_after_s=%" G_GINT64_FORMAT,
			     wwh_admission_reason_names[verdict->reason],
			     job->queue.name, verdict->start_ms,
			     verdict->end_ms, input->job.objective_ms,
			     verdict->retry_after_s);
	return answer;
}
