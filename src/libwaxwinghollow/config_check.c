#include "private/config_check.h"

#include <string.h>

static const wwh_item_kind_t referenced_kinds[] = {
	WWH_ITEM_WORKER,
	WWH_ITEM_POOL,
	WWH_ITEM_SERVICE,
	WWH_ITEM_TEAM,
};

static GHashTable *index_ids(const wwh_config_t *config, wwh_item_kind_t kind);
static void check_duplicate_ids(wwh_check_t *check);
static void check_workers(wwh_check_t *check);
static void check_parent(wwh_check_t *check, GHashTable *parents,
			 const wwh_worker_t *worker, const char *kind,
			 const char *name, const char *parent_kind,
			 const char *parent);
static void check_worker_address(wwh_check_t *check, GHashTable *addresses,
				 const wwh_worker_t *worker);
static void check_minions(wwh_check_t *check);
static guint hash_endpoint(gconstpointer data);
static gboolean same_endpoint(gconstpointer a, gconstpointer b);
static void check_minion_place(wwh_check_t *check, const wwh_minion_t *minion);
static void check_services(wwh_check_t *check);
static void check_windows(wwh_check_t *check);
static void check_known(wwh_check_t *check, const void *item, const char *what,
			const char *id, wwh_item_kind_t kind);
static int32_t line_of(wwh_check_t *check, const void *item);

void wwh_config_check(const wwh_config_t *config, GHashTable *places,
		      bool rules_given, wwh_report_t *report)
{
	wwh_check_t check = { config, places, rules_given, report, { NULL } };

	for (size_t i = 0; i < G_N_ELEMENTS(referenced_kinds); i++) {
		wwh_item_kind_t kind = referenced_kinds[i];

		check.by_id[kind] = index_ids(config, kind);
	}
	check_duplicate_ids(&check);
	check_workers(&check);
	check_minions(&check);
	check_services(&check);
	check_windows(&check);
	if (report->count == 0)
		wwh_check_pools(&check);
	for (size_t i = 0; i < G_N_ELEMENTS(referenced_kinds); i++)
		g_hash_table_destroy(check.by_id[referenced_kinds[i]]);
}

/* For the references, which are several an item. */
static GHashTable *index_ids(const wwh_config_t *config, wwh_item_kind_t kind)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	const GPtrArray *items = config->items[kind];

	for (guint i = 0; i < items->len; i++) {
		void *item = g_ptr_array_index(items, i);

		g_hash_table_insert(ids, (gpointer)wwh_item_id(kind, item),
				    item);
	}
	return ids;
}

static void check_duplicate_ids(wwh_check_t *check)
{
	for (int32_t kind = 0; kind < WWH_ITEM_COUNT; kind++) {
		const GPtrArray *items = check->config->items[kind];

		for (guint i = 1; i < items->len; i++) {
			void *before = g_ptr_array_index(items, i - 1);
			void *item = g_ptr_array_index(items, i);
			const char *id =
				wwh_item_id((wwh_item_kind_t)kind, item);
			char *first;

			if (strcmp(wwh_item_id((wwh_item_kind_t)kind, before),
				   id) != 0)
				continue;
			first = wwh_check_line_suffix(check, before);
			wwh_check_report_error(
				check, item,
				"%s id '%s' stands twice%s, expected once",
				wwh_item_kind_names[kind], id, first);
			g_free(first);
		}
	}
}

static void check_workers(wwh_check_t *check)
{
	GHashTable *addresses = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);

	for (int32_t i = 0; i < wwh_config_worker_count(check->config); i++) {
		const wwh_worker_t *worker =
			wwh_config_worker_at(check->config, i);

		check_known(check, worker, "pool", worker->pool, WWH_ITEM_POOL);
		check_worker_address(check, addresses, worker);
		check_parent(check, racks, worker, "rack", worker->rack, "zone",
			     worker->zone);
		check_parent(check, zones, worker, "zone", worker->zone,
			     "region", worker->region);
	}
	g_hash_table_destroy(addresses);
	g_hash_table_destroy(racks);
	g_hash_table_destroy(zones);
}

/* A rack stands in one zone, a zone in one region: the first worker says. */
static void check_parent(wwh_check_t *check, GHashTable *parents,
			 const wwh_worker_t *worker, const char *kind,
			 const char *name, const char *parent_kind,
			 const char *parent)
{
	const wwh_worker_t *first = g_hash_table_lookup(parents, name);
	const char *first_parent;
	char *where;

	if (*name == '\0' || *parent == '\0')
		return;
	if (first == NULL) {
		g_hash_table_insert(parents, (char *)name, (void *)worker);
		return;
	}
	first_parent = strcmp(kind, "rack") == 0 ? first->zone : first->region;
	if (strcmp(first_parent, parent) == 0)
		return;
	where = wwh_check_line_suffix(check, first);
	wwh_check_report_error(
		check, worker,
		"%s '%s' is in %s '%s' here and in '%s' by worker '%s'%s, "
		"expected one %s",
		kind, name, parent_kind, parent, first_parent, first->id, where,
		parent_kind);
	g_free(where);
}

static void check_worker_address(wwh_check_t *check, GHashTable *addresses,
				 const wwh_worker_t *worker)
{
	const wwh_worker_t *first =
		g_hash_table_lookup(addresses, worker->address);
	char *where;

	if (*worker->address == '\0')
		return;
	if (first == NULL) {
		g_hash_table_insert(addresses, worker->address, (void *)worker);
		return;
	}
	where = wwh_check_line_suffix(check, first);
	wwh_check_report_error(
		check, worker,
		"address %s is also worker '%s'%s, expected one worker an "
		"address",
		worker->address, first->id, where);
	g_free(where);
}

