#ifndef TEST_HOST_DUTIES_DUTIES_FIXTURE_H
#define TEST_HOST_DUTIES_DUTIES_FIXTURE_H

/*
 * NAME
 *	duties_fixture - host duties with their own scheduler
 *
 * USE
 *	Fixture shared by the files of this test program. It records the orders
 *	that host duties give, and has helpers for lists of hosts and results.
 */

#include "../test_scheduler/sched_fixture.h"

#include "waxwinghollow/host_duties.h"

#define JOB_A "00000000000000aa"
#define WAVE 7

typedef struct {
	sched_fixture_t *sched;
	wwh_host_duties_t *duties;
	wwh_host_duties_options_t options;
	int32_t lists_requested;
	GPtrArray *upkeeps; /* names of hosts, owned */
	GPtrArray *moves; /* "HOST POOL", owned */
	int32_t active_reports;
	int32_t completed_reports;
	int64_t last_record;
	int64_t expected_wave; /* of the next orders for upkeep */
	int64_t newest_wave;
	GBytes *reserve_record; /* NULL: none was written */
} duties_fixture_t;

static inline void duties_fixture_on_list(void *data)
{
	duties_fixture_t *self = data;

	self->lists_requested++;
	wwh_host_duties_list_begin(self->duties);
}

static inline void duties_fixture_on_upkeep(const char *host, int64_t wave,
					    void *data)
{
	duties_fixture_t *self = data;

	assert_int_equal(wave, self->expected_wave);
	g_ptr_array_add(self->upkeeps, g_strdup(host));
}

static inline void duties_fixture_on_move(const char *host, const char *pool,
					  void *data)
{
	duties_fixture_t *self = data;

	g_ptr_array_add(self->moves, g_strconcat(host, " ", pool, NULL));
}

static inline void duties_fixture_on_report(const wwh_wave_order_t *order,
					    bool completed, void *data)
{
	duties_fixture_t *self = data;

	assert_in_range(order->number, WAVE, self->newest_wave);
	self->active_reports += !completed;
	self->completed_reports += completed;
}

static inline int64_t duties_fixture_on_record(wwh_scheduler_record_kind_t kind,
					       const char *key, GBytes *value,
					       void *data)
{
	duties_fixture_t *self = data;

	assert_non_null(key);
	assert_non_null(value);
	if (kind == WWH_SCHEDULER_RECORD_RESERVE) {
		g_clear_pointer(&self->reserve_record, g_bytes_unref);
		self->reserve_record = g_bytes_ref(value);
		return self->last_record;
	}
	assert_int_equal(kind, WWH_SCHEDULER_RECORD_WAVE);
	return ++self->last_record;
}

static inline void duties_fixture_on_event(const char *event,
					   const char *subject,
					   const char *detail, void *data)
{
	(void)event;
	(void)subject;
	(void)detail;
	(void)data;
}

static inline wwh_host_duties_t *
duties_fixture_make_duties(duties_fixture_t *self)
{
	wwh_host_duties_calls_t calls = {
		.list = duties_fixture_on_list,
		.upkeep = duties_fixture_on_upkeep,
		.move = duties_fixture_on_move,
		.report = duties_fixture_on_report,
		.write_record = duties_fixture_on_record,
		.explain = duties_fixture_on_event,
		.client_data = self,
	};

	return wwh_host_duties_new(&self->options, &calls);
}

static inline duties_fixture_t *duties_fixture_new(int64_t first_order_ms)
{
	duties_fixture_t *self = g_new0(duties_fixture_t, 1);

	self->sched = sched_fixture_new();
	self->options.scheduler = self->sched->scheduler;
	self->options.upkeep_ms = 2000;
	self->options.move_ms = 1500;
	self->options.first_order_ms = first_order_ms;
	self->upkeeps = g_ptr_array_new_with_free_func(g_free);
	self->expected_wave = WAVE;
	self->moves = g_ptr_array_new_with_free_func(g_free);
	self->duties = duties_fixture_make_duties(self);
	return self;
}

/* Creates the duties of the new holder, after sched_fixture_take_over. */
static inline void duties_fixture_take_over(duties_fixture_t *self)
{
	wwh_host_duties_delete(self->duties);
	self->options.scheduler = self->sched->scheduler;
	self->duties = duties_fixture_make_duties(self);
}

