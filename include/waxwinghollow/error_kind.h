#ifndef WAXWINGHOLLOW_ERROR_KIND_H
#define WAXWINGHOLLOW_ERROR_KIND_H

/*
 * NAME
 *	error_kind - the closed list of errors a caller can be told
 *
 * USE
 *	Each request ends with one wwh_error_kind_t. wwh_answer_for gives the
 *	HTTP status, the run class and the Retry-After rule of a kind; nothing
 *	else in the program maps errors to answers.
 *
 *	The run class is what the caller is told in the header
 *	Waxwinghollow-Run. "not-run" is only in the table for kinds that are
 *	chosen where no byte of the request left towards a minion, or where
 *	the minion refused it before running it.
 *
 * ORDER OF CALLS
 *	None: all is constant data.
 */

#include <stdbool.h>
#include <stdint.h>

typedef enum {
	WWH_ERROR_NONE = 0, /* the minion's whole answer is passed on */
	WWH_ERROR_BAD_REQUEST,
	WWH_ERROR_BODY_TOO_LARGE,
	WWH_ERROR_UNAUTHORIZED, /* no API key, or one that isn't in force */
	WWH_ERROR_NO_SUCH_SERVICE,
	WWH_ERROR_QUOTA_EXCEEDED,
	WWH_ERROR_QUEUE_FULL,
	WWH_ERROR_WAIT_TOO_LONG, /* the deadline can't be met */
	WWH_ERROR_TOO_MANY_REQUESTS, /* this process's own bound */
	WWH_ERROR_NO_MINION, /* no usable minion */
	WWH_ERROR_NO_CONFIGURATION,
	WWH_ERROR_LOG_UNAVAILABLE, /* an intent could not be recorded */
	WWH_ERROR_SHUTTING_DOWN,
	WWH_ERROR_CALLER_GONE_NOT_RUN,
	WWH_ERROR_CALLER_GONE_UNKNOWN,
	WWH_ERROR_CONNECT_FAILED,
	WWH_ERROR_MINION_REFUSED, /* refused before running it */
	WWH_ERROR_DEADLINE_NOT_RUN,
	WWH_ERROR_DEADLINE_UNKNOWN,
	WWH_ERROR_ANSWER_LOST, /* connection ended before an answer */
	WWH_ERROR_ANSWER_TRUNCATED, /* or its end can't be verified */
	WWH_ERROR_ANSWER_TOO_LARGE,
	WWH_ERROR_KEY_REUSED, /* same key, another request */
	WWH_ERROR_KEY_IN_PROGRESS,
	WWH_ERROR_KEY_OUTCOME_UNKNOWN,
	WWH_ERROR_KEY_ANSWER_NOT_KEPT, /* ran; its answer is gone */
	WWH_ERROR_KEY_EXPIRED, /* older than the window of keys */
	WWH_ERROR_NO_HOLDER, /* no process runs the queue's jobs now */
	WWH_ERROR_NO_SUCH_JOB,
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
	WWH_RETRY_FIXED, /* the row's retry_after_s */
	WWH_RETRY_MEASURED, /* from the drain rate; the row's value as floor */
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

/* The row of kind; kind must be below WWH_ERROR_COUNT. */
const wwh_answer_t *wwh_answer_for(wwh_error_kind_t kind);

#endif
