#include "private/entry_peers_state.h"

#include <string.h>

#include "private/entry_fleet.h"
#include "private/entry_report.h"
#include "private/entry_seats.h"
#include "private/peer_message.h"
#include "private/request_table.h"
#include "waxwinghollow/config_relay.h"
#include "waxwinghollow/peer.h"

#define TICK_MS 50
#define MILLISECOND_US 1000

/*
 * Period at which the states of minions are determined anew. They are also
 * determined at once when a minion's answer to this process reports that it
 * leaves, and when workers are out or came back.
 */
#define LEAVING_PERIOD_MS 1000

static void retain_unlisted(wwh_entry_peers_t *peers);
static gpointer peers_main(gpointer data);
static void on_frame(const char *from_id, const char *from_address,
		     wwh_frame_kind_t kind, const uint8_t *payload, size_t size,
		     void *client_data);
static void send_gossip(const char *address, const uint8_t *payload,
			size_t size, void *client_data);
static void update_summary(wwh_entry_peers_t *peers, int64_t now_ms);
static void update_minions(wwh_entry_peers_t *peers, int64_t now_ms);
static uint64_t member_process(const wwh_member_t *member);

static void free_target(gpointer data);

wwh_entry_peers_t *wwh_entry_peers_new(wwh_entry_t *entry)
{
	wwh_entry_peers_t *peers = g_new0(wwh_entry_peers_t, 1);
	const wwh_settings_t *settings = entry->settings;
	wwh_membership_options_t options;

	peers->entry = entry;
	g_mutex_init(&peers->lock);
	peers->random = g_rand_new();
	peers->leaving = wwh_leaving_new();
	peers->minion_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	peers->gone_minions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	peers->next_gone_minions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	peers->next_listed_minions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	wwh_membership_options_defaults(&options);
	options.id = settings->process_id;
	options.incarnation = entry->incarnation;
	options.address = settings->peer_listen;
	options.zone = settings->zone;
	options.region = settings->region;
	options.seeds = (const char *const *)settings->peers;
	options.round_ms = settings->heartbeat_ms;
	options.suspicion_timeout_ms = settings->suspect_after_ms;
	options.leaving = peers->leaving;
	peers->membership =
		wwh_membership_new(&options, peers->random, send_gossip, peers);
	wwh_peers_relay_open(peers);
	peers->config_fetched =
		wwh_counters_get(entry->counters, "config.fetched_from_peers");
	peers->leaving_count =
		wwh_counters_get(entry->counters, "minions.leaving");
	return peers;
}

wwh_status_t wwh_entry_peers_init(wwh_entry_peers_t *peers,
				  wwh_message_t *message)
{
	wwh_peer_options_t options;
	wwh_status_t status;

	wwh_peer_options_defaults(&options);
	options.cluster = peers->entry->settings->region;
	options.id = peers->entry->settings->process_id;
	options.listen = peers->entry->settings->peer_listen;
	options.counters = peers->entry->counters;
	options.on_frame = on_frame;
	options.client_data = peers;
	peers->peer = wwh_peer_new(&options);
	status = wwh_peer_init(peers->peer, message);
	if (status == WWH_STATUS_OK)
		peers->thread = g_thread_new("peers", peers_main, peers);
	return status;
}

void wwh_entry_peers_finish(wwh_entry_peers_t *peers)
{
	if (peers->thread != NULL) {
		g_mutex_lock(&peers->lock);
		peers->stopping = true;
		wwh_membership_leave(peers->membership, wwh_now_ms());
		g_mutex_unlock(&peers->lock);
		g_thread_join(peers->thread);
		peers->thread = NULL;
	}
	if (peers->peer != NULL)
		wwh_peer_finish(peers->peer);
}

void wwh_entry_peers_delete(wwh_entry_peers_t *peers)
{
	if (peers == NULL)
		return;
	wwh_entry_peers_finish(peers);
	if (peers->peer != NULL)
		wwh_peer_delete(peers->peer);
	wwh_membership_delete(peers->membership);
	wwh_config_relay_delete(peers->relay);
	g_mutex_clear(&peers->relay_lock);
	wwh_leaving_delete(peers->leaving);
	g_hash_table_destroy(peers->minion_states);
	g_hash_table_destroy(peers->gone_minions);
	g_hash_table_destroy(peers->next_gone_minions);
	g_hash_table_destroy(peers->next_listed_minions);
	g_rand_free(peers->random);
	g_mutex_clear(&peers->lock);
	g_free(peers);
}

