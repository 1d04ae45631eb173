#ifndef WWH_TEST_STATE_ORACLE_H
#define WWH_TEST_STATE_ORACLE_H

/*
 * NAME
 *	state_oracle - what stream control decides, written plainly
 *
 * USE
 *	Written from the rules in state.h alone, for a fleet of a few workers:
 *	no counts are kept, every question is answered by looking at all of
 *	them. oracle_apply says whether a record takes effect, and lets it.
 */

#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "../test_state/fleet_fixture.h"
#include "waxwinghollow/state.h"

#define ORACLE_WORKERS 20
#define ORACLE_POOLS 3
#define ORACLE_THINGS 6 /* waves, rehearsals, jobs each */
#define ORACLE_NAME 16
#define NOBODY (-1)

typedef struct {
	int32_t lose_count;
	int32_t lose_percent;
	int32_t per_rack;
	int32_t per_zone;
	wwh_domain_t reserve;
	const char *json;
} oracle_rule_t;

static const oracle_rule_t oracle_rules[] = {
	{ 2, 100, 0, 0, WWH_DOMAIN_WORKER, ", \"lose_count\": 2" },
	{ 5, 50, 0, 0, WWH_DOMAIN_WORKER,
	  ", \"lose_count\": 5, \"lose_percent\": 50" },
	{ 5, 100, 0, 0, WWH_DOMAIN_RACK,
	  ", \"lose_count\": 5, \"reserve\": \"rack\"" },
	{ 4, 100, 1, 2, WWH_DOMAIN_WORKER,
	  ", \"lose_count\": 4, \"lose_per_rack\": 1, \"lose_per_zone\": 2" },
	{ 9, 100, 0, 0, WWH_DOMAIN_ZONE,
	  ", \"lose_count\": 9, \"reserve\": \"zone\"" },
};

typedef struct {
	bool exists;
	int32_t pool; /* NOBODY: between pools */
	int32_t declared;
	int32_t wanted;
	int64_t failed;
	int64_t quarantined;
	int64_t grant;
	wwh_grant_reason_t reason;
	int32_t owner; /* of a wave or rehearsal */
	int64_t move;
	int32_t from;
	int32_t to;
} oracle_worker_t;

typedef struct {
	char holder[ORACLE_NAME]; /* "": free */
	int64_t fence;
	int64_t latest;
} oracle_lease_t;

typedef struct {
	bool known;
	int32_t pool;
	wwh_wave_phase_t phase;
	bool done[ORACLE_WORKERS];
} oracle_wave_t;

typedef struct {
	bool known;
	bool running;
	wwh_domain_t domain;
	char domain_id[ORACLE_NAME];
} oracle_rehearsal_t;

typedef struct {
	bool known;
	int32_t pool;
	bool idempotent;
	wwh_job_phase_t phase;
	int64_t fence;
} oracle_job_t;

typedef struct {
	int64_t version;
	fleet_t fleet;
	int32_t rule;
	oracle_worker_t worker[ORACLE_WORKERS];
	oracle_lease_t lease[WWH_SHARD_COUNT];
	oracle_wave_t wave[ORACLE_THINGS];
	oracle_rehearsal_t rehearsal[ORACLE_THINGS];
	oracle_job_t job[ORACLE_THINGS];
} oracle_t;

static inline int32_t oracle_index(const char *id)
{
	return id[0] == '\0' ? NOBODY : (int32_t)strtol(id + 1, NULL, 10);
}

static inline int32_t oracle_rack(int32_t worker)
{
	return worker / FLEET_RACK_SIZE;
}

static inline int32_t oracle_zone(const oracle_t *oracle, int32_t worker)
{
	return oracle_rack(worker) % oracle->fleet.zones;
}

static inline bool oracle_lost(const oracle_worker_t *worker)
{
	return worker->grant != WWH_NO_OFFSET ||
	       worker->failed != WWH_NO_OFFSET ||
	       worker->quarantined != WWH_NO_OFFSET;
}

static inline int32_t oracle_home(const oracle_worker_t *worker)
{
	return worker->pool != NOBODY ? worker->pool : worker->from;
}

