#ifndef WAXWINGHOLLOW_UPSTREAM_SPEED_H
#define WAXWINGHOLLOW_UPSTREAM_SPEED_H

/*
 * NAME
 *	upstream_speed - finds upstreams that work slower than their peers
 *
 * USE
 *	Each observation says how long a whole task would take at the speed
 *	that a run was seen to have. It is compared with the same step on other
 *	upstreams, which is exact because the tasks of a job share the error of
 *	its estimate, and with the median of the queue and image, which is off
 *	by that error. An upstream is marked slow if several runs agree, if most
 *	of its active peers were observed at normal speed afterwards, and if no
 *	more than half of the pool appears slow. Does no input or output.
 *
 * LOAD
 *	A part of a pool's upstreams takes several times as long for some
 *	seconds, while the others work as usual. Estimates are off by half for
 *	each job. Tasks take about a second.
 *
 * ORDER OF CALLS
 *	wwh_upstream_speed_new; wwh_upstream_speed_add for each upstream with
 *	an observation; wwh_upstream_speed_observe, and every 100 ms
 *	wwh_upstream_speed_review; wwh_upstream_speed_remove for an upstream
 *	that is gone; wwh_upstream_speed_delete after all of these.
 */

#include <stdbool.h>
#include <stdint.h>

/* The slowdown of an upstream that works at the speed of its peers. */
#define WWH_UPSTREAM_SPEED_NORMAL_PERMILLE 1000

typedef struct wwh_upstream_speed wwh_upstream_speed_t;
typedef struct wwh_speed_peer wwh_speed_peer_t;

typedef struct {
	/* Observations of one upstream that are this far apart don't combine. */
	int64_t window_ms;
	/* Evidence older than this doesn't count for or against a pool. */
	int64_t fresh_ms;
	int64_t min_mark_ms; /* doubles if the upstream is slow again soon */
	int64_t forget_ms; /* a mark without new evidence ends after this */
	int64_t first_probe_ms; /* after the last evidence; doubles */
} wwh_upstream_speed_options_t;

wwh_upstream_speed_options_t wwh_upstream_speed_options_defaults(void);

/* Called when the upstream of data is marked slow or no longer is. */
typedef void (*wwh_upstream_speed_changed_t)(void *data, void *client_data);

wwh_upstream_speed_t *
wwh_upstream_speed_new(const wwh_upstream_speed_options_t *options,
		       wwh_upstream_speed_changed_t changed, void *client_data);
void wwh_upstream_speed_delete(wwh_upstream_speed_t *speed);

/* Adds an upstream, whose speed is unknown. Its peers are those of the pool. */
wwh_speed_peer_t *wwh_upstream_speed_add(wwh_upstream_speed_t *speed,
					 const char *pool, void *data);
void wwh_upstream_speed_remove(wwh_speed_peer_t *peer);

typedef struct {
	uint64_t work; /* hash of what makes tasks alike: queue and image */
	uint64_t step; /* hash of the step of one job */
	uint64_t task; /* hash of the task */
	int64_t estimate_ms; /* of the task, by its caller */
	int64_t duration_ms; /* of the whole task, at the observed speed */
	bool overdue; /* it still runs, and takes at least duration_ms */
	int64_t from_ms; /* the time in which it was observed */
	int64_t to_ms;
} wwh_speed_observation_t;

void wwh_upstream_speed_observe(wwh_speed_peer_t *peer,
				const wwh_speed_observation_t *observation);

/*
 * Decides which upstreams are slow. Pools in which no upstream appears slow or is
 * marked are skipped.
 */
void wwh_upstream_speed_review(wwh_upstream_speed_t *speed, int64_t now_ms);

bool wwh_upstream_speed_is_slow(const wwh_speed_peer_t *peer);

/*
 * Returns how many times as long tasks take on a slow upstream, in thousandths,
 * and WWH_UPSTREAM_SPEED_NORMAL_PERMILLE for all others.
 */
int64_t wwh_upstream_speed_slowdown_permille(const wwh_speed_peer_t *peer);

/* The time of the newest observation; 0: none. */
int64_t wwh_upstream_speed_observed_ms(const wwh_speed_peer_t *peer);

/*
 * Whether a slow upstream has been without observation for so long that one task
 * should show whether it has recovered. To be told by _probed of its start.
 */
bool wwh_upstream_speed_probe_is_due(const wwh_speed_peer_t *peer,
				     int64_t now_ms);
void wwh_upstream_speed_probed(wwh_speed_peer_t *peer, int64_t now_ms);

#endif
