#ifndef WWH_BENCH_SIM_H
#define WWH_BENCH_SIM_H

/*
 * NAME
 *	sim - entry processes, minions and callers on a virtual clock
 *
 * USE
 *	One service. Callers send by a Poisson process to the entry processes;
 *	each entry process decides by a policy_t of its own and sees nothing
 *	of the others but what they tell it. A minion works on as many
 *	requests at once as it truly bears, queues what comes above in the
 *	order of coming, and refuses connections beyond its bound. All random
 *	numbers come from one seed.
 *
 * ORDER OF CALLS
 *	sim_run for each pattern and policy; see patterns.h for the patterns
 *	and report.h for the figures.
 */

#include <assert.h>
#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "waxwinghollow/dispatch.h"

#define SIM_PROCESSES_MAX 8
#define SIM_MINIONS_MAX 16
#define SIM_CALLERS_MAX 256
#define SIM_ATTEMPTS_MAX 64
#define SIM_ZONES 3
#define SIM_SAMPLE_MS 250
#define SIM_SAMPLES_MAX 256
#define SIM_BUCKET_MS 10
#define SIM_BUCKETS_MAX 4096
#define SIM_AT_ONCE_MS 10

typedef enum {
	MINION_GOOD = 0,
	MINION_FAST_FAIL,
	MINION_SILENT,
	MINION_SLOW,
	MINION_DOWN
} minion_mode_t;

typedef struct {
	const char *name;
	double load; /* of capacity */
	int64_t duration_ms;
	int64_t warm_up_ms; /* not counted */
	int32_t processes;
	int32_t minions;
	int32_t slots; /* declared */
	int32_t bears; /* requests at once in truth */
	bool refuses; /* what comes above, in place of queueing it */
	double run_ms; /* mean, exponential */
	double long_share; /* of the requests are long */
	double long_factor; /* times as long */
	int32_t deadline_ms;
	int32_t callers;
	double hot_share; /* of the load from the first two callers */
	double urgent_share;
	double uneven; /* of the load to the first process; 0: even */
	double idempotent_share;
	/* a fault on minions [0, fault_count) */
	minion_mode_t fault;
	int32_t fault_count;
	double slow_factor;
	int64_t fault_from_ms;
	int64_t fault_to_ms;
	/* a burst on top */
	double burst_load;
	int64_t burst_from_ms;
	int64_t burst_to_ms;
	/* every so often, this share of all that is open is cancelled */
	int64_t cancel_every_ms;
	double cancel_share;
	int32_t client_tries; /* a caller that failed comes back */
} pattern_t;

typedef struct sim sim_t;
typedef struct sim_request sim_request_t;

/* One entry process's decisions. */
typedef struct {
	const char *name;
	void *(*make)(sim_t *sim, int32_t process);
	void (*arrive)(void *policy, double now, sim_request_t *request);
	void (*cancel)(void *policy, double now, sim_request_t *request);
	void (*finished)(void *policy, double now, sim_request_t *request,
			 int32_t minion, wwh_outcome_t outcome, double latency);
	/* called every millisecond */
	void (*tick)(void *policy, double now);
	/* every 10 ms: what this process tells another; NULL: nothing */
	void (*gossip)(void *from, void *to, int32_t from_process,
		       int32_t to_process, double now);
	void (*delete)(void *policy);
} policy_t;

struct sim_request {
	uint64_t id;
	int32_t process;
	int32_t caller;
	bool urgent;
	bool idempotent;
	double arrived;
	double deadline;
	double work_ms; /* on a good minion */
	int32_t tries_left; /* of its caller */
	bool ended;
	bool counted; /* arrived within the measured time */
	int32_t attempts;
	int32_t attempt; /* the number of the one that counts now; 0: none */
	int32_t minion;
	double sent;
	void *node; /* the policy's own */
};

typedef struct {
	sim_request_t *request;
	int32_t attempt;
	double sent;
	double timeout_at;
} sim_job_t;

typedef struct {
	int32_t zone;
	minion_mode_t mode;
	int32_t busy;
	GQueue queue; /* sim_job_t */
	int32_t held; /* slots that processes use there now */
	int32_t held_most;
	double work_factor;
} sim_minion_t;

