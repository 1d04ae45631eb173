#include "private/scheduler_state.h"

#include <string.h>

/*
 * An upstream gets no starts once its last answer is older than this plus its
 * idle gap: three poll waits and a margin.
 */
#define SILENT_AFTER_MS 3200

/* Time to wait for the final report of an upstream that has terminated. */
#define FINAL_REPORT_WAIT_MS 150

static bool takes_tasks(const wwh_scheduler_t *scheduler,
			const sched_upstream_t *upstream);
static void delete_record(wwh_scheduler_t *scheduler,
			  const sched_upstream_t *upstream);

sched_pool_t *sched_pool_get(wwh_scheduler_t *scheduler, const char *name)
{
	sched_pool_t *pool = g_hash_table_lookup(scheduler->pools, name);

	if (pool != NULL)
		return pool;
	pool = g_new0(sched_pool_t, 1);
	pool->name = g_strdup(name);
	pool->upstreams = g_ptr_array_new();
	pool->live = g_ptr_array_new();
	pool->shares = wwh_workspace_share_new();
	pool->room = sched_room_new();
	g_hash_table_insert(scheduler->pools, pool->name, pool);
	return pool;
}

void sched_pool_settle_one(wwh_scheduler_t *scheduler, sched_pool_t *pool)
{
	pool->unsettled--;
	if (pool->unsettled > 0)
		return;
	sched_explain(scheduler, "pool-settled", pool->name,
		      "after_ms=%" G_GINT64_FORMAT,
		      scheduler->now_ms - pool->taken_over_ms);
}

void sched_pool_delete(gpointer data)
{
	sched_pool_t *pool = data;

	g_ptr_array_unref(pool->upstreams);
	g_ptr_array_unref(pool->live);
	wwh_workspace_share_delete(pool->shares);
	sched_room_delete(pool->room);
	g_free(pool->name);
	g_free(pool);
}

sched_upstream_t *sched_upstream_find(const wwh_scheduler_t *scheduler,
				      const char *id)
{
	return g_hash_table_lookup(scheduler->upstreams, id);
}

sched_upstream_t *sched_upstream_add(wwh_scheduler_t *scheduler,
				     const wwh_upstream_info_t *info)
{
	sched_upstream_t *upstream = g_new0(sched_upstream_t, 1);

	wwh_upstream_info_copy(&upstream->info, info);
	upstream->tasks = g_ptr_array_new();
	upstream->unclear_losses =
		g_array_new(FALSE, FALSE, sizeof(sched_unclear_loss_t));
	upstream->orphan_stops =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	upstream->recorded_lease_ms = sched_lease_requested_ms(scheduler);
	upstream->pool = sched_pool_get(scheduler, info->pool);
	g_ptr_array_add(upstream->pool->upstreams, upstream);
	g_hash_table_insert(scheduler->upstreams, upstream->info.id, upstream);
	sched_run_order_add(scheduler, upstream);
	sched_endpoint_add(scheduler, upstream);
	scheduler->largest_host_known = false;
	return upstream;
}

void sched_upstream_forget_orphans(wwh_scheduler_t *scheduler,
				   sched_upstream_t *upstream)
{
	scheduler->orphans -= upstream->orphans;
	upstream->orphans = 0;
	g_hash_table_remove_all(upstream->orphan_stops);
}

bool sched_task_is_orphaned(const wwh_scheduler_t *scheduler,
			    const sched_task_t *task)
{
	const GPtrArray *upstreams =
		task->step->occurrence->job->pool->upstreams;
	char name[WWH_TASK_NAME_BYTES];

	if (scheduler->orphans == 0)
		return false;
	sched_task_name(task, name);
	for (guint i = 0; i < upstreams->len; i++) {
		const sched_upstream_t *upstream =
			g_ptr_array_index(upstreams, i);

		if (upstream->orphans > 0 &&
		    g_hash_table_contains(upstream->orphan_stops, name))
			return true;
	}
	return false;
}

void sched_upstream_await_ack(wwh_scheduler_t *scheduler,
			      sched_upstream_t *upstream)
{
	scheduler->has_unflushed_ends = true;
	if (upstream->awaits_ack)
		return;
	upstream->awaits_ack = true;
	g_ptr_array_add(scheduler->awaiting_ack, upstream);
}

void sched_upstream_reset_ends(wwh_scheduler_t *scheduler,
			       sched_upstream_t *upstream)
{
	if (upstream->awaits_ack)
		g_ptr_array_remove_fast(scheduler->awaiting_ack, upstream);
	upstream->awaits_ack = false;
	upstream->ends_received = 0;
	upstream->last_progress_end = 0;
	upstream->ends_acked = 0;
	upstream->ends_flushed = 0;
	upstream->ends_flushed_record = 0;
}

