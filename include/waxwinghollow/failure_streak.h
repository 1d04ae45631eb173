#ifndef WAXWINGHOLLOW_FAILURE_STREAK_H
#define WAXWINGHOLLOW_FAILURE_STREAK_H

/*
 * NAME
 *	failure_streak - for how long an upstream that fails gets no starts
 *
 * USE
 *	An upstream that fails each task still answers its polls and has free
 *	room soonest, so it would attract all work. After three failures in a
 *	row it is avoided for 1.5 s, then for twice as long after each further
 *	one, up to 12 s. A run that is done, or at work for some seconds, shows
 *	that the upstream is sound, if it began after the failures did.
 *
 *	Failures that are half a minute apart are no streak. A run that has been
 *	at work for long fails by its own fault, as a rule, and counts only where
 *	several of them fail at the same moment. If most upstreams of a pool are
 *	avoided, the fault is more likely that of their tasks, and none is
 *	avoided for longer than at first.
 *
 * LOAD
 *	Sick upstreams, and tasks that last and fail all the time at sound ones.
 *
 * ORDER OF CALLS
 *	A zeroed wwh_failure_streak_t is one without failures.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	int32_t count;
	int32_t backoffs;
	int64_t began_ms; /* its first failure */
	int64_t last_ms;
	int64_t since_ms; /* avoided without a break since then */
	int64_t until_ms; /* avoided until then */
	int32_t worked_count; /* failures at the same moment, after long work */
	int64_t worked_ms; /* the last one of these */
} wwh_failure_streak_t;

/*
 * Adds a failure. worked: its run had been at work for long. Returns for how long
 * the upstream is avoided from now on; 0: it isn't.
 */
int64_t wwh_failure_streak_add(wwh_failure_streak_t *streak, bool worked,
			       int64_t now_ms);

/* A run that began at begun_ms is at work for some seconds. */
void wwh_failure_streak_note_work(wwh_failure_streak_t *streak,
				  int64_t begun_ms);

/* A run is done. */
void wwh_failure_streak_end(wwh_failure_streak_t *streak);

/* most_avoided: so are most of the upstreams that could take the same tasks. */
bool wwh_failure_streak_avoids(const wwh_failure_streak_t *streak,
			       bool most_avoided, int64_t now_ms);

#endif
