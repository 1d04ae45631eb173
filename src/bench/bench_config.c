/*
 * bench_config - what a configuration costs at today's size and at the
 * target's: time to read, check, compare and apply it, bytes on the log and
 * memory. Times are medians.
 */

#include <assert.h>
#include <malloc.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "waxwinghollow/config.h"

#define RUNS 15
#define US_PER_MS 1000.0
#define KB 1024.0

/* 50: a deployment of today; 5100: the target; 500: between. */
static const struct {
	int32_t workers;
	int32_t pools;
	int32_t teams;
	int32_t regions;
	int32_t zones;
} sizes[] = {
	{ 50, 5, 3, 1, 3 },
	{ 500, 23, 9, 1, 4 },
	{ 5100, 232, 83, 8, 17 },
};

typedef struct {
	char *csv;
	char *json;
	char *changed_csv; /* csv with one worker in another pool */
	char *rules;
} texts_t;

static void add_worker(GString *csv, GString *json, int32_t i, size_t size,
		       int32_t pool)
{
	int32_t rack = i / 4;
	int32_t zone = rack % sizes[size].zones;
	int32_t region = zone % sizes[size].regions;

	g_string_append_printf(
		csv,
		"worker,w%04d,10.%d.%d.%d,r%04d,z%02d,region-%d,pool-%03d,32,"
		"131072,1,,,\n",
		i, i / 60000, i / 250, i % 250 + 1, rack, zone, region, pool);
	if (json == NULL)
		return;
	g_string_append_printf(
		json,
		"%s{\"id\": \"w%04d\", \"address\": \"10.%d.%d.%d\", "
		"\"rack\": \"r%04d\", \"zone\": \"z%02d\", "
		"\"region\": \"region-%d\", \"pool\": \"pool-%03d\", "
		"\"cores\": 32, \"memory_mb\": 131072, \"accelerators\": 1}\n",
		i == 0 ? "" : ",", i, i / 60000, i / 250, i % 250 + 1, rack,
		zone, region, pool);
}

static char *inventory_csv(size_t size, int32_t changed, GString *json)
{
	GString *csv = g_string_new("kind,id,address,rack,zone,region,pool,"
				    "cores,memory_mb,accelerators,service,"
				    "worker,port\n");

	for (int32_t i = 0; i < sizes[size].workers; i++)
		add_worker(csv, json, i, size,
			   (i == changed ? i + 1 : i) % sizes[size].pools);
	for (int32_t i = 0; i < sizes[size].workers; i++)
		g_string_append_printf(csv,
				       "minion,m%04d,10.%d.%d.%d,,,,,,,,"
				       "service-%03d,w%04d,8080\n",
				       i, i / 60000, i / 250, i % 250 + 1,
				       i % sizes[size].pools, i);
	return g_string_free(csv, FALSE);
}

static char *inventory_json(size_t size)
{
	GString *json = g_string_new("{\"workers\": [\n");

	g_free(inventory_csv(size, -1, json));
	g_string_append(json, "], \"minions\": [\n");
	for (int32_t i = 0; i < sizes[size].workers; i++)
		g_string_append_printf(
			json,
			"%s{\"id\": \"m%04d\", \"service\": \"service-%03d\", "
			"\"worker\": \"w%04d\", \"address\": \"10.%d.%d.%d\", "
			"\"port\": 8080}\n",
			i == 0 ? "" : ",", i, i % sizes[size].pools, i,
			i / 60000, i / 250, i % 250 + 1);
	g_string_append(json, "]}");
	return g_string_free(json, FALSE);
}

static char *rules(size_t size)
{
	GString *text = g_string_new("{\"pools\": [\n");

	for (int32_t i = 0; i < sizes[size].pools; i++)
		g_string_append_printf(text,
				       "%s{\"id\": \"pool-%03d\", "
				       "\"lose_count\": 6, "
				       "\"reserve\": \"rack\"}\n",
				       i == 0 ? "" : ",", i);
	g_string_append(text, "], \"services\": [\n");
	for (int32_t i = 0; i < sizes[size].pools; i++)
		g_string_append_printf(text,
				       "%s{\"id\": \"service-%03d\", "
				       "\"path_prefix\": \"/service-%03d\", "
				       "\"pool\": \"pool-%03d\"}\n",
				       i == 0 ? "" : ",", i, i, i);
	g_string_append(text, "], \"teams\": [\n");
	for (int32_t i = 0; i < sizes[size].teams; i++)
		g_string_append_printf(text,
				       "%s{\"id\": \"team-%02d\", "
				       "\"cores\": 64}\n",
				       i == 0 ? "" : ",", i);
	g_string_append(text, "], \"windows\": [{\"id\": \"nights\", "
			      "\"pool\": \"*\"}]}");
	return g_string_free(text, FALSE);
}

static void print_error(const char *file, int32_t line, const char *text,
			void *unused)
{
	(void)unused;
	fprintf(stderr, "%s:%d: %s\n", file, line, text);
}

static wwh_config_t *parse(const char *inventory, const char *rules_text)
{
	const wwh_config_text_t texts[] = {
		{ "inventory", inventory, strlen(inventory) },
		{ "rules", rules_text, strlen(rules_text) },
	};
	wwh_config_t *config = wwh_config_new();

	if (wwh_config_parse(config, &texts[0], &texts[1], print_error, NULL) !=
	    WWH_STATUS_OK)
		exit(EXIT_FAILURE);
	return config;
}

