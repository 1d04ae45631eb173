#ifndef WAXWINGHOLLOW_CONFIG_RELAY_H
#define WAXWINGHOLLOW_CONFIG_RELAY_H

/*
 * NAME
 *	config_relay - accepted configuration from peer to peer
 *
 * USE
 *	Answers this failure: a process can't reach the platform's log (or the
 *	log is down while it starts) but reaches peers. Without it, it serves
 *	callers on an old configuration, or on none, until the log is back.
 *
 *	Each process keeps the last accepted changes. One that hears by gossip
 *	of a newer version than it has (membership.h) waits request_delay_ms, in
 *	which the log mostly brings it, then asks the peer that told of it.
 *	The answer is the missing changes in order, or the get_full_config configuration
 *	as a change from version 0 when some are kept no more. No answer in
 *	answer_timeout_ms: it asks again, backing off up to eight times as long, since
 *	the peer may be gone; gossip names another one then.
 *
 *	Only what was asked for is taken, only from the one that was asked,
 *	only get_full_config, only in order, and only a newer version: nothing reverts.
 *	The versions come from accepted records, and replay gives the same
 *	ones, so what comes later from the log is the same or newer.
 *
 *	Bounds: max_retained_bytes of changes; one transfer at a time, of at most
 *	max_transfer_bytes; a get_full_config configuration is served at most every
 *	min_full_interval_ms, so that many that start at once don't take a peer's
 *	share of the network; they ask again.
 *
 * ORDER OF CALLS
 *	wwh_config_relay_new; note for each version that comes into force by
 *	replay; tick and receive; wwh_config_relay_delete. With one lock held.
 *	install is called within receive; it must not call note.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/status.h"

typedef struct {
	int64_t max_retained_bytes;
	int64_t max_transfer_bytes;
	int32_t request_delay_ms;
	int32_t answer_timeout_ms;
	int32_t min_full_interval_ms;

	void (*send)(const char *address, const uint8_t *payload, size_t size,
		     void *client_data);
	/* The configuration in force as a change from version 0; a new ref. */
	GBytes *(*get_full_config)(int64_t *version, int64_t *offset,
				   void *client_data);
	/*
	 * Applies change to version from (0: to nothing), which makes version.
	 * false: it is refused; it is not asked for again for a while.
	 */
	bool (*install)(int64_t from, int64_t version, int64_t offset,
			GBytes *change, void *client_data);
	void *client_data;
} wwh_config_relay_options_t;

typedef struct {
	int64_t asked;
	int64_t served_changes;
	int64_t served_wholes;
	int64_t put_off; /* wholes that were not served because of the gap */
	int64_t installed;
	int64_t refused; /* malformed, not asked for, out of order, too large */
} wwh_config_relay_stats_t;

typedef struct wwh_config_relay wwh_config_relay_t;

void wwh_config_relay_options_defaults(wwh_config_relay_options_t *options);
wwh_config_relay_t *
wwh_config_relay_new(const wwh_config_relay_options_t *options);
void wwh_config_relay_delete(wwh_config_relay_t *relay);

/* version is in force here; change made it from the version before. */
void wwh_config_relay_add_change(wwh_config_relay_t *relay, int64_t version,
				 int64_t offset, GBytes *change);

/*
 * version is in force here without a change from the one before: it came
 * with a snapshot.
 */
void wwh_config_relay_reset(wwh_config_relay_t *relay, int64_t version);

/* newest and address as wwh_membership_newest_config gives them. */
void wwh_config_relay_tick(wwh_config_relay_t *relay, int64_t newest,
			   const char *address, int64_t now_ms);

/* The payload of a WWH_FRAME_CONFIG from the peer that listens there. */
wwh_status_t wwh_config_relay_receive(wwh_config_relay_t *relay,
				      const char *from_address,
				      const uint8_t *payload, size_t size,
				      int64_t now_ms);

const wwh_config_relay_stats_t *
wwh_config_relay_stats(const wwh_config_relay_t *relay);

#endif
