#include "waxwinghollow/chart.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "private/chart_model.h"

const char *const wwh_chart_result_names[WWH_CHART_RESULT_COUNT] = {
	"stepped",
	"ignored",
	"refused",
};

static int32_t name_index(const GPtrArray *names, const char *name);

wwh_chart_machine_t wwh_chart_start(const wwh_chart_t *chart)
{
	return wwh_chart_resume(chart, chart->initial);
}

wwh_chart_machine_t wwh_chart_resume(const wwh_chart_t *chart, int32_t state)
{
	assert(state >= 0 && state < (int32_t)chart->states->len);
	return (wwh_chart_machine_t){ .chart = chart, .state = state };
}

wwh_chart_result_t wwh_chart_step(wwh_chart_machine_t *machine, int32_t event,
				  int64_t now_ms, void *client_data)
{
	const wwh_chart_t *chart = machine->chart;
	int32_t event_count = (int32_t)chart->events->len;
	const wwh_chart_answer_t *answer;

	assert(chart->runnable);
	assert(event >= 0 && event < event_count);
	answer = &chart->answers[machine->state * event_count + event];
	if (answer->ignored)
		return WWH_CHART_IGNORED;
	for (guint i = 0; i < answer->branches->len; i++) {
		const wwh_chart_branch_t *branch =
			&g_array_index(answer->branches, wwh_chart_branch_t, i);

		if (branch->guard && !branch->guard(now_ms, client_data))
			continue;
		machine->state = branch->target;
		if (branch->action)
			branch->action(now_ms, client_data);
		return WWH_CHART_STEPPED;
	}
	return WWH_CHART_REFUSED;
}

bool wwh_chart_is_final(const wwh_chart_machine_t *machine)
{
	return machine->chart->is_final[machine->state];
}

uint32_t wwh_chart_tag_mask(const wwh_chart_t *chart, const char *tag)
{
	int32_t index = name_index(chart->tags, tag);

	return index < 0 ? 0 : UINT32_C(1) << index;
}

bool wwh_chart_has_tag(const wwh_chart_machine_t *machine, uint32_t mask)
{
	return (machine->chart->tag_masks[machine->state] & mask) != 0;
}

const char *wwh_chart_name(const wwh_chart_t *chart)
{
	return chart->name;
}

int32_t wwh_chart_state_count(const wwh_chart_t *chart)
{
	return (int32_t)chart->states->len;
}

int32_t wwh_chart_event_count(const wwh_chart_t *chart)
{
	return (int32_t)chart->events->len;
}

const char *wwh_chart_state_name(const wwh_chart_t *chart, int32_t state)
{
	assert(state >= 0 && state < (int32_t)chart->states->len);
	return g_ptr_array_index(chart->states, state);
}

const char *wwh_chart_event_name(const wwh_chart_t *chart, int32_t event)
{
	assert(event >= 0 && event < (int32_t)chart->events->len);
	return g_ptr_array_index(chart->events, event);
}

int32_t wwh_chart_state_index(const wwh_chart_t *chart, const char *name)
{
	return name_index(chart->states, name);
}

int32_t wwh_chart_event_index(const wwh_chart_t *chart, const char *name)
{
	return name_index(chart->events, name);
}

static int32_t name_index(const GPtrArray *names, const char *name)
{
	for (guint i = 0; i < names->len; i++) {
		if (strcmp(g_ptr_array_index(names, i), name) == 0)
			return (int32_t)i;
	}
	return -1;
}
