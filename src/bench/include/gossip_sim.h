#ifndef GOSSIP_SIM_H
#define GOSSIP_SIM_H

/*
 * Memberships in one process on a virtual clock, with a delay for each pair
 * and links that can be cut. Nothing of the platform is in it but a list.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include "waxwinghollow/membership.h"

#define SIM_STEP_MS 5
#define SIM_TICK_MS 50
#define SIM_START_MS 1000
#define SIM_INCARNATION 1796000000000 /* a wall clock, so of that length */
/* Frame header, one data packet and one acknowledgement of TCP/IP. */
#define SIM_MESSAGE_BYTES (12 + 52 + 52)

typedef struct sim sim_t;

typedef struct {
	sim_t *sim;
	int32_t index;
	int32_t region;
	int32_t zone;
	char *id;
	char *address;
	char *zone_name;
	char *region_name;
	GRand *rand;
	wwh_leaving_t *leaving;
	wwh_membership_t *membership;
	wwh_member_summary_t summary;
	bool down; /* killed */
	bool paused; /* gets its messages when it goes on */
	int64_t bytes; /* in and out */
} sim_node_t;

typedef struct {
	int32_t from;
	int32_t to;
	int64_t at_ms;
	GBytes *payload;
} sim_message_t;

/* Whether a message from one to the other is lost. */
typedef bool (*sim_cut_t)(const sim_node_t *from, const sim_node_t *to);

struct sim {
	int32_t count;
	sim_node_t *nodes;
	GHashTable *by_address; /* to index + 1 */
	GPtrArray *messages; /* sim_message_t *, in order of sending */
	sim_cut_t cut; /* NULL: none */
	int64_t now_ms;
};

static inline void sim_message_free(gpointer data)
{
	sim_message_t *message = data;

	g_bytes_unref(message->payload);
	g_free(message);
}

static inline int64_t sim_delay_ms(const sim_node_t *a, const sim_node_t *b)
{
	if (a->region != b->region)
		return 80;
	return a->zone == b->zone ? 1 : 2;
}

static inline void sim_send(const char *address, const uint8_t *payload,
			    size_t size, void *client_data)
{
	sim_node_t *from = client_data;
	sim_t *sim = from->sim;
	int32_t index =
		GPOINTER_TO_INT(g_hash_table_lookup(sim->by_address, address));
	sim_message_t *message;

	if (index == 0)
		return;
	message = g_new0(sim_message_t, 1);
	message->from = from->index;
	message->to = index - 1;
	message->at_ms =
		sim->now_ms + sim_delay_ms(from, &sim->nodes[index - 1]);
	message->payload = g_bytes_new(payload, size);
	from->bytes += (int64_t)size + SIM_MESSAGE_BYTES;
	g_ptr_array_add(sim->messages, message);
}

static inline void sim_node_start(sim_node_t *node, const char *const *seeds,
				  uint64_t incarnation)
{
	wwh_membership_options_t options;

	wwh_membership_options_defaults(&options);
	options.id = node->id;
	options.incarnation = incarnation;
	options.address = node->address;
	options.zone = node->zone_name;
	options.region = node->region_name;
	options.seeds = seeds;
	options.leaving = node->leaving;
	node->membership =
		wwh_membership_new(&options, node->rand, sim_send, node);
}

/* Zones are numbered through all regions; every process has three seeds. */
static inline sim_t *sim_new(int32_t count, int32_t regions, int32_t zones,
			     uint32_t seed)
{
	sim_t *sim = g_new0(sim_t, 1);
	const char *seeds[4] = { NULL };

	sim->count = count;
	sim->nodes = g_new0(sim_node_t, (gsize)count);
	sim->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	sim->messages = g_ptr_array_new_with_free_func(sim_message_free);
	sim->now_ms = SIM_START_MS;
	for (int32_t i = 0; i < count; i++) {
		sim_node_t *node = &sim->nodes[i];

		node->sim = sim;
		node->index = i;
		node->zone = i % zones;
		node->region = node->zone % regions;
		node->id = g_strdup_printf("entry-%03d", (int)i);
		node->address = g_strdup_printf("10.0.%d.%d:7400", (int)i / 250,
						(int)i % 250 + 1);
		node->zone_name = g_strdup_printf("zone-%d", (int)node->zone);
		node->region_name =
			g_strdup_printf("region-%d", (int)node->region);
		node->rand = g_rand_new_with_seed(seed + (uint32_t)i);
		node->leaving = wwh_leaving_new();
		g_hash_table_insert(sim->by_address, node->address,
				    GINT_TO_POINTER(i + 1));
	}
	for (int32_t i = 0; i < MIN(3, count); i++)
		seeds[i] = sim->nodes[i].address;
	for (int32_t i = 0; i < count; i++)
		sim_node_start(&sim->nodes[i], seeds, SIM_INCARNATION);
	return sim;
}

