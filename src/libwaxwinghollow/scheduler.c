#include "waxwinghollow/scheduler.h"

#include <string.h>

#include "private/scheduler_state.h"

const char *const wwh_end_kind_names[WWH_END_KIND_COUNT] = {
	"done", "failed", "stopped", "lapsed", "broken", "alone",
};

const char *const wwh_order_result_names[WWH_ORDER_RESULT_COUNT] = {
	"done",	     "not-done", "no-room", "old-run",	  "late",
	"no-ticket", "bad",	 "fenced",  "other-life", "unknown",
};

const char *const
	wwh_scheduler_record_kind_names[WWH_SCHEDULER_RECORD_KIND_COUNT] = {
		"J", "P", "U", "W", "R",
	};

const char *const wwh_job_progress_names[WWH_PROGRESS_COUNT] = {
	"queued", "active", "completed", "failed", "cancelled", "unknown",
};

const char *const wwh_termination_names[WWH_TERMINATION_COUNT] = {
	"crash",
	"ordered",
	"unknown",
};

static const char *const task_state_names[TASK_STATE_COUNT] = {
	"waiting", "starting", "unsure", "running", "stopping", "over",
};

static const char *const task_event_names[TASK_EVENT_COUNT] = {
	"order", "accepted", "refused", "unanswered", "listed",
	"stop",	 "done",     "ended",	"lost",	      "drop",
};

/* A task whose start was refused isn't started again before this has passed. */
#define START_RETRY_MS 150
#define NO_ROOM_BACKOFF_MS 200

static bool is_refusal(wwh_order_result_t result);
static void note_start_ended(const wwh_scheduler_t *scheduler,
			     sched_task_t *task);
static void init_inherited_waits(wwh_scheduler_t *scheduler);
static void explain_unsettled(wwh_scheduler_t *scheduler);
static sched_task_t *find_ordered_task(wwh_scheduler_t *scheduler,
				       const char *upstream, const char *name,
				       int64_t run);
static void note_other_answers(wwh_scheduler_t *scheduler, const char *id);
static void handle_failed_start(wwh_scheduler_t *scheduler, sched_task_t *task,
				wwh_order_result_t result);
static void handle_refused_start(wwh_scheduler_t *scheduler, sched_task_t *task,
				 wwh_order_result_t result);
static void stop_gang(wwh_scheduler_t *scheduler, sched_step_t *step);
static void dump_upstream(const wwh_scheduler_t *scheduler,
			  const sched_upstream_t *upstream, GString *out);
static void dump_job(const sched_job_t *job, GString *out);

void wwh_upstream_info_clear(wwh_upstream_info_t *info)
{
	g_free(info->id);
	g_free(info->endpoint);
	g_free(info->pool);
	g_free(info->zone);
	g_free(info->rack);
	g_strfreev(info->labels);
	memset(info, 0, sizeof(*info));
}

void wwh_upstream_info_copy(wwh_upstream_info_t *to,
			    const wwh_upstream_info_t *from)
{
	static const char *const none[] = { NULL };

	*to = *from;
	to->id = g_strdup(from->id);
	to->endpoint = g_strdup(from->endpoint);
	to->pool = g_strdup(from->pool);
	to->zone = g_strdup(from->zone);
	to->rack = g_strdup(from->rack);
	to->labels =
		g_strdupv(from->labels != NULL ? from->labels : (char **)none);
}

wwh_scheduler_options_t wwh_scheduler_options_defaults(void)
{
	wwh_scheduler_options_t options = {
		.lease_max_ms = 10000,
		.lease_ms = 6000,
		.stop_limit_ms = 400,
		.ended_job_retention_ms = 120000,
		.unavailable_after_ms = 4500,
		.record_max_bytes = 256 * 1024,
		.holder_count = 1,
	};

	return options;
}

