#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

/*
 * A small deployment on loopback for the scripts of this review: the platform's
 * store and list of machines, minions, clients and the processes of the system.
 * It speaks PROTOCOL.md and runs in one thread, so record.txt has one order.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define WORLD_SERVICE "desk"
#define WORLD_HOST "jobs.example"
#define WORLD_PREFIX "/desk/"
#define WORLD_MAX_PROCS 8
#define WORLD_MAX_MINIONS 20

typedef struct {
	int32_t procs;
	int32_t minions;
	int64_t task_ms; /* how long each task takes */
	int64_t hold_max_ms; /* longest lease */
	int64_t heartbeat_ms;
	const char *lasting_id; /* of the job whose tasks last; NULL: none */
} world_options_t;

/* Tasks that last are at work from then on. */
#define WORLD_STARTUP_MS 400

/* One run of a task, as the minions have seen it. */
typedef struct {
	char *task;
	int64_t run;
	int32_t minion;
	char *life; /* id and life number of the minion */
	int64_t begun_ms;
	int64_t ended_ms; /* 0: it runs */
	const char *how; /* of its end; NULL: it runs */
	int64_t end_number;
	int64_t seen_ms; /* when its end was taken note of; 0: never */
} world_run_t;

typedef void (*world_step_t)(void *data);
typedef void (*world_answered_t)(int32_t status, const char *body, void *data);

void world_init(const world_options_t *options, const char *record_path);
void world_run(void); /* until world_finish */
void world_finish(int32_t exit_code);
int32_t world_exit_code(void);

int64_t world_now_ms(void); /* since world_init */
int64_t world_wall_ms(void);
void world_record(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
void world_after(int64_t ms, world_step_t step, void *data);

void world_start_proc(int32_t proc);
void world_signal_proc(int32_t proc, int signal);
bool world_proc_is_up(int32_t proc);
/* The process that the newest notice in the store names; -1: none. */
int32_t world_holder(void);
/* The process that the group has given partition 0; -1: none. */
int32_t world_assigned(void);

/* Answers of the store take this much longer. */
void world_set_store_delay(int64_t ms);

/*
 * The minion ends at once; it may start again later. Silent: like a machine without
 * power, it answers nothing, and connections to it hang.
 */
void world_crash_minion(int32_t minion, bool silent);
/* A new life: with the id that it had, or another one. */
void world_start_minion(int32_t minion, bool same_id);

/* status 0: no answer. */
void world_call(int32_t proc, const char *method, const char *path,
		const char *body, world_answered_t done, void *data);

GPtrArray *world_runs(void); /* of world_run_t */
/* Called for each start that a minion has begun. */
void world_on_start(void (*observe)(const world_run_t *run));
/* Called for each end of a run. */
void world_on_end(void (*observe)(const world_run_t *run));

/*
 * TWICE: counts and records pairs of runs of one task that overlap, on minions
 * that are up, and starts after a run that has ended done, if that end was taken
 * note of.
 */
int32_t world_check_twice(void);

#endif
