#include "private/field.h"

#include <string.h>

#define MAX_NAME_BYTES 64

static int32_t edit_distance(const char *a, const char *b);
static int32_t min_of_three(int32_t a, int32_t b, int32_t c);

char *wwh_fields_suggest(const wwh_field_t *fields, int32_t count,
			 const char *name)
{
	const char **names = g_new0(const char *, count + 1);
	char *text;

	for (int32_t i = 0; i < count; i++)
		names[i] = fields[i].name;
	text = wwh_names_suggest(names, count, name);
	g_free(names);
	return text;
}

char *wwh_names_suggest(const char *const *names, int32_t count,
			const char *name)
{
	/* Up to a third of the letters, plus one, wrong counts as a typo. */
	int32_t best = (int32_t)(strlen(name) / 3) + 2;
	const char *nearest = NULL;
	GString *all;

	for (int32_t i = 0; i < count; i++) {
		int32_t distance = edit_distance(names[i], name);

		if (distance < best) {
			best = distance;
			nearest = names[i];
		}
	}
	if (nearest != NULL)
		return g_strdup_printf("expected '%s'", nearest);
	all = g_string_new("expected one of:");
	for (int32_t i = 0; i < count; i++)
		g_string_append_printf(all, "%s %s", i == 0 ? "" : ",",
				       names[i]);
	return g_string_free(all, FALSE);
}

/* Levenshtein distance; INT32_MAX if a name exceeds MAX_NAME_BYTES. */
static int32_t edit_distance(const char *a, const char *b)
{
	int32_t row[MAX_NAME_BYTES + 1];
	size_t a_length = strlen(a);
	size_t b_length = strlen(b);

	if (a_length > MAX_NAME_BYTES || b_length > MAX_NAME_BYTES)
		return INT32_MAX;
	for (size_t j = 0; j <= b_length; j++)
		row[j] = (int32_t)j;
	for (size_t i = 1; i <= a_length; i++) {
		int32_t diagonal = row[0];

		row[0] = (int32_t)i;
		for (size_t j = 1; j <= b_length; j++) {
			int32_t above = row[j];
			int32_t change = a[i - 1] == b[j - 1] ? 0 : 1;

			row[j] = min_of_three(above + 1, row[j - 1] + 1,
					      diagonal + change);
			diagonal = above;
		}
	}
	return row[b_length];
}

static int32_t min_of_three(int32_t a, int32_t b, int32_t c)
{
	int32_t smaller = a < b ? a : b;

	return smaller < c ? smaller : c;
}
