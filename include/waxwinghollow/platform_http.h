#ifndef WAXWINGHOLLOW_PLATFORM_HTTP_H
#define WAXWINGHOLLOW_PLATFORM_HTTP_H

/*
 * NAME
 *	platform_http - the platform's callbacks over HTTP
 *
 * USE
 *	Fills in a wwh_platform_t that speaks the protocol of
 *	docs/PLATFORM.md over libcurl. Every call may be made from any thread;
 *	each takes an easy handle, with its kept-alive connection, from a small
 *	pool. Deadlines are in milliseconds and end the call, not only the
 *	wait for a connection.
 *
 *	UNAVAILABLE is returned only when no byte of the request can have left
 *	or the platform said 503; a whole answer that can't be understood, and
 *	every other end of an append or a command, is UNKNOWN. Reads have no
 *	effect, so theirs is always UNAVAILABLE.
 *
 *	read waits for at most half of its timeout_ms, so that a long poll
 *	without records ends with an answer.
 *
 * ORDER OF CALLS
 *	curl_global_init once in the process (wwh_platform_http_init does it),
 *	wwh_platform_http_new, wwh_platform_http_init,
 *	wwh_platform_http_interface, calls from any thread; when all of them
 *	have returned, wwh_platform_http_delete.
 */

#include <stdint.h>

#include "waxwinghollow/platform.h"
#include "waxwinghollow/status.h"

typedef struct {
	const char *base_url; /* "http://ADDRESS:PORT", without a slash */
	int32_t connect_timeout_ms;
	int32_t idle_handles; /* kept for the next calls */
	int64_t max_answer_bytes; /* a longer answer is cut off and refused */
	int64_t read_bytes; /* asked for in one read */
} wwh_platform_http_options_t;

typedef struct wwh_platform_http wwh_platform_http_t;

void wwh_platform_http_options_defaults(wwh_platform_http_options_t *options);

wwh_platform_http_t *
wwh_platform_http_new(const wwh_platform_http_options_t *options);
wwh_status_t wwh_platform_http_init(wwh_platform_http_t *http,
				    wwh_message_t *message);
void wwh_platform_http_delete(wwh_platform_http_t *http);

/* The callbacks; valid while http lives. */
void wwh_platform_http_interface(wwh_platform_http_t *http,
				 wwh_platform_t *platform);

#endif
