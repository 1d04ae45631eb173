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

/* A host that is cut off shows at connecting within this time. */
#define CONNECT_LIMIT_MS 700

/*
 * Unacknowledged bytes for this long end a connection: without it a call to
 * a host that lost power holds its connection for many minutes.
 */
#define UNACKNOWLEDGED_LIMIT_MS 3000

/* Longer than any call may take: the limits here are the ones that count. */
#define LIBRARY_LIMIT_S 3600

#define SECOND_MS 1000
#define MILLISECOND_US 1000

struct wwh_http_calls {
	struct event_base *base;
	http_pool_t *pool;
	int wake_fd;
	struct event wake;
	struct event wait_over;
	GHashTable *transfers; /* set of transfer_t, owned */
	GQueue ended; /* transfer_t whose callback is to run */
	wwh_counter_t *sent;
	wwh_counter_t *connections;
	wwh_counter_t *unanswered;
	wwh_counter_t *not_sent;
};

/*
 * Of two priorities the library takes in all that waits under the first one, and
 * then once what waits under the other.
 */
enum {
	FIRST_PRIORITY = 0,
	USUAL_PRIORITY,
	PRIORITIES
};

typedef struct {
	wwh_http_calls_t *calls;
	wwh_http_call_t *call;
	wwh_http_done_t done;
	void *client_data;
	http_endpoint_t *endpoint;
	http_connection_t *connection; /* NULL: it waits for one */
	struct evhttp_request *answered; /* NULL: no answer came */
	struct event limit;
	int64_t limit_us; /* when its time is over */
	int64_t send_limit_us; /* the same for being sent */
	bool sending; /* the request was handed to an open connection */
	bool refused_at_once; /* as the socket says right after connecting */
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
static void on_wait_over(evutil_socket_t fd, short what, void *data);
static void begin(transfer_t *transfer);
static void send_on(transfer_t *transfer, http_connection_t *connection);
static struct evhttp_request *make_request(transfer_t *transfer);
static void put_headers(struct evkeyvalq *headers, const transfer_t *transfer);
static enum evhttp_cmd_type method_of(const wwh_http_call_t *call);
static void set_socket_options(const http_connection_t *connection);
static bool refused_at_once(const http_connection_t *connection);
static void on_output(struct evbuffer *buffer,
		      const struct evbuffer_cb_info *info, void *data);
static void on_answer(struct evhttp_request *request, void *data);
static void on_limit(evutil_socket_t fd, short what, void *data);
static void set_limit(transfer_t *transfer, int64_t after_ms);
static int64_t left_ms(const transfer_t *transfer);
static int64_t left_to_send_ms(const transfer_t *transfer);
static void end(transfer_t *transfer, wwh_call_outcome_t outcome);
static bool finish_ended(wwh_http_calls_t *calls);
static void finish(transfer_t *transfer);
static void release_connection(transfer_t *transfer);
static void serve_next(http_endpoint_t *endpoint);
static void fill_answer(const transfer_t *transfer, wwh_http_answer_t *answer);
static void count(wwh_http_calls_t *calls, wwh_call_outcome_t outcome);
static void give_up_all(wwh_http_calls_t *calls);
static void transfer_delete(gpointer data);

wwh_http_calls_t *wwh_http_calls_new(wwh_counters_t *counters)
{
	wwh_http_calls_t *calls = g_new0(wwh_http_calls_t, 1);
	struct event_config *config = event_config_new();

	/* one thread calls; others only write to the wake descriptor */
	event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
	calls->base = event_base_new_with_config(config);
	event_config_free(config);
	calls->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (calls->base == NULL || calls->wake_fd < 0)
		g_error("no way to wait for sockets: %s", g_strerror(errno));
	if (event_base_priority_init(calls->base, PRIORITIES) != 0)
		g_error("no priorities of events");
	event_assign(&calls->wake, calls->base, calls->wake_fd,
		     EV_READ | EV_PERSIST, on_wake, calls);
	event_add(&calls->wake, NULL);
	evtimer_assign(&calls->wait_over, calls->base, on_wait_over, calls);
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
	give_up_all(calls);
	g_hash_table_destroy(calls->transfers);
	http_pool_delete(calls->pool);
	event_del(&calls->wake);
	event_del(&calls->wait_over);
	event_base_free(calls->base);
	close(calls->wake_fd);
	g_free(calls);
}

wwh_http_call_t *wwh_http_call_new(const char *method, const char *endpoint,
				   int64_t limit_ms)
{
	wwh_http_call_t *call = g_new0(wwh_http_call_t, 1);

	call->method = method;
	call->endpoint = g_strdup(endpoint);
	call->limit_ms = limit_ms;
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
 * The request goes out at once: an order that waited for the next turn of the
 * loop would be late by what the loop has to do before.
 */
void wwh_http_calls_send(wwh_http_calls_t *calls, wwh_http_call_t *call,
			 wwh_http_done_t done, void *client_data)
{
	transfer_t *transfer = g_new0(transfer_t, 1);

	transfer->calls = calls;
	transfer->call = call;
	transfer->done = done;
	transfer->client_data = client_data;
	transfer->limit_us =
		g_get_monotonic_time() + call->limit_ms * MILLISECOND_US;
	transfer->send_limit_us = transfer->limit_us;
	if (call->send_timeout_ms > 0)
		transfer->send_limit_us =
			MIN(transfer->limit_us,
			    g_get_monotonic_time() +
				    call->send_timeout_ms * MILLISECOND_US);
	evtimer_assign(&transfer->limit, calls->base, on_limit, transfer);
	g_hash_table_add(calls->transfers, transfer);
	wwh_counter_add(calls->sent, 1);
	transfer->endpoint = http_pool_endpoint(calls->pool, call->endpoint);
	if (transfer->endpoint == NULL) {
		g_warning("no call to \"%s\": not an IP number and port",
			  call->endpoint);
		end(transfer, WWH_CALL_NOT_SENT);
		return;
	}
	begin(transfer);
}

void wwh_http_calls_poll(wwh_http_calls_t *calls, int32_t wait_ms)
{
	struct timeval wait = { .tv_sec = wait_ms / SECOND_MS,
				.tv_usec =
					wait_ms % SECOND_MS * MILLISECOND_US };

	if (finish_ended(calls) || wait_ms <= 0) {
		event_base_loop(calls->base, EVLOOP_NONBLOCK);
	} else {
		event_add(&calls->wait_over, &wait);
		event_base_loop(calls->base, EVLOOP_ONCE);
	}
	(void)finish_ended(calls);
}

int32_t wwh_http_calls_in_progress(const wwh_http_calls_t *calls)
{
	return (int32_t)g_hash_table_size(calls->transfers);
}

void wwh_http_calls_wake(wwh_http_calls_t *calls)
{
	uint64_t one = 1;

	/* fails only when the counter is full: a wake is pending then */
	if (write(calls->wake_fd, &one, sizeof(one)) < 0)
		g_debug("a wake is pending already");
}

static void on_wake(evutil_socket_t fd, short what, void *data)
{
	uint64_t wakes;

	(void)what;
	(void)data;
	if (read(fd, &wakes, sizeof(wakes)) < 0)
		g_debug("woken by nobody");
}

/* That the loop returns is all that is asked of it. */
static void on_wait_over(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	(void)data;
}

static void begin(transfer_t *transfer)
{
	http_endpoint_t *endpoint = transfer->endpoint;
	http_connection_t *connection = http_pool_take(endpoint, transfer);

	if (connection != NULL) {
		send_on(transfer, connection);
		return;
	}
	g_queue_push_tail(&endpoint->waiting, transfer);
	set_limit(transfer, left_to_send_ms(transfer));
}

static void send_on(transfer_t *transfer, http_connection_t *connection)
{
	bool is_new = !connection->opened;
	struct bufferevent *buffer =
		evhttp_connection_get_bufferevent(connection->evcon);
	struct evhttp_request *request = make_request(transfer);

	transfer->connection = connection;
	connection->opened = true;
	if (is_new) {
		evbuffer_add_cb(bufferevent_get_output(buffer), on_output,
				connection);
		evhttp_connection_set_timeout(connection->evcon,
					      LIBRARY_LIMIT_S);
		wwh_counter_add(transfer->calls->connections, 1);
	}
	/* a request that fails here is reported by on_answer, as any other */
	if (evhttp_make_request(connection->evcon, request,
				method_of(transfer->call),
				transfer->call->path) != 0 &&
	    !transfer->has_ended)
		end(transfer, WWH_CALL_NOT_SENT);
	if (transfer->has_ended)
		return;
	/* connecting sets the usual priority */
	(void)bufferevent_priority_set(buffer, transfer->call->has_priority
						       ? FIRST_PRIORITY
						       : USUAL_PRIORITY);
	if (is_new) {
		set_socket_options(connection);
		transfer->refused_at_once = refused_at_once(connection);
		set_limit(transfer,
			  MIN(CONNECT_LIMIT_MS, left_to_send_ms(transfer)));
	} else {
		set_limit(transfer, left_ms(transfer));
	}
}

static struct evhttp_request *make_request(transfer_t *transfer)
{
	const wwh_http_call_t *call = transfer->call;
	struct evhttp_request *request =
		evhttp_request_new(on_answer, transfer);

	put_headers(evhttp_request_get_output_headers(request), transfer);
	if (call->body != NULL)
		evbuffer_add(evhttp_request_get_output_buffer(request),
			     call->body->data, call->body->len);
	return request;
}

static void put_headers(struct evkeyvalq *headers, const transfer_t *transfer)
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

static enum evhttp_cmd_type method_of(const wwh_http_call_t *call)
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
	int socket = http_pool_socket(connection);
	unsigned int limit_ms = UNACKNOWLEDGED_LIMIT_MS;
	int on = 1;

	if (socket < 0)
		return;
	if (setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
		       sizeof(limit_ms)) != 0)
		g_debug("TCP_USER_TIMEOUT isn't taken; call limits remain");
	if (setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) != 0)
		g_debug("TCP_NODELAY isn't taken; small calls may be late");
}

