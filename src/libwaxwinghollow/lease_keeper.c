#include "waxwinghollow/lease_keeper.h"

#include <glib.h>
#include <string.h>

/* Ranks take what nobody took one after another, not all at once. */
#define ORPHAN_STEP_MS 500

/* What was taken so is kept for a while, or it would be given back at once. */
#define ORPHAN_HOLD_MS 30000

const char *const wwh_lease_action_kind_names[WWH_LEASE_ACTION_COUNT] = {
	"take",
	"renew",
	"release",
};

typedef struct {
	bool mine; /* the state names this process as the holder */
	bool free;
	int64_t fence;
	int64_t latest;
	int64_t seen_ms; /* when latest was seen for the first time */
	int64_t until_ms; /* this process may act before this */
	int64_t next_renew_ms;
	bool surplus; /* to be given back */
	int64_t keep_until_ms; /* taken above the target */
	bool tried; /* an action was decided in this round */
} lease_t;

struct wwh_lease_keeper {
	wwh_lease_keeper_options_t options;
	char *author;
	lease_t *leases;
	uint64_t wanted;
	int32_t rank;
	int32_t members;
	int64_t above_since_ms; /* -1: not above its target */
};

static lease_t *lease_of(const wwh_lease_keeper_t *keeper, int32_t shard);
static bool renew_one(wwh_lease_keeper_t *keeper, int64_t now_ms,
		      wwh_lease_action_t *action);
static bool take_one(wwh_lease_keeper_t *keeper, int64_t now_ms,
		     int64_t unclaimed_ms, wwh_lease_action_t *action);
static int64_t orphan_ms(const wwh_lease_keeper_t *keeper);
static bool release_one(wwh_lease_keeper_t *keeper, wwh_lease_action_t *action);
static bool may_take(const wwh_lease_keeper_t *keeper, const lease_t *lease,
		     int64_t now_ms);
static int32_t wanted_count(const wwh_lease_keeper_t *keeper);
static bool is_wanted(const wwh_lease_keeper_t *keeper, int32_t index);
static int32_t mine_count(const wwh_lease_keeper_t *keeper);
static bool is_above_target(wwh_lease_keeper_t *keeper, int64_t now_ms);

wwh_lease_keeper_options_t wwh_lease_keeper_options_defaults(void)
{
	wwh_lease_keeper_options_t options = {
		.author = "",
		.first_shard = 0,
		.shard_count = WWH_SHARD_POOLS,
		.duration_ms = 5000,
		.grace_ms = 1000,
		.settle_ms = 2000,
	};

	return options;
}

wwh_lease_keeper_t *
wwh_lease_keeper_new(const wwh_lease_keeper_options_t *options)
{
	wwh_lease_keeper_t *keeper = g_new0(wwh_lease_keeper_t, 1);

	keeper->options = *options;
	keeper->author = g_strdup(options->author);
	keeper->leases = g_new0(lease_t, options->shard_count);
	keeper->members = 1;
	keeper->wanted = UINT64_MAX;
	keeper->above_since_ms = -1;
	for (int32_t i = 0; i < options->shard_count; i++)
		keeper->leases[i].latest = WWH_NO_OFFSET - 1;
	return keeper;
}

void wwh_lease_keeper_delete(wwh_lease_keeper_t *keeper)
{
	if (keeper == NULL)
		return;
	g_free(keeper->leases);
	g_free(keeper->author);
	g_free(keeper);
}

void wwh_lease_keeper_set_members(wwh_lease_keeper_t *keeper, int32_t rank,
				  int32_t count)
{
	g_assert(rank >= 0 && rank < count);
	keeper->rank = rank;
	keeper->members = count;
}

void wwh_lease_keeper_set_wanted(wwh_lease_keeper_t *keeper, uint64_t shards)
{
	keeper->wanted = shards;
}

