#ifndef WAXWINGHOLLOW_PRIVATE_SETTINGS_FIELDS_H
#define WAXWINGHOLLOW_PRIVATE_SETTINGS_FIELDS_H

#include "private/field.h"

/* The keys of a settings file. */
extern const wwh_field_t wwh_settings_fields[];
extern const int32_t wwh_settings_field_count;

#endif
