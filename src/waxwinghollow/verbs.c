#include "verbs.h"

#include <stdio.h>
#include <string.h>

static char *build_summary(const wwh_verb_command_t *command);
static const wwh_verb_t *find_verb(const wwh_verb_command_t *command, int argc,
				   char **argv);
static int count_parameters(const wwh_verb_t *verb);
static char *build_body(const wwh_verb_command_t *command, const wwh_cli_t *cli,
			const wwh_verb_t *verb, char **arguments);
static int post_json(const wwh_cli_t *cli, const char *path, const char *body);

int wwh_verb_run(const wwh_verb_command_t *command, int argc, char **argv)
{
	char *summary = build_summary(command);
	const wwh_verb_t *verb = NULL;
	int code = WWH_EXIT_USAGE;
	wwh_cli_t cli;

	wwh_cli_init(&cli);
	if (wwh_cli_parse(&cli, &argc, &argv, command->arguments, summary,
			  command->options))
		verb = find_verb(command, argc, argv);
	if (verb != NULL) {
		char *body = build_body(command, &cli, verb, argv + 2);

		code = post_json(&cli, verb->path, body);
		g_free(body);
	}
	wwh_cli_finish(&cli);
	g_free(summary);
	return code;
}

void wwh_verb_add_string(JsonBuilder *builder, const char *name,
			 const char *value)
{
	if (value == NULL)
		return;
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

void wwh_verb_add_number(JsonBuilder *builder, const char *name, int64_t value)
{
	if (value == 0)
		return;
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

static char *build_summary(const wwh_verb_command_t *command)
{
	GString *text = g_string_new("Verbs:");

	for (int32_t i = 0; i < command->verb_count; i++) {
		const wwh_verb_t *verb = &command->verbs[i];
		GString *usage = g_string_new(verb->name);

		for (int j = 0; j < count_parameters(verb); j++) {
			char *upper = g_ascii_strup(verb->parameters[j], -1);

			g_string_append_printf(usage, " %s", upper);
			g_free(upper);
		}
		g_string_append_printf(text, "\n  %-24s %s", usage->str,
				       verb->summary);
		g_string_free(usage, TRUE);
	}
	return g_string_free(text, FALSE);
}

static const wwh_verb_t *find_verb(const wwh_verb_command_t *command, int argc,
				   char **argv)
{
	if (argc < 2) {
		fprintf(stderr, "%s: no verb, see --help\n", argv[0]);
		return NULL;
	}
	for (int32_t i = 0; i < command->verb_count; i++) {
		const wwh_verb_t *verb = &command->verbs[i];
		int expected = count_parameters(verb);

		if (strcmp(verb->name, argv[1]) != 0)
			continue;
		if (argc - 2 == expected)
			return verb;
		fprintf(stderr,
			"%s: %s has %d arguments, expected %d, see --help\n",
			argv[0], argv[1], argc - 2, expected);
		return NULL;
	}
	fprintf(stderr, "%s: unknown verb '%s', expected one of:", argv[0],
		argv[1]);
	for (int32_t i = 0; i < command->verb_count; i++)
		fprintf(stderr, "%s %s", i == 0 ? "" : ",",
			command->verbs[i].name);
	fprintf(stderr, "\n");
	return NULL;
}

static int count_parameters(const wwh_verb_t *verb)
{
	int count = 0;

	while (count < WWH_VERB_MAX_PARAMETERS &&
	       verb->parameters[count] != NULL)
		count++;
	return count;
}

static char *build_body(const wwh_verb_command_t *command, const wwh_cli_t *cli,
			const wwh_verb_t *verb, char **arguments)
{
	JsonBuilder *builder = json_builder_new_immutable();
	char *request_id = g_uuid_string_random();
	JsonNode *root;
	char *body;

	json_builder_begin_object(builder);
	wwh_verb_add_string(builder, "author", cli->author);
	wwh_verb_add_string(builder, "request_id", request_id);
	if (verb->fixed_key != NULL)
		wwh_verb_add_string(builder, verb->fixed_key,
				    verb->fixed_value);
	for (int i = 0; i < count_parameters(verb); i++)
		wwh_verb_add_string(builder, verb->parameters[i], arguments[i]);
	if (command->add_options != NULL)
		command->add_options(builder, verb->name, command->client_data);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	body = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	g_free(request_id);
	return body;
}

static int post_json(const wwh_cli_t *cli, const char *path, const char *body)
{
	const wwh_operator_request_t request = {
		.path = path,
		.content_type = "application/json",
		.body = body,
		.body_size = strlen(body),
	};
	wwh_operator_answer_t answer;
	wwh_message_t message = { "" };
	const char *server;
	wwh_status_t status =
		wwh_cli_call(cli, &request, &answer, &server, &message);
	int code;

	if (status != WWH_STATUS_OK)
		return wwh_cli_report_call_failure(status, &message);
	code = wwh_cli_print_answer(cli, &answer);
	wwh_operator_answer_clear(&answer);
	return code;
}
