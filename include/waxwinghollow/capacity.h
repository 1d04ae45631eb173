#ifndef WAXWINGHOLLOW_CAPACITY_H
#define WAXWINGHOLLOW_CAPACITY_H

/*
 * NAME
 *	capacity - healthy capacity of a pool, and what its buffer costs
 *
 * USE
 *	wwh_capacity_of counts one pool: what is healthy, what is out, what is
 *	held back and for which failure. wwh_capacity_options lists what
 *	holding less would save and what it would risk. Operators see both in
 *	`status` and `wave plan`.
 *
 *	Answers: capacity that looks healthy because a failure has not been
 *	recorded yet. The list of hosts lags; for its lag the count is too
 *	high. The reserve covers it: workers are only taken out while the loss
 *	of any one domain of the rule's kind still fits the budget, so one
 *	unrecorded failure of that kind, at any moment of a wave, leaves the
 *	budget whole. That suffices for one failure within the lag. It does
 *	not when two domains fail within the lag, when a larger domain fails
 *	than the rule names, or when the rule's budget is smaller than the
 *	domain: then breach_workers says by how much the budget would be
 *	broken.
 *
 *	held_back is the least spare capacity with which the rule can be kept:
 *	the reserve and the workers that a wave has out at once. Those are the
 *	workers that the operator pays for and that serve nothing in the worst
 *	moment.
 *
 * ORDER OF CALLS
 *	None: all calls are functions of their arguments.
 */

#include "waxwinghollow/budget.h"

typedef struct {
	int32_t size;
	int32_t serving;
	int32_t out;
	int32_t failed;
	int32_t limit; /* may be lost at once */
	int32_t room; /* may be taken out now, at least */
	wwh_constraint_t binding; /* what keeps room from being larger */
	wwh_domain_t reserve; /* the failure to survive */
	int32_t reserve_workers; /* what that failure would take now */
	int32_t held_back; /* reserve_workers and what is out by plan */
	int64_t serving_cores_milli;
	int64_t used_cores_milli; /* observed on serving workers */
	bool holds; /* within the budget now */
	bool survives; /* and after the worst failure of the reserve's kind */
} wwh_capacity_t;

/* What another reserve would mean for the pool. */
typedef struct {
	wwh_domain_t reserve;
	int32_t held_back; /* reserve and one worker out by plan */
	int32_t out_at_once; /* workers that a wave could have out */
	/* By how many workers the worst failure of each kind would break the
	 * budget while the wave has that many out. */
	int32_t breach_workers[WWH_DOMAIN_COUNT];
} wwh_capacity_option_t;

wwh_capacity_t wwh_capacity_of(const wwh_fleet_view_t *view, int32_t pool);

/* One option for each wwh_domain_t, in that order. */
void wwh_capacity_options(const wwh_fleet_view_t *view, int32_t pool,
			  wwh_capacity_option_t options[WWH_DOMAIN_COUNT]);

/*
 * All pools for people and for scripts: a line a pool, and below it what each
 * smaller reserve would save and risk. g_free.
 */
char *wwh_capacity_text(const wwh_fleet_view_t *view);
char *wwh_capacity_json(const wwh_fleet_view_t *view);

#endif
