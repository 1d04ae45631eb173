#include "private/csv_source.h"

#include <csv.h>
#include <stdbool.h>
#include <string.h>

#define BYTE_ORDER_MARK "\xef\xbb\xbf"

static GPtrArray *read_row(wwh_csv_source_t *source);
static size_t row_size(const wwh_csv_source_t *source);
static size_t parse_row(GPtrArray *cells, const char *row, size_t size);
static void report_syntax_error(const wwh_csv_source_t *source, const char *row,
				size_t accepted);
static void append_cell(void *text, size_t size, void *client_data);
static int is_never_special(unsigned char byte);
static bool is_blank(const GPtrArray *cells);

void wwh_csv_init(wwh_csv_source_t *source, const char *file, const char *text,
		  size_t size, wwh_report_t *report)
{
	size_t mark_size = strlen(BYTE_ORDER_MARK);

	if (size >= mark_size &&
	    memcmp(text, BYTE_ORDER_MARK, mark_size) == 0) {
		text += mark_size;
		size -= mark_size;
	}
	*source = (wwh_csv_source_t){
		.file = file,
		.position = text,
		.end = text + size,
		.next_line = 1,
		.report = report,
	};
}

GPtrArray *wwh_csv_next_row(wwh_csv_source_t *source)
{
	while (source->position < source->end) {
		GPtrArray *cells = read_row(source);

		if (cells == NULL || !is_blank(cells))
			return cells;
		g_ptr_array_unref(cells);
	}
	return NULL;
}

/*
 * Splits off the row first and parses it with a parser of its own, because
 * libcsv reports neither line numbers nor positions and would end a row at a
 * lone CR.
 */
static GPtrArray *read_row(wwh_csv_source_t *source)
{
	GPtrArray *cells = g_ptr_array_new_with_free_func(g_free);
	const char *row = source->position;
	size_t length = row_size(source);
	size_t size = length;
	size_t accepted;

	source->line = source->next_line;
	if (size > 0 && row + size < source->end && row[size - 1] == '\r')
		size--;
	accepted = parse_row(cells, row, size);
	if (accepted <= size) {
		report_syntax_error(source, row, accepted);
		g_ptr_array_unref(cells);
		source->position = source->end;
		return NULL;
	}
	for (size_t i = 0; i < length; i++)
		source->next_line += row[i] == '\n';
	source->position += length;
	if (source->position < source->end) {
		source->position++;
		source->next_line++;
	}
	return cells;
}

/* Returns the bytes up to the first LF outside quotes, or up to the end. */
static size_t row_size(const wwh_csv_source_t *source)
{
	size_t remaining = (size_t)(source->end - source->position);
	bool quoted = false;

	for (size_t i = 0; i < remaining; i++) {
		if (source->position[i] == '"')
			quoted = !quoted;
		if (source->position[i] == '\n' && !quoted)
			return i;
	}
	return remaining;
}

/*
 * Returns the number of bytes before the first error, or size + 1 if the row is
 * valid up to and including its end.
 */
static size_t parse_row(GPtrArray *cells, const char *row, size_t size)
{
	const char *zero_byte = memchr(row, '\0', size);
	size_t limit = zero_byte != NULL ? (size_t)(zero_byte - row) : size;
	struct csv_parser parser;
	size_t accepted;

	if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI) != 0)
		g_error("csv: %s", csv_strerror(csv_error(&parser)));
	csv_set_space_func(&parser, is_never_special);
	csv_set_term_func(&parser, is_never_special);
	accepted = csv_parse(&parser, row, limit, append_cell, NULL, cells);
	if (accepted == size &&
	    csv_fini(&parser, append_cell, NULL, cells) == CSV_SUCCESS)
		accepted++;
	if (csv_error(&parser) == CSV_ENOMEM)
		g_error("csv: %s", csv_strerror(CSV_ENOMEM));
	csv_free(&parser);
	return accepted;
}

static void report_syntax_error(const wwh_csv_source_t *source, const char *row,
				size_t accepted)
{
	int32_t line = source->line;
	bool quoted = false;
	bool cell_quoted = false;

	for (size_t i = 0; i < accepted; i++) {
		if (!quoted && (i == 0 || row[i - 1] == ','))
			cell_quoted = row[i] == '"';
		if (row[i] == '"')
			quoted = !quoted;
		line += row[i] == '\n';
	}
	if (!quoted && (accepted == 0 || row[accepted - 1] == ','))
		cell_quoted = false;
	if (cell_quoted)
		wwh_report_error(
			source->report, source->file, source->line,
			"the quotes of a cell do not end before a comma or "
			"line end, expected \"...\" with inner quotes doubled");
	else
		wwh_report_error(source->report, source->file, line,
				 "a quote or zero byte inside a cell, "
				 "expected the whole cell in quotes "
				 "with inner quotes doubled");
}

static void append_cell(void *text, size_t size, void *client_data)
{
	g_ptr_array_add(client_data, g_strndup(text, size));
}

/* Spaces and line ends have no special meaning inside a row. */
static int is_never_special(unsigned char byte)
{
	(void)byte;
	return 0;
}

static bool is_blank(const GPtrArray *cells)
{
	return cells->len == 0 ||
	       (cells->len == 1 &&
		*(char *)g_ptr_array_index(cells, 0) == '\0');
}
