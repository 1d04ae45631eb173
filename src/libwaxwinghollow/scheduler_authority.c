#include "private/scheduler_state.h"

/*
 * Once the claim wasn't confirmed for this time, polls are to show that no other
 * holder has taken over. A claim is confirmed each 0.5 s, and a slow append takes 0.2 s.
 */
#define POLLS_TELL_AFTER_MS 700

/* The answers of thousands of upstreams are evaluated this often at the most. */
#define REVIEW_INTERVAL_MS 50

static void update_polls(wwh_scheduler_t *scheduler);
static int64_t majority_ms(wwh_scheduler_t *scheduler);
static int64_t witnessed_ms(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream);
static gint compare_times(gconstpointer a, gconstpointer b);
static void drop_durable_removals(wwh_scheduler_t *scheduler);
static void log_change(const wwh_scheduler_t *scheduler);
static void limit_inherited_waits(wwh_scheduler_t *scheduler, int64_t base_ms);

void sched_authority_begin(wwh_scheduler_t *scheduler)
{
	scheduler->previous_until_ms =
		scheduler->now_ms + scheduler->options.unconfirmed_max_ms;
	limit_inherited_waits(scheduler, scheduler->previous_until_ms);
	if (scheduler->inherited_upstreams == 0)
		scheduler->previous_until_ms = scheduler->now_ms;
}

void sched_authority_update(wwh_scheduler_t *scheduler)
{
	bool had = scheduler->has_authority;

	update_polls(scheduler);
	scheduler->authority_ms = wwh_scheduler_authority_ms(scheduler);
	scheduler->has_authority =
		scheduler->now_ms - scheduler->authority_ms <=
		WWH_OVERTAKEN_HOLDER_MS;
	if (had != scheduler->has_authority)
		log_change(scheduler);
}

int64_t wwh_scheduler_authority_ms(wwh_scheduler_t *scheduler)
{
	int64_t unconfirmed_ms = scheduler->now_ms - scheduler->confirmed_ms;

	if (unconfirmed_ms <= POLLS_TELL_AFTER_MS)
		return MIN(scheduler->confirmed_ms, scheduler->now_ms);
	if (unconfirmed_ms > scheduler->options.unconfirmed_max_ms)
		return scheduler->confirmed_ms;
	if (scheduler->now_ms >= scheduler->next_authority_review_ms) {
		scheduler->next_authority_review_ms =
			scheduler->now_ms + REVIEW_INTERVAL_MS;
		scheduler->majority_ms = majority_ms(scheduler);
	}
	return MAX(scheduler->confirmed_ms, scheduler->majority_ms);
}

bool wwh_scheduler_awaits_confirmation(const wwh_scheduler_t *scheduler)
{
	return scheduler->awaits_confirmation;
}

/*
 * Another holder that has claimed the shard may have extended the lease meanwhile,
 * at an upstream that this one doesn't reach.
 */
bool sched_lapse_counts(wwh_scheduler_t *scheduler, int64_t lease_end_ms)
{
	if (scheduler->confirmed_ms >= lease_end_ms)
		return true;
	scheduler->awaits_confirmation = true;
	return false;
}

bool sched_authority_covers(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream)
{
	int64_t known_ms = MAX(scheduler->confirmed_ms, upstream->witnessed_ms);

	return known_ms > scheduler->now_ms - WWH_OVERTAKEN_HOLDER_MS;
}

bool sched_start_is_confirmed(const wwh_scheduler_t *scheduler,
			      const sched_upstream_t *upstream)
{
	return upstream->born_learned_ms <= scheduler->confirmed_ms;
}

/*
 * Each of two holders needs more than half of the upstreams that are recorded, so
 * one of these has refused the previous holder's polls since it answered this one.
 */
void sched_authority_note_fenced(wwh_scheduler_t *scheduler,
				 sched_upstream_t *upstream)
{
	if (!upstream->inherited || upstream->is_fenced)
		return;
	upstream->is_fenced = true;
	scheduler->fenced_upstreams++;
	if (2 * scheduler->fenced_upstreams <= scheduler->inherited_upstreams ||
	    scheduler->now_ms >= scheduler->previous_until_ms)
		return;
	scheduler->previous_until_ms = scheduler->now_ms;
	limit_inherited_waits(scheduler, scheduler->now_ms);
	sched_explain(scheduler, "previous-holder-fenced", "shard",
		      "upstreams=%d of=%d after_ms=%" G_GINT64_FORMAT,
		      scheduler->fenced_upstreams,
		      scheduler->inherited_upstreams,
		      scheduler->now_ms - scheduler->taken_over_ms);
}

