#ifndef WAXWINGHOLLOW_OPERATOR_CLIENT_H
#define WAXWINGHOLLOW_OPERATOR_CLIENT_H

/*
 * NAME
 *	operator_client - calls to the operator listener of an entry process
 *
 * USE
 *	One call is one HTTP request over libcurl with a limit in
 *	milliseconds. Each has a connection of its own: libcurl sends a POST
 *	again without a word when a kept connection dies before the first
 *	byte of the answer, and the operator's change would be made twice.
 *	On a fresh connection it has no such retry.
 *
 *	WWH_STATUS_OK means that a whole answer came, whatever its HTTP status.
 *	Otherwise WWH_STATUS_UNAVAILABLE when no request byte was sent, so
 *	that another process may be asked; WWH_STATUS_UNKNOWN when the request
 *	may have had its effect; WWH_STATUS_LIMIT when the answer was larger
 *	than the limit.
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
	int32_t timeout_ms; /* of the whole call */
	size_t max_answer_bytes;
} wwh_operator_options_t;

wwh_operator_options_t wwh_operator_options_defaults(void);

/* content_type NULL: a GET; otherwise a POST with that body. */
typedef struct {
	const char *path; /* with its query */
	const char *content_type;
	const void *body;
	size_t body_size;
} wwh_operator_request_t;

typedef struct {
	int32_t http_status;
	int64_t config_version; /* header Config-Version; -1: none */
	char *body; /* a zero byte follows it */
	size_t body_size;
} wwh_operator_answer_t;

wwh_status_t wwh_operator_call(const wwh_operator_options_t *options,
			       const wwh_operator_request_t *request,
			       wwh_operator_answer_t *answer,
			       wwh_message_t *message);
void wwh_operator_answer_clear(wwh_operator_answer_t *answer);

#endif
