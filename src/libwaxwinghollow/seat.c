#include "waxwinghollow/seat.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

const char *const wwh_seat_record_names[WWH_SEAT_RECORD_COUNT] = {
	"join", "leave", "claim", "release", "evict", "ack", "free",
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
static int32_t evicted_count(const wwh_seat_table_t *table);
static int32_t seats_of(const wwh_seat_table_t *table, uint64_t process);
static int32_t fewest_seats(const wwh_seat_table_t *table);
static void note_heard(wwh_seat_lease_t *lease, uint64_t member,
		       int64_t sent_ms);
static int compare_times(const void *a, const void *b);

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
		return free_seats(table, record->subject);
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

void wwh_seat_lease_log(wwh_seat_lease_t *lease, int64_t sent_ms)
{
	if (sent_ms + WWH_SEAT_LEASE_MS > lease->until_ms)
		lease->until_ms = sent_ms + WWH_SEAT_LEASE_MS;
}

void wwh_seat_lease_member(wwh_seat_lease_t *lease,
			   const wwh_seat_table_t *table, uint64_t process,
			   uint64_t member, int64_t sent_ms)
{
	int64_t times[WWH_SEAT_MEMBERS_MAX];
	int32_t found = 0;
	/* With this process itself a majority of all, the evicted too. */
	int32_t needed = table->member_count / 2;

	note_heard(lease, member, sent_ms);
	for (int32_t i = 0; i < table->member_count; i++) {
		const wwh_seat_member_t *other = &table->members[i];

		if (other->evicted || other->process == process)
			continue;
		for (int32_t k = 0; k < lease->heard_count; k++) {
			if (lease->heard_from[k] == other->process)
				times[found++] = lease->heard_ms[k];
		}
	}
	if (needed == 0 || found < needed)
		return;
	qsort(times, (size_t)found, sizeof(*times), compare_times);
	wwh_seat_lease_log(lease, times[found - needed]);
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
 * Were a majority under eviction, its members could still renew each other's
 * leases by an old table, and their seats would be held twice.
 */
static bool evict(wwh_seat_table_t *table, uint64_t subject)
{
	int32_t index = index_of(table, subject);

	if (index < 0 || table->members[index].evicted)
		return false;
	if ((evicted_count(table) + 1) * 2 >= table->member_count &&
	    table->member_count > 2)
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
	if (!wwh_seat_all_acked(table, subject))
		return false;
	for (int32_t i = 0; i < table->seat_count; i++) {
		if (table->holders[i] == subject)
			table->holders[i] = 0;
	}
	remove_member(table, index_of(table, subject));
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

static int32_t evicted_count(const wwh_seat_table_t *table)
{
	int32_t count = 0;

	for (int32_t i = 0; i < table->member_count; i++)
		count += table->members[i].evicted;
	return count;
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

static void note_heard(wwh_seat_lease_t *lease, uint64_t member,
		       int64_t sent_ms)
{
	int32_t place = 0;

	while (place < lease->heard_count && lease->heard_from[place] != member)
		place++;
	if (place == WWH_SEAT_MEMBERS_MAX)
		return;
	if (place == lease->heard_count) {
		lease->heard_from[place] = member;
		lease->heard_ms[place] = sent_ms;
		lease->heard_count++;
	}
	if (sent_ms > lease->heard_ms[place])
		lease->heard_ms[place] = sent_ms;
}

static int compare_times(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}
