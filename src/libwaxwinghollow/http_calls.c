#include "waxwinghollow/http_calls.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/event_struct.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "private/http_pool.h"

/*
 * Connect timeout, which detects an unreachable host long before the timeout of
 * the call does.
 */
#define CONNECT_TIMEOUT_MS 700

/*
 * TCP_USER_TIMEOUT: closes a connection whose sent bytes stay unacknowledged
 * for this time. Without it a call to a host that lost power holds its
 * connection for many minutes.
 */
#define UNACKNOWLEDGED_TIMEOUT_MS 3000

/*
 * libevent's own timeout is longer than any call, so that only the timeouts of
 * this module take effect.
 */
#define LIBEVENT_TIMEOUT_S 3600

#define SECOND_MS 1000
#define MILLISECOND_US 1000

struct wwh_http_calls {
	struct event_base *base;
	http_pool_t *pool;
	int wake_fd;
	struct event wake;
	struct event wait_timer;
	GHashTable *transfers; /* set of transfer_t, owned */
	GQueue ended; /* of transfer_t whose callback is still to run */
	wwh_counter_t *sent;
	wwh_counter_t *connections;
	wwh_counter_t *unanswered;
	wwh_counter_t *not_sent;
};

/*
 * In each pass of its loop libevent handles all pending events of the high
 * priority before those of the normal one.
 */
enum {
	HIGH_PRIORITY = 0,
	NORMAL_PRIORITY,
	PRIORITY_COUNT
};

typedef struct {
	wwh_http_calls_t *calls;
	wwh_http_call_t *call;
	wwh_http_done_t done;
	void *client_data;
	http_endpoint_t *endpoint;
	http_connection_t *connection; /* NULL: the transfer waits for one */
	struct evhttp_request *answered_request; /* NULL: no answer */
	struct event timer;
	int64_t deadline_us;
	int64_t send_deadline_us; /* the request must be sent before */
	bool sending; /* the request was written to an open connection */
	bool hung_up_on_connect; /* refused or reset before connect() returned */
	bool has_ended;
	wwh_call_outcome_t outcome;
} transfer_t;

const char *const wwh_call_outcome_names[WWH_CALL_OUTCOME_COUNT] = {
	"answered",
	"refused",
	"not-sent",
	"no-answer",
};

static void on_wake(evutil_socket_t fd, short what, void *data);
static void on_wait_timeout(evutil_socket_t fd, short what, void *data);
static void start_transfer(transfer_t *transfer);
static void send_on_connection(transfer_t *transfer,
			       http_connection_t *connection);
static struct evhttp_request *make_request(transfer_t *transfer);
static void add_headers(struct evkeyvalq *headers, const transfer_t *transfer);
static enum evhttp_cmd_type method_type(const wwh_http_call_t *call);
static void set_socket_options(const http_connection_t *connection);
static bool hung_up_on_connect(const http_connection_t *connection);
static bool was_refused(const transfer_t *transfer, int os_error);
static void on_output(struct evbuffer *buffer,
		      const struct evbuffer_cb_info *info, void *data);
static void on_answer(struct evhttp_request *request, void *data);
static void on_timer(evutil_socket_t fd, short what, void *data);
static void end_unsent(transfer_t *transfer);
static void arm_timer(transfer_t *transfer, int64_t after_ms);
static int64_t remaining_ms(const transfer_t *transfer);
static int64_t remaining_send_ms(const transfer_t *transfer);
static void end_transfer(transfer_t *transfer, wwh_call_outcome_t outcome);
static bool finish_ended_transfers(wwh_http_calls_t *calls);
static void finish_transfer(transfer_t *transfer);
static void release_connection(transfer_t *transfer);
static void start_waiting_transfers(http_endpoint_t *endpoint);
static void fill_answer(const transfer_t *transfer, wwh_http_answer_t *answer);
static void count_outcome(wwh_http_calls_t *calls, wwh_call_outcome_t outcome);
static void abort_all(wwh_http_calls_t *calls);
static void transfer_delete(gpointer data);

