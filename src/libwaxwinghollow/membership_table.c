#include <string.h>

#include "private/membership_private.h"

#define OBSERVATION_TTL_MS 30000
#define ISOLATED_ROUNDS 3

static void observer_clear(gpointer data);
static guint find_position(const wwh_membership_t *membership, const char *id,
			   bool *found);
static void set_address(wwh_member_row_t *row, const wwh_fact_t *fact);
static void apply_own_fact(wwh_membership_t *membership,
			   const wwh_fact_t *fact);
static bool fact_is_newer(const wwh_member_row_t *row, const wwh_fact_t *fact);
static void set_status(wwh_membership_t *membership, wwh_member_row_t *row,
		       wwh_member_status_t status, int64_t now_ms);
static wwh_member_status_t evaluate_status(const wwh_membership_t *membership,
					   const wwh_member_row_t *row,
					   int64_t now_ms);
static bool majority_failed(const wwh_membership_t *membership,
			    const wwh_member_row_t *row);
static void remove_expired_observers(wwh_member_row_t *row, int64_t now_ms);

wwh_member_row_t *wwh_members_find(const wwh_membership_t *membership,
				   const char *id)
{
	bool found;
	guint position = find_position(membership, id, &found);

	return found ? membership->rows->pdata[position] : NULL;
}

