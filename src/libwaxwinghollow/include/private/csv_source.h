#ifndef WAXWINGHOLLOW_PRIVATE_CSV_SOURCE_H
#define WAXWINGHOLLOW_PRIVATE_CSV_SOURCE_H

/*
 * NAME
 *	csv_source - rows of a CSV file as RFC 4180 has it
 *
 * USE
 *	Cells are separated by commas, rows by LF or CR LF. A cell in double
 *	quotes may hold commas, line ends and doubled quotes. Blank rows are
 *	left out. A byte order mark at the start is skipped, because
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
	const char *at;
	const char *end;
	int32_t line; /* of the row that wwh_csv_next_row gave last */
	int32_t next_line;
	wwh_report_t *report;
} wwh_csv_source_t;

void wwh_csv_init(wwh_csv_source_t *source, const char *file, const char *text,
		  size_t size, wwh_report_t *report);

/*
 * The cells of the next row (char *, freed with the array); NULL at the end
 * or, after a report, at text that is not CSV.
 */
GPtrArray *wwh_csv_next_row(wwh_csv_source_t *source);

#endif
