#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_LOG_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_LOG_H

/*
 * The log as one entry process sees it: it replays both streams into the two
 * states, and appends records and waits for the verdict at their offset.
 */

#include <stdint.h>

#include "private/entry_internal.h"

/* What became of a record that this process appended. */
typedef struct {
	wwh_status_t status; /* of the append; the rest is valid when OK */
	wwh_verdict_t verdict;
	int64_t offset;
	wwh_verdict_detail_t detail;
} wwh_submit_result_t;

wwh_entry_log_t *wwh_entry_log_new(wwh_entry_t *entry);
void wwh_entry_log_start(wwh_entry_log_t *log);
void wwh_entry_log_finish(wwh_entry_log_t *log);
void wwh_entry_log_delete(wwh_entry_log_t *log);

/* Both streams have been replayed to their ends at least once. */
bool wwh_entry_log_caught_up(wwh_entry_log_t *log);

/*
 * When the last read of stream control that reached its end was sent, on the
 * monotonic clock; 0: there was none.
 */
int64_t wwh_entry_log_read_sent_ms(wwh_entry_log_t *log);

/* Appends, without waiting for the verdict. */
wwh_status_t wwh_entry_log_append(wwh_entry_log_t *log, wwh_stream_t stream,
				  const wwh_record_t *record,
				  int32_t timeout_ms, int64_t *offset);

/* Appends to stream control and waits until the record was replayed here. */
void wwh_entry_log_submit(wwh_entry_log_t *log, const wwh_record_t *record,
			  int32_t timeout_ms, wwh_submit_result_t *submitted);

/* Appends snapshots that are due; called about once a second. */
void wwh_entry_log_publish_snapshots(wwh_entry_log_t *log);

/* For the dump and the status. */
int64_t wwh_entry_log_offset(wwh_entry_log_t *log, wwh_stream_t stream);

#endif
