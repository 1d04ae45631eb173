/*
 * The scheduler, event by event: what is ordered, what is kept, and what a
 * caller is shown, where answers are lost, late, or of a holder before.
 */

#include "rig.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define AT_1 "10.0.0.1:1"
#define AT_2 "10.0.0.2:1"

static void a_job_runs_to_its_end(void **state)
{
	rig_t *rig = rig_new();
	rig_order_t order;
	wwh_ended_t ended;

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	assert_int_equal(rig->starts->len, 1);
	order = *rig_order(rig->starts, 0);
	assert_string_equal(order.task, JOB_A ".0.0.0");
	assert_int_equal(order.run, 1);
	rig_start_ended(rig, &order, WWH_ORDER_DONE);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
	rig_run(rig, 500);
	ended = rig_ended(&order, 1, WWH_END_DONE);
	rig_answer_poll(rig, "u1", NULL, 0, &ended, 1);
	rig_durable(rig);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
	rig_delete(rig);
}

static void nothing_starts_before_the_job_is_durable(void **state)
{
	rig_t *rig = rig_new();
	int64_t record;

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	(void)wwh_scheduler_submit(rig->scheduler, rig_job(JOB_A, 1, 1000),
				   rig->now_ms, &record);
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 0);
	wwh_scheduler_set_durable(rig->scheduler, record);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 1);
	rig_delete(rig);
}

static void a_completed_job_is_shown_once_it_is_durable(void **state)
{
	rig_t *rig = rig_new();
	wwh_ended_t ended;

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	rig_run(rig, 500);
	ended = rig_ended(rig_order(rig->starts, 0), 1, WWH_END_DONE);
	rig_answer_poll(rig, "u1", NULL, 0, &ended, 1);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_ACTIVE);
	rig_durable(rig);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
	rig_delete(rig);
}

/*
 * A caller's task runs twice: its end is listed, an older record becomes
 * durable at that moment, and the upstream is told that it may forget the
 * end. The holder then loses the store; the next one finds the task neither
 * done in the journal nor listed, and starts it again.
 */
static void an_end_is_covered_only_by_its_own_record(void **state)
{
	rig_t *rig = rig_new();
	wwh_ended_t ended;
	rig_poll_t poll;
	int64_t record;

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	(void)wwh_scheduler_submit(rig->scheduler, rig_job(JOB_B, 1, 1000),
				   rig->now_ms, &record);
	rig_run(rig, 500);
	ended = rig_ended(rig_order(rig->starts, 0), 1, WWH_END_DONE);
	rig_answer_poll(rig, "u1", NULL, 0, &ended, 1);
	wwh_scheduler_set_durable(rig->scheduler, record);
	rig_run(rig, 500);
	poll = rig_answer_poll(rig, "u1", NULL, 0, &ended, 1);
	assert_int_equal(poll.acked_upto, 0);
	rig_durable(rig);
	rig_run(rig, 500);
	poll = rig_answer_poll(rig, "u1", NULL, 0, NULL, 0);
	assert_int_equal(poll.acked_upto, 1);
	rig_delete(rig);
}

/*
 * Ends that change no job (of runs that were stopped) are forgotten by the
 * upstream too; else its list grows and each poll comes back at once.
 */
static void ends_without_progress_are_acknowledged_too(void **state)
{
	rig_t *rig = rig_new();
	wwh_ended_t ended = { .number = 1,
			      .task = JOB_B ".0.0.0",
			      .run = 1,
			      .kind = WWH_END_STOPPED,
			      .checkpoint = "" };
	rig_poll_t poll;

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	rig_run(rig, 500);
	rig_answer_poll(rig, "u1", NULL, 0, &ended, 1);
	assert_true(wwh_scheduler_unflushed(rig->scheduler));
	rig_durable(rig);
	assert_false(wwh_scheduler_unflushed(rig->scheduler));
	rig_run(rig, 500);
	poll = rig_answer_poll(rig, "u1", NULL, 0, NULL, 0);
	assert_int_equal(poll.acked_upto, 1);
	rig_delete(rig);
}

