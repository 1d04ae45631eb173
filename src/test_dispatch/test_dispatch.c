#include "rig.h"

static void a_request_is_started_and_ends_once(void **unused)
{
	rig_t *rig = rig_new(2, 8);

	(void)unused;
	rig_arrive(rig, 0, 1, 1);
	assert_int_equal(rig->starts->len, 1);
	rig_finish(rig, 20, 0, WWH_OUTCOME_ANSWERED, 20);
	assert_int_equal(rig->ends->len, 1);
	assert_int_equal(rig_end(rig, 0).kind, WWH_ERROR_NONE);
	assert_int_equal(wwh_dispatch_running(rig->dispatch), 0);
	rig_delete(rig);
}

/*
 * A burst of 100 requests meets 2 minions of 8 slots that need 100 ms each.
 * Callers see: 16 run at once, those that fit before their deadline of 1 s
 * wait, the rest are refused in the same instant and told when to return.
 * Nobody is answered late.
 */
static void a_burst_is_served_or_refused_at_once(void **unused)
{
	rig_t *rig = rig_new(2, 8);
	guint refused, started;

	(void)unused;
	for (uint64_t i = 0; i < 16; i++) {
		rig_arrive(rig, 0, 1000 + i, i);
		rig_finish(rig, 100, (guint)i, WWH_OUTCOME_ANSWERED, 100);
	}
	g_array_set_size(rig->starts, 0);
	g_array_set_size(rig->ends, 0);
	for (uint64_t i = 0; i < 400; i++)
		rig_arrive(rig, 1000, i, i);
	assert_int_equal(rig->starts->len, 16);
	refused = rig->ends->len;
	assert_in_range(refused, 200, 383);
	for (guint i = 0; i < refused; i++) {
		assert_int_equal(rig_end(rig, i).kind, WWH_ERROR_WAIT_TOO_LONG);
		assert_true(rig_end(rig, i).retry_after_ms >= 1000);
	}
	for (started = 0; started < rig->starts->len; started++) {
		int64_t now_ms = 1100 + 100 * (started / 16);

		assert_true(now_ms <= 2000);
		rig_finish(rig, now_ms, started, WWH_OUTCOME_ANSWERED, 100);
	}
	assert_int_equal(rig->ends->len, 400);
	rig_delete(rig);
}

/*
 * Nothing ends at the only minion, so a waiting request can't be started. It
 * is given up on before its deadline, with an error that says "not run".
 */
static void a_wait_never_outlasts_the_deadline(void **unused)
{
	rig_t *rig = rig_new(1, 1);
	int64_t due_ms;

	(void)unused;
	rig_arrive(rig, 0, 1, 1);
	rig_arrive(rig, 0, 2, 2);
	assert_int_equal(rig->starts->len, 1);
	due_ms = wwh_dispatch_next_deadline_ms(rig->dispatch);
	assert_true(due_ms <= 1000);
	wwh_dispatch_tick(rig->dispatch, due_ms);
	rig_drain(rig);
	assert_int_equal(rig->ends->len, 1);
	assert_int_equal(rig_end(rig, 0).request, 2);
	assert_int_equal(wwh_answer_for(rig_end(rig, 0).kind)->run,
			 WWH_RUN_NOT_RUN);
	rig_delete(rig);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_request_is_started_and_ends_once),
		cmocka_unit_test(a_burst_is_served_or_refused_at_once),
		cmocka_unit_test(a_wait_never_outlasts_the_deadline),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
