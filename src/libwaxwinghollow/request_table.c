#include "private/request_table.h"

#include <poll.h>

#include "private/entry_internal.h"

/* How often a waiting thread looks at its caller's connection. */
#define CALLER_CHECK_MS 50
#define MILLISECOND_US 1000

/* The longest sleep of the tick thread, so that it sees its end. */
#define TICK_LIMIT_MS 100

struct wwh_request {
	wwh_request_table_t *table;
	uint64_t id;
	GCond changed;
	bool waits; /* a thread waits for changed */
	GQueue decisions; /* of wwh_decision_t *, oldest first */
	bool ended; /* END was taken or the request was cancelled */
	bool intent_settled;
	bool intent_failed;
	wwh_intent_verdict_t intent_verdict;
};

struct wwh_request_table {
	GMutex lock;
	GCond tick_due;
	wwh_dispatch_t *dispatch;
	GRand *random;
	GHashTable *requests; /* uint64_t * to wwh_request_t * */
	GHashTable *running; /* minion id to the requests that are with it */
	uint64_t last_id;
	bool stopping;
	GThread *ticker;
};

static gpointer tick_main(gpointer data);
static void hand_out(wwh_request_table_t *table);
static void count_running(wwh_request_table_t *table, const char *minion,
			  int32_t change);
static void wake(wwh_request_t *request);
static void wait_until(wwh_request_t *request, int64_t until_ms);
static void cancel(wwh_request_t *request);

wwh_request_table_t *wwh_request_table_new(const char *zone)
{
	wwh_request_table_t *table = g_new0(wwh_request_table_t, 1);
	wwh_dispatch_options_t options;
	wwh_status_t status;

	g_mutex_init(&table->lock);
	g_cond_init(&table->tick_due);
	table->random = g_rand_new();
	table->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	table->dispatch = wwh_dispatch_new();
	wwh_dispatch_options_defaults(&options);
	options.zone = zone;
	options.random = table->random;
	status = wwh_dispatch_init(table->dispatch, &options);
	g_assert(status == WWH_STATUS_OK);
	table->ticker = g_thread_new("tick", tick_main, table);
	return table;
}

void wwh_request_table_delete(wwh_request_table_t *table)
{
	if (table == NULL)
		return;
	g_mutex_lock(&table->lock);
	table->stopping = true;
	g_cond_signal(&table->tick_due);
	g_mutex_unlock(&table->lock);
	g_thread_join(table->ticker);
	g_assert(g_hash_table_size(table->requests) == 0);
	wwh_dispatch_delete(table->dispatch);
	g_hash_table_destroy(table->requests);
	g_hash_table_destroy(table->running);
	g_rand_free(table->random);
	g_cond_clear(&table->tick_due);
	g_mutex_clear(&table->lock);
	g_free(table);
}

void wwh_request_table_configure(wwh_request_table_t *table,
				 const wwh_config_t *config)
{
	int32_t service_count = wwh_config_service_count(config);
	int32_t minion_count = wwh_config_minion_count(config);
	int32_t team_count = wwh_config_team_count(config);
	wwh_dispatch_service_t *services =
		g_new0(wwh_dispatch_service_t, service_count + 1);
	wwh_dispatch_minion_t *minions =
		g_new0(wwh_dispatch_minion_t, minion_count + 1);
	wwh_dispatch_team_t *teams =
		g_new0(wwh_dispatch_team_t, team_count + 1);
	GHashTable *indexes = g_hash_table_new(g_str_hash, g_str_equal);
	wwh_dispatch_setup_t setup = {
		.services = services,
		.service_count = service_count,
		.minions = minions,
		.minion_count = minion_count,
		.teams = teams,
		.team_count = team_count,
	};

	for (int32_t i = 0; i < service_count; i++) {
		const wwh_service_t *service = wwh_config_service_at(config, i);

		services[i].id = service->id;
		services[i].urgent = service->urgent;
		services[i].deadline_ms = service->deadline_ms;
		g_hash_table_insert(indexes, service->id, GINT_TO_POINTER(i));
	}
	for (int32_t i = 0; i < minion_count; i++) {
		const wwh_minion_t *minion = wwh_config_minion_at(config, i);

		minions[i].id = minion->id;
		minions[i].service = GPOINTER_TO_INT(
			g_hash_table_lookup(indexes, minion->service));
		minions[i].zone = minion->zone;
		minions[i].slots = minion->slots;
		minions[i].connections = minion->connections;
	}
	for (int32_t i = 0; i < team_count; i++) {
		const wwh_team_t *team = wwh_config_team_at(config, i);

		teams[i].id = team->id;
		teams[i].requests = team->requests;
	}
	g_mutex_lock(&table->lock);
	wwh_dispatch_configure(table->dispatch, wwh_now_ms(), &setup);
	hand_out(table);
	g_mutex_unlock(&table->lock);
	g_hash_table_destroy(indexes);
	g_free(services);
	g_free(minions);
	g_free(teams);
}

