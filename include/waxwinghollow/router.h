#ifndef WAXWINGHOLLOW_ROUTER_H
#define WAXWINGHOLLOW_ROUTER_H

/*
 * NAME
 *	router - selects the minion that gets a request
 *
 * LOAD PATTERN
 *	Minions in several availability zones, some slower than others, long
 *	requests among short ones, eight entry processes that don't know each
 *	other's load.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	Round robin fills a slow minion as fast as a quick one. The least
 *	loaded minion of all is the same in every process that has the same
 *	stale view: all send there at once. Without regard to zones, two thirds
 *	of the requests cross to another zone and back.
 *
 * HOW IT DECIDES
 *	Candidates are the minions with room on which this request has not
 *	failed. Of two random ones in the own zone, the one with the smaller
 *	expected time (its running requests plus this one, times its measured
 *	run time) is selected; the same is done for the other zones. The minion
 *	of the own zone is used unless its expected time is more than three
 *	times that of the other and more than 5 ms longer: the way to another
 *	zone and back costs about 3 ms, and measured run times are noisy by a
 *	factor of two.
 *
 *	A minion that has requests but has not ended any for 8 times the
 *	service's p90 run time (at least 500 ms) counts as stalled and is used
 *	only when no other has room: this detects a connection without traffic
 *	long before its time-out.
 *
 * ORDER OF CALLS
 *	None: the functions keep no state.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
	bool has_room;
	bool own_zone;
	bool avoid; /* this request failed there, or it is stalled */
	int32_t running;
	double run_ms; /* measured run time; 0: unknown */
} wwh_router_minion_t;

/* Returns the index of the minion to use, or -1 if none has room. */
int32_t wwh_router_pick(const wwh_router_minion_t *minions, int32_t count,
			GRand *random);

/*
 * quiet_since_ms is the time at which a request last ended on the minion, or at
 * which the first of the running ones started, whichever is later.
 */
bool wwh_router_is_stalled(int64_t now_ms, int32_t running,
			   int64_t quiet_since_ms, int32_t p90_ms);

#endif
