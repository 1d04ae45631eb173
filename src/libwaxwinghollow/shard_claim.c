#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "private/shard_claim_state.h"
#include "wire_store.h"

#define CLAIM_KEY "C"

#define LEAVE_TIMEOUT_MS 700

/*
 * Each process makes a call after each wait. A silent connection hides a change of
 * holder for so long, unless a call to the holder fails, which begins a read anew.
 */
#define NOTICE_WAIT_MS 6000
#define JOURNAL_WAIT_MS 300

#define APPEND_TIMEOUT_MS 800
#define RETRY_MS 150

/*
 * A host that became slow stays slow for some seconds. Without this delay the
 * group might assign the shard to it again, and it would take the shard back.
 */
#define WITHDRAWAL_MS 10000

/* Twice the time that the successor needs for its claim with a slow store. */
#define SUCCESSOR_CLAIM_MS 2000

static void stop_journal_read(wwh_shard_claim_t *claim);
static void on_journal_record(const char *key, const uint8_t *value,
			      size_t size, void *data);
static void append_claim(wwh_shard_claim_t *claim);
static void on_claim_appended(const wwh_http_answer_t *answer, void *data);
static void observe_claim(wwh_shard_claim_t *claim, int64_t epoch, bool is_own);
static void confirm_claim(wwh_shard_claim_t *claim);
static void await_successor(wwh_shard_claim_t *claim, int64_t epoch);
static void abandon_claim(wwh_shard_claim_t *claim, const char *why);
static void hold_shard(wwh_shard_claim_t *claim);
static void publish_notice(wwh_shard_claim_t *claim);
static void on_notice_published(const wwh_http_answer_t *answer, void *data);
static void leave_group(wwh_shard_claim_t *claim, wwh_http_done_t done);
static void on_group_left(const wwh_http_answer_t *answer, void *data);
static void on_group_left_for_withdrawal(const wwh_http_answer_t *answer,
					 void *data);

