#include "test_state.h"

static wwh_verdict_t place(fixture_t *fixture, const char *job,
			   const char *worker)
{
	wwh_record_t record;

	job_record(&record, WWH_RECORD_JOB_PLACE, P1, job, worker,
		   fixture_fence(fixture, "p000"));
	return fixture_append(fixture, &record);
}

static wwh_verdict_t submit(fixture_t *fixture, const char *job,
			    bool idempotent)
{
	wwh_record_t record;

	job_submit_record(&record, OPERATOR, job, "p000", idempotent);
	return fixture_append(fixture, &record);
}

static wwh_verdict_t report(fixture_t *fixture, wwh_record_kind_t kind,
			    const char *job, int64_t fence, wwh_run_class_t run)
{
	wwh_record_t record;

	job_record(&record, kind, P2, job, "", fence);
	record.body.job.run = run;
	return fixture_append(fixture, &record);
}

/*
 * A worker fails while it runs a numbering job, and its progress is unknown. A
 * second run could give two houses the same address; so the job ends as failed
 * and an operator decides. A job that certainly did not start is placed again.
 */
void a_job_that_may_have_run_is_not_placed_again(void **unused)
{
	wwh_job_view_t view;
	int64_t fence;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	assert_int_equal(submit(&fixture, "n1", false), WWH_VERDICT_ACCEPTED);
	fence = fixture.next;
	assert_int_equal(place(&fixture, "n1", "w0000"), WWH_VERDICT_ACCEPTED);
	assert_int_equal(place(&fixture, "n1", "w0001"), WWH_VERDICT_BUSY);
	assert_int_equal(report(&fixture, WWH_RECORD_JOB_FAILED, "n1", fence,
				WWH_RUN_NOT_RUN),
			 WWH_VERDICT_ACCEPTED);
	fence = fixture.next;
	assert_int_equal(place(&fixture, "n1", "w0001"), WWH_VERDICT_ACCEPTED);
	assert_int_equal(report(&fixture, WWH_RECORD_JOB_FAILED, "n1", fence,
				WWH_RUN_UNKNOWN),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(place(&fixture, "n1", "w0002"), WWH_VERDICT_BUSY);
	assert_true(wwh_state_job(fixture.state, "n1", &view));
	assert_int_equal(view.phase, WWH_JOB_PHASE_FAILED);
	assert_int_equal(view.failures, 2);
	fixture_clear(&fixture);
}

/*
 * A job was checkpointed on one worker and placed on another. The first
 * worker's late report that it is done must not end it.
 */
void a_report_of_an_old_placement_is_stale(void **unused)
{
	wwh_job_view_t view;
	int64_t first;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	submit(&fixture, "n1", false);
	first = fixture.next;
	place(&fixture, "n1", "w0000");
	assert_int_equal(report(&fixture, WWH_RECORD_JOB_CHECKPOINTED, "n1",
				first, WWH_RUN_NOT_RUN),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(place(&fixture, "n1", "w0001"), WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		report(&fixture, WWH_RECORD_JOB_DONE, "n1", first, WWH_RUN_RAN),
		WWH_VERDICT_STALE);
	assert_true(wwh_state_job(fixture.state, "n1", &view));
	assert_int_equal(view.phase, WWH_JOB_PHASE_PLACED);
	assert_string_equal(view.worker, "w0001");
	fixture_clear(&fixture);
}

/*
 * The answer to a submission was lost; the submission is appended again after
 * the job ended.
 */
void a_late_submission_is_not_repeated(void **unused)
{
	wwh_record_t record;
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	submit(&fixture, "n1", false);
	job_record(&record, WWH_RECORD_JOB_CANCEL, OPERATOR, "n1", "",
		   WWH_NO_OFFSET);
	assert_int_equal(fixture_append(&fixture, &record),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(submit(&fixture, "n1", false), WWH_VERDICT_ALREADY);
	assert_int_equal(place(&fixture, "n1", "w0000"), WWH_VERDICT_BUSY);
	fixture_clear(&fixture);
}

void a_lost_worker_gets_no_job(void **unused)
{
	fixture_t fixture;

	(void)unused;
	fixture_init(&fixture, &small_fleet);
	submit(&fixture, "n1", true);
	assert_int_equal(fixture_fail_worker(&fixture, "w0000"),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(place(&fixture, "n1", "w0000"), WWH_VERDICT_BUSY);
	assert_int_equal(
		fixture_grant(&fixture, P1, "w0001", WWH_GRANT_REPAIR, ""),
		WWH_VERDICT_ACCEPTED);
	assert_int_equal(place(&fixture, "n1", "w0001"), WWH_VERDICT_BUSY);
	assert_int_equal(place(&fixture, "n1", "w0002"), WWH_VERDICT_ACCEPTED);
	fixture_clear(&fixture);
}
