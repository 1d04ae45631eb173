#ifndef TEST_SCHEDULER_H
#define TEST_SCHEDULER_H

/*
 * NAME
 *	test_scheduler - shared declarations of this test program
 */

#include "sched_fixture.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define ENDPOINT_1 "10.0.0.1:1"
#define ENDPOINT_2 "10.0.0.2:1"
#define ENDPOINT_3 "10.0.0.3:1"

/* A test whose *state is a fixture with this number of upstreams, from u1. */
#define FIXTURE_TEST(name, upstreams)                                          \
	cmocka_unit_test_setup_teardown(name, fixture_with_##upstreams,        \
					fixture_tear_down)

int fixture_with_0(void **state);
int fixture_with_1(void **state);
int fixture_with_2(void **state);
int fixture_with_3(void **state);
int fixture_tear_down(void **state);

/* Fails the polls at silent and answers all others with empty lists. */
void answer_all_but(sched_fixture_t *fixture, const char *silent);
void answer_all_but_failing(sched_fixture_t *fixture, const char *failing,
			    wwh_reach_t reach);

#define JOB_TESTS                                                              \
	FIXTURE_TEST(a_step_waits_for_all_tasks_of_those_before_it, 1),        \
		FIXTURE_TEST(a_task_fails_as_often_as_its_queue_allows, 1),    \
		FIXTURE_TEST(failures_are_counted_in_any_order_of_reports, 2), \
		FIXTURE_TEST(                                                  \
			a_failure_counts_while_a_later_run_is_outstanding, 2), \
		FIXTURE_TEST(a_gang_starts_all_members_or_none, 2),            \
		FIXTURE_TEST(a_gang_that_does_not_fit_blocks_no_other_job, 1), \
		FIXTURE_TEST(one_finished_member_completes_its_gang, 2),       \
		FIXTURE_TEST(a_lasting_task_is_started_again_however_it_ends,  \
			     1),                                               \
		FIXTURE_TEST(occurrences_start_when_they_are_due, 1),          \
		FIXTURE_TEST(a_need_that_overflows_fits_nowhere, 1),           \
		FIXTURE_TEST(a_filler_reserves_no_processor, 1),               \
		FIXTURE_TEST(work_that_fits_on_no_host_adds_no_demand, 2),     \
		FIXTURE_TEST(an_extreme_estimate_is_bounded, 2),               \
		FIXTURE_TEST(each_step_leaves_time_for_those_after_it, 2),     \
		FIXTURE_TEST(demand_of_a_late_job_is_late, 2),                 \
		FIXTURE_TEST(a_cancelled_job_stops_and_starts_nothing, 1)

void a_step_waits_for_all_tasks_of_those_before_it(void **state);
void a_task_fails_as_often_as_its_queue_allows(void **state);
void failures_are_counted_in_any_order_of_reports(void **state);
void a_failure_counts_while_a_later_run_is_outstanding(void **state);
void a_gang_starts_all_members_or_none(void **state);
void a_gang_that_does_not_fit_blocks_no_other_job(void **state);
void one_finished_member_completes_its_gang(void **state);
void a_lasting_task_is_started_again_however_it_ends(void **state);
void occurrences_start_when_they_are_due(void **state);
void a_need_that_overflows_fits_nowhere(void **state);
void a_filler_reserves_no_processor(void **state);
void a_cancelled_job_stops_and_starts_nothing(void **state);
void work_that_fits_on_no_host_adds_no_demand(void **state);
void an_extreme_estimate_is_bounded(void **state);
void each_step_leaves_time_for_those_after_it(void **state);
void demand_of_a_late_job_is_late(void **state);

