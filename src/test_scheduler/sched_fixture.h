#ifndef TEST_SCHEDULER_SCHED_FIXTURE_H
#define TEST_SCHEDULER_SCHED_FIXTURE_H

/*
 * A scheduler whose orders and records are stored for a test to inspect, and
 * functions that pass it the answers of simulated upstreams.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "waxwinghollow/scheduler.h"

#define SCHED_FIXTURE_POOL "desk"
#define SCHED_FIXTURE_QUEUE "holds"
#define SCHED_FIXTURE_WALL_MS INT64_C(1790000000000)
#define SCHED_FIXTURE_MAX_UPSTREAMS 8

typedef struct {
	char upstream[32];
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	char checkpoint[32];
	int64_t lease_until_remote_ms;
} sched_fixture_order_t;

typedef struct {
	char upstream[32];
	int64_t acked_upto;
	int64_t sent_ms;
	int64_t wait_ms;
	int64_t timeout_ms;
	int64_t lease_until_remote_ms;
} sched_fixture_poll_t;

typedef struct {
	wwh_scheduler_t *scheduler;
	wwh_scheduler_options_t options;
	GArray *starts; /* sched_fixture_order_t, oldest first */
	GArray *stops;
	GArray *polls; /* sched_fixture_poll_t that weren't answered */
	GHashTable *records; /* as on the store: key to GBytes */
	const char *corrupted_key; /* of an unreadable record; NULL: none */
	int64_t record;
	int64_t now_ms;
	int64_t born_ms; /* of upstreams that answer; 0: they don't tell */
	int32_t pace_count; /* pace orders so far */
	int32_t last_pace;
	int32_t advice_count; /* requests for advice so far */
	/* Of the last request: its number of upstreams and its step. */
	int32_t advised_upstreams;
	char advised_step[WWH_TASK_NAME_BYTES];
	GString *events; /* "EVENT SUBJECT DETAIL" lines, oldest first */
} sched_fixture_t;

static inline void sched_fixture_on_start(const wwh_start_order_t *order,
					  void *data)
{
	sched_fixture_t *fixture = data;
	sched_fixture_order_t copy = { .run = order->run };

	g_strlcpy(copy.upstream, order->upstream, sizeof(copy.upstream));
	g_strlcpy(copy.task, order->task, sizeof(copy.task));
	g_strlcpy(copy.checkpoint, order->checkpoint, sizeof(copy.checkpoint));
	copy.lease_until_remote_ms = order->lease_until_remote_ms;
	g_array_append_val(fixture->starts, copy);
}

static inline void sched_fixture_on_stop(const wwh_stop_order_t *order,
					 void *data)
{
	sched_fixture_t *fixture = data;
	sched_fixture_order_t copy = { .run = order->run };

	g_strlcpy(copy.upstream, order->upstream, sizeof(copy.upstream));
	g_strlcpy(copy.task, order->task, sizeof(copy.task));
	g_array_append_val(fixture->stops, copy);
}

static inline void sched_fixture_on_poll(const wwh_poll_order_t *order,
					 void *data)
{
	sched_fixture_t *fixture = data;
	sched_fixture_poll_t poll = {
		.acked_upto = order->ends_acked_upto,
		.sent_ms = fixture->now_ms,
		.wait_ms = order->wait_ms,
		.timeout_ms = order->timeout_ms,
		.lease_until_remote_ms = order->lease_until_remote_ms,
	};

	g_strlcpy(poll.upstream, order->upstream, sizeof(poll.upstream));
	g_array_append_val(fixture->polls, poll);
}

static inline void sched_fixture_on_pace(const wwh_pace_order_t *order,
					 void *data)
{
	sched_fixture_t *fixture = data;

	fixture->pace_count++;
	fixture->last_pace = order->percent;
}

static inline void sched_fixture_on_advise(const wwh_advice_order_t *order,
					   void *data)
{
	sched_fixture_t *fixture = data;

	fixture->advice_count++;
	fixture->advised_upstreams = order->upstream_count;
	g_strlcpy(fixture->advised_step, order->step,
		  sizeof(fixture->advised_step));
}

