#include "waxwinghollow/seat.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

const char *const wwh_seat_record_names[WWH_SEAT_RECORD_COUNT] = {
	"join", "leave", "claim", "release", "evict", "ack", "free", "gone",
};

static int32_t index_of(const wwh_seat_table_t *table, uint64_t process);
static bool join(wwh_seat_table_t *table, uint64_t process);
static bool leave(wwh_seat_table_t *table, int32_t index);
static bool claim(wwh_seat_table_t *table, const wwh_seat_record_t *record);
static bool release(wwh_seat_table_t *table, const wwh_seat_record_t *record);
static bool evict(wwh_seat_table_t *table, uint64_t subject);
static bool acknowledge(wwh_seat_table_t *table, int32_t index,
			uint64_t subject);
static bool free_seats(wwh_seat_table_t *table, uint64_t subject);
static void remove_member(wwh_seat_table_t *table, int32_t index);
static int32_t seats_of(const wwh_seat_table_t *table, uint64_t process);
static int32_t fewest_seats(const wwh_seat_table_t *table);
static void keep_vote(wwh_seat_lease_t *lease, const wwh_seat_table_t *table,
		      const wwh_seat_vote_t *vote);
static bool may_vote(const wwh_seat_table_t *table, uint64_t member);
static int newest_first(const void *a, const void *b);

void wwh_seat_table_init(wwh_seat_table_t *table, int32_t seat_count)
{
	assert(seat_count >= 1 && seat_count <= WWH_SEAT_MAX);
	memset(table, 0, sizeof(*table));
	table->seat_count = seat_count;
}

bool wwh_seat_table_apply(wwh_seat_table_t *table,
			  const wwh_seat_record_t *record)
{
	int32_t index = index_of(table, record->process);

	if (record->process == 0)
		return false;
	if (record->type == WWH_SEAT_JOIN)
		return join(table, record->process);
	if (index < 0 || table->members[index].evicted)
		return false;
	switch (record->type) {
	case WWH_SEAT_LEAVE:
		return leave(table, index);
	case WWH_SEAT_CLAIM:
		return claim(table, record);
	case WWH_SEAT_RELEASE:
		return release(table, record);
	case WWH_SEAT_EVICT:
		return record->subject != record->process &&
		       evict(table, record->subject);
	case WWH_SEAT_ACK:
		return acknowledge(table, index, record->subject);
	case WWH_SEAT_FREE:
		return wwh_seat_all_acked(table, record->subject) &&
		       free_seats(table, record->subject);
	case WWH_SEAT_GONE:
		return record->subject != record->process &&
		       free_seats(table, record->subject);
	default:
		return false;
	}
}

uint64_t wwh_seat_held(const wwh_seat_table_t *table, uint64_t process)
{
	int32_t index = index_of(table, process);
	uint64_t seats = 0;

	if (index < 0 || table->members[index].evicted)
		return 0;
	for (int32_t i = 0; i < table->seat_count; i++) {
		if (table->holders[i] == process)
			seats |= 1ULL << i;
	}
	return seats;
}

int32_t wwh_seat_departed(const wwh_seat_table_t *before,
			  const wwh_seat_table_t *after, uint64_t *departed)
{
	int32_t count = 0;

	for (int32_t i = 0; i < before->member_count; i++) {
		uint64_t process = before->members[i].process;

		if (index_of(after, process) < 0)
			departed[count++] = process;
	}
	return count;
}

bool wwh_seat_all_acked(const wwh_seat_table_t *table, uint64_t subject)
{
	int32_t index = index_of(table, subject);

	if (index < 0 || !table->members[index].evicted)
		return false;
	for (int32_t i = 0; i < table->member_count; i++) {
		if (table->members[i].evicted)
			continue;
		if ((table->members[index].acked >> i & 1) == 0)
			return false;
	}
	return true;
}

bool wwh_seat_plan(const wwh_seat_table_t *table, uint64_t process,
		   wwh_seat_record_t *record)
{
	int32_t index = index_of(table, process);
	int32_t own = seats_of(table, process);
	int32_t fewest = fewest_seats(table);
	int32_t last = -1, vacant = -1;

	if (index < 0 || table->members[index].evicted)
		return false;
	for (int32_t i = 0; i < table->seat_count; i++) {
		if (table->holders[i] == process)
			last = i;
		if (table->holders[i] == 0 && vacant < 0)
			vacant = i;
	}
	*record = (wwh_seat_record_t){ .process = process };
	/* The one with the fewest claims; with several, the log decides. */
	if (vacant >= 0 && own == fewest) {
		record->type = WWH_SEAT_CLAIM;
		record->seat = vacant;
		return true;
	}
	if (vacant < 0 && own >= fewest + 2) {
		record->type = WWH_SEAT_RELEASE;
		record->seat = last;
		return true;
	}
	return false;
}

void wwh_seat_lease_renew_by_log(wwh_seat_lease_t *lease, int64_t sent_ms)
{
	if (sent_ms + WWH_SEAT_LEASE_MS > lease->until_ms)
		lease->until_ms = sent_ms + WWH_SEAT_LEASE_MS;
}

void wwh_seat_lease_renew_by_vote(wwh_seat_lease_t *lease,
				  const wwh_seat_table_t *table,
				  uint64_t own_seats,
				  const wwh_seat_vote_t *vote)
{
	uint64_t seats = own_seats;

	keep_vote(lease, table, vote);
	qsort(lease->votes, (size_t)lease->vote_count, sizeof(*lease->votes),
	      newest_first);
	for (int32_t i = 0; i < lease->vote_count; i++) {
		seats |= lease->votes[i].seats;
		if (__builtin_popcountll(seats) * 2 <= table->seat_count)
			continue;
		wwh_seat_lease_renew_by_log(lease, lease->votes[i].sent_ms);
		return;
	}
}

