#ifndef TEST_SCHEDULER_RIG_H
#define TEST_SCHEDULER_RIG_H

/*
 * A scheduler whose orders and records are kept for a test to poll at, and
 * short calls that tell it what a test wants upstreams to have said.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "waxwinghollow/scheduler.h"

#define RIG_POOL "desk"
#define RIG_QUEUE "holds"
#define RIG_WALL_MS INT64_C(1790000000000)
#define RIG_MAX_UPSTREAMS 8

typedef struct {
	char upstream[32];
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	char checkpoint[32];
	int64_t lease_until_remote_ms;
} rig_order_t;

typedef struct {
	char upstream[32];
	int64_t acked_upto;
	int64_t sent_ms;
	int64_t wait_ms;
	int64_t limit_ms;
	int64_t lease_until_remote_ms;
} rig_poll_t;

typedef struct {
	wwh_scheduler_t *scheduler;
	wwh_scheduler_options_t options;
	GArray *starts; /* rig_order_t, in their order */
	GArray *stops;
	GArray *polls; /* rig_poll_t that weren't answered */
	GHashTable *records; /* as on the store: key to GBytes */
	const char
		*damaged; /* key of a record that can't be read; NULL: none */
	int64_t record;
	int64_t now_ms;
	int32_t paces; /* orders so far */
	int32_t last_pace;
	int32_t advices; /* calls for advice so far, and the last one */
	int32_t advised_upstreams;
	char advised_step[WWH_TASK_NAME_BYTES];
} rig_t;

static inline void rig_start(const wwh_start_order_t *order, void *data)
{
	rig_t *rig = data;
	rig_order_t copy = { .run = order->run };

	g_strlcpy(copy.upstream, order->upstream, sizeof(copy.upstream));
	g_strlcpy(copy.task, order->task, sizeof(copy.task));
	g_strlcpy(copy.checkpoint, order->checkpoint, sizeof(copy.checkpoint));
	copy.lease_until_remote_ms = order->lease_until_remote_ms;
	g_array_append_val(rig->starts, copy);
}

static inline void rig_stop(const wwh_stop_order_t *order, void *data)
{
	rig_t *rig = data;
	rig_order_t copy = { .run = order->run };

	g_strlcpy(copy.upstream, order->upstream, sizeof(copy.upstream));
	g_strlcpy(copy.task, order->task, sizeof(copy.task));
	g_array_append_val(rig->stops, copy);
}

static inline void rig_poll(const wwh_poll_order_t *order, void *data)
{
	rig_t *rig = data;
	rig_poll_t poll = {
		.acked_upto = order->ends_acked_upto,
		.sent_ms = rig->now_ms,
		.wait_ms = order->wait_ms,
		.limit_ms = order->limit_ms,
		.lease_until_remote_ms = order->lease_until_remote_ms,
	};

	g_strlcpy(poll.upstream, order->upstream, sizeof(poll.upstream));
	g_array_append_val(rig->polls, poll);
}

static inline void rig_pace(const wwh_pace_order_t *order, void *data)
{
	rig_t *rig = data;

	rig->paces++;
	rig->last_pace = order->percent;
}

static inline void rig_advise(const wwh_advice_order_t *order, void *data)
{
	rig_t *rig = data;

	rig->advices++;
	rig->advised_upstreams = order->upstream_count;
	g_strlcpy(rig->advised_step, order->step, sizeof(rig->advised_step));
}

static inline int64_t rig_keep(wwh_scheduler_record_kind_t kind,
			       const char *key, GBytes *value, void *data)
{
	rig_t *rig = data;
	char *whole =
		g_strconcat(wwh_scheduler_record_kind_names[kind], key, NULL);

	if (value == NULL)
		g_hash_table_remove(rig->records, whole);
	else
		g_hash_table_replace(rig->records, g_strdup(whole),
				     g_bytes_ref(value));
	g_free(whole);
	return ++rig->record;
}

static inline void rig_explain(const char *event, const char *subject,
			       const char *detail, void *data)
{
	(void)event;
	(void)subject;
	(void)detail;
	(void)data;
}