static inline int64_t
sched_fixture_on_write_record(wwh_scheduler_record_kind_t kind, const char *key,
			      GBytes *value, void *data)
{
	sched_fixture_t *fixture = data;
	char *whole =
		g_strconcat(wwh_scheduler_record_kind_names[kind], key, NULL);

	if (value == NULL)
		g_hash_table_remove(fixture->records, whole);
	else
		g_hash_table_replace(fixture->records, g_strdup(whole),
				     g_bytes_ref(value));
	g_free(whole);
	return ++fixture->record;
}

static inline void sched_fixture_on_explain(const char *event,
					    const char *subject,
					    const char *detail, void *data)
{
	sched_fixture_t *fixture = data;

	g_string_append_printf(fixture->events, "%s %s %s\n", event, subject,
			       detail);
}

static inline wwh_scheduler_t *
sched_fixture_new_scheduler(sched_fixture_t *fixture)
{
	wwh_scheduler_callbacks_t calls = {
		.start = sched_fixture_on_start,
		.stop = sched_fixture_on_stop,
		.poll = sched_fixture_on_poll,
		.pace = sched_fixture_on_pace,
		.advise = sched_fixture_on_advise,
		.write_record = sched_fixture_on_write_record,
		.explain = sched_fixture_on_explain,
		.client_data = fixture,
	};

	return wwh_scheduler_new(&fixture->options, &calls);
}

static inline sched_fixture_t *sched_fixture_new(void)
{
	sched_fixture_t *fixture = g_new0(sched_fixture_t, 1);

	fixture->options = wwh_scheduler_options_defaults();
	fixture->starts =
		g_array_new(FALSE, FALSE, sizeof(sched_fixture_order_t));
	fixture->stops =
		g_array_new(FALSE, FALSE, sizeof(sched_fixture_order_t));
	fixture->polls =
		g_array_new(FALSE, FALSE, sizeof(sched_fixture_poll_t));
	fixture->records = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	fixture->events = g_string_new(NULL);
	fixture->now_ms = 100000;
	fixture->scheduler = sched_fixture_new_scheduler(fixture);
	wwh_scheduler_finish_restore(fixture->scheduler, fixture->now_ms,
				     SCHED_FIXTURE_WALL_MS);
	return fixture;
}

static inline void sched_fixture_delete(sched_fixture_t *fixture)
{
	wwh_scheduler_check(fixture->scheduler);
	wwh_scheduler_delete(fixture->scheduler);
	g_array_free(fixture->starts, TRUE);
	g_array_free(fixture->stops, TRUE);
	g_array_free(fixture->polls, TRUE);
	g_hash_table_destroy(fixture->records);
	g_string_free(fixture->events, TRUE);
	g_free(fixture);
}

/* Replaces a record by bytes that can't be read, as another writer might. */
static inline void sched_fixture_corrupt_record(sched_fixture_t *fixture,
						const char *key)
{
	static const uint8_t bytes[] = { 0x92, 0xc1, 0xff };

	assert_true(g_hash_table_contains(fixture->records, key));
	g_hash_table_replace(fixture->records, g_strdup(key),
			     g_bytes_new(bytes, sizeof(bytes)));
	fixture->corrupted_key = key;
}

