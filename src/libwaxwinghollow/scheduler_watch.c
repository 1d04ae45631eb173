#include "private/scheduler_state.h"

#include <string.h>

/*
 * Refusals in a row after which its process is taken as ended. A process
 * that runs listens; two, as one may be a connection reset on its way.
 */
#define REFUSALS_OF_AN_ENDED_ONE 2

/* A stop that got no answer is sent again after this. */
#define STOP_REPEAT_MS 400

/*
 * A task whose progress stands still for so long hangs: tasks take a few
 * seconds and are listed once a second, and restoring a checkpoint takes
 * well under a second.
 */
#define HANGS_AFTER_MS 1600

/* A lasting task that runs and isn't at work for so long. */
#define LASTING_HANGS_AFTER_MS 2500

/*
 * A lasting task that was at work for so long ended for another reason than the
 * one before: a task that fails by its own fault does so sooner.
 */
#define LASTING_SOUND_MS 5000

/* Where a task hung, others will. */
#define HANG_BACKOFF_MS 3000

static void settle(wwh_scheduler_t *scheduler, sched_upstream_t *upstream);
static void take_ended(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
		       const wwh_ended_task_t *row);
static bool changes_progress(const sched_task_t *task,
			     const wwh_ended_task_t *row);
static void take_end_of(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
			sched_task_t *task, const wwh_ended_task_t *row);
static bool blames_upstream(sched_task_t *task);
static void take_gang_done(wwh_scheduler_t *scheduler, sched_task_t *task);
static void take_done(wwh_scheduler_t *scheduler, sched_task_t *task);
static void take_running(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
			 const wwh_running_task_t *row);
static void take_orphan(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
			const wwh_running_task_t *row);
static void take_figures(wwh_scheduler_t *scheduler, sched_task_t *task,
			 const wwh_running_task_t *row);
static void find_lost(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
		      const wwh_poll_answer_t *answer, int64_t sent_ms);
static bool lists(const wwh_poll_answer_t *answer, const sched_task_t *task);
static void judge_unlisted(wwh_scheduler_t *scheduler, sched_task_t *task,
			   int64_t sent_ms);
static void stop_hanging(wwh_scheduler_t *scheduler,
			 sched_upstream_t *upstream);
static void repeat_orders(wwh_scheduler_t *scheduler,
			  sched_upstream_t *upstream);
static void run_one(wwh_scheduler_t *scheduler, sched_upstream_t *upstream);
static void keep_upstream(wwh_scheduler_t *scheduler,
			  sched_upstream_t *upstream);

void wwh_scheduler_handle_poll_answer(wwh_scheduler_t *scheduler,
				      const char *id,
				      const wwh_poll_answer_t *answer,
				      int64_t sent_ms, int64_t now_ms)
{
	sched_upstream_t *upstream = sched_upstream_find(scheduler, id);

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (upstream == NULL)
		return;
	upstream->poll_in_flight = false;
	upstream->answered_ms = scheduler->now_ms;
	upstream->failed_polls = 0;
	upstream->refused_polls = 0;
	upstream->clock_base_ms = scheduler->now_ms;
	upstream->clock_base_remote_ms = answer->remote_ms;
	if (upstream->inherited && !upstream->settled)
		sched_lease_inherit(upstream, answer->remote_ms);
	sched_lease_recompute(upstream);
	for (int32_t i = 0; i < answer->ended_count; i++)
		take_ended(scheduler, upstream, &answer->ended[i]);
	if (upstream->termination_reason != NULL) {
		/* its ends count; of what it lists as running nothing is left */
		sched_upstream_remove(scheduler, upstream,
				      upstream->termination_reason);
		return;
	}
	upstream->orphans = 0;
	for (int32_t i = 0; i < answer->running_count; i++)
		take_running(scheduler, upstream, &answer->running[i]);
	if (upstream->orphans == 0)
		g_hash_table_remove_all(upstream->orphan_stops);
	if (answer->ended_complete)
		find_lost(scheduler, upstream, answer, sent_ms);
	stop_hanging(scheduler, upstream);
	sched_pace_fillers(scheduler, upstream);
	settle(scheduler, upstream);
	upstream->idle_gap_ms = sched_poll_idle_gap_ms(scheduler, upstream);
	upstream->next_poll_ms =
		scheduler->now_ms + MAX(sched_poll_gap_ms(scheduler, upstream),
					upstream->idle_gap_ms);
	upstream->pool->dirty = true;
}

