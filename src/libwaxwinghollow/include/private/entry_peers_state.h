#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_PEERS_STATE_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_PEERS_STATE_H

/*
 * Private state shared by entry_peers.c (membership, states of minions) and
 * entry_exchange.c (votes, loans, requests in progress, configuration).
 */

#include "private/entry_peers.h"
#include "private/peer_message.h"
#include "waxwinghollow/config_relay.h"
#include "waxwinghollow/peer.h"

struct wwh_entry_peers {
	wwh_entry_t *entry;
	wwh_peer_t *peer;
	/* protects membership, leaving, the tables of minions and stopping */
	GMutex lock;
	wwh_membership_t *membership;
	wwh_leaving_t *leaving;
	GRand *random;
	/* protects relay and relayed_version; locked before state_lock */
	GMutex relay_lock;
	wwh_config_relay_t *relay;
	int64_t relayed_version;
	/* id to the state last passed to the request table */
	GHashTable *minion_states;
	/* set of minions that the platform lists as gone */
	GHashTable *gone_minions;
	/* the same, for the list that is being read */
	GHashTable *next_gone_minions;
	/* set of all minions of the list that is being read */
	GHashTable *next_listed_minions;
	int64_t next_leaving_ms;
	int64_t next_drain_ms;
	int64_t next_loan_ms;
	bool stopping;
	GThread *thread;
	wwh_counter_t *config_fetched;
	wwh_counter_t *leaving_count;
};

/* An alive member of the same region, and the address it listens on. */
typedef struct {
	uint64_t process;
	char *address;
} wwh_peer_target_t;

/* The alive and suspect members of the same region, as wwh_peer_target_t *. */
GPtrArray *wwh_peers_alive(wwh_entry_peers_t *peers);

/* Sends nothing if bytes is NULL. */
void wwh_peers_send(wwh_entry_peers_t *peers, const char *address,
		    wwh_frame_kind_t kind, GBytes *bytes);

/* Handlers of frames from other processes. */
void wwh_peers_handle_vote_request(wwh_entry_peers_t *peers, const char *from,
				   const uint8_t *payload, size_t size);
void wwh_peers_handle_vote(wwh_entry_peers_t *peers, const uint8_t *payload,
			   size_t size);
void wwh_peers_handle_loans(wwh_entry_peers_t *peers, const uint8_t *payload,
			    size_t size);
void wwh_peers_handle_drains(wwh_entry_peers_t *peers, const uint8_t *payload,
			     size_t size);

/* Each sends this process's own data if its period has passed. */
void wwh_peers_send_loans(wwh_entry_peers_t *peers, int64_t now_ms);
void wwh_peers_send_drains(wwh_entry_peers_t *peers, int64_t now_ms);
void wwh_peers_relay_config(wwh_entry_peers_t *peers, int64_t now_ms);
void wwh_peers_relay_open(wwh_entry_peers_t *peers);

#endif
