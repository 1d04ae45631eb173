#include "waxwinghollow/platform_http.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#include "private/platform_http_decode.h"

#define CONNECT_TIMEOUT_MS 1000
#define MAX_IDLE_HANDLES 8
#define MAX_ANSWER_BYTES (32 * 1024 * 1024)
#define MAX_READ_BYTES (1024 * 1024)
#define INITIAL_ANSWER_BYTES 512

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_TOO_LARGE 413
#define HTTP_UNAVAILABLE 503

struct wwh_platform_http {
	wwh_platform_http_options_t options;
	char *base_url;
	GMutex lock;
	GPtrArray *idle; /* of CURL * */
};

/* One request and its answer. */
typedef struct {
	char *url;
	bool is_post;
	struct curl_slist *headers;
	const uint8_t *body;
	size_t body_size;
	int32_t timeout_ms;
	int64_t max_answer_bytes;
	int32_t send_attempts; /* times libcurl was about to send the request */
	bool headers_complete;
	long http_status;
	GByteArray *answer;
} exchange_t;

static wwh_status_t append_record(void *context, const char *stream,
				  const wwh_append_id_t *append_id,
				  const uint8_t *data, size_t size,
				  int32_t timeout_ms, int64_t *offset);
static wwh_status_t read_log(void *context, const char *stream, int64_t from,
			     int32_t wait_ms, int32_t timeout_ms,
			     wwh_log_visit_t visit, void *client_data,
			     int64_t *first, int64_t *next);
static wwh_status_t list_hosts(void *context, int32_t timeout_ms,
			       wwh_host_visit_t visit, void *client_data);
static wwh_status_t send_command(void *context, const char *worker_id,
				 wwh_command_t command, int64_t fence,
				 int32_t timeout_ms);
static wwh_status_t get_worker_status(void *context, const char *worker_id,
				      int32_t timeout_ms,
				      wwh_worker_status_t *status);
static wwh_status_t send_task_order(void *context,
				    const wwh_task_order_t *order,
				    int32_t timeout_ms);
static wwh_status_t list_task_reports(void *context, int32_t timeout_ms,
				      wwh_task_visit_t visit,
				      void *client_data);
static void exchange_init(exchange_t *exchange, bool is_post, char *url,
			  int32_t timeout_ms);
static void exchange_clear(exchange_t *exchange);
static wwh_status_t perform_exchange(wwh_platform_http_t *http,
				     exchange_t *exchange);
static void set_up_handle(wwh_platform_http_t *http, CURL *curl,
			  exchange_t *exchange);
static CURL *acquire_handle(wwh_platform_http_t *http);
static void release_handle(wwh_platform_http_t *http, CURL *curl);
static wwh_status_t post_order(wwh_platform_http_t *http, char *url,
			       int32_t timeout_ms);
static wwh_status_t get_answer(wwh_platform_http_t *http, exchange_t *exchange);
static char *escape_for_url(const char *text);
static size_t on_body(char *data, size_t size, size_t count, void *context);
static size_t on_header(char *data, size_t size, size_t count, void *context);
static int before_send(void *context, char *remote, char *local,
		       int remote_port, int local_port);

void wwh_platform_http_options_defaults(wwh_platform_http_options_t *options)
{
	*options = (wwh_platform_http_options_t){
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.max_idle_handles = MAX_IDLE_HANDLES,
		.max_answer_bytes = MAX_ANSWER_BYTES,
		.max_read_bytes = MAX_READ_BYTES,
	};
}

wwh_platform_http_t *
wwh_platform_http_new(const wwh_platform_http_options_t *options)
{
	wwh_platform_http_t *http = g_new0(wwh_platform_http_t, 1);

	http->options = *options;
	http->base_url = g_strdup(options->base_url);
	g_mutex_init(&http->lock);
	http->idle = g_ptr_array_new();
	return http;
}

wwh_status_t wwh_platform_http_init(wwh_platform_http_t *http,
				    wwh_message_t *message)
{
	if (http->base_url == NULL ||
	    !g_str_has_prefix(http->base_url, "http://")) {
		wwh_message_set(message,
				"platform: %s: expected http://ADDRESS:PORT",
				http->base_url == NULL ? "" : http->base_url);
		return WWH_STATUS_BAD_INPUT;
	}
	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
		wwh_message_set(message, "platform: can't initialize libcurl");
		return WWH_STATUS_IO;
	}
	return WWH_STATUS_OK;
}

