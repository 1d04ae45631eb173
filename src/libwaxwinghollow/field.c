#include "private/field.h"

#include <assert.h>
#include <string.h>

#include "waxwinghollow/settings.h"

#define MAX_ID_BYTES 128
#define MAX_PATH_BYTES 256
#define MAX_PORT 65535
#define MINUTES_PER_HOUR 60
#define HOURS_PER_DAY 24
#define DAY_COUNT 7

static const char *const day_names[DAY_COUNT] = {
	"mon", "tue", "wed", "thu", "fri", "sat", "sun",
};

static char *expected_names(const wwh_field_t *field);
static bool is_id(const char *text);
static bool is_endpoint(const char *text);
static bool is_path(const char *text);
static bool read_number(const wwh_field_t *field, int64_t number, void *object);
static bool read_days(const wwh_field_t *field, JsonNode *node, void *object);
static bool add_day(const char *name, int64_t *days);
static bool read_endpoints(const wwh_field_t *field, JsonNode *node,
			   void *object);
static void set_endpoints(const wwh_field_t *field, void *object,
			  char **endpoints);
static bool read_text(const wwh_field_t *field, const char *text, void *object);
static bool read_minute(const wwh_field_t *field, const char *text,
			void *object);
static bool read_cell(const wwh_field_t *field, const char *cell, void *object);

bool wwh_field_is_text(const wwh_field_t *field)
{
	return field->type <= WWH_FIELD_PATH;
}

char *wwh_field_text(const wwh_field_t *field, const void *object)
{
	char *text;

	assert(wwh_field_is_text(field));
	memcpy(&text, (const char *)object + field->offset, sizeof(text));
	return text;
}

void wwh_field_set_text(const wwh_field_t *field, void *object,
			const char *text)
{
	char *copy = g_strdup(text);

	g_free(wwh_field_text(field, object));
	memcpy((char *)object + field->offset, &copy, sizeof(copy));
}

int64_t wwh_field_number(const wwh_field_t *field, const void *object)
{
	const char *at = (const char *)object + field->offset;

	switch (field->type) {
	case WWH_FIELD_INT64:
		return *(const int64_t *)(const void *)at;
	case WWH_FIELD_BOOL:
		return *(const bool *)at;
	case WWH_FIELD_DAYS:
		return *(const uint8_t *)at;
	default:
		assert(!wwh_field_is_text(field));
		return *(const int32_t *)(const void *)at;
	}
}

/* Enums have the size of int32_t in this ABI. */
void wwh_field_set_number(const wwh_field_t *field, void *object,
			  int64_t number)
{
	char *at = (char *)object + field->offset;

	assert(wwh_field_allows_number(field, number));
	switch (field->type) {
	case WWH_FIELD_INT64:
		*(int64_t *)(void *)at = number;
		break;
	case WWH_FIELD_BOOL:
		*(bool *)at = number != 0;
		break;
	case WWH_FIELD_DAYS:
		*(uint8_t *)at = (uint8_t)number;
		break;
	default:
		assert(!wwh_field_is_text(field));
		*(int32_t *)(void *)at = (int32_t)number;
	}
}

bool wwh_field_allows_text(const wwh_field_t *field, const char *text)
{
	if (*text == '\0')
		return !field->required;
	switch (field->type) {
	case WWH_FIELD_ID:
		return is_id(text);
	case WWH_FIELD_ANY_ID:
		return is_id(text) || strcmp(text, "*") == 0;
	case WWH_FIELD_ADDRESS:
		return g_hostname_is_ip_address(text);
	case WWH_FIELD_ENDPOINT:
		return is_endpoint(text);
	case WWH_FIELD_URL:
		return g_str_has_prefix(text, "http://") &&
		       is_endpoint(text + strlen("http://"));
	case WWH_FIELD_PATH:
		return is_path(text);
	default:
		return false;
	}
}

bool wwh_field_allows_number(const wwh_field_t *field, int64_t number)
{
	return number >= field->minimum && number <= field->maximum;
}

void wwh_fields_set_defaults(const wwh_field_t *fields, int32_t count,
			     void *object)
{
	for (int32_t i = 0; i < count; i++) {
		const wwh_field_t *field = &fields[i];

		if (field->type == WWH_FIELD_ENDPOINTS)
			set_endpoints(field, object, g_new0(char *, 1));
		else if (!wwh_field_is_text(field))
			wwh_field_set_number(field, object,
					     field->default_number);
		else if (field->default_text != NULL)
			wwh_field_set_text(field, object, field->default_text);
		else
			wwh_field_set_text(field, object, "");
	}
}

void wwh_fields_clear(const wwh_field_t *fields, int32_t count, void *object)
{
	for (int32_t i = 0; i < count; i++) {
		if (wwh_field_is_text(&fields[i]))
			wwh_field_set_text(&fields[i], object, NULL);
		else if (fields[i].type == WWH_FIELD_ENDPOINTS)
			set_endpoints(&fields[i], object, NULL);
	}
}

