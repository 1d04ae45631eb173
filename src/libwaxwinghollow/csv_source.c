#include "private/csv_source.h"

#include <csv.h>
#include <stdbool.h>
#include <string.h>

#define BYTE_ORDER_MARK "\xef\xbb\xbf"

static GPtrArray *read_row(wwh_csv_source_t *source);
static size_t row_size(const wwh_csv_source_t *source);
static size_t parse(GPtrArray *cells, const char *row, size_t size);
static void report(const wwh_csv_source_t *source, const char *row,
		   size_t good);
static void take_cell(void *text, size_t size, void *client_data);
static int never(unsigned char byte);
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

GPtrArray *wwh_csv_next_row(wwh_csv_source_t *source)
{
	while (source->at < source->end) {
		GPtrArray *cells = read_row(source);

		if (cells == NULL || !is_blank(cells))
			return cells;
		g_ptr_array_unref(cells);
	}
	return NULL;
}

/*
 * One parser a row, and rows are cut before it sees them: libcsv tells
 * neither lines nor places, and it would end a row at a lone CR.
 */
static GPtrArray *read_row(wwh_csv_source_t *source)
{
	GPtrArray *cells = g_ptr_array_new_with_free_func(g_free);
	const char *row = source->at;
	size_t whole = row_size(source);
	size_t size = whole;
	size_t good;

	source->line = source->next_line;
	if (size > 0 && row + size < source->end && row[size - 1] == '\r')
		size--;
	good = parse(cells, row, size);
	if (good <= size) {
		report(source, row, good);
		g_ptr_array_unref(cells);
		source->at = source->end;
		return NULL;
	}
	for (size_t i = 0; i < whole; i++)
		source->next_line += row[i] == '\n';
	source->at += whole;
	if (source->at < source->end) {
		source->at++;
		source->next_line++;
	}
	return cells;
}

/* Up to the first line end outside quotes, or to the end. */
static size_t row_size(const wwh_csv_source_t *source)
{
	size_t left = (size_t)(source->end - source->at);
	bool quoted = false;

	for (size_t i = 0; i < left; i++) {
		if (source->at[i] == '"')
			quoted = !quoted;
		if (source->at[i] == '\n' && !quoted)
			return i;
	}
	return left;
}

/* How many bytes are good; more than size: all, and the row's end too. */
static size_t parse(GPtrArray *cells, const char *row, size_t size)
{
	const char *zero = memchr(row, '\0', size);
	size_t limit = zero != NULL ? (size_t)(zero - row) : size;
	struct csv_parser parser;
	size_t good;

	if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI) != 0)
		g_error("csv: %s", csv_strerror(csv_error(&parser)));
	csv_set_space_func(&parser, never);
	csv_set_term_func(&parser, never);
	good = csv_parse(&parser, row, limit, take_cell, NULL, cells);
	if (good == size &&
	    csv_fini(&parser, take_cell, NULL, cells) == CSV_SUCCESS)
		good++;
	if (csv_error(&parser) == CSV_ENOMEM)
		g_error("csv: %s", csv_strerror(CSV_ENOMEM));
	csv_free(&parser);
	return good;
}

static void report(const wwh_csv_source_t *source, const char *row, size_t good)
{
	int32_t line = source->line;
	bool quoted = false;
	bool cell_quoted = false;

	for (size_t i = 0; i < good; i++) {
		if (!quoted && (i == 0 || row[i - 1] == ','))
			cell_quoted = row[i] == '"';
		if (row[i] == '"')
			quoted = !quoted;
		line += row[i] == '\n';
	}
	if (!quoted && (good == 0 || row[good - 1] == ','))
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

static void take_cell(void *text, size_t size, void *client_data)
{
	g_ptr_array_add(client_data, g_strndup(text, size));
}

/* Neither spaces nor lone line ends mean anything inside a row. */
static int never(unsigned char byte)
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
