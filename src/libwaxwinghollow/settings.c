#include "waxwinghollow/settings.h"

#include <assert.h>
#include <string.h>

#include "private/json_source.h"
#include "private/settings_fields.h"

#define NUMBER(type_, member, min, max, default_)                              \
	{                                                                      \
		.name = #member, .type = (type_),                              \
		.offset = offsetof(wwh_settings_t, member), .minimum = (min),  \
		.maximum = (max), .default_number = (default_)                 \
	}
#define INT32(member, min, max, default_)                                      \
	NUMBER(WWH_FIELD_INT32, member, min, max, default_)
#define INT64(member, min, max, default_)                                      \
	NUMBER(WWH_FIELD_INT64, member, min, max, default_)
#define TEXT(type_, key, member)                                               \
	{                                                                      \
		.name = (key), .type = (type_),                                \
		.offset = offsetof(wwh_settings_t, member), .required = true   \
	}

#define PEERS_KEY "peers"
#define MAX_PEERS 256
#define MINUTE_MS 60000
#define HOUR_MS 3600000
#define KIB 1024
#define MIB ((int64_t)1 << 20)

const char *const wwh_log_level_names[WWH_LOG_LEVEL_COUNT] = {
	"error",
	"warning",
	"info",
	"debug",
};

/* The defaults are explained in docs/SETTINGS.md. */
const wwh_field_t wwh_settings_fields[] = {
	TEXT(WWH_FIELD_ID, "process_id", process_id),
	TEXT(WWH_FIELD_ID, "availability_zone", zone),
	TEXT(WWH_FIELD_ID, "region", region),
	TEXT(WWH_FIELD_ENDPOINT, "caller_listen", caller_listen),
	TEXT(WWH_FIELD_ENDPOINT, "operator_listen", operator_listen),
	TEXT(WWH_FIELD_ENDPOINT, "peer_listen", peer_listen),
	TEXT(WWH_FIELD_URL, "platform_url", platform_url),
	{ .name = PEERS_KEY,
	  .type = WWH_FIELD_ENDPOINTS,
	  .offset = offsetof(wwh_settings_t, peers),
	  .maximum = MAX_PEERS },
	{ .name = "log_level",
	  .type = WWH_FIELD_NAME,
	  .offset = offsetof(wwh_settings_t, log_level),
	  .maximum = WWH_LOG_LEVEL_COUNT - 1,
	  .default_number = WWH_LOG_INFO,
	  .names = wwh_log_level_names },
	INT32(max_requests, 1, 100000, 400),
	INT32(max_connections, 1, 100000, 1000),
	INT32(thread_stack_kb, 64, 8192, 256),
	INT32(max_header_bytes, KIB, 1024 * KIB, 32 * KIB),
	INT64(max_body_bytes, 0, 4096 * MIB, 16 * MIB),
	INT64(max_buffered_bytes, MIB, 65536 * MIB, 256 * MIB),
	INT32(idle_timeout_ms, 1000, HOUR_MS, MINUTE_MS),
	INT32(connect_timeout_ms, 1, MINUTE_MS, 250),
	INT32(minion_idle_ms, 100, HOUR_MS, 30000),
	INT32(ready_off_ms, 0, 10 * MINUTE_MS, 5000),
	INT32(drain_limit_ms, 0, HOUR_MS, MINUTE_MS),
	INT32(intent_batch_ms, 0, 1000, 5),
	INT32(log_append_timeout_ms, 10, MINUTE_MS, 1000),
	INT32(log_read_timeout_ms, 10, MINUTE_MS, 3000),
	INT32(log_wait_ms, 0, MINUTE_MS, 1000),
	INT32(host_list_period_ms, 100, 10 * MINUTE_MS, 2000),
	INT32(platform_timeout_ms, 10, MINUTE_MS, 2000),
	INT32(heartbeat_ms, 10, MINUTE_MS, 1000),
	INT32(suspect_after_ms, 10, 10 * MINUTE_MS, 4000),
	INT32(worker_leave_ms, 0, HOUR_MS, 2000),
	INT32(worker_look_ms, 10, HOUR_MS, 2000),
	INT32(worker_check_ms, 0, HOUR_MS, 5000),
	INT32(worker_slow_start_ms, 0, HOUR_MS, 30000),
	INT32(rehearsal_hold_ms, 100, 24 * HOUR_MS, 5 * MINUTE_MS),
};

const int32_t wwh_settings_field_count = G_N_ELEMENTS(wwh_settings_fields);

static void check_whole(const wwh_json_source_t *source,
			const wwh_settings_t *settings, wwh_report_t *report);
static void check_listeners(const wwh_json_source_t *source,
			    const wwh_settings_t *settings,
			    wwh_report_t *report);