static int compare_times(const void *a, const void *b)
{
	const int64_t *first = a;
	const int64_t *second = b;

	return (*first > *second) - (*first < *second);
}

static double median_ms(int64_t *times_us)
{
	const int middle = RUNS / 2;

	qsort(times_us, RUNS, sizeof(*times_us), compare_times);
	return (double)times_us[middle] / US_PER_MS;
}

static double parse_ms(const char *inventory, const char *rules_text)
{
	int64_t times_us[RUNS];

	for (int run = 0; run < RUNS; run++) {
		int64_t start_us = g_get_monotonic_time();
		wwh_config_t *config = parse(inventory, rules_text);

		times_us[run] = g_get_monotonic_time() - start_us;
		wwh_config_unref(config);
	}
	return median_ms(times_us);
}

/* Times of the way of one change through the log, and its bytes. */
static void print_change(const char *what, const wwh_config_t *from,
			 const wwh_config_t *to)
{
	int64_t diff_us[RUNS];
	int64_t decode_us[RUNS];
	int64_t apply_us[RUNS];
	size_t bytes = 0;
	int32_t items = 0;

	for (int run = 0; run < RUNS; run++) {
		int64_t start_us = g_get_monotonic_time();
		wwh_config_change_t *change = wwh_config_diff(from, to);
		GBytes *encoded = wwh_config_change_encode(change);
		int64_t encoded_us = g_get_monotonic_time();
		const uint8_t *data = g_bytes_get_data(encoded, &bytes);
		wwh_config_change_t *decoded;
		wwh_config_t *next;
		int64_t decoded_us;

		if (wwh_config_change_decode(data, bytes, &decoded, NULL) !=
		    WWH_STATUS_OK)
			exit(EXIT_FAILURE);
		decoded_us = g_get_monotonic_time();
		if (wwh_config_apply(from, decoded,
				     wwh_config_version(from) + 1, &next,
				     NULL) != WWH_STATUS_OK)
			exit(EXIT_FAILURE);
		apply_us[run] = g_get_monotonic_time() - decoded_us;
		decode_us[run] = decoded_us - encoded_us;
		diff_us[run] = encoded_us - start_us;
		items = wwh_config_change_count(change);
		wwh_config_unref(next);
		wwh_config_change_delete(decoded);
		wwh_config_change_delete(change);
		g_bytes_unref(encoded);
	}
	printf("  %-10s %6d items %9zu bytes  diff+encode %8.3f ms  "
	       "decode %8.3f ms  apply+check %8.3f ms\n",
	       what, items, bytes, median_ms(diff_us), median_ms(decode_us),
	       median_ms(apply_us));
}

static void print_route(const wwh_config_t *config, size_t size)
{
	enum {
		LOOKUPS = 20000
	};
	int64_t start_us = g_get_monotonic_time();
	int32_t found = 0;

	for (int i = 0; i < LOOKUPS; i++) {
		char path[64];

		(void)g_snprintf(path, sizeof(path), "/service-%03d/x?y=1",
				 i % sizes[size].pools);
		found += wwh_config_route(config, path) != NULL ? 1 : 0;
	}
	assert(found == LOOKUPS);
	printf("  route %.3f us a lookup of %d services\n",
	       (double)(g_get_monotonic_time() - start_us) / LOOKUPS,
	       wwh_config_service_count(config));
}

static size_t used_bytes(void)
{
	return mallinfo2().uordblks;
}

static void print_memory(const wwh_config_t *config,
			 const wwh_config_t *changed)
{
	wwh_config_change_t *change = wwh_config_diff(config, changed);
	size_t before = used_bytes();
	wwh_config_t *next;

	if (wwh_config_apply(config, change, wwh_config_version(config) + 1,
			     &next, NULL) != WWH_STATUS_OK)
		exit(EXIT_FAILURE);
	printf("  memory of one more version with one item changed: "
	       "%.1f KB\n",
	       (double)(used_bytes() - before) / KB);
	wwh_config_unref(next);
	wwh_config_change_delete(change);
}

static void bench(size_t size)
{
	texts_t texts = {
		.csv = inventory_csv(size, -1, NULL),
		.json = inventory_json(size),
		.changed_csv = inventory_csv(size, 7, NULL),
		.rules = rules(size),
	};
	wwh_config_t *empty = wwh_config_new();
	size_t before;
	wwh_config_t *config;
	wwh_config_t *changed;

	printf("%d workers, %d minions, %d pools\n", sizes[size].workers,
	       sizes[size].workers, sizes[size].pools);
	printf("  read and check: CSV %.3f ms (%zu bytes), JSON %.3f ms "
	       "(%zu bytes)\n",
	       parse_ms(texts.csv, texts.rules), strlen(texts.csv),
	       parse_ms(texts.json, texts.rules), strlen(texts.json));
	before = used_bytes();
	config = parse(texts.csv, texts.rules);
	printf("  memory: %.1f KB\n", (double)(used_bytes() - before) / KB);
	changed = parse(texts.changed_csv, texts.rules);
	print_change("whole", empty, config);
	print_change("one item", config, changed);
	print_change("nothing", config, config);
	print_memory(config, changed);
	print_route(config, size);
	wwh_config_unref(config);
	wwh_config_unref(changed);
	wwh_config_unref(empty);
	g_free(texts.csv);
	g_free(texts.json);
	g_free(texts.changed_csv);
	g_free(texts.rules);
}

int main(void)
{
	for (size_t size = 0; size < G_N_ELEMENTS(sizes); size++)
		bench(size);
	return EXIT_SUCCESS;
}
