#include "waxwinghollow/job.h"

#include <msgpack.h>
#include <string.h>

#include "private/msgpack_bounds.h"

#define CODEC_DEPTH 8

/*
 * Number of required fields of each array. A job's workspace is an optional
 * field after them.
 */
#define JOB_FIELDS 8
#define QUEUE_FIELDS 7
#define STEP_FIELDS 17

typedef struct {
	const msgpack_object *next;
	uint32_t left;
	bool ok;
} reader_t;

static void pack_text(msgpack_packer *packer, const char *text);
static void pack_queue(msgpack_packer *packer, const wwh_job_queue_t *queue);
static void pack_step(msgpack_packer *packer, const wwh_job_step_t *step);
static reader_t open_array(const msgpack_object *object, uint32_t least);
static int64_t read_number(reader_t *reader);
static int32_t read_small(reader_t *reader);
static char *read_text(reader_t *reader);
static const msgpack_object *read_any(reader_t *reader);
static bool read_queue(const msgpack_object *object, wwh_job_queue_t *queue);
static bool read_step(const msgpack_object *object, wwh_job_step_t *step);
static bool read_after(const msgpack_object *object, wwh_job_step_t *step);
static wwh_job_t *read_job(const msgpack_object *object);

GBytes *wwh_job_encode(const wwh_job_t *job)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	GBytes *bytes;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer,
			   JOB_FIELDS + (job->workspace == NULL ? 0 : 1));
	pack_text(&packer, job->id);
	pack_queue(&packer, &job->queue);
	pack_text(&packer, job->payload);
	msgpack_pack_int64(&packer, job->repeat_count);
	msgpack_pack_int64(&packer, job->first_wall_ms);
	msgpack_pack_int64(&packer, job->interval_ms);
	msgpack_pack_int64(&packer, job->accepted_wall_ms);
	msgpack_pack_array(&packer, (size_t)job->step_count);
	for (int32_t i = 0; i < job->step_count; i++)
		pack_step(&packer, &job->steps[i]);
	if (job->workspace != NULL)
		pack_text(&packer, job->workspace);
	bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

wwh_job_t *wwh_job_decode(const uint8_t *data, size_t size,
			  wwh_message_t *message)
{
	msgpack_unpacked unpacked;
	wwh_job_t *job = NULL;

	if (!wwh_msgpack_bounded(data, size, CODEC_DEPTH)) {
		wwh_message_set(message,
				"expected one complete MessagePack value");
		return NULL;
	}
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, size, NULL) ==
	    MSGPACK_UNPACK_SUCCESS)
		job = read_job(&unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	if (job == NULL) {
		wwh_message_set(message, "not a job record");
		return NULL;
	}
	if (wwh_job_check(job, message) != WWH_STATUS_OK)
		g_clear_pointer(&job, wwh_job_delete);
	return job;
}

static void pack_text(msgpack_packer *packer, const char *text)
{
	size_t size;

	if (text == NULL) {
		msgpack_pack_nil(packer);
		return;
	}
	size = strlen(text);
	msgpack_pack_str(packer, size);
	msgpack_pack_str_body(packer, text, size);
}

static void pack_queue(msgpack_packer *packer, const wwh_job_queue_t *queue)
{
	msgpack_pack_array(packer, QUEUE_FIELDS);
	pack_text(packer, queue->name);
	pack_text(packer, queue->pool);
	msgpack_pack_int32(packer, queue->priority);
	msgpack_pack_int32(packer, queue->max_attempts);
	msgpack_pack_int32(packer, queue->stretch_permille);
	msgpack_pack_int64(packer, queue->latency_ms);
	msgpack_pack_int64(packer, queue->advice_valid_ms);
}

static void pack_step(msgpack_packer *packer, const wwh_job_step_t *step)
{
	msgpack_pack_array(packer, STEP_FIELDS);
	msgpack_pack_int32(packer, step->task_count);
	msgpack_pack_int64(packer, step->need.cpu_millicores);
	msgpack_pack_int64(packer, step->need.memory_mb);
	msgpack_pack_int64(packer, step->need.gpus);
	msgpack_pack_int64(packer, step->estimate_ms);
	msgpack_pack_array(packer, (size_t)step->after_count);
	for (int32_t i = 0; i < step->after_count; i++)
		msgpack_pack_int32(packer, step->after[i]);
	msgpack_pack_int32(packer, step->checkpointing);
	msgpack_pack_int32(packer, step->gang);
	msgpack_pack_int32(packer, step->same_rack);
	msgpack_pack_int32(packer, step->speculative);
	msgpack_pack_int32(packer, step->lasting);
	msgpack_pack_int32(packer, step->filler);
	pack_text(packer, step->label);
	pack_text(packer, step->data_rack);
	msgpack_pack_int32(packer, step->max_per_upstream);
	pack_text(packer, step->image);
	msgpack_pack_array(packer, 2);
	msgpack_pack_int64(packer, step->latency_target_ms);
	msgpack_pack_int32(packer, step->max_unavailable);
}

