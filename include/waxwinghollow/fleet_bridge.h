#ifndef WAXWINGHOLLOW_FLEET_BRIDGE_H
#define WAXWINGHOLLOW_FLEET_BRIDGE_H

/*
 * NAME
 *	fleet_bridge - builds the fleet view that decisions read from the
 *	log-ordered state and the platform's reports
 *
 * USE
 *	The state holds what was agreed: pools, grants, waves, placements. The
 *	observations hold what was last reported: the states of hosts in the
 *	platform's list, task reports, and the requests in progress that entry
 *	processes count on a worker. Where both describe the same thing the
 *	state takes precedence, because reports lag: a host that the list
 *	reports as gone is shown as such beside the worker's state, and becomes
 *	a failure only by a record.
 *
 *	A task report counts for a job only if its fence is that of the job's
 *	last placement; reports with older fences belong to runs that ended.
 *
 * ORDER OF CALLS
 *	wwh_observations_new; the wwh_observations_* calls as reports come in;
 *	wwh_fleet_bridge_create_view whenever a new view is needed. One thread.
 */

#include "waxwinghollow/fleet_view.h"
#include "waxwinghollow/platform.h"
#include "waxwinghollow/state.h"

typedef struct wwh_observations wwh_observations_t;

wwh_observations_t *wwh_observations_new(void);
void wwh_observations_delete(wwh_observations_t *observations);

/* Records the state of a host from the platform's list; ignores non-workers. */
void wwh_observations_set_host(wwh_observations_t *observations,
			       const wwh_host_t *host);

void wwh_observations_add_task_report(wwh_observations_t *observations,
				      const wwh_task_report_t *report,
				      int64_t now_ms);

/*
 * Sets the worker's requests in progress, summed over the known entry
 * processes; replaces the previous sum.
 */
void wwh_observations_set_requests(wwh_observations_t *observations,
				   const char *worker, int32_t in_progress);

/*
 * Builds the view of the process that acquires leases as author; the caller
 * deletes it. Ended jobs are omitted, except cancelled ones whose task is still
 * reported as running. A job's waiting time starts when it first occurred in a
 * view built from these observations.
 */
wwh_fleet_view_t *wwh_fleet_bridge_create_view(const wwh_state_t *state,
					       wwh_observations_t *observations,
					       const char *author,
					       int64_t now_ms);

#endif
