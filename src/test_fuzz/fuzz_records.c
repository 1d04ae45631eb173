/*
 * Records that a holder begins with, of which another writer may have changed
 * any: the first byte chooses the kind, the rest is the record's value. No
 * value makes the holder crash, start a task of a job that it can't read, or
 * order hosts that it hasn't listed.
 */

#include <assert.h>
#include <string.h>

#include "waxwinghollow/host_duties.h"

#define JOB "00000000000000aa"
#define NOW_MS 100000
#define WALL_MS INT64_C(1790000000000)

/* From this first byte on the record is that of the reserve of hosts. */
#define FIRST_RESERVE_BYTE 0xc0

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void on_start(const wwh_start_order_t *order, void *client_data)
{
	int32_t *starts = client_data;

	assert(order->task[0] != '\0');
	(*starts)++;
}

static void on_stop(const wwh_stop_order_t *order, void *client_data)
{
	(void)order;
	(void)client_data;
}

static void on_poll(const wwh_poll_order_t *order, void *client_data)
{
	(void)client_data;
	assert(order->endpoint[0] != '\0');
}

static void on_pace(const wwh_pace_order_t *order, void *client_data)
{
	(void)order;
	(void)client_data;
}

static void on_advise(const wwh_advice_order_t *order, void *client_data)
{
	(void)order;
	(void)client_data;
}

static int64_t on_keep(wwh_scheduler_record_kind_t kind, const char *key,
		       GBytes *value, void *client_data)
{
	(void)kind;
	(void)value;
	(void)client_data;
	assert(key != NULL);
	return 1;
}

static void on_explain(const char *event, const char *subject,
		       const char *detail, void *client_data)
{
	(void)event;
	(void)subject;
	(void)detail;
	(void)client_data;
}

/* A job of two steps, the second of which waits for the first. */
static GBytes *whole_job(int64_t repeats)
{
	wwh_job_t *job = wwh_job_new(2);
	GBytes *bytes;

	g_strlcpy(job->id, JOB, sizeof(job->id));
	job->queue.name = g_strdup("q");
	job->queue.pool = g_strdup("p");
	job->queue.max_attempts = 3;
	job->queue.stretch_permille = 1600;
	job->payload = g_strdup("text");
	job->accepted_wall_ms = WALL_MS;
	job->repeat_count = repeats;
	job->first_wall_ms = repeats > 0 ? WALL_MS : 0;
	job->interval_ms = repeats > 0 ? 1000 : 0;
	for (int32_t i = 0; i < 2; i++) {
		job->steps[i].task_count = 9;
		job->steps[i].need.cpu_millicores = 100;
		job->steps[i].estimate_ms = 100;
	}
	job->steps[1].after_count = 1;
	job->steps[1].after = g_new0(int32_t, 1);
	bytes = wwh_job_encode(job);
	wwh_job_delete(job);
	return bytes;
}

static void restore_bytes(wwh_scheduler_t *scheduler,
			  wwh_scheduler_record_kind_t kind, GBytes *bytes)
{
	wwh_message_t message;
	gsize size;
	const uint8_t *value = g_bytes_get_data(bytes, &size);

	assert(wwh_scheduler_restore(scheduler, kind, JOB, value, size, NOW_MS,
				     WALL_MS, &message));
	g_bytes_unref(bytes);
}

static void run(wwh_scheduler_t *scheduler)
{
	char *labels[] = { NULL };
	wwh_upstream_info_t info = { .id = "u",
				     .endpoint = "e:1",
				     .pool = "p",
				     .labels = labels,
				     .size.cpu_millicores = 8000,
				     .size.memory_mb = 8000 };
	wwh_poll_answer_t answer = { .remote_ms = 5, .ended_complete = true };

	wwh_scheduler_finish_restore(scheduler, NOW_MS, WALL_MS);
	wwh_scheduler_upstream_announced(scheduler, &info, NOW_MS);
	for (int32_t i = 1; i < 5; i++) {
		int64_t now_ms = NOW_MS + i * INT64_C(6000);

		wwh_scheduler_run(scheduler, now_ms,
				  WALL_MS + i * INT64_C(6000));
		wwh_scheduler_handle_poll_answer(scheduler, "u", &answer,
						 now_ms, now_ms);
		wwh_scheduler_flush(scheduler, now_ms);
		wwh_scheduler_set_durable(scheduler, i);
		wwh_scheduler_check(scheduler);
	}
}

