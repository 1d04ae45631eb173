/*
 * The soak's options and the course of one run: start, faults under traffic,
 * then time without faults in which every accepted job has to end.
 */
#include "soak.h"

#include <stdio.h>
#include <string.h>

#define LEAD_MS 3000

static void start_traffic(void *data)
{
	(void)data;
	soak_record("clients begin");
	soak_clients_start();
	soak_check_lasting_start();
}

static void end_traffic(void *data)
{
	(void)data;
	soak_record("traffic and faults end");
	soak_faults_stop();
	soak_clients_stop_submitting();
}

static void finish(void *data)
{
	(void)data;
	soak_check_runs_at_end();
	soak_check_jobs_at_end();
	soak_stop();
}

static bool find_plant(const char *name, soak_options_t *options)
{
	for (int32_t i = 0; i < SOAK_PLANT_COUNT; i++) {
		if (strcmp(soak_plant_names[i], name) != 0)
			continue;
		options->plant = (soak_plant_t)i;
		/* else such an order is answered with "fence" */
		if (i == SOAK_PLANT_HIGHER_TOKEN)
			options->unfenced = true;
		return true;
	}
	return false;
}

/* Returns the exit status. */
static int run(const soak_options_t *options, const char *record_path)
{
	int64_t end_ms = LEAD_MS + options->seconds * 1000;

	soak_init(options, record_path);
	soak_store_start();
	soak_hosts_start();
	soak_gangs_start();
	soak_upstreams_start();
	if (!soak_faults_start())
		return 2;
	soak_processes_start();
	soak_after(LEAD_MS, start_traffic, NULL);
	soak_after(end_ms, end_traffic, NULL);
	soak_after(end_ms + options->finish_s * 1000, finish, NULL);
	soak_loop();
	soak_processes_end();
	soak_record("seed %d: %d promises broken", options->seed, soak.broken);
	printf("soak: seed %d, %d processes, %d upstreams, %d s: %d broken%s\n",
	       options->seed, options->processes, options->upstreams,
	       options->seconds, soak.broken, soak_broken_rules());
	/* the sanitizers' check of leaks may end the process before that */
	fflush(stdout);
	return soak.broken > 0 ? 1 : 0;
}

int main(int argc, char **argv)
{
	static soak_options_t options = {
		.seed = 1,
		.processes = 5,
		.upstreams = 24,
		.seconds = 20,
		.jobs_per_s = 10,
		.finish_s = 14,
		.program = WWH_BINARY_DIR "/waxwinghollow",
	};
	static char *record_path;
	static char *plant;
	static const GOptionEntry entries[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT, &options.seed,
		  "what the faults are drawn from", "N" },
		{ "processes", 0, 0, G_OPTION_ARG_INT, &options.processes,
		  "of the system", "N" },
		{ "upstreams", 0, 0, G_OPTION_ARG_INT, &options.upstreams, NULL,
		  "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds,
		  "of traffic and faults", "S" },
		{ "jobs", 0, 0, G_OPTION_ARG_INT, &options.jobs_per_s,
		  "a second", "N" },
		{ "faults", 0, 0, G_OPTION_ARG_STRING, &options.faults,
		  "names, joined by commas, or none", "LIST" },
		{ "program", 0, 0, G_OPTION_ARG_FILENAME, &options.program,
		  "the system's program", "PATH" },
		{ "logs", 0, 0, G_OPTION_ARG_FILENAME, &options.directory,
		  "keep the processes' logs there", "DIR" },
		{ "record", 0, 0, G_OPTION_ARG_FILENAME, &record_path,
		  "where to write what was seen; else standard output",
		  "FILE" },
		{ "finish", 0, 0, G_OPTION_ARG_INT, &options.finish_s,
		  "without faults, until all jobs have to have ended", "S" },
		{ "unfenced", 0, 0, G_OPTION_ARG_NONE, &options.unfenced,
		  "hosts take orders with any token", NULL },
		{ "plant", 0, 0, G_OPTION_ARG_STRING, &plant,
		  "a fault of a stand-in, which has to be found", "NAME" },
		{ "no-born", 0, 0, G_OPTION_ARG_NONE, &options.no_born,
		  "upstreams don't tell when they were started", NULL },
		{ NULL },
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "soak: %s\n", error->message);
		return 2;
	}
	g_option_context_free(context);
	if (plant != NULL && !find_plant(plant, &options)) {
		fprintf(stderr, "soak: no planted fault \"%s\"\n", plant);
		return 2;
	}
	if (options.processes < 1 || options.upstreams < 1 ||
	    options.seconds < 1 || options.jobs_per_s < 1 ||
	    options.finish_s < 1) {
		fprintf(stderr, "soak: numbers have to be positive\n");
		return 2;
	}
	return run(&options, record_path);
}
