#include <string.h>

#include "private/shard_claim_state.h"
#include "wire_store.h"

/* Joins per member_ttl_ms, after which the group removes a silent member. */
#define JOINS_PER_TTL 3
#define JOIN_TIMEOUT_MS 700

/*
 * Probes of the holder, by the one process that is assigned the shard: how soon it
 * learns that the holder yields or has ended, and the interval after a failed one.
 */
#define PROBE_INTERVAL_MS 150
#define PROBE_RETRY_INTERVAL_MS 400
#define PROBE_TIMEOUT_MS 600

/*
 * A standby process probes at STANDBY_PROBE_INTERVAL_MS, more often once a probe
 * has failed, and joins the group after STANDBY_JOIN_DELAY_MS without an answering
 * holder. The holder answers the probes of hundreds of them.
 */
#define STANDBY_PROBE_INTERVAL_MS 4000
#define STANDBY_FAILED_INTERVAL_MS 300
#define STANDBY_JOIN_DELAY_MS 5000

/* The same if the holder's process has surely ended; others claim before that. */
#define STANDBY_JOIN_ENDED_DELAY_MS 2000

/* Failed probes after which a holder counts as silent. */
#define FAILED_PROBES_MAX 2

/* A holder replaced sooner may not have finished recovering the shard. */
#define SHORT_TERM_MS 5000
#define FAILED_PROBES_DOUBLINGS_MAX 2

/* Time after which a store that has answered again counts as stable. */
#define STORE_STABLE_MS 900

/* Interval of probes and write checks while the holder yields. */
#define HANDOVER_PROBE_INTERVAL_MS 100

/*
 * The write check deletes this key, which the journal never contains. An append
 * takes some ms.
 */
#define WRITE_CHECK_KEY "H"
#define WRITE_CHECK_TIMEOUT_MS 500

/*
 * Time that a yielding holder has to hand over, from the write check that passed:
 * longer than its orders to hosts may be outstanding. After that its probes count
 * as failed.
 */
#define HANDOVER_TIMEOUT_MS 2000

static bool awaits_notice(const wwh_shard_claim_t *claim);
static bool is_older_claim(const wwh_shard_claim_t *claim, int64_t epoch);
static bool held_before_restart(const wwh_shard_claim_t *claim);
static void begin_term(wwh_shard_claim_t *claim);
static int64_t probe_interval_ms(const wwh_shard_claim_t *claim);
static int32_t failed_probes_max(const wwh_shard_claim_t *claim);
static bool may_join(wwh_shard_claim_t *claim);
static void join(wwh_shard_claim_t *claim);
static void on_joined(const wwh_http_answer_t *answer, void *data);
static bool is_store_stable(const wwh_shard_claim_t *claim);
static void probe(wwh_shard_claim_t *claim);
static void on_probed(const wwh_http_answer_t *answer, void *data);
static void set_yielding(wwh_shard_claim_t *claim, bool yields);
static bool is_handover_pending(const wwh_shard_claim_t *claim);
static bool is_journal_writable(const wwh_shard_claim_t *claim);
static void check_journal_writable(wwh_shard_claim_t *claim);
static void on_write_checked(const wwh_http_answer_t *answer, void *data);

void claim_renew_membership(wwh_shard_claim_t *claim)
{
	if (may_join(claim))
		join(claim);
}

/*
 * The value may be any text. A malformed one read as a very high epoch would hide
 * all later notices and make a process that holds the shard release it.
 */
void claim_on_notice(const char *key, const uint8_t *value, size_t size,
		     void *data)
{
	wwh_shard_claim_t *claim = data;
	char *address;
	int64_t epoch;
	bool is_valid;

	if (value == NULL || strcmp(key, CLAIM_NOTICE_KEY) != 0)
		return;
	is_valid = claim_read_notice(value, size, &epoch, &address);
	claim_report_record(claim, key, is_valid);
	if (!is_valid)
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
		claim->holder_has_ended = false;
		claim->holder_released = false;
		claim->holder_orders_pending = false;
		claim->yielding_since_ms = 0;
		claim->options.on_holder(claim->holder, epoch,
					 claim->options.client_data);
	}
	g_free(address);
}

void claim_check_holder(wwh_shard_claim_t *claim)
{
	if (!wwh_store_follower_caught_up(claim->notices) ||
	    claim->now_ms < claim->retry_ms || awaits_notice(claim))
		return;
	if (held_before_restart(claim)) {
		claim_begin(claim, "restarted", false);
		return;
	}
	if (!wwh_shard_claim_is_assigned(claim))
		return;
	check_journal_writable(claim);
	if (claim->holder == NULL) {
		claim_begin(claim, "no-holder", false);
	} else if (strcmp(claim->holder, claim->self) == 0) {
		claim_begin(claim, "restarted", false);
	} else if (claim->holder_has_ended) {
		claim_begin(claim, "holder-ended",
			    claim->holder_orders_pending);
	} else if (claim->probes_failed >= failed_probes_max(claim) &&
		   is_store_stable(claim)) {
		claim_begin(claim, "holder-silent", true);
	} else if (!claim->probe_in_flight &&
		   claim->now_ms - claim->probe_sent_ms >=
			   (claim->yielding_since_ms != 0
				    ? HANDOVER_PROBE_INTERVAL_MS
				    : probe_interval_ms(claim))) {
		probe(claim);
	}
}