void sched_upstream_delete(gpointer data)
{
	sched_upstream_t *upstream = data;

	wwh_upstream_info_clear(&upstream->info);
	g_ptr_array_unref(upstream->tasks);
	g_array_unref(upstream->unclear_losses);
	g_hash_table_destroy(upstream->orphan_stops);
	if (upstream->speed != NULL)
		wwh_upstream_speed_remove(upstream->speed);
	g_free(upstream);
}

void sched_upstream_note_reach(wwh_scheduler_t *scheduler,
			       sched_upstream_t *upstream, wwh_reach_t reach)
{
	if (reach != upstream->reach && wwh_reach_doubts_upstream(reach)) {
		if (upstream->tasks->len > 0)
			scheduler->doubted_ms = scheduler->now_ms;
		sched_explain(scheduler, "upstream-doubted", upstream->info.id,
			      "reach=%s tasks=%u listed=%d"
			      " lease_left_ms=%" G_GINT64_FORMAT,
			      wwh_reach_names[reach], upstream->tasks->len,
			      upstream->listed,
			      sched_lease_left_ms(scheduler, upstream));
	}
	upstream->reach = reach;
}

int64_t sched_upstream_last_answer_ms_ago(const wwh_scheduler_t *scheduler,
					  const sched_upstream_t *upstream)
{
	return upstream->answered_ms == 0
		       ? -1
		       : scheduler->now_ms - upstream->answered_ms;
}

void sched_upstream_remove(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream,
			   wwh_termination_t termination, const char *why)
{
	bool ordered =
		upstream->info.leaving ||
		(upstream->ending && upstream->termination_reason == NULL);

	if (termination == WWH_TERMINATION_CRASH && ordered)
		termination = WWH_TERMINATION_ORDERED;
	sched_explain(scheduler, "upstream-gone", upstream->info.id,
		      "why=%s endpoint=%s tasks=%u termination=%s settled=%d"
		      " listed=%d last_answer_ms_ago=%" G_GINT64_FORMAT
		      " lease_left_ms=%" G_GINT64_FORMAT,
		      why, upstream->info.endpoint, upstream->tasks->len,
		      wwh_termination_names[termination], upstream->settled,
		      upstream->listed,
		      sched_upstream_last_answer_ms_ago(scheduler, upstream),
		      sched_lease_left_ms(scheduler, upstream));
	scheduler->crashed_upstreams += termination == WWH_TERMINATION_CRASH &&
					upstream->tasks->len > 0;
	sched_authority_note_fenced(scheduler, upstream);
	sched_upstream_forget_orphans(scheduler, upstream);
	sched_upstream_lose_tasks(scheduler, upstream, termination, why);
	if (termination == WWH_TERMINATION_CRASH) {
		sched_losses_confirm_crash(scheduler, upstream);
		sched_inherited_starts_resolve(scheduler, upstream, true);
	}
	if (upstream->inherited && !upstream->settled) {
		if (termination != WWH_TERMINATION_ORDERED)
			sched_inherited_runs_lost(scheduler, upstream);
		sched_pool_settle_one(scheduler, upstream->pool);
	}
	sched_speed_forget(scheduler, upstream);
	g_ptr_array_remove_fast(upstream->pool->upstreams, upstream);
	upstream->pool->dirty = true;
	if (upstream->record_written)
		delete_record(scheduler, upstream);
	sched_run_order_remove(scheduler, upstream);
	sched_endpoint_remove(scheduler, upstream);
	if (upstream->cordoned || upstream->info.leaving)
		g_ptr_array_remove_fast(scheduler->draining, upstream);
	if (upstream->awaits_ack)
		g_ptr_array_remove_fast(scheduler->awaiting_ack, upstream);
	scheduler->largest_host_known = false;
	g_hash_table_remove(scheduler->upstreams, upstream->info.id);
}