/*
 * Until then nothing is done that the previous holder could undo or do once more: no
 * upstream is recorded, as new ones would make up for those that obey it when the next
 * holder counts, and no task is started that it knows of.
 */
bool sched_previous_is_fenced(const wwh_scheduler_t *scheduler)
{
	return scheduler->now_ms >= scheduler->previous_until_ms;
}

bool wwh_scheduler_previous_may_act(const wwh_scheduler_t *scheduler)
{
	return scheduler->inherited_upstreams > 0 &&
	       scheduler->now_ms <=
		       scheduler->previous_until_ms + WWH_OVERTAKEN_HOLDER_MS;
}

void sched_authority_note_removal(wwh_scheduler_t *scheduler, int64_t record)
{
	drop_durable_removals(scheduler);
	g_array_append_val(scheduler->removals, record);
}

static void limit_inherited_waits(wwh_scheduler_t *scheduler, int64_t base_ms)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, scheduler->upstreams);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		sched_upstream_t *upstream = value;

		if (upstream->inherited)
			upstream->inherited_lease_end_ms =
				base_ms + sched_lease_max_remaining_ms(
						  upstream->recorded_lease_ms);
	}
}

/* Idle upstreams are otherwise polled seconds apart. */
static void update_polls(wwh_scheduler_t *scheduler)
{
	bool tell = scheduler->now_ms - scheduler->confirmed_ms >
		    POLLS_TELL_AFTER_MS;
	GHashTableIter iterator;
	gpointer value;

	if (tell == scheduler->polls_tell)
		return;
	scheduler->polls_tell = tell;
	if (!tell)
		return;
	g_hash_table_iter_init(&iterator, scheduler->upstreams);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		sched_upstream_t *upstream = value;

		if (upstream->idle_gap_ms == 0)
			continue;
		upstream->next_poll_ms = MIN(
			upstream->next_poll_ms,
			upstream->witnessed_ms +
				sched_poll_idle_gap_ms(scheduler, upstream));
		sched_upstream_wake(scheduler, upstream);
	}
}

/*
 * Returns the time since which more than half of the recorded upstreams have
 * answered; 0: they haven't. Records that the store may or may not have count as
 * recorded, so that the half is no smaller than that of any other holder.
 */
static int64_t majority_ms(wwh_scheduler_t *scheduler)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GHashTableIter iterator;
	gpointer value;
	int64_t since_ms = 0;
	guint recorded;

	drop_durable_removals(scheduler);
	recorded = scheduler->removals->len;
	g_hash_table_iter_init(&iterator, scheduler->upstreams);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		const sched_upstream_t *upstream = value;
		int64_t answered_ms = witnessed_ms(scheduler, upstream);

		recorded += upstream->record_written;
		if (answered_ms != 0)
			g_array_append_val(times, answered_ms);
	}
	g_array_sort(times, compare_times);
	if (times->len > recorded / 2)
		since_ms = g_array_index(times, int64_t, recorded / 2);
	g_array_unref(times);
	return since_ms;
}

static int64_t witnessed_ms(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream)
{
	if (!upstream->record_written || upstream->termination_reason != NULL ||
	    upstream->record_number > scheduler->durable_record ||
	    !sched_start_is_confirmed(scheduler, upstream))
		return 0;
	return upstream->witnessed_ms;
}

/* The latest first. */
static gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t one = *(const int64_t *)a;
	int64_t other = *(const int64_t *)b;

	return (one < other) - (one > other);
}

static void drop_durable_removals(wwh_scheduler_t *scheduler)
{
	guint count = 0;

	while (count < scheduler->removals->len &&
	       g_array_index(scheduler->removals, int64_t, count) <=
		       scheduler->durable_record)
		count++;
	if (count > 0)
		g_array_remove_range(scheduler->removals, 0, count);
}

static void log_change(const wwh_scheduler_t *scheduler)
{
	sched_explain(scheduler,
		      scheduler->has_authority ? "authority-regained"
					       : "authority-lapsed",
		      "shard",
		      "confirmed_ms_ago=%" G_GINT64_FORMAT
		      " majority_ms_ago=%" G_GINT64_FORMAT " upstreams=%u",
		      scheduler->now_ms - scheduler->confirmed_ms,
		      scheduler->majority_ms == 0
			      ? -1
			      : scheduler->now_ms - scheduler->majority_ms,
		      g_hash_table_size(scheduler->upstreams));
}
