#ifndef WAXWINGHOLLOW_PRIVATE_MSGPACK_GUARD_H
#define WAXWINGHOLLOW_PRIVATE_MSGPACK_GUARD_H

/*
 * NAME
 *	msgpack_guard - whether msgpack from outside may be unpacked
 *
 * USE
 *	msgpack-c allocates an array's elements when it sees the header: five
 *	bytes that claim 2^32 elements ask for 100 GB. The guard walks the
 *	bytes first with msgpack-c's own scanner and refuses a container that
 *	claims more elements than bytes are left; each element takes at least
 *	one byte, so no honest message is refused, and unpacking then asks for
 *	at most about 48 times the message's size.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* True when data is exactly one whole msgpack value that may be unpacked. */
bool wwh_msgpack_is_safe(const uint8_t *data, size_t size);

#endif