static int32_t index_of(const wwh_seat_table_t *table, uint64_t process)
{
	for (int32_t i = 0; i < table->member_count; i++) {
		if (table->members[i].process == process)
			return i;
	}
	return -1;
}

static bool join(wwh_seat_table_t *table, uint64_t process)
{
	if (index_of(table, process) >= 0 ||
	    table->member_count == WWH_SEAT_MEMBERS_MAX)
		return false;
	table->members[table->member_count] =
		(wwh_seat_member_t){ .process = process };
	/* It never renewed the lease of one evicted before it came. */
	for (int32_t i = 0; i < table->member_count; i++)
		table->members[i].acked |= 1ULL << table->member_count;
	table->member_count++;
	return true;
}

static bool leave(wwh_seat_table_t *table, int32_t index)
{
	if (seats_of(table, table->members[index].process) > 0)
		return false;
	remove_member(table, index);
	return true;
}

static bool claim(wwh_seat_table_t *table, const wwh_seat_record_t *record)
{
	if (record->seat < 0 || record->seat >= table->seat_count ||
	    table->holders[record->seat] != 0)
		return false;
	table->holders[record->seat] = record->process;
	return true;
}

static bool release(wwh_seat_table_t *table, const wwh_seat_record_t *record)
{
	if (record->seat < 0 || record->seat >= table->seat_count ||
	    table->holders[record->seat] != record->process)
		return false;
	table->holders[record->seat] = 0;
	return true;
}

/*
 * Were the holders of a majority under eviction, they could renew each other's
 * leases without having read of it, and their seats would be held twice. One
 * alone has nobody to renew its lease.
 */
static bool evict(wwh_seat_table_t *table, uint64_t subject)
{
	int32_t index = index_of(table, subject);
	int32_t evicted = 0, seats = 0;

	if (index < 0 || table->members[index].evicted)
		return false;
	for (int32_t i = 0; i < table->member_count; i++) {
		if (!table->members[i].evicted)
			continue;
		evicted++;
		seats += seats_of(table, table->members[i].process);
	}
	seats += seats_of(table, subject);
	if (evicted > 0 && seats * 2 >= table->seat_count)
		return false;
	table->members[index].evicted = true;
	table->members[index].acked = 0;
	return true;
}

static bool acknowledge(wwh_seat_table_t *table, int32_t index,
			uint64_t subject)
{
	int32_t about = index_of(table, subject);

	if (about < 0 || !table->members[about].evicted)
		return false;
	table->members[about].acked |= 1ULL << index;
	return true;
}

static bool free_seats(wwh_seat_table_t *table, uint64_t subject)
{
	int32_t index = index_of(table, subject);

	if (index < 0)
		return false;
	for (int32_t i = 0; i < table->seat_count; i++) {
		if (table->holders[i] == subject)
			table->holders[i] = 0;
	}
	remove_member(table, index);
	return true;
}

static void remove_member(wwh_seat_table_t *table, int32_t index)
{
	uint64_t below = (1ULL << index) - 1;

	table->member_count--;
	for (int32_t i = index; i < table->member_count; i++)
		table->members[i] = table->members[i + 1];
	for (int32_t i = 0; i < table->member_count; i++) {
		uint64_t acked = table->members[i].acked;

		table->members[i].acked =
			(acked & below) | (acked >> 1 & ~below);
	}
}

static int32_t seats_of(const wwh_seat_table_t *table, uint64_t process)
{
	int32_t count = 0;

	for (int32_t i = 0; i < table->seat_count; i++)
		count += table->holders[i] == process;
	return count;
}

static int32_t fewest_seats(const wwh_seat_table_t *table)
{
	int32_t fewest = WWH_SEAT_MAX;

	for (int32_t i = 0; i < table->member_count; i++) {
		int32_t held = seats_of(table, table->members[i].process);

		if (!table->members[i].evicted && held < fewest)
			fewest = held;
	}
	return fewest;
}

/* The newest vote of each member; those evicted have none. */
static void keep_vote(wwh_seat_lease_t *lease, const wwh_seat_table_t *table,
		      const wwh_seat_vote_t *vote)
{
	int32_t kept = 0;
	bool newer = true;

	for (int32_t i = 0; i < lease->vote_count; i++) {
		const wwh_seat_vote_t *old = &lease->votes[i];

		if (!may_vote(table, old->member))
			continue;
		if (old->member == vote->member) {
			if (old->sent_ms < vote->sent_ms)
				continue;
			newer = false;
		}
		lease->votes[kept++] = *old;
	}
	if (newer && may_vote(table, vote->member) &&
	    kept < WWH_SEAT_MEMBERS_MAX)
		lease->votes[kept++] = *vote;
	lease->vote_count = kept;
}

static bool may_vote(const wwh_seat_table_t *table, uint64_t member)
{
	int32_t index = index_of(table, member);

	return index >= 0 && !table->members[index].evicted;
}

static int newest_first(const void *a, const void *b)
{
	const wwh_seat_vote_t *x = a;
	const wwh_seat_vote_t *y = b;

	if (x->sent_ms != y->sent_ms)
		return x->sent_ms < y->sent_ms ? 1 : -1;
	return (x->member > y->member) - (x->member < y->member);
}
