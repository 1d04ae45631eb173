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
	ENTRY_TEST(an_upstream_that_cant_be_read_at_first_is_not_used),        \
		ENTRY_TEST(                                                    \
			an_upstream_that_cant_be_read_later_keeps_its_tasks),  \
		ENTRY_TEST(an_upstream_of_no_named_service_is_not_used),       \
		ENTRY_TEST(a_job_whose_record_is_lost_is_not_unknown),         \
		ENTRY_TEST(a_slow_store_turns_no_caller_away),                 \
		ENTRY_TEST(no_more_is_accepted_than_can_be_started),           \
		ENTRY_TEST(                                                    \
			a_large_holder_accepts_nothing_before_it_can_start),   \
		ENTRY_TEST(a_small_holder_accepts_jobs_while_it_recovers)

void an_upstream_that_cant_be_read_at_first_is_not_used(void **state);
void an_upstream_that_cant_be_read_later_keeps_its_tasks(void **state);
void an_upstream_of_no_named_service_is_not_used(void **state);
void a_job_whose_record_is_lost_is_not_unknown(void **state);
void a_slow_store_turns_no_caller_away(void **state);
void no_more_is_accepted_than_can_be_started(void **state);
void a_large_holder_accepts_nothing_before_it_can_start(void **state);
void a_small_holder_accepts_jobs_while_it_recovers(void **state);

#endif
