#include "private/csv_source.h"

#include <stdbool.h>
#include <string.h>

#define BYTE_ORDER_MARK "\xef\xbb\xbf"

static GPtrArray *read_row(wwh_csv_source_t *source);
static bool read_cell(wwh_csv_source_t *source, GString *cell);
static bool read_quoted(wwh_csv_source_t *source, GString *cell);
static bool at_row_end(const wwh_csv_source_t *source);
static void skip_row_end(wwh_csv_source_t *source);
static bool is_blank(const GPtrArray *cells);

void wwh_csv_init(wwh_csv_source_t *source, const char *file, const char *text,
		  size_t size, wwh_report_t *report)
{
	size_t mark = strlen(BYTE_ORDER_MARK);

	if (size >= mark && memcmp(text, BYTE_ORDER_MARK, mark) == 0) {
		text += mark;
		size -= mark;
	}
	*source = (wwh_csv_source_t){
		.file = file,
		.at = text,
		.end = text + size,
		.next_line = 1,
		.report = report,
	};
}

GPtrArray *wwh_csv_next(wwh_csv_source_t *source)
{
	while (source->at < source->end) {
		GPtrArray *cells = read_row(source);

		if (cells == NULL || !is_blank(cells))
			return cells;
		g_ptr_array_unref(cells);
	}
	return NULL;
}

static GPtrArray *read_row(wwh_csv_source_t *source)
{
	GPtrArray *cells = g_ptr_array_new_with_free_func(g_free);

	source->line = source->next_line;
	for (;;) {
		GString *cell = g_string_new(NULL);
		bool ok = read_cell(source, cell);

		g_ptr_array_add(cells, g_string_free(cell, FALSE));
		if (!ok) {
			g_ptr_array_unref(cells);
			source->at = source->end;
			return NULL;
		}
		if (source->at == source->end || *source->at != ',')
			break;
		source->at++;
	}
	skip_row_end(source);
	return cells;
}

static bool read_cell(wwh_csv_source_t *source, GString *cell)
{
	if (source->at < source->end && *source->at == '"')
		return read_quoted(source, cell);
	while (source->at < source->end && *source->at != ',' &&
	       !at_row_end(source)) {
		if (*source->at == '"' || *source->at == '\0') {
			wwh_report_error(source->report, source->file,
					 source->next_line,
					 "a quote or zero byte inside a cell, "
					 "expected the whole cell in quotes "
					 "with inner quotes doubled");
			return false;
		}
		g_string_append_c(cell, *source->at++);
	}
	return true;
}

static bool read_quoted(wwh_csv_source_t *source, GString *cell)
{
	for (source->at++; source->at < source->end; source->at++) {
		char c = *source->at;

		if (c == '\0')
			break;
		if (c == '\n')
			source->next_line++;
		if (c != '"') {
			g_string_append_c(cell, c);
			continue;
		}
		source->at++;
		if (source->at == source->end || *source->at == ',' ||
		    at_row_end(source))
			return true;
		if (*source->at != '"')
			break;
		g_string_append_c(cell, '"');
	}
	wwh_report_error(
		source->report, source->file, source->line,
		"the quotes of a cell do not end before a comma or "
		"line end, expected \"...\" with inner quotes doubled");
	return false;
}

static bool at_row_end(const wwh_csv_source_t *source)
{
	if (*source->at == '\n')
		return true;
	return *source->at == '\r' && source->at + 1 < source->end &&
	       source->at[1] == '\n';
}

static void skip_row_end(wwh_csv_source_t *source)
{
	if (source->at == source->end)
		return;
	source->at += *source->at == '\r' ? 2 : 1;
	source->next_line++;
}

static bool is_blank(const GPtrArray *cells)
{
	return cells->len == 1 && *(char *)g_ptr_array_index(cells, 0) == '\0';
}