void wwh_entry_peers_list_begin(wwh_entry_peers_t *peers)
{
	g_mutex_lock(&peers->lock);
	wwh_membership_list_begin(peers->membership);
	g_hash_table_remove_all(peers->next_gone_minions);
	g_hash_table_remove_all(peers->next_listed_minions);
	g_mutex_unlock(&peers->lock);
}

void wwh_entry_peers_list_host(wwh_entry_peers_t *peers, const wwh_host_t *host)
{
	int64_t now_ms = wwh_now_ms();

	g_mutex_lock(&peers->lock);
	wwh_membership_list_host(peers->membership, host, now_ms);
	if (host->kind == WWH_HOST_MINION) {
		g_hash_table_add(peers->next_listed_minions,
				 g_strdup(host->id));
		wwh_leaving_set_listed(peers->leaving, host->id,
				       host->state != WWH_HOST_LIVE, now_ms);
		if (host->state == WWH_HOST_GONE)
			g_hash_table_add(peers->next_gone_minions,
					 g_strdup(host->id));
	}
	g_mutex_unlock(&peers->lock);
}

/*
 * A list takes effect only after it was read to its end. Otherwise minions that
 * are gone would get requests while a list is read, or when reading it fails.
 */
void wwh_entry_peers_list_end(wwh_entry_peers_t *peers, bool complete)
{
	GHashTable *previous;

	g_mutex_lock(&peers->lock);
	if (!complete)
		retain_unlisted(peers);
	previous = peers->gone_minions;
	peers->gone_minions = peers->next_gone_minions;
	peers->next_gone_minions = previous;
	wwh_membership_list_end(peers->membership, complete, wwh_now_ms());
	g_mutex_unlock(&peers->lock);
}

/* Gone minions that are not among the readable rows remain gone. */
static void retain_unlisted(wwh_entry_peers_t *peers)
{
	GHashTableIter iterator;
	gpointer id;

	g_hash_table_iter_init(&iterator, peers->gone_minions);
	while (g_hash_table_iter_next(&iterator, &id, NULL)) {
		if (!g_hash_table_contains(peers->next_listed_minions, id))
			g_hash_table_add(peers->next_gone_minions,
					 g_strdup(id));
	}
}

void wwh_entry_peers_minion_answered(wwh_entry_peers_t *peers,
				     const char *minion, int64_t sent_ms,
				     bool leaving)
{
	g_mutex_lock(&peers->lock);
	if (leaving) {
		wwh_leaving_record_answer(peers->leaving, minion, wwh_now_ms());
		peers->next_leaving_ms = 0;
	} else {
		wwh_leaving_record_served(peers->leaving, minion, sent_ms);
	}
	g_mutex_unlock(&peers->lock);
	if (leaving)
		wwh_request_table_set_minion_state(peers->entry->requests,
						   minion, WWH_MINION_LEAVING);
}

void wwh_entry_peers_request_votes(wwh_entry_peers_t *peers)
{
	wwh_vote_request_t ask = {
		.process = wwh_seat_process_id(peers->entry->author),
		.sent_ms = wwh_now_ms(),
	};
	GBytes *bytes = wwh_vote_request_encode(&ask);
	GPtrArray *targets = wwh_peers_alive(peers);

	for (guint i = 0; i < targets->len; i++) {
		const wwh_peer_target_t *target = g_ptr_array_index(targets, i);

		wwh_peers_send(peers, target->address, WWH_FRAME_VOTE_REQUEST,
			       bytes);
	}
	g_ptr_array_unref(targets);
	g_bytes_unref(bytes);
}

void wwh_entry_peers_workers_changed(wwh_entry_peers_t *peers)
{
	g_mutex_lock(&peers->lock);
	peers->next_leaving_ms = 0;
	g_mutex_unlock(&peers->lock);
}

