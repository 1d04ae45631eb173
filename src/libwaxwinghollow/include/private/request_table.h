#ifndef WAXWINGHOLLOW_PRIVATE_REQUEST_TABLE_H
#define WAXWINGHOLLOW_PRIVATE_REQUEST_TABLE_H

/*
 * The dispatcher of one process, protected by one lock, and the requests whose
 * threads wait for its decisions. A separate thread calls wwh_dispatch_tick, so
 * that a deadline is also enforced when nothing else happens.
 */

#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/config.h"
#include "waxwinghollow/dispatch.h"
#include "waxwinghollow/dispatch_loan.h"
#include "waxwinghollow/intent.h"

typedef struct wwh_request_table wwh_request_table_t;
typedef struct wwh_request wwh_request_t;

wwh_request_table_t *wwh_request_table_new(const char *zone);
void wwh_request_table_delete(wwh_request_table_t *table);

void wwh_request_table_configure(wwh_request_table_t *table,
				 const wwh_config_t *config);
void wwh_request_table_set_share(wwh_request_table_t *table,
				 const wwh_dispatch_share_t *share);
bool wwh_request_table_share_settled(wwh_request_table_t *table);
void wwh_request_table_set_minion_state(wwh_request_table_t *table,
					const char *minion,
					wwh_minion_state_t state);
void wwh_request_table_report_loans(wwh_request_table_t *table, uint64_t peer,
				    wwh_dispatch_loan_visit_t visit,
				    void *client_data);
void wwh_request_table_handle_loan(wwh_request_table_t *table, uint64_t peer,
				   const wwh_dispatch_loan_t *loan);
void wwh_request_table_forget_loans(wwh_request_table_t *table, uint64_t peer);
void wwh_request_table_close(wwh_request_table_t *table);
int32_t wwh_request_table_waiting(wwh_request_table_t *table);
int32_t wwh_request_table_running(wwh_request_table_t *table);
/* Number of requests that the minion processes now. */
int32_t wwh_request_table_minion_running(wwh_request_table_t *table,
					 const char *minion);
void wwh_request_table_dump(wwh_request_table_t *table,
			    wwh_counter_visit_t visit, void *client_data);

/* The table assigns request->id. */
wwh_request_t *wwh_request_begin(wwh_request_table_t *table,
				 const wwh_dispatch_request_t *request);
uint64_t wwh_request_id(const wwh_request_t *request);

/*
 * Waits for the next decision. Returns false if the request has ended. If the
 * caller disconnects meanwhile, the request is cancelled and the result is
 * false.
 */
bool wwh_request_wait_decision(wwh_request_t *request, int caller_fd,
			       wwh_decision_t *decision);
void wwh_request_finished(wwh_request_t *request,
			  const wwh_dispatch_result_t *result);

/* Whether the request was refused on arrival: its next decision is END. */
bool wwh_request_refused(wwh_request_t *request);

/*
 * Cancels the request unless it has ended, and frees it. Returns true if its
 * intent was accepted.
 */
bool wwh_request_end(wwh_request_t *request);

/*
 * Stores the verdict on the intent of request id, as read back from the log.
 * Returns false if the request is over: then it was never sent.
 */
bool wwh_request_table_intent_settled(wwh_request_table_t *table, uint64_t id,
				      wwh_intent_verdict_t verdict);

/* Records that the intent of request id is certainly not on the log. */
void wwh_request_table_intent_failed(wwh_request_table_t *table, uint64_t id);

/*
 * Waits for the verdict on the intent. Returns false if there is none by
 * until_ms, the intent could not be recorded, or the caller has disconnected.
 */
bool wwh_request_wait_intent(wwh_request_t *request, int caller_fd,
			     int64_t until_ms, wwh_intent_verdict_t *verdict);

/* Whether the caller has closed its side of the connection. */
bool wwh_caller_gone(int fd);

#endif