wwh_scheduler_t *wwh_scheduler_new(const wwh_scheduler_options_t *options,
				   const wwh_scheduler_callbacks_t *callbacks)
{
	static const wwh_chart_table_t table = {
		.events = task_event_names,
		.event_count = TASK_EVENT_COUNT,
		.states = task_state_names,
		.state_count = TASK_STATE_COUNT,
	};
	wwh_scheduler_t *scheduler = g_new0(wwh_scheduler_t, 1);
	wwh_message_t message;

	scheduler->options = *options;
	scheduler->callbacks = *callbacks;
	scheduler->confirmed_ms = G_MAXINT64;
	scheduler->has_authority = true;
	scheduler->removals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	/* the chart is compiled in, so every test would find a fault in it */
	if (wwh_chart_load("task", &table, &scheduler->task_chart, &message) !=
	    WWH_STATUS_OK)
		g_error("charts/task.json: %s", message.text);
	scheduler->outstanding_tag =
		wwh_chart_tag_mask(scheduler->task_chart, "out");
	scheduler->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						sched_job_delete);
	scheduler->lost_jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	scheduler->inherited_starts =
		g_array_new(FALSE, FALSE, sizeof(sched_inherited_start_t));
	scheduler->weights =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	scheduler->progress_classes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sched_orders_init(scheduler);
	sched_speed_init(scheduler);
	scheduler->quota = wwh_workspace_quota_new();
	scheduler->live = g_ptr_array_new();
	scheduler->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	scheduler->run_order = g_ptr_array_new();
	scheduler->wake_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	scheduler->draining = g_ptr_array_new();
	scheduler->awaiting_ack = g_ptr_array_new();
	scheduler->dirty = g_ptr_array_new();
	scheduler->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 sched_pool_delete);
	scheduler->upstreams = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, sched_upstream_delete);
	return scheduler;
}

void wwh_scheduler_delete(wwh_scheduler_t *scheduler)
{
	if (scheduler == NULL)
		return;
	g_ptr_array_unref(scheduler->live);
	g_ptr_array_unref(scheduler->run_order);
	g_array_unref(scheduler->wake_ms);
	g_ptr_array_unref(scheduler->draining);
	g_ptr_array_unref(scheduler->awaiting_ack);
	g_ptr_array_unref(scheduler->dirty);
	g_hash_table_destroy(scheduler->jobs);
	g_hash_table_destroy(scheduler->lost_jobs);
	g_hash_table_destroy(scheduler->upstreams);
	g_hash_table_destroy(scheduler->endpoints);
	wwh_upstream_speed_delete(scheduler->speed);
	g_hash_table_destroy(scheduler->pools);
	g_array_unref(scheduler->inherited_starts);
	g_array_unref(scheduler->removals);
	wwh_workspace_quota_delete(scheduler->quota);
	g_hash_table_destroy(scheduler->weights);
	g_hash_table_destroy(scheduler->progress_classes);
	wwh_chart_delete(scheduler->task_chart);
	g_free(scheduler);
}

bool wwh_scheduler_restore(wwh_scheduler_t *scheduler,
			   wwh_scheduler_record_kind_t kind, const char *key,
			   const uint8_t *value, size_t size, int64_t now_ms,
			   int64_t wall_ms, wwh_message_t *message)
{
	wwh_job_t *job;
	int64_t age_ms;

	g_assert(!scheduler->restored);
	/* records hold times of day, from which ages are computed */
	scheduler->now_ms = now_ms;
	scheduler->wall_ms = wall_ms;
	switch (kind) {
	case WWH_SCHEDULER_RECORD_JOB:
		job = wwh_job_decode(value, size, message);
		if (job != NULL && strcmp(job->id, key) != 0) {
			wwh_message_set(message, "record holds another job");
			g_clear_pointer(&job, wwh_job_delete);
		}
		if (job == NULL) {
			sched_job_mark_unreadable(scheduler, key, true);
			return false;
		}
		age_ms = MAX(0, wall_ms - job->accepted_wall_ms);
		(void)sched_job_add(scheduler, job, scheduler->now_ms - age_ms);
		return true;
	case WWH_SCHEDULER_RECORD_PROGRESS:
		if (sched_progress_restore(scheduler, key, value, size,
					   message))
			return true;
		sched_job_mark_unreadable(scheduler, key, false);
		return false;
	case WWH_SCHEDULER_RECORD_UPSTREAM:
		if (sched_upstream_restore(scheduler, key, value, size,
					   message))
			return true;
		sched_upstream_add_unlocated(scheduler, key);
		return false;
	default:
		return true;
	}
}

