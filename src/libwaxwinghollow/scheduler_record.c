#include "private/scheduler_state.h"

#include <msgpack.h>
#include <string.h>

#include "private/msgpack_bounds.h"

#define RECORD_DEPTH 8
#define BYTE_BITS 8

/* The minimum number of elements of each array; later ones are optional. */
#define PROGRESS_FIELDS 5
#define TOMBSTONE_FIELD 6
#define OCCURRENCE_FIELDS 2
#define STEP_FIELDS 3
#define FAILED_FIELDS 2

/*
 * A loss is two numbers of a flat array: its run, and its flags below the hash of
 * its upstream.
 */
#define LOSS_NUMBERS 2
#define LOSS_FLAG_BITS 32
#define UPSTREAM_FIELDS 2

/* A span of occurrences: its first one, and the one after its last. */
#define SPAN_NUMBERS 2

/* A record as it was stored. */
typedef struct {
	const char *kind; /* its name in error messages */
	const char *id;
	const uint8_t *value;
	size_t size;
} sched_record_t;

typedef bool (*restore_record_t)(wwh_scheduler_t *scheduler, const char *id,
				 const msgpack_object *object);

static bool is_recorded(const sched_occurrence_t *occurrence, int64_t next);
static guint count_recorded(const sched_job_t *job, int64_t next);
static int64_t recorded_end(const sched_job_t *job);
static bool has_progress(const sched_occurrence_t *occurrence);
static GBytes *encode(const sched_job_t *job, int64_t wall_ms,
		      sched_detail_t detail);
static uint32_t optional_fields(const sched_job_t *job);
static void pack_next(msgpack_packer *packer, const sched_job_t *job,
		      int64_t next);
static void pack_occurrence(msgpack_packer *packer,
			    const sched_occurrence_t *occurrence,
			    sched_detail_t detail);
static void pack_step(msgpack_packer *packer, const sched_step_t *step,
		      sched_detail_t detail);
static bool has_task_row(const sched_task_t *task, sched_detail_t detail);
static bool has_losses(const sched_task_t *task, sched_detail_t detail);
static void pack_task_row(msgpack_packer *packer, int32_t index,
			  const sched_task_t *task, sched_detail_t detail);
static void pack_losses(msgpack_packer *packer, const sched_losses_t *losses);
static void pack_failures(msgpack_packer *packer,
			  const sched_failures_t *failures);
static bool has_array_size(const msgpack_object *object, uint32_t min_size);
static bool read_number(const msgpack_object *object, int64_t *number);
static bool restore_live(wwh_scheduler_t *scheduler, sched_job_t *job,
			 const msgpack_object *fields);
static bool restore_next(sched_job_t *job, const msgpack_object *object,
			 int64_t *next);
static bool restore_occurrence(wwh_scheduler_t *scheduler, sched_job_t *job,
			       const msgpack_object *object);
static bool restore_step(wwh_scheduler_t *scheduler, sched_step_t *step,
			 const msgpack_object *object);
static bool restore_failed_tasks(sched_step_t *step,
				 const msgpack_object *rows);
static bool restore_losses(sched_task_t *task, const msgpack_object *numbers);
static bool restore_failures(sched_failures_t *failures,
			     const msgpack_object *runs);
static bool restore_progress(wwh_scheduler_t *scheduler, const char *id,
			     const msgpack_object *object);
static bool restore_upstream(wwh_scheduler_t *scheduler, const char *id,
			     const msgpack_object *object);
static int64_t restore_lease_ms(const wwh_scheduler_t *scheduler,
				const msgpack_object *object);
static bool restore(wwh_scheduler_t *scheduler, const sched_record_t *record,
		    restore_record_t restore_record, wwh_message_t *message);
static bool unpack(const uint8_t *value, size_t size,
		   msgpack_unpacked *unpacked, wwh_message_t *message);

void sched_progress_write(wwh_scheduler_t *scheduler)
{
	for (guint i = 0; i < scheduler->dirty->len; i++)
		sched_progress_write_job(
			scheduler, g_ptr_array_index(scheduler->dirty, i));
	g_ptr_array_set_size(scheduler->dirty, 0);
}