#define RUN_TESTS                                                                   \
	FIXTURE_TEST(an_unanswered_start_is_resolved_before_a_retry, 2),            \
		FIXTURE_TEST(an_unanswered_start_that_is_listed_continues, 1),      \
		FIXTURE_TEST(an_end_read_after_the_host_list_counts, 2),            \
		FIXTURE_TEST(                                                       \
			an_upstream_record_is_deleted_after_its_ends_are_written,   \
			2),                                                         \
		FIXTURE_TEST(a_lost_first_answer_is_polled_for_again_soon, 2),      \
		FIXTURE_TEST(an_inherited_end_read_after_the_host_list_counts,      \
			     2),                                                    \
		FIXTURE_TEST(a_final_report_is_awaited_for_a_limited_time, 2),      \
		FIXTURE_TEST(                                                       \
			a_terminated_upstream_is_removed_when_its_poll_fails,       \
			2),                                                         \
		FIXTURE_TEST(                                                       \
			a_silent_upstream_keeps_its_tasks_until_its_lease_lapses,   \
			1),                                                         \
		FIXTURE_TEST(                                                       \
			a_new_holder_polls_each_upstream_before_it_starts_tasks,    \
			1),                                                         \
		FIXTURE_TEST(                                                       \
			a_new_holder_starts_tasks_once_all_upstreams_have_answered, \
			1),                                                         \
		FIXTURE_TEST(                                                       \
			a_lasting_task_waits_only_for_the_requested_lease, 0),      \
		FIXTURE_TEST(a_record_without_a_lease_implies_the_maximum, 1),      \
		FIXTURE_TEST(a_holder_requests_no_longer_lease_than_recorded,       \
			     0),                                                    \
		FIXTURE_TEST(a_new_holder_waits_for_the_maximum_lease, 1),          \
		FIXTURE_TEST(a_new_holder_waits_longer_for_longer_leases, 1),       \
		FIXTURE_TEST(no_requested_lease_exceeds_the_maximum, 1),            \
		FIXTURE_TEST(an_orphan_run_is_stopped_until_it_has_ended, 1),       \
		FIXTURE_TEST(a_task_without_progress_is_started_elsewhere, 1),      \
		FIXTURE_TEST(                                                       \
			a_longer_lease_of_the_previous_holder_is_waited_for,        \
			1),                                                         \
		FIXTURE_TEST(                                                       \
			a_lease_that_an_overtaken_holder_extends_is_waited_for,     \
			0),                                                         \
		FIXTURE_TEST(                                                       \
			an_old_announcement_does_not_end_a_newer_incarnation,       \
			1),                                                         \
		FIXTURE_TEST(a_failing_lasting_task_blocks_no_other, 2),            \
		FIXTURE_TEST(a_slow_task_is_not_stopped, 1)

void an_unanswered_start_is_resolved_before_a_retry(void **state);
void an_unanswered_start_that_is_listed_continues(void **state);
void an_end_read_after_the_host_list_counts(void **state);
void a_lost_first_answer_is_polled_for_again_soon(void **state);
void an_inherited_end_read_after_the_host_list_counts(void **state);
void a_final_report_is_awaited_for_a_limited_time(void **state);
void an_upstream_record_is_deleted_after_its_ends_are_written(void **state);
void a_terminated_upstream_is_removed_when_its_poll_fails(void **state);
void a_silent_upstream_keeps_its_tasks_until_its_lease_lapses(void **state);
void a_new_holder_polls_each_upstream_before_it_starts_tasks(void **state);
void a_new_holder_waits_for_the_maximum_lease(void **state);
void a_new_holder_waits_longer_for_longer_leases(void **state);
void no_requested_lease_exceeds_the_maximum(void **state);
void a_new_holder_starts_tasks_once_all_upstreams_have_answered(void **state);
void a_lasting_task_waits_only_for_the_requested_lease(void **state);
void a_record_without_a_lease_implies_the_maximum(void **state);
void a_holder_requests_no_longer_lease_than_recorded(void **state);
void an_orphan_run_is_stopped_until_it_has_ended(void **state);
void a_task_without_progress_is_started_elsewhere(void **state);
void a_longer_lease_of_the_previous_holder_is_waited_for(void **state);
void a_lease_that_an_overtaken_holder_extends_is_waited_for(void **state);
void an_old_announcement_does_not_end_a_newer_incarnation(void **state);
void a_failing_lasting_task_blocks_no_other(void **state);
void a_slow_task_is_not_stopped(void **state);

#define FIRST_ANSWER_TESTS                                                              \
	FIXTURE_TEST(a_truncated_first_answer_settles_no_upstream, 1),                  \
		FIXTURE_TEST(an_adopted_task_that_fails_waits_for_its_pool,             \
			     2),                                                        \
		FIXTURE_TEST(                                                           \
			an_upstream_without_a_complete_answer_is_awaited_for_its_lease, \
			1)

void a_truncated_first_answer_settles_no_upstream(void **state);
void an_adopted_task_that_fails_waits_for_its_pool(void **state);
void an_upstream_without_a_complete_answer_is_awaited_for_its_lease(
	void **state);