static inline bool oracle_is_declared(const fleet_t *fleet, int32_t worker)
{
	return worker >= fleet->first_worker && worker < fleet->workers;
}

static inline int32_t oracle_declared(const fleet_t *fleet, int32_t worker)
{
	return worker == fleet->odd_worker ? fleet->odd_pool
					   : worker % fleet->pools;
}

/* Whether author holds the shard of pool under fence. */
static inline bool oracle_holds(const oracle_t *oracle, int32_t pool,
				const char *author, int64_t fence)
{
	char id[ORACLE_NAME];
	const oracle_lease_t *lease;

	(void)snprintf(id, sizeof(id), "p%03d", pool);
	lease = &oracle->lease[wwh_shard_of_pool(id)];
	return lease->holder[0] != '\0' && lease->fence == fence &&
	       strcmp(lease->holder, author) == 0;
}

/* How many whole members of pool one failure of a domain may take. */
static inline int32_t oracle_reserve(const oracle_t *oracle, int32_t pool,
				     wwh_domain_t domain,
				     const bool lost[ORACLE_WORKERS])
{
	int32_t largest = 0;

	for (int32_t i = 0; i < ORACLE_WORKERS; i++) {
		int32_t together = 0;

		for (int32_t j = 0; j < ORACLE_WORKERS; j++) {
			bool same = i == j;

			if (domain == WWH_DOMAIN_RACK)
				same = oracle_rack(i) == oracle_rack(j);
			if (domain == WWH_DOMAIN_ZONE)
				same = oracle_zone(oracle, i) ==
				       oracle_zone(oracle, j);
			if (same && oracle->worker[j].exists &&
			    oracle->worker[j].pool == pool && !lost[j])
				together++;
		}
		largest = MAX(largest, together);
	}
	return largest;
}

static inline bool oracle_total_fits(const oracle_t *oracle, int32_t pool,
				     wwh_domain_t reserve,
				     const bool lost[ORACLE_WORKERS])
{
	const oracle_rule_t *rule = &oracle_rules[oracle->rule];
	int32_t members = 0;
	int32_t out = 0;

	for (int32_t i = 0; i < ORACLE_WORKERS; i++) {
		if (!oracle->worker[i].exists || oracle->worker[i].pool != pool)
			continue;
		members++;
		out += lost[i] ? 1 : 0;
	}
	return out + oracle_reserve(oracle, pool, reserve, lost) <=
	       MIN(rule->lose_count, members * rule->lose_percent / 100);
}

static inline void oracle_all_lost(const oracle_t *oracle,
				   bool lost[ORACLE_WORKERS])
{
	for (int32_t i = 0; i < ORACLE_WORKERS; i++)
		lost[i] = oracle_lost(&oracle->worker[i]);
}

static inline bool oracle_budget(const oracle_t *oracle, int32_t taken,
				 wwh_grant_reason_t reason)
{
	const oracle_rule_t *rule = &oracle_rules[oracle->rule];
	int32_t pool = oracle->worker[taken].pool;
	bool lost[ORACLE_WORKERS];
	int32_t in_rack = 0;
	int32_t in_zone = 0;

	oracle_all_lost(oracle, lost);
	if (lost[taken])
		return true;
	lost[taken] = true;
	for (int32_t i = 0; i < ORACLE_WORKERS; i++) {
		if (!oracle->worker[i].exists ||
		    oracle->worker[i].pool != pool || !lost[i])
			continue;
		in_rack += oracle_rack(i) == oracle_rack(taken);
		in_zone += oracle_zone(oracle, i) == oracle_zone(oracle, taken);
	}
	if (rule->per_rack > 0 && in_rack > rule->per_rack)
		return false;
	if (rule->per_zone > 0 && in_zone > rule->per_zone)
		return false;
	return oracle_total_fits(oracle, pool,
				 reason == WWH_GRANT_REHEARSAL
					 ? WWH_DOMAIN_WORKER
					 : rule->reserve,
				 lost);
}

