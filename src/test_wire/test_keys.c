/* API keys in requests and in configurations. */

#include "test_wire.h"

#include "wire_caller.h"
#include "wire_operator.h"

#define CONFIG(tenants)                                                        \
	"{\"version\":3,\"routes\":[{\"pathPrefix\":\"/q/\",\"service\":"      \
	"\"desk\",\"public\":false}],\"services\":[{\"name\":\"desk\"}"        \
	"]" tenants "}"

/* Decodes the key of a request with these Authorization headers; NULL: none. */
static char *parse_key(const char *first, const char *second)
{
	wwh_headers_t *headers = wwh_headers_new();
	char *key;

	wwh_headers_add(headers, "Host", "h");
	if (first != NULL)
		wwh_headers_add(headers, "authorization", first);
	if (second != NULL)
		wwh_headers_add(headers, "Authorization", second);
	key = wire_caller_api_key(headers);
	wwh_headers_delete(headers);
	return key;
}

void a_request_has_one_key_of_the_known_scheme(void **state)
{
	static const char *const wrong[] = {
		"",	    "Token",	    "Token ",	       "Tokenabc",
		"abc",	    "Bearer abc",   "Token a b",       "Token abc ",
		" Token a", "Token \t abc", "Basic Token abc",
	};
	char *key = parse_key("Token abc", NULL);

	(void)state;
	assert_string_equal(key, "abc");
	g_free(key);
	key = parse_key("token  \xff\xfe", NULL);
	assert_string_equal(key, "\xff\xfe");
	g_free(key);
	assert_null(parse_key(NULL, NULL));
	assert_null(parse_key("Token abc", "Token abc"));
	for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++)
		assert_null(parse_key(wrong[i], NULL));
}

/* Guards against headers that cost the process much time and memory. */
void an_oversized_key_is_rejected(void **state)
{
	char *huge = g_strnfill(64 * 1024, 'a');
	char *value = g_strconcat("Token ", huge, NULL);

	(void)state;
	assert_null(parse_key(value, NULL));
	g_free(value);
	g_free(huge);
}

static wwh_job_config_t *parse_config(const char *text, bool checks_keys)
{
	return wire_operator_parse_config((const uint8_t *)text, strlen(text),
					  checks_keys, NULL);
}

/* Guards against a malformed configuration that admits all callers. */
void a_configuration_without_its_keys_is_rejected(void **state)
{
	static const char *const bad[] = {
		CONFIG(""),
		CONFIG(",\"tenants\":null"),
		CONFIG(",\"tenants\":{}"),
		CONFIG(",\"tenants\":[7]"),
		CONFIG(",\"tenants\":[{\"name\":\"a\"}]"),
		CONFIG(",\"tenants\":[{\"apiKeys\":[\"k\"]}]"),
		CONFIG(",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"\"]}]"),
		CONFIG(",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"]},"
		       "{\"name\":\"b\",\"apiKeys\":[\"k\"]}]"),
		CONFIG(",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"],"
		       "\"maxCount\":7}]"),
		CONFIG(",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"],"
		       "\"maxCount\":{\"cpu\":\"x\"}}]"),
		CONFIG(",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"],"
		       "\"maxCount\":{\"memMb\":-1}}]"),
		CONFIG(",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\"],"
		       "\"weight\":-1}]"),
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_null(parse_config(bad[i], true));
}

void a_configuration_lists_workspaces_with_their_keys(void **state)
{
	static const char valid[] = CONFIG(
		",\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\",\"l\"]},"
		"{\"name\":\"b\",\"apiKeys\":[],"
		"\"weight\":7,\"maxCount\":{\"cpu\":9000,\"gpu\":2}}]");
	wwh_job_config_t *config = parse_config(valid, true);
	const wwh_workspace_limit_t *limit;
	const char *workspace;

	(void)state;
	assert_non_null(config);
	assert_int_equal(wwh_api_keys_check(config->api_keys, "l", &workspace),
			 WWH_ACCESS_GRANTED);
	assert_string_equal(workspace, "a");
	assert_int_equal(wwh_api_keys_check(config->api_keys, "m", &workspace),
			 WWH_ACCESS_UNKNOWN_KEY);
	assert_false(g_array_index(config->queues, wwh_queue_t, 0).is_public);
	assert_int_equal(config->limits->len, 1);
	limit = &g_array_index(config->limits, wwh_workspace_limit_t, 0);
	assert_string_equal(limit->name, "b");
	assert_int_equal(limit->limit.cpu_millicores, 9000);
	assert_int_equal(limit->limit.memory_mb, 0);
	assert_int_equal(limit->limit.gpus, 2);
	assert_int_equal(limit->weight, 7);
	wwh_job_config_unref(config);
	config = parse_config(CONFIG(""), false);
	assert_null(config->api_keys);
	wwh_job_config_unref(config);
}
