#include "private/entry_shards.h"

#include "private/entry_log.h"
#include "private/entry_peers.h"
#include "waxwinghollow/lease_keeper.h"

/*
 * With 32 shards, each renewed after a third of its lease, the deployment makes
 * 19 appends a second, whatever the number of pools. A longer lease would cost
 * fewer, but urgent work must start within 7.2 s even if a holder has just
 * died. There is no grace period for the previous holder: its records are
 * rejected and its commands carry outdated fencing tokens.
 */
#define SHARD_LEASE_MS 5000

/*
 * A process releases surplus shards after this time only, so that a member that
 * joins and leaves repeatedly takes no work away from one that stays.
 */
#define SHARD_SETTLE_MS 10000

struct wwh_entry_shards {
	wwh_entry_t *entry;
	wwh_lease_keeper_t *keeper;
	wwh_counter_t *held;
};

static bool submit_lease_record(wwh_entry_shards_t *shards,
				const wwh_lease_action_t *action);
static uint64_t wanted_shards(wwh_entry_shards_t *shards);
static void set_rank(wwh_entry_shards_t *shards);

wwh_entry_shards_t *wwh_entry_shards_new(wwh_entry_t *entry)
{
	wwh_entry_shards_t *shards = g_new0(wwh_entry_shards_t, 1);
	wwh_lease_keeper_options_t keeper = wwh_lease_keeper_options_defaults();

	shards->entry = entry;
	keeper.author = entry->author;
	keeper.duration_ms = SHARD_LEASE_MS;
	keeper.grace_ms = 0;
	keeper.settle_ms = SHARD_SETTLE_MS;
	shards->keeper = wwh_lease_keeper_new(&keeper);
	shards->held = wwh_counters_get(entry->counters, "fleet.shards");
	return shards;
}

void wwh_entry_shards_delete(wwh_entry_shards_t *shards)
{
	if (shards == NULL)
		return;
	wwh_lease_keeper_delete(shards->keeper);
	g_free(shards);
}

int32_t wwh_entry_shards_held(wwh_entry_shards_t *shards)
{
	return (int32_t)wwh_counter_value(shards->held);
}

void wwh_entry_shards_round(wwh_entry_shards_t *shards, bool release_all)
{
	wwh_entry_t *entry = shards->entry;
	int64_t now_ms = wwh_now_ms();
	wwh_lease_action_t action;

	/*
	 * Two consecutive reads may take their full timeouts. With a shorter
	 * bound a slow log or a busy host is repeatedly treated as a gap, and
	 * the shards of a dead holder are never taken over.
	 */
	if (now_ms - wwh_entry_log_read_sent_ms(entry->log) >
	    2 * entry->settings->log_read_timeout_ms)
		wwh_lease_keeper_log_gap(shards->keeper, now_ms);
	set_rank(shards);
	wwh_lease_keeper_set_wanted(shards->keeper, wanted_shards(shards));
	for (int32_t i = 0; i < WWH_SHARD_POOLS; i++) {
		wwh_lease_view_t view;

		g_mutex_lock(&entry->state_lock);
		view = wwh_state_lease(entry->state, i);
		wwh_lease_keeper_observe(shards->keeper, now_ms, i, &view);
		g_mutex_unlock(&entry->state_lock);
	}
	wwh_lease_keeper_begin_round(shards->keeper, now_ms, release_all);
	while (wwh_lease_keeper_decide(shards->keeper, now_ms, true,
				       release_all, &action)) {
		if (!submit_lease_record(shards, &action))
			break;
	}
	wwh_counter_set(shards->held,
			wwh_lease_keeper_held_count(shards->keeper, now_ms));
}

/*
 * Returns false if the log doesn't answer; further appends in this round would
 * fail as well.
 */
static bool submit_lease_record(wwh_entry_shards_t *shards,
				const wwh_lease_action_t *action)
{
	static const wwh_record_kind_t kinds[WWH_LEASE_ACTION_COUNT] = {
		[WWH_LEASE_TAKE] = WWH_RECORD_LEASE_TAKE,
		[WWH_LEASE_RENEW] = WWH_RECORD_LEASE_RENEW,
		[WWH_LEASE_RELEASE] = WWH_RECORD_LEASE_RELEASE,
	};
	wwh_entry_t *entry = shards->entry;
	int64_t began_ms = wwh_now_ms();
	wwh_submit_result_t submitted;
	wwh_record_t record;

	wwh_record_init(&record, kinds[action->kind], entry->author);
	record.body.lease.shard = action->shard;
	record.body.lease.offset = action->offset;
	record.body.lease.duration_ms = SHARD_LEASE_MS;
	wwh_entry_log_submit(entry->log, &record,
			     entry->settings->log_append_timeout_ms,
			     &submitted);
	wwh_record_clear(&record);
	if (submitted.status != WWH_STATUS_OK)
		return false;
	if (submitted.verdict == WWH_VERDICT_ACCEPTED &&
	    action->kind != WWH_LEASE_RELEASE)
		wwh_lease_keeper_confirm(shards->keeper, action->shard,
					 began_ms);
	return true;
}

static uint64_t wanted_shards(wwh_entry_shards_t *shards)
{
	wwh_config_t *config = wwh_entry_config(shards->entry);
	uint64_t wanted = 0;

	if (config == NULL)
		return 0;
	for (int32_t i = 0; i < wwh_config_pool_count(config); i++)
		wanted |=
			UINT64_C(1)
			<< wwh_shard_of_pool(wwh_config_pool_at(config, i)->id);
	wwh_config_unref(config);
	return wanted;
}

static void set_rank(wwh_entry_shards_t *shards)
{
	int32_t count;
	int32_t rank = wwh_entry_peers_rank(shards->entry->peers, &count);

	wwh_lease_keeper_set_members(shards->keeper, rank, count);
}
