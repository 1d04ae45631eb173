/*
 * Waves of upkeep and moves between pools, on a scheduler of its own whose
 * upstreams are as each test says.
 */

#include "../test_scheduler/rig.h"

#include "waxwinghollow/host_duties.h"

#define JOB_A "00000000000000aa"
#define WAVE 7

typedef struct {
	rig_t *rig;
	wwh_host_duties_t *duties;
	wwh_host_duties_options_t options;
	int32_t lists; /* that were asked for */
	GPtrArray *upkeeps; /* names of hosts, owned */
	GPtrArray *moves; /* "HOST POOL", owned */
	int32_t active;
	int32_t completed;
	int64_t record;
} crew_t;

static void crew_list(void *data)
{
	crew_t *crew = data;

	crew->lists++;
	wwh_host_duties_list_begin(crew->duties);
}

static void crew_upkeep(const char *host, int64_t wave, void *data)
{
	crew_t *crew = data;

	assert_int_equal(wave, WAVE);
	g_ptr_array_add(crew->upkeeps, g_strdup(host));
}

static void crew_move(const char *host, const char *pool, void *data)
{
	crew_t *crew = data;

	g_ptr_array_add(crew->moves, g_strconcat(host, " ", pool, NULL));
}

static void crew_report(const wwh_wave_order_t *order, bool completed,
			void *data)
{
	crew_t *crew = data;

	assert_int_equal(order->number, WAVE);
	crew->active += !completed;
	crew->completed += completed;
}

static int64_t crew_keep(wwh_keep_kind_t kind, const char *key, GBytes *value,
			 void *data)
{
	crew_t *crew = data;

	assert_int_equal(kind, WWH_KEEP_WAVE);
	assert_non_null(key);
	assert_non_null(value);
	return ++crew->record;
}

static void crew_explain(const char *event, const char *subject,
			 const char *detail, void *data)
{
	(void)event;
	(void)subject;
	(void)detail;
	(void)data;
}

static crew_t *crew_new(int64_t quiet_until_ms)
{
	crew_t *crew = g_new0(crew_t, 1);
	wwh_host_duties_calls_t calls = {
		.list = crew_list,
		.upkeep = crew_upkeep,
		.move = crew_move,
		.report = crew_report,
		.keep = crew_keep,
		.explain = crew_explain,
		.client_data = crew,
	};

	crew->rig = rig_new();
	crew->options.scheduler = crew->rig->scheduler;
	crew->options.upkeep_ms = 2000;
	crew->options.move_ms = 1500;
	crew->options.quiet_until_ms = quiet_until_ms;
	crew->upkeeps = g_ptr_array_new_with_free_func(g_free);
	crew->moves = g_ptr_array_new_with_free_func(g_free);
	crew->duties = wwh_host_duties_new(&crew->options, &calls);
	return crew;
}

static void crew_delete(crew_t *crew)
{
	wwh_host_duties_delete(crew->duties);
	rig_delete(crew->rig);
	g_ptr_array_unref(crew->upkeeps);
	g_ptr_array_unref(crew->moves);
	g_free(crew);
}

static void crew_run(crew_t *crew, int64_t forward_ms)
{
	crew->rig->now_ms += forward_ms;
	wwh_host_duties_run(crew->duties, crew->rig->now_ms);
}

static void crew_host(crew_t *crew, const char *name, const char *pool,
		      const char *upstream, wwh_host_run_state_t state)
{
	wwh_listed_host_t host = {
		.name = name, .pool = pool, .upstream = upstream, .state = state
	};

	wwh_host_duties_list_host(crew->duties, &host);
}

static void crew_listed(crew_t *crew)
{
	wwh_host_duties_list_end(crew->duties, true, crew->rig->now_ms);
}

