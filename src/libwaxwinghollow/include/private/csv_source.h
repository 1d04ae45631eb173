#ifndef WAXWINGHOLLOW_PRIVATE_CSV_SOURCE_H
#define WAXWINGHOLLOW_PRIVATE_CSV_SOURCE_H

/*
 * NAME
 *	csv_source - reads the rows of a CSV file as specified by RFC 4180
 *
 * USE
 *	Cells are separated by commas, rows by LF or CR LF. A cell in double
 *	quotes may contain commas, line ends and doubled quotes. Blank rows
 *	are skipped, and so is a byte order mark at the start, because
 *	spreadsheets write one.
 *
 * ORDER OF CALLS
 *	wwh_csv_init; wwh_csv_next_row until it returns NULL.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "private/report.h"

typedef struct {
	const char *file;
	const char *position;
	const char *end;
	int32_t line; /* first line of the row that was read last */
	int32_t next_line;
	wwh_report_t *report;
} wwh_csv_source_t;

void wwh_csv_init(wwh_csv_source_t *source, const char *file, const char *text,
		  size_t size, wwh_report_t *report);

/*
 * Returns the cells of the next row (char *, freed with the array). Returns
 * NULL at the end, or after it reported a syntax error.
 */
GPtrArray *wwh_csv_next_row(wwh_csv_source_t *source);

#endif
