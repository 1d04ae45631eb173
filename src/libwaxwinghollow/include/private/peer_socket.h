#ifndef WAXWINGHOLLOW_PRIVATE_PEER_SOCKET_H
#define WAXWINGHOLLOW_PRIVATE_PEER_SOCKET_H

/* Non-blocking TCP sockets for peer.c. Each returns -1 on failure. */

#include <stdint.h>

/* *bound is the address with its port, to be freed. */
int wwh_peer_socket_listen(const char *address, char **bound);
int wwh_peer_socket_accept(int listener);
/* Starts to connect. */
int wwh_peer_socket_connect(const char *address, int32_t stall_ms);
/* Whether a connect that had been started succeeded. */
int wwh_peer_socket_connected(int fd);

#endif
