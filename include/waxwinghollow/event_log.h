#ifndef WAXWINGHOLLOW_EVENT_LOG_H
#define WAXWINGHOLLOW_EVENT_LOG_H

/*
 * NAME
 *	event_log - one JSON line per decision, rate-limited, never blocking
 *
 * USE
 *	A line has: "t" (time of day, ms), "node", "event", "id" (of the
 *	request, task, upstream or part that it is about) and "detail" (the
 *	reasons of the decision, as name=value). docs/OPERATIONS.md lists the
 *	events.
 *
 *	Lines beyond the budget of a second, and lines that don't fit into a
 *	full pipe, are dropped and counted; the next line that is written has
 *	their number. Events that were written only a few times in the current
 *	second have a small separate budget: without it, the line of a change
 *	of holder would be dropped when many tasks start. Bulk events may use
 *	only a share of the budget: without it, the lines of a thousand hosts
 *	that move would leave none for the jobs of that second.
 *
 * ORDER OF CALLS
 *	wwh_event_log_new, wwh_event_log_write or _printf by any thread,
 *	wwh_event_log_delete after the last of these calls.
 */

#include <stdint.h>

#include "waxwinghollow/counters.h"

typedef struct {
	const char *node;
	int fd; /* wwh_event_log_new makes it non-blocking */
	int32_t lines_per_s;
	int32_t bytes_per_s;
	/* Additional budget of rare events once the regular one is spent. */
	int32_t rare_lines_per_s;
	int32_t rare_bytes_per_s;
	/* Names of bulk events, and their share; NULL: there are none. */
	const char *const *bulk_events;
	int32_t bulk_percent;
	int64_t (*now_ms)(void); /* monotonic clock */
	int64_t (*wall_ms)(void); /* time of day */
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
