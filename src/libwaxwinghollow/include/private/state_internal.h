#ifndef WWH_PRIVATE_STATE_INTERNAL_H
#define WWH_PRIVATE_STATE_INTERNAL_H

/*
 * NAME
 *	state_internal - private interface of the state*.c files
 *
 * USE
 *	state.c passes each record to the wwh_apply_* function of its kind.
 *	That function decides on the whole record before it changes the state.
 *	Code that changes a worker's pool, grant or flags calls
 *	wwh_state_uncount_worker before the change and wwh_state_count_worker
 *	after it.
 */

#include "private/record_fields.h"
#include "waxwinghollow/state.h"

/* Counts of a pool's members and lost workers in one rack or zone. */
typedef struct {
	const char *name;
	int32_t members;
	int32_t lost;
} wwh_domain_count_t;

typedef struct {
	GArray *counts; /* of wwh_domain_count_t */
	GHashTable *index; /* name to index in counts plus 1 */
} wwh_domain_counts_t;

typedef struct {
	const wwh_pool_t *declared;
	int32_t members;
	int32_t lost;
	int32_t granted;
	int32_t failed;
	wwh_domain_counts_t racks;
	wwh_domain_counts_t zones;
} wwh_state_pool_t;

typedef struct {
	int64_t offset;
	wwh_grant_reason_t reason;
	char *owner;
	char *author;
} wwh_state_grant_t;

typedef struct {
	int64_t offset; /* of the move start */
	char *from;
	char *to;
} wwh_state_move_t;

typedef struct {
	const wwh_worker_t *declared;
	wwh_state_pool_t *pool; /* NULL between pools */
	/*
	 * A move in the log placed the worker in its pool, and the inventory's
	 * pool has not changed since: the wanted pool is the current one.
	 */
	bool placed_by_move;
	int64_t failed;
	int64_t quarantined;
	wwh_state_grant_t *grant;
	wwh_state_move_t *move;
} wwh_state_worker_t;

/* Snapshots encode the structs below directly, by their field tables. */
typedef struct {
	char *holder; /* "" if never taken or released */
	int64_t fence;
	int64_t latest;
	int32_t duration_ms;
} wwh_state_lease_t;

typedef struct {
	char *id;
	char *pool;
	char *author;
	char *reason;
	int64_t offset;
	int64_t changed;
	int32_t phase; /* wwh_wave_phase_t */
	GPtrArray *workers; /* sorted */
	GPtrArray *done; /* sorted */
} wwh_state_wave_t;

typedef struct {
	char *id;
	char *author;
	char *domain_id;
	int64_t offset;
	int64_t changed;
	int32_t domain; /* wwh_domain_t */
	bool running;
} wwh_state_rehearsal_t;

typedef struct {
	char *id;
	char *pool;
	char *team;
	char *worker;
	int64_t memory_mb;
	int64_t submitted;
	int64_t changed;
	int64_t fence;
	int64_t checkpoint;
	int32_t cores;
	int32_t accelerators;
	int32_t phase; /* wwh_job_phase_t */
	int32_t failures;
	bool urgent;
	bool idempotent;
} wwh_state_job_t;

typedef struct {
	char *id;
	int64_t offset;
} wwh_state_author_t;

/* Items by id, and a queue of the ended ones in the order of their end. */
typedef struct {
	GTree *by_id;
	GQueue ended; /* of the items in by_id */
	const wwh_codec_fields_t *fields;
} wwh_state_table_t;

struct wwh_state {
	wwh_config_t *config;
	int64_t config_offset;
	char *config_author;
	int64_t last_offset;
	wwh_state_worker_t *workers; /* in the order of ids */
	int32_t worker_count;
	GHashTable *worker_by_id;
	wwh_state_pool_t *pools; /* in the order of ids */
	int32_t pool_count;
	GHashTable *pool_by_id;
	wwh_state_lease_t *leases[WWH_SHARD_COUNT];
	wwh_seat_table_t seats;
	wwh_state_table_t waves;
	wwh_state_table_t rehearsals;
	wwh_state_table_t jobs;
	GTree *authors; /* of wwh_state_author_t */
	GHashTable *wave_by_pool; /* running and paused ones */
	int64_t verdict_counts[WWH_VERDICT_COUNT];
	bool check;
};

extern const wwh_codec_fields_t wwh_state_lease_fields;
extern const wwh_codec_fields_t wwh_state_wave_fields;
extern const wwh_codec_fields_t wwh_state_rehearsal_fields;
extern const wwh_codec_fields_t wwh_state_job_fields;
extern const wwh_codec_fields_t wwh_state_author_fields;

/* Sets offset, version and message of detail; returns verdict. */
wwh_verdict_t wwh_state_verdict(const wwh_state_t *state,
				wwh_verdict_detail_t *detail,
				wwh_verdict_t verdict, int64_t offset,
				const char *format, ...)
	__attribute__((format(printf, 5, 6)));

/* state_pool.c: membership and counts. */
wwh_state_worker_t *wwh_state_find_worker(const wwh_state_t *state,
					  const char *id);
