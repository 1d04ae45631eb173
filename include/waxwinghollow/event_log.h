#ifndef WAXWINGHOLLOW_EVENT_LOG_H
#define WAXWINGHOLLOW_EVENT_LOG_H

/*
 * NAME
 *	event_log - one JSON line a decision, within a budget, never blocking
 *
 * USE
 *	A line has: "t" (time of day, ms), "node", "event", "id" (of the
 *	request, task, upstream or part that it is about) and "detail" (what
 *	decided it, as name=value). docs/OPERATIONS.md lists the events.
 *
 *	Lines beyond the budget, and lines that a full pipe doesn't take, are
 *	dropped and counted; the next line that gets out says how many. A small
 *	budget of its own is for events that are rare in their second: without
 *	it, a change of holder is lost among the starts of tasks.
 *
 * ORDER OF CALLS
 *	wwh_event_log_new, wwh_event_log_write by any thread,
 *	wwh_event_log_delete after the last of them.
 */

#include <stdint.h>

#include "waxwinghollow/counters.h"

typedef struct {
	const char *node;
	int fd; /* set to non-blocking */
	int32_t lines_per_s;
	int32_t bytes_per_s;
	/* Besides, for rare events, once those two are spent. */
	int32_t rare_lines_per_s;
	int32_t rare_bytes_per_s;
	/* Of the steady clock and the time of day. */
	int64_t (*now_ms)(void);
	int64_t (*wall_ms)(void);
} wwh_event_log_options_t;

typedef struct wwh_event_log wwh_event_log_t;

wwh_event_log_t *wwh_event_log_new(const wwh_event_log_options_t *options,
				   wwh_counters_t *counters);
void wwh_event_log_delete(wwh_event_log_t *log);

void wwh_event_log_write(wwh_event_log_t *log, const char *event,
			 const char *id, const char *detail);
void wwh_event_log_printf(wwh_event_log_t *log, const char *event,
			  const char *id, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

#endif
