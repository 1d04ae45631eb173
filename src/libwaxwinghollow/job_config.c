#include "waxwinghollow/job_config.h"

#include <string.h>

static void clear_queue(gpointer data);
static void clear_pool(gpointer data);
static void clear_limit(gpointer data);
static bool same_host(const char *header, const char *host);

wwh_job_config_t *wwh_job_config_new(int64_t version)
{
	wwh_job_config_t *config = g_new0(wwh_job_config_t, 1);

	config->version = version;
	config->references = 1;
	config->queues = g_array_new(FALSE, FALSE, sizeof(wwh_queue_t));
	g_array_set_clear_func(config->queues, clear_queue);
	config->pools = g_array_new(FALSE, FALSE, sizeof(wwh_job_pool_t));
	g_array_set_clear_func(config->pools, clear_pool);
	config->limits =
		g_array_new(FALSE, FALSE, sizeof(wwh_workspace_limit_t));
	g_array_set_clear_func(config->limits, clear_limit);
	return config;
}

wwh_job_config_t *wwh_job_config_ref(wwh_job_config_t *config)
{
	g_atomic_int_inc(&config->references);
	return config;
}

void wwh_job_config_unref(wwh_job_config_t *config)
{
	if (config == NULL || !g_atomic_int_dec_and_test(&config->references))
		return;
	g_array_free(config->queues, TRUE);
	g_array_free(config->pools, TRUE);
	g_array_free(config->limits, TRUE);
	wwh_api_keys_delete(config->api_keys);
	g_free(config);
}

void wwh_job_config_add_queue(wwh_job_config_t *config,
			      const wwh_queue_t *queue)
{
	g_array_append_val(config->queues, *queue);
}

void wwh_job_config_add_pool(wwh_job_config_t *config,
			     const wwh_job_pool_t *pool)
{
	g_array_append_val(config->pools, *pool);
}

void wwh_job_config_add_limit(wwh_job_config_t *config,
			      const wwh_workspace_limit_t *limit)
{
	g_array_append_val(config->limits, *limit);
}

const wwh_queue_t *wwh_job_config_find_queue(const wwh_job_config_t *config,
					     const char *host, const char *path,
					     const char **rest)
{
	const wwh_queue_t *best = NULL;
	size_t best_size = 0;

	for (guint i = 0; i < config->queues->len; i++) {
		const wwh_queue_t *queue =
			&g_array_index(config->queues, wwh_queue_t, i);
		size_t size = strlen(queue->prefix);

		if ((best != NULL && size <= best_size) ||
		    !same_host(host, queue->host) ||
		    strncmp(path, queue->prefix, size) != 0)
			continue;
		best = queue;
		best_size = size;
	}
	if (best != NULL)
		*rest = path + best_size;
	return best;
}

static void clear_queue(gpointer data)
{
	wwh_queue_t *queue = data;

	g_free(queue->host);
	g_free(queue->prefix);
	wwh_job_queue_clear(&queue->rules);
}

static void clear_pool(gpointer data)
{
	wwh_job_pool_t *pool = data;

	g_free(pool->name);
}

static void clear_limit(gpointer data)
{
	wwh_workspace_limit_t *limit = data;

	g_free(limit->name);
}

static bool same_host(const char *header, const char *host)
{
	size_t size = strcspn(header, ":");

	return strlen(host) == size &&
	       g_ascii_strncasecmp(header, host, size) == 0;
}
