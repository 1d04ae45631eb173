#ifndef WAXWINGHOLLOW_LOG_CORE_H
#define WAXWINGHOLLOW_LOG_CORE_H

/*
 * NAME
 *	log_core - decisions of a log client for one stream, without network
 *
 * USE
 *	Handles these failures: the answer to an append is lost after the
 *	effect; an append takes effect long after its sender's deadline; the log
 *	is down or slow for hours; records that a reader needs are trimmed.
 *	Without it an operator's change or an intent could be applied twice, or
 *	be reported as without effect and be applied later.
 *
 *	Expiry by offset. The first eight bytes of an append id are its base:
 *	the lowest offset that the append could get when it was first sent.
 *	Every reader drops, as a part of the replay, a record at an offset
 *	below its base or WWH_LOG_WINDOW or more above it, and the second and
 *	later records with an id that it has read in the window. All copies of
 *	an append that aren't void lie in one window, so each reader detects
 *	the copies, whatever the delay, without using a clock. Once a
 *	reader has passed base + WWH_LOG_WINDOW without the id, the append
 *	will never have an effect: UNAVAILABLE. Before that, an append with a
 *	lost answer that isn't found is UNKNOWN.
 *
 *	WWH_LOG_WINDOW is 4096 offsets: at 500 appends a second in total it
 *	lasts 8 s for a sender with an outdated end of the log, longer than
 *	two attempts with their timeouts; the ids take 64 KB per stream.
 *
 *	A reader that starts from a snapshot reads the window before the
 *	snapshot first (WARM_UP). Where that is trimmed, a record whose base
 *	is older than what could be read may be a copy of a trimmed one: it is
 *	AMBIGUOUS and the replay waits for a newer snapshot, as for a trim.
 *
 *	Retries: an append is sent again with the same id, after a backoff
 *	with full jitter, while its callers wait. All streams share one
 *	budget: retries are a tenth of the first sends plus 2 a second, so a
 *	log that fails under load doesn't receive a multiple of that load. After
 *	failures in a row the whole stream pauses, up to backoff_cap_ms, so an
 *	hour's outage costs at most a few attempts a second.
 *
 *	Waiting appends are bounded in count and bytes; beyond that submit
 *	returns WWH_STATUS_LIMIT at once; the append has no effect.
 *
 * ORDER OF CALLS
 *	wwh_log_core_new; then, with one lock held: submit, abort_all, tick
 *	at any time; next_attempt and attempt_done alternate; read_begin,
 *	handle_record any number of times and read_done in this order;
 *	restore, at the start or after a read_done that returned other than
 *	WWH_LOG_REPLAYING;
 *	wwh_log_core_delete. pop_settled after any of them.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/platform.h"
#include "waxwinghollow/status.h"

#define WWH_LOG_WINDOW 4096

/* How the replay treats one record that was read. */
typedef enum {
	WWH_LOG_DELIVER = 0,
	WWH_LOG_WARM_UP, /* before the snapshot: only its id is noted */
	WWH_LOG_DUPLICATE, /* a copy of a record already read */
	WWH_LOG_VOID, /* outside of its window: never has an effect */
	WWH_LOG_SCAN, /* not applied; searched for a snapshot */
	WWH_LOG_AMBIGUOUS, /* may be a copy of a trimmed record */
	WWH_LOG_STALE, /* below the cursor or of an outdated generation */
	WWH_LOG_VERDICT_COUNT
} wwh_log_verdict_t;

/* Names of wwh_log_verdict_t, in the same order. */
extern const char *const wwh_log_verdict_names[WWH_LOG_VERDICT_COUNT];

typedef enum {
	WWH_LOG_REPLAYING = 0,
	WWH_LOG_TRIMMED, /* needs a snapshot: call wwh_log_core_restore */
	WWH_LOG_STATE_COUNT
} wwh_log_state_t;

/* Names of wwh_log_state_t, in the same order. */
extern const char *const wwh_log_state_names[WWH_LOG_STATE_COUNT];

/*
 * Encodes the payloads of a batch as one record. It must return the same bytes
 * for the same payloads.
 */
typedef GBytes *(*wwh_log_join_t)(GBytes *const *payloads, int32_t count,
				  void *client_data);

typedef struct {
	int32_t max_waiting; /* submitted and not settled */
	int64_t max_waiting_bytes;
	int32_t max_open; /* appends sent and not settled */
	int32_t batch_ms; /* time that a batch waits for more payloads */
	int32_t batch_bytes; /* a batch of this size is sent at once */
	int32_t batch_items; /* likewise; 1: one record per payload */
	wwh_log_join_t join; /* required when batch_items is above 1 */
	void *join_data;
	int32_t attempt_timeout_ms;
	int32_t settle_ms; /* time for the reader before a retry */
	int32_t backoff_base_ms;
	int32_t backoff_cap_ms;
	int32_t read_wait_ms; /* of a long poll */
	int32_t read_timeout_ms;
	int32_t read_backoff_cap_ms;
	int64_t start; /* first offset not in the caller's state */
	int32_t window; /* WWH_LOG_WINDOW in all processes; tests use less */
} wwh_log_core_options_t;