static void crew_wave(crew_t *crew, int32_t hosts, int32_t max_down)
{
	wwh_wave_order_t *order = wwh_wave_order_new(WAVE);

	for (int32_t i = 1; i <= hosts; i++)
		g_ptr_array_add(order->hosts, g_strdup_printf("h%d", i));
	order->max_down = max_down;
	order->duration_ms = 60000;
	wwh_host_duties_wave(crew->duties, order, crew->rig->now_ms);
}

/* Hosts h1 to hN of the rig's pool, each with the upstream uN or none. */
static void crew_hosts(crew_t *crew, int32_t count, bool with_upstreams,
		       wwh_host_run_state_t first_state)
{
	for (int32_t i = 1; i <= count; i++) {
		char name[16];
		char upstream[16];

		snprintf(name, sizeof(name), "h%d", i);
		snprintf(upstream, sizeof(upstream), "u%d", i);
		crew_host(crew, name, RIG_POOL,
			  with_upstreams ? upstream : NULL,
			  i == 1 ? first_state : WWH_HOST_UP);
	}
	crew_listed(crew);
}

/* "HOST POOL" of the move that was ordered as this one. */
static const char *crew_moved(const crew_t *crew, guint index)
{
	assert_true(index < crew->moves->len);
	return g_ptr_array_index(crew->moves, index);
}

static void crew_answer_move(crew_t *crew, guint index)
{
	const char *moved = crew_moved(crew, index);
	char *host = g_strndup(moved, strcspn(moved, " "));

	wwh_host_duties_move_ended(crew->duties, host, WWH_DUTY_DONE,
				   crew->rig->now_ms);
	g_free(host);
}

/* One of u1 and u2 gets no work. */
static bool crew_cordoned(const crew_t *crew)
{
	wwh_scheduler_t *scheduler = crew->rig->scheduler;

	return wwh_scheduler_upstream_load(scheduler, "u1").cordoned ||
	       wwh_scheduler_upstream_load(scheduler, "u2").cordoned;
}

/* The move to rest is answered, and the next list shows it as done. */
static void crew_rests(crew_t *crew, const char *moved)
{
	char *host = g_strndup(moved, strcspn(moved, " "));

	wwh_host_duties_move_ended(crew->duties, host, WWH_DUTY_DONE,
				   crew->rig->now_ms);
	crew_run(crew, crew->options.move_ms);
	wwh_host_duties_list_begin(crew->duties);
	crew_host(crew, strcmp(host, "h1") == 0 ? "h2" : "h1", RIG_POOL,
		  strcmp(host, "h1") == 0 ? "u2" : "u1", WWH_HOST_UP);
	crew_host(crew, host, "rest", NULL, WWH_HOST_UP);
	crew_listed(crew);
	g_free(host);
}

static int set_up(void **state)
{
	*state = crew_new(0);
	return 0;
}

/* Orders of the holder before may still be on their way. */
static int set_up_after_a_silent_holder(void **state)
{
	*state = crew_new(103000);
	return 0;
}

static int tear_down(void **state)
{
	crew_delete(*state);
	return 0;
}

static void no_more_hosts_are_down_than_the_wave_allows(void **state)
{
	crew_t *crew = *state;

	crew_wave(crew, 3, 2);
	crew_run(crew, 1);
	assert_int_equal(crew->lists, 1);
	crew_hosts(crew, 3, false, WWH_HOST_UP);
	crew_run(crew, 1);
	assert_int_equal(crew->upkeeps->len, 2);
	/* an order without an answer may have been carried out */
	wwh_host_duties_upkeep_ended(crew->duties, "h1", WAVE, WWH_DUTY_UNKNOWN,
				     crew->rig->now_ms);
	crew_run(crew, 100);
	assert_int_equal(crew->upkeeps->len, 2);
}

