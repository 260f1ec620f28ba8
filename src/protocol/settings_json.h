/**
 * @file settings_json.h
 * JSON encoding of settings records, derived from their field descriptors.
 */
#ifndef PROTOCOL_SETTINGS_JSON_H
#define PROTOCOL_SETTINGS_JSON_H

#include "protocol/settings_int.h"
#include <jansson.h>

/**
 * Decodes a JSON object into a new record; absent fields get defaults.
 * Unknown fields, wrong types and missing fields are reported.
 * @return a record to release with settings_free_record(), or NULL after an
 *         error or when memory runs out.
 */
void *settings_decode (enum settings_record_id id, const json_t *json,
                       struct settings_report *report);

/** Releases a record from settings_decode(). */
void settings_free_record (enum settings_record_id id, void *record);

/** Encodes a record, without secrets and absent texts.
    @return new reference, or NULL when memory runs out. */
json_t *settings_encode (enum settings_record_id id, void *record);

#endif
