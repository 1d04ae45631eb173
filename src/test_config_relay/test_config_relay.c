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
 * A process with a relay. Its "configuration" is a text; a change appends to
 * it, a get_full_config replaces it.
 */
typedef struct node node_t;
struct node {
	const char *address;
	wwh_config_relay_t *relay;
	GString *config;
	int64_t version;
	node_t *peer;
	int32_t lose; /* so many messages to the peer are lost */
	bool refuses;
	int64_t now_ms;
};

static void send_to_peer(const char *address, const uint8_t *payload,
			 size_t size, void *client_data)
{
	node_t *node = client_data;

	assert_string_equal(address, node->peer->address);
	if (node->lose > 0) {
		node->lose--;
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
	if (node->refuses)
		return false;
	if (from == 0)
		g_string_truncate(node->config, 0);
	g_string_append_len(node->config, data, (gssize)size);
	node->version = version;
	return true;
}

static void start(node_t *node, const char *address, node_t *peer)
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

static void stop(node_t *node)
{
	wwh_config_relay_delete(node->relay);
	g_string_free(node->config, TRUE);
}

/* The log brings the node count versions, each with a change of that size. */
static void publish(node_t *node, int32_t count, size_t size)
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

static void tick_for(node_t *node, int64_t duration_ms)
{
	for (int64_t t = 0; t < duration_ms; t += 100) {
		node->now_ms += 100;
		node->peer->now_ms += 100;
		wwh_config_relay_tick(node->relay, node->peer->version,
				      node->peer->address, node->now_ms);
	}
}

static void expect_same(const node_t *a, const node_t *b)
{
	assert_int_equal(a->version, b->version);
	assert_string_equal(a->config->str, b->config->str);
}

/* A process that can't reach the log has the changes after a second. */
static void missing_changes_come_from_a_peer(void **unused)
{
	node_t a;
	node_t b;

	(void)unused;
	start(&a, "a", &b);
	start(&b, "b", &a);
	publish(&a, 3, 50);
	tick_for(&b, 900);
	assert_int_equal(b.version, 0);
	tick_for(&b, 300);
	expect_same(&a, &b);
	publish(&a, 1, 50);
	tick_for(&b, 1300);
	expect_same(&a, &b);
	assert_int_equal(wwh_config_relay_stats(a.relay)->served_changes, 4);
	assert_int_equal(wwh_config_relay_stats(a.relay)->served_wholes, 0);
	stop(&a);
	stop(&b);
}

/* It was away for longer than changes are kept: it gets the get_full_config, in parts. */
static void whole_comes_when_changes_are_gone(void **unused)
{
	node_t a;
	node_t b;

	(void)unused;
	start(&a, "a", &b);
	start(&b, "b", &a);
	publish(&b, 1, 50);
	publish(&a, 30, 20000);
	tick_for(&b, 1300);
	expect_same(&a, &b);
	assert_int_equal(wwh_config_relay_stats(a.relay)->served_wholes, 1);
	publish(&a, 1, 50);
	tick_for(&b, 1300);
	expect_same(&a, &b);
	assert_int_equal(wwh_config_relay_stats(a.relay)->served_wholes, 1);
	stop(&a);
	stop(&b);
}

/*
 * A part of the get_full_config is lost with its connection. What came so far must not
 * be taken for a get_full_config; it asks again.
 */
static void lost_part_starts_anew(void **unused)
{
	node_t a;
	node_t b;

	(void)unused;
	start(&a, "a", &b);
	start(&b, "b", &a);
	publish(&a, 30, 20000);
	a.lose = 1;
	tick_for(&b, 1300);
	assert_int_equal(b.version, 0);
	tick_for(&b, 10000);
	expect_same(&a, &b);
	assert_true(wwh_config_relay_stats(b.relay)->asked >= 2);
	stop(&a);
	stop(&b);
}

/* A peer sends what nobody asked for, or an older version: no effect. */
static void only_what_was_asked_for_is_taken(void **unused)
{
	/* [1, 0, 9, 90, 0, 1, bin "x"] */
	static const uint8_t part[] = { 0x97, 1, 0, 9, 90, 0, 1, 0xc4, 1, 'x' };
	node_t a;
	node_t b;

	(void)unused;
	start(&a, "a", &b);
	start(&b, "b", &a);
	assert_int_equal(wwh_config_relay_receive(b.relay, "a", part,
						  sizeof(part), START_MS),
			 WWH_STATUS_BAD_INPUT);
	publish(&b, 12, 5);
	a.lose = 1;
	publish(&a, 13, 5);
	tick_for(&b, 1300);
	assert_int_equal(wwh_config_relay_stats(b.relay)->asked, 1);
	assert_int_equal(wwh_config_relay_receive(b.relay, "a", part,
						  sizeof(part), b.now_ms),
			 WWH_STATUS_BAD_INPUT);
	assert_int_equal(wwh_config_relay_receive(b.relay, "c", part,
						  sizeof(part), b.now_ms),
			 WWH_STATUS_BAD_INPUT);
	assert_int_equal(b.version, 12);
	stop(&a);
	stop(&b);
}

/* A peer that never answers, or whose answer is refused, isn't pestered. */
static void requests_back_off(void **unused)
{
	node_t a;
	node_t b;

	(void)unused;
	start(&a, "a", &b);
	start(&b, "b", &a);
	publish(&a, 1, 5);
	b.refuses = true;
	tick_for(&b, 240000);
	assert_in_range(wwh_config_relay_stats(b.relay)->asked, 5, 13);
	stop(&a);
	stop(&b);
}

/* Many that start at once don't take all of a peer's network. */
static void wholes_are_spaced(void **unused)
{
	static const uint8_t request[] = { 0x92, 0, 0 };
	node_t a;
	node_t b;

	(void)unused;
	start(&a, "a", &b);
	start(&b, "b", &a);
	publish(&a, 30, 500);
	for (int i = 0; i < 100; i++)
		wwh_config_relay_receive(a.relay, "b", request, sizeof(request),
					 START_MS + i * 10);
	assert_int_equal(wwh_config_relay_stats(a.relay)->served_wholes, 2);
	assert_int_equal(wwh_config_relay_stats(a.relay)->put_off, 98);
	stop(&a);
	stop(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(missing_changes_come_from_a_peer),
		cmocka_unit_test(whole_comes_when_changes_are_gone),
		cmocka_unit_test(lost_part_starts_anew),
		cmocka_unit_test(only_what_was_asked_for_is_taken),
		cmocka_unit_test(requests_back_off),
		cmocka_unit_test(wholes_are_spaced),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
