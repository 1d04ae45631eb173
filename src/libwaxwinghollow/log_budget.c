#include "private/log_budget.h"

#define BUDGET_MAX_MILLI 20000
#define BUDGET_FIRST_SEND_MILLI 100
#define BUDGET_MILLI_PER_MS 2
#define RETRY_MILLI 1000

struct wwh_log_budget {
	GMutex lock;
	int64_t milli; /* thousandths of a retry */
	int64_t refilled_ms;
};

wwh_log_budget_t *wwh_log_budget_new(int64_t now_ms)
{
	wwh_log_budget_t *budget = g_new0(wwh_log_budget_t, 1);

	g_mutex_init(&budget->lock);
	budget->milli = BUDGET_MAX_MILLI;
	budget->refilled_ms = now_ms;
	return budget;
}

void wwh_log_budget_delete(wwh_log_budget_t *budget)
{
	if (budget == NULL)
		return;
	g_mutex_clear(&budget->lock);
	g_free(budget);
}

void wwh_log_budget_credit_first_send(wwh_log_budget_t *budget)
{
	g_mutex_lock(&budget->lock);
	budget->milli =
		MIN(budget->milli + BUDGET_FIRST_SEND_MILLI, BUDGET_MAX_MILLI);
	g_mutex_unlock(&budget->lock);
}

int64_t wwh_log_budget_try_acquire(wwh_log_budget_t *budget, int64_t now_ms)
{
	int64_t wait_ms = 0;

	g_mutex_lock(&budget->lock);
	if (now_ms > budget->refilled_ms) {
		int64_t gained =
			(now_ms - budget->refilled_ms) * BUDGET_MILLI_PER_MS;

		budget->milli = MIN(budget->milli + gained, BUDGET_MAX_MILLI);
		budget->refilled_ms = now_ms;
	}
	if (budget->milli >= RETRY_MILLI)
		budget->milli -= RETRY_MILLI;
	else
		wait_ms =
			1 + (RETRY_MILLI - budget->milli) / BUDGET_MILLI_PER_MS;
	g_mutex_unlock(&budget->lock);
	return wait_ms;
}
