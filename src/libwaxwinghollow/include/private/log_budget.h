#ifndef WAXWINGHOLLOW_PRIVATE_LOG_BUDGET_H
#define WAXWINGHOLLOW_PRIVATE_LOG_BUDGET_H

#include "waxwinghollow/log_core.h"

/* A first send earns a tenth of a retry. */
void wwh_log_budget_credit_first_send(wwh_log_budget_t *budget);
/* 0: one retry was taken. Else how long until there is one. */
int64_t wwh_log_budget_try_acquire(wwh_log_budget_t *budget, int64_t now_ms);

#endif