/* A wave is complete when all its hosts are done and that is durable. */
static void a_wave_is_said_to_be_complete_once_it_is_durable(void **state)
{
	crew_t *crew = *state;

	crew_wave(crew, 2, 2);
	crew_run(crew, 1);
	assert_int_equal(crew->active, 0);
	crew_hosts(crew, 2, false, WWH_HOST_UP);
	crew_run(crew, 1);
	assert_int_equal(crew->active, 1);
	wwh_host_duties_upkeep_ended(crew->duties, "h1", WAVE, WWH_DUTY_DONE,
				     crew->rig->now_ms);
	crew_run(crew, 1);
	assert_int_equal(crew->completed, 0);
	wwh_host_duties_upkeep_ended(crew->duties, "h2", WAVE, WWH_DUTY_DONE,
				     crew->rig->now_ms);
	crew_run(crew, 1);
	crew_run(crew, 1);
	assert_int_equal(crew->completed, 0);
	wwh_host_duties_set_durable(crew->duties, crew->record);
	crew_run(crew, 1);
	crew_run(crew, 1);
	assert_int_equal(crew->completed, 1);
}

static void a_host_that_was_removed_is_not_waited_for(void **state)
{
	crew_t *crew = *state;

	crew_wave(crew, 2, 2);
	crew_run(crew, 1);
	crew_host(crew, "h1", RIG_POOL, NULL, WWH_HOST_UP);
	crew_listed(crew);
	crew_run(crew, 1);
	wwh_host_duties_upkeep_ended(crew->duties, "h1", WAVE, WWH_DUTY_DONE,
				     crew->rig->now_ms);
	for (int32_t i = 0; i < 4; i++) {
		wwh_host_duties_set_durable(crew->duties, crew->record);
		assert_int_equal(crew->completed, 0);
		crew_run(crew, 600);
		crew_host(crew, "h1", RIG_POOL, NULL, WWH_HOST_UP);
		crew_listed(crew);
	}
	crew_run(crew, 1);
	wwh_host_duties_set_durable(crew->duties, crew->record);
	crew_run(crew, 1);
	assert_int_equal(crew->completed, 1);
}

/*
 * The holder before had the host maintained, and ended before that was
 * durable. The next one orders it again and is told 200, as it is done. It
 * took all that ran there for ended, and started the tasks a second time
 * beside themselves.
 */
static void an_upkeep_that_was_done_before_ends_no_task(void **state)
{
	crew_t *crew = *state;
	wwh_running_t running;

	rig_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	rig_submit(crew->rig, rig_job(JOB_A, 1, 1000));
	running = rig_running(rig_order(crew->rig->starts, 0), 10);
	rig_run(crew->rig, 100);
	rig_answer_poll(crew->rig, "u1", &running, 1, NULL, 0);
	crew_wave(crew, 1, 1);
	crew_run(crew, 1);
	crew_hosts(crew, 1, true, WWH_HOST_UP);
	crew_run(crew, 1);
	crew_run(crew, 3000);
	crew_hosts(crew, 1, true, WWH_HOST_UP);
	crew_run(crew, 1);
	assert_int_equal(crew->upkeeps->len, 1);
	wwh_host_duties_upkeep_ended(crew->duties, "h1", WAVE, WWH_DUTY_DONE,
				     crew->rig->now_ms);
	assert_int_equal(wwh_scheduler_counts(crew->rig->scheduler).tasks_out,
			 1);
	rig_run(crew->rig, 100);
	assert_int_equal(crew->rig->starts->len, 1);
	/* listed as up with the same life: it gets work again */
	crew_run(crew, 2500);
	crew_hosts(crew, 1, true, WWH_HOST_UP);
	assert_false(wwh_scheduler_upstream_load(crew->rig->scheduler, "u1")
			     .cordoned);
}

static void a_host_listed_as_away_has_ended_its_tasks(void **state)
{
	crew_t *crew = *state;

	rig_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	rig_submit(crew->rig, rig_job(JOB_A, 1, 1000));
	crew_run(crew, 1);
	crew_hosts(crew, 1, true, WWH_HOST_UP);
	crew_run(crew, 600);
	crew_hosts(crew, 1, true, WWH_HOST_UPKEEP);
	assert_int_equal(wwh_scheduler_counts(crew->rig->scheduler).tasks_out,
			 0);
}