wwh_http_calls_t *wwh_http_calls_new(wwh_counters_t *counters)
{
	wwh_http_calls_t *calls = g_new0(wwh_http_calls_t, 1);
	struct event_config *config = event_config_new();

	/* one thread uses the base; others only write to wake_fd */
	event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
	calls->base = event_base_new_with_config(config);
	event_config_free(config);
	calls->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (calls->base == NULL || calls->wake_fd < 0)
		g_error("can't create the event loop: %s", g_strerror(errno));
	if (event_base_priority_init(calls->base, PRIORITY_COUNT) != 0)
		g_error("can't set the priorities of the event loop");
	event_assign(&calls->wake, calls->base, calls->wake_fd,
		     EV_READ | EV_PERSIST, on_wake, calls);
	event_add(&calls->wake, NULL);
	evtimer_assign(&calls->wait_timer, calls->base, on_wait_timeout, calls);
	calls->pool = http_pool_new(calls->base);
	calls->transfers =
		g_hash_table_new_full(NULL, NULL, transfer_delete, NULL);
	g_queue_init(&calls->ended);
	calls->sent = wwh_counters_get(counters, "calls.sent");
	calls->connections = wwh_counters_get(counters, "calls.connections");
	calls->unanswered = wwh_counters_get(counters, "calls.no_answer");
	calls->not_sent = wwh_counters_get(counters, "calls.not_sent");
	return calls;
}

void wwh_http_calls_delete(wwh_http_calls_t *calls)
{
	if (calls == NULL)
		return;
	abort_all(calls);
	g_hash_table_destroy(calls->transfers);
	http_pool_delete(calls->pool);
	event_del(&calls->wake);
	event_del(&calls->wait_timer);
	event_base_free(calls->base);
	close(calls->wake_fd);
	g_free(calls);
}

wwh_http_call_t *wwh_http_call_new(const char *method, const char *endpoint,
				   int64_t timeout_ms)
{
	wwh_http_call_t *call = g_new0(wwh_http_call_t, 1);

	call->method = method;
	call->endpoint = g_strdup(endpoint);
	call->timeout_ms = timeout_ms;
	return call;
}

void wwh_http_call_add_header(wwh_http_call_t *call, const char *name,
			      const char *value)
{
	int32_t i = 0;

	while (i < WWH_HTTP_CALL_HEADERS && call->header_names[i] != NULL)
		i++;
	g_assert(i < WWH_HTTP_CALL_HEADERS);
	call->header_names[i] = name;
	call->header_values[i] = g_strdup(value);
}

void wwh_http_call_delete(wwh_http_call_t *call)
{
	if (call == NULL)
		return;
	for (int32_t i = 0; i < WWH_HTTP_CALL_HEADERS; i++)
		g_free(call->header_values[i]);
	if (call->body != NULL)
		g_byte_array_unref(call->body);
	g_free(call->path);
	g_free(call->endpoint);
	g_free(call);
}

/*
 * The request is sent at once. If it waited for the next pass of the event
 * loop, an order would be delayed by all that the loop does before.
 */
void wwh_http_calls_send(wwh_http_calls_t *calls, wwh_http_call_t *call,
			 wwh_http_done_t done, void *client_data)
{
	transfer_t *transfer = g_new0(transfer_t, 1);

	transfer->calls = calls;
	transfer->call = call;
	transfer->done = done;
	transfer->client_data = client_data;
	transfer->deadline_us =
		g_get_monotonic_time() + call->timeout_ms * MILLISECOND_US;
	transfer->send_deadline_us = transfer->deadline_us;
	if (call->send_timeout_ms > 0)
		transfer->send_deadline_us =
			MIN(transfer->deadline_us,
			    g_get_monotonic_time() +
				    call->send_timeout_ms * MILLISECOND_US);
	evtimer_assign(&transfer->timer, calls->base, on_timer, transfer);
	g_hash_table_add(calls->transfers, transfer);
	wwh_counter_add(calls->sent, 1);
	transfer->endpoint =
		http_pool_get_endpoint(calls->pool, call->endpoint);
	if (transfer->endpoint == NULL) {
		g_warning("call to \"%s\" not sent: expected an IPv4 address "
			  "and port",
			  call->endpoint);
		end_transfer(transfer, WWH_CALL_NOT_SENT);
		return;
	}
	start_transfer(transfer);
}

void wwh_http_calls_poll(wwh_http_calls_t *calls, int32_t wait_ms)
{
	struct timeval wait = { .tv_sec = wait_ms / SECOND_MS,
				.tv_usec =
					wait_ms % SECOND_MS * MILLISECOND_US };

	if (finish_ended_transfers(calls) || wait_ms <= 0) {
		event_base_loop(calls->base, EVLOOP_NONBLOCK);
	} else {
		event_add(&calls->wait_timer, &wait);
		event_base_loop(calls->base, EVLOOP_ONCE);
	}
	(void)finish_ended_transfers(calls);
}

