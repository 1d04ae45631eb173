#ifndef WAXWINGHOLLOW_WORKSPACE_QUOTA_H
#define WAXWINGHOLLOW_WORKSPACE_QUOTA_H

/*
 * NAME
 *	workspace_quota - tracks the running load and limit of each workspace
 *
 * USE
 *	Sums the load of each workspace over all pools, without input or
 *	output. Work that belongs to no workspace has no limit.
 *
 * LOAD
 *	One workspace sends many times its usual work. Without a limit its
 *	tasks would occupy all hosts, and the other workspaces would wait.
 *
 * ORDER OF CALLS
 *	wwh_workspace_quota_new; limits, loads and queries in any order;
 *	wwh_workspace_quota_delete.
 */

#include <stdbool.h>

#include "waxwinghollow/load.h"

typedef struct wwh_workspace_quota wwh_workspace_quota_t;

wwh_workspace_quota_t *wwh_workspace_quota_new(void);
void wwh_workspace_quota_delete(wwh_workspace_quota_t *quota);

/* Removes all limits, before those of a new configuration are set. */
void wwh_workspace_quota_clear_limits(wwh_workspace_quota_t *quota);
/* A member of limit that is 0 sets no limit for that resource. */
void wwh_workspace_quota_set_limit(wwh_workspace_quota_t *quota,
				   const char *workspace,
				   const wwh_load_t *limit);

/* Does nothing when workspace is NULL. */
void wwh_workspace_quota_add(wwh_workspace_quota_t *quota,
			     const char *workspace, const wwh_load_t *load);
void wwh_workspace_quota_subtract(wwh_workspace_quota_t *quota,
				  const char *workspace,
				  const wwh_load_t *load);

bool wwh_workspace_quota_is_limited(const wwh_workspace_quota_t *quota,
				    const char *workspace);

/*
 * Returns true when load fits within the limit in addition to the running load
 * and to reserved, a load that may be running. A task that is larger than the
 * limit is allowed when nothing else is running, as it could never run
 * otherwise.
 */
bool wwh_workspace_quota_allows(const wwh_workspace_quota_t *quota,
				const char *workspace, const wwh_load_t *load,
				const wwh_load_t *reserved);

#endif
