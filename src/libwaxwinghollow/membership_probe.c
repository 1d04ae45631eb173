#include <string.h>

#include "private/membership_private.h"

#define ROUNDS_OF_A_TURN 8
#define TURN_FAR 0 /* probe another region */
#define TURN_SEED 2 /* try an address that nobody is known at */
#define TURN_UNREACHABLE 4 /* probe a suspect or dead one */
#define CONFIRMS_A_ROUND 2
#define HELPERS 2
#define FAN_OUT 3
#define FAIL_ACKS 3 /* a probe fails after as many ack_timeout_ms */
#define CONFIRM_AGAIN_MS 3000
#define ASK_ALL_MS 3000

typedef enum {
	PICK_ZONE = 0, /* own zone */
	PICK_REGION, /* own region */
	PICK_FAR, /* other regions */
	PICK_ANY,
	PICK_UNREACHABLE, /* suspect or dead */
} pick_t;

typedef struct {
	wwh_membership_t *membership;
	const char *from_address;
	int64_t now_ms;
} receipt_t;

static bool fits(const wwh_membership_t *membership, const wwh_row_t *row,
		 pick_t pick);
static wwh_row_t *pick_random(wwh_membership_t *membership, pick_t pick,
			      const wwh_row_t *except);
static wwh_row_t *pick_due(wwh_membership_t *membership);
static void probe(wwh_membership_t *membership, wwh_row_t *row, int64_t now_ms);
static void ping(wwh_membership_t *membership, const char *target,
		 const char *address, const wwh_gossip_t *asked_by,
		 const char *relay_to, int64_t now_ms);
static bool wants_all(wwh_membership_t *membership, int64_t now_ms);
static void try_seed(wwh_membership_t *membership, int64_t now_ms);
static bool known_alive(const wwh_membership_t *membership,
			const char *address);
static void ask_helpers(wwh_membership_t *membership, const wwh_probe_t *probe,
			int64_t now_ms);
static void probe_failed(wwh_membership_t *membership, const wwh_probe_t *probe,
			 int64_t now_ms);
static void take_ack(wwh_membership_t *membership, const wwh_gossip_t *message,
		     int64_t now_ms);
static void remove_probe(wwh_membership_t *membership, guint index);
static void tell(wwh_membership_t *membership, wwh_row_t *row, int64_t now_ms);
static void take_message(const wwh_gossip_t *message, void *client_data);

wwh_status_t wwh_membership_receive(wwh_membership_t *membership,
				    const char *from_address,
				    const uint8_t *payload, size_t size,
				    int64_t now_ms)
{
	receipt_t receipt = { membership, from_address, now_ms };
	wwh_status_t status =
		wwh_gossip_decode(payload, size, take_message, &receipt);

	if (status == WWH_STATUS_OK)
		membership->stats.received++;
	else
		membership->stats.refused++;
	return status;
}

void wwh_members_round(wwh_membership_t *membership, int64_t now_ms)
{
	int64_t turn = membership->round++ % ROUNDS_OF_A_TURN;
	int32_t confirms = 0;
	wwh_row_t *row = NULL;

	if (turn == TURN_FAR)
		row = pick_random(membership, PICK_FAR, NULL);
	if (turn == TURN_UNREACHABLE)
		row = pick_random(membership, PICK_UNREACHABLE, NULL);
	if (row == NULL)
		row = pick_due(membership);
	if (row == NULL)
		row = pick_random(membership, PICK_ANY, NULL);
	if (row != NULL)
		probe(membership, row, now_ms);
	if (row == NULL || turn == TURN_SEED)
		try_seed(membership, now_ms);
	for (guint i = 0;
	     confirms < CONFIRMS_A_ROUND && i < membership->rows->len; i++) {
		wwh_row_t *other = membership->rows->pdata[i];

		if (!other->confirm ||
		    now_ms - other->probed_ms < CONFIRM_AGAIN_MS)
			continue;
		other->confirm = false;
		confirms++;
		probe(membership, other, now_ms);
	}
	if (wwh_members_have_news(membership, now_ms))
		wwh_members_tell_some(membership,
				      turn % 2 == 0 ? FAN_OUT : FAN_OUT - 1,
				      now_ms);
}

