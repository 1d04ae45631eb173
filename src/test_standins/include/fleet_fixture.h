#ifndef FLEET_FIXTURE_H
#define FLEET_FIXTURE_H

/* Fleets of the sizes that the brief names, for tests and benches. */

#include <glib.h>

#include "waxwinghollow/fleet_view.h"

typedef struct {
	int32_t workers;
	int32_t per_rack;
	int32_t zones;
	int32_t pools;
	bool racks_by_pool; /* else each rack holds several pools */
	int32_t cores;
	int64_t memory_mb;
	wwh_pool_t rule; /* but for its id */
} fleet_fixture_t;

#define FLEET_FIXTURE_RULE(domain)                                             \
	{                                                                      \
		.lose_count = 4, .lose_percent = 40, .lose_per_rack = 0,       \
		.lose_per_zone = 0, .reserve = (domain)                        \
	}

/* Bounce Meitheal: 50 workers, three zones, every rack of several pools. */
static inline fleet_fixture_t fleet_fixture_bounce(void)
{
	return (fleet_fixture_t){ .workers = 50,
				  .per_rack = 4,
				  .zones = 3,
				  .pools = 5,
				  .cores = 32,
				  .memory_mb = 128 * 1024,
				  .rule = FLEET_FIXTURE_RULE(WWH_DOMAIN_RACK) };
}

/* Peachtree: 50 workers, four zones. */
static inline fleet_fixture_t fleet_fixture_peachtree(void)
{
	return (fleet_fixture_t){ .workers = 50,
				  .per_rack = 4,
				  .zones = 4,
				  .pools = 5,
				  .cores = 32,
				  .memory_mb = 64 * 1024,
				  .rule = FLEET_FIXTURE_RULE(WWH_DOMAIN_RACK) };
}

/* The target: 5,100 workers in 232 pools, 17 zones. */
static inline fleet_fixture_t fleet_fixture_target(void)
{
	fleet_fixture_t fixture = {
		.workers = 5100,
		.per_rack = 4,
		.zones = 17,
		.pools = 232,
		.racks_by_pool = true,
		.cores = 32,
		.memory_mb = 128 * 1024,
		.rule = FLEET_FIXTURE_RULE(WWH_DOMAIN_RACK),
	};

	fixture.rule.lose_count = 8;
	return fixture;
}

static inline int32_t fleet_fixture_pool_of(const fleet_fixture_t *fixture,
					    int32_t worker)
{
	if (!fixture->racks_by_pool)
		return worker % fixture->pools;
	return worker / fixture->per_rack % fixture->pools;
}

/* The fixture's worker; the caller keeps texts until it is added. */
static inline wwh_worker_t fleet_fixture_worker(const fleet_fixture_t *fixture,
						int32_t index,
						char texts[4][24])
{
	int32_t rack = index / fixture->per_rack;

	g_snprintf(texts[0], 24, "w%05d", index);
	g_snprintf(texts[1], 24, "rack%04d", rack);
	g_snprintf(texts[2], 24, "zone%02d", rack % fixture->zones);
	g_snprintf(texts[3], 24, "pool%03d",
		   fleet_fixture_pool_of(fixture, index));
	return (wwh_worker_t){ .id = texts[0],
			       .rack = texts[1],
			       .zone = texts[2],
			       .pool = texts[3],
			       .region = (char *)"",
			       .address = (char *)"",
			       .cores = fixture->cores,
			       .memory_mb = fixture->memory_mb };
}

/* Pools and workers, without jobs and not sealed. */
static inline wwh_fleet_view_t *
fleet_fixture_view(const fleet_fixture_t *fixture)
{
	wwh_fleet_view_t *view = wwh_fleet_view_new();
	char texts[4][24];

	for (int32_t i = 0; i < fixture->pools; i++) {
		wwh_pool_t rule = fixture->rule;

		g_snprintf(texts[0], 24, "pool%03d", i);
		rule.id = texts[0];
		wwh_fleet_view_add_pool(view, &rule);
	}
	for (int32_t i = 0; i < fixture->workers; i++) {
		wwh_worker_t worker = fleet_fixture_worker(fixture, i, texts);

		wwh_fleet_view_add_worker(view, &worker);
	}
	return view;
}

/* Runs jobs of 4 cores on two of three workers; end: 0 or a time. */
static inline void fleet_fixture_jobs(wwh_fleet_view_t *view,
				      int32_t per_worker, int64_t end_ms)
{
	int32_t workers = wwh_fleet_worker_count(view);

	for (int32_t i = 0; i < workers * per_worker; i++) {
		char id[24];
		wwh_fleet_job_t job = { .id = id,
					.team = "team",
					.group = "",
					.worker = i / per_worker,
					.phase = WWH_JOB_PHASE_PLACED,
					.declared = { 4000, 4096, 0 },
					.lease = WWH_NO_OFFSET,
					.report = WWH_FLEET_UNKNOWN,
					.expected_end_ms = end_ms };

		if (job.worker % 3 == 0)
			continue;
		job.pool = wwh_fleet_worker(view, job.worker)->pool;
		g_snprintf(id, sizeof(id), "job%06d", i);
		wwh_fleet_view_add_job(view, &job);
	}
}

#endif
