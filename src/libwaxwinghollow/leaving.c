#include "waxwinghollow/leaving.h"

#include <glib.h>
#include <string.h>

typedef struct {
	char *origin;
	int64_t since_ms;
	bool denied; /* the minion answered without the mark since then */
} word_t;

typedef struct {
	char *minion;
	bool listed;
	int64_t answer_ms; /* last own answer; 0: none */
	word_t words[WWH_LEAVING_ORIGINS_MAX];
	int32_t word_count;
	int64_t touched_ms;
} row_t;

struct wwh_leaving {
	GPtrArray *rows; /* row_t * in the order of minion */
};

static row_t *find(const wwh_leaving_t *leaving, const char *minion,
		   guint *index);
static row_t *find_or_add(wwh_leaving_t *leaving, const char *minion,
			  int64_t now_ms);
static void row_free(gpointer data);
static bool make_room(wwh_leaving_t *leaving, int64_t now_ms);
static bool first_hand(const row_t *row, int64_t now_ms);
static bool by_words(const row_t *row, int64_t now_ms);
static bool word_fresh(const word_t *word, int64_t hold_ms, int64_t now_ms);
static word_t *find_word(row_t *row, const char *origin);

wwh_leaving_t *wwh_leaving_new(void)
{
	wwh_leaving_t *leaving = g_new0(wwh_leaving_t, 1);

	leaving->rows = g_ptr_array_new_with_free_func(row_free);
	return leaving;
}

void wwh_leaving_delete(wwh_leaving_t *leaving)
{
	if (leaving == NULL)
		return;
	g_ptr_array_unref(leaving->rows);
	g_free(leaving);
}

void wwh_leaving_set_listed(wwh_leaving_t *leaving, const char *minion,
			    bool leaves, int64_t now_ms)
{
	guint index;
	row_t *row = find(leaving, minion, &index);

	if (row == NULL && leaves)
		row = find_or_add(leaving, minion, now_ms);
	if (row != NULL)
		row->listed = leaves;
}

void wwh_leaving_record_answer(wwh_leaving_t *leaving, const char *minion,
			       int64_t now_ms)
{
	row_t *row = find_or_add(leaving, minion, now_ms);

	row->answer_ms = now_ms;
	row->touched_ms = now_ms;
}

void wwh_leaving_record_served(wwh_leaving_t *leaving, const char *minion,
			       int64_t sent_ms)
{
	guint index;
	row_t *row = find(leaving, minion, &index);

	if (row == NULL)
		return;
	for (int32_t i = 0; i < row->word_count; i++)
		if (sent_ms > row->words[i].since_ms)
			row->words[i].denied = true;
}

void wwh_leaving_record_report(wwh_leaving_t *leaving, const char *minion,
			       const char *origin, int64_t age_ms,
			       int64_t now_ms)
{
	int64_t since_ms = now_ms - MAX(0, age_ms);
	guint index;
	row_t *row;
	word_t *word;

	if (now_ms - since_ms >= WWH_LEAVING_REPORT_TTL_MS)
		return;
	if (find(leaving, minion, &index) == NULL &&
	    leaving->rows->len >= WWH_LEAVING_MAX &&
	    !make_room(leaving, now_ms))
		return;
	row = find_or_add(leaving, minion, now_ms);
	word = find_word(row, origin);
	if (word == NULL) {
		if (row->word_count == WWH_LEAVING_ORIGINS_MAX)
			return;
		word = &row->words[row->word_count++];
		word->origin = g_strdup(origin);
		word->since_ms = since_ms;
	} else if (now_ms - word->since_ms >=
		   WWH_LEAVING_REPORT_TTL_MS + WWH_LEAVING_REPORT_HOLDOFF_MS) {
		word->since_ms = since_ms;
		word->denied = false;
	}
	row->touched_ms = now_ms;
}

bool wwh_leaving_contains(const wwh_leaving_t *leaving, const char *minion,
			  int64_t now_ms)
{
	guint index;
	const row_t *row = find(leaving, minion, &index);

	return row != NULL &&
	       (first_hand(row, now_ms) || by_words(row, now_ms));
}

void wwh_leaving_foreach_answer(const wwh_leaving_t *leaving, int64_t now_ms,
				wwh_leaving_visit_t visit, void *client_data)
{
	for (guint i = 0; i < leaving->rows->len; i++) {
		const row_t *row = leaving->rows->pdata[i];
		int64_t age_ms = now_ms - row->answer_ms;

		if (row->answer_ms != 0 && age_ms < WWH_LEAVING_REPORT_TTL_MS)
			visit(row->minion, age_ms, client_data);
	}
}

/* *index: where the row is or belongs. */
static row_t *find(const wwh_leaving_t *leaving, const char *minion,
		   guint *index)
{
	guint low = 0;
	guint high = leaving->rows->len;

	while (low < high) {
		guint middle = (low + high) / 2;
		row_t *row = leaving->rows->pdata[middle];
		int order = strcmp(row->minion, minion);

		if (order == 0) {
			*index = middle;
			return row;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	*index = low;
	return NULL;
}

static row_t *find_or_add(wwh_leaving_t *leaving, const char *minion,
			  int64_t now_ms)
{
	guint index;
	row_t *row = find(leaving, minion, &index);

	if (row != NULL)
		return row;
	if (leaving->rows->len >= WWH_LEAVING_MAX) {
		make_room(leaving, now_ms);
		find(leaving, minion, &index);
	}
	row = g_new0(row_t, 1);
	row->minion = g_strdup(minion);
	row->touched_ms = now_ms;
	g_ptr_array_insert(leaving->rows, (gint)index, row);
	return row;
}

static void row_free(gpointer data)
{
	row_t *row = data;

	for (int32_t i = 0; i < row->word_count; i++)
		g_free(row->words[i].origin);
	g_free(row->minion);
	g_free(row);
}

/* Drops the row that was touched longest ago, of those not first hand. */
static bool make_room(wwh_leaving_t *leaving, int64_t now_ms)
{
	gint oldest = -1;

	for (guint i = 0; i < leaving->rows->len; i++) {
		const row_t *row = leaving->rows->pdata[i];
		const row_t *best =
			oldest < 0 ? NULL : leaving->rows->pdata[oldest];

		if (!first_hand(row, now_ms) &&
		    (best == NULL || row->touched_ms < best->touched_ms))
			oldest = (gint)i;
	}
	if (oldest >= 0)
		g_ptr_array_remove_index(leaving->rows, (guint)oldest);
	return oldest >= 0;
}

static bool first_hand(const row_t *row, int64_t now_ms)
{
	return row->listed ||
	       (row->answer_ms != 0 &&
		now_ms - row->answer_ms < WWH_LEAVING_ANSWER_TTL_MS);
}

static bool by_words(const row_t *row, int64_t now_ms)
{
	int32_t together = 0;
	bool single = false;

	for (int32_t i = 0; i < row->word_count; i++) {
		if (word_fresh(&row->words[i], WWH_LEAVING_REPORT_TTL_MS,
			       now_ms))
			single = true;
		if (word_fresh(&row->words[i], WWH_LEAVING_ANSWER_TTL_MS,
			       now_ms))
			together++;
	}
	return single || together >= 2;
}

static bool word_fresh(const word_t *word, int64_t hold_ms, int64_t now_ms)
{
	return !word->denied && now_ms - word->since_ms < hold_ms;
}

static word_t *find_word(row_t *row, const char *origin)
{
	for (int32_t i = 0; i < row->word_count; i++)
		if (strcmp(row->words[i].origin, origin) == 0)
			return &row->words[i];
	return NULL;
}
