#include "private/entry_peers_state.h"

#include "private/entry_fleet.h"
#include "private/entry_seats.h"
#include "private/request_table.h"

/*
 * Period of loan messages while there are no requests, and so nobody wants to
 * borrow slots: sending the loans of 5,100 minions to every peer 20 times a
 * second would cost more than all other control work.
 */
#define LOAN_IDLE_PERIOD_MS 5000

/* Period of reports of the requests on workers that are out. */
#define DRAIN_PERIOD_MS 200

static void add_loan(const wwh_dispatch_loan_t *loan, void *client_data);
static void send_config(const char *address, const uint8_t *payload,
			size_t size, void *client_data);
static GBytes *encode_full_config(int64_t *version, int64_t *offset,
				  void *client_data);
static bool install_config(int64_t from, int64_t version, int64_t offset,
			   GBytes *bytes, void *client_data);

void wwh_peers_relay_open(wwh_entry_peers_t *peers)
{
	wwh_config_relay_options_t options;

	wwh_config_relay_options_defaults(&options);
	options.send = send_config;
	options.get_full_config = encode_full_config;
	options.install = install_config;
	options.client_data = peers;
	g_mutex_init(&peers->relay_lock);
	peers->relay = wwh_config_relay_new(&options);
}

void wwh_peers_handle_vote_request(wwh_entry_peers_t *peers, const char *from,
				   const uint8_t *payload, size_t size)
{
	wwh_vote_answer_t answer = {
		.process = wwh_seat_process_id(peers->entry->author),
	};
	wwh_vote_request_t ask;
	GBytes *bytes;

	if (!wwh_vote_request_decode(payload, size, &ask) ||
	    !wwh_seats_may_vote(peers->entry->seats, ask.process,
				&answer.seats))
		return;
	answer.sent_ms = ask.sent_ms;
	bytes = wwh_vote_answer_encode(&answer);
	wwh_peers_send(peers, from, WWH_FRAME_VOTE_ANSWER, bytes);
	g_bytes_unref(bytes);
}

void wwh_peers_handle_vote(wwh_entry_peers_t *peers, const uint8_t *payload,
			   size_t size)
{
	wwh_vote_answer_t answer;
	wwh_seat_vote_t vote;

	if (!wwh_vote_answer_decode(payload, size, &answer))
		return;
	vote.member = answer.process;
	vote.seats = answer.seats;
	vote.sent_ms = answer.sent_ms;
	wwh_seats_handle_vote(peers->entry->seats, &vote);
}

void wwh_peers_handle_loans(wwh_entry_peers_t *peers, const uint8_t *payload,
			    size_t size)
{
	wwh_loan_message_t message;

	if (wwh_loan_message_decode(payload, size, &message) &&
	    wwh_seats_is_member(peers->entry->seats, message.process)) {
		for (guint i = 0; i < message.items->len; i++) {
			const wwh_loan_item_t *item = message.items->pdata[i];
			wwh_dispatch_loan_t loan = {
				.minion = item->minion,
				.totals = { item->granted, item->returned },
				.wanted = item->wanted,
				.bears = item->bears,
				.bears_version = (uint32_t)item->bears_version,
			};

			wwh_request_table_handle_loan(peers->entry->requests,
						      message.process, &loan);
		}
		/* the sender may have left, its loans removed, meanwhile */
		if (!wwh_seats_is_member(peers->entry->seats, message.process))
			wwh_entry_peers_forget_loans(peers, message.process);
	}
	wwh_loan_message_clear(&message);
}

void wwh_peers_send_loans(wwh_entry_peers_t *peers, int64_t now_ms)
{
	wwh_request_table_t *requests = peers->entry->requests;
	GPtrArray *targets;

	if (wwh_request_table_waiting(requests) == 0 &&
	    wwh_request_table_running(requests) == 0 &&
	    now_ms < peers->next_loan_ms)
		return;
	peers->next_loan_ms = now_ms + LOAN_IDLE_PERIOD_MS;
	targets = wwh_peers_alive(peers);
	for (guint i = 0; i < targets->len; i++) {
		const wwh_peer_target_t *target = g_ptr_array_index(targets, i);
		wwh_loan_message_t message;
		GBytes *bytes;

		if (!wwh_seats_is_member(peers->entry->seats, target->process))
			continue;
		wwh_loan_message_init(&message);
		message.process = wwh_seat_process_id(peers->entry->author);
		wwh_request_table_report_loans(peers->entry->requests,
					       target->process, add_loan,
					       &message);
		if (message.items->len > 0) {
			bytes = wwh_loan_message_encode(&message);
			wwh_peers_send(peers, target->address, WWH_FRAME_LOAN,
				       bytes);
			g_bytes_unref(bytes);
		}
		wwh_loan_message_clear(&message);
	}
	g_ptr_array_unref(targets);
}