void wwh_scheduler_handle_poll_failure(wwh_scheduler_t *scheduler,
				       const char *id, bool refused,
				       int64_t now_ms)
{
	sched_upstream_t *upstream = sched_upstream_find(scheduler, id);

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (upstream == NULL)
		return;
	upstream->poll_in_flight = false;
	if (upstream->termination_reason != NULL) {
		sched_upstream_remove(scheduler, upstream,
				      upstream->termination_reason);
		return;
	}
	upstream->failed_polls++;
	upstream->refused_polls = refused ? upstream->refused_polls + 1 : 0;
	upstream->next_poll_ms =
		scheduler->now_ms + sched_poll_retry_ms(upstream);
	if (upstream->failed_polls == 1)
		sched_explain(scheduler, "upstream-silent", id,
			      "refused=%d last_answer_ms_ago=%" G_GINT64_FORMAT
			      " tasks=%u settled=%d",
			      refused,
			      scheduler->now_ms - upstream->answered_ms,
			      upstream->tasks->len, upstream->settled);
	if (upstream->refused_polls >= REFUSALS_OF_AN_ENDED_ONE)
		sched_upstream_remove(scheduler, upstream, "refused");
}

void wwh_scheduler_handle_poll_other_incarnation(wwh_scheduler_t *scheduler,
						 const char *id, int64_t now_ms)
{
	sched_upstream_t *upstream = sched_upstream_find(scheduler, id);

	if (upstream != NULL)
		upstream->poll_in_flight = false;
	wwh_scheduler_upstream_terminated(scheduler, id, "restarted", now_ms);
}

/* Removal while iterating: the ids of those to run are taken first. */
void sched_upstreams_run(wwh_scheduler_t *scheduler)
{
	GList *all = g_hash_table_get_values(scheduler->upstreams);

	scheduler->idle_upstreams = 0;
	for (GList *at = all; at != NULL; at = at->next) {
		scheduler->idle_upstreams += sched_upstream_is_idle(at->data);
		run_one(scheduler, at->data);
	}
	g_list_free(all);
	sched_poll_unsettled(scheduler);
}

static void settle(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	if (upstream->settled)
		return;
	upstream->settled = true;
	if (upstream->inherited)
		sched_pool_settle_one(scheduler, upstream->pool);
	sched_explain(scheduler, "upstream-settled", upstream->info.id,
		      "tasks=%u orphans=%d", upstream->tasks->len,
		      upstream->orphans);
}

static void take_ended(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
		       const wwh_ended_task_t *row)
{
	sched_task_t *task;

	if (row->number <= upstream->ends_seen)
		return;
	upstream->ends_seen = row->number;
	scheduler->has_unflushed_ends = true;
	task = sched_job_task(scheduler, row->task);
	if (task == NULL)
		return;
	if (changes_progress(task, row))
		upstream->last_progress_end = row->number;
	take_end_of(scheduler, upstream, task, row);
}

static bool changes_progress(const sched_task_t *task,
			     const wwh_ended_task_t *row)
{
	return !task->step->spec->lasting &&
	       sched_job_is_live(task->step->occurrence->job) &&
	       (row->kind == WWH_END_DONE || row->kind == WWH_END_FAILED);
}

