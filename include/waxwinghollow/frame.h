#ifndef WAXWINGHOLLOW_FRAME_H
#define WAXWINGHOLLOW_FRAME_H

/*
 * NAME
 *	frame - length-prefixed MessagePack between entry processes
 *
 * USE
 *	A frame is 12 bytes of header (magic "WWHF", version, kind, two bytes
 *	of zero, payload length big-endian) and a payload that is exactly one
 *	MessagePack object. A reader is fed the bytes of one connection as
 *	they come and hands on whole frames.
 *
 *	Anything else that reaches the port (a scanner, another release, a
 *	broken peer) must be harmless: a reader refuses at the first byte that
 *	can't belong to a frame, holds no more than the bytes that did arrive,
 *	and checks the payload's declared lengths before anyone unpacks it.
 *	After a refusal it refuses everything; the connection is to be closed.
 *
 * ORDER OF CALLS
 *	wwh_frame_reader_new, wwh_frame_reader_feed any number of times,
 *	wwh_frame_reader_delete. wwh_frame_write at any time.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "waxwinghollow/status.h"

#define WWH_FRAME_VERSION 1
#define WWH_FRAME_HEADER_BYTES 12
#define WWH_FRAME_PAYLOAD_MAX (1024 * 1024)
#define WWH_FRAME_DEPTH_MAX 8

typedef enum {
	WWH_FRAME_HELLO = 0, /* the first on each connection */
	WWH_FRAME_GOSSIP,
	WWH_FRAME_CONFIG, /* newest configuration, see membership.h */
	WWH_FRAME_LOAN, /* see loan.h */
	WWH_FRAME_STATE_REQUEST,
	WWH_FRAME_STATE_PART,
	WWH_FRAME_VOTE_REQUEST, /* see seat.h */
	WWH_FRAME_VOTE_ANSWER,
	WWH_FRAME_DRAIN, /* requests in progress on workers that are out */
	WWH_FRAME_KIND_COUNT
} wwh_frame_kind_t;

/* Names of wwh_frame_kind_t, in the same order. */
extern const char *const wwh_frame_kind_names[WWH_FRAME_KIND_COUNT];

typedef enum {
	WWH_FRAME_NO_FAULT = 0,
	WWH_FRAME_FOREIGN, /* no frame of ours */
	WWH_FRAME_OTHER_VERSION,
	WWH_FRAME_UNKNOWN_KIND,
	WWH_FRAME_TOO_LARGE,
	WWH_FRAME_BAD_PAYLOAD,
	WWH_FRAME_FAULT_COUNT
} wwh_frame_fault_t;

/* Names of wwh_frame_fault_t, in the same order. */
extern const char *const wwh_frame_fault_names[WWH_FRAME_FAULT_COUNT];

/* payload lives only during the call. Returns false to refuse the rest. */
typedef bool (*wwh_frame_visit_t)(wwh_frame_kind_t kind, const uint8_t *payload,
				  size_t size, void *client_data);

typedef struct wwh_frame_reader wwh_frame_reader_t;

/* max_payload: at most WWH_FRAME_PAYLOAD_MAX. */
wwh_frame_reader_t *wwh_frame_reader_new(size_t max_payload);
void wwh_frame_reader_delete(wwh_frame_reader_t *reader);

/* BAD_INPUT: refused, see wwh_frame_reader_fault. */
wwh_status_t wwh_frame_reader_feed(wwh_frame_reader_t *reader,
				   const uint8_t *data, size_t size,
				   wwh_frame_visit_t visit, void *client_data);

/* FINE after a refusal means that visit returned false. */
wwh_frame_fault_t wwh_frame_reader_fault(const wwh_frame_reader_t *reader);

/* Bytes held for a frame that isn't whole. */
size_t wwh_frame_reader_buffered_bytes(const wwh_frame_reader_t *reader);

/* Appends one frame to out. LIMIT: the payload is too large. */
wwh_status_t wwh_frame_write(GByteArray *out, wwh_frame_kind_t kind,
			     const uint8_t *payload, size_t size);

#endif
