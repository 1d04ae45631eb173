/*
 * The final report of a terminated upstream counts although it is read after
 * the evidence of the termination.
 */

#include "test_scheduler.h"

/*
 * Starts one task. A poll is in flight at its upstream, and the other upstream
 * has room for the task as well.
 */
static rig_order_t start_one_task(rig_t *rig)
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
 * An upstream reports the end of a task, and its host is taken down for upkeep
 * at once. A busy holder reads the host list, which shows the termination,
 * before the answer with the end. It had started the task again by then, so the
 * task ran a second time after it was done.
 */
void an_end_read_after_the_host_list_counts(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = start_one_task(rig);
	wwh_ended_t ended = rig_ended(&order, 1, WWH_END_DONE);

	wwh_scheduler_upstream_terminated(rig->scheduler, order.upstream,
					  "upkeep", rig->now_ms);
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
 * A new holder has polled all upstreams. One of them reports the end of a task
 * and terminates; a host list without it is read before that answer, and the
 * task ran a second time.
 */
void an_inherited_end_read_after_the_host_list_counts(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = start_one_task(rig);
	wwh_ended_t ended = rig_ended(&order, 1, WWH_END_DONE);
	const char *other = strcmp(order.upstream, "u1") == 0 ? "u2" : "u1";
	GHashTable *incarnations = g_hash_table_new(g_str_hash, g_str_equal);

	rig_take_over(rig);
	rig_run(rig, 20);
	rig_announce(rig, other, AT_2, false);
	rig_answer_poll(rig, other, NULL, 0, NULL, 0);
	g_hash_table_add(incarnations, (gpointer)other);
	wwh_scheduler_incarnations_requested(rig->scheduler);
	wwh_scheduler_incarnations_listed(rig->scheduler, incarnations,
					  rig->now_ms);
	g_hash_table_destroy(incarnations);
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

/* The poll may never be answered, and the task waits meanwhile. */
void a_final_report_is_awaited_for_a_limited_time(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = start_one_task(rig);

	wwh_scheduler_upstream_terminated(rig->scheduler, order.upstream,
					  "upkeep", rig->now_ms);
	rig_run(rig, 200);
	assert_int_equal(rig->starts->len, 2);
	assert_string_not_equal(rig_order(rig->starts, 1)->upstream,
				order.upstream);
}

/*
 * A holder receives the end of a task, learns that its upstream has terminated
 * and deletes the upstream's record. Another process takes over before the
 * job's progress is written: it finds neither the end nor an upstream to poll.
 * 32 tasks ran again on one day for this reason.
 */
void an_upstream_record_is_deleted_after_its_ends_are_written(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = start_one_task(rig);
	wwh_ended_t ended = rig_ended(&order, 1, WWH_END_DONE);
	const char *other = strcmp(order.upstream, "u1") == 0 ? "u2" : "u1";

	rig_answer_poll(rig, order.upstream, NULL, 0, &ended, 1);
	wwh_scheduler_upstream_terminated(rig->scheduler, order.upstream,
					  "upkeep", rig->now_ms);
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

void a_terminated_upstream_is_removed_when_its_poll_fails(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = start_one_task(rig);

	wwh_scheduler_upstream_terminated(rig->scheduler, order.upstream,
					  "upkeep", rig->now_ms);
	rig_run(rig, 1);
	(void)rig_take_poll(rig, order.upstream);
	wwh_scheduler_handle_poll_failure(rig->scheduler, order.upstream, false,
					  rig->now_ms);
	rig_run(rig, 1);
	assert_int_equal(rig->starts->len, 2);
}

/*
 * After a change of holder a pool waits for the first answer of each inherited
 * upstream. A first poll without an answer is resent soon, the time limits of
 * the repeated polls grow, and after an answer the usual limit applies again.
 */
void a_lost_first_answer_is_polled_for_again_soon(void **state)
{
	rig_t *rig = *state;
	rig_order_t order = start_one_task(rig);
	int64_t total_limit_ms = 0;
	rig_poll_t poll;

	rig_take_over(rig);
	rig_run(rig, 1);
	for (int32_t i = 0; i < 5; i++) {
		poll = rig_take_poll(rig, order.upstream);
		total_limit_ms += poll.limit_ms;
		if (i == 0)
			assert_in_range(poll.limit_ms, 100, 200);
		rig->now_ms += poll.limit_ms;
		wwh_scheduler_handle_poll_failure(
			rig->scheduler, order.upstream, false, rig->now_ms);
		rig_run(rig, 20);
	}
	assert_in_range(total_limit_ms, 2000, 3000);
	rig_announce(rig, order.upstream, AT_1, false);
	rig_answer_poll(rig, order.upstream, NULL, 0, NULL, 0);
	rig_run(rig, 100);
	assert_int_equal(rig_poll_of(rig, order.upstream).limit_ms, 700);
}