/*
 * All hosts lose power. Callers who ask for a job that had ended seconds
 * before are told that there is none: the new holder took its age from a
 * clock that it hadn't been given yet, and forgot it at once.
 */
static void ended_jobs_are_answered_for_after_a_change_of_holder(void **state)
{
	rig_t *rig = rig_new();
	wwh_ended_t ended;

	(void)state;
	rig->now_ms += 10 * rig->options.forget_ms;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	rig_run(rig, 500);
	ended = rig_ended(rig_order(rig->starts, 0), 1, WWH_END_DONE);
	rig_answer_poll(rig, "u1", NULL, 0, &ended, 1);
	rig_durable(rig);
	rig_take_over(rig);
	rig_run(rig, 1500);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
	rig_run(rig, rig->options.forget_ms + 1500);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_UNKNOWN);
	rig_delete(rig);
}

/*
 * A start gets no answer. The task may have started, or may start seconds
 * later. It isn't started elsewhere before the upstream has confirmed a stop,
 * after which it refuses the late start.
 */
static void an_unanswered_start_is_settled_before_the_next(void **state)
{
	rig_t *rig = rig_new();
	rig_order_t order;

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	rig_add_upstream(rig, "u2", AT_2);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	order = *rig_order(rig->starts, 0);
	rig_run(rig, 1000);
	rig_start_ended(rig, &order, WWH_ORDER_UNKNOWN);
	/* a poll that was sent before says nothing */
	rig_answer_poll(rig, order.upstream, NULL, 0, NULL, 0);
	rig_run(rig, 500);
	assert_int_equal(rig->stops->len, 0);
	rig_answer_poll(rig, order.upstream, NULL, 0, NULL, 0);
	assert_int_equal(rig->stops->len, 1);
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 1);
	wwh_scheduler_stop_ended(rig->scheduler, order.upstream, order.task,
				 order.run, WWH_ORDER_DONE, rig->now_ms);
	/* this poll was sent before the stop was confirmed */
	rig_answer_poll(rig, order.upstream, NULL, 0, NULL, 0);
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 1);
	rig_answer_poll(rig, order.upstream, NULL, 0, NULL, 0);
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 2);
	assert_true(rig_order(rig->starts, 1)->run > order.run);
	rig_delete(rig);
}

static void an_unanswered_start_that_is_listed_goes_on(void **state)
{
	rig_t *rig = rig_new();
	wwh_running_t running;

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	rig_start_ended(rig, rig_order(rig->starts, 0), WWH_ORDER_UNKNOWN);
	rig_run(rig, 500);
	running = rig_running(rig_order(rig->starts, 0), 10);
	rig_answer_poll(rig, "u1", &running, 1, NULL, 0);
	rig_run(rig, 5000);
	assert_int_equal(rig->stops->len, 0);
	assert_int_equal(rig->starts->len, 1);
	rig_delete(rig);
}

/* Polls at silent get no answer, all others find nothing new. */
static void answer_all_but(rig_t *rig, const char *silent)
{
	guint count = rig->polls->len;

	for (guint i = 0; i < count; i++) {
		rig_poll_t poll = g_array_index(rig->polls, rig_poll_t, 0);

		if (strcmp(poll.upstream, silent) != 0) {
			rig_answer_poll(rig, poll.upstream, NULL, 0, NULL, 0);
			continue;
		}
		g_array_remove_index(rig->polls, 0);
		wwh_scheduler_poll_failed(rig->scheduler, silent, false,
					  rig->now_ms);
	}
}

/*
 * An upstream is cut off and runs on. Its tasks are started elsewhere only
 * when its lease must have lapsed by its own, slower clock; and then they
 * are, though it is asked all the while whether it is back.
 */