static inline wwh_scheduler_t *rig_scheduler(rig_t *rig)
{
	wwh_scheduler_callbacks_t calls = {
		.start = rig_start,
		.stop = rig_stop,
		.poll = rig_poll,
		.pace = rig_pace,
		.advise = rig_advise,
		.write_record = rig_keep,
		.explain = rig_explain,
		.client_data = rig,
	};

	return wwh_scheduler_new(&rig->options, &calls);
}

static inline rig_t *rig_new(void)
{
	rig_t *rig = g_new0(rig_t, 1);

	rig->options = wwh_scheduler_options_defaults();
	rig->starts = g_array_new(FALSE, FALSE, sizeof(rig_order_t));
	rig->stops = g_array_new(FALSE, FALSE, sizeof(rig_order_t));
	rig->polls = g_array_new(FALSE, FALSE, sizeof(rig_poll_t));
	rig->records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)g_bytes_unref);
	rig->now_ms = 100000;
	rig->scheduler = rig_scheduler(rig);
	wwh_scheduler_finish_restore(rig->scheduler, rig->now_ms, RIG_WALL_MS);
	return rig;
}

static inline void rig_delete(rig_t *rig)
{
	wwh_scheduler_check(rig->scheduler);
	wwh_scheduler_delete(rig->scheduler);
	g_array_free(rig->starts, TRUE);
	g_array_free(rig->stops, TRUE);
	g_array_free(rig->polls, TRUE);
	g_hash_table_destroy(rig->records);
	g_free(rig);
}

/* Another writer has put something else in a record's place. */
static inline void rig_damage(rig_t *rig, const char *key)
{
	static const uint8_t bytes[] = { 0x92, 0xc1, 0xff };

	assert_true(g_hash_table_contains(rig->records, key));
	g_hash_table_replace(rig->records, g_strdup(key),
			     g_bytes_new(bytes, sizeof(bytes)));
	rig->damaged = key;
}

/* The process ends and another takes over from what the store has. */
static inline void rig_take_over(rig_t *rig)
{
	static const wwh_scheduler_record_kind_t kinds[] = {
		WWH_SCHEDULER_RECORD_JOB, WWH_SCHEDULER_RECORD_PROGRESS,
		WWH_SCHEDULER_RECORD_UPSTREAM
	};
	wwh_message_t message = { "" };

	wwh_scheduler_delete(rig->scheduler);
	g_array_set_size(rig->polls, 0);
	rig->options.holder_count++;
	rig->scheduler = rig_scheduler(rig);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		GHashTableIter iterator;
		gpointer key;
		gpointer value;

		g_hash_table_iter_init(&iterator, rig->records);
		while (g_hash_table_iter_next(&iterator, &key, &value)) {
			gsize size;
			const uint8_t *data = g_bytes_get_data(value, &size);

			if (((char *)key)[0] !=
			    wwh_scheduler_record_kind_names[kinds[i]][0])
				continue;
			assert_int_equal(
				wwh_scheduler_restore(
					rig->scheduler, kinds[i],
					(char *)key + 1, data, size,
					rig->now_ms,
					RIG_WALL_MS + rig->now_ms - 100000,
					&message),
				g_strcmp0(rig->damaged, key) != 0);
		}
	}
	wwh_scheduler_finish_restore(rig->scheduler, rig->now_ms,
				     RIG_WALL_MS + rig->now_ms - 100000);
}

static inline void rig_run(rig_t *rig, int64_t forward_ms)
{
	rig->now_ms += forward_ms;
	wwh_scheduler_run(rig->scheduler, rig->now_ms,
			  RIG_WALL_MS + rig->now_ms - 100000);
	wwh_scheduler_check(rig->scheduler);
}

/* All that was written so far is durable. */
static inline void rig_durable(rig_t *rig)
{
	(void)wwh_scheduler_flush(rig->scheduler, rig->now_ms);
	wwh_scheduler_set_durable(rig->scheduler, rig->record);
}

static inline void rig_announce(rig_t *rig, const char *id,
				const char *endpoint, bool leaving)
{
	char *labels[] = { "a", "r1-1", NULL };
	wwh_upstream_info_t info = {
		.id = (char *)id,
		.endpoint = (char *)endpoint,
		.pool = RIG_POOL,
		.zone = "hall-a",
		.rack = "r1-1",
		.labels = labels,
		.size = { 8000, 16000, 2 },
		.leaving = leaving,
	};

	wwh_scheduler_upstream_seen(rig->scheduler, &info, rig->now_ms);
}

