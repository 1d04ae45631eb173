#include <assert.h>
#include <stdio.h>

#include "state_oracle.h"
#include "waxwinghollow/snapshot.h"

/*
 * Bytes are operations of three processes on one log: publications, leases, grants, moves, waves, rehearsals, failures and jobs,
 * each made from a view that may lag (a pause), appended now, twice (its
 * answer was lost) or much later; crashes and restarts from a snapshot;
 * foreign bytes. At every offset the verdict must be the oracle's, the
 * invariants hold and what the accessors tell is what the oracle knows;
 * every replica must reach the same verdicts and, at the end, the same bytes.
 */

#define ACTORS 3
#define LOG_MAX 600
#define VARIANTS 60 /* of the configuration */

typedef struct {
	char name[ORACLE_NAME];
	wwh_state_t *view;
	int64_t position;
	int64_t fence[WWH_SHARD_COUNT]; /* of takes that it saw accepted */
	GBytes *late;
	int32_t late_variant;
} actor_t;

typedef struct {
	GBytes *bytes;
	int32_t variant; /* of a configuration; NOBODY else */
	wwh_verdict_t verdict;
} entry_t;

typedef struct {
	const uint8_t *data;
	size_t size;
	actor_t actor[ACTORS];
	int32_t incarnations;
	entry_t log[LOG_MAX];
	int64_t next;
	wwh_state_t *reference;
	oracle_t oracle;
} world_t;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void read_log(world_t *world, actor_t *actor, int64_t count);

static uint8_t take(world_t *world)
{
	if (world->size == 0)
		return 0;
	world->size--;
	return *world->data++;
}

static fleet_t variant_fleet(int32_t variant)
{
	fleet_t fleet = { .workers = 14 + variant % 2 * 4,
			  .pools = 2 + variant / 2 % 2,
			  .zones = 2 + variant / 4 % 3 / 2,
			  .odd_worker = variant / 4 % 3 == 1 ? 6 : NOBODY,
			  .odd_pool = 1 };

	fleet.rule = oracle_rules[variant / 12].json;
	return fleet;
}

/* Parsing is slow; the same few configurations are used by all runs. */
static const wwh_config_t *variant_config(int32_t variant)
{
	static wwh_config_t *configs[VARIANTS];
	fleet_t fleet = variant_fleet(variant);

	if (configs[variant] == NULL)
		configs[variant] = fleet_config(&fleet);
	return configs[variant];
}

static void worker_name(int32_t index, char name[ORACLE_NAME])
{
	(void)snprintf(name, ORACLE_NAME, "w%04d", index);
}

static void thing_name(char prefix, int32_t index, char name[ORACLE_NAME])
{
	(void)snprintf(name, ORACLE_NAME, "%c%03d", prefix, index);
}

static void compare_worker(const world_t *world, int32_t index)
{
	const oracle_worker_t *expected = &world->oracle.worker[index];
	char id[ORACLE_NAME];
	wwh_worker_view_t view;

	worker_name(index, id);
	assert(wwh_state_worker(world->reference, id, &view) ==
	       expected->exists);
	if (!expected->exists)
		return;
	assert(oracle_index(view.pool) == expected->pool);
	assert(oracle_index(view.wanted_pool) ==
	       (expected->pool == NOBODY && expected->wanted == expected->from
			? expected->from
			: expected->wanted));
	assert(view.failed == expected->failed);
	assert(view.quarantined == expected->quarantined);
	assert(view.grant == expected->grant);
	assert(view.move == expected->move);
	assert(view.lost == oracle_lost(expected));
}

static void compare_pool(const world_t *world, int32_t pool)
{
	char id[ORACLE_NAME];
	wwh_pool_view_t view;
	int32_t members = 0;
	int32_t lost = 0;

	thing_name('p', pool, id);
	if (!wwh_state_pool(world->reference, id, &view)) {
		assert(world->oracle.version == 0 ||
		       pool >= world->oracle.fleet.pools);
		return;
	}
	for (int32_t i = 0; i < ORACLE_WORKERS; i++) {
		const oracle_worker_t *worker = &world->oracle.worker[i];

		if (!worker->exists || worker->pool != pool)
			continue;
		members++;
		lost += oracle_lost(worker);
	}
	assert(view.members == members);
	assert(view.lost == lost);
}

