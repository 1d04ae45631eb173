#ifndef WAXWINGHOLLOW_TEST_CONFIG_H
#define WAXWINGHOLLOW_TEST_CONFIG_H

/*
 * NAME
 *	test_config - what the files of this test program share
 */

#include <glib.h>

#include "waxwinghollow/config.h"

/* Parses into a new *config; errors are appended one a line. */
wwh_status_t parse_config(const char *inventory, const char *rules,
			  wwh_config_t **config, GString *errors);
void append_error(const char *file, int32_t line, const char *text,
		  void *client_data);

void bad_inputs_are_reported_with_their_lines(void **unused);
void the_check_of_budgets_agrees_with_the_conductor(void **unused);

#endif
