#include <string.h>

#include "commands.h"
#include "verbs.h"

typedef struct {
	char *team;
	char *group;
	gint cores;
	gint64 memory_mb;
	gint accelerators;
	gboolean urgent;
	gboolean idempotent;
} job_options_t;

static const wwh_verb_t verbs[] = {
	{ "submit",
	  "/v1/job/submit",
	  NULL,
	  NULL,
	  { "job", "pool" },
	  "submit a job; repeating an id submits no second job" },
	{ "cancel", "/v1/job/cancel", NULL, NULL, { "job" }, "stop a job" },
};

static void add_job_members(JsonBuilder *builder, const char *verb,
			    void *client_data);
static void add_flag(JsonBuilder *builder, const char *name, gboolean value);

int wwh_cmd_job(int argc, char **argv)
{
	job_options_t job = { .cores = 1, .memory_mb = 256 };
	const GOptionEntry options[] = {
		{ "team", 0, 0, G_OPTION_ARG_STRING, &job.team,
		  "team whose quota the job counts against", "ID" },
		{ "group", 0, 0, G_OPTION_ARG_STRING, &job.group,
		  "group whose jobs are spread over zones", "ID" },
		{ "cores", 0, 0, G_OPTION_ARG_INT, &job.cores, "default 1",
		  "N" },
		{ "memory-mb", 0, 0, G_OPTION_ARG_INT64, &job.memory_mb,
		  "default 256", "N" },
		{ "accelerators", 0, 0, G_OPTION_ARG_INT, &job.accelerators,
		  "default 0", "N" },
		{ "urgent", 0, 0, G_OPTION_ARG_NONE, &job.urgent,
		  "has priority over other jobs", NULL },
		{ "idempotent", 0, 0, G_OPTION_ARG_NONE, &job.idempotent,
		  "may run twice (default: at most once)", NULL },
		{ NULL },
	};
	const wwh_verb_command_t command = {
		.arguments = "VERB ARGUMENT...",
		.verbs = verbs,
		.verb_count = G_N_ELEMENTS(verbs),
		.options = options,
		.add_options = add_job_members,
		.client_data = &job,
	};
	int code = wwh_verb_run(&command, argc, argv);

	g_free(job.team);
	g_free(job.group);
	return code;
}

static void add_job_members(JsonBuilder *builder, const char *verb,
			    void *client_data)
{
	const job_options_t *job = client_data;

	if (strcmp(verb, "submit") != 0)
		return;
	wwh_verb_add_string(builder, "team", job->team);
	wwh_verb_add_string(builder, "group", job->group);
	wwh_verb_add_number(builder, "cores", job->cores);
	wwh_verb_add_number(builder, "memory_mb", job->memory_mb);
	wwh_verb_add_number(builder, "accelerators", job->accelerators);
	add_flag(builder, "urgent", job->urgent);
	add_flag(builder, "idempotent", job->idempotent);
}

static void add_flag(JsonBuilder *builder, const char *name, gboolean value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_boolean_value(builder, value);
}
