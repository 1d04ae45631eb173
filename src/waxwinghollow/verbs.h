#ifndef WAXWINGHOLLOW_VERBS_H
#define WAXWINGHOLLOW_VERBS_H

/*
 * NAME
 *	verbs - commands of the form "COMMAND VERB ARGUMENT..."
 *
 * USE
 *	Each verb is one POST of a JSON object to the operator listener. Every
 *	body has "author" and "request_id"; by the request_id an entry process
 *	can distinguish a repeated request from a separate second one.
 */

#include <glib.h>
#include <json-glib/json-glib.h>

#include "cli.h"

#define WWH_VERB_MAX_PARAMETERS 3

typedef struct {
	const char *name;
	const char *path;
	const char *fixed_key; /* member with a fixed value; may be NULL */
	const char *fixed_value;
	/* Members set from the arguments, in their order; NULL-terminated */
	const char *parameters[WWH_VERB_MAX_PARAMETERS];
	const char *summary; /* for --help */
} wwh_verb_t;

typedef struct {
	const char *arguments; /* for --help */
	const wwh_verb_t *verbs;
	int32_t verb_count;
	const GOptionEntry *options; /* besides the common ones; may be NULL */
	/* Adds the members set by options; may be NULL */
	void (*add_options)(JsonBuilder *builder, const char *verb,
			    void *client_data);
	void *client_data;
} wwh_verb_command_t;

/* Runs the verb argv[1] and returns the exit code. */
int wwh_verb_run(const wwh_verb_command_t *command, int argc, char **argv);

/* Add a member unless value is NULL or 0. */
void wwh_verb_add_string(JsonBuilder *builder, const char *name,
			 const char *value);
void wwh_verb_add_number(JsonBuilder *builder, const char *name, int64_t value);

#endif
