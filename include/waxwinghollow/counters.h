#ifndef WAXWINGHOLLOW_COUNTERS_H
#define WAXWINGHOLLOW_COUNTERS_H

/*
 * NAME
 *	counters - named counters, gauges and histograms of one process
 *
 * USE
 *	A module looks its counter up once and keeps the pointer; adding is
 *	one atomic instruction. Names are dotted and end in their unit where
 *	they have one ("log.append_bytes"). The operator listener prints all
 *	of them, sorted by name.
 *
 * ORDER OF CALLS
 *	wwh_counters_new, any number of wwh_counters_get and wwh_counter_*
 *	from any thread, wwh_counters_delete after the last use of a pointer.
 */

#include <stdatomic.h>
#include <stdint.h>

#include "waxwinghollow/histogram.h"

typedef struct wwh_counters wwh_counters_t;

typedef struct {
	_Atomic int64_t value;
} wwh_counter_t;

typedef void (*wwh_counter_visit_t)(const char *name, int64_t value,
				    void *client_data);

wwh_counters_t *wwh_counters_new(void);
void wwh_counters_delete(wwh_counters_t *counters);

/* Returns the counter of that name, which is created at first use. */
wwh_counter_t *wwh_counters_get(wwh_counters_t *counters, const char *name);

/* Calls visit for every counter, sorted by name, with the lock held. */
void wwh_counters_each(wwh_counters_t *counters, wwh_counter_visit_t visit,
		       void *client_data);

/*
 * The same two functions for histograms. Counters and histograms have separate
 * name spaces.
 */
wwh_histogram_t *wwh_counters_histogram(wwh_counters_t *counters,
					const char *name);

typedef void (*wwh_histogram_visit_t)(const char *name,
				      wwh_histogram_t *histogram,
				      void *client_data);

void wwh_counters_each_histogram(wwh_counters_t *counters,
				 wwh_histogram_visit_t visit,
				 void *client_data);

void wwh_counter_add(wwh_counter_t *counter, int64_t amount);
void wwh_counter_set(wwh_counter_t *counter, int64_t value);
int64_t wwh_counter_value(wwh_counter_t *counter);

#endif
