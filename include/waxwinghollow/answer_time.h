#ifndef WAXWINGHOLLOW_ANSWER_TIME_H
#define WAXWINGHOLLOW_ANSWER_TIME_H

/*
 * NAME
 *	answer_time - when an answer is overdue, and whether answers get lost
 *
 * USE
 *	Estimates from the answers that came how long to wait for the next one:
 *	the smoothed time plus four times its mean deviation, as TCP does for
 *	retransmissions (RFC 6298). The share of overdue answers is smoothed
 *	over the last hundred or so.
 *
 *	The caller reports each answer once, with the time since its request
 *	was first sent, and each overdue one once.
 *
 * ORDER OF CALLS
 *	wwh_answer_time_init; the others in any order, by one thread.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	int64_t smoothed_us; /* 0: no answer yet */
	int64_t deviation_us;
	int64_t overdue_ppm; /* share of answers, in parts per million */
} wwh_answer_time_t;

void wwh_answer_time_init(wwh_answer_time_t *time);
void wwh_answer_time_add(wwh_answer_time_t *time, int64_t answer_ms);
void wwh_answer_time_add_overdue(wwh_answer_time_t *time);
/* Returns after how many milliseconds an answer is overdue, from 60 to 1000. */
int64_t wwh_answer_time_limit_ms(const wwh_answer_time_t *time);
/* Returns whether more than a few answers are lost. */
bool wwh_answer_time_is_lossy(const wwh_answer_time_t *time);

#endif
