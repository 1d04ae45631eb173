#ifndef TEST_WIRE_H
#define TEST_WIRE_H

/*
 * NAME
 *	test_wire - lists the tests of all files of this test program
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

/* test_fields.c */
#define FIELD_TESTS                                                            \
	cmocka_unit_test(an_upstream_with_a_bad_field_is_rejected),            \
		cmocka_unit_test(zero_fields_of_an_upstream_may_be_left_out),  \
		cmocka_unit_test(a_wave_with_a_bad_field_is_rejected),         \
		cmocka_unit_test(a_configuration_with_a_bad_row_is_rejected)

/* test_keys.c */
#define KEY_TESTS                                                              \
	cmocka_unit_test(a_request_has_one_key_of_the_known_scheme),           \
		cmocka_unit_test(an_oversized_key_is_rejected),                \
		cmocka_unit_test(                                              \
			a_configuration_without_its_keys_is_rejected),         \
		cmocka_unit_test(                                              \
			a_configuration_lists_workspaces_with_their_keys)

/* test_poll.c */
#define POLL_TESTS                                                             \
	cmocka_unit_test(usual_answers_are_decoded_in_one_pass),               \
		cmocka_unit_test(other_answers_are_decoded_from_a_tree),       \
		cmocka_unit_test(damaged_answers_are_decoded_alike),           \
		cmocka_unit_test(a_full_list_of_ends_is_incomplete),           \
		cmocka_unit_test(the_start_of_an_incarnation_is_read),         \
		cmocka_unit_test(orders_are_written_byte_for_byte)

/* test_odd.c */
#define ODD_TESTS                                                              \
	cmocka_unit_test(no_reader_ends_the_process_at_deep_values),           \
		cmocka_unit_test(                                              \
			a_body_that_ends_at_any_byte_is_read_in_bounds),       \
		cmocka_unit_test(no_value_of_any_field_ends_the_process),      \
		cmocka_unit_test(an_odd_row_of_a_poll_affects_only_itself),    \
		cmocka_unit_test(numbers_of_a_poll_out_of_range_are_bounded),  \
		cmocka_unit_test(                                              \
			an_upstream_that_cannot_be_called_is_rejected),        \
		cmocka_unit_test(a_page_continues_after_a_key_of_the_store),   \
		cmocka_unit_test(the_time_that_a_caller_waits_is_bounded)

void no_reader_ends_the_process_at_deep_values(void **state);
void a_body_that_ends_at_any_byte_is_read_in_bounds(void **state);
void no_value_of_any_field_ends_the_process(void **state);
void an_odd_row_of_a_poll_affects_only_itself(void **state);
void numbers_of_a_poll_out_of_range_are_bounded(void **state);
void an_upstream_that_cannot_be_called_is_rejected(void **state);
void a_page_continues_after_a_key_of_the_store(void **state);
void the_time_that_a_caller_waits_is_bounded(void **state);

void usual_answers_are_decoded_in_one_pass(void **state);
void other_answers_are_decoded_from_a_tree(void **state);
void damaged_answers_are_decoded_alike(void **state);
void a_full_list_of_ends_is_incomplete(void **state);
void the_start_of_an_incarnation_is_read(void **state);
void orders_are_written_byte_for_byte(void **state);

void a_request_has_one_key_of_the_known_scheme(void **state);
void an_oversized_key_is_rejected(void **state);
void a_configuration_without_its_keys_is_rejected(void **state);
void a_configuration_lists_workspaces_with_their_keys(void **state);

void an_upstream_with_a_bad_field_is_rejected(void **state);
void zero_fields_of_an_upstream_may_be_left_out(void **state);
void a_wave_with_a_bad_field_is_rejected(void **state);
void a_configuration_with_a_bad_row_is_rejected(void **state);

#endif