/* The newest poll at id that wasn't answered; fails when there is none. */
static inline guint rig_find_poll(const rig_t *rig, const char *id)
{
	for (guint i = rig->polls->len; i-- > 0;) {
		if (strcmp(g_array_index(rig->polls, rig_poll_t, i).upstream,
			   id) == 0)
			return i;
	}
	fail_msg("no poll at %s", id);
	return 0;
}

static inline rig_poll_t rig_poll_of(const rig_t *rig, const char *id)
{
	return g_array_index(rig->polls, rig_poll_t, rig_find_poll(rig, id));
}

static inline rig_poll_t rig_take_poll(rig_t *rig, const char *id)
{
	guint at = rig_find_poll(rig, id);
	rig_poll_t poll = g_array_index(rig->polls, rig_poll_t, at);

	g_array_remove_index(rig->polls, at);
	return poll;
}

/* Answers the poll at id. The upstream's clock is ours plus 5 s. */
static inline rig_poll_t rig_answer_poll(rig_t *rig, const char *id,
					 const wwh_running_task_t *running,
					 int32_t running_count,
					 const wwh_ended_task_t *ended,
					 int32_t ended_count)
{
	rig_poll_t poll = rig_take_poll(rig, id);
	wwh_poll_answer_t answer = {
		.remote_ms = rig->now_ms + 5000,
		.running = running,
		.running_count = running_count,
		.ended = ended,
		.ended_count = ended_count,
		.ended_complete = true,
	};

	wwh_scheduler_polled(rig->scheduler, id, &answer, poll.sent_ms,
			     rig->now_ms);
	wwh_scheduler_check(rig->scheduler);
	return poll;
}

/* An upstream that is announced, answers and may be given work. */
static inline void rig_add_upstream(rig_t *rig, const char *id,
				    const char *endpoint)
{
	rig_announce(rig, id, endpoint, false);
	rig_run(rig, 1);
	rig_answer_poll(rig, id, NULL, 0, NULL, 0);
	rig_run(rig, 1);
	rig_durable(rig);
}

/* A job of one step; the caller changes it before rig_submit. */
static inline wwh_job_t *rig_job(const char *id, int32_t tasks, int64_t cpu)
{
	wwh_job_t *job = wwh_job_new(1);

	g_strlcpy(job->id, id, sizeof(job->id));
	job->queue.name = g_strdup(RIG_QUEUE);
	job->queue.pool = g_strdup(RIG_POOL);
	job->queue.max_attempts = 3;
	job->queue.stretch_permille = 1600;
	job->queue.latency_ms = 600;
	job->payload = g_strdup("text");
	job->accepted_wall_ms = RIG_WALL_MS;
	job->steps[0].task_count = tasks;
	job->steps[0].need.cpu_millicores = cpu;
	job->steps[0].need.memory_mb = 100;
	job->steps[0].estimate_ms = 1000;
	return job;
}

static inline void rig_submit(rig_t *rig, wwh_job_t *job)
{
	int64_t record;

	(void)wwh_scheduler_submit(rig->scheduler, job, rig->now_ms, &record);
	rig_durable(rig);
	rig_run(rig, 1);
}

static inline rig_order_t *rig_order(GArray *orders, guint index)
{
	assert_true(index < orders->len);
	return &g_array_index(orders, rig_order_t, index);
}

static inline void rig_start_ended(rig_t *rig, const rig_order_t *order,
				   wwh_order_result_t result)
{
	wwh_scheduler_handle_start_result(rig->scheduler, order->upstream,
					  order->task, order->run, result,
					  rig->now_ms);
	wwh_scheduler_check(rig->scheduler);
}

static inline wwh_running_task_t rig_running(const rig_order_t *order,
					     int32_t percent)
{
	wwh_running_task_t row = { .run = order->run,
				   .checkpoint = "",
				   .percent = percent };

	g_strlcpy(row.task, order->task, sizeof(row.task));
	return row;
}

static inline wwh_ended_task_t rig_ended(const rig_order_t *order,
					 int64_t number, wwh_end_kind_t kind)
{
	wwh_ended_task_t row = { .number = number,
				 .run = order->run,
				 .kind = kind,
				 .checkpoint = "" };

	g_strlcpy(row.task, order->task, sizeof(row.task));
	return row;
}

#endif
