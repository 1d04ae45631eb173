#include "test_state.h"

/*
 * P1 takes the lease, is paused, and wakes after P2 took over. Its records
 * were written under the old fence: all of them must be void, or two
 * processes would drain workers of one pool at once.
 */
static void a_paused_holder_is_fenced(void **unused)
{
	int32_t shard = wwh_shard_of_pool("p000");
	wwh_record_t record;
	int64_t old_fence;
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	old_fence = log.fence[shard];
	lease_record(&record, WWH_RECORD_LEASE_TAKE, P2, shard, old_fence);
	log.fence[shard] = log.next;
	assert_int_equal(append(&log, &record), WWH_VERDICT_ACCEPTED);
	grant_record(&record, P1, "w0000", WWH_GRANT_REPAIR, "", old_fence);
	assert_int_equal(append(&log, &record), WWH_VERDICT_NOT_HOLDER);
	lease_record(&record, WWH_RECORD_LEASE_RENEW, P1, shard, old_fence);
	assert_int_equal(append(&log, &record), WWH_VERDICT_NOT_HOLDER);
	lease_record(&record, WWH_RECORD_LEASE_RELEASE, P1, shard, old_fence);
	assert_int_equal(append(&log, &record), WWH_VERDICT_NOT_HOLDER);
	assert_int_equal(grant(&log, P2, "w0000", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_ACCEPTED);
	assert_true(wwh_state_holds(log.state, shard, P2, log.fence[shard]));
	end_log(&log);
}

/*
 * P2 saw no renewal for the duration, because its view lagged. The holder
 * renewed in the meantime: the take names an offset that isn't the latest and
 * must not depose a holder that is alive. Two challengers: one wins.
 */
static void a_take_names_the_latest_renewal(void **unused)
{
	int32_t shard = 3;
	wwh_record_t record;
	int64_t fence;
	int64_t renewal;
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	fence = log.fence[shard];
	renewal = log.next;
	lease_record(&record, WWH_RECORD_LEASE_RENEW, P1, shard, fence);
	assert_int_equal(append(&log, &record), WWH_VERDICT_ACCEPTED);
	lease_record(&record, WWH_RECORD_LEASE_TAKE, P2, shard, fence);
	assert_int_equal(append(&log, &record), WWH_VERDICT_STALE);
	assert_int_equal(log.detail.offset, renewal);
	lease_record(&record, WWH_RECORD_LEASE_TAKE, P2, shard, renewal);
	assert_int_equal(append(&log, &record), WWH_VERDICT_ACCEPTED);
	lease_record(&record, WWH_RECORD_LEASE_TAKE, "entry-3.1", shard,
		     renewal);
	assert_int_equal(append(&log, &record), WWH_VERDICT_STALE);
	lease_record(&record, WWH_RECORD_LEASE_RELEASE, P2, shard,
		     wwh_state_lease(log.state, shard).fence);
	assert_int_equal(append(&log, &record), WWH_VERDICT_ACCEPTED);
	assert_false(wwh_state_lease(log.state, shard).held);
	end_log(&log);
}

/*
 * Two waves and a repair want workers of one pool. Each asker saw the pool
 * with room for one more. The pool may lose 3 with one in reserve, so two
 * grants hold and every later one must be refused, whoever asks.
 */
static void racing_grants_keep_the_budget(void **unused)
{
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	assert_int_equal(wave(&log, WWH_RECORD_WAVE_START, "a", "p000"),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_WAVE, "a"),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_WAVE, "a"),
			 WWH_VERDICT_BUSY);
	assert_int_equal(grant(&log, P1, "w0005", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0009", WWH_GRANT_WAVE, "a"),
			 WWH_VERDICT_BUDGET);
	assert_non_null(strstr(log.detail.message.text, "p000"));
	assert_int_equal(pool_of(&log, "p000").lost, 2);
	assert_int_equal(end_grant(&log, "w0000", WWH_GRANT_RETURNED),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_WAVE, "a"),
			 WWH_VERDICT_ALREADY);
	assert_int_equal(grant(&log, P1, "w0009", WWH_GRANT_WAVE, "a"),
			 WWH_VERDICT_ACCEPTED);
	end_log(&log);
}

/*
 * Workers fail while others are out by plan. The failures use up the reserve:
 * no further worker may be taken, but a failed one may be repaired, and
 * nothing asserts although more are lost than the rule allows.
 */
