#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <string.h>

#include "../test_standins/include/standin_process.h"
#include "waxwinghollow/membership.h"
#include "waxwinghollow/peer.h"

#define NODES 5
#define TICK_US 10000
#define PATIENCE_US (30 * G_USEC_PER_SEC)

/* A membership over real connections, with a thread that ticks it. */
typedef struct {
	char id[8];
	char *address;
	GRand *rand;
	GMutex lock;
	wwh_membership_t *membership;
	wwh_peer_t *peer;
	GThread *thread;
	volatile gint stop;
} node_t;

static int64_t now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static void send_frame(const char *address, const uint8_t *payload, size_t size,
		       void *client_data)
{
	node_t *node = client_data;

	wwh_peer_send(node->peer, address, WWH_FRAME_GOSSIP, payload, size);
}

static void on_frame(const char *from_id, const char *from,
		     wwh_frame_kind_t kind, const uint8_t *payload, size_t size,
		     void *client_data)
{
	node_t *node = client_data;

	(void)from_id;
	assert_int_equal(kind, WWH_FRAME_GOSSIP);
	g_mutex_lock(&node->lock);
	assert_int_equal(wwh_membership_receive(node->membership, from, payload,
						size, now_ms()),
			 WWH_STATUS_OK);
	g_mutex_unlock(&node->lock);
}

static gpointer run(gpointer data)
{
	node_t *node = data;

	while (!g_atomic_int_get(&node->stop)) {
		g_mutex_lock(&node->lock);
		wwh_membership_tick(node->membership, now_ms());
		g_mutex_unlock(&node->lock);
		g_usleep(TICK_US);
	}
	return NULL;
}

static void start(node_t *node, int32_t index, const char *seed)
{
	const char *const seeds[] = { seed, NULL };
	wwh_membership_options_t members;
	wwh_peer_options_t peers;

	g_snprintf(node->id, sizeof(node->id), "e%d", (int)index);
	node->address =
		g_strdup_printf("127.0.0.1:%d", (int)standin_free_port());
	node->rand = g_rand_new_with_seed((guint32)index);
	node->stop = 0;
	g_mutex_init(&node->lock);
	wwh_membership_options_defaults(&members);
	members.id = node->id;
	members.incarnation = 1;
	members.address = node->address;
	members.zone = "z";
	members.region = "r";
	members.seeds = seeds;
	members.round_ms = 200;
	members.ack_timeout_ms = 100;
	members.suspicion_timeout_ms = 800;
	node->membership =
		wwh_membership_new(&members, node->rand, send_frame, node);
	wwh_peer_options_defaults(&peers);
	peers.cluster = "test";
	peers.id = node->id;
	peers.listen = node->address;
	peers.on_frame = on_frame;
	peers.client_data = node;
	node->peer = wwh_peer_new(&peers);
	assert_int_equal(wwh_peer_init(node->peer, NULL), WWH_STATUS_OK);
	node->thread = g_thread_new("tick", run, node);
}

static void stop(node_t *node)
{
	if (node->thread == NULL)
		return;
	g_atomic_int_set(&node->stop, 1);
	g_thread_join(node->thread);
	node->thread = NULL;
	wwh_peer_finish(node->peer);
	wwh_peer_delete(node->peer);
	wwh_membership_delete(node->membership);
	g_rand_free(node->rand);
	g_mutex_clear(&node->lock);
	g_free(node->address);
}

/* Waits until each node that runs counts so many others as status. */
static void wait_counts(node_t *nodes, wwh_member_status_t status,
			int32_t count)
{
	int64_t end = g_get_monotonic_time() + PATIENCE_US;

	for (int32_t i = 0; i < NODES; i++) {
		int32_t found = -1;

		while (nodes[i].thread != NULL && found != count) {
			assert_true(g_get_monotonic_time() < end);
			g_usleep(TICK_US);
			g_mutex_lock(&nodes[i].lock);
			found = wwh_membership_count_status(nodes[i].membership,
							    status);
			g_mutex_unlock(&nodes[i].lock);
		}
	}
}

static void wait_newest(node_t *nodes, int64_t version)
{
	int64_t end = g_get_monotonic_time() + PATIENCE_US;

	for (int32_t i = 0; i < NODES; i++) {
		const char *address;
		int64_t newest = -1;

		while (nodes[i].thread != NULL && newest != version) {
			assert_true(g_get_monotonic_time() < end);
			g_usleep(TICK_US);
			g_mutex_lock(&nodes[i].lock);
			newest = wwh_membership_newest_config(
				nodes[i].membership, &address);
			g_mutex_unlock(&nodes[i].lock);
		}
	}
}

/*
 * Five processes' worth of peers and memberships over real connections find
 * each other from one address, learn of a new version, and find one that
 * stopped without a word.
 */
static void members_over_real_connections(void **unused)
{
	node_t nodes[NODES] = { 0 };
	wwh_member_summary_t summary = { .config_version = 7 };
	char *seed;

	(void)unused;
	start(&nodes[0], 0, "127.0.0.1:1");
	seed = g_strdup(nodes[0].address);
	for (int32_t i = 1; i < NODES; i++)
		start(&nodes[i], i, seed);
	wait_counts(nodes, WWH_MEMBER_ALIVE, NODES - 1);
	g_mutex_lock(&nodes[2].lock);
	wwh_membership_set_summary(nodes[2].membership, &summary, now_ms());
	g_mutex_unlock(&nodes[2].lock);
	wait_newest(nodes, 7);
	stop(&nodes[4]);
	wait_counts(nodes, WWH_MEMBER_DEAD, 1);
	wait_counts(nodes, WWH_MEMBER_ALIVE, NODES - 2);
	for (int32_t i = 0; i < NODES; i++)
		stop(&nodes[i]);
	g_free(seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(members_over_real_connections),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