bool wwh_entry_peers_is_dead(wwh_entry_peers_t *peers, uint64_t process)
{
	bool dead = false;

	g_mutex_lock(&peers->lock);
	for (int32_t i = 0; i < wwh_membership_count(peers->membership); i++) {
		wwh_member_t member;

		wwh_membership_at(peers->membership, i, &member);
		if (member_process(&member) == process)
			dead = member.status == WWH_MEMBER_DEAD;
	}
	g_mutex_unlock(&peers->lock);
	return dead;
}

void wwh_entry_peers_forget_loans(wwh_entry_peers_t *peers, uint64_t process)
{
	wwh_request_table_forget_loans(peers->entry->requests, process);
}

int32_t wwh_entry_peers_rank(wwh_entry_peers_t *peers, int32_t *count)
{
	const wwh_settings_t *settings = peers->entry->settings;
	int32_t rank = 0;

	*count = 1;
	g_mutex_lock(&peers->lock);
	for (int32_t i = 0; i < wwh_membership_count(peers->membership); i++) {
		wwh_member_t member;

		wwh_membership_at(peers->membership, i, &member);
		if (member.status > WWH_MEMBER_SUSPECT ||
		    strcmp(member.region, settings->region) != 0)
			continue;
		*count += 1;
		rank += strcmp(member.id, settings->process_id) < 0;
	}
	g_mutex_unlock(&peers->lock);
	return rank;
}

void wwh_entry_peers_report(wwh_entry_peers_t *peers, JsonBuilder *builder)
{
	g_mutex_lock(&peers->lock);
	for (int32_t i = 0; i < wwh_membership_count(peers->membership); i++) {
		wwh_member_t member;

		wwh_membership_at(peers->membership, i, &member);
		json_builder_begin_object(builder);
		wwh_json_string(builder, "process", member.id);
		wwh_json_string(builder, "peer_address", member.address);
		wwh_json_string(builder, "zone", member.zone);
		wwh_json_string(builder, "region", member.region);
		wwh_json_string(builder, "state",
				wwh_member_status_names[member.status]);
		wwh_json_int(builder, "config_version",
			     member.summary.config_version);
		json_builder_end_object(builder);
	}
	g_mutex_unlock(&peers->lock);
}

static gpointer peers_main(gpointer data)
{
	wwh_entry_peers_t *peers = data;
	bool stopping = false;

	while (!stopping) {
		int64_t now_ms = wwh_now_ms();

		update_summary(peers, now_ms);
		g_mutex_lock(&peers->lock);
		stopping = peers->stopping;
		wwh_membership_tick(peers->membership, now_ms);
		g_mutex_unlock(&peers->lock);
		update_minions(peers, now_ms);
		wwh_peers_relay_config(peers, now_ms);
		wwh_peers_send_loans(peers, now_ms);
		wwh_peers_send_drains(peers, now_ms);
		g_usleep(TICK_MS * MILLISECOND_US);
	}
	return NULL;
}

static void on_frame(const char *from_id, const char *from_address,
		     wwh_frame_kind_t kind, const uint8_t *payload, size_t size,
		     void *client_data)
{
	wwh_entry_peers_t *peers = client_data;

	(void)from_id;
	switch (kind) {
	case WWH_FRAME_GOSSIP:
		g_mutex_lock(&peers->lock);
		(void)wwh_membership_receive(peers->membership, from_address,
					     payload, size, wwh_now_ms());
		g_mutex_unlock(&peers->lock);
		break;
	case WWH_FRAME_VOTE_REQUEST:
		wwh_peers_handle_vote_request(peers, from_address, payload,
					      size);
		break;
	case WWH_FRAME_VOTE_ANSWER:
		wwh_peers_handle_vote(peers, payload, size);
		break;
	case WWH_FRAME_LOAN:
		wwh_peers_handle_loans(peers, payload, size);
		break;
	case WWH_FRAME_DRAIN:
		wwh_peers_handle_drains(peers, payload, size);
		break;
	case WWH_FRAME_CONFIG:
		g_mutex_lock(&peers->relay_lock);
		(void)wwh_config_relay_receive(peers->relay, from_address,
					       payload, size, wwh_now_ms());
		g_mutex_unlock(&peers->relay_lock);
		break;
	default:
		break;
	}
}