void sched_progress_write_job(wwh_scheduler_t *scheduler, sched_job_t *job)
{
	sched_detail_t detail = job->record_detail;
	GBytes *value = sched_progress_encode(job, scheduler->wall_ms);
	bool ends = !sched_job_is_live(job);

	if (job->record_detail != detail)
		sched_explain(scheduler, "progress-detail", job->id,
			      "level=%d bytes=%" G_GSIZE_FORMAT,
			      job->record_detail, g_bytes_get_size(value));
	job->dirty = false;
	scheduler->newest_record = scheduler->callbacks.write_record(
		WWH_SCHEDULER_RECORD_PROGRESS, job->id, value,
		scheduler->callbacks.client_data);
	g_bytes_unref(value);
	job->progress_number = scheduler->newest_record;
	if (!ends)
		return;
	if (job->end_record_number == G_MAXINT64) {
		job->end_record_number = scheduler->newest_record;
		if (job->tombstone)
			return;
		/* from now on, the record of its progress is sufficient */
		scheduler->newest_record = scheduler->callbacks.write_record(
			WWH_SCHEDULER_RECORD_JOB, job->id, NULL,
			scheduler->callbacks.client_data);
	}
}

/*
 * A completed occurrence of many is known by its absence. Those after the last one
 * with any progress aren't recorded: the next holder opens them again.
 */
static bool is_recorded(const sched_occurrence_t *occurrence, int64_t next)
{
	return occurrence->job->spec->repeat_count == 0 ||
	       (occurrence->number < next &&
		!sched_occurrence_is_completed(occurrence));
}

static guint count_recorded(const sched_job_t *job, int64_t next)
{
	guint count = 0;

	for (guint i = 0; i < job->occurrences->len; i++)
		count += is_recorded(g_ptr_array_index(job->occurrences, i),
				     next);
	return count;
}

/* Returns the first occurrence after all those with progress. */
static int64_t recorded_end(const sched_job_t *job)
{
	for (guint i = job->occurrences->len; i-- > 0;) {
		const sched_occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		if (occurrence->number < job->completed_end)
			break;
		if (has_progress(occurrence))
			return occurrence->number + 1;
	}
	return job->completed_end;
}

static bool has_progress(const sched_occurrence_t *occurrence)
{
	for (int32_t i = 0; i < occurrence->job->spec->step_count; i++) {
		const sched_step_t *step = &occurrence->steps[i];

		if (step->done > 0 || step->losses > 0 ||
		    step->gang_failures.count > 0)
			return true;
		for (int32_t k = 0; k < step->spec->task_count; k++) {
			if (step->tasks[k].failures.count > 0)
				return true;
		}
	}
	return false;
}

/*
 * The occurrences are chosen so that a record fits if all their tasks fail. It may
 * not where thousands of runs were lost as well, or where an older release has
 * opened more. Such a record leaves details out: the next holder then takes tasks
 * for sound, or for less often failed, than they are.
 */
GBytes *sched_progress_encode(sched_job_t *job, int64_t wall_ms)
{
	sched_detail_t detail = SCHED_DETAIL_ALL;
	GBytes *bytes = encode(job, wall_ms, detail);

	while ((int64_t)g_bytes_get_size(bytes) > job->record_max_bytes &&
	       detail + 1 < SCHED_DETAIL_COUNT) {
		g_bytes_unref(bytes);
		bytes = encode(job, wall_ms, ++detail);
	}
	job->record_detail = detail;
	return bytes;
}

static GBytes *encode(const sched_job_t *job, int64_t wall_ms,
		      sched_detail_t detail)
{
	bool live = sched_job_is_live(job);
	int64_t next = live ? recorded_end(job) : 0;
	guint open = live ? count_recorded(job, next) : 0;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	GBytes *bytes;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, PROGRESS_FIELDS + optional_fields(job));
	msgpack_pack_int32(&packer, (int32_t)job->state);
	msgpack_pack_int64(&packer, wall_ms);
	msgpack_pack_int32(&packer, job->started);
	pack_next(&packer, job, next);
	msgpack_pack_array(&packer, open);
	for (guint i = 0; open > 0 && i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		if (is_recorded(occurrence, next))
			pack_occurrence(&packer, occurrence, detail);
	}
	if (job->workspace != NULL)
		msgpack_pack_str_with_body(&packer, job->workspace,
					   strlen(job->workspace));
	else if (job->tombstone)
		msgpack_pack_nil(&packer);
	if (job->tombstone)
		msgpack_pack_true(&packer);
	bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

static uint32_t optional_fields(const sched_job_t *job)
{
	if (job->tombstone)
		return TOMBSTONE_FIELD - PROGRESS_FIELDS + 1;
	return job->workspace == NULL ? 0 : 1;
}

