#include <string.h>

#include "private/membership_private.h"

#define OBSERVATION_AGAIN_MS 10000
#define WORDS_MAX 16
#define ASKED_MAX 24
#define ASK_AFTER_MS 1000
/* Bytes of the parts in MessagePack besides their strings. */
#define HEADER_BYTES 40
#define FACT_BYTES 22
#define BRIEF_BYTES 32
#define OBSERVATION_BYTES 18
#define WORD_BYTES 6

/* Fills a message up to the bytes that it may have. */
typedef struct {
	wwh_membership_t *membership;
	wwh_gossip_t *message;
	int64_t room;
} filler_t;

static void send_message(wwh_membership_t *membership, const char *address,
			 const wwh_gossip_t *message);
static void add_fact(filler_t *filler, const wwh_row_t *row);
static wwh_brief_t brief_of(const wwh_row_t *row);
static void add_brief(filler_t *filler, const wwh_row_t *row);
static void add_observation(filler_t *filler, const wwh_row_t *row,
			    const char *observer);
static void add_observations(filler_t *filler, const char *address);
static void add_word(const char *minion, int64_t age_ms, void *client_data);
static void add_news(filler_t *filler, wwh_row_t *row);
static void add_one_in_turn(filler_t *filler);
static void add_asked(filler_t *filler);
static void add_everything(filler_t *filler);
static void take_brief(wwh_membership_t *membership, const wwh_brief_t *brief);
static void take_observation(wwh_membership_t *membership,
			     const wwh_observation_t *observation,
			     int64_t now_ms);
static void refute(wwh_membership_t *membership,
		   const wwh_observation_t *observation);
static void count_word(const char *minion, int64_t age_ms, void *client_data);

void wwh_members_tell(wwh_membership_t *membership, const char *address,
		      wwh_gossip_t *message, bool everything, int64_t now_ms)
{
	filler_t filler = { membership, message,
			    membership->options.message_bytes - HEADER_BYTES };
	wwh_row_t *self = membership->self;

	message->from = self->id;
	message->known = wwh_members_known(membership);
	message->newest_version = membership->newest_version;
	message->newest_address = membership->newest_address[0] == '\0'
					  ? self->address
					  : membership->newest_address;
	add_fact(&filler, self);
	if (self->spread_brief > 0 || everything) {
		self->spread_brief = MAX(0, self->spread_brief - 1);
		add_brief(&filler, self);
	}
	if (self->spread_fact > 0)
		self->spread_fact--;
	add_observations(&filler, address);
	if (membership->options.leaving != NULL)
		wwh_leaving_foreach_answer(membership->options.leaving, now_ms,
					   add_word, &filler);
	if (everything) {
		add_everything(&filler);
	} else {
		for (guint i = 0; i < membership->rows->len; i++)
			add_news(&filler, membership->rows->pdata[i]);
		add_one_in_turn(&filler);
		if (message->type == WWH_GOSSIP_PING &&
		    now_ms - membership->newest_ms > ASK_AFTER_MS)
			add_asked(&filler);
	}
	send_message(membership, address, message);
}

void wwh_members_take_parts(wwh_membership_t *membership,
			    const wwh_gossip_t *message, int64_t now_ms)
{
	for (guint i = 0; i < message->facts->len; i++)
		wwh_members_take_fact(
			membership,
			&g_array_index(message->facts, wwh_fact_t, i), now_ms);
	for (guint i = 0; i < message->briefs->len; i++)
		take_brief(membership,
			   &g_array_index(message->briefs, wwh_brief_t, i));
	for (guint i = 0; i < message->observations->len; i++)
		take_observation(membership,
				 &g_array_index(message->observations,
						wwh_observation_t, i),
				 now_ms);
	for (guint i = 0;
	     membership->options.leaving != NULL && i < message->words->len;
	     i++) {
		const wwh_word_t *word =
			&g_array_index(message->words, wwh_word_t, i);

		wwh_leaving_record_report(membership->options.leaving,
					  word->minion, message->from,
					  word->age_ms, now_ms);
	}
	wwh_members_learn_newest(membership, message->newest_version,
				 message->newest_address, now_ms);
	membership->others_know = MAX(membership->others_know, message->known);
}

void wwh_members_answer_asked(const wwh_membership_t *membership,
			      wwh_gossip_t *reply, const wwh_gossip_t *request)
{
	for (guint i = 0; i < MIN(request->asked->len, ASKED_MAX); i++) {
		const wwh_row_t *row = wwh_members_find(
			membership,
			g_array_index(request->asked, wwh_asked_t, i).id);
		wwh_brief_t brief;

		if (row == NULL)
			continue;
		brief = brief_of(row);
		g_array_append_val(reply->briefs, brief);
	}
}