void wwh_members_check_probes(wwh_membership_t *membership, int64_t now_ms)
{
	int32_t ack_timeout_ms = membership->options.ack_timeout_ms;

	for (guint i = membership->pending->len; i > 0; i--) {
		wwh_probe_t *p =
			&g_array_index(membership->pending, wwh_probe_t, i - 1);
		int64_t age_ms = now_ms - p->sent_ms;

		if (age_ms >= (int64_t)FAIL_ACKS * ack_timeout_ms) {
			if (p->relay_to == NULL)
				probe_failed(membership, p, now_ms);
			remove_probe(membership, i - 1);
		} else if (age_ms >= ack_timeout_ms && !p->indirect &&
			   p->relay_to == NULL) {
			p->indirect = true;
			ask_helpers(membership, p, now_ms);
		}
	}
}

void wwh_members_forget_probes(wwh_membership_t *membership)
{
	while (membership->pending->len > 0)
		remove_probe(membership, membership->pending->len - 1);
}

void wwh_members_tell_some(wwh_membership_t *membership, int32_t count,
			   int64_t now_ms)
{
	static const pick_t picks[FAN_OUT] = { PICK_ZONE, PICK_REGION,
					       PICK_FAR };

	for (int32_t i = 0; i < count; i++) {
		wwh_row_t *row = pick_random(membership, picks[i], NULL);

		if (row == NULL)
			row = pick_random(membership, PICK_ANY, NULL);
		if (row != NULL)
			tell(membership, row, now_ms);
	}
}

static bool fits(const wwh_membership_t *membership, const wwh_row_t *row,
		 pick_t pick)
{
	const wwh_row_t *self = membership->self;

	switch (pick) {
	case PICK_ZONE:
		return !wwh_members_gone(row) &&
		       strcmp(row->zone, self->zone) == 0;
	case PICK_REGION:
		return !wwh_members_gone(row) &&
		       wwh_members_same_region(membership, row);
	case PICK_FAR:
		return !wwh_members_gone(row) &&
		       !wwh_members_same_region(membership, row);
	case PICK_UNREACHABLE:
		return row->status == WWH_MEMBER_SUSPECT ||
		       row->status == WWH_MEMBER_DEAD;
	default:
		return !wwh_members_gone(row);
	}
}

static wwh_row_t *pick_random(wwh_membership_t *membership, pick_t pick,
			      const wwh_row_t *except)
{
	wwh_row_t *picked = NULL;
	int32_t seen = 0;

	for (guint i = 0; i < membership->rows->len; i++) {
		wwh_row_t *row = membership->rows->pdata[i];

		if (row == except || !fits(membership, row, pick))
			continue;
		seen++;
		if (g_rand_int_range(membership->rand, 0, seen) == 0)
			picked = row;
	}
	return picked;
}

/* The one of the own region that was probed longest ago. */
static wwh_row_t *pick_due(wwh_membership_t *membership)
{
	wwh_row_t *due = NULL;

	for (guint i = 0; i < membership->rows->len; i++) {
		wwh_row_t *row = membership->rows->pdata[i];

		if (fits(membership, row, PICK_REGION) &&
		    (due == NULL || row->probed_ms < due->probed_ms))
			due = row;
	}
	return due;
}

static void probe(wwh_membership_t *membership, wwh_row_t *row, int64_t now_ms)
{
	row->probed_ms = now_ms;
	membership->stats.probes++;
	ping(membership, row->id, row->address, NULL, NULL, now_ms);
}

/* target "": a seed, of which only the address is known. */
static void ping(wwh_membership_t *membership, const char *target,
		 const char *address, const wwh_gossip_t *asked_by,
		 const char *relay_to, int64_t now_ms)
{
	wwh_probe_t p = { .sent_ms = now_ms };
	wwh_gossip_t message;

	if (membership->pending->len >= WWH_PENDING_MAX)
		return;
	wwh_gossip_init(&message, WWH_GOSSIP_PING);
	message.number = ++membership->last_number;
	message.wants_all = wants_all(membership, now_ms);
	if (target[0] != '\0') {
		p.number = message.number;
		p.target = g_strdup(target);
		p.relay_to = g_strdup(relay_to);
		if (asked_by != NULL)
			p.relay_number = asked_by->number;
		g_array_append_val(membership->pending, p);
	}
	wwh_members_tell(membership, address, &message, false, now_ms);
	wwh_gossip_clear(&message);
}

/* One that has just started, or missed the news of some, asks for all. */
static bool wants_all(wwh_membership_t *membership, int64_t now_ms)
{
	bool behind = membership->rows->len == 0 ||
		      wwh_members_known(membership) < membership->others_know;

	if (!behind || (membership->rows->len > 0 &&
			now_ms - membership->asked_all_ms < ASK_ALL_MS))
		return false;
	membership->asked_all_ms = now_ms;
	membership->others_know = 0;
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
	    !known_alive(membership, address))
		ping(membership, "", address, NULL, NULL, now_ms);
}