#define AUTHORITY_TESTS                                                                \
	FIXTURE_TEST(an_adopted_lasting_task_that_is_lost_waits_for_its_pool,          \
		     3),                                                               \
		FIXTURE_TEST(                                                          \
			ends_are_acknowledged_once_the_previous_holder_cannot_act,     \
			2),                                                            \
		FIXTURE_TEST(                                                          \
			no_inherited_task_starts_before_most_have_answered,            \
			1),                                                            \
		FIXTURE_TEST(                                                          \
			an_unconfirmed_holder_that_reaches_few_upstreams_stops,        \
			3),                                                            \
		FIXTURE_TEST(                                                          \
			an_unconfirmed_holder_that_reaches_most_upstreams_goes_on,     \
			3),                                                            \
		FIXTURE_TEST(an_unconfirmed_holder_goes_on_for_a_limited_time,         \
			     3),                                                       \
		FIXTURE_TEST(an_upstream_that_has_started_again_is_no_witness,         \
			     3),                                                       \
		FIXTURE_TEST(                                                          \
			a_removed_upstream_counts_until_its_removal_is_durable,        \
			3),                                                            \
		FIXTURE_TEST(                                                          \
			a_lapse_counts_once_the_claim_was_confirmed_after_it,          \
			0),                                                            \
		FIXTURE_TEST(                                                          \
			inherited_leases_count_from_when_most_upstreams_have_answered, \
			3),                                                            \
		FIXTURE_TEST(inherited_leases_end_without_most_upstreams, 3),          \
		FIXTURE_TEST(                                                          \
			no_upstream_is_recorded_before_most_have_answered, 2)

void an_unconfirmed_holder_that_reaches_few_upstreams_stops(void **state);
void an_unconfirmed_holder_that_reaches_most_upstreams_goes_on(void **state);
void an_unconfirmed_holder_goes_on_for_a_limited_time(void **state);
void an_upstream_that_has_started_again_is_no_witness(void **state);
void a_removed_upstream_counts_until_its_removal_is_durable(void **state);
void a_lapse_counts_once_the_claim_was_confirmed_after_it(void **state);
void inherited_leases_count_from_when_most_upstreams_have_answered(
	void **state);
void inherited_leases_end_without_most_upstreams(void **state);
void ends_are_acknowledged_once_the_previous_holder_cannot_act(void **state);
void no_inherited_task_starts_before_most_have_answered(void **state);
void an_adopted_lasting_task_that_is_lost_waits_for_its_pool(void **state);
void no_upstream_is_recorded_before_most_have_answered(void **state);

#define UNCONFIRMED_TESTS                                                                 \
	FIXTURE_TEST(                                                                     \
		a_lapse_at_a_reused_address_counts_once_the_claim_was_confirmed,          \
		3),                                                                       \
		FIXTURE_TEST(                                                             \
			polls_of_idle_upstreams_are_limited_while_the_store_is_away,      \
			0),                                                               \
		FIXTURE_TEST(                                                             \
			an_unreached_upstream_is_not_idle_while_the_claim_is_unconfirmed, \
			0),                                                               \
		FIXTURE_TEST(                                                             \
			an_upstream_that_has_started_again_gets_starts_once_confirmed,    \
			0),                                                               \
		FIXTURE_TEST(                                                             \
			new_jobs_start_soon_after_all_upstreams_were_replaced,            \
			3)

void a_lapse_at_a_reused_address_counts_once_the_claim_was_confirmed(
	void **state);
void polls_of_idle_upstreams_are_limited_while_the_store_is_away(void **state);
void an_unreached_upstream_is_not_idle_while_the_claim_is_unconfirmed(
	void **state);
void an_upstream_that_has_started_again_gets_starts_once_confirmed(
	void **state);
void new_jobs_start_soon_after_all_upstreams_were_replaced(void **state);

#define UNREACHABLE_TESTS                                                          \
	FIXTURE_TEST(a_crash_that_no_list_shows_convicts_no_task_by_itself,        \
		     3),                                                           \
		FIXTURE_TEST(                                                      \
			runs_of_an_upstream_that_refuses_connections_are_kept,     \
			1),                                                        \
		FIXTURE_TEST(runs_of_an_upstream_without_its_address_are_kept,     \
			     1),                                                   \
		FIXTURE_TEST(a_list_is_awaited_only_while_runs_are_in_doubt,       \
			     1),                                                   \
		FIXTURE_TEST(an_upstream_without_its_address_gets_no_starts,       \
			     1),                                                   \
		FIXTURE_TEST(                                                      \
			an_upstream_that_never_answered_is_removed_with_its_entry, \
			1),                                                        \
		FIXTURE_TEST(an_upstream_is_kept_until_the_registry_is_read,       \
			     1),                                                   \
		FIXTURE_TEST(an_end_counts_after_connections_were_refused, 1),     \
		FIXTURE_TEST(                                                      \
			a_crash_without_a_list_counts_once_the_lease_has_lapsed,   \
			1),                                                        \
		FIXTURE_TEST(                                                      \
			a_refused_upstream_is_no_crash_once_its_lease_has_lapsed,  \
			1)

