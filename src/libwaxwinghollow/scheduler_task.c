#include "private/scheduler_state.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Added to the computed end of a lease, for answers that we process late. */
#define LAPSE_MARGIN_MS 60

/*
 * A holder computes the end of a lease from the upstream's clock at its last
 * answer. If that clock is 2% slow and the answer 5 s old, the computed time is
 * ahead by this. Starts are sent only to upstreams that answered within
 * SILENT_AFTER_MS plus their idle gap (sched_upstream_usable).
 */
#define CLOCK_AHEAD_MS 100

/* Of any 64-bit number. */
#define MAX_DIGITS 20

static char *append_number(char *at, int64_t number);
static void attach_to_upstream(wwh_scheduler_t *scheduler, sched_task_t *task,
			       sched_upstream_t *upstream);
static void release_load(sched_task_t *task);
static void detach_from_upstream(wwh_scheduler_t *scheduler,
				 sched_task_t *task);

sched_task_state_t sched_task_state(const sched_task_t *task)
{
	return (sched_task_state_t)task->machine.state;
}

bool sched_task_is_outstanding(const wwh_scheduler_t *scheduler,
			       const sched_task_t *task)
{
	return wwh_chart_has_tag(&task->machine, scheduler->outstanding_tag);
}

/* As "%s.%d.%d.%d" would. An answer to a poll takes a name for each task. */
void sched_task_name(const sched_task_t *task, char *name)
{
	const sched_step_t *step = task->step;
	char *at = g_stpcpy(name, step->occurrence->job->id);

	*at++ = '.';
	at = append_number(at, step->occurrence->number);
	*at++ = '.';
	at = append_number(at, step->number);
	*at++ = '.';
	at = append_number(at, task->index);
	*at = '\0';
}

bool sched_task_parse(const char *name, char *id, int64_t *occurrence,
		      int32_t *step, int32_t *index)
{
	long long numbers[3];
	const char *cursor = name + WWH_JOB_ID_CHARS;
	char *end;

	if (strnlen(name, WWH_TASK_NAME_BYTES) <= WWH_JOB_ID_CHARS)
		return false;
	for (int32_t i = 0; i < 3; i++) {
		if (*cursor != '.' || !g_ascii_isdigit(cursor[1]))
			return false;
		numbers[i] = strtoll(cursor + 1, &end, 10);
		cursor = end;
	}
	memcpy(id, name, WWH_JOB_ID_CHARS);
	id[WWH_JOB_ID_CHARS] = '\0';
	*occurrence = numbers[0];
	*step = (int32_t)MIN(numbers[1], INT32_MAX);
	*index = (int32_t)MIN(numbers[2], INT32_MAX);
	return *cursor == '\0';
}

void sched_task_start(wwh_scheduler_t *scheduler, sched_task_t *task,
		      sched_upstream_t *upstream, int64_t run,
		      const char *ticket)
{
	g_assert(sched_task_state(task) == TASK_WAITING);
	g_assert(run > task->run);
	g_assert(sched_job_is_live(task->step->occurrence->job));
	/*
	 * Checked for starts only, not for outstanding tasks: a new holder
	 * finds tasks whose start followed from ends that it hasn't received.
	 */
	g_assert(sched_step_is_ready(task->step));
	task->run = run;
	sched_task_event(scheduler, task, TASK_ORDER);
	attach_to_upstream(scheduler, task, upstream);
	sched_run_begin(scheduler, task);
	sched_isolation_begin(scheduler, task);
	sched_order_sent(scheduler, task);
	task->starts_out = 0;
	task->starts_unrefused = 0;
	task->awaits_starts = false;
	task->stop_sent_ms = 0;
	task->stop_confirmed_ms = 0;
	task->pace = 100;
	task->pace_wanted = 100;
	task->adopted_ms = 0;
	sched_progress_begin(scheduler, task, false);
	if (task->unavailable_since_ms == 0)
		task->unavailable_since_ms = scheduler->now_ms;
	task->step->occurrence->job->started = true;
	sched_room_job_started(scheduler, task->step->occurrence->job);
	sched_task_send_start(scheduler, task, ticket);
}

void sched_task_send_start(wwh_scheduler_t *scheduler, sched_task_t *task,
			   const char *ticket)
{
	sched_upstream_t *upstream = task->upstream;
	wwh_start_order_t order = {
		.upstream = upstream->info.id,
		.endpoint = upstream->info.endpoint,
		.run = task->run,
		.payload = task->step->occurrence->job->spec->payload,
		.checkpoint = task->checkpoint == NULL ? "" : task->checkpoint,
		.ticket = ticket,
	};

	sched_task_name(task, order.task);
	order.lease_until_remote_ms = sched_lease_extend(scheduler, upstream);
	task->starts_out++;
	task->starts_unrefused++;
	scheduler->callbacks.start(&order, scheduler->callbacks.client_data);
}

