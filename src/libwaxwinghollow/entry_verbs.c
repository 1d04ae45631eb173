#include <string.h>

#include "private/entry_fleet.h"
#include "private/entry_log.h"
#include "private/entry_report.h"

#define SUBMIT_LIMIT_MS 5000
#define CORES_MAX 100000

/* One operator's act: its JSON body and where the answer goes. */
typedef struct {
	wwh_entry_t *entry;
	JsonObject *body;
	char *author;
	wwh_http_response_t *response;
} act_t;

typedef struct {
	const char *path;
	void (*handle)(act_t *act);
} verb_t;

static void wave_plan(act_t *act);
static void wave_start(act_t *act);
static void wave_pause(act_t *act);
static void wave_resume(act_t *act);
static void wave_abort(act_t *act);
static void rehearsal_start(act_t *act);
static void rehearsal_stop(act_t *act);
static void rehearsal_report(act_t *act);
static void move_start(act_t *act);
static void move_cancel(act_t *act);
static void job_submit(act_t *act);
static void job_cancel(act_t *act);
static const char *text_of(const act_t *act, const char *name);
static int64_t number_of(const act_t *act, const char *name, int64_t least,
			 int64_t most, int64_t otherwise);
static bool flag_of(const act_t *act, const char *name);
static char *new_id(const act_t *act, const char *what);
static void submit(act_t *act, wwh_record_t *record, const char *what,
		   const char *id);
static void change_wave(act_t *act, wwh_record_kind_t kind);
static void start_one_wave(act_t *act, const char *pool, const char *id,
			   wwh_submit_result_t *submitted);
static void set_pool(act_t *act, const char *worker, const char *pool);
static void refuse(act_t *act, int32_t status, const char *message);

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
	act_t act = { .entry = entry, .response = response };
	char *text = g_strndup((const char *)request->body, request->body_size);
	JsonNode *node = json_from_string(text, NULL);
	bool found = false;

	for (size_t i = 0; i < G_N_ELEMENTS(verbs) && !found; i++) {
		found = strcmp(verbs[i].path, path) == 0;
		if (!found)
			continue;
		if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node)) {
			refuse(&act, 422, "the body is no JSON object");
			break;
		}
		act.body = json_node_get_object(node);
		act.author =
			g_strconcat("operator:", text_of(&act, "author"), NULL);
		verbs[i].handle(&act);
	}
	if (node != NULL)
		json_node_unref(node);
	g_free(act.author);
	g_free(text);
	return found;
}

static void wave_plan(act_t *act)
{
	char *text =
		wwh_entry_fleet_plan(act->entry->fleet, text_of(act, "pool"));

	if (text == NULL) {
		refuse(act, 422, "no such pool");
		return;
	}
	wwh_answer_text(act->response, 200, "application/json", text);
	g_free(text);
}

/* With "*" each pool gets a wave of its own; they are steered together. */
static void wave_start(act_t *act)
{
	const char *pool = text_of(act, "pool");
	wwh_config_t *config = wwh_entry_config(act->entry);
	char *id = new_id(act, "wave");
	wwh_submit_result_t submitted = { .status = WWH_STATUS_BAD_INPUT };

	if (config != NULL && strcmp(pool, "*") == 0) {
		for (int32_t i = 0; i < wwh_config_pool_count(config); i++) {
			const char *one = wwh_config_pool_at(config, i)->id;
			char *its_id = g_strconcat(id, ".", one, NULL);

			start_one_wave(act, one, its_id, &submitted);
			g_free(its_id);
			if (submitted.status != WWH_STATUS_OK)
				break;
		}
	} else {
		start_one_wave(act, pool, id, &submitted);
	}
	wwh_answer_submit_result(act->response, &submitted, "wave", id);
	if (config != NULL)
		wwh_config_unref(config);
	g_free(id);
}

static void start_one_wave(act_t *act, const char *pool, const char *id,
			   wwh_submit_result_t *submitted)
{
	wwh_record_t record;

	wwh_record_init(&record, WWH_RECORD_WAVE_START, act->author);
	wwh_record_set(&record.body.wave.wave, id);
	wwh_record_set(&record.body.wave.pool, pool);
	wwh_entry_log_submit(act->entry->log, &record, SUBMIT_LIMIT_MS,
			     submitted);
	wwh_record_clear(&record);
}

static void wave_pause(act_t *act)
{
	change_wave(act, WWH_RECORD_WAVE_PAUSE);
}

static void wave_resume(act_t *act)
{
	change_wave(act, WWH_RECORD_WAVE_RESUME);
}

static void wave_abort(act_t *act)
{
	change_wave(act, WWH_RECORD_WAVE_ABORT);
}

static void change_wave(act_t *act, wwh_record_kind_t kind)
{
	const char *wave = text_of(act, "wave");
	wwh_record_t record;

	wwh_record_init(&record, kind, act->author);
	wwh_record_set(&record.body.wave.wave, wave);
	submit(act, &record, "wave", wave);
}

static void rehearsal_start(act_t *act)
{
	const char *domain = text_of(act, "domain");
	char *id = new_id(act, "rehearsal");
	wwh_record_t record;
	int32_t index = 0;

	while (index < WWH_DOMAIN_COUNT &&
	       strcmp(wwh_domain_names[index], domain) != 0)
		index++;
	if (index == WWH_DOMAIN_COUNT) {
		refuse(act, 422, "the domain is worker, rack or zone");
	} else {
		wwh_record_init(&record, WWH_RECORD_REHEARSAL_START,
				act->author);
		wwh_record_set(&record.body.rehearsal.rehearsal, id);
		record.body.rehearsal.domain = index;
		wwh_record_set(&record.body.rehearsal.domain_id,
			       text_of(act, "id"));
		submit(act, &record, "rehearsal", id);
	}
	g_free(id);
}

