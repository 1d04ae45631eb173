#ifndef WAXWINGHOLLOW_FAKE_OPERATOR_H
#define WAXWINGHOLLOW_FAKE_OPERATOR_H

/*
 * NAME
 *	fake_operator - the operator listener of an entry process, for tests
 *
 * USE
 *	Holds one configuration, takes changes as the real one does, and can
 *	be told to answer in each way that the API allows.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/config.h"

typedef enum {
	FAKE_ACCEPTS = 0,
	FAKE_LOSES_ANSWER, /* takes effect, then the connection closes */
	FAKE_LOSES_REQUEST, /* closes the connection, no effect */
	FAKE_UNKNOWN, /* takes effect, answers 202 */
	FAKE_CONFLICT,
	FAKE_MALFORMED,
	FAKE_UNAVAILABLE,
	FAKE_CLOSES_IN_BODY, /* half of the answer, then closes */
} fake_mode_t;

typedef struct fake_operator fake_operator_t;

fake_operator_t *fake_operator_new(const char *process);
void fake_operator_delete(fake_operator_t *fake);
const char *fake_operator_address(const fake_operator_t *fake);

void fake_operator_set_mode(fake_operator_t *fake, fake_mode_t mode);
/* Another process that /v1/status lists as a member. */
void fake_operator_add_member(fake_operator_t *fake, const char *process,
			      const char *address, const char *state);
/* Takes over config; /v1/status tells its version. */
void fake_operator_set_config(fake_operator_t *fake, wwh_config_t *config);
int64_t fake_operator_version(fake_operator_t *fake);
/* POSTs that arrived whole; the body of the last. */
int32_t fake_operator_posts(fake_operator_t *fake);
char *fake_operator_last_post(fake_operator_t *fake);

#endif
