#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

#include "cli.h"
#include "commands.h"
#include "print_json.h"
#include "rollout.h"
#include "waxwinghollow/config.h"

#define DEFAULT_WAIT_MS 10000
#define OUTCOME_POLL_INTERVAL_MS 200
#define US_PER_MS 1000
#define HTTP_OK 200
#define HTTP_ACCEPTED 202
#define HTTP_CONFLICT 409

typedef struct {
	wwh_cli_t cli;
	char *inventory_path;
	char *rules_path;
	gint wait_ms;
	wwh_config_t *desired;
	wwh_config_t *in_force;
	const char *server; /* last one called */
	int64_t sent_us; /* monotonic */
} publish_t;

static bool parse_options(publish_t *publish, int *argc, char ***argv);
static int publish_files(publish_t *publish);
static int fetch_in_force(publish_t *publish);
static int decode_in_force(publish_t *publish,
			   const wwh_operator_answer_t *answer);
static bool is_desired_in_force(const publish_t *publish);
static int post_change(publish_t *publish);
static int handle_verdict(publish_t *publish,
			  const wwh_operator_answer_t *answer);
static void print_conflict(const publish_t *publish, JsonObject *object,
			   int64_t version);
static int poll_for_outcome(publish_t *publish);
static int wait_and_report(publish_t *publish, const char *verdict,
			   int64_t version);

int wwh_cmd_publish(int argc, char **argv)
{
	publish_t publish = { .wait_ms = DEFAULT_WAIT_MS };
	int code = WWH_EXIT_USAGE;

	wwh_cli_init(&publish.cli);
	if (parse_options(&publish, &argc, &argv)) {
		publish.desired = wwh_config_new();
		code = publish_files(&publish);
	}
	wwh_config_unref(publish.desired);
	wwh_config_unref(publish.in_force);
	g_free(publish.inventory_path);
	g_free(publish.rules_path);
	wwh_cli_finish(&publish.cli);
	return code;
}

static bool parse_options(publish_t *publish, int *argc, char ***argv)
{
	const GOptionEntry extra[] = {
		{ "inventory", 'i', 0, G_OPTION_ARG_FILENAME,
		  &publish->inventory_path,
		  "the asset register's export, JSON or CSV", "FILE" },
		{ "rules", 'r', 0, G_OPTION_ARG_FILENAME, &publish->rules_path,
		  "pools, services, teams, windows and rules", "FILE" },
		{ "wait-ms", 0, 0, G_OPTION_ARG_INT, &publish->wait_ms,
		  "time to wait in ms until it is in force everywhere "
		  "(default 10000)",
		  "N" },
		{ NULL },
	};
	const char *command = (*argv)[0];

	if (!wwh_cli_parse(&publish->cli, argc, argv, NULL,
			   "Checks both files, appends what differs from the "
			   "configuration in force,\nand waits until it is in "
			   "force on every entry process.",
			   extra) ||
	    !wwh_cli_check_no_arguments(*argc, *argv))
		return false;
	if (publish->inventory_path != NULL && publish->rules_path != NULL &&
	    publish->wait_ms >= 0)
		return true;
	fprintf(stderr,
		"%s: expected --inventory FILE, --rules FILE and --wait-ms of "
		"0 or more\n",
		command);
	return false;
}

static int publish_files(publish_t *publish)
{
	int code;

	if (wwh_config_load(publish->desired, publish->inventory_path,
			    publish->rules_path, wwh_cli_print_error,
			    NULL) != WWH_STATUS_OK)
		return WWH_EXIT_BAD_INPUT;
	code = fetch_in_force(publish);
	if (code != WWH_EXIT_OK)
		return code;
	publish->sent_us = g_get_monotonic_time();
	if (is_desired_in_force(publish))
		return wait_and_report(publish, "unchanged",
				       wwh_config_version(publish->in_force));
	return post_change(publish);
}

static int fetch_in_force(publish_t *publish)
{
	const wwh_operator_request_t request = { .path = "/v1/config" };
	wwh_operator_answer_t answer;
	wwh_message_t message = { "" };
	wwh_status_t status = wwh_cli_call(&publish->cli, &request, &answer,
					   &publish->server, &message);
	int code;

	if (status != WWH_STATUS_OK) {
		fprintf(stderr, "%s: not run\n", message.text);
		return WWH_EXIT_UNAVAILABLE;
	}
	code = decode_in_force(publish, &answer);
	wwh_operator_answer_clear(&answer);
	return code;
}

static int decode_in_force(publish_t *publish,
			   const wwh_operator_answer_t *answer)
{
	wwh_config_change_t *change = NULL;
	wwh_config_t *config = NULL;
	wwh_message_t message = { "" };
	wwh_status_t status;

	if (answer->http_status != HTTP_OK || answer->config_version < 0) {
		fprintf(stderr,
			"%s: no configuration from /v1/config, HTTP status "
			"%d: not run\n",
			publish->server, answer->http_status);
		return WWH_EXIT_UNAVAILABLE;
	}
	status = wwh_config_change_decode((const uint8_t *)answer->body,
					  answer->body_size, &change, &message);
	if (status == WWH_STATUS_OK)
		status = wwh_config_restore(change, answer->config_version,
					    &config, &message);
	wwh_config_change_delete(change);
	if (status != WWH_STATUS_OK) {
		fprintf(stderr, "%s: /v1/config: %s: not run\n",
			publish->server, message.text);
		return WWH_EXIT_FAILED;
	}
	wwh_config_unref(publish->in_force);
	publish->in_force = config;
	return WWH_EXIT_OK;
}

