#include "private/upstream_pool.h"

#define MILLISECOND_US 1000

/* The connections to one minion. */
typedef struct {
	GQueue idle; /* of wwh_upstream_connection_t, newest at the head */
	int32_t count; /* in use and idle */
} minion_pool_t;

struct wwh_upstream_pool {
	GMutex lock;
	GHashTable *minions; /* char * to minion_pool_t * */
	int64_t idle_limit_us;
	wwh_counter_t *opened;
	wwh_counter_t *closed;
	wwh_counter_t *closed_suspect;
};

static minion_pool_t *get_minion_pool(wwh_upstream_pool_t *pool,
				      const char *key);
static char *connection_key(const char *address, int32_t port);
static wwh_upstream_connection_t *connection_new(wwh_upstream_pool_t *pool,
						 const char *key);
static void connection_delete(wwh_upstream_pool_t *pool,
			      wwh_upstream_connection_t *conn);
static void minion_pool_delete(gpointer data);
static void close_idle_over_limit(wwh_upstream_pool_t *pool,
				  minion_pool_t *minion,
				  int32_t max_connections);
static int32_t close_idle_before(wwh_upstream_pool_t *pool,
				 minion_pool_t *minion, int64_t since_us);

wwh_upstream_pool_t *wwh_upstream_pool_new(int32_t idle_limit_ms,
					   wwh_counters_t *counters)
{
	wwh_upstream_pool_t *pool = g_new0(wwh_upstream_pool_t, 1);

	g_mutex_init(&pool->lock);
	pool->minions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      minion_pool_delete);
	pool->idle_limit_us = (int64_t)idle_limit_ms * MILLISECOND_US;
	pool->opened = wwh_counters_get(counters, "upstream.opened");
	pool->closed = wwh_counters_get(counters, "upstream.closed");
	pool->closed_suspect =
		wwh_counters_get(counters, "upstream.distrusted");
	return pool;
}

