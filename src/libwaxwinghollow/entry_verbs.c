#include <string.h>

#include "private/entry_fleet.h"
#include "private/entry_log.h"
#include "private/entry_report.h"
#include "private/json_shape.h"

#define SUBMIT_LIMIT_MS 5000
#define CORES_MAX 100000

/* One operator command: its JSON body and the response to it. */
typedef struct {
	wwh_entry_t *entry;
	JsonObject *body;
	char *author;
	wwh_http_response_t *response;
} command_t;

typedef struct {
	const char *path;
	void (*handle)(command_t *command);
} verb_t;

static void wave_plan(command_t *command);
static void wave_start(command_t *command);
static void wave_pause(command_t *command);
static void wave_resume(command_t *command);
static void wave_abort(command_t *command);
static void rehearsal_start(command_t *command);
static void rehearsal_stop(command_t *command);
static void rehearsal_report(command_t *command);
static void move_start(command_t *command);
static void move_cancel(command_t *command);
static void job_submit(command_t *command);
static void job_cancel(command_t *command);
static const char *get_text(const command_t *command, const char *name);
static int64_t get_number(const command_t *command, const char *name,
			  int64_t min, int64_t max, int64_t default_value);
static bool get_flag(const command_t *command, const char *name);
static char *new_id(const command_t *command, const char *prefix);
static void submit(command_t *command, wwh_record_t *record,
		   const char *id_name, const char *id);
static void change_wave(command_t *command, wwh_record_kind_t kind);
static void submit_wave_start(command_t *command, const char *pool,
			      const char *id, wwh_submit_result_t *result);
static void submit_pool_change(command_t *command, const char *worker,
			       const char *pool);
static void answer_refused(command_t *command, int32_t status,
			   const char *message);

static const verb_t verbs[] = {
	{ "/v1/wave/plan", wave_plan },
	{ "/v1/wave/start", wave_start },
	{ "/v1/wave/pause", wave_pause },
	{ "/v1/wave/resume", wave_resume },
	{ "/v1/wave/abort", wave_abort },
	{ "/v1/rehearse/start", rehearsal_start },
	{ "/v1/rehearse/stop", rehearsal_stop },
	{ "/v1/rehearse/report", rehearsal_report },
	{ "/v1/move/start", move_start },
	{ "/v1/move/cancel", move_cancel },
	{ "/v1/job/submit", job_submit },
	{ "/v1/job/cancel", job_cancel },
};

bool wwh_entry_handle_verb(wwh_entry_t *entry, const char *path,
			   const wwh_http_request_t *request,
			   wwh_http_response_t *response)
{
	command_t command = { .entry = entry, .response = response };
	JsonParser *parser = json_parser_new();
	JsonNode *node = NULL;
	bool found = false;

	if (wwh_json_load(parser, (const char *)request->body,
			  request->body_size))
		node = json_parser_get_root(parser);
	for (size_t i = 0; i < G_N_ELEMENTS(verbs) && !found; i++) {
		found = strcmp(verbs[i].path, path) == 0;
		if (!found)
			continue;
		if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node)) {
			answer_refused(&command, 422,
				       "request body is not a JSON object");
			break;
		}
		command.body = json_node_get_object(node);
		command.author = g_strconcat(
			"operator:", get_text(&command, "author"), NULL);
		verbs[i].handle(&command);
	}
	g_object_unref(parser);
	g_free(command.author);
	return found;
}

static void wave_plan(command_t *command)
{
	char *text = wwh_entry_fleet_plan(command->entry->fleet,
					  get_text(command, "pool"));

	if (text == NULL) {
		answer_refused(command, 422, "no such pool");
		return;
	}
	wwh_answer_text(command->response, 200, "application/json", text);
	g_free(text);
}

/*
 * With "*" each pool gets a wave of its own, named ID.POOL; the answer holds
 * ID.
 */
