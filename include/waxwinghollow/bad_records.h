#ifndef WAXWINGHOLLOW_BAD_RECORDS_H
#define WAXWINGHOLLOW_BAD_RECORDS_H

/*
 * NAME
 *	bad_records - which records of a list can't be read, told once each
 *
 * USE
 *	A list is followed that others write to. What can't be read is told
 *	here each time that it is seen; a line is logged when it is seen first,
 *	when its reason changes, and when it is mended or gone. An upstream
 *	rewrites its entry each second, so a line for each time would push all
 *	others out of the log's budget.
 *
 *	At most WWH_BAD_RECORDS_MAX keys of a list are remembered. Those beyond
 *	are counted, and one line says that there are more.
 *
 *	Counters of the process: records.unreadable (found, or with another
 *	reason), records.unreadable_now.
 *
 * ORDER OF CALLS
 *	wwh_bad_records_new, any of the others, wwh_bad_records_delete. Of one
 *	thread.
 */

#include <glib.h>

#include "waxwinghollow/counters.h"
#include "waxwinghollow/event_log.h"

#define WWH_BAD_RECORDS_MAX 256

typedef struct {
	const char *list; /* what lines call it */
	wwh_event_log_t *log;
	wwh_counters_t *counters;
} wwh_bad_records_options_t;

typedef struct wwh_bad_records wwh_bad_records_t;

wwh_bad_records_t *
wwh_bad_records_new(const wwh_bad_records_options_t *options);
void wwh_bad_records_delete(wwh_bad_records_t *records);

/* key may hold any bytes. */
void wwh_bad_records_mark_unreadable(wwh_bad_records_t *records,
				     const char *key, const char *why);
/* The record can be read. */
void wwh_bad_records_mark_readable(wwh_bad_records_t *records, const char *key);
/* The record was dropped. */
void wwh_bad_records_mark_removed(wwh_bad_records_t *records, const char *key);
/* A whole list has shown these keys as bad: all others are gone. */
void wwh_bad_records_retain(wwh_bad_records_t *records, GHashTable *keys);

#endif
