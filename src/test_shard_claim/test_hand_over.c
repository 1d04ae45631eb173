/*
 * A holder that the store turns away, and the process that is to hold the shard
 * next.
 */

#include "claim_fixture.h"

/*
 * The store turns the holder away and serves this process. The holder went on
 * for two seconds without being able to accept a job, was then taken for one
 * that may be at work, and hosts got no orders for three more seconds. It gives
 * up when it is asked, and says so: nothing of it is on its way.
 */
void a_holder_without_the_store_is_asked_to_hand_over(void **state)
{
	fixture_t *fixture = *state;
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;

	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 2);
	assert_int_equal(times_asked_to_hand_over(&fixture->peers[0]), 0);
	set_status(&fixture->peers[0], 409);
	while (times_asked_to_hand_over(&fixture->peers[0]) == 0 &&
	       standin_now_ms() < end_ms)
		run_for(fixture, 10);
	assert_int_equal(fixture->held.epoch, 0);
	set_status(&fixture->peers[0], 410);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	assert_false(fixture->held.others_at_work);
	assert_false(fixture->held.others_ended);
}

/* The store takes no record of anybody, and answers the group all the while. */
void a_group_that_answers_is_no_proof_of_the_store(void **state)
{
	fixture_t *fixture = *state;

	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 3);
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->refuses_records = true;
	g_mutex_unlock(&fixture->standin->lock);
	set_status(&fixture->peers[0], 409);
	run_for(fixture, 3500);
	assert_int_equal(times_asked_to_hand_over(&fixture->peers[0]), 0);
	assert_null(strstr(fixture->lines, "shard-claim-begun"));
	/* back for this process, and a moment later for the holder */
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->refuses_records = false;
	g_mutex_unlock(&fixture->standin->lock);
	run_for(fixture, 500);
	set_status(&fixture->peers[0], 200);
	run_for(fixture, 1000);
	assert_int_equal(times_asked_to_hand_over(&fixture->peers[0]), 0);
}

/*
 * The store is away for all. A holder that gave up now would leave what runs
 * without anyone to go on with it, as nobody can claim.
 */
void without_the_store_itself_it_asks_for_nothing(void **state)
{
	fixture_t *fixture = *state;

	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 3);
	set_busy(fixture, true);
	set_status(&fixture->peers[0], 409);
	run_for(fixture, 2000);
	assert_int_equal(times_asked_to_hand_over(&fixture->peers[0]), 0);
	assert_int_equal(fixture->held.epoch, 0);
	set_status(&fixture->peers[0], 200);
	set_busy(fixture, false);
	run_for(fixture, 1000);
	assert_int_equal(times_asked_to_hand_over(&fixture->peers[0]), 0);
}

/*
 * A slow holder hands over while orders to hosts are out: waited for, they kept
 * all jobs waiting. The next one gives hosts no orders for a while: a late one
 * beside its own would take down a host too many.
 */
void a_holder_with_orders_out_counts_as_at_work(void **state)
{
	fixture_t *fixture = *state;

	make_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_asked(fixture, 0, 1);
	set_status(&fixture->peers[0], 425);
	run_until_held(fixture);
	assert_true(fixture->held.others_at_work);
}

static bool is_member(fixture_t *fixture)
{
	bool member;

	g_mutex_lock(&fixture->standin->lock);
	member = g_strcmp0(fixture->standin->member, SELF) == 0;
	g_mutex_unlock(&fixture->standin->lock);
	return member;
}

/*
 * A holder whose host turned slow leaves the group, so that this names another
 * process. Back in it at once, or when that one has taken over, it would be named
 * again, and as slow as before. In time again, it may be.
 */
void a_holder_that_leaves_the_shard_stays_out_of_the_group(void **state)
{
	fixture_t *fixture = *state;

	start_claim(fixture, false);
	run_until_held(fixture);
	run_for(fixture, 500);
	assert_true(is_member(fixture));
	wwh_shard_claim_set_withdrawn(fixture->claim, true, standin_now_ms());
	run_for(fixture, MEMBER_TTL_MS + 500);
	assert_false(is_member(fixture));
	wwh_shard_claim_set_withdrawn(fixture->claim, false, standin_now_ms());
	run_for(fixture, MEMBER_TTL_MS);
	assert_true(is_member(fixture));
	wwh_shard_claim_set_withdrawn(fixture->claim, true, standin_now_ms());
	make_holder(fixture, fixture->peers[0].address, EPOCH(9));
	wwh_shard_claim_handle_handover(fixture->claim, standin_now_ms());
	run_for(fixture, MEMBER_TTL_MS + 500);
	assert_false(is_member(fixture));
}
