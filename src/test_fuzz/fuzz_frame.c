/*
 * Bytes of a connection, cut in pieces. The first byte chooses how; a third
 * of the inputs have a fine header put before them, so that payloads are
 * reached. A reader must hold no more than what came, and hand on only whole
 * objects within the bounds.
 */

#include <assert.h>
#include <msgpack.h>

#include "../libwaxwinghollow/include/private/peer_hello.h"
#include "waxwinghollow/frame.h"

#define MAX_PAYLOAD 512

static bool on_frame(wwh_frame_kind_t kind, const uint8_t *payload, size_t size,
		     void *client_data)
{
	msgpack_unpacked unpacked;
	size_t at = 0;
	char *id;
	char *address;

	(void)client_data;
	assert(kind < WWH_FRAME_KIND_COUNT);
	assert(size > 0 && size <= MAX_PAYLOAD);
	msgpack_unpacked_init(&unpacked);
	assert(msgpack_unpack_next(&unpacked, (const char *)payload, size,
				   &at) == MSGPACK_UNPACK_SUCCESS);
	assert(at == size);
	msgpack_unpacked_destroy(&unpacked);
	if (wwh_peer_hello_read(payload, size, "c", &id, &address)) {
		g_free(id);
		g_free(address);
	}
	return true;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	wwh_frame_reader_t *reader = wwh_frame_reader_new(MAX_PAYLOAD);
	uint8_t header[WWH_FRAME_HEADER_BYTES] = { 'W', 'W', 'H', 'F', 1, 1 };
	size_t piece;

	if (size < 2)
		goto end;
	piece = 1 + data[0] / 3;
	if (data[0] % 3 == 0) {
		header[10] = (uint8_t)((size - 1) >> 8);
		header[11] = (uint8_t)(size - 1);
		wwh_frame_reader_feed(reader, header, sizeof(header), on_frame,
				      NULL);
	}
	for (size_t at = 1; at < size; at += piece) {
		wwh_frame_reader_feed(reader, data + at, MIN(piece, size - at),
				      on_frame, NULL);
		assert(wwh_frame_reader_buffered_bytes(reader) <=
		       MIN(MAX_PAYLOAD + WWH_FRAME_HEADER_BYTES,
			   size + sizeof(header)));
	}
end:
	wwh_frame_reader_delete(reader);
	return 0;
}
