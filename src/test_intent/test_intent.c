#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <string.h>

#include "intent_fixture.h"

#define ENTRY_1 "entry-1.1"
#define ENTRY_2 "entry-2.1"

/* A reducer, the next offset of its log and the verdict on the last item. */
typedef struct {
	wwh_intents_t *intents;
	int64_t next;
	wwh_intent_verdict_t verdict;
	wwh_verdict_detail_t detail;
} fixture_t;

static void store_verdict(const char *author, const char *service,
			  const char *key, int64_t sequence,
			  wwh_intent_verdict_t verdict, void *client_data)
{
	(void)author;
	(void)service;
	(void)key;
	(void)sequence;
	*(wwh_intent_verdict_t *)client_data = verdict;
}

static wwh_verdict_t append(fixture_t *fixture, wwh_record_t *record)
{
	wwh_verdict_t verdict = wwh_intents_apply(
		fixture->intents, fixture->next++, record, store_verdict,
		&fixture->verdict, &fixture->detail);

	wwh_record_clear(record);
	wwh_intents_check(fixture->intents);
	return verdict;
}

static wwh_intent_verdict_t append_intent(fixture_t *fixture,
					  const char *process, const char *key,
					  uint8_t request, int64_t sequence)
{
	wwh_record_t record;

	intents_record(&record, process);
	intents_add(&record, key, request, sequence);
	assert_int_equal(append(fixture, &record), WWH_VERDICT_ACCEPTED);
	return fixture->verdict;
}

static wwh_intent_verdict_t append_result(fixture_t *fixture,
					  const char *process, const char *key,
					  int64_t sequence, wwh_result_t result,
					  const char *body)
{
	wwh_record_t record;

	results_record(&record, process);
	results_add(&record, key, sequence, result, body);
	assert_int_equal(append(fixture, &record), WWH_VERDICT_ACCEPTED);
	return fixture->verdict;
}

static wwh_verdict_t append_abandon(fixture_t *fixture, const char *process)
{
	wwh_record_t record;

	abandon_record(&record, ENTRY_2, process);
	return append(fixture, &record);
}

static wwh_verdict_t append_expire(fixture_t *fixture, int64_t keys,
				   int64_t tombstones)
{
	wwh_record_t record;

	expire_record(&record, ENTRY_2, keys, tombstones);
	return append(fixture, &record);
}

static wwh_key_state_t key_state(const fixture_t *fixture, const char *key)
{
	return wwh_intents_lookup_key(fixture->intents, FIXTURE_SERVICE, key,
				      NULL, NULL);
}

static void fixture_start(fixture_t *fixture, const wwh_intent_limits_t *limits)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->intents = wwh_intents_new(limits);
}

/*
 * A caller sends a charge through one entry process; the answer is slow and the
 * caller repeats the charge through another process. The second intent is later
 * in log order, so the caller gets "in progress", later the answer of the first
 * attempt, and the charge is sent once.
 */
static void a_repeat_through_another_process_is_not_sent(void **unused)
{
	uint8_t other[WWH_FINGERPRINT_BYTES] = { 9 };
	wwh_key_view_t view;
	fixture_t fixture;

	(void)unused;
	fixture_start(&fixture, NULL);
	assert_int_equal(append_intent(&fixture, ENTRY_1, "k", 1, 7),
			 WWH_INTENT_ACCEPTED);
	assert_int_equal(append_intent(&fixture, ENTRY_2, "k", 1, 3),
			 WWH_INTENT_IN_PROGRESS);
	assert_true(wwh_intents_may_send(fixture.intents, FIXTURE_SERVICE, "k",
					 ENTRY_1, 7));
	assert_false(wwh_intents_may_send(fixture.intents, FIXTURE_SERVICE, "k",
					  ENTRY_2, 3));
	assert_int_equal(append_result(&fixture, ENTRY_1, "k", 7,
				       WWH_RESULT_ANSWERED, "paid"),
			 WWH_INTENT_RESULT_ACCEPTED);
	assert_int_equal(append_intent(&fixture, ENTRY_2, "k", 1, 4),
			 WWH_INTENT_ANSWERED);
	assert_int_equal(wwh_intents_lookup_key(fixture.intents,
						FIXTURE_SERVICE, "k", NULL,
						&view),
			 WWH_KEY_ANSWERED);
	assert_int_equal(view.http_status, 200);
	assert_int_equal(g_bytes_get_size(view.body), 4);
	assert_string_equal(view.process, ENTRY_1);
	assert_int_equal(wwh_intents_lookup_key(fixture.intents,
						FIXTURE_SERVICE, "k", other,
						NULL),
			 WWH_KEY_OTHER_REQUEST);
	assert_false(wwh_intents_may_send(fixture.intents, FIXTURE_SERVICE, "k",
					  ENTRY_1, 7));
	wwh_intents_delete(fixture.intents);
}

