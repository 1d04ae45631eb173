#include "waxwinghollow/shard_claim.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "waxwinghollow/store_follower.h"
#include "wire_store.h"

#define CLAIM_KEY "C"
#define NOTICE_KEY "holder"

/* Calls to the group: it notices a lost process after member_ttl_ms. */
#define JOINS_A_TTL 3
#define JOIN_LIMIT_MS 700

#define NOTICE_WAIT_MS 1500
#define JOURNAL_WAIT_MS 300

/* Between two questions to the holder, and how long it may take. */
#define PROBE_EVERY_MS 400
#define PROBE_LIMIT_MS 600

/* The same for a reluctant process, and how long it leaves it to others. */
#define RELUCTANT_PROBE_MS 1500
#define RELUCTANT_MS 5000

/* Unanswered questions after which a holder is taken as gone. */
#define PROBES_OF_A_LOST_HOLDER 2

/* The store answers all calls of this process for so long. */
#define STEADY_MS 900

#define APPEND_LIMIT_MS 800
#define RETRY_MS 150

/*
 * An epoch is the number of claims so far and a random part: two processes
 * that claim at once must not share one, or the store would take the second
 * one's claim for a repeat of the first one's.
 */
#define RANDOM_BITS 16

#define PROBE_PATH "/v1/shard"
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404

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
	int64_t probe_sent_ms;
	int64_t probe_epoch; /* of the holder that was asked */
	int64_t answered_ms; /* reluctant: when a holder was there last */
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
	bool holder_ended; /* its process is gone, or says it doesn't hold */
	bool others_at_work; /* when the claim was begun */
	bool append_in_flight;
	bool notice_pending; /* the holder is to be made known */
	bool notice_in_flight;
	bool notice_of_giving_up; /* what is in flight says so */
	bool leave_settled;
};

static void unref(wwh_shard_claim_t *claim);
static bool may_join(wwh_shard_claim_t *claim);
static void join(wwh_shard_claim_t *claim);
static void on_joined(const wwh_http_answer_t *answer, void *data);
static void on_notice(const char *key, const uint8_t *value, size_t size,
		      void *data);
static void watch(wwh_shard_claim_t *claim);
static bool store_is_steady(const wwh_shard_claim_t *claim);
static void probe(wwh_shard_claim_t *claim);
static void on_probed(const wwh_http_answer_t *answer, void *data);
static void begin(wwh_shard_claim_t *claim, const char *why,
		  bool others_at_work);
static void stop_reading(wwh_shard_claim_t *claim);
static void on_journal(const char *key, const uint8_t *value, size_t size,
		       void *data);
static void append_claim(wwh_shard_claim_t *claim);
static void on_claimed(const wwh_http_answer_t *answer, void *data);
static void confirm(wwh_shard_claim_t *claim);
static void make_known(wwh_shard_claim_t *claim);
static void on_made_known(const wwh_http_answer_t *answer, void *data);
static void on_left(const wwh_http_answer_t *answer, void *data);
static int64_t counter_of(const uint8_t *value, size_t size, int64_t *epoch);
static void explain(wwh_shard_claim_t *claim, const char *event,
		    const char *format, ...)
	__attribute__((format(printf, 3, 4)));

wwh_shard_claim_t *wwh_shard_claim_new(const wwh_shard_claim_options_t *options)
{
	wwh_shard_claim_t *claim = g_new0(wwh_shard_claim_t, 1);
	wwh_store_follower_options_t notices = {
		.calls = options->calls,
		.endpoint = options->store,
		.topic = options->topic,
		.part = options->notice_part,
		.wait_ms = NOTICE_WAIT_MS,
		.on_record = on_notice,
		.client_data = claim,
	};

	claim->options = *options;
	claim->store = g_strdup(options->store);
	claim->topic = g_strdup(options->topic);
	claim->self = g_strdup(options->self);
	claim->references = 1;
	claim->notices = wwh_store_follower_new(&notices);
	return claim;
}

void wwh_shard_claim_delete(wwh_shard_claim_t *claim)
{
	if (claim == NULL)
		return;
	claim->deleted = true;
	stop_reading(claim);
	wwh_store_follower_delete(claim->notices);
	claim->notices = NULL;
	unref(claim);
}

void wwh_shard_claim_run(wwh_shard_claim_t *claim, int64_t now_ms)
{
	claim->now_ms = now_ms;
	wwh_store_follower_run(claim->notices, now_ms);
	if (claim->state != CLAIM_GIVEN_UP && may_join(claim))
		join(claim);
	if (claim->notice_pending)
		make_known(claim);
	switch (claim->state) {
	case CLAIM_WATCHING:
		watch(claim);
		break;
	case CLAIM_LOADING:
		wwh_store_follower_run(claim->journal, now_ms);
		if (wwh_store_follower_caught_up(claim->journal))
			append_claim(claim);
		break;
	case CLAIM_APPENDING:
		append_claim(claim);
		break;
	case CLAIM_CONFIRMING:
		wwh_store_follower_run(claim->journal, now_ms);
		confirm(claim);
		break;
	default:
		break;
	}
}