/*
 * On the way to an own address a refusal is there when connecting returns. The
 * library reports it later, with another cause or none.
 */
static bool refused_at_once(const http_connection_t *connection)
{
	struct pollfd socket = { .fd = http_pool_socket(connection),
				 .events = POLLOUT };

	return socket.fd >= 0 && poll(&socket, 1, 0) > 0 &&
	       (socket.revents & POLLHUP) != 0;
}

/* The library writes a request only once its connection is open. */
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
 * request is NULL when the connection failed after the request was handed to
 * it, and has no status when nobody listens at the endpoint. Nothing is sent
 * again: an order must not be carried out twice on its own account, and the
 * caller of this module decides about repeats.
 */
static void on_answer(struct evhttp_request *request, void *data)
{
	transfer_t *transfer = data;
	int os_error = errno;

	if (request != NULL && evhttp_request_get_response_code(request) != 0) {
		evhttp_request_own(request);
		transfer->answered = request;
		end(transfer, WWH_CALL_ANSWERED);
		return;
	}
	if (transfer->has_ended)
		return;
	if (transfer->sending)
		end(transfer, WWH_CALL_NO_ANSWER);
	else if (transfer->refused_at_once || os_error == ECONNREFUSED)
		end(transfer, WWH_CALL_REFUSED);
	else
		end(transfer, WWH_CALL_NOT_SENT);
}