static void a_key_of_another_request_is_rejected(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_start(&fixture, NULL);
	assert_int_equal(append_intent(&fixture, ENTRY_1, "k", 1, 1),
			 WWH_INTENT_ACCEPTED);
	assert_int_equal(append_intent(&fixture, ENTRY_2, "k", 2, 1),
			 WWH_INTENT_OTHER_REQUEST);
	wwh_intents_delete(fixture.intents);
}

/* A batch is appended twice because the answer to its append was lost. */
static void a_batch_that_was_appended_twice_counts_once(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_start(&fixture, NULL);
	assert_int_equal(append_intent(&fixture, ENTRY_1, "k", 1, 7),
			 WWH_INTENT_ACCEPTED);
	assert_int_equal(append_intent(&fixture, ENTRY_1, "k", 1, 7),
			 WWH_INTENT_REPEATED);
	assert_int_equal(append_intent(&fixture, ENTRY_1, "k", 1, 8),
			 WWH_INTENT_IN_PROGRESS);
	assert_int_equal(wwh_intents_totals(fixture.intents).keys, 1);
	wwh_intents_delete(fixture.intents);
}

static void a_request_that_was_not_run_may_run_again(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_start(&fixture, NULL);
	append_intent(&fixture, ENTRY_1, "k", 1, 1);
	assert_int_equal(append_result(&fixture, ENTRY_2, "k", 1,
				       WWH_RESULT_NOT_RUN, ""),
			 WWH_INTENT_RESULT_NO_INTENT);
	assert_int_equal(append_result(&fixture, ENTRY_1, "k", 1,
				       WWH_RESULT_NOT_RUN, ""),
			 WWH_INTENT_RESULT_ACCEPTED);
	assert_int_equal(key_state(&fixture, "k"), WWH_KEY_NOT_RUN);
	assert_int_equal(append_intent(&fixture, ENTRY_2, "k", 1, 1),
			 WWH_INTENT_ACCEPTED);
	assert_int_equal(append_result(&fixture, ENTRY_1, "k", 1,
				       WWH_RESULT_ANSWERED, "x"),
			 WWH_INTENT_RESULT_NO_INTENT);
	assert_int_equal(key_state(&fixture, "k"), WWH_KEY_IN_PROGRESS);
	wwh_intents_delete(fixture.intents);
}

/*
 * An entry process is paused with a charge in progress and is abandoned. The
 * key becomes unknown: no process may run it again. After the pause the process
 * must not send the request, and its new intents are rejected. If it had sent
 * the request just before the pause, its late answer is valid and is stored.
 */