static reader_t open_array(const msgpack_object *object, uint32_t least)
{
	reader_t reader = { 0 };

	if (object == NULL || object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < least)
		return reader;
	reader.next = object->via.array.ptr;
	reader.left = object->via.array.size;
	reader.ok = true;
	return reader;
}

static const msgpack_object *read_any(reader_t *reader)
{
	if (!reader->ok || reader->left == 0) {
		reader->ok = false;
		return NULL;
	}
	reader->left--;
	return reader->next++;
}

static int64_t read_number(reader_t *reader)
{
	const msgpack_object *object = read_any(reader);

	if (object != NULL && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    object->via.u64 <= INT64_MAX)
		return (int64_t)object->via.u64;
	reader->ok = false;
	return 0;
}

static int32_t read_small(reader_t *reader)
{
	int64_t number = read_number(reader);

	return number > INT32_MAX ? INT32_MAX : (int32_t)number;
}

static char *read_text(reader_t *reader)
{
	const msgpack_object *object = read_any(reader);

	if (object == NULL || object->type == MSGPACK_OBJECT_NIL)
		return NULL;
	if (object->type != MSGPACK_OBJECT_STR) {
		reader->ok = false;
		return NULL;
	}
	return g_strndup(object->via.str.ptr, object->via.str.size);
}

static bool read_queue(const msgpack_object *object, wwh_job_queue_t *queue)
{
	reader_t reader = open_array(object, QUEUE_FIELDS);

	queue->name = read_text(&reader);
	queue->pool = read_text(&reader);
	queue->priority = read_small(&reader);
	queue->max_attempts = read_small(&reader);
	queue->stretch_permille = read_small(&reader);
	queue->latency_ms = read_number(&reader);
	queue->advice_valid_ms = read_number(&reader);
	return reader.ok && queue->name != NULL && queue->pool != NULL;
}

static bool read_after(const msgpack_object *object, wwh_job_step_t *step)
{
	reader_t reader = open_array(object, 0);

	if (!reader.ok || reader.left > WWH_JOB_MAX_STEPS)
		return false;
	step->after_count = (int32_t)reader.left;
	step->after = g_new0(int32_t, reader.left + 1);
	for (int32_t i = 0; i < step->after_count; i++)
		step->after[i] = read_small(&reader);
	return reader.ok;
}

static bool read_step(const msgpack_object *object, wwh_job_step_t *step)
{
	reader_t reader = open_array(object, STEP_FIELDS);
	reader_t serving;

	step->task_count = read_small(&reader);
	step->need.cpu_millicores = read_number(&reader);
	step->need.memory_mb = read_number(&reader);
	step->need.gpus = read_number(&reader);
	step->estimate_ms = read_number(&reader);
	if (!read_after(read_any(&reader), step))
		return false;
	step->checkpointing = read_number(&reader) != 0;
	step->gang = read_number(&reader) != 0;
	step->same_rack = read_number(&reader) != 0;
	step->speculative = read_number(&reader) != 0;
	step->lasting = read_number(&reader) != 0;
	step->filler = read_number(&reader) != 0;
	step->label = read_text(&reader);
	step->data_rack = read_text(&reader);
	step->max_per_upstream = read_small(&reader);
	step->image = read_text(&reader);
	serving = open_array(read_any(&reader), 2);
	step->latency_target_ms = read_number(&serving);
	step->max_unavailable = read_small(&serving);
	return reader.ok && serving.ok;
}

static wwh_job_t *read_job(const msgpack_object *object)
{
	reader_t reader = open_array(object, JOB_FIELDS);
	const msgpack_object *last =
		reader.ok ? reader.next + JOB_FIELDS - 1 : NULL;
	reader_t steps = open_array(last, 1);
	wwh_job_t *job;
	char *id;

	if (!steps.ok || steps.left > WWH_JOB_MAX_STEPS)
		return NULL;
	job = wwh_job_new((int32_t)steps.left);
	id = read_text(&reader);
	g_strlcpy(job->id, id == NULL ? "" : id, sizeof(job->id));
	g_free(id);
	reader.ok = read_queue(read_any(&reader), &job->queue) && reader.ok;
	job->payload = read_text(&reader);
	job->repeat_count = read_number(&reader);
	job->first_wall_ms = read_number(&reader);
	job->interval_ms = read_number(&reader);
	job->accepted_wall_ms = read_number(&reader);
	for (int32_t i = 0; i < job->step_count && reader.ok; i++)
		reader.ok = read_step(read_any(&steps), &job->steps[i]);
	(void)read_any(&reader); /* the array of steps, decoded above */
	if (reader.ok && reader.left > 0)
		job->workspace = read_text(&reader);
	if (!reader.ok || job->payload == NULL)
		g_clear_pointer(&job, wwh_job_delete);
	return job;
}