/* The new holder restores what the previous one recorded of the reserve. */
static inline bool duties_fixture_restore_reserve(duties_fixture_t *self)
{
	wwh_message_t message = { "" };
	gsize size;
	const uint8_t *value;

	assert_non_null(self->reserve_record);
	value = g_bytes_get_data(self->reserve_record, &size);
	return wwh_host_duties_restore_reserve(self->duties, value, size,
					       &message);
}

static inline void duties_fixture_delete(duties_fixture_t *self)
{
	wwh_host_duties_delete(self->duties);
	sched_fixture_delete(self->sched);
	g_ptr_array_unref(self->upkeeps);
	g_ptr_array_unref(self->moves);
	g_clear_pointer(&self->reserve_record, g_bytes_unref);
	g_free(self);
}

static inline void duties_fixture_run(duties_fixture_t *self,
				      int64_t forward_ms)
{
	self->sched->now_ms += forward_ms;
	wwh_host_duties_run(self->duties, self->sched->now_ms);
}

static inline void duties_fixture_list_host(duties_fixture_t *self,
					    const char *name, const char *pool,
					    const char *upstream,
					    wwh_host_run_state_t state)
{
	wwh_listed_host_t host = {
		.name = name, .pool = pool, .upstream = upstream, .state = state
	};

	wwh_host_duties_list_host(self->duties, &host);
}

/* Lists an unreadable row; name is NULL if the name is unreadable too. */
static inline void duties_fixture_list_unreadable_host(duties_fixture_t *self,
						       const char *name)
{
	wwh_listed_host_t host = { .name = name, .unreadable = "a test" };

	wwh_host_duties_list_host(self->duties, &host);
}

static inline void duties_fixture_end_list(duties_fixture_t *self)
{
	wwh_host_duties_list_end(self->duties, true, self->sched->now_ms);
}

static inline void duties_fixture_add_numbered_wave(duties_fixture_t *self,
						    int64_t number,
						    int32_t hosts,
						    int32_t max_down)
{
	wwh_wave_order_t *order = wwh_wave_order_new(number);

	self->newest_wave = number;

	for (int32_t i = 1; i <= hosts; i++)
		g_ptr_array_add(order->hosts, g_strdup_printf("h%d", i));
	order->max_down = max_down;
	order->duration_ms = 60000;
	wwh_host_duties_add_wave(self->duties, order, self->sched->now_ms);
}

static inline void duties_fixture_add_wave(duties_fixture_t *self,
					   int32_t hosts, int32_t max_down)
{
	duties_fixture_add_numbered_wave(self, WAVE, hosts, max_down);
}

/*
 * Lists hosts h1 to hN of the scheduler fixture's pool, each with its upstream
 * u1 to uN or with none, and ends the list.
 */
static inline void duties_fixture_list_hosts(duties_fixture_t *self,
					     int32_t count, bool with_upstreams,
					     wwh_host_run_state_t first_state)
{
	for (int32_t i = 1; i <= count; i++) {
		char name[16];
		char upstream[16];

		snprintf(name, sizeof(name), "h%d", i);
		snprintf(upstream, sizeof(upstream), "u%d", i);
		duties_fixture_list_host(self, name, SCHED_FIXTURE_POOL,
					 with_upstreams ? upstream : NULL,
					 i == 1 ? first_state : WWH_HOST_UP);
	}
	duties_fixture_end_list(self);
}

/* Returns the move order with this index as "HOST POOL". */
static inline const char *duties_fixture_move_at(const duties_fixture_t *self,
						 guint index)
{
	assert_true(index < self->moves->len);
	return g_ptr_array_index(self->moves, index);
}

static inline void duties_fixture_answer_move(duties_fixture_t *self,
					      guint index)
{
	const char *moved = duties_fixture_move_at(self, index);
	char *host = g_strndup(moved, strcspn(moved, " "));

	wwh_host_duties_handle_move_result(self->duties, host, WWH_DUTY_DONE,
					   self->sched->now_ms);
	g_free(host);
}

/* Returns whether u1 or u2 is cordoned. */
static inline bool
duties_fixture_has_cordoned_upstream(const duties_fixture_t *self)
{
	wwh_scheduler_t *scheduler = self->sched->scheduler;

	return wwh_scheduler_upstream_load(scheduler, "u1").cordoned ||
	       wwh_scheduler_upstream_load(scheduler, "u2").cordoned;
}

/*
 * Answers a move to the standby pool and lists the host there when it is over.
 */
