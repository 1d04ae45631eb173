#ifndef WAXWINGHOLLOW_VERBS_H
#define WAXWINGHOLLOW_VERBS_H

/*
 * NAME
 *	verbs - commands of the shape "COMMAND VERB ARGUMENT..."
 *
 * USE
 *	Each verb is one POST of a JSON object to the operator listener. Every
 *	body has "author" and "request_id"; an entry process that is asked the
 *	same again with one request_id may tell it from a second wish.
 */

#include <glib.h>
#include <json-glib/json-glib.h>

#include "cli.h"

#define WWH_VERB_PARAMETERS 3

typedef struct {
	const char *name;
	const char *path;
	const char *fixed_key; /* a member that the verb itself says */
	const char *fixed_value;
	/* Members that the arguments give, in their order; then NULL */
	const char *parameters[WWH_VERB_PARAMETERS];
	const char *text; /* for --help */
} wwh_verb_t;

typedef struct {
	const char *arguments; /* for --help */
	const wwh_verb_t *verbs;
	int32_t verb_count;
	const GOptionEntry *options; /* besides the common ones; may be NULL */
	/* Adds what the options gave; may be NULL */
	void (*add_options)(JsonBuilder *builder, const char *verb,
			    void *client_data);
	void *client_data;
} wwh_verb_command_t;

/* Runs argv[1] as a verb; gives the exit code. */
int wwh_verb_run(const wwh_verb_command_t *command, int argc, char **argv);

/* Adds a member when value is not NULL, or not 0. */
void wwh_verb_add_text(JsonBuilder *builder, const char *name,
		       const char *value);
void wwh_verb_add_number(JsonBuilder *builder, const char *name, int64_t value);

#endif
