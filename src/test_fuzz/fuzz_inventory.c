#include <assert.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "waxwinghollow/config.h"

/*
 * The input is an inventory (JSON or CSV) and, after a 0x1f byte, rules. What
 * the files' checks accept, every process must accept from the log: encoded,
 * decoded, applied to the empty configuration, and be the same then.
 */

#define SEPARATOR 0x1f

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void count_error(const char *file, int32_t line, const char *text,
			void *client_data)
{
	(void)file;
	assert(line >= 0);
	assert(*text != '\0' && strchr(text, '\n') == NULL);
	++*(int32_t *)client_data;
}

static void assert_survives_the_log(const wwh_config_t *config)
{
	wwh_config_t *empty = wwh_config_new();
	wwh_config_change_t *change = wwh_config_diff(empty, config);
	GBytes *bytes = wwh_config_change_encode(change);
	wwh_config_change_t *decoded = NULL;
	wwh_config_change_t *rest;
	wwh_config_t *applied = NULL;
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	assert(wwh_config_change_decode(data, size, &decoded, NULL) ==
	       WWH_STATUS_OK);
	assert(wwh_config_apply(empty, decoded, 1, &applied, NULL) ==
	       WWH_STATUS_OK);
	rest = wwh_config_diff(applied, config);
	assert(wwh_config_change_count(rest) == 0);
	wwh_config_change_delete(rest);
	wwh_config_change_delete(decoded);
	wwh_config_change_delete(change);
	g_bytes_unref(bytes);
	wwh_config_unref(applied);
	wwh_config_unref(empty);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	const char *split = size > 0 ? memchr(text, SEPARATOR, size) : NULL;
	wwh_config_text_t inventory = { "inventory", text, size };
	wwh_config_text_t rules = { "rules", NULL, 0 };
	wwh_config_t *config = wwh_config_new();
	int32_t errors = 0;
	wwh_status_t status;

	if (split != NULL) {
		inventory.size = (size_t)(split - text);
		rules.text = split + 1;
		rules.size = size - inventory.size - 1;
	}
	status = wwh_config_parse(config, &inventory, &rules, count_error,
				  &errors);
	assert((status == WWH_STATUS_OK) == (errors == 0));
	if (status == WWH_STATUS_OK && rules.text != NULL)
		assert_survives_the_log(config);
	wwh_config_unref(config);
	return 0;
}
