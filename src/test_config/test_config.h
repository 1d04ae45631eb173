#ifndef WAXWINGHOLLOW_TEST_CONFIG_H
#define WAXWINGHOLLOW_TEST_CONFIG_H

/*
 * NAME
 *	test_config - shared by the files of this test program
 */

#include <glib.h>

#include "waxwinghollow/config.h"

/* Parses into a new *config and appends the errors, one on each line. */
wwh_status_t parse_config(const char *inventory, const char *rules,
			  wwh_config_t **config, GString *errors);
void append_error(const char *file, int32_t line, const char *text,
		  void *client_data);

void bad_inputs_are_reported_with_line_numbers(void **unused);
void budget_check_agrees_with_the_conductor(void **unused);

#endif