void wwh_platform_http_delete(wwh_platform_http_t *http)
{
	if (http == NULL)
		return;
	for (guint i = 0; i < http->idle->len; i++)
		curl_easy_cleanup(http->idle->pdata[i]);
	g_ptr_array_unref(http->idle);
	g_mutex_clear(&http->lock);
	g_free(http->base_url);
	g_free(http);
}

void wwh_platform_http_interface(wwh_platform_http_t *http,
				 wwh_platform_t *platform)
{
	*platform = (wwh_platform_t){
		.context = http,
		.append = append_record,
		.read = read_log,
		.hosts = list_hosts,
		.command = send_command,
		.worker_status = get_worker_status,
		.task = send_task_order,
		.task_reports = list_task_reports,
	};
}

static wwh_status_t append_record(void *context, const char *stream,
				  const wwh_append_id_t *append_id,
				  const uint8_t *data, size_t size,
				  int32_t timeout_ms, int64_t *offset)
{
	wwh_platform_http_t *http = context;
	GString *header = g_string_new("Append-Id: ");
	char *name = escape_for_url(stream);
	exchange_t exchange;
	wwh_status_t status;

	for (int i = 0; i < WWH_APPEND_ID_BYTES; i++)
		g_string_append_printf(header, "%02x", append_id->bytes[i]);
	exchange_init(&exchange, true,
		      g_strdup_printf("%s/log/%s", http->base_url, name),
		      timeout_ms);
	exchange.headers = curl_slist_append(exchange.headers, header->str);
	exchange.body = data;
	exchange.body_size = size;
	status = perform_exchange(http, &exchange);
	if (status == WWH_STATUS_OK) {
		if (exchange.http_status == HTTP_UNAVAILABLE)
			status = WWH_STATUS_UNAVAILABLE;
		else if (exchange.http_status == HTTP_BAD_REQUEST ||
			 exchange.http_status == HTTP_TOO_LARGE)
			status = WWH_STATUS_BAD_INPUT;
		else if (exchange.http_status != HTTP_OK ||
			 wwh_decode_offset(exchange.answer->data,
					   exchange.answer->len,
					   offset) != WWH_STATUS_OK)
			status = WWH_STATUS_UNKNOWN;
	}
	exchange_clear(&exchange);
	g_free(name);
	g_string_free(header, TRUE);
	return status;
}

/* The callback type in platform.h determines the number of parameters. */
/* NOLINTNEXTLINE(readability-function-size) */
static wwh_status_t read_log(void *context, const char *stream, int64_t from,
			     int32_t wait_ms, int32_t timeout_ms,
			     wwh_log_visit_t visit, void *client_data,
			     int64_t *first, int64_t *next)
{
	wwh_platform_http_t *http = context;
	char *name = escape_for_url(stream);
	exchange_t exchange;
	wwh_status_t status;

	exchange_init(&exchange, false,
		      g_strdup_printf("%s/log/%s?from=%" G_GINT64_FORMAT
				      "&wait_ms=%d&max_bytes=%" G_GINT64_FORMAT,
				      http->base_url, name, from,
				      (int)MIN(wait_ms, timeout_ms / 2),
				      http->options.max_read_bytes),
		      timeout_ms);
	status = perform_exchange(http, &exchange);
	if (status == WWH_STATUS_OK && exchange.http_status != HTTP_OK &&
	    exchange.http_status != HTTP_NOT_FOUND)
		status = WWH_STATUS_UNAVAILABLE;
	else if (status == WWH_STATUS_OK)
		status = wwh_decode_records(exchange.answer->data,
					    exchange.answer->len, visit,
					    client_data, first, next);
	if (status == WWH_STATUS_UNKNOWN)
		status = WWH_STATUS_UNAVAILABLE;
	if (status == WWH_STATUS_OK && exchange.http_status == HTTP_NOT_FOUND)
		status = WWH_STATUS_NOT_FOUND;
	exchange_clear(&exchange);
	g_free(name);
	return status;
}

static wwh_status_t list_hosts(void *context, int32_t timeout_ms,
			       wwh_host_visit_t visit, void *client_data)
{
	wwh_platform_http_t *http = context;
	exchange_t exchange;
	wwh_status_t status;

	exchange_init(&exchange, false,
		      g_strconcat(http->base_url, "/hosts", NULL), timeout_ms);
	status = get_answer(http, &exchange);
	if (status == WWH_STATUS_OK)
		status = wwh_decode_hosts(exchange.answer->data,
					  exchange.answer->len, visit,
					  client_data);
	exchange_clear(&exchange);
	return status;
}

