#ifndef WAXWINGHOLLOW_RELAY_SWITCH_H
#define WAXWINGHOLLOW_RELAY_SWITCH_H

/*
 * NAME
 *	relay_switch - decides whether the holder relays its orders
 *
 * USE
 *	The owner reports for each iteration of the event loop how long it took,
 *	how much processor time it used and how many orders it relayed. The
 *	switch computes the share of the available processor time that the loop
 *	would use without relays. It turns relaying on when that share has been
 *	high for a window, and off when it has been low for several. Without
 *	the estimate it would turn relaying off as soon as it takes effect. Does
 *	no input or output.
 *
 * LOAD
 *	Peaks in which calls to upstreams use up the holder's share of a core.
 *	At other times orders are sent directly.
 *
 * ORDER OF CALLS
 *	wwh_relay_switch_new; wwh_relay_switch_add after each iteration;
 *	wwh_relay_switch_is_on at any time; wwh_relay_switch_delete.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	int64_t cpu_permille; /* share of a core that the process may use */
	int64_t direct_cost_us; /* of one order, above that of a relayed one */
	int64_t window_ms;
	int32_t on_permille; /* of the share of a core */
	int32_t off_permille;
	int32_t off_windows; /* consecutive ones below off_permille */
} wwh_relay_switch_options_t;

typedef struct wwh_relay_switch wwh_relay_switch_t;

wwh_relay_switch_options_t wwh_relay_switch_options_defaults(void);
wwh_relay_switch_t *
wwh_relay_switch_new(const wwh_relay_switch_options_t *options);
void wwh_relay_switch_delete(wwh_relay_switch_t *relay_switch);

/* Returns whether the state has changed. */
bool wwh_relay_switch_add(wwh_relay_switch_t *relay_switch, int64_t elapsed_us,
			  int64_t busy_us, int64_t relayed);
bool wwh_relay_switch_is_on(const wwh_relay_switch_t *relay_switch);

/* The share in the latest complete window, as it would be without relays. */
int32_t wwh_relay_switch_permille(const wwh_relay_switch_t *relay_switch);

#endif
