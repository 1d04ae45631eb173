#include <assert.h>
#include <string.h>

#include "private/dispatch_state.h"

#define EJECTIONS_PER_S 1.0

static bool setup_is_valid(const wwh_dispatch_setup_t *setup);
static void set_services(wwh_dispatch_t *dispatch,
			 const wwh_dispatch_setup_t *setup);
static void set_minions(wwh_dispatch_t *dispatch, int64_t now_ms,
			const wwh_dispatch_setup_t *setup);
static void set_teams(wwh_dispatch_t *dispatch,
		      const wwh_dispatch_setup_t *setup);
static wwh_service_state_t *get_service(wwh_dispatch_t *dispatch,
					const char *id);
static wwh_minion_record_t *get_minion(wwh_dispatch_t *dispatch, int64_t now_ms,
				       const char *id);
static wwh_team_state_t *get_team(wwh_dispatch_t *dispatch, const char *id);
static void end_unconfigured(wwh_dispatch_t *dispatch, int64_t now_ms,
			     wwh_service_state_t *service);
static void release_unused(wwh_dispatch_t *dispatch);
static void delete_service(wwh_service_state_t *service);
static void delete_minion(wwh_minion_record_t *minion);
static void delete_team(wwh_team_state_t *team);

void wwh_dispatch_delete(wwh_dispatch_t *dispatch)
{
	if (dispatch == NULL)
		return;
	if (dispatch->zone == NULL) {
		g_free(dispatch);
		return;
	}
	wwh_dispatch_close(dispatch, 0);
	wwh_heap_finish(&dispatch->timers);
	wwh_heap_finish(&dispatch->wakes);
	g_hash_table_destroy(dispatch->requests);
	g_hash_table_destroy(dispatch->services);
	g_hash_table_destroy(dispatch->minions);
	g_hash_table_destroy(dispatch->teams);
	for (guint i = 0; i < dispatch->service_list->len; i++)
		delete_service(g_ptr_array_index(dispatch->service_list, i));
	for (guint i = 0; i < dispatch->minion_list->len; i++)
		delete_minion(g_ptr_array_index(dispatch->minion_list, i));
	for (guint i = 0; i < dispatch->team_list->len; i++)
		delete_team(g_ptr_array_index(dispatch->team_list, i));
	g_ptr_array_free(dispatch->service_list, TRUE);
	g_ptr_array_free(dispatch->minion_list, TRUE);
	g_ptr_array_free(dispatch->team_list, TRUE);
	g_array_free(dispatch->decisions, TRUE);
	g_free(dispatch->zone);
	g_free(dispatch);
}

wwh_status_t wwh_dispatch_configure(wwh_dispatch_t *dispatch, int64_t now_ms,
				    const wwh_dispatch_setup_t *setup)
{
	if (!setup_is_valid(setup))
		return WWH_STATUS_BAD_INPUT;
	set_services(dispatch, setup);
	set_minions(dispatch, now_ms, setup);
	set_teams(dispatch, setup);
	for (guint i = 0; i < dispatch->service_list->len; i++) {
		wwh_service_state_t *service =
			g_ptr_array_index(dispatch->service_list, i);

		wwh_shift_bucket_resize(&service->ejections,
					MAX(service->minions->len / 2, 1));
		if (!service->configured)
			end_unconfigured(dispatch, now_ms, service);
		wwh_dispatch_update_capacity(service);
	}
	release_unused(dispatch);
	dispatch->set_up = true;
	wwh_dispatch_start_all_waiting(dispatch, now_ms);
	return WWH_STATUS_OK;
}

void wwh_dispatch_set_share(wwh_dispatch_t *dispatch, int64_t now_ms,
			    const wwh_dispatch_share_t *share)
{
	bool same = dispatch->has_share &&
		    dispatch->share.seat_count == share->seat_count &&
		    dispatch->share.seats == share->seats;
	bool lapsed = dispatch->share.lease_until_ms <= now_ms;

	assert(share->seat_count >= 1 &&
	       share->seat_count <= WWH_DISPATCH_SEATS_MAX);
	dispatch->share = *share;
	dispatch->has_share = true;
	/* a lease is renewed ten times a second, whatever the minions' number */
	if (same) {
		if (lapsed)
			wwh_dispatch_start_all_waiting(dispatch, now_ms);
		return;
	}
	for (guint i = 0; i < dispatch->minion_list->len; i++)
		wwh_dispatch_set_seats(
			dispatch, g_ptr_array_index(dispatch->minion_list, i));
	for (guint i = 0; i < dispatch->service_list->len; i++)
		wwh_dispatch_update_capacity(
			g_ptr_array_index(dispatch->service_list, i));
	wwh_dispatch_start_all_waiting(dispatch, now_ms);
}

bool wwh_dispatch_is_within_share(const wwh_dispatch_t *dispatch)
{
	for (guint i = 0; i < dispatch->minion_list->len; i++) {
		const wwh_minion_record_t *minion =
			g_ptr_array_index(dispatch->minion_list, i);
		int32_t own = minion->seat_slots +
			      wwh_loan_borrowed(minion->loans) -
			      wwh_loan_lent(minion->loans);

		if (minion->limiter.running > own || own < 0)
			return false;
	}
	return true;
}

