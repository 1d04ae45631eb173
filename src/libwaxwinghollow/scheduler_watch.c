#include "private/scheduler_state.h"

#include <string.h>

/* The stop of an orphan is resent after this time and that which a stop takes. */
#define ORPHAN_STOP_RESEND_MS 400

/* A running lasting task that is unavailable for this time hangs. */
#define LASTING_HANG_TIMEOUT_MS 2500

/*
 * After a lasting task was available for this time, its next failure isn't
 * counted as consecutive: a task that fails by its own fault does so sooner.
 */
#define LASTING_STABLE_MS 5000

/* An upstream on which a task hung gets no work for this time. */
#define HANG_BACKOFF_MS 3000

static int64_t wake_ms(const sched_upstream_t *upstream);
static int64_t next_poll_ms(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream, int64_t sent_ms);
static void mark_settled(wwh_scheduler_t *scheduler,
			 sched_upstream_t *upstream);
static void handle_ended(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
			 const wwh_ended_task_t *row);
static bool changes_progress(const sched_task_t *task,
			     const wwh_ended_task_t *row);
static void handle_task_end(wwh_scheduler_t *scheduler,
			    sched_upstream_t *upstream, sched_task_t *task,
			    const wwh_ended_task_t *row);
static bool is_upstream_failure(sched_task_t *task);
static bool is_long_available(const wwh_scheduler_t *scheduler,
			      const sched_task_t *task);
static void complete_gang(wwh_scheduler_t *scheduler, sched_task_t *task);
static void complete_task(wwh_scheduler_t *scheduler, sched_task_t *task);
static void handle_running(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream,
			   const wwh_running_task_t *row, int64_t sent_ms);
static void handle_orphan(wwh_scheduler_t *scheduler,
			  sched_upstream_t *upstream,
			  const wwh_running_task_t *row);
static void update_task(wwh_scheduler_t *scheduler, sched_task_t *task,
			const wwh_running_task_t *row);
static void handle_unlisted_tasks(wwh_scheduler_t *scheduler,
				  sched_upstream_t *upstream,
				  const wwh_poll_answer_t *answer,
				  int64_t sent_ms);
static bool lists_task(const wwh_poll_answer_t *answer,
		       const sched_task_t *task, int32_t *next);
static void handle_unlisted(wwh_scheduler_t *scheduler, sched_task_t *task,
			    int64_t sent_ms);
static void stop_hung_tasks(wwh_scheduler_t *scheduler,
			    sched_upstream_t *upstream);
static void run_upstream(wwh_scheduler_t *scheduler,
			 sched_upstream_t *upstream);

void wwh_scheduler_handle_poll_answer(wwh_scheduler_t *scheduler,
				      const char *id,
				      const wwh_poll_answer_t *answer,
				      int64_t sent_ms, int64_t now_ms)
{
	sched_upstream_t *upstream =
		sched_upstream_find_and_wake(scheduler, id);
	bool was_usable;
	guint tasks;

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (upstream == NULL)
		return;
	was_usable = sched_upstream_usable(scheduler, upstream);
	upstream->poll_in_flight = false;
	if (!sched_incarnation_check(scheduler, upstream, answer, sent_ms))
		return;
	tasks = upstream->tasks->len;
	upstream->answered_ms = scheduler->now_ms;
	upstream->witnessed_ms = MAX(upstream->witnessed_ms, sent_ms);
	sched_authority_note_fenced(scheduler, upstream);
	sched_clock_read(scheduler, upstream, answer->remote_ms, sent_ms);
	upstream->failed_polls = 0;
	upstream->reach = WWH_REACH_ANSWERS;
	for (int32_t i = 0; i < answer->ended_count; i++)
		handle_ended(scheduler, upstream, &answer->ended[i]);
	if (upstream->termination_reason != NULL) {
		/* the listed ends count; the listed running tasks are lost */
		sched_upstream_remove(scheduler, upstream,
				      upstream->termination,
				      upstream->termination_reason);
		return;
	}
	/* It is up, so its runs were lost without a crash. */
	g_array_set_size(upstream->unclear_losses, 0);
	scheduler->orphans -= upstream->orphans;
	upstream->orphans = 0;
	for (int32_t i = 0; i < answer->running_count; i++)
		handle_running(scheduler, upstream, &answer->running[i],
			       sent_ms);
	scheduler->orphans += upstream->orphans;
	if (upstream->orphans == 0)
		g_hash_table_remove_all(upstream->orphan_stops);
	if (answer->ended_complete)
		handle_unlisted_tasks(scheduler, upstream, answer, sent_ms);
	if (scheduler->has_authority)
		stop_hung_tasks(scheduler, upstream);
	sched_pace_fillers(scheduler, upstream);
	/* an incomplete answer may lack ends and runs of the holder before */
	if (answer->ended_complete || !upstream->inherited)
		mark_settled(scheduler, upstream);
	upstream->idle_gap_ms = sched_poll_idle_gap_ms(scheduler, upstream);
	upstream->next_poll_ms = next_poll_ms(scheduler, upstream, sent_ms);
	/* without new room no waiting task has become placeable */
	if (answer->ended_count > 0 || upstream->tasks->len != tasks ||
	    !was_usable)
		upstream->pool->dirty = true;
}

