#ifndef WAXWINGHOLLOW_PEER_H
#define WAXWINGHOLLOW_PEER_H

/*
 * NAME
 *	peer - frames to and from other entry processes over TCP
 *
 * USE
 *	One thread serves a listener and all connections with poll. Frames go
 *	one way on a connection: a process sends on connections that it opened
 *	and receives on those that it accepted, so there is at most one of
 *	each kind between two processes. A connection is opened at the first
 *	send to an address and closed when it was idle for idle_ms.
 *
 *	Nothing here is reliable: a frame that can't be sent in stall_ms is
 *	dropped with its connection, and counted. What is sent must be of the
 *	kind that later frames make up for, as gossip is.
 *
 *	Everything is bounded: connections, bytes waiting a connection, bytes
 *	held of a frame that isn't whole. A connection that goes silent for
 *	good is given up after stall_ms by TCP_USER_TIMEOUT when bytes are
 *	unacknowledged, after idle_ms when there are none.
 *
 *	The first frame on a connection names the cluster and the sender. One
 *	of another cluster is refused, so that a test system that was given a
 *	wrong address can't mix in.
 *
 *	Addresses are "IP:port" or "[IPv6]:port" numbers.
 *
 * ORDER OF CALLS
 *	wwh_peer_new, wwh_peer_init (listens, starts the thread), any calls
 *	from any thread, wwh_peer_finish, wwh_peer_delete. on_frame is called
 *	by the thread; it may call wwh_peer_send.
 */

#include <stdint.h>

#include "waxwinghollow/counters.h"
#include "waxwinghollow/frame.h"

#define WWH_PEER_ID_BYTES_MAX 128

/* from is the address at which the sender listens. */
typedef void (*wwh_peer_frame_t)(const char *from_id, const char *from,
				 wwh_frame_kind_t kind, const uint8_t *payload,
				 size_t size, void *client_data);

typedef struct {
	const char *cluster;
	const char *id; /* of this process */
	const char *listen;
	int32_t max_connections; /* of each direction */
	size_t max_payload;
	size_t max_waiting_bytes; /* to be sent on one connection */
	int32_t stall_ms;
	int32_t idle_ms;
	wwh_counters_t *counters; /* "peer.*"; may be NULL */
	wwh_peer_frame_t on_frame;
	void *client_data;
} wwh_peer_options_t;

typedef struct wwh_peer wwh_peer_t;

void wwh_peer_options_defaults(wwh_peer_options_t *options);

wwh_peer_t *wwh_peer_new(const wwh_peer_options_t *options);
wwh_status_t wwh_peer_init(wwh_peer_t *peer, wwh_message_t *message);
/* Drops what waits to be sent. */
void wwh_peer_finish(wwh_peer_t *peer);
void wwh_peer_delete(wwh_peer_t *peer);

/* The address that is listened on. */
const char *wwh_peer_address(const wwh_peer_t *peer);

/*
 * OK: queued. LIMIT: too much waits for that address, or too many
 * connections. BAD_INPUT: no address. The payload is one MessagePack object.
 */
wwh_status_t wwh_peer_send(wwh_peer_t *peer, const char *address,
			   wwh_frame_kind_t kind, const uint8_t *payload,
			   size_t size);

#endif
