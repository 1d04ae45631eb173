/*
 * fuzz_scheduler - holders of a shard against a world that knows the truth.
 * The input says what happens next: jobs come and are cancelled, orders are
 * carried out, refused, lost, or carried out late, upstreams crash, are cut
 * off, hang or leave, appends fail or get no answer, a holder is overtaken
 * and goes on for a moment, or all start anew from the store.
 *
 * Checked where an upstream begins a run:
 *  - no other run of the task goes on at an upstream that is up;
 *  - the task wasn't done by an end that was acknowledged;
 *  - all tasks of the steps before it are done;
 *  - fewer failed ends than the queue allows were acknowledged;
 *  - the job was handed in, with this payload, and its cancel isn't known;
 * and when a holder is asked: a job is shown as completed only when each of
 * its tasks is done, and ever after; as failed only when a task has failed as
 * often as the queue allows; and an accepted one is never unknown.
 */

#include <assert.h>
#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "waxwinghollow/scheduler.h"

#define UPSTREAMS 4
#define JOBS_MAX 24
#define TASKS 3 /* of each of the two steps of a job */
#define STEPS 2
#define MAX_ATTEMPTS 3
#define INPUT_MAX 600
#define CORES 3000
#define LEASE_MAX_MS 10000
#define ORDER_LIMIT_MS 1700 /* after which a holder waits no longer */
#define POOL "p"

typedef struct {
	bool running;
	bool done; /* truly */
	bool done_acked;
	int32_t failed_acked;
	int32_t failed; /* truly */
} truth_t;

typedef struct {
	char id[WWH_JOB_ID_CHARS + 1];
	bool submitted;
	bool accepted; /* the caller was told */
	bool cancelled; /* the caller was told */
	int64_t cancelled_ms;
	bool cancel_sent;
	bool shown_completed;
	int64_t submit_record;
	truth_t tasks[STEPS][TASKS];
} job_t;

typedef struct {
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	int64_t begun_ms;
	int64_t duration_ms;
	bool fails;
} run_t;

typedef struct {
	int64_t number;
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	wwh_end_kind_t kind;
	bool lapsed; /* the lease was over since: it never counts as acknowledged */
} end_t;

typedef struct {
	char id[16];
	int32_t life;
	bool up;
	bool cut;
	bool hangs;
	bool leaving;
	bool announced;
	int64_t token;
	int64_t clock_offset_ms;
	int64_t clock_permille; /* 980 to 1000 of ours */
	int64_t lease_until_ms; /* on its clock */
	int64_t last_number;
	GArray *runs; /* run_t */
	GArray *ends; /* end_t */
	GHashTable *refused; /* task to the highest run that ended or stopped */
} host_t;

typedef enum {
	ORDER_START,
	ORDER_STOP,
	ORDER_POLL
} order_kind_t;

typedef struct {
	order_kind_t kind;
	int32_t holder; /* number; orders outlive their holders */
	char upstream[16];
	char task[WWH_TASK_NAME_BYTES];
	int64_t run;
	int64_t token;
	int64_t until_ms;
	int64_t acknowledged;
	int64_t sent_ms;
	bool carried_out_late; /* nobody waits for its result */
} order_t;

typedef struct {
	char *key;
	GBytes *value;
	int64_t number;
} record_t;

typedef struct {
	wwh_scheduler_t *scheduler;
	int32_t number; /* 0: none */
	int64_t token;
	int64_t next_record;
	GQueue *pending; /* record_t */
} holder_t;

typedef struct {
	const uint8_t *data;
	size_t size;
	int64_t now_ms;
	holder_t holder;
	int32_t holder_count;
	GHashTable *store; /* key to GBytes */
	host_t hosts[UPSTREAMS];
	job_t jobs[JOBS_MAX];
	int32_t job_count;
	GQueue *orders; /* order_t */
} world_t;

static world_t world;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static uint8_t next(void)
{
	if (world.size == 0)
		return 0;
	world.size--;
	return *world.data++;
}

