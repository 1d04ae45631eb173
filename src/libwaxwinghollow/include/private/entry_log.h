#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_LOG_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_LOG_H

/*
 * Access of one entry process to the log: replays both streams into the
 * process's state and intents, appends records, and waits for the verdict on
 * an appended record.
 */

#include <stdint.h>

#include "private/entry_internal.h"

/* Outcome of a record that this process submitted. */
typedef struct {
	wwh_status_t status; /* verdict and detail are valid if OK */
	wwh_verdict_t verdict;
	int64_t offset;
	wwh_verdict_detail_t detail;
} wwh_submit_result_t;

wwh_entry_log_t *wwh_entry_log_new(wwh_entry_t *entry);
void wwh_entry_log_start(wwh_entry_log_t *log);
void wwh_entry_log_finish(wwh_entry_log_t *log);
void wwh_entry_log_delete(wwh_entry_log_t *log);

/* Whether both streams have been replayed to their ends at least once. */
bool wwh_entry_log_caught_up(wwh_entry_log_t *log);

/*
 * When, on the monotonic clock, the last read of stream control that reached
 * the stream's end was sent, or a time before that; 0 if there was none.
 */
int64_t wwh_entry_log_read_sent_ms(wwh_entry_log_t *log);

/* Appends a record without waiting for its verdict. */
wwh_status_t wwh_entry_log_append(wwh_entry_log_t *log, wwh_stream_t stream,
				  const wwh_record_t *record,
				  int32_t timeout_ms, int64_t *offset);

/*
 * Appends to stream control and waits until the record was replayed here. The
 * status is WWH_STATUS_UNKNOWN if that takes too long.
 */
void wwh_entry_log_submit(wwh_entry_log_t *log, const wwh_record_t *record,
			  int32_t timeout_ms, wwh_submit_result_t *result);

/* Appends the snapshots that are due; called periodically by one thread. */
void wwh_entry_log_publish_snapshots(wwh_entry_log_t *log);

/* The offset of the record replayed last. */
int64_t wwh_entry_log_offset(wwh_entry_log_t *log, wwh_stream_t stream);

#endif
