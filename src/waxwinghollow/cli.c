#include "cli.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#include "print_json.h"
#include "waxwinghollow/settings.h"

#define DEFAULT_TIMEOUT_MS 5000
#define MAX_TIMEOUT_MS 3600000

enum {
	HTTP_OK = 200,
	HTTP_ACCEPTED = 202,
	HTTP_BAD_REQUEST = 400,
	HTTP_NOT_FOUND = 404,
	HTTP_CONFLICT = 409,
	HTTP_UNPROCESSABLE = 422,
	HTTP_UNAVAILABLE = 503
};

static bool parse_context(GOptionContext *context, int *argc, char ***argv);
static bool resolve_servers(wwh_cli_t *cli, const char *command);
static int exit_code_of(int32_t http_status);

void wwh_cli_init(wwh_cli_t *cli)
{
	*cli = (wwh_cli_t){ .timeout_ms = DEFAULT_TIMEOUT_MS };
}

void wwh_cli_finish(wwh_cli_t *cli)
{
	g_strfreev(cli->servers);
	g_free(cli->author);
}

bool wwh_cli_parse(wwh_cli_t *cli, int *argc, char ***argv,
		   const char *arguments, const char *summary,
		   const GOptionEntry *extra)
{
	const GOptionEntry common[] = {
		{ "server", 0, 0, G_OPTION_ARG_STRING_ARRAY, &cli->servers,
		  "operator listener of an entry process, repeated for several "
		  "(default: the variable " WWH_SERVER_VARIABLE
		  ", separated by commas)",
		  "IP:PORT" },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &cli->json,
		  "print JSON for scripts", NULL },
		{ "timeout-ms", 0, 0, G_OPTION_ARG_INT, &cli->timeout_ms,
		  "timeout of each call in ms (default 5000)", "N" },
		{ "author", 0, 0, G_OPTION_ARG_STRING, &cli->author,
		  "author of the change in the log (default: the user's name)",
		  "NAME" },
		{ NULL },
	};
	const char *command = (*argv)[0];
	GOptionContext *context = g_option_context_new(arguments);

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, common, NULL);
	if (extra != NULL)
		g_option_context_add_main_entries(context, extra, NULL);
	if (!parse_context(context, argc, argv))
		return false;
	if (cli->timeout_ms < 1 || cli->timeout_ms > MAX_TIMEOUT_MS) {
		fprintf(stderr, "%s: --timeout-ms is %d, expected 1 to %d\n",
			command, cli->timeout_ms, MAX_TIMEOUT_MS);
		return false;
	}
	if (cli->author == NULL)
		cli->author = g_strdup(g_get_user_name());
	return resolve_servers(cli, command);
}

bool wwh_cli_parse_without_server(int *argc, char ***argv, const char *summary,
				  const GOptionEntry *options)
{
	GOptionContext *context = g_option_context_new("[FILE...]");

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, options, NULL);
	return parse_context(context, argc, argv);
}

wwh_status_t wwh_cli_call(const wwh_cli_t *cli,
			  const wwh_operator_request_t *request,
			  wwh_operator_answer_t *answer, const char **server,
			  wwh_message_t *message)
{
	wwh_operator_options_t options = wwh_operator_options_defaults();
	wwh_status_t status = WWH_STATUS_UNAVAILABLE;

	options.timeout_ms = cli->timeout_ms;
	for (char **entry = cli->servers; *entry != NULL; entry++) {
		bool is_last = entry[1] == NULL;

		options.server = *entry;
		*server = *entry;
		status = wwh_operator_call(&options, request, answer, message);
		if (status == WWH_STATUS_OK &&
		    (answer->http_status != HTTP_UNAVAILABLE || is_last))
			return status;
		if (status == WWH_STATUS_OK)
			wwh_operator_answer_clear(answer);
		else if (status != WWH_STATUS_UNAVAILABLE &&
			 request->content_type != NULL)
			return status;
	}
	return status;
}