static void refuse(const wwh_json_source_t *source, const char *key,
		   wwh_report_t *report, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

wwh_status_t wwh_settings_load(const char *path, wwh_settings_t *settings,
			       wwh_config_error_t error, void *client_data)
{
	wwh_report_t report = { error, client_data, 0 };
	wwh_config_text_t text = { .name = path };
	GError *failure = NULL;
	char *content;
	wwh_status_t status;

	memset(settings, 0, sizeof(*settings));
	if (!g_file_get_contents(path, &content, &text.size, &failure)) {
		wwh_report_error(&report, path, 0,
				 "cannot be read: %s, expected a readable file",
				 failure->message);
		g_error_free(failure);
		return WWH_STATUS_BAD_INPUT;
	}
	text.text = content;
	status = wwh_settings_parse(&text, settings, error, client_data);
	g_free(content);
	return status;
}

wwh_status_t wwh_settings_parse(const wwh_config_text_t *text,
				wwh_settings_t *settings,
				wwh_config_error_t error, void *client_data)
{
	wwh_report_t report = { error, client_data, 0 };
	wwh_json_source_t *source;

	memset(settings, 0, sizeof(*settings));
	source = wwh_json_source_parse(text->name, text->text, text->size,
				       &report);
	if (source == NULL)
		return WWH_STATUS_BAD_INPUT;
	wwh_fields_set_defaults(wwh_settings_fields, wwh_settings_field_count,
				settings);
	wwh_json_source_read(source, wwh_json_source_root(source),
			     wwh_settings_fields, wwh_settings_field_count,
			     settings, &report);
	check_whole(source, settings, &report);
	wwh_json_source_delete(source);
	if (report.count > 0)
		wwh_settings_clear(settings);
	return wwh_report_status(&report);
}

void wwh_settings_clear(wwh_settings_t *settings)
{
	wwh_fields_clear(wwh_settings_fields, wwh_settings_field_count,
			 settings);
	memset(settings, 0, sizeof(*settings));
}

static void check_whole(const wwh_json_source_t *source,
			const wwh_settings_t *settings, wwh_report_t *report)
{
	check_listeners(source, settings, report);
	if (settings->max_requests > settings->max_connections)
		refuse(source, "max_requests", report,
		       "'max_requests' is %d, expected at most "
		       "'max_connections', which is %d",
		       settings->max_requests, settings->max_connections);
	if (settings->log_wait_ms >= settings->log_read_timeout_ms)
		refuse(source, "log_wait_ms", report,
		       "'log_wait_ms' is %d, expected less than "
		       "'log_read_timeout_ms', which is %d: every quiet read "
		       "would count as failed",
		       settings->log_wait_ms, settings->log_read_timeout_ms);
	if (settings->suspect_after_ms < 2 * settings->heartbeat_ms)
		refuse(source, "suspect_after_ms", report,
		       "'suspect_after_ms' is %d, expected at least twice "
		       "'heartbeat_ms', which is %d: one lost heartbeat would "
		       "make a peer suspect",
		       settings->suspect_after_ms, settings->heartbeat_ms);
	if (settings->max_buffered_bytes < settings->max_body_bytes)
		refuse(source, "max_buffered_bytes", report,
		       "'max_buffered_bytes' is %" G_GINT64_FORMAT
		       ", expected at least 'max_body_bytes', which "
		       "is %" G_GINT64_FORMAT,
		       settings->max_buffered_bytes, settings->max_body_bytes);
}

static void check_listeners(const wwh_json_source_t *source,
			    const wwh_settings_t *settings,
			    wwh_report_t *report)
{
	static const char *const keys[] = {
		"caller_listen",
		"operator_listen",
		"peer_listen",
	};
	const char *const listeners[] = {
		settings->caller_listen,
		settings->operator_listen,
		settings->peer_listen,
	};

	for (size_t i = 1; i < G_N_ELEMENTS(keys); i++) {
		for (size_t j = 0; j < i; j++) {
			if (*listeners[i] == '\0' ||
			    strcmp(listeners[i], listeners[j]) != 0)
				continue;
			refuse(source, keys[i], report,
			       "'%s' is %s as is '%s', expected an address "
			       "and port of its own",
			       keys[i], listeners[i], keys[j]);
		}
	}
}

/* The line is that of key, or of the file's object when key is left out. */
static void refuse(const wwh_json_source_t *source, const char *key,
		   wwh_report_t *report, const char *format, ...)
{
	JsonObject *root = wwh_json_source_root(source);
	int32_t line = wwh_json_source_member_line(source, root, key);
	va_list args;
	char *text;

	if (line == 0)
		line = wwh_json_source_object_line(source, root);
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	wwh_report_error(report, wwh_json_source_file(source), line, "%s",
			 text);
	g_free(text);
}