/*
 * Returns whether another process has claimed the shard and its notice isn't known
 * yet. A claim of this process would take the shard back from it.
 */
static bool awaits_notice(const wwh_shard_claim_t *claim)
{
	return claim->now_ms < claim->successor_until_ms &&
	       claim->holder_epoch < claim->successor_epoch;
}

/*
 * If two processes claim at once, the notice of the first may be read after the
 * claim of the second, this one, is held. The store then rejects the first one's
 * appends; if this process released the shard because of that notice, no process
 * would hold it.
 */
static bool is_older_claim(const wwh_shard_claim_t *claim, int64_t epoch)
{
	return claim->state == CLAIM_HELD && epoch < claim->epoch;
}

/*
 * The group keeps the shard assigned to a killed process until its time limit
 * expires, and callers are rejected for so long. A process that reads its own
 * address as the holder's and hasn't claimed since it started is a new incarnation
 * of that holder: no other process is at work, and the claim itself depends on
 * the store alone. A process that has claimed may have lost the shard to a claim
 * whose notice isn't known yet; it would take the shard back from its successor.
 */
static bool held_before_restart(const wwh_shard_claim_t *claim)
{
	return !claim->options.is_standby && !claim->has_claimed &&
	       g_strcmp0(claim->holder, claim->self) == 0;
}

static void begin_term(wwh_shard_claim_t *claim)
{
	int64_t term_ms = claim->now_ms - claim->holder_since_ms;

	if (claim->holder_since_ms != 0 && term_ms < SHORT_TERM_MS)
		claim->short_terms++;
	else
		claim->short_terms = 0;
	claim->holder_since_ms = claim->now_ms;
}

/*
 * A holder that recovers a large shard may answer no probe in time. If it were
 * replaced, its successor would begin the same work anew and be replaced in its
 * turn. So each holder after a short-lived one gets twice the probes of the one
 * before, up to a limit.
 */
static int32_t failed_probes_max(const wwh_shard_claim_t *claim)
{
	int32_t doublings =
		MIN(claim->short_terms, FAILED_PROBES_DOUBLINGS_MAX);

	if (claim->now_ms - claim->holder_since_ms >= SHORT_TERM_MS)
		doublings = 0;
	return FAILED_PROBES_MAX << doublings;
}

static int64_t probe_interval_ms(const wwh_shard_claim_t *claim)
{
	return claim->probes_failed > 0 ? PROBE_RETRY_INTERVAL_MS
					: PROBE_INTERVAL_MS;
}

bool wwh_shard_claim_is_assigned(const wwh_shard_claim_t *claim)
{
	return claim->assigned && claim->now_ms - claim->assigned_sent_ms <
					  claim->options.member_ttl_ms;
}

/*
 * A standby or withdrawn process that doesn't hold the shard joins only when no
 * holder has answered for a while: a holder that is too slow for the shard's orders
 * stalls for seconds and is replaced, the next one may be as slow, and all work
 * waits meanwhile.
 */
static bool may_join(wwh_shard_claim_t *claim)
{
	bool is_withdrawn = claim->now_ms < claim->withdrawn_until_ms;

	if (!claim->options.is_standby && !is_withdrawn)
		return true;
	if (claim->state != CLAIM_WATCHING)
		return !is_withdrawn;
	if (claim->holder != NULL && !claim->probe_in_flight &&
	    claim->now_ms - claim->probe_sent_ms >=
		    (claim->probes_failed > 0 ? STANDBY_FAILED_INTERVAL_MS
					      : STANDBY_PROBE_INTERVAL_MS))
		probe(claim);
	if (claim->holder != NULL && claim->probes_failed == 0)
		claim->holder_answered_ms = claim->now_ms;
	if (claim->holder_answered_ms == 0)
		claim->holder_answered_ms = claim->now_ms;
	return claim->now_ms - claim->holder_answered_ms >=
	       (claim->holder_has_ended ? STANDBY_JOIN_ENDED_DELAY_MS
					: STANDBY_JOIN_DELAY_MS);
}

static void join(wwh_shard_claim_t *claim)
{
	wwh_http_call_t *call;

	if (claim->join_in_flight ||
	    claim->now_ms - claim->join_sent_ms <
		    claim->options.member_ttl_ms / JOINS_PER_TTL)
		return;
	claim->join_in_flight = true;
	claim->join_sent_ms = claim->now_ms;
	claim->references++;
	call = wire_store_join(claim->store, claim->options.group, claim->self,
			       claim->topic, claim->options.member_ttl_ms,
			       claim->generation, JOIN_TIMEOUT_MS);
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
			claim_log_event(
				claim, "shard-assigned",
				"assigned=%d generation=%" G_GINT64_FORMAT,
				assigned, claim->generation);
		claim->assigned = assigned;
		claim->assigned_sent_ms = claim->join_sent_ms;
		if (claim->store_reachable_since_ms == 0)
			claim->store_reachable_since_ms = claim->join_sent_ms;
	} else {
		claim->store_reachable_since_ms = 0;
	}
	claim_unref(claim);
}

