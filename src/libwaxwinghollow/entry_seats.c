#include "private/entry_seats.h"

#include <string.h>

#include "private/entry_log.h"
#include "private/entry_peers.h"
#include "private/request_table.h"

/* Votes are asked for once the lease has less than this left. */
#define VOTE_BELOW_MS 2500
#define VOTE_PERIOD_MS 500

/* An act that had no effect is not repeated at once. */
#define ACT_PAUSE_MS 300

struct wwh_seats {
	wwh_entry_t *entry;
	uint64_t process;
	GMutex lock; /* all below */
	wwh_seat_table_t table; /* a copy of the state's */
	wwh_seat_lease_t lease;
	uint64_t mask; /* in the share */
	uint64_t releasing; /* taken out of the share, not given back yet */
	bool left;
	int64_t next_vote_ms;
	int64_t next_act_ms;
	GHashTable *gone; /* set of hosts that the list calls gone */
	GHashTable *acked_ms; /* process to when its last ACK was seen */
	wwh_counter_t *held;
	wwh_counter_t *records;
	wwh_counter_t *votes;
	wwh_counter_t *lapsed;
};

/* Collects what the authors on the log tell about members. */
typedef struct {
	wwh_seats_t *seats;
	uint64_t gone; /* a member that surely runs no more, or 0 */
	char *gone_author;
} authors_t;

static void copy_table(wwh_seats_t *seats);
static void set_share(wwh_seats_t *seats, int64_t now_ms);
static void renew_lease(wwh_seats_t *seats, int64_t sent_ms);
static bool plan(wwh_seats_t *seats, int64_t now_ms, bool giving,
		 wwh_seat_record_t *record);
static bool plan_giving(wwh_seats_t *seats, wwh_seat_record_t *record);
static bool plan_others(wwh_seats_t *seats, int64_t now_ms,
			wwh_seat_record_t *record);
static bool plan_eviction(wwh_seats_t *seats, int64_t now_ms,
			  const wwh_seat_member_t *member, int32_t own_index,
			  wwh_seat_record_t *record);
static bool plan_gone(wwh_seats_t *seats, wwh_seat_record_t *record);
static bool look_at_author(const char *author, int64_t offset,
			   void *client_data);
static int64_t acked_since(wwh_seats_t *seats, uint64_t process,
			   int64_t now_ms);
static bool author_gone(wwh_seats_t *seats, const char *author);
static int32_t index_of(const wwh_seat_table_t *table, uint64_t process);
static void submit(wwh_seats_t *seats, const wwh_seat_record_t *record);

wwh_seats_t *wwh_seats_new(wwh_entry_t *entry)
{
	wwh_seats_t *seats = g_new0(wwh_seats_t, 1);

	seats->entry = entry;
	seats->process = wwh_seat_process_id(entry->author);
	g_mutex_init(&seats->lock);
	wwh_seat_table_init(&seats->table, WWH_STATE_SEATS);
	seats->acked_ms = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
	seats->gone =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	seats->held = wwh_counters_get(entry->counters, "seats.held");
	seats->records = wwh_counters_get(entry->counters, "seats.records");
	seats->votes = wwh_counters_get(entry->counters, "seats.votes");
	seats->lapsed = wwh_counters_get(entry->counters, "seats.lease_lapsed");
	return seats;
}

void wwh_seats_delete(wwh_seats_t *seats)
{
	if (seats == NULL)
		return;
	g_hash_table_destroy(seats->gone);
	g_hash_table_destroy(seats->acked_ms);
	g_mutex_clear(&seats->lock);
	g_free(seats);
}