void wwh_shard_claim_lost(wwh_shard_claim_t *claim, int64_t now_ms)
{
	claim->now_ms = now_ms;
	stop_reading(claim);
	claim->notice_pending = false;
	if (claim->state == CLAIM_GIVEN_UP)
		return;
	claim->state = CLAIM_WATCHING;
	claim->retry_ms = now_ms + RETRY_MS;
	claim->probes_failed = 0;
	claim->holder_ended = false;
	claim->probe_sent_ms = now_ms;
}

void wwh_shard_claim_give_up(wwh_shard_claim_t *claim, int64_t now_ms)
{
	wwh_http_call_t *call;
	bool held = claim->state == CLAIM_HELD;

	if (claim->state == CLAIM_GIVEN_UP)
		return;
	claim->now_ms = now_ms;
	stop_reading(claim);
	claim->state = CLAIM_GIVEN_UP;
	claim->notice_pending = held;
	claim->references++;
	call = wire_store_leave(claim->store, claim->options.group, claim->self,
				JOIN_LIMIT_MS);
	wwh_http_calls_send(claim->options.calls, call, on_left, claim);
}

bool wwh_shard_claim_given_up(const wwh_shard_claim_t *claim)
{
	return claim->state == CLAIM_GIVEN_UP && claim->leave_settled &&
	       !claim->notice_pending;
}

static void unref(wwh_shard_claim_t *claim)
{
	if (--claim->references > 0)
		return;
	g_free(claim->store);
	g_free(claim->topic);
	g_free(claim->self);
	g_free(claim->holder);
	g_free(claim->nonce);
	g_free(claim);
}

/*
 * A holder that is too slow for the shard's orders stands still for seconds,
 * is taken over, and the next one may be as slow: all work waits meanwhile.
 */
static bool may_join(wwh_shard_claim_t *claim)
{
	if (!claim->options.reluctant || claim->state != CLAIM_WATCHING)
		return true;
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
	    wire_store_join_answer(answer, claim->options.journal_part,
				   &claim->generation,
				   &assigned) == WIRE_STORE_OK) {
		if (assigned != claim->assigned)
			explain(claim, "shard-assigned",
				"assigned=%d generation=%" G_GINT64_FORMAT,
				assigned, claim->generation);
		claim->assigned = assigned;
		claim->assigned_ms = claim->join_sent_ms;
		if (claim->reached_since_ms == 0)
			claim->reached_since_ms = claim->join_sent_ms;
	} else {
		claim->reached_since_ms = 0;
	}
	unref(claim);
}

/* A notice is "EPOCH ADDRESS"; without an address nobody holds the shard. */
static void on_notice(const char *key, const uint8_t *value, size_t size,
		      void *data)
{
	wwh_shard_claim_t *claim = data;
	char *text;
	char *address;
	int64_t epoch;

	if (value == NULL || strcmp(key, NOTICE_KEY) != 0)
		return;
	text = g_strndup((const char *)value, size);
	epoch = g_ascii_strtoll(text, &address, 10);
	claim->highest_counter =
		MAX(claim->highest_counter, epoch >> RANDOM_BITS);
	if (epoch >= claim->holder_epoch) {
		address = g_strstrip(address);
		claim->holder_epoch = epoch;
		g_free(claim->holder);
		claim->holder = address[0] == '\0' ? NULL : g_strdup(address);
		claim->probes_failed = 0;
		claim->holder_ended = false;
		claim->options.on_holder(claim->holder, epoch,
					 claim->options.client_data);
	}
	g_free(text);
}

static void watch(wwh_shard_claim_t *claim)
{
	bool assigned = claim->assigned && claim->now_ms - claim->assigned_ms <
						   claim->options.member_ttl_ms;

	if (!assigned || !wwh_store_follower_caught_up(claim->notices) ||
	    claim->now_ms < claim->retry_ms)
		return;
	if (claim->holder == NULL) {
		begin(claim, "no-holder", false);
	} else if (strcmp(claim->holder, claim->self) == 0) {
		begin(claim, "restarted", false);
	} else if (claim->holder_ended) {
		begin(claim, "holder-ended", false);
	} else if (claim->probes_failed >= PROBES_OF_A_LOST_HOLDER &&
		   store_is_steady(claim)) {
		begin(claim, "holder-silent", true);
	} else if (!claim->probe_in_flight &&
		   claim->now_ms - claim->probe_sent_ms >= PROBE_EVERY_MS) {
		probe(claim);
	}
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

	call->path = g_strdup(PROBE_PATH);
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
	bool holds = answer->outcome == WWH_CALL_ANSWERED &&
		     answer->status == STATUS_OK;

	claim->probe_in_flight = false;
	if (claim->probe_epoch == claim->holder_epoch) {
		claim->probes_failed = holds ? 0 : claim->probes_failed + 1;
		claim->holder_ended = answer->outcome == WWH_CALL_REFUSED ||
				      (answer->outcome == WWH_CALL_ANSWERED &&
				       answer->status == STATUS_NOT_FOUND);
	}
	unref(claim);
}

