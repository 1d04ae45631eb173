#ifndef WAXWINGHOLLOW_PRIVATE_RELAY_TRANSPORT_STATE_H
#define WAXWINGHOLLOW_PRIVATE_RELAY_TRANSPORT_STATE_H

/*
 * State that the files of relay_transport share: relay_transport.c sends
 * orders, relay_transport_load.c decides with which load, and reports.
 */

#include "waxwinghollow/relay_transport.h"

struct wwh_relay_transport {
	wwh_relay_transport_options_t options;
	char *self;
	int32_t references; /* the owner's, and one per exchange */
	bool deleted;
	bool fenced; /* on_fenced was called */
	wwh_relay_assign_t *assign;
	wwh_relay_switch_t *load;
	GHashTable *peers; /* address to peer_t */
	int64_t window_us; /* in which window_orders were relayed */
	int64_t window_orders;
	int64_t relayed; /* since the last wwh_relay_transport_add_load */
	wwh_counter_t *orders;
	wwh_counter_t *direct; /* while the switch was on */
	wwh_counter_t *batches;
	wwh_counter_t *unanswered;
	wwh_counter_t *lost;
	wwh_histogram_t *held_ms;
};

/* A process that is or was a relay. */
typedef struct {
	wwh_relay_transport_t *transport;
	char *address;
	wwh_relay_queue_t *queue;
	int32_t exchanges; /* calls to it in progress */
	bool batch_in_flight;
	bool request_in_flight;
} peer_t;

#endif
