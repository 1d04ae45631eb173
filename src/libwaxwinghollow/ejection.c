#include "waxwinghollow/ejection.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

#define HALF_LIFE_MS 5000.0
#define CONSECUTIVE_FAILURES_MIN 3
#define CHANCE_PROBABILITY_MAX 1e-5
#define SILENT_WEIGHT 2
#define ATTEMPTS_MIN 10.0
#define FAILED_SHARE 0.5
#define PEERS_FAILED_SHARE 0.25
#define SLOW_FACTOR 4.0
#define SLOW_RETURN_FACTOR 2.0
#define SLOW_MIN_MS 20.0
#define SLOW_SHARE_WEIGHT 0.05
#define SLOW_SCORE_MIN 4
#define SLOW_SHARE_MIN 0.06 /* share with exponential run times */
#define EJECTION_FIRST_MS 1000
#define EJECTION_MAX_MS 8000
#define EJECTION_IN_OUTAGE_MS 250
#define RETURN_RAMP_MS 3000
#define EJECTION_COUNT_RESET_MS 60000 /* in use without an ejection */
#define GOOD_PROBES_MIN 2
#define PEERS_MAX 256 /* peers that are compared */

const char *const wwh_ejection_state_names[WWH_EJECTION_STATE_COUNT] = {
	"in",
	"out",
	"trial",
};

const char *const wwh_health_signal_names[WWH_HEALTH_SIGNAL_COUNT] = {
	"good",
	"failed",
	"silent",
	"none",
};

static void decay(wwh_ejection_t *ejection, int64_t now_ms);
static bool is_failing(wwh_ejection_t *const *minions, int32_t count,
		       int32_t index, int64_t now_ms);
static bool slower_than_peers(wwh_ejection_t *const *minions, int32_t count,
			      int32_t index, double run_ms, double factor);
static bool is_slow(wwh_ejection_t *const *minions, int32_t count,
		    int32_t index);
static int32_t ejected_count(wwh_ejection_t *const *minions, int32_t count);
static double peers_failed_share(wwh_ejection_t *const *minions, int32_t count,
				 int32_t index, int64_t now_ms);
static void eject(wwh_ejection_t *ejection, int64_t now_ms, bool slow);
static void readmit(wwh_ejection_t *ejection, int64_t now_ms);
static double median_of(double *values, int32_t count);
static int compare_doubles(const void *a, const void *b);

void wwh_ejection_init(wwh_ejection_t *ejection, int64_t returned_ms)
{
	*ejection = (wwh_ejection_t){ .returned_ms = returned_ms,
				      .run_ms.coarse = true };
}

void wwh_ejection_observe(wwh_ejection_t *ejection, int64_t now_ms,
			  wwh_health_signal_t signal, int32_t run_ms)
{
	decay(ejection, now_ms);
	switch (signal) {
	case WWH_HEALTH_SIGNAL_GOOD:
		ejection->consecutive_failures = 0;
		ejection->recent_good += 1;
		ejection->good_probes++;
		wwh_quantile_add(&ejection->run_ms, 0.5, run_ms);
		ejection->last_run_ms = run_ms;
		ejection->has_new_run = true;
		break;
	case WWH_HEALTH_SIGNAL_FAILED:
		ejection->consecutive_failures++;
		ejection->recent_failed += 1;
		ejection->good_probes = 0;
		break;
	case WWH_HEALTH_SIGNAL_SILENT:
		ejection->consecutive_failures += SILENT_WEIGHT;
		ejection->recent_failed += SILENT_WEIGHT;
		ejection->good_probes = 0;
		break;
	default:
		break;
	}
}

