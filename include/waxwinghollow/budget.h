#ifndef WAXWINGHOLLOW_BUDGET_H
#define WAXWINGHOLLOW_BUDGET_H

/*
 * NAME
 *	budget - whether a worker of a pool may be taken out now
 *
 * USE
 *	A wwh_pool_budget_t counts one pool from the view: who is out by plan, who
 *	has failed, in which racks and zones. Planner and conductor ask it
 *	before each worker. The reducer has the last word on the log; the
 *	tally keeps the conductor from asking for what would be refused, and
 *	adds the reserve.
 *
 *	Answers: failures that come together with a wave. Without the reserve
 *	a wave uses the whole budget and the first failure during it breaks
 *	the pool's promise. With it, a worker is taken out only if the loss of
 *	any one domain of the kind that the rule names would still be within
 *	the budget:
 *
 *	    out + failed + (serving members of the worst domain) <= budget
 *
 *	The sum counts a member once: one that is out in the domain that
 *	fails is not lost again. So planned work in one domain at a time costs
 *	less reserve than the same work spread out.
 *
 * ORDER OF CALLS
 *	wwh_pool_budget_new, any of the others, wwh_pool_budget_delete.
 */

#include "waxwinghollow/fleet_view.h"

/* Which limit stands in the way of taking one more worker out. */
typedef enum {
	WWH_CONSTRAINT_NONE = 0,
	WWH_CONSTRAINT_LOSE_COUNT, /* lose_count */
	WWH_CONSTRAINT_LOSE_PERCENT, /* lose_percent */
	WWH_CONSTRAINT_LOSE_PER_RACK, /* lose_per_rack */
	WWH_CONSTRAINT_LOSE_PER_ZONE, /* lose_per_zone */
	WWH_CONSTRAINT_RESERVE, /* the failure to survive would not fit */
	WWH_CONSTRAINT_WINDOW, /* no wave window is open */
	WWH_CONSTRAINT_WORKER_STATE, /* the worker isn't serving */
	WWH_CONSTRAINT_NO_WORKERS, /* no worker is left to take */
	WWH_CONSTRAINT_KIND_COUNT
} wwh_constraint_t;

/* Names of wwh_constraint_t, in the same order. */
extern const char *const wwh_constraint_names[WWH_CONSTRAINT_KIND_COUNT];

typedef struct wwh_pool_budget wwh_pool_budget_t;

/* How many of size workers may be out at once, by plan or by failure. */
int32_t wwh_budget_limit(const wwh_pool_t *rule, int32_t size);

wwh_pool_budget_t *wwh_pool_budget_new(const wwh_fleet_view_t *view,
				       int32_t pool);
void wwh_pool_budget_delete(wwh_pool_budget_t *tally);

/* NONE, or what stands against taking the serving member out now. */
wwh_constraint_t wwh_pool_budget_allows(const wwh_pool_budget_t *tally,
					int32_t worker);

/*
 * The same with another reserve. A rehearsal is itself the failure that the
 * larger reserve is for, and keeps only a worker's.
 */
wwh_constraint_t
wwh_pool_budget_allows_with_reserve(const wwh_pool_budget_t *tally,
				    int32_t worker, wwh_domain_t reserve);

/* Count the member as out, or as serving again. */
void wwh_pool_budget_mark_out(wwh_pool_budget_t *tally, int32_t worker);
void wwh_pool_budget_mark_serving(wwh_pool_budget_t *tally, int32_t worker);

int32_t
wwh_pool_budget_lost(const wwh_pool_budget_t *tally); /* out and failed */
int32_t wwh_pool_budget_limit(const wwh_pool_budget_t *tally);

/* Serving members in the worst domain of that kind. */
int32_t wwh_pool_budget_largest_domain(const wwh_pool_budget_t *tally,
				       wwh_domain_t domain);

/* Whether what is out and failed now is within every limit of the rule. */
bool wwh_pool_budget_is_met(const wwh_pool_budget_t *tally);

#endif