bool wwh_members_have_news(const wwh_membership_t *membership, int64_t now_ms)
{
	const wwh_row_t *self = membership->self;
	int32_t words = 0;

	if (self->spread_fact > 0 || self->spread_brief > 0)
		return true;
	for (guint i = 0; i < membership->rows->len; i++) {
		const wwh_row_t *row = membership->rows->pdata[i];

		if (row->spread_fact > 0 || row->spread_brief > 0 ||
		    row->spread_observed > 0)
			return true;
		for (guint k = 0; k < row->observers->len; k++)
			if (g_array_index(row->observers, wwh_observer_t, k)
				    .spread > 0)
				return true;
	}
	if (membership->options.leaving != NULL)
		wwh_leaving_foreach_answer(membership->options.leaving, now_ms,
					   count_word, &words);
	return words > 0;
}

static void send_message(wwh_membership_t *membership, const char *address,
			 const wwh_gossip_t *message)
{
	GByteArray *bytes = wwh_gossip_encode(message);

	membership->stats.sent++;
	membership->stats.sent_bytes += bytes->len;
	membership->send(address, bytes->data, bytes->len,
			 membership->client_data);
	g_byte_array_unref(bytes);
}

static void add_fact(filler_t *filler, const wwh_row_t *row)
{
	wwh_fact_t fact = {
		.id = row->id,
		.incarnation = row->incarnation,
		.refutation = row->refutation,
		.address = row->address,
		.zone = row->zone,
		.region = row->region,
		.left = row->left,
	};

	g_array_append_val(filler->message->facts, fact);
	filler->room -=
		(int64_t)(FACT_BYTES + strlen(row->id) + strlen(row->address) +
			  strlen(row->zone) + strlen(row->region));
}

static wwh_brief_t brief_of(const wwh_row_t *row)
{
	return (wwh_brief_t){
		.id = row->id,
		.tag = row->incarnation & WWH_BRIEF_TAG_MASK,
		.sequence = row->sequence,
		.summary = row->summary,
	};
}

static void add_brief(filler_t *filler, const wwh_row_t *row)
{
	wwh_brief_t brief = brief_of(row);

	g_array_append_val(filler->message->briefs, brief);
	filler->room -= (int64_t)(BRIEF_BYTES + strlen(row->id));
}

static void add_observation(filler_t *filler, const wwh_row_t *row,
			    const char *observer)
{
	wwh_observation_t observation = {
		.target = row->id,
		.incarnation = row->incarnation,
		.refutation = row->refutation,
		.observer = observer,
	};

	g_array_append_val(filler->message->observations, observation);
	filler->room -= (int64_t)(OBSERVATION_BYTES + strlen(row->id) +
				  strlen(observer));
}

/*
 * The one that is spoken to is told of its own case in any event: only its
 * objection can end it early. Observations from outside of the target's
 * region decide nothing and aren't spread.
 */
static void add_observations(filler_t *filler, const char *address)
{
	const char *self_id = filler->membership->self->id;

	for (guint i = 0; i < filler->membership->rows->len; i++) {
		wwh_row_t *row = filler->membership->rows->pdata[i];
		bool spoken_to = strcmp(row->address, address) == 0;

		if (row->observed_ms != 0 && filler->room > 0 &&
		    (row->spread_observed > 0 || spoken_to)) {
			row->spread_observed = MAX(0, row->spread_observed - 1);
			add_observation(filler, row, self_id);
		}
		for (guint k = 0; k < row->observers->len; k++) {
			wwh_observer_t *observer = &g_array_index(
				row->observers, wwh_observer_t, k);

			if (filler->room <= 0 ||
			    (observer->spread == 0 && !spoken_to))
				continue;
			observer->spread = MAX(0, observer->spread - 1);
			add_observation(filler, row, observer->id);
		}
	}
}

static void add_word(const char *minion, int64_t age_ms, void *client_data)
{
	filler_t *filler = client_data;
	wwh_word_t word = { minion, age_ms };

	if (filler->message->words->len >= WORDS_MAX || filler->room <= 0)
		return;
	g_array_append_val(filler->message->words, word);
	filler->room -= (int64_t)(WORD_BYTES + strlen(minion));
}

