#ifndef WAXWINGHOLLOW_BUDGET_H
#define WAXWINGHOLLOW_BUDGET_H

/*
 * NAME
 *	budget - whether a worker of a pool may be taken out now
 *
 * USE
 *	A wwh_tally_t counts one pool from the view: who is out by plan, who
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
 *	wwh_tally_new, any of the others, wwh_tally_delete.
 */

#include "waxwinghollow/fleet_view.h"

/* Which limit stands in the way of taking one more worker out. */
typedef enum {
	WWH_BINDING_NONE = 0,
	WWH_BINDING_COUNT, /* lose_count */
	WWH_BINDING_PERCENT, /* lose_percent */
	WWH_BINDING_RACK, /* lose_per_rack */
	WWH_BINDING_ZONE, /* lose_per_zone */
	WWH_BINDING_RESERVE, /* the failure to survive would not fit */
	WWH_BINDING_WINDOW, /* no wave window is open */
	WWH_BINDING_STATE, /* the worker isn't serving */
	WWH_BINDING_WORKERS, /* no worker is left to take */
	WWH_BINDING_KIND_COUNT
} wwh_binding_t;

/* Names of wwh_binding_t, in the same order. */
extern const char *const wwh_binding_names[WWH_BINDING_KIND_COUNT];

typedef struct wwh_tally wwh_tally_t;

/* How many of size workers may be out at once, by plan or by failure. */
int32_t wwh_budget_limit(const wwh_pool_t *rule, int32_t size);

wwh_tally_t *wwh_tally_new(const wwh_fleet_view_t *view, int32_t pool);
void wwh_tally_delete(wwh_tally_t *tally);

/* NONE, or what stands against taking the serving member out now. */
wwh_binding_t wwh_tally_allows(const wwh_tally_t *tally, int32_t worker);

/*
 * The same with another reserve. A rehearsal is itself the failure that the
 * larger reserve is for, and keeps only a worker's.
 */
wwh_binding_t wwh_tally_allows_with(const wwh_tally_t *tally, int32_t worker,
				    wwh_domain_t reserve);

/* Count the member as out, or as serving again. */
void wwh_tally_take(wwh_tally_t *tally, int32_t worker);
void wwh_tally_give_back(wwh_tally_t *tally, int32_t worker);

int32_t wwh_tally_lost(const wwh_tally_t *tally); /* out and failed */
int32_t wwh_tally_limit(const wwh_tally_t *tally);

/* Serving members in the worst domain of that kind. */
int32_t wwh_tally_worst(const wwh_tally_t *tally, wwh_domain_t domain);

/* Whether what is out and failed now is within every limit of the rule. */
bool wwh_tally_holds(const wwh_tally_t *tally);

#endif
