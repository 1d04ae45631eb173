#include "waxwinghollow/dispatch_loan.h"

#include "private/dispatch_state.h"

#define RESERVE_PART 8

static int32_t wanted_slots(const wwh_minion_record_t *minion, int64_t now_ms);
static int32_t lent_before(const wwh_service_state_t *service,
			   const wwh_minion_record_t *minion);
static int32_t unused_slots(const wwh_minion_record_t *minion);
static void return_idle(wwh_minion_record_t *minion, uint64_t peer);
static void lend_idle(wwh_minion_record_t *minion, uint64_t peer);
static int32_t lendable(const wwh_minion_record_t *minion);

void wwh_dispatch_loans_visit_updates(wwh_dispatch_t *dispatch, int64_t now_ms,
				      uint64_t peer,
				      wwh_dispatch_loan_visit_t visit,
				      void *client_data)
{
	for (guint i = 0; i < dispatch->minion_list->len; i++) {
		wwh_minion_record_t *minion =
			g_ptr_array_index(dispatch->minion_list, i);
		wwh_dispatch_loan_t loan = { .minion = minion->id };

		return_idle(minion, peer);
		lend_idle(minion, peer);
		if (wwh_slot_limit_advance(&minion->bearing, now_ms))
			wwh_dispatch_set_seats(dispatch, minion);
		loan.wanted = wanted_slots(minion, now_ms);
		loan.bears = minion->bearing.bears;
		loan.bears_version = minion->bearing.version;
		if (!wwh_loan_mark_sent_if_due(minion->loans, peer, loan.wanted,
					       loan.bears_version, now_ms))
			continue;
		loan.totals = wwh_loan_totals(minion->loans, peer);
		visit(&loan, client_data);
	}
}

void wwh_dispatch_loans_apply_update(wwh_dispatch_t *dispatch, int64_t now_ms,
				     uint64_t peer,
				     const wwh_dispatch_loan_t *loan)
{
	wwh_minion_record_t *minion =
		g_hash_table_lookup(dispatch->minions, loan->minion);
	bool gained;

	if (minion == NULL)
		return;
	gained = wwh_loan_apply_totals(minion->loans, peer, loan->totals);
	if (wwh_slot_limit_handle_update(&minion->bearing, now_ms,
					 loan->bears_version, loan->bears))
		wwh_dispatch_set_seats(dispatch, minion);
	wwh_loan_set_wanted_by(minion->loans, peer, loan->wanted);
	wwh_dispatch_apply_share(minion);
	wwh_dispatch_return_recalled_slots(minion);
	lend_idle(minion, peer);
	if (minion->service == NULL)
		return;
	wwh_dispatch_update_capacity(minion->service);
	if (gained)
		wwh_dispatch_start_waiting(dispatch, now_ms, minion->service);
}

void wwh_dispatch_loans_remove_peer(wwh_dispatch_t *dispatch, int64_t now_ms,
				    uint64_t peer)
{
	for (guint i = 0; i < dispatch->minion_list->len; i++) {
		wwh_minion_record_t *minion =
			g_ptr_array_index(dispatch->minion_list, i);

		wwh_loan_remove_peer(minion->loans, peer);
		wwh_dispatch_apply_share(minion);
	}
	for (guint i = 0; i < dispatch->service_list->len; i++)
		wwh_dispatch_update_capacity(
			g_ptr_array_index(dispatch->service_list, i));
	wwh_dispatch_start_all_waiting(dispatch, now_ms);
}

void wwh_dispatch_return_recalled_slots(wwh_minion_record_t *minion)
{
	uint64_t peer;

	for (int32_t i = 0; wwh_loan_peer_at(minion->loans, i, &peer); i++) {
		if (wwh_loan_wanted_by(minion->loans, peer) == 0)
			continue;
		wwh_loan_return(minion->loans, peer, unused_slots(minion));
		wwh_dispatch_apply_share(minion);
	}
}

static int32_t wanted_slots(const wwh_minion_record_t *minion, int64_t now_ms)
{
	const wwh_service_state_t *service = minion->service;
	int32_t waiting;

	if (service == NULL || !wwh_minion_takes_work(minion) ||
	    minion->ejection.state != WWH_EJECTION_IN ||
	    now_ms < minion->blocked_until_ms)
		return 0;
	/* The part has become smaller than what is lent. */
	if (wwh_loan_lent(minion->loans) > minion->seat_slots)
		return 1;
	waiting = wwh_admission_waiting(service->admission);
	if (waiting == 0)
		return 0;
	/* One that waits needs one slot back, not one of each minion. */
	if (wwh_loan_lent(minion->loans) > 0)
		return lent_before(service, minion) < waiting ? 1 : 0;
	return MIN(1 + waiting / (int32_t)service->minions->len, minion->slots);
}

/* Minions of the service before this one of which slots are lent. */
static int32_t lent_before(const wwh_service_state_t *service,
			   const wwh_minion_record_t *minion)
{
	int32_t lent = 0;

	for (guint i = 0; i < service->minions->len; i++) {
		const wwh_minion_record_t *other =
			g_ptr_array_index(service->minions, i);

		if (other == minion)
			break;
		lent += wwh_loan_lent(other->loans) > 0;
	}
	return lent;
}

static int32_t unused_slots(const wwh_minion_record_t *minion)
{
	return MAX(minion->limiter.share - minion->limiter.running, 0);
}

/*
 * A borrower that runs less than half of its own share gives back what it
 * does not use; above that it keeps it, or each lull would send the same
 * slots to and fro.
 */
static void return_idle(wwh_minion_record_t *minion, uint64_t peer)
{
	const wwh_service_state_t *service = minion->service;
	int32_t own = 0;

	if (wwh_loan_borrowed_from(minion->loans, peer) == 0)
		return;
	for (guint i = 0; service != NULL && i < service->minions->len; i++) {
		const wwh_minion_record_t *other =
			g_ptr_array_index(service->minions, i);

		own += other->seat_slots;
	}
	if (service != NULL && service->running * 2 >= own)
		return;
	wwh_loan_return(minion->loans, peer, unused_slots(minion));
	wwh_dispatch_apply_share(minion);
}

/* To a peer that wants some and from which nothing is borrowed. */
static void lend_idle(wwh_minion_record_t *minion, uint64_t peer)
{
	int32_t wanted = wwh_loan_wanted_by(minion->loans, peer);
	int32_t count;

	if (wanted == 0 || wwh_loan_borrowed_from(minion->loans, peer) > 0)
		return;
	count = MIN(wanted, lendable(minion));
	if (count <= 0)
		return;
	wwh_loan_grant(minion->loans, peer, count);
	wwh_dispatch_apply_share(minion);
}

/* Only own slots; a borrowed one is not lent on. */
static int32_t lendable(const wwh_minion_record_t *minion)
{
	const wwh_service_state_t *service = minion->service;
	int32_t share = 0, unused = 0;
	int32_t own = minion->seat_slots - wwh_loan_lent(minion->loans);

	if (service == NULL || wwh_admission_waiting(service->admission) > 0 ||
	    wwh_loan_borrowed(minion->loans) > 0)
		return 0;
	for (guint i = 0; i < service->minions->len; i++) {
		const wwh_minion_record_t *other =
			g_ptr_array_index(service->minions, i);

		share += other->seat_slots;
		unused += unused_slots(other);
	}
	unused -= (share + RESERVE_PART - 1) / RESERVE_PART;
	return MAX(MIN(MIN(own, unused_slots(minion)), unused), 0);
}
