#include "cli.h"
#include "commands.h"

int wwh_cmd_dump(int argc, char **argv)
{
	wwh_cli_t cli;
	const GOptionEntry extra[] = {
		{ "process", 0, 0, G_OPTION_ARG_STRING_ARRAY, &cli.servers,
		  "operator listener of the process to dump, as --server",
		  "IP:PORT" },
		{ NULL },
	};
	int code = WWH_EXIT_USAGE;

	wwh_cli_init(&cli);
	if (wwh_cli_parse(&cli, &argc, &argv, NULL,
			  "Prints the complete state of one entry process: "
			  "the first server that answers.",
			  extra) &&
	    wwh_cli_check_no_arguments(argc, argv))
		code = wwh_cli_get_and_print(&cli, "/v1/dump");
	wwh_cli_finish(&cli);
	return code;
}