void a_crash_that_no_list_shows_convicts_no_task_by_itself(void **state);
void runs_of_an_upstream_that_refuses_connections_are_kept(void **state);
void runs_of_an_upstream_without_its_address_are_kept(void **state);
void a_list_is_awaited_only_while_runs_are_in_doubt(void **state);
void an_upstream_without_its_address_gets_no_starts(void **state);
void an_upstream_that_never_answered_is_removed_with_its_entry(void **state);
void an_upstream_is_kept_until_the_registry_is_read(void **state);
void an_end_counts_after_connections_were_refused(void **state);
void a_crash_without_a_list_counts_once_the_lease_has_lapsed(void **state);
void a_refused_upstream_is_no_crash_once_its_lease_has_lapsed(void **state);

#define UPSTREAM_TESTS                                                         \
	FIXTURE_TEST(first_polls_are_sent_as_answers_come, 0),                 \
		FIXTURE_TEST(silent_upstreams_hold_back_no_first_poll, 0),     \
		FIXTURE_TEST(a_host_that_has_not_answered_is_not_taken_down,   \
			     1),                                               \
		FIXTURE_TEST(a_host_stays_until_its_ends_are_durable, 1),      \
		FIXTURE_TEST(                                                  \
			hosts_taken_down_together_share_what_a_step_may_miss,  \
			3),                                                    \
		FIXTURE_TEST(                                                  \
			a_cordoned_host_relocates_lasting_tasks_one_by_one,    \
			2),                                                    \
		FIXTURE_TEST(                                                  \
			a_stop_by_the_previous_holder_counts_until_its_limit,  \
			2),                                                    \
		FIXTURE_TEST(a_serving_gang_is_not_split, 2),                  \
		FIXTURE_TEST(                                                  \
			a_cordoned_host_keeps_tasks_that_fit_nowhere_else, 1), \
		FIXTURE_TEST(fillers_are_slowed_for_serving_tasks, 1),         \
		FIXTURE_TEST(advice_is_requested_before_a_start_and_renewed,   \
			     2),                                               \
		FIXTURE_TEST(a_refused_ticket_is_requested_again, 1),          \
		FIXTURE_TEST(a_leaving_upstream_gets_no_new_tasks, 1),         \
		FIXTURE_TEST(nothing_starts_while_starts_are_held, 1),         \
		FIXTURE_TEST(a_workspace_starts_no_more_than_its_limit, 1),    \
		FIXTURE_TEST(tasks_of_the_previous_holder_count_for_the_limit, \
			     1)

#define DAMAGE_TESTS                                                           \
	FIXTURE_TEST(an_upstream_whose_record_is_unreadable_is_polled_first,   \
		     2),                                                       \
		FIXTURE_TEST(                                                  \
			an_upstream_whose_record_is_unreadable_is_waited_for,  \
			2),                                                    \
		FIXTURE_TEST(a_job_whose_record_is_unreadable_is_left_running, \
			     1),                                               \
		FIXTURE_TEST(                                                  \
			a_job_whose_progress_is_unreadable_starts_nothing, 1)

void an_upstream_whose_record_is_unreadable_is_polled_first(void **state);
void an_upstream_whose_record_is_unreadable_is_waited_for(void **state);
void a_job_whose_record_is_unreadable_is_left_running(void **state);
void a_job_whose_progress_is_unreadable_starts_nothing(void **state);

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

#define BACKLOG_TESTS                                                           \
	FIXTURE_TEST(a_pass_starts_a_limited_number_of_tasks, 1),               \
		FIXTURE_TEST(unanswered_starts_are_limited, 0),                 \
		FIXTURE_TEST(lasting_tasks_go_before_a_backlog, 1),             \
		FIXTURE_TEST(pools_share_the_starts_of_a_pass, 1),              \
		FIXTURE_TEST(                                                   \
			recovery_time_is_estimated_from_the_answered_upstreams, \
			3)

void a_pass_starts_a_limited_number_of_tasks(void **state);
void unanswered_starts_are_limited(void **state);
void lasting_tasks_go_before_a_backlog(void **state);
void pools_share_the_starts_of_a_pass(void **state);
void recovery_time_is_estimated_from_the_answered_upstreams(void **state);

