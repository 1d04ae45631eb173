#ifndef WAXWINGHOLLOW_INTENT_H
#define WAXWINGHOLLOW_INTENT_H

/*
 * NAME
 *	intent - the reducer of stream intents: at most once for keyed requests
 *
 * USE
 *	Before the first byte of a request that is not idempotent leaves
 *	towards a minion, its intent (service, key, fingerprint, sequence) is
 *	appended; the first intent for a key in log order wins. The process
 *	sends only when wwh_intents_may_send says so after it read its own
 *	intent back. When the request ended it appends the result.
 *
 *	What goes wrong without it: a caller repeats a charge through another
 *	entry process while the first is on its way, and it runs twice; or it
 *	is told "not run" by a process that knows nothing of the first.
 *
 *	Who may run a request: only the author of the key's intent, once. A
 *	key gets a second intent only after that author recorded "not-run".
 *	An intent that was read back may be sent late by a process that was
 *	paused, so nobody else may take a key over, whatever any clock says.
 *	One bound is the sender's: it must not send once the request's own
 *	deadline is over by its CLOCK_BOOTTIME, and deadlines must be shorter
 *	than the window of keys. Else a process that was paused for longer
 *	than both windows below could send an intent whose key was forgotten
 *	and used anew.
 *
 *	A process that is gone for good. Any process that sees the platform
 *	list it as gone may append WWH_RECORD_ABANDON for its incarnation:
 *	keys in progress become unknown. A wrong abandon runs nothing twice:
 *	it turns "in progress" into "unknown" and stops the process, whose
 *	later intents are refused (WWH_INTENT_ABANDONED) and for which
 *	wwh_intents_may_send is false; it has to restart as a new
 *	incarnation. Residual risk: a process paused between that check and
 *	its send still sends when it wakes. The request then runs late, but at
 *	most once, because the key stays with it: nobody else may run it. The
 *	answer it then records turns "unknown" into "answered".
 *
 *	Windows, without a clock in the reducer. WWH_RECORD_EXPIRE_KEYS comes
 *	from a process whose own clock says that all records below an offset
 *	are older than the window of keys (rules: key_window_s). Keys below
 *	keys_upto leave a tombstone, a hash of 16 bytes: a repeat gets
 *	"expired" and is not run. Tombstones below tombstones_upto are
 *	dropped; that offset must not exceed the keys_upto of an earlier
 *	record, so that no single wrong clock drops both. After that the key
 *	is forgotten and a repeat would run: callers must not repeat a key
 *	later than both windows. Offsets only grow; a late record of a paused
 *	process has no effect. A hash that collides refuses a request that
 *	could have run, never the other way.
 *
 *	Bounded memory. With keys_max keys the oldest becomes a tombstone
 *	early; with tombstones_max tombstones new intents are refused as full
 *	(not run, Retry-After): refusing is safe, forgetting is not. Beyond
 *	bodies_max_bytes the oldest kept answers lose their body ("answer not
 *	kept"). The limits decide verdicts, so they are part of the state's
 *	bytes and must be alike in all processes: use the defaults.
 *
 * ORDER OF CALLS
 *	wwh_intents_new or wwh_snapshot_decode_intents; wwh_intents_apply or
 *	wwh_intents_apply_entry for each record in the order of offsets;
 *	lookups in between; wwh_intents_delete. Not thread safe. Pointers from
 *	accessors hold until the next apply.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/record.h"
#include "waxwinghollow/state.h"
#include "waxwinghollow/status.h"

typedef struct {
	int32_t keys_max;
	int32_t tombstones_max;
	int64_t bodies_max_bytes;
	int32_t abandoned_max; /* incarnations that are remembered */
} wwh_intent_limits_t;

void wwh_intent_limits_defaults(wwh_intent_limits_t *limits);

typedef enum {
	WWH_INTENT_ACCEPTED = 0, /* the author may send, see may_send */
	WWH_INTENT_REPEATED, /* the same intent was appended twice */
	WWH_INTENT_IN_PROGRESS,
	WWH_INTENT_ANSWERED,
	WWH_INTENT_UNKNOWN,
	WWH_INTENT_OTHER_REQUEST, /* same key, another fingerprint */
	WWH_INTENT_EXPIRED,
	WWH_INTENT_ABANDONED, /* the author was declared gone */
	WWH_INTENT_FULL,
	WWH_INTENT_RESULT_ACCEPTED,
	WWH_INTENT_RESULT_ALREADY, /* answered or not-run is final */
	WWH_INTENT_RESULT_NO_INTENT, /* not the author's, or expired */
	WWH_INTENT_VERDICT_COUNT
} wwh_intent_verdict_t;

