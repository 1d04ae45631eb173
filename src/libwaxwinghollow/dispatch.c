#include "waxwinghollow/dispatch.h"

#include <assert.h>

#include "private/dispatch_state.h"

#define SHUTDOWN_RETRY_MS 1000

const char *const wwh_outcome_names[WWH_OUTCOME_COUNT] = {
	"answered", "error-answered", "refused",   "connect-failed",
	"silent",   "lost",	      "truncated", "aborted",
};

const char *const wwh_minion_state_names[WWH_MINION_STATE_COUNT] = {
	"live",
	"leaving",
	"gone",
};

const char *const wwh_decision_type_names[WWH_DECISION_COUNT] = {
	"start",
	"end",
};

static wwh_error_kind_t refusal(wwh_dispatch_t *dispatch, int64_t now_ms,
				const wwh_dispatch_request_t *request,
				wwh_service_state_t *service,
				const wwh_team_state_t *team);
static bool any_takes_work(const wwh_service_state_t *service);
static int32_t blocked_ms(const wwh_service_state_t *service, int64_t now_ms);
static bool over_quota(const wwh_dispatch_t *dispatch,
		       const wwh_team_state_t *team);
static wwh_request_record_t *make_record(const wwh_dispatch_request_t *request,
					 int64_t now_ms,
					 wwh_service_state_t *service,
					 wwh_team_state_t *team);
static void refuse(wwh_dispatch_t *dispatch, int64_t now_ms,
		   const wwh_dispatch_request_t *request,
		   wwh_service_state_t *service, wwh_error_kind_t kind);
static void let_in(wwh_dispatch_t *dispatch, int64_t now_ms,
		   wwh_request_record_t *record);
static void end_all_waiting(wwh_dispatch_t *dispatch, int64_t now_ms);
static int compare_requests(gconstpointer a, gconstpointer b);
static void request_due(wwh_dispatch_t *dispatch, int64_t now_ms,
			wwh_request_record_t *request);

void wwh_dispatch_options_defaults(wwh_dispatch_options_t *options)
{
	*options = (wwh_dispatch_options_t){ 0 };
	options->zone = "";
	options->waiting_max = 1024;
	options->waiting_bytes_max = 16 * 1024 * 1024;
	options->attempts_max = 3;
}

wwh_dispatch_t *wwh_dispatch_new(void)
{
	return g_new0(wwh_dispatch_t, 1);
}

wwh_status_t wwh_dispatch_init(wwh_dispatch_t *dispatch,
			       const wwh_dispatch_options_t *options)
{
	if (options->random == NULL || options->waiting_max < 1 ||
	    options->waiting_bytes_max < 1 || options->attempts_max < 1 ||
	    options->attempts_max > WWH_TRIED_MAX || dispatch->zone != NULL)
		return WWH_STATUS_BAD_ARGUMENT;
	dispatch->options = *options;
	dispatch->zone = g_strdup(options->zone);
	dispatch->options.zone = dispatch->zone;
	dispatch->requests = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, wwh_dispatch_free_request);
	dispatch->services = g_hash_table_new(g_str_hash, g_str_equal);
	dispatch->minions = g_hash_table_new(g_str_hash, g_str_equal);
	dispatch->teams = g_hash_table_new(g_str_hash, g_str_equal);
	dispatch->service_list = g_ptr_array_new();
	dispatch->minion_list = g_ptr_array_new();
	dispatch->team_list = g_ptr_array_new();
	dispatch->decisions = g_array_new(FALSE, TRUE, sizeof(wwh_decision_t));
	return WWH_STATUS_OK;
}

