#ifndef WAXWINGHOLLOW_PRIVATE_JSON_SOURCE_H
#define WAXWINGHOLLOW_PRIVATE_JSON_SOURCE_H

/*
 * NAME
 *	json_source - JSON file with comments and the lines of its members
 *
 * USE
 *	json-glib's nodes don't store their line. The source records the lines
 *	while the parser runs, so that errors found later can name the line.
 *
 * ORDER OF CALLS
 *	wwh_json_source_parse; lookups; wwh_json_source_delete.
 */

#include <json-glib/json-glib.h>
#include <stddef.h>
#include <stdint.h>

#include "private/field.h"
#include "private/report.h"

typedef struct wwh_json_source wwh_json_source_t;

/* Reports an error and returns NULL if text is not one JSON object. */
wwh_json_source_t *wwh_json_source_parse(const char *file, const char *text,
					 size_t size, wwh_report_t *report);
void wwh_json_source_delete(wwh_json_source_t *source);

const char *wwh_json_source_file(const wwh_json_source_t *source);
JsonObject *wwh_json_source_root(const wwh_json_source_t *source);

/*
 * Return the line that an object starts at, or the line of one of its members;
 * 0 if the object or member is unknown.
 */
int32_t wwh_json_source_object_line(const wwh_json_source_t *source,
				    JsonObject *object);
int32_t wwh_json_source_member_line(const wwh_json_source_t *source,
				    JsonObject *object, const char *name);

/*
 * Reads the members of json into object as described by the table fields.
 * Reports unknown members, members with an invalid value and missing ones.
 */
void wwh_json_source_read(const wwh_json_source_t *source, JsonObject *json,
			  const wwh_field_t *fields, int32_t count,
			  void *object, wwh_report_t *report);

#endif