static void
a_silent_upstream_keeps_its_tasks_until_its_lease_is_over(void **state)
{
	rig_t *rig = rig_new();
	rig_order_t order;
	int64_t lease_ms;
	int64_t passed_ms = 0;

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	order = *rig_order(rig->starts, 0);
	rig_start_ended(rig, &order, WWH_ORDER_DONE);
	rig_add_upstream(rig, "u2", AT_2);
	lease_ms = order.lease_until_remote_ms - (rig->now_ms + 5000);
	while (rig->starts->len < 2) {
		rig_run(rig, 50);
		passed_ms += 50;
		answer_all_but(rig, "u1");
		assert_true(passed_ms < 2 * lease_ms);
	}
	assert_true(passed_ms >= lease_ms * 100 / 98);
	assert_string_equal(rig_order(rig->starts, 1)->upstream, "u2");
	rig_delete(rig);
}

/*
 * A new holder finds a job in the journal whose task may run at an upstream
 * that doesn't answer it. Started at once elsewhere, it would run twice.
 */
static void a_new_holder_asks_each_upstream_before_it_starts(void **state)
{
	rig_t *rig = rig_new();
	wwh_running_t running;
	rig_order_t order;

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	order = *rig_order(rig->starts, 0);
	rig_take_over(rig);
	rig_add_upstream(rig, "u2", AT_2);
	rig_run(rig, 100);
	assert_int_equal(rig->starts->len, 1);
	running = rig_running(&order, 40);
	rig_answer_poll(rig, "u1", &running, 1, NULL, 0);
	rig_run(rig, 1000);
	assert_int_equal(rig->starts->len, 1);
	assert_int_equal(rig->stops->len, 0);
	assert_int_equal(wwh_scheduler_counts(rig->scheduler).tasks_out, 1);
	rig_delete(rig);
}

static void a_new_holder_goes_on_when_all_upstreams_have_answered(void **state)
{
	rig_t *rig = rig_new();

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	rig_take_over(rig);
	rig_announce(rig, "u1", AT_1, false);
	rig_run(rig, 100);
	assert_int_equal(rig->starts->len, 1);
	rig_answer_poll(rig, "u1", NULL, 0, NULL, 0);
	rig_run(rig, 100);
	assert_int_equal(rig->starts->len, 2);
	assert_true(rig_order(rig->starts, 1)->run >
		    rig_order(rig->starts, 0)->run);
	rig_delete(rig);
}

/* What runs without being wanted is stopped, and stopped again. */
static void an_orphan_run_is_stopped_until_it_is_gone(void **state)
{
	rig_t *rig = rig_new();
	wwh_running_t orphan = {
		.task = JOB_B ".0.0.0", .run = 3, .checkpoint = "", .percent = 5
	};

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	for (int32_t i = 0; i < 3; i++) {
		rig_run(rig, 1500);
		rig_answer_poll(rig, "u1", &orphan, 1, NULL, 0);
		assert_int_equal(rig->stops->len, i + 1);
	}
	assert_int_equal(rig_order(rig->stops, 0)->run, 3);
	/* and nothing new is put where its room isn't known */
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	assert_int_equal(rig->starts->len, 0);
	rig_delete(rig);
}

static void a_cancelled_job_stops_and_starts_nothing(void **state)
{
	rig_t *rig = rig_new();
	int64_t record;

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
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
	rig_delete(rig);
}

static void a_step_waits_for_all_tasks_of_those_before_it(void **state)
{
	rig_t *rig = rig_new();
	wwh_job_t *job = wwh_job_new(2);
	wwh_job_t *like = rig_job(JOB_A, 2, 1000);
	wwh_ended_t ended[2];

	(void)state;
	g_strlcpy(job->id, like->id, sizeof(job->id));
	wwh_job_queue_copy(&job->queue, &like->queue);
	job->payload = g_strdup("text");
	job->steps[0] = like->steps[0];
	job->steps[1] = like->steps[0];
	job->steps[1].task_count = 1;
	job->steps[1].after = g_new0(int32_t, 1);
	job->steps[1].after_count = 1;
	wwh_job_delete(like);
	rig_add_upstream(rig, "u1", AT_1);
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
		wwh_running_t second =
			rig_running(rig_order(rig->starts, 1), 50);

		rig_answer_poll(rig, "u1", &second, 1, ended, 1);
	}
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 2);
	rig_answer_poll(rig, "u1", NULL, 0, ended, 2);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 3);
	assert_string_equal(rig_order(rig->starts, 2)->task, JOB_A ".0.1.0");
	rig_delete(rig);
}