static void compare_things(const world_t *world, int32_t index)
{
	char id[ORACLE_NAME];
	wwh_wave_view_t wave;
	wwh_rehearsal_view_t rehearsal;
	wwh_job_view_t job;

	thing_name('v', index, id);
	assert(wwh_state_wave(world->reference, id, &wave) ==
	       world->oracle.wave[index].known);
	if (world->oracle.wave[index].known)
		assert(wave.phase == world->oracle.wave[index].phase);
	thing_name('h', index, id);
	assert(wwh_state_rehearsal(world->reference, id, &rehearsal) ==
	       world->oracle.rehearsal[index].known);
	if (world->oracle.rehearsal[index].known)
		assert(rehearsal.running ==
		       world->oracle.rehearsal[index].running);
	thing_name('j', index, id);
	assert(wwh_state_job(world->reference, id, &job) ==
	       world->oracle.job[index].known);
	if (world->oracle.job[index].known)
		assert(job.phase == world->oracle.job[index].phase &&
		       job.fence == world->oracle.job[index].fence);
}

static void compare_all(const world_t *world)
{
	assert(wwh_state_config_version(world->reference) ==
	       world->oracle.version);
	for (int32_t i = 0; i < ORACLE_WORKERS; i++)
		compare_worker(world, i);
	for (int32_t i = 0; i < ORACLE_POOLS; i++)
		compare_pool(world, i);
	for (int32_t i = 0; i < ORACLE_THINGS; i++)
		compare_things(world, i);
	for (int32_t i = 0; i < WWH_SHARD_COUNT; i++) {
		wwh_lease_view_t lease = wwh_state_lease(world->reference, i);

		assert(lease.latest == world->oracle.lease[i].latest);
		assert(lease.fence == world->oracle.lease[i].fence);
		assert(strcmp(lease.holder, world->oracle.lease[i].holder) ==
		       0);
	}
}

static void compare_verdict(world_t *world, int64_t offset,
			    const wwh_record_t *record, int32_t variant,
			    wwh_verdict_t verdict)
{
	fleet_t fleet;

	if (record->author == NULL) {
		assert(verdict == WWH_VERDICT_MALFORMED);
	} else if (record->kind == WWH_RECORD_CONFIG) {
		fleet = variant_fleet(variant);
		assert(verdict ==
		       oracle_config(&world->oracle,
				     record->body.config.base_version, &fleet,
				     variant / 12));
	} else {
		assert((verdict == WWH_VERDICT_ACCEPTED) ==
		       oracle_apply(&world->oracle, offset, record));
	}
}

/* Takes bytes over. */
static void append(world_t *world, GBytes *bytes, int32_t variant)
{
	int64_t offset = world->next;
	entry_t *entry;
	wwh_record_t record;

	if (offset == LOG_MAX) {
		g_bytes_unref(bytes);
		return;
	}
	world->next++;
	entry = &world->log[offset];
	entry->bytes = bytes;
	entry->variant = variant;
	entry->verdict = wwh_state_apply_entry(
		world->reference, offset, g_bytes_get_data(bytes, NULL),
		g_bytes_get_size(bytes), &record, NULL);
	compare_verdict(world, offset, &record, variant, entry->verdict);
	wwh_record_clear(&record);
	compare_all(world);
}

static void append_or_delay(world_t *world, actor_t *actor,
			    wwh_record_t *record, int32_t variant)
{
	GBytes *bytes = wwh_record_encode(record, NULL);
	uint8_t how = take(world) % 8;

	assert(bytes != NULL);
	wwh_record_clear(record);
	if (how == 0 && actor->late == NULL) {
		actor->late = bytes;
		actor->late_variant = variant;
		return;
	}
	append(world, g_bytes_ref(bytes), variant);
	if (how == 1)
		append(world, g_bytes_ref(bytes), variant);
	/* Mostly the sender reads on, or runs would not get far. */
	if (how >= 3)
		read_log(world, actor, LOG_MAX);
	g_bytes_unref(bytes);
}

static void note_fence(actor_t *actor, const wwh_record_t *record,
		       wwh_verdict_t verdict, int64_t offset)
{
	if (verdict == WWH_VERDICT_ACCEPTED &&
	    record->kind == WWH_RECORD_LEASE_TAKE &&
	    strcmp(record->author, actor->name) == 0)
		actor->fence[record->body.lease.shard] = offset;
}

static void read_log(world_t *world, actor_t *actor, int64_t count)
{
	while (count-- > 0 && actor->position < world->next) {
		int64_t offset = actor->position++;
		const entry_t *entry = &world->log[offset];
		wwh_record_t record;
		wwh_verdict_t verdict = wwh_state_apply_entry(
			actor->view, offset,
			g_bytes_get_data(entry->bytes, NULL),
			g_bytes_get_size(entry->bytes), &record, NULL);

		assert(verdict == entry->verdict);
		note_fence(actor, &record, verdict, offset);
		wwh_record_clear(&record);
	}
}

