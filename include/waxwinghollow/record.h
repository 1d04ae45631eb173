#ifndef WAXWINGHOLLOW_RECORD_H
#define WAXWINGHOLLOW_RECORD_H

/*
 * NAME
 *	record - typed records of the log and their msgpack codec
 *
 * USE
 *	Every append to the log is one wwh_record_t. A record is a request:
 *	state.h and intent.h decide at its offset whether it takes effect.
 *	wwh_record_decode checks each type, bound and length, so a reducer
 *	never sees a malformed record. A record that fails to decode is
 *	WWH_STATUS_BAD_INPUT; it is without effect in every process alike.
 *
 *	The encoding is an array: format, kind, author, body fields in order.
 *	A kind keeps its number for good and its fields their order; a changed
 *	body gets a new kind. All processes must run a release that knows a
 *	new kind before the first record of that kind is appended, or they
 *	would decide differently whether a record takes effect.
 *
 *	author is "operator:NAME" for an operator, else the id of one
 *	incarnation of an entry process (a restarted process is another
 *	author, so it can't continue a lease or an intent that it no longer
 *	knows).
 *
 * ORDER OF CALLS
 *	Fill in a wwh_record_t (strings from GLib's allocator), then
 *	wwh_record_encode. Or wwh_record_decode. Then wwh_record_clear.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/error_kind.h"
#include "waxwinghollow/seat.h"
#include "waxwinghollow/status.h"

#define WWH_RECORD_FORMAT 1
#define WWH_RECORD_BYTES_MAX (4 * 1024 * 1024)
#define WWH_ID_BYTES_MAX 128 /* authors and ids of anything */
#define WWH_KEY_BYTES_MAX 256 /* an idempotency key */
#define WWH_KEPT_BODY_BYTES_MAX 2048 /* an answer kept for repeats */
#define WWH_CONTENT_TYPE_BYTES_MAX 128
#define WWH_BATCH_ITEMS_MAX 4096
#define WWH_WAVE_WORKERS_MAX 8192
#define WWH_SNAPSHOT_PART_BYTES_MAX (256 * 1024)
#define WWH_SNAPSHOT_PARTS_MAX 1024
#define WWH_FINGERPRINT_BYTES 16
#define WWH_NO_OFFSET (-1)

typedef enum {
	WWH_STREAM_CONTROL = 0,
	WWH_STREAM_INTENTS,
	WWH_STREAM_COUNT
} wwh_stream_t;

/* Names of wwh_stream_t, in the same order; also their names on the log. */
extern const char *const wwh_stream_names[WWH_STREAM_COUNT];

/* New kinds are added at the end: the number is stored in the log. */
typedef enum {
	WWH_RECORD_CONFIG = 0,
	WWH_RECORD_LEASE_TAKE,
	WWH_RECORD_LEASE_RENEW,
	WWH_RECORD_LEASE_RELEASE,
	WWH_RECORD_GRANT_REQUEST,
	WWH_RECORD_GRANT_END,
	WWH_RECORD_WORKER_FAILED,
	WWH_RECORD_WORKER_RETURNED,
	WWH_RECORD_WORKER_QUARANTINE,
	WWH_RECORD_WORKER_UNQUARANTINE,
	WWH_RECORD_MOVE_START,
	WWH_RECORD_MOVE_FINISH,
	WWH_RECORD_MOVE_CANCEL,
	WWH_RECORD_WAVE_START,
	WWH_RECORD_WAVE_PAUSE,
	WWH_RECORD_WAVE_RESUME,
	WWH_RECORD_WAVE_ABORT,
	WWH_RECORD_WAVE_FINISH,
	WWH_RECORD_REHEARSAL_START,
	WWH_RECORD_REHEARSAL_END,
	WWH_RECORD_JOB_SUBMIT,
	WWH_RECORD_JOB_CANCEL,
	WWH_RECORD_JOB_PLACE,
	WWH_RECORD_JOB_CHECKPOINTED,
	WWH_RECORD_JOB_DONE,
	WWH_RECORD_JOB_FAILED,
	WWH_RECORD_SEAT, /* see seat.h */
	WWH_RECORD_SNAPSHOT, /* of either stream */
	WWH_RECORD_INTENTS, /* a batch; this and the next three: intents */
	WWH_RECORD_RESULTS, /* a batch */
	WWH_RECORD_ABANDON,
	WWH_RECORD_EXPIRE_KEYS,
	WWH_RECORD_KIND_COUNT
} wwh_record_kind_t;

