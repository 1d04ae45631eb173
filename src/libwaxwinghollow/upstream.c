#include "waxwinghollow/upstream.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "private/upstream_pool.h"

/* Interval at which a waiting thread checks the caller's socket. */
#define CALLER_CHECK_MS 50
#define MILLISECOND_US 1000

/* Longer Retry-After values are cut, as no caller would wait for them. */
#define RETRY_AFTER_LIMIT_S 3600

const char *const wwh_upstream_outcome_names[WWH_UPSTREAM_OUTCOME_COUNT] = {
	"answered", "refused",	 "no-connection", "no-room",	 "deadline",
	"lost",	    "truncated", "too-large",	  "caller-gone",
};

struct wwh_upstream {
	wwh_upstream_options_t options;
	wwh_upstream_pool_t *pool;
	wwh_counter_t *requests;
	wwh_counter_t *resends_stopped;
	wwh_counter_t *silent_connections;
	wwh_counter_t *truncated_answers;
};

/* One request in progress. */
typedef struct {
	wwh_upstream_t *upstream;
	const wwh_upstream_request_t *request;
	wwh_upstream_answer_t *answer;
	CURL *easy;
	struct curl_slist *headers;
	int32_t times_sent;
	bool has_received_bytes;
	bool has_length;
	bool is_chunked;
	bool too_large;
	int64_t header_bytes;
} transfer_t;

static int on_prereq(void *data, char *peer_ip, char *local_ip, int peer_port,
		     int local_port);
static size_t on_header(char *line, size_t size, size_t count, void *data);
static size_t on_body(char *bytes, size_t size, size_t count, void *data);
static void handle_status_line(transfer_t *transfer);
static void handle_header(transfer_t *transfer, const char *name,
			  const char *value);
static void set_target(transfer_t *transfer);
static void set_headers(transfer_t *transfer);
static void set_body(transfer_t *transfer);
static void set_callbacks(transfer_t *transfer);
static CURLcode run_transfer(transfer_t *transfer,
			     wwh_upstream_connection_t *conn,
			     int64_t deadline_us);
static bool has_caller_disconnected(int fd);
static bool wait_for_activity(transfer_t *transfer, CURLM *multi,
			      int64_t deadline_us);
static wwh_upstream_outcome_t transfer_outcome(transfer_t *transfer,
					       CURLcode code);
static bool is_end_verified(const transfer_t *transfer);
static int64_t remaining_ms(int64_t deadline_us);

wwh_upstream_options_t wwh_upstream_options_defaults(void)
{
	wwh_upstream_options_t options = {
		.connect_timeout_ms = 1000,
		.idle_limit_ms = 20000,
		.max_header_bytes = 64 * 1024,
		.allow_resend = false,
	};

	return options;
}

wwh_upstream_t *wwh_upstream_new(const wwh_upstream_options_t *options,
				 wwh_counters_t *counters)
{
	wwh_upstream_t *upstream = g_new0(wwh_upstream_t, 1);

	upstream->options = *options;
	upstream->pool =
		wwh_upstream_pool_new(options->idle_limit_ms, counters);
	upstream->requests = wwh_counters_get(counters, "upstream.requests");
	upstream->resends_stopped =
		wwh_counters_get(counters, "upstream.resends_stopped");
	upstream->silent_connections =
		wwh_counters_get(counters, "upstream.silent_connections");
	upstream->truncated_answers =
		wwh_counters_get(counters, "upstream.truncated_answers");
	return upstream;
}

void wwh_upstream_delete(wwh_upstream_t *upstream)
{
	if (upstream == NULL)
		return;
	wwh_upstream_pool_delete(upstream->pool);
	g_free(upstream);
}

void wwh_upstream_sweep(wwh_upstream_t *upstream)
{
	wwh_upstream_pool_sweep(upstream->pool, g_get_monotonic_time());
}

void wwh_upstream_close_idle(wwh_upstream_t *upstream)
{
	wwh_upstream_pool_sweep(upstream->pool, INT64_MAX);
}

int32_t wwh_upstream_connections(wwh_upstream_t *upstream, const char *address,
				 int32_t port)
{
	return wwh_upstream_pool_count(upstream->pool, address, port);
}

