#ifndef WAXWINGHOLLOW_BAD_RECORDS_H
#define WAXWINGHOLLOW_BAD_RECORDS_H

/*
 * NAME
 *	bad_records - logs each unreadable record of a list once
 *
 * USE
 *	For a list that other programs write to. Its reader reports an
 *	unreadable record each time that it reads one; a line is logged only
 *	for the first report, when the reason changes, and when the record
 *	becomes readable or is removed. An upstream rewrites its entry each
 *	second, so a line per report would use up the log's budget.
 *
 *	At most WWH_BAD_RECORDS_MAX unreadable keys of a list are remembered.
 *	Reports of further keys are counted, and one line says that there are
 *	more.
 *
 *	Counters of the process: records.unreadable (reports of a new key or
 *	with a new reason), records.unreadable_now (keys remembered).
 *
 * ORDER OF CALLS
 *	wwh_bad_records_new, any of the others, wwh_bad_records_delete, all
 *	from one thread.
 */

#include <glib.h>

#include "waxwinghollow/counters.h"
#include "waxwinghollow/event_log.h"

#define WWH_BAD_RECORDS_MAX 256

typedef struct {
	const char *list; /* the list's name in log lines */
	wwh_event_log_t *log;
	wwh_counters_t *counters;
} wwh_bad_records_options_t;

typedef struct wwh_bad_records wwh_bad_records_t;

wwh_bad_records_t *
wwh_bad_records_new(const wwh_bad_records_options_t *options);
void wwh_bad_records_delete(wwh_bad_records_t *records);

/* key may hold any bytes but zero; it is escaped in the log. */
void wwh_bad_records_mark_unreadable(wwh_bad_records_t *records,
				     const char *key, const char *reason);
/* Both have no effect on a key that isn't remembered as unreadable. */
void wwh_bad_records_mark_readable(wwh_bad_records_t *records, const char *key);
void wwh_bad_records_mark_removed(wwh_bad_records_t *records, const char *key);
/*
 * Marks each remembered key as removed that isn't in keys: the keys that a full
 * read of the list found unreadable.
 */
void wwh_bad_records_retain(wwh_bad_records_t *records, GHashTable *keys);

#endif
