#ifndef WAXWINGHOLLOW_OPERATOR_CLIENT_H
#define WAXWINGHOLLOW_OPERATOR_CLIENT_H

/*
 * NAME
 *	operator_client - calls to the operator listener of an entry process
 *
 * USE
 *	One call is one HTTP request over libcurl with a timeout in
 *	milliseconds. Each call opens a connection of its own: when a reused
 *	connection closes before the first byte of the answer, libcurl
 *	silently sends a POST again, and the operator's change would be made
 *	twice. On a new connection libcurl does not retry.
 *
 *	wwh_operator_call returns
 *	- WWH_STATUS_OK when a complete answer was received, whatever its
 *	  HTTP status;
 *	- WWH_STATUS_UNAVAILABLE when no byte of the request was sent, so
 *	  that the caller may try another process;
 *	- WWH_STATUS_UNKNOWN when the request may have taken effect;
 *	- WWH_STATUS_LIMIT when the answer exceeded max_answer_bytes.
 *
 * ORDER OF CALLS
 *	wwh_operator_call; reads of the answer; wwh_operator_answer_clear. From
 *	any thread.
 */

#include <stddef.h>
#include <stdint.h>

#include "waxwinghollow/status.h"

typedef struct {
	const char *server; /* "IP:port" of the operator listener */
	int32_t connect_timeout_ms;
	int32_t timeout_ms; /* of the whole call, with the connect */
	size_t max_answer_bytes;
} wwh_operator_options_t;

wwh_operator_options_t wwh_operator_options_defaults(void);

/* A GET when content_type is NULL, otherwise a POST of body. */
typedef struct {
	const char *path; /* including the query */
	const char *content_type;
	const void *body;
	size_t body_size;
} wwh_operator_request_t;

typedef struct {
	int32_t http_status;
	int64_t config_version; /* header Config-Version, or -1 if absent */
	char *body; /* NUL-terminated */
	size_t body_size;
} wwh_operator_answer_t;

wwh_status_t wwh_operator_call(const wwh_operator_options_t *options,
			       const wwh_operator_request_t *request,
			       wwh_operator_answer_t *answer,
			       wwh_message_t *message);
void wwh_operator_answer_clear(wwh_operator_answer_t *answer);

#endif