void wwh_lease_keeper_log_gap(wwh_lease_keeper_t *keeper, int64_t now_ms)
{
	for (int32_t i = 0; i < keeper->options.shard_count; i++)
		keeper->leases[i].seen_ms = now_ms;
}

void wwh_lease_keeper_observe(wwh_lease_keeper_t *keeper, int64_t now_ms,
			      int32_t shard, const wwh_lease_view_t *view)
{
	lease_t *lease = lease_of(keeper, shard);

	lease->tried = false;
	lease->free = !view->held;
	lease->mine = view->held && strcmp(view->holder, keeper->author) == 0;
	lease->fence = view->fence;
	if (!lease->mine)
		lease->until_ms = 0;
	if (lease->latest == view->latest)
		return;
	lease->latest = view->latest;
	lease->seen_ms = now_ms;
}

void wwh_lease_keeper_begin_round(wwh_lease_keeper_t *keeper, int64_t now_ms,
				  bool giving)
{
	int32_t keep = wwh_lease_keeper_target(keeper);
	bool above = is_above_target(keeper, now_ms);

	if (giving)
		keep = 0;
	for (int32_t i = 0; i < keeper->options.shard_count; i++) {
		lease_t *lease = &keeper->leases[i];

		if (!lease->mine) {
			lease->surplus = false;
			continue;
		}
		lease->surplus =
			!is_wanted(keeper, i) || giving ||
			(keep <= 0 && above && now_ms >= lease->keep_until_ms);
		keep -= is_wanted(keeper, i) ? 1 : 0;
	}
}

bool wwh_lease_keeper_decide(wwh_lease_keeper_t *keeper, int64_t now_ms,
			     bool may_release, bool giving,
			     wwh_lease_action_t *action)
{
	if (giving)
		return may_release && release_one(keeper, action);
	if (renew_one(keeper, now_ms, action))
		return true;
	if (may_release && release_one(keeper, action))
		return true;
	if (mine_count(keeper) < wwh_lease_keeper_target(keeper))
		return take_one(keeper, now_ms, 0, action);
	if (!take_one(keeper, now_ms, orphan_ms(keeper), action))
		return false;
	lease_of(keeper, action->shard)->keep_until_ms =
		now_ms + ORPHAN_HOLD_MS;
	return true;
}

void wwh_lease_keeper_confirm(wwh_lease_keeper_t *keeper, int32_t shard,
			      int64_t began_ms)
{
	lease_t *lease = lease_of(keeper, shard);

	lease->mine = true;
	lease->until_ms = began_ms + keeper->options.duration_ms;
	lease->next_renew_ms = began_ms + keeper->options.duration_ms / 3;
}

bool wwh_lease_keeper_holds(const wwh_lease_keeper_t *keeper, int64_t now_ms,
			    int32_t shard, int64_t *until_ms)
{
	const lease_t *lease = lease_of(keeper, shard);

	if (until_ms != NULL)
		*until_ms = lease->until_ms;
	return lease->mine && !lease->surplus && now_ms < lease->until_ms;
}

int32_t wwh_lease_keeper_held_count(const wwh_lease_keeper_t *keeper,
				    int64_t now_ms)
{
	int32_t count = 0;

	for (int32_t i = 0; i < keeper->options.shard_count; i++) {
		const lease_t *lease = &keeper->leases[i];

		count += lease->mine && now_ms < lease->until_ms;
	}
	return count;
}

int32_t wwh_lease_keeper_target(const wwh_lease_keeper_t *keeper)
{
	int32_t count = wanted_count(keeper);
	int32_t each = count / keeper->members;
	int32_t rest = count % keeper->members;

	return each + (keeper->rank < rest ? 1 : 0);
}

static int32_t wanted_count(const wwh_lease_keeper_t *keeper)
{
	int32_t count = 0;

	for (int32_t i = 0; i < keeper->options.shard_count; i++)
		count += is_wanted(keeper, i);
	return count;
}

