#include "waxwinghollow/status.h"

#include <stdarg.h>
#include <stdio.h>

const char *const wwh_status_names[WWH_STATUS_COUNT] = {
	"ok",	 "bad argument", "bad input", "conflict", "not found",
	"limit", "unavailable",	 "unknown",   "io",
};

void wwh_message_set(wwh_message_t *message, const char *format, ...)
{
	va_list args;

	if (message == NULL)
		return;
	va_start(args, format);
	(void)vsnprintf(message->text, sizeof(message->text), format, args);
	va_end(args);
}
