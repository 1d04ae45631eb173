/*
 * Who claims a shard, and when, on a stand-in of the store and of the
 * processes that hold it.
 */

#include "claim_fixture.h"

/* Until a silent holder is replaced, where the one before it held for long. */
#define SILENT_HOLDER_MS 1300

static void a_shard_that_nobody_holds_is_claimed_with_its_records(void **state)
{
	fixture_t *fixture = *state;

	put(fixture, "0", "Ja", "job a");
	put(fixture, "0", "Jb", "job b");
	start_claim(fixture, false);
	run_until_held(fixture);
	run_for(fixture, 300);
	assert_int_equal(fixture->held.epoch >> 16, 1);
	assert_int_equal(fixture->records, 3); /* the claim's own too */
	assert_false(fixture->held.others_at_work);
	assert_false(fixture->held.others_ended);
	assert_string_equal(fixture->holder, SELF);
}

static void a_holder_that_answers_is_left_alone(void **state)
{
	fixture_t *fixture = *state;

	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 4);
	assert_int_equal(fixture->held.epoch, 0);
	assert_string_equal(fixture->lines,
			    "shard-assigned assigned=1 generation=1\n");
}

/* Its upstreams may still get its orders: the next one has to wait for them. */
static void a_silent_holder_is_replaced_as_one_that_may_be_at_work(void **state)
{
	fixture_t *fixture = *state;

	set_status(&fixture->peers[0], 0);
	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	assert_true(fixture->held.others_at_work);
	assert_true(times_asked(&fixture->peers[0]) >= 2);
}

/*
 * Guards against a chain of claims: holders that recover a large shard answer
 * late, and each would be replaced before it has.
 */
static void a_holder_after_a_short_lived_one_gets_more_time(void **state)
{
	fixture_t *fixture = *state;

	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 1);
	set_status(&fixture->peers[1], 0);
	make_holder(fixture, fixture->peers[1].address, EPOCH(5));
	run_for(fixture, SILENT_HOLDER_MS + SILENT_HOLDER_MS / 2);
	assert_int_equal(fixture->held.epoch, 0);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 6);
	assert_true(fixture->held.inherits_load);
}

/*
 * Guards against a shard that nobody holds after two processes claimed it at
 * once: the second one gave it up for the first one's late notice.
 */
static void a_notice_of_an_older_claim_ends_no_holder(void **state)
{
	fixture_t *fixture = *state;

	/* the other one's claim is number 4, and this one's 5 */
	put(fixture, "0", "C", "262144 0123456789abcdef");
	fixture->late_notice = "262144 127.0.0.1:2";
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	run_for(fixture, 300);
	assert_int_equal(fixture->others, 0);
	assert_string_equal(fixture->holder, SELF);
	make_holder(fixture, fixture->peers[0].address, EPOCH(6));
	run_for(fixture, 300);
	assert_int_equal(fixture->others, 1);
}

static void a_holder_that_says_it_holds_no_more_is_replaced(void **state)
{
	fixture_t *fixture = *state;

	set_status(&fixture->peers[0], 404);
	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	assert_false(fixture->held.others_at_work);
	assert_true(fixture->held.others_ended);
}

/*
 * A holder is asked and doesn't answer at once; another process becomes the
 * holder; then the first one says that it holds no more. That was taken for
 * an answer of the new holder, which was replaced while it was at work, and
 * its orders weren't waited for.
 */
static void an_answer_says_nothing_of_the_next_holder(void **state)
{
	fixture_t *fixture = *state;
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;

	set_status(&fixture->peers[0], 0);
	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 1);
	make_holder(fixture, fixture->peers[1].address, EPOCH(5));
	while (g_strcmp0(fixture->holder, fixture->peers[1].address) != 0 &&
	       standin_now_ms() < end_ms)
		run_for(fixture, 10);
	set_status(&fixture->peers[0], 404);
	run_for(fixture, 1500);
	assert_null(strstr(fixture->lines, "shard-claim-begun"));
	assert_int_equal(fixture->held.epoch, 0);
	assert_true(times_asked(&fixture->peers[1]) >= 2);
}

/*
 * The answer to a notice is slow; meanwhile the claim is lost and made again.
 * The old notice's answer was taken for the new one's, which was never sent:
 * all other processes turned callers away, though the shard was held.
 */
static void each_claim_is_made_known_by_a_notice_of_its_own(void **state)
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

/* Another process claims between this one's reading and its claim. */
static void a_claim_that_the_store_refuses_is_begun_anew(void **state)
{
	fixture_t *fixture = *state;

	g_mutex_lock(&fixture->standin->lock);
	standin_part(fixture->standin, TOPIC, "0")->epoch = EPOCH(2);
	g_mutex_unlock(&fixture->standin->lock);
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_non_null(strstr(fixture->lines, "shard-claim-refused"));
	assert_true(fixture->held.epoch >= EPOCH(2));
}