/* Replaces the scheduler by a new holder that restores the stored records. */
static inline void sched_fixture_take_over(sched_fixture_t *fixture)
{
	static const wwh_scheduler_record_kind_t kinds[] = {
		WWH_SCHEDULER_RECORD_JOB, WWH_SCHEDULER_RECORD_PROGRESS,
		WWH_SCHEDULER_RECORD_UPSTREAM
	};
	wwh_message_t message = { "" };

	wwh_scheduler_delete(fixture->scheduler);
	g_array_set_size(fixture->polls, 0);
	fixture->options.holder_count++;
	fixture->scheduler = sched_fixture_new_scheduler(fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		GHashTableIter iterator;
		gpointer key;
		gpointer value;

		g_hash_table_iter_init(&iterator, fixture->records);
		while (g_hash_table_iter_next(&iterator, &key, &value)) {
			gsize size;
			const uint8_t *data = g_bytes_get_data(value, &size);

			if (((char *)key)[0] !=
			    wwh_scheduler_record_kind_names[kinds[i]][0])
				continue;
			assert_int_equal(
				wwh_scheduler_restore(
					fixture->scheduler, kinds[i],
					(char *)key + 1, data, size,
					fixture->now_ms,
					SCHED_FIXTURE_WALL_MS +
						fixture->now_ms - 100000,
					&message),
				g_strcmp0(fixture->corrupted_key, key) != 0);
		}
	}
	wwh_scheduler_finish_restore(fixture->scheduler, fixture->now_ms,
				     SCHED_FIXTURE_WALL_MS + fixture->now_ms -
					     100000);
}

static inline void sched_fixture_run(sched_fixture_t *fixture,
				     int64_t forward_ms)
{
	fixture->now_ms += forward_ms;
	wwh_scheduler_run(fixture->scheduler, fixture->now_ms,
			  SCHED_FIXTURE_WALL_MS + fixture->now_ms - 100000);
	wwh_scheduler_check(fixture->scheduler);
}

/* Flushes the scheduler and makes all records durable. */
static inline void sched_fixture_make_durable(sched_fixture_t *fixture)
{
	(void)wwh_scheduler_flush(fixture->scheduler, fixture->now_ms);
	wwh_scheduler_set_durable(fixture->scheduler, fixture->record);
}

static inline void sched_fixture_announce(sched_fixture_t *fixture,
					  const char *id, const char *endpoint,
					  bool leaving)
{
	char *labels[] = { "a", "r1-1", NULL };
	wwh_upstream_info_t info = {
		.id = (char *)id,
		.endpoint = (char *)endpoint,
		.pool = SCHED_FIXTURE_POOL,
		.zone = "hall-a",
		.rack = "r1-1",
		.labels = labels,
		.size = { 8000, 16000, 2 },
		.leaving = leaving,
	};

	wwh_scheduler_upstream_announced(fixture->scheduler, &info,
					 fixture->now_ms);
}

/* The index of the newest unanswered poll at id. The test fails without one. */
static inline guint sched_fixture_find_poll(const sched_fixture_t *fixture,
					    const char *id)
{
	for (guint i = fixture->polls->len; i-- > 0;) {
		if (strcmp(g_array_index(fixture->polls, sched_fixture_poll_t,
					 i)
				   .upstream,
			   id) == 0)
			return i;
	}
	fail_msg("no poll at %s", id);
	return 0;
}

static inline sched_fixture_poll_t
sched_fixture_newest_poll(const sched_fixture_t *fixture, const char *id)
{
	return g_array_index(fixture->polls, sched_fixture_poll_t,
			     sched_fixture_find_poll(fixture, id));
}

static inline sched_fixture_poll_t
sched_fixture_pop_poll(sched_fixture_t *fixture, const char *id)
{
	guint at = sched_fixture_find_poll(fixture, id);
	sched_fixture_poll_t poll =
		g_array_index(fixture->polls, sched_fixture_poll_t, at);

	g_array_remove_index(fixture->polls, at);
	return poll;
}

/* Answers the newest poll at id. The upstream's clock is 5 s ahead of ours. */
static inline sched_fixture_poll_t
sched_fixture_answer_poll(sched_fixture_t *fixture, const char *id,
			  const wwh_running_task_t *running,
			  int32_t running_count, const wwh_ended_task_t *ended,
			  int32_t ended_count)
{
	sched_fixture_poll_t poll = sched_fixture_pop_poll(fixture, id);
	wwh_poll_answer_t answer = {
		.remote_ms = fixture->now_ms + 5000,
		.born_ms = fixture->born_ms,
		.running = running,
		.running_count = running_count,
		.ended = ended,
		.ended_count = ended_count,
		.ended_complete = true,
	};

	wwh_scheduler_handle_poll_answer(fixture->scheduler, id, &answer,
					 poll.sent_ms, fixture->now_ms);
	wwh_scheduler_check(fixture->scheduler);
	return poll;
}