int32_t wwh_http_calls_in_progress(const wwh_http_calls_t *calls)
{
	return (int32_t)g_hash_table_size(calls->transfers);
}

void wwh_http_calls_wake(wwh_http_calls_t *calls)
{
	uint64_t one = 1;

	/* fails only if the counter is full: a wake-up is pending then */
	if (write(calls->wake_fd, &one, sizeof(one)) < 0)
		g_debug("a wake-up is already pending");
}

static void on_wake(evutil_socket_t fd, short what, void *data)
{
	uint64_t wakes;

	(void)what;
	(void)data;
	if (read(fd, &wakes, sizeof(wakes)) < 0)
		g_debug("woken without a pending wake-up");
}

/* The timer only makes the event loop return. */
static void on_wait_timeout(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	(void)data;
}

static void start_transfer(transfer_t *transfer)
{
	http_endpoint_t *endpoint = transfer->endpoint;
	http_connection_t *connection = http_pool_acquire(endpoint, transfer);

	if (connection != NULL) {
		send_on_connection(transfer, connection);
		return;
	}
	g_queue_push_tail(&endpoint->waiting, transfer);
	arm_timer(transfer, remaining_send_ms(transfer));
}

static void send_on_connection(transfer_t *transfer,
			       http_connection_t *connection)
{
	bool is_new = !connection->used;
	struct bufferevent *buffer =
		evhttp_connection_get_bufferevent(connection->evcon);
	struct evhttp_request *request = make_request(transfer);

	transfer->connection = connection;
	connection->used = true;
	if (is_new) {
		evbuffer_add_cb(bufferevent_get_output(buffer), on_output,
				connection);
		evhttp_connection_set_timeout(connection->evcon,
					      LIBEVENT_TIMEOUT_S);
		wwh_counter_add(transfer->calls->connections, 1);
	}
	/* on_answer reports a request that fails here, like any other */
	if (evhttp_make_request(connection->evcon, request,
				method_type(transfer->call),
				transfer->call->path) != 0 &&
	    !transfer->has_ended)
		end_transfer(transfer, WWH_CALL_NOT_SENT);
	if (transfer->has_ended)
		return;
	/* libevent sets the normal priority when it connects */
	(void)bufferevent_priority_set(buffer, transfer->call->has_priority
						       ? HIGH_PRIORITY
						       : NORMAL_PRIORITY);
	if (is_new) {
		set_socket_options(connection);
		transfer->hung_up_on_connect = hung_up_on_connect(connection);
		arm_timer(transfer,
			  MIN(CONNECT_TIMEOUT_MS, remaining_send_ms(transfer)));
	} else {
		arm_timer(transfer, remaining_ms(transfer));
	}
}

static struct evhttp_request *make_request(transfer_t *transfer)
{
	const wwh_http_call_t *call = transfer->call;
	struct evhttp_request *request =
		evhttp_request_new(on_answer, transfer);

	add_headers(evhttp_request_get_output_headers(request), transfer);
	if (call->body != NULL)
		evbuffer_add(evhttp_request_get_output_buffer(request),
			     call->body->data, call->body->len);
	return request;
}

static void add_headers(struct evkeyvalq *headers, const transfer_t *transfer)
{
	const wwh_http_call_t *call = transfer->call;

	evhttp_add_header(headers, "Host", call->endpoint);
	if (call->content_type != NULL)
		evhttp_add_header(headers, "Content-Type", call->content_type);
	for (int32_t i = 0; i < WWH_HTTP_CALL_HEADERS; i++) {
		if (call->header_names[i] != NULL)
			evhttp_add_header(headers, call->header_names[i],
					  call->header_values[i]);
	}
}

static enum evhttp_cmd_type method_type(const wwh_http_call_t *call)
{
	if (strcmp(call->method, "GET") == 0)
		return EVHTTP_REQ_GET;
	if (strcmp(call->method, "DELETE") == 0)
		return EVHTTP_REQ_DELETE;
	g_assert(strcmp(call->method, "POST") == 0);
	return EVHTTP_REQ_POST;
}

static void set_socket_options(const http_connection_t *connection)
{
	int socket = http_pool_get_socket(connection);
	unsigned int timeout_ms = UNACKNOWLEDGED_TIMEOUT_MS;
	int on = 1;

	if (socket < 0)
		return;
	if (setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		       sizeof(timeout_ms)) != 0)
		g_debug("can't set TCP_USER_TIMEOUT; only the timeouts of "
			"calls apply");
	if (setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) != 0)
		g_debug("can't set TCP_NODELAY; small requests may be delayed");
}

