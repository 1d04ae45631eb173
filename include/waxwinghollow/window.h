#ifndef WAXWINGHOLLOW_WINDOW_H
#define WAXWINGHOLLOW_WINDOW_H

/*
 * NAME
 *	window - when waves may run
 *
 * USE
 *	A worker is taken out only while a window of its pool is open. Work
 *	that was begun in a window is finished after it: a worker left half
 *	way would cost its pool capacity until the next one. A pool for which
 *	no window is given is always open.
 *
 * ORDER OF CALLS
 *	None: all calls are functions of their arguments.
 */

#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/config.h"

/* now_ms is the time since 1970-01-01 in UTC. */
bool wwh_window_is_open(const wwh_window_t *windows, int32_t count,
			const char *pool, int64_t now_ms);

/*
 * The time at which work_ms of open time have passed since start_ms; -1 when
 * that takes more than a year.
 */
int64_t wwh_window_end_of_work(const wwh_window_t *windows, int32_t count,
			       const char *pool, int64_t start_ms,
			       int64_t work_ms);

#endif