static void wave_start(command_t *command)
{
	const char *pool = get_text(command, "pool");
	wwh_config_t *config = wwh_entry_config(command->entry);
	char *id = new_id(command, "wave");
	wwh_submit_result_t result = { .status = WWH_STATUS_BAD_INPUT };

	if (config != NULL && strcmp(pool, "*") == 0) {
		for (int32_t i = 0; i < wwh_config_pool_count(config); i++) {
			const char *pool_id = wwh_config_pool_at(config, i)->id;
			char *pool_wave_id =
				g_strconcat(id, ".", pool_id, NULL);

			submit_wave_start(command, pool_id, pool_wave_id,
					  &result);
			g_free(pool_wave_id);
			if (result.status != WWH_STATUS_OK)
				break;
		}
	} else {
		submit_wave_start(command, pool, id, &result);
	}
	wwh_answer_submit_result(command->response, &result, "wave", id);
	if (config != NULL)
		wwh_config_unref(config);
	g_free(id);
}

static void submit_wave_start(command_t *command, const char *pool,
			      const char *id, wwh_submit_result_t *result)
{
	wwh_record_t record;

	wwh_record_init(&record, WWH_RECORD_WAVE_START, command->author);
	wwh_record_set(&record.body.wave.wave, id);
	wwh_record_set(&record.body.wave.pool, pool);
	wwh_entry_log_submit(command->entry->log, &record, SUBMIT_LIMIT_MS,
			     result);
	wwh_record_clear(&record);
}

static void wave_pause(command_t *command)
{
	change_wave(command, WWH_RECORD_WAVE_PAUSE);
}

static void wave_resume(command_t *command)
{
	change_wave(command, WWH_RECORD_WAVE_RESUME);
}

static void wave_abort(command_t *command)
{
	change_wave(command, WWH_RECORD_WAVE_ABORT);
}

static void change_wave(command_t *command, wwh_record_kind_t kind)
{
	const char *wave = get_text(command, "wave");
	wwh_record_t record;

	wwh_record_init(&record, kind, command->author);
	wwh_record_set(&record.body.wave.wave, wave);
	submit(command, &record, "wave", wave);
}

static void rehearsal_start(command_t *command)
{
	const char *domain = get_text(command, "domain");
	char *id = new_id(command, "rehearsal");
	wwh_record_t record;
	int32_t index = 0;

	while (index < WWH_DOMAIN_COUNT &&
	       strcmp(wwh_domain_names[index], domain) != 0)
		index++;
	if (index == WWH_DOMAIN_COUNT) {
		answer_refused(command, 422,
			       "unknown domain, expected worker, rack or zone");
	} else {
		wwh_record_init(&record, WWH_RECORD_REHEARSAL_START,
				command->author);
		wwh_record_set(&record.body.rehearsal.rehearsal, id);
		record.body.rehearsal.domain = index;
		wwh_record_set(&record.body.rehearsal.domain_id,
			       get_text(command, "id"));
		submit(command, &record, "rehearsal", id);
	}
	g_free(id);
}

static void rehearsal_stop(command_t *command)
{
	const char *id = get_text(command, "rehearsal");
	wwh_record_t record;

	wwh_record_init(&record, WWH_RECORD_REHEARSAL_END, command->author);
	wwh_record_set(&record.body.rehearsal.rehearsal, id);
	submit(command, &record, "rehearsal", id);
}

static void rehearsal_report(command_t *command)
{
	char *text = wwh_entry_fleet_rehearsal(command->entry->fleet,
					       get_text(command, "rehearsal"));

	if (text == NULL) {
		answer_refused(command, 404,
			       "this process did not lead the rehearsal; query "
			       "the others");
		return;
	}
	wwh_answer_text(command->response, 200, "application/json", text);
	g_free(text);
}

/* A move only changes the inventory; the conductor carries it out. */
static void move_start(command_t *command)
{
	submit_pool_change(command, get_text(command, "worker"),
			   get_text(command, "pool"));
}

static void move_cancel(command_t *command)
{
	const char *worker = get_text(command, "move");
	wwh_worker_view_t view;
	char *pool = NULL;

	g_mutex_lock(&command->entry->state_lock);
	if (wwh_state_worker(command->entry->state, worker, &view))
		pool = g_strdup(*view.pool != '\0' ? view.pool
						   : view.move_from);
	g_mutex_unlock(&command->entry->state_lock);
	if (pool == NULL)
		answer_refused(command, 422, "no such worker");
	else
		submit_pool_change(command, worker, pool);
	g_free(pool);
}

