#include "waxwinghollow/job.h"

#include <string.h>

/* More than a thousand years; the sum for all repeats fits into 64 bits. */
#define MAX_TIME_MS INT64_C(40000000000000)

static void clear_step(wwh_job_step_t *step);
static wwh_status_t check_step(const wwh_job_t *job, int32_t number,
			       wwh_message_t *message);

wwh_job_t *wwh_job_new(int32_t step_count)
{
	wwh_job_t *job = g_new0(wwh_job_t, 1);

	job->steps = g_new0(wwh_job_step_t, (gsize)MAX(step_count, 1));
	job->step_count = step_count;
	return job;
}

void wwh_job_delete(wwh_job_t *job)
{
	if (job == NULL)
		return;
	for (int32_t i = 0; i < job->step_count; i++)
		clear_step(&job->steps[i]);
	g_free(job->steps);
	g_free(job->payload);
	g_free(job->workspace);
	wwh_job_queue_clear(&job->queue);
	g_free(job);
}

void wwh_job_queue_copy(wwh_job_queue_t *to, const wwh_job_queue_t *from)
{
	*to = *from;
	to->name = g_strdup(from->name);
	to->pool = g_strdup(from->pool);
}

void wwh_job_queue_clear(wwh_job_queue_t *queue)
{
	g_clear_pointer(&queue->name, g_free);
	g_clear_pointer(&queue->pool, g_free);
}

bool wwh_job_id_valid(const char *id)
{
	size_t digits = strspn(id, "0123456789abcdefABCDEF");

	return digits == WWH_JOB_ID_CHARS && id[digits] == '\0';
}

int64_t wwh_job_estimate_ms(const wwh_job_step_t *step)
{
	return MIN(step->estimate_ms, WWH_JOB_MAX_ESTIMATE_MS);
}

int64_t wwh_job_due_wall_ms(const wwh_job_t *job, int64_t occurrence)
{
	return MIN(job->first_wall_ms, MAX_TIME_MS) +
	       MIN(job->interval_ms, MAX_TIME_MS) * occurrence;
}

wwh_status_t wwh_job_check(const wwh_job_t *job, wwh_message_t *message)
{
	int64_t tasks = 0;

	if (!wwh_job_id_valid(job->id)) {
		wwh_message_set(message, "id: expected %d hexadecimal digits",
				WWH_JOB_ID_CHARS);
		return WWH_STATUS_BAD_INPUT;
	}
	if (job->step_count < 1 || job->step_count > WWH_JOB_MAX_STEPS) {
		wwh_message_set(message, "expected 1 to %d steps",
				WWH_JOB_MAX_STEPS);
		return WWH_STATUS_BAD_INPUT;
	}
	for (int32_t i = 0; i < job->step_count; i++) {
		if (check_step(job, i, message) != WWH_STATUS_OK)
			return WWH_STATUS_BAD_INPUT;
		tasks += job->steps[i].task_count;
	}
	if (tasks > WWH_JOB_MAX_TASKS) {
		wwh_message_set(message, "more than %d tasks",
				WWH_JOB_MAX_TASKS);
		return WWH_STATUS_BAD_INPUT;
	}
	if (job->repeat_count < 0 || job->repeat_count > WWH_JOB_MAX_REPEATS ||
	    job->interval_ms < 0 || job->first_wall_ms < 0) {
		wwh_message_set(message, "repeats are out of range");
		return WWH_STATUS_BAD_INPUT;
	}
	return WWH_STATUS_OK;
}

static void clear_step(wwh_job_step_t *step)
{
	g_free(step->after);
	g_free(step->label);
	g_free(step->data_rack);
	g_free(step->image);
}

static wwh_status_t check_step(const wwh_job_t *job, int32_t number,
			       wwh_message_t *message)
{
	const wwh_job_step_t *step = &job->steps[number];

	if (step->task_count < 1 || step->task_count > WWH_JOB_MAX_TASKS) {
		wwh_message_set(message, "step %d: expected 1 to %d tasks",
				number, WWH_JOB_MAX_TASKS);
		return WWH_STATUS_BAD_INPUT;
	}
	if (step->need.cpu_millicores < 0 || step->need.memory_mb < 0 ||
	    step->need.gpus < 0 || step->estimate_ms < 0 ||
	    step->max_per_upstream < 0 || step->latency_target_ms < 0 ||
	    step->max_unavailable < 0) {
		wwh_message_set(message, "step %d: a number is negative",
				number);
		return WWH_STATUS_BAD_INPUT;
	}
	for (int32_t i = 0; i < step->after_count; i++) {
		if (step->after[i] < 0 || step->after[i] >= number) {
			wwh_message_set(message,
					"step %d: depends on a step that isn't "
					"before it",
					number);
			return WWH_STATUS_BAD_INPUT;
		}
	}
	return WWH_STATUS_OK;
}