static int64_t clock_of(const host_t *host)
{
	return host->clock_offset_ms +
	       world.now_ms * host->clock_permille / 1000;
}

static truth_t *truth_of(const char *task, int32_t *step, job_t **job)
{
	char id[WWH_JOB_ID_CHARS + 1] = "";
	int occurrence;
	int index;
	int number;

	assert(sscanf(task, "%16[0-9a-f].%d.%d.%d", id, &occurrence, &number,
		      &index) == 4);
	for (int32_t i = 0; i < world.job_count; i++) {
		if (strcmp(world.jobs[i].id, id) != 0)
			continue;
		*job = &world.jobs[i];
		*step = number;
		return &world.jobs[i].tasks[number][index];
	}
	return NULL;
}

static host_t *host_of(const char *id)
{
	for (int32_t i = 0; i < UPSTREAMS; i++) {
		if (strcmp(world.hosts[i].id, id) == 0)
			return &world.hosts[i];
	}
	return NULL; /* of a life that is over */
}

static holder_t *holder_of(int32_t number)
{
	return world.holder.number == number ? &world.holder : NULL;
}

static void add_order(const order_t *order)
{
	g_queue_push_tail(world.orders, g_memdup2(order, sizeof(*order)));
}

static order_t make_order(const holder_t *holder, order_kind_t kind,
			  const char *upstream)
{
	order_t order = { .kind = kind,
			  .holder = holder->number,
			  .token = holder->token,
			  .sent_ms = world.now_ms };

	g_strlcpy(order.upstream, upstream, sizeof(order.upstream));
	return order;
}

static void on_start(const wwh_start_order_t *start, void *data)
{
	order_t order = make_order(data, ORDER_START, start->upstream);

	assert(strcmp(start->payload, "text") == 0);
	g_strlcpy(order.task, start->task, sizeof(order.task));
	order.run = start->run;
	order.until_ms = start->lease_until_remote_ms;
	add_order(&order);
}

static void on_stop(const wwh_stop_order_t *stop, void *data)
{
	order_t order = make_order(data, ORDER_STOP, stop->upstream);

	g_strlcpy(order.task, stop->task, sizeof(order.task));
	order.run = stop->run;
	add_order(&order);
}

static void on_poll(const wwh_poll_order_t *poll, void *data)
{
	order_t order = make_order(data, ORDER_POLL, poll->upstream);

	order.until_ms = poll->lease_until_remote_ms;
	order.acknowledged = poll->ends_acked_upto;
	add_order(&order);
}

static void on_pace(const wwh_pace_order_t *order, void *data)
{
	(void)order;
	(void)data;
}

static void on_advise(const wwh_advice_order_t *order, void *data)
{
	(void)order;
	(void)data;
}

static int64_t on_keep(wwh_keep_kind_t kind, const char *key, GBytes *value,
		       void *data)
{
	holder_t *holder = data;
	record_t *record = g_new0(record_t, 1);

	record->key = g_strconcat(wwh_keep_kind_names[kind], key, NULL);
	record->value = value == NULL ? NULL : g_bytes_ref(value);
	record->number = ++holder->next_record;
	g_queue_push_tail(holder->pending, record);
	return record->number;
}

static void on_explain(const char *event, const char *subject,
		       const char *detail, void *data)
{
	(void)event;
	(void)subject;
	(void)detail;
	(void)data;
}

static void record_free(gpointer data)
{
	record_t *record = data;

	if (record->value != NULL)
		g_bytes_unref(record->value);
	g_free(record->key);
	g_free(record);
}

static void drop_holder(holder_t *holder)
{
	if (holder->number == 0)
		return;
	wwh_scheduler_delete(holder->scheduler);
	g_queue_free_full(holder->pending, record_free);
	memset(holder, 0, sizeof(*holder));
}

