#include "private/http_pool.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <string.h>

/*
 * Connections that are kept in all: a long poll and a few orders to each of
 * 350 upstreams, with the store and the other hosts, within the 4,100
 * descriptors of a small host. With 400 of them a holder of that many upstreams
 * made 31,140 new connections on a day of 40,000 starts and 33,400 polls, 5,608
 * with 2,400 (one play each, counted by the upstreams).
 */
#define KEPT_CONNECTIONS 2400

/* To one endpoint at once: one for a long poll, the others for orders. */
#define CONNECTIONS_AN_ENDPOINT 6

struct http_pool {
	struct event_base *base;
	GHashTable *endpoints; /* name to http_endpoint_t, owned */
	GQueue kept; /* http_connection_t, the one used last in front */
};

static void endpoint_delete(gpointer data);
static http_connection_t *connection_new(http_endpoint_t *endpoint);
static void on_closed(struct evhttp_connection *evcon, void *data);
static void leave_kept(http_connection_t *connection);

http_pool_t *http_pool_new(struct event_base *base)
{
	http_pool_t *pool = g_new0(http_pool_t, 1);

	pool->base = base;
	pool->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						endpoint_delete);
	g_queue_init(&pool->kept);
	return pool;
}

void http_pool_delete(http_pool_t *pool)
{
	g_hash_table_destroy(pool->endpoints);
	g_free(pool);
}

http_endpoint_t *http_pool_endpoint(http_pool_t *pool, const char *name)
{
	http_endpoint_t *endpoint = g_hash_table_lookup(pool->endpoints, name);
	struct sockaddr_in at;
	int size = sizeof(at);

	if (endpoint != NULL)
		return endpoint;
	/* a name would be looked up, and all calls wait for that */
	if (evutil_parse_sockaddr_port(name, (struct sockaddr *)&at, &size) !=
		    0 ||
	    at.sin_family != AF_INET || at.sin_port == 0)
		return NULL;
	endpoint = g_new0(http_endpoint_t, 1);
	endpoint->pool = pool;
	endpoint->name = g_strdup(name);
	g_queue_init(&endpoint->kept);
	g_queue_init(&endpoint->waiting);
	g_hash_table_insert(pool->endpoints, endpoint->name, endpoint);
	return endpoint;
}

http_connection_t *http_pool_take(http_endpoint_t *endpoint, void *user)
{
	http_connection_t *connection;

	while (!g_queue_is_empty(&endpoint->kept)) {
		connection = g_queue_peek_head(&endpoint->kept);
		leave_kept(connection);
		if (!connection->ended) {
			connection->user = user;
			return connection;
		}
		http_pool_close(connection);
	}
	if (endpoint->open >= CONNECTIONS_AN_ENDPOINT)
		return NULL;
	connection = connection_new(endpoint);
	connection->user = user;
	return connection;
}

void http_pool_keep(http_connection_t *connection)
{
	http_pool_t *pool = connection->endpoint->pool;

	if (connection->ended) {
		http_pool_close(connection);
		return;
	}
	connection->user = NULL;
	g_queue_push_head(&connection->endpoint->kept, connection);
	g_queue_push_head_link(&pool->kept, &connection->link);
	if (g_queue_get_length(&pool->kept) > KEPT_CONNECTIONS) {
		http_connection_t *oldest = g_queue_peek_tail(&pool->kept);
		http_endpoint_t *endpoint = oldest->endpoint;

		leave_kept(oldest);
		http_pool_close(oldest);
		if (endpoint != connection->endpoint)
			http_pool_tidy(endpoint);
	}
}

void http_pool_close(http_connection_t *connection)
{
	connection->endpoint->open--;
	evhttp_connection_set_closecb(connection->evcon, NULL, NULL);
	evhttp_connection_free(connection->evcon);
	g_free(connection);
}

void http_pool_tidy(http_endpoint_t *endpoint)
{
	if (endpoint->open == 0 && g_queue_is_empty(&endpoint->waiting))
		g_hash_table_remove(endpoint->pool->endpoints, endpoint->name);
}

int http_pool_socket(const http_connection_t *connection)
{
	struct bufferevent *buffer =
		evhttp_connection_get_bufferevent(connection->evcon);

	return bufferevent_getfd(buffer);
}

static void endpoint_delete(gpointer data)
{
	http_endpoint_t *endpoint = data;

	while (!g_queue_is_empty(&endpoint->kept)) {
		http_connection_t *connection =
			g_queue_peek_head(&endpoint->kept);

		leave_kept(connection);
		http_pool_close(connection);
	}
	g_queue_clear(&endpoint->waiting);
	g_free(endpoint->name);
	g_free(endpoint);
}

static http_connection_t *connection_new(http_endpoint_t *endpoint)
{
	http_connection_t *connection = g_new0(http_connection_t, 1);
	const char *colon = strrchr(endpoint->name, ':');
	char *address =
		g_strndup(endpoint->name, (gsize)(colon - endpoint->name));
	uint16_t port = (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10);

	connection->endpoint = endpoint;
	connection->link.data = connection;
	connection->evcon = evhttp_connection_base_new(endpoint->pool->base,
						       NULL, address, port);
	evhttp_connection_set_family(connection->evcon, AF_INET);
	evhttp_connection_set_closecb(connection->evcon, on_closed, connection);
	endpoint->open++;
	g_free(address);
	return connection;
}

/* It stays in the list until the next call passes it by. */
static void on_closed(struct evhttp_connection *evcon, void *data)
{
	http_connection_t *connection = data;

	(void)evcon;
	connection->ended = true;
}

static void leave_kept(http_connection_t *connection)
{
	g_queue_remove(&connection->endpoint->kept, connection);
	g_queue_unlink(&connection->endpoint->pool->kept, &connection->link);
}
