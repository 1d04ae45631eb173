#include "waxwinghollow/relay_assign.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Endpoints whose choice is kept; a fleet has some thousand upstreams. */
#define CHOICES_MAX 8192

/* 53 bits of a hash fill the mantissa of a double. */
#define MANTISSA_SHIFT 11
#define MANTISSA_RANGE 9007199254740992.0

typedef struct {
	char *address;
	int64_t weight;
	int64_t reported_ms;
	int64_t blocked_until_ms;
	bool active;
} relay_t;

struct wwh_relay_assign {
	wwh_relay_assign_options_t options;
	GHashTable *relays; /* address to relay_t */
	GPtrArray *active; /* of relay_t */
	int64_t need_permille;
	GHashTable *choices; /* endpoint to relay_t, until active changes */
};

static void relay_delete(gpointer data);
static void deactivate(wwh_relay_assign_t *assign, relay_t *relay);
static void activate(wwh_relay_assign_t *assign, relay_t *relay);
static bool needs_another(const wwh_relay_assign_t *assign);
static relay_t *find_candidate(wwh_relay_assign_t *assign, int64_t now_ms);
static bool is_preferred(const relay_t *relay, const relay_t *to);
static double score(const relay_t *relay, uint64_t endpoint_hash);
static gint compare_addresses(gconstpointer a, gconstpointer b);

wwh_relay_assign_options_t wwh_relay_assign_options_defaults(void)
{
	/*
	 * Each relay in use costs the holder some 90 messages per second. With
	 * six, bench_relay shows three fifths more processor time per order
	 * than with two. Reports come every 2 s; two may be lost.
	 */
	wwh_relay_assign_options_t options = {
		.max_relays = 256,
		.min_active = 2,
		.max_active = 6,
		.ttl_ms = 5000,
	};

	return options;
}

wwh_relay_assign_t *
wwh_relay_assign_new(const wwh_relay_assign_options_t *options)
{
	wwh_relay_assign_t *assign = g_new0(wwh_relay_assign_t, 1);

	assign->options = *options;
	assign->relays = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       relay_delete);
	assign->active = g_ptr_array_new();
	assign->choices =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return assign;
}

void wwh_relay_assign_delete(wwh_relay_assign_t *assign)
{
	if (assign == NULL)
		return;
	g_hash_table_destroy(assign->choices);
	g_ptr_array_unref(assign->active);
	g_hash_table_destroy(assign->relays);
	g_free(assign);
}

bool wwh_relay_assign_report(wwh_relay_assign_t *assign, const char *address,
			     int64_t weight, int64_t now_ms)
{
	relay_t *relay = g_hash_table_lookup(assign->relays, address);

	if (weight <= 0)
		return false;
	if (relay == NULL) {
		if ((int32_t)g_hash_table_size(assign->relays) >=
		    assign->options.max_relays)
			return false;
		relay = g_new0(relay_t, 1);
		relay->address = g_strdup(address);
		g_hash_table_insert(assign->relays, relay->address, relay);
	}
	if (relay->weight != weight && relay->active)
		g_hash_table_remove_all(assign->choices);
	relay->weight = weight;
	relay->reported_ms = now_ms;
	return true;
}

void wwh_relay_assign_block(wwh_relay_assign_t *assign, const char *address,
			    int64_t until_ms)
{
	relay_t *relay = g_hash_table_lookup(assign->relays, address);

	if (relay == NULL)
		return;
	relay->blocked_until_ms = until_ms;
	deactivate(assign, relay);
}

void wwh_relay_assign_need(wwh_relay_assign_t *assign, int64_t permille)
{
	assign->need_permille = permille;
}

void wwh_relay_assign_run(wwh_relay_assign_t *assign, int64_t now_ms)
{
	GHashTableIter iterator;
	gpointer value;
	relay_t *candidate;

	g_hash_table_iter_init(&iterator, assign->relays);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		relay_t *relay = value;

		if (now_ms - relay->reported_ms < assign->options.ttl_ms)
			continue;
		deactivate(assign, relay);
		g_hash_table_iter_remove(&iterator);
	}
	while (assign->need_permille == 0 &&
	       (int32_t)assign->active->len > assign->options.min_active)
		deactivate(assign, g_ptr_array_index(assign->active,
						     assign->active->len - 1));
	while (needs_another(assign) &&
	       (candidate = find_candidate(assign, now_ms)) != NULL)
		activate(assign, candidate);
}

