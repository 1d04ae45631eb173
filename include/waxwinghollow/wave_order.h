#ifndef WAXWINGHOLLOW_WAVE_ORDER_H
#define WAXWINGHOLLOW_WAVE_ORDER_H

/*
 * NAME
 *	wave_order - an operator's request for maintenance of a list of hosts
 *
 * ORDER OF CALLS
 *	wwh_wave_order_new, then the caller fills in the fields, then
 *	wwh_wave_order_delete.
 */

#include <glib.h>
#include <stdint.h>

typedef struct {
	int64_t number;
	GPtrArray *hosts; /* char *, owned */
	int64_t duration_ms; /* time limit for all hosts together */
	int32_t max_down; /* hosts down at once */
} wwh_wave_order_t;

wwh_wave_order_t *wwh_wave_order_new(int64_t number);
void wwh_wave_order_delete(wwh_wave_order_t *order);

#endif