void wwh_upstream_send(wwh_upstream_t *upstream,
		       const wwh_upstream_request_t *request,
		       wwh_upstream_answer_t *answer)
{
	int64_t start_us = g_get_monotonic_time();
	int64_t deadline_us = start_us + request->timeout_ms * MILLISECOND_US;
	transfer_t transfer = {
		.upstream = upstream,
		.request = request,
		.answer = answer,
	};
	wwh_upstream_connection_t *conn;
	CURLcode code;

	memset(answer, 0, sizeof(*answer));
	answer->retry_after_ms = -1;
	wwh_http_response_init(&answer->response);
	wwh_counter_add(upstream->requests, 1);
	conn = wwh_upstream_pool_acquire(upstream->pool, request->address,
					 request->port,
					 request->max_connections);
	if (conn == NULL) {
		answer->outcome = WWH_UPSTREAM_NO_ROOM;
		return;
	}
	transfer.easy = conn->easy;
	curl_easy_reset(conn->easy);
	set_target(&transfer);
	set_headers(&transfer);
	set_body(&transfer);
	set_callbacks(&transfer);
	code = run_transfer(&transfer, conn, deadline_us);
	answer->sent = transfer.times_sent > 0;
	answer->outcome = transfer_outcome(&transfer, code);
	answer->elapsed_ms =
		(g_get_monotonic_time() - start_us) / MILLISECOND_US;
	curl_slist_free_all(transfer.headers);
	if (answer->outcome == WWH_UPSTREAM_DEADLINE && answer->sent &&
	    !transfer.has_received_bytes && conn->answers > 0)
		answer->connection_silent = true;
	if (answer->connection_silent) {
		wwh_counter_add(upstream->silent_connections, 1);
		wwh_upstream_pool_close_suspect(upstream->pool, conn, start_us);
	}
	/*
	 * A connection whose answer was not received to its end may still carry
	 * the rest of that answer. It is closed, so that a late answer never
	 * reaches the next request on this connection.
	 */
	if (code == CURLE_OK && is_end_verified(&transfer))
		wwh_upstream_pool_release(upstream->pool, conn);
	else
		wwh_upstream_pool_close(upstream->pool, conn);
}

/*
 * libcurl resends a request when a reused connection closes before the first
 * byte of an answer. The minion may have run the request already, so a
 * non-idempotent one would run twice. libcurl calls this function before each
 * sending, on new and reused connections; aborting the second one leaves the
 * decision to the caller, which knows whether the request may be repeated.
 */
static int on_prereq(void *data, char *peer_ip, char *local_ip, int peer_port,
		     int local_port)
{
	transfer_t *transfer = data;

	(void)peer_ip;
	(void)local_ip;
	(void)peer_port;
	(void)local_port;
	if (transfer->times_sent > 0 &&
	    !transfer->upstream->options.allow_resend) {
		wwh_counter_add(transfer->upstream->resends_stopped, 1);
		return CURL_PREREQFUNC_ABORT;
	}
	transfer->times_sent++;
	return CURL_PREREQFUNC_OK;
}

static size_t on_header(char *line, size_t size, size_t count, void *data)
{
	transfer_t *transfer = data;
	size_t length = size * count;
	char *text;
	char *colon;

	transfer->has_received_bytes = true;
	transfer->header_bytes += (int64_t)length;
	if (transfer->header_bytes >
	    transfer->upstream->options.max_header_bytes) {
		transfer->too_large = true;
		return 0;
	}
	text = g_strndup(line, length);
	g_strchomp(text);
	if (g_str_has_prefix(text, "HTTP/")) {
		handle_status_line(transfer);
	} else {
		colon = strchr(text, ':');
		if (colon != NULL) {
			*colon = '\0';
			handle_header(transfer, text, g_strchug(colon + 1));
		}
	}
	g_free(text);
	return length;
}

static size_t on_body(char *bytes, size_t size, size_t count, void *data)
{
	transfer_t *transfer = data;
	GByteArray *body = transfer->answer->response.body;
	size_t length = size * count;

	if ((int64_t)(body->len + length) >
	    transfer->request->max_answer_bytes) {
		transfer->too_large = true;
		return 0;
	}
	g_byte_array_append(body, (const guint8 *)bytes, (guint)length);
	return length;
}

