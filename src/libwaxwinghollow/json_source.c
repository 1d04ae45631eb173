#include "private/json_source.h"

#include <string.h>

#include "private/json_shape.h"
#include "private/json_text.h"

/* The lines of one object. */
typedef struct {
	int32_t line;
	GHashTable *members; /* char * to GINT_TO_POINTER(line) */
} object_lines_t;

struct wwh_json_source {
	char *file;
	JsonParser *parser;
	GHashTable *objects; /* JsonObject * to object_lines_t * */
	GArray *open_lines; /* int32_t: start lines of unfinished objects */
	int32_t error_line;
	wwh_report_t *report;
};

static bool parse_without_comments(wwh_json_source_t *source, const char *plain,
				   size_t size);
static void connect_signals(wwh_json_source_t *source);
static void object_started(JsonParser *parser, gpointer client_data);
static void object_ended(JsonParser *parser, JsonObject *object,
			 gpointer client_data);
static void member_ended(JsonParser *parser, JsonObject *object,
			 const gchar *name, gpointer client_data);
static void parse_failed(JsonParser *parser, gpointer error,
			 gpointer client_data);
static void report_parse_error(wwh_json_source_t *source, const char *message);
static object_lines_t *get_object_lines(wwh_json_source_t *source,
					JsonObject *object);
static void object_lines_free(gpointer data);
static void read_member(const wwh_json_source_t *source, JsonObject *json,
			const char *name, const wwh_field_t *field,
			void *object, wwh_report_t *report);
static const wwh_field_t *find_field(const wwh_field_t *fields, int32_t count,
				     const char *name);

wwh_json_source_t *wwh_json_source_parse(const char *file, const char *text,
					 size_t size, wwh_report_t *report)
{
	wwh_json_source_t *source = g_new0(wwh_json_source_t, 1);
	char *plain = wwh_json_blank_comments(text, size);
	bool parsed;

	source->file = g_strdup(file);
	source->report = report;
	source->parser = json_parser_new_immutable();
	source->objects = g_hash_table_new_full(
		NULL, NULL, (GDestroyNotify)json_object_unref,
		object_lines_free);
	source->open_lines = g_array_new(FALSE, FALSE, sizeof(int32_t));
	connect_signals(source);
	parsed = parse_without_comments(source, plain, size);
	g_free(plain);
	if (parsed)
		return source;
	wwh_json_source_delete(source);
	return NULL;
}

void wwh_json_source_delete(wwh_json_source_t *source)
{
	if (source == NULL)
		return;
	g_hash_table_destroy(source->objects);
	g_array_free(source->open_lines, TRUE);
	g_object_unref(source->parser);
	g_free(source->file);
	g_free(source);
}

const char *wwh_json_source_file(const wwh_json_source_t *source)
{
	return source->file;
}

JsonObject *wwh_json_source_root(const wwh_json_source_t *source)
{
	return json_node_get_object(json_parser_get_root(source->parser));
}

int32_t wwh_json_source_object_line(const wwh_json_source_t *source,
				    JsonObject *object)
{
	object_lines_t *lines = g_hash_table_lookup(source->objects, object);

	return lines == NULL ? 0 : lines->line;
}

int32_t wwh_json_source_member_line(const wwh_json_source_t *source,
				    JsonObject *object, const char *name)
{
	object_lines_t *lines = g_hash_table_lookup(source->objects, object);

	if (lines == NULL)
		return 0;
	return GPOINTER_TO_INT(g_hash_table_lookup(lines->members, name));
}

void wwh_json_source_read(const wwh_json_source_t *source, JsonObject *json,
			  const wwh_field_t *fields, int32_t count,
			  void *object, wwh_report_t *report)
{
	GList *names = json_object_get_members(json);

	for (GList *at = names; at != NULL; at = at->next) {
		const char *name = at->data;
		const wwh_field_t *field = find_field(fields, count, name);

		if (field != NULL) {
			read_member(source, json, name, field, object, report);
			continue;
		}
		char *suggestion = wwh_fields_suggest(fields, count, name);

		wwh_report_error(
			report, source->file,
			wwh_json_source_member_line(source, json, name),
			"unknown key '%s', %s", name, suggestion);
		g_free(suggestion);
	}
	g_list_free(names);
	for (int32_t i = 0; i < count; i++) {
		if (!fields[i].required ||
		    json_object_has_member(json, fields[i].name))
			continue;
		char *expected = wwh_field_expected(&fields[i]);

		wwh_report_error(report, source->file,
				 wwh_json_source_object_line(source, json),
				 "'%s' is missing, expected %s", fields[i].name,
				 expected);
		g_free(expected);
	}
}

