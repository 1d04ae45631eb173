#include "test_state.h"

/*
 * P1 takes the lease, is paused, and resumes after P2 took the lease. P1's
 * records were written under the old fence: all of them must be void, or two
 * processes would drain workers of one pool at once.
 */
static void a_paused_holder_is_fenced(void **unused)
{
	int32_t shard = wwh_shard_of_pool("p000");
	wwh_record_t record;
	int64_t old_fence;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	old_fence = fixture.fence[shard];
	lease_record(&record, WWH_RECORD_LEASE_TAKE, P2, shard, old_fence);
	fixture.fence[shard] = fixture.next;
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_ACCEPTED);
	grant_record(&record, P1, "w0000", WWH_GRANT_REPAIR, "", old_fence);
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_NOT_HOLDER);
	lease_record(&record, WWH_RECORD_LEASE_RENEW, P1, shard, old_fence);
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_NOT_HOLDER);
	lease_record(&record, WWH_RECORD_LEASE_RELEASE, P1, shard, old_fence);
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_NOT_HOLDER);
	assert_int_equal(
		fixture_grant(&fixture, P2, "w0000", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_ACCEPTED);
	assert_true(wwh_state_is_lease_holder(fixture.state, shard, P2,
					      fixture.fence[shard]));
	fixture_clear(&fixture);
}

/*
 * P2 saw no renewal for the duration, because its view lagged. The holder
 * renewed in the meantime, so the take names an offset that isn't the latest
 * and must not replace a live holder. Of two challengers, one succeeds.
 */
static void a_lease_take_must_name_the_latest_renewal(void **unused)
{
	int32_t shard = 3;
	wwh_record_t record;
	int64_t fence;
	int64_t renewal;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	fence = fixture.fence[shard];
	renewal = fixture.next;
	lease_record(&record, WWH_RECORD_LEASE_RENEW, P1, shard, fence);
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_ACCEPTED);
	lease_record(&record, WWH_RECORD_LEASE_TAKE, P2, shard, fence);
	assert_int_equal(fixture_append(&fixture, &record), WWH_VERDICT_STALE);
	assert_int_equal(fixture.detail.offset, renewal);
	lease_record(&record, WWH_RECORD_LEASE_TAKE, P2, shard, renewal);
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_ACCEPTED);
	lease_record(&record, WWH_RECORD_LEASE_TAKE, "entry-3.1", shard,
		     renewal);
	assert_int_equal(fixture_append(&fixture, &record), WWH_VERDICT_STALE);
	lease_record(&record, WWH_RECORD_LEASE_RELEASE, P2, shard,
		     wwh_state_lease(fixture.state, shard).fence);
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_ACCEPTED);
	assert_false(wwh_state_lease(fixture.state, shard).held);
	fixture_clear(&fixture);
}

/*
 * Two waves and a repair want workers of one pool. Each requester saw a
 * pool that could lose one more. The pool may lose 3 with one in reserve, so
 * two grants are accepted and every later one must be rejected.
 */
static void concurrent_grants_stay_within_the_budget(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	assert_int_equal(
		fixture_wave(&fixture, WWH_RECORD_WAVE_START, "a", "p000"),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_WAVE, "a"),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_WAVE, "a"),
		WWH_VERDICT_BUSY);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0005", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0009", WWH_GRANT_WAVE, "a"),
		WWH_VERDICT_BUDGET);
	assert_non_null(strstr(fixture.detail.message.text, "p000"));
	assert_int_equal(fixture_pool(&fixture, "p000").lost, 2);
	assert_int_equal(
		fixture_end_grant(&fixture, "w0000", WWH_GRANT_RETURNED),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_WAVE, "a"),
		WWH_VERDICT_ALREADY);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0009", WWH_GRANT_WAVE, "a"),
		WWH_VERDICT_ACCEPTED);
	fixture_clear(&fixture);
}

/*
 * Workers fail while others are granted. The failures use up the reserve: no
 * further worker may be granted, but a failed one may be repaired, and no
 * assertion fails although more are lost than the rule allows.
 */
static void failures_use_up_the_reserve(void **unused)
{
	wwh_record_t record;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(fixture_fail_worker(&fixture, "w0001"),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0005", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_BUDGET);
	for (int32_t i = 2; i < 6; i++) {
		char *id = fleet_worker(i);

		assert_int_equal(fixture_fail_worker(&fixture, id),
				 WWH_VERDICT_ACCEPTED);
		g_free(id);
	}
	assert_int_equal(fixture_pool(&fixture, "p000").lost, 6);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0001", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_end_grant(&fixture, "w0001", WWH_GRANT_RETURNED),
		WWH_VERDICT_ACCEPTED);
	assert_true(fixture_worker(&fixture, "w0001").lost);
	worker_record(&record, WWH_RECORD_WORKER_RETURNED, P1, "w0001",
		      fixture_worker(&fixture, "w0001").failed,
		      fixture_fence(&fixture, "p000"));
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_ACCEPTED);
	assert_false(fixture_worker(&fixture, "w0001").lost);
	fixture_clear(&fixture);
}