/*
 * A number, or an array of it and of the spans below it that aren't open yet. A
 * release that doesn't know these would take them for completed; it takes the array
 * for unreadable, and leaves the job alone.
 */
static void pack_next(msgpack_packer *packer, const sched_job_t *job,
		      int64_t next)
{
	uint32_t spans = 0;

	for (guint i = 0; job->unopened != NULL && i < job->unopened->len; i++)
		spans += g_array_index(job->unopened, sched_span_t, i).first <
			 next;
	if (spans == 0) {
		msgpack_pack_int64(packer, next);
		return;
	}
	msgpack_pack_array(packer, 1 + (size_t)spans * SPAN_NUMBERS);
	msgpack_pack_int64(packer, next);
	for (guint i = 0; i < spans; i++) {
		const sched_span_t *span =
			&g_array_index(job->unopened, sched_span_t, i);

		msgpack_pack_int64(packer, span->first);
		msgpack_pack_int64(packer, MIN(span->end, next));
	}
}

void wwh_scheduler_record_rejected(wwh_scheduler_t *scheduler,
				   wwh_scheduler_record_kind_t kind,
				   const char *key, int64_t now_ms)
{
	sched_job_t *job;
	sched_upstream_t *upstream;

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (kind == WWH_SCHEDULER_RECORD_UPSTREAM) {
		upstream = sched_upstream_find(scheduler, key);
		if (upstream != NULL)
			upstream->record_rejected = true;
		return;
	}
	job = sched_job_find(scheduler, key);
	if (kind != WWH_SCHEDULER_RECORD_PROGRESS || job == NULL ||
	    !sched_job_is_live(job))
		return;
	sched_job_end(scheduler, job, WWH_PROGRESS_FAILED);
	sched_progress_write(scheduler);
	/* ends that were in the rejected record wait for this one */
	sched_upstreams_defer_acks(scheduler);
}

bool sched_progress_restore(wwh_scheduler_t *scheduler, const char *id,
			    const uint8_t *value, size_t size,
			    wwh_message_t *message)
{
	sched_record_t record = {
		.kind = "progress of", .id = id, .value = value, .size = size
	};

	return restore(scheduler, &record, restore_progress, message);
}

GBytes *sched_upstream_encode(const sched_upstream_t *upstream)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	GBytes *bytes;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, UPSTREAM_FIELDS + 1);
	msgpack_pack_str_with_body(&packer, upstream->info.endpoint,
				   strlen(upstream->info.endpoint));
	msgpack_pack_str_with_body(&packer, upstream->info.pool,
				   strlen(upstream->info.pool));
	msgpack_pack_int64(&packer, upstream->recorded_lease_ms);
	bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

bool sched_upstream_restore(wwh_scheduler_t *scheduler, const char *id,
			    const uint8_t *value, size_t size,
			    wwh_message_t *message)
{
	sched_record_t record = {
		.kind = "upstream", .id = id, .value = value, .size = size
	};

	return restore(scheduler, &record, restore_upstream, message);
}

static void pack_occurrence(msgpack_packer *packer,
			    const sched_occurrence_t *occurrence,
			    sched_detail_t detail)
{
	int32_t steps = occurrence->job->spec->step_count;

	msgpack_pack_array(packer, OCCURRENCE_FIELDS);
	msgpack_pack_int64(packer, occurrence->number);
	msgpack_pack_array(packer, (size_t)steps);
	for (int32_t i = 0; i < steps; i++)
		pack_step(packer, &occurrence->steps[i], detail);
}

static void pack_step(msgpack_packer *packer, const sched_step_t *step,
		      sched_detail_t detail)
{
	int32_t count = step->spec->task_count;
	size_t size = ((size_t)count + BYTE_BITS - 1) / BYTE_BITS;
	uint8_t *done = g_malloc0(size + 1);
	size_t failed = 0;

	for (int32_t i = 0; i < count; i++) {
		if (sched_task_state(&step->tasks[i]) == TASK_OVER)
			done[i / BYTE_BITS] |= (uint8_t)(1U << (i % BYTE_BITS));
		failed += has_task_row(&step->tasks[i], detail);
	}
	msgpack_pack_array(packer, STEP_FIELDS);
	msgpack_pack_bin_with_body(packer, done, size);
	msgpack_pack_array(packer, failed);
	for (int32_t i = 0; i < count && failed > 0; i++) {
		if (has_task_row(&step->tasks[i], detail))
			pack_task_row(packer, i, &step->tasks[i], detail);
	}
	pack_failures(packer, &step->gang_failures);
	g_free(done);
}

