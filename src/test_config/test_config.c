#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "test_config.h"

static const char *const INVENTORY =
	"{ // the asset register's export\n"
	"  \"workers\": [\n"
	"    {\"id\": \"w2\", \"address\": \"10.0.0.2\", \"rack\": \"r2\",\n"
	"     \"zone\": \"a\", \"region\": \"ie\", \"pool\": \"p\",\n"
	"     \"cores\": 32, \"memory_mb\": 131072},\n"
	"    {\"id\": \"w1\", \"address\": \"10.0.0.1\", \"rack\": \"r1\",\n"
	"     \"zone\": \"a\", \"region\": \"ie\", \"pool\": \"p\"}\n"
	"  ],\n"
	"  \"minions\": [\n"
	"    {\"id\": \"m1\", \"service\": \"book\", \"worker\": \"w1\",\n"
	"     \"address\": \"10.0.0.1\", \"port\": 8001}\n"
	"  ]\n"
	"}\n";

static const char *const RULES =
	"{\n"
	"  \"pools\": [{\"id\": \"p\", \"lose_count\": 2}],\n"
	"  \"services\": [\n"
	"    {\"id\": \"book\", \"path_prefix\": \"/book\", \"pool\": \"p\",\n"
	"     \"team\": \"parks\", \"urgent\": true},\n"
	"    {\"id\": \"party\", \"path_prefix\": \"/book/party\",\n"
	"     \"pool\": \"p\"}\n"
	"  ],\n"
	"  \"teams\": [{\"id\": \"parks\", \"cores\": 8}],\n"
	"  \"windows\": [{\"id\": \"night\", \"pool\": \"*\",\n"
	"     \"days\": [\"mon\", \"sun\"], \"start_minute\": \"02:30\",\n"
	"     \"duration_minutes\": 180}],\n"
	"  \"rules\": {\"move_weight\": 5}\n"
	"}\n";

wwh_status_t parse_config(const char *inventory, const char *rules,
			  wwh_config_t **config, GString *errors)
{
	wwh_config_text_t inventory_text = { "inv", inventory, 0 };
	wwh_config_text_t rules_text = { "rules", rules, 0 };

	if (inventory != NULL)
		inventory_text.size = strlen(inventory);
	if (rules != NULL)
		rules_text.size = strlen(rules);
	*config = wwh_config_new();
	return wwh_config_parse(*config, &inventory_text, &rules_text,
				append_error, errors);
}

void append_error(const char *file, int32_t line, const char *text,
		  void *client_data)
{
	g_string_append_printf(client_data, "%s:%d: %s\n", file, line, text);
}

static wwh_config_t *valid_config(void)
{
	GString *errors = g_string_new(NULL);
	wwh_config_t *config;
	wwh_status_t status = parse_config(INVENTORY, RULES, &config, errors);

	assert_string_equal(errors->str, "");
	assert_int_equal(status, WWH_STATUS_OK);
	g_string_free(errors, TRUE);
	return config;
}

static void items_are_loaded_and_found_by_id(void **unused)
{
	wwh_config_t *config = valid_config();
	const wwh_window_t *window = wwh_config_window_at(config, 0);

	(void)unused;
	assert_int_equal(wwh_config_worker_count(config), 2);
	assert_string_equal(wwh_config_worker_at(config, 0)->id, "w1");
	assert_int_equal(wwh_config_worker(config, "w2")->memory_mb, 131072);
	assert_null(wwh_config_worker(config, "w3"));
	assert_string_equal(wwh_config_minion(config, "m1")->zone, "a");
	assert_int_equal(wwh_config_minion(config, "m1")->slots, 8);
	assert_true(wwh_config_service(config, "book")->urgent);
	assert_int_equal(wwh_config_team(config, "parks")->cores, 8);
	assert_int_equal(window->days, 0x41);
	assert_int_equal(window->start_minute, 150);
	assert_int_equal(wwh_config_rules(config)->move_weight, 5);
	assert_int_equal(wwh_config_rules(config)->buffer_weight, 1);
	wwh_config_unref(config);
}

/* Spreadsheets write a byte order mark, CR LF and columns in any order. */
static void csv_of_a_spreadsheet_is_loaded(void **unused)
{
	static const char *const csv = "\xef\xbb\xbfpool,id,address,rack,zone,"
				       "region,x-bought,cores\r\n"
				       "p,\"w1\",10.0.0.1,r1,a,ie,\"May "
				       "2024,\r\nsay \"\"new\"\"\",\r\n"
				       "\r\n"
				       "p,w2,10.0.0.2,r2,a,ie,,16";
	GString *errors = g_string_new(NULL);
	wwh_config_t *config;

	(void)unused;
	assert_int_equal(parse_config(csv, RULES, &config, errors),
			 WWH_STATUS_OK);
	assert_string_equal(errors->str, "");
	assert_int_equal(wwh_config_worker_count(config), 2);
	assert_int_equal(wwh_config_worker(config, "w1")->cores, 1);
	assert_int_equal(wwh_config_worker(config, "w2")->cores, 16);
	wwh_config_unref(config);
	g_string_free(errors, TRUE);
}

