#include <string.h>

#include "private/entry_fleet.h"
#include "private/entry_log.h"
#include "private/entry_report.h"
#include "private/request_table.h"

#define SUBMIT_LIMIT_MS 5000

/* One path of the operator listener. */
typedef struct {
	const char *method;
	const char *path;
	void (*handle)(wwh_entry_t *entry, const wwh_http_request_t *request,
		       wwh_http_response_t *response);
} route_t;

static void get_ready(wwh_entry_t *entry, const wwh_http_request_t *request,
		      wwh_http_response_t *response);
static void get_status(wwh_entry_t *entry, const wwh_http_request_t *request,
		       wwh_http_response_t *response);
static void get_dump(wwh_entry_t *entry, const wwh_http_request_t *request,
		     wwh_http_response_t *response);
static void get_capacity(wwh_entry_t *entry, const wwh_http_request_t *request,
			 wwh_http_response_t *response);
static void get_counters(wwh_entry_t *entry, const wwh_http_request_t *request,
			 wwh_http_response_t *response);
static void get_config(wwh_entry_t *entry, const wwh_http_request_t *request,
		       wwh_http_response_t *response);
static void post_publish(wwh_entry_t *entry, const wwh_http_request_t *request,
			 wwh_http_response_t *response);
static void append_counter(const char *name, int64_t value, void *client_data);
static char *operator_author(const wwh_http_request_t *request);

static const route_t routes[] = {
	{ "GET", "/v1/ready", get_ready },
	{ "GET", "/v1/status", get_status },
	{ "GET", "/v1/dump", get_dump },
	{ "GET", "/v1/capacity", get_capacity },
	{ "GET", "/v1/counters", get_counters },
	{ "GET", "/v1/config", get_config },
	{ "POST", "/v1/publish", post_publish },
};

void wwh_entry_handle_operator(const wwh_http_request_t *request,
			       wwh_http_response_t *response, void *client_data)
{
	wwh_entry_t *entry = client_data;
	char *path = wwh_http_target_path(request->target);
	bool found = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes) && !found; i++) {
		found = strcmp(routes[i].path, path) == 0 &&
			strcmp(routes[i].method, request->method) == 0;
		if (found)
			routes[i].handle(entry, request, response);
	}
	if (!found && strcmp(request->method, "POST") == 0)
		found = wwh_entry_handle_verb(entry, path, request, response);
	if (!found)
		wwh_answer_text(response, 404, "application/json",
				"{\"verdict\": \"not-found\", \"message\": "
				"\"no such path\"}\n");
	g_free(path);
}

void wwh_answer_submit_result(wwh_http_response_t *response,
			      const wwh_submit_result_t *result,
			      const char *id_name, const char *id)
{
	JsonBuilder *builder = json_builder_new();
	int32_t status = 200;
	const char *verdict = wwh_verdict_names[result->verdict];

	if (result->status == WWH_STATUS_UNKNOWN) {
		status = 202;
		verdict = "unknown";
	} else if (result->status == WWH_STATUS_BAD_INPUT) {
		status = 422;
		verdict = "malformed";
	} else if (result->status != WWH_STATUS_OK) {
		status = 503;
		verdict = "unavailable";
		wwh_headers_add(response->headers, "Retry-After", "2");
	} else if (result->verdict == WWH_VERDICT_MALFORMED ||
		   result->verdict == WWH_VERDICT_INVALID) {
		status = 422;
	} else if (result->verdict != WWH_VERDICT_ACCEPTED) {
		status = 409;
	}
	json_builder_begin_object(builder);
	if (id_name != NULL)
		wwh_json_string(builder, id_name, id);
	wwh_json_string(builder, "verdict", verdict);
	wwh_json_string(builder, "message", result->detail.message.text);
	wwh_json_int(builder, "version", result->detail.version);
	wwh_json_int(builder, "offset", result->offset);
	json_builder_end_object(builder);
	wwh_answer_json(response, status, builder);
}

static void get_ready(wwh_entry_t *entry, const wwh_http_request_t *request,
		      wwh_http_response_t *response)
{
	wwh_phase_t phase = wwh_entry_phase(entry);
	bool abandoned;
	bool ready;
	char *text;

	(void)request;
	/* an abandoned incarnation can record no intent; it must be restarted */
	g_mutex_lock(&entry->state_lock);
	abandoned = wwh_intents_is_abandoned(entry->intents, entry->author);
	g_mutex_unlock(&entry->state_lock);
	ready = phase == WWH_PHASE_READY && !abandoned;
	text = g_strdup_printf("%s\n", abandoned ? "abandoned"
						 : wwh_phase_names[phase]);
	wwh_answer_text(response, ready ? 200 : 503, "text/plain", text);
	g_free(text);
}

