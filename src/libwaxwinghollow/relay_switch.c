#include "waxwinghollow/relay_switch.h"

#include <glib.h>

#define PERMILLE 1000
#define MILLISECOND_US 1000

struct wwh_relay_switch {
	wwh_relay_switch_options_t options;
	bool on;
	int64_t elapsed_us; /* in the current window, as the next two */
	int64_t busy_us;
	int64_t relayed;
	int32_t permille;
	int32_t low_windows;
};

static bool close_window(wwh_relay_switch_t *relay_switch);

wwh_relay_switch_options_t wwh_relay_switch_options_defaults(void)
{
	/*
	 * A holder on half a core uses a fifth of its share on average and two
	 * thirds of it in short peaks of a normal day. A direct order costs
	 * some .2 ms more than a relayed one. Off only after five quiet
	 * seconds: peaks alternate within some seconds.
	 */
	wwh_relay_switch_options_t options = {
		.cpu_permille = PERMILLE,
		.direct_cost_us = 150,
		.window_ms = 500,
		.on_permille = 700,
		.off_permille = 350,
		.off_windows = 10,
	};

	return options;
}

wwh_relay_switch_t *
wwh_relay_switch_new(const wwh_relay_switch_options_t *options)
{
	wwh_relay_switch_t *relay_switch = g_new0(wwh_relay_switch_t, 1);

	relay_switch->options = *options;
	return relay_switch;
}

void wwh_relay_switch_delete(wwh_relay_switch_t *relay_switch)
{
	g_free(relay_switch);
}

bool wwh_relay_switch_add(wwh_relay_switch_t *relay_switch, int64_t elapsed_us,
			  int64_t busy_us, int64_t relayed)
{
	relay_switch->elapsed_us += MAX(elapsed_us, 0);
	relay_switch->busy_us += MAX(busy_us, 0);
	relay_switch->relayed += MAX(relayed, 0);
	if (relay_switch->elapsed_us <
	    relay_switch->options.window_ms * MILLISECOND_US)
		return false;
	return close_window(relay_switch);
}

bool wwh_relay_switch_is_on(const wwh_relay_switch_t *relay_switch)
{
	return relay_switch->on;
}

int32_t wwh_relay_switch_permille(const wwh_relay_switch_t *relay_switch)
{
	return relay_switch->permille;
}

static bool close_window(wwh_relay_switch_t *relay_switch)
{
	const wwh_relay_switch_options_t *options = &relay_switch->options;
	int64_t available_us = MAX(
		relay_switch->elapsed_us * options->cpu_permille / PERMILLE, 1);
	int64_t needed_us = relay_switch->busy_us +
			    relay_switch->relayed * options->direct_cost_us;
	bool was_on = relay_switch->on;

	relay_switch->permille =
		(int32_t)MIN(needed_us * PERMILLE / available_us, INT32_MAX);
	relay_switch->elapsed_us = 0;
	relay_switch->busy_us = 0;
	relay_switch->relayed = 0;
	if (relay_switch->permille < options->off_permille)
		relay_switch->low_windows++;
	else
		relay_switch->low_windows = 0;
	if (relay_switch->permille >= options->on_permille)
		relay_switch->on = true;
	else if (relay_switch->low_windows >= options->off_windows)
		relay_switch->on = false;
	return relay_switch->on != was_on;
}
