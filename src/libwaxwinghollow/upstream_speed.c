#include "waxwinghollow/upstream_speed.h"

#include <glib.h>

#include "private/speed_reference.h"

/* Rows of one upstream, each of one step. The oldest is replaced. */
#define PEER_ROWS 8

/* Observations this close in time are of the same answer. */
#define SAME_ANSWER_MS 50

/*
 * Limits of the ratio to peers. Against the same step, only rounding of
 * percentages and delays of reports distort it: by up to a third at the shortest
 * interval that is observed. Against the median of other jobs, an estimate off by
 * half makes it up to 2: one job counts from well above this only, several from
 * just above.
 */
#define STEP_ONE_PERMILLE 2000
#define STEP_SEVERAL_PERMILLE 1600
#define WORK_ONE_PERMILLE 3000
#define WORK_SEVERAL_PERMILLE 2300
#define STEP_SEVERAL 2
#define WORK_SEVERAL 3
#define NORMAL_MAX_PERMILLE 1500

/* One task may be slow by itself, for instance because of its data. */
#define MIN_TASKS 2

/* Peers without which nothing indicates a slow upstream, and those that do. */
#define MIN_PEERS 2
#define MAX_PEERS 32
/* The middle of a short observation of a peer is this much later. */
#define CONFIRM_MS 150

#define MAX_SLOWDOWN_PERMILLE 100000

/* Doublings of the time of a mark and between probes. */
#define MAX_DOUBLINGS 2
/* A mark this soon after the last one lasts longer. */
#define FLAP_MS 30000
/* After a pool appeared to be slow as a whole, none is marked for this time. */
#define BLOCK_MS 5000

typedef enum {
	VERDICT_UNKNOWN = 0,
	VERDICT_NORMAL,
	VERDICT_SLOW,
} verdict_t;

/* What the runs of one step say of an upstream. Ratios: 0 if unknown. */
typedef struct {
	uint64_t step;
	uint64_t first_task;
	bool several_tasks;
	int64_t at_ms; /* the middle of the observed time; 0: row is unused */
	int64_t step_permille; /* to the same step on other upstreams */
	int64_t work_permille; /* to the median of other jobs */
} row_t;

typedef struct {
	GPtrArray *peers;
	bool has_suspects;
	/* Until then none is marked, as most of the marked ones appeared slow. */
	int64_t blocked_until_ms;
} pool_t;

struct wwh_speed_peer {
	wwh_upstream_speed_t *speed;
	pool_t *pool;
	void *data;
	uint32_t number;
	row_t rows[PEER_ROWS];
	int64_t observed_ms; /* the newest at_ms */
	bool slow;
	int64_t slowdown_permille;
	int64_t marked_ms; /* valid with slow */
	int64_t unmarked_ms; /* 0: never */
	int32_t flaps;
	int32_t probes; /* since it was marked */
	int64_t probed_ms;
	/* Of the current review. */
	verdict_t verdict;
	int64_t step_permille; /* medians of its rows; 0: unknown */
	int64_t work_permille;
	int64_t verdict_permille; /* 0: unknown */
	int64_t limit_permille; /* of the verdict slow */
	bool by_step; /* the verdict slow is by step_permille */
	verdict_t decided; /* the last that wasn't unknown */
	int64_t suspect_since_ms; /* observed then; 0: it isn't suspected */
};

struct wwh_upstream_speed {
	wwh_upstream_speed_options_t options;
	wwh_upstream_speed_changed_t changed;
	void *client_data;
	GHashTable *pools; /* name to pool_t, owned */
	speed_reference_t *reference;
	uint32_t last_number;
};

static void delete_pool(gpointer data);
static void add_row(wwh_speed_peer_t *peer, const row_t *row);
static row_t *find_row(wwh_speed_peer_t *peer, uint64_t step);
static int64_t lower_ratio(int64_t a, int64_t b);
static bool is_suspicious(const row_t *row);
static void review_pool(wwh_upstream_speed_t *speed, pool_t *pool,
			int64_t now_ms);
static void judge(wwh_speed_peer_t *peer, int64_t now_ms);
static verdict_t weigh(wwh_speed_peer_t *peer, int32_t step_count,
		       int32_t work_count);
static void review_peer(wwh_speed_peer_t *peer, bool may_be_slow,
			int64_t now_ms);
static bool is_confirmed(const wwh_speed_peer_t *peer, int64_t now_ms);
static void mark(wwh_speed_peer_t *peer, int64_t now_ms);
static void unmark(wwh_speed_peer_t *peer, int64_t now_ms);

