#include "commands.h"
#include "verbs.h"

static const wwh_verb_t verbs[] = {
	{ "start",
	  "/v1/move/start",
	  NULL,
	  NULL,
	  { "worker", "pool" },
	  "move a worker to another pool" },
	{ "cancel",
	  "/v1/move/cancel",
	  NULL,
	  NULL,
	  { "move" },
	  "cancel a move before the worker has joined the other pool" },
};

int wwh_cmd_move(int argc, char **argv)
{
	const wwh_verb_command_t command = {
		.arguments = "VERB ARGUMENT...",
		.verbs = verbs,
		.verb_count = G_N_ELEMENTS(verbs),
	};

	return wwh_verb_run(&command, argc, argv);
}
