#include <string.h>

#include "private/shard_claim_state.h"
#include "wire_store.h"

/* Calls to the group: it notices a lost process after member_ttl_ms. */
#define JOINS_A_TTL 3
#define JOIN_LIMIT_MS 700

/* Between two questions to the holder, and how long it may take. */
#define PROBE_EVERY_MS 400
#define PROBE_LIMIT_MS 600

/* The same for a is_standby process, and how long it leaves it to others. */
#define RELUCTANT_PROBE_MS 1500
#define RELUCTANT_MS 5000

/* Unanswered questions after which a holder is taken as gone. */
#define PROBES_OF_A_LOST_HOLDER 2

/* A holder that is replaced sooner may not have recovered what it took over. */
#define SHORT_TERM_MS 5000
#define PATIENCE_DOUBLINGS_MAX 2

/* The store answers all calls of this process for so long. */
#define STEADY_MS 900

/* The same while the holder waits to be asked for the shard. */
#define PROBE_SOON_MS 100

/* Dropped in the journal, where it never is; an append takes some ms. */
#define PROOF_KEY "H"
#define PROOF_LIMIT_MS 500

/*
 * How long a holder that yields may take to hand over, from the proof
 * that this process is served: longer than its orders to hosts may be out. After
 * that it counts as silent.
 */
#define HAND_OVER_LIMIT_MS 2000

static bool is_older_claim(const wwh_shard_claim_t *claim, int64_t epoch);
static bool held_before_it_started(const wwh_shard_claim_t *claim);
static bool is_assigned(const wwh_shard_claim_t *claim);
static void begin_term(wwh_shard_claim_t *claim);
static int32_t probes_of_a_lost_holder(const wwh_shard_claim_t *claim);
static bool may_join(wwh_shard_claim_t *claim);
static void join(wwh_shard_claim_t *claim);
static void on_joined(const wwh_http_answer_t *answer, void *data);
static bool store_is_steady(const wwh_shard_claim_t *claim);
static void probe(wwh_shard_claim_t *claim);
static void on_probed(const wwh_http_answer_t *answer, void *data);
static void take_yielding(wwh_shard_claim_t *claim, bool yields);
static bool is_left_alone(const wwh_shard_claim_t *claim);
static bool is_proven(const wwh_shard_claim_t *claim);
static void prove_reach(wwh_shard_claim_t *claim);
static void on_proven(const wwh_http_answer_t *answer, void *data);

void claim_stay_in_group(wwh_shard_claim_t *claim)
{
	if (may_join(claim))
		join(claim);
}

/*
 * Any text can stand there. Read as an epoch, it would be higher than all that
 * follow, and a process that holds the shard would give it up on its word.
 */
void claim_on_notice(const char *key, const uint8_t *value, size_t size,
		     void *data)
{
	wwh_shard_claim_t *claim = data;
	char *address;
	int64_t epoch;
	bool whole;

	if (value == NULL || strcmp(key, CLAIM_NOTICE_KEY) != 0)
		return;
	whole = claim_read_notice(value, size, &epoch, &address);
	claim_judge(claim, key, whole);
	if (!whole)
		return;
	claim->highest_counter =
		MAX(claim->highest_counter, epoch >> CLAIM_RANDOM_BITS);
	if (epoch >= claim->holder_epoch && !is_older_claim(claim, epoch)) {
		if (epoch > claim->holder_epoch)
			begin_term(claim);
		claim->holder_epoch = epoch;
		g_free(claim->holder);
		claim->holder = g_strdup(address);
		claim->probes_failed = 0;
		claim->holder_ended = false;
		claim->holder_gave_up = false;
		claim->holder_orders_hosts = false;
		claim->yields_ms = 0;
		claim->options.on_holder(claim->holder, epoch,
					 claim->options.client_data);
	}
	g_free(address);
}

void claim_watch(wwh_shard_claim_t *claim)
{
	if (!wwh_store_follower_caught_up(claim->notices) ||
	    claim->now_ms < claim->retry_ms)
		return;
	if (held_before_it_started(claim)) {
		claim_begin(claim, "restarted", false);
		return;
	}
	if (!is_assigned(claim))
		return;
	prove_reach(claim);
	if (claim->holder == NULL) {
		claim_begin(claim, "no-holder", false);
	} else if (strcmp(claim->holder, claim->self) == 0) {
		claim_begin(claim, "restarted", false);
	} else if (claim->holder_ended) {
		claim_begin(claim, "holder-ended", claim->holder_orders_hosts);
	} else if (claim->probes_failed >= probes_of_a_lost_holder(claim) &&
		   store_is_steady(claim)) {
		claim_begin(claim, "holder-silent", true);
	} else if (!claim->probe_in_flight &&
		   claim->now_ms - claim->probe_sent_ms >=
			   (claim->yields_ms != 0 ? PROBE_SOON_MS
						  : PROBE_EVERY_MS)) {
		probe(claim);
	}
}

