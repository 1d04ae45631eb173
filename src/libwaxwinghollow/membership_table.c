#include <string.h>

#include "private/membership_private.h"

#define OBSERVATION_MS 30000
#define ISOLATED_ROUNDS 3

static void observer_clear(gpointer data);
static guint place_of(const wwh_membership_t *membership, const char *id,
		      bool *found);
static void set_place(wwh_row_t *row, const wwh_fact_t *fact);
static void take_own_fact(wwh_membership_t *membership, const wwh_fact_t *fact);
static bool fact_is_newer(const wwh_row_t *row, const wwh_fact_t *fact);
static void set_status(wwh_membership_t *membership, wwh_row_t *row,
		       wwh_member_status_t status, int64_t now_ms);
static wwh_member_status_t judged(const wwh_membership_t *membership,
				  const wwh_row_t *row, int64_t now_ms);
static bool majority_failed(const wwh_membership_t *membership,
			    const wwh_row_t *row);
static void drop_old_observers(wwh_row_t *row, int64_t now_ms);

wwh_row_t *wwh_members_find(const wwh_membership_t *membership, const char *id)
{
	bool found;
	guint place = place_of(membership, id, &found);

	return found ? membership->rows->pdata[place] : NULL;
}

void wwh_members_take_fact(wwh_membership_t *membership, const wwh_fact_t *fact,
			   int64_t now_ms)
{
	bool found;
	guint place;
	wwh_row_t *row;

	if (strcmp(fact->id, membership->self->id) == 0) {
		take_own_fact(membership, fact);
		return;
	}
	place = place_of(membership, fact->id, &found);
	if (!found) {
		if (fact->left || membership->rows->len >= WWH_MEMBERS_MAX)
			return;
		row = wwh_members_row_new(fact->id, fact->incarnation);
		row->status_ms = now_ms;
		/* In a random order, so that not all probe the same one. */
		row->probed_ms =
			-g_rand_int_range(membership->rand, 1, 1 << 20);
		g_ptr_array_insert(membership->rows, (gint)place, row);
	} else {
		row = membership->rows->pdata[place];
		if (!fact_is_newer(row, fact))
			return;
		if (fact->incarnation > row->incarnation) {
			row->sequence = 0;
			row->listed = false;
			row->listed_gone = false;
		}
	}
	row->incarnation = fact->incarnation;
	row->refutation = fact->refutation;
	row->left = fact->left;
	set_place(row, fact);
	wwh_members_clear_observations(row, now_ms);
	row->spread_fact = wwh_members_spread(membership);
	wwh_members_judge(membership, row, now_ms);
}

void wwh_members_judge(wwh_membership_t *membership, wwh_row_t *row,
		       int64_t now_ms)
{
	drop_old_observers(row, now_ms);
	set_status(membership, row, judged(membership, row, now_ms), now_ms);
}

/* It is there: what was observed before is void. */
void wwh_members_clear_observations(wwh_row_t *row, int64_t now_ms)
{
	row->observed_ms = 0;
	row->spread_observed = 0;
	row->confirm = false;
	g_array_set_size(row->observers, 0);
	if (row->status == WWH_MEMBER_ALIVE)
		return;
	row->status = WWH_MEMBER_ALIVE;
	row->status_ms = now_ms;
}

void wwh_members_heard(wwh_membership_t *membership, const char *id,
		       int64_t now_ms)
{
	wwh_row_t *row = wwh_members_find(membership, id);

	membership->heard_ms = now_ms;
	if (row == NULL)
		return;
	row->heard_ms = now_ms;
	if (row->left)
		return;
	wwh_members_clear_observations(row, now_ms);
}

void wwh_members_learn_newest(wwh_membership_t *membership, int64_t version,
			      const char *address, int64_t now_ms)
{
	if (version < membership->newest_version ||
	    (version == membership->newest_version && address[0] != '\0'))
		return;
	if (version > membership->newest_version) {
		membership->tell_newest = true;
		membership->newest_ms = now_ms;
	}
	membership->newest_version = version;
	g_free(membership->newest_address);
	membership->newest_address = g_strdup(address);
}

uint32_t wwh_members_known(const wwh_membership_t *membership)
{
	uint32_t known = 0;

	for (guint i = 0; i < membership->rows->len; i++)
		if (!wwh_members_gone(membership->rows->pdata[i]))
			known++;
	return known;
}

int32_t wwh_members_spread(const wwh_membership_t *membership)
{
	int32_t spread = 2;

	for (guint n = membership->rows->len + 1; n > 1; n /= 2)
		spread++;
	return spread;
}

bool wwh_members_isolated(const wwh_membership_t *membership, int64_t now_ms)
{
	return membership->rows->len > 0 &&
	       now_ms - membership->heard_ms >
		       (int64_t)ISOLATED_ROUNDS * membership->options.round_ms;
}

bool wwh_members_gone(const wwh_row_t *row)
{
	return row->status == WWH_MEMBER_LEFT || row->status == WWH_MEMBER_DEAD;
}

bool wwh_members_same_region(const wwh_membership_t *membership,
			     const wwh_row_t *row)
{
	return strcmp(row->region, membership->self->region) == 0;
}

