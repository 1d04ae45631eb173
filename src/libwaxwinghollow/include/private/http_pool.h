#ifndef WAXWINGHOLLOW_PRIVATE_HTTP_POOL_H
#define WAXWINGHOLLOW_PRIVATE_HTTP_POOL_H

/*
 * NAME
 *	http_pool - the connections to each endpoint, and who gets which
 *
 * USE
 *	http_pool_take gives a connection to be used alone: one that is kept,
 *	or a new one, or none while the endpoint has all that it may have.
 *	http_pool_keep gives one back for the next call, http_pool_close ends
 *	it. Neither may be called from within a callback of libevent that
 *	stands on the connection.
 *
 *	A kept connection that its other end closes is left out by itself.
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
	struct evhttp_connection *evcon;
	bool opened; /* its first call has begun */
	bool ended; /* by the other end */
	GList link; /* in the list of kept ones */
	void *user; /* whose call it carries; NULL: it is kept */
} http_connection_t;

struct http_endpoint {
	http_pool_t *pool;
	char *name; /* IP number and port */
	int32_t open; /* its connections, kept ones too */
	GQueue kept; /* http_connection_t, the one used last in front */
	GQueue waiting; /* of the user: who gets the next free connection */
};

http_pool_t *http_pool_new(struct event_base *base);
void http_pool_delete(http_pool_t *pool);

/* NULL: it is no IP number and port. */
http_endpoint_t *http_pool_endpoint(http_pool_t *pool, const char *name);

/* NULL: it has as many connections as it may have, all in use. */
http_connection_t *http_pool_take(http_endpoint_t *endpoint, void *user);
void http_pool_keep(http_connection_t *connection);
void http_pool_close(http_connection_t *connection);

/* After each of the three above: forgets an endpoint that is of no use now. */
void http_pool_tidy(http_endpoint_t *endpoint);

/* The socket of a connection that is being made or open; -1: none. */
int http_pool_socket(const http_connection_t *connection);

#endif
