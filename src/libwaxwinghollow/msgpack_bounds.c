#include "private/msgpack_bounds.h"

#define MAX_NESTING 32

/* Layout of an object, as given by its first byte. */
typedef struct {
	size_t length_bytes; /* size of the big-endian length that follows */
	size_t payload_bytes; /* bytes in addition to that length */
	bool is_container; /* the length counts items instead of bytes */
	uint32_t objects_per_item; /* 2 for maps, else 1 */
	uint64_t fixed_length; /* used if length_bytes is 0 */
	bool valid;
} layout_t;

static layout_t layout_of(uint8_t byte);
static layout_t wide_layout_of(uint8_t byte);
static bool read_length(const uint8_t *data, size_t size, size_t *at,
			const layout_t *layout, uint64_t *length);

bool wwh_msgpack_bounded(const uint8_t *data, size_t size, int32_t max_depth)
{
	uint64_t remaining[MAX_NESTING + 1] = { 1 }; /* objects, by depth */
	int32_t depth = 0;
	size_t at = 0;

	if (max_depth > MAX_NESTING)
		max_depth = MAX_NESTING;
	while (depth > 0 || remaining[0] > 0) {
		uint64_t length = 0;
		layout_t layout;

		if (at >= size)
			return false;
		remaining[depth]--;
		layout = layout_of(data[at++]);
		if (!layout.valid ||
		    !read_length(data, size, &at, &layout, &length))
			return false;
		if (layout.is_container && length > 0) {
			if (depth == max_depth || length > size - at)
				return false;
			remaining[++depth] = length * layout.objects_per_item;
		} else if (!layout.is_container) {
			if (length + layout.payload_bytes > size - at)
				return false;
			at += length + layout.payload_bytes;
		}
		while (depth > 0 && remaining[depth] == 0)
			depth--;
	}
	return at == size;
}

static layout_t layout_of(uint8_t byte)
{
	layout_t layout = { .objects_per_item = 1, .valid = true };

	if (byte <= 0x7f || byte >= 0xe0)
		return layout; /* small integers */
	if (byte <= 0x9f) {
		layout.is_container = true;
		layout.objects_per_item = byte <= 0x8f ? 2 : 1;
		layout.fixed_length = byte & 0x0f;
		return layout;
	}
	if (byte <= 0xbf) {
		layout.fixed_length = byte & 0x1f;
		return layout;
	}
	return wide_layout_of(byte);
}

static layout_t wide_layout_of(uint8_t byte)
{
	layout_t layout = { .objects_per_item = 1, .valid = byte != 0xc1 };

	if (byte >= 0xc4 && byte <= 0xc9) { /* bin and ext */
		layout.length_bytes = (size_t)1 << ((byte - 0xc4) % 3);
		layout.payload_bytes = byte >= 0xc7 ? 1 : 0;
	} else if (byte == 0xca || byte == 0xcb) {
		layout.payload_bytes = byte == 0xca ? 4 : 8;
	} else if (byte >= 0xcc && byte <= 0xd3) {
		layout.payload_bytes = (size_t)1 << (byte & 3);
	} else if (byte >= 0xd4 && byte <= 0xd8) { /* fixed ext */
		layout.payload_bytes = 1 + ((size_t)1 << (byte - 0xd4));
	} else if (byte >= 0xd9 && byte <= 0xdb) { /* str */
		layout.length_bytes = (size_t)1 << (byte - 0xd9);
	} else if (byte >= 0xdc) {
		layout.is_container = true;
		layout.objects_per_item = byte >= 0xde ? 2 : 1;
		layout.length_bytes = (byte & 1) != 0 ? 4 : 2;
	}
	return layout;
}

static bool read_length(const uint8_t *data, size_t size, size_t *at,
			const layout_t *layout, uint64_t *length)
{
	*length = layout->fixed_length;
	if (layout->length_bytes > size - *at)
		return false;
	for (size_t i = 0; i < layout->length_bytes; i++)
		*length = (*length << 8) | data[(*at)++];
	return true;
}
