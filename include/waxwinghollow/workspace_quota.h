#ifndef WAXWINGHOLLOW_WORKSPACE_QUOTA_H
#define WAXWINGHOLLOW_WORKSPACE_QUOTA_H

/*
 * NAME
 *	workspace_quota - what each workspace has at work, and may have
 *
 * USE
 *	Sums over all pools, without input or output. Work of no workspace has
 *	no limit.
 *
 * LOAD
 *	One workspace sends many times its usual. Without limits it takes all
 *	hosts, and the others wait for its tasks.
 *
 * ORDER OF CALLS
 *	wwh_workspace_quota_new; limits and sums in any order; queries;
 *	wwh_workspace_quota_delete.
 */

#include <stdbool.h>

#include "waxwinghollow/load.h"

typedef struct wwh_workspace_quota wwh_workspace_quota_t;

wwh_workspace_quota_t *wwh_workspace_quota_new(void);
void wwh_workspace_quota_delete(wwh_workspace_quota_t *quota);

/* Limits of a configuration are set anew, after those of the one before went. */
void wwh_workspace_quota_clear_limits(wwh_workspace_quota_t *quota);
/* 0 in a part of limit: that part has none. */
void wwh_workspace_quota_set_limit(wwh_workspace_quota_t *quota,
				   const char *workspace,
				   const wwh_load_t *limit);

/* workspace NULL: none; nothing is counted. */
void wwh_workspace_quota_add(wwh_workspace_quota_t *quota,
			     const char *workspace, const wwh_load_t *load);
void wwh_workspace_quota_subtract(wwh_workspace_quota_t *quota,
				  const char *workspace,
				  const wwh_load_t *load);

bool wwh_workspace_quota_is_limited(const wwh_workspace_quota_t *quota,
				    const char *workspace);

/*
 * Whether load fits beside what is at work and reserved, which may be at work.
 * One task that is larger than the limit fits where there is nothing else:
 * it could never run otherwise.
 */
bool wwh_workspace_quota_allows(const wwh_workspace_quota_t *quota,
				const char *workspace, const wwh_load_t *load,
				const wwh_load_t *reserved);

#endif