wwh_upstream_speed_options_t wwh_upstream_speed_options_defaults(void)
{
	/*
	 * An upstream answers a poll at least once a second, and jobs have 2 to
	 * 4 s. The first probe waits for two such answers of runs that are left.
	 */
	return (wwh_upstream_speed_options_t){
		.window_ms = 700,
		.fresh_ms = 2500,
		.min_mark_ms = 2000,
		.forget_ms = 60000,
		.first_probe_ms = 4000,
	};
}

wwh_upstream_speed_t *
wwh_upstream_speed_new(const wwh_upstream_speed_options_t *options,
		       wwh_upstream_speed_changed_t changed, void *client_data)
{
	wwh_upstream_speed_t *speed = g_new0(wwh_upstream_speed_t, 1);

	speed->options = *options;
	speed->changed = changed;
	speed->client_data = client_data;
	speed->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     delete_pool);
	speed->reference = speed_reference_new();
	return speed;
}

void wwh_upstream_speed_delete(wwh_upstream_speed_t *speed)
{
	g_hash_table_destroy(speed->pools);
	speed_reference_delete(speed->reference);
	g_free(speed);
}

wwh_speed_peer_t *wwh_upstream_speed_add(wwh_upstream_speed_t *speed,
					 const char *name, void *data)
{
	wwh_speed_peer_t *peer = g_new0(wwh_speed_peer_t, 1);
	pool_t *pool = g_hash_table_lookup(speed->pools, name);

	if (pool == NULL) {
		pool = g_new0(pool_t, 1);
		pool->peers = g_ptr_array_new();
		g_hash_table_insert(speed->pools, g_strdup(name), pool);
	}
	peer->speed = speed;
	peer->pool = pool;
	peer->data = data;
	peer->number = ++speed->last_number;
	g_ptr_array_add(pool->peers, peer);
	return peer;
}

void wwh_upstream_speed_remove(wwh_speed_peer_t *peer)
{
	g_ptr_array_remove_fast(peer->pool->peers, peer);
	g_free(peer);
}

void wwh_upstream_speed_observe(wwh_speed_peer_t *peer,
				const wwh_speed_observation_t *observation)
{
	speed_reference_t *reference = peer->speed->reference;
	row_t row = {
		.step = observation->step,
		.first_task = observation->task,
		.at_ms = (observation->from_ms + observation->to_ms) / 2,
	};

	row.step_permille = speed_reference_step_permille(
		reference, peer->number, observation);
	row.work_permille = speed_reference_work_permille(
		reference, observation, !peer->slow && !observation->overdue);
	if (observation->overdue) {
		row.at_ms = observation->to_ms;
		if (!is_suspicious(&row))
			return;
	}
	add_row(peer, &row);
	peer->observed_ms = MAX(peer->observed_ms, row.at_ms);
	peer->pool->has_suspects =
		peer->pool->has_suspects || is_suspicious(&row);
}

void wwh_upstream_speed_review(wwh_upstream_speed_t *speed, int64_t now_ms)
{
	GHashTableIter iterator;
	gpointer value;

	g_hash_table_iter_init(&iterator, speed->pools);
	while (g_hash_table_iter_next(&iterator, NULL, &value)) {
		if (((pool_t *)value)->has_suspects)
			review_pool(speed, value, now_ms);
	}
}

bool wwh_upstream_speed_is_slow(const wwh_speed_peer_t *peer)
{
	return peer->slow;
}

int64_t wwh_upstream_speed_slowdown_permille(const wwh_speed_peer_t *peer)
{
	return peer->slow ? peer->slowdown_permille
			  : WWH_UPSTREAM_SPEED_NORMAL_PERMILLE;
}

int64_t wwh_upstream_speed_observed_ms(const wwh_speed_peer_t *peer)
{
	return peer->observed_ms;
}

bool wwh_upstream_speed_probe_is_due(const wwh_speed_peer_t *peer,
				     int64_t now_ms)
{
	int64_t wait_ms = peer->speed->options.first_probe_ms
			  << MIN(peer->probes, MAX_DOUBLINGS);

	return peer->slow &&
	       now_ms - MAX(peer->observed_ms, peer->probed_ms) >= wait_ms;
}

void wwh_upstream_speed_probed(wwh_speed_peer_t *peer, int64_t now_ms)
{
	peer->probes++;
	peer->probed_ms = now_ms;
}

static void delete_pool(gpointer data)
{
	pool_t *pool = data;

	g_assert(pool->peers->len == 0);
	g_ptr_array_unref(pool->peers);
	g_free(pool);
}