void wwh_upstream_pool_delete(wwh_upstream_pool_t *pool)
{
	GHashTableIter iter;
	gpointer value;

	if (pool == NULL)
		return;
	g_hash_table_iter_init(&iter, pool->minions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		close_idle_before(pool, value, INT64_MAX);
	g_hash_table_destroy(pool->minions);
	g_mutex_clear(&pool->lock);
	g_free(pool);
}

wwh_upstream_connection_t *wwh_upstream_pool_acquire(wwh_upstream_pool_t *pool,
						     const char *address,
						     int32_t port,
						     int32_t max_connections)
{
	char *key = connection_key(address, port);
	wwh_upstream_connection_t *conn;
	minion_pool_t *minion;

	g_mutex_lock(&pool->lock);
	minion = get_minion_pool(pool, key);
	conn = g_queue_pop_head(&minion->idle);
	close_idle_over_limit(pool, minion, max_connections);
	if (conn == NULL && minion->count < max_connections) {
		minion->count++;
		conn = connection_new(pool, key);
	}
	g_mutex_unlock(&pool->lock);
	g_free(key);
	return conn;
}

void wwh_upstream_pool_release(wwh_upstream_pool_t *pool,
			       wwh_upstream_connection_t *conn)
{
	conn->answers++;
	conn->last_answer_us = g_get_monotonic_time();
	g_mutex_lock(&pool->lock);
	g_queue_push_head(&get_minion_pool(pool, conn->key)->idle, conn);
	g_mutex_unlock(&pool->lock);
}

void wwh_upstream_pool_close(wwh_upstream_pool_t *pool,
			     wwh_upstream_connection_t *conn)
{
	char *key = g_strdup(conn->key);

	/* closed before the count drops, so the limit always holds */
	connection_delete(pool, conn);
	g_mutex_lock(&pool->lock);
	get_minion_pool(pool, key)->count--;
	g_mutex_unlock(&pool->lock);
	g_free(key);
}

void wwh_upstream_pool_close_suspect(wwh_upstream_pool_t *pool,
				     const wwh_upstream_connection_t *conn,
				     int64_t since_us)
{
	int32_t closed;

	g_mutex_lock(&pool->lock);
	closed = close_idle_before(pool, get_minion_pool(pool, conn->key),
				   since_us);
	g_mutex_unlock(&pool->lock);
	wwh_counter_add(pool->closed_suspect, closed);
}

void wwh_upstream_pool_sweep(wwh_upstream_pool_t *pool, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_mutex_lock(&pool->lock);
	g_hash_table_iter_init(&iter, pool->minions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		minion_pool_t *minion = value;

		close_idle_before(pool, minion, now_us - pool->idle_limit_us);
		if (minion->count == 0)
			g_hash_table_iter_remove(&iter);
	}
	g_mutex_unlock(&pool->lock);
}

int32_t wwh_upstream_pool_count(wwh_upstream_pool_t *pool, const char *address,
				int32_t port)
{
	char *key = connection_key(address, port);
	minion_pool_t *minion;
	int32_t count;

	g_mutex_lock(&pool->lock);
	minion = g_hash_table_lookup(pool->minions, key);
	count = minion != NULL ? minion->count : 0;
	g_mutex_unlock(&pool->lock);
	g_free(key);
	return count;
}

static minion_pool_t *get_minion_pool(wwh_upstream_pool_t *pool,
				      const char *key)
{
	minion_pool_t *minion = g_hash_table_lookup(pool->minions, key);

	if (minion == NULL) {
		minion = g_new0(minion_pool_t, 1);
		g_queue_init(&minion->idle);
		g_hash_table_insert(pool->minions, g_strdup(key), minion);
	}
	return minion;
}

static char *connection_key(const char *address, int32_t port)
{
	return g_strdup_printf("%s %d", address, port);
}

static wwh_upstream_connection_t *connection_new(wwh_upstream_pool_t *pool,
						 const char *key)
{
	wwh_upstream_connection_t *conn = g_new0(wwh_upstream_connection_t, 1);

	conn->key = g_strdup(key);
	conn->easy = curl_easy_init();
	conn->multi = curl_multi_init();
	g_assert(conn->easy != NULL && conn->multi != NULL);
	curl_multi_setopt(conn->multi, CURLMOPT_MAXCONNECTS, 1L);
	curl_multi_setopt(conn->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, 1L);
	wwh_counter_add(pool->opened, 1);
	return conn;
}

static void connection_delete(wwh_upstream_pool_t *pool,
			      wwh_upstream_connection_t *conn)
{
	curl_easy_cleanup(conn->easy);
	curl_multi_cleanup(conn->multi);
	g_free(conn->key);
	g_free(conn);
	wwh_counter_add(pool->closed, 1);
}

static void minion_pool_delete(gpointer data)
{
	minion_pool_t *minion = data;

	g_assert(g_queue_is_empty(&minion->idle));
	g_free(minion);
}

/* The limit may have shrunk since the idle connections were released. */
static void close_idle_over_limit(wwh_upstream_pool_t *pool,
				  minion_pool_t *minion,
				  int32_t max_connections)
{
	while (minion->count > max_connections &&
	       !g_queue_is_empty(&minion->idle)) {
		connection_delete(pool, g_queue_pop_tail(&minion->idle));
		minion->count--;
	}
}

static int32_t close_idle_before(wwh_upstream_pool_t *pool,
				 minion_pool_t *minion, int64_t since_us)
{
	GList *link = minion->idle.head;
	int32_t closed = 0;

	while (link != NULL) {
		GList *next = link->next;
		wwh_upstream_connection_t *conn = link->data;

		if (conn->last_answer_us < since_us) {
			g_queue_delete_link(&minion->idle, link);
			connection_delete(pool, conn);
			minion->count--;
			closed++;
		}
		link = next;
	}
	return closed;
}