static void send_gossip(const char *address, const uint8_t *payload,
			size_t size, void *client_data)
{
	wwh_entry_peers_t *peers = client_data;

	if (peers->peer != NULL)
		(void)wwh_peer_send(peers->peer, address, WWH_FRAME_GOSSIP,
				    payload, size);
}

/* Errors are ignored: the next message of the kind makes up for a lost one. */
void wwh_peers_send(wwh_entry_peers_t *peers, const char *address,
		    wwh_frame_kind_t kind, GBytes *bytes)
{
	gsize size;
	const uint8_t *data;

	if (bytes == NULL)
		return;
	data = g_bytes_get_data(bytes, &size);
	(void)wwh_peer_send(peers->peer, address, kind, data, size);
}

static void update_summary(wwh_entry_peers_t *peers, int64_t now_ms)
{
	wwh_entry_t *entry = peers->entry;
	wwh_member_summary_t summary = {
		.config_version = wwh_entry_config_version(entry),
	};

	g_mutex_lock(&entry->state_lock);
	summary.config_offset = wwh_state_config_offset(entry->state);
	summary.log_offset = wwh_state_last_offset(entry->state);
	g_mutex_unlock(&entry->state_lock);
	g_mutex_lock(&peers->lock);
	wwh_membership_set_summary(peers->membership, &summary, now_ms);
	g_mutex_unlock(&peers->lock);
}

/* Passes changed states of minions to the request table. */
static void update_minions(wwh_entry_peers_t *peers, int64_t now_ms)
{
	wwh_config_t *config;
	int64_t leaving = 0;

	if (now_ms < peers->next_leaving_ms)
		return;
	config = wwh_entry_config(peers->entry);
	if (config == NULL)
		return;
	g_mutex_lock(&peers->lock);
	peers->next_leaving_ms = now_ms + LEAVING_PERIOD_MS;
	for (int32_t i = 0; i < wwh_config_minion_count(config); i++) {
		const wwh_minion_t *minion = wwh_config_minion_at(config, i);
		const char *id = minion->id;
		wwh_minion_state_t state = WWH_MINION_LIVE;
		gpointer last_state =
			g_hash_table_lookup(peers->minion_states, id);

		if (g_hash_table_contains(peers->gone_minions, id))
			state = WWH_MINION_GONE;
		else if (wwh_leaving_contains(peers->leaving, id, now_ms) ||
			 wwh_entry_fleet_is_worker_out(peers->entry->fleet,
						       minion->worker))
			state = WWH_MINION_LEAVING;
		leaving += state != WWH_MINION_LIVE;
		if (GPOINTER_TO_INT(last_state) == (int)state)
			continue;
		g_hash_table_insert(peers->minion_states, g_strdup(id),
				    GINT_TO_POINTER(state));
		wwh_request_table_set_minion_state(peers->entry->requests, id,
						   state);
		g_message("minion %s: %s", id, wwh_minion_state_names[state]);
	}
	g_mutex_unlock(&peers->lock);
	wwh_counter_set(peers->leaving_count, leaving);
	wwh_config_unref(config);
}

GPtrArray *wwh_peers_alive(wwh_entry_peers_t *peers)
{
	GPtrArray *targets = g_ptr_array_new_with_free_func(free_target);
	const char *region = peers->entry->settings->region;

	g_mutex_lock(&peers->lock);
	for (int32_t i = 0; i < wwh_membership_count(peers->membership); i++) {
		wwh_member_t member;
		wwh_peer_target_t *target;

		wwh_membership_at(peers->membership, i, &member);
		if (member.status > WWH_MEMBER_SUSPECT ||
		    strcmp(member.region, region) != 0)
			continue;
		target = g_new0(wwh_peer_target_t, 1);
		target->process = member_process(&member);
		target->address = g_strdup(member.address);
		g_ptr_array_add(targets, target);
	}
	g_mutex_unlock(&peers->lock);
	return targets;
}

static uint64_t member_process(const wwh_member_t *member)
{
	char *author = wwh_entry_author_name(member->id, member->incarnation);
	uint64_t process = wwh_seat_process_id(author);

	g_free(author);
	return process;
}

static void free_target(gpointer data)
{
	wwh_peer_target_t *target = data;

	g_free(target->address);
	g_free(target);
}
