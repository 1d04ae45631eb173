#include "waxwinghollow/relay_service.h"

#include <string.h>

/* Hellos between two turns of the loop; there are some 50 entry hosts. */
#define HELLOS_MAX 256

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400

struct wwh_relay_service {
	wwh_relay_service_options_t options;
	GMutex lock; /* protects all that follows */
	GCond changed;
	wwh_relay_executor_t *executor;
	GQueue hellos; /* of wwh_relay_hello_t */
	bool closed;
	wwh_counter_t *accepted;
	wwh_counter_t *expired;
	wwh_counter_t *refused;
	wwh_counter_t *duplicates;
	wwh_counter_t *old_epochs;
	wwh_relay_executor_counts_t counted; /* by the counters above */
};

typedef struct {
	wwh_relay_service_t *service;
	wwh_relay_order_t *order;
} sent_order_t;

static bool handle_orders(wwh_relay_service_t *service,
			  const wwh_http_request_t *request, GByteArray *out);
static bool handle_results(wwh_relay_service_t *service,
			   const wwh_http_request_t *request, GByteArray *out);
static bool handle_hello(wwh_relay_service_t *service,
			 const wwh_http_request_t *request);
static void wait_for_results(wwh_relay_service_t *service, int64_t epoch);
static void send_order(wwh_relay_service_t *service, wwh_relay_order_t *order);
static void on_sent(const wwh_http_answer_t *answer, void *data);
static void update_counters(wwh_relay_service_t *service);
static int64_t make_incarnation(void);

wwh_relay_service_options_t wwh_relay_service_options_defaults(void)
{
	/*
	 * A relayed order takes 28 ms with 15 ms here and at the holder; the
	 * scheduler repeats one after 60 ms at the earliest. With 5 ms
	 * bench_relay shows up to three times the holder's processor time.
	 */
	wwh_relay_service_options_t options = {
		.gather_ms = 15,
		.wait_ms = 1000,
		.executor = wwh_relay_executor_options_defaults(),
	};

	return options;
}

wwh_relay_service_t *
wwh_relay_service_new(const wwh_relay_service_options_t *options)
{
	wwh_relay_service_t *service = g_new0(wwh_relay_service_t, 1);
	wwh_counters_t *counters = options->counters;

	service->options = *options;
	service->options.executor.incarnation = make_incarnation();
	g_mutex_init(&service->lock);
	g_cond_init(&service->changed);
	g_queue_init(&service->hellos);
	service->executor = wwh_relay_executor_new(&service->options.executor);
	service->accepted = wwh_counters_get(counters, "relay.accepted");
	service->expired = wwh_counters_get(counters, "relay.expired");
	service->refused = wwh_counters_get(counters, "relay.refused");
	service->duplicates = wwh_counters_get(counters, "relay.duplicates");
	service->old_epochs = wwh_counters_get(counters, "relay.old_epochs");
	return service;
}

void wwh_relay_service_delete(wwh_relay_service_t *service)
{
	if (service == NULL)
		return;
	wwh_relay_executor_delete(service->executor);
	g_queue_clear_full(&service->hellos, g_free);
	g_cond_clear(&service->changed);
	g_mutex_clear(&service->lock);
	g_free(service);
}

int64_t wwh_relay_service_incarnation(const wwh_relay_service_t *service)
{
	return service->options.executor.incarnation;
}

bool wwh_relay_service_handle(wwh_relay_service_t *service,
			      const wwh_http_request_t *request,
			      wwh_http_response_t *response)
{
	bool ok;

	if (strcmp(request->target, WWH_RELAY_ORDERS_PATH) == 0)
		ok = handle_orders(service, request, response->body);
	else if (strcmp(request->target, WWH_RELAY_RESULTS_PATH) == 0)
		ok = handle_results(service, request, response->body);
	else if (strcmp(request->target, WWH_RELAY_HELLO_PATH) == 0)
		ok = handle_hello(service, request);
	else
		return false;
	response->status = ok ? STATUS_OK : STATUS_BAD_REQUEST;
	wwh_headers_add(response->headers, "Content-Type",
			WWH_RELAY_CONTENT_TYPE);
	return true;
}

void wwh_relay_service_run(wwh_relay_service_t *service)
{
	GQueue orders = G_QUEUE_INIT;
	wwh_relay_order_t *order;
	bool had_results;

	g_mutex_lock(&service->lock);
	had_results =
		wwh_relay_executor_results_since_ms(service->executor) != 0;
	while ((order = wwh_relay_executor_next(service->executor,
						service->options.clock_ms())) !=
	       NULL)
		g_queue_push_tail(&orders, order);
	update_counters(service);
	if (!had_results &&
	    wwh_relay_executor_results_since_ms(service->executor) != 0)
		g_cond_broadcast(&service->changed);
	g_mutex_unlock(&service->lock);
	while ((order = g_queue_pop_head(&orders)) != NULL)
		send_order(service, order);
}

bool wwh_relay_service_take_hello(wwh_relay_service_t *service,
				  wwh_relay_hello_t *hello)
{
	wwh_relay_hello_t *next;

	g_mutex_lock(&service->lock);
	next = g_queue_pop_head(&service->hellos);
	g_mutex_unlock(&service->lock);
	if (next == NULL)
		return false;
	*hello = *next;
	g_free(next);
	return true;
}

void wwh_relay_service_raise_epoch(wwh_relay_service_t *service, int64_t epoch)
{
	g_mutex_lock(&service->lock);
	wwh_relay_executor_raise_epoch(service->executor, epoch);
	g_mutex_unlock(&service->lock);
}