static void begin(wwh_shard_claim_t *claim, const char *why,
		  bool others_at_work)
{
	wwh_store_follower_options_t journal = {
		.calls = claim->options.calls,
		.endpoint = claim->store,
		.topic = claim->topic,
		.part = claim->options.journal_part,
		.wait_ms = JOURNAL_WAIT_MS,
		.on_record = on_journal,
		.client_data = claim,
	};

	explain(claim, "shard-claim-begun",
		"why=%s holder=%s holder_epoch=%" G_GINT64_FORMAT, why,
		claim->holder == NULL ? "-" : claim->holder,
		claim->holder_epoch);
	claim->state = CLAIM_LOADING;
	claim->others_at_work = others_at_work;
	claim->epoch = 0;
	claim->records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       (GDestroyNotify)g_bytes_unref);
	claim->journal = wwh_store_follower_new(&journal);
}

static void stop_reading(wwh_shard_claim_t *claim)
{
	wwh_store_follower_delete(claim->journal);
	claim->journal = NULL;
	if (claim->records != NULL)
		g_hash_table_destroy(claim->records);
	claim->records = NULL;
}

static void on_journal(const char *key, const uint8_t *value, size_t size,
		       void *data)
{
	wwh_shard_claim_t *claim = data;
	int64_t epoch;

	if (value == NULL) {
		g_hash_table_remove(claim->records, key);
		return;
	}
	g_hash_table_replace(claim->records, g_strdup(key),
			     g_bytes_new(value, size));
	if (strcmp(key, CLAIM_KEY) == 0)
		claim->highest_counter = MAX(claim->highest_counter,
					     counter_of(value, size, &epoch));
}

/*
 * Sent again with the same epoch and sequence number until its result is
 * known: given up half way, a claim that arrives late would fence off the
 * holder that this process or another has become meanwhile.
 */
static void append_claim(wwh_shard_claim_t *claim)
{
	wire_writer_t writer = { .producer = claim->options.producer };
	GByteArray *body;
	wwh_http_call_t *call;

	if (claim->append_in_flight || claim->now_ms < claim->retry_ms)
		return;
	if (claim->epoch == 0) {
		claim->epoch = (claim->highest_counter + 1) << RANDOM_BITS |
			       g_random_int_range(0, 1 << RANDOM_BITS);
		g_free(claim->nonce);
		claim->nonce = g_strdup_printf("%" G_GINT64_FORMAT " %08x%08x",
					       claim->epoch, g_random_int(),
					       g_random_int());
	}
	writer.epoch = claim->epoch;
	body = g_byte_array_new();
	wire_store_pack(body, CLAIM_KEY, (const uint8_t *)claim->nonce,
			strlen(claim->nonce));
	call = wire_store_append(claim->store, claim->topic,
				 claim->options.journal_part, &writer, body,
				 APPEND_LIMIT_MS);
	claim->state = CLAIM_APPENDING;
	claim->append_in_flight = true;
	claim->append_sent_ms = claim->now_ms;
	claim->references++;
	wwh_http_calls_send(claim->options.calls, call, on_claimed, claim);
}

static void on_claimed(const wwh_http_answer_t *answer, void *data)
{
	wwh_shard_claim_t *claim = data;
	wire_store_result_t result = wire_store_append_answer(answer);

	claim->append_in_flight = false;
	if (claim->deleted || claim->state != CLAIM_APPENDING) {
		unref(claim);
		return;
	}
	switch (result) {
	case WIRE_STORE_OK:
		claim->state = CLAIM_CONFIRMING;
		break;
	case WIRE_STORE_FENCED:
	case WIRE_STORE_SEQUENCE:
		/* somebody else has claimed with a higher epoch */
		explain(claim, "shard-claim-refused",
			"epoch=%" G_GINT64_FORMAT " result=%s", claim->epoch,
			wire_store_result_names[result]);
		claim->highest_counter++;
		stop_reading(claim);
		claim->state = CLAIM_WATCHING;
		claim->retry_ms = claim->now_ms + RETRY_MS;
		break;
	default:
		claim->retry_ms = claim->append_sent_ms + RETRY_MS;
		break;
	}
	unref(claim);
}