void wwh_scheduler_finish_restore(wwh_scheduler_t *scheduler, int64_t now_ms,
				  int64_t wall_ms)
{
	scheduler->restored = true;
	scheduler->now_ms = now_ms;
	scheduler->wall_ms = wall_ms;
	init_inherited_waits(scheduler);
	/* what ends at an inherited upstream is noted for open occurrences only */
	for (guint i = 0; i < scheduler->live->len; i++)
		sched_occurrences_open_due(
			scheduler, g_ptr_array_index(scheduler->live, i));
	for (guint i = 0; i < scheduler->live->len; i++) {
		sched_job_t *job = g_ptr_array_index(scheduler->live, i);

		if (sched_job_is_live(job) &&
		    job->occurrences_done == sched_job_occurrence_total(job))
			sched_job_end(scheduler, job, WWH_PROGRESS_COMPLETED);
	}
	sched_inherited_starts_collect(scheduler);
}

void wwh_scheduler_set_standby(wwh_scheduler_t *scheduler, const char *pool,
			       bool standby)
{
	sched_pool_get(scheduler, pool)->standby = standby;
}

wwh_submit_result_t wwh_scheduler_submit(wwh_scheduler_t *scheduler,
					 wwh_job_t *spec, int64_t now_ms,
					 int64_t *record)
{
	static const wwh_admission_verdict_t none = { .start_ms = -1,
						      .end_ms = -1 };

	return wwh_scheduler_submit_expected(scheduler, spec, &none, now_ms,
					     record);
}

wwh_submit_result_t
wwh_scheduler_submit_expected(wwh_scheduler_t *scheduler, wwh_job_t *spec,
			      const wwh_admission_verdict_t *verdict,
			      int64_t now_ms, int64_t *record)
{
	sched_job_t *job = sched_job_find(scheduler, spec->id);
	GBytes *value;

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (job != NULL) {
		wwh_job_delete(spec);
		*record = job->tombstone ? sched_tombstone_show(scheduler, job)
					 : job->record_number;
		return WWH_SUBMIT_KNOWN;
	}
	value = wwh_job_encode(spec);
	job = sched_job_add(scheduler, spec, now_ms);
	job->record_number = scheduler->callbacks.write_record(
		WWH_SCHEDULER_RECORD_JOB, job->id, value,
		scheduler->callbacks.client_data);
	g_bytes_unref(value);
	scheduler->newest_record = job->record_number;
	*record = job->record_number;
	job->expected_start_ms = verdict->start_ms;
	job->expected_end_ms = verdict->end_ms;
	sched_backlog_add_job(scheduler, job);
	sched_room_add_job(scheduler, job);
	sched_explain(scheduler, "job-taken", job->id,
		      "queue=%s pool=%s steps=%d record=%" G_GINT64_FORMAT
		      " admission=%s expected_start_ms=%" G_GINT64_FORMAT
		      " expected_end_ms=%" G_GINT64_FORMAT,
		      spec->queue.name, spec->queue.pool, spec->step_count,
		      job->record_number,
		      wwh_admission_reason_names[verdict->reason],
		      verdict->start_ms, verdict->end_ms);
	return WWH_SUBMIT_ACCEPTED;
}

bool wwh_scheduler_job_is_discardable(const wwh_scheduler_t *scheduler,
				      const char *id)
{
	const sched_job_t *job = sched_job_find(scheduler, id);

	return job != NULL && job->record_number > scheduler->durable_record &&
	       sched_job_is_live(job) && !job->started && !job->dirty;
}

void wwh_scheduler_discard_job(wwh_scheduler_t *scheduler, const char *id)
{
	sched_job_t *job = sched_job_find(scheduler, id);

	g_assert(wwh_scheduler_job_is_discardable(scheduler, id));
	sched_explain(scheduler, "job-taken-back", id,
		      "record=%" G_GINT64_FORMAT, job->record_number);
	sched_job_remove_live(scheduler, job);
	g_hash_table_remove(scheduler->jobs, id);
}