static void path_is_routed_by_longest_prefix_of_segments(void **unused)
{
	wwh_config_t *config = valid_config();

	(void)unused;
	assert_string_equal(wwh_config_route(config, "/book")->id, "book");
	assert_string_equal(wwh_config_route(config, "/book?a=1")->id, "book");
	assert_string_equal(wwh_config_route(config, "/book/1")->id, "book");
	assert_string_equal(wwh_config_route(config, "/book/party/2")->id,
			    "party");
	assert_string_equal(wwh_config_route(config, "/book/partying")->id,
			    "book");
	assert_null(wwh_config_route(config, "/booking"));
	assert_null(wwh_config_route(config, "/"));
	assert_null(wwh_config_route(config, ""));
	wwh_config_unref(config);
}

static wwh_config_change_t *encode_and_decode(const wwh_config_change_t *change)
{
	GBytes *bytes = wwh_config_change_encode(change);
	wwh_config_change_t *decoded;
	wwh_message_t message = { "" };
	gsize size;
	const uint8_t *data = g_bytes_get_data(bytes, &size);

	assert_int_equal(
		wwh_config_change_decode(data, size, &decoded, &message),
		WWH_STATUS_OK);
	g_bytes_unref(bytes);
	return decoded;
}

static void applying_a_decoded_change_yields_the_target(void **unused)
{
	wwh_config_t *empty = wwh_config_new();
	wwh_config_t *config = valid_config();
	wwh_config_change_t *change = wwh_config_diff(empty, config);
	wwh_config_change_t *decoded = encode_and_decode(change);
	wwh_config_change_t *remaining;
	wwh_config_t *applied;
	wwh_message_t message;

	(void)unused;
	assert_int_equal(wwh_config_change_count(change), 9);
	assert_int_equal(
		wwh_config_apply(empty, decoded, 7, &applied, &message),
		WWH_STATUS_OK);
	assert_int_equal(wwh_config_version(applied), 7);
	remaining = wwh_config_diff(applied, config);
	assert_int_equal(wwh_config_change_count(remaining), 0);
	wwh_config_change_delete(remaining);
	wwh_config_change_delete(change);
	wwh_config_change_delete(decoded);
	wwh_config_unref(applied);
	wwh_config_unref(config);
	wwh_config_unref(empty);
}

/*
 * Processes that apply the same change must not diverge: a change whose result
 * fails the checks is rejected, and the base is not modified.
 */
static void a_change_with_an_invalid_result_is_rejected(void **unused)
{
	wwh_config_t *config = valid_config();
	wwh_config_t *other;
	wwh_config_t *applied;
	wwh_config_change_t *change;
	wwh_message_t message;
	GString *errors = g_string_new(NULL);

	(void)unused;
	(void)parse_config(NULL, RULES, &other, errors);
	assert_string_equal(errors->str, "");
	change = wwh_config_diff(other, config);
	wwh_config_unref(other);
	other = wwh_config_new();
	assert_int_equal(wwh_config_apply(other, change, 1, &applied, &message),
			 WWH_STATUS_BAD_INPUT);
	assert_null(applied);
	assert_string_equal(message.text,
			    "unknown pool 'p', expected one of 'pools'");
	wwh_config_change_delete(change);
	change = wwh_config_diff(config, other);
	assert_int_equal(wwh_config_apply(other, change, 1, &applied, &message),
			 WWH_STATUS_BAD_INPUT);
	assert_null(applied);
	assert_string_equal(message.text,
			    "removes worker 'w1', which is not there, "
			    "expected an id of the base version");
	assert_int_equal(
		wwh_config_apply(config, change, 0, &applied, &message),
		WWH_STATUS_BAD_ARGUMENT);
	assert_int_equal(wwh_config_worker_count(config), 2);
	wwh_config_change_delete(change);
	wwh_config_unref(other);
	wwh_config_unref(config);
	g_string_free(errors, TRUE);
}

