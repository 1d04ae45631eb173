#ifndef WAXWINGHOLLOW_JOB_H
#define WAXWINGHOLLOW_JOB_H

/*
 * NAME
 *	job - what a caller asks to have run: steps of equal tasks
 *
 * USE
 *	A job belongs to a queue, and a queue to a pool of upstreams. Its
 *	steps run in the order that their dependencies ask for. The queue's
 *	rules are copied into the job when it is accepted, so that a process
 *	whose configuration is older runs it by the same rules.
 *
 * ORDER OF CALLS
 *	wwh_job_new, fields filled in, wwh_job_check; wwh_job_encode and
 *	wwh_job_decode for the store and for other processes; wwh_job_delete.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/load.h"
#include "waxwinghollow/status.h"

/* Callers choose ids of this many hexadecimal digits. */
#define WWH_JOB_ID_CHARS 16

/* More than any caller needs; what decoders accept. */
#define WWH_JOB_MAX_STEPS 64
#define WWH_JOB_MAX_TASKS 10000
#define WWH_JOB_MAX_REPEATS 100000

/* Guesses above a week count as one: callers give any number. */
#define WWH_JOB_MAX_ESTIMATE_MS INT64_C(604800000)

typedef struct {
	int32_t task_count;
	wwh_load_t need; /* of one task */
	int64_t estimate_ms; /* of one task; the caller's guess, often far off */
	int32_t *after; /* numbers of steps that have to be done first */
	int32_t after_count;
	bool checkpointing;
	bool gang; /* all tasks start together, or none does */
	bool same_rack; /* slower when spread over racks */
	bool speculative; /* a second copy may run */
	bool lasting; /* runs until the job is cancelled */
	bool filler; /* takes only processor time that others leave */
	char *label; /* an upstream must have it; NULL: any upstream */
	char *data_rack; /* slower elsewhere; NULL: no such rack */
	int32_t max_per_upstream; /* 0: no bound */
	char *image; /* tasks of one image behave alike; or NULL */
	int64_t latency_target_ms; /* of a task that serves; 0: serves nobody */
	int32_t max_unavailable; /* lasting tasks that may be taken down */
} wwh_job_step_t;

/* The rules of the job's queue at the time when it was accepted. */
typedef struct {
	char *name;
	char *pool;
	int32_t priority; /* 0 goes first */
	int32_t max_attempts;
	int32_t stretch_permille; /* objective as a multiple of the chain */
	int64_t latency_ms; /* objective beyond that */
	int64_t advice_valid_ms; /* 0: any upstream may run its steps */
} wwh_job_queue_t;

typedef struct {
	char id[WWH_JOB_ID_CHARS + 1];
	wwh_job_queue_t queue;
	char *workspace; /* that handed it in; NULL: none */
	char *payload; /* handed to each task as it is */
	int64_t repeat_count; /* 0: runs once, at once */
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

/* What a task of step is guessed to take, WWH_JOB_MAX_ESTIMATE_MS at most. */
int64_t wwh_job_estimate_ms(const wwh_job_step_t *step);

/* WWH_STATUS_BAD_INPUT with a message for the caller when job can't be run. */
wwh_status_t wwh_job_check(const wwh_job_t *job, wwh_message_t *message);

/* MessagePack; a newer release may append fields to any array of it. */
GBytes *wwh_job_encode(const wwh_job_t *job);
wwh_job_t *wwh_job_decode(const uint8_t *data, size_t size,
			  wwh_message_t *message);

#endif