void wwh_seats_round(wwh_seats_t *seats, bool giving)
{
	int64_t now_ms = wwh_now_ms();
	/*
	 * The read first, the table after it: a table that is older than the
	 * read might miss the eviction that the read brought, and the lease
	 * would be renewed by it.
	 */
	int64_t sent_ms = wwh_entry_log_read_sent_ms(seats->entry->log);
	wwh_seat_record_t record;
	bool act;
	bool ask = false;

	copy_table(seats);
	g_mutex_lock(&seats->lock);
	renew_lease(seats, sent_ms);
	act = now_ms >= seats->next_act_ms &&
	      plan(seats, now_ms, giving, &record);
	if (act)
		seats->next_act_ms = now_ms + ACT_PAUSE_MS;
	set_share(seats, now_ms);
	if (seats->lease.until_ms - now_ms < VOTE_BELOW_MS &&
	    now_ms >= seats->next_vote_ms) {
		seats->next_vote_ms = now_ms + VOTE_PERIOD_MS;
		ask = true;
	}
	g_mutex_unlock(&seats->lock);
	if (ask)
		wwh_entry_peers_request_votes(seats->entry->peers);
	if (act)
		submit(seats, &record);
}

bool wwh_seats_has_left(wwh_seats_t *seats)
{
	bool result;

	copy_table(seats);
	g_mutex_lock(&seats->lock);
	result = index_of(&seats->table, seats->process) < 0;
	g_mutex_unlock(&seats->lock);
	return result;
}

bool wwh_seats_may_vote(wwh_seats_t *seats, uint64_t asker, uint64_t *own)
{
	int64_t now_ms = wwh_now_ms();
	int32_t index;
	bool may;

	copy_table(seats);
	g_mutex_lock(&seats->lock);
	index = index_of(&seats->table, asker);
	may = index >= 0 && !seats->table.members[index].evicted &&
	      now_ms < seats->lease.until_ms;
	*own = seats->mask;
	g_mutex_unlock(&seats->lock);
	return may;
}

void wwh_seats_handle_vote(wwh_seats_t *seats, const wwh_seat_vote_t *vote)
{
	g_mutex_lock(&seats->lock);
	wwh_counter_add(seats->votes, 1);
	wwh_seat_lease_renew_by_vote(&seats->lease, &seats->table, seats->mask,
				     vote);
	g_mutex_unlock(&seats->lock);
}

bool wwh_seats_is_member(wwh_seats_t *seats, uint64_t process)
{
	int32_t index;
	bool member;

	g_mutex_lock(&seats->lock);
	index = index_of(&seats->table, process);
	member = index >= 0 && !seats->table.members[index].evicted;
	g_mutex_unlock(&seats->lock);
	return member;
}

bool wwh_seats_is_author_gone(wwh_seats_t *seats, const char *author)
{
	bool gone;

	g_mutex_lock(&seats->lock);
	gone = author_gone(seats, author);
	g_mutex_unlock(&seats->lock);
	return gone;
}

void wwh_seats_set_host_gone(wwh_seats_t *seats, const char *host, bool gone)
{
	g_mutex_lock(&seats->lock);
	if (gone)
		g_hash_table_add(seats->gone, g_strdup(host));
	else
		g_hash_table_remove(seats->gone, host);
	g_mutex_unlock(&seats->lock);
}

/*
 * What a process lent is its seats'. Once it is said to be gone, others claim
 * these; a borrower that went on would make a minion serve more than its slots
 * for as long as it wants them, since the lender never asks for them back.
 */
static void copy_table(wwh_seats_t *seats)
{
	wwh_entry_t *entry = seats->entry;
	uint64_t departed[WWH_SEAT_MEMBERS_MAX];
	const wwh_seat_table_t *table;
	int32_t count;

	g_mutex_lock(&entry->state_lock);
	g_mutex_lock(&seats->lock);
	table = wwh_state_seats(entry->state);
	count = wwh_seat_departed(&seats->table, table, departed);
	seats->table = *table;
	g_mutex_unlock(&seats->lock);
	g_mutex_unlock(&entry->state_lock);
	for (int32_t i = 0; i < count; i++)
		wwh_entry_peers_forget_loans(entry->peers, departed[i]);
}

