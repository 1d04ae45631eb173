#ifndef WAXWINGHOLLOW_RELAY_ASSIGN_H
#define WAXWINGHOLLOW_RELAY_ASSIGN_H

/*
 * NAME
 *	relay_assign - assigns each upstream endpoint to one of the live relays
 *
 * USE
 *	Relays are processes on entry hosts that make calls to upstreams for the
 *	holder of the shard. Each reports itself periodically; one that hasn't
 *	done so for ttl_ms, or was blocked after a failure, isn't used. Only as
 *	many relays are used at a time as have the processor time that is needed,
 *	those with the largest shares first: orders are sent in batches, and
 *	spread over all hosts a batch would hold one order. A relay in use stays
 *	in use while it is alive and anything is needed.
 *
 *	Endpoints are assigned by weighted rendezvous hashing. When a relay
 *	leaves, only its endpoints are reassigned; a relay that joins receives
 *	its share of them from each of the others. Does no input or output.
 *
 * LOAD
 *	A holder that sends some thousand orders per second to some thousand
 *	upstreams, while most of the processor time of the other hosts is idle.
 *
 * ORDER OF CALLS
 *	wwh_relay_assign_new; wwh_relay_assign_report for each report of a relay;
 *	wwh_relay_assign_block; wwh_relay_assign_run before
 *	wwh_relay_assign_choose; wwh_relay_assign_delete.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	int32_t max_relays; /* known at once; further reports are ignored */
	int32_t min_active; /* so that the loss of one doesn't stop all orders */
	int32_t max_active;
	int64_t ttl_ms;
} wwh_relay_assign_options_t;

typedef struct wwh_relay_assign wwh_relay_assign_t;

/* Called for each known relay in the order of addresses. */
typedef void (*wwh_relay_assign_visit_t)(const char *address, bool active,
					 int64_t weight, void *client_data);

wwh_relay_assign_options_t wwh_relay_assign_options_defaults(void);
wwh_relay_assign_t *
wwh_relay_assign_new(const wwh_relay_assign_options_t *options);
void wwh_relay_assign_delete(wwh_relay_assign_t *assign);

/*
 * Adds a relay or renews it. weight: its share of a processor in permille.
 * Returns false if the report is ignored.
 */
bool wwh_relay_assign_report(wwh_relay_assign_t *assign, const char *address,
			     int64_t weight, int64_t now_ms);

/* A relay that failed gets no endpoints before until_ms. */
void wwh_relay_assign_block(wwh_relay_assign_t *assign, const char *address,
			    int64_t until_ms);

/*
 * The processor time that relays need at present, in permille of a core. 0:
 * relays above min_active are no longer used.
 */
void wwh_relay_assign_need(wwh_relay_assign_t *assign, int64_t permille);

/* Removes relays whose reports have stopped and fills the active set. */
void wwh_relay_assign_run(wwh_relay_assign_t *assign, int64_t now_ms);

/*
 * Returns the relay of an endpoint, or NULL if there is none. Valid until the
 * next call of another function of this module.
 */
const char *wwh_relay_assign_choose(wwh_relay_assign_t *assign,
				    const char *endpoint);

/* Whether a relay has reported itself recently. */
bool wwh_relay_assign_knows(const wwh_relay_assign_t *assign,
			    const char *address);

int32_t wwh_relay_assign_active_count(const wwh_relay_assign_t *assign);
void wwh_relay_assign_visit(const wwh_relay_assign_t *assign,
			    wwh_relay_assign_visit_t visit, void *client_data);

#endif