void sched_upstream_write_record(wwh_scheduler_t *scheduler,
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

/*
 * A new holder polls each upstream that has a record. Before the record of this
 * one is deleted, the ends that it reported must be in the journal; otherwise
 * their tasks would run again.
 */
static void delete_record(wwh_scheduler_t *scheduler,
			  const sched_upstream_t *upstream)
{
	sched_progress_write(scheduler);
	scheduler->newest_record = scheduler->callbacks.write_record(
		WWH_SCHEDULER_RECORD_UPSTREAM, upstream->info.id, NULL,
		scheduler->callbacks.client_data);
	sched_authority_note_removal(scheduler, scheduler->newest_record);
}

/*
 * An upstream may delete an end once the store has the end's effect. To be
 * called only right after the progress of all jobs was written: an end that
 * isn't in the written progress of its job must not be acknowledged. Only one
 * end number of an upstream is being made durable at a time; the next one
 * follows.
 */
void sched_upstreams_flushed(wwh_scheduler_t *scheduler)
{
	g_assert(scheduler->dirty->len == 0);
	scheduler->has_unflushed_ends = false;
	for (guint i = 0; i < scheduler->awaiting_ack->len; i++) {
		sched_upstream_t *upstream =
			g_ptr_array_index(scheduler->awaiting_ack, i);

		if (upstream->ends_flushed > upstream->ends_acked) {
			scheduler->has_unflushed_ends = true;
			continue;
		}
		if (upstream->ends_received == upstream->ends_acked)
			continue;
		upstream->ends_flushed = upstream->ends_received;
		upstream->ends_flushed_record = scheduler->newest_record;
	}
	sched_upstreams_durable(scheduler);
}

void sched_upstreams_durable(wwh_scheduler_t *scheduler)
{
	for (guint i = scheduler->awaiting_ack->len; i > 0; i--) {
		sched_upstream_t *upstream =
			g_ptr_array_index(scheduler->awaiting_ack, i - 1);

		if (upstream->ends_flushed_record <= scheduler->durable_record)
			upstream->ends_acked = upstream->ends_flushed;
		if (upstream->ends_acked != upstream->ends_received)
			continue;
		upstream->awaits_ack = false;
		g_ptr_array_remove_index_fast(scheduler->awaiting_ack, i - 1);
	}
}

void sched_upstreams_defer_acks(wwh_scheduler_t *scheduler)
{
	for (guint i = 0; i < scheduler->awaiting_ack->len; i++) {
		sched_upstream_t *upstream =
			g_ptr_array_index(scheduler->awaiting_ack, i);

		if (upstream->ends_flushed > upstream->ends_acked)
			upstream->ends_flushed_record =
				scheduler->newest_record;
	}
}

bool sched_upstream_usable(const wwh_scheduler_t *scheduler,
			   const sched_upstream_t *upstream)
{
	return takes_tasks(scheduler, upstream) &&
	       !wwh_failure_streak_avoids(&upstream->failures,
					  upstream->pool->most_avoided,
					  scheduler->now_ms);
}

void sched_pool_count_avoided(const wwh_scheduler_t *scheduler,
			      sched_pool_t *pool)
{
	int32_t avoided = 0;
	int32_t count = 0;

	for (guint i = 0; i < pool->upstreams->len; i++) {
		const sched_upstream_t *upstream =
			g_ptr_array_index(pool->upstreams, i);

		if (!takes_tasks(scheduler, upstream))
			continue;
		count++;
		avoided += wwh_failure_streak_avoids(&upstream->failures, false,
						     scheduler->now_ms);
	}
	pool->most_avoided = avoided > count - avoided;
}

/* Whether it takes tasks, if it doesn't fail them. */
static bool takes_tasks(const wwh_scheduler_t *scheduler,
			const sched_upstream_t *upstream)
{
	int64_t now_ms = scheduler->now_ms;

	return upstream->termination_reason == NULL && upstream->listed &&
	       !upstream->unreadable && !upstream->info.leaving &&
	       upstream->settled && !upstream->cordoned &&
	       !upstream->pool->standby && upstream->orphans == 0 &&
	       upstream->failed_polls == 0 &&
	       upstream->reach == WWH_REACH_ANSWERS &&
	       now_ms - upstream->answered_ms <
		       SILENT_AFTER_MS + upstream->idle_gap_ms &&
	       now_ms >= upstream->backoff_until_ms &&
	       upstream->record_written && !upstream->record_rejected &&
	       upstream->record_number <= scheduler->durable_record &&
	       sched_start_is_confirmed(scheduler, upstream);
}

/*
 * Jobs that fail everywhere don't cause a long streak, as other tasks succeed in
 * between.
 */
void sched_upstream_failed(wwh_scheduler_t *scheduler,
			   sched_upstream_t *upstream, bool worked)
{
	int64_t wait_ms = wwh_failure_streak_add(&upstream->failures, worked,
						 scheduler->now_ms);

	if (wait_ms > 0)
		sched_explain(scheduler, "upstream-avoided", upstream->info.id,
			      "for_ms=%" G_GINT64_FORMAT
			      " backoffs=%d worked=%d",
			      wait_ms, upstream->failures.backoffs, worked);
}

void sched_upstream_back_off(wwh_scheduler_t *scheduler,
			     sched_upstream_t *upstream, int64_t wait_ms)
{
	int64_t until_ms = scheduler->now_ms + wait_ms;

	if (until_ms <= upstream->backoff_until_ms)
		return;
	upstream->backoff_until_ms = until_ms;
	sched_explain(scheduler, "upstream-avoided", upstream->info.id,
		      "for_ms=%" G_GINT64_FORMAT " backoffs=%d", wait_ms,
		      upstream->failures.backoffs);
}

/*
 * Two incarnations may be announced at one endpoint, in any order, as the older
 * one's entry lapses only after some seconds. Polls decide which of them has
 * terminated, as the running one refuses polls at the other. If an announcement
 * alone decided it, a task of the running incarnation could run twice.
 */
static void poll_others_at(wwh_scheduler_t *scheduler, const char *endpoint)
{
	GPtrArray *there = g_hash_table_lookup(scheduler->endpoints, endpoint);

	for (guint i = 0; there != NULL && i < there->len; i++) {
		sched_upstream_t *other = g_ptr_array_index(there, i);

		other->next_poll_ms = scheduler->now_ms;
		sched_upstream_wake(scheduler, other);
	}
}

void wwh_scheduler_upstream_announced(wwh_scheduler_t *scheduler,
				      const wwh_upstream_info_t *info,
				      int64_t now_ms)
{
	sched_upstream_t *upstream =
		sched_upstream_find_and_wake(scheduler, info->id);

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (upstream == NULL) {
		poll_others_at(scheduler, info->endpoint);
		upstream = sched_upstream_add(scheduler, info);
		sched_explain(scheduler, "upstream-new", info->id,
			      "endpoint=%s pool=%s", info->endpoint,
			      info->pool);
	} else {
		char *id = upstream->info.id;

		if (!sched_upstream_is_located(upstream))
			sched_upstream_locate(scheduler, upstream, info->pool);
		if (upstream->info.leaving != info->leaving)
			sched_explain(scheduler, "upstream-leaving", id,
				      "leaving=%d", info->leaving);
		upstream->info.id = NULL;
		scheduler->largest_host_known =
			scheduler->largest_host_known &&
			info->size.cpu_millicores ==
				upstream->info.size.cpu_millicores;
		sched_endpoint_remove(scheduler, upstream);
		wwh_upstream_info_clear(&upstream->info);
		wwh_upstream_info_copy(&upstream->info, info);
		g_free(upstream->info.id);
		upstream->info.id = id;
		sched_endpoint_add(scheduler, upstream);
	}
	upstream->listed = true;
	upstream->unreadable = false;
	upstream->pool->dirty = true;
}

void wwh_scheduler_upstream_unreadable(wwh_scheduler_t *scheduler,
				       const char *id, int64_t now_ms)
{
	sched_upstream_t *upstream =
		sched_upstream_find_and_wake(scheduler, id);

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (upstream == NULL)
		return;
	if (!upstream->unreadable)
		sched_explain(scheduler, "upstream-unreadable", id, "tasks=%u",
			      upstream->tasks->len);
	upstream->listed = true;
	upstream->unreadable = true;
}

bool wwh_scheduler_upstream_listed(const wwh_scheduler_t *scheduler,
				   const char *id)
{
	const sched_upstream_t *upstream = sched_upstream_find(scheduler, id);

	return upstream != NULL && upstream->listed && !upstream->unreadable;
}

void wwh_scheduler_upstream_withdrawn(wwh_scheduler_t *scheduler,
				      const char *id, int64_t now_ms)
{
	sched_upstream_t *upstream =
		sched_upstream_find_and_wake(scheduler, id);

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (upstream == NULL)
		return;
	upstream->listed = false;
	upstream->unreadable = false;
	upstream->next_poll_ms = MIN(upstream->next_poll_ms, now_ms);
	sched_explain(scheduler, "upstream-unlisted", id, "tasks=%u",
		      upstream->tasks->len);
}

/*
 * The upstream's final report may be in transit or unread. A task whose end it
 * lists would be started again and run twice, so a poll in flight is awaited
 * before the upstream is removed.
 */
void wwh_scheduler_upstream_terminated(wwh_scheduler_t *scheduler,
				       const char *id,
				       wwh_termination_t termination,
				       const char *why, int64_t now_ms)
{
	sched_upstream_t *upstream =
		sched_upstream_find_and_wake(scheduler, id);

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (upstream == NULL || upstream->termination_reason != NULL)
		return;
	if (termination == WWH_TERMINATION_CRASH && upstream->ending)
		termination = WWH_TERMINATION_ORDERED;
	upstream->termination_reason = why;
	upstream->termination = termination;
	upstream->terminated_ms = scheduler->now_ms;
	upstream->ending = true;
	if (!sched_upstream_awaits_final_report(scheduler, upstream))
		sched_upstream_remove(scheduler, upstream, termination, why);
}

bool sched_upstream_awaits_final_report(const wwh_scheduler_t *scheduler,
					const sched_upstream_t *upstream)
{
	bool may_report_ends = upstream->tasks->len > 0 ||
			       (upstream->inherited && !upstream->settled);

	return upstream->poll_in_flight && may_report_ends &&
	       scheduler->now_ms - upstream->terminated_ms <
		       FINAL_REPORT_WAIT_MS;
}

/*
 * Marks the upstreams that the requested list has to contain. An upstream that
 * answers for the first time after the request isn't one of them: in a peak
 * hosts arrive all the time, and when lists had to contain these as well,
 * nearly all lists were discarded, and pools waited seconds for upstreams that
 * no host ran.
 */
void wwh_scheduler_incarnations_requested(wwh_scheduler_t *scheduler)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, scheduler->upstreams);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		sched_upstream_t *upstream = value;

		upstream->expected_in_host_list =
			upstream->listed && upstream->settled;
	}
}