void wwh_relay_service_stop(wwh_relay_service_t *service)
{
	g_mutex_lock(&service->lock);
	wwh_relay_executor_stop(service->executor);
	g_mutex_unlock(&service->lock);
}

bool wwh_relay_service_is_idle(wwh_relay_service_t *service)
{
	bool idle;

	g_mutex_lock(&service->lock);
	idle = wwh_relay_executor_is_idle(service->executor);
	g_mutex_unlock(&service->lock);
	return idle;
}

void wwh_relay_service_close(wwh_relay_service_t *service)
{
	g_mutex_lock(&service->lock);
	wwh_relay_executor_stop(service->executor);
	service->closed = true;
	g_cond_broadcast(&service->changed);
	g_mutex_unlock(&service->lock);
}

static bool handle_orders(wwh_relay_service_t *service,
			  const wwh_http_request_t *request, GByteArray *out)
{
	wwh_relay_batch_t *batch =
		wwh_relay_batch_decode(request->body, request->body_size);
	wwh_relay_verdict_t verdict;
	int64_t epoch;
	int64_t now_ms;

	if (batch == NULL)
		return false;
	epoch = batch->header.epoch;
	g_mutex_lock(&service->lock);
	now_ms = service->options.clock_ms();
	verdict = wwh_relay_executor_accept(service->executor, batch, now_ms);
	wwh_relay_executor_write_results(service->executor, verdict, epoch,
					 now_ms, out);
	g_mutex_unlock(&service->lock);
	wwh_http_calls_wake(service->options.calls);
	return true;
}

static bool handle_results(wwh_relay_service_t *service,
			   const wwh_http_request_t *request, GByteArray *out)
{
	int64_t epoch;

	if (!wwh_relay_request_decode(request->body, request->body_size,
				      &epoch))
		return false;
	g_mutex_lock(&service->lock);
	wait_for_results(service, epoch);
	wwh_relay_executor_write_results(
		service->executor,
		wwh_relay_executor_check(service->executor, epoch), epoch,
		service->options.clock_ms(), out);
	g_mutex_unlock(&service->lock);
	return true;
}

static bool handle_hello(wwh_relay_service_t *service,
			 const wwh_http_request_t *request)
{
	wwh_relay_hello_t hello;

	if (!wwh_relay_hello_decode(request->body, request->body_size, &hello))
		return false;
	g_mutex_lock(&service->lock);
	if (service->hellos.length < HELLOS_MAX)
		g_queue_push_tail(&service->hellos,
				  g_memdup2(&hello, sizeof(hello)));
	g_mutex_unlock(&service->lock);
	return true;
}

/* Call with the lock held. */
static void wait_for_results(wwh_relay_service_t *service, int64_t epoch)
{
	int64_t end_us = g_get_monotonic_time() +
			 service->options.wait_ms * G_TIME_SPAN_MILLISECOND;

	while (!service->closed && g_get_monotonic_time() < end_us &&
	       wwh_relay_executor_check(service->executor, epoch) !=
		       WWH_RELAY_OLD_EPOCH) {
		int64_t since_ms =
			wwh_relay_executor_results_since_ms(service->executor);
		int64_t left_ms = since_ms + service->options.gather_ms -
				  service->options.clock_ms();
		int64_t until_us = end_us;

		if (since_ms != 0 && left_ms <= 0)
			return;
		if (since_ms != 0)
			until_us =
				MIN(end_us,
				    g_get_monotonic_time() +
					    left_ms * G_TIME_SPAN_MILLISECOND);
		(void)g_cond_wait_until(&service->changed, &service->lock,
					until_us);
	}
}

static void send_order(wwh_relay_service_t *service, wwh_relay_order_t *order)
{
	sent_order_t *sent = g_new0(sent_order_t, 1);

	sent->service = service;
	sent->order = order;
	wwh_http_calls_send(service->options.calls,
			    g_steal_pointer(&order->call), on_sent, sent);
}

static void on_sent(const wwh_http_answer_t *answer, void *data)
{
	sent_order_t *sent = data;
	wwh_relay_service_t *service = sent->service;
	bool had_results;

	g_mutex_lock(&service->lock);
	had_results =
		wwh_relay_executor_results_since_ms(service->executor) != 0;
	wwh_relay_executor_end(service->executor, sent->order, answer,
			       service->options.clock_ms());
	/* a request that has found a result waits for more on its own */
	if (!had_results)
		g_cond_broadcast(&service->changed);
	g_mutex_unlock(&service->lock);
	g_free(sent);
}

/* Call with the lock held. */
static void update_counters(wwh_relay_service_t *service)
{
	wwh_relay_executor_counts_t counts =
		wwh_relay_executor_counts(service->executor);

	wwh_counter_add(service->accepted,
			counts.accepted - service->counted.accepted);
	wwh_counter_add(service->expired,
			counts.expired - service->counted.expired);
	wwh_counter_add(service->refused,
			counts.refused - service->counted.refused);
	wwh_counter_add(service->duplicates,
			counts.duplicates - service->counted.duplicates);
	wwh_counter_add(service->old_epochs,
			counts.old_epochs - service->counted.old_epochs);
	service->counted = counts;
}

static int64_t make_incarnation(void)
{
	return ((int64_t)(g_random_int() & INT32_MAX) << 32 | g_random_int()) |
	       1;
}
