/* Upstreams that run on at another address. */
#include "soak.h"

#define CUT_MAX_MS 8000

/*
 * The former one runs on. It is cut off with its connections, or it drains and
 * may keep them.
 */
void soak_move_addresses(void)
{
	soak_upstream_t *former = soak_draw_upstream();
	bool drains = soak_draw(0, 2) == 0;

	if (!former->up)
		return;
	if (drains)
		soak_upstream_drain(former);
	else
		soak_upstream_isolate(former, soak_draw(500, CUT_MAX_MS));
	soak_upstream_take_address(soak_draw_upstream(), former,
				   !drains || soak_draw(0, 2) == 0);
}
