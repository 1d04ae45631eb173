#ifndef WAXWINGHOLLOW_ADMISSION_H
#define WAXWINGHOLLOW_ADMISSION_H

/*
 * NAME
 *	admission - who waits for one service, in which order, and who is
 *	refused at once
 *
 * LOAD PATTERN
 *	Saturation, bursts, a few callers with most of the load, urgent work
 *	behind bulk, cancellations in waves.
 *
 * WHAT GOES WRONG WITHOUT IT
 *	In one unbounded FIFO every request waits until it is nearly too late:
 *	at three times the capacity hardly any is answered within its
 *	deadline, and the caller with the most requests gets the most slots.
 *
 * HOW IT DECIDES
 *	- A request whose expected wait would outlast its deadline is refused
 *	  when it arrives. The expected wait is its place in the fair order,
 *	  divided by the drain rate measured while something waited. A margin
 *	  of 3/2 covers the spread of that measure and of the order: below 1
 *	  many admitted requests end late, far above it slots go idle.
 *	- In a burst, all of the time up to the deadline may be spent waiting.
 *	  Once something has waited without a break for a whole deadline, the
 *	  queue is a standing one, and the expected wait let in sinks to a
 *	  fifth: a slot still finds a request whenever it is free, and nearly
 *	  all refusals happen on arrival (after "controlled delay", CoDel).
 *	- Urgent goes before bulk, but bulk gets every eighth start when both
 *	  wait: 12.5% keeps bulk moving and delays urgent by one start in
 *	  eight.
 *	- Within a class, start-time fair queueing over teams and, in a team,
 *	  over callers. A start is charged the caller's measured run time, so
 *	  one that sends long work does not get more slot time than others.
 *	- A caller may hold at most as much of the queue as is still free
 *	  (dynamic threshold): one caller alone gets half, and there is always
 *	  room left for a caller that has nothing waiting yet.
 *	- A waiting request that can't end in time any more is given up on
 *	  while it waits and never starts: the next that can still be served
 *	  gets its slot.
 *	- Retry-After is the time until the work that is waiting, and the
 *	  callers already told to return, will have drained. All at the same
 *	  instant would be the next burst.
 *	Cancellation is O(log n) in the number of callers that wait.
 *
 * ORDER OF CALLS
 *	wwh_admission_new; wwh_admission_set_capacity when it changes; then any;
 *	wwh_admission_delete when nothing waits.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct wwh_admission wwh_admission_t;
typedef struct wwh_flow wwh_flow_t;

typedef struct {
	int32_t count_max;
	int64_t bytes_max;
	int32_t bulk_every; /* bulk gets one start in this many */
} wwh_admission_options_t;

/* A request while it waits; the first fields are set by its owner. */
typedef struct {
	uint64_t team;
	uint64_t caller;
	bool urgent;
	int64_t bytes;
	int64_t deadline_ms;
	void *owner;
	/* set by the module */
	int64_t arrived_ms;
	bool waits; /* no slot was free for it */
	int64_t latest_start_ms; /* from then on it can't end in time */
	wwh_flow_t *flow; /* NULL: not waiting */
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

/* How many requests of the service can run at once. */
void wwh_admission_set_capacity(wwh_admission_t *admission, double slots);

/*
 * A new request. can_start: a slot is free, so the wait is none. Only with
 * WWH_ADMISSION_ADMITTED does it wait afterwards.
 */
wwh_admission_verdict_t wwh_admission_offer(wwh_admission_t *admission,
					    int64_t now_ms,
					    wwh_waiting_t *waiting,
					    bool can_start);

/* A request to be retried: goes first among its caller's, is not refused. */
void wwh_admission_requeue(wwh_admission_t *admission, int64_t now_ms,
			   wwh_waiting_t *waiting);

/* Whose turn it is; NULL when nothing waits. */
wwh_waiting_t *wwh_admission_peek(const wwh_admission_t *admission);

/* The one that was peeked at is started. */
void wwh_admission_start(wwh_admission_t *admission, int64_t now_ms,
			 wwh_waiting_t *waiting);

/* It was cancelled or given up on. */
void wwh_admission_remove(wwh_admission_t *admission, int64_t now_ms,
			  wwh_waiting_t *waiting);

/* A request of the caller ran for run_ms. */
void wwh_admission_record_run(wwh_admission_t *admission, uint64_t caller,
			      int32_t run_ms);

/*
 * When a refused request may come back; counts it as promised. At least
 * floor_ms, at most a minute.
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