#define CRASH_TESTS                                                               \
	FIXTURE_TEST(a_lost_run_is_logged_with_its_age_and_cause, 1),             \
		FIXTURE_TEST(an_upstream_that_leaves_does_not_crash, 1),          \
		FIXTURE_TEST(a_task_that_crashes_its_upstreams_is_given_up,       \
			     3),                                                  \
		FIXTURE_TEST(                                                     \
			a_task_that_crashes_its_upstreams_unanswered_is_given_up, \
			3),                                                       \
		FIXTURE_TEST(                                                     \
			a_crash_that_is_known_after_the_lease_lapsed_counts,      \
			3),                                                       \
		FIXTURE_TEST(                                                     \
			a_crash_after_the_upstream_answered_again_does_not_count, \
			3),                                                       \
		FIXTURE_TEST(crashes_are_counted_across_changes_of_holder, 3),    \
		FIXTURE_TEST(                                                     \
			unanswered_crashes_are_counted_across_changes_of_holder,  \
			3),                                                       \
		FIXTURE_TEST(a_suspect_is_started_on_an_upstream_of_its_own,      \
			     3),                                                  \
		FIXTURE_TEST(                                                     \
			an_upstream_is_shared_again_once_its_suspect_is_harmless, \
			1),                                                       \
		FIXTURE_TEST(a_run_that_has_proven_harmless_is_a_bystander,       \
			     3),                                                  \
		FIXTURE_TEST(                                                     \
			a_neighbour_of_a_task_that_crashes_upstreams_completes,   \
			3),                                                       \
		FIXTURE_TEST(runs_on_upstreams_out_of_reach_end_no_job, 3),       \
		FIXTURE_TEST(                                                     \
			a_start_that_a_new_incarnation_refuses_is_no_crash,       \
			3),                                                       \
		FIXTURE_TEST(two_unanswered_starts_and_a_crash_end_no_job, 3),    \
		FIXTURE_TEST(                                                     \
			a_start_that_is_refused_after_the_crash_is_no_crash,      \
			3),                                                       \
		FIXTURE_TEST(a_run_that_upkeep_ended_is_no_suspect, 3),           \
		FIXTURE_TEST(a_suspect_start_is_recorded_before_it_is_sent,       \
			     3),                                                  \
		FIXTURE_TEST(a_recorded_start_that_was_never_sent_is_no_loss,     \
			     3),                                                  \
		FIXTURE_TEST(a_task_that_no_holder_saw_crash_is_given_up, 3),     \
		FIXTURE_TEST(                                                     \
			a_task_that_crashed_under_idle_holders_is_given_up,       \
			3),                                                       \
		FIXTURE_TEST(a_start_after_an_unanswered_crash_is_recorded,       \
			     3),                                                  \
		FIXTURE_TEST(                                                     \
			tasks_of_a_step_that_crashed_an_upstream_are_isolated,    \
			3),                                                       \
		FIXTURE_TEST(                                                     \
			a_lasting_task_is_no_suspect_once_it_has_run_for_long,    \
			3),                                                       \
		FIXTURE_TEST(a_lasting_task_is_not_given_up, 3),                  \
		FIXTURE_TEST(                                                     \
			a_lasting_task_is_not_given_up_by_the_next_holder, 3),    \
		FIXTURE_TEST(                                                     \
			a_lasting_task_that_crashes_its_upstreams_is_slowed_down, \
			3),                                                       \
		FIXTURE_TEST(a_gang_that_crashes_its_upstreams_is_given_up,       \
			     3),                                                  \
		FIXTURE_TEST(                                                     \
			a_lasting_suspect_is_not_held_back_by_a_lack_of_room,     \
			3),                                                       \
		FIXTURE_TEST(a_suspect_is_started_though_the_store_is_down, 3)

void a_lost_run_is_logged_with_its_age_and_cause(void **state);
void an_upstream_that_leaves_does_not_crash(void **state);
void a_task_that_crashes_its_upstreams_is_given_up(void **state);
void a_task_that_crashes_its_upstreams_unanswered_is_given_up(void **state);
void a_crash_that_is_known_after_the_lease_lapsed_counts(void **state);
void a_crash_after_the_upstream_answered_again_does_not_count(void **state);
void crashes_are_counted_across_changes_of_holder(void **state);
void unanswered_crashes_are_counted_across_changes_of_holder(void **state);
void a_suspect_is_started_on_an_upstream_of_its_own(void **state);
void an_upstream_is_shared_again_once_its_suspect_is_harmless(void **state);
void a_run_that_has_proven_harmless_is_a_bystander(void **state);
void a_neighbour_of_a_task_that_crashes_upstreams_completes(void **state);
void runs_on_upstreams_out_of_reach_end_no_job(void **state);
void a_start_that_a_new_incarnation_refuses_is_no_crash(void **state);
void a_start_that_is_refused_after_the_crash_is_no_crash(void **state);
void two_unanswered_starts_and_a_crash_end_no_job(void **state);
void a_run_that_upkeep_ended_is_no_suspect(void **state);
void a_suspect_start_is_recorded_before_it_is_sent(void **state);
void a_task_that_no_holder_saw_crash_is_given_up(void **state);
void a_task_that_crashed_under_idle_holders_is_given_up(void **state);
void a_start_after_an_unanswered_crash_is_recorded(void **state);
void a_recorded_start_that_was_never_sent_is_no_loss(void **state);
void tasks_of_a_step_that_crashed_an_upstream_are_isolated(void **state);
void a_lasting_task_is_no_suspect_once_it_has_run_for_long(void **state);
void a_lasting_task_is_not_given_up(void **state);
void a_lasting_task_is_not_given_up_by_the_next_holder(void **state);
void a_lasting_task_that_crashes_its_upstreams_is_slowed_down(void **state);
void a_gang_that_crashes_its_upstreams_is_given_up(void **state);
void a_lasting_suspect_is_not_held_back_by_a_lack_of_room(void **state);
void a_suspect_is_started_though_the_store_is_down(void **state);

