#include <string.h>

#include "private/membership_private.h"

#define ROUNDS_PER_CYCLE 8
#define ROUND_OTHER_REGION 0 /* probes a member of another region */
#define ROUND_SEED 2 /* contacts a seed at which no member is alive */
#define ROUND_UNREACHABLE 4 /* probes a suspect or dead member */
#define EXTRA_PROBES_PER_ROUND 2
#define INDIRECT_PROBE_HELPERS 2
#define FAN_OUT 3
#define PROBE_TIMEOUT_ACKS 3 /* times ack_timeout_ms */
#define EXTRA_PROBE_INTERVAL_MS 3000
#define FULL_STATE_REQUEST_INTERVAL_MS 3000

typedef enum {
	PICK_ZONE = 0, /* own zone */
	PICK_REGION, /* own region */
	PICK_OTHER_REGION,
	PICK_ANY,
	PICK_UNREACHABLE, /* suspect or dead */
} pick_t;

typedef struct {
	wwh_membership_t *membership;
	const char *from_address;
	int64_t now_ms;
} receive_context_t;

static bool matches_pick(const wwh_membership_t *membership,
			 const wwh_member_row_t *row, pick_t pick);
static wwh_member_row_t *pick_random(wwh_membership_t *membership, pick_t pick,
				     const wwh_member_row_t *except);
static wwh_member_row_t *pick_due(wwh_membership_t *membership);
static void probe(wwh_membership_t *membership, wwh_member_row_t *row,
		  int64_t now_ms);
static void ping(wwh_membership_t *membership, const char *target,
		 const char *address, const wwh_gossip_t *request,
		 const char *relay_to, int64_t now_ms);
static bool wants_full_state(wwh_membership_t *membership, int64_t now_ms);
static void try_seed(wwh_membership_t *membership, int64_t now_ms);
static bool is_alive_at(const wwh_membership_t *membership,
			const char *address);
static void request_indirect_probes(wwh_membership_t *membership,
				    const wwh_probe_t *probe, int64_t now_ms);
static void handle_probe_timeout(wwh_membership_t *membership,
				 const wwh_probe_t *probe, int64_t now_ms);
static void handle_ack(wwh_membership_t *membership,
		       const wwh_gossip_t *message, int64_t now_ms);
static void remove_probe(wwh_membership_t *membership, guint index);
static void send_update(wwh_membership_t *membership, wwh_member_row_t *row,
			int64_t now_ms);
static void handle_message(const wwh_gossip_t *message, void *client_data);

wwh_status_t wwh_membership_receive(wwh_membership_t *membership,
				    const char *from_address,
				    const uint8_t *payload, size_t size,
				    int64_t now_ms)
{
	receive_context_t context = { membership, from_address, now_ms };
	wwh_status_t status =
		wwh_gossip_decode(payload, size, handle_message, &context);

	if (status == WWH_STATUS_OK)
		membership->stats.received++;
	else
		membership->stats.rejected++;
	return status;
}

void wwh_members_run_round(wwh_membership_t *membership, int64_t now_ms)
{
	int64_t round_in_cycle = membership->round++ % ROUNDS_PER_CYCLE;
	int32_t extra_probes = 0;
	wwh_member_row_t *row = NULL;

	if (round_in_cycle == ROUND_OTHER_REGION)
		row = pick_random(membership, PICK_OTHER_REGION, NULL);
	if (round_in_cycle == ROUND_UNREACHABLE)
		row = pick_random(membership, PICK_UNREACHABLE, NULL);
	if (row == NULL)
		row = pick_due(membership);
	if (row == NULL)
		row = pick_random(membership, PICK_ANY, NULL);
	if (row != NULL)
		probe(membership, row, now_ms);
	if (row == NULL || round_in_cycle == ROUND_SEED)
		try_seed(membership, now_ms);
	for (guint i = 0;
	     extra_probes < EXTRA_PROBES_PER_ROUND && i < membership->rows->len;
	     i++) {
		wwh_member_row_t *other = membership->rows->pdata[i];

		if (!other->probe_soon ||
		    now_ms - other->probed_ms < EXTRA_PROBE_INTERVAL_MS)
			continue;
		other->probe_soon = false;
		extra_probes++;
		probe(membership, other, now_ms);
	}
	if (wwh_members_has_updates(membership, now_ms))
		wwh_members_send_updates(membership,
					 round_in_cycle % 2 == 0 ? FAN_OUT
								 : FAN_OUT - 1,
					 now_ms);
}

void wwh_members_check_probes(wwh_membership_t *membership, int64_t now_ms)
{
	int32_t ack_timeout_ms = membership->options.ack_timeout_ms;

	for (guint i = membership->pending_probes->len; i > 0; i--) {
		wwh_probe_t *p = &g_array_index(membership->pending_probes,
						wwh_probe_t, i - 1);
		int64_t age_ms = now_ms - p->sent_ms;

		if (age_ms >= (int64_t)PROBE_TIMEOUT_ACKS * ack_timeout_ms) {
			if (p->relay_to == NULL)
				handle_probe_timeout(membership, p, now_ms);
			remove_probe(membership, i - 1);
		} else if (age_ms >= ack_timeout_ms && !p->indirect_requested &&
			   p->relay_to == NULL) {
			p->indirect_requested = true;
			request_indirect_probes(membership, p, now_ms);
		}
	}
}

