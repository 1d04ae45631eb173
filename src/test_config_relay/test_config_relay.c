#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "waxwinghollow/config_relay.h"

#define START_MS 10000

/*
 * A process with a relay. Its configuration is a string: a change appends to
 * it, a full configuration replaces it.
 */
typedef struct node node_t;
struct node {
	const char *address;
	wwh_config_relay_t *relay;
	GString *config;
	int64_t version;
	node_t *peer;
	int32_t messages_to_drop; /* next messages to the peer */
	bool rejects_changes;
	int64_t now_ms;
};

static void send_to_peer(const char *address, const uint8_t *payload,
			 size_t size, void *client_data)
{
	node_t *node = client_data;

	assert_string_equal(address, node->peer->address);
	if (node->messages_to_drop > 0) {
		node->messages_to_drop--;
		return;
	}
	wwh_config_relay_receive(node->peer->relay, node->address, payload,
				 size, node->now_ms);
}

static GBytes *get_full_config(int64_t *version, int64_t *offset,
			       void *client_data)
{
	node_t *node = client_data;

	*version = node->version;
	*offset = node->version * 10;
	return g_bytes_new(node->config->str, node->config->len);
}

static bool install(int64_t from, int64_t version, int64_t offset,
		    GBytes *change, void *client_data)
{
	node_t *node = client_data;
	gsize size;
	const char *data = g_bytes_get_data(change, &size);

	assert_true(from == 0 || from == node->version);
	assert_true(version > node->version);
	assert_int_equal(offset, version * 10);
	if (node->rejects_changes)
		return false;
	if (from == 0)
		g_string_truncate(node->config, 0);
	g_string_append_len(node->config, data, (gssize)size);
	node->version = version;
	return true;
}

static void node_start(node_t *node, const char *address, node_t *peer)
{
	wwh_config_relay_options_t options;

	*node = (node_t){ .address = address,
			  .peer = peer,
			  .now_ms = START_MS,
			  .config = g_string_new(NULL) };
	wwh_config_relay_options_defaults(&options);
	options.max_retained_bytes = 1000;
	options.send = send_to_peer;
	options.get_full_config = get_full_config;
	options.install = install;
	options.client_data = node;
	node->relay = wwh_config_relay_new(&options);
}

static void node_stop(node_t *node)
{
	wwh_config_relay_delete(node->relay);
	g_string_free(node->config, TRUE);
}

/* The node replays count versions from the log, each a change of size bytes. */
static void node_replay_log(node_t *node, int32_t count, size_t size)
{
	char *text = g_malloc(size);

	for (int32_t i = 0; i < count; i++) {
		GBytes *change;

		node->version++;
		memset(text, 'a' + (int)(node->version % 26), size);
		change = g_bytes_new(text, size);
		g_string_append_len(node->config, text, (gssize)size);
		wwh_config_relay_add_change(node->relay, node->version,
					    node->version * 10, change);
		g_bytes_unref(change);
	}
	g_free(text);
}

static void node_tick_for(node_t *node, int64_t duration_ms)
{
	for (int64_t t = 0; t < duration_ms; t += 100) {
		node->now_ms += 100;
		node->peer->now_ms += 100;
		wwh_config_relay_tick(node->relay, node->peer->version,
				      node->peer->address, node->now_ms);
	}
}

static void assert_same_config(const node_t *a, const node_t *b)
{
	assert_int_equal(a->version, b->version);
	assert_string_equal(a->config->str, b->config->str);
}

/*
 * A process that can't reach the log requests the missing changes from a peer
 * once the request delay of one second is over.
 */
static void missing_changes_are_fetched_from_a_peer(void **unused)
{
	node_t a;
	node_t b;

	(void)unused;
	node_start(&a, "a", &b);
	node_start(&b, "b", &a);
	node_replay_log(&a, 3, 50);
	node_tick_for(&b, 900);
	assert_int_equal(b.version, 0);
	node_tick_for(&b, 300);
	assert_same_config(&a, &b);
	node_replay_log(&a, 1, 50);
	node_tick_for(&b, 1300);
	assert_same_config(&a, &b);
	assert_int_equal(wwh_config_relay_stats(a.relay)->served_changes, 4);
	assert_int_equal(wwh_config_relay_stats(a.relay)->served_full, 0);
	node_stop(&a);
	node_stop(&b);
}

/*
 * The changes that a process misses are no longer retained: it receives the
 * full configuration, in parts.
 */
