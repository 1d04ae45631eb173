#ifndef PRIVATE_SHARD_CLAIM_STATE_H
#define PRIVATE_SHARD_CLAIM_STATE_H

/*
 * What the parts of a claim share: shard_claim.c claims and makes known,
 * shard_claim_watch.c knows who holds the shard and who should.
 */

#include "waxwinghollow/shard_claim.h"
#include "waxwinghollow/store_follower.h"

/*
 * An epoch is the number of claims so far and a random part: two processes
 * that claim at once must not share one, or the store would take the second
 * one's claim for a repeat of the first one's.
 */
#define CLAIM_RANDOM_BITS 16

#define CLAIM_NOTICE_KEY "holder"

typedef enum {
	CLAIM_WATCHING = 0,
	CLAIM_LOADING, /* reading the journal */
	CLAIM_APPENDING, /* the claim's record is on its way */
	CLAIM_CONFIRMING, /* until that record is read back */
	CLAIM_HELD,
	CLAIM_GIVEN_UP,
} claim_state_t;

struct wwh_shard_claim {
	wwh_shard_claim_options_t options;
	char *store;
	char *topic;
	char *self;
	claim_state_t state;
	int32_t references;
	int64_t now_ms;
	/* the group */
	int64_t assigned_ms; /* when the call that said so was sent */
	int64_t join_sent_ms;
	int64_t generation;
	int64_t reached_since_ms; /* each call since was answered; 0: none */
	/* the holder as made known */
	wwh_store_follower_t *notices;
	char *holder; /* NULL: nobody */
	int64_t holder_epoch;
	int64_t holder_known_ms; /* since when; 0: before this one started */
	int32_t short_terms; /* holders in a row that were replaced soon */
	int64_t probe_sent_ms;
	int64_t probe_epoch; /* of the holder that was asked */
	int64_t yields_ms; /* the holder says so since; 0: it doesn't */
	int64_t proven_ms; /* since then the journal took a record; 0: not */
	int64_t proof_failed_ms; /* the last time that it took none */
	int64_t answered_ms; /* reluctant: when a holder was there last */
	int64_t left_until_ms; /* to others: as a reluctant one until then */
	/* the claim */
	wwh_store_follower_t *journal;
	GHashTable *records;
	int64_t epoch;
	char *nonce;
	int64_t highest_counter;
	int64_t append_sent_ms;
	int64_t retry_ms;
	int64_t notice_retry_ms;
	int64_t notice_epoch; /* of the claim that is made known in flight */
	int32_t probes_failed;
	bool deleted;
	bool join_in_flight;
	bool assigned;
	bool probe_in_flight;
	bool proof_in_flight;
	bool holder_ended; /* its process is gone, or says it doesn't hold */
	bool holder_gave_up; /* it says so, and that nothing of it is out */
	bool holder_orders_hosts; /* it has ended, and its orders are out */
	bool others_at_work; /* when the claim was begun, as the next one */
	bool others_ended;
	bool inherits_load;
	bool has_claimed; /* since the process started */
	bool append_in_flight;
	bool notice_pending; /* the holder is to be made known */
	bool notice_in_flight;
	bool notice_of_giving_up; /* what is in flight says so */
	bool leave_settled;
};

/* shard_claim_watch.c */

/* Stays in the group, unless others are to be left the shard. */
void claim_stay_in_group(wwh_shard_claim_t *claim);

/* For a follower of the notices. */
void claim_on_notice(const char *key, const uint8_t *value, size_t size,
		     void *data);

/* Begins a claim when this process should hold the shard and nobody does. */
void claim_watch(wwh_shard_claim_t *claim);

/* shard_claim_text.c: what is written under the keys; false: it isn't that */
bool claim_read_notice(const uint8_t *value, size_t size, int64_t *epoch,
		       char **address); /* g_free; NULL: nobody holds it */
bool claim_read_record(const uint8_t *value, size_t size, int64_t *epoch);
void claim_judge(wwh_shard_claim_t *claim, const char *key, bool whole);
void claim_on_nameless(int64_t offset, const char *why, void *data);

/* shard_claim.c */
void claim_begin(wwh_shard_claim_t *claim, const char *why,
		 bool others_at_work);
void claim_unref(wwh_shard_claim_t *claim);
void claim_explain(wwh_shard_claim_t *claim, const char *event,
		   const char *format, ...)
	__attribute__((format(printf, 3, 4)));

#endif
