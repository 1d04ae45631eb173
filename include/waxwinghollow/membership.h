#ifndef WAXWINGHOLLOW_MEMBERSHIP_H
#define WAXWINGHOLLOW_MEMBERSHIP_H

/*
 * NAME
 *	membership - which entry processes are there, by gossip
 *
 * USE
 *	Answers these failures: the platform's list lags, so a new process
 *	isn't known and a dead one still is; a process is paused, or is cut
 *	off in one direction, and takes everybody else for dead; two regions
 *	lose each other for an hour; a process can't reach the log and stays
 *	behind with its configuration.
 *
 *	Only facts are passed on, never judgements: who exists (id,
 *	incarnation, address, place), who left by its own word, and who
 *	failed to answer whom. Each process judges from them by itself:
 *
 *	SUSPECT	it did not answer this process, neither directly nor through
 *		two helpers, or two others say the same of theirs.
 *	DEAD	suspect for suspicion_timeout_ms, and a majority of the other members
 *		of its own region, as known here, failed to reach it; or it
 *		did not answer this process and the platform's list says that
 *		it is gone or has lost its line.
 *	LEFT	it said so itself.
 *
 *	So one process's view never removes anybody: it is one observer. Nor
 *	do the views of other regions: when a region is cut off, both sides
 *	keep each other as suspect for as long as it takes, and are alive for
 *	each other with the first answer. A region that failed as a whole is
 *	dead when the list says so. A list that is wrong takes out nobody who
 *	answers. One that hears that it is suspected or
 *	dead says "I am here" with a higher refutation number, which voids
 *	what was observed before. A process that noticed that it was itself
 *	paused, or that hears from nobody, observes nothing.
 *
 *	Cost: each round a process probes one member, seven times of eight in
 *	its own region, and tells news to at most three (own zone, own region,
 *	and every second round any), in messages of at most message_bytes.
 *	This does not grow with the number of members. Without news it only
 *	probes. A process repeats a fact 2 + log2(n) times and a summary six
 *	times, then no more; one fact in turn goes with each message, for
 *	whoever missed it. The newest configuration version is in every
 *	message, and who learns of a newer one tells three others at once.
 *
 *	Thresholds: round_ms 1000 and ack_timeout_ms 400 put the detection at some
 *	eight seconds with an answer that may cross the planet; suspicion_timeout_ms
 *	4000 leaves a suspected process two rounds to hear of it and object.
 *	Measurements are in docs/measurements/log.md.
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

/* What a process tells of itself. */
typedef struct {
	int64_t config_version;
	int64_t config_offset; /* of that version's record */
	int64_t log_offset; /* replayed up to here */
	int32_t load_permille; /* of its own share */
} wwh_member_summary_t;

/* Strings live until the next call on the membership. */
typedef struct {
	const char *id;
	uint64_t incarnation;
	const char *address;
	const char *zone;
	const char *region;
	wwh_member_status_t status;
	int64_t status_ms; /* since when */
	wwh_member_summary_t summary;
} wwh_member_t;

typedef struct {
	const char *id;
	uint64_t incarnation; /* higher at each start; 0 isn't one */
	const char *address;
	const char *zone;
	const char *region;
	const char *const *seeds; /* addresses to try, ends with NULL */
	int32_t round_ms;
	int32_t ack_timeout_ms;
	int32_t suspicion_timeout_ms;
	int32_t retention_ms; /* dead and left ones are kept as long */
	int32_t message_bytes;
	wwh_leaving_t *leaving; /* words are taken and given; may be NULL */
} wwh_membership_options_t;

typedef void (*wwh_membership_send_t)(const char *address,
				      const uint8_t *payload, size_t size,
				      void *client_data);

typedef struct {
	int64_t sent;
	int64_t sent_bytes; /* payloads */
	int64_t received;
	int64_t refused; /* malformed messages */
	int64_t probes;
	int64_t probes_failed;
	int64_t refutations; /* this process said that it is there */
	int64_t deaths;
	int64_t pauses; /* of this process, noticed by it */
} wwh_membership_stats_t;

typedef struct wwh_membership wwh_membership_t;

void wwh_membership_options_defaults(wwh_membership_options_t *options);
wwh_membership_t *wwh_membership_new(const wwh_membership_options_t *options,
				     GRand *rand, wwh_membership_send_t send,
				     void *client_data);
void wwh_membership_delete(wwh_membership_t *membership);

/* The lagging list, line by line. Lines that aren't entry hosts are skipped. */
void wwh_membership_list_begin(wwh_membership_t *membership);
void wwh_membership_list_host(wwh_membership_t *membership,
			      const wwh_host_t *host, int64_t now_ms);
void wwh_membership_list_end(wwh_membership_t *membership, bool whole,
			     int64_t now_ms);

void wwh_membership_tick(wwh_membership_t *membership, int64_t now_ms);

/* BAD_INPUT: malformed, counted, without effect. */
wwh_status_t wwh_membership_receive(wwh_membership_t *membership,
				    const char *from_address,
				    const uint8_t *payload, size_t size,
				    int64_t now_ms);

void wwh_membership_set_summary(wwh_membership_t *membership,
				const wwh_member_summary_t *summary,
				int64_t now_ms);

/* Says that this process leaves, at once, to a few; repeat it by ticks. */
void wwh_membership_leave(wwh_membership_t *membership, int64_t now_ms);

/* Others by index, in the order of their ids. */
int32_t wwh_membership_count(const wwh_membership_t *membership);
void wwh_membership_at(const wwh_membership_t *membership, int32_t index,
		       wwh_member_t *member);
int32_t wwh_membership_count_status(const wwh_membership_t *membership,
				    wwh_member_status_t status);

/*
 * The newest configuration version that anybody has, and the address of one
 * that has it ("" when it is this process itself).
 */
int64_t wwh_membership_newest_config(const wwh_membership_t *membership,
				     const char **address);

/* Nothing was heard from anybody for three rounds, though others are known. */
bool wwh_membership_is_isolated(const wwh_membership_t *membership,
				int64_t now_ms);

const wwh_membership_stats_t *
wwh_membership_stats(const wwh_membership_t *membership);

#endif