/* Names of wwh_intent_verdict_t, in the same order. */
extern const char *const wwh_intent_verdict_names[WWH_INTENT_VERDICT_COUNT];

/* Called for each item of a batch, in its order. */
typedef void (*wwh_intent_visit_t)(const char *author, const char *service,
				   const char *key, int64_t sequence,
				   wwh_intent_verdict_t verdict,
				   void *client_data);

typedef struct wwh_intents wwh_intents_t;

/* limits NULL: the defaults. */
wwh_intents_t *wwh_intents_new(const wwh_intent_limits_t *limits);
void wwh_intents_delete(wwh_intents_t *intents);

/*
 * The verdict of the record as a whole; items of a batch have their own,
 * told to visit, which may be NULL. detail may be NULL.
 */
wwh_verdict_t wwh_intents_apply(wwh_intents_t *intents, int64_t offset,
				const wwh_record_t *record,
				wwh_intent_visit_t visit, void *client_data,
				wwh_verdict_detail_t *detail);

/* Decodes and applies; see wwh_state_apply_entry. */
wwh_verdict_t wwh_intents_apply_entry(wwh_intents_t *intents, int64_t offset,
				      const uint8_t *data, size_t size,
				      wwh_record_t *record,
				      wwh_intent_visit_t visit,
				      void *client_data,
				      wwh_verdict_detail_t *detail);

/* Asserts every invariant by recounting; O(state). */
void wwh_intents_check(const wwh_intents_t *intents);

int64_t wwh_intents_last_offset(const wwh_intents_t *intents); /* -1: none */

/* How often a record, an item got this verdict; not in the state's bytes. */
int64_t wwh_intents_verdict_count(const wwh_intents_t *intents,
				  wwh_verdict_t verdict);
int64_t wwh_intents_item_count(const wwh_intents_t *intents,
			       wwh_intent_verdict_t verdict);

typedef enum {
	WWH_KEY_NONE = 0, /* a new intent would be accepted */
	WWH_KEY_IN_PROGRESS,
	WWH_KEY_ANSWERED,
	WWH_KEY_NOT_RUN, /* a new intent would be accepted */
	WWH_KEY_UNKNOWN,
	WWH_KEY_OTHER_REQUEST,
	WWH_KEY_EXPIRED,
	WWH_KEY_STATE_COUNT
} wwh_key_state_t;

/* Names of wwh_key_state_t, in the same order. */
extern const char *const wwh_key_state_names[WWH_KEY_STATE_COUNT];

typedef struct {
	wwh_key_state_t state;
	int64_t offset; /* of the intent, or -1 */
	int64_t sequence; /* of the intent */
	const char *process; /* its author, or "" */
	int32_t http_status; /* answered */
	bool body_kept; /* false: it ran, its answer is gone */
	const char *content_type;
	GBytes *body; /* owned by the state; may be NULL */
} wwh_key_view_t;

/* fingerprint may be NULL: not compared. */
wwh_key_state_t wwh_intents_lookup_key(const wwh_intents_t *intents,
				       const char *service, const char *key,
				       const uint8_t *fingerprint,
				       wwh_key_view_t *view);

/*
 * Whether process may send the request of its intent now: the intent is in
 * progress, its own, and process was not abandoned.
 */
bool wwh_intents_may_send(const wwh_intents_t *intents, const char *service,
			  const char *key, const char *process,
			  int64_t sequence);

bool wwh_intents_is_abandoned(const wwh_intents_t *intents,
			      const char *process);

typedef struct {
	int64_t keys;
	int64_t in_progress;
	int64_t unknown;
	int64_t tombstones;
	int64_t body_bytes;
	int64_t keys_upto; /* the windows' ends */
	int64_t tombstones_upto;
	int64_t expired_early; /* keys beyond keys_max; a counter */
} wwh_intents_totals_t;

wwh_intents_totals_t wwh_intents_totals(const wwh_intents_t *intents);

/* XXH3 of a request's method, path and body. */
void wwh_intent_fingerprint(const char *method, const char *path,
			    const uint8_t *body, size_t size,
			    uint8_t fingerprint[WWH_FINGERPRINT_BYTES]);

#endif