/*
 * Another writer has put something else in the notice's place. It was read as
 * a notice of a far later holder: the real one's were passed over from then
 * on, and a process that held the shard gave it up.
 */
static void a_notice_that_cant_be_read_is_passed_over(void **state)
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

	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		put(fixture, "1", "holder", texts[i]);
		run_for(fixture, 150);
		assert_string_equal(fixture->holder, fixture->peers[0].address);
		assert_int_equal(fixture->holder_epoch, EPOCH(4));
	}
	make_holder(fixture, fixture->peers[1].address, EPOCH(5));
	run_for(fixture, 300);
	assert_string_equal(fixture->holder, fixture->peers[1].address);
}

/*
 * Another writer has put something else in the claim's place. Its number was
 * taken for the highest epoch so far, the next one wasn't a number any more,
 * and the store refused it for good: nobody could hold the shard.
 */
static void a_claim_that_cant_be_read_is_passed_over(void **state)
{
	static const char *const texts[] = {
		"9223372036854775807 0011223344556677",
		"-5 0011223344556677",
		"what",
		"",
	};
	fixture_t *fixture = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		put(fixture, "0", i % 2 == 0 ? "C" : "Cx", texts[i]);
	put(fixture, "0", "C", texts[0]);
	start_claim(fixture, false);
	run_until_held(fixture);
	assert_true(fixture->held.epoch > 0);
	assert_true(fixture->held.epoch < EPOCH(100));
}

/*
 * All processes are killed and start again within a second. Callers are told
 * that nobody holds the shard until the group drops the member that it had
 * assigned the shard to, up to its whole time limit. The process that the
 * notice names is back and surely holds nothing any more, and no claim hangs
 * on the group: it claims as soon as it has read its own name.
 */
static void a_holder_that_starts_again_waits_for_no_group(void **state)
{
	fixture_t *fixture = *state;

	assign_to_another(fixture);
	make_holder(fixture, SELF, EPOCH(4));
	start_claim(fixture, false);
	run_for(fixture, MEMBER_TTL_MS / 2);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	assert_null(strstr(fixture->lines, "shard-assigned"));
}

/*
 * A holder loses the shard to a claim whose notice isn't out yet. It still
 * reads its own name, and must not claim the shard back: the two would take
 * it from each other on and on.
 */
static void a_holder_that_lost_the_shard_waits_for_the_group(void **state)
{
	fixture_t *fixture = *state;

	start_claim(fixture, false);
	run_until_held(fixture);
	run_for(fixture, 100);
	assert_string_equal(fixture->holder, SELF);
	fixture->held.epoch = 0;
	assign_to_another(fixture);
	run_for(fixture, MEMBER_TTL_MS / 2);
	assert_non_null(strstr(fixture->lines, "shard-assigned assigned=0"));
	assign_to_another(fixture);
	wwh_shard_claim_handle_loss(fixture->claim, standin_now_ms());
	run_for(fixture, MEMBER_TTL_MS / 2);
	assert_int_equal(fixture->held.epoch, 0);
}

/* A process with little processor time leaves the shard to others also then. */
static void a_reluctant_holder_that_starts_again_waits(void **state)
{
	fixture_t *fixture = *state;

	assign_to_another(fixture);
	make_holder(fixture, SELF, EPOCH(4));
	start_claim(fixture, true);
	run_for(fixture, MEMBER_TTL_MS / 2);
	assert_int_equal(fixture->held.epoch, 0);
}

/*
 * A holder starts again and claims; the process that the group names asks it
 * in that moment, hears that it doesn't hold the shard, and claims too. The
 * first one serves for a tenth of a second, and all upstreams are asked twice.
 */
static void a_claim_on_its_way_can_be_told(void **state)
{
	fixture_t *fixture = *state;

	make_holder(fixture, SELF, EPOCH(4));
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
		HAND_OVER_TESTS,
		cmocka_unit_test_setup_teardown(
			a_shard_that_nobody_holds_is_claimed_with_its_records,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_that_answers_is_left_alone, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_silent_holder_is_replaced_as_one_that_may_be_at_work,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_after_a_short_lived_one_gets_more_time, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_notice_of_an_older_claim_ends_no_holder, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_that_says_it_holds_no_more_is_replaced, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			an_answer_says_nothing_of_the_next_holder, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			each_claim_is_made_known_by_a_notice_of_its_own, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_claim_that_the_store_refuses_is_begun_anew, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_notice_that_cant_be_read_is_passed_over, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_claim_that_cant_be_read_is_passed_over, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_that_starts_again_waits_for_no_group, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_holder_that_lost_the_shard_waits_for_the_group,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_reluctant_holder_that_starts_again_waits, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(a_claim_on_its_way_can_be_told,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