static inline bool oracle_config_is_busy(const oracle_t *oracle,
					 const fleet_t *next)
{
	for (int32_t i = 0; i < ORACLE_WORKERS; i++) {
		const oracle_worker_t *worker = &oracle->worker[i];

		if (!worker->exists)
			continue;
		if (!oracle_is_declared(next, i)) {
			if (worker->grant != WWH_NO_OFFSET)
				return true;
			continue;
		}
		if (oracle_home(worker) >= next->pools)
			return true;
		if (worker->move != WWH_NO_OFFSET && worker->to >= next->pools)
			return true;
	}
	for (int32_t i = 0; i < ORACLE_THINGS; i++) {
		const oracle_wave_t *wave = &oracle->wave[i];

		if (wave->known && wave->phase <= WWH_WAVE_PHASE_PAUSED &&
		    wave->pool >= next->pools)
			return true;
	}
	return false;
}

static inline void oracle_adopt_worker(oracle_worker_t *worker, int32_t pool)
{
	if (!worker->exists) {
		memset(worker, 0, sizeof(*worker));
		worker->exists = true;
		worker->pool = pool;
		worker->declared = pool;
		worker->wanted = pool;
		worker->failed = WWH_NO_OFFSET;
		worker->quarantined = WWH_NO_OFFSET;
		worker->grant = WWH_NO_OFFSET;
		worker->move = WWH_NO_OFFSET;
	}
	if (worker->declared != pool)
		worker->wanted = pool;
	worker->declared = pool;
}

static inline wwh_verdict_t oracle_config(oracle_t *oracle, int64_t base,
					  const fleet_t *next, int32_t rule)
{
	if (base != oracle->version)
		return WWH_VERDICT_STALE_BASE;
	if (oracle_config_is_busy(oracle, next))
		return WWH_VERDICT_BUSY;
	oracle->version++;
	oracle->fleet = *next;
	oracle->rule = rule;
	for (int32_t i = 0; i < ORACLE_WORKERS; i++) {
		if (oracle_is_declared(next, i))
			oracle_adopt_worker(&oracle->worker[i],
					    oracle_declared(next, i));
		else
			oracle->worker[i].exists = false;
	}
	return WWH_VERDICT_ACCEPTED;
}

static inline bool oracle_lease(oracle_t *oracle, int64_t offset,
				const wwh_record_t *record)
{
	const wwh_record_lease_t *body = &record->body.lease;
	oracle_lease_t *lease = &oracle->lease[body->shard];

	if (record->kind == WWH_RECORD_LEASE_TAKE) {
		if (lease->latest != body->offset)
			return false;
		(void)snprintf(lease->holder, sizeof(lease->holder), "%s",
			       record->author);
		lease->fence = offset;
		lease->latest = offset;
		return true;
	}
	if (strcmp(lease->holder, record->author) != 0 ||
	    lease->fence != body->offset)
		return false;
	lease->latest = offset;
	if (record->kind == WWH_RECORD_LEASE_RELEASE) {
		lease->holder[0] = '\0';
		lease->fence = WWH_NO_OFFSET;
		lease->latest = WWH_NO_OFFSET;
	}
	return true;
}

static inline bool oracle_owner_agrees(const oracle_t *oracle, int32_t index,
				       wwh_grant_reason_t reason, int32_t owner)
{
	const oracle_rehearsal_t *rehearsal;
	const oracle_wave_t *wave;
	char id[ORACLE_NAME];

	if (reason == WWH_GRANT_MOVE || reason == WWH_GRANT_REPAIR)
		return true;
	if (owner < 0 || owner >= ORACLE_THINGS)
		return false;
	if (reason == WWH_GRANT_WAVE) {
		wave = &oracle->wave[owner];
		return wave->known && wave->phase == WWH_WAVE_PHASE_RUNNING &&
		       wave->pool == oracle->worker[index].pool &&
		       !wave->done[index];
	}
	rehearsal = &oracle->rehearsal[owner];
	if (!rehearsal->known || !rehearsal->running)
		return false;
	if (rehearsal->domain == WWH_DOMAIN_RACK)
		(void)snprintf(id, sizeof(id), "r%04d", oracle_rack(index));
	else
		(void)snprintf(id, sizeof(id), "z%02d",
			       oracle_zone(oracle, index));
	return strcmp(id, rehearsal->domain_id) == 0;
}

