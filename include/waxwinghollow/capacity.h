#ifndef WAXWINGHOLLOW_CAPACITY_H
#define WAXWINGHOLLOW_CAPACITY_H

/*
 * NAME
 *	capacity - healthy capacity of a pool, and the cost of its buffer
 *
 * USE
 *	wwh_capacity_of counts one pool: the members that are healthy, out and
 *	failed, the capacity that is held back, and the failure that it is
 *	held back for. wwh_capacity_options lists what a smaller reserve would
 *	save and what it would risk. Operators see both in `status` and
 *	`wave plan`.
 *
 *	Addresses: capacity that looks healthy because a failure has not been
 *	recorded yet. The list of hosts lags, and for the duration of its lag
 *	the count is too high. The reserve covers this: workers are taken out
 *	only while the loss of any one domain of the rule's kind still fits
 *	the budget, so one unrecorded failure of that kind, at any moment of a
 *	wave, keeps the pool within its budget. That suffices for one failure
 *	within the lag. It does not suffice when two domains fail within the
 *	lag, when a domain larger than the rule names fails, or when the
 *	rule's budget is smaller than the domain; breach_workers then gives
 *	the number of workers by which the budget would be exceeded.
 *
 *	held_back is the least spare capacity with which the rule can be kept:
 *	the reserve plus the workers out by plan: those out now in
 *	wwh_capacity_t, or one in wwh_capacity_option_t. The operator
 *	pays for these workers, and in the worst case none of them serves.
 *
 * ORDER OF CALLS
 *	None: the result of each call depends only on its arguments.
 */

#include "waxwinghollow/budget.h"

typedef struct {
	int32_t size;
	int32_t serving;
	int32_t out;
	int32_t failed;
	int32_t limit; /* members that may be lost at once */
	int32_t room; /* lower bound of the members that may be taken out now */
	wwh_constraint_t limited_by; /* the constraint on room */
	wwh_domain_t reserve; /* the kind of failure to survive */
	int32_t reserve_workers; /* members that this failure would take now */
	int32_t held_back; /* reserve_workers plus members out by plan */
	int64_t serving_cores_milli;
	int64_t used_cores_milli; /* observed on serving workers */
	bool holds; /* the members lost now are within the budget */
	bool survives; /* and still are after the reserved failure */
} wwh_capacity_t;

/* The effect of a different reserve on the pool. */
typedef struct {
	wwh_domain_t reserve;
	int32_t held_back; /* the reserve plus one worker out by plan */
	int32_t out_at_once; /* workers that a wave could have out */
	/* By how many workers the largest failure of each kind would exceed
	 * the budget while a wave has out_at_once workers out. */
	int32_t breach_workers[WWH_DOMAIN_COUNT];
} wwh_capacity_option_t;

wwh_capacity_t wwh_capacity_of(const wwh_fleet_view_t *view, int32_t pool);

/* Writes one option for each wwh_domain_t, in that order. */
void wwh_capacity_options(const wwh_fleet_view_t *view, int32_t pool,
			  wwh_capacity_option_t options[WWH_DOMAIN_COUNT]);

/*
 * Reports on all pools, as text for people and as JSON for scripts: one entry
 * for each pool, with what other reserves would save and risk. The caller
 * frees the result with g_free.
 */
char *wwh_capacity_text(const wwh_fleet_view_t *view);
char *wwh_capacity_json(const wwh_fleet_view_t *view);

#endif