#define CAPACITY_TESTS                                                               \
	FIXTURE_TEST(a_shrunk_upstream_gets_no_start_until_it_has_room, 1),          \
		FIXTURE_TEST(                                                        \
			a_stopping_task_occupies_a_shrunk_upstream_until_it_ends,    \
			1),                                                          \
		FIXTURE_TEST(a_new_holder_starts_nothing_on_a_shrunk_upstream,       \
			     1),                                                     \
		FIXTURE_TEST(                                                        \
			a_gang_starts_only_where_shrunk_upstreams_have_room_for_all, \
			1)

void a_shrunk_upstream_gets_no_start_until_it_has_room(void **state);
void a_stopping_task_occupies_a_shrunk_upstream_until_it_ends(void **state);
void a_new_holder_starts_nothing_on_a_shrunk_upstream(void **state);
void a_gang_starts_only_where_shrunk_upstreams_have_room_for_all(void **state);

#define REPEAT_TESTS                                                           \
	FIXTURE_TEST(a_start_without_an_answer_is_sent_again, 1),              \
		FIXTURE_TEST(                                                  \
			a_refused_repetition_does_not_mean_that_nothing_ran,   \
			1),                                                    \
		FIXTURE_TEST(                                                  \
			a_start_is_not_repeated_on_an_upstream_that_leaves,    \
			1),                                                    \
		FIXTURE_TEST(a_start_of_a_cancelled_job_is_not_repeated, 1),   \
		FIXTURE_TEST(a_stop_without_an_answer_is_sent_again, 1),       \
		FIXTURE_TEST(repetitions_are_a_limited_share_of_the_orders,    \
			     1),                                               \
		FIXTURE_TEST(polls_are_short_while_orders_get_no_answer, 1)

void a_start_without_an_answer_is_sent_again(void **state);
void a_refused_repetition_does_not_mean_that_nothing_ran(void **state);
void a_start_is_not_repeated_on_an_upstream_that_leaves(void **state);
void a_start_of_a_cancelled_job_is_not_repeated(void **state);
void a_stop_without_an_answer_is_sent_again(void **state);
void repetitions_are_a_limited_share_of_the_orders(void **state);
void polls_are_short_while_orders_get_no_answer(void **state);

#define SHARE_TESTS                                                            \
	FIXTURE_TEST(a_busy_workspace_leaves_the_others_their_share, 3),       \
		FIXTURE_TEST(idle_room_goes_to_a_busy_workspace, 3),           \
		FIXTURE_TEST(shares_hold_after_a_change_of_holder, 3),         \
		FIXTURE_TEST(a_backlog_counts_for_the_workspace_that_sent_it,  \
			     1)

void a_busy_workspace_leaves_the_others_their_share(void **state);
void idle_room_goes_to_a_busy_workspace(void **state);
void shares_hold_after_a_change_of_holder(void **state);
void a_backlog_counts_for_the_workspace_that_sent_it(void **state);

#define NAME_TESTS                                                             \
	cmocka_unit_test(a_task_name_is_as_printed),                           \
		FIXTURE_TEST(tasks_are_found_in_any_order_of_the_list, 1)

void a_task_name_is_as_printed(void **state);
void tasks_are_found_in_any_order_of_the_list(void **state);

#define IDLE_TESTS                                                             \
	FIXTURE_TEST(polls_of_many_idle_upstreams_are_rate_limited, 0),        \
		FIXTURE_TEST(few_idle_upstreams_are_polled_continuously, 0),   \
		FIXTURE_TEST(an_idle_upstream_is_used_and_polled_at_once, 0)

void polls_of_many_idle_upstreams_are_rate_limited(void **state);
void few_idle_upstreams_are_polled_continuously(void **state);
void an_idle_upstream_is_used_and_polled_at_once(void **state);

