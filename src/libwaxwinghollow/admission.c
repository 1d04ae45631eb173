#include "waxwinghollow/admission.h"

#include <assert.h>
#include <math.h>

#include "waxwinghollow/estimate.h"
#include "private/heap.h"

#define WAIT_MARGIN 1.5
#define BURST_DEADLINES 1.0
#define STANDING_PART 0.2
#define COST_ROWS 256 /* callers that share a row share an estimate */
#define COST_WEIGHT 0.2
#define MEAN_WEIGHT 0.05
#define RATE_SLACK 1.2
#define FIRST_RUN_MS 50.0 /* until the first answer */
#define RETRY_AFTER_MAX_MS 60000
#define CLASS_COUNT 2
#define SWEEP_SIZE 64

/* A class, a team of a class or a caller of a team. */
struct wwh_flow {
	wwh_heap_node_t node; /* in the parent's heap while something waits */
	wwh_flow_t *parent;
	wwh_heap_t children;
	GHashTable *by_key; /* children, the idle ones too; for lookup only */
	GQueue requests; /* of a caller: wwh_waiting_t */
	uint64_t key;
	uint32_t sweep_size; /* of by_key at which idle children are freed */
	int32_t waiting;
	int64_t bytes;
	double served; /* virtual time: the start tag served last */
	double finish; /* own finish tag in the parent's virtual time */
};

typedef struct {
	wwh_flow_t root;
	wwh_rate_t drain;
	int64_t standing_ms; /* since when something waits all the time */
	double promised; /* refused requests told to return */
	int64_t promised_ms;
} class_t;

struct wwh_admission {
	wwh_admission_options_t options;
	class_t classes[CLASS_COUNT]; /* urgent first */
	int32_t waiting;
	int64_t bytes;
	int32_t urgent_starts; /* in a row while bulk waited */
	uint64_t last_number;
	double capacity;
	wwh_quantile_t median;
	wwh_quantile_t p90;
	double mean_ms; /* 0: no sample yet */
	double cost_ms[COST_ROWS];
};

const char *const wwh_admission_verdict_names[WWH_ADMISSION_COUNT] = {
	"in",
	"queue-full",
	"wait-too-long",
};

static class_t *class_of(const wwh_admission_t *admission, bool urgent);
static class_t *class_in_turn(const wwh_admission_t *admission);
static double prior_per_ms(const wwh_admission_t *admission);
static double class_rate(const wwh_admission_t *admission,
			 const class_t *class);
static double run_need_ms(double run_ms, int64_t remaining_ms);
static double expected_ahead(const class_t *class,
			     const wwh_waiting_t *waiting);
static double queue_part(const class_t *class, int64_t now_ms,
			 int64_t remaining_ms);
static bool over_bound(const wwh_admission_t *admission,
		       const wwh_waiting_t *waiting);
static void insert(wwh_admission_t *admission, int64_t now_ms,
		   wwh_waiting_t *waiting, bool first);
static void detach(wwh_admission_t *admission, int64_t now_ms,
		   wwh_waiting_t *waiting);
static wwh_flow_t *find_child(const wwh_flow_t *flow, uint64_t key);
static wwh_flow_t *get_child(wwh_admission_t *admission, wwh_flow_t *flow,
			     uint64_t key, bool leaf);
static void sweep(wwh_flow_t *flow);
static gboolean is_spent(gpointer key, gpointer value, gpointer client_data);
static void activate(wwh_flow_t *flow);
static void charge(wwh_flow_t *flow, double cost);
static void release_idle(wwh_flow_t *root);
static void delete_flow(gpointer data);
static double drain_promised(class_t *class, int64_t now_ms, double rate);

void wwh_admission_options_defaults(wwh_admission_options_t *options)
{
	options->count_max = 1024;
	options->bytes_max = 16 * 1024 * 1024;
	options->bulk_every = 8;
}

wwh_admission_t *wwh_admission_new(const wwh_admission_options_t *options)
{
	wwh_admission_t *admission = g_new0(wwh_admission_t, 1);

	admission->options = *options;
	for (int32_t i = 0; i < CLASS_COUNT; i++)
		admission->classes[i].root.by_key = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, NULL, delete_flow);
	admission->capacity = 1;
	return admission;
}

void wwh_admission_delete(wwh_admission_t *admission)
{
	if (admission == NULL)
		return;
	assert(admission->waiting == 0);
	for (int32_t i = 0; i < CLASS_COUNT; i++) {
		g_hash_table_destroy(admission->classes[i].root.by_key);
		wwh_heap_finish(&admission->classes[i].root.children);
	}
	g_free(admission);
}

void wwh_admission_set_capacity(wwh_admission_t *admission, double slots)
{
	admission->capacity = slots > 0 ? slots : 0;
}

