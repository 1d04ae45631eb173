#ifndef WAXWINGHOLLOW_SNAPSHOT_H
#define WAXWINGHOLLOW_SNAPSHOT_H

/*
 * NAME
 *	snapshot - encodes the state of a stream as bytes and as records, and
 *	restores it
 *
 * USE
 *	The platform retains records for a limited time. Before records that
 *	are needed are dropped, a process appends the state itself to the
 *	stream, in parts. A process that starts restores the newest complete
 *	snapshot and applies the records from its upto on; or it receives the
 *	same bytes from a peer.
 *
 *	The bytes depend on the records below upto alone: every process
 *	encodes the same bytes, so racing snapshots are harmless and parts of
 *	two authors may be combined. For this, processes make snapshots at the
 *	same offsets: multiples of a constant (the generator). A process that
 *	has state never restores a snapshot; it compares the snapshot's hash
 *	with its own for the same upto. A mismatch means that two processes
 *	disagree on the state, because of a fault in the reducer or of mixed
 *	releases. It is counted and reported, and has no other effect: neither
 *	process can know which state is right.
 *
 *	The bytes begin with a format number; other formats are rejected.
 *	Decoding checks every bound and reference, and that encoding the
 *	result yields the same bytes.
 *
 * ORDER OF CALLS
 *	Writer: wwh_snapshot_generator_update_state (or _intents) before each
 *	apply; wwh_snapshot_records with the result of
 *	wwh_snapshot_generator_latest.
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
 * a second, so 4,096 offsets take about ten minutes, well under any retention,
 * and the cost of encoding is amortized over as many records.
 */
#define WWH_SNAPSHOT_INTERVAL_OFFSETS 4096

GBytes *wwh_snapshot_encode_state(const wwh_state_t *state);
GBytes *wwh_snapshot_encode_intents(const wwh_intents_t *intents);

/*
 * Each returns WWH_STATUS_BAD_INPUT and a message if data is not a complete and
 * valid snapshot.
 */
wwh_status_t wwh_snapshot_decode_state(const uint8_t *data, size_t size,
				       wwh_state_t **state,
				       wwh_message_t *message);
wwh_status_t wwh_snapshot_decode_intents(const uint8_t *data, size_t size,
					 wwh_intents_t **intents,
					 wwh_message_t *message);

uint64_t wwh_snapshot_hash(GBytes *snapshot);

/* Returns the encoded records (GBytes) of the snapshot's parts, in order. */
GPtrArray *wwh_snapshot_records(GBytes *snapshot, int64_t upto,
				const char *author);

/* Collects the parts of a few snapshots at a time. */
typedef struct wwh_snapshot_parts wwh_snapshot_parts_t;

wwh_snapshot_parts_t *wwh_snapshot_parts_new(void);
void wwh_snapshot_parts_delete(wwh_snapshot_parts_t *parts);

/*
 * Adds one snapshot record. Returns the snapshot if this part completes it and
 * its hash is right, else NULL; the caller unrefs it.
 */
GBytes *wwh_snapshot_parts_add(wwh_snapshot_parts_t *parts,
			       const wwh_record_t *record);

/* Makes snapshots at multiples of an interval and stores their hashes. */
typedef struct wwh_snapshot_generator wwh_snapshot_generator_t;

/* interval is WWH_SNAPSHOT_INTERVAL_OFFSETS; tests use less. */
wwh_snapshot_generator_t *wwh_snapshot_generator_new(int64_t interval);
void wwh_snapshot_generator_delete(wwh_snapshot_generator_t *generator);

/*
 * Called before the record at offset is applied; makes a snapshot if a multiple
 * of the interval lies above the last record and not above offset.
 */
void wwh_snapshot_generator_update_state(wwh_snapshot_generator_t *generator,
					 const wwh_state_t *state,
					 int64_t offset);
void wwh_snapshot_generator_update_intents(wwh_snapshot_generator_t *generator,
					   const wwh_intents_t *intents,
					   int64_t offset);

/*
 * Returns the newest snapshot and its upto, or NULL if there is none. The
 * caller does not own a reference.
 */
GBytes *wwh_snapshot_generator_latest(const wwh_snapshot_generator_t *generator,
				      int64_t *upto);

typedef enum {
	WWH_SNAPSHOT_MATCH = 0,
	WWH_SNAPSHOT_MISMATCH,
	WWH_SNAPSHOT_NOT_COMPARED, /* no hash is stored for that upto */
	WWH_SNAPSHOT_COMPARISON_COUNT
} wwh_snapshot_comparison_t;

/* Names of wwh_snapshot_comparison_t, in the same order. */
extern const char
	*const wwh_snapshot_comparison_names[WWH_SNAPSHOT_COMPARISON_COUNT];

wwh_snapshot_comparison_t
wwh_snapshot_generator_compare(const wwh_snapshot_generator_t *generator,
			       const wwh_record_t *record);

#endif
