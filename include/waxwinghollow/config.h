#ifndef WAXWINGHOLLOW_CONFIG_H
#define WAXWINGHOLLOW_CONFIG_H

/*
 * NAME
 *	config - inventory and rules as one checked and versioned configuration
 *
 * USE
 *	Operators keep two files: the asset register's export (CSV or JSON)
 *	and the rules (JSON with comments). wwh_config_load reads both into one
 *	wwh_config_t and reports every error with its file and line. A
 *	publisher appends a wwh_config_change_t to the platform's log: the
 *	items that differ from the version it is based on. Every process
 *	applies the accepted changes in log order, so all processes have the
 *	same configuration.
 *
 *	A wwh_config_t is immutable once it is loaded or applied, and shared by
 *	reference count.
 *
 * ORDER OF CALLS
 *	wwh_config_new; then wwh_config_load or wwh_config_apply; lookups;
 *	wwh_config_unref. wwh_config_ref at any time while a reference is held.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "waxwinghollow/status.h"

/* A host of the inventory, with its declared capacity. */
typedef struct {
	char *id;
	char *address; /* IP address */
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
	char *worker; /* id of its worker, or "" */
	char *address; /* IP address */
	int32_t port;
	char *zone; /* availability zone */
	int32_t slots; /* concurrent requests, of all entry processes */
	int32_t connections; /* TCP connections, of all entry processes */
} wwh_minion_t;

/* The kinds of failure domain. */
typedef enum {
	WWH_DOMAIN_WORKER = 0,
	WWH_DOMAIN_RACK,
	WWH_DOMAIN_ZONE,
	WWH_DOMAIN_COUNT
} wwh_domain_t;

/* Names of wwh_domain_t, in the same order. */
extern const char *const wwh_domain_names[WWH_DOMAIN_COUNT];

/*
 * A pool and its disruption budget: the number of workers that may be out at
 * once, by plan or by failure.
 */
typedef struct {
	char *id;
	int32_t lose_count; /* maximum number of workers out */
	int32_t lose_percent; /* maximum share of the pool's workers out */
	int32_t lose_per_rack; /* maximum for each rack; 0: no limit */
	int32_t lose_per_zone; /* maximum for each zone; 0: no limit */
	wwh_domain_t reserve; /* kind of domain that may fail in a wave */
} wwh_pool_t;

typedef struct {
	char *id;
	char *path_prefix; /* of the requests that are routed to it */
	char *pool;
	char *team;
	bool urgent; /* has priority over bulk services */
	int32_t deadline_ms; /* default if the caller sets none */
	int64_t max_body_bytes;
	int64_t max_answer_bytes;
} wwh_service_t;

/* A team and its quotas: the resources that it may use at once. */
typedef struct {
	char *id;
	int32_t cores;
	int64_t memory_mb;
	int32_t accelerators;
	int32_t requests; /* concurrent requests; 0: no limit */
} wwh_team_t;

/* A weekly time window in which waves may run, in UTC. */
typedef struct {
	char *id;
	char *pool; /* id, or "*" for every pool */
	uint8_t days; /* bit 0: Monday ... bit 6: Sunday */
	int32_t start_minute; /* minutes after midnight */
	int32_t duration_minutes;
} wwh_window_t;

/* Rules of the whole deployment. */
typedef struct {
	int32_t buffer_weight; /* the planner's cost of a held-back worker */
	int32_t move_weight; /* the planner's cost of a moved job */
	int32_t key_window_s; /* retention period of idempotency keys */
	int32_t drain_limit_s; /* a drain that takes longer is reported */
	int32_t return_limit_s; /* a worker that returns later has failed */
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

/* The difference between two configurations: items set and items removed. */
typedef struct wwh_config_change wwh_config_change_t;

/* Called for each error; line is 0 if the error belongs to no line. */
typedef void (*wwh_config_error_t)(const char *file, int32_t line,
				   const char *text, void *client_data);

wwh_config_t *wwh_config_new(void); /* empty, with version 0 */
wwh_config_t *wwh_config_ref(const wwh_config_t *config);
void wwh_config_unref(wwh_config_t *config);

/*
 * Reads both files into the empty config and checks the result as a whole.
 * Reports every error and returns WWH_STATUS_BAD_INPUT if there was one. Either
 * path may be NULL: that file is then not read.
 */
wwh_status_t wwh_config_load(wwh_config_t *config, const char *inventory_path,
			     const char *rules_path, wwh_config_error_t error,
			     void *client_data);

/* The content of a file that was read already. text is NULL for no file. */
typedef struct {
	const char *name; /* for error messages */
	const char *text;
	size_t size;
} wwh_config_text_t;

/* Does the same as wwh_config_load with files that were read already. */
wwh_status_t wwh_config_parse(wwh_config_t *config,
			      const wwh_config_text_t *inventory,
			      const wwh_config_text_t *rules,
			      wwh_config_error_t error, void *client_data);

int64_t wwh_config_version(const wwh_config_t *config);

/* Access to the items by index, from 0 to count - 1, in the order of ids. */
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

/* Lookups by id. Return NULL if no item has the id. */
const wwh_worker_t *wwh_config_worker(const wwh_config_t *config,
				      const char *id);
const wwh_minion_t *wwh_config_minion(const wwh_config_t *config,
				      const char *id);
const wwh_pool_t *wwh_config_pool(const wwh_config_t *config, const char *id);
const wwh_service_t *wwh_config_service(const wwh_config_t *config,
					const char *id);
const wwh_team_t *wwh_config_team(const wwh_config_t *config, const char *id);

/* Returns the service with the longest prefix of path, or NULL. */
const wwh_service_t *wwh_config_route(const wwh_config_t *config,
				      const char *path);

/* Returns the change that turns from into to; it is empty if they are equal. */
wwh_config_change_t *wwh_config_diff(const wwh_config_t *from,
				     const wwh_config_t *to);
void wwh_config_change_delete(wwh_config_change_t *change);

/* Returns a change that sets the pool of worker, or NULL if it is unknown. */
wwh_config_change_t *wwh_config_change_new_for_pool(const wwh_config_t *config,
						    const char *worker,
						    const char *pool);
int32_t wwh_config_change_count(const wwh_config_change_t *change);

/* Encode a change as MessagePack. Decoding checks every bound and type. */
GBytes *wwh_config_change_encode(const wwh_config_change_t *change);
wwh_status_t wwh_config_change_decode(const uint8_t *data, size_t size,
				      wwh_config_change_t **change,
				      wwh_message_t *message);

/*
 * Makes a new configuration with that version from base and change; base is
 * not modified. Returns WWH_STATUS_BAD_INPUT and a message if the change does
 * not fit base or the result fails the checks of wwh_config_load, and
 * WWH_STATUS_BAD_ARGUMENT if version is not above that of base. Moves on the
 * log that set the pool of a worker are not applied here: see state.h.
 */
wwh_status_t wwh_config_apply(const wwh_config_t *base,
			      const wwh_config_change_t *change,
			      int64_t version, wwh_config_t **result,
			      wwh_message_t *message);

/*
 * Rebuilds a configuration that was accepted before, for snapshots and clients.
 * change is its difference from the empty configuration. The checks of
 * wwh_config_load are not repeated: otherwise a newer program with an added
 * check could not read the configuration in force, and nobody could publish a
 * correction.
 */
wwh_status_t wwh_config_restore(const wwh_config_change_t *change,
				int64_t version, wwh_config_t **result,
				wwh_message_t *message);

#endif
