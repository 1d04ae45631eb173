#include "private/relay_transport_state.h"
#include "waxwinghollow/relay_service.h"

/* Time limit of a request for results above the time it may be held. */
#define RESULTS_MARGIN_MS 1000

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_UNAVAILABLE 503

/* Answers of 503 come from a listener that has too many requests. */
#define BUSY_BLOCK_MS 1000

typedef struct {
	peer_t *peer;
	int64_t batch; /* its number; 0: a request for results */
} exchange_t;

static void peer_delete(gpointer data);
static peer_t *choose_peer(wwh_relay_transport_t *transport,
			   const char *endpoint);
static void run_peer(peer_t *peer, bool may_send, int64_t now_ms);
static void send_batch(peer_t *peer, int64_t now_ms);
static void request_results(peer_t *peer);
static void begin_exchange(peer_t *peer, const char *path, GByteArray *body,
			   int64_t timeout_ms, int64_t batch);
static void on_exchanged(const wwh_http_answer_t *answer, void *data);
static void handle_failure(peer_t *peer, const wwh_http_answer_t *answer,
			   int64_t batch);
static void handle_message(peer_t *peer, const wwh_http_answer_t *answer,
			   int64_t batch);
static void on_result(const wwh_relay_result_t *result, void *data);
static void handle_verdict(peer_t *peer,
			   const wwh_relay_results_header_t *header,
			   int64_t batch);
static void lose_peer(peer_t *peer, const char *why, int64_t block_ms);
static void send_returned(peer_t *peer);
static bool is_unused(const peer_t *peer);
static void transport_unref(wwh_relay_transport_t *transport);

wwh_relay_transport_options_t wwh_relay_transport_options_defaults(void)
{
	/*
	 * For gather_ms see relay_service.c. A relay answers a batch at once;
	 * without an answer for half a second its orders would be late.
	 */
	wwh_relay_transport_options_t options = {
		.gather_ms = 15,
		.batch_timeout_ms = 500,
		.results_wait_ms = 1000,
		.block_ms = 5000,
		.assign = wwh_relay_assign_options_defaults(),
		.load = wwh_relay_switch_options_defaults(),
		.queue = wwh_relay_queue_options_defaults(),
	};

	return options;
}

wwh_relay_transport_t *
wwh_relay_transport_new(const wwh_relay_transport_options_t *options)
{
	wwh_relay_transport_t *transport = g_new0(wwh_relay_transport_t, 1);
	wwh_counters_t *counters = options->counters;

	transport->options = *options;
	transport->self = g_strdup(options->self);
	transport->references = 1;
	transport->assign = wwh_relay_assign_new(&options->assign);
	transport->load = wwh_relay_switch_new(&options->load);
	transport->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 peer_delete);
	transport->orders = wwh_counters_get(counters, "holder.relayed");
	transport->direct = wwh_counters_get(counters, "holder.relay_unusable");
	transport->batches = wwh_counters_get(counters, "holder.relay_batches");
	transport->unanswered =
		wwh_counters_get(counters, "holder.relay_unanswered");
	transport->lost = wwh_counters_get(counters, "holder.relays_lost");
	transport->held_ms =
		wwh_counters_histogram(counters, "holder.relay_held_ms");
	return transport;
}

void wwh_relay_transport_delete(wwh_relay_transport_t *transport)
{
	GHashTableIter iterator;
	gpointer value;

	if (transport == NULL)
		return;
	transport->deleted = true;
	g_hash_table_iter_init(&iterator, transport->peers);
	while (g_hash_table_iter_next(&iterator, NULL, &value))
		g_clear_pointer(&((peer_t *)value)->queue,
				wwh_relay_queue_delete);
	transport_unref(transport);
}

void wwh_relay_transport_hello(wwh_relay_transport_t *transport,
			       const wwh_relay_hello_t *hello)
{
	int64_t now_ms = transport->options.clock_ms();
	peer_t *peer = g_hash_table_lookup(transport->peers, hello->address);

	if (g_strcmp0(hello->address, transport->self) == 0 ||
	    !wwh_relay_assign_report(transport->assign, hello->address,
				     hello->cpu_permille, now_ms))
		return;
	if (peer == NULL) {
		peer = g_new0(peer_t, 1);
		peer->transport = transport;
		peer->address = g_strdup(hello->address);
		peer->queue = wwh_relay_queue_new(&transport->options.queue);
		g_hash_table_insert(transport->peers, peer->address, peer);
	}
	wwh_relay_queue_set_clock(peer->queue, hello->incarnation,
				  hello->clock_ms, now_ms);
}

void wwh_relay_transport_send(wwh_relay_transport_t *transport,
			      wwh_http_call_t *call, wwh_http_done_t done,
			      void *client_data)
{
	peer_t *peer = NULL;

	if (!transport->deleted && wwh_relay_switch_is_on(transport->load)) {
		peer = choose_peer(transport, call->endpoint);
		if (peer == NULL)
			wwh_counter_add(transport->direct, 1);
	}
	if (peer != NULL &&
	    wwh_relay_queue_add(peer->queue, call, done, client_data,
				transport->options.clock_ms())) {
		transport->relayed++;
		wwh_counter_add(transport->orders, 1);
		return;
	}
	if (peer != NULL)
		wwh_counter_add(transport->direct, 1);
	wwh_http_calls_send(transport->options.calls, call, done, client_data);
}