static void announce(holder_t *holder, const host_t *host)
{
	char *labels[] = { "a", "r", NULL };
	wwh_upstream_info_t info = {
		.id = (char *)host->id,
		.pool = POOL,
		.rack = "r",
		.labels = labels,
		.cpu_millicores = CORES,
		.memory_mb = 1000,
		.leaving = host->leaving,
	};
	char endpoint[16];

	/* endpoints stay with hosts; lives change */
	snprintf(endpoint, sizeof(endpoint), "h%d", (int)(host - world.hosts));
	info.endpoint = endpoint;
	if (host->announced)
		wwh_scheduler_upstream_seen(holder->scheduler, &info,
					    world.now_ms);
}

static void restore(holder_t *holder)
{
	for (int32_t kind = 0; kind < WWH_KEEP_KIND_COUNT; kind++) {
		GHashTableIter iterator;
		gpointer key;
		gpointer value;

		g_hash_table_iter_init(&iterator, world.store);
		while (g_hash_table_iter_next(&iterator, &key, &value)) {
			wwh_message_t message;
			gsize size;
			const uint8_t *data = g_bytes_get_data(value, &size);

			if (((char *)key)[0] == wwh_keep_kind_names[kind][0])
				assert(wwh_scheduler_restore(
					holder->scheduler,
					(wwh_keep_kind_t)kind, (char *)key + 1,
					data, size, world.now_ms, world.now_ms,
					&message));
		}
	}
	wwh_scheduler_restored(holder->scheduler, world.now_ms, world.now_ms);
}

/* The orders of the holder before stay on their way. */
static void take_over(void)
{
	holder_t *holder = &world.holder;
	wwh_scheduler_options_t options = wwh_scheduler_options_defaults();
	wwh_scheduler_calls_t calls = {
		.start = on_start,
		.stop = on_stop,
		.poll = on_poll,
		.pace = on_pace,
		.advise = on_advise,
		.keep = on_keep,
		.explain = on_explain,
		.client_data = holder,
	};

	drop_holder(holder);
	/* what wasn't durable by then was answered as unknown */
	for (int32_t i = 0; i < world.job_count; i++) {
		world.jobs[i].submit_record = 0;
		world.jobs[i].cancel_sent = false;
	}
	holder->number = ++world.holder_count;
	holder->token = world.holder_count;
	holder->pending = g_queue_new();
	options.lease_max_ms = LEASE_MAX_MS;
	options.lease_ms = 4500;
	options.forget_ms = INT64_MAX / 4; /* no job is forgotten here */
	options.holder_count = world.holder_count;
	holder->scheduler = wwh_scheduler_new(&options, &calls);
	restore(holder);
	for (int32_t i = 0; i < UPSTREAMS; i++)
		announce(holder, &world.hosts[i]);
}

static int64_t refused_run(const host_t *host, const char *task)
{
	gpointer run = g_hash_table_lookup(host->refused, task);

	return run == NULL ? 0 : (int64_t)GPOINTER_TO_SIZE(run);
}

static void end_run(host_t *host, guint index, wwh_end_kind_t kind)
{
	run_t run = g_array_index(host->runs, run_t, index);
	end_t end = { .number = ++host->last_number,
		      .run = run.run,
		      .kind = kind };
	job_t *job;
	int32_t step;
	truth_t *truth = truth_of(run.task, &step, &job);

	g_strlcpy(end.task, run.task, sizeof(end.task));
	g_array_append_val(host->ends, end);
	g_array_remove_index(host->runs, index);
	if (refused_run(host, run.task) < run.run)
		g_hash_table_replace(host->refused, g_strdup(run.task),
				     GSIZE_TO_POINTER((gsize)run.run));
	truth->running = false;
	if (kind == WWH_END_DONE)
		truth->done = true;
	truth->failed += kind == WWH_END_FAILED;
}

/* What time does: runs end, leases lapse. */
static void settle_host(host_t *host)
{
	if (!host->up)
		return;
	while (host->runs->len > 0 && clock_of(host) > host->lease_until_ms)
		end_run(host, 0, WWH_END_LAPSED);
	for (guint i = 0; i < host->ends->len; i++)
		g_array_index(host->ends, end_t, i).lapsed |=
			clock_of(host) > host->lease_until_ms;
	for (guint i = 0; i < host->runs->len && !host->hangs;) {
		run_t *run = &g_array_index(host->runs, run_t, i);

		if (world.now_ms - run->begun_ms < run->duration_ms)
			i++;
		else
			end_run(host, i,
				run->fails ? WWH_END_FAILED : WWH_END_DONE);
	}
}

