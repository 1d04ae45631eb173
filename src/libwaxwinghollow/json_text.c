#include "private/json_text.h"

#include <glib.h>
#include <string.h>

static size_t string_end(const char *text, size_t size, size_t from);
static size_t comment_end(const char *text, size_t size, size_t from);

char *wwh_json_blank_comments(const char *text, size_t size)
{
	char *plain = g_malloc(size + 1);
	size_t at = 0;

	if (size > 0)
		memcpy(plain, text, size);
	plain[size] = '\0';
	while (at < size) {
		size_t end = comment_end(text, size, at);

		for (size_t i = at; i < end; i++) {
			if (plain[i] != '\n')
				plain[i] = ' ';
		}
		if (end > at)
			at = end;
		else if (text[at] == '"')
			at = string_end(text, size, at);
		else
			at++;
	}
	return plain;
}

/* Returns the index behind the string that starts at from. */
static size_t string_end(const char *text, size_t size, size_t from)
{
	size_t at = from + 1;

	while (at < size && text[at] != '"') {
		if (text[at] == '\\')
			at++;
		at++;
	}
	return MIN(at + 1, size);
}

/*
 * Returns the index behind the comment that starts at from, or from if no
 * comment starts there.
 */
static size_t comment_end(const char *text, size_t size, size_t from)
{
	const char *end;

	if (size - from < 2 || text[from] != '/')
		return from;
	if (text[from + 1] == '/') {
		end = memchr(text + from, '\n', size - from);
		return end ? (size_t)(end - text) : size;
	}
	if (text[from + 1] != '*')
		return from;
	end = g_strstr_len(text + from + 2, (gssize)(size - from - 2), "*/");
	return end ? (size_t)(end - text) + 2 : size;
}