/* Of tasks in the same answer, the fastest counts. */
static void add_row(wwh_speed_peer_t *peer, const row_t *row)
{
	row_t *to = find_row(peer, row->step);
	int64_t age_ms = row->at_ms - to->at_ms;
	row_t before = *to;

	*to = *row;
	if (before.step != row->step || before.at_ms == 0 ||
	    age_ms > peer->speed->options.window_ms)
		return;
	to->several_tasks =
		before.several_tasks || before.first_task != row->first_task;
	to->first_task = before.first_task;
	to->at_ms = MAX(before.at_ms, row->at_ms);
	if (age_ms > SAME_ANSWER_MS)
		return;
	to->step_permille =
		lower_ratio(before.step_permille, row->step_permille);
	to->work_permille =
		lower_ratio(before.work_permille, row->work_permille);
}

/* Returns the row of the step, or that which is to be replaced. */
static row_t *find_row(wwh_speed_peer_t *peer, uint64_t step)
{
	row_t *oldest = &peer->rows[0];

	for (int32_t i = 0; i < PEER_ROWS; i++) {
		row_t *row = &peer->rows[i];

		if (row->at_ms != 0 && row->step == step)
			return row;
		if (row->at_ms < oldest->at_ms)
			oldest = row;
	}
	return oldest;
}

static int64_t lower_ratio(int64_t a, int64_t b)
{
	if (a == 0 || b == 0)
		return MAX(a, b);
	return MIN(a, b);
}

static bool is_suspicious(const row_t *row)
{
	return row->step_permille >= STEP_SEVERAL_PERMILLE ||
	       row->work_permille >= WORK_SEVERAL_PERMILLE;
}

static void review_pool(wwh_upstream_speed_t *speed, pool_t *pool,
			int64_t now_ms)
{
	int64_t fresh_ms = now_ms - speed->options.fresh_ms;
	int64_t known_ms = now_ms - speed->options.forget_ms;
	int32_t marked = 0;
	int32_t normal = 0;
	int32_t slow = 0;
	bool may_be_slow;

	for (guint i = 0; i < pool->peers->len; i++) {
		wwh_speed_peer_t *peer = g_ptr_array_index(pool->peers, i);

		judge(peer, now_ms);
		marked += peer->slow;
		if (peer->slow || (peer->decided == VERDICT_SLOW &&
				   peer->observed_ms >= fresh_ms))
			slow++;
		else
			normal += peer->decided == VERDICT_NORMAL &&
				  peer->observed_ms >= known_ms;
	}
	pool->has_suspects = slow > 0;
	may_be_slow = normal >= slow && now_ms >= pool->blocked_until_ms;
	if (!may_be_slow && marked > 0)
		pool->blocked_until_ms = now_ms + BLOCK_MS;
	for (guint i = 0; i < pool->peers->len; i++)
		review_peer(g_ptr_array_index(pool->peers, i), may_be_slow,
			    now_ms);
}

/* Sets the verdict by the rows of the last observations. */
static void judge(wwh_speed_peer_t *peer, int64_t now_ms)
{
	const wwh_upstream_speed_options_t *options = &peer->speed->options;
	int64_t from_ms = MAX(peer->observed_ms - options->window_ms,
			      now_ms - options->fresh_ms);
	int64_t steps[PEER_ROWS];
	int64_t works[PEER_ROWS];
	int32_t step_count = 0;
	int32_t work_count = 0;
	int32_t tasks = 0;

	for (int32_t i = 0; i < PEER_ROWS; i++) {
		const row_t *row = &peer->rows[i];

		if (row->at_ms == 0 || row->at_ms < from_ms)
			continue;
		tasks += row->several_tasks ? MIN_TASKS : 1;
		if (row->step_permille > 0)
			steps[step_count++] = row->step_permille;
		if (row->work_permille > 0)
			works[work_count++] = row->work_permille;
	}
	peer->step_permille = speed_reference_median(steps, step_count);
	peer->work_permille = speed_reference_median(works, work_count);
	peer->verdict = weigh(peer, step_count, work_count);
	if (peer->verdict == VERDICT_SLOW && tasks < MIN_TASKS)
		peer->verdict = VERDICT_UNKNOWN;
	if (peer->verdict != VERDICT_UNKNOWN)
		peer->decided = peer->verdict;
	if (peer->decided != VERDICT_SLOW)
		peer->suspect_since_ms = 0;
	else if (peer->suspect_since_ms == 0)
		peer->suspect_since_ms = peer->observed_ms;
}

