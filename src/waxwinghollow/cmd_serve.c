#include <glib.h>
#include <stdio.h>

#include "cli.h"
#include "commands.h"
#include "serve.h"
#include "waxwinghollow/settings.h"

int wwh_cmd_serve(int argc, char **argv)
{
	char *path = NULL;
	gboolean on_platform = FALSE;
	const GOptionEntry options[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		  "settings of this process", "FILE" },
		{ "platform", 'p', 0, G_OPTION_ARG_NONE, &on_platform,
		  "run the job service; FILE is a platform settings file "
		  "(default: the one that the platform names)",
		  NULL },
		{ NULL },
	};
	wwh_settings_t settings = { 0 };
	wwh_status_t status;
	int code;

	if (!wwh_cli_parse_without_server(&argc, &argv, "run one entry process",
					  options))
		return WWH_EXIT_USAGE;
	if (on_platform && argc == 1) {
		code = wwh_serve_platform(path);
		g_free(path);
		return code;
	}
	if (path == NULL || argc != 1) {
		fprintf(stderr,
			"serve: expected --settings FILE and no more\n");
		g_free(path);
		return WWH_EXIT_USAGE;
	}
	status = wwh_settings_load(path, &settings, wwh_cli_print_error, NULL);
	g_free(path);
	if (status != WWH_STATUS_OK)
		return WWH_EXIT_BAD_INPUT;
	code = wwh_serve(&settings);
	wwh_settings_clear(&settings);
	return code;
}