static void get_status(wwh_entry_t *entry, const wwh_http_request_t *request,
		       wwh_http_response_t *response)
{
	JsonBuilder *builder = json_builder_new();

	(void)request;
	json_builder_begin_object(builder);
	wwh_entry_report_status(entry, builder);
	json_builder_end_object(builder);
	wwh_answer_json(response, 200, builder);
}

static void get_dump(wwh_entry_t *entry, const wwh_http_request_t *request,
		     wwh_http_response_t *response)
{
	JsonBuilder *builder = json_builder_new();

	(void)request;
	json_builder_begin_object(builder);
	wwh_entry_report_status(entry, builder);
	wwh_entry_report_dump(entry, builder);
	json_builder_end_object(builder);
	wwh_answer_json(response, 200, builder);
}

/*
 * The reserve of each pool: what is held back, for which loss, and what holding
 * less would cost.
 */
static void get_capacity(wwh_entry_t *entry, const wwh_http_request_t *request,
			 wwh_http_response_t *response)
{
	char *text = wwh_entry_fleet_capacity(entry->fleet);

	(void)request;
	wwh_answer_text(response, 200, "application/json", text);
	g_free(text);
}

static void get_counters(wwh_entry_t *entry, const wwh_http_request_t *request,
			 wwh_http_response_t *response)
{
	GString *text = g_string_new(NULL);

	(void)request;
	wwh_counters_each(entry->counters, append_counter, text);
	wwh_request_table_dump(entry->requests, append_counter, text);
	wwh_answer_text(response, 200, "text/plain", text->str);
	g_string_free(text, TRUE);
}

static void get_config(wwh_entry_t *entry, const wwh_http_request_t *request,
		       wwh_http_response_t *response)
{
	wwh_config_t *empty = wwh_config_new();
	wwh_config_t *config = wwh_entry_config(entry);
	wwh_config_change_t *change =
		wwh_config_diff(empty, config != NULL ? config : empty);
	GBytes *bytes = wwh_config_change_encode(change);
	gsize size;
	const guint8 *data = g_bytes_get_data(bytes, &size);
	char *version = g_strdup_printf(
		"%" G_GINT64_FORMAT,
		config != NULL ? wwh_config_version(config) : (int64_t)0);

	(void)request;
	wwh_headers_add(response->headers, "Content-Type",
			"application/msgpack");
	wwh_headers_add(response->headers, "Config-Version", version);
	g_byte_array_append(response->body, data, (guint)size);
	g_free(version);
	g_bytes_unref(bytes);
	wwh_config_change_delete(change);
	if (config != NULL)
		wwh_config_unref(config);
	wwh_config_unref(empty);
}

static void post_publish(wwh_entry_t *entry, const wwh_http_request_t *request,
			 wwh_http_response_t *response)
{
	char *base = wwh_http_query_value(request->target, "base");
	char *author = operator_author(request);
	wwh_submit_result_t result = { 0 };
	wwh_record_t record;

	wwh_record_init(&record, WWH_RECORD_CONFIG, author);
	record.body.config.base_version =
		base != NULL ? g_ascii_strtoll(base, NULL, 10) : 0;
	g_bytes_unref(record.body.config.change);
	record.body.config.change =
		g_bytes_new(request->body, request->body_size);
	wwh_entry_log_submit(entry->log, &record, SUBMIT_LIMIT_MS, &result);
	wwh_answer_submit_result(response, &result, NULL, NULL);
	wwh_record_clear(&record);
	g_free(author);
	g_free(base);
}

void wwh_answer_json(wwh_http_response_t *response, int32_t status,
		     JsonBuilder *builder)
{
	JsonNode *root = json_builder_get_root(builder);
	char *text = json_to_string(root, TRUE);
	char *line = g_strconcat(text, "\n", NULL);

	wwh_answer_text(response, status, "application/json", line);
	g_free(line);
	g_free(text);
	json_node_unref(root);
	g_object_unref(builder);
}

void wwh_answer_text(wwh_http_response_t *response, int32_t status,
		     const char *content_type, const char *text)
{
	response->status = status;
	wwh_headers_add(response->headers, "Content-Type", content_type);
	g_byte_array_append(response->body, (const guint8 *)text,
			    (guint)strlen(text));
}

static void append_counter(const char *name, int64_t value, void *client_data)
{
	g_string_append_printf(client_data, "%s %" G_GINT64_FORMAT "\n", name,
			       value);
}

/* The prefix distinguishes operators from processes on the log. */
static char *operator_author(const wwh_http_request_t *request)
{
	char *name = wwh_http_query_value(request->target, "author");
	char *author =
		g_strconcat("operator:", name != NULL ? name : "unnamed", NULL);

	g_free(name);
	return author;
}
