#ifndef WAXWINGHOLLOW_PRIVATE_LOG_BUDGET_H
#define WAXWINGHOLLOW_PRIVATE_LOG_BUDGET_H

#include "waxwinghollow/log_core.h"

/* Credits a tenth of a retry for the first send of an append. */
void wwh_log_budget_credit_first_send(wwh_log_budget_t *budget);
/*
 * Acquires one retry and returns 0, or returns the time in ms until one is
 * available.
 */
int64_t wwh_log_budget_try_acquire(wwh_log_budget_t *budget, int64_t now_ms);

#endif
