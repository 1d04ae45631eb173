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
 *	send to an address and closed after it was idle for idle_ms.
 *
 *	Delivery is not reliable: a frame that can't be sent within stall_ms
 *	is dropped with its connection, and counted. Only messages whose loss
 *	later messages make up for, such as gossip, may be sent this way.
 *
 *	The number of connections, the bytes queued on each connection and the
 *	bytes buffered of an incomplete frame are bounded. A connection whose
 *	other end no longer responds is closed after stall_ms by
 *	TCP_USER_TIMEOUT if bytes are unacknowledged, and otherwise after
 *	idle_ms.
 *
 *	The first frame on a connection names the cluster and the sender. A
 *	connection from another cluster is rejected, so that a test system
 *	with a wrong address can't take part.
 *
 *	Addresses are numeric: "IP:port" or "[IPv6]:port".
 *
 * ORDER OF CALLS
 *	wwh_peer_new, wwh_peer_init (listens, starts the thread), any calls
 *	from any thread, wwh_peer_finish, wwh_peer_delete. The peer's thread
 *	calls on_frame, which may call wwh_peer_send.
 */

#include <stdint.h>

#include "waxwinghollow/counters.h"
#include "waxwinghollow/frame.h"

#define WWH_PEER_ID_BYTES_MAX 128

/* from_address is the address on which the sender listens. */
typedef void (*wwh_peer_frame_t)(const char *from_id, const char *from_address,
				 wwh_frame_kind_t kind, const uint8_t *payload,
				 size_t size, void *client_data);

typedef struct {
	const char *cluster;
	const char *id; /* of this process, sent to its peers */
	const char *listen;
	int32_t max_connections; /* inbound and outbound each */
	size_t max_payload;
	size_t max_waiting_bytes; /* in the send queue of one connection */
	int32_t stall_ms; /* timeout while data waits to be sent or received */
	int32_t idle_ms; /* timeout of a connection without traffic */
	wwh_counters_t *counters; /* for "peer.*"; may be NULL */
	wwh_peer_frame_t on_frame;
	void *client_data;
} wwh_peer_options_t;

typedef struct wwh_peer wwh_peer_t;

void wwh_peer_options_defaults(wwh_peer_options_t *options);

wwh_peer_t *wwh_peer_new(const wwh_peer_options_t *options);
wwh_status_t wwh_peer_init(wwh_peer_t *peer, wwh_message_t *message);
/* Stops the thread. Frames that are still queued are not sent. */
void wwh_peer_finish(wwh_peer_t *peer);
void wwh_peer_delete(wwh_peer_t *peer);

/* The address on which this process listens. */
const char *wwh_peer_address(const wwh_peer_t *peer);

/*
 * Queues a frame; its payload is one MessagePack object. Returns LIMIT if the
 * connection's queue is full or too many connections are open, and BAD_INPUT
 * if the address is invalid or connecting fails at once.
 */
wwh_status_t wwh_peer_send(wwh_peer_t *peer, const char *address,
			   wwh_frame_kind_t kind, const uint8_t *payload,
			   size_t size);

#endif
