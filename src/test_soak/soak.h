#ifndef SOAK_H
#define SOAK_H

/*
 * NAME
 *	soak - the system's processes under random faults, checked from outside
 *
 * USE
 *	Starts the program as separate processes on loopback, with a stand-in of
 *	the platform (store, group, list of hosts), upstreams that run tasks, and
 *	clients. Faults are drawn from a seed, in series and overlapping. The
 *	promises are checked from what clients and upstreams see. One thread
 *	runs all of it, so the record has one order.
 *
 * ORDER OF CALLS
 *	soak_init; the *_start functions; soak_run until soak_stop.
 */

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SOAK_LOOPBACK "127.0.0.1"
#define SOAK_HOST "jobs.example"
#define SOAK_POOLS 4
#define SOAK_ZONES 4
#define SOAK_HEARTBEAT_MS 1500
#define SOAK_LEASE_MAX_MS 6000
#define SOAK_STOP_MS 200
#define SOAK_CONTACT_MS 4000
#define SOAK_CANCEL_MS 4000
#define SOAK_GANG_MS 4000
#define SOAK_EARLY_MS 250
#define SOAK_ATTEMPTS_MAX 3
#define SOAK_TASK_MIN_MS 300
#define SOAK_TASK_MAX_MS 2000
#define SOAK_PROCESS_PORTS 4
#define SOAK_NEWEST_MAX 500
#define SOAK_PARTS 16

/* What happens to connections through a proxy. */
typedef enum {
	SOAK_LINK_SOUND = 0,
	SOAK_LINK_SILENT, /* nothing passes; it arrives later */
	SOAK_LINK_ANSWERS_HELD, /* requests pass, their answers don't */
	SOAK_LINK_RESET, /* connections are reset */
	SOAK_LINK_RESET_SOME, /* all at first, then nearly half of the new */
	SOAK_LINK_REFUSED, /* the open ones are reset, new ones are refused */
	SOAK_LINK_COUNT
} soak_link_t;

/* Names of soak_link_t, in the same order. */
extern const char *const soak_link_names[SOAK_LINK_COUNT];

/* Whom a link concerns, by the fencing tokens in their orders. */
typedef enum {
	SOAK_CALLERS_ALL = 0,
	SOAK_CALLERS_EARLIER, /* holders with at most the given token */
	SOAK_CALLERS_LATER, /* holders with a higher one */
	SOAK_CALLERS_COUNT
} soak_callers_t;

/* Names of soak_callers_t, in the same order. */
extern const char *const soak_callers_names[SOAK_CALLERS_COUNT];

typedef struct soak_proxy soak_proxy_t;

/* How lists of hosts are disturbed. The protocol allows no stale or short ones. */
typedef enum {
	SOAK_LIST_LATE = 0, /* the answer takes seconds */
	SOAK_LIST_STALE, /* it shows the hosts of up to some seconds ago */
	SOAK_LIST_SHORT, /* rows are missing */
	SOAK_LIST_PAGED, /* pages that aren't of one moment */
	SOAK_LIST_REFUSED, /* 503 or 429 */
	SOAK_LIST_COUNT
} soak_list_t;

/* Names of soak_list_t, in the same order. */
extern const char *const soak_list_names[SOAK_LIST_COUNT];

/* Each makes a stand-in break one promise, which a checker has to find. */
typedef enum {
	SOAK_PLANT_NONE = 0,
	SOAK_PLANT_LOST_END, /* TWICE: an end counts as acknowledged unread */
	SOAK_PLANT_EARLY_END, /* ORDER: an end is listed while the run goes on */
	SOAK_PLANT_FALSE_END, /* MIXED: a failed run is listed as done */
	SOAK_PLANT_LOST_JOB, /* LOST: the store drops records of a job */
	SOAK_PLANT_FOREIGN_RUN, /* UNASKED: a run that nobody submitted */
	SOAK_PLANT_REJECTION, /* REFUSED: an accepted job counts as rejected */
	SOAK_PLANT_ABORT, /* FAULT: a process ends by a signal */
	SOAK_PLANT_TWO_HOLDERS, /* ONE: orders of two holders with one token */
	SOAK_PLANT_HIGHER_TOKEN, /* ONE: a host has seen a higher token */
	SOAK_PLANT_WAVE_LIMIT, /* LIMIT: a wave's published limit is higher */
	SOAK_PLANT_NO_UPKEEP, /* MIXED: an upkeep is answered, not begun */
	SOAK_PLANT_LOST_CANCEL, /* UNASKED: a cancel is acknowledged unsent */
	SOAK_PLANT_LASTING_LOST, /* LOST: a run is listed and not there */
	SOAK_PLANT_GANG_ALONE, /* GANG: a gang never is complete */
	SOAK_PLANT_LATE_TIMES, /* ORDER: times count as later than asked for */
	SOAK_PLANT_HIDDEN_FAILURE, /* BUDGET: a failed run is listed as lapsed */
	SOAK_PLANT_COUNT
} soak_plant_t;