typedef struct {
	GArray *latency; /* double, of what was answered in time */
	GArray *refusal; /* double, arrival to refusal */
	int64_t offered;
	int64_t in_time;
	int64_t in_time_here; /* answered within the measured time */
	int64_t late; /* ended after the deadline */
	int64_t refused; /* never started */
	int64_t no_retry_after; /* refused without one */
	int64_t harmed; /* started, and the end was an error */
	int64_t cancelled;
	int64_t started;
	int64_t attempts;
	int64_t outage_started;
	int64_t outage_attempts;
	int32_t held_most;
	int32_t offered_at[SIM_BUCKETS_MAX]; /* that were not cancelled */
	int64_t refused_at_once; /* within 10 ms */
	double offered_by[SIM_CALLERS_MAX];
	double answered_by[SIM_CALLERS_MAX];
	int32_t to_bad[SIM_SAMPLES_MAX]; /* starts to faulty minions */
	int32_t to_all[SIM_SAMPLES_MAX];
	int32_t answered[SIM_SAMPLES_MAX]; /* in time */
	int32_t refused_in[SIM_SAMPLES_MAX];
	int32_t harmed_in[SIM_SAMPLES_MAX];
} sim_result_t;

typedef void (*sim_action_t)(sim_t *sim, double now, void *data, int64_t n);

typedef struct {
	double at;
	uint64_t number;
	sim_action_t action;
	void *data;
	int64_t n;
} sim_event_t;

struct sim {
	const pattern_t *pattern;
	const policy_t *policy;
	GRand *random;
	GArray *events; /* sim_event_t, a binary heap */
	uint64_t last_event;
	uint64_t last_request;
	int64_t open; /* requests without an end, and returns to come */
	void *processes[SIM_PROCESSES_MAX];
	sim_minion_t minions[SIM_MINIONS_MAX];
	GPtrArray *requests; /* all, owned */
	sim_result_t result;
};

static inline int32_t sim_zone_of_process(int32_t process)
{
	return process % SIM_ZONES;
}

static inline bool sim_event_before(const sim_event_t *a, const sim_event_t *b)
{
	if (a->at < b->at)
		return true;
	return a->at <= b->at && a->number < b->number;
}

static inline void sim_at(sim_t *sim, double at, sim_action_t action,
			  void *data, int64_t n)
{
	sim_event_t event = { at, ++sim->last_event, action, data, n };
	guint place = sim->events->len;

	g_array_append_val(sim->events, event);
	while (place > 0) {
		guint parent = (place - 1) / 2;
		sim_event_t *heap = (sim_event_t *)(void *)sim->events->data;

		if (!sim_event_before(&event, &heap[parent]))
			break;
		heap[place] = heap[parent];
		heap[parent] = event;
		place = parent;
	}
}

static inline sim_event_t sim_next(sim_t *sim)
{
	sim_event_t *heap = (sim_event_t *)(void *)sim->events->data;
	sim_event_t first = heap[0];
	sim_event_t last = heap[sim->events->len - 1];
	guint place = 0;

	g_array_set_size(sim->events, sim->events->len - 1);
	while (2 * place + 1 < sim->events->len) {
		guint child = 2 * place + 1;

		if (child + 1 < sim->events->len &&
		    sim_event_before(&heap[child + 1], &heap[child]))
			child++;
		if (!sim_event_before(&heap[child], &last))
			break;
		heap[place] = heap[child];
		place = child;
	}
	if (sim->events->len > 0)
		heap[place] = last;
	return first;
}

/* One way between a process and a minion. */
static inline double sim_way_ms(const sim_t *sim, int32_t process,
				int32_t minion)
{
	return sim->minions[minion].zone == sim_zone_of_process(process) ? 0.2
									 : 1.2;
}

static inline int32_t sim_sample(double now)
{
	int32_t sample = (int32_t)(now / SIM_SAMPLE_MS);

	return MIN(sample, SIM_SAMPLES_MAX - 1);
}

static inline int32_t sim_bucket(double now)
{
	int32_t bucket = (int32_t)(now / SIM_BUCKET_MS);

	return MIN(bucket, SIM_BUCKETS_MAX - 1);
}

static inline bool sim_in_fault(const sim_t *sim, double now)
{
	return sim->pattern->fault != MINION_GOOD &&
	       now >= (double)sim->pattern->fault_from_ms &&
	       now < (double)sim->pattern->fault_to_ms;
}

static inline void sim_arrive(sim_t *sim, double now, void *data, int64_t n);

