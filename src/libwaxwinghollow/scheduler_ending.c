#include "private/scheduler_state.h"

static bool end_at_lapse(wwh_scheduler_t *scheduler,
			 sched_upstream_t *upstream);
static wwh_termination_t termination_at_lapse(const sched_upstream_t *upstream);
static bool has_lost_its_address(wwh_scheduler_t *scheduler,
				 const sched_upstream_t *upstream);
static bool is_unlisted(const wwh_scheduler_t *scheduler,
			const sched_upstream_t *upstream);

bool sched_upstream_end_if_over(wwh_scheduler_t *scheduler,
				sched_upstream_t *upstream)
{
	if (upstream->termination_reason != NULL) {
		if (!sched_upstream_awaits_final_report(scheduler, upstream))
			sched_upstream_remove(scheduler, upstream,
					      upstream->termination,
					      upstream->termination_reason);
		return true;
	}
	if (end_at_lapse(scheduler, upstream))
		return true;
	if (has_lost_its_address(scheduler, upstream)) {
		sched_upstream_remove(scheduler, upstream,
				      WWH_TERMINATION_CRASH, "restarted");
		return true;
	}
	if (is_unlisted(scheduler, upstream)) {
		sched_upstream_remove(scheduler, upstream,
				      WWH_TERMINATION_UNKNOWN, "unlisted");
		return true;
	}
	return false;
}

/* Returns whether the upstream was removed; if not, its tasks may be lost. */
static bool end_at_lapse(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	if (upstream->inherited && !upstream->settled) {
		if (sched_lease_left_ms(scheduler, upstream) > 0 ||
		    !sched_lapse_counts(scheduler,
					sched_lease_end_ms(upstream)))
			return false;
		sched_lease_explain_lapse(scheduler, upstream);
		sched_upstream_remove(scheduler, upstream,
				      termination_at_lapse(upstream),
				      "lease-lapsed");
		return true;
	}
	if (upstream->lease_end_ms == 0 ||
	    scheduler->now_ms < upstream->lease_end_ms ||
	    upstream->lease_end_handled)
		return false;
	if ((upstream->tasks->len > 0 || upstream->orphans > 0) &&
	    !sched_lapse_counts(scheduler, upstream->lease_end_ms))
		return false;
	upstream->lease_end_handled = true;
	if (upstream->tasks->len > 0)
		sched_lease_explain_lapse(scheduler, upstream);
	sched_upstream_forget_orphans(scheduler, upstream);
	sched_upstream_lose_tasks(scheduler, upstream,
				  termination_at_lapse(upstream),
				  "lease-lapsed");
	if (upstream->listed)
		return false;
	sched_upstream_remove(scheduler, upstream, WWH_TERMINATION_UNKNOWN,
			      "lapsed");
	return true;
}

/*
 * Its tasks are over by now in any case. An upstream whose address answers for
 * another one, and of which no list has shown the end, most likely crashed.
 */
static wwh_termination_t termination_at_lapse(const sched_upstream_t *upstream)
{
	return upstream->reach == WWH_REACH_OTHER_ANSWERS
		       ? WWH_TERMINATION_CRASH
		       : WWH_TERMINATION_UNKNOWN;
}

/* Nothing runs there, and whatever ran may have crashed it. */
static bool has_lost_its_address(wwh_scheduler_t *scheduler,
				 const sched_upstream_t *upstream)
{
	return upstream->reach == WWH_REACH_OTHER_ANSWERS &&
	       upstream->tasks->len == 0 &&
	       sched_lease_left_ms(scheduler, upstream) == 0 &&
	       sched_lapse_counts(scheduler, sched_lease_end_ms(upstream));
}

/*
 * Returns whether the registry lacks an upstream that runs nothing. Starts are held
 * while the registry hasn't been read, by a new holder or as the store is away. One
 * that hasn't answered and isn't inherited never got a start.
 */
static bool is_unlisted(const wwh_scheduler_t *scheduler,
			const sched_upstream_t *upstream)
{
	return !upstream->listed && !scheduler->starts_held &&
	       (upstream->settled || !upstream->inherited) &&
	       upstream->tasks->len == 0 && upstream->orphans == 0;
}
