#ifndef WAXWINGHOLLOW_PRINT_JSON_H
#define WAXWINGHOLLOW_PRINT_JSON_H

/*
 * NAME
 *	print_json - prints a JSON value as readable lines and tables
 *
 * USE
 *	An object is printed with one line for each member, a list of objects
 *	as a table with one column for each member. Members that a server adds
 *	to its answers are printed without a change here.
 */

#include <json-glib/json-glib.h>
#include <stdio.h>

void wwh_print_json(JsonNode *node, FILE *out);

#endif
