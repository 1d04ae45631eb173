#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_REPORT_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_REPORT_H

/* What one entry process tells operators about itself, as JSON. */

#include <json-glib/json-glib.h>

#include "private/entry_internal.h"
#include "private/entry_log.h"

void wwh_json_string(JsonBuilder *builder, const char *name, const char *value);
void wwh_json_int(JsonBuilder *builder, const char *name, int64_t value);
void wwh_json_bool(JsonBuilder *builder, const char *name, bool value);

/* Members of the object that is open in builder. */
void wwh_entry_report_status(wwh_entry_t *entry, JsonBuilder *builder);
void wwh_entry_report_dump(wwh_entry_t *entry, JsonBuilder *builder);

/*
 * The answer to an operator's act that went to the log. id is what it is
 * about, told under the name what; both may be NULL.
 */
void wwh_answer_submit_result(wwh_http_response_t *response,
			      const wwh_submit_result_t *submitted,
			      const char *what, const char *id);

void wwh_answer_json(wwh_http_response_t *response, int32_t status,
		     JsonBuilder *builder);
void wwh_answer_text(wwh_http_response_t *response, int32_t status,
		     const char *content_type, const char *text);

/* entry_verbs.c: acts on waves, rehearsals, moves and jobs. */
bool wwh_entry_handle_verb(wwh_entry_t *entry, const char *path,
			   const wwh_http_request_t *request,
			   wwh_http_response_t *response);

#endif