/* Names of soak_plant_t, in the same order. */
extern const char *const soak_plant_names[SOAK_PLANT_COUNT];

typedef struct {
	int32_t seed;
	int32_t processes;
	int32_t upstreams;
	int32_t seconds; /* of traffic and faults */
	int32_t jobs_per_s;
	const char *program;
	const char
		*directory; /* of the processes' logs; NULL: a temporary one */
	const char *faults; /* names, joined by commas; NULL: all */
	gboolean unfenced; /* the platform doesn't check fences of hosts */
	int32_t finish_s; /* without faults, in which jobs have to end */
	soak_plant_t plant;
	/* Upstreams don't tell when they were started; each has a new id then. */
	gboolean no_born;
} soak_options_t;

/* One run of a task, as the upstreams have seen it. */
typedef struct {
	char *task;
	int64_t run;
	char *incarnation; /* id and number of the start of its upstream */
	int64_t begun_ms;
	int64_t ended_ms; /* 0: it runs */
	bool lasts; /* until its job is cancelled */
	int64_t works_ms; /* from then on; INT64_MAX: it waits for others */
	int64_t due_ms;
	const char *due_how; /* how it ends then */
	const char *how; /* of its end; NULL: it runs */
	const char *listed_how; /* as it is reported */
	int64_t end_number;
	int64_t acked_ms; /* when its end was acknowledged; 0: never */
	/* The lease lapsed before that, so the acknowledgement doesn't count. */
	bool lapsed_unacked;
	bool is_planted; /* owned by the list of ends */
	bool is_late; /* its start was carried out late */
} soak_run_t;

/* What is wrong with an upstream that runs. */
typedef enum {
	SOAK_UPSTREAM_SOUND = 0,
	SOAK_UPSTREAM_HANGS, /* accepts calls and never answers */
	SOAK_UPSTREAM_REJECTS, /* some calls, and has done nothing */
	SOAK_UPSTREAM_SLOW, /* tasks take longer, answers come late */
	SOAK_UPSTREAM_DISORDER_COUNT
} soak_disorder_t;

/* Names of soak_disorder_t, in the same order. */
extern const char *const soak_disorder_names[SOAK_UPSTREAM_DISORDER_COUNT];

typedef struct {
	int32_t index;
	int32_t incarnations;
	int32_t pool;
	char id[32];
	char host[16];
	int port;
	soak_proxy_t *proxy; /* its announced address */
	bool up;
	bool draining;
	int64_t born_wall_ms;
	int64_t born_ms;
	int64_t token;
	int64_t lease_ms; /* by its own clock; 0: none */
	int32_t clock_slow_permille; /* from clock_slow_since_ms on */
	int64_t clock_slow_since_ms;
	int64_t clock_behind_ms; /* a sound clock, then */
	int64_t halted_until_ms; /* it does nothing, and its clock goes on */
	int64_t sequence;
	int64_t next_beat_ms;
	int64_t down_since_ms; /* 0: its entry was removed */
	int64_t late_until_ms; /* orders are carried out late until then */
	int64_t odd_until_ms; /* some answers to polls are malformed */
	const char *absence; /* "moving" or "upkeep"; NULL: neither */
	int32_t next_pool; /* after a move */
	int64_t wave; /* for which its host is in upkeep; 0: none */
	int64_t duty_token; /* the highest of the orders for its host */
	char *duty_holder; /* which sent it */
	int64_t isolated_until_ms; /* from the store */
	bool is_listed; /* its entry is in the store */
	soak_disorder_t disorder;
	struct evhttp *http;
	GPtrArray *active; /* soak_active_t */
	GPtrArray *ended; /* soak_run_t that are listed */
	int64_t ends;
	GHashTable *highest; /* task to the highest run stopped or ended */
	GPtrArray *polls; /* soak_poll_t */
} soak_upstream_t;

