#ifndef WAXWINGHOLLOW_STORE_FOLLOWER_H
#define WAXWINGHOLLOW_STORE_FOLLOWER_H

/*
 * NAME
 *	store_follower - the newest record of each key, and then each change
 *
 * USE
 *	Reads all keys of a partition once, then follows its log. When the log
 *	has been trimmed beyond where it is, it reads all keys again and
 *	reports those that are gone as dropped.
 *
 *	A list that holds a record without a key that can be read drops no key:
 *	any that is missing may be that one.
 *
 *	A call that gets no answer is repeated: the time limit of a read is a
 *	little longer than the store may wait, so that a connection that has
 *	gone silent costs one wait. A read that got none asks for half as much
 *	the next time, so that a follower under load still gets on.
 *
 *	A follower that is behind by more changes than there are keys reads all
 *	keys again instead.
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
	int64_t wait_ms; /* of a read */
	int64_t read_interval_ms; /* between two reads; 0: none */
	/*
	 * value NULL: the key was dropped. size 0 and a value: the key is
	 * there, and its value can't be read.
	 */
	void (*on_record)(const char *key, const uint8_t *value, size_t size,
			  void *client_data);
	/* A record without a key that can be read; may be NULL. */
	void (*on_unreadable_key)(int64_t offset, const char *why,
				  void *client_data);
	/* All that was there when it began has been reported. */
	void (*on_caught_up)(void *client_data);
	/* The store answers, or doesn't, as against the time before. */
	void (*on_reach)(bool reached, const char *why, void *client_data);
	void *client_data;
} wwh_store_follower_options_t;

typedef struct wwh_store_follower wwh_store_follower_t;

wwh_store_follower_t *
wwh_store_follower_new(const wwh_store_follower_options_t *options);
void wwh_store_follower_delete(wwh_store_follower_t *follower);
void wwh_store_follower_run(wwh_store_follower_t *follower, int64_t now_ms);

bool wwh_store_follower_caught_up(const wwh_store_follower_t *follower);

/*
 * What was in the log at this time of wwh_store_follower_run has been reported;
 * 0: nothing yet. While it reads all keys for the first time, this holds for
 * those that have been reported.
 */
int64_t wwh_store_follower_complete_ms(const wwh_store_follower_t *follower);

/* The last call failed: the store may be away, or this process cut off. */
bool wwh_store_follower_failing(const wwh_store_follower_t *follower);

/* It is reading all keys: what it has reported is partly old. */
bool wwh_store_follower_in_full_read(const wwh_store_follower_t *follower);

#endif
