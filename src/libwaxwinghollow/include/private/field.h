#ifndef WAXWINGHOLLOW_PRIVATE_FIELD_H
#define WAXWINGHOLLOW_PRIVATE_FIELD_H

/*
 * NAME
 *	field - members of plain structs, described by tables
 *
 * USE
 *	One table row a member says its name, type, bounds and default. The
 *	same row reads the member from JSON, from a CSV cell and from msgpack,
 *	so all three refuse the same values.
 */

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum {
	WWH_FIELD_ID = 0, /* char *: letters, digits and . _ - : */
	WWH_FIELD_ANY_ID, /* char *: an id or "*" */
	WWH_FIELD_ADDRESS, /* char *: IP number */
	WWH_FIELD_ENDPOINT, /* char *: IP number and port */
	WWH_FIELD_URL, /* char *: http://IP:port */
	WWH_FIELD_PATH, /* char *: path prefix */
	WWH_FIELD_INT32, /* int32_t */
	WWH_FIELD_INT64, /* int64_t */
	WWH_FIELD_BOOL, /* bool */
	WWH_FIELD_NAME, /* enum; JSON has its name */
	WWH_FIELD_DAYS, /* uint8_t; JSON has a list of days */
	WWH_FIELD_MINUTE, /* int32_t; JSON has "HH:MM" */
	WWH_FIELD_ENDPOINTS, /* char **; JSON has a list; not in msgpack */
	WWH_FIELD_TYPE_COUNT
} wwh_field_type_t;

typedef struct {
	const char *name;
	wwh_field_type_t type;
	uint32_t offset; /* of the member */
	bool required;
	int64_t minimum; /* of numbers */
	int64_t maximum;
	int64_t default_number; /* default of numbers */
	const char *default_text; /* default of strings; NULL: "" */
	const char *const *names; /* of WWH_FIELD_NAME, maximum + 1 of them */
} wwh_field_t;

bool wwh_field_is_text(const wwh_field_t *field);
char *wwh_field_text(const wwh_field_t *field, const void *object);
void wwh_field_set_text(const wwh_field_t *field, void *object,
			const char *text);
int64_t wwh_field_number(const wwh_field_t *field, const void *object);
void wwh_field_set_number(const wwh_field_t *field, void *object,
			  int64_t number);

/* Whether the member may have that value. */
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
 * or, when the value is refused, what was expected (to be freed).
 */
char *wwh_field_read_json(const wwh_field_t *field, JsonNode *node,
			  void *object);
char *wwh_field_read_cell(const wwh_field_t *field, const char *cell,
			  void *object);

/* What the member may be, for error messages (to be freed). */
char *wwh_field_expected(const wwh_field_t *field);

/*
 * "expected 'name'" for the nearest of the names, or a list of all when none
 * is near (to be freed).
 */
char *wwh_fields_suggest(const wwh_field_t *fields, int32_t count,
			 const char *name);
char *wwh_names_suggest(const char *const *names, int32_t count,
			const char *name);

#endif
