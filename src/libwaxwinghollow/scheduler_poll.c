#include "private/scheduler_state.h"

/*
 * An upstream answers a poll after at most this time, even if no run has ended.
 * This also bounds how late an overtaken holder learns that it was overtaken.
 */
#define POLL_WAIT_MS 1000

/*
 * An upstream with an isolated run gets no other start until an answer shows
 * that the run does no harm.
 */
#define POLL_ISOLATED_WAIT_MS 50

/*
 * Limit of polls per second at upstreams that run no tasks. If some thousand of
 * them were polled continuously, the holder would have no time for upstreams
 * that run tasks. At this rate the holder still learns soon enough that it was
 * overtaken.
 */
#define IDLE_POLLS_PER_S 500
#define IDLE_GAP_MAX_MS 3000

/*
 * The same while polls are to show that no other holder has taken over, up to the
 * limit. They don't wait then, and most have been answered within
 * WWH_OVERTAKEN_HOLDER_MS.
 */
#define IDLE_GAP_TELL_MS 1000
#define IDLE_TELL_POLLS_PER_S 4000

/* Factor of multiplicative hashing: 2^32 divided by the golden ratio. */
#define HASH_FACTOR 2654435761U
#define SECOND_MS 1000

/* Gap between answer and next poll, so that ends are listed in batches. */
#define POLL_GAP_MS 25

/*
 * An upstream with ends that aren't acknowledged answers a poll at once, so
 * polling before they are durable would be a busy loop. This gap is about the
 * duration of five appends.
 */
#define POLL_UNACKED_GAP_MS 60

/*
 * Limit of the rate of such polls while no end may be acknowledged, as a holder has
 * just taken over.
 */
#define UNACKED_POLLS_PER_MS 4

/*
 * A run that was ordered this long ago at most hasn't ended. Longer than from an
 * answer to the next poll, so that starts into the room that ends left don't delay
 * the acknowledgement of these.
 */
#define SHORTEST_RUN_MS 100

/* Without a durable record for this time, the store is assumed to be down. */
#define UNACKED_LONG_MS 400
#define POLL_UNACKED_LONG_GAP_MS 250

/*
 * The same, while upstreams leave orders without an answer. Until a lost poll is
 * repeated, no end is learned.
 */
#define POLL_LOSSY_WAIT_MS 250

/* Share of WWH_OVERTAKEN_HOLDER_MS for the transit of a poll and its answer. */
#define POLL_TRANSIT_MS 150
G_STATIC_ASSERT(POLL_WAIT_MS + POLL_UNACKED_LONG_GAP_MS + POLL_TRANSIT_MS <=
		WWH_OVERTAKEN_HOLDER_MS);

/*
 * Limits of the time for an answer in addition to the poll's wait: several times
 * that after which the answer to an order is overdue. The first poll at an inherited upstream has a shorter limit
 * and is resent, because its whole pool waits for it. Its limit doubles with
 * each failure.
 */
#define POLL_TIMEOUT_MS 700
#define POLL_TIMEOUT_MIN_MS 200
#define ORDER_LIMITS_PER_POLL 4
#define FIRST_POLL_TIMEOUT_MS 150
#define FIRST_POLL_RETRY_MS 20

/*
 * Limit of first polls in flight. If a new holder of some thousand upstreams
 * sent them all at once, the answers would wait in its sockets beyond their
 * time limits, and each retry would add to the overload.
 */
#define FIRST_POLLS_IN_FLIGHT 128

/* Delay after a failed poll: after the first one that timed out, and others. */
#define POLL_FIRST_RETRY_MS 20
#define POLL_RETRY_MS 150
#define POLL_RETRY_MAX_MS 800

static bool is_poll_due(const wwh_scheduler_t *scheduler,
			const sched_upstream_t *upstream);
static void send_poll(wwh_scheduler_t *scheduler, sched_upstream_t *upstream);
static int64_t ends_acked_upto(const wwh_scheduler_t *scheduler,
			       const sched_upstream_t *upstream);
static bool may_have_ended_unlisted(const wwh_scheduler_t *scheduler,
				    const sched_task_t *task);
static int64_t mean_idle_gap_ms(const wwh_scheduler_t *scheduler);
static bool delays_its_pool(const sched_upstream_t *upstream);
static int64_t poll_wait_ms(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream);
static int64_t poll_timeout_ms(const wwh_scheduler_t *scheduler,
			       const sched_upstream_t *upstream);
static gint compare_first_polls(gconstpointer a, gconstpointer b);

