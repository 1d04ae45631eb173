#include "waxwinghollow/loan.h"

#include <assert.h>
#include <glib.h>

#define RESEND_MS 5000

typedef struct {
	uint64_t peer;
	uint64_t granted; /* by this process to the peer */
	uint64_t returned; /* by this process to the peer */
	uint64_t received_granted;
	uint64_t received_returned;
	int32_t wanted_by_peer;
	wwh_loan_totals_t sent;
	int32_t sent_wanted;
	uint32_t sent_version;
	int64_t sent_ms;
} account_t;

struct wwh_loan_book {
	GArray *accounts; /* account_t, in the order of first use */
	int32_t lent;
	int32_t borrowed;
};

static account_t *find_account(const wwh_loan_book_t *book, uint64_t peer);
static account_t *get_account(wwh_loan_book_t *book, uint64_t peer);
static bool changed_much(int32_t from, int32_t to);

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
	const account_t *account = find_account(book, peer);

	if (account == NULL)
		return 0;
	return (int32_t)(account->received_granted - account->returned);
}

void wwh_loan_grant(wwh_loan_book_t *book, uint64_t peer, int32_t count)
{
	assert(count > 0);
	get_account(book, peer)->granted += (uint64_t)count;
	book->lent += count;
}

int32_t wwh_loan_return(wwh_loan_book_t *book, uint64_t peer, int32_t count)
{
	account_t *account = find_account(book, peer);
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
	if (wanted > 0 || find_account(book, peer) != NULL)
		get_account(book, peer)->wanted_by_peer = wanted;
}

int32_t wwh_loan_wanted_by(const wwh_loan_book_t *book, uint64_t peer)
{
	const account_t *account = find_account(book, peer);

	return account == NULL ? 0 : account->wanted_by_peer;
}

bool wwh_loan_mark_sent_if_due(wwh_loan_book_t *book, uint64_t peer,
			       int32_t wanted, uint32_t version, int64_t now_ms)
{
	account_t *account = find_account(book, peer);
	bool nothing_to_send;

	if (account == NULL && wanted == 0 && version == 0)
		return false;
	account = get_account(book, peer);
	nothing_to_send = wanted == 0 && version == 0 &&
			  account->granted == 0 && account->returned == 0;
	if (account->sent.granted == account->granted &&
	    account->sent.returned == account->returned &&
	    !changed_much(account->sent_wanted, wanted) &&
	    account->sent_version == version &&
	    (nothing_to_send || now_ms - account->sent_ms < RESEND_MS))
		return false;
	account->sent.granted = account->granted;
	account->sent.returned = account->returned;
	account->sent_wanted = wanted;
	account->sent_version = version;
	account->sent_ms = now_ms;
	return true;
}

wwh_loan_totals_t wwh_loan_totals(const wwh_loan_book_t *book, uint64_t peer)
{
	const account_t *account = find_account(book, peer);
	wwh_loan_totals_t totals = { 0 };

	if (account != NULL) {
		totals.granted = account->granted;
		totals.returned = account->returned;
	}
	return totals;
}

/*
 * Ignores totals that decrease or exceed what is possible: they come from an
 * older message or a faulty peer, and applying them would lend a slot twice.
 */
bool wwh_loan_apply_totals(wwh_loan_book_t *book, uint64_t peer,
			   wwh_loan_totals_t totals)
{
	account_t *account;
	bool changed = false;

	if (totals.granted == 0 && totals.returned == 0)
		return false;
	account = get_account(book, peer);
	if (totals.granted > account->received_granted &&
	    totals.granted - account->received_granted <= INT16_MAX) {
		book->borrowed +=
			(int32_t)(totals.granted - account->received_granted);
		account->received_granted = totals.granted;
		changed = true;
	}
	if (totals.returned > account->received_returned &&
	    totals.returned <= account->granted) {
		book->lent -=
			(int32_t)(totals.returned - account->received_returned);
		account->received_returned = totals.returned;
		changed = true;
	}
	return changed;
}

void wwh_loan_remove_peer(wwh_loan_book_t *book, uint64_t peer)
{
	account_t *account = find_account(book, peer);

	if (account == NULL)
		return;
	book->lent -= (int32_t)(account->granted - account->received_returned);
	book->borrowed -=
		(int32_t)(account->received_granted - account->returned);
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

static account_t *find_account(const wwh_loan_book_t *book, uint64_t peer)
{
	for (guint i = 0; i < book->accounts->len; i++) {
		account_t *account =
			&g_array_index(book->accounts, account_t, i);

		if (account->peer == peer)
			return account;
	}
	return NULL;
}

static account_t *get_account(wwh_loan_book_t *book, uint64_t peer)
{
	account_t *account = find_account(book, peer);
	account_t fresh = { .peer = peer };

	if (account != NULL)
		return account;
	g_array_append_val(book->accounts, fresh);
	return find_account(book, peer);
}

/* A change by up to a factor of two is not worth a message. */
static bool changed_much(int32_t from, int32_t to)
{
	return (from == 0) != (to == 0) || from > 2 * to || to > 2 * from;
}
