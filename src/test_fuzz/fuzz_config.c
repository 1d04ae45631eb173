#include <assert.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "waxwinghollow/config.h"

/*
 * An odd first byte: the rest is taken for an encoded change. What decodes
 * must encode and decode to the same, and can be restored or is refused.
 *
 * An even one: the rest chooses a row of configurations. Each difference,
 * sent over the wire and applied to the one before, must give the next. The
 * oracle is a listing through the lookups by index, which shares no code with
 * differences.
 */

#define MAX_STEPS 2
#define POOLS 3
#define WORKERS 5
#define SERVICES 3
#define MINIONS 3

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct {
	const uint8_t *at;
	const uint8_t *end;
} source_t;

static uint32_t pick(source_t *source, uint32_t below)
{
	if (source->at == source->end)
		return 0;
	return *source->at++ % below;
}

static void add_workers(source_t *source, GString *text, uint32_t pools)
{
	g_string_append(text, "kind,id,address,rack,zone,region,pool,cores,"
			      "service,port,slots\n");
	for (uint32_t i = 0; i < WORKERS; i++) {
		uint32_t rack = pick(source, 4);

		if (rack == 3)
			continue;
		g_string_append_printf(
			text, "worker,w%u,10.0.0.%u,r%u,z%u,x,p%u,%u,,,\n", i,
			i + 1, rack, rack % 2, pick(source, pools),
			1 + pick(source, 3));
	}
	for (uint32_t i = 0; i < MINIONS; i++) {
		if (pick(source, 3) == 0)
			continue;
		g_string_append_printf(
			text, "minion,m%u,10.0.1.1,,z0,,,,s%u,%u,%u\n", i,
			pick(source, SERVICES), 80 + i, 1 + pick(source, 3));
	}
}

static void add_rules(source_t *source, GString *text, uint32_t pools)
{
	static const char *const paths[SERVICES] = { "/", "/a", "/a/b" };

	g_string_append(text, "{\"pools\": [");
	for (uint32_t i = 0; i < pools; i++)
		g_string_append_printf(text,
				       "%s{\"id\": \"p%u\", "
				       "\"lose_count\": %u}",
				       i == 0 ? "" : ", ", i, pick(source, 4));
	g_string_append(text, "], \"services\": [");
	for (uint32_t i = 0; i < SERVICES; i++)
		g_string_append_printf(
			text,
			"%s{\"id\": \"s%u\", \"path_prefix\": \"%s\", "
			"\"pool\": \"p%u\", \"urgent\": %s}",
			i == 0 ? "" : ", ", i, paths[i], pick(source, pools),
			pick(source, 2) == 0 ? "false" : "true");
	g_string_append_printf(text, "], \"rules\": {\"move_weight\": %u}",
			       pick(source, 3));
	if (pick(source, 2) == 1)
		g_string_append(text, ", \"windows\": [{\"id\": \"n\", "
				      "\"pool\": \"*\"}]");
	g_string_append(text, "}");
}

/* NULL when the choice breaks a rule. */
static wwh_config_t *next_config(source_t *source)
{
	uint32_t pools = 1 + pick(source, POOLS);
	GString *inventory = g_string_new(NULL);
	GString *rules = g_string_new(NULL);
	wwh_config_t *config = wwh_config_new();
	wwh_config_text_t texts[2];

	add_workers(source, inventory, pools);
	add_rules(source, rules, pools);
	texts[0] = (wwh_config_text_t){ "i", inventory->str, inventory->len };
	texts[1] = (wwh_config_text_t){ "r", rules->str, rules->len };
	if (wwh_config_parse(config, &texts[0], &texts[1], NULL, NULL) !=
	    WWH_STATUS_OK) {
		wwh_config_unref(config);
		config = NULL;
	}
	g_string_free(inventory, TRUE);
	g_string_free(rules, TRUE);
	return config;
}