void wwh_relay_transport_run(wwh_relay_transport_t *transport, bool may_send)
{
	int64_t now_ms = transport->options.clock_ms();
	GList *peers = g_hash_table_get_values(transport->peers);

	wwh_relay_assign_run(transport->assign, now_ms);
	transport->references++;
	for (GList *at = peers; at != NULL && !transport->deleted;
	     at = at->next) {
		peer_t *peer = at->data;

		run_peer(peer, may_send, now_ms);
		if (!transport->deleted && is_unused(peer))
			g_hash_table_remove(transport->peers, peer->address);
	}
	transport_unref(transport);
	g_list_free(peers);
}

static void peer_delete(gpointer data)
{
	peer_t *peer = data;

	wwh_relay_queue_delete(peer->queue);
	g_free(peer->address);
	g_free(peer);
}

static peer_t *choose_peer(wwh_relay_transport_t *transport,
			   const char *endpoint)
{
	const char *address =
		wwh_relay_assign_choose(transport->assign, endpoint);

	return address == NULL ? NULL
			       : g_hash_table_lookup(transport->peers, address);
}

static void run_peer(peer_t *peer, bool may_send, int64_t now_ms)
{
	int64_t since_ms = wwh_relay_queue_waiting_since_ms(peer->queue);

	wwh_counter_add(peer->transport->unanswered,
			wwh_relay_queue_run(peer->queue, now_ms));
	if (peer->transport->deleted)
		return;
	if (may_send && since_ms != 0 && !peer->batch_in_flight &&
	    now_ms - since_ms >= peer->transport->options.gather_ms)
		send_batch(peer, now_ms);
	if (may_send && !peer->transport->deleted)
		send_returned(peer);
	if (!peer->transport->deleted && !peer->request_in_flight &&
	    wwh_relay_queue_in_flight(peer->queue) > 0)
		request_results(peer);
}

static void send_batch(peer_t *peer, int64_t now_ms)
{
	const wwh_relay_transport_options_t *options =
		&peer->transport->options;
	int64_t number = 0;
	GByteArray *body = wwh_relay_queue_take_batch(
		peer->queue, options->epoch, now_ms, &number);

	if (body == NULL) {
		/* the relay's clock isn't known */
		if (!peer->transport->deleted)
			wwh_relay_queue_return_waiting(peer->queue);
		return;
	}
	wwh_counter_add(peer->transport->batches, 1);
	peer->batch_in_flight = true;
	begin_exchange(peer, WWH_RELAY_ORDERS_PATH, body,
		       options->batch_timeout_ms, number);
}

static void request_results(peer_t *peer)
{
	GByteArray *body = g_byte_array_new();

	wwh_relay_request_encode(body, peer->transport->options.epoch);
	peer->request_in_flight = true;
	begin_exchange(peer, WWH_RELAY_RESULTS_PATH, body,
		       peer->transport->options.results_wait_ms +
			       RESULTS_MARGIN_MS,
		       0);
}

static void begin_exchange(peer_t *peer, const char *path, GByteArray *body,
			   int64_t timeout_ms, int64_t batch)
{
	exchange_t *exchange = g_new0(exchange_t, 1);
	wwh_http_call_t *call =
		wwh_http_call_new("POST", peer->address, timeout_ms);

	call->path = g_strdup(path);
	call->content_type = WWH_RELAY_CONTENT_TYPE;
	call->body = body;
	exchange->peer = peer;
	exchange->batch = batch;
	peer->exchanges++;
	peer->transport->references++;
	wwh_http_calls_send(peer->transport->options.calls, call, on_exchanged,
			    exchange);
}

static void on_exchanged(const wwh_http_answer_t *answer, void *data)
{
	exchange_t *exchange = data;
	peer_t *peer = exchange->peer;
	wwh_relay_transport_t *transport = peer->transport;
	int64_t batch = exchange->batch;

	g_free(exchange);
	peer->exchanges--;
	if (batch != 0)
		peer->batch_in_flight = false;
	else
		peer->request_in_flight = false;
	if (!transport->deleted) {
		if (answer->outcome == WWH_CALL_ANSWERED &&
		    answer->status == STATUS_OK)
			handle_message(peer, answer, batch);
		else
			handle_failure(peer, answer, batch);
	}
	/* the next request is sent at once, as results may be ready */
	if (!transport->deleted && batch == 0 && !peer->request_in_flight &&
	    wwh_relay_queue_in_flight(peer->queue) > 0 &&
	    answer->outcome == WWH_CALL_ANSWERED && answer->status == STATUS_OK)
		request_results(peer);
	transport_unref(transport);
}

