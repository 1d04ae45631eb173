#include "private/scheduler_state.h"

#include <string.h>

static void begin_incarnation(wwh_scheduler_t *scheduler,
			      sched_upstream_t *upstream,
			      const wwh_poll_answer_t *answer, int64_t sent_ms);
static void lose_runs(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
		      const wwh_poll_answer_t *answer, int64_t sent_ms);
static bool is_listed(const wwh_poll_answer_t *answer,
		      const sched_task_t *task);
static void stop_run(wwh_scheduler_t *scheduler, sched_task_t *task);
static bool may_begin_here(const sched_task_t *task, int64_t sent_ms);
static void record_longest_lease(wwh_scheduler_t *scheduler,
				 sched_upstream_t *upstream);
static bool has_jumped(const wwh_scheduler_t *scheduler,
		       const sched_upstream_t *upstream, int64_t remote_ms,
		       int64_t sent_ms);
static void begin_clock(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
			int64_t remote_ms);

/*
 * The time of a start comes from a clock that may be set back, so two of them tell
 * apart but not which one is later. A poll that was sent after an answer of one
 * incarnation can't be answered by an earlier one.
 */
bool sched_incarnation_check(wwh_scheduler_t *scheduler,
			     sched_upstream_t *upstream,
			     const wwh_poll_answer_t *answer, int64_t sent_ms)
{
	bool is_known = upstream->born_ms != 0;

	if (answer->born_ms == 0 || answer->born_ms == upstream->born_ms)
		return true;
	if (is_known && sent_ms <= upstream->born_learned_ms) {
		sched_explain(scheduler, "answer-of-other-incarnation",
			      upstream->info.id,
			      "born=%" G_GINT64_FORMAT
			      " known=%" G_GINT64_FORMAT,
			      answer->born_ms, upstream->born_ms);
		upstream->next_poll_ms = scheduler->now_ms;
		return false;
	}
	if (is_known)
		begin_incarnation(scheduler, upstream, answer, sent_ms);
	upstream->born_ms = answer->born_ms;
	upstream->born_learned_ms = scheduler->now_ms;
	return true;
}

/* What ran there before is over, and was lost in a crash. */
static void begin_incarnation(wwh_scheduler_t *scheduler,
			      sched_upstream_t *upstream,
			      const wwh_poll_answer_t *answer, int64_t sent_ms)
{
	sched_explain(scheduler, "upstream-restarted", upstream->info.id,
		      "born=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
		      " tasks=%u ends_received=%" G_GINT64_FORMAT
		      " ends_acked=%" G_GINT64_FORMAT,
		      answer->born_ms, upstream->born_ms, upstream->tasks->len,
		      upstream->ends_received, upstream->ends_acked);
	scheduler->crashed_upstreams += upstream->tasks->len > 0;
	lose_runs(scheduler, upstream, answer, sent_ms);
	sched_losses_confirm_crash(scheduler, upstream);
	sched_inherited_starts_resolve(scheduler, upstream, true);
	g_array_set_size(upstream->unclear_losses, 0);
	sched_upstream_reset_ends(scheduler, upstream);
	sched_upstream_forget_orphans(scheduler, upstream);
	sched_speed_forget(scheduler, upstream);
	upstream->failures = (wwh_failure_streak_t){ 0 };
	begin_clock(scheduler, upstream, answer->remote_ms);
	upstream->pool->dirty = true;
}

/*
 * A start whose call hasn't ended, or that was confirmed after the poll was sent, may
 * arrive at the new incarnation. It is stopped there, as the upstream then refuses
 * it, before the task runs elsewhere. A run that the answer lists has arrived there.
 */
static void lose_runs(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
		      const wwh_poll_answer_t *answer, int64_t sent_ms)
{
	GPtrArray *runs = g_ptr_array_new();

	for (guint i = 0; i < upstream->tasks->len; i++)
		g_ptr_array_add(runs, g_ptr_array_index(upstream->tasks, i));
	sched_losses_attribute(scheduler, upstream, WWH_TERMINATION_CRASH,
			       "restarted");
	for (guint i = 0; i < runs->len; i++) {
		sched_task_t *task = g_ptr_array_index(runs, i);

		task->stop_confirmed_ms = 0;
		if (is_listed(answer, task))
			sched_losses_absolve(scheduler, task, task->run);
		else if (may_begin_here(task, sent_ms))
			stop_run(scheduler, task);
		else
			sched_task_event(scheduler, task, TASK_LOST);
	}
	for (guint i = 0; i < runs->len; i++) {
		sched_task_t *task = g_ptr_array_index(runs, i);

		if (task->upstream == NULL)
			sched_losses_give_up(scheduler, task);
	}
	g_ptr_array_free(runs, TRUE);
}