/* The gap counts from when an answer shows that no other holder has taken over. */
static int64_t next_poll_ms(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream, int64_t sent_ms)
{
	int64_t earliest_ms =
		scheduler->now_ms + sched_poll_gap_ms(scheduler, upstream);
	int64_t base_ms = scheduler->polls_tell ? sent_ms : scheduler->now_ms;

	return MAX(earliest_ms, base_ms + upstream->idle_gap_ms);
}

void wwh_scheduler_handle_poll_failure(wwh_scheduler_t *scheduler,
				       const char *id, wwh_reach_t reach,
				       int64_t now_ms)
{
	sched_upstream_t *upstream =
		sched_upstream_find_and_wake(scheduler, id);

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (upstream == NULL)
		return;
	upstream->poll_in_flight = false;
	if (upstream->termination_reason != NULL) {
		sched_upstream_remove(scheduler, upstream,
				      upstream->termination,
				      upstream->termination_reason);
		return;
	}
	upstream->failed_polls++;
	sched_upstream_note_reach(scheduler, upstream, reach);
	upstream->next_poll_ms =
		scheduler->now_ms + sched_poll_retry_ms(upstream);
	/* one whose host is about to move or be taken down ends in silence */
	if (upstream->failed_polls == 1 && !upstream->ending)
		sched_explain(
			scheduler, "upstream-silent", id,
			"reach=%s last_answer_ms_ago=%" G_GINT64_FORMAT
			" lease_left_ms=%" G_GINT64_FORMAT
			" tasks=%u settled=%d listed=%d",
			wwh_reach_names[reach],
			sched_upstream_last_answer_ms_ago(scheduler, upstream),
			sched_lease_left_ms(scheduler, upstream),
			upstream->tasks->len, upstream->settled,
			upstream->listed);
}

/*
 * Iterates backwards, as upstreams may be removed meanwhile. Starting and ending
 * runs neither unsettles nor cordons an upstream, so the other scans of this pass
 * use what this one finds.
 */
void sched_upstreams_run(wwh_scheduler_t *scheduler)
{
	bool any_unsettled = false;

	scheduler->idle_upstreams = 0;
	g_ptr_array_set_size(scheduler->draining, 0);
	for (guint i = scheduler->run_order->len; i > 0; i--) {
		sched_upstream_t *upstream;

		if (i > scheduler->run_order->len)
			continue;
		if (g_array_index(scheduler->wake_ms, int64_t, i - 1) >
		    scheduler->now_ms) {
			scheduler->idle_upstreams++;
			continue;
		}
		upstream = g_ptr_array_index(scheduler->run_order, i - 1);
		any_unsettled = any_unsettled || !upstream->settled;
		scheduler->idle_upstreams += sched_upstream_is_idle(upstream);
		run_upstream(scheduler, upstream);
	}
	if (any_unsettled)
		sched_poll_unsettled(scheduler);
	sched_speed_review(scheduler);
}

/*
 * Returns when an idle upstream needs a pass again, if nothing happens to it; 0,
 * at once, for any other upstream.
 */
static int64_t wake_ms(const sched_upstream_t *upstream)
{
	int64_t wake =
		upstream->poll_in_flight ? G_MAXINT64 : upstream->next_poll_ms;

	if (!sched_upstream_is_idle(upstream) || upstream->cordoned ||
	    upstream->info.leaving || !upstream->record_written ||
	    upstream->termination_reason != NULL || upstream->awaits_ack)
		return 0;
	if (upstream->lease_end_ms != 0 && !upstream->lease_end_handled)
		wake = MIN(wake, upstream->lease_end_ms);
	return wake;
}

