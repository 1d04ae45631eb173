/*
 * When the processes were last disturbed. Promises with a time bound hold only
 * for processes that weren't for some time.
 */
#include "soak.h"

/* At least as long as any fault lasts. */
#define FAULT_MAX_MS 10000

/* When the last fault of each sort began; -1: none. */
static int64_t disturbed_ms = -1; /* of processes, their links, the store */
static int64_t upstream_disturbed_ms = -1;

static const char *const of_upstreams[] = {
	"upstream-restart",
	"upstream-crash",
	"upstream-drain",
	"late-orders",
	NULL,
};

static const char *const harmless[] = {
	"store-compacts",
	"configuration",
	"settings-reload",
	NULL,
};

void soak_calm_note_fault(const char *name)
{
	if (g_strv_contains(of_upstreams, name))
		upstream_disturbed_ms = soak_now_ms();
	else if (!g_strv_contains(harmless, name))
		disturbed_ms = soak_now_ms();
}

static bool is_over_for(int64_t begun_ms, int64_t ms)
{
	return begun_ms < 0 || soak_now_ms() - begun_ms > FAULT_MAX_MS + ms;
}

bool soak_in_touch(void)
{
	return is_over_for(disturbed_ms, SOAK_CONTACT_MS);
}

bool soak_is_calm_for(int64_t ms)
{
	return is_over_for(disturbed_ms, ms) &&
	       is_over_for(upstream_disturbed_ms, ms);
}