static inline void
duties_fixture_complete_move_to_standby(duties_fixture_t *self,
					const char *moved)
{
	char *host = g_strndup(moved, strcspn(moved, " "));

	wwh_host_duties_handle_move_result(self->duties, host, WWH_DUTY_DONE,
					   self->sched->now_ms);
	duties_fixture_run(self, self->options.move_ms);
	wwh_host_duties_list_begin(self->duties);
	duties_fixture_list_host(
		self, strcmp(host, "h1") == 0 ? "h2" : "h1", SCHED_FIXTURE_POOL,
		strcmp(host, "h1") == 0 ? "u2" : "u1", WWH_HOST_UP);
	duties_fixture_list_host(self, host, "standby", NULL, WWH_HOST_UP);
	duties_fixture_end_list(self);
	g_free(host);
}

static inline int set_up(void **state)
{
	*state = duties_fixture_new(0);
	return 0;
}

/* Orders of the previous holder may still be in flight for 3 s. */
static inline int set_up_after_a_silent_holder(void **state)
{
	*state = duties_fixture_new(103000);
	return 0;
}

static inline int tear_down(void **state)
{
	duties_fixture_delete(*state);
	return 0;
}

#define WAVE_TESTS                                                                \
	cmocka_unit_test_setup_teardown(                                          \
		no_more_hosts_are_down_than_the_wave_allows, set_up,              \
		tear_down),                                                       \
		cmocka_unit_test_setup_teardown(                                  \
			a_wave_is_reported_complete_once_its_record_is_durable,   \
			set_up, tear_down),                                       \
		cmocka_unit_test_setup_teardown(                                  \
			a_removed_host_is_not_waited_for, set_up, tear_down),     \
		cmocka_unit_test_setup_teardown(                                  \
			a_repeated_upkeep_order_ends_no_task, set_up,             \
			tear_down),                                               \
		cmocka_unit_test_setup_teardown(                                  \
			a_wave_with_slack_skips_a_pool_that_lacks_hosts,          \
			set_up, tear_down),                                       \
		cmocka_unit_test_setup_teardown(                                  \
			a_host_in_two_waves_is_ordered_for_one_at_a_time,         \
			set_up, tear_down),                                       \
		cmocka_unit_test_setup_teardown(                                  \
			a_host_with_an_unanswered_upkeep_keeps_its_slot,          \
			set_up, tear_down),                                       \
		cmocka_unit_test_setup_teardown(a_removed_host_frees_its_slot,    \
						set_up, tear_down),               \
		cmocka_unit_test_setup_teardown(                                  \
			a_host_with_a_refused_upkeep_is_moved_again, set_up,      \
			tear_down),                                               \
		cmocka_unit_test_setup_teardown(                                  \
			upkeeps_begin_with_a_list_requested_after_they_were_held, \
			set_up, tear_down),                                       \
		cmocka_unit_test_setup_teardown(an_unlisted_host_has_no_pool,     \
						set_up, tear_down),               \
		cmocka_unit_test_setup_teardown(                                  \
			a_host_drained_for_a_wave_is_replaced, set_up,            \
			tear_down),                                               \
		cmocka_unit_test_setup_teardown(                                  \
			a_new_holder_waits_before_its_first_order,                \
			set_up_after_a_silent_holder, tear_down)

void no_more_hosts_are_down_than_the_wave_allows(void **state);
void a_wave_is_reported_complete_once_its_record_is_durable(void **state);
void a_removed_host_is_not_waited_for(void **state);
void a_repeated_upkeep_order_ends_no_task(void **state);
void a_wave_with_slack_skips_a_pool_that_lacks_hosts(void **state);
void a_host_in_two_waves_is_ordered_for_one_at_a_time(void **state);
void a_host_with_an_unanswered_upkeep_keeps_its_slot(void **state);
void a_removed_host_frees_its_slot(void **state);
void a_host_with_a_refused_upkeep_is_moved_again(void **state);
void an_unlisted_host_has_no_pool(void **state);
void upkeeps_begin_with_a_list_requested_after_they_were_held(void **state);
void a_host_drained_for_a_wave_is_replaced(void **state);
void a_new_holder_waits_before_its_first_order(void **state);