static void add_news(filler_t *filler, wwh_row_t *row)
{
	if (filler->room > 0 && row->spread_fact > 0) {
		row->spread_fact--;
		add_fact(filler, row);
	}
	if (filler->room > 0 && row->spread_brief > 0) {
		row->spread_brief--;
		add_brief(filler, row);
	}
}

/* For whoever missed the news of it. */
static void add_one_in_turn(filler_t *filler)
{
	wwh_membership_t *membership = filler->membership;
	const wwh_row_t *row;

	if (membership->rows->len == 0 || filler->room <= 0)
		return;
	membership->next_fact =
		(membership->next_fact + 1) % membership->rows->len;
	row = membership->rows->pdata[membership->next_fact];
	if (wwh_members_gone(row))
		return;
	add_fact(filler, row);
	add_brief(filler, row);
}

/*
 * Random spreading leaves a few without a few summaries. Those that seem to
 * be behind the newest version are asked for; mostly only the news is missing.
 */
static void add_asked(filler_t *filler)
{
	wwh_membership_t *membership = filler->membership;

	for (guint i = 0; i < membership->rows->len; i++) {
		const wwh_row_t *row;
		wwh_asked_t asked;

		if (filler->message->asked->len == ASKED_MAX)
			return;
		membership->next_asked =
			(membership->next_asked + 1) % membership->rows->len;
		row = membership->rows->pdata[membership->next_asked];
		if (row->status != WWH_MEMBER_ALIVE ||
		    row->summary.config_version >= membership->newest_version)
			continue;
		asked.id = row->id;
		g_array_append_val(filler->message->asked, asked);
	}
}

static void add_everything(filler_t *filler)
{
	GPtrArray *rows = filler->membership->rows;

	for (guint i = 0; i < rows->len; i++) {
		const wwh_row_t *row = rows->pdata[i];

		if (wwh_members_gone(row) ||
		    filler->message->facts->len >= WWH_MESSAGE_FACTS_MAX)
			continue;
		add_fact(filler, row);
		add_brief(filler, row);
	}
}

static void take_brief(wwh_membership_t *membership, const wwh_brief_t *brief)
{
	wwh_row_t *row = wwh_members_find(membership, brief->id);

	if (row == NULL ||
	    brief->tag != (row->incarnation & WWH_BRIEF_TAG_MASK) ||
	    brief->sequence <= row->sequence)
		return;
	row->sequence = brief->sequence;
	row->summary = brief->summary;
	row->spread_brief = WWH_BRIEF_SPREAD;
}

static void take_observation(wwh_membership_t *membership,
			     const wwh_observation_t *observation,
			     int64_t now_ms)
{
	wwh_row_t *row;
	wwh_observer_t observer = { .seen_ms = now_ms };

	if (strcmp(observation->target, membership->self->id) == 0)
		refute(membership, observation);
	row = wwh_members_find(membership, observation->target);
	if (row == NULL || observation->incarnation != row->incarnation ||
	    observation->refutation != row->refutation || row->left ||
	    strcmp(observation->observer, membership->self->id) == 0)
		return;
	for (guint i = 0; i < row->observers->len; i++) {
		wwh_observer_t *known =
			&g_array_index(row->observers, wwh_observer_t, i);

		if (strcmp(known->id, observation->observer) != 0)
			continue;
		/* Sooner, it is the same observation told by another. */
		if (now_ms - known->seen_ms >= OBSERVATION_AGAIN_MS) {
			known->seen_ms = now_ms;
			known->spread = wwh_members_spread(membership);
		}
		return;
	}
	if (row->observers->len >= WWH_OBSERVERS_MAX)
		return;
	observer.id = g_strdup(observation->observer);
	observer.spread = wwh_members_spread(membership);
	g_array_append_val(row->observers, observer);
	row->confirm = row->observed_ms == 0 &&
		       wwh_members_same_region(membership, row);
	wwh_members_judge(membership, row, now_ms);
}

static void refute(wwh_membership_t *membership,
		   const wwh_observation_t *observation)
{
	wwh_row_t *self = membership->self;

	if (observation->incarnation != self->incarnation ||
	    observation->refutation < self->refutation || self->left)
		return;
	self->refutation = observation->refutation + 1;
	self->spread_fact = wwh_members_spread(membership);
	membership->stats.refutations++;
}

static void count_word(const char *minion, int64_t age_ms, void *client_data)
{
	int32_t *words = client_data;

	(void)minion;
	(void)age_ms;
	(*words)++;
}
