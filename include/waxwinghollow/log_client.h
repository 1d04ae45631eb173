#ifndef WAXWINGHOLLOW_LOG_CLIENT_H
#define WAXWINGHOLLOW_LOG_CLIENT_H

/*
 * NAME
 *	log_client - follows and appends to one stream of the platform's log
 *
 * USE
 *	Runs a log_core with two threads: one reads by long poll and delivers
 *	each record that counts, once and in order; one sends appends. See
 *	log_core.h for what OK, UNAVAILABLE and UNKNOWN promise.
 *
 *	on_record, on_scan, on_trimmed and on_read are called by the reading
 *	thread, one at a time; on_settled by either thread. Callbacks may call
 *	anything here but append, wait, finish and delete.
 *
 *	When the records that the replay needs are trimmed, on_trimmed is
 *	called, and what is left of the stream goes to on_scan, so that a
 *	snapshot in it can be found; one may also come from a peer. Then
 *	wwh_log_client_restore: install replaces the caller's state while no
 *	other callback runs, and the replay goes on from there.
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
	/* May be NULL. first is the oldest offset that is kept. */
	void (*on_trimmed)(const char *stream, int64_t first,
			   void *client_data);
	/* May be NULL. After each read; all below cursor was delivered. */
	void (*on_read)(const char *stream, int64_t cursor, bool caught_up,
			void *client_data);
	/* May be NULL. For wwh_log_client_append_async. */
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
 * Refuses new appends, lets those there end until deadline_ms, settles the
 * rest, stops the threads. Takes as long as a read or an attempt longer.
 */
void wwh_log_client_finish(wwh_log_client_t *client, int64_t deadline_ms);
void wwh_log_client_delete(wwh_log_client_t *client);

/*
 * Appends and waits. OK: *offset is the record that counts. LIMIT and
 * UNAVAILABLE: surely without effect, for good. UNKNOWN: neither can be told;
 * it may still be delivered.
 */
wwh_status_t wwh_log_client_append(wwh_log_client_t *client,
				   const uint8_t *data, size_t size,
				   int64_t deadline_ms, int64_t *offset);

/* OK: on_settled will be called once with *ticket, maybe before the return. */
wwh_status_t wwh_log_client_append_async(wwh_log_client_t *client,
					 const uint8_t *data, size_t size,
					 int64_t deadline_ms, uint64_t *ticket);

/* Waits until the record at offset was delivered; false: not in time. */
bool wwh_log_client_wait(wwh_log_client_t *client, int64_t offset,
			 int64_t deadline_ms);

typedef void (*wwh_log_install_t)(void *install_data);

/* CONFLICT, and install isn't called, when upto is older than the replay. */
wwh_status_t wwh_log_client_restore(wwh_log_client_t *client, int64_t upto,
				    wwh_log_install_t install,
				    void *install_data);

/* The end of the log was reached in the last read, and that succeeded. */
bool wwh_log_client_caught_up(wwh_log_client_t *client);
wwh_log_state_t wwh_log_client_state(wwh_log_client_t *client);
int64_t wwh_log_client_cursor(wwh_log_client_t *client);
/* Records known to be there and not read; -1: nothing was read yet. */
int64_t wwh_log_client_lag(wwh_log_client_t *client);

#endif
