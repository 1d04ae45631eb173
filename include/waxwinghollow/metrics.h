#ifndef WAXWINGHOLLOW_METRICS_H
#define WAXWINGHOLLOW_METRICS_H

/*
 * NAME
 *	metrics - text exposition of all counters and histograms of a process
 *
 * USE
 *	The output has the text exposition format that monitoring systems
 *	read: a "# TYPE" line for each metric and its samples. A name is
 *	"waxwinghollow_" and the counter's name with '_' in place of all but
 *	letters and digits. Counters and gauges share one registry and are
 *	exposed as untyped; histograms have cumulative buckets in
 *	milliseconds, a sum and a count. docs/OPERATIONS.md describes each
 *	metric.
 */

#include <glib.h>

#include "waxwinghollow/counters.h"

/* Appends the exposition of counters to text. */
void wwh_metrics_text(wwh_counters_t *counters, GString *text);

#endif
