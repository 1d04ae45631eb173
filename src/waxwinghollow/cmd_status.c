#include "cli.h"
#include "commands.h"

int wwh_cmd_status(int argc, char **argv)
{
	wwh_cli_t cli;
	int code = WWH_EXIT_USAGE;

	wwh_cli_init(&cli);
	if (wwh_cli_parse(&cli, &argc, &argv, NULL,
			  "Shows processes, pools and waves as one entry "
			  "process sees them.",
			  NULL) &&
	    wwh_cli_no_arguments(argc, argv))
		code = wwh_cli_show(&cli, "/v1/status");
	wwh_cli_finish(&cli);
	return code;
}