wwh_admission_verdict_t wwh_admission_offer(wwh_admission_t *admission,
					    int64_t now_ms,
					    wwh_waiting_t *waiting,
					    bool can_start)
{
	class_t *class = class_of(admission, waiting->urgent);
	int64_t remaining_ms = waiting->deadline_ms - now_ms;
	double need_ms, wait_ms, bound_ms;

	if (over_bound(admission, waiting))
		return WWH_ADMISSION_QUEUE_FULL;
	if (remaining_ms <= 0)
		return WWH_ADMISSION_WAIT_TOO_LONG;
	if (!can_start || admission->waiting > 0) {
		wwh_rate_advance(&class->drain, now_ms,
				 class->root.waiting > 0);
		need_ms = run_need_ms(admission->p90.value, remaining_ms);
		wait_ms = (expected_ahead(class, waiting) + 1) /
			  class_rate(admission, class);
		bound_ms = ((double)remaining_ms - need_ms) / WAIT_MARGIN;
		bound_ms *= queue_part(class, now_ms, remaining_ms);
		if (wait_ms > bound_ms)
			return WWH_ADMISSION_WAIT_TOO_LONG;
	}
	waiting->arrived_ms = now_ms;
	waiting->waits = !can_start || admission->waiting > 0;
	need_ms = run_need_ms(admission->median.value, remaining_ms);
	waiting->latest_start_ms = waiting->deadline_ms - (int64_t)need_ms;
	insert(admission, now_ms, waiting, false);
	return WWH_ADMISSION_ADMITTED;
}

void wwh_admission_requeue(wwh_admission_t *admission, int64_t now_ms,
			   wwh_waiting_t *waiting)
{
	waiting->waits = true;
	insert(admission, now_ms, waiting, true);
}

wwh_waiting_t *wwh_admission_peek(const wwh_admission_t *admission)
{
	wwh_flow_t *flow;

	if (admission->waiting == 0)
		return NULL;
	flow = &class_in_turn(admission)->root;
	while (flow->by_key != NULL)
		flow = wwh_heap_first(&flow->children)->owner;
	return g_queue_peek_head(&flow->requests);
}

void wwh_admission_start(wwh_admission_t *admission, int64_t now_ms,
			 wwh_waiting_t *waiting)
{
	class_t *class = class_of(admission, waiting->urgent);
	wwh_flow_t *caller = waiting->flow;
	double cost = wwh_admission_caller_run_ms(admission, waiting->caller);

	assert(caller != NULL);
	wwh_rate_advance(&class->drain, now_ms, true);
	/* A start without a wait says nothing about how fast waits end. */
	if (waiting->waits)
		wwh_rate_event(&class->drain);
	if (class_of(admission, false)->root.waiting == 0 || !waiting->urgent)
		admission->urgent_starts = 0;
	else
		admission->urgent_starts++;
	charge(caller, cost);
	charge(caller->parent, cost);
	detach(admission, now_ms, waiting);
}

void wwh_admission_remove(wwh_admission_t *admission, int64_t now_ms,
			  wwh_waiting_t *waiting)
{
	detach(admission, now_ms, waiting);
}

void wwh_admission_record_run(wwh_admission_t *admission, uint64_t caller,
			      int32_t run_ms)
{
	double *cost = &admission->cost_ms[caller % COST_ROWS];

	wwh_quantile_add(&admission->median, 0.5, run_ms);
	wwh_quantile_add(&admission->p90, 0.9, run_ms);
	if (admission->mean_ms <= 0)
		admission->mean_ms = run_ms;
	admission->mean_ms += MEAN_WEIGHT * (run_ms - admission->mean_ms);
	if (*cost <= 0)
		*cost = run_ms;
	else
		*cost += COST_WEIGHT * (run_ms - *cost);
}

int32_t wwh_admission_retry_after_ms(wwh_admission_t *admission, int64_t now_ms,
				     bool urgent, int32_t floor_ms)
{
	class_t *class = class_of(admission, urgent);
	double rate, wait_ms;

	wwh_rate_advance(&class->drain, now_ms, class->root.waiting > 0);
	rate = class_rate(admission, class);
	wait_ms = (class->root.waiting + drain_promised(class, now_ms, rate)) /
		  rate;
	class->promised += 1;
	if (wait_ms < floor_ms)
		return floor_ms;
	return wait_ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS
					    : (int32_t)ceil(wait_ms);
}

int32_t wwh_admission_waiting(const wwh_admission_t *admission)
{
	return admission->waiting;
}

int64_t wwh_admission_waiting_bytes(const wwh_admission_t *admission)
{
	return admission->bytes;
}

