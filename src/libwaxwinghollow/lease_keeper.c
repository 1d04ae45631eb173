#include "waxwinghollow/lease_keeper.h"

#include <glib.h>
#include <string.h>

/* Delay per rank, so that not all members acquire an orphaned lease at once. */
#define ORPHAN_RANK_DELAY_MS 500

/* An orphaned lease above the target would otherwise be released at once. */
#define ORPHAN_MIN_HOLD_MS 30000

const char *const wwh_lease_action_kind_names[WWH_LEASE_ACTION_COUNT] = {
	"take",
	"renew",
	"release",
};

typedef struct {
	bool is_own; /* this process holds it in the state */
	bool is_free;
	int64_t fence;
	int64_t latest;
	int64_t latest_seen_ms; /* when latest was first observed */
	int64_t valid_until_ms; /* this process may act until then */
	int64_t next_renew_ms;
	bool is_surplus; /* to be released */
	int64_t retain_until_ms; /* acquired above the target */
	bool has_action; /* in this round */
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
static bool decide_renew(wwh_lease_keeper_t *keeper, int64_t now_ms,
			 wwh_lease_action_t *action);
static bool decide_take(wwh_lease_keeper_t *keeper, int64_t now_ms,
			int64_t min_unrenewed_ms, wwh_lease_action_t *action);
static int64_t orphan_timeout_ms(const wwh_lease_keeper_t *keeper);
static bool decide_release(wwh_lease_keeper_t *keeper,
			   wwh_lease_action_t *action);
static bool may_take(const wwh_lease_keeper_t *keeper, const lease_t *lease,
		     int64_t now_ms);
static int32_t wanted_count(const wwh_lease_keeper_t *keeper);
static bool is_wanted(const wwh_lease_keeper_t *keeper, int32_t index);
static int32_t own_count(const wwh_lease_keeper_t *keeper);
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
		keeper->leases[i].latest_seen_ms = now_ms;
}

void wwh_lease_keeper_observe(wwh_lease_keeper_t *keeper, int64_t now_ms,
			      int32_t shard, const wwh_lease_view_t *view)
{
	lease_t *lease = lease_of(keeper, shard);

	lease->has_action = false;
	lease->is_free = !view->held;
	lease->is_own = view->held && strcmp(view->holder, keeper->author) == 0;
	lease->fence = view->fence;
	if (!lease->is_own)
		lease->valid_until_ms = 0;
	if (lease->latest == view->latest)
		return;
	lease->latest = view->latest;
	lease->latest_seen_ms = now_ms;
}

void wwh_lease_keeper_begin_round(wwh_lease_keeper_t *keeper, int64_t now_ms,
				  bool release_all)
{
	int32_t remaining_target = wwh_lease_keeper_target(keeper);
	bool above = is_above_target(keeper, now_ms);

	if (release_all)
		remaining_target = 0;
	for (int32_t i = 0; i < keeper->options.shard_count; i++) {
		lease_t *lease = &keeper->leases[i];

		if (!lease->is_own) {
			lease->is_surplus = false;
			continue;
		}
		lease->is_surplus = !is_wanted(keeper, i) || release_all ||
				    (remaining_target <= 0 && above &&
				     now_ms >= lease->retain_until_ms);
		remaining_target -= is_wanted(keeper, i) ? 1 : 0;
	}
}

bool wwh_lease_keeper_decide(wwh_lease_keeper_t *keeper, int64_t now_ms,
			     bool may_release, bool release_all,
			     wwh_lease_action_t *action)
{
	if (release_all)
		return may_release && decide_release(keeper, action);
	if (decide_renew(keeper, now_ms, action))
		return true;
	if (may_release && decide_release(keeper, action))
		return true;
	if (own_count(keeper) < wwh_lease_keeper_target(keeper))
		return decide_take(keeper, now_ms, 0, action);
	if (!decide_take(keeper, now_ms, orphan_timeout_ms(keeper), action))
		return false;
	lease_of(keeper, action->shard)->retain_until_ms =
		now_ms + ORPHAN_MIN_HOLD_MS;
	return true;
}

void wwh_lease_keeper_confirm(wwh_lease_keeper_t *keeper, int32_t shard,
			      int64_t began_ms)
{
	lease_t *lease = lease_of(keeper, shard);

	lease->is_own = true;
	lease->valid_until_ms = began_ms + keeper->options.duration_ms;
	lease->next_renew_ms = began_ms + keeper->options.duration_ms / 3;
}