static void failures_use_up_the_reserve(void **unused)
{
	wwh_record_t record;
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(fail_worker(&log, "w0001"), WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0005", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_BUDGET);
	for (int32_t i = 2; i < 6; i++) {
		char *id = fleet_worker(i);

		assert_int_equal(fail_worker(&log, id), WWH_VERDICT_ACCEPTED);
		g_free(id);
	}
	assert_int_equal(pool_of(&log, "p000").lost, 6);
	assert_int_equal(grant(&log, P1, "w0001", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(end_grant(&log, "w0001", WWH_GRANT_RETURNED),
			 WWH_VERDICT_ACCEPTED);
	assert_true(worker_of(&log, "w0001").lost);
	worker_record(&record, WWH_RECORD_WORKER_RETURNED, P1, "w0001",
		      worker_of(&log, "w0001").failed, fence_of(&log, "p000"));
	assert_int_equal(append(&log, &record), WWH_VERDICT_ACCEPTED);
	assert_false(worker_of(&log, "w0001").lost);
	end_log(&log);
}

/*
 * P1 saw a worker come back and was paused; the worker failed again and that
 * is on the log. The late return must not count it as whole.
 */
static void a_late_return_does_not_undo_a_newer_failure(void **unused)
{
	wwh_record_t record;
	int64_t first;
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	first = log.next;
	fail_worker(&log, "w0001");
	fail_worker(&log, "w0001");
	worker_record(&record, WWH_RECORD_WORKER_RETURNED, P1, "w0001", first,
		      fence_of(&log, "p000"));
	assert_int_equal(append(&log, &record), WWH_VERDICT_STALE);
	assert_true(worker_of(&log, "w0001").lost);
	end_log(&log);
}

static void racks_and_zones_have_limits_of_their_own(void **unused)
{
	fleet_t fleet = small_fleet;
	log_t log;

	(void)unused;
	fleet.workers = 24;
	fleet.rule = ", \"lose_count\": 10, \"lose_per_rack\": 1, "
		     "\"lose_per_zone\": 2";
	start_log(&log, &fleet);
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0001", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_BUDGET);
	assert_non_null(strstr(log.detail.message.text, "lose_per_rack"));
	assert_int_equal(grant(&log, P1, "w0012", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(fail_worker(&log, "w0013"), WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0004", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(end_grant(&log, "w0000", WWH_GRANT_RETURNED),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_BUDGET);
	assert_non_null(strstr(log.detail.message.text, "lose_per_zone"));
	end_log(&log);
}

/*
 * The pool is to survive the loss of a rack of four while a wave runs. With 5
 * to lose, one worker may be out; in its own rack more may be, since a rack
 * that fails can't lose them again.
 */
static void the_reserve_counts_a_domain_once(void **unused)
{
	fleet_t fleet = small_fleet;
	log_t log;

	(void)unused;
	fleet.rule = ", \"lose_count\": 5, \"reserve\": \"rack\"";
	start_log(&log, &fleet);
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0004", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_BUDGET);
	assert_int_equal(fail_worker(&log, "w0004"), WWH_VERDICT_ACCEPTED);
	assert_int_equal(fail_worker(&log, "w0008"), WWH_VERDICT_ACCEPTED);
	assert_int_equal(pool_of(&log, "p000").reserve, 3);
	end_log(&log);
}

/*
 * The worker that is taken can't be lost again with its own rack: 3 lost and
 * 3 whole in the largest rack fit into 6, although that rack had 4 before.
 */
static void the_reserve_leaves_out_the_worker_that_is_taken(void **unused)
{
	fleet_t fleet = small_fleet;
	log_t log;

	(void)unused;
	fleet.rule = ", \"lose_count\": 6, \"reserve\": \"rack\"";
	start_log(&log, &fleet);
	assert_int_equal(fail_worker(&log, "w0004"), WWH_VERDICT_ACCEPTED);
	assert_int_equal(fail_worker(&log, "w0008"), WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0005", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_BUDGET);
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_ACCEPTED);
	end_log(&log);
}

/*
 * An operator aborts a wave; the holder of the lease, which has not read that
 * yet, asks for one more worker. A second operator starts a wave on the same
 * pool; a start that was repeated late must not run the wave again.
 */
static void a_wave_that_ended_takes_no_worker(void **unused)
{
	wwh_record_t record;
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	wave(&log, WWH_RECORD_WAVE_START, "a", "p000");
	assert_int_equal(wave(&log, WWH_RECORD_WAVE_START, "b", "p000"),
			 WWH_VERDICT_BUSY);
	assert_non_null(strstr(log.detail.message.text, OPERATOR));
	assert_int_equal(wave(&log, WWH_RECORD_WAVE_PAUSE, "a", ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_WAVE, "a"),
			 WWH_VERDICT_NOT_ACTIVE);
	assert_int_equal(wave(&log, WWH_RECORD_WAVE_RESUME, "a", ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_WAVE, "a"),
			 WWH_VERDICT_ACCEPTED);
	wave_record(&record, WWH_RECORD_WAVE_FINISH, P1, "a", "",
		    fence_of(&log, "p000"));
	assert_int_equal(append(&log, &record), WWH_VERDICT_BUSY);
	assert_int_equal(wave(&log, WWH_RECORD_WAVE_ABORT, "a", ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0004", WWH_GRANT_WAVE, "a"),
			 WWH_VERDICT_NOT_ACTIVE);
	assert_int_equal(wave(&log, WWH_RECORD_WAVE_START, "a", "p000"),
			 WWH_VERDICT_ALREADY);
	assert_int_equal(worker_of(&log, "w0000").grant_reason, WWH_GRANT_WAVE);
	assert_int_equal(wave(&log, WWH_RECORD_WAVE_START, "b", "p000"),
			 WWH_VERDICT_ACCEPTED);
	end_log(&log);
}

/* A wave over chosen workers, one of them named twice, takes no other. */
static void a_wave_takes_its_workers_only(void **unused)
{
	static const char *const ids[] = { "w0005", "w0001", "w0005" };
	wwh_wave_view_t view;
	wwh_record_t record;
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	wave_record(&record, WWH_RECORD_WAVE_START, OPERATOR, "a", "p000",
		    WWH_NO_OFFSET);
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		g_ptr_array_add(record.body.wave.workers, g_strdup(ids[i]));
	assert_int_equal(append(&log, &record), WWH_VERDICT_ACCEPTED);
	assert_true(wwh_state_wave(log.state, "a", &view));
	assert_int_equal(view.worker_count, 2);
	assert_string_equal(view.workers[0], "w0001");
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_WAVE, "a"),
			 WWH_VERDICT_INVALID);
	assert_int_equal(grant(&log, P1, "w0005", WWH_GRANT_WAVE, "a"),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(end_grant(&log, "w0005", WWH_GRANT_RETURNED),
			 WWH_VERDICT_ACCEPTED);
	assert_true(wwh_state_wave(log.state, "a", &view));
	assert_int_equal(view.done_count, 1);
	wave_record(&record, WWH_RECORD_WAVE_START, OPERATOR, "b", "p000",
		    WWH_NO_OFFSET);
	g_ptr_array_add(record.body.wave.workers, g_strdup("w9999"));
	assert_int_equal(wave(&log, WWH_RECORD_WAVE_ABORT, "a", ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(append(&log, &record), WWH_VERDICT_UNKNOWN_WORKER);
	end_log(&log);
}

static void a_rehearsal_takes_its_domain_only(void **unused)
{
	wwh_record_t record;
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	rehearsal_record(&record, WWH_RECORD_REHEARSAL_START, OPERATOR, "r",
			 WWH_DOMAIN_ZONE, "z09");
	assert_int_equal(append(&log, &record), WWH_VERDICT_UNKNOWN_ITEM);
	rehearsal_record(&record, WWH_RECORD_REHEARSAL_START, OPERATOR, "r",
			 WWH_DOMAIN_ZONE, "z01");
	assert_int_equal(append(&log, &record), WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_REHEARSAL, "r"),
			 WWH_VERDICT_INVALID);
	assert_int_equal(grant(&log, P1, "w0004", WWH_GRANT_REHEARSAL, "r"),
			 WWH_VERDICT_ACCEPTED);
	rehearsal_record(&record, WWH_RECORD_REHEARSAL_END, OPERATOR, "r",
			 WWH_DOMAIN_WORKER, "");
	assert_int_equal(append(&log, &record), WWH_VERDICT_ACCEPTED);
	assert_int_equal(grant(&log, P1, "w0005", WWH_GRANT_REHEARSAL, "r"),
			 WWH_VERDICT_NOT_ACTIVE);
	end_log(&log);
}

/*
 * A worker moves from one pool to another: it leaves, counts for neither,
 * joins. A finish that is repeated, or a cancel after it, must not put it
 * anywhere else.
 */
static void a_move_leaves_and_then_joins(void **unused)
{
	fleet_t fleet = small_fleet;
	wwh_record_t record;
	int64_t offset;
	int64_t fence;
	log_t log;

	(void)unused;
	fleet.workers = 24;
	fleet.pools = 2;
	start_log(&log, &fleet);
	fence = fence_of(&log, "p000");
	offset = log.next;
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_MOVE, "m"),
			 WWH_VERDICT_ACCEPTED);
	move_record(&record, WWH_RECORD_MOVE_START, P1, "w0000", "p001", offset,
		    fence);
	assert_int_equal(append(&log, &record), WWH_VERDICT_ACCEPTED);
	assert_string_equal(worker_of(&log, "w0000").pool, "");
	assert_int_equal(pool_of(&log, "p000").members, 11);
	assert_int_equal(pool_of(&log, "p001").members, 12);
	assert_int_equal(end_grant(&log, "w0000", WWH_GRANT_RETURNED),
			 WWH_VERDICT_INVALID);
	assert_int_equal(grant(&log, P1, "w0000", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_BUSY);
	move_record(&record, WWH_RECORD_MOVE_FINISH, P1, "w0000", "", offset,
		    fence);
	assert_int_equal(append(&log, &record), WWH_VERDICT_ACCEPTED);
	assert_string_equal(worker_of(&log, "w0000").pool, "p001");
	assert_string_equal(worker_of(&log, "w0000").wanted_pool, "p001");
	assert_int_equal(pool_of(&log, "p001").members, 13);
	move_record(&record, WWH_RECORD_MOVE_CANCEL, P1, "w0000", "", offset,
		    fence_of(&log, "p001"));
	assert_int_equal(append(&log, &record), WWH_VERDICT_UNKNOWN_ITEM);
	end_log(&log);
}

/*
 * Failures in the pool after a worker was drained for a move: the pool would
 * not hold its budget without it, so it may not leave, and comes back.
 */
static void a_pool_keeps_a_worker_that_it_needs(void **unused)
{
	fleet_t fleet = small_fleet;
	wwh_record_t record;
	int64_t offset;
	log_t log;

	(void)unused;
	fleet.workers = 24;
	fleet.pools = 2;
	start_log(&log, &fleet);
	offset = log.next;
	grant(&log, P1, "w0000", WWH_GRANT_MOVE, "m");
	fail_worker(&log, "w0002");
	fail_worker(&log, "w0004");
	fail_worker(&log, "w0006");
	move_record(&record, WWH_RECORD_MOVE_START, P1, "w0000", "p001", offset,
		    fence_of(&log, "p000"));
	assert_int_equal(append(&log, &record), WWH_VERDICT_BUDGET);
	assert_int_equal(end_grant(&log, "w0000", WWH_GRANT_RETURNED),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(pool_of(&log, "p000").lost, 3);
	end_log(&log);
}

static void an_offset_is_applied_once(void **unused)
{
	wwh_record_t record;
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	fail_worker(&log, "w0001");
	log.next--;
	worker_record(&record, WWH_RECORD_WORKER_QUARANTINE, P1, "w0002",
		      WWH_NO_OFFSET, WWH_NO_OFFSET);
	assert_int_equal(append(&log, &record), WWH_VERDICT_OLD_OFFSET);
	assert_false(worker_of(&log, "w0002").lost);
	assert_int_equal(wwh_state_author_offset(log.state, P2), log.next - 1);
	end_log(&log);
}

/* Restarts make ever new authors and ended waves: memory must stay bounded. */
static void what_has_ended_is_forgotten_in_log_order(void **unused)
{
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	wwh_state_set_check(log.state, false);
	for (int32_t i = 0; i <= WWH_STATE_ENDED_MAX; i++) {
		char *id = g_strdup_printf("wave-%d", i);
		char *author = g_strdup_printf("entry-1.%d", i);
		wwh_record_t record;

		wave_record(&record, WWH_RECORD_WAVE_START, author, id, "p000",
			    WWH_NO_OFFSET);
		assert_int_equal(append(&log, &record), WWH_VERDICT_ACCEPTED);
		assert_int_equal(wave(&log, WWH_RECORD_WAVE_ABORT, id, ""),
				 WWH_VERDICT_ACCEPTED);
		g_free(id);
		g_free(author);
	}
	wwh_state_check(log.state);
	assert_false(
		wwh_state_wave(log.state, "wave-0", &(wwh_wave_view_t){ 0 }));
	assert_true(
		wwh_state_wave(log.state, "wave-1", &(wwh_wave_view_t){ 0 }));
	assert_int_equal(wwh_state_author_offset(log.state, "entry-1.2"),
			 WWH_NO_OFFSET);
	end_log(&log);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		CONFIG_TESTS,
		JOB_TESTS,
		cmocka_unit_test(a_paused_holder_is_fenced),
		cmocka_unit_test(a_take_names_the_latest_renewal),
		cmocka_unit_test(racing_grants_keep_the_budget),
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
		cmocka_unit_test(a_pool_keeps_a_worker_that_it_needs),
		cmocka_unit_test(an_offset_is_applied_once),
		cmocka_unit_test(what_has_ended_is_forgotten_in_log_order),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