/* Names of wwh_record_kind_t, in the same order. */
extern const char *const wwh_record_kind_names[WWH_RECORD_KIND_COUNT];

typedef enum {
	WWH_GRANT_WAVE = 0,
	WWH_GRANT_MOVE,
	WWH_GRANT_REHEARSAL,
	WWH_GRANT_REPAIR,
	WWH_GRANT_REASON_COUNT
} wwh_grant_reason_t;

/* Names of wwh_grant_reason_t, in the same order. */
extern const char *const wwh_grant_reason_names[WWH_GRANT_REASON_COUNT];

typedef enum {
	WWH_GRANT_RETURNED = 0, /* the worker serves its pool again */
	WWH_GRANT_FAILED, /* it didn't return: counts as failed */
	WWH_GRANT_MOVED, /* it joined another pool; set by MOVE_FINISH */
	WWH_GRANT_NEVER_LEFT, /* it was never taken out of its pool */
	WWH_GRANT_OUTCOME_COUNT
} wwh_grant_outcome_t;

/* Names of wwh_grant_outcome_t, in the same order. */
extern const char *const wwh_grant_outcome_names[WWH_GRANT_OUTCOME_COUNT];

typedef struct {
	int64_t base_version; /* the version the change was made from */
	GBytes *change; /* wwh_config_change_encode */
} wwh_record_config_t;

/*
 * One lease record. In LEASE_TAKE, offset is that of the last take or renewal
 * that the challenger has read (WWH_NO_OFFSET: the lease was free); in a
 * renewal and a release, that of the take by which the holder got the lease.
 */
typedef struct {
	int32_t shard;
	int64_t offset;
	int32_t duration_ms; /* for operators and the challenger's wait */
} wwh_record_lease_t;

typedef struct {
	char *worker;
	wwh_grant_reason_t reason;
	char *owner; /* id of the wave or rehearsal; else free text */
	int64_t fence; /* offset of the LEASE_TAKE it acts under */
} wwh_record_grant_request_t;

typedef struct {
	char *worker;
	int64_t grant; /* offset of the grant request */
	wwh_grant_outcome_t outcome;
	int64_t fence;
} wwh_record_grant_end_t;

/* Body of WORKER_FAILED, _RETURNED, _QUARANTINE and _UNQUARANTINE. */
typedef struct {
	char *worker;
	int64_t seen; /* returned: offset of the failure that is over */
	int64_t fence; /* returned: the shard's lease; else WWH_NO_OFFSET */
	char *reason; /* for operators; may be "" */
} wwh_record_worker_t;

typedef struct {
	char *worker;
	char *to_pool; /* start only; else "" */
	int64_t grant; /* offset of its grant (reason move) */
	int64_t fence;
} wwh_record_move_t;

typedef struct {
	char *wave;
	char *pool; /* start only; else "" */
	GPtrArray *workers; /* of char *; start only; empty: all of pool */
	int64_t fence; /* finish only; else WWH_NO_OFFSET */
	char *reason; /* for operators; may be "" */
} wwh_record_wave_t;

typedef struct {
	char *rehearsal;
	int32_t domain; /* wwh_domain_t; start only */
	char *domain_id; /* start only; else "" */
} wwh_record_rehearsal_t;

typedef struct {
	char *job;
	char *pool;
	char *team;
	int32_t cores;
	int64_t memory_mb;
	int32_t accelerators;
	bool urgent;
	bool idempotent; /* may run again although it may have run */
} wwh_record_job_submit_t;

/* Body of JOB_CANCEL, _PLACE, _CHECKPOINTED, _DONE and _FAILED. */
typedef struct {
	char *job;
	char *worker; /* place only; else "" */
	int64_t fence; /* place: the shard's lease; else offset of the place */
	wwh_run_class_t run; /* failed only: whether it ran */
} wwh_record_job_t;