/* Attempts are counted over changes of holder, and each only once. */
static void a_task_fails_as_often_as_its_queue_allows(void **state)
{
	rig_t *rig = rig_new();

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	for (guint i = 0; i < 3; i++) {
		wwh_ended_t ended;

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
	rig_delete(rig);
}

/*
 * A task fails twice, at two upstreams, while its holder can't reach the
 * store. The next holder hears of the second failure first. It took the
 * first for one that it had counted, and started the task once too often.
 */
static void failures_count_in_whatever_order_they_are_heard(void **state)
{
	rig_t *rig = rig_new();
	wwh_job_t *job = rig_job(JOB_A, 1, 1000);
	wwh_ended_t first;
	wwh_ended_t second;

	(void)state;
	job->queue.max_attempts = 2;
	rig_add_upstream(rig, "u1", AT_1);
	rig_add_upstream(rig, "u2", AT_2);
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
	rig_delete(rig);
}

/*
 * As before, but the last run goes on when the new holder finds it: the
 * failure of the run before that one counts too, or the task gets one start
 * more than its queue allows.
 */
static void a_failure_counts_while_a_later_run_is_out(void **state)
{
	rig_t *rig = rig_new();
	wwh_job_t *job = rig_job(JOB_A, 1, 1000);
	wwh_running_t running;
	wwh_ended_t ended[2];

	(void)state;
	job->queue.max_attempts = 2;
	rig_add_upstream(rig, "u1", AT_1);
	rig_add_upstream(rig, "u2", AT_2);
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
	rig_delete(rig);
}

/*
 * A new holder goes on with a wave before all upstreams have answered it. It
 * took one that it knew no tasks of for empty, and ended two of a step that
 * may miss one.
 */
static void a_host_that_has_not_answered_is_not_taken_down(void **state)
{
	rig_t *rig = rig_new();
	wwh_job_t *job = rig_job(JOB_A, 2, 1000);

	(void)state;
	job->steps[0].lasting = true;
	job->steps[0].max_unavailable = 1;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, job);
	assert_int_equal(rig->starts->len, 2);
	rig_take_over(rig);
	rig_announce(rig, "u1", AT_1, false);
	rig_run(rig, 100);
	assert_false(
		wwh_scheduler_cordon(rig->scheduler, "u1", true, rig->now_ms));
	rig_delete(rig);
}

static void a_gang_starts_whole_or_not_at_all(void **state)
{
	rig_t *rig = rig_new();
	wwh_job_t *job = rig_job(JOB_A, 3, 6000);

	(void)state;
	job->steps[0].gang = true;
	rig_add_upstream(rig, "u1", AT_1);
	rig_add_upstream(rig, "u2", AT_2);
	rig_submit(rig, job);
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 0);
	rig_add_upstream(rig, "u3", "10.0.0.3:1");
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 3);
	for (guint i = 1; i < 3; i++)
		assert_int_equal(rig_order(rig->starts, i)->run,
				 rig_order(rig->starts, 0)->run);
	/* one is refused: the others are stopped, not left to wait for it */
	rig_start_ended(rig, rig_order(rig->starts, 0), WWH_ORDER_NO_ROOM);
	assert_int_equal(rig->stops->len, 2);
	rig_delete(rig);
}

