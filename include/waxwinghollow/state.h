#ifndef WAXWINGHOLLOW_STATE_H
#define WAXWINGHOLLOW_STATE_H

/*
 * NAME
 *	state - the reducer of stream control
 *
 * USE
 *	state x record -> state + verdict. Pure: no clock, no network, no
 *	randomness. Every entry process applies every record of the stream in
 *	the order of offsets, so all hold the same state and reach the same
 *	verdict at the same offset. A record is a request; its sender acts
 *	only after it has read its own record back as WWH_VERDICT_ACCEPTED.
 *
 *	What goes wrong without it: processes that act on their own view race
 *	each other (two waves each see a pool with one worker to spare and
 *	both take one), and a paused process acts on a view that is over.
 *	Here the second record of a race is void by the rule itself, wherever
 *	and whenever it was sent.
 *
 *	Configuration. A change names the version it was made from; the first
 *	at a version wins. Later ones get WWH_VERDICT_STALE_BASE, which also
 *	voids a late re-publication: versions only grow.
 *
 *	Pools. A worker is in exactly one pool, or in none while it moves. The
 *	pool in the inventory is the wanted one: it places a new worker, and
 *	for a known one a change of it asks for a move
 *	(wwh_worker_view_t.wanted_pool), it does not move it: work would be
 *	cut off and the pool it leaves would fall below its budget unseen. A
 *	change that removes a worker that is granted or moving, or a pool that
 *	still has members or is an end of a move, or has a running wave, is
 *	refused (WWH_VERDICT_BUSY). A change that moves a granted or moving
 *	worker is taken; the move under way goes on, and its wanted pool is
 *	looked at after it.
 *
 *	Budget. A worker is lost to its pool while granted, failed or
 *	quarantined. With n members, l lost and one more to be taken, a grant
 *	needs, with the new worker counted in l:
 *	  l + r <= min(lose_count, n * lose_percent / 100, rounded down)
 *	  lost in its rack <= lose_per_rack, where that is not 0
 *	  lost in its zone <= lose_per_zone, where that is not 0
 *	r is what the pool's reserve may still lose at a stroke: the largest
 *	number of members not lost in one worker (1), rack or zone. A
 *	rehearsal keeps only the worker's reserve, as it is itself the failure
 *	that the larger reserve is for. lose_per_rack and lose_per_zone bound
 *	what is out, not the reserve: a rack that fails is lost whole.
 *	A worker that is lost already may be granted at any time, since that
 *	takes no capacity: so failed workers can be repaired when failures
 *	have used the budget up. Failures and configuration may make l exceed
 *	the budget; then further grants are refused, and nothing is undone.
 *
 *	Moves. Grant with reason move; drain; move start: the worker leaves
 *	its pool and counts for none (refused when the rest of that pool would
 *	not hold its budget with the reserve: it is needed there); move
 *	finish: it joins the other pool. Cancel brings it back. Joining only
 *	adds capacity, so the pool it joins needs no check.
 *
 *	Leases spare double work, safety doesn't hang on them. A take names
 *	the last take or renewal that it replaces; a challenger appends it
 *	only after its own monotonic clock saw no renewal for the duration.
 *	When the holder renewed in between, the offset isn't the latest and
 *	the take is WWH_VERDICT_STALE. The fence of a lease is the offset of
 *	its take; records of control work carry it and are
 *	WWH_VERDICT_NOT_HOLDER once another take was accepted, so that a
 *	paused holder's late record is void. The platform gets the offset of
 *	the grant or placement as fence of a command, so a late command is
 *	refused there.
 *
 *	Failures tighten the budget, so any process may record one. A return
 *	loosens it: it needs the lease and the offset of the failure it
 *	answers, so a late return can't undo a newer failure.
 *
 *	Jobs. The offset of an accepted placement is the fence of the task; a
 *	report with another one is stale. A job that is not idempotent is
 *	placed again only when it surely did not run or was checkpointed.
 *
 *	What has ended (waves, rehearsals, jobs) is remembered by id, so that
 *	a late repeat of its start is WWH_VERDICT_ALREADY; the oldest are
 *	forgotten beyond WWH_STATE_ENDED_MAX of each. Ids must not be reused.
 *
 * ORDER OF CALLS
 *	wwh_state_new or wwh_snapshot_decode_state (snapshot.h); then
 *	wwh_state_apply_entry or wwh_state_apply for each record in the order
 *	of offsets, accessors in between; wwh_state_delete. Not thread safe.
 *	Pointers from accessors hold until the next apply.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/config.h"
#include "waxwinghollow/record.h"
#include "waxwinghollow/seat.h"
#include "waxwinghollow/status.h"

/*
 * Leases are sharded by pool: 32 shards renewed every 5 s are 6.4 appends a
 * second, whatever the number of pools and processes, of the several hundred
 * that the log takes.
 */
