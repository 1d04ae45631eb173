#include "private/report.h"

#include <glib.h>
#include <stdarg.h>

static char *to_single_line(char *text);

void wwh_report_error(wwh_report_t *report, const char *file, int32_t line,
		      const char *format, ...)
{
	va_list args;
	char *text;

	report->count++;
	if (report->error == NULL)
		return;
	va_start(args, format);
	text = to_single_line(g_strdup_vprintf(format, args));
	va_end(args);
	report->error(file, line, text, report->client_data);
	g_free(text);
}

wwh_status_t wwh_report_status(const wwh_report_t *report)
{
	return report->count == 0 ? WWH_STATUS_OK : WWH_STATUS_BAD_INPUT;
}

/*
 * Replaces control characters by spaces. Names and values in the message come
 * from the file: a line end in them would split the error into two lines, and
 * an escape sequence would control the operator's terminal.
 */
static char *to_single_line(char *text)
{
	char *valid = g_utf8_make_valid(text, -1);

	g_free(text);
	for (char *at = valid; *at != '\0'; at++) {
		if (g_ascii_iscntrl(*at))
			*at = ' ';
	}
	return valid;
}
