#include "private/report.h"

#include <glib.h>
#include <stdarg.h>

void wwh_report_error(wwh_report_t *report, const char *file, int32_t line,
		      const char *format, ...)
{
	va_list args;
	char *text;

	report->count++;
	if (report->error == NULL)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	report->error(file, line, text, report->client_data);
	g_free(text);
}

wwh_status_t wwh_report_status(const wwh_report_t *report)
{
	return report->count == 0 ? WWH_STATUS_OK : WWH_STATUS_BAD_INPUT;
}