/*
 * A list is complete if it contains each upstream that was announced and had
 * answered when the list was requested, and still is announced and answers, and
 * there is at least one such upstream. Absence from an empty or partial list
 * proves nothing.
 */
static bool host_list_is_complete(const wwh_scheduler_t *scheduler,
				  GHashTable *incarnations)
{
	int32_t answering = 0;
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, scheduler->upstreams);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const sched_upstream_t *upstream = value;

		if (!upstream->expected_in_host_list || !upstream->listed ||
		    upstream->failed_polls > 0 ||
		    upstream->termination_reason != NULL)
			continue;
		if (!g_hash_table_contains(incarnations, upstream->info.id))
			return false;
		answering++;
	}
	return answering > 0;
}

static bool has_no_host(const wwh_scheduler_t *scheduler,
			sched_upstream_t *upstream, bool hosts_down)
{
	wwh_missing_upstream_t missing = {
		.reach = upstream->reach,
		.announced = upstream->listed,
		.hosts_down = hosts_down,
	};

	if (upstream->without_host_ms == 0)
		upstream->without_host_ms = scheduler->now_ms;
	missing.missing_ms = scheduler->now_ms - upstream->without_host_ms;
	return wwh_missing_upstream_is_over(&missing);
}

void wwh_scheduler_incarnations_listed(wwh_scheduler_t *scheduler,
				       GHashTable *incarnations,
				       bool hosts_down, int64_t now_ms)
{
	GList *all;

	scheduler->now_ms = MAX(scheduler->now_ms, now_ms);
	if (!host_list_is_complete(scheduler, incarnations))
		return;
	all = g_hash_table_get_values(scheduler->upstreams);
	for (GList *at = all; at != NULL; at = at->next) {
		sched_upstream_t *upstream = at->data;

		if (!upstream->inherited || upstream->settled)
			continue;
		if (g_hash_table_contains(incarnations, upstream->info.id))
			upstream->without_host_ms = 0;
		else if (has_no_host(scheduler, upstream, hosts_down))
			wwh_scheduler_upstream_terminated(
				scheduler, upstream->info.id,
				WWH_TERMINATION_UNKNOWN, "no-host", now_ms);
	}
	g_list_free(all);
}

void sched_upstream_lose_tasks(wwh_scheduler_t *scheduler,
			       sched_upstream_t *upstream,
			       wwh_termination_t termination, const char *why)
{
	GPtrArray *lost = g_ptr_array_new();

	sched_losses_attribute(scheduler, upstream, termination, why);
	while (upstream->tasks->len > 0) {
		sched_task_t *task = g_ptr_array_index(upstream->tasks, 0);

		sched_task_event(scheduler, task, TASK_LOST);
		g_ptr_array_add(lost, task);
	}
	for (guint i = 0; i < lost->len; i++)
		sched_losses_give_up(scheduler, g_ptr_array_index(lost, i));
	g_ptr_array_free(lost, TRUE);
}