static bool parse_without_comments(wwh_json_source_t *source, const char *plain,
				   size_t size)
{
	const char *fault =
		wwh_json_shape_fault(plain, size, &source->error_line);
	GError *error = NULL;
	JsonNode *root;

	if (fault != NULL) {
		report_parse_error(source, fault);
		return false;
	}
	if (!json_parser_load_from_data(source->parser, plain, (gssize)size,
					&error)) {
		report_parse_error(source, error->message);
		g_error_free(error);
		return false;
	}
	root = json_parser_get_root(source->parser);
	if (root != NULL && JSON_NODE_HOLDS_OBJECT(root))
		return true;
	wwh_report_error(source->report, source->file, 1,
			 "not a JSON object, expected {...}");
	return false;
}

static void connect_signals(wwh_json_source_t *source)
{
	g_signal_connect(source->parser, "object-start",
			 G_CALLBACK(object_started), source);
	g_signal_connect(source->parser, "object-end", G_CALLBACK(object_ended),
			 source);
	g_signal_connect(source->parser, "object-member",
			 G_CALLBACK(member_ended), source);
	g_signal_connect(source->parser, "error", G_CALLBACK(parse_failed),
			 source);
}

static void object_started(JsonParser *parser, gpointer client_data)
{
	wwh_json_source_t *source = client_data;
	int32_t line = (int32_t)json_parser_get_current_line(parser);

	g_array_append_val(source->open_lines, line);
}

static void object_ended(JsonParser *parser, JsonObject *object,
			 gpointer client_data)
{
	wwh_json_source_t *source = client_data;
	guint last = source->open_lines->len - 1;

	(void)parser;
	get_object_lines(source, object)->line =
		g_array_index(source->open_lines, int32_t, last);
	g_array_set_size(source->open_lines, last);
}

/*
 * json-glib uses the last of several members with one name. After an operator
 * copied a block, one of the two values would be ignored silently, so a
 * repeated key is an error.
 */
static void member_ended(JsonParser *parser, JsonObject *object,
			 const gchar *name, gpointer client_data)
{
	wwh_json_source_t *source = client_data;
	object_lines_t *lines = get_object_lines(source, object);
	int32_t line = (int32_t)json_parser_get_current_line(parser);
	JsonNode *value = json_object_get_member(object, name);

	if (value != NULL && JSON_NODE_HOLDS_OBJECT(value))
		line = wwh_json_source_object_line(source,
						   json_node_get_object(value));
	if (g_hash_table_contains(lines->members, name))
		wwh_report_error(source->report, source->file, line,
				 "key '%s' stands twice, first at line %d, "
				 "expected once",
				 name,
				 GPOINTER_TO_INT(g_hash_table_lookup(
					 lines->members, name)));
	else
		g_hash_table_insert(lines->members, g_strdup(name),
				    GINT_TO_POINTER(line));
}

static void parse_failed(JsonParser *parser, gpointer error,
			 gpointer client_data)
{
	wwh_json_source_t *source = client_data;

	(void)error;
	source->error_line = (int32_t)json_parser_get_current_line(parser);
}

/* Removes the parser's prefix: the report has the file and line already. */
static void report_parse_error(wwh_json_source_t *source, const char *message)
{
	static const char prefix[] = "Parse error: ";
	const char *at = strstr(message, prefix);

	if (at != NULL)
		message = at + strlen(prefix);
	wwh_report_error(source->report, source->file, source->error_line,
			 "not JSON with comments: %s", message);
}

/*
 * Returns the lines of object, created at first use. The table holds a
 * reference to the object: otherwise a repeated key would free the object it
 * replaces, and a new object at the same address would be mistaken for it.
 */
static object_lines_t *get_object_lines(wwh_json_source_t *source,
					JsonObject *object)
{
	object_lines_t *lines = g_hash_table_lookup(source->objects, object);

	if (lines != NULL)
		return lines;
	lines = g_new0(object_lines_t, 1);
	lines->members =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(source->objects, json_object_ref(object), lines);
	return lines;
}

static void object_lines_free(gpointer data)
{
	object_lines_t *lines = data;

	g_hash_table_destroy(lines->members);
	g_free(lines);
}

static void read_member(const wwh_json_source_t *source, JsonObject *json,
			const char *name, const wwh_field_t *field,
			void *object, wwh_report_t *report)
{
	JsonNode *node = json_object_get_member(json, name);
	char *expected = wwh_field_read_json(field, node, object);
	char *found;

	if (expected == NULL)
		return;
	found = json_to_string(node, FALSE);
	wwh_report_error(report, source->file,
			 wwh_json_source_member_line(source, json, name),
			 "'%s' is %.60s, expected %s", name, found, expected);
	g_free(found);
	g_free(expected);
}

static const wwh_field_t *find_field(const wwh_field_t *fields, int32_t count,
				     const char *name)
{
	for (int32_t i = 0; i < count; i++) {
		if (strcmp(fields[i].name, name) == 0)
			return &fields[i];
	}
	return NULL;
}