bool wwh_lease_keeper_holds(const wwh_lease_keeper_t *keeper, int64_t now_ms,
			    int32_t shard, int64_t *valid_until_ms)
{
	const lease_t *lease = lease_of(keeper, shard);

	if (valid_until_ms != NULL)
		*valid_until_ms = lease->valid_until_ms;
	return lease->is_own && !lease->is_surplus &&
	       now_ms < lease->valid_until_ms;
}

int32_t wwh_lease_keeper_held_count(const wwh_lease_keeper_t *keeper,
				    int64_t now_ms)
{
	int32_t count = 0;

	for (int32_t i = 0; i < keeper->options.shard_count; i++) {
		const lease_t *lease = &keeper->leases[i];

		count += lease->is_own && now_ms < lease->valid_until_ms;
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

static bool decide_renew(wwh_lease_keeper_t *keeper, int64_t now_ms,
			 wwh_lease_action_t *action)
{
	for (int32_t i = 0; i < keeper->options.shard_count; i++) {
		lease_t *lease = &keeper->leases[i];

		if (!lease->is_own || lease->is_surplus || lease->has_action ||
		    now_ms < lease->next_renew_ms)
			continue;
		lease->has_action = true;
		action->kind = WWH_LEASE_RENEW;
		action->shard = keeper->options.first_shard + i;
		action->offset = lease->fence;
		return true;
	}
	return false;
}

/*
 * Members begin their search at different leases, so that two that search at the
 * same time seldom choose the same one.
 */
static bool decide_take(wwh_lease_keeper_t *keeper, int64_t now_ms,
			int64_t min_unrenewed_ms, wwh_lease_action_t *action)
{
	int32_t count = keeper->options.shard_count;
	int32_t start =
		(int32_t)((int64_t)keeper->rank * count / keeper->members);

	for (int32_t i = 0; i < count; i++) {
		int32_t index = (start + i) % count;
		lease_t *lease = &keeper->leases[index];

		if (lease->is_own || lease->has_action ||
		    !is_wanted(keeper, index) ||
		    !may_take(keeper, lease, now_ms) ||
		    now_ms - lease->latest_seen_ms < min_unrenewed_ms)
			continue;
		lease->has_action = true;
		action->kind = WWH_LEASE_TAKE;
		action->shard = keeper->options.first_shard + index;
		action->offset = lease->is_free ? WWH_NO_OFFSET : lease->latest;
		return true;
	}
	return false;
}

static bool decide_release(wwh_lease_keeper_t *keeper,
			   wwh_lease_action_t *action)
{
	for (int32_t i = keeper->options.shard_count - 1; i >= 0; i--) {
		lease_t *lease = &keeper->leases[i];

		if (!lease->is_own || !lease->is_surplus || lease->has_action)
			continue;
		lease->has_action = true;
		lease->is_own = false;
		lease->valid_until_ms = 0;
		action->kind = WWH_LEASE_RELEASE;
		action->shard = keeper->options.first_shard + i;
		action->offset = lease->fence;
		return true;
	}
	return false;
}

/*
 * Returns how long a lease must have had no renewal before a member may acquire
 * it above its target.
 */
static int64_t orphan_timeout_ms(const wwh_lease_keeper_t *keeper)
{
	int64_t wait_ms =
		(int64_t)keeper->options.duration_ms + keeper->options.grace_ms;

	return 2 * wait_ms + (int64_t)keeper->rank * ORPHAN_RANK_DELAY_MS;
}

static bool may_take(const wwh_lease_keeper_t *keeper, const lease_t *lease,
		     int64_t now_ms)
{
	int64_t wait_ms =
		(int64_t)keeper->options.duration_ms + keeper->options.grace_ms;

	return lease->is_free || now_ms - lease->latest_seen_ms >= wait_ms;
}

static int32_t own_count(const wwh_lease_keeper_t *keeper)
{
	int32_t count = 0;

	for (int32_t i = 0; i < keeper->options.shard_count; i++)
		count += keeper->leases[i].is_own && is_wanted(keeper, i);
	return count;
}

static bool is_above_target(wwh_lease_keeper_t *keeper, int64_t now_ms)
{
	if (own_count(keeper) <= wwh_lease_keeper_target(keeper)) {
		keeper->above_since_ms = -1;
		return false;
	}
	if (keeper->above_since_ms < 0)
		keeper->above_since_ms = now_ms;
	return now_ms - keeper->above_since_ms >= keeper->options.settle_ms;
}
