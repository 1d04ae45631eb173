#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "../test_intent/intent_fixture.h"
#include "../test_state/fleet_fixture.h"
#include "waxwinghollow/snapshot.h"

/*
 * Cost of the reducers: time a record, bytes a worker and a key, size and
 * time of snapshots. Prints a table; no argument. The sizes are today's (two
 * deployments of some 50 workers are far below the first row) and the target.
 */

#define AUTHOR "entry-1.1"
#define ROUNDS 20
#define JOBS 20000
#define KEYS 65000
#define BATCH 50
#define NS_PER_S 1000000000.0
#define NS_PER_US 1000.0
#define NS_PER_MS 1000000.0

typedef struct {
	int32_t workers;
	int32_t pools;
} size_row_t;

static const size_row_t sizes[] = {
	{ 500, 5 },
	{ 500, 232 },
	{ 5100, 5 },
	{ 5100, 232 },
};

typedef struct {
	wwh_state_t *state;
	int64_t next;
	int64_t fence[WWH_SHARD_POOLS];
} bench_t;

static double now_ns(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * NS_PER_S + (double)now.tv_nsec;
}

static double heap_bytes(void)
{
	struct mallinfo2 info;

	/* Freed chunks in the allocator's caches would count as in use. */
	malloc_trim(0);
	info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

/* Applies the bytes of a record as a process does; returns what it took. */
static double apply(bench_t *bench, wwh_record_t *record,
		    wwh_verdict_t *verdict)
{
	GBytes *bytes = wwh_record_encode(record, NULL);
	wwh_record_t read;
	double start = now_ns();

	*verdict = wwh_state_apply_entry(bench->state, bench->next++,
					 g_bytes_get_data(bytes, NULL),
					 g_bytes_get_size(bytes), &read, NULL);
	wwh_record_clear(&read);
	start = now_ns() - start;
	wwh_record_clear(record);
	g_bytes_unref(bytes);
	return start;
}

static void must(bool holds, const char *what)
{
	if (!holds)
		g_error("%s", what);
}

static int64_t fence_of_worker(const bench_t *bench, const char *id)
{
	wwh_worker_view_t view;

	must(wwh_state_worker(bench->state, id, &view), "worker");
	return bench->fence[wwh_shard_of_pool(view.pool)];
}

/* Grants and gives back each worker ROUNDS times; ns a record. */
static double time_grants(bench_t *bench, int32_t workers)
{
	double sum = 0;
	int64_t count = 0;
	wwh_verdict_t verdict;
	wwh_record_t record;

	for (int32_t i = 0; i < ROUNDS * workers; i++) {
		char *id = fleet_worker(i % workers);
		int64_t grant = bench->next;
		int64_t fence = fence_of_worker(bench, id);

		grant_record(&record, AUTHOR, id, WWH_GRANT_REPAIR, "", fence);
		sum += apply(bench, &record, &verdict);
		must(verdict == WWH_VERDICT_ACCEPTED, "grant");
		grant_end_record(&record, AUTHOR, id, grant, WWH_GRANT_RETURNED,
				 fence);
		sum += apply(bench, &record, &verdict);
		must(verdict == WWH_VERDICT_ACCEPTED, "end");
		count += 2;
		g_free(id);
	}
	return sum / (double)count;
}

static double time_renewals(bench_t *bench, int32_t count)
{
	double sum = 0;
	wwh_verdict_t verdict;
	wwh_record_t record;

	for (int32_t i = 0; i < count; i++) {
		int32_t shard = i % WWH_SHARD_POOLS;

		lease_record(&record, WWH_RECORD_LEASE_RENEW, AUTHOR, shard,
			     bench->fence[shard]);
		sum += apply(bench, &record, &verdict);
		must(verdict == WWH_VERDICT_ACCEPTED, "renewal");
	}
	return sum / count;
}

/* A change of one worker's pool, there and back; ns a record. */
static double time_changes(bench_t *bench, fleet_t fleet, int32_t count)
{
	double sum = 0;
	wwh_verdict_t verdict;
	wwh_record_t record;

	for (int32_t i = 0; i < count; i++) {
		const wwh_config_t *base = wwh_state_config(bench->state);

		fleet.odd_worker = i % 2 == 0 ? 0 : -1;
		fleet.odd_pool = 1;
		config_record(&record, AUTHOR, base, wwh_config_version(base),
			      &fleet);
		sum += apply(bench, &record, &verdict);
		must(verdict == WWH_VERDICT_ACCEPTED, "change");
	}
	return sum / count;
}

static void time_snapshot(const wwh_state_t *state, double *encode_ns,
			  double *decode_ns, size_t *size)
{
	double start = now_ns();
	GBytes *bytes = wwh_snapshot_encode_state(state);
	wwh_state_t *restored;

	*encode_ns = now_ns() - start;
	*size = g_bytes_get_size(bytes);
	start = now_ns();
	must(wwh_snapshot_decode_state(g_bytes_get_data(bytes, NULL), *size,
				       &restored, NULL) == WWH_STATUS_OK,
	     "snapshot");
	*decode_ns = now_ns() - start;
	wwh_state_delete(restored);
	g_bytes_unref(bytes);
}

static void start_bench(bench_t *bench, const fleet_t *fleet)
{
	wwh_verdict_t verdict;
	wwh_record_t record;

	memset(bench, 0, sizeof(*bench));
	bench->state = wwh_state_new();
	config_record(&record, AUTHOR, wwh_state_config(bench->state), 0,
		      fleet);
	apply(bench, &record, &verdict);
	must(verdict == WWH_VERDICT_ACCEPTED, "configuration");
	for (int32_t shard = 0; shard < WWH_SHARD_POOLS; shard++) {
		bench->fence[shard] = bench->next;
		lease_record(&record, WWH_RECORD_LEASE_TAKE, AUTHOR, shard,
			     WWH_NO_OFFSET);
		apply(bench, &record, &verdict);
	}
}

/* A grant looks at each rack of the pool when its reserve is a rack. */
static double time_rack_grants(fleet_t fleet)
{
	bench_t bench;
	double grant_ns;

	fleet.rule = ", \"lose_count\": 8, \"reserve\": \"rack\"";
	start_bench(&bench, &fleet);
	grant_ns = time_grants(&bench, fleet.workers);
	wwh_state_delete(bench.state);
	return grant_ns;
}

static void bench_size(const size_row_t *row)
{
	fleet_t fleet = { .workers = row->workers,
			  .pools = row->pools,
			  .zones = 17,
			  .rule = ", \"lose_count\": 4",
			  .odd_worker = -1 };
	double before;
	double heap;
	double grant_ns;
	double rack_ns = time_rack_grants(fleet);
	double renew_ns;
	double change_ns;
	double encode_ns;
	double decode_ns;
	double check_ns;
	size_t size;
	bench_t bench;

	/* What the libraries keep after their first use is not the state's. */
	start_bench(&bench, &fleet);
	wwh_state_delete(bench.state);
	before = heap_bytes();
	start_bench(&bench, &fleet);
	heap = heap_bytes() - before;
	grant_ns = time_grants(&bench, row->workers);
	renew_ns = time_renewals(&bench, 20000);
	time_snapshot(bench.state, &encode_ns, &decode_ns, &size);
	change_ns = time_changes(&bench, fleet, 20);
	check_ns = now_ns();
	wwh_state_check(bench.state);
	check_ns = now_ns() - check_ns;
	printf("%7d %5d %9.2f %9.2f %9.2f %10.2f %9.0f %10.0f %9.2f %9.2f "
	       "%8.2f\n",
	       row->workers, row->pools, grant_ns / NS_PER_US,
	       rack_ns / NS_PER_US, renew_ns / NS_PER_US, change_ns / NS_PER_MS,
	       heap / row->workers, (double)size, encode_ns / NS_PER_MS,
	       decode_ns / NS_PER_MS, check_ns / NS_PER_MS);
	wwh_state_delete(bench.state);
}

/* Jobs that are submitted and placed, then done. */
static void bench_jobs(void)
{
	fleet_t fleet = { .workers = 5100,
			  .pools = 232,
			  .zones = 17,
			  .rule = ", \"lose_count\": 4",
			  .odd_worker = -1 };
	double placed_ns = 0;
	double done_ns = 0;
	double before;
	double heap;
	size_t size;
	double encode_ns;
	double decode_ns;
	wwh_verdict_t verdict;
	wwh_record_t record;
	int64_t first;
	bench_t bench;

	start_bench(&bench, &fleet);
	before = heap_bytes();
	first = bench.next;
	for (int32_t i = 0; i < JOBS; i++) {
		char *job = g_strdup_printf("plat-%08d", i);
		char *worker = fleet_worker(i % fleet.workers);
		wwh_worker_view_t view;

		must(wwh_state_worker(bench.state, worker, &view), "worker");
		job_submit_record(&record, AUTHOR, job, view.pool, false);
		placed_ns += apply(&bench, &record, &verdict);
		job_record(&record, WWH_RECORD_JOB_PLACE, AUTHOR, job, worker,
			   bench.fence[wwh_shard_of_pool(view.pool)]);
		placed_ns += apply(&bench, &record, &verdict);
		must(verdict == WWH_VERDICT_ACCEPTED, "place");
		g_free(job);
		g_free(worker);
	}
	heap = heap_bytes() - before;
	time_snapshot(bench.state, &encode_ns, &decode_ns, &size);
	for (int32_t i = 0; i < JOBS; i++) {
		char *job = g_strdup_printf("plat-%08d", i);

		job_record(&record, WWH_RECORD_JOB_DONE, AUTHOR, job, "",
			   first + 2 * i + 1);
		done_ns += apply(&bench, &record, &verdict);
		must(verdict == WWH_VERDICT_ACCEPTED, "done");
		g_free(job);
	}
	printf("\njobs: %d on 5100 workers\n", JOBS);
	printf("  submit, place         %.2f us a record\n",
	       placed_ns / (2.0 * JOBS) / NS_PER_US);
	printf("  done                  %.2f us a record\n",
	       done_ns / JOBS / NS_PER_US);
	printf("  bytes a job           %.0f\n", heap / JOBS);
	printf("  snapshot with them    %zu bytes, %.1f ms, back %.1f ms\n",
	       size, encode_ns / NS_PER_MS, decode_ns / NS_PER_MS);
	wwh_state_delete(bench.state);
}

static void apply_intents(wwh_intents_t *intents, int64_t offset,
			  wwh_record_t *record)
{
	GBytes *bytes = wwh_record_encode(record, NULL);
	wwh_record_t read;

	wwh_intents_apply_entry(intents, offset, g_bytes_get_data(bytes, NULL),
				g_bytes_get_size(bytes), &read, NULL, NULL,
				NULL);
	wwh_record_clear(&read);
	wwh_record_clear(record);
	g_bytes_unref(bytes);
}

static void add_item(wwh_record_t *record, int32_t number, bool result)
{
	/* A key as callers make them: a UUID's 36 characters. */
	char *key = g_strdup_printf("%08d-1111-2222-3333-444444444444", number);

	if (result)
		results_add(record, key, number, WWH_RESULT_ANSWERED,
			    "{\"number\": 1234567}");
	else
		intents_add(record, key, 1, number);
	g_free(key);
}

static int64_t fill(wwh_intents_t *intents, int64_t offset, bool results)
{
	for (int32_t i = 0; i < KEYS; i += BATCH) {
		wwh_record_t record;

		if (results)
			results_record(&record, AUTHOR);
		else
			intents_record(&record, AUTHOR);
		for (int32_t j = 0; j < BATCH; j++)
			add_item(&record, i + j, results);
		apply_intents(intents, offset++, &record);
	}
	return offset;
}

static void bench_intents(void)
{
	double before = heap_bytes();
	wwh_intents_t *intents = wwh_intents_new(NULL);
	double start = now_ns();
	int64_t offset = fill(intents, 0, false);
	double intents_ns = now_ns() - start;
	double intents_heap = heap_bytes() - before;
	double results_ns;
	double results_heap;
	double snapshot_ns;
	wwh_record_t record;
	GBytes *bytes;

	start = now_ns();
	offset = fill(intents, offset, true);
	results_ns = now_ns() - start;
	results_heap = heap_bytes() - before;
	start = now_ns();
	bytes = wwh_snapshot_encode_intents(intents);
	snapshot_ns = now_ns() - start;
	printf("\nintents: %d keys of 36 bytes in batches of %d\n", KEYS,
	       BATCH);
	printf("  intents a second      %.0f\n",
	       KEYS / (intents_ns / NS_PER_S));
	printf("  results a second      %.0f\n",
	       KEYS / (results_ns / NS_PER_S));
	printf("  bytes a key           %.0f in progress, %.0f answered\n",
	       intents_heap / KEYS, results_heap / KEYS);
	printf("  snapshot              %zu bytes, %.1f ms\n",
	       g_bytes_get_size(bytes), snapshot_ns / NS_PER_MS);
	g_bytes_unref(bytes);
	expire_record(&record, AUTHOR, offset, 0);
	start = now_ns();
	apply_intents(intents, offset, &record);
	printf("  expiry of all         %.1f ms, %.0f bytes a tombstone\n",
	       (now_ns() - start) / NS_PER_MS, (heap_bytes() - before) / KEYS);
	wwh_intents_delete(intents);
}

int main(void)
{
	printf("workers pools  grant/us   rack/us  renew/us  change/ms "
	       "B/worker "
	       "snapshot/B encode/ms decode/ms check/ms\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		bench_size(&sizes[i]);
	bench_jobs();
	bench_intents();
	return 0;
}
