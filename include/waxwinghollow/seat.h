#ifndef WAXWINGHOLLOW_SEAT_H
#define WAXWINGHOLLOW_SEAT_H

/*
 * NAME
 *	seat - which entry process owns which part of every minion's slots
 *
 * LOAD PATTERN
 *	Entry processes come, go, pause and lose the platform's log or each
 *	other, while each minion's 8 slots and 64 connections must not be
 *	exceeded in sum.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	A process that is paused for a minute is taken for dead; its part is
 *	given to another; it wakes, still believes in its part, and both send.
 *
 * HOW IT DECIDES
 *	The table is part of the state that every process derives from the log:
 *	each record below is applied in log order with the same verdict in
 *	every process. A seat has at most one holder.
 *
 *	- JOIN, CLAIM: only a free seat can be claimed.
 *	- RELEASE: a process takes the seat out of its share, waits until
 *	  wwh_dispatch_share_settled, and only then appends RELEASE.
 *	- EVICT: some process says that another is gone. The seats stay taken.
 *	  From then on nobody renews the evicted one's lease.
 *	- ACK: a member has seen the eviction: it renews the lease no more and
 *	  has given up what it borrowed (wwh_dispatch_loans_forget, settled).
 *	- FREE: the evicted one's seats are free. Accepted only when every
 *	  member that is not evicted itself has acknowledged. It is appended
 *	  by a member that has seen the last acknowledgement at least
 *	  WWH_SEAT_FREE_AFTER_MS ago: by then the lease has lapsed and all that
 *	  was started under it has ended.
 *	- GONE: the same at once, for one that surely runs no more: the
 *	  platform lists its host as gone, or its successor has bound the same
 *	  address. Without it, nobody could acknowledge after a crash of all.
 *
 *	A process starts work only while its lease holds: for
 *	WWH_SEAT_LEASE_MS from the sending of a question that was answered by
 *	the log, or by members that together with this one hold more than half
 *	of all seats. A member answers only while its own lease holds, tells
 *	the seats that it holds at that time, and does not answer one whose
 *	eviction it has read. During an outage of the log nobody can be
 *	evicted, and the members keep each other's leases; those that are cut
 *	off from the log and from the majority of the seats stop.
 *
 *	Several may be under eviction at once only while they hold less than
 *	half of the seats, so that they can't keep each other's leases. Votes
 *	are seats, not members: members that have joined since the evicted
 *	last read the log would make a majority of an old table look like a
 *	minority of the new one.
 *
 *	No clocks are compared, only their rates: a lease counts from the
 *	sending of the question, the wait from the reading of the last ACK,
 *	and the margin between them covers clocks that run 10% apart.
 *
 * ORDER OF CALLS
 *	wwh_seat_table_init, then wwh_seat_table_apply for each record;
 *	wwh_seat_plan at any time. wwh_seat_lease_t on its own.
 */

#include <stdbool.h>
#include <stdint.h>

#define WWH_SEAT_MAX 64
#define WWH_SEAT_MEMBERS_MAX 64

#define WWH_SEAT_LEASE_MS 4000 /* four heartbeats a second may be lost */
#define WWH_SEAT_RUN_MAX_MS 30000 /* the longest deadline of a service */
#define WWH_SEAT_FREE_AFTER_MS 38000 /* 1.1 times the two above, and more */

typedef struct {
	uint64_t process; /* incarnation: new at each start; never 0 */
	bool evicted;
	uint64_t acked; /* bit i: member at i has acknowledged the eviction */
} wwh_seat_member_t;

typedef struct {
	int32_t seat_count;
	uint64_t holders[WWH_SEAT_MAX]; /* 0: free */
	wwh_seat_member_t members[WWH_SEAT_MEMBERS_MAX]; /* in joining order */
	int32_t member_count;
} wwh_seat_table_t;

typedef enum {
	WWH_SEAT_JOIN = 0,
	WWH_SEAT_LEAVE, /* with no seat any more */
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
	uint64_t process; /* that says it */
	uint64_t subject; /* EVICT, ACK, FREE, GONE: about whom */
	wwh_seat_record_type_t type;
	int32_t seat; /* CLAIM, RELEASE */
} wwh_seat_record_t;

void wwh_seat_table_init(wwh_seat_table_t *table, int32_t seat_count);

/* False: the record has no effect. Nothing an evicted process says has one. */
bool wwh_seat_table_apply(wwh_seat_table_t *table,
			  const wwh_seat_record_t *record);

/* Bits of the seats that process holds and may act on. */
uint64_t wwh_seat_held(const wwh_seat_table_t *table, uint64_t process);

/*
 * The members of before that are none in after, e.g. said to be GONE; fills
 * departed, which has room for WWH_SEAT_MEMBERS_MAX, and returns how many.
 */
int32_t wwh_seat_departed(const wwh_seat_table_t *before,
			  const wwh_seat_table_t *after, uint64_t *departed);

/* Every other member that is not evicted has acknowledged the eviction. */
bool wwh_seat_all_acked(const wwh_seat_table_t *table, uint64_t subject);

/*
 * What process should append next so that seats are spread evenly: CLAIM of a
 * free seat, or RELEASE of one (after it has settled) while another member
 * has two fewer. False: nothing.
 */
bool wwh_seat_plan(const wwh_seat_table_t *table, uint64_t process,
		   wwh_seat_record_t *record);

/* What a member answered last. */
typedef struct {
	uint64_t member;
	uint64_t seats; /* that it held then */
	int64_t sent_ms; /* when it was asked */
} wwh_seat_vote_t;

/* The lease of one process, as it knows it. */
typedef struct {
	int64_t until_ms;
	wwh_seat_vote_t votes[WWH_SEAT_MEMBERS_MAX];
	int32_t vote_count;
} wwh_seat_lease_t;

/*
 * The log answered a read to its end that was sent at sent_ms, and this
 * process is not evicted.
 */
void wwh_seat_lease_renew_by_log(wwh_seat_lease_t *lease, int64_t sent_ms);

/* A member answered a heartbeat; own_seats: that process has in use itself. */
void wwh_seat_lease_renew_by_vote(wwh_seat_lease_t *lease,
				  const wwh_seat_table_t *table,
				  uint64_t own_seats,
				  const wwh_seat_vote_t *vote);

#endif