static void on_list(void *client_data)
{
	(void)client_data;
}

static void on_upkeep(const char *host, int64_t wave, void *client_data)
{
	(void)host;
	(void)wave;
	(void)client_data;
	assert(false);
}

static void on_move(const char *host, const char *pool, void *client_data)
{
	(void)host;
	(void)pool;
	(void)client_data;
	assert(false);
}

static void on_report(const wwh_wave_order_t *order, bool completed,
		      void *client_data)
{
	(void)order;
	(void)completed;
	(void)client_data;
}

/* No host is listed, so none may be ordered, whatever the reserve says. */
static void restore_reserve(wwh_scheduler_t *scheduler, const uint8_t *value,
			    size_t size)
{
	wwh_host_duties_options_t options = {
		.upkeep_ms = 2000,
		.move_ms = 1500,
		.wall_ms = WALL_MS,
		.wall_offset_ms = WALL_MS - NOW_MS,
		.scheduler = scheduler,
	};
	wwh_host_duties_calls_t calls = {
		.list = on_list,
		.upkeep = on_upkeep,
		.move = on_move,
		.report = on_report,
		.write_record = on_keep,
		.explain = on_explain,
	};
	wwh_host_duties_t *duties = wwh_host_duties_new(&options, &calls);
	wwh_message_t message = { "" };

	wwh_host_duties_set_pool(duties, "p", false);
	wwh_host_duties_set_pool(duties, "standby", true);
	if (!wwh_host_duties_restore_reserve(duties, value, size, &message))
		assert(message.text[0] != '\0');
	for (int32_t i = 1; i < 5; i++)
		wwh_host_duties_run(duties, NOW_MS + i * INT64_C(6000));
	wwh_host_duties_delete(duties);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const wwh_scheduler_record_kind_t kinds[] = {
		WWH_SCHEDULER_RECORD_JOB,
		WWH_SCHEDULER_RECORD_PROGRESS,
		WWH_SCHEDULER_RECORD_PROGRESS,
		WWH_SCHEDULER_RECORD_UPSTREAM,
	};
	int32_t starts = 0;
	wwh_scheduler_options_t options = wwh_scheduler_options_defaults();
	wwh_scheduler_callbacks_t calls = {
		.start = on_start,
		.stop = on_stop,
		.poll = on_poll,
		.pace = on_pace,
		.advise = on_advise,
		.write_record = on_keep,
		.explain = on_explain,
		.client_data = &starts,
	};
	wwh_scheduler_t *scheduler;
	wwh_message_t message;
	wwh_scheduler_record_kind_t kind;
	uint8_t *value;
	bool whole;

	if (size == 0)
		return 0;
	kind = kinds[data[0] % G_N_ELEMENTS(kinds)];
	/* a copy of the very size, so that a read beyond it is seen */
	value = g_memdup2(data + 1, size - 1);
	scheduler = wwh_scheduler_new(&options, &calls);
	if (data[0] >= FIRST_RESERVE_BYTE) {
		restore_reserve(scheduler, value, size - 1);
		wwh_scheduler_delete(scheduler);
		g_free(value);
		return 0;
	}
	if (kind != WWH_SCHEDULER_RECORD_JOB)
		restore_bytes(
			scheduler, WWH_SCHEDULER_RECORD_JOB,
			whole_job(data[0] % G_N_ELEMENTS(kinds) == 2 ? 3 : 0));
	whole = wwh_scheduler_restore(scheduler, kind, JOB, value, size - 1,
				      NOW_MS, WALL_MS, &message);
	run(scheduler);
	if (kind != WWH_SCHEDULER_RECORD_UPSTREAM && !whole)
		assert(starts == 0 &&
		       wwh_scheduler_job_is_unreadable(scheduler, JOB));
	wwh_scheduler_delete(scheduler);
	g_free(value);
	return 0;
}