/* Headers before this status line belong to an interim response (1xx). */
static void handle_status_line(transfer_t *transfer)
{
	wwh_http_response_t *response = &transfer->answer->response;

	wwh_headers_delete(response->headers);
	response->headers = wwh_headers_new();
	transfer->has_length = false;
	transfer->is_chunked = false;
}

static void handle_header(transfer_t *transfer, const char *name,
			  const char *value)
{
	wwh_http_response_t *response = &transfer->answer->response;

	if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
		transfer->has_length = true;
		response->head_content_length =
			g_ascii_strtoll(value, NULL, 10);
	}
	if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0 &&
	    g_ascii_strcasecmp(value, "chunked") == 0)
		transfer->is_chunked = true;
	wwh_headers_add(response->headers, name, value);
}

static void set_target(transfer_t *transfer)
{
	const wwh_upstream_request_t *request = transfer->request;
	const char *format = strchr(request->address, ':') != NULL
				     ? "http://[%s]:%d/"
				     : "http://%s:%d/";
	char *url = g_strdup_printf(format, request->address, request->port);

	curl_easy_setopt(transfer->easy, CURLOPT_URL, url);
	curl_easy_setopt(transfer->easy, CURLOPT_REQUEST_TARGET,
			 request->http->target);
	curl_easy_setopt(transfer->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(transfer->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(transfer->easy, CURLOPT_HTTP_VERSION,
			 CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(transfer->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(transfer->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)transfer->upstream->options.connect_timeout_ms);
	g_free(url);
}

static void set_headers(transfer_t *transfer)
{
	const wwh_headers_t *headers = transfer->request->http->headers;
	struct curl_slist *list = NULL;
	static const char *const own_headers[] = { "Accept", "Content-Type",
						   "User-Agent" };

	for (int32_t i = 0; i < wwh_headers_count(headers); i++) {
		const wwh_header_t *header = wwh_headers_at(headers, i);
		char *line;

		if (wwh_headers_is_hop_by_hop(headers, header->name) ||
		    g_ascii_strcasecmp(header->name, "Content-Length") == 0 ||
		    g_ascii_strcasecmp(header->name, "Expect") == 0)
			continue;
		/* libcurl's syntax for a header with an empty value */
		line = *header->value == '\0'
			       ? g_strconcat(header->name, ";", NULL)
			       : g_strconcat(header->name, ": ", header->value,
					     NULL);
		list = curl_slist_append(list, line);
		g_free(line);
	}
	/* libcurl adds these headers unless they are listed without a value */
	for (size_t i = 0; i < G_N_ELEMENTS(own_headers); i++) {
		char *line = g_strconcat(own_headers[i], ":", NULL);

		if (wwh_headers_get(headers, own_headers[i]) == NULL)
			list = curl_slist_append(list, line);
		g_free(line);
	}
	list = curl_slist_append(list, "Expect:");
	transfer->headers = list;
	curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, list);
}

static void set_body(transfer_t *transfer)
{
	const wwh_http_request_t *http = transfer->request->http;
	bool has_body =
		http->body_size > 0 ||
		wwh_headers_get(http->headers, "Content-Length") != NULL;

	if (strcmp(http->method, "HEAD") == 0) {
		curl_easy_setopt(transfer->easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (has_body) {
		curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)http->body_size);
		curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDS,
				 http->body_size > 0 ? (const char *)http->body
						     : "");
	}
	curl_easy_setopt(transfer->easy, CURLOPT_CUSTOMREQUEST, http->method);
}

/*
 * If the minion never acknowledges data, a device on the path has probably lost
 * track of the connection. Without this limit the request would wait on the dead
 * connection until its deadline.
 */
static int on_socket_created(void *data, curl_socket_t fd, curlsocktype purpose)
{
	unsigned int unacknowledged_timeout_ms = 3000;

	(void)data;
	(void)purpose;
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
			 &unacknowledged_timeout_ms,
			 sizeof(unacknowledged_timeout_ms));
	return CURL_SOCKOPT_OK;
}

static void set_callbacks(transfer_t *transfer)
{
	CURL *easy = transfer->easy;

	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, 5L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, 2L);
}

