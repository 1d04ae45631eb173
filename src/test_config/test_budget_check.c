#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <cmocka.h>
#include <string.h>

#include "test_config.h"
#include "waxwinghollow/budget.h"

#define POOL_COUNT 2000
#define MAX_POOL_SIZE 8
#define RACK_COUNT 4
#define SEED 7

static char *random_workers(GRand *random)
{
	GString *text = g_string_new("id,address,rack,zone,region,pool\n");
	int32_t size = g_rand_int_range(random, 1, MAX_POOL_SIZE + 1);

	for (int32_t i = 0; i < size; i++) {
		int32_t rack = g_rand_int_range(random, 0, RACK_COUNT);

		g_string_append_printf(text, "w%d,10.0.0.%d,r%d,z%d,x,p\n", i,
				       i + 1, rack, rack % 2);
	}
	return g_string_free(text, FALSE);
}

static char *random_rules(GRand *random)
{
	return g_strdup_printf(
		"{\"pools\": [{\"id\": \"p\", \"lose_count\": %d, "
		"\"lose_percent\": %d, \"reserve\": \"%s\"}], "
		"\"windows\": [{\"id\": \"n\", \"pool\": \"p\"}]}",
		g_rand_int_range(random, 0, MAX_POOL_SIZE),
		g_rand_int_range(random, 0, 101),
		wwh_domain_names[g_rand_int_range(random, 0,
						  WWH_DOMAIN_COUNT)]);
}

/* Whether the conductor's budget allows to take out one worker of the pool. */
static bool can_wave_begin(const wwh_config_t *config)
{
	wwh_fleet_view_t *view = wwh_fleet_view_new();
	wwh_pool_budget_t *budget;
	bool allowed = false;

	(void)wwh_fleet_view_add_pool(view, wwh_config_pool_at(config, 0));
	for (int32_t i = 0; i < wwh_config_worker_count(config); i++)
		(void)wwh_fleet_view_add_worker(
			view, wwh_config_worker_at(config, i));
	wwh_fleet_view_seal(view);
	budget = wwh_pool_budget_new(view, 0);
	for (int32_t i = 0; i < wwh_fleet_worker_count(view); i++)
		allowed = allowed || wwh_pool_budget_allows(budget, i) ==
					     WWH_CONSTRAINT_NONE;
	wwh_pool_budget_delete(budget);
	wwh_fleet_view_delete(view);
	return allowed;
}

/*
 * The check of the configuration and the conductor both compute whether the
 * budget of a pool covers one worker and the reserve. If the check were less
 * strict than the conductor, a wave would be planned but never begin; if it
 * were stricter, a valid rule could not be published.
 */
void budget_check_agrees_with_the_conductor(void **unused)
{
	GRand *random = g_rand_new_with_seed(SEED);
	int32_t rejected_count = 0;

	(void)unused;
	for (int32_t i = 0; i < POOL_COUNT; i++) {
		char *workers = random_workers(random);
		char *rules = random_rules(random);
		GString *errors = g_string_new(NULL);
		wwh_config_t *config;
		bool passed;

		(void)parse_config(workers, rules, &config, errors);
		passed = strstr(errors->str, "waves are due") == NULL;
		if (passed != can_wave_begin(config))
			fail_msg("%s%s\n%s", workers, rules, errors->str);
		rejected_count += passed ? 0 : 1;
		wwh_config_unref(config);
		g_string_free(errors, TRUE);
		g_free(workers);
		g_free(rules);
	}
	assert_in_range(rejected_count, POOL_COUNT / 10, POOL_COUNT * 9 / 10);
	g_rand_free(random);
}
