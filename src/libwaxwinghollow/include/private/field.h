#ifndef WAXWINGHOLLOW_PRIVATE_FIELD_H
#define WAXWINGHOLLOW_PRIVATE_FIELD_H

/*
 * NAME
 *	field - table-driven access to the members of plain structs
 *
 * USE
 *	A table has one row per member with its name, type, bounds and
 *	default. JSON, CSV cells and msgpack are read with the same row, so
 *	all three formats reject the same values.
 */

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum {
	WWH_FIELD_ID = 0, /* char *: letters, digits and . _ - : */
	WWH_FIELD_ANY_ID, /* char *: an id or "*" */
	WWH_FIELD_ADDRESS, /* char *: IP address */
	WWH_FIELD_ENDPOINT, /* char *: "IP:port" or "[IPv6]:port" */
	WWH_FIELD_URL, /* char *: http://IP:port */
	WWH_FIELD_PATH, /* char *: path prefix */
	WWH_FIELD_INT32, /* int32_t */
	WWH_FIELD_INT64, /* int64_t */
	WWH_FIELD_BOOL, /* bool */
	WWH_FIELD_NAME, /* enum; a name in JSON */
	WWH_FIELD_DAYS, /* uint8_t bit set; a list of days in JSON */
	WWH_FIELD_MINUTE, /* int32_t, minute of the day; "HH:MM" in JSON */
	WWH_FIELD_ENDPOINTS, /* char **; a list in JSON; not in msgpack */
	WWH_FIELD_TYPE_COUNT
} wwh_field_type_t;

typedef struct {
	const char *name;
	wwh_field_type_t type;
	uint32_t offset; /* of the member in the struct */
	bool required;
	int64_t minimum; /* of numbers */
	int64_t maximum; /* of numbers; of WWH_FIELD_ENDPOINTS, their count */
	int64_t default_number;
	const char *default_text; /* NULL: an empty string */
	const char *const *names; /* maximum + 1 names of WWH_FIELD_NAME */
} wwh_field_t;

bool wwh_field_is_text(const wwh_field_t *field);
char *wwh_field_text(const wwh_field_t *field, const void *object);
void wwh_field_set_text(const wwh_field_t *field, void *object,
			const char *text);
int64_t wwh_field_number(const wwh_field_t *field, const void *object);
void wwh_field_set_number(const wwh_field_t *field, void *object,
			  int64_t number);

/* Return whether the value is valid for the member. */
bool wwh_field_allows_text(const wwh_field_t *field, const char *text);
bool wwh_field_allows_number(const wwh_field_t *field, int64_t number);

/* Sets every member to its default. */
void wwh_fields_set_defaults(const wwh_field_t *fields, int32_t count,
			     void *object);
void wwh_fields_clear(const wwh_field_t *fields, int32_t count, void *object);
bool wwh_fields_equal(const wwh_field_t *fields, int32_t count, const void *a,
		      const void *b);

/*
 * Set a member from a JSON value or from the text of a CSV cell. Return NULL
 * or, if the value is rejected, a description of valid values (to be freed).
 */
char *wwh_field_read_json(const wwh_field_t *field, JsonNode *node,
			  void *object);
char *wwh_field_read_cell(const wwh_field_t *field, const char *cell,
			  void *object);

/* Describes the valid values, for error messages (to be freed). */
char *wwh_field_expected(const wwh_field_t *field);

/*
 * Return "expected 'x'" with the known name x that is most similar to name, or
 * a list of all known names if none is similar (to be freed).
 */
char *wwh_fields_suggest(const wwh_field_t *fields, int32_t count,
			 const char *name);
char *wwh_names_suggest(const char *const *names, int32_t count,
			const char *name);

#endif
