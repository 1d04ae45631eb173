#ifndef WAXWINGHOLLOW_SEAT_H
#define WAXWINGHOLLOW_SEAT_H

/*
 * NAME
 *	seat - which entry process owns which part of every minion's slots
 *
 * LOAD PATTERN
 *	Entry processes start, stop, pause and lose the connection to the
 *	platform's log or to each other, while the sum of their requests must
 *	not exceed each minion's 8 slots and 64 connections.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	A process that is paused for a minute is presumed dead, and its part is
 *	given to another. When it resumes, it still uses its part, and both
 *	send.
 *
 * HOW IT DECIDES
 *	The table is part of the state that every process derives from the log:
 *	each record below is applied in log order with the same result in every
 *	process. A seat has at most one holder.
 *
 *	- JOIN, CLAIM: only a free seat can be claimed.
 *	- RELEASE: a process removes the seat from its share, waits until
 *	  wwh_dispatch_is_within_share, and only then appends RELEASE.
 *	- EVICT: a process reports that another has failed. The seats stay
 *	  held. From then on no member renews the evicted one's lease.
 *	- ACK: a member has read the eviction: it no longer renews the lease
 *	  and has released what it borrowed (wwh_dispatch_loans_remove_peer,
 *	  settled).
 *	- FREE: the evicted one's seats become free. It is accepted only when
 *	  every member that is not evicted itself has acknowledged. It is
 *	  appended by a member that read the last acknowledgement at least
 *	  WWH_SEAT_FREE_AFTER_MS ago: by then the lease has lapsed and all
 *	  requests started under it have ended.
 *	- GONE: frees the seats at once, for a process that has certainly
 *	  ended: the platform lists its host as gone, or its successor has
 *	  bound the same address. Without it, no member could acknowledge after
 *	  a crash of all.
 *
 *	A process starts requests only while its lease is valid: for
 *	WWH_SEAT_LEASE_MS from the sending of a heartbeat that was answered by
 *	the log, or by members that together with this one hold more than half
 *	of all seats. A member answers only while its own lease is valid,
 *	reports the seats that it holds at that time, and does not answer a
 *	process whose eviction it has read. During an outage of the log nobody
 *	can be evicted, and the members renew each other's leases; those that
 *	are cut off from the log and from the majority of the seats stop.
 *
 *	Several members may be evicted at the same time only while they hold
 *	less than half of the seats, so that they can't renew each other's
 *	leases. Votes are counted by seats, not by members: to a process that
 *	has not read the latest JOIN records, a minority of the present members
 *	would look like a majority.
 *
 *	No clocks are compared, only their rates: a lease counts from the
 *	sending of the heartbeat, the wait from the reading of the last ACK,
 *	and the margin between them covers clocks whose rates differ by 10%.
 *
 * ORDER OF CALLS
 *	wwh_seat_table_init, then wwh_seat_table_apply for each record;
 *	wwh_seat_plan at any time. wwh_seat_lease_t is independent of these.
 */

#include <stdbool.h>
#include <stdint.h>

#define WWH_SEAT_MAX 64
#define WWH_SEAT_MEMBERS_MAX 64

#define WWH_SEAT_LEASE_MS 4000 /* four heartbeats a second may be lost */
#define WWH_SEAT_RUN_MAX_MS 30000 /* the longest deadline of a service */
#define WWH_SEAT_FREE_AFTER_MS 38000 /* over 1.1 times the sum of both */

typedef struct {
	uint64_t process; /* incarnation, new at each start; never 0 */
	bool evicted;
	uint64_t acked; /* bit i: members[i] has acknowledged the eviction */
} wwh_seat_member_t;

typedef struct {
	int32_t seat_count;
	uint64_t holders[WWH_SEAT_MAX]; /* 0: free */
	wwh_seat_member_t members[WWH_SEAT_MEMBERS_MAX]; /* in joining order */
	int32_t member_count;
} wwh_seat_table_t;

typedef enum {
	WWH_SEAT_JOIN = 0,
	WWH_SEAT_LEAVE, /* only of a member without seats */
	WWH_SEAT_CLAIM,
	WWH_SEAT_RELEASE,
	WWH_SEAT_EVICT,
	WWH_SEAT_ACK,
	WWH_SEAT_FREE,
	WWH_SEAT_GONE,
	WWH_SEAT_RECORD_COUNT
} wwh_seat_record_type_t;

/* Names of wwh_seat_record_type_t, in the same order. */
extern const char *const wwh_seat_record_names[WWH_SEAT_RECORD_COUNT];

typedef struct {
	uint64_t process; /* that appended the record */
	uint64_t subject; /* process meant by EVICT, ACK, FREE, GONE */
	wwh_seat_record_type_t type;
	int32_t seat; /* CLAIM, RELEASE */
} wwh_seat_record_t;

void wwh_seat_table_init(wwh_seat_table_t *table, int32_t seat_count);

/*
 * Returns false if the record has no effect. No record of an evicted process
 * has one.
 */
bool wwh_seat_table_apply(wwh_seat_table_t *table,
			  const wwh_seat_record_t *record);

/* Bits of the seats that process holds and may act on. */
uint64_t wwh_seat_held(const wwh_seat_table_t *table, uint64_t process);

/*
 * Writes to departed, which has room for WWH_SEAT_MEMBERS_MAX, the members of
 * before that are not members in after, for example after GONE. Returns their
 * number.
 */
int32_t wwh_seat_departed(const wwh_seat_table_t *before,
			  const wwh_seat_table_t *after, uint64_t *departed);

/*
 * Whether subject is evicted and every member that is not evicted has
 * acknowledged it.
 */
bool wwh_seat_all_acked(const wwh_seat_table_t *table, uint64_t subject);

/*
 * The record that process should append next to spread the seats evenly: CLAIM
 * of a free seat, or RELEASE of one (after it has settled) while another member
 * has at least two fewer. Returns false if there is nothing to append.
 */
bool wwh_seat_plan(const wwh_seat_table_t *table, uint64_t process,
		   wwh_seat_record_t *record);

/* A member's answer to a heartbeat. */
typedef struct {
	uint64_t member;
	uint64_t seats; /* held by the member when it answered */
	int64_t sent_ms; /* when the heartbeat was sent */
} wwh_seat_vote_t;

/* The lease of a process, in its own view. */
typedef struct {
	int64_t until_ms;
	wwh_seat_vote_t votes[WWH_SEAT_MEMBERS_MAX];
	int32_t vote_count;
} wwh_seat_lease_t;

/*
 * Renews the lease: the log has answered a read to its end that was sent at
 * sent_ms, and this process is not evicted.
 */
void wwh_seat_lease_renew_by_log(wwh_seat_lease_t *lease, int64_t sent_ms);

/*
 * Renews the lease if the answers of members, with own_seats, cover more than
 * half of all seats. own_seats are the seats that this process uses itself.
 */
void wwh_seat_lease_renew_by_vote(wwh_seat_lease_t *lease,
				  const wwh_seat_table_t *table,
				  uint64_t own_seats,
				  const wwh_seat_vote_t *vote);

#endif
