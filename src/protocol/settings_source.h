/**
 * @file settings_source.h
 * Finds the line of a value in a YAML or JSON text, given its path.
 */
#ifndef PROTOCOL_SETTINGS_SOURCE_H
#define PROTOCOL_SETTINGS_SOURCE_H

#include <stddef.h>
#include <stdint.h>

struct settings_source;

/**
 * Parses a text.
 * @param line    set to the line of a syntax error.
 * @param reason  buffer of `reason_size` bytes for the parser's message.
 * @return 0, ERR_INVALID, ERR_NO_MEMORY.
 */
int settings_source_parse (const char *text, size_t size,
                           struct settings_source **source, uint32_t *line,
                           char *reason, size_t reason_size);
void settings_source_free (struct settings_source *source);

/** Line of the value at a path such as "services[1].kind": that of its key in
    a mapping, or of the entry in a sequence. @return 0 when there is no such
    value. */
uint32_t settings_source_line (struct settings_source *source,
                               const char *path);

#endif
