#include "waxwinghollow/relay_executor.h"

/* Batches, counted back from the newest, whose receipt is remembered. */
#define REMEMBERED_BATCHES 64

typedef struct {
	wwh_relay_result_t result;
	uint8_t *body;
	int64_t added_ms;
	int64_t bytes;
} kept_result_t;

struct wwh_relay_executor {
	wwh_relay_executor_options_t options;
	int64_t epoch; /* the highest received */
	int64_t newest_batch; /* of that epoch */
	uint64_t received; /* bit i: batch newest_batch - i */
	GQueue waiting; /* of wwh_relay_order_t */
	GQueue results; /* of kept_result_t */
	int32_t in_flight;
	int64_t bytes; /* of all of them */
	bool stopped;
	wwh_relay_executor_counts_t counts;
};

static wwh_relay_verdict_t judge(wwh_relay_executor_t *executor,
				 const wwh_relay_batch_header_t *header);
static void begin_epoch(wwh_relay_executor_t *executor, int64_t epoch);
static bool is_duplicate(const wwh_relay_executor_t *executor, int64_t number);
static void remember(wwh_relay_executor_t *executor, int64_t number);
static void take_order(wwh_relay_executor_t *executor, wwh_relay_order_t *order,
		       int64_t now_ms);
static void add_unsent(wwh_relay_executor_t *executor,
		       const wwh_relay_order_t *order, int64_t now_ms);
static void add_result(wwh_relay_executor_t *executor,
		       const wwh_relay_order_t *order,
		       const wwh_http_answer_t *answer, int64_t now_ms);
static void drop_old_results(wwh_relay_executor_t *executor, int64_t now_ms);
static void drop_result(wwh_relay_executor_t *executor, kept_result_t *kept);
static uint32_t count_results(const wwh_relay_executor_t *executor);

wwh_relay_executor_options_t wwh_relay_executor_options_defaults(void)
{
	/*
	 * Of 160 MB and 4,100 descriptors. Twice the orders that one holder
	 * gives, as those of its predecessor may be in flight.
	 */
	wwh_relay_executor_options_t options = {
		.incarnation = 1,
		.max_orders = 1024,
		.max_bytes = 8388608,
		.max_message_bytes = 524288,
		.result_ttl_ms = 10000,
	};

	return options;
}

wwh_relay_executor_t *
wwh_relay_executor_new(const wwh_relay_executor_options_t *options)
{
	wwh_relay_executor_t *executor = g_new0(wwh_relay_executor_t, 1);

	executor->options = *options;
	g_queue_init(&executor->waiting);
	g_queue_init(&executor->results);
	return executor;
}

void wwh_relay_executor_delete(wwh_relay_executor_t *executor)
{
	if (executor == NULL)
		return;
	begin_epoch(executor, 0);
	g_free(executor);
}

wwh_relay_verdict_t wwh_relay_executor_accept(wwh_relay_executor_t *executor,
					      wwh_relay_batch_t *batch,
					      int64_t now_ms)
{
	wwh_relay_verdict_t verdict = judge(executor, &batch->header);

	drop_old_results(executor, now_ms);
	for (guint i = 0;
	     verdict == WWH_RELAY_ACCEPTED && i < batch->orders->len; i++)
		take_order(executor, g_steal_pointer(&batch->orders->pdata[i]),
			   now_ms);
	wwh_relay_batch_delete(batch);
	return verdict;
}

void wwh_relay_executor_raise_epoch(wwh_relay_executor_t *executor,
				    int64_t epoch)
{
	if (epoch > executor->epoch)
		begin_epoch(executor, epoch);
}

wwh_relay_verdict_t
wwh_relay_executor_check(const wwh_relay_executor_t *executor, int64_t epoch)
{
	if (epoch < executor->epoch)
		return WWH_RELAY_OLD_EPOCH;
	return executor->stopped ? WWH_RELAY_STOPPING : WWH_RELAY_ACCEPTED;
}

