#include <string.h>

#include "private/membership_private.h"

#define OBSERVATION_RENEWAL_MS 10000
#define LEAVING_REPORTS_MAX 16
#define SUMMARY_REQUESTS_MAX 24
#define SUMMARY_REQUEST_DELAY_MS 1000
/* Encoded sizes of the parts without their strings. */
#define HEADER_BYTES 40
#define FACT_BYTES 22
#define SUMMARY_BYTES 32
#define OBSERVATION_BYTES 18
#define LEAVING_REPORT_BYTES 6

/* Fills a message up to message_bytes. */
typedef struct {
	wwh_membership_t *membership;
	wwh_gossip_t *message;
	int64_t bytes_left;
} message_builder_t;

static void send_message(wwh_membership_t *membership, const char *address,
			 const wwh_gossip_t *message);
static void add_fact(message_builder_t *builder, const wwh_member_row_t *row);
static wwh_summary_update_t make_summary_update(const wwh_member_row_t *row);
static void add_summary(message_builder_t *builder,
			const wwh_member_row_t *row);
static void add_observation(message_builder_t *builder,
			    const wwh_member_row_t *row, const char *observer);
static void add_observations(message_builder_t *builder, const char *address);
static void add_leaving_report(const char *minion, int64_t age_ms,
			       void *client_data);
static void add_updates(message_builder_t *builder, wwh_member_row_t *row);
static void add_next_member(message_builder_t *builder);
static void add_summary_requests(message_builder_t *builder);
static void add_full_state(message_builder_t *builder);
static void apply_summary_update(wwh_membership_t *membership,
				 const wwh_summary_update_t *update);
static void apply_observation(wwh_membership_t *membership,
			      const wwh_observation_t *observation,
			      int64_t now_ms);
static void refute(wwh_membership_t *membership,
		   const wwh_observation_t *observation);
static void count_leaving_report(const char *minion, int64_t age_ms,
				 void *client_data);

void wwh_members_send(wwh_membership_t *membership, const char *address,
		      wwh_gossip_t *message, bool full_state, int64_t now_ms)
{
	message_builder_t builder = { membership, message,
				      membership->options.message_bytes -
					      HEADER_BYTES };
	wwh_member_row_t *self = membership->self;

	message->from = self->id;
	message->known_count = wwh_members_count_known(membership);
	message->newest_version = membership->newest_version;
	message->newest_address = membership->newest_address[0] == '\0'
					  ? self->address
					  : membership->newest_address;
	add_fact(&builder, self);
	if (self->summary_transmits_left > 0 || full_state) {
		self->summary_transmits_left =
			MAX(0, self->summary_transmits_left - 1);
		add_summary(&builder, self);
	}
	if (self->fact_transmits_left > 0)
		self->fact_transmits_left--;
	add_observations(&builder, address);
	if (membership->options.leaving != NULL)
		wwh_leaving_foreach_answer(membership->options.leaving, now_ms,
					   add_leaving_report, &builder);
	if (full_state) {
		add_full_state(&builder);
	} else {
		for (guint i = 0; i < membership->rows->len; i++)
			add_updates(&builder, membership->rows->pdata[i]);
		add_next_member(&builder);
		if (message->type == WWH_GOSSIP_PING &&
		    now_ms - membership->newest_learned_ms >
			    SUMMARY_REQUEST_DELAY_MS)
			add_summary_requests(&builder);
	}
	send_message(membership, address, message);
}

void wwh_members_apply_message(wwh_membership_t *membership,
			       const wwh_gossip_t *message, int64_t now_ms)
{
	for (guint i = 0; i < message->facts->len; i++)
		wwh_members_apply_fact(
			membership,
			&g_array_index(message->facts, wwh_fact_t, i), now_ms);
	for (guint i = 0; i < message->summaries->len; i++)
		apply_summary_update(membership,
				     &g_array_index(message->summaries,
						    wwh_summary_update_t, i));
	for (guint i = 0; i < message->observations->len; i++)
		apply_observation(membership,
				  &g_array_index(message->observations,
						 wwh_observation_t, i),
				  now_ms);
	for (guint i = 0; membership->options.leaving != NULL &&
			  i < message->leaving_reports->len;
	     i++) {
		const wwh_leaving_report_t *report = &g_array_index(
			message->leaving_reports, wwh_leaving_report_t, i);

		wwh_leaving_record_report(membership->options.leaving,
					  report->minion, message->from,
					  report->age_ms, now_ms);
	}
	wwh_members_record_newest_config(membership, message->newest_version,
					 message->newest_address, now_ms);
	membership->max_peer_known_count =
		MAX(membership->max_peer_known_count, message->known_count);
}

