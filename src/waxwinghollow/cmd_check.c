#include <glib.h>
#include <stdio.h>

#include "cli.h"
#include "commands.h"
#include "node_file.h"
#include "waxwinghollow/chart.h"
#include "waxwinghollow/config.h"
#include "waxwinghollow/input_file.h"
#include "waxwinghollow/settings.h"

static int check_platform_settings(char **paths);
static int check_files(char **paths);
static bool classify_files(char **paths, GPtrArray *settings,
			   const char **inventory, const char **rules,
			   bool *usage_error);
static bool set_once(const char **slot, const char *path,
		     wwh_input_kind_t kind);
static bool check_settings(const GPtrArray *paths);
static bool check_config(const char *inventory, const char *rules);
static bool check_charts(void);

int wwh_cmd_check(int argc, char **argv)
{
	gboolean platform = FALSE;
	const GOptionEntry options[] = {
		{ "platform", 'p', 0, G_OPTION_ARG_NONE, &platform,
		  "each FILE is a platform settings file", NULL },
		{ NULL }
	};

	if (!wwh_cli_parse_without_server(
		    &argc, &argv,
		    "Checks settings, an inventory (JSON or CSV) and rules "
		    "without starting\nanything, and the state charts of this "
		    "binary. Reports every error.",
		    options))
		return WWH_EXIT_USAGE;
	if (argc < 2) {
		fprintf(stderr, "check: no file, expected FILE...\n");
		return WWH_EXIT_USAGE;
	}
	return platform ? check_platform_settings(argv + 1)
			: check_files(argv + 1);
}

static int check_platform_settings(char **paths)
{
	bool ok = true;

	for (; *paths != NULL; paths++) {
		wwh_host_settings_t settings;

		if (node_file_load(*paths, &settings, wwh_cli_print_error,
				   NULL) != WWH_STATUS_OK) {
			ok = false;
			continue;
		}
		printf("%s: platform settings of process %s\n", *paths,
		       settings.name);
		wwh_host_settings_clear(&settings);
	}
	return ok ? WWH_EXIT_OK : WWH_EXIT_BAD_INPUT;
}

static int check_files(char **paths)
{
	GPtrArray *settings = g_ptr_array_new();
	const char *inventory = NULL;
	const char *rules = NULL;
	bool usage_error = false;
	bool ok = classify_files(paths, settings, &inventory, &rules,
				 &usage_error);

	if (!usage_error) {
		ok = check_settings(settings) && ok;
		ok = check_config(inventory, rules) && ok;
		ok = check_charts() && ok;
	}
	g_ptr_array_free(settings, TRUE);
	if (usage_error)
		return WWH_EXIT_USAGE;
	return ok ? WWH_EXIT_OK : WWH_EXIT_BAD_INPUT;
}

/* Sets *usage_error when two files are inventories, or two are rules. */
static bool classify_files(char **paths, GPtrArray *settings,
			   const char **inventory, const char **rules,
			   bool *usage_error)
{
	bool ok = true;

	for (; *paths != NULL; paths++) {
		wwh_input_kind_t kind;

		if (wwh_input_file_kind(*paths, &kind, wwh_cli_print_error,
					NULL) != WWH_STATUS_OK) {
			ok = false;
			continue;
		}
		if (kind == WWH_INPUT_SETTINGS)
			g_ptr_array_add(settings, *paths);
		else if (kind == WWH_INPUT_INVENTORY)
			*usage_error = !set_once(inventory, *paths, kind) ||
				       *usage_error;
		else
			*usage_error =
				!set_once(rules, *paths, kind) || *usage_error;
	}
	return ok;
}

static bool set_once(const char **slot, const char *path, wwh_input_kind_t kind)
{
	if (*slot == NULL) {
		*slot = path;
		return true;
	}
	fprintf(stderr, "check: %s and %s are both %s, expected one\n", *slot,
		path, wwh_input_kind_names[kind]);
	return false;
}

static bool check_settings(const GPtrArray *paths)
{
	bool ok = true;

	for (guint i = 0; i < paths->len; i++) {
		const char *path = g_ptr_array_index(paths, i);
		wwh_settings_t settings;

		if (wwh_settings_load(path, &settings, wwh_cli_print_error,
				      NULL) != WWH_STATUS_OK) {
			ok = false;
			continue;
		}
		printf("%s: settings of process %s\n", path,
		       settings.process_id);
		wwh_settings_clear(&settings);
	}
	return ok;
}

static bool check_config(const char *inventory, const char *rules)
{
	wwh_config_t *config;
	bool ok;

	if (inventory == NULL && rules == NULL)
		return true;
	config = wwh_config_new();
	ok = wwh_config_load(config, inventory, rules, wwh_cli_print_error,
			     NULL) == WWH_STATUS_OK;
	if (ok && inventory != NULL)
		printf("%s: inventory of %d workers, %d minions\n", inventory,
		       wwh_config_worker_count(config),
		       wwh_config_minion_count(config));
	if (ok && rules != NULL)
		printf("%s: rules of %d pools, %d services, %d teams, "
		       "%d windows\n",
		       rules, wwh_config_pool_count(config),
		       wwh_config_service_count(config),
		       wwh_config_team_count(config),
		       wwh_config_window_count(config));
	if (ok && rules == NULL)
		printf("%s: references to pools and services were not "
		       "checked, expected a rules file as well\n",
		       inventory);
	wwh_config_unref(config);
	return ok;
}

static bool check_charts(void)
{
	bool ok = true;

	for (int32_t i = 0; i < wwh_chart_builtin_count(); i++) {
		const char *name = wwh_chart_builtin_name(i);
		wwh_message_t message = { "" };
		wwh_chart_t *chart;

		if (wwh_chart_load(name, NULL, &chart, &message) ==
		    WWH_STATUS_OK) {
			wwh_chart_delete(chart);
			continue;
		}
		fprintf(stderr, "charts/%s.json: %s\n", name, message.text);
		ok = false;
	}
	return ok;
}