static inline bool oracle_grant(oracle_t *oracle, int64_t offset,
				const wwh_record_t *record)
{
	const wwh_record_grant_request_t *body = &record->body.grant_request;
	int32_t index = oracle_index(body->worker);
	oracle_worker_t *worker = &oracle->worker[index];
	int32_t owner = oracle_index(body->owner);

	if (!worker->exists ||
	    !oracle_holds(oracle, oracle_home(worker), record->author,
			  body->fence) ||
	    worker->grant != WWH_NO_OFFSET ||
	    !oracle_owner_agrees(oracle, index, body->reason, owner) ||
	    !oracle_budget(oracle, index, body->reason))
		return false;
	worker->grant = offset;
	worker->reason = body->reason;
	worker->owner = owner;
	return true;
}

static inline bool oracle_grant_end(oracle_t *oracle, int64_t offset,
				    const wwh_record_t *record)
{
	const wwh_record_grant_end_t *body = &record->body.grant_end;
	int32_t index = oracle_index(body->worker);
	oracle_worker_t *worker = &oracle->worker[index];

	if (!worker->exists ||
	    !oracle_holds(oracle, oracle_home(worker), record->author,
			  body->fence) ||
	    worker->grant == WWH_NO_OFFSET || worker->grant != body->grant ||
	    worker->move != WWH_NO_OFFSET || body->outcome == WWH_GRANT_MOVED)
		return false;
	if (body->outcome == WWH_GRANT_FAILED)
		worker->failed = offset;
	if (body->outcome == WWH_GRANT_RETURNED &&
	    worker->reason == WWH_GRANT_WAVE)
		oracle->wave[worker->owner].done[index] = true;
	worker->grant = WWH_NO_OFFSET;
	return true;
}

static inline bool oracle_flag(oracle_t *oracle, int64_t offset,
			       const wwh_record_t *record)
{
	const wwh_record_worker_t *body = &record->body.worker;
	oracle_worker_t *worker = &oracle->worker[oracle_index(body->worker)];

	if (!worker->exists)
		return false;
	if (record->kind == WWH_RECORD_WORKER_FAILED) {
		worker->failed = offset;
		return true;
	}
	if (record->kind == WWH_RECORD_WORKER_RETURNED) {
		if (!oracle_holds(oracle, oracle_home(worker), record->author,
				  body->fence) ||
		    worker->failed == WWH_NO_OFFSET ||
		    worker->failed != body->seen)
			return false;
		worker->failed = WWH_NO_OFFSET;
		return true;
	}
	if ((worker->quarantined != WWH_NO_OFFSET) ==
	    (record->kind == WWH_RECORD_WORKER_QUARANTINE))
		return false;
	worker->quarantined = record->kind == WWH_RECORD_WORKER_QUARANTINE
				      ? offset
				      : WWH_NO_OFFSET;
	return true;
}

static inline bool oracle_may_leave(const oracle_t *oracle, int32_t index)
{
	oracle_t without = *oracle;
	int32_t pool = oracle->worker[index].pool;
	bool lost[ORACLE_WORKERS];

	without.worker[index].pool = NOBODY;
	oracle_all_lost(&without, lost);
	return oracle_total_fits(&without, pool,
				 oracle_rules[oracle->rule].reserve, lost);
}

static inline bool oracle_move(oracle_t *oracle, int64_t offset,
			       const wwh_record_t *record)
{
	const wwh_record_move_t *body = &record->body.move;
	int32_t index = oracle_index(body->worker);
	oracle_worker_t *worker = &oracle->worker[index];
	int32_t to = oracle_index(body->to_pool);
	bool moves = worker->move != WWH_NO_OFFSET;

	if (!worker->exists ||
	    !oracle_holds(oracle, oracle_home(worker), record->author,
			  body->fence) ||
	    worker->grant == WWH_NO_OFFSET || worker->grant != body->grant ||
	    worker->reason != WWH_GRANT_MOVE)
		return false;
	if (record->kind == WWH_RECORD_MOVE_START) {
		if (moves || to < 0 || to >= oracle->fleet.pools ||
		    to == worker->pool || !oracle_may_leave(oracle, index))
			return false;
		worker->move = offset;
		worker->from = worker->pool;
		worker->to = to;
		worker->pool = NOBODY;
		return true;
	}
	if (!moves)
		return false;
	if (record->kind == WWH_RECORD_MOVE_FINISH) {
		if (worker->wanted == worker->from)
			worker->wanted = worker->to;
		worker->pool = worker->to;
	} else {
		worker->pool = worker->from;
	}
	worker->move = WWH_NO_OFFSET;
	worker->grant = WWH_NO_OFFSET;
	return true;
}

