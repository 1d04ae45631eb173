#ifndef WAXWINGHOLLOW_LEAVING_H
#define WAXWINGHOLLOW_LEAVING_H

/*
 * NAME
 *	leaving - tracks which minions are leaving
 *
 * USE
 *	A minion that is ordered to stop finishes its requests and refuses new
 *	ones. A process that doesn't know this keeps sending to it until the
 *	platform's list is up to date. Three sources mark a minion as leaving,
 *	and any one of them is enough: the platform's list, the minion's own
 *	answer to this process, and the report of a peer that received such an
 *	answer.
 *
 *	A report may be wrong, as the peer may mix up addresses or be broken,
 *	and one mistaken peer must not take a minion out of service. The list
 *	and the minion's own answers are first-hand evidence. A peer's report
 *	is not:
 *	- The report of one peer is valid for WWH_LEAVING_REPORT_TTL_MS. In
 *	  that time another process that sends to the minion gets an answer of
 *	  its own, or the list is updated; it is short compared with the time
 *	  that a minion runs.
 *	- Reports of two or more peers are valid for WWH_LEAVING_ANSWER_TTL_MS,
 *	  like the minion's own answer.
 *	- After a single report has expired, further reports of the same peer
 *	  on that minion are ignored for WWH_LEAVING_REPORT_HOLDOFF_MS, so one
 *	  mistaken peer excludes a minion for at most one seventh of the time.
 *	- When the minion answers a request that was sent after the report,
 *	  and the answer isn't marked as leaving, the report becomes invalid
 *	  at once, whichever peer sent it.
 *
 *	The minion's own answer to this process is valid for
 *	WWH_LEAVING_ANSWER_TTL_MS, which is longer than the list may lag; a
 *	minion that was restarted in place is used again after that. When
 *	WWH_LEAVING_MAX minions are stored, the one that was updated longest ago
 *	is evicted; minions with first-hand evidence are never evicted.
 *
 * ORDER OF CALLS
 *	wwh_leaving_new; the other functions in any order; wwh_leaving_delete.
 *	The caller does the locking.
 */

#include <stdbool.h>
#include <stdint.h>

#define WWH_LEAVING_REPORT_TTL_MS 10000
#define WWH_LEAVING_ANSWER_TTL_MS 60000
#define WWH_LEAVING_REPORT_HOLDOFF_MS 60000
#define WWH_LEAVING_MAX 256
#define WWH_LEAVING_ORIGINS_MAX 4

typedef struct wwh_leaving wwh_leaving_t;

wwh_leaving_t *wwh_leaving_new(void);
void wwh_leaving_delete(wwh_leaving_t *leaving);

/* leaves: the list names the minion as leaving or gone; otherwise as live. */
void wwh_leaving_set_listed(wwh_leaving_t *leaving, const char *minion,
			    bool leaves, int64_t now_ms);

/* Records that an answer of the minion was marked as leaving. */
void wwh_leaving_record_answer(wwh_leaving_t *leaving, const char *minion,
			       int64_t now_ms);

/* Records an answer without that mark to a request that was sent at sent_ms. */
void wwh_leaving_record_served(wwh_leaving_t *leaving, const char *minion,
			       int64_t sent_ms);

/*
 * Records the report of the peer origin, which got a marked answer age_ms ago.
 */
void wwh_leaving_record_report(wwh_leaving_t *leaving, const char *minion,
			       const char *origin, int64_t age_ms,
			       int64_t now_ms);

/* Returns true when no new work may be sent to the minion. */
bool wwh_leaving_contains(const wwh_leaving_t *leaving, const char *minion,
			  int64_t now_ms);

/* Visits the minions whose own answers this process reports to its peers. */
typedef void (*wwh_leaving_visit_t)(const char *minion, int64_t age_ms,
				    void *client_data);
void wwh_leaving_foreach_answer(const wwh_leaving_t *leaving, int64_t now_ms,
				wwh_leaving_visit_t visit, void *client_data);

#endif