/*
 * P1 saw a worker return and was paused; then the log got a new failure of the
 * worker. The late return must not count it as available.
 */
static void a_late_return_does_not_undo_a_newer_failure(void **unused)
{
	wwh_record_t record;
	int64_t first;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	first = fixture.next;
	fixture_fail_worker(&fixture, "w0001");
	fixture_fail_worker(&fixture, "w0001");
	worker_record(&record, WWH_RECORD_WORKER_RETURNED, P1, "w0001", first,
		      fixture_fence(&fixture, "p000"));
	assert_int_equal(fixture_append(&fixture, &record), WWH_VERDICT_STALE);
	assert_true(fixture_worker(&fixture, "w0001").lost);
	fixture_clear(&fixture);
}

static void racks_and_zones_have_limits_of_their_own(void **unused)
{
	fleet_t fleet = small_fleet;
	fixture_t fixture;

	(void)unused;
	fleet.workers = 24;
	fleet.rule = ", \"lose_count\": 10, \"lose_per_rack\": 1, "
		     "\"lose_per_zone\": 2";
	fixture_init(&fixture, &fleet);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0001", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_BUDGET);
	assert_non_null(strstr(fixture.detail.message.text, "lose_per_rack"));
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0012", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(fixture_fail_worker(&fixture, "w0013"),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0004", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_end_grant(&fixture, "w0000", WWH_GRANT_RETURNED),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_BUDGET);
	assert_non_null(strstr(fixture.detail.message.text, "lose_per_zone"));
	fixture_clear(&fixture);
}

/*
 * The pool must survive the loss of a rack of four while workers are granted.
 * It may lose 5, so one worker may be granted. Workers that are already lost
 * don't count towards the reserve, since their rack can't lose them again.
 */