static void take_end_of(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
			sched_task_t *task, const wwh_ended_task_t *row)
{
	bool is_out = sched_task_is_outstanding(scheduler, task);
	bool mine = task->upstream == upstream && task->run == row->run;

	if (row->kind == WWH_END_FAILED) {
		/* also of a run before the one that is out now */
		if (sched_task_state(task) != TASK_OVER)
			sched_step_task_failed(scheduler, task, row->run);
		if (blames_upstream(task))
			sched_upstream_failed(scheduler, upstream);
		task->avoided_upstream = upstream;
	}
	if (row->kind == WWH_END_DONE) {
		upstream->fail_streak = 0;
		upstream->backoffs = 0;
	}
	if (is_out && !mine)
		return; /* an older run, that is known to be over */
	task->run = MAX(task->run, row->run);
	sched_task_set_checkpoint(task, row->checkpoint);
	if (row->kind == WWH_END_DONE && !task->step->spec->lasting &&
	    sched_task_state(task) != TASK_OVER) {
		if (task->step->spec->gang)
			take_gang_done(scheduler, task);
		else
			take_done(scheduler, task);
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
 * A task that fails everywhere is blamed on one upstream. Blamed on each that it
 * ran on, it makes all of them be avoided, and all other tasks of the pool stay
 * away for up to 12 s.
 */
static bool blames_upstream(sched_task_t *task)
{
	if (!task->step->spec->lasting)
		return task->failures.count <= 1;
	task->consecutive_failures++;
	return task->consecutive_failures == 1;
}

/* Members end together; the end of one stands for all of them. */
static void take_gang_done(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	sched_step_t *step = task->step;

	for (int32_t i = 0; i < step->spec->task_count; i++) {
		if (sched_task_state(&step->tasks[i]) != TASK_OVER)
			take_done(scheduler, &step->tasks[i]);
	}
}

static void take_done(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	bool live = sched_job_is_live(task->step->occurrence->job);

	sched_task_event(scheduler, task, TASK_DONE);
	if (live)
		sched_step_task_done(scheduler, task);
}

static void take_running(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
			 const wwh_running_task_t *row)
{
	sched_task_t *task = sched_job_task(scheduler, row->task);
	bool live =
		task != NULL && sched_job_is_live(task->step->occurrence->job);

	if (task != NULL && task->upstream == upstream &&
	    task->run == row->run) {
		sched_task_event(scheduler, task, TASK_LISTED);
		task->order_in_flight =
			sched_task_state(task) == TASK_STOPPING &&
			task->order_in_flight;
		take_figures(scheduler, task, row);
		return;
	}
	if (live && sched_task_state(task) == TASK_WAITING &&
	    row->run >= task->run && task->inherited) {
		sched_task_adopt(scheduler, task, upstream, row->run);
		take_figures(scheduler, task, row);
		return;
	}
	take_orphan(scheduler, upstream, row);
}

/*
 * Something runs that this holder doesn't want there: a task of a job that
 * has ended, or a run that was given up and whose start arrived late. It is
 * stopped, and the upstream gets nothing new until it is gone, since the
 * room it takes isn't in our books.
 */
static void take_orphan(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
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
	/* its job isn't known to have ended: only its caller can tell */
	if (sched_task_is_lost(scheduler, row->task))
		return;
	if (sent_ms != NULL &&
	    scheduler->now_ms - *sent_ms <
		    STOP_REPEAT_MS + scheduler->options.stop_limit_ms)
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

static void take_figures(wwh_scheduler_t *scheduler, sched_task_t *task,
			 const wwh_running_task_t *row)
{
	const wwh_job_step_t *spec = task->step->spec;

	sched_task_set_checkpoint(task, row->checkpoint);
	if (row->percent != task->percent) {
		task->percent = row->percent;
		task->percent_ms = scheduler->now_ms;
	}
	task->tail_ms = row->tail_ms;
	if (!spec->lasting)
		return;
	if (row->percent >= 100 &&
	    scheduler->now_ms - task->percent_ms >= LASTING_SOUND_MS)
		task->consecutive_failures = 0;
	if (row->percent >= 100)
		task->unavailable_since_ms = 0;
	else if (task->unavailable_since_ms == 0)
		task->unavailable_since_ms = scheduler->now_ms;
}

/*
 * The answer is a snapshot of the upstream: what was there before the poll
 * was sent and is in neither list is over, though its end isn't known.
 */
static void find_lost(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
		      const wwh_poll_answer_t *answer, int64_t sent_ms)
{
	for (guint i = 0; i < upstream->tasks->len;) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, i);
		guint before = upstream->tasks->len;

		if (!lists(answer, task))
			judge_unlisted(scheduler, task, sent_ms);
		if (upstream->tasks->len == before)
			i++;
	}
}

static bool lists(const wwh_poll_answer_t *answer, const sched_task_t *task)
{
	char name[WWH_TASK_NAME_BYTES];

	sched_task_name(task, name);
	for (int32_t i = 0; i < answer->running_count; i++) {
		if (answer->running[i].run == task->run &&
		    strcmp(answer->running[i].task, name) == 0)
			return true;
	}
	return false;
}

static void judge_unlisted(wwh_scheduler_t *scheduler, sched_task_t *task,
			   int64_t sent_ms)
{
	switch (sched_task_state(task)) {
	case TASK_RUNNING:
		/* strictly: the start's answer may have crossed the poll */
		if (sent_ms > task->changed_ms)
			sched_task_event(scheduler, task, TASK_LOST);
		break;
	case TASK_UNSURE:
		/*
		 * The start may still arrive. A confirmed stop makes the
		 * upstream refuse it then, so the task can go elsewhere.
		 */
		if (sent_ms > task->changed_ms)
			sched_task_order_stop(scheduler, task);
		break;
	case TASK_STOPPING:
		if (task->stop_confirmed_ms != 0 &&
		    sent_ms > task->stop_confirmed_ms)
			sched_task_event(scheduler, task, TASK_LOST);
		break;
	default:
		break;
	}
}

/*
 * An upstream may answer well and yet do no work. What hangs there is
 * started elsewhere; without that, its callers wait for ever, and a step
 * with one such task never ends.
 */
static void stop_hanging(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	for (guint i = 0; i < upstream->tasks->len; i++) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, i);
		bool lasting = task->step->spec->lasting;
		int64_t since_ms =
			lasting ? task->unavailable_since_ms : task->percent_ms;
		int64_t limit_ms =
			lasting ? LASTING_HANGS_AFTER_MS : HANGS_AFTER_MS;
		char name[WWH_TASK_NAME_BYTES];

		if (sched_task_state(task) != TASK_RUNNING || since_ms == 0 ||
		    task->pace_wanted < 100 ||
		    scheduler->now_ms - MAX(since_ms, task->changed_ms) <
			    limit_ms)
			continue;
		sched_task_name(task, name);
		sched_explain(scheduler, "run-hangs", name,
			      "run=%" G_GINT64_FORMAT " upstream=%s percent=%d",
			      task->run, upstream->info.id, task->percent);
		task->avoided_upstream = upstream;
		sched_task_order_stop(scheduler, task);
		sched_upstream_back_off(scheduler, upstream, HANG_BACKOFF_MS);
	}
}

