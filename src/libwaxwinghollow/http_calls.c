#include "waxwinghollow/http_calls.h"

#include <curl/curl.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/*
 * Connections that libcurl keeps open in all: two each for some hundred
 * upstreams, the store and the other hosts.
 */
#define KEPT_CONNECTIONS 400

/* To one endpoint at once: one for a long poll, the others for orders. */
#define CONNECTIONS_AN_ENDPOINT 6

/* A host that is cut off shows at connecting within this time. */
#define CONNECT_LIMIT_MS 700

/*
 * Unacknowledged bytes for this long end a connection: without it a call to
 * a host that lost power holds its connection for many minutes.
 */
#define UNACKNOWLEDGED_LIMIT_MS 3000

/* Handles of ended calls that are kept for the next ones. */
#define SPARE_HANDLES 64

struct wwh_http_calls {
	CURLM *multi;
	GHashTable *transfers; /* set of transfer_t, owned */
	GPtrArray *spare; /* CURL *, owned */
	wwh_counter_t *sent;
	wwh_counter_t *connections;
	wwh_counter_t *unanswered;
	wwh_counter_t *not_sent;
};

typedef struct {
	wwh_http_call_t *call;
	wwh_http_done_t done;
	void *client_data;
	CURL *easy;
	struct curl_slist *headers;
	GByteArray *body;
	bool sending; /* the request has a connection */
	int32_t times_sent;
} transfer_t;

const char *const wwh_call_outcome_names[WWH_CALL_OUTCOME_COUNT] = {
	"answered",
	"refused",
	"not-sent",
	"no-answer",
};

static void give_up_all(wwh_http_calls_t *calls);
static void transfer_delete(gpointer data);
static int on_socket(void *data, curl_socket_t socket, curlsocktype purpose);
static int on_prereq(void *data, char *peer_ip, char *local_ip, int peer_port,
		     int local_port);
static size_t on_body(char *bytes, size_t size, size_t count, void *data);
static void set_options(transfer_t *transfer);
static void set_headers(transfer_t *transfer);
static void set_body(transfer_t *transfer);
static CURL *take_handle(wwh_http_calls_t *calls);
static void finish(wwh_http_calls_t *calls, CURL *easy, CURLcode code);
static wwh_call_outcome_t outcome_of(const transfer_t *transfer, CURLcode code);

wwh_http_calls_t *wwh_http_calls_new(wwh_counters_t *counters)
{
	wwh_http_calls_t *calls = g_new0(wwh_http_calls_t, 1);

	calls->multi = curl_multi_init();
	curl_multi_setopt(calls->multi, CURLMOPT_MAXCONNECTS,
			  (long)KEPT_CONNECTIONS);
	curl_multi_setopt(calls->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)CONNECTIONS_AN_ENDPOINT);
	curl_multi_setopt(calls->multi, CURLMOPT_PIPELINING,
			  (long)CURLPIPE_NOTHING);
	calls->transfers =
		g_hash_table_new_full(NULL, NULL, transfer_delete, NULL);
	calls->spare = g_ptr_array_new();
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
	for (guint i = 0; i < calls->spare->len; i++)
		curl_easy_cleanup(g_ptr_array_index(calls->spare, i));
	g_ptr_array_unref(calls->spare);
	curl_multi_cleanup(calls->multi);
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

void wwh_http_call_header(wwh_http_call_t *call, const char *name,
			  const char *value)
{
	int32_t i = 0;

	while (i < WWH_HTTP_CALL_HEADERS && call->headers[i] != NULL)
		i++;
	g_assert(i < WWH_HTTP_CALL_HEADERS);
	call->headers[i] = g_strconcat(name, ": ", value, NULL);
}

void wwh_http_call_delete(wwh_http_call_t *call)
{
	if (call == NULL)
		return;
	for (int32_t i = 0; i < WWH_HTTP_CALL_HEADERS; i++)
		g_free(call->headers[i]);
	if (call->body != NULL)
		g_byte_array_unref(call->body);
	g_free(call->path);
	g_free(call->endpoint);
	g_free(call);
}