int wwh_cli_report_call_failure(wwh_status_t status,
				const wwh_message_t *message)
{
	fprintf(stderr, "%s: %s\n", message->text,
		status == WWH_STATUS_UNKNOWN
			? "the outcome is unknown, look before repeating"
			: "not run");
	return status == WWH_STATUS_UNKNOWN ? WWH_EXIT_UNKNOWN
					    : WWH_EXIT_UNAVAILABLE;
}

int wwh_cli_print_answer(const wwh_cli_t *cli,
			 const wwh_operator_answer_t *answer)
{
	int code = exit_code_of(answer->http_status);
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;

	if (json_parser_load_from_data(parser, answer->body,
				       (gssize)answer->body_size, NULL))
		root = json_parser_get_root(parser);
	if (root == NULL) {
		fprintf(stderr, "HTTP status %d, answer is not JSON: %.200s\n",
			answer->http_status, answer->body);
		code = code == WWH_EXIT_OK ? WWH_EXIT_FAILED : code;
	} else if (cli->json) {
		printf("%s\n", answer->body);
	} else {
		wwh_print_json(root, stdout);
	}
	g_object_unref(parser);
	if (code != WWH_EXIT_OK)
		fprintf(stderr, "%s\n", wwh_exit_texts[code]);
	return code;
}

int wwh_cli_get_and_print(const wwh_cli_t *cli, const char *path)
{
	const wwh_operator_request_t request = { .path = path };
	wwh_operator_answer_t answer;
	wwh_message_t message = { "" };
	const char *server;
	wwh_status_t status =
		wwh_cli_call(cli, &request, &answer, &server, &message);
	int code;

	if (status != WWH_STATUS_OK) {
		fprintf(stderr, "%s\n", message.text);
		return WWH_EXIT_UNAVAILABLE;
	}
	code = wwh_cli_print_answer(cli, &answer);
	wwh_operator_answer_clear(&answer);
	return code;
}

bool wwh_cli_check_no_arguments(int argc, char **argv)
{
	if (argc == 1)
		return true;
	fprintf(stderr, "%s: unexpected argument '%s', see --help\n", argv[0],
		argv[1]);
	return false;
}

void wwh_cli_print_error(const char *file, int32_t line, const char *text,
			 void *unused)
{
	(void)unused;
	if (line > 0)
		fprintf(stderr, "%s:%d: %s\n", file, line, text);
	else
		fprintf(stderr, "%s: %s\n", file, text);
}

static bool parse_context(GOptionContext *context, int *argc, char ***argv)
{
	GError *error = NULL;
	bool ok = g_option_context_parse(context, argc, argv, &error);

	if (!ok) {
		fprintf(stderr, "%s: %s, see --help\n", (*argv)[0],
			error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return ok;
}

static bool resolve_servers(wwh_cli_t *cli, const char *command)
{
	const char *variable = g_getenv(WWH_SERVER_VARIABLE);

	if (cli->servers == NULL && variable != NULL)
		cli->servers = g_strsplit(variable, ",", -1);
	if (cli->servers == NULL || cli->servers[0] == NULL) {
		fprintf(stderr,
			"%s: no server, expected --server IP:PORT or the "
			"variable " WWH_SERVER_VARIABLE "\n",
			command);
		return false;
	}
	for (char **entry = cli->servers; *entry != NULL; entry++) {
		char *address;
		int32_t port;

		if (!wwh_endpoint_split(*entry, &address, &port)) {
			fprintf(stderr, "%s: server '%s', expected IP:PORT\n",
				command, *entry);
			return false;
		}
		g_free(address);
	}
	return true;
}

static int exit_code_of(int32_t http_status)
{
	switch (http_status) {
	case HTTP_OK:
		return WWH_EXIT_OK;
	case HTTP_ACCEPTED:
		return WWH_EXIT_UNKNOWN;
	case HTTP_BAD_REQUEST:
	case HTTP_NOT_FOUND:
	case HTTP_UNPROCESSABLE:
		return WWH_EXIT_BAD_INPUT;
	case HTTP_CONFLICT:
		return WWH_EXIT_CONFLICT;
	case HTTP_UNAVAILABLE:
		return WWH_EXIT_UNAVAILABLE;
	default:
		return WWH_EXIT_FAILED;
	}
}