void wwh_dispatch_set_minion_state(wwh_dispatch_t *dispatch, int64_t now_ms,
				   const char *minion, wwh_minion_state_t state)
{
	wwh_minion_record_t *record =
		g_hash_table_lookup(dispatch->minions, minion);
	bool took_work;

	assert(state < WWH_MINION_STATE_COUNT);
	if (record == NULL || record->state == state)
		return;
	took_work = wwh_minion_takes_work(record);
	record->state = state;
	if (!took_work && wwh_minion_takes_work(record)) {
		wwh_ejection_init(&record->ejection, now_ms);
		record->blocked_until_ms =
			MAX(record->blocked_until_ms,
			    now_ms + WWH_SHIFT_RETURN_DELAY_MS);
	}
	if (record->service == NULL)
		return;
	wwh_dispatch_update_capacity(record->service);
	wwh_dispatch_start_waiting(dispatch, now_ms, record->service);
}

void wwh_dispatch_apply_share(wwh_minion_record_t *minion)
{
	int32_t lent = wwh_loan_lent(minion->loans);
	int32_t borrowed = wwh_loan_borrowed(minion->loans);
	int32_t slots = minion->seat_slots + borrowed - lent;
	int32_t connections = minion->seat_connections + borrowed - lent;
	int32_t share = MAX(MIN(slots, connections), 0);

	if (share != minion->limiter.share)
		wwh_limiter_set_share(&minion->limiter, share);
}

void wwh_dispatch_update_capacity(wwh_service_state_t *service)
{
	double slots = 0;

	for (guint i = 0; i < service->minions->len; i++) {
		const wwh_minion_record_t *minion =
			g_ptr_array_index(service->minions, i);

		if (wwh_minion_takes_work(minion) &&
		    minion->ejection.state == WWH_EJECTION_IN)
			slots += minion->limiter.share;
	}
	wwh_admission_set_capacity(service->admission, slots);
}

bool wwh_minion_takes_work(const wwh_minion_record_t *minion)
{
	return minion->service != NULL && minion->state == WWH_MINION_LIVE &&
	       !minion->configured_leaving;
}

static bool setup_is_valid(const wwh_dispatch_setup_t *setup)
{
	for (int32_t i = 0; i < setup->minion_count; i++) {
		const wwh_dispatch_minion_t *minion = &setup->minions[i];

		if (minion->service < 0 ||
		    minion->service >= setup->service_count ||
		    minion->slots < 0 || minion->connections < 0 ||
		    strlen(minion->id) >= WWH_DISPATCH_ID_BYTES)
			return false;
	}
	return true;
}

static void set_services(wwh_dispatch_t *dispatch,
			 const wwh_dispatch_setup_t *setup)
{
	for (guint i = 0; i < dispatch->service_list->len; i++) {
		wwh_service_state_t *service =
			g_ptr_array_index(dispatch->service_list, i);

		service->configured = false;
		g_ptr_array_set_size(service->minions, 0);
	}
	for (int32_t i = 0; i < setup->service_count; i++) {
		wwh_service_state_t *service =
			get_service(dispatch, setup->services[i].id);

		service->configured = true;
		service->urgent = setup->services[i].urgent;
		service->deadline_ms = setup->services[i].deadline_ms;
	}
}

static void set_minions(wwh_dispatch_t *dispatch, int64_t now_ms,
			const wwh_dispatch_setup_t *setup)
{
	for (guint i = 0; i < dispatch->minion_list->len; i++) {
		wwh_minion_record_t *minion =
			g_ptr_array_index(dispatch->minion_list, i);

		minion->service = NULL;
	}
	for (int32_t i = 0; i < setup->minion_count; i++) {
		const wwh_dispatch_minion_t *from = &setup->minions[i];
		wwh_minion_record_t *minion =
			get_minion(dispatch, now_ms, from->id);

		if (minion->configured_leaving && !from->leaving)
			wwh_ejection_init(&minion->ejection, now_ms);
		minion->service = get_service(
			dispatch, setup->services[from->service].id);
		minion->own_zone = g_strcmp0(from->zone, dispatch->zone) == 0;
		/* Declared anew, it is believed anew. */
		if (minion->slots != from->slots)
			wwh_slot_limit_init(&minion->bearing, from->slots);
		minion->slots = from->slots;
		minion->connections = from->connections;
		minion->configured_leaving = from->leaving;
		g_ptr_array_add(minion->service->minions, minion);
		wwh_dispatch_set_seats(dispatch, minion);
	}
}

static void set_teams(wwh_dispatch_t *dispatch,
		      const wwh_dispatch_setup_t *setup)
{
	for (guint i = 0; i < dispatch->team_list->len; i++) {
		wwh_team_state_t *team =
			g_ptr_array_index(dispatch->team_list, i);

		team->configured = false;
	}
	for (int32_t i = 0; i < setup->team_count; i++) {
		wwh_team_state_t *team = get_team(dispatch, setup->teams[i].id);

		team->configured = true;
		team->limit = setup->teams[i].requests;
	}
}

