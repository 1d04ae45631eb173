#ifndef WAXWINGHOLLOW_JOB_CONFIG_H
#define WAXWINGHOLLOW_JOB_CONFIG_H

/*
 * NAME
 *	job_config - queues and pools as the operator has put them in force
 *
 * USE
 *	A version replaces the one before as a whole. Versions rise; a process
 *	never goes back to an older one.
 *
 * ORDER OF CALLS
 *	wwh_job_config_new, queues and pools added, look-ups,
 *	wwh_job_config_unref after the last use. Not written to after it was
 *	made, so threads share it.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/api_keys.h"
#include "waxwinghollow/job.h"

typedef struct {
	char *host; /* of the Host header, without a port */
	char *prefix; /* of the path; the longest one wins */
	int64_t timeout_ms;
	bool is_public; /* needs no API key */
	wwh_job_queue_t rules;
} wwh_queue_t;

typedef struct {
	char *name;
	bool standby; /* its hosts are off */
} wwh_job_pool_t;

typedef struct {
	char *name;
	wwh_load_t limit; /* of what it has at work; 0 in a part: none */
} wwh_workspace_limit_t;

typedef struct {
	int64_t version;
	GArray *queues; /* wwh_queue_t */
	GArray *pools; /* wwh_job_pool_t */
	GArray *limits; /* wwh_workspace_limit_t */
	wwh_api_keys_t *api_keys; /* NULL: there are no workspaces */
	int64_t max_body_bytes;
	gint references;
} wwh_job_config_t;

wwh_job_config_t *wwh_job_config_new(int64_t version);
wwh_job_config_t *wwh_job_config_ref(wwh_job_config_t *config);
void wwh_job_config_unref(wwh_job_config_t *config);

/* Take over what the strings point to. */
void wwh_job_config_add_queue(wwh_job_config_t *config,
			      const wwh_queue_t *queue);
void wwh_job_config_add_pool(wwh_job_config_t *config,
			     const wwh_job_pool_t *pool);

void wwh_job_config_add_limit(wwh_job_config_t *config,
			      const wwh_workspace_limit_t *limit);

/* The queue that a request names; *rest is its path behind the prefix. */
const wwh_queue_t *wwh_job_config_find_queue(const wwh_job_config_t *config,
					     const char *host, const char *path,
					     const char **rest);

#endif
