#include "print_json.h"

#include <stdbool.h>
#include <string.h>

#define INDENT 2

typedef struct {
	FILE *out;
	int indent;
} printer_t;

static void print_object(printer_t *printer, JsonObject *object);
static void print_scalars(printer_t *printer, JsonObject *object, GList *names);
static void print_nested(printer_t *printer, const char *name, JsonNode *node);
static void print_table(printer_t *printer, JsonArray *rows);
static GPtrArray *collect_columns(JsonArray *rows);
static void add_columns(GPtrArray *columns, JsonObject *row);
static void print_row(printer_t *printer, GPtrArray *cells, const int *widths);
static bool is_table(JsonNode *node);
static bool is_single_line(JsonNode *node);
static char *format_cell(JsonNode *node);
static int text_width(const char *text);
static void print_padding(printer_t *printer, int columns);

void wwh_print_json(JsonNode *node, FILE *out)
{
	printer_t printer = { out, 0 };
	char *text;

	if (JSON_NODE_HOLDS_OBJECT(node)) {
		print_object(&printer, json_node_get_object(node));
	} else if (is_table(node)) {
		print_table(&printer, json_node_get_array(node));
	} else {
		text = format_cell(node);
		fprintf(out, "%s\n", text);
		g_free(text);
	}
}

static void print_object(printer_t *printer, JsonObject *object)
{
	GList *names = json_object_get_members(object);

	print_scalars(printer, object, names);
	for (GList *link = names; link != NULL; link = link->next) {
		JsonNode *node = json_object_get_member(object, link->data);

		if (!is_single_line(node))
			print_nested(printer, link->data, node);
	}
	g_list_free(names);
}

static void print_scalars(printer_t *printer, JsonObject *object, GList *names)
{
	int width = 0;

	for (GList *link = names; link != NULL; link = link->next) {
		if (is_single_line(json_object_get_member(object, link->data)))
			width = MAX(width, text_width(link->data));
	}
	for (GList *link = names; link != NULL; link = link->next) {
		JsonNode *node = json_object_get_member(object, link->data);
		char *text;

		if (!is_single_line(node))
			continue;
		text = format_cell(node);
		print_padding(printer, printer->indent);
		fprintf(printer->out, "%s", (char *)link->data);
		print_padding(printer, width - text_width(link->data) + INDENT);
		fprintf(printer->out, "%s\n", text);
		g_free(text);
	}
}

static void print_nested(printer_t *printer, const char *name, JsonNode *node)
{
	print_padding(printer, printer->indent);
	fprintf(printer->out, "%s:\n", name);
	printer->indent += INDENT;
	if (is_table(node))
		print_table(printer, json_node_get_array(node));
	else
		print_object(printer, json_node_get_object(node));
	printer->indent -= INDENT;
}

static void print_table(printer_t *printer, JsonArray *rows)
{
	GPtrArray *columns = collect_columns(rows);
	guint row_count = json_array_get_length(rows);
	GPtrArray **cells = g_new0(GPtrArray *, row_count + 1);
	int *widths = g_new0(int, columns->len + 1);

	for (guint i = 0; i < columns->len; i++)
		widths[i] = text_width(g_ptr_array_index(columns, i));
	for (guint row = 0; row < row_count; row++) {
		JsonObject *object = json_array_get_object_element(rows, row);

		cells[row] = g_ptr_array_new_with_free_func(g_free);
		for (guint i = 0; i < columns->len; i++) {
			char *text = format_cell(json_object_get_member(
				object, g_ptr_array_index(columns, i)));

			widths[i] = MAX(widths[i], text_width(text));
			g_ptr_array_add(cells[row], text);
		}
	}
	print_row(printer, columns, widths);
	for (guint row = 0; row < row_count; row++) {
		print_row(printer, cells[row], widths);
		g_ptr_array_unref(cells[row]);
	}
	g_free(cells);
	g_free(widths);
	g_ptr_array_unref(columns);
}

/* Returns the member names of all rows in the order of their first use. */
static GPtrArray *collect_columns(JsonArray *rows)
{
	GPtrArray *columns = g_ptr_array_new_with_free_func(g_free);

	for (guint row = 0; row < json_array_get_length(rows); row++)
		add_columns(columns, json_array_get_object_element(rows, row));
	return columns;
}

static void add_columns(GPtrArray *columns, JsonObject *row)
{
	GList *names = json_object_get_members(row);

	for (GList *link = names; link != NULL; link = link->next) {
		if (!g_ptr_array_find_with_equal_func(columns, link->data,
						      g_str_equal, NULL))
			g_ptr_array_add(columns, g_strdup(link->data));
	}
	g_list_free(names);
}

static void print_row(printer_t *printer, GPtrArray *cells, const int *widths)
{
	print_padding(printer, printer->indent);
	for (guint i = 0; i < cells->len; i++) {
		const char *text = g_ptr_array_index(cells, i);

		fprintf(printer->out, "%s", text);
		if (i + 1 < cells->len)
			print_padding(printer,
				      widths[i] - text_width(text) + INDENT);
	}
	fprintf(printer->out, "\n");
}

/* A table is a non-empty list of objects only. */
static bool is_table(JsonNode *node)
{
	JsonArray *array;

	if (!JSON_NODE_HOLDS_ARRAY(node))
		return false;
	array = json_node_get_array(node);
	for (guint i = 0; i < json_array_get_length(array); i++) {
		if (!JSON_NODE_HOLDS_OBJECT(json_array_get_element(array, i)))
			return false;
	}
	return json_array_get_length(array) > 0;
}

/* Values printed on one line: all but objects and tables. */
static bool is_single_line(JsonNode *node)
{
	return !JSON_NODE_HOLDS_OBJECT(node) && !is_table(node);
}

static char *format_cell(JsonNode *node)
{
	if (node == NULL || JSON_NODE_HOLDS_NULL(node))
		return g_strdup("-");
	if (JSON_NODE_HOLDS_VALUE(node) &&
	    json_node_get_value_type(node) == G_TYPE_STRING)
		return json_node_dup_string(node);
	return json_to_string(node, FALSE);
}

static int text_width(const char *text)
{
	return (int)g_utf8_strlen(text, -1);
}

static void print_padding(printer_t *printer, int columns)
{
	fprintf(printer->out, "%*s", MAX(columns, 0), "");
}
