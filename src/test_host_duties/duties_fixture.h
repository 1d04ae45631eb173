#ifndef TEST_HOST_DUTIES_CREW_H
#define TEST_HOST_DUTIES_CREW_H

/*
 * NAME
 *	crew - host duties on a scheduler of their own
 *
 * USE
 *	What the files of this test program share: orders are kept for a test to
 *	look at, and short calls say what lists of hosts show.
 */

#include "../test_scheduler/sched_fixture.h"

#include "waxwinghollow/host_duties.h"

#define JOB_A "00000000000000aa"
#define WAVE 7

typedef struct {
	sched_fixture_t *rig;
	wwh_host_duties_t *duties;
	wwh_host_duties_options_t options;
	int32_t lists; /* that were asked for */
	GPtrArray *upkeeps; /* names of hosts, owned */
	GPtrArray *moves; /* "HOST POOL", owned */
	int32_t active;
	int32_t completed;
	int64_t record;
} crew_t;

static inline void crew_list(void *data)
{
	crew_t *crew = data;

	crew->lists++;
	wwh_host_duties_list_begin(crew->duties);
}

static inline void crew_upkeep(const char *host, int64_t wave, void *data)
{
	crew_t *crew = data;

	assert_int_equal(wave, WAVE);
	g_ptr_array_add(crew->upkeeps, g_strdup(host));
}

static inline void crew_move(const char *host, const char *pool, void *data)
{
	crew_t *crew = data;

	g_ptr_array_add(crew->moves, g_strconcat(host, " ", pool, NULL));
}

static inline void crew_report(const wwh_wave_order_t *order, bool completed,
			       void *data)
{
	crew_t *crew = data;

	assert_int_equal(order->number, WAVE);
	crew->active += !completed;
	crew->completed += completed;
}

static inline int64_t crew_keep(wwh_scheduler_record_kind_t kind,
				const char *key, GBytes *value, void *data)
{
	crew_t *crew = data;

	assert_int_equal(kind, WWH_SCHEDULER_RECORD_WAVE);
	assert_non_null(key);
	assert_non_null(value);
	return ++crew->record;
}

static inline void crew_explain(const char *event, const char *subject,
				const char *detail, void *data)
{
	(void)event;
	(void)subject;
	(void)detail;
	(void)data;
}

static inline wwh_host_duties_t *crew_duties(crew_t *crew)
{
	wwh_host_duties_calls_t calls = {
		.list = crew_list,
		.upkeep = crew_upkeep,
		.move = crew_move,
		.report = crew_report,
		.write_record = crew_keep,
		.explain = crew_explain,
		.client_data = crew,
	};

	return wwh_host_duties_new(&crew->options, &calls);
}

static inline crew_t *crew_new(int64_t first_order_ms)
{
	crew_t *crew = g_new0(crew_t, 1);

	crew->rig = sched_fixture_new();
	crew->options.scheduler = crew->rig->scheduler;
	crew->options.upkeep_ms = 2000;
	crew->options.move_ms = 1500;
	crew->options.first_order_ms = first_order_ms;
	crew->upkeeps = g_ptr_array_new_with_free_func(g_free);
	crew->moves = g_ptr_array_new_with_free_func(g_free);
	crew->duties = crew_duties(crew);
	return crew;
}

/* After rig_take_over: the duties of the new holder. */
static inline void crew_take_over(crew_t *crew)
{
	wwh_host_duties_delete(crew->duties);
	crew->options.scheduler = crew->rig->scheduler;
	crew->duties = crew_duties(crew);
}

static inline void crew_delete(crew_t *crew)
{
	wwh_host_duties_delete(crew->duties);
	sched_fixture_delete(crew->rig);
	g_ptr_array_unref(crew->upkeeps);
	g_ptr_array_unref(crew->moves);
	g_free(crew);
}

static inline void crew_run(crew_t *crew, int64_t forward_ms)
{
	crew->rig->now_ms += forward_ms;
	wwh_host_duties_run(crew->duties, crew->rig->now_ms);
}

static inline void crew_host(crew_t *crew, const char *name, const char *pool,
			     const char *upstream, wwh_host_run_state_t state)
{
	wwh_listed_host_t host = {
		.name = name, .pool = pool, .upstream = upstream, .state = state
	};

	wwh_host_duties_list_host(crew->duties, &host);
}

/* A row that can't be read; name NULL: not even that. */
static inline void crew_bad_host(crew_t *crew, const char *name)
{
	wwh_listed_host_t host = { .name = name, .unreadable = "a test" };

	wwh_host_duties_list_host(crew->duties, &host);
}

static inline void crew_listed(crew_t *crew)
{
	wwh_host_duties_list_end(crew->duties, true, crew->rig->now_ms);
}

static inline void crew_wave(crew_t *crew, int32_t hosts, int32_t max_down)
{
	wwh_wave_order_t *order = wwh_wave_order_new(WAVE);

	for (int32_t i = 1; i <= hosts; i++)
		g_ptr_array_add(order->hosts, g_strdup_printf("h%d", i));
	order->max_down = max_down;
	order->duration_ms = 60000;
	wwh_host_duties_add_wave(crew->duties, order, crew->rig->now_ms);
}

