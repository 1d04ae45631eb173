#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_SNAPSHOT_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_SNAPSHOT_H

/*
 * Snapshots of one stream in one process: made at the agreed offsets, put on
 * the log by whoever is first, compared with those of others, and taken up by
 * a process whose records are trimmed.
 */

#include "private/entry_internal.h"
#include "waxwinghollow/log_client.h"

typedef struct wwh_entry_snapshot wwh_entry_snapshot_t;

wwh_entry_snapshot_t *wwh_entry_snapshot_new(wwh_entry_t *entry,
					     wwh_stream_t stream);
void wwh_entry_snapshot_delete(wwh_entry_snapshot_t *snapshot);

/* Around each apply, with state_lock held. */
void wwh_entry_snapshot_before_apply(wwh_entry_snapshot_t *snapshot,
				     int64_t offset);
void wwh_entry_snapshot_after_apply(wwh_entry_snapshot_t *snapshot,
				    const wwh_record_t *record);

/*
 * Encoded records to be appended now, or NULL. Each process waits for a time
 * of its own first, and not at all once the snapshot was seen on the log.
 */
GPtrArray *wwh_entry_snapshot_due_records(wwh_entry_snapshot_t *snapshot,
					  int64_t now_ms);

/* Records below first are gone. */
void wwh_entry_snapshot_set_first_offset(wwh_entry_snapshot_t *snapshot,
					 int64_t first);

/* A record of a trimmed stream; takes the snapshot up when it is whole. */
void wwh_entry_snapshot_scan(wwh_entry_snapshot_t *snapshot,
			     const wwh_log_entry_t *log_entry,
			     wwh_log_client_t *client);

#endif
