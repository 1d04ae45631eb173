#include "private/entry_seats.h"

#include <string.h>

#include "private/entry_log.h"
#include "private/entry_peers.h"
#include "private/request_table.h"

/* Votes are requested when less than this remains of the lease. */
#define VOTE_LEASE_BELOW_MS 2500
#define VOTE_PERIOD_MS 500

/* Delay before the next record, unless the last one was accepted. */
#define RECORD_PAUSE_MS 300

struct wwh_seats {
	wwh_entry_t *entry;
	uint64_t process;
	GMutex lock; /* protects all below */
	wwh_seat_table_t table; /* copy of the one in entry->state */
	wwh_seat_lease_t lease;
	uint64_t mask; /* seats in the dispatcher's share */
	uint64_t releasing; /* held, but removed from the share */
	bool left;
	int64_t next_vote_ms;
	int64_t next_record_ms;
	/* set of hosts that the platform lists as gone */
	GHashTable *gone_hosts;
	/* evicted process to when its last ACK was read */
	GHashTable *all_acked_ms;
	wwh_counter_t *held;
	wwh_counter_t *records;
	wwh_counter_t *votes;
	wwh_counter_t *lapsed;
};

/* Result of the search for a member that has ended, among the log's authors. */
typedef struct {
	wwh_seats_t *seats;
	uint64_t gone; /* a member that has certainly ended, or 0 */
	char *gone_author;
} gone_search_t;

static void copy_table(wwh_seats_t *seats);
static void set_share(wwh_seats_t *seats, int64_t now_ms);
static void renew_lease(wwh_seats_t *seats, int64_t sent_ms);
static bool plan_record(wwh_seats_t *seats, int64_t now_ms, bool release_all,
			wwh_seat_record_t *record);
static bool plan_release_all(wwh_seats_t *seats, wwh_seat_record_t *record);
static bool plan_others(wwh_seats_t *seats, int64_t now_ms,
			wwh_seat_record_t *record);
static bool plan_eviction(wwh_seats_t *seats, int64_t now_ms,
			  const wwh_seat_member_t *member, int32_t own_index,
			  wwh_seat_record_t *record);
static bool plan_gone(wwh_seats_t *seats, wwh_seat_record_t *record);
static bool check_author(const char *author, int64_t offset, void *client_data);
static int64_t all_acked_since_ms(wwh_seats_t *seats, uint64_t process,
				  int64_t now_ms);
static bool is_author_gone(wwh_seats_t *seats, const char *author);
static int32_t member_index(const wwh_seat_table_t *table, uint64_t process);
static void submit(wwh_seats_t *seats, const wwh_seat_record_t *record);

wwh_seats_t *wwh_seats_new(wwh_entry_t *entry)
{
	wwh_seats_t *seats = g_new0(wwh_seats_t, 1);

	seats->entry = entry;
	seats->process = wwh_seat_process_id(entry->author);
	g_mutex_init(&seats->lock);
	wwh_seat_table_init(&seats->table, WWH_STATE_SEATS);
	seats->all_acked_ms = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, g_free);
	seats->gone_hosts =
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
	g_hash_table_destroy(seats->gone_hosts);
	g_hash_table_destroy(seats->all_acked_ms);
	g_mutex_clear(&seats->lock);
	g_free(seats);
}

void wwh_seats_round(wwh_seats_t *seats, bool release_all)
{
	int64_t now_ms = wwh_now_ms();
	/*
	 * The time of the read is taken before the table is copied: a table
	 * that is older than the read might lack an eviction that the read
	 * returned, and the lease would be renewed in spite of it.
	 */
	int64_t sent_ms = wwh_entry_log_read_sent_ms(seats->entry->log);
	wwh_seat_record_t record;
	bool has_record;
	bool needs_votes = false;

	copy_table(seats);
	g_mutex_lock(&seats->lock);
	renew_lease(seats, sent_ms);
	has_record = now_ms >= seats->next_record_ms &&
		     plan_record(seats, now_ms, release_all, &record);
	if (has_record)
		seats->next_record_ms = now_ms + RECORD_PAUSE_MS;
	set_share(seats, now_ms);
	if (seats->lease.until_ms - now_ms < VOTE_LEASE_BELOW_MS &&
	    now_ms >= seats->next_vote_ms) {
		seats->next_vote_ms = now_ms + VOTE_PERIOD_MS;
		needs_votes = true;
	}
	g_mutex_unlock(&seats->lock);
	if (needs_votes)
		wwh_entry_peers_request_votes(seats->entry->peers);
	if (has_record)
		submit(seats, &record);
}

bool wwh_seats_has_left(wwh_seats_t *seats)
{
	bool result;

	copy_table(seats);
	g_mutex_lock(&seats->lock);
	result = member_index(&seats->table, seats->process) < 0;
	g_mutex_unlock(&seats->lock);
	return result;
}

bool wwh_seats_may_vote(wwh_seats_t *seats, uint64_t requester, uint64_t *own)
{
	int64_t now_ms = wwh_now_ms();
	int32_t index;
	bool may;

	copy_table(seats);
	g_mutex_lock(&seats->lock);
	index = member_index(&seats->table, requester);
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
	index = member_index(&seats->table, process);
	member = index >= 0 && !seats->table.members[index].evicted;
	g_mutex_unlock(&seats->lock);
	return member;
}

bool wwh_seats_is_author_gone(wwh_seats_t *seats, const char *author)
{
	bool gone;

	g_mutex_lock(&seats->lock);
	gone = is_author_gone(seats, author);
	g_mutex_unlock(&seats->lock);
	return gone;
}

