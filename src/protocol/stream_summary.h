/**
 * @file stream_summary.h
 * Store value that names streams and the builds that began them: groups of a
 * service, a build, a count and that many keys, as 64-bit integers in network
 * byte order.
 */
#ifndef PROTOCOL_STREAM_SUMMARY_H
#define PROTOCOL_STREAM_SUMMARY_H

#include "state/stream_builds.h"

#define STREAM_SUMMARY_ROW_SIZE 32 /**< bytes of a row in its own group */

/** Encodes rows; markers are left out.
    @param out  room for STREAM_SUMMARY_ROW_SIZE bytes for each.
    @return the bytes used. */
size_t stream_summary_write (const struct stream_builds_row *rows,
                             size_t count, uint8_t *out);
/** Calls `put` for each row of a value.
    @return 0, or ERR_INVALID without a call if the value is malformed. */
int stream_summary_read (const uint8_t *value, size_t size,
                         void (*put) (void *user,
                                      const struct stream_builds_row *row),
                         void *user);

#endif
