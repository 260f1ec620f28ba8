/**
 * @file settings_json.h
 * JSON form of the records of the settings, made from the same tables.
 */
#ifndef PROTOCOL_SETTINGS_JSON_H
#define PROTOCOL_SETTINGS_JSON_H

#include "protocol/settings_int.h"
#include <jansson.h>

/**
 * Decodes a JSON object into a new record; absent fields get defaults.
 * Unknown fields, wrong types and missing fields are reported.
 * @return a record to release by settings_free_record, or NULL after a fault
 *         or without memory.
 */
void *settings_decode (enum settings_record_id id, const json_t *json,
                       struct settings_report *report);

/** Releases a record that was allocated on its own. */
void settings_free_record (enum settings_record_id id, void *record);

/** Encodes a record; secrets and absent texts are left out.
    @return new reference, or NULL without memory. */
json_t *settings_encode (enum settings_record_id id, void *record);

#endif
