#ifndef WAXWINGHOLLOW_LOG_CLIENT_H
#define WAXWINGHOLLOW_LOG_CLIENT_H

/*
 * NAME
 *	log_client - follows and appends to one stream of the platform's log
 *
 * USE
 *	Runs a log_core with two threads: one reads by long poll and delivers
 *	each effective record once and in order; one sends appends. See
 *	log_core.h for the meaning of OK, UNAVAILABLE and UNKNOWN.
 *
 *	on_record, on_scan, on_trimmed and on_read are called by the reading
 *	thread, one at a time; on_settled by any thread. Callbacks may call
 *	any function of this header but append, wait, finish and delete.
 *
 *	When the records that the replay needs are trimmed, on_trimmed is
 *	called, and the remaining records of the stream are passed to on_scan,
 *	so that the caller can find a snapshot in them; a snapshot may also
 *	come from a peer. The caller then calls wwh_log_client_restore:
 *	install replaces the caller's state while no other callback runs, and
 *	the replay continues from that state.
 *
 *	Deadlines are absolute, in milliseconds of wwh_log_client_now_ms.
 *
 * ORDER OF CALLS
 *	wwh_log_client_new, wwh_log_client_init (threads start), any calls
 *	from any thread, wwh_log_client_finish, wwh_log_client_delete.
 */

#include "waxwinghollow/counters.h"
#include "waxwinghollow/log_core.h"

typedef struct {
	void (*on_record)(const char *stream, const wwh_log_entry_t *entry,
			  void *client_data);
	/* May be NULL. */
	void (*on_scan)(const char *stream, const wwh_log_entry_t *entry,
			void *client_data);
	/*
	 * May be NULL. first is the oldest available offset, or the offset of
	 * an ambiguous record.
	 */
	void (*on_trimmed)(const char *stream, int64_t first,
			   void *client_data);
	/*
	 * May be NULL. Called after each read; all records below cursor were
	 * delivered or dropped.
	 */
	void (*on_read)(const char *stream, int64_t cursor, bool caught_up,
			void *client_data);
	/* May be NULL. Reports outcomes of wwh_log_client_append_async. */
	void (*on_settled)(const char *stream, const wwh_log_settled_t *settled,
			   void *client_data);
	void *client_data;
} wwh_log_callbacks_t;

typedef struct {
	const char *stream;
	wwh_platform_t platform; /* its context must outlive the client */
	wwh_log_budget_t *budget; /* shared by the process's clients */
	wwh_counters_t *counters; /* "log.STREAM.*"; may be NULL */
	uint32_t seed; /* 0: from the operating system */
	wwh_log_core_options_t core;
	wwh_log_callbacks_t callbacks;
} wwh_log_client_options_t;

typedef struct wwh_log_client wwh_log_client_t;

void wwh_log_client_options_defaults(wwh_log_client_options_t *options);
int64_t wwh_log_client_now_ms(void);

wwh_log_client_t *wwh_log_client_new(const wwh_log_client_options_t *options);
wwh_status_t wwh_log_client_init(wwh_log_client_t *client);

/*
 * Rejects new appends, waits until deadline_ms for the pending ones, settles
 * the rest and stops the threads. May exceed the deadline by the duration of
 * one read or one attempt.
 */
void wwh_log_client_finish(wwh_log_client_t *client, int64_t deadline_ms);
void wwh_log_client_delete(wwh_log_client_t *client);

/*
 * Appends and waits for the outcome. OK: *offset is the offset of the effective
 * record. LIMIT and UNAVAILABLE: the append has no effect and never will.
 * UNKNOWN: the outcome is not known; the record may still be delivered.
 */
wwh_status_t wwh_log_client_append(wwh_log_client_t *client,
				   const uint8_t *data, size_t size,
				   int64_t deadline_ms, int64_t *offset);

/*
 * After OK, on_settled is called once with *ticket, possibly before this
 * function returns.
 */
wwh_status_t wwh_log_client_append_async(wwh_log_client_t *client,
					 const uint8_t *data, size_t size,
					 int64_t deadline_ms, uint64_t *ticket);

/*
 * Waits until the record at offset was delivered or dropped. Returns false
 * when the deadline passed first.
 */
bool wwh_log_client_wait(wwh_log_client_t *client, int64_t offset,
			 int64_t deadline_ms);

typedef void (*wwh_log_install_t)(void *install_data);

/*
 * Returns CONFLICT without calling install when upto is older than the state
 * that the replay has reached.
 */
wwh_status_t wwh_log_client_restore(wwh_log_client_t *client, int64_t upto,
				    wwh_log_install_t install,
				    void *install_data);

/* Whether the last read succeeded and reached the end of the log. */
bool wwh_log_client_caught_up(wwh_log_client_t *client);
wwh_log_state_t wwh_log_client_state(wwh_log_client_t *client);
int64_t wwh_log_client_cursor(wwh_log_client_t *client);
/* Returns the number of known unread records, or -1 before the first read. */
int64_t wwh_log_client_lag(wwh_log_client_t *client);

#endif
