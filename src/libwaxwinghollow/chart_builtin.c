#include "waxwinghollow/chart.h"

#include <glib.h>
#include <string.h>

/* A row of chart_files.S. */
typedef struct {
	const char *name;
	const char *text;
	uint64_t size;
} chart_file_t;

extern const chart_file_t wwh_chart_files[];
extern const chart_file_t wwh_chart_files_end[];

int32_t wwh_chart_builtin_count(void)
{
	uintptr_t first = (uintptr_t)wwh_chart_files;
	uintptr_t end = (uintptr_t)wwh_chart_files_end;

	return (int32_t)((end - first) / sizeof(chart_file_t));
}

const char *wwh_chart_builtin_name(int32_t index)
{
	g_assert(index >= 0 && index < wwh_chart_builtin_count());
	return wwh_chart_files[index].name;
}

bool wwh_chart_find_builtin(const char *name, const char **text, size_t *size)
{
	int32_t count = wwh_chart_builtin_count();

	for (int32_t i = 0; i < count; i++) {
		if (strcmp(wwh_chart_files[i].name, name) != 0)
			continue;
		*text = wwh_chart_files[i].text;
		*size = wwh_chart_files[i].size;
		return true;
	}
	return false;
}

wwh_status_t wwh_chart_load(const char *name, const wwh_chart_table_t *table,
			    wwh_chart_t **chart, wwh_message_t *message)
{
	const char *text;
	size_t size;

	*chart = NULL;
	if (!wwh_chart_find_builtin(name, &text, &size)) {
		wwh_message_set(message, "no chart %s in this binary", name);
		return WWH_STATUS_NOT_FOUND;
	}
	return wwh_chart_parse(text, size, table, chart, message);
}
