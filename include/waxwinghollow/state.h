#ifndef WAXWINGHOLLOW_STATE_H
#define WAXWINGHOLLOW_STATE_H

/*
 * NAME
 *	state - the reducer of stream control
 *
 * USE
 *	The reducer maps a state and a record to a new state and a verdict. It
 *	is pure: it uses no clock, no network and no randomness. Every entry
 *	process applies every record of the stream in the order of offsets, so
 *	all hold the same state and reach the same verdict at the same offset.
 *	A record is a request; its sender acts only after it has read its own
 *	record back as WWH_VERDICT_ACCEPTED.
 *
 *	Without the reducer, processes that act on their own views race each
 *	other (two waves each see a pool with one worker to spare and both
 *	take one), and a paused process acts on an outdated view. Here the
 *	second record of a race is void, wherever and whenever it was sent.
 *
 *	Configuration. A change names the version it was made from; the first
 *	change to a version wins. Later ones get WWH_VERDICT_STALE_BASE, which
 *	also voids a late re-publication, since versions only grow.
 *
 *	Pools. A worker is in exactly one pool, or in none while it moves. The
 *	pool in the inventory is the wanted one: a new worker is placed in it.
 *	For a known worker, a change of it requests a move
 *	(wwh_worker_view_t.wanted_pool) but does not carry it out: that would
 *	interrupt work, and the pool that the worker leaves could exceed its
 *	disruption budget unnoticed. A change is rejected (WWH_VERDICT_BUSY)
 *	when it removes a worker that is granted or moving, or a pool that has
 *	members, is the source or target of a move, or has a running wave. A
 *	change of a granted or moving worker's pool is accepted; the move in
 *	progress continues, and the wanted pool is evaluated after it.
 *
 *	Budget. A worker is lost to its pool while granted, failed or
 *	quarantined. With n members, l lost and one more to be taken, a grant
 *	is accepted only if, with the new worker counted in l:
 *	  l + r <= min(lose_count, n * lose_percent / 100, rounded down)
 *	  lost in its rack <= lose_per_rack, where that is not 0
 *	  lost in its zone <= lose_per_zone, where that is not 0
 *	r is the most capacity that one failure of the pool's reserve domain
 *	can still remove: the largest number of members not lost in one worker
 *	(1), rack or zone. A rehearsal needs only the reserve of one worker,
 *	because it is itself the failure that the larger reserve is for.
 *	lose_per_rack and lose_per_zone limit the lost workers, not the
 *	reserve, because a rack that fails loses all of its workers.
 *	A worker that is already lost may be granted at any time, since that
 *	removes no capacity; so failed workers can be repaired when failures
 *	have used up the budget. Failures and configuration changes may make l
 *	exceed the budget; further grants are then rejected, and no grant is
 *	undone.
 *
 *	Moves. A worker is granted with reason move and drained. On the move
 *	start it leaves its pool and counts for none; the start is rejected
 *	when the rest of that pool would not meet its budget with the reserve.
 *	On the move finish it joins the other pool; a cancel returns it to the
 *	first one. Joining only adds capacity, so the joined pool needs no
 *	check.
 *
 *	Leases avoid duplicate work; safety does not depend on them. A take
 *	names the last take or renewal that it replaces; a challenger appends
 *	it only after it saw no renewal for the lease's duration by its own
 *	monotonic clock. When the holder renewed in between, the offset isn't
 *	the latest and the verdict is WWH_VERDICT_STALE. The fence of a lease
 *	is the offset of its take. Records of control work carry it and get
 *	WWH_VERDICT_NOT_HOLDER once another take was accepted, so a paused
 *	holder's late record is void. The platform receives the offset of the
 *	grant or placement as a command's fence and rejects late commands.
 *
 *	A failure reduces the remaining budget, so any process may record one.
 *	A return increases it, so it must carry the lease's fence and the
 *	offset of the failure that ended; a late return can't undo a newer
 *	failure.
 *
 *	Jobs. The offset of an accepted placement is the fence of the task; a
 *	report with another fence is stale. A job that is not idempotent is
 *	placed again only when it certainly did not run or was checkpointed.
 *
 *	Ended waves, rehearsals and jobs are retained by id, so that a late
 *	repeat of their start gets WWH_VERDICT_ALREADY. Of each kind the last
 *	WWH_STATE_ENDED_MAX are retained. Ids must not be reused.
 *
 * ORDER OF CALLS
 *	wwh_state_new or wwh_snapshot_decode_state (snapshot.h); then
 *	wwh_state_apply_entry or wwh_state_apply for each record in the order
 *	of offsets, accessors in between; wwh_state_delete. Not thread safe.
 *	Pointers from accessors are valid until the next apply.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/config.h"
#include "waxwinghollow/record.h"
#include "waxwinghollow/seat.h"
#include "waxwinghollow/status.h"

/*
 * Leases are sharded by pool: 32 shards renewed every 5 s need 6.4 appends
 * a second, regardless of the number of pools and processes; the log accepts
 * several hundred.
 */
