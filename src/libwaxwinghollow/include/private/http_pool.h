#ifndef WAXWINGHOLLOW_PRIVATE_HTTP_POOL_H
#define WAXWINGHOLLOW_PRIVATE_HTTP_POOL_H

/*
 * NAME
 *	http_pool - pool of persistent HTTP connections to each endpoint
 *
 * USE
 *	http_pool_acquire returns a connection for exclusive use: an idle one,
 *	or a new one, or none while all connections that the endpoint may have
 *	are in use. http_pool_release makes it available to the next call,
 *	http_pool_close closes it. None of release, disconnect and close may be
 *	called from within a libevent callback of that connection.
 *
 *	An idle connection that the remote end has closed is never acquired.
 */

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/counters.h"

typedef struct http_pool http_pool_t;
typedef struct http_endpoint http_endpoint_t;

typedef struct {
	http_endpoint_t *endpoint;
	struct evhttp_connection *evcon; /* NULL: disconnected */
	bool used; /* a call has been started on it */
	bool closed_by_remote;
	GList idle_link; /* in the idle list of the pool */
	void *user; /* the transfer that uses it; NULL: idle */
} http_connection_t;

struct http_endpoint {
	http_pool_t *pool;
	char *name; /* IPv4 address and port */
	int32_t open_connections; /* both in use and idle */
	GQueue idle; /* of http_connection_t, most recently used first */
	GQueue waiting; /* filled by the user: transfers without a connection */
};

http_pool_t *http_pool_new(struct event_base *base);
void http_pool_delete(http_pool_t *pool);

/* Returns NULL if name isn't an IPv4 address and port. */
http_endpoint_t *http_pool_get_endpoint(http_pool_t *pool, const char *name);

/* Returns NULL if all connections that the endpoint may have are in use. */
http_connection_t *http_pool_acquire(http_endpoint_t *endpoint, void *user);
void http_pool_release(http_connection_t *connection);
void http_pool_close(http_connection_t *connection);

/*
 * Closes the socket, so that nothing more is written to it. The connection
 * counts as open until http_pool_close.
 */
void http_pool_disconnect(http_connection_t *connection);

/*
 * Deletes an endpoint without connections and waiting transfers. To be called
 * after each of the three functions above.
 */
void http_pool_remove_unused_endpoint(http_endpoint_t *endpoint);

/* Returns the socket of a connecting or open connection, or -1. */
int http_pool_get_socket(const http_connection_t *connection);

#endif
