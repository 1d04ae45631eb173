#include "waxwinghollow/ejection.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

#define HALF_LIFE_MS 5000.0
#define ROW_BOUND 3
#define CHANCE 1e-5
#define SILENT_WEIGHT 2
#define ATTEMPTS_MIN 10.0
#define FAILED_SHARE 0.5
#define PEERS_FAILED_SHARE 0.25
#define SLOW_FACTOR 4.0
#define SLOW_BACK_FACTOR 2.0
#define SLOW_MIN_MS 20.0
#define LATE_WEIGHT 0.05
#define LATE_SCORE_MIN 4
#define LATE_SHARE_MIN 0.06 /* exponential run times */
#define OUT_FIRST_MS 1000
#define OUT_MAX_MS 8000
#define OUT_IN_OUTAGE_MS 250
#define RETURN_RAMP_MS 3000
#define FORGET_MS 60000 /* in, without trouble: the doubling starts anew */
#define PROBES_GOOD 2
#define MINIONS_MAX 256 /* peers looked at */

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
static bool fails(wwh_ejection_t *const *minions, int32_t count, int32_t index,
		  int64_t now_ms);
static bool slower_than_peers(wwh_ejection_t *const *minions, int32_t count,
			      int32_t index, double run_ms, double factor);
static bool is_slow(wwh_ejection_t *const *minions, int32_t count,
		    int32_t index);
static int32_t out_count(wwh_ejection_t *const *minions, int32_t count);
static double peers_failed_share(wwh_ejection_t *const *minions, int32_t count,
				 int32_t index, int64_t now_ms);
static void put_out(wwh_ejection_t *ejection, int64_t now_ms, bool slow);
static void bring_back(wwh_ejection_t *ejection, int64_t now_ms);
static double median_of(double *values, int32_t count);
static int compare_doubles(const void *a, const void *b);

void wwh_ejection_init(wwh_ejection_t *ejection, int64_t returned_ms)
{
	*ejection = (wwh_ejection_t){ .returned_ms = returned_ms,
				      .run_ms.coarse = true };
}

void wwh_ejection_observe(wwh_ejection_t *ejection, int64_t now_ms,
			  wwh_health_signal_t sign, int32_t run_ms)
{
	decay(ejection, now_ms);
	switch (sign) {
	case WWH_HEALTH_SIGNAL_GOOD:
		ejection->in_a_row = 0;
		ejection->good += 1;
		ejection->good_probes++;
		wwh_quantile_add(&ejection->run_ms, 0.5, run_ms);
		ejection->last_run_ms = run_ms;
		ejection->fresh = true;
		break;
	case WWH_HEALTH_SIGNAL_FAILED:
		ejection->in_a_row++;
		ejection->failed += 1;
		ejection->good_probes = 0;
		break;
	case WWH_HEALTH_SIGNAL_SILENT:
		ejection->in_a_row += SILENT_WEIGHT;
		ejection->failed += SILENT_WEIGHT;
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
		if (ejection->in_a_row > 0 ||
		    (ejection->for_slowness && ejection->good_probes > 0 &&
		     slower_than_peers(minions, count, index,
				       ejection->run_ms.value,
				       SLOW_BACK_FACTOR))) {
			ejection->in_outage =
				peers_failed_share(minions, count, index,
						   now_ms) >=
				PEERS_FAILED_SHARE;
			put_out(ejection, now_ms, ejection->for_slowness);
			return true;
		}
		if (ejection->good_probes >= PROBES_GOOD ||
		    (ejection->in_outage && ejection->good_probes > 0))
			bring_back(ejection, now_ms);
		return false;
	}
	slow = is_slow(minions, count, index);
	if (!slow && !fails(minions, count, index, now_ms))
		return false;
	if ((out_count(minions, count) + 1) * 2 > count)
		return false;
	if (!wwh_shift_bucket_try_acquire(bucket, now_ms))
		return false;
	put_out(ejection, now_ms, slow);
	return true;
}

void wwh_ejection_advance(wwh_ejection_t *ejection, int64_t now_ms)
{
	if (ejection->state != WWH_EJECTION_OUT || now_ms < ejection->until_ms)
		return;
	ejection->state = WWH_EJECTION_TRIAL;
	ejection->in_a_row = 0;
	ejection->good_probes = 0;
	/* The probe's own run time is what counts now. */
	if (ejection->for_slowness)
		ejection->run_ms = (wwh_quantile_t){ .coarse = true };
}

bool wwh_ejection_is_usable(const wwh_ejection_t *ejection, int32_t running)
{
	if (ejection->state == WWH_EJECTION_OUT)
		return false;
	/* One at a time on trial, and after a failure nobody understood yet. */
	if (ejection->state == WWH_EJECTION_TRIAL || ejection->in_a_row > 0)
		return running == 0;
	return true;
}

static void decay(wwh_ejection_t *ejection, int64_t now_ms)
{
	double keep = exp2(-(double)(now_ms - ejection->at_ms) / HALF_LIFE_MS);

	ejection->good *= keep;
	ejection->failed *= keep;
	ejection->at_ms = now_ms;
	if (ejection->state == WWH_EJECTION_IN &&
	    now_ms - ejection->until_ms > FORGET_MS)
		ejection->times = 0;
}

