#ifndef WAXWINGHOLLOW_PRIVATE_REPORT_H
#define WAXWINGHOLLOW_PRIVATE_REPORT_H

/*
 * NAME
 *	report - collects the errors of input files
 *
 * USE
 *	Every error goes to the callback at once and is counted, so that a
 *	reader goes on after the first one.
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

/* WWH_STATUS_BAD_INPUT when an error was reported. */
wwh_status_t wwh_report_status(const wwh_report_t *report);

#endif
