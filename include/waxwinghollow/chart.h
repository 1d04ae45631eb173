#ifndef WAXWINGHOLLOW_CHART_H
#define WAXWINGHOLLOW_CHART_H

/*
 * NAME
 *	chart - state charts that are read from files and executed by name
 *
 * USE
 *	The states of requests, minions, workers, waves, moves, jobs, tasks
 *	and entry processes are defined in charts/NAME.json (JSON with
 *	comments), not in the code. A file has these keys:
 *
 *	name      the chart's name
 *	initial   the initial state
 *	final     array of the final states, which no event leaves
 *	events    array of all events
 *	states    object with a member for each state. A state may have "on",
 *	          an object from event to a transition { "guard", "action",
 *	          "target" } or to an array of transitions, of which the first
 *	          whose guard holds is taken; "ignore", an array of the events
 *	          that have no effect in the state; and "tags", an array of
 *	          properties that code tests instead of comparing states
 *
 *	A transition without a target stays in its state. Each state that
 *	isn't final must name each event under "on" or "ignore". A forgotten
 *	event thus is an error when the file is read, not at run time.
 *
 *	The module that executes a chart passes a wwh_chart_table_t with its
 *	guards, its actions and the names of its events and states. The
 *	module's enum values then are the chart's indexes.
 *
 * ORDER OF CALLS
 *	wwh_chart_parse or wwh_chart_load, wwh_chart_start for each machine,
 *	wwh_chart_step, wwh_chart_delete after the last machine. A chart is
 *	immutable once it is created, so threads may share it.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "waxwinghollow/status.h"

#define WWH_CHART_TAG_LIMIT 32

typedef struct wwh_chart wwh_chart_t;

typedef bool (*wwh_chart_guard_t)(int64_t now_ms, void *client_data);
typedef void (*wwh_chart_action_t)(int64_t now_ms, void *client_data);

typedef struct {
	const char *name;
	wwh_chart_guard_t call;
} wwh_chart_guard_entry_t;

typedef struct {
	const char *name;
	wwh_chart_action_t call;
} wwh_chart_action_entry_t;

/*
 * The guards, actions, events and states of a module. An array may be NULL
 * with a count of 0. Without events or states, their indexes follow the order
 * in the file; otherwise the file and the table must name the same set.
 */
typedef struct {
	const wwh_chart_guard_entry_t *guards;
	int32_t guard_count;
	const wwh_chart_action_entry_t *actions;
	int32_t action_count;
	const char *const *events;
	int32_t event_count;
	const char *const *states;
	int32_t state_count;
} wwh_chart_table_t;

/* Kept small, as there may be hundreds of thousands of machines. */
typedef struct {
	const wwh_chart_t *chart;
	int32_t state;
} wwh_chart_machine_t;

typedef enum {
	WWH_CHART_STEPPED = 0, /* a transition was taken */
	WWH_CHART_IGNORED, /* the state ignores the event, or is final */
	WWH_CHART_REFUSED, /* no guard held; the state is unchanged */
	WWH_CHART_RESULT_COUNT
} wwh_chart_result_t;

/* Names of wwh_chart_result_t, in the same order. */
extern const char *const wwh_chart_result_names[WWH_CHART_RESULT_COUNT];

/*
 * Parses and checks a chart. On failure *chart is NULL and message lists the
 * errors. With table NULL, only the file is checked: the names of guards and
 * actions aren't looked up, and the chart can't be stepped.
 */
wwh_status_t wwh_chart_parse(const char *text, size_t size,
			     const wwh_chart_table_t *table,
			     wwh_chart_t **chart, wwh_message_t *message);

/*
 * Finds a chart file that is linked into the binary. Returns false when there
 * is none of that name.
 */
bool wwh_chart_find_builtin(const char *name, const char **text, size_t *size);
int32_t wwh_chart_builtin_count(void);
const char *wwh_chart_builtin_name(int32_t index);

/*
 * Parses the linked chart file of that name. Returns NOT_FOUND when there is
 * none.
 */
wwh_status_t wwh_chart_load(const char *name, const wwh_chart_table_t *table,
			    wwh_chart_t **chart, wwh_message_t *message);

void wwh_chart_delete(wwh_chart_t *chart);

wwh_chart_machine_t wwh_chart_start(const wwh_chart_t *chart);

/* Returns a machine in a state that was stored elsewhere, as in the log. */
wwh_chart_machine_t wwh_chart_resume(const wwh_chart_t *chart, int32_t state);

/*
 * The machine is in the target state before the action is called, so the
 * action may step the same machine again.
 */
wwh_chart_result_t wwh_chart_step(wwh_chart_machine_t *machine, int32_t event,
				  int64_t now_ms, void *client_data);

bool wwh_chart_is_final(const wwh_chart_machine_t *machine);

/* Returns a mask with the bit of the tag, or 0 when no state has the tag. */
uint32_t wwh_chart_tag_mask(const wwh_chart_t *chart, const char *tag);

/* Returns true when the machine's state has at least one tag of the mask. */
bool wwh_chart_has_tag(const wwh_chart_machine_t *machine, uint32_t mask);

/*
 * Names for dumps; the index must be in range. The functions that look up an
 * index return -1 for an unknown name.
 */
const char *wwh_chart_name(const wwh_chart_t *chart);
int32_t wwh_chart_state_count(const wwh_chart_t *chart);
int32_t wwh_chart_event_count(const wwh_chart_t *chart);
const char *wwh_chart_state_name(const wwh_chart_t *chart, int32_t state);
const char *wwh_chart_event_name(const wwh_chart_t *chart, int32_t event);
int32_t wwh_chart_state_index(const wwh_chart_t *chart, const char *name);
int32_t wwh_chart_event_index(const wwh_chart_t *chart, const char *name);

#endif