typedef struct {
	GPid pid; /* 0: down */
	bool stopped; /* by SIGSTOP */
	bool terminating; /* it got SIGTERM */
	bool terminated_at_start; /* before it listened */
	bool frozen_terminating; /* and was stopped meanwhile */
	int32_t starts;
	int32_t zone;
	int ports[SOAK_PROCESS_PORTS];
	char node[32];
	char peer[32];
	int store_port; /* where the store serves this process */
	int32_t store_status; /* of its calls; 0: they are served */
	soak_proxy_t *store_proxy; /* through which it reaches the store */
	GPtrArray *connections; /* of clients, kept open */
} soak_process_t;

/* What a client asks of a job. */
typedef enum {
	SOAK_KIND_PLAIN = 0,
	SOAK_KIND_CANCELLED, /* the client cancels it */
	SOAK_KIND_LASTING, /* its tasks run until it is cancelled */
	SOAK_KIND_GANG, /* the tasks of a step work only together */
	SOAK_KIND_TIMED, /* its steps run several times, at set times */
	SOAK_KIND_FAILING, /* its tasks often end as failed */
	SOAK_KIND_COUNT
} soak_kind_t;

/* A job of a client: one or two steps of equal tasks. */
typedef struct {
	char id[17];
	soak_kind_t kind;
	int32_t pool;
	int32_t steps;
	int32_t tasks; /* of each step */
	int32_t times; /* of the steps; 0: once, at once */
	int64_t first_wall_ms;
	int64_t interval_ms;
	int32_t attempts;
	bool accepted;
	bool unanswered; /* an attempt got no answer that says it has not run */
	bool given_up;
	bool completed;
	bool failed;
	int64_t accepted_ms;
	int64_t cancels_after_ms; /* its acceptance; 0: never */
	bool cancel_sent;
	int64_t cancel_acked_ms; /* 0: not yet */
	bool reported; /* a task of it that doesn't run */
	char *body;
} soak_job_t;

typedef void (*soak_step_t)(void *data);
typedef void (*soak_answered_t)(int32_t status, const char *body, void *data);

typedef struct {
	soak_options_t options;
	struct event_base *base;
	GRand *rand;
	FILE *record;
	char *directory;
	int64_t start_us;
	int32_t broken; /* promises found broken */
	int hosts_port;
	int64_t store_delay_ms;
	bool store_refuses; /* all calls, with 503 */
	bool store_away; /* so it does, for as long as a partition says */
	double store_loses; /* probability that an answer is lost */
	double store_defers; /* probability that an append is done late */
	uint32_t store_parts_down; /* a bit for each partition that refuses */
	int64_t store_page; /* records of one page of the newest */
	soak_upstream_t *upstreams;
	soak_process_t *processes;
	GHashTable *runs; /* task to GPtrArray of soak_run_t */
	GHashTable *jobs; /* id to soak_job_t */
} soak_t;

extern soak_t soak;

extern const char *const soak_pool_names[SOAK_POOLS];
extern const char *const soak_zone_names[SOAK_ZONES];