static char *listing(const wwh_config_t *config)
{
	GString *text = g_string_new(NULL);

	for (int32_t i = 0; i < wwh_config_worker_count(config); i++) {
		const wwh_worker_t *at = wwh_config_worker_at(config, i);

		assert(wwh_config_worker(config, at->id) == at);
		g_string_append_printf(text, "w %s %s %s %s %s %s %d\n", at->id,
				       at->address, at->rack, at->zone,
				       at->region, at->pool, at->cores);
	}
	for (int32_t i = 0; i < wwh_config_minion_count(config); i++) {
		const wwh_minion_t *at = wwh_config_minion_at(config, i);

		assert(wwh_config_minion(config, at->id) == at);
		g_string_append_printf(text, "m %s %s %d %d\n", at->id,
				       at->service, at->port, at->slots);
	}
	for (int32_t i = 0; i < wwh_config_pool_count(config); i++) {
		const wwh_pool_t *at = wwh_config_pool_at(config, i);

		g_string_append_printf(text, "p %s %d\n", at->id,
				       at->lose_count);
	}
	for (int32_t i = 0; i < wwh_config_service_count(config); i++) {
		const wwh_service_t *at = wwh_config_service_at(config, i);

		g_string_append_printf(text, "s %s %s %s %d\n", at->id,
				       at->path_prefix, at->pool, at->urgent);
	}
	g_string_append_printf(text, "%d windows, move weight %d\n",
			       wwh_config_window_count(config),
			       wwh_config_rules(config)->move_weight);
	return g_string_free(text, FALSE);
}

static wwh_config_change_t *over_the_wire(const wwh_config_change_t *change)
{
	GBytes *bytes = wwh_config_change_encode(change);
	wwh_config_change_t *decoded = NULL;
	GBytes *again;
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	assert(wwh_config_change_decode(data, size, &decoded, NULL) ==
	       WWH_STATUS_OK);
	again = wwh_config_change_encode(decoded);
	assert(g_bytes_equal(bytes, again));
	g_bytes_unref(again);
	g_bytes_unref(bytes);
	return decoded;
}

static void step(wwh_config_t **held, const wwh_config_t *wanted)
{
	wwh_config_change_t *change = wwh_config_diff(*held, wanted);
	wwh_config_change_t *received = over_the_wire(change);
	wwh_config_t *next = NULL;
	char *expected = listing(wanted);
	char *got;

	assert(wwh_config_apply(*held, received, wwh_config_version(*held) + 1,
				&next, NULL) == WWH_STATUS_OK);
	got = listing(next);
	assert(strcmp(got, expected) == 0);
	wwh_config_unref(*held);
	*held = next;
	g_free(got);
	g_free(expected);
	wwh_config_change_delete(change);
	wwh_config_change_delete(received);
}

static void run_steps(source_t *source)
{
	wwh_config_t *held = wwh_config_new();

	for (int i = 0; i < MAX_STEPS && source->at < source->end; i++) {
		wwh_config_t *wanted = next_config(source);

		if (wanted == NULL)
			continue;
		step(&held, wanted);
		wwh_config_unref(wanted);
	}
	wwh_config_unref(held);
}

static void run_decode(const uint8_t *data, size_t size)
{
	wwh_config_change_t *change = NULL;
	wwh_config_t *config = NULL;
	wwh_message_t message = { "" };

	if (wwh_config_change_decode(data, size, &change, &message) !=
	    WWH_STATUS_OK) {
		assert(change == NULL && message.text[0] != '\0');
		return;
	}
	wwh_config_change_delete(over_the_wire(change));
	if (wwh_config_restore(change, 1, &config, &message) == WWH_STATUS_OK)
		g_free(listing(config));
	wwh_config_unref(config);
	wwh_config_change_delete(change);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	source_t source;

	if (size == 0)
		return 0;
	if (data[0] % 2 == 1) {
		run_decode(data + 1, size - 1);
		return 0;
	}
	source = (source_t){ data + 1, data + size };
	run_steps(&source);
	return 0;
}