void wwh_members_cancel_probes(wwh_membership_t *membership)
{
	while (membership->pending_probes->len > 0)
		remove_probe(membership, membership->pending_probes->len - 1);
}

void wwh_members_send_updates(wwh_membership_t *membership, int32_t count,
			      int64_t now_ms)
{
	static const pick_t picks[FAN_OUT] = { PICK_ZONE, PICK_REGION,
					       PICK_OTHER_REGION };

	for (int32_t i = 0; i < count; i++) {
		wwh_member_row_t *row = pick_random(membership, picks[i], NULL);

		if (row == NULL)
			row = pick_random(membership, PICK_ANY, NULL);
		if (row != NULL)
			send_update(membership, row, now_ms);
	}
}

static bool matches_pick(const wwh_membership_t *membership,
			 const wwh_member_row_t *row, pick_t pick)
{
	const wwh_member_row_t *self = membership->self;

	switch (pick) {
	case PICK_ZONE:
		return !wwh_members_is_dead_or_left(row) &&
		       strcmp(row->zone, self->zone) == 0;
	case PICK_REGION:
		return !wwh_members_is_dead_or_left(row) &&
		       wwh_members_is_same_region(membership, row);
	case PICK_OTHER_REGION:
		return !wwh_members_is_dead_or_left(row) &&
		       !wwh_members_is_same_region(membership, row);
	case PICK_UNREACHABLE:
		return row->status == WWH_MEMBER_SUSPECT ||
		       row->status == WWH_MEMBER_DEAD;
	default:
		return !wwh_members_is_dead_or_left(row);
	}
}

static wwh_member_row_t *pick_random(wwh_membership_t *membership, pick_t pick,
				     const wwh_member_row_t *except)
{
	wwh_member_row_t *picked = NULL;
	int32_t candidates = 0;

	for (guint i = 0; i < membership->rows->len; i++) {
		wwh_member_row_t *row = membership->rows->pdata[i];

		if (row == except || !matches_pick(membership, row, pick))
			continue;
		candidates++;
		if (g_rand_int_range(membership->rand, 0, candidates) == 0)
			picked = row;
	}
	return picked;
}

/* Returns the member of the own region that was probed longest ago. */
static wwh_member_row_t *pick_due(wwh_membership_t *membership)
{
	wwh_member_row_t *due = NULL;

	for (guint i = 0; i < membership->rows->len; i++) {
		wwh_member_row_t *row = membership->rows->pdata[i];

		if (matches_pick(membership, row, PICK_REGION) &&
		    (due == NULL || row->probed_ms < due->probed_ms))
			due = row;
	}
	return due;
}

static void probe(wwh_membership_t *membership, wwh_member_row_t *row,
		  int64_t now_ms)
{
	row->probed_ms = now_ms;
	membership->stats.probes++;
	ping(membership, row->id, row->address, NULL, NULL, now_ms);
}

/* target: "" for a seed, of which only the address is known. */
static void ping(wwh_membership_t *membership, const char *target,
		 const char *address, const wwh_gossip_t *request,
		 const char *relay_to, int64_t now_ms)
{
	wwh_probe_t p = { .sent_ms = now_ms };
	wwh_gossip_t message;

	if (membership->pending_probes->len >= WWH_PENDING_PROBES_MAX)
		return;
	wwh_gossip_init(&message, WWH_GOSSIP_PING);
	message.number = ++membership->last_number;
	message.wants_full_state = wants_full_state(membership, now_ms);
	if (target[0] != '\0') {
		p.number = message.number;
		p.target = g_strdup(target);
		p.relay_to = g_strdup(relay_to);
		if (request != NULL)
			p.relay_number = request->number;
		g_array_append_val(membership->pending_probes, p);
	}
	wwh_members_send(membership, address, &message, false, now_ms);
	wwh_gossip_clear(&message);
}

/* A process that has just started or lacks members requests all of them. */
static bool wants_full_state(wwh_membership_t *membership, int64_t now_ms)
{
	bool is_behind = membership->rows->len == 0 ||
			 wwh_members_count_known(membership) <
				 membership->max_peer_known_count;

	if (!is_behind || (membership->rows->len > 0 &&
			   now_ms - membership->full_state_requested_ms <
				   FULL_STATE_REQUEST_INTERVAL_MS))
		return false;
	membership->full_state_requested_ms = now_ms;
	membership->max_peer_known_count = 0;
	return true;
}

static void try_seed(wwh_membership_t *membership, int64_t now_ms)
{
	guint count = membership->seeds->len;
	const char *address;

	if (count == 0)
		return;
	address = membership->seeds->pdata[g_rand_int_range(membership->rand, 0,
							    (gint32)count)];
	if (strcmp(address, membership->self->address) != 0 &&
	    !is_alive_at(membership, address))
		ping(membership, "", address, NULL, NULL, now_ms);
}

