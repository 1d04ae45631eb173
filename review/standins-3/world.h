#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

/*
 * NAME
 *	world - a small deployment on loopback, for the cases of this review
 *
 * USE
 *	Stand-ins of the platform's store, its list of machines and the minions
 *	of one service, a client, and the processes of the system as separate
 *	programs. One thread runs all stand-ins, so the record has one order.
 *	The stand-ins behave as the users' pages say; a case disturbs them.
 *
 * ORDER OF CALLS
 *	world_begin; world_after, world_call and so on; world_run; world_end.
 */

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define WORLD_LOOPBACK "127.0.0.1"
#define WORLD_HOST "jobs.example"
#define WORLD_PREFIX "/desk/"
#define WORLD_SERVICE "desk"
#define WORLD_MINIONS 7
#define WORLD_PROCESSES 3
#define WORLD_CPU 32000
#define WORLD_ATTEMPTS 4
#define WORLD_ID_CHARS 16
#define WORLD_WAVES 4
#define WORLD_UPKEEP_MS 2000
#define WORLD_STARTUP_MS 500 /* until a task that lasts is at work */

/* One run of a task at a minion. */
typedef struct {
	char *task;
	int64_t run;
	int64_t cpu;
	int64_t begun_ms;
	int64_t due_ms; /* it ends as done then; INT64_MAX: it lasts */
	int64_t stop_ms; /* 0: it isn't stopped */
	bool stop_was_late; /* its order was carried out late */
	int64_t end_number; /* in the list of ends */
	const char *how; /* NULL: it runs */
} world_run_t;

typedef struct {
	int32_t index;
	int32_t life;
	char id[32];
	char machine[16];
	int port;
	bool up;
	bool in_upkeep;
	int64_t wave; /* for which it is in upkeep; 0: none */
	int64_t duty_token; /* the highest of the orders for its machine */
	bool begun[WORLD_WAVES + 1]; /* its upkeep, by the wave's number */
	struct evhttp *http;
	int64_t born_ms;
	int64_t token;
	int64_t lease_ms; /* by its own clock; 0: none */
	int64_t sequence;
	int64_t next_beat_ms;
	int64_t entry_until_ms; /* 0: its entry was removed */
	GPtrArray *active; /* world_run_t */
	GPtrArray *ended; /* world_run_t that are listed */
	int64_t ends;
	GHashTable *highest; /* task to the highest run stopped or ended */
	GPtrArray *polls;
} world_minion_t;

/* A job of a client. */
typedef struct {
	char id[WORLD_ID_CHARS + 1];
	int64_t cpu; /* of each task */
	int64_t work_ms; /* 0: its tasks last */
	int32_t tasks;
	int64_t cancel_sent_ms; /* 0: not yet */
	int64_t accepted_ms; /* 0: not yet */
	int64_t begun_ms; /* the first start of a task; 0: none */
	int32_t starts;
	int32_t failed_ends;
	int32_t done_ends;
	char state[32]; /* the last that was shown */
	int32_t attempts;
	int32_t crashes;
	char *body;
} world_job_t;

typedef void (*world_step_t)(void *data);
typedef void (*world_answered_t)(int32_t status, const char *body, void *data);

typedef struct {
	/* Milliseconds after which an order is carried out, unanswered; 0: now */
	int64_t (*delay_order)(world_minion_t *minion, const char *task,
			       bool starts);
	/* The same, of an upkeep that the list of machines is to begin */
	int64_t (*delay_upkeep)(world_minion_t *minion);
	void (*on_upkeep)(world_minion_t *minion, int64_t wave);
	void (*on_wave_state)(int64_t wave, bool completed);
	void (*on_begun)(world_minion_t *minion, world_job_t *job,
			 const world_run_t *run);
	void (*on_ended)(world_minion_t *minion, world_job_t *job,
			 const world_run_t *run);
} world_hooks_t;

typedef struct {
	struct event_base *base;
	GRand *rand;
	world_hooks_t hooks;
	world_minion_t minions[WORLD_MINIONS];
	GHashTable *jobs; /* id to world_job_t */
	int32_t broken;
	int32_t unexpected; /* ends of processes */
	int32_t orders; /* calls of holders to minions, while some are late */
	int32_t late_orders; /* of these */
	bool trouble;
	bool is_late_time; /* orders may be carried out late */
} world_t;

extern world_t world;

/* trouble is false where the environment has TROUBLE=0. */
void world_begin(const char *record_path, const world_hooks_t *hooks);
void world_run(int64_t ms);
void world_end(void);

int64_t world_now_ms(void);
void world_record(const char *format, ...) G_GNUC_PRINTF(1, 2);
void world_break(const char *format, ...) G_GNUC_PRINTF(1, 2);
void world_after(int64_t ms, world_step_t step, void *data);
void world_every(int64_t ms, world_step_t step, void *data);

/* The process is one of WORLD_PROCESSES; status 0: no answer. */
void world_call(int32_t process, enum evhttp_cmd_type method, const char *path,
		const char *body, world_answered_t done, void *data);

/* A job of one step; its body isn't sent yet. */
world_job_t *world_job_new(int32_t tasks, int64_t cpu, int64_t work_ms);
/* The same of tasks that last, one of them on a minion at the most. */
world_job_t *world_job_new_lasting(int32_t tasks, int64_t cpu,
				   int32_t may_miss);
/* Of a task; NULL if no client has handed it in. */
world_job_t *world_job_of(const char *task);
/* Cancels it until that is acknowledged. */
void world_job_cancel(void *job);
/* Hands it in until it is accepted, at any process. */
void world_job_submit(void *job);

/* All machines, at most max_down at once. */
void world_wave_request(int64_t wave, int32_t max_down, int64_t duration_s);
int32_t world_wave_count_down(int64_t wave);

/* The process that the newest notice in the store names; -1: none. */
int32_t world_holder(void);
/* After SIGTERM it gets SIGKILL once the grace time is over. */
void world_process_signal(int32_t process, int signal);
void world_process_start(int32_t process);

/* It is refused connections, and its machine is down, for that time. */
void world_minion_crash(world_minion_t *minion, int64_t down_ms);

#endif
