#ifndef WAXWINGHOLLOW_CONFIG_H
#define WAXWINGHOLLOW_CONFIG_H

/*
 * NAME
 *	config - inventory and rules, as one checked and versioned whole
 *
 * USE
 *	Operators keep two files: the asset register's export (CSV or JSON)
 *	and the rules (JSON with comments). wwh_config_load reads both into one
 *	wwh_config_t and reports every error with its file and line. What is
 *	published on the platform's log is a wwh_config_change_t: the items
 *	that differ from the version it is based on. Every process applies the
 *	accepted changes in log order, so all hold the same configuration.
 *
 *	A wwh_config_t is not written to after it was made; processes share it
 *	by reference count.
 *
 * ORDER OF CALLS
 *	wwh_config_new; then wwh_config_load or wwh_config_apply; lookups;
 *	wwh_config_unref. wwh_config_ref at any time while a reference is held.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/status.h"

/* A host of the inventory. Sizes are the declared ones. */
typedef struct {
	char *id;
	char *address; /* IP number */
	char *rack;
	char *zone; /* availability zone */
	char *region;
	char *pool;
	int32_t cores;
	int64_t memory_mb;
	int32_t accelerators;
} wwh_worker_t;

/* An upstream of a service; it runs on a worker. */
typedef struct {
	char *id;
	char *service;
	char *worker; /* id of the worker it runs on; may be "" */
	char *address; /* IP number */
	int32_t port;
	char *zone;
	int32_t slots; /* requests at once, over all entry processes */
	int32_t connections; /* TCP connections, over all entry processes */
} wwh_minion_t;

typedef enum {
	WWH_DOMAIN_WORKER = 0,
	WWH_DOMAIN_RACK,
	WWH_DOMAIN_ZONE,
	WWH_DOMAIN_COUNT
} wwh_domain_t;

/* Names of wwh_domain_t, in the same order. */
extern const char *const wwh_domain_names[WWH_DOMAIN_COUNT];

/* A pool and what its services may lose at once, by plan or by failure. */
typedef struct {
	char *id;
	int32_t lose_count; /* workers out at once, at most */
	int32_t lose_percent; /* and at most this share of the pool */
	int32_t lose_per_rack; /* workers out at once in one rack; 0: any */
	int32_t lose_per_zone; /* workers out at once in one zone; 0: any */
	wwh_domain_t reserve; /* the failure to survive during a wave */
} wwh_pool_t;

typedef struct {
	char *id;
	char *path_prefix; /* requests with this path prefix are the service's */
	char *pool;
	char *team;
	bool urgent; /* goes before bulk */
	int32_t deadline_ms; /* when the caller names none */
	int64_t max_body_bytes;
	int64_t max_answer_bytes;
} wwh_service_t;

/* A team and what it may hold at once. */
typedef struct {
	char *id;
	int32_t cores;
	int64_t memory_mb;
	int32_t accelerators;
	int32_t requests; /* requests at once; 0: no limit */
} wwh_team_t;

/* When waves may run, in UTC. */
typedef struct {
	char *id;
	char *pool; /* "*": every pool */
	uint8_t days; /* bit 0: Monday ... bit 6: Sunday */
	int32_t start_minute; /* of the day */
	int32_t duration_minutes;
} wwh_window_t;

/* Rules that hold for the whole deployment. */
typedef struct {
	int32_t buffer_weight; /* what a held-back worker costs the planner */
	int32_t move_weight; /* what a moved job costs the planner */
	int32_t key_window_s; /* idempotency keys are remembered this long */
	int32_t drain_limit_s; /* a drain that takes longer is reported */
	int32_t return_limit_s; /* a worker not back by then counts as failed */
} wwh_rules_t;

typedef enum {
	WWH_ITEM_WORKER = 0,
	WWH_ITEM_MINION,
	WWH_ITEM_POOL,
	WWH_ITEM_SERVICE,
	WWH_ITEM_TEAM,
	WWH_ITEM_WINDOW,
	WWH_ITEM_RULES, /* one item, its id is "rules" */
	WWH_ITEM_COUNT
} wwh_item_kind_t;

/* Names of wwh_item_kind_t, in the same order. */
extern const char *const wwh_item_kind_names[WWH_ITEM_COUNT];

typedef struct wwh_config wwh_config_t;

/* What differs between two configurations: items set and items removed. */
typedef struct wwh_config_change wwh_config_change_t;

/* Called once an error; line is 0 where there is none. */
typedef void (*wwh_config_error_t)(const char *file, int32_t line,
				   const char *text, void *client_data);