void wwh_http_calls_send(wwh_http_calls_t *calls, wwh_http_call_t *call,
			 wwh_http_done_t done, void *client_data)
{
	transfer_t *transfer = g_new0(transfer_t, 1);

	transfer->call = call;
	transfer->done = done;
	transfer->client_data = client_data;
	transfer->body = g_byte_array_new();
	transfer->easy = take_handle(calls);
	set_options(transfer);
	set_headers(transfer);
	set_body(transfer);
	g_hash_table_add(calls->transfers, transfer);
	curl_multi_add_handle(calls->multi, transfer->easy);
	wwh_counter_add(calls->sent, 1);
}

void wwh_http_calls_poll(wwh_http_calls_t *calls, int32_t wait_ms)
{
	int running = 0;
	int left;
	CURLMsg *message;

	curl_multi_perform(calls->multi, &running);
	message = curl_multi_info_read(calls->multi, &left);
	if (message == NULL) {
		curl_multi_poll(calls->multi, NULL, 0, wait_ms, NULL);
		curl_multi_perform(calls->multi, &running);
		message = curl_multi_info_read(calls->multi, &left);
	}
	while (message != NULL) {
		if (message->msg == CURLMSG_DONE)
			finish(calls, message->easy_handle,
			       message->data.result);
		message = curl_multi_info_read(calls->multi, &left);
	}
}

int32_t wwh_http_calls_in_progress(const wwh_http_calls_t *calls)
{
	return (int32_t)g_hash_table_size(calls->transfers);
}

void wwh_http_calls_wake(wwh_http_calls_t *calls)
{
	curl_multi_wakeup(calls->multi);
}

/* Whoever waits for an answer has something to release. */
static void give_up_all(wwh_http_calls_t *calls)
{
	const wwh_http_answer_t answer = { .outcome = WWH_CALL_NO_ANSWER,
					   .retry_after_s = -1 };
	GList *all = g_hash_table_get_keys(calls->transfers);

	for (GList *at = all; at != NULL; at = at->next) {
		transfer_t *transfer = at->data;

		curl_multi_remove_handle(calls->multi, transfer->easy);
		curl_easy_cleanup(transfer->easy);
		g_hash_table_steal(calls->transfers, transfer);
		transfer->done(&answer, transfer->client_data);
		transfer_delete(transfer);
	}
	g_list_free(all);
}

static void transfer_delete(gpointer data)
{
	transfer_t *transfer = data;

	curl_slist_free_all(transfer->headers);
	g_byte_array_unref(transfer->body);
	wwh_http_call_delete(transfer->call);
	g_free(transfer);
}

static int on_socket(void *data, curl_socket_t socket, curlsocktype purpose)
{
	unsigned int limit_ms = UNACKNOWLEDGED_LIMIT_MS;

	(void)data;
	(void)purpose;
	if (setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
		       sizeof(limit_ms)) != 0)
		g_debug("TCP_USER_TIMEOUT isn't taken; call limits remain");
	return CURL_SOCKOPT_OK;
}

/*
 * libcurl sends a request again by itself when a kept connection ends before
 * an answer's first byte. An order must not be carried out twice on its own
 * account, so that the second send is stopped here: the caller of this
 * module decides about repeats.
 */
static int on_prereq(void *data, char *peer_ip, char *local_ip, int peer_port,
		     int local_port)
{
	transfer_t *transfer = data;

	(void)peer_ip;
	(void)local_ip;
	(void)peer_port;
	(void)local_port;
	transfer->sending = true;
	return transfer->times_sent++ == 0 ? CURL_PREREQFUNC_OK
					   : CURL_PREREQFUNC_ABORT;
}

static size_t on_body(char *bytes, size_t size, size_t count, void *data)
{
	transfer_t *transfer = data;

	g_byte_array_append(transfer->body, (const guint8 *)bytes,
			    (guint)(size * count));
	return size * count;
}

