#ifndef WAXWINGHOLLOW_CONFIG_RELAY_H
#define WAXWINGHOLLOW_CONFIG_RELAY_H

/*
 * NAME
 *	config_relay - transfers accepted configurations between peers
 *
 * USE
 *	Answers this failure: a process can't reach the platform's log (or the
 *	log is down while it starts) but reaches peers. Without the relay, it
 *	serves callers on an old configuration, or has none, until the log is
 *	back.
 *
 *	Each relay retains the most recent accepted changes. When gossip
 *	(membership.h) reports a newer version than the one in force here, the
 *	relay waits request_delay_ms, since the log usually delivers the
 *	version in that time, and then requests it from the peer that has it.
 *	The answer is the missing changes in order, or the full configuration
 *	as a change from version 0 if some of them are no longer retained.
 *	Without an answer within answer_timeout_ms the request is repeated. The
 *	timeout doubles with each failure, up to eight times its length: the
 *	peer may have stopped, and gossip names another one then.
 *
 *	A change is accepted only if it was requested, comes from the peer that
 *	was asked, is complete and in order, and makes a newer version, so a
 *	configuration never reverts. Versions come from accepted records, and
 *	a replay of the log yields the same ones, so what the log delivers
 *	later is the same version or a newer one.
 *
 *	Bounds: max_retained_bytes of changes; one transfer at a time, of at
 *	most max_transfer_bytes. A full configuration is served at most every
 *	min_full_interval_ms, so that many processes that start at once don't
 *	use up the network share of a peer; those not served repeat their
 *	requests.
 *
 * ORDER OF CALLS
 *	wwh_config_relay_new; add_change or reset for each version that comes
 *	into force by other means than the relay; tick and receive;
 *	wwh_config_relay_delete. All with one lock held. The callback install
 *	is called within receive and must not call add_change.
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
	/*
	 * Returns the configuration in force as a change from version 0, as a
	 * new reference, or NULL if there is none.
	 */
	GBytes *(*get_full_config)(int64_t *version, int64_t *offset,
				   void *client_data);
	/*
	 * Applies change to version from (0: to an empty configuration), which
	 * makes version. Returns false if the change is rejected; the next
	 * request is then delayed by the longest backoff.
	 */
	bool (*install)(int64_t from, int64_t version, int64_t offset,
			GBytes *change, void *client_data);
	void *client_data;
} wwh_config_relay_options_t;

typedef struct {
	int64_t requests_sent;
	int64_t served_changes;
	int64_t served_full;
	int64_t deferred_full; /* not served because of min_full_interval_ms */
	int64_t installed;
	int64_t rejected; /* malformed, unrequested, out of order, too large */
} wwh_config_relay_stats_t;

typedef struct wwh_config_relay wwh_config_relay_t;

void wwh_config_relay_options_defaults(wwh_config_relay_options_t *options);
wwh_config_relay_t *
wwh_config_relay_new(const wwh_config_relay_options_t *options);
void wwh_config_relay_delete(wwh_config_relay_t *relay);

/*
 * Records that version is in force here and that change made it from the
 * version before. Versions that aren't newer are ignored.
 */
void wwh_config_relay_add_change(wwh_config_relay_t *relay, int64_t version,
				 int64_t offset, GBytes *change);

/*
 * Records that version is in force here without a change that made it, for
 * example because it came with a snapshot. Drops the retained changes. Versions
 * that aren't newer are ignored.
 */
void wwh_config_relay_reset(wwh_config_relay_t *relay, int64_t version);

/*
 * Sends or repeats a request if one is due. newest and address are the results
 * of wwh_membership_newest_config.
 */
void wwh_config_relay_tick(wwh_config_relay_t *relay, int64_t newest,
			   const char *address, int64_t now_ms);

/*
 * Handles the payload of a WWH_FRAME_CONFIG. from_address is the address that
 * the sending peer listens at.
 */
wwh_status_t wwh_config_relay_receive(wwh_config_relay_t *relay,
				      const char *from_address,
				      const uint8_t *payload, size_t size,
				      int64_t now_ms);

const wwh_config_relay_stats_t *
wwh_config_relay_stats(const wwh_config_relay_t *relay);

#endif
