#ifndef WAXWINGHOLLOW_RETRY_H
#define WAXWINGHOLLOW_RETRY_H

/*
 * NAME
 *	retry - whether a failed attempt is followed by another
 *
 * LOAD PATTERN
 *	A minion that fails; a whole service that is down and recovers.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	Without retries one bad minion of ten fails a tenth of the requests.
 *	With unlimited retries an outage multiplies the load by the number of
 *	attempts just when the service tries to recover. A retry of a request
 *	that may have run can repeat its effect: two houses get one address.
 *
 * HOW IT DECIDES
 *	A retry needs an attempt that certainly did not run, or an idempotent
 *	request. There is none once a byte of an answer was sent to the caller,
 *	or when the usual run time no longer fits before the deadline.
 *
 *	Each service has a budget of tokens, one for each retry: a first
 *	attempt earns 0.08 tokens, and at most 10 are saved. In a full outage
 *	this limits the attempts to less than 1.1 a request (1.08 and the ten
 *	saved ones); a single failing minion out of ten costs about 3 retries a
 *	process before it is ejected, which the ten saved ones cover.
 *
 *	A retry goes to another minion without a delay. If there is no other,
 *	it is delayed by the minion's Retry-After, else by up to 50 ms doubled
 *	for each further attempt, with full jitter so that requests that failed
 *	together don't return together.
 *
 * ORDER OF CALLS
 *	wwh_retry_credit_first_attempt for each request's first attempt;
 *	wwh_retry_decide after each attempt.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/dispatch.h"

typedef struct {
	double tokens;
} wwh_retry_budget_t;

typedef struct {
	wwh_outcome_t outcome;
	bool idempotent;
	bool answer_begun;
	bool may_have_run; /* in an earlier attempt */
	bool other_minion; /* another minion is usable */
	int32_t attempts; /* so far, this one included */
	int32_t attempts_max;
	int64_t remaining_ms; /* until the deadline */
	int32_t usual_run_ms;
	int32_t retry_after_ms; /* sent by the minion; 0: none */
} wwh_retry_attempt_t;

typedef struct {
	bool should_retry;
	int32_t delay_ms;
	wwh_error_kind_t kind; /* of the final error, if not should_retry */
	bool may_have_run; /* in this attempt or an earlier one */
} wwh_retry_decision_t;

void wwh_retry_budget_init(wwh_retry_budget_t *budget);
void wwh_retry_credit_first_attempt(wwh_retry_budget_t *budget);
wwh_retry_decision_t wwh_retry_decide(wwh_retry_budget_t *budget,
				      const wwh_retry_attempt_t *attempt,
				      GRand *random);

/* True if an attempt with that outcome certainly did not run. */
bool wwh_retry_did_not_run(wwh_outcome_t outcome);

/*
 * The kind to report to the caller. If an earlier attempt may have run, a kind
 * that means "not run" would be wrong and is replaced by one that means that
 * the outcome is unknown.
 */
wwh_error_kind_t wwh_retry_reported_kind(wwh_error_kind_t kind,
					 bool may_have_run);

#endif