static void set_share(wwh_seats_t *seats, int64_t now_ms)
{
	uint64_t held = wwh_seat_held(&seats->table, seats->process);
	wwh_dispatch_share_t share = {
		.seat_count = WWH_STATE_SEATS,
		.lease_until_ms = seats->lease.until_ms,
	};
	bool shrinks;

	seats->releasing &= held;
	share.seats = held & ~seats->releasing;
	shrinks = (seats->mask & ~share.seats) != 0;
	if (share.seats != 0 && now_ms >= share.lease_until_ms)
		wwh_counter_add(seats->lapsed, 1);
	seats->mask = share.seats;
	wwh_request_table_set_share(seats->entry->requests, &share);
	if (shrinks)
		wwh_upstream_close_idle(seats->entry->upstream);
	wwh_counter_set(seats->held, __builtin_popcountll(share.seats));
}

static void renew_lease(wwh_seats_t *seats, int64_t sent_ms)
{
	int32_t index = index_of(&seats->table, seats->process);

	if (index >= 0 && !seats->table.members[index].evicted && sent_ms > 0)
		wwh_seat_lease_renew_by_log(&seats->lease, sent_ms);
}

static bool plan(wwh_seats_t *seats, int64_t now_ms, bool giving,
		 wwh_seat_record_t *record)
{
	int32_t index = index_of(&seats->table, seats->process);

	*record = (wwh_seat_record_t){ .process = seats->process };
	if (giving)
		return index >= 0 && plan_giving(seats, record);
	if (index < 0) {
		record->type = WWH_SEAT_JOIN;
		return true;
	}
	if (seats->releasing != 0) {
		if (!wwh_request_table_share_settled(seats->entry->requests))
			return false;
		record->type = WWH_SEAT_RELEASE;
		record->seat = __builtin_ctzll(seats->releasing);
		return true;
	}
	if (plan_others(seats, now_ms, record))
		return true;
	if (!wwh_seat_plan(&seats->table, seats->process, record))
		return false;
	if (record->type == WWH_SEAT_RELEASE) {
		/* out of the share first; it is given back when settled */
		seats->releasing |= UINT64_C(1) << record->seat;
		return false;
	}
	return true;
}

static bool plan_giving(wwh_seats_t *seats, wwh_seat_record_t *record)
{
	uint64_t held = wwh_seat_held(&seats->table, seats->process);

	seats->next_act_ms = 0;
	seats->releasing = held;
	if (held == 0) {
		record->type = WWH_SEAT_LEAVE;
		return true;
	}
	if (seats->mask != 0 ||
	    !wwh_request_table_share_settled(seats->entry->requests))
		return false;
	record->type = WWH_SEAT_RELEASE;
	record->seat = __builtin_ctzll(held);
	return true;
}

/* What is to be said about other members. */
static bool plan_others(wwh_seats_t *seats, int64_t now_ms,
			wwh_seat_record_t *record)
{
	int32_t own;

	if (plan_gone(seats, record))
		return true;
	/* plan_gone lets go of the lock; a vote may have copied the table */
	own = index_of(&seats->table, seats->process);
	for (int32_t i = 0; i < seats->table.member_count; i++) {
		const wwh_seat_member_t *member = &seats->table.members[i];

		record->subject = member->process;
		if (i == own)
			continue;
		if (member->evicted) {
			if (plan_eviction(seats, now_ms, member, own, record))
				return true;
			continue;
		}
		if (wwh_entry_peers_is_dead(seats->entry->peers,
					    member->process)) {
			record->type = WWH_SEAT_EVICT;
			return true;
		}
	}
	record->subject = 0;
	return false;
}

static bool plan_eviction(wwh_seats_t *seats, int64_t now_ms,
			  const wwh_seat_member_t *member, int32_t own_index,
			  wwh_seat_record_t *record)
{
	if ((member->acked >> own_index & 1) == 0) {
		wwh_entry_peers_forget_loans(seats->entry->peers,
					     member->process);
		record->type = WWH_SEAT_ACK;
		return wwh_request_table_share_settled(seats->entry->requests);
	}
	if (!wwh_seat_all_acked(&seats->table, member->process))
		return false;
	if (now_ms - acked_since(seats, member->process, now_ms) <
	    WWH_SEAT_FREE_AFTER_MS)
		return false;
	record->type = WWH_SEAT_FREE;
	return true;
}