static inline sim_request_t *sim_new_request(sim_t *sim, double now,
					     int32_t caller)
{
	const pattern_t *pattern = sim->pattern;
	sim_request_t *request = g_new0(sim_request_t, 1);

	request->id = ++sim->last_request;
	request->caller = caller;
	request->arrived = now;
	request->deadline = now + pattern->deadline_ms;
	request->work_ms =
		-pattern->run_ms * log(1 - g_rand_double(sim->random));
	if (g_rand_double(sim->random) < pattern->long_share)
		request->work_ms *= pattern->long_factor;
	request->idempotent =
		g_rand_double(sim->random) < pattern->idempotent_share;
	request->urgent = g_rand_double(sim->random) < pattern->urgent_share;
	request->tries_left = pattern->client_tries;
	request->process = g_rand_int_range(sim->random, 0, pattern->processes);
	if (g_rand_double(sim->random) < pattern->uneven)
		request->process = 0;
	request->counted = now >= (double)pattern->warm_up_ms &&
			   now < (double)pattern->duration_ms;
	g_ptr_array_add(sim->requests, request);
	return request;
}

static inline void sim_submit(sim_t *sim, double now, sim_request_t *request)
{
	sim->open++;
	sim->result.offered_at[sim_bucket(now)]++;
	if (request->counted) {
		sim->result.offered++;
		sim->result.offered_by[request->caller] += 1;
	}
	sim->policy->arrive(sim->processes[request->process], now, request);
}

/* The same caller again, n-th life of a request. */
static inline void sim_return(sim_t *sim, double now, void *data, int64_t n)
{
	const sim_request_t *former = data;
	sim_request_t *request = sim_new_request(sim, now, former->caller);

	request->work_ms = former->work_ms;
	request->idempotent = former->idempotent;
	request->tries_left = (int32_t)n;
	sim->open--;
	sim_submit(sim, now, request);
}

/* Called by a policy: the final answer to the caller. */
static inline void sim_end(sim_t *sim, double now, sim_request_t *request,
			   wwh_error_kind_t kind, bool answer_is_error,
			   int32_t retry_after_ms)
{
	sim_result_t *result = &sim->result;
	double latency = now - request->arrived;
	bool good = kind == WWH_ERROR_NONE && !answer_is_error;

	assert(!request->ended);
	request->ended = true;
	sim->open--;
	if (!good && request->tries_left > 0 &&
	    kind != WWH_ERROR_CALLER_GONE_NOT_RUN &&
	    kind != WWH_ERROR_CALLER_GONE_UNKNOWN) {
		double wait = retry_after_ms > 0 ? retry_after_ms : 100;

		wait *= 1 + 0.1 * g_rand_double(sim->random);
		sim->open++;
		sim_at(sim, now + wait, sim_return, request,
		       request->tries_left - 1);
	}
	if (good)
		result->answered[sim_sample(now)]++;
	else if (request->attempts == 0)
		result->refused_in[sim_sample(now)]++;
	else
		result->harmed_in[sim_sample(now)]++;
	if (good && now <= request->deadline + 1 &&
	    now >= (double)sim->pattern->warm_up_ms &&
	    now < (double)sim->pattern->duration_ms)
		result->in_time_here++;
	if (kind == WWH_ERROR_CALLER_GONE_NOT_RUN ||
	    kind == WWH_ERROR_CALLER_GONE_UNKNOWN)
		result->offered_at[sim_bucket(request->arrived)]--;
	if (!request->counted)
		return;
	if (now > request->deadline + 1)
		result->late++;
	if (kind == WWH_ERROR_CALLER_GONE_NOT_RUN ||
	    kind == WWH_ERROR_CALLER_GONE_UNKNOWN) {
		result->cancelled++;
	} else if (good && now <= request->deadline + 1) {
		result->in_time++;
		result->answered_by[request->caller] += 1;
		g_array_append_val(result->latency, latency);
	} else if (request->attempts == 0) {
		result->refused++;
		result->refused_at_once += latency <= SIM_AT_ONCE_MS;
		result->no_retry_after += retry_after_ms == 0;
		g_array_append_val(result->refusal, latency);
	} else {
		result->harmed++;
	}
}

static inline void sim_minion_serve(sim_t *sim, double now, int32_t index);

/* The answer (or the failure) is back at the process. */
static inline void sim_back(sim_t *sim, double now, void *data, int64_t outcome)
{
	sim_job_t *job = data;
	sim_request_t *request = job->request;

	if (request->attempt == job->attempt) {
		request->attempt = 0;
		sim->minions[request->minion].held--;
		sim->policy->finished(sim->processes[request->process], now,
				      request, request->minion,
				      (wwh_outcome_t)outcome, now - job->sent);
	}
	g_free(job);
}

static inline void sim_done(sim_t *sim, double now, void *data, int64_t n)
{
	sim_job_t *job = data;
	int32_t index = (int32_t)n;
	double way = sim_way_ms(sim, job->request->process, index);

	sim->minions[index].busy--;
	sim_at(sim, now + way, sim_back, job, WWH_OUTCOME_ANSWERED);
	sim_minion_serve(sim, now, index);
}

