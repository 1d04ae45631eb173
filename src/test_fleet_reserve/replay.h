#ifndef TEST_FLEET_RESERVE_REPLAY_H
#define TEST_FLEET_RESERVE_REPLAY_H

/*
 * NAME
 *	replay - a simulated fleet whose load comes from a text file
 *
 * USE
 *	Reads a file of the directory replay/, runs its load against a reserve
 *	on a simulated clock, and fails the test where a result is out of the
 *	expected range.
 *
 *	A file has one command a line, with times in ms:
 *	fleet HOSTS RACK_SIZE
 *	pool NAME MINIMUM		its desired hosts are at least MINIMUM
 *	at MS desire POOL HOSTS		until the next such line
 *	alternate MS PHASE CYCLES PEAK TROUGH
 *					each pool in turn desires PEAK hosts for
 *					PHASE, the others TROUGH, from MS on
 *	at MS lose HOSTS, at MS regain HOSTS
 *	at MS wave LIMIT		LIMIT hosts are down until LIMIT is 0
 *	policy HEADROOM ESTIMATE IDLE RELEASES
 *					percent above the peak, above the first
 *					peak and above lasting tasks, releases a
 *					second; 0 0 0 0 without this line
 *	at MS new-holder		it knows nothing
 *	at MS hand-over			it restores what the last one knew
 *	at MS moves-fail 0|1		moves have no effect while 1
 *	at MS unobserved 0|1		nothing is observed or moved while 1
 *	end MS
 *	expect released|called|short_host_s|first_release_ms|available|lasting|
 *		paid_host_s MINIMUM MAXIMUM
 *
 *	short_host_s is the sum over time of the desired hosts that the fleet
 *	doesn't have powered on; lasting counts steps with a pool below its
 *	minimum.
 */

#include "waxwinghollow/fleet_reserve.h"

#define WINDOW_MS 30000

wwh_fleet_reserve_t *replay_make_reserve(void);
void replay_run(const char *file);

#endif