/*
 * A list that was asked for before an order shows the host as it was. Taken
 * for new, it undid the move in the books, and the host was moved twice.
 */
static void a_list_from_before_an_order_is_not_believed(void **state)
{
	crew_t *crew = *state;

	wwh_host_duties_pool(crew->duties, RIG_POOL, false);
	wwh_host_duties_pool(crew->duties, "rest", true);
	rig_add_upstream(crew->rig, "u9", "10.0.0.9:1");
	rig_submit(crew->rig, rig_job(JOB_A, 60, 1000));
	crew_run(crew, 1);
	crew_host(crew, "h1", "rest", NULL, WWH_HOST_UP);
	crew_listed(crew);
	crew_run(crew, 600);
	assert_int_equal(crew->moves->len, 1);
	assert_string_equal(g_ptr_array_index(crew->moves, 0), "h1 " RIG_POOL);
	crew->rig->now_ms += 10;
	wwh_host_duties_move_ended(crew->duties, "h1", WWH_DUTY_DONE,
				   crew->rig->now_ms);
	crew_host(crew, "h1", "rest", NULL, WWH_HOST_UP);
	crew_listed(crew);
	crew_run(crew, 5000);
	assert_int_equal(crew->moves->len, 1);
}

static void a_pool_with_work_gets_hosts_that_rest(void **state)
{
	crew_t *crew = *state;

	wwh_host_duties_pool(crew->duties, RIG_POOL, false);
	wwh_host_duties_pool(crew->duties, "rest", true);
	for (int32_t i = 0; i < 3; i++) {
		char id[8];
		char at[16];

		snprintf(id, sizeof(id), "u%d", i + 1);
		snprintf(at, sizeof(at), "10.0.0.%d:1", i + 1);
		rig_add_upstream(crew->rig, id, at);
	}
	rig_submit(crew->rig, rig_job(JOB_A, 60, 1000));
	crew_run(crew, 1);
	for (int32_t i = 1; i <= 6; i++) {
		char name[16];
		char id[16];

		snprintf(name, sizeof(name), "h%d", i);
		snprintf(id, sizeof(id), "u%d", i);
		crew_host(crew, name, i <= 3 ? RIG_POOL : "rest",
			  i <= 3 ? id : NULL, WWH_HOST_UP);
	}
	crew_listed(crew);
	crew_run(crew, 1);
	/* 60 tasks of a second want more than eight hosts of eight cores */
	assert_int_equal(crew->moves->len, 3);
}

/* Idle hosts go to rest, but for those with lasting tasks. */
static void a_pool_without_work_sends_hosts_to_rest(void **state)
{
	crew_t *crew = *state;
	wwh_job_t *job = rig_job(JOB_A, 2, 1000);

	wwh_host_duties_pool(crew->duties, RIG_POOL, false);
	wwh_host_duties_pool(crew->duties, "rest", true);
	for (int32_t i = 1; i <= 4; i++) {
		char id[8];
		char at[16];

		snprintf(id, sizeof(id), "u%d", i);
		snprintf(at, sizeof(at), "10.0.0.%d:1", i);
		rig_add_upstream(crew->rig, id, at);
	}
	job->steps[0].lasting = true;
	job->steps[0].max_per_upstream = 1;
	rig_submit(crew->rig, job);
	crew_run(crew, 1);
	crew_hosts(crew, 4, true, WWH_HOST_UP);
	crew_run(crew, 1);
	crew_run(crew, WWH_REST_AFTER_MS - 1);
	assert_int_equal(crew->moves->len, 0);
	crew_run(crew, 1);
	assert_int_equal(crew->moves->len, 2);
	for (guint i = 0; i < 2; i++) {
		const char *host = g_ptr_array_index(crew->moves, i);

		assert_true(
			host[1] !=
				rig_order(crew->rig->starts, 0)->upstream[1] &&
			host[1] !=
				rig_order(crew->rig->starts, 1)->upstream[1]);
	}
}

