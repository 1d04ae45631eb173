#ifndef TEST_SCHEDULER_H
#define TEST_SCHEDULER_H

/*
 * NAME
 *	test_scheduler - what the files of this test program share
 */

#include "rig.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define ENDPOINT_1 "10.0.0.1:1"
#define ENDPOINT_2 "10.0.0.2:1"
#define ENDPOINT_3 "10.0.0.3:1"

/* A test whose *state is a fixture with so many upstreams, u1 and on. */
#define RIG_TEST(name, upstreams)                                              \
	cmocka_unit_test_setup_teardown(name, rig_with_##upstreams,            \
					rig_tear_down)

int rig_with_0(void **state);
int rig_with_1(void **state);
int rig_with_2(void **state);
int rig_with_3(void **state);
int rig_tear_down(void **state);

/* Polls at silent get no answer, all others find nothing new. */
void answer_all_but(sched_fixture_t *fixture, const char *silent);

#define JOB_TESTS                                                              \
	RIG_TEST(a_step_waits_for_all_tasks_of_those_before_it, 1),            \
		RIG_TEST(a_task_fails_as_often_as_its_queue_allows, 1),        \
		RIG_TEST(failures_count_in_whatever_order_they_are_heard, 2),  \
		RIG_TEST(a_failure_counts_while_a_later_run_is_out, 2),        \
		RIG_TEST(a_gang_starts_whole_or_not_at_all, 2),                \
		RIG_TEST(a_gang_that_does_not_fit_leaves_the_room_to_others,   \
			 1),                                                   \
		RIG_TEST(one_end_of_a_gang_stands_for_all, 2),                 \
		RIG_TEST(a_lasting_task_is_started_again_however_it_ends, 1),  \
		RIG_TEST(occurrences_start_when_they_are_due, 1),              \
		RIG_TEST(a_need_that_cannot_be_added_up_fits_nowhere, 1),      \
		RIG_TEST(a_filler_takes_no_processor_from_others, 1),          \
		RIG_TEST(work_that_no_host_can_hold_draws_none, 2),            \
		RIG_TEST(an_absurd_estimate_counts_as_a_long_one, 2),          \
		RIG_TEST(a_cancelled_job_stops_and_starts_nothing, 1)

void a_step_waits_for_all_tasks_of_those_before_it(void **state);
void a_task_fails_as_often_as_its_queue_allows(void **state);
void failures_count_in_whatever_order_they_are_heard(void **state);
void a_failure_counts_while_a_later_run_is_out(void **state);
void a_gang_starts_whole_or_not_at_all(void **state);
void a_gang_that_does_not_fit_leaves_the_room_to_others(void **state);
void one_end_of_a_gang_stands_for_all(void **state);
void a_lasting_task_is_started_again_however_it_ends(void **state);
void occurrences_start_when_they_are_due(void **state);
void a_need_that_cannot_be_added_up_fits_nowhere(void **state);
void a_filler_takes_no_processor_from_others(void **state);
void a_cancelled_job_stops_and_starts_nothing(void **state);
void work_that_no_host_can_hold_draws_none(void **state);
void an_absurd_estimate_counts_as_a_long_one(void **state);