void wwh_seats_set_host_gone(wwh_seats_t *seats, const char *host, bool gone)
{
	g_mutex_lock(&seats->lock);
	if (gone)
		g_hash_table_add(seats->gone_hosts, g_strdup(host));
	else
		g_hash_table_remove(seats->gone_hosts, host);
	g_mutex_unlock(&seats->lock);
}

/*
 * Lent slots belong to the lender's seats. Once the lender has departed, others
 * claim its seats. A borrower that went on using the slots would overload a
 * minion for as long as it wants them, since no lender recalls them any more.
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
	int32_t index = member_index(&seats->table, seats->process);

	if (index >= 0 && !seats->table.members[index].evicted && sent_ms > 0)
		wwh_seat_lease_renew_by_log(&seats->lease, sent_ms);
}

static bool plan_record(wwh_seats_t *seats, int64_t now_ms, bool release_all,
			wwh_seat_record_t *record)
{
	int32_t index = member_index(&seats->table, seats->process);

	*record = (wwh_seat_record_t){ .process = seats->process };
	if (release_all)
		return index >= 0 && plan_release_all(seats, record);
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
		/* removed from the share first, released once that settled */
		seats->releasing |= UINT64_C(1) << record->seat;
		return false;
	}
	return true;
}

static bool plan_release_all(wwh_seats_t *seats, wwh_seat_record_t *record)
{
	uint64_t held = wwh_seat_held(&seats->table, seats->process);

	seats->next_record_ms = 0;
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

/* Plans a record about another member: GONE, EVICT, ACK or FREE. */
static bool plan_others(wwh_seats_t *seats, int64_t now_ms,
			wwh_seat_record_t *record)
{
	int32_t own;

	if (plan_gone(seats, record))
		return true;
	/* plan_gone unlocks meanwhile; a vote may have copied the table */
	own = member_index(&seats->table, seats->process);
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
	if (now_ms - all_acked_since_ms(seats, member->process, now_ms) <
	    WWH_SEAT_FREE_AFTER_MS)
		return false;
	record->type = WWH_SEAT_FREE;
	return true;
}

static bool plan_gone(wwh_seats_t *seats, wwh_seat_record_t *record)
{
	wwh_entry_t *entry = seats->entry;
	gone_search_t search = { .seats = seats };

	if (seats->table.member_count < 2)
		return false;
	g_mutex_unlock(&seats->lock);
	g_mutex_lock(&entry->state_lock);
	g_mutex_lock(&seats->lock);
	wwh_state_each_author(entry->state, check_author, &search);
	g_mutex_unlock(&entry->state_lock);
	if (search.gone == 0)
		return false;
	g_message("seats: %s is gone", search.gone_author);
	g_free(search.gone_author);
	record->type = WWH_SEAT_GONE;
	record->subject = search.gone;
	return true;
}

static bool check_author(const char *author, int64_t offset, void *client_data)
{
	gone_search_t *search = client_data;
	wwh_seats_t *seats = search->seats;

	(void)offset;
	if (member_index(&seats->table, wwh_seat_process_id(author)) < 0 ||
	    !is_author_gone(seats, author))
		return true;
	search->gone = wwh_seat_process_id(author);
	search->gone_author = g_strdup(author);
	return false;
}

/*
 * When this process first found that all members acknowledged the eviction;
 * that is now_ms at the first call.
 */
static int64_t all_acked_since_ms(wwh_seats_t *seats, uint64_t process,
				  int64_t now_ms)
{
	int64_t *since = g_hash_table_lookup(seats->all_acked_ms, &process);

	if (since == NULL) {
		since = g_memdup2(&now_ms, sizeof(now_ms));
		g_hash_table_insert(seats->all_acked_ms,
				    g_memdup2(&process, sizeof(process)),
				    since);
	}
	return *since;
}

/*
 * A process has certainly ended if the platform lists its host as gone and the
 * membership calls it dead, or if it is an earlier incarnation of this process,
 * which has bound the same address. The list alone is not enough: it lags, and
 * a process that was restarted on the same host would lose its seats.
 */
static bool is_author_gone(wwh_seats_t *seats, const char *author)
{
	const char *slash = strrchr(author, '/');
	char *host;
	bool gone;

	if (slash == NULL || strcmp(author, seats->entry->author) == 0)
		return false;
	host = g_strndup(author, (gsize)(slash - author));
	gone = (g_hash_table_contains(seats->gone_hosts, host) &&
		wwh_entry_peers_is_dead(seats->entry->peers,
					wwh_seat_process_id(author))) ||
	       strcmp(host, seats->entry->settings->process_id) == 0;
	g_free(host);
	return gone;
}

static int32_t member_index(const wwh_seat_table_t *table, uint64_t process)
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
	wwh_record_t log_record;

	wwh_record_init(&log_record, WWH_RECORD_SEAT, entry->author);
	log_record.body.seat = *record;
	wwh_entry_log_submit(entry->log, &log_record,
			     entry->settings->log_append_timeout_ms,
			     &submitted);
	wwh_record_clear(&log_record);
	wwh_counter_add(seats->records, 1);
	if (submitted.status != WWH_STATUS_OK ||
	    submitted.verdict != WWH_VERDICT_ACCEPTED)
		return;
	/* the next record, e.g. another CLAIM, may follow at once */
	g_mutex_lock(&seats->lock);
	seats->next_record_ms = 0;
	g_mutex_unlock(&seats->lock);
}
