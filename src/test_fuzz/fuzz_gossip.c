/*
 * Bytes of gossip messages, one after another, into a membership: two bytes
 * of length, then the message; a length of 0 is a tick. Whatever comes, the
 * process itself stays as it is, the table stays in order and bounded, and
 * what it would send is a message that it would take itself.
 */

#include <assert.h>
#include <string.h>

#include "waxwinghollow/membership.h"

static void check_sent(const char *address, const uint8_t *payload, size_t size,
		       void *client_data)
{
	wwh_membership_t **other = client_data;

	assert(address != NULL);
	if (*other != NULL)
		assert(wwh_membership_receive(*other, "10.0.0.1:1", payload,
					      size, 2000) == WWH_STATUS_OK);
}

static void send_nothing(const char *address, const uint8_t *payload,
			 size_t size, void *client_data)
{
	(void)address;
	(void)payload;
	(void)size;
	(void)client_data;
}

static wwh_membership_t *make(const char *id, GRand *rand,
			      wwh_membership_send_t send, void *client_data)
{
	wwh_membership_options_t options;

	wwh_membership_options_defaults(&options);
	options.id = id;
	options.incarnation = 1;
	options.address = "10.0.0.1:1";
	options.zone = "z";
	options.region = "r";
	return wwh_membership_new(&options, rand, send, client_data);
}

static void check_table(const wwh_membership_t *membership)
{
	int32_t count = wwh_membership_count(membership);
	wwh_member_t member;
	char last[256] = "";

	assert(count <= WWH_MEMBERS_MAX);
	for (int32_t i = 0; i < count; i++) {
		wwh_membership_at(membership, i, &member);
		assert(strcmp(last, member.id) < 0);
		assert(strcmp(member.id, "a") != 0);
		assert(member.status < WWH_MEMBER_STATUS_COUNT);
		g_strlcpy(last, member.id, sizeof(last));
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GRand *rand = g_rand_new_with_seed(1);
	wwh_membership_t *other = make("b", rand, send_nothing, NULL);
	wwh_membership_t *membership = make("a", rand, check_sent, &other);
	int64_t now_ms = 1000;

	while (size >= 2) {
		size_t length = (size_t)data[0] << 8 | data[1];

		data += 2;
		size -= 2;
		length = MIN(length, size);
		now_ms += 400;
		if (length == 0)
			wwh_membership_tick(membership, now_ms);
		else
			wwh_membership_receive(membership, "10.0.0.2:1", data,
					       length, now_ms);
		data += length;
		size -= length;
		check_table(membership);
	}
	wwh_membership_delete(membership);
	wwh_membership_delete(other);
	g_rand_free(rand);
	return 0;
}