/* One part of a snapshot, see snapshot.h. */
typedef struct {
	int64_t upto; /* state after all records below this offset */
	uint64_t hash; /* XXH3 of the complete snapshot */
	int64_t total_bytes; /* of the complete snapshot */
	int32_t part;
	int32_t parts;
	GBytes *data;
} wwh_record_snapshot_t;

typedef struct {
	char *service;
	char *key;
	uint8_t fingerprint[WWH_FINGERPRINT_BYTES]; /* XXH3 of the request */
	int64_t sequence; /* unique within the author */
} wwh_intent_item_t;

typedef enum {
	WWH_RESULT_ANSWERED = 0,
	WWH_RESULT_NOT_RUN, /* certain; a new intent may retry it */
	WWH_RESULT_UNKNOWN,
	WWH_RESULT_COUNT
} wwh_result_t;

/* Names of wwh_result_t, in the same order. */
extern const char *const wwh_result_names[WWH_RESULT_COUNT];

typedef struct {
	char *service;
	char *key;
	int64_t sequence; /* of the author's intent */
	wwh_result_t result;
	int32_t http_status; /* answered only; else 0 */
	bool body_kept; /* false: too large; a repeat gets no body */
	char *content_type; /* may be "" */
	GBytes *body; /* empty when not kept */
} wwh_result_item_t;

typedef struct {
	GPtrArray *items; /* of wwh_intent_item_t * */
} wwh_record_intents_t;

typedef struct {
	GPtrArray *items; /* of wwh_result_item_t * */
} wwh_record_results_t;

/* The author reports that process has ended for good. */
typedef struct {
	char *process;
} wwh_record_abandon_t;

typedef struct {
	int64_t keys_upto; /* intents below this offset expire */
	int64_t tombstones_upto; /* tombstones below this offset are deleted */
} wwh_record_expire_keys_t;

typedef struct {
	wwh_record_kind_t kind;
	char *author;
	union {
		wwh_record_config_t config;
		wwh_record_lease_t lease; /* LEASE_* */
		wwh_record_grant_request_t grant_request;
		wwh_record_grant_end_t grant_end;
		wwh_record_worker_t worker; /* WORKER_* */
		wwh_record_move_t move; /* MOVE_* */
		wwh_record_wave_t wave; /* WAVE_* */
		wwh_record_rehearsal_t rehearsal; /* REHEARSAL_* */
		wwh_record_job_submit_t job_submit;
		wwh_record_job_t job; /* JOB_* but submit */
		wwh_seat_record_t seat;
		wwh_record_snapshot_t snapshot;
		wwh_record_intents_t intents;
		wwh_record_results_t results;
		wwh_record_abandon_t abandon;
		wwh_record_expire_keys_t expire_keys;
	} body;
} wwh_record_t;

/* Whether records of this kind are allowed in stream. */
bool wwh_record_kind_in_stream(wwh_record_kind_t kind, wwh_stream_t stream);

/*
 * Sets record to an empty one of kind: author copied, strings "", lists
 * empty, numbers their minimum (offsets WWH_NO_OFFSET).
 */
void wwh_record_init(wwh_record_t *record, wwh_record_kind_t kind,
		     const char *author);

/* Replaces a string field of a record by a copy of text. */
void wwh_record_set(char **field, const char *text);

wwh_intent_item_t *wwh_intent_item_new(const char *service, const char *key);
wwh_result_item_t *wwh_result_item_new(const char *service, const char *key);

/* Returns NULL and sets message when a field is out of bounds. */
GBytes *wwh_record_encode(const wwh_record_t *record, wwh_message_t *message);

/*
 * Returns WWH_STATUS_BAD_INPUT and sets message when data is not exactly one
 * record; record is then cleared.
 */
wwh_status_t wwh_record_decode(const uint8_t *data, size_t size,
			       wwh_record_t *record, wwh_message_t *message);

/* Frees the members of record, not record itself. May be called twice. */
void wwh_record_clear(wwh_record_t *record);

#endif