wwh_shard_claim_t *wwh_shard_claim_new(const wwh_shard_claim_options_t *options)
{
	wwh_shard_claim_t *claim = g_new0(wwh_shard_claim_t, 1);
	wwh_store_follower_options_t notices = {
		.calls = options->calls,
		.endpoint = options->store,
		.topic = options->topic,
		.part = options->notice_part,
		.wait_ms = NOTICE_WAIT_MS,
		.link_kbps = options->link_kbps,
		.on_record = claim_on_notice,
		.on_unreadable_key = claim_on_unreadable_key,
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
	stop_journal_read(claim);
	wwh_store_follower_delete(claim->notices);
	claim->notices = NULL;
	claim_unref(claim);
}

void wwh_shard_claim_refresh(wwh_shard_claim_t *claim)
{
	if (claim->notices != NULL)
		wwh_store_follower_refresh(claim->notices, claim->now_ms);
}

void wwh_shard_claim_run(wwh_shard_claim_t *claim, int64_t now_ms)
{
	claim->now_ms = now_ms;
	wwh_store_follower_run(claim->notices, now_ms);
	if (claim->state != CLAIM_RELEASED)
		claim_renew_membership(claim);
	if (claim->notice_pending)
		publish_notice(claim);
	switch (claim->state) {
	case CLAIM_WATCHING:
		claim_check_holder(claim);
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
		confirm_claim(claim);
		break;
	default:
		break;
	}
}

bool wwh_shard_claim_in_progress(const wwh_shard_claim_t *claim)
{
	return claim->state == CLAIM_LOADING ||
	       claim->state == CLAIM_APPENDING ||
	       claim->state == CLAIM_CONFIRMING;
}

void wwh_shard_claim_handle_loss(wwh_shard_claim_t *claim, int64_t now_ms)
{
	claim->now_ms = now_ms;
	stop_journal_read(claim);
	claim->notice_pending = false;
	if (claim->state == CLAIM_RELEASED)
		return;
	claim->state = CLAIM_WATCHING;
	claim->retry_ms = now_ms + RETRY_MS;
	claim->probes_failed = 0;
	claim->holder_has_ended = false;
	claim->holder_released = false;
	claim->holder_orders_pending = false;
	claim->yielding_since_ms = 0;
	claim->probe_sent_ms = now_ms;
}

void wwh_shard_claim_handle_handover(wwh_shard_claim_t *claim, int64_t now_ms)
{
	wwh_shard_claim_handle_loss(claim, now_ms);
	claim->retry_ms = now_ms + SUCCESSOR_CLAIM_MS;
}

void wwh_shard_claim_set_withdrawn(wwh_shard_claim_t *claim, bool withdrawn,
				   int64_t now_ms)
{
	bool was_withdrawn = now_ms < claim->withdrawn_until_ms;

	if (claim->state != CLAIM_HELD || withdrawn == was_withdrawn)
		return;
	claim->withdrawn_until_ms = withdrawn ? now_ms + WITHDRAWAL_MS : 0;
	if (!withdrawn)
		return;
	claim_log_event(claim, "shard-left-to-others",
			"epoch=%" G_GINT64_FORMAT, claim->epoch);
	leave_group(claim, on_group_left_for_withdrawal);
}

void wwh_shard_claim_release(wwh_shard_claim_t *claim, int64_t now_ms)
{
	bool was_held = claim->state == CLAIM_HELD;

	if (claim->state == CLAIM_RELEASED)
		return;
	claim->now_ms = now_ms;
	stop_journal_read(claim);
	claim->state = CLAIM_RELEASED;
	claim->notice_pending = was_held;
	leave_group(claim, on_group_left);
}

bool wwh_shard_claim_is_released(const wwh_shard_claim_t *claim)
{
	return claim->state == CLAIM_RELEASED && claim->leave_ended &&
	       !claim->notice_pending;
}

void claim_unref(wwh_shard_claim_t *claim)
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

void claim_begin(wwh_shard_claim_t *claim, const char *why,
		 bool previous_holder_may_act)
{
	wwh_store_follower_options_t journal = {
		.calls = claim->options.calls,
		.endpoint = claim->store,
		.topic = claim->topic,
		.part = claim->options.journal_part,
		.wait_ms = JOURNAL_WAIT_MS,
		.link_kbps = claim->options.link_kbps,
		.on_record = on_journal_record,
		.on_unreadable_key = claim_on_unreadable_key,
		.client_data = claim,
	};

	claim_log_event(claim, "shard-claim-begun",
			"why=%s holder=%s holder_epoch=%" G_GINT64_FORMAT, why,
			claim->holder == NULL ? "-" : claim->holder,
			claim->holder_epoch);
	claim->state = CLAIM_LOADING;
	claim->is_repeated = false;
	claim->previous_holder_may_act = previous_holder_may_act;
	claim->previous_holder_ended = claim->holder != NULL &&
				       claim->holder_has_ended &&
				       !claim->holder_released;
	claim->inherits_load =
		claim->holder_released || previous_holder_may_act;
	claim->epoch = 0;
	claim->records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       (GDestroyNotify)g_bytes_unref);
	claim->journal = wwh_store_follower_new(&journal);
}

static void stop_journal_read(wwh_shard_claim_t *claim)
{
	wwh_store_follower_delete(claim->journal);
	claim->journal = NULL;
	if (claim->records != NULL)
		g_hash_table_destroy(claim->records);
	claim->records = NULL;
}

static void on_journal_record(const char *key, const uint8_t *value,
			      size_t size, void *data)
{
	wwh_shard_claim_t *claim = data;
	int64_t epoch;

	if (value == NULL) {
		g_hash_table_remove(claim->records, key);
		return;
	}
	if (strcmp(key, CLAIM_KEY) == 0) {
		bool is_valid = claim_read_record(value, size, &epoch);

		claim_report_record(claim, key, is_valid);
		/*
		 * A malformed record must not replace this claim's record in
		 * records, or the claim would never be confirmed.
		 */
		if (!is_valid)
			return;
		claim->highest_counter =
			MAX(claim->highest_counter, epoch >> CLAIM_RANDOM_BITS);
		observe_claim(claim, epoch,
			      claim->nonce != NULL &&
				      size == strlen(claim->nonce) &&
				      memcmp(value, claim->nonce, size) == 0);
	}
	g_hash_table_replace(claim->records, g_strdup(key),
			     g_bytes_new(value, size));
}

/*
 * Compares the record of a claim with the one that this process has sent. The
 * store takes claims in the order of their epochs, of which the counter is only
 * the upper part; two processes that claim at once have read the same counter.
 */
