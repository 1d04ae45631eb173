#ifndef WAXWINGHOLLOW_EJECTION_H
#define WAXWINGHOLLOW_EJECTION_H

/*
 * NAME
 *	ejection - temporarily excludes unhealthy minions of a service
 *
 * LOAD PATTERN
 *	A minion fails all requests, and so fast that it always has a free
 *	slot; or it is several times slower than its peers; or it doesn't
 *	answer at all.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	A minion that fails in 1 ms is free again after 1 ms and draws most of
 *	the service's requests. A silent minion gets its share of requests
 *	and holds each until its time-out.
 *
 * HOW IT DECIDES
 *	- Failing: three consecutive failures (a silent attempt counts twice), or
 *	  half of at least ten recent attempts, while its peers fail less than
 *	  a quarter of theirs. Three, because one connection reset is common
 *	  and costs one retry, and eight processes each pay the three; against
 *	  the peers, because a request that fails everywhere, or an outage of
 *	  all, is not that minion's fault. Consecutive failures count only if
 *	  their probability at the peers' failure rate is below 1 in 100 000:
 *	  if a tenth of all requests fail, three in a row are to be expected
 *	  and five are not.
 *	- Slow: an answer is slow if its run time is above four times the peers'
 *	  median and more than 20 ms above it. If 6% of the peers' answers are
 *	  slow (exponential run times), five more slow answers than others
 *	  eject the minion; if a larger share is slow, as with a mix of long
 *	  and short work, more are needed, by the same bound of 1 in 100 000.
 *	  The minion returns when its probes take less than twice the median.
 *	- Limits: at most half of a service's minions are ejected, and no
 *	  faster than the service's bucket allows (shift.h), so a service
 *	  always keeps capacity.
 *	- Return: after 1 s, doubled at each further ejection up to 8 s, the
 *	  minion gets one request at a time as a probe. Two successful probes
 *	  readmit it with a slow start; a failed one ejects it again. With 8
 *	  processes, 8 s means one failed request a second, and a minion that
 *	  has recovered is used again within 8 s. If the median peer fails
 *	  too, it is an outage of the service: a probe is sent after 250 ms,
 *	  and one success readmits the minion without a slow start, since all
 *	  minions return together. A fixed time without probes (the cooldown of
 *	  "Retries, fallbacks and cooldowns") sends a full share to a minion
 *	  that is still bad, each time it ends: docs/measurements/load.md
 *	  compares the two.
 *
 * ORDER OF CALLS
 *	wwh_ejection_init; wwh_ejection_observe, then wwh_ejection_evaluate after
 *	each attempt; wwh_ejection_advance, then wwh_ejection_is_usable when
 *	routing.
 */

#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/estimate.h"
#include "waxwinghollow/shift.h"

typedef enum {
	WWH_EJECTION_IN = 0,
	WWH_EJECTION_OUT, /* no work until until_ms */
	WWH_EJECTION_TRIAL, /* one probe at a time */
	WWH_EJECTION_STATE_COUNT
} wwh_ejection_state_t;

/* Names of wwh_ejection_state_t, in the same order. */
extern const char *const wwh_ejection_state_names[WWH_EJECTION_STATE_COUNT];

typedef enum {
	WWH_HEALTH_SIGNAL_GOOD = 0,
	WWH_HEALTH_SIGNAL_FAILED,
	WWH_HEALTH_SIGNAL_SILENT,
	WWH_HEALTH_SIGNAL_NONE, /* no evidence about the minion's health */
	WWH_HEALTH_SIGNAL_COUNT
} wwh_health_signal_t;

/* Names of wwh_health_signal_t, in the same order. */
extern const char *const wwh_health_signal_names[WWH_HEALTH_SIGNAL_COUNT];

typedef struct {
	wwh_ejection_state_t state;
	int64_t until_ms;
	int64_t returned_ms; /* start of the slow start */
	int32_t consecutive_failures; /* a silent attempt counts twice */
	int32_t good_probes;
	int32_t ejection_count; /* recent; doubles the time to the next probe */
	double recent_good; /* attempts, decayed with a half-life */
	double recent_failed;
	int64_t decayed_ms;
	wwh_quantile_t run_ms; /* median: a few long runs don't count as slow */
	int32_t last_run_ms;
	bool has_new_run; /* last_run_ms was not evaluated yet */
	double slow_share; /* of recent answers */
	int32_t slow_score; /* slow answers minus others, at least 0 */
	bool for_slowness;
	bool in_outage; /* its peers failed, too, at its last failed probe */
} wwh_ejection_t;

/* returned_ms: start of the slow start, or WWH_SHIFT_NO_RAMP for none. */
void wwh_ejection_init(wwh_ejection_t *ejection, int64_t returned_ms);

void wwh_ejection_observe(wwh_ejection_t *ejection, int64_t now_ms,
			  wwh_health_signal_t signal, int32_t run_ms);

/*
 * Compares the minion at index with the other minions of its service and
 * updates its state. Returns true if this call ejected it.
 */
bool wwh_ejection_evaluate(wwh_ejection_t *const *minions, int32_t count,
			   int32_t index, int64_t now_ms,
			   wwh_shift_bucket_t *bucket);

/* Moves the minion from OUT to TRIAL if until_ms has passed. */
void wwh_ejection_advance(wwh_ejection_t *ejection, int64_t now_ms);

/* Whether the minion may get a request; running: those it has from here. */
bool wwh_ejection_is_usable(const wwh_ejection_t *ejection, int32_t running);

#endif
