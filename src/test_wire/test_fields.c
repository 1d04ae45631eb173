/*
 * Records of the platform of which another writer has changed a field: each is
 * read whole or not at all.
 */

#include "test_wire.h"

#include "wire_operator.h"

static bool reads_upstream(const char *text)
{
	wwh_upstream_info_t info;
	bool ok = wire_operator_parse_upstream("u1", (const uint8_t *)text,
					       strlen(text), &info, NULL);

	wwh_upstream_info_clear(&info);
	return ok;
}

static bool reads_wave(const char *key, const char *text)
{
	wwh_wave_order_t *order = wire_operator_parse_wave(
		key, (const uint8_t *)text, strlen(text), NULL);
	bool ok = order != NULL;

	wwh_wave_order_delete(order);
	return ok;
}

static bool reads_config(const char *text)
{
	wwh_job_config_t *config = wire_operator_parse_config(
		(const uint8_t *)text, strlen(text), false, NULL);
	bool ok = config != NULL;

	wwh_job_config_unref(config);
	return ok;
}

/* text with the first old in it replaced; fails when it holds none. */
static char *edited(const char *text, const char *old, const char *new_text)
{
	const char *at = strstr(text, old);

	assert_non_null(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - text), text, new_text,
			       at + strlen(old));
}

static const char whole_upstream[] =
	"{\"service\":\"desk\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
	"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,"
	"\"capacity\":{\"cpu\":8000,\"memMb\":16000,\"gpu\":0},"
	"\"labels\":[\"a\",\"r1\"],\"clockMs\":5,\"sequence\":4}";

/*
 * Another writer has changed one field of an upstream's entry. It was taken
 * for an upstream that is ready, with no room or at no endpoint, and tasks
 * were sent there. Such an entry says nothing that may be acted on.
 */
void an_upstream_with_a_bad_field_is_not_read(void **state)
{
	static const char *const edits[][2] = {
		{ "\"service\":\"desk\",", "" },
		{ "\"service\":\"desk\"", "\"service\":7" },
		{ "\"service\":\"desk\"", "\"service\":\"\"" },
		{ "\"address\":\"10.0.0.1:80\",", "" },
		{ "\"address\":\"10.0.0.1:80\"", "\"address\":[]" },
		{ "10.0.0.1:80", "" },
		{ "10.0.0.1:80", "10.0.0.1" },
		{ "10.0.0.1:80", "10.0.0.1:http" },
		{ "10.0.0.1:80", "10.0.0.1:99999" },
		{ "10.0.0.1:80", ":80" },
		{ "10.0.0.1:80", "10.0. 0.1:80" },
		{ "\"zone\":\"a\",", "" },
		{ "\"zone\":\"a\"", "\"zone\":null" },
		{ "\"version\":\"v1\",", "" },
		{ "\"version\":\"v1\"", "\"version\":1" },
		{ "\"slots\":8,", "" },
		{ "\"slots\":8", "\"slots\":\"8\"" },
		{ "\"slots\":8", "\"slots\":-8" },
		{ "\"state\":\"ready\",", "" },
		{ "\"state\":\"ready\"", "\"state\":\"resting\"" },
		{ "\"state\":\"ready\"", "\"state\":true" },
		{ "\"coldLeftMs\":0", "\"coldLeftMs\":\"soon\"" },
		{ "\"capacity\":{\"cpu\":8000,\"memMb\":16000,\"gpu\":0},",
		  "" },
		{ "{\"cpu\":8000,\"memMb\":16000,\"gpu\":0}", "8000" },
		{ "\"cpu\":8000,", "" },
		{ "\"cpu\":8000", "\"cpu\":\"8000\"" },
		{ "\"cpu\":8000", "\"cpu\":0" },
		{ "\"cpu\":8000", "\"cpu\":-1" },
		{ "\"cpu\":8000", "\"cpu\":1e300" },
		{ "\"memMb\":16000,", "" },
		{ "\"memMb\":16000", "\"memMb\":{}" },
		{ "\"gpu\":0", "\"gpu\":\"none\"" },
		{ "\"labels\":[\"a\",\"r1\"],", "" },
		{ "[\"a\",\"r1\"]", "\"a r1\"" },
		{ "[\"a\",\"r1\"]", "[\"a\",1]" },
		{ "\"sequence\":4", "\"sequence\":\"4\"" },
		{ ",\"sequence\":4", "" },
		{ "{\"service\"", "{\"service" },
		{ "}", "" },
	};

	(void)state;
	assert_true(reads_upstream(whole_upstream));
	for (size_t i = 0; i < G_N_ELEMENTS(edits); i++) {
		char *text = edited(whole_upstream, edits[i][0], edits[i][1]);

		if (reads_upstream(text))
			fail_msg("taken: %s", text);
		g_free(text);
	}
	assert_false(reads_upstream(""));
	assert_false(reads_upstream("\xff\xfe\x00"));
	assert_false(reads_upstream("[]"));
}

