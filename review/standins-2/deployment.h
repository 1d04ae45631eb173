#ifndef REVIEW_DEPLOYMENT_H
#define REVIEW_DEPLOYMENT_H

/*
 * A small deployment on loopback for the scripts of the second review: the
 * platform's store, its list of machines, minions that run tasks, clients, and
 * the processes of the system. It speaks PROTOCOL.md as it is written there and
 * runs in one thread, so that record.txt has one order.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define DEP_MAX_PROCS 4
#define DEP_MAX_MINIONS 12
#define DEP_SERVICE "desk"
#define DEP_HOST "jobs.example"
#define DEP_PREFIX "/desk/"

/* Bounds as in the settings of the small deployments. */
#define DEP_CANCEL_MS 3000
#define DEP_FINISH_MS 14000
#define DEP_UPKEEP_MS 2000
#define DEP_HOLD_MAX_MS 6000
#define DEP_STOP_MS 200
#define DEP_HEARTBEAT_MS 1500
#define DEP_RECORD_BYTES 262144
#define DEP_CALL_BYTES 2097152

#define DEP_MINION_CPU 32000
#define DEP_MINION_MB 65536

typedef struct {
	const char *record; /* path of record.txt */
	int32_t procs;
	int32_t minions;
	bool tells_born; /* minions say when they were started */
} dep_options_t;

/* A run of a task, as its minion has seen it. */
typedef struct {
	char *task;
	char job[17];
	int64_t run;
	int32_t minion;
	int64_t cpu;
	int64_t memory_mb;
	int64_t begun_ms;
	int64_t due_ms; /* of its end; INT64_MAX: it lasts */
	int64_t ended_ms; /* 0: it runs */
	const char *how; /* of its end; NULL: it runs */
	int64_t end_number;
	char *order; /* the body of the order to start, as it came */
	bool is_noted; /* its end was reached by seenUpto */
} dep_run_t;

typedef void (*dep_step_t)(void *data);
/* status 0: no answer */
typedef void (*dep_answered_t)(int32_t status, const char *body, void *data);

void dep_init(const dep_options_t *options);
void dep_loop(void); /* until dep_finish */
/* Ends all processes; returns from dep_loop. */
void dep_finish(int32_t exit_code);
int32_t dep_exit_code(void);
bool dep_has_trouble(void); /* TROUBLE isn't 0 */

int64_t dep_now_ms(void);
int64_t dep_wall_ms(void);
void dep_record(const char *format, ...) G_GNUC_PRINTF(1, 2);
void dep_after(int64_t ms, dep_step_t step, void *data);

void dep_signal(int32_t proc, int signal);
void dep_restart(int32_t proc); /* a process that has ended */
/* The process that the newest notice in the store names; -1: none. */
int32_t dep_holder(void);
/* Processes that ended by themselves. */
int32_t dep_own_ends(void);
/* Resident memory of a process, in MB. */
int64_t dep_memory_mb(int32_t proc);

/* A client of its own connection; timeout_ms is its deadline, too. */
void dep_call(int32_t proc, const char *method, const char *path,
	      const char *body, int64_t timeout_ms, dep_answered_t done,
	      void *data);

/* Writes op/KEY as the operator does. */
void dep_operator_put(const char *key, const char *value);
/* Appends to the system's journal that were rejected for a record's size. */
int32_t dep_oversized_appends(void);

/*
 * The minion ends at once, and starts again down_ms later, with a new id or, in
 * less time than its entry in the store takes to expire, with the id that it had.
 */
void dep_crash_minion(int32_t minion, int64_t down_ms, bool keeps_id);

/*
 * Asked when an order to start arrives. A value above 0: it gets no answer and is
 * carried out that many ms later.
 */
typedef int64_t (*dep_delay_start_t)(int32_t minion, const char *task,
				     int64_t run);
void dep_on_start_order(dep_delay_start_t delay);

/* An unhealthy minion answers starts with 503 and has then done nothing. */
void dep_set_shedding(int32_t minion, bool sheds);

/* Rack label of a minion; each has a rack of its own. */
const char *dep_rack(int32_t minion);
const char *dep_machine(int32_t minion);

/*
 * The platform's orders for machines: asked when an upkeep order arrives. A value
 * above 0: it gets no answer and is carried out that many ms later.
 */
typedef int64_t (*dep_delay_upkeep_t)(int32_t minion, int64_t token);
void dep_on_upkeep_order(dep_delay_upkeep_t delay);
/* The upkeeps that are going on. */
int32_t dep_in_upkeep(void);
/* Called as an upkeep begins, with how many others were going on. */
void dep_on_upkeep_begin(void (*observe)(int32_t minion, int64_t token,
					 int32_t others));

/* A run ends as failed, by its own fault. */
void dep_fail_run(dep_run_t *run);

/* All runs that began, of dep_run_t. */
GPtrArray *dep_runs(void);
int32_t dep_running(void);
int32_t dep_running_of(const char *job);

#endif
