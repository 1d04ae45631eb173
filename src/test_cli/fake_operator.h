#ifndef WAXWINGHOLLOW_FAKE_OPERATOR_H
#define WAXWINGHOLLOW_FAKE_OPERATOR_H

/*
 * NAME
 *	fake_operator - fake operator listener of an entry process
 *
 * USE
 *	Holds one configuration and applies published changes as an entry
 *	process does. Its mode selects the way in which it answers; the modes
 *	cover each kind of answer that the API allows.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/config.h"

typedef enum {
	FAKE_ACCEPTS = 0,
	FAKE_LOSES_ANSWER, /* applies the change, closes without an answer */
	FAKE_LOSES_REQUEST, /* closes without an answer, applies nothing */
	FAKE_UNKNOWN, /* applies the change, answers 202 */
	FAKE_CONFLICT,
	FAKE_MALFORMED,
	FAKE_UNAVAILABLE,
	FAKE_CLOSES_IN_BODY, /* closes after half of the answer's body */
} fake_mode_t;

typedef struct fake_operator fake_operator_t;

fake_operator_t *fake_operator_new(const char *process);
void fake_operator_delete(fake_operator_t *fake);
const char *fake_operator_address(const fake_operator_t *fake);

void fake_operator_set_mode(fake_operator_t *fake, fake_mode_t mode);
/* Adds a process to the members that /v1/status lists. */
void fake_operator_add_member(fake_operator_t *fake, const char *process,
			      const char *address, const char *state);
/* Takes ownership of config; /v1/status reports its version. */
void fake_operator_set_config(fake_operator_t *fake, wwh_config_t *config);
int64_t fake_operator_version(fake_operator_t *fake);
/* Number of POSTs received completely. */
int32_t fake_operator_post_count(fake_operator_t *fake);
/* "PATH BODY" of the last of them; g_free. */
char *fake_operator_last_post(fake_operator_t *fake);

#endif