static void repeat_orders(wwh_scheduler_t *scheduler,
			  sched_upstream_t *upstream)
{
	for (guint i = 0; i < upstream->tasks->len; i++) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, i);

		if (sched_task_state(task) == TASK_STOPPING &&
		    !task->order_in_flight && task->stop_confirmed_ms == 0 &&
		    scheduler->now_ms - task->stop_sent_ms >= STOP_REPEAT_MS)
			sched_task_order_stop(scheduler, task);
	}
}

static void run_one(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	int64_t now_ms = scheduler->now_ms;

	if (upstream->termination_reason != NULL) {
		if (!sched_upstream_awaits_final_report(scheduler, upstream))
			sched_upstream_remove(scheduler, upstream,
					      upstream->termination_reason);
		return;
	}
	if (upstream->inherited && !upstream->settled &&
	    now_ms >= upstream->inherited_lease_end_ms) {
		sched_upstream_remove(scheduler, upstream, "lease-lapsed");
		return;
	}
	if (upstream->lease_end_ms != 0 && now_ms >= upstream->lease_end_ms &&
	    !upstream->lease_end_handled) {
		upstream->lease_end_handled = true;
		sched_upstream_lose_tasks(scheduler, upstream, "lease-lapsed");
		if (!upstream->listed) {
			sched_upstream_remove(scheduler, upstream, "lapsed");
			return;
		}
	}
	if (!upstream->listed && upstream->settled &&
	    upstream->tasks->len == 0 && upstream->orphans == 0) {
		sched_upstream_remove(scheduler, upstream, "unlisted");
		return;
	}
	repeat_orders(scheduler, upstream);
	if (upstream->settled)
		sched_poll_if_due(scheduler, upstream);
	if (upstream->settled && upstream->listed && !upstream->record_written)
		keep_upstream(scheduler, upstream);
}

/* Before the first start: a holder after this one has to ask it. */
static void keep_upstream(wwh_scheduler_t *scheduler,
			  sched_upstream_t *upstream)
{
	GBytes *value = sched_upstream_encode(upstream);

	upstream->record_written = true;
	upstream->record_number = scheduler->callbacks.write_record(
		WWH_SCHEDULER_RECORD_UPSTREAM, upstream->info.id, value,
		scheduler->callbacks.client_data);
	scheduler->newest_record = upstream->record_number;
	g_bytes_unref(value);
}