wwh_row_t *wwh_members_row_new(const char *id, uint64_t incarnation)
{
	wwh_row_t *row = g_new0(wwh_row_t, 1);

	row->id = g_strdup(id);
	row->incarnation = incarnation;
	row->observers = g_array_new(FALSE, TRUE, sizeof(wwh_observer_t));
	g_array_set_clear_func(row->observers, observer_clear);
	return row;
}

void wwh_members_row_free(gpointer data)
{
	wwh_row_t *row = data;

	g_array_unref(row->observers);
	g_free(row->id);
	g_free(row->address);
	g_free(row->zone);
	g_free(row->region);
	g_free(row);
}

static void observer_clear(gpointer data)
{
	wwh_observer_t *observer = data;

	g_free(observer->id);
}

/* Where the row of id is or belongs. */
static guint place_of(const wwh_membership_t *membership, const char *id,
		      bool *found)
{
	guint low = 0;
	guint high = membership->rows->len;

	*found = false;
	while (low < high && !*found) {
		guint middle = (low + high) / 2;
		const wwh_row_t *row = membership->rows->pdata[middle];
		int order = strcmp(row->id, id);

		if (order == 0) {
			*found = true;
			return middle;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void set_place(wwh_row_t *row, const wwh_fact_t *fact)
{
	g_free(row->address);
	g_free(row->zone);
	g_free(row->region);
	row->address = g_strdup(fact->address);
	row->zone = g_strdup(fact->zone);
	row->region = g_strdup(fact->region);
}

/* Nobody but this process says that it left. */
static void take_own_fact(wwh_membership_t *membership, const wwh_fact_t *fact)
{
	wwh_row_t *self = membership->self;

	if (fact->incarnation != self->incarnation || self->left ||
	    (!fact->left && fact->refutation <= self->refutation))
		return;
	self->refutation = MAX(self->refutation, fact->refutation) + 1;
	self->spread_fact = wwh_members_spread(membership);
	membership->stats.refutations++;
}

static bool fact_is_newer(const wwh_row_t *row, const wwh_fact_t *fact)
{
	if (fact->incarnation != row->incarnation)
		return fact->incarnation > row->incarnation;
	if (fact->refutation != row->refutation)
		return fact->refutation > row->refutation;
	return fact->left && !row->left;
}

static void set_status(wwh_membership_t *membership, wwh_row_t *row,
		       wwh_member_status_t status, int64_t now_ms)
{
	if (row->status == status)
		return;
	if (status == WWH_MEMBER_DEAD)
		membership->stats.deaths++;
	row->status = status;
	row->status_ms = now_ms;
}

static wwh_member_status_t judged(const wwh_membership_t *membership,
				  const wwh_row_t *row, int64_t now_ms)
{
	int32_t suspicion_timeout_ms = membership->options.suspicion_timeout_ms;

	if (row->left)
		return WWH_MEMBER_LEFT;
	/*
	 * The list may lag behind a process that started again, and an answer
	 * that lacks lines would take out everybody at once: what it says
	 * counts for one that doesn't answer this process either.
	 */
	if (row->listed_gone && row->observed_ms != 0)
		return WWH_MEMBER_DEAD;
	if (row->status == WWH_MEMBER_DEAD && !row->listed_gone &&
	    row->observed_ms == 0 && row->observers->len == 0)
		return WWH_MEMBER_SUSPECT;
	if (row->status == WWH_MEMBER_DEAD)
		return WWH_MEMBER_DEAD;
	if (row->observed_ms == 0 && row->observers->len < 2)
		return WWH_MEMBER_ALIVE;
	if (row->status == WWH_MEMBER_SUSPECT &&
	    now_ms - row->status_ms >= suspicion_timeout_ms &&
	    majority_failed(membership, row))
		return WWH_MEMBER_DEAD;
	return WWH_MEMBER_SUSPECT;
}

/*
 * Whether most others of the row's own region failed to reach it. Two at
 * least: in a region of two, one would decide alone.
 */
static bool majority_failed(const wwh_membership_t *membership,
			    const wwh_row_t *row)
{
	int32_t others = 0;
	int32_t failed = 0;

	if (wwh_members_same_region(membership, row)) {
		others++;
		failed += row->observed_ms != 0 ? 1 : 0;
	}
	for (guint i = 0; i < membership->rows->len; i++) {
		const wwh_row_t *other = membership->rows->pdata[i];

		if (other != row && !wwh_members_gone(other) &&
		    strcmp(other->region, row->region) == 0)
			others++;
	}
	for (guint i = 0; i < row->observers->len; i++) {
		const wwh_row_t *other = wwh_members_find(
			membership,
			g_array_index(row->observers, wwh_observer_t, i).id);

		if (other != NULL && !wwh_members_gone(other) &&
		    strcmp(other->region, row->region) == 0)
			failed++;
	}
	return failed >= 2 && failed >= others / 2 + 1;
}

static void drop_old_observers(wwh_row_t *row, int64_t now_ms)
{
	for (guint i = row->observers->len; i > 0; i--)
		if (now_ms -
			    g_array_index(row->observers, wwh_observer_t, i - 1)
				    .seen_ms >
		    OBSERVATION_MS)
			g_array_remove_index(row->observers, i - 1);
}