#define RUN_TESTS                                                                    \
	RIG_TEST(an_unanswered_start_is_settled_before_the_next, 2),                 \
		RIG_TEST(an_unanswered_start_that_is_listed_goes_on, 1),             \
		RIG_TEST(an_end_read_after_the_host_list_counts, 2),                 \
		RIG_TEST(                                                            \
			an_upstream_record_is_deleted_after_its_ends_are_written,    \
			2),                                                          \
		RIG_TEST(a_lost_first_answer_is_polled_for_again_soon, 2),           \
		RIG_TEST(an_inherited_end_read_after_the_host_list_counts, 2),       \
		RIG_TEST(a_final_report_is_awaited_for_a_limited_time, 2),           \
		RIG_TEST(a_terminated_upstream_is_removed_when_its_poll_fails,       \
			 2),                                                         \
		RIG_TEST(                                                            \
			a_silent_upstream_keeps_its_tasks_until_its_lease_is_over,   \
			1),                                                          \
		RIG_TEST(a_new_holder_asks_each_upstream_before_it_starts, 1),       \
		RIG_TEST(                                                            \
			a_new_holder_goes_on_when_all_upstreams_have_answered,       \
			1),                                                          \
		RIG_TEST(                                                            \
			a_lasting_task_waits_for_no_longer_lease_than_was_asked_for, \
			0),                                                          \
		RIG_TEST(a_record_without_a_lease_stands_for_the_longest, 1),        \
		RIG_TEST(a_holder_asks_for_no_longer_lease_than_is_on_record,        \
			 0),                                                         \
		RIG_TEST(a_new_holder_waits_for_the_longest_lease, 1),               \
		RIG_TEST(a_new_holder_waits_longer_where_leases_are, 1),             \
		RIG_TEST(no_lease_is_asked_for_beyond_the_longest, 1),               \
		RIG_TEST(an_orphan_run_is_stopped_until_it_is_gone, 1),              \
		RIG_TEST(a_task_that_stands_still_is_started_elsewhere, 1),          \
		RIG_TEST(                                                            \
			a_longer_lease_of_the_holder_before_counts_to_its_end,       \
			1),                                                          \
		RIG_TEST(                                                            \
			a_lease_that_an_overtaken_holder_extends_is_waited_for,      \
			0),                                                          \
		RIG_TEST(an_old_announcement_ends_no_newer_incarnation, 1),          \
		RIG_TEST(a_failing_lasting_task_keeps_no_other_away, 2),             \
		RIG_TEST(a_task_that_goes_on_slowly_is_left_alone, 1)

void an_unanswered_start_is_settled_before_the_next(void **state);
void an_unanswered_start_that_is_listed_goes_on(void **state);
void an_end_read_after_the_host_list_counts(void **state);
void a_lost_first_answer_is_polled_for_again_soon(void **state);
void an_inherited_end_read_after_the_host_list_counts(void **state);
void a_final_report_is_awaited_for_a_limited_time(void **state);
void an_upstream_record_is_deleted_after_its_ends_are_written(void **state);
void a_terminated_upstream_is_removed_when_its_poll_fails(void **state);
void a_silent_upstream_keeps_its_tasks_until_its_lease_is_over(void **state);
void a_new_holder_asks_each_upstream_before_it_starts(void **state);
void a_new_holder_waits_for_the_longest_lease(void **state);
void a_new_holder_waits_longer_where_leases_are(void **state);
void no_lease_is_asked_for_beyond_the_longest(void **state);
void a_new_holder_goes_on_when_all_upstreams_have_answered(void **state);
void a_lasting_task_waits_for_no_longer_lease_than_was_asked_for(void **state);
void a_record_without_a_lease_stands_for_the_longest(void **state);
void a_holder_asks_for_no_longer_lease_than_is_on_record(void **state);
void an_orphan_run_is_stopped_until_it_is_gone(void **state);
void a_task_that_stands_still_is_started_elsewhere(void **state);
void a_longer_lease_of_the_holder_before_counts_to_its_end(void **state);
void a_lease_that_an_overtaken_holder_extends_is_waited_for(void **state);
void an_old_announcement_ends_no_newer_incarnation(void **state);
void a_failing_lasting_task_keeps_no_other_away(void **state);
void a_task_that_goes_on_slowly_is_left_alone(void **state);

