#ifndef PRIVATE_SHARD_CLAIM_STATE_H
#define PRIVATE_SHARD_CLAIM_STATE_H

/*
 * State shared by the claim's sources: shard_claim.c makes the claim and publishes
 * the notice; shard_claim_watch.c tracks which process holds the shard and to
 * which one it is assigned.
 */

#include "waxwinghollow/shard_claim.h"
#include "waxwinghollow/store_follower.h"

/*
 * An epoch consists of the number of claims so far and random low bits: if two
 * processes that claim at once had the same epoch, the store would treat the
 * second claim as a repeat of the first.
 */
#define CLAIM_RANDOM_BITS 16

#define CLAIM_NOTICE_KEY "holder"

typedef enum {
	CLAIM_WATCHING = 0,
	CLAIM_LOADING, /* reading the journal */
	CLAIM_APPENDING, /* the claim's record is being appended */
	CLAIM_CONFIRMING, /* until the claim's record is read back */
	CLAIM_HELD,
	CLAIM_RELEASED,
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
	int64_t assigned_sent_ms; /* when the join that reported it was sent */
	int64_t join_sent_ms;
	int64_t generation;
	int64_t store_reachable_since_ms; /* all joins since succeeded; 0: none */
	/* the holder according to the notices */
	wwh_store_follower_t *notices;
	char *holder; /* NULL: no process holds the shard */
	int64_t holder_epoch;
	int64_t holder_since_ms; /* 0: no notice read so far */
	int32_t short_terms; /* consecutive, shorter than SHORT_TERM_MS */
	int64_t probe_sent_ms;
	int64_t probe_epoch; /* of the holder that was probed */
	int64_t yielding_since_ms; /* 0: the holder doesn't yield */
	int64_t write_check_passed_ms; /* 0: not yet */
	int64_t write_check_failed_ms;
	int64_t holder_answered_ms; /* tracked on standby or withdrawn */
	int64_t withdrawn_until_ms; /* joins like a standby until then */
	/* the claim */
	wwh_store_follower_t *journal;
	GHashTable *records;
	int64_t epoch;
	char *nonce;
	int64_t highest_counter;
	int64_t claimed_ms; /* when the claim of this epoch was first sent */
	int64_t append_sent_ms;
	int64_t appended_ms; /* the store has acknowledged the claim */
	int64_t overtaken_by_epoch; /* a later claim of another process; 0: none */
	/* Until successor_until_ms, or a notice of this epoch or a higher one. */
	int64_t successor_epoch;
	int64_t successor_until_ms;
	int64_t retry_ms;
	int64_t notice_retry_ms;
	int64_t notice_epoch; /* of the notice in flight */
	int32_t probes_failed;
	bool deleted;
	bool join_in_flight;
	bool assigned;
	bool probe_in_flight;
	bool write_check_in_flight;
	bool holder_has_ended; /* connection refused, or it reports so */
	bool holder_released; /* and has no orders outstanding */
	bool holder_orders_pending; /* ended with host orders outstanding */
	bool previous_holder_may_act; /* these three as of claim_begin */
	bool previous_holder_ended;
	bool inherits_load;
	bool has_claimed; /* since this process started */
	bool append_in_flight;
	bool own_record_read;
	/* Another claim with the same counter has come before this one. */
	bool counter_is_shared;
	bool is_repeated; /* this claim repeats one that may have shared its counter */
	bool notice_pending; /* a notice is to be published */
	bool notice_in_flight;
	bool notice_is_release; /* of the notice in flight */
	bool leave_ended;
};

/* shard_claim_watch.c */

/* Joins the group or renews the membership, if this process may join. */
void claim_renew_membership(wwh_shard_claim_t *claim);

/* wwh_store_follower on_record callback for the notices. */
void claim_on_notice(const char *key, const uint8_t *value, size_t size,
		     void *data);

/*
 * Probes the holder. Begins a claim if the shard is assigned to this process and
 * no other process holds it, or if this process held it before a restart.
 */
void claim_check_holder(wwh_shard_claim_t *claim);

/* shard_claim_text.c: decoding of records; false: the record is malformed */
bool claim_read_notice(const uint8_t *value, size_t size, int64_t *epoch,
		       char **address); /* free with g_free; NULL: no holder */
bool claim_read_record(const uint8_t *value, size_t size, int64_t *epoch);
void claim_report_record(wwh_shard_claim_t *claim, const char *key,
			 bool is_valid);
void claim_on_unreadable_key(int64_t offset, const char *why, void *data);

/* shard_claim.c */
void claim_begin(wwh_shard_claim_t *claim, const char *why,
		 bool previous_holder_may_act);
void claim_unref(wwh_shard_claim_t *claim);
void claim_log_event(wwh_shard_claim_t *claim, const char *event,
		     const char *format, ...)
	__attribute__((format(printf, 3, 4)));

#endif
