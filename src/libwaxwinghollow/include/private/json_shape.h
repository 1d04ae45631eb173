#ifndef WAXWINGHOLLOW_PRIVATE_JSON_SHAPE_H
#define WAXWINGHOLLOW_PRIVATE_JSON_SHAPE_H

/*
 * NAME
 *	json_shape - rejects input that json-glib misreads or can't handle
 *
 * USE
 *	json-glib 1.6 parses nested values by recursion without a limit, so a
 *	file of opening brackets overflows the stack. It reads 010 as 8, $ff
 *	as 255, 'x' as a string, and a number beyond 64 bits as another
 *	number. It skips comments, and reads escapes that JSON doesn't have, so
 *	it and a scan for brackets would disagree on where a string ends. Such
 *	a file would crash the reader, or a configuration other than the
 *	written one would come into force. Operators don't need any of these
 *	forms.
 *
 *	The text must have no comments (wwh_json_blank_comments). All other
 *	checks are left to json-glib.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define WWH_JSON_MAX_DEPTH 16

/*
 * Returns the error message of the first fault and sets *line to its line;
 * returns NULL if there is no fault.
 */
const char *wwh_json_shape_fault(const char *text, size_t size, int32_t *line);

/* Loads text from outside; false if it has a fault or isn't JSON. */
bool wwh_json_load(JsonParser *parser, const char *text, size_t size);

#endif
