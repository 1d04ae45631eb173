#include "waxwinghollow/retry.h"

#include <assert.h>

#define TOKENS_EARNED 0.08
#define TOKENS_MAX 10.0
#define BACKOFF_MS 50
#define BACKOFF_MAX_MS 2000

static wwh_error_kind_t kind_of(wwh_outcome_t outcome);
static bool may_repeat(const wwh_retry_attempt_t *attempt);
static int32_t delay_ms(const wwh_retry_attempt_t *attempt, GRand *random);

void wwh_retry_budget_init(wwh_retry_budget_t *budget)
{
	budget->tokens = TOKENS_MAX;
}

void wwh_retry_credit_first_attempt(wwh_retry_budget_t *budget)
{
	budget->tokens += TOKENS_EARNED;
	if (budget->tokens > TOKENS_MAX)
		budget->tokens = TOKENS_MAX;
}

wwh_retry_decision_t wwh_retry_decide(wwh_retry_budget_t *budget,
				      const wwh_retry_attempt_t *attempt,
				      GRand *random)
{
	wwh_retry_decision_t decision = { 0 };

	decision.may_have_run = attempt->may_have_run ||
				!wwh_retry_did_not_run(attempt->outcome);
	decision.kind = wwh_retry_reported_kind(kind_of(attempt->outcome),
						attempt->may_have_run);
	if (!may_repeat(attempt) || budget->tokens < 1)
		return decision;
	decision.delay_ms = delay_ms(attempt, random);
	if (decision.delay_ms + attempt->usual_run_ms >= attempt->remaining_ms)
		return decision;
	budget->tokens -= 1;
	decision.should_retry = true;
	return decision;
}

bool wwh_retry_did_not_run(wwh_outcome_t outcome)
{
	return outcome == WWH_OUTCOME_REFUSED ||
	       outcome == WWH_OUTCOME_CONNECT_FAILED;
}

wwh_error_kind_t wwh_retry_reported_kind(wwh_error_kind_t kind,
					 bool may_have_run)
{
	if (!may_have_run || wwh_answer_for(kind)->run != WWH_RUN_NOT_RUN)
		return kind;
	switch (kind) {
	case WWH_ERROR_CALLER_GONE_NOT_RUN:
		return WWH_ERROR_CALLER_GONE_UNKNOWN;
	case WWH_ERROR_DEADLINE_NOT_RUN:
	case WWH_ERROR_WAIT_TOO_LONG:
		return WWH_ERROR_DEADLINE_UNKNOWN;
	default:
		return WWH_ERROR_ANSWER_LOST;
	}
}

static wwh_error_kind_t kind_of(wwh_outcome_t outcome)
{
	switch (outcome) {
	case WWH_OUTCOME_ANSWERED:
	case WWH_OUTCOME_ERROR_ANSWERED:
		return WWH_ERROR_NONE;
	case WWH_OUTCOME_REFUSED:
		return WWH_ERROR_MINION_REFUSED;
	case WWH_OUTCOME_CONNECT_FAILED:
		return WWH_ERROR_CONNECT_FAILED;
	case WWH_OUTCOME_SILENT:
		return WWH_ERROR_DEADLINE_UNKNOWN;
	case WWH_OUTCOME_LOST:
		return WWH_ERROR_ANSWER_LOST;
	case WWH_OUTCOME_TRUNCATED:
		return WWH_ERROR_ANSWER_TRUNCATED;
	default:
		return WWH_ERROR_CALLER_GONE_UNKNOWN;
	}
}

static bool may_repeat(const wwh_retry_attempt_t *attempt)
{
	if (attempt->outcome == WWH_OUTCOME_ANSWERED ||
	    attempt->outcome == WWH_OUTCOME_ABORTED)
		return false;
	if (attempt->answer_begun || attempt->attempts >= attempt->attempts_max)
		return false;
	return attempt->idempotent || wwh_retry_did_not_run(attempt->outcome);
}

static int32_t delay_ms(const wwh_retry_attempt_t *attempt, GRand *random)
{
	int32_t bound_ms = BACKOFF_MS;

	if (attempt->other_minion)
		return 0;
	if (attempt->retry_after_ms > 0)
		return attempt->retry_after_ms;
	for (int32_t i = 1; i < attempt->attempts; i++)
		bound_ms = MIN(bound_ms * 2, BACKOFF_MAX_MS);
	return g_rand_int_range(random, 1, bound_ms + 1);
}