static void on_limit(evutil_socket_t fd, short what, void *data)
{
	transfer_t *transfer = data;

	(void)fd;
	(void)what;
	if (transfer->sending && left_ms(transfer) > 0)
		set_limit(transfer, left_ms(transfer));
	else
		end(transfer,
		    transfer->sending ? WWH_CALL_NO_ANSWER : WWH_CALL_NOT_SENT);
}

static void set_limit(transfer_t *transfer, int64_t after_ms)
{
	struct timeval after = { .tv_sec = after_ms / SECOND_MS,
				 .tv_usec = after_ms % SECOND_MS *
					    MILLISECOND_US };

	event_add(&transfer->limit, &after);
}

static int64_t until_ms(int64_t end_us)
{
	int64_t left_us = end_us - g_get_monotonic_time();

	return (MAX(left_us, 0) + MILLISECOND_US - 1) / MILLISECOND_US;
}

static int64_t left_ms(const transfer_t *transfer)
{
	return until_ms(transfer->limit_us);
}

static int64_t left_to_send_ms(const transfer_t *transfer)
{
	return until_ms(transfer->send_limit_us);
}

/*
 * The callback runs from wwh_http_calls_poll, never from within the library. One
 * turn of the library's loop may run out a call's time and then read its answer:
 * the answer counts, as nothing else was reported yet.
 */
