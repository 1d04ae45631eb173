#ifndef WAXWINGHOLLOW_LEAVING_H
#define WAXWINGHOLLOW_LEAVING_H

/*
 * NAME
 *	leaving - which minions are on their way out
 *
 * USE
 *	Answers this failure: a minion is told to stop, finishes what it has
 *	and refuses the rest; a process that doesn't know goes on sending to
 *	it for as long as the list lags. There are three sources, and the
 *	first one counts: the platform's list, the minion's own answer to this
 *	process, and the word of a peer that got such an answer.
 *
 *	The opposite failure is a peer that is wrong (it mixes up addresses,
 *	or it is broken): a minion must not be lost by one mistaken view.
 *	The list and a minion's own answers are first hand. A peer's word is
 *	not:
 *	- From one peer it holds for WWH_LEAVING_REPORT_TTL_MS. That is the time in
 *	  which another process that sends to the minion gets an answer of its
 *	  own, or the list catches up; it is short against a minion's life.
 *	- From two peers or more it holds as long as an answer of our own.
 *	- After a single word has run out, the same peer's word on that minion
 *	  is ignored for WWH_LEAVING_REPORT_HOLDOFF_MS, so one mistaken peer takes out
 *	  a minion for at most one part in seven of the time.
 *	- An answer from the minion to a request that was sent to it after the
 *	  word, without the mark, ends that word at once, whoever gave it.
 *
 *	Own answers hold for WWH_LEAVING_ANSWER_TTL_MS after the last one: longer
 *	than the list may lag; a minion that was restarted in place comes back
 *	after it. At most WWH_LEAVING_MAX minions are kept; beyond that the
 *	oldest word is dropped, never one that is first hand.
 *
 * ORDER OF CALLS
 *	wwh_leaving_new, any, wwh_leaving_delete. No locks inside.
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

/* The list names the minion as leaving or gone (true), or as live (false). */
void wwh_leaving_set_listed(wwh_leaving_t *leaving, const char *minion,
			    bool leaves, int64_t now_ms);

/* The minion itself said so in an answer to this process. */
void wwh_leaving_record_answer(wwh_leaving_t *leaving, const char *minion,
			       int64_t now_ms);

/* It answered a request that was sent at sent_ms without saying so. */
void wwh_leaving_record_served(wwh_leaving_t *leaving, const char *minion,
			       int64_t sent_ms);

/* The word of a peer that got such an answer age_ms ago. */
void wwh_leaving_record_report(wwh_leaving_t *leaving, const char *minion,
			       const char *origin, int64_t age_ms,
			       int64_t now_ms);

/* Whether no new work may go to the minion. */
bool wwh_leaving_contains(const wwh_leaving_t *leaving, const char *minion,
			  int64_t now_ms);

/* Minions whose own answers this process passes on as its word. */
typedef void (*wwh_leaving_visit_t)(const char *minion, int64_t age_ms,
				    void *client_data);
void wwh_leaving_foreach_answer(const wwh_leaving_t *leaving, int64_t now_ms,
				wwh_leaving_visit_t visit, void *client_data);

#endif