/*
 * All records before the claim were read when its own record is. A claim of
 * another process behind it shows as another value of the same key.
 */
static void confirm(wwh_shard_claim_t *claim)
{
	GBytes *value = g_hash_table_lookup(claim->records, CLAIM_KEY);
	GHashTable *records = claim->records;
	wwh_held_t held;
	int64_t epoch = 0;
	const char *text;
	gsize size = 0;

	/*
	 * While all keys are read again, as the log was trimmed meanwhile,
	 * the claim may be among those read and others still be old.
	 */
	if (value == NULL || wwh_store_follower_reading_all(claim->journal))
		return;
	text = g_bytes_get_data(value, &size);
	if (counter_of((const uint8_t *)text, size, &epoch) > claim->epoch >>
	    RANDOM_BITS) {
		explain(claim, "shard-claim-overtaken",
			"epoch=%" G_GINT64_FORMAT " other=%" G_GINT64_FORMAT,
			claim->epoch, epoch);
		wwh_shard_claim_lost(claim, claim->now_ms);
		return;
	}
	if (size != strlen(claim->nonce) ||
	    memcmp(text, claim->nonce, size) != 0)
		return;
	claim->records = NULL;
	stop_reading(claim);
	claim->state = CLAIM_HELD;
	claim->notice_pending = true;
	explain(claim, "shard-held", "epoch=%" G_GINT64_FORMAT " records=%u",
		claim->epoch, g_hash_table_size(records));
	held.epoch = claim->epoch;
	held.holder_count = claim->epoch >> RANDOM_BITS;
	held.next_sequence = 1;
	held.records = records;
	held.others_at_work = claim->others_at_work;
	claim->options.on_held(&held, claim->options.client_data);
	g_hash_table_destroy(records);
	if (claim->state == CLAIM_HELD)
		make_known(claim);
}

static void make_known(wwh_shard_claim_t *claim)
{
	wire_writer_t writer = {
		.producer = claim->options.producer,
		.epoch = claim->epoch,
	};
	GByteArray *body;
	wwh_http_call_t *call;
	char *text;

	if (claim->notice_in_flight || claim->now_ms < claim->notice_retry_ms)
		return;
	writer.sequence = claim->state == CLAIM_GIVEN_UP;
	text = g_strdup_printf("%" G_GINT64_FORMAT " %s", claim->epoch,
			       claim->state == CLAIM_GIVEN_UP ? ""
							      : claim->self);
	body = g_byte_array_new();
	wire_store_pack(body, NOTICE_KEY, (const uint8_t *)text, strlen(text));
	g_free(text);
	call = wire_store_append(claim->store, claim->topic,
				 claim->options.notice_part, &writer, body,
				 APPEND_LIMIT_MS);
	claim->notice_in_flight = true;
	claim->notice_epoch = claim->epoch;
	claim->notice_of_giving_up = claim->state == CLAIM_GIVEN_UP;
	claim->references++;
	wwh_http_calls_send(claim->options.calls, call, on_made_known, claim);
}

/*
 * The claim may have been lost and made again since the notice was sent. Taken
 * as settled by the old notice, no process would learn that the shard is held.
 */
static void on_made_known(const wwh_http_answer_t *answer, void *data)
{
	wwh_shard_claim_t *claim = data;
	bool newest =
		claim->notice_epoch == claim->epoch &&
		claim->notice_of_giving_up == (claim->state == CLAIM_GIVEN_UP);
	wire_store_result_t result = wire_store_append_answer(answer);

	claim->notice_in_flight = false;
	if (result == WIRE_STORE_NOT_DONE || result == WIRE_STORE_UNKNOWN ||
	    result == WIRE_STORE_FULL)
		claim->notice_retry_ms = claim->now_ms + RETRY_MS;
	else if (newest)
		claim->notice_pending = false;
	unref(claim);
}

static void on_left(const wwh_http_answer_t *answer, void *data)
{
	wwh_shard_claim_t *claim = data;

	(void)answer; /* unanswered, the group notices by itself */
	claim->leave_settled = true;
	unref(claim);
}

static int64_t counter_of(const uint8_t *value, size_t size, int64_t *epoch)
{
	char *text = g_strndup((const char *)value, size);

	*epoch = g_ascii_strtoll(text, NULL, 10);
	g_free(text);
	return *epoch >> RANDOM_BITS;
}

static void explain(wwh_shard_claim_t *claim, const char *event,
		    const char *format, ...)
{
	char detail[256];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(detail, sizeof(detail), format, arguments);
	va_end(arguments);
	claim->options.explain(event, detail, claim->options.client_data);
}