static void end(transfer_t *transfer, wwh_call_outcome_t outcome)
{
	if (transfer->has_ended) {
		g_assert(outcome == WWH_CALL_ANSWERED);
		transfer->outcome = outcome;
		return;
	}
	transfer->has_ended = true;
	transfer->outcome = outcome;
	event_del(&transfer->limit);
	g_queue_push_tail(&transfer->calls->ended, transfer);
}

/* False: none has ended. */
static bool finish_ended(wwh_http_calls_t *calls)
{
	bool any = !g_queue_is_empty(&calls->ended);

	while (!g_queue_is_empty(&calls->ended))
		finish(g_queue_pop_head(&calls->ended));
	return any;
}

static void finish(transfer_t *transfer)
{
	wwh_http_calls_t *calls = transfer->calls;
	wwh_http_answer_t answer = { .retry_after_s = -1 };

	g_hash_table_steal(calls->transfers, transfer);
	release_connection(transfer);
	fill_answer(transfer, &answer);
	count(calls, answer.outcome);
	transfer->done(&answer, transfer->client_data);
	transfer_delete(transfer);
}

/* A connection on which a call got no answer may be silent for good. */
static void release_connection(transfer_t *transfer)
{
	http_endpoint_t *endpoint = transfer->endpoint;

	if (endpoint == NULL)
		return;
	if (transfer->connection == NULL)
		g_queue_remove(&endpoint->waiting, transfer);
	else if (transfer->outcome == WWH_CALL_ANSWERED)
		http_pool_keep(transfer->connection);
	else
		http_pool_close(transfer->connection);
	serve_next(endpoint);
	http_pool_tidy(endpoint);
}

static void serve_next(http_endpoint_t *endpoint)
{
	while (!g_queue_is_empty(&endpoint->waiting)) {
		transfer_t *next = g_queue_peek_head(&endpoint->waiting);
		http_connection_t *connection;

		/* its own end takes it from the queue */
		if (next->has_ended)
			return;
		if (left_to_send_ms(next) == 0) {
			end(next, WWH_CALL_NOT_SENT);
			return;
		}
		connection = http_pool_take(endpoint, next);
		if (connection == NULL)
			return;
		g_queue_pop_head(&endpoint->waiting);
		send_on(next, connection);
	}
}

static void fill_answer(const transfer_t *transfer, wwh_http_answer_t *answer)
{
	struct evbuffer *body;
	const char *retry_after;

	answer->outcome = transfer->outcome;
	if (transfer->answered == NULL)
		return;
	answer->status = evhttp_request_get_response_code(transfer->answered);
	body = evhttp_request_get_input_buffer(transfer->answered);
	answer->body_size = evbuffer_get_length(body);
	answer->body = evbuffer_pullup(body, -1);
	retry_after = evhttp_find_header(
		evhttp_request_get_input_headers(transfer->answered),
		"Retry-After");
	if (retry_after != NULL && g_ascii_isdigit(retry_after[0]))
		answer->retry_after_s = g_ascii_strtoll(retry_after, NULL, 10);
}

static void count(wwh_http_calls_t *calls, wwh_call_outcome_t outcome)
{
	if (outcome == WWH_CALL_NO_ANSWER)
		wwh_counter_add(calls->unanswered, 1);
	else if (outcome != WWH_CALL_ANSWERED)
		wwh_counter_add(calls->not_sent, 1);
}

/* Whoever waits for an answer has something to release. */
static void give_up_all(wwh_http_calls_t *calls)
{
	const wwh_http_answer_t answer = { .outcome = WWH_CALL_NO_ANSWER,
					   .retry_after_s = -1 };
	GList *all = g_hash_table_get_keys(calls->transfers);

	g_queue_clear(&calls->ended);
	for (GList *at = all; at != NULL; at = at->next) {
		transfer_t *transfer = at->data;

		g_hash_table_steal(calls->transfers, transfer);
		event_del(&transfer->limit);
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

	if (transfer->answered != NULL)
		evhttp_request_free(transfer->answered);
	wwh_http_call_delete(transfer->call);
	g_free(transfer);
}