static wwh_service_state_t *get_service(wwh_dispatch_t *dispatch,
					const char *id)
{
	wwh_service_state_t *service =
		g_hash_table_lookup(dispatch->services, id);
	wwh_admission_options_t options;

	if (service != NULL)
		return service;
	service = g_new0(wwh_service_state_t, 1);
	service->id = g_strdup(id);
	wwh_admission_options_defaults(&options);
	options.count_max = dispatch->options.waiting_max;
	options.bytes_max = dispatch->options.waiting_bytes_max;
	service->admission = wwh_admission_new(&options);
	service->minions = g_ptr_array_new();
	service->wake.owner = service;
	wwh_retry_budget_init(&service->budget);
	wwh_shift_bucket_init(&service->ejections, 0, 1, EJECTIONS_PER_S);
	g_hash_table_insert(dispatch->services, service->id, service);
	g_ptr_array_add(dispatch->service_list, service);
	return service;
}

static wwh_minion_record_t *get_minion(wwh_dispatch_t *dispatch, int64_t now_ms,
				       const char *id)
{
	wwh_minion_record_t *minion =
		g_hash_table_lookup(dispatch->minions, id);

	if (minion != NULL)
		return minion;
	minion = g_new0(wwh_minion_record_t, 1);
	minion->id = g_strdup(id);
	minion->loans = wwh_loan_book_new();
	/* At its own start a process knows no minion as new. */
	wwh_ejection_init(&minion->ejection,
			  dispatch->set_up ? now_ms : WWH_SHIFT_NO_RAMP);
	g_hash_table_insert(dispatch->minions, minion->id, minion);
	g_ptr_array_add(dispatch->minion_list, minion);
	return minion;
}

static wwh_team_state_t *get_team(wwh_dispatch_t *dispatch, const char *id)
{
	wwh_team_state_t *team = g_hash_table_lookup(dispatch->teams, id);

	if (team != NULL)
		return team;
	team = g_new0(wwh_team_state_t, 1);
	team->id = g_strdup(id);
	g_hash_table_insert(dispatch->teams, team->id, team);
	g_ptr_array_add(dispatch->team_list, team);
	return team;
}

static void end_unconfigured(wwh_dispatch_t *dispatch, int64_t now_ms,
			     wwh_service_state_t *service)
{
	wwh_waiting_t *waiting = wwh_admission_peek(service->admission);

	while (waiting != NULL) {
		wwh_request_record_t *request = waiting->owner;

		wwh_dispatch_end(
			dispatch, now_ms, request,
			wwh_retry_reported_kind(WWH_ERROR_NO_SUCH_SERVICE,
						request->may_have_run),
			0);
		waiting = wwh_admission_peek(service->admission);
	}
}

/* Records of what was removed from the setup and has no request any more. */
static void release_unused(wwh_dispatch_t *dispatch)
{
	for (guint i = dispatch->service_list->len; i > 0; i--) {
		wwh_service_state_t *service =
			g_ptr_array_index(dispatch->service_list, i - 1);

		if (service->configured || service->active > 0)
			continue;
		wwh_dispatch_clear_timer(&dispatch->wakes, &service->wake);
		g_hash_table_remove(dispatch->services, service->id);
		g_ptr_array_remove_index(dispatch->service_list, i - 1);
		delete_service(service);
	}
	for (guint i = dispatch->minion_list->len; i > 0; i--) {
		wwh_minion_record_t *minion =
			g_ptr_array_index(dispatch->minion_list, i - 1);

		if (minion->service != NULL || minion->limiter.running > 0 ||
		    wwh_loan_lent(minion->loans) > 0 ||
		    wwh_loan_borrowed(minion->loans) > 0)
			continue;
		g_hash_table_remove(dispatch->minions, minion->id);
		g_ptr_array_remove_index(dispatch->minion_list, i - 1);
		delete_minion(minion);
	}
}

void wwh_dispatch_set_seats(const wwh_dispatch_t *dispatch,
			    wwh_minion_record_t *minion)
{
	if (!dispatch->has_share)
		return;
	minion->seat_slots = wwh_limiter_part(minion->id, minion->bearing.bears,
					      dispatch->share.seat_count,
					      dispatch->share.seats);
	minion->seat_connections = wwh_limiter_part(
		minion->id, minion->connections, dispatch->share.seat_count,
		dispatch->share.seats);
	wwh_dispatch_apply_share(minion);
}

static void delete_service(wwh_service_state_t *service)
{
	wwh_admission_delete(service->admission);
	g_ptr_array_free(service->minions, TRUE);
	g_free(service->id);
	g_free(service);
}

static void delete_minion(wwh_minion_record_t *minion)
{
	wwh_loan_book_delete(minion->loans);
	g_free(minion->id);
	g_free(minion);
}

static void delete_team(wwh_team_state_t *team)
{
	g_free(team->id);
	g_free(team);
}
