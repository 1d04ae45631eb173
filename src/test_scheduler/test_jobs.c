/*
 * What becomes of a job: order of steps, gangs, attempts, cancels, repeats.
 */

#include "test_scheduler.h"

void a_step_waits_for_all_tasks_of_those_before_it(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = wwh_job_new(2);
	wwh_job_t *like = sched_fixture_job(JOB_A, 2, 1000);
	wwh_ended_task_t ended[2];

	g_strlcpy(job->id, like->id, sizeof(job->id));
	wwh_job_queue_copy(&job->queue, &like->queue);
	job->payload = g_strdup("text");
	job->steps[0] = like->steps[0];
	job->steps[1] = like->steps[0];
	job->steps[1].task_count = 1;
	job->steps[1].after = g_new0(int32_t, 1);
	job->steps[1].after_count = 1;
	wwh_job_delete(like);
	sched_fixture_submit(fixture, job);
	assert_int_equal(fixture->starts->len, 2);
	for (int32_t i = 0; i < 2; i++) {
		ended[i] = sched_fixture_ended_row(
			sched_fixture_order(fixture->starts, (guint)i), i + 1,
			WWH_END_DONE);
		sched_fixture_handle_start_result(
			fixture, sched_fixture_order(fixture->starts, (guint)i),
			WWH_ORDER_DONE);
	}
	sched_fixture_run(fixture, 500);
	{
		wwh_running_task_t second = sched_fixture_running_row(
			sched_fixture_order(fixture->starts, 1), 50);

		sched_fixture_answer_poll(fixture, "u1", &second, 1, ended, 1);
	}
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->starts->len, 2);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, ended, 2);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 3);
	assert_string_equal(sched_fixture_order(fixture->starts, 2)->task,
			    JOB_A ".0.1.0");
}

/* Attempts are counted over changes of holder, and each only once. */
void a_task_fails_as_often_as_its_queue_allows(void **state)
{
	sched_fixture_t *fixture = *state;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 1, 1000));
	for (guint i = 0; i < 3; i++) {
		wwh_ended_task_t ended;

		assert_int_equal(fixture->starts->len, i + 1);
		ended = sched_fixture_ended_row(
			sched_fixture_order(fixture->starts, i), i + 1,
			WWH_END_FAILED);
		sched_fixture_run(fixture, 500);
		sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
		sched_fixture_make_durable(fixture);
		if (i == 1) {
			/* the end is listed again to the next holder */
			sched_fixture_take_over(fixture);
			sched_fixture_announce(fixture, "u1", ENDPOINT_1,
					       false);
			sched_fixture_run(fixture, 100);
			sched_fixture_answer_poll(fixture, "u1", NULL, 0,
						  &ended, 1);
			sched_fixture_make_durable(fixture);
		}
		assert_int_equal(
			wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			i == 2 ? WWH_PROGRESS_FAILED : WWH_PROGRESS_ACTIVE);
		sched_fixture_run(fixture, 500);
	}
	sched_fixture_run(fixture, 5000);
	assert_int_equal(fixture->starts->len, 3);
}

/*
 * A task fails twice, at two upstreams, while its holder can't reach the
 * store. The next holder hears of the second failure first. It took the
 * first for one that it had counted, and started the task once too often.
 */
void failures_count_in_whatever_order_they_are_heard(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, 1000);
	wwh_ended_task_t first;
	wwh_ended_task_t second;

	job->queue.max_attempts = 2;
	sched_fixture_submit(fixture, job);
	first = sched_fixture_ended_row(sched_fixture_order(fixture->starts, 0),
					1, WWH_END_FAILED);
	sched_fixture_run(fixture, 500);
	sched_fixture_answer_poll(
		fixture, sched_fixture_order(fixture->starts, 0)->upstream,
		NULL, 0, &first, 1);
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->starts->len, 2);
	second = sched_fixture_ended_row(
		sched_fixture_order(fixture->starts, 1), 1, WWH_END_FAILED);
	assert_string_not_equal(
		sched_fixture_order(fixture->starts, 0)->upstream,
		sched_fixture_order(fixture->starts, 1)->upstream);
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_announce(fixture, "u2", ENDPOINT_2, false);
	sched_fixture_run(fixture, 100);
	sched_fixture_answer_poll(
		fixture, sched_fixture_order(fixture->starts, 1)->upstream,
		NULL, 0, &second, 1);
	sched_fixture_answer_poll(
		fixture, sched_fixture_order(fixture->starts, 0)->upstream,
		NULL, 0, &first, 1);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 1000);
	assert_int_equal(fixture->starts->len, 2);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_FAILED);
}

/*
 * As before, but the last run goes on when the new holder finds it: the
 * failure of the run before that one counts too, or the task gets one start
 * more than its queue allows.
 */