const char *wwh_relay_assign_choose(wwh_relay_assign_t *assign,
				    const char *endpoint)
{
	relay_t *best = g_hash_table_lookup(assign->choices, endpoint);
	uint64_t hash;
	double best_score = 0;

	if (best != NULL)
		return best->address;
	if (assign->active->len == 0)
		return NULL;
	hash = XXH3_64bits(endpoint, strlen(endpoint));
	for (guint i = 0; i < assign->active->len; i++) {
		relay_t *relay = g_ptr_array_index(assign->active, i);
		double relay_score = score(relay, hash);

		if (best == NULL || relay_score > best_score) {
			best = relay;
			best_score = relay_score;
		}
	}
	if (g_hash_table_size(assign->choices) >= CHOICES_MAX)
		g_hash_table_remove_all(assign->choices);
	g_hash_table_insert(assign->choices, g_strdup(endpoint), best);
	return best->address;
}

bool wwh_relay_assign_knows(const wwh_relay_assign_t *assign,
			    const char *address)
{
	return g_hash_table_contains(assign->relays, address);
}

int32_t wwh_relay_assign_active_count(const wwh_relay_assign_t *assign)
{
	return (int32_t)assign->active->len;
}

void wwh_relay_assign_visit(const wwh_relay_assign_t *assign,
			    wwh_relay_assign_visit_t visit, void *client_data)
{
	GList *addresses = g_list_sort(g_hash_table_get_keys(assign->relays),
				       compare_addresses);

	for (GList *at = addresses; at != NULL; at = at->next) {
		const relay_t *relay =
			g_hash_table_lookup(assign->relays, at->data);

		visit(relay->address, relay->active, relay->weight,
		      client_data);
	}
	g_list_free(addresses);
}

static void relay_delete(gpointer data)
{
	relay_t *relay = data;

	g_free(relay->address);
	g_free(relay);
}

static void deactivate(wwh_relay_assign_t *assign, relay_t *relay)
{
	if (!relay->active)
		return;
	relay->active = false;
	g_ptr_array_remove(assign->active, relay);
	g_hash_table_remove_all(assign->choices);
}

static void activate(wwh_relay_assign_t *assign, relay_t *relay)
{
	relay->active = true;
	g_ptr_array_add(assign->active, relay);
	g_hash_table_remove_all(assign->choices);
}

static bool needs_another(const wwh_relay_assign_t *assign)
{
	int32_t count = (int32_t)assign->active->len;
	int64_t weight = 0;

	for (int32_t i = 0; i < count; i++)
		weight += ((const relay_t *)assign->active->pdata[i])->weight;
	return count < assign->options.min_active ||
	       (count < assign->options.max_active &&
		weight < assign->need_permille);
}

static relay_t *find_candidate(wwh_relay_assign_t *assign, int64_t now_ms)
{
	GHashTableIter iterator;
	gpointer value;
	relay_t *best = NULL;

	g_hash_table_iter_init(&iterator, assign->relays);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		relay_t *relay = value;

		if (!relay->active && now_ms >= relay->blocked_until_ms &&
		    (best == NULL || is_preferred(relay, best)))
			best = relay;
	}
	return best;
}

/* Addresses decide between equal weights, so that the result is repeatable. */
static bool is_preferred(const relay_t *relay, const relay_t *to)
{
	if (relay->weight != to->weight)
		return relay->weight > to->weight;
	return strcmp(relay->address, to->address) < 0;
}

/*
 * -weight / ln(u), with u uniform in (0, 1): the share of endpoints for which a
 * relay has the highest score is its share of the weights.
 */
static double score(const relay_t *relay, uint64_t endpoint_hash)
{
	uint64_t hash = XXH3_64bits_withSeed(
		relay->address, strlen(relay->address), endpoint_hash);
	double uniform =
		((double)(hash >> MANTISSA_SHIFT) + 0.5) / MANTISSA_RANGE;

	return -(double)relay->weight / log(uniform);
}

static gint compare_addresses(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}
