#ifndef WAXWINGHOLLOW_PRIVATE_CHART_MODEL_H
#define WAXWINGHOLLOW_PRIVATE_CHART_MODEL_H

/*
 * NAME
 *	chart_model - a parsed chart, shared by the parser and the
 *	interpreter
 */

#include <glib.h>

#include "waxwinghollow/chart.h"

typedef struct {
	char *guard_name; /* NULL: unconditional */
	char *action_name; /* NULL: no action */
	wwh_chart_guard_t guard;
	wwh_chart_action_t action;
	int32_t target;
} wwh_chart_transition_t;

/* How one state handles one event. */
typedef struct {
	bool ignored;
	GArray *transitions; /* of wwh_chart_transition_t; NULL: not under "on" */
} wwh_chart_handler_t;

struct wwh_chart {
	char *name;
	bool runnable; /* guards and actions are resolved */
	int32_t initial;
	GPtrArray *states; /* of char * */
	GPtrArray *events; /* of char * */
	GPtrArray *tags; /* of char * */
	bool *is_final; /* by state */
	uint32_t *tag_masks; /* by state */
	wwh_chart_handler_t *handlers; /* index: state * event count + event */
};

#endif
