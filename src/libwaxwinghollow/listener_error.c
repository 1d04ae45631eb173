#include "waxwinghollow/listener.h"

#include <string.h>

#define SECOND_MS 1000

static void set_error(wwh_http_response_t *response, const wwh_answer_t *row,
		      int64_t retry_after_ms);

void wwh_listener_set_error(wwh_http_response_t *response,
			    wwh_error_kind_t kind, int64_t retry_after_ms)
{
	const wwh_answer_t *row = wwh_answer_for(kind);

	set_error(response, row,
		  row->retry_rule == WWH_RETRY_MEASURED ? retry_after_ms : 0);
}

void wwh_listener_set_observed_error(wwh_http_response_t *response,
				     wwh_error_kind_t kind,
				     int64_t retry_after_ms)
{
	set_error(response, wwh_answer_for(kind), retry_after_ms);
}

static void set_error(wwh_http_response_t *response, const wwh_answer_t *row,
		      int64_t retry_after_ms)
{
	int64_t retry_s = MAX(row->retry_after_s,
			      (retry_after_ms + SECOND_MS - 1) / SECOND_MS);
	char *text;

	response->status = row->http_status;
	g_byte_array_set_size(response->body, 0);
	wwh_headers_add(response->headers, "Content-Type", "application/json");
	wwh_headers_add(response->headers, "Waxwinghollow-Run",
			wwh_run_class_names[row->run]);
	if (row->retry_rule != WWH_RETRY_NEVER) {
		text = g_strdup_printf("%" G_GINT64_FORMAT, retry_s);
		wwh_headers_add(response->headers, "Retry-After", text);
		g_free(text);
	}
	text = g_strdup_printf("{\"error\": \"%s\", \"run\": \"%s\", "
			       "\"message\": \"%s\"}\n",
			       wwh_error_kind_names[row->kind],
			       wwh_run_class_names[row->run], row->text);
	g_byte_array_append(response->body, (const guint8 *)text,
			    (guint)strlen(text));
	g_free(text);
}