bool wwh_fields_equal(const wwh_field_t *fields, int32_t count, const void *a,
		      const void *b)
{
	for (int32_t i = 0; i < count; i++) {
		const wwh_field_t *field = &fields[i];
		bool equal;

		if (wwh_field_is_text(field))
			equal = strcmp(wwh_field_text(field, a),
				       wwh_field_text(field, b)) == 0;
		else
			equal = wwh_field_number(field, a) ==
				wwh_field_number(field, b);
		if (!equal)
			return false;
	}
	return true;
}

bool wwh_endpoint_split(const char *text, char **address, int32_t *port)
{
	const char *colon = strrchr(text, ':');
	guint64 number;
	bool bracketed;

	*address = NULL;
	if (colon == NULL || !g_ascii_string_to_unsigned(
				     colon + 1, 10, 1, MAX_PORT, &number, NULL))
		return false;
	bracketed = text[0] == '[' && colon > text + 1 && colon[-1] == ']';
	if (bracketed)
		*address = g_strndup(text + 1, (gsize)(colon - text - 2));
	else
		*address = g_strndup(text, (gsize)(colon - text));
	*port = (int32_t)number;
	if (g_hostname_is_ip_address(*address) &&
	    bracketed == (strchr(*address, ':') != NULL))
		return true;
	g_free(*address);
	*address = NULL;
	return false;
}

char *wwh_field_read_json(const wwh_field_t *field, JsonNode *node,
			  void *object)
{
	GType type = JSON_NODE_HOLDS_VALUE(node)
			     ? json_node_get_value_type(node)
			     : G_TYPE_INVALID;
	bool ok = false;

	if (field->type == WWH_FIELD_DAYS)
		ok = read_days(field, node, object);
	else if (field->type == WWH_FIELD_ENDPOINTS)
		ok = read_endpoints(field, node, object);
	else if (type == G_TYPE_STRING)
		ok = read_text(field, json_node_get_string(node), object);
	else if (type == G_TYPE_BOOLEAN && field->type == WWH_FIELD_BOOL)
		ok = read_number(field, json_node_get_boolean(node), object);
	else if (type == G_TYPE_INT64 && (field->type == WWH_FIELD_INT32 ||
					  field->type == WWH_FIELD_INT64))
		ok = read_number(field, json_node_get_int(node), object);
	return ok ? NULL : wwh_field_expected(field);
}

char *wwh_field_read_cell(const wwh_field_t *field, const char *cell,
			  void *object)
{
	return read_cell(field, cell, object) ? NULL
					      : wwh_field_expected(field);
}

char *wwh_field_expected(const wwh_field_t *field)
{
	switch (field->type) {
	case WWH_FIELD_ID:
		return g_strdup("letters, digits and . _ - : (at most 128)");
	case WWH_FIELD_ANY_ID:
		return g_strdup("an id or \"*\"");
	case WWH_FIELD_ADDRESS:
		return g_strdup("an IP number");
	case WWH_FIELD_ENDPOINT:
		return g_strdup("\"IP:port\"");
	case WWH_FIELD_URL:
		return g_strdup("\"http://IP:port\"");
	case WWH_FIELD_PATH:
		return g_strdup("a path that begins with / and has no empty "
				"segment, space, ? or #");
	case WWH_FIELD_BOOL:
		return g_strdup("true or false");
	case WWH_FIELD_DAYS:
		return g_strdup("a list of mon, tue, wed, thu, fri, sat, sun");
	case WWH_FIELD_ENDPOINTS:
		return g_strdup_printf("a list of at most %" G_GINT64_FORMAT
				       " \"IP:port\"",
				       field->maximum);
	case WWH_FIELD_MINUTE:
		return g_strdup("\"HH:MM\" from 00:00 to 23:59");
	case WWH_FIELD_NAME:
		return expected_names(field);
	default:
		return g_strdup_printf("a whole number from %" G_GINT64_FORMAT
				       " to %" G_GINT64_FORMAT,
				       field->minimum, field->maximum);
	}
}

static char *expected_names(const wwh_field_t *field)
{
	GString *text = g_string_new("one of:");

	for (int64_t i = 0; i <= field->maximum; i++)
		g_string_append_printf(text, "%s %s", i == 0 ? "" : ",",
				       field->names[i]);
	return g_string_free(text, FALSE);
}