void wwh_request_table_set_share(wwh_request_table_t *table,
				 const wwh_dispatch_share_t *share)
{
	g_mutex_lock(&table->lock);
	wwh_dispatch_set_share(table->dispatch, wwh_now_ms(), share);
	hand_out(table);
	g_mutex_unlock(&table->lock);
}

bool wwh_request_table_share_settled(wwh_request_table_t *table)
{
	bool settled;

	g_mutex_lock(&table->lock);
	settled = wwh_dispatch_is_within_share(table->dispatch);
	g_mutex_unlock(&table->lock);
	return settled;
}

void wwh_request_table_set_minion_state(wwh_request_table_t *table,
					const char *minion,
					wwh_minion_state_t state)
{
	g_mutex_lock(&table->lock);
	wwh_dispatch_set_minion_state(table->dispatch, wwh_now_ms(), minion,
				      state);
	hand_out(table);
	g_mutex_unlock(&table->lock);
}

void wwh_request_table_report_loans(wwh_request_table_t *table, uint64_t peer,
				    wwh_dispatch_loan_visit_t visit,
				    void *client_data)
{
	g_mutex_lock(&table->lock);
	wwh_dispatch_loans_visit_updates(table->dispatch, wwh_now_ms(), peer,
					 visit, client_data);
	g_mutex_unlock(&table->lock);
}

void wwh_request_table_handle_loan(wwh_request_table_t *table, uint64_t peer,
				   const wwh_dispatch_loan_t *loan)
{
	g_mutex_lock(&table->lock);
	wwh_dispatch_loans_apply_update(table->dispatch, wwh_now_ms(), peer,
					loan);
	hand_out(table);
	g_mutex_unlock(&table->lock);
}

void wwh_request_table_forget_loans(wwh_request_table_t *table, uint64_t peer)
{
	g_mutex_lock(&table->lock);
	wwh_dispatch_loans_remove_peer(table->dispatch, wwh_now_ms(), peer);
	hand_out(table);
	g_mutex_unlock(&table->lock);
}

void wwh_request_table_close(wwh_request_table_t *table)
{
	g_mutex_lock(&table->lock);
	wwh_dispatch_close(table->dispatch, wwh_now_ms());
	hand_out(table);
	g_mutex_unlock(&table->lock);
}

int32_t wwh_request_table_waiting(wwh_request_table_t *table)
{
	int32_t count;

	g_mutex_lock(&table->lock);
	count = wwh_dispatch_waiting(table->dispatch);
	g_mutex_unlock(&table->lock);
	return count;
}

int32_t wwh_request_table_running(wwh_request_table_t *table)
{
	int32_t count;

	g_mutex_lock(&table->lock);
	count = wwh_dispatch_running(table->dispatch);
	g_mutex_unlock(&table->lock);
	return count;
}

int32_t wwh_request_table_minion_running(wwh_request_table_t *table,
					 const char *minion)
{
	int32_t count;

	g_mutex_lock(&table->lock);
	count = GPOINTER_TO_INT(g_hash_table_lookup(table->running, minion));
	g_mutex_unlock(&table->lock);
	return count;
}

void wwh_request_table_dump(wwh_request_table_t *table,
			    wwh_counter_visit_t visit, void *client_data)
{
	g_mutex_lock(&table->lock);
	wwh_dispatch_dump(table->dispatch, visit, client_data);
	g_mutex_unlock(&table->lock);
}

