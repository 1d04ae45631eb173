#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <string.h>

#include "intent_fixture.h"

#define P1 "entry-1.1"
#define P2 "entry-2.1"

/* A state with one log; the verdict of the last item. */
typedef struct {
	wwh_intents_t *intents;
	int64_t next;
	wwh_intent_verdict_t verdict;
	wwh_verdict_detail_t detail;
} log_t;

static void note_verdict(const char *author, const char *service,
			 const char *key, int64_t sequence,
			 wwh_intent_verdict_t verdict, void *client_data)
{
	(void)author;
	(void)service;
	(void)key;
	(void)sequence;
	*(wwh_intent_verdict_t *)client_data = verdict;
}

static wwh_verdict_t append(log_t *log, wwh_record_t *record)
{
	wwh_verdict_t verdict =
		wwh_intents_apply(log->intents, log->next++, record,
				  note_verdict, &log->verdict, &log->detail);

	wwh_record_clear(record);
	wwh_intents_check(log->intents);
	return verdict;
}

static wwh_intent_verdict_t intend(log_t *log, const char *process,
				   const char *key, uint8_t request,
				   int64_t sequence)
{
	wwh_record_t record;

	intents_record(&record, process);
	intents_add(&record, key, request, sequence);
	assert_int_equal(append(log, &record), WWH_VERDICT_ACCEPTED);
	return log->verdict;
}

static wwh_intent_verdict_t finish(log_t *log, const char *process,
				   const char *key, int64_t sequence,
				   wwh_result_t result, const char *body)
{
	wwh_record_t record;

	results_record(&record, process);
	results_add(&record, key, sequence, result, body);
	assert_int_equal(append(log, &record), WWH_VERDICT_ACCEPTED);
	return log->verdict;
}

static wwh_verdict_t abandon(log_t *log, const char *process)
{
	wwh_record_t record;

	abandon_record(&record, P2, process);
	return append(log, &record);
}

static wwh_verdict_t expire(log_t *log, int64_t keys, int64_t tombstones)
{
	wwh_record_t record;

	expire_record(&record, P2, keys, tombstones);
	return append(log, &record);
}

static wwh_key_state_t key_state(const log_t *log, const char *key)
{
	return wwh_intents_lookup_key(log->intents, FIXTURE_SERVICE, key, NULL,
				      NULL);
}

static void start_log(log_t *log, const wwh_intent_limits_t *limits)
{
	memset(log, 0, sizeof(*log));
	log->intents = wwh_intents_new(limits);
}

/*
 * A caller's charge goes through one entry process; the answer is slow and
 * the caller repeats it through another. The second intent loses in log
 * order: the caller hears "in progress", later the first one's answer, and
 * the charge is sent once.
 */
static void a_repeat_through_another_process_is_not_sent(void **unused)
{
	uint8_t other[WWH_FINGERPRINT_BYTES] = { 9 };
	wwh_key_view_t view;
	log_t log;

	(void)unused;
	start_log(&log, NULL);
	assert_int_equal(intend(&log, P1, "k", 1, 7), WWH_INTENT_ACCEPTED);
	assert_int_equal(intend(&log, P2, "k", 1, 3), WWH_INTENT_IN_PROGRESS);
	assert_true(
		wwh_intents_may_send(log.intents, FIXTURE_SERVICE, "k", P1, 7));
	assert_false(
		wwh_intents_may_send(log.intents, FIXTURE_SERVICE, "k", P2, 3));
	assert_int_equal(finish(&log, P1, "k", 7, WWH_RESULT_ANSWERED, "paid"),
			 WWH_INTENT_RESULT_ACCEPTED);
	assert_int_equal(intend(&log, P2, "k", 1, 4), WWH_INTENT_ANSWERED);
	assert_int_equal(wwh_intents_lookup_key(log.intents, FIXTURE_SERVICE,
						"k", NULL, &view),
			 WWH_KEY_ANSWERED);
	assert_int_equal(view.http_status, 200);
	assert_int_equal(g_bytes_get_size(view.body), 4);
	assert_string_equal(view.process, P1);
	assert_int_equal(wwh_intents_lookup_key(log.intents, FIXTURE_SERVICE,
						"k", other, NULL),
			 WWH_KEY_OTHER_REQUEST);
	assert_false(
		wwh_intents_may_send(log.intents, FIXTURE_SERVICE, "k", P1, 7));
	wwh_intents_delete(log.intents);
}

static void a_key_of_another_request_is_refused(void **unused)
{
	log_t log;

	(void)unused;
	start_log(&log, NULL);
	assert_int_equal(intend(&log, P1, "k", 1, 1), WWH_INTENT_ACCEPTED);
	assert_int_equal(intend(&log, P2, "k", 2, 1), WWH_INTENT_OTHER_REQUEST);
	wwh_intents_delete(log.intents);
}

