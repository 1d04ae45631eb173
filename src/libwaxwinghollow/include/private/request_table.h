#ifndef WAXWINGHOLLOW_PRIVATE_REQUEST_TABLE_H
#define WAXWINGHOLLOW_PRIVATE_REQUEST_TABLE_H

/*
 * The dispatcher of one process behind one lock, and the threads of requests
 * that wait for its decisions. A thread of its own gives the dispatcher its
 * ticks, so that a deadline passes also when nothing else happens.
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
/* Requests that are with a minion now. */
int32_t wwh_request_table_minion_running(wwh_request_table_t *table,
					 const char *minion);
void wwh_request_table_dump(wwh_request_table_t *table,
			    wwh_counter_visit_t visit, void *client_data);

/* request->id is given by the table. */
wwh_request_t *wwh_request_begin(wwh_request_table_t *table,
				 const wwh_dispatch_request_t *request);
uint64_t wwh_request_id(const wwh_request_t *request);

/*
 * Waits for the next decision. When the caller goes away meanwhile, the
 * request is cancelled and false comes back; it then has no more decisions.
 */
bool wwh_request_wait_decision(wwh_request_t *request, int caller_fd,
			       wwh_decision_t *decision);
void wwh_request_finished(wwh_request_t *request,
			  const wwh_dispatch_result_t *result);

/* Whether the request was refused as it arrived. */
bool wwh_request_refused(wwh_request_t *request);

/*
 * Cancels what has not ended, and frees the request. True when its intent was
 * accepted.
 */
bool wwh_request_end(wwh_request_t *request);

/*
 * The verdict on the intent of request id was read back. False when the
 * request is over: then it was never sent.
 */
bool wwh_request_table_intent_settled(wwh_request_table_t *table, uint64_t id,
				      wwh_intent_verdict_t verdict);

/* The intent of request id is surely not on the log. */
void wwh_request_table_intent_failed(wwh_request_table_t *table, uint64_t id);

/*
 * False when there is no verdict by until_ms, the intent could not be
 * recorded, or the caller has gone.
 */
bool wwh_request_wait_intent(wwh_request_t *request, int caller_fd,
			     int64_t until_ms, wwh_intent_verdict_t *verdict);

/* Whether the caller has closed its side of the connection. */
bool wwh_caller_gone(int fd);

#endif
