#include "waxwinghollow/leaving.h"

#include <glib.h>
#include <string.h>

typedef struct {
	char *origin;
	int64_t since_ms;
	bool contradicted; /* by a later answer without the mark */
} report_t;

typedef struct {
	char *minion;
	bool listed; /* as leaving or gone */
	int64_t answer_ms; /* last own answer with the mark; 0: none */
	report_t reports[WWH_LEAVING_ORIGINS_MAX];
	int32_t report_count;
	int64_t updated_ms;
} row_t;

struct wwh_leaving {
	GPtrArray *rows; /* row_t *, sorted by minion */
};

static row_t *find_row(const wwh_leaving_t *leaving, const char *minion,
		       guint *index);
static row_t *find_or_add(wwh_leaving_t *leaving, const char *minion,
			  int64_t now_ms);
static void row_free(gpointer data);
static bool evict_oldest(wwh_leaving_t *leaving, int64_t now_ms);
static bool has_first_hand_evidence(const row_t *row, int64_t now_ms);
static bool is_reported(const row_t *row, int64_t now_ms);
static bool report_is_valid(const report_t *report, int64_t ttl_ms,
			    int64_t now_ms);
static report_t *find_report(row_t *row, const char *origin);

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
	row_t *row = find_row(leaving, minion, &index);

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
	row->updated_ms = now_ms;
}

void wwh_leaving_record_served(wwh_leaving_t *leaving, const char *minion,
			       int64_t sent_ms)
{
	guint index;
	row_t *row = find_row(leaving, minion, &index);

	if (row == NULL)
		return;
	for (int32_t i = 0; i < row->report_count; i++)
		if (sent_ms > row->reports[i].since_ms)
			row->reports[i].contradicted = true;
}

void wwh_leaving_record_report(wwh_leaving_t *leaving, const char *minion,
			       const char *origin, int64_t age_ms,
			       int64_t now_ms)
{
	int64_t since_ms = now_ms - MAX(0, age_ms);
	guint index;
	row_t *row;
	report_t *report;

	if (now_ms - since_ms >= WWH_LEAVING_REPORT_TTL_MS)
		return;
	if (find_row(leaving, minion, &index) == NULL &&
	    leaving->rows->len >= WWH_LEAVING_MAX &&
	    !evict_oldest(leaving, now_ms))
		return;
	row = find_or_add(leaving, minion, now_ms);
	report = find_report(row, origin);
	if (report == NULL) {
		if (row->report_count == WWH_LEAVING_ORIGINS_MAX)
			return;
		report = &row->reports[row->report_count++];
		report->origin = g_strdup(origin);
		report->since_ms = since_ms;
	} else if (now_ms - report->since_ms >=
		   WWH_LEAVING_REPORT_TTL_MS + WWH_LEAVING_REPORT_HOLDOFF_MS) {
		report->since_ms = since_ms;
		report->contradicted = false;
	}
	row->updated_ms = now_ms;
}

bool wwh_leaving_contains(const wwh_leaving_t *leaving, const char *minion,
			  int64_t now_ms)
{
	guint index;
	const row_t *row = find_row(leaving, minion, &index);

	return row != NULL && (has_first_hand_evidence(row, now_ms) ||
			       is_reported(row, now_ms));
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

/* Sets *index to the position of the row, or to where it is to be inserted. */
static row_t *find_row(const wwh_leaving_t *leaving, const char *minion,
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
	row_t *row = find_row(leaving, minion, &index);

	if (row != NULL)
		return row;
	if (leaving->rows->len >= WWH_LEAVING_MAX) {
		evict_oldest(leaving, now_ms);
		find_row(leaving, minion, &index);
	}
	row = g_new0(row_t, 1);
	row->minion = g_strdup(minion);
	row->updated_ms = now_ms;
	g_ptr_array_insert(leaving->rows, (gint)index, row);
	return row;
}

static void row_free(gpointer data)
{
	row_t *row = data;

	for (int32_t i = 0; i < row->report_count; i++)
		g_free(row->reports[i].origin);
	g_free(row->minion);
	g_free(row);
}

/*
 * Evicts the row that was updated longest ago among those without first-hand
 * evidence. Returns false if there is none.
 */
static bool evict_oldest(wwh_leaving_t *leaving, int64_t now_ms)
{
	gint oldest = -1;

	for (guint i = 0; i < leaving->rows->len; i++) {
		const row_t *row = leaving->rows->pdata[i];
		const row_t *candidate =
			oldest < 0 ? NULL : leaving->rows->pdata[oldest];

		if (!has_first_hand_evidence(row, now_ms) &&
		    (candidate == NULL ||
		     row->updated_ms < candidate->updated_ms))
			oldest = (gint)i;
	}
	if (oldest >= 0)
		g_ptr_array_remove_index(leaving->rows, (guint)oldest);
	return oldest >= 0;
}

static bool has_first_hand_evidence(const row_t *row, int64_t now_ms)
{
	return row->listed ||
	       (row->answer_ms != 0 &&
		now_ms - row->answer_ms < WWH_LEAVING_ANSWER_TTL_MS);
}

static bool is_reported(const row_t *row, int64_t now_ms)
{
	int32_t within_answer_ttl = 0;
	bool within_report_ttl = false;

	for (int32_t i = 0; i < row->report_count; i++) {
		if (report_is_valid(&row->reports[i], WWH_LEAVING_REPORT_TTL_MS,
				    now_ms))
			within_report_ttl = true;
		if (report_is_valid(&row->reports[i], WWH_LEAVING_ANSWER_TTL_MS,
				    now_ms))
			within_answer_ttl++;
	}
	return within_report_ttl || within_answer_ttl >= 2;
}

static bool report_is_valid(const report_t *report, int64_t ttl_ms,
			    int64_t now_ms)
{
	return !report->contradicted && now_ms - report->since_ms < ttl_ms;
}

static report_t *find_report(row_t *row, const char *origin)
{
	for (int32_t i = 0; i < row->report_count; i++)
		if (strcmp(row->reports[i].origin, origin) == 0)
			return &row->reports[i];
	return NULL;
}
