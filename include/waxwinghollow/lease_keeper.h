#ifndef WAXWINGHOLLOW_LEASE_KEEPER_H
#define WAXWINGHOLLOW_LEASE_KEEPER_H

/*
 * NAME
 *	lease_keeper - decides which leases a process acquires, renews, releases
 *
 * LOAD PATTERN
 *	Processes start, stop, pause and are replaced at any moment; the leases
 *	of control work have to follow within seconds.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	The work of a process that has died stays undone; a new process gets no
 *	lease because the others hold all; two processes pass the same lease
 *	back and forth for ever.
 *
 * HOW IT DECIDES
 *	Each member's target is its rank's share of the leases: all members
 *	compute the same targets from the same list. A process that has been
 *	above its target for settle_ms releases the surplus; the delay keeps a
 *	flapping member list from moving leases. It may not act on a surplus
 *	lease from then on, and releases it when the work that was started under
 *	it has ended.
 *
 *	A process below its target acquires free leases, and leases without a
 *	renewal for duration_ms + grace_ms on its own monotonic clock. The log
 *	must have been readable all that time: a renewal that could not be read
 *	must not count as missing. grace_ms covers the work that the previous
 *	holder had started.
 *
 *	A lease without a renewal for 2 * (duration_ms + grace_ms) is orphaned:
 *	any member acquires it, a little later for each rank, and retains it for
 *	half a minute. Otherwise the lease's work would stand still when the
 *	member whose target includes it comes and goes every few seconds.
 *
 *	A holder stops acting on a lease duration_ms after it began the last
 *	renewal that was accepted. Clocks of different processes are never
 *	compared: the holder's time ends before the challenger's because the
 *	holder's starts before the renewal is appended, and the challenger's
 *	after the renewal was read. Renewals are sent at a third of the
 *	duration, so two may be lost.
 *
 * ORDER OF CALLS
 *	wwh_lease_keeper_new; then in each round: wwh_lease_keeper_set_members
 *	when the members have changed, wwh_lease_keeper_observe for every shard,
 *	wwh_lease_keeper_begin_round, and wwh_lease_keeper_decide until it
 *	returns false. The caller carries out each action, and reports each
 *	accepted take or renewal by wwh_lease_keeper_confirm.
 *	wwh_lease_keeper_delete. Not thread safe.
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
	int64_t offset; /* offset in the lease record, see record.h */
} wwh_lease_action_t;

typedef struct {
	const char *author; /* name of this process in the log */
	int32_t first_shard;
	int32_t shard_count; /* at most 64 */
	int32_t duration_ms;
	int32_t grace_ms;
	int32_t settle_ms;
} wwh_lease_keeper_options_t;

typedef struct wwh_lease_keeper wwh_lease_keeper_t;

wwh_lease_keeper_options_t wwh_lease_keeper_options_defaults(void);
wwh_lease_keeper_t *
wwh_lease_keeper_new(const wwh_lease_keeper_options_t *options);
void wwh_lease_keeper_delete(wwh_lease_keeper_t *keeper);

/* rank: index of this process among the count members, from 0. */
void wwh_lease_keeper_set_members(wwh_lease_keeper_t *keeper, int32_t rank,
				  int32_t count);

/*
 * Sets which shards have work; only their leases are acquired. Bit n is the
 * n-th shard. Initially all bits are set.
 */
void wwh_lease_keeper_set_wanted(wwh_lease_keeper_t *keeper, uint64_t shards);

/*
 * Reports that the log could not be read: the time without a renewal starts
 * anew for every lease.
 */
void wwh_lease_keeper_log_gap(wwh_lease_keeper_t *keeper, int64_t now_ms);

/* Reports the lease as it is in the replayed state now. */
void wwh_lease_keeper_observe(wwh_lease_keeper_t *keeper, int64_t now_ms,
			      int32_t shard, const wwh_lease_view_t *view);

/* Determines which leases are surplus; release_all as below. */
void wwh_lease_keeper_begin_round(wwh_lease_keeper_t *keeper, int64_t now_ms,
				  bool release_all);

/*
 * Returns the next action of this round in *action, or false when there is none.
 * may_release: no work of this process is under way. release_all: the process is
 * shutting down and releases all leases.
 */
bool wwh_lease_keeper_decide(wwh_lease_keeper_t *keeper, int64_t now_ms,
			     bool may_release, bool release_all,
			     wwh_lease_action_t *action);

/* Reports that a take or renewal begun at began_ms was accepted. */
void wwh_lease_keeper_confirm(wwh_lease_keeper_t *keeper, int32_t shard,
			      int64_t began_ms);

/*
 * Returns whether this process may act on the lease at now_ms. *until_ms is valid
 * only if it may: the time at which the lease expires.
 */
bool wwh_lease_keeper_holds(const wwh_lease_keeper_t *keeper, int64_t now_ms,
			    int32_t shard, int64_t *until_ms);
int32_t wwh_lease_keeper_held_count(const wwh_lease_keeper_t *keeper,
				    int64_t now_ms);
int32_t wwh_lease_keeper_target(const wwh_lease_keeper_t *keeper);

#endif
