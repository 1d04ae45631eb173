#ifndef WAXWINGHOLLOW_PRIVATE_UPSTREAM_POOL_H
#define WAXWINGHOLLOW_PRIVATE_UPSTREAM_POOL_H

/*
 * Connection pool by minion address. Each connection is a libcurl multi handle
 * that holds at most one TCP connection, so that the number of connections to a
 * minion is known exactly and two threads never share one.
 */

#include <curl/curl.h>
#include <glib.h>
#include <stdint.h>

#include "waxwinghollow/counters.h"

typedef struct {
	CURLM *multi;
	CURL *easy;
	char *key; /* "address port" */
	int64_t answers; /* complete answers received over it */
	int64_t last_answer_us;
} wwh_upstream_connection_t;

typedef struct wwh_upstream_pool wwh_upstream_pool_t;

wwh_upstream_pool_t *wwh_upstream_pool_new(int32_t idle_limit_ms,
					   wwh_counters_t *counters);
void wwh_upstream_pool_delete(wwh_upstream_pool_t *pool);

/*
 * Returns the most recently used idle connection or a new one; NULL if
 * max_connections are in use.
 */
wwh_upstream_connection_t *wwh_upstream_pool_acquire(wwh_upstream_pool_t *pool,
						     const char *address,
						     int32_t port,
						     int32_t max_connections);
void wwh_upstream_pool_release(wwh_upstream_pool_t *pool,
			       wwh_upstream_connection_t *conn);
void wwh_upstream_pool_close(wwh_upstream_pool_t *pool,
			     wwh_upstream_connection_t *conn);

/*
 * Closes the idle connections to the same minion that have received no answer
 * since since_us: a device on the path that lost track of one connection has
 * often lost all that were open then, and each would make one more request
 * miss its deadline.
 */
void wwh_upstream_pool_close_suspect(wwh_upstream_pool_t *pool,
				     const wwh_upstream_connection_t *conn,
				     int64_t since_us);
void wwh_upstream_pool_sweep(wwh_upstream_pool_t *pool, int64_t now_us);
int32_t wwh_upstream_pool_count(wwh_upstream_pool_t *pool, const char *address,
				int32_t port);

#endif