/*
 * One pool's turn ends and another's begins. The hosts of the first went to rest
 * at once, and from there to the second: it had them three seconds late.
 */
static void a_host_goes_from_turn_to_turn_in_one_move(void **state)
{
	crew_t *crew = *state;
	wwh_job_t *job = rig_job(JOB_A, 60, 1000);

	wwh_host_duties_pool(crew->duties, RIG_POOL, false);
	wwh_host_duties_pool(crew->duties, "next", false);
	wwh_host_duties_pool(crew->duties, "rest", true);
	rig_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	rig_add_upstream(crew->rig, "u2", "10.0.0.2:1");
	rig_add_upstream(crew->rig, "u3", "10.0.0.3:1");
	crew_run(crew, 1);
	crew_hosts(crew, 3, true, WWH_HOST_UP);
	crew_run(crew, 1);
	/* each pool keeps one */
	assert_int_equal(crew->moves->len, 1);
	crew_answer_move(crew, 0);
	crew_run(crew, WWH_REST_AFTER_MS / 2);
	assert_int_equal(crew->moves->len, 1);
	g_free(job->queue.pool);
	job->queue.pool = g_strdup("next");
	rig_submit(crew->rig, job);
	crew_run(crew, 1);
	assert_int_equal(crew->moves->len, 2);
	assert_true(g_str_has_suffix(crew_moved(crew, 1), " next"));
}

/*
 * Work comes in clusters. Hosts were sent away in each pause of a turn, and
 * were missing for three seconds when it went on.
 */
static void a_pause_within_a_turn_moves_no_host(void **state)
{
	crew_t *crew = *state;

	wwh_host_duties_pool(crew->duties, RIG_POOL, false);
	wwh_host_duties_pool(crew->duties, "rest", true);
	rig_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	rig_add_upstream(crew->rig, "u2", "10.0.0.2:1");
	crew_run(crew, 1);
	crew_hosts(crew, 2, true, WWH_HOST_UP);
	crew_run(crew, 1);
	assert_true(crew_cordoned(crew));
	crew_run(crew, 1000);
	rig_submit(crew->rig, rig_job(JOB_A, 60, 1000));
	crew_run(crew, 1);
	assert_false(crew_cordoned(crew));
	crew_run(crew, WWH_REST_AFTER_MS);
	assert_int_equal(crew->moves->len, 0);
}

/*
 * A turn begins just after the last one's hosts were sent to rest. They stood
 * idle for a while beside a pool that wanted all of them.
 */
static void a_host_that_rests_is_called_back_at_once(void **state)
{
	crew_t *crew = *state;

	wwh_host_duties_pool(crew->duties, RIG_POOL, false);
	wwh_host_duties_pool(crew->duties, "rest", true);
	rig_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	rig_add_upstream(crew->rig, "u2", "10.0.0.2:1");
	crew_run(crew, 1);
	crew_hosts(crew, 2, true, WWH_HOST_UP);
	crew_run(crew, 2000);
	crew_hosts(crew, 2, true, WWH_HOST_UP);
	crew_run(crew, WWH_REST_AFTER_MS);
	crew_hosts(crew, 2, true, WWH_HOST_UP);
	crew_run(crew, 1);
	assert_int_equal(crew->moves->len, 1);
	assert_true(g_str_has_suffix(crew_moved(crew, 0), " rest"));
	crew_rests(crew, crew_moved(crew, 0));
	rig_submit(crew->rig, rig_job(JOB_A, 60, 1000));
	crew_run(crew, 1);
	assert_int_equal(crew->moves->len, 2);
	assert_true(g_str_has_suffix(crew_moved(crew, 1), " " RIG_POOL));
}