int64_t sched_poll_gap_ms(const wwh_scheduler_t *scheduler,
			  const sched_upstream_t *upstream)
{
	if (wwh_scheduler_previous_may_act(scheduler) &&
	    upstream->ends_received > 0)
		return MAX(POLL_UNACKED_GAP_MS,
			   (int64_t)g_hash_table_size(scheduler->upstreams) /
				   UNACKED_POLLS_PER_MS);
	if (upstream->ends_received == upstream->ends_acked)
		return ends_acked_upto(scheduler, upstream) ==
				       upstream->ends_acked
			       ? POLL_GAP_MS
			       : POLL_UNACKED_GAP_MS;
	return scheduler->now_ms - scheduler->durable_ms < UNACKED_LONG_MS
		       ? POLL_UNACKED_GAP_MS
		       : POLL_UNACKED_LONG_GAP_MS;
}

int64_t sched_poll_retry_ms(const sched_upstream_t *upstream)
{
	bool doubted = wwh_reach_doubts_upstream(upstream->reach);

	if (delays_its_pool(upstream) && !doubted)
		return FIRST_POLL_RETRY_MS;
	if (upstream->failed_polls == 1 && !doubted)
		return POLL_FIRST_RETRY_MS;
	return MIN(POLL_RETRY_MS * upstream->failed_polls, POLL_RETRY_MAX_MS);
}

void sched_poll_if_due(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	if (is_poll_due(scheduler, upstream))
		send_poll(scheduler, upstream);
}

void sched_poll_unsettled(wwh_scheduler_t *scheduler)
{
	GPtrArray *due = g_ptr_array_new();
	GHashTableIter iterator;
	gpointer value;
	guint in_flight = 0;

	g_hash_table_iter_init(&iterator, scheduler->upstreams);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		sched_upstream_t *upstream = value;

		if (upstream->settled)
			continue;
		if (upstream->poll_in_flight)
			in_flight++;
		else if (is_poll_due(scheduler, upstream))
			g_ptr_array_add(due, upstream);
	}
	if (in_flight + due->len > FIRST_POLLS_IN_FLIGHT)
		g_ptr_array_sort(due, compare_first_polls);
	for (guint i = 0; i < due->len && in_flight + i < FIRST_POLLS_IN_FLIGHT;
	     i++)
		send_poll(scheduler, g_ptr_array_index(due, i));
	g_ptr_array_free(due, TRUE);
}

bool sched_upstream_is_idle(const sched_upstream_t *upstream)
{
	return upstream->settled && upstream->listed &&
	       upstream->tasks->len == 0 && upstream->orphans == 0 &&
	       upstream->failed_polls == 0;
}

/*
 * The gap is spread from 0.5 to 1.5 times the mean, so that upstreams aren't
 * all polled at the same time.
 */
int64_t sched_poll_idle_gap_ms(const wwh_scheduler_t *scheduler,
			       const sched_upstream_t *upstream)
{
	int64_t mean_ms = mean_idle_gap_ms(scheduler);
	guint spread = g_str_hash(upstream->info.id) ^
		       (guint)scheduler->now_ms * HASH_FACTOR;

	if (!sched_upstream_is_idle(upstream) || mean_ms <= POLL_GAP_MS)
		return 0;
	return mean_ms / 2 + mean_ms * (spread % PERMILLE) / PERMILLE;
}

static int64_t mean_idle_gap_ms(const wwh_scheduler_t *scheduler)
{
	int64_t idle_ms = (int64_t)scheduler->idle_upstreams * SECOND_MS;

	if (scheduler->polls_tell)
		return MAX(idle_ms / IDLE_TELL_POLLS_PER_S, IDLE_GAP_TELL_MS);
	return MIN(idle_ms / IDLE_POLLS_PER_S - POLL_WAIT_MS, IDLE_GAP_MAX_MS);
}

static bool is_poll_due(const wwh_scheduler_t *scheduler,
			const sched_upstream_t *upstream)
{
	return sched_upstream_is_located(upstream) &&
	       !upstream->poll_in_flight &&
	       upstream->termination_reason == NULL &&
	       scheduler->now_ms >= upstream->next_poll_ms;
}

/*
 * An upstream that has started again under its id numbers its ends from 1, and the
 * number of an earlier end would make it forget ends that nobody has received. It
 * may have done so after a failed poll, and as long as no answer lists a run that may
 * have begun and ended since. A previous holder that still acts doesn't know of the
 * end, and starts the task again if the upstream crashes.
 */