wwh_request_t *wwh_request_begin(wwh_request_table_t *table,
				 const wwh_dispatch_request_t *request)
{
	wwh_request_t *waiter = g_new0(wwh_request_t, 1);
	wwh_dispatch_request_t arrival = *request;

	waiter->table = table;
	g_cond_init(&waiter->changed);
	g_queue_init(&waiter->decisions);
	g_mutex_lock(&table->lock);
	waiter->id = ++table->last_id;
	arrival.id = waiter->id;
	g_hash_table_insert(table->requests, &waiter->id, waiter);
	wwh_dispatch_arrive(table->dispatch, wwh_now_ms(), &arrival);
	hand_out(table);
	g_mutex_unlock(&table->lock);
	return waiter;
}

uint64_t wwh_request_id(const wwh_request_t *request)
{
	return request->id;
}

bool wwh_request_wait_decision(wwh_request_t *request, int caller_fd,
			       wwh_decision_t *decision)
{
	wwh_request_table_t *table = request->table;
	wwh_decision_t *next;

	g_mutex_lock(&table->lock);
	while ((next = g_queue_pop_head(&request->decisions)) == NULL &&
	       !request->ended) {
		wait_until(request, wwh_now_ms() + CALLER_CHECK_MS);
		if (g_queue_is_empty(&request->decisions) &&
		    wwh_caller_gone(caller_fd))
			cancel(request);
	}
	if (next != NULL) {
		*decision = *next;
		request->ended = next->type == WWH_DECISION_END;
		g_free(next);
	}
	g_mutex_unlock(&table->lock);
	return next != NULL;
}

void wwh_request_finished(wwh_request_t *request,
			  const wwh_dispatch_result_t *result)
{
	wwh_request_table_t *table = request->table;

	g_mutex_lock(&table->lock);
	count_running(table, result->minion, -1);
	wwh_dispatch_finish_attempt(table->dispatch, wwh_now_ms(), result);
	hand_out(table);
	g_mutex_unlock(&table->lock);
}

bool wwh_request_refused(wwh_request_t *request)
{
	wwh_request_table_t *table = request->table;
	wwh_decision_t *first;
	bool refused;

	g_mutex_lock(&table->lock);
	first = g_queue_peek_head(&request->decisions);
	refused = first != NULL && first->type == WWH_DECISION_END;
	g_mutex_unlock(&table->lock);
	return refused;
}

bool wwh_request_end(wwh_request_t *request)
{
	wwh_request_table_t *table = request->table;
	bool accepted;

	g_mutex_lock(&table->lock);
	if (!request->ended)
		cancel(request);
	accepted = request->intent_settled &&
		   request->intent_verdict == WWH_INTENT_ACCEPTED;
	g_hash_table_remove(table->requests, &request->id);
	g_mutex_unlock(&table->lock);
	g_queue_clear_full(&request->decisions, g_free);
	g_cond_clear(&request->changed);
	g_free(request);
	return accepted;
}

bool wwh_request_table_intent_settled(wwh_request_table_t *table, uint64_t id,
				      wwh_intent_verdict_t verdict)
{
	wwh_request_t *request;

	g_mutex_lock(&table->lock);
	request = g_hash_table_lookup(table->requests, &id);
	/*
	 * A batch that the log holds twice is read back twice, the second time
	 * as repeated. Were that taken for the verdict, the result of a request
	 * that ran would not be recorded and its key stay in progress.
	 */
	if (request != NULL && !request->intent_settled) {
		request->intent_settled = true;
		request->intent_verdict = verdict;
		wake(request);
	}
	g_mutex_unlock(&table->lock);
	return request != NULL;
}

void wwh_request_table_intent_failed(wwh_request_table_t *table, uint64_t id)
{
	wwh_request_t *request;

	g_mutex_lock(&table->lock);
	request = g_hash_table_lookup(table->requests, &id);
	if (request != NULL) {
		request->intent_failed = true;
		wake(request);
	}
	g_mutex_unlock(&table->lock);
}

