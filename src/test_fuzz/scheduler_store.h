#ifndef TEST_FUZZ_SCHEDULER_STORE_H
#define TEST_FUZZ_SCHEDULER_STORE_H

/*
 * NAME
 *	scheduler_store - appends of holders, and what their answers confirm
 *
 * USE
 *	For fuzz_scheduler alone. The store carries out appends of the newest
 *	holder only, as it has seen that one's epoch.
 */

#include "scheduler_holders.h"

/* Returns the number of the last record that is durable now. */
static int64_t store_pending(const holder_t *holder)
{
	int64_t last = 0;

	for (GList *at = holder->pending->head; at != NULL; at = at->next) {
		record_t *record = at->data;

		last = record->number;
		if (record->value == NULL)
			g_hash_table_remove(world.store, record->key);
		else
			g_hash_table_replace(world.store, g_strdup(record->key),
					     g_bytes_ref(record->value));
	}
	return last;
}

static void accept_jobs(int64_t last)
{
	for (int32_t i = 0; i < world.job_count; i++) {
		job_t *job = &world.jobs[i];

		job->accepted |= job->submitted && job->submit_record > 0 &&
				 job->submit_record <= last;
	}
}

static void confirm_cancels(void)
{
	for (int32_t i = 0; i < world.job_count; i++) {
		job_t *job = &world.jobs[i];

		if (job->cancel_sent && !job->cancelled) {
			job->cancelled_ms = world.now_ms;
			job->cancelled_by = world.holder->number;
		}
		job->cancelled |= job->cancel_sent;
	}
}

/* The journal's pending records become durable; answered: the holder knows. */
static void append(bool stored, bool answered)
{
	holder_t *holder = world.holder;
	int64_t last = 0;

	(void)wwh_scheduler_flush(holder->scheduler, world.now_ms);
	holder->sent_upto = holder->next_record;
	stored = stored && reaches_store(holder);
	if (stored)
		last = store_pending(holder);
	if (!stored || !answered)
		return; /* the same records are appended again */
	g_queue_clear_full(holder->pending, record_free);
	holder->confirmed_ms = world.now_ms;
	holder->slow_append_sent_ms = 0;
	wwh_scheduler_set_durable(holder->scheduler, last);
	accept_jobs(last);
	confirm_cancels();
}

/* The append is carried out, and its answer may outlast the holder's claim. */
static void append_slowly(void)
{
	holder_t *holder = world.holder;

	(void)wwh_scheduler_flush(holder->scheduler, world.now_ms);
	holder->sent_upto = holder->next_record;
	if (!reaches_store(holder))
		return;
	holder->slow_append_upto = store_pending(holder);
	holder->slow_append_sent_ms = world.now_ms;
	trace("holder %d: sends an append that is answered late",
	      holder->number);
}

static void drop_stored(holder_t *holder, int64_t last)
{
	while (!g_queue_is_empty(holder->pending)) {
		record_t *record = g_queue_peek_head(holder->pending);

		if (record->number > last)
			return;
		record_free(g_queue_pop_head(holder->pending));
	}
}

static void answer_slow_append(holder_t *holder)
{
	if (holder->number == 0 || holder->slow_append_sent_ms == 0)
		return;
	trace("holder %d: the append of %" G_GINT64_FORMAT " is answered",
	      holder->number, holder->slow_append_sent_ms);
	drop_stored(holder, holder->slow_append_upto);
	holder->confirmed_ms = holder->slow_append_sent_ms;
	holder->slow_append_sent_ms = 0;
	wwh_scheduler_set_durable(holder->scheduler, holder->slow_append_upto);
	if (holder == world.holder)
		accept_jobs(holder->slow_append_upto);
}

/* What the registry says once a holder reads it again. */
static void read_registry(holder_t *holder)
{
	for (int32_t i = 0; i < UPSTREAMS; i++) {
		const host_t *host = &world.hosts[i];

		if (host->announced)
			announce(holder, host);
		else
			wwh_scheduler_upstream_withdrawn(
				holder->scheduler, host->id, world.now_ms);
	}
}

#endif
