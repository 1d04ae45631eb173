/*
 * Payloads from a peer that was asked, one after another: a byte of length,
 * then the payload; a length of 0 is a tick. Whatever comes, only a newer
 * version is installed, from the one in force or from nothing, and what is
 * sent back is bounded.
 */

#include <assert.h>

#include "waxwinghollow/config_relay.h"

static void send_nothing(const char *address, const uint8_t *payload,
			 size_t size, void *client_data)
{
	(void)payload;
	(void)client_data;
	assert(address[0] == 'p');
	assert(size > 0 && size < 200 * 1024);
}

static GBytes *get_full_config(int64_t *version, int64_t *offset,
			       void *client_data)
{
	const int64_t *in_force = client_data;

	*version = *in_force;
	*offset = 1;
	return *in_force == 0 ? NULL : g_bytes_new("whole", 5);
}

static bool install(int64_t from, int64_t version, int64_t offset,
		    GBytes *change, void *client_data)
{
	int64_t *in_force = client_data;

	assert(from == 0 || from == *in_force);
	assert(version > *in_force);
	assert(offset >= 0);
	assert(g_bytes_get_size(change) <= 4096);
	if (g_bytes_get_size(change) % 7 == 6)
		return false;
	*in_force = version;
	return true;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	wwh_config_relay_options_t options;
	wwh_config_relay_t *relay;
	int64_t in_force = 0;
	int64_t now_ms = 1000;

	wwh_config_relay_options_defaults(&options);
	options.max_retained_bytes = 64;
	options.max_transfer_bytes = 4096;
	options.request_delay_ms = 0;
	options.send = send_nothing;
	options.get_full_config = get_full_config;
	options.install = install;
	options.client_data = &in_force;
	relay = wwh_config_relay_new(&options);
	while (size > 0) {
		size_t length = MIN(data[0], size - 1);

		data++;
		size--;
		now_ms += 500;
		wwh_config_relay_tick(relay, INT64_MAX, "p", now_ms);
		if (length > 0)
			wwh_config_relay_receive(relay, "p", data, length,
						 now_ms);
		data += length;
		size -= length;
	}
	wwh_config_relay_delete(relay);
	return 0;
}