void a_failure_counts_while_a_later_run_is_out(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, 1000);
	wwh_running_task_t running;
	wwh_ended_task_t ended[2];

	job->queue.max_attempts = 2;
	sched_fixture_submit(fixture, job);
	ended[0] = sched_fixture_ended_row(
		sched_fixture_order(fixture->starts, 0), 1, WWH_END_FAILED);
	sched_fixture_run(fixture, 500);
	sched_fixture_answer_poll(
		fixture, sched_fixture_order(fixture->starts, 0)->upstream,
		NULL, 0, ended, 1);
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->starts->len, 2);
	sched_fixture_take_over(fixture);
	sched_fixture_announce(fixture, "u1", ENDPOINT_1, false);
	sched_fixture_announce(fixture, "u2", ENDPOINT_2, false);
	sched_fixture_run(fixture, 100);
	running = sched_fixture_running_row(
		sched_fixture_order(fixture->starts, 1), 50);
	sched_fixture_answer_poll(
		fixture, sched_fixture_order(fixture->starts, 1)->upstream,
		&running, 1, NULL, 0);
	sched_fixture_answer_poll(
		fixture, sched_fixture_order(fixture->starts, 0)->upstream,
		NULL, 0, ended, 1);
	sched_fixture_run(fixture, 500);
	ended[1] = sched_fixture_ended_row(
		sched_fixture_order(fixture->starts, 1), 1, WWH_END_FAILED);
	sched_fixture_answer_poll(
		fixture, sched_fixture_order(fixture->starts, 1)->upstream,
		NULL, 0, &ended[1], 1);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 1000);
	assert_int_equal(fixture->starts->len, 2);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_FAILED);
}

void a_gang_starts_whole_or_not_at_all(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 3, 6000);

	job->steps[0].gang = true;
	sched_fixture_submit(fixture, job);
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->starts->len, 0);
	sched_fixture_add_upstream(fixture, "u3", ENDPOINT_3);
	sched_fixture_run(fixture, 1);
	assert_int_equal(fixture->starts->len, 3);
	for (guint i = 1; i < 3; i++)
		assert_int_equal(sched_fixture_order(fixture->starts, i)->run,
				 sched_fixture_order(fixture->starts, 0)->run);
	/* one is refused: the others are stopped, not left to wait for it */
	sched_fixture_handle_start_result(
		fixture, sched_fixture_order(fixture->starts, 0),
		WWH_ORDER_NO_ROOM);
	assert_int_equal(fixture->stops->len, 2);
}

/*
 * A gang is tried that is too large for the pool. What its trial took was
 * taken for used, and the jobs behind it waited beside a free upstream.
 */
void a_gang_that_does_not_fit_leaves_the_room_to_others(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *gang = sched_fixture_job(JOB_A, 12, 1000);

	gang->steps[0].gang = true;
	sched_fixture_submit(fixture, gang);
	assert_int_equal(fixture->starts->len, 0);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 2, 1000));
	assert_int_equal(fixture->starts->len, 2);
}

void one_end_of_a_gang_stands_for_all(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 2, 6000);
	wwh_ended_task_t ended;

	job->steps[0].gang = true;
	sched_fixture_submit(fixture, job);
	sched_fixture_run(fixture, 500);
	ended = sched_fixture_ended_row(sched_fixture_order(fixture->starts, 0),
					1, WWH_END_DONE);
	sched_fixture_answer_poll(
		fixture, sched_fixture_order(fixture->starts, 0)->upstream,
		NULL, 0, &ended, 1);
	sched_fixture_make_durable(fixture);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

void a_lasting_task_is_started_again_however_it_ends(void **state)
{
	static const wwh_end_kind_t kinds[] = {
		WWH_END_FAILED, WWH_END_FAILED, WWH_END_FAILED,
		WWH_END_FAILED, WWH_END_DONE,	WWH_END_LAPSED
	};
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, 1000);

	job->steps[0].lasting = true;
	sched_fixture_submit(fixture, job);
	for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) {
		wwh_ended_task_t ended;

		assert_int_equal(fixture->starts->len, i + 1);
		ended = sched_fixture_ended_row(
			sched_fixture_order(fixture->starts, i), i + 1,
			kinds[i]);
		sched_fixture_run(fixture, 500);
		sched_fixture_answer_poll(fixture, "u1", NULL, 0, &ended, 1);
		sched_fixture_make_durable(fixture);
		sched_fixture_run(fixture, 15000);
		sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
		sched_fixture_run(fixture, 1);
	}
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
}

