#include <assert.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "waxwinghollow/settings.h"

/*
 * Any text gives either settings that keep what their header says, or at
 * least one error and settings that are all zero.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void count_error(const char *file, int32_t line, const char *text,
			void *client_data)
{
	assert(strcmp(file, "fuzz") == 0);
	assert(line >= 0);
	assert(*text != '\0' && strchr(text, '\n') == NULL);
	++*(int32_t *)client_data;
}

static void assert_sound(const wwh_settings_t *settings)
{
	const char *const endpoints[] = {
		settings->caller_listen,
		settings->operator_listen,
		settings->peer_listen,
	};

	for (size_t i = 0; i < 3; i++) {
		char *address;
		int32_t port;

		assert(wwh_endpoint_split(endpoints[i], &address, &port));
		assert(port > 0 && port < 65536);
		g_free(address);
	}
	for (char **peer = settings->peers; *peer != NULL; peer++) {
		char *address;
		int32_t port;

		assert(wwh_endpoint_split(*peer, &address, &port));
		g_free(address);
	}
	assert(*settings->process_id != '\0' && *settings->zone != '\0');
	assert(settings->max_requests >= 1);
	assert(settings->max_requests <= settings->max_connections);
	assert(settings->log_wait_ms < settings->log_read_timeout_ms);
	assert(settings->suspect_after_ms >= 2 * settings->heartbeat_ms);
	assert(settings->log_level < WWH_LOG_LEVEL_COUNT);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const wwh_settings_t zero;
	const wwh_config_text_t text = { "fuzz", (const char *)data, size };
	wwh_settings_t settings;
	int32_t errors = 0;
	wwh_status_t status =
		wwh_settings_parse(&text, &settings, count_error, &errors);

	if (status == WWH_STATUS_OK) {
		assert(errors == 0);
		assert_sound(&settings);
		wwh_settings_clear(&settings);
	} else {
		assert(errors > 0);
	}
	assert(memcmp(&settings, &zero, sizeof(zero)) == 0);
	return 0;
}
