#ifndef WAXWINGHOLLOW_HTTP_MESSAGE_H
#define WAXWINGHOLLOW_HTTP_MESSAGE_H

/*
 * NAME
 *	http_message - requests and responses as they were sent
 *
 * USE
 *	A request is passed on byte for byte but for its hop-by-hop headers,
 *	so headers are kept as a list: repeated ones stay repeated, in their
 *	order, and values are bytes that need not be UTF-8.
 *
 * ORDER OF CALLS
 *	wwh_headers_new, wwh_headers_add, lookups, wwh_headers_delete. A
 *	response is set up by wwh_http_response_init and released by
 *	wwh_http_response_clear.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
	char *name;
	char *value;
} wwh_header_t;

typedef struct wwh_headers wwh_headers_t;

wwh_headers_t *wwh_headers_new(void);
void wwh_headers_delete(wwh_headers_t *headers);
void wwh_headers_add(wwh_headers_t *headers, const char *name,
		     const char *value);
int32_t wwh_headers_count(const wwh_headers_t *headers);
const wwh_header_t *wwh_headers_at(const wwh_headers_t *headers, int32_t index);

/* The first value of that name, whatever its case; NULL: none. */
const char *wwh_headers_get(const wwh_headers_t *headers, const char *name);

/*
 * Whether a header belongs to one connection and is not passed on: those of
 * RFC 9110 section 7.6.1 and those that the Connection header names.
 */
bool wwh_headers_is_hop_by_hop(const wwh_headers_t *headers, const char *name);

/* A whole request. All pointers live as long as the handler runs. */
typedef struct {
	const char *method;
	const char *target; /* path and query as sent */
	const wwh_headers_t *headers;
	const uint8_t *body;
	size_t body_size;
	int caller_fd; /* to learn that the caller has gone; -1: unknown */
} wwh_http_request_t;

typedef struct {
	int32_t status;
	wwh_headers_t *headers;
	GByteArray *body;
	int64_t head_content_length; /* Content-Length of an answer to HEAD; -1 */
} wwh_http_response_t;

void wwh_http_response_init(wwh_http_response_t *response);
void wwh_http_response_clear(wwh_http_response_t *response);

/* The part of target before the query. */
char *wwh_http_target_path(const char *target);

/* The decoded value of a query parameter of target, or NULL. */
char *wwh_http_query_value(const char *target, const char *name);

#endif
