/*
 * bench_load - the decisions under load, on a virtual clock, against
 * baselines. Options: --seed N, --pattern TEXT, --policy TEXT,
 * --series. The same seed
 * gives the same output.
 */

#include <stdlib.h>

#include "include/baseline.h"
#include "include/dispatch_policy.h"
#include "include/patterns.h"
#include "include/report.h"

#define DEFAULT_SEED 1

static const policy_t policies[] = {
	{ "fifo-rr", fifo_rr_make, baseline_arrive, baseline_cancel,
	  baseline_finished, baseline_tick, NULL, baseline_delete },
	{ "least-conn", least_conn_make, baseline_arrive, baseline_cancel,
	  baseline_finished, baseline_tick, NULL, baseline_delete },
	{ "cooldown", cooldown_make, baseline_arrive, baseline_cancel,
	  baseline_finished, baseline_tick, NULL, baseline_delete },
	{ "seats-only", dispatch_make, dispatch_arrive, dispatch_cancel,
	  dispatch_finished, dispatch_tick, NULL, dispatch_policy_delete },
	{ "dispatch", dispatch_make, dispatch_arrive, dispatch_cancel,
	  dispatch_finished, dispatch_tick, dispatch_gossip,
	  dispatch_policy_delete },
};

int main(int argc, char **argv)
{
	gint seed = DEFAULT_SEED;
	gchar *only_pattern = NULL;
	gchar *only_policy = NULL;
	gboolean series = FALSE;
	const GOptionEntry entries[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "random seed", "N" },
		{ "pattern", 0, 0, G_OPTION_ARG_STRING, &only_pattern,
		  "only patterns with this text in their name", "TEXT" },
		{ "policy", 0, 0, G_OPTION_ARG_STRING, &only_policy,
		  "only this policy", "TEXT" },
		{ "series", 0, 0, G_OPTION_ARG_NONE, &series,
		  "show each second, too", NULL },
		{ NULL }
	};
	GOptionContext *context = g_option_context_new(NULL);

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return EXIT_FAILURE;
	g_option_context_free(context);
	printf("seed %d\n", seed);
	report_header();
	for (guint i = 0; i < G_N_ELEMENTS(patterns); i++) {
		pattern_t pattern = pattern_whole(&patterns[i]);

		if (only_pattern != NULL &&
		    strstr(patterns[i].name, only_pattern) == NULL)
			continue;
		for (guint k = 0; k < G_N_ELEMENTS(policies); k++) {
			sim_result_t result;

			if (only_policy != NULL &&
			    strcmp(policies[k].name, only_policy) != 0)
				continue;
			result =
				sim_run(&pattern, &policies[k], (uint32_t)seed);
			report_line(&pattern, policies[k].name, &result);
			if (series)
				report_series(&pattern, &result);
			g_array_free(result.latency, TRUE);
			g_array_free(result.refusal, TRUE);
			fflush(stdout);
		}
	}
	g_free(only_pattern);
	g_free(only_policy);
	return EXIT_SUCCESS;
}