static void op_config(world_t *world, actor_t *actor)
{
	int32_t variant = take(world) % VARIANTS;
	const wwh_config_t *base = wwh_state_config(actor->view);
	wwh_config_change_t *change =
		wwh_config_diff(base, variant_config(variant));
	wwh_record_t record;

	wwh_record_init(&record, WWH_RECORD_CONFIG, actor->name);
	record.body.config.base_version = wwh_config_version(base);
	g_bytes_unref(record.body.config.change);
	record.body.config.change = wwh_config_change_encode(change);
	wwh_config_change_delete(change);
	append_or_delay(world, actor, &record, variant);
}

static int32_t some_shard(world_t *world)
{
	char pool[ORACLE_NAME];

	thing_name('p', take(world) % ORACLE_POOLS, pool);
	return wwh_shard_of_pool(pool);
}

static void op_lease(world_t *world, actor_t *actor)
{
	int32_t shard = some_shard(world);
	uint8_t what = take(world) % 8;
	wwh_record_kind_t kind = WWH_RECORD_LEASE_TAKE;
	int64_t offset = wwh_state_lease(actor->view, shard).latest;
	wwh_record_t record;

	if (what >= 5) {
		kind = what == 7 ? WWH_RECORD_LEASE_RELEASE
				 : WWH_RECORD_LEASE_RENEW;
		offset = actor->fence[shard];
	}
	lease_record(&record, kind, actor->name, shard, offset);
	append_or_delay(world, actor, &record, NOBODY);
}

static int64_t fence_for(const actor_t *actor, const wwh_worker_view_t *view)
{
	const char *home = view->pool[0] != '\0' ? view->pool : view->move_from;

	return actor->fence[wwh_shard_of_pool(home)];
}

typedef bool (*wanted_t)(const wwh_worker_view_t *view);

static bool any_worker(const wwh_worker_view_t *view)
{
	(void)view;
	return true;
}

static bool is_granted(const wwh_worker_view_t *view)
{
	return view->grant != WWH_NO_OFFSET;
}

static bool is_moving(const wwh_worker_view_t *view)
{
	return view->grant != WWH_NO_OFFSET &&
	       view->grant_reason == WWH_GRANT_MOVE;
}

/*
 * A worker that the actor sees as wanted, the first from a chosen one on; one
 * in eight is any. False when there is none.
 */
static bool some_worker(world_t *world, const actor_t *actor, wanted_t wanted,
			wwh_worker_view_t *view, char id[ORACLE_NAME])
{
	uint8_t choice = take(world);

	if (choice >= 224)
		wanted = any_worker;
	for (int32_t i = 0; i < ORACLE_WORKERS; i++) {
		worker_name((choice + i) % ORACLE_WORKERS, id);
		if (wwh_state_worker(actor->view, id, view) && wanted(view))
			return true;
	}
	return false;
}

/* Mostly the actor that holds the lease of the worker's pool. */
static actor_t *some_holder(world_t *world, actor_t *actor,
			    const wwh_worker_view_t *view)
{
	const char *home = view->pool[0] != '\0' ? view->pool : view->move_from;
	wwh_lease_view_t lease =
		wwh_state_lease(world->reference, wwh_shard_of_pool(home));

	if (take(world) % 8 == 0)
		return actor;
	for (int32_t i = 0; i < ACTORS; i++) {
		if (strcmp(world->actor[i].name, lease.holder) == 0)
			return &world->actor[i];
	}
	return actor;
}

static void op_grant(world_t *world, actor_t *actor)
{
	wwh_worker_view_t view;
	char id[ORACLE_NAME];
	char owner[ORACLE_NAME];
	uint8_t choice = take(world);
	wwh_grant_reason_t reason = choice % WWH_GRANT_REASON_COUNT;
	wwh_record_t record;

	if (!some_worker(world, actor, any_worker, &view, id))
		return;
	actor = some_holder(world, actor, &view);
	thing_name(reason == WWH_GRANT_WAVE ? 'v' : 'h',
		   choice / WWH_GRANT_REASON_COUNT % ORACLE_THINGS, owner);
	grant_record(&record, actor->name, id, reason, owner,
		     fence_for(actor, &view));
	append_or_delay(world, actor, &record, NOBODY);
}

