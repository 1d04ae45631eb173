#include "waxwinghollow/upstream_evidence.h"

#include <string.h>

/* Twice the interval of host lists, plus the duration of a slow list. */
#define ANNOUNCED_WITHOUT_HOST_MS 1200

const char *const wwh_reach_names[WWH_REACH_COUNT] = {
	"answers",
	"silent",
	"refused",
	"other-answers",
};

bool wwh_reach_doubts_upstream(wwh_reach_t reach)
{
	return reach == WWH_REACH_REFUSED || reach == WWH_REACH_OTHER_ANSWERS;
}

/*
 * The announcement of an upstream whose host was moved by the previous holder
 * remains for three heartbeats, and the pool would wait as long. A list may
 * lack an announced upstream that has just started, but not for
 * ANNOUNCED_WITHOUT_HOST_MS.
 */
bool wwh_missing_upstream_is_over(const wwh_missing_upstream_t *missing)
{
	if (wwh_reach_doubts_upstream(missing->reach))
		return !missing->announced || missing->missing_ms > 0;
	if (missing->hosts_down)
		return false;
	return !missing->announced ||
	       missing->missing_ms >= ANNOUNCED_WITHOUT_HOST_MS;
}

bool wwh_host_row_ends_upstream(const wwh_host_row_t *row, const char *upstream)
{
	bool is_named = row->incarnation != NULL && row->incarnation[0] != '\0';

	if (row->taken_down)
		return true;
	if (is_named)
		return strcmp(row->incarnation, upstream) != 0;
	/* a start that is on its way to one that is silent may arrive yet */
	return row->is_off && (row->incarnation != NULL || row->unreachable);
}
