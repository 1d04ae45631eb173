#include "private/speed_reference.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Estimates are compared with the median of this many steps of like work. */
#define WORK_STEPS 63
#define WORK_STEPS_MIN 8
#define MAX_WORKS 256

/* Steps of which the durations on several upstreams are known. */
#define STEP_SLOTS 1024
#define STEP_PEERS 4

/*
 * A duration on another upstream counts if it was observed no earlier than this
 * before: from a whole pool becoming slow, all tasks take longer than before.
 */
#define STEP_AGE_MAX_MS 100

#define PERMILLE 1000

/* Ratio of duration to estimate of the last steps of like work. */
typedef struct {
	uint64_t steps[WORK_STEPS];
	int64_t ratios[WORK_STEPS];
	int32_t count;
	int32_t next;
	int64_t median; /* 0: too few steps */
} work_t;

typedef struct {
	uint32_t peer; /* 0: unused */
	int64_t duration_ms;
	int64_t at_ms; /* the middle of the observed time */
} step_row_t;

typedef struct {
	uint64_t step;
	step_row_t rows[STEP_PEERS]; /* used ones first */
} step_slot_t;

struct speed_reference {
	GHashTable *works; /* uint64_t to work_t, owned */
	step_slot_t steps[STEP_SLOTS];
};

static step_row_t *find_row(step_slot_t *slot, uint32_t peer);
static work_t *get_work(speed_reference_t *reference, uint64_t key);
static void add_step(work_t *work, uint64_t step, int64_t ratio);
static gint compare_values(gconstpointer a, gconstpointer b);

speed_reference_t *speed_reference_new(void)
{
	speed_reference_t *reference = g_new0(speed_reference_t, 1);

	reference->works = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);
	return reference;
}

void speed_reference_delete(speed_reference_t *reference)
{
	g_hash_table_destroy(reference->works);
	g_free(reference);
}

int64_t
speed_reference_step_permille(speed_reference_t *reference, uint32_t peer,
			      const wwh_speed_observation_t *observation)
{
	step_slot_t *slot = &reference->steps[observation->step % STEP_SLOTS];
	int64_t duration_ms = MAX(observation->duration_ms, 1);
	int64_t at_ms = (observation->from_ms + observation->to_ms) / 2;
	int64_t shortest_ms = 0;

	if (slot->step != observation->step)
		memset(slot, 0, sizeof(*slot));
	slot->step = observation->step;
	if (!observation->overdue)
		*find_row(slot, peer) =
			(step_row_t){ peer, duration_ms, at_ms };
	for (int32_t i = 0; i < STEP_PEERS; i++) {
		const step_row_t *row = &slot->rows[i];

		if (row->peer == 0 || row->peer == peer ||
		    row->at_ms < at_ms - STEP_AGE_MAX_MS)
			continue;
		if (shortest_ms == 0 || row->duration_ms < shortest_ms)
			shortest_ms = row->duration_ms;
	}
	if (shortest_ms == 0)
		return 0;
	return MAX(duration_ms * PERMILLE / shortest_ms, 1);
}

int64_t
speed_reference_work_permille(speed_reference_t *reference,
			      const wwh_speed_observation_t *observation,
			      bool learn)
{
	work_t *work = get_work(reference, observation->work);
	int64_t ratio = observation->duration_ms * PERMILLE /
			MAX(observation->estimate_ms, 1);
	int64_t median = work->median;

	if (learn)
		add_step(work, observation->step, ratio);
	return median == 0 ? 0 : MAX(ratio * PERMILLE / median, 1);
}

int64_t speed_reference_median(int64_t *values, int32_t count)
{
	if (count == 0)
		return 0;
	qsort(values, (size_t)count, sizeof(*values), compare_values);
	return values[(count - 1) / 2];
}

/* Returns the row of peer, an unused one, or the oldest. */
static step_row_t *find_row(step_slot_t *slot, uint32_t peer)
{
	step_row_t *oldest = &slot->rows[0];

	for (int32_t i = 0; i < STEP_PEERS; i++) {
		step_row_t *row = &slot->rows[i];

		if (row->peer == peer || row->peer == 0)
			return row;
		if (row->at_ms < oldest->at_ms)
			oldest = row;
	}
	return oldest;
}

static work_t *get_work(speed_reference_t *reference, uint64_t key)
{
	work_t *work = g_hash_table_lookup(reference->works, &key);

	if (work != NULL)
		return work;
	if (g_hash_table_size(reference->works) >= MAX_WORKS)
		g_hash_table_remove_all(reference->works);
	work = g_new0(work_t, 1);
	g_hash_table_insert(reference->works, g_memdup2(&key, sizeof(key)),
			    work);
	return work;
}

/* Each step counts once, because its tasks share the error of the estimate. */
static void add_step(work_t *work, uint64_t step, int64_t ratio)
{
	int64_t sorted[WORK_STEPS];

	for (int32_t i = 0; i < work->count; i++) {
		if (work->steps[i] == step)
			return;
	}
	work->steps[work->next] = step;
	work->ratios[work->next] = ratio;
	work->next = (work->next + 1) % WORK_STEPS;
	work->count = MIN(work->count + 1, WORK_STEPS);
	if (work->count < WORK_STEPS_MIN)
		return;
	memcpy(sorted, work->ratios, sizeof(sorted));
	work->median = MAX(speed_reference_median(sorted, work->count), 1);
}

static gint compare_values(gconstpointer a, gconstpointer b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}