bool wwh_ejection_evaluate(wwh_ejection_t *const *minions, int32_t count,
			   int32_t index, int64_t now_ms,
			   wwh_shift_bucket_t *bucket)
{
	wwh_ejection_t *ejection = minions[index];
	bool slow;

	if (ejection->state == WWH_EJECTION_OUT)
		return false;
	if (ejection->state == WWH_EJECTION_TRIAL) {
		if (ejection->consecutive_failures > 0 ||
		    (ejection->for_slowness && ejection->good_probes > 0 &&
		     slower_than_peers(minions, count, index,
				       ejection->run_ms.value,
				       SLOW_RETURN_FACTOR))) {
			ejection->in_outage =
				peers_failed_share(minions, count, index,
						   now_ms) >=
				PEERS_FAILED_SHARE;
			eject(ejection, now_ms, ejection->for_slowness);
			return true;
		}
		if (ejection->good_probes >= GOOD_PROBES_MIN ||
		    (ejection->in_outage && ejection->good_probes > 0))
			readmit(ejection, now_ms);
		return false;
	}
	slow = is_slow(minions, count, index);
	if (!slow && !is_failing(minions, count, index, now_ms))
		return false;
	if ((ejected_count(minions, count) + 1) * 2 > count)
		return false;
	if (!wwh_shift_bucket_try_acquire(bucket, now_ms))
		return false;
	eject(ejection, now_ms, slow);
	return true;
}

void wwh_ejection_advance(wwh_ejection_t *ejection, int64_t now_ms)
{
	if (ejection->state != WWH_EJECTION_OUT || now_ms < ejection->until_ms)
		return;
	ejection->state = WWH_EJECTION_TRIAL;
	ejection->consecutive_failures = 0;
	ejection->good_probes = 0;
	/* Only the run times of probes count from now on. */
	if (ejection->for_slowness)
		ejection->run_ms = (wwh_quantile_t){ .coarse = true };
}

bool wwh_ejection_is_usable(const wwh_ejection_t *ejection, int32_t running)
{
	if (ejection->state == WWH_EJECTION_OUT)
		return false;
	/* One request at a time on trial and after a failure not yet resolved. */
	if (ejection->state == WWH_EJECTION_TRIAL ||
	    ejection->consecutive_failures > 0)
		return running == 0;
	return true;
}

static void decay(wwh_ejection_t *ejection, int64_t now_ms)
{
	double factor =
		exp2(-(double)(now_ms - ejection->decayed_ms) / HALF_LIFE_MS);

	ejection->recent_good *= factor;
	ejection->recent_failed *= factor;
	ejection->decayed_ms = now_ms;
	if (ejection->state == WWH_EJECTION_IN &&
	    now_ms - ejection->until_ms > EJECTION_COUNT_RESET_MS)
		ejection->ejection_count = 0;
}

/*
 * Whether the surplus of slow answers over others is too large to be chance at
 * the peers' rate of slow answers. The median of run times alone would need
 * some 20 answers from a minion that sends three a second.
 */
static bool is_slow(wwh_ejection_t *const *minions, int32_t count,
		    int32_t index)
{
	wwh_ejection_t *own = minions[index];
	double shares[PEERS_MAX];
	int32_t found = 0;
	bool slow;

	if (!own->has_new_run)
		return false;
	own->has_new_run = false;
	slow = slower_than_peers(minions, count, index, own->last_run_ms,
				 SLOW_FACTOR);
	own->slow_share += SLOW_SHARE_WEIGHT * (slow - own->slow_share);
	own->slow_score =
		slow ? own->slow_score + 1 : MAX(own->slow_score - 1, 0);
	if (own->slow_score < SLOW_SCORE_MIN)
		return false;
	for (int32_t i = 0; i < count && found < PEERS_MAX; i++) {
		if (i == index || minions[i]->state != WWH_EJECTION_IN)
			continue;
		shares[found] = MAX(minions[i]->slow_share, SLOW_SHARE_MIN);
		found++;
	}
	return found > 0 && pow(median_of(shares, found), own->slow_score) <
				    CHANCE_PROBABILITY_MAX;
}

static bool is_failing(wwh_ejection_t *const *minions, int32_t count,
		       int32_t index, int64_t now_ms)
{
	const wwh_ejection_t *own = minions[index];
	double total = own->recent_good + own->recent_failed;
	double share;

	/* After a good answer, earlier failures don't count. */
	if (own->consecutive_failures == 0)
		return false;
	if (own->consecutive_failures < CONSECUTIVE_FAILURES_MIN &&
	    (total < ATTEMPTS_MIN || own->recent_failed < FAILED_SHARE * total))
		return false;
	share = peers_failed_share(minions, count, index, now_ms);
	if (share >= PEERS_FAILED_SHARE)
		return false;
	/* Consecutive failures likely at the peers' failure rate don't count. */
	return own->recent_failed >= FAILED_SHARE * total ||
	       pow(share, own->consecutive_failures) < CHANCE_PROBABILITY_MAX;
}