/* A task that is done isn't started again, whatever its earlier runs did. */
static bool has_task_row(const sched_task_t *task, sched_detail_t detail)
{
	if (sched_task_state(task) == TASK_OVER || detail == SCHED_DETAIL_DONE)
		return false;
	return task->failures.count > 0 || has_losses(task, detail);
}

static bool has_losses(const sched_task_t *task, sched_detail_t detail)
{
	if (detail == SCHED_DETAIL_CRASHES)
		return sched_task_needs_recorded_starts(task);
	return detail == SCHED_DETAIL_ALL && task->losses.count > 0;
}

static void pack_task_row(msgpack_packer *packer, int32_t index,
			  const sched_task_t *task, sched_detail_t detail)
{
	bool losses = has_losses(task, detail);

	msgpack_pack_array(packer, FAILED_FIELDS + (losses ? 1 : 0));
	msgpack_pack_int32(packer, index);
	pack_failures(packer, &task->failures);
	if (losses)
		pack_losses(packer, &task->losses);
}

static void pack_losses(msgpack_packer *packer, const sched_losses_t *losses)
{
	msgpack_pack_array(packer, (size_t)losses->count * LOSS_NUMBERS);
	for (int32_t i = 0; i < losses->count; i++) {
		const sched_loss_t *row = &losses->rows[i];

		msgpack_pack_int64(packer, row->run);
		msgpack_pack_int64(packer,
				   (int64_t)row->upstream << LOSS_FLAG_BITS |
					   row->flags);
	}
}

static void pack_failures(msgpack_packer *packer,
			  const sched_failures_t *failures)
{
	msgpack_pack_array(packer, (size_t)failures->count);
	for (int32_t i = 0; i < failures->count; i++)
		msgpack_pack_int64(packer, failures->runs[i]);
}

static bool has_array_size(const msgpack_object *object, uint32_t min_size)
{
	return object->type == MSGPACK_OBJECT_ARRAY &&
	       object->via.array.size >= min_size;
}

static bool read_number(const msgpack_object *object, int64_t *number)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > INT64_MAX)
		return false;
	*number = (int64_t)object->via.u64;
	return true;
}

/* The workspace is absent in older records and in those of jobs without one. */
static char *read_workspace(const msgpack_object *object)
{
	const msgpack_object *field;

	if (object->via.array.size <= PROGRESS_FIELDS)
		return NULL;
	field = &object->via.array.ptr[PROGRESS_FIELDS];
	return field->type != MSGPACK_OBJECT_STR
		       ? NULL
		       : g_strndup(field->via.str.ptr, field->via.str.size);
}

static bool restore_progress(wwh_scheduler_t *scheduler, const char *id,
			     const msgpack_object *object)
{
	sched_job_t *job = sched_job_find(scheduler, id);
	const msgpack_object *fields;
	int64_t state;
	int64_t ended_wall_ms;
	int64_t started;

	if (!wwh_job_id_valid(id) || !has_array_size(object, PROGRESS_FIELDS))
		return false;
	fields = object->via.array.ptr;
	if (!read_number(&fields[0], &state) || state >= WWH_PROGRESS_UNKNOWN ||
	    !read_number(&fields[1], &ended_wall_ms) ||
	    !read_number(&fields[2], &started))
		return false;
	if (state == WWH_PROGRESS_QUEUED) {
		/* without the record of the job there is nothing to restore */
		if (job == NULL)
			return true;
		job->started = started != 0;
		return restore_live(scheduler, job, fields);
	}
	if (job == NULL) {
		job = sched_job_add_ended(scheduler, id);
		job->workspace = read_workspace(object);
		job->tombstone =
			object->via.array.size > TOMBSTONE_FIELD &&
			fields[TOMBSTONE_FIELD].type == MSGPACK_OBJECT_BOOLEAN;
		sched_tombstone_count(scheduler, job, 1);
	}
	sched_job_clear_unreadable(scheduler, id);
	job->state = (wwh_job_progress_t)state;
	job->ended_ms = scheduler->now_ms -
			CLAMP(scheduler->wall_ms - ended_wall_ms, 0,
			      scheduler->options.ended_job_retention_ms);
	return true;
}