static CURLcode run_transfer(transfer_t *transfer,
			     wwh_upstream_connection_t *conn,
			     int64_t deadline_us)
{
	CURLcode code = CURLE_OPERATION_TIMEDOUT;
	CURLMsg *message;
	int running = 1;
	int left = 0;

	if (curl_multi_add_handle(conn->multi, conn->easy) != CURLM_OK)
		return CURLE_FAILED_INIT;
	while (running > 0) {
		if (curl_multi_perform(conn->multi, &running) != CURLM_OK)
			break;
		if (running > 0 &&
		    !wait_for_activity(transfer, conn->multi, deadline_us))
			break;
	}
	if (running > 0 && remaining_ms(deadline_us) > 0)
		code = CURLE_ABORTED_BY_CALLBACK;
	message = curl_multi_info_read(conn->multi, &left);
	if (message != NULL && message->msg == CURLMSG_DONE)
		code = message->data.result;
	curl_multi_remove_handle(conn->multi, conn->easy);
	return code;
}

static bool has_caller_disconnected(int fd)
{
	struct pollfd entry = { .fd = fd, .events = POLLRDHUP };

	if (fd < 0 || poll(&entry, 1, 0) <= 0)
		return false;
	return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Returns false if the deadline has passed or the caller has disconnected. */
static bool wait_for_activity(transfer_t *transfer, CURLM *multi,
			      int64_t deadline_us)
{
	int64_t left_ms = remaining_ms(deadline_us);
	int64_t wait_ms = MIN(left_ms, CALLER_CHECK_MS);

	if (left_ms <= 0)
		return false;
	if (has_caller_disconnected(transfer->request->http->caller_fd)) {
		transfer->answer->outcome = WWH_UPSTREAM_CALLER_GONE;
		return false;
	}
	return curl_multi_poll(multi, NULL, 0, (int)wait_ms, NULL) == CURLM_OK;
}

static wwh_upstream_outcome_t transfer_outcome(transfer_t *transfer,
					       CURLcode code)
{
	wwh_upstream_answer_t *answer = transfer->answer;
	const char *run_class;
	const char *text;
	long status = 0;

	if (answer->outcome == WWH_UPSTREAM_CALLER_GONE)
		return WWH_UPSTREAM_CALLER_GONE;
	if (transfer->too_large)
		return WWH_UPSTREAM_TOO_LARGE;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return answer->sent ? WWH_UPSTREAM_DEADLINE
				    : WWH_UPSTREAM_NO_CONNECTION;
	if (transfer->times_sent == 0)
		return WWH_UPSTREAM_NO_CONNECTION;
	if (!transfer->has_received_bytes)
		return WWH_UPSTREAM_LOST;
	if (code != CURLE_OK || !is_end_verified(transfer)) {
		wwh_counter_add(transfer->upstream->truncated_answers, 1);
		return WWH_UPSTREAM_TRUNCATED;
	}
	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	answer->response.status = (int32_t)status;
	text = wwh_headers_get(answer->response.headers,
			       WWH_HEADER_MINION_STATE);
	answer->minion_leaving = g_strcmp0(text, "leaving") == 0;
	text = wwh_headers_get(answer->response.headers, "Retry-After");
	if (text != NULL)
		answer->retry_after_ms = CLAMP(g_ascii_strtoll(text, NULL, 10),
					       0, RETRY_AFTER_LIMIT_S) *
					 1000;
	run_class = wwh_headers_get(answer->response.headers, WWH_HEADER_RUN);
	if (status >= 400 && g_strcmp0(run_class, "not-run") == 0)
		return WWH_UPSTREAM_REFUSED;
	return WWH_UPSTREAM_ANSWERED;
}

/*
 * An answer with neither Content-Length nor chunks ends when the connection
 * closes. A crash of the minion looks the same, and the caller would get a
 * truncated answer as a complete one.
 */
static bool is_end_verified(const transfer_t *transfer)
{
	long status = 0;

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	if (strcmp(transfer->request->http->method, "HEAD") == 0)
		return true;
	if (status == 204 || status == 304)
		return true;
	return transfer->has_length || transfer->is_chunked;
}

static int64_t remaining_ms(int64_t deadline_us)
{
	return (deadline_us - g_get_monotonic_time()) / MILLISECOND_US;
}