#define WWH_SHARD_POOLS 32 /* shards 0 to 31: pools by hash */
#define WWH_SHARD_SNAPSHOT 32
#define WWH_SHARD_PLACEMENT 33 /* free for work that is not a pool's */
#define WWH_SHARD_FLEET 34 /* free likewise */
#define WWH_SHARD_COUNT 35

/*
 * Seats divide each minion's 8 slots among 7 to 8 entry processes: with as
 * many seats as slots, no slot is left without an owner.
 */
#define WWH_STATE_SEATS 8

#define WWH_STATE_ENDED_MAX 4096
#define WWH_STATE_AUTHORS_MAX 1024
#define WWH_STATE_WAVES_MAX 4096 /* running */
#define WWH_STATE_JOBS_MAX 262144 /* not ended */

typedef enum {
	WWH_VERDICT_ACCEPTED = 0,
	WWH_VERDICT_ALREADY, /* it is so already; no effect */
	WWH_VERDICT_STALE_BASE, /* someone else changed the configuration */
	WWH_VERDICT_STALE, /* the offset it names is not the latest */
	WWH_VERDICT_NOT_HOLDER, /* not the lease's holder under that fence */
	WWH_VERDICT_BUDGET,
	WWH_VERDICT_BUSY, /* granted, moving, placed or has a wave */
	WWH_VERDICT_NOT_ACTIVE, /* its wave or rehearsal does not run */
	WWH_VERDICT_UNKNOWN_WORKER,
	WWH_VERDICT_UNKNOWN_POOL,
	WWH_VERDICT_UNKNOWN_ITEM, /* no such wave, rehearsal, grant or job */
	WWH_VERDICT_INVALID, /* well formed but makes no sense */
	WWH_VERDICT_LIMIT, /* a table is full */
	WWH_VERDICT_MALFORMED, /* not a record of this stream */
	WWH_VERDICT_OLD_OFFSET, /* applied before; no effect */
	WWH_VERDICT_COUNT
} wwh_verdict_t;

/* Names of wwh_verdict_t, in the same order. */
extern const char *const wwh_verdict_names[WWH_VERDICT_COUNT];

/* What an operator needs to know; may be NULL where it is taken. */
typedef struct {
	int64_t offset; /* of the record that stands in the way, or -1 */
	int64_t version; /* of the configuration in force */
	wwh_message_t message; /* "" when accepted */
} wwh_verdict_detail_t;

typedef struct wwh_state wwh_state_t;

wwh_state_t *wwh_state_new(void);
void wwh_state_delete(wwh_state_t *state);

/* Applies one decoded record; offset must be above the last one applied. */
wwh_verdict_t wwh_state_apply(wwh_state_t *state, int64_t offset,
			      const wwh_record_t *record,
			      wwh_verdict_detail_t *detail);

/*
 * Decodes data into record and applies it. A record that fails to decode is
 * WWH_VERDICT_MALFORMED and record is empty. The caller clears record.
 */
wwh_verdict_t wwh_state_apply_entry(wwh_state_t *state, int64_t offset,
				    const uint8_t *data, size_t size,
				    wwh_record_t *record,
				    wwh_verdict_detail_t *detail);

/* Asserts every invariant by recounting; O(state). */
void wwh_state_check(const wwh_state_t *state);