static verdict_t weigh(wwh_speed_peer_t *peer, int32_t step_count,
		       int32_t work_count)
{
	int64_t by_step = peer->step_permille;
	int64_t by_work = peer->work_permille;
	int64_t step_limit = step_count >= STEP_SEVERAL ? STEP_SEVERAL_PERMILLE
							: STEP_ONE_PERMILLE;
	int64_t work_limit = work_count >= WORK_SEVERAL ? WORK_SEVERAL_PERMILLE
							: WORK_ONE_PERMILLE;

	peer->by_step = by_step >= step_limit;
	peer->limit_permille = peer->by_step ? step_limit : work_limit;
	peer->verdict_permille =
		MIN(MAX(by_step, by_work), MAX_SLOWDOWN_PERMILLE);
	if (by_work >= work_limit || by_step >= step_limit)
		return VERDICT_SLOW;
	/* the peers with the same step may be slow, then other jobs show it */
	if (by_work >= WORK_SEVERAL_PERMILLE || peer->verdict_permille == 0)
		return VERDICT_UNKNOWN;
	if (by_step > 0)
		peer->verdict_permille = by_step;
	return peer->verdict_permille < NORMAL_MAX_PERMILLE ? VERDICT_NORMAL
							    : VERDICT_UNKNOWN;
}

static void review_peer(wwh_speed_peer_t *peer, bool may_be_slow,
			int64_t now_ms)
{
	const wwh_upstream_speed_options_t *options = &peer->speed->options;

	if (!peer->slow) {
		if (may_be_slow && peer->verdict == VERDICT_SLOW &&
		    is_confirmed(peer, now_ms))
			mark(peer, now_ms);
		return;
	}
	if (peer->verdict == VERDICT_SLOW)
		peer->slowdown_permille = peer->verdict_permille;
	if (!may_be_slow ||
	    now_ms - MAX(peer->observed_ms, peer->marked_ms) >=
		    options->forget_ms ||
	    (peer->verdict == VERDICT_NORMAL &&
	     peer->observed_ms > peer->marked_ms &&
	     now_ms - peer->marked_ms >= options->min_mark_ms << peer->flaps))
		unmark(peer, now_ms);
}

/*
 * When a whole pool becomes slow, the first upstreams to report it differ from
 * what the others reported before. So an upstream is compared with peers that were
 * observed later than what raised the suspicion, and most of those that run tasks
 * must have been: runs of short tasks are reported first. An old observation of the
 * upstream doesn't count, as all may have become faster since. Some of the peers
 * are enough: the cost must not grow with the number of upstreams.
 */
static bool is_confirmed(const wwh_speed_peer_t *peer, int64_t now_ms)
{
	int64_t fresh_ms = now_ms - peer->speed->options.fresh_ms;
	const GPtrArray *peers = peer->pool->peers;
	int64_t ratios[MAX_PEERS];
	int32_t active = 0;
	int32_t count = 0;
	int64_t usual;
	int64_t ratio;

	for (guint i = 0; i < peers->len && active < MAX_PEERS; i++) {
		const wwh_speed_peer_t *other = g_ptr_array_index(
			peers, (i + peer->number) % peers->len);

		if (other == peer || other->slow ||
		    other->observed_ms < fresh_ms)
			continue;
		active++;
		ratio = peer->by_step ? other->verdict_permille
				      : other->work_permille;
		if (ratio > 0 &&
		    other->observed_ms >= peer->suspect_since_ms + CONFIRM_MS)
			ratios[count++] = ratio;
	}
	if (count < MIN_PEERS || 2 * count < active ||
	    peer->observed_ms < now_ms - peer->speed->options.window_ms)
		return false;
	(void)speed_reference_median(ratios, count);
	usual = ratios[count / 2]; /* the upper median */
	ratio = peer->by_step ? peer->step_permille : peer->work_permille;
	return usual < NORMAL_MAX_PERMILLE &&
	       ratio * WWH_UPSTREAM_SPEED_NORMAL_PERMILLE >=
		       peer->limit_permille *
			       MAX(usual, WWH_UPSTREAM_SPEED_NORMAL_PERMILLE);
}

static void mark(wwh_speed_peer_t *peer, int64_t now_ms)
{
	bool again =
		peer->unmarked_ms != 0 && now_ms - peer->unmarked_ms < FLAP_MS;

	peer->slow = true;
	peer->slowdown_permille = peer->verdict_permille;
	peer->flaps = again ? MIN(peer->flaps + 1, MAX_DOUBLINGS) : 0;
	peer->marked_ms = now_ms;
	peer->probes = 0;
	peer->probed_ms = 0;
	peer->speed->changed(peer->data, peer->speed->client_data);
}

static void unmark(wwh_speed_peer_t *peer, int64_t now_ms)
{
	peer->slow = false;
	peer->unmarked_ms = now_ms;
	peer->speed->changed(peer->data, peer->speed->client_data);
}