static void full_config_is_served_when_changes_are_dropped(void **unused)
{
	node_t a;
	node_t b;

	(void)unused;
	node_start(&a, "a", &b);
	node_start(&b, "b", &a);
	node_replay_log(&b, 1, 50);
	node_replay_log(&a, 30, 20000);
	node_tick_for(&b, 1300);
	assert_same_config(&a, &b);
	assert_int_equal(wwh_config_relay_stats(a.relay)->served_full, 1);
	node_replay_log(&a, 1, 50);
	node_tick_for(&b, 1300);
	assert_same_config(&a, &b);
	assert_int_equal(wwh_config_relay_stats(a.relay)->served_full, 1);
	node_stop(&a);
	node_stop(&b);
}

/*
 * A part of a full configuration is lost with its connection. The parts
 * received so far must not be installed; the request is repeated.
 */
static void lost_part_restarts_the_transfer(void **unused)
{
	node_t a;
	node_t b;

	(void)unused;
	node_start(&a, "a", &b);
	node_start(&b, "b", &a);
	node_replay_log(&a, 30, 20000);
	a.messages_to_drop = 1;
	node_tick_for(&b, 1300);
	assert_int_equal(b.version, 0);
	node_tick_for(&b, 10000);
	assert_same_config(&a, &b);
	assert_true(wwh_config_relay_stats(b.relay)->requests_sent >= 2);
	node_stop(&a);
	node_stop(&b);
}

/* Parts that were not requested or make an older version have no effect. */
static void unrequested_parts_are_rejected(void **unused)
{
	/* [1, 0, 9, 90, 0, 1, bin "x"] */
	static const uint8_t part[] = { 0x97, 1, 0, 9, 90, 0, 1, 0xc4, 1, 'x' };
	node_t a;
	node_t b;

	(void)unused;
	node_start(&a, "a", &b);
	node_start(&b, "b", &a);
	assert_int_equal(wwh_config_relay_receive(b.relay, "a", part,
						  sizeof(part), START_MS),
			 WWH_STATUS_BAD_INPUT);
	node_replay_log(&b, 12, 5);
	a.messages_to_drop = 1;
	node_replay_log(&a, 13, 5);
	node_tick_for(&b, 1300);
	assert_int_equal(wwh_config_relay_stats(b.relay)->requests_sent, 1);
	assert_int_equal(wwh_config_relay_receive(b.relay, "a", part,
						  sizeof(part), b.now_ms),
			 WWH_STATUS_BAD_INPUT);
	assert_int_equal(wwh_config_relay_receive(b.relay, "c", part,
						  sizeof(part), b.now_ms),
			 WWH_STATUS_BAD_INPUT);
	assert_int_equal(b.version, 12);
	node_stop(&a);
	node_stop(&b);
}

/* Requests back off while every answer is rejected. */
static void requests_back_off(void **unused)
{
	node_t a;
	node_t b;

	(void)unused;
	node_start(&a, "a", &b);
	node_start(&b, "b", &a);
	node_replay_log(&a, 1, 5);
	b.rejects_changes = true;
	node_tick_for(&b, 240000);
	assert_in_range(wwh_config_relay_stats(b.relay)->requests_sent, 5, 13);
	node_stop(&a);
	node_stop(&b);
}

/*
 * Many processes that start at once request the full configuration. Serving
 * each of them immediately would use up the network share of the peer.
 */
static void full_configs_are_rate_limited(void **unused)
{
	static const uint8_t request[] = { 0x92, 0, 0 };
	node_t a;
	node_t b;

	(void)unused;
	node_start(&a, "a", &b);
	node_start(&b, "b", &a);
	node_replay_log(&a, 30, 500);
	for (int i = 0; i < 100; i++)
		wwh_config_relay_receive(a.relay, "b", request, sizeof(request),
					 START_MS + i * 10);
	assert_int_equal(wwh_config_relay_stats(a.relay)->served_full, 2);
	assert_int_equal(wwh_config_relay_stats(a.relay)->deferred_full, 98);
	node_stop(&a);
	node_stop(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(missing_changes_are_fetched_from_a_peer),
		cmocka_unit_test(
			full_config_is_served_when_changes_are_dropped),
		cmocka_unit_test(lost_part_restarts_the_transfer),
		cmocka_unit_test(unrequested_parts_are_rejected),
		cmocka_unit_test(requests_back_off),
		cmocka_unit_test(full_configs_are_rate_limited),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