int32_t wwh_admission_waiting_callers(const wwh_admission_t *admission)
{
	int32_t callers = 0;

	for (int32_t i = 0; i < CLASS_COUNT; i++) {
		const wwh_heap_t *teams = &admission->classes[i].root.children;

		for (int32_t k = 0; k < teams->count; k++) {
			const wwh_flow_t *team = teams->nodes[k]->owner;

			callers += team->children.count;
		}
	}
	return callers;
}

int32_t wwh_admission_median_ms(const wwh_admission_t *admission)
{
	return (int32_t)ceil(admission->median.value);
}

int32_t wwh_admission_p90_ms(const wwh_admission_t *admission)
{
	return (int32_t)ceil(admission->p90.value);
}

int32_t wwh_admission_caller_run_ms(const wwh_admission_t *admission,
				    uint64_t caller)
{
	double cost = admission->cost_ms[caller % COST_ROWS];

	if (cost <= 0)
		cost = admission->median.value;
	return cost < 1 ? 1 : (int32_t)cost;
}

double wwh_admission_drain_per_s(const wwh_admission_t *admission, bool urgent)
{
	return 1000 * class_rate(admission, class_of(admission, urgent));
}

static class_t *class_of(const wwh_admission_t *admission, bool urgent)
{
	return (class_t *)&admission->classes[urgent ? 0 : 1];
}

static class_t *class_in_turn(const wwh_admission_t *admission)
{
	class_t *urgent = class_of(admission, true);
	class_t *bulk = class_of(admission, false);

	if (bulk->root.waiting == 0)
		return urgent;
	if (urgent->root.waiting == 0)
		return bulk;
	if (admission->urgent_starts >= admission->options.bulk_every - 1)
		return bulk;
	return urgent;
}

static double prior_per_ms(const wwh_admission_t *admission)
{
	double run_ms =
		admission->mean_ms > 0 ? admission->mean_ms : FIRST_RUN_MS;
	double slots = admission->capacity > 0 ? admission->capacity : 0.01;

	return slots / run_ms;
}

/*
 * Attempts that fail at once empty the queue quickly without an answer; after
 * an outage their rate would let in much more than can be served. Slots over
 * run time (Little's law) bounds it.
 */
static double class_rate(const wwh_admission_t *admission, const class_t *class)
{
	double bound = prior_per_ms(admission);

	return fmin(wwh_rate_per_ms(&class->drain, bound), RATE_SLACK * bound);
}

/*
 * The time to keep for running. At most half of what remains: work that runs
 * longer than usual would otherwise never be let in.
 */
static double run_need_ms(double run_ms, int64_t remaining_ms)
{
	double half = (double)remaining_ms / 2;

	return run_ms < half ? run_ms : half;
}

/* Requests of the class that will start earlier than a new one would. */
static double expected_ahead(const class_t *class, const wwh_waiting_t *waiting)
{
	const wwh_flow_t *team = find_child(&class->root, waiting->team);
	const wwh_flow_t *caller;
	double in_team = 0;
	double teams = class->root.children.count;
	double all;

	if (team != NULL && team->waiting > 0) {
		double rounds = 1;

		caller = find_child(team, waiting->caller);
		if (caller != NULL)
			rounds += caller->waiting;
		in_team = MIN(team->waiting, rounds * team->children.count);
	} else {
		teams += 1;
	}
	all = (in_team + 1) * teams - 1;
	return MIN(all, class->root.waiting);
}

/*
 * The part of the possible wait that is let in. All of it in a burst; when
 * the queue has not been empty for longer than a deadline, more waiting
 * brings no more answers, only later ones, and estimates that are wrong turn
 * into late refusals.
 */
static double queue_part(const class_t *class, int64_t now_ms,
			 int64_t remaining_ms)
{
	double standing;

	if (class->root.waiting == 0)
		return 1;
	standing = (double)(now_ms - class->standing_ms) / (double)remaining_ms;
	if (standing <= BURST_DEADLINES)
		return 1;
	if (standing >= BURST_DEADLINES + 1)
		return STANDING_PART;
	return 1 - (1 - STANDING_PART) * (standing - BURST_DEADLINES);
}

static bool over_bound(const wwh_admission_t *admission,
		       const wwh_waiting_t *waiting)
{
	const class_t *class = class_of(admission, waiting->urgent);
	int32_t free_count = admission->options.count_max - admission->waiting;
	int64_t free_bytes = admission->options.bytes_max - admission->bytes -
			     waiting->bytes;
	const wwh_flow_t *flow;

	if (free_count <= 0 || free_bytes < 0)
		return true;
	flow = find_child(&class->root, waiting->team);
	if (flow != NULL)
		flow = find_child(flow, waiting->caller);
	if (flow == NULL || flow->waiting == 0)
		return false;
	return flow->waiting > free_count || flow->bytes > free_bytes;
}

