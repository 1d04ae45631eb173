#ifndef WWH_BENCH_BASELINE_H
#define WWH_BENCH_BASELINE_H

/*
 * NAME
 *	baseline - the policies that the dispatcher is measured against
 *
 * USE
 *	fifo-rr: one FIFO in each process, minions in turn, every process
 *	thinks all slots are its own, a fixed time-out for the whole request,
 *	two further attempts at once for idempotent or surely not run requests.
 *	least-conn: the same with the minion that has the fewest of this
 *	process's requests.
 *	cooldown: least-conn, and a minion whose failures in the last 60 s are
 *	above half (at least 5 attempts) gets nothing for a fixed 5 s, without
 *	a probe, each process for itself; when all are cooling down the
 *	request fails at once with the time until the first is back ("Retries,
 *	fallbacks and cooldowns").
 *
 * ORDER OF CALLS
 *	Through policy_t.
 */

#include "sim.h"

#define BASELINE_TIMEOUT_MS 5000.0
#define BASELINE_ATTEMPTS 3
#define COOLDOWN_MS 5000.0
#define COOLDOWN_WINDOW_MS 60000.0
#define COOLDOWN_ATTEMPTS_MIN 5

typedef enum {
	PICK_ROUND_ROBIN = 0,
	PICK_LEAST,
	PICK_COOLDOWN
} pick_t;

typedef struct {
	sim_t *sim;
	int32_t process;
	pick_t pick;
	GQueue queue; /* sim_request_t, embedded in nothing: GList nodes */
	int32_t running[SIM_MINIONS_MAX];
	int32_t next;
	double good[SIM_MINIONS_MAX]; /* attempts in the window */
	double failed[SIM_MINIONS_MAX];
	double window_at[SIM_MINIONS_MAX];
	double cool_until[SIM_MINIONS_MAX];
} baseline_t;

static inline void *baseline_make(sim_t *sim, int32_t process, pick_t pick)
{
	baseline_t *own = g_new0(baseline_t, 1);

	own->sim = sim;
	own->process = process;
	own->pick = pick;
	g_queue_init(&own->queue);
	return own;
}

static inline void *fifo_rr_make(sim_t *sim, int32_t process)
{
	return baseline_make(sim, process, PICK_ROUND_ROBIN);
}

static inline void *least_conn_make(sim_t *sim, int32_t process)
{
	return baseline_make(sim, process, PICK_LEAST);
}

static inline void *cooldown_make(sim_t *sim, int32_t process)
{
	return baseline_make(sim, process, PICK_COOLDOWN);
}

static inline bool baseline_usable(const baseline_t *own, int32_t minion,
				   double now)
{
	return own->running[minion] < own->sim->pattern->slots &&
	       now >= own->cool_until[minion];
}

static inline int32_t baseline_pick(baseline_t *own, double now,
				    int32_t failed_on)
{
	int32_t count = own->sim->pattern->minions;
	int32_t best = -1;

	for (int32_t i = 0; i < count; i++) {
		int32_t minion = (own->next + i) % count;

		if (!baseline_usable(own, minion, now) || minion == failed_on)
			continue;
		if (own->pick == PICK_ROUND_ROBIN) {
			own->next = (minion + 1) % count;
			return minion;
		}
		if (best < 0 || own->running[minion] < own->running[best])
			best = minion;
	}
	if (best >= 0)
		own->next = (best + 1) % count;
	return best;
}

/* Time until the first is back; 0: one is in use now. */
static inline double baseline_all_cooling(const baseline_t *own, double now)
{
	double first = INFINITY;

	for (int32_t i = 0; i < own->sim->pattern->minions; i++) {
		if (now >= own->cool_until[i])
			return 0;
		first = fmin(first, own->cool_until[i] - now);
	}
	return first;
}