static void op_grant_end(world_t *world, actor_t *actor)
{
	wwh_worker_view_t view;
	char id[ORACLE_NAME];
	wwh_record_t record;

	if (!some_worker(world, actor, is_granted, &view, id))
		return;
	actor = some_holder(world, actor, &view);
	grant_end_record(&record, actor->name, id, view.grant,
			 take(world) % WWH_GRANT_OUTCOME_COUNT,
			 fence_for(actor, &view));
	append_or_delay(world, actor, &record, NOBODY);
}

static void op_flag(world_t *world, actor_t *actor)
{
	wwh_worker_view_t view;
	char id[ORACLE_NAME];
	wwh_record_t record;

	if (!some_worker(world, actor, any_worker, &view, id))
		return;
	actor = some_holder(world, actor, &view);
	worker_record(&record, WWH_RECORD_WORKER_FAILED + take(world) % 4,
		      actor->name, id, view.failed, fence_for(actor, &view));
	append_or_delay(world, actor, &record, NOBODY);
}

static void op_move(world_t *world, actor_t *actor)
{
	wwh_worker_view_t view;
	char id[ORACLE_NAME];
	char to[ORACLE_NAME];
	uint8_t choice = take(world);
	wwh_record_kind_t kind = WWH_RECORD_MOVE_START;
	wwh_record_t record;

	if (!some_worker(world, actor, is_moving, &view, id))
		return;
	actor = some_holder(world, actor, &view);
	thing_name('p', choice / 4 % ORACLE_POOLS, to);
	if (view.move != WWH_NO_OFFSET)
		kind = choice % 2 == 0 ? WWH_RECORD_MOVE_FINISH
				       : WWH_RECORD_MOVE_CANCEL;
	move_record(&record, kind, actor->name, id, to, view.grant,
		    fence_for(actor, &view));
	append_or_delay(world, actor, &record, NOBODY);
}

static void op_wave(world_t *world, actor_t *actor)
{
	uint8_t choice = take(world);
	wwh_record_kind_t kind = WWH_RECORD_WAVE_START + choice % 5;
	char pool[ORACLE_NAME];
	char id[ORACLE_NAME];
	wwh_wave_view_t view;
	wwh_record_t record;

	thing_name('v', choice / 5 % ORACLE_THINGS, id);
	thing_name('p', take(world) % ORACLE_POOLS, pool);
	wave_record(&record, kind, actor->name, id,
		    kind == WWH_RECORD_WAVE_START ? pool : "", WWH_NO_OFFSET);
	if (wwh_state_wave(actor->view, id, &view))
		record.body.wave.fence =
			actor->fence[wwh_shard_of_pool(view.pool)];
	append_or_delay(world, actor, &record, NOBODY);
}

static void op_rehearsal(world_t *world, actor_t *actor)
{
	uint8_t choice = take(world);
	wwh_domain_t domain =
		choice % 2 == 0 ? WWH_DOMAIN_RACK : WWH_DOMAIN_ZONE;
	char place[ORACLE_NAME];
	char id[ORACLE_NAME];
	wwh_record_t record;

	thing_name('h', choice / 2 % ORACLE_THINGS, id);
	(void)snprintf(place, sizeof(place),
		       domain == WWH_DOMAIN_RACK ? "r%04d" : "z%02d",
		       take(world) % 5);
	rehearsal_record(&record,
			 choice > 128 ? WWH_RECORD_REHEARSAL_END
				      : WWH_RECORD_REHEARSAL_START,
			 actor->name, id, domain, place);
	append_or_delay(world, actor, &record, NOBODY);
}

static void op_submit(world_t *world, actor_t *actor)
{
	uint8_t choice = take(world);
	char pool[ORACLE_NAME];
	char id[ORACLE_NAME];
	wwh_record_t record;

	thing_name('j', choice % ORACLE_THINGS, id);
	thing_name('p', choice / 8 % ORACLE_POOLS, pool);
	job_submit_record(&record, actor->name, id, pool, choice > 128);
	append_or_delay(world, actor, &record, NOBODY);
}

static void op_job(world_t *world, actor_t *actor)
{
	uint8_t choice = take(world);
	wwh_record_kind_t kind = WWH_RECORD_JOB_CANCEL + choice % 5;
	char worker[ORACLE_NAME];
	char id[ORACLE_NAME];
	wwh_job_view_t view;
	wwh_record_t record;

	thing_name('j', choice / 5 % ORACLE_THINGS, id);
	worker_name(take(world) % ORACLE_WORKERS, worker);
	if (!wwh_state_job(actor->view, id, &view))
		return;
	job_record(&record, kind, actor->name, id, worker,
		   kind == WWH_RECORD_JOB_PLACE
			   ? actor->fence[wwh_shard_of_pool(view.pool)]
			   : view.fence);
	record.body.job.run = take(world) % WWH_RUN_COUNT;
	append_or_delay(world, actor, &record, NOBODY);
}