static void rehearsal_stop(act_t *act)
{
	const char *id = text_of(act, "rehearsal");
	wwh_record_t record;

	wwh_record_init(&record, WWH_RECORD_REHEARSAL_END, act->author);
	wwh_record_set(&record.body.rehearsal.rehearsal, id);
	submit(act, &record, "rehearsal", id);
}

static void rehearsal_report(act_t *act)
{
	char *text = wwh_entry_fleet_rehearsal(act->entry->fleet,
					       text_of(act, "rehearsal"));

	if (text == NULL) {
		refuse(act, 404,
		       "this process did not lead it; ask the others");
		return;
	}
	wwh_answer_text(act->response, 200, "application/json", text);
	g_free(text);
}

/* A move is a wish in the inventory; the conductor carries it out. */
static void move_start(act_t *act)
{
	set_pool(act, text_of(act, "worker"), text_of(act, "pool"));
}

static void move_cancel(act_t *act)
{
	const char *worker = text_of(act, "move");
	wwh_worker_view_t view;
	char *pool = NULL;

	g_mutex_lock(&act->entry->state_lock);
	if (wwh_state_worker(act->entry->state, worker, &view))
		pool = g_strdup(*view.pool != '\0' ? view.pool
						   : view.move_from);
	g_mutex_unlock(&act->entry->state_lock);
	if (pool == NULL)
		refuse(act, 422, "no such worker");
	else
		set_pool(act, worker, pool);
	g_free(pool);
}

static void set_pool(act_t *act, const char *worker, const char *pool)
{
	wwh_config_t *config = wwh_entry_config(act->entry);
	wwh_config_change_t *change = NULL;
	wwh_record_t record;

	if (config != NULL)
		change = wwh_config_change_new_for_pool(config, worker, pool);
	if (change == NULL) {
		refuse(act, 422, "no such worker");
	} else {
		wwh_record_init(&record, WWH_RECORD_CONFIG, act->author);
		record.body.config.base_version = wwh_config_version(config);
		g_bytes_unref(record.body.config.change);
		record.body.config.change = wwh_config_change_encode(change);
		submit(act, &record, "move", worker);
		wwh_config_change_delete(change);
	}
	if (config != NULL)
		wwh_config_unref(config);
}

static void job_submit(act_t *act)
{
	const char *job = text_of(act, "job");
	wwh_record_t record;

	wwh_record_init(&record, WWH_RECORD_JOB_SUBMIT, act->author);
	wwh_record_set(&record.body.job_submit.job, job);
	wwh_record_set(&record.body.job_submit.pool, text_of(act, "pool"));
	wwh_record_set(&record.body.job_submit.team, text_of(act, "team"));
	record.body.job_submit.cores =
		(int32_t)number_of(act, "cores", 0, CORES_MAX, 1);
	record.body.job_submit.memory_mb =
		number_of(act, "memory_mb", 0, INT32_MAX, 1);
	record.body.job_submit.accelerators =
		(int32_t)number_of(act, "accelerators", 0, CORES_MAX, 0);
	record.body.job_submit.urgent = flag_of(act, "urgent");
	record.body.job_submit.idempotent = flag_of(act, "idempotent");
	submit(act, &record, "job", job);
}

static void job_cancel(act_t *act)
{
	const char *job = text_of(act, "job");
	wwh_record_t record;

	wwh_record_init(&record, WWH_RECORD_JOB_CANCEL, act->author);
	wwh_record_set(&record.body.job.job, job);
	submit(act, &record, "job", job);
}

/* "" when there is no such text. */
static const char *text_of(const act_t *act, const char *name)
{
	JsonNode *node = json_object_get_member(act->body, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return "";
	return json_node_get_string(node);
}

static int64_t number_of(const act_t *act, const char *name, int64_t least,
			 int64_t most, int64_t otherwise)
{
	JsonNode *node = json_object_get_member(act->body, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return otherwise;
	return CLAMP(json_node_get_int(node), least, most);
}

static bool flag_of(const act_t *act, const char *name)
{
	JsonNode *node = json_object_get_member(act->body, name);

	return node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == G_TYPE_BOOLEAN &&
	       json_node_get_boolean(node);
}

/*
 * The id comes from the operator's request id: an act whose answer was lost
 * and that is sent again gets the same id, and the reducer says "already".
 */
static char *new_id(const act_t *act, const char *what)
{
	const char *request_id = text_of(act, "request_id");

	if (*request_id != '\0' && strlen(request_id) < WWH_ID_BYTES_MAX / 2)
		return g_strdup_printf("%s-%s", what, request_id);
	return g_strdup_printf("%s-%" G_GINT64_FORMAT, what, g_get_real_time());
}

/* Submits, answers and clears record. */
static void submit(act_t *act, wwh_record_t *record, const char *what,
		   const char *id)
{
	wwh_submit_result_t submitted;

	wwh_entry_log_submit(act->entry->log, record, SUBMIT_LIMIT_MS,
			     &submitted);
	wwh_answer_submit_result(act->response, &submitted, what, id);
	wwh_record_clear(record);
}

static void refuse(act_t *act, int32_t status, const char *message)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	wwh_json_string(builder, "verdict", "refused");
	wwh_json_string(builder, "message", message);
	json_builder_end_object(builder);
	wwh_answer_json(act->response, status, builder);
}
