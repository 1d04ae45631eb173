#ifndef WAXWINGHOLLOW_STORE_FOLLOWER_H
#define WAXWINGHOLLOW_STORE_FOLLOWER_H

/*
 * NAME
 *	store_follower - reports the newest record of each key, then each change
 *
 * USE
 *	Reads all keys of a partition once (the full read), then follows its
 *	log. When the log has been trimmed beyond the follower's offset, it
 *	repeats the full read and reports keys that are gone as deleted.
 *
 *	A full read with a record whose key is unreadable deletes no key: any
 *	missing key may be that one.
 *
 *	A call without an answer is repeated. The time limit of a read is a
 *	little longer than the store may wait, so that a silent connection costs
 *	one wait. A read without an answer halves the size of the next one, so
 *	that a follower under load still makes progress.
 *
 *	A follower that is behind by more than 2000 changes, and by more than
 *	twice the number of keys, repeats the full read instead.
 *
 * ORDER OF CALLS
 *	wwh_store_follower_new; wwh_store_follower_run often, by the thread of
 *	its http_calls; wwh_store_follower_delete, which may be called from
 *	within a callback.
 */

#include "waxwinghollow/http_calls.h"

typedef struct {
	wwh_http_calls_t *calls;
	const char *endpoint;
	const char *topic;
	int32_t part;
	int64_t wait_ms; /* how long the store may hold a read open */
	int64_t read_interval_ms; /* at least, between two reads; 0: none */
	int64_t link_kbps; /* over which pages come; 0: fast */
	/*
	 * value NULL: the key was deleted. A value of size 0: the key exists,
	 * but its value is unreadable.
	 */
	void (*on_record)(const char *key, const uint8_t *value, size_t size,
			  void *client_data);
	/* A record whose key is unreadable; may be NULL. */
	void (*on_unreadable_key)(int64_t offset, const char *why,
				  void *client_data);
	/* All records that existed when the follower began were reported. */
	void (*on_caught_up)(void *client_data);
	/* The store has become reachable or unreachable. */
	void (*on_reach)(bool reached, const char *why, void *client_data);
	void *client_data;
} wwh_store_follower_options_t;

typedef struct wwh_store_follower wwh_store_follower_t;

wwh_store_follower_t *
wwh_store_follower_new(const wwh_store_follower_options_t *options);
void wwh_store_follower_delete(wwh_store_follower_t *follower);
void wwh_store_follower_run(wwh_store_follower_t *follower, int64_t now_ms);

/*
 * Reads again, on another connection, while a read that was sent a while ago still
 * waits: what happened elsewhere suggests that its connection is silent.
 */
void wwh_store_follower_refresh(wwh_store_follower_t *follower, int64_t now_ms);

bool wwh_store_follower_caught_up(const wwh_store_follower_t *follower);

/*
 * Returns the time, as given to wwh_store_follower_run, as of which all records
 * of the log were reported; 0: none yet. During the first full read this applies
 * to the keys that were reported.
 */
int64_t wwh_store_follower_complete_ms(const wwh_store_follower_t *follower);

/*
 * Returns whether the last call failed: the store may be down, or this process
 * cut off.
 */
bool wwh_store_follower_failing(const wwh_store_follower_t *follower);

/*
 * Returns whether a full read is in progress: some of the reported records may be
 * outdated.
 */
bool wwh_store_follower_in_full_read(const wwh_store_follower_t *follower);

#endif
