#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_PEERS_STATE_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_PEERS_STATE_H

/*
 * What entry_peers.c (who is there, which minions leave) and entry_exchange.c
 * (votes, loans, requests in progress, configuration) share.
 */

#include "private/entry_peers.h"
#include "private/peer_message.h"
#include "waxwinghollow/config_relay.h"
#include "waxwinghollow/peer.h"

struct wwh_entry_peers {
	wwh_entry_t *entry;
	wwh_peer_t *peer;
	GMutex lock; /* membership, leaving and minion_states */
	wwh_membership_t *membership;
	wwh_leaving_t *leaving;
	GRand *random;
	GMutex relay_lock; /* relay and relayed_version; before state_lock */
	wwh_config_relay_t *relay;
	int64_t relayed_version;
	GHashTable *minion_states; /* id to the state told last */
	GHashTable *gone; /* set of minions that the list calls gone */
	GHashTable *gone_next; /* the same, of the list that is being read */
	GHashTable *listed_next; /* all minions of that list */
	int64_t next_leaving_ms;
	int64_t next_drain_ms;
	int64_t next_loan_ms;
	bool stopping; /* under lock */
	GThread *thread;
	wwh_counter_t *config_fetched;
	wwh_counter_t *leaving_count;
};

/* Where an alive member of the same region is reached. */
typedef struct {
	uint64_t process;
	char *address;
} wwh_peer_target_t;

/* Alive members of the same region, of wwh_peer_target_t. */
GPtrArray *wwh_peers_alive(wwh_entry_peers_t *peers);

/* bytes may be NULL: then nothing is sent. */
void wwh_peers_send(wwh_entry_peers_t *peers, const char *address,
		    wwh_frame_kind_t kind, GBytes *bytes);

/* Frames of the others. */
void wwh_peers_handle_vote_request(wwh_entry_peers_t *peers, const char *from,
				   const uint8_t *payload, size_t size);
void wwh_peers_handle_vote(wwh_entry_peers_t *peers, const uint8_t *payload,
			   size_t size);
void wwh_peers_handle_loans(wwh_entry_peers_t *peers, const uint8_t *payload,
			    size_t size);
void wwh_peers_handle_drains(wwh_entry_peers_t *peers, const uint8_t *payload,
			     size_t size);

/* What this process tells, when it is due. */
void wwh_peers_send_loans(wwh_entry_peers_t *peers, int64_t now_ms);
void wwh_peers_send_drains(wwh_entry_peers_t *peers, int64_t now_ms);
void wwh_peers_relay_config(wwh_entry_peers_t *peers, int64_t now_ms);
void wwh_peers_relay_open(wwh_entry_peers_t *peers);

#endif
