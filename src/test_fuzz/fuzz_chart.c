/*
 * Any bytes as a chart file, then any bytes as events. Oracle: a chart that
 * was accepted answers every event in every state it reaches, and a final
 * state is never left.
 */

#include <assert.h>
#include <stddef.h>
#include <stdint.h>

#include "waxwinghollow/chart.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const wwh_chart_table_t none = { 0 };
	wwh_message_t message;
	wwh_chart_t *chart;
	wwh_chart_machine_t machine;

	if (wwh_chart_parse((const char *)data, size, &none, &chart,
			    &message) != WWH_STATUS_OK) {
		assert(!chart && message.text[0] != '\0');
		return 0;
	}
	machine = wwh_chart_start(chart);
	for (size_t i = 0; i < size; i++) {
		int32_t count = wwh_chart_event_count(chart);
		int32_t before = machine.state;
		bool final = wwh_chart_is_final(&machine);

		if (count == 0)
			break;
		wwh_chart_step(&machine, data[i] % count, (int64_t)i, NULL);
		assert(machine.state >= 0);
		assert(machine.state < wwh_chart_state_count(chart));
		assert(!final || machine.state == before);
	}
	wwh_chart_delete(chart);
	return 0;
}