static bool restore_live(wwh_scheduler_t *scheduler, sched_job_t *job,
			 const msgpack_object *fields)
{
	int64_t total = sched_job_occurrence_total(job);
	int64_t next;

	if (!restore_next(job, &fields[3], &next) || next > total ||
	    !has_array_size(&fields[4], 0) || fields[4].via.array.size > total)
		return false;
	for (uint32_t i = 0; i < fields[4].via.array.size; i++) {
		if (!restore_occurrence(scheduler, job,
					&fields[4].via.array.ptr[i]))
			return false;
	}
	job->next_occurrence = MAX(job->next_occurrence, next);
	job->completed_end = job->next_occurrence;
	/* an occurrence that is in neither list has completed */
	job->occurrences_done = job->next_occurrence -
				(int64_t)job->occurrences->len -
				sched_unopened_count(job);
	if (job->occurrences_done < 0)
		return false;
	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		if (occurrence->steps_done == job->spec->step_count)
			job->occurrences_done++;
	}
	return true;
}

static bool restore_next(sched_job_t *job, const msgpack_object *object,
			 int64_t *next)
{
	const msgpack_object *numbers;
	int64_t last = -1;

	if (read_number(object, next))
		return true;
	if (!has_array_size(object, 1))
		return false;
	numbers = object->via.array.ptr;
	if (!read_number(&numbers[0], next) ||
	    *next > sched_job_occurrence_total(job))
		return false;
	for (uint32_t i = 1; i + SPAN_NUMBERS <= object->via.array.size;
	     i += SPAN_NUMBERS) {
		int64_t first;
		int64_t end;

		if (!read_number(&numbers[i], &first) ||
		    !read_number(&numbers[i + 1], &end) || first <= last ||
		    end <= first || end > *next ||
		    !sched_unopened_append(job, first, end))
			return false;
		last = end;
	}
	return true;
}

static bool restore_occurrence(wwh_scheduler_t *scheduler, sched_job_t *job,
			       const msgpack_object *object)
{
	sched_occurrence_t *occurrence;
	const msgpack_object *steps;
	int64_t number;

	if (!has_array_size(object, OCCURRENCE_FIELDS) ||
	    !read_number(&object->via.array.ptr[0], &number))
		return false;
	steps = &object->via.array.ptr[1];
	if (!has_array_size(steps, (uint32_t)job->spec->step_count))
		return false;
	if (job->spec->repeat_count > 0) {
		if (number < job->next_occurrence ||
		    sched_unopened_contains(job, number) ||
		    number >= job->spec->repeat_count)
			return false;
		occurrence = sched_occurrence_open(scheduler, job, number);
	} else {
		occurrence = g_ptr_array_index(job->occurrences, 0);
	}
	for (int32_t i = 0; i < job->spec->step_count; i++) {
		if (!restore_step(scheduler, &occurrence->steps[i],
				  &steps->via.array.ptr[i]))
			return false;
		occurrence->steps_done += occurrence->steps[i].done ==
					  job->spec->steps[i].task_count;
	}
	return true;
}

static bool restore_step(wwh_scheduler_t *scheduler, sched_step_t *step,
			 const msgpack_object *object)
{
	const msgpack_object *fields;
	const msgpack_object_bin *done;
	int32_t count = step->spec->task_count;

	if (!has_array_size(object, STEP_FIELDS))
		return false;
	fields = object->via.array.ptr;
	if (fields[0].type != MSGPACK_OBJECT_BIN ||
	    !restore_failures(&step->gang_failures, &fields[2]))
		return false;
	done = &fields[0].via.bin;
	if ((int64_t)done->size * BYTE_BITS < count)
		return false;
	for (int32_t i = 0; i < count; i++) {
		if (((uint8_t)done->ptr[i / BYTE_BITS] >> (i % BYTE_BITS) &
		     1U) == 0 ||
		    sched_task_state(&step->tasks[i]) == TASK_OVER)
			continue;
		sched_task_event(scheduler, &step->tasks[i], TASK_DONE);
		step->done++;
	}
	return restore_failed_tasks(step, &fields[1]);
}

static bool restore_failed_tasks(sched_step_t *step, const msgpack_object *rows)
{
	if (!has_array_size(rows, 0))
		return false;
	for (uint32_t i = 0; i < rows->via.array.size; i++) {
		const msgpack_object *row = &rows->via.array.ptr[i];
		sched_task_t *task;
		int64_t index;

		if (!has_array_size(row, FAILED_FIELDS) ||
		    !read_number(&row->via.array.ptr[0], &index) ||
		    index >= step->spec->task_count)
			return false;
		task = &step->tasks[index];
		if (!restore_failures(&task->failures, &row->via.array.ptr[1]))
			return false;
		for (int32_t k = 0; k < task->failures.count; k++)
			task->run = MAX(task->run, task->failures.runs[k]);
		if (row->via.array.size > FAILED_FIELDS &&
		    !restore_losses(task, &row->via.array.ptr[FAILED_FIELDS]))
			return false;
	}
	return true;
}

