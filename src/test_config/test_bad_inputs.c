#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>

#include "test_config.h"

#define WORKER(id, address, rack, zone)                                        \
	"{\"id\": \"" id "\", \"address\": \"" address "\", \"rack\": \"" rack \
	"\", \"zone\": \"" zone "\", \"region\": \"ie\", \"pool\": \"p\"}"
#define POOL "{\"id\": \"p\", \"lose_count\": 1}"
#define CSV_HEADER "id,address,rack,zone,region,pool\n"

typedef struct {
	const char *description;
	const char *inventory;
	const char *rules;
	const char *errors;
} bad_input_t;

static const bad_input_t bad_inputs[] = {
	{ "not JSON", "{\n\"workers\": [\n}", NULL,
	  "inv:3: not JSON with comments: unexpected character `}', expected "
	  "character `]'\n" },
	{ "not an object", "{}", "[]",
	  "rules:1: not a JSON object, expected {...}\n" },
	{ "unknown section", "{\n\"worker\": []}", "{\n\n\"pool\": []}",
	  "inv:2: unknown key 'worker', expected 'workers'\n"
	  "rules:3: unknown key 'pool', expected 'pools'\n" },
	{ "section that is not a list", "{\"workers\":\n 1}", NULL,
	  "inv:2: 'workers' is not a list, expected [...]\n" },
	{ "item that is not an object", "{\"workers\": [\n1, null]}", NULL,
	  "inv:2: an item of 'workers' is not an object, expected {...}\n"
	  "inv:2: an item of 'workers' is not an object, expected {...}\n" },
	{ "unknown key, missing keys",
	  "{\"workers\": [\n{\"id\": \"w\",\n\"adress\": \"10.0.0.1\",\n"
	  "\"rack\": \"r\", \"zone\": \"a\", \"region\": \"x\"}]}",
	  NULL,
	  "inv:3: unknown key 'adress', expected 'address'\n"
	  "inv:2: 'address' is missing, expected an IP number\n"
	  "inv:2: 'pool' is missing, expected letters, digits and . _ - : (at "
	  "most 128)\n" },
	{ "wrong types and ranges",
	  "{\"workers\": [" WORKER(
		  "w1", "10.0.0.1", "r",
		  "a") ",\n"
		       "{\"id\": \"w 2\",\n\"address\": \"10.0.0\",\n\"rack\": "
		       "3,\n"
		       "\"zone\": null,\n\"region\": [],\n\"pool\": \"p\",\n"
		       "\"cores\": 0,\n\"memory_mb\": \"many\",\n"
		       "\"accelerators\": 1.5}]}",
	  "{\"pools\": [" POOL "]}",
	  "inv:2: 'id' is \"w 2\", expected letters, digits and . _ - : (at "
	  "most 128)\n"
	  "inv:3: 'address' is \"10.0.0\", expected an IP number\n"
	  "inv:4: 'rack' is 3, expected letters, digits and . _ - : (at most "
	  "128)\n"
	  "inv:5: 'zone' is null, expected letters, digits and . _ - : (at "
	  "most 128)\n"
	  "inv:6: 'region' is [], expected letters, digits and . _ - : (at "
	  "most 128)\n"
	  "inv:8: 'cores' is 0, expected a whole number from 1 to 100000\n"
	  "inv:9: 'memory_mb' is \"many\", expected a whole number from 1 to "
	  "1099511627776\n"
	  "inv:10: 'accelerators' is 1.5, expected a whole number from 0 to "
	  "100000\n" },
	{ "number beyond 64 bits, as a string and as a number",
	  "{\"workers\": \"99999999999999999999\"}",
	  "{\"pools\": [{\"id\": \"p\",\n"
	  "\"lose_count\": -18446744073709551615}]}",
	  "inv:1: 'workers' is not a list, expected [...]\n"
	  "rules:2: not JSON with comments: a number of more than 18 digits, "
	  "expected fewer\n" },
	{ "octal number", NULL, "{\n\"rules\": {\"key_window_s\":\n010}}",
	  "rules:3: not JSON with comments: a number that begins with 0, "
	  "expected decimal\n" },
	{ "hexadecimal number", NULL, "{\"rules\": 0x10}",
	  "rules:1: not JSON with comments: a number with a letter in it, "
	  "expected decimal\n" },
	{ "single quotes", NULL, "{\n'rules': {}}",
	  "rules:2: not JSON with comments: a ' or $ outside of a string, "
	  "expected \"...\"\n" },
	{ "nesting too deep", NULL,
	  "{\"pools\": [[[[[[[[\n[[[[[[[[[[[[[[[[[[[[",
	  "rules:2: not JSON with comments: values nested more than 16 deep, "
	  "expected fewer\n" },
	{ "escape unknown to JSON", NULL, "{\n\"pools\\u\": []}",
	  "rules:2: not JSON with comments: an unknown escape in a string, "
	  "expected one of JSON\n" },
	{ "half a surrogate pair", NULL, "{\"\\ud800\": []}",
	  "rules:1: not JSON with comments: an unknown escape in a string, "
	  "expected one of JSON\n" },
	{ "numbers out of range", NULL,
	  "{\"rules\": {\"move_weight\": -1,\n"
	  "\"key_window_s\": 999999999999999999}}",
	  "rules:1: 'move_weight' is -1, expected a whole number from 0 to "
	  "1000000\n"
	  "rules:2: 'key_window_s' is 999999999999999999, expected a whole "
	  "number from 1 to 604800\n" },
	{ "duplicate key", "{}",
	  "{\"pools\": [\n{\"id\": \"p\",\n\"lose_count\": 1,\n"
	  "\"lose_count\": 2}]}",
	  "rules:4: key 'lose_count' stands twice, first at line 3, expected "
	  "once\n" },
	{ "duplicate id and address",
	  "{\"workers\": [\n" WORKER("w1", "10.0.0.1", "r", "a") ",\n" WORKER(
		  "w1", "10.0.0.2", "r", "a") ",\n" WORKER("w2", "10.0.0.1",
							   "r", "a") "]}",
	  "{\"pools\": [" POOL "]}",
	  "inv:3: worker id 'w1' stands twice (line 2), expected once\n"
	  "inv:4: address 10.0.0.1 is also worker 'w1' (line 2), expected one "
	  "worker an address\n" },
	{ "rack in two zones",
	  "{\"workers\": [\n" WORKER("w1", "10.0.0.1", "r", "a") ",\n" WORKER(
		  "w2", "10.0.0.2", "r", "b") "]}",
	  "{\"pools\": [" POOL "]}",
	  "inv:3: rack 'r' is in zone 'b' here and in 'a' by worker 'w1' (line "
	  "2), expected one zone\n" },
	{ "zone in two regions",
	  CSV_HEADER "w1,10.0.0.1,r1,a,ie,p\nw2,10.0.0.2,r2,a,uk,p\n",
	  "{\"pools\": [" POOL "]}",
	  "inv:3: zone 'a' is in region 'uk' here and in 'ie' by worker 'w1' "
	  "(line 2), expected one region\n" },
	{ "unknown pool", CSV_HEADER "w1,10.0.0.1,r1,a,ie,q\n",
	  "{\"pools\": [" POOL "]}",
	  "inv:2: unknown pool 'q', expected one of 'pools'\n" },
	{ "minion of unknown service and worker",
	  "{\"minions\": [\n{\"id\": \"m\", \"service\": \"s\",\n"
	  "\"worker\": \"w\", \"zone\": \"a\", \"address\": \"10.0.0.1\"}]}",
	  "{}",
	  "inv:2: unknown service 's', expected one of 'services'\n"
	  "inv:2: unknown worker 'w', expected one of 'workers'\n" },
	{ "minion in a zone other than its worker's",
	  "kind,id,address,port,rack,zone,region,pool,service,worker\n"
	  ",w1,10.0.0.1,,r1,a,ie,p,,\n"
	  "minion,m1,10.0.0.1,81,,b,,,s,w1\n"
	  "minion,m2,10.0.0.1,82,,,,,s,\n"
	  "minion,m3,10.0.0.1,81,,a,,,s,w1\n",
	  "{\"pools\": [" POOL "], \"services\": [{\"id\": \"s\",\n"
	  "\"path_prefix\": \"/s\", \"pool\": \"p\"}]}",
	  "inv:3: minion 'm1' is in zone 'b', expected 'a', the zone of its "
	  "worker 'w1'\n"
	  "inv:4: minion 'm2' has neither worker nor zone, expected one\n"
	  "inv:5: address 10.0.0.1 port 81 is also minion 'm1' (line 3), "
	  "expected one minion an address and port\n" },
	{ "service of unknown pool and team, duplicate prefix", NULL,
	  "{\"services\": [\n"
	  "{\"id\": \"s1\", \"path_prefix\": \"/s\", \"pool\": \"p\"},\n"
	  "{\"id\": \"s2\", \"path_prefix\": \"/s\", \"pool\": \"p\",\n"
	  "\"team\": \"t\"}], \"pools\": []}",
	  "rules:2: unknown pool 'p', expected one of 'pools'\n"
	  "rules:3: unknown pool 'p', expected one of 'pools'\n"
	  "rules:3: unknown team 't', expected one of 'teams'\n"
	  "rules:3: path_prefix /s is also service 's1' (line 2), expected one "
	  "service a prefix\n" },
	{ "malformed path prefixes", NULL,
	  "{\"pools\": [" POOL "], \"services\": [\n"
	  "{\"id\": \"s1\", \"path_prefix\": \"s\", \"pool\": \"p\"},\n"
	  "{\"id\": \"s2\", \"path_prefix\": \"/s/\", \"pool\": \"p\"},\n"
	  "{\"id\": \"s3\", \"path_prefix\": \"/a//b\", \"pool\": \"p\"}]}",
	  "rules:2: 'path_prefix' is \"s\", expected a path that begins with / "
	  "and has no empty segment, space, ? or #\n"
	  "rules:3: 'path_prefix' is \"/s/\", expected a path that begins with "
	  "/ and has no empty segment, space, ? or #\n"
	  "rules:4: 'path_prefix' is \"/a//b\", expected a path that begins "
	  "with / and has no empty segment, space, ? or #\n" },
	{ "budgets too small for a wave",
	  CSV_HEADER "w1,10.0.0.1,r1,a,ie,p\nw2,10.0.0.2,r2,a,ie,p\n"
		     "w3,10.0.0.3,r3,a,ie,q\nw4,10.0.0.4,r3,a,ie,q\n"
		     "w5,10.0.0.5,r4,a,ie,q\n"
		     "w6,10.0.0.6,r3,a,ie,s\nw7,10.0.0.7,r3,a,ie,s\n"
		     "w8,10.0.0.8,r4,a,ie,s\nw9,10.0.0.9,r4,a,ie,s\n",
	  "{\"pools\": [\n"
	  "{\"id\": \"p\", \"lose_count\": 1, \"lose_percent\": 40},\n"
	  "{\"id\": \"q\", \"lose_count\": 1, \"reserve\": \"rack\"},\n"
	  "{\"id\": \"s\", \"lose_count\": 2, \"reserve\": \"rack\"}],\n"
	  "\"windows\": [{\"id\": \"n\", \"pool\": \"*\"}]}",
	  "rules:2: pool 'p' of 2 workers may lose 0 (lose_count 1, "
	  "lose_percent 40) but waves are due in window 'n', expected at least "
	  "2: one worker and a reserve of 1 for the loss of a worker\n"
	  "rules:3: pool 'q' of 3 workers may lose 1 (lose_count 1, "
	  "lose_percent 100) but waves are due in window 'n', expected at "
	  "least 2: one worker and a reserve of 1 for the loss of a rack\n"
	  "rules:4: pool 's' of 4 workers may lose 2 (lose_count 2, "
	  "lose_percent 100) but waves are due in window 'n', expected at "
	  "least 3: one worker and a reserve of 2 for the loss of a rack\n" },
	{ "pool within one reserved domain",
	  CSV_HEADER "w1,10.0.0.1,r1,a,ie,p\nw2,10.0.0.2,r1,a,ie,p\n",
	  "{\"pools\": [\n"
	  "{\"id\": \"p\", \"lose_count\": 1, \"reserve\": \"rack\"}]}",
	  "rules:2: pool 'p' is to survive the loss of a rack but all its 2 "
	  "workers are in rack 'r1', expected two at least\n" },
	{ "windows that never open", NULL,
	  "{\"windows\": [\n"
	  "{\"id\": \"n\", \"pool\": \"*\", \"days\": []},\n"
	  "{\"id\": \"o\", \"pool\": \"*\", \"duration_minutes\": 0},\n"
	  "{\"id\": \"q\", \"pool\": \"p\", \"days\": [\"monday\"],\n"
	  "\"start_minute\": \"24:00\"}]}",
	  "rules:4: 'days' is [\"monday\"], expected a list of mon, tue, wed, "
	  "thu, fri, sat, sun\n"
	  "rules:5: 'start_minute' is \"24:00\", expected \"HH:MM\" from 00:00 "
	  "to 23:59\n"
	  "rules:2: window 'n' has no day and never opens, expected at least "
	  "one of mon ... sun\n"
	  "rules:3: window 'o' lasts 0 minutes and never opens, expected "
	  "duration_minutes from 1 to 1440\n"
	  "rules:4: unknown pool 'p', expected one of 'pools'\n" },
	{ "quota beyond the fleet",
	  "id,address,rack,zone,region,pool,cores,memory_mb\n"
	  "w1,10.0.0.1,r1,a,ie,p,32,1024\n",
	  "{\"pools\": [" POOL "],\n"
	  "\"teams\": [{\"id\": \"t\", \"cores\": 33, \"memory_mb\": 1024,\n"
	  "\"accelerators\": 1}]}",
	  "rules:2: team 't' has a quota of 33 cores but the fleet has 32, "
	  "expected at most that\n"
	  "rules:2: team 't' has a quota of 1 accelerators but the fleet has "
	  "0, expected at most that\n" },
	{ "unknown column", "id,adress,rack,zone,region,pool,x-bought,id\n",
	  NULL,
	  "inv:1: unknown column 'adress', expected 'address'\n"
	  "inv:1: column 'id' stands twice, expected once\n" },
	{ "malformed CSV cells",
	  CSV_HEADER "\n"
		     "w1,10.0.0.1,r1,a,ie\n"
		     "w2,\"10.0.\n0.2\",r1,a,ie,p\n"
		     "w3,10.0.0.3,\"r\"\"1\",a,ie,p\n"
		     "w4,\"10.0.0.4\"x,r1,a,ie,p\n",
	  "{\"pools\": [" POOL "]}",
	  "inv:3: 5 cells, expected 6 as in the first row\n"
	  "inv:4: 'address' is '10.0. 0.2', expected an IP number\n"
	  "inv:6: 'rack' is 'r\"1', expected letters, digits and . _ - : (at "
	  "most 128)\n"
	  "inv:7: the quotes of a cell do not end before a comma or line end, "
	  "expected \"...\" with inner quotes doubled\n" },
	{ "missing columns", "id,address,rack,zone\nw,10.0.0.1,r,a", NULL,
	  "inv:2: no column 'region', expected it for a worker\n"
	  "inv:2: no column 'pool', expected it for a worker\n" },
};

void bad_inputs_are_reported_with_line_numbers(void **unused)
{
	bool same = true;

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(bad_inputs); i++) {
		const bad_input_t *row = &bad_inputs[i];
		GString *errors = g_string_new(NULL);
		wwh_config_t *config;
		wwh_status_t status = parse_config(row->inventory, row->rules,
						   &config, errors);

		assert_int_equal(status, WWH_STATUS_BAD_INPUT);
		if (g_strcmp0(errors->str, row->errors) != 0) {
			print_error("%s: got\n%sexpected\n%s", row->description,
				    errors->str, row->errors);
			same = false;
		}
		g_string_free(errors, TRUE);
		wwh_config_unref(config);
	}
	assert_true(same);
}
