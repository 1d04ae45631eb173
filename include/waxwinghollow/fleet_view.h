#ifndef WAXWINGHOLLOW_FLEET_VIEW_H
#define WAXWINGHOLLOW_FLEET_VIEW_H

/*
 * NAME
 *	fleet_view - the input of decisions about the fleet, as plain structs
 *
 * USE
 *	Capacity, planner, conductor and placement read a wwh_fleet_view_t and
 *	nothing else: no log, no platform, no configuration object. The view
 *	is built anew from the log-ordered state and the platform's reports
 *	(fleet_bridge.h), or by a test. Each id is stored once; everything else
 *	refers to workers, racks, zones, pools and jobs by index. Indexes are
 *	valid only within one view.
 *
 * ORDER OF CALLS
 *	wwh_fleet_view_new; add pools, then workers, then jobs; then
 *	wwh_fleet_view_seal; then read. After sealing, the contents of an item
 *	may be changed, but not its id, pool, rack, zone, or a job's worker.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/config.h"
#include "waxwinghollow/load.h"
#include "waxwinghollow/platform.h"
#include "waxwinghollow/record.h"
#include "waxwinghollow/state.h"

#define WWH_FLEET_NONE (-1) /* an index that refers to nothing */
#define WWH_FLEET_UNKNOWN (-1) /* a count that nobody has reported */

typedef enum {
	WWH_FLEET_SERVING = 0,
	WWH_FLEET_OUT, /* out of its pool under a grant */
	WWH_FLEET_FAILED,
	WWH_FLEET_BETWEEN, /* has left one pool and not joined another */
	WWH_FLEET_STATE_COUNT
} wwh_fleet_state_t;

/* Names of wwh_fleet_state_t, in the same order. */
extern const char *const wwh_fleet_state_names[WWH_FLEET_STATE_COUNT];

typedef struct {
	const char *id;
	int32_t pool; /* WWH_FLEET_NONE: between pools */
	int32_t rack;
	int32_t zone;
	wwh_load_t size;
	wwh_load_t used; /* observed, lagging */
	wwh_fleet_state_t state;
	int64_t grant; /* offset of the grant; WWH_NO_OFFSET: none */
	wwh_grant_reason_t grant_reason;
	const char *grant_owner; /* id of the wave or rehearsal; "" */
	int64_t failed; /* offset of the failure; WWH_NO_OFFSET: none */
	int32_t wanted_pool; /* by the inventory; a move is due if not pool */
	int32_t move_from; /* WWH_FLEET_NONE: not between pools */
	int32_t move_to;
	bool in_wave; /* is to be maintained by its pool's wave */
	bool maintained; /* already, by its pool's wave that has not ended */
	bool quarantined; /* receives no new jobs; counts as lost */
	int32_t host_state; /* wwh_host_state_t; WWH_FLEET_UNKNOWN */
	int32_t requests_in_progress; /* WWH_FLEET_UNKNOWN: not reported */
	int32_t first_job; /* set by sealing: into the jobs by worker */
	int32_t job_count;
} wwh_fleet_worker_t;

typedef struct {
	const char *id;
	wwh_pool_t rule; /* rule.id equals id */
	int64_t fence; /* of the lease held here; WWH_NO_OFFSET: none */
	int32_t wave; /* running or paused; WWH_FLEET_NONE: none */
	int32_t first_member; /* set by sealing: into the members by pool */
	int32_t size;
} wwh_fleet_pool_t;

typedef struct {
	const char *id;
	int32_t zone;
	int32_t size;
} wwh_fleet_rack_t;

typedef struct {
	const char *id;
	int32_t size;
} wwh_fleet_zone_t;

typedef struct {
	const char *id;
	int32_t pool;
	wwh_wave_phase_t phase;
} wwh_fleet_wave_t;

typedef struct {
	const char *id;
	wwh_domain_t domain;
	const char *domain_id;
	int64_t offset; /* of its start record */
	bool running;
} wwh_fleet_rehearsal_t;

typedef struct {
	const char *id;
	const char *team;
	const char *group; /* its jobs are spread over zones; "": none */
	int32_t pool;
	int32_t worker; /* that runs it; WWH_FLEET_NONE: none */
	wwh_job_phase_t phase;
	bool checkpointed; /* pending; resumes from its checkpoint */
	wwh_load_t declared;
	wwh_load_t used; /* observed, lagging; 0 before the first report */
	bool urgent;
	bool idempotent; /* may run twice */
	int64_t queued_ms; /* start of its waiting time */
	int64_t started_ms; /* start of its run */
	int64_t renewed_ms; /* when its lease was last renewed */
	int64_t expected_end_ms; /* from earlier jobs of its team; 0: unknown */
	int64_t lease; /* offset of its placement; WWH_NO_OFFSET: none */
	int32_t report; /* wwh_task_state_t for lease; WWH_FLEET_UNKNOWN */
} wwh_fleet_job_t;

typedef struct wwh_fleet_view wwh_fleet_view_t;

wwh_fleet_view_t *wwh_fleet_view_new(void);
void wwh_fleet_view_delete(wwh_fleet_view_t *view);