static wwh_status_t send_command(void *context, const char *worker_id,
				 wwh_command_t command, int64_t fence,
				 int32_t timeout_ms)
{
	wwh_platform_http_t *http = context;
	char *id = escape_for_url(worker_id);
	wwh_status_t status = post_order(
		http,
		g_strdup_printf("%s/workers/%s/%s?fence=%" G_GINT64_FORMAT,
				http->base_url, id, wwh_command_names[command],
				fence),
		timeout_ms);

	g_free(id);
	return status;
}

static wwh_status_t get_worker_status(void *context, const char *worker_id,
				      int32_t timeout_ms,
				      wwh_worker_status_t *status)
{
	wwh_platform_http_t *http = context;
	char *id = escape_for_url(worker_id);
	exchange_t exchange;
	wwh_status_t result;

	exchange_init(&exchange, false,
		      g_strdup_printf("%s/workers/%s", http->base_url, id),
		      timeout_ms);
	result = get_answer(http, &exchange);
	if (result == WWH_STATUS_OK)
		result = wwh_decode_worker_status(exchange.answer->data,
						  exchange.answer->len, status);
	exchange_clear(&exchange);
	g_free(id);
	return result;
}

static wwh_status_t send_task_order(void *context,
				    const wwh_task_order_t *order,
				    int32_t timeout_ms)
{
	wwh_platform_http_t *http = context;
	char *worker_id = escape_for_url(order->worker_id);
	char *task_id = escape_for_url(order->task_id);
	wwh_status_t status = post_order(
		http,
		g_strdup_printf("%s/workers/%s/tasks/%s/%s"
				"?fence=%" G_GINT64_FORMAT
				"&cores=%d&memory_mb=%" G_GINT64_FORMAT
				"&accelerators=%d&lease_ms=%d",
				http->base_url, worker_id, task_id,
				wwh_task_verb_names[order->verb], order->fence,
				(int)order->cores, order->memory_mb,
				(int)order->accelerators, (int)order->lease_ms),
		timeout_ms);

	g_free(task_id);
	g_free(worker_id);
	return status;
}

static wwh_status_t list_task_reports(void *context, int32_t timeout_ms,
				      wwh_task_visit_t visit, void *client_data)
{
	wwh_platform_http_t *http = context;
	exchange_t exchange;
	wwh_status_t status;

	exchange_init(&exchange, false,
		      g_strconcat(http->base_url, "/tasks", NULL), timeout_ms);
	status = get_answer(http, &exchange);
	if (status == WWH_STATUS_OK)
		status = wwh_decode_task_reports(exchange.answer->data,
						 exchange.answer->len, visit,
						 client_data);
	exchange_clear(&exchange);
	return status;
}

/* Takes ownership of url. */
static void exchange_init(exchange_t *exchange, bool is_post, char *url,
			  int32_t timeout_ms)
{
	*exchange = (exchange_t){
		.url = url,
		.is_post = is_post,
		.timeout_ms = timeout_ms,
		.answer = g_byte_array_sized_new(INITIAL_ANSWER_BYTES),
	};
	exchange->headers = curl_slist_append(
		NULL, "Content-Type: application/octet-stream");
	/*
	 * Without an empty Expect header, a body above 1 MB costs an extra
	 * round trip, as libcurl first waits for an interim answer.
	 */
	exchange->headers = curl_slist_append(exchange->headers, "Expect:");
}

static void exchange_clear(exchange_t *exchange)
{
	curl_slist_free_all(exchange->headers);
	g_byte_array_unref(exchange->answer);
	g_free(exchange->url);
}

/* Returns OK if a complete answer was received, whatever its HTTP status. */
static wwh_status_t perform_exchange(wwh_platform_http_t *http,
				     exchange_t *exchange)
{
	CURL *curl = acquire_handle(http);
	CURLcode code;

	if (curl == NULL)
		return WWH_STATUS_UNAVAILABLE;
	set_up_handle(http, curl, exchange);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &exchange->http_status);
	release_handle(http, curl);
	if (exchange->send_attempts == 0)
		return WWH_STATUS_UNAVAILABLE;
	/*
	 * libcurl may report success for a connection that closed within the
	 * headers. The status line would then count as an answer that the
	 * platform never completed.
	 */
	if (code != CURLE_OK || !exchange->headers_complete)
		return WWH_STATUS_UNKNOWN;
	return WWH_STATUS_OK;
}

