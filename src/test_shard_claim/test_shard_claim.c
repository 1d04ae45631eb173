/*
 * Which process claims a shard, and when, on stand-ins of the store and of the
 * processes that hold the shard.
 */

#include "../test_standins/include/free_port.h"
#include "claim_fixture.h"

/* Time until a silent holder is replaced if the previous one's term was long. */
#define SILENT_HOLDER_REPLACED_MS 1300

static void unheld_shard_is_claimed_with_its_records(void **state)
{
	fixture_t *fixture = *state;

	put_record(fixture, "0", "Ja", "job a");
	put_record(fixture, "0", "Jb", "job b");
	start_claim(fixture, false);
	run_until_held(fixture);
	run_for(fixture, 300);
	assert_int_equal(fixture->held.epoch >> 16, 1);
	/* including the claim's own record */
	assert_int_equal(fixture->held_record_count, 3);
	assert_false(fixture->held.previous_holder_may_act);
	assert_false(fixture->held.previous_holder_ended);
	assert_string_equal(fixture->holder, SELF);
}

static void answering_holder_is_not_replaced(void **state)
{
	fixture_t *fixture = *state;

	publish_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_probed(fixture, 0, 4);
	assert_int_equal(fixture->held.epoch, 0);
	assert_string_equal(fixture->event_log,
			    "shard-assigned assigned=1 generation=1\n");
}

/* Upstreams may still get its orders; the next holder has to wait for them. */
static void silent_holder_is_replaced_and_counts_as_at_work(void **state)
{
	fixture_t *fixture = *state;

	set_status(&fixture->peers[0], 0);
	publish_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	assert_true(fixture->held.previous_holder_may_act);
	assert_true(get_probe_count(&fixture->peers[0]) >= 2);
}

/*
 * Guards against a chain of claims: holders that recover a large shard answer
 * late, and each would be replaced before it has finished.
 */
static void holder_after_short_term_gets_more_time(void **state)
{
	fixture_t *fixture = *state;

	publish_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_probed(fixture, 0, 1);
	set_status(&fixture->peers[1], 0);
	publish_holder(fixture, fixture->peers[1].address, EPOCH(5));
	run_for(fixture,
		SILENT_HOLDER_REPLACED_MS + SILENT_HOLDER_REPLACED_MS / 2);
	assert_int_equal(fixture->held.epoch, 0);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 6);
	assert_true(fixture->held.inherits_load);
}

/*
 * Guards against a shard without a holder after two processes claimed it at once:
 * the second one released it because of the first one's late notice.
 */
static void notice_of_older_claim_does_not_end_holder(void **state)
{
	fixture_t *fixture = *state;

	/* the other process's claim is number 4, and this one's is 5 */
	put_record(fixture, "0", "C", "262144 0123456789abcdef");
	fixture->late_notice = "262144 127.0.0.1:2";
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	run_for(fixture, 300);
	assert_int_equal(fixture->foreign_notices, 0);
	assert_string_equal(fixture->holder, SELF);
	publish_holder(fixture, fixture->peers[0].address, EPOCH(6));
	run_for(fixture, 300);
	assert_int_equal(fixture->foreign_notices, 1);
}

static void set_rival_claim(fixture_t *fixture, int64_t ahead)
{
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->has_rival_claim = true;
	fixture->standin->rival_ahead = ahead;
	g_mutex_unlock(&fixture->standin->lock);
}

/*
 * Guards against a process that waits for good for its own claim, and keeps the
 * group from naming another one, after a claim with an equal counter and a higher
 * epoch: once the other process is gone, nobody holds the shard.
 */
static void overtaken_claim_leads_back_to_watching(void **state)
{
	fixture_t *fixture = *state;

	set_rival_claim(fixture, 1);
	start_claim(fixture, false);
	run_for(fixture, 500);
	assert_int_equal(fixture->held.epoch, 0);
	assert_false(wwh_shard_claim_in_progress(fixture->claim));
	publish_holder(fixture, fixture->peers[0].address, EPOCH(1) + 65535);
	run_until_probed(fixture, 0, 2);
	assert_int_equal(fixture->held.epoch, 0);
	set_status(&fixture->peers[0], 404);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 2);
}

/* Guards against the same where the epochs are equal in all their bits. */
static void claim_of_equal_epoch_is_lost(void **state)
{
	fixture_t *fixture = *state;

	set_rival_claim(fixture, 0);
	start_claim(fixture, false);
	run_for(fixture, 500);
	assert_int_equal(fixture->held.epoch, 0);
	assert_false(wwh_shard_claim_in_progress(fixture->claim));
}

/*
 * Guards against a process that takes the shard back from one that has just claimed
 * it and hasn't published its notice.
 */
static void overtaken_claim_awaits_notice_of_successor(void **state)
{
	fixture_t *fixture = *state;

	publish_holder(fixture, SELF, EPOCH(4));
	set_rival_claim(fixture, 1);
	start_claim(fixture, false);
	run_for(fixture, 1000);
	assert_int_equal(fixture->held.epoch, 0);
	/* it never comes */
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 6);
}

