#ifndef WAXWINGHOLLOW_METRICS_H
#define WAXWINGHOLLOW_METRICS_H

/*
 * NAME
 *	metrics - all counters and histograms of a process as text
 *
 * USE
 *	The text exposition format that monitoring systems read: for each
 *	metric a "# TYPE" line and its samples. Names are "waxwinghollow_"
 *	and the counter's name with '_' in place of other signs. Counters and
 *	gauges share one registry and are given as untyped; histograms have
 *	cumulative buckets in milliseconds, a sum and a count.
 *	docs/OPERATIONS.md says what each one means.
 */

#include <glib.h>

#include "waxwinghollow/counters.h"

void wwh_metrics_text(wwh_counters_t *counters, GString *text);

#endif
