#include "private/msgpack_guard.h"

#include <assert.h>
#include <string.h>

#include <msgpack/sysdep.h>
#include <msgpack/unpack_define.h>

/* msgpack-c's scanner is a template over these names. */
typedef struct {
	size_t elements_left;
} guard_t;

#define msgpack_unpack_struct(name) struct guard_scanner##name
#define msgpack_unpack_func(ret, name) static inline ret guard_scanner##name
#define msgpack_unpack_callback(name) guard_on##name
#define msgpack_unpack_object char
#define msgpack_unpack_user guard_t

enum {
	CONTINUE = 0,
	REFUSE = -1
};

/* What the template takes from unpack.h, which this file leaves out. */
enum {
	MSGPACK_UNPACK_SUCCESS = 2,
	MSGPACK_UNPACK_EXTRA_BYTES = 1,
	MSGPACK_UNPACK_CONTINUE = 0,
	MSGPACK_UNPACK_PARSE_ERROR = -1,
	MSGPACK_UNPACK_NOMEM_ERROR = -2
};

struct guard_scanner_context;

#define SCALAR(name, type)                                                     \
	static inline int guard_on##name(guard_t *guard, type value,           \
					 char *object)                         \
	{                                                                      \
		(void)guard;                                                   \
		(void)value;                                                   \
		*object = 0;                                                   \
		return CONTINUE;                                               \
	}

#define NO_VALUE(name)                                                         \
	static inline int guard_on##name(guard_t *guard, char *object)         \
	{                                                                      \
		(void)guard;                                                   \
		*object = 0;                                                   \
		return CONTINUE;                                               \
	}

#define BYTES(name)                                                            \
	static inline int guard_on##name(guard_t *guard, const char *base,     \
					 const char *data, unsigned int size,  \
					 char *object)                         \
	{                                                                      \
		(void)guard;                                                   \
		(void)base;                                                    \
		(void)data;                                                    \
		(void)size;                                                    \
		*object = 0;                                                   \
		return CONTINUE;                                               \
	}

#define ELEMENT(name)                                                          \
	static inline int guard_on##name(guard_t *guard, char *container,      \
					 char element)                         \
	{                                                                      \
		(void)guard;                                                   \
		(void)container;                                               \
		(void)element;                                                 \
		return CONTINUE;                                               \
	}

static inline char guard_on_root(guard_t *guard)
{
	(void)guard;
	return 0;
}

SCALAR(_uint8, uint8_t)
SCALAR(_uint16, uint16_t)
SCALAR(_uint32, uint32_t)
SCALAR(_uint64, uint64_t)
SCALAR(_int8, int8_t)
SCALAR(_int16, int16_t)
SCALAR(_int32, int32_t)
SCALAR(_int64, int64_t)
SCALAR(_float, float)
SCALAR(_double, double)
NO_VALUE(_nil)
NO_VALUE(_true)
NO_VALUE(_false)
BYTES(_str)
BYTES(_bin)
BYTES(_ext)
ELEMENT(_array_item)

/*
 * Counts elements over the whole message: each takes one byte at least, so
 * the sum of all claims can't pass the size either.
 */
static inline int claim(guard_t *guard, size_t count, char *object)
{
	*object = 0;
	if (count > guard->elements_left)
		return REFUSE;
	guard->elements_left -= count;
	return CONTINUE;
}

static inline int guard_on_array(guard_t *guard, unsigned int count,
				 char *object)
{
	return claim(guard, count, object);
}

static inline int guard_on_map(guard_t *guard, unsigned int count, char *object)
{
	return claim(guard, (size_t)count * 2, object);
}

static inline int guard_on_map_item(guard_t *guard, char *container, char key,
				    char value)
{
	(void)guard;
	(void)container;
	(void)key;
	(void)value;
	return CONTINUE;
}

#include <msgpack/unpack_template.h>

bool wwh_msgpack_is_safe(const uint8_t *data, size_t size)
{
	struct guard_scanner_context scanner;
	size_t offset = 0;

	memset(&scanner, 0, sizeof(scanner));
	guard_scanner_init(&scanner);
	scanner.user.elements_left = size;
	return guard_scanner_execute(&scanner, (const char *)data, size,
				     &offset) > 0 &&
	       offset == size;
}
