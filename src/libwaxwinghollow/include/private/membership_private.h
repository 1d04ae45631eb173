#ifndef WAXWINGHOLLOW_PRIVATE_MEMBERSHIP_PRIVATE_H
#define WAXWINGHOLLOW_PRIVATE_MEMBERSHIP_PRIVATE_H

/*
 * Shared by the files of membership: membership.c (public functions),
 * membership_table.c (facts and status), membership_probe.c (rounds and
 * probes), membership_message.c (filling and applying messages) and
 * membership_codec.c (encoding).
 */

#include "waxwinghollow/membership.h"

#define WWH_OBSERVERS_MAX 32
#define WWH_PENDING_PROBES_MAX 64
#define WWH_MEMBER_TEXT_MAX 128
#define WWH_MESSAGE_ITEMS_MAX 512
#define WWH_INCARNATION_TAG_MASK 0xffff
#define WWH_SUMMARY_TRANSMITS 6

typedef struct {
	char *id;
	int64_t reported_ms;
	int32_t transmits_left;
} wwh_observer_t;

typedef struct {
	char *id;
	uint64_t incarnation;
	uint32_t refutation;
	char *address;
	char *zone;
	char *region;
	bool left;
	bool listed; /* on the platform's list as live or leaving */
	int64_t list_number; /* number of the last list that has it */
	bool listed_gone; /* named gone, or absent from a complete list */
	wwh_member_status_t status;
	int64_t status_ms;
	wwh_member_summary_t summary;
	uint32_t sequence; /* of the summary */
	int64_t last_contact_ms; /* last message or relayed answer; 0: never */
	int64_t observed_ms; /* last own failed probe; 0: none */
	int32_t observation_transmits_left;
	int64_t probed_ms;
	bool probe_soon; /* reported as unreachable, or listed as gone */
	GArray *observers; /* wwh_observer_t, others that failed to reach it */
	int32_t fact_transmits_left;
	int32_t summary_transmits_left;
} wwh_member_row_t;

typedef struct {
	uint32_t number;
	char *target;
	int64_t sent_ms;
	bool indirect_requested; /* ping requests were sent to helpers */
	char *relay_to; /* address of the requester; NULL: own probe */
	uint32_t relay_number;
} wwh_probe_t;

typedef enum {
	WWH_GOSSIP_PING = 0,
	WWH_GOSSIP_ACK,
	WWH_GOSSIP_PING_REQUEST,
	WWH_GOSSIP_UPDATE,
	WWH_GOSSIP_TYPE_COUNT
} wwh_gossip_type_t;

typedef struct {
	const char *id;
	uint64_t incarnation;
	uint32_t refutation;
	const char *address;
	const char *zone;
	const char *region;
	bool left;
} wwh_fact_t;

typedef struct {
	const char *id;
	uint32_t incarnation_tag; /* low bits of the incarnation */
	uint32_t sequence;
	wwh_member_summary_t summary;
} wwh_summary_update_t;

typedef struct {
	const char *target;
	uint64_t incarnation;
	uint32_t refutation;
	const char *observer;
} wwh_observation_t;

typedef struct {
	const char *minion;
	int64_t age_ms;
} wwh_leaving_report_t;

typedef struct {
	const char *id;
} wwh_summary_request_t;

/* A message to be sent or a decoded one. It doesn't own its strings. */
typedef struct {
	wwh_gossip_type_t type;
	uint32_t number; /* of the probe */
	const char *from;
	const char *target; /* of a ping request or an ack; else "" */
	const char *target_address; /* of a ping request; else "" */
	int64_t newest_version;
	const char *newest_address;
	bool wants_full_state; /* the sender lacks some members */
	uint32_t known_count; /* alive and suspect members of the sender */
	GArray *facts; /* wwh_fact_t */
	GArray *summaries; /* wwh_summary_update_t */
	GArray *observations; /* wwh_observation_t */
	GArray *leaving_reports; /* wwh_leaving_report_t, of answers to the sender */
	GArray *summary_requests; /* wwh_summary_request_t */
} wwh_gossip_t;