wwh_relay_order_t *wwh_relay_executor_next(wwh_relay_executor_t *executor,
					   int64_t now_ms)
{
	wwh_relay_order_t *order;

	while ((order = g_queue_pop_head(&executor->waiting)) != NULL) {
		if (now_ms < order->expires_ms && now_ms < order->ends_ms)
			break;
		executor->counts.expired++;
		executor->bytes -= order->bytes;
		add_unsent(executor, order, now_ms);
		wwh_relay_order_delete(order);
	}
	if (order == NULL)
		return NULL;
	order->call->timeout_ms = order->ends_ms - now_ms;
	order->call->send_timeout_ms = order->expires_ms - now_ms;
	executor->in_flight++;
	return order;
}

void wwh_relay_executor_end(wwh_relay_executor_t *executor,
			    wwh_relay_order_t *order,
			    const wwh_http_answer_t *answer, int64_t now_ms)
{
	executor->in_flight--;
	executor->bytes -= order->bytes;
	if (order->epoch == executor->epoch)
		add_result(executor, order, answer, now_ms);
	wwh_relay_order_delete(order);
}

void wwh_relay_executor_write_results(wwh_relay_executor_t *executor,
				      wwh_relay_verdict_t verdict,
				      int64_t epoch, int64_t now_ms,
				      GByteArray *out)
{
	const wwh_relay_results_header_t header = {
		.verdict = verdict,
		.epoch = executor->epoch,
		.incarnation = executor->options.incarnation,
		.clock_ms = now_ms,
	};
	uint32_t count = epoch == executor->epoch ? count_results(executor) : 0;

	wwh_relay_results_begin(out, &header, count);
	for (uint32_t i = 0; i < count; i++) {
		kept_result_t *kept = g_queue_pop_head(&executor->results);

		wwh_relay_results_add(out, &kept->result);
		drop_result(executor, kept);
	}
}

int64_t
wwh_relay_executor_results_since_ms(const wwh_relay_executor_t *executor)
{
	const kept_result_t *oldest =
		g_queue_peek_head((GQueue *)&executor->results);

	return oldest == NULL ? 0 : oldest->added_ms;
}

void wwh_relay_executor_stop(wwh_relay_executor_t *executor)
{
	executor->stopped = true;
}

bool wwh_relay_executor_is_idle(const wwh_relay_executor_t *executor)
{
	return executor->in_flight == 0 && executor->waiting.length == 0 &&
	       executor->results.length == 0;
}

int32_t wwh_relay_executor_in_flight(const wwh_relay_executor_t *executor)
{
	return executor->in_flight;
}

wwh_relay_executor_counts_t
wwh_relay_executor_counts(const wwh_relay_executor_t *executor)
{
	return executor->counts;
}

/*
 * A batch that was received before has been accepted then, so its orders may
 * have been sent; no other verdict may be given on it.
 */
static wwh_relay_verdict_t judge(wwh_relay_executor_t *executor,
				 const wwh_relay_batch_header_t *header)
{
	if (header->epoch < executor->epoch) {
		executor->counts.old_epochs++;
		return WWH_RELAY_OLD_EPOCH;
	}
	if (header->epoch == executor->epoch &&
	    is_duplicate(executor, header->number)) {
		executor->counts.duplicates++;
		return WWH_RELAY_DUPLICATE;
	}
	if (header->incarnation != executor->options.incarnation)
		return WWH_RELAY_OTHER_INCARNATION;
	if (header->epoch > executor->epoch)
		begin_epoch(executor, header->epoch);
	if (executor->stopped)
		return WWH_RELAY_STOPPING;
	remember(executor, header->number);
	return WWH_RELAY_ACCEPTED;
}

/* The previous holder has lost the shard: its orders aren't sent any more. */
static void begin_epoch(wwh_relay_executor_t *executor, int64_t epoch)
{
	wwh_relay_order_t *order;
	kept_result_t *kept;

	executor->epoch = epoch;
	executor->newest_batch = 0;
	executor->received = 0;
	while ((order = g_queue_pop_head(&executor->waiting)) != NULL) {
		executor->bytes -= order->bytes;
		wwh_relay_order_delete(order);
	}
	while ((kept = g_queue_pop_head(&executor->results)) != NULL)
		drop_result(executor, kept);
}

