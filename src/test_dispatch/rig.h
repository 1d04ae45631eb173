#ifndef WWH_TEST_RIG_H
#define WWH_TEST_RIG_H

/* One dispatcher with one service, and what it decided. */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <stdio.h>

#include "waxwinghollow/dispatch.h"

#define RIG_MINIONS_MAX 16

typedef struct {
	wwh_dispatch_t *dispatch;
	GRand *random;
	GArray *starts; /* wwh_decision_t, in their order */
	GArray *ends;
	char ids[RIG_MINIONS_MAX][8];
	wwh_dispatch_service_t services[1];
	wwh_dispatch_minion_t minions[RIG_MINIONS_MAX];
	wwh_dispatch_team_t teams[1];
	wwh_dispatch_setup_t setup;
} rig_t;

static inline void rig_drain(rig_t *rig)
{
	wwh_decision_t decision;

	while (wwh_dispatch_next_decision(rig->dispatch, &decision)) {
		if (decision.type == WWH_DECISION_START)
			g_array_append_val(rig->starts, decision);
		else
			g_array_append_val(rig->ends, decision);
	}
}

/* All seats are held: slots is what each minion has in all. */
static inline rig_t *rig_new(int32_t minions, int32_t slots)
{
	rig_t *rig = g_new0(rig_t, 1);
	wwh_dispatch_options_t options;
	wwh_dispatch_share_t share = { 8, 0xff, INT64_MAX };

	rig->random = g_rand_new_with_seed(7);
	rig->starts = g_array_new(FALSE, TRUE, sizeof(wwh_decision_t));
	rig->ends = g_array_new(FALSE, TRUE, sizeof(wwh_decision_t));
	rig->services[0] = (wwh_dispatch_service_t){ "session", false, 1000 };
	rig->teams[0] = (wwh_dispatch_team_t){ "parks", 4 };
	for (int32_t i = 0; i < minions; i++) {
		snprintf(rig->ids[i], sizeof(rig->ids[i]), "m%d", i);
		rig->minions[i] =
			(wwh_dispatch_minion_t){ rig->ids[i], "a", 0,
						 slots,	      64,  false };
	}
	rig->setup =
		(wwh_dispatch_setup_t){ rig->services, 1,	   rig->minions,
					minions,       rig->teams, 1 };
	wwh_dispatch_options_defaults(&options);
	options.zone = "a";
	options.random = rig->random;
	rig->dispatch = wwh_dispatch_new();
	assert_int_equal(wwh_dispatch_init(rig->dispatch, &options),
			 WWH_STATUS_OK);
	assert_int_equal(wwh_dispatch_configure(rig->dispatch, 0, &rig->setup),
			 WWH_STATUS_OK);
	wwh_dispatch_set_share(rig->dispatch, 0, &share);
	return rig;
}

static inline void rig_delete(rig_t *rig)
{
	wwh_dispatch_delete(rig->dispatch);
	g_rand_free(rig->random);
	g_array_free(rig->starts, TRUE);
	g_array_free(rig->ends, TRUE);
	g_free(rig);
}

static inline void rig_arrive(rig_t *rig, int64_t now_ms, uint64_t id,
			      uint64_t caller)
{
	wwh_dispatch_request_t request = { .id = id,
					   .service = "session",
					   .caller = caller,
					   .idempotent = true,
					   .bytes = 100 };

	wwh_dispatch_arrive(rig->dispatch, now_ms, &request);
	rig_drain(rig);
}

static inline wwh_decision_t rig_start(const rig_t *rig, guint index)
{
	assert_true(index < rig->starts->len);
	return g_array_index(rig->starts, wwh_decision_t, index);
}

static inline wwh_decision_t rig_end(const rig_t *rig, guint index)
{
	assert_true(index < rig->ends->len);
	return g_array_index(rig->ends, wwh_decision_t, index);
}

static inline void rig_finish(rig_t *rig, int64_t now_ms, guint start,
			      wwh_outcome_t outcome, int32_t latency_ms)
{
	wwh_decision_t decision = rig_start(rig, start);
	wwh_dispatch_result_t result = { .request = decision.request,
					 .minion = decision.minion,
					 .outcome = outcome,
					 .latency_ms = latency_ms };

	wwh_dispatch_finish_attempt(rig->dispatch, now_ms, &result);
	rig_drain(rig);
}

#endif
