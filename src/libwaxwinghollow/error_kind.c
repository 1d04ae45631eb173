#include "waxwinghollow/error_kind.h"

#include <assert.h>

const char *const wwh_error_kind_names[WWH_ERROR_COUNT] = {
	"none",
	"bad-request",
	"body-too-large",
	"unauthorized",
	"no-such-service",
	"quota-exceeded",
	"queue-full",
	"wait-too-long",
	"too-many-requests",
	"no-minion",
	"no-configuration",
	"log-unavailable",
	"shutting-down",
	"caller-gone-not-run",
	"caller-gone-unknown",
	"connect-failed",
	"minion-refused",
	"deadline-not-run",
	"deadline-unknown",
	"answer-lost",
	"answer-truncated",
	"answer-too-large",
	"key-reused",
	"key-in-progress",
	"key-outcome-unknown",
	"key-answer-not-kept",
	"key-expired",
	"no-holder",
	"no-such-job",
	"job-too-large",
	"internal",
};

const char *const wwh_run_class_names[WWH_RUN_COUNT] = {
	"not-run",
	"ran",
	"unknown",
};

const char *const wwh_retry_rule_names[WWH_RETRY_RULE_COUNT] = {
	"never",
	"fixed",
	"measured",
};

#define NOT_RUN WWH_RUN_NOT_RUN
#define RAN WWH_RUN_RAN
#define UNKNOWN WWH_RUN_UNKNOWN
#define NEVER WWH_RETRY_NEVER
#define FIXED WWH_RETRY_FIXED
#define MEASURED WWH_RETRY_MEASURED

static const wwh_answer_t answers[WWH_ERROR_COUNT] = {
	{ WWH_ERROR_NONE, 200, RAN, NEVER, 0, "answered" },
	{ WWH_ERROR_BAD_REQUEST, 400, NOT_RUN, NEVER, 0,
	  "the request is malformed" },
	{ WWH_ERROR_BODY_TOO_LARGE, 413, NOT_RUN, NEVER, 0,
	  "the body is larger than this service takes" },
	{ WWH_ERROR_UNAUTHORIZED, 401, NOT_RUN, NEVER, 0,
	  "the request has no API key that is in force" },
	{ WWH_ERROR_NO_SUCH_SERVICE, 404, NOT_RUN, NEVER, 0,
	  "no service is configured for this path" },
	{ WWH_ERROR_QUOTA_EXCEEDED, 429, NOT_RUN, MEASURED, 1,
	  "the caller's share is used up" },
	{ WWH_ERROR_QUEUE_FULL, 503, NOT_RUN, MEASURED, 1,
	  "the queue is full" },
	{ WWH_ERROR_WAIT_TOO_LONG, 503, NOT_RUN, MEASURED, 1,
	  "the wait would outlast the deadline" },
	{ WWH_ERROR_TOO_MANY_REQUESTS, 503, NOT_RUN, MEASURED, 1,
	  "this host is at its bound of requests" },
	{ WWH_ERROR_NO_MINION, 503, NOT_RUN, FIXED, 2,
	  "no minion of the service is usable" },
	{ WWH_ERROR_NO_CONFIGURATION, 503, NOT_RUN, FIXED, 2,
	  "no configuration is in force here yet" },
	{ WWH_ERROR_LOG_UNAVAILABLE, 503, NOT_RUN, FIXED, 5,
	  "the request could not be recorded before it is run" },
	{ WWH_ERROR_SHUTTING_DOWN, 503, NOT_RUN, FIXED, 1,
	  "this host is shutting down" },
	{ WWH_ERROR_CALLER_GONE_NOT_RUN, 499, NOT_RUN, NEVER, 0,
	  "the caller went away before the request was sent" },
	{ WWH_ERROR_CALLER_GONE_UNKNOWN, 499, UNKNOWN, NEVER, 0,
	  "the caller went away after the request was sent" },
	{ WWH_ERROR_CONNECT_FAILED, 502, NOT_RUN, FIXED, 1,
	  "no connection to a minion could be made" },
	{ WWH_ERROR_MINION_REFUSED, 503, NOT_RUN, MEASURED, 1,
	  "the minion refused the request before running it" },
	{ WWH_ERROR_DEADLINE_NOT_RUN, 504, NOT_RUN, MEASURED, 1,
	  "the deadline passed before the request was sent" },
	{ WWH_ERROR_DEADLINE_UNKNOWN, 504, UNKNOWN, FIXED, 2,
	  "the deadline passed after the request was sent" },
	{ WWH_ERROR_ANSWER_LOST, 502, UNKNOWN, FIXED, 1,
	  "the connection ended before an answer" },
	{ WWH_ERROR_ANSWER_TRUNCATED, 502, UNKNOWN, FIXED, 1,
	  "the answer was cut short or its end can't be verified" },
	{ WWH_ERROR_ANSWER_TOO_LARGE, 502, RAN, NEVER, 0,
	  "the answer is larger than this service passes on" },
	{ WWH_ERROR_KEY_REUSED, 422, NOT_RUN, NEVER, 0,
	  "the idempotency key was used for another request" },
	{ WWH_ERROR_KEY_IN_PROGRESS, 409, UNKNOWN, FIXED, 1,
	  "a request with this idempotency key is in progress" },
	{ WWH_ERROR_KEY_OUTCOME_UNKNOWN, 409, UNKNOWN, NEVER, 0,
	  "the request with this idempotency key may have run" },
	{ WWH_ERROR_KEY_ANSWER_NOT_KEPT, 409, RAN, NEVER, 0,
	  "the request with this key ran; its answer is not kept" },
	{ WWH_ERROR_KEY_EXPIRED, 410, UNKNOWN, NEVER, 0,
	  "the idempotency key is older than the window of keys" },
	{ WWH_ERROR_NO_HOLDER, 503, NOT_RUN, MEASURED, 1,
	  "no process runs the jobs of this queue at the moment" },
	{ WWH_ERROR_NO_SUCH_JOB, 410, NOT_RUN, NEVER, 0,
	  "there is no job with this id" },
	{ WWH_ERROR_JOB_TOO_LARGE, 413, NOT_RUN, NEVER, 0,
	  "the job and its progress don't fit into a record of the store" },
	{ WWH_ERROR_INTERNAL, 500, UNKNOWN, FIXED, 2,
	  "an internal error ended the request" },
};

const wwh_answer_t *wwh_answer_for(wwh_error_kind_t kind)
{
	assert(kind < WWH_ERROR_COUNT);
	return &answers[kind];
}
