#include "cli.h"
#include "commands.h"

int wwh_cmd_status(int argc, char **argv)
{
	gboolean capacity = FALSE;
	const GOptionEntry options[] = {
		{ "capacity", 0, 0, G_OPTION_ARG_NONE, &capacity,
		  "of each pool: what is held back, for which failure, and "
		  "what holding less would cost",
		  NULL },
		{ NULL },
	};
	wwh_cli_t cli;
	int code = WWH_EXIT_USAGE;

	wwh_cli_init(&cli);
	if (wwh_cli_parse(&cli, &argc, &argv, NULL,
			  "Shows processes, pools and waves as one entry "
			  "process sees them.",
			  options) &&
	    wwh_cli_check_no_arguments(argc, argv))
		code = wwh_cli_get_and_print(&cli, capacity ? "/v1/capacity"
							    : "/v1/status");
	wwh_cli_finish(&cli);
	return code;
}