static inline void sim_minion_serve(sim_t *sim, double now, int32_t index)
{
	sim_minion_t *minion = &sim->minions[index];

	while (minion->busy < sim->pattern->bears &&
	       !g_queue_is_empty(&minion->queue)) {
		sim_job_t *job = g_queue_pop_head(&minion->queue);

		/* A minion notices that the other end has closed. */
		if (job->request->attempt != job->attempt) {
			g_free(job);
			continue;
		}
		minion->busy++;
		sim_at(sim, now + job->request->work_ms * minion->work_factor,
		       sim_done, job, index);
	}
}

static inline void sim_reach(sim_t *sim, double now, void *data, int64_t n)
{
	sim_job_t *job = data;
	int32_t index = (int32_t)n;
	sim_minion_t *minion = &sim->minions[index];
	double way = sim_way_ms(sim, job->request->process, index);

	switch (minion->mode) {
	case MINION_FAST_FAIL:
		sim_at(sim, now + 1 + way, sim_back, job,
		       WWH_OUTCOME_ERROR_ANSWERED);
		return;
	case MINION_DOWN:
		sim_at(sim, now + way, sim_back, job,
		       WWH_OUTCOME_CONNECT_FAILED);
		return;
	case MINION_SILENT:
		g_free(job);
		return;
	default:
		break;
	}
	if (sim->pattern->refuses && minion->busy >= sim->pattern->bears) {
		sim_at(sim, now + way, sim_back, job, WWH_OUTCOME_REFUSED);
		return;
	}
	if (g_queue_get_length(&minion->queue) >= 64) {
		sim_at(sim, now + way, sim_back, job,
		       WWH_OUTCOME_CONNECT_FAILED);
		return;
	}
	g_queue_push_tail(&minion->queue, job);
	sim_minion_serve(sim, now, index);
}

static inline void sim_time_out(sim_t *sim, double now, void *data, int64_t n)
{
	sim_request_t *request = data;

	if (request->attempt != (int32_t)n || request->attempt == 0)
		return;
	request->attempt = 0;
	sim->minions[request->minion].held--;
	sim->policy->finished(sim->processes[request->process], now, request,
			      request->minion, WWH_OUTCOME_SILENT,
			      now - request->sent);
}

/* Called by a policy: sends the request to the minion. */
static inline void sim_start(sim_t *sim, double now, sim_request_t *request,
			     int32_t index, double timeout_ms)
{
	sim_minion_t *minion = &sim->minions[index];
	sim_job_t *job = g_new0(sim_job_t, 1);
	sim_result_t *result = &sim->result;
	int32_t sample = sim_sample(now);
	bool bad = sim_in_fault(sim, now) && index < sim->pattern->fault_count;

	assert(!request->ended && request->attempt == 0);
	result->started += request->attempts == 0;
	result->attempts++;
	if (sim_in_fault(sim, now)) {
		result->outage_started += request->attempts == 0;
		result->outage_attempts++;
	}
	request->attempts++;
	request->attempt = request->attempts;
	request->minion = index;
	request->sent = now;
	minion->held++;
	minion->held_most = MAX(minion->held_most, minion->held);
	result->held_most = MAX(result->held_most, minion->held);
	result->to_all[sample]++;
	result->to_bad[sample] += bad;
	job->request = request;
	job->attempt = request->attempt;
	job->sent = now;
	sim_at(sim, now + sim_way_ms(sim, request->process, index), sim_reach,
	       job, index);
	sim_at(sim, now + timeout_ms, sim_time_out, request, request->attempt);
}

/* Called by a policy after a cancel: the attempt is given up. */
static inline void sim_abort(sim_t *sim, double now, sim_request_t *request)
{
	if (request->attempt == 0)
		return;
	request->attempt = 0;
	sim->minions[request->minion].held--;
	sim->policy->finished(sim->processes[request->process], now, request,
			      request->minion, WWH_OUTCOME_ABORTED,
			      now - request->sent);
}

static inline double sim_capacity_per_ms(const pattern_t *pattern)
{
	double mean = pattern->run_ms *
		      (1 + pattern->long_share * (pattern->long_factor - 1));

	return pattern->minions * MIN(pattern->slots, pattern->bears) / mean;
}

