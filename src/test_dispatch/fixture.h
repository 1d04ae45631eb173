#ifndef WWH_TEST_DISPATCH_FIXTURE_H
#define WWH_TEST_DISPATCH_FIXTURE_H

/* A dispatcher with one service, and the decisions that it made. */

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <stdio.h>

#include "waxwinghollow/dispatch.h"

#define FIXTURE_MINIONS_MAX 16

typedef struct {
	wwh_dispatch_t *dispatch;
	GRand *random;
	GArray *starts; /* wwh_decision_t, in the order of decision */
	GArray *ends;
	char ids[FIXTURE_MINIONS_MAX][8];
	wwh_dispatch_service_t services[1];
	wwh_dispatch_minion_t minions[FIXTURE_MINIONS_MAX];
	wwh_dispatch_team_t teams[1];
	wwh_dispatch_setup_t setup;
} fixture_t;

static inline void fixture_drain(fixture_t *fixture)
{
	wwh_decision_t decision;

	while (wwh_dispatch_next_decision(fixture->dispatch, &decision)) {
		if (decision.type == WWH_DECISION_START)
			g_array_append_val(fixture->starts, decision);
		else
			g_array_append_val(fixture->ends, decision);
	}
}

/* The dispatcher holds all seats, and so all slots of each minion. */
static inline fixture_t *fixture_new(int32_t minions, int32_t slots)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	wwh_dispatch_options_t options;
	wwh_dispatch_share_t share = { 8, 0xff, INT64_MAX };

	fixture->random = g_rand_new_with_seed(7);
	fixture->starts = g_array_new(FALSE, TRUE, sizeof(wwh_decision_t));
	fixture->ends = g_array_new(FALSE, TRUE, sizeof(wwh_decision_t));
	fixture->services[0] =
		(wwh_dispatch_service_t){ "session", false, 1000 };
	fixture->teams[0] = (wwh_dispatch_team_t){ "parks", 4 };
	for (int32_t i = 0; i < minions; i++) {
		snprintf(fixture->ids[i], sizeof(fixture->ids[i]), "m%d", i);
		fixture->minions[i] =
			(wwh_dispatch_minion_t){ fixture->ids[i], "a", 0,
						 slots,		  64,  false };
	}
	fixture->setup = (wwh_dispatch_setup_t){ fixture->services, 1,
						 fixture->minions,  minions,
						 fixture->teams,    1 };
	wwh_dispatch_options_defaults(&options);
	options.zone = "a";
	options.random = fixture->random;
	fixture->dispatch = wwh_dispatch_new();
	assert_int_equal(wwh_dispatch_init(fixture->dispatch, &options),
			 WWH_STATUS_OK);
	assert_int_equal(
		wwh_dispatch_configure(fixture->dispatch, 0, &fixture->setup),
		WWH_STATUS_OK);
	wwh_dispatch_set_share(fixture->dispatch, 0, &share);
	return fixture;
}

static inline void fixture_delete(fixture_t *fixture)
{
	wwh_dispatch_delete(fixture->dispatch);
	g_rand_free(fixture->random);
	g_array_free(fixture->starts, TRUE);
	g_array_free(fixture->ends, TRUE);
	g_free(fixture);
}

static inline void fixture_arrive(fixture_t *fixture, int64_t now_ms,
				  uint64_t id, uint64_t caller)
{
	wwh_dispatch_request_t request = { .id = id,
					   .service = "session",
					   .caller = caller,
					   .idempotent = true,
					   .bytes = 100 };

	wwh_dispatch_arrive(fixture->dispatch, now_ms, &request);
	fixture_drain(fixture);
}

static inline wwh_decision_t fixture_start(const fixture_t *fixture,
					   guint index)
{
	assert_true(index < fixture->starts->len);
	return g_array_index(fixture->starts, wwh_decision_t, index);
}

static inline wwh_decision_t fixture_end(const fixture_t *fixture, guint index)
{
	assert_true(index < fixture->ends->len);
	return g_array_index(fixture->ends, wwh_decision_t, index);
}

static inline void fixture_finish(fixture_t *fixture, int64_t now_ms,
				  guint start, wwh_outcome_t outcome,
				  int32_t latency_ms)
{
	wwh_decision_t decision = fixture_start(fixture, start);
	wwh_dispatch_result_t result = { .request = decision.request,
					 .minion = decision.minion,
					 .outcome = outcome,
					 .latency_ms = latency_ms };

	wwh_dispatch_finish_attempt(fixture->dispatch, now_ms, &result);
	fixture_drain(fixture);
}

#endif