bool wwh_scheduler_cancel(wwh_scheduler_t *scheduler, const char *id,
			  int64_t now_ms, int64_t *record)
{
	sched_job_t *job = sched_job_find(scheduler, id);

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (job == NULL && wwh_scheduler_job_is_unreadable(scheduler, id)) {
		job = sched_job_add_ended(scheduler, id);
		job->state = WWH_PROGRESS_QUEUED;
		sched_job_clear_unreadable(scheduler, id);
	}
	if (job == NULL || job->tombstone)
		return false;
	if (sched_job_is_live(job))
		sched_job_end(scheduler, job, WWH_PROGRESS_CANCELLED);
	if (job->end_record_number == G_MAXINT64)
		(void)wwh_scheduler_flush(scheduler, now_ms);
	*record = job->end_record_number;
	return true;
}

wwh_job_progress_t wwh_scheduler_job_state(wwh_scheduler_t *scheduler,
					   const char *id)
{
	sched_job_t *job = sched_job_find(scheduler, id);

	if (job == NULL || job->tombstone)
		return WWH_PROGRESS_UNKNOWN;
	if (!sched_job_is_live(job) &&
	    job->end_record_number <= scheduler->durable_record)
		return job->state;
	return job->started ? WWH_PROGRESS_ACTIVE : WWH_PROGRESS_QUEUED;
}

const char *wwh_scheduler_job_workspace(const wwh_scheduler_t *scheduler,
					const char *id)
{
	const sched_job_t *job = sched_job_find(scheduler, id);

	return job == NULL ? NULL : job->workspace;
}

int32_t wwh_scheduler_pending(wwh_scheduler_t *scheduler, const char *queue)
{
	int32_t count = 0;

	for (guint i = 0; i < scheduler->live->len; i++) {
		sched_job_t *job = g_ptr_array_index(scheduler->live, i);

		count += sched_job_is_live(job) && !job->started &&
			 strcmp(job->spec->queue.name, queue) == 0;
	}
	return count;
}

void wwh_scheduler_handle_start_result(wwh_scheduler_t *scheduler,
				       const char *upstream, const char *name,
				       int64_t run, wwh_order_result_t result,
				       int64_t now_ms)
{
	sched_task_t *task;

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	task = find_ordered_task(scheduler, upstream, name, run);
	if (is_refusal(result))
		sched_losses_start_refused(scheduler, name, run);
	if (task == NULL)
		return;
	note_start_ended(scheduler, task);
	task->starts_unrefused -= is_refusal(result);
	if (sched_task_state(task) == TASK_STOPPING)
		return;
	if (result == WWH_ORDER_DONE) {
		sched_order_answered(scheduler, task, task->ordered_ms);
		task->orders_in_flight = 0;
		task->upstream->pool->dirty = true;
		sched_run_accepted(scheduler, task);
		sched_task_event(scheduler, task, TASK_ACCEPTED);
		return;
	}
	if (result == WWH_ORDER_OTHER_INCARNATION)
		note_other_answers(scheduler, upstream);
	if (sched_task_state(task) == TASK_STARTING)
		handle_failed_start(scheduler, task, result);
}

/* Whether the start that was answered so has certainly begun no run. */
static bool is_refusal(wwh_order_result_t result)
{
	return result != WWH_ORDER_DONE && result != WWH_ORDER_FENCED &&
	       result != WWH_ORDER_UNKNOWN;
}

/* From now on no start can arrive, so the next poll tells whether one has. */
static void note_start_ended(const wwh_scheduler_t *scheduler,
			     sched_task_t *task)
{
	task->starts_out = MAX(task->starts_out - 1, 0);
	if (task->awaits_starts && task->starts_out == 0 &&
	    task->stop_confirmed_ms != 0)
		task->stop_confirmed_ms = scheduler->now_ms;
}

void wwh_scheduler_handle_stop_result(wwh_scheduler_t *scheduler,
				      const char *upstream, const char *name,
				      int64_t run, wwh_order_result_t result,
				      int64_t now_ms)
{
	sched_task_t *task;

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (result == WWH_ORDER_OTHER_INCARNATION)
		note_other_answers(scheduler, upstream);
	task = find_ordered_task(scheduler, upstream, name, run);
	if (task == NULL || sched_task_state(task) != TASK_STOPPING)
		return;
	if (result == WWH_ORDER_DONE) {
		sched_order_answered(scheduler, task, task->stop_sent_ms);
		task->orders_in_flight = 0;
		task->stop_confirmed_ms = scheduler->now_ms;
	} else if (task->orders_in_flight > 0) {
		task->orders_in_flight--;
	}
	if (task->upstream != NULL)
		task->upstream->next_poll_ms =
			MIN(task->upstream->next_poll_ms, scheduler->now_ms);
}