static void one_end_of_a_gang_stands_for_all(void **state)
{
	rig_t *rig = rig_new();
	wwh_job_t *job = rig_job(JOB_A, 2, 6000);
	wwh_ended_t ended;

	(void)state;
	job->steps[0].gang = true;
	rig_add_upstream(rig, "u1", AT_1);
	rig_add_upstream(rig, "u2", AT_2);
	rig_submit(rig, job);
	rig_run(rig, 500);
	ended = rig_ended(rig_order(rig->starts, 0), 1, WWH_END_DONE);
	rig_answer_poll(rig, rig_order(rig->starts, 0)->upstream, NULL, 0,
			&ended, 1);
	rig_durable(rig);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
	rig_delete(rig);
}

/*
 * Two hosts of a wave are taken down in the same moment. Each holds one task
 * of a step that may miss one; asked one after the other, before the first
 * is seen to be gone, both were let go and the step missed two.
 */
static void hosts_taken_down_together_share_what_a_step_may_miss(void **state)
{
	rig_t *rig = rig_new();
	wwh_job_t *job = rig_job(JOB_A, 3, 1000);
	char upstreams[3][32];

	(void)state;
	job->steps[0].lasting = true;
	job->steps[0].max_per_upstream = 1;
	job->steps[0].max_unavailable = 1;
	rig_add_upstream(rig, "u1", AT_1);
	rig_add_upstream(rig, "u2", AT_2);
	rig_add_upstream(rig, "u3", "10.0.0.3:1");
	rig_submit(rig, job);
	assert_int_equal(rig->starts->len, 3);
	rig_run(rig, 500);
	for (guint i = 0; i < 3; i++) {
		rig_order_t *order = rig_order(rig->starts, i);
		wwh_running_t running = rig_running(order, 100);

		g_strlcpy(upstreams[i], order->upstream, sizeof(upstreams[i]));
		rig_answer_poll(rig, upstreams[i], &running, 1, NULL, 0);
	}
	assert_true(wwh_scheduler_cordon(rig->scheduler, upstreams[0], true,
					 rig->now_ms));
	assert_false(wwh_scheduler_cordon(rig->scheduler, upstreams[1], true,
					  rig->now_ms));
	wwh_scheduler_uncordon(rig->scheduler, upstreams[0]);
	assert_true(wwh_scheduler_cordon(rig->scheduler, upstreams[1], true,
					 rig->now_ms));
	rig_delete(rig);
}

static void a_lasting_task_is_started_again_however_it_ends(void **state)
{
	static const wwh_end_kind_t kinds[] = {
		WWH_END_FAILED, WWH_END_FAILED, WWH_END_FAILED,
		WWH_END_FAILED, WWH_END_DONE,	WWH_END_LAPSED
	};
	rig_t *rig = rig_new();
	wwh_job_t *job = rig_job(JOB_A, 1, 1000);

	(void)state;
	job->steps[0].lasting = true;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, job);
	for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) {
		wwh_ended_t ended;

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
	rig_delete(rig);
}

static void occurrences_start_when_they_are_due(void **state)
{
	rig_t *rig = rig_new();
	wwh_job_t *job = rig_job(JOB_A, 1, 1000);

	(void)state;
	job->repeat_count = 3;
	job->first_wall_ms = RIG_WALL_MS + 2000;
	job->interval_ms = 1000;
	rig_add_upstream(rig, "u1", AT_1);
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
	rig_delete(rig);
}

static void the_same_id_is_the_same_job(void **state)
{
	rig_t *rig = rig_new();
	int64_t first;
	int64_t second;

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	assert_int_equal(wwh_scheduler_submit(rig->scheduler,
					      rig_job(JOB_A, 1, 1000),
					      rig->now_ms, &first),
			 WWH_SUBMIT_ACCEPTED);
	assert_int_equal(wwh_scheduler_submit(rig->scheduler,
					      rig_job(JOB_A, 7, 1000),
					      rig->now_ms, &second),
			 WWH_SUBMIT_KNOWN);
	assert_int_equal(first, second);
	rig_durable(rig);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 1);
	rig_delete(rig);
}

