#ifndef WAXWINGHOLLOW_FLEET_BRIDGE_H
#define WAXWINGHOLLOW_FLEET_BRIDGE_H

/*
 * NAME
 *	fleet_bridge - from the log-ordered state and the platform's reports to
 *	the view that the decisions see
 *
 * USE
 *	The state says what was agreed: pools, grants, waves, placements. The
 *	observations say what was last heard: hosts of the lagging list, task
 *	reports, requests that entry processes count on a worker. Where both
 *	speak of one thing the state wins, because the reports lag: a host
 *	that the list calls gone is shown as such beside the worker's state,
 *	and becomes a failure only by a record.
 *
 *	A task report counts for a job only with the fence of the job's last
 *	placement; older ones are of runs that are over.
 *
 * ORDER OF CALLS
 *	wwh_observations_new; the wwh_observations_* calls as reports come in;
 *	wwh_fleet_bridge_create_view whenever a fresh view is needed. One thread.
 */

#include "waxwinghollow/fleet_view.h"
#include "waxwinghollow/platform.h"
#include "waxwinghollow/state.h"

typedef struct wwh_observations wwh_observations_t;

wwh_observations_t *wwh_observations_new(void);
void wwh_observations_delete(wwh_observations_t *observations);

/* Lines of the list of hosts; all but workers are passed over. */
void wwh_observations_set_host(wwh_observations_t *observations,
			       const wwh_host_t *host);

void wwh_observations_add_task_report(wwh_observations_t *observations,
				      const wwh_task_report_t *report,
				      int64_t now_ms);

/* Sum over the entry processes that are known; replaces the one before. */
void wwh_observations_set_requests(wwh_observations_t *observations,
				   const char *worker, int32_t in_progress);

/*
 * The view of the process that takes its leases as author. Jobs that have
 * ended are left out, but for cancelled ones whose task is still reported as
 * running. Jobs wait since they were first seen here.
 */
wwh_fleet_view_t *wwh_fleet_bridge_create_view(const wwh_state_t *state,
					       wwh_observations_t *observations,
					       const char *author,
					       int64_t now_ms);

#endif
