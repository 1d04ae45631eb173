/*
 * The holder, alone or with its zone, is cut off from the store and from the
 * other processes. It keeps some upstreams, which later holders don't reach,
 * and later holders reach the rest. Nothing else undoes that before it is over.
 */
#include "soak.h"

#define LENGTH_MIN_MS 10000
#define LENGTH_MAX_MS 18000

/* By how much the part that heals first precedes the others. */
#define EARLY_MS 3000

#define STORE_AWAY_MIN_MS 1000
#define STORE_AWAY_MAX_MS 6000

typedef enum {
	PART_STORE = 0,
	PART_PROCESSES,
	PART_UPSTREAMS,
	PART_COUNT,
} part_t;

static const char *const part_names[PART_COUNT] = {
	"store",
	"processes",
	"upstreams",
};

/* Which upstreams the side that is cut off keeps. */
typedef enum {
	KEPT_ONE = 0,
	KEPT_EIGHTH,
	KEPT_QUARTER,
	KEPT_HALF,
	KEPT_ZONE, /* all of one */
	KEPT_POOL, /* all of one */
	KEPT_COUNT,
} kept_t;

static const char *const kept_names[KEPT_COUNT] = {
	"one upstream", "an eighth", "a quarter", "half", "a zone", "a pool",
};

typedef struct {
	const soak_process_t *holder;
	bool is_zone; /* with all processes of its zone */
	int64_t token; /* of the holder */
	soak_link_t links[PART_COUNT];
	kept_t kept;
	part_t first; /* which heals first; PART_COUNT: all at once */
	int32_t length_ms;
} partition_t;

static GPtrArray *cut_links[PART_COUNT]; /* soak_proxy_t, until they heal */

static void cut(part_t part, soak_proxy_t *proxy, soak_link_t link,
		soak_callers_t callers, int64_t token)
{
	soak_proxy_pin(proxy, link, callers, token);
	g_ptr_array_add(cut_links[part], proxy);
}

static bool is_on(void)
{
	for (int32_t i = 0; i < PART_COUNT; i++) {
		if (cut_links[i] != NULL && cut_links[i]->len > 0)
			return true;
	}
	return false;
}

static bool is_cut_off(const partition_t *partition,
		       const soak_process_t *process)
{
	return process == partition->holder ||
	       (partition->is_zone && process->zone == partition->holder->zone);
}

static void cut_processes(const partition_t *partition)
{
	int32_t count = soak.options.processes;

	for (int32_t i = 0; i < count; i++) {
		soak_process_t *process = &soak.processes[i];

		if (is_cut_off(partition, process))
			cut(PART_STORE, process->store_proxy,
			    partition->links[PART_STORE], SOAK_CALLERS_ALL, 0);
	}
	for (int32_t i = 0; i < count * count; i++) {
		const soak_process_t *caller = &soak.processes[i / count];
		const soak_process_t *callee = &soak.processes[i % count];

		if (is_cut_off(partition, caller) !=
		    is_cut_off(partition, callee))
			cut(PART_PROCESSES, soak_peer_link(caller, callee),
			    partition->links[PART_PROCESSES], SOAK_CALLERS_ALL,
			    0);
	}
}

/* How many are kept; 0: that depends on the zone or pool. */
static int32_t kept_count(kept_t kept)
{
	const int32_t divisors[KEPT_COUNT] = {
		[KEPT_ONE] = soak.options.upstreams,
		[KEPT_EIGHTH] = 8,
		[KEPT_QUARTER] = 4,
		[KEPT_HALF] = 2,
	};

	return divisors[kept] == 0
		       ? 0
		       : MAX(soak.options.upstreams / divisors[kept], 1);
}

static bool is_with(const soak_upstream_t *upstream,
		    const soak_upstream_t *other, kept_t kept)
{
	if (kept == KEPT_ZONE)
		return upstream->index % SOAK_ZONES ==
		       other->index % SOAK_ZONES;
	return kept == KEPT_POOL && upstream->pool == other->pool;
}

