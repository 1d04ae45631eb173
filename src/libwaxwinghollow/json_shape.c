#include "private/json_shape.h"

#include <glib.h>
#include <string.h>

/* Any number of 18 digits fits into 64 bits. */
#define MAX_DIGITS 18

/* An escape \uXXXX stands for a code unit of UTF-16. */
#define UNIT_CHARS 6
#define SURROGATE_MASK 0xfc00
#define HIGH_SURROGATE 0xd800
#define LOW_SURROGATE 0xdc00

static const char *string_fault(const char *text, size_t size, size_t *at);
static size_t escape_length(const char *text, size_t size);
static int32_t code_unit(const char *text, size_t size);
static size_t token_end(const char *text, size_t size, size_t start);
static const char *number_fault(const char *number, size_t size);
static const char *punctuation_fault(char character, int32_t *depth);

bool wwh_json_load(JsonParser *parser, const char *text, size_t size)
{
	int32_t line;

	return size > 0 && wwh_json_shape_fault(text, size, &line) == NULL &&
	       json_parser_load_from_data(parser, text, (gssize)size, NULL);
}

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
			end = at;
			fault = string_fault(text, size, &end);
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
 * Moves *at from the opening quote behind the closing one. Line ends in the
 * string are left to json-glib. It reads other escapes than JSON's, in some of
 * them a quote, and would see the end of the string elsewhere.
 */
static const char *string_fault(const char *text, size_t size, size_t *at)
{
	size_t end = *at + 1;

	while (end < size && text[end] != '"') {
		size_t length = 1;

		if (text[end] == '\\')
			length = escape_length(text + end, size - end);
		if (length == 0)
			return "an unknown escape in a string, expected one of "
			       "JSON";
		end += length;
	}
	*at = MIN(end + 1, size);
	return NULL;
}

/* Returns 0 for an escape that JSON doesn't have, or half a surrogate pair. */
static size_t escape_length(const char *text, size_t size)
{
	int32_t unit = code_unit(text, size);

	if (size > 1 && text[1] != '\0' && strchr("\"\\/bfnrt", text[1]))
		return 2;
	if (unit < 0 || (unit & SURROGATE_MASK) == LOW_SURROGATE)
		return 0;
	if ((unit & SURROGATE_MASK) != HIGH_SURROGATE)
		return UNIT_CHARS;
	unit = code_unit(text + UNIT_CHARS, size - UNIT_CHARS);
	return unit >= 0 && (unit & SURROGATE_MASK) == LOW_SURROGATE
		       ? 2 * UNIT_CHARS
		       : 0;
}

/* Returns the value of an escape \uXXXX, or -1 for other text. */
static int32_t code_unit(const char *text, size_t size)
{
	int32_t unit = 0;

	if (size < UNIT_CHARS || text[0] != '\\' || text[1] != 'u')
		return -1;
	for (size_t i = 2; i < UNIT_CHARS; i++) {
		if (!g_ascii_isxdigit(text[i]))
			return -1;
		unit = unit * 16 + g_ascii_xdigit_value(text[i]);
	}
	return unit;
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
	if (character == '/')
		return "a / outside of a string, expected a value";
	return NULL;
}
