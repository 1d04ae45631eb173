#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>

#include "waxwinghollow/counters.h"

static void append_name(const char *name, int64_t value, void *client_data)
{
	g_string_append_printf(client_data, "%s=%" G_GINT64_FORMAT ";", name,
			       value);
}

static void counters_are_listed_by_name(void **unused)
{
	wwh_counters_t *counters = wwh_counters_new();
	GString *text = g_string_new(NULL);

	(void)unused;
	wwh_counter_add(wwh_counters_get(counters, "b.count"), 2);
	wwh_counter_add(wwh_counters_get(counters, "b.count"), 3);
	wwh_counter_set(wwh_counters_get(counters, "a.bytes"), 7);
	wwh_counters_each(counters, append_name, text);
	assert_string_equal(text->str, "a.bytes=7;b.count=5;");
	g_string_free(text, TRUE);
	wwh_counters_delete(counters);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(counters_are_listed_by_name),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