static bool known_alive(const wwh_membership_t *membership, const char *address)
{
	for (guint i = 0; i < membership->rows->len; i++) {
		const wwh_row_t *row = membership->rows->pdata[i];

		if (row->status == WWH_MEMBER_ALIVE &&
		    strcmp(row->address, address) == 0)
			return true;
	}
	return false;
}

/* Something between this process and the target may be cut, one way only. */
static void ask_helpers(wwh_membership_t *membership, const wwh_probe_t *probe,
			int64_t now_ms)
{
	const wwh_row_t *target = wwh_members_find(membership, probe->target);
	pick_t picks[HELPERS] = { PICK_REGION, PICK_ANY };

	if (target == NULL)
		return;
	for (int32_t i = 0; i < HELPERS; i++) {
		const wwh_row_t *helper =
			pick_random(membership, picks[i], target);
		wwh_gossip_t message;

		if (helper == NULL)
			continue;
		wwh_gossip_init(&message, WWH_GOSSIP_PING_REQUEST);
		message.number = probe->number;
		message.target = target->id;
		message.target_address = target->address;
		wwh_members_tell(membership, helper->address, &message, false,
				 now_ms);
		wwh_gossip_clear(&message);
	}
}

static void probe_failed(wwh_membership_t *membership, const wwh_probe_t *probe,
			 int64_t now_ms)
{
	wwh_row_t *row = wwh_members_find(membership, probe->target);

	membership->stats.probes_failed++;
	/* Heard from since then, or this process hears from nobody at all. */
	if (row == NULL || row->left || row->heard_ms >= probe->sent_ms ||
	    wwh_members_isolated(membership, now_ms))
		return;
	row->observed_ms = now_ms;
	if (wwh_members_same_region(membership, row))
		row->spread_observed = wwh_members_spread(membership);
	wwh_members_judge(membership, row, now_ms);
}

static void take_ack(wwh_membership_t *membership, const wwh_gossip_t *message,
		     int64_t now_ms)
{
	for (guint i = 0; i < membership->pending->len; i++) {
		wwh_probe_t *p =
			&g_array_index(membership->pending, wwh_probe_t, i);

		if (p->number != message->number ||
		    strcmp(p->target, message->target) != 0)
			continue;
		if (p->relay_to != NULL) {
			wwh_gossip_t relayed;

			wwh_gossip_init(&relayed, WWH_GOSSIP_ACK);
			relayed.number = p->relay_number;
			relayed.target = p->target;
			wwh_members_tell(membership, p->relay_to, &relayed,
					 false, now_ms);
			wwh_gossip_clear(&relayed);
		} else {
			wwh_members_heard(membership, p->target, now_ms);
		}
		remove_probe(membership, i);
		return;
	}
}

static void remove_probe(wwh_membership_t *membership, guint index)
{
	wwh_probe_t *p =
		&g_array_index(membership->pending, wwh_probe_t, index);

	g_free(p->target);
	g_free(p->relay_to);
	g_array_remove_index(membership->pending, index);
}

static void tell(wwh_membership_t *membership, wwh_row_t *row, int64_t now_ms)
{
	wwh_gossip_t message;

	wwh_gossip_init(&message, WWH_GOSSIP_NEWS);
	wwh_members_tell(membership, row->address, &message, false, now_ms);
	wwh_gossip_clear(&message);
}

static void take_message(const wwh_gossip_t *message, void *client_data)
{
	const receipt_t *receipt = client_data;
	wwh_membership_t *membership = receipt->membership;
	int64_t now_ms = receipt->now_ms;
	wwh_gossip_t reply;

	if (strcmp(message->from, membership->self->id) == 0)
		return;
	wwh_members_take_parts(membership, message, now_ms);
	wwh_members_heard(membership, message->from, now_ms);
	switch (message->type) {
	case WWH_GOSSIP_PING:
		wwh_gossip_init(&reply, WWH_GOSSIP_ACK);
		reply.number = message->number;
		reply.target = membership->self->id;
		wwh_members_answer_asked(membership, &reply, message);
		wwh_members_tell(membership, receipt->from_address, &reply,
				 message->wants_all, now_ms);
		wwh_gossip_clear(&reply);
		break;
	case WWH_GOSSIP_ACK:
		take_ack(membership, message, now_ms);
		break;
	case WWH_GOSSIP_PING_REQUEST:
		if (strcmp(message->target, membership->self->id) != 0 &&
		    message->target[0] != '\0' &&
		    message->target_address[0] != '\0')
			ping(membership, message->target,
			     message->target_address, message,
			     receipt->from_address, now_ms);
		break;
	default:
		break;
	}
}