void wwh_scheduler_handle_pace_result(wwh_scheduler_t *scheduler,
				      const char *upstream, const char *name,
				      int64_t run, wwh_order_result_t result,
				      int64_t now_ms)
{
	sched_task_t *task;

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	task = find_ordered_task(scheduler, upstream, name, run);
	if (task != NULL && result == WWH_ORDER_DONE)
		task->pace = task->pace_wanted;
}

void wwh_scheduler_set_durable(wwh_scheduler_t *scheduler, int64_t record)
{
	GHashTableIter iterator;
	gpointer value;

	if (record <= scheduler->durable_record)
		return;
	scheduler->durable_record = record;
	scheduler->durable_ms = scheduler->now_ms;
	sched_upstreams_durable(scheduler);
	g_hash_table_iter_init(&iterator, scheduler->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		((sched_pool_t *)value)->dirty = true;
}

int64_t wwh_scheduler_flush(wwh_scheduler_t *scheduler, int64_t now_ms)
{
	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	sched_progress_write(scheduler);
	sched_upstreams_flushed(scheduler);
	return scheduler->newest_record;
}

bool wwh_scheduler_has_unflushed(const wwh_scheduler_t *scheduler)
{
	return scheduler->dirty->len > 0 || scheduler->has_unflushed_ends;
}

void wwh_scheduler_run(wwh_scheduler_t *scheduler, int64_t now_ms,
		       int64_t wall_ms)
{
	g_assert(scheduler->restored);
	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	scheduler->wall_ms = wall_ms;
	scheduler->awaits_confirmation = false;
	sched_authority_update(scheduler);
	scheduler->starts_held =
		scheduler->announcements_held || !scheduler->has_authority;
	sched_upstreams_run(scheduler);
	/* tasks that it moves couldn't be started again */
	if (scheduler->has_authority)
		sched_cordon_run(scheduler);
	if (!scheduler->starts_held)
		sched_place(scheduler);
	sched_jobs_expire(scheduler);
}

void wwh_scheduler_set_confirmed(wwh_scheduler_t *scheduler,
				 int64_t confirmed_ms)
{
	scheduler->confirmed_ms = confirmed_ms;
}

int64_t wwh_scheduler_extended_ms(const wwh_scheduler_t *scheduler)
{
	return scheduler->extended_ms;
}

void wwh_scheduler_hold_starts(wwh_scheduler_t *scheduler, bool held)
{
	scheduler->announcements_held = held;
	scheduler->starts_held = held || !scheduler->has_authority;
}

bool wwh_scheduler_starts_are_held(const wwh_scheduler_t *scheduler)
{
	return scheduler->starts_held;
}

int32_t wwh_scheduler_upstream_count(const wwh_scheduler_t *scheduler)
{
	return (int32_t)g_hash_table_size(scheduler->upstreams);
}

bool wwh_scheduler_awaits_host_list(const wwh_scheduler_t *scheduler,
				    int64_t listed_ms)
{
	return scheduler->doubted_ms >= listed_ms ||
	       sched_count_unsettled(scheduler) > 0;
}

bool wwh_scheduler_upstream_is_doubted(const wwh_scheduler_t *scheduler,
				       const char *id)
{
	const sched_upstream_t *upstream = sched_upstream_find(scheduler, id);

	return upstream != NULL && wwh_reach_doubts_upstream(upstream->reach);
}

bool wwh_scheduler_upstream_answered_since(const wwh_scheduler_t *scheduler,
					   const char *id, int64_t since_ms)
{
	const sched_upstream_t *upstream = sched_upstream_find(scheduler, id);

	return upstream != NULL && upstream->answered_ms > since_ms;
}

wwh_scheduler_counts_t wwh_scheduler_counts(const wwh_scheduler_t *scheduler)
{
	wwh_scheduler_counts_t counts = {
		.jobs = (int32_t)g_hash_table_size(scheduler->jobs),
		.upstreams = (int32_t)g_hash_table_size(scheduler->upstreams),
		.lost_jobs = (int32_t)g_hash_table_size(scheduler->lost_jobs),
		.unsettled = sched_count_unsettled(scheduler),
		.crashed_upstreams = scheduler->crashed_upstreams,
		.isolated_starts = scheduler->isolated_starts,
		.tasks_given_up = scheduler->tasks_given_up,
		.repeated_orders = scheduler->repeated_orders,
		.slow_upstreams = scheduler->slow_upstreams,
		.marked_slow = scheduler->marked_slow,
		.healthy_again = scheduler->healthy_again,
		.tasks_held = scheduler->tasks_held,
	};
	for (guint i = 0; i < scheduler->live->len; i++) {
		sched_job_t *job = g_ptr_array_index(scheduler->live, i);

		counts.live_jobs += sched_job_is_live(job);
		counts.tasks_outstanding += job->outstanding;
	}
	return counts;
}

void wwh_scheduler_dump(wwh_scheduler_t *scheduler, GString *out,
			int64_t now_ms)
{
	GHashTableIter iterator;
	gpointer value;

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	g_hash_table_iter_init(&iterator, scheduler->upstreams);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		dump_upstream(scheduler, value, out);
	for (guint i = 0; i < scheduler->live->len; i++)
		dump_job(g_ptr_array_index(scheduler->live, i), out);
}

/*
 * Each inherited upstream may run tasks until it answers or its lease has
 * certainly lapsed. A lasting task that waits for an upstream that no longer
 * exists is unavailable all that time. So the wait follows the recorded lease,
 * not the longest that upstreams grant: 6.2 s instead of 11.8 s for leases of
 * 4.5 s and 10 s.
 */
static void init_inherited_waits(wwh_scheduler_t *scheduler)
{
	GHashTableIter iterator;
	gpointer value;

	scheduler->taken_over_ms = scheduler->now_ms;
	scheduler->inherited_upstreams =
		(int32_t)g_hash_table_size(scheduler->upstreams);
	g_hash_table_iter_init(&iterator, scheduler->upstreams);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		sched_upstream_t *upstream = value;
		int64_t wait_ms = sched_lease_max_remaining_ms(
			upstream->recorded_lease_ms);

		upstream->pool->max_inherited_wait_ms =
			MAX(upstream->pool->max_inherited_wait_ms, wait_ms);
	}
	sched_authority_begin(scheduler);
	explain_unsettled(scheduler);
}

