/**
 * @file build_record.h
 * The builds of a service as the store records them, for a fleet that was lost
 * as a whole: its instances know no streams, and a build whose upstreams have
 * left meanwhile is seen by none of them.  A service with another single build
 * than the recorded one counts as one with several.
 */
#ifndef STATE_BUILD_RECORD_H
#define STATE_BUILD_RECORD_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#define BUILD_RECORD_SEVERAL 1 /**< recorded in place of a build */

struct build_record
{
  uint64_t service_id;
  uint64_t build;    /**< hash of the single one, or BUILD_RECORD_SEVERAL */
  uint64_t write_ns; /**< when it may be written again */
  UT_hash_handle hh;
};

/** Zero-initialise. */
struct build_records
{
  struct build_record *records; /**< uthash by service_id */
};

void build_records_finish (struct build_records *records);

/** Entry of a service, created with build 0; NULL when out of memory. */
struct build_record *build_records_get (struct build_records *records,
                                        uint64_t service_id);
/** Whether streams may have begun at another build than the single one that
    is seen. */
bool build_records_contradict (const struct build_records *records,
                               uint64_t service_id, uint64_t single_build);
/** What should be recorded.
    @param single_build  0: there are several, or no upstreams.
    @param several       there are, or lately were, several.
    @return 0 to leave the record as it is. */
uint64_t build_record_wanted (const struct build_record *record,
                              uint64_t single_build, bool several);

#endif
