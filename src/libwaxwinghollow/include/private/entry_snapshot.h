#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_SNAPSHOT_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_SNAPSHOT_H

/*
 * Snapshots of one log stream in one process. Every process makes them at the
 * agreed offsets; the first process to append one publishes it, and the others
 * compare it with theirs. A process whose next records have been trimmed from
 * the log restores its state from a snapshot.
 */

#include "private/entry_internal.h"
#include "waxwinghollow/log_client.h"

typedef struct wwh_entry_snapshot wwh_entry_snapshot_t;

wwh_entry_snapshot_t *wwh_entry_snapshot_new(wwh_entry_t *entry,
					     wwh_stream_t stream);
void wwh_entry_snapshot_delete(wwh_entry_snapshot_t *snapshot);

/* Called before and after each record is applied, with state_lock held. */
void wwh_entry_snapshot_before_apply(wwh_entry_snapshot_t *snapshot,
				     int64_t offset);
void wwh_entry_snapshot_after_apply(wwh_entry_snapshot_t *snapshot,
				    const wwh_record_t *record);

/*
 * Returns the encoded records to be appended now, or NULL. Each process delays
 * its snapshot by a random time, and doesn't append it if another process has
 * done so meanwhile.
 */
GPtrArray *wwh_entry_snapshot_due_records(wwh_entry_snapshot_t *snapshot,
					  int64_t now_ms);

/* Records before offset first have been trimmed from the log. */
void wwh_entry_snapshot_set_first_offset(wwh_entry_snapshot_t *snapshot,
					 int64_t first);

/*
 * Reads one record of a trimmed stream; restores the state from a snapshot once
 * all of its parts have been read.
 */
void wwh_entry_snapshot_scan(wwh_entry_snapshot_t *snapshot,
			     const wwh_log_entry_t *log_entry,
			     wwh_log_client_t *client);

#endif