static void crash(host_t *host)
{
	for (guint i = 0; i < host->runs->len; i++) {
		job_t *job;
		int32_t step;

		truth_of(g_array_index(host->runs, run_t, i).task, &step, &job)
			->running = false;
	}
	g_array_set_size(host->runs, 0);
	g_array_set_size(host->ends, 0);
	g_hash_table_remove_all(host->refused);
	host->up = false;
	host->last_number = 0;
	host->token = 0;
	host->lease_until_ms = 0;
	host->hangs = false;
}

static void begin_life(host_t *host)
{
	host->life++;
	host->up = true;
	host->leaving = false;
	host->announced = true;
	snprintf(host->id, sizeof(host->id), "u%d-%d",
		 (int)(host - world.hosts), host->life);
	if (world.holder.number != 0)
		announce(&world.holder, host);
}

static wwh_order_result_t carry_out_start(host_t *host, const order_t *order)
{
	run_t run = { .run = order->run, .begun_ms = world.now_ms };
	uint8_t luck = (uint8_t)(g_str_hash(order->task) + order->run * 7);
	job_t *job = NULL;
	int32_t step = 0;
	truth_t *truth = truth_of(order->task, &step, &job);

	for (guint i = 0; i < host->runs->len; i++) {
		run_t *there = &g_array_index(host->runs, run_t, i);

		if (strcmp(there->task, order->task) == 0 &&
		    there->run == order->run)
			return WWH_ORDER_DONE;
	}
	host->lease_until_ms = MAX(host->lease_until_ms, order->until_ms);
	if (order->run <= refused_run(host, order->task))
		return WWH_ORDER_OLD_RUN;
	if (clock_of(host) > order->until_ms)
		return WWH_ORDER_LATE;
	if ((int32_t)host->runs->len >= CORES / 1000)
		return WWH_ORDER_NO_ROOM;
	assert(truth != NULL && job->submitted);
	assert(!truth->running);
	assert(!truth->done_acked);
	assert(truth->failed_acked < MAX_ATTEMPTS);
	/* what was on its way when the caller was told may still arrive */
	assert(!job->cancelled || order->sent_ms <= job->cancelled_ms);
	for (int32_t i = 0; i < TASKS && step > 0; i++)
		assert(job->tasks[0][i].done);
	truth->running = true;
	g_strlcpy(run.task, order->task, sizeof(run.task));
	run.duration_ms = 200 + luck * 8;
	run.fails = luck % 5 == 0;
	g_array_append_val(host->runs, run);
	return WWH_ORDER_DONE;
}

static wwh_order_result_t carry_out_stop(host_t *host, const order_t *order)
{
	for (guint i = 0; i < host->runs->len; i++) {
		run_t *run = &g_array_index(host->runs, run_t, i);

		if (strcmp(run->task, order->task) == 0 &&
		    run->run <= order->run) {
			end_run(host, i, WWH_END_STOPPED);
			break;
		}
	}
	if (refused_run(host, order->task) < order->run)
		g_hash_table_replace(host->refused, g_strdup(order->task),
				     GSIZE_TO_POINTER((gsize)order->run));
	return WWH_ORDER_DONE;
}

static void carry_out_poll(host_t *host, const order_t *order)
{
	host->lease_until_ms = MAX(host->lease_until_ms, order->until_ms);
	while (host->ends->len > 0 &&
	       g_array_index(host->ends, end_t, 0).number <=
		       order->acknowledged) {
		end_t *end = &g_array_index(host->ends, end_t, 0);
		job_t *job;
		int32_t step;
		truth_t *truth = truth_of(end->task, &step, &job);

		truth->done_acked |= end->kind == WWH_END_DONE && !end->lapsed;
		truth->failed_acked +=
			end->kind == WWH_END_FAILED && !end->lapsed;
		g_array_remove_index(host->ends, 0);
	}
}