void wwh_dispatch_arrive(wwh_dispatch_t *dispatch, int64_t now_ms,
			 const wwh_dispatch_request_t *request)
{
	wwh_service_state_t *service =
		g_hash_table_lookup(dispatch->services, request->service);
	wwh_team_state_t *team = NULL;
	wwh_request_record_t *record;
	wwh_admission_verdict_t verdict;
	wwh_error_kind_t kind;

	assert(!g_hash_table_contains(dispatch->requests, &request->id));
	if (request->team != NULL)
		team = g_hash_table_lookup(dispatch->teams, request->team);
	kind = refusal(dispatch, now_ms, request, service, team);
	if (kind != WWH_ERROR_NONE) {
		refuse(dispatch, now_ms, request, service, kind);
		return;
	}
	service->arrived++;
	record = make_record(request, now_ms, service, team);
	verdict = wwh_admission_offer(
		service->admission, now_ms, &record->waiting,
		wwh_dispatch_can_start(dispatch, now_ms, service));
	if (verdict == WWH_ADMISSION_ADMITTED) {
		let_in(dispatch, now_ms, record);
		return;
	}
	wwh_dispatch_free_request(record);
	refuse(dispatch, now_ms, request, service,
	       verdict == WWH_ADMISSION_QUEUE_FULL ? WWH_ERROR_QUEUE_FULL
						   : WWH_ERROR_WAIT_TOO_LONG);
}

void wwh_dispatch_cancel(wwh_dispatch_t *dispatch, int64_t now_ms, uint64_t id)
{
	wwh_request_record_t *request =
		g_hash_table_lookup(dispatch->requests, &id);
	wwh_error_kind_t kind = WWH_ERROR_CALLER_GONE_UNKNOWN;

	if (request == NULL || request->state == WWH_REQUEST_ENDED_RUNNING)
		return;
	request->service->cancelled++;
	if (request->state != WWH_REQUEST_RUNNING)
		kind = wwh_retry_reported_kind(WWH_ERROR_CALLER_GONE_NOT_RUN,
					       request->may_have_run);
	wwh_dispatch_end(dispatch, now_ms, request, kind, 0);
}

void wwh_dispatch_finish_attempt(wwh_dispatch_t *dispatch, int64_t now_ms,
				 const wwh_dispatch_result_t *result)
{
	wwh_request_record_t *request =
		g_hash_table_lookup(dispatch->requests, &result->request);
	wwh_service_state_t *service;

	assert(request != NULL && request->minion != NULL);
	assert(g_str_equal(request->minion->id, result->minion));
	service = request->service;
	wwh_dispatch_attempt_ended(dispatch, now_ms, request, result);
	wwh_dispatch_start_waiting(dispatch, now_ms, service);
}

void wwh_dispatch_tick(wwh_dispatch_t *dispatch, int64_t now_ms)
{
	wwh_heap_node_t *node = wwh_heap_first(&dispatch->timers);

	while (node != NULL && node->key <= (double)now_ms) {
		wwh_heap_remove(&dispatch->timers, node);
		request_due(dispatch, now_ms, node->owner);
		node = wwh_heap_first(&dispatch->timers);
	}
	node = wwh_heap_first(&dispatch->wakes);
	while (node != NULL && node->key <= (double)now_ms) {
		wwh_heap_remove(&dispatch->wakes, node);
		wwh_dispatch_start_waiting(dispatch, now_ms, node->owner);
		node = wwh_heap_first(&dispatch->wakes);
	}
}

int64_t wwh_dispatch_next_deadline_ms(const wwh_dispatch_t *dispatch)
{
	const wwh_heap_node_t *timer = wwh_heap_first(&dispatch->timers);
	const wwh_heap_node_t *wake = wwh_heap_first(&dispatch->wakes);
	int64_t next_ms = INT64_MAX;

	if (timer != NULL)
		next_ms = (int64_t)timer->key;
	if (wake != NULL)
		next_ms = MIN(next_ms, (int64_t)wake->key);
	return next_ms;
}

bool wwh_dispatch_next_decision(wwh_dispatch_t *dispatch,
				wwh_decision_t *decision)
{
	if (dispatch->taken == dispatch->decisions->len) {
		g_array_set_size(dispatch->decisions, 0);
		dispatch->taken = 0;
		return false;
	}
	*decision = g_array_index(dispatch->decisions, wwh_decision_t,
				  dispatch->taken);
	dispatch->taken++;
	return true;
}