/*
 * The median of the peers' shares of failed attempts. With the sum over all
 * peers, the loss of a zone with four minions of ten would count as an outage
 * of the service, and the last of the four would stay in use.
 */
static double peers_failed_share(wwh_ejection_t *const *minions, int32_t count,
				 int32_t index, int64_t now_ms)
{
	double shares[PEERS_MAX];
	int32_t found = 0;

	for (int32_t i = 0; i < count && found < PEERS_MAX; i++) {
		wwh_ejection_t *peer = minions[i];

		if (i == index)
			continue;
		decay(peer, now_ms);
		shares[found] = 0;
		if (peer->recent_failed > 0)
			shares[found] =
				peer->recent_failed /
				(peer->recent_good + peer->recent_failed);
		if (peer->state != WWH_EJECTION_IN)
			shares[found] = 1;
		found++;
	}
	return found == 0 ? 1 : median_of(shares, found);
}

/*
 * Whether run_ms is far above the median of the peers' run times; false if too
 * few peers have answered. A run time far above one value is far above each
 * lower one, so counting the peers that are far below suffices. Sorting for
 * the median would delay each answer, since this runs under the lock of all
 * requests.
 */
static bool slower_than_peers(wwh_ejection_t *const *minions, int32_t count,
			      int32_t index, double run_ms, double factor)
{
	int32_t found = 0;
	int32_t below = 0;

	if (run_ms <= SLOW_MIN_MS)
		return false;
	for (int32_t i = 0; i < count && found < PEERS_MAX; i++) {
		double peer_ms = minions[i]->run_ms.value;

		if (i == index || minions[i]->state != WWH_EJECTION_IN ||
		    peer_ms <= 0)
			continue;
		found++;
		below += run_ms > factor * peer_ms &&
			 run_ms > peer_ms + SLOW_MIN_MS;
	}
	return found >= 2 && below > found / 2;
}

static int32_t ejected_count(wwh_ejection_t *const *minions, int32_t count)
{
	int32_t ejected = 0;

	for (int32_t i = 0; i < count; i++)
		ejected += minions[i]->state != WWH_EJECTION_IN;
	return ejected;
}

static void eject(wwh_ejection_t *ejection, int64_t now_ms, bool slow)
{
	int64_t ejection_ms = EJECTION_FIRST_MS;

	for (int32_t i = 0;
	     i < ejection->ejection_count && ejection_ms < EJECTION_MAX_MS; i++)
		ejection_ms *= 2;
	if (ejection->in_outage)
		ejection_ms = EJECTION_IN_OUTAGE_MS;
	else
		ejection->ejection_count++;
	ejection->state = WWH_EJECTION_OUT;
	ejection->until_ms = now_ms + MIN(ejection_ms, EJECTION_MAX_MS);
	ejection->for_slowness = slow;
	ejection->slow_score = 0;
}

static void readmit(wwh_ejection_t *ejection, int64_t now_ms)
{
	ejection->state = WWH_EJECTION_IN;
	/* Ejected for seconds only, it is still warm: skip most of the ramp. */
	ejection->returned_ms = now_ms - WWH_SHIFT_RAMP_MS + RETURN_RAMP_MS;
	if (ejection->in_outage)
		ejection->returned_ms = WWH_SHIFT_NO_RAMP;
	ejection->in_outage = false;
	ejection->until_ms = now_ms;
	ejection->consecutive_failures = 0;
	ejection->recent_good = 0;
	ejection->recent_failed = 0;
	ejection->for_slowness = false;
}

static double median_of(double *values, int32_t count)
{
	qsort(values, (size_t)count, sizeof(*values), compare_doubles);
	return values[count / 2];
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}