static void explain_unsettled(wwh_scheduler_t *scheduler)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, scheduler->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		sched_pool_t *pool = value;

		pool->taken_over_ms = scheduler->now_ms;
		if (pool->unsettled > 0)
			sched_explain(scheduler, "pool-unsettled", pool->name,
				      "upstreams=%d wait_ms=%" G_GINT64_FORMAT,
				      pool->unsettled,
				      pool->max_inherited_wait_ms);
	}
}

/*
 * Returns the task for which an order of run was sent to upstream, or NULL if
 * that run is no longer outstanding there, so that the result is obsolete.
 */
static sched_task_t *find_ordered_task(wwh_scheduler_t *scheduler,
				       const char *upstream, const char *name,
				       int64_t run)
{
	sched_task_t *task = sched_job_task(scheduler, name);

	if (task == NULL || task->upstream == NULL || task->run != run ||
	    strcmp(task->upstream->info.id, upstream) != 0)
		return NULL;
	return task;
}

/* The next poll tells whether the upstream can be reached there again. */
static void note_other_answers(wwh_scheduler_t *scheduler, const char *id)
{
	sched_upstream_t *upstream =
		sched_upstream_find_and_wake(scheduler, id);

	if (upstream == NULL)
		return;
	sched_upstream_note_reach(scheduler, upstream, WWH_REACH_OTHER_ANSWERS);
	upstream->next_poll_ms = MIN(upstream->next_poll_ms, scheduler->now_ms);
}

/*
 * If the start was repeated, either order may have begun the run, whatever the
 * other one was told.
 */
