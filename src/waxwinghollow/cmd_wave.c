#include "commands.h"
#include "verbs.h"

static const wwh_verb_t verbs[] = {
	{ "plan",
	  "/v1/wave/plan",
	  NULL,
	  NULL,
	  { "pool" },
	  "batches, roll-out time, moves and buffer; changes nothing" },
	{ "start",
	  "/v1/wave/start",
	  NULL,
	  NULL,
	  { "pool" },
	  "start a wave in a pool, or \"*\" in all" },
	{ "pause",
	  "/v1/wave/pause",
	  NULL,
	  NULL,
	  { "wave" },
	  "take no more workers out" },
	{ "resume",
	  "/v1/wave/resume",
	  NULL,
	  NULL,
	  { "wave" },
	  "continue a paused wave" },
	{ "abort",
	  "/v1/wave/abort",
	  NULL,
	  NULL,
	  { "wave" },
	  "end a wave; workers already taken out are finished" },
};

int wwh_cmd_wave(int argc, char **argv)
{
	const wwh_verb_command_t command = {
		.arguments = "VERB ARGUMENT",
		.verbs = verbs,
		.verb_count = G_N_ELEMENTS(verbs),
	};

	return wwh_verb_run(&command, argc, argv);
}
