#ifndef TEST_FUZZ_SCHEDULER_TRACE_H
#define TEST_FUZZ_SCHEDULER_TRACE_H

/*
 * NAME
 *	scheduler_trace - what happens in an input, a line for each event
 *
 * USE
 *	For fuzz_scheduler alone: WWH_FUZZ_TRACE=1 fuzz_scheduler INPUT
 *	Times are in ms of the world. Nothing is written without the variable.
 */

#include <glib.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>

#define trace(...) trace_at(world.now_ms, __VA_ARGS__)

G_GNUC_PRINTF(2, 3)
static inline void trace_at(int64_t now_ms, const char *format, ...)
{
	static int wanted = -1;
	va_list arguments;

	if (wanted < 0)
		wanted = g_getenv("WWH_FUZZ_TRACE") != NULL;
	if (wanted == 0)
		return;
	fprintf(stderr, "%" G_GINT64_FORMAT " ", now_ms);
	va_start(arguments, format);
	vfprintf(stderr, format, arguments);
	va_end(arguments);
	fputc('\n', stderr);
}

#endif