/* Hosts h1 to hN of the rig's pool, each with the upstream uN or none. */
static inline void crew_hosts(crew_t *crew, int32_t count, bool with_upstreams,
			      wwh_host_run_state_t first_state)
{
	for (int32_t i = 1; i <= count; i++) {
		char name[16];
		char upstream[16];

		snprintf(name, sizeof(name), "h%d", i);
		snprintf(upstream, sizeof(upstream), "u%d", i);
		crew_host(crew, name, SCHED_FIXTURE_POOL,
			  with_upstreams ? upstream : NULL,
			  i == 1 ? first_state : WWH_HOST_UP);
	}
	crew_listed(crew);
}

/* "HOST POOL" of the move that was ordered as this one. */
static inline const char *crew_moved(const crew_t *crew, guint index)
{
	assert_true(index < crew->moves->len);
	return g_ptr_array_index(crew->moves, index);
}

static inline void crew_answer_move(crew_t *crew, guint index)
{
	const char *moved = crew_moved(crew, index);
	char *host = g_strndup(moved, strcspn(moved, " "));

	wwh_host_duties_handle_move_result(crew->duties, host, WWH_DUTY_DONE,
					   crew->rig->now_ms);
	g_free(host);
}

/* One of u1 and u2 gets no work. */
static inline bool crew_cordoned(const crew_t *crew)
{
	wwh_scheduler_t *scheduler = crew->rig->scheduler;

	return wwh_scheduler_upstream_load(scheduler, "u1").cordoned ||
	       wwh_scheduler_upstream_load(scheduler, "u2").cordoned;
}

/* The move to rest is answered, and the next list shows it as done. */
static inline void crew_rests(crew_t *crew, const char *moved)
{
	char *host = g_strndup(moved, strcspn(moved, " "));

	wwh_host_duties_handle_move_result(crew->duties, host, WWH_DUTY_DONE,
					   crew->rig->now_ms);
	crew_run(crew, crew->options.move_ms);
	wwh_host_duties_list_begin(crew->duties);
	crew_host(crew, strcmp(host, "h1") == 0 ? "h2" : "h1",
		  SCHED_FIXTURE_POOL, strcmp(host, "h1") == 0 ? "u2" : "u1",
		  WWH_HOST_UP);
	crew_host(crew, host, "rest", NULL, WWH_HOST_UP);
	crew_listed(crew);
	g_free(host);
}

static inline int set_up(void **state)
{
	*state = crew_new(0);
	return 0;
}

/* Orders of the holder before may still be on their way. */
static inline int set_up_after_a_silent_holder(void **state)
{
	*state = crew_new(103000);
	return 0;
}

static inline int tear_down(void **state)
{
	crew_delete(*state);
	return 0;
}

#define WAVE_TESTS                                                             \
	cmocka_unit_test_setup_teardown(                                       \
		no_more_hosts_are_down_than_the_wave_allows, set_up,           \
		tear_down),                                                    \
		cmocka_unit_test_setup_teardown(                               \
			a_wave_is_said_to_be_complete_once_it_is_durable,      \
			set_up, tear_down),                                    \
		cmocka_unit_test_setup_teardown(                               \
			a_host_that_was_removed_is_not_waited_for, set_up,     \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			an_upkeep_that_was_done_before_ends_no_task, set_up,   \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_wave_with_time_left_spares_a_pool_that_is_short,     \
			set_up, tear_down),                                    \
		cmocka_unit_test_setup_teardown(                               \
			a_host_that_no_list_shows_has_no_pool, set_up,         \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_host_that_a_wave_empties_is_replaced, set_up,        \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_new_holder_waits_before_its_first_order,             \
			set_up_after_a_silent_holder, tear_down)

void no_more_hosts_are_down_than_the_wave_allows(void **state);
void a_wave_is_said_to_be_complete_once_it_is_durable(void **state);
void a_host_that_was_removed_is_not_waited_for(void **state);
void an_upkeep_that_was_done_before_ends_no_task(void **state);
void a_wave_with_time_left_spares_a_pool_that_is_short(void **state);
void a_host_that_no_list_shows_has_no_pool(void **state);
void a_host_that_a_wave_empties_is_replaced(void **state);
void a_new_holder_waits_before_its_first_order(void **state);

#define MOVE_TESTS                                                             \
	cmocka_unit_test_setup_teardown(a_pool_with_work_gets_hosts_that_rest, \
					set_up, tear_down),                    \
		cmocka_unit_test_setup_teardown(                               \
			a_pool_without_work_sends_hosts_to_rest, set_up,       \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_host_goes_from_turn_to_turn_in_one_move, set_up,     \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_lasting_task_keeps_a_host_that_comes, set_up,        \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_lull_between_two_turns_moves_no_host, set_up,        \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_host_at_hand_takes_late_work, set_up, tear_down),    \
		cmocka_unit_test_setup_teardown(                               \
			a_host_at_hand_rests_in_the_end, set_up, tear_down),   \
		cmocka_unit_test_setup_teardown(                               \
			a_pause_within_a_turn_moves_no_host, set_up,           \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_host_that_rests_is_called_back_at_once, set_up,      \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_host_that_leaves_is_replaced_before_it_has_gone,     \
			set_up, tear_down)

