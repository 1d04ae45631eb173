#include "test_scheduler.h"

/* Cancels job JOB_A, which isn't known, and makes that durable. */
static void cancel_unknown(sched_fixture_t *fixture)
{
	int64_t record;

	assert_false(wwh_scheduler_cancel(fixture->scheduler, JOB_A,
					  fixture->now_ms, &record));
	assert_true(wwh_scheduler_add_tombstone(fixture->scheduler, JOB_A, NULL,
						fixture->now_ms, &record));
	assert_int_equal(record, fixture->record);
	sched_fixture_make_durable(fixture);
}

/*
 * Guards against a job that runs although its caller was told that it doesn't exist:
 * its submission lay in a process that stood still. Also after a change of holder,
 * and if the submission is repeated.
 */
void a_job_that_was_cancelled_before_it_came_never_runs(void **state)
{
	(void)state;
	for (int32_t changes = 0; changes < 3; changes++) {
		void *place = NULL;
		sched_fixture_t *fixture;

		fixture_with_1(&place);
		fixture = place;
		cancel_unknown(fixture);
		for (int32_t i = 0; i < changes; i++) {
			sched_fixture_take_over(fixture);
			sched_fixture_announce(fixture, "u1", ENDPOINT_1,
					       false);
			sched_fixture_run(fixture, 1);
			sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL,
						  0);
			sched_fixture_run(fixture, 1);
			sched_fixture_make_durable(fixture);
		}
		assert_int_equal(
			wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			WWH_PROGRESS_UNKNOWN);
		for (int32_t i = 0; i < 2; i++) {
			sched_fixture_submit(fixture,
					     sched_fixture_job(JOB_A, 1, 1000));
			sched_fixture_run(fixture, 300);
			assert_int_equal(fixture->starts->len, 0);
			assert_int_equal(wwh_scheduler_job_state(
						 fixture->scheduler, JOB_A),
					 WWH_PROGRESS_CANCELLED);
		}
		sched_fixture_submit(fixture,
				     sched_fixture_job(JOB_B, 1, 1000));
		assert_int_equal(fixture->starts->len, 1);
		fixture_tear_down(&place);
	}
}

/*
 * Guards against tombstones that grow without a bound: they expire, and further ones
 * than there is room for are refused.
 */
void the_number_of_tombstones_is_bounded(void **state)
{
	sched_fixture_t *fixture = *state;
	int32_t count = 0;
	int64_t record;
	char id[WWH_JOB_ID_CHARS + 1];

	do {
		g_snprintf(id, sizeof(id), "%016x", count);
	} while (wwh_scheduler_add_tombstone(fixture->scheduler, id, NULL,
					     fixture->now_ms, &record) &&
		 count++ < 100000);
	assert_in_range(count, 1000, 50000);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, id),
			 WWH_PROGRESS_UNKNOWN);
	fixture->now_ms += fixture->options.ended_job_retention_ms;
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 2000);
	assert_int_equal(wwh_scheduler_counts(fixture->scheduler).jobs, 0);
	assert_null(g_hash_table_lookup(fixture->records, "P0000000000000000"));
	assert_true(wwh_scheduler_add_tombstone(fixture->scheduler, id, NULL,
						fixture->now_ms, &record));
}