static void set_up_handle(wwh_platform_http_t *http, CURL *curl,
			  exchange_t *exchange)
{
	int32_t timeout_ms = MAX(1, exchange->timeout_ms);

	exchange->max_answer_bytes = http->options.max_answer_bytes;
	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_URL, exchange->url);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	/* Timeouts by signal would interrupt any thread of the process. */
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(
		curl, CURLOPT_CONNECTTIMEOUT_MS,
		(long)MIN(timeout_ms, http->options.connect_timeout_ms));
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, exchange->headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, exchange);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, exchange);
	curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, before_send);
	curl_easy_setopt(curl, CURLOPT_PREREQDATA, exchange);
	if (!exchange->is_post)
		return;
	curl_easy_setopt(curl, CURLOPT_POST, 1L);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)exchange->body_size);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
			 exchange->body_size > 0 ? (const char *)exchange->body
						 : "");
}

static CURL *acquire_handle(wwh_platform_http_t *http)
{
	CURL *curl = NULL;

	g_mutex_lock(&http->lock);
	if (http->idle->len > 0)
		curl = g_ptr_array_steal_index(http->idle, http->idle->len - 1);
	g_mutex_unlock(&http->lock);
	return curl == NULL ? curl_easy_init() : curl;
}

static void release_handle(wwh_platform_http_t *http, CURL *curl)
{
	bool keep;

	g_mutex_lock(&http->lock);
	keep = (int32_t)http->idle->len < http->options.max_idle_handles;
	if (keep)
		g_ptr_array_add(http->idle, curl);
	g_mutex_unlock(&http->lock);
	if (!keep)
		curl_easy_cleanup(curl);
}

/* Posts a command or a task order. Takes ownership of url. */
static wwh_status_t post_order(wwh_platform_http_t *http, char *url,
			       int32_t timeout_ms)
{
	exchange_t exchange;
	wwh_status_t status;

	exchange_init(&exchange, true, url, timeout_ms);
	status = perform_exchange(http, &exchange);
	if (status == WWH_STATUS_OK) {
		switch (exchange.http_status) {
		case HTTP_OK:
			break;
		case HTTP_CONFLICT:
			status = WWH_STATUS_CONFLICT;
			break;
		case HTTP_NOT_FOUND:
			status = WWH_STATUS_NOT_FOUND;
			break;
		case HTTP_UNAVAILABLE:
			status = WWH_STATUS_UNAVAILABLE;
			break;
		case HTTP_BAD_REQUEST:
			status = WWH_STATUS_BAD_INPUT;
			break;
		default:
			status = WWH_STATUS_UNKNOWN;
			break;
		}
	}
	exchange_clear(&exchange);
	return status;
}

static wwh_status_t get_answer(wwh_platform_http_t *http, exchange_t *exchange)
{
	wwh_status_t status = perform_exchange(http, exchange);

	if (status != WWH_STATUS_OK)
		return WWH_STATUS_UNAVAILABLE;
	if (exchange->http_status == HTTP_NOT_FOUND)
		return WWH_STATUS_NOT_FOUND;
	return exchange->http_status == HTTP_OK ? WWH_STATUS_OK
						: WWH_STATUS_UNAVAILABLE;
}

static char *escape_for_url(const char *text)
{
	return g_uri_escape_string(text, NULL, FALSE);
}

static size_t on_body(char *data, size_t size, size_t count, void *context)
{
	exchange_t *exchange = context;
	size_t bytes = size * count;

	if ((int64_t)(exchange->answer->len + bytes) >
	    exchange->max_answer_bytes)
		return 0;
	g_byte_array_append(exchange->answer, (const guint8 *)data,
			    (guint)bytes);
	return bytes;
}

static size_t on_header(char *data, size_t size, size_t count, void *context)
{
	exchange_t *exchange = context;
	size_t bytes = size * count;

	if (bytes == 2 && data[0] == '\r' && data[1] == '\n')
		exchange->headers_complete = true;
	else if (bytes > 5 && strncmp(data, "HTTP/", 5) == 0)
		exchange->headers_complete = false; /* a 1xx came before */
	return bytes;
}

/*
 * If a persistent connection closes before the first byte of the answer,
 * libcurl sends the request again on a new connection, and the platform would
 * get an append or a command twice from one call. libcurl calls this function
 * before each send. Aborting the second one leaves the outcome unknown, which
 * the caller can resolve. If the function was never called, nothing was sent.
 */
static int before_send(void *context, char *remote, char *local,
		       int remote_port, int local_port)
{
	exchange_t *exchange = context;

	(void)remote;
	(void)local;
	(void)remote_port;
	(void)local_port;
	exchange->send_attempts++;
	if (exchange->is_post && exchange->send_attempts > 1)
		return CURL_PREREQFUNC_ABORT;
	return CURL_PREREQFUNC_OK;
}