static void insert(wwh_admission_t *admission, int64_t now_ms,
		   wwh_waiting_t *waiting, bool first)
{
	class_t *class = class_of(admission, waiting->urgent);
	wwh_flow_t *team, *caller, *flow;

	assert(waiting->flow == NULL);
	wwh_rate_advance(&class->drain, now_ms, true);
	if (class->root.waiting == 0)
		class->standing_ms = now_ms;
	team = get_child(admission, &class->root, waiting->team, false);
	caller = get_child(admission, team, waiting->caller, true);
	waiting->flow = caller;
	waiting->link.data = waiting;
	if (first)
		g_queue_push_head_link(&caller->requests, &waiting->link);
	else
		g_queue_push_tail_link(&caller->requests, &waiting->link);
	for (flow = caller; flow != NULL; flow = flow->parent) {
		flow->waiting++;
		flow->bytes += waiting->bytes;
	}
	activate(caller);
	activate(team);
	admission->waiting++;
	admission->bytes += waiting->bytes;
}

static void detach(wwh_admission_t *admission, int64_t now_ms,
		   wwh_waiting_t *waiting)
{
	class_t *class = class_of(admission, waiting->urgent);
	wwh_flow_t *flow = waiting->flow;

	assert(flow != NULL);
	g_queue_unlink(&flow->requests, &waiting->link);
	waiting->flow = NULL;
	for (; flow != NULL; flow = flow->parent) {
		flow->waiting--;
		flow->bytes -= waiting->bytes;
		if (flow->waiting == 0 && flow->parent != NULL)
			wwh_heap_remove(&flow->parent->children, &flow->node);
	}
	admission->waiting--;
	admission->bytes -= waiting->bytes;
	wwh_rate_advance(&class->drain, now_ms, class->root.waiting > 0);
	if (class->root.waiting == 0)
		release_idle(&class->root);
}

static wwh_flow_t *find_child(const wwh_flow_t *flow, uint64_t key)
{
	return g_hash_table_lookup(flow->by_key, &key);
}

static wwh_flow_t *get_child(wwh_admission_t *admission, wwh_flow_t *flow,
			     uint64_t key, bool leaf)
{
	wwh_flow_t *child = find_child(flow, key);

	if (child != NULL)
		return child;
	sweep(flow);
	child = g_new0(wwh_flow_t, 1);
	child->key = key;
	child->parent = flow;
	child->finish = flow->served;
	child->node.owner = child;
	child->node.tie_breaker = ++admission->last_number;
	if (!leaf)
		child->by_key = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, NULL, delete_flow);
	g_hash_table_insert(flow->by_key, &child->key, child);
	return child;
}

/*
 * Idle children that are owed nothing are freed, else a class that is never
 * empty would keep a record of every caller it ever saw.
 */
static void sweep(wwh_flow_t *flow)
{
	if (g_hash_table_size(flow->by_key) < MAX(flow->sweep_size, SWEEP_SIZE))
		return;
	g_hash_table_foreach_remove(flow->by_key, is_spent, flow);
	flow->sweep_size = 2 * g_hash_table_size(flow->by_key);
}

static gboolean is_spent(gpointer key, gpointer value, gpointer client_data)
{
	const wwh_flow_t *child = value;
	const wwh_flow_t *parent = client_data;

	(void)key;
	return child->waiting == 0 && child->finish <= parent->served;
}

/* Into its parent's order; one that was idle gets no credit for that time. */
static void activate(wwh_flow_t *flow)
{
	assert(flow->parent != NULL);
	if (flow->node.position != 0)
		return;
	flow->node.key = MAX(flow->finish, flow->parent->served);
	wwh_heap_insert(&flow->parent->children, &flow->node);
}

static void charge(wwh_flow_t *flow, double cost)
{
	assert(flow->parent != NULL);
	flow->parent->served = flow->node.key;
	flow->finish = flow->node.key + cost;
	flow->node.key = flow->finish;
	wwh_heap_update(&flow->parent->children, &flow->node);
}

/* With nothing waiting, nobody is owed anything: the class starts anew. */
static void release_idle(wwh_flow_t *root)
{
	g_hash_table_remove_all(root->by_key);
	root->served = 0;
}

static void delete_flow(gpointer data)
{
	wwh_flow_t *flow = data;

	if (flow->by_key != NULL)
		g_hash_table_destroy(flow->by_key);
	wwh_heap_finish(&flow->children);
	g_free(flow);
}

static double drain_promised(class_t *class, int64_t now_ms, double rate)
{
	double passed = (double)(now_ms - class->promised_ms);

	class->promised -= passed * rate;
	if (class->promised < 0)
		class->promised = 0;
	class->promised_ms = now_ms;
	return class->promised;
}