void sched_task_adopt(wwh_scheduler_t *scheduler, sched_task_t *task,
		      sched_upstream_t *upstream, int64_t run)
{
	g_assert(sched_task_state(task) == TASK_WAITING);
	task->run = MAX(task->run, run);
	sched_task_event(scheduler, task, TASK_LISTED);
	attach_to_upstream(scheduler, task, upstream);
	sched_run_begin(scheduler, task);
	sched_run_accepted(scheduler, task);
	sched_isolation_begin(scheduler, task);
	task->orders_in_flight = 0;
	task->starts_out = 0;
	task->starts_unrefused = 0;
	task->awaits_starts = false;
	task->stop_sent_ms = 0;
	task->stop_confirmed_ms = 0;
	task->pace = 100;
	task->pace_wanted = 100;
	sched_progress_begin(scheduler, task, true);
	task->unavailable_since_ms = scheduler->now_ms;
	task->adopted_ms = scheduler->now_ms;
	task->inherited = false;
	task->awaits_pool = true;
	sched_inherited_run_found(scheduler, task);
	task->step->occurrence->job->started = true;
}

void sched_task_event(wwh_scheduler_t *scheduler, sched_task_t *task,
		      sched_task_event_t event)
{
	bool was_outstanding = sched_task_is_outstanding(scheduler, task);
	sched_task_state_t before = sched_task_state(task);

	(void)wwh_chart_step(&task->machine, event, scheduler->now_ms, task);
	if (sched_task_state(task) == before)
		return;
	scheduler->unanswered_starts +=
		(sched_task_state(task) == TASK_STARTING) -
		(before == TASK_STARTING);
	task->changed_ms = scheduler->now_ms;
	if (was_outstanding && !sched_task_is_outstanding(scheduler, task)) {
		if (task->step->spec->lasting &&
		    task->unavailable_since_ms == 0)
			task->unavailable_since_ms = scheduler->now_ms;
		detach_from_upstream(scheduler, task);
		task->step->occurrence->job->pool->dirty = true;
	}
}

void sched_task_order_stop(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	sched_task_event(scheduler, task, TASK_STOP);
	task->stop_sent_ms = scheduler->now_ms;
	sched_order_sent(scheduler, task);
	sched_task_send_stop(scheduler, task);
}

void sched_task_send_stop(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	wwh_stop_order_t order = {
		.upstream = task->upstream->info.id,
		.endpoint = task->upstream->info.endpoint,
		.run = task->run,
	};

	sched_task_name(task, order.task);
	scheduler->callbacks.stop(&order, scheduler->callbacks.client_data);
}

