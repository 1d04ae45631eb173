#ifndef WAXWINGHOLLOW_PRIVATE_PEER_SOCKET_H
#define WAXWINGHOLLOW_PRIVATE_PEER_SOCKET_H

/* Non-blocking TCP sockets for peer.c. Each returns -1 on failure. */

#include <stdint.h>

/* Sets *bound to the bound address and port; the caller frees it. */
int wwh_peer_socket_listen(const char *address, char **bound);
int wwh_peer_socket_accept(int listener);
/*
 * Starts a non-blocking connect. stall_ms limits how long sent data may remain
 * unacknowledged.
 */
int wwh_peer_socket_connect(const char *address, int32_t stall_ms);
/* Returns 0 if a started connect succeeded. */
int wwh_peer_socket_connected(int fd);

#endif
