#include "private/job_holder_state.h"

/* Time for a start order in flight to reach its upstream. */
#define DRAIN_MARGIN_MS 200

static bool store_is_unreachable(const wwh_job_holder_t *holder);

/*
 * An upstream that has announced that it leaves must get no start after
 * drain_ms. A holder under load may read announcements later than that, and
 * then holds its starts. While the store is unreachable for all, no upstream
 * can announce anything, so that time counts as read.
 */
void job_holder_hold_starts(wwh_job_holder_t *holder)
{
	int64_t known_ms;
	bool held;

	if (store_is_unreachable(holder))
		holder->store_unreachable_ms =
			wwh_shard_journal_last_failure_ms(holder->journal);
	known_ms = MAX(wwh_store_follower_complete_ms(holder->upstreams),
		       holder->store_unreachable_ms);
	holder->starts_allowed_until_ms =
		known_ms + holder->options.settings->drain_ms - DRAIN_MARGIN_MS;
	held = holder->now_ms > holder->starts_allowed_until_ms;
	if (held == holder->starts_held)
		return;
	holder->starts_held = held;
	wwh_scheduler_hold_starts(holder->scheduler, held);
	/* a new holder has read no announcements yet: no event */
	if (known_ms == 0)
		return;
	wwh_event_log_printf(holder->options.log,
			     held ? "starts-held" : "starts-resumed", "shard",
			     "announcements_ms_ago=%" G_GINT64_FORMAT,
			     holder->now_ms - known_ms);
}

/*
 * Appends alone may fail for causes that concern only this holder: an
 * overloaded loop, a silent connection, a full partition. Upstreams then still
 * announce themselves to the store. The store counts as unreachable for all
 * only if reads fail as well and the loop keeps up.
 */
static bool store_is_unreachable(const wwh_job_holder_t *holder)
{
	return !holder->overloaded &&
	       wwh_shard_journal_failing(holder->journal) &&
	       wwh_store_follower_failing(holder->upstreams);
}

void job_holder_measure_starts(wwh_job_holder_t *holder)
{
	int64_t starts = wwh_counter_value(holder->starts);

	if (wwh_scheduler_starts_are_held(holder->scheduler))
		wwh_start_rate_pause(holder->start_rate, holder->now_ms);
	else
		wwh_start_rate_add(holder->start_rate, holder->now_ms,
				   starts - holder->starts_measured,
				   wwh_scheduler_is_behind(holder->scheduler));
	holder->starts_measured = starts;
}
