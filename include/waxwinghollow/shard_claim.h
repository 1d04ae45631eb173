#ifndef WAXWINGHOLLOW_SHARD_CLAIM_H
#define WAXWINGHOLLOW_SHARD_CLAIM_H

/*
 * NAME
 *	shard_claim - at most one process holds a shard, and all know which
 *
 * USE
 *	The store's group assigns the shard to one process. The assignment is a
 *	hint without effect on safety: it may change at any time, and the group
 *	doesn't know whether a process is paused. The claim itself is a record
 *	in the shard's journal under a higher epoch than all before: from then
 *	on the store rejects appends of lower epochs. The new holder reads the
 *	journal up to the claim's own record, so it misses nothing that was
 *	acknowledged.
 *
 *	A holder that was killed and starts again claims without an assignment,
 *	as the group may keep a killed member until its time limit expires:
 *	callers are served 0.16 s after that process is up, instead of 0.88 s
 *	(one simulation each of an outage that ends with all processes killed).
 *
 *	The assigned process doesn't replace a holder as long as that one
 *	answers and reaches the store; a change of holder costs a second poll at
 *	all upstreams. It requests a hand-over if the store rejects the holder
 *	while the store serves the assigned process, or if the holder's event
 *	loop is overloaded.
 *
 * ORDER OF CALLS
 *	wwh_shard_claim_new; wwh_shard_claim_run often, by the thread of its
 *	http_calls; wwh_shard_claim_delete.
 */

#include "waxwinghollow/bad_records.h"
#include "waxwinghollow/http_calls.h"

/*
 * Paths at which a process reports whether it holds the shard. Any process may
 * request the first. The process to which the group assigns the shard requests
 * the second, which makes a holder that yields hand over, unless the store
 * rejects that holder. Then only the third does, which is requested after a
 * write check has shown that the journal accepts records of the assigned
 * process.
 */
#define WWH_SHARD_PATH "/v1/shard"
#define WWH_SHARD_ASSIGNED_PATH "/v1/shard?assigned"
#define WWH_SHARD_SUCCESSOR_PATH "/v1/shard?successor"

/* HTTP status of the answers at these paths. */
typedef enum {
	WWH_SHARD_HELD = 200,
	WWH_SHARD_NOT_HELD = 404, /* this process doesn't hold the shard */
	WWH_SHARD_YIELDS = 409, /* held, and handed over on request */
	WWH_SHARD_HANDED_OVER =
		410, /* no order of this process is outstanding */
	/* handed over, with orders to hosts outstanding */
	WWH_SHARD_HANDED_OVER_ORDERS_PENDING = 425,
	WWH_SHARD_UNCONFIRMED =
		503, /* claim in progress, or store unreachable */
} wwh_shard_answer_t;

typedef struct {
	int64_t epoch; /* of the claim: the fencing token */
	int64_t claim_count; /* claims so far, including this one */
	int64_t next_sequence; /* first sequence number for the journal */
	GHashTable *records; /* key to GBytes, as the journal has them */
	int64_t claimed_ms; /* when the claim was first sent */
	/*
	 * The previous holder was silent, or handed over with orders to hosts
	 * outstanding: orders of it may still take effect.
	 */
	bool previous_holder_may_act;
	/*
	 * The previous holder didn't hold the shard any more, and hadn't
	 * answered WWH_SHARD_HANDED_OVER.
	 */
	bool previous_holder_ended;
	/*
	 * The previous holder handed the shard over or was silent, perhaps due
	 * to its load.
	 */
	bool inherits_load;
} wwh_shard_holding_t;

typedef struct {
	wwh_http_calls_t *calls;
	const char *store;
	const char *topic;
	int32_t journal_part;
	int32_t notice_part; /* partition of the holder notices */
	const char *group;
	const char *self; /* IP address and port for other processes */
	const char *producer;
	int64_t link_kbps; /* of this host; 0: fast */
	int64_t member_ttl_ms; /* silence after which the group drops a member */
	/*
	 * This process has little processor time: it joins the group only
	 * when no holder has answered for a while.
	 */
	bool is_standby;
	wwh_bad_records_t *bad_records; /* NULL: bad records aren't reported */
	/*
	 * The shard is held now. held and its records are valid during the
	 * call only.
	 */
	void (*on_held)(const wwh_shard_holding_t *held, void *client_data);
	/* The holder has changed; address NULL: no process holds the shard. */
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
/* A call to the holder failed: there may be another one. */
void wwh_shard_claim_refresh(wwh_shard_claim_t *claim);
void wwh_shard_claim_run(wwh_shard_claim_t *claim, int64_t now_ms);

/* Whether the group names this process. */
bool wwh_shard_claim_is_assigned(const wwh_shard_claim_t *claim);

/*
 * Returns whether a claim of this process is in progress. Meanwhile it must not
 * answer other processes that it doesn't hold the shard: they would claim the
 * shard themselves, and all upstreams would be polled twice.
 */
bool wwh_shard_claim_in_progress(const wwh_shard_claim_t *claim);

/*
 * Reports that the claim was lost to another process or isn't needed any more.
 */
void wwh_shard_claim_handle_loss(wwh_shard_claim_t *claim, int64_t now_ms);

/*
 * Reports that the shard was handed over. This process doesn't claim for a while,
 * so that the process that requested the hand-over claims it first.
 */
void wwh_shard_claim_handle_handover(wwh_shard_claim_t *claim, int64_t now_ms);

/*
 * Sets whether this process, which holds the shard, withdraws from the group for
 * a while: the group then assigns the shard to another process, which requests
 * a hand-over.
 */
void wwh_shard_claim_set_withdrawn(wwh_shard_claim_t *claim, bool withdrawn,
				   int64_t now_ms);

/*
 * Releases the shard for an announced stop: other processes may claim it at once,
 * and this process doesn't claim any more.
 */
void wwh_shard_claim_release(wwh_shard_claim_t *claim, int64_t now_ms);

/*
 * Returns whether the release notice, if one was due, was published and the call
 * that leaves the group has ended.
 */
bool wwh_shard_claim_is_released(const wwh_shard_claim_t *claim);

#endif
