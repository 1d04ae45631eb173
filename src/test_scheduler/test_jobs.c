/*
 * What becomes of a job: order of steps, gangs, attempts, cancels, repeats.
 */

#include "test_scheduler.h"

void a_step_waits_for_all_tasks_of_those_before_it(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = wwh_job_new(2);
	wwh_job_t *like = rig_job(JOB_A, 2, 1000);
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
	rig_submit(rig, job);
	assert_int_equal(rig->starts->len, 2);
	for (int32_t i = 0; i < 2; i++) {
		ended[i] = rig_ended(rig_order(rig->starts, (guint)i), i + 1,
				     WWH_END_DONE);
		rig_start_ended(rig, rig_order(rig->starts, (guint)i),
				WWH_ORDER_DONE);
	}
	rig_run(rig, 500);
	{
		wwh_running_task_t second =
			rig_running(rig_order(rig->starts, 1), 50);

		rig_answer_poll(rig, "u1", &second, 1, ended, 1);
	}
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 2);
	rig_answer_poll(rig, "u1", NULL, 0, ended, 2);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 3);
	assert_string_equal(rig_order(rig->starts, 2)->task, JOB_A ".0.1.0");
}

/* Attempts are counted over changes of holder, and each only once. */
void a_task_fails_as_often_as_its_queue_allows(void **state)
{
	rig_t *rig = *state;

	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	for (guint i = 0; i < 3; i++) {
		wwh_ended_task_t ended;

		assert_int_equal(rig->starts->len, i + 1);
		ended = rig_ended(rig_order(rig->starts, i), i + 1,
				  WWH_END_FAILED);
		rig_run(rig, 500);
		rig_answer_poll(rig, "u1", NULL, 0, &ended, 1);
		rig_durable(rig);
		if (i == 1) {
			/* the end is listed again to the next holder */
			rig_take_over(rig);
			rig_announce(rig, "u1", AT_1, false);
			rig_run(rig, 100);
			rig_answer_poll(rig, "u1", NULL, 0, &ended, 1);
			rig_durable(rig);
		}
		assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
				 i == 2 ? WWH_PROGRESS_FAILED
					: WWH_PROGRESS_ACTIVE);
		rig_run(rig, 500);
	}
	rig_run(rig, 5000);
	assert_int_equal(rig->starts->len, 3);
}

/*
 * A task fails twice, at two upstreams, while its holder can't reach the
 * store. The next holder hears of the second failure first. It took the
 * first for one that it had counted, and started the task once too often.
 */
void failures_count_in_whatever_order_they_are_heard(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, 1, 1000);
	wwh_ended_task_t first;
	wwh_ended_task_t second;

	job->queue.max_attempts = 2;
	rig_submit(rig, job);
	first = rig_ended(rig_order(rig->starts, 0), 1, WWH_END_FAILED);
	rig_run(rig, 500);
	rig_answer_poll(rig, rig_order(rig->starts, 0)->upstream, NULL, 0,
			&first, 1);
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 2);
	second = rig_ended(rig_order(rig->starts, 1), 1, WWH_END_FAILED);
	assert_string_not_equal(rig_order(rig->starts, 0)->upstream,
				rig_order(rig->starts, 1)->upstream);
	rig_take_over(rig);
	rig_announce(rig, "u1", AT_1, false);
	rig_announce(rig, "u2", AT_2, false);
	rig_run(rig, 100);
	rig_answer_poll(rig, rig_order(rig->starts, 1)->upstream, NULL, 0,
			&second, 1);
	rig_answer_poll(rig, rig_order(rig->starts, 0)->upstream, NULL, 0,
			&first, 1);
	rig_durable(rig);
	rig_run(rig, 1000);
	assert_int_equal(rig->starts->len, 2);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_FAILED);
}

/*
 * As before, but the last run goes on when the new holder finds it: the
 * failure of the run before that one counts too, or the task gets one start
 * more than its queue allows.
 */