#define INCARNATION_TESTS                                                         \
	FIXTURE_TEST(ends_after_a_restart_count, 1),                              \
		FIXTURE_TEST(a_poll_after_a_failed_one_acknowledges_nothing,      \
			     1),                                                  \
		FIXTURE_TEST(                                                     \
			a_poll_acknowledges_nothing_while_a_run_may_end_unlisted, \
			1),                                                       \
		FIXTURE_TEST(                                                     \
			a_poll_acknowledges_nothing_while_a_start_is_repeated,    \
			1),                                                       \
		FIXTURE_TEST(                                                     \
			a_start_that_was_just_ordered_delays_no_acknowledgement,  \
			1),                                                       \
		FIXTURE_TEST(a_run_that_the_new_incarnation_lists_is_kept, 1),    \
		FIXTURE_TEST(runs_before_a_restart_are_started_again, 1),         \
		FIXTURE_TEST(an_unanswered_start_is_stopped_after_a_restart,      \
			     1),                                                  \
		FIXTURE_TEST(                                                     \
			a_late_answer_of_an_earlier_incarnation_is_not_applied,   \
			1)

void ends_after_a_restart_count(void **state);
void a_run_that_the_new_incarnation_lists_is_kept(void **state);
void a_poll_after_a_failed_one_acknowledges_nothing(void **state);
void a_poll_acknowledges_nothing_while_a_run_may_end_unlisted(void **state);
void a_poll_acknowledges_nothing_while_a_start_is_repeated(void **state);
void a_start_that_was_just_ordered_delays_no_acknowledgement(void **state);
void runs_before_a_restart_are_started_again(void **state);
void an_unanswered_start_is_stopped_after_a_restart(void **state);
void a_late_answer_of_an_earlier_incarnation_is_not_applied(void **state);

#define CLOCK_TESTS                                                            \
	cmocka_unit_test(an_odd_clock_moves_no_lease),                         \
		FIXTURE_TEST(an_answer_that_is_read_late_is_no_odd_clock, 1)

#define NUMBER_TESTS                                                           \
	cmocka_unit_test(absurd_numbers_hold_up_no_other_job),                 \
		cmocka_unit_test(the_open_tasks_of_a_job_are_bounded)

void the_open_tasks_of_a_job_are_bounded(void **state);
void absurd_numbers_hold_up_no_other_job(void **state);
void an_odd_clock_moves_no_lease(void **state);
void an_answer_that_is_read_late_is_no_odd_clock(void **state);

#define OCCURRENCE_TESTS                                                       \
	FIXTURE_TEST(a_new_holder_adopts_tasks_of_an_open_occurrence, 1),      \
		FIXTURE_TEST(an_end_of_an_occurrence_that_is_not_due_counts,   \
			     1),                                               \
		FIXTURE_TEST(a_listed_occurrence_waits_for_its_time, 1),       \
		FIXTURE_TEST(the_record_of_many_occurrences_stays_small, 1)

void a_new_holder_adopts_tasks_of_an_open_occurrence(void **state);
void an_end_of_an_occurrence_that_is_not_due_counts(void **state);
void a_listed_occurrence_waits_for_its_time(void **state);
void the_record_of_many_occurrences_stays_small(void **state);

#define SCHEDULE_TESTS                                                         \
	FIXTURE_TEST(the_record_of_a_backlog_stays_small, 1),                  \
		FIXTURE_TEST(each_time_of_a_backlog_runs_once, 1),             \
		FIXTURE_TEST(a_time_that_is_due_now_goes_before_a_backlog, 1), \
		FIXTURE_TEST(                                                  \
			tasks_that_wait_for_a_retry_hold_up_no_occurrence, 1), \
		FIXTURE_TEST(the_record_of_a_wide_job_with_failures_fits, 1),  \
		FIXTURE_TEST(a_job_whose_records_may_not_fit_is_known, 1),     \
		FIXTURE_TEST(a_job_whose_progress_is_rejected_ends, 1)

void the_record_of_a_backlog_stays_small(void **state);
void each_time_of_a_backlog_runs_once(void **state);
void a_time_that_is_due_now_goes_before_a_backlog(void **state);
void tasks_that_wait_for_a_retry_hold_up_no_occurrence(void **state);
void the_record_of_a_wide_job_with_failures_fits(void **state);
void a_job_whose_records_may_not_fit_is_known(void **state);
void a_job_whose_progress_is_rejected_ends(void **state);

#define FAILURE_TESTS cmocka_unit_test(lasting_tasks_that_fail_are_back_soon)

void lasting_tasks_that_fail_are_back_soon(void **state);

#define ISOLATION_TESTS                                                        \
	cmocka_unit_test(a_large_task_that_waits_holds_up_no_suspect),         \
		cmocka_unit_test(                                              \
			suspects_that_find_no_upstream_hold_up_no_other)

void a_large_task_that_waits_holds_up_no_suspect(void **state);
void suspects_that_find_no_upstream_hold_up_no_other(void **state);

#define TOMBSTONE_TESTS                                                        \
	cmocka_unit_test(a_job_that_was_cancelled_before_it_came_never_runs),  \
		FIXTURE_TEST(the_number_of_tombstones_is_bounded, 1)

