#ifndef WAXWINGHOLLOW_ROUTER_H
#define WAXWINGHOLLOW_ROUTER_H

/*
 * NAME
 *	router - which minion gets a request
 *
 * LOAD PATTERN
 *	Minions in several availability zones, some slower than others, long
 *	work among short, eight entry processes that don't see each other's
 *	load.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	Round robin fills a slow minion as fast as a quick one. The least
 *	loaded of all is the same minion in every process with the same stale
 *	view: all send there at once. Without regard to zones, two thirds of
 *	the requests pay the way to another zone twice.
 *
 * HOW IT DECIDES
 *	Of the minions with room that this request has not failed on: two at
 *	random in the own zone, the one with the smaller expected time (work
 *	already there plus this one, times its measured run time) wins. The
 *	same in the other zones. The own zone's one is taken unless it is
 *	expected to take three times as long as the other and 5 ms more: the
 *	way to another zone and back costs about 3 ms, and measured run times
 *	are noisy by a factor of two.
 *
 *	A minion that has not ended any request for 8 times the service's p90
 *	run time while it has some (at least 500 ms) counts as stalled and is
 *	taken only when no other has room: a connection that went silent shows
 *	so long before its time-out.
 *
 * ORDER OF CALLS
 *	None: a pure function.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
	bool has_room;
	bool own_zone;
	bool avoid; /* this request failed there, or it is stalled */
	int32_t running;
	double run_ms; /* measured; 0: unknown */
} wwh_router_minion_t;

/* The index of the minion to use; -1: none has room. */
int32_t wwh_router_pick(const wwh_router_minion_t *minions, int32_t count,
			GRand *random);

/* now_ms against the last end, or the start of the first that runs. */
bool wwh_router_is_stalled(int64_t now_ms, int32_t running,
			   int64_t quiet_since_ms, int32_t p90_ms);

#endif
