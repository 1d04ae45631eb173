/*
 * bench_keys - what the check of a caller's API key costs, by the number of
 * workspaces. Keys are looked up in turn; one in four is unknown.
 */

#include <stdio.h>

#include "waxwinghollow/api_keys.h"

#define CHECKS 400000
#define KEYS_A_WORKSPACE 2
#define US_TO_NS 1000.0

static void run(int32_t workspaces)
{
	int32_t known = workspaces * KEYS_A_WORKSPACE;
	wwh_api_keys_t *keys = wwh_api_keys_new();
	char **names = g_new0(char *, known + known / 3 + 2);
	int32_t count = 0;
	int32_t granted = 0;
	const char *owner;
	int64_t begun_us;

	for (; count < known + known / 3 + 1; count++) {
		char workspace[32];

		names[count] =
			g_strdup_printf("key-%08x-%08x", count, g_random_int());
		snprintf(workspace, sizeof(workspace), "w%d",
			 count / KEYS_A_WORKSPACE);
		if (count < known)
			(void)wwh_api_keys_add(keys, workspace, names[count]);
	}
	begun_us = g_get_monotonic_time();
	for (int32_t i = 0; i < CHECKS; i++)
		granted += wwh_api_keys_check(keys, names[(i * 7) % count],
					      &owner) == WWH_ACCESS_GRANTED;
	printf("%5d workspaces: %.0f ns a check, %d%% granted\n", workspaces,
	       (double)(g_get_monotonic_time() - begun_us) * US_TO_NS / CHECKS,
	       (int)(100.0 * granted / CHECKS));
	g_strfreev(names);
	wwh_api_keys_delete(keys);
}

int main(void)
{
	run(20);
	run(200);
	run(2000);
	return 0;
}
