#ifndef WAXWINGHOLLOW_JOB_CONFIG_H
#define WAXWINGHOLLOW_JOB_CONFIG_H

/*
 * NAME
 *	job_config - queues and pools of the configuration in force
 *
 * USE
 *	A new version replaces the previous one as a whole. Version numbers
 *	rise; a process never returns to an older version.
 *
 * ORDER OF CALLS
 *	wwh_job_config_new, queues and pools added, look-ups,
 *	wwh_job_config_unref after the last use. A configuration is immutable
 *	once it has been filled, so that threads can share it.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/api_keys.h"
#include "waxwinghollow/job.h"

typedef struct {
	char *host; /* matches the Host header, without the port */
	char *prefix; /* matches the path; the longest prefix wins */
	int64_t timeout_ms;
	bool is_public; /* needs no API key */
	wwh_job_queue_t rules;
} wwh_queue_t;

typedef struct {
	char *name;
	bool standby; /* its hosts are off and run nothing */
} wwh_job_pool_t;

typedef struct {
	char *name;
	wwh_load_t limit; /* of its running tasks; 0 in a field: no limit */
	int64_t weight; /* of its share of a pool that is full; 0: none given */
} wwh_workspace_limit_t;

typedef struct {
	int64_t version;
	GArray *queues; /* wwh_queue_t */
	GArray *pools; /* wwh_job_pool_t */
	GArray *limits; /* wwh_workspace_limit_t */
	wwh_api_keys_t *api_keys; /* NULL: no workspaces are configured */
	int64_t max_body_bytes;
	gint references;
} wwh_job_config_t;

wwh_job_config_t *wwh_job_config_new(int64_t version);
wwh_job_config_t *wwh_job_config_ref(wwh_job_config_t *config);
void wwh_job_config_unref(wwh_job_config_t *config);

/* Both take ownership of the strings. */
void wwh_job_config_add_queue(wwh_job_config_t *config,
			      const wwh_queue_t *queue);
void wwh_job_config_add_pool(wwh_job_config_t *config,
			     const wwh_job_pool_t *pool);

void wwh_job_config_add_limit(wwh_job_config_t *config,
			      const wwh_workspace_limit_t *limit);

/*
 * Returns the queue that a request addresses, and in *rest the path behind its
 * prefix; NULL: no queue matches.
 */
const wwh_queue_t *wwh_job_config_find_queue(const wwh_job_config_t *config,
					     const char *host, const char *path,
					     const char **rest);

#endif
