#include "waxwinghollow/operator_client.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#define MIB ((size_t)1 << 20)
#define VERSION_HEADER "Config-Version"

typedef struct {
	GByteArray *body;
	size_t limit;
	bool too_large;
} body_sink_t;

static void set_options(CURL *curl, const wwh_operator_options_t *options,
			const char *url, body_sink_t *sink);
static struct curl_slist *
set_request_body(CURL *curl, const wwh_operator_request_t *request);
static size_t receive_body(char *data, size_t unit, size_t count,
			   void *client_data);
static wwh_status_t report_failure(CURL *curl, CURLcode code,
				   const body_sink_t *sink, const char *server,
				   wwh_message_t *message);
static void fill_answer(CURL *curl, body_sink_t *sink,
			wwh_operator_answer_t *answer);
static int64_t parse_version_header(CURL *curl);

wwh_operator_options_t wwh_operator_options_defaults(void)
{
	return (wwh_operator_options_t){
		.connect_timeout_ms = 1000,
		.timeout_ms = 5000,
		.max_answer_bytes = 256 * MIB,
	};
}

wwh_status_t wwh_operator_call(const wwh_operator_options_t *options,
			       const wwh_operator_request_t *request,
			       wwh_operator_answer_t *answer,
			       wwh_message_t *message)
{
	body_sink_t sink = { g_byte_array_new(), options->max_answer_bytes,
			     false };
	char *url =
		g_strdup_printf("http://%s%s", options->server, request->path);
	CURL *curl = curl_easy_init();
	struct curl_slist *headers;
	wwh_status_t status = WWH_STATUS_OK;
	CURLcode code;

	memset(answer, 0, sizeof(*answer));
	set_options(curl, options, url, &sink);
	headers = set_request_body(curl, request);
	code = curl_easy_perform(curl);
	if (code == CURLE_OK)
		fill_answer(curl, &sink, answer);
	else
		status = report_failure(curl, code, &sink, options->server,
					message);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	if (sink.body != NULL)
		g_byte_array_unref(sink.body);
	g_free(url);
	return status;
}

void wwh_operator_answer_clear(wwh_operator_answer_t *answer)
{
	g_free(answer->body);
	memset(answer, 0, sizeof(*answer));
}

static void set_options(CURL *curl, const wwh_operator_options_t *options,
			const char *url, body_sink_t *sink)
{
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)options->connect_timeout_ms);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)options->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, sink);
}

static struct curl_slist *
set_request_body(CURL *curl, const wwh_operator_request_t *request)
{
	struct curl_slist *headers;
	char *line;

	if (request->content_type == NULL)
		return NULL;
	line = g_strdup_printf("Content-Type: %s", request->content_type);
	headers = curl_slist_append(NULL, line);
	/*
	 * Disables "Expect: 100-continue", for which libcurl would wait 1 s
	 * for "100 Continue" before it sends the body.
	 */
	headers = curl_slist_append(headers, "Expect:");
	g_free(line);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_POST, 1L);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)request->body_size);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
			 request->body_size > 0 ? request->body : "");
	return headers;
}

static size_t receive_body(char *data, size_t unit, size_t count,
			   void *client_data)
{
	body_sink_t *sink = client_data;
	size_t size = unit * count;

	if (size > sink->limit - sink->body->len) {
		sink->too_large = true;
		return 0;
	}
	g_byte_array_append(sink->body, (const guint8 *)data, (guint)size);
	return size;
}

/*
 * The request surely had no effect as long as CURLINFO_REQUEST_SIZE is 0: then
 * libcurl has sent no byte of it.
 */
static wwh_status_t report_failure(CURL *curl, CURLcode code,
				   const body_sink_t *sink, const char *server,
				   wwh_message_t *message)
{
	long sent = 0;

	curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent);
	wwh_message_set(message, "%s: %s", server, curl_easy_strerror(code));
	if (sink->too_large) {
		wwh_message_set(message,
				"%s: answer exceeds the limit of %zu bytes",
				server, sink->limit);
		return WWH_STATUS_LIMIT;
	}
	return sent == 0 ? WWH_STATUS_UNAVAILABLE : WWH_STATUS_UNKNOWN;
}

static void fill_answer(CURL *curl, body_sink_t *sink,
			wwh_operator_answer_t *answer)
{
	long http_status = 0;

	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &http_status);
	answer->http_status = (int32_t)http_status;
	answer->config_version = parse_version_header(curl);
	answer->body_size = sink->body->len;
	g_byte_array_append(sink->body, (const guint8 *)"", 1);
	answer->body = (char *)g_byte_array_free(sink->body, FALSE);
	sink->body = NULL;
}

static int64_t parse_version_header(CURL *curl)
{
	struct curl_header *header;
	gint64 version;

	if (curl_easy_header(curl, VERSION_HEADER, 0, CURLH_HEADER, -1,
			     &header) != CURLHE_OK ||
	    !g_ascii_string_to_signed(header->value, 10, 0, INT64_MAX, &version,
				      NULL))
		return -1;
	return version;
}