/*
 * A wave comes while a turn needs each host of the pool. Hosts were emptied
 * for it at once, callers waited, and the wave had 50 s left. It waits for
 * the turn to end now, but not for ever.
 */
static void a_wave_with_time_left_spares_a_pool_that_is_short(void **state)
{
	crew_t *crew = *state;

	wwh_host_duties_pool(crew->duties, RIG_POOL, false);
	wwh_host_duties_pool(crew->duties, "rest", true);
	rig_add_upstream(crew->rig, "u1", "10.0.0.1:1");
	rig_submit(crew->rig, rig_job(JOB_A, 60, 1000));
	crew_wave(crew, 1, 1);
	crew_run(crew, 1);
	crew_hosts(crew, 1, true, WWH_HOST_UP);
	for (int32_t i = 0; i < 5; i++)
		crew_run(crew, 1000);
	assert_int_equal(crew->upkeeps->len, 0);
	assert_false(wwh_scheduler_upstream_load(crew->rig->scheduler, "u1")
			     .cordoned);
	for (int32_t i = 0; i < 45; i++)
		crew_run(crew, 1000);
	assert_int_equal(crew->upkeeps->len, 1);
}

/*
 * A wave names a host that has been removed. No list shows its pool; the
 * holder crashed when it looked for one, and so did each after it.
 */
static void a_host_that_no_list_shows_has_no_pool(void **state)
{
	crew_t *crew = *state;

	wwh_host_duties_pool(crew->duties, RIG_POOL, false);
	wwh_host_duties_pool(crew->duties, "rest", true);
	crew_wave(crew, 2, 1);
	crew_run(crew, 1);
	crew_host(crew, "h1", RIG_POOL, NULL, WWH_HOST_UP);
	crew_listed(crew);
	crew_run(crew, 1);
	assert_int_equal(crew->upkeeps->len, 1);
}

/*
 * Hosts take orders of one holder at a time: a new holder waits as long as
 * orders of the one before may still be on their way.
 */
static void a_new_holder_waits_before_its_first_order(void **state)
{
	crew_t *crew = *state;

	crew_wave(crew, 1, 1);
	crew_run(crew, 1);
	crew_hosts(crew, 1, false, WWH_HOST_UP);
	crew_run(crew, 2000);
	assert_int_equal(crew->upkeeps->len, 0);
	crew_run(crew, 1100);
	assert_int_equal(crew->upkeeps->len, 1);
}

/*
 * A holder is cut off in a turn and another takes over. It waited three
 * seconds before it gave the turn's pool its first host, though hosts refuse
 * what the one before may still send.
 */
static void a_new_holder_waits_less_where_hosts_fence(void **state)
{
	(void)state;
	assert_int_equal(wwh_host_duties_quiet_ms(false, 3000), 3000);
	assert_int_equal(wwh_host_duties_quiet_ms(true, 3000),
			 WWH_OVERTAKEN_HOLDER_MS);
	assert_int_equal(wwh_host_duties_quiet_ms(true, 400), 400);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			no_more_hosts_are_down_than_the_wave_allows, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_wave_is_said_to_be_complete_once_it_is_durable,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_host_that_was_removed_is_not_waited_for, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			an_upkeep_that_was_done_before_ends_no_task, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_host_listed_as_away_has_ended_its_tasks, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_list_from_before_an_order_is_not_believed, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_pool_with_work_gets_hosts_that_rest, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_pool_without_work_sends_hosts_to_rest, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_host_goes_from_turn_to_turn_in_one_move, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_pause_within_a_turn_moves_no_host, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_host_that_rests_is_called_back_at_once, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_wave_with_time_left_spares_a_pool_that_is_short,
			set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			a_host_that_no_list_shows_has_no_pool, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			a_new_holder_waits_before_its_first_order,
			set_up_after_a_silent_holder, tear_down),
		cmocka_unit_test(a_new_holder_waits_less_where_hosts_fence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
