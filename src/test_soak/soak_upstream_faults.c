/*
 * Upstreams that run on at another address, that answer late, badly or not at
 * all, or that are cut off together.
 */
#include "soak_upstream.h"

#define DISORDER_MAX_MS 4000
#define CUT_MAX_MS 8000
#define SLOW_CLOCK_MAX_PERMILLE 20

static void restore_order(void *data)
{
	soak_upstream_t *upstream = data;

	upstream->disorder = SOAK_UPSTREAM_SOUND;
}

static void begin_disorder(soak_disorder_t disorder)
{
	int32_t count = soak_draw(1, 2 + soak.options.upstreams / 8);

	for (int32_t i = 0; i < count; i++) {
		soak_upstream_t *upstream = soak_draw_upstream();

		soak_record("upstream %s %s", upstream->id,
			    soak_disorder_names[disorder]);
		upstream->disorder = disorder;
		soak_after(soak_draw(500, DISORDER_MAX_MS), restore_order,
			   upstream);
	}
}

void soak_hang_upstreams(void)
{
	begin_disorder(SOAK_UPSTREAM_HANGS);
}

void soak_reject_at_upstreams(void)
{
	begin_disorder(SOAK_UPSTREAM_REJECTS);
}

void soak_slow_upstreams(void)
{
	begin_disorder(SOAK_UPSTREAM_SLOW);
}

/* By up to as much as the page allows. */
void soak_slow_clocks(void)
{
	int32_t count = soak_draw(1, 2 + soak.options.upstreams / 4);

	for (int32_t i = 0; i < count; i++) {
		soak_upstream_t *upstream = soak_draw_upstream();
		int32_t permille = soak_draw(0, SLOW_CLOCK_MAX_PERMILLE + 1);

		soak_record("clock of %s is %d permille slow", upstream->id,
			    permille);
		soak_upstream_slow_clock(upstream, permille);
	}
}

/* The longer ones outlast their leases. */
void soak_halt_upstreams(void)
{
	int32_t count = soak_draw(1, 2 + soak.options.upstreams / 8);

	for (int32_t i = 0; i < count; i++)
		soak_upstream_halt(soak_draw_upstream(),
				   soak_draw(500, CUT_MAX_MS));
}

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

/* From the processes and from the store; they run on. */
static void cut_off(int32_t first, int32_t last)
{
	int32_t duration_ms = soak_draw(500, CUT_MAX_MS);

	soak_record("upstreams %d to %d are cut off for %d ms", first, last,
		    duration_ms);
	for (int32_t i = first; i <= last; i++) {
		soak_upstream_t *upstream = &soak.upstreams[i];

		soak_upstream_isolate(upstream, duration_ms);
		soak_proxy_set_link(upstream->proxy, SOAK_LINK_SILENT);
		soak_after(duration_ms, soak_proxy_restore, upstream->proxy);
	}
}

void soak_cut_rack(void)
{
	const soak_upstream_t *upstream = soak_draw_upstream();
	int32_t first = upstream->index;
	int32_t last = upstream->index;

	while (first > 0 && soak_upstream_rack(&soak.upstreams[first - 1]) ==
				    soak_upstream_rack(upstream))
		first--;
	while (last + 1 < soak.options.upstreams &&
	       soak_upstream_rack(&soak.upstreams[last + 1]) ==
		       soak_upstream_rack(upstream))
		last++;
	cut_off(first, last);
}

void soak_cut_all_upstreams(void)
{
	cut_off(0, soak.options.upstreams - 1);
}