/*
 * A process rejects a batch as a whole with 400, and its listener answers 503
 * before it reads the request's content.
 */
static void handle_failure(peer_t *peer, const wwh_http_answer_t *answer,
			   int64_t batch)
{
	bool answered = answer->outcome == WWH_CALL_ANSWERED;
	bool refused = answered ? answer->status == STATUS_BAD_REQUEST ||
					  answer->status == STATUS_UNAVAILABLE
				: answer->outcome != WWH_CALL_NO_ANSWER;

	if (refused && batch != 0)
		wwh_relay_queue_batch_refused(peer->queue, batch);
	if (peer->transport->deleted)
		return;
	if (answered && answer->status == STATUS_UNAVAILABLE) {
		wwh_relay_assign_block(peer->transport->assign, peer->address,
				       peer->transport->options.clock_ms() +
					       BUSY_BLOCK_MS);
		wwh_relay_queue_return_waiting(peer->queue);
		return;
	}
	lose_peer(peer,
		  answered ? "bad-answer"
			   : wwh_call_outcome_names[answer->outcome],
		  peer->transport->options.block_ms);
}

static void handle_message(peer_t *peer, const wwh_http_answer_t *answer,
			   int64_t batch)
{
	wwh_relay_results_header_t header;
	bool valid = wwh_relay_results_decode(answer->body, answer->body_size,
					      &header, on_result, peer);

	if (peer->transport->deleted)
		return;
	if (valid)
		handle_verdict(peer, &header, batch);
	else
		lose_peer(peer, "unreadable-answer",
			  peer->transport->options.block_ms);
}

static void on_result(const wwh_relay_result_t *result, void *data)
{
	peer_t *peer = data;

	if (peer->transport->deleted)
		return;
	wwh_histogram_add(peer->transport->held_ms, result->held_ms);
	(void)wwh_relay_queue_handle_result(peer->queue, result);
}

/* The orders of a refused batch end before the relay's new incarnation counts. */
static void handle_verdict(peer_t *peer,
			   const wwh_relay_results_header_t *header,
			   int64_t batch)
{
	wwh_relay_transport_t *transport = peer->transport;
	int64_t now_ms = transport->options.clock_ms();
	bool refused = header->verdict == WWH_RELAY_OTHER_INCARNATION ||
		       header->verdict == WWH_RELAY_STOPPING;

	if (header->verdict == WWH_RELAY_OLD_EPOCH) {
		lose_peer(peer, "old-epoch", transport->options.block_ms);
		if (!transport->fenced) {
			transport->fenced = true;
			transport->options.on_fenced(
				transport->options.client_data);
		}
		return;
	}
	if (refused && batch != 0)
		wwh_relay_queue_batch_refused(peer->queue, batch);
	if (transport->deleted)
		return;
	wwh_relay_queue_set_clock(peer->queue, header->incarnation,
				  header->clock_ms, now_ms);
	if (transport->deleted || header->verdict != WWH_RELAY_STOPPING)
		return;
	wwh_relay_assign_block(transport->assign, peer->address,
			       now_ms + transport->options.block_ms);
	wwh_relay_queue_return_waiting(peer->queue);
}

static void lose_peer(peer_t *peer, const char *why, int64_t block_ms)
{
	wwh_relay_transport_t *transport = peer->transport;
	int32_t in_flight = wwh_relay_queue_in_flight(peer->queue);

	wwh_relay_assign_block(transport->assign, peer->address,
			       transport->options.clock_ms() + block_ms);
	wwh_counter_add(transport->lost, 1);
	wwh_counter_add(transport->unanswered, in_flight);
	if (transport->options.log != NULL)
		wwh_event_log_printf(transport->options.log, "relay-lost",
				     peer->address, "why=%s in_flight=%d", why,
				     in_flight);
	wwh_relay_queue_lose(peer->queue);
	if (!transport->deleted)
		wwh_relay_queue_return_waiting(peer->queue);
}

static void send_returned(peer_t *peer)
{
	wwh_relay_queue_order_t order;

	while (!peer->transport->deleted &&
	       wwh_relay_queue_take_returned(
		       peer->queue, peer->transport->options.clock_ms(),
		       &order)) {
		wwh_counter_add(peer->transport->direct, 1);
		wwh_http_calls_send(peer->transport->options.calls, order.call,
				    order.done, order.client_data);
	}
}

static bool is_unused(const peer_t *peer)
{
	return peer->exchanges == 0 &&
	       wwh_relay_queue_waiting(peer->queue) == 0 &&
	       wwh_relay_queue_in_flight(peer->queue) == 0 &&
	       !wwh_relay_assign_knows(peer->transport->assign, peer->address);
}

static void transport_unref(wwh_relay_transport_t *transport)
{
	if (--transport->references > 0)
		return;
	g_hash_table_destroy(transport->peers);
	wwh_relay_assign_delete(transport->assign);
	wwh_relay_switch_delete(transport->load);
	g_free(transport->self);
	g_free(transport);
}