wwh_state_pool_t *wwh_state_find_pool(const wwh_state_t *state, const char *id);
bool wwh_state_worker_is_lost(const wwh_state_worker_t *worker);
const char *wwh_state_worker_wanted_pool(const wwh_state_worker_t *worker);
/* The pool whose shard controls worker: its own or, in a move, the source. */
const char *wwh_state_worker_home_pool(const wwh_state_worker_t *worker);
void wwh_state_count_worker(wwh_state_worker_t *worker);
void wwh_state_uncount_worker(wwh_state_worker_t *worker);
void wwh_state_end_grant(wwh_state_worker_t *worker);
void wwh_state_end_move(wwh_state_worker_t *worker);
void wwh_state_pools_init(wwh_state_pool_t *pools, int32_t count,
			  const wwh_config_t *config);
void wwh_state_pools_clear(wwh_state_pool_t *pools, int32_t count);

/*
 * Replaces the configuration, pools and workers of state by those of config
 * and takes ownership of config. Known workers retain their pool and flags.
 */
void wwh_state_replace_config(wwh_state_t *state, wwh_config_t *config);

/* state_budget.c: whether worker may be granted, or may leave its pool. */
wwh_verdict_t wwh_state_check_budget(const wwh_state_t *state,
				     const wwh_state_worker_t *worker,
				     wwh_grant_reason_t reason,
				     wwh_verdict_detail_t *detail);
wwh_verdict_t wwh_state_check_budget_without(const wwh_state_t *state,
					     const wwh_state_worker_t *worker,
					     wwh_verdict_detail_t *detail);
/* candidate counts as lost in addition; NULL for none. */
int32_t wwh_state_pool_reserve(const wwh_state_pool_t *pool,
			       wwh_domain_t reserve,
			       const wwh_state_worker_t *candidate);

/* state_table.c: items by id with a bounded number of ended ones. */
void wwh_state_table_init(wwh_state_table_t *table,
			  const wwh_codec_fields_t *fields);
void wwh_state_table_clear(wwh_state_table_t *table);
void *wwh_state_table_find(const wwh_state_table_t *table, const char *id);
/* The first member of item must be its id. */
void wwh_state_table_add(wwh_state_table_t *table, void *item);
void wwh_state_table_end(wwh_state_table_t *table, void *item);
int32_t wwh_state_table_running_count(const wwh_state_table_t *table);
GPtrArray *wwh_state_table_items(const wwh_state_table_t *table);

/* Sorted sets of ids. */
bool wwh_ids_contain(const GPtrArray *ids, const char *id);
void wwh_ids_insert(GPtrArray *ids, const char *id);

/* Frees or allocates an item described by fields. */
void wwh_state_item_free(const wwh_codec_fields_t *fields, void *item);
void *wwh_state_item_new(const wwh_codec_fields_t *fields);

/* Each applies records of its own kinds; other kinds must not be passed. */
wwh_verdict_t wwh_apply_config(wwh_state_t *state, int64_t offset,
			       const wwh_record_t *record,
			       wwh_verdict_detail_t *detail);
wwh_verdict_t wwh_apply_lease(wwh_state_t *state, int64_t offset,
			      const wwh_record_t *record,
			      wwh_verdict_detail_t *detail);
wwh_verdict_t wwh_apply_grant(wwh_state_t *state, int64_t offset,
			      const wwh_record_t *record,
			      wwh_verdict_detail_t *detail);
wwh_verdict_t wwh_apply_worker(wwh_state_t *state, int64_t offset,
			       const wwh_record_t *record,
			       wwh_verdict_detail_t *detail);
wwh_verdict_t wwh_apply_move(wwh_state_t *state, int64_t offset,
			     const wwh_record_t *record,
			     wwh_verdict_detail_t *detail);
wwh_verdict_t wwh_apply_wave(wwh_state_t *state, int64_t offset,
			     const wwh_record_t *record,
			     wwh_verdict_detail_t *detail);
wwh_verdict_t wwh_apply_rehearsal(wwh_state_t *state, int64_t offset,
				  const wwh_record_t *record,
				  wwh_verdict_detail_t *detail);
wwh_verdict_t wwh_apply_job(wwh_state_t *state, int64_t offset,
			    const wwh_record_t *record,
			    wwh_verdict_detail_t *detail);

wwh_verdict_t wwh_apply_seat(wwh_state_t *state, int64_t offset,
			     const wwh_record_t *record,
			     wwh_verdict_detail_t *detail);

/* Whether a decoded table is consistent, as after any sequence of records. */
bool wwh_state_seats_valid(const wwh_seat_table_t *seats);

/*
 * Returns WWH_VERDICT_ACCEPTED if record's author holds shard under fence,
 * otherwise WWH_VERDICT_NOT_HOLDER.
 */
wwh_verdict_t wwh_state_check_fence(const wwh_state_t *state, int32_t shard,
				    const wwh_record_t *record, int64_t fence,
				    wwh_verdict_detail_t *detail);

wwh_verdict_t wwh_state_unknown_worker(const wwh_state_t *state, const char *id,
				       wwh_verdict_detail_t *detail);

#endif