/*
 * An upstream answers its polls and does no work. The task goes elsewhere
 * after it was confirmed to be stopped.
 */
static void a_task_that_stands_still_is_started_elsewhere(void **state)
{
	rig_t *rig = rig_new();
	wwh_running_t running;
	rig_order_t order;

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	order = *rig_order(rig->starts, 0);
	rig_start_ended(rig, &order, WWH_ORDER_DONE);
	for (int32_t i = 0; i < 4 && rig->stops->len == 0; i++) {
		rig_run(rig, 700);
		running = rig_running(&order, 12);
		rig_answer_poll(rig, "u1", &running, 1, NULL, 0);
	}
	assert_int_equal(rig->stops->len, 1);
	rig_add_upstream(rig, "u2", AT_2);
	assert_int_equal(rig->starts->len, 1);
	{
		wwh_ended_t ended = rig_ended(&order, 1, WWH_END_STOPPED);

		rig_run(rig, 500);
		rig_answer_poll(rig, "u1", NULL, 0, &ended, 1);
	}
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 2);
	assert_string_equal(rig_order(rig->starts, 1)->upstream, "u2");
	rig_delete(rig);
}

static void a_task_that_goes_on_slowly_is_left_alone(void **state)
{
	rig_t *rig = rig_new();
	wwh_running_t running;

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	rig_start_ended(rig, rig_order(rig->starts, 0), WWH_ORDER_DONE);
	for (int32_t i = 1; i < 20; i++) {
		rig_run(rig, 1000);
		running = rig_running(rig_order(rig->starts, 0), i);
		rig_answer_poll(rig, "u1", &running, 1, NULL, 0);
	}
	assert_int_equal(rig->stops->len, 0);
	rig_delete(rig);
}

/*
 * Users of a serving task wait too long because a filler runs beside it. The
 * filler is stopped in place at once, and let go by steps afterwards.
 */
static void fillers_give_way_to_serving_tasks(void **state)
{
	rig_t *rig = rig_new();
	wwh_job_t *serving = rig_job(JOB_A, 1, 1000);
	wwh_job_t *filler = rig_job(JOB_B, 1, 1000);
	wwh_running_t rows[2];

	(void)state;
	serving->steps[0].lasting = true;
	serving->steps[0].latency_target_ms = 200;
	filler->steps[0].filler = true;
	rig_add_upstream(rig, "u1", AT_1);
	rig_submit(rig, serving);
	rig_submit(rig, filler);
	assert_int_equal(rig->starts->len, 2);
	for (guint i = 0; i < 2; i++) {
		rows[i] = rig_running(rig_order(rig->starts, i), 100);
		rig_start_ended(rig, rig_order(rig->starts, i), WWH_ORDER_DONE);
	}
	rows[0].tail_ms = 300;
	rig_run(rig, 1000);
	rig_answer_poll(rig, "u1", rows, 2, NULL, 0);
	assert_int_equal(rig->paces, 1);
	assert_int_equal(rig->last_pace, 0);
	wwh_scheduler_pace_ended(rig->scheduler, "u1", rows[1].task, 1,
				 WWH_ORDER_DONE, rig->now_ms);
	rows[0].tail_ms = 50;
	for (int32_t pace = 25; pace <= 100; pace += 25) {
		rig_run(rig, 1000);
		rows[1].percent = pace;
		rig_answer_poll(rig, "u1", rows, 2, NULL, 0);
		assert_int_equal(rig->last_pace, pace);
		wwh_scheduler_pace_ended(rig->scheduler, "u1", rows[1].task, 1,
					 WWH_ORDER_DONE, rig->now_ms);
	}
	rig_run(rig, 1000);
	rig_answer_poll(rig, "u1", rows, 2, NULL, 0);
	assert_int_equal(rig->paces, 5);
	rig_delete(rig);
}

