#ifndef WAXWINGHOLLOW_SHARD_JOURNAL_H
#define WAXWINGHOLLOW_SHARD_JOURNAL_H

/*
 * NAME
 *	shard_journal - a shard's records, written in their order by one holder
 *
 * USE
 *	Records get numbers that rise by one and are appended in groups, one
 *	call at a time. A call that got no answer is repeated with the same
 *	epoch and sequence number until its result is known: the store then
 *	gives its first answer again and stores nothing twice.
 *
 *	A writer with a higher epoch ends the journal: on_lost is called and
 *	nothing is written any more. Records that weren't durable by then may
 *	be stored or not.
 *
 * ORDER OF CALLS
 *	wwh_shard_journal_new; wwh_shard_journal_append and
 *	wwh_shard_journal_run by the thread of its http_calls;
 *	wwh_shard_journal_delete, also from within a callback.
 */

#include "waxwinghollow/http_calls.h"

typedef struct {
	wwh_http_calls_t *calls;
	const char *endpoint;
	const char *topic;
	int32_t part;
	const char *producer;
	int64_t epoch;
	int64_t next_sequence;
	int64_t max_call_bytes; /* of one call, at most */
	int64_t batch_delay_ms; /* records that nobody waits for wait this long */
	void (*on_durable)(int64_t record, void *client_data);
	void (*on_lost)(const char *why, void *client_data);
	void *client_data;
} wwh_shard_journal_options_t;

typedef struct wwh_shard_journal wwh_shard_journal_t;

wwh_shard_journal_t *
wwh_shard_journal_new(const wwh_shard_journal_options_t *options);
void wwh_shard_journal_delete(wwh_shard_journal_t *journal);

/* value NULL drops the key. urgent: somebody waits for it. */
int64_t wwh_shard_journal_append(wwh_shard_journal_t *journal, const char *key,
				 GBytes *value, bool urgent, int64_t now_ms);
void wwh_shard_journal_run(wwh_shard_journal_t *journal, int64_t now_ms);

/*
 * Drops a record that is in no call so far: it is surely not stored and never
 * will be. False: it was sent, and may be stored.
 */
bool wwh_shard_journal_discard(wwh_shard_journal_t *journal, int64_t number);

/* When the last append that succeeded was sent: the claim held then. */
int64_t wwh_shard_journal_confirmed_ms(const wwh_shard_journal_t *journal);

/* How long the oldest record has been waiting to become durable. */
int64_t wwh_shard_journal_lag_ms(const wwh_shard_journal_t *journal,
				 int64_t now_ms);

/* How long the last append took that succeeded. */
int64_t
wwh_shard_journal_last_append_duration_ms(const wwh_shard_journal_t *journal);

/* When a call that failed was sent last; 0: none has. */
int64_t wwh_shard_journal_last_failure_ms(const wwh_shard_journal_t *journal);

/* The last call got no answer, or one that says that it had no effect. */
bool wwh_shard_journal_failing(const wwh_shard_journal_t *journal);

/* The store refused the last call: it answers, but takes nothing now. */
bool wwh_shard_journal_refused(const wwh_shard_journal_t *journal);

#endif