/* The losses are absent in older records and in those of tasks without any. */
static bool restore_losses(sched_task_t *task, const msgpack_object *numbers)
{
	if (!has_array_size(numbers, 0))
		return false;
	for (uint32_t i = 0; i + LOSS_NUMBERS <= numbers->via.array.size;
	     i += LOSS_NUMBERS) {
		const msgpack_object *row = &numbers->via.array.ptr[i];
		int64_t run;
		int64_t flags;

		if (!read_number(&row[0], &run) ||
		    !read_number(&row[1], &flags))
			return false;
		sched_losses_add(task, run, (uint32_t)flags);
		task->losses.rows[task->losses.count - 1].upstream =
			(uint32_t)(flags >> LOSS_FLAG_BITS);
		/* the run that such a row stands for has an unknown number */
		if (flags != SCHED_LOSS_INHERITED)
			task->run = MAX(task->run, run);
	}
	return true;
}

static bool restore_failures(sched_failures_t *failures,
			     const msgpack_object *runs)
{
	if (!has_array_size(runs, 0))
		return false;
	for (uint32_t i = 0; i < runs->via.array.size; i++) {
		int64_t run;

		if (!read_number(&runs->via.array.ptr[i], &run))
			return false;
		(void)sched_failures_add(failures, run);
	}
	return true;
}

static bool restore_upstream(wwh_scheduler_t *scheduler, const char *id,
			     const msgpack_object *object)
{
	wwh_upstream_info_t info = { 0 };
	sched_upstream_t *upstream;
	const msgpack_object *fields;

	if (!has_array_size(object, UPSTREAM_FIELDS))
		return false;
	fields = object->via.array.ptr;
	if (fields[0].type != MSGPACK_OBJECT_STR ||
	    fields[1].type != MSGPACK_OBJECT_STR ||
	    fields[0].via.str.size == 0 || fields[1].via.str.size == 0)
		return false;
	if (sched_upstream_find(scheduler, id) != NULL)
		return true;
	info.id = g_strdup(id);
	info.endpoint =
		g_strndup(fields[0].via.str.ptr, fields[0].via.str.size);
	info.pool = g_strndup(fields[1].via.str.ptr, fields[1].via.str.size);
	upstream = sched_upstream_add(scheduler, &info);
	upstream->inherited = true;
	upstream->record_written = true;
	upstream->recorded_lease_ms = restore_lease_ms(scheduler, object);
	upstream->pool->unsettled++;
	wwh_upstream_info_clear(&info);
	return true;
}

/* A record without a lease implies the longest possible one. */
static int64_t restore_lease_ms(const wwh_scheduler_t *scheduler,
				const msgpack_object *object)
{
	int64_t longest_ms = scheduler->options.lease_max_ms;
	int64_t lease_ms;

	if (object->via.array.size <= UPSTREAM_FIELDS ||
	    !read_number(&object->via.array.ptr[UPSTREAM_FIELDS], &lease_ms) ||
	    lease_ms <= 0)
		return longest_ms;
	return MIN(lease_ms, longest_ms);
}

static bool restore(wwh_scheduler_t *scheduler, const sched_record_t *record,
		    restore_record_t restore_record, wwh_message_t *message)
{
	msgpack_unpacked unpacked;
	bool ok;

	if (!unpack(record->value, record->size, &unpacked, message))
		return false;
	ok = restore_record(scheduler, record->id, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	if (!ok)
		wwh_message_set(message, "%s %s is malformed", record->kind,
				record->id);
	return ok;
}

static bool unpack(const uint8_t *value, size_t size,
		   msgpack_unpacked *unpacked, wwh_message_t *message)
{
	if (!wwh_msgpack_bounded(value, size, RECORD_DEPTH)) {
		wwh_message_set(message,
				"expected one complete MessagePack value");
		return false;
	}
	msgpack_unpacked_init(unpacked);
	if (msgpack_unpack_next(unpacked, (const char *)value, size, NULL) ==
	    MSGPACK_UNPACK_SUCCESS)
		return true;
	msgpack_unpacked_destroy(unpacked);
	wwh_message_set(message, "not MessagePack");
	return false;
}
