#include "waxwinghollow/membership.h"

#include <assert.h>
#include <string.h>

#include "private/membership_private.h"

#define REFRESH_MS 30000
#define LOAD_STEP_PERMILLE 100

const char *const wwh_member_status_names[WWH_MEMBER_STATUS_COUNT] = {
	"alive",
	"suspect",
	"left",
	"dead",
};

static void judge_all(wwh_membership_t *membership, int64_t now_ms);

void wwh_membership_options_defaults(wwh_membership_options_t *options)
{
	*options = (wwh_membership_options_t){
		.address = "",
		.zone = "",
		.region = "",
		.round_ms = 1000,
		.ack_timeout_ms = 400,
		.suspicion_timeout_ms = 4000,
		.retention_ms = 600000,
		.message_bytes = 1200,
	};
}

wwh_membership_t *wwh_membership_new(const wwh_membership_options_t *options,
				     GRand *rand, wwh_membership_send_t send,
				     void *client_data)
{
	wwh_membership_t *membership = g_new0(wwh_membership_t, 1);

	assert(options->incarnation != 0);
	membership->options = *options;
	membership->rand = rand;
	membership->send = send;
	membership->client_data = client_data;
	membership->self =
		wwh_members_row_new(options->id, options->incarnation);
	membership->self->address = g_strdup(options->address);
	membership->self->zone = g_strdup(options->zone);
	membership->self->region = g_strdup(options->region);
	membership->rows = g_ptr_array_new_with_free_func(wwh_members_row_free);
	membership->seeds = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; options->seeds != NULL && options->seeds[i] != NULL;
	     i++)
		g_ptr_array_add(membership->seeds, g_strdup(options->seeds[i]));
	membership->own_seeds = membership->seeds->len;
	membership->newest_address = g_strdup("");
	membership->pending = g_array_new(FALSE, TRUE, sizeof(wwh_probe_t));
	membership->round = g_rand_int_range(rand, 0, 8);
	return membership;
}

void wwh_membership_delete(wwh_membership_t *membership)
{
	if (membership == NULL)
		return;
	wwh_members_forget_probes(membership);
	g_array_unref(membership->pending);
	g_free(membership->newest_address);
	g_ptr_array_unref(membership->seeds);
	g_ptr_array_unref(membership->rows);
	wwh_members_row_free(membership->self);
	g_free(membership);
}

void wwh_membership_list_begin(wwh_membership_t *membership)
{
	membership->list_number++;
	g_ptr_array_set_size(membership->seeds, (gint)membership->own_seeds);
}

void wwh_membership_list_host(wwh_membership_t *membership,
			      const wwh_host_t *host, int64_t now_ms)
{
	wwh_row_t *row;

	(void)now_ms;
	if (host->kind != WWH_HOST_ENTRY ||
	    strcmp(host->id, membership->self->id) == 0)
		return;
	row = wwh_members_find(membership, host->id);
	if (host->state != WWH_HOST_GONE &&
	    membership->seeds->len < WWH_MEMBERS_MAX)
		g_ptr_array_add(membership->seeds, g_strdup(host->address));
	if (row == NULL)
		return;
	row->list_number = membership->list_number;
	row->listed = host->state != WWH_HOST_GONE;
	row->listed_gone = !row->listed;
}

/* One that was on the list and isn't any more is gone, if the list is whole. */
void wwh_membership_list_end(wwh_membership_t *membership, bool whole,
			     int64_t now_ms)
{
	for (guint i = 0; i < membership->rows->len; i++) {
		wwh_row_t *row = membership->rows->pdata[i];

		if (whole && row->listed &&
		    row->list_number != membership->list_number) {
			row->listed = false;
			row->listed_gone = true;
		}
		if (row->listed_gone && !wwh_members_gone(row))
			row->confirm = true;
		wwh_members_judge(membership, row, now_ms);
	}
}

