#include "private/config_csv.h"

#include <string.h>

#include "private/csv_source.h"

#define KIND_COLUMN "kind"
#define OWN_COLUMN_PREFIX "x-"

static bool check_header(const GPtrArray *header, wwh_csv_source_t *source);
static void check_column(const GPtrArray *header, guint column,
			 wwh_csv_source_t *source);
static const wwh_field_t *field_of(wwh_item_kind_t kind, const char *name);
static void *read_row(const GPtrArray *header, const GPtrArray *cells,
		      wwh_csv_source_t *source, wwh_item_kind_t *kind);
static bool read_kind(const GPtrArray *header, const GPtrArray *cells,
		      wwh_csv_source_t *source, wwh_item_kind_t *kind);
static void read_cells(const GPtrArray *header, const GPtrArray *cells,
		       wwh_csv_source_t *source, wwh_item_kind_t kind,
		       void *item);
static void check_missing(const GPtrArray *header, wwh_csv_source_t *source,
			  wwh_item_kind_t kind);
static int32_t column_of(const GPtrArray *header, const char *name);
static void bad_cell(wwh_csv_source_t *source, const char *name,
		     const char *cell, const char *expected);

void wwh_config_csv_read(const wwh_config_text_t *text, wwh_report_t *report,
			 wwh_csv_add_item_t add, void *client_data)
{
	wwh_csv_source_t source;
	GPtrArray *header;
	GPtrArray *cells;

	wwh_csv_init(&source, text->name, text->text, text->size, report);
	header = wwh_csv_next_row(&source);
	if (header == NULL)
		return;
	if (check_header(header, &source)) {
		while ((cells = wwh_csv_next_row(&source)) != NULL) {
			wwh_item_kind_t kind;
			void *item = read_row(header, cells, &source, &kind);

			if (item != NULL)
				add(kind, item, source.line, client_data);
			g_ptr_array_unref(cells);
		}
	}
	g_ptr_array_unref(header);
}

static bool check_header(const GPtrArray *header, wwh_csv_source_t *source)
{
	int32_t before = source->report->count;

	for (guint i = 0; i < header->len; i++)
		check_column(header, i, source);
	return source->report->count == before;
}

static void check_column(const GPtrArray *header, guint column,
			 wwh_csv_source_t *source)
{
	const char *name = g_ptr_array_index(header, column);
	const wwh_item_table_t *workers = &wwh_item_tables[WWH_ITEM_WORKER];
	const wwh_item_table_t *minions = &wwh_item_tables[WWH_ITEM_MINION];
	GPtrArray *names;
	char *suggestion;

	if (column_of(header, name) != (int32_t)column) {
		wwh_report_error(source->report, source->file, source->line,
				 "column '%s' stands twice, expected once",
				 name);
		return;
	}
	if (g_str_has_prefix(name, OWN_COLUMN_PREFIX) ||
	    strcmp(name, KIND_COLUMN) == 0 ||
	    field_of(WWH_ITEM_WORKER, name) != NULL ||
	    field_of(WWH_ITEM_MINION, name) != NULL)
		return;
	names = g_ptr_array_new();
	g_ptr_array_add(names, (gpointer)KIND_COLUMN);
	for (int32_t i = 0; i < workers->field_count; i++)
		g_ptr_array_add(names, (gpointer)workers->fields[i].name);
	for (int32_t i = 0; i < minions->field_count; i++) {
		if (field_of(WWH_ITEM_WORKER, minions->fields[i].name) == NULL)
			g_ptr_array_add(names,
					(gpointer)minions->fields[i].name);
	}
	suggestion = wwh_names_suggest((const char *const *)names->pdata,
				       (int32_t)names->len, name);
	wwh_report_error(source->report, source->file, source->line,
			 "unknown column '%s', %s", name, suggestion);
	g_free(suggestion);
	g_ptr_array_free(names, TRUE);
}

static const wwh_field_t *field_of(wwh_item_kind_t kind, const char *name)
{
	const wwh_item_table_t *table = &wwh_item_tables[kind];

	for (int32_t i = 0; i < table->field_count; i++) {
		if (strcmp(table->fields[i].name, name) == 0)
			return &table->fields[i];
	}
	return NULL;
}

static void *read_row(const GPtrArray *header, const GPtrArray *cells,
		      wwh_csv_source_t *source, wwh_item_kind_t *kind)
{
	void *item;

	if (cells->len != header->len) {
		wwh_report_error(source->report, source->file, source->line,
				 "%u cells, expected %u as in the first row",
				 cells->len, header->len);
		return NULL;
	}
	if (!read_kind(header, cells, source, kind))
		return NULL;
	item = wwh_item_new(*kind);
	read_cells(header, cells, source, *kind, item);
	check_missing(header, source, *kind);
	return item;
}

static bool read_kind(const GPtrArray *header, const GPtrArray *cells,
		      wwh_csv_source_t *source, wwh_item_kind_t *kind)
{
	int32_t column = column_of(header, KIND_COLUMN);
	const char *name =
		column < 0 ? "" : g_ptr_array_index(cells, (guint)column);

	*kind = WWH_ITEM_WORKER;
	if (strcmp(name, wwh_item_kind_names[WWH_ITEM_MINION]) == 0)
		*kind = WWH_ITEM_MINION;
	else if (*name != '\0' &&
		 strcmp(name, wwh_item_kind_names[WWH_ITEM_WORKER]) != 0) {
		bad_cell(source, KIND_COLUMN, name, "worker or minion");
		return false;
	}
	return true;
}

static void read_cells(const GPtrArray *header, const GPtrArray *cells,
		       wwh_csv_source_t *source, wwh_item_kind_t kind,
		       void *item)
{
	for (guint i = 0; i < header->len; i++) {
		const char *name = g_ptr_array_index(header, i);
		const char *cell = g_ptr_array_index(cells, i);
		const wwh_field_t *field = field_of(kind, name);
		char *expected;

		if (field == NULL && *cell != '\0' &&
		    strcmp(name, KIND_COLUMN) != 0 &&
		    !g_str_has_prefix(name, OWN_COLUMN_PREFIX))
			bad_cell(source, name, cell,
				 kind == WWH_ITEM_WORKER
					 ? "an empty cell in a worker's row"
					 : "an empty cell in a minion's row");
		if (field == NULL)
			continue;
		expected = wwh_field_read_cell(field, cell, item);
		if (expected != NULL)
			bad_cell(source, name, cell, expected);
		g_free(expected);
	}
}

static void check_missing(const GPtrArray *header, wwh_csv_source_t *source,
			  wwh_item_kind_t kind)
{
	const wwh_item_table_t *table = &wwh_item_tables[kind];

	for (int32_t i = 0; i < table->field_count; i++) {
		const wwh_field_t *field = &table->fields[i];

		if (field->required && column_of(header, field->name) < 0)
			wwh_report_error(
				source->report, source->file, source->line,
				"no column '%s', expected it for a %s",
				field->name, wwh_item_kind_names[kind]);
	}
}

static int32_t column_of(const GPtrArray *header, const char *name)
{
	for (guint i = 0; i < header->len; i++) {
		if (strcmp(g_ptr_array_index(header, i), name) == 0)
			return (int32_t)i;
	}
	return -1;
}

static void bad_cell(wwh_csv_source_t *source, const char *name,
		     const char *cell, const char *expected)
{
	wwh_report_error(source->report, source->file, source->line,
			 "'%s' is '%.60s', expected %s", name, cell, expected);
}
