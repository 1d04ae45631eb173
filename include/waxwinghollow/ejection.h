#ifndef WAXWINGHOLLOW_EJECTION_H
#define WAXWINGHOLLOW_EJECTION_H

/*
 * NAME
 *	ejection - which minions of a service get no work for a while
 *
 * LOAD PATTERN
 *	A minion that fails everything, fails fast and so always has a free
 *	slot, is several times slower than its peers, or is silent.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	A minion that fails in 1 ms is free again after 1 ms and draws most of
 *	the service's requests. A silent one takes its share of requests and
 *	keeps each until its time-out.
 *
 * HOW IT DECIDES
 *	- Failing: three failures in a row (a silent attempt counts twice), or
 *	  half of at least ten recent attempts, while its peers fail less than
 *	  a quarter of theirs. Three, because one connection reset is common
 *	  and costs one retry, and eight processes each pay the three; against
 *	  the peers, because a request that fails everywhere, or an outage of
 *	  all, is not that minion's fault. A row counts only when the peers'
 *	  rate of failures would make it by chance less than once in 100 000
 *	  times: with a tenth of all requests failing, three in a row are
 *	  ordinary and five are not.
 *	- Slow: an answer is slow above four times the peers' median run time
 *	  and 20 ms more. Five more slow answers than others are enough where
 *	  6% of the peers' are slow (exponential run times); where more are,
 *	  as with long work among short, it takes more, by the same rule of
 *	  once in 100 000. It is back when a probe is below twice the median.
 *	- Never more than half of a service's minions, and no faster than the
 *	  service's bucket allows (shift.h), so a service always keeps
 *	  capacity.
 *	- Return: after 1 s, doubled at each further time up to 8 s, one
 *	  request at a time is sent there as a probe. Two good ones bring it
 *	  back with a slow start, a bad one sends it out again. With 8
 *	  processes, 8 s means one failed request a second, and a minion that
 *	  is well again is used again within 8 s. While the median peer fails
 *	  too, it is an outage of the service: a probe each 250 ms, and one
 *	  good one brings it back at once and fully, for all return together. A fixed time
 *	  without a probe (the cooldown of "Retries, fallbacks and cooldowns")
 *	  sends a full share to a minion that is still bad, at each end of the
 *	  time: docs/measurements/load.md compares them.
 *
 * ORDER OF CALLS
 *	wwh_ejection_init; wwh_ejection_observe after each attempt;
 *	wwh_ejection_evaluate after it; wwh_ejection_is_usable when routing.
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
	WWH_HEALTH_SIGNAL_NONE, /* says nothing about the minion */
	WWH_HEALTH_SIGNAL_COUNT
} wwh_health_signal_t;

/* Names of wwh_health_signal_t, in the same order. */
extern const char *const wwh_health_signal_names[WWH_HEALTH_SIGNAL_COUNT];

typedef struct {
	wwh_ejection_state_t state;
	int64_t until_ms;
	int64_t returned_ms; /* slow start from then on */
	int32_t in_a_row;
	int32_t good_probes;
	int32_t times; /* ejected, lately */
	double good; /* recent, with a half-life */
	double failed;
	int64_t at_ms;
	wwh_quantile_t run_ms; /* median: a few long runs don't count as slow */
	int32_t last_run_ms;
	bool fresh; /* last_run_ms was not judged yet */
	double late_share; /* of recent answers were slow */
	int32_t late_score; /* slow answers less the others */
	bool for_slowness;
	bool in_outage; /* its peers failed, too, when it last did */
} wwh_ejection_t;

/* returned_ms: WWH_SHIFT_NO_RAMP for no slow start. */
void wwh_ejection_init(wwh_ejection_t *ejection, int64_t returned_ms);

void wwh_ejection_observe(wwh_ejection_t *ejection, int64_t now_ms,
			  wwh_health_signal_t sign, int32_t run_ms);

/*
 * Judges the minion at index among the service's usable minions and changes
 * its state. True when it was ejected by this call.
 */
bool wwh_ejection_evaluate(wwh_ejection_t *const *minions, int32_t count,
			   int32_t index, int64_t now_ms,
			   wwh_shift_bucket_t *bucket);

/* OUT becomes TRIAL when its time has come. */
void wwh_ejection_advance(wwh_ejection_t *ejection, int64_t now_ms);

/* May get a request, with running of this process's there already. */
bool wwh_ejection_is_usable(const wwh_ejection_t *ejection, int32_t running);

#endif