void wwh_members_apply_fact(wwh_membership_t *membership,
			    const wwh_fact_t *fact, int64_t now_ms)
{
	bool found;
	guint position;
	wwh_member_row_t *row;

	if (strcmp(fact->id, membership->self->id) == 0) {
		apply_own_fact(membership, fact);
		return;
	}
	position = find_position(membership, fact->id, &found);
	if (!found) {
		if (fact->left || membership->rows->len >= WWH_MEMBERS_MAX)
			return;
		row = wwh_members_row_new(fact->id, fact->incarnation);
		row->status_ms = now_ms;
		/* A random order, so that not all probe the same member. */
		row->probed_ms =
			-g_rand_int_range(membership->rand, 1, 1 << 20);
		g_ptr_array_insert(membership->rows, (gint)position, row);
	} else {
		row = membership->rows->pdata[position];
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
	set_address(row, fact);
	wwh_members_clear_observations(row, now_ms);
	row->fact_transmits_left = wwh_members_transmit_limit(membership);
	wwh_members_update_status(membership, row, now_ms);
}

void wwh_members_update_status(wwh_membership_t *membership,
			       wwh_member_row_t *row, int64_t now_ms)
{
	remove_expired_observers(row, now_ms);
	set_status(membership, row, evaluate_status(membership, row, now_ms),
		   now_ms);
}

/* The member is alive, so earlier observations are invalid. */
void wwh_members_clear_observations(wwh_member_row_t *row, int64_t now_ms)
{
	row->observed_ms = 0;
	row->observation_transmits_left = 0;
	row->probe_soon = false;
	g_array_set_size(row->observers, 0);
	if (row->status == WWH_MEMBER_ALIVE)
		return;
	row->status = WWH_MEMBER_ALIVE;
	row->status_ms = now_ms;
}

void wwh_members_record_contact(wwh_membership_t *membership, const char *id,
				int64_t now_ms)
{
	wwh_member_row_t *row = wwh_members_find(membership, id);

	membership->last_contact_ms = now_ms;
	if (row == NULL)
		return;
	row->last_contact_ms = now_ms;
	if (row->left)
		return;
	wwh_members_clear_observations(row, now_ms);
}

void wwh_members_record_newest_config(wwh_membership_t *membership,
				      int64_t version, const char *address,
				      int64_t now_ms)
{
	if (version < membership->newest_version ||
	    (version == membership->newest_version && address[0] != '\0'))
		return;
	if (version > membership->newest_version) {
		membership->announce_newest = true;
		membership->newest_learned_ms = now_ms;
	}
	membership->newest_version = version;
	g_free(membership->newest_address);
	membership->newest_address = g_strdup(address);
}

uint32_t wwh_members_count_known(const wwh_membership_t *membership)
{
	uint32_t known = 0;

	for (guint i = 0; i < membership->rows->len; i++)
		if (!wwh_members_is_dead_or_left(membership->rows->pdata[i]))
			known++;
	return known;
}

int32_t wwh_members_transmit_limit(const wwh_membership_t *membership)
{
	int32_t limit = 2;

	for (guint n = membership->rows->len + 1; n > 1; n /= 2)
		limit++;
	return limit;
}

bool wwh_members_is_isolated(const wwh_membership_t *membership, int64_t now_ms)
{
	return membership->rows->len > 0 &&
	       now_ms - membership->last_contact_ms >
		       (int64_t)ISOLATED_ROUNDS * membership->options.round_ms;
}

bool wwh_members_is_dead_or_left(const wwh_member_row_t *row)
{
	return row->status == WWH_MEMBER_LEFT || row->status == WWH_MEMBER_DEAD;
}

bool wwh_members_is_same_region(const wwh_membership_t *membership,
				const wwh_member_row_t *row)
{
	return strcmp(row->region, membership->self->region) == 0;
}

wwh_member_row_t *wwh_members_row_new(const char *id, uint64_t incarnation)
{
	wwh_member_row_t *row = g_new0(wwh_member_row_t, 1);

	row->id = g_strdup(id);
	row->incarnation = incarnation;
	row->observers = g_array_new(FALSE, TRUE, sizeof(wwh_observer_t));
	g_array_set_clear_func(row->observers, observer_clear);
	return row;
}

void wwh_members_row_free(gpointer data)
{
	wwh_member_row_t *row = data;

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

/* Returns the index of the row of id, or where it is to be inserted. */
static guint find_position(const wwh_membership_t *membership, const char *id,
			   bool *found)
{
	guint low = 0;
	guint high = membership->rows->len;

	*found = false;
	while (low < high && !*found) {
		guint middle = (low + high) / 2;
		const wwh_member_row_t *row = membership->rows->pdata[middle];
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

static void set_address(wwh_member_row_t *row, const wwh_fact_t *fact)
{
	g_free(row->address);
	g_free(row->zone);
	g_free(row->region);
	row->address = g_strdup(fact->address);
	row->zone = g_strdup(fact->zone);
	row->region = g_strdup(fact->region);
}

/* Refutes a fact of this process that it didn't send, such as a leave. */
static void apply_own_fact(wwh_membership_t *membership, const wwh_fact_t *fact)
{
	wwh_member_row_t *self = membership->self;

	if (fact->incarnation != self->incarnation || self->left ||
	    (!fact->left && fact->refutation <= self->refutation))
		return;
	self->refutation = MAX(self->refutation, fact->refutation) + 1;
	self->fact_transmits_left = wwh_members_transmit_limit(membership);
	membership->stats.refutations++;
}

static bool fact_is_newer(const wwh_member_row_t *row, const wwh_fact_t *fact)
{
	if (fact->incarnation != row->incarnation)
		return fact->incarnation > row->incarnation;
	if (fact->refutation != row->refutation)
		return fact->refutation > row->refutation;
	return fact->left && !row->left;
}

static void set_status(wwh_membership_t *membership, wwh_member_row_t *row,
		       wwh_member_status_t status, int64_t now_ms)
{
	if (row->status == status)
		return;
	if (status == WWH_MEMBER_DEAD)
		membership->stats.declared_dead++;
	row->status = status;
	row->status_ms = now_ms;
}

static wwh_member_status_t evaluate_status(const wwh_membership_t *membership,
					   const wwh_member_row_t *row,
					   int64_t now_ms)
{
	int32_t suspicion_timeout_ms = membership->options.suspicion_timeout_ms;

	if (row->left)
		return WWH_MEMBER_LEFT;
	/*
	 * The list may lag behind a process that was restarted, and a list that
	 * lacks rows would make everybody dead at once. So it counts only for a
	 * member that doesn't answer this process either.
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
 * Returns true when a majority of the other members of the row's region, and
 * at least two, failed to reach it. In a region of two, one member would
 * decide alone otherwise.
 */
static bool majority_failed(const wwh_membership_t *membership,
			    const wwh_member_row_t *row)
{
	int32_t others = 0;
	int32_t failed = 0;

	if (wwh_members_is_same_region(membership, row)) {
		others++;
		failed += row->observed_ms != 0 ? 1 : 0;
	}
	for (guint i = 0; i < membership->rows->len; i++) {
		const wwh_member_row_t *other = membership->rows->pdata[i];

		if (other != row && !wwh_members_is_dead_or_left(other) &&
		    strcmp(other->region, row->region) == 0)
			others++;
	}
	for (guint i = 0; i < row->observers->len; i++) {
		const wwh_member_row_t *other = wwh_members_find(
			membership,
			g_array_index(row->observers, wwh_observer_t, i).id);

		if (other != NULL && !wwh_members_is_dead_or_left(other) &&
		    strcmp(other->region, row->region) == 0)
			failed++;
	}
	return failed >= 2 && failed >= others / 2 + 1;
}

static void remove_expired_observers(wwh_member_row_t *row, int64_t now_ms)
{
	for (guint i = row->observers->len; i > 0; i--)
		if (now_ms -
			    g_array_index(row->observers, wwh_observer_t, i - 1)
				    .reported_ms >
		    OBSERVATION_TTL_MS)
			g_array_remove_index(row->observers, i - 1);
}
