/*
 * When the processes were last disturbed. Promises with a time bound hold only
 * for processes that weren't for some time.
 */
#include "soak.h"

/* At least as long as any fault lasts that doesn't note its length. */
#define FAULT_MAX_MS 10000

/* Until when the faults of each sort last at most; -1: there was none. */
static int64_t processes_until_ms =
	-1; /* of processes, their links, the store */
static int64_t upstreams_until_ms = -1;

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
	"upstream-clocks",
	"settings-reload",
	NULL,
};

void soak_calm_note_fault(const char *name)
{
	if (g_strv_contains(of_upstreams, name))
		upstreams_until_ms = soak_now_ms() + FAULT_MAX_MS;
	else if (!g_strv_contains(harmless, name))
		soak_calm_note_length(FAULT_MAX_MS);
}

void soak_calm_note_length(int64_t ms)
{
	processes_until_ms = MAX(processes_until_ms, soak_now_ms() + ms);
}

static bool is_over_for(int64_t until_ms, int64_t ms)
{
	return until_ms < 0 || soak_now_ms() - until_ms > ms;
}

bool soak_in_touch(void)
{
	return is_over_for(processes_until_ms, SOAK_CONTACT_MS);
}

bool soak_is_calm_for(int64_t ms)
{
	return is_over_for(processes_until_ms, ms) &&
	       is_over_for(upstreams_until_ms, ms);
}
