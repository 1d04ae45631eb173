/*
 * Records of the platform with an invalid field, as another program may write
 * them: a record is decoded completely or not at all.
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

/* Copies text with the first old replaced; fails if text has none. */
static char *replace_first(const char *text, const char *old,
			   const char *new_text)
{
	const char *at = strstr(text, old);

	assert_non_null(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - text), text, new_text,
			       at + strlen(old));
}

static const char valid_upstream[] =
	"{\"service\":\"desk\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
	"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,"
	"\"capacity\":{\"cpu\":8000,\"memMb\":16000,\"gpu\":0},"
	"\"labels\":[\"a\",\"r1\"],\"clockMs\":5,\"sequence\":4}";

/*
 * Guards against an upstream's entry with one invalid field that is accepted as
 * a ready upstream, with no room or without an endpoint, so that tasks are sent
 * there.
 */
void an_upstream_with_a_bad_field_is_rejected(void **state)
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
		{ "\"cpu\":8000", "\"cpu\":1e999" },
		{ "\"cpu\":8000", "\"cpu\":999999999999999" },
		{ "\"cpu\":8000", "\"cpu\":12345678901234567890123456" },
		{ "\"memMb\":16000", "\"memMb\":999999999999999" },
		{ "\"gpu\":0", "\"gpu\":999999999999999" },
		{ "\"sequence\":4", "\"sequence\":999999999999999999" },
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
	assert_true(reads_upstream(valid_upstream));
	for (size_t i = 0; i < G_N_ELEMENTS(edits); i++) {
		char *text =
			replace_first(valid_upstream, edits[i][0], edits[i][1]);

		if (reads_upstream(text))
			fail_msg("accepted: %s", text);
		g_free(text);
	}
	assert_false(reads_upstream(""));
	assert_false(reads_upstream("\xff\xfe\x00"));
	assert_false(reads_upstream("[]"));
}

/* Writers may omit these fields when they are 0; the entry is still valid. */
void zero_fields_of_an_upstream_may_be_left_out(void **state)
{
	char *first = replace_first(valid_upstream, "\"coldLeftMs\":0,", "");
	char *both = replace_first(first, ",\"gpu\":0", "");

	(void)state;
	assert_true(reads_upstream(both));
	g_free(first);
	g_free(both);
}

static const char valid_wave[] =
	"{\"wave\":1,\"machines\":[\"m1\",\"m2\"],\"durationS\":20,"
	"\"maxCount\":1}";

/*
 * Guards against an order of a wave without its list of hosts or its number
 * that is started as a wave of no hosts, or as another wave, and is reported as
 * completed at once although no host had its upkeep.
 */
void a_wave_with_a_bad_field_is_rejected(void **state)
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
	assert_true(reads_wave("wave/1", valid_wave));
	for (size_t i = 0; i < G_N_ELEMENTS(edits); i++) {
		char *text =
			replace_first(valid_wave, edits[i][0], edits[i][1]);

		if (reads_wave("wave/1", text))
			fail_msg("accepted: %s", text);
		g_free(text);
	}
	assert_false(reads_wave("wave/2", valid_wave));
}

static const char valid_config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"h\","
	"\"pathPrefix\":\"/a/\",\"timeoutMs\":3000,\"targetLatencyMs\":600,"
	"\"priority\":1,\"service\":\"desk\",\"maxAttempts\":3,"
	"\"stretch\":1.6}],\"services\":[{\"name\":\"desk\"}],"
	"\"limits\":{\"maxBodyBytes\":262144}}";

/*
 * Guards against a configuration with one unreadable queue that takes effect
 * without that queue, so that its callers are answered that the queue doesn't
 * exist. The previous version stays in force instead.
 */
void a_configuration_with_a_bad_row_is_rejected(void **state)
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
	assert_true(reads_config(valid_config));
	for (size_t i = 0; i < G_N_ELEMENTS(edits); i++) {
		char *text =
			replace_first(valid_config, edits[i][0], edits[i][1]);

		if (reads_config(text))
			fail_msg("accepted: %s", text);
		g_free(text);
	}
}
