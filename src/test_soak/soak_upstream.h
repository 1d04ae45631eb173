#ifndef SOAK_UPSTREAM_H
#define SOAK_UPSTREAM_H

/*
 * NAME
 *	soak_upstream - what the modules of the stand-in upstreams share
 */

#include "soak.h"

typedef struct {
	char *task;
	int64_t run;
	soak_run_t *entry;
	int64_t stop_ms; /* 0: not stopped */
} soak_active_t;

/* A poll that waits for an end. */
typedef struct {
	struct evhttp_request *request;
	int64_t until_ms;
} soak_poll_t;

#define SOAK_BORN_CHARS 40

/* The field that tells when it was started; "": its deployment has none. */
const char *soak_upstream_born_field(const soak_upstream_t *upstream,
				     char text[SOAK_BORN_CHARS]);
int64_t soak_upstream_clock_ms(const soak_upstream_t *upstream);
/* Its steady clock, from now until it is started again. */
void soak_upstream_slow_clock(soak_upstream_t *upstream, int32_t permille);
/* Its process stands still; only the lease of what it runs may end. */
void soak_upstream_halt(soak_upstream_t *upstream, int64_t duration_ms);

/* soak_orders.c: what an upstream answers; data: soak_upstream_t */
void soak_orders_serve(struct evhttp_request *request, void *data);
void soak_orders_answer_polls(soak_upstream_t *upstream);
/* No run of the task up to this one is accepted any more. */
void soak_orders_note_highest(soak_upstream_t *upstream, const char *task,
			      int64_t run);
void soak_orders_forget_end(soak_upstream_t *upstream, guint index);

#endif