/* When on, every apply ends with wwh_state_check. Off at first. */
void wwh_state_set_check(wwh_state_t *state, bool on);

int64_t wwh_state_last_offset(const wwh_state_t *state); /* -1: none */

/* How often apply gave this verdict; not part of the state's bytes. */
int64_t wwh_state_verdict_count(const wwh_state_t *state,
				wwh_verdict_t verdict);

/* Offset of the last record of author, or -1. Bounded, see above. */
int64_t wwh_state_author_offset(const wwh_state_t *state, const char *author);

/* Every author that is remembered, in order; false from visit stops. */
typedef bool (*wwh_author_visit_t)(const char *author, int64_t offset,
				   void *client_data);
void wwh_state_each_author(const wwh_state_t *state, wwh_author_visit_t visit,
			   void *client_data);

/* The configuration in force; version 0 and empty at first. */
const wwh_config_t *wwh_state_config(const wwh_state_t *state);
int64_t wwh_state_config_version(const wwh_state_t *state);
int64_t wwh_state_config_offset(const wwh_state_t *state); /* -1: none */
const char *wwh_state_config_author(const wwh_state_t *state); /* or "" */

/* The shard of a pool's control work. */
int32_t wwh_shard_of_pool(const char *pool);

typedef struct {
	bool held;
	const char *holder; /* of the last take; "" when there was none */
	int64_t fence; /* offset of the take */
	int64_t latest; /* last take or renewal: what a challenger names */
	int32_t duration_ms;
} wwh_lease_view_t;

/* Of a released or never taken lease: held is false and latest is -1. */
wwh_lease_view_t wwh_state_lease(const wwh_state_t *state, int32_t shard);

/* Whether author holds shard under fence. */
bool wwh_state_holds(const wwh_state_t *state, int32_t shard,
		     const char *author, int64_t fence);

/* Who holds the seats of all minions' slots; holds until the next apply. */
const wwh_seat_table_t *wwh_state_seats(const wwh_state_t *state);

/* The number by which the seats name an author: XXH3 of it, never 0. */
uint64_t wwh_seat_process(const char *author);

typedef struct {
	const char *id;
	const wwh_worker_t *declared;
	const char *pool; /* "" while it is between pools */
	const char *wanted_pool; /* differs from pool: a move is asked for */
	const char *move_from; /* "" unless between pools */
	const char *move_to;
	int64_t move; /* offset of the move start, or -1 */
	int64_t failed; /* offset of the last failure record, or -1 */
	int64_t quarantined; /* offset, or -1 */
	int64_t grant; /* offset of the grant it is out under, or -1 */
	wwh_grant_reason_t grant_reason;
	const char *grant_owner; /* "" without a grant */
	const char *grant_author;
	bool lost; /* counts as lost in its pool */
} wwh_worker_view_t;

/* Returns false to stop. */
typedef bool (*wwh_worker_view_visit_t)(const wwh_worker_view_t *worker,
					void *client_data);

/* False when there is no such worker. */
bool wwh_state_worker(const wwh_state_t *state, const char *id,
		      wwh_worker_view_t *worker);

/* In the order of ids. */
void wwh_state_each_worker(const wwh_state_t *state,
			   wwh_worker_view_visit_t visit, void *client_data);

/* Members of one pool in the order of ids. */
void wwh_state_each_member(const wwh_state_t *state, const char *pool,
			   wwh_worker_view_visit_t visit, void *client_data);

/* Workers that are granted or between pools, in the order of ids. */
void wwh_state_each_grant(const wwh_state_t *state,
			  wwh_worker_view_visit_t visit, void *client_data);

typedef struct {
	const wwh_pool_t *declared;
	int32_t members;
	int32_t lost; /* granted, failed or quarantined */
	int32_t granted;
	int32_t failed;
	int32_t limit; /* min(lose_count, lose_percent of members) */
	int32_t reserve; /* what the reserve's failure may take now */
} wwh_pool_view_t;

