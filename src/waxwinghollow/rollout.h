#ifndef WAXWINGHOLLOW_ROLLOUT_H
#define WAXWINGHOLLOW_ROLLOUT_H

/*
 * NAME
 *	rollout - waits until a configuration is in force everywhere
 *
 * USE
 *	The list of entry processes comes from the process that accepted the
 *	change; each is then asked itself, because what one process knows of
 *	another lags. A process that has left the list is not waited for.
 */

#include <json-glib/json-glib.h>

#include "cli.h"

typedef struct {
	const wwh_cli_t *cli;
	const char *server; /* that accepted the change */
	int64_t version;
	int64_t start_us; /* when it was sent, monotonic */
	int64_t limit_ms;
} wwh_rollout_t;

/*
 * Adds "rollout_ms", "in_force_everywhere" and "processes" (a list) to builder.
 * False when the version is not in force everywhere after the limit.
 */
bool wwh_rollout_wait(const wwh_rollout_t *rollout, JsonBuilder *builder);

#endif
