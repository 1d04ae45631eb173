#ifndef WAXWINGHOLLOW_WORKSPACE_SHARE_H
#define WAXWINGHOLLOW_WORKSPACE_SHARE_H

/*
 * NAME
 *	workspace_share - divides a pool among workspaces when it is full
 *
 * USE
 *	Tracks what each workspace runs in one pool, and divides the pool by
 *	dominant resource fairness: a workspace's share is the largest of its
 *	shares of processor, memory and GPUs, and the shares of those that ask
 *	for more than they get are as their weights. What one doesn't ask for
 *	goes to the others. Work that belongs to no workspace isn't counted.
 *
 * LOAD
 *	One workspace sends many times its usual work, more than its pool can
 *	run. Without shares its work delays that of all others.
 *
 * ORDER OF CALLS
 *	wwh_workspace_share_new; running loads at any time. For each pass over
 *	the waiting work: wwh_workspace_share_begin, the waiting loads,
 *	wwh_workspace_share_divide, queries. wwh_workspace_share_delete.
 */

#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/load.h"

typedef struct wwh_workspace_share wwh_workspace_share_t;

wwh_workspace_share_t *wwh_workspace_share_new(void);
void wwh_workspace_share_delete(wwh_workspace_share_t *share);

/* Adds to or subtracts from the running load. NULL: does nothing. */
void wwh_workspace_share_add(wwh_workspace_share_t *share,
			     const char *workspace, const wwh_load_t *load);
void wwh_workspace_share_subtract(wwh_workspace_share_t *share,
				  const char *workspace,
				  const wwh_load_t *load);

/* Begins a pass. free is the load that the pool has room for. */
void wwh_workspace_share_begin(wwh_workspace_share_t *share,
			       const wwh_load_t *free);
/* Adds a load that waits. A weight below 1 counts as 1. NULL: does nothing. */
void wwh_workspace_share_wait(wwh_workspace_share_t *share,
			      const char *workspace, int64_t weight,
			      const wwh_load_t *load);
void wwh_workspace_share_divide(wwh_workspace_share_t *share);

/*
 * Returns whether workspace would exceed its share if it ran load as well. It
 * never does while it runs nothing, or while the pool has room for all.
 */
bool wwh_workspace_share_exceeds(const wwh_workspace_share_t *share,
				 const char *workspace, const wwh_load_t *load);

/*
 * Returns how many of tasks, which wait for the pool, start before one more task
 * of workspace, if those that wait start by turns according to the weights. All
 * of them, if workspace is NULL.
 */
int64_t wwh_workspace_share_tasks_ahead(const wwh_workspace_share_t *share,
					const char *workspace, int64_t tasks);

#endif