/*
 * Whether so many answers were slow, one for one more than the others, that
 * the peers' rate of slow answers would hardly ever make it. The median of
 * run times alone would need some 20 answers of a minion that gives three a
 * second.
 */
static bool is_slow(wwh_ejection_t *const *minions, int32_t count,
		    int32_t index)
{
	wwh_ejection_t *own = minions[index];
	double shares[MINIONS_MAX];
	int32_t found = 0;
	bool late;

	if (!own->fresh)
		return false;
	own->fresh = false;
	late = slower_than_peers(minions, count, index, own->last_run_ms,
				 SLOW_FACTOR);
	own->late_share += LATE_WEIGHT * (late - own->late_share);
	own->late_score =
		late ? own->late_score + 1 : MAX(own->late_score - 1, 0);
	if (own->late_score < LATE_SCORE_MIN)
		return false;
	for (int32_t i = 0; i < count && found < MINIONS_MAX; i++) {
		if (i == index || minions[i]->state != WWH_EJECTION_IN)
			continue;
		shares[found] = MAX(minions[i]->late_share, LATE_SHARE_MIN);
		found++;
	}
	return found > 0 &&
	       pow(median_of(shares, found), own->late_score) < CHANCE;
}

static bool fails(wwh_ejection_t *const *minions, int32_t count, int32_t index,
		  int64_t now_ms)
{
	const wwh_ejection_t *own = minions[index];
	double total = own->good + own->failed;
	double share;

	/* After a good answer, old failures are no reason. */
	if (own->in_a_row == 0)
		return false;
	if (own->in_a_row < ROW_BOUND &&
	    (total < ATTEMPTS_MIN || own->failed < FAILED_SHARE * total))
		return false;
	share = peers_failed_share(minions, count, index, now_ms);
	if (share >= PEERS_FAILED_SHARE)
		return false;
	/* A row of failures that its peers would show by chance is no sign. */
	return own->failed >= FAILED_SHARE * total ||
	       pow(share, own->in_a_row) < CHANCE;
}

/*
 * The median of the peers' shares of failed attempts. The sum over all would
 * call a lost zone, four minions of ten, an outage of the service, and keep
 * the last of the four in use.
 */
static double peers_failed_share(wwh_ejection_t *const *minions, int32_t count,
				 int32_t index, int64_t now_ms)
{
	double shares[MINIONS_MAX];
	int32_t found = 0;

	for (int32_t i = 0; i < count && found < MINIONS_MAX; i++) {
		wwh_ejection_t *peer = minions[i];

		if (i == index)
			continue;
		decay(peer, now_ms);
		shares[found] = 0;
		if (peer->failed > 0)
			shares[found] =
				peer->failed / (peer->good + peer->failed);
		if (peer->state != WWH_EJECTION_IN)
			shares[found] = 1;
		found++;
	}
	return found == 0 ? 1 : median_of(shares, found);
}

/*
 * Whether run_ms is far above the median of the peers' run times; false when
 * too few have answered. What is far above a value is far above each lower
 * one, so counting tells it of the median without sorting, which each answer
 * would have to wait for: this runs under the lock of all requests.
 */
static bool slower_than_peers(wwh_ejection_t *const *minions, int32_t count,
			      int32_t index, double run_ms, double factor)
{
	int32_t found = 0;
	int32_t below = 0;

	if (run_ms <= SLOW_MIN_MS)
		return false;
	for (int32_t i = 0; i < count && found < MINIONS_MAX; i++) {
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

static int32_t out_count(wwh_ejection_t *const *minions, int32_t count)
{
	int32_t out = 0;

	for (int32_t i = 0; i < count; i++)
		out += minions[i]->state != WWH_EJECTION_IN;
	return out;
}

static void put_out(wwh_ejection_t *ejection, int64_t now_ms, bool slow)
{
	int64_t out_ms = OUT_FIRST_MS;

	for (int32_t i = 0; i < ejection->times && out_ms < OUT_MAX_MS; i++)
		out_ms *= 2;
	if (ejection->in_outage)
		out_ms = OUT_IN_OUTAGE_MS;
	else
		ejection->times++;
	ejection->state = WWH_EJECTION_OUT;
	ejection->until_ms = now_ms + MIN(out_ms, OUT_MAX_MS);
	ejection->for_slowness = slow;
	ejection->late_score = 0;
}

static void bring_back(wwh_ejection_t *ejection, int64_t now_ms)
{
	ejection->state = WWH_EJECTION_IN;
	/* Out for seconds only, it is still warm: the end of the ramp. */
	ejection->returned_ms = now_ms - WWH_SHIFT_RAMP_MS + RETURN_RAMP_MS;
	if (ejection->in_outage)
		ejection->returned_ms = WWH_SHIFT_NO_RAMP;
	ejection->in_outage = false;
	ejection->until_ms = now_ms;
	ejection->in_a_row = 0;
	ejection->good = 0;
	ejection->failed = 0;
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