static inline bool oracle_wave_start(oracle_t *oracle, oracle_wave_t *wave,
				     int32_t pool)
{
	if (wave->known || pool < 0 || pool >= oracle->fleet.pools ||
	    oracle->version == 0)
		return false;
	for (int32_t i = 0; i < ORACLE_THINGS; i++) {
		const oracle_wave_t *other = &oracle->wave[i];

		if (other->known && other->pool == pool &&
		    other->phase <= WWH_WAVE_PHASE_PAUSED)
			return false;
	}
	wave->known = true;
	wave->pool = pool;
	wave->phase = WWH_WAVE_PHASE_RUNNING;
	return true;
}

static inline bool oracle_wave(oracle_t *oracle, const wwh_record_t *record)
{
	const wwh_record_wave_t *body = &record->body.wave;
	int32_t index = oracle_index(body->wave);
	oracle_wave_t *wave = &oracle->wave[index];
	bool ended = wave->phase >= WWH_WAVE_PHASE_ABORTED;

	if (record->kind == WWH_RECORD_WAVE_START)
		return oracle_wave_start(oracle, wave,
					 oracle_index(body->pool));
	if (!wave->known || ended)
		return false;
	if (record->kind == WWH_RECORD_WAVE_PAUSE ||
	    record->kind == WWH_RECORD_WAVE_RESUME) {
		wwh_wave_phase_t next = record->kind == WWH_RECORD_WAVE_PAUSE
						? WWH_WAVE_PHASE_PAUSED
						: WWH_WAVE_PHASE_RUNNING;
		bool changes = wave->phase != next;

		wave->phase = next;
		return changes;
	}
	if (record->kind == WWH_RECORD_WAVE_ABORT) {
		wave->phase = WWH_WAVE_PHASE_ABORTED;
		return true;
	}
	if (!oracle_holds(oracle, wave->pool, record->author, body->fence))
		return false;
	for (int32_t i = 0; i < ORACLE_WORKERS; i++) {
		const oracle_worker_t *worker = &oracle->worker[i];

		if (worker->exists && worker->grant != WWH_NO_OFFSET &&
		    worker->reason == WWH_GRANT_WAVE && worker->owner == index)
			return false;
	}
	wave->phase = WWH_WAVE_PHASE_FINISHED;
	return true;
}

static inline bool oracle_has_domain(const oracle_t *oracle,
				     wwh_domain_t domain, const char *id)
{
	for (int32_t i = 0; i < ORACLE_WORKERS; i++) {
		int32_t place = domain == WWH_DOMAIN_RACK
					? oracle_rack(i)
					: oracle_zone(oracle, i);

		if (oracle->worker[i].exists && oracle_index(id) == place)
			return true;
	}
	return false;
}

static inline bool oracle_rehearsal(oracle_t *oracle,
				    const wwh_record_t *record)
{
	const wwh_record_rehearsal_t *body = &record->body.rehearsal;
	oracle_rehearsal_t *rehearsal =
		&oracle->rehearsal[oracle_index(body->rehearsal)];

	if (record->kind == WWH_RECORD_REHEARSAL_END) {
		bool running = rehearsal->running;

		rehearsal->running = false;
		return running;
	}
	if (rehearsal->known || oracle->version == 0 ||
	    !oracle_has_domain(oracle, (wwh_domain_t)body->domain,
			       body->domain_id))
		return false;
	rehearsal->known = true;
	rehearsal->running = true;
	rehearsal->domain = (wwh_domain_t)body->domain;
	(void)snprintf(rehearsal->domain_id, sizeof(rehearsal->domain_id), "%s",
		       body->domain_id);
	return true;
}