/* What may be left out where it is zero still makes a whole entry. */
void zero_fields_of_an_upstream_may_be_left_out(void **state)
{
	char *first = edited(whole_upstream, "\"coldLeftMs\":0,", "");
	char *both = edited(first, ",\"gpu\":0", "");

	(void)state;
	assert_true(reads_upstream(both));
	g_free(first);
	g_free(both);
}

static const char whole_wave[] =
	"{\"wave\":1,\"machines\":[\"m1\",\"m2\"],\"durationS\":20,"
	"\"maxCount\":1}";

/*
 * A wave's order has lost its list of hosts, or its number. It was begun as a
 * wave of no hosts, or as another one, and at once reported as completed,
 * though no host had its upkeep.
 */
void a_wave_with_a_bad_field_is_not_read(void **state)
{
	static const char *const edits[][2] = {
		{ "\"wave\":1,", "" },
		{ "\"wave\":1", "\"wave\":\"1\"" },
		{ "\"wave\":1", "\"wave\":0" },
		{ "\"machines\":[\"m1\",\"m2\"],", "" },
		{ "[\"m1\",\"m2\"]", "\"m1\"" },
		{ "[\"m1\",\"m2\"]", "[\"m1\",7]" },
		{ "[\"m1\",\"m2\"]", "[\"m1\",\"\"]" },
		{ "\"durationS\":20,", "" },
		{ "\"durationS\":20", "\"durationS\":\"20\"" },
		{ "\"durationS\":20", "\"durationS\":-20" },
		{ "\"durationS\":20", "\"durationS\":1e300" },
		{ ",\"maxCount\":1", "" },
		{ "\"maxCount\":1", "\"maxCount\":[]" },
		{ "\"maxCount\":1", "\"maxCount\":0" },
	};

	(void)state;
	assert_true(reads_wave("wave/1", whole_wave));
	for (size_t i = 0; i < G_N_ELEMENTS(edits); i++) {
		char *text = edited(whole_wave, edits[i][0], edits[i][1]);

		if (reads_wave("wave/1", text))
			fail_msg("taken: %s", text);
		g_free(text);
	}
	assert_false(reads_wave("wave/2", whole_wave));
}

static const char whole_config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"h\","
	"\"pathPrefix\":\"/a/\",\"timeoutMs\":3000,\"targetLatencyMs\":600,"
	"\"priority\":1,\"service\":\"desk\",\"maxAttempts\":3,"
	"\"stretch\":1.6}],\"services\":[{\"name\":\"desk\"}],"
	"\"limits\":{\"maxBodyBytes\":262144}}";

/*
 * One queue of a configuration can't be read. The rest was put in force
 * without it, and its callers were told that there is no such queue. The
 * version before goes on instead.
 */
void a_configuration_with_a_bad_row_is_not_read(void **state)
{
	static const char *const edits[][2] = {
		{ "\"version\":7", "\"version\":\"7\"" },
		{ "\"version\":7,", "" },
		{ "\"routes\":[", "\"routes\":[7," },
		{ "\"routes\":[", "\"ways\":[" },
		{ "\"pathPrefix\":\"/a/\",", "" },
		{ "\"pathPrefix\":\"/a/\"", "\"pathPrefix\":7" },
		{ "\"service\":\"desk\",", "" },
		{ "\"service\":\"desk\"", "\"service\":{}" },
		{ "\"host\":\"h\"", "\"host\":7" },
		{ "\"priority\":1", "\"priority\":\"high\"" },
		{ "\"maxAttempts\":3", "\"maxAttempts\":\"3\"" },
		{ "\"stretch\":1.6", "\"stretch\":\"1.6\"" },
		{ "\"stretch\":1.6", "\"stretch\":1e300" },
		{ "\"services\":[", "\"services\":[7," },
		{ "\"name\":\"desk\"", "\"name\":7" },
		{ "\"limits\":{\"maxBodyBytes\":262144}", "\"limits\":7" },
	};

	(void)state;
	assert_true(reads_config(whole_config));
	for (size_t i = 0; i < G_N_ELEMENTS(edits); i++) {
		char *text = edited(whole_config, edits[i][0], edits[i][1]);

		if (reads_config(text))
			fail_msg("taken: %s", text);
		g_free(text);
	}
}