wwh_config_t *wwh_config_new(void); /* empty, version 0 */
wwh_config_t *wwh_config_ref(const wwh_config_t *config);
void wwh_config_unref(wwh_config_t *config);

/*
 * Reads both files and checks them as a whole. Reports every error, returns
 * WWH_STATUS_BAD_INPUT when there was one. Either path may be NULL.
 */
wwh_status_t wwh_config_load(wwh_config_t *config, const char *inventory_path,
			     const char *rules_path, wwh_config_error_t error,
			     void *client_data);

/* The text of a file that is in memory already; text may be NULL: none. */
typedef struct {
	const char *name; /* for error messages */
	const char *text;
	size_t size;
} wwh_config_text_t;

/* wwh_config_load for files that were read already. */
wwh_status_t wwh_config_parse(wwh_config_t *config,
			      const wwh_config_text_t *inventory,
			      const wwh_config_text_t *rules,
			      wwh_config_error_t error, void *client_data);

int64_t wwh_config_version(const wwh_config_t *config);

/* Items in the order of their ids. index is below the count. */
int32_t wwh_config_worker_count(const wwh_config_t *config);
int32_t wwh_config_minion_count(const wwh_config_t *config);
int32_t wwh_config_pool_count(const wwh_config_t *config);
int32_t wwh_config_service_count(const wwh_config_t *config);
int32_t wwh_config_team_count(const wwh_config_t *config);
int32_t wwh_config_window_count(const wwh_config_t *config);
const wwh_worker_t *wwh_config_worker_at(const wwh_config_t *config,
					 int32_t index);
const wwh_minion_t *wwh_config_minion_at(const wwh_config_t *config,
					 int32_t index);
const wwh_pool_t *wwh_config_pool_at(const wwh_config_t *config, int32_t index);
const wwh_service_t *wwh_config_service_at(const wwh_config_t *config,
					   int32_t index);
const wwh_team_t *wwh_config_team_at(const wwh_config_t *config, int32_t index);
const wwh_window_t *wwh_config_window_at(const wwh_config_t *config,
					 int32_t index);
const wwh_rules_t *wwh_config_rules(const wwh_config_t *config);

/* Lookups by id; NULL when there is none. */
const wwh_worker_t *wwh_config_worker(const wwh_config_t *config,
				      const char *id);
const wwh_minion_t *wwh_config_minion(const wwh_config_t *config,
				      const char *id);
const wwh_pool_t *wwh_config_pool(const wwh_config_t *config, const char *id);
const wwh_service_t *wwh_config_service(const wwh_config_t *config,
					const char *id);
const wwh_team_t *wwh_config_team(const wwh_config_t *config, const char *id);

/* The service whose path prefix is the longest that fits; NULL: none. */
const wwh_service_t *wwh_config_route(const wwh_config_t *config,
				      const char *path);

/* What has to change for from to become to. Empty when they are alike. */
wwh_config_change_t *wwh_config_diff(const wwh_config_t *from,
				     const wwh_config_t *to);
void wwh_config_change_delete(wwh_config_change_t *change);

/* Sets the pool of one worker; NULL when there is no such worker. */
wwh_config_change_t *wwh_config_change_new_for_pool(const wwh_config_t *config,
						    const char *worker,
						    const char *pool);
int32_t wwh_config_change_count(const wwh_config_change_t *change);

/* msgpack of a change; decoding checks every bound and type. */
GBytes *wwh_config_change_encode(const wwh_config_change_t *change);
wwh_status_t wwh_config_change_decode(const uint8_t *data, size_t size,
				      wwh_config_change_t **change,
				      wwh_message_t *message);

/*
 * A new configuration with version, made from base and change; base is left
 * as it is. WWH_STATUS_BAD_INPUT and a message when the result fails the
 * checks of wwh_config_load. Worker pools set by moves on the log are not
 * its matter: see state.h.
 */
wwh_status_t wwh_config_apply(const wwh_config_t *base,
			      const wwh_config_change_t *change,
			      int64_t version, wwh_config_t **result,
			      wwh_message_t *message);

/*
 * A configuration that was accepted before, from its difference to the empty
 * one: for snapshots and for clients. The whole is not checked again:
 * otherwise a newer program with a further check could not read what is in
 * force, and nobody could publish the repair.
 */
wwh_status_t wwh_config_restore(const wwh_config_change_t *change,
				int64_t version, wwh_config_t **result,
				wwh_message_t *message);

#endif
