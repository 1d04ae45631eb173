#include "waxwinghollow/host_settings.h"

#include <glib.h>
#include <string.h>

void wwh_host_settings_init(wwh_host_settings_t *settings)
{
	memset(settings, 0, sizeof(*settings));
	/* Defaults for settings that the file omits. */
	settings->cpu_permille = 1000;
	settings->link_kbps = 1000000;
	settings->lease_max_ms = 6000;
	settings->stop_limit_ms = 400;
	settings->unavailable_after_ms = 4500;
	settings->job_retention_ms = 120000;
	settings->grace_ms = 6000;
	settings->member_ttl_min_ms = 1000;
	settings->revoke_ms = 5000;
	settings->store_call_max_bytes = 2097152;
	settings->store_record_max_bytes = 262144;
	settings->duty_lease_ms = 3000;
	settings->config_apply_ms = 2000;
	settings->drain_ms = 2000;
	settings->relay_on_permille = 700;
	settings->move_ms = 1500;
	settings->upkeep_ms = 2000;
}

void wwh_host_settings_clear(wwh_host_settings_t *settings)
{
	g_free(settings->name);
	g_free(settings->zone);
	g_free(settings->callers.address);
	g_free(settings->readiness.address);
	g_free(settings->peers.address);
	g_free(settings->store);
	g_free(settings->hosts);
	g_free(settings->advice);
	memset(settings, 0, sizeof(*settings));
}