static bool is_wanted(const wwh_lease_keeper_t *keeper, int32_t index)
{
	return (keeper->wanted >> index & 1) != 0;
}

static lease_t *lease_of(const wwh_lease_keeper_t *keeper, int32_t shard)
{
	int32_t index = shard - keeper->options.first_shard;

	g_assert(index >= 0 && index < keeper->options.shard_count);
	return &keeper->leases[index];
}

static bool renew_one(wwh_lease_keeper_t *keeper, int64_t now_ms,
		      wwh_lease_action_t *action)
{
	for (int32_t i = 0; i < keeper->options.shard_count; i++) {
		lease_t *lease = &keeper->leases[i];

		if (!lease->mine || lease->surplus || lease->tried ||
		    now_ms < lease->next_renew_ms)
			continue;
		lease->tried = true;
		action->kind = WWH_LEASE_RENEW;
		action->shard = keeper->options.first_shard + i;
		action->offset = lease->fence;
		return true;
	}
	return false;
}

/*
 * Members begin their search at different leases, so that two that look at
 * the same moment seldom ask for the same one.
 */
static bool take_one(wwh_lease_keeper_t *keeper, int64_t now_ms,
		     int64_t unclaimed_ms, wwh_lease_action_t *action)
{
	int32_t count = keeper->options.shard_count;
	int32_t start =
		(int32_t)((int64_t)keeper->rank * count / keeper->members);

	for (int32_t i = 0; i < count; i++) {
		int32_t index = (start + i) % count;
		lease_t *lease = &keeper->leases[index];

		if (lease->mine || lease->tried || !is_wanted(keeper, index) ||
		    !may_take(keeper, lease, now_ms) ||
		    now_ms - lease->seen_ms < unclaimed_ms)
			continue;
		lease->tried = true;
		action->kind = WWH_LEASE_TAKE;
		action->shard = keeper->options.first_shard + index;
		action->offset = lease->free ? WWH_NO_OFFSET : lease->latest;
		return true;
	}
	return false;
}

static bool release_one(wwh_lease_keeper_t *keeper, wwh_lease_action_t *action)
{
	for (int32_t i = keeper->options.shard_count - 1; i >= 0; i--) {
		lease_t *lease = &keeper->leases[i];

		if (!lease->mine || !lease->surplus || lease->tried)
			continue;
		lease->tried = true;
		lease->mine = false;
		lease->until_ms = 0;
		action->kind = WWH_LEASE_RELEASE;
		action->shard = keeper->options.first_shard + i;
		action->offset = lease->fence;
		return true;
	}
	return false;
}

/* How long a lease stays with nobody before any member may take it. */
static int64_t orphan_ms(const wwh_lease_keeper_t *keeper)
{
	int64_t wait_ms =
		(int64_t)keeper->options.duration_ms + keeper->options.grace_ms;

	return 2 * wait_ms + (int64_t)keeper->rank * ORPHAN_STEP_MS;
}

static bool may_take(const wwh_lease_keeper_t *keeper, const lease_t *lease,
		     int64_t now_ms)
{
	int64_t wait_ms =
		(int64_t)keeper->options.duration_ms + keeper->options.grace_ms;

	return lease->free || now_ms - lease->seen_ms >= wait_ms;
}

static int32_t mine_count(const wwh_lease_keeper_t *keeper)
{
	int32_t count = 0;

	for (int32_t i = 0; i < keeper->options.shard_count; i++)
		count += keeper->leases[i].mine && is_wanted(keeper, i);
	return count;
}

static bool is_above_target(wwh_lease_keeper_t *keeper, int64_t now_ms)
{
	if (mine_count(keeper) <= wwh_lease_keeper_target(keeper)) {
		keeper->above_since_ms = -1;
		return false;
	}
	if (keeper->above_since_ms < 0)
		keeper->above_since_ms = now_ms;
	return now_ms - keeper->above_since_ms >= keeper->options.settle_ms;
}