bool wwh_state_pool(const wwh_state_t *state, const char *id,
		    wwh_pool_view_t *pool);

/*
 * What a grant for worker would get now, without an effect; detail names the
 * binding budget. The lease is not looked at.
 */
wwh_verdict_t wwh_state_would_grant(const wwh_state_t *state,
				    const char *worker,
				    wwh_grant_reason_t reason,
				    const char *owner,
				    wwh_verdict_detail_t *detail);

typedef enum {
	WWH_WAVE_PHASE_RUNNING = 0,
	WWH_WAVE_PHASE_PAUSED,
	WWH_WAVE_PHASE_ABORTED, /* no new grants; grants out are to be ended */
	WWH_WAVE_PHASE_FINISHED,
	WWH_WAVE_PHASE_COUNT
} wwh_wave_phase_t;

/* Names of wwh_wave_phase_t, in the same order. */
extern const char *const wwh_wave_phase_names[WWH_WAVE_PHASE_COUNT];

typedef struct {
	const char *id;
	const char *pool;
	const char *author;
	int64_t offset; /* of its start */
	wwh_wave_phase_t phase;
	int64_t changed; /* offset of the last change of state */
	const char *reason; /* of the last change; may be "" */
	const char *const *workers; /* chosen ones in the order of ids */
	int32_t worker_count; /* 0: all of the pool */
	const char *const *done; /* returned under this wave, in order of ids */
	int32_t done_count;
} wwh_wave_view_t;

typedef bool (*wwh_wave_view_visit_t)(const wwh_wave_view_t *wave,
				      void *client_data);

/* Ended waves are found too, while they are remembered. */
bool wwh_state_wave(const wwh_state_t *state, const char *id,
		    wwh_wave_view_t *wave);
void wwh_state_each_wave(const wwh_state_t *state, wwh_wave_view_visit_t visit,
			 void *client_data);

typedef struct {
	const char *id;
	const char *author;
	int64_t offset;
	wwh_domain_t domain;
	const char *domain_id;
	bool running;
} wwh_rehearsal_view_t;

typedef bool (*wwh_rehearsal_view_visit_t)(
	const wwh_rehearsal_view_t *rehearsal, void *client_data);

bool wwh_state_rehearsal(const wwh_state_t *state, const char *id,
			 wwh_rehearsal_view_t *rehearsal);
void wwh_state_each_rehearsal(const wwh_state_t *state,
			      wwh_rehearsal_view_visit_t visit,
			      void *client_data);

typedef enum {
	WWH_JOB_PHASE_PENDING = 0,
	WWH_JOB_PHASE_PLACED,
	WWH_JOB_PHASE_DONE, /* this and below have ended */
	WWH_JOB_PHASE_CANCELLED,
	WWH_JOB_PHASE_FAILED, /* ran, or may have run, and is not idempotent */
	WWH_JOB_PHASE_COUNT
} wwh_job_phase_t;

/* Names of wwh_job_phase_t, in the same order. */
extern const char *const wwh_job_phase_names[WWH_JOB_PHASE_COUNT];

typedef struct {
	const char *id;
	const char *pool;
	const char *team;
	int32_t cores;
	int64_t memory_mb;
	int32_t accelerators;
	bool urgent;
	bool idempotent;
	int64_t submitted; /* offset */
	wwh_job_phase_t phase;
	const char *worker; /* of the last placement; "" before */
	int64_t fence; /* offset of the last placement, or -1 */
	int64_t checkpoint; /* offset of the last checkpoint, or -1 */
	int32_t failures; /* placements that ended in a failure */
} wwh_job_view_t;

typedef bool (*wwh_job_view_visit_t)(const wwh_job_view_t *job,
				     void *client_data);

bool wwh_state_job(const wwh_state_t *state, const char *id,
		   wwh_job_view_t *job);

/* Whether any job is remembered, ended or not. */
bool wwh_state_has_jobs(const wwh_state_t *state);

/* All that are remembered, in the order of ids. */
void wwh_state_each_job(const wwh_state_t *state, wwh_job_view_visit_t visit,
			void *client_data);

#endif
