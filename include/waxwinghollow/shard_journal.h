#ifndef WAXWINGHOLLOW_SHARD_JOURNAL_H
#define WAXWINGHOLLOW_SHARD_JOURNAL_H

/*
 * NAME
 *	shard_journal - a shard's records, written in order by one holder
 *
 * USE
 *	Records are numbered consecutively and appended in batches, one call at
 *	a time. A call without an answer is repeated with the same epoch and
 *	sequence number until its result is known: the store then repeats its
 *	first answer and stores nothing twice.
 *
 *	A batch that the store rejects as invalid is sent again in halves until
 *	the record that it rejects is found. If the store then takes another
 *	append, that record is dropped and reported by on_rejected; all others
 *	are written in their order.
 *
 *	A writer with a higher epoch ends the journal: on_lost is called and
 *	nothing is written any more. Records that weren't durable by then may
 *	or may not be stored.
 *
 * ORDER OF CALLS
 *	wwh_shard_journal_new; wwh_shard_journal_append and
 *	wwh_shard_journal_run by the thread of its http_calls;
 *	wwh_shard_journal_delete, also from within a callback.
 */

#include "waxwinghollow/http_calls.h"

/* A key without a record. Its deletion has no effect but that the store answers. */
#define WWH_JOURNAL_CONFIRM_KEY "H"

typedef struct {
	wwh_http_calls_t *calls;
	const char *endpoint;
	const char *topic;
	int32_t part;
	const char *producer;
	int64_t epoch;
	int64_t next_sequence;
	int64_t max_call_bytes;
	int64_t batch_delay_ms; /* how long records that aren't urgent wait */
	void (*on_durable)(int64_t record, void *client_data);
	/* The store will never take this record. Those after it become durable. */
	void (*on_rejected)(int64_t record, const char *key, void *client_data);
	void (*on_lost)(const char *why, void *client_data);
	void *client_data;
} wwh_shard_journal_options_t;

typedef struct wwh_shard_journal wwh_shard_journal_t;

wwh_shard_journal_t *
wwh_shard_journal_new(const wwh_shard_journal_options_t *options);
void wwh_shard_journal_delete(wwh_shard_journal_t *journal);

/*
 * Queues a record and returns its number. value NULL deletes the key. urgent: a
 * caller waits until the record is durable.
 */
int64_t wwh_shard_journal_append(wwh_shard_journal_t *journal, const char *key,
				 GBytes *value, bool urgent, int64_t now_ms);
void wwh_shard_journal_run(wwh_shard_journal_t *journal, int64_t now_ms);

/*
 * Discards a record that hasn't been sent: it is not stored and never will be.
 * Returns false if the record was sent, and thus may be stored.
 */
bool wwh_shard_journal_discard(wwh_shard_journal_t *journal, int64_t number);

/*
 * Returns when the last successful append was sent, for the first time if it was
 * sent again as its result was unknown; the claim was in force then. Returns 0
 * after the journal was lost.
 */
int64_t wwh_shard_journal_confirmed_ms(const wwh_shard_journal_t *journal);

/* Returns how long the oldest record that isn't durable has been waiting. */
int64_t wwh_shard_journal_lag_ms(const wwh_shard_journal_t *journal,
				 int64_t now_ms);

/* Considers successful appends only. */
int64_t
wwh_shard_journal_last_append_duration_ms(const wwh_shard_journal_t *journal);

/* Returns when the last failed call was sent; 0: no call has failed. */
int64_t wwh_shard_journal_last_failure_ms(const wwh_shard_journal_t *journal);

/*
 * Returns whether the last call got no answer, or an answer that it had no
 * effect.
 */
bool wwh_shard_journal_failing(const wwh_shard_journal_t *journal);

/*
 * Returns whether the last call certainly had no effect and may be retried: the
 * store refused it for now, or it couldn't be sent.
 */
bool wwh_shard_journal_refused(const wwh_shard_journal_t *journal);

#endif