/* Adds an upstream that is announced, has answered and accepts tasks. */
static inline void sched_fixture_add_upstream(sched_fixture_t *fixture,
					      const char *id,
					      const char *endpoint)
{
	sched_fixture_announce(fixture, id, endpoint, false);
	sched_fixture_run(fixture, 1);
	sched_fixture_answer_poll(fixture, id, NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 1);
	sched_fixture_make_durable(fixture);
}

/* A job of one step, which the caller may change before sched_fixture_submit. */
static inline wwh_job_t *sched_fixture_job(const char *id, int32_t tasks,
					   int64_t cpu)
{
	wwh_job_t *job = wwh_job_new(1);

	g_strlcpy(job->id, id, sizeof(job->id));
	job->queue.name = g_strdup(SCHED_FIXTURE_QUEUE);
	job->queue.pool = g_strdup(SCHED_FIXTURE_POOL);
	job->queue.max_attempts = 3;
	job->queue.stretch_permille = 1600;
	job->queue.latency_ms = 600;
	job->payload = g_strdup("text");
	job->accepted_wall_ms = SCHED_FIXTURE_WALL_MS;
	job->steps[0].task_count = tasks;
	job->steps[0].need.cpu_millicores = cpu;
	job->steps[0].need.memory_mb = 100;
	job->steps[0].estimate_ms = 1000;
	return job;
}

static inline void sched_fixture_submit(sched_fixture_t *fixture,
					wwh_job_t *job)
{
	int64_t record;

	(void)wwh_scheduler_submit(fixture->scheduler, job, fixture->now_ms,
				   &record);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 1);
}

static inline sched_fixture_order_t *sched_fixture_order(GArray *orders,
							 guint index)
{
	assert_true(index < orders->len);
	return &g_array_index(orders, sched_fixture_order_t, index);
}

/*
 * The number of runs that were ordered of tasks whose names begin with prefix. The
 * same start may have been sent more than once.
 */
static inline int32_t sched_fixture_count_runs(sched_fixture_t *fixture,
					       const char *prefix)
{
	int32_t count = 0;

	for (guint i = 0; i < fixture->starts->len; i++) {
		const sched_fixture_order_t *order =
			sched_fixture_order(fixture->starts, i);
		bool again = false;

		for (guint k = 0; k < i; k++) {
			const sched_fixture_order_t *earlier =
				sched_fixture_order(fixture->starts, k);

			again = again ||
				(strcmp(earlier->task, order->task) == 0 &&
				 earlier->run == order->run);
		}
		count += !again && g_str_has_prefix(order->task, prefix);
	}
	return count;
}

static inline void
sched_fixture_handle_start_result(sched_fixture_t *fixture,
				  const sched_fixture_order_t *order,
				  wwh_order_result_t result)
{
	wwh_scheduler_handle_start_result(fixture->scheduler, order->upstream,
					  order->task, order->run, result,
					  fixture->now_ms);
	wwh_scheduler_check(fixture->scheduler);
}

static inline wwh_running_task_t
sched_fixture_running_row(const sched_fixture_order_t *order, int32_t percent)
{
	wwh_running_task_t row = { .run = order->run,
				   .checkpoint = "",
				   .percent = percent };

	g_strlcpy(row.task, order->task, sizeof(row.task));
	return row;
}

static inline wwh_ended_task_t
sched_fixture_ended_row(const sched_fixture_order_t *order, int64_t number,
			wwh_end_kind_t kind)
{
	wwh_ended_task_t row = { .number = number,
				 .run = order->run,
				 .kind = kind,
				 .checkpoint = "" };

	g_strlcpy(row.task, order->task, sizeof(row.task));
	return row;
}

#endif
