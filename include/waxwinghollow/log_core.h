#ifndef WAXWINGHOLLOW_LOG_CORE_H
#define WAXWINGHOLLOW_LOG_CORE_H

/*
 * NAME
 *	log_core - decisions of a log client for one stream, without network
 *
 * USE
 *	Answers these failures: the answer to an append is lost after the
 *	effect; an append takes effect long after its sender gave up; the log
 *	is down or slow for hours; records that a reader needs are trimmed.
 *	Without it an operator's change or an intent is applied twice, or is
 *	reported as without effect and then turns up.
 *
 *	Expiry by offset. The first eight bytes of an append id are its base:
 *	the lowest offset that the append could get when it was first sent.
 *	Every reader drops, as a part of the replay, a record at an offset
 *	below its base or WWH_LOG_WINDOW or more above it, and the second and
 *	later records with an id that it has seen in the window. All copies of
 *	an append that aren't void lie in one window, so each reader sees that
 *	they are copies, whatever the delay, and no clock is asked. Once a
 *	reader has passed base + WWH_LOG_WINDOW without the id, the append
 *	will never have an effect: UNAVAILABLE. Before that, an append with a
 *	lost answer that isn't found is UNKNOWN.
 *
 *	WWH_LOG_WINDOW is 4096 offsets: at 500 appends a second for everybody
 *	that is 8 s for a sender whose knowledge of the log is old, longer
 *	than two attempts with their timeouts; the ids take 64 KB a stream.
 *
 *	A reader that starts from a snapshot reads the window before the
 *	snapshot first (WARM_UP). Where that is trimmed, a record whose base
 *	is older than what could be read may be a copy of a trimmed one: it is
 *	AMBIGUOUS and the replay waits for a newer snapshot, as for a trim.
 *
 *	Retries: an append is sent again with the same id, after a backoff
 *	with full jitter, while its callers wait. All streams share one
 *	budget: retries are a tenth of the first sends plus 2 a second, so a
 *	log that fails under load isn't given a multiple of that load. After
 *	failures in a row the whole stream pauses, up to backoff_cap_ms, so an
 *	hour's outage costs at most a few attempts a second.
 *
 *	Waiting appends are bounded in count and bytes; beyond that submit
 *	returns WWH_STATUS_LIMIT at once, surely without effect.
 *
 * ORDER OF CALLS
 *	wwh_log_core_new; then, with one lock held: submit, give_up, tick at
 *	any time; next_attempt and attempt_done in turns; read_begin, record
 *	any number of times and read_done in turns; restore, after a read_done
 *	that returned other than WWH_LOG_REPLAYING or at the start;
 *	wwh_log_core_delete. take_settled after any of them.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/platform.h"
#include "waxwinghollow/status.h"

#define WWH_LOG_WINDOW 4096

/* What replay makes of one record that was read. */
typedef enum {
	WWH_LOG_DELIVER = 0,
	WWH_LOG_WARM_UP, /* before the snapshot: only its id is noted */
	WWH_LOG_DUPLICATE, /* a copy of one that was seen */
	WWH_LOG_VOID, /* outside of its window: never has an effect */
	WWH_LOG_SCAN, /* the replay waits for a snapshot; look for one */
	WWH_LOG_AMBIGUOUS, /* may be a copy of a trimmed one */
	WWH_LOG_STALE, /* of a read that began before a restore */
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
 * Makes one record of the payloads that were gathered into a batch; it must
 * give the same bytes for the same payloads.
 */
typedef GBytes *(*wwh_log_join_t)(GBytes *const *payloads, int32_t count,
				  void *client_data);

typedef struct {
	int32_t max_waiting; /* submitted and not settled */
	int64_t max_waiting_bytes;
	int32_t max_open; /* appends with an outcome to be settled */
	int32_t batch_ms; /* a batch waits this long for more */
	int32_t batch_bytes; /* or until it has this many */
	int32_t batch_items; /* or these; 1: one record a payload */
	wwh_log_join_t join; /* needed when batch_items is above 1 */
	void *join_data;
	int32_t attempt_timeout_ms;
	int32_t settle_ms; /* time for the reader before a retry */
	int32_t backoff_base_ms;
	int32_t backoff_cap_ms;
	int32_t read_wait_ms; /* of a long poll */
	int32_t read_timeout_ms;
	int32_t read_backoff_cap_ms;
	int64_t start; /* replay begins here; state before it is there */
	int32_t window; /* WWH_LOG_WINDOW, the same in all; tests set less */
} wwh_log_core_options_t;

/* How a submitted payload ended. */
typedef struct {
	uint64_t ticket;
	wwh_status_t status; /* OK, UNAVAILABLE, UNKNOWN or BAD_INPUT */
	int64_t offset; /* of the record that takes effect, when OK */
	int32_t index; /* of the payload in its batch */
} wwh_log_settled_t;

/* One append to be sent now. data lives until attempt_done. */
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
	int64_t expired_unseen; /* surely without effect, by the window */
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

/* LIMIT: refused, without effect. OK: the ticket will be settled once. */
wwh_status_t wwh_log_core_submit(wwh_log_core_t *core, GBytes *payload,
				 int64_t deadline_ms, int64_t now_ms,
				 uint64_t *ticket);

/* Settles what has passed its deadline; deadline INT64_MAX has none. */
void wwh_log_core_tick(wwh_log_core_t *core, int64_t now_ms);

/* Settles everything now, as if all deadlines had passed. */
void wwh_log_core_abort_all(wwh_log_core_t *core);

/* The next outcome, in the order in which they became known. */
bool wwh_log_core_pop_settled(wwh_log_core_t *core, wwh_log_settled_t *settled);

/* false: nothing to send for *wait_ms (-1: until something is submitted). */
bool wwh_log_core_next_attempt(wwh_log_core_t *core, int64_t now_ms,
			       wwh_log_attempt_t *attempt, int64_t *wait_ms);
void wwh_log_core_attempt_done(wwh_log_core_t *core, wwh_status_t status,
			       int64_t offset, int64_t now_ms);

/* false: wait for *wait_ms first. */
bool wwh_log_core_read_begin(wwh_log_core_t *core, int64_t now_ms,
			     wwh_log_read_t *read, int64_t *wait_ms);
wwh_log_verdict_t wwh_log_core_handle_record(wwh_log_core_t *core,
					     int64_t generation,
					     const wwh_log_entry_t *entry);
wwh_log_state_t wwh_log_core_read_done(wwh_log_core_t *core, int64_t generation,
				       wwh_status_t status, int64_t first,
				       int64_t next, int64_t now_ms);

/*
 * Goes on from a state that holds all records below upto. CONFLICT when that
 * is older than what has been replayed.
 */
wwh_status_t wwh_log_core_restore(wwh_log_core_t *core, int64_t upto);

wwh_log_state_t wwh_log_core_state(const wwh_log_core_t *core);
int64_t wwh_log_core_cursor(const wwh_log_core_t *core);
/* Next offset of the log as far as known; 0: nothing was read yet. */
int64_t wwh_log_core_known_next(const wwh_log_core_t *core);
/* The replay has reached the end of the log as of the last read. */
bool wwh_log_core_caught_up(const wwh_log_core_t *core);
int32_t wwh_log_core_waiting(const wwh_log_core_t *core);
const wwh_log_stats_t *wwh_log_core_stats(const wwh_log_core_t *core);

/* The base that an id carries. */
int64_t wwh_append_id_base(const wwh_append_id_t *id);

#endif
