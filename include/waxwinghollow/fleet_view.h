#ifndef WAXWINGHOLLOW_FLEET_VIEW_H
#define WAXWINGHOLLOW_FLEET_VIEW_H

/*
 * NAME
 *	fleet_view - what the decisions about the fleet see, as plain structs
 *
 * USE
 *	Capacity, planner, conductor and placement read a wwh_fleet_view_t and
 *	nothing else: no log, no platform, no configuration object. The view
 *	is made afresh from the log-ordered state and the platform's reports
 *	(fleet_bridge.h), or by a test. Ids are kept once; everything else
 *	refers to workers, racks, zones, pools and jobs by index. Indexes hold
 *	only within one view.
 *
 * ORDER OF CALLS
 *	wwh_fleet_view_new; add pools, then workers, then jobs; then
 *	wwh_fleet_view_seal; then read. After the seal the contents of an item
 *	may be changed, not its id, pool, rack, zone, or a job's worker.
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
	int32_t wanted_pool; /* of the inventory; differs: a move is due */
	int32_t move_from; /* WWH_FLEET_NONE: it isn't between pools */
	int32_t move_to;
	bool in_wave; /* its pool's wave is to maintain it */
	bool maintained; /* by the wave that is being planned or run */
	bool quarantined; /* takes no new jobs; counts as lost */
	int32_t host_state; /* wwh_host_state_t; WWH_FLEET_UNKNOWN */
	int32_t requests_in_progress; /* WWH_FLEET_UNKNOWN: not reported */
	int32_t first_job; /* set by the seal: into the jobs by worker */
	int32_t job_count;
} wwh_fleet_worker_t;

typedef struct {
	const char *id;
	wwh_pool_t rule; /* rule.id is id */
	int64_t fence; /* of the lease held here; WWH_NO_OFFSET: not held */
	int32_t wave; /* that runs or is paused; WWH_FLEET_NONE */
	int32_t first_member; /* set by the seal: into the members by pool */
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
	int64_t offset; /* of its start */
	bool running;
} wwh_fleet_rehearsal_t;

typedef struct {
	const char *id;
	const char *team;
	const char *group; /* spread over zones among its like; "": none */
	int32_t pool;
	int32_t worker; /* where it runs; WWH_FLEET_NONE */
	wwh_job_phase_t phase;
	bool checkpointed; /* pending; goes on from where it was */
	wwh_load_t declared;
	wwh_load_t used; /* observed, lagging; 0 before the first report */
	bool urgent;
	bool idempotent; /* may run twice */
	int64_t queued_ms; /* since when it waits */
	int64_t started_ms; /* since when it runs */
	int64_t renewed_ms; /* when its lease was last renewed */
	int64_t expected_end_ms; /* as observed of its like; 0: unknown */
	int64_t lease; /* offset of its placement; WWH_NO_OFFSET: none */
	int32_t report; /* wwh_task_state_t under that lease; UNKNOWN */
} wwh_fleet_job_t;

typedef struct wwh_fleet_view wwh_fleet_view_t;

wwh_fleet_view_t *wwh_fleet_view_new(void);
void wwh_fleet_view_delete(wwh_fleet_view_t *view);

/* Each returns the index. Ids must differ within their kind. */
int32_t wwh_fleet_view_add_pool(wwh_fleet_view_t *view, const wwh_pool_t *rule);

/* A pool that isn't known counts as none. The worker is serving. */
int32_t wwh_fleet_view_add_worker(wwh_fleet_view_t *view,
				  const wwh_worker_t *worker);

/* Copies job and its strings; the indexes in it must hold. */
int32_t wwh_fleet_view_add_job(wwh_fleet_view_t *view,
			       const wwh_fleet_job_t *job);

/* A running or paused wave becomes its pool's. Each returns the index. */
int32_t wwh_fleet_view_add_wave(wwh_fleet_view_t *view,
				const wwh_fleet_wave_t *wave);
int32_t wwh_fleet_view_add_rehearsal(wwh_fleet_view_t *view,
				     const wwh_fleet_rehearsal_t *rehearsal);

void wwh_fleet_view_add_window(wwh_fleet_view_t *view,
			       const wwh_window_t *window);
void wwh_fleet_view_add_team(wwh_fleet_view_t *view, const wwh_team_t *team);
void wwh_fleet_view_set_rules(wwh_fleet_view_t *view, const wwh_rules_t *rules);

/* The last record that the view was made from. */
void wwh_fleet_view_set_offset(wwh_fleet_view_t *view, int64_t offset);

/* A copy of text that lives as long as the view. */
const char *wwh_fleet_view_copy_string(wwh_fleet_view_t *view,
				       const char *text);

/* Builds the members by pool and the jobs by worker. */
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

/* Index of the pool's member at position, below the pool's size. */
int32_t wwh_fleet_member(const wwh_fleet_view_t *view, int32_t pool,
			 int32_t position);

/* Index of the job at position on the worker, below its job_count. */
int32_t wwh_fleet_worker_job(const wwh_fleet_view_t *view, int32_t worker,
			     int32_t position);

/* Indexes by id; WWH_FLEET_NONE when there is none. */
int32_t wwh_fleet_find_worker(const wwh_fleet_view_t *view, const char *id);
int32_t wwh_fleet_find_pool(const wwh_fleet_view_t *view, const char *id);
int32_t wwh_fleet_find_rack(const wwh_fleet_view_t *view, const char *id);
int32_t wwh_fleet_find_zone(const wwh_fleet_view_t *view, const char *id);
int32_t wwh_fleet_find_job(const wwh_fleet_view_t *view, const char *id);
int32_t wwh_fleet_find_wave(const wwh_fleet_view_t *view, const char *id);
int32_t wwh_fleet_find_rehearsal(const wwh_fleet_view_t *view, const char *id);

/* Whether the worker stands in that domain. */
bool wwh_fleet_is_in_domain(const wwh_fleet_view_t *view, int32_t worker,
			    wwh_domain_t domain, const char *domain_id);

/* Whether the worker counts as lost to its pool. */
bool wwh_fleet_is_lost(const wwh_fleet_worker_t *worker);

#endif
