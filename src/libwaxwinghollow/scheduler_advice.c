#include <string.h>

#include "private/scheduler_state.h"

/* Upstreams that are named in one call for advice. */
#define ADVICE_UPSTREAMS 30

/* After a call for advice that got no answer or was of no use. */
#define ADVICE_RETRY_MS 500

/* A ticket isn't used for orders in the last part of its time. */
#define TICKET_MARGIN_MS 300

void wwh_scheduler_handle_advice(wwh_scheduler_t *scheduler, const char *name,
				 const wwh_advice_ticket_t *admitted,
				 int32_t count, int64_t valid_ms,
				 int64_t now_ms)
{
	char *task_name = g_strconcat(name, ".0", NULL);
	sched_task_t *task = sched_job_task(scheduler, task_name);
	sched_step_t *step;

	g_free(task_name);
	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (task == NULL)
		return;
	step = task->step;
	step->advice_in_flight = false;
	step->advice_after_ms = scheduler->now_ms + ADVICE_RETRY_MS;
	if (step->tickets == NULL)
		step->tickets = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, g_free);
	if (count < 0 && step->asked != NULL)
		g_hash_table_remove_all(step->asked);
	for (int32_t i = 0; i < count; i++) {
		/* the text of the ticket follows its record */
		size_t size = strlen(admitted[i].ticket) + 1;
		sched_ticket_t *ticket = g_malloc0(sizeof(*ticket) + size);

		ticket->ticket = (char *)(ticket + 1);
		memcpy(ticket->ticket, admitted[i].ticket, size);
		ticket->until_ms =
			scheduler->now_ms + valid_ms - TICKET_MARGIN_MS;
		g_hash_table_replace(step->tickets,
				     g_strdup(admitted[i].upstream), ticket);
	}
	step->occurrence->job->pool->dirty = true;
}

/*
 * The ticket may have run out on the way, and the upstream be admitted all the
 * same: it is asked about again. Taken for one that isn't admitted, it would
 * never get a task of this step again.
 */
void sched_ticket_refused(sched_step_t *step, const char *upstream)
{
	if (step->tickets != NULL)
		g_hash_table_remove(step->tickets, upstream);
	if (step->asked != NULL)
		g_hash_table_remove(step->asked, upstream);
}

const char *sched_ticket_of(const wwh_scheduler_t *scheduler,
			    const sched_step_t *step, const char *upstream)
{
	const sched_ticket_t *ticket;

	if (step->tickets == NULL)
		return NULL;
	ticket = g_hash_table_lookup(step->tickets, upstream);
	if (ticket == NULL || ticket->until_ms <= scheduler->now_ms)
		return NULL;
	return ticket->ticket;
}

bool sched_step_needs_advice(const sched_step_t *step)
{
	return step->occurrence->job->spec->queue.advice_valid_ms > 0;
}

/*
 * What is admitted doesn't change: an upstream that was asked about is asked
 * about again only to renew a ticket that it got.
 */
void sched_ask_advice(wwh_scheduler_t *scheduler, sched_step_t *step)
{
	GPtrArray *upstreams = step->occurrence->job->pool->upstreams;
	const char *ids[ADVICE_UPSTREAMS];
	wwh_advice_order_t order = { .upstreams = ids };
	char name[WWH_TASK_NAME_BYTES];

	if (step->advice_in_flight || scheduler->now_ms < step->advice_after_ms)
		return;
	if (step->asked == NULL)
		step->asked = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, NULL);
	for (guint i = 0;
	     i < upstreams->len && order.upstream_count < ADVICE_UPSTREAMS;
	     i++) {
		sched_upstream_t *upstream = g_ptr_array_index(upstreams, i);
		const char *id = upstream->info.id;
		bool admitted = step->tickets != NULL &&
				g_hash_table_contains(step->tickets, id);

		if (!sched_upstream_usable(scheduler, upstream) ||
		    sched_ticket_of(scheduler, step, id) != NULL ||
		    (g_hash_table_contains(step->asked, id) && !admitted))
			continue;
		ids[order.upstream_count++] = id;
	}
	if (order.upstream_count == 0)
		return;
	for (int32_t i = 0; i < order.upstream_count; i++)
		g_hash_table_add(step->asked, g_strdup(ids[i]));
	sched_task_name(&step->tasks[0], name);
	*strrchr(name, '.') = '\0';
	g_strlcpy(order.step, name, sizeof(order.step));
	step->advice_in_flight = true;
	scheduler->callbacks.advise(&order, scheduler->callbacks.client_data);
}
