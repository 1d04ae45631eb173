#ifndef WAXWINGHOLLOW_PLATFORM_H
#define WAXWINGHOLLOW_PLATFORM_H

/*
 * NAME
 *	platform - what the system asks of the platform, as callbacks
 *
 * USE
 *	The rest of the library sees the platform only through a
 *	wwh_platform_t: callbacks with a context pointer. platform_http.h fills
 *	one in for the HTTP protocol of docs/PLATFORM.md; tests fill one in
 *	with a fake in memory; an operator's adaptor fills in a third.
 *
 *	Every callback blocks for at most timeout_ms and may be called from
 *	several threads at once.
 *
 * ORDER OF CALLS
 *	Any, while the context lives.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "waxwinghollow/status.h"

#define WWH_APPEND_ID_BYTES 16

typedef struct {
	uint8_t bytes[WWH_APPEND_ID_BYTES];
} wwh_append_id_t;

/* One record of a stream. data lives only during the visit. */
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
	WWH_HOST_ENTRY = 0, /* a host of the system's own */
	WWH_HOST_WORKER,
	WWH_HOST_MINION,
	WWH_HOST_KIND_COUNT
} wwh_host_kind_t;

/* Names of wwh_host_kind_t, in the same order. */
extern const char *const wwh_host_kind_names[WWH_HOST_KIND_COUNT];

/* One line of the lagging list. Strings live only during the visit. */
typedef struct {
	const char *id;
	wwh_host_kind_t kind;
	wwh_host_state_t state;
	const char *address; /* entry: IP number and peer port "a:p" */
	const char *zone;
} wwh_host_t;

typedef void (*wwh_host_visit_t)(const wwh_host_t *host, void *client_data);

typedef enum {
	WWH_COMMAND_CORDON = 0, /* takes no new tasks */
	WWH_COMMAND_DRAIN, /* tasks checkpoint or finish */
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
	int64_t fence; /* highest log offset a command came with */
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
	int64_t fence; /* log offset of the lease the task runs under */
	int32_t cores;
	int64_t memory_mb;
	int32_t accelerators;
	int32_t lease_ms; /* the worker stops the task when it lapses */
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

/* A usage report; lags behind what the worker does. */
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
 * What the callbacks return: WWH_STATUS_OK; WWH_STATUS_UNAVAILABLE, surely
 * without effect; WWH_STATUS_UNKNOWN, the answer was lost and the effect may
 * be there; WWH_STATUS_CONFLICT, refused because of a higher fence;
 * WWH_STATUS_NOT_FOUND, trimmed or no such host; WWH_STATUS_BAD_INPUT.
 */
typedef struct {
	void *context;

	/* Appends one record; *offset is set when the answer is OK. */
	wwh_status_t (*append)(void *context, const char *stream,
			       const wwh_append_id_t *append_id,
			       const uint8_t *data, size_t size,
			       int32_t timeout_ms, int64_t *offset);

	/*
	 * Visits records from offset from on, waiting up to wait_ms for the
	 * first. *first is the oldest offset that is still kept, *next the
	 * one that the next append will get. NOT_FOUND when from is older
	 * than *first.
	 */
	wwh_status_t (*read)(void *context, const char *stream, int64_t from,
			     int32_t wait_ms, int32_t timeout_ms,
			     wwh_log_visit_t visit, void *client_data,
			     int64_t *first, int64_t *next);

	/*
	 * The lagging list of live and leaving hosts. BAD_INPUT: some rows
	 * can't be read; the others were visited.
	 */
	wwh_status_t (*hosts)(void *context, int32_t timeout_ms,
			      wwh_host_visit_t visit, void *client_data);

	/* fence is the offset of the grant that allows the command. */
	wwh_status_t (*command)(void *context, const char *worker_id,
				wwh_command_t command, int64_t fence,
				int32_t timeout_ms);
	wwh_status_t (*worker_status)(void *context, const char *worker_id,
				      int32_t timeout_ms,
				      wwh_worker_status_t *status);
	wwh_status_t (*task)(void *context, const wwh_task_order_t *order,
			     int32_t timeout_ms);
	/* BAD_INPUT as for hosts */
	wwh_status_t (*task_reports)(void *context, int32_t timeout_ms,
				     wwh_task_visit_t visit, void *client_data);
} wwh_platform_t;

#endif