/*
 * Guards against two holders with an equal count of claims: both would number their
 * runs from the same number.
 */
static void claims_of_equal_counter_get_different_counts(void **state)
{
	fixture_t *fixture = *state;

	set_rival_claim(fixture, -1);
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_int_equal(fixture->held.claim_count, 2);
}

/*
 * Guards against a process that claims again for good, while the store forgets each
 * record as soon as a newer one of its key is there.
 */
static void claim_is_held_while_store_trims_its_log(void **state)
{
	fixture_t *fixture = *state;

	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->short_history = true;
	g_mutex_unlock(&fixture->standin->lock);
	put_record(fixture, "0", "Ja", "job a");
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_true(fixture->held.claim_count <= 2);
}

static void holder_that_reports_not_held_is_replaced(void **state)
{
	fixture_t *fixture = *state;

	set_status(&fixture->peers[0], 404);
	publish_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	assert_false(fixture->held.previous_holder_may_act);
	assert_true(fixture->held.previous_holder_ended);
}

/*
 * A holder's answer to a probe, that it no longer holds the shard, arrives after
 * another process has become the holder. Guards against attributing that answer to
 * the new holder, which was replaced while at work, without waiting for its orders.
 */
static void probe_answer_does_not_apply_to_next_holder(void **state)
{
	fixture_t *fixture = *state;
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;

	set_status(&fixture->peers[0], 0);
	publish_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_probed(fixture, 0, 1);
	publish_holder(fixture, fixture->peers[1].address, EPOCH(5));
	while (g_strcmp0(fixture->holder, fixture->peers[1].address) != 0 &&
	       standin_now_ms() < end_ms)
		run_for(fixture, 10);
	set_status(&fixture->peers[0], 404);
	run_for(fixture, 1500);
	assert_null(strstr(fixture->event_log, "shard-claim-begun"));
	assert_int_equal(fixture->held.epoch, 0);
	assert_true(get_probe_count(&fixture->peers[1]) >= 2);
}

/*
 * The answer to a notice is slow; meanwhile the claim is lost and made again.
 * Guards against taking the old notice's answer for that of the new notice, which
 * was never sent: all other processes rejected callers, though the shard was held.
 */
static void each_claim_publishes_its_own_notice(void **state)
{
	fixture_t *fixture = *state;
	int64_t first;

	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->notice_delay_ms = 700;
	g_mutex_unlock(&fixture->standin->lock);
	start_claim(fixture, false);
	run_until_held(fixture);
	first = fixture->held.epoch;
	fixture->held.epoch = 0;
	wwh_shard_claim_handle_loss(fixture->claim, standin_now_ms());
	run_until_held(fixture);
	assert_true(fixture->held.epoch > first);
	run_for(fixture, 1500);
	assert_int_equal(fixture->holder_epoch, fixture->held.epoch);
}

/* Another process claims after this one has read the journal. */
static void rejected_claim_is_retried(void **state)
{
	fixture_t *fixture = *state;

	g_mutex_lock(&fixture->standin->lock);
	standin_part(fixture->standin, TOPIC, "0")->epoch = EPOCH(2);
	g_mutex_unlock(&fixture->standin->lock);
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_non_null(strstr(fixture->event_log, "shard-claim-refused"));
	assert_true(fixture->held.epoch >= EPOCH(2));
}

/*
 * Another writer has stored a malformed value under the notice's key. Guards against
 * reading it as a notice with a very high epoch: all later notices were ignored,
 * and a process that held the shard released it.
 */
static void malformed_notice_is_ignored(void **state)
{
	static const char *const texts[] = {
		"9223372036854775807 10.0.0.9:1",
		"99999999999999999999 10.0.0.9:1",
		"no holder",
		"524288",
		"524288 nobody",
		"524288 10.0.0.9:1 10.0.0.8:1",
		"-524288 10.0.0.9:1",
		"\xff\xfe",
	};
	fixture_t *fixture = *state;

	publish_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_probed(fixture, 0, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		put_record(fixture, "1", "holder", texts[i]);
		run_for(fixture, 150);
		assert_string_equal(fixture->holder, fixture->peers[0].address);
		assert_int_equal(fixture->holder_epoch, EPOCH(4));
	}
	publish_holder(fixture, fixture->peers[1].address, EPOCH(5));
	run_for(fixture, 300);
	assert_string_equal(fixture->holder, fixture->peers[1].address);
}

/*
 * Another writer has stored a malformed value under the claim's key. Guards against
 * taking its number for the highest epoch: the next epoch overflowed, the store
 * rejected it for ever, and no process could hold the shard.
 */
static void malformed_claim_record_is_ignored(void **state)
{
	static const char *const texts[] = {
		"9223372036854775807 0011223344556677",
		"-5 0011223344556677",
		"what",
		"",
	};
	fixture_t *fixture = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		put_record(fixture, "0", i % 2 == 0 ? "C" : "Cx", texts[i]);
	put_record(fixture, "0", "C", texts[0]);
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_true(fixture->held.epoch > 0);
	assert_true(fixture->held.epoch < EPOCH(100));
}