static CURL *take_handle(wwh_http_calls_t *calls)
{
	CURL *easy;

	if (calls->spare->len == 0)
		return curl_easy_init();
	easy = g_ptr_array_steal_index_fast(calls->spare,
					    calls->spare->len - 1);
	curl_easy_reset(easy);
	return easy;
}

static void set_options(transfer_t *transfer)
{
	const wwh_http_call_t *call = transfer->call;
	CURL *easy = transfer->easy;
	char *url = g_strconcat("http://", call->endpoint, call->path, NULL);

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)call->limit_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)MIN(CONNECT_LIMIT_MS, call->limit_ms));
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_socket);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	g_free(url);
}

static void set_headers(transfer_t *transfer)
{
	const wwh_http_call_t *call = transfer->call;
	struct curl_slist *list = NULL;

	/* Without it a body above 1 MB costs a round trip first. */
	list = curl_slist_append(list, "Expect:");
	list = curl_slist_append(list, "Accept:");
	if (call->content_type != NULL) {
		char *line =
			g_strconcat("Content-Type: ", call->content_type, NULL);

		list = curl_slist_append(list, line);
		g_free(line);
	}
	for (int32_t i = 0; i < WWH_HTTP_CALL_HEADERS; i++) {
		if (call->headers[i] != NULL)
			list = curl_slist_append(list, call->headers[i]);
	}
	transfer->headers = list;
	curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, list);
}

static void set_body(transfer_t *transfer)
{
	const wwh_http_call_t *call = transfer->call;
	CURL *easy = transfer->easy;

	if (strcmp(call->method, "GET") == 0) {
		curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
		return;
	}
	if (call->body == NULL && strcmp(call->method, "POST") != 0) {
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
		return;
	}
	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
			 call->body == NULL ? "" : (char *)call->body->data);
	curl_easy_setopt(
		easy, CURLOPT_POSTFIELDSIZE_LARGE,
		(curl_off_t)(call->body == NULL ? 0 : call->body->len));
	if (strcmp(call->method, "POST") != 0)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
}

static void finish(wwh_http_calls_t *calls, CURL *easy, CURLcode code)
{
	transfer_t *transfer = NULL;
	wwh_http_answer_t answer = { .retry_after_s = -1 };
	curl_off_t retry_after_s = 0;
	long status = 0;
	long connects = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
	curl_easy_getinfo(easy, CURLINFO_RETRY_AFTER, &retry_after_s);
	curl_multi_remove_handle(calls->multi, easy);
	answer.outcome = outcome_of(transfer, code);
	answer.status = (int32_t)status;
	answer.body = transfer->body->data;
	answer.body_size = transfer->body->len;
	if (retry_after_s > 0)
		answer.retry_after_s = retry_after_s;
	wwh_counter_add(calls->connections, connects);
	if (answer.outcome == WWH_CALL_NO_ANSWER)
		wwh_counter_add(calls->unanswered, 1);
	else if (answer.outcome != WWH_CALL_ANSWERED)
		wwh_counter_add(calls->not_sent, 1);
	g_hash_table_steal(calls->transfers, transfer);
	if (calls->spare->len < SPARE_HANDLES)
		g_ptr_array_add(calls->spare, easy);
	else
		curl_easy_cleanup(easy);
	transfer->done(&answer, transfer->client_data);
	transfer_delete(transfer);
}

static wwh_call_outcome_t outcome_of(const transfer_t *transfer, CURLcode code)
{
	long os_error = 0;

	if (code == CURLE_OK)
		return WWH_CALL_ANSWERED;
	if (transfer->sending)
		return WWH_CALL_NO_ANSWER;
	curl_easy_getinfo(transfer->easy, CURLINFO_OS_ERRNO, &os_error);
	if (code == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED)
		return WWH_CALL_REFUSED;
	return WWH_CALL_NOT_SENT;
}