static void a_paused_process_that_was_abandoned_may_not_send(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_start(&fixture, NULL);
	append_intent(&fixture, ENTRY_1, "k", 1, 1);
	assert_int_equal(append_abandon(&fixture, ENTRY_1),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(append_abandon(&fixture, ENTRY_1),
			 WWH_VERDICT_ALREADY);
	assert_int_equal(key_state(&fixture, "k"), WWH_KEY_UNKNOWN);
	assert_false(wwh_intents_may_send(fixture.intents, FIXTURE_SERVICE, "k",
					  ENTRY_1, 1));
	assert_int_equal(append_intent(&fixture, ENTRY_1, "j", 1, 2),
			 WWH_INTENT_ABANDONED);
	assert_int_equal(key_state(&fixture, "j"), WWH_KEY_NONE);
	assert_int_equal(append_intent(&fixture, ENTRY_2, "k", 1, 1),
			 WWH_INTENT_UNKNOWN);
	assert_int_equal(append_result(&fixture, ENTRY_1, "k", 1,
				       WWH_RESULT_ANSWERED, "paid"),
			 WWH_INTENT_RESULT_ACCEPTED);
	assert_int_equal(append_intent(&fixture, ENTRY_2, "k", 1, 2),
			 WWH_INTENT_ANSWERED);
	wwh_intents_delete(fixture.intents);
}

/*
 * A caller repeats a key after its window. The answer is no longer stored, but
 * the tombstone shows that the key was used: the caller must get "expired", and
 * the request must not run again. A process with a fast clock can't drop key
 * and tombstone with one record, and a late record of a paused process has no
 * effect.
 */
static void an_expired_key_is_not_run_again(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_start(&fixture, NULL);
	append_intent(&fixture, ENTRY_1, "k", 1, 1);
	append_result(&fixture, ENTRY_1, "k", 1, WWH_RESULT_ANSWERED, "paid");
	assert_int_equal(append_expire(&fixture, 2, 2), WWH_VERDICT_INVALID);
	assert_int_equal(append_expire(&fixture, 99, 0), WWH_VERDICT_INVALID);
	assert_int_equal(append_expire(&fixture, 2, 0), WWH_VERDICT_ACCEPTED);
	assert_int_equal(key_state(&fixture, "k"), WWH_KEY_EXPIRED);
	assert_int_equal(append_intent(&fixture, ENTRY_2, "k", 1, 1),
			 WWH_INTENT_EXPIRED);
	assert_int_equal(append_result(&fixture, ENTRY_1, "k", 1,
				       WWH_RESULT_ANSWERED, "x"),
			 WWH_INTENT_RESULT_NO_INTENT);
	assert_int_equal(append_expire(&fixture, 1, 0), WWH_VERDICT_ALREADY);
	assert_int_equal(append_expire(&fixture, 2, 2), WWH_VERDICT_ACCEPTED);
	assert_int_equal(key_state(&fixture, "k"), WWH_KEY_NONE);
	assert_int_equal(wwh_intents_totals(fixture.intents).tombstones, 0);
	wwh_intents_delete(fixture.intents);
}

/*
 * There are more keys than the table can hold. The oldest key becomes
 * a tombstone; when the table of tombstones is full too, new requests are
 * rejected as not run. A key that may have run is never dropped to free space.
 */
static void full_tables_reject_intents_and_drop_no_key(void **unused)
{
	wwh_intent_limits_t limits = { .keys_max = 2,
				       .tombstones_max = 2,
				       .bodies_max_bytes = 100,
				       .abandoned_max = 2 };
	fixture_t fixture;

	(void)unused;
	fixture_start(&fixture, &limits);
	assert_int_equal(append_intent(&fixture, ENTRY_1, "a", 1, 1),
			 WWH_INTENT_ACCEPTED);
	assert_int_equal(append_intent(&fixture, ENTRY_1, "b", 1, 2),
			 WWH_INTENT_ACCEPTED);
	assert_int_equal(append_intent(&fixture, ENTRY_1, "c", 1, 3),
			 WWH_INTENT_ACCEPTED);
	assert_int_equal(key_state(&fixture, "a"), WWH_KEY_EXPIRED);
	assert_int_equal(append_intent(&fixture, ENTRY_1, "d", 1, 4),
			 WWH_INTENT_ACCEPTED);
	assert_int_equal(append_intent(&fixture, ENTRY_1, "e", 1, 5),
			 WWH_INTENT_FULL);
	assert_int_equal(append_intent(&fixture, ENTRY_1, "a", 1, 6),
			 WWH_INTENT_EXPIRED);
	assert_int_equal(append_intent(&fixture, ENTRY_1, "c", 1, 7),
			 WWH_INTENT_IN_PROGRESS);
	assert_int_equal(wwh_intents_totals(fixture.intents).expired_early, 2);
	wwh_intents_delete(fixture.intents);
}

static void the_oldest_answers_lose_their_bodies_first(void **unused)
{
	wwh_intent_limits_t limits = { .keys_max = 8,
				       .tombstones_max = 8,
				       .bodies_max_bytes = 10,
				       .abandoned_max = 2 };
	wwh_key_view_t view;
	fixture_t fixture;

	(void)unused;
	fixture_start(&fixture, &limits);
	append_intent(&fixture, ENTRY_1, "a", 1, 1);
	append_intent(&fixture, ENTRY_1, "b", 1, 2);
	append_result(&fixture, ENTRY_1, "b", 2, WWH_RESULT_ANSWERED, "123456");
	append_result(&fixture, ENTRY_1, "a", 1, WWH_RESULT_ANSWERED, "654321");
	assert_int_equal(wwh_intents_lookup_key(fixture.intents,
						FIXTURE_SERVICE, "b", NULL,
						&view),
			 WWH_KEY_ANSWERED);
	assert_false(view.body_kept);
	wwh_intents_lookup_key(fixture.intents, FIXTURE_SERVICE, "a", NULL,
			       &view);
	assert_true(view.body_kept);
	assert_int_equal(wwh_intents_totals(fixture.intents).body_bytes, 6);
	wwh_intents_delete(fixture.intents);
}

static void each_item_of_a_batch_gets_a_verdict(void **unused)
{
	wwh_record_t record;
	fixture_t fixture;

	(void)unused;
	fixture_start(&fixture, NULL);
	intents_record(&record, ENTRY_1);
	intents_add(&record, "a", 1, 1);
	intents_add(&record, "b", 1, 2);
	intents_add(&record, "a", 1, 3);
	assert_int_equal(append(&fixture, &record), WWH_VERDICT_ACCEPTED);
	assert_int_equal(fixture.verdict, WWH_INTENT_IN_PROGRESS);
	assert_true(wwh_intents_may_send(fixture.intents, FIXTURE_SERVICE, "a",
					 ENTRY_1, 1));
	assert_true(wwh_intents_may_send(fixture.intents, FIXTURE_SERVICE, "b",
					 ENTRY_1, 2));
	assert_false(wwh_intents_may_send(fixture.intents, FIXTURE_SERVICE, "a",
					  ENTRY_1, 3));
	wwh_record_init(&record, WWH_RECORD_LEASE_TAKE, ENTRY_1);
	assert_int_equal(append(&fixture, &record), WWH_VERDICT_MALFORMED);
	assert_int_equal(wwh_intents_verdict_count(fixture.intents,
						   WWH_VERDICT_MALFORMED),
			 1);
	assert_int_equal(
		wwh_intents_item_count(fixture.intents, WWH_INTENT_ACCEPTED),
		2);
	wwh_intents_delete(fixture.intents);
}

static void fingerprints_of_different_requests_differ(void **unused)
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
		cmocka_unit_test(a_key_of_another_request_is_rejected),
		cmocka_unit_test(a_batch_that_was_appended_twice_counts_once),
		cmocka_unit_test(a_request_that_was_not_run_may_run_again),
		cmocka_unit_test(
			a_paused_process_that_was_abandoned_may_not_send),
		cmocka_unit_test(an_expired_key_is_not_run_again),
		cmocka_unit_test(full_tables_reject_intents_and_drop_no_key),
		cmocka_unit_test(the_oldest_answers_lose_their_bodies_first),
		cmocka_unit_test(each_item_of_a_batch_gets_a_verdict),
		cmocka_unit_test(fingerprints_of_different_requests_differ),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
