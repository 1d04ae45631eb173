#ifndef WAXWINGHOLLOW_STATUS_H
#define WAXWINGHOLLOW_STATUS_H

/*
 * NAME
 *	status - outcome of a library call and its error message
 *
 * USE
 *	Every library function that can fail returns a wwh_status_t. The
 *	object it was called on stores a human-readable message, to be read
 *	with that object's _last_message function right after the failure.
 *	Functions without an object write the message to a wwh_message_t
 *	parameter, which may be NULL.
 *
 * ORDER OF CALLS
 *	None: wwh_message_set may be called at any time.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
	WWH_STATUS_OK = 0,
	WWH_STATUS_BAD_ARGUMENT, /* the caller violated the order of calls */
	WWH_STATUS_BAD_INPUT, /* a file, frame or record is malformed */
	WWH_STATUS_CONFLICT, /* another change came first */
	WWH_STATUS_NOT_FOUND,
	WWH_STATUS_LIMIT, /* a documented limit would be exceeded */
	WWH_STATUS_UNAVAILABLE, /* certainly without effect; may be retried */
	WWH_STATUS_UNKNOWN, /* may or may not have taken effect */
	WWH_STATUS_IO,
	WWH_STATUS_COUNT
} wwh_status_t;

/* Names of wwh_status_t, in the same order. */
extern const char *const wwh_status_names[WWH_STATUS_COUNT];

#define WWH_MESSAGE_BYTES 512

typedef struct {
	char text[WWH_MESSAGE_BYTES];
} wwh_message_t;

/* Formats into message, truncating; does nothing if message is NULL. */
void wwh_message_set(wwh_message_t *message, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif
