#ifndef WAXWINGHOLLOW_PRIVATE_CHART_MODEL_H
#define WAXWINGHOLLOW_PRIVATE_CHART_MODEL_H

/*
 * NAME
 *	chart_model - a parsed chart, as the reader makes it and the
 *	interpreter runs it
 */

#include <glib.h>

#include "waxwinghollow/chart.h"

typedef struct {
	char *guard_name; /* NULL: always */
	char *action_name; /* NULL: none */
	wwh_chart_guard_t guard;
	wwh_chart_action_t action;
	int32_t target;
} wwh_chart_branch_t;

/* The answer of one state to one event. */
typedef struct {
	bool ignored;
	GArray *branches; /* of wwh_chart_branch_t; NULL: no answer */
} wwh_chart_answer_t;

struct wwh_chart {
	char *name;
	bool runnable; /* guards and actions were looked up */
	int32_t initial;
	GPtrArray *states; /* of char * */
	GPtrArray *events; /* of char * */
	GPtrArray *tags; /* of char * */
	bool *is_final; /* a state */
	uint32_t *tag_masks; /* a state */
	wwh_chart_answer_t *answers; /* state * event count + event */
};

#endif