void a_failure_counts_while_a_later_run_is_out(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, 1, 1000);
	wwh_running_task_t running;
	wwh_ended_task_t ended[2];

	job->queue.max_attempts = 2;
	rig_submit(rig, job);
	ended[0] = rig_ended(rig_order(rig->starts, 0), 1, WWH_END_FAILED);
	rig_run(rig, 500);
	rig_answer_poll(rig, rig_order(rig->starts, 0)->upstream, NULL, 0,
			ended, 1);
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 2);
	rig_take_over(rig);
	rig_announce(rig, "u1", AT_1, false);
	rig_announce(rig, "u2", AT_2, false);
	rig_run(rig, 100);
	running = rig_running(rig_order(rig->starts, 1), 50);
	rig_answer_poll(rig, rig_order(rig->starts, 1)->upstream, &running, 1,
			NULL, 0);
	rig_answer_poll(rig, rig_order(rig->starts, 0)->upstream, NULL, 0,
			ended, 1);
	rig_run(rig, 500);
	ended[1] = rig_ended(rig_order(rig->starts, 1), 1, WWH_END_FAILED);
	rig_answer_poll(rig, rig_order(rig->starts, 1)->upstream, NULL, 0,
			&ended[1], 1);
	rig_durable(rig);
	rig_run(rig, 1000);
	assert_int_equal(rig->starts->len, 2);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_FAILED);
}

void a_gang_starts_whole_or_not_at_all(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, 3, 6000);

	job->steps[0].gang = true;
	rig_submit(rig, job);
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 0);
	rig_add_upstream(rig, "u3", AT_3);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 3);
	for (guint i = 1; i < 3; i++)
		assert_int_equal(rig_order(rig->starts, i)->run,
				 rig_order(rig->starts, 0)->run);
	/* one is refused: the others are stopped, not left to wait for it */
	rig_start_ended(rig, rig_order(rig->starts, 0), WWH_ORDER_NO_ROOM);
	assert_int_equal(rig->stops->len, 2);
}

/*
 * A gang is tried that is too large for the pool. What its trial took was
 * taken for used, and the jobs behind it waited beside a free upstream.
 */
void a_gang_that_does_not_fit_leaves_the_room_to_others(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *gang = rig_job(JOB_A, 12, 1000);

	gang->steps[0].gang = true;
	rig_submit(rig, gang);
	assert_int_equal(rig->starts->len, 0);
	rig_submit(rig, rig_job(JOB_B, 2, 1000));
	assert_int_equal(rig->starts->len, 2);
}

void one_end_of_a_gang_stands_for_all(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, 2, 6000);
	wwh_ended_task_t ended;

	job->steps[0].gang = true;
	rig_submit(rig, job);
	rig_run(rig, 500);
	ended = rig_ended(rig_order(rig->starts, 0), 1, WWH_END_DONE);
	rig_answer_poll(rig, rig_order(rig->starts, 0)->upstream, NULL, 0,
			&ended, 1);
	rig_durable(rig);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

void a_lasting_task_is_started_again_however_it_ends(void **state)
{
	static const wwh_end_kind_t kinds[] = {
		WWH_END_FAILED, WWH_END_FAILED, WWH_END_FAILED,
		WWH_END_FAILED, WWH_END_DONE,	WWH_END_LAPSED
	};
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, 1, 1000);

	job->steps[0].lasting = true;
	rig_submit(rig, job);
	for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) {
		wwh_ended_task_t ended;

		assert_int_equal(rig->starts->len, i + 1);
		ended = rig_ended(rig_order(rig->starts, i), i + 1, kinds[i]);
		rig_run(rig, 500);
		rig_answer_poll(rig, "u1", NULL, 0, &ended, 1);
		rig_durable(rig);
		rig_run(rig, 15000);
		rig_answer_poll(rig, "u1", NULL, 0, NULL, 0);
		rig_run(rig, 1);
	}
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
}

