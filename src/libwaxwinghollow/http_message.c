#include "waxwinghollow/http_message.h"

#include <string.h>

struct wwh_headers {
	GArray *list; /* of wwh_header_t */
};

static const char *const hop_by_hop_names[] = {
	"Connection",	       "Keep-Alive", "Proxy-Connection",
	"Proxy-Authenticate",  "TE",	     "Trailer",
	"Proxy-Authorization", "Upgrade",    "Transfer-Encoding",
};

static void clear_header(gpointer data);
static bool list_names(const char *list, const char *name);

wwh_headers_t *wwh_headers_new(void)
{
	wwh_headers_t *headers = g_new0(wwh_headers_t, 1);

	headers->list = g_array_new(FALSE, FALSE, sizeof(wwh_header_t));
	g_array_set_clear_func(headers->list, clear_header);
	return headers;
}

void wwh_headers_delete(wwh_headers_t *headers)
{
	if (headers == NULL)
		return;
	g_array_free(headers->list, TRUE);
	g_free(headers);
}

void wwh_headers_add(wwh_headers_t *headers, const char *name,
		     const char *value)
{
	wwh_header_t header = {
		.name = g_strdup(name),
		.value = g_strdup(value != NULL ? value : ""),
	};

	g_array_append_val(headers->list, header);
}

int32_t wwh_headers_count(const wwh_headers_t *headers)
{
	return (int32_t)headers->list->len;
}

const wwh_header_t *wwh_headers_at(const wwh_headers_t *headers, int32_t index)
{
	return &g_array_index(headers->list, wwh_header_t, index);
}

const char *wwh_headers_get(const wwh_headers_t *headers, const char *name)
{
	for (guint i = 0; i < headers->list->len; i++) {
		const wwh_header_t *header = wwh_headers_at(headers, (int)i);

		if (g_ascii_strcasecmp(header->name, name) == 0)
			return header->value;
	}
	return NULL;
}

bool wwh_headers_is_hop_by_hop(const wwh_headers_t *headers, const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_names); i++) {
		if (g_ascii_strcasecmp(hop_by_hop_names[i], name) == 0)
			return true;
	}
	for (guint i = 0; i < headers->list->len; i++) {
		const wwh_header_t *header = wwh_headers_at(headers, (int)i);

		if (g_ascii_strcasecmp(header->name, "Connection") == 0 &&
		    list_names(header->value, name))
			return true;
	}
	return false;
}

void wwh_http_response_init(wwh_http_response_t *response)
{
	response->status = 200;
	response->headers = wwh_headers_new();
	response->body = g_byte_array_new();
	response->head_content_length = -1;
}

void wwh_http_response_clear(wwh_http_response_t *response)
{
	wwh_headers_delete(response->headers);
	if (response->body != NULL)
		g_byte_array_free(response->body, TRUE);
	response->headers = NULL;
	response->body = NULL;
}

char *wwh_http_target_path(const char *target)
{
	return g_strndup(target, strcspn(target, "?"));
}

char *wwh_http_query_value(const char *target, const char *name)
{
	const char *query = strchr(target, '?');
	char **pairs;
	char *result = NULL;
	size_t name_length = strlen(name);

	if (query == NULL)
		return NULL;
	pairs = g_strsplit(query + 1, "&", -1);
	for (char **pair = pairs; *pair != NULL && result == NULL; pair++) {
		if (strncmp(*pair, name, name_length) == 0 &&
		    (*pair)[name_length] == '=')
			result = g_uri_unescape_string(*pair + name_length + 1,
						       NULL);
	}
	g_strfreev(pairs);
	return result;
}

static void clear_header(gpointer data)
{
	wwh_header_t *header = data;

	g_free(header->name);
	g_free(header->value);
}

static bool list_names(const char *list, const char *name)
{
	char **parts = g_strsplit(list, ",", -1);
	bool found = false;

	for (char **part = parts; *part != NULL && !found; part++)
		found = g_ascii_strcasecmp(g_strstrip(*part), name) == 0;
	g_strfreev(parts);
	return found;
}