static inline void sim_delete(sim_t *sim)
{
	for (int32_t i = 0; i < sim->count; i++) {
		sim_node_t *node = &sim->nodes[i];

		wwh_membership_delete(node->membership);
		wwh_leaving_delete(node->leaving);
		g_rand_free(node->rand);
		g_free(node->id);
		g_free(node->address);
		g_free(node->zone_name);
		g_free(node->region_name);
	}
	g_ptr_array_unref(sim->messages);
	g_hash_table_destroy(sim->by_address);
	g_free(sim->nodes);
	g_free(sim);
}

static inline void sim_deliver(sim_t *sim, const sim_message_t *message)
{
	const sim_node_t *from = &sim->nodes[message->from];
	sim_node_t *to = &sim->nodes[message->to];
	gsize size;
	const uint8_t *data = g_bytes_get_data(message->payload, &size);

	if (to->down || (sim->cut != NULL && sim->cut(from, to)))
		return;
	to->bytes += (int64_t)size + SIM_MESSAGE_BYTES;
	wwh_membership_receive(to->membership, from->address, data, size,
			       sim->now_ms);
}

static inline void sim_step(sim_t *sim)
{
	guint kept = 0;
	GPtrArray *due = g_ptr_array_new_with_free_func(sim_message_free);

	sim->now_ms += SIM_STEP_MS;
	for (guint i = 0; i < sim->messages->len; i++) {
		sim_message_t *message = sim->messages->pdata[i];

		if (message->at_ms <= sim->now_ms &&
		    !sim->nodes[message->to].paused)
			g_ptr_array_add(due, message);
		else
			sim->messages->pdata[kept++] = message;
	}
	sim->messages->len = kept;
	for (guint i = 0; i < due->len; i++)
		sim_deliver(sim, due->pdata[i]);
	g_ptr_array_unref(due);
	for (int32_t i = 0; i < sim->count; i++) {
		sim_node_t *node = &sim->nodes[i];

		if (node->down || node->paused ||
		    (sim->now_ms + i * SIM_STEP_MS) % SIM_TICK_MS != 0)
			continue;
		wwh_membership_set_summary(node->membership, &node->summary,
					   sim->now_ms);
		wwh_membership_tick(node->membership, sim->now_ms);
	}
}

static inline void sim_run(sim_t *sim, int64_t duration_ms)
{
	int64_t end_ms = sim->now_ms + duration_ms;

	while (sim->now_ms < end_ms)
		sim_step(sim);
}

/* Whether what a condition asks of each process that is up holds for all. */
typedef bool (*sim_condition_t)(const sim_node_t *node, int64_t argument);

static inline bool sim_all(const sim_t *sim, sim_condition_t condition,
			   int64_t argument)
{
	for (int32_t i = 0; i < sim->count; i++)
		if (!sim->nodes[i].down && !condition(&sim->nodes[i], argument))
			return false;
	return true;
}

/* How long until it holds for all; -1: not within limit_ms. */
static inline int64_t sim_until(sim_t *sim, sim_condition_t condition,
				int64_t argument, int64_t limit_ms)
{
	int64_t start_ms = sim->now_ms;

	while (!sim_all(sim, condition, argument)) {
		if (sim->now_ms - start_ms >= limit_ms)
			return -1;
		sim_step(sim);
	}
	return sim->now_ms - start_ms;
}

/* The status that node gives to the process of that number. */
static inline wwh_member_status_t sim_status(const sim_node_t *node, int64_t of)
{
	wwh_member_t member;
	int32_t count = wwh_membership_count(node->membership);

	for (int32_t i = 0; i < count; i++) {
		wwh_membership_at(node->membership, i, &member);
		if (strcmp(member.id, node->sim->nodes[of].id) == 0)
			return member.status;
	}
	return WWH_MEMBER_STATUS_COUNT;
}

static inline bool sim_knows_alive(const sim_node_t *node, int64_t count)
{
	return wwh_membership_count_status(node->membership,
					   WWH_MEMBER_ALIVE) >= count;
}

static inline bool sim_knows_newest(const sim_node_t *node, int64_t version)
{
	const char *address;

	return wwh_membership_newest_config(node->membership, &address) >=
	       version;
}

static inline bool sim_knows_all_versions(const sim_node_t *node,
					  int64_t version)
{
	wwh_member_t member;
	int32_t count = wwh_membership_count(node->membership);

	for (int32_t i = 0; i < count; i++) {
		wwh_membership_at(node->membership, i, &member);
		if (member.status == WWH_MEMBER_ALIVE &&
		    member.summary.config_version < version)
			return false;
	}
	return true;
}

static inline bool sim_holds_dead(const sim_node_t *node, int64_t of)
{
	return node->index == of || sim_status(node, of) == WWH_MEMBER_DEAD;
}

static inline bool sim_holds_alive(const sim_node_t *node, int64_t of)
{
	return node->index == of || sim_status(node, of) == WWH_MEMBER_ALIVE;
}

static inline bool sim_holds_left(const sim_node_t *node, int64_t of)
{
	return node->index == of || sim_status(node, of) == WWH_MEMBER_LEFT;
}

#endif
