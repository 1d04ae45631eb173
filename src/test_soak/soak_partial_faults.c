/*
 * Links that are cut for some processes only: the successor of a holder may
 * reach an upstream that the holder can't, and the other way round.
 */
#include "soak.h"

#define STUTTER_FROZEN_MS 650
#define STUTTER_INTERVAL_MS 720

static soak_link_t draw_link(void)
{
	static const soak_link_t links[] = {
		SOAK_LINK_SILENT,
		SOAK_LINK_ANSWERS_HELD,
		SOAK_LINK_RESET,
	};

	return links[soak_draw(0, G_N_ELEMENTS(links))];
}

static void cut(soak_upstream_t *upstream, soak_callers_t callers,
		int32_t duration_ms)
{
	soak_link_t link = draw_link();
	int64_t token = soak_store_holder_token();

	soak_record("link of %s to %s %" G_GINT64_FORMAT ": %s", upstream->id,
		    soak_callers_names[callers], token, soak_link_names[link]);
	soak_proxy_set_link_for(upstream->proxy, link, callers, token);
	soak_after(duration_ms, soak_proxy_restore, upstream->proxy);
}

/* An eighth of the upstreams, each for the present or for later holders. */
void soak_cut_some_callers(void)
{
	int32_t count = soak_draw(1, 2 + soak.options.upstreams / 8);

	for (int32_t i = 0; i < count; i++)
		cut(soak_draw_upstream(),
		    soak_draw(0, 2) == 0 ? SOAK_CALLERS_EARLIER
					 : SOAK_CALLERS_LATER,
		    soak_draw(500, 6500));
}

/* Until another one holds, the holder can't learn of it from the store. */
static void isolate_from_store(soak_process_t *holder)
{
	soak_link_t link = soak_draw(0, 2) == 0 ? SOAK_LINK_SILENT
						: SOAK_LINK_ANSWERS_HELD;

	soak_record("link of %s to the store: %s", holder->node,
		    soak_link_names[link]);
	soak_proxy_set_link(holder->store_proxy, link);
	soak_after(soak_draw(2500, 8000), soak_proxy_restore,
		   holder->store_proxy);
}

static void freeze_briefly(void *data)
{
	soak_freeze_process(data, STUTTER_FROZEN_MS);
}

/* It misses the limits of those that call it, and calls others all the while. */
static void stutter(soak_process_t *process)
{
	int32_t times = soak_draw(4, 10);

	for (int32_t i = 0; i < times; i++)
		soak_after(i * STUTTER_INTERVAL_MS, freeze_briefly, process);
}

/*
 * Another one holds, and doesn't reach some upstreams that the holder reaches,
 * for longer than the leases last that the holder may still extend.
 */
void soak_overtake_holder(void)
{
	soak_process_t *holder = soak_process_holder();
	int32_t share = soak_draw(1, 5);

	if (holder == NULL)
		return;
	if (soak_draw(0, 3) == 0) {
		soak_freeze_process(holder, soak_draw(500, 4000));
	} else {
		stutter(holder);
		isolate_from_store(holder);
	}
	for (int32_t i = 0; i < soak.options.upstreams; i++) {
		if (soak_draw(0, 4) < share)
			cut(&soak.upstreams[i], SOAK_CALLERS_LATER,
			    soak_draw(SOAK_LEASE_MAX_MS + 2000,
				      2 * SOAK_LEASE_MAX_MS));
	}
}
