#ifndef WAXWINGHOLLOW_CHART_H
#define WAXWINGHOLLOW_CHART_H

/*
 * NAME
 *	chart - state charts that are read from files and run by name
 *
 * USE
 *	The life of a request, minion, worker, wave, move, job and entry
 *	process stands in charts/NAME.json (JSON with comments), not in the
 *	code. A file has these keys:
 *
 *	name      the chart's name
 *	initial   the first state
 *	final     states that no event leaves
 *	events    every event there is
 *	states    object of states; each has "on", an object from event to
 *	          { "guard", "action", "target" } or to an array of these of
 *	          which the first whose guard holds is taken; "ignore", the
 *	          events that do nothing there; and "tags", words that code
 *	          asks about instead of naming states
 *
 *	Without a target the state stays. Each state that isn't final must
 *	name each event under "on" or "ignore": an event that nobody thought
 *	of is an error when the file is read, not a surprise at run time.
 *
 *	The module that runs a chart passes a wwh_chart_table_t with its
 *	guards, its actions and the names of its events and states; their
 *	enum values then are the chart's indexes.
 *
 * ORDER OF CALLS
 *	wwh_chart_parse or wwh_chart_load, wwh_chart_start for each machine,
 *	wwh_chart_step, wwh_chart_delete after the last machine. A chart is
 *	not written to after it was made; threads may share it.
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
 * What a module brings along. Arrays may be NULL with a count of 0; the
 * chart's own order then gives the indexes of states and events. With
 * states or events given, file and table must name the same set.
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

/* A small value: there may be hundreds of thousands of them. */
typedef struct {
	const wwh_chart_t *chart;
	int32_t state;
} wwh_chart_machine_t;

typedef enum {
	WWH_CHART_STEPPED = 0, /* a transition was taken */
	WWH_CHART_IGNORED, /* the state ignores the event, or is final */
	WWH_CHART_REFUSED, /* no guard held; nothing changed */
	WWH_CHART_RESULT_COUNT
} wwh_chart_result_t;

/* Names of wwh_chart_result_t, in the same order. */
extern const char *const wwh_chart_result_names[WWH_CHART_RESULT_COUNT];

/*
 * Reads and checks a chart; message lists what is wrong. With table NULL the
 * names of guards and actions aren't checked and the chart can't be stepped;
 * that serves a check of the file alone.
 */
wwh_status_t wwh_chart_parse(const char *text, size_t size,
			     const wwh_chart_table_t *table,
			     wwh_chart_t **chart, wwh_message_t *message);

/* The file that was linked into the binary; false when there is none. */
bool wwh_chart_find_builtin(const char *name, const char **text, size_t *size);
int32_t wwh_chart_builtin_count(void);
const char *wwh_chart_builtin_name(int32_t index);

/* wwh_chart_parse of the linked file of that name. */
wwh_status_t wwh_chart_load(const char *name, const wwh_chart_table_t *table,
			    wwh_chart_t **chart, wwh_message_t *message);

void wwh_chart_delete(wwh_chart_t *chart);

wwh_chart_machine_t wwh_chart_start(const wwh_chart_t *chart);

/* A machine in a state that was kept elsewhere, for example in the log. */
wwh_chart_machine_t wwh_chart_resume(const wwh_chart_t *chart, int32_t state);

/*
 * The machine is in the target when the action runs; the action may step the
 * same machine again.
 */
wwh_chart_result_t wwh_chart_step(wwh_chart_machine_t *machine, int32_t event,
				  int64_t now_ms, void *client_data);

bool wwh_chart_is_final(const wwh_chart_machine_t *machine);

/* A mask with the bit of tag; 0 when no state has it. */
uint32_t wwh_chart_tag_mask(const wwh_chart_t *chart, const char *tag);

/* Whether the machine's state has one of the tags of mask. */
bool wwh_chart_has_tag(const wwh_chart_machine_t *machine, uint32_t mask);

/* Names for the dump; index is in range. Lookups give -1 for no such name. */
const char *wwh_chart_name(const wwh_chart_t *chart);
int32_t wwh_chart_state_count(const wwh_chart_t *chart);
int32_t wwh_chart_event_count(const wwh_chart_t *chart);
const char *wwh_chart_state_name(const wwh_chart_t *chart, int32_t state);
const char *wwh_chart_event_name(const wwh_chart_t *chart, int32_t event);
int32_t wwh_chart_state_index(const wwh_chart_t *chart, const char *name);
int32_t wwh_chart_event_index(const wwh_chart_t *chart, const char *name);

#endif