/* A queue's policy admits only some upstreams; their tickets expire. */
static void advice_is_asked_before_a_start_and_renewed(void **state)
{
	rig_t *rig = rig_new();
	wwh_job_t *job = rig_job(JOB_A, 12, 1000);
	wwh_advice_ticket_t admitted = { .upstream = "u2", .ticket = "t" };

	(void)state;
	job->queue.advice_valid_ms = 3000;
	rig_add_upstream(rig, "u1", AT_1);
	rig_add_upstream(rig, "u2", AT_2);
	rig_submit(rig, job);
	assert_int_equal(rig->starts->len, 0);
	assert_int_equal(rig->advices, 1);
	assert_int_equal(rig->advised_upstreams, 2);
	assert_string_equal(rig->advised_step, JOB_A ".0.0");
	wwh_scheduler_advised(rig->scheduler, JOB_A ".0.0", &admitted, 1, 3000,
			      rig->now_ms);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 8);
	for (guint i = 0; i < 8; i++)
		assert_string_equal(rig_order(rig->starts, i)->upstream, "u2");
	/* the answer doesn't change: only the ticket is asked for anew */
	rig_run(rig, 3500);
	answer_all_but(rig, "");
	rig_run(rig, 1000);
	assert_int_equal(rig->advices, 2);
	assert_int_equal(rig->advised_upstreams, 1);
	rig_delete(rig);
}

static void nothing_new_goes_to_a_leaving_upstream(void **state)
{
	rig_t *rig = rig_new();

	(void)state;
	rig_add_upstream(rig, "u1", AT_1);
	rig_announce(rig, "u1", AT_1, true);
	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	rig_run(rig, 500);
	assert_int_equal(rig->starts->len, 0);
	rig_delete(rig);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_job_runs_to_its_end),
		cmocka_unit_test(nothing_starts_before_the_job_is_durable),
		cmocka_unit_test(a_completed_job_is_shown_once_it_is_durable),
		cmocka_unit_test(an_end_is_covered_only_by_its_own_record),
		cmocka_unit_test(ends_without_progress_are_acknowledged_too),
		cmocka_unit_test(
			ended_jobs_are_answered_for_after_a_change_of_holder),
		cmocka_unit_test(
			an_unanswered_start_is_settled_before_the_next),
		cmocka_unit_test(an_unanswered_start_that_is_listed_goes_on),
		cmocka_unit_test(
			a_silent_upstream_keeps_its_tasks_until_its_lease_is_over),
		cmocka_unit_test(
			a_new_holder_asks_each_upstream_before_it_starts),
		cmocka_unit_test(
			a_new_holder_goes_on_when_all_upstreams_have_answered),
		cmocka_unit_test(an_orphan_run_is_stopped_until_it_is_gone),
		cmocka_unit_test(a_cancelled_job_stops_and_starts_nothing),
		cmocka_unit_test(a_step_waits_for_all_tasks_of_those_before_it),
		cmocka_unit_test(a_task_fails_as_often_as_its_queue_allows),
		cmocka_unit_test(
			failures_count_in_whatever_order_they_are_heard),
		cmocka_unit_test(a_failure_counts_while_a_later_run_is_out),
		cmocka_unit_test(
			a_host_that_has_not_answered_is_not_taken_down),
		cmocka_unit_test(a_gang_starts_whole_or_not_at_all),
		cmocka_unit_test(one_end_of_a_gang_stands_for_all),
		cmocka_unit_test(
			hosts_taken_down_together_share_what_a_step_may_miss),
		cmocka_unit_test(
			a_lasting_task_is_started_again_however_it_ends),
		cmocka_unit_test(occurrences_start_when_they_are_due),
		cmocka_unit_test(the_same_id_is_the_same_job),
		cmocka_unit_test(a_task_that_stands_still_is_started_elsewhere),
		cmocka_unit_test(a_task_that_goes_on_slowly_is_left_alone),
		cmocka_unit_test(fillers_give_way_to_serving_tasks),
		cmocka_unit_test(advice_is_asked_before_a_start_and_renewed),
		cmocka_unit_test(nothing_new_goes_to_a_leaving_upstream),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