/*
 * After an outage of the whole store a holder needs a moment to confirm its
 * claim. If it were replaced in that moment, all upstreams would be polled again
 * for nothing.
 */
static bool is_store_stable(const wwh_shard_claim_t *claim)
{
	return claim->store_reachable_since_ms != 0 &&
	       claim->now_ms - claim->store_reachable_since_ms >=
		       STORE_STABLE_MS;
}

static void probe(wwh_shard_claim_t *claim)
{
	wwh_http_call_t *call =
		wwh_http_call_new("GET", claim->holder, PROBE_TIMEOUT_MS);

	if (!wwh_shard_claim_is_assigned(claim))
		call->path = g_strdup(WWH_SHARD_PATH);
	else if (is_journal_writable(claim))
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
 * Another process may have become the holder since the probe was sent. The answer
 * of the previous holder must not get the new one replaced while it is at work.
 */
static void on_probed(const wwh_http_answer_t *answer, void *data)
{
	wwh_shard_claim_t *claim = data;
	int32_t status =
		answer->outcome == WWH_CALL_ANSWERED ? answer->status : 0;

	claim->probe_in_flight = false;
	if (claim->probe_epoch == claim->holder_epoch) {
		set_yielding(claim, status == WWH_SHARD_YIELDS);
		claim->probes_failed =
			status == WWH_SHARD_HELD || is_handover_pending(claim)
				? 0
				: claim->probes_failed + 1;
		claim->holder_released = status == WWH_SHARD_HANDED_OVER;
		claim->holder_orders_pending =
			status == WWH_SHARD_HANDED_OVER_ORDERS_PENDING;
		claim->holder_has_ended = answer->outcome == WWH_CALL_REFUSED ||
					  status == WWH_SHARD_NOT_HELD ||
					  claim->holder_released ||
					  claim->holder_orders_pending;
		if (claim->probes_failed > 0 && !claim->deleted)
			wwh_shard_claim_refresh(claim);
	}
	claim_unref(claim);
}

static void set_yielding(wwh_shard_claim_t *claim, bool yields)
{
	if (!yields)
		claim->yielding_since_ms = 0;
	if (!yields || claim->yielding_since_ms != 0)
		return;
	claim->yielding_since_ms = claim->now_ms;
	claim->write_check_passed_ms = 0;
}

/*
 * Returns whether a yielding holder is not to be replaced: until a write check has
 * passed, as the store may be unreachable for all processes (a holder that was
 * replaced when the store came back left hosts without orders for 3 s), and then
 * for the time that it has to hand over.
 */
static bool is_handover_pending(const wwh_shard_claim_t *claim)
{
	return claim->yielding_since_ms != 0 &&
	       (claim->write_check_passed_ms == 0 ||
		claim->now_ms - claim->write_check_passed_ms <
			HANDOVER_TIMEOUT_MS);
}

/*
 * A store that accepts no records from any process may still answer the group's
 * calls. If the holder released the shard then, no process could manage its
 * running tasks. So this process checks first that the journal accepts one of its
 * own records, which deletes a key that doesn't exist.
 */
static void check_journal_writable(wwh_shard_claim_t *claim)
{
	wire_writer_t plain = { 0 };
	GByteArray *body;
	wwh_http_call_t *call;

	if (claim->yielding_since_ms == 0 || claim->write_check_in_flight ||
	    claim->write_check_passed_ms != 0 ||
	    claim->now_ms - claim->write_check_failed_ms <
		    HANDOVER_PROBE_INTERVAL_MS)
		return;
	body = g_byte_array_new();
	wire_store_pack_record(body, WRITE_CHECK_KEY, NULL, 0);
	call = wire_store_append(claim->store, claim->topic,
				 claim->options.journal_part, &plain, body,
				 WRITE_CHECK_TIMEOUT_MS);
	claim->write_check_in_flight = true;
	claim->references++;
	wwh_http_calls_send(claim->options.calls, call, on_write_checked,
			    claim);
}

static void on_write_checked(const wwh_http_answer_t *answer, void *data)
{
	wwh_shard_claim_t *claim = data;

	claim->write_check_in_flight = false;
	if (wire_store_append_answer(answer) == WIRE_STORE_OK)
		claim->write_check_passed_ms = claim->now_ms;
	else
		claim->write_check_failed_ms = claim->now_ms;
	claim_unref(claim);
}

/*
 * Returns whether the journal accepts this process's records and no write check has
 * failed recently: a store that comes back for all processes may serve this one a
 * moment before the holder.
 */
static bool is_journal_writable(const wwh_shard_claim_t *claim)
{
	return claim->yielding_since_ms != 0 &&
	       claim->write_check_passed_ms != 0 &&
	       claim->now_ms - claim->write_check_failed_ms >= STORE_STABLE_MS;
}