void wwh_members_answer_summary_requests(const wwh_membership_t *membership,
					 wwh_gossip_t *reply,
					 const wwh_gossip_t *request)
{
	for (guint i = 0;
	     i < MIN(request->summary_requests->len, SUMMARY_REQUESTS_MAX);
	     i++) {
		const wwh_member_row_t *row = wwh_members_find(
			membership, g_array_index(request->summary_requests,
						  wwh_summary_request_t, i)
					    .id);
		wwh_summary_update_t update;

		if (row == NULL)
			continue;
		update = make_summary_update(row);
		g_array_append_val(reply->summaries, update);
	}
}

bool wwh_members_has_updates(const wwh_membership_t *membership, int64_t now_ms)
{
	const wwh_member_row_t *self = membership->self;
	int32_t reports = 0;

	if (self->fact_transmits_left > 0 || self->summary_transmits_left > 0)
		return true;
	for (guint i = 0; i < membership->rows->len; i++) {
		const wwh_member_row_t *row = membership->rows->pdata[i];

		if (row->fact_transmits_left > 0 ||
		    row->summary_transmits_left > 0 ||
		    row->observation_transmits_left > 0)
			return true;
		for (guint k = 0; k < row->observers->len; k++)
			if (g_array_index(row->observers, wwh_observer_t, k)
				    .transmits_left > 0)
				return true;
	}
	if (membership->options.leaving != NULL)
		wwh_leaving_foreach_answer(membership->options.leaving, now_ms,
					   count_leaving_report, &reports);
	return reports > 0;
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

static void add_fact(message_builder_t *builder, const wwh_member_row_t *row)
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

	g_array_append_val(builder->message->facts, fact);
	builder->bytes_left -=
		(int64_t)(FACT_BYTES + strlen(row->id) + strlen(row->address) +
			  strlen(row->zone) + strlen(row->region));
}

static wwh_summary_update_t make_summary_update(const wwh_member_row_t *row)
{
	return (wwh_summary_update_t){
		.id = row->id,
		.incarnation_tag = row->incarnation & WWH_INCARNATION_TAG_MASK,
		.sequence = row->sequence,
		.summary = row->summary,
	};
}

static void add_summary(message_builder_t *builder, const wwh_member_row_t *row)
{
	wwh_summary_update_t update = make_summary_update(row);

	g_array_append_val(builder->message->summaries, update);
	builder->bytes_left -= (int64_t)(SUMMARY_BYTES + strlen(row->id));
}

static void add_observation(message_builder_t *builder,
			    const wwh_member_row_t *row, const char *observer)
{
	wwh_observation_t observation = {
		.target = row->id,
		.incarnation = row->incarnation,
		.refutation = row->refutation,
		.observer = observer,
	};

	g_array_append_val(builder->message->observations, observation);
	builder->bytes_left -= (int64_t)(OBSERVATION_BYTES + strlen(row->id) +
					 strlen(observer));
}

/*
 * The recipient always receives the observations of itself, as only its own
 * refutation can end a suspicion early. Observations from outside of the
 * target's region can't make it dead and aren't sent to others.
 */
static void add_observations(message_builder_t *builder, const char *address)
{
	const char *self_id = builder->membership->self->id;

	for (guint i = 0; i < builder->membership->rows->len; i++) {
		wwh_member_row_t *row = builder->membership->rows->pdata[i];
		bool is_recipient = strcmp(row->address, address) == 0;

		if (row->observed_ms != 0 && builder->bytes_left > 0 &&
		    (row->observation_transmits_left > 0 || is_recipient)) {
			row->observation_transmits_left =
				MAX(0, row->observation_transmits_left - 1);
			add_observation(builder, row, self_id);
		}
		for (guint k = 0; k < row->observers->len; k++) {
			wwh_observer_t *observer = &g_array_index(
				row->observers, wwh_observer_t, k);

			if (builder->bytes_left <= 0 ||
			    (observer->transmits_left == 0 && !is_recipient))
				continue;
			observer->transmits_left =
				MAX(0, observer->transmits_left - 1);
			add_observation(builder, row, observer->id);
		}
	}
}

static void add_leaving_report(const char *minion, int64_t age_ms,
			       void *client_data)
{
	message_builder_t *builder = client_data;
	wwh_leaving_report_t report = { minion, age_ms };

	if (builder->message->leaving_reports->len >= LEAVING_REPORTS_MAX ||
	    builder->bytes_left <= 0)
		return;
	g_array_append_val(builder->message->leaving_reports, report);
	builder->bytes_left -= (int64_t)(LEAVING_REPORT_BYTES + strlen(minion));
}

