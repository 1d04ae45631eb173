#ifndef WAXWINGHOLLOW_RETRY_H
#define WAXWINGHOLLOW_RETRY_H

/*
 * NAME
 *	retry - whether a failed attempt is followed by another
 *
 * LOAD PATTERN
 *	A minion that fails; a whole service that is down and comes back.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	Without retries one bad minion of ten fails a tenth of the requests.
 *	With unlimited ones an outage multiplies the load by the number of
 *	attempts just when the service tries to come back. A retry of work
 *	that may have run gives two houses one address.
 *
 * HOW IT DECIDES
 *	Only an attempt that surely did not run, or an idempotent request, is
 *	tried should_retry; never once a byte of an answer went to the caller; never
 *	where the usual run time no longer fits before the deadline.
 *
 *	Each service has a budget: 0.08 retries are earned by each first
 *	attempt, at most 10 are saved up. In a full outage this holds the
 *	attempts below 1.1 a request (1.08 and the ten saved ones); a single
 *	failing minion out of ten costs about 3 retries a process before it is
 *	ejected, which the ten saved ones cover.
 *
 *	A retry goes to another minion at once. Where there is no other, it
 *	waits: for the minion's Retry-After, else 50 ms doubled for each
 *	attempt, with full jitter so that those who failed together don't
 *	return together.
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
	bool may_have_run; /* by an earlier attempt */
	bool other_minion; /* another one is usable */
	int32_t attempts; /* made so far */
	int32_t attempts_max;
	int64_t remaining_ms; /* to the deadline */
	int32_t usual_run_ms;
	int32_t retry_after_ms; /* the minion's; 0: none */
} wwh_retry_attempt_t;

typedef struct {
	bool should_retry;
	int32_t delay_ms;
	wwh_error_kind_t kind; /* when not should_retry */
	bool may_have_run; /* by this attempt or an earlier one */
} wwh_retry_decision_t;

void wwh_retry_budget_init(wwh_retry_budget_t *budget);
void wwh_retry_credit_first_attempt(wwh_retry_budget_t *budget);
wwh_retry_decision_t wwh_retry_decide(wwh_retry_budget_t *budget,
				      const wwh_retry_attempt_t *attempt,
				      GRand *random);

/* True when an attempt with that outcome surely did not run. */
bool wwh_retry_did_not_run(wwh_outcome_t outcome);

/*
 * The kind to tell a caller in place of kind when an earlier attempt may have
 * run: a "not run" would be untrue then.
 */
wwh_error_kind_t wwh_retry_reported_kind(wwh_error_kind_t kind,
					 bool may_have_run);

#endif