/*
 * Of two processes that claim at once, the notice of the first may be read after
 * the second one's claim is held. The store refuses the first one's appends then;
 * given up for its notice, the shard would be held by nobody.
 */
static bool is_older_claim(const wwh_shard_claim_t *claim, int64_t epoch)
{
	return claim->state == CLAIM_HELD && epoch < claim->epoch;
}

/*
 * The group keeps the shard assigned to a process that was killed until its
 * time limit is over, and callers are turned away for so long. A process that
 * reads its own name as the holder's, and hasn't claimed since it started, is
 * that holder's next life: nobody else is at work, and the claim itself hangs
 * on the store alone. One that has claimed may have lost the shard to a claim
 * that isn't known yet; it would take the shard back from its successor.
 */
static bool held_before_it_started(const wwh_shard_claim_t *claim)
{
	return !claim->options.is_standby && !claim->has_claimed &&
	       g_strcmp0(claim->holder, claim->self) == 0;
}

static void begin_term(wwh_shard_claim_t *claim)
{
	int64_t term_ms = claim->now_ms - claim->holder_known_ms;

	if (claim->holder_known_ms != 0 && term_ms < SHORT_TERM_MS)
		claim->short_terms++;
	else
		claim->short_terms = 0;
	claim->holder_known_ms = claim->now_ms;
}

/*
 * A holder that recovers a large shard may answer no probe in time. Replaced
 * then, its successor begins the same work anew and is replaced in its turn, so
 * each holder after a short-lived one gets twice the time of the one before.
 */
static int32_t probes_of_a_lost_holder(const wwh_shard_claim_t *claim)
{
	int32_t doublings = MIN(claim->short_terms, PATIENCE_DOUBLINGS_MAX);

	if (claim->now_ms - claim->holder_known_ms >= SHORT_TERM_MS)
		doublings = 0;
	return PROBES_OF_A_LOST_HOLDER << doublings;
}

static bool is_assigned(const wwh_shard_claim_t *claim)
{
	return claim->assigned && claim->now_ms - claim->assigned_ms <
					  claim->options.member_ttl_ms;
}

/*
 * A holder that is too slow for the shard's orders stands still for seconds,
 * is taken over, and the next one may be as slow: all work waits meanwhile.
 */
static bool may_join(wwh_shard_claim_t *claim)
{
	bool has_left = claim->now_ms < claim->left_until_ms;

	if (!claim->options.is_standby && !has_left)
		return true;
	if (claim->state != CLAIM_WATCHING)
		return !has_left;
	if (claim->holder != NULL && !claim->probe_in_flight &&
	    claim->now_ms - claim->probe_sent_ms >= RELUCTANT_PROBE_MS)
		probe(claim);
	if (claim->holder != NULL && claim->probes_failed == 0)
		claim->answered_ms = claim->now_ms;
	if (claim->answered_ms == 0)
		claim->answered_ms = claim->now_ms;
	return claim->now_ms - claim->answered_ms >= RELUCTANT_MS;
}

static void join(wwh_shard_claim_t *claim)
{
	wwh_http_call_t *call;

	if (claim->join_in_flight ||
	    claim->now_ms - claim->join_sent_ms <
		    claim->options.member_ttl_ms / JOINS_A_TTL)
		return;
	claim->join_in_flight = true;
	claim->join_sent_ms = claim->now_ms;
	claim->references++;
	call = wire_store_join(claim->store, claim->options.group, claim->self,
			       claim->topic, claim->options.member_ttl_ms,
			       claim->generation, JOIN_LIMIT_MS);
	wwh_http_calls_send(claim->options.calls, call, on_joined, claim);
}

static void on_joined(const wwh_http_answer_t *answer, void *data)
{
	wwh_shard_claim_t *claim = data;
	bool assigned = false;

	claim->join_in_flight = false;
	if (!claim->deleted &&
	    wire_store_join_answer(
		    answer, claim->topic, claim->options.journal_part,
		    &claim->generation, &assigned) == WIRE_STORE_OK) {
		if (assigned != claim->assigned)
			claim_explain(
				claim, "shard-assigned",
				"assigned=%d generation=%" G_GINT64_FORMAT,
				assigned, claim->generation);
		claim->assigned = assigned;
		claim->assigned_ms = claim->join_sent_ms;
		if (claim->reached_since_ms == 0)
			claim->reached_since_ms = claim->join_sent_ms;
	} else {
		claim->reached_since_ms = 0;
	}
	claim_unref(claim);
}