static void answer_poll(const order_t *order, const host_t *host)
{
	holder_t *holder = holder_of(order->holder);
	GArray *running = g_array_new(FALSE, FALSE, sizeof(wwh_running_t));
	GArray *ended = g_array_new(FALSE, FALSE, sizeof(wwh_ended_t));
	wwh_poll_answer_t answer = { .remote_ms = clock_of(host),
				     .ended_in_full = true };

	for (guint i = 0; i < host->runs->len; i++) {
		const run_t *run = &g_array_index(host->runs, run_t, i);
		wwh_running_t row = { .run = run->run, .checkpoint = "" };

		g_strlcpy(row.task, run->task, sizeof(row.task));
		if (!host->hangs)
			row.percent = (int32_t)((world.now_ms - run->begun_ms) *
						100 / run->duration_ms);
		g_array_append_val(running, row);
	}
	for (guint i = 0; i < host->ends->len; i++) {
		const end_t *end = &g_array_index(host->ends, end_t, i);
		wwh_ended_t row = { .number = end->number,
				    .run = end->run,
				    .kind = end->kind,
				    .checkpoint = "" };

		g_strlcpy(row.task, end->task, sizeof(row.task));
		g_array_append_val(ended, row);
	}
	answer.running = (wwh_running_t *)(void *)running->data;
	answer.running_count = (int32_t)running->len;
	answer.ended = (wwh_ended_t *)(void *)ended->data;
	answer.ended_count = (int32_t)ended->len;
	wwh_scheduler_polled(holder->scheduler, order->upstream, &answer,
			     order->sent_ms, world.now_ms);
	g_array_free(running, TRUE);
	g_array_free(ended, TRUE);
}

/* Tells the holder what came of an order, if it still is there. */
static void tell(const order_t *order, wwh_order_result_t result)
{
	holder_t *holder = holder_of(order->holder);

	if (holder == NULL || order->carried_out_late)
		return;
	if (result == WWH_ORDER_FENCED) {
		drop_holder(holder);
		return;
	}
	if (order->kind == ORDER_START)
		wwh_scheduler_start_ended(holder->scheduler, order->upstream,
					  order->task, order->run, result,
					  world.now_ms);
	else if (order->kind == ORDER_STOP)
		wwh_scheduler_stop_ended(holder->scheduler, order->upstream,
					 order->task, order->run, result,
					 world.now_ms);
	else if (result == WWH_ORDER_OTHER_LIFE)
		wwh_scheduler_upstream_gone(holder->scheduler, order->upstream,
					    "restarted", world.now_ms);
	else
		wwh_scheduler_poll_failed(holder->scheduler, order->upstream,
					  result == WWH_ORDER_NOT_DONE,
					  world.now_ms);
}

/* The upstream gets the order; answered: its answer comes back. */
static void deliver(const order_t *order, bool answered)
{
	host_t *host = host_of(order->upstream);
	wwh_order_result_t result;

	if (host == NULL) {
		tell(order,
		     answered ? WWH_ORDER_OTHER_LIFE : WWH_ORDER_UNKNOWN);
		return;
	}
	if (!host->up || host->cut) {
		tell(order, WWH_ORDER_UNKNOWN);
		return;
	}
	settle_host(host);
	if (order->token < host->token) {
		tell(order, answered ? WWH_ORDER_FENCED : WWH_ORDER_UNKNOWN);
		return;
	}
	host->token = order->token;
	if (order->kind == ORDER_POLL) {
		carry_out_poll(host, order);
		if (answered && !order->carried_out_late &&
		    holder_of(order->holder) != NULL)
			answer_poll(order, host);
		else
			tell(order, WWH_ORDER_UNKNOWN);
		return;
	}
	result = order->kind == ORDER_START ? carry_out_start(host, order)
					    : carry_out_stop(host, order);
	tell(order, answered ? result : WWH_ORDER_UNKNOWN);
}

