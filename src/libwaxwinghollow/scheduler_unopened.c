#include "private/scheduler_state.h"

/* Each span takes two numbers of the record. */
#define SPAN_RECORD_BYTES 10

/* Part of a job's largest record that its spans may take. */
#define RECORD_DIVISOR 6

static sched_span_t *span_at(const sched_job_t *job, guint index);
static bool has_room_for_span(const sched_job_t *job);

bool sched_unopened_append(sched_job_t *job, int64_t first, int64_t end)
{
	sched_span_t span = { .first = first, .end = end };
	guint count = job->unopened->len;

	g_assert(first < end);
	if (count > 0 && span_at(job, count - 1)->end == first) {
		span_at(job, count - 1)->end = end;
		return true;
	}
	g_assert(count == 0 || span_at(job, count - 1)->end < first);
	if (!has_room_for_span(job))
		return false;
	g_array_append_val(job->unopened, span);
	return true;
}

bool sched_unopened_remove(sched_job_t *job, int64_t number)
{
	for (guint i = 0; i < job->unopened->len; i++) {
		sched_span_t *span = span_at(job, i);
		sched_span_t rest = { .first = number + 1, .end = span->end };

		if (number < span->first || number >= span->end)
			continue;
		if (span->first == number) {
			span->first++;
		} else if (span->end == number + 1) {
			span->end--;
		} else if (has_room_for_span(job)) {
			span->end = number;
			g_array_insert_val(job->unopened, i + 1, rest);
		} else {
			return false;
		}
		span = span_at(job, i);
		if (span->first == span->end)
			g_array_remove_index(job->unopened, i);
		return true;
	}
	return false;
}

bool sched_unopened_contains(const sched_job_t *job, int64_t number)
{
	for (guint i = 0; i < job->unopened->len; i++) {
		if (number >= span_at(job, i)->first &&
		    number < span_at(job, i)->end)
			return true;
	}
	return false;
}

int64_t sched_unopened_first(const sched_job_t *job)
{
	return job->unopened->len == 0 ? -1 : span_at(job, 0)->first;
}

int64_t sched_unopened_count(const sched_job_t *job)
{
	int64_t count = 0;

	for (guint i = 0; i < job->unopened->len; i++)
		count += span_at(job, i)->end - span_at(job, i)->first;
	return count;
}

static sched_span_t *span_at(const sched_job_t *job, guint index)
{
	return &g_array_index(job->unopened, sched_span_t, index);
}

static bool has_room_for_span(const sched_job_t *job)
{
	return (int64_t)(job->unopened->len + 1) * SPAN_RECORD_BYTES <=
	       job->record_max_bytes / RECORD_DIVISOR;
}
