#ifndef WAXWINGHOLLOW_PRIVATE_PEER_HELLO_H
#define WAXWINGHOLLOW_PRIVATE_PEER_HELLO_H

/* The first frame on a connection: [cluster, id, address of the sender]. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

void wwh_peer_hello_write(GByteArray *out, const char *cluster, const char *id,
			  const char *address);

/*
 * Returns false if the frame is malformed or from another cluster. The caller
 * frees *id and *address.
 */
bool wwh_peer_hello_read(const uint8_t *payload, size_t size,
			 const char *cluster, char **id, char **address);

#endif