/*
 * A connection to an address of this host is refused before connect() returns.
 * libevent reports the refusal later, with another errno or none.
 */
static bool hung_up_on_connect(const http_connection_t *connection)
{
	struct pollfd socket = { .fd = http_pool_get_socket(connection),
				 .events = POLLOUT };

	return socket.fd >= 0 && poll(&socket, 1, 0) > 0 &&
	       (socket.revents & POLLHUP) != 0;
}

/*
 * libevent writes a request only after its connection has been established, so
 * output means that the request is being sent.
 */
static void on_output(struct evbuffer *buffer,
		      const struct evbuffer_cb_info *info, void *data)
{
	http_connection_t *connection = data;
	transfer_t *transfer = connection->user;

	(void)buffer;
	if (info->n_added > 0 && transfer != NULL)
		transfer->sending = true;
}

/*
 * request is NULL if the connection failed after the request was handed to it,
 * and has no status if the connection was refused. The request is not repeated
 * here: the receiver must not carry out an order twice, and the user of this
 * module decides about repeats.
 */
static void on_answer(struct evhttp_request *request, void *data)
{
	transfer_t *transfer = data;
	int os_error = errno;

	if (request != NULL && evhttp_request_get_response_code(request) != 0) {
		evhttp_request_own(request);
		transfer->answered_request = request;
		end_transfer(transfer, WWH_CALL_ANSWERED);
		return;
	}
	if (transfer->has_ended)
		return;
	/* an end of file sets no errno: the next one must not find this one */
	errno = 0;
	if (transfer->sending)
		end_transfer(transfer, WWH_CALL_NO_ANSWER);
	else if (was_refused(transfer, os_error))
		end_transfer(transfer, WWH_CALL_REFUSED);
	else
		end_transfer(transfer, WWH_CALL_NOT_SENT);
}

/*
 * A connection that is accepted and reset at once hangs up like one that is refused,
 * but something listens there.
 */
static bool was_refused(const transfer_t *transfer, int os_error)
{
	return os_error == ECONNREFUSED ||
	       (transfer->hung_up_on_connect && os_error != ECONNRESET &&
		os_error != EPIPE);
}

static void on_timer(evutil_socket_t fd, short what, void *data)
{
	transfer_t *transfer = data;

	(void)fd;
	(void)what;
	if (transfer->sending && remaining_ms(transfer) > 0)
		arm_timer(transfer, remaining_ms(transfer));
	else if (transfer->sending)
		end_transfer(transfer, WWH_CALL_NO_ANSWER);
	else
		end_unsent(transfer);
}

/*
 * The same pass of libevent's loop may still establish the connection and write
 * the request. Closing the socket first keeps "not sent" true.
 */
static void end_unsent(transfer_t *transfer)
{
	if (transfer->connection != NULL)
		http_pool_disconnect(transfer->connection);
	end_transfer(transfer, WWH_CALL_NOT_SENT);
}

static void arm_timer(transfer_t *transfer, int64_t after_ms)
{
	struct timeval after = { .tv_sec = after_ms / SECOND_MS,
				 .tv_usec = after_ms % SECOND_MS *
					    MILLISECOND_US };

	event_add(&transfer->timer, &after);
}

static int64_t ms_until(int64_t end_us)
{
	int64_t remaining_us = end_us - g_get_monotonic_time();

	return (MAX(remaining_us, 0) + MILLISECOND_US - 1) / MILLISECOND_US;
}

static int64_t remaining_ms(const transfer_t *transfer)
{
	return ms_until(transfer->deadline_us);
}

static int64_t remaining_send_ms(const transfer_t *transfer)
{
	return ms_until(transfer->send_deadline_us);
}

/*
 * Callbacks run from wwh_http_calls_poll, never from within libevent. In one
 * pass of its loop libevent may run a call's timer and then read its answer.
 * The answer then counts, as no outcome has been reported yet.
 */
static void end_transfer(transfer_t *transfer, wwh_call_outcome_t outcome)
{
	if (transfer->has_ended) {
		g_assert(outcome == WWH_CALL_ANSWERED);
		transfer->outcome = outcome;
		return;
	}
	transfer->has_ended = true;
	transfer->outcome = outcome;
	event_del(&transfer->timer);
	g_queue_push_tail(&transfer->calls->ended, transfer);
}