static bool is_alive_at(const wwh_membership_t *membership, const char *address)
{
	for (guint i = 0; i < membership->rows->len; i++) {
		const wwh_member_row_t *row = membership->rows->pdata[i];

		if (row->status == WWH_MEMBER_ALIVE &&
		    strcmp(row->address, address) == 0)
			return true;
	}
	return false;
}

/*
 * Requests pings of the target by other members, since only the path between
 * this process and the target may be cut, maybe in one direction.
 */
static void request_indirect_probes(wwh_membership_t *membership,
				    const wwh_probe_t *probe, int64_t now_ms)
{
	const wwh_member_row_t *target =
		wwh_members_find(membership, probe->target);
	pick_t picks[INDIRECT_PROBE_HELPERS] = { PICK_REGION, PICK_ANY };

	if (target == NULL)
		return;
	for (int32_t i = 0; i < INDIRECT_PROBE_HELPERS; i++) {
		const wwh_member_row_t *helper =
			pick_random(membership, picks[i], target);
		wwh_gossip_t message;

		if (helper == NULL)
			continue;
		wwh_gossip_init(&message, WWH_GOSSIP_PING_REQUEST);
		message.number = probe->number;
		message.target = target->id;
		message.target_address = target->address;
		wwh_members_send(membership, helper->address, &message, false,
				 now_ms);
		wwh_gossip_clear(&message);
	}
}

static void handle_probe_timeout(wwh_membership_t *membership,
				 const wwh_probe_t *probe, int64_t now_ms)
{
	wwh_member_row_t *row = wwh_members_find(membership, probe->target);

	membership->stats.probes_failed++;
	/* Ignores it after a later contact, or when this process is isolated. */
	if (row == NULL || row->left ||
	    row->last_contact_ms >= probe->sent_ms ||
	    wwh_members_is_isolated(membership, now_ms))
		return;
	row->observed_ms = now_ms;
	if (wwh_members_is_same_region(membership, row))
		row->observation_transmits_left =
			wwh_members_transmit_limit(membership);
	wwh_members_update_status(membership, row, now_ms);
}

static void handle_ack(wwh_membership_t *membership,
		       const wwh_gossip_t *message, int64_t now_ms)
{
	for (guint i = 0; i < membership->pending_probes->len; i++) {
		wwh_probe_t *p = &g_array_index(membership->pending_probes,
						wwh_probe_t, i);

		if (p->number != message->number ||
		    strcmp(p->target, message->target) != 0)
			continue;
		if (p->relay_to != NULL) {
			wwh_gossip_t relayed;

			wwh_gossip_init(&relayed, WWH_GOSSIP_ACK);
			relayed.number = p->relay_number;
			relayed.target = p->target;
			wwh_members_send(membership, p->relay_to, &relayed,
					 false, now_ms);
			wwh_gossip_clear(&relayed);
		} else {
			wwh_members_record_contact(membership, p->target,
						   now_ms);
		}
		remove_probe(membership, i);
		return;
	}
}

static void remove_probe(wwh_membership_t *membership, guint index)
{
	wwh_probe_t *p =
		&g_array_index(membership->pending_probes, wwh_probe_t, index);

	g_free(p->target);
	g_free(p->relay_to);
	g_array_remove_index(membership->pending_probes, index);
}

static void send_update(wwh_membership_t *membership, wwh_member_row_t *row,
			int64_t now_ms)
{
	wwh_gossip_t message;

	wwh_gossip_init(&message, WWH_GOSSIP_UPDATE);
	wwh_members_send(membership, row->address, &message, false, now_ms);
	wwh_gossip_clear(&message);
}

static void handle_message(const wwh_gossip_t *message, void *client_data)
{
	const receive_context_t *context = client_data;
	wwh_membership_t *membership = context->membership;
	int64_t now_ms = context->now_ms;
	wwh_gossip_t reply;

	if (strcmp(message->from, membership->self->id) == 0)
		return;
	wwh_members_apply_message(membership, message, now_ms);
	wwh_members_record_contact(membership, message->from, now_ms);
	switch (message->type) {
	case WWH_GOSSIP_PING:
		wwh_gossip_init(&reply, WWH_GOSSIP_ACK);
		reply.number = message->number;
		reply.target = membership->self->id;
		wwh_members_answer_summary_requests(membership, &reply,
						    message);
		wwh_members_send(membership, context->from_address, &reply,
				 message->wants_full_state, now_ms);
		wwh_gossip_clear(&reply);
		break;
	case WWH_GOSSIP_ACK:
		handle_ack(membership, message, now_ms);
		break;
	case WWH_GOSSIP_PING_REQUEST:
		if (strcmp(message->target, membership->self->id) != 0 &&
		    message->target[0] != '\0' &&
		    message->target_address[0] != '\0')
			ping(membership, message->target,
			     message->target_address, message,
			     context->from_address, now_ms);
		break;
	default:
		break;
	}
}
