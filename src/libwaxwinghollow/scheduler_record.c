#include "private/scheduler_state.h"

#include <msgpack.h>
#include <string.h>

#include "private/msgpack_bounds.h"

#define RECORD_DEPTH 8
#define BYTE_BITS 8

/* The minimum number of elements of each array; later ones are optional. */
#define PROGRESS_FIELDS 5
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

/* A record as it was stored. */
typedef struct {
	const char *kind; /* its name in error messages */
	const char *id;
	const uint8_t *value;
	size_t size;
} sched_record_t;

typedef bool (*restore_record_t)(wwh_scheduler_t *scheduler, const char *id,
				 const msgpack_object *object);

static void write_progress(wwh_scheduler_t *scheduler, sched_job_t *job);
static bool is_recorded(const sched_occurrence_t *occurrence);
static guint count_recorded(const sched_job_t *job);
static void pack_occurrence(msgpack_packer *packer,
			    const sched_occurrence_t *occurrence);
static void pack_step(msgpack_packer *packer, const sched_step_t *step);
static bool has_task_row(const sched_task_t *task);
static void pack_task_row(msgpack_packer *packer, int32_t index,
			  const sched_task_t *task);
static void pack_losses(msgpack_packer *packer, const sched_losses_t *losses);
static void pack_failures(msgpack_packer *packer,
			  const sched_failures_t *failures);
static bool has_array_size(const msgpack_object *object, uint32_t min_size);
static bool read_number(const msgpack_object *object, int64_t *number);
static bool restore_live(wwh_scheduler_t *scheduler, sched_job_t *job,
			 const msgpack_object *fields);
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
		write_progress(scheduler,
			       g_ptr_array_index(scheduler->dirty, i));
	g_ptr_array_set_size(scheduler->dirty, 0);
}

static void write_progress(wwh_scheduler_t *scheduler, sched_job_t *job)
{
	GBytes *value = sched_progress_encode(job, scheduler->wall_ms);
	bool ends = !sched_job_is_live(job);

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
		/* from now on, the record of its progress is sufficient */
		scheduler->newest_record = scheduler->callbacks.write_record(
			WWH_SCHEDULER_RECORD_JOB, job->id, NULL,
			scheduler->callbacks.client_data);
	}
}

/*
 * A completed occurrence of many is known by its absence, so the record is bounded
 * by what is still open.
 */
static bool is_recorded(const sched_occurrence_t *occurrence)
{
	return occurrence->job->spec->repeat_count == 0 ||
	       !sched_occurrence_is_completed(occurrence);
}

static guint count_recorded(const sched_job_t *job)
{
	guint count = 0;

	for (guint i = 0; i < job->occurrences->len; i++)
		count += is_recorded(g_ptr_array_index(job->occurrences, i));
	return count;
}

GBytes *sched_progress_encode(const sched_job_t *job, int64_t wall_ms)
{
	guint open = sched_job_is_live(job) ? count_recorded(job) : 0;
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	GBytes *bytes;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer,
			   PROGRESS_FIELDS + (job->workspace == NULL ? 0 : 1));
	msgpack_pack_int32(&packer, (int32_t)job->state);
	msgpack_pack_int64(&packer, wall_ms);
	msgpack_pack_int32(&packer, job->started);
	msgpack_pack_int64(&packer, job->next_occurrence);
	msgpack_pack_array(&packer, open);
	for (guint i = 0; open > 0 && i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		if (is_recorded(occurrence))
			pack_occurrence(&packer, occurrence);
	}
	if (job->workspace != NULL)
		msgpack_pack_str_with_body(&packer, job->workspace,
					   strlen(job->workspace));
	bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
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
			    const sched_occurrence_t *occurrence)
{
	int32_t steps = occurrence->job->spec->step_count;

	msgpack_pack_array(packer, OCCURRENCE_FIELDS);
	msgpack_pack_int64(packer, occurrence->number);
	msgpack_pack_array(packer, (size_t)steps);
	for (int32_t i = 0; i < steps; i++)
		pack_step(packer, &occurrence->steps[i]);
}

static void pack_step(msgpack_packer *packer, const sched_step_t *step)
{
	int32_t count = step->spec->task_count;
	size_t size = ((size_t)count + BYTE_BITS - 1) / BYTE_BITS;
	uint8_t *done = g_malloc0(size + 1);
	size_t failed = 0;

	for (int32_t i = 0; i < count; i++) {
		if (sched_task_state(&step->tasks[i]) == TASK_OVER)
			done[i / BYTE_BITS] |= (uint8_t)(1U << (i % BYTE_BITS));
		failed += has_task_row(&step->tasks[i]);
	}
	msgpack_pack_array(packer, STEP_FIELDS);
	msgpack_pack_bin_with_body(packer, done, size);
	msgpack_pack_array(packer, failed);
	for (int32_t i = 0; i < count && failed > 0; i++) {
		if (has_task_row(&step->tasks[i]))
			pack_task_row(packer, i, &step->tasks[i]);
	}
	pack_failures(packer, &step->gang_failures);
	g_free(done);
}

static bool has_task_row(const sched_task_t *task)
{
	return task->failures.count > 0 || task->losses.count > 0;
}

static void pack_task_row(msgpack_packer *packer, int32_t index,
			  const sched_task_t *task)
{
	bool losses = task->losses.count > 0;

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
	int64_t total = MAX(1, job->spec->repeat_count);
	int64_t next;

	if (!read_number(&fields[3], &next) || next > total ||
	    !has_array_size(&fields[4], 0) || fields[4].via.array.size > total)
		return false;
	for (uint32_t i = 0; i < fields[4].via.array.size; i++) {
		if (!restore_occurrence(scheduler, job,
					&fields[4].via.array.ptr[i]))
			return false;
	}
	job->next_occurrence = MAX(job->next_occurrence, next);
	/* an occurrence that was opened and isn't in the record has completed */
	job->occurrences_done =
		job->next_occurrence - (int64_t)job->occurrences->len;
	for (guint i = 0; i < job->occurrences->len; i++) {
		sched_occurrence_t *occurrence =
			g_ptr_array_index(job->occurrences, i);

		if (occurrence->steps_done == job->spec->step_count)
			job->occurrences_done++;
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
		    number >= job->spec->repeat_count)
			return false;
		job->next_occurrence = number;
		occurrence = sched_job_open_occurrence(scheduler, job);
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