static void cut_upstreams(const partition_t *partition)
{
	const soak_upstream_t *chosen = soak_draw_upstream();
	int32_t count = soak.options.upstreams;
	int32_t left = kept_count(partition->kept);

	for (int32_t i = 0; i < count; i++) {
		soak_upstream_t *upstream = &soak.upstreams[i];
		bool is_drawn = left > 0 && soak_draw(0, count - i) < left;
		bool is_kept =
			is_drawn || is_with(upstream, chosen, partition->kept);

		left -= is_drawn;
		cut(PART_UPSTREAMS, upstream->proxy,
		    partition->links[PART_UPSTREAMS],
		    is_kept ? SOAK_CALLERS_LATER : SOAK_CALLERS_EARLIER,
		    partition->token);
		if (is_kept)
			soak_record("partition: %s is kept", upstream->id);
	}
}

static void heal(void *data)
{
	part_t part = GPOINTER_TO_INT(data);

	if (cut_links[part] == NULL || cut_links[part]->len == 0)
		return;
	soak_record("partition: links to %s heal", part_names[part]);
	for (guint i = 0; i < cut_links[part]->len; i++)
		soak_proxy_unpin(g_ptr_array_index(cut_links[part], i));
	g_ptr_array_set_size(cut_links[part], 0);
}

static void heal_in_time(const partition_t *partition)
{
	for (int32_t i = 0; i < PART_COUNT; i++)
		soak_after(partition->length_ms - ((part_t)i == partition->first
							   ? EARLY_MS
							   : 0),
			   heal, GINT_TO_POINTER(i));
}

/* Requests pass in one of three of each sort, and their answers don't. */
static soak_link_t draw_link(void)
{
	return soak_draw(0, 3) == 0 ? SOAK_LINK_ANSWERS_HELD : SOAK_LINK_SILENT;
}

static partition_t draw_partition(const soak_process_t *holder)
{
	partition_t partition = {
		.holder = holder,
		.is_zone = soak_draw(0, 2) == 0,
		.token = soak_store_holder_token(),
		.links = { draw_link(), draw_link(), SOAK_LINK_SILENT },
		.kept = (kept_t)soak_draw(0, KEPT_COUNT),
		.first = (part_t)soak_draw(0, PART_COUNT + 1),
		.length_ms = soak_draw(LENGTH_MIN_MS, LENGTH_MAX_MS + 1),
	};

	soak_record("partition of %s%s for %d ms: store %s, processes %s, "
		    "keeps %s, %s first",
		    holder->node, partition.is_zone ? " with its zone" : "",
		    partition.length_ms,
		    soak_link_names[partition.links[PART_STORE]],
		    soak_link_names[partition.links[PART_PROCESSES]],
		    kept_names[partition.kept],
		    partition.first == PART_COUNT
			    ? "none"
			    : part_names[partition.first]);
	return partition;
}

/* Returns its length; 0: there is no holder, or one is on. */
static int32_t begin(void)
{
	const soak_process_t *holder = soak_process_holder();
	partition_t partition;

	if (holder == NULL || is_on())
		return 0;
	for (int32_t i = 0; i < PART_COUNT && cut_links[i] == NULL; i++)
		cut_links[i] = g_ptr_array_new();
	partition = draw_partition(holder);
	cut_processes(&partition);
	cut_upstreams(&partition);
	heal_in_time(&partition);
	soak_calm_note_length(partition.length_ms);
	return partition.length_ms;
}

void soak_partition_begin(void)
{
	(void)begin();
}

static void return_store(void *data)
{
	(void)data;
	if (soak.store_away)
		soak_record("partition: the store is back");
	soak.store_away = false;
}

static void take_store_away(void *data)
{
	(void)data;
	if (!is_on())
		return;
	soak.store_away = true;
	soak_record("partition: the store is away for all");
	soak_after(soak_draw(STORE_AWAY_MIN_MS, STORE_AWAY_MAX_MS),
		   return_store, NULL);
}

void soak_partition_begin_without_store(void)
{
	int32_t length_ms = begin();

	if (length_ms > 0)
		soak_after(soak_draw(0, length_ms - STORE_AWAY_MAX_MS),
			   take_store_away, NULL);
}

void soak_partition_end(void)
{
	for (int32_t i = 0; i < PART_COUNT; i++)
		heal(GINT_TO_POINTER(i));
	return_store(NULL);
}
