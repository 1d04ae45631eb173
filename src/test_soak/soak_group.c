#include "soak.h"

#include <string.h>

typedef struct {
	int64_t ttl_ms;
	int64_t seen_ms;
} member_t;

static GHashTable *members; /* name to member_t */
static int64_t generation = 1;
static char *owners[SOAK_PARTS];
static char *targets[SOAK_PARTS];
static int64_t moved_at[SOAK_PARTS]; /* generation of the last move */

static int32_t count_targets(const char *member)
{
	int32_t count = 0;

	for (int32_t i = 0; i < SOAK_PARTS; i++)
		count += g_strcmp0(targets[i], member) == 0;
	return count;
}

static void drop_absent(char **name)
{
	if (*name != NULL && !g_hash_table_contains(members, *name))
		g_clear_pointer(name, g_free);
}

/* Moves one partition to the member with the fewest; false: none has to move. */
static bool move_one(const GList *names)
{
	const char *least = names->data;
	const char *most = names->data;

	for (const GList *at = names; at != NULL; at = at->next) {
		if (count_targets(at->data) < count_targets(least))
			least = at->data;
		if (count_targets(at->data) > count_targets(most))
			most = at->data;
	}
	for (int32_t i = 0; i < SOAK_PARTS; i++) {
		bool moves = targets[i] == NULL ||
			     (strcmp(targets[i], most) == 0 &&
			      count_targets(most) > count_targets(least) + 1);

		if (!moves)
			continue;
		g_free(targets[i]);
		targets[i] = g_strdup(least);
		moved_at[i] = generation;
		return true;
	}
	return false;
}

static void deal_parts(void)
{
	GList *names = g_list_sort(g_hash_table_get_keys(members),
				   (GCompareFunc)strcmp);

	for (int32_t i = 0; i < SOAK_PARTS; i++) {
		drop_absent(&targets[i]);
		drop_absent(&owners[i]);
	}
	while (names != NULL && move_one(names))
		;
	for (int32_t i = 0; i < SOAK_PARTS; i++) {
		if (owners[i] == NULL && targets[i] != NULL)
			owners[i] = g_strdup(targets[i]);
	}
	g_list_free(names);
}

void soak_group_deal_anew(void)
{
	GList *names = g_list_sort(g_hash_table_get_keys(members),
				   (GCompareFunc)strcmp);
	guint count = g_list_length(names);
	guint first = g_rand_int(soak.rand);

	soak_record("store: deals all partitions anew");
	generation++;
	for (guint i = 0; count > 0 && i < SOAK_PARTS; i++) {
		const char *name = g_list_nth_data(names, (first + i) % count);

		g_free(targets[i]);
		g_free(owners[i]);
		targets[i] = g_strdup(name);
		owners[i] = g_strdup(name);
		moved_at[i] = generation;
	}
	g_list_free(names);
}

static gboolean is_silent(gpointer key, gpointer value, gpointer data)
{
	const member_t *member = value;

	(void)data;
	if (soak_now_ms() - member->seen_ms < member->ttl_ms)
		return false;
	soak_record("store: %s has left the group (silent)", (char *)key);
	return true;
}

static void expire_members(void *data)
{
	(void)data;
	/* times pause while the store is down */
	if (soak_store_is_down() ||
	    g_hash_table_foreach_remove(members, is_silent, NULL) == 0)
		return;
	generation++;
	deal_parts();
}

void soak_group_start(void)
{
	const int64_t tick_ms = 50;

	members =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	soak_every(tick_ms, expire_members, NULL);
}

static void hand_over_moved_parts(const char *name, int64_t known_generation)
{
	for (int32_t i = 0; i < SOAK_PARTS; i++) {
		if (g_strcmp0(owners[i], targets[i]) == 0 ||
		    g_strcmp0(owners[i], name) != 0 ||
		    known_generation < moved_at[i])
			continue;
		g_free(owners[i]);
		owners[i] = g_strdup(targets[i]);
		generation++;
	}
}

void soak_group_join(struct evhttp_request *request)
{
	JsonNode *root = soak_parse_body(request);
	JsonObject *object = json_node_get_object(root);
	const char *name = json_object_get_string_member(object, "member");
	const char *topic = json_array_get_string_element(
		json_object_get_array_member(object, "topics"), 0);
	member_t *member = g_hash_table_lookup(members, name);
	const char *separator = "";
	GString *text;

	if (member == NULL) {
		member = g_new0(member_t, 1);
		g_hash_table_insert(members, g_strdup(name), member);
		generation++;
		deal_parts();
	}
	member->ttl_ms = soak_number(object, "ttlMs", 1000);
	member->seen_ms = soak_now_ms();
	hand_over_moved_parts(name, soak_number(object, "generation", 0));
	text = g_string_new(NULL);
	g_string_printf(text,
			"{\"generation\":%" G_GINT64_FORMAT
			",\"ttlMs\":%" G_GINT64_FORMAT ",\"parts\":[",
			generation, member->ttl_ms);
	for (int32_t i = 0; i < SOAK_PARTS; i++) {
		if (g_strcmp0(owners[i], name) != 0 ||
		    g_strcmp0(targets[i], name) != 0)
			continue;
		g_string_append_printf(text, "%s[\"%s\",%d,0]", separator,
				       topic, i);
		separator = ",";
	}
	g_string_append(text, "]}");
	soak_answer(request, 200, text->str, 0);
	g_string_free(text, TRUE);
	json_node_unref(root);
}

void soak_group_leave(struct evhttp_request *request)
{
	JsonNode *root = soak_parse_body(request);
	const char *name = json_object_get_string_member(
		json_node_get_object(root), "member");

	if (g_hash_table_remove(members, name)) {
		soak_record("store: %s has left the group (asked)", name);
		generation++;
		deal_parts();
	}
	soak_answer(request, 200, "{}", 0);
	json_node_unref(root);
}