static void handle_failed_start(wwh_scheduler_t *scheduler, sched_task_t *task,
				wwh_order_result_t result)
{
	char name[WWH_TASK_NAME_BYTES];

	sched_task_name(task, name);
	sched_explain(scheduler, "start-not-done", name,
		      "run=%" G_GINT64_FORMAT " upstream=%s result=%s",
		      task->run, task->upstream->info.id,
		      wwh_order_result_names[result]);
	task->orders_in_flight--;
	if (task->orders_in_flight > 0)
		return;
	if (task->orders_sent == 1 && is_refusal(result)) {
		handle_refused_start(scheduler, task, result);
		return;
	}
	sched_task_event(scheduler, task, TASK_UNANSWERED);
	task->upstream->next_poll_ms = scheduler->now_ms;
}

static void handle_refused_start(wwh_scheduler_t *scheduler, sched_task_t *task,
				 wwh_order_result_t result)
{
	sched_upstream_t *upstream = task->upstream;

	if (result == WWH_ORDER_OLD_RUN)
		task->run += WWH_JOB_MAX_STEPS;
	if (result == WWH_ORDER_NO_ROOM || result == WWH_ORDER_LATE) {
		sched_upstream_back_off(scheduler, upstream,
					NO_ROOM_BACKOFF_MS);
		upstream->next_poll_ms = scheduler->now_ms;
	}
	if (result == WWH_ORDER_NOT_DONE)
		sched_upstream_failed(scheduler, upstream, false);
	if (result == WWH_ORDER_NO_TICKET)
		sched_ticket_discard(task->step, upstream->info.id);
	task->retry_ms = scheduler->now_ms + START_RETRY_MS;
	task->avoided_upstream = upstream;
	sched_task_event(scheduler, task, TASK_REFUSED);
	if (task->step->spec->gang)
		stop_gang(scheduler, task->step);
}

/*
 * Members that were started would wait for the refused one until they end as
 * "alone". They are stopped at once, so that the capacity they use is free for
 * the next attempt.
 */
static void stop_gang(wwh_scheduler_t *scheduler, sched_step_t *step)
{
	for (int32_t i = 0; i < step->spec->task_count; i++) {
		sched_task_t *task = &step->tasks[i];

		if (sched_task_is_outstanding(scheduler, task) &&
		    sched_task_state(task) != TASK_STOPPING)
			sched_task_order_stop(scheduler, task);
	}
}

static void dump_upstream(const wwh_scheduler_t *scheduler,
			  const sched_upstream_t *upstream, GString *out)
{
	g_string_append_printf(
		out,
		"upstream %s pool=%s listed=%d leaving=%d settled=%d "
		"readable=%d tasks=%u cpu=%" G_GINT64_FORMAT
		"/%" G_GINT64_FORMAT " answered_ms_ago=%" G_GINT64_FORMAT
		" lease_left_ms=%" G_GINT64_FORMAT
		" isolated=%d slowdown_permille=%" G_GINT64_FORMAT
		" speed_seen_ms_ago=%" G_GINT64_FORMAT "\n",
		upstream->info.id, upstream->info.pool, upstream->listed,
		upstream->info.leaving, upstream->settled,
		!upstream->unreadable, upstream->tasks->len,
		upstream->used.cpu_millicores,
		upstream->info.size.cpu_millicores,
		scheduler->now_ms - upstream->answered_ms,
		upstream->lease_end_ms - scheduler->now_ms,
		upstream->isolated_runs,
		sched_upstream_slowdown_permille(upstream),
		upstream->speed == NULL
			? -1
			: scheduler->now_ms - wwh_upstream_speed_observed_ms(
						      upstream->speed));
}

static void dump_job(const sched_job_t *job, GString *out)
{
	g_string_append_printf(
		out,
		"job %s state=%s started=%d out=%d "
		"occurrences=%" G_GINT64_FORMAT " done=%" G_GINT64_FORMAT "\n",
		job->id, wwh_job_progress_names[job->state], job->started,
		job->outstanding,
		job->next_occurrence -
			(job->unopened == NULL ? 0 : sched_unopened_count(job)),
		job->occurrences_done);
}
