#ifndef FREE_PORT_H
#define FREE_PORT_H

/*
 * A port for a server that a test starts in a moment. Two test programs that
 * both asked the kernel for any free port got the same one, one after the other
 * had closed it, and one of them spoke to the other's stand-in. So each process
 * has a block of its own, below those that the kernel gives to clients.
 */

#include <arpa/inet.h>
#include <assert.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#define FREE_PORT_FIRST 20000
#define FREE_PORT_BLOCK 90
#define FREE_PORT_BLOCKS 128

static inline bool free_port_binds(int32_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool ok;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ok = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return ok;
}

static inline int32_t standin_free_port(void)
{
	static int32_t next;
	int32_t first =
		FREE_PORT_FIRST +
		(int32_t)(getpid() % FREE_PORT_BLOCKS) * FREE_PORT_BLOCK;

	for (int32_t i = 0; i < FREE_PORT_BLOCK; i++) {
		int32_t port = first + next;

		next = (next + 1) % FREE_PORT_BLOCK;
		if (free_port_binds(port))
			return port;
	}
	assert(!"no free port in the block of this process");
	return -1;
}

#endif
