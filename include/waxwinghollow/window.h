#ifndef WAXWINGHOLLOW_WINDOW_H
#define WAXWINGHOLLOW_WINDOW_H

/*
 * NAME
 *	window - when waves may run
 *
 * USE
 *	A worker is taken out only while a maintenance window of its pool is
 *	open. Work that began in a window continues after the window closes,
 *	because a worker whose maintenance is interrupted would cost its pool
 *	capacity until the next window. A pool without any window is always
 *	open.
 *
 * ORDER OF CALLS
 *	None: the result of each call depends only on its arguments.
 */

#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/config.h"

/* now_ms is UTC, in milliseconds since 1970-01-01. */
bool wwh_window_is_open(const wwh_window_t *windows, int32_t count,
			const char *pool, int64_t now_ms);

/*
 * Returns the time at which the pool's windows have been open for work_ms since
 * start_ms, or -1 if that takes more than a year.
 */
int64_t wwh_window_end_of_work(const wwh_window_t *windows, int32_t count,
			       const char *pool, int64_t start_ms,
			       int64_t work_ms);

#endif