#define MOVE_TESTS                                                             \
	cmocka_unit_test_setup_teardown(lacking_hosts_are_reported, set_up,    \
					tear_down),                            \
		cmocka_unit_test_setup_teardown(                               \
			move_orders_follow_the_rate_of_the_service, set_up,    \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			rejected_orders_are_retried_at_the_rate, set_up,       \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			hosts_on_their_way_are_reported, set_up, tear_down),   \
		cmocka_unit_test_setup_teardown(                               \
			a_pool_with_work_gets_standby_hosts, set_up,           \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_pool_without_work_sends_hosts_to_standby, set_up,    \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_slow_empty_host_leaves_first, set_up, tear_down),    \
		cmocka_unit_test_setup_teardown(                               \
			a_host_moves_directly_to_the_next_busy_pool, set_up,   \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_waiting_lasting_task_retains_a_new_host, set_up,     \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			an_idle_phase_of_a_pool_moves_no_host, set_up,         \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_surplus_host_takes_late_work, set_up, tear_down),    \
		cmocka_unit_test_setup_teardown(                               \
			a_surplus_host_goes_to_standby_after_the_delay,        \
			set_up, tear_down),                                    \
		cmocka_unit_test_setup_teardown(                               \
			a_pause_within_a_busy_phase_moves_no_host, set_up,     \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_standby_host_is_requested_again_at_once, set_up,     \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_leaving_host_is_replaced_before_it_is_gone, set_up,  \
			tear_down)

void hosts_on_their_way_are_reported(void **state);
void lacking_hosts_are_reported(void **state);
void move_orders_follow_the_rate_of_the_service(void **state);
void rejected_orders_are_retried_at_the_rate(void **state);
void a_pool_with_work_gets_standby_hosts(void **state);
void a_pool_without_work_sends_hosts_to_standby(void **state);
void a_slow_empty_host_leaves_first(void **state);
void a_host_moves_directly_to_the_next_busy_pool(void **state);
void a_pause_within_a_busy_phase_moves_no_host(void **state);
void a_waiting_lasting_task_retains_a_new_host(void **state);
void an_idle_phase_of_a_pool_moves_no_host(void **state);
void a_surplus_host_takes_late_work(void **state);
void a_surplus_host_goes_to_standby_after_the_delay(void **state);
void a_standby_host_is_requested_again_at_once(void **state);
void a_leaving_host_is_replaced_before_it_is_gone(void **state);