static inline void baseline_pump(baseline_t *own, double now)
{
	while (!g_queue_is_empty(&own->queue)) {
		sim_request_t *request = g_queue_peek_head(&own->queue);
		int32_t failed_on =
			request->attempts > 0 ? request->minion : -1;
		double cooling = baseline_all_cooling(own, now);
		double left = request->arrived + BASELINE_TIMEOUT_MS - now;
		int32_t minion;

		if (cooling > 0) {
			g_queue_pop_head(&own->queue);
			sim_end(own->sim, now, request, WWH_ERROR_NO_MINION,
				false, (int32_t)ceil(cooling));
			continue;
		}
		minion = baseline_pick(own, now, failed_on);
		if (minion < 0)
			return;
		g_queue_pop_head(&own->queue);
		own->running[minion]++;
		sim_start(own->sim, now, request, minion, fmax(left, 1));
	}
}

static inline void baseline_arrive(void *policy, double now,
				   sim_request_t *request)
{
	baseline_t *own = policy;

	g_queue_push_tail(&own->queue, request);
	baseline_pump(own, now);
}

static inline void baseline_cancel(void *policy, double now,
				   sim_request_t *request)
{
	baseline_t *own = policy;

	if (request->attempt == 0)
		g_queue_remove(&own->queue, request);
	sim_end(own->sim, now, request,
		request->attempt == 0 ? WWH_ERROR_CALLER_GONE_NOT_RUN
				      : WWH_ERROR_CALLER_GONE_UNKNOWN,
		false, 0);
	sim_abort(own->sim, now, request);
}

static inline void baseline_cool(baseline_t *own, double now, int32_t minion,
				 bool failed)
{
	double total;

	if (now - own->window_at[minion] > COOLDOWN_WINDOW_MS) {
		own->window_at[minion] = now;
		own->good[minion] = 0;
		own->failed[minion] = 0;
	}
	own->good[minion] += !failed;
	own->failed[minion] += failed;
	total = own->good[minion] + own->failed[minion];
	if (failed && total >= COOLDOWN_ATTEMPTS_MIN &&
	    own->failed[minion] > total / 2)
		own->cool_until[minion] = now + COOLDOWN_MS;
}

static inline void baseline_finished(void *policy, double now,
				     sim_request_t *request, int32_t minion,
				     wwh_outcome_t outcome, double latency)
{
	baseline_t *own = policy;
	bool good = outcome == WWH_OUTCOME_ANSWERED;
	bool not_run = outcome == WWH_OUTCOME_CONNECT_FAILED ||
		       outcome == WWH_OUTCOME_REFUSED;

	(void)latency;
	own->running[minion]--;
	if (own->pick == PICK_COOLDOWN && outcome != WWH_OUTCOME_ABORTED)
		baseline_cool(own, now, minion, !good);
	if (!request->ended) {
		bool again = !good && outcome != WWH_OUTCOME_SILENT &&
			     (request->idempotent || not_run) &&
			     request->attempts < BASELINE_ATTEMPTS;

		if (again)
			g_queue_push_head(&own->queue, request);
		else
			sim_end(own->sim, now, request,
				good || outcome == WWH_OUTCOME_ERROR_ANSWERED
					? WWH_ERROR_NONE
					: WWH_ERROR_ANSWER_LOST,
				outcome == WWH_OUTCOME_ERROR_ANSWERED, 0);
	}
	baseline_pump(own, now);
}

static inline void baseline_tick(void *policy, double now)
{
	baseline_t *own = policy;
	sim_request_t *request = g_queue_peek_head(&own->queue);

	while (request != NULL &&
	       now - request->arrived > BASELINE_TIMEOUT_MS) {
		g_queue_pop_head(&own->queue);
		sim_end(own->sim, now, request, WWH_ERROR_DEADLINE_NOT_RUN,
			false, 0);
		request = g_queue_peek_head(&own->queue);
	}
	baseline_pump(own, now);
}

static inline void baseline_delete(void *policy)
{
	baseline_t *own = policy;

	g_queue_clear(&own->queue);
	g_free(own);
}

#endif
