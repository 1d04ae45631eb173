#include "private/peer_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "waxwinghollow/settings.h"

#define BACKLOG 64

typedef union {
	struct sockaddr any;
	struct sockaddr_in v4;
	struct sockaddr_in6 v6;
} socket_address_t;

static socklen_t parse_address(const char *text, socket_address_t *address);
static char *format_address(const socket_address_t *address);
static int open_socket(const socket_address_t *address);
static void set_option(int fd, int level, int name, int value);

int wwh_peer_socket_listen(const char *text, char **bound)
{
	socket_address_t address;
	socklen_t size = parse_address(text, &address);
	int fd;

	if (size == 0)
		return -1;
	fd = open_socket(&address);
	if (fd < 0)
		return -1;
	set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	if (bind(fd, &address.any, size) != 0 || listen(fd, BACKLOG) != 0 ||
	    getsockname(fd, &address.any, &size) != 0) {
		close(fd);
		return -1;
	}
	*bound = format_address(&address);
	return fd;
}

int wwh_peer_socket_accept(int listener)
{
	return accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

int wwh_peer_socket_connect(const char *text, int32_t stall_ms)
{
	socket_address_t address;
	socklen_t size = parse_address(text, &address);
	int fd;

	if (size == 0)
		return -1;
	fd = open_socket(&address);
	if (fd < 0)
		return -1;
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	/*
	 * A device on the path may lose the state of a connection: data sent
	 * on it is never acknowledged, and the kernel would retransmit for
	 * many minutes. This option ends the connection after stall_ms, and
	 * the next send opens a new one.
	 */
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, stall_ms);
	if (connect(fd, &address.any, size) != 0 && errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

int wwh_peer_socket_connected(int fd)
{
	int error = 0;
	socklen_t size = sizeof(error);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
	    error != 0)
		return -1;
	return 0;
}

/* Returns the size of the address, or 0 if the text isn't a valid one. */
static socklen_t parse_address(const char *text, socket_address_t *address)
{
	socklen_t size = 0;
	char *ip;
	int32_t port;

	memset(address, 0, sizeof(*address));
	if (!wwh_endpoint_split(text, &ip, &port))
		return 0;
	if (inet_pton(AF_INET, ip, &address->v4.sin_addr) == 1) {
		address->v4.sin_family = AF_INET;
		address->v4.sin_port = htons((uint16_t)port);
		size = sizeof(address->v4);
	} else if (inet_pton(AF_INET6, ip, &address->v6.sin6_addr) == 1) {
		address->v6.sin6_family = AF_INET6;
		address->v6.sin6_port = htons((uint16_t)port);
		size = sizeof(address->v6);
	}
	g_free(ip);
	return size;
}

static char *format_address(const socket_address_t *address)
{
	char ip[INET6_ADDRSTRLEN] = "";

	if (address->any.sa_family == AF_INET) {
		inet_ntop(AF_INET, &address->v4.sin_addr, ip, sizeof(ip));
		return g_strdup_printf("%s:%d", ip,
				       ntohs(address->v4.sin_port));
	}
	inet_ntop(AF_INET6, &address->v6.sin6_addr, ip, sizeof(ip));
	return g_strdup_printf("[%s]:%d", ip, ntohs(address->v6.sin6_port));
}

static int open_socket(const socket_address_t *address)
{
	return socket(address->any.sa_family,
		      SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static void set_option(int fd, int level, int name, int value)
{
	setsockopt(fd, level, name, &value, sizeof(value));
}
