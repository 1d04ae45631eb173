#include "rollout.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define POLL_INTERVAL_MS 20
#define CALL_TIMEOUT_MS 1000
#define US_PER_MS 1000

typedef struct {
	char *process;
	char *address; /* operator listener, "" while unknown */
	int64_t version; /* -1 until the process has answered */
	bool listed; /* in this poll */
	bool queried; /* in this poll */
	char *note; /* why the last query failed, or NULL */
} member_t;

static void member_free(gpointer data);
static JsonParser *fetch_status(const wwh_cli_t *cli, const char *address,
				wwh_message_t *message);
static bool refresh_members(const wwh_cli_t *cli, const char *server,
			    GPtrArray *members);
static bool refresh_from_server(const wwh_cli_t *cli, const char *server,
				GPtrArray *members);
static void mark_unanswered(GPtrArray *members, const char *address,
			    const wwh_message_t *message);
static void set_note(member_t *member, const char *note);
static void mark_listed(GPtrArray *members, JsonArray *listed);
static member_t *find_or_add(GPtrArray *members, const char *process,
			     const char *address);
static bool has_left(const char *state);
static void query_member(const wwh_cli_t *cli, member_t *member);
static int32_t count_in_force(const GPtrArray *members, int64_t version);
static void print_progress(const GPtrArray *members, int64_t version);
static void add_result(const GPtrArray *members, int64_t version,
		       bool everywhere, JsonBuilder *builder);
static const char *string_member(JsonObject *object, const char *name);

bool wwh_rollout_wait(const wwh_rollout_t *rollout, JsonBuilder *builder)
{
	const wwh_cli_t *cli = rollout->cli;
	const int64_t version = rollout->version;
	int64_t end_us =
		g_get_monotonic_time() + rollout->timeout_ms * US_PER_MS;
	GPtrArray *members = g_ptr_array_new_with_free_func(member_free);
	bool everywhere = false;

	for (;;) {
		bool listed = refresh_members(cli, rollout->server, members);

		for (guint i = 0; i < members->len; i++) {
			member_t *member = g_ptr_array_index(members, i);

			if (member->version < version && !member->queried)
				query_member(cli, member);
		}
		print_progress(members, version);
		everywhere = listed && members->len > 0 &&
			     count_in_force(members, version) ==
				     (int32_t)members->len;
		if (everywhere || g_get_monotonic_time() >= end_us)
			break;
		g_usleep(POLL_INTERVAL_MS * US_PER_MS);
	}
	if (isatty(STDERR_FILENO))
		fprintf(stderr, "\n");
	json_builder_set_member_name(builder, "rollout_ms");
	json_builder_add_int_value(
		builder,
		(g_get_monotonic_time() - rollout->start_us) / US_PER_MS);
	add_result(members, version, everywhere, builder);
	g_ptr_array_unref(members);
	return everywhere;
}

static void member_free(gpointer data)
{
	member_t *member = data;

	g_free(member->process);
	g_free(member->address);
	g_free(member->note);
	g_free(member);
}

/* Returns NULL and sets message unless the answer is a JSON object with 200. */
static JsonParser *fetch_status(const wwh_cli_t *cli, const char *address,
				wwh_message_t *message)
{
	const wwh_operator_request_t request = { .path = "/v1/status" };
	wwh_operator_options_t options = wwh_operator_options_defaults();
	JsonParser *parser = json_parser_new_immutable();
	wwh_operator_answer_t answer = { 0 };
	bool ok = false;

	options.server = address;
	options.timeout_ms = MIN(cli->timeout_ms, CALL_TIMEOUT_MS);
	if (wwh_operator_call(&options, &request, &answer, message) ==
	    WWH_STATUS_OK) {
		ok = answer.http_status == 200 &&
		     json_parser_load_from_data(parser, answer.body,
						(gssize)answer.body_size,
						NULL) &&
		     json_parser_get_root(parser) != NULL &&
		     JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser));
		if (!ok)
			wwh_message_set(message, "%s: HTTP status %d", address,
					answer.http_status);
	}
	wwh_operator_answer_clear(&answer);
	if (ok)
		return parser;
	g_object_unref(parser);
	return NULL;
}

/*
 * Queries all servers of the command line, not only the one that accepted the
 * change: just after its start that process may not know its peers yet, and the
 * version would count as in force everywhere when only that process has it.
 * Removes members that are no longer listed. Returns false, and removes none,
 * if no server answers.
 */
static bool refresh_members(const wwh_cli_t *cli, const char *server,
			    GPtrArray *members)
{
	bool answered = false;

	for (guint i = 0; i < members->len; i++) {
		member_t *member = g_ptr_array_index(members, i);

		member->listed = false;
		member->queried = false;
	}
	answered = refresh_from_server(cli, server, members);
	for (char **other = cli->servers; *other != NULL; other++) {
		if (strcmp(*other, server) != 0)
			answered = refresh_from_server(cli, *other, members) ||
				   answered;
	}
	if (!answered)
		return false;
	for (guint i = members->len; i > 0; i--) {
		if (!((member_t *)g_ptr_array_index(members, i - 1))->listed)
			g_ptr_array_remove_index(members, i - 1);
	}
	return true;
}

