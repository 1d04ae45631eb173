#include "test_state.h"

static wwh_verdict_t place(log_t *log, const char *job, const char *worker)
{
	wwh_record_t record;

	job_record(&record, WWH_RECORD_JOB_PLACE, P1, job, worker,
		   fence_of(log, "p000"));
	return append(log, &record);
}

static wwh_verdict_t submit(log_t *log, const char *job, bool idempotent)
{
	wwh_record_t record;

	submit_record(&record, OPERATOR, job, "p000", idempotent);
	return append(log, &record);
}

static wwh_verdict_t report(log_t *log, wwh_record_kind_t kind, const char *job,
			    int64_t fence, wwh_run_class_t run)
{
	wwh_record_t record;

	job_record(&record, kind, P2, job, "", fence);
	record.body.job.run = run;
	return append(log, &record);
}

/*
 * A worker dies with a numbering job on it. Nobody knows how far it came.
 * Placed again it could give two houses one address; so it ends as failed and
 * an operator decides. One that surely did not start is placed again.
 */
void a_job_that_may_have_run_is_not_placed_again(void **unused)
{
	wwh_job_view_t view;
	int64_t fence;
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	assert_int_equal(submit(&log, "n1", false), WWH_VERDICT_ACCEPTED);
	fence = log.next;
	assert_int_equal(place(&log, "n1", "w0000"), WWH_VERDICT_ACCEPTED);
	assert_int_equal(place(&log, "n1", "w0001"), WWH_VERDICT_BUSY);
	assert_int_equal(report(&log, WWH_RECORD_JOB_FAILED, "n1", fence,
				WWH_RUN_NOT_RUN),
			 WWH_VERDICT_ACCEPTED);
	fence = log.next;
	assert_int_equal(place(&log, "n1", "w0001"), WWH_VERDICT_ACCEPTED);
	assert_int_equal(report(&log, WWH_RECORD_JOB_FAILED, "n1", fence,
				WWH_RUN_UNKNOWN),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(place(&log, "n1", "w0002"), WWH_VERDICT_BUSY);
	assert_true(wwh_state_job(log.state, "n1", &view));
	assert_int_equal(view.phase, WWH_JOB_PHASE_FAILED);
	assert_int_equal(view.failures, 2);
	end_log(&log);
}

/*
 * A job was checkpointed on one worker and placed on another. The first
 * worker's late report that it is done must not end it.
 */
void a_report_of_an_old_placement_is_stale(void **unused)
{
	wwh_job_view_t view;
	int64_t first;
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	submit(&log, "n1", false);
	first = log.next;
	place(&log, "n1", "w0000");
	assert_int_equal(report(&log, WWH_RECORD_JOB_CHECKPOINTED, "n1", first,
				WWH_RUN_NOT_RUN),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(place(&log, "n1", "w0001"), WWH_VERDICT_ACCEPTED);
	assert_int_equal(
		report(&log, WWH_RECORD_JOB_DONE, "n1", first, WWH_RUN_RAN),
		WWH_VERDICT_STALE);
	assert_true(wwh_state_job(log.state, "n1", &view));
	assert_int_equal(view.phase, WWH_JOB_PHASE_PLACED);
	assert_string_equal(view.worker, "w0001");
	end_log(&log);
}

/* A submission whose answer was lost is appended again after the job ended. */
void a_late_submission_is_not_repeated(void **unused)
{
	wwh_record_t record;
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	submit(&log, "n1", false);
	job_record(&record, WWH_RECORD_JOB_CANCEL, OPERATOR, "n1", "",
		   WWH_NO_OFFSET);
	assert_int_equal(append(&log, &record), WWH_VERDICT_ACCEPTED);
	assert_int_equal(submit(&log, "n1", false), WWH_VERDICT_ALREADY);
	assert_int_equal(place(&log, "n1", "w0000"), WWH_VERDICT_BUSY);
	end_log(&log);
}

void a_lost_worker_gets_no_job(void **unused)
{
	log_t log;

	(void)unused;
	start_log(&log, &small_fleet);
	submit(&log, "n1", true);
	assert_int_equal(fail_worker(&log, "w0000"), WWH_VERDICT_ACCEPTED);
	assert_int_equal(place(&log, "n1", "w0000"), WWH_VERDICT_BUSY);
	assert_int_equal(grant(&log, P1, "w0001", WWH_GRANT_REPAIR, ""),
			 WWH_VERDICT_ACCEPTED);
	assert_int_equal(place(&log, "n1", "w0001"), WWH_VERDICT_BUSY);
	assert_int_equal(place(&log, "n1", "w0002"), WWH_VERDICT_ACCEPTED);
	end_log(&log);
}
