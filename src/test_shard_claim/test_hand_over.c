/* Hand-over of a shard from its holder to the process that is assigned to it. */

#include "claim_fixture.h"

/*
 * The store rejects the holder and serves this process. Guards against a holder
 * that goes on for two seconds without being able to accept a job, then counts as
 * possibly at work, and leaves hosts without orders for three more seconds.
 * Instead it hands over on request, and reports that no orders are outstanding.
 */
void holder_rejected_by_store_gets_handover_request(void **state)
{
	fixture_t *fixture = *state;
	int64_t end_ms = standin_now_ms() + WAIT_MAX_MS;

	publish_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_probed(fixture, 0, 2);
	assert_int_equal(get_handover_request_count(&fixture->peers[0]), 0);
	set_status(&fixture->peers[0], 409);
	while (get_handover_request_count(&fixture->peers[0]) == 0 &&
	       standin_now_ms() < end_ms)
		run_for(fixture, 10);
	assert_int_equal(fixture->held.epoch, 0);
	set_status(&fixture->peers[0], 410);
	run_until_held(fixture);
	assert_int_equal(fixture->held.epoch >> 16, 5);
	assert_false(fixture->held.previous_holder_may_act);
	assert_false(fixture->held.previous_holder_ended);
}

/*
 * The store accepts no records from any process, but still answers the group's
 * calls.
 */
void group_answers_do_not_prove_store_is_writable(void **state)
{
	fixture_t *fixture = *state;

	publish_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_probed(fixture, 0, 3);
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->refuses_records = true;
	g_mutex_unlock(&fixture->standin->lock);
	set_status(&fixture->peers[0], 409);
	run_for(fixture, 3500);
	assert_int_equal(get_handover_request_count(&fixture->peers[0]), 0);
	assert_null(strstr(fixture->event_log, "shard-claim-begun"));
	/* the store accepts records of this process before the holder's */
	g_mutex_lock(&fixture->standin->lock);
	fixture->standin->refuses_records = false;
	g_mutex_unlock(&fixture->standin->lock);
	run_for(fixture, 500);
	set_status(&fixture->peers[0], 200);
	run_for(fixture, 1000);
	assert_int_equal(get_handover_request_count(&fixture->peers[0]), 0);
}

/*
 * The store is unreachable for all processes. If the holder released the shard now,
 * its running tasks would be unmanaged, as no process could claim.
 */
void no_handover_request_while_store_is_unreachable(void **state)
{
	fixture_t *fixture = *state;

	publish_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_probed(fixture, 0, 3);
	set_busy(fixture, true);
	set_status(&fixture->peers[0], 409);
	run_for(fixture, 2000);
	assert_int_equal(get_handover_request_count(&fixture->peers[0]), 0);
	assert_int_equal(fixture->held.epoch, 0);
	set_status(&fixture->peers[0], 200);
	set_busy(fixture, false);
	run_for(fixture, 1000);
	assert_int_equal(get_handover_request_count(&fixture->peers[0]), 0);
}

/*
 * A slow holder hands over while orders to hosts are outstanding, as waiting for
 * them delayed all jobs. The next holder sends hosts no orders for a while: a late
 * order of the previous one in addition to its own would take down a host too many.
 */
void holder_with_pending_orders_counts_as_at_work(void **state)
{
	fixture_t *fixture = *state;

	publish_holder(fixture, fixture->peers[0].address, EPOCH(4));
	start_claim(fixture, false);
	run_until_probed(fixture, 0, 1);
	set_status(&fixture->peers[0], 425);
	run_until_held(fixture);
	assert_true(fixture->held.previous_holder_may_act);
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
 * A holder whose host became slow leaves the group, so that the group assigns the
 * shard to another process. If it rejoined at once, or as soon as the other process
 * has taken over, it would be assigned again and be as slow as before. It may
 * rejoin when its host is fast again.
 */
void withdrawn_holder_stays_out_of_group(void **state)
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
	publish_holder(fixture, fixture->peers[0].address, EPOCH(9));
	wwh_shard_claim_handle_handover(fixture->claim, standin_now_ms());
	run_for(fixture, MEMBER_TTL_MS + 500);
	assert_false(is_member(fixture));
}