static void check_minions(wwh_check_t *check)
{
	GHashTable *endpoints = g_hash_table_new(hash_endpoint, same_endpoint);

	for (int32_t i = 0; i < wwh_config_minion_count(check->config); i++) {
		const wwh_minion_t *minion =
			wwh_config_minion_at(check->config, i);
		const wwh_minion_t *first =
			g_hash_table_lookup(endpoints, minion);
		char *where;

		check_known(check, minion, "service", minion->service,
			    WWH_ITEM_SERVICE);
		check_known(check, minion, "worker", minion->worker,
			    WWH_ITEM_WORKER);
		check_minion_place(check, minion);
		if (first == NULL || *minion->address == '\0') {
			g_hash_table_add(endpoints, (gpointer)minion);
			continue;
		}
		where = wwh_check_line_suffix(check, first);
		wwh_check_report_error(
			check, minion,
			"address %s port %d is also minion '%s'%s, "
			"expected one minion an address and port",
			minion->address, minion->port, first->id, where);
		g_free(where);
	}
	g_hash_table_destroy(endpoints);
}

static guint hash_endpoint(gconstpointer data)
{
	const wwh_minion_t *minion = data;

	return g_str_hash(minion->address) ^ (guint)minion->port;
}

static gboolean same_endpoint(gconstpointer a, gconstpointer b)
{
	const wwh_minion_t *first = a;
	const wwh_minion_t *second = b;

	return first->port == second->port &&
	       strcmp(first->address, second->address) == 0;
}

static void check_minion_place(wwh_check_t *check, const wwh_minion_t *minion)
{
	const wwh_worker_t *worker = g_hash_table_lookup(
		check->by_id[WWH_ITEM_WORKER], minion->worker);

	if (worker != NULL && strcmp(worker->zone, minion->zone) != 0)
		wwh_check_report_error(
			check, minion,
			"minion '%s' is in zone '%s', expected '%s', the zone "
			"of "
			"its worker '%s'",
			minion->id, minion->zone, worker->zone, worker->id);
	if (worker == NULL && *minion->worker == '\0' && *minion->zone == '\0')
		wwh_check_report_error(
			check, minion,
			"minion '%s' has neither worker nor zone, expected one",
			minion->id);
}

static void check_services(wwh_check_t *check)
{
	GHashTable *paths = g_hash_table_new(g_str_hash, g_str_equal);

	for (int32_t i = 0; i < wwh_config_service_count(check->config); i++) {
		const wwh_service_t *service =
			wwh_config_service_at(check->config, i);
		const wwh_service_t *first =
			g_hash_table_lookup(paths, service->path_prefix);
		char *where;

		check_known(check, service, "pool", service->pool,
			    WWH_ITEM_POOL);
		check_known(check, service, "team", service->team,
			    WWH_ITEM_TEAM);
		if (first == NULL || *service->path_prefix == '\0') {
			g_hash_table_insert(paths, service->path_prefix,
					    (void *)service);
			continue;
		}
		where = wwh_check_line_suffix(check, first);
		wwh_check_report_error(
			check, service,
			"path_prefix %s is also service '%s'%s, expected one "
			"service a prefix",
			service->path_prefix, first->id, where);
		g_free(where);
	}
	g_hash_table_destroy(paths);
}

static void check_windows(wwh_check_t *check)
{
	for (int32_t i = 0; i < wwh_config_window_count(check->config); i++) {
		const wwh_window_t *window =
			wwh_config_window_at(check->config, i);

		if (strcmp(window->pool, "*") != 0)
			check_known(check, window, "pool", window->pool,
				    WWH_ITEM_POOL);
		if (window->days == 0)
			wwh_check_report_error(
				check, window,
				"window '%s' has no day and never opens, "
				"expected at least one of mon ... sun",
				window->id);
		if (window->duration_minutes == 0)
			wwh_check_report_error(
				check, window,
				"window '%s' lasts 0 minutes and never opens, "
				"expected duration_minutes from 1 to 1440",
				window->id);
	}
}

static void check_known(wwh_check_t *check, const void *item, const char *what,
			const char *id, wwh_item_kind_t kind)
{
	if (kind != WWH_ITEM_WORKER && !check->rules_given)
		return;
	if (*id != '\0' && !g_hash_table_contains(check->by_id[kind], id))
		wwh_check_report_error(check, item,
				       "unknown %s '%s', expected one of '%s'",
				       what, id, wwh_item_tables[kind].section);
}

void wwh_check_report_error(wwh_check_t *check, const void *item,
			    const char *format, ...)
{
	const wwh_item_location_t *place =
		check->places == NULL
			? NULL
			: g_hash_table_lookup(check->places, item);
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	wwh_report_error(check->report, place == NULL ? "" : place->file,
			 line_of(check, item), "%s", text);
	g_free(text);
}

static int32_t line_of(wwh_check_t *check, const void *item)
{
	const wwh_item_location_t *place =
		check->places == NULL
			? NULL
			: g_hash_table_lookup(check->places, item);

	return place == NULL ? 0 : place->line;
}

char *wwh_check_line_suffix(wwh_check_t *check, const void *item)
{
	int32_t line = line_of(check, item);

	return line == 0 ? g_strdup("") : g_strdup_printf(" (line %d)", line);
}
