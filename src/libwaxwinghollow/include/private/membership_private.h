#ifndef WAXWINGHOLLOW_PRIVATE_MEMBERSHIP_PRIVATE_H
#define WAXWINGHOLLOW_PRIVATE_MEMBERSHIP_PRIVATE_H

/*
 * What the files of membership share: membership.c (calls from outside),
 * membership_table.c (facts and judgement), membership_probe.c (rounds and probes), membership_message.c (what goes
 * into a message and what is taken from one), membership_codec.c (bytes).
 */

#include "waxwinghollow/membership.h"

#define WWH_OBSERVERS_MAX 32
#define WWH_PENDING_MAX 64
#define WWH_MEMBER_TEXT_MAX 128
#define WWH_MESSAGE_FACTS_MAX 512
#define WWH_BRIEF_TAG_MASK 0xffff
#define WWH_BRIEF_SPREAD 6 /* times that a summary is told */

typedef struct {
	char *id;
	int64_t seen_ms;
	int32_t spread; /* times to be told yet */
} wwh_observer_t;

typedef struct {
	char *id;
	uint64_t incarnation;
	uint32_t refutation;
	char *address;
	char *zone;
	char *region;
	bool left;
	bool listed; /* on the list as live or leaving */
	int64_t list_number; /* of the last list that had it */
	bool listed_gone;
	wwh_member_status_t status;
	int64_t status_ms;
	wwh_member_summary_t summary;
	uint32_t sequence; /* of the summary */
	int64_t heard_ms; /* last message from it or answer of it; 0: never */
	int64_t observed_ms; /* this process's own observation; 0: none */
	int32_t spread_observed;
	int64_t probed_ms;
	bool confirm; /* somebody could not reach it: probe it soon */
	GArray *observers; /* wwh_observer_t, others' observations */
	int32_t spread_fact;
	int32_t spread_brief;
} wwh_row_t;

typedef struct {
	uint32_t number;
	char *target;
	int64_t sent_ms;
	bool indirect; /* helpers were asked */
	char *relay_to; /* address that asked for it; NULL: own probe */
	uint32_t relay_number;
} wwh_probe_t;

typedef enum {
	WWH_GOSSIP_PING = 0,
	WWH_GOSSIP_ACK,
	WWH_GOSSIP_PING_REQUEST,
	WWH_GOSSIP_NEWS,
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
	uint32_t tag; /* low bits of the incarnation */
	uint32_t sequence;
	wwh_member_summary_t summary;
} wwh_brief_t;

typedef struct {
	const char *target;
	uint64_t incarnation;
	uint32_t refutation;
	const char *observer;
} wwh_observation_t;

typedef struct {
	const char *minion;
	int64_t age_ms;
} wwh_word_t;

typedef struct {
	const char *id;
} wwh_asked_t;

/* A message as typed parts. Strings belong to whoever made it. */
typedef struct {
	wwh_gossip_type_t type;
	uint32_t number; /* of the probe */
	const char *from;
	const char *target; /* of a ping request and of an ack; else "" */
	const char *target_address; /* of a ping request; else "" */
	int64_t newest_version;
	const char *newest_address;
	bool wants_all; /* the sender missed some members */
	uint32_t known; /* members that it holds for there */
	GArray *facts; /* wwh_fact_t */
	GArray *briefs; /* wwh_brief_t */
	GArray *observations; /* wwh_observation_t */
	GArray *words; /* wwh_word_t, the sender's own */
	GArray *asked; /* wwh_asked_t, summaries that the sender missed */
} wwh_gossip_t;

struct wwh_membership {
	wwh_membership_options_t options;
	GRand *rand;
	wwh_membership_send_t send;
	void *client_data;
	wwh_membership_stats_t stats;
	wwh_row_t *self;
	GPtrArray *rows; /* wwh_row_t * of the others, by id */
	GPtrArray *seeds; /* char *, of settings and then of the list */
	guint own_seeds; /* those of the settings */
	int64_t list_number;
	int64_t newest_version;
	char *newest_address; /* "": this process */
	bool tell_newest; /* at the next tick */
	int64_t newest_ms; /* learned then */
	uint32_t others_know; /* most members that another knows */
	int64_t asked_all_ms;
	GArray *pending; /* wwh_probe_t */
	uint32_t last_number;
	int64_t round;
	int64_t next_round_ms;
	int64_t last_tick_ms;
	int64_t heard_ms;
	guint next_fact; /* rotation of facts without news */
	guint next_asked;
};

/* Table */
wwh_row_t *wwh_members_row_new(const char *id, uint64_t incarnation);
void wwh_members_row_free(gpointer data);
wwh_row_t *wwh_members_find(const wwh_membership_t *membership, const char *id);
void wwh_members_take_fact(wwh_membership_t *membership, const wwh_fact_t *fact,
			   int64_t now_ms);
void wwh_members_judge(wwh_membership_t *membership, wwh_row_t *row,
		       int64_t now_ms);
void wwh_members_clear_observations(wwh_row_t *row, int64_t now_ms);
void wwh_members_heard(wwh_membership_t *membership, const char *id,
		       int64_t now_ms);
void wwh_members_learn_newest(wwh_membership_t *membership, int64_t version,
			      const char *address, int64_t now_ms);
uint32_t wwh_members_known(const wwh_membership_t *membership);
int32_t wwh_members_spread(const wwh_membership_t *membership);
bool wwh_members_isolated(const wwh_membership_t *membership, int64_t now_ms);
bool wwh_members_gone(const wwh_row_t *row); /* left or dead */
bool wwh_members_same_region(const wwh_membership_t *membership,
			     const wwh_row_t *row);

/* Messages */
void wwh_members_tell(wwh_membership_t *membership, const char *address,
		      wwh_gossip_t *message, bool everything, int64_t now_ms);
void wwh_members_take_parts(wwh_membership_t *membership,
			    const wwh_gossip_t *message, int64_t now_ms);
void wwh_members_answer_asked(const wwh_membership_t *membership,
			      wwh_gossip_t *reply, const wwh_gossip_t *request);
bool wwh_members_have_news(const wwh_membership_t *membership, int64_t now_ms);

/* Probes */
void wwh_members_round(wwh_membership_t *membership, int64_t now_ms);
void wwh_members_check_probes(wwh_membership_t *membership, int64_t now_ms);
void wwh_members_forget_probes(wwh_membership_t *membership);
void wwh_members_tell_some(wwh_membership_t *membership, int32_t count,
			   int64_t now_ms);

/* Bytes */
void wwh_gossip_init(wwh_gossip_t *message, wwh_gossip_type_t type);
void wwh_gossip_clear(wwh_gossip_t *message);
GByteArray *wwh_gossip_encode(const wwh_gossip_t *message);
/* Calls take with the decoded message, whose strings die after it. */
typedef void (*wwh_gossip_take_t)(const wwh_gossip_t *message,
				  void *client_data);
wwh_status_t wwh_gossip_decode(const uint8_t *data, size_t size,
			       wwh_gossip_take_t take, void *client_data);

#endif
