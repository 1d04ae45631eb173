#ifndef WAXWINGHOLLOW_BUDGET_H
#define WAXWINGHOLLOW_BUDGET_H

/*
 * NAME
 *	budget - whether a worker of a pool may be taken out now
 *
 * USE
 *	A wwh_pool_budget_t counts the members of one pool in the view that
 *	are out by plan, failed or quarantined, in total and for each rack and
 *	zone. The planner and the conductor consult it before they take out a
 *	worker. The reducer makes the final decision when it applies the log;
 *	this check keeps the conductor from appending requests that the
 *	reducer would refuse, and additionally keeps the reserve.
 *
 *	Addresses: failures that coincide with a wave. Without the reserve a
 *	wave uses the whole budget, and the first failure during it exceeds
 *	the budget. With the reserve, a worker is taken out only if the loss
 *	of any one domain of the kind that the rule names would still be
 *	within the budget:
 *
 *	    out + failed + (serving members of the largest domain) <= budget
 *
 *	The sum counts a member once: a member that is already out is not
 *	lost again when its domain fails. Planned work in one domain at a time
 *	therefore needs less reserve than the same work spread over several.
 *
 * ORDER OF CALLS
 *	wwh_pool_budget_new, any of the others, wwh_pool_budget_delete.
 */

#include "waxwinghollow/fleet_view.h"

/* The constraint that prevents taking out one more worker. */
typedef enum {
	WWH_CONSTRAINT_NONE = 0,
	WWH_CONSTRAINT_LOSE_COUNT,
	WWH_CONSTRAINT_LOSE_PERCENT,
	WWH_CONSTRAINT_LOSE_PER_RACK,
	WWH_CONSTRAINT_LOSE_PER_ZONE,
	WWH_CONSTRAINT_RESERVE, /* the reserve would not fit */
	WWH_CONSTRAINT_WINDOW, /* no wave window is open */
	WWH_CONSTRAINT_WORKER_STATE, /* the worker is not serving */
	WWH_CONSTRAINT_NO_WORKERS, /* no serving worker is left */
	WWH_CONSTRAINT_KIND_COUNT
} wwh_constraint_t;

/* Names of wwh_constraint_t, in the same order. */
extern const char *const wwh_constraint_names[WWH_CONSTRAINT_KIND_COUNT];

typedef struct wwh_pool_budget wwh_pool_budget_t;

/*
 * The number of workers, of a pool of size workers, that may be out at once by
 * plan or by failure.
 */
int32_t wwh_budget_limit(const wwh_pool_t *rule, int32_t size);

wwh_pool_budget_t *wwh_pool_budget_new(const wwh_fleet_view_t *view,
				       int32_t pool);
void wwh_pool_budget_delete(wwh_pool_budget_t *budget);

/*
 * Returns WWH_CONSTRAINT_NONE if the serving member may be taken out now, else
 * the constraint that prevents it.
 */
wwh_constraint_t wwh_pool_budget_allows(const wwh_pool_budget_t *budget,
					int32_t worker);

/*
 * The same check with a reserve other than the rule's. A rehearsal is itself
 * the failure that a rack or zone reserve provides for, so it keeps only the
 * reserve of one worker.
 */
wwh_constraint_t
wwh_pool_budget_allows_with_reserve(const wwh_pool_budget_t *budget,
				    int32_t worker, wwh_domain_t reserve);

/* Count the member as out, or as serving again; the view is not changed. */
void wwh_pool_budget_mark_out(wwh_pool_budget_t *budget, int32_t worker);
void wwh_pool_budget_mark_serving(wwh_pool_budget_t *budget, int32_t worker);

/* Members that are out, failed or quarantined. */
int32_t wwh_pool_budget_lost(const wwh_pool_budget_t *budget);
/* The number of members that may be lost at once. */
int32_t wwh_pool_budget_limit(const wwh_pool_budget_t *budget);

/* The number of serving members in the domain of that kind with the most. */
int32_t wwh_pool_budget_largest_domain(const wwh_pool_budget_t *budget,
				       wwh_domain_t domain);

/* Whether the members lost now are within every limit of the rule. */
bool wwh_pool_budget_is_met(const wwh_pool_budget_t *budget);

#endif