static bool is_desired_in_force(const publish_t *publish)
{
	wwh_config_change_t *change =
		wwh_config_diff(publish->in_force, publish->desired);
	bool same = wwh_config_change_count(change) == 0;

	wwh_config_change_delete(change);
	return same;
}

static int post_change(publish_t *publish)
{
	wwh_config_change_t *change =
		wwh_config_diff(publish->in_force, publish->desired);
	GBytes *body = wwh_config_change_encode(change);
	char *author = g_uri_escape_string(publish->cli.author, NULL, FALSE);
	char *path = g_strdup_printf(
		"/v1/publish?base=%" G_GINT64_FORMAT "&author=%s",
		wwh_config_version(publish->in_force), author);
	wwh_operator_request_t request = {
		.path = path,
		.content_type = "application/msgpack",
	};
	wwh_operator_answer_t answer;
	wwh_message_t message = { "" };
	wwh_status_t status;
	int code;

	request.body = g_bytes_get_data(body, &request.body_size);
	status = wwh_cli_call(&publish->cli, &request, &answer,
			      &publish->server, &message);
	if (status == WWH_STATUS_OK) {
		code = handle_verdict(publish, &answer);
		wwh_operator_answer_clear(&answer);
	} else if (status == WWH_STATUS_UNAVAILABLE) {
		code = wwh_cli_report_call_failure(status, &message);
	} else {
		fprintf(stderr, "%s: looking whether it was published\n",
			message.text);
		code = poll_for_outcome(publish);
	}
	g_free(path);
	g_free(author);
	g_bytes_unref(body);
	wwh_config_change_delete(change);
	return code;
}

static int handle_verdict(publish_t *publish,
			  const wwh_operator_answer_t *answer)
{
	JsonParser *parser = json_parser_new();
	JsonObject *object = NULL;
	int64_t version = -1;
	int code;

	if (answer->http_status == HTTP_ACCEPTED) {
		g_object_unref(parser);
		fprintf(stderr, "%s: looking whether it was published\n",
			publish->server);
		return poll_for_outcome(publish);
	}
	if (json_parser_load_from_data(parser, answer->body,
				       (gssize)answer->body_size, NULL) &&
	    json_parser_get_root(parser) != NULL &&
	    JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		object = json_node_get_object(json_parser_get_root(parser));
	if (object != NULL)
		version = json_object_get_int_member_with_default(
			object, "version", -1);
	if (answer->http_status == HTTP_OK && version > 0) {
		code = wait_and_report(publish, "accepted", version);
	} else {
		if (answer->http_status == HTTP_CONFLICT && object != NULL)
			print_conflict(publish, object, version);
		code = wwh_cli_print_answer(&publish->cli, answer);
		code = code == WWH_EXIT_OK ? WWH_EXIT_FAILED : code;
	}
	g_object_unref(parser);
	return code;
}

static void print_conflict(const publish_t *publish, JsonObject *object,
			   int64_t version)
{
	const char *author = json_object_get_string_member_with_default(
		object, "author", NULL);
	const char *message = json_object_get_string_member_with_default(
		object, "message", "");

	if (author != NULL)
		fprintf(stderr,
			"not published: someone else changed it: version "
			"%" G_GINT64_FORMAT " by %s",
			version, author);
	else
		fprintf(stderr, "not published: %s", message);
	fprintf(stderr,
		", the files were compared with version %" G_GINT64_FORMAT "\n",
		wwh_config_version(publish->in_force));
}

/*
 * Called when the answer was lost or left the outcome open: the change may have
 * been appended. It is not sent again; the configuration in force shows whether
 * it took effect.
 */
static int poll_for_outcome(publish_t *publish)
{
	int64_t end_us =
		g_get_monotonic_time() + (int64_t)publish->wait_ms * US_PER_MS;

	do {
		g_usleep(OUTCOME_POLL_INTERVAL_MS * US_PER_MS);
		if (fetch_in_force(publish) == WWH_EXIT_OK &&
		    is_desired_in_force(publish))
			return wait_and_report(
				publish, "accepted",
				wwh_config_version(publish->in_force));
	} while (g_get_monotonic_time() < end_us);
	fprintf(stderr,
		"%s; publishing the same files again is harmless: "
		"only what still differs is sent\n",
		wwh_exit_texts[WWH_EXIT_UNKNOWN]);
	return WWH_EXIT_UNKNOWN;
}

static int wait_and_report(publish_t *publish, const char *verdict,
			   int64_t version)
{
	const wwh_rollout_t rollout = {
		.cli = &publish->cli,
		.server = publish->server,
		.version = version,
		.start_us = publish->sent_us,
		.timeout_ms = publish->wait_ms,
	};
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	bool everywhere;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "verdict");
	json_builder_add_string_value(builder, verdict);
	json_builder_set_member_name(builder, "version");
	json_builder_add_int_value(builder, version);
	everywhere = wwh_rollout_wait(&rollout, builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	if (publish->cli.json) {
		char *text = json_to_string(root, FALSE);

		printf("%s\n", text);
		g_free(text);
	} else {
		wwh_print_json(root, stdout);
	}
	json_node_unref(root);
	g_object_unref(builder);
	if (!everywhere)
		fprintf(stderr, "%s\n", wwh_exit_texts[WWH_EXIT_INCOMPLETE]);
	return everywhere ? WWH_EXIT_OK : WWH_EXIT_INCOMPLETE;
}
