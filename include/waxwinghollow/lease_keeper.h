#ifndef WAXWINGHOLLOW_LEASE_KEEPER_H
#define WAXWINGHOLLOW_LEASE_KEEPER_H

/*
 * NAME
 *	lease_keeper - which leases one process takes, renews and gives back
 *
 * LOAD PATTERN
 *	Processes come, go, pause and are replaced at any moment; leases of
 *	control work have to follow within seconds.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	Work of a process that has died stays undone; a new process gets
 *	nothing because the others hold all; two processes trade the same
 *	lease for ever.
 *
 * HOW IT DECIDES
 *	Each member's target is its rank's part of the leases: all members
 *	compute the same targets from the same list. A process above its
 *	target gives back the surplus, and only after it has been above for
 *	settle_ms, so that a list that flickers moves nothing. It may not act
 *	on a surplus lease from then on, and gives it back when the work that
 *	was started under it has ended. Below
 *	its target it takes free leases, and those that it has seen no renewal
 *	of for duration_ms + grace_ms on its own monotonic clock, while the log
 *	could be read all the time: a renewal that could not be read must not
 *	count as missing. grace_ms covers what the old holder had started.
 *
 *	A lease that nobody has taken for twice as long is taken by whoever is
 *	there, a little later for each rank, and kept for half a minute: when the member whose target it
 *	is comes and goes every few seconds, its work would stand still.
 *
 *	It stops acting on a lease duration_ms after it began the last renewal
 *	that was accepted. No clock is compared with another: what keeps the
 *	holder's time shorter than the challenger's is that the one starts
 *	before the renewal is appended and the other after it was read.
 *	Renewals go out at a third of the duration, so two may be lost.
 *
 * ORDER OF CALLS
 *	wwh_lease_keeper_new; then in each round: wwh_lease_keeper_set_members when
 *	they changed, wwh_lease_keeper_observe for every shard,
 *	wwh_lease_keeper_begin_round, wwh_lease_keeper_decide until it returns false, carrying out each
 *	action and reporting a renewal or take that was accepted by
 *	wwh_lease_keeper_confirm; wwh_lease_keeper_delete. Not thread safe.
 */

#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/state.h"

typedef enum {
	WWH_LEASE_TAKE = 0,
	WWH_LEASE_RENEW,
	WWH_LEASE_RELEASE,
	WWH_LEASE_ACTION_COUNT
} wwh_lease_action_kind_t;

/* Names of wwh_lease_action_kind_t, in the same order. */
extern const char *const wwh_lease_action_kind_names[WWH_LEASE_ACTION_COUNT];

typedef struct {
	wwh_lease_action_kind_t kind;
	int32_t shard;
	int64_t offset; /* what the record names, see record.h */
} wwh_lease_action_t;

typedef struct {
	const char *author; /* this process's name on the log */
	int32_t first_shard;
	int32_t shard_count;
	int32_t duration_ms;
	int32_t grace_ms;
	int32_t settle_ms;
} wwh_lease_keeper_options_t; /* at most 64 shards */

typedef struct wwh_lease_keeper wwh_lease_keeper_t;

wwh_lease_keeper_options_t wwh_lease_keeper_options_defaults(void);
wwh_lease_keeper_t *
wwh_lease_keeper_new(const wwh_lease_keeper_options_t *options);
void wwh_lease_keeper_delete(wwh_lease_keeper_t *keeper);

/* rank: this process's place among count members, from 0. */
void wwh_lease_keeper_set_members(wwh_lease_keeper_t *keeper, int32_t rank,
				  int32_t count);

/*
 * Only leases of shards that have work are taken: bit n is the n-th shard. All
 * are wanted at first.
 */
void wwh_lease_keeper_set_wanted(wwh_lease_keeper_t *keeper, uint64_t shards);

/* The log could not be read: what was seen missing is seen anew. */
void wwh_lease_keeper_log_gap(wwh_lease_keeper_t *keeper, int64_t now_ms);

/* The lease as the replayed state has it now. */
void wwh_lease_keeper_observe(wwh_lease_keeper_t *keeper, int64_t now_ms,
			      int32_t shard, const wwh_lease_view_t *view);

/* Settles which leases are surplus; giving as below. */
void wwh_lease_keeper_begin_round(wwh_lease_keeper_t *keeper, int64_t now_ms,
				  bool giving);

/*
 * The next action of this round; giving: the process is shutting down, give
 * back all. may_release tells whether its work is at rest.
 */
bool wwh_lease_keeper_decide(wwh_lease_keeper_t *keeper, int64_t now_ms,
			     bool may_release, bool giving,
			     wwh_lease_action_t *action);

/* A take or renewal that was begun at began_ms was accepted. */
void wwh_lease_keeper_confirm(wwh_lease_keeper_t *keeper, int32_t shard,
			      int64_t began_ms);

/*
 * Whether this process may act on the lease at now_ms, and until when. The
 * second is only valid when the first is true.
 */
bool wwh_lease_keeper_holds(const wwh_lease_keeper_t *keeper, int64_t now_ms,
			    int32_t shard, int64_t *until_ms);
int32_t wwh_lease_keeper_held_count(const wwh_lease_keeper_t *keeper,
				    int64_t now_ms);
int32_t wwh_lease_keeper_target(const wwh_lease_keeper_t *keeper);

#endif