static bool plan_gone(wwh_seats_t *seats, wwh_seat_record_t *record)
{
	wwh_entry_t *entry = seats->entry;
	authors_t authors = { .seats = seats };

	if (seats->table.member_count < 2)
		return false;
	g_mutex_unlock(&seats->lock);
	g_mutex_lock(&entry->state_lock);
	g_mutex_lock(&seats->lock);
	wwh_state_each_author(entry->state, look_at_author, &authors);
	g_mutex_unlock(&entry->state_lock);
	if (authors.gone == 0)
		return false;
	g_message("seats: %s is gone", authors.gone_author);
	g_free(authors.gone_author);
	record->type = WWH_SEAT_GONE;
	record->subject = authors.gone;
	return true;
}

static bool look_at_author(const char *author, int64_t offset,
			   void *client_data)
{
	authors_t *authors = client_data;
	wwh_seats_t *seats = authors->seats;

	(void)offset;
	if (index_of(&seats->table, wwh_seat_process_id(author)) < 0 ||
	    !author_gone(seats, author))
		return true;
	authors->gone = wwh_seat_process_id(author);
	authors->gone_author = g_strdup(author);
	return false;
}

/* When the last acknowledgement of that eviction was seen: now, or before. */
static int64_t acked_since(wwh_seats_t *seats, uint64_t process, int64_t now_ms)
{
	int64_t *since = g_hash_table_lookup(seats->acked_ms, &process);

	if (since == NULL) {
		since = g_memdup2(&now_ms, sizeof(now_ms));
		g_hash_table_insert(seats->acked_ms,
				    g_memdup2(&process, sizeof(process)),
				    since);
	}
	return *since;
}

/*
 * A process whose host the list calls gone and that answers nobody, or an
 * earlier incarnation of this very process (it has bound the same address),
 * surely runs no more. The list alone is not enough: it lags, and a process
 * that was started again on the same host would lose what it works with.
 */
static bool author_gone(wwh_seats_t *seats, const char *author)
{
	const char *slash = strrchr(author, '/');
	char *host;
	bool gone;

	if (slash == NULL || strcmp(author, seats->entry->author) == 0)
		return false;
	host = g_strndup(author, (gsize)(slash - author));
	gone = (g_hash_table_contains(seats->gone, host) &&
		wwh_entry_peers_is_dead(seats->entry->peers,
					wwh_seat_process_id(author))) ||
	       strcmp(host, seats->entry->settings->process_id) == 0;
	g_free(host);
	return gone;
}

static int32_t index_of(const wwh_seat_table_t *table, uint64_t process)
{
	for (int32_t i = 0; i < table->member_count; i++) {
		if (table->members[i].process == process)
			return i;
	}
	return -1;
}

static void submit(wwh_seats_t *seats, const wwh_seat_record_t *record)
{
	wwh_entry_t *entry = seats->entry;
	wwh_submit_result_t submitted;
	wwh_record_t whole;

	wwh_record_init(&whole, WWH_RECORD_SEAT, entry->author);
	whole.body.seat = *record;
	wwh_entry_log_submit(entry->log, &whole,
			     entry->settings->log_append_timeout_ms,
			     &submitted);
	wwh_record_clear(&whole);
	wwh_counter_add(seats->records, 1);
	if (submitted.status != WWH_STATUS_OK ||
	    submitted.verdict != WWH_VERDICT_ACCEPTED)
		return;
	/* claims follow each other without a pause */
	g_mutex_lock(&seats->lock);
	seats->next_act_ms = 0;
	g_mutex_unlock(&seats->lock);
}
