#include "commands.h"
#include "verbs.h"

#define START_PATH "/v1/rehearse/start"

static const wwh_verb_t verbs[] = {
	{ "worker",
	  START_PATH,
	  "domain",
	  "worker",
	  { "id" },
	  "lose one worker" },
	{ "rack", START_PATH, "domain", "rack", { "id" }, "lose a rack" },
	{ "zone",
	  START_PATH,
	  "domain",
	  "zone",
	  { "id" },
	  "lose an availability zone" },
	{ "stop",
	  "/v1/rehearse/stop",
	  NULL,
	  NULL,
	  { "rehearsal" },
	  "end the rehearsal now and restore the domain" },
	{ "report",
	  "/v1/rehearse/report",
	  NULL,
	  NULL,
	  { "rehearsal" },
	  "what was lost, how fast it came back, what callers saw" },
};

static void add_hold(JsonBuilder *builder, const char *verb, void *client_data);

int wwh_cmd_rehearse(int argc, char **argv)
{
	gint hold_s = 0;
	const GOptionEntry options[] = {
		{ "hold-s", 0, 0, G_OPTION_ARG_INT, &hold_s,
		  "how long the domain stays out", "N" },
		{ NULL },
	};
	const wwh_verb_command_t command = {
		.arguments = "VERB ARGUMENT",
		.verbs = verbs,
		.verb_count = G_N_ELEMENTS(verbs),
		.options = options,
		.add_options = add_hold,
		.client_data = &hold_s,
	};

	return wwh_verb_run(&command, argc, argv);
}

static void add_hold(JsonBuilder *builder, const char *verb, void *client_data)
{
	const gint *hold_s = client_data;

	(void)verb;
	wwh_verb_add_number(builder, "hold_s", *hold_s);
}