/* How a submitted payload ended. */
typedef struct {
	uint64_t ticket;
	wwh_status_t status; /* OK, UNAVAILABLE, UNKNOWN or BAD_INPUT */
	int64_t offset; /* of the record that takes effect, when OK */
	int32_t index; /* of the payload in its batch */
} wwh_log_settled_t;

/* One append to be sent now. data is valid until attempt_done. */
typedef struct {
	wwh_append_id_t id;
	const uint8_t *data;
	size_t size;
	int32_t timeout_ms;
} wwh_log_attempt_t;

/* One read to be made now. */
typedef struct {
	int64_t generation;
	int64_t from;
	int32_t wait_ms;
	int32_t timeout_ms;
} wwh_log_read_t;

typedef struct {
	int64_t attempts;
	int64_t attempt_bytes;
	int64_t retries;
	int64_t lost_answers;
	int64_t settled_by_reading;
	int64_t expired_unseen; /* without effect: the window has passed */
	int64_t refused; /* queue full */
	int64_t duplicates;
	int64_t voids;
	int64_t delivered;
	int64_t read_failures;
	int64_t trims;
	int64_t ambiguous;
	int64_t went_back; /* the log's next offset fell */
} wwh_log_stats_t;

typedef struct wwh_log_core wwh_log_core_t;

/* The retry budget that all streams of a process share; has its own lock. */
typedef struct wwh_log_budget wwh_log_budget_t;

wwh_log_budget_t *wwh_log_budget_new(int64_t now_ms);
void wwh_log_budget_delete(wwh_log_budget_t *budget);

void wwh_log_core_options_defaults(wwh_log_core_options_t *options);

/* budget and rand must outlive the core. */
wwh_log_core_t *wwh_log_core_new(const wwh_log_core_options_t *options,
				 wwh_log_budget_t *budget, GRand *rand);
void wwh_log_core_delete(wwh_log_core_t *core);

/* LIMIT: rejected without effect. OK: the ticket is settled exactly once. */
wwh_status_t wwh_log_core_submit(wwh_log_core_t *core, GBytes *payload,
				 int64_t deadline_ms, int64_t now_ms,
				 uint64_t *ticket);

/* Settles payloads past their deadline; INT64_MAX means no deadline. */
void wwh_log_core_tick(wwh_log_core_t *core, int64_t now_ms);

/* Settles all payloads now, as if their deadlines had passed. */
void wwh_log_core_abort_all(wwh_log_core_t *core);

/* Removes the oldest outcome; returns false when there is none. */
bool wwh_log_core_pop_settled(wwh_log_core_t *core, wwh_log_settled_t *settled);

/*
 * Returns false when there is nothing to send for *wait_ms; -1: until a payload
 * is submitted, an append is settled or a read reports the end of the log.
 */
bool wwh_log_core_next_attempt(wwh_log_core_t *core, int64_t now_ms,
			       wwh_log_attempt_t *attempt, int64_t *wait_ms);
void wwh_log_core_attempt_done(wwh_log_core_t *core, wwh_status_t status,
			       int64_t offset, int64_t now_ms);

/* Returns false when the next read must wait for *wait_ms. */
bool wwh_log_core_read_begin(wwh_log_core_t *core, int64_t now_ms,
			     wwh_log_read_t *read, int64_t *wait_ms);
wwh_log_verdict_t wwh_log_core_handle_record(wwh_log_core_t *core,
					     int64_t generation,
					     const wwh_log_entry_t *entry);
wwh_log_state_t wwh_log_core_read_done(wwh_log_core_t *core, int64_t generation,
				       wwh_status_t status, int64_t first,
				       int64_t next, int64_t now_ms);

/*
 * Continues the replay from a state that contains all records below upto.
 * Returns CONFLICT when that state is older than the replayed one.
 */
wwh_status_t wwh_log_core_restore(wwh_log_core_t *core, int64_t upto);

wwh_log_state_t wwh_log_core_state(const wwh_log_core_t *core);
int64_t wwh_log_core_cursor(const wwh_log_core_t *core);
/* Returns the last known next offset of the log; 0 before the first read. */
int64_t wwh_log_core_known_next(const wwh_log_core_t *core);
/* Whether the last read reached the end of the log. */
bool wwh_log_core_caught_up(const wwh_log_core_t *core);
int32_t wwh_log_core_waiting(const wwh_log_core_t *core);
const wwh_log_stats_t *wwh_log_core_stats(const wwh_log_core_t *core);

/* Returns the base in the id's first eight bytes. */
int64_t wwh_append_id_base(const wwh_append_id_t *id);

#endif