void wwh_peers_handle_drains(wwh_entry_peers_t *peers, const uint8_t *payload,
			     size_t size)
{
	wwh_drain_message_t message;

	if (wwh_drain_message_decode(payload, size, &message))
		wwh_entry_fleet_handle_drains(peers->entry->fleet, &message);
	wwh_drain_message_clear(&message);
}

void wwh_peers_send_drains(wwh_entry_peers_t *peers, int64_t now_ms)
{
	wwh_drain_message_t message;
	GPtrArray *targets;
	GBytes *bytes;

	if (now_ms < peers->next_drain_ms)
		return;
	peers->next_drain_ms = now_ms + DRAIN_PERIOD_MS;
	wwh_drain_message_init(&message);
	wwh_entry_fleet_report_drains(peers->entry->fleet, &message);
	if (message.items->len > 0) {
		targets = wwh_peers_alive(peers);
		bytes = wwh_drain_message_encode(&message);
		for (guint i = 0; i < targets->len; i++) {
			const wwh_peer_target_t *target =
				g_ptr_array_index(targets, i);

			wwh_peers_send(peers, target->address, WWH_FRAME_DRAIN,
				       bytes);
		}
		if (bytes != NULL)
			g_bytes_unref(bytes);
		g_ptr_array_unref(targets);
	}
	wwh_drain_message_clear(&message);
}

static void add_loan(const wwh_dispatch_loan_t *loan, void *client_data)
{
	wwh_loan_message_t *message = client_data;
	wwh_loan_item_t *item = g_new0(wwh_loan_item_t, 1);

	item->minion = g_strdup(loan->minion);
	item->granted = loan->totals.granted;
	item->returned = loan->totals.returned;
	item->wanted = loan->wanted;
	item->bears = loan->bears;
	item->bears_version = loan->bears_version;
	g_ptr_array_add(message->items, item);
}

/*
 * A process that can't read the log gets a newer configuration from its peers.
 * Otherwise it would use an old one for as long as it can't reach the log,
 * although its peers have the new one.
 */
void wwh_peers_relay_config(wwh_entry_peers_t *peers, int64_t now_ms)
{
	int64_t version = wwh_entry_config_version(peers->entry);
	const char *address = "";
	char *copy;
	int64_t newest;

	g_mutex_lock(&peers->lock);
	newest = wwh_membership_newest_config(peers->membership, &address);
	copy = g_strdup(address);
	g_mutex_unlock(&peers->lock);
	g_mutex_lock(&peers->relay_lock);
	if (version != peers->relayed_version)
		wwh_config_relay_reset(peers->relay, version);
	peers->relayed_version = version;
	wwh_config_relay_tick(peers->relay, newest, copy, now_ms);
	g_mutex_unlock(&peers->relay_lock);
	g_free(copy);
}

static void send_config(const char *address, const uint8_t *payload,
			size_t size, void *client_data)
{
	wwh_entry_peers_t *peers = client_data;

	(void)wwh_peer_send(peers->peer, address, WWH_FRAME_CONFIG, payload,
			    size);
}

static GBytes *encode_full_config(int64_t *version, int64_t *offset,
				  void *client_data)
{
	wwh_entry_peers_t *peers = client_data;
	wwh_entry_t *entry = peers->entry;
	wwh_config_t *config = wwh_entry_config(entry);
	wwh_config_t *empty = wwh_config_new();
	wwh_config_change_t *change =
		wwh_config_diff(empty, config != NULL ? config : empty);
	GBytes *bytes = wwh_config_change_encode(change);

	*version = config != NULL ? wwh_config_version(config) : 0;
	g_mutex_lock(&entry->state_lock);
	*offset = wwh_state_config_offset(entry->state);
	g_mutex_unlock(&entry->state_lock);
	wwh_config_change_delete(change);
	wwh_config_unref(empty);
	if (config != NULL)
		wwh_config_unref(config);
	return bytes;
}

static bool install_config(int64_t from, int64_t version, int64_t offset,
			   GBytes *bytes, void *client_data)
{
	wwh_entry_peers_t *peers = client_data;
	wwh_config_t *base = wwh_entry_config(peers->entry);
	wwh_config_t *config = NULL;
	wwh_config_change_t *change = NULL;
	wwh_message_t text;
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);
	bool installed = false;

	(void)offset;
	if (from == 0 || base == NULL) {
		if (base != NULL)
			wwh_config_unref(base);
		base = wwh_config_new();
	}
	if (wwh_config_version(base) == from &&
	    wwh_config_change_decode(data, size, &change, &text) ==
		    WWH_STATUS_OK &&
	    wwh_config_apply(base, change, version, &config, &text) ==
		    WWH_STATUS_OK)
		installed = wwh_entry_apply_peer_config(peers->entry, config,
							"a peer");
	if (installed)
		wwh_counter_add(peers->config_fetched, 1);
	if (config != NULL)
		wwh_config_unref(config);
	if (change != NULL)
		wwh_config_change_delete(change);
	wwh_config_unref(base);
	return installed;
}