#define WWH_SHARD_POOLS 32 /* shards 0 to 31: pools by hash */
#define WWH_SHARD_SNAPSHOT 32
#define WWH_SHARD_PLACEMENT 33 /* for work that belongs to no pool */
#define WWH_SHARD_FLEET 34 /* likewise */
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
	WWH_VERDICT_ALREADY, /* already in effect; changes nothing */
	WWH_VERDICT_STALE_BASE, /* someone else changed the configuration */
	WWH_VERDICT_STALE, /* the named offset is not the latest */
	WWH_VERDICT_NOT_HOLDER, /* not the lease's holder with that fence */
	WWH_VERDICT_BUDGET,
	WWH_VERDICT_BUSY, /* granted, moving, placed or has a wave */
	WWH_VERDICT_NOT_ACTIVE, /* its wave or rehearsal is not running */
	WWH_VERDICT_UNKNOWN_WORKER,
	WWH_VERDICT_UNKNOWN_POOL,
	WWH_VERDICT_UNKNOWN_ITEM, /* no such wave, rehearsal, grant or job */
	WWH_VERDICT_INVALID, /* well formed but contradictory */
	WWH_VERDICT_LIMIT, /* a table is full */
	WWH_VERDICT_MALFORMED, /* not a record of this stream */
	WWH_VERDICT_OLD_OFFSET, /* offset applied before; changes nothing */
	WWH_VERDICT_COUNT
} wwh_verdict_t;

/* Names of wwh_verdict_t, in the same order. */
extern const char *const wwh_verdict_names[WWH_VERDICT_COUNT];

/* Explains a verdict to an operator. Functions accept NULL for it. */
typedef struct {
	int64_t offset; /* of the conflicting record, or -1 */
	int64_t version; /* of the configuration in force */
	wwh_message_t message; /* "" if accepted */
} wwh_verdict_detail_t;

typedef struct wwh_state wwh_state_t;

wwh_state_t *wwh_state_new(void);
void wwh_state_delete(wwh_state_t *state);

/* Applies one decoded record; offset must be above the last one applied. */
wwh_verdict_t wwh_state_apply(wwh_state_t *state, int64_t offset,
			      const wwh_record_t *record,
			      wwh_verdict_detail_t *detail);

/*
 * Decodes data into record and applies it. If decoding fails, returns
 * WWH_VERDICT_MALFORMED and leaves record empty. The caller clears record.
 */
wwh_verdict_t wwh_state_apply_entry(wwh_state_t *state, int64_t offset,
				    const uint8_t *data, size_t size,
				    wwh_record_t *record,
				    wwh_verdict_detail_t *detail);

/* Recounts the state and asserts every invariant. Takes linear time. */
void wwh_state_check(const wwh_state_t *state);

/* If on, every apply ends with wwh_state_check. The default is off. */
void wwh_state_set_check(wwh_state_t *state, bool on);

int64_t wwh_state_last_offset(const wwh_state_t *state); /* -1 if none */

/* How often apply returned verdict. Snapshots do not contain this count. */
int64_t wwh_state_verdict_count(const wwh_state_t *state,
				wwh_verdict_t verdict);

/*
 * Offset of the last record of author, or -1. Only the WWH_STATE_AUTHORS_MAX
 * most recent authors are retained.
 */
int64_t wwh_state_author_offset(const wwh_state_t *state, const char *author);

/* Visits every retained author in order until visit returns false. */
typedef bool (*wwh_author_visit_t)(const char *author, int64_t offset,
				   void *client_data);
void wwh_state_each_author(const wwh_state_t *state, wwh_author_visit_t visit,
			   void *client_data);

/* The configuration in force; initially empty with version 0. */
const wwh_config_t *wwh_state_config(const wwh_state_t *state);
int64_t wwh_state_config_version(const wwh_state_t *state);
int64_t wwh_state_config_offset(const wwh_state_t *state); /* -1 if none */
const char *wwh_state_config_author(const wwh_state_t *state); /* or "" */

/* The shard of a pool's control work. */
int32_t wwh_shard_of_pool(const char *pool);

typedef struct {
	bool held;
	const char *holder; /* author of the last take; "" if not held */
	int64_t fence; /* offset of the take */
	int64_t latest; /* last take or renewal, named by a challenger */
	int32_t duration_ms;
} wwh_lease_view_t;

/* If the lease was released or never taken, held is false and latest is -1. */
wwh_lease_view_t wwh_state_lease(const wwh_state_t *state, int32_t shard);

