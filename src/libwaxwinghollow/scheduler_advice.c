#include <string.h>

#include "private/scheduler_state.h"

/* Upstreams in one request for advice. */
#define ADVICE_MAX_UPSTREAMS 30

/* The time from the answer to a request for advice, or its failure, to the next. */
#define ADVICE_RETRY_MS 500

/* A ticket isn't used for orders in this last part of its validity. */
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
	step->next_advice_ms = scheduler->now_ms + ADVICE_RETRY_MS;
	if (step->tickets == NULL)
		step->tickets = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, g_free);
	if (count < 0 && step->advice_requested != NULL)
		g_hash_table_remove_all(step->advice_requested);
	for (int32_t i = 0; i < count; i++) {
		/* the text is stored right after the struct */
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
 * The ticket may have expired in transit although the upstream is still admitted,
 * so advice on the upstream is requested again. If the upstream were treated as
 * not admitted, it would never receive a task of this step again.
 */
void sched_ticket_discard(sched_step_t *step, const char *upstream)
{
	if (step->tickets != NULL)
		g_hash_table_remove(step->tickets, upstream);
	if (step->advice_requested != NULL)
		g_hash_table_remove(step->advice_requested, upstream);
}

const char *sched_ticket_find(const wwh_scheduler_t *scheduler,
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
 * Admission doesn't change. Once advice on an upstream was requested, it is
 * requested again only to renew a ticket that the upstream was granted.
 */
void sched_advice_request(wwh_scheduler_t *scheduler, sched_step_t *step)
{
	GPtrArray *upstreams = step->occurrence->job->pool->upstreams;
	const char *ids[ADVICE_MAX_UPSTREAMS];
	wwh_advice_order_t order = { .upstreams = ids };
	char name[WWH_TASK_NAME_BYTES];

	if (step->advice_in_flight || scheduler->now_ms < step->next_advice_ms)
		return;
	if (step->advice_requested == NULL)
		step->advice_requested = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	for (guint i = 0;
	     i < upstreams->len && order.upstream_count < ADVICE_MAX_UPSTREAMS;
	     i++) {
		sched_upstream_t *upstream = g_ptr_array_index(upstreams, i);
		const char *id = upstream->info.id;
		bool admitted = step->tickets != NULL &&
				g_hash_table_contains(step->tickets, id);

		if (!sched_upstream_usable(scheduler, upstream) ||
		    sched_ticket_find(scheduler, step, id) != NULL ||
		    (g_hash_table_contains(step->advice_requested, id) &&
		     !admitted))
			continue;
		ids[order.upstream_count++] = id;
	}
	if (order.upstream_count == 0)
		return;
	for (int32_t i = 0; i < order.upstream_count; i++)
		g_hash_table_add(step->advice_requested, g_strdup(ids[i]));
	sched_task_name(&step->tasks[0], name);
	*strrchr(name, '.') = '\0';
	g_strlcpy(order.step, name, sizeof(order.step));
	step->advice_in_flight = true;
	scheduler->callbacks.advise(&order, scheduler->callbacks.client_data);
}
