#ifndef WAXWINGHOLLOW_PRINT_JSON_H
#define WAXWINGHOLLOW_PRINT_JSON_H

/*
 * NAME
 *	print_json - a JSON value as lines and tables for people
 *
 * USE
 *	An object becomes one line a member, a list of objects a table with a
 *	column a member. What a server adds to its answers shows up without a
 *	change here.
 */

#include <json-glib/json-glib.h>
#include <stdio.h>

void wwh_print_json(JsonNode *node, FILE *out);

#endif