static void mark_settled(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	if (upstream->settled)
		return;
	upstream->settled = true;
	sched_inherited_starts_resolve(scheduler, upstream, false);
	if (upstream->inherited)
		sched_pool_settle_one(scheduler, upstream->pool);
	sched_explain(scheduler, "upstream-settled", upstream->info.id,
		      "tasks=%u orphans=%d", upstream->tasks->len,
		      upstream->orphans);
}

static void handle_ended(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
			 const wwh_ended_task_t *row)
{
	sched_task_t *task;

	if (row->number <= upstream->ends_received)
		return;
	upstream->ends_received = row->number;
	sched_upstream_await_ack(scheduler, upstream);
	task = sched_job_listed_task(scheduler, row->task);
	if (task == NULL) {
		sched_explain(
			scheduler, "end-of-unknown-task", row->task,
			"run=%" G_GINT64_FORMAT " how=%s upstream=%s"
			" number=%" G_GINT64_FORMAT " born=%" G_GINT64_FORMAT,
			row->run, wwh_end_kind_names[row->kind],
			upstream->info.id, row->number, upstream->born_ms);
		return;
	}
	if (changes_progress(task, row))
		upstream->last_progress_end = row->number;
	handle_task_end(scheduler, upstream, task, row);
}

static bool changes_progress(const sched_task_t *task,
			     const wwh_ended_task_t *row)
{
	return !task->step->spec->lasting &&
	       sched_job_is_live(task->step->occurrence->job) &&
	       (row->kind == WWH_END_DONE || row->kind == WWH_END_FAILED);
}

static void handle_task_end(wwh_scheduler_t *scheduler,
			    sched_upstream_t *upstream, sched_task_t *task,
			    const wwh_ended_task_t *row)
{
	bool is_out = sched_task_is_outstanding(scheduler, task);
	bool is_current_run =
		task->upstream == upstream && task->run == row->run;

	sched_losses_absolve(scheduler, task, row->run);
	if (row->kind == WWH_END_FAILED) {
		/* the failure may be of a run before the current one */
		if (sched_task_state(task) != TASK_OVER)
			sched_step_task_failed(scheduler, task, row->run);
		if (is_upstream_failure(task))
			sched_upstream_failed(
				scheduler, upstream,
				is_current_run &&
					is_long_available(scheduler, task));
		task->avoided_upstream = upstream;
	}
	if (row->kind == WWH_END_DONE) {
		wwh_failure_streak_end(&upstream->failures);
	}
	if (is_out && !is_current_run)
		return; /* this run is an older one, known to be over */
	task->run = MAX(task->run, row->run);
	sched_task_set_checkpoint(task, row->checkpoint);
	if (row->kind == WWH_END_DONE && !task->step->spec->lasting &&
	    sched_task_state(task) != TASK_OVER) {
		if (is_current_run)
			sched_speed_run_done(scheduler, task);
		if (task->step->spec->gang)
			complete_gang(scheduler, task);
		else
			complete_task(scheduler, task);
		return;
	}
	if (row->kind != WWH_END_STOPPED && row->kind != WWH_END_DONE)
		sched_explain(scheduler, "run-ended", row->task,
			      "run=%" G_GINT64_FORMAT " how=%s upstream=%s",
			      row->run, wwh_end_kind_names[row->kind],
			      upstream->info.id);
	sched_task_event(scheduler, task, TASK_ENDED);
}

/*
 * Only the first failure of a task is attributed to the upstream. If a task
 * that fails everywhere counted against each upstream that it ran on, all of
 * them would be backed off, and no other task of the pool could start for up to
 * 12 s. Also counts consecutive failures of lasting tasks.
 */
static bool is_upstream_failure(sched_task_t *task)
{
	if (!task->step->spec->lasting)
		return task->failures.count <= 1;
	task->consecutive_failures++;
	return task->consecutive_failures == 1;
}

static bool is_long_available(const wwh_scheduler_t *scheduler,
			      const sched_task_t *task)
{
	return task->step->spec->lasting && task->percent >= 100 &&
	       scheduler->now_ms - task->percent_ms >= LASTING_STABLE_MS;
}

