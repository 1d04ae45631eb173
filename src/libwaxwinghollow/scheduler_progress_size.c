#include "private/scheduler_state.h"

#include <string.h>

/*
 * Bytes of a record as scheduler_record.c packs it: heads of arrays and texts,
 * and numbers. A run has a number below 2^32 for the first four million holders.
 */
#define HEAD_BYTES 5
#define NUMBER_BYTES 5
#define RUN_BYTES 5
#define RECORD_HEAD_BYTES 64
#define BYTE_BITS 8

static int64_t failures_bytes(const wwh_job_t *spec, int64_t owners);
static int64_t step_bytes(const wwh_job_t *spec, const wwh_job_step_t *step);

int64_t sched_occurrence_least_bytes(const wwh_job_t *spec)
{
	int64_t bytes = HEAD_BYTES + NUMBER_BYTES;

	for (int32_t i = 0; i < spec->step_count; i++)
		bytes += 3 * HEAD_BYTES +
			 spec->steps[i].task_count / BYTE_BITS + 1;
	return bytes;
}

int64_t sched_occurrence_most_bytes(const wwh_job_t *spec)
{
	int64_t bytes = sched_occurrence_least_bytes(spec);

	for (int32_t i = 0; i < spec->step_count; i++)
		bytes += step_bytes(spec, &spec->steps[i]);
	return bytes;
}

bool wwh_scheduler_job_fits(const wwh_scheduler_t *scheduler,
			    const wwh_job_t *spec)
{
	int64_t max_bytes = scheduler->options.record_max_bytes;
	int64_t progress =
		RECORD_HEAD_BYTES + sched_occurrence_most_bytes(spec) +
		(spec->workspace == NULL
			 ? 0
			 : HEAD_BYTES + (int64_t)strlen(spec->workspace));
	GBytes *record;
	bool fits;

	if (progress > max_bytes)
		return false;
	record = wwh_job_encode(spec);
	fits = (int64_t)g_bytes_get_size(record) <= max_bytes;
	g_bytes_unref(record);
	return fits;
}

/* The failed runs of a gang are those of its step, a lasting task has none. */
static int64_t step_bytes(const wwh_job_t *spec, const wwh_job_step_t *step)
{
	if (step->lasting)
		return 0;
	if (step->gang)
		return failures_bytes(spec, 1);
	return failures_bytes(spec, step->task_count);
}

/* With max_attempts failed runs the job has ended. */
static int64_t failures_bytes(const wwh_job_t *spec, int64_t owners)
{
	int64_t runs = MAX(spec->queue.max_attempts - 1, 0);

	/* heads of a row and its runs, and the index of a task below 65,536 */
	return runs == 0 ? 0 : owners * (2 + 3 + runs * RUN_BYTES);
}