static void unchanged_items_are_shared_between_versions(void **unused)
{
	wwh_config_t *config = valid_config();
	wwh_config_t *empty = wwh_config_new();
	wwh_config_change_t *nothing = wwh_config_diff(config, config);
	wwh_config_t *next;

	(void)unused;
	assert_int_equal(wwh_config_change_count(nothing), 0);
	assert_int_equal(wwh_config_apply(config, nothing, 1, &next, NULL),
			 WWH_STATUS_OK);
	assert_ptr_equal(wwh_config_worker(config, "w1"),
			 wwh_config_worker(next, "w1"));
	wwh_config_unref(config);
	assert_string_equal(wwh_config_worker(next, "w1")->rack, "r1");
	wwh_config_change_delete(nothing);
	wwh_config_unref(next);
	wwh_config_unref(empty);
}

/*
 * The log accepts several hundred records per second, and every entry process
 * reads all of them. If each change contained the whole inventory, the target
 * load of 3300 changes per day would amount to 1.8 GB per day for each process.
 */
static void a_change_contains_only_the_changed_items(void **unused)
{
	static const char *const moved =
		"id,address,rack,zone,region,pool,cores,memory_mb\n"
		"w1,10.0.0.1,r1,a,ie,p,,\n"
		"w2,10.0.0.2,r3,a,ie,p,32,131072\n";
	GString *errors = g_string_new(NULL);
	wwh_config_t *config;
	wwh_config_t *other;
	wwh_config_change_t *change;
	GBytes *bytes;

	(void)unused;
	(void)parse_config("id,address,rack,zone,region,pool,cores,memory_mb\n"
			   "w1,10.0.0.1,r1,a,ie,p,,\n"
			   "w2,10.0.0.2,r2,a,ie,p,32,131072\n",
			   RULES, &config, errors);
	(void)parse_config(moved, RULES, &other, errors);
	assert_string_equal(errors->str, "");
	change = wwh_config_diff(config, other);
	bytes = wwh_config_change_encode(change);
	assert_int_equal(wwh_config_change_count(change), 1);
	assert_in_range(g_bytes_get_size(bytes), 1, 64);
	g_bytes_unref(bytes);
	wwh_config_change_delete(change);
	wwh_config_unref(config);
	wwh_config_unref(other);
	g_string_free(errors, TRUE);
}

static void malformed_changes_are_rejected(void **unused)
{
	static const struct {
		const char *bytes;
		size_t size;
		const char *message;
	} malformed[] = {
		{ "", 0,
		  "change of 0 bytes is malformed, expected one complete "
		  "MessagePack value" },
		{ "\x92\x01", 2, "change of 2 bytes is malformed" },
		{ "\x92\x01\x90\x00", 4, "change of 4 bytes is malformed" },
		{ "\x92\x01\xdd\xff\xff\xff\xff", 7,
		  "change of 7 bytes is malformed" },
		{ "\x92\x02\x90", 3, "another format version" },
		{ "\x92\x01\x01", 3, "no list of entries" },
		{ "\x92\x01\x91\x92\x07\xa1x", 7, "entry 0 is malformed" },
		{ "\x92\x01\x91\x92\x00\xa0", 6,
		  "removes a worker with a malformed id" },
		{ "\x92\x01\x91\x92\x00\xa1/", 7,
		  "removes a worker with a malformed id" },
		{ "\x92\x01\x92\x92\x00\xa1x\x92\x00\xa1x", 11,
		  "entry 1 is out of order" },
		{ "\x92\x01\x91\x92\x06\x95\x00\x00\xff\x01\x01", 11,
		  "entry 0, rules: bad 'key_window_s', expected a whole "
		  "number from 1 to 604800" },
		{ "\x92\x01\x91\x92\x06\x94\x00\x00\x01\x01", 10,
		  "entry 0 is not a rules, expected a list of 5 members" },
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
		wwh_config_change_t *change;
		wwh_message_t message = { "" };

		assert_int_equal(wwh_config_change_decode(
					 (const uint8_t *)malformed[i].bytes,
					 malformed[i].size, &change, &message),
				 WWH_STATUS_BAD_INPUT);
		assert_null(change);
		if (strstr(message.text, malformed[i].message) == NULL)
			fail_msg("row %zu: %s", i, message.text);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(items_are_loaded_and_found_by_id),
		cmocka_unit_test(csv_of_a_spreadsheet_is_loaded),
		cmocka_unit_test(path_is_routed_by_longest_prefix_of_segments),
		cmocka_unit_test(applying_a_decoded_change_yields_the_target),
		cmocka_unit_test(a_change_with_an_invalid_result_is_rejected),
		cmocka_unit_test(unchanged_items_are_shared_between_versions),
		cmocka_unit_test(a_change_contains_only_the_changed_items),
		cmocka_unit_test(malformed_changes_are_rejected),
		cmocka_unit_test(bad_inputs_are_reported_with_line_numbers),
		cmocka_unit_test(budget_check_agrees_with_the_conductor),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
