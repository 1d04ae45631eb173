#include "waxwinghollow/loan.h"

#include <assert.h>
#include <glib.h>

#define TELL_AGAIN_MS 5000

typedef struct {
	uint64_t peer;
	uint64_t granted; /* own number */
	uint64_t returned; /* own number */
	uint64_t heard_granted;
	uint64_t heard_returned;
	int32_t wanted; /* by the peer */
	wwh_loan_totals_t told;
	int32_t told_wanted;
	uint32_t told_version;
	int64_t told_ms;
} account_t;

struct wwh_loan_book {
	GArray *accounts; /* account_t, in the order of first use */
	int32_t lent;
	int32_t borrowed;
};

static account_t *find(const wwh_loan_book_t *book, uint64_t peer);
static account_t *get(wwh_loan_book_t *book, uint64_t peer);
static bool much_changed(int32_t from, int32_t to);

wwh_loan_book_t *wwh_loan_book_new(void)
{
	wwh_loan_book_t *book = g_new0(wwh_loan_book_t, 1);

	book->accounts = g_array_new(FALSE, TRUE, sizeof(account_t));
	return book;
}

void wwh_loan_book_delete(wwh_loan_book_t *book)
{
	if (book == NULL)
		return;
	g_array_free(book->accounts, TRUE);
	g_free(book);
}

int32_t wwh_loan_lent(const wwh_loan_book_t *book)
{
	return book->lent;
}

int32_t wwh_loan_borrowed(const wwh_loan_book_t *book)
{
	return book->borrowed;
}

int32_t wwh_loan_borrowed_from(const wwh_loan_book_t *book, uint64_t peer)
{
	const account_t *account = find(book, peer);

	if (account == NULL)
		return 0;
	return (int32_t)(account->heard_granted - account->returned);
}

void wwh_loan_grant(wwh_loan_book_t *book, uint64_t peer, int32_t count)
{
	assert(count > 0);
	get(book, peer)->granted += (uint64_t)count;
	book->lent += count;
}

int32_t wwh_loan_return(wwh_loan_book_t *book, uint64_t peer, int32_t count)
{
	account_t *account = find(book, peer);
	int32_t held = wwh_loan_borrowed_from(book, peer);

	if (count > held)
		count = held;
	if (count <= 0)
		return 0;
	account->returned += (uint64_t)count;
	book->borrowed -= count;
	return count;
}

void wwh_loan_set_wanted_by(wwh_loan_book_t *book, uint64_t peer,
			    int32_t wanted)
{
	if (wanted > 0 || find(book, peer) != NULL)
		get(book, peer)->wanted = wanted;
}

int32_t wwh_loan_wanted_by(const wwh_loan_book_t *book, uint64_t peer)
{
	const account_t *account = find(book, peer);

	return account == NULL ? 0 : account->wanted;
}

bool wwh_loan_mark_sent_if_due(wwh_loan_book_t *book, uint64_t peer,
			       int32_t wanted, uint32_t version, int64_t now_ms)
{
	account_t *account = find(book, peer);
	bool blank;

	if (account == NULL && wanted == 0 && version == 0)
		return false;
	account = get(book, peer);
	blank = wanted == 0 && version == 0 && account->granted == 0 &&
		account->returned == 0;
	if (account->told.granted == account->granted &&
	    account->told.returned == account->returned &&
	    !much_changed(account->told_wanted, wanted) &&
	    account->told_version == version &&
	    (blank || now_ms - account->told_ms < TELL_AGAIN_MS))
		return false;
	account->told.granted = account->granted;
	account->told.returned = account->returned;
	account->told_wanted = wanted;
	account->told_version = version;
	account->told_ms = now_ms;
	return true;
}

wwh_loan_totals_t wwh_loan_totals(const wwh_loan_book_t *book, uint64_t peer)
{
	const account_t *account = find(book, peer);
	wwh_loan_totals_t totals = { 0 };

	if (account != NULL) {
		totals.granted = account->granted;
		totals.returned = account->returned;
	}
	return totals;
}

/*
 * Totals that go back or beyond what is possible come from an older message
 * or a broken peer; taking them would lend one slot twice.
 */
bool wwh_loan_apply_totals(wwh_loan_book_t *book, uint64_t peer,
			   wwh_loan_totals_t totals)
{
	account_t *account;
	bool changed = false;

	if (totals.granted == 0 && totals.returned == 0)
		return false;
	account = get(book, peer);
	if (totals.granted > account->heard_granted &&
	    totals.granted - account->heard_granted <= INT16_MAX) {
		book->borrowed +=
			(int32_t)(totals.granted - account->heard_granted);
		account->heard_granted = totals.granted;
		changed = true;
	}
	if (totals.returned > account->heard_returned &&
	    totals.returned <= account->granted) {
		book->lent -=
			(int32_t)(totals.returned - account->heard_returned);
		account->heard_returned = totals.returned;
		changed = true;
	}
	return changed;
}

void wwh_loan_remove_peer(wwh_loan_book_t *book, uint64_t peer)
{
	account_t *account = find(book, peer);

	if (account == NULL)
		return;
	book->lent -= (int32_t)(account->granted - account->heard_returned);
	book->borrowed -= (int32_t)(account->heard_granted - account->returned);
	g_array_remove_index(
		book->accounts,
		(guint)(account - (account_t *)book->accounts->data));
}

bool wwh_loan_peer_at(const wwh_loan_book_t *book, int32_t index,
		      uint64_t *peer)
{
	if (index < 0 || (guint)index >= book->accounts->len)
		return false;
	*peer = g_array_index(book->accounts, account_t, index).peer;
	return true;
}

static account_t *find(const wwh_loan_book_t *book, uint64_t peer)
{
	for (guint i = 0; i < book->accounts->len; i++) {
		account_t *account =
			&g_array_index(book->accounts, account_t, i);

		if (account->peer == peer)
			return account;
	}
	return NULL;
}

static account_t *get(wwh_loan_book_t *book, uint64_t peer)
{
	account_t *account = find(book, peer);
	account_t fresh = { .peer = peer };

	if (account != NULL)
		return account;
	g_array_append_val(book->accounts, fresh);
	return find(book, peer);
}

/* To or from none, or by more than half: less is not worth a message. */
static bool much_changed(int32_t from, int32_t to)
{
	return (from == 0) != (to == 0) || from > 2 * to || to > 2 * from;
}