/* The members of a gang end together, so the end of one completes them all. */
static void complete_gang(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	sched_step_t *step = task->step;

	for (int32_t i = 0; i < step->spec->task_count; i++) {
		if (sched_task_state(&step->tasks[i]) != TASK_OVER)
			complete_task(scheduler, &step->tasks[i]);
	}
}

static void complete_task(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	bool live = sched_job_is_live(task->step->occurrence->job);

	sched_task_event(scheduler, task, TASK_DONE);
	if (live)
		sched_step_task_done(scheduler, task);
}

static void handle_running(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream,
			   const wwh_running_task_t *row, int64_t sent_ms)
{
	sched_task_t *task = sched_job_listed_task(scheduler, row->task);
	bool live =
		task != NULL && sched_job_is_live(task->step->occurrence->job);

	if (task != NULL && task->upstream == upstream &&
	    task->run == row->run) {
		if (task->awaits_starts)
			sched_losses_absolve(scheduler, task, row->run);
		sched_task_event(scheduler, task, TASK_LISTED);
		if (sched_task_state(task) != TASK_STOPPING)
			task->orders_in_flight = 0;
		sched_run_listed(scheduler, task, sent_ms);
		update_task(scheduler, task, row);
		sched_speed_run_listed(scheduler, task, row->percent);
		return;
	}
	if (live && sched_task_state(task) == TASK_WAITING &&
	    row->run >= task->run && (task->inherited || task->awaits_pool)) {
		sched_task_adopt(scheduler, task, upstream, row->run);
		sched_run_listed(scheduler, task, sent_ms);
		update_task(scheduler, task, row);
		sched_speed_run_listed(scheduler, task, row->percent);
		return;
	}
	handle_orphan(scheduler, upstream, row);
}

/*
 * An orphan is a run that this holder doesn't want: a task of a job that has
 * ended, or a run that was abandoned and whose start arrived late. It is
 * stopped, and the upstream gets no new task until it has ended, because its
 * load isn't included in the upstream's used load.
 */
static void handle_orphan(wwh_scheduler_t *scheduler,
			  sched_upstream_t *upstream,
			  const wwh_running_task_t *row)
{
	int64_t *sent_ms =
		g_hash_table_lookup(upstream->orphan_stops, row->task);
	wwh_stop_order_t order = {
		.upstream = upstream->info.id,
		.endpoint = upstream->info.endpoint,
		.run = row->run,
	};

	upstream->orphans++;
	/* whether a lost job has ended isn't known, so its tasks run on */
	if (sched_task_has_unreadable_job(scheduler, row->task))
		return;
	if (sent_ms != NULL &&
	    scheduler->now_ms - *sent_ms <
		    ORPHAN_STOP_RESEND_MS + scheduler->options.stop_limit_ms)
		return;
	sent_ms = g_new(int64_t, 1);
	*sent_ms = scheduler->now_ms;
	g_hash_table_insert(upstream->orphan_stops, g_strdup(row->task),
			    sent_ms);
	sched_explain(scheduler, "orphan-run", row->task,
		      "run=%" G_GINT64_FORMAT " upstream=%s", row->run,
		      upstream->info.id);
	g_strlcpy(order.task, row->task, sizeof(order.task));
	scheduler->callbacks.stop(&order, scheduler->callbacks.client_data);
}

static void update_task(wwh_scheduler_t *scheduler, sched_task_t *task,
			const wwh_running_task_t *row)
{
	const wwh_job_step_t *spec = task->step->spec;

	sched_task_set_checkpoint(task, row->checkpoint);
	sched_progress_listed(scheduler, task, row->percent);
	task->tail_ms = row->tail_ms;
	if (!spec->lasting)
		return;
	if (is_long_available(scheduler, task)) {
		task->consecutive_failures = 0;
		wwh_failure_streak_note_work(&task->upstream->failures,
					     task->ordered_ms);
	}
	if (row->percent >= 100)
		task->unavailable_since_ms = 0;
	else if (task->unavailable_since_ms == 0)
		task->unavailable_since_ms = scheduler->now_ms;
}

/*
 * The answer is a snapshot of the upstream. A task that was there before the
 * poll was sent and is in neither list is over, though the kind of its end
 * isn't known.
 */
static void handle_unlisted_tasks(wwh_scheduler_t *scheduler,
				  sched_upstream_t *upstream,
				  const wwh_poll_answer_t *answer,
				  int64_t sent_ms)
{
	int32_t next = 0;

	for (guint i = 0; i < upstream->tasks->len;) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, i);
		guint before = upstream->tasks->len;

		if (!lists_task(answer, task, &next))
			handle_unlisted(scheduler, task, sent_ms);
		if (upstream->tasks->len == before)
			i++;
	}
}