static inline bool oracle_place(oracle_t *oracle, int64_t offset,
				const wwh_record_t *record, oracle_job_t *job)
{
	const wwh_record_job_t *body = &record->body.job;
	const oracle_worker_t *worker =
		&oracle->worker[oracle_index(body->worker)];

	if (!oracle_holds(oracle, job->pool, record->author, body->fence) ||
	    job->phase != WWH_JOB_PHASE_PENDING || !worker->exists ||
	    worker->pool != job->pool || oracle_lost(worker))
		return false;
	job->phase = WWH_JOB_PHASE_PLACED;
	job->fence = offset;
	return true;
}

static inline bool oracle_report(const wwh_record_t *record, oracle_job_t *job)
{
	if (job->fence != record->body.job.fence ||
	    job->phase != WWH_JOB_PHASE_PLACED)
		return false;
	if (record->kind == WWH_RECORD_JOB_DONE)
		job->phase = WWH_JOB_PHASE_DONE;
	else if (record->kind == WWH_RECORD_JOB_CHECKPOINTED ||
		 job->idempotent || record->body.job.run == WWH_RUN_NOT_RUN)
		job->phase = WWH_JOB_PHASE_PENDING;
	else
		job->phase = WWH_JOB_PHASE_FAILED;
	return true;
}

static inline bool oracle_submit(oracle_t *oracle, const wwh_record_t *record)
{
	const wwh_record_job_submit_t *body = &record->body.job_submit;
	oracle_job_t *job = &oracle->job[oracle_index(body->job)];
	int32_t pool = oracle_index(body->pool);

	if (job->known || oracle->version == 0 || pool >= oracle->fleet.pools)
		return false;
	job->known = true;
	job->pool = pool;
	job->idempotent = body->idempotent;
	job->phase = WWH_JOB_PHASE_PENDING;
	job->fence = WWH_NO_OFFSET;
	return true;
}

static inline bool oracle_job(oracle_t *oracle, int64_t offset,
			      const wwh_record_t *record)
{
	oracle_job_t *job;

	if (record->kind == WWH_RECORD_JOB_SUBMIT)
		return oracle_submit(oracle, record);
	job = &oracle->job[oracle_index(record->body.job.job)];
	if (!job->known)
		return false;
	if (record->kind == WWH_RECORD_JOB_PLACE)
		return oracle_place(oracle, offset, record, job);
	if (record->kind != WWH_RECORD_JOB_CANCEL)
		return oracle_report(record, job);
	if (job->phase >= WWH_JOB_PHASE_DONE)
		return false;
	job->phase = WWH_JOB_PHASE_CANCELLED;
	return true;
}

/* Whether a record of any kind but a configuration takes effect. */
static inline bool oracle_apply(oracle_t *oracle, int64_t offset,
				const wwh_record_t *record)
{
	if (record->kind <= WWH_RECORD_LEASE_RELEASE)
		return oracle_lease(oracle, offset, record);
	if (record->kind == WWH_RECORD_GRANT_REQUEST)
		return oracle_grant(oracle, offset, record);
	if (record->kind == WWH_RECORD_GRANT_END)
		return oracle_grant_end(oracle, offset, record);
	if (record->kind <= WWH_RECORD_WORKER_UNQUARANTINE)
		return oracle_flag(oracle, offset, record);
	if (record->kind <= WWH_RECORD_MOVE_CANCEL)
		return oracle_move(oracle, offset, record);
	if (record->kind <= WWH_RECORD_WAVE_FINISH)
		return oracle_wave(oracle, record);
	if (record->kind <= WWH_RECORD_REHEARSAL_END)
		return oracle_rehearsal(oracle, record);
	return oracle_job(oracle, offset, record);
}

static inline void oracle_init(oracle_t *oracle)
{
	memset(oracle, 0, sizeof(*oracle));
	for (int32_t i = 0; i < WWH_SHARD_COUNT; i++) {
		oracle->lease[i].fence = WWH_NO_OFFSET;
		oracle->lease[i].latest = WWH_NO_OFFSET;
	}
}

#endif