void wwh_dispatch_close(wwh_dispatch_t *dispatch, int64_t now_ms)
{
	dispatch->closed = true;
	end_all_waiting(dispatch, now_ms);
}

int32_t wwh_dispatch_waiting(const wwh_dispatch_t *dispatch)
{
	return dispatch->waiting;
}

int32_t wwh_dispatch_running(const wwh_dispatch_t *dispatch)
{
	return dispatch->running;
}

/* Why it can't be let in whatever its turn would be. */
static wwh_error_kind_t refusal(wwh_dispatch_t *dispatch, int64_t now_ms,
				const wwh_dispatch_request_t *request,
				wwh_service_state_t *service,
				const wwh_team_state_t *team)
{
	int64_t deadline_ms;

	if (dispatch->closed)
		return WWH_ERROR_SHUTTING_DOWN;
	if (!dispatch->set_up)
		return WWH_ERROR_NO_CONFIGURATION;
	if (service == NULL || !service->configured)
		return WWH_ERROR_NO_SUCH_SERVICE;
	if (!dispatch->has_share || now_ms >= dispatch->share.lease_until_ms ||
	    !any_takes_work(service))
		return WWH_ERROR_NO_MINION;
	if (over_quota(dispatch, team))
		return WWH_ERROR_QUOTA_EXCEEDED;
	deadline_ms = request->deadline_ms;
	if (deadline_ms == 0)
		deadline_ms = now_ms + service->deadline_ms;
	if (blocked_ms(service, now_ms) > deadline_ms - now_ms)
		return WWH_ERROR_WAIT_TOO_LONG;
	if (dispatch->waiting_bytes + request->bytes >
	    dispatch->options.waiting_bytes_max)
		return WWH_ERROR_TOO_MANY_REQUESTS;
	return WWH_ERROR_NONE;
}

static bool any_takes_work(const wwh_service_state_t *service)
{
	for (guint i = 0; i < service->minions->len; i++) {
		const wwh_minion_record_t *minion =
			g_ptr_array_index(service->minions, i);

		if (wwh_minion_takes_work(minion) && minion->limiter.share > 0)
			return true;
	}
	return false;
}

/* Until the first minion is over the time that it asked to be left alone. */
static int32_t blocked_ms(const wwh_service_state_t *service, int64_t now_ms)
{
	int64_t first_ms = INT64_MAX;

	for (guint i = 0; i < service->minions->len; i++) {
		const wwh_minion_record_t *minion =
			g_ptr_array_index(service->minions, i);

		if (wwh_minion_takes_work(minion) && minion->limiter.share > 0)
			first_ms = MIN(first_ms, minion->blocked_until_ms);
	}
	if (first_ms == INT64_MAX || first_ms <= now_ms)
		return 0;
	return (int32_t)MIN(first_ms - now_ms, INT32_MAX);
}

/* This process's part of the team's quota goes with its part of the seats. */
static bool over_quota(const wwh_dispatch_t *dispatch,
		       const wwh_team_state_t *team)
{
	int32_t held = __builtin_popcountll(dispatch->share.seats);
	int64_t part;

	if (team == NULL || !team->configured || team->limit == 0)
		return false;
	part = (int64_t)team->limit * held / dispatch->share.seat_count;
	return team->active >= MAX(part, 1);
}

static wwh_request_record_t *make_record(const wwh_dispatch_request_t *request,
					 int64_t now_ms,
					 wwh_service_state_t *service,
					 wwh_team_state_t *team)
{
	wwh_request_record_t *record = g_new0(wwh_request_record_t, 1);

	record->id = request->id;
	record->service = service;
	record->team = team;
	record->idempotent = request->idempotent;
	record->waiting.team = team == NULL ? 0 : g_str_hash(team->id);
	record->waiting.caller = request->caller;
	record->waiting.urgent = request->urgent || service->urgent;
	record->waiting.bytes = request->bytes;
	record->waiting.deadline_ms = request->deadline_ms;
	if (request->deadline_ms == 0)
		record->waiting.deadline_ms = now_ms + service->deadline_ms;
	record->waiting.owner = record;
	record->timer.owner = record;
	return record;
}