void a_job_that_was_cancelled_before_it_came_never_runs(void **state);
void the_number_of_tombstones_is_bounded(void **state);

#define PROGRESS_TESTS                                                         \
	cmocka_unit_test(long_tasks_are_not_taken_for_hung),                   \
		cmocka_unit_test(a_long_task_that_stands_still_is_found),      \
		FIXTURE_TEST(a_task_without_progress_is_found_by_its_siblings, \
			     1),                                               \
		FIXTURE_TEST(a_task_with_a_wrong_estimate_ends, 1)

void long_tasks_are_not_taken_for_hung(void **state);
void a_long_task_that_stands_still_is_found(void **state);
void a_task_without_progress_is_found_by_its_siblings(void **state);
void a_task_with_a_wrong_estimate_ends(void **state);

#define SPEED_TESTS                                                                 \
	cmocka_unit_test(                                                           \
		a_slow_upstream_is_marked_and_gets_no_task_while_others_have_room), \
		cmocka_unit_test(                                                   \
			a_recovered_upstream_is_found_by_the_runs_it_has),          \
		cmocka_unit_test(                                                   \
			a_slow_upstream_is_used_for_what_can_be_in_time),           \
		cmocka_unit_test(                                                   \
			a_task_waits_while_another_upstream_is_expected_sooner),    \
		cmocka_unit_test(a_long_queue_uses_a_slow_upstream),                \
		cmocka_unit_test(                                                   \
			a_task_is_held_for_no_longer_than_the_slow_upstream_costs), \
		cmocka_unit_test(a_new_incarnation_begins_with_unknown_speed),      \
		cmocka_unit_test(                                                   \
			more_jobs_are_in_time_than_without_detection),              \
		cmocka_unit_test(tasks_with_coarse_progress_mark_no_upstream),      \
		cmocka_unit_test(a_slow_upstream_is_marked_by_ends_alone),          \
		cmocka_unit_test(                                                   \
			placement_is_the_same_while_no_upstream_is_slow)

void a_slow_upstream_is_marked_and_gets_no_task_while_others_have_room(
	void **state);
void a_recovered_upstream_is_found_by_the_runs_it_has(void **state);
void a_slow_upstream_is_used_for_what_can_be_in_time(void **state);
void a_task_waits_while_another_upstream_is_expected_sooner(void **state);
void a_long_queue_uses_a_slow_upstream(void **state);
void a_task_is_held_for_no_longer_than_the_slow_upstream_costs(void **state);
void a_new_incarnation_begins_with_unknown_speed(void **state);
void more_jobs_are_in_time_than_without_detection(void **state);
void tasks_with_coarse_progress_mark_no_upstream(void **state);
void a_slow_upstream_is_marked_by_ends_alone(void **state);
void placement_is_the_same_while_no_upstream_is_slow(void **state);

#define ROOM_TESTS                                                             \
	FIXTURE_TEST(a_pool_with_room_has_no_queue, 3),                        \
		FIXTURE_TEST(a_full_pool_shows_its_queue, 3),                  \
		FIXTURE_TEST(jobs_that_are_not_durable_use_room, 3),           \
		FIXTURE_TEST(a_job_accepted_after_a_scan_is_queued, 3),        \
		FIXTURE_TEST(upstreams_that_leave_are_no_capacity, 3),         \
		FIXTURE_TEST(lasting_tasks_are_no_capacity, 3),                \
		FIXTURE_TEST(a_workspace_has_its_weight, 3),                   \
		FIXTURE_TEST(rejected_jobs_are_demand_for_a_moment, 3),        \
		FIXTURE_TEST(a_recovering_pool_is_not_judged, 3)

void a_pool_with_room_has_no_queue(void **state);
void a_full_pool_shows_its_queue(void **state);
void jobs_that_are_not_durable_use_room(void **state);
void a_job_accepted_after_a_scan_is_queued(void **state);
void upstreams_that_leave_are_no_capacity(void **state);
void lasting_tasks_are_no_capacity(void **state);
void a_workspace_has_its_weight(void **state);
void rejected_jobs_are_demand_for_a_moment(void **state);
void a_recovering_pool_is_not_judged(void **state);

#define OVERLOAD_TESTS                                                         \
	cmocka_unit_test(goodput_is_kept_under_overload),                      \
		cmocka_unit_test(goodput_is_kept_while_a_rack_is_away),        \
		cmocka_unit_test(the_usual_load_is_accepted)

void goodput_is_kept_under_overload(void **state);
void goodput_is_kept_while_a_rack_is_away(void **state);
void the_usual_load_is_accepted(void **state);

#endif