/* soak_world.c: time, the record, the loop */
void soak_init(const soak_options_t *options, const char *record_path);
void soak_loop(void); /* until soak_stop */
void soak_stop(void);
int64_t soak_now_ms(void); /* since soak_init */
int64_t soak_wall_ms(void);
void soak_record(const char *format, ...) G_GNUC_PRINTF(1, 2);
/* Records that a promise is broken. */
void soak_break(const char *rule, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* " RULE" for each rule that was broken. */
const char *soak_broken_rules(void);
void soak_after(int64_t ms, soak_step_t step, void *data);
void soak_every(int64_t ms, soak_step_t step, void *data);

/* soak_http.c */
/* *port 0: any free one, which is returned there. */
struct evhttp *soak_listen(int *port,
			   void (*serve)(struct evhttp_request *, void *),
			   void *data);
int soak_free_port(void);
/* At which request arrived; 0: its connection is closed. */
int soak_port_of(struct evhttp_request *request);
bool soak_is_listening(int port);
void soak_answer(struct evhttp_request *request, int32_t status,
		 const char *text, int64_t delay_ms);
/* Takes ownership of body. */
void soak_answer_bytes(struct evhttp_request *request, struct evbuffer *body);
/* Returns NULL without an object; free with json_node_unref. */
JsonNode *soak_parse_body(struct evhttp_request *request);
int64_t soak_number(JsonObject *object, const char *name, int64_t fallback);

/* soak_proxy.c: connections that can be disturbed */
soak_proxy_t *soak_proxy_new(int target_port);
int soak_proxy_port(const soak_proxy_t *proxy);
soak_link_t soak_proxy_link(const soak_proxy_t *proxy);
void soak_proxy_set_link(soak_proxy_t *proxy, soak_link_t link);
void soak_proxy_restore(void *proxy);
/* Not for SOAK_LINK_REFUSED, unless it concerns all. */
void soak_proxy_set_link_for(soak_proxy_t *proxy, soak_link_t link,
			     soak_callers_t callers, int64_t token);
/* Until it is unpinned, other calls that set a link have no effect. */
void soak_proxy_pin(soak_proxy_t *proxy, soak_link_t link,
		    soak_callers_t callers, int64_t token);
void soak_proxy_unpin(soak_proxy_t *proxy);
/* New connections go there; resets: the open ones are reset. */
void soak_proxy_set_target(soak_proxy_t *proxy, int target_port, bool resets);

/* soak_store.c: the log */
void soak_store_start(void);
bool soak_store_is_down(void);
/* value NULL: the key is dropped */
void soak_store_put(const char *topic, const char *key, const char *value);
/* The log forgets all records but the newest of each key. */
void soak_store_compact(void);
/* Has the store serve calls of this process at a port of its own. */
void soak_store_listen_for(soak_process_t *process);
/* The address that the newest notice in the store names; NULL: none. */
char *soak_store_holder(void);
/* The fencing token of that notice; 0: none. */
int64_t soak_store_holder_token(void);
void soak_store_serve(void *request); /* struct evhttp_request */

/* soak_group.c: the store's group */
void soak_group_start(void);
/* All partitions change hands at once. */
void soak_group_deal_anew(void);
void soak_group_join(struct evhttp_request *request);
void soak_group_leave(struct evhttp_request *request);

/* soak_hosts.c: the list of hosts and the operator's configuration */
void soak_hosts_start(void);
void soak_hosts_disturb(soak_list_t list, int64_t ms);
/* Publishes the next version, in which time limits differ. */
void soak_configuration_publish(void);

/* soak_duties.c: orders for hosts and waves of upkeep */
void soak_duties_start(void);
void soak_duties_serve(struct evhttp_request *request);
/* Half of the orders get no answer. */
void soak_duties_lose_answers(int64_t ms);
/* Half of the orders get no answer and are carried out seconds later. */
void soak_duties_delay(int64_t ms);
void soak_duties_request_wave(void);
/* value isn't terminated */
void soak_duties_check_status(const char *key, const char *value, size_t size);

/* soak_upstream.c */
void soak_upstreams_start(void);
/* The index of the rack of its host. */
int32_t soak_upstream_rack(const soak_upstream_t *upstream);
/* silent: like a host without power; else connections are refused. */
void soak_upstream_crash(soak_upstream_t *upstream, bool silent);
/* Its host is moved or serviced; its entry remains until it expires. */
void soak_upstream_leave(soak_upstream_t *upstream);
void soak_upstream_restart(soak_upstream_t *upstream, bool same_id);
void soak_upstream_drain(soak_upstream_t *upstream);
/* Its announcements don't reach the store. */
void soak_upstream_isolate(soak_upstream_t *upstream, int64_t duration_ms);
/*
 * Ends, and starts with a new id at the address of former, which runs on at the
 * other one's address. resets: connections to former are reset.
 */
void soak_upstream_take_address(soak_upstream_t *upstream,
				soak_upstream_t *former, bool resets);

/* soak_odd.c: malformed rows; rows ends after '[' or a row */
void soak_odd_begin(void);
void soak_odd_append_host(GString *rows);
void soak_odd_append_running(const soak_upstream_t *upstream, GString *rows);
void soak_odd_append_end(const soak_upstream_t *upstream, GString *rows);
void soak_odd_append_clock(const soak_upstream_t *upstream, GString *text,
			   int64_t clock_ms);

/* soak_process.c: the processes under test */
void soak_processes_start(void);
void soak_process_start(soak_process_t *process);
/* Writes its settings anew and sends SIGHUP. */
void soak_process_reload(soak_process_t *process);
void soak_process_signal(soak_process_t *process, int signal);
soak_process_t *soak_process_holder(void); /* NULL: none is known */
void soak_processes_end(void);

/* soak_peers.c: links between the processes */
void soak_peers_start(void);
soak_proxy_t *soak_peer_link(const soak_process_t *caller,
			     const soak_process_t *callee);
/*
 * A record of the store as the sender of request reads it: the notice has the
 * address of its link to the holder. Free with g_bytes_unref; value may be NULL.
 */
GBytes *soak_peer_view(struct evhttp_request *request, const char *key,
		       GBytes *value);

/* soak_client.c */
void soak_clients_start(void);
void soak_clients_stop_submitting(void);

/* soak_jobs.c */
soak_job_t *soak_job_new(void);
/* Returns NULL if no client has submitted it. */
soak_job_t *soak_job_of_task(const char *task);

/* Draws when and how run ends by itself. */
void soak_job_draw_end(soak_run_t *run, int32_t slowness);
/* Counted through the occurrences, steps and tasks of job. */
char *soak_job_task_name(const soak_job_t *job, int32_t number);
int32_t soak_job_count(const soak_job_t *job); /* of its tasks */
/* The number of its step, counted through the occurrences. */
int32_t soak_job_step_of(const soak_job_t *job, const char *task);

/* soak_gang.c: runs whose members work and end together */
void soak_gangs_start(void);
/* Until the others are there, run is due to end alone. */
void soak_gang_join(soak_run_t *run);

/* soak_calm.c */
/* Called as a fault begins. */
void soak_calm_note_fault(const char *name);
/* What was begun lasts at least ms from now. */
void soak_calm_note_length(int64_t ms);
/* No process, link of one or store was disturbed for SOAK_CONTACT_MS. */
bool soak_in_touch(void);
/* Nor was anything else for ms, but by new settings and configurations. */
bool soak_is_calm_for(int64_t ms);

/* soak_checks.c */
void soak_check_start(const soak_run_t *run);
void soak_check_completed(const char *id);
void soak_check_failed(const char *id);
void soak_check_end(const soak_run_t *run);
/* Finds tasks that last and aren't restarted, until the end. */
void soak_check_lasting_start(void);
void soak_check_runs_at_end(void);
void soak_check_jobs_at_end(void);

/* soak_faults.c */
/* Returns false if a name is unknown. */
bool soak_faults_start(void);
void soak_faults_stop(void);
int32_t soak_draw(int32_t from, int32_t to); /* from <= result < to */
soak_upstream_t *soak_draw_upstream(void);
void soak_freeze_process(soak_process_t *process, int64_t duration_ms);

/* soak_upstream_faults.c */
void soak_move_addresses(void);
void soak_hang_upstreams(void);
void soak_reject_at_upstreams(void);
void soak_slow_upstreams(void);
void soak_slow_clocks(void);
void soak_halt_upstreams(void);
void soak_cut_rack(void);
void soak_cut_all_upstreams(void);

/* soak_partial_faults.c: links that are cut for some callers */
void soak_cut_some_callers(void);
void soak_overtake_holder(void);

/* soak_partition.c: processes that are cut off as a whole */
void soak_partition_begin(void);
void soak_partition_begin_without_store(void);
void soak_partition_end(void);

/* soak_platform_faults.c */
void soak_reject_some_at_store(void);
void soak_refuse_some_partitions(void);
void soak_compact_often(void);
void soak_page_newest_records(void);
void soak_defer_appends(void);
void soak_expire_entries(void);
void soak_cut_power(void);
void soak_delay_host_lists(void);
void soak_age_host_lists(void);
void soak_shorten_host_lists(void);
void soak_page_host_lists(void);
void soak_refuse_host_lists(void);
void soak_lose_answers_to_duties(void);
void soak_delay_duties(void);

#endif
