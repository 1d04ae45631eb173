/* Tests the mapping of API keys to workspaces. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#include "waxwinghollow/api_keys.h"

static int set_up(void **state)
{
	wwh_api_keys_t *keys = wwh_api_keys_new();

	assert_true(wwh_api_keys_add(keys, "parks", "key-1"));
	assert_true(wwh_api_keys_add(keys, "parks", "key-2"));
	assert_true(wwh_api_keys_add(keys, "schools", "key-3"));
	*state = keys;
	return 0;
}

static int tear_down(void **state)
{
	wwh_api_keys_delete(*state);
	return 0;
}

static void assert_owner(const wwh_api_keys_t *keys, const char *key,
			 const char *owner)
{
	const char *workspace = NULL;

	assert_int_equal(wwh_api_keys_check(keys, key, &workspace),
			 WWH_ACCESS_GRANTED);
	assert_string_equal(workspace, owner);
}

static void assert_rejected(const wwh_api_keys_t *keys, const char *key,
			    wwh_access_t expected)
{
	const char *workspace = "stale";

	assert_int_equal(wwh_api_keys_check(keys, key, &workspace), expected);
	assert_null(workspace);
}

static void each_key_maps_to_its_workspace(void **state)
{
	assert_owner(*state, "key-1", "parks");
	assert_owner(*state, "key-2", "parks");
	assert_owner(*state, "key-3", "schools");
}

/*
 * Guards against accepting a key that matches another one only in part, or only
 * without regard to case or blanks.
 */
static void similar_keys_are_unknown(void **state)
{
	static const char *const wrong[] = {
		"key-", "key-11", "KEY-1", " key-1", "key-1 ", "key-4",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++)
		assert_rejected(*state, wrong[i], WWH_ACCESS_UNKNOWN_KEY);
	assert_rejected(*state, NULL, WWH_ACCESS_NO_KEY);
	assert_rejected(*state, "", WWH_ACCESS_NO_KEY);
}

/* Guards against a key that grants access to two workspaces. */
static void key_belongs_to_one_workspace(void **state)
{
	wwh_api_keys_t *keys = *state;

	assert_true(wwh_api_keys_add(keys, "parks", "key-1"));
	assert_false(wwh_api_keys_add(keys, "schools", "key-1"));
	assert_owner(keys, "key-1", "parks");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(each_key_maps_to_its_workspace,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(similar_keys_are_unknown,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(key_belongs_to_one_workspace,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
