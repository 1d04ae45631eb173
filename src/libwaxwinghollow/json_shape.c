#include "private/json_shape.h"

#include <glib.h>
#include <string.h>

/* Any number of 18 digits fits into 64 bits. */
#define MAX_DIGITS 18

static size_t string_end(const char *text, size_t size, size_t start);
static size_t token_end(const char *text, size_t size, size_t start);
static const char *number_fault(const char *number, size_t size);
static const char *punctuation_fault(char character, int32_t *depth);

const char *wwh_json_shape_fault(const char *text, size_t size, int32_t *line)
{
	int32_t depth = 0;
	size_t at = 0;

	*line = 1;
	while (at < size) {
		const char *fault = NULL;
		size_t end = at + 1;

		if (text[at] == '\n') {
			++*line;
		} else if (text[at] == '"') {
			end = string_end(text, size, at);
		} else if (g_ascii_isalnum(text[at])) {
			end = token_end(text, size, at);
			if (g_ascii_isdigit(text[at]))
				fault = number_fault(text + at, end - at);
		} else {
			fault = punctuation_fault(text[at], &depth);
		}
		if (fault != NULL)
			return fault;
		at = end;
	}
	return NULL;
}

/*
 * Returns the index behind the closing quote. Line ends in the string are left
 * to json-glib.
 */
static size_t string_end(const char *text, size_t size, size_t start)
{
	for (size_t at = start + 1; at < size; at++) {
		if (text[at] == '\\')
			at++;
		else if (text[at] == '"')
			return at + 1;
	}
	return size;
}

static size_t token_end(const char *text, size_t size, size_t start)
{
	size_t at = start;

	while (at < size && (g_ascii_isalnum(text[at]) || text[at] == '.'))
		at++;
	return at;
}

static const char *number_fault(const char *number, size_t size)
{
	size_t digits = 0;

	while (digits < size && g_ascii_isdigit(number[digits]))
		digits++;
	if (digits > MAX_DIGITS)
		return "a number of more than 18 digits, expected fewer";
	if (digits > 1 && number[0] == '0')
		return "a number that begins with 0, expected decimal";
	if (digits < size && strchr(".eE", number[digits]) == NULL)
		return "a number with a letter in it, expected decimal";
	return NULL;
}

static const char *punctuation_fault(char character, int32_t *depth)
{
	if (character == '{' || character == '[')
		++*depth;
	else if (character == '}' || character == ']')
		--*depth;
	if (*depth > WWH_JSON_MAX_DEPTH)
		return "values nested more than 16 deep, expected fewer";
	if (character == '\'' || character == '$')
		return "a ' or $ outside of a string, expected \"...\"";
	return NULL;
}