/* A crash, and a restart from a snapshot of any replica. */
static void op_restart(world_t *world, actor_t *actor)
{
	const actor_t *from = &world->actor[take(world) % ACTORS];
	GBytes *bytes = wwh_snapshot_encode_state(from->view);
	int64_t position = from->position;
	wwh_state_t *view;
	wwh_status_t status =
		wwh_snapshot_decode_state(g_bytes_get_data(bytes, NULL),
					  g_bytes_get_size(bytes), &view, NULL);

	assert(status == WWH_STATUS_OK);
	g_bytes_unref(bytes);
	wwh_state_delete(actor->view);
	g_clear_pointer(&actor->late, g_bytes_unref);
	actor->view = view;
	actor->position = position;
	for (int32_t i = 0; i < WWH_SHARD_COUNT; i++)
		actor->fence[i] = WWH_NO_OFFSET;
	(void)snprintf(actor->name, sizeof(actor->name), "entry-%d",
		       world->incarnations++);
}

static void op_late(world_t *world, actor_t *actor)
{
	uint8_t foreign[3];

	if (actor->late != NULL) {
		append(world, g_steal_pointer(&actor->late),
		       actor->late_variant);
		return;
	}
	for (size_t i = 0; i < sizeof(foreign); i++)
		foreign[i] = take(world) | 0xc0;
	append(world, g_bytes_new(foreign, sizeof(foreign)), NOBODY);
}

typedef void (*operation_t)(world_t *world, actor_t *actor);

static void op_read(world_t *world, actor_t *actor)
{
	read_log(world, actor, 1 + take(world) % 16);
}

static const operation_t operations[] = {
	op_config,  op_lease,	  op_lease,  op_grant, op_grant,
	op_grant,   op_move,	  op_move,   op_flag,  op_grant_end,
	op_wave,    op_rehearsal, op_submit, op_job,   op_job,
	op_restart, op_late,	  op_read,   op_read,  op_read,
};

static void start(world_t *world)
{
	oracle_init(&world->oracle);
	world->reference = wwh_state_new();
	wwh_state_set_check(world->reference, true);
	for (int32_t i = 0; i < ACTORS; i++) {
		actor_t *actor = &world->actor[i];

		actor->view = wwh_state_new();
		for (int32_t shard = 0; shard < WWH_SHARD_COUNT; shard++)
			actor->fence[shard] = WWH_NO_OFFSET;
		(void)snprintf(actor->name, sizeof(actor->name), "entry-%d",
			       world->incarnations++);
	}
	/* One configuration and all leases, so that runs get further. */
	op_config(world, &world->actor[ACTORS - 1]);
	for (int32_t pool = 0; pool < ORACLE_POOLS; pool++) {
		char id[ORACLE_NAME];
		wwh_record_t record;

		thing_name('p', pool, id);
		lease_record(&record, WWH_RECORD_LEASE_TAKE,
			     world->actor[pool % 2].name, wwh_shard_of_pool(id),
			     WWH_NO_OFFSET);
		append_or_delay(world, &world->actor[pool % 2], &record,
				NOBODY);
	}
	for (int32_t i = 0; i < ACTORS; i++)
		read_log(world, &world->actor[i], LOG_MAX);
}

static void compare_replicas(world_t *world)
{
	GBytes *expected = wwh_snapshot_encode_state(world->reference);

	for (int32_t i = 0; i < ACTORS; i++) {
		GBytes *bytes;

		read_log(world, &world->actor[i], LOG_MAX);
		bytes = wwh_snapshot_encode_state(world->actor[i].view);
		assert(g_bytes_equal(bytes, expected));
		g_bytes_unref(bytes);
	}
	g_bytes_unref(expected);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_t *world = g_new0(world_t, 1);

	world->data = data;
	world->size = size;
	start(world);
	while (world->size > 0) {
		actor_t *actor = &world->actor[take(world) % ACTORS];

		operations[take(world) % G_N_ELEMENTS(operations)](world,
								   actor);
	}
	compare_replicas(world);
	for (int32_t i = 0; i < ACTORS; i++) {
		wwh_state_delete(world->actor[i].view);
		g_clear_pointer(&world->actor[i].late, g_bytes_unref);
	}
	for (int64_t i = 0; i < world->next; i++)
		g_bytes_unref(world->log[i].bytes);
	wwh_state_delete(world->reference);
	g_free(world);
	return 0;
}