static void observe_claim(wwh_shard_claim_t *claim, int64_t epoch, bool is_own)
{
	if (claim->epoch == 0)
		return;
	if (is_own) {
		claim->own_record_read = true;
		/*
		 * A claim before this one may have been trimmed unread. A
		 * store that trims all the time leaves nothing else to read,
		 * so this counts once.
		 */
		if (wwh_store_follower_in_full_read(claim->journal) &&
		    !claim->is_repeated)
			claim->counter_is_shared = true;
	} else if (epoch >= claim->epoch) {
		claim->overtaken_by_epoch = epoch;
	} else if (epoch >> CLAIM_RANDOM_BITS ==
		   claim->epoch >> CLAIM_RANDOM_BITS) {
		claim->counter_is_shared = true;
	}
}

/*
 * Sends the claim with the same epoch and sequence number until its result is
 * known: if it were abandoned, the record might arrive late and fence off the
 * process that has become the holder meanwhile, this one or another.
 */
static void append_claim(wwh_shard_claim_t *claim)
{
	wire_writer_t writer = { .producer = claim->options.producer };
	GByteArray *body;
	wwh_http_call_t *call;

	if (claim->append_in_flight || claim->now_ms < claim->retry_ms)
		return;
	if (claim->epoch == 0) {
		claim->epoch = (claim->highest_counter + 1)
				       << CLAIM_RANDOM_BITS |
			       g_random_int_range(0, 1 << CLAIM_RANDOM_BITS);
		g_free(claim->nonce);
		claim->nonce = g_strdup_printf("%" G_GINT64_FORMAT " %08x%08x",
					       claim->epoch, g_random_int(),
					       g_random_int());
		claim->claimed_ms = claim->now_ms;
		claim->own_record_read = false;
		claim->counter_is_shared = false;
		claim->overtaken_by_epoch = 0;
	}
	writer.epoch = claim->epoch;
	body = g_byte_array_new();
	wire_store_pack_record(body, CLAIM_KEY, (const uint8_t *)claim->nonce,
			       strlen(claim->nonce));
	call = wire_store_append(claim->store, claim->topic,
				 claim->options.journal_part, &writer, body,
				 APPEND_TIMEOUT_MS);
	claim->state = CLAIM_APPENDING;
	claim->has_claimed = true;
	claim->append_in_flight = true;
	claim->append_sent_ms = claim->now_ms;
	claim->references++;
	wwh_http_calls_send(claim->options.calls, call, on_claim_appended,
			    claim);
}

static void on_claim_appended(const wwh_http_answer_t *answer, void *data)
{
	wwh_shard_claim_t *claim = data;
	wire_store_result_t result = wire_store_append_answer(answer);

	claim->append_in_flight = false;
	if (claim->deleted || claim->state != CLAIM_APPENDING) {
		claim_unref(claim);
		return;
	}
	switch (result) {
	case WIRE_STORE_OK:
		claim->state = CLAIM_CONFIRMING;
		claim->appended_ms = claim->now_ms;
		break;
	case WIRE_STORE_FENCED:
	case WIRE_STORE_SEQUENCE:
		/* another process has claimed with a higher epoch */
		claim_log_event(claim, "shard-claim-refused",
				"epoch=%" G_GINT64_FORMAT " result=%s",
				claim->epoch, wire_store_result_names[result]);
		claim->highest_counter++;
		await_successor(claim, claim->epoch + 1);
		break;
	default:
		claim->retry_ms = claim->append_sent_ms + RETRY_MS;
		break;
	}
	claim_unref(claim);
}

/*
 * When the claim's own record has been read, so have all records before it, and
 * nobody else's later ones count unless its epoch is higher.
 */
static void confirm_claim(wwh_shard_claim_t *claim)
{
	/*
	 * During a full read that was repeated because the log was trimmed,
	 * the claim may already have been read while other records are still
	 * outdated.
	 */
	if (wwh_store_follower_in_full_read(claim->journal))
		return;
	if (claim->overtaken_by_epoch != 0) {
		claim_log_event(claim, "shard-claim-overtaken",
				"epoch=%" G_GINT64_FORMAT
				" other=%" G_GINT64_FORMAT,
				claim->epoch, claim->overtaken_by_epoch);
		await_successor(claim, claim->overtaken_by_epoch);
	} else if (!claim->own_record_read) {
		if (wwh_store_follower_complete_ms(claim->journal) >
		    claim->appended_ms)
			abandon_claim(claim, "record-replaced");
	} else if (claim->counter_is_shared) {
		claim_log_event(claim, "shard-claim-repeated",
				"epoch=%" G_GINT64_FORMAT, claim->epoch);
		claim->is_repeated = true;
		claim->epoch = 0;
		append_claim(claim);
	} else {
		hold_shard(claim);
	}
}