static bool is_listed(const wwh_poll_answer_t *answer, const sched_task_t *task)
{
	char name[WWH_TASK_NAME_BYTES];

	sched_task_name(task, name);
	for (int32_t i = 0; i < answer->running_count; i++) {
		if (answer->running[i].run == task->run &&
		    strcmp(answer->running[i].task, name) == 0)
			return true;
	}
	for (int32_t i = 0; i < answer->ended_count; i++) {
		if (answer->ended[i].run == task->run &&
		    strcmp(answer->ended[i].task, name) == 0)
			return true;
	}
	return false;
}

static void stop_run(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	task->awaits_starts = true;
	sched_task_order_stop(scheduler, task);
}

/* Whether a start is on its way, or the new incarnation may have confirmed one. */
static bool may_begin_here(const sched_task_t *task, int64_t sent_ms)
{
	return task->starts_out > 0 || task->accepted_ms >= sent_ms;
}

/* A next holder that gets no answer has to wait for that lease, too. */
static void record_longest_lease(wwh_scheduler_t *scheduler,
				 sched_upstream_t *upstream)
{
	if (upstream->recorded_lease_ms >= scheduler->options.lease_max_ms)
		return;
	upstream->recorded_lease_ms = scheduler->options.lease_max_ms;
	if (upstream->record_written)
		sched_upstream_write_record(scheduler, upstream);
}

/*
 * An answer without a clock leaves the reading of before, from which the clock
 * has gone on.
 */
void sched_clock_read(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
		      int64_t remote_ms, int64_t sent_ms)
{
	if (remote_ms == 0 && upstream->clock_base_remote_ms != 0) {
		upstream->measures_speed = false;
		return;
	}
	if (has_jumped(scheduler, upstream, remote_ms, sent_ms)) {
		sched_explain(scheduler, "upstream-clock", upstream->info.id,
			      "clock=%" G_GINT64_FORMAT
			      " before=%" G_GINT64_FORMAT
			      " since_ms=%" G_GINT64_FORMAT,
			      remote_ms, upstream->clock_base_remote_ms,
			      scheduler->now_ms - upstream->clock_base_ms);
		begin_clock(scheduler, upstream, remote_ms);
	}
	sched_speed_begin_answer(upstream, remote_ms, sent_ms);
	upstream->clock_base_ms = scheduler->now_ms;
	upstream->clock_base_sent_ms = sent_ms;
	upstream->clock_base_remote_ms = remote_ms;
	if (upstream->inherited && !upstream->settled &&
	    upstream->inherited_lease_until_remote_ms == 0)
		sched_lease_inherit(upstream, remote_ms);
	sched_lease_recompute(upstream);
}

/*
 * A clock was read between the poll and the processing of its answer, which is
 * late while this process is frozen or overloaded. Half a lease is less than what
 * is left of one.
 */
static bool has_jumped(const wwh_scheduler_t *scheduler,
		       const sched_upstream_t *upstream, int64_t remote_ms,
		       int64_t sent_ms)
{
	int64_t least_ms = upstream->clock_base_remote_ms + sent_ms -
			   upstream->clock_base_ms;
	int64_t most_ms = upstream->clock_base_remote_ms + scheduler->now_ms -
			  upstream->clock_base_sent_ms;
	int64_t tolerance_ms = sched_lease_requested_ms(scheduler) / 2;

	if (upstream->clock_base_ms == 0)
		return false;
	if (upstream->clock_base_remote_ms == 0)
		return remote_ms != 0;
	return remote_ms < least_ms - tolerance_ms ||
	       remote_ms > most_ms + tolerance_ms;
}

/*
 * Leases were requested by the clock of before, and may have any length that the
 * upstream grants.
 */
static void begin_clock(wwh_scheduler_t *scheduler, sched_upstream_t *upstream,
			int64_t remote_ms)
{
	upstream->clock_base_ms = scheduler->now_ms;
	upstream->clock_base_remote_ms = remote_ms;
	upstream->last_offset_ms = 0;
	upstream->clock_offset_ms = 0;
	for (guint i = 0; i < upstream->tasks->len; i++) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, i);

		task->first_listed_remote_ms = 0;
		task->speed_remote_ms = 0;
	}
	sched_lease_assume_longest(scheduler, upstream, remote_ms);
	record_longest_lease(scheduler, upstream);
}