/* Returns false if no transfer had ended. */
static bool finish_ended_transfers(wwh_http_calls_t *calls)
{
	bool any = !g_queue_is_empty(&calls->ended);

	while (!g_queue_is_empty(&calls->ended))
		finish_transfer(g_queue_pop_head(&calls->ended));
	return any;
}

static void finish_transfer(transfer_t *transfer)
{
	wwh_http_calls_t *calls = transfer->calls;
	wwh_http_answer_t answer = { .retry_after_s = -1 };

	g_assert(!transfer->sending || transfer->outcome == WWH_CALL_ANSWERED ||
		 transfer->outcome == WWH_CALL_NO_ANSWER);
	g_hash_table_steal(calls->transfers, transfer);
	release_connection(transfer);
	fill_answer(transfer, &answer);
	count_outcome(calls, answer.outcome);
	transfer->done(&answer, transfer->client_data);
	transfer_delete(transfer);
}

/*
 * Closes a connection on which a call got no answer, as it may never deliver
 * data again.
 */
static void release_connection(transfer_t *transfer)
{
	http_endpoint_t *endpoint = transfer->endpoint;

	if (endpoint == NULL)
		return;
	if (transfer->connection == NULL)
		g_queue_remove(&endpoint->waiting, transfer);
	else if (transfer->outcome == WWH_CALL_ANSWERED)
		http_pool_release(transfer->connection);
	else
		http_pool_close(transfer->connection);
	start_waiting_transfers(endpoint);
	http_pool_remove_unused_endpoint(endpoint);
}

static void start_waiting_transfers(http_endpoint_t *endpoint)
{
	while (!g_queue_is_empty(&endpoint->waiting)) {
		transfer_t *next = g_queue_peek_head(&endpoint->waiting);
		http_connection_t *connection;

		/* release_connection removes it from the queue */
		if (next->has_ended)
			return;
		if (remaining_send_ms(next) == 0) {
			end_transfer(next, WWH_CALL_NOT_SENT);
			return;
		}
		connection = http_pool_acquire(endpoint, next);
		if (connection == NULL)
			return;
		g_queue_pop_head(&endpoint->waiting);
		send_on_connection(next, connection);
	}
}

static void fill_answer(const transfer_t *transfer, wwh_http_answer_t *answer)
{
	struct evbuffer *body;
	const char *retry_after;

	answer->outcome = transfer->outcome;
	if (transfer->answered_request == NULL)
		return;
	answer->status =
		evhttp_request_get_response_code(transfer->answered_request);
	body = evhttp_request_get_input_buffer(transfer->answered_request);
	answer->body_size = evbuffer_get_length(body);
	answer->body = evbuffer_pullup(body, -1);
	retry_after = evhttp_find_header(
		evhttp_request_get_input_headers(transfer->answered_request),
		"Retry-After");
	if (retry_after != NULL && g_ascii_isdigit(retry_after[0]))
		answer->retry_after_s = g_ascii_strtoll(retry_after, NULL, 10);
}

static void count_outcome(wwh_http_calls_t *calls, wwh_call_outcome_t outcome)
{
	if (outcome == WWH_CALL_NO_ANSWER)
		wwh_counter_add(calls->unanswered, 1);
	else if (outcome != WWH_CALL_ANSWERED)
		wwh_counter_add(calls->not_sent, 1);
}

/*
 * Runs the callbacks of all transfers, as their client data may have to be
 * released.
 */
static void abort_all(wwh_http_calls_t *calls)
{
	const wwh_http_answer_t answer = { .outcome = WWH_CALL_NO_ANSWER,
					   .retry_after_s = -1 };
	GList *all = g_hash_table_get_keys(calls->transfers);

	g_queue_clear(&calls->ended);
	for (GList *at = all; at != NULL; at = at->next) {
		transfer_t *transfer = at->data;

		g_hash_table_steal(calls->transfers, transfer);
		event_del(&transfer->timer);
		if (transfer->connection != NULL)
			http_pool_close(transfer->connection);
		transfer->done(&answer, transfer->client_data);
		transfer_delete(transfer);
	}
	g_list_free(all);
}

static void transfer_delete(gpointer data)
{
	transfer_t *transfer = data;

	if (transfer->answered_request != NULL)
		evhttp_request_free(transfer->answered_request);
	wwh_http_call_delete(transfer->call);
	g_free(transfer);
}