static inline void sim_arrive(sim_t *sim, double now, void *data, int64_t n)
{
	const pattern_t *pattern = sim->pattern;
	double load = pattern->load;
	int32_t caller = g_rand_int_range(sim->random, 0, pattern->callers);
	double gap;

	if (now >= (double)pattern->burst_from_ms &&
	    now < (double)pattern->burst_to_ms)
		load += pattern->burst_load;
	if (g_rand_double(sim->random) < pattern->hot_share)
		caller = g_rand_int_range(sim->random, 0, 2);
	sim_submit(sim, now, sim_new_request(sim, now, caller));
	gap = -log(1 - g_rand_double(sim->random)) /
	      (load * sim_capacity_per_ms(pattern));
	if (now + gap < (double)pattern->duration_ms)
		sim_at(sim, now + gap, sim_arrive, data, n);
}

static inline void sim_tick(sim_t *sim, double now, void *data, int64_t n)
{
	const pattern_t *pattern = sim->pattern;

	for (int32_t i = 0; i < pattern->processes; i++)
		sim->policy->tick(sim->processes[i], now);
	if (n % 10 == 0 && sim->policy->gossip != NULL) {
		for (int32_t i = 0; i < pattern->processes; i++)
			for (int32_t k = 0; k < pattern->processes; k++)
				if (i != k)
					sim->policy->gossip(sim->processes[i],
							    sim->processes[k],
							    i, k, now);
	}
	if (now < (double)pattern->duration_ms || sim->open > 0)
		sim_at(sim, now + 1, sim_tick, data, n + 1);
}

static inline void sim_fault(sim_t *sim, double now, void *data, int64_t on)
{
	const pattern_t *pattern = sim->pattern;

	(void)now;
	(void)data;
	for (int32_t i = 0; i < pattern->fault_count; i++) {
		sim->minions[i].mode = on ? pattern->fault : MINION_GOOD;
		sim->minions[i].work_factor =
			on && pattern->fault == MINION_SLOW
				? pattern->slow_factor
				: 1;
	}
}

static inline void sim_cancel_wave(sim_t *sim, double now, void *data,
				   int64_t n)
{
	const pattern_t *pattern = sim->pattern;

	for (guint i = 0; i < sim->requests->len; i++) {
		sim_request_t *request = g_ptr_array_index(sim->requests, i);

		if (request->ended ||
		    g_rand_double(sim->random) >= pattern->cancel_share)
			continue;
		sim->policy->cancel(sim->processes[request->process], now,
				    request);
	}
	if (now + (double)pattern->cancel_every_ms <
	    (double)pattern->duration_ms)
		sim_at(sim, now + (double)pattern->cancel_every_ms,
		       sim_cancel_wave, data, n);
}

static inline void sim_free_job(gpointer data)
{
	g_free(data);
}

static inline sim_result_t sim_run(const pattern_t *pattern,
				   const policy_t *policy, uint32_t seed)
{
	sim_t sim = { .pattern = pattern, .policy = policy };

	sim.random = g_rand_new_with_seed(seed);
	sim.events = g_array_new(FALSE, FALSE, sizeof(sim_event_t));
	sim.requests = g_ptr_array_new_with_free_func(g_free);
	sim.result.latency = g_array_new(FALSE, FALSE, sizeof(double));
	sim.result.refusal = g_array_new(FALSE, FALSE, sizeof(double));
	for (int32_t i = 0; i < pattern->minions; i++) {
		sim.minions[i].zone = i % SIM_ZONES;
		sim.minions[i].work_factor = 1;
		g_queue_init(&sim.minions[i].queue);
	}
	for (int32_t i = 0; i < pattern->processes; i++)
		sim.processes[i] = policy->make(&sim, i);
	sim_at(&sim, 0, sim_arrive, NULL, 0);
	sim_at(&sim, 0, sim_tick, NULL, 0);
	if (pattern->fault != MINION_GOOD) {
		sim_at(&sim, (double)pattern->fault_from_ms, sim_fault, NULL,
		       1);
		sim_at(&sim, (double)pattern->fault_to_ms, sim_fault, NULL, 0);
	}
	if (pattern->cancel_every_ms > 0)
		sim_at(&sim, (double)pattern->cancel_every_ms, sim_cancel_wave,
		       NULL, 0);
	while (sim.events->len > 0) {
		sim_event_t event = sim_next(&sim);

		event.action(&sim, event.at, event.data, event.n);
	}
	for (int32_t i = 0; i < pattern->processes; i++)
		policy->delete (sim.processes[i]);
	for (int32_t i = 0; i < pattern->minions; i++)
		g_queue_clear_full(&sim.minions[i].queue, sim_free_job);
	g_array_free(sim.events, TRUE);
	g_ptr_array_free(sim.requests, TRUE);
	g_rand_free(sim.random);
	return sim.result;
}

#endif
