#ifndef WWH_PRIVATE_RECORD_FIELDS_H
#define WWH_PRIVATE_RECORD_FIELDS_H

/*
 * NAME
 *	record_fields - for each kind of record, its fields and their bounds
 *
 * USE
 *	record_codec.c encodes, decodes and frees every record with
 *	these tables, so that each kind has one description and no own code.
 */

#include <stddef.h>
#include <stdint.h>

#include "waxwinghollow/record.h"

typedef enum {
	WWH_CODEC_ID = 0, /* char *, printable, min to max bytes */
	WWH_CODEC_INT32, /* also enums; min to max */
	WWH_CODEC_INT64,
	WWH_CODEC_UINT64,
	WWH_CODEC_BOOL,
	WWH_CODEC_BYTES, /* GBytes *, min to max bytes */
	WWH_CODEC_FIXED, /* uint8_t[max] in place */
	WWH_CODEC_IDS, /* GPtrArray * of char *, min to max of them */
	WWH_CODEC_ITEMS /* GPtrArray * of structs, min to max of them */
} wwh_codec_type_t;

typedef struct wwh_codec_fields wwh_codec_fields_t;

typedef struct {
	const char *name;
	wwh_codec_type_t type;
	size_t at; /* offset in the struct */
	int64_t min;
	int64_t max;
	const wwh_codec_fields_t *item; /* for WWH_CODEC_ITEMS only */
} wwh_codec_field_t;

struct wwh_codec_fields {
	const wwh_codec_field_t *field;
	int32_t count;
	size_t size; /* of the struct */
};

/* Returns the field table of kind, which must be a valid kind. */
const wwh_codec_fields_t *wwh_record_fields(wwh_record_kind_t kind);

extern const wwh_codec_fields_t wwh_intent_item_fields;
extern const wwh_codec_fields_t wwh_result_item_fields;

/* Sets the struct at base to empty values without freeing the old ones. */
void wwh_codec_init(const wwh_codec_fields_t *fields, void *base);
/* Frees the members of the struct at base and sets them to zero. */
void wwh_codec_clear(const wwh_codec_fields_t *fields, void *base);

/*
 * Encodes the struct at base as an array of its fields. Returns NULL and sets
 * message when a field is out of bounds.
 */
GBytes *wwh_codec_encode(const wwh_codec_fields_t *fields, const void *base,
			 wwh_message_t *message);

/*
 * Decodes an array of fields into the struct at base, which it initializes
 * first. The caller must clear base, also when data is rejected.
 */
bool wwh_codec_decode(const wwh_codec_fields_t *fields, const uint8_t *data,
		      size_t size, void *base, wwh_message_t *message);

#endif