static void add_updates(message_builder_t *builder, wwh_member_row_t *row)
{
	if (builder->bytes_left > 0 && row->fact_transmits_left > 0) {
		row->fact_transmits_left--;
		add_fact(builder, row);
	}
	if (builder->bytes_left > 0 && row->summary_transmits_left > 0) {
		row->summary_transmits_left--;
		add_summary(builder, row);
	}
}

/* Repeats one member in rotation, for recipients that missed its updates. */
static void add_next_member(message_builder_t *builder)
{
	wwh_membership_t *membership = builder->membership;
	const wwh_member_row_t *row;

	if (membership->rows->len == 0 || builder->bytes_left <= 0)
		return;
	membership->next_member =
		(membership->next_member + 1) % membership->rows->len;
	row = membership->rows->pdata[membership->next_member];
	if (wwh_members_is_dead_or_left(row))
		return;
	add_fact(builder, row);
	add_summary(builder, row);
}

/*
 * With random recipients, a few processes miss a few summaries. This requests
 * the summaries of members that seem to have an old configuration version;
 * mostly they have the newest, and only their summary is missing here.
 */
static void add_summary_requests(message_builder_t *builder)
{
	wwh_membership_t *membership = builder->membership;

	for (guint i = 0; i < membership->rows->len; i++) {
		const wwh_member_row_t *row;
		wwh_summary_request_t request;

		if (builder->message->summary_requests->len ==
		    SUMMARY_REQUESTS_MAX)
			return;
		membership->next_summary_request =
			(membership->next_summary_request + 1) %
			membership->rows->len;
		row = membership->rows->pdata[membership->next_summary_request];
		if (row->status != WWH_MEMBER_ALIVE ||
		    row->summary.config_version >= membership->newest_version)
			continue;
		request.id = row->id;
		g_array_append_val(builder->message->summary_requests, request);
	}
}

static void add_full_state(message_builder_t *builder)
{
	GPtrArray *rows = builder->membership->rows;

	for (guint i = 0; i < rows->len; i++) {
		const wwh_member_row_t *row = rows->pdata[i];

		if (wwh_members_is_dead_or_left(row) ||
		    builder->message->facts->len >= WWH_MESSAGE_ITEMS_MAX)
			continue;
		add_fact(builder, row);
		add_summary(builder, row);
	}
}

static void apply_summary_update(wwh_membership_t *membership,
				 const wwh_summary_update_t *update)
{
	wwh_member_row_t *row = wwh_members_find(membership, update->id);

	if (row == NULL ||
	    update->incarnation_tag !=
		    (row->incarnation & WWH_INCARNATION_TAG_MASK) ||
	    update->sequence <= row->sequence)
		return;
	row->sequence = update->sequence;
	row->summary = update->summary;
	row->summary_transmits_left = WWH_SUMMARY_TRANSMITS;
}

static void apply_observation(wwh_membership_t *membership,
			      const wwh_observation_t *observation,
			      int64_t now_ms)
{
	wwh_member_row_t *row;
	wwh_observer_t observer = { .reported_ms = now_ms };

	if (strcmp(observation->target, membership->self->id) == 0)
		refute(membership, observation);
	row = wwh_members_find(membership, observation->target);
	if (row == NULL || observation->incarnation != row->incarnation ||
	    observation->refutation != row->refutation || row->left ||
	    strcmp(observation->observer, membership->self->id) == 0)
		return;
	for (guint i = 0; i < row->observers->len; i++) {
		wwh_observer_t *existing =
			&g_array_index(row->observers, wwh_observer_t, i);

		if (strcmp(existing->id, observation->observer) != 0)
			continue;
		/* Before that, it is the same observation, relayed by another. */
		if (now_ms - existing->reported_ms >= OBSERVATION_RENEWAL_MS) {
			existing->reported_ms = now_ms;
			existing->transmits_left =
				wwh_members_transmit_limit(membership);
		}
		return;
	}
	if (row->observers->len >= WWH_OBSERVERS_MAX)
		return;
	observer.id = g_strdup(observation->observer);
	observer.transmits_left = wwh_members_transmit_limit(membership);
	g_array_append_val(row->observers, observer);
	row->probe_soon = row->observed_ms == 0 &&
			  wwh_members_is_same_region(membership, row);
	wwh_members_update_status(membership, row, now_ms);
}

static void refute(wwh_membership_t *membership,
		   const wwh_observation_t *observation)
{
	wwh_member_row_t *self = membership->self;

	if (observation->incarnation != self->incarnation ||
	    observation->refutation < self->refutation || self->left)
		return;
	self->refutation = observation->refutation + 1;
	self->fact_transmits_left = wwh_members_transmit_limit(membership);
	membership->stats.refutations++;
}

static void count_leaving_report(const char *minion, int64_t age_ms,
				 void *client_data)
{
	int32_t *reports = client_data;

	(void)minion;
	(void)age_ms;
	(*reports)++;
}
