#ifndef WAXWINGHOLLOW_PRIVATE_ENTRY_REPORT_H
#define WAXWINGHOLLOW_PRIVATE_ENTRY_REPORT_H

/* JSON answers of one entry process to its operators. */

#include <json-glib/json-glib.h>

#include "private/entry_internal.h"
#include "private/entry_log.h"

void wwh_json_string(JsonBuilder *builder, const char *name, const char *value);
void wwh_json_int(JsonBuilder *builder, const char *name, int64_t value);
void wwh_json_bool(JsonBuilder *builder, const char *name, bool value);

/* These add members to the object that is open in builder. */
void wwh_entry_report_status(wwh_entry_t *entry, JsonBuilder *builder);
void wwh_entry_report_dump(wwh_entry_t *entry, JsonBuilder *builder);

/*
 * Answers an operator's command whose record was submitted to the log. The
 * JSON member named id_name holds id; both may be NULL.
 */
void wwh_answer_submit_result(wwh_http_response_t *response,
			      const wwh_submit_result_t *result,
			      const char *id_name, const char *id);

void wwh_answer_json(wwh_http_response_t *response, int32_t status,
		     JsonBuilder *builder);
void wwh_answer_text(wwh_http_response_t *response, int32_t status,
		     const char *content_type, const char *text);

/*
 * entry_verbs.c: handles commands on waves, rehearsals, moves and jobs. False
 * if path is none of theirs.
 */
bool wwh_entry_handle_verb(wwh_entry_t *entry, const char *path,
			   const wwh_http_request_t *request,
			   wwh_http_response_t *response);

#endif