static void handle_order(uint8_t how)
{
	guint length = g_queue_get_length(world.orders);
	order_t *order;

	if (length == 0)
		return;
	order = g_queue_pop_nth(world.orders, how / 8 % MIN(length, 6));
	if (!order->carried_out_late &&
	    world.now_ms - order->sent_ms > ORDER_LIMIT_MS) {
		tell(order, WWH_ORDER_UNKNOWN);
		order->carried_out_late = true;
	}
	switch (how % 8) {
	case 0: /* no answer; carried out later, or never */
		if (!order->carried_out_late) {
			order_t late = *order;

			tell(order, WWH_ORDER_UNKNOWN);
			late.carried_out_late = true;
			add_order(&late);
		}
		break;
	case 1: /* carried out, the answer is lost */
		deliver(order, false);
		break;
	case 2: /* surely not sent */
		if (order->kind != ORDER_POLL)
			tell(order, WWH_ORDER_NOT_DONE);
		else
			tell(order, WWH_ORDER_UNKNOWN);
		break;
	default:
		deliver(order, true);
		break;
	}
	g_free(order);
}

/* The journal's pending records become durable; answered: the holder knows. */
static void append(bool stored, bool answered)
{
	holder_t *holder = &world.holder;
	int64_t last = 0;

	(void)wwh_scheduler_flush(holder->scheduler, world.now_ms);
	for (GList *at = holder->pending->head; at != NULL && stored;
	     at = at->next) {
		record_t *record = at->data;

		last = record->number;
		if (record->value == NULL)
			g_hash_table_remove(world.store, record->key);
		else
			g_hash_table_replace(world.store, g_strdup(record->key),
					     g_bytes_ref(record->value));
	}
	if (!stored || !answered)
		return; /* the same records are appended again */
	g_queue_clear_full(holder->pending, record_free);
	wwh_scheduler_set_durable(holder->scheduler, last);
	for (int32_t i = 0; i < world.job_count; i++) {
		job_t *job = &world.jobs[i];

		job->accepted |= job->submitted && job->submit_record > 0 &&
				 job->submit_record <= last;
		if (job->cancel_sent && !job->cancelled)
			job->cancelled_ms = world.now_ms;
		job->cancelled |= job->cancel_sent;
	}
}

static void submit(uint8_t kind)
{
	holder_t *holder = &world.holder;
	job_t *entry = &world.jobs[world.job_count];
	wwh_job_t *job = wwh_job_new(STEPS);

	if (world.job_count == JOBS_MAX) {
		wwh_job_delete(job);
		return;
	}
	memset(entry, 0, sizeof(*entry));
	snprintf(entry->id, sizeof(entry->id), "%016x",
		 (unsigned)world.job_count + 1);
	entry->submitted = true;
	g_strlcpy(job->id, entry->id, sizeof(job->id));
	job->queue.name = g_strdup("q");
	job->queue.pool = g_strdup(POOL);
	job->queue.max_attempts = MAX_ATTEMPTS;
	job->queue.stretch_permille = 1600;
	job->payload = g_strdup("text");
	job->accepted_wall_ms = world.now_ms;
	for (int32_t i = 0; i < STEPS; i++) {
		job->steps[i].task_count = TASKS;
		job->steps[i].cpu_millicores = 1000;
		job->steps[i].estimate_ms = 500;
		job->steps[i].max_per_upstream = kind % 3;
	}
	job->steps[1].after = g_new0(int32_t, 1);
	job->steps[1].after_count = 1;
	world.job_count++;
	(void)wwh_scheduler_submit(holder->scheduler, job, world.now_ms,
				   &entry->submit_record);
}

static void cancel(uint8_t which)
{
	job_t *job;
	int64_t record;

	if (world.job_count == 0)
		return;
	job = &world.jobs[which % world.job_count];
	if (wwh_scheduler_cancel(world.holder.scheduler, job->id, world.now_ms,
				 &record))
		job->cancel_sent = true;
}

