#include "private/peer_hello.h"

#include <msgpack.h>
#include <string.h>

#include "waxwinghollow/peer.h"

#define HELLO_FIELDS 3

static char *read_text(const msgpack_object *object);

void wwh_peer_hello_write(GByteArray *out, const char *cluster, const char *id,
			  const char *address)
{
	const char *const fields[HELLO_FIELDS] = { cluster, id, address };
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, HELLO_FIELDS);
	for (int i = 0; i < HELLO_FIELDS; i++) {
		size_t size = strlen(fields[i]);

		msgpack_pack_str(&packer, size);
		msgpack_pack_str_body(&packer, fields[i], size);
	}
	wwh_frame_write(out, WWH_FRAME_HELLO, (const uint8_t *)buffer.data,
			buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

bool wwh_peer_hello_read(const uint8_t *payload, size_t size,
			 const char *cluster, char **id, char **address)
{
	msgpack_unpacked unpacked;
	size_t position = 0;
	bool valid = false;

	*id = NULL;
	*address = NULL;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)payload, size,
				&position) == MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	    unpacked.data.via.array.size == HELLO_FIELDS) {
		const msgpack_object *field = unpacked.data.via.array.ptr;
		char *sender_cluster = read_text(&field[0]);

		*id = read_text(&field[1]);
		*address = read_text(&field[2]);
		valid = sender_cluster != NULL && *id != NULL &&
			*address != NULL &&
			strcmp(sender_cluster, cluster) == 0;
		g_free(sender_cluster);
	}
	msgpack_unpacked_destroy(&unpacked);
	if (!valid) {
		g_clear_pointer(id, g_free);
		g_clear_pointer(address, g_free);
	}
	return valid;
}

/*
 * Returns NULL unless the object is valid UTF-8 text of 1 to
 * WWH_PEER_ID_BYTES_MAX bytes.
 */
static char *read_text(const msgpack_object *object)
{
	const msgpack_object_str *text = &object->via.str;

	if (object->type != MSGPACK_OBJECT_STR || text->size == 0 ||
	    text->size > WWH_PEER_ID_BYTES_MAX ||
	    !g_utf8_validate(text->ptr, text->size, NULL))
		return NULL;
	return g_strndup(text->ptr, text->size);
}