/*
 * All processes are killed and restart within a second. Guards against rejecting
 * callers until the group drops the member that it had assigned the shard to, which
 * takes up to its whole time limit. The process that the notice names is back and
 * surely doesn't hold the shard any more, and a claim doesn't depend on the group:
 * it claims as soon as it has read its own address.
 */
static void restarted_holder_claims_without_group(void **state)
{
	fixture_t *fixture = *state;

	assign_to_other_process(fixture);
	publish_holder(fixture, SELF, EPOCH(4));
	start_claim(fixture, false);
	run_for(fixture, MEMBER_TTL_MS / 2);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	assert_null(strstr(fixture->event_log, "shard-assigned"));
}

/*
 * A holder loses the shard to a claim whose notice isn't published yet. The current
 * notice still has its own address, but it must not claim the shard back: the two
 * processes would replace each other endlessly.
 */
static void holder_that_lost_shard_waits_for_group(void **state)
{
	fixture_t *fixture = *state;

	start_claim(fixture, false);
	run_until_held(fixture);
	run_for(fixture, 100);
	assert_string_equal(fixture->holder, SELF);
	fixture->held.epoch = 0;
	assign_to_other_process(fixture);
	run_for(fixture, MEMBER_TTL_MS / 2);
	assert_non_null(
		strstr(fixture->event_log, "shard-assigned assigned=0"));
	assign_to_other_process(fixture);
	wwh_shard_claim_handle_loss(fixture->claim, standin_now_ms());
	run_for(fixture, MEMBER_TTL_MS / 2);
	assert_int_equal(fixture->held.epoch, 0);
}

/* A standby process waits for the group even after a restart. */
static void restarted_standby_holder_waits_for_group(void **state)
{
	fixture_t *fixture = *state;

	assign_to_other_process(fixture);
	publish_holder(fixture, SELF, EPOCH(4));
	start_claim(fixture, true);
	run_for(fixture, MEMBER_TTL_MS / 2);
	assert_int_equal(fixture->held.epoch, 0);
}

/*
 * All processes were killed and are small. Guards against a shard that nobody holds
 * for the 5 s that a small process waits for a silent holder, although the holder's
 * connections are refused; others get 2 s to claim before.
 */
static void standby_joins_soon_after_the_holder_has_ended(void **state)
{
	fixture_t *fixture = *state;
	int64_t began_ms = standin_now_ms();
	char *ended = g_strdup_printf("127.0.0.1:%d", (int)standin_free_port());

	publish_holder(fixture, ended, EPOCH(4));
	start_claim(fixture, true);
	run_until_held(fixture);
	assert_in_range(standin_now_ms() - began_ms, 2000, 4900);
	g_free(ended);
}

/*
 * A holder restarts and claims; the process that the group assigned the shard to
 * probes it at that time. Guards against the answer that it doesn't hold the shard:
 * the assigned process claims too, the first one serves for a tenth of a second,
 * and all upstreams are polled twice.
 */
static void claim_in_progress_is_reported(void **state)
{
	fixture_t *fixture = *state;

	publish_holder(fixture, SELF, EPOCH(4));
	start_claim(fixture, false);
	assert_false(wwh_shard_claim_in_progress(fixture->claim));
	while (!wwh_shard_claim_in_progress(fixture->claim))
		run_once(fixture);
	set_busy(fixture, true);
	run_for(fixture, 500);
	assert_int_equal(fixture->held.epoch, 0);
	assert_true(wwh_shard_claim_in_progress(fixture->claim));
	set_busy(fixture, false);
	run_until_held(fixture);
	assert_false(wwh_shard_claim_in_progress(fixture->claim));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		HANDOVER_TESTS,
		cmocka_unit_test_setup_teardown(
			unheld_shard_is_claimed_with_its_records, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			answering_holder_is_not_replaced, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			silent_holder_is_replaced_and_counts_as_at_work, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			holder_after_short_term_gets_more_time, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			notice_of_older_claim_does_not_end_holder, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			overtaken_claim_leads_back_to_watching, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(claim_of_equal_epoch_is_lost,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			overtaken_claim_awaits_notice_of_successor, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			claims_of_equal_counter_get_different_counts, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			claim_is_held_while_store_trims_its_log, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			holder_that_reports_not_held_is_replaced, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			probe_answer_does_not_apply_to_next_holder, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			each_claim_publishes_its_own_notice, set_up, tear_down),
		cmocka_unit_test_setup_teardown(rejected_claim_is_retried,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(malformed_notice_is_ignored,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			malformed_claim_record_is_ignored, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			restarted_holder_claims_without_group, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			holder_that_lost_shard_waits_for_group, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			restarted_standby_holder_waits_for_group, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			standby_joins_soon_after_the_holder_has_ended, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(claim_in_progress_is_reported,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
