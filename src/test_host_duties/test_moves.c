/* Moves between pools, and to rest. */

#include "duties_fixture.h"

#define JOB_B "00000000000000bb"
#define WHOLE_HOST 8000
#define LULL_MS 12000

static void run_both(crew_t *crew, int64_t span_ms)
{
	for (int64_t passed_ms = 0; passed_ms < span_ms; passed_ms += 50) {
		sched_fixture_run(crew->rig, 50);
		crew_run(crew, 0);
	}
}

/* One pool, and one in which hosts rest. */
static void list_two_idle_hosts(crew_t *crew)
{
	wwh_host_duties_set_pool(crew->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(crew->duties, "rest", true);
	sched_fixture_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	sched_fixture_add_upstream(crew->rig, "u2", "10.0.0.2:1");
	crew_run(crew, 1);
	crew_hosts(crew, 2, true, WWH_HOST_UP);
}

void a_pool_with_work_gets_hosts_that_rest(void **state)
{
	crew_t *crew = *state;

	wwh_host_duties_set_pool(crew->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(crew->duties, "rest", true);
	for (int32_t i = 0; i < 3; i++) {
		char id[8];
		char at[16];

		snprintf(id, sizeof(id), "u%d", i + 1);
		snprintf(at, sizeof(at), "10.0.0.%d:1", i + 1);
		sched_fixture_add_upstream(crew->rig, id, at);
	}
	sched_fixture_submit(crew->rig, sched_fixture_job(JOB_A, 60, 1000));
	crew_run(crew, 1);
	for (int32_t i = 1; i <= 6; i++) {
		char name[16];
		char id[16];

		snprintf(name, sizeof(name), "h%d", i);
		snprintf(id, sizeof(id), "u%d", i);
		crew_host(crew, name, i <= 3 ? SCHED_FIXTURE_POOL : "rest",
			  i <= 3 ? id : NULL, WWH_HOST_UP);
	}
	crew_listed(crew);
	crew_run(crew, 1);
	/* 60 tasks of a second want more than eight hosts of eight cores */
	assert_int_equal(crew->moves->len, 3);
}

/* Idle hosts go to rest, but for those with lasting tasks. */
void a_pool_without_work_sends_hosts_to_rest(void **state)
{
	crew_t *crew = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 2, 1000);

	wwh_host_duties_set_pool(crew->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(crew->duties, "rest", true);
	for (int32_t i = 1; i <= 4; i++) {
		char id[8];
		char at[16];

		snprintf(id, sizeof(id), "u%d", i);
		snprintf(at, sizeof(at), "10.0.0.%d:1", i);
		sched_fixture_add_upstream(crew->rig, id, at);
	}
	job->steps[0].lasting = true;
	job->steps[0].max_per_upstream = 1;
	sched_fixture_submit(crew->rig, job);
	crew_run(crew, 1);
	crew_hosts(crew, 4, true, WWH_HOST_UP);
	crew_run(crew, 1);
	crew_run(crew, WWH_STANDBY_DELAY_MS - 1);
	assert_int_equal(crew->moves->len, 0);
	crew_run(crew, 1);
	assert_int_equal(crew->moves->len, 2);
	for (guint i = 0; i < 2; i++) {
		const char *host = g_ptr_array_index(crew->moves, i);

		assert_true(host[1] != sched_fixture_order(crew->rig->starts, 0)
					       ->upstream[1] &&
			    host[1] != sched_fixture_order(crew->rig->starts, 1)
					       ->upstream[1]);
	}
}

/*
 * One pool's turn ends and another's begins. The hosts of the first went to rest
 * at once, and from there to the second: it had them three seconds late.
 */
void a_host_goes_from_turn_to_turn_in_one_move(void **state)
{
	crew_t *crew = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 60, 1000);

	wwh_host_duties_set_pool(crew->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(crew->duties, "next", false);
	wwh_host_duties_set_pool(crew->duties, "rest", true);
	sched_fixture_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	sched_fixture_add_upstream(crew->rig, "u2", "10.0.0.2:1");
	sched_fixture_add_upstream(crew->rig, "u3", "10.0.0.3:1");
	crew_run(crew, 1);
	crew_hosts(crew, 3, true, WWH_HOST_UP);
	crew_run(crew, 1);
	/* each pool keeps one */
	assert_int_equal(crew->moves->len, 1);
	crew_answer_move(crew, 0);
	crew_run(crew, WWH_STANDBY_DELAY_MS / 2);
	assert_int_equal(crew->moves->len, 1);
	g_free(job->queue.pool);
	job->queue.pool = g_strdup("next");
	sched_fixture_submit(crew->rig, job);
	crew_run(crew, 1);
	assert_int_equal(crew->moves->len, 2);
	assert_true(g_str_has_suffix(crew_moved(crew, 1), " next"));
}

/*
 * Work comes in clusters. Hosts were sent away in each pause of a turn, and
 * were missing for three seconds when it went on.
 */
void a_pause_within_a_turn_moves_no_host(void **state)
{
	crew_t *crew = *state;

	list_two_idle_hosts(crew);
	crew_run(crew, 1);
	assert_false(crew_cordoned(crew));
	crew_run(crew, 1000);
	sched_fixture_submit(crew->rig, sched_fixture_job(JOB_A, 60, 1000));
	crew_run(crew, 1);
	assert_false(crew_cordoned(crew));
	crew_run(crew, WWH_STANDBY_DELAY_MS);
	assert_int_equal(crew->moves->len, 0);
}

/*
 * A pool has more work than its hosts do in time. Jobs that are late call no
 * host, and the idle ones of their own pool were kept from them: jobs waited
 * beside hosts that were paid for.
 */
void a_host_at_hand_takes_late_work(void **state)
{
	crew_t *crew = *state;

	list_two_idle_hosts(crew);
	run_both(crew, 1000);
	/* one host would do: the pool wants no other */
	sched_fixture_submit(crew->rig,
			     sched_fixture_job(JOB_A, 2, WHOLE_HOST));
	assert_int_equal(crew->rig->starts->len, 2);
	assert_string_not_equal(
		sched_fixture_order(crew->rig->starts, 0)->upstream,
		sched_fixture_order(crew->rig->starts, 1)->upstream);
}

/* One that nobody needs for long is emptied and goes. */
void a_host_at_hand_rests_in_the_end(void **state)
{
	crew_t *crew = *state;

	list_two_idle_hosts(crew);
	crew_run(crew, 1);
	crew_run(crew, WWH_STANDBY_DELAY_MS - 1);
	assert_int_equal(crew->moves->len, 0);
	crew_run(crew, 1);
	assert_int_equal(crew->moves->len, 1);
	assert_true(crew_cordoned(crew));
	assert_true(g_str_has_suffix(crew_moved(crew, 0), " rest"));
}

/*
 * Pools have their turns one after the other, and 12 s lie between two of the
 * same pool. Its hosts were sent to rest and called back each time: two moves,
 * and three seconds of the next turn without them.
 */
void a_lull_between_two_turns_moves_no_host(void **state)
{
	crew_t *crew = *state;

	list_two_idle_hosts(crew);
	for (int32_t passed_ms = 0; passed_ms < LULL_MS; passed_ms += 100)
		crew_run(crew, 100);
	assert_int_equal(crew->moves->len, 0);
	sched_fixture_submit(crew->rig, sched_fixture_job(JOB_A, 60, 1000));
	crew_run(crew, 100);
	assert_false(crew_cordoned(crew));
	assert_int_equal(crew->moves->len, 0);
}

static void submit_lasting(crew_t *crew, const char *id, int32_t tasks,
			   int64_t cpu)
{
	wwh_job_t *job = sched_fixture_job(id, tasks, cpu);

	job->steps[0].lasting = true;
	job->steps[0].max_per_upstream = 1;
	sched_fixture_submit(crew->rig, job);
	for (guint i = 0; i < crew->rig->starts->len; i++)
		sched_fixture_handle_start_result(
			crew->rig, sched_fixture_order(crew->rig->starts, i),
			WWH_ORDER_DONE);
}

/* So many hosts, each with its upstream; that of one is down. */
static void list_without(crew_t *crew, int32_t hosts, const char *upstream)
{
	wwh_host_duties_list_begin(crew->duties);
	for (int32_t i = 1; i <= hosts; i++) {
		char name[16];
		char life[16];
		bool is_down;

		snprintf(name, sizeof(name), "h%d", i);
		snprintf(life, sizeof(life), "u%d", i);
		is_down = strcmp(life, upstream) == 0;
		crew_host(crew, name, SCHED_FIXTURE_POOL, is_down ? "" : life,
			  is_down ? WWH_HOST_DOWN : WWH_HOST_UP);
	}
	crew_listed(crew);
}

/*
 * Tasks of a step that last have a host each, and a task of another job fills a
 * third host. One of the first is lost. When a host comes, its task fits there
 * and nowhere else; but the pool had as many hosts as lasting tasks were on, so
 * that the new one was to leave and took nothing. The task stayed away for as
 * long as that host was kept.
 */
void a_lasting_task_keeps_a_host_that_comes(void **state)
{
	crew_t *crew = *state;
	sched_fixture_order_t lost;

	wwh_host_duties_set_pool(crew->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(crew->duties, "rest", true);
	sched_fixture_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	sched_fixture_add_upstream(crew->rig, "u2", "10.0.0.2:1");
	sched_fixture_add_upstream(crew->rig, "u3", "10.0.0.3:1");
	submit_lasting(crew, JOB_B, 1, WHOLE_HOST);
	submit_lasting(crew, JOB_A, 2, 1000);
	assert_int_equal(crew->rig->starts->len, 3);
	lost = *sched_fixture_order(crew->rig->starts, 2);
	crew_run(crew, 1);
	crew_hosts(crew, 3, true, WWH_HOST_UP);
	run_both(crew, 100);
	wwh_scheduler_upstream_terminated(crew->rig->scheduler, lost.upstream,
					  "down", crew->rig->now_ms);
	list_without(crew, 3, lost.upstream);
	run_both(crew, 1000);
	assert_int_equal(crew->rig->starts->len, 3);
	sched_fixture_announce(crew->rig, "u4", "10.0.0.4:1", false);
	list_without(crew, 4, lost.upstream);
	run_both(crew, 100);
	sched_fixture_answer_poll(crew->rig, "u4", NULL, 0, NULL, 0);
	sched_fixture_run(crew->rig, 1);
	sched_fixture_make_durable(crew->rig);
	run_both(crew, 500);
	assert_int_equal(crew->moves->len, 0);
	assert_int_equal(crew->rig->starts->len, 4);
	assert_string_equal(sched_fixture_order(crew->rig->starts, 3)->upstream,
			    "u4");
}

/*
 * A turn begins just after the last one's hosts were sent to rest. They stood
 * idle for a while beside a pool that wanted all of them.
 */
void a_host_that_rests_is_called_back_at_once(void **state)
{
	crew_t *crew = *state;

	list_two_idle_hosts(crew);
	crew_run(crew, 2000);
	crew_hosts(crew, 2, true, WWH_HOST_UP);
	crew_run(crew, WWH_STANDBY_DELAY_MS);
	crew_hosts(crew, 2, true, WWH_HOST_UP);
	crew_run(crew, 1);
	assert_int_equal(crew->moves->len, 1);
	assert_true(g_str_has_suffix(crew_moved(crew, 0), " rest"));
	crew_rests(crew, crew_moved(crew, 0));
	sched_fixture_submit(crew->rig, sched_fixture_job(JOB_A, 60, 1000));
	crew_run(crew, 1);
	assert_int_equal(crew->moves->len, 2);
	assert_true(
		g_str_has_suffix(crew_moved(crew, 1), " " SCHED_FIXTURE_POOL));
}

/*
 * A host says that it leaves, and its lasting task is stopped to be started
 * elsewhere; the other host holds one of its step and may not have two. The host
 * is listed as up for as long as it takes to leave, many seconds at times, and
 * counts for its pool: none of those at rest is called, and the task stays away.
 */
void a_host_that_leaves_is_replaced_before_it_has_gone(void **state)
{
	crew_t *crew = *state;
	wwh_job_t *job = sched_fixture_job(JOB_A, 2, 1000);
	wwh_running_task_t rows[2];
	wwh_ended_task_t ended;

	wwh_host_duties_set_pool(crew->duties, SCHED_FIXTURE_POOL, false);
	wwh_host_duties_set_pool(crew->duties, "rest", true);
	sched_fixture_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	sched_fixture_add_upstream(crew->rig, "u2", "10.0.0.2:1");
	job->steps[0].lasting = true;
	job->steps[0].max_per_upstream = 1;
	sched_fixture_submit(crew->rig, job);
	for (guint i = 0; i < 2; i++) {
		const sched_fixture_order_t *order =
			sched_fixture_order(crew->rig->starts, i);

		rows[order->upstream[1] - '1'] =
			sched_fixture_running_row(order, 100);
		sched_fixture_handle_start_result(crew->rig, order,
						  WWH_ORDER_DONE);
	}
	sched_fixture_announce(crew->rig, "u1", "10.0.0.1:1", true);
	sched_fixture_run(crew->rig, 500);
	sched_fixture_answer_poll(crew->rig, "u1", &rows[0], 1, NULL, 0);
	sched_fixture_answer_poll(crew->rig, "u2", &rows[1], 1, NULL, 0);
	sched_fixture_run(crew->rig, 500);
	ended = sched_fixture_ended_row(
		sched_fixture_order(crew->rig->stops, 0), 1, WWH_END_STOPPED);
	sched_fixture_answer_poll(crew->rig, "u1", NULL, 0, &ended, 1);
	for (int32_t i = 0; i < 6; i++) {
		wwh_host_duties_list_begin(crew->duties);
		crew_host(crew, "h3", "rest", NULL, WWH_HOST_UP);
		crew_hosts(crew, 2, true, WWH_HOST_UP);
		sched_fixture_run(crew->rig, 500);
		crew_run(crew, 1);
	}
	assert_int_equal(crew->rig->starts->len, 2);
	assert_int_equal(crew->moves->len, 1);
	assert_string_equal(crew_moved(crew, 0), "h3 " SCHED_FIXTURE_POOL);
}
