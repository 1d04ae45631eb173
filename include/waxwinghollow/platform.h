#ifndef WAXWINGHOLLOW_PLATFORM_H
#define WAXWINGHOLLOW_PLATFORM_H

/*
 * NAME
 *	platform - interface to the platform, as callbacks
 *
 * USE
 *	The rest of the library accesses the platform only through a
 *	wwh_platform_t: callbacks with a context pointer. platform_http.h
 *	provides one for the HTTP protocol of docs/PLATFORM.md, tests provide
 *	one with a fake in memory, and an operator's adapter provides another.
 *
 *	Every callback blocks for at most timeout_ms and may be called from
 *	several threads at once.
 *
 * ORDER OF CALLS
 *	Any, while the context is valid.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "waxwinghollow/status.h"

#define WWH_APPEND_ID_BYTES 16

typedef struct {
	uint8_t bytes[WWH_APPEND_ID_BYTES];
} wwh_append_id_t;

/* One record of a stream. data is valid only during the visit. */
typedef struct {
	int64_t offset;
	wwh_append_id_t append_id;
	const uint8_t *data;
	size_t size;
} wwh_log_entry_t;

/* Returns false to stop reading. */
typedef bool (*wwh_log_visit_t)(const wwh_log_entry_t *entry,
				void *client_data);

typedef enum {
	WWH_HOST_LIVE = 0,
	WWH_HOST_LEAVING,
	WWH_HOST_GONE,
	WWH_HOST_STATE_COUNT
} wwh_host_state_t;

/* Names of wwh_host_state_t, in the same order. */
extern const char *const wwh_host_state_names[WWH_HOST_STATE_COUNT];

typedef enum {
	WWH_HOST_ENTRY = 0, /* one of the system's own hosts */
	WWH_HOST_WORKER,
	WWH_HOST_MINION,
	WWH_HOST_KIND_COUNT
} wwh_host_kind_t;

/* Names of wwh_host_kind_t, in the same order. */
extern const char *const wwh_host_kind_names[WWH_HOST_KIND_COUNT];

/*
 * One row of the platform's list of hosts, which lags behind their actual
 * state. Strings are valid only during the visit.
 */
typedef struct {
	const char *id;
	wwh_host_kind_t kind;
	wwh_host_state_t state;
	const char *address; /* entry: IP address and peer port "a:p" */
	const char *zone;
} wwh_host_t;

typedef void (*wwh_host_visit_t)(const wwh_host_t *host, void *client_data);

typedef enum {
	WWH_COMMAND_CORDON = 0, /* the worker accepts no new tasks */
	WWH_COMMAND_DRAIN, /* its tasks checkpoint or finish */
	WWH_COMMAND_REBOOT,
	WWH_COMMAND_UNCORDON,
	WWH_COMMAND_COUNT
} wwh_command_t;

/* Names of wwh_command_t, in the same order. */
extern const char *const wwh_command_names[WWH_COMMAND_COUNT];

typedef enum {
	WWH_WORKER_UP = 0,
	WWH_WORKER_CORDONED,
	WWH_WORKER_DRAINING,
	WWH_WORKER_DRAINED,
	WWH_WORKER_REBOOTING,
	WWH_WORKER_DOWN,
	WWH_WORKER_STATE_COUNT
} wwh_worker_state_t;

/* Names of wwh_worker_state_t, in the same order. */
extern const char *const wwh_worker_state_names[WWH_WORKER_STATE_COUNT];

typedef struct {
	wwh_worker_state_t state;
	int64_t fence; /* highest log offset received with a command */
	int64_t boots; /* reboots so far */
	int32_t running_tasks;
} wwh_worker_status_t;

typedef enum {
	WWH_TASK_START = 0,
	WWH_TASK_CHECKPOINT,
	WWH_TASK_THROTTLE,
	WWH_TASK_STOP,
	WWH_TASK_VERB_COUNT
} wwh_task_verb_t;

/* Names of wwh_task_verb_t, in the same order. */
extern const char *const wwh_task_verb_names[WWH_TASK_VERB_COUNT];

typedef struct {
	const char *task_id;
	const char *worker_id;
	wwh_task_verb_t verb;
	int64_t fence; /* log offset of the lease of the task */
	int32_t cores;
	int64_t memory_mb;
	int32_t accelerators;
	int32_t lease_ms; /* the worker stops the task when the lease lapses */
} wwh_task_order_t;

typedef enum {
	WWH_TASK_RUNNING = 0,
	WWH_TASK_CHECKPOINTED,
	WWH_TASK_DONE,
	WWH_TASK_FAILED,
	WWH_TASK_STOPPED,
	WWH_TASK_STATE_COUNT
} wwh_task_state_t;

/* Names of wwh_task_state_t, in the same order. */
extern const char *const wwh_task_state_names[WWH_TASK_STATE_COUNT];

/* A usage report, which lags behind the worker's actual state. */
typedef struct {
	const char *task_id;
	const char *worker_id;
	wwh_task_state_t state;
	int64_t fence;
	int32_t used_cores_milli; /* thousandths of a core */
	int64_t used_memory_mb;
} wwh_task_report_t;

typedef void (*wwh_task_visit_t)(const wwh_task_report_t *report,
				 void *client_data);

/*
 * The callbacks return WWH_STATUS_OK; WWH_STATUS_UNAVAILABLE if the call
 * certainly had no effect; WWH_STATUS_UNKNOWN if the answer was lost and the
 * call may have had an effect; WWH_STATUS_CONFLICT if it was rejected because
 * of a higher fence; WWH_STATUS_NOT_FOUND if the records were trimmed or there
 * is no such host; WWH_STATUS_BAD_INPUT if the request or the answer is
 * invalid.
 */
typedef struct {
	void *context;

	/* Appends one record; *offset is set if the result is OK. */
	wwh_status_t (*append)(void *context, const char *stream,
			       const wwh_append_id_t *append_id,
			       const uint8_t *data, size_t size,
			       int32_t timeout_ms, int64_t *offset);

	/*
	 * Visits records from offset from on, waiting up to wait_ms for the
	 * first. *first is the oldest offset that is still stored, *next the
	 * offset that the next append will get. Returns NOT_FOUND if from is
	 * lower than *first.
	 */
	wwh_status_t (*read)(void *context, const char *stream, int64_t from,
			     int32_t wait_ms, int32_t timeout_ms,
			     wwh_log_visit_t visit, void *client_data,
			     int64_t *first, int64_t *next);

	/*
	 * Visits the platform's list of live and leaving hosts, which lags
	 * behind their actual state. Returns BAD_INPUT if some rows are
	 * invalid; the others were visited.
	 */
	wwh_status_t (*hosts)(void *context, int32_t timeout_ms,
			      wwh_host_visit_t visit, void *client_data);

	/* fence is the log offset of the grant that permits the command. */
	wwh_status_t (*command)(void *context, const char *worker_id,
				wwh_command_t command, int64_t fence,
				int32_t timeout_ms);
	wwh_status_t (*worker_status)(void *context, const char *worker_id,
				      int32_t timeout_ms,
				      wwh_worker_status_t *status);
	wwh_status_t (*task)(void *context, const wwh_task_order_t *order,
			     int32_t timeout_ms);
	/* Returns BAD_INPUT as hosts does. */
	wwh_status_t (*task_reports)(void *context, int32_t timeout_ms,
				     wwh_task_visit_t visit, void *client_data);
} wwh_platform_t;

#endif