/* The answer of an append was lost and the batch was appended a second time. */
static void a_batch_that_was_appended_twice_counts_once(void **unused)
{
	log_t log;

	(void)unused;
	start_log(&log, NULL);
	assert_int_equal(intend(&log, P1, "k", 1, 7), WWH_INTENT_ACCEPTED);
	assert_int_equal(intend(&log, P1, "k", 1, 7), WWH_INTENT_REPEATED);
	assert_int_equal(intend(&log, P1, "k", 1, 8), WWH_INTENT_IN_PROGRESS);
	assert_int_equal(wwh_intents_totals(log.intents).keys, 1);
	wwh_intents_delete(log.intents);
}

static void not_run_may_be_tried_again(void **unused)
{
	log_t log;

	(void)unused;
	start_log(&log, NULL);
	intend(&log, P1, "k", 1, 1);
	assert_int_equal(finish(&log, P2, "k", 1, WWH_RESULT_NOT_RUN, ""),
			 WWH_INTENT_RESULT_NO_INTENT);
	assert_int_equal(finish(&log, P1, "k", 1, WWH_RESULT_NOT_RUN, ""),
			 WWH_INTENT_RESULT_ACCEPTED);
	assert_int_equal(key_state(&log, "k"), WWH_KEY_NOT_RUN);
	assert_int_equal(intend(&log, P2, "k", 1, 1), WWH_INTENT_ACCEPTED);
	assert_int_equal(finish(&log, P1, "k", 1, WWH_RESULT_ANSWERED, "x"),
			 WWH_INTENT_RESULT_NO_INTENT);
	assert_int_equal(key_state(&log, "k"), WWH_KEY_IN_PROGRESS);
	wwh_intents_delete(log.intents);
}

/*
 * An entry process is paused with a charge in progress and declared gone. The
 * key becomes unknown: nobody may run it again. When the process wakes it may
 * send nothing, and its new intents are refused. If it had sent the request
 * just before the pause, its late answer is the true one and is kept.
 */
static void a_paused_process_that_was_abandoned_may_not_send(void **unused)
{
	log_t log;

	(void)unused;
	start_log(&log, NULL);
	intend(&log, P1, "k", 1, 1);
	assert_int_equal(abandon(&log, P1), WWH_VERDICT_ACCEPTED);
	assert_int_equal(abandon(&log, P1), WWH_VERDICT_ALREADY);
	assert_int_equal(key_state(&log, "k"), WWH_KEY_UNKNOWN);
	assert_false(
		wwh_intents_may_send(log.intents, FIXTURE_SERVICE, "k", P1, 1));
	assert_int_equal(intend(&log, P1, "j", 1, 2), WWH_INTENT_ABANDONED);
	assert_int_equal(key_state(&log, "j"), WWH_KEY_NONE);
	assert_int_equal(intend(&log, P2, "k", 1, 1), WWH_INTENT_UNKNOWN);
	assert_int_equal(finish(&log, P1, "k", 1, WWH_RESULT_ANSWERED, "paid"),
			 WWH_INTENT_RESULT_ACCEPTED);
	assert_int_equal(intend(&log, P2, "k", 1, 2), WWH_INTENT_ANSWERED);
	wwh_intents_delete(log.intents);
}

/*
 * A caller repeats a key after its window. The answer is gone, but the
 * tombstone says that it was used: it must hear "expired", never run again.
 * A process with a fast clock can't drop key and tombstone with one record,
 * and a late record of a paused one changes nothing.
 */
static void an_expired_key_is_not_run_again(void **unused)
{
	log_t log;

	(void)unused;
	start_log(&log, NULL);
	intend(&log, P1, "k", 1, 1);
	finish(&log, P1, "k", 1, WWH_RESULT_ANSWERED, "paid");
	assert_int_equal(expire(&log, 2, 2), WWH_VERDICT_INVALID);
	assert_int_equal(expire(&log, 99, 0), WWH_VERDICT_INVALID);
	assert_int_equal(expire(&log, 2, 0), WWH_VERDICT_ACCEPTED);
	assert_int_equal(key_state(&log, "k"), WWH_KEY_EXPIRED);
	assert_int_equal(intend(&log, P2, "k", 1, 1), WWH_INTENT_EXPIRED);
	assert_int_equal(finish(&log, P1, "k", 1, WWH_RESULT_ANSWERED, "x"),
			 WWH_INTENT_RESULT_NO_INTENT);
	assert_int_equal(expire(&log, 1, 0), WWH_VERDICT_ALREADY);
	assert_int_equal(expire(&log, 2, 2), WWH_VERDICT_ACCEPTED);
	assert_int_equal(key_state(&log, "k"), WWH_KEY_NONE);
	assert_int_equal(wwh_intents_totals(log.intents).tombstones, 0);
	wwh_intents_delete(log.intents);
}

/*
 * More keys come than the table holds. The oldest becomes a tombstone; when
 * those are full too, new requests are refused as not run. Nothing that ran
 * is ever forgotten for room.
 */
