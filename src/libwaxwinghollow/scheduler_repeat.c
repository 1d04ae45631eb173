#include "private/scheduler_state.h"

/*
 * Load pattern: upstreams leave some orders without an answer, and carry them out
 * seconds later or never. A job has a dozen tasks, so most jobs meet one such
 * order. The same order is sent again as soon as its answer is overdue: an
 * upstream carries out each run once at most.
 */

/* A stop order without an answer in its time limit is sent again after this. */
#define STOP_RESEND_MS 400

/*
 * At most one order in this many is repeated, so that repetitions don't add to the
 * load of a holder that is late to read answers.
 */
#define ORDERS_PER_REPEAT 8
#define MAX_SAVED_REPEATS 32
#define FIRST_SAVED_REPEATS 8

/* Half of the time after which an order without an answer has failed. */
#define LONGEST_LIMIT_MS 500

static bool take_repeat(wwh_scheduler_t *scheduler);
static void count_repetition(wwh_scheduler_t *scheduler, sched_task_t *task);
static bool is_overdue(const wwh_scheduler_t *scheduler,
		       const sched_task_t *task, int64_t sent_ms);
static void repeat_start(wwh_scheduler_t *scheduler, sched_task_t *task);
static void repeat_stop(wwh_scheduler_t *scheduler, sched_task_t *task);

void sched_orders_init(wwh_scheduler_t *scheduler)
{
	wwh_answer_time_init(&scheduler->order_time);
	scheduler->repeat_credit = FIRST_SAVED_REPEATS * ORDERS_PER_REPEAT;
}

void sched_orders_repeat(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	for (guint i = 0; i < upstream->tasks->len; i++) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, i);

		if (sched_task_state(task) == TASK_STARTING)
			repeat_start(scheduler, task);
		else if (sched_task_state(task) == TASK_STOPPING)
			repeat_stop(scheduler, task);
	}
}

void sched_order_sent(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	task->orders_in_flight = 1;
	task->orders_sent = 1;
	scheduler->repeat_credit = MIN(scheduler->repeat_credit + 1,
				       MAX_SAVED_REPEATS * ORDERS_PER_REPEAT);
}

void sched_order_answered(wwh_scheduler_t *scheduler, const sched_task_t *task,
			  int64_t sent_ms)
{
	if (task->orders_in_flight > 0)
		wwh_answer_time_add(&scheduler->order_time,
				    scheduler->now_ms - sent_ms);
}

static bool take_repeat(wwh_scheduler_t *scheduler)
{
	if (scheduler->repeat_credit < ORDERS_PER_REPEAT)
		return false;
	scheduler->repeat_credit -= ORDERS_PER_REPEAT;
	return true;
}

static void count_repetition(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	scheduler->repeated_orders++;
	wwh_answer_time_add_overdue(&scheduler->order_time);
	task->orders_in_flight++;
	task->orders_sent++;
}

/* An order that is about to time out isn't worth a repetition. */
static bool is_overdue(const wwh_scheduler_t *scheduler,
		       const sched_task_t *task, int64_t sent_ms)
{
	int64_t limit_ms = wwh_answer_time_limit_ms(&scheduler->order_time);

	return task->orders_in_flight == 1 && task->orders_sent == 1 &&
	       limit_ms <= LONGEST_LIMIT_MS &&
	       scheduler->now_ms - sent_ms >= limit_ms;
}

/*
 * The upstream must be one that gets starts now. If it has been silent since, the
 * answers to other orders tell more than another start.
 */
static void repeat_start(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	const sched_upstream_t *upstream = task->upstream;
	const char *ticket = NULL;

	if (!is_overdue(scheduler, task, task->ordered_ms) ||
	    scheduler->starts_held ||
	    !sched_job_is_live(task->step->occurrence->job) ||
	    !sched_upstream_usable(scheduler, upstream))
		return;
	if (sched_step_needs_advice(task->step)) {
		ticket = sched_ticket_find(scheduler, task->step,
					   upstream->info.id);
		if (ticket == NULL)
			return;
	}
	if (!take_repeat(scheduler))
		return;
	count_repetition(scheduler, task);
	sched_task_send_start(scheduler, task, ticket);
}

static void repeat_stop(wwh_scheduler_t *scheduler, sched_task_t *task)
{
	if (task->stop_confirmed_ms != 0)
		return;
	if (task->orders_in_flight == 0 &&
	    scheduler->now_ms - task->stop_sent_ms >= STOP_RESEND_MS) {
		sched_task_order_stop(scheduler, task);
		return;
	}
	if (!is_overdue(scheduler, task, task->stop_sent_ms) ||
	    !take_repeat(scheduler))
		return;
	count_repetition(scheduler, task);
	sched_task_send_stop(scheduler, task);
}