/*
 * The add functions of pools, workers, jobs, waves and rehearsals return the
 * index of the new item. Ids must be unique within a kind.
 */
int32_t wwh_fleet_view_add_pool(wwh_fleet_view_t *view, const wwh_pool_t *rule);

/*
 * The worker is added as serving, or as between pools if its pool is unknown or
 * not set.
 */
int32_t wwh_fleet_view_add_worker(wwh_fleet_view_t *view,
				  const wwh_worker_t *worker);

/* Copies job and its strings; its indexes must be valid in this view. */
int32_t wwh_fleet_view_add_job(wwh_fleet_view_t *view,
			       const wwh_fleet_job_t *job);

/* A running or paused wave is set as its pool's wave. */
int32_t wwh_fleet_view_add_wave(wwh_fleet_view_t *view,
				const wwh_fleet_wave_t *wave);
int32_t wwh_fleet_view_add_rehearsal(wwh_fleet_view_t *view,
				     const wwh_fleet_rehearsal_t *rehearsal);

void wwh_fleet_view_add_window(wwh_fleet_view_t *view,
			       const wwh_window_t *window);
void wwh_fleet_view_add_team(wwh_fleet_view_t *view, const wwh_team_t *team);
void wwh_fleet_view_set_rules(wwh_fleet_view_t *view, const wwh_rules_t *rules);

/* Sets the offset of the last record that the view was built from. */
void wwh_fleet_view_set_offset(wwh_fleet_view_t *view, int64_t offset);

/* Returns a copy of text that is valid until the view is deleted. */
const char *wwh_fleet_view_copy_string(wwh_fleet_view_t *view,
				       const char *text);

/* Builds the indexes of members by pool and of jobs by worker. */
void wwh_fleet_view_seal(wwh_fleet_view_t *view);

int32_t wwh_fleet_worker_count(const wwh_fleet_view_t *view);
int32_t wwh_fleet_pool_count(const wwh_fleet_view_t *view);
int32_t wwh_fleet_rack_count(const wwh_fleet_view_t *view);
int32_t wwh_fleet_zone_count(const wwh_fleet_view_t *view);
int32_t wwh_fleet_job_count(const wwh_fleet_view_t *view);
int32_t wwh_fleet_wave_count(const wwh_fleet_view_t *view);
int32_t wwh_fleet_rehearsal_count(const wwh_fleet_view_t *view);

wwh_fleet_worker_t *wwh_fleet_worker(const wwh_fleet_view_t *view,
				     int32_t index);
wwh_fleet_pool_t *wwh_fleet_pool(const wwh_fleet_view_t *view, int32_t index);
const wwh_fleet_rack_t *wwh_fleet_rack(const wwh_fleet_view_t *view,
				       int32_t index);
const wwh_fleet_zone_t *wwh_fleet_zone(const wwh_fleet_view_t *view,
				       int32_t index);
wwh_fleet_job_t *wwh_fleet_job(const wwh_fleet_view_t *view, int32_t index);
wwh_fleet_wave_t *wwh_fleet_wave(const wwh_fleet_view_t *view, int32_t index);
wwh_fleet_rehearsal_t *wwh_fleet_rehearsal(const wwh_fleet_view_t *view,
					   int32_t index);

const wwh_window_t *wwh_fleet_windows(const wwh_fleet_view_t *view,
				      int32_t *count);
const wwh_team_t *wwh_fleet_teams(const wwh_fleet_view_t *view, int32_t *count);
const wwh_rules_t *wwh_fleet_rules(const wwh_fleet_view_t *view);
int64_t wwh_fleet_offset(const wwh_fleet_view_t *view);

/* Returns the worker index of the pool's member; position < the pool's size. */
int32_t wwh_fleet_member(const wwh_fleet_view_t *view, int32_t pool,
			 int32_t position);

/* Returns the index of a job on the worker; position < its job_count. */
int32_t wwh_fleet_worker_job(const wwh_fleet_view_t *view, int32_t worker,
			     int32_t position);

/* Each returns the index of the item with this id, or WWH_FLEET_NONE. */
int32_t wwh_fleet_find_worker(const wwh_fleet_view_t *view, const char *id);
int32_t wwh_fleet_find_pool(const wwh_fleet_view_t *view, const char *id);
int32_t wwh_fleet_find_rack(const wwh_fleet_view_t *view, const char *id);
int32_t wwh_fleet_find_zone(const wwh_fleet_view_t *view, const char *id);
int32_t wwh_fleet_find_job(const wwh_fleet_view_t *view, const char *id);
int32_t wwh_fleet_find_wave(const wwh_fleet_view_t *view, const char *id);
int32_t wwh_fleet_find_rehearsal(const wwh_fleet_view_t *view, const char *id);

/* Returns whether the worker is in that failure domain. */
bool wwh_fleet_is_in_domain(const wwh_fleet_view_t *view, int32_t worker,
			    wwh_domain_t domain, const char *domain_id);

/* Returns whether the worker counts as lost capacity of its pool. */
bool wwh_fleet_is_lost(const wwh_fleet_worker_t *worker);

#endif