static void full_tables_refuse_and_do_not_forget(void **unused)
{
	wwh_intent_limits_t limits = { .keys_max = 2,
				       .tombstones_max = 2,
				       .bodies_max_bytes = 100,
				       .abandoned_max = 2 };
	log_t log;

	(void)unused;
	start_log(&log, &limits);
	assert_int_equal(intend(&log, P1, "a", 1, 1), WWH_INTENT_ACCEPTED);
	assert_int_equal(intend(&log, P1, "b", 1, 2), WWH_INTENT_ACCEPTED);
	assert_int_equal(intend(&log, P1, "c", 1, 3), WWH_INTENT_ACCEPTED);
	assert_int_equal(key_state(&log, "a"), WWH_KEY_EXPIRED);
	assert_int_equal(intend(&log, P1, "d", 1, 4), WWH_INTENT_ACCEPTED);
	assert_int_equal(intend(&log, P1, "e", 1, 5), WWH_INTENT_FULL);
	assert_int_equal(intend(&log, P1, "a", 1, 6), WWH_INTENT_EXPIRED);
	assert_int_equal(intend(&log, P1, "c", 1, 7), WWH_INTENT_IN_PROGRESS);
	assert_int_equal(wwh_intents_totals(log.intents).expired_early, 2);
	wwh_intents_delete(log.intents);
}

static void the_oldest_answers_lose_their_bodies_first(void **unused)
{
	wwh_intent_limits_t limits = { .keys_max = 8,
				       .tombstones_max = 8,
				       .bodies_max_bytes = 10,
				       .abandoned_max = 2 };
	wwh_key_view_t view;
	log_t log;

	(void)unused;
	start_log(&log, &limits);
	intend(&log, P1, "a", 1, 1);
	intend(&log, P1, "b", 1, 2);
	finish(&log, P1, "b", 2, WWH_RESULT_ANSWERED, "123456");
	finish(&log, P1, "a", 1, WWH_RESULT_ANSWERED, "654321");
	assert_int_equal(wwh_intents_lookup_key(log.intents, FIXTURE_SERVICE,
						"b", NULL, &view),
			 WWH_KEY_ANSWERED);
	assert_false(view.body_kept);
	wwh_intents_lookup_key(log.intents, FIXTURE_SERVICE, "a", NULL, &view);
	assert_true(view.body_kept);
	assert_int_equal(wwh_intents_totals(log.intents).body_bytes, 6);
	wwh_intents_delete(log.intents);
}

static void a_batch_is_decided_item_by_item(void **unused)
{
	wwh_record_t record;
	log_t log;

	(void)unused;
	start_log(&log, NULL);
	intents_record(&record, P1);
	intents_add(&record, "a", 1, 1);
	intents_add(&record, "b", 1, 2);
	intents_add(&record, "a", 1, 3);
	assert_int_equal(append(&log, &record), WWH_VERDICT_ACCEPTED);
	assert_int_equal(log.verdict, WWH_INTENT_IN_PROGRESS);
	assert_true(
		wwh_intents_may_send(log.intents, FIXTURE_SERVICE, "a", P1, 1));
	assert_true(
		wwh_intents_may_send(log.intents, FIXTURE_SERVICE, "b", P1, 2));
	assert_false(
		wwh_intents_may_send(log.intents, FIXTURE_SERVICE, "a", P1, 3));
	wwh_record_init(&record, WWH_RECORD_LEASE_TAKE, P1);
	assert_int_equal(append(&log, &record), WWH_VERDICT_MALFORMED);
	assert_int_equal(
		wwh_intents_verdict_count(log.intents, WWH_VERDICT_MALFORMED),
		1);
	assert_int_equal(
		wwh_intents_item_count(log.intents, WWH_INTENT_ACCEPTED), 2);
	wwh_intents_delete(log.intents);
}

static void a_fingerprint_tells_requests_apart(void **unused)
{
	uint8_t a[WWH_FINGERPRINT_BYTES];
	uint8_t b[WWH_FINGERPRINT_BYTES];

	(void)unused;
	wwh_intent_fingerprint("POST", "/a", (const uint8_t *)"b", 1, a);
	wwh_intent_fingerprint("POST", "/a", (const uint8_t *)"b", 1, b);
	assert_memory_equal(a, b, sizeof(a));
	wwh_intent_fingerprint("POST", "/ab", (const uint8_t *)"", 0, b);
	assert_memory_not_equal(a, b, sizeof(a));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_repeat_through_another_process_is_not_sent),
		cmocka_unit_test(a_key_of_another_request_is_refused),
		cmocka_unit_test(a_batch_that_was_appended_twice_counts_once),
		cmocka_unit_test(not_run_may_be_tried_again),
		cmocka_unit_test(
			a_paused_process_that_was_abandoned_may_not_send),
		cmocka_unit_test(an_expired_key_is_not_run_again),
		cmocka_unit_test(full_tables_refuse_and_do_not_forget),
		cmocka_unit_test(the_oldest_answers_lose_their_bodies_first),
		cmocka_unit_test(a_batch_is_decided_item_by_item),
		cmocka_unit_test(a_fingerprint_tells_requests_apart),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
