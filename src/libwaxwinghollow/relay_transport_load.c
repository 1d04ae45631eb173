#include "private/relay_transport_state.h"

/*
 * Processor time of a relay for an order, twice that of bench_relay: it stays
 * at half of its share, as its own callers need the other half.
 */
#define RELAY_COST_US 200
#define PERMILLE 1000

typedef struct {
	const wwh_relay_transport_t *transport;
	GString *out;
} dump_t;

static void update_need(wwh_relay_transport_t *transport, int64_t elapsed_us,
			int64_t relayed);
static void dump_peer(const char *address, bool active, int64_t weight,
		      void *data);

void wwh_relay_transport_add_load(wwh_relay_transport_t *transport,
				  int64_t elapsed_us, int64_t busy_us)
{
	int64_t relayed = transport->relayed;
	bool changed = wwh_relay_switch_add(transport->load, elapsed_us,
					    busy_us, relayed);

	transport->relayed = 0;
	update_need(transport, elapsed_us, relayed);
	if (!changed || transport->options.log == NULL)
		return;
	wwh_event_log_printf(transport->options.log,
			     wwh_relay_switch_is_on(transport->load)
				     ? "relays-on"
				     : "relays-off",
			     "shard", "load_permille=%d relays=%d",
			     wwh_relay_switch_permille(transport->load),
			     wwh_relay_assign_active_count(transport->assign));
}

void wwh_relay_transport_dump(const wwh_relay_transport_t *transport,
			      GString *out)
{
	dump_t context = { transport, out };

	g_string_append_printf(
		out, "relays on=%d load_permille=%d active=%d\n",
		wwh_relay_switch_is_on(transport->load),
		wwh_relay_switch_permille(transport->load),
		wwh_relay_assign_active_count(transport->assign));
	wwh_relay_assign_visit(transport->assign, dump_peer, &context);
}

static void update_need(wwh_relay_transport_t *transport, int64_t elapsed_us,
			int64_t relayed)
{
	transport->window_us += elapsed_us;
	transport->window_orders += relayed;
	if (transport->window_us < G_USEC_PER_SEC)
		return;
	wwh_relay_assign_need(
		transport->assign,
		wwh_relay_switch_is_on(transport->load)
			? 1 + transport->window_orders * RELAY_COST_US *
					  PERMILLE / transport->window_us
			: 0);
	transport->window_us = 0;
	transport->window_orders = 0;
}

static void dump_peer(const char *address, bool active, int64_t weight,
		      void *data)
{
	const dump_t *dump = data;
	const peer_t *peer =
		g_hash_table_lookup(dump->transport->peers, address);

	g_string_append_printf(
		dump->out,
		"relay %s active=%d cpu_permille=%" G_GINT64_FORMAT
		" waiting=%d in_flight=%d\n",
		address, active, weight,
		peer == NULL ? 0 : wwh_relay_queue_waiting(peer->queue),
		peer == NULL ? 0 : wwh_relay_queue_in_flight(peer->queue));
}
