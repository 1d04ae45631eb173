#include "private/http_pool.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <string.h>
#include <sys/resource.h>

/* The store answers with some MiB at most. */
#define MAX_ANSWER_BYTES (64 * 1024 * 1024)
#define MAX_HEADERS_BYTES (64 * 1024)

/*
 * A process with few descriptors keeps this many connections idle: a long poll
 * and a few orders to each of some hundred upstreams.
 */
#define MIN_IDLE_LIMIT 2400

/*
 * Share of the descriptors that idle connections may take; the others are for
 * calls in progress and for the listeners. Orders that go to more upstreams in
 * turn than there are idle connections need a new connection each.
 */
#define IDLE_SHARE_OF_FILES 2

/* One connection is for a long poll, the others for orders. */
#define MAX_CONNECTIONS_PER_ENDPOINT 6

struct http_pool {
	struct event_base *base;
	GHashTable *endpoints; /* name to http_endpoint_t, owned */
	GQueue idle; /* of http_connection_t, most recently used first */
	guint max_idle;
};

static guint idle_limit(void);
static void endpoint_delete(gpointer data);
static http_connection_t *connection_new(http_endpoint_t *endpoint);
static void on_closed(struct evhttp_connection *evcon, void *data);
static void remove_from_idle(http_connection_t *connection);

http_pool_t *http_pool_new(struct event_base *base)
{
	http_pool_t *pool = g_new0(http_pool_t, 1);

	pool->base = base;
	pool->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						endpoint_delete);
	g_queue_init(&pool->idle);
	pool->max_idle = idle_limit();
	return pool;
}

void http_pool_delete(http_pool_t *pool)
{
	g_hash_table_destroy(pool->endpoints);
	g_free(pool);
}

http_endpoint_t *http_pool_get_endpoint(http_pool_t *pool, const char *name)
{
	http_endpoint_t *endpoint = g_hash_table_lookup(pool->endpoints, name);
	struct sockaddr_in at;
	int size = sizeof(at);

	if (endpoint != NULL)
		return endpoint;
	/* a host name would need a DNS lookup, which blocks all calls */
	if (evutil_parse_sockaddr_port(name, (struct sockaddr *)&at, &size) !=
		    0 ||
	    at.sin_family != AF_INET || at.sin_port == 0)
		return NULL;
	endpoint = g_new0(http_endpoint_t, 1);
	endpoint->pool = pool;
	endpoint->name = g_strdup(name);
	g_queue_init(&endpoint->idle);
	g_queue_init(&endpoint->waiting);
	g_hash_table_insert(pool->endpoints, endpoint->name, endpoint);
	return endpoint;
}

http_connection_t *http_pool_acquire(http_endpoint_t *endpoint, void *user)
{
	http_connection_t *connection;

	while (!g_queue_is_empty(&endpoint->idle)) {
		connection = g_queue_peek_head(&endpoint->idle);
		remove_from_idle(connection);
		if (!connection->closed_by_remote) {
			connection->user = user;
			return connection;
		}
		http_pool_close(connection);
	}
	if (endpoint->open_connections >= MAX_CONNECTIONS_PER_ENDPOINT)
		return NULL;
	connection = connection_new(endpoint);
	connection->user = user;
	return connection;
}

void http_pool_release(http_connection_t *connection)
{
	http_pool_t *pool = connection->endpoint->pool;

	if (connection->closed_by_remote) {
		http_pool_close(connection);
		return;
	}
	connection->user = NULL;
	g_queue_push_head(&connection->endpoint->idle, connection);
	g_queue_push_head_link(&pool->idle, &connection->idle_link);
	if (g_queue_get_length(&pool->idle) > pool->max_idle) {
		http_connection_t *oldest = g_queue_peek_tail(&pool->idle);
		http_endpoint_t *endpoint = oldest->endpoint;

		remove_from_idle(oldest);
		http_pool_close(oldest);
		if (endpoint != connection->endpoint)
			http_pool_remove_unused_endpoint(endpoint);
	}
}

void http_pool_disconnect(http_connection_t *connection)
{
	if (connection->evcon == NULL)
		return;
	evhttp_connection_set_closecb(connection->evcon, NULL, NULL);
	evhttp_connection_free(connection->evcon);
	connection->evcon = NULL;
}

void http_pool_close(http_connection_t *connection)
{
	http_pool_disconnect(connection);
	connection->endpoint->open_connections--;
	g_free(connection);
}

void http_pool_remove_unused_endpoint(http_endpoint_t *endpoint)
{
	if (endpoint->open_connections == 0 &&
	    g_queue_is_empty(&endpoint->waiting))
		g_hash_table_remove(endpoint->pool->endpoints, endpoint->name);
}

int http_pool_get_socket(const http_connection_t *connection)
{
	struct bufferevent *buffer =
		evhttp_connection_get_bufferevent(connection->evcon);

	return bufferevent_getfd(buffer);
}

static guint idle_limit(void)
{
	struct rlimit files;

	if (getrlimit(RLIMIT_NOFILE, &files) != 0)
		return MIN_IDLE_LIMIT;
	return (guint)CLAMP(files.rlim_cur / IDLE_SHARE_OF_FILES,
			    MIN_IDLE_LIMIT, INT32_MAX);
}

static void endpoint_delete(gpointer data)
{
	http_endpoint_t *endpoint = data;

	while (!g_queue_is_empty(&endpoint->idle)) {
		http_connection_t *connection =
			g_queue_peek_head(&endpoint->idle);

		remove_from_idle(connection);
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
	connection->idle_link.data = connection;
	connection->evcon = evhttp_connection_base_new(endpoint->pool->base,
						       NULL, address, port);
	evhttp_connection_set_family(connection->evcon, AF_INET);
	evhttp_connection_set_closecb(connection->evcon, on_closed, connection);
	evhttp_connection_set_max_body_size(connection->evcon,
					    MAX_ANSWER_BYTES);
	evhttp_connection_set_max_headers_size(connection->evcon,
					       MAX_HEADERS_BYTES);
	endpoint->open_connections++;
	g_free(address);
	return connection;
}

/*
 * The connection stays in the idle list until http_pool_acquire closes it or
 * http_pool_release evicts it.
 */
static void on_closed(struct evhttp_connection *evcon, void *data)
{
	http_connection_t *connection = data;

	(void)evcon;
	connection->closed_by_remote = true;
}

static void remove_from_idle(http_connection_t *connection)
{
	g_queue_remove(&connection->endpoint->idle, connection);
	g_queue_unlink(&connection->endpoint->pool->idle,
		       &connection->idle_link);
}