struct wwh_membership {
	wwh_membership_options_t options;
	GRand *rand;
	wwh_membership_send_t send;
	void *client_data;
	wwh_membership_stats_t stats;
	wwh_member_row_t *self;
	GPtrArray *rows; /* wwh_member_row_t * of the others, sorted by id */
	GPtrArray *seeds; /* char *, first of the settings, then of the list */
	guint configured_seed_count;
	int64_t list_number;
	int64_t newest_version;
	char *newest_address; /* "": this process */
	bool announce_newest; /* at the next tick */
	int64_t newest_learned_ms;
	uint32_t max_peer_known_count; /* of received messages */
	int64_t full_state_requested_ms;
	GArray *pending_probes; /* wwh_probe_t */
	uint32_t last_number;
	int64_t round;
	int64_t next_round_ms;
	int64_t last_tick_ms;
	int64_t last_contact_ms; /* with any member */
	guint next_member; /* rotation of the facts that each message repeats */
	guint next_summary_request;
};

/* Table */
wwh_member_row_t *wwh_members_row_new(const char *id, uint64_t incarnation);
void wwh_members_row_free(gpointer data);
wwh_member_row_t *wwh_members_find(const wwh_membership_t *membership,
				   const char *id);
void wwh_members_apply_fact(wwh_membership_t *membership,
			    const wwh_fact_t *fact, int64_t now_ms);
void wwh_members_update_status(wwh_membership_t *membership,
			       wwh_member_row_t *row, int64_t now_ms);
void wwh_members_clear_observations(wwh_member_row_t *row, int64_t now_ms);
void wwh_members_record_contact(wwh_membership_t *membership, const char *id,
				int64_t now_ms);
void wwh_members_record_newest_config(wwh_membership_t *membership,
				      int64_t version, const char *address,
				      int64_t now_ms);
uint32_t wwh_members_count_known(const wwh_membership_t *membership);
int32_t wwh_members_transmit_limit(const wwh_membership_t *membership);
bool wwh_members_is_isolated(const wwh_membership_t *membership,
			     int64_t now_ms);
bool wwh_members_is_dead_or_left(const wwh_member_row_t *row);
bool wwh_members_is_same_region(const wwh_membership_t *membership,
				const wwh_member_row_t *row);

/* Messages */
void wwh_members_send(wwh_membership_t *membership, const char *address,
		      wwh_gossip_t *message, bool full_state, int64_t now_ms);
void wwh_members_apply_message(wwh_membership_t *membership,
			       const wwh_gossip_t *message, int64_t now_ms);
void wwh_members_answer_summary_requests(const wwh_membership_t *membership,
					 wwh_gossip_t *reply,
					 const wwh_gossip_t *request);
bool wwh_members_has_updates(const wwh_membership_t *membership,
			     int64_t now_ms);

/* Probes */
void wwh_members_run_round(wwh_membership_t *membership, int64_t now_ms);
void wwh_members_check_probes(wwh_membership_t *membership, int64_t now_ms);
void wwh_members_cancel_probes(wwh_membership_t *membership);
void wwh_members_send_updates(wwh_membership_t *membership, int32_t count,
			      int64_t now_ms);

/* Encoding */
void wwh_gossip_init(wwh_gossip_t *message, wwh_gossip_type_t type);
void wwh_gossip_clear(wwh_gossip_t *message);
GByteArray *wwh_gossip_encode(const wwh_gossip_t *message);
/* Called with the decoded message, which is valid during the call only. */
typedef void (*wwh_gossip_handler_t)(const wwh_gossip_t *message,
				     void *client_data);
wwh_status_t wwh_gossip_decode(const uint8_t *data, size_t size,
			       wwh_gossip_handler_t handle, void *client_data);

#endif