/* Whether author holds shard under fence. */
bool wwh_state_is_lease_holder(const wwh_state_t *state, int32_t shard,
			       const char *author, int64_t fence);

/* The holders of all minions' seats; valid until the next apply. */
const wwh_seat_table_t *wwh_state_seats(const wwh_state_t *state);

/* The id of an author in the seat table: its XXH3 hash, never 0. */
uint64_t wwh_seat_process_id(const char *author);

typedef struct {
	const char *id;
	const wwh_worker_t *declared;
	const char *pool; /* "" while it is between pools */
	const char *wanted_pool; /* a move is requested if not pool */
	const char *move_from; /* "" unless between pools */
	const char *move_to;
	int64_t move; /* offset of the move start, or -1 */
	int64_t failed; /* offset of the last failure record, or -1 */
	int64_t quarantined; /* offset of the quarantine, or -1 */
	int64_t grant; /* offset of the grant in force, or -1 */
	wwh_grant_reason_t grant_reason;
	const char *grant_owner; /* "" without a grant */
	const char *grant_author;
	bool lost; /* counts as lost in its pool */
} wwh_worker_view_t;

/* Returns false to stop. */
typedef bool (*wwh_worker_view_visit_t)(const wwh_worker_view_t *worker,
					void *client_data);

/* Returns false if there is no such worker. */
bool wwh_state_worker(const wwh_state_t *state, const char *id,
		      wwh_worker_view_t *worker);

/* Visits all workers in the order of ids. */
void wwh_state_each_worker(const wwh_state_t *state,
			   wwh_worker_view_visit_t visit, void *client_data);

/* Visits the members of one pool in the order of ids. */
void wwh_state_each_member(const wwh_state_t *state, const char *pool,
			   wwh_worker_view_visit_t visit, void *client_data);

/* Visits workers that are granted or between pools, in the order of ids. */
void wwh_state_each_grant(const wwh_state_t *state,
			  wwh_worker_view_visit_t visit, void *client_data);

typedef struct {
	const wwh_pool_t *declared;
	int32_t members;
	int32_t lost; /* granted, failed or quarantined */
	int32_t granted;
	int32_t failed;
	int32_t limit; /* min(lose_count, lose_percent of members) */
	int32_t reserve; /* lost if the reserve domain fails now */
} wwh_pool_view_t;

bool wwh_state_pool(const wwh_state_t *state, const char *id,
		    wwh_pool_view_t *pool);

/*
 * The verdict that a grant request for worker would get now; changes nothing.
 * detail names the limiting budget. The lease is not checked.
 */
wwh_verdict_t wwh_state_would_grant(const wwh_state_t *state,
				    const char *worker,
				    wwh_grant_reason_t reason,
				    const char *owner,
				    wwh_verdict_detail_t *detail);

typedef enum {
	WWH_WAVE_PHASE_RUNNING = 0,
	WWH_WAVE_PHASE_PAUSED,
	WWH_WAVE_PHASE_ABORTED, /* no new grants; grants are to be ended */
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
	int64_t changed; /* offset of the last change of phase */
	const char *reason; /* of the last change; may be "" */
	const char *const *workers; /* selected workers in the order of ids */
	int32_t worker_count; /* 0 selects the whole pool */
	const char *const *done; /* returned under it, in the order of ids */
	int32_t done_count;
} wwh_wave_view_t;

typedef bool (*wwh_wave_view_visit_t)(const wwh_wave_view_t *wave,
				      void *client_data);

/* Returns false if there is no such wave. Finds retained ended waves too. */
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
	WWH_JOB_PHASE_DONE, /* this phase and all after it are final */
	WWH_JOB_PHASE_CANCELLED,
	WWH_JOB_PHASE_FAILED, /* not idempotent, and ran or may have run */
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
	int64_t submitted; /* offset of the submission */
	wwh_job_phase_t phase;
	const char *worker; /* of the last placement; "" if never placed */
	int64_t fence; /* offset of the last placement, or -1 */
	int64_t checkpoint; /* offset of the last checkpoint, or -1 */
	int32_t failures; /* placements that ended in a failure */
} wwh_job_view_t;

typedef bool (*wwh_job_view_visit_t)(const wwh_job_view_t *job,
				     void *client_data);

bool wwh_state_job(const wwh_state_t *state, const char *id,
		   wwh_job_view_t *job);

/* Whether the state holds any job, ended or not. */
bool wwh_state_has_jobs(const wwh_state_t *state);

/* Visits all jobs, also retained ended ones, in the order of ids. */
void wwh_state_each_job(const wwh_state_t *state, wwh_job_view_visit_t visit,
			void *client_data);

#endif
