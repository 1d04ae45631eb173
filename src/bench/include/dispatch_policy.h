#ifndef WWH_BENCH_DISPATCH_POLICY_H
#define WWH_BENCH_DISPATCH_POLICY_H

/*
 * NAME
 *	dispatch_policy - the dispatcher as a policy of the bench
 *
 * USE
 *	dispatch: as it is. seats-only: without loans between processes, the
 *	version that loans replaced.
 *
 * ORDER OF CALLS
 *	Through policy_t.
 */

#include "sim.h"

#include "waxwinghollow/dispatch_loan.h"

#define GOSSIP_WAY_MS 3.0

typedef struct {
	sim_t *sim;
	int32_t process;
	GRand *random;
	wwh_dispatch_t *dispatch;
	GHashTable *requests; /* &id to sim_request_t; for lookup only */
	bool draining;
} dispatch_policy_t;

static inline void *dispatch_make(sim_t *sim, int32_t process)
{
	static const char *const zones[SIM_ZONES] = { "a", "b", "c" };
	const pattern_t *pattern = sim->pattern;
	dispatch_policy_t *own = g_new0(dispatch_policy_t, 1);
	wwh_dispatch_service_t service = { "session", false,
					   pattern->deadline_ms };
	wwh_dispatch_minion_t minions[SIM_MINIONS_MAX];
	char names[SIM_MINIONS_MAX][8];
	wwh_dispatch_setup_t setup = { &service,	 1,    minions,
				       pattern->minions, NULL, 0 };
	wwh_dispatch_share_t share = { pattern->processes, 1ULL << process,
				       INT64_MAX };
	wwh_dispatch_options_t options;

	own->sim = sim;
	own->process = process;
	own->random = g_rand_new_with_seed(g_rand_int(sim->random) +
					   (guint32)process);
	own->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	for (int32_t i = 0; i < pattern->minions; i++) {
		g_snprintf(names[i], sizeof(names[i]), "m%d", i);
		minions[i] = (wwh_dispatch_minion_t){
			names[i], zones[sim->minions[i].zone],
			0,	  pattern->slots,
			64,	  false
		};
	}
	wwh_dispatch_options_defaults(&options);
	options.zone = zones[sim_zone_of_process(process)];
	options.random = own->random;
	own->dispatch = wwh_dispatch_new();
	if (wwh_dispatch_init(own->dispatch, &options) != WWH_STATUS_OK ||
	    wwh_dispatch_configure(own->dispatch, 0, &setup) != WWH_STATUS_OK)
		g_error("the dispatcher refused its setup");
	wwh_dispatch_set_share(own->dispatch, 0, &share);
	return own;
}

static inline sim_request_t *dispatch_find(const dispatch_policy_t *own,
					   uint64_t id)
{
	return g_hash_table_lookup(own->requests, &id);
}

static inline void dispatch_drain(dispatch_policy_t *own, double now)
{
	wwh_decision_t decision;

	if (own->draining)
		return;
	own->draining = true;
	while (wwh_dispatch_next_decision(own->dispatch, &decision)) {
		sim_request_t *request = dispatch_find(own, decision.request);

		if (decision.type == WWH_DECISION_START) {
			sim_start(own->sim, now, request,
				  atoi(decision.minion + 1),
				  decision.timeout_ms);
			continue;
		}
		sim_end(own->sim, now, request, decision.kind,
			decision.kind == WWH_ERROR_NONE &&
				request->node != NULL,
			decision.retry_after_ms);
		g_hash_table_remove(own->requests, &request->id);
	}
	own->draining = false;
}

static inline void dispatch_arrive(void *policy, double now,
				   sim_request_t *request)
{
	dispatch_policy_t *own = policy;
	wwh_dispatch_request_t event = { .id = request->id,
					 .service = "session" };

	event.caller = (uint64_t)request->caller + 1;
	event.urgent = request->urgent;
	event.idempotent = request->idempotent;
	event.bytes = 1000;
	event.deadline_ms = (int64_t)request->deadline;
	g_hash_table_insert(own->requests, &request->id, request);
	wwh_dispatch_arrive(own->dispatch, (int64_t)now, &event);
	dispatch_drain(own, now);
}

static inline void dispatch_cancel(void *policy, double now,
				   sim_request_t *request)
{
	dispatch_policy_t *own = policy;

	wwh_dispatch_cancel(own->dispatch, (int64_t)now, request->id);
	dispatch_drain(own, now);
	sim_abort(own->sim, now, request);
}

static inline void dispatch_finished(void *policy, double now,
				     sim_request_t *request, int32_t minion,
				     wwh_outcome_t outcome, double latency)
{
	dispatch_policy_t *own = policy;
	char name[8];
	wwh_dispatch_result_t result = { .request = request->id,
					 .minion = name,
					 .outcome = outcome };

	g_snprintf(name, sizeof(name), "m%d", minion);
	result.latency_ms = (int32_t)latency;
	/* node marks that the last answer reports a failure */
	request->node = outcome == WWH_OUTCOME_ERROR_ANSWERED ? own : NULL;
	wwh_dispatch_finish_attempt(own->dispatch, (int64_t)now, &result);
	dispatch_drain(own, now);
}

static inline void dispatch_tick(void *policy, double now)
{
	dispatch_policy_t *own = policy;

	if (wwh_dispatch_next_deadline_ms(own->dispatch) > (int64_t)now)
		return;
	wwh_dispatch_tick(own->dispatch, (int64_t)now);
	dispatch_drain(own, now);
}

typedef struct {
	dispatch_policy_t *to;
	uint64_t peer;
	char minion[WWH_DISPATCH_ID_BYTES];
	wwh_dispatch_loan_t loan;
} gossip_message_t;

typedef struct {
	dispatch_policy_t *from;
	dispatch_policy_t *to;
	double now;
} gossip_context_t;

static inline void gossip_arrives(sim_t *sim, double now, void *data, int64_t n)
{
	gossip_message_t *message = data;

	(void)sim;
	(void)n;
	message->loan.minion = message->minion;
	wwh_dispatch_loans_apply_update(message->to->dispatch, (int64_t)now,
					message->peer, &message->loan);
	dispatch_drain(message->to, now);
	g_free(message);
}

static inline void gossip_send(const wwh_dispatch_loan_t *loan,
			       void *client_data)
{
	const gossip_context_t *context = client_data;
	gossip_message_t *message = g_new0(gossip_message_t, 1);

	message->to = context->to;
	message->peer = (uint64_t)context->from->process + 1;
	message->loan = *loan;
	g_strlcpy(message->minion, loan->minion, sizeof(message->minion));
	sim_at(context->from->sim, context->now + GOSSIP_WAY_MS, gossip_arrives,
	       message, 0);
}

static inline void dispatch_gossip(void *from, void *to, int32_t from_process,
				   int32_t to_process, double now)
{
	gossip_context_t context = { from, to, now };

	(void)from_process;
	wwh_dispatch_loans_visit_updates(context.from->dispatch, (int64_t)now,
					 (uint64_t)to_process + 1, gossip_send,
					 &context);
}

static inline void dispatch_policy_delete(void *policy)
{
	dispatch_policy_t *own = policy;

	wwh_dispatch_delete(own->dispatch);
	g_hash_table_destroy(own->requests);
	g_rand_free(own->random);
	g_free(own);
}

#endif
