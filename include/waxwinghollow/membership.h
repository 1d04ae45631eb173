#ifndef WAXWINGHOLLOW_MEMBERSHIP_H
#define WAXWINGHOLLOW_MEMBERSHIP_H

/*
 * NAME
 *	membership - detects by gossip which entry processes are running
 *
 * USE
 *	Copes with these failures: the platform's list lags, so a new process
 *	isn't known yet and a dead one is still listed; a process is paused, or
 *	is cut off in one direction, and would declare all others dead; two
 *	regions can't reach each other for an hour; a process can't reach the
 *	log and keeps an old configuration.
 *
 *	Processes exchange only facts, never conclusions: who exists (id,
 *	incarnation, address, zone and region), who announced its own leave,
 *	and who failed to reach whom. Each process derives the status of the
 *	others from them by itself:
 *
 *	SUSPECT	the member did not answer this process, neither directly nor
 *		through two helpers, or two other processes report that it did
 *		not answer them.
 *	DEAD	the member was suspect for suspicion_timeout_ms, and a majority
 *		of the other members of its own region, as known here, failed
 *		to reach it; or it did not answer this process, and the
 *		platform's list names it as gone or no longer has it.
 *	LEFT	the member announced its leave.
 *
 *	So the observation of one process alone never makes a member dead. Nor
 *	do observations from other regions: when a region is cut off, each side
 *	keeps the other as suspect for as long as the cut lasts, and as alive
 *	from the first answer. When a region failed as a whole, its members are
 *	dead once the list says so. A wrong list never makes a member dead that
 *	answers. A member that receives that it is suspect or dead raises its
 *	refutation number, which invalidates all earlier observations. A
 *	process that was paused itself, or that receives nothing from anybody,
 *	records no observations.
 *
 *	Cost: each round a process probes one member, seven times of eight in
 *	its own region, and sends updates to at most three (one in its zone,
 *	one in its region and, every second round, one in another region), in
 *	messages of at most message_bytes. This does not grow with the number
 *	of members. Without updates it only probes. A process sends a fact
 *	2 + log2(n) times and a summary six times. Each message also carries
 *	the fact of one more member in rotation, for processes that missed it.
 *	The newest configuration version is in every message, and a process
 *	that learns of a newer one sends it to three others at once.
 *
 *	Thresholds: round_ms 1000 and ack_timeout_ms 400 detect a failure after
 *	some eight seconds with answers that may cross the planet.
 *	suspicion_timeout_ms 4000 leaves a suspected process two rounds to
 *	receive this and refute it. Measurements are in
 *	docs/measurements/log.md.
 *
 * ORDER OF CALLS
 *	wwh_membership_new; wwh_membership_tick every tick_ms or so, and
 *	wwh_membership_receive for each gossip frame, with one lock held;
 *	wwh_membership_leave when the process stops; wwh_membership_delete.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/leaving.h"
#include "waxwinghollow/platform.h"
#include "waxwinghollow/status.h"

#define WWH_MEMBERS_MAX 1024

typedef enum {
	WWH_MEMBER_ALIVE = 0,
	WWH_MEMBER_SUSPECT,
	WWH_MEMBER_LEFT,
	WWH_MEMBER_DEAD,
	WWH_MEMBER_STATUS_COUNT
} wwh_member_status_t;

/* Names of wwh_member_status_t, in the same order. */
extern const char *const wwh_member_status_names[WWH_MEMBER_STATUS_COUNT];

/* State that a process reports of itself. */
typedef struct {
	int64_t config_version;
	int64_t config_offset; /* of that version's log record */
	int64_t log_offset; /* last log record that was applied */
	int32_t load_permille; /* load, relative to the process's share */
} wwh_member_summary_t;

/* The strings are valid until the next call on the membership. */
typedef struct {
	const char *id;
	uint64_t incarnation;
	const char *address;
	const char *zone;
	const char *region;
	wwh_member_status_t status;
	int64_t status_ms; /* time of the last change of status */
	wwh_member_summary_t summary;
} wwh_member_t;

typedef struct {
	const char *id;
	uint64_t incarnation; /* increases at each start; never 0 */
	const char *address;
	const char *zone;
	const char *region;
	const char *const
		*seeds; /* addresses to contact first; NULL-terminated */
	int32_t round_ms;
	int32_t ack_timeout_ms;
	int32_t suspicion_timeout_ms;
	int32_t retention_ms; /* of dead and left members that aren't listed */
	int32_t message_bytes;
	wwh_leaving_t *leaving; /* source and target of reports; may be NULL */
} wwh_membership_options_t;

typedef void (*wwh_membership_send_t)(const char *address,
				      const uint8_t *payload, size_t size,
				      void *client_data);

typedef struct {
	int64_t sent;
	int64_t sent_bytes; /* of payloads */
	int64_t received;
	int64_t rejected; /* malformed messages */
	int64_t probes;
	int64_t probes_failed;
	int64_t refutations; /* by this process, of reports on itself */
	int64_t declared_dead;
	int64_t pauses; /* of this process, detected by itself */
} wwh_membership_stats_t;

typedef struct wwh_membership wwh_membership_t;

void wwh_membership_options_defaults(wwh_membership_options_t *options);
wwh_membership_t *wwh_membership_new(const wwh_membership_options_t *options,
				     GRand *rand, wwh_membership_send_t send,
				     void *client_data);
void wwh_membership_delete(wwh_membership_t *membership);

/*
 * Passes the platform's list, one host per call. Hosts that aren't entry hosts
 * are skipped. is_complete: no row of the list was unreadable, so an absent
 * member is gone.
 */
void wwh_membership_list_begin(wwh_membership_t *membership);
void wwh_membership_list_host(wwh_membership_t *membership,
			      const wwh_host_t *host, int64_t now_ms);
void wwh_membership_list_end(wwh_membership_t *membership, bool is_complete,
			     int64_t now_ms);

void wwh_membership_tick(wwh_membership_t *membership, int64_t now_ms);

/* Returns BAD_INPUT for a malformed message, which is counted and ignored. */
wwh_status_t wwh_membership_receive(wwh_membership_t *membership,
				    const char *from_address,
				    const uint8_t *payload, size_t size,
				    int64_t now_ms);

void wwh_membership_set_summary(wwh_membership_t *membership,
				const wwh_member_summary_t *summary,
				int64_t now_ms);

/*
 * Announces to up to three members that this process leaves. Further ticks
 * repeat the announcement.
 */
void wwh_membership_leave(wwh_membership_t *membership, int64_t now_ms);

/* The other members by index, sorted by id. */
int32_t wwh_membership_count(const wwh_membership_t *membership);
void wwh_membership_at(const wwh_membership_t *membership, int32_t index,
		       wwh_member_t *member);
int32_t wwh_membership_count_status(const wwh_membership_t *membership,
				    wwh_member_status_t status);

/*
 * Returns the newest known configuration version and the address of a process
 * that has it ("" for this process itself).
 */
int64_t wwh_membership_newest_config(const wwh_membership_t *membership,
				     const char **address);

/*
 * Returns true when other members are known, but none of them was heard from
 * for three rounds.
 */
bool wwh_membership_is_isolated(const wwh_membership_t *membership,
				int64_t now_ms);

const wwh_membership_stats_t *
wwh_membership_stats(const wwh_membership_t *membership);

#endif