void wwh_membership_tick(wwh_membership_t *membership, int64_t now_ms)
{
	int64_t gap_ms = now_ms - membership->last_tick_ms;

	/*
	 * A process that was stopped for a while finds all its probes without
	 * answer: it would take everybody for dead. It is the one that was
	 * away, so it starts to observe anew.
	 */
	if (membership->last_tick_ms == 0 ||
	    gap_ms > membership->options.round_ms) {
		if (membership->last_tick_ms != 0)
			membership->stats.pauses++;
		wwh_members_forget_probes(membership);
		membership->heard_ms = now_ms;
		membership->next_round_ms = now_ms;
	}
	membership->last_tick_ms = now_ms;
	wwh_members_check_probes(membership, now_ms);
	if (membership->tell_newest) {
		membership->tell_newest = false;
		wwh_members_tell_some(membership, 3, now_ms);
	}
	if (now_ms < membership->next_round_ms)
		return;
	membership->next_round_ms = now_ms + membership->options.round_ms;
	judge_all(membership, now_ms);
	wwh_members_round(membership, now_ms);
}

void wwh_membership_set_summary(wwh_membership_t *membership,
				const wwh_member_summary_t *summary,
				int64_t now_ms)
{
	wwh_row_t *self = membership->self;
	bool news = summary->config_version != self->summary.config_version ||
		    ABS(summary->load_permille - self->summary.load_permille) >=
			    LOAD_STEP_PERMILLE ||
		    now_ms - self->status_ms >= REFRESH_MS;

	if (!news)
		return;
	self->summary = *summary;
	self->status_ms = now_ms;
	self->sequence++;
	self->spread_brief = WWH_BRIEF_SPREAD;
	wwh_members_learn_newest(membership, summary->config_version, "",
				 now_ms);
}

void wwh_membership_leave(wwh_membership_t *membership, int64_t now_ms)
{
	membership->self->left = true;
	membership->self->spread_fact = wwh_members_spread(membership);
	wwh_members_tell_some(membership, 3, now_ms);
}

int32_t wwh_membership_count(const wwh_membership_t *membership)
{
	return (int32_t)membership->rows->len;
}

void wwh_membership_at(const wwh_membership_t *membership, int32_t index,
		       wwh_member_t *member)
{
	const wwh_row_t *row = membership->rows->pdata[index];

	*member = (wwh_member_t){
		.id = row->id,
		.incarnation = row->incarnation,
		.address = row->address,
		.zone = row->zone,
		.region = row->region,
		.status = row->status,
		.status_ms = row->status_ms,
		.summary = row->summary,
	};
}

int32_t wwh_membership_count_status(const wwh_membership_t *membership,
				    wwh_member_status_t status)
{
	int32_t found = 0;

	for (guint i = 0; i < membership->rows->len; i++) {
		const wwh_row_t *row = membership->rows->pdata[i];

		if (row->status == status)
			found++;
	}
	return found;
}

int64_t wwh_membership_newest_config(const wwh_membership_t *membership,
				     const char **address)
{
	*address = membership->newest_address;
	return membership->newest_version;
}

bool wwh_membership_is_isolated(const wwh_membership_t *membership,
				int64_t now_ms)
{
	return wwh_members_isolated(membership, now_ms);
}

const wwh_membership_stats_t *
wwh_membership_stats(const wwh_membership_t *membership)
{
	return &membership->stats;
}

static void judge_all(wwh_membership_t *membership, int64_t now_ms)
{
	for (guint i = membership->rows->len; i > 0; i--) {
		wwh_row_t *row = membership->rows->pdata[i - 1];

		if (row->status != WWH_MEMBER_ALIVE || row->observers->len > 0)
			wwh_members_judge(membership, row, now_ms);
		if (wwh_members_gone(row) && !row->listed &&
		    now_ms - row->status_ms > membership->options.retention_ms)
			g_ptr_array_remove_index(membership->rows, i - 1);
	}
}
