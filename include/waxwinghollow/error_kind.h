#ifndef WAXWINGHOLLOW_ERROR_KIND_H
#define WAXWINGHOLLOW_ERROR_KIND_H

/*
 * NAME
 *	error_kind - the closed list of errors that a caller can receive
 *
 * USE
 *	Each request ends with one wwh_error_kind_t. wwh_answer_for gives the
 *	HTTP status, the run class and the Retry-After rule of a kind; nothing
 *	else in the program maps errors to answers.
 *
 *	The run class is reported to the caller in the header
 *	Waxwinghollow-Run. A kind has the class "not-run" only if it is
 *	returned where no byte of the request was sent to a minion, or where
 *	the minion refused the request before running it.
 *
 * ORDER OF CALLS
 *	None: all data is constant.
 */

#include <stdbool.h>
#include <stdint.h>

typedef enum {
	WWH_ERROR_NONE = 0, /* the minion's complete answer is passed on */
	WWH_ERROR_BAD_REQUEST,
	WWH_ERROR_BODY_TOO_LARGE,
	WWH_ERROR_UNAUTHORIZED, /* no API key, or one that isn't in force */
	WWH_ERROR_NO_SUCH_SERVICE,
	WWH_ERROR_QUOTA_EXCEEDED,
	WWH_ERROR_QUEUE_FULL,
	WWH_ERROR_WAIT_TOO_LONG, /* the deadline can't be met */
	WWH_ERROR_TOO_MANY_REQUESTS, /* limit of this process reached */
	WWH_ERROR_NO_MINION, /* no minion of the service is usable */
	WWH_ERROR_NO_CONFIGURATION,
	WWH_ERROR_LOG_UNAVAILABLE, /* an intent could not be recorded */
	WWH_ERROR_SHUTTING_DOWN,
	WWH_ERROR_CALLER_GONE_NOT_RUN,
	WWH_ERROR_CALLER_GONE_UNKNOWN,
	WWH_ERROR_CONNECT_FAILED,
	WWH_ERROR_MINION_REFUSED, /* the minion refused to run it */
	WWH_ERROR_DEADLINE_NOT_RUN,
	WWH_ERROR_DEADLINE_UNKNOWN,
	WWH_ERROR_ANSWER_LOST, /* connection ended before an answer */
	WWH_ERROR_ANSWER_TRUNCATED, /* or the end can't be verified */
	WWH_ERROR_ANSWER_TOO_LARGE,
	WWH_ERROR_KEY_REUSED, /* the key was used for another request */
	WWH_ERROR_KEY_IN_PROGRESS,
	WWH_ERROR_KEY_OUTCOME_UNKNOWN,
	WWH_ERROR_KEY_ANSWER_NOT_KEPT, /* it ran; the answer is not stored */
	WWH_ERROR_KEY_EXPIRED, /* the key is older than the window of keys */
	WWH_ERROR_NO_HOLDER, /* no process runs the queue's jobs now */
	WWH_ERROR_NO_SUCH_JOB,
	WWH_ERROR_JOB_TOO_LARGE,
	WWH_ERROR_INTERNAL,
	WWH_ERROR_COUNT
} wwh_error_kind_t;

/* Names of wwh_error_kind_t, in the same order; also the JSON "error". */
extern const char *const wwh_error_kind_names[WWH_ERROR_COUNT];

typedef enum {
	WWH_RUN_NOT_RUN = 0,
	WWH_RUN_RAN,
	WWH_RUN_UNKNOWN,
	WWH_RUN_COUNT
} wwh_run_class_t;

/* Values of the header Waxwinghollow-Run, in the same order. */
extern const char *const wwh_run_class_names[WWH_RUN_COUNT];

typedef enum {
	WWH_RETRY_NEVER = 0, /* no Retry-After */
	WWH_RETRY_FIXED, /* retry_after_s of the row */
	WWH_RETRY_MEASURED, /* from the drain rate, at least retry_after_s */
	WWH_RETRY_RULE_COUNT
} wwh_retry_rule_t;

extern const char *const wwh_retry_rule_names[WWH_RETRY_RULE_COUNT];

typedef struct {
	wwh_error_kind_t kind;
	int32_t http_status;
	wwh_run_class_t run;
	wwh_retry_rule_t retry_rule;
	int32_t retry_after_s;
	const char *text; /* one sentence for the caller */
} wwh_answer_t;

/* Returns the row of kind, which must be below WWH_ERROR_COUNT. */
const wwh_answer_t *wwh_answer_for(wwh_error_kind_t kind);

#endif