static void the_reserve_counts_a_domain_once(void **unused)
{
	fleet_t fleet = small_fleet;
	fixture_t fixture;

	(void)unused;
	fleet.rule = ", \"lose_count\": 5, \"reserve\": \"rack\"";
	fixture_init(&fixture, &fleet);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0004", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_BUDGET);
	assert_int_equal(fixture_fail_worker(&fixture, "w0004"),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(fixture_fail_worker(&fixture, "w0008"),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(fixture_pool(&fixture, "p000").reserve, 3);
	fixture_clear(&fixture);
}

/*
 * The worker to be granted can't be lost again with its own rack: 3 lost and 3
 * available in the largest rack fit into 6, although that rack had 4 before.
 */
static void the_reserve_leaves_out_the_worker_that_is_taken(void **unused)
{
	fleet_t fleet = small_fleet;
	fixture_t fixture;

	(void)unused;
	fleet.rule = ", \"lose_count\": 6, \"reserve\": \"rack\"";
	fixture_init(&fixture, &fleet);
	assert_int_equal(fixture_fail_worker(&fixture, "w0004"),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(fixture_fail_worker(&fixture, "w0008"),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0005", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_BUDGET);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_ACCEPTED);
	fixture_clear(&fixture);
}

/*
 * An operator aborts a wave; the holder of the lease, which has not read that
 * yet, requests one more worker. A second operator starts a wave on the same
 * pool; a start that was repeated late must not run the wave again.
 */
static void a_wave_that_ended_takes_no_worker(void **unused)
{
	wwh_record_t record;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	fixture_wave(&fixture, WWH_RECORD_WAVE_START, "a", "p000");
	assert_int_equal(
		fixture_wave(&fixture, WWH_RECORD_WAVE_START, "b", "p000"),
		WWH_VERDICT_BUSY);
	assert_non_null(strstr(fixture.detail.message.text, OPERATOR));
	assert_int_equal(fixture_wave(&fixture, WWH_RECORD_WAVE_PAUSE, "a", ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_WAVE, "a"),
		WWH_VERDICT_NOT_ACTIVE);
	assert_int_equal(
		fixture_wave(&fixture, WWH_RECORD_WAVE_RESUME, "a", ""),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_WAVE, "a"),
		WWH_VERDICT_ACCEPTED);
	wave_record(&record, WWH_RECORD_WAVE_FINISH, P1, "a", "",
		    fixture_fence(&fixture, "p000"));
	assert_int_equal(fixture_append(&fixture, &record), WWH_VERDICT_BUSY);
	assert_int_equal(fixture_wave(&fixture, WWH_RECORD_WAVE_ABORT, "a", ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0004", WWH_GRANT_WAVE, "a"),
		WWH_VERDICT_NOT_ACTIVE);
	assert_int_equal(
		fixture_wave(&fixture, WWH_RECORD_WAVE_START, "a", "p000"),
		WWH_VERDICT_ALREADY);
	assert_int_equal(fixture_worker(&fixture, "w0000").grant_reason,
			 WWH_GRANT_WAVE);
	assert_int_equal(
		fixture_wave(&fixture, WWH_RECORD_WAVE_START, "b", "p000"),
		WWH_VERDICT_ACCEPTED);
	fixture_clear(&fixture);
}

/* A wave over selected workers, one of them named twice, gets no other. */
static void a_wave_takes_its_workers_only(void **unused)
{
	static const char *const ids[] = { "w0005", "w0001", "w0005" };
	wwh_wave_view_t view;
	wwh_record_t record;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	wave_record(&record, WWH_RECORD_WAVE_START, OPERATOR, "a", "p000",
		    WWH_NO_OFFSET);
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		g_ptr_array_add(record.body.wave.workers, g_strdup(ids[i]));
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_ACCEPTED);
	assert_true(wwh_state_wave(fixture.state, "a", &view));
	assert_int_equal(view.worker_count, 2);
	assert_string_equal(view.workers[0], "w0001");
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_WAVE, "a"),
		WWH_VERDICT_INVALID);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0005", WWH_GRANT_WAVE, "a"),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_end_grant(&fixture, "w0005", WWH_GRANT_RETURNED),
		WWH_VERDICT_ACCEPTED);
	assert_true(wwh_state_wave(fixture.state, "a", &view));
	assert_int_equal(view.done_count, 1);
	wave_record(&record, WWH_RECORD_WAVE_START, OPERATOR, "b", "p000",
		    WWH_NO_OFFSET);
	g_ptr_array_add(record.body.wave.workers, g_strdup("w9999"));
	assert_int_equal(fixture_wave(&fixture, WWH_RECORD_WAVE_ABORT, "a", ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_UNKNOWN_WORKER);
	fixture_clear(&fixture);
}

static void a_rehearsal_takes_its_domain_only(void **unused)
{
	wwh_record_t record;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	rehearsal_record(&record, WWH_RECORD_REHEARSAL_START, OPERATOR, "r",
			 WWH_DOMAIN_ZONE, "z09");
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_UNKNOWN_ITEM);
	rehearsal_record(&record, WWH_RECORD_REHEARSAL_START, OPERATOR, "r",
			 WWH_DOMAIN_ZONE, "z01");
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_REHEARSAL, "r"),
		WWH_VERDICT_INVALID);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0004", WWH_GRANT_REHEARSAL, "r"),
		WWH_VERDICT_ACCEPTED);
	rehearsal_record(&record, WWH_RECORD_REHEARSAL_END, OPERATOR, "r",
			 WWH_DOMAIN_WORKER, "");
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0005", WWH_GRANT_REHEARSAL, "r"),
		WWH_VERDICT_NOT_ACTIVE);
	fixture_clear(&fixture);
}

/*
 * A worker leaves one pool, counts for none while it moves, and joins another.
 * A cancel after the finish must not put it into another pool.
 */
static void a_move_leaves_and_then_joins(void **unused)
{
	fleet_t fleet = small_fleet;
	wwh_record_t record;
	int64_t offset;
	int64_t fence;
	fixture_t fixture;

	(void)unused;
	fleet.workers = 24;
	fleet.pools = 2;
	fixture_init(&fixture, &fleet);
	fence = fixture_fence(&fixture, "p000");
	offset = fixture.next;
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_MOVE, "m"),
		WWH_VERDICT_ACCEPTED);
	move_record(&record, WWH_RECORD_MOVE_START, P1, "w0000", "p001", offset,
		    fence);
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_ACCEPTED);
	assert_string_equal(fixture_worker(&fixture, "w0000").pool, "");
	assert_int_equal(fixture_pool(&fixture, "p000").members, 11);
	assert_int_equal(fixture_pool(&fixture, "p001").members, 12);
	assert_int_equal(
		fixture_end_grant(&fixture, "w0000", WWH_GRANT_RETURNED),
		WWH_VERDICT_INVALID);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0000", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_BUSY);
	move_record(&record, WWH_RECORD_MOVE_FINISH, P1, "w0000", "", offset,
		    fence);
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_ACCEPTED);
	assert_string_equal(fixture_worker(&fixture, "w0000").pool, "p001");
	assert_string_equal(fixture_worker(&fixture, "w0000").wanted_pool,
			    "p001");
	assert_int_equal(fixture_pool(&fixture, "p001").members, 13);
	move_record(&record, WWH_RECORD_MOVE_CANCEL, P1, "w0000", "", offset,
		    fixture_fence(&fixture, "p001"));
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_UNKNOWN_ITEM);
	fixture_clear(&fixture);
}