void a_pool_with_work_gets_hosts_that_rest(void **state);
void a_pool_without_work_sends_hosts_to_rest(void **state);
void a_host_goes_from_turn_to_turn_in_one_move(void **state);
void a_pause_within_a_turn_moves_no_host(void **state);
void a_lasting_task_keeps_a_host_that_comes(void **state);
void a_lull_between_two_turns_moves_no_host(void **state);
void a_host_at_hand_takes_late_work(void **state);
void a_host_at_hand_rests_in_the_end(void **state);
void a_host_that_rests_is_called_back_at_once(void **state);
void a_host_that_leaves_is_replaced_before_it_has_gone(void **state);

#define LIFE_TESTS                                                                           \
	cmocka_unit_test_setup_teardown(                                                     \
		an_incarnation_that_no_host_runs_is_not_waited_for, set_up,                  \
		tear_down),                                                                  \
		cmocka_unit_test_setup_teardown(                                             \
			an_incarnation_of_a_host_that_is_gone_is_not_waited_for,             \
			set_up, tear_down),                                                  \
		cmocka_unit_test_setup_teardown(                                             \
			an_incarnation_of_a_host_that_moves_is_not_waited_for,               \
			set_up, tear_down),                                                  \
		cmocka_unit_test_setup_teardown(                                             \
			an_incarnation_that_a_host_runs_is_waited_for, set_up,               \
			tear_down),                                                          \
		cmocka_unit_test_setup_teardown(                                             \
			a_host_that_does_not_say_what_it_runs_may_run_any,                   \
			set_up, tear_down),                                                  \
		cmocka_unit_test_setup_teardown(                                             \
			a_host_of_a_working_pool_without_an_incarnation_may_run_any,         \
			set_up, tear_down),                                                  \
		cmocka_unit_test_setup_teardown(                                             \
			a_list_that_is_cut_short_ends_no_incarnation, set_up,                \
			tear_down),                                                          \
		cmocka_unit_test_setup_teardown(                                             \
			an_incarnation_that_is_announced_is_waited_for,                      \
			set_up, tear_down),                                                  \
		cmocka_unit_test_setup_teardown(                                             \
			a_row_that_cannot_be_read_may_run_any, set_up,                       \
			tear_down),                                                          \
		cmocka_unit_test_setup_teardown(                                             \
			a_row_without_a_name_may_run_any, set_up, tear_down),                \
		cmocka_unit_test_setup_teardown(                                             \
			a_list_that_misses_a_living_one_ends_no_incarnation,                 \
			set_up, tear_down),                                                  \
		cmocka_unit_test_setup_teardown(                                             \
			a_list_is_believed_though_others_come_meanwhile,                     \
			set_up, tear_down),                                                  \
		cmocka_unit_test_setup_teardown(                                             \
			a_list_that_misses_one_is_not_believed_as_others_come,               \
			set_up, tear_down),                                                  \
		cmocka_unit_test_setup_teardown(                                             \
			a_list_is_believed_though_a_host_is_ordered_away,                    \
			set_up, tear_down),                                                  \
		cmocka_unit_test_setup_teardown(                                             \
			an_incarnation_that_lists_miss_for_long_is_not_waited_for,           \
			set_up, tear_down),                                                  \
		cmocka_unit_test_setup_teardown(                                             \
			an_incarnation_that_is_announced_is_waited_for_without_a_whole_list, \
			set_up, tear_down)

void an_incarnation_that_no_host_runs_is_not_waited_for(void **state);
void an_incarnation_of_a_host_that_is_gone_is_not_waited_for(void **state);
void an_incarnation_of_a_host_that_moves_is_not_waited_for(void **state);
void an_incarnation_that_a_host_runs_is_waited_for(void **state);
void a_host_that_does_not_say_what_it_runs_may_run_any(void **state);
void a_host_of_a_working_pool_without_an_incarnation_may_run_any(void **state);
void a_list_that_is_cut_short_ends_no_incarnation(void **state);
void an_incarnation_that_is_announced_is_waited_for(void **state);
void a_row_that_cannot_be_read_may_run_any(void **state);
void a_row_without_a_name_may_run_any(void **state);
void a_list_that_misses_a_living_one_ends_no_incarnation(void **state);
void a_list_is_believed_though_others_come_meanwhile(void **state);
void a_list_that_misses_one_is_not_believed_as_others_come(void **state);
void a_list_is_believed_though_a_host_is_ordered_away(void **state);
void an_incarnation_that_lists_miss_for_long_is_not_waited_for(void **state);
void an_incarnation_that_is_announced_is_waited_for_without_a_whole_list(
	void **state);

#endif
