/*
 * Upstreams whose capacity changes while they run tasks.
 */

#include "test_scheduler.h"

static void announce_size(sched_fixture_t *fixture, const char *id,
			  int64_t cpu_millicores)
{
	char *labels[] = { NULL };
	wwh_upstream_info_t info = {
		.id = (char *)id,
		.endpoint = ENDPOINT_1,
		.pool = SCHED_FIXTURE_POOL,
		.zone = "hall-a",
		.rack = "r1-1",
		.labels = labels,
		.size = { cpu_millicores, 16000, 0 },
	};

	wwh_scheduler_upstream_announced(fixture->scheduler, &info,
					 fixture->now_ms);
	sched_fixture_run(fixture, 1);
}

/* Answers the poll at u1 with the first count runs as ended, the rest running. */
static void answer_with_ended(sched_fixture_t *fixture, guint count,
			      wwh_end_kind_t kind)
{
	wwh_running_task_t running[8];
	wwh_ended_task_t ended[8];
	guint total = fixture->starts->len;

	assert_true(total <= 8);
	for (guint i = 0; i < count; i++)
		ended[i] = sched_fixture_ended_row(
			sched_fixture_order(fixture->starts, i), i + 1, kind);
	for (guint i = count; i < total; i++)
		running[i - count] = sched_fixture_running_row(
			sched_fixture_order(fixture->starts, i), 10);
	sched_fixture_answer_poll(fixture, "u1", running,
				  (int32_t)(total - count), ended,
				  (int32_t)count);
	sched_fixture_run(fixture, 1);
}

static void start_four_tasks(sched_fixture_t *fixture)
{
	sched_fixture_submit(fixture, sched_fixture_job(JOB_A, 4, 1000));
	assert_int_equal(fixture->starts->len, 4);
	for (guint i = 0; i < 4; i++)
		sched_fixture_handle_start_result(
			fixture, sched_fixture_order(fixture->starts, i),
			WWH_ORDER_DONE);
}

/* Guards against a start on an upstream that has shrunk below what it runs. */
void a_shrunk_upstream_gets_no_start_until_it_has_room(void **state)
{
	sched_fixture_t *fixture = *state;

	start_four_tasks(fixture);
	announce_size(fixture, "u1", 3000);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 3, 1000));
	sched_fixture_run(fixture, 500);
	answer_with_ended(fixture, 0, WWH_END_DONE);
	assert_int_equal(fixture->starts->len, 4);
	sched_fixture_run(fixture, 500);
	answer_with_ended(fixture, 1, WWH_END_DONE);
	assert_int_equal(fixture->starts->len, 4);
	sched_fixture_run(fixture, 500);
	answer_with_ended(fixture, 2, WWH_END_DONE);
	assert_int_equal(fixture->starts->len, 5);
	announce_size(fixture, "u1", 8000);
	assert_int_equal(fixture->starts->len, 7);
}

/* Guards against a stopping task whose room is given away before it ends. */
void a_stopping_task_occupies_a_shrunk_upstream_until_it_ends(void **state)
{
	sched_fixture_t *fixture = *state;
	int64_t record;

	start_four_tasks(fixture);
	announce_size(fixture, "u1", 4000);
	(void)wwh_scheduler_cancel(fixture->scheduler, JOB_A, fixture->now_ms,
				   &record);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 1, 1000));
	assert_int_equal(fixture->stops->len, 4);
	sched_fixture_run(fixture, 100);
	answer_with_ended(fixture, 0, WWH_END_STOPPED);
	assert_int_equal(fixture->starts->len, 4);
	sched_fixture_run(fixture, 500);
	answer_with_ended(fixture, 4, WWH_END_STOPPED);
	assert_int_equal(fixture->starts->len, 5);
}

/* Guards against a new holder that uses the room an upstream had before. */
void a_new_holder_starts_nothing_on_a_shrunk_upstream(void **state)
{
	sched_fixture_t *fixture = *state;

	start_four_tasks(fixture);
	sched_fixture_submit(fixture, sched_fixture_job(JOB_B, 6, 1000));
	assert_int_equal(fixture->starts->len, 8);
	sched_fixture_make_durable(fixture);
	sched_fixture_take_over(fixture);
	announce_size(fixture, "u1", 8000);
	answer_with_ended(fixture, 0, WWH_END_DONE);
	announce_size(fixture, "u1", 5000);
	sched_fixture_run(fixture, 500);
	answer_with_ended(fixture, 3, WWH_END_DONE);
	sched_fixture_make_durable(fixture);
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->starts->len, 8);
}

/* Guards against a gang that starts in part on an upstream that has shrunk. */
void a_gang_starts_only_where_shrunk_upstreams_have_room_for_all(void **state)
{
	sched_fixture_t *fixture = *state;
	wwh_job_t *gang = sched_fixture_job(JOB_A, 4, 2000);

	gang->steps[0].gang = true;
	announce_size(fixture, "u1", 7000);
	sched_fixture_submit(fixture, gang);
	sched_fixture_run(fixture, 500);
	assert_int_equal(fixture->starts->len, 0);
	announce_size(fixture, "u1", 8000);
	assert_int_equal(fixture->starts->len, 4);
}
