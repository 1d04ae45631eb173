#ifndef WAXWINGHOLLOW_ROLLOUT_H
#define WAXWINGHOLLOW_ROLLOUT_H

/*
 * NAME
 *	rollout - waits until a configuration is in force everywhere
 *
 * USE
 *	The list of entry processes comes from the process that accepted the
 *	change and from the servers of the command line. Each listed process is
 *	then queried itself, because one process learns the version of another
 *	only with a delay. A process that is no longer listed is not waited for.
 */

#include <json-glib/json-glib.h>

#include "cli.h"

typedef struct {
	const wwh_cli_t *cli;
	const char *server; /* the one that accepted the change */
	int64_t version;
	int64_t start_us; /* monotonic time when the change was sent */
	int64_t timeout_ms;
} wwh_rollout_t;

/*
 * Adds "rollout_ms", "in_force_everywhere" and "processes" (a list) to builder.
 * Returns false if the version is not in force everywhere after timeout_ms.
 */
bool wwh_rollout_wait(const wwh_rollout_t *rollout, JsonBuilder *builder);

#endif
