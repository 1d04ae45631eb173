/*
 * Upstreams that have terminated: their final report counts, though it is read
 * after the sign of their termination.
 */

#include "test_scheduler.h"

/* A task runs, a poll waits at its upstream, and u2 has room as well. */
static rig_order_t run_one_task(rig_t *rig)
{
	rig_order_t order;

	rig_submit(rig, rig_job(JOB_A, 1, 1000));
	order = *rig_order(rig->starts, 0);
	rig_start_ended(rig, &order, WWH_ORDER_DONE);
	rig_run(rig, 100);
	(void)rig_poll_of(rig, order.upstream);
	return order;
}

/*
 * A task ends, its upstream says so, and at once its host is taken down for
 * upkeep. A busy holder reads the list of hosts first, which shows that the
 * upstream is gone, and the answer with the end a moment later. It had started
 * the task again by then: it ran a second time after it was done.
 */
void an_end_that_is_read_after_its_hosts_counts(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = run_one_task(rig);
	wwh_ended_task_t ended = rig_ended(&order, 1, WWH_END_DONE);

	wwh_scheduler_upstream_gone(rig->scheduler, order.upstream, "upkeep",
				    rig->now_ms);
	rig_run(rig, 20);
	assert_int_equal(rig->starts->len, 1);
	rig_answer_poll(rig, order.upstream, NULL, 0, &ended, 1);
	rig_run(rig, 1000);
	assert_int_equal(rig->starts->len, 1);
	rig_durable(rig);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

/*
 * A holder has taken over and asked all upstreams. One of them answers with the
 * end of a task and goes; a list of hosts without it is read before that answer.
 * The task ran a second time.
 */
void an_inherited_end_that_is_read_after_its_hosts_counts(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = run_one_task(rig);
	wwh_ended_task_t ended = rig_ended(&order, 1, WWH_END_DONE);
	const char *other = strcmp(order.upstream, "u1") == 0 ? "u2" : "u1";
	GHashTable *lives = g_hash_table_new(g_str_hash, g_str_equal);

	rig_take_over(rig);
	rig_run(rig, 20);
	rig_announce(rig, other, AT_2, false);
	rig_answer_poll(rig, other, NULL, 0, NULL, 0);
	g_hash_table_add(lives, (gpointer)other);
	wwh_scheduler_incarnations_asked(rig->scheduler);
	wwh_scheduler_incarnations_listed(rig->scheduler, lives, rig->now_ms);
	g_hash_table_destroy(lives);
	rig_run(rig, 20);
	rig_durable(rig);
	rig_run(rig, 20);
	assert_int_equal(rig->starts->len, 1);
	rig_answer_poll(rig, order.upstream, NULL, 0, &ended, 1);
	rig_run(rig, 1000);
	rig_durable(rig);
	assert_int_equal(rig->starts->len, 1);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

/* The connection may be silent for good, and the task waits meanwhile. */
void an_upstream_that_ended_is_heard_for_a_moment_only(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = run_one_task(rig);

	wwh_scheduler_upstream_gone(rig->scheduler, order.upstream, "upkeep",
				    rig->now_ms);
	rig_run(rig, 200);
	assert_int_equal(rig->starts->len, 2);
	assert_string_not_equal(rig_order(rig->starts, 1)->upstream,
				order.upstream);
}

/*
 * A holder hears that a task is done, and finds its upstream gone. It drops the
 * upstream's record, and another process takes over before the job's progress
 * is written: nothing tells of the end, nor of an upstream to ask. The task ran
 * again, 32 of them on one day.
 */
void an_upstream_is_forgotten_after_its_ends_are_kept(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = run_one_task(rig);
	wwh_ended_task_t ended = rig_ended(&order, 1, WWH_END_DONE);
	const char *other = strcmp(order.upstream, "u1") == 0 ? "u2" : "u1";

	rig_answer_poll(rig, order.upstream, NULL, 0, &ended, 1);
	wwh_scheduler_upstream_gone(rig->scheduler, order.upstream, "upkeep",
				    rig->now_ms);
	rig_run(rig, 20);
	rig_take_over(rig);
	rig_run(rig, 20);
	rig_answer_poll(rig, other, NULL, 0, NULL, 0);
	rig_announce(rig, other, AT_2, false);
	rig_run(rig, 20);
	rig_durable(rig);
	rig_run(rig, 20);
	assert_int_equal(rig->starts->len, 1);
	assert_int_equal(wwh_scheduler_job_state(rig->scheduler, JOB_A),
			 WWH_PROGRESS_COMPLETED);
}

void an_upstream_that_ended_without_a_word_is_not_waited_for(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = run_one_task(rig);

	wwh_scheduler_upstream_gone(rig->scheduler, order.upstream, "upkeep",
				    rig->now_ms);
	rig_run(rig, 1);
	(void)rig_take_poll(rig, order.upstream);
	wwh_scheduler_poll_failed(rig->scheduler, order.upstream, false,
				  rig->now_ms);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 2);
}

/*
 * After a change of holder a pool waits for the first answer of each inherited
 * upstream. A lost one is asked for again soon, and an upstream that is silent
 * for good isn't asked ever more often; once it has answered, it has its usual
 * time again.
 */
void a_first_answer_that_is_lost_is_asked_for_again_soon(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = run_one_task(rig);
	int64_t waited_ms = 0;
	rig_poll_t poll;

	rig_take_over(rig);
	rig_run(rig, 1);
	for (int32_t i = 0; i < 5; i++) {
		poll = rig_take_poll(rig, order.upstream);
		waited_ms += poll.limit_ms;
		if (i == 0)
			assert_in_range(poll.limit_ms, 100, 200);
		rig->now_ms += poll.limit_ms;
		wwh_scheduler_poll_failed(rig->scheduler, order.upstream, false,
					  rig->now_ms);
		rig_run(rig, 20);
	}
	assert_in_range(waited_ms, 2000, 3000);
	rig_announce(rig, order.upstream, AT_1, false);
	rig_answer_poll(rig, order.upstream, NULL, 0, NULL, 0);
	rig_run(rig, 100);
	assert_int_equal(rig_poll_of(rig, order.upstream).limit_ms, 700);
}