static bool is_id(const char *text)
{
	size_t length = strspn(text, "abcdefghijklmnopqrstuvwxyz"
				     "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "0123456789._-:");

	return length > 0 && length <= MAX_ID_BYTES && text[length] == '\0';
}

static bool is_endpoint(const char *text)
{
	char *address;
	int32_t port;

	if (!wwh_endpoint_split(text, &address, &port))
		return false;
	g_free(address);
	return true;
}

/*
 * "/" or segments without a trailing slash. What a request line can't hold
 * as sent, or what would make two spellings of one prefix, is refused.
 */
static bool is_path(const char *text)
{
	size_t length = strlen(text);

	if (text[0] != '/' || length > MAX_PATH_BYTES)
		return false;
	if (length == 1)
		return true;
	for (size_t i = 0; i < length; i++) {
		if (!g_ascii_isgraph(text[i]) || strchr("?#", text[i]) != NULL)
			return false;
	}
	return text[length - 1] != '/' && strstr(text, "//") == NULL;
}

static bool read_number(const wwh_field_t *field, int64_t number, void *object)
{
	if (!wwh_field_allows_number(field, number))
		return false;
	wwh_field_set_number(field, object, number);
	return true;
}

static bool read_days(const wwh_field_t *field, JsonNode *node, void *object)
{
	int64_t days = 0;
	JsonArray *array;

	if (!JSON_NODE_HOLDS_ARRAY(node))
		return false;
	array = json_node_get_array(node);
	for (guint i = 0; i < json_array_get_length(array); i++) {
		JsonNode *day = json_array_get_element(array, i);

		if (!JSON_NODE_HOLDS_VALUE(day) ||
		    json_node_get_value_type(day) != G_TYPE_STRING ||
		    !add_day(json_node_get_string(day), &days))
			return false;
	}
	return read_number(field, days, object);
}

static bool add_day(const char *name, int64_t *days)
{
	for (int32_t i = 0; i < DAY_COUNT; i++) {
		if (strcmp(day_names[i], name) == 0) {
			*days |= (int64_t)1 << i;
			return true;
		}
	}
	return false;
}

static bool read_endpoints(const wwh_field_t *field, JsonNode *node,
			   void *object)
{
	JsonArray *array;
	GPtrArray *endpoints;
	bool ok = true;

	if (!JSON_NODE_HOLDS_ARRAY(node))
		return false;
	array = json_node_get_array(node);
	if (json_array_get_length(array) > field->maximum)
		return false;
	endpoints = g_ptr_array_new();
	for (guint i = 0; ok && i < json_array_get_length(array); i++) {
		JsonNode *item = json_array_get_element(array, i);

		ok = JSON_NODE_HOLDS_VALUE(item) &&
		     json_node_get_value_type(item) == G_TYPE_STRING &&
		     is_endpoint(json_node_get_string(item));
		if (ok)
			g_ptr_array_add(endpoints, json_node_dup_string(item));
	}
	g_ptr_array_add(endpoints, NULL);
	if (ok)
		set_endpoints(field, object,
			      (char **)g_ptr_array_free(endpoints, FALSE));
	else
		g_strfreev((char **)g_ptr_array_free(endpoints, FALSE));
	return ok;
}

/* Takes over endpoints. */
static void set_endpoints(const wwh_field_t *field, void *object,
			  char **endpoints)
{
	char ***member = (char ***)(void *)((char *)object + field->offset);

	g_strfreev(*member);
	*member = endpoints;
}

static bool read_text(const wwh_field_t *field, const char *text, void *object)
{
	if (field->type == WWH_FIELD_MINUTE)
		return read_minute(field, text, object);
	if (field->type == WWH_FIELD_NAME) {
		for (int64_t i = 0; i <= field->maximum; i++) {
			if (strcmp(field->names[i], text) == 0)
				return read_number(field, i, object);
		}
		return false;
	}
	if (!wwh_field_is_text(field) || !wwh_field_allows_text(field, text))
		return false;
	wwh_field_set_text(field, object, text);
	return true;
}

static bool read_minute(const wwh_field_t *field, const char *text,
			void *object)
{
	guint64 hour;
	guint64 minute;
	char **parts = g_strsplit(text, ":", 3);
	bool ok = g_strv_length(parts) == 2 && strlen(parts[0]) == 2 &&
		  strlen(parts[1]) == 2 &&
		  g_ascii_string_to_unsigned(parts[0], 10, 0, HOURS_PER_DAY - 1,
					     &hour, NULL) &&
		  g_ascii_string_to_unsigned(
			  parts[1], 10, 0, MINUTES_PER_HOUR - 1, &minute, NULL);

	g_strfreev(parts);
	return ok &&
	       read_number(field, (int64_t)(hour * MINUTES_PER_HOUR + minute),
			   object);
}

/* An empty cell leaves the default in place. */
static bool read_cell(const wwh_field_t *field, const char *cell, void *object)
{
	gint64 number;

	if (*cell == '\0')
		return !field->required;
	if (field->type != WWH_FIELD_INT32 && field->type != WWH_FIELD_INT64)
		return read_text(field, cell, object);
	return g_ascii_string_to_signed(cell, 10, field->minimum,
					field->maximum, &number, NULL) &&
	       read_number(field, number, object);
}
