/*
 * When the processes were last disturbed. Promises with a time bound hold only
 * for processes that weren't for some time.
 */
#include "soak.h"

#include <string.h>

/* At least as long as any fault lasts. */
#define FAULT_MAX_MS 10000

static int64_t disturbed_ms = -1; /* when the last such fault began */

/* Faults that leave the processes, their links and the store alone. */
static const char *const harmless[] = {
	"upstream-restart", "upstream-crash", "upstream-drain",	 "late-orders",
	"store-compacts",   "configuration",  "settings-reload",
};

void soak_calm_note_fault(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(harmless); i++) {
		if (strcmp(harmless[i], name) == 0)
			return;
	}
	disturbed_ms = soak_now_ms();
}

bool soak_in_touch(void)
{
	return disturbed_ms < 0 ||
	       soak_now_ms() - disturbed_ms > FAULT_MAX_MS + SOAK_CONTACT_MS;
}