/* Another process has claimed: no claim until its notice, or for a while. */
static void await_successor(wwh_shard_claim_t *claim, int64_t epoch)
{
	wwh_shard_claim_handle_loss(claim, claim->now_ms);
	claim->successor_epoch = epoch;
	claim->successor_until_ms = claim->now_ms + SUCCESSOR_CLAIM_MS;
}

static void abandon_claim(wwh_shard_claim_t *claim, const char *why)
{
	claim_log_event(claim, "shard-claim-abandoned",
			"epoch=%" G_GINT64_FORMAT " why=%s", claim->epoch, why);
	wwh_shard_claim_handle_loss(claim, claim->now_ms);
}

static void hold_shard(wwh_shard_claim_t *claim)
{
	GHashTable *records = claim->records;
	wwh_shard_holding_t held;

	claim->records = NULL;
	stop_journal_read(claim);
	claim->state = CLAIM_HELD;
	claim->notice_pending = true;
	claim_log_event(claim, "shard-held",
			"epoch=%" G_GINT64_FORMAT " records=%u", claim->epoch,
			g_hash_table_size(records));
	held.epoch = claim->epoch;
	held.claim_count = claim->epoch >> CLAIM_RANDOM_BITS;
	held.claimed_ms = claim->claimed_ms;
	held.next_sequence = 1;
	held.records = records;
	held.previous_holder_may_act = claim->previous_holder_may_act;
	held.previous_holder_ended = claim->previous_holder_ended;
	held.inherits_load = claim->inherits_load;
	claim->options.on_held(&held, claim->options.client_data);
	g_hash_table_destroy(records);
	if (claim->state == CLAIM_HELD)
		publish_notice(claim);
}

static void publish_notice(wwh_shard_claim_t *claim)
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
	writer.sequence = claim->state == CLAIM_RELEASED;
	text = g_strdup_printf("%" G_GINT64_FORMAT " %s", claim->epoch,
			       claim->state == CLAIM_RELEASED ? ""
							      : claim->self);
	body = g_byte_array_new();
	wire_store_pack_record(body, CLAIM_NOTICE_KEY, (const uint8_t *)text,
			       strlen(text));
	g_free(text);
	call = wire_store_append(claim->store, claim->topic,
				 claim->options.notice_part, &writer, body,
				 APPEND_TIMEOUT_MS);
	claim->notice_in_flight = true;
	claim->notice_epoch = claim->epoch;
	claim->notice_is_release = claim->state == CLAIM_RELEASED;
	claim->references++;
	wwh_http_calls_send(claim->options.calls, call, on_notice_published,
			    claim);
}

/*
 * The claim may have been lost and made again since the notice was sent. If the
 * old notice's answer cleared notice_pending, the new claim's notice would never
 * be published, and no process would learn that the shard is held.
 */
static void on_notice_published(const wwh_http_answer_t *answer, void *data)
{
	wwh_shard_claim_t *claim = data;
	bool is_current =
		claim->notice_epoch == claim->epoch &&
		claim->notice_is_release == (claim->state == CLAIM_RELEASED);
	wire_store_result_t result = wire_store_append_answer(answer);

	claim->notice_in_flight = false;
	if (result == WIRE_STORE_NOT_DONE || result == WIRE_STORE_UNKNOWN ||
	    result == WIRE_STORE_FULL)
		claim->notice_retry_ms = claim->now_ms + RETRY_MS;
	else if (is_current)
		claim->notice_pending = false;
	claim_unref(claim);
}

static void leave_group(wwh_shard_claim_t *claim, wwh_http_done_t done)
{
	wwh_http_call_t *call =
		wire_store_leave(claim->store, claim->options.group,
				 claim->self, LEAVE_TIMEOUT_MS);

	claim->references++;
	wwh_http_calls_send(claim->options.calls, call, done, claim);
}

static void on_group_left(const wwh_http_answer_t *answer, void *data)
{
	wwh_shard_claim_t *claim = data;

	(void)answer; /* without one, the membership expires */
	claim->leave_ended = true;
	claim_unref(claim);
}

static void on_group_left_for_withdrawal(const wwh_http_answer_t *answer,
					 void *data)
{
	(void)answer; /* without one, the membership expires */
	claim_unref(data);
}

void claim_log_event(wwh_shard_claim_t *claim, const char *event,
		     const char *format, ...)
{
	char detail[256];
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(detail, sizeof(detail), format, arguments);
	va_end(arguments);
	claim->options.explain(event, detail, claim->options.client_data);
}