bool wwh_request_wait_intent(wwh_request_t *request, int caller_fd,
			     int64_t until_ms, wwh_intent_verdict_t *verdict)
{
	wwh_request_table_t *table = request->table;
	bool settled;

	g_mutex_lock(&table->lock);
	while (!request->intent_settled && !request->intent_failed &&
	       wwh_now_ms() < until_ms && !wwh_caller_gone(caller_fd))
		wait_until(request,
			   MIN(until_ms, wwh_now_ms() + CALLER_CHECK_MS));
	settled = request->intent_settled;
	*verdict = request->intent_verdict;
	g_mutex_unlock(&table->lock);
	return settled;
}

/*
 * A caller that closes only its sending side counts as gone too: the two
 * can't be told apart, and callers of HTTP have no reason for the former.
 */
bool wwh_caller_gone(int fd)
{
	struct pollfd entry = { .fd = fd, .events = POLLRDHUP };

	if (fd < 0 || poll(&entry, 1, 0) <= 0)
		return false;
	return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

static gpointer tick_main(gpointer data)
{
	wwh_request_table_t *table = data;

	g_mutex_lock(&table->lock);
	while (!table->stopping) {
		int64_t now_ms = wwh_now_ms();
		int64_t due_ms = wwh_dispatch_next_deadline_ms(table->dispatch);

		if (due_ms <= now_ms) {
			wwh_dispatch_tick(table->dispatch, now_ms);
			hand_out(table);
			due_ms = wwh_dispatch_next_deadline_ms(table->dispatch);
		}
		due_ms = MIN(due_ms, now_ms + TICK_LIMIT_MS);
		due_ms = MAX(due_ms, now_ms + 1);
		g_cond_wait_until(&table->tick_due, &table->lock,
				  due_ms * MILLISECOND_US);
	}
	g_mutex_unlock(&table->lock);
	return NULL;
}

static void hand_out(wwh_request_table_t *table)
{
	wwh_decision_t decision;

	while (wwh_dispatch_next_decision(table->dispatch, &decision)) {
		wwh_request_t *request =
			g_hash_table_lookup(table->requests, &decision.request);

		if (request == NULL)
			continue;
		if (decision.type == WWH_DECISION_START)
			count_running(table, decision.minion, 1);
		g_queue_push_tail(&request->decisions,
				  g_memdup2(&decision, sizeof(decision)));
		wake(request);
	}
}

static void count_running(wwh_request_table_t *table, const char *minion,
			  int32_t change)
{
	int32_t count =
		GPOINTER_TO_INT(g_hash_table_lookup(table->running, minion));

	g_assert(count + change >= 0);
	g_hash_table_insert(table->running, g_strdup(minion),
			    GINT_TO_POINTER(count + change));
}

/*
 * g_cond_signal is a system call even when nobody waits, and all requests
 * would wait for it: the lock is held. Mostly nobody does, because a decision
 * follows at once and the request's own thread is the one that hands it out.
 */
static void wake(wwh_request_t *request)
{
	if (request->waits)
		g_cond_signal(&request->changed);
}

static void wait_until(wwh_request_t *request, int64_t until_ms)
{
	request->waits = true;
	g_cond_wait_until(&request->changed, &request->table->lock,
			  until_ms * MILLISECOND_US);
	request->waits = false;
}

/*
 * A START that nobody has taken yet is reported as not sent; otherwise its
 * slot would stay taken for good.
 */
static void cancel(wwh_request_t *request)
{
	wwh_request_table_t *table = request->table;
	wwh_decision_t *decision;

	wwh_dispatch_cancel(table->dispatch, wwh_now_ms(), request->id);
	hand_out(table);
	request->ended = true;
	while ((decision = g_queue_pop_head(&request->decisions)) != NULL) {
		if (decision->type == WWH_DECISION_START) {
			wwh_dispatch_result_t result = {
				.request = request->id,
				.minion = decision->minion,
				.outcome = WWH_OUTCOME_ABORTED,
			};

			count_running(table, result.minion, -1);
			wwh_dispatch_finish_attempt(table->dispatch,
						    wwh_now_ms(), &result);
		}
		g_free(decision);
	}
	hand_out(table);
}
