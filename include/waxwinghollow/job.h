#ifndef WAXWINGHOLLOW_JOB_H
#define WAXWINGHOLLOW_JOB_H

/*
 * NAME
 *	job - a unit of work submitted by a caller: steps of identical tasks
 *
 * USE
 *	A job belongs to a queue, and a queue to a pool of upstreams. Its
 *	steps run in the order of their dependencies. The queue's rules are
 *	copied into the job when it is accepted, so that a process with an
 *	older configuration runs it by the same rules.
 *
 * ORDER OF CALLS
 *	wwh_job_new, set the fields, wwh_job_check; wwh_job_encode and
 *	wwh_job_decode for the store and for other processes; wwh_job_delete.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/load.h"
#include "waxwinghollow/status.h"

/* Length of a job id, which the caller chooses, in hexadecimal digits. */
#define WWH_JOB_ID_CHARS 16

/* Limits that decoders enforce; no caller needs more. */
#define WWH_JOB_MAX_STEPS 64
#define WWH_JOB_MAX_TASKS 10000
#define WWH_JOB_MAX_REPEATS 100000

/* Estimates are capped at one week, as callers may send any number. */
#define WWH_JOB_MAX_ESTIMATE_MS INT64_C(604800000)

typedef struct {
	int32_t task_count;
	wwh_load_t need; /* of one task */
	int64_t estimate_ms; /* of one task, by the caller; often far off */
	int32_t *after; /* indices of steps that must be done first */
	int32_t after_count;
	bool checkpointing;
	bool gang; /* all tasks start together, or none starts */
	bool same_rack; /* tasks run slower when spread over racks */
	bool speculative; /* stored without effect: no second copy is run */
	bool lasting; /* runs until the job is cancelled */
	bool filler; /* uses only processor time that others leave idle */
	char *label; /* required of the upstream; NULL: any upstream */
	char *data_rack; /* tasks run slower on other racks; NULL: none */
	int32_t max_per_upstream; /* 0: no limit */
	char *image; /* tasks with the same image behave alike; or NULL */
	int64_t latency_target_ms; /* of a serving task; 0: it doesn't serve */
	int32_t max_unavailable; /* lasting tasks that may be down at once */
} wwh_job_step_t;

/* The rules of the job's queue when the job was accepted. */
typedef struct {
	char *name;
	char *pool;
	int32_t priority; /* 0 is the highest */
	int32_t max_attempts;
	/*
	 * A job's objective is the length of its longest chain of steps,
	 * times stretch_permille / 1000, plus latency_ms.
	 */
	int32_t stretch_permille;
	int64_t latency_ms;
	int64_t advice_valid_ms; /* 0: any upstream may run its steps */
} wwh_job_queue_t;

typedef struct {
	char id[WWH_JOB_ID_CHARS + 1];
	wwh_job_queue_t queue;
	char *workspace; /* of the submitting caller; NULL: none */
	char *payload; /* passed to each task unchanged */
	int64_t repeat_count; /* 0: runs once, immediately */
	int64_t first_wall_ms; /* when the first occurrence is due */
	int64_t interval_ms;
	int64_t accepted_wall_ms;
	wwh_job_step_t *steps;
	int32_t step_count;
} wwh_job_t;

wwh_job_t *wwh_job_new(int32_t step_count);
void wwh_job_delete(wwh_job_t *job);

void wwh_job_queue_copy(wwh_job_queue_t *to, const wwh_job_queue_t *from);
void wwh_job_queue_clear(wwh_job_queue_t *queue);

bool wwh_job_id_valid(const char *id);

/* Estimated duration of a task of step, at most WWH_JOB_MAX_ESTIMATE_MS. */
int64_t wwh_job_estimate_ms(const wwh_job_step_t *step);

/*
 * When the occurrence is due. A time or an interval beyond any use is bounded, so
 * the sum doesn't overflow.
 */
int64_t wwh_job_due_wall_ms(const wwh_job_t *job, int64_t occurrence);

/*
 * Returns WWH_STATUS_BAD_INPUT, with a message for the caller, for a job that
 * can't be run.
 */
wwh_status_t wwh_job_check(const wwh_job_t *job, wwh_message_t *message);

/* The format is MessagePack. A newer release may append fields to any array. */
GBytes *wwh_job_encode(const wwh_job_t *job);
wwh_job_t *wwh_job_decode(const uint8_t *data, size_t size,
			  wwh_message_t *message);

#endif