void sched_task_set_checkpoint(sched_task_t *task, const char *checkpoint)
{
	if (checkpoint == NULL || checkpoint[0] == '\0' ||
	    g_strcmp0(task->checkpoint, checkpoint) == 0)
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

int64_t sched_lease_requested_ms(const wwh_scheduler_t *scheduler)
{
	return MIN(scheduler->options.lease_ms,
		   scheduler->options.lease_max_ms);
}

int64_t sched_lease_max_remaining_ms(int64_t lease_ms)
{
	return (lease_ms + CLOCK_AHEAD_MS) * PERMILLE /
		       (PERMILLE - CLOCK_SLOW_PERMILLE) +
	       LAPSE_MARGIN_MS + WWH_OVERTAKEN_HOLDER_MS;
}

/*
 * A lease counts from the moment it was requested, because the order may arrive
 * late. A later request never shortens it.
 */
int64_t sched_lease_extend(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream)
{
	int64_t lease_ms = MIN(sched_lease_requested_ms(scheduler),
			       upstream->recorded_lease_ms);
	int64_t remote_ms;

	if (upstream->clock_base_remote_ms == 0)
		return 0;
	if (scheduler->now_ms - scheduler->authority_ms >
		    WWH_OVERTAKEN_HOLDER_MS ||
	    !sched_start_is_confirmed(scheduler, upstream))
		return upstream->lease_until_remote_ms;
	remote_ms = upstream->clock_base_remote_ms + scheduler->now_ms -
		    upstream->clock_base_ms;
	upstream->lease_until_remote_ms =
		MAX(upstream->lease_until_remote_ms, remote_ms + lease_ms);
	upstream->extended_ms = scheduler->now_ms;
	scheduler->extended_ms = scheduler->now_ms;
	sched_lease_recompute(upstream);
	return upstream->lease_until_remote_ms;
}

static int64_t ms_ago(const wwh_scheduler_t *scheduler, int64_t ms)
{
	return ms == 0 ? -1 : scheduler->now_ms - ms;
}

void sched_lease_explain_lapse(const wwh_scheduler_t *scheduler,
			       const sched_upstream_t *upstream)
{
	sched_explain(scheduler, "lease-lapsed", upstream->info.id,
		      "tasks=%u inherited=%d settled=%d"
		      " last_answer_ms_ago=%" G_GINT64_FORMAT
		      " extended_ms_ago=%" G_GINT64_FORMAT
		      " confirmed_ms_ago=%" G_GINT64_FORMAT
		      " taken_over_ms_ago=%" G_GINT64_FORMAT,
		      upstream->tasks->len, upstream->inherited,
		      upstream->settled,
		      sched_upstream_last_answer_ms_ago(scheduler, upstream),
		      ms_ago(scheduler, upstream->extended_ms),
		      MAX(scheduler->now_ms - scheduler->confirmed_ms, 0),
		      scheduler->now_ms - scheduler->taken_over_ms);
}

/*
 * A previous holder may have requested a longer lease than this one does. An
 * upstream that answers once and then becomes unreachable runs its tasks until
 * that lease ends. Started elsewhere earlier, they would run twice.
 */
void sched_lease_inherit(sched_upstream_t *upstream, int64_t remote_ms)
{
	upstream->inherited_lease_until_remote_ms =
		remote_ms + upstream->recorded_lease_ms + CLOCK_AHEAD_MS;
}

void sched_lease_assume_longest(const wwh_scheduler_t *scheduler,
				sched_upstream_t *upstream, int64_t remote_ms)
{
	upstream->lease_until_remote_ms = 0;
	upstream->inherited_lease_until_remote_ms =
		remote_ms + scheduler->options.lease_max_ms + CLOCK_AHEAD_MS;
}

void sched_lease_recompute(sched_upstream_t *upstream)
{
	int64_t until_remote_ms =
		MAX(upstream->lease_until_remote_ms,
		    upstream->inherited_lease_until_remote_ms);
	int64_t left_ms = until_remote_ms - upstream->clock_base_remote_ms;

	if (until_remote_ms == 0)
		return;
	upstream->lease_end_ms =
		upstream->clock_base_ms + LAPSE_MARGIN_MS +
		left_ms * PERMILLE / (PERMILLE - CLOCK_SLOW_PERMILLE) + 1;
	upstream->lease_end_handled = false;
}

int64_t sched_lease_end_ms(const sched_upstream_t *upstream)
{
	bool was_read = upstream->settled || upstream->answered_ms != 0;

	return upstream->inherited && !was_read
		       ? upstream->inherited_lease_end_ms
		       : upstream->lease_end_ms;
}

int64_t sched_lease_left_ms(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream)
{
	return MAX(sched_lease_end_ms(upstream) - scheduler->now_ms, 0);
}

void sched_explain(const wwh_scheduler_t *scheduler, const char *event,
		   const char *subject, const char *format, ...)
{
	char detail[256];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(detail, sizeof(detail), format, arguments);
	va_end(arguments);
	scheduler->callbacks.explain(event, subject, detail,
				     scheduler->callbacks.client_data);
}

static char *append_number(char *at, int64_t number)
{
	uint64_t rest = number < 0 ? -(uint64_t)number : (uint64_t)number;
	char digits[MAX_DIGITS];
	int32_t count = 0;

	if (number < 0)
		*at++ = '-';
	do {
		digits[count++] = (char)('0' + rest % 10);
		rest /= 10;
	} while (rest > 0);
	while (count > 0)
		*at++ = digits[--count];
	return at;
}

static void attach_to_upstream(wwh_scheduler_t *scheduler, sched_task_t *task,
			       sched_upstream_t *upstream)
{
	wwh_load_t taken = sched_step_reserved_load(task->step->spec);

	g_assert(task->upstream == NULL);
	task->upstream = upstream;
	/* polls report ends, so the idle gap is cut short */
	if (upstream->idle_gap_ms > 0)
		upstream->next_poll_ms =
			MIN(upstream->next_poll_ms, scheduler->now_ms);
	sched_upstream_wake(scheduler, upstream);
	g_ptr_array_add(upstream->tasks, task);
	wwh_load_add(&upstream->used, &taken);
	wwh_workspace_quota_add(scheduler->quota,
				task->step->occurrence->job->workspace,
				&task->step->spec->need);
	wwh_workspace_share_add(task->step->occurrence->job->pool->shares,
				task->step->occurrence->job->workspace, &taken);
	task->step->outstanding++;
	task->step->occurrence->job->outstanding++;
}

static void release_load(sched_task_t *task)
{
	wwh_load_t taken = sched_step_reserved_load(task->step->spec);
	sched_upstream_t *upstream = task->upstream;

	wwh_load_subtract(&upstream->used, &taken);
	g_assert(upstream->used.cpu_millicores >= 0);
	g_assert(upstream->used.memory_mb >= 0);
}

static void detach_from_upstream(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	wwh_load_t taken = sched_step_reserved_load(task->step->spec);

	g_assert(task->upstream != NULL);
	sched_isolation_end(scheduler, task);
	release_load(task);
	wwh_workspace_share_subtract(task->step->occurrence->job->pool->shares,
				     task->step->occurrence->job->workspace,
				     &taken);
	wwh_workspace_quota_subtract(scheduler->quota,
				     task->step->occurrence->job->workspace,
				     &task->step->spec->need);
	g_ptr_array_remove_fast(task->upstream->tasks, task);
	task->upstream = NULL;
	task->orders_in_flight = 0;
	task->step->outstanding--;
	task->step->occurrence->job->outstanding--;
	g_assert(task->step->outstanding >= 0);
}