/*
 * After an outage of the whole store a holder needs a moment to confirm its
 * claim. Taken over in that moment, all upstreams would be asked anew for
 * nothing.
 */
static bool store_is_steady(const wwh_shard_claim_t *claim)
{
	return claim->reached_since_ms != 0 &&
	       claim->now_ms - claim->reached_since_ms >= STEADY_MS;
}

static void probe(wwh_shard_claim_t *claim)
{
	wwh_http_call_t *call =
		wwh_http_call_new("GET", claim->holder, PROBE_LIMIT_MS);

	if (!is_assigned(claim))
		call->path = g_strdup(WWH_SHARD_PATH);
	else if (is_proven(claim))
		call->path = g_strdup(WWH_SHARD_SUCCESSOR_PATH);
	else
		call->path = g_strdup(WWH_SHARD_ASSIGNED_PATH);
	claim->probe_in_flight = true;
	claim->probe_sent_ms = claim->now_ms;
	claim->probe_epoch = claim->holder_epoch;
	claim->references++;
	wwh_http_calls_send(claim->options.calls, call, on_probed, claim);
}

/*
 * Another process may have become the holder since the question was sent. It
 * would be replaced while it is at work, on the word of the one before.
 */
static void on_probed(const wwh_http_answer_t *answer, void *data)
{
	wwh_shard_claim_t *claim = data;
	int32_t status =
		answer->outcome == WWH_CALL_ANSWERED ? answer->status : 0;

	claim->probe_in_flight = false;
	if (claim->probe_epoch == claim->holder_epoch) {
		take_yielding(claim, status == WWH_SHARD_YIELDS);
		claim->probes_failed =
			status == WWH_SHARD_HELD || is_left_alone(claim)
				? 0
				: claim->probes_failed + 1;
		claim->holder_gave_up = status == WWH_SHARD_HANDED_OVER;
		claim->holder_orders_hosts =
			status == WWH_SHARD_HANDED_OVER_ORDERS_PENDING;
		claim->holder_ended = answer->outcome == WWH_CALL_REFUSED ||
				      status == WWH_SHARD_NOT_HELD ||
				      claim->holder_gave_up ||
				      claim->holder_orders_hosts;
	}
	claim_unref(claim);
}

static void take_yielding(wwh_shard_claim_t *claim, bool yields)
{
	if (!yields)
		claim->yields_ms = 0;
	if (!yields || claim->yields_ms != 0)
		return;
	claim->yields_ms = claim->now_ms;
	claim->proven_ms = 0;
}

/*
 * One that yields, as long as the store may be away for all: taken over then, at
 * its return, hosts got no orders for 3 s. And while it may hand over.
 */
static bool is_left_alone(const wwh_shard_claim_t *claim)
{
	return claim->yields_ms != 0 &&
	       (claim->proven_ms == 0 ||
		claim->now_ms - claim->proven_ms < HAND_OVER_LIMIT_MS);
}

/*
 * A store that is away for all may still answer the group's calls. A holder that
 * gave up then would leave what runs to nobody, so this process shows first that
 * the journal takes a record of it: one that drops a key which isn't there.
 */
static void prove_reach(wwh_shard_claim_t *claim)
{
	wire_writer_t plain = { 0 };
	GByteArray *body;
	wwh_http_call_t *call;

	if (claim->yields_ms == 0 || claim->proof_in_flight ||
	    claim->proven_ms != 0 ||
	    claim->now_ms - claim->proof_failed_ms < PROBE_SOON_MS)
		return;
	body = g_byte_array_new();
	wire_store_pack_record(body, PROOF_KEY, NULL, 0);
	call = wire_store_append(claim->store, claim->topic,
				 claim->options.journal_part, &plain, body,
				 PROOF_LIMIT_MS);
	claim->proof_in_flight = true;
	claim->references++;
	wwh_http_calls_send(claim->options.calls, call, on_proven, claim);
}

static void on_proven(const wwh_http_answer_t *answer, void *data)
{
	wwh_shard_claim_t *claim = data;

	claim->proof_in_flight = false;
	if (wire_store_append_answer(answer) == WIRE_STORE_OK)
		claim->proven_ms = claim->now_ms;
	else
		claim->proof_failed_ms = claim->now_ms;
	claim_unref(claim);
}

/* When the store comes back for all, the holder is served a moment later. */
static bool is_proven(const wwh_shard_claim_t *claim)
{
	return claim->yields_ms != 0 && claim->proven_ms != 0 &&
	       claim->now_ms - claim->proof_failed_ms >= STEADY_MS;
}
