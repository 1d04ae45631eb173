#include "private/scheduler_state.h"

/*
 * An upstream that runs something answers at least this often: the longest wait
 * is how late an overtaken holder learns of it.
 */
#define POLL_WAIT_MS 1000

/*
 * Polls a second at upstreams that run nothing. Each of them polled all the time,
 * some thousand leave a holder no time for those that run tasks; so many polls
 * show soon enough that the holder was overtaken.
 */
#define IDLE_POLLS_PER_S 500
#define IDLE_GAP_MAX_MS 3000

/* Multiplicative hashing: the golden ratio of 2^32. */
#define HASH_FACTOR 2654435761U
#define SECOND_MS 1000

/* Ends within this time of each other come in one answer. */
#define POLL_GAP_MS 25

/*
 * An answer that lists ends which aren't acknowledged yet comes at once: asking
 * again before they are durable would spin. This is about five appends.
 */
#define POLL_UNACKED_GAP_MS 60

/* Nothing became durable for so long: the store is down, for seconds. */
#define UNACKED_LONG_MS 400
#define POLL_UNACKED_LONG_GAP_MS 250

/* What WWH_OVERTAKEN_HOLDER_MS leaves for the way. */
#define ANSWER_MS 150
G_STATIC_ASSERT(POLL_WAIT_MS + POLL_UNACKED_LONG_GAP_MS + ANSWER_MS <=
		WWH_OVERTAKEN_HOLDER_MS);

/*
 * Beyond what a poll asks to wait: an upstream answers in some ms. The first
 * question to an inherited one, for which its whole pool waits, is given up
 * sooner and repeated, with twice the time for each that was in vain.
 */
#define POLL_LIMIT_MS 700
#define FIRST_POLL_LIMIT_MS 150
#define FIRST_POLL_RETRY_MS 20

/*
 * First polls that are unanswered at a time. All sent at once by a new holder of
 * some thousand upstreams, their answers wait in its own sockets past their
 * limits, and each retry adds to what it can't keep up with.
 */
#define FIRST_POLLS_IN_FLIGHT 128

/* After a poll without an answer: first, and at most. */
#define POLL_RETRY_MS 150
#define POLL_RETRY_MAX_MS 800

static bool is_poll_due(const wwh_scheduler_t *scheduler,
			const sched_upstream_t *upstream);
static void send_poll(wwh_scheduler_t *scheduler, sched_upstream_t *upstream);
static bool pool_waits_for(const sched_upstream_t *upstream);
static int64_t poll_limit_ms(const sched_upstream_t *upstream);
static gint compare_first_polls(gconstpointer a, gconstpointer b);

int64_t sched_poll_gap_ms(const wwh_scheduler_t *scheduler,
			  const sched_upstream_t *upstream)
{
	if (upstream->ends_seen == upstream->ends_acked)
		return POLL_GAP_MS;
	return scheduler->now_ms - scheduler->durable_ms < UNACKED_LONG_MS
		       ? POLL_UNACKED_GAP_MS
		       : POLL_UNACKED_LONG_GAP_MS;
}

int64_t sched_poll_retry_ms(const sched_upstream_t *upstream)
{
	if (pool_waits_for(upstream) && upstream->refused_polls == 0)
		return FIRST_POLL_RETRY_MS;
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

/* From half to one and a half times the mean, lest all are polled at once. */
int64_t sched_poll_idle_gap_ms(const wwh_scheduler_t *scheduler,
			       const sched_upstream_t *upstream)
{
	int64_t mean_ms = (int64_t)scheduler->idle_upstreams * SECOND_MS /
				  IDLE_POLLS_PER_S -
			  POLL_WAIT_MS;
	guint spread = g_str_hash(upstream->info.id) ^
		       (guint)scheduler->now_ms * HASH_FACTOR;

	mean_ms = MIN(mean_ms, IDLE_GAP_MAX_MS);
	if (!sched_upstream_is_idle(upstream) || mean_ms <= POLL_GAP_MS)
		return 0;
	return mean_ms / 2 + mean_ms * (spread % PERMILLE) / PERMILLE;
}

static bool is_poll_due(const wwh_scheduler_t *scheduler,
			const sched_upstream_t *upstream)
{
	return sched_upstream_is_located(upstream) &&
	       !upstream->poll_in_flight &&
	       upstream->termination_reason == NULL &&
	       scheduler->now_ms >= upstream->next_poll_ms;
}

static void send_poll(wwh_scheduler_t *scheduler, sched_upstream_t *upstream)
{
	bool busy = upstream->tasks->len > 0 || upstream->orphans > 0;
	wwh_poll_order_t order = {
		.upstream = upstream->info.id,
		.endpoint = upstream->info.endpoint,
		.ends_acked_upto = upstream->ends_acked,
		.wait_ms = POLL_WAIT_MS,
		.limit_ms = poll_limit_ms(upstream),
	};

	/* the first answer tells its clock; until then nothing is waited for */
	if (!upstream->settled || upstream->failed_polls > 0)
		order.wait_ms = 0;
	/*
	 * A lease is extended only while answers come: each order that is
	 * sent may still arrive, so asking on and on of an upstream that is
	 * gone would put off the end of its lease for good.
	 */
	if (upstream->failed_polls > 0)
		order.lease_until_remote_ms = upstream->lease_until_remote_ms;
	else if (busy || upstream->inherited)
		order.lease_until_remote_ms =
			sched_lease_extend(scheduler, upstream);
	upstream->poll_in_flight = true;
	scheduler->callbacks.poll(&order, scheduler->callbacks.client_data);
}

static bool pool_waits_for(const sched_upstream_t *upstream)
{
	return upstream->inherited && !upstream->settled;
}

static int64_t poll_limit_ms(const sched_upstream_t *upstream)
{
	int32_t doublings = MIN(upstream->failed_polls, 8);

	if (!pool_waits_for(upstream))
		return POLL_LIMIT_MS;
	return MIN((int64_t)FIRST_POLL_LIMIT_MS << doublings, POLL_LIMIT_MS);
}

/* Those that weren't asked yet come first, then those due for the longest. */
static gint compare_first_polls(gconstpointer a, gconstpointer b)
{
	const sched_upstream_t *one = *(sched_upstream_t *const *)a;
	const sched_upstream_t *other = *(sched_upstream_t *const *)b;
	bool one_asked = one->failed_polls > 0;
	bool other_asked = other->failed_polls > 0;

	if (one_asked != other_asked)
		return one_asked ? 1 : -1;
	if (one->next_poll_ms == other->next_poll_ms)
		return 0;
	return one->next_poll_ms < other->next_poll_ms ? -1 : 1;
}
