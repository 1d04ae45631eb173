#ifndef WAXWINGHOLLOW_PRIVATE_MSGPACK_BOUNDS_H
#define WAXWINGHOLLOW_PRIVATE_MSGPACK_BOUNDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Returns whether data is exactly one MessagePack object whose declared lengths
 * all fit into size and whose arrays and maps are nested at most max_depth
 * deep.
 *
 * msgpack_unpack_next allocates memory for all elements that an array header
 * declares before it reads them: five bytes from a peer can make it request
 * 96 GB. After this check an array has at most size elements.
 */
bool wwh_msgpack_bounded(const uint8_t *data, size_t size, int32_t max_depth);

#endif