static void submit_pool_change(command_t *command, const char *worker,
			       const char *pool)
{
	wwh_config_t *config = wwh_entry_config(command->entry);
	wwh_config_change_t *change = NULL;
	wwh_record_t record;

	if (config != NULL)
		change = wwh_config_change_new_for_pool(config, worker, pool);
	if (change == NULL) {
		answer_refused(command, 422, "no such worker");
	} else {
		wwh_record_init(&record, WWH_RECORD_CONFIG, command->author);
		record.body.config.base_version = wwh_config_version(config);
		g_bytes_unref(record.body.config.change);
		record.body.config.change = wwh_config_change_encode(change);
		submit(command, &record, "move", worker);
		wwh_config_change_delete(change);
	}
	if (config != NULL)
		wwh_config_unref(config);
}

static void job_submit(command_t *command)
{
	const char *job = get_text(command, "job");
	wwh_record_t record;

	wwh_record_init(&record, WWH_RECORD_JOB_SUBMIT, command->author);
	wwh_record_set(&record.body.job_submit.job, job);
	wwh_record_set(&record.body.job_submit.pool, get_text(command, "pool"));
	wwh_record_set(&record.body.job_submit.team, get_text(command, "team"));
	record.body.job_submit.cores =
		(int32_t)get_number(command, "cores", 0, CORES_MAX, 1);
	record.body.job_submit.memory_mb =
		get_number(command, "memory_mb", 0, INT32_MAX, 1);
	record.body.job_submit.accelerators =
		(int32_t)get_number(command, "accelerators", 0, CORES_MAX, 0);
	record.body.job_submit.urgent = get_flag(command, "urgent");
	record.body.job_submit.idempotent = get_flag(command, "idempotent");
	submit(command, &record, "job", job);
}

static void job_cancel(command_t *command)
{
	const char *job = get_text(command, "job");
	wwh_record_t record;

	wwh_record_init(&record, WWH_RECORD_JOB_CANCEL, command->author);
	wwh_record_set(&record.body.job.job, job);
	submit(command, &record, "job", job);
}

/* Returns "" if the member is missing or no string. */
static const char *get_text(const command_t *command, const char *name)
{
	JsonNode *node = json_object_get_member(command->body, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return "";
	return json_node_get_string(node);
}

static int64_t get_number(const command_t *command, const char *name,
			  int64_t min, int64_t max, int64_t default_value)
{
	JsonNode *node = json_object_get_member(command->body, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return default_value;
	return CLAMP(json_node_get_int(node), min, max);
}

static bool get_flag(const command_t *command, const char *name)
{
	JsonNode *node = json_object_get_member(command->body, name);

	return node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == G_TYPE_BOOLEAN &&
	       json_node_get_boolean(node);
}

/*
 * The id is derived from the operator's request id: a command that is sent
 * again because its answer was lost gets the same id, and the reducer's verdict
 * is "already".
 */
static char *new_id(const command_t *command, const char *prefix)
{
	const char *request_id = get_text(command, "request_id");

	if (*request_id != '\0' && strlen(request_id) < WWH_ID_BYTES_MAX / 2)
		return g_strdup_printf("%s-%s", prefix, request_id);
	return g_strdup_printf("%s-%" G_GINT64_FORMAT, prefix,
			       g_get_real_time());
}

/* Submits record, answers the operator and clears record. */
static void submit(command_t *command, wwh_record_t *record,
		   const char *id_name, const char *id)
{
	wwh_submit_result_t result;

	wwh_entry_log_submit(command->entry->log, record, SUBMIT_LIMIT_MS,
			     &result);
	wwh_answer_submit_result(command->response, &result, id_name, id);
	wwh_record_clear(record);
}

static void answer_refused(command_t *command, int32_t status,
			   const char *message)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	wwh_json_string(builder, "verdict", "refused");
	wwh_json_string(builder, "message", message);
	json_builder_end_object(builder);
	wwh_answer_json(command->response, status, builder);
}