static void refuse(wwh_dispatch_t *dispatch, int64_t now_ms,
		   const wwh_dispatch_request_t *request,
		   wwh_service_state_t *service, wwh_error_kind_t kind)
{
	int32_t retry_after_ms = 1000 * wwh_answer_for(kind)->retry_after_s;

	if (service != NULL) {
		service->ended[kind]++;
		retry_after_ms = wwh_dispatch_retry_after(
			dispatch, now_ms, service,
			request->urgent || service->urgent, kind);
		if (kind == WWH_ERROR_WAIT_TOO_LONG)
			retry_after_ms = MAX(retry_after_ms,
					     blocked_ms(service, now_ms));
	}
	wwh_dispatch_emit_end(dispatch, request->id, kind, retry_after_ms);
}

static void let_in(wwh_dispatch_t *dispatch, int64_t now_ms,
		   wwh_request_record_t *record)
{
	wwh_service_state_t *service = record->service;

	g_hash_table_insert(dispatch->requests, &record->id, record);
	service->active++;
	if (record->team != NULL)
		record->team->active++;
	dispatch->waiting++;
	dispatch->waiting_bytes += record->waiting.bytes;
	record->state = WWH_REQUEST_WAITING;
	wwh_dispatch_set_timer(dispatch, &dispatch->timers, &record->timer,
			       record->waiting.latest_start_ms);
	wwh_dispatch_start_waiting(dispatch, now_ms, service);
}

/* In the order of their ids, not in that of the table. */
static void end_all_waiting(wwh_dispatch_t *dispatch, int64_t now_ms)
{
	GPtrArray *requests = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(requests, value);
	g_ptr_array_sort(requests, compare_requests);
	for (guint i = 0; i < requests->len; i++) {
		wwh_request_record_t *request = g_ptr_array_index(requests, i);

		if (request->minion != NULL)
			continue;
		wwh_dispatch_end(
			dispatch, now_ms, request,
			wwh_retry_reported_kind(WWH_ERROR_SHUTTING_DOWN,
						request->may_have_run),
			SHUTDOWN_RETRY_MS);
	}
	g_ptr_array_free(requests, TRUE);
}

static int compare_requests(gconstpointer a, gconstpointer b)
{
	uint64_t x = (*(wwh_request_record_t *const *)a)->id;
	uint64_t y = (*(wwh_request_record_t *const *)b)->id;

	return (x > y) - (x < y);
}

static void request_due(wwh_dispatch_t *dispatch, int64_t now_ms,
			wwh_request_record_t *request)
{
	wwh_service_state_t *service = request->service;
	wwh_error_kind_t kind;

	if (request->state == WWH_REQUEST_BACKING_OFF && !dispatch->closed &&
	    service->configured) {
		wwh_dispatch_enqueue(dispatch, now_ms, request);
		wwh_dispatch_start_waiting(dispatch, now_ms, service);
		return;
	}
	kind = WWH_ERROR_DEADLINE_NOT_RUN;
	if (dispatch->closed)
		kind = WWH_ERROR_SHUTTING_DOWN;
	else if (!service->configured)
		kind = WWH_ERROR_NO_SUCH_SERVICE;
	else if (now_ms < request->waiting.deadline_ms)
		kind = WWH_ERROR_WAIT_TOO_LONG;
	kind = wwh_retry_reported_kind(kind, request->may_have_run);
	wwh_dispatch_end(dispatch, now_ms, request, kind,
			 wwh_dispatch_retry_after(dispatch, now_ms, service,
						  request->waiting.urgent,
						  kind));
}