/*
 * Workers of the pool fail after another was drained for a move. The pool would
 * exceed its budget without that worker, so it may not leave and is returned.
 */
static void a_worker_that_its_pool_needs_can_not_leave(void **unused)
{
	fleet_t fleet = small_fleet;
	wwh_record_t record;
	int64_t offset;
	fixture_t fixture;

	(void)unused;
	fleet.workers = 24;
	fleet.pools = 2;
	fixture_init(&fixture, &fleet);
	offset = fixture.next;
	fixture_grant(&fixture, P1, "w0000", WWH_GRANT_MOVE, "m");
	fixture_fail_worker(&fixture, "w0002");
	fixture_fail_worker(&fixture, "w0004");
	fixture_fail_worker(&fixture, "w0006");
	move_record(&record, WWH_RECORD_MOVE_START, P1, "w0000", "p001", offset,
		    fixture_fence(&fixture, "p000"));
	assert_int_equal(fixture_append(&fixture, &record), WWH_VERDICT_BUDGET);
	assert_int_equal(
		fixture_end_grant(&fixture, "w0000", WWH_GRANT_RETURNED),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(fixture_pool(&fixture, "p000").lost, 3);
	fixture_clear(&fixture);
}

static void an_offset_is_applied_once(void **unused)
{
	wwh_record_t record;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	fixture_fail_worker(&fixture, "w0001");
	fixture.next--;
	worker_record(&record, WWH_RECORD_WORKER_QUARANTINE, P1, "w0002",
		      WWH_NO_OFFSET, WWH_NO_OFFSET);
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_OLD_OFFSET);
	assert_false(fixture_worker(&fixture, "w0002").lost);
	assert_int_equal(wwh_state_author_offset(fixture.state, P2),
			 fixture.next - 1);
	fixture_clear(&fixture);
}

/* Restarts add authors and waves end all the time: memory must stay bounded. */
static void ended_items_are_evicted_in_log_order(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	wwh_state_set_check(fixture.state, false);
	for (int32_t i = 0; i <= WWH_STATE_ENDED_MAX; i++) {
		char *id = g_strdup_printf("wave-%d", i);
		char *author = g_strdup_printf("entry-1.%d", i);
		wwh_record_t record;

		wave_record(&record, WWH_RECORD_WAVE_START, author, id, "p000",
			    WWH_NO_OFFSET);
		assert_int_equal(fixture_append(&fixture, &record),
				 WWH_VERDICT_ACCEPTED);
		assert_int_equal(
			fixture_wave(&fixture, WWH_RECORD_WAVE_ABORT, id, ""),
			WWH_VERDICT_ACCEPTED);
		g_free(id);
		g_free(author);
	}
	wwh_state_check(fixture.state);
	assert_false(wwh_state_wave(fixture.state, "wave-0",
				    &(wwh_wave_view_t){ 0 }));
	assert_true(wwh_state_wave(fixture.state, "wave-1",
				   &(wwh_wave_view_t){ 0 }));
	assert_int_equal(wwh_state_author_offset(fixture.state, "entry-1.2"),
			 WWH_NO_OFFSET);
	fixture_clear(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		CONFIG_TESTS,
		JOB_TESTS,
		cmocka_unit_test(a_paused_holder_is_fenced),
		cmocka_unit_test(a_lease_take_must_name_the_latest_renewal),
		cmocka_unit_test(concurrent_grants_stay_within_the_budget),
		cmocka_unit_test(failures_use_up_the_reserve),
		cmocka_unit_test(a_late_return_does_not_undo_a_newer_failure),
		cmocka_unit_test(racks_and_zones_have_limits_of_their_own),
		cmocka_unit_test(the_reserve_counts_a_domain_once),
		cmocka_unit_test(
			the_reserve_leaves_out_the_worker_that_is_taken),
		cmocka_unit_test(a_wave_that_ended_takes_no_worker),
		cmocka_unit_test(a_wave_takes_its_workers_only),
		cmocka_unit_test(a_rehearsal_takes_its_domain_only),
		cmocka_unit_test(a_move_leaves_and_then_joins),
		cmocka_unit_test(a_worker_that_its_pool_needs_can_not_leave),
		cmocka_unit_test(an_offset_is_applied_once),
		cmocka_unit_test(ended_items_are_evicted_in_log_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
