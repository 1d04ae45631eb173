#ifndef TEST_JOB_HOLDER_H
#define TEST_JOB_HOLDER_H

/*
 * NAME
 *	test_job_holder - what the files of this test program share
 */

#include "../test_standins/include/standin_jobs.h"

#define ENTRY_TEST(name)                                                       \
	cmocka_unit_test_setup_teardown(name, entries_set_up, entries_tear_down)

int entries_set_up(void **state);
int entries_tear_down(void **state);

#define ENTRY_TESTS                                                            \
	ENTRY_TEST(an_upstream_with_an_unreadable_entry_is_not_used),          \
		ENTRY_TEST(an_upstream_with_a_damaged_entry_keeps_its_tasks),  \
		ENTRY_TEST(an_upstream_of_an_unknown_service_is_not_used),     \
		ENTRY_TEST(an_upstream_with_the_longest_id_is_not_used),       \
		ENTRY_TEST(a_bad_row_of_a_poll_is_reported_once),              \
		ENTRY_TEST(a_job_with_an_unreadable_record_is_not_unknown),    \
		ENTRY_TEST(a_slow_store_causes_no_rejections),                 \
		ENTRY_TEST(an_overloaded_holder_rejects_excess_jobs),          \
		ENTRY_TEST(a_full_pool_rejects_jobs_at_once),                  \
		ENTRY_TEST(a_large_holder_rejects_jobs_until_recovered),       \
		ENTRY_TEST(a_small_holder_accepts_jobs_while_it_recovers),     \
		ENTRY_TEST(a_task_that_crashes_its_upstreams_ends_its_job),    \
		cmocka_unit_test_setup_teardown(                               \
			the_reserve_is_shown_by_the_holder_only,               \
			gauges_set_up, gauges_tear_down)

int gauges_set_up(void **state);
int gauges_tear_down(void **state);
void the_reserve_is_shown_by_the_holder_only(void **state);

void an_upstream_with_an_unreadable_entry_is_not_used(void **state);
void an_upstream_with_a_damaged_entry_keeps_its_tasks(void **state);
void an_upstream_of_an_unknown_service_is_not_used(void **state);
void an_upstream_with_the_longest_id_is_not_used(void **state);
void a_bad_row_of_a_poll_is_reported_once(void **state);
void a_job_with_an_unreadable_record_is_not_unknown(void **state);
void a_slow_store_causes_no_rejections(void **state);
void an_overloaded_holder_rejects_excess_jobs(void **state);
void a_full_pool_rejects_jobs_at_once(void **state);
void a_large_holder_rejects_jobs_until_recovered(void **state);
void a_small_holder_accepts_jobs_while_it_recovers(void **state);
void a_task_that_crashes_its_upstreams_ends_its_job(void **state);

#endif
