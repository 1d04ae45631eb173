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

void a_request_has_one_key_of_the_known_scheme(void **state);
void an_oversized_key_is_rejected(void **state);
void a_configuration_without_its_keys_is_rejected(void **state);
void a_configuration_lists_workspaces_with_their_keys(void **state);

void an_upstream_with_a_bad_field_is_rejected(void **state);
void zero_fields_of_an_upstream_may_be_left_out(void **state);
void a_wave_with_a_bad_field_is_rejected(void **state);
void a_configuration_with_a_bad_row_is_rejected(void **state);

#endif
