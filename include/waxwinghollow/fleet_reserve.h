#ifndef WAXWINGHOLLOW_FLEET_RESERVE_H
#define WAXWINGHOLLOW_FLEET_RESERVE_H

/*
 * NAME
 *	fleet_reserve - decides how many hosts the fleet keeps powered on
 *
 * USE
 *	Pure: makes no system calls. The owner reports the desired hosts of all
 *	pools and the usable hosts over time. The reserve is the highest sum of
 *	desired hosts in the observed window, plus the hosts that the loss of
 *	the largest rack takes, plus those that waves hold. Powered-on hosts
 *	above it may go to the standby pool, a few at a time.
 *
 *	Before a whole cycle was observed (until one pool became the busiest for
 *	the second time, with another one in between, or for the whole window)
 *	the later peaks aren't known. Once one peak has reached its height, the
 *	reserve is estimated as a multiple of it, and before that as a larger
 *	multiple of what lasting tasks need, once there are some. A call from
 *	standby shows that the estimate was too low, and ends the releases
 *	until the cycle is known. By an estimate only as many hosts are released
 *	as can be called back in some seconds. Time that the owner didn't
 *	observe isn't counted.
 *
 *	What was observed can be kept in a record and restored by the next
 *	owner, which then needs no window of its own.
 *
 * LOAD
 *	Peaks of queues alternate, with a cycle of 10 to 20 s. A host that goes
 *	to the standby pool between two peaks must be called back for the next:
 *	it costs two moves and is missing for 1.5 s each time. Releasing every
 *	host that no pool desires at the moment thus costs more host-seconds
 *	than keeping all hosts powered on.
 *
 *	In a fleet of thousands one peak needs a small part of the hosts, and a
 *	window of observing all of them costs more than their moves.
 *
 * ORDER OF CALLS
 *	wwh_fleet_reserve_new; repeatedly wwh_fleet_reserve_add_pool for each
 *	pool, then wwh_fleet_reserve_update, then the decisions and what became
 *	of them; wwh_fleet_reserve_delete.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	int64_t window_ms; /* observed if the load has no cycles */
	int32_t headroom_percent; /* kept above the observed peak */
	/* Kept above the first peak, before a whole cycle; 0: no estimate. */
	int32_t estimate_headroom_percent;
	/* Kept above what lasting tasks need, before the first peak; 0: none. */
	int32_t idle_headroom_percent;
	/*
	 * Limit of releases, and the rate at which hosts can be called back; 0: a
	 * thirty-second of the usable hosts, and any number.
	 */
	int32_t releases_per_s;
} wwh_fleet_reserve_options_t;

/* What an owner has observed, for the next one. */
typedef struct {
	bool whole_cycle;
	bool estimated;
	int64_t cycle_ms; /* 0: none detected */
	int32_t peak; /* highest sum of desired hosts in the window */
} wwh_fleet_reserve_knowledge_t;

/* Hosts of the standby pool, and moving to it, count nowhere. */
typedef struct {
	int32_t usable; /* accept tasks now, or soon after a move */
	int32_t largest_rack; /* usable ones in the largest of several racks */
	int32_t wave_held; /* drained or down for a wave; not in usable */
	int32_t wave_limit; /* that waves may hold at once */
	int32_t lacking; /* sum over the pools that have too few */
	int32_t coming; /* surplus hosts that are about to leave their pools */
	int64_t busy_millihosts; /* hosts' worth of cores in use, times 1000 */
} wwh_fleet_hosts_t;

typedef struct {
	bool whole_cycle; /* observed */
	bool estimated; /* not observed yet; the reserve is an estimate */
	int64_t cycle_ms; /* of alternating peaks; 0: none detected */
	int32_t desired; /* sum over the pools now */
	int32_t available; /* powered on: usable, or held by waves */
	int32_t reserve; /* the sum of the next three */
	int32_t reserve_peak;
	int32_t reserve_rack;
	int32_t reserve_waves;
	int64_t paid_over_needed_permille; /* since the start; 0: unknown */
} wwh_fleet_reserve_state_t;

typedef struct wwh_fleet_reserve wwh_fleet_reserve_t;

wwh_fleet_reserve_t *
wwh_fleet_reserve_new(const wwh_fleet_reserve_options_t *options);
void wwh_fleet_reserve_delete(wwh_fleet_reserve_t *reserve);

wwh_fleet_reserve_knowledge_t
wwh_fleet_reserve_knowledge(const wwh_fleet_reserve_t *reserve);

/*
 * To be called before the first update. The peak counts as observed at that time,
 * so it stays in the window as long as one that was.
 */
void wwh_fleet_reserve_restore(wwh_fleet_reserve_t *reserve,
			       const wwh_fleet_reserve_knowledge_t *knowledge);

/*
 * Adds a pool's desired hosts to the next update. They include minimum, the
 * hosts that its lasting tasks need.
 */
void wwh_fleet_reserve_add_pool(wwh_fleet_reserve_t *reserve, const char *pool,
				int32_t desired, int32_t minimum);

/* The desired hosts are taken to be the same until the next update. */
void wwh_fleet_reserve_update(wwh_fleet_reserve_t *reserve,
			      const wwh_fleet_hosts_t *hosts, int64_t now_ms);

/* The time from the last update to the next one doesn't count as observed. */
void wwh_fleet_reserve_interrupt(wwh_fleet_reserve_t *reserve);

/* Returns how many hosts may be moved to the standby pool now. */
int32_t wwh_fleet_reserve_releasable(const wwh_fleet_reserve_t *reserve);

/*
 * Returns how many hosts of the standby pool may be called. Before a whole cycle
 * was observed there is no limit. After that, surplus hosts of other pools that
 * are about to leave aren't called for a second time.
 */
int32_t wwh_fleet_reserve_callable(const wwh_fleet_reserve_t *reserve);

/* A move to the standby pool was ordered. */
void wwh_fleet_reserve_handle_release(wwh_fleet_reserve_t *reserve);

/* A move out of the standby pool was ordered. */
void wwh_fleet_reserve_handle_call(wwh_fleet_reserve_t *reserve);

wwh_fleet_reserve_state_t
wwh_fleet_reserve_state(const wwh_fleet_reserve_t *reserve);

#endif