/* A server that doesn't answer is a member only if another server lists it. */
static bool refresh_from_server(const wwh_cli_t *cli, const char *server,
				GPtrArray *members)
{
	wwh_message_t message;
	JsonParser *parser = fetch_status(cli, server, &message);
	JsonObject *status;
	JsonNode *listed;
	member_t *self;

	if (parser == NULL) {
		mark_unanswered(members, server, &message);
		return false;
	}
	status = json_node_get_object(json_parser_get_root(parser));
	self = find_or_add(members, string_member(status, "process"), server);
	self->listed = true;
	self->queried = true;
	set_note(self, NULL);
	self->version = json_object_get_int_member_with_default(
		status, "config_version", -1);
	listed = json_object_get_member(status, "members");
	if (listed != NULL && JSON_NODE_HOLDS_ARRAY(listed))
		mark_listed(members, json_node_get_array(listed));
	g_object_unref(parser);
	return true;
}

/*
 * Records the failure for the member at an address that didn't answer, and marks
 * it as queried, so that this poll doesn't wait for its timeout a second time.
 */
static void mark_unanswered(GPtrArray *members, const char *address,
			    const wwh_message_t *message)
{
	for (guint i = 0; i < members->len; i++) {
		member_t *member = g_ptr_array_index(members, i);

		if (strcmp(member->address, address) != 0)
			continue;
		member->queried = true;
		set_note(member, message->text);
	}
}

static void set_note(member_t *member, const char *note)
{
	g_free(member->note);
	member->note = g_strdup(note);
}

static void mark_listed(GPtrArray *members, JsonArray *listed)
{
	for (guint i = 0; i < json_array_get_length(listed); i++) {
		JsonNode *node = json_array_get_element(listed, i);
		JsonObject *object;

		if (!JSON_NODE_HOLDS_OBJECT(node))
			continue;
		object = json_node_get_object(node);
		if (has_left(string_member(object, "state")))
			continue;
		find_or_add(members, string_member(object, "process"),
			    string_member(object, "operator_address"))
			->listed = true;
	}
}

/* The address of a member is the first known one; later ones are ignored. */
static member_t *find_or_add(GPtrArray *members, const char *process,
			     const char *address)
{
	member_t *member = NULL;

	for (guint i = 0; i < members->len && member == NULL; i++) {
		member = g_ptr_array_index(members, i);
		if (strcmp(member->process, process) != 0)
			member = NULL;
	}
	if (member == NULL) {
		member = g_new0(member_t, 1);
		member->process = g_strdup(process);
		member->address = g_strdup("");
		member->version = -1;
		g_ptr_array_add(members, member);
	}
	if (*member->address == '\0') {
		g_free(member->address);
		member->address = g_strdup(address);
	}
	return member;
}

static bool has_left(const char *state)
{
	static const char *const states[] = { "gone", "left", "dead", NULL };

	return g_strv_contains(states, state);
}

static void query_member(const wwh_cli_t *cli, member_t *member)
{
	wwh_message_t message = { "" };
	JsonParser *parser;
	JsonObject *status;

	member->queried = true;
	if (*member->address == '\0') {
		set_note(member, "listed without an operator address, and no "
				 "--server answers as it");
		return;
	}
	parser = fetch_status(cli, member->address, &message);
	if (parser == NULL) {
		set_note(member, message.text);
		return;
	}
	set_note(member, NULL);
	status = json_node_get_object(json_parser_get_root(parser));
	/* The address may have been reassigned to another process. */
	if (strcmp(string_member(status, "process"), member->process) != 0)
		set_note(member, "another process answers there");
	else
		member->version = json_object_get_int_member_with_default(
			status, "config_version", -1);
	g_object_unref(parser);
}

static int32_t count_in_force(const GPtrArray *members, int64_t version)
{
	int32_t count = 0;

	for (guint i = 0; i < members->len; i++) {
		const member_t *member = g_ptr_array_index(members, i);

		count += member->version >= version ? 1 : 0;
	}
	return count;
}

static void print_progress(const GPtrArray *members, int64_t version)
{
	if (!isatty(STDERR_FILENO))
		return;
	fprintf(stderr,
		"\rversion %" G_GINT64_FORMAT
		" is in force on %d of %u entry processes",
		version, count_in_force(members, version), members->len);
	(void)fflush(stderr);
}

static void add_result(const GPtrArray *members, int64_t version,
		       bool everywhere, JsonBuilder *builder)
{
	json_builder_set_member_name(builder, "in_force_everywhere");
	json_builder_add_boolean_value(builder, everywhere);
	json_builder_set_member_name(builder, "processes");
	json_builder_begin_array(builder);
	for (guint i = 0; i < members->len; i++) {
		const member_t *member = g_ptr_array_index(members, i);

		json_builder_begin_object(builder);
		json_builder_set_member_name(builder, "process");
		json_builder_add_string_value(builder, member->process);
		json_builder_set_member_name(builder, "operator_address");
		json_builder_add_string_value(builder, member->address);
		json_builder_set_member_name(builder, "in_force");
		json_builder_add_boolean_value(builder,
					       member->version >= version);
		json_builder_set_member_name(builder, "config_version");
		json_builder_add_int_value(builder, member->version);
		json_builder_set_member_name(builder, "note");
		json_builder_add_string_value(
			builder, member->note == NULL ? "" : member->note);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

/* Returns "" if the member is absent or not a string. */
static const char *string_member(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return "";
	return json_node_get_string(node);
}