#define RESERVE_TESTS                                                          \
	cmocka_unit_test_setup_teardown(                                       \
		a_new_holder_releases_nothing_at_first, set_up, tear_down),    \
		cmocka_unit_test_setup_teardown(                               \
			a_new_holder_restores_the_reserve, set_up, tear_down), \
		cmocka_unit_test_setup_teardown(                               \
			an_old_reserve_is_observed_anew, set_up, tear_down),   \
		cmocka_unit_test_setup_teardown(                               \
			a_reserve_from_the_future_is_observed_anew, set_up,    \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			an_unreadable_reserve_is_observed_anew, set_up,        \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(held_moves_are_not_ordered,    \
						set_up, tear_down),            \
		cmocka_unit_test_setup_teardown(                               \
			a_move_ends_the_upstream_of_its_host, set_up,          \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(a_paused_time_is_not_observed, \
						set_up, tear_down),            \
		cmocka_unit_test_setup_teardown(                               \
			a_host_whose_move_failed_is_still_available, set_up,   \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			the_largest_rack_and_waves_are_reserved, set_up,       \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_surplus_host_is_awaited_instead_of_a_standby_host,   \
			set_up, tear_down),                                    \
		cmocka_unit_test_setup_teardown(                               \
			hosts_leave_the_pool_with_most_surplus, set_up,        \
			tear_down),                                            \
		cmocka_unit_test_setup_teardown(                               \
			a_fleet_without_a_standby_pool_observes_nothing,       \
			set_up, tear_down)

void a_new_holder_releases_nothing_at_first(void **state);
void a_new_holder_restores_the_reserve(void **state);
void an_old_reserve_is_observed_anew(void **state);
void a_reserve_from_the_future_is_observed_anew(void **state);
void an_unreadable_reserve_is_observed_anew(void **state);
void held_moves_are_not_ordered(void **state);
void a_move_ends_the_upstream_of_its_host(void **state);
void a_paused_time_is_not_observed(void **state);
void a_host_whose_move_failed_is_still_available(void **state);
void the_largest_rack_and_waves_are_reserved(void **state);
void a_surplus_host_is_awaited_instead_of_a_standby_host(void **state);
void hosts_leave_the_pool_with_most_surplus(void **state);
void a_fleet_without_a_standby_pool_observes_nothing(void **state);

#define INCARNATION_TESTS                                                                \
	cmocka_unit_test_setup_teardown(                                                 \
		an_incarnation_that_no_host_runs_is_not_waited_for, set_up,              \
		tear_down),                                                              \
		cmocka_unit_test_setup_teardown(                                         \
			an_incarnation_of_a_removed_host_is_not_waited_for,              \
			set_up, tear_down),                                              \
		cmocka_unit_test_setup_teardown(                                         \
			an_incarnation_of_a_moving_host_is_not_waited_for,               \
			set_up, tear_down),                                              \
		cmocka_unit_test_setup_teardown(                                         \
			an_incarnation_that_a_host_runs_is_waited_for, set_up,           \
			tear_down),                                                      \
		cmocka_unit_test_setup_teardown(                                         \
			a_down_host_without_an_incarnation_may_run_any,                  \
			set_up, tear_down),                                              \
		cmocka_unit_test_setup_teardown(                                         \
			an_up_host_without_an_incarnation_may_run_any, set_up,           \
			tear_down),                                                      \
		cmocka_unit_test_setup_teardown(                                         \
			a_truncated_list_terminates_no_incarnation, set_up,              \
			tear_down),                                                      \
		cmocka_unit_test_setup_teardown(                                         \
			an_announced_incarnation_is_waited_for, set_up,                  \
			tear_down),                                                      \
		cmocka_unit_test_setup_teardown(an_unreadable_row_may_run_any,           \
						set_up, tear_down),                      \
		cmocka_unit_test_setup_teardown(                                         \
			an_unreadable_row_without_a_name_may_run_any, set_up,            \
			tear_down),                                                      \
		cmocka_unit_test_setup_teardown(                                         \
			a_list_without_a_live_incarnation_terminates_none,               \
			set_up, tear_down),                                              \
		cmocka_unit_test_setup_teardown(                                         \
			a_list_is_accepted_although_hosts_join_meanwhile,                \
			set_up, tear_down),                                              \
		cmocka_unit_test_setup_teardown(                                         \
			a_list_without_a_live_incarnation_is_rejected_while_hosts_join,  \
			set_up, tear_down),                                              \
		cmocka_unit_test_setup_teardown(                                         \
			a_list_is_accepted_although_a_host_is_ordered_into_upkeep,       \
			set_up, tear_down),                                              \
		cmocka_unit_test_setup_teardown(                                         \
			an_announced_incarnation_that_many_lists_lack_is_not_waited_for, \
			set_up, tear_down),                                              \
		cmocka_unit_test_setup_teardown(                                         \
			an_announced_incarnation_is_waited_for_without_a_complete_list,  \
			set_up, tear_down),                                              \
		cmocka_unit_test_setup_teardown(                                         \
			a_refused_incarnation_that_no_host_runs_is_not_waited_for,       \
			set_up, tear_down),                                              \
		cmocka_unit_test_setup_teardown(                                         \
			a_list_older_than_the_last_answer_ends_nothing,                  \
			set_up, tear_down)

void an_incarnation_that_no_host_runs_is_not_waited_for(void **state);
void an_incarnation_of_a_removed_host_is_not_waited_for(void **state);
void an_incarnation_of_a_moving_host_is_not_waited_for(void **state);
void an_incarnation_that_a_host_runs_is_waited_for(void **state);
void a_down_host_without_an_incarnation_may_run_any(void **state);
void an_up_host_without_an_incarnation_may_run_any(void **state);
void a_truncated_list_terminates_no_incarnation(void **state);
void an_announced_incarnation_is_waited_for(void **state);
void an_unreadable_row_may_run_any(void **state);
void an_unreadable_row_without_a_name_may_run_any(void **state);
void a_list_without_a_live_incarnation_terminates_none(void **state);
void a_list_is_accepted_although_hosts_join_meanwhile(void **state);
void a_list_without_a_live_incarnation_is_rejected_while_hosts_join(
	void **state);
void a_list_is_accepted_although_a_host_is_ordered_into_upkeep(void **state);
void an_announced_incarnation_that_many_lists_lack_is_not_waited_for(
	void **state);
void an_announced_incarnation_is_waited_for_without_a_complete_list(
	void **state);
void a_refused_incarnation_that_no_host_runs_is_not_waited_for(void **state);
void a_list_older_than_the_last_answer_ends_nothing(void **state);

#endif
