#ifndef WAXWINGHOLLOW_SNAPSHOT_H
#define WAXWINGHOLLOW_SNAPSHOT_H

/*
 * NAME
 *	snapshot - the state of a stream as bytes, as records, and back
 *
 * USE
 *	The platform keeps records for a limited time. Before what is needed
 *	is dropped, a process appends the state itself to the stream, in parts.
 *	A process that starts takes up the newest whole snapshot and applies
 *	the records from its upto on; or it gets the same bytes from a peer.
 *
 *	The bytes are a function of the records below upto alone: every
 *	process makes the same ones, so racing snapshots are harmless and
 *	parts of two authors may be mixed. That needs processes to agree on
 *	where: at offsets that are multiples of a constant (the keeper). A
 *	process that has state never takes up a snapshot; it compares the hash
 *	with its own of the same upto. A mismatch means that two processes
 *	disagree on the state: the newest evidence of a fault in the reducer
 *	or of mixed releases. It is counted and shown, and nothing else
 *	happens: neither side can know that it is the right one.
 *
 *	Bytes begin with a format number; another one is refused. Decoding
 *	checks every bound and reference and that encoding the result gives
 *	the same bytes again.
 *
 * ORDER OF CALLS
 *	Maker: wwh_snapshot_generator_update_state (or _intents) before each apply;
 *	wwh_snapshot_records with what wwh_snapshot_generator_latest gives.
 *	Reader: wwh_snapshot_parts_add for each snapshot record until it
 *	returns bytes; wwh_snapshot_decode_state (or _intents).
 */

#include <glib.h>
#include <stdint.h>

#include "waxwinghollow/intent.h"
#include "waxwinghollow/record.h"
#include "waxwinghollow/state.h"
#include "waxwinghollow/status.h"

#define WWH_SNAPSHOT_FORMAT 1

/*
 * Offsets between two snapshots of a stream. Leases alone append 6.4 records
 * a second: 4,096 is some ten minutes, well under any retention, and the
 * encoding is spread over as many records.
 */
#define WWH_SNAPSHOT_INTERVAL_OFFSETS 4096

GBytes *wwh_snapshot_encode_state(const wwh_state_t *state);
GBytes *wwh_snapshot_encode_intents(const wwh_intents_t *intents);

/* WWH_STATUS_BAD_INPUT and a message when data is not a whole snapshot. */
wwh_status_t wwh_snapshot_decode_state(const uint8_t *data, size_t size,
				       wwh_state_t **state,
				       wwh_message_t *message);
wwh_status_t wwh_snapshot_decode_intents(const uint8_t *data, size_t size,
					 wwh_intents_t **intents,
					 wwh_message_t *message);

uint64_t wwh_snapshot_hash(GBytes *whole);

/* Encoded records (GBytes) of the parts of whole, in their order. */
GPtrArray *wwh_snapshot_records(GBytes *whole, int64_t upto,
				const char *author);

/* Collects parts; keeps those of a few snapshots only. */
typedef struct wwh_snapshot_parts wwh_snapshot_parts_t;

wwh_snapshot_parts_t *wwh_snapshot_parts_new(void);
void wwh_snapshot_parts_delete(wwh_snapshot_parts_t *parts);

/*
 * Adds one snapshot record. Returns the whole when this part completes it
 * and its hash is right, else NULL; the caller unrefs it.
 */
GBytes *wwh_snapshot_parts_add(wwh_snapshot_parts_t *parts,
			       const wwh_record_t *record);

/* Makes snapshots at the agreed offsets and remembers their hashes. */
typedef struct wwh_snapshot_generator wwh_snapshot_generator_t;

/* every: WWH_SNAPSHOT_INTERVAL_OFFSETS, less in tests. */
wwh_snapshot_generator_t *wwh_snapshot_generator_new(int64_t every);
void wwh_snapshot_generator_delete(wwh_snapshot_generator_t *keeper);

/*
 * Called before the record at offset is applied; keeps a snapshot when a
 * multiple of every lies between the last record and this one.
 */
void wwh_snapshot_generator_update_state(wwh_snapshot_generator_t *keeper,
					 const wwh_state_t *state,
					 int64_t offset);
void wwh_snapshot_generator_update_intents(wwh_snapshot_generator_t *keeper,
					   const wwh_intents_t *intents,
					   int64_t offset);

/* The last one kept and its upto; NULL when there is none. Not a new ref. */
GBytes *wwh_snapshot_generator_latest(const wwh_snapshot_generator_t *keeper,
				      int64_t *upto);

typedef enum {
	WWH_SNAPSHOT_MATCH = 0,
	WWH_SNAPSHOT_MISMATCH,
	WWH_SNAPSHOT_NOT_COMPARED, /* no hash of that upto is kept */
	WWH_SNAPSHOT_COMPARISON_COUNT
} wwh_snapshot_comparison_t;

/* Names of wwh_snapshot_comparison_t, in the same order. */
extern const char
	*const wwh_snapshot_comparison_names[WWH_SNAPSHOT_COMPARISON_COUNT];

wwh_snapshot_comparison_t
wwh_snapshot_generator_compare(const wwh_snapshot_generator_t *keeper,
			       const wwh_record_t *record);

#endif
