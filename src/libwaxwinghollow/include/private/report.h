#ifndef WAXWINGHOLLOW_PRIVATE_REPORT_H
#define WAXWINGHOLLOW_PRIVATE_REPORT_H

/*
 * NAME
 *	report - collects the errors of input files
 *
 * USE
 *	Every error is passed to the callback immediately and counted, so that
 *	a reader can continue after the first one.
 */

#include <stdint.h>

#include "waxwinghollow/status.h"

typedef struct {
	void (*error)(const char *file, int32_t line, const char *text,
		      void *client_data);
	void *client_data;
	int32_t count;
} wwh_report_t;

void wwh_report_error(wwh_report_t *report, const char *file, int32_t line,
		      const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/* Returns WWH_STATUS_BAD_INPUT if an error was reported. */
wwh_status_t wwh_report_status(const wwh_report_t *report);

#endif
