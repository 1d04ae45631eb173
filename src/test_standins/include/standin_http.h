#ifndef STANDIN_HTTP_H
#define STANDIN_HTTP_H

/*
 * The platform stand-in as a whole, its faults, and what its HTTP handlers
 * share.
 */

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
/* jansson.h, which ulfius.h would include, clashes with json-glib. */
#define U_DISABLE_JANSSON
#include <ulfius.h>

#include "standin_fleet.h"
#include "standin_log.h"

/* Faults that are a number. */
typedef enum {
	FAULT_LOG_DOWN = 0,
	FAULT_LOG_SLOW_MS, /* the effect comes first, the answer later */
	FAULT_LOG_LATE_MS, /* the effect comes late */
	FAULT_LOSE_APPEND_ANSWERS, /* percent */
	FAULT_WORKERS_DOWN,
	FAULT_LOSE_COMMAND_ANSWERS, /* percent */
	FAULT_LIST_FROZEN,
	FAULT_COUNT
} fault_t;

static const char *const fault_names[FAULT_COUNT] = {
	"log_down",	"log_slow_ms",
	"log_late_ms",	"lose_append_answers",
	"workers_down", "lose_command_answers",
	"list_frozen",
};

typedef struct {
	standin_log_t log;
	standin_fleet_t fleet;
	_Atomic int64_t faults[FAULT_COUNT];
	GMutex rand_lock;
	GRand *rand;
} platform_t;

typedef struct _u_request request_t;
typedef struct _u_response response_t;

static int64_t wall_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static int64_t fault(platform_t *platform, fault_t which)
{
	return atomic_load(&platform->faults[which]);
}

static bool by_chance(platform_t *platform, int64_t percent)
{
	bool hit;

	g_mutex_lock(&platform->rand_lock);
	hit = g_rand_int_range(platform->rand, 0, 100) < percent;
	g_mutex_unlock(&platform->rand_lock);
	return hit;
}

static const char *text_of(const request_t *request, const char *name)
{
	const char *value = u_map_get(request->map_url, name);

	return value == NULL ? "" : value;
}

static int64_t number_of(const request_t *request, const char *name,
			 int64_t otherwise)
{
	const char *value = u_map_get(request->map_url, name);

	return value == NULL ? otherwise : g_ascii_strtoll(value, NULL, 10);
}

/* The index of name in names, or -1. */
static int index_of(const char *name, const char *const *names, int count)
{
	for (int i = 0; i < count; i++)
		if (strcmp(name, names[i]) == 0)
			return i;
	return -1;
}

static int answer(response_t *response, unsigned int status, const char *text)
{
	ulfius_set_string_body_response(response, status, text);
	return U_CALLBACK_COMPLETE;
}

static ssize_t end_with_error(void *unused, uint64_t offset, char *buffer,
			      size_t max)
{
	(void)unused;
	(void)offset;
	(void)buffer;
	(void)max;
	return U_STREAM_ERROR;
}

/*
 * Closes the connection without a whole answer: the library sends a status
 * line, no byte of the body, and then resets the connection.
 */
static int lose_answer(response_t *response)
{
	ulfius_set_stream_response(response, 200, end_with_error, NULL,
				   U_STREAM_SIZE_UNKNOWN, 64, NULL);
	return U_CALLBACK_COMPLETE;
}

/* Takes over the builder. */
static int answer_json(response_t *response, JsonBuilder *builder)
{
	JsonNode *root = json_builder_get_root(builder);
	char *text = json_to_string(root, FALSE);

	answer(response, 200, text);
	u_map_put(response->map_header, "Content-Type", "application/json");
	g_free(text);
	json_node_unref(root);
	g_object_unref(builder);
	return U_CALLBACK_COMPLETE;
}

static void add_text(JsonBuilder *builder, const char *name, const char *text)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, text);
}

static void add_number(JsonBuilder *builder, const char *name, int64_t number)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, number);
}

#endif
