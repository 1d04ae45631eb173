#ifndef WAXWINGHOLLOW_PLATFORM_HTTP_H
#define WAXWINGHOLLOW_PLATFORM_HTTP_H

/*
 * NAME
 *	platform_http - the platform's callbacks over HTTP
 *
 * USE
 *	Provides a wwh_platform_t that uses the protocol of docs/PLATFORM.md
 *	over libcurl. Every call may be made from any thread; each uses an easy
 *	handle, with its persistent connection, from a small pool. Timeouts are
 *	in milliseconds and limit the whole call, not only connecting.
 *
 *	An append or a command returns UNAVAILABLE only if no byte of the
 *	request can have been sent or the platform answered 503. A missing,
 *	truncated or invalid answer is UNKNOWN, as is an unexpected HTTP
 *	status. Reads have no effect, so a read without a complete answer is
 *	always UNAVAILABLE.
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
	const char *base_url; /* "http://ADDRESS:PORT", no trailing slash */
	int32_t connect_timeout_ms;
	int32_t max_idle_handles;
	int64_t max_answer_bytes; /* a call with a longer answer is aborted */
	int64_t max_read_bytes; /* requested by one read */
} wwh_platform_http_options_t;

typedef struct wwh_platform_http wwh_platform_http_t;

void wwh_platform_http_options_defaults(wwh_platform_http_options_t *options);

wwh_platform_http_t *
wwh_platform_http_new(const wwh_platform_http_options_t *options);
wwh_status_t wwh_platform_http_init(wwh_platform_http_t *http,
				    wwh_message_t *message);
void wwh_platform_http_delete(wwh_platform_http_t *http);

/* Sets the callbacks of platform, which are valid while http exists. */
void wwh_platform_http_interface(wwh_platform_http_t *http,
				 wwh_platform_t *platform);

#endif