static int64_t ends_acked_upto(const wwh_scheduler_t *scheduler,
			       const sched_upstream_t *upstream)
{
	if (upstream->failed_polls > 0 ||
	    wwh_scheduler_previous_may_act(scheduler))
		return 0;
	for (guint i = 0; i < upstream->tasks->len; i++) {
		if (may_have_ended_unlisted(
			    scheduler, g_ptr_array_index(upstream->tasks, i)))
			return 0;
	}
	return upstream->ends_acked;
}

/* A repeated start may begin a run again that an earlier incarnation listed. */
static bool may_have_ended_unlisted(const wwh_scheduler_t *scheduler,
				    const sched_task_t *task)
{
	bool is_listed =
		task->first_listed_remote_ms != 0 && task->starts_out == 0;

	return !is_listed &&
	       scheduler->now_ms - task->ordered_ms > SHORTEST_RUN_MS;
}

static void send_poll(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	bool busy = upstream->tasks->len > 0 || upstream->orphans > 0;
	bool incomplete = !upstream->settled && upstream->answered_ms != 0;
	wwh_poll_order_t order = {
		.upstream = upstream->info.id,
		.endpoint = upstream->info.endpoint,
		.ends_acked_upto = ends_acked_upto(scheduler, upstream),
		.wait_ms = poll_wait_ms(scheduler, upstream),
		.timeout_ms = poll_timeout_ms(scheduler, upstream),
	};

	/*
	 * A lease is extended only while polls are answered. Each poll that was
	 * sent may still arrive, so extending the lease with every poll at an
	 * upstream that has terminated would postpone the lease's end forever.
	 * Neither is that of an inherited upstream whose answers are incomplete,
	 * as its pool waits for what they lack or for the lease.
	 */
	if (upstream->failed_polls > 0)
		order.lease_until_remote_ms = upstream->lease_until_remote_ms;
	else if ((busy || upstream->inherited) &&
		 !(upstream->inherited && incomplete))
		order.lease_until_remote_ms =
			sched_lease_extend(scheduler, upstream);
	upstream->poll_in_flight = true;
	scheduler->callbacks.poll(&order, scheduler->callbacks.client_data);
}

static bool delays_its_pool(const sched_upstream_t *upstream)
{
	return upstream->inherited && !upstream->settled;
}

/*
 * The answer carries the upstream's clock, so a first poll, and one after a
 * failure, doesn't wait.
 */
static int64_t poll_wait_ms(const wwh_scheduler_t *scheduler,
			    const sched_upstream_t *upstream)
{
	if (!upstream->settled || upstream->failed_polls > 0)
		return 0;
	if (upstream->isolated_runs > 0 ||
	    scheduler->now_ms < upstream->reserved_until_ms)
		return POLL_ISOLATED_WAIT_MS;
	if (scheduler->polls_tell)
		return sched_upstream_is_idle(upstream) ? 0
							: POLL_LOSSY_WAIT_MS;
	return upstream->tasks->len > 0 &&
			       wwh_answer_time_is_lossy(&scheduler->order_time)
		       ? POLL_LOSSY_WAIT_MS
		       : POLL_WAIT_MS;
}

static int64_t poll_timeout_ms(const wwh_scheduler_t *scheduler,
			       const sched_upstream_t *upstream)
{
	int64_t limit_ms = wwh_answer_time_limit_ms(&scheduler->order_time);
	int32_t doublings = MIN(upstream->failed_polls, 8);

	if (!delays_its_pool(upstream))
		return CLAMP(limit_ms * ORDER_LIMITS_PER_POLL,
			     POLL_TIMEOUT_MIN_MS, POLL_TIMEOUT_MS);
	return MIN((int64_t)FIRST_POLL_TIMEOUT_MS << doublings,
		   POLL_TIMEOUT_MS);
}

/*
 * Upstreams that delay their pools come first, then those without a failed poll,
 * then those due the longest.
 */
static gint compare_first_polls(gconstpointer a, gconstpointer b)
{
	const sched_upstream_t *one = *(sched_upstream_t *const *)a;
	const sched_upstream_t *other = *(sched_upstream_t *const *)b;
	bool one_polled = one->failed_polls > 0;
	bool other_polled = other->failed_polls > 0;

	if (delays_its_pool(one) != delays_its_pool(other))
		return delays_its_pool(one) ? -1 : 1;

	if (one_polled != other_polled)
		return one_polled ? 1 : -1;
	if (one->next_poll_ms == other->next_poll_ms)
		return 0;
	return one->next_poll_ms < other->next_poll_ms ? -1 : 1;
}