void occurrences_start_when_they_are_due(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, 1, 1000);

	job->repeat_count = 3;
	job->first_wall_ms = RIG_WALL_MS + 2000;
	job->interval_ms = 1000;
	rig_submit(rig, job);
	rig_run(rig, 1500);
	rig_answer_poll(rig, "u1", NULL, 0, NULL, 0);
	rig_run(rig, 300);
	assert_int_equal(rig->starts->len, 0);
	for (guint i = 0; i < 3; i++) {
		char name[WWH_TASK_NAME_BYTES];

		rig_run(rig, i == 0 ? 300 : 1000);
		rig_answer_poll(rig, "u1", NULL, 0, NULL, 0);
		rig_run(rig, 1);
		snprintf(name, sizeof(name), JOB_A ".%u.0.0", i);
		assert_int_equal(rig->starts->len, i + 1);
		assert_string_equal(rig_order(rig->starts, i)->task, name);
	}
}

/*
 * A caller asks for more GPUs than can be added up, while another task has
 * one. The sum turned negative and fitted everywhere: the task was started on
 * a host that has two, and that host's GPUs were given away without end.
 */
void a_need_that_cannot_be_added_up_fits_nowhere(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *small = rig_job(JOB_A, 1, 1000);
	wwh_job_t *huge = rig_job(JOB_B, 1, 1000);

	small->steps[0].need.gpus = 1;
	rig_submit(rig, small);
	assert_int_equal(rig->starts->len, 1);
	huge->steps[0].need.gpus = INT64_MAX;
	rig_submit(rig, huge);
	rig_run(rig, 1000);
	assert_int_equal(rig->starts->len, 1);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_B),
			 WWH_PROGRESS_QUEUED);
}

/* A host is full by a filler's figures; ordinary tasks start all the same. */
void a_filler_takes_no_processor_from_others(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *filler = rig_job(JOB_A, 2, 8000);

	filler->steps[0].filler = true;
	rig_submit(rig, filler);
	assert_int_equal(rig->starts->len, 2);
	rig_submit(rig, rig_job(JOB_B, 9, 1000));
	assert_int_equal(rig->starts->len, 2 + 8);
}

void a_cancelled_job_stops_and_starts_nothing(void **state)
{
	rig_t *rig = *state;
	int64_t record;

	rig_submit(rig, rig_job(JOB_A, 9, 1000));
	assert_int_equal(rig->starts->len, 8);
	assert_true(wwh_scheduler_cancel(rig->scheduler, JOB_A, rig->now_ms,
					 &record));
	assert_int_equal(rig->stops->len, 8);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
	rig_durable(rig);
	assert_true(record <= rig->record);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_CANCELLED);
	rig_run(rig, 1000);
	rig_answer_poll(rig, "u1", NULL, 0, NULL, 0);
	rig_run(rig, 1000);
	assert_int_equal(rig->starts->len, 8);
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
	rig_t *rig = *state;
	wwh_pool_figures_t figures;

	for (size_t i = 0; i < G_N_ELEMENTS(needs); i++) {
		wwh_job_t *job = rig_job(ids[i], 8, needs[i]);

		job->steps[0].estimate_ms = INT64_MAX / 4;
		job->steps[0].lasting = i == 1;
		rig_submit(rig, job);
	}
	figures = wwh_scheduler_pool_figures(rig->scheduler, RIG_POOL);
	assert_int_equal(rig->starts->len, 0);
	assert_int_equal(figures.work_left, 0);
	assert_int_equal(figures.usable_now, 0);
	assert_int_equal(figures.arrived_work, 0);
	assert_int_equal(figures.arrived_usable, 0);
	assert_int_equal(figures.lasting, 0);
}

/* A guess of years draws as many hosts as there are, and no sum runs over. */
void an_absurd_estimate_counts_as_a_long_one(void **state)
{
	rig_t *rig = *state;
	wwh_job_t *job = rig_job(JOB_A, 10000, 1000);
	wwh_pool_figures_t figures;

	job->steps[0].estimate_ms = INT64_MAX;
	rig_submit(rig, job);
	figures = wwh_scheduler_pool_figures(rig->scheduler, RIG_POOL);
	assert_true(figures.work_left > 0);
	assert_true(figures.work_left < INT64_MAX / 1000);
	assert_true(figures.arrived_work > 0);
}