static bool is_duplicate(const wwh_relay_executor_t *executor, int64_t number)
{
	int64_t age = executor->newest_batch - number;

	if (age < 0)
		return false;
	return age >= REMEMBERED_BATCHES ||
	       (executor->received & ((uint64_t)1 << age)) != 0;
}

static void remember(wwh_relay_executor_t *executor, int64_t number)
{
	int64_t age = executor->newest_batch - number;

	g_assert(age < REMEMBERED_BATCHES);
	if (age >= 0) {
		executor->received |= (uint64_t)1 << age;
		return;
	}
	executor->received =
		age > -REMEMBERED_BATCHES ? executor->received << -age : 0;
	executor->received |= 1;
	executor->newest_batch = number;
}

static void take_order(wwh_relay_executor_t *executor, wwh_relay_order_t *order,
		       int64_t now_ms)
{
	int64_t held = executor->in_flight + executor->waiting.length +
		       executor->results.length;

	order->epoch = executor->epoch;
	order->accepted_ms = now_ms;
	if (held >= executor->options.max_orders ||
	    executor->bytes + order->bytes > executor->options.max_bytes) {
		executor->counts.refused++;
		add_unsent(executor, order, now_ms);
		wwh_relay_order_delete(order);
		return;
	}
	executor->counts.accepted++;
	executor->bytes += order->bytes;
	g_queue_push_tail(&executor->waiting, order);
}

static void add_unsent(wwh_relay_executor_t *executor,
		       const wwh_relay_order_t *order, int64_t now_ms)
{
	const wwh_http_answer_t answer = { .outcome = WWH_CALL_NOT_SENT,
					   .status = WWH_RELAY_STATUS_NOT_TRIED,
					   .retry_after_s = -1 };

	add_result(executor, order, &answer, now_ms);
}

/*
 * A result beyond the bounds is dropped, so that its order has no answer: only
 * for a holder that doesn't collect its results.
 */
static void add_result(wwh_relay_executor_t *executor,
		       const wwh_relay_order_t *order,
		       const wwh_http_answer_t *answer, int64_t now_ms)
{
	int64_t bytes = (int64_t)(sizeof(kept_result_t) + answer->body_size);
	kept_result_t *kept;

	if ((int64_t)executor->results.length >=
		    2 * (int64_t)executor->options.max_orders ||
	    executor->bytes + bytes > 2 * executor->options.max_bytes)
		return;
	kept = g_new0(kept_result_t, 1);
	kept->body = g_memdup2(answer->body, answer->body_size);
	kept->added_ms = now_ms;
	kept->bytes = bytes;
	kept->result.id = order->id;
	kept->result.outcome = answer->outcome;
	kept->result.status = answer->status;
	kept->result.retry_after_s = answer->retry_after_s;
	kept->result.held_ms = MAX(now_ms - order->accepted_ms, 0);
	kept->result.body = kept->body;
	kept->result.body_size = answer->body_size;
	executor->bytes += bytes;
	g_queue_push_tail(&executor->results, kept);
}

static void drop_old_results(wwh_relay_executor_t *executor, int64_t now_ms)
{
	kept_result_t *oldest;

	while ((oldest = g_queue_peek_head(&executor->results)) != NULL &&
	       now_ms - oldest->added_ms >= executor->options.result_ttl_ms) {
		g_queue_pop_head(&executor->results);
		drop_result(executor, oldest);
	}
}

static void drop_result(wwh_relay_executor_t *executor, kept_result_t *kept)
{
	executor->bytes -= kept->bytes;
	g_free(kept->body);
	g_free(kept);
}

static uint32_t count_results(const wwh_relay_executor_t *executor)
{
	uint32_t count = 0;
	int64_t bytes = 0;

	for (GList *at = executor->results.head;
	     at != NULL && count < WWH_RELAY_RESULTS_MAX; at = at->next) {
		bytes += ((kept_result_t *)at->data)->bytes;
		if (count > 0 && bytes > executor->options.max_message_bytes)
			break;
		count++;
	}
	return count;
}
