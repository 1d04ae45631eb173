#ifndef WAXWINGHOLLOW_SHARD_CLAIM_H
#define WAXWINGHOLLOW_SHARD_CLAIM_H

/*
 * NAME
 *	shard_claim - at most one process holds a shard, and all know which
 *
 * USE
 *	The store's group says which process should hold the shard; nothing
 *	hangs on it, as it may change its mind at once and knows nothing of a
 *	paused process. The claim itself is a record in the shard's journal
 *	under an epoch higher than all before: from then on the store refuses
 *	appends of lower epochs. What was appended before it is read up to the
 *	claim's own record, so nothing that was acknowledged is missed.
 *
 *	A holder that was killed and starts again claims without the group's
 *	word, which may name a killed member until its time limit is over:
 *	callers are served 0.16 s after that process is up, in place of 0.88 s
 *	(one play each of an outage that ends with all processes killed).
 *
 *	The process that the group names leaves a holder alone as long as
 *	that one answers and reaches the store; a change of holder costs a
 *	second poll at all upstreams. One that the store turns away, while it
 *	serves this process, or whose loop can't keep up, is asked to hand the
 *	shard over.
 *
 * ORDER OF CALLS
 *	wwh_shard_claim_new; wwh_shard_claim_run often, by the thread of its
 *	http_calls; wwh_shard_claim_delete.
 */

#include "waxwinghollow/bad_records.h"
#include "waxwinghollow/http_calls.h"

/*
 * Where a process tells others of the shard; where the one that the group names
 * asks, which would hold it next; and where that one asks for it, after it has
 * shown that the journal takes its records.
 */
#define WWH_SHARD_PATH "/v1/shard"
#define WWH_SHARD_ASSIGNED_PATH "/v1/shard?assigned"
#define WWH_SHARD_SUCCESSOR_PATH "/v1/shard?successor"

/* What a process answers there. */
typedef enum {
	WWH_SHARD_HELD = 200,
	WWH_SHARD_NOT_HELD = 404, /* never, or by a process before this one */
	WWH_SHARD_YIELDS = 409, /* held, and handed over when asked for */
	WWH_SHARD_HANDED_OVER = 410, /* no order of this process is out */
	WWH_SHARD_HANDED_OVER_ORDERS_PENDING =
		425, /* the same, but orders to hosts */
	WWH_SHARD_UNCONFIRMED = 503, /* claimed, or held without the store */
} wwh_shard_answer_t;

typedef struct {
	int64_t epoch; /* of the claim: the fencing token */
	int64_t holder_count; /* claims so far, this one too */
	int64_t next_sequence; /* the journal's first */
	GHashTable *records; /* key to GBytes, as the journal has them */
	bool others_at_work; /* the holder before was silent, not ended */
	bool others_ended; /* it was found ended, and hadn't given up */
	bool inherits_load; /* it gave up or was silent, maybe by its load */
} wwh_shard_holding_t;

typedef struct {
	wwh_http_calls_t *calls;
	const char *store;
	const char *topic;
	int32_t journal_part;
	int32_t notice_part; /* where claims are made known */
	const char *group;
	const char *self; /* IP number and port for other processes */
	const char *producer;
	int64_t member_ttl_ms; /* silence after which the group replaces it */
	/*
	 * A process with little processor time: it joins the group only when
	 * no holder has answered for a while.
	 */
	bool is_standby;
	wwh_bad_records_t *bad_records; /* NULL: they aren't told */
	/* The shard is held; held and its records live during the call. */
	void (*on_held)(const wwh_shard_holding_t *held, void *client_data);
	/* NULL: nobody holds it. */
	void (*on_holder)(const char *address, int64_t epoch,
			  void *client_data);
	void (*explain)(const char *event, const char *detail,
			void *client_data);
	void *client_data;
} wwh_shard_claim_options_t;

typedef struct wwh_shard_claim wwh_shard_claim_t;

wwh_shard_claim_t *
wwh_shard_claim_new(const wwh_shard_claim_options_t *options);
void wwh_shard_claim_delete(wwh_shard_claim_t *claim);
void wwh_shard_claim_run(wwh_shard_claim_t *claim, int64_t now_ms);

/*
 * Whether a claim of this process is on its way. Others that ask meanwhile must
 * not hear that it doesn't hold the shard: they would claim it themselves, and
 * all upstreams be asked twice.
 */
bool wwh_shard_claim_in_progress(const wwh_shard_claim_t *claim);

/* The claim was lost to another or isn't wanted any more. */
void wwh_shard_claim_handle_loss(wwh_shard_claim_t *claim, int64_t now_ms);

/*
 * The same, and the process that asked for the shard is to claim it first: this
 * one leaves it alone for a while.
 */
void wwh_shard_claim_handle_handover(wwh_shard_claim_t *claim, int64_t now_ms);

/*
 * Whether this process, which holds the shard, leaves it to others: the group
 * then names another one, which asks for it, and this one stays out of the
 * group for a while.
 */
void wwh_shard_claim_set_withdrawn(wwh_shard_claim_t *claim, bool leave,
				   int64_t now_ms);

/*
 * For a stop that was announced: others may claim at once; this process
 * won't any more.
 */
void wwh_shard_claim_release(wwh_shard_claim_t *claim, int64_t now_ms);

/* Whether the notice of giving up, and leaving the group, is settled. */
bool wwh_shard_claim_is_released(const wwh_shard_claim_t *claim);

#endif