static int32_t most_failures(const job_t *job)
{
	int32_t most = 0;

	for (int32_t k = 0; k < STEPS * TASKS; k++)
		most = MAX(most, job->tasks[k / TASKS][k % TASKS].failed);
	return most;
}

static void check_shown(void)
{
	for (int32_t i = 0; i < world.job_count; i++) {
		job_t *job = &world.jobs[i];
		wwh_job_progress_t shown = wwh_scheduler_job_state(
			world.holder.scheduler, job->id);

		assert(!job->accepted || shown != WWH_PROGRESS_UNKNOWN);
		assert(!job->shown_completed ||
		       shown == WWH_PROGRESS_COMPLETED);
		job->shown_completed |= shown == WWH_PROGRESS_COMPLETED;
		assert(shown != WWH_PROGRESS_FAILED ||
		       most_failures(job) >= MAX_ATTEMPTS);
		for (int32_t k = 0;
		     k < STEPS * TASKS && shown == WWH_PROGRESS_COMPLETED; k++)
			assert(job->tasks[k / TASKS][k % TASKS].done);
	}
}

static void change_host(uint8_t how)
{
	host_t *host = &world.hosts[how % UPSTREAMS];

	switch (how / UPSTREAMS % 6) {
	case 0:
		if (host->up)
			crash(host);
		break;
	case 1:
		if (!host->up)
			begin_life(host);
		break;
	case 2:
		host->cut = !host->cut;
		break;
	case 3:
		host->hangs = !host->hangs;
		break;
	case 4:
		host->leaving = !host->leaving;
		announce(&world.holder, host);
		break;
	default:
		host->announced = !host->announced;
		if (!host->announced)
			wwh_scheduler_upstream_left(world.holder.scheduler,
						    host->id, world.now_ms);
		else if (host->up)
			announce(&world.holder, host);
		break;
	}
}

static void step(void)
{
	uint8_t event = next();
	uint8_t how = next();

	if (world.holder.number == 0)
		take_over();
	switch (event % 16) {
	case 0:
	case 1:
		submit(how);
		break;
	case 2:
		if (how % 4 == 0)
			cancel(how / 4);
		break;
	case 3:
		change_host(how);
		break;
	case 4:
		if (how % 8 == 0)
			take_over();
		break;
	case 5:
	case 6:
		append(how % 8 != 0, how % 8 != 1);
		break;
	case 7:
		world.now_ms += how * 20;
		break;
	default:
		handle_order(how);
		break;
	}
	world.now_ms += 10;
	for (int32_t i = 0; i < UPSTREAMS; i++)
		settle_host(&world.hosts[i]);
	if (world.holder.number == 0)
		return;
	wwh_scheduler_run(world.holder.scheduler, world.now_ms, world.now_ms);
	wwh_scheduler_check(world.holder.scheduler);
	check_shown();
}

static void set_up(const uint8_t *data, size_t size)
{
	memset(&world, 0, sizeof(world));
	world.data = data;
	world.size = MIN(size, (size_t)INPUT_MAX);
	world.now_ms = 100000;
	world.store = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_bytes_unref);
	world.orders = g_queue_new();
	for (int32_t i = 0; i < UPSTREAMS; i++) {
		host_t *host = &world.hosts[i];

		host->runs = g_array_new(FALSE, FALSE, sizeof(run_t));
		host->ends = g_array_new(FALSE, FALSE, sizeof(end_t));
		host->refused = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, NULL);
		host->clock_offset_ms = 5000 * i;
		host->clock_permille = 980 + next() % 21;
		begin_life(host);
	}
	take_over();
}

static void tear_down(void)
{
	drop_holder(&world.holder);
	for (int32_t i = 0; i < UPSTREAMS; i++) {
		g_array_free(world.hosts[i].runs, TRUE);
		g_array_free(world.hosts[i].ends, TRUE);
		g_hash_table_destroy(world.hosts[i].refused);
	}
	g_hash_table_destroy(world.store);
	g_queue_free_full(world.orders, g_free);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	set_up(data, size);
	while (world.size > 0)
		step();
	tear_down();
	return 0;
}
