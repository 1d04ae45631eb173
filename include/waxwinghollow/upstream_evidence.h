#ifndef WAXWINGHOLLOW_UPSTREAM_EVIDENCE_H
#define WAXWINGHOLLOW_UPSTREAM_EVIDENCE_H

/*
 * NAME
 *	upstream_evidence - whether the runs on an upstream are over
 *
 * USE
 *	Decides what may be concluded about the runs on an upstream that doesn't
 *	answer its polls. Tasks are started elsewhere only once their runs are
 *	over, as they would run twice otherwise. Does no input or output.
 *
 *	What polls meet says only whether the upstream can be reached:
 *
 *	silence, reset	nothing; the upstream or the network may recover
 *	refused		nobody listens at its address now. A link or a firewall
 *			that rejects connections looks alike
 *	other answers	another incarnation answers at its address. The address
 *			may have been given away while the old one still runs
 *
 *	Its runs are over once one of these holds:
 *
 *	lease		it has lapsed by the slowest clock that is assumed
 *	host		a list of hosts, requested after its last answer, shows its
 *			host with another incarnation, without one and off, or
 *			taken down. One that is up may run it without naming it
 *	no host		whole lists of hosts lack it. Its host isn't known, so
 *			one list is enough only if it isn't announced either; two
 *			are if it can't be reached at its address, else it has to
 *			be missing for a while
 *
 *	An announcement that was removed proves nothing by itself: an upstream that
 *	is cut off from the registry runs on.
 *
 * LOAD
 *	Links that reject connections to running upstreams, which crashes resemble.
 *	After a crash, waiting for the host's row costs one request for a list of
 *	hosts (150 ms at the most, and its answer); waiting for the lease costs
 *	several seconds without the upstream's tasks.
 */

#include <stdbool.h>
#include <stdint.h>

typedef enum {
	WWH_REACH_ANSWERS = 0,
	WWH_REACH_SILENT, /* no answer, or the connection was reset */
	WWH_REACH_REFUSED,
	WWH_REACH_OTHER_ANSWERS,
	WWH_REACH_COUNT
} wwh_reach_t;

/* Names of wwh_reach_t, in the same order. */
extern const char *const wwh_reach_names[WWH_REACH_COUNT];

/*
 * Whether a list of hosts may show that the runs are over, so that one is worth
 * requesting at once.
 */
bool wwh_reach_doubts_upstream(wwh_reach_t reach);

/* How a list of hosts lacks an upstream whose host isn't known. */
typedef struct {
	wwh_reach_t reach;
	bool announced;
	/* Hosts that are down are listed without incarnations, maybe its own. */
	bool hosts_down;
	int64_t missing_ms; /* since the first whole list that lacked it */
} wwh_missing_upstream_t;

bool wwh_missing_upstream_is_over(const wwh_missing_upstream_t *missing);

/* The row of a host that ran the upstream. */
typedef struct {
	bool taken_down; /* it is moving or in upkeep */
	bool is_off; /* it is down, or rests */
	bool unreachable; /* the upstream is, by wwh_reach_doubts_upstream */
	const char *incarnation; /* that it runs; "" or NULL: none is named */
} wwh_host_row_t;

bool wwh_host_row_ends_upstream(const wwh_host_row_t *row,
				const char *upstream);

#endif