#define UPSTREAM_TESTS                                                         \
	RIG_TEST(first_polls_are_sent_as_answers_come, 0),                     \
		RIG_TEST(silent_upstreams_hold_back_no_first_poll, 0),         \
		RIG_TEST(a_host_that_has_not_answered_is_not_taken_down, 1),   \
		RIG_TEST(a_host_stays_until_its_ends_are_durable, 1),          \
		RIG_TEST(hosts_taken_down_together_share_what_a_step_may_miss, \
			 3),                                                   \
		RIG_TEST(a_cordoned_host_relocates_lasting_tasks_one_by_one,   \
			 2),                                                   \
		RIG_TEST(a_stop_by_the_previous_holder_counts_until_its_limit, \
			 2),                                                   \
		RIG_TEST(a_serving_gang_is_not_split, 2),                      \
		RIG_TEST(a_cordoned_host_keeps_tasks_that_fit_nowhere_else,    \
			 1),                                                   \
		RIG_TEST(fillers_are_slowed_for_serving_tasks, 1),             \
		RIG_TEST(advice_is_requested_before_a_start_and_renewed, 2),   \
		RIG_TEST(a_refused_ticket_is_requested_again, 1),              \
		RIG_TEST(a_leaving_upstream_gets_no_new_tasks, 1),             \
		RIG_TEST(nothing_starts_while_starts_are_held, 1),             \
		RIG_TEST(a_workspace_starts_no_more_than_its_limit, 1),        \
		RIG_TEST(tasks_of_the_previous_holder_count_for_the_limit, 1)

#define DAMAGE_TESTS                                                           \
	RIG_TEST(an_upstream_whose_record_is_lost_is_asked_first, 2),          \
		RIG_TEST(an_upstream_whose_record_is_lost_is_waited_for, 2),   \
		RIG_TEST(a_job_whose_record_is_lost_is_left_as_it_is, 1),      \
		RIG_TEST(a_job_whose_progress_is_lost_starts_nothing, 1)

void an_upstream_whose_record_is_lost_is_asked_first(void **state);
void an_upstream_whose_record_is_lost_is_waited_for(void **state);
void a_job_whose_record_is_lost_is_left_as_it_is(void **state);
void a_job_whose_progress_is_lost_starts_nothing(void **state);

void first_polls_are_sent_as_answers_come(void **state);
void silent_upstreams_hold_back_no_first_poll(void **state);
void a_host_that_has_not_answered_is_not_taken_down(void **state);
void a_host_stays_until_its_ends_are_durable(void **state);
void hosts_taken_down_together_share_what_a_step_may_miss(void **state);
void a_cordoned_host_relocates_lasting_tasks_one_by_one(void **state);
void a_stop_by_the_previous_holder_counts_until_its_limit(void **state);
void a_serving_gang_is_not_split(void **state);
void a_cordoned_host_keeps_tasks_that_fit_nowhere_else(void **state);
void fillers_are_slowed_for_serving_tasks(void **state);
void advice_is_requested_before_a_start_and_renewed(void **state);
void a_refused_ticket_is_requested_again(void **state);
void a_leaving_upstream_gets_no_new_tasks(void **state);
void nothing_starts_while_starts_are_held(void **state);
void a_workspace_starts_no_more_than_its_limit(void **state);
void tasks_of_the_previous_holder_count_for_the_limit(void **state);

#define BACKLOG_TESTS                                                          \
	RIG_TEST(a_pass_starts_a_limited_number_of_tasks, 1),                  \
		RIG_TEST(lasting_tasks_go_before_a_backlog, 1),                \
		RIG_TEST(pools_share_the_starts_of_a_pass, 1),                 \
		RIG_TEST(a_recovery_takes_as_long_as_its_upstreams_answer, 3)

void a_pass_starts_a_limited_number_of_tasks(void **state);
void lasting_tasks_go_before_a_backlog(void **state);
void pools_share_the_starts_of_a_pass(void **state);
void a_recovery_takes_as_long_as_its_upstreams_answer(void **state);

#define IDLE_TESTS                                                             \
	RIG_TEST(polls_of_many_idle_upstreams_are_rate_limited, 0),            \
		RIG_TEST(few_idle_upstreams_are_polled_continuously, 0),       \
		RIG_TEST(an_idle_upstream_is_used_and_polled_at_once, 0)

void polls_of_many_idle_upstreams_are_rate_limited(void **state);
void few_idle_upstreams_are_polled_continuously(void **state);
void an_idle_upstream_is_used_and_polled_at_once(void **state);

#endif
