#ifndef WAXWINGHOLLOW_ADMISSION_H
#define WAXWINGHOLLOW_ADMISSION_H

/*
 * NAME
 *	admission - the queue of one service: which requests are admitted, in
 *	which order they start, and which are refused on arrival
 *
 * LOAD PATTERN
 *	Saturation, bursts, a few callers that send most of the load, urgent
 *	requests behind bulk requests, waves of cancellations.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	In one unbounded FIFO queue every request waits until it is nearly too
 *	late: at three times the capacity hardly any request is answered within
 *	its deadline, and the caller with the most requests gets the most
 *	slots.
 *
 * HOW IT DECIDES
 *	- A request whose expected wait would exceed its deadline is refused
 *	  on arrival. The expected wait is the request's position in the fair
 *	  order, divided by the drain rate measured while requests waited. A
 *	  margin of 3/2 covers the error of that rate and of the position:
 *	  below 1 many admitted requests end late, far above it slots are
 *	  idle.
 *	- In a burst, a request may spend all of the time up to its deadline
 *	  waiting. Once the queue has not been empty for a whole deadline, it
 *	  is a standing queue, and the admitted wait falls to a fifth: a free
 *	  slot still finds a request at any time, and nearly all refusals
 *	  happen on arrival (after "controlled delay", CoDel).
 *	- Urgent requests start before bulk requests, but bulk gets every
 *	  eighth start when both wait: with 12.5% bulk still makes progress,
 *	  and urgent requests are delayed by one start in eight.
 *	- Within a class, start-time fair queueing applies to teams and, within
 *	  a team, to callers. A start is charged the caller's measured run
 *	  time, so a caller that sends long requests does not get more slot
 *	  time than others.
 *	- A caller may occupy at most as much of the queue as is still free
 *	  (dynamic threshold): one caller alone gets half, and there is always
 *	  room for a caller that has nothing waiting yet.
 *	- A waiting request that can't end within its deadline any more is
 *	  removed from the queue and never starts: the next request that can
 *	  still be served gets its slot.
 *	- Retry-After is the time until the waiting requests, and the refused
 *	  requests that already got a Retry-After, will have drained. If all
 *	  of them returned at the same instant, they would be the next burst.
 *	Cancellation is O(log n) in the number of waiting callers.
 *
 * ORDER OF CALLS
 *	wwh_admission_new; wwh_admission_set_capacity when it changes; then
 *	any; wwh_admission_delete when no request waits.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct wwh_admission wwh_admission_t;
typedef struct wwh_flow wwh_flow_t;

typedef struct {
	int32_t count_max;
	int64_t bytes_max;
	int32_t bulk_every; /* one start in bulk_every is for bulk */
} wwh_admission_options_t;

/* A waiting request. The dispatcher sets the members up to owner. */
typedef struct {
	uint64_t team;
	uint64_t caller;
	bool urgent;
	int64_t bytes;
	int64_t deadline_ms;
	void *owner;
	/*
	 * Set by this module, but for latest_start_ms of a request that is
	 * queued again: the dispatcher sets it.
	 */
	int64_t arrived_ms;
	bool waits; /* it could not start on arrival */
	int64_t latest_start_ms; /* a later start would miss the deadline */
	wwh_flow_t *flow; /* the caller's queue; NULL while not queued */
	GList link;
} wwh_waiting_t;

typedef enum {
	WWH_ADMISSION_ADMITTED = 0,
	WWH_ADMISSION_QUEUE_FULL,
	WWH_ADMISSION_WAIT_TOO_LONG,
	WWH_ADMISSION_COUNT
} wwh_admission_verdict_t;

/* Names of wwh_admission_verdict_t, in the same order. */
extern const char *const wwh_admission_verdict_names[WWH_ADMISSION_COUNT];

void wwh_admission_options_defaults(wwh_admission_options_t *options);
wwh_admission_t *wwh_admission_new(const wwh_admission_options_t *options);
void wwh_admission_delete(wwh_admission_t *admission);

/* slots: number of requests of the service that can run at once. */
void wwh_admission_set_capacity(wwh_admission_t *admission, double slots);

/*
 * Offers a new request. can_start tells that a slot is free for it; its wait
 * is then not estimated unless other requests wait. The request is queued only
 * if the result is WWH_ADMISSION_ADMITTED.
 */
wwh_admission_verdict_t wwh_admission_offer(wwh_admission_t *admission,
					    int64_t now_ms,
					    wwh_waiting_t *waiting,
					    bool can_start);

/*
 * Queues a request for a retry, ahead of its caller's other requests. It is
 * never refused.
 */
void wwh_admission_requeue(wwh_admission_t *admission, int64_t now_ms,
			   wwh_waiting_t *waiting);

/* The request to start next; NULL when none waits. */
wwh_waiting_t *wwh_admission_peek(const wwh_admission_t *admission);

/* Removes the request that wwh_admission_peek returned, because it starts. */
void wwh_admission_start(wwh_admission_t *admission, int64_t now_ms,
			 wwh_waiting_t *waiting);

/* Removes a request that was cancelled or can't end in time any more. */
void wwh_admission_remove(wwh_admission_t *admission, int64_t now_ms,
			  wwh_waiting_t *waiting);

/* Records that a request of the caller ran for run_ms. */
void wwh_admission_record_run(wwh_admission_t *admission, uint64_t caller,
			      int32_t run_ms);

/*
 * The time after which a refused request may be sent again: at least floor_ms,
 * otherwise at most a minute. Each call counts one more request that will
 * return.
 */
int32_t wwh_admission_retry_after_ms(wwh_admission_t *admission, int64_t now_ms,
				     bool urgent, int32_t floor_ms);

int32_t wwh_admission_waiting(const wwh_admission_t *admission);
int64_t wwh_admission_waiting_bytes(const wwh_admission_t *admission);
int32_t wwh_admission_waiting_callers(const wwh_admission_t *admission);

/* Measured run times and drain rate. */
int32_t wwh_admission_median_ms(const wwh_admission_t *admission);
int32_t wwh_admission_p90_ms(const wwh_admission_t *admission);
int32_t wwh_admission_caller_run_ms(const wwh_admission_t *admission,
				    uint64_t caller);
double wwh_admission_drain_per_s(const wwh_admission_t *admission, bool urgent);

#endif