/*
 * Upstreams list tasks in about the order in which they were started, so the
 * search begins at next, the row behind that of the task found before.
 */
static bool lists_task(const wwh_poll_answer_t *answer,
		       const sched_task_t *task, int32_t *next)
{
	char name[WWH_TASK_NAME_BYTES];

	sched_task_name(task, name);
	for (int32_t i = 0; i < answer->running_count; i++) {
		int32_t index = (*next + i) % answer->running_count;

		if (answer->running[index].run == task->run &&
		    strcmp(answer->running[index].task, name) == 0) {
			*next = index + 1;
			return true;
		}
	}
	return false;
}

static void handle_unlisted(wwh_scheduler_t *scheduler, sched_task_t *task,
			    int64_t sent_ms)
{
	switch (sched_task_state(task)) {
	case TASK_RUNNING:
		/* not >=: the start's answer may have crossed the poll */
		if (sent_ms > task->changed_ms)
			sched_task_event(scheduler, task, TASK_LOST);
		break;
	case TASK_UNSURE:
		/*
		 * The start may still arrive. After a confirmed stop the
		 * upstream refuses it, so the task can start elsewhere.
		 */
		if (sent_ms > task->changed_ms)
			sched_task_order_stop(scheduler, task);
		break;
	case TASK_STOPPING:
		/* one more restart would forget the confirmed stop */
		if (task->awaits_starts && task->starts_out > 0)
			break;
		if (task->stop_confirmed_ms == 0 ||
		    sent_ms <= task->stop_confirmed_ms)
			break;
		sched_task_event(scheduler, task, TASK_LOST);
		if (task->awaits_starts)
			sched_losses_give_up(scheduler, task);
		break;
	default:
		break;
	}
}

/*
 * An upstream may answer polls and yet make no progress. Its hung tasks are
 * stopped, to be started elsewhere; otherwise their callers would wait forever,
 * and a step with one such task would never end.
 */
static void stop_hung_tasks(wwh_scheduler_t *scheduler,
			    sched_upstream_t *upstream)
{
	for (guint i = 0; i < upstream->tasks->len; i++) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, i);
		bool lasting = task->step->spec->lasting;
		int64_t since_ms =
			lasting ? task->unavailable_since_ms : task->percent_ms;
		bool may_hang = since_ms != 0;
		char name[WWH_TASK_NAME_BYTES];

		since_ms = MAX(since_ms, task->changed_ms);
		if (sched_task_state(task) != TASK_RUNNING || !may_hang ||
		    task->pace_wanted < 100 ||
		    !(lasting ? scheduler->now_ms - since_ms >=
					LASTING_HANG_TIMEOUT_MS
			      : sched_progress_hangs(scheduler, task,
						     since_ms)))
			continue;
		sched_task_name(task, name);
		sched_explain(scheduler, "run-hangs", name,
			      "run=%" G_GINT64_FORMAT " upstream=%s percent=%d"
			      " since_ms=%" G_GINT64_FORMAT
			      " one_percent_ms=%" G_GINT64_FORMAT,
			      task->run, upstream->info.id, task->percent,
			      scheduler->now_ms - since_ms,
			      task->one_percent_ms);
		task->hangs++;
		task->avoided_upstream = upstream;
		sched_task_order_stop(scheduler, task);
		sched_upstream_back_off(scheduler, upstream, HANG_BACKOFF_MS);
	}
}

static void run_upstream(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	if (sched_upstream_end_if_over(scheduler, upstream))
		return;
	sched_orders_repeat(scheduler, upstream);
	sched_isolation_update(upstream);
	if (upstream->settled && !sched_start_is_confirmed(scheduler, upstream))
		scheduler->awaits_confirmation = true;
	if (upstream->settled)
		sched_poll_if_due(scheduler, upstream);
	if (upstream->settled && upstream->listed &&
	    !upstream->record_written && sched_previous_is_fenced(scheduler))
		sched_upstream_write_record(scheduler, upstream);
	if (upstream->cordoned || upstream->info.leaving)
		g_ptr_array_add(scheduler->draining, upstream);
	g_array_index(scheduler->wake_ms, int64_t, upstream->run_index) =
		wake_ms(upstream);
}