void occurrences_start_when_they_are_due(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 1, 1000);

	job->repeat_count = 3;
	job->first_wall_ms = SCHED_FIXTURE_WALL_MS + 2000;
	job->interval_ms = 1000;
	sched_fixture_submit(fixture, job);
	sched_fixture_run(fixture, 1500);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 300);
	assert_int_equal(fixture->starts->len, 0);
	for (guint i = 0; i < 3; i++) {
		char name[WWH_TASK_NAME_BYTES];

		sched_fixture_run(fixture, i == 0 ? 300 : 1000);
		sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
		sched_fixture_run(fixture, 1);
		snprintf(name, sizeof(name), JOB_A ".%u.0.0", i);
		assert_int_equal(fixture->starts->len, i + 1);
		assert_string_equal(
			sched_fixture_order(fixture->starts, i)->task, name);
	}
}

/*
 * A caller asks for more GPUs than can be added up, while another task has
 * one. The sum turned negative and fitted everywhere: the task was started on
 * a host that has two, and that host's GPUs were given away without end.
 */
void a_need_that_cannot_be_added_up_fits_nowhere(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *small = sched_fixture_job(JOB_A, 1, 1000);
	wwh_job_t *huge = sched_fixture_job(JOB_B, 1, 1000);

	small->steps[0].need.gpus = 1;
	sched_fixture_submit(fixture, small);
	assert_int_equal(fixture->starts->len, 1);
	huge->steps[0].need.gpus = INT64_MAX;
	sched_fixture_submit(fixture, huge);
	sched_fixture_run(fixture, 1000);
	assert_int_equal(fixture->starts->len, 1);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_B),
			 WWH_PROGRESS_QUEUED);
}

/* A host is full by a filler's figures; ordinary tasks start all the same. */
void a_filler_takes_no_processor_from_others(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *filler = sched_fixture_job(JOB_A, 2, 8000);

	filler->steps[0].filler = true;
	sched_fixture_submit(fixture, filler);
	assert_int_equal(fixture->starts->len, 2);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 9, 1000));
	assert_int_equal(fixture->starts->len, 2 + 8);
}

void a_cancelled_job_stops_and_starts_nothing(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t record;

	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 9, 1000));
	assert_int_equal(fixture->starts->len, 8);
	assert_true(wwh_scheduler_cancel(fixture->scheduler, JOB_A,
					 fixture->now_ms, &record));
	assert_int_equal(fixture->stops->len, 8);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
	sched_fixture_make_durable(fixture);
	assert_true(record <= fixture->record);
	assert_int_equal(wwh_scheduler_job_state(fixture->scheduler, JOB_A),
			 WWH_PROGRESS_CANCELLED);
	sched_fixture_run(fixture, 1000);
	sched_fixture_answer_poll(fixture, "u1", NULL, 0, NULL, 0);
	sched_fixture_run(fixture, 1000);
	assert_int_equal(fixture->starts->len, 8);
}

/*
 * A caller asks for more cores than any host has, or for so much that sums of it
 * run over. Its tasks never start, and yet the pool's size went by them: hosts
 * were called from pools whose callers wait.
 */
void work_that_no_host_can_hold_draws_none(void **state)
{
	static const int64_t needs[] = { 8001, INT64_MAX / 2, INT64_MAX };
	static const char *const ids[] = { JOB_A, JOB_B, "00000000000000cc" };
	sched_fixture_t *fixture = *state;
	wwh_pool_demand_t figures;

	for (size_t i = 0; i < G_N_ELEMENTS(needs); i++) {
		wwh_job_t *job = sched_fixture_job(ids[i], 8, needs[i]);

		job->steps[0].estimate_ms = INT64_MAX / 4;
		job->steps[0].lasting = i == 1;
		sched_fixture_submit(fixture, job);
	}
	figures = wwh_scheduler_pool_demand(fixture->scheduler,
					    SCHED_FIXTURE_POOL);
	assert_int_equal(fixture->starts->len, 0);
	assert_int_equal(figures.remaining_work, 0);
	assert_int_equal(figures.usable_millicores, 0);
	assert_int_equal(figures.recent_work, 0);
	assert_int_equal(figures.recent_millicores, 0);
	assert_int_equal(figures.lasting, 0);
}

/* A guess of years draws as many hosts as there are, and no sum runs over. */
void an_absurd_estimate_counts_as_a_long_one(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 10000, 1000);
	wwh_pool_demand_t figures;

	job->steps[0].estimate_ms = INT64_MAX;
	sched_fixture_submit(fixture, job);
	figures = wwh_scheduler_pool_demand(fixture->scheduler,
					    SCHED_FIXTURE_POOL);
	assert_true(figures.remaining_work > 0);
	assert_true(figures.remaining_work < INT64_MAX / 1000);
	assert_true(figures.recent_work > 0);
}
