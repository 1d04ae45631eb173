#ifndef WAXWINGHOLLOW_WAVE_ORDER_H
#define WAXWINGHOLLOW_WAVE_ORDER_H

/*
 * NAME
 *	wave_order - hosts that an operator wants to have maintained
 *
 * ORDER OF CALLS
 *	wwh_wave_order_new, fields filled in, wwh_wave_order_delete.
 */

#include <glib.h>
#include <stdint.h>

typedef struct {
	int64_t number;
	GPtrArray *hosts; /* char *, owned */
	int64_t duration_ms; /* all of them within this time */
	int32_t max_down; /* at once */
} wwh_wave_order_t;

wwh_wave_order_t *wwh_wave_order_new(int64_t number);
void wwh_wave_order_delete(wwh_wave_order_t *order);

#endif
